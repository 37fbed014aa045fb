/**
 * @file
 * Workers: inputs about them, their free capacity and the buckets.
 *
 * A usable worker is in the bucket of its plane (free accelerators) and its
 * power-of-two classes of free millicores and memory. Free capacity is
 * recomputed whenever something on the worker changes.
 */
#include "cyc_core_internal.h"

#include <inttypes.h>

static uint32_t
floor_log2 (uint32_t value)
{
  return value < 2 ? 0 : 31U - (uint32_t)__builtin_clz (value);
}

static uint32_t
class_of (uint32_t value)
{
  uint32_t class = floor_log2 (value);

  return class < CORE_CAPACITY_CLASSES ? class : CORE_CAPACITY_CLASSES - 1;
}

static uint32_t
plane_of (uint32_t accelerators)
{
  uint32_t plane = accelerators == 0 ? 0 : floor_log2 (accelerators) + 1;

  return plane < CORE_ACCELERATOR_CLASSES ? plane
                                          : CORE_ACCELERATOR_CLASSES - 1;
}

static uint32_t
bucket_of (struct cyc_resources free)
{
  return (plane_of (free.accelerators) * CORE_CAPACITY_CLASSES
          + class_of (free.millicores))
             * CORE_CAPACITY_CLASSES
         + class_of (free.memory_mib);
}

static void
leave_bucket (struct cyc_core_state *st, uint32_t row)
{
  struct core_worker *worker = &st->workers[row];
  uint32_t bucket = worker->bucket;

  if (bucket == CORE_NONE)
    return;
  core_list_remove (&st->buckets[bucket], CORE_LINKS (st->workers, in_bucket),
                    row);
  if (st->buckets[bucket].count == 0)
    st->memory_mask[bucket / CORE_CAPACITY_CLASSES / CORE_CAPACITY_CLASSES]
                   [bucket / CORE_CAPACITY_CLASSES % CORE_CAPACITY_CLASSES]
        &= ~(1U << bucket % CORE_CAPACITY_CLASSES);
  worker->bucket = CORE_NONE;
}

static void
enter_bucket (struct cyc_core_state *st, uint32_t row, uint32_t bucket)
{
  core_list_append (&st->buckets[bucket], CORE_LINKS (st->workers, in_bucket),
                    row);
  st->memory_mask[bucket / CORE_CAPACITY_CLASSES / CORE_CAPACITY_CLASSES]
                 [bucket / CORE_CAPACITY_CLASSES % CORE_CAPACITY_CLASSES]
      |= 1U << bucket % CORE_CAPACITY_CLASSES;
  st->workers[row].bucket = bucket;
}

bool
core_worker_usable (const struct cyc_core_state *st,
                    const struct core_worker *worker)
{
  return !worker->leaving && !worker->silent && !worker->ejected
         && worker->unfenced_until_us <= st->now_us;
}

static uint32_t
permille_of (uint32_t value, uint32_t permille)
{
  return (uint32_t)((uint64_t)value * permille / 1000);
}

/* An empty worker takes a task up to its whole capacity; otherwise the part
 * above worker_high_permille stays free, because placing into it would only
 * trigger the protection against overload. */
struct cyc_resources
core_worker_free_capacity (const struct cyc_core_state *st,
                           const struct core_worker *worker,
                           struct cyc_resources own_claim)
{
  struct cyc_resources ceiling = worker->capacity;
  struct cyc_resources committed
      = core_res_max (core_need_estimate (worker->need),
                      core_res_add (worker->measured, worker->unmeasured));

  if (worker->tasks.count > 0)
    {
      ceiling.millicores
          = permille_of (ceiling.millicores, st->desc.worker_high_permille);
      ceiling.memory_mib
          = permille_of (ceiling.memory_mib, st->desc.worker_high_permille);
    }
  committed.accelerators = worker->declared.accelerators;
  return core_res_sub (core_res_sub (ceiling, committed),
                       core_res_sub (worker->claimed, own_claim));
}

/* Sets the free capacity of the worker and updates the sums of its rack. */
static void
set_free_capacity (struct cyc_core_state *st, struct core_worker *worker,
                   struct cyc_resources free)
{
  struct core_rack *rack = &st->racks[worker->rack];

  rack->free_millicores += free.millicores;
  rack->free_millicores -= worker->free.millicores;
  rack->free_memory_mib += free.memory_mib;
  rack->free_memory_mib -= worker->free.memory_mib;
  rack->free_accelerators += free.accelerators;
  rack->free_accelerators -= worker->free.accelerators;
  worker->free = free;
}

