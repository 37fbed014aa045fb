#include "entry_records.h"

#include "entry_owner_internal.h"
#include "entry_records_internal.h"

/** Minimum delay between two batches; one append covers all records that
 * arrive in between. */
#define BATCH_GAP_US 8000
/** Limits of the submitted records of one batch, in bytes and in number. */
#define BATCH_BYTES 1048576
#define BATCH_ROWS 400
/** Bytes of an append beside the key and the value of a record. */
#define ROW_OVERHEAD_BYTES 5
/** Delay after the first failed append and after further consecutive ones. */
#define APPEND_RETRY_FIRST_US 50000
#define APPEND_RETRY_US 150000
/** How long batches start with the same part, so that the records of a short
 * job are in few parts. */
#define PART_ROTATION_US 1000000
/** The log counts as silent when an append has had no answer for this long and
 * no append has succeeded since it began; a slow log takes 0.5 s. */
#define LOG_SILENT_US 900000
/** The records of all VMs that wait for a batch may take this many times what
 * a VM keeps of its own. */
#define WAITING_FACTOR 2
/** Interval between submitted records that probe the log during an outage. */
#define PROBE_INTERVAL_US 150000
/** Retry delay while records that wait for a batch take all memory for them,
 * which is written within a second. */
#define WAITING_RETRY_AFTER_S 1
/** Retry delay of a team above its rate, whose backlog takes seconds. */
#define OVER_RATE_RETRY_AFTER_S 2
/** Delay between reads of a part until it is loaded. */
#define LOAD_GAP_MS 10

static void
free_row (gpointer data)
{
  struct records_row *row = data;

  free (row->data);
  g_free (row);
}

/* Returns the first record that waits; NULL if there is none. */
static struct records_row *
take_waiting (struct entry_records *records)
{
  struct records_row *row = g_queue_pop_head (&records->waiting);

  if (row != NULL)
    records->waiting_bytes -= row->len;
  return row;
}

static struct pt_log *
log_of (const struct entry_records *records)
{
  return &records->owner->entry->relay.log;
}

/* Loading. */

/* Marks the part as loaded when it has been read up to its end offset at
   the time the epoch was set; no record of an earlier leader can follow.
   The reads run in parallel with the append that sets the epoch, as both
   take long when the log is slow. */
static void
check_loaded (void *user)
{
  struct records_part *part = user;

  if (part->loaded || !part->fenced || !part->tail.loaded
      || part->tail.next < part->fence_end)
    return;
  tail_stop (&part->tail);
  part->loaded = true;
  owner_input_added (part->records->owner);
}

static void
on_fenced (void *user, const struct pt_append_result *result)
{
  struct records_part *part = user;
  struct entry_owner *owner = part->records->owner;

  part->in_flight = false;
  if (!owner_call_ended (owner))
    return;
  if (result->outcome == PT_OK)
    {
      part->fenced = true;
      part->fence_end = result->end;
      check_loaded (part);
      return;
    }
  if (result->outcome == PT_FENCED)
    {
      lead_step_down (owner->entry, "the log knows a higher epoch");
      return;
    }
  part->retry_us = hc_now_us () + APPEND_RETRY_FIRST_US;
  entry_wake_at (owner->entry, part->retry_us);
}

static void
set_fence (struct records_part *part, uint64_t now_us)
{
  struct entry_owner *owner = part->records->owner;

  if (part->in_flight || now_us < part->retry_us)
    return;
  part->in_flight
      = log_of (part->records)
            ->vtable->append (
                log_of (part->records),
                &(struct pt_append){
                    .stream = PT_STREAM_CELL,
                    .part = part->index,
                    .epoch = owner->epoch,
                    .sequence = 0,
                    .deadline_us = now_us + ENTRY_APPEND_TIMEOUT_MS * 1000ULL,
                    .done = on_fenced,
                    .user = part,
                });
  if (part->in_flight)
    owner->calls_in_flight++;
  else
    part->retry_us = now_us + APPEND_RETRY_FIRST_US;
}

bool
records_loaded (const struct entry_records *records)
{
  for (uint32_t i = 0; i < records->part_count; i++)
    if (!records->parts[i].loaded)
      return false;
  return true;
}

/* Outcomes for the VMs that submitted records. */

