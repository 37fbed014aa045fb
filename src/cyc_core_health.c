/**
 * @file
 * Health of workers. A worker whose latest tasks all failed, in more than one
 * queue, is ejected. It gets single probe tasks, with exponential backoff, and
 * is reinstated when one succeeds.
 */
#include "cyc_core_internal.h"

#include <string.h>

/* Replicas of services do not end, so as a probe a replica succeeds when it
 * has run for this time. */
#define SERVICE_PROBE_RUN_US 10000000
/* Consecutive successes after which a reinstated worker's backoff is reset.
 * Until then a new ejection continues with the longer backoff. */
#define BACKOFF_RESET_SUCCESSES 4

static bool
failures_span_queues (const struct cyc_core_state *st,
                      const struct core_worker *worker)
{
  for (uint32_t i = 1; i < st->desc.eject_failures; i++)
    if (worker->failed_queues[i] != worker->failed_queues[0])
      return true;
  return false;
}

/* Limits the part of ejected workers, so that tasks which fail on every worker
 * cannot eject the whole domain. */
static bool
may_eject (const struct cyc_core_state *st)
{
  return (st->ejected.count + 1) * 1000ULL
         <= (uint64_t)st->worker_pool.used * st->desc.ejected_max_permille;
}

static void
increase_backoff (struct cyc_core_state *st, struct core_worker *worker)
{
  if (worker->backoff_ms == 0)
    worker->backoff_ms = st->desc.probe_first_ms;
  else
    worker->backoff_ms *= 2;
  if (worker->backoff_ms > st->desc.probe_last_ms)
    worker->backoff_ms = st->desc.probe_last_ms;
  worker->next_probe_us = st->now_us + worker->backoff_ms * 1000ULL;
}

static void
eject (struct cyc_core_state *st, uint32_t row)
{
  struct core_worker *worker = &st->workers[row];

  worker->ejected = true;
  increase_backoff (st, worker);
  core_list_append (&st->ejected, CORE_LINKS (st->workers, in_ejected), row);
  core_worker_refresh (st, row);
}

static void
reinstate (struct cyc_core_state *st, uint32_t row)
{
  struct core_worker *worker = &st->workers[row];

  worker->ejected = false;
  worker->probe_task = CORE_NONE;
  core_list_remove (&st->ejected, CORE_LINKS (st->workers, in_ejected), row);
  core_worker_refresh (st, row);
}

static void
record_success (struct cyc_core_state *st, uint32_t row)
{
  struct core_worker *worker = &st->workers[row];

  worker->failures = 0;
  if (worker->successes < BACKOFF_RESET_SUCCESSES)
    worker->successes++;
  if (worker->ejected)
    reinstate (st, row);
  else if (worker->successes == BACKOFF_RESET_SUCCESSES)
    worker->backoff_ms = 0;
}

void
core_health_record_result (struct cyc_core_state *st, uint32_t worker,
                           uint32_t queue, bool succeeded)
{
  struct core_worker *w = &st->workers[worker];

  if (succeeded)
    {
      record_success (st, worker);
      return;
    }
  w->successes = 0;
  if (w->failures < UINT16_MAX)
    w->failures++;
  memmove (&w->failed_queues[1], &w->failed_queues[0],
           (CORE_MAX_EJECT_FAILURES - 1) * sizeof w->failed_queues[0]);
  w->failed_queues[0] = queue;
  if (w->ejected)
    increase_backoff (st, w);
  else if (w->failures >= st->desc.eject_failures
           && failures_span_queues (st, w) && may_eject (st))
    eject (st, worker);
}

static bool
probe_fits (struct cyc_core_state *st, uint32_t task, uint32_t worker)
{
  const struct core_worker *w = &st->workers[worker];
  struct cyc_resources free
      = core_worker_free_capacity (st, w, (struct cyc_resources){ 0 });
  uint32_t queue = st->jobs[st->tasks[task].job].queue;
  struct core_placement_request request;

  core_placement_request_init (st, task, &request);
  return st->queues[queue].repeatable && !core_task_awaits_fencing (st, task)
         && core_team_has_balance (st, queue, 1)
         && (core_res_fits (request.need, free)
             || (w->tasks.count == 0
                 && core_res_fits (request.declared, free)));
}

static uint32_t
find_probe_task (struct cyc_core_state *st, enum core_class class,
                 uint32_t worker)
{
  struct core_link_array teams = CORE_LINKS (st->teams, in_active[class]);
  struct core_link_array queues = CORE_LINKS (st->queues, in_team);

  for (uint32_t t = st->active[class].head; t != CORE_NONE;
       t = core_list_next (teams, t))
    for (uint32_t q = st->teams[t].queues[class].head; q != CORE_NONE;
         q = core_list_next (queues, q))
      {
        uint32_t task = st->jobs[st->queues[q].jobs.head].queued.head;

        if (probe_fits (st, task, worker))
          return task;
      }
  return CORE_NONE;
}

/* A probe may fail, so it is taken from the least urgent class that has
 * one. */
static void
start_probe (struct cyc_core_state *st, uint32_t worker)
{
  static const enum core_class order[]
      = { CORE_BATCH, CORE_SERVICE, CORE_URGENT };
  uint32_t task = CORE_NONE;

  for (int i = 0; i < 3 && task == CORE_NONE; i++)
    task = find_probe_task (st, order[i], worker);
  if (task == CORE_NONE)
    return;
  core_task_start (st, task, worker);
  st->workers[worker].probe_task = task;
  st->starts_left--;
}

static bool
service_probe_passed (const struct cyc_core_state *st, uint32_t task)
{
  const struct core_task *t = &st->tasks[task];

  return st->jobs[t->job].service && t->state == CYC_TASK_RUNNING
         && st->now_us >= t->started_us + SERVICE_PROBE_RUN_US;
}

void
core_sys_health (struct cyc_core_state *st)
{
  struct core_link_array rows = CORE_LINKS (st->workers, in_ejected);
  uint32_t next;

  for (uint32_t w = st->ejected.head; w != CORE_NONE; w = next)
    {
      const struct core_worker *worker = &st->workers[w];

      next = core_list_next (rows, w);
      if (worker->probe_task != CORE_NONE)
        {
          if (service_probe_passed (st, worker->probe_task))
            record_success (st, w);
        }
      else if (st->now_us >= worker->next_probe_us && !worker->silent
               && !worker->leaving && st->starts_left > 0
               && worker->refused_until_us <= st->now_us
               && worker->unfenced_until_us <= st->now_us)
        start_probe (st, w);
    }
}
