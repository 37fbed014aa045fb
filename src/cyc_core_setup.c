/**
 * @file
 * Setup and shutdown of the core, and lookups by name and id.
 */
#include "cyc_core_internal.h"

#include <string.h>

static void
default_u32 (uint32_t *value, uint32_t fallback)
{
  if (*value == 0)
    *value = fallback;
}

static void
set_defaults (struct cyc_core_desc *desc)
{
  default_u32 (&desc->max_workers, 16384);
  default_u32 (&desc->max_racks, 4096);
  default_u32 (&desc->max_teams, 1024);
  default_u32 (&desc->max_queues, 16384);
  default_u32 (&desc->max_jobs, 131072);
  default_u32 (&desc->max_tasks, 524288);
  default_u32 (&desc->cancel_per_tick, 256);
  default_u32 (&desc->ejected_max_permille, 200);
  default_u32 (&desc->eject_failures, 4);
  default_u32 (&desc->probe_first_ms, 10000);
  default_u32 (&desc->probe_last_ms, 300000);
  default_u32 (&desc->first_headroom_permille, 250);
  default_u32 (&desc->worker_high_permille, 950);
  default_u32 (&desc->preempt_max_permille, 300);
  default_u32 (&desc->batch_floor_permille, 100);
  default_u32 (&desc->share_half_life_ms, 60000);
  default_u32 (&desc->gang_reserve_ms, 30000);
  default_u32 (&desc->task_lease_ms, 30000);
  default_u32 (&desc->service_lease_ms, 600000);
  default_u32 (&desc->clock_error_ms, 250);
  default_u32 (&desc->max_attempts, 3);
  if (desc->seed == 0)
    desc->seed = 1;
}

static void
check_permille (struct cyc_findings *findings, struct cyc_str place,
                uint32_t value)
{
  if (value > 1000)
    cyc_findings_add (findings, place, "%u is more than 1,000 permille",
                      value);
}

static void
check_rows (struct cyc_findings *findings, struct cyc_str place,
            uint32_t value)
{
  if (value > (1U << 24))
    cyc_findings_add (findings, place,
                      "%u rows are more than the limit of 16,777,216", value);
}

static bool
check_desc (const struct cyc_core_desc *desc, struct cyc_findings *findings)
{
  struct cyc_findings own = { 0 };

  check_rows (&own, CYC_STR ("max_workers"), desc->max_workers);
  check_rows (&own, CYC_STR ("max_racks"), desc->max_racks);
  check_rows (&own, CYC_STR ("max_teams"), desc->max_teams);
  check_rows (&own, CYC_STR ("max_queues"), desc->max_queues);
  check_rows (&own, CYC_STR ("max_jobs"), desc->max_jobs);
  check_rows (&own, CYC_STR ("max_tasks"), desc->max_tasks);
  check_permille (&own, CYC_STR ("ejected_max_permille"),
                  desc->ejected_max_permille);
  check_permille (&own, CYC_STR ("worker_high_permille"),
                  desc->worker_high_permille);
  check_permille (&own, CYC_STR ("preempt_max_permille"),
                  desc->preempt_max_permille);
  check_permille (&own, CYC_STR ("batch_floor_permille"),
                  desc->batch_floor_permille);
  if (desc->eject_failures > CORE_MAX_EJECT_FAILURES)
    cyc_findings_add (&own, CYC_STR ("eject_failures"),
                      "%u is more than the limit of %d failures",
                      desc->eject_failures, CORE_MAX_EJECT_FAILURES);
  if (desc->max_attempts > CORE_MAX_FAILED_WORKERS)
    cyc_findings_add (&own, CYC_STR ("max_attempts"),
                      "%u is more than the limit of %d attempts",
                      desc->max_attempts, CORE_MAX_FAILED_WORKERS);
  for (uint32_t i = 0; i < own.count && findings != NULL; i++)
    cyc_findings_add (findings, cyc_str_of (own.rows[i].place), "%s",
                      own.rows[i].text);
  return own.count == 0;
}