static void
send_answer (struct entry_records *records, const struct records_row *row,
             enum records_outcome outcome, uint32_t retry_after_s)
{
  struct entry *entry = records->owner->entry;
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__CellStored stored = CYC__CELL_STORED__INIT;

  if (row->peer.generation == 0)
    {
      accept_on_stored (entry, cyc_str_of (row->key), outcome, retry_after_s);
      return;
    }
  message.body_case = CYC__PEER__BODY_CELL_STORED;
  message.cell_stored = &stored;
  stored.key = (ProtobufCBinaryData){ strlen (row->key), (uint8_t *)row->key };
  stored.outcome = outcome;
  stored.retry_after_s = retry_after_s;
  pl_send (&entry->links, row->peer, &message);
}

static void
send_outcome (struct entry_records *records, const struct records_row *row,
              enum records_outcome outcome)
{
  uint32_t retry_after_s = 0;

  if (outcome == RECORDS_REFUSED)
    retry_after_s = entry_retry_after_s (records->down_since_us, hc_now_us ());
  else if (outcome == RECORDS_OVER_RATE)
    retry_after_s = OVER_RATE_RETRY_AFTER_S;
  send_answer (records, row, outcome, retry_after_s);
}

/* Returns true if another pending record has the same key: another VM may
   have submitted it too. */
static bool
submitted_elsewhere (const struct entry_records *records,
                     const struct records_row *row)
{
  for (const GList *at = records->waiting.head; at != NULL; at = at->next)
    if (at->data != row
        && strcmp (((struct records_row *)at->data)->key, row->key) == 0)
      return true;
  for (uint32_t p = 0; p < records->part_count; p++)
    for (guint i = 0; i < records->parts[p].rows->len; i++)
      {
        const struct records_row *other
            = g_ptr_array_index (records->parts[p].rows, i);

        if (other != row && strcmp (other->key, row->key) == 0)
          return true;
      }
  return false;
}

static void
refuse_row (struct entry_records *records, const struct records_row *row,
            enum records_outcome outcome)
{
  uint64_t id;

  if (row->key[0] == 'j' && cell_job_id_parse (cyc_str_of (row->key + 1), &id)
      && !submitted_elsewhere (records, row))
    owner_withdraw_job (records->owner, id);
  send_outcome (records, row, outcome);
}

static void
complete_row (struct records_part *part, const struct records_row *row,
              uint64_t now_us)
{
  struct entry_records *records = part->records;
  struct entry_owner *owner = records->owner;
  enum records_outcome outcome = RECORDS_STORED;
  struct cell_record name = { 0 };
  uint64_t id;

  if (!row->submitted && records_parse_key (cyc_str_of (row->key), &name)
      && name.block != CELL_NO_BLOCK && row->len > 0)
    {
      records_add_block (records, row->key, part->index);
      if (!cell_record_needed (owner->core, name.job, name.round))
        records_remove_block (records, row->key);
    }
  if (!row->submitted || !cell_job_id_parse (cyc_str_of (row->key + 1), &id))
    return;
  if (row->key[0] == 'j')
    cell_job_stored (owner->core, id, now_us);
  else if (!owner_cancel (owner, id) && owner_can_answer (owner->entry))
    outcome = RECORDS_NO_JOB;
  met_observe (&owner->entry->met, MET_LOG_APPEND_US,
               now_us - row->received_us);
  send_outcome (records, row, outcome);
}

/* Writing. */

static bool
log_silent (const struct entry_records *records, uint64_t now_us)
{
  for (uint32_t i = 0; i < records->part_count; i++)
    {
      const struct records_part *part = &records->parts[i];

      if (part->in_flight && part->begun_us + LOG_SILENT_US < now_us
          && records->last_success_us < part->begun_us)
        return true;
    }
  return false;
}

static void
mark_down (struct entry_records *records, uint64_t begun_us)
{
  if (records->down_since_us == 0)
    records->down_since_us = begun_us;
}

/* Called after an append that certainly had no effect: refuses its
   submitted records and keeps progress for the retry. */
static void
refuse_submitted (struct records_part *part)
{
  for (guint i = 0; i < part->rows->len;)
    {
      struct records_row *row = g_ptr_array_index (part->rows, i);

      if (!row->submitted)
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index (part->rows, i);
      refuse_row (part->records, row, RECORDS_REFUSED);
      free_row (row);
    }
}

