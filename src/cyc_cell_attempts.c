/* Failed attempts of tasks and gangs: the only place that decides which ends
   of runs count, and when a job has failed for them. */

#include "cyc_cell_internal.h"

#include <string.h>

void
cell_attempts_setup (struct cell_core *core)
{
  g_queue_init (&core->attempts);
  g_queue_init (&core->failures);
}

void
cell_attempts_shutdown (struct cell_core *core)
{
  g_queue_clear_full (&core->attempts, g_free);
  g_queue_clear_full (&core->failures, g_free);
}

static struct cell_stage *
stage_of (const struct cell_failed_end *end)
{
  return cell_stage_of_task (end->job, end->round, end->task);
}

/* Returns the index of the task where the failures of the run are counted. */
static uint32_t
counted_at (const struct cell_failed_end *end)
{
  const struct cell_stage *stage = stage_of (end);

  return cell_stage_step (stage)->gang ? stage->first_task : end->task;
}

static void
report (struct cell_core *core, const struct cell_failed_end *end,
        enum cell_attempt_kind kind)
{
  struct cell_attempt *attempt = g_new0 (struct cell_attempt, 1);

  attempt->kind = kind;
  cell_task_name (&(struct cell_run){ .job = end->job,
                                      .round = end->round,
                                      .task = end->task },
                  attempt->task);
  attempt->run = end->run;
  attempt->worker = end->worker;
  attempt->end = end->number;
  attempt->failures
      = cell_task_peek (end->job, end->round, counted_at (end))->failures;
  attempt->max_attempts = end->job->cfg.max_attempts;
  attempt->queue_known = end->job->cfg_known;
  attempt->run_known = end->run_known;
  g_queue_push_tail (&core->attempts, attempt);
}

/* Pauses a worker on which runs of several jobs have failed one after the
   other, and has the stage avoid it. */
static void
note_worker (struct cell_core *core, const struct cell_failed_end *end)
{
  struct cell_stage *stage = stage_of (end);
  struct cell_worker *worker = cell_worker_at (core, end->worker);

  if (worker->last_failed_job != end->job->id)
    worker->consecutive_failures++;
  worker->last_failed_job = end->job->id;
  if (worker->consecutive_failures >= CELL_PAUSE_FAILURES)
    {
      worker->paused_until_us
          = core->now_us
            + ((uint64_t)CELL_PAUSE_US
               << MIN (worker->pause_count, CELL_PAUSE_DOUBLINGS_MAX));
      worker->pause_count++;
      cell_worker_touch (core, worker);
      cell_retry_placement (core, worker->paused_until_us);
    }
  stage->failed_on[stage->failed_next++ % CELL_AVOIDED_WORKERS_MAX]
      = end->worker + 1;
}

void
cell_attempt_failed (struct cell_core *core, const struct cell_failed_end *end)
{
  struct cell_job *job = end->job;
  uint32_t at = counted_at (end);
  struct cell_task *task = cell_task_at (job, end->round, at);

  if (cell_task_peek (job, end->round, end->task)->state == CELL_TASK_DONE)
    {
      report (core, end, CELL_ATTEMPT_ENDED);
      return;
    }
  /* An earlier leader has counted the failures of runs that this one does not
     know. */
  if (!end->run_known && !end->contradicts)
    {
      report (core, end, CELL_ATTEMPT_UNKNOWN);
      return;
    }
  job->begun = true;
  note_worker (core, end);
  if (cell_stage_step (stage_of (end))->long_running)
    {
      report (core, end, CELL_ATTEMPT_LASTING);
      return;
    }
  task->failures++;
  cell_task_mark_dirty (core, job, end->round, at);
  report (core, end, CELL_ATTEMPT_COUNTED);
  if (task->failures >= MAX (1, job->cfg.max_attempts) && job->cfg_known)
    cell_job_fail (core, job, CELL_FAILURE_ATTEMPTS,
                   &(struct cell_task_ref){ end->round, at });
}

bool
cell_attempt_next (struct cell_core *core, struct cell_attempt *out)
{
  struct cell_attempt *next = g_queue_pop_head (&core->attempts);

  if (next == NULL)
    return false;
  *out = *next;
  g_free (next);
  return true;
}

void
cell_failure_report (struct cell_core *core, struct cell_job *job,
                     enum cell_failure_cause cause,
                     const struct cell_task_ref *at)
{
  struct cell_failure *failure = g_new0 (struct cell_failure, 1);

  failure->job = job->id;
  failure->cause = cause;
  failure->max_attempts = job->cfg.max_attempts;
  if (at != NULL)
    {
      cell_task_name (&(struct cell_run){ .job = job,
                                          .round = at->round,
                                          .task = at->task },
                      failure->task);
      failure->failures = cell_task_peek (job, at->round, at->task)->failures;
    }
  g_queue_push_tail (&core->failures, failure);
}

bool
cell_failure_next (struct cell_core *core, struct cell_failure *out)
{
  struct cell_failure *next = g_queue_pop_head (&core->failures);

  if (next == NULL)
    return false;
  *out = *next;
  g_free (next);
  return true;
}
