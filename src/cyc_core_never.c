/**
 * @file
 * Jobs that can never run here: larger than every worker, or than the limit
 * of their team.
 */
#include "cyc_core_internal.h"

/* A job is judged only after it was blocked, and the workers unchanged, for
 * this long, because workers become known one by one after a start. */
#define WORKER_GRACE_US 5000000
/* Other domains may still transfer part of their balance. */
#define LIMIT_GRACE_US 10000000

static uint32_t
times (uint32_t room, uint32_t need)
{
  return need == 0 ? UINT32_MAX : room / need;
}

static uint32_t
tasks_on_empty (const struct core_worker *worker, struct cyc_resources size)
{
  uint32_t count = times (worker->capacity.millicores, size.millicores);
  uint32_t memory = times (worker->capacity.memory_mib, size.memory_mib);
  uint32_t accelerators
      = times (worker->capacity.accelerators, size.accelerators);

  count = memory < count ? memory : count;
  return accelerators < count ? accelerators : count;
}

static bool
workers_hold (const struct cyc_core_state *st, struct cyc_resources size,
              uint64_t tasks)
{
  uint64_t room = 0;

  for (uint32_t w = 0; w < st->worker_pool.high && room < tasks; w++)
    if (cyc_pool_used_at (&st->worker_pool, w))
      room += tasks_on_empty (&st->workers[w], size);
  return room >= tasks;
}

static bool
limit_holds (const struct cyc_core_state *st, const struct core_queue *queue,
             uint64_t tasks)
{
  const struct core_team *team = &st->teams[queue->team];

  return tasks * queue->size.millicores <= team->balance_millicores
         && tasks * queue->size.accelerators <= team->balance_accelerators;
}

bool
core_never_check (struct cyc_core_state *st, uint32_t job, uint32_t tasks)
{
  const struct core_queue *queue = &st->queues[st->jobs[job].queue];
  uint64_t blocked_us = st->now_us - queue->blocked_since_us;
  uint64_t quiet_us = st->now_us - st->workers_changed_us;

  if (st->jobs[job].service || blocked_us < WORKER_GRACE_US)
    return false;
  if (blocked_us >= LIMIT_GRACE_US && !limit_holds (st, queue, tasks))
    core_job_finish (st, job, CORE_END_NO_LIMIT);
  else if (quiet_us >= WORKER_GRACE_US
           && !workers_hold (st, queue->size, tasks))
    core_job_finish (st, job, CORE_END_NO_WORKER);
  return st->jobs[job].end != CORE_END_NONE;
}
