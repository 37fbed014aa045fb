/* Placement: the order of waiting stages and the choice of workers. */

#include "cyc_cell_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Largest priority value that affects the rank, and rank offsets above all
 * ranks by priority. */
#define PRIORITY_MAX 1000
#define RANK_OVER_RATE 4000
#define RANK_EXPIRED 8000
/** A service that has been short of an instance for longer comes first. Users
 * count the instance as lost after 6 s, of which advice takes a half in the
 * worst case. */
#define SHORT_MAX_US 2000000
/** Cost of a worker that still works slowly after its start: behind all warm
 * ones, and also behind reserved capacity of those. */
#define COLD_COST 20000
/** Cost of using capacity that is reserved for another stage: more than any
 * remaining permille, less than placing work away from its data. */
#define RESERVED_COST 10000

bool
cell_res_fits (const struct cell_worker *worker,
               const struct cyc_resources *size)
{
  return worker->run_count < CELL_WORKER_RUNS_MAX
         && worker->used_millicores + size->millicores
                <= worker->capacity.millicores
         && worker->used_memory_mib + size->memory_mib
                <= worker->capacity.memory_mib
         && worker->used_accelerators + size->accelerators
                <= worker->capacity.accelerators;
}

struct cyc_resources
cell_step_size (const Cyc__CellStep *step)
{
  return (struct cyc_resources){ step->fills ? 0 : step->millicores,
                                 step->memory_mib, step->accelerators };
}

static bool
has_label (const struct cell_worker *worker, struct cyc_str label)
{
  for (uint32_t i = 0; i < worker->label_count; i++)
    if (cyc_str_eq (cyc_name_str (&worker->labels[i]), label))
      return true;
  return false;
}

bool
cell_worker_suits (const struct cell_stage *stage,
                   const struct cell_worker *worker)
{
  const Cyc__CellStep *step = cell_stage_step (stage);

  return cyc_name_eq (&worker->pool, &stage->job->cfg.pool)
         && (step->required_label[0] == 0
             || has_label (worker, cyc_str_of (step->required_label)));
}

bool
cell_worker_eligible (const struct cell_core *core,
                      const struct cell_stage *stage,
                      const struct cell_worker *worker)
{
  return cell_worker_usable (core, worker)
         && cell_worker_suits (stage, worker);
}

bool
cell_team_has_quota (const struct cell_core *core,
                     const struct cell_team *team,
                     const struct cyc_resources *size, uint64_t tasks)
{
  const struct cyc_resources *limit = &team->limit;

  return cell_memory_admits_runs (core, team, tasks)
         && (limit->millicores == 0
             || team->used_millicores + size->millicores * tasks
                    <= limit->millicores)
         && (limit->memory_mib == 0
             || team->used_memory_mib + size->memory_mib * tasks
                    <= limit->memory_mib)
         && (limit->accelerators == 0
             || team->used_accelerators + size->accelerators * tasks
                    <= limit->accelerators);
}

/* Placement. */

/* Returns the number of tasks of the step that occupy the worker. */
static uint32_t
step_tasks_on (const struct cell_stage *stage,
               const struct cell_worker *worker)
{
  uint32_t count = 0;

  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    count += run->job == stage->job && run->round == stage->round
             && run->task >= stage->first_task
             && run->task < stage->first_task + stage->count;
  return count;
}

/* Returns the worker's capacity less @p used. */
static struct cell_resources
free_capacity (const struct cell_worker *worker,
               const struct cell_resources *used)
{
  return (struct cell_resources){
    cell_remaining (worker->capacity.millicores, used->millicores),
    cell_remaining (worker->capacity.memory_mib, used->memory_mib),
    cell_remaining (worker->capacity.accelerators, used->accelerators),
  };
}

static uint32_t
slots_for_capacity (const struct cell_stage *stage,
                    const struct cell_worker *worker,
                    const struct cell_resources *capacity)
{
  const Cyc__CellStep *step = cell_stage_step (stage);
  struct cyc_resources size = cell_step_size (step);
  uint64_t slots = stage->count;

  if (size.millicores > 0)
    slots = MIN (slots, capacity->millicores / size.millicores);
  if (size.memory_mib > 0)
    slots = MIN (slots, capacity->memory_mib / size.memory_mib);
  if (size.accelerators > 0)
    slots = MIN (slots, capacity->accelerators / size.accelerators);
  slots
      = MIN (slots, cell_remaining (CELL_WORKER_RUNS_MAX, worker->run_count));
  if (step->max_per_worker > 0)
    slots = MIN (slots, cell_remaining (step->max_per_worker,
                                        step_tasks_on (stage, worker)));
  return (uint32_t)slots;
}

/* Returns the number of tasks that fit on the worker when @p freed is
   released. @p exclude_reserved: capacity reserved on the worker counts as
   used. */
