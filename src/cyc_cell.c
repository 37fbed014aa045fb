/* Decision core of a cell: configuration, workers and their reports. */

#include "cyc_cell_internal.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000

void
cell_config_free (struct cell_config *config)
{
  if (config == NULL)
    return;
  for (uint32_t i = 0; i < config->team_count; i++)
    free (config->teams[i].keys);
  for (uint32_t i = 0; i < config->queue_count; i++)
    free ((char *)config->queues[i].path_prefix.data);
  free (config->queues);
  free (config->teams);
  free (config->pools);
  free (config);
}

const struct cell_queue_cfg *
cell_config_route (const struct cell_config *config, struct cyc_str host,
                   struct cyc_str path)
{
  const struct cell_queue_cfg *best = NULL;
  size_t best_len = 0;
  struct cyc_name name;

  cyc_name_set_any (&name, host);
  for (uint32_t i = 0; i < config->queue_count; i++)
    {
      const struct cell_queue_cfg *queue = &config->queues[i];
      size_t len = queue->path_prefix.len;

      if (len < best_len || (best != NULL && len == best_len) || path.len < len
          || memcmp (path.data, queue->path_prefix.data, len) != 0
          || !cyc_name_eq (&queue->host, &name))
        continue;
      best = queue;
      best_len = len;
    }
  return best;
}

const struct cell_team_cfg *
cell_config_team_of_key (const struct cell_config *config, struct cyc_str key)
{
  struct cyc_name name;

  cyc_name_set_any (&name, key);
  for (uint32_t i = 0; i < config->team_count; i++)
    for (uint32_t k = 0; k < config->teams[i].key_count; k++)
      if (cyc_name_eq (&config->teams[i].keys[k], &name))
        return &config->teams[i];
  return NULL;
}

const struct cell_queue_cfg *
cell_config_queue (const struct cell_config *config, struct cyc_str name)
{
  for (uint32_t i = 0; i < config->queue_count; i++)
    if (cyc_str_eq (cyc_name_str (&config->queues[i].name), name))
      return &config->queues[i];
  return NULL;
}

bool
cell_job_id_parse (struct cyc_str text, uint64_t *out)
{
  uint64_t id = 0;

  if (text.len != 16)
    return false;
  for (size_t i = 0; i < text.len; i++)
    {
      int digit = g_ascii_xdigit_value (text.data[i]);

      if (digit < 0)
        return false;
      id = id << 4 | (uint64_t)digit;
    }
  *out = id;
  return true;
}

static void
free_worker (gpointer data)
{
  struct cell_worker *worker = data;

  g_free (worker->full_id);
  g_free (worker);
}

struct cell_core *
cell_setup (const struct cell_desc *desc)
{
  struct cell_core *core = g_new0 (struct cell_core, 1);

  core->desc = *desc;
  cell_memory_setup (&core->memory, desc->memory_bytes);
  core->desc.lease_max_ms = MAX (desc->lease_max_ms, desc->lease_ms);
  core->workers = g_ptr_array_new_with_free_func (free_worker);
  core->worker_rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->evacuated_domains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  core->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  core->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->queue_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->queue_allowed_permille
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->waiting = g_ptr_array_new ();
  core->scheduled_jobs = g_ptr_array_new ();
  g_queue_init (&core->retired);
  core->dirty = g_ptr_array_new ();
  core->questions = g_ptr_array_new_with_free_func (g_free);
  core->holds = g_array_new (FALSE, FALSE, sizeof (struct cell_hold));
  core->runs = g_ptr_array_new ();
  core->run_generations = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  core->free_runs = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  core->state_pending = g_ptr_array_new ();
  core->records = g_ptr_array_new ();
  g_queue_init (&core->recording);
  g_queue_init (&core->orders);
  core->acks = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  core->reserved_rows = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  cell_look_setup (core);
  cell_over_setup (core);
  cell_twice_setup (core);
  cell_speed_setup (core);
  cell_blame_setup (core);
  cell_attempts_setup (core);
  core->batch = 1;
  core->durable_out_of_order = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  core->revision = desc->first_revision;
  core->next_ask = desc->first_revision + 1;
  core->next_us = UINT64_MAX;
  core->next_placement_us = UINT64_MAX;
  return core;
}

