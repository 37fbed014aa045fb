/* Decisions that follow the learned speeds of workers; see cyc_speed.h.

   The load that this answers: a third of the workers take more than twice as
   long as the others. Urgent tasks that start at once are late there, and a
   gang with one member there takes as long as that member. So tasks that have
   little time go to faster workers, tasks that have much leave these to them,
   and a gang takes slow workers only if that ends it earlier, or in time.

   Everything here is neutral while speeds are not learned, or the workers are
   not known to differ. */

#include "cyc_cell_internal.h"

#include <math.h>
#include <string.h>

#define US_PER_S 1000000
#define REVIEW_INTERVAL_US US_PER_S
/** A task is tight if it would take more than this part of its time on a slow
 * worker, and has ample time below the first one. */
#define AMPLE_SHARE 0.4
#define TIGHT_SHARE 0.7
/** Interval at which the time of a stage is looked at. */
#define STAGE_INTERVAL_US 50000
/** Costs of a placement: of a slow worker for a tight task, for each time that
 * it takes longer, and of a fast worker for one with ample time. The first one
 * is above what packing saves, the second one within. */
#define SLOW_COST 2500.0
#define FAST_COST 800
/** A reborn worker may be of another kind: its evidence counts that much. */
#define REBORN_WEIGHT 0.5

void
cell_speed_setup (struct cell_core *core)
{
  spd_setup (&core->speeds);
}

void
cell_speed_shutdown (struct cell_core *core)
{
  spd_shutdown (&core->speeds);
}

double
cell_speed_factor (const struct cell_core *core,
                   const struct cell_worker *worker)
{
  return core->speeds.uneven && worker->speed_factor > 0 ? worker->speed_factor
                                                         : 1.0;
}

bool
cell_speed_is_slow (const struct cell_core *core,
                    const struct cell_worker *worker)
{
  return core->speeds.uneven && worker->slow;
}

void
cell_speed_refresh (const struct cell_core *core, struct cell_worker *worker)
{
  worker->speed_factor
      = spd_factor (&core->speeds, &worker->speed, core->now_us);
  worker->slow = worker->speed_factor > spd_fast_limit (&core->speeds);
}

void
cell_speed_reborn (struct cell_worker *worker, uint64_t born_ms)
{
  uint64_t known_ms
      = worker->born_ms != 0 ? worker->born_ms : worker->speed_born_ms;

  if (known_ms == 0 || known_ms == born_ms)
    return;
  worker->speed.sum *= REBORN_WEIGHT;
  worker->speed.weight *= REBORN_WEIGHT;
}

void
cell_speed_done (struct cell_core *core, const struct cell_run *run)
{
  struct cell_stage *stage
      = cell_stage_of_task (run->job, run->round, run->task);
  const Cyc__CellStep *step = cell_stage_step (stage);
  struct cell_worker *worker = cell_worker_at (core, run->worker);
  uint64_t took_us = core->now_us - run->confirmed_us;

  if (!core->desc.learn_speeds || !cell_run_start_known (run) || run->resumed
      || step->long_running)
    return;
  if (step->gang)
    {
      if (stage->gang_factor > 0)
        spd_queue_sample (&core->speeds, run->job->queue.data,
                          (uint64_t)((double)took_us / stage->gang_factor));
    }
  else if (cell_stage_prefers (stage, run->worker, worker))
    {
      spd_sample (&core->speeds, run->job->queue.data, &stage->speeds,
                  &worker->speed, took_us, core->now_us);
      if (core->speeds.uneven)
        cell_speed_refresh (core, worker);
    }
}

void
cell_speed_tick (struct cell_core *core)
{
  struct spd_worker **speeds;
  bool was = core->speeds.uneven;

  if (!core->desc.learn_speeds
      || core->now_us < core->speeds_reviewed_us + REVIEW_INTERVAL_US)
    return;
  core->speeds_reviewed_us = core->now_us;
  speeds = g_new (struct spd_worker *, core->workers->len);
  for (guint i = 0; i < core->workers->len; i++)
    speeds[i] = &cell_worker_at (core, i)->speed;
  spd_review (&core->speeds, speeds, core->workers->len, core->now_us);
  g_free (speeds);
  for (guint i = 0; core->speeds.uneven && i < core->workers->len; i++)
    cell_speed_refresh (core, cell_worker_at (core, i));
  core->placement_pending |= core->speeds.uneven != was;
}

uint64_t
cell_speed_task_us (const struct cell_core *core,
                    const struct cell_stage *stage)
{
  return spd_queue_us (&core->speeds, stage->job->queue.data);
}

/* The estimate that a job declares may be off by its whole length, so the
   queue's usual duration takes its place where the job has one step. */
