/**
 * @file
 * Learned sizes of the tasks of a queue, and protection of workers whose
 * measured use comes near their capacity.
 *
 * A single task is placed by the 95th percentile of the use in its queue. The
 * tasks of a worker together need less than the sum of these percentiles, so
 * their estimate is the 95th percentile of the sum, computed from the sums of
 * their means and variances. Measurements arrive late, so the committed
 * capacity of a worker is the larger of this estimate and the last measurement
 * plus the percentiles of the tasks that started after it.
 */
#include "cyc_core_internal.h"

#include <inttypes.h>
#include <math.h>

/* Bins of the histogram are an eighth of a power of two wide, so an estimate
 * is at most 9% above the quantile; they cover 1/16 to 16 times the declared
 * size. */
#define BINS_PER_DOUBLING 8
/* Bin of a use equal to the declared size. */
#define RATIO_ONE_BIN 32
/* With fewer samples the estimate is the declared size plus
 * first_headroom_permille. */
#define MIN_ESTIMATE_SAMPLES 8
#define ESTIMATE_QUANTILE_PERMILLE 950
/* Limits of what is learned, as factors of the declared size. */
#define MIN_SIZE_FACTOR 0.25
#define MAX_SIZE_FACTOR 4.0
/* Counts are halved at this sum, so that old measurements lose weight. */
#define HIST_MAX_TOTAL 4096
#define MOMENT_MAX_SAMPLES 1024
/* Time between two steps against overload: the effect of one step must show
 * in the measurements before the next. */
#define OVERLOAD_STEP_INTERVAL_US 1500000
/* Longest time between the end of a task and its report. */
#define MAX_END_REPORT_LAG_US 1000000
/* Throttling ends when the use is this far below the limit. */
#define OVERLOAD_HYSTERESIS_PERMILLE 100

/* Returns the product rounded up, limited to UINT32_MAX. */
static uint32_t
scale_round_up (uint32_t value, double factor)
{
  double scaled = ceil (value * factor);

  return scaled > UINT32_MAX ? UINT32_MAX : (uint32_t)scaled;
}

/* Updates mean and variance over about the latest MOMENT_MAX_SAMPLES
 * measurements. */
static void
hist_update_moments (struct core_histogram *hist, double ratio)
{
  double deviation = ratio - hist->mean;

  if (hist->samples < MOMENT_MAX_SAMPLES)
    hist->samples++;
  hist->mean += deviation / hist->samples;
  hist->variance
      += (deviation * (ratio - hist->mean) - hist->variance) / hist->samples;
}

static void
hist_add (struct core_histogram *hist, uint32_t used, uint32_t declared)
{
  double ratio = declared > 0 ? (double)used / declared : 1;
  int bin = 0;

  if (ratio > 0)
    bin = RATIO_ONE_BIN + (int)floor (log2 (ratio) * BINS_PER_DOUBLING);
  bin = bin < 0 ? 0 : bin;
  bin = bin >= CORE_HISTOGRAM_BINS ? CORE_HISTOGRAM_BINS - 1 : bin;
  hist->bins[bin]++;
  hist_update_moments (hist, ratio);
  if (++hist->total < HIST_MAX_TOTAL)
    return;
  hist->total = 0;
  for (int i = 0; i < CORE_HISTOGRAM_BINS; i++)
    {
      hist->bins[i] /= 2;
      hist->total = (uint16_t)(hist->total + hist->bins[i]);
    }
}

static double
clamp_factor (double factor)
{
  factor = factor < MIN_SIZE_FACTOR ? MIN_SIZE_FACTOR : factor;
  return factor > MAX_SIZE_FACTOR ? MAX_SIZE_FACTOR : factor;
}

/* Returns the quantile as a factor of the declared size, or @p initial_factor
 * if there are too few samples. */
static double
hist_quantile_factor (const struct core_histogram *hist, double initial_factor)
{
  uint32_t below = 0;
  int bin = 0;

  if (hist->total < MIN_ESTIMATE_SAMPLES)
    return initial_factor;
  for (; bin < CORE_HISTOGRAM_BINS - 1; bin++)
    {
      below += hist->bins[bin];
      if (below * 1000 >= hist->total * ESTIMATE_QUANTILE_PERMILLE)
        break;
    }
  return clamp_factor (
      exp2 ((double)(bin + 1 - RATIO_ONE_BIN) / BINS_PER_DOUBLING));
}

/* Sets the mean and variance of the use of one task. With too few samples the
 * mean is the estimate itself. */
static void
set_need (const struct core_histogram *hist, uint32_t size, uint32_t estimate,
          uint32_t *mean, uint64_t *variance)
{
  *mean = estimate;
  *variance = 0;
  if (hist->total < MIN_ESTIMATE_SAMPLES)
    return;
  *mean = scale_round_up (size, clamp_factor (hist->mean));
  *variance = (uint64_t)(hist->variance * size * size);
}