void
cell_job_free (struct cell_job *job)
{
  cell_rounds_free (job);
  g_array_free (job->dirty_blocks, TRUE);
  cyc__cell_job__free_unpacked (job->spec, NULL);
  g_free (job);
}

static void
free_job (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  (void)user;
  cell_job_free (value);
}

void
cell_shutdown (struct cell_core *core)
{
  struct cell_record record;

  if (core == NULL)
    return;
  while (cell_batch_next (core, &record))
    free (record.data);
  for (guint i = 0; i < core->runs->len; i++)
    {
      struct cell_run *run = g_ptr_array_index (core->runs, i);

      if (run != NULL)
        cell_ticket_release (run);
      g_free (run);
    }
  g_hash_table_foreach (core->jobs, free_job, NULL);
  g_hash_table_destroy (core->jobs);
  g_hash_table_destroy (core->teams);
  g_hash_table_destroy (core->worker_rows);
  g_hash_table_destroy (core->evacuated_domains);
  g_hash_table_destroy (core->queue_times);
  g_hash_table_destroy (core->queue_allowed_permille);
  g_ptr_array_free (core->workers, TRUE);
  g_ptr_array_free (core->waiting, TRUE);
  g_ptr_array_free (core->scheduled_jobs, TRUE);
  g_queue_clear_full (&core->retired, g_free);
  g_ptr_array_free (core->dirty, TRUE);
  g_ptr_array_free (core->questions, TRUE);
  g_array_free (core->holds, TRUE);
  g_ptr_array_free (core->runs, TRUE);
  g_ptr_array_free (core->state_pending, TRUE);
  g_ptr_array_free (core->records, TRUE);
  g_array_free (core->run_generations, TRUE);
  g_array_free (core->durable_out_of_order, TRUE);
  g_array_free (core->free_runs, TRUE);
  g_queue_clear (&core->recording);
  g_queue_clear_full (&core->orders, g_free);
  g_array_free (core->acks, TRUE);
  g_array_free (core->reserved_rows, TRUE);
  cell_look_shutdown (core);
  cell_over_shutdown (core);
  cell_twice_shutdown (core);
  cell_speed_shutdown (core);
  cell_blame_shutdown (core);
  cell_attempts_shutdown (core);
  g_free (core);
}

void
cell_wake (struct cell_core *core, uint64_t at_us)
{
  if (at_us < core->next_us)
    core->next_us = at_us;
}

uint64_t
cell_next_us (const struct cell_core *core)
{
  return core->next_us;
}

static void
list_dirty (struct cell_core *core, struct cell_job *job)
{
  if (job->dirty)
    return;
  job->dirty = true;
  g_ptr_array_add (core->dirty, job);
}

void
cell_job_mark_dirty (struct cell_core *core, struct cell_job *job)
{
  job->state_dirty = true;
  list_dirty (core, job);
}

void
cell_task_mark_dirty (struct cell_core *core, struct cell_job *job,
                      uint32_t round, uint32_t task)
{
  struct cell_block_ref ref = { round, task / CELL_BLOCK_TASKS };
  struct cell_block *block = &cell_round_at (job, round)->blocks[ref.block];

  list_dirty (core, job);
  if (!job->in_blocks || block->dirty)
    return;
  block->dirty = true;
  g_array_append_val (job->dirty_blocks, ref);
}

/* Configuration. */

static void
apply_team (struct cell_core *core, const struct cell_team_cfg *cfg)
{
  struct cell_team *team = cell_team_of (core, cyc_name_str (&cfg->name));

  team->limit = cfg->limit;
  team->weight = cfg->weight;
  team->known = true;
}

static void
apply_to_job (gpointer key, gpointer value, gpointer user)
{
  struct cell_core *core = user;
  struct cell_job *job = value;
  const struct cell_queue_cfg *queue
      = cell_config_queue (core->config, cyc_name_str (&job->queue));

  (void)key;
  job->cfg_known = queue != NULL;
  if (queue != NULL)
    cell_job_configure (job, queue);
}

