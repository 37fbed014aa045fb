/**
 * @file
 * Inputs about tasks: tasks that a new owner finds running, reported events
 * and renewed leases.
 */
#include "cyc_core_internal.h"

#include <inttypes.h>

/* Time without further starts on a worker that refused one for lack of
 * capacity. */
#define REFUSED_WORKER_PAUSE_US 1000000

static uint32_t
job_of_found_task (struct cyc_core_state *st,
                   const struct cyc_core_found_task *found)
{
  uint32_t queue = core_find_queue (st, cyc_name_str (&found->queue));

  if (queue != CORE_NONE && st->queues[queue].kind == CYC_KIND_SERVICE)
    return core_service_job (st, queue);
  return core_find_job (st, &found->job);
}

static void
extend_lease (struct cyc_core_state *st, uint32_t row,
              uint64_t lease_deadline_us)
{
  struct core_task *task = &st->tasks[row];

  if (lease_deadline_us > task->lease_deadline_us)
    task->lease_deadline_us = lease_deadline_us;
  /* A timer that is already set stays: when it is due and the lease has been
   * extended, the tick sets it again. */
  if (task->timer_slot == CORE_NONE)
    core_task_set_timer (
        st, row, task->lease_deadline_us + st->desc.clock_error_ms * 1000ULL);
}

/* Called when the worker confirms that the task runs. */
static void
confirm_running (struct core_task *task)
{
  task->outcome_unknown = false;
  if (task->state == CYC_TASK_STARTING || task->state == CYC_TASK_LOST)
    task->state = task->stop_stage == CORE_STOP_NONE ? CYC_TASK_RUNNING
                                                     : CYC_TASK_STOPPING;
}

/* Creates a replica that a worker runs and for which there is no row yet. */
static uint32_t
create_found_replica (struct cyc_core_state *st, uint32_t job, uint32_t index)
{
  struct core_queue *queue = &st->queues[st->jobs[job].queue];
  uint32_t row = core_task_create (st, job, index);

  if (row == CORE_NONE)
    return CORE_NONE;
  if (queue->next_task_index <= index)
    queue->next_task_index = index + 1;
  core_task_enqueue (st, row);
  core_service_mark_dirty (st, st->jobs[job].queue);
  return row;
}