/* Ends the first @p count rows of the part. */
static void
remove_rows (struct records_part *part, uint32_t count)
{
  g_ptr_array_remove_range (part->rows, 0, count);
  part->sent = 0;
}

/* Called when the rows of an append are stored. */
static void
on_stored (struct records_part *part, uint64_t now_us)
{
  struct entry_records *records = part->records;

  part->maybe_stored = false;
  part->failures = 0;
  part->sequence++;
  part->sent_max *= 2;
  records->last_success_us = now_us;
  records->down_since_us = 0;
  for (uint32_t i = 0; i < part->sent; i++)
    complete_row (part, g_ptr_array_index (part->rows, i), now_us);
  remove_rows (part, part->sent);
}

/* Called when the log takes the rows of an append for invalid, which shows
   that it is up. The invalid row is found by appending fewer rows, so that it
   affects no other one. */
static void
on_invalid (struct records_part *part, uint64_t now_us)
{
  struct entry_records *records = part->records;
  const struct records_row *row = g_ptr_array_index (part->rows, 0);
  uint64_t id;

  records->last_success_us = now_us;
  records->down_since_us = 0;
  part->maybe_stored = false;
  if (part->sent > 1)
    {
      part->sent_max = part->sent / 2;
      part->sent = 0;
      return;
    }
  ev_log (EV_RECORD_UNWRITABLE, "key=%s bytes=%zu submitted=%d", row->key,
          row->len, row->submitted);
  if (row->submitted)
    refuse_row (records, row, RECORDS_INVALID);
  else if (cell_job_id_parse ((struct cyc_str){ row->key + 1, 16 }, &id))
    cell_job_unrecordable (records->owner->core, id, now_us);
  remove_rows (part, 1);
}

/* Reports the part's batch as durable once no row of the part is left. A batch
   may have no row from the beginning: the progress of a job in blocks that has
   ended needs no record. A batch that is never reported would keep the core
   from acknowledging any later end. */
static void
end_batch (struct records_part *part, uint64_t now_us)
{
  struct entry_owner *owner = part->records->owner;

  if (part->rows->len > 0 || part->batch == 0)
    return;
  cell_batch_durable (owner->core, part->batch, now_us);
  part->batch = 0;
  owner_input_added (owner);
}

static void
on_written (void *user, const struct pt_append_result *result)
{
  struct records_part *part = user;
  struct entry_records *records = part->records;
  struct entry_owner *owner = records->owner;
  uint64_t now_us = hc_now_us ();

  part->in_flight = false;
  if (!owner_call_ended (owner))
    return;
  met_add (
      &owner->entry->met,
      result->outcome == PT_OK ? MET_LOG_APPENDS : MET_LOG_APPEND_FAILURES, 1);
  if (result->outcome == PT_FENCED || result->outcome == PT_CONFLICT)
    {
      lead_step_down (owner->entry, "the log refused the epoch");
      return;
    }
  if (result->outcome == PT_OK || result->outcome == PT_INVALID)
    {
      if (result->outcome == PT_OK)
        on_stored (part, now_us);
      else
        on_invalid (part, now_us);
      end_batch (part, now_us);
      owner_input_added (owner);
      return;
    }
  mark_down (records, part->begun_us);
  part->maybe_stored = part->maybe_stored || result->outcome == PT_UNKNOWN;
  if (!part->maybe_stored)
    {
      refuse_submitted (part);
      part->sent = 0;
      end_batch (part, now_us);
    }
  part->retry_us
      = now_us
        + (part->failures++ == 0 ? APPEND_RETRY_FIRST_US : APPEND_RETRY_US);
  entry_wake_at (owner->entry, part->retry_us);
}

/* Returns the number of rows of the next append: those that fit into one. */
static uint32_t
choose_rows (const struct records_part *part)
{
  size_t max_bytes
      = part->records->owner->entry->desc.settings->log_request_bytes;
  uint32_t max = part->sent_max > 0 ? MIN (part->sent_max, part->rows->len)
                                    : part->rows->len;
  uint32_t count = 0;
  size_t bytes = 0;

  while (count < max)
    {
      const struct records_row *row = g_ptr_array_index (part->rows, count);

      bytes += ROW_OVERHEAD_BYTES + strlen (row->key) + row->len;
      if (count > 0 && bytes > max_bytes)
        break;
      count++;
    }
  return count;
}

