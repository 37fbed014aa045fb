/**
 * @file
 * Sizes: the estimate of a queue and the measured use of tasks and workers.
 */
#include "cyc_core_internal.h"

static uint32_t
scale (uint32_t value, uint32_t permille)
{
  uint64_t scaled = (uint64_t)value * permille / 1000;

  return scaled > UINT32_MAX ? UINT32_MAX : (uint32_t)scaled;
}

void
core_queue_estimate (struct cyc_core_state *st, struct core_queue *queue)
{
  uint32_t permille = 1000 + st->desc.first_headroom_permille;

  queue->estimate.millicores = scale (queue->size.millicores, permille);
  queue->estimate.memory_mib = scale (queue->size.memory_mib, permille);
  queue->estimate.accelerators = queue->size.accelerators;
}

void
core_queue_learn_run (struct core_queue *queue, uint64_t run_us)
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

enum cyc_core_status
cyc_core_task_usage (struct cyc_core *core, const struct cyc_id128 *job,
                     uint32_t task_index, const struct cyc_core_usage *usage,
                     uint64_t now_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t j = core_find_job (st, job);
  uint32_t row
      = j == CORE_NONE ? CORE_NONE : core_find_task (st, j, task_index);

  if (row == CORE_NONE || st->tasks[row].worker == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  st->now_us = now_us;
  st->tasks[row].used = usage->used;
  return CYC_CORE_OK;
}

enum cyc_core_status
cyc_core_worker_usage (struct cyc_core *core, struct cyc_str worker,
                       const struct cyc_core_usage *usage, uint64_t now_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = core_find_worker (st, worker);
  struct core_rows rows = CORE_ROWS (st->tasks, in_place);

  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  st->now_us = now_us;
  st->workers[row].measured = usage->used;
  st->workers[row].measured_us = usage->measured_us;
  st->workers[row].since = (struct cyc_res){ 0 };
  for (uint32_t t = st->workers[row].tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    if (st->tasks[t].started_us > usage->measured_us)
      st->workers[row].since
          = core_res_add (st->workers[row].since, st->tasks[t].reserved);
  core_worker_refresh (st, row);
  return CYC_CORE_OK;
}