void
cell_config_set (struct cell_core *core, const struct cell_config *config)
{
  GHashTableIter iter;
  gpointer team;

  core->config = config;
  g_hash_table_iter_init (&iter, core->teams);
  while (g_hash_table_iter_next (&iter, NULL, &team))
    ((struct cell_team *)team)->known = false;
  for (uint32_t i = 0; i < config->team_count; i++)
    apply_team (core, &config->teams[i]);
  g_hash_table_foreach (core->jobs, apply_to_job, core);
  cell_attempts_check_later (core);
  core->placement_pending = true;
  cell_wake (core, 0);
}

struct cell_team *
cell_team_of (struct cell_core *core, struct cyc_str name)
{
  char text[CYC_NAME_MAX_BYTES + 1];
  struct cell_team *team;

  /* cell_job_check and cyc_name_set_any let no longer name come here. */
  snprintf (text, sizeof text, "%.*s", CYC_FMT (name));
  team = g_hash_table_lookup (core->teams, text);
  if (team != NULL)
    return team;
  team = g_new0 (struct cell_team, 1);
  cyc_name_set (&team->name, cyc_str_of (text));
  g_hash_table_insert (core->teams, g_strdup (text), team);
  return team;
}

/* Workers. */

struct cell_worker *
cell_worker_at (const struct cell_core *core, uint32_t row)
{
  return g_ptr_array_index (core->workers, row);
}

uint32_t
cell_worker_count (const struct cell_core *core)
{
  return core->workers->len;
}

uint32_t
cell_worker_row (struct cell_core *core, struct cyc_str id)
{
  char text[CYC_NAME_MAX_BYTES + 1];
  const uint32_t *found;
  struct cell_worker *worker;
  uint32_t row;

  snprintf (text, sizeof text, "%.*s", CYC_FMT (id));
  found = g_hash_table_lookup (core->worker_rows, text);
  if (found != NULL)
    return *found;
  worker = g_new0 (struct cell_worker, 1);
  cyc_name_set (&worker->id, cyc_str_of (text));
  g_ptr_array_add (core->workers, worker);
  row = core->workers->len - 1;
  worker->row = row;
  g_hash_table_insert (core->worker_rows, g_strdup (text),
                       g_memdup2 (&row, sizeof row));
  return row;
}

bool
cell_worker_find (const struct cell_core *core, struct cyc_str id,
                  uint32_t *row)
{
  struct cyc_name name;
  const uint32_t *found;

  cyc_name_set_any (&name, id);
  found = g_hash_table_lookup (core->worker_rows, name.data);
  if (found == NULL
      || !cyc_name_eq (&cell_worker_at (core, *found)->id, &name))
    return false;
  *row = *found;
  return true;
}

bool
cell_entry_current (const struct cell_worker *worker)
{
  return worker->entry_born_ms == 0
         || worker->entry_born_ms == worker->born_ms;
}

bool
cell_worker_usable (const struct cell_core *core,
                    const struct cell_worker *worker)
{
  /* After a pause a worker gets one task at a time until a task succeeds. */
  return worker->listed && cell_entry_current (worker) && !worker->draining
         && !worker->evacuated && worker->fenced && worker->reachable
         && worker->paused_until_us <= core->now_us
         && (worker->pause_count == 0 || worker->run_count == 0);
}

/* Drops the evidence that the worker has left. */
static void
still_there (struct cell_worker *worker)
{
  worker->entry_left_us = 0;
  worker->absent_us = 0;
  worker->exited_us = 0;
  worker->replaced = false;
}

/* A draining worker has left if it removed its entry, not before the time for
   which it has announced to stay, and its process is gone. None of it is
   enough alone: an entry may lapse, and a cut may refuse calls. A store that
   was away may let entries lapse early, so the entry must have been written
   since it was last away. */
static void
check_exit (struct cell_core *core, struct cell_worker *worker)
{
  if (worker->entry_left_us == 0 || worker->absent_us == 0
      || worker->exited_us != 0)
    return;
  worker->exited_us = core->now_us;
  cell_worker_touch (core, worker);
  cell_wake (core, core->now_us);
}