static void
send_rows (struct records_part *part, uint64_t now_us)
{
  struct entry_records *records = part->records;
  struct entry_owner *owner = records->owner;
  struct pt_record *out;

  if (part->rows->len == 0 || part->in_flight)
    return;
  if (now_us < part->retry_us)
    {
      entry_wake_at (owner->entry, part->retry_us);
      return;
    }
  if (part->sent == 0)
    part->sent = choose_rows (part);
  out = g_new0 (struct pt_record, part->sent);
  for (uint32_t i = 0; i < part->sent; i++)
    {
      const struct records_row *row = g_ptr_array_index (part->rows, i);

      out[i].key = cyc_str_of (row->key);
      out[i].value = (struct cyc_str){ (const char *)row->data, row->len };
    }
  part->begun_us = now_us;
  part->in_flight = log_of (records)->vtable->append (
      log_of (records),
      &(struct pt_append){
          .stream = PT_STREAM_CELL,
          .part = part->index,
          .records = out,
          .count = part->sent,
          .epoch = owner->epoch,
          .sequence = part->sequence,
          .deadline_us = now_us + ENTRY_APPEND_TIMEOUT_MS * 1000ULL,
          .complete_by_us = now_us + ENTRY_APPEND_MAX_MS * 1000ULL,
          .done = on_written,
          .user = part,
      });
  if (part->in_flight)
    owner->calls_in_flight++;
  else
    part->retry_us = now_us + APPEND_RETRY_FIRST_US;
  g_free (out);
}

/* Returns a row with the revision and the data, without a key. */
static struct records_row *
revised_row (uint64_t revision, const uint8_t *data, size_t len)
{
  struct records_row *row = g_new0 (struct records_row, 1);

  row->len = len + REVISION_BYTES;
  row->data = malloc (row->len);
  for (size_t i = 0; i < REVISION_BYTES; i++)
    row->data[i] = (uint8_t)(revision >> (8 * (REVISION_BYTES - 1 - i)));
  memcpy (row->data + REVISION_BYTES, data, len);
  return row;
}

static struct records_row *
progress_row (const struct cell_record *record)
{
  struct records_row *row
      = revised_row (record->revision, record->data, record->len);

  records_format_key (record, row->key);
  return row;
}

/* Moves the pending progress and submitted records into the part. */
static void
fill_part (struct records_part *part)
{
  struct entry_records *records = part->records;
  struct cell_record record;
  size_t bytes = 0;
  char *key;

  part->sent = 0;
  part->sent_max = 0;
  part->batch = cell_batch_close (records->owner->core);
  while (cell_batch_next (records->owner->core, &record))
    if (record.data == NULL)
      {
        char name[CELL_BLOCK_KEY_BYTES];

        records_format_key (&record, name);
        records_remove_block (records, name);
      }
    else
      {
        g_ptr_array_add (part->rows, progress_row (&record));
        free (record.data);
      }
  for (uint32_t n = 0;
       n < BATCH_ROWS && (key = g_queue_pop_head (&part->removals)) != NULL;
       n++)
    {
      struct records_row *row = g_new0 (struct records_row, 1);

      g_strlcpy (row->key, key, sizeof row->key);
      g_ptr_array_add (part->rows, row);
      g_free (key);
    }
  for (uint32_t n = 0; n < BATCH_ROWS && bytes < BATCH_BYTES
                       && !g_queue_is_empty (&records->waiting);
       n++)
    {
      struct records_row *row = take_waiting (records);

      bytes += row->len;
      g_ptr_array_add (part->rows, row);
    }
}

/* Fills an idle part with a record of learned speeds. It goes alone, so that
   no start waits for it. */
static void
fill_with_speeds (struct records_part *part)
{
  struct cell_speeds_record record;
  struct records_row *row;

  if (!cell_speeds_next (part->records->owner->core, &record))
    return;
  row = revised_row (record.revision, record.data, record.len);
  records_speeds_key (record.number, row->key);
  free (record.data);
  part->batch = 0;
  part->sent = 0;
  part->sent_max = 0;
  part->retry_us = 0;
  g_ptr_array_add (part->rows, row);
  met_add (&part->records->owner->entry->met, MET_SPEED_RECORDS, 1);
}

