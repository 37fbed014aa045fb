/**
 * @file
 * Task rows: creation, the queued lists, occupation of a worker, timers and
 * the list of decisions to emit.
 */
#include "cyc_core_internal.h"

#include <assert.h>

uint32_t
core_task_create (struct cyc_core_state *st, uint32_t job, uint32_t index)
{
  struct cyc_ref ref = cyc_pool_take (&st->task_pool);

  if (ref.generation == 0)
    return CORE_NONE;
  st->tasks[ref.index] = (struct core_task){
    .job = job,
    .index = index,
    .worker = CORE_NONE,
    .claim_worker = CORE_NONE,
    .timer_slot = CORE_NONE,
    .state = CYC_TASK_QUEUED,
  };
  core_list_append (&st->jobs[job].tasks, CORE_LINKS (st->tasks, in_job),
                    ref.index);
  core_map_put (&st->task_map, ((uint64_t)job << 32) | index, ref.index);
  return ref.index;
}

void
core_task_free (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];

  assert (task->worker == CORE_NONE && !task->emitting);
  core_task_release_claim (st, row);
  core_list_remove (&st->jobs[task->job].tasks, CORE_LINKS (st->tasks, in_job),
                    row);
  core_map_remove (&st->task_map, ((uint64_t)task->job << 32) | task->index);
  cyc_pool_release (&st->task_pool, cyc_pool_ref_at (&st->task_pool, row));
}

void
core_queue_activate (struct cyc_core_state *st, uint32_t queue)
{
  struct core_queue *q = &st->queues[queue];
  struct core_team *team = &st->teams[q->team];
  enum core_class class = core_class_of (q);

  if (team->queues[class].count == 0)
    core_list_append (&st->active[class],
                      CORE_LINKS (st->teams, in_active[class]), q->team);
  core_list_append (&team->queues[class], CORE_LINKS (st->queues, in_team),
                    queue);
}

void
core_queue_deactivate (struct cyc_core_state *st, uint32_t queue)
{
  struct core_queue *q = &st->queues[queue];
  struct core_team *team = &st->teams[q->team];
  enum core_class class = core_class_of (q);

  core_list_remove (&team->queues[class], CORE_LINKS (st->queues, in_team),
                    queue);
  if (team->queues[class].count == 0)
    core_list_remove (&st->active[class],
                      CORE_LINKS (st->teams, in_active[class]), q->team);
}

void
core_task_enqueue (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  struct core_job *job = &st->jobs[task->job];
  struct core_queue *queue = &st->queues[job->queue];

  task->state = CYC_TASK_QUEUED;
  task->declared = queue->size;
  core_list_append (&job->queued, CORE_LINKS (st->tasks, in_queued_or_worker),
                    row);
  if (job->end_reason != CORE_END_NONE)
    return;
  if (job->queued.count == 1)
    {
      if (queue->jobs.count == 0)
        core_queue_activate (st, job->queue);
      core_list_append (&queue->jobs, CORE_LINKS (st->jobs, in_queue),
                        task->job);
    }
  queue->queued++;
  st->queued_tasks++;
  st->teams[queue->team].wanted_millicores += queue->size.millicores;
  st->teams[queue->team].wanted_accelerators += queue->size.accelerators;
}

/* Subtracts @p count queued tasks of the job from the sums of its queue, its
 * team and the core, and removes the job from its queue if @p remove_job. */
static void
subtract_queued (struct cyc_core_state *st, uint32_t row, uint32_t count,
                 bool remove_job)
{
  struct core_job *job = &st->jobs[row];
  struct core_queue *queue = &st->queues[job->queue];
  struct core_team *team = &st->teams[queue->team];

  queue->queued -= count;
  st->queued_tasks -= count;
  team->wanted_millicores -= (uint64_t)count * queue->size.millicores;
  team->wanted_accelerators -= (uint64_t)count * queue->size.accelerators;
  if (!remove_job)
    return;
  core_list_remove (&queue->jobs, CORE_LINKS (st->jobs, in_queue), row);
  if (queue->jobs.count == 0)
    core_queue_deactivate (st, job->queue);
}

