/* Gangs: their members start together or not at all. A gang that does not fit
   keeps room on the workers where it is expected to come free first. */

#include "cyc_cell_internal.h"

#include <stdlib.h>

/** Part of the fleet that is kept for gangs at most; more would leave it
 * idle while their room comes free. The first gang may keep what it needs. */
#define HELD_DIVISOR 4
/** Workers are chosen anew so often for a gang that keeps room. */
#define HOLD_AGAIN_US 50000
/** Runs of a worker that are looked at when its room comes free. */
#define RUNS_MOST 64

/* The whole gang has room now, where it holds tickets if it needs them. */
static bool
gang_fits (const struct cell_core *core, const struct cell_stage *stage)
{
  bool advised = stage->job->cfg.advice.wanted;
  uint32_t count = advised ? cell_ticket_count (stage) : core->workers->len;
  uint64_t slots = 0;

  for (uint32_t i = 0; i < count && slots < stage->count; i++)
    {
      const struct cell_held_ticket *held
          = advised ? cell_ticket_at (core, stage, i) : NULL;
      const struct cell_worker *worker;

      if (advised && held == NULL)
        continue;
      worker = cell_worker_at (core, held != NULL ? held->worker : i);
      if (cell_worker_suits (core, stage, worker))
        slots += cell_slots_now (core, stage, worker);
    }
  return slots >= stage->count;
}

bool
cell_gang_fits_soon (const struct cell_core *core,
                     const struct cell_stage *stage)
{
  uint64_t slots = 0;

  for (guint i = 0; i < core->workers->len && slots < stage->count; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);

      if (cell_worker_suits (core, stage, worker)
          && cell_verdict_of (stage, i) == CELL_VERDICT_ALLOWED)
        slots += cell_slots_soon (core, stage, worker);
    }
  return slots >= stage->count;
}

/* Takes back runs that were decided in this tick and never ordered. */
static void
unplace (struct cell_core *core, GPtrArray *runs)
{
  for (guint i = 0; i < runs->len; i++)
    {
      struct cell_run *run = g_ptr_array_index (runs, i);
      struct cell_task *task = &run->job->rounds[run->round].tasks[run->task];
      struct cell_stage *stage
          = cell_stage_of_task (run->job, run->round, run->task);

      task->next_run = run->number;
      task->state = CELL_TASK_WAITING;
      stage->waiting++;
      cell_run_free (core, run);
    }
  g_ptr_array_set_size (runs, 0);
}

/* All members of a gang at once, in one rack if they must. */
static bool
place_gang_in (struct cell_core *core, struct cell_stage *stage,
               const struct cyc_resources *size, struct cyc_str rack)
{
  struct cell_round *round = &stage->job->rounds[stage->round];
  GPtrArray *placed = g_ptr_array_new ();
  uint32_t number = 1;
  bool whole = true;

  for (uint32_t t = 0; t < stage->count; t++)
    number = MAX (number, round->tasks[stage->first_task + t].next_run);
  for (uint32_t t = 0; t < stage->count && whole; t++)
    {
      uint32_t row = cell_best_worker (core, stage, size, rack);

      whole = row != CELL_NO_ROW;
      if (whole)
        g_ptr_array_add (
            placed,
            cell_place (core, stage, stage->first_task + t, row, number));
    }
  if (!whole)
    unplace (core, placed);
  g_ptr_array_free (placed, TRUE);
  return whole;
}

/* A place for one member of a gang, and when it is expected to be free. */
struct place
{
  uint32_t row;
  uint64_t free_us;
};

static int
by_free_time (const void *a, const void *b)
{
  const struct place *left = a;
  const struct place *right = b;

  if (left->free_us != right->free_us)
    return left->free_us < right->free_us ? -1 : 1;
  return left->row < right->row ? -1 : left->row > right->row;
}

/* What a run gives back, and when. */
struct release
{
  uint64_t at_us;
  struct cyc_resources size;
};

