/**
 * @file
 * Gangs: all queued tasks of a gang are placed in one tick or none is.
 *
 * Nothing is held for a part of a gang. The oldest gangs that do not fit get
 * a reservation each: workers that will have room when their present tasks end
 * take only work that ends before the deadline, or that leaves the room free.
 */
#include "cyc_core_internal.h"

/* Pause between two attempts of one gang, and attempts in one tick: both
 * bound the cost of gangs that do not fit. */
#define RETRY_PAUSE_US 100000
#define TRIES_PER_TICK 8
/* A gang that could not use this many reservations leaves them to others. */
#define MOST_RESERVATIONS 10
/* Workers are ordered by the number of the gang's tasks that fit now. */
#define FIT_CLASSES 33
/* A further reservation may bring its team this much above its part: a gang is
 * large beside the distance of a team from its part. */
#define RESERVE_OVER 1.1
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
               struct cyc_resources need, uint64_t tasks)
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

static uint32_t
times (struct cyc_resources room, struct cyc_resources need)
{
  uint32_t count = FIT_CLASSES - 1;

  if (need.millicores > 0 && room.millicores / need.millicores < count)
    count = room.millicores / need.millicores;
  if (need.memory_mib > 0 && room.memory_mib / need.memory_mib < count)
    count = room.memory_mib / need.memory_mib;
  if (need.accelerators > 0 && room.accelerators / need.accelerators < count)
    count = room.accelerators / need.accelerators;
  return count;
}

static bool
ends_by (const struct cyc_core_state *st, const struct core_task *task,
         uint64_t deadline_us)
{
  const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];
  double run_us = queue->run_mean_us + queue->run_dev_us;

  return !st->jobs[task->job].service
         && (double)task->started_us + run_us <= (double)deadline_us;
}

/* Tasks that fit when what ends by the deadline has ended. An empty worker
 * has more room for its first task than for several, so it is not counted as
 * empty unless only one fits. */