void
core_task_dequeue (struct cyc_core_state *st, uint32_t row)
{
  uint32_t job = st->tasks[row].job;

  core_list_remove (&st->jobs[job].queued,
                    CORE_LINKS (st->tasks, in_queued_or_worker), row);
  if (st->jobs[job].end_reason == CORE_END_NONE)
    subtract_queued (st, job, 1, st->jobs[job].queued.count == 0);
}

void
core_job_finish (struct cyc_core_state *st, uint32_t row,
                 enum core_end_reason end_reason)
{
  struct core_job *job = &st->jobs[row];

  if (job->end_reason != CORE_END_NONE)
    return;
  if (job->queued.count > 0)
    subtract_queued (st, row, job->queued.count, true);
  job->end_reason = (uint8_t)end_reason;
  job->cancel_tasks_left = job->tasks.count;
  job->in_cancel = true;
  core_list_append (&st->cancel, CORE_LINKS (st->jobs, in_cancel_or_ended),
                    row);
}

static void
update_replica_count (struct cyc_core_state *st,
                      const struct core_worker *worker, uint32_t queue,
                      uint32_t delta)
{
  uint64_t key = core_spread_key (worker, queue);
  uint32_t count = core_map_get (&st->spread_map, key);

  count = (count == CORE_NONE ? 0 : count) + delta;
  if (count == 0)
    core_map_remove (&st->spread_map, key);
  else
    core_map_put (&st->spread_map, key, count);
}

void
core_team_adjust_need (struct cyc_core_state *st, const struct core_task *task,
                       bool add)
{
  const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];
  struct core_team *team = &st->teams[queue->team];
  uint64_t sign = add ? 1 : UINT64_MAX;

  team->need_millicores += sign * task->need.mean.millicores;
  team->need_memory_mib += sign * task->need.mean.memory_mib;
  if (core_class_of (queue) == CORE_URGENT)
    st->urgent_millicores += sign * task->estimate.millicores;
}

/* Adds the task to the sums over all tasks that occupy workers, or subtracts
 * it if @p add is false (UINT64_MAX is -1 modulo 2^64). */
static void
update_usage_sums (struct cyc_core_state *st, uint32_t row, bool add)
{
  struct core_task *task = &st->tasks[row];
  struct core_queue *queue = &st->queues[st->jobs[task->job].queue];
  struct core_team *team = &st->teams[queue->team];
  uint64_t sign = add ? 1 : UINT64_MAX;
  bool batch = queue->kind == CYC_KIND_BATCH && !queue->urgent;

  team->used_millicores += sign * task->declared.millicores;
  team->used_memory_mib += sign * task->declared.memory_mib;
  team->used_accelerators += sign * task->declared.accelerators;
  st->used_millicores += sign * task->declared.millicores;
  core_team_adjust_need (st, task, add);
  st->occupying_tasks += sign;
  if (batch)
    {
      team->batch_used_millicores += sign * task->declared.millicores;
      st->batch_running += sign;
      if (add)
        core_list_append (&st->batch, CORE_LINKS (st->tasks, in_batch), row);
      else
        core_list_remove (&st->batch, CORE_LINKS (st->tasks, in_batch), row);
    }
  if (queue->kind == CYC_KIND_SERVICE)
    update_replica_count (st, &st->workers[task->worker],
                          st->jobs[task->job].queue, (uint32_t)sign);
}

static void
add_to_worker (struct cyc_core_state *st, struct core_task *task)
{
  struct core_worker *worker = &st->workers[task->worker];

  worker->need = core_need_add (worker->need, task->need);
  worker->declared = core_res_add (worker->declared, task->declared);
  if (task->started_us > worker->measured_us && worker->measured_us > 0)
    worker->unmeasured = core_res_add (worker->unmeasured, task->estimate);
  core_worker_refresh (st, task->worker);
}

/* Records the use of a task that ends, to subtract it from measurements that
 * still contain it. */
static void
record_ended_task (struct cyc_core_state *st, const struct core_task *task)
{
  struct core_worker *worker = &st->workers[task->worker];

  worker->recent_ends[worker->next_recent_end]
      = (struct core_recent_end){ .started_us = task->started_us,
                                  .ended_us = st->now_us,
                                  .millicores = task->used.millicores,
                                  .memory_mib = task->used.memory_mib };
  worker->next_recent_end
      = (uint8_t)((worker->next_recent_end + 1) % CORE_RECENT_ENDS);
}

