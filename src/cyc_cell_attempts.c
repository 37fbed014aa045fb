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

static const Cyc__CellStep *
step_of (struct cell_job *job, uint32_t round, uint32_t task)
{
  return cell_stage_step (cell_stage_of_task (job, round, task));
}

/* Returns the index of the task at which failed runs are counted. */
static uint32_t
counted_at (struct cell_job *job, uint32_t round, uint32_t task)
{
  const struct cell_stage *stage = cell_stage_of_task (job, round, task);

  return cell_stage_step (stage)->gang ? stage->first_task : task;
}

uint32_t
cell_failures (const struct cell_task *task)
{
  return task->failed != NULL ? task->failed->count : 0;
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
  attempt->failures = cell_failures (cell_task_peek (
      end->job, end->round, counted_at (end->job, end->round, end->task)));
  attempt->max_attempts = end->job->cfg.max_attempts;
  attempt->queue_known = end->job->cfg_known;
  attempt->run_known = end->run_known;
  g_queue_push_tail (&core->attempts, attempt);
}

/* Puts the worker first among those that the stage avoids, once: several
   members of a gang may fail on one worker. */
static void
avoid_worker (struct cell_stage *stage, uint32_t row)
{
  uint32_t at = 0;

  while (at < CELL_AVOIDED_WORKERS_MAX - 1 && stage->failed_on[at] != row + 1)
    at++;
  memmove (stage->failed_on + 1, stage->failed_on,
           at * sizeof stage->failed_on[0]);
  stage->failed_on[0] = row + 1;
}

/* Remembers that the run has failed on the worker. Returns false if another
   member of the same gang has told of it. */
static bool
remember_on_worker (struct cell_worker *worker,
                    const struct cell_failed_end *end)
{
  const struct cell_failed_ref failed
      = { .job = end->job->id,
          .round = end->round,
          .at = counted_at (end->job, end->round, end->task),
          .run = end->run };

  for (uint32_t i = 0; i < CELL_FAILED_REFS_MAX; i++)
    {
      const struct cell_failed_ref *other = &worker->failed_refs[i];

      if (other->job == failed.job && other->round == failed.round
          && other->at == failed.at && other->run == failed.run)
        return false;
    }
  worker->failed_refs[worker->failed_refs_next++ % CELL_FAILED_REFS_MAX]
      = failed;
  return true;
}

/* Pauses a worker on which runs of several jobs have failed one after the
   other, and has the stage avoid it. */
static void
note_worker (struct cell_core *core, const struct cell_failed_end *end)
{
  struct cell_stage *stage
      = cell_stage_of_task (end->job, end->round, end->task);
  struct cell_worker *worker = cell_worker_at (core, end->worker);

  avoid_worker (stage, end->worker);
  if (!remember_on_worker (worker, end))
    return;
  if (worker->last_failed_job != end->job->id)
    worker->consecutive_failures++;
  worker->last_failed_job = end->job->id;
  if (worker->consecutive_failures < CELL_PAUSE_FAILURES)
    return;
  worker->paused_until_us
      = core->now_us
        + ((uint64_t)CELL_PAUSE_US
           << MIN (worker->pause_count, CELL_PAUSE_DOUBLINGS_MAX));
  worker->pause_count++;
  cell_worker_touch (core, worker);
  cell_retry_placement (core, worker->paused_until_us);
}

static struct cell_failed_runs *
failed_runs_new (void)
{
  struct cell_failed_runs *failed = g_new0 (struct cell_failed_runs, 1);

  failed->runs = g_array_new (FALSE, FALSE, sizeof (struct spn_span));
  return failed;
}

void
cell_attempts_free (struct cell_task *task)
{
  if (task->failed == NULL)
    return;
  g_array_free (task->failed->runs, TRUE);
  g_free (task->failed);
  task->failed = NULL;
}

/* Returns false if the run has been counted before. */
static bool
count_run (struct cell_job *job, struct cell_task *task, uint32_t run)
{
  if (task->failed == NULL)
    task->failed = failed_runs_new ();
  if (spn_contains (task->failed->runs, run))
    return false;
  spn_add (task->failed->runs, run, run + 1);
  spn_limit (task->failed->runs, CELL_FAILED_SPANS_MAX);
  task->failed->count++;
  job->failures_max = MAX (job->failures_max, task->failed->count);
  return true;
}

