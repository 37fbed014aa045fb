/* Jobs of the domain: follows the jobs stream, passes open jobs to the core
   and appends their progress and final states. */
#include "scheduler.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define APPEND_TIMEOUT_MS 5000
#define RESCAN_INTERVAL_MS 1000
/* At most ten appends per second and domain: 14 domains then use less than
   half of the append rate that the log sustains. */
#define FLUSH_INTERVAL_MS 100
#define MAX_RECORD_BYTES 49152
#define EVENT_ESTIMATE_BYTES 400

static bool
is_ended (const struct cyc_job_row *row)
{
  return row->state >= CYC_JOB_DONE;
}

static uint32_t *
job_link (const struct sc_scheduler *sc, const struct cyc_id128 *id)
{
  uint32_t *link
      = &sc->job_index.heads[sc_hash_id (id, 0) & sc->job_index.mask];

  assert (sc->job_index.heads != NULL && sc->job_rows != NULL);
  while (*link != SC_NONE && !cyc_id128_eq (&sc->job_rows[*link].id, id))
    link = &sc->job_rows[*link].hash_next;
  return link;
}

struct sc_job *
sc_job_find (struct sc_scheduler *sc, const struct cyc_id128 *id)
{
  uint32_t row = *job_link (sc, id);

  return row == SC_NONE ? NULL : &sc->job_rows[row];
}

static void
drop_job (struct sc_scheduler *sc, struct sc_job *job)
{
  uint32_t *link = job_link (sc, &job->id);
  uint32_t row = *link;

  /* A row in the dirty list is freed by the next flush, a row in a batch when
     its append ends, and a row in the core when the core has ended the job. */
  job->pending_records = 0;
  job->removal_pending = true;
  if (job->in_dirty || job->in_flight_records != 0 || job->in_core)
    return;
  for (uint32_t i = 0; i < job->tasks; i++)
    sc_checkpoint_drop (sc, &job->id, i);
  *link = job->hash_next;
  cyc_pool_release (&sc->job_pool, cyc_pool_ref_at (&sc->job_pool, row));
}

void
sc_job_queue_records (struct sc_scheduler *sc, struct sc_job *job,
                      uint32_t records)
{
  job->pending_records |= records;
  if (job->in_dirty || job->in_flight_records != 0)
    return;
  job->in_dirty = true;
  job->dirty_next = sc->first_dirty_job;
  sc->first_dirty_job = (uint32_t)(job - sc->job_rows);
  sc->dirty_count++;
}

static struct sc_job *
add_job (struct sc_scheduler *sc, const struct cyc_job_row *row)
{
  struct cyc_ref ref = cyc_pool_take (&sc->job_pool);
  uint32_t *head;
  struct sc_job *job;

  if (ref.generation == 0)
    return NULL;
  head = &sc->job_index.heads[sc_hash_id (&row->id, 0) & sc->job_index.mask];
  job = &sc->job_rows[ref.index];
  memset (job, 0, sizeof *job);
  job->id = row->id;
  job->queue = row->queue;
  job->tasks = row->tasks < CYC_JOB_MAX_TASKS ? row->tasks : CYC_JOB_MAX_TASKS;
  job->hash_next = *head;
  *head = ref.index;
  job->attempt = row->attempt;
  job->attempt_logged = row->attempt > 0;
  for (uint32_t i = 0; row->done_tasks > 0 && i < job->tasks; i++)
    if (cyc_jobs_task_done (&sc->jobs, &row->id, i))
      job->done_bits[i / 8] |= (uint8_t)(1U << i % 8);
  return job;
}

static uint64_t
submitted_us (const struct sc_scheduler *sc, const struct cyc_job_row *row)
{
  uint64_t at_us = hc_deadline_us (row->submitted_ms);

  return at_us < sc->now_us ? at_us : sc->now_us;
}

static void
add_to_core (struct sc_scheduler *sc, struct sc_job *job,
             const struct cyc_job_row *row)
{
  struct cyc_core_job entry = {
    .id = job->id,
    .queue = job->queue,
    .tasks = job->tasks,
    .done_bits = job->done_bits,
    .submitted_us = submitted_us (sc, row),
  };
  const struct sc_queue *queue
      = sc_queue_find (sc, cyc_name_str (&job->queue));

  if (queue == NULL)
    {
      if (row->queue_version <= ctl_next (&sc->ctl))
        sc_job_end (sc, &job->id, CYC_JOB_FAILED, "the queue was removed");
      return;
    }
  job->repeatable = queue->repeatable;
  job->in_core
      = cyc_core_job_add (&sc->core, &entry, sc->now_us) == CYC_CORE_OK;
}

