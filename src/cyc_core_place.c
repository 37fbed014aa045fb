/**
 * @file
 * Search for a worker, and the start of a task on it.
 *
 * A search looks at buckets from the smallest classes that may hold the task
 * upwards and takes the best fit of the first bucket that has one. At most
 * CORE_MAX_BUCKET_CANDIDATES workers of a bucket are examined, so the cost of
 * a search does not grow with the number of workers.
 */
#include "cyc_core_internal.h"

/* Racks examined for a replica: enough to find one without a replica in any
 * fleet of ours, and bounds the cost. */
#define LOOK_RACKS 64
/* Workers examined in one search over all buckets. */
#define LOOK_TOTAL 160

/* Backfill ends this much before the deadline, because ends are reported with
 * a lag of one heartbeat and the gang must still be tried before it. */
#define BACKFILL_MARGIN_US 2000000

static uint32_t
floor_class (uint32_t value, uint32_t most)
{
  uint32_t class = value < 2 ? 0 : 31U - (uint32_t)__builtin_clz (value);

  return class < most ? class : most - 1;
}

static bool
failed_on (const struct core_task *task, uint32_t worker)
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
  /* Room that no batch task takes draws all urgent tasks, which replace each
   * other there until the deadline. */
  if (!request->urgent
      && request->expected_end_us + BACKFILL_MARGIN_US
             <= worker->reserved_until_us)
    return true;
  /* The first task of an empty worker has more room than the next ones. */
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
  struct cyc_res room = worker->free;
  bool fits;

  if (!core_worker_usable (st, worker) || worker->refused_until_us > st->now_us
      || failed_on (task, row))
    return false;
  if (task->claim_worker == row)
    room = core_worker_free_capacity (st, worker, task->claim);
  else if (request->urgent)
    room = core_worker_free_capacity (st, worker, (struct cyc_res){ 0 });
  fits = core_res_fits (request->need, room)
         || (worker->tasks.count == 0
             && core_res_fits (request->declared, room));
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

/* Free capacity after the placement, as a part of the worker. */
static double
leftover (const struct core_worker *worker,
          const struct core_placement_request *request)
{
  double left = 0;

  if (worker->capacity.millicores > 0)
    left += ((double)worker->free.millicores - request->need.millicores)
            / worker->capacity.millicores;
  if (worker->capacity.memory_mib > 0)
    left += ((double)worker->free.memory_mib - request->need.memory_mib)
            / worker->capacity.memory_mib;
  return left;
}

/* Workers that were examined in vain move to the end of the bucket, so that
 * the next search sees others. */
static uint32_t
look_in_bucket (struct cyc_core_state *st,
                const struct core_placement_request *request, uint32_t bucket,
                uint32_t *looks)
{
  struct core_link_array rows = CORE_LINKS (st->workers, in_bucket);
  struct core_list *list = &st->buckets[bucket];
  uint32_t most = list->count < CORE_MAX_BUCKET_CANDIDATES
                      ? list->count
                      : CORE_MAX_BUCKET_CANDIDATES;
  uint32_t best = CORE_NONE;
  double best_left = 0;
  uint32_t row = list->head;

  for (uint32_t i = 0; i<most && * looks> 0; i++)
    {
      uint32_t next = core_list_next (rows, row);

      --*looks;
      if (core_worker_accepts (st, row, request))
        {
          double left = leftover (&st->workers[row], request);

          if (best == CORE_NONE || left < best_left)
            {
              best = row;
              best_left = left;
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
look_in_plane (struct cyc_core_state *st,
               const struct core_placement_request *request, uint32_t plane,
               uint32_t *looks)
{
  /* An empty worker also takes a task whose estimate is above its size. */
  struct cyc_res least = {
    .millicores = request->need.millicores < request->declared.millicores
                      ? request->need.millicores
                      : request->declared.millicores,
    .memory_mib = request->need.memory_mib < request->declared.memory_mib
                      ? request->need.memory_mib
                      : request->declared.memory_mib,
  };
  uint32_t memory = floor_class (least.memory_mib, CORE_CAPACITY_CLASSES);

  for (uint32_t c = floor_class (least.millicores, CORE_CAPACITY_CLASSES);
       c < CORE_CAPACITY_CLASSES; c++)
    {
      uint32_t mask = st->memory_mask[plane][c] >> memory << memory;

      for (; mask != 0 && *looks > 0; mask &= mask - 1)
        {
          uint32_t bucket
              = (plane * CORE_CAPACITY_CLASSES + c) * CORE_CAPACITY_CLASSES
                + (uint32_t)__builtin_ctz (mask);
          uint32_t found = look_in_bucket (st, request, bucket, looks);

          if (found != CORE_NONE)
            return found;
        }
    }
  return CORE_NONE;
}

/* Workers that keep room for urgent tasks are not in the bucket of that room.
 */
static uint32_t
look_in_holds (const struct cyc_core_state *st,
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
  uint32_t found = look_in_holds (st, request);
  uint32_t looks = LOOK_TOTAL;

  if (claim != CORE_NONE && core_worker_accepts (st, claim, request))
    return claim;
  for (; plane < CORE_ACCELERATOR_CLASSES && found == CORE_NONE && looks > 0;
       plane++)
    found = look_in_plane (st, request, plane, &looks);
  return found;
}

uint32_t
core_find_fit_in_rack (struct cyc_core_state *st,
                       const struct core_placement_request *request,
                       uint32_t rack)
{
  struct core_link_array rows = CORE_LINKS (st->workers, in_rack);
  uint32_t best = CORE_NONE;
  double best_left = 0;

  for (uint32_t row = st->racks[rack].workers.head; row != CORE_NONE;
       row = core_list_next (rows, row))
    {
      double left;

      if (!core_worker_accepts (st, row, request))
        continue;
      left = leftover (&st->workers[row], request);
      if (best != CORE_NONE && left >= best_left)
        continue;
      best = row;
      best_left = left;
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

  for (uint32_t i = 0; i < racks && i < LOOK_RACKS; i++)
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
