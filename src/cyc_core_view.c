/**
 * @file
 * Read-only views of tasks, jobs and teams, and totals of the domain.
 */
#include "cyc_core_internal.h"

bool
cyc_core_task_next (const struct cyc_core *core, uint32_t *cursor,
                    struct cyc_core_task_view *out)
{
  const struct cyc_core_state *st = core->state;

  while (*cursor < st->task_pool.high)
    {
      uint32_t row = (*cursor)++;
      const struct core_task *task = &st->tasks[row];

      if (!cyc_pool_used_at (&st->task_pool, row) || task->worker == CORE_NONE)
        continue;
      *out = (struct cyc_core_task_view){
        .job = st->jobs[task->job].id,
        .task_index = task->index,
        .state = (enum cyc_task_state)task->state,
        .worker = st->workers[task->worker].name,
        .queue = st->queues[st->jobs[task->job].queue].name,
        .lease_deadline_us = task->lease_deadline_us,
      };
      return true;
    }
  return false;
}

bool
cyc_core_job_view (const struct cyc_core *core, const struct cyc_id128 *job,
                   struct cyc_core_job_view *out)
{
  const struct cyc_core_state *st = core->state;
  uint32_t row = core_find_job (st, job);
  const struct core_job *j;

  if (row == CORE_NONE)
    return false;
  j = &st->jobs[row];
  *out = (struct cyc_core_job_view){
    .tasks = j->service ? st->queues[j->queue].wanted_replicas : j->total,
    .queued = j->queued.count,
    .running = j->tasks.count - j->queued.count,
    .done = j->done,
    .failed = j->failed + j->unknown,
  };
  return true;
}

bool
cyc_core_team_at (const struct cyc_core *core, uint32_t position,
                  struct cyc_core_team_view *out)
{
  const struct cyc_core_state *st = core->state;
  const struct core_team *team;

  if (position >= st->team_pool.high)
    return false;
  team = &st->teams[position];
  *out = (struct cyc_core_team_view){
    .name = team->name,
    .used_millicores = team->used_millicores,
    .used_accelerators = team->used_accelerators,
    .wanted_millicores = team->wanted_millicores,
    .wanted_accelerators = team->wanted_accelerators,
    .share_permille = team->share_permille,
    .got_share_permille = (uint32_t)(team->decayed_share * 1000 + 0.5),
  };
  return true;
}

void
cyc_core_totals (const struct cyc_core *core, struct cyc_core_totals *out)
{
  const struct cyc_core_state *st = core->state;

  *out = (struct cyc_core_totals){
    .workers = st->worker_pool.used,
    .ejected = st->ejected.count,
    .silent = st->silent,
    .capacity_millicores = st->total_millicores,
    .used_millicores = st->used_millicores,
    .queued_tasks = st->queued_tasks,
    .running_tasks = st->occupying_tasks,
    .starts = st->starts,
    .preempted = st->preempted,
    .cancelled = st->cancelled,
    .refused_jobs = st->refused_jobs,
  };
}
