/* Backfill: room that is kept for a gang is lent to tasks that are expected to
   end before the gang can start.

   The load that this answers: short urgent tasks and gangs of long ones, more
   of both than the fleet can take. A gang keeps room on a dozen workers until
   the last of them is free, for seconds, while steps of one second wait beside
   it; at 540 workers that was a seventh of the fleet.

   Lending must not starve the gang. The time at which its room was to be
   complete is kept, and moved forward only, so that lending ends by itself:
   from then on, nothing is lent that could run past it. A task that takes
   longer than nine in ten of its queue delays the gang by what it takes
   longer. A gang that finds too few places at all cannot start before others
   end: its room is lent to any task that ends. */

#include "cyc_cell_internal.h"

/** From the placement of a run until its start, and from its end until that is
 * known: a record, a call and a report. */
#define OVERHEAD_US 150000

void
cell_lend_note (struct cell_stage *gang, const GArray *places)
{
  uint64_t complete_us = UINT64_MAX;

  if (places->len >= gang->count)
    complete_us
        = g_array_index (places, struct cell_gang_place, gang->count - 1)
              .free_us;
  if (gang->room_at_us == 0 || complete_us < gang->room_at_us)
    gang->room_at_us = complete_us;
}

bool
cell_lend_allowed (const struct cell_core *core, const struct cell_stage *gang,
                   const struct cell_stage *stage)
{
  uint64_t run_us = cell_pace_long_us (core, stage);

  return run_us != 0 && !cell_stage_step (stage)->long_running
         && core->now_us + OVERHEAD_US + run_us <= gang->room_at_us;
}
