/* Which task is to blame for the crash of a worker: the only place that
   decides it.

   A task that crashes its workers does so right after its start, and every
   time. A run is unproven until its worker has shown that it survived the
   start. When the connections of a worker break, its unproven runs are
   suspected; silence tells nothing, as a worker that is cut off, frozen or
   without power is silent too. The crash counts once the runs are over
   because that incarnation is gone, and against all suspects. A task with a
   crash that counts is on trial at its next start: no other job's task is
   started beside it, so a further crash has one suspect only, and a task that
   survives is cleared.

   A crash is weak evidence if several jobs were suspected, if the worker had
   been started just before, or if an earlier leader has seen its beginning. A
   task is given up for two crashes that are not weak, for three of which one
   is not, or for four. */

#include "cyc_cell_internal.h"

#include <string.h>

/** A worker that has run for less time than this may crash by itself again. */
#define YOUNG_MS 10000
/** An inherited run is suspected if its placement was recorded at most this
 * long before the last one of the earlier leaders. */
#define INHERITED_FRESH_MS 1000
/** A task is given up when the weights of its crashes reach HOPELESS_WEIGHT; a
 * weak one has the weight 1. */
#define SOLE_WEIGHT 2
#define HOPELESS_WEIGHT CELL_CRASHES_MAX
/** Values of CellRun.suspicion. */
#define SUSPICION_WEAK 1
#define SUSPICION_STRONG 2
/** Added cost of a worker for a trial, above all costs of the best fit: for
 * one that was started just before, and for each run on it. */
#define TRIAL_YOUNG_COST 20000
#define TRIAL_RUN_COST 40000

void
cell_blame_setup (struct cell_core *core)
{
  g_queue_init (&core->blames);
}

void
cell_blame_shutdown (struct cell_core *core)
{
  g_queue_clear_full (&core->blames, g_free);
}

static struct cell_stage *
stage_of (const struct cell_run *run)
{
  return cell_stage_of_task (run->job, run->round, run->task);
}

/* Returns the index of the task whose crashes are counted for the run. */
static uint32_t
accountable_index (const struct cell_run *run)
{
  const struct cell_stage *stage = stage_of (run);

  return cell_stage_step (stage)->gang ? stage->first_task : run->task;
}

static struct cell_task *
accountable (const struct cell_run *run)
{
  return cell_task_at (run->job, run->round, accountable_index (run));
}

/* Queues a step about a worker, to be handed out. */
static struct cell_blame *
report_worker (struct cell_core *core, enum cell_blame_kind kind, uint32_t row)
{
  const struct cell_worker *worker = cell_worker_at (core, row);
  struct cell_blame *blame = g_new0 (struct cell_blame, 1);

  blame->kind = kind;
  blame->worker = row;
  blame->worker_born_ms = worker->born_ms;
  blame->first_end = worker->broken_end;
  blame->broken_us = worker->broken_us;
  g_queue_push_tail (&core->blames, blame);
  return blame;
}

/* Queues a step about the task of a run. */
static void
report_task (struct cell_core *core, enum cell_blame_kind kind,
             const struct cell_run *run)
{
  struct cell_blame *blame = report_worker (core, kind, run->worker);
  const struct cell_task *task = accountable (run);

  cell_task_name (run, blame->task);
  blame->run = run->number;
  blame->started_us
      = run->confirmed_us != 0 ? run->confirmed_us : run->ordered_us;
  if (task->crashes != NULL && task->crashes->count > 0)
    {
      blame->crashes = task->crashes->count;
      blame->sole = task->crashes->rows[task->crashes->count - 1].sole;
    }
  if (run->broken_us == 0)
    return;
  blame->worker_born_ms = run->broken_born_ms;
  blame->broken_us = run->broken_us;
  blame->suspects = cell_worker_at (core, run->worker)->suspects;
}

bool
cell_blame_is_young (const struct cell_core *core,
                     const struct cell_worker *worker)
{
  return worker->born_ms != 0 && core->now_ms < worker->born_ms + YOUNG_MS;
}

