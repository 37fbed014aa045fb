/* Gangs: their members start together or not at all. A gang that does not fit
   reserves capacity on the workers where it is expected to come free first. */

#include "cyc_cell_internal.h"

#include "cyc_least_cost.h"

#include <stdlib.h>

/** Gangs may reserve at most this share of the fleet, since reserved capacity
 * idles while the rest of the reservation comes free. The first gang may
 * reserve what it needs. */
#define RESERVED_PERMILLE 250
/** The same where it is weighed, and waits cost their callers all that is
 * lost. */
#define RESERVED_MAX_PERMILLE 500
/** Interval at which it is weighed again, and the weight of one time. */
#define SHARE_INTERVAL_US 100000
#define SHARE_SMOOTHING 8
/** Interval at which the workers of a reservation are chosen again. */
#define RESERVE_INTERVAL_US 50000
/** Maximum number of runs of one worker considered when its capacity comes
 * free. */
#define RELEASES_MAX 64

/* Returns whether the whole gang fits now, on workers with a ticket if advice
   is required. */
static bool
gang_fits (const struct cell_core *core, const struct cell_stage *stage)
{
  bool advised = stage->job->cfg.advice.required;
  uint32_t count = advised ? cell_ticket_count (stage) : core->workers->len;
  uint64_t slots = 0;

  for (uint32_t i = 0; i < count && slots < stage->count; i++)
    {
      const struct cell_held_ticket *ticket
          = advised ? cell_ticket_at (core, stage, i) : NULL;
      const struct cell_worker *worker;

      if (advised && ticket == NULL)
        continue;
      worker = cell_worker_at (core, ticket != NULL ? ticket->worker : i);
      if (cell_worker_eligible (core, stage, worker)
          && !(core->fast_only && cell_speed_is_slow (core, worker)))
        slots += cell_slots_now (core, stage, worker);
    }
  return slots >= stage->count;
}

/* Returns whether the allowed workers have @p slots_on for the whole gang. */
static bool
fits_on_allowed (const struct cell_core *core, const struct cell_stage *stage,
                 uint32_t (*slots_on) (const struct cell_core *core,
                                       const struct cell_stage *stage,
                                       const struct cell_worker *worker))
{
  uint64_t slots = 0;

  for (guint i = 0; i < cell_allowed_count (stage) && slots < stage->count;
       i++)
    {
      const struct cell_worker *worker
          = cell_worker_at (core, cell_allowed_at (stage, i));

      if (cell_worker_eligible (core, stage, worker))
        slots += slots_on (core, stage, worker);
    }
  return slots >= stage->count;
}

bool
cell_gang_may_start_soon (const struct cell_core *core,
                          const struct cell_stage *stage)
{
  return fits_on_allowed (
      core, stage, stage->has_reservation ? cell_slots_soon : cell_slots_now);
}

/* Removes runs that were placed in this tick and not yet ordered. */
static void
undo_placements (struct cell_core *core, GPtrArray *runs)
{
  for (guint i = 0; i < runs->len; i++)
    {
      struct cell_run *run = g_ptr_array_index (runs, i);
      struct cell_task *task = cell_task_at (run->job, run->round, run->task);

      task->next_run = run->number;
      cell_task_set_state (run->job, run->round, run->task, CELL_TASK_WAITING);
      cell_run_free (core, run);
    }
  g_ptr_array_set_size (runs, 0);
}

/* Places all members of a gang or none, within @p rack if it is not empty. */
static bool
place_gang_in_rack (struct cell_core *core, struct cell_stage *stage,
                    const struct cyc_resources *size, struct cyc_str rack)
{
  GPtrArray *placed = g_ptr_array_new ();
  uint32_t number = 1;
  const struct cell_crashes *trial
      = cell_blame_trial (stage, stage->first_task);
  bool complete = true;

  for (uint32_t t = 0; t < stage->count; t++)
    number = MAX (number, cell_task_peek (stage->job, stage->round,
                                          stage->first_task + t)
                              ->next_run);
  for (uint32_t t = 0; t < stage->count && complete; t++)
    {
      uint32_t row = cell_best_worker (core, stage, size, rack, trial);

      complete = row != CELL_NO_ROW;
      if (complete)
        g_ptr_array_add (
            placed,
            cell_place (core, stage, stage->first_task + t, row, number));
    }
  if (complete)
    cell_speed_gang_placed (core, stage, placed);
  else
    undo_placements (core, placed);
  g_ptr_array_free (placed, TRUE);
  return complete;
}