void
core_queue_estimate (struct cyc_core_state *st, struct core_queue *queue)
{
  double initial_factor = 1 + st->desc.first_headroom_permille / 1000.0;

  queue->estimate.millicores
      = scale_round_up (queue->size.millicores,
                        hist_quantile_factor (&queue->cpu, initial_factor));
  queue->estimate.memory_mib
      = scale_round_up (queue->size.memory_mib,
                        hist_quantile_factor (&queue->memory, initial_factor));
  queue->estimate.accelerators = queue->size.accelerators;
  set_need (&queue->cpu, queue->size.millicores, queue->estimate.millicores,
            &queue->need.mean.millicores, &queue->need.millicores_variance);
  set_need (&queue->memory, queue->size.memory_mib, queue->estimate.memory_mib,
            &queue->need.mean.memory_mib, &queue->need.memory_variance);
  queue->need.mean.accelerators = queue->size.accelerators;
}

void
core_queue_record_run (struct core_queue *queue, uint64_t run_us)
{
  double run = (double)run_us;
  double deviation = run - queue->run_mean_us;

  if (queue->run_mean_us <= 0)
    {
      queue->run_mean_us = run;
      queue->run_dev_us = run / 2;
      return;
    }
  queue->run_mean_us += deviation / 8;
  queue->run_dev_us
      += ((deviation < 0 ? -deviation : deviation) - queue->run_dev_us) / 8;
}

/* Replaces the task's estimate in the sums of its worker and team by the
 * current estimate of its queue. */
static void
refresh_task_estimate (struct cyc_core_state *st, struct core_task *task)
{
  const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];
  struct core_worker *worker = &st->workers[task->worker];

  worker->need
      = core_need_add (core_need_sub (worker->need, task->need), queue->need);
  if (task->started_us > worker->measured_us && worker->measured_us > 0)
    worker->unmeasured = core_res_add (
        core_res_sub (worker->unmeasured, task->estimate), queue->estimate);
  core_team_adjust_need (st, task, false);
  task->need = queue->need;
  task->estimate = queue->estimate;
  core_team_adjust_need (st, task, true);
  core_worker_refresh (st, task->worker);
}

enum cyc_core_status
cyc_core_task_usage (struct cyc_core *core, const struct cyc_id128 *job,
                     uint32_t task_index, const struct cyc_core_usage *usage,
                     uint64_t now_us)
{
  char hex[33];
  struct cyc_core_state *st = core->state;
  uint32_t j = core_find_job (st, job);
  uint32_t row
      = j == CORE_NONE ? CORE_NONE : core_find_task (st, j, task_index);
  struct core_queue *queue;
  struct core_task *task;

  core_trace_hex (st, job, hex);
  core_trace (st, "usage %" PRIu64 " %s %u %u %u %u %" PRIu64, now_us, hex,
              task_index, usage->used.millicores, usage->used.memory_mib,
              usage->used.accelerators, usage->measured_us);
  if (row == CORE_NONE || st->tasks[row].worker == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  st->now_us = now_us;
  task = &st->tasks[row];
  queue = &st->queues[st->jobs[j].queue];
  task->used = usage->used;
  /* A throttled task uses less than it needs, so its use is not learned. */
  if (!task->throttled)
    {
      hist_add (&queue->cpu, usage->used.millicores, queue->size.millicores);
      hist_add (&queue->memory, usage->used.memory_mib,
                queue->size.memory_mib);
      core_queue_estimate (st, queue);
    }
  refresh_task_estimate (st, task);
  return CYC_CORE_OK;
}

static bool
exceeds_permille (uint32_t used, uint32_t capacity, uint32_t permille)
{
  return (uint64_t)used * 1000 > (uint64_t)capacity * permille;
}

static uint32_t
newest_batch_task (const struct cyc_core_state *st,
                   const struct core_worker *worker, bool throttled_too)
{
  for (uint32_t t = worker->tasks.tail; t != CORE_NONE;
       t = st->tasks[t].in_queued_or_worker.prev)
    {
      const struct core_task *task = &st->tasks[t];
      const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];

      if (queue->kind == CYC_KIND_BATCH && !queue->urgent && queue->repeatable
          && task->state == CYC_TASK_RUNNING
          && (throttled_too || !task->throttled))
        return t;
    }
  return CORE_NONE;
}

static void
throttle_task (struct cyc_core_state *st, uint32_t row)
{
  st->tasks[row].throttled = true;
  st->workers[st->tasks[row].worker].throttled++;
  core_task_emit (st, row, CYC_DECISION_THROTTLE);
}

