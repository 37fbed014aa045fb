/* Pace: detects slow and stalled workers by comparing the progress of their
   tasks with the mean duration of tasks of the same queue. Declared estimates
   cannot serve for this: their error exceeds the effect of a slow worker. */

#include "cyc_cell_internal.h"

/** A worker is slow when its tasks take this many times longer on average. The
 * limit allows for task sizes within a queue and kinds of workers, each of
 * which differ by half. */
#define SLOW_FACTOR 3.0
/** A worker is slow only if this many tasks run there at once, each of them
 * slower by SLOW_TASK_FACTOR. */
#define SLOW_TASKS_MIN 3
#define SLOW_TASK_FACTOR 2.0
/** Upper limit of the slowdown of one task. */
#define TASK_FACTOR_MAX 10.0
/** Ends after which the mean duration of a queue's tasks is known, and the
 * minimum weight of a further end. */
#define QUEUE_ENDS_MIN 8
#define QUEUE_TIME_WEIGHT 0.03
/** Share of a queue's tasks that end within its long duration, and how far one
 * end moves the estimate, as a share of the mean. */
#define LONG_SHARE 0.9
#define LONG_STEP 0.1
/** No worker counts as slow in this time after the first end that a leader
 * receives: the first ends are those of short tasks. */
#define WARM_UP_US 10000000
/** Progress is measured over at least PROGRESS_WINDOW_MIN_US. A task without
 * any progress after STALLED_US counts as stalled. */
#define PROGRESS_WINDOW_MIN_US 300000
#define STALLED_US 1200000
/** A single task without any progress for this time is moved, regardless of
 * the other runs on its worker. */
#define STALLED_MOVE_US 3000000
/** Moves may make up a tenth of all starts, and at most MOVE_CREDIT_MAX may
 * accumulate. */
#define MOVE_SHARE 0.1
#define MOVE_CREDIT_MAX 20.0
/** Overhead of a move: a stop, advice and a start. A gang also waits for
 * capacity. */
#define MOVE_COST_US 700000
#define MOVE_GANG_COST_US 3000000

/** Mean duration of the tasks of a queue. */
struct cell_queue_time
{
  double mean_us;
  double long_us; /**< LONG_SHARE of the tasks end sooner */
  uint32_t ends;
};

void
cell_pace_started (struct cell_core *core)
{
  core->move_credit = MIN (core->move_credit + MOVE_SHARE, MOVE_CREDIT_MAX);
}

static void
learn_time (struct cell_core *core, const struct cell_run *run)
{
  struct cell_queue_time *time
      = g_hash_table_lookup (core->queue_times, run->job->queue.data);
  double took_us = (double)(core->now_us - run->confirmed_us);

  if (core->first_end_us == 0)
    core->first_end_us = core->now_us;
  if (!cell_run_start_known (run) || run->resumed)
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
  /* At the quantile, the moves up and down cancel out. */
  if (time->ends <= QUEUE_ENDS_MIN)
    time->long_us = MAX (time->long_us, took_us);
  else
    time->long_us
        += LONG_STEP * time->mean_us
           * (took_us > time->long_us ? LONG_SHARE : LONG_SHARE - 1.0);
}

/* All members of a gang list the end of its run, and the first one marks them
   all as done. */
void
cell_pace_done (struct cell_core *core, const struct cell_run *run)
{
  const struct cell_stage *stage
      = cell_stage_of_task (run->job, run->round, run->task);

  if (cell_stage_step (stage)->gang
      && cell_task_peek (run->job, run->round, run->task)->state
             == CELL_TASK_DONE)
    return;
  learn_time (core, run);
  cell_speed_done (core, run);
}

uint64_t
cell_pace_long_us (const struct cell_core *core,
                   const struct cell_stage *stage)
{
  const struct cell_queue_time *time
      = g_hash_table_lookup (core->queue_times, stage->job->queue.data);

  return time != NULL && time->ends >= QUEUE_ENDS_MIN ? (uint64_t)time->long_us
                                                      : 0;
}

/* Returns the mean duration of the queue's tasks; 0 if unknown. */
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

/* Returns the total duration of the run, projected from its progress since
   the first report; 0 if unknown. */
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

/* Stops a run whose work would end much earlier elsewhere, even when repeated
   from its last checkpoint or from the start. */
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

/* Moves stalled runs, except members of gangs: these make no progress until
   all members have started. */
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
      cell_worker_touch (core, worker);
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
      double mean_us
          = mean_task_us (core, run) * cell_speed_factor (core, worker);
      double factor;

      /* The members of a gang proceed together at the pace of the slowest. */
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
  cell_worker_touch (core, worker);
  cell_retry_placement (core, worker->paused_until_us);
  for (struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (run->state == CELL_RUN_RUNNING)
      move_if_better (core, run, sum / (double)tasks);
}