static void
remove_from_worker (struct cyc_core_state *st, struct core_task *task)
{
  struct core_worker *worker = &st->workers[task->worker];

  worker->need = core_need_sub (worker->need, task->need);
  worker->declared = core_res_sub (worker->declared, task->declared);
  if (task->started_us > worker->measured_us)
    worker->unmeasured = core_res_sub (worker->unmeasured, task->estimate);
  else
    worker->measured = core_res_sub (worker->measured, task->used);
  record_ended_task (st, task);
  if (worker->tasks.count == 0)
    worker->unmeasured = (struct cyc_resources){ 0 };
  core_worker_refresh (st, task->worker);
}

void
core_task_occupy (struct cyc_core_state *st, uint32_t row, uint32_t worker,
                  enum cyc_task_state state)
{
  struct core_task *task = &st->tasks[row];
  struct core_job *job = &st->jobs[task->job];
  struct core_queue *queue = &st->queues[job->queue];

  core_task_release_claim (st, row);
  task->worker = worker;
  task->state = (uint8_t)state;
  task->started_us = st->now_us;
  task->saved_until_us = st->now_us;
  task->need = queue->need;
  task->estimate = queue->estimate;
  task->used = (struct cyc_resources){ 0 };
  task->stop_stage = CORE_STOP_NONE;
  task->outcome_unknown = false;
  core_list_append (&st->workers[worker].tasks,
                    CORE_LINKS (st->tasks, in_queued_or_worker), row);
  core_list_append (&st->teams[queue->team].tasks,
                    CORE_LINKS (st->tasks, in_team), row);
  update_usage_sums (st, row, true);
  add_to_worker (st, task);
}

static void
clear_stop_state (struct cyc_core_state *st, struct core_task *task)
{
  const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];

  if (task->preempted)
    {
      st->preempting_tasks--;
      st->teams[queue->team].preempting_millicores
          -= task->declared.millicores;
    }
  if (task->throttled)
    st->workers[task->worker].throttled--;
  task->preempted = false;
  task->throttled = false;
  task->stop_stage = CORE_STOP_NONE;
  task->next_stage_us = 0;
}

void
core_task_vacate (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  struct core_queue *queue = &st->queues[st->jobs[task->job].queue];

  core_task_cancel_emit (st, row);
  core_task_set_timer (st, row, 0);
  clear_stop_state (st, task);
  update_usage_sums (st, row, false);
  core_list_remove (&st->workers[task->worker].tasks,
                    CORE_LINKS (st->tasks, in_queued_or_worker), row);
  core_list_remove (&st->teams[queue->team].tasks,
                    CORE_LINKS (st->tasks, in_team), row);
  if (st->workers[task->worker].probe_task == row)
    st->workers[task->worker].probe_task = CORE_NONE;
  if (core_class_of (queue) == CORE_URGENT)
    core_urgent_reserve (st, task->worker, task->estimate);
  remove_from_worker (st, task);
  task->worker = CORE_NONE;
}

/* Ends a task that occupies no worker and is in no queued list. */
static void
end_unplaced_task (struct cyc_core_state *st, uint32_t row,
                   enum cyc_task_state state)
{
  uint32_t job = st->tasks[row].job;
  struct core_job *j = &st->jobs[job];

  j->done += state == CYC_TASK_DONE;
  j->failed += state == CYC_TASK_FAILED;
  j->unknown += state == CYC_TASK_UNKNOWN;
  st->cancelled += state == CYC_TASK_CANCELLED;
  core_task_free (st, row);
  if (j->service)
    core_service_mark_dirty (st, j->queue);
  core_job_check_ended (st, job);
}

void
core_task_end (struct cyc_core_state *st, uint32_t row,
               enum cyc_task_state state)
{
  if (st->tasks[row].worker != CORE_NONE)
    core_task_vacate (st, row);
  else
    core_task_dequeue (st, row);
  end_unplaced_task (st, row, state);
}

/* A task whose START has not been returned by a tick yet was never sent to a
 * worker, so it is queued again even if it may not be repeated. */
