/**
 * @file
 * Sizes: what queues are learned to need, and protection of workers whose
 * measured use comes near their capacity.
 *
 * One task is placed by the 95th percentile of its queue. The tasks of a
 * worker together need less than the sum of these percentiles, so their
 * estimate is the 95th percentile of the sum: means and variances added up.
 * Measurements arrive late, so a worker counts as committed the larger of this
 * estimate and (measured + percentiles of what started since).
 */
#include "cyc_core_internal.h"

#include <inttypes.h>
#include <math.h>

/* Bins are an eighth of a power of two wide, so an estimate is at most 9%
 * above the quantile; they cover 1/16 to 16 times the declared size. */
#define BINS_PER_DOUBLING 8
#define BIN_OF_ONE 32
#define LEARN_SAMPLES 8
#define LEARN_QUANTILE_PERMILLE 950
#define LEARN_LEAST 0.25
#define LEARN_MOST 4.0
/* Counts are halved at this sum, so that old measurements fade. */
#define HIST_FULL 4096
#define MOMENT_SAMPLES 1024
/* Pause between two steps against overload: one step must show in the
 * measurements before the next. */
#define OVER_PAUSE_US 1500000
/* Longest time between the end of a task and its report. */
#define END_LAG_US 1000000
/* Hysteresis: throttled tasks run freely again well below the limit. */
#define OVER_END_PERMILLE 100

static uint32_t
scale (uint32_t value, double factor)
{
  double scaled = ceil (value * factor);

  return scaled > UINT32_MAX ? UINT32_MAX : (uint32_t)scaled;
}

/* Mean and variance over about the latest MOMENT_SAMPLES measurements. */
static void
hist_moments (struct core_histogram *hist, double ratio)
{
  double off = ratio - hist->mean;

  if (hist->samples < MOMENT_SAMPLES)
    hist->samples++;
  hist->mean += off / hist->samples;
  hist->variance
      += (off * (ratio - hist->mean) - hist->variance) / hist->samples;
}

static void
hist_add (struct core_histogram *hist, uint32_t used, uint32_t declared)
{
  double ratio = declared > 0 ? (double)used / declared : 1;
  int bin = 0;

  if (ratio > 0)
    bin = BIN_OF_ONE + (int)floor (log2 (ratio) * BINS_PER_DOUBLING);
  bin = bin < 0 ? 0 : bin;
  bin = bin >= CORE_HISTOGRAM_BINS ? CORE_HISTOGRAM_BINS - 1 : bin;
  hist->bins[bin]++;
  hist_moments (hist, ratio);
  if (++hist->total < HIST_FULL)
    return;
  hist->total = 0;
  for (int i = 0; i < CORE_HISTOGRAM_BINS; i++)
    {
      hist->bins[i] /= 2;
      hist->total = (uint16_t)(hist->total + hist->bins[i]);
    }
}

static double
bounded (double factor)
{
  factor = factor < LEARN_LEAST ? LEARN_LEAST : factor;
  return factor > LEARN_MOST ? LEARN_MOST : factor;
}

/* Quantile as a part of the declared size, or @p first without samples. */
static double
hist_factor (const struct core_histogram *hist, double first)
{
  uint32_t below = 0;
  int bin = 0;

  if (hist->total < LEARN_SAMPLES)
    return first;
  for (; bin < CORE_HISTOGRAM_BINS - 1; bin++)
    {
      below += hist->bins[bin];
      if (below * 1000 >= hist->total * LEARN_QUANTILE_PERMILLE)
        break;
    }
  return bounded (exp2 ((double)(bin + 1 - BIN_OF_ONE) / BINS_PER_DOUBLING));
}

/* Without samples the estimate itself is the mean. */
static void
set_need (const struct core_histogram *hist, uint32_t size, uint32_t estimate,
          uint32_t *mean, uint64_t *variance)
{
  *mean = estimate;
  *variance = 0;
  if (hist->total < LEARN_SAMPLES)
    return;
  *mean = scale (size, bounded (hist->mean));
  *variance = (uint64_t)(hist->variance * size * size);
}

