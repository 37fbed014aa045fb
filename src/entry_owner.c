/* The life of a leader: loads what the log holds, writes the progress of jobs
   and runs the core. */

#include "entry_owner_internal.h"

/** Offset of a record that was not read from its stream. */
#define PUSHED UINT64_MAX
/** Gap between reads of accepted jobs, which are pushed as well. */
#define JOBS_GAP_MS 100
/** Gap after a batch that the log did not take. */
#define BATCH_RETRY_US 50000
/** Least gap between two batches: one append serves what came meanwhile. */
#define BATCH_GAP_US 4000
/** The view of accepted jobs is too old to say that a job is not known. */
#define JOBS_STALE_US 2500000
/** Gap between two lines on the load. */
#define LOAD_LINE_US 2000000
/** Tickets are not used in the last part of their life: the record and the
 * order need so long. */
#define TICKET_SLACK_MS 250
/** Longest time between two ticks of the core. */
#define CORE_TICK_US 200000

static void
free_batch (struct entry_owner *owner)
{
  for (guint i = 0; i < owner->batch->len; i++)
    {
      struct cell_record *record = g_ptr_array_index (owner->batch, i);

      free (record->data);
      g_free (record);
    }
  g_ptr_array_set_size (owner->batch, 0);
}

static void
drop_owner (struct entry_owner *owner)
{
  free_batch (owner);
  g_ptr_array_free (owner->batch, TRUE);
  g_hash_table_destroy (owner->cancelled);
  g_hash_table_destroy (owner->unusable);
  g_array_free (owner->workers, TRUE);
  cell_shutdown (owner->core);
  g_free (owner->jobs_tails);
  g_free (owner);
}

static bool
jobs_in_flight (const struct entry_owner *owner)
{
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    if (owner->jobs_tails[i].in_flight)
      return true;
  return false;
}

void
owner_drop_ended (struct entry *entry)
{
  for (guint i = 0; i < entry->ended_owners->len; i++)
    drop_owner (g_ptr_array_index (entry->ended_owners, i));
  g_ptr_array_set_size (entry->ended_owners, 0);
}

void
owner_reap (struct entry *entry)
{
  for (guint i = 0; i < entry->ended_owners->len;)
    {
      struct entry_owner *owner = g_ptr_array_index (entry->ended_owners, i);

      if (owner->calls > 0 || jobs_in_flight (owner)
          || owner->progress_tail.in_flight || owner->workers_tail.in_flight)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (entry->ended_owners, i);
      drop_owner (owner);
    }
}

bool
owner_call_ended (struct entry_owner *owner)
{
  owner->calls--;
  return !owner->ended;
}

void
owner_fed (struct entry_owner *owner)
{
  owner->input = true;
  entry_kick (owner->entry);
}

/* Streams. */

static void
on_job (void *user, const struct pt_record *record, uint64_t offset)
{
  struct entry_owner *owner = user;
  uint64_t now_us = hc_now_us ();
  gint64 id;
  uint64_t parsed;
  Cyc__CellJob *job;

  if (record->key.len != 17 || record->value.len == 0
      || !cell_job_id_parse ((struct cyc_str){ record->key.data + 1, 16 },
                             &parsed))
    return;
  id = (gint64)parsed;
  if (record->key.data[0] == 'c')
    {
      if (!cell_job_cancel (owner->core, parsed, now_us))
        g_hash_table_add (owner->cancelled, g_memdup2 (&id, sizeof id));
      ev_log (EV_JOB_CANCELLED, "job=%016" PRIx64 " offset=%" PRIu64, parsed,
              offset);
      owner_fed (owner);
      return;
    }
  job = cyc__cell_job__unpack (NULL, record->value.len,
                               (const uint8_t *)record->value.data);
  if (job == NULL)
    {
      ev_log (EV_RECORD_CORRUPT, "job=%016" PRIx64 " offset=%" PRIu64, parsed,
              offset);
      return;
    }
  if (owner->phase == OWNER_LEADING
      && cell_job_state (owner->core, parsed) == 0)
    ev_log (EV_JOB_SEEN,
            "job=%016" PRIx64 " queue=%s team=%s steps=%zu pushed=%d"
            " age_ms=%" PRId64,
            parsed, job->queue, job->team, job->n_steps, offset == PUSHED,
            (int64_t)(hc_wall_ms () - job->accepted_ms));
  cell_job_add (owner->core, parsed, job, now_us, hc_wall_ms ());
  if (g_hash_table_remove (owner->cancelled, &id))
    cell_job_cancel (owner->core, parsed, now_us);
  owner_fed (owner);
}

