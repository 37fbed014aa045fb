/**
 * @file
 * One tick: expiry of leases, cancellation, replicas of services, shares and
 * balances of teams, and the order of the systems.
 */
#include "cyc_core_internal.h"

#include <inttypes.h>
#include <math.h>

/* Time between two stages of stopping a task. */
#define STOP_STAGE_INTERVAL_US 1500000
/* A STOP is issued again if no report arrives within this time. */
#define STOP_RETRY_INTERVAL_US 5000000

static uint64_t
lease_end_us (const struct cyc_core_state *st, const struct core_task *task)
{
  return task->lease_deadline_us + st->desc.clock_error_ms * 1000ULL;
}

static void
set_next_timer (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  uint64_t at_us = lease_end_us (st, task);

  if (task->next_stage_us > 0 && task->next_stage_us < at_us)
    at_us = task->next_stage_us;
  core_task_set_timer (st, row, at_us);
}

void
core_task_stop (struct cyc_core_state *st, uint32_t row,
                enum core_stop_stage stop_stage)
{
  static const enum cyc_decision_kind kinds[] = {
    [CORE_STOP_CHECKPOINT] = CYC_DECISION_CHECKPOINT,
    [CORE_STOP_THROTTLE] = CYC_DECISION_THROTTLE,
    [CORE_STOP_FINAL] = CYC_DECISION_STOP,
  };
  struct core_task *task = &st->tasks[row];

  task->stop_stage = (uint8_t)stop_stage;
  task->next_stage_us
      = st->now_us
        + (stop_stage == CORE_STOP_FINAL ? STOP_RETRY_INTERVAL_US
                                         : STOP_STAGE_INTERVAL_US);
  if (task->state != CYC_TASK_LOST)
    {
      task->state = CYC_TASK_STOPPING;
      core_task_emit (st, row, kinds[stop_stage]);
    }
  set_next_timer (st, row);
}

static enum core_stop_stage
next_stop_stage (const struct core_task *task)
{
  if (task->stop_stage == CORE_STOP_CHECKPOINT && !task->throttled)
    return CORE_STOP_THROTTLE;
  return CORE_STOP_FINAL;
}

/* Called when the slot of the task is due: its lease may have ended, the next
 * stage of stopping may be due, or the lease may have been extended. */
static void
on_timer (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];

  if (st->now_us >= lease_end_us (st, task))
    core_task_requeue (st, row);
  else if (task->next_stage_us > 0 && st->now_us >= task->next_stage_us)
    core_task_stop (st, row, next_stop_stage (task));
  else
    set_next_timer (st, row);
}

static void
expire_unfenced (struct cyc_core_state *st)
{
  if (st->unfenced == 0)
    return;
  for (uint32_t w = 0; w < st->worker_pool.high; w++)
    {
      uint64_t until_us = st->workers[w].unfenced_until_us;

      if (!cyc_pool_used_at (&st->worker_pool, w) || until_us == 0
          || until_us > st->now_us)
        continue;
      st->workers[w].unfenced_until_us = 0;
      st->unfenced--;
      core_worker_refresh (st, w);
    }
}

void
core_sys_expiry (struct cyc_core_state *st)
{
  uint64_t last = st->now_us / CORE_TIMER_SLOT_US;

  expire_unfenced (st);
  if (st->next_timer_slot == 0
      || last >= st->next_timer_slot + CORE_TIMER_SLOTS)
    st->next_timer_slot
        = last >= CORE_TIMER_SLOTS ? last - CORE_TIMER_SLOTS + 1 : 1;
  while (st->next_timer_slot <= last)
    {
      struct core_list *slot
          = &st->timer_slots[st->next_timer_slot % CORE_TIMER_SLOTS];
      uint32_t count = slot->count;

      st->next_timer_slot++;
      while (count-- > 0)
        on_timer (st, slot->head);
    }
}

