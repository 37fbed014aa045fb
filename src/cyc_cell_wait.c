/* Why a step waits. */

#include "cyc_cell_internal.h"

#include <string.h>

/* Counts what the stage may use now. */
static void
count_places (const struct cell_core *core, const struct cell_stage *stage,
              struct cell_wait *out)
{
  bool advised = stage->job->cfg.advice.required;

  out->allowed = advised ? cell_allowed_count (stage) : core->workers->len;
  for (uint32_t i = 0; i < out->allowed; i++)
    {
      const struct cell_worker *worker
          = cell_worker_at (core, advised ? cell_allowed_at (stage, i) : i);

      if (cell_worker_eligible (core, stage, worker))
        out->places += cell_slots_now (core, stage, worker);
    }
  for (uint32_t i = 0; advised && i < cell_ticket_count (stage); i++)
    out->tickets += cell_ticket_at (core, stage, i) != NULL;
}

/* Returns whether none of the tasks that wait may be tried yet. */
static bool
is_for_later (const struct cell_core *core, const struct cell_stage *stage)
{
  const struct cell_round *round = cell_round_at (stage->job, stage->round);
  uint32_t end = stage->first_task + stage->count;

  for (uint32_t t = cell_task_next_waiting (round, stage->first_task, end);
       t < end; t = cell_task_next_waiting (round, t + 1, end))
    {
      const struct cell_task *task
          = cell_task_peek (stage->job, stage->round, t);

      if (task->state == CELL_TASK_WAITING
          && task->not_before_us <= core->now_us)
        return false;
    }
  return true;
}

static enum cell_wait_cause
cause_of (const struct cell_core *core, const struct cell_stage *stage,
          const struct cell_wait *wait)
{
  struct cyc_resources size = cell_step_size (cell_stage_step (stage));

  if (!stage->job->cfg_known)
    return CELL_WAIT_NO_QUEUE;
  if (!cell_team_has_quota (core, stage->job->team, &size, wait->wanted))
    return CELL_WAIT_QUOTA;
  if (wait->waiting < wait->wanted)
    return CELL_WAIT_MEMBERS;
  if (is_for_later (core, stage))
    return CELL_WAIT_LATER;
  if (stage->trials_waiting >= stage->waiting)
    return CELL_WAIT_TRIAL;
  if (wait->allowed == 0)
    return CELL_WAIT_NO_ADVICE;
  if (wait->places < wait->wanted)
    return CELL_WAIT_NO_ROOM;
  if (stage->job->cfg.advice.required && wait->tickets == 0)
    return CELL_WAIT_NO_TICKET;
  return CELL_WAIT_OTHER;
}

bool
cell_wait_longest (const struct cell_core *core, uint64_t min_us,
                   struct cell_wait *out)
{
  const struct cell_stage *longest = NULL;

  for (guint i = 0; i < core->waiting->len; i++)
    {
      const struct cell_stage *stage = g_ptr_array_index (core->waiting, i);

      if (stage->stalled_since_us != 0 && stage->waiting > 0
          && cell_job_open (stage->job) && stage->job->stored
          && (longest == NULL
              || stage->stalled_since_us < longest->stalled_since_us))
        longest = stage;
    }
  if (longest == NULL || core->now_us < longest->stalled_since_us + min_us)
    return false;
  memset (out, 0, sizeof *out);
  out->job = longest->job->id;
  out->round = longest->round;
  out->step = longest->step;
  out->since_us = longest->stalled_since_us;
  out->wanted = cell_stage_step (longest)->gang ? longest->count : 1;
  out->waiting = longest->waiting;
  out->asked = longest->ask != 0;
  out->reserved = longest->has_reservation;
  count_places (core, longest, out);
  out->cause = cause_of (core, longest, out);
  return true;
}