static uint32_t
free_slots (const struct cell_stage *stage, const struct cell_worker *worker,
            bool exclude_reserved, const struct cell_resources *freed)
{
  struct cell_resources taken
      = { cell_remaining (worker->used_millicores, freed->millicores),
          cell_remaining (worker->used_memory_mib, freed->memory_mib),
          cell_remaining (worker->used_accelerators, freed->accelerators) };
  struct cell_resources capacity;

  if (exclude_reserved)
    {
      taken.millicores += worker->reserved.millicores;
      taken.memory_mib += worker->reserved.memory_mib;
      taken.accelerators += worker->reserved.accelerators;
    }
  capacity = free_capacity (worker, &taken);
  return slots_for_capacity (stage, worker, &capacity);
}

/* Returns whether the capacity reserved on the worker is for a stage before
   this one, and not lent to it. */
static bool
is_reserved_for_earlier (const struct cell_core *core,
                         const struct cell_stage *stage,
                         const struct cell_worker *worker)
{
  return worker->reserved_for != NULL && worker->reserved_for != stage
         && cell_stage_before (core, worker->reserved_for, stage)
         && !cell_lend_allowed (core, worker->reserved_for, stage);
}

uint32_t
cell_slots_now (const struct cell_core *core, const struct cell_stage *stage,
                const struct cell_worker *worker)
{
  return free_slots (stage, worker,
                     is_reserved_for_earlier (core, stage, worker),
                     &(struct cell_resources){ 0 });
}

uint32_t
cell_slots_soon (const struct cell_core *core, const struct cell_stage *stage,
                 const struct cell_worker *worker)
{
  uint64_t then_us = core->now_us + stage->job->cfg.advice.decision_us;
  struct cell_resources freed = { 0 };

  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (run->stop_requested
        || (run->projected_end_us != 0 && run->projected_end_us <= then_us))
      {
        freed.millicores += run->size.millicores;
        freed.memory_mib += run->size.memory_mib;
        freed.accelerators += run->size.accelerators;
      }
  return free_slots (stage, worker,
                     is_reserved_for_earlier (core, stage, worker), &freed);
}

uint32_t
cell_slots_total (const struct cell_stage *stage,
                  const struct cell_worker *worker)
{
  struct cell_resources capacity
      = free_capacity (worker, &(struct cell_resources){ 0 });

  return slots_for_capacity (stage, worker, &capacity);
}

static bool
stage_failed_on (const struct cell_stage *stage, uint32_t row)
{
  for (uint32_t i = 0; i < CELL_AVOIDED_WORKERS_MAX; i++)
    if (stage->failed_on[i] == row + 1)
      return true;
  return false;
}

bool
cell_stage_prefers (const struct cell_stage *stage, uint32_t row,
                    const struct cell_worker *worker)
{
  const Cyc__CellStep *step = cell_stage_step (stage);

  return !stage_failed_on (stage, row)
         && (step->data_rack[0] == 0
             || has_label (worker, cyc_str_of (step->data_rack)));
}

/* Returns what would remain of the worker's CPU and memory beside the task,
   as the sum of both in permille. */
static uint64_t
remaining_permille (const struct cell_worker *worker,
                    const struct cyc_resources *size)
{
  uint64_t remaining = 0;

  if (worker->capacity.millicores > 0)
    remaining += (worker->capacity.millicores - worker->used_millicores
                  - size->millicores)
                 * 1000 / worker->capacity.millicores;
  if (worker->capacity.memory_mib > 0)
    remaining += (worker->capacity.memory_mib - worker->used_memory_mib
                  - size->memory_mib)
                 * 1000 / worker->capacity.memory_mib;
  return remaining;
}

/* Returns the cost of placing a task on the worker; UINT64_MAX if impossible.
   The lowest cost is the best fit near the data. */
static uint64_t
placement_cost (const struct cell_core *core, const struct cell_stage *stage,
                uint32_t row, const struct cyc_resources *size,
                struct cyc_str rack, const struct cell_crashes *trial)
{
  const struct cell_worker *worker = cell_worker_at (core, row);
  const Cyc__CellStep *step = cell_stage_step (stage);
  bool reserved = false; /* for a stage after this one, or lent */
  uint64_t trial_cost;
  uint64_t cost;