void
core_worker_refresh (struct cyc_core_state *st, uint32_t row)
{
  struct core_worker *worker = &st->workers[row];
  bool usable = core_worker_usable (st, worker);
  struct cyc_resources free = { 0 };
  uint32_t bucket;

  if (usable)
    free = core_res_sub (core_worker_free_capacity (st, worker, free),
                         worker->urgent_reserved);
  set_free_capacity (st, worker, free);
  bucket = usable ? bucket_of (free) : CORE_NONE;
  if (bucket == worker->bucket)
    return;
  leave_bucket (st, row);
  if (usable)
    enter_bucket (st, row, bucket);
}

uint64_t
core_spread_key (const struct core_worker *worker, uint32_t queue)
{
  return ((uint64_t)queue << 32) | worker->rack;
}

static uint32_t
find_or_create_rack (struct cyc_core_state *st, const struct cyc_name *name)
{
  uint64_t key = core_hash (cyc_name_str (name));
  uint32_t row = core_map_get (&st->rack_map, key);
  struct cyc_ref ref;

  if (row != CORE_NONE)
    return row;
  ref = cyc_pool_take (&st->rack_pool);
  if (ref.generation == 0)
    return CORE_NONE;
  st->racks[ref.index] = (struct core_rack){ .name = *name };
  core_list_init (&st->racks[ref.index].workers);
  core_map_put (&st->rack_map, key, ref.index);
  return ref.index;
}

static void
leave_rack (struct cyc_core_state *st, uint32_t row)
{
  struct core_worker *worker = &st->workers[row];
  struct core_rack *rack = &st->racks[worker->rack];

  set_free_capacity (st, worker, (struct cyc_resources){ 0 });
  core_list_remove (&rack->workers, CORE_LINKS (st->workers, in_rack), row);
  if (rack->workers.count > 0)
    return;
  core_map_remove (&st->rack_map, core_hash (cyc_name_str (&rack->name)));
  cyc_pool_release (&st->rack_pool,
                    cyc_pool_ref_at (&st->rack_pool, worker->rack));
}

/* Sets the capacity of the worker and updates the totals. */
static void
set_capacity (struct cyc_core_state *st, struct core_worker *worker,
              struct cyc_resources capacity)
{
  st->total_millicores += capacity.millicores;
  st->total_millicores -= worker->capacity.millicores;
  st->total_memory_mib += capacity.memory_mib;
  st->total_memory_mib -= worker->capacity.memory_mib;
  st->total_accelerators += capacity.accelerators;
  st->total_accelerators -= worker->capacity.accelerators;
  worker->capacity = capacity;
}

static uint32_t
worker_create (struct cyc_core_state *st, const struct cyc_core_worker *input)
{
  struct cyc_ref ref = cyc_pool_take (&st->worker_pool);
  uint32_t rack;

  if (ref.generation == 0)
    return CORE_NONE;
  rack = find_or_create_rack (st, &input->rack);
  if (rack == CORE_NONE)
    {
      cyc_pool_release (&st->worker_pool, ref);
      return CORE_NONE;
    }
  st->workers[ref.index] = (struct core_worker){
    .name = input->name,
    .rack = rack,
    .bucket = CORE_NONE,
    .probe_task = CORE_NONE,
  };
  core_list_init (&st->workers[ref.index].tasks);
  core_list_append (&st->racks[rack].workers,
                    CORE_LINKS (st->workers, in_rack), ref.index);
  core_map_put (&st->worker_map, core_hash (cyc_name_str (&input->name)),
                ref.index);
  return ref.index;
}

enum cyc_core_status
cyc_core_worker_upsert (struct cyc_core *core,
                        const struct cyc_core_worker *worker, uint64_t now_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = core_find_worker (st, cyc_name_str (&worker->name));

  core_trace (st, "worker %" PRIu64 " %.*s %.*s %u %u %u %d", now_us,
              CYC_FMT (core_trace_word (cyc_name_str (&worker->name))),
              CYC_FMT (core_trace_word (cyc_name_str (&worker->rack))),
              worker->capacity.millicores, worker->capacity.memory_mib,
              worker->capacity.accelerators, worker->leaving);
  if (worker->name.len == 0)
    return CYC_CORE_INVALID;
  st->now_us = now_us;
  if (row == CORE_NONE)
    row = worker_create (st, worker);
  if (row == CORE_NONE)
    return CYC_CORE_FULL;
  set_capacity (st, &st->workers[row], worker->capacity);
  st->workers[row].leaving = worker->leaving;
  st->workers_changed_us = now_us;
  core_worker_refresh (st, row);
  return CYC_CORE_OK;
}

static void
clear_unfenced (struct cyc_core_state *st, struct core_worker *worker)
{
  if (worker->unfenced_until_us == 0)
    return;
  worker->unfenced_until_us = 0;
  st->unfenced--;
}

