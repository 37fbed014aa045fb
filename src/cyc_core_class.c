/**
 * @file
 * Placement of urgent, service and batch tasks. The team with the lowest score
 * (use divided by share) is served first, and within a team the queue with the
 * oldest job.
 */
#include "cyc_core_internal.h"

/* Each first start adds this many tokens and each retry takes one, so retries
 * are limited to this part of the starts. */
#define RETRY_TOKENS_PER_START 0.1
#define RETRY_TOKENS_MAX 1000.0
/* Failed searches for one class in one tick; bounds the time of a tick when
 * most tasks do not fit. */
#define MAX_FAILED_SEARCHES 256
/* Batch tasks of a team whose score exceeds the fair score by this factor wait
 * while a team below its share is blocked. Otherwise teams with small tasks
 * fill every gap and keep more than their share. With factors of 1.0 and 1.25
 * the largest deviation of a team from its share, in one user's benchmark
 * workload at 4 times the base load, was about 5 percentage points. */
#define YIELD_SHARE_FACTOR 1.1
/* Jobs examined in one queue for a task that can be started. */
#define MAX_JOBS_EXAMINED 256

enum placement_result
{
  PLACEMENT_STARTED,
  PLACEMENT_CLAIMED, /**< claims a worker; the next task may be tried */
  PLACEMENT_BLOCKED
};

static uint32_t
pick_team (const struct cyc_core_state *st, uint32_t count)
{
  uint32_t best = 0;

  for (uint32_t i = 1; i < count; i++)
    if (st->teams[st->team_scratch[i]].score
        < st->teams[st->team_scratch[best]].score)
      best = i;
  return best;
}

/* Returns whether the team must wait (see YIELD_SHARE_FACTOR). Teams are
 * visited in the order of their scores, so if one team must yield, all
 * remaining teams are above their share too. */
static bool
team_must_yield (const struct cyc_core_state *st, const struct core_team *team,
                 enum core_class class)
{
  return class == CORE_BATCH && st->starved_tick == st->tick
         && team->score > st->fair_share_score * YIELD_SHARE_FACTOR;
}

static uint32_t
pick_queue (const struct cyc_core_state *st, const struct core_team *team,
            enum core_class class)
{
  struct core_link_array rows = CORE_LINKS (st->queues, in_team);
  uint32_t best = CORE_NONE;
  uint64_t best_us = 0;

  for (uint32_t q = team->queues[class].head; q != CORE_NONE;
       q = core_list_next (rows, q))
    {
      uint64_t submitted_us;

      if (st->queues[q].blocked_tick == st->tick)
        continue;
      submitted_us = st->jobs[st->queues[q].jobs.head].submitted_us;
      if (best != CORE_NONE && submitted_us >= best_us)
        continue;
      best = q;
      best_us = submitted_us;
    }
  return best;
}

/* Moves the task and its job to the end of their lists, so that a task that
 * waits for a retry, another worker or its claim does not block later
 * tasks. */
static void
move_to_back (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  struct core_job *job = &st->jobs[task->job];

  core_list_remove (&job->queued, CORE_LINKS (st->tasks, in_queued_or_worker),
                    row);
  core_list_append (&job->queued, CORE_LINKS (st->tasks, in_queued_or_worker),
                    row);
  core_list_remove (&st->queues[job->queue].jobs,
                    CORE_LINKS (st->jobs, in_queue), task->job);
  core_list_append (&st->queues[job->queue].jobs,
                    CORE_LINKS (st->jobs, in_queue), task->job);
}

static uint32_t
pick_task (struct cyc_core_state *st, uint32_t queue)
{
  struct core_link_array rows = CORE_LINKS (st->jobs, in_queue);
  uint32_t job = st->queues[queue].jobs.head;

  for (uint32_t i = 0; job != CORE_NONE && i < MAX_JOBS_EXAMINED; i++)
    {
      uint32_t task = st->jobs[job].queued.head;
      uint32_t next = core_list_next (rows, job);

      if (st->tasks[task].claim_worker != CORE_NONE
          || (st->tasks[task].is_retry && st->retry_tokens < 1))
        {
          move_to_back (st, task);
          next = st->queues[queue].jobs.head;
        }
      else if (!core_task_awaits_fencing (st, task))
        return task;
      job = next;
    }
  return CORE_NONE;
}

