/* Pace: workers that are slow or stand still, seen from the progress of their
   tasks against the time that tasks of the same queue take elsewhere. Declared
   estimates are of no use here, they are off by more than a slow worker is. */

#include "cyc_cell_internal.h"

/** A worker is slow when its tasks take so many times longer; sizes of tasks
 * of one queue differ by half, kinds of workers too. */
#define SLOW_FACTOR 3.0
/** At least so many tasks at once must show it, each by this factor. */
#define SLOW_TASKS_MIN 3
#define SLOW_TASK_FACTOR 2.0
/** One task counts as so many times slower at most. */
#define TASK_FACTOR_MAX 10.0
/** Ends after which the time of a queue's tasks is known, and the weight of a
 * further one. */
#define QUEUE_ENDS_MIN 8
#define QUEUE_TIME_WEIGHT 0.03
/** Nothing is judged in the first time of a leader: the first ends that it
 * sees are those of short tasks. */
#define WARM_UP_US 10000000
/** Progress is measured over this time at least; a task without any is taken
 * to stand still after it. */
#define PROGRESS_WINDOW_MIN_US 300000
#define STALLED_US 1200000
/** A single task without any progress for so long is moved, whatever else runs
 * on its worker. */
#define STALLED_MOVE_US 3000000
/** Moves may make up a tenth of all starts, and so many at once. */
#define MOVE_SHARE 0.1
#define MOVE_CREDIT_MAX 20.0
/** Time that a move costs beside the work: a stop, advice and a start; a gang
 * also waits for room. */
#define MOVE_COST_US 700000
#define MOVE_GANG_COST_US 3000000

/** How long tasks of a queue take. */
struct cell_queue_time
{
  double mean_us;
  uint32_t ends;
};

void
cell_pace_started (struct cell_core *core)
{
  core->move_credit = MIN (core->move_credit + MOVE_SHARE, MOVE_CREDIT_MAX);
}

void
cell_pace_done (struct cell_core *core, const struct cell_run *run)
{
  struct cell_queue_time *time
      = g_hash_table_lookup (core->queue_times, run->job->queue.data);
  double took_us = (double)(core->now_us - run->confirmed_us);

  if (core->first_end_us == 0)
    core->first_end_us = core->now_us;
  if (run->confirmed_us == 0 || run->resumed)
    return;
  if (time == NULL)
    {
      time = g_new0 (struct cell_queue_time, 1);
      g_hash_table_insert (core->queue_times, g_strdup (run->job->queue.data),
                           time);
    }
  time->ends++;
  time->mean_us += (took_us - time->mean_us)
                   * MAX (QUEUE_TIME_WEIGHT, 1.0 / (double)time->ends);
}

/* 0: not known. */
static double
mean_task_us (const struct cell_core *core, const struct cell_run *run)
{
  const struct cell_queue_time *time
      = g_hash_table_lookup (core->queue_times, run->job->queue.data);

  return time != NULL && time->ends >= QUEUE_ENDS_MIN
                 && core->now_us >= core->first_end_us + WARM_UP_US
             ? time->mean_us
             : 0;
}

static uint64_t
projected_total_us (const struct cell_core *core, const struct cell_run *run)
{
  uint64_t elapsed_us = core->now_us - run->first_report_us;

  if (run->percent >= 100)
    return 0;
  if (run->percent > run->first_percent)
    return elapsed_us < PROGRESS_WINDOW_MIN_US
               ? 0
               : elapsed_us * 100 / (run->percent - run->first_percent);
  return elapsed_us >= STALLED_US ? elapsed_us * 100 : 0;
}

void
cell_pace_progress (struct cell_core *core, struct cell_run *run,
                    uint32_t percent)
{
  percent = MIN (percent, 100);
  if (run->first_report_us == 0)
    {
      run->first_report_us = core->now_us;
      run->first_percent = percent;
    }
  if (percent != run->percent || run->percent_changed_us == 0)
    run->percent_changed_us = core->now_us;
  run->percent = percent;
  run->projected_total_us = projected_total_us (core, run);
  if (run->projected_total_us != 0 && run->percent > run->first_percent)
    run->projected_end_us
        = core->now_us + run->projected_total_us * (100 - run->percent) / 100;
}

/* Stops a run whose work would end much earlier elsewhere, even from its last
   checkpoint or its start. */
static void
move_if_better (struct cell_core *core, struct cell_run *run, double factor)
{
  const Cyc__CellStep *step
      = cell_stage_step (cell_stage_of_task (run->job, run->round, run->task));
  uint64_t remaining_us = run->projected_total_us * (100 - run->percent) / 100;
  uint64_t elsewhere_us = (uint64_t)((double)run->projected_total_us / factor);

  if (step->checkpointing)
    elsewhere_us = elsewhere_us * (100 - run->percent) / 100;
  elsewhere_us += step->gang ? MOVE_GANG_COST_US : MOVE_COST_US;
  if (run->projected_total_us == 0 || run->stop_requested || run->superseded
      || step->long_running || core->move_credit < 1.0
      || remaining_us < 2 * elsewhere_us)
    return;
  core->move_credit -= 1.0;
  cell_run_stop (core, run);
}

/* Moves what stands still; the members of a gang stand still until all have
   come. */
static void
move_stalled (struct cell_core *core, struct cell_worker *worker)
{
  for (struct cell_run *run = worker->runs; run != NULL; run = run->next)
    {
      const Cyc__CellStep *step = cell_stage_step (
          cell_stage_of_task (run->job, run->round, run->task));

      if (run->state != CELL_RUN_RUNNING || run->percent_changed_us == 0
          || run->percent >= 100 || step->gang || step->long_running
          || run->stop_requested || run->superseded || core->move_credit < 1.0
          || core->now_us < run->percent_changed_us + STALLED_MOVE_US)
        continue;
      core->move_credit -= 1.0;
      cell_run_stop (core, run);
      worker->pause_count = MAX (1, worker->pause_count);
      worker->paused_until_us = core->now_us + CELL_PAUSE_US;
    }
}

void
cell_pace_worker (struct cell_core *core, struct cell_worker *worker)
{
  uint32_t tasks = 0;
  uint32_t slow = 0;
  double sum = 0;

  move_stalled (core, worker);
  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    {
      const Cyc__CellStep *step = cell_stage_step (
          cell_stage_of_task (run->job, run->round, run->task));
      double mean_us = mean_task_us (core, run);
      double factor;

      /* The members of a gang go on together, at the pace of the slowest. */
      if (run->state != CELL_RUN_RUNNING || run->projected_total_us == 0
          || mean_us <= 0 || step->gang || step->long_running || run->resumed)
        continue;
      factor
          = MIN ((double)run->projected_total_us / mean_us, TASK_FACTOR_MAX);
      sum += factor;
      tasks++;
      slow += factor >= SLOW_TASK_FACTOR;
    }
  if (tasks < SLOW_TASKS_MIN || slow < tasks
      || sum < SLOW_FACTOR * (double)tasks)
    return;
  worker->pause_count = MAX (1, worker->pause_count);
  worker->paused_until_us = core->now_us + CELL_PAUSE_US;
  cell_retry_placement (core, worker->paused_until_us);
  for (struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (run->state == CELL_RUN_RUNNING)
      move_if_better (core, run, sum / (double)tasks);
}