/* Returns whether the run may have crashed its worker just now. */
static bool
is_unproven (const struct cell_core *core, const struct cell_run *run)
{
  if (run->proven || run->state == CELL_RUN_RECORDING)
    return false;
  if (run->inherited)
    return accountable (run)->crashes != NULL
           || (run->placed_ms != 0
               && run->placed_ms + INHERITED_FRESH_MS >= core->last_placed_ms);
  return run->ordered_us != 0;
}

/* Suspects the unproven runs of the worker's incarnation. */
static void
suspect_runs (struct cell_core *core, const struct cell_worker *worker)
{
  if (worker->muted || worker->draining)
    return;
  for (struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (run->broken_us == 0 && is_unproven (core, run))
      {
        run->broken_us = core->now_us;
        run->broken_born_ms = worker->born_ms;
        run->broken_weakly
            = run->inherited || cell_blame_is_young (core, worker);
        cell_task_mark_dirty (core, run->job, run->round, run->task);
      }
}

void
cell_blame_broken (struct cell_core *core, uint32_t row,
                   enum cell_call_end end, uint64_t broken_us)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  if (worker->broken_us != 0 || broken_us < worker->clock_at_us)
    return;
  if (end == CELL_CALL_SILENT)
    {
      worker->muted = true;
      return;
    }
  cell_worker_touch (core, worker);
  worker->broken_us = broken_us;
  worker->broken_end = end;
  if (worker->runs == NULL)
    return;
  report_worker (core, CELL_BLAME_BROKEN, row);
  suspect_runs (core, worker);
}

void
cell_blame_reborn (struct cell_core *core, uint32_t row)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  cell_blame_broken (core, row, CELL_CALL_OTHER_INCARNATION, core->now_us);
  cell_worker_touch (core, worker);
  worker->broken_us = 0;
  worker->muted = false;
}

static void
clear_crashes (struct cell_core *core, struct cell_job *job, uint32_t round,
               uint32_t index)
{
  struct cell_task *task = cell_task_at (job, round, index);

  g_free (task->crashes);
  task->crashes = NULL;
  cell_task_mark_dirty (core, job, round, index);
}

/* Takes back the crash of an incarnation that answers after all. */
static void
take_back (struct cell_core *core, uint32_t row, uint64_t born_ms,
           struct cell_job *job, uint32_t round, uint32_t task)
{
  struct cell_crashes *crashes = cell_task_at (job, round, task)->crashes;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < crashes->count; i++)
    if (crashes->rows[i].worker != row || crashes->rows[i].born_ms != born_ms)
      crashes->rows[kept++] = crashes->rows[i];
  if (kept == crashes->count)
    return;
  crashes->count = kept;
  cell_task_mark_dirty (core, job, round, task);
  report_worker (core, CELL_BLAME_CLEARED, row)->crashes = kept;
  if (kept == 0)
    clear_crashes (core, job, round, task);
}

static void
take_back_all (struct cell_core *core, uint32_t row, uint64_t born_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cell_job *job = value;

      for (guint r = 0; r < job->rounds->len && cell_job_open (job); r++)
        {
          const struct cell_round *round = g_ptr_array_index (job->rounds, r);

          for (uint32_t t = cell_task_next_row (round, 0, job->task_count);
               t < job->task_count;
               t = cell_task_next_row (round, t + 1, job->task_count))
            if (cell_task_peek (job, round->index, t)->crashes != NULL)
              take_back (core, row, born_ms, job, round->index, t);
        }
    }
}

void
cell_blame_answered (struct cell_core *core, uint32_t row, uint64_t sent_us)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  worker->muted = false;
  if (worker->crashed_us != 0 && worker->crashed_born_ms == worker->born_ms
      && sent_us > worker->crashed_us)
    {
      take_back_all (core, row, worker->born_ms);
      worker->crashed_us = 0;
    }
  for (struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (run->broken_us != 0 && run->broken_born_ms == worker->born_ms
        && sent_us > run->broken_us)
      {
        run->broken_us = 0;
        cell_task_mark_dirty (core, run->job, run->round, run->task);
      }
  if (worker->broken_us == 0 || sent_us <= worker->broken_us)
    return;
  if (worker->runs != NULL)
    report_worker (core, CELL_BLAME_ALIVE, row);
  worker->broken_us = 0;
}

