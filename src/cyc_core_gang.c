/**
 * @file
 * Placement of gangs: one tick starts either all queued tasks of a gang or
 * none.
 *
 * No capacity is kept for a part of a gang. Instead, the oldest gangs that do
 * not fit get a reservation each, on workers that will have enough capacity
 * when their present tasks end. Until the deadline of the reservation, such a
 * worker takes only tasks that end before it or that leave the reserved
 * capacity free.
 */
#include "cyc_core_internal.h"

/* Time between two attempts to place a gang, and attempts in one tick. Both
 * bound the cost of gangs that do not fit. */
#define GANG_RETRY_INTERVAL_US 100000
#define MAX_ATTEMPTS_PER_TICK 8
/* A gang that could not use this many reservations gets no more, so that other
 * gangs can reserve workers. */
#define MAX_RESERVATIONS_PER_GANG 10
/* Number of classes into which workers are sorted by how many tasks of the
 * gang fit now: 0 to 31, and 32 or more. */
#define FIT_CLASS_COUNT 33
/* Reservations after the first may raise the score of their team up to this
 * factor of the fair score, because one gang is large compared with the usual
 * deviation of a team from its share. */
#define RESERVE_SHARE_FACTOR 1.1
/* Racks in which placement of the whole gang is tried. */
#define MAX_RACKS_TRIED 4

static void
undo_placements (struct cyc_core_state *st, uint32_t placed)
{
  while (placed > 0)
    {
      uint32_t row = st->scratch[--placed];

      core_task_vacate (st, row);
      core_task_enqueue (st, row);
    }
}

/* Starts all queued tasks of the gang in the rack, or in any racks if @p rack
 * is CORE_NONE. If one of the tasks does not fit, none is started. */
static bool
place_all_tasks (struct cyc_core_state *st, uint32_t job, uint32_t rack)
{
  uint32_t tasks = st->jobs[job].queued.count;
  uint32_t placed = 0;

  while (placed < tasks)
    {
      uint32_t row = st->jobs[job].queued.head;
      struct core_placement_request request;
      uint32_t worker;

      core_placement_request_init (st, row, &request);
      worker = rack == CORE_NONE ? core_find_fit (st, &request)
                                 : core_find_fit_in_rack (st, &request, rack);
      if (worker == CORE_NONE)
        {
          undo_placements (st, placed);
          return false;
        }
      st->scratch[placed++] = row;
      core_task_start (st, row, worker);
    }
  return true;
}

static bool
rack_may_fit (const struct cyc_core_state *st, uint32_t rack,
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

  for (uint32_t r = 0; r < st->rack_pool.high && tried < MAX_RACKS_TRIED; r++)
    {
      if (!rack_may_fit (st, r, queue->estimate, tasks))
        continue;
      tried++;
      if (place_all_tasks (st, job, r))
        return true;
    }
  return place_all_tasks (st, job, CORE_NONE);
}

static uint32_t
count_fitting (struct cyc_resources free, struct cyc_resources need)
{
  uint32_t count = FIT_CLASS_COUNT - 1;

  if (need.millicores > 0 && free.millicores / need.millicores < count)
    count = free.millicores / need.millicores;
  if (need.memory_mib > 0 && free.memory_mib / need.memory_mib < count)
    count = free.memory_mib / need.memory_mib;
  if (need.accelerators > 0 && free.accelerators / need.accelerators < count)
    count = free.accelerators / need.accelerators;
  return count;
}

static bool
ends_before (const struct cyc_core_state *st, const struct core_task *task,
             uint64_t deadline_us)
{
  const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];
  double run_us = queue->run_mean_us + queue->run_dev_us;

  return !st->jobs[task->job].service
         && (double)task->started_us + run_us <= (double)deadline_us;
}

/* Returns the number of the gang's tasks that fit when the tasks that end
 * before the deadline have ended. An empty worker offers its whole capacity to
 * its first task, but less to several, so it is treated as empty only if no
 * task fits otherwise. */
