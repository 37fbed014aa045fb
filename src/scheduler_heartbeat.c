/* Processes the tasks that a worker lists in its answer to a heartbeat:
   running tasks that this process did not start, ended tasks, usage, and tasks
   that are missing from the list. */
#include "scheduler.h"

#include <string.h>

#define COMMAND_RETRY_MS 1000

static enum cyc_task_event
end_event (enum wc_task_state state)
{
  switch (state)
    {
    case WC_TASK_DONE:
      return CYC_TASK_EVENT_DONE;
    case WC_TASK_FAILED:
      return CYC_TASK_EVENT_FAILED;
    case WC_TASK_CHECKPOINTED:
      return CYC_TASK_EVENT_CHECKPOINTED;
    case WC_TASK_STOPPED:
    case WC_TASK_RUNNING:
      break;
    }
  return CYC_TASK_EVENT_STOPPED;
}

/* Adds a task that this process did not start itself. Returns SC_NONE if the
   core does not accept it or the table is full. */
static uint32_t
add_found_task (struct sc_scheduler *sc, uint32_t worker,
                const struct wc_task *listed, const struct cyc_id128 *job,
                uint32_t index, bool service)
{
  struct sc_worker *host = &sc->workers[worker];
  struct cyc_core_found_task found = {
    .job = *job,
    .task_index = index,
    .worker = host->name,
    .size = listed->size,
    .lease_deadline_us = listed->not_after_us,
  };
  struct sc_task *task;
  uint32_t t;

  cyc_name_set (&found.queue, listed->queue);
  if (cyc_core_task_found (&sc->core, &found, sc->now_us) != CYC_CORE_OK)
    return SC_NONE;
  t = sc_task_add (sc, job, index, worker);
  if (t == SC_NONE)
    return SC_NONE;
  task = &sc->tasks[t];
  task->queue = found.queue;
  task->size = listed->size;
  task->lease = listed->lease;
  task->lease_not_after_us = listed->not_after_us;
  task->kind = service ? CYC_KIND_SERVICE : CYC_KIND_BATCH;
  task->state = SC_TASK_RUNNING;
  task->decided_us = sc->now_us;
  if (service)
    sc_targets_changed (sc, listed->queue);
  return t;
}

static void
stop_unexpected_task (struct sc_scheduler *sc, uint32_t worker,
                      const struct wc_task *listed)
{
  const struct cyc_mem_row *row
      = cyc_mem_at (&sc->members, sc->workers[worker].member);

  ev_log (EV_TASK_REFUSED,
          "worker=%s task=%.*s reason=\"not a run of this worker\"",
          sc->workers[worker].name.data, CYC_FMT (listed->task));
  wc_command (sc->worker_client,
              &(struct wc_command){
                  .address = cyc_str_of (row->vm.address),
                  .task = listed->task,
                  .verb = WC_STOP,
                  .epoch = sc->epoch,
                  .deadline_us
                  = sc->now_us
                    + (uint64_t)sc->settings.worker_timeout_ms * SC_US_PER_MS,
                  .done = sc_ignore_result,
                  .user = sc,
              });
}

static void
report_task_usage (struct sc_scheduler *sc, const struct sc_task *task,
                   const struct wc_task *listed, uint64_t measured_us)
{
  struct cyc_core_usage usage
      = { .used = listed->used, .measured_us = measured_us };

  if (listed->used.millicores > 0 || listed->used.memory_mib > 0)
    cyc_core_task_usage (&sc->core, &task->job, task->index, &usage,
                         sc->now_us);
}

static void
update_running_task (struct sc_scheduler *sc, uint32_t t,
                     const struct wc_task *listed, uint64_t measured_us)
{
  struct sc_task *task = &sc->tasks[t];

  if (task->state == SC_TASK_START_UNKNOWN || task->state == SC_TASK_STARTING)
    {
      task->state = SC_TASK_RUNNING;
      task->start_answered_us = sc->now_us;
      met_add (&sc->met, MET_TASK_STARTS, 1);
      cyc_core_task_report (&sc->core, &task->job, task->index,
                            CYC_TASK_EVENT_STARTED, sc->now_us);
      if (task->kind == CYC_KIND_SERVICE)
        sc_targets_changed (sc, cyc_name_str (&task->queue));
    }
  report_task_usage (sc, task, listed, measured_us);
  if (task->command_wanted
      && sc->now_us > task->command_sent_us + COMMAND_RETRY_MS * SC_US_PER_MS)
    sc_task_command (sc, t, task->command);
}

static void
update_ended_task (struct sc_scheduler *sc, uint32_t t,
                   const struct wc_task *listed)
{
  struct sc_task *task = &sc->tasks[t];

  if (task->state == SC_TASK_ENDED)
    return;
  if (task->state == SC_TASK_START_UNKNOWN || task->state == SC_TASK_STARTING)
    cyc_core_task_report (&sc->core, &task->job, task->index,
                          CYC_TASK_EVENT_STARTED, sc->now_us);
  if (listed->state == WC_TASK_CHECKPOINTED)
    sc_checkpoint_put (sc, &task->job, task->index, listed->checkpoint);
  sc_task_report_end (sc, t, end_event (listed->state));
}

/* A listed task with another lease than the row is an older run of the same
   task on this worker, whose final state is not yet acknowledged. */
static bool
is_older_run (const struct sc_task *task, const struct wc_task *listed)
{
  return !cyc_id128_eq (&task->lease, &listed->lease);
}