static void
end_trial (struct cell_core *core, struct cell_run *run)
{
  if (!run->on_trial)
    return;
  run->on_trial = false;
  cell_worker_touch (core, cell_worker_at (core, run->worker));
  cell_worker_at (core, run->worker)->trial_count--;
  core->placement_pending = true;
  cell_wake (core, core->now_us);
}

/* Returns whether all runs of the task, or of its gang, are proven. */
static bool
all_proven (const struct cell_run *run)
{
  const struct cell_stage *stage = stage_of (run);

  for (uint32_t t = 0; t < stage->count && cell_stage_step (stage)->gang; t++)
    {
      const struct cell_run *member
          = cell_task_peek (run->job, run->round, stage->first_task + t)->run;

      if (member == NULL || !member->proven)
        return false;
    }
  return true;
}

void
cell_blame_survived (struct cell_core *core, struct cell_run *run)
{
  struct cell_task *task = accountable (run);

  run->proven = true;
  run->broken_us = 0;
  cell_worker_touch (core, cell_worker_at (core, run->worker));
  end_trial (core, run);
  if (cell_worker_at (core, run->worker)->hold != 0)
    {
      core->placement_pending = true;
      cell_wake (core, core->now_us);
    }
  if (task->crashes == NULL || !all_proven (run))
    return;
  report_task (core, CELL_BLAME_CLEARED, run);
  clear_crashes (core, run->job, run->round, accountable_index (run));
}

void
cell_blame_seen (struct cell_core *core, struct cell_run *run,
                 const struct cell_report *report)
{
  if (run->proven)
    return;
  if (run->proof_clock_ms == 0 || run->proof_born_ms != report->born_ms)
    {
      run->proof_born_ms = report->born_ms;
      run->proof_clock_ms = report->clock_ms;
    }
  if (report->sent_us >= run->confirmed_us + CELL_TRIAL_US
      || report->clock_ms >= run->proof_clock_ms + CELL_TRIAL_US / 1000)
    cell_blame_survived (core, run);
}

/* Returns whether the suspected incarnation of the run's worker is gone.
   @p weak: set if its entry may only be out of date. */
static bool
is_gone (const struct cell_worker *worker, const struct cell_run *run,
         bool *weak)
{
  if (worker->born_ms != run->broken_born_ms)
    return true;
  if (worker->draining || (worker->exited_us != 0 && !worker->replaced))
    return false;
  if (!worker->listed || worker->replaced)
    return true;
  *weak = true;
  return worker->listed_after_us <= run->broken_us;
}

/* Counts the jobs that are suspected of the crash of an incarnation. */
static uint32_t
count_suspects (const struct cell_worker *worker, uint64_t born_ms)
{
  uint32_t count = 0;

  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    {
      const struct cell_run *earlier = worker->runs;

      if (run->broken_us == 0 || run->broken_born_ms != born_ms)
        continue;
      while (earlier != run
             && (earlier->job != run->job || earlier->broken_us == 0
                 || earlier->broken_born_ms != born_ms))
        earlier = earlier->next;
      count += earlier == run;
    }
  return count;
}

/* Notes the crash of the incarnation that broke under the run, once. */
static void
note_crash (struct cell_core *core, const struct cell_run *run)
{
  struct cell_worker *worker = cell_worker_at (core, run->worker);
  struct cell_blame *blame;

  if (worker->crashed_us != 0
      && worker->crashed_born_ms == run->broken_born_ms)
    return;
  worker->crashed_born_ms = run->broken_born_ms;
  worker->crashed_us = run->broken_us;
  worker->suspects = count_suspects (worker, run->broken_born_ms);
  blame = report_worker (core, CELL_BLAME_CRASHED, run->worker);
  blame->worker_born_ms = run->broken_born_ms;
  blame->broken_us = run->broken_us;
  blame->suspects = worker->suspects;
}