/* Resets what depends on the worker's earlier incarnation. */
static void
start_incarnation (struct cell_core *core, uint32_t row, uint64_t born_ms)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  cell_worker_touch (core, worker);
  if (worker->born_ms != 0)
    {
      core->restarts_seen++;
      cell_blame_reborn (core, row);
    }
  cell_speed_reborn (worker, born_ms);
  worker->known_us = core->now_us;
  worker->answered_us = 0;
  worker->fenced_us = 0;
  worker->reborn_us = worker->born_ms != 0 ? core->now_us : 0;
  worker->former_born_ms = MAX (worker->former_born_ms, worker->born_ms);
  worker->born_ms = born_ms;
  worker->clock_ms = 0;
  worker->lease_deadline_ms = 0;
  /* An earlier leader may extend leases for longer than from now. */
  worker->lease_until_us = MAX (worker->lease_until_us,
                                cell_lease_lapsed_us (core, core->now_us));
  still_there (worker);
  worker->address_reported_us = 0;
  worker->broken_us = 0;
  worker->received_end = 0;
  worker->first_listed_end = 0;
  worker->ack = 0;
  worker->ack_next = 0;
  worker->ack_batch = 0; /* and is then removed from core->acks */
  worker->fenced = false;
  worker->consecutive_failures = 0;
  worker->paused_until_us = 0;
  worker->pause_count = 0;
}

static bool
is_configured_pool (const struct cell_core *core, const struct cyc_name *pool)
{
  for (uint32_t i = 0; core->config != NULL && i < core->config->pool_count;
       i++)
    if (cyc_name_eq (&core->config->pools[i].name, pool))
      return true;
  return false;
}

/* Returns whether an incarnation that differs from the current one counts as
   an earlier one by its birth. That is a time of day, which may be set back
   while the worker restarts. */
static bool
is_born_before (const struct cell_worker *worker, uint64_t born_ms)
{
  return born_ms != 0 && born_ms != worker->born_ms
         && born_ms <= MAX (worker->born_ms, worker->former_born_ms);
}

/* Returns whether the entry is to be ignored: it is of an earlier incarnation,
   or would move a worker to a pool of no configuration. */
static bool
is_odd_entry (const struct cell_core *core, const struct cell_worker *worker,
              const struct cell_worker_entry *entry)
{
  if (is_born_before (worker, entry->born_ms))
    return true;
  return worker->listed && !cyc_name_eq (&worker->pool, &entry->pool)
         && is_configured_pool (core, &worker->pool)
         && !is_configured_pool (core, &entry->pool);
}

/* Returns whether the entry shows the pool and the capacity that are known. */
static bool
offers_the_same (const struct cell_worker *worker,
                 const struct cell_worker_entry *entry)
{
  return worker->capacity.millicores == entry->capacity.millicores
         && worker->capacity.memory_mib == entry->capacity.memory_mib
         && worker->capacity.accelerators == entry->capacity.accelerators
         && cyc_name_eq (&worker->pool, &entry->pool);
}

void
cell_entries_reading (struct cell_core *core, uint64_t before_us,
                      uint64_t now_us)
{
  if (before_us == 0 || now_us > before_us + CELL_ENTRIES_GAP_MAX_US)
    core->entries_gap_us = now_us;
}

