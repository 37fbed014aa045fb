/**
 * @file
 * Search for a worker, and the start of a task on it.
 *
 * A search looks at buckets from the smallest classes that may be large enough
 * for the task upwards and takes the best fit of the first bucket that has
 * one. At most CORE_MAX_BUCKET_CANDIDATES workers of a bucket are examined, so
 * the cost of a search does not grow with the number of workers.
 */
#include "cyc_core_internal.h"

/* Racks examined to place one replica. Bounds the cost of a search, and is
 * enough to find a rack without a replica in the fleets in use. */
#define MAX_RACKS_EXAMINED 64
/* Workers examined in one search over all buckets. */
#define MAX_WORKERS_EXAMINED 160

/* A backfilled task must end this long before the deadline of the reservation:
 * ends are reported up to one heartbeat late, and the gang must be tried
 * before the deadline. */
#define BACKFILL_MARGIN_US 2000000

/* Returns the power-of-two class of the value, limited to the last class. */
static uint32_t
floor_class (uint32_t value, uint32_t class_count)
{
  uint32_t class = value < 2 ? 0 : 31U - (uint32_t)__builtin_clz (value);

  return class < class_count ? class : class_count - 1;
}

static bool
task_failed_on (const struct core_task *task, uint32_t worker)
{
  for (uint32_t i = 0; i < task->failed_count; i++)
    if (task->failed_on[i] == worker)
      return true;
  return false;
}

static bool
respects_reservation (const struct cyc_core_state *st,
                      const struct core_worker *worker,
                      const struct core_placement_request *request)
{
  if (worker->reserved_until_us <= st->now_us || request->ignore_reservations
      || worker->reserved_job == st->tasks[request->task].job)
    return true;
  /* Urgent tasks are no backfill: capacity that batch tasks leave free would
   * attract all of them, and they would replace each other there until the
   * reservation ends. */
  if (!request->urgent
      && request->expected_end_us + BACKFILL_MARGIN_US
             <= worker->reserved_until_us)
    return true;
  /* Not for an empty worker: it offers its first task more capacity than the
   * next ones, so its free capacity does not show what is left for the gang.
   */
  return worker->tasks.count > 0
         && core_res_fits (request->need,
                           core_res_sub (worker->free, worker->gang_reserved));
}

bool
core_worker_accepts (const struct cyc_core_state *st, uint32_t row,
                     const struct core_placement_request *request)
{
  const struct core_worker *worker = &st->workers[row];
  const struct core_task *task = &st->tasks[request->task];
  struct cyc_resources free = worker->free;
  bool fits;

  if (!core_worker_usable (st, worker) || worker->refused_until_us > st->now_us
      || task_failed_on (task, row))
    return false;
  if (task->claim_worker == row)
    free = core_worker_free_capacity (st, worker, task->claim);
  else if (request->urgent)
    free = core_worker_free_capacity (st, worker, (struct cyc_resources){ 0 });
  fits = core_res_fits (request->need, free)
         || (worker->tasks.count == 0
             && core_res_fits (request->declared, free));
  return fits && respects_reservation (st, worker, request);
}

void
core_placement_request_init (const struct cyc_core_state *st, uint32_t task,
                             struct core_placement_request *request)
{
  uint32_t row = st->jobs[st->tasks[task].job].queue;
  const struct core_queue *queue = &st->queues[row];
  double run_us = queue->run_mean_us + 2 * queue->run_dev_us;

  if (queue->run_mean_us <= 0)
    run_us = queue->run_s * 1e6;
  *request = (struct core_placement_request){
    .need = queue->estimate,
    .declared = queue->size,
    .task = task,
    .queue = row,
    .expected_end_us = UINT64_MAX / 2,
    .urgent = core_class_of (queue) == CORE_URGENT,
  };
  if (queue->kind != CYC_KIND_SERVICE && run_us > 0 && run_us < 1e15)
    request->expected_end_us = st->now_us + (uint64_t)run_us;
}

/* Returns the sum of the fractions of the worker's millicores and memory that
 * remain free after the placement. */