/* The members of a gang have the same number of the run: workers that crash
   under one placement count once, as only one member may be deadly. */
static bool
is_counted (const struct cell_crashes *crashes, const struct cell_run *run)
{
  for (uint32_t i = 0; i < crashes->count; i++)
    if (crashes->rows[i].run == run->number
        || (crashes->rows[i].worker == run->worker
            && crashes->rows[i].born_ms == run->broken_born_ms))
      return true;
  return crashes->count == CELL_CRASHES_MAX;
}

static bool
is_hopeless (const struct cell_crashes *crashes)
{
  uint32_t weight = 0;

  for (uint32_t i = 0; i < crashes->count; i++)
    weight += crashes->rows[i].sole ? SOLE_WEIGHT : 1;
  return weight >= HOPELESS_WEIGHT;
}

void
cell_blame_over (struct cell_core *core, struct cell_run *run,
                 enum cell_over over)
{
  const struct cell_worker *worker = cell_worker_at (core, run->worker);
  struct cell_task *task = accountable (run);
  bool weak = run->broken_weakly;

  if (over == CELL_OVER_UNORDERED || over == CELL_OVER_REFUSED
      || run->broken_us == 0 || !is_gone (worker, run, &weak))
    return;
  note_crash (core, run);
  if (run->superseded || task->state == CELL_TASK_DONE
      || !cell_job_open (run->job))
    return;
  if (task->crashes == NULL)
    task->crashes = g_new0 (struct cell_crashes, 1);
  if (is_counted (task->crashes, run))
    return;
  task->crashes->counted_us = core->now_us;
  task->crashes->rows[task->crashes->count++] = (struct cell_crash){
    .worker = run->worker,
    .born_ms = run->broken_born_ms,
    .run = run->number,
    .sole = !weak && worker->suspects == 1,
  };
  cell_task_mark_dirty (core, run->job, run->round, accountable_index (run));
  report_task (core, CELL_BLAME_SUSPECTED, run);
  if (!is_hopeless (task->crashes))
    return;
  report_task (core, CELL_BLAME_GIVEN_UP, run);
  cell_job_fail (
      core, run->job, CELL_FAILURE_CRASHES,
      &(struct cell_task_ref){ run->round, accountable_index (run) });
}

void
cell_blame_report_hold (struct cell_core *core, enum cell_blame_kind kind,
                        const struct cell_hold *hold)
{
  const struct cell_stage *stage = hold->stage;
  const struct cell_task *task
      = cell_task_peek (stage->job, stage->round, hold->task);
  struct cell_blame *blame = g_new0 (struct cell_blame, 1);

  blame->kind = kind;
  cell_task_name (&(struct cell_run){ .job = stage->job,
                                      .round = stage->round,
                                      .task = hold->task },
                  blame->task);
  blame->run = task->next_run;
  blame->since_us = hold->since_us;
  blame->trials_waiting = core->trials_waiting;
  if (task->crashes != NULL)
    {
      blame->crashes = task->crashes->count;
      blame->counted_us = task->crashes->counted_us;
    }
  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);

      if (worker->hold != hold->id)
        continue;
      blame->worker = i;
      blame->held++;
      for (const struct cell_run *run = worker->runs; run != NULL;
           run = run->next)
        {
          blame->beside += run->job != stage->job;
          blame->unproven += run->job != stage->job && !run->proven;
        }
    }
  g_queue_push_tail (&core->blames, blame);
}

const struct cell_crashes *
cell_blame_trial (const struct cell_stage *stage, uint32_t task)
{
  uint32_t at = cell_stage_step (stage)->gang ? stage->first_task : task;

  return cell_task_peek (stage->job, stage->round, at)->crashes;
}

void
cell_blame_placed (struct cell_core *core, struct cell_run *run)
{
  struct cell_worker *worker = cell_worker_at (core, run->worker);

  run->placed_ms = core->now_ms;
  if (accountable (run)->crashes == NULL)
    return;
  run->on_trial = true;
  cell_worker_touch (core, worker);
  worker->trial_count++;
}

