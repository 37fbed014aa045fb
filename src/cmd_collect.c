#include "cmd_collect.h"
#include "record.pb-c.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_DEPTH 16

static void
add_file (struct col_set *set, enum col_kind kind, const char *path,
          struct cyc_findings *findings)
{
  struct col_item *item;
  GError *error = NULL;
  gsize len = 0;
  uint32_t before = findings->count + findings->dropped;
  struct cyc_str body;

  if (set->count == set->capacity)
    {
      set->capacity = set->capacity ? set->capacity * 2 : 64;
      set->items = g_renew (struct col_item, set->items, set->capacity);
    }
  item = &set->items[set->count];
  memset (item, 0, sizeof *item);
  item->kind = kind;
  if (!g_file_get_contents (path, &item->body, &len, &error))
    {
      cyc_findings_add (findings, cyc_str_of (path), "%s", error->message);
      g_error_free (error);
      return;
    }
  item->path = g_strdup (path);
  body = (struct cyc_str){ item->body, len };
  if (kind == COL_FLEET)
    {
      cyc_cfg_parse_fleet (body, cyc_str_of (path), &set->fleet, findings);
      snprintf (item->name, sizeof item->name, "fleet");
    }
  else if (kind == COL_TEAM)
    {
      cyc_cfg_parse_team (body, cyc_str_of (path), &item->team, findings);
      if (item->team.name.len > 0)
        snprintf (item->name, sizeof item->name, "team/%s",
                  item->team.name.data);
    }
  else
    {
      cyc_cfg_parse_queue (body, cyc_str_of (path), &item->queue, findings);
      if (item->queue.name.len > 0)
        snprintf (item->name, sizeof item->name, "queue/%s",
                  item->queue.name.data);
    }
  item->valid = findings->count + findings->dropped == before;
  set->count++;
}

static int
path_order (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void collect_directory (struct col_set *set, const char *directory,
                               uint32_t depth, struct cyc_findings *findings);

static void
add_path (struct col_set *set, const char *path, uint32_t depth,
          struct cyc_findings *findings)
{
  gchar *base = g_path_get_basename (path);

  if (g_file_test (path, G_FILE_TEST_IS_SYMLINK))
    ;
  else if (g_file_test (path, G_FILE_TEST_IS_DIR))
    collect_directory (set, path, depth + 1, findings);
  else if (strcmp (base, "fleet.json") == 0)
    add_file (set, COL_FLEET, path, findings);
  else if (g_str_has_suffix (base, ".team.json"))
    add_file (set, COL_TEAM, path, findings);
  else if (g_str_has_suffix (base, ".job.json"))
    add_file (set, COL_QUEUE, path, findings);
  g_free (base);
}

static void
collect_directory (struct col_set *set, const char *directory, uint32_t depth,
                   struct cyc_findings *findings)
{
  GPtrArray *paths = g_ptr_array_new_with_free_func (g_free);
  GError *error = NULL;
  GDir *dir = g_dir_open (directory, 0, &error);
  const gchar *entry;

  if (dir == NULL || depth > MAX_DEPTH)
    cyc_findings_add (findings, cyc_str_of (directory), "%s",
                      error ? error->message : "directories nest too deep");
  while (dir != NULL && depth <= MAX_DEPTH
         && (entry = g_dir_read_name (dir)) != NULL)
    if (entry[0] != '.')
      g_ptr_array_add (paths, g_build_filename (directory, entry, NULL));
  /* A fixed order gives the same findings and the same record each time. */
  g_ptr_array_sort (paths, path_order);
  for (guint i = 0; i < paths->len; i++)
    add_path (set, paths->pdata[i], depth, findings);
  g_clear_error (&error);
  if (dir != NULL)
    g_dir_close (dir);
  g_ptr_array_unref (paths);
}

void
col_files (struct col_set *set, const char *directory,
           struct cyc_findings *findings)
{
  collect_directory (set, directory, 0, findings);
}

static const struct col_item *
find_item (const struct col_set *set, const char *name)
{
  for (uint32_t i = 0; i < set->count; i++)
    if (strcmp (set->items[i].name, name) == 0)
      return &set->items[i];
  return NULL;
}

static void
check_duplicates (const struct col_set *set, struct cyc_findings *findings)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < set->count; i++)
    {
      struct col_item *item = &set->items[i];
      const char *first;

      if (item->name[0] == '\0')
        continue;
      first = g_hash_table_lookup (seen, item->name);
      if (first != NULL)
        cyc_findings_add (findings, cyc_str_of (item->path),
                          "%s is already defined in %s", item->name, first);
      else
        g_hash_table_insert (seen, item->name, item->path);
    }
  g_hash_table_unref (seen);
}

/* A team whose file has defects is taken as present and without limits, so
   that its queues get no findings caused by the team's file. */
static struct cyc_team_cfg
team_of_item (const struct col_item *item)
{
  struct cyc_team_cfg team = item->team;

  if (!item->valid)
    {
      team.share_permille = 0;
      team.limit_millicores = UINT64_MAX;
      team.limit_accelerators = UINT64_MAX;
    }
  return team;
}

