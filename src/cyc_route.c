#include "cyc_route.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_MAX_WORKERS 4096
#define DEFAULT_MAX_QUEUES 16384
#define DEFAULT_MAX_TARGETS 32768
#define DEFAULT_MAX_TEAMS 1024
#define DEFAULT_MAX_LANES 32768
#define DEFAULT_MAX_WAITING 16384
#define DEFAULT_MAX_WAITING_PER_TEAM 1024
#define DEFAULT_MAX_FLIGHTS 4096
#define DEFAULT_RETRY_PERMILLE 100
#define DEFAULT_SILENT_US 2000000
#define DEFAULT_CLOCK_ERROR_US 250000

/* splitmix64. Not cryptographic: it only spreads load, and a seed makes it
   reproducible. */
uint64_t
rt_random (struct cyc_rt_state *state)
{
  uint64_t z = (state->random_state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static uint32_t
hash_of (struct cyc_str name)
{
  return (uint32_t)XXH64 (name.data, name.len, 0);
}

static bool
index_setup (struct rt_index *index, uint32_t rows,
             const struct cyc_allocator *allocator)
{
  uint32_t size = 16;

  while (size < 2 * rows)
    size *= 2;
  index->mask = size - 1;
  index->slots = cyc_alloc (allocator, size, sizeof *index->slots);
  return index->slots != NULL;
}

static void
index_put (struct rt_index *index, struct cyc_str name, uint32_t row)
{
  uint32_t at = hash_of (name) & index->mask;

  while (index->slots[at] != 0)
    at = (at + 1) & index->mask;
  index->slots[at] = row + 1;
}

uint32_t
rt_find_worker (const struct cyc_rt_state *state, struct cyc_str name)
{
  const struct rt_index *index = &state->worker_index;

  for (uint32_t at = hash_of (name) & index->mask; index->slots[at] != 0;
       at = (at + 1) & index->mask)
    if (cyc_str_eq (cyc_name_str (&state->workers[index->slots[at] - 1].name),
                    name))
      return index->slots[at] - 1;
  return RT_NONE;
}

uint32_t
rt_find_queue (const struct cyc_rt_state *state, struct cyc_str name)
{
  const struct rt_index *index = &state->queue_index;

  for (uint32_t at = hash_of (name) & index->mask; index->slots[at] != 0;
       at = (at + 1) & index->mask)
    if (cyc_str_eq (cyc_name_str (&state->queues[index->slots[at] - 1].name),
                    name))
      return index->slots[at] - 1;
  return RT_NONE;
}

uint32_t
rt_find_team (const struct cyc_rt_state *state, struct cyc_str name)
{
  const struct rt_index *index = &state->team_index;

  for (uint32_t at = hash_of (name) & index->mask; index->slots[at] != 0;
       at = (at + 1) & index->mask)
    if (cyc_str_eq (cyc_name_str (&state->teams[index->slots[at] - 1].name),
                    name))
      return index->slots[at] - 1;
  return RT_NONE;
}

uint32_t
rt_add_queue (struct cyc_rt_state *state, struct cyc_str name)
{
  uint32_t row = rt_find_queue (state, name);

  if (row != RT_NONE)
    return row;
  if (state->queue_count == state->desc.max_queues
      || !cyc_name_set (&state->queues[state->queue_count].name, name))
    return RT_NONE;
  row = state->queue_count++;
  state->queues[row].first_target = state->target_count;
  state->queues[row].first_lane = RT_NONE;
  index_put (&state->queue_index, name, row);
  return row;
}

uint32_t
rt_add_team (struct cyc_rt_state *state, struct cyc_str name)
{
  uint32_t row = rt_find_team (state, name);

  if (row != RT_NONE)
    return row;
  if (state->team_count == state->desc.max_teams
      || !cyc_name_set (&state->teams[state->team_count].name, name))
    return RT_NONE;
  row = state->team_count++;
  state->teams[row].first_lane = RT_NONE;
  state->teams[row].next = RT_NONE;
  state->teams[row].previous = RT_NONE;
  index_put (&state->team_index, name, row);
  return row;
}

static void
apply_default (uint32_t *value, uint32_t fallback)
{
  if (*value == 0)
    *value = fallback;
}

static void
apply_defaults (struct cyc_rt_desc *desc)
{
  apply_default (&desc->max_workers, DEFAULT_MAX_WORKERS);
  apply_default (&desc->max_queues, DEFAULT_MAX_QUEUES);
  apply_default (&desc->max_targets, DEFAULT_MAX_TARGETS);
  apply_default (&desc->max_teams, DEFAULT_MAX_TEAMS);
  apply_default (&desc->max_lanes, DEFAULT_MAX_LANES);
  apply_default (&desc->max_waiting, DEFAULT_MAX_WAITING);
  apply_default (&desc->max_waiting_per_team, DEFAULT_MAX_WAITING_PER_TEAM);
  apply_default (&desc->max_flights, DEFAULT_MAX_FLIGHTS);
  apply_default (&desc->retry_permille, DEFAULT_RETRY_PERMILLE);
  if (desc->silent_us == 0)
    desc->silent_us = DEFAULT_SILENT_US;
  if (desc->clock_error_us == 0)
    desc->clock_error_us = DEFAULT_CLOCK_ERROR_US;
}

static bool
alloc_tables (struct cyc_rt_state *state)
{
  const struct cyc_rt_desc *desc = &state->desc;
  const struct cyc_allocator *allocator = &desc->allocator;

  state->workers
      = cyc_alloc (allocator, desc->max_workers, sizeof *state->workers);
  state->queues
      = cyc_alloc (allocator, desc->max_queues, sizeof *state->queues);
  state->target_rows
      = cyc_alloc (allocator, desc->max_targets, sizeof *state->target_rows);
  state->teams = cyc_alloc (allocator, desc->max_teams, sizeof *state->teams);
  state->lanes = cyc_alloc (allocator, desc->max_lanes, sizeof *state->lanes);
  state->waits
      = cyc_alloc (allocator, desc->max_waiting, sizeof *state->waits);
  state->flights
      = cyc_alloc (allocator, desc->max_flights, sizeof *state->flights);
  return state->workers && state->queues && state->target_rows && state->teams
         && state->lanes && state->waits && state->flights
         && index_setup (&state->worker_index, desc->max_workers, allocator)
         && index_setup (&state->queue_index, desc->max_queues, allocator)
         && index_setup (&state->team_index, desc->max_teams, allocator)
         && cyc_pool_setup (&state->worker_pool, desc->max_workers, allocator)
         && cyc_pool_setup (&state->wait_pool, desc->max_waiting, allocator)
         && cyc_pool_setup (&state->flight_pool, desc->max_flights, allocator);
}

bool
cyc_rt_setup (struct cyc_route *rt, const struct cyc_rt_desc *desc,
              struct cyc_findings *findings)
{
  struct cyc_rt_state *state = cyc_alloc (&desc->allocator, 1, sizeof *state);

  rt->state = state;
  if (state == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("route"), "out of memory");
      return false;
    }
  state->desc = *desc;
  apply_defaults (&state->desc);
  if (state->desc.retry_permille > 1000)
    cyc_findings_add (findings, CYC_STR ("cyc_rt_desc.retry_permille"),
                      "must be at most 1000");
  state->has_base_share = true;
  state->random_state = desc->seed;
  state->cursor = RT_NONE;
  if (!alloc_tables (state) || state->desc.retry_permille > 1000)
    {
      cyc_findings_add (findings, CYC_STR ("route"),
                        "cannot allocate the tables, or a setting is invalid");
      cyc_rt_shutdown (rt);
      return false;
    }
  return true;
}

void
cyc_rt_shutdown (struct cyc_route *rt)
{
  struct cyc_rt_state *state = rt->state;
  struct cyc_allocator allocator;

  if (state == NULL)
    return;
  allocator = state->desc.allocator;
  cyc_release (&allocator, state->workers);
  cyc_release (&allocator, state->queues);
  cyc_release (&allocator, state->target_rows);
  cyc_release (&allocator, state->teams);
  cyc_release (&allocator, state->lanes);
  cyc_release (&allocator, state->waits);
  cyc_release (&allocator, state->flights);
  cyc_release (&allocator, state->worker_index.slots);
  cyc_release (&allocator, state->queue_index.slots);
  cyc_release (&allocator, state->team_index.slots);
  cyc_pool_shutdown (&state->worker_pool);
  cyc_pool_shutdown (&state->wait_pool);
  cyc_pool_shutdown (&state->flight_pool);
  cyc_release (&allocator, state);
  rt->state = NULL;
}

void
cyc_rt_set_seats (struct cyc_route *rt, uint32_t seats, bool has_base_share)
{
  rt->state->seats = seats;
  rt->state->has_base_share = has_base_share;
}

static void
rebuild_worker_index (struct cyc_rt_state *state)
{
  memset (state->worker_index.slots, 0,
          ((size_t)state->worker_index.mask + 1)
              * sizeof *state->worker_index.slots);
  for (uint32_t i = 0; i < state->worker_pool.high; i++)
    if (cyc_pool_used_at (&state->worker_pool, i))
      index_put (&state->worker_index, cyc_name_str (&state->workers[i].name),
                 i);
}

/* A worker with slots in use keeps its row, so that those slots are still
   counted if the worker is listed again. */
void
rt_drop_if_unused (struct cyc_rt_state *state, uint32_t row)
{
  struct rt_worker *worker = &state->workers[row];

  if (worker->listing_queues > 0 || worker->in_use > 0)
    return;
  cyc_pool_release (&state->worker_pool,
                    cyc_pool_ref_at (&state->worker_pool, row));
  memset (worker, 0, sizeof *worker);
  rebuild_worker_index (state);
}

static uint32_t
upsert_worker (struct cyc_rt_state *state, const struct cyc_rt_target *target)
{
  uint32_t row = rt_find_worker (state, target->worker);
  struct rt_worker *worker;

  if (row == RT_NONE)
    {
      struct cyc_ref ref = cyc_pool_take (&state->worker_pool);

      if (ref.generation == 0)
        return RT_NONE;
      row = ref.index;
      memset (&state->workers[row], 0, sizeof state->workers[row]);
      cyc_name_set (&state->workers[row].name, target->worker);
      index_put (&state->worker_index, target->worker, row);
    }
  worker = &state->workers[row];
  snprintf (worker->address, sizeof worker->address, "%.*s",
            CYC_FMT (target->address));
  worker->slots = target->slots;
  worker->connections = target->connections;
  worker->leaving = worker->leaving || target->leaving;
  return row;
}

static void
remove_targets (struct cyc_rt_state *state, struct rt_queue *queue)
{
  uint32_t end = queue->first_target + queue->count;

  memmove (&state->target_rows[queue->first_target], &state->target_rows[end],
           (state->target_count - end) * sizeof *state->target_rows);
  state->target_count -= queue->count;
  for (uint32_t i = 0; i < state->queue_count; i++)
    if (state->queues[i].first_target >= end)
      state->queues[i].first_target -= queue->count;
  queue->count = 0;
  queue->first_target = state->target_count;
}

static bool
targets_fit (const struct cyc_rt_state *state, const struct rt_queue *queue,
             const struct cyc_rt_target *targets, uint32_t count)
{
  uint32_t new_workers = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      if (targets[i].worker.len == 0
          || targets[i].worker.len > CYC_NAME_MAX_BYTES
          || targets[i].address.len >= CYC_RT_ADDRESS_BYTES)
        return false;
      if (rt_find_worker (state, targets[i].worker) == RT_NONE)
        new_workers++;
    }
  return state->worker_pool.used + new_workers <= state->desc.max_workers
         && state->target_count - queue->count + count
                <= state->desc.max_targets;
}