  if (!cell_worker_eligible (core, stage, worker)
      || !cell_res_fits (worker, size)
      || (core->fast_only && cell_speed_is_slow (core, worker))
      || (rack.len > 0 && !has_label (worker, rack)))
    return UINT64_MAX;
  if (worker->reserved_for != NULL && worker->reserved_for != stage
      && free_slots (stage, worker, true, &(struct cell_resources){ 0 }) == 0)
    {
      if (is_reserved_for_earlier (core, stage, worker))
        return UINT64_MAX;
      reserved = true;
    }
  if (step->max_per_worker > 0
      && step_tasks_on (stage, worker) >= step->max_per_worker)
    return UINT64_MAX;
  trial_cost = cell_blame_cost (core, stage, row, trial);
  if (trial_cost == UINT64_MAX)
    return UINT64_MAX;
  cost = remaining_permille (worker, size) + trial_cost
         + cell_speed_cost (core, stage, worker)
         + (reserved ? RESERVED_COST : 0)
         + (worker->cold_until_us > core->now_us ? COLD_COST : 0);
  if (step->data_rack[0] != 0
      && !has_label (worker, cyc_str_of (step->data_rack)))
    cost += UINT32_MAX;
  if (stage_failed_on (stage, row))
    cost += 2 * (uint64_t)UINT32_MAX;
  return cost;
}

/* A step that requires advice can only use the workers for which it holds
   tickets. */
uint32_t
cell_best_worker (const struct cell_core *core, const struct cell_stage *stage,
                  const struct cyc_resources *size, struct cyc_str rack,
                  const struct cell_crashes *trial)
{
  bool advised = stage->job->cfg.advice.required;
  uint32_t count = advised ? cell_ticket_count (stage) : core->workers->len;
  uint64_t best_cost = UINT64_MAX;
  uint32_t best = CELL_NO_ROW;

  for (uint32_t i = 0; i < count; i++)
    {
      const struct cell_held_ticket *ticket
          = advised ? cell_ticket_at (core, stage, i) : NULL;
      uint32_t row = ticket != NULL ? ticket->worker : i;
      uint64_t cost;

      if (advised && ticket == NULL)
        continue;
      cost = placement_cost (core, stage, row, size, rack, trial);
      if (cost < best_cost)
        {
          best_cost = cost;
          best = row;
        }
    }
  return best;
}

struct cell_run *
cell_place (struct cell_core *core, struct cell_stage *stage, uint32_t task,
            uint32_t row, uint32_t number)
{
  struct cell_run *run
      = cell_run_new (core, stage->job, stage->round, task, row, number);
  const struct cell_held_ticket *ticket = cell_ticket_for (core, stage, row);

  run->state = CELL_RUN_RECORDING;
  run->batch = core->batch;
  if (ticket != NULL)
    {
      run->ticket = g_ref_string_acquire (ticket->text);
      run->ticket_until_us = ticket->until_us;
    }
  cell_blame_placed (core, run);
  g_queue_push_tail (&core->recording, run);
  cell_job_activate (core, stage->job);
  cell_task_mark_dirty (core, stage->job, stage->round, task);
  return run;
}

static bool
place_tasks (struct cell_core *core, struct cell_stage *stage,
             const struct cyc_resources *size)
{
  const struct cell_job *job = stage->job;
  const struct cell_round *round = cell_round_at (job, stage->round);
  uint32_t end = stage->first_task + stage->count;
  bool full = false; /* for tasks that are not on trial */

  for (uint32_t t = cell_task_next_waiting (round, stage->first_task, end);
       t < end; t = full ? cell_task_next_row (round, t + 1, end)
                         : cell_task_next_waiting (round, t + 1, end))
    {
      const struct cell_task *task = cell_task_peek (job, stage->round, t);
      const struct cell_crashes *trial;
      uint32_t row;

      if (task->state != CELL_TASK_WAITING)
        continue;
      if (task->not_before_us > core->now_us)
        {
          cell_retry_placement (core, task->not_before_us);
          continue;
        }
      if (!cell_team_has_quota (core, stage->job->team, size, 1))
        return false;
      trial = cell_blame_trial (stage, t);
      if (trial != NULL ? trial->hold == 0 : full)
        continue;
      row = cell_best_worker (core, stage, size, CYC_STR (""), trial);
      /* The workers that a trial holds are full for other tasks only. */
      full = full || (row == CELL_NO_ROW && trial == NULL);
      if (full && stage->trials_waiting == 0)
        return false;
      if (row == CELL_NO_ROW)
        continue;
      cell_place (core, stage, t, row, task->next_run);
      stage->trials_waiting -= trial != NULL;
    }
  return stage->waiting == 0;
}

/* Estimates may be far off, so only half of the remaining critical path
   counts against a stage's deadline. */
static bool
is_late (const struct cell_core *core, const struct cell_stage *stage)
{
  return stage->job->deadline_us < core->now_us + stage->critical_path_us / 2;
}

/* Places the tasks that fit. Stages with tasks left claim capacity in their
   order, and only those that will find some ask for advice. */
static void
place_stage (struct cell_core *core, struct cell_stage *stage,
             struct cell_resources *capacity)
{
  const Cyc__CellStep *step = cell_stage_step (stage);
  struct cyc_resources size = cell_step_size (step);
  uint32_t waiting;