void
owner_push (struct entry *entry, const struct pt_record *record)
{
  if (entry->owner != NULL && entry->owner->phase == OWNER_LEADING)
    on_job (entry->owner, record, PUSHED);
}

static void
on_progress (void *user, const struct pt_record *record, uint64_t offset)
{
  struct entry_owner *owner = user;
  uint64_t lease_us
      = (uint64_t)owner->entry->desc.settings->lease_ms * 1000 * 103 / 100
        + 300000;
  uint64_t id;

  (void)offset;
  if (record->value.len == 0 || !cell_job_id_parse (record->key, &id))
    return;
  if (!cell_job_restore (owner->core, id, record->value,
                         owner->begun_us + lease_us))
    ev_log (EV_RECORD_CORRUPT, "stream=progress job=%016" PRIx64, id);
}

static void
on_progress_loaded (void *user)
{
  struct entry_owner *owner = user;
  struct cell_totals totals;

  tail_stop (&owner->progress_tail);
  owner->phase = OWNER_LEADING;
  cell_totals (owner->core, &totals);
  ev_log (EV_LEAD_LOADED,
          "epoch=%" PRIu64
          " jobs=%u open=%u runs=%u workers=%u took_ms=%" PRIu64,
          owner->epoch, totals.jobs, totals.jobs_open, totals.runs,
          cell_worker_count (owner->core),
          (hc_now_us () - owner->begun_us) / 1000);
  owner_fed (owner);
}

static void
on_jobs_loaded (void *user)
{
  struct entry_owner *owner = user;

  if (owner->phase != OWNER_LOADING_JOBS || !owner->fenced)
    return;
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    if (owner->jobs_tails[i].fresh_us == 0)
      return;
  owner->phase = OWNER_LOADING_PROGRESS;
  tail_start (&owner->progress_tail);
}

static void
on_worker (void *user, const struct pt_record *record, uint64_t offset)
{
  struct entry_owner *owner = user;
  struct cyc_findings findings = { 0 };
  struct cell_worker_entry entry;
  gchar *id;

  (void)offset;
  if (record->key.len == 0)
    return;
  if (record->value.len == 0)
    {
      cell_worker_unlisted (owner->core, record->key);
      ev_log (EV_TARGET_LEAVING, "worker=%.*s unlisted=1",
              CYC_FMT (record->key));
      owner_fed (owner);
      return;
    }
  if (owner->entry->desc.ports->records->worker (record->key, record->value,
                                                 &entry, &findings))
    {
      uint32_t before = cell_worker_count (owner->core);

      cell_worker_listed (owner->core, &entry, hc_now_us ());
      if (cell_worker_count (owner->core) > before || entry.draining)
        ev_log (EV_WORKER_LISTED,
                "worker=%s pool=%s domain=%s draining=%d millicores=%u",
                entry.id.data, entry.pool.data, entry.domain.data,
                entry.draining, entry.capacity.millicores);
      return;
    }
  id = g_strndup (record->key.data, record->key.len);
  if (g_hash_table_add (owner->unusable, id))
    ev_findings (EV_ENTRY_UNUSABLE, &findings);
}

/* Batches. */

static void
on_written (void *user, const struct pt_append_result *result)
{
  struct entry_owner *owner = user;
  uint64_t now_us = hc_now_us ();

  if (!owner_call_ended (owner))
    return;
  owner->batch_in_flight = false;
  if (result->fate == PT_OK)
    {
      uint64_t batch = owner->batch_number;

      free_batch (owner);
      owner->sequence++;
      owner->batch_number = 0;
      owner->batch_at_us = now_us + BATCH_GAP_US;
      cell_batch_durable (owner->core, batch, now_us);
      owner_fed (owner);
      return;
    }
  if (result->fate == PT_FENCED || result->fate == PT_CONFLICT)
    {
      lead_step_down (owner->entry, "the log refused the epoch");
      return;
    }
  owner->batch_at_us = now_us + BATCH_RETRY_US;
  entry_wake_at (owner->entry, owner->batch_at_us);
}