void
core_queue_estimate (struct cyc_core_state *st, struct core_queue *queue)
{
  double first = 1 + st->desc.first_headroom_permille / 1000.0;

  queue->estimate.millicores
      = scale (queue->size.millicores, hist_factor (&queue->cpu, first));
  queue->estimate.memory_mib
      = scale (queue->size.memory_mib, hist_factor (&queue->memory, first));
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
  double off = run - queue->run_mean_us;

  if (queue->run_mean_us <= 0)
    {
      queue->run_mean_us = run;
      queue->run_dev_us = run / 2;
      return;
    }
  queue->run_mean_us += off / 8;
  queue->run_dev_us += ((off < 0 ? -off : off) - queue->run_dev_us) / 8;
}

/* The worker's sums follow the estimate of the queue with each measurement. */
static void
re_reserve (struct cyc_core_state *st, struct core_task *task)
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
  /* A throttled task shows less than it needs. */
  if (!task->throttled)
    {
      hist_add (&queue->cpu, usage->used.millicores, queue->size.millicores);
      hist_add (&queue->memory, usage->used.memory_mib,
                queue->size.memory_mib);
      core_queue_estimate (st, queue);
    }
  re_reserve (st, task);
  return CYC_CORE_OK;
}

static bool
above (uint32_t used, uint32_t capacity, uint32_t permille)
{
  return (uint64_t)used * 1000 > (uint64_t)capacity * permille;
}

static uint32_t
newest_batch (const struct cyc_core_state *st,
              const struct core_worker *worker, bool throttled_too)
{
  for (uint32_t t = worker->tasks.tail; t != CORE_NONE;
       t = st->tasks[t].in_place.prev)
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
throttle (struct cyc_core_state *st, uint32_t row)
{
  st->tasks[row].throttled = true;
  st->workers[st->tasks[row].worker].throttled++;
  core_task_emit (st, row, CYC_DECISION_THROTTLE);
}

static bool
has_stopping (const struct cyc_core_state *st,
              const struct core_worker *worker)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_place);

  for (uint32_t t = worker->tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    if (st->tasks[t].state == CYC_TASK_STOPPING)
      return true;
  return false;
}

/* Throttling frees no memory, so a worker short of memory skips that step. A
 * task that is already being stopped must be gone before the next one goes. */
static void
relieve (struct cyc_core_state *st, struct core_worker *worker, bool memory)
{
  uint32_t row = CORE_NONE;

  if (worker->overload_step_us > 0
      && worker->measured_us < worker->overload_step_us)
    return;
  if (has_stopping (st, worker))
    return;
  if (!memory && worker->overload_steps++ == 0)
    row = newest_batch (st, worker, false);
  if (row != CORE_NONE)
    throttle (st, row);
  else if ((row = newest_batch (st, worker, true)) != CORE_NONE)
    core_task_stop (st, row, CORE_STOP_CHECKPOINT);
  worker->overload_step_us = st->now_us + OVER_PAUSE_US;
}

static void
end_throttling (struct cyc_core_state *st, struct core_worker *worker)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_place);

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
  uint32_t low = high > OVER_END_PERMILLE ? high - OVER_END_PERMILLE : 0;
  struct cyc_res used = worker->measured;
  bool memory = above (used.memory_mib, worker->capacity.memory_mib, high);

  if (memory || above (used.millicores, worker->capacity.millicores, high))
    relieve (st, worker, memory);
  else if (!above (used.memory_mib, worker->capacity.memory_mib, low)
           && !above (used.millicores, worker->capacity.millicores, low))
    end_throttling (st, worker);
}

static void
count_since (struct cyc_core_state *st, struct core_worker *worker)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_place);

  worker->unmeasured = (struct cyc_res){ 0 };
  for (uint32_t t = worker->tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    if (st->tasks[t].started_us > worker->measured_us)
      worker->unmeasured
          = core_res_add (worker->unmeasured, st->tasks[t].estimate);
}

/* Takes out of the measurement what ended after it. An end is reported up to
 * a heartbeat late, so only ends well after the measurement count. */
static void
forget_ended (struct core_worker *worker)
{
  for (uint32_t i = 0; i < CORE_RECENT_ENDS; i++)
    {
      const struct core_recent_end *e = &worker->recent_ends[i];
      struct cyc_res used = { e->millicores, e->memory_mib, 0 };

      if (e->started_us <= worker->measured_us
          && e->ended_us >= worker->measured_us + END_LAG_US)
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
  count_since (st, &st->workers[row]);
  check_overload (st, &st->workers[row]);
  forget_ended (&st->workers[row]);
  core_worker_refresh (st, row);
  return CYC_CORE_OK;
}
