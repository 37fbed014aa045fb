/**
 * @file
 * Health of workers: a worker whose latest starts all failed is ejected, and
 * comes back after a single probe task succeeded.
 */
#include "cyc_core_internal.h"

#include <string.h>

/* A replica never ends, so as a probe it passes after running this long. */
#define PROBE_SERVICE_US 10000000
/* Hysteresis: the backoff of a worker that came back is forgotten only after
 * this many successes in a row. */
#define FORGET_SUCCESSES 4

static bool
two_queues_failed (const struct cyc_core_state *st,
                   const struct core_worker *worker)
{
  for (uint32_t i = 1; i < st->desc.eject_failures; i++)
    if (worker->failed_queues[i] != worker->failed_queues[0])
      return true;
  return false;
}

/* The cap keeps a fault in the work, which fails everywhere, from taking the
 * whole domain out. */
static bool
may_eject (const struct cyc_core_state *st)
{
  return (st->ejected.count + 1) * 1000ULL
         <= (uint64_t)st->worker_pool.used * st->desc.ejected_max_permille;
}

static void
set_backoff (struct cyc_core_state *st, struct core_worker *worker)
{
  if (worker->backoff_ms == 0)
    worker->backoff_ms = st->desc.probe_first_ms;
  else
    worker->backoff_ms *= 2;
  if (worker->backoff_ms > st->desc.probe_last_ms)
    worker->backoff_ms = st->desc.probe_last_ms;
  worker->probe_us = st->now_us + worker->backoff_ms * 1000ULL;
}

static void
eject (struct cyc_core_state *st, uint32_t row)
{
  struct core_worker *worker = &st->workers[row];

  worker->ejected = true;
  set_backoff (st, worker);
  core_list_append (&st->ejected, CORE_ROWS (st->workers, in_ejected), row);
  core_worker_refresh (st, row);
}

static void
reinstate (struct cyc_core_state *st, uint32_t row)
{
  struct core_worker *worker = &st->workers[row];

  worker->ejected = false;
  worker->probe_task = CORE_NONE;
  core_list_remove (&st->ejected, CORE_ROWS (st->workers, in_ejected), row);
  core_worker_refresh (st, row);
}

static void
note_success (struct cyc_core_state *st, uint32_t row)
{
  struct core_worker *worker = &st->workers[row];

  worker->failures = 0;
  if (worker->successes < FORGET_SUCCESSES)
    worker->successes++;
  if (worker->ejected)
    reinstate (st, row);
  else if (worker->successes == FORGET_SUCCESSES)
    worker->backoff_ms = 0;
}

void
core_health_note (struct cyc_core_state *st, uint32_t worker, uint32_t queue,
                  bool ok)
{
  struct core_worker *w = &st->workers[worker];

  if (ok)
    {
      note_success (st, worker);
      return;
    }
  w->successes = 0;
  if (w->failures < UINT16_MAX)
    w->failures++;
  memmove (&w->failed_queues[1], &w->failed_queues[0],
           (CORE_EJECT_MOST - 1) * sizeof w->failed_queues[0]);
  w->failed_queues[0] = queue;
  if (w->ejected)
    set_backoff (st, w);
  else if (w->failures >= st->desc.eject_failures && two_queues_failed (st, w)
           && may_eject (st))
    eject (st, worker);
}

static bool
probe_fits (struct cyc_core_state *st, uint32_t task, uint32_t worker)
{
  const struct core_worker *w = &st->workers[worker];
  struct cyc_resources room
      = core_worker_room (st, w, (struct cyc_resources){ 0 });
  uint32_t queue = st->jobs[st->tasks[task].job].queue;
  struct core_want want;

  core_want_set (st, task, &want);
  return st->queues[queue].repeatable && !core_task_held (st, task)
         && core_team_has_balance (st, queue, 1)
         && (core_res_fits (want.need, room)
             || (w->tasks.count == 0 && core_res_fits (want.declared, room)));
}

static uint32_t
probe_of_class (struct cyc_core_state *st, enum core_class class,
                uint32_t worker)
{
  struct core_rows teams = CORE_ROWS (st->teams, in_active[class]);
  struct core_rows queues = CORE_ROWS (st->queues, in_team);

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

/* Work that can wait is risked first. */
static void
start_probe (struct cyc_core_state *st, uint32_t worker)
{
  static const enum core_class order[]
      = { CORE_BATCH, CORE_SERVICE, CORE_URGENT };
  uint32_t task = CORE_NONE;

  for (int i = 0; i < 3 && task == CORE_NONE; i++)
    task = probe_of_class (st, order[i], worker);
  if (task == CORE_NONE)
    return;
  core_start_on (st, task, worker);
  st->workers[worker].probe_task = task;
  st->starts_left--;
}

static bool
replica_passed (const struct cyc_core_state *st, uint32_t task)
{
  const struct core_task *t = &st->tasks[task];

  return st->jobs[t->job].service && t->state == CYC_TASK_RUNNING
         && st->now_us >= t->started_us + PROBE_SERVICE_US;
}

void
core_sys_health (struct cyc_core_state *st)
{
  struct core_rows rows = CORE_ROWS (st->workers, in_ejected);
  uint32_t next;

  for (uint32_t w = st->ejected.head; w != CORE_NONE; w = next)
    {
      const struct core_worker *worker = &st->workers[w];

      next = core_list_next (rows, w);
      if (worker->probe_task != CORE_NONE)
        {
          if (replica_passed (st, worker->probe_task))
            note_success (st, w);
        }
      else if (st->now_us >= worker->probe_us && !worker->silent
               && !worker->leaving && st->starts_left > 0
               && worker->refused_until_us <= st->now_us
               && worker->unfenced_until_us <= st->now_us)
        start_probe (st, w);
    }
}
