/**
 * @file
 * Gangs: all queued tasks of a gang are placed in one tick or none is.
 */
#include "cyc_core_internal.h"

/* Pause between two attempts of one gang, and attempts in one tick: both
 * bound the cost of gangs that do not fit. */
#define RETRY_PAUSE_US 100000
#define TRIES_PER_TICK 8
/* Racks in which the whole gang is tried. */
#define TRY_RACKS 4

static void
undo (struct cyc_core_state *st, uint32_t placed)
{
  while (placed > 0)
    {
      uint32_t row = st->scratch[--placed];

      core_task_vacate (st, row);
      core_task_enqueue (st, row);
    }
}

/* With @p rack CORE_NONE the tasks may go to any rack. */
static bool
place_all (struct cyc_core_state *st, uint32_t job, uint32_t rack)
{
  uint32_t tasks = st->jobs[job].queued.count;
  uint32_t placed = 0;

  while (placed < tasks)
    {
      uint32_t row = st->jobs[job].queued.head;
      struct core_want want;
      uint32_t worker;

      core_want_set (st, row, &want);
      want.past_reservation = st->reserved_job == job;
      worker = rack == CORE_NONE ? core_find_room (st, &want)
                                 : core_find_in_rack (st, &want, rack);
      if (worker == CORE_NONE)
        {
          undo (st, placed);
          return false;
        }
      st->scratch[placed++] = row;
      core_start_on (st, row, worker);
    }
  return true;
}

static bool
rack_may_hold (const struct cyc_core_state *st, uint32_t rack,
               struct cyc_res need, uint64_t tasks)
{
  const struct core_rack *r = &st->racks[rack];

  return cyc_pool_used_at (&st->rack_pool, rack)
         && r->free_millicores >= tasks * need.millicores
         && r->free_memory_mib >= tasks * need.memory_mib
         && r->free_accelerators >= tasks * need.accelerators;
}

static bool
place_gang (struct cyc_core_state *st, uint32_t job)
{
  const struct core_queue *queue = &st->queues[st->jobs[job].queue];
  uint32_t tasks = st->jobs[job].queued.count;
  uint32_t tried = 0;

  for (uint32_t r = 0; r < st->rack_pool.high && tried < TRY_RACKS; r++)
    {
      if (!rack_may_hold (st, r, queue->estimate, tasks))
        continue;
      tried++;
      if (place_all (st, job, r))
        return true;
    }
  return place_all (st, job, CORE_NONE);
}

static bool
gang_held (const struct cyc_core_state *st, uint32_t job)
{
  struct core_rows rows = CORE_ROWS (st->tasks, in_place);

  for (uint32_t t = st->jobs[job].queued.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    if (core_task_held (st, t))
      return true;
  return false;
}

static uint32_t
oldest_gang (const struct cyc_core_state *st)
{
  struct core_rows teams = CORE_ROWS (st->teams, in_active[CORE_GANG]);
  struct core_rows queues = CORE_ROWS (st->queues, in_team);
  struct core_rows jobs = CORE_ROWS (st->jobs, in_queue);
  uint32_t best = CORE_NONE;

  for (uint32_t t = st->active[CORE_GANG].head; t != CORE_NONE;
       t = core_list_next (teams, t))
    for (uint32_t q = st->teams[t].queues[CORE_GANG].head; q != CORE_NONE;
         q = core_list_next (queues, q))
      for (uint32_t j = st->queues[q].jobs.head; j != CORE_NONE;
           j = core_list_next (jobs, j))
        {
          if (st->jobs[j].retry_us > st->now_us)
            continue;
          if (best == CORE_NONE
              || st->jobs[j].submitted_us < st->jobs[best].submitted_us)
            best = j;
          break;
        }
  return best;
}

static void
try_gang (struct cyc_core_state *st, uint32_t job)
{
  struct core_job *j = &st->jobs[job];
  uint32_t tasks = j->queued.count;

  j->retry_us = st->now_us + RETRY_PAUSE_US;
  if (gang_held (st, job))
    return;
  if (core_team_has_balance (st, j->queue, tasks) && place_gang (st, job))
    {
      st->queues[j->queue].blocked_since_us = 0;
      st->starts_left -= tasks < st->starts_left ? tasks : st->starts_left;
      return;
    }
  if (st->queues[j->queue].blocked_since_us == 0)
    st->queues[j->queue].blocked_since_us = st->now_us;
  core_never_check (st, job, tasks);
}

void
core_gang_unreserve (struct cyc_core_state *st)
{
  st->reserved_job = CORE_NONE;
}

void
core_sys_gang (struct cyc_core_state *st)
{
  for (uint32_t i = 0; i < TRIES_PER_TICK && st->starts_left > 0; i++)
    {
      uint32_t job = oldest_gang (st);

      if (job == CORE_NONE)
        return;
      try_gang (st, job);
    }
}