static void
cancel_task (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  struct core_list *list = &st->jobs[task->job].tasks;

  if (task->state == CYC_TASK_QUEUED
      || (task->state == CYC_TASK_STARTING && task->emitting))
    {
      core_task_end (st, row, CYC_TASK_CANCELLED);
      return;
    }
  core_list_remove (list, CORE_LINKS (st->tasks, in_job), row);
  core_list_append (list, CORE_LINKS (st->tasks, in_job), row);
  if (task->stop_stage != CORE_STOP_FINAL)
    core_task_stop (st, row, CORE_STOP_FINAL);
}

void
core_sys_cancel (struct cyc_core_state *st, uint32_t budget)
{
  while (st->cancel.count > 0 && budget > 0)
    {
      uint32_t row = st->cancel.head;
      struct core_job *job = &st->jobs[row];

      if (job->cancel_tasks_left == 0 || job->tasks.count == 0)
        {
          core_list_remove (&st->cancel,
                            CORE_LINKS (st->jobs, in_cancel_or_ended), row);
          job->in_cancel = false;
          core_job_check_ended (st, row);
          continue;
        }
      job->cancel_tasks_left--;
      budget--;
      cancel_task (st, job->tasks.head);
    }
}

/* Returns the number of live replicas. @p surplus is the replica to remove
 * first, or CORE_NONE: the newest queued one, or the newest if none is queued.
 * So a queued replica is removed before one that was found running on a worker
 * that answered late. */
static uint32_t
count_live_replicas (const struct cyc_core_state *st, uint32_t job,
                     uint32_t *surplus)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_job);
  uint32_t live = 0;

  *surplus = CORE_NONE;
  for (uint32_t t = st->jobs[job].tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    {
      if (st->tasks[t].state == CYC_TASK_LOST
          || st->tasks[t].state == CYC_TASK_STOPPING)
        continue;
      live++;
      if (*surplus == CORE_NONE || st->tasks[t].state == CYC_TASK_QUEUED
          || st->tasks[*surplus].state != CYC_TASK_QUEUED)
        *surplus = t;
    }
  return live;
}

static bool
add_replica (struct cyc_core_state *st, uint32_t queue, uint32_t job)
{
  uint32_t row = core_task_create (st, job, st->queues[queue].next_task_index);

  if (row == CORE_NONE)
    return false;
  st->queues[queue].next_task_index++;
  /* A new index was never started before, so its start need not wait for
   * workers that a new owner has not reached. */
  st->tasks[row].started_by_this_owner = true;
  core_task_enqueue (st, row);
  return true;
}

static void
reconcile_replicas (struct cyc_core_state *st, uint32_t queue)
{
  uint32_t job = core_service_job (st, queue);
  uint32_t surplus;
  uint32_t live;

  if (job == CORE_NONE)
    return;
  live = count_live_replicas (st, job, &surplus);
  while (live < st->queues[queue].wanted_replicas
         && add_replica (st, queue, job))
    live++;
  while (live > st->queues[queue].wanted_replicas)
    {
      if (st->tasks[surplus].state == CYC_TASK_QUEUED)
        core_task_end (st, surplus, CYC_TASK_CANCELLED);
      else if (st->tasks[surplus].state == CYC_TASK_STARTING
               && st->tasks[surplus].emitting)
        core_task_requeue (st, surplus);
      else
        core_task_stop (st, surplus, CORE_STOP_FINAL);
      live = count_live_replicas (st, job, &surplus);
    }
}

void
core_sys_services (struct cyc_core_state *st)
{
  uint32_t count = st->dirty.count;

  while (count-- > 0)
    {
      uint32_t queue = st->dirty.head;

      core_list_remove (&st->dirty, CORE_LINKS (st->queues, in_dirty), queue);
      st->queues[queue].dirty = false;
      reconcile_replicas (st, queue);
    }
}

static double
ratio (uint64_t part, uint64_t whole)
{
  return whole == 0 ? 0 : (double)part / (double)whole;
}

/* Returns the dominant share of the team: its largest fraction of the total
 * millicores, memory or accelerators. Millicores and memory are the learned
 * needs of its tasks, because declared sizes are wrong by different factors.
 */