static void
update_job (struct sc_scheduler *sc, const struct cyc_job_row *row)
{
  struct sc_job *job = sc_job_find (sc, &row->id);

  if (!cyc_name_eq (&row->domain, &sc->settings.domain))
    return;
  if (is_ended (row))
    {
      if (job != NULL && job->in_core)
        cyc_core_job_cancel (&sc->core, &job->id, sc->now_us);
      if (job != NULL)
        drop_job (sc, job);
      return;
    }
  if (job == NULL)
    job = add_job (sc, row);
  if (job == NULL || job->removal_pending)
    return;
  if (row->attempt > 0)
    job->attempt_logged = true;
  if (!job->in_core && job->final_state == CYC_JOB_QUEUED)
    add_to_core (sc, job, row);
  if (!row->cancel_requested)
    return;
  if (job->in_core && !job->cancel_applied)
    cyc_core_job_cancel (&sc->core, &job->id, sc->now_us);
  if (job->resubmitted && !job->cancel_applied)
    sc_job_queue_records (sc, job, SC_RECORD_CANCEL);
  job->cancel_applied = true;
}

static void
on_changed (void *user, const struct cyc_job_row *row)
{
  struct sc_scheduler *sc = user;

  if (sc->epoch != 0)
    update_job (sc, row);
}

static void
on_record (void *user, uint64_t offset, struct cyc_str data)
{
  struct sc_scheduler *sc = user;
  struct cyc_jobs_watch watch = { .changed = on_changed, .user = sc };

  sc->now_us = hc_now_us ();
  met_add (&sc->met, MET_LOG_RECORDS, 1);
  if (!cyc_jobs_apply (&sc->jobs, offset, data, &watch))
    {
      met_add (&sc->met, MET_RECORDS_CORRUPT, 1);
      ev_log (EV_RECORD_CORRUPT, "stream=jobs offset=%" PRIu64, offset);
    }
}

static bool
on_trimmed (void *user, uint64_t next, uint64_t oldest)
{
  struct sc_scheduler *sc = user;

  if (next > 0)
    ev_log (EV_LOG_TRIMMED, "stream=jobs next=%" PRIu64 " oldest=%" PRIu64,
            next, oldest);
  cyc_jobs_seek (&sc->jobs, oldest);
  return true;
}

bool
sc_jobs_setup (struct sc_scheduler *sc, struct cyc_findings *findings)
{
  sc->first_dirty_job = SC_NONE;
  return cyc_jobs_setup (&sc->jobs, &(struct cyc_jobs_desc){ 0 }, findings)
         && fo_setup (&sc->follow,
                      &(struct fo_desc){
                          .log = &sc->log.log,
                          .stream = CYC_STR ("jobs"),
                          .timeout_ms = sc->settings.log_timeout_ms,
                          .wait_ms = sc->settings.log_wait_ms,
                          .record = on_record,
                          .trimmed = on_trimmed,
                          .user = sc,
                      },
                      findings);
}

void
sc_jobs_reset (struct sc_scheduler *sc)
{
  for (uint32_t i = 0; i < sc->job_pool.high; i++)
    if (cyc_pool_used_at (&sc->job_pool, i))
      cyc_pool_release (&sc->job_pool, cyc_pool_ref_at (&sc->job_pool, i));
  memset (sc->job_index.heads, 0xff,
          ((size_t)sc->job_index.mask + 1) * sizeof (uint32_t));
  sc->first_dirty_job = SC_NONE;
  sc->dirty_count = 0;
  sc->starts_unresolved = true;
}

void
sc_jobs_add_to_core (struct sc_scheduler *sc)
{
  const struct cyc_job_row *row;
  uint32_t cursor = 0;

  sc_jobs_reset (sc);
  while ((row = cyc_jobs_next_open (&sc->jobs, &cursor)) != NULL)
    update_job (sc, row);
}

static bool
all_done (const struct sc_job *job)
{
  for (uint32_t i = 0; i < job->tasks; i++)
    if ((job->done_bits[i / 8] >> i % 8 & 1) == 0)
      return false;
  return true;
}

static void
on_barrier_appended (void *user, enum fo_outcome outcome, uint64_t offset)
{
  struct sc_scheduler *sc = user;

  (void)offset;
  sc->barrier_open = false;
  if (outcome == FO_CONFIRMED)
    sc->caught_up_epoch = sc->barrier_epoch;
}

/* Appends an empty record as a read barrier. Once it is read back, everything
   appended before the claim has been read too. Waiting for an empty long poll
   would take longer. */
