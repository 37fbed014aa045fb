/* Records of progress and of learned speeds in the log: their keys, the parts
   that hold those of blocks, and their load by a new leader. */

#include "entry_owner_internal.h"
#include "entry_records_internal.h"

#define SPEEDS_PREFIX "speeds."

/** The newest record of a key among those of all parts. */
struct loaded_record
{
  uint64_t job;
  bool speeds; /**< of learned speeds, and of no job */
  uint64_t revision;
  uint8_t *data;
  size_t len;
};

void
records_free_loaded (gpointer data)
{
  struct loaded_record *progress = data;

  g_free (progress->data);
  g_free (progress);
}

bool
records_parse_key (struct cyc_str key, struct cell_record *out)
{
  char text[CELL_BLOCK_KEY_BYTES];
  int used = 0;

  if (key.len >= sizeof text || key.len < CELL_KEY_BYTES - 1
      || key.data[0] != 'p'
      || !cell_job_id_parse ((struct cyc_str){ key.data + 1, 16 }, &out->job))
    return false;
  out->block = CELL_NO_BLOCK;
  if (key.len == CELL_KEY_BYTES - 1)
    return true;
  memcpy (text, key.data, key.len);
  text[key.len] = 0;
  return sscanf (text + CELL_KEY_BYTES - 1, ".%x.%x%n", &out->round,
                 &out->block, &used)
             == 2
         && CELL_KEY_BYTES - 1 + (size_t)used == key.len
         && out->block != CELL_NO_BLOCK;
}

void
records_format_key (const struct cell_record *record,
                    char key[CELL_BLOCK_KEY_BYTES])
{
  int len = snprintf (key, CELL_BLOCK_KEY_BYTES, "p%016" PRIx64, record->job);

  if (record->block != CELL_NO_BLOCK)
    snprintf (key + len, CELL_BLOCK_KEY_BYTES - (size_t)len, ".%x.%x",
              record->round, record->block);
}

void
records_speeds_key (uint32_t number, char key[CELL_BLOCK_KEY_BYTES])
{
  snprintf (key, CELL_BLOCK_KEY_BYTES, SPEEDS_PREFIX "%x", number);
}

static bool
is_speeds_key (struct cyc_str key)
{
  return key.len > strlen (SPEEDS_PREFIX) && key.len < CELL_BLOCK_KEY_BYTES
         && memcmp (key.data, SPEEDS_PREFIX, strlen (SPEEDS_PREFIX)) == 0;
}

void
records_add_block (struct entry_records *records, const char *key,
                   uint32_t part)
{
  uint64_t *parts = g_hash_table_lookup (records->block_parts, key);

  if (parts == NULL)
    {
      parts = g_new0 (uint64_t, 1);
      g_hash_table_insert (records->block_parts, g_strdup (key), parts);
    }
  *parts |= UINT64_C (1) << part;
}

void
records_remove_block (struct entry_records *records, const char *key)
{
  const uint64_t *parts = g_hash_table_lookup (records->block_parts, key);

  for (uint32_t i = 0; parts != NULL && i < records->part_count; i++)
    if (*parts >> i & 1)
      g_queue_push_tail (&records->parts[i].removals, g_strdup (key));
  g_hash_table_remove (records->block_parts, key);
}

/* Keeps the record if it is the newest one with its key. @p job: that of a
   progress record; NULL if it has learned speeds. */
static void
load_record (struct records_part *part, const struct pt_record *record,
             const uint64_t *job)
{
  GHashTable *loaded = part->records->loaded;
  char key[CELL_BLOCK_KEY_BYTES];
  const struct loaded_record *old;
  struct loaded_record *progress;
  uint64_t revision = 0;

  if (record->value.len < REVISION_BYTES)
    {
      ev_log (EV_RECORD_CORRUPT, "stream=cell key=%.*s bytes=%zu",
              CYC_FMT (record->key), record->value.len);
      return;
    }
  for (size_t i = 0; i < REVISION_BYTES; i++)
    revision = revision << 8 | (uint8_t)record->value.data[i];
  snprintf (key, sizeof key, "%.*s", CYC_FMT (record->key));
  old = g_hash_table_lookup (loaded, key);
  if (old != NULL && old->revision > revision)
    return;
  progress = g_new0 (struct loaded_record, 1);
  progress->job = job != NULL ? *job : 0;
  progress->speeds = job == NULL;
  progress->revision = revision;
  progress->len = record->value.len - REVISION_BYTES;
  progress->data
      = g_memdup2 (record->value.data + REVISION_BYTES, progress->len);
  g_hash_table_replace (loaded, g_strdup (key), progress);
}