static struct records_part *
idle_part (struct entry_records *records, uint64_t now_us)
{
  uint32_t first
      = (uint32_t)(now_us / PART_ROTATION_US % MAX (1, records->part_count));

  for (uint32_t i = 0; i < records->part_count; i++)
    {
      struct records_part *part
          = &records->parts[(first + i) % records->part_count];

      if (part->rows->len == 0)
        return part;
    }
  return NULL;
}

/* Returns true if the log is down and a part has rows to retry. These
   retries show when the log is up again; nothing else is sent meanwhile. */
static bool
is_probing (const struct entry_records *records)
{
  if (records->down_since_us == 0)
    return false;
  for (uint32_t i = 0; i < records->part_count; i++)
    if (records->parts[i].rows->len > 0)
      return true;
  return false;
}

static void
refuse_waiting (struct entry_records *records)
{
  struct records_row *row;

  while ((row = take_waiting (records)) != NULL)
    {
      refuse_row (records, row, RECORDS_REFUSED);
      free_row (row);
    }
}

static void
write_batches (struct entry_records *records, uint64_t now_us)
{
  struct records_part *part;

  for (uint32_t i = 0; i < records->part_count; i++)
    send_rows (&records->parts[i], now_us);
  if (is_probing (records))
    {
      refuse_waiting (records);
      return;
    }
  part = &records->parts[SPEEDS_PART];
  if (part->rows->len == 0)
    fill_with_speeds (part);
  send_rows (part, now_us);
  if (now_us < records->next_batch_us)
    {
      entry_wake_at (records->owner->entry, records->next_batch_us);
      return;
    }
  part = idle_part (records, now_us);
  if (part == NULL)
    return;
  fill_part (part);
  if (part->rows->len == 0)
    {
      end_batch (part, now_us);
      return;
    }
  records->next_batch_us = now_us + BATCH_GAP_US;
  part->retry_us = 0;
  send_rows (part, now_us);
}

void
records_tick (struct entry_records *records, uint64_t now_us)
{
  for (uint32_t i = 0; i < records->part_count; i++)
    if (!records->parts[i].fenced)
      set_fence (&records->parts[i], now_us);
  if (records->owner->phase != OWNER_LEADING)
    return;
  if (records->down_since_us == 0 && log_silent (records, now_us))
    records->down_since_us = now_us - LOG_SILENT_US;
  write_batches (records, now_us);
}

/* Returns whether a further record would take too much memory. */
static bool
is_full (const struct entry_records *records, size_t len)
{
  size_t max_bytes
      = (size_t)records->owner->entry->desc.settings->bodies_max_kib * 1024
        * WAITING_FACTOR;

  return max_bytes > 0 && records->waiting_bytes + len > max_bytes;
}

/* Refuses a job that was just added and waits as the last row, if the core has
   no memory for it or its team exceeds its rate. Returns whether it did. */
static bool
refuse_job (struct entry_records *records, struct records_row *row,
            uint64_t id)
{
  struct entry_owner *owner = records->owner;
  uint64_t now_us = hc_now_us ();
  uint64_t room_us = 0;
  bool no_room = cell_job_lacks_room (owner->core, id, &room_us);

  if (!(no_room || cell_job_refusable (owner->core, id))
      || submitted_elsewhere (records, row))
    return false;
  g_queue_remove (&records->waiting, row);
  records->waiting_bytes -= row->len;
  owner_withdraw_job (owner, id);
  if (no_room)
    {
      uint32_t retry_after_s
          = room_us > now_us ? (uint32_t)((room_us - now_us) / 1000000 + 1)
                             : 0;

      ev_log (EV_JOB_REFUSED,
              "job=%016" PRIx64 " stored=0 field=\"\" why=\"no memory\""
              " retry_after_s=%u bytes=%zu",
              id, retry_after_s, row->len);
      met_add (&owner->entry->met, MET_JOBS_REFUSED_MEMORY, 1);
      send_answer (records, row, RECORDS_NO_ROOM, retry_after_s);
      return true;
    }
  met_add (&owner->entry->met, MET_JOBS_REFUSED, 1);
  send_outcome (records, row, RECORDS_OVER_RATE);
  return true;
}