static int
by_free_time (const void *a, const void *b)
{
  const struct cell_gang_place *left = a;
  const struct cell_gang_place *right = b;

  if (left->free_us != right->free_us)
    return left->free_us < right->free_us ? -1 : 1;
  return left->row < right->row ? -1 : left->row > right->row;
}

/* Resources that a run releases, and when. */
struct release
{
  uint64_t at_us;
  struct cyc_resources size;
};

static int
by_release_time (const void *a, const void *b)
{
  const struct release *left = a;
  const struct release *right = b;

  return left->at_us < right->at_us ? -1 : left->at_us > right->at_us;
}

uint64_t
cell_run_end_us (const struct cell_core *core, const struct cell_run *run)
{
  const Cyc__CellStep *step
      = cell_stage_step (cell_stage_of_task (run->job, run->round, run->task));

  if (run->stop_requested)
    return core->now_us;
  if (run->projected_end_us != 0)
    return MAX (run->projected_end_us, core->now_us);
  if (run->confirmed_us != 0 && cell_speed_run_us (core, run) != 0)
    return MAX (run->confirmed_us + cell_speed_run_us (core, run),
                core->now_us);
  return core->now_us + (uint64_t)step->estimate_ms * 1000;
}

/* Lists the runs of a worker by their expected end. Returns their number. */
static uint32_t
list_releases (const struct cell_core *core, const struct cell_worker *worker,
               struct release out[RELEASES_MAX])
{
  uint32_t count = 0;

  for (const struct cell_run *run = worker->runs;
       run != NULL && count < RELEASES_MAX; run = run->next)
    out[count++] = (struct release){ cell_run_end_us (core, run), run->size };
  if (count > 1)
    qsort (out, count, sizeof *out, by_release_time);
  return count;
}

void
cell_gang_places (const struct cell_core *core, const struct cell_stage *stage,
                  uint32_t row, uint32_t max, GArray *places)
{
  const struct cell_worker *worker = cell_worker_at (core, row);
  struct cyc_resources size = cell_step_size (cell_stage_step (stage));
  struct release releases[RELEASES_MAX];
  uint32_t count = list_releases (core, worker, releases);
  struct cell_resources used
      = { worker->used_millicores, worker->used_memory_mib,
          worker->used_accelerators };
  uint32_t slots = MIN (max, cell_slots_total (stage, worker));
  uint64_t free_us = core->now_us;
  uint32_t next = 0;

  for (uint32_t k = 1; k <= slots; k++)
    {
      struct cell_gang_place gang_place = { .row = row };

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
              = cell_remaining (used.millicores, release->size.millicores);
          used.memory_mib
              = cell_remaining (used.memory_mib, release->size.memory_mib);
          used.accelerators
              = cell_remaining (used.accelerators, release->size.accelerators);
        }
      gang_place.free_us = free_us;
      g_array_append_val (places, gang_place);
    }
}

void
cell_gang_sort_places (GArray *places)
{
  if (places->len > 1)
    qsort (places->data, places->len, sizeof (struct cell_gang_place),
           by_free_time);
}

/* Releases the reservations for which @p ended returns true. */
static void
release_if (struct cell_core *core,
            bool (*ended) (const struct cell_stage *stage, const void *arg),
            const void *arg)
{
  for (guint i = 0; i < core->reserved_rows->len;)
    {
      struct cell_worker *worker = cell_worker_at (
          core, g_array_index (core->reserved_rows, uint32_t, i));

      if (!ended (worker->reserved_for, arg))
        {
          i++;
          continue;
        }
      worker->reserved_for = NULL;
      worker->reserved = (struct cell_resources){ 0 };
      g_array_remove_index_fast (core->reserved_rows, i);
    }
}