bool
cell_worker_listed (struct cell_core *core,
                    const struct cell_worker_entry *entry,
                    uint64_t entry_after_us, uint64_t now_us)
{
  uint32_t row = cell_worker_row (core, cyc_name_str (&entry->id));
  struct cell_worker *worker = cell_worker_at (core, row);
  bool moved = !cyc_str_eq (cyc_name_str (&worker->address),
                            cyc_name_str (&entry->address));
  bool is_new = !worker->listed || entry->born_ms > worker->born_ms || moved;

  core->now_us = now_us;
  if (is_odd_entry (core, worker, entry))
    return false;
  cell_worker_touch (core, worker);
  if (!worker->listed || worker->draining != entry->draining
      || !offers_the_same (worker, entry)
      || worker->entry_born_ms != entry->born_ms)
    {
      core->placement_pending = true;
      cell_wake (core, now_us);
    }
  worker->listed = true;
  still_there (worker);
  worker->draining = entry->draining;
  worker->listed_after_us = entry_after_us;
  worker->stays_until_us
      = entry->draining && entry->leaves_in_ms > 0 && entry_after_us != 0
            ? entry_after_us + (uint64_t)entry->leaves_in_ms * US_PER_MS
            : 0;
  if (worker->full_id == NULL && entry->full_id.len > 0)
    worker->full_id = g_strndup (entry->full_id.data, entry->full_id.len);
  worker->pool = entry->pool;
  worker->domain = entry->domain;
  cell_evacuate_listed (core, worker);
  worker->cold_until_us
      = entry->cold_ms > 0 ? now_us + (uint64_t)entry->cold_ms * US_PER_MS : 0;
  worker->address = entry->address;
  if (moved)
    {
      worker->address_since_us = now_us;
      worker->address_reported_us = 0;
    }
  worker->capacity = entry->capacity;
  worker->entry_born_ms = entry->born_ms;
  memcpy (worker->labels, entry->labels, sizeof worker->labels);
  worker->label_count = entry->label_count;
  if (entry->born_ms != 0 && entry->born_ms != worker->born_ms)
    start_incarnation (core, row, entry->born_ms);
  if (entry->born_ms != 0 && entry->born_ms == worker->born_ms)
    cell_over_listed (core, worker, entry_after_us);
  return is_new;
}

void
cell_worker_unlisted (struct cell_core *core, struct cyc_str id,
                      uint64_t now_us)
{
  struct cell_worker *worker;
  uint32_t row;
  uint64_t silence_us
      = (uint64_t)core->desc.heartbeat_ms * CELL_EXIT_HEARTBEATS_PERMILLE;

  core->now_us = now_us;
  if (!cell_worker_find (core, id, &row))
    return;
  worker = cell_worker_at (core, row);
  cell_worker_touch (core, worker);
  if (worker->listed && worker->draining
      && worker->listed_after_us > core->entries_gap_us
      && now_us >= worker->stays_until_us
      && now_us < worker->listed_after_us + silence_us)
    worker->entry_left_us = now_us;
  check_exit (core, worker);
  if (worker->listed)
    worker->unlisted_us = now_us;
  worker->listed = false;
}

void
cell_worker_view (const struct cell_core *core, uint32_t row,
                  struct cell_worker_view *out)
{
  const struct cell_worker *worker = cell_worker_at (core, row);

  out->id = cyc_name_str (&worker->id);
  out->full_id = worker->full_id != NULL ? cyc_str_of (worker->full_id)
                                         : cyc_name_str (&worker->id);
  out->address = cyc_name_str (&worker->address);
  out->listed = worker->listed;
  out->draining = worker->draining;
  out->runs = worker->run_count;
  out->born_ms = worker->born_ms;
  out->fenced = worker->fenced;
  out->report_after_us = cell_look_report_after_us (core, row);
  out->received_end = worker->received_end;
  out->lease_deadline_ms = worker->lease_deadline_ms;
  out->ends_pending = worker->ack < worker->received_end;
  out->ack = worker->first_listed_end != 0
                     && worker->first_listed_end <= worker->ack
                 ? worker->ack
                 : 0;
  out->clock_ms = worker->clock_ms;
  out->clock_at_us = worker->clock_at_us;
  out->listed_after_us = worker->listed_after_us;
  out->left_us = worker->exited_us;
}

void
cell_worker_leased (struct cell_core *core, uint32_t row, uint64_t deadline_ms)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  if (deadline_ms > worker->lease_deadline_ms)
    worker->lease_deadline_ms = deadline_ms;
}

/* After a call without an answer another incarnation may have taken the
   worker's place, which counts its ends anew. It would forget those that it
   has not reported yet, so ends are acknowledged again once a report lists
   them. */