static double
remaining_fraction (const struct core_worker *worker,
                    const struct core_placement_request *request)
{
  double remaining = 0;

  if (worker->capacity.millicores > 0)
    remaining += ((double)worker->free.millicores - request->need.millicores)
                 / worker->capacity.millicores;
  if (worker->capacity.memory_mib > 0)
    remaining += ((double)worker->free.memory_mib - request->need.memory_mib)
                 / worker->capacity.memory_mib;
  return remaining;
}

/* Returns the best fit among the first workers of the bucket. Workers that
 * cannot take the task move to the end of the bucket, so that the next search
 * examines others. */
static uint32_t
search_bucket (struct cyc_core_state *st,
               const struct core_placement_request *request, uint32_t bucket,
               uint32_t *budget)
{
  struct core_link_array rows = CORE_LINKS (st->workers, in_bucket);
  struct core_list *list = &st->buckets[bucket];
  uint32_t max_examined = list->count < CORE_MAX_BUCKET_CANDIDATES
                              ? list->count
                              : CORE_MAX_BUCKET_CANDIDATES;
  uint32_t best = CORE_NONE;
  double best_remaining = 0;
  uint32_t row = list->head;

  for (uint32_t i = 0; i < max_examined && (*budget) > 0; i++)
    {
      uint32_t next = core_list_next (rows, row);

      --*budget;
      if (core_worker_accepts (st, row, request))
        {
          double remaining = remaining_fraction (&st->workers[row], request);

          if (best == CORE_NONE || remaining < best_remaining)
            {
              best = row;
              best_remaining = remaining;
            }
        }
      else if (list->count > CORE_MAX_BUCKET_CANDIDATES)
        {
          core_list_remove (list, rows, row);
          core_list_append (list, rows, row);
        }
      row = next;
    }
  return best;
}

static uint32_t
search_plane (struct cyc_core_state *st,
              const struct core_placement_request *request, uint32_t plane,
              uint32_t *budget)
{
  /* An empty worker also takes a task whose estimate exceeds its declared
   * size, so the search begins at the smaller of the two. */
  struct cyc_resources min_need = {
    .millicores = request->need.millicores < request->declared.millicores
                      ? request->need.millicores
                      : request->declared.millicores,
    .memory_mib = request->need.memory_mib < request->declared.memory_mib
                      ? request->need.memory_mib
                      : request->declared.memory_mib,
  };
  uint32_t memory = floor_class (min_need.memory_mib, CORE_CAPACITY_CLASSES);

  for (uint32_t c = floor_class (min_need.millicores, CORE_CAPACITY_CLASSES);
       c < CORE_CAPACITY_CLASSES; c++)
    {
      uint32_t mask = st->memory_mask[plane][c] >> memory << memory;

      for (; mask != 0 && *budget > 0; mask &= mask - 1)
        {
          uint32_t bucket
              = (plane * CORE_CAPACITY_CLASSES + c) * CORE_CAPACITY_CLASSES
                + (uint32_t)__builtin_ctz (mask);
          uint32_t found = search_bucket (st, request, bucket, budget);

          if (found != CORE_NONE)
            return found;
        }
    }
  return CORE_NONE;
}

/* Buckets do not count the capacity that is reserved for urgent tasks, so an
 * urgent task also searches the workers with such a reservation. */
static uint32_t
search_urgent_reserved (const struct cyc_core_state *st,
                        const struct core_placement_request *request)
{
  struct core_link_array rows = CORE_LINKS (st->workers, in_urgent_reserved);
  uint32_t row
      = request->urgent ? st->urgent_reserved_workers.head : CORE_NONE;

  for (uint32_t i = 0; row != CORE_NONE && i < CORE_MAX_BUCKET_CANDIDATES; i++)
    {
      if (core_worker_accepts (st, row, request))
        return row;
      row = core_list_next (rows, row);
    }
  return CORE_NONE;
}

uint32_t
core_find_fit (struct cyc_core_state *st,
               const struct core_placement_request *request)
{
  uint32_t accelerators = request->need.accelerators;
  uint32_t plane
      = accelerators == 0
            ? 0
            : floor_class (accelerators, CORE_ACCELERATOR_CLASSES - 1) + 1;
  uint32_t claim = st->tasks[request->task].claim_worker;
  uint32_t found = search_urgent_reserved (st, request);
  uint32_t budget = MAX_WORKERS_EXAMINED;

  if (claim != CORE_NONE && core_worker_accepts (st, claim, request))
    return claim;
  for (; plane < CORE_ACCELERATOR_CLASSES && found == CORE_NONE && budget > 0;
       plane++)
    found = search_plane (st, request, plane, &budget);
  return found;
}