static bool
is_stage (const struct cell_stage *stage, const void *wanted)
{
  return stage == wanted;
}

/* The rounds that release_if is to find; see CELL_ALL_ROUNDS. */
struct rounds_wanted
{
  const struct cell_job *job;
  uint32_t round;
};

static bool
is_of_rounds (const struct cell_stage *stage, const void *arg)
{
  const struct rounds_wanted *wanted = arg;

  return CELL_STAGE_IS_OF (stage, wanted->job, wanted->round);
}

static bool
no_longer_waits (const struct cell_stage *stage, const void *unused)
{
  (void)unused;
  return stage->waiting == 0 || !cell_job_open (stage->job)
         || !stage->has_reservation;
}

static void
release_reservation (struct cell_core *core, struct cell_stage *stage)
{
  if (stage->has_reservation)
    release_if (core, is_stage, stage);
  stage->has_reservation = false;
  stage->room_at_us = 0;
}

void
cell_gang_forget (struct cell_core *core, const struct cell_job *job,
                  uint32_t round)
{
  release_if (core, is_of_rounds, &(struct rounds_wanted){ job, round });
}

void
cell_gang_release_ended (struct cell_core *core)
{
  core->reserved_millicores = 0;
  release_if (core, no_longer_waits, NULL);
}

/* Lists the places that the gang may reserve. */
static GArray *
list_places (const struct cell_core *core, const struct cell_stage *stage)
{
  bool advised = stage->job->cfg.advice.required;
  uint32_t count = advised ? cell_allowed_count (stage) : core->workers->len;
  GArray *places = g_array_new (FALSE, FALSE, sizeof (struct cell_gang_place));

  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t row = advised ? cell_allowed_at (stage, i) : i;
      const struct cell_worker *worker = cell_worker_at (core, row);

      if (worker->reserved_for == NULL && worker->hold == 0
          && cell_worker_eligible (core, stage, worker))
        cell_gang_places (core, stage, row, stage->count, places);
    }
  cell_gang_sort_places (places);
  return places;
}

/* Returns what the callers of the stage lose if it waits. Work over its team's
   rate, or whose result is not awaited any more, has no claim. */
static double
loss_of (const struct cell_core *core, const struct cell_stage *stage)
{
  const struct cell_job *job = stage->job;
  const Cyc__CellStep *step = cell_stage_step (stage);
  uint64_t run_us = cell_speed_task_us (core, stage);

  if (stage->waiting == 0 || !cell_job_open (job) || job->over_rate
      || job->expires_us < core->now_us || step->long_running)
    return 0;
  if (run_us == 0)
    run_us = (uint64_t)step->estimate_ms * 1000;
  return lc_loss (
      &(struct lc_work){ .priority = job->cfg.priority,
                         .due_us = cell_speed_due_us (core, stage),
                         .run_us = run_us,
                         .core_ms = (uint64_t)stage->waiting * step->millicores
                                    * (run_us / 1000) / 1000 },
      core->now_us, LC_HORIZON_US);
}

void
cell_gang_weigh (struct cell_core *core)
{
  double gangs = 0;
  double others = 0;
  uint32_t share;

  if (!core->desc.weigh_reservations)
    {
      core->gang_share_permille = RESERVED_PERMILLE;
      return;
    }
  if (core->now_us < core->gang_weighed_us + SHARE_INTERVAL_US)
    return;
  core->gang_weighed_us = core->now_us;
  for (guint i = 0; i < core->waiting->len; i++)
    {
      const struct cell_stage *stage = g_ptr_array_index (core->waiting, i);

      if (cell_stage_step (stage)->gang)
        gangs += loss_of (core, stage);
      else
        others += loss_of (core, stage);
    }
  share = lc_share_permille (gangs, others, RESERVED_PERMILLE,
                             RESERVED_MAX_PERMILLE);
  if (core->gang_share_permille == 0)
    core->gang_share_permille = share;
  core->gang_share_permille
      = (core->gang_share_permille * (SHARE_SMOOTHING - 1) + share)
        / SHARE_SMOOTHING;
  core->gang_loss = gangs;
  core->others_loss = others;
}

