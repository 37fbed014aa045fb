/**
 * @file
 * Urgent tasks: if no worker has enough free capacity, batch tasks are
 * preempted.
 *
 * The victims are the tasks of one worker that lose the least work. The urgent
 * task claims the capacity that they free, so that no other task takes it, and
 * starts when they have ended.
 */
#include "cyc_core_internal.h"

#include <math.h>

/* Newest batch tasks whose workers are compared; bounds the cost. */
#define MAX_VICTIM_CANDIDATES 48
#define MAX_VICTIMS 8

/* Batch tasks of one worker that are preempted for an urgent task. */
struct victims
{
  uint32_t rows[MAX_VICTIMS];
  uint32_t count;
  uint64_t lost_millicore_us; /**< work that is lost */
};

/* Returns whether the batch tasks of the team keep batch_floor_permille of its
 * share when @p millicores more are preempted. */
static bool
batch_floor_allows (const struct cyc_core_state *st,
                    const struct core_team *team, uint64_t millicores)
{
  uint64_t floor = st->total_millicores * team->share_permille / 1000
                   * st->desc.batch_floor_permille / 1000;

  return team->batch_used_millicores
         >= floor + team->preempting_millicores + millicores;
}

static bool
is_preemptible (const struct cyc_core_state *st, uint32_t row)
{
  const struct core_task *task = &st->tasks[row];
  const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];

  return queue->kind == CYC_KIND_BATCH && !queue->urgent && queue->repeatable
         && task->state == CYC_TASK_RUNNING
         && task->stop_stage == CORE_STOP_NONE;
}

/* Returns the work that a stop of the task loses, in millicores times
 * microseconds. */
static uint64_t
lost_work (const struct cyc_core_state *st, const struct core_task *task)
{
  return (st->now_us - task->saved_until_us)
         * (task->declared.millicores + 1ULL);
}

/* Returns the free capacity of the worker after the victims have ended. */
static struct cyc_resources
free_after_preemption (const struct cyc_core_state *st, uint32_t row,
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
  return core_worker_free_capacity (st, &copy, (struct cyc_resources){ 0 });
}

/* What victims must free for a task. If the balance of its team is exhausted,
 * only tasks of that team are victims, because only their end frees balance.
 */
struct preempt_request
{
  struct core_placement_request request;
  uint32_t team;               /**< CORE_NONE: victims of any team */
  uint64_t missing_millicores; /**< by which the team's balance is exceeded */
  uint64_t missing_accelerators;
};

static bool
victims_suffice (const struct cyc_core_state *st, uint32_t worker,
                 const struct victims *victims,
                 const struct preempt_request *request)
{
  uint64_t millicores = 0;
  uint64_t accelerators = 0;

  for (uint32_t i = 0; i < victims->count; i++)
    {
      millicores += st->tasks[victims->rows[i]].declared.millicores;
      accelerators += st->tasks[victims->rows[i]].declared.accelerators;
    }
  return millicores >= request->missing_millicores
         && accelerators >= request->missing_accelerators
         && core_res_fits (request->request.need,
                           free_after_preemption (st, worker, victims));
}

static uint64_t
selected_team_millicores (const struct cyc_core_state *st,
                          const struct victims *victims, uint32_t team)
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

/* Selects victims among the tasks of the worker, the newest first, because
 * they lose the least work. Returns false if the allowed victims are not
 * enough. */
static bool
select_victims_on_worker (const struct cyc_core_state *st, uint32_t worker,
                          const struct preempt_request *request,
                          struct victims *out)
{
  *out = (struct victims){ 0 };
  for (uint32_t t = st->workers[worker].tasks.tail; t != CORE_NONE;
       t = st->tasks[t].in_queued_or_worker.prev)
    {
      const struct core_task *task = &st->tasks[t];
      uint32_t team = st->queues[st->jobs[task->job].queue].team;

      if (!is_preemptible (st, t)
          || (request->team != CORE_NONE && request->team != team)
          || !batch_floor_allows (st, &st->teams[team],
                                  selected_team_millicores (st, out, team)
                                      + task->declared.millicores))
        continue;
      out->rows[out->count++] = t;
      out->lost_millicore_us += lost_work (st, task);
      if (victims_suffice (st, worker, out, request))
        return true;
      if (out->count == MAX_VICTIMS)
        return false;
    }
  return false;
}

/* Returns whether @p victims more preemptions stay within
 * preempt_max_permille of the running batch tasks. */
static bool
within_preempt_limit (const struct cyc_core_state *st, uint32_t victims)
{
  return (st->preempting_tasks + victims) * 1000
         <= st->batch_running * st->desc.preempt_max_permille;
}

static bool
worker_claimable (const struct cyc_core_state *st, uint32_t worker,
                  const struct preempt_request *request)
{
  const struct core_task *task = &st->tasks[request->request.task];

  for (uint32_t i = 0; i < task->failed_count; i++)
    if (task->failed_on[i] == worker)
      return false;
  return core_worker_usable (st, &st->workers[worker])
         && st->workers[worker].refused_until_us <= st->now_us
         && st->workers[worker].reserved_until_us <= st->now_us;
}