static void
write_batch (struct entry_owner *owner, uint64_t now_us)
{
  struct pt_record *records;
  char (*keys)[17];
  bool begun;

  if (owner->batch_in_flight)
    return;
  if (now_us < owner->batch_at_us)
    {
      entry_wake_at (owner->entry, owner->batch_at_us);
      return;
    }
  if (owner->batch_number == 0)
    {
      struct cell_record record;

      owner->batch_number = cell_batch_close (owner->core);
      while (cell_batch_next (owner->core, &record))
        g_ptr_array_add (owner->batch, g_memdup2 (&record, sizeof record));
    }
  if (owner->batch_number == 0)
    return;
  records = g_new0 (struct pt_record, owner->batch->len);
  keys = g_malloc (17 * (gsize)owner->batch->len);
  for (guint i = 0; i < owner->batch->len; i++)
    {
      const struct cell_record *record = g_ptr_array_index (owner->batch, i);

      snprintf (keys[i], 17, "%016" PRIx64, record->job);
      records[i].key = (struct cyc_str){ keys[i], 16 };
      records[i].value
          = (struct cyc_str){ (const char *)record->data, record->len };
    }
  begun = owner->entry->relay.log.vtable->append (
      &owner->entry->relay.log,
      &(struct pt_append){
          .stream = PT_STREAM_PROGRESS,
          .records = records,
          .count = owner->batch->len,
          .epoch = owner->epoch,
          .sequence = owner->sequence,
          .deadline_us = now_us + (uint64_t)ENTRY_APPEND_MS * 1000,
          .done = on_written,
          .user = owner,
      });
  owner->batch_in_flight = begun;
  if (begun)
    owner->calls++;
  else
    owner->batch_at_us = now_us + BATCH_RETRY_US;
  g_free (records);
  g_free (keys);
}

/* The epoch is set before progress is read, so that no record of an earlier
   leader can follow what was read. Jobs are read meanwhile. */
static void
on_fenced (void *user, const struct pt_append_result *result)
{
  struct entry_owner *owner = user;

  if (!owner_call_ended (owner))
    return;
  owner->fence_in_flight = false;
  if (result->fate == PT_OK)
    {
      owner->fenced = true;
      on_jobs_loaded (owner);
      return;
    }
  if (result->fate == PT_FENCED)
    {
      lead_step_down (owner->entry, "the log knows a higher epoch");
      return;
    }
  owner->fence_at_us = hc_now_us () + BATCH_RETRY_US;
  entry_wake_at (owner->entry, owner->fence_at_us);
}

static void
set_fence (struct entry_owner *owner, uint64_t now_us)
{
  if (owner->fence_in_flight || now_us < owner->fence_at_us)
    return;
  owner->fence_in_flight = owner->entry->relay.log.vtable->append (
      &owner->entry->relay.log,
      &(struct pt_append){
          .stream = PT_STREAM_PROGRESS,
          .epoch = owner->epoch,
          .sequence = 0,
          .deadline_us = now_us + (uint64_t)ENTRY_APPEND_MS * 1000,
          .done = on_fenced,
          .user = owner,
      });
  if (owner->fence_in_flight)
    owner->calls++;
  else
    owner->fence_at_us = now_us + BATCH_RETRY_US;
}

static void
follow (struct entry_owner *owner, struct tail *tail, enum pt_stream stream,
        uint32_t part, uint32_t wait_ms, uint32_t gap_ms,
        void (*record) (void *, const struct pt_record *, uint64_t),
        void (*caught_up) (void *))
{
  tail_setup (tail, &(struct tail_desc){
                        .loop = owner->entry->desc.loop,
                        .log = &owner->entry->relay.log,
                        .stream = stream,
                        .part = part,
                        .keyed = true,
                        .wait_ms = wait_ms,
                        .gap_ms = gap_ms,
                        .record = record,
                        .caught_up = caught_up,
                        .user = owner,
                    });
}

void
owner_begin (struct entry *entry, uint64_t epoch)
{
  struct entry_owner *owner = g_new0 (struct entry_owner, 1);

  owner->entry = entry;
  owner->epoch = epoch;
  owner->begun_us = hc_now_us ();
  owner->core = cell_setup (
      &(struct cell_desc){ .lease_ms = entry->desc.settings->lease_ms,
                           .ticket_slack_ms = TICKET_SLACK_MS });
  owner->cancelled
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  owner->unusable
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  owner->workers = g_array_new (FALSE, TRUE, sizeof (struct owner_worker));
  owner->batch = g_ptr_array_new ();
  if (entry->config != NULL)
    cell_config_set (owner->core, entry->config);
  owner->advice = advice_begin (entry, owner->core);
  owner->jobs_parts = entry->desc.settings->log_parts;
  owner->jobs_tails = g_new0 (struct tail, owner->jobs_parts);
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    follow (owner, &owner->jobs_tails[i], PT_STREAM_JOBS, i, ENTRY_LOG_WAIT_MS,
            JOBS_GAP_MS, on_job, on_jobs_loaded);
  follow (owner, &owner->progress_tail, PT_STREAM_PROGRESS, 0, 0, 5,
          on_progress, on_progress_loaded);
  follow (owner, &owner->workers_tail, PT_STREAM_WORKERS, 0, 0, 400, on_worker,
          NULL);
  entry_link_all (entry);
  tail_start (&owner->workers_tail);
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    tail_start (&owner->jobs_tails[i]);
  entry->owner = owner;
  entry->renew_at_us = owner->begun_us;
  entry->confirmed_us = owner->begun_us;
  entry_kick (entry);
}

