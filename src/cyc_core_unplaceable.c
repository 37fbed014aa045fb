/**
 * @file
 * Refusal of jobs that can never run here, because their tasks exceed the
 * capacity of all workers or the limit of their team.
 */
#include "cyc_core_internal.h"

/* A job is refused only if its queue was blocked and the set of workers did
 * not change for this time, because after a start of the process workers are
 * added one by one. */
#define WORKERS_STABLE_US 5000000
/* Blocked time before the limit counts, because other domains may transfer
 * part of their balance. */
#define LIMIT_STABLE_US 10000000

static uint32_t
quotient (uint32_t fitting_tasks, uint32_t need)
{
  return need == 0 ? UINT32_MAX : fitting_tasks / need;
}

static uint32_t
tasks_per_empty_worker (const struct core_worker *worker,
                        struct cyc_resources size)
{
  uint32_t count = quotient (worker->capacity.millicores, size.millicores);
  uint32_t memory = quotient (worker->capacity.memory_mib, size.memory_mib);
  uint32_t accelerators
      = quotient (worker->capacity.accelerators, size.accelerators);

  count = memory < count ? memory : count;
  return accelerators < count ? accelerators : count;
}

static bool
workers_can_fit (const struct cyc_core_state *st, struct cyc_resources size,
                 uint64_t tasks)
{
  uint64_t fitting_tasks = 0;

  for (uint32_t w = 0; w < st->worker_pool.high && fitting_tasks < tasks; w++)
    if (cyc_pool_used_at (&st->worker_pool, w))
      fitting_tasks += tasks_per_empty_worker (&st->workers[w], size);
  return fitting_tasks >= tasks;
}

static bool
limit_allows (const struct cyc_core_state *st, const struct core_queue *queue,
              uint64_t tasks)
{
  const struct core_team *team = &st->teams[queue->team];

  return tasks * queue->size.millicores <= team->balance_millicores
         && tasks * queue->size.accelerators <= team->balance_accelerators;
}

bool
core_refuse_unplaceable (struct cyc_core_state *st, uint32_t job,
                         uint32_t tasks)
{
  const struct core_queue *queue = &st->queues[st->jobs[job].queue];
  uint64_t blocked_us = st->now_us - queue->blocked_since_us;
  uint64_t unchanged_us = st->now_us - st->workers_changed_us;

  if (st->jobs[job].service || blocked_us < WORKERS_STABLE_US)
    return false;
  if (blocked_us >= LIMIT_STABLE_US && !limit_allows (st, queue, tasks))
    core_job_finish (st, job, CORE_END_EXCEEDS_LIMIT);
  else if (unchanged_us >= WORKERS_STABLE_US
           && !workers_can_fit (st, queue->size, tasks))
    core_job_finish (st, job, CORE_END_EXCEEDS_WORKERS);
  return st->jobs[job].end_reason != CORE_END_NONE;
}