bool
cyc_rt_set_targets (struct cyc_route *rt, struct cyc_str queue_name,
                    const struct cyc_rt_target *targets, uint32_t count)
{
  struct cyc_rt_state *state = rt->state;
  uint32_t row = rt_add_queue (state, queue_name);
  struct rt_queue *queue;

  if (row == RT_NONE
      || !targets_fit (state, &state->queues[row], targets, count))
    return false;
  queue = &state->queues[row];
  for (uint32_t i = 0; i < queue->count; i++)
    state->workers[state->target_rows[queue->first_target + i]]
        .listing_queues--;
  remove_targets (state, queue);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t worker = upsert_worker (state, &targets[i]);

      assert (worker != RT_NONE);
      state->workers[worker].listing_queues++;
      state->target_rows[state->target_count++] = worker;
      queue->count++;
    }
  for (uint32_t i = 0; i < state->worker_pool.high; i++)
    if (cyc_pool_used_at (&state->worker_pool, i))
      rt_drop_if_unused (state, i);
  return true;
}

void
cyc_rt_lend (struct cyc_route *rt, struct cyc_str worker, uint32_t slots,
             uint32_t connections, uint64_t deadline_us)
{
  uint32_t row = rt_find_worker (rt->state, worker);
  struct rt_worker *lent;

  if (row == RT_NONE)
    return;
  lent = &rt->state->workers[row];
  lent->lent_slots = slots;
  lent->lent_connections = connections;
  lent->lent_deadline_us = deadline_us;
}

