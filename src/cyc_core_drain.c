/**
 * @file
 * Room for large batch tasks of teams below their share.
 *
 * Small tasks of other teams fill every gap before a gap is large enough for a
 * large task. A worker with much free capacity is therefore claimed for it:
 * what ends there is not replaced until the task fits.
 */
#include "cyc_core_internal.h"

/* A claim that did not lead to a start is tried on another worker. */
#define DRAIN_US 15000000
/* At most one in so many workers drains, because their room stays empty. */
#define DRAIN_PART 8
/* Workers examined for a claim. */
#define LOOK_DRAIN 32

static bool
may_drain (const struct cyc_core_state *st, uint32_t row,
           struct cyc_resources need)
{
  const struct core_worker *worker = &st->workers[row];

  return worker->held.millicores == 0 && worker->held.memory_mib == 0
         && worker->reserved_until_us <= st->now_us
         && worker->refused_until_us <= st->now_us
         && core_res_fits (need, worker->capacity);
}

static bool
failed_on (const struct core_task *task, uint32_t worker)
{
  for (uint32_t i = 0; i < task->failed_count; i++)
    if (task->failed_on[i] == worker)
      return true;
  return false;
}

/* The worker with the most free millicores among the first of the highest
 * buckets. */
static uint32_t
choose (const struct cyc_core_state *st, const struct core_want *want)
{
  struct core_rows rows = CORE_ROWS (st->workers, in_bucket);
  uint32_t looks = LOOK_DRAIN;

  for (uint32_t bucket = CORE_PLANES * CORE_CLASSES * CORE_CLASSES;
       bucket-- > 0 && looks > 0;)
    {
      uint32_t best = CORE_NONE;

      if (bucket % CORE_CLASSES == CORE_CLASSES - 1
          && st->memory_mask[bucket / CORE_CLASSES / CORE_CLASSES]
                            [bucket / CORE_CLASSES % CORE_CLASSES]
                 == 0)
        {
          bucket -= CORE_CLASSES - 1;
          continue;
        }
      for (uint32_t w = st->buckets[bucket].head; w != CORE_NONE && looks > 0;
           w = core_list_next (rows, w))
        {
          looks--;
          if (may_drain (st, w, want->need)
              && !failed_on (&st->tasks[want->task], w)
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
  struct core_want want;
  uint32_t worker;

  if (team->score >= st->fair_score || st->urgent_blocked_tick == st->tick
      || st->drains * DRAIN_PART >= st->worker_pool.used
      || st->tasks[task].retry || !core_team_has_balance (st, queue, 1))
    return false;
  core_want_set (st, task, &want);
  if (want.need.accelerators > 0)
    return false;
  worker = choose (st, &want);
  if (worker == CORE_NONE)
    return false;
  core_claim (st, task, worker, want.need);
  st->tasks[task].drain_until_us = st->now_us + DRAIN_US;
  st->drains++;
  return true;
}

void
core_drain_drop (struct cyc_core_state *st)
{
  struct core_rows rows = CORE_ROWS (st->tasks, in_claim);

  for (uint32_t t = st->drains > 0 ? st->claims.head : CORE_NONE;
       t != CORE_NONE; t = core_list_next (rows, t))
    if (st->tasks[t].drain_until_us > 0)
      {
        core_task_drop_claim (st, t);
        return;
      }
}

static void
try_drain (struct cyc_core_state *st, uint32_t row)
{
  uint32_t queue = st->jobs[st->tasks[row].job].queue;
  uint32_t claimed = st->tasks[row].claim_worker;
  uint32_t worker = CORE_NONE;
  struct core_want want;

  core_want_set (st, row, &want);
  if (core_team_has_balance (st, queue, 1))
    worker = core_find_room (st, &want);
  if (worker != CORE_NONE)
    {
      st->starts_left--;
      core_start_on (st, row, worker);
    }
  else if (st->now_us >= st->tasks[row].drain_until_us
           || !core_worker_usable (st, &st->workers[claimed]))
    core_task_drop_claim (st, row);
}

void
core_sys_drains (struct cyc_core_state *st)
{
  struct core_rows rows = CORE_ROWS (st->tasks, in_claim);
  uint32_t next;

  for (uint32_t t = st->claims.head; t != CORE_NONE && st->starts_left > 0;
       t = next)
    {
      next = core_list_next (rows, t);
      if (st->tasks[t].drain_until_us > 0)
        try_drain (st, t);
    }
}