void
cell_gang_reserve (struct cell_core *core, struct cell_stage *stage)
{
  struct cyc_resources size = cell_step_size (cell_stage_step (stage));
  uint64_t wanted_millicores = (uint64_t)stage->count * size.millicores;
  GArray *places;

  if (core->reserved_millicores > 0
      && core->reserved_millicores + wanted_millicores
             > core->totals.usable_millicores * core->gang_share_permille
                   / 1000)
    {
      release_reservation (core, stage);
      return;
    }
  core->reserved_millicores += wanted_millicores;
  if (stage->has_reservation && core->now_us < stage->reserve_again_us)
    return;
  release_if (core, is_stage, stage);
  stage->has_reservation = true;
  stage->reserve_again_us = core->now_us + RESERVE_INTERVAL_US;
  places = list_places (core, stage);
  cell_speed_choose_places (core, stage, places);
  cell_lend_note (stage, places);
  for (guint i = 0; i < places->len && i < stage->count; i++)
    {
      struct cell_worker *worker = cell_worker_at (
          core, g_array_index (places, struct cell_gang_place, i).row);

      if (worker->reserved_for == NULL)
        g_array_append_val (core->reserved_rows, worker->row);
      worker->reserved_for = stage;
      worker->reserved.millicores += size.millicores;
      worker->reserved.memory_mib += size.memory_mib;
      worker->reserved.accelerators += size.accelerators;
    }
  g_array_free (places, TRUE);
}

/* Places the gang on the faster workers, or on any if it would not be in time
   by waiting for these. */
static bool
place_gang_by_speed (struct cell_core *core, struct cell_stage *stage,
                     const struct cyc_resources *size)
{
  bool placed;
  GArray *places;

  if (!core->speeds.uneven)
    return place_gang_in_rack (core, stage, size, CYC_STR (""));
  core->fast_only = true;
  placed = gang_fits (core, stage)
           && place_gang_in_rack (core, stage, size, CYC_STR (""));
  core->fast_only = false;
  if (placed)
    return true;
  places = list_places (core, stage);
  placed = !cell_speed_gang_waits (core, stage, places)
           && place_gang_in_rack (core, stage, size, CYC_STR (""));
  g_array_free (places, TRUE);
  return placed;
}

static bool
try_place_gang (struct cell_core *core, struct cell_stage *stage)
{
  struct cyc_resources size = cell_step_size (cell_stage_step (stage));
  const struct cell_crashes *trial
      = cell_blame_trial (stage, stage->first_task);
  GPtrArray *racks;
  bool placed = false;

  if (stage->waiting < stage->count
      || !cell_team_has_quota (core, stage->job->team, &size, stage->count))
    return false;
  for (uint32_t t = 0; t < stage->count; t++)
    {
      uint64_t at_us
          = cell_task_peek (stage->job, stage->round, stage->first_task + t)
                ->not_before_us;

      if (at_us <= core->now_us)
        continue;
      cell_retry_placement (core, at_us);
      return false;
    }
  if ((trial != NULL && trial->hold == 0) || !gang_fits (core, stage))
    return false;
  if (!cell_stage_step (stage)->same_rack)
    return place_gang_by_speed (core, stage, &size);
  racks = g_ptr_array_new ();
  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);

      /* The last of several labels names the worker's rack. */
      if (worker->label_count > 1
          && cell_worker_eligible (core, stage, worker))
        {
          const char *label = worker->labels[worker->label_count - 1].data;

          if (!g_ptr_array_find_with_equal_func (racks, label, g_str_equal,
                                                 NULL))
            g_ptr_array_add (racks, (gpointer)label);
        }
    }
  for (guint i = 0; i < racks->len && !placed; i++)
    placed = place_gang_in_rack (core, stage, &size,
                                 cyc_str_of (g_ptr_array_index (racks, i)));
  g_ptr_array_free (racks, TRUE);
  return placed || place_gang_in_rack (core, stage, &size, CYC_STR (""));
}

bool
cell_gang_place (struct cell_core *core, struct cell_stage *stage)
{
  if (!try_place_gang (core, stage))
    return false;
  release_reservation (core, stage);
  return true;
}
