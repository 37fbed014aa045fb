/* Why capacity is free: the split of free CPU by cause. */

#include "cyc_cell_internal.h"

#include <string.h>

/** Stages that are compared with each worker, in the order in which they are
 * served. */
#define STAGES_MAX 64

/* Capacity that is neither used nor kept. */
static struct cyc_resources
unreserved (const struct cell_worker *worker)
{
  return (struct cyc_resources){
    .millicores = (uint32_t)cell_remaining (worker->capacity.millicores,
                                            worker->used_millicores
                                                + worker->reserved.millicores),
    .memory_mib = (uint32_t)cell_remaining (worker->capacity.memory_mib,
                                            worker->used_memory_mib
                                                + worker->reserved.memory_mib),
    .accelerators = (uint32_t)cell_remaining (
        worker->capacity.accelerators,
        worker->used_accelerators + worker->reserved.accelerators),
  };
}

static bool
fits (const struct cyc_resources *size, const struct cyc_resources *room)
{
  return size->millicores <= room->millicores
         && size->memory_mib <= room->memory_mib
         && size->accelerators <= room->accelerators;
}

/* Returns why the room that is left on a usable worker is free. */
static enum cell_idle_cause
cause_of_room (const struct cell_core *core, const struct cell_worker *worker,
               const struct cyc_resources *room)
{
  enum cell_idle_cause cause = CELL_IDLE_FRAGMENT;

  for (guint i = 0; i < core->waiting->len && i < STAGES_MAX; i++)
    {
      const struct cell_stage *stage = g_ptr_array_index (core->waiting, i);
      const Cyc__CellStep *step = cell_stage_step (stage);
      struct cyc_resources size = cell_step_size (step);

      if (stage->waiting == 0 || !cell_job_open (stage->job)
          || !fits (&size, room) || !cell_worker_suits (stage, worker))
        continue;
      if (step->gang)
        cause = MAX (cause, CELL_IDLE_GANG);
      else if (stage->job->cfg.advice.required
               && cell_ticket_for (core, stage, worker->row) == NULL)
        cause = MAX (cause, CELL_IDLE_NO_TICKET);
      else
        return CELL_IDLE_OTHER;
    }
  return cause;
}

void
cell_idle_split (const struct cell_core *core, struct cell_idle *out)
{
  bool waits = false;

  for (guint i = 0; i < core->waiting->len && !waits; i++)
    {
      const struct cell_stage *stage = g_ptr_array_index (core->waiting, i);

      waits = stage->waiting > 0 && cell_job_open (stage->job);
    }
  memset (out, 0, sizeof *out);
  for (uint32_t row = 0; row < core->workers->len; row++)
    {
      const struct cell_worker *worker = cell_worker_at (core, row);
      uint64_t free_millicores = cell_remaining (worker->capacity.millicores,
                                                 worker->used_millicores);
      struct cyc_resources room = unreserved (worker);
      enum cell_idle_cause cause;

      if (!worker->listed)
        continue;
      if (worker->evacuated)
        cause = CELL_IDLE_EVACUATED;
      else if (!cell_worker_usable (core, worker))
        cause = CELL_IDLE_UNUSABLE;
      else if (!waits)
        cause = CELL_IDLE_NO_WORK;
      else if (worker->hold != 0)
        cause = CELL_IDLE_KEPT;
      else
        {
          out->millicores[CELL_IDLE_KEPT] += free_millicores - room.millicores;
          free_millicores = room.millicores;
          cause = cause_of_room (core, worker, &room);
        }
      out->millicores[cause] += free_millicores;
    }
}
