/**
 * @file
 * Changes of teams, queues, services and jobs reported by the owner.
 */
#include "cyc_core_internal.h"

#include <inttypes.h>
#include <string.h>

enum cyc_core_status
cyc_core_team_upsert (struct cyc_core *core, const struct cyc_core_team *team)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = core_find_team (st, cyc_name_str (&team->name));

  core_trace (st, "team %.*s %u %" PRIu64 " %" PRIu64,
              CYC_FMT (core_trace_word (cyc_name_str (&team->name))),
              team->share_permille, team->balance_millicores,
              team->balance_accelerators);
  if (team->name.len == 0)
    return CYC_CORE_INVALID;
  if (row == CORE_NONE)
    {
      struct cyc_ref ref = cyc_pool_take (&st->team_pool);

      if (ref.generation == 0)
        return CYC_CORE_FULL;
      row = ref.index;
      st->teams[row] = (struct core_team){ .name = team->name };
      for (size_t i = 0; i < CORE_CLASS_COUNT; i++)
        core_list_init (&st->teams[row].queues[i]);
      core_list_init (&st->teams[row].tasks);
      core_map_put (&st->team_map, core_hash (cyc_name_str (&team->name)),
                    row);
    }
  st->teams[row].share_permille = team->share_permille;
  st->teams[row].balance_millicores = team->balance_millicores;
  st->teams[row].balance_accelerators = team->balance_accelerators;
  return CYC_CORE_OK;
}

/* A queue may be added before its team; the team is then created with a
 * balance of zero. */
static uint32_t
find_or_create_team (struct cyc_core *core, const struct cyc_name *name)
{
  struct cyc_core_team team = { .name = *name };
  uint32_t row = core_find_team (core->state, cyc_name_str (name));

  if (row != CORE_NONE || cyc_core_team_upsert (core, &team) != CYC_CORE_OK)
    return row;
  return core_find_team (core->state, cyc_name_str (name));
}

static uint32_t
queue_create (struct cyc_core_state *st, const struct cyc_name *name,
              uint32_t team)
{
  struct cyc_ref ref = cyc_pool_take (&st->queue_pool);

  if (ref.generation == 0)
    return CORE_NONE;
  st->queues[ref.index] = (struct core_queue){
    .name = *name,
    .team = team,
    .service_job = CORE_NONE,
  };
  core_list_init (&st->queues[ref.index].jobs);
  core_map_put (&st->queue_map, core_hash (cyc_name_str (name)), ref.index);
  return ref.index;
}

static void
queue_change_size (struct cyc_core_state *st, struct core_queue *queue,
                   struct cyc_resources size)
{
  struct core_team *team = &st->teams[queue->team];

  team->wanted_millicores -= (uint64_t)queue->queued * queue->size.millicores;
  team->wanted_accelerators
      -= (uint64_t)queue->queued * queue->size.accelerators;
  queue->size = size;
  team->wanted_millicores += (uint64_t)queue->queued * size.millicores;
  team->wanted_accelerators += (uint64_t)queue->queued * size.accelerators;
  core_queue_estimate (st, queue);
}

static void
queue_apply_config (struct cyc_core_state *st, uint32_t row, uint32_t team,
                    const struct cyc_queue_cfg *cfg)
{
  struct core_queue *queue = &st->queues[row];
  bool reclassified = queue->team != team || queue->kind != cfg->kind
                      || queue->urgent != cfg->urgent;
  struct cyc_resources none = { 0 };

  if (reclassified)
    {
      core_queue_count_usage (st, row, false);
      if (queue->jobs.count > 0)
        core_queue_deactivate (st, row);
      queue_change_size (st, queue, none);
      queue->team = team;
      queue->kind = cfg->kind;
      queue->urgent = cfg->urgent;
      if (queue->jobs.count > 0)
        core_queue_activate (st, row);
      core_queue_count_usage (st, row, true);
    }
  queue->repeatable = cfg->repeatable;
  queue->spread = cfg->spread;
  queue->run_s = cfg->run_s;
  queue->removed = false;
  queue->blocked_since_us = 0;
  queue_change_size (st, queue, cfg->size);
}