static uint32_t
count_fitting_before (const struct cyc_core_state *st, uint32_t row,
                      const struct core_queue *queue, uint64_t deadline_us)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_queued_or_worker);
  struct core_worker copy = st->workers[row];
  uint32_t remaining_tasks = 0;
  uint32_t fits;

  for (uint32_t t = copy.tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    {
      const struct core_task *task = &st->tasks[t];

      if (!ends_before (st, task, deadline_us))
        {
          remaining_tasks++;
          continue;
        }
      copy.need = core_need_sub (copy.need, task->need);
      copy.declared = core_res_sub (copy.declared, task->declared);
      copy.measured = core_res_sub (copy.measured, task->used);
    }
  copy.unmeasured = (struct cyc_resources){ 0 };
  copy.tasks.count = 1;
  fits = count_fitting (core_worker_free_capacity (st, &copy, copy.unmeasured),
                        queue->estimate);
  if (fits == 0 && remaining_tasks == 0)
    fits = core_res_fits (queue->size, copy.capacity);
  return fits;
}

/* Sorts the usable workers into scratch by the number of tasks that fit now,
 * most first, so that the reservation waits for as few running tasks as
 * possible. Returns the number of workers. */
static uint32_t
order_workers (struct cyc_core_state *st, struct cyc_resources need)
{
  uint32_t start[FIT_CLASS_COUNT + 1] = { 0 };
  uint32_t count = 0;

  for (uint32_t w = 0; w < st->worker_pool.high; w++)
    if (st->workers[w].bucket != CORE_NONE
        && cyc_pool_used_at (&st->worker_pool, w))
      start[FIT_CLASS_COUNT - count_fitting (st->workers[w].free, need)]++;
  for (uint32_t i = 1; i <= FIT_CLASS_COUNT; i++)
    start[i] += start[i - 1];
  for (uint32_t w = 0; w < st->worker_pool.high; w++)
    if (st->workers[w].bucket != CORE_NONE
        && cyc_pool_used_at (&st->worker_pool, w))
      {
        uint32_t class = count_fitting (st->workers[w].free, need);

        st->scratch[start[FIT_CLASS_COUNT - class - 1]++] = w;
        count++;
      }
  return count;
}

static void
reserve_worker (struct core_worker *worker, uint32_t job,
                struct cyc_resources need, uint32_t tasks,
                uint64_t deadline_us)
{
  worker->reserved_job = job;
  worker->reserved_until_us = deadline_us;
  worker->gang_reserved = (struct cyc_resources){ need.millicores * tasks,
                                                  need.memory_mib * tasks,
                                                  need.accelerators * tasks };
}

/* Reserves workers that have capacity before @p end_us. Returns the number of
 * tasks that fit on none of them. */
static uint32_t
reserve_workers (struct cyc_core_state *st, uint32_t job, uint32_t left,
                 uint32_t workers, uint64_t end_us)
{
  const struct core_queue *queue = &st->queues[st->jobs[job].queue];

  for (uint32_t i = 0; i < workers && left > 0; i++)
    {
      struct core_worker *worker = &st->workers[st->scratch[i]];
      uint32_t fits;

      if (worker->reserved_until_us > 0)
        continue;
      fits = count_fitting_before (st, st->scratch[i], queue, end_us);
      fits = fits < left ? fits : left;
      if (fits == 0)
        continue;
      reserve_worker (worker, job, queue->estimate, fits,
                      st->jobs[job].reserved_until_us);
      left -= fits;
    }
  return left;
}

/* Workers whose tasks end before the deadline are reserved first. Some tasks
 * run longer than estimated, so capacity for a quarter more tasks is reserved
 * if it is available. */
static void
reserve_gang (struct cyc_core_state *st, uint32_t job)
{
  const struct core_queue *queue = &st->queues[st->jobs[job].queue];
  uint32_t tasks = st->jobs[job].queued.count;
  uint32_t workers = order_workers (st, queue->estimate);
  uint32_t extra = (tasks + 3) / 4;
  uint32_t left;

  st->reserved_gangs[st->reserved_gang_count++] = job;
  st->jobs[job].reserved_until_us
      = st->now_us + st->desc.gang_reserve_ms * 1000ULL;
  st->jobs[job].reservation_count++;
  left = reserve_workers (st, job, tasks + extra, workers,
                          st->jobs[job].reserved_until_us);
  if (left > extra)
    left = reserve_workers (st, job, left, workers, UINT64_MAX);
  /* Workers reserved for a gang that cannot fit would only be idle. */
  if (left > extra)
    core_gang_unreserve (st, job);
}