static bool
setup_pools (struct cyc_core_state *st, const struct cyc_core_desc *d)
{
  const struct cyc_allocator *a = &d->allocator;

  return cyc_pool_setup (&st->worker_pool, d->max_workers, a)
         && cyc_pool_setup (&st->rack_pool, d->max_racks, a)
         && cyc_pool_setup (&st->team_pool, d->max_teams, a)
         && cyc_pool_setup (&st->queue_pool, d->max_queues, a)
         && cyc_pool_setup (&st->job_pool, d->max_jobs, a)
         && cyc_pool_setup (&st->task_pool, d->max_tasks, a);
}

static bool
setup_rows (struct cyc_core_state *st, const struct cyc_core_desc *d)
{
  const struct cyc_allocator *a = &d->allocator;

  st->workers = cyc_alloc (a, d->max_workers, sizeof *st->workers);
  st->racks = cyc_alloc (a, d->max_racks, sizeof *st->racks);
  st->teams = cyc_alloc (a, d->max_teams, sizeof *st->teams);
  st->queues = cyc_alloc (a, d->max_queues, sizeof *st->queues);
  st->jobs = cyc_alloc (a, d->max_jobs, sizeof *st->jobs);
  st->tasks = cyc_alloc (a, d->max_tasks, sizeof *st->tasks);
  st->scratch = cyc_alloc (a, d->max_tasks, sizeof *st->scratch);
  st->team_scratch = cyc_alloc (a, d->max_teams, sizeof *st->team_scratch);
  return st->workers != NULL && st->racks != NULL && st->teams != NULL
         && st->queues != NULL && st->jobs != NULL && st->tasks != NULL
         && st->scratch != NULL && st->team_scratch != NULL;
}

static bool
setup_maps (struct cyc_core_state *st, const struct cyc_core_desc *d)
{
  const struct cyc_allocator *a = &d->allocator;

  return core_map_setup (&st->worker_map, d->max_workers, a)
         && core_map_setup (&st->rack_map, d->max_racks, a)
         && core_map_setup (&st->team_map, d->max_teams, a)
         && core_map_setup (&st->queue_map, d->max_queues, a)
         && core_map_setup (&st->job_map, d->max_jobs, a)
         && core_map_setup (&st->task_map, d->max_tasks, a)
         && core_map_setup (&st->spread_map, d->max_tasks, a);
}

/* Allocates buffers for the longest trace line: a job with its bitmap in hex.
 */
static bool
setup_trace (struct cyc_core_state *st, const struct cyc_core_desc *d)
{
  if (d->trace == NULL)
    return true;
  st->trace_size = 1024 + d->max_tasks / 4;
  st->trace_line = cyc_alloc (&d->allocator, st->trace_size, 1);
  st->trace_bits = cyc_alloc (&d->allocator, st->trace_size, 1);
  return st->trace_line != NULL && st->trace_bits != NULL;
}

static void
setup_lists (struct cyc_core_state *st)
{
  for (size_t i = 0; i < sizeof st->buckets / sizeof st->buckets[0]; i++)
    core_list_init (&st->buckets[i]);
  for (size_t i = 0; i < CORE_TIMER_SLOTS; i++)
    core_list_init (&st->timer_slots[i]);
  for (size_t i = 0; i < CORE_CLASS_COUNT; i++)
    core_list_init (&st->active[i]);
  core_list_init (&st->cancel);
  core_list_init (&st->ended_jobs);
  core_list_init (&st->emit);
  core_list_init (&st->ejected);
  core_list_init (&st->dirty);
  core_list_init (&st->batch);
  core_list_init (&st->claims);
  core_list_init (&st->urgent_reserved_workers);
}

bool
cyc_core_setup (struct cyc_core *core, const struct cyc_core_desc *desc,
                struct cyc_findings *findings)
{
  struct cyc_core_desc full = *desc;
  struct cyc_core_state *st;