static void
withhold_ack (struct cell_worker *worker, uint64_t now_us)
{
  worker->first_listed_end = 0;
  worker->ack_withheld_us = now_us;
}

void
cell_worker_unanswered (struct cell_core *core, uint32_t row,
                        enum cell_call_end end, uint64_t sent_us,
                        uint64_t now_us)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  core->now_us = now_us;
  cell_worker_touch (core, worker);
  withhold_ack (worker, now_us);
  /* A worker that has answered since is not silent: one order is late. */
  if (end != CELL_CALL_SILENT || sent_us >= worker->clock_at_us)
    cell_blame_broken (core, row, end, now_us);
  if (end != CELL_CALL_REFUSED)
    return;
  worker->absent_us = now_us;
  check_exit (core, worker);
}

void
cell_worker_broken (struct cell_core *core, uint32_t row, uint64_t broken_us,
                    uint64_t now_us)
{
  core->now_us = now_us;
  cell_worker_touch (core, cell_worker_at (core, row));
  cell_blame_broken (core, row, CELL_CALL_BROKEN, broken_us);
}

/* Another writer may give a worker a wrong address. An answer from there says
   nothing of the worker, unless it had reported at that address. */
void
cell_worker_replaced (struct cell_core *core, uint32_t row, uint64_t sent_us,
                      uint64_t now_us)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  core->now_us = now_us;
  if (worker->address_reported_us == 0
      || sent_us <= worker->address_reported_us || worker->exited_us != 0)
    return;
  worker->exited_us = now_us;
  worker->replaced = true;
  cell_worker_touch (core, worker);
  cell_wake (core, now_us);
}

void
cell_worker_silent (struct cell_core *core, uint32_t row, uint64_t now_us)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  core->now_us = now_us;
  cell_worker_touch (core, worker);
  if (worker->reachable || worker->silent_us == 0)
    worker->silent_us = now_us;
  worker->reachable = false;
  withhold_ack (worker, now_us);
  cell_blame_broken (core, row, CELL_CALL_SILENT, now_us);
  cell_wake (core, now_us);
}

