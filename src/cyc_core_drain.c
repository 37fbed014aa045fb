/**
 * @file
 * Draining of workers for large batch tasks of teams below their share.
 *
 * Small tasks of other teams occupy free capacity before enough of it
 * accumulates for a large task. A worker with much free capacity is therefore
 * claimed for the large task: ended tasks are not replaced there until the
 * large task fits.
 */
#include "cyc_core_internal.h"

/* After this time without a start the claim is released, and the task may
 * claim another worker. */
#define DRAIN_TIMEOUT_US 15000000
/* At most one in this many workers drains, because draining leaves capacity
 * idle. */
#define WORKERS_PER_DRAIN 8
/* Workers examined for one claim. */
#define MAX_WORKERS_EXAMINED 32

static bool
may_drain (const struct cyc_core_state *st, uint32_t row,
           struct cyc_resources need)
{
  const struct core_worker *worker = &st->workers[row];

  return worker->claimed.millicores == 0 && worker->claimed.memory_mib == 0
         && worker->reserved_until_us <= st->now_us
         && worker->refused_until_us <= st->now_us
         && core_res_fits (need, worker->capacity);
}

static bool
task_failed_on (const struct core_task *task, uint32_t worker)
{
  for (uint32_t i = 0; i < task->failed_count; i++)
    if (task->failed_on[i] == worker)
      return true;
  return false;
}

/* Visits the buckets from the largest free capacity down; returns the worker
 * with the most free millicores of the first bucket that has a candidate. */
static uint32_t
choose_worker_to_drain (const struct cyc_core_state *st,
                        const struct core_placement_request *request)
{
  struct core_link_array rows = CORE_LINKS (st->workers, in_bucket);
  uint32_t remaining = MAX_WORKERS_EXAMINED;

  for (uint32_t bucket = CORE_ACCELERATOR_CLASSES * CORE_CAPACITY_CLASSES
                         * CORE_CAPACITY_CLASSES;
       bucket-- > 0 && remaining > 0;)
    {
      uint32_t best = CORE_NONE;

      if (bucket % CORE_CAPACITY_CLASSES == CORE_CAPACITY_CLASSES - 1
          && st->memory_mask[bucket / CORE_CAPACITY_CLASSES
                             / CORE_CAPACITY_CLASSES][bucket
                                                      / CORE_CAPACITY_CLASSES
                                                      % CORE_CAPACITY_CLASSES]
                 == 0)
        {
          bucket -= CORE_CAPACITY_CLASSES - 1;
          continue;
        }
      for (uint32_t w = st->buckets[bucket].head;
           w != CORE_NONE && remaining > 0; w = core_list_next (rows, w))
        {
          remaining--;
          if (may_drain (st, w, request->need)
              && !task_failed_on (&st->tasks[request->task], w)
              && (best == CORE_NONE
                  || st->workers[w].free.millicores
                         > st->workers[best].free.millicores))
            best = w;
        }
      if (best != CORE_NONE)
        return best;
    }
  return CORE_NONE;
}

bool
core_drain_for (struct cyc_core_state *st, uint32_t task)
{
  uint32_t queue = st->jobs[st->tasks[task].job].queue;
  const struct core_team *team = &st->teams[st->queues[queue].team];
  struct core_placement_request request;
  uint32_t worker;

  if (team->score >= st->fair_share_score
      || st->urgent_blocked_tick == st->tick
      || st->active_drains * WORKERS_PER_DRAIN >= st->worker_pool.used
      || st->tasks[task].is_retry || !core_team_has_balance (st, queue, 1))
    return false;
  core_placement_request_init (st, task, &request);
  if (request.need.accelerators > 0)
    return false;
  worker = choose_worker_to_drain (st, &request);
  if (worker == CORE_NONE)
    return false;
  core_task_claim (st, task, worker, request.need);
  st->tasks[task].drain_until_us = st->now_us + DRAIN_TIMEOUT_US;
  st->active_drains++;
  return true;
}

void
core_drain_release_oldest (struct cyc_core_state *st)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_claim);

  for (uint32_t t = st->active_drains > 0 ? st->claims.head : CORE_NONE;
       t != CORE_NONE; t = core_list_next (rows, t))
    if (st->tasks[t].drain_until_us > 0)
      {
        core_task_release_claim (st, t);
        return;
      }
}

static void
update_drain (struct cyc_core_state *st, uint32_t row)
{
  uint32_t queue = st->jobs[st->tasks[row].job].queue;
  uint32_t claim_worker = st->tasks[row].claim_worker;
  uint32_t worker = CORE_NONE;
  struct core_placement_request request;

  core_placement_request_init (st, row, &request);
  if (core_team_has_balance (st, queue, 1))
    worker = core_find_fit (st, &request);
  if (worker != CORE_NONE)
    {
      st->starts_left--;
      core_task_start (st, row, worker);
    }
  else if (st->now_us >= st->tasks[row].drain_until_us
           || !core_worker_usable (st, &st->workers[claim_worker]))
    core_task_release_claim (st, row);
}

void
core_sys_drains (struct cyc_core_state *st)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_claim);
  uint32_t next;

  for (uint32_t t = st->claims.head; t != CORE_NONE && st->starts_left > 0;
       t = next)
    {
      next = core_list_next (rows, t);
      if (st->tasks[t].drain_until_us > 0)
        update_drain (st, t);
    }
}