static uint32_t
fits_in_time (const struct cyc_core_state *st, uint32_t row,
              const struct core_queue *queue, uint64_t deadline_us)
{
  struct core_rows rows = CORE_ROWS (st->tasks, in_place);
  struct core_worker copy = st->workers[row];
  uint32_t stay = 0;
  uint32_t fits;

  for (uint32_t t = copy.tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    {
      const struct core_task *task = &st->tasks[t];

      if (!ends_by (st, task, deadline_us))
        {
          stay++;
          continue;
        }
      copy.need = core_need_sub (copy.need, task->need);
      copy.declared = core_res_sub (copy.declared, task->declared);
      copy.measured = core_res_sub (copy.measured, task->used);
    }
  copy.since = (struct cyc_resources){ 0 };
  copy.tasks.count = 1;
  fits = times (core_worker_room (st, &copy, copy.since), queue->estimate);
  if (fits == 0 && stay == 0)
    fits = core_res_fits (queue->size, copy.capacity);
  return fits;
}

/* Orders usable workers in scratch by the number of tasks that fit now, most
 * first, so that the reservation waits for as few tasks as possible. */
static uint32_t
order_workers (struct cyc_core_state *st, struct cyc_resources need)
{
  uint32_t start[FIT_CLASSES + 1] = { 0 };
  uint32_t count = 0;

  for (uint32_t w = 0; w < st->worker_pool.high; w++)
    if (st->workers[w].bucket != CORE_NONE
        && cyc_pool_used_at (&st->worker_pool, w))
      start[FIT_CLASSES - times (st->workers[w].free, need)]++;
  for (uint32_t i = 1; i <= FIT_CLASSES; i++)
    start[i] += start[i - 1];
  for (uint32_t w = 0; w < st->worker_pool.high; w++)
    if (st->workers[w].bucket != CORE_NONE
        && cyc_pool_used_at (&st->worker_pool, w))
      {
        uint32_t class = times (st->workers[w].free, need);

        st->scratch[start[FIT_CLASSES - class - 1]++] = w;
        count++;
      }
  return count;
}

static void
hold (struct core_worker *worker, uint32_t job, struct cyc_resources need,
      uint32_t tasks, uint64_t deadline_us)
{
  worker->reserved_job = job;
  worker->reserved_until_us = deadline_us;
  worker->gang_hold = (struct cyc_resources){ need.millicores * tasks,
                                              need.memory_mib * tasks,
                                              need.accelerators * tasks };
}

/* Returns the number of tasks for which no worker has room by @p end_us. */
static uint32_t
hold_workers (struct cyc_core_state *st, uint32_t job, uint32_t left,
              uint32_t workers, uint64_t end_us)
{
  const struct core_queue *queue = &st->queues[st->jobs[job].queue];

  for (uint32_t i = 0; i < workers && left > 0; i++)
    {
      struct core_worker *worker = &st->workers[st->scratch[i]];
      uint32_t fits;

      if (worker->reserved_until_us > 0)
        continue;
      fits = fits_in_time (st, st->scratch[i], queue, end_us);
      fits = fits < left ? fits : left;
      if (fits == 0)
        continue;
      hold (worker, job, queue->estimate, fits,
            st->jobs[job].reserved_until_us);
      left -= fits;
    }
  return left;
}

/* Workers whose tasks end before the deadline come first. Some tasks run
 * longer than learned, so a quarter more is reserved when there is room. */
static void
reserve (struct cyc_core_state *st, uint32_t job)
{
  const struct core_queue *queue = &st->queues[st->jobs[job].queue];
  uint32_t tasks = st->jobs[job].queued.count;
  uint32_t workers = order_workers (st, queue->estimate);
  uint32_t spare = (tasks + 3) / 4;
  uint32_t left;

  st->reserved[st->reserved_count++] = job;
  st->jobs[job].reserved_until_us
      = st->now_us + st->desc.gang_reserve_ms * 1000ULL;
  st->jobs[job].reservations++;
  left = hold_workers (st, job, tasks + spare, workers,
                       st->jobs[job].reserved_until_us);
  if (left > spare)
    left = hold_workers (st, job, left, workers, UINT64_MAX);
  /* Holding workers for a gang that cannot fit would only waste them. */
  if (left > spare)
    core_gang_unreserve (st, job);
}

void
core_gang_unreserve (struct cyc_core_state *st, uint32_t job)
{
  uint32_t at = 0;

  if (st->jobs[job].reserved_until_us == 0)
    return;
  st->jobs[job].reserved_until_us = 0;
  while (st->reserved[at] != job)
    at++;
  st->reserved[at] = st->reserved[--st->reserved_count];
  for (uint32_t w = 0; w < st->worker_pool.high; w++)
    {
      if (st->workers[w].reserved_until_us == 0
          || st->workers[w].reserved_job != job)
        continue;
      st->workers[w].reserved_until_us = 0;
      st->workers[w].gang_hold = (struct cyc_resources){ 0 };
    }
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

/* The first reservation goes to the oldest gang. More go to teams that stay
 * near or below their part when all their reserved gangs run. One is added to
 * both divisors because a fleet may be empty and a share zero. */
static bool
may_reserve (const struct cyc_core_state *st, uint32_t job)
{
  uint32_t row = st->queues[st->jobs[job].queue].team;
  const struct core_team *team = &st->teams[row];
  double pending = 0;

  if (st->reserved_count == 0)
    return true;
  if (st->reserved_count == CORE_RESERVED
      || st->jobs[job].reserved_until_us > 0)
    return false;
  for (uint32_t i = 0; i <= st->reserved_count; i++)
    {
      const struct core_job *j
          = &st->jobs[i < st->reserved_count ? st->reserved[i] : job];
      const struct core_queue *queue = &st->queues[j->queue];

      if (queue->team == row)
        pending += (double)j->queued.count * queue->need.mean.millicores;
    }
  return team->score
             + pending / (double)(st->total_millicores + 1)
                   / (team->share_permille + 1)
         < st->fair_score * RESERVE_OVER;
}

static void
try_gang (struct cyc_core_state *st, uint32_t job)
{
  struct core_job *j = &st->jobs[job];
  uint32_t tasks = j->queued.count;
  bool balance;

  j->retry_us = st->now_us + RETRY_PAUSE_US;
  if (gang_held (st, job))
    return;
  balance = core_team_has_balance (st, j->queue, tasks);
  if (balance && place_gang (st, job))
    {
      st->queues[j->queue].blocked_since_us = 0;
      st->starts_left -= tasks < st->starts_left ? tasks : st->starts_left;
      core_gang_unreserve (st, job);
      return;
    }
  if (st->queues[j->queue].blocked_since_us == 0)
    st->queues[j->queue].blocked_since_us = st->now_us;
  if (!core_never_check (st, job, tasks) && balance
      && j->reservations < MOST_RESERVATIONS && may_reserve (st, job))
    reserve (st, job);
}

void
core_sys_gang (struct cyc_core_state *st)
{
  for (uint32_t i = st->reserved_count; i-- > 0;)
    {
      const struct core_job *job = &st->jobs[st->reserved[i]];

      if (st->now_us >= job->reserved_until_us || job->end != CORE_END_NONE
          || job->queued.count == 0)
        core_gang_unreserve (st, st->reserved[i]);
    }
  for (uint32_t i = 0; i < TRIES_PER_TICK && st->starts_left > 0; i++)
    {
      uint32_t job = oldest_gang (st);

      if (job == CORE_NONE)
        return;
      try_gang (st, job);
    }
}