enum cyc_core_status
cyc_core_queue_upsert (struct cyc_core *core,
                       const struct cyc_queue_cfg *queue)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = core_find_queue (st, cyc_name_str (&queue->name));
  uint32_t team;

  core_trace (st, "queue %.*s %.*s %d %d %d %d %u %u %u %u",
              CYC_FMT (core_trace_word (cyc_name_str (&queue->name))),
              CYC_FMT (core_trace_word (cyc_name_str (&queue->team))),
              (int)queue->kind, (int)queue->spread, queue->urgent,
              queue->repeatable, queue->size.millicores,
              queue->size.memory_mib, queue->size.accelerators, queue->run_s);
  if (queue->name.len == 0 || queue->team.len == 0)
    return CYC_CORE_INVALID;
  team = find_or_create_team (core, &queue->team);
  if (team == CORE_NONE)
    return CYC_CORE_FULL;
  if (row == CORE_NONE)
    row = queue_create (st, &queue->name, team);
  if (row == CORE_NONE)
    return CYC_CORE_FULL;
  queue_apply_config (st, row, team, queue);
  return CYC_CORE_OK;
}

enum cyc_core_status
cyc_core_queue_remove (struct cyc_core *core, struct cyc_str queue)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = core_find_queue (st, queue);

  core_trace (st, "unqueue %.*s", CYC_FMT (core_trace_word (queue)));
  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  st->queues[row].removed = true;
  st->queues[row].wanted_replicas = 0;
  for (uint32_t j = 0; j < st->job_pool.high; j++)
    if (cyc_pool_used_at (&st->job_pool, j) && st->jobs[j].queue == row)
      {
        if (st->jobs[j].service)
          core_service_mark_dirty (st, row);
        else
          core_job_finish (st, j, CORE_END_QUEUE_REMOVED);
      }
  return CYC_CORE_OK;
}

uint32_t
core_job_create (struct cyc_core_state *st, const struct cyc_id128 *id,
                 uint32_t queue)
{
  uint64_t key = core_hash (
      (struct cyc_str){ (const char *)id->bytes, sizeof id->bytes });
  struct cyc_ref ref;

  if (core_map_get (&st->job_map, key) != CORE_NONE)
    return CORE_NONE;
  ref = cyc_pool_take (&st->job_pool);
  if (ref.generation == 0)
    return CORE_NONE;
  st->jobs[ref.index] = (struct core_job){
    .id = *id,
    .queue = queue,
    .sequence = ++st->sequence,
    .service = st->queues[queue].kind == CYC_KIND_SERVICE,
  };
  core_list_init (&st->jobs[ref.index].tasks);
  core_list_init (&st->jobs[ref.index].queued);
  core_map_put (&st->job_map, key, ref.index);
  return ref.index;
}

void
core_job_free (struct cyc_core_state *st, uint32_t row)
{
  struct cyc_str id
      = { (const char *)st->jobs[row].id.bytes, sizeof st->jobs[row].id };

  core_gang_unreserve (st, row);
  if (st->queues[st->jobs[row].queue].service_job == row)
    st->queues[st->jobs[row].queue].service_job = CORE_NONE;
  core_map_remove (&st->job_map, core_hash (id));
  cyc_pool_release (&st->job_pool, cyc_pool_ref_at (&st->job_pool, row));
}

void
core_job_check_ended (struct cyc_core_state *st, uint32_t row)
{
  struct core_job *job = &st->jobs[row];

  if (job->service || job->tasks.count > 0 || job->in_ended)
    return;
  if (job->in_cancel)
    core_list_remove (&st->cancel, CORE_LINKS (st->jobs, in_cancel_or_ended),
                      row);
  job->in_cancel = false;
  job->in_ended = true;
  core_list_append (&st->ended_jobs, CORE_LINKS (st->jobs, in_cancel_or_ended),
                    row);
}

void
cyc_core_service_job (struct cyc_str queue, struct cyc_id128 *out)
{
  cyc_request_id (CYC_STR ("service"), queue, CYC_STR (""), out);
}