static bool
has_stopping_task (const struct cyc_core_state *st,
                   const struct core_worker *worker)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_queued_or_worker);

  for (uint32_t t = worker->tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    if (st->tasks[t].state == CYC_TASK_STOPPING)
      return true;
  return false;
}

/* Takes the next step against overload: the first throttles the newest batch
 * task, later ones stop a task. Throttling frees no memory, so a worker short
 * of memory skips that step. A task that is already being stopped must end
 * before the next one is stopped. */
static void
reduce_load (struct cyc_core_state *st, struct core_worker *worker,
             bool memory_overloaded)
{
  uint32_t row = CORE_NONE;

  if (worker->overload_step_us > 0
      && worker->measured_us < worker->overload_step_us)
    return;
  if (has_stopping_task (st, worker))
    return;
  if (!memory_overloaded && worker->overload_steps++ == 0)
    row = newest_batch_task (st, worker, false);
  if (row != CORE_NONE)
    throttle_task (st, row);
  else if ((row = newest_batch_task (st, worker, true)) != CORE_NONE)
    core_task_stop (st, row, CORE_STOP_CHECKPOINT);
  worker->overload_step_us = st->now_us + OVERLOAD_STEP_INTERVAL_US;
}

static void
end_throttling (struct cyc_core_state *st, struct core_worker *worker)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_queued_or_worker);

  worker->overload_step_us = 0;
  worker->overload_steps = 0;
  for (uint32_t t = worker->tasks.head; t != CORE_NONE && worker->throttled;
       t = core_list_next (rows, t))
    {
      if (!st->tasks[t].throttled || st->tasks[t].stop_stage != CORE_STOP_NONE)
        continue;
      st->tasks[t].throttled = false;
      worker->throttled--;
      core_task_emit (st, t, CYC_DECISION_UNTHROTTLE);
    }
}

static void
check_overload (struct cyc_core_state *st, struct core_worker *worker)
{
  uint32_t high = st->desc.worker_high_permille;
  uint32_t low = high > OVERLOAD_HYSTERESIS_PERMILLE
                     ? high - OVERLOAD_HYSTERESIS_PERMILLE
                     : 0;
  struct cyc_resources used = worker->measured;
  bool memory_overloaded
      = exceeds_permille (used.memory_mib, worker->capacity.memory_mib, high);

  if (memory_overloaded
      || exceeds_permille (used.millicores, worker->capacity.millicores, high))
    reduce_load (st, worker, memory_overloaded);
  else if (!exceeds_permille (used.memory_mib, worker->capacity.memory_mib,
                              low)
           && !exceeds_permille (used.millicores, worker->capacity.millicores,
                                 low))
    end_throttling (st, worker);
}

/* Sums the estimates of the tasks that started after the last measurement. */
static void
sum_unmeasured_starts (struct cyc_core_state *st, struct core_worker *worker)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_queued_or_worker);

  worker->unmeasured = (struct cyc_resources){ 0 };
  for (uint32_t t = worker->tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    if (st->tasks[t].started_us > worker->measured_us)
      worker->unmeasured
          = core_res_add (worker->unmeasured, st->tasks[t].estimate);
}

/* Subtracts tasks that ended after the measurement from it. An end is reported
 * up to a heartbeat late, so only ends reported at least
 * MAX_END_REPORT_LAG_US after the measurement count. */
static void
subtract_ended_tasks (struct core_worker *worker)
{
  for (uint32_t i = 0; i < CORE_RECENT_ENDS; i++)
    {
      const struct core_recent_end *e = &worker->recent_ends[i];
      struct cyc_resources used = { e->millicores, e->memory_mib, 0 };

      if (e->started_us <= worker->measured_us
          && e->ended_us >= worker->measured_us + MAX_END_REPORT_LAG_US)
        worker->measured = core_res_sub (worker->measured, used);
    }
}

enum cyc_core_status
cyc_core_worker_usage (struct cyc_core *core, struct cyc_str worker,
                       const struct cyc_core_usage *usage, uint64_t now_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = core_find_worker (st, worker);

  core_trace (st, "worker-usage %" PRIu64 " %.*s %u %u %u %" PRIu64, now_us,
              CYC_FMT (core_trace_word (worker)), usage->used.millicores,
              usage->used.memory_mib, usage->used.accelerators,
              usage->measured_us);
  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  if (usage->measured_us < st->workers[row].measured_us)
    return CYC_CORE_OK;
  st->now_us = now_us;
  st->workers[row].measured = usage->used;
  st->workers[row].measured_us = usage->measured_us;
  sum_unmeasured_starts (st, &st->workers[row]);
  check_overload (st, &st->workers[row]);
  subtract_ended_tasks (&st->workers[row]);
  core_worker_refresh (st, row);
  return CYC_CORE_OK;
}
