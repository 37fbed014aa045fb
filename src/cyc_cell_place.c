#include "cyc_cell_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Ranks beyond those of priorities. */
#define PRIORITY_MOST 1000
#define RANK_OVER_RATE 4000
#define RANK_WORTHLESS 8000
/** Cost of room that is kept for another stage: more than any left over room,
 * less than work far from its data. */
#define KEPT_COST 10000
/** Part of the room in use that comes free while advice is asked for: tasks
 * take some seconds, advice half a second. */
#define SOON_FREE_DIVISOR 8

bool
cell_res_fits (const struct cell_worker *worker,
               const struct cyc_resources *size)
{
  return worker->used_millicores + size->millicores
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

/* The worker may run tasks of the stage, apart from advice and room. */
bool
cell_worker_suits (const struct cell_core *core,
                   const struct cell_stage *stage,
                   const struct cell_worker *worker)
{
  const Cyc__CellStep *step = cell_stage_step (stage);

  return cell_worker_usable (core, worker)
         && cyc_name_eq (&worker->pool, &stage->job->cfg.pool)
         && (step->required_label[0] == 0
             || has_label (worker, cyc_str_of (step->required_label)));
}

bool
cell_team_has_room (const struct cell_team *team,
                    const struct cyc_resources *size, uint64_t tasks)
{
  const struct cyc_resources *limit = &team->limit;

  return (limit->millicores == 0
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

/* Tasks of the step that occupy the worker. */
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

/* Room for tasks of the stage, apart from what other stages keep. */

/* What is left of the worker when so much of it is taken. */
static struct cell_room
room_beside (const struct cell_worker *worker, const struct cell_room *taken)
{
  return (struct cell_room){
    cell_left (worker->capacity.millicores, taken->millicores),
    cell_left (worker->capacity.memory_mib, taken->memory_mib),
    cell_left (worker->capacity.accelerators, taken->accelerators),
  };
}

static uint32_t
slots_in (const struct cell_stage *stage, const struct cell_worker *worker,
          const struct cell_room *room)
{
  const Cyc__CellStep *step = cell_stage_step (stage);
  struct cyc_resources size = cell_step_size (step);
  uint64_t slots = stage->count;

  if (size.millicores > 0)
    slots = MIN (slots, room->millicores / size.millicores);
  if (size.memory_mib > 0)
    slots = MIN (slots, room->memory_mib / size.memory_mib);
  if (size.accelerators > 0)
    slots = MIN (slots, room->accelerators / size.accelerators);
  if (step->max_per_worker > 0)
    slots = MIN (slots, cell_left (step->max_per_worker,
                                   step_tasks_on (stage, worker)));
  return (uint32_t)slots;
}

/* Room of the worker; @p beside_held: without what is kept for others. */
static uint32_t
slots_beside (const struct cell_stage *stage, const struct cell_worker *worker,
              bool beside_held, const struct cell_room *freed)
{
  struct cell_room taken
      = { cell_left (worker->used_millicores, freed->millicores),
          cell_left (worker->used_memory_mib, freed->memory_mib),
          cell_left (worker->used_accelerators, freed->accelerators) };
  struct cell_room room;

  if (beside_held)
    {
      taken.millicores += worker->held.millicores;
      taken.memory_mib += worker->held.memory_mib;
      taken.accelerators += worker->held.accelerators;
    }
  room = room_beside (worker, &taken);
  return slots_in (stage, worker, &room);
}

/* What is kept on the worker is out of reach for the stage. */
static bool
is_kept_from (const struct cell_core *core, const struct cell_stage *stage,
              const struct cell_worker *worker)
{
  return worker->held_for != NULL && worker->held_for != stage
         && cell_stage_before (core, worker->held_for, stage);
}

uint32_t
cell_slots_now (const struct cell_core *core, const struct cell_stage *stage,
                const struct cell_worker *worker)
{
  return slots_beside (stage, worker, is_kept_from (core, stage, worker),
                       &(struct cell_room){ 0 });
}

uint32_t
cell_slots_soon (const struct cell_core *core, const struct cell_stage *stage,
                 const struct cell_worker *worker)
{
  uint64_t then_us = core->now_us + stage->job->cfg.advice.decision_us;
  struct cell_room freed = { 0 };

  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (run->stop || (run->end_us != 0 && run->end_us <= then_us))
      {
        freed.millicores += run->size.millicores;
        freed.memory_mib += run->size.memory_mib;
        freed.accelerators += run->size.accelerators;
      }
  return slots_beside (stage, worker, is_kept_from (core, stage, worker),
                       &freed);
}

uint32_t
cell_slots_whole (const struct cell_stage *stage,
                  const struct cell_worker *worker)
{
  struct cell_room room = room_beside (worker, &(struct cell_room){ 0 });

  return slots_in (stage, worker, &room);
}

static bool
stage_failed_on (const struct cell_stage *stage, uint32_t row)
{
  for (uint32_t i = 0; i < CELL_AVOID; i++)
    if (stage->failed_on[i] == row + 1)
      return true;
  return false;
}

/* What the task would leave of the worker, each resource in permille. */
static uint64_t
left_over (const struct cell_worker *worker, const struct cyc_resources *size)
{
  uint64_t left = 0;

  if (worker->capacity.millicores > 0)
    left += (worker->capacity.millicores - worker->used_millicores
             - size->millicores)
            * 1000 / worker->capacity.millicores;
  if (worker->capacity.memory_mib > 0)
    left += (worker->capacity.memory_mib - worker->used_memory_mib
             - size->memory_mib)
            * 1000 / worker->capacity.memory_mib;
  return left;
}

/* Smaller is better; UINT64_MAX: not possible. Best fit, near the data. */
static uint64_t
placement_cost (const struct cell_core *core, const struct cell_stage *stage,
                uint32_t row, const struct cyc_resources *size,
                struct cyc_str rack)
{
  const struct cell_worker *worker = cell_worker_at (core, row);
  const Cyc__CellStep *step = cell_stage_step (stage);
  bool kept = false; /* for a stage that waits behind this one */
  uint64_t cost;

  if (!cell_worker_suits (core, stage, worker) || !cell_res_fits (worker, size)
      || (rack.len > 0 && !has_label (worker, rack)))
    return UINT64_MAX;
  if (worker->held_for != NULL && worker->held_for != stage
      && slots_beside (stage, worker, true, &(struct cell_room){ 0 }) == 0)
    {
      if (cell_stage_before (core, worker->held_for, stage))
        return UINT64_MAX;
      kept = true;
    }
  if (step->max_per_worker > 0
      && step_tasks_on (stage, worker) >= step->max_per_worker)
    return UINT64_MAX;
  cost = left_over (worker, size) + (kept ? KEPT_COST : 0);
  if (step->data_rack[0] != 0
      && !has_label (worker, cyc_str_of (step->data_rack)))
    cost += UINT32_MAX;
  if (stage_failed_on (stage, row))
    cost += 2 * (uint64_t)UINT32_MAX;
  return cost;
}

/* A step that needs advice has few workers to choose from: those for which it
   holds tickets. */
uint32_t
cell_best_worker (const struct cell_core *core, const struct cell_stage *stage,
                  const struct cyc_resources *size, struct cyc_str rack)
{
  bool advised = stage->job->cfg.advice.wanted;
  uint32_t count = advised ? cell_ticket_count (stage) : core->workers->len;
  uint64_t best_cost = UINT64_MAX;
  uint32_t best = CELL_NO_ROW;

  for (uint32_t i = 0; i < count; i++)
    {
      const struct cell_held_ticket *held
          = advised ? cell_ticket_at (core, stage, i) : NULL;
      uint32_t row = held != NULL ? held->worker : i;
      uint64_t cost;

      if (advised && held == NULL)
        continue;
      cost = placement_cost (core, stage, row, size, rack);
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
      memcpy (run->ticket, ticket->text, sizeof run->ticket);
      run->ticket_until_us = ticket->until_us;
    }
  g_queue_push_tail (&core->recording, run);
  cell_job_advance (core, stage->job);
  cell_touch (core, stage->job);
  return run;
}

static bool
place_tasks (struct cell_core *core, struct cell_stage *stage,
             const struct cyc_resources *size)
{
  struct cell_round *round = &stage->job->rounds[stage->round];

  for (uint32_t t = 0; t < stage->count && stage->waiting > 0; t++)
    {
      struct cell_task *task = &round->tasks[stage->first_task + t];
      uint32_t row;

      if (task->state != CELL_TASK_WAITING)
        continue;
      if (task->not_before_us > core->now_us)
        {
          cell_place_again (core, task->not_before_us);
          continue;
        }
      if (!cell_team_has_room (stage->job->team, size, 1))
        return false;
      row = cell_best_worker (core, stage, size, CYC_STR (""));
      if (row == CELL_NO_ROW)
        return false;
      cell_place (core, stage, stage->first_task + t, row, task->next_run);
    }
  return stage->waiting == 0;
}

/* Estimates may be far off: only half of the work that is left counts against
   a stage that may still end in time. */
static bool
is_late (const struct cell_core *core, const struct cell_stage *stage)
{
  return stage->job->deadline_us < core->now_us + stage->tail_us / 2;
}

/* Places what fits. Stages that are left claim room in their order, and only
   those that will find some ask for advice. */
static void
place_stage (struct cell_core *core, struct cell_stage *stage,
             struct cell_room *room)
{
  const Cyc__CellStep *step = cell_stage_step (stage);
  struct cyc_resources size = cell_step_size (step);

  if (!stage->job->cfg_known)
    return;
  if (step->gang ? cell_gang_place (core, stage)
                 : place_tasks (core, stage, &size))
    return;
  if (!cell_team_has_room (stage->job->team, &size,
                           step->gang ? stage->count : 1))
    return;
  if (step->gang)
    cell_gang_hold (core, stage);
  if (stage->job->cfg.advice.wanted && room->millicores >= size.millicores
      && room->memory_mib >= size.memory_mib)
    cell_stage_ask (core, stage);
  /* A gang that keeps no room yet does not stop what can run meanwhile. */
  if (step->gang && !stage->holds)
    return;
  room->millicores = cell_left (room->millicores,
                                (uint64_t)stage->waiting * size.millicores);
  room->memory_mib = cell_left (room->memory_mib,
                                (uint64_t)stage->waiting * size.memory_mib);
}

/* Stages of a lower rank come first. Work that is late yields to work of the
   next priority that can still be in time, work beyond a team's rate to all
   that is within, and a result that nobody waits for any more comes last. */
static uint32_t
rank_of (const struct cell_core *core, const struct cell_stage *stage)
{
  const struct cell_job *job = stage->job;
  uint32_t rank = 2 * MIN (job->cfg.priority, PRIORITY_MOST);

  if (is_late (core, stage))
    rank += 3;
  if (job->over_rate)
    rank += RANK_OVER_RATE;
  if (job->worthless_us < core->now_us)
    rank += RANK_WORTHLESS;
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
  return a->job->deadline_us + b->tail_us < b->job->deadline_us + a->tail_us;
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

/* Room that is free or comes free while a question is under way. */
static struct cell_room
room_soon (struct cell_core *core)
{
  struct cell_room room = { 0 };

  core->usable_millicores = 0;
  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);

      if (!cell_worker_usable (core, worker))
        continue;
      core->usable_millicores += worker->capacity.millicores;
      room.millicores
          += cell_left (worker->capacity.millicores, worker->used_millicores)
             + worker->used_millicores / SOON_FREE_DIVISOR;
      room.memory_mib
          += cell_left (worker->capacity.memory_mib, worker->used_memory_mib)
             + worker->used_memory_mib / SOON_FREE_DIVISOR;
    }
  return room;
}

void
cell_place_again (struct cell_core *core, uint64_t at_us)
{
  if (at_us < core->place_at_us)
    core->place_at_us = at_us;
  cell_wake (core, at_us);
}

void
cell_place_tick (struct cell_core *core)
{
  struct cell_room room;

  if (core->waiting->len == 0)
    return;
  if (!core->place_wanted && core->now_us < core->place_at_us)
    {
      cell_wake (core, core->place_at_us);
      return;
    }
  core->place_wanted = false;
  core->place_at_us = UINT64_MAX;
  core->held_millicores = 0;
  cell_gang_release_ended (core);
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
  room = room_soon (core);
  for (guint i = 0; i < core->waiting->len; i++)
    {
      struct cell_stage *stage = g_ptr_array_index (core->waiting, i);

      place_stage (core, stage, &room);
      if (stage->job->over_rate && stage->waiting > 0 && is_late (core, stage))
        core->over_rate_late_us = core->now_us;
    }
}