static void
update_retry_tokens (struct cyc_core_state *st, struct core_task *task)
{
  if (task->is_retry)
    st->retry_tokens -= 1;
  else if (st->retry_tokens < RETRY_TOKENS_MAX)
    st->retry_tokens += RETRY_TOKENS_PER_START;
  task->is_retry = false;
}

/* Urgent tasks respect gang reservations like other tasks, because the
 * capacity that becomes free there would attract all urgent tasks. Only an
 * urgent task for which no other task can be preempted may use reserved
 * capacity. */
static uint32_t
find_fit_in_reservation (struct cyc_core_state *st,
                         struct core_placement_request *request)
{
  if (st->reserved_gang_count == 0)
    return CORE_NONE;
  request->ignore_reservations = true;
  return core_find_fit (st, request);
}

static enum placement_result
start_task (struct cyc_core_state *st, uint32_t queue, uint32_t task,
            uint32_t worker)
{
  update_retry_tokens (st, &st->tasks[task]);
  st->queues[queue].blocked_since_us = 0;
  core_task_start (st, task, worker);
  return PLACEMENT_STARTED;
}

static enum placement_result
place_task (struct cyc_core_state *st, uint32_t queue, uint32_t task)
{
  struct core_queue *q = &st->queues[queue];
  struct core_placement_request request;
  uint32_t worker;

  core_placement_request_init (st, task, &request);
  if (!core_team_has_balance (st, queue, 1))
    worker = CORE_NONE;
  else if (q->kind == CYC_KIND_SERVICE && q->spread != CYC_SPREAD_NONE)
    worker = core_find_fit_spread (st, &request);
  else
    worker = core_find_fit (st, &request);
  if (worker != CORE_NONE)
    return start_task (st, queue, task, worker);
  if (st->failed_searches_left > 0)
    st->failed_searches_left--;
  if (q->blocked_since_us == 0)
    q->blocked_since_us = st->now_us;
  if (core_refuse_unplaceable (st, st->tasks[task].job, 1))
    return PLACEMENT_BLOCKED;
  if (core_class_of (q) == CORE_URGENT)
    {
      if (core_preempt_for (st, task))
        return PLACEMENT_CLAIMED;
      if (core_team_has_balance (st, queue, 1))
        worker = find_fit_in_reservation (st, &request);
      if (worker != CORE_NONE)
        return start_task (st, queue, task, worker);
      st->urgent_blocked_tick = st->tick;
      core_drain_release_oldest (st);
    }
  if (core_class_of (q) == CORE_BATCH && core_drain_for (st, task))
    return PLACEMENT_CLAIMED;
  if (st->tasks[task].failed_count > 0)
    move_to_back (st, task);
  return PLACEMENT_BLOCKED;
}

static uint32_t
list_active_teams (struct cyc_core_state *st, enum core_class class)
{
  struct core_link_array rows = CORE_LINKS (st->teams, in_active[class]);
  uint32_t count = 0;

  for (uint32_t t = st->active[class].head; t != CORE_NONE;
       t = core_list_next (rows, t))
    st->team_scratch[count++] = t;
  return count;
}

void
core_sys_class (struct cyc_core_state *st, enum core_class class)
{
  uint32_t teams = list_active_teams (st, class);

  st->failed_searches_left = MAX_FAILED_SEARCHES;
  while (teams > 0 && st->starts_left > 0 && st->failed_searches_left > 0)
    {
      uint32_t position = pick_team (st, teams);
      struct core_team *team = &st->teams[st->team_scratch[position]];
      uint32_t queue = pick_queue (st, team, class);
      enum placement_result placement_result = PLACEMENT_BLOCKED;
      uint32_t task;

      if (team_must_yield (st, team, class))
        return;
      if (queue == CORE_NONE)
        {
          st->team_scratch[position] = st->team_scratch[--teams];
          continue;
        }
      task = pick_task (st, queue);
      if (task != CORE_NONE)
        placement_result = place_task (st, queue, task);
      if (placement_result == PLACEMENT_STARTED)
        st->starts_left--;
      else if (placement_result == PLACEMENT_BLOCKED)
        {
          st->queues[queue].blocked_tick = st->tick;
          if (class == CORE_BATCH && team->score < st->fair_share_score)
            st->starved_tick = st->tick;
        }
    }
}