bool
cyc_rt_mark_leaving (struct cyc_route *rt, struct cyc_str worker)
{
  uint32_t row = rt_find_worker (rt->state, worker);
  bool newly_marked;

  if (row == RT_NONE)
    return false;
  newly_marked = !rt->state->workers[row].leaving;
  rt->state->workers[row].leaving = true;
  return newly_marked;
}

uint32_t
cyc_rt_target_count (const struct cyc_route *rt, struct cyc_str queue)
{
  uint32_t row = rt_find_queue (rt->state, queue);

  return row == RT_NONE ? 0 : rt->state->queues[row].count;
}

uint32_t
cyc_rt_usable_count (const struct cyc_route *rt, struct cyc_str queue)
{
  const struct cyc_rt_state *state = rt->state;
  uint32_t row = rt_find_queue (state, queue);
  uint32_t usable = 0;

  if (row == RT_NONE)
    return 0;
  for (uint32_t i = 0; i < state->queues[row].count; i++)
    {
      const struct rt_worker *worker
          = &state->workers[state->target_rows[state->queues[row].first_target
                                               + i]];

      usable += !worker->leaving && worker->health == CYC_RT_LIVE;
    }
  return usable;
}

bool
cyc_rt_worker_next (const struct cyc_route *rt, uint32_t *cursor,
                    uint64_t now_us, struct cyc_rt_worker_view *out)
{
  const struct cyc_rt_state *state = rt->state;

  while (*cursor < state->worker_pool.high)
    {
      const struct rt_worker *worker = &state->workers[*cursor];

      if (!cyc_pool_used_at (&state->worker_pool, (*cursor)++))
        continue;
      *out = (struct cyc_rt_worker_view){
        .worker = worker->name,
        .health = worker->health,
        .leaving = worker->leaving,
        .permitted = rt_permitted (state, worker, now_us),
        .in_use = worker->in_use,
      };
      return true;
    }
  return false;
}

uint32_t
cyc_rt_waiting (const struct cyc_route *rt)
{
  return rt->state->wait_pool.used;
}

uint32_t
cyc_rt_flights (const struct cyc_route *rt)
{
  return rt->state->flight_pool.used;
}