/* Returns the worker whose victims lose the least work, or CORE_NONE. */
static uint32_t
select_victims (const struct cyc_core_state *st,
                const struct preempt_request *request, struct victims *best)
{
  uint32_t best_worker = CORE_NONE;
  uint32_t row = st->batch.tail;

  for (uint32_t i = 0; row != CORE_NONE && i < MAX_VICTIM_CANDIDATES; i++)
    {
      uint32_t worker = st->tasks[row].worker;
      struct victims found;

      if (is_preemptible (st, row) && worker_claimable (st, worker, request)
          && select_victims_on_worker (st, worker, request, &found)
          && within_preempt_limit (st, found.count)
          && (best_worker == CORE_NONE
              || found.lost_millicore_us < best->lost_millicore_us))
        {
          *best = found;
          best_worker = worker;
        }
      row = st->tasks[row].in_batch.prev;
    }
  return best_worker;
}

static void
preempt_task (struct cyc_core_state *st, uint32_t row)
{
  struct core_task *task = &st->tasks[row];
  const struct core_queue *queue = &st->queues[st->jobs[task->job].queue];

  task->preempted = true;
  st->preempting_tasks++;
  st->preempted++;
  st->teams[queue->team].preempting_millicores += task->declared.millicores;
  core_task_stop (st, row, CORE_STOP_CHECKPOINT);
}

/* Returns by how much @p used plus @p more exceeds the balance. */
static uint64_t
balance_shortfall (uint64_t used, uint64_t more, uint64_t balance)
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
  struct preempt_request request = { .team = CORE_NONE };
  uint32_t worker;

  core_placement_request_init (st, task, &request.request);
  request.missing_millicores = balance_shortfall (
      team->used_millicores, queue->size.millicores, team->balance_millicores);
  request.missing_accelerators
      = balance_shortfall (team->used_accelerators, queue->size.accelerators,
                           team->balance_accelerators);
  if (request.missing_millicores > 0 || request.missing_accelerators > 0)
    request.team = queue->team;
  worker = select_victims (st, &request, &victims);
  if (worker == CORE_NONE)
    return false;
  core_task_claim (st, task, worker, request.request.need);
  for (uint32_t i = 0; i < victims.count; i++)
    preempt_task (st, victims.rows[i]);
  return true;
}

static bool
victims_remain (const struct cyc_core_state *st, uint32_t worker)
{
  struct core_link_array rows = CORE_LINKS (st->tasks, in_queued_or_worker);

  for (uint32_t t = st->workers[worker].tasks.head; t != CORE_NONE;
       t = core_list_next (rows, t))
    if (st->tasks[t].preempted)
      return true;
  return false;
}

/* Starts a task with a claim if it fits now. If it still does not fit after
 * its victims have ended, its claim is dropped and it is placed like any other
 * task. */
static void
try_start_claimed (struct cyc_core_state *st, uint32_t row)
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

/* The peak of urgent use halves in each half-life of shares, but never falls
 * below the current use. */
static void
decay_urgent_peak (struct cyc_core_state *st)
{
  double elapsed_us = (double)(st->now_us - st->urgent_peak_us);
  double decay = exp2 (-elapsed_us / (st->desc.share_half_life_ms * 1000.0));

  st->urgent_peak_us = st->now_us;
  st->urgent_peak_millicores *= decay;
  if (st->urgent_peak_millicores < (double)st->urgent_millicores)
    st->urgent_peak_millicores = (double)st->urgent_millicores;
}

/* Returns by how many millicores the peak of urgent use exceeds the current
 * use. */
static double
unused_peak_millicores (const struct cyc_core_state *st)
{
  return st->urgent_peak_millicores - (double)st->urgent_millicores;
}

void
core_urgent_reserve (struct cyc_core_state *st, uint32_t worker,
                     struct cyc_resources capacity)
{
  struct core_worker *w = &st->workers[worker];
  bool listed = w->urgent_reserved.millicores > 0;

  capacity.accelerators = 0;
  if (capacity.millicores == 0
      || (double)st->urgent_reserved_millicores >= unused_peak_millicores (st))
    return;
  w->urgent_reserved = core_res_add (w->urgent_reserved, capacity);
  st->urgent_reserved_millicores += capacity.millicores;
  if (!listed)
    core_list_append (&st->urgent_reserved_workers,
                      CORE_LINKS (st->workers, in_urgent_reserved), worker);
}

void
core_urgent_release (struct cyc_core_state *st, uint32_t worker,
                     struct cyc_resources capacity)
{
  struct core_worker *w = &st->workers[worker];
  uint32_t before = w->urgent_reserved.millicores;

  if (before == 0)
    return;
  w->urgent_reserved = core_res_sub (w->urgent_reserved, capacity);
  st->urgent_reserved_millicores -= before - w->urgent_reserved.millicores;
  if (w->urgent_reserved.millicores == 0)
    {
      w->urgent_reserved = (struct cyc_resources){ 0 };
      core_list_remove (&st->urgent_reserved_workers,
                        CORE_LINKS (st->workers, in_urgent_reserved), worker);
    }
  core_worker_refresh (st, worker);
}

static void
release_excess_urgent_reservations (struct cyc_core_state *st)
{
  /* The reservations may exceed the unused peak by the one listed last,
   * because the peak decays continuously. */
  double slack = st->urgent_reserved_workers.count > 0
                     ? st->workers[st->urgent_reserved_workers.tail]
                           .urgent_reserved.millicores
                     : 0;

  while (st->urgent_reserved_workers.count > 0
         && (double)st->urgent_reserved_millicores
                > unused_peak_millicores (st) + slack)
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
        try_start_claimed (st, t);
    }
  core_sys_class (st, CORE_URGENT);
  decay_urgent_peak (st);
  release_excess_urgent_reservations (st);
}