enum cyc_core_status
cyc_core_task_found (struct cyc_core *core,
                     const struct cyc_core_found_task *found, uint64_t now_us)
{
  char hex[33];
  struct cyc_core_state *st = core->state;
  uint32_t worker = core_find_worker (st, cyc_name_str (&found->worker));
  uint32_t job = job_of_found_task (st, found);
  uint32_t row;

  core_trace_hex (st, &found->job, hex);
  core_trace (st, "found %" PRIu64 " %s %u %.*s %.*s %u %u %u %" PRIu64,
              now_us, hex, found->task_index,
              CYC_FMT (core_trace_word (cyc_name_str (&found->worker))),
              CYC_FMT (core_trace_word (cyc_name_str (&found->queue))),
              found->size.millicores, found->size.memory_mib,
              found->size.accelerators, found->lease_deadline_us);
  if (worker == CORE_NONE || job == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  st->now_us = now_us;
  row = core_find_task (st, job, found->task_index);
  if (row == CORE_NONE && st->jobs[job].service)
    row = create_found_replica (st, job, found->task_index);
  if (row == CORE_NONE)
    return CYC_CORE_INVALID;
  if (st->tasks[row].worker == CORE_NONE)
    {
      core_task_dequeue (st, row);
      st->tasks[row].declared = found->size;
      core_task_occupy (st, row, worker, CYC_TASK_RUNNING);
      st->tasks[row].started_by_this_owner = true;
      st->jobs[job].started = true;
      if (st->jobs[job].end_reason != CORE_END_NONE)
        core_task_stop (st, row, CORE_STOP_FINAL);
    }
  else if (st->tasks[row].worker != worker)
    return CYC_CORE_INVALID;
  confirm_running (&st->tasks[row]);
  extend_lease (st, row, found->lease_deadline_us);
  return CYC_CORE_OK;
}

enum cyc_core_status
cyc_core_task_renewed (struct cyc_core *core, const struct cyc_id128 *job,
                       uint32_t task_index, uint64_t lease_deadline_us)
{
  char hex[33];
  struct cyc_core_state *st = core->state;
  uint32_t j = core_find_job (st, job);
  uint32_t row
      = j == CORE_NONE ? CORE_NONE : core_find_task (st, j, task_index);

  core_trace_hex (st, job, hex);
  core_trace (st, "renewed %s %u %" PRIu64, hex, task_index,
              lease_deadline_us);
  if (row == CORE_NONE || st->tasks[row].worker == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  confirm_running (&st->tasks[row]);
  extend_lease (st, row, lease_deadline_us);
  return CYC_CORE_OK;
}

/* Records that the task failed on the worker. Returns whether it may be
 * retried: until it has failed on max_attempts different workers, or on all
 * workers if there are fewer. */
static bool
record_failure (struct cyc_core_state *st, struct core_task *task,
                uint32_t worker)
{
  uint32_t max_attempts = st->desc.max_attempts;
  uint32_t i = 0;

  if (st->worker_pool.used < max_attempts)
    max_attempts = st->worker_pool.used;
  while (i < task->failed_count && task->failed_on[i] != worker)
    i++;
  if (i == task->failed_count && i < CORE_MAX_FAILED_WORKERS)
    task->failed_on[task->failed_count++] = worker;
  return task->failed_count < max_attempts;
}

static void
on_failed (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  struct core_job *job = &st->jobs[task->job];
  uint32_t worker = task->worker;
  uint32_t job_row = task->job;

  core_health_record_result (st, worker, job->queue, false);
  if (job->service || job->end_reason != CORE_END_NONE)
    {
      core_task_end (st, row, CYC_TASK_FAILED);
      return;
    }
  if (record_failure (st, task, worker) && st->queues[job->queue].repeatable)
    {
      task->is_retry = true;
      core_task_requeue (st, row);
      return;
    }
  core_task_end (st, row, CYC_TASK_FAILED);
  if (!st->jobs[job_row].in_ended)
    core_job_finish (st, job_row, CORE_END_FAILED);
  else
    st->jobs[job_row].end_reason = CORE_END_FAILED;
}

/* A stop that the scheduler decided is no failure of the task. A task that is
 * not @p restartable, because it may not be repeated and its state was lost,
 * ends as UNKNOWN instead of being started again. */
static void
on_stopped (struct cyc_core_state *st, uint32_t row, bool restartable)
{
  struct core_task *task = &st->tasks[row];
  uint32_t job = task->job;
  bool again
      = st->jobs[job].end_reason == CORE_END_NONE && !st->jobs[job].service;

  core_task_vacate (st, row);
  core_task_enqueue (st, row);
  if (!again)
    core_task_end (st, row, CYC_TASK_CANCELLED);
  else if (!restartable)
    core_task_end (st, row, CYC_TASK_UNKNOWN);
}

static void
on_refused (struct cyc_core_state *st, uint32_t row)
{
  uint32_t worker = st->tasks[row].worker;

  st->workers[worker].refused_until_us = st->now_us + REFUSED_WORKER_PAUSE_US;
  on_stopped (st, row, true);
}

static void
on_done (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  struct core_job *job = &st->jobs[task->job];

  core_health_record_result (st, task->worker, job->queue, true);
  core_queue_record_run (&st->queues[job->queue],
                         st->now_us - task->started_us);
  core_task_end (st, row, CYC_TASK_DONE);
}

static enum cyc_core_status
report_placed (struct cyc_core_state *st, uint32_t row,
               enum cyc_task_event event)
{
  struct core_task *task = &st->tasks[row];

  switch (event)
    {
    case CYC_TASK_EVENT_STARTED:
      confirm_running (task);
      break;
    case CYC_TASK_EVENT_REFUSED:
      on_refused (st, row);
      break;
    case CYC_TASK_EVENT_OUTCOME_UNKNOWN:
      task->outcome_unknown = true;
      task->state = CYC_TASK_LOST;
      if (st->jobs[task->job].service)
        core_service_mark_dirty (st, st->jobs[task->job].queue);
      break;
    case CYC_TASK_EVENT_DONE:
      on_done (st, row);
      break;
    case CYC_TASK_EVENT_FAILED:
      on_failed (st, row);
      break;
    case CYC_TASK_EVENT_STOPPED:
      on_stopped (st, row, st->queues[st->jobs[task->job].queue].repeatable);
      break;
    case CYC_TASK_EVENT_CHECKPOINTED:
      on_stopped (st, row, true);
      break;
    }
  return CYC_CORE_OK;
}

/* Handles the late end of a task that was queued again, or, for a task that
 * may not be repeated, the owner's report that an earlier start may have taken
 * effect. */
static enum cyc_core_status
report_queued (struct cyc_core_state *st, uint32_t row,
               enum cyc_task_event event)
{
  const struct core_job *job = &st->jobs[st->tasks[row].job];

  if (event == CYC_TASK_EVENT_DONE)
    core_task_end (st, row, CYC_TASK_DONE);
  else if (event == CYC_TASK_EVENT_OUTCOME_UNKNOWN
           && !st->queues[job->queue].repeatable)
    core_task_end (st, row, CYC_TASK_UNKNOWN);
  else
    return CYC_CORE_INVALID;
  return CYC_CORE_OK;
}

enum cyc_core_status
cyc_core_task_report (struct cyc_core *core, const struct cyc_id128 *job,
                      uint32_t task_index, enum cyc_task_event event,
                      uint64_t now_us)
{
  char hex[33];
  struct cyc_core_state *st = core->state;
  uint32_t j = core_find_job (st, job);
  uint32_t row
      = j == CORE_NONE ? CORE_NONE : core_find_task (st, j, task_index);

  core_trace_hex (st, job, hex);
  core_trace (st, "report %" PRIu64 " %s %u %d", now_us, hex, task_index,
              (int)event);
  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  st->now_us = now_us;
  if (st->tasks[row].worker == CORE_NONE)
    return report_queued (st, row, event);
  return report_placed (st, row, event);
}
