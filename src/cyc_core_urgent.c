/**
 * @file
 * Urgent tasks: when nothing fits, batch tasks make room.
 *
 * The victims are tasks of one worker that lose the least work. The urgent
 * task claims the room that they leave, so that nothing else takes it, and is
 * started when they are gone.
 */
#include "cyc_core_internal.h"

#include <math.h>

/* Newest batch tasks whose workers are compared: bounds the cost. */
#define LOOK_VICTIMS 48
#define MOST_VICTIMS 8

struct victims
{
  uint32_t rows[MOST_VICTIMS];
  uint32_t count;
  uint64_t lost; /**< millicores times microseconds */
};

static bool
floor_allows (const struct cyc_core_state *st, const struct core_team *team,
              uint64_t millicores)
{
  uint64_t floor = st->total_millicores * team->share_permille / 1000
                   * st->desc.batch_floor_permille / 1000;

  return team->batch_used_millicores
         >= floor + team->preempting_millicores + millicores;
}

static bool
is_victim (const struct cyc_core_state *st, uint32_t row)
{
  const struct core_task *task = &st->tasks[row];
  const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];

  return queue->kind == CYC_KIND_BATCH && !queue->urgent && queue->repeatable
         && task->state == CYC_TASK_RUNNING
         && task->stop_stage == CORE_STOP_NONE;
}

static uint64_t
lost_work (const struct cyc_core_state *st, const struct core_task *task)
{
  return (st->now_us - task->saved_until_us)
         * (task->declared.millicores + 1ULL);
}

/* What the worker will have free when the victims are gone. */
static struct cyc_res
room_without (const struct cyc_core_state *st, uint32_t row,
              const struct victims *victims)
{
  struct core_worker copy = st->workers[row];

  for (uint32_t i = 0; i < victims->count; i++)
    {
      const struct core_task *task = &st->tasks[victims->rows[i]];

      copy.need = core_need_sub (copy.need, task->need);
      copy.declared = core_res_sub (copy.declared, task->declared);
      if (task->started_us > copy.measured_us)
        copy.unmeasured = core_res_sub (copy.unmeasured, task->estimate);
      else
        copy.measured = core_res_sub (copy.measured, task->used);
      copy.tasks.count--;
    }
  return core_worker_free_capacity (st, &copy, (struct cyc_res){ 0 });
}

/* With @p team set only its own tasks count, because their end also frees
 * its balance. */
struct wish
{
  struct core_placement_request request;
  uint32_t team;
  uint64_t millicores; /**< balance that is missing */
  uint64_t accelerators;
};

static bool
enough (const struct cyc_core_state *st, uint32_t worker,
        const struct victims *victims, const struct wish *wish)
{
  uint64_t millicores = 0;
  uint64_t accelerators = 0;

  for (uint32_t i = 0; i < victims->count; i++)
    {
      millicores += st->tasks[victims->rows[i]].declared.millicores;
      accelerators += st->tasks[victims->rows[i]].declared.accelerators;
    }
  return millicores >= wish->millicores && accelerators >= wish->accelerators
         && core_res_fits (wish->request.need,
                           room_without (st, worker, victims));
}

static uint64_t
chosen_of_team (const struct cyc_core_state *st, const struct victims *victims,
                uint32_t team)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < victims->count; i++)
    {
      const struct core_task *task = &st->tasks[victims->rows[i]];

      if (st->queues[st->jobs[task->job].queue].team == team)
        sum += task->declared.millicores;
    }
  return sum;
}

/* Newest first: they lost the least. */
static bool
choose_on_worker (const struct cyc_core_state *st, uint32_t worker,
                  const struct wish *wish, struct victims *out)
{
  *out = (struct victims){ 0 };
  for (uint32_t t = st->workers[worker].tasks.tail; t != CORE_NONE;
       t = st->tasks[t].in_place.prev)
    {
      const struct core_task *task = &st->tasks[t];
      uint32_t team = st->queues[st->jobs[task->job].queue].team;

      if (!is_victim (st, t) || (wish->team != CORE_NONE && wish->team != team)
          || !floor_allows (st, &st->teams[team],
                            chosen_of_team (st, out, team)
                                + task->declared.millicores))
        continue;
      out->rows[out->count++] = t;
      out->lost += lost_work (st, task);
      if (enough (st, worker, out, wish))
        return true;
      if (out->count == MOST_VICTIMS)
        return false;
    }
  return false;
}

static bool
bound_allows (const struct cyc_core_state *st, uint32_t victims)
{
  return (st->preempting_tasks + victims) * 1000
         <= st->batch_running * st->desc.preempt_max_permille;
}

static bool
worker_ready (const struct cyc_core_state *st, uint32_t worker,
              const struct wish *wish)
{
  const struct core_task *task = &st->tasks[wish->request.task];

  for (uint32_t i = 0; i < task->failed_count; i++)
    if (task->failed_on[i] == worker)
      return false;
  return core_worker_usable (st, &st->workers[worker])
         && st->workers[worker].refused_until_us <= st->now_us
         && st->workers[worker].reserved_until_us <= st->now_us;
}

static uint32_t
choose (const struct cyc_core_state *st, const struct wish *wish,
        struct victims *best)
{
  uint32_t at = CORE_NONE;
  uint32_t row = st->batch.tail;

  for (uint32_t i = 0; row != CORE_NONE && i < LOOK_VICTIMS; i++)
    {
      uint32_t worker = st->tasks[row].worker;
      struct victims found;

      if (is_victim (st, row) && worker_ready (st, worker, wish)
          && choose_on_worker (st, worker, wish, &found)
          && bound_allows (st, found.count)
          && (at == CORE_NONE || found.lost < best->lost))
        {
          *best = found;
          at = worker;
        }
      row = st->tasks[row].in_batch.prev;
    }
  return at;
}