void
core_gang_unreserve (struct cyc_core_state *st, uint32_t job)
{
  uint32_t at = 0;

  if (st->jobs[job].reserved_until_us == 0)
    return;
  st->jobs[job].reserved_until_us = 0;
  while (st->reserved_gangs[at] != job)
    at++;
  st->reserved_gangs[at] = st->reserved_gangs[--st->reserved_gang_count];
  for (uint32_t w = 0; w < st->worker_pool.high; w++)
    {
      if (st->workers[w].reserved_until_us == 0
          || st->workers[w].reserved_job != job)
        continue;
      st->workers[w].reserved_until_us = 0;
      st->workers[w].gang_reserved = (struct cyc_resources){ 0 };
    }
}

static bool
gang_awaits_fencing (const struct cyc_core_state *st, uint32_t job)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_queued_or_worker);

  for (uint32_t t = st->jobs[job].queued.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    if (core_task_awaits_fencing (st, t))
      return true;
  return false;
}

static uint32_t
oldest_gang (const struct cyc_core_state *st)
{
  struct core_link_array teams = CORE_LINKS (st->teams, in_active[CORE_GANG]);
  struct core_link_array queues = CORE_LINKS (st->queues, in_team);
  struct core_link_array jobs = CORE_LINKS (st->jobs, in_queue);
  uint32_t best = CORE_NONE;

  for (uint32_t t = st->active[CORE_GANG].head; t != CORE_NONE;
       t = core_list_next (teams, t))
    for (uint32_t q = st->teams[t].queues[CORE_GANG].head; q != CORE_NONE;
         q = core_list_next (queues, q))
      for (uint32_t j = st->queues[q].jobs.head; j != CORE_NONE;
           j = core_list_next (jobs, j))
        {
          if (st->jobs[j].next_attempt_us > st->now_us)
            continue;
          if (best == CORE_NONE
              || st->jobs[j].submitted_us < st->jobs[best].submitted_us)
            best = j;
          break;
        }
  return best;
}

/* The oldest gang gets the first reservation. Further ones go to teams that
 * stay near or below their share when all their reserved gangs run. One is
 * added to both divisors, because there may be no workers and a share may be
 * zero. */
static bool
may_reserve (const struct cyc_core_state *st, uint32_t job)
{
  uint32_t row = st->queues[st->jobs[job].queue].team;
  const struct core_team *team = &st->teams[row];
  double pending = 0;

  if (st->reserved_gang_count == 0)
    return true;
  if (st->reserved_gang_count == CORE_MAX_RESERVED_GANGS
      || st->jobs[job].reserved_until_us > 0)
    return false;
  for (uint32_t i = 0; i <= st->reserved_gang_count; i++)
    {
      const struct core_job *j
          = &st->jobs[i < st->reserved_gang_count ? st->reserved_gangs[i]
                                                  : job];
      const struct core_queue *queue = &st->queues[j->queue];

      if (queue->team == row)
        pending += (double)j->queued.count * queue->need.mean.millicores;
    }
  return team->score
             + pending / (double)(st->total_millicores + 1)
                   / (team->share_permille + 1)
         < st->fair_share_score * RESERVE_SHARE_FACTOR;
}

static void
schedule_gang (struct cyc_core_state *st, uint32_t job)
{
  struct core_job *j = &st->jobs[job];
  uint32_t tasks = j->queued.count;
  bool balance;

  j->next_attempt_us = st->now_us + GANG_RETRY_INTERVAL_US;
  if (gang_awaits_fencing (st, job))
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
  if (!core_refuse_unplaceable (st, job, tasks) && balance
      && j->reservation_count < MAX_RESERVATIONS_PER_GANG
      && may_reserve (st, job))
    reserve_gang (st, job);
}

void
core_sys_gang (struct cyc_core_state *st)
{
  for (uint32_t i = st->reserved_gang_count; i-- > 0;)
    {
      const struct core_job *job = &st->jobs[st->reserved_gangs[i]];

      if (st->now_us >= job->reserved_until_us
          || job->end_reason != CORE_END_NONE || job->queued.count == 0)
        core_gang_unreserve (st, st->reserved_gangs[i]);
    }
  for (uint32_t i = 0; i < MAX_ATTEMPTS_PER_TICK && st->starts_left > 0; i++)
    {
      uint32_t job = oldest_gang (st);

      if (job == CORE_NONE)
        return;
      schedule_gang (st, job);
    }
}