void
records_submit (struct entry_records *records, struct cyc_str key,
                struct cyc_str value, struct cyc_ref peer)
{
  struct entry_owner *owner = records->owner;
  struct records_row *row;
  uint64_t now_us = hc_now_us ();
  uint64_t id;

  if (key.len != CELL_KEY_BYTES - 1
      || !cell_job_id_parse ((struct cyc_str){ key.data + 1, 16 }, &id))
    {
      ev_log (EV_RECORD_CORRUPT, "stream=submitted key_bytes=%zu", key.len);
      return;
    }
  row = g_new0 (struct records_row, 1);
  snprintf (row->key, sizeof row->key, "%.*s", CYC_FMT (key));
  row->submitted = true;
  row->peer = peer;
  row->received_us = now_us;
  if (owner->phase != OWNER_LEADING)
    send_outcome (records, row, RECORDS_UNKNOWN);
  else if (row->key[0] == 'j' ? cell_job_state (owner->core, id) != 0
                              : cell_job_ended (owner->core, id))
    send_outcome (records, row, RECORDS_STORED);
  else if (row->key[0] == 'j' && is_full (records, value.len))
    {
      met_add (&owner->entry->met, MET_JOBS_REFUSED_MEMORY, 1);
      send_answer (records, row, RECORDS_NO_ROOM, WAITING_RETRY_AFTER_S);
    }
  else if (records->down_since_us != 0
           && (is_probing (records) || now_us < records->next_probe_us))
    send_outcome (records, row, RECORDS_REFUSED);
  else
    {
      records->next_probe_us = now_us + PROBE_INTERVAL_US;
      row->data = malloc (value.len > 0 ? value.len : 1);
      memcpy (row->data, value.data, value.len);
      row->len = value.len;
      records->waiting_bytes += row->len;
      g_queue_push_tail (&records->waiting, row);
      if (row->key[0] == 'j')
        owner_add_unstored_job (owner, id, value);
      owner_input_added (owner);
      if (row->key[0] != 'j' || !refuse_job (records, row, id))
        return;
    }
  free_row (row);
}

void
records_begin (struct entry_records *records, struct entry_owner *owner)
{
  memset (records, 0, sizeof *records);
  records->owner = owner;
  records->part_count
      = CLAMP (owner->entry->desc.settings->log_parts, 1, RECORDS_PARTS_MAX);
  records->parts = g_new0 (struct records_part, records->part_count);
  records->loaded = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           records_free_loaded);
  records->block_parts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&records->waiting);
  for (uint32_t i = 0; i < records->part_count; i++)
    {
      struct records_part *part = &records->parts[i];

      part->records = records;
      part->index = i;
      part->rows = g_ptr_array_new_with_free_func (free_row);
      g_queue_init (&part->removals);
      tail_setup (&part->tail, &(struct tail_desc){
                                   .loop = owner->entry->desc.loop,
                                   .log = log_of (records),
                                   .stream = PT_STREAM_CELL,
                                   .part = i,
                                   .keyed = true,
                                   .gap_ms = LOAD_GAP_MS,
                                   .record = records_on_record,
                                   .caught_up = check_loaded,
                                   .user = part,
                               });
      tail_start (&part->tail);
    }
}

void
records_end (struct entry_records *records)
{
  struct records_row *row;

  while ((row = take_waiting (records)) != NULL)
    {
      send_outcome (records, row, RECORDS_UNKNOWN);
      free_row (row);
    }
  for (uint32_t p = 0; p < records->part_count; p++)
    {
      tail_stop (&records->parts[p].tail);
      for (guint i = 0; i < records->parts[p].rows->len; i++)
        {
          row = g_ptr_array_index (records->parts[p].rows, i);
          if (row->submitted)
            send_outcome (records, row, RECORDS_UNKNOWN);
        }
    }
}

bool
records_busy (const struct entry_records *records)
{
  for (uint32_t i = 0; i < records->part_count; i++)
    if (records->parts[i].tail.in_flight)
      return true;
  return false;
}

void
records_shutdown (struct entry_records *records)
{
  for (uint32_t i = 0; i < records->part_count; i++)
    {
      g_ptr_array_free (records->parts[i].rows, TRUE);
      g_queue_clear_full (&records->parts[i].removals, g_free);
    }
  g_free (records->parts);
  g_hash_table_destroy (records->loaded);
  g_hash_table_destroy (records->block_parts);
}