static void
append_barrier (struct sc_scheduler *sc)
{
  struct fo_append append = {
    .deadline_us = sc->now_us + APPEND_TIMEOUT_MS * SC_US_PER_MS,
    .done = on_barrier_appended,
    .user = sc,
  };

  sc->barrier_epoch = sc->epoch;
  cyc_id128_random (&append.record_id);
  if (cyc_rec_jobs (&append.record_id, cyc_name_str (&sc->settings.vm), NULL,
                    0, &append.record))
    sc->barrier_open = fo_append (&sc->follow, &append);
  free ((void *)append.record.data);
}

void
sc_job_end (struct sc_scheduler *sc, const struct cyc_id128 *id,
            enum cyc_job_state state, const char *reason)
{
  struct sc_job *job = sc_job_find (sc, id);
  char hex[33];

  if (job == NULL)
    return;
  job->in_core = false;
  if (job->removal_pending)
    {
      drop_job (sc, job);
      return;
    }
  if (state == CYC_JOB_DONE && !all_done (job))
    state = CYC_JOB_CANCELLED;
  cyc_id128_hex (id, hex);
  ev_log (state == CYC_JOB_FAILED ? EV_JOB_REFUSED : EV_JOB_ENDED,
          "job=%s queue=%s state=%d reason=\"%s\"", hex, job->queue.data,
          (int)state, reason);
  job->final_state = state;
  snprintf (job->reason, sizeof job->reason, "%s", reason);
  sc_job_queue_records (sc, job, SC_RECORD_DONE);
}

void
sc_job_task_done (struct sc_scheduler *sc, const struct cyc_id128 *id,
                  uint32_t index)
{
  struct sc_job *job = sc_job_find (sc, id);

  if (job == NULL || index >= job->tasks)
    return;
  job->done_bits[index / 8] |= (uint8_t)(1U << index % 8);
  sc_job_queue_records (sc, job, SC_RECORD_PROGRESS);
}

bool
sc_job_may_ack (struct sc_scheduler *sc, const struct sc_task *task)
{
  const struct cyc_job_row *row;

  if (task->kind == CYC_KIND_SERVICE || !task->done)
    return true;
  row = cyc_jobs_find (&sc->jobs, &task->job);
  return row == NULL || is_ended (row)
         || cyc_jobs_task_done (&sc->jobs, &task->job, task->index);
}

static uint32_t
job_events (struct sc_scheduler *sc, struct sc_job *job,
            struct cyc_job_event *out)
{
  const struct cyc_job_row *row = cyc_jobs_find (&sc->jobs, &job->id);
  uint32_t count = 0;

  if (row == NULL || is_ended (row))
    return 0;
  if (job->pending_records & SC_RECORD_RESUBMIT)
    out[count++] = (struct cyc_job_event){
      .kind = CYC_JOB_EVENT_SUBMIT,
      .job_id = job->id,
      .queue = cyc_name_str (&row->queue),
      .queue_version = row->queue_version,
      .team = cyc_name_str (&row->team),
      .domain = cyc_name_str (&row->domain),
      .tasks = row->tasks,
      .submitted_ms = row->submitted_ms,
    };
  if (job->pending_records & SC_RECORD_CANCEL)
    out[count++] = (struct cyc_job_event){ .kind = CYC_JOB_EVENT_CANCEL,
                                           .job_id = job->id };
  if (job->pending_records & SC_RECORD_DONE)
    out[count++] = (struct cyc_job_event){
      .kind = CYC_JOB_EVENT_DONE,
      .job_id = job->id,
      .state = job->final_state,
      .reason = cyc_str_of (job->reason),
      .epoch = sc->epoch,
    };
  else if (job->pending_records & SC_RECORD_PROGRESS)
    out[count++] = (struct cyc_job_event){
      .kind = CYC_JOB_EVENT_PROGRESS,
      .job_id = job->id,
      .attempt = job->attempt,
      .done_bits = { (const char *)job->done_bits, (job->tasks + 7) / 8 },
      .epoch = sc->epoch,
    };
  return count;
}

/* Records whether the job met its latency objective. Cancelled jobs do not
   count. */
static void
record_objective (struct sc_scheduler *sc, const struct sc_job *job,
                  const struct cyc_job_row *row)
{
  const struct cyc_queue_cfg *queue
      = cyc_led_queue (ctl_ledger (&sc->ctl), cyc_name_str (&job->queue));
  uint64_t now_ms = hc_wall_ms ();
  struct bw_event event = { .definite = job->final_state != CYC_JOB_UNKNOWN };

  if (row == NULL || queue == NULL || job->final_state == CYC_JOB_CANCELLED)
    return;
  event.in_time = job->final_state == CYC_JOB_DONE
                  && now_ms <= row->submitted_ms + queue->answered_within_ms;
  bw_record (&sc->burn, cyc_name_str (&job->queue), &event, sc->now_us);
}