static void
merge_with_state (const struct col_set *set, const struct cyc_ledger *led,
                  bool delete_missing, GArray *teams, GArray *queues)
{
  const struct cyc_team_cfg *team;
  const struct cyc_queue_cfg *queue;
  char name[80];

  for (uint32_t i = 0; i < set->count; i++)
    if (set->items[i].kind == COL_TEAM && set->items[i].name[0] != '\0')
      {
        struct cyc_team_cfg row = team_of_item (&set->items[i]);

        g_array_append_val (teams, row);
      }
    else if (set->items[i].kind == COL_QUEUE && set->items[i].valid)
      g_array_append_val (queues, set->items[i].queue);
  if (delete_missing)
    return;
  for (uint32_t i = 0; (team = cyc_led_team_at (led, i)) != NULL; i++)
    {
      snprintf (name, sizeof name, "team/%s", team->name.data);
      if (find_item (set, name) == NULL)
        g_array_append_vals (teams, team, 1);
    }
  for (uint32_t i = 0; (queue = cyc_led_queue_at (led, i)) != NULL; i++)
    {
      snprintf (name, sizeof name, "queue/%s", queue->name.data);
      if (find_item (set, name) == NULL)
        g_array_append_vals (queues, queue, 1);
    }
}

/* Adds the findings of the checks across items with the item's file as place
   instead of the item's name. */
static void
add_findings_by_file (const struct col_set *set,
                      const struct cyc_findings *from,
                      struct cyc_findings *findings)
{
  for (uint32_t i = 0; i < from->count; i++)
    {
      const struct col_item *item = find_item (set, from->rows[i].place);
      char place[160];

      if (item != NULL)
        snprintf (place, sizeof place, "%.150s: $", item->path);
      else
        snprintf (place, sizeof place, "%s", from->rows[i].place);
      cyc_findings_add (findings, cyc_str_of (place), "%s",
                        from->rows[i].text);
    }
  findings->dropped += from->dropped;
}

void
col_check (const struct col_set *set, const struct cyc_ledger *led,
           bool delete_missing, struct cyc_findings *findings)
{
  GArray *teams = g_array_new (FALSE, TRUE, sizeof (struct cyc_team_cfg));
  GArray *queues = g_array_new (FALSE, TRUE, sizeof (struct cyc_queue_cfg));
  struct cyc_findings *cross_findings = g_new0 (struct cyc_findings, 1);
  const struct col_item *fleet = find_item (set, "fleet");
  struct cyc_cfg_set merged = { 0 };

  check_duplicates (set, findings);
  merge_with_state (set, led, delete_missing, teams, queues);
  if (fleet != NULL)
    merged.fleet = &set->fleet;
  else if (!delete_missing)
    merged.fleet = cyc_led_fleet (led);
  if (fleet != NULL && !fleet->valid)
    merged.fleet = cyc_led_fleet (led);
  merged.teams = (const struct cyc_team_cfg *)(void *)teams->data;
  merged.team_count = teams->len;
  merged.queues = (const struct cyc_queue_cfg *)(void *)queues->data;
  merged.queue_count = queues->len;
  if (fleet == NULL || merged.fleet != NULL)
    cyc_cfg_check_set (&merged, cross_findings);
  add_findings_by_file (set, cross_findings, findings);
  g_free (cross_findings);
  g_array_unref (teams);
  g_array_unref (queues);
}

static void
add_edit (struct col_edits *edits, const char *name, uint64_t base_version,
          const char *body, bool deleted)
{
  struct cyc_config_edit *row;

  if (edits->count == edits->capacity)
    {
      edits->capacity = edits->capacity ? edits->capacity * 2 : 64;
      edits->rows
          = g_renew (struct cyc_config_edit, edits->rows, edits->capacity);
      edits->names
          = g_realloc_n (edits->names, edits->capacity, sizeof *edits->names);
    }
  g_strlcpy (edits->names[edits->count], name, sizeof *edits->names);
  row = &edits->rows[edits->count++];
  *row = (struct cyc_config_edit){ .base_version = base_version,
                                   .body = cyc_str_of (body),
                                   .deleted = deleted };
}

static const Cyc__StateItem *
find_state_item (const Cyc__ControlState *state, const char *name)
{
  for (size_t i = 0; state != NULL && i < state->n_items; i++)
    if (strcmp (state->items[i]->name, name) == 0)
      return state->items[i];
  return NULL;
}

static void
add_edits_of_files (const struct col_set *set, const struct cyc_ledger *led,
                    const Cyc__ControlState *state, struct col_edits *out)
{
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct col_item *item = &set->items[i];
      const Cyc__StateItem *current = find_state_item (state, item->name);

      if (current != NULL && !current->deleted
          && strcmp (current->body, item->body) == 0)
        continue;
      add_edit (out, item->name,
                cyc_led_item_version (led, cyc_str_of (item->name)),
                item->body, false);
    }
}

bool
col_edits (const struct col_set *set, const struct cyc_ledger *led,
           bool delete_missing, struct col_edits *out)
{
  struct cyc_str encoded;
  Cyc__ControlState *state;

  memset (out, 0, sizeof *out);
  if (!cyc_led_encode (led, &encoded))
    return false;
  state = cyc__control_state__unpack (NULL, encoded.len,
                                      (const uint8_t *)encoded.data);
  free ((void *)encoded.data);
  if (state == NULL)
    return false;
  add_edits_of_files (set, led, state, out);
  for (size_t i = 0; delete_missing && i < state->n_items; i++)
    if (!state->items[i]->deleted
        && find_item (set, state->items[i]->name) == NULL)
      add_edit (out, state->items[i]->name, state->items[i]->version, "",
                true);
  cyc__control_state__free_unpacked (state, NULL);
  for (uint32_t i = 0; i < out->count; i++)
    out->rows[i].name = cyc_str_of (out->names[i]);
  return true;
}

void
col_release (struct col_set *set, struct col_edits *edits)
{
  for (uint32_t i = 0; i < set->count; i++)
    {
      g_free (set->items[i].path);
      g_free (set->items[i].body);
    }
  g_free (set->items);
  g_free (edits->rows);
  g_free (edits->names);
}