static void
on_progress (struct records_part *part, const struct pt_record *record,
             const struct cell_record *name)
{
  char key[CELL_BLOCK_KEY_BYTES];

  /* A removed record that another part still holds is ignored by what its job
     has become. */
  if (record->value.len == 0)
    return;
  records_format_key (name, key);
  if (name->block != CELL_NO_BLOCK && record->value.len >= REVISION_BYTES)
    records_add_block (part->records, key, part->index);
  load_record (part, record, &name->job);
}

void
records_on_record (void *user, const struct pt_record *record, uint64_t offset)
{
  struct records_part *part = user;
  struct cell_record name = { 0 };

  if (records_parse_key (record->key, &name))
    on_progress (part, record, &name);
  else if (is_speeds_key (record->key))
    load_record (part, record, NULL);
  else
    owner_on_job (part->records->owner, record, offset);
}

uint64_t
records_unknown_revision (const struct entry_records *records)
{
  GHashTableIter iter;
  gpointer value;
  uint64_t revision = 0;

  g_hash_table_iter_init (&iter, records->loaded);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct loaded_record *progress = value;

      if (!progress->speeds
          && cell_job_state (records->owner->core, progress->job) == 0)
        revision = MAX (revision, progress->revision);
    }
  return revision;
}

static gint
newest_first (gconstpointer a, gconstpointer b)
{
  const struct loaded_record *left = a;
  const struct loaded_record *right = b;

  if (left->revision != right->revision)
    return left->revision > right->revision ? -1 : 1;
  return 0;
}

/* Removes the records of blocks that an earlier leader has left. */
static void
remove_unneeded_blocks (struct entry_records *records)
{
  GList *keys = g_hash_table_get_keys (records->block_parts);

  for (const GList *at = keys; at != NULL; at = at->next)
    {
      const char *key = at->data;
      struct cell_record name = { 0 };

      if (records_parse_key (cyc_str_of (key), &name)
          && !cell_record_needed (records->owner->core, name.job, name.round))
        records_remove_block (records, key);
    }
  g_list_free (keys);
}

void
records_restore (struct entry_records *records)
{
  const struct entry_owner *owner = records->owner;
  uint64_t earlier_until_us
      = MAX (owner->begun_us, owner->entry->predecessor_end_us);
  uint64_t lapsed_us = cell_lease_lapsed_us (owner->core, earlier_until_us);
  GList *rows
      = g_list_sort (g_hash_table_get_values (records->loaded), newest_first);
  uint32_t orphans = 0;

  for (const GList *at = rows; at != NULL; at = at->next)
    {
      const struct loaded_record *progress = at->data;
      struct cyc_str record = { (const char *)progress->data, progress->len };

      if (!progress->speeds)
        /* Progress records of a job that the log refused have no job. */
        orphans += !cell_job_restore (owner->core, progress->job, record,
                                      lapsed_us, earlier_until_us);
      else if (!cell_speeds_restore (owner->core, record, hc_now_us (),
                                     hc_wall_ms ()))
        ev_log (EV_RECORD_CORRUPT, "stream=cell key=speeds bytes=%zu",
                record.len);
    }
  g_list_free (rows);
  cell_jobs_restored (owner->core);
  if (orphans > 0)
    ev_log (EV_PROGRESS_ORPHANED, "epoch=%" PRIu64 " records=%u of=%u",
            owner->epoch, orphans, g_hash_table_size (records->loaded));
  remove_unneeded_blocks (records);
  g_hash_table_remove_all (records->loaded);
}