static double
dominant_share (const struct cyc_core_state *st, const struct core_team *team)
{
  double share = ratio (team->need_millicores, st->total_millicores);
  double memory = ratio (team->need_memory_mib, st->total_memory_mib);
  double accelerators
      = ratio (team->used_accelerators, st->total_accelerators);

  share = memory > share ? memory : share;
  return accelerators > share ? accelerators : share;
}

/* In the score, current use and decayed use have the same weight: current use
 * alone ignores what the team had before, decayed use alone lets the team
 * exceed its share for a whole half-life. */
void
core_team_update_score (struct cyc_core_state *st, struct core_team *team)
{
  double share = team->share_permille > 0 ? team->share_permille : 0.5;

  team->score = (dominant_share (st, team) + team->decayed_share) / share;
}

void
core_sys_shares (struct cyc_core_state *st)
{
  double elapsed_us = (double)(st->now_us - st->last_share_us);
  double decay = 0;
  double total_use = 0;
  double shares = 0;

  if (st->last_share_us > 0)
    decay = exp2 (-elapsed_us / (st->desc.share_half_life_ms * 1000.0));
  st->last_share_us = st->now_us;
  for (uint32_t t = 0; t < st->team_pool.high; t++)
    {
      struct core_team *team = &st->teams[t];

      team->decayed_share = team->decayed_share * decay
                            + dominant_share (st, team) * (1 - decay);
      core_team_update_score (st, team);
      if (team->tasks.count == 0 && team->wanted_millicores == 0)
        continue;
      total_use += dominant_share (st, team) + team->decayed_share;
      shares += team->share_permille;
    }
  st->fair_share_score = shares > 0 ? total_use / shares : 0;
}

/* Stops the newest tasks of each team that uses more than its balance, with a
 * checkpoint first. */
static void
enforce_balances (struct cyc_core_state *st)
{
  for (uint32_t t = 0; t < st->team_pool.high; t++)
    {
      struct core_team *team = &st->teams[t];
      uint64_t stopping_millicores = 0;
      uint64_t stopping_accelerators = 0;
      uint32_t row = team->tasks.tail;

      while (row != CORE_NONE
             && (team->used_millicores
                     > team->balance_millicores + stopping_millicores
                 || team->used_accelerators
                        > team->balance_accelerators + stopping_accelerators))
        {
          struct core_task *task = &st->tasks[row];
          uint32_t prev = task->in_team.prev;

          stopping_millicores += task->declared.millicores;
          stopping_accelerators += task->declared.accelerators;
          if (task->state == CYC_TASK_STARTING && task->emitting)
            core_task_requeue (st, row);
          else if (task->stop_stage == CORE_STOP_NONE)
            core_task_stop (st, row, CORE_STOP_CHECKPOINT);
          row = prev;
        }
    }
}

void
cyc_core_allow_starts (struct cyc_core *core, bool starts_allowed)
{
  struct cyc_core_state *st = core->state;

  core_trace (st, "allow %d", starts_allowed);
  if (starts_allowed && !st->starts_allowed && st->unfenced > 0)
    st->unfenced_sequence = st->sequence;
  st->starts_allowed = starts_allowed;
}

static void
run_placement (struct cyc_core_state *st)
{
  core_sys_health (st);
  core_sys_urgent (st);
  core_sys_gang (st);
  core_sys_class (st, CORE_SERVICE);
  core_sys_drains (st);
  core_sys_class (st, CORE_BATCH);
}

uint32_t
cyc_core_tick (struct cyc_core *core, uint64_t now_us,
               struct cyc_decision *out, uint32_t max)
{
  struct cyc_core_state *st = core->state;
  uint32_t cancel_budget = st->desc.cancel_per_tick;
  uint32_t count;

  st->now_us = now_us;
  st->tick++;
  core_sys_expiry (st);
  if (cancel_budget > max / 2 + 1)
    cancel_budget = max / 2 + 1;
  core_sys_cancel (st, cancel_budget);
  core_sys_services (st);
  core_sys_shares (st);
  enforce_balances (st);
  st->starts_left = st->emit.count < max ? max - st->emit.count : 0;
  if (st->starts_allowed)
    run_placement (st);
  count = core_emit_all (st, out, max);
  core_trace_tick (st, now_us, out, max, count);
  return count;
}