void
owner_end (struct entry *entry)
{
  struct entry_owner *owner = entry->owner;

  entry->owner = NULL;
  owner->ended = true;
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    tail_stop (&owner->jobs_tails[i]);
  tail_stop (&owner->progress_tail);
  tail_stop (&owner->workers_tail);
  advice_end (owner->advice);
  owner->advice = NULL;
  /* Calls in flight still name the owner. */
  g_ptr_array_add (entry->ended_owners, owner);
}

void
owner_config (struct entry *entry)
{
  if (entry->owner != NULL)
    cell_config_set (entry->owner->core, entry->config);
}

bool
owner_answers (const struct entry *entry)
{
  const struct entry_owner *owner = entry->owner;
  uint64_t now_us = hc_now_us ();

  if (owner == NULL || owner->phase != OWNER_LEADING
      || !lead_confirmed (entry, now_us))
    return false;
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    if (owner->jobs_tails[i].fresh_us + JOBS_STALE_US < now_us)
      return false;
  return true;
}

bool
owner_job_state (const struct entry *entry, uint64_t job,
                 enum cell_job_state *state)
{
  const struct entry_owner *owner = entry->owner;

  if (owner == NULL || owner->phase != OWNER_LEADING)
    return false;
  *state = cell_job_state (owner->core, job);
  switch (*state)
    {
    case CELL_JOB_COMPLETE:
    case CELL_JOB_FAILED:
    case CELL_JOB_CANCELED:
      return true;
    case CELL_JOB_QUEUED:
    case CELL_JOB_ACTIVE:
      return lead_confirmed (entry, hc_now_us ());
    }
  return owner_answers (entry);
}

uint32_t
owner_pending (const struct entry *entry, struct cyc_str queue)
{
  return cell_queue_pending (entry->owner->core, queue);
}

struct advice_state *
owner_advice (const struct entry *entry)
{
  return entry->owner != NULL ? entry->owner->advice : NULL;
}

static void
load_line (struct entry_owner *owner, uint64_t now_us)
{
  struct cell_totals totals;

  if (now_us < owner->load_line_us)
    return;
  owner->load_line_us = now_us + LOAD_LINE_US;
  cell_totals (owner->core, &totals);
  ev_log (EV_LOAD,
          "jobs=%u open=%u stages_waiting=%u asks_waiting=%u runs=%u "
          "workers=%u used_millicores=%" PRIu64
          " capacity_millicores=%" PRIu64,
          totals.jobs, totals.jobs_open, totals.stages_waiting,
          totals.asks_waiting, totals.runs, totals.workers_usable,
          totals.used_millicores, totals.capacity_millicores);
}

void
owner_tick (struct entry *entry, uint64_t now_us)
{
  struct entry_owner *owner = entry->owner;
  struct cell_order order;

  if (owner == NULL)
    return;
  if (!owner->fenced)
    set_fence (owner, now_us);
  /* An end that a worker lists can only be taken in when all jobs are
     known. */
  if (owner->phase != OWNER_LEADING)
    return;
  for (uint32_t row = 0; row < cell_worker_count (owner->core); row++)
    orders_hold (owner, row, now_us);
  if (owner->input || now_us >= cell_next_us (owner->core)
      || now_us >= owner->last_tick_us + CORE_TICK_US)
    {
      owner->input = false;
      owner->last_tick_us = now_us;
      cell_tick (owner->core, now_us, hc_wall_ms ());
    }
  if (cell_next_us (owner->core) != UINT64_MAX)
    entry_wake_at (entry, cell_next_us (owner->core));
  write_batch (owner, now_us);
  while (cell_order_next (owner->core, &order))
    orders_give (owner, &order, now_us);
  advice_tick (owner->advice, now_us);
  load_line (owner, now_us);
}