void
cell_blame_freed (struct cell_core *core, const struct cell_run *run)
{
  if (run->on_trial)
    cell_worker_at (core, run->worker)->trial_count--;
}

bool
cell_blame_is_likely (const struct cell_crashes *crashes)
{
  return crashes->count > 1 || crashes->rows[0].sole;
}

uint64_t
cell_blame_cost (const struct cell_core *core, const struct cell_stage *stage,
                 uint32_t row, const struct cell_crashes *trial)
{
  const struct cell_worker *worker = cell_worker_at (core, row);
  uint64_t others = 0;

  if (worker->hold != (trial != NULL ? trial->hold : 0))
    return UINT64_MAX;
  if (trial == NULL && worker->trial_count == 0)
    return 0;
  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (run->job != stage->job)
      {
        others++;
        if (run->on_trial || (trial != NULL && !run->proven))
          return UINT64_MAX;
      }
    else if (run->on_trial && !cell_stage_step (stage)->gang)
      return UINT64_MAX;
  if (trial == NULL)
    return 0;
  if (others > 0 && (core->trials_waiting == 0 || cell_blame_is_likely (trial))
      && core->now_us < trial->empty_until_us)
    return UINT64_MAX;
  return others * TRIAL_RUN_COST
         + (cell_blame_is_young (core, worker) ? TRIAL_YOUNG_COST : 0);
}

/* Returns whether a trial, here or soon, waits for the run to be proven. */
static bool
awaits_proof (const struct cell_worker *worker, const struct cell_run *run)
{
  return run->confirmed_us != 0
         && (run->on_trial || (worker->hold != 0 && !run->proven));
}

uint64_t
cell_blame_report_after_us (const struct cell_core *core,
                            const struct cell_worker *worker,
                            uint64_t *until_us)
{
  uint64_t after_us = 0;

  if (worker->trial_count == 0 && worker->hold == 0)
    return 0;
  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    {
      uint64_t proof_us = run->confirmed_us + CELL_TRIAL_US;

      if (!awaits_proof (worker, run))
        continue;
      if (proof_us > core->now_us)
        *until_us = MIN (*until_us, proof_us);
      else
        after_us = MAX (after_us, proof_us);
    }
  return after_us;
}

void
cell_blame_restore (struct cell_core *core, struct cell_task *task,
                    const Cyc__CellCrash *from)
{
  uint32_t row = cell_worker_row (core, cyc_str_of (from->worker));
  struct cell_worker *worker = cell_worker_at (core, row);

  /* The crash is taken back if that incarnation answers after all. */
  worker->crashed_born_ms
      = MAX (worker->crashed_born_ms, from->worker_born_ms);
  worker->crashed_us = core->now_us;
  if (task->crashes == NULL)
    task->crashes = g_new0 (struct cell_crashes, 1);
  if (task->crashes->count == CELL_CRASHES_MAX)
    return;
  task->crashes->counted_us = core->now_us;
  task->crashes->rows[task->crashes->count++] = (struct cell_crash){
    .worker = row,
    .born_ms = from->worker_born_ms,
    .run = from->run,
    .sole = from->sole,
  };
}

uint32_t
cell_blame_suspicion (const struct cell_run *run)
{
  if (run->broken_us == 0)
    return 0;
  return run->broken_weakly ? SUSPICION_WEAK : SUSPICION_STRONG;
}

void
cell_blame_restore_run (struct cell_core *core, struct cell_run *run,
                        const Cyc__CellRun *from)
{
  run->placed_ms = from->placed_ms;
  core->last_placed_ms = MAX (core->last_placed_ms, from->placed_ms);
  if (from->suspicion == 0)
    return;
  run->broken_us = core->now_us;
  run->broken_born_ms = from->worker_born_ms;
  run->broken_weakly = from->suspicion != SUSPICION_STRONG;
}

bool
cell_blame_next (struct cell_core *core, struct cell_blame *out)
{
  struct cell_blame *next = g_queue_pop_head (&core->blames);

  if (next == NULL)
    return false;
  *out = *next;
  g_free (next);
  return true;
}