/* The core may reject a task although its job is open: the job's record is not
   read yet, or a table is full. Such a task is neither stopped nor
   acknowledged. */
static bool
job_may_need_task (const struct sc_scheduler *sc, const struct cyc_id128 *job,
                   uint32_t index)
{
  const struct cyc_job_row *row = cyc_jobs_find (&sc->jobs, job);

  if (row == NULL)
    return sc->caught_up_epoch != sc->epoch;
  return row->state < CYC_JOB_DONE && !row->cancel_requested
         && !cyc_jobs_task_done (&sc->jobs, job, index);
}

static void
process_listed_task (struct sc_scheduler *sc, uint32_t worker,
                     const struct wc_task *listed, uint64_t measured_us)
{
  struct cyc_id128 job;
  uint32_t index;
  bool service;
  uint32_t t;

  if (!sc_task_parse (sc, listed->task, listed->queue, &job, &index, &service))
    return;
  t = sc_task_find (sc, &job, index);
  if (t != SC_NONE
      && (sc->tasks[t].worker != worker
          || is_older_run (&sc->tasks[t], listed)))
    {
      if (listed->state == WC_TASK_RUNNING)
        stop_unexpected_task (sc, worker, listed);
      else
        sc_heartbeat_queue_ack (sc, worker, listed->task);
      return;
    }
  if (t == SC_NONE)
    t = add_found_task (sc, worker, listed, &job, index, service);
  if (t == SC_NONE)
    {
      if (!service && job_may_need_task (sc, &job, index))
        return;
      if (listed->state == WC_TASK_RUNNING)
        stop_unexpected_task (sc, worker, listed);
      else
        sc_heartbeat_queue_ack (sc, worker, listed->task);
      return;
    }
  sc->tasks[t].listed_heartbeat = sc->workers[worker].heartbeat_number;
  if (listed->state == WC_TASK_RUNNING)
    update_running_task (sc, t, listed, measured_us);
  else
    update_ended_task (sc, t, listed);
}

/* Handles a task that the answer does not list. Its absence proves that it
   does not run there only if the worker answered the start before this
   heartbeat was sent, or if the start can no longer take effect. */
static void
process_missing_task (struct sc_scheduler *sc, uint32_t t,
                      uint32_t address_generation, uint64_t sent_us)
{
  struct sc_task *task = &sc->tasks[t];
  uint64_t error_us = (uint64_t)sc->settings.clock_error_ms * SC_US_PER_MS;

  switch (task->state)
    {
    case SC_TASK_AWAITING_ATTEMPT:
    case SC_TASK_STARTING:
      break;
    case SC_TASK_START_UNKNOWN:
      if (sent_us > task->start_not_after_us + error_us)
        sc_task_report_end (sc, t, CYC_TASK_EVENT_REFUSED);
      break;
    case SC_TASK_RUNNING:
      if (sent_us <= task->start_answered_us)
        break;
      if (task->address_generation == address_generation
          || sent_us > task->lease_not_after_us + error_us)
        sc_task_report_end (sc, t, CYC_TASK_EVENT_STOPPED);
      break;
    case SC_TASK_ENDED:
      if (task->acked)
        sc_task_drop (sc, t);
      break;
    }
}

static void
report_worker_usage (struct sc_scheduler *sc, uint32_t worker,
                     const struct wc_heartbeat_result *result,
                     uint64_t measured_us)
{
  struct cyc_core_usage usage = { .measured_us = measured_us };

  for (uint32_t i = 0; i < result->count; i++)
    if (result->tasks[i].state == WC_TASK_RUNNING)
      {
        usage.used.millicores += result->tasks[i].used.millicores;
        usage.used.memory_mib += result->tasks[i].used.memory_mib;
        usage.used.accelerators += result->tasks[i].used.accelerators;
      }
  cyc_core_worker_usage (&sc->core, cyc_name_str (&sc->workers[worker].name),
                         &usage, sc->now_us);
}

void
sc_heartbeat_process_answer (struct sc_scheduler *sc, uint32_t worker,
                             const struct wc_heartbeat_result *result,
                             uint64_t sent_us)
{
  struct sc_worker *host = &sc->workers[worker];
  const struct cyc_mem_row *row = cyc_mem_at (&sc->members, host->member);
  uint64_t age_us = (uint64_t)result->usage_age_ms * SC_US_PER_MS;
  uint64_t measured_us = sent_us > age_us ? sent_us - age_us : 0;
  uint32_t t;

  for (uint32_t i = 0; i < result->count; i++)
    process_listed_task (sc, worker, &result->tasks[i], measured_us);
  t = host->first_task;
  while (t != SC_NONE)
    {
      uint32_t next = sc->tasks[t].next;

      if (sc->tasks[t].listed_heartbeat != host->heartbeat_number)
        process_missing_task (sc, t, row->address_generation, sent_us);
      t = next;
    }
  report_worker_usage (sc, worker, result, measured_us);
}

void
sc_heartbeat_queue_ack (struct sc_scheduler *sc, uint32_t worker,
                        struct cyc_str task)
{
  struct sc_worker *host = &sc->workers[worker];

  if (host->untracked_ack_count == SC_MAX_UNTRACKED_ACKS
      || task.len >= WC_TASK_BYTES)
    return;
  snprintf (host->untracked_acks[host->untracked_ack_count++], WC_TASK_BYTES,
            "%.*s", CYC_FMT (task));
}