uint32_t
core_service_job (struct cyc_core_state *st, uint32_t queue)
{
  struct core_queue *q = &st->queues[queue];
  struct cyc_id128 id;

  if (q->service_job != CORE_NONE)
    return q->service_job;
  cyc_core_service_job (cyc_name_str (&q->name), &id);
  q->service_job = core_job_create (st, &id, queue);
  return q->service_job;
}

void
core_service_mark_dirty (struct cyc_core_state *st, uint32_t queue)
{
  if (st->queues[queue].dirty)
    return;
  st->queues[queue].dirty = true;
  core_list_append (&st->dirty, CORE_LINKS (st->queues, in_dirty), queue);
}

enum cyc_core_status
cyc_core_service_scale (struct cyc_core *core, struct cyc_str queue,
                        uint32_t replicas, uint64_t now_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t row = core_find_queue (st, queue);

  core_trace (st, "scale %" PRIu64 " %.*s %u", now_us,
              CYC_FMT (core_trace_word (queue)), replicas);
  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  if (st->queues[row].kind != CYC_KIND_SERVICE)
    return CYC_CORE_INVALID;
  st->now_us = now_us;
  if (core_service_job (st, row) == CORE_NONE)
    return CYC_CORE_FULL;
  st->queues[row].wanted_replicas = replicas;
  core_service_mark_dirty (st, row);
  return CYC_CORE_OK;
}

static bool
is_task_done (const struct cyc_core_job *job, uint32_t task)
{
  return job->done_bits != NULL
         && (job->done_bits[task / 8] >> (task % 8) & 1) != 0;
}

static enum cyc_core_status
add_service (struct cyc_core_state *st, const struct cyc_core_job *job,
             uint32_t queue)
{
  struct core_queue *q = &st->queues[queue];

  if (q->service_job == CORE_NONE)
    q->service_job = core_job_create (st, &job->id, queue);
  if (q->service_job == CORE_NONE)
    return CYC_CORE_FULL;
  if (q->next_task_index < job->first_task)
    q->next_task_index = job->first_task;
  q->wanted_replicas = job->tasks;
  core_service_mark_dirty (st, queue);
  return CYC_CORE_OK;
}

enum cyc_core_status
cyc_core_job_add (struct cyc_core *core, const struct cyc_core_job *job,
                  uint64_t now_us)
{
  struct cyc_core_state *st = core->state;
  uint32_t queue = core_find_queue (st, cyc_name_str (&job->queue));
  uint32_t row;

  core_trace_job (st, job, now_us);
  if (queue == CORE_NONE || st->queues[queue].removed)
    return CYC_CORE_UNKNOWN;
  st->now_us = now_us;
  if (st->queues[queue].kind == CYC_KIND_SERVICE)
    return add_service (st, job, queue);
  if (core_find_job (st, &job->id) != CORE_NONE)
    return CYC_CORE_OK;
  if (job->tasks == 0)
    return CYC_CORE_INVALID;
  if (st->task_pool.capacity - st->task_pool.used < job->tasks)
    return CYC_CORE_FULL;
  row = core_job_create (st, &job->id, queue);
  if (row == CORE_NONE)
    return CYC_CORE_FULL;
  st->jobs[row].submitted_us = job->submitted_us;
  st->jobs[row].total = job->tasks;
  for (uint32_t i = 0; i < job->tasks; i++)
    {
      if (is_task_done (job, i))
        st->jobs[row].done++;
      else
        core_task_enqueue (st, core_task_create (st, row, i));
    }
  core_job_check_ended (st, row);
  return CYC_CORE_OK;
}

enum cyc_core_status
cyc_core_job_cancel (struct cyc_core *core, const struct cyc_id128 *job,
                     uint64_t now_us)
{
  char hex[33];
  struct cyc_core_state *st = core->state;
  uint32_t row = core_find_job (st, job);

  core_trace_hex (st, job, hex);
  core_trace (st, "cancel %" PRIu64 " %s", now_us, hex);
  if (row == CORE_NONE)
    return CYC_CORE_UNKNOWN;
  if (st->jobs[row].service)
    return CYC_CORE_INVALID;
  st->now_us = now_us;
  if (!st->jobs[row].in_ended)
    core_job_finish (st, row, CORE_END_CANCELLED);
  return CYC_CORE_OK;
}