static int
by_time (const void *a, const void *b)
{
  const struct release *left = a;
  const struct release *right = b;

  return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

static uint64_t
expected_end_us (const struct cell_core *core, const struct cell_run *run)
{
  const Cyc__CellStep *step
      = cell_stage_step (cell_stage_of_task (run->job, run->round, run->task));

  if (run->stop)
    return core->now_us;
  if (run->end_us != 0)
    return MAX (run->end_us, core->now_us);
  return core->now_us + (uint64_t)step->estimate_ms * 1000;
}

/* The runs of a worker by the time of their ends. */
static uint32_t
list_releases (const struct cell_core *core, const struct cell_worker *worker,
               struct release out[RUNS_MOST])
{
  uint32_t count = 0;

  for (const struct cell_run *run = worker->runs;
       run != NULL && count < RUNS_MOST; run = run->next)
    out[count++] = (struct release){ expected_end_us (core, run), run->size };
  if (count > 1)
    qsort (out, count, sizeof *out, by_time);
  return count;
}

/* Adds a place for each member that the worker can take, with the time when so
   much has ended that it fits beside the members before it. */
static void
add_places (const struct cell_core *core, const struct cell_stage *stage,
            uint32_t row, GArray *places)
{
  const struct cell_worker *worker = cell_worker_at (core, row);
  struct cyc_resources size = cell_step_size (cell_stage_step (stage));
  struct release releases[RUNS_MOST];
  uint32_t count = list_releases (core, worker, releases);
  struct cell_room used = { worker->used_millicores, worker->used_memory_mib,
                            worker->used_accelerators };
  uint32_t slots = cell_slots_whole (stage, worker);
  uint64_t free_us = core->now_us;
  uint32_t next = 0;

  for (uint32_t k = 1; k <= slots; k++)
    {
      struct place place = { .row = row };

      while (next < count
             && (used.millicores + (uint64_t)k * size.millicores
                     > worker->capacity.millicores
                 || used.memory_mib + (uint64_t)k * size.memory_mib
                        > worker->capacity.memory_mib
                 || used.accelerators + (uint64_t)k * size.accelerators
                        > worker->capacity.accelerators))
        {
          const struct release *release = &releases[next++];

          free_us = release->at_us;
          used.millicores
              = cell_left (used.millicores, release->size.millicores);
          used.memory_mib
              = cell_left (used.memory_mib, release->size.memory_mib);
          used.accelerators
              = cell_left (used.accelerators, release->size.accelerators);
        }
      place.free_us = free_us;
      g_array_append_val (places, place);
    }
}

static void
release_worker (struct cell_worker *worker)
{
  worker->held_for = NULL;
  worker->held = (struct cell_room){ 0 };
}

static void
release_room (struct cell_core *core, struct cell_stage *stage)
{
  for (guint i = 0; i < core->workers->len && stage->holds; i++)
    if (cell_worker_at (core, i)->held_for == stage)
      release_worker (cell_worker_at (core, i));
  stage->holds = false;
}

void
cell_gang_release_ended (struct cell_core *core)
{
  core->held_millicores = 0;
  for (guint i = 0; i < core->workers->len; i++)
    {
      struct cell_worker *worker = cell_worker_at (core, i);
      const struct cell_stage *of = worker->held_for;

      if (of != NULL
          && (of->waiting == 0 || !cell_job_open (of->job) || !of->holds))
        release_worker (worker);
    }
}

void
cell_gang_hold (struct cell_core *core, struct cell_stage *stage)
{
  bool advised = stage->job->cfg.advice.wanted;
  struct cyc_resources size = cell_step_size (cell_stage_step (stage));
  uint64_t wanted = (uint64_t)stage->count * size.millicores;
  GArray *places;

  if (core->held_millicores > 0
      && core->held_millicores + wanted
             > core->usable_millicores / HELD_DIVISOR)
    {
      release_room (core, stage);
      return;
    }
  core->held_millicores += wanted;
  if (stage->holds && core->now_us < stage->hold_again_us)
    return;
  release_room (core, stage);
  stage->holds = true;
  stage->hold_again_us = core->now_us + HOLD_AGAIN_US;
  places = g_array_new (FALSE, FALSE, sizeof (struct place));
  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);

      if (worker->held_for == NULL && cell_worker_suits (core, stage, worker)
          && (!advised || cell_verdict_of (stage, i) == CELL_VERDICT_ALLOWED))
        add_places (core, stage, i, places);
    }
  if (places->len > 1)
    qsort (places->data, places->len, sizeof (struct place), by_free_time);
  for (guint i = 0; i < places->len && i < stage->count; i++)
    {
      struct cell_worker *worker
          = cell_worker_at (core, g_array_index (places, struct place, i).row);

      worker->held_for = stage;
      worker->held.millicores += size.millicores;
      worker->held.memory_mib += size.memory_mib;
      worker->held.accelerators += size.accelerators;
    }
  g_array_free (places, TRUE);
}

static bool
place_whole (struct cell_core *core, struct cell_stage *stage)
{
  struct cyc_resources size = cell_step_size (cell_stage_step (stage));
  GPtrArray *racks;
  bool done = false;

  if (stage->waiting < stage->count
      || !cell_team_has_room (stage->job->team, &size, stage->count))
    return false;
  for (uint32_t t = 0; t < stage->count; t++)
    {
      uint64_t at_us = stage->job->rounds[stage->round]
                           .tasks[stage->first_task + t]
                           .not_before_us;

      if (at_us <= core->now_us)
        continue;
      cell_place_again (core, at_us);
      return false;
    }
  if (!gang_fits (core, stage))
    return false;
  if (!cell_stage_step (stage)->same_rack)
    return place_gang_in (core, stage, &size, CYC_STR (""));
  racks = g_ptr_array_new ();
  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);

      /* Of a worker's labels, the last one names its rack. */
      if (worker->label_count > 1 && cell_worker_suits (core, stage, worker))
        {
          const char *label = worker->labels[worker->label_count - 1].data;

          if (!g_ptr_array_find_with_equal_func (racks, label, g_str_equal,
                                                 NULL))
            g_ptr_array_add (racks, (gpointer)label);
        }
    }
  for (guint i = 0; i < racks->len && !done; i++)
    done = place_gang_in (core, stage, &size,
                          cyc_str_of (g_ptr_array_index (racks, i)));
  g_ptr_array_free (racks, TRUE);
  return done || place_gang_in (core, stage, &size, CYC_STR (""));
}

bool
cell_gang_place (struct cell_core *core, struct cell_stage *stage)
{
  if (!place_whole (core, stage))
    return false;
  release_room (core, stage);
  return true;
}