static void
finish_records (struct sc_scheduler *sc, struct sc_job *job, bool confirmed)
{
  const struct cyc_job_row *row = cyc_jobs_find (&sc->jobs, &job->id);
  uint32_t in_flight_records = job->in_flight_records;

  job->in_flight_records = 0;
  if (row == NULL || is_ended (row))
    {
      if (confirmed && (in_flight_records & SC_RECORD_DONE))
        {
          met_add (&sc->met, MET_JOBS_ENDED, 1);
          met_add_label (&sc->met,
                         job->final_state == CYC_JOB_DONE
                             ? MET_QUEUE_JOBS_DONE
                             : MET_QUEUE_JOBS_FAILED,
                         cyc_name_str (&job->queue), 1);
          record_objective (sc, job, row);
        }
      drop_job (sc, job);
      return;
    }
  if (!confirmed || (in_flight_records & SC_RECORD_DONE))
    job->pending_records |= in_flight_records;
  if (confirmed && (in_flight_records & SC_RECORD_RESUBMIT))
    job->resubmitted = true;
  if (job->removal_pending)
    drop_job (sc, job);
  else if (job->pending_records != 0)
    sc_job_queue_records (sc, job, 0);
}

static void
on_batch_appended (void *user, enum fo_outcome outcome, uint64_t offset)
{
  struct sc_batch *batch = user;
  struct sc_scheduler *sc = batch->sc;

  (void)offset;
  if (outcome == FO_CONFIRMED)
    met_observe (&sc->met, MET_LOG_APPEND_US, hc_now_us () - batch->sent_us);
  else
    met_add (&sc->met, MET_LOG_APPEND_FAILURES, 1);
  for (uint32_t i = 0; batch->epoch == sc->epoch && i < batch->count; i++)
    {
      struct sc_job *job = sc_job_find (sc, &batch->job_ids[i]);

      if (job != NULL)
        finish_records (sc, job, outcome == FO_CONFIRMED);
    }
  cyc_pool_release (
      &sc->batch_pool,
      cyc_pool_ref_at (&sc->batch_pool, (uint32_t)(batch - sc->batches)));
}

static void
append_batch (struct sc_scheduler *sc, struct sc_batch *batch,
              const struct cyc_job_event *events, uint32_t count)
{
  struct fo_append append = {
    .deadline_us = sc->now_us + APPEND_TIMEOUT_MS * SC_US_PER_MS,
    .done = on_batch_appended,
    .user = batch,
  };
  struct cyc_str record = { 0 };
  bool appended;

  cyc_id128_random (&append.record_id);
  appended = cyc_rec_jobs (&append.record_id, cyc_name_str (&sc->settings.vm),
                           events, count, &record);
  append.record = record;
  appended = appended && fo_append (&sc->follow, &append);
  free ((void *)record.data);
  met_add (&sc->met, MET_LOG_APPENDS, 1);
  if (!appended)
    on_batch_appended (batch, FO_NOT_APPENDED, 0);
}

static struct sc_job *
pop_dirty (struct sc_scheduler *sc)
{
  struct sc_job *job = &sc->job_rows[sc->first_dirty_job];

  sc->first_dirty_job = job->dirty_next;
  sc->dirty_count--;
  job->in_dirty = false;
  return job;
}

/* Group commit: appends one record for the jobs that changed since the last
   flush, up to the limits of a batch. */
static void
flush_jobs (struct sc_scheduler *sc)
{
  struct cyc_job_event events[SC_MAX_BATCH_JOBS * 4];
  struct cyc_ref ref = cyc_pool_take (&sc->batch_pool);
  struct sc_batch *batch;
  uint32_t count = 0;
  size_t bytes = 0;

  if (ref.generation == 0)
    return;
  batch = &sc->batches[ref.index];
  batch->sc = sc;
  batch->epoch = sc->epoch;
  batch->sent_us = sc->now_us;
  batch->count = 0;
  while (sc->first_dirty_job != SC_NONE && batch->count < SC_MAX_BATCH_JOBS
         && bytes < MAX_RECORD_BYTES)
    {
      struct sc_job *job = pop_dirty (sc);
      uint32_t added = job_events (sc, job, &events[count]);

      if (job->removal_pending || added == 0)
        {
          drop_job (sc, job);
          continue;
        }
      bytes += added * EVENT_ESTIMATE_BYTES + job->tasks / 8;
      count += added;
      job->in_flight_records = job->pending_records;
      job->pending_records = 0;
      batch->job_ids[batch->count++] = job->id;
    }
  if (count > 0)
    append_batch (sc, batch, events, count);
  else
    cyc_pool_release (&sc->batch_pool, ref);
}