uint32_t
core_find_fit_in_rack (struct cyc_core_state *st,
                       const struct core_placement_request *request,
                       uint32_t rack)
{
  struct core_link_array rows = CORE_LINKS (st->workers, in_rack);
  uint32_t best = CORE_NONE;
  double best_remaining = 0;

  for (uint32_t row = st->racks[rack].workers.head; row != CORE_NONE;
       row = core_list_next (rows, row))
    {
      double remaining;

      if (!core_worker_accepts (st, row, request))
        continue;
      remaining = remaining_fraction (&st->workers[row], request);
      if (best != CORE_NONE && remaining >= best_remaining)
        continue;
      best = row;
      best_remaining = remaining;
    }
  return best;
}

static uint32_t
next_random (struct cyc_core_state *st)
{
  st->random_state = st->random_state * UINT64_C (6364136223846793005)
                     + UINT64_C (1442695040888963407);
  return (uint32_t)(st->random_state >> 33);
}

uint32_t
core_find_fit_spread (struct cyc_core_state *st,
                      const struct core_placement_request *request)
{
  uint32_t racks = st->rack_pool.high;
  uint32_t start = racks > 0 ? next_random (st) % racks : 0;
  uint32_t best = CORE_NONE;
  uint32_t best_count = 0;

  for (uint32_t i = 0; i < racks && i < MAX_RACKS_EXAMINED; i++)
    {
      uint32_t rack = (start + i) % racks;
      uint64_t key = ((uint64_t)request->queue << 32) | rack;
      uint32_t count = core_map_get (&st->spread_map, key);
      uint32_t found;

      count = count == CORE_NONE ? 0 : count;
      if (!cyc_pool_used_at (&st->rack_pool, rack)
          || (best != CORE_NONE && count >= best_count))
        continue;
      found = core_find_fit_in_rack (st, request, rack);
      if (found == CORE_NONE)
        continue;
      best = found;
      best_count = count;
      if (count == 0)
        break;
    }
  return best != CORE_NONE ? best : core_find_fit (st, request);
}

bool
core_team_has_balance (const struct cyc_core_state *st, uint32_t queue,
                       uint64_t tasks)
{
  const struct core_queue *q = &st->queues[queue];
  const struct core_team *team = &st->teams[q->team];

  return team->used_millicores + tasks * q->size.millicores
             <= team->balance_millicores
         && team->used_accelerators + tasks * q->size.accelerators
                <= team->balance_accelerators;
}

bool
core_task_awaits_fencing (const struct cyc_core_state *st, uint32_t task)
{
  return st->unfenced > 0 && st->unfenced_until_us > st->now_us
         && !st->tasks[task].started_by_this_owner
         && st->jobs[st->tasks[task].job].sequence <= st->unfenced_sequence;
}

static uint64_t
lease_ms (const struct cyc_core_state *st, const struct core_job *job)
{
  return job->service ? st->desc.service_lease_ms : st->desc.task_lease_ms;
}

void
core_task_start (struct cyc_core_state *st, uint32_t row, uint32_t worker)
{
  struct core_task *task = &st->tasks[row];
  struct core_job *job = &st->jobs[task->job];

  core_task_dequeue (st, row);
  task->declared = st->queues[job->queue].size;
  core_task_occupy (st, row, worker, CYC_TASK_STARTING);
  if (core_class_of (&st->queues[job->queue]) == CORE_URGENT)
    core_urgent_release (st, worker, task->estimate);
  task->lease_deadline_us = st->now_us + lease_ms (st, job) * 1000;
  core_task_emit (st, row, CYC_DECISION_START);
  core_task_set_timer (
      st, row, task->lease_deadline_us + st->desc.clock_error_ms * 1000ULL);
  core_team_update_score (st, &st->teams[st->queues[job->queue].team]);
}