/* Called when a silent worker answers again. Its tasks keep their leases; the
 * worker's own list of tasks decides which of them still run. */
static void
restore_lost_tasks (struct cyc_core_state *st, uint32_t row)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_queued_or_worker);

  for (uint32_t t = st->workers[row].tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    {
      struct core_task *task = &st->tasks[t];

      if (task->state != CYC_TASK_LOST || task->outcome_unknown)
        continue;
      task->state = task->stop_stage == CORE_STOP_NONE ? CYC_TASK_RUNNING
                                                       : CYC_TASK_STOPPING;
      if (st->jobs[task->job].service)
        core_service_mark_dirty (st, st->jobs[task->job].queue);
    }
}

/* Writes the trace line of an input about a worker and returns its row, or
 * CORE_NONE. */
static uint32_t
trace_and_find_worker (struct cyc_core_state *st, const char *input,
                       uint64_t at_us, struct cyc_str worker)
{
  core_trace (st, "%s %" PRIu64 " %.*s", input, at_us,
              CYC_FMT (core_trace_word (worker)));
  return core_find_worker (st, worker);
}

enum cyc_core_status
cyc_core_worker_seen (struct cyc_core *core, struct cyc_str worker,
                      uint64_t now_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = trace_and_find_worker (st, "seen", now_us, worker);

  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  st->now_us = now_us;
  clear_unfenced (st, &st->workers[row]);
  if (st->workers[row].silent)
    {
      st->workers[row].silent = false;
      st->silent--;
      restore_lost_tasks (st, row);
    }
  core_worker_refresh (st, row);
  return CYC_CORE_OK;
}

void
core_worker_mark_tasks_lost (struct cyc_core_state *st, uint32_t row)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_queued_or_worker);
  uint32_t next;

  for (uint32_t t = st->workers[row].tasks.head; t != CORE_NONE; t = next)
    {
      struct core_task *task = &st->tasks[t];

      next = core_list_next (rows, t);
      if (task->state == CYC_TASK_STARTING && task->emitting)
        {
          core_task_requeue (st, t);
          continue;
        }
      core_task_cancel_emit (st, t);
      task->state = CYC_TASK_LOST;
      if (st->jobs[task->job].service)
        core_service_mark_dirty (st, st->jobs[task->job].queue);
    }
}

enum cyc_core_status
cyc_core_worker_silent (struct cyc_core *core, struct cyc_str worker,
                        uint64_t now_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = trace_and_find_worker (st, "silent", now_us, worker);

  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  st->now_us = now_us;
  if (!st->workers[row].silent)
    {
      st->workers[row].silent = true;
      st->silent++;
      core_worker_refresh (st, row);
      core_worker_mark_tasks_lost (st, row);
    }
  return CYC_CORE_OK;
}

enum cyc_core_status
cyc_core_worker_remove (struct cyc_core *core, struct cyc_str worker,
                        uint64_t now_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = trace_and_find_worker (st, "gone", now_us, worker);
  struct core_worker *removed;

  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  removed = &st->workers[row];
  st->now_us = now_us;
  removed->leaving = true;
  if (removed->claimed.millicores > 0 || removed->claimed.memory_mib > 0)
    core_worker_release_claims (st, row);
  clear_unfenced (st, removed);
  if (removed->silent)
    st->silent--;
  if (removed->ejected)
    core_list_remove (&st->ejected, CORE_LINKS (st->workers, in_ejected), row);
  core_worker_refresh (st, row);
  while (removed->tasks.count > 0)
    core_task_requeue (st, removed->tasks.head);
  core_urgent_release (st, row, removed->urgent_reserved);
  leave_bucket (st, row);
  set_capacity (st, removed, (struct cyc_resources){ 0 });
  leave_rack (st, row);
  core_map_remove (&st->worker_map, core_hash (worker));
  cyc_pool_release (&st->worker_pool, cyc_pool_ref_at (&st->worker_pool, row));
  st->workers_changed_us = now_us;
  return CYC_CORE_OK;
}

enum cyc_core_status
cyc_core_worker_unfenced (struct cyc_core *core, struct cyc_str worker,
                          uint64_t until_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = trace_and_find_worker (st, "unfenced", until_us, worker);

  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  if (st->workers[row].unfenced_until_us == 0)
    st->unfenced++;
  st->workers[row].unfenced_until_us = until_us;
  st->unfenced_sequence = st->sequence;
  if (until_us > st->unfenced_until_us)
    st->unfenced_until_us = until_us;
  core_worker_refresh (st, row);
  return CYC_CORE_OK;
}