static struct cell_run *
find_run (const struct cell_worker *worker, const struct cell_job *job,
          uint32_t round, uint32_t task, uint32_t number)
{
  for (struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (run->job == job && run->round == round && run->task == task
        && run->number == number)
      return run;
  return NULL;
}

/* Stops the runs of a task or gang that is done, except number @p number,
   which ended as done. */
static void
stop_other_runs (struct cell_core *core, struct cell_job *job, uint32_t round,
                 uint32_t task, uint32_t number)
{
  const struct cell_stage *stage = cell_stage_of_task (job, round, task);
  bool gang = cell_stage_step (stage)->gang;
  uint32_t first = gang ? stage->first_task : task;
  uint32_t count = gang ? stage->count : 1;

  for (uint32_t t = first; t < first + count; t++)
    {
      struct cell_run *run = cell_task_peek (job, round, t)->run;

      if (run != NULL && run->number != number)
        cell_run_stop (core, run);
    }
}

static void
apply_end (struct cell_core *core, struct cell_worker *worker,
           uint32_t worker_row, const struct cell_end_row *end,
           uint64_t clock_ms)
{
  struct cell_job *job;
  struct cell_run *run;
  struct cell_task *task_row;
  uint32_t round;
  uint32_t task;

  if (!cell_task_parse (core, end->task, &job, &round, &task))
    return;
  task_row = cell_task_at (job, round, task);
  task_row->ended_run = end->run;
  task_row->ended_worker = worker_row;
  task_row->ended_born_ms = worker->born_ms;
  task_row->ended_clock_ms = clock_ms;
  run = find_run (worker, job, round, task, end->run);
  if (run == NULL)
    cell_over_ended (core, worker, end);
  if (run != NULL
      && (end->kind == CELL_END_DONE || end->kind == CELL_END_FAILED))
    cell_blame_survived (core, run);
  if (end->kind == CELL_END_FAILED)
    {
      if (run == NULL)
        cell_over_contradict (core, worker_row, end->task, end->run, true);
      cell_attempt_failed (
          core, &(struct cell_failed_end){ .job = job,
                                           .round = round,
                                           .task = task,
                                           .run = end->run,
                                           .worker = worker_row,
                                           .number = end->number,
                                           .run_known = run != NULL });
    }
  if (run != NULL && end->kind != CELL_END_DONE)
    cell_run_ended (core, run, end->kind, end->checkpoint);
  if (end->kind != CELL_END_DONE)
    return;
  if (run != NULL)
    {
      worker->consecutive_failures = 0;
      worker->pause_count = 0;
      cell_pace_done (core, run);
      cell_run_free (core, run);
    }
  else
    cell_over_contradict (core, worker_row, end->task, end->run, true);
  if (!cell_stage_step (cell_stage_of_task (job, round, task))->long_running)
    stop_other_runs (core, job, round, task, end->run);
  cell_task_done (core, job, round, task);
}

static void
apply_ends (struct cell_core *core, struct cell_worker *worker,
            uint32_t worker_row, const struct cell_report *report)
{
  worker->first_listed_end = 0;
  for (uint32_t i = 0; i < report->end_count; i++)
    {
      const struct cell_end_row *end = &report->ends[i];

      if (report->sent_us >= worker->ack_withheld_us
          && (worker->first_listed_end == 0
              || end->number < worker->first_listed_end))
        worker->first_listed_end = end->number;
      if (end->number <= worker->received_end)
        continue;
      worker->received_end = end->number;
      apply_end (core, worker, worker_row, end, report->clock_ms);
    }
  if (worker->ack_batch == 0 && worker->received_end > worker->ack)
    {
      worker->ack_next = worker->received_end;
      cell_ack_later (core, worker);
    }
}

/* Returns whether the worker had listed the end of the run already when it
   made the report, which a later report has overtaken. */
static bool
had_ended (const struct cell_task *task, uint32_t worker_row,
           const struct cell_report *report, uint32_t run)
{
  return run == task->ended_run && worker_row == task->ended_worker
         && report->born_ms == task->ended_born_ms
         && report->clock_ms <= task->ended_clock_ms;
}

static struct cell_run *
find_running (struct cell_core *core, struct cell_worker *worker,
              uint32_t worker_row, const struct cell_report *report,
              const struct cell_running_row *row)
{
  struct cell_job *job;
  struct cell_run *run;
  uint32_t round;
  uint32_t task;

  if (!cell_task_parse (core, row->task, &job, &round, &task))
    return NULL;
  run = find_run (worker, job, round, task, row->run);
  if (run != NULL)
    return run;
  if (had_ended (cell_task_peek (job, round, task), worker_row, report,
                 row->run))
    return NULL;
  cell_over_contradict (core, worker_row, row->task, row->run, false);
  return cell_run_adopt (core, job, round, task, worker_row, row->run);
}

static void
apply_running (struct cell_core *core, struct cell_worker *worker,
               uint32_t worker_row, const struct cell_report *report,
               GHashTable *seen)
{
  for (uint32_t i = 0; i < report->running_count; i++)
    {
      const struct cell_running_row *row = &report->running[i];
      struct cell_run *run
          = find_running (core, worker, worker_row, report, row);
      struct cell_task *task;
      bool first;

      if (run == NULL)
        continue;
      first = run->seen_born_ms != worker->born_ms;
      g_hash_table_add (seen, run);
      cell_pace_progress (core, run, row->percent);
      run->job->begun = true;
      /* No start that is yet to be written can be that of a run that is
         shown. */
      if (run->inherited)
        run->call_ended_us = MIN (run->call_ended_us, core->now_us);
      if (!run->started_again)
        run->earlier_copy_us = 0;
      run->inherited = false;
      cell_over_seen (core, worker, run, report->sent_us);
      if (run->state == CELL_RUN_STARTING)
        {
          run->state = CELL_RUN_RUNNING;
          run->confirmed_us = core->now_us;
          if (run->stop_confirmed_us == 0 && !run->superseded
              && cell_job_open (run->job))
            run->stop_requested = false;
        }
      if (first)
        cell_twice_check (core, run);
      cell_blame_seen (core, run, report);
      task = cell_task_at (run->job, run->round, run->task);
      if (task->run == run && row->checkpoint.len > 0
          && row->checkpoint.len < sizeof task->checkpoint)
        snprintf (task->checkpoint, sizeof task->checkpoint, "%.*s",
                  CYC_FMT (row->checkpoint));
    }
}

void
cell_worker_report (struct cell_core *core, uint32_t row,
                    const struct cell_report *report, uint64_t now_us)
{
  struct cell_worker *worker = cell_worker_at (core, row);
  GHashTable *seen = g_hash_table_new (NULL, NULL);

  core->now_us = now_us;
  /* An earlier incarnation had ended before the current one was known, so it
     answers no call that was sent later. */
  if (is_born_before (worker, report->born_ms)
      && report->sent_us <= worker->known_us)
    {
      g_hash_table_destroy (seen);
      return; /* of an earlier incarnation */
    }
  if (report->born_ms != 0 && report->born_ms != worker->born_ms)
    start_incarnation (core, row, report->born_ms);
  cell_worker_touch (core, worker);
  cell_blame_answered (core, row, report->sent_us);
  if (worker->answered_us == 0)
    worker->answered_us = now_us;
  if (report->fenced_born_ms == report->born_ms)
    cell_stale_fenced (core, worker, report->born_ms);
  if (report->clock_ms > worker->clock_ms)
    {
      worker->clock_ms = report->clock_ms;
      worker->clock_at_us = now_us;
    }
  if (!worker->fenced || !worker->reachable)
    core->placement_pending = true;
  if (!worker->fenced)
    cell_worker_leased (core, row, report->clock_ms + core->desc.lease_ms);
  if (!worker->reachable)
    cell_runs_reached (core, worker);
  worker->fenced = true;
  worker->reachable = true;
  if (report->sent_us >= worker->address_since_us)
    worker->address_reported_us = now_us;
  still_there (worker);
  apply_ends (core, worker, row, report);
  apply_running (core, worker, row, report, seen);
  cell_over_reported (core, worker, report, seen);
  cell_pace_worker (core, worker);
  g_hash_table_destroy (seen);
  cell_wake (core, now_us);
}

uint64_t
cell_restarts_seen (const struct cell_core *core)
{
  return core->restarts_seen;
}

void
cell_tick (struct cell_core *core, uint64_t now_us, uint64_t now_ms)
{
  core->now_us = now_us;
  core->now_ms = now_ms;
  core->next_us = UINT64_MAX;
  cell_attempts_tick (core);
  cell_runs_tick (core);
  cell_rounds_tick (core);
  cell_look_count (core);
  cell_speed_tick (core);
  cell_place_tick (core);
}

void
cell_totals (const struct cell_core *core, struct cell_totals *out)
{
  GHashTableIter iter;
  gpointer value;

  memset (out, 0, sizeof *out);
  out->jobs = g_hash_table_size (core->jobs);
  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    out->jobs_open += cell_job_open (value);
  out->jobs_bytes = core->memory.jobs_bytes;
  out->rounds_bytes = core->memory.rounds_bytes;
  out->stages_waiting = core->waiting->len;
  out->asks_waiting = core->questions->len;
  out->trials_waiting = core->trials_waiting;
  out->speed_spread_permille = (uint32_t)(sqrt (core->speeds.between) * 1000);
  out->gang_share_permille = core->gang_share_permille;
  out->gang_loss = (uint64_t)core->gang_loss;
  out->others_loss = (uint64_t)core->others_loss;
  out->trials_held = core->holds->len;
  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);

      out->runs += worker->run_count;
      out->used_millicores += worker->used_millicores;
      if (worker->evacuated && worker->listed)
        {
          out->workers_evacuated++;
          out->runs_evacuated += worker->run_count;
        }
      if (!cell_worker_usable (core, worker))
        continue;
      out->workers_usable++;
      out->workers_slow += cell_speed_is_slow (core, worker);
      out->capacity_millicores += worker->capacity.millicores;
    }
}