  core->state = NULL;
  set_defaults (&full);
  if (!check_desc (&full, findings))
    return false;
  st = cyc_alloc (&full.allocator, 1, sizeof *st);
  if (st == NULL)
    return false;
  core->state = st;
  st->desc = full;
  st->random_state = full.seed;
  st->starts_allowed = true;
  /* Allows a few retries before the first starts add retry tokens. */
  st->retry_tokens = 10;
  setup_lists (st);
  if (setup_pools (st, &full) && setup_rows (st, &full)
      && setup_maps (st, &full) && setup_trace (st, &full))
    {
      core_trace_setup (st);
      return true;
    }
  if (findings != NULL)
    cyc_findings_add (findings, CYC_STR ("core"), "out of memory");
  cyc_core_shutdown (core);
  return false;
}

static void
shutdown_maps (struct cyc_core_state *st, const struct cyc_allocator *a)
{
  core_map_shutdown (&st->worker_map, a);
  core_map_shutdown (&st->rack_map, a);
  core_map_shutdown (&st->team_map, a);
  core_map_shutdown (&st->queue_map, a);
  core_map_shutdown (&st->job_map, a);
  core_map_shutdown (&st->task_map, a);
  core_map_shutdown (&st->spread_map, a);
}

void
cyc_core_shutdown (struct cyc_core *core)
{
  struct cyc_core_state *st = core->state;
  struct cyc_allocator a;

  if (st == NULL)
    return;
  a = st->desc.allocator;
  shutdown_maps (st, &a);
  cyc_pool_shutdown (&st->worker_pool);
  cyc_pool_shutdown (&st->rack_pool);
  cyc_pool_shutdown (&st->team_pool);
  cyc_pool_shutdown (&st->queue_pool);
  cyc_pool_shutdown (&st->job_pool);
  cyc_pool_shutdown (&st->task_pool);
  cyc_release (&a, st->workers);
  cyc_release (&a, st->racks);
  cyc_release (&a, st->teams);
  cyc_release (&a, st->queues);
  cyc_release (&a, st->jobs);
  cyc_release (&a, st->tasks);
  cyc_release (&a, st->scratch);
  cyc_release (&a, st->team_scratch);
  cyc_release (&a, st->trace_line);
  cyc_release (&a, st->trace_bits);
  cyc_release (&a, st);
  core->state = NULL;
}

/* Lookups find a row by the hash of a name, so they compare the name too: two
 * names may have the same hash. */
static bool
has_name (const struct cyc_name *row_name, struct cyc_str name)
{
  return cyc_str_eq (cyc_name_str (row_name), name);
}

uint32_t
core_find_worker (const struct cyc_core_state *st, struct cyc_str name)
{
  uint32_t row = core_map_get (&st->worker_map, core_hash (name));

  return row != CORE_NONE && has_name (&st->workers[row].name, name)
             ? row
             : CORE_NONE;
}

uint32_t
core_find_queue (const struct cyc_core_state *st, struct cyc_str name)
{
  uint32_t row = core_map_get (&st->queue_map, core_hash (name));

  return row != CORE_NONE && has_name (&st->queues[row].name, name)
             ? row
             : CORE_NONE;
}

uint32_t
core_find_team (const struct cyc_core_state *st, struct cyc_str name)
{
  uint32_t row = core_map_get (&st->team_map, core_hash (name));

  return row != CORE_NONE && has_name (&st->teams[row].name, name) ? row
                                                                   : CORE_NONE;
}

static uint64_t
job_key (const struct cyc_id128 *id)
{
  return core_hash (
      (struct cyc_str){ (const char *)id->bytes, sizeof id->bytes });
}

uint32_t
core_find_job (const struct cyc_core_state *st, const struct cyc_id128 *id)
{
  uint32_t row = core_map_get (&st->job_map, job_key (id));

  return row != CORE_NONE && cyc_id128_eq (&st->jobs[row].id, id) ? row
                                                                  : CORE_NONE;
}

uint32_t
core_find_task (const struct cyc_core_state *st, uint32_t job, uint32_t index)
{
  return core_map_get (&st->task_map, ((uint64_t)job << 32) | index);
}

enum core_class
core_class_of (const struct core_queue *queue)
{
  switch (queue->kind)
    {
    case CYC_KIND_SERVICE:
      return CORE_SERVICE;
    case CYC_KIND_GANG:
      return CORE_GANG;
    case CYC_KIND_BATCH:
      break;
    }
  return queue->urgent ? CORE_URGENT : CORE_BATCH;
}