static void
preempt (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];

  task->preempted = true;
  st->preempting_tasks++;
  st->preempted++;
  st->teams[queue->team].preempting_millicores += task->declared.millicores;
  core_task_stop (st, row, CORE_STOP_CHECKPOINT);
}

static uint64_t
missing (uint64_t used, uint64_t more, uint64_t balance)
{
  return used + more > balance ? used + more - balance : 0;
}

bool
core_preempt_for (struct cyc_core_state *st, uint32_t task)
{
  const struct core_queue *queue
      = &st->queues[st->jobs[st->tasks[task].job].queue];
  const struct core_team *team = &st->teams[queue->team];
  struct victims victims = { 0 };
  struct wish wish = { .team = CORE_NONE };
  uint32_t worker;

  core_placement_request_init (st, task, &wish.request);
  wish.millicores = missing (team->used_millicores, queue->size.millicores,
                             team->balance_millicores);
  wish.accelerators
      = missing (team->used_accelerators, queue->size.accelerators,
                 team->balance_accelerators);
  if (wish.millicores > 0 || wish.accelerators > 0)
    wish.team = queue->team;
  worker = choose (st, &wish, &victims);
  if (worker == CORE_NONE)
    return false;
  core_task_claim (st, task, worker, wish.request.need);
  for (uint32_t i = 0; i < victims.count; i++)
    preempt (st, victims.rows[i]);
  return true;
}

static bool
victims_remain (const struct cyc_core_state *st, uint32_t worker)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_place);

  for (uint32_t t = st->workers[worker].tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    if (st->tasks[t].preempted)
      return true;
  return false;
}

/* A claim whose victims are gone and that still does not fit is dropped; the
 * task is then placed like any other. */
static void
try_claim (struct cyc_core_state *st, uint32_t row)
{
  uint32_t queue = st->jobs[st->tasks[row].job].queue;
  uint32_t worker = CORE_NONE;
  struct core_placement_request request;

  core_placement_request_init (st, row, &request);
  if (core_team_has_balance (st, queue, 1)
      && !core_task_awaits_fencing (st, row))
    worker = core_find_fit (st, &request);
  if (worker != CORE_NONE)
    {
      st->starts_left--;
      core_task_start (st, row, worker);
    }
  else if (!victims_remain (st, st->tasks[row].claim_worker))
    core_task_release_claim (st, row);
}

/* The peak falls by half in the half-life of shares. */
static void
follow_peak (struct cyc_core_state *st)
{
  double passed_us = (double)(st->now_us - st->urgent_peak_us);
  double keep = exp2 (-passed_us / (st->desc.share_half_life_ms * 1000.0));

  st->urgent_peak_us = st->now_us;
  st->urgent_peak_millicores *= keep;
  if (st->urgent_peak_millicores < (double)st->urgent_millicores)
    st->urgent_peak_millicores = (double)st->urgent_millicores;
}

/* Millicores that urgent tasks lately used above what they use now. */
static double
spare_peak (const struct cyc_core_state *st)
{
  return st->urgent_peak_millicores - (double)st->urgent_millicores;
}

void
core_urgent_reserve (struct cyc_core_state *st, uint32_t worker,
                     struct cyc_res capacity)
{
  struct core_worker *w = &st->workers[worker];
  bool listed = w->urgent_reserved.millicores > 0;

  capacity.accelerators = 0;
  if (capacity.millicores == 0
      || (double)st->urgent_reserved_millicores >= spare_peak (st))
    return;
  w->urgent_reserved = core_res_add (w->urgent_reserved, capacity);
  st->urgent_reserved_millicores += capacity.millicores;
  if (!listed)
    core_list_append (&st->urgent_reserved_workers,
                      CORE_LINKS (st->workers, in_urgent_reserved), worker);
}

void
core_urgent_release (struct cyc_core_state *st, uint32_t worker,
                     struct cyc_res capacity)
{
  struct core_worker *w = &st->workers[worker];
  uint32_t before = w->urgent_reserved.millicores;

  if (before == 0)
    return;
  w->urgent_reserved = core_res_sub (w->urgent_reserved, capacity);
  st->urgent_reserved_millicores -= before - w->urgent_reserved.millicores;
  if (w->urgent_reserved.millicores == 0)
    {
      w->urgent_reserved = (struct cyc_res){ 0 };
      core_list_remove (&st->urgent_reserved_workers,
                        CORE_LINKS (st->workers, in_urgent_reserved), worker);
    }
  core_worker_refresh (st, worker);
}

static void
trim_holds (struct cyc_core_state *st)
{
  /* One hold may reach above the peak, because the peak falls all the time. */
  double slack = st->urgent_reserved_workers.count > 0
                     ? st->workers[st->urgent_reserved_workers.tail]
                           .urgent_reserved.millicores
                     : 0;

  while (st->urgent_reserved_workers.count > 0
         && (double)st->urgent_reserved_millicores > spare_peak (st) + slack)
    core_urgent_release (
        st, st->urgent_reserved_workers.head,
        st->workers[st->urgent_reserved_workers.head].urgent_reserved);
}

void
core_sys_urgent (struct cyc_core_state *st)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_claim);
  uint32_t next;

  for (uint32_t t = st->claims.head; t != CORE_NONE && st->starts_left > 0;
       t = next)
    {
      next = core_list_next (rows, t);
      if (st->tasks[t].drain_until_us == 0)
        try_claim (st, t);
    }
  core_sys_class (st, CORE_URGENT);
  follow_peak (st);
  trim_holds (st);
}