void
core_task_requeue (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  struct core_job *job = &st->jobs[task->job];
  bool sent = !(task->state == CYC_TASK_STARTING && task->emitting);
  bool repeatable = st->queues[job->queue].repeatable;

  core_task_vacate (st, row);
  if (sent && !repeatable && !job->service)
    end_unplaced_task (st, row, CYC_TASK_UNKNOWN);
  else if (job->service || job->end_reason != CORE_END_NONE)
    end_unplaced_task (st, row, CYC_TASK_CANCELLED);
  else
    core_task_enqueue (st, row);
}

void
core_task_emit (struct cyc_core_state *st, uint32_t row,
                enum cyc_decision_kind kind)
{
  struct core_task *task = &st->tasks[row];

  task->emit = (uint8_t)kind;
  if (task->emitting)
    return;
  task->emitting = true;
  core_list_append (&st->emit, CORE_LINKS (st->tasks, in_emit), row);
}

void
core_task_cancel_emit (struct cyc_core_state *st, uint32_t row)
{
  if (!st->tasks[row].emitting)
    return;
  st->tasks[row].emitting = false;
  core_list_remove (&st->emit, CORE_LINKS (st->tasks, in_emit), row);
}

void
core_task_set_timer (struct cyc_core_state *st, uint32_t row, uint64_t at_us)
{
  struct core_task *task = &st->tasks[row];
  struct core_link_array rows = CORE_LINKS (st->tasks, in_timer_slot);
  uint64_t slot_number = at_us / CORE_TIMER_SLOT_US + 1;

  if (st->next_timer_slot == 0)
    st->next_timer_slot = st->now_us / CORE_TIMER_SLOT_US;
  if (task->timer_slot != CORE_NONE)
    core_list_remove (&st->timer_slots[task->timer_slot], rows, row);
  task->timer_slot = CORE_NONE;
  if (at_us == 0)
    return;
  if (slot_number < st->next_timer_slot)
    slot_number = st->next_timer_slot;
  if (slot_number >= st->next_timer_slot + CORE_TIMER_SLOTS)
    slot_number = st->next_timer_slot + CORE_TIMER_SLOTS - 1;
  task->timer_slot = (uint32_t)(slot_number % CORE_TIMER_SLOTS);
  core_list_append (&st->timer_slots[task->timer_slot], rows, row);
}

void
core_task_release_claim (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];

  if (task->claim_worker == CORE_NONE)
    return;
  st->workers[task->claim_worker].claimed
      = core_res_sub (st->workers[task->claim_worker].claimed, task->claim);
  core_list_remove (&st->claims, CORE_LINKS (st->tasks, in_claim), row);
  st->active_drains -= task->drain_until_us > 0;
  task->drain_until_us = 0;
  core_worker_refresh (st, task->claim_worker);
  task->claim_worker = CORE_NONE;
}

void
core_task_claim (struct cyc_core_state *st, uint32_t row, uint32_t worker,
                 struct cyc_resources need)
{
  struct core_task *task = &st->tasks[row];

  task->claim_worker = worker;
  task->claim = need;
  st->workers[worker].claimed
      = core_res_add (st->workers[worker].claimed, need);
  core_list_append (&st->claims, CORE_LINKS (st->tasks, in_claim), row);
  core_worker_refresh (st, worker);
}

void
core_worker_release_claims (struct cyc_core_state *st, uint32_t worker)
{
  for (uint32_t t = 0; t < st->task_pool.high; t++)
    if (cyc_pool_used_at (&st->task_pool, t)
        && st->tasks[t].claim_worker == worker)
      core_task_release_claim (st, t);
}

void
core_queue_count_usage (struct cyc_core_state *st, uint32_t queue, bool add)
{
  struct core_list *list = &st->teams[st->queues[queue].team].tasks;

  for (uint32_t t = 0; t < st->task_pool.high; t++)
    {
      if (!cyc_pool_used_at (&st->task_pool, t)
          || st->tasks[t].worker == CORE_NONE
          || st->jobs[st->tasks[t].job].queue != queue)
        continue;
      if (!add)
        clear_stop_state (st, &st->tasks[t]);
      update_usage_sums (st, t, add);
      if (add)
        core_list_append (list, CORE_LINKS (st->tasks, in_team), t);
      else
        core_list_remove (list, CORE_LINKS (st->tasks, in_team), t);
    }
}