uint64_t
cell_speed_due_us (const struct cell_core *core,
                   const struct cell_stage *stage)
{
  const struct cell_job *job = stage->job;
  uint64_t after_us
      = cell_remaining (stage->critical_path_us,
                        (uint64_t)cell_stage_step (stage)->estimate_ms * 1000);
  uint64_t slack_permille
      = job->cfg.slack_permille > 0 ? job->cfg.slack_permille : 1000;

  if (job->spec->n_steps == 1 && job->spec->repeat_count == 0
      && cell_speed_task_us (core, stage) != 0)
    return job->accepted_us
           + cell_speed_task_us (core, stage) * slack_permille / 1000
           + (uint64_t)job->cfg.objective_ms * 1000;
  return cell_remaining (job->deadline_us, after_us);
}

void
cell_speed_look (const struct cell_core *core, struct cell_stage *stage)
{
  double left_us;
  double share;

  if (!core->speeds.uneven)
    return;
  if (stage->usual_at_us != 0
      && core->now_us < stage->usual_at_us + STAGE_INTERVAL_US)
    return;
  stage->usual_at_us = core->now_us;
  stage->usual_us = cell_speed_task_us (core, stage);
  left_us
      = (double)cell_remaining (cell_speed_due_us (core, stage), core->now_us);
  share = left_us > 0 ? (double)stage->usual_us
                            * spd_slow_factor (&core->speeds) / left_us
                      : 1.0;
  stage->tightness
      = CLAMP ((share - AMPLE_SHARE) / (TIGHT_SHARE - AMPLE_SHARE), 0.0, 1.0);
}

uint64_t
cell_speed_cost (const struct cell_core *core, const struct cell_stage *stage,
                 const struct cell_worker *worker)
{
  if (!core->speeds.uneven || stage->usual_us == 0
      || cell_stage_step (stage)->gang)
    return 0;
  return worker->slow
             ? (uint64_t)(stage->tightness * SLOW_COST * worker->speed_factor)
             : (uint64_t)((1.0 - stage->tightness) * FAST_COST);
}

/* Returns the slowness of a gang's slowest member; none if an earlier leader
   has placed it. */
static double
gang_factor (const struct cell_stage *stage)
{
  return stage->gang_factor > 0 ? stage->gang_factor : 1.0;
}

uint64_t
cell_speed_run_us (const struct cell_core *core, const struct cell_run *run)
{
  const struct cell_stage *stage
      = cell_stage_of_task (run->job, run->round, run->task);
  double factor
      = cell_stage_step (stage)->gang
            ? gang_factor (stage)
            : cell_speed_factor (core, cell_worker_at (core, run->worker));

  return core->speeds.uneven
             ? (uint64_t)((double)cell_speed_task_us (core, stage) * factor)
             : 0;
}

/* Gangs. */

/* Returns when the gang would end on the first places; UINT64_MAX if there are
   too few. */
static uint64_t
end_on (const struct cell_core *core, const struct cell_stage *stage,
        const GArray *places)
{
  double factor = 0;

  if (places->len < stage->count)
    return UINT64_MAX;
  for (uint32_t i = 0; i < stage->count; i++)
    factor = MAX (
        factor,
        cell_speed_factor (
            core,
            cell_worker_at (
                core, g_array_index (places, struct cell_gang_place, i).row)));
  return g_array_index (places, struct cell_gang_place, stage->count - 1)
             .free_us
         + (uint64_t)((double)cell_speed_task_us (core, stage) * factor);
}

void
cell_speed_choose_places (const struct cell_core *core,
                          const struct cell_stage *stage, GArray *places)
{
  GArray *fast;

  if (!core->speeds.uneven || cell_speed_task_us (core, stage) == 0)
    return;
  fast = g_array_new (FALSE, FALSE, sizeof (struct cell_gang_place));
  for (guint i = 0; i < places->len; i++)
    {
      struct cell_gang_place place
          = g_array_index (places, struct cell_gang_place, i);

      if (!cell_speed_is_slow (core, cell_worker_at (core, place.row)))
        g_array_append_val (fast, place);
    }
  if (end_on (core, stage, fast) <= end_on (core, stage, places))
    {
      g_array_set_size (places, 0);
      g_array_append_vals (places, fast->data, fast->len);
    }
  g_array_free (fast, TRUE);
}

bool
cell_speed_gang_waits (const struct cell_core *core,
                       const struct cell_stage *stage, GArray *places)
{
  uint64_t task_us = cell_speed_task_us (core, stage);
  uint64_t mixed_us;
  uint64_t due = cell_speed_due_us (core, stage);
  uint64_t all = places->len;

  if (!core->speeds.uneven || task_us == 0)
    return false;
  mixed_us = end_on (core, stage, places);
  if (mixed_us <= due)
    return false;
  cell_speed_choose_places (core, stage, places);
  return places->len < all && end_on (core, stage, places) <= due;
}

void
cell_speed_gang_placed (const struct cell_core *core, struct cell_stage *stage,
                        const GPtrArray *runs)
{
  stage->gang_factor = 0;
  for (guint i = 0; i < runs->len; i++)
    {
      const struct cell_run *run = g_ptr_array_index (runs, i);

      stage->gang_factor
          = MAX (stage->gang_factor,
                 cell_speed_factor (core, cell_worker_at (core, run->worker)));
    }
}