/* Returns true if the log may soon trim the record at @p offset: half of the
   retention, counted in records, or settings.snapshot_records records have
   passed since, or it is trimmed already. */
static bool
needs_resubmit (const struct sc_scheduler *sc, uint64_t offset)
{
  uint64_t next = fo_next (&sc->follow);
  uint64_t oldest = fo_oldest (&sc->follow);

  if (next >= offset + sc->settings.snapshot_records || offset < oldest)
    return true;
  return oldest > 0 && offset - oldest < (next - oldest) / 2;
}

/* Adds jobs that found a table full earlier, and appends the submissions of
   open jobs again before the log trims them. */
static void
rescan (struct sc_scheduler *sc)
{
  const struct cyc_job_row *row;
  uint32_t cursor = 0;

  while ((row = cyc_jobs_next_open (&sc->jobs, &cursor)) != NULL)
    {
      struct sc_job *job;

      if (!cyc_name_eq (&row->domain, &sc->settings.domain))
        continue;
      job = sc_job_find (sc, &row->id);
      if (job == NULL || (!job->in_core && job->final_state == CYC_JOB_QUEUED))
        update_job (sc, row);
      job = sc_job_find (sc, &row->id);
      if (job == NULL || job->removal_pending
          || !needs_resubmit (sc, row->offset)
          || (job->pending_records & SC_RECORD_RESUBMIT)
          || (job->in_flight_records & SC_RECORD_RESUBMIT))
        continue;
      sc_job_queue_records (
          sc, job,
          SC_RECORD_RESUBMIT | (row->cancel_requested ? SC_RECORD_CANCEL : 0));
    }
}

/* Returns true once no task of an earlier owner can run unnoticed: each worker
   answered in this epoch, or the leases of earlier owners have ended. */
static bool
earlier_runs_known (const struct sc_scheduler *sc)
{
  if (!sc->starts_allowed)
    return false;
  if (sc->now_us >= sc_unfenced_until_us (sc))
    return true;
  for (uint32_t i = 0; i < sc->worker_high; i++)
    if (sc->workers[i].member.generation != 0
        && sc->workers[i].fenced_epoch != sc->epoch)
      return false;
  return true;
}

/* Reports an unknown outcome for each task that must not be repeated, whose
   start an earlier owner recorded and that no worker lists: it may or may not
   have run. */
static void
resolve_unknown_starts (struct sc_scheduler *sc)
{
  if (!sc->starts_unresolved || !earlier_runs_known (sc))
    return;
  sc->starts_unresolved = false;
  for (uint32_t j = 0; j < sc->job_pool.high; j++)
    {
      struct sc_job *job = &sc->job_rows[j];

      if (!cyc_pool_used_at (&sc->job_pool, j) || job->repeatable
          || !job->attempt_logged || !job->in_core)
        continue;
      for (uint32_t i = 0; i < job->tasks; i++)
        if ((job->done_bits[i / 8] >> i % 8 & 1) == 0
            && sc_task_find (sc, &job->id, i) == SC_NONE)
          cyc_core_task_report (&sc->core, &job->id, i,
                                CYC_TASK_EVENT_OUTCOME_UNKNOWN, sc->now_us);
    }
}

void
sc_jobs_tick (struct sc_scheduler *sc)
{
  if (!sc->jobs_ready && fo_at_head (&sc->follow))
    sc->jobs_ready = true;
  if (sc->epoch == 0)
    return;
  if (sc->caught_up_epoch != sc->epoch && !sc->barrier_open)
    append_barrier (sc);
  resolve_unknown_starts (sc);
  if (sc->now_us >= sc->rescan_due_us)
    {
      sc->rescan_due_us = sc->now_us + RESCAN_INTERVAL_MS * SC_US_PER_MS;
      rescan (sc);
    }
  if (sc->first_dirty_job != SC_NONE && sc->now_us >= sc->flush_due_us
      && fo_reachable (&sc->follow))
    {
      sc->flush_due_us = sc->now_us + FLUSH_INTERVAL_MS * SC_US_PER_MS;
      flush_jobs (sc);
    }
}