  if (!stage->job->cfg_known)
    return;
  cell_speed_look (core, stage);
  if (step->gang ? cell_gang_place (core, stage)
                 : place_tasks (core, stage, &size))
    return;
  /* Workers are held for trials, which ask for advice themselves. */
  waiting = (uint32_t)cell_remaining (stage->waiting, stage->trials_waiting);
  if (waiting == 0)
    return;
  if (!cell_team_has_quota (core, stage->job->team, &size,
                            step->gang ? stage->count : 1))
    return;
  if (step->gang)
    cell_gang_reserve (core, stage);
  if (stage->job->cfg.advice.required
      && capacity->millicores >= size.millicores
      && capacity->memory_mib >= size.memory_mib)
    cell_stage_ask (core, stage, false);
  /* A gang without a reservation does not block stages that can run
     meanwhile. */
  if (step->gang && !stage->has_reservation)
    return;
  capacity->millicores = cell_remaining (capacity->millicores,
                                         (uint64_t)waiting * size.millicores);
  capacity->memory_mib = cell_remaining (capacity->memory_mib,
                                         (uint64_t)waiting * size.memory_mib);
}

/* Returns the rank of a stage; lower ranks come first. Late work yields to
   work of the next priority that can still be in time, work over its team's
   rate yields to all work within it, and expired jobs come last. */
static uint32_t
rank_of (const struct cell_core *core, const struct cell_stage *stage)
{
  const struct cell_job *job = stage->job;
  uint32_t rank = 1 + 2 * MIN (job->cfg.priority, PRIORITY_MAX);

  /* A service that has lost an instance is wanted until it is cancelled. */
  if (job->begun && cell_stage_step (stage)->long_running)
    return core->now_us < stage->short_since_us + SHORT_MAX_US ? rank : 0;
  if (is_late (core, stage))
    rank += 3;
  if (job->over_rate)
    rank += RANK_OVER_RATE;
  if (job->expires_us < core->now_us)
    rank += RANK_EXPIRED;
  return rank;
}

bool
cell_stage_before (const struct cell_core *core, const struct cell_stage *a,
                   const struct cell_stage *b)
{
  uint32_t rank_a = rank_of (core, a);
  uint32_t rank_b = rank_of (core, b);

  if (rank_a != rank_b)
    return rank_a < rank_b;
  return a->job->deadline_us + b->critical_path_us
         < b->job->deadline_us + a->critical_path_us;
}

static gint
compare_stages (gconstpointer a, gconstpointer b, gpointer core)
{
  const struct cell_stage *left = *(struct cell_stage *const *)a;
  const struct cell_stage *right = *(struct cell_stage *const *)b;

  if (cell_stage_before (core, left, right))
    return -1;
  return cell_stage_before (core, right, left) ? 1 : 0;
}

void
cell_retry_placement (struct cell_core *core, uint64_t at_us)
{
  if (at_us < core->next_placement_us)
    core->next_placement_us = at_us;
  cell_wake (core, at_us);
}

/* Returns whether the stage has tasks to place and nothing at work. A gang
   only works as a whole. */
static bool
is_stalled (const struct cell_stage *stage)
{
  return stage->waiting > 0
         && (cell_stage_step (stage)->gang
             || stage->waiting + stage->done == stage->count);
}

void
cell_place_tick (struct cell_core *core)
{
  struct cell_resources capacity = { 0 };

  if (core->waiting->len == 0)
    return;
  if (!core->placement_pending && core->now_us < core->next_placement_us)
    {
      cell_wake (core, core->next_placement_us);
      return;
    }
  core->placement_pending = false;
  core->next_placement_us = UINT64_MAX;
  core->reserved_millicores = 0;
  cell_gang_release_ended (core);
  cell_gang_weigh (core);
  for (guint i = 0; i < core->waiting->len;)
    {
      struct cell_stage *stage = g_ptr_array_index (core->waiting, i);

      if (stage->waiting > 0 && cell_job_open (stage->job))
        {
          i++;
          continue;
        }
      stage->listed = false;
      g_ptr_array_remove_index_fast (core->waiting, i);
    }
  g_ptr_array_sort_with_data (core->waiting, compare_stages, core);
  cell_trials_end_holds (core);
  capacity.millicores = core->totals.soon_millicores;
  capacity.memory_mib = core->totals.soon_memory_mib;
  cell_trials_tick (core);
  for (guint i = 0; i < core->waiting->len; i++)
    {
      struct cell_stage *stage = g_ptr_array_index (core->waiting, i);

      place_stage (core, stage, &capacity);
      if (!is_stalled (stage))
        stage->stalled_since_us = 0;
      else if (stage->stalled_since_us == 0)
        stage->stalled_since_us = core->now_us;
      if (stage->job->over_rate && stage->waiting > 0 && is_late (core, stage))
        core->over_rate_late_us = core->now_us;
    }
}