/* The limit is not known while the queue is in no configuration. */
static bool
is_exhausted (const struct cell_job *job, uint32_t failures)
{
  return job->cfg_known && failures >= MAX (1, job->cfg.max_attempts);
}

static void
fail_if_exhausted (struct cell_core *core, struct cell_job *job,
                   uint32_t round, uint32_t at)
{
  if (!is_exhausted (job, cell_failures (cell_task_peek (job, round, at))))
    return;
  /* The limit may have been raised; nothing is started meanwhile. */
  if (core->starts_held)
    core->check_attempts = true;
  else
    cell_job_fail (core, job, CELL_FAILURE_ATTEMPTS,
                   &(struct cell_task_ref){ round, at });
}

void
cell_attempt_failed (struct cell_core *core, const struct cell_failed_end *end)
{
  struct cell_job *job = end->job;
  uint32_t at = counted_at (job, end->round, end->task);
  bool lasting = step_of (job, end->round, end->task)->long_running;
  const struct cell_task *member = cell_task_peek (job, end->round, end->task);
  bool counted;

  if (member->state == CELL_TASK_DONE || !cell_job_open (job))
    {
      report (core, end, CELL_ATTEMPT_ENDED);
      return;
    }
  if (end->run == 0 || end->run >= member->next_run)
    {
      report (core, end, CELL_ATTEMPT_UNKNOWN);
      return;
    }
  job->begun = true;
  counted = !lasting
            && count_run (job, cell_task_at (job, end->round, at), end->run);
  if (counted || end->run_known)
    note_worker (core, end);
  if (counted)
    cell_task_mark_dirty (core, job, end->round, at);
  report (core, end,
          counted   ? CELL_ATTEMPT_COUNTED
          : lasting ? CELL_ATTEMPT_LASTING
                    : CELL_ATTEMPT_REPEATED);
  if (counted)
    fail_if_exhausted (core, job, end->round, at);
}

void
cell_attempts_check (struct cell_core *core, struct cell_job *job,
                     uint32_t round, uint32_t task)
{
  const struct cell_task *row = cell_task_peek (job, round, task);

  if (row->state != CELL_TASK_DONE
      && (row->run == NULL || row->run->state == CELL_RUN_RECORDING))
    fail_if_exhausted (core, job, round, counted_at (job, round, task));
}

static void
check_job (struct cell_core *core, struct cell_job *job)
{
  if (!cell_job_open (job) || !is_exhausted (job, job->failures_max))
    return;
  for (guint r = 0; r < job->rounds->len; r++)
    {
      const struct cell_round *round = g_ptr_array_index (job->rounds, r);

      for (uint32_t t = cell_task_next_row (round, 0, job->task_count);
           t < job->task_count && cell_job_open (job);
           t = cell_task_next_row (round, t + 1, job->task_count))
        cell_attempts_check (core, job, round->index, t);
    }
}

void
cell_attempts_check_later (struct cell_core *core)
{
  core->check_attempts = true;
  cell_wake (core, 0);
}

void
cell_attempts_tick (struct cell_core *core)
{
  GHashTableIter iter;
  gpointer job;

  if (!core->check_attempts || core->starts_held)
    return;
  core->check_attempts = false;
  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &job))
    check_job (core, job);
}

void
cell_attempts_draft (const struct cell_task *task, Cyc__CellFailedRuns *out)
{
  const GArray *runs = task->failed->runs;

  for (guint i = 0; i < runs->len; i++)
    {
      const struct spn_span *span = &g_array_index (runs, struct spn_span, i);

      out->bounds[out->n_bounds++] = span->first;
      out->bounds[out->n_bounds++] = span->end;
    }
}

void
cell_attempts_restore (struct cell_job *job, struct cell_task *task,
                       uint32_t count, const Cyc__CellFailedRuns *from,
                       uint32_t before)
{
  if (task->failed == NULL)
    task->failed = failed_runs_new ();
  task->failed->count = count;
  job->failures_max = MAX (job->failures_max, count);
  if (from == NULL)
    spn_add (task->failed->runs, 1, before);
  for (size_t i = 0; from != NULL && i + 1 < from->n_bounds; i += 2)
    spn_add (task->failed->runs, from->bounds[i], from->bounds[i + 1]);
  spn_limit (task->failed->runs, CELL_FAILED_SPANS_MAX);
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
      failure->failures
          = cell_failures (cell_task_peek (job, at->round, at->task));
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
