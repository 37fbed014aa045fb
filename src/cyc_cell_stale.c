/* Stale calls: calls to a worker that were made for an earlier incarnation of
   it. A worker that starts again under its id executes them, and an id in the
   call cannot tell the incarnations apart. Their deadline is on another clock,
   so they may extend its lease to the longest one that workers grant. It
   refuses them once it has got a call under a higher fencing token.

   A leader that does not see the restart cannot tell that there are any. A
   successor therefore assumes them, but for the incarnations that the records
   of runs name as settled. */

#include "cyc_cell_internal.h"

/* Returns until when a call may be executed that was sent by @p sent_us. */
static uint64_t
executed_until_us (uint64_t sent_us)
{
  return sent_us + CELL_CALL_MAX_US + CELL_CALL_LATE_MAX_US;
}

/* Returns until when the worker's incarnation may execute stale calls; 0 if
   there are none, or if the incarnation is not known: no run is then covered
   by its lease. */
static uint64_t
stale_calls_until_us (const struct cell_core *core,
                      const struct cell_worker *worker)
{
  uint64_t until_us = 0;

  if (worker->born_ms == 0)
    return 0;
  if (worker->reborn_us != 0)
    until_us = executed_until_us (worker->reborn_us);
  if (core->desc.earlier_until_us != 0
      && worker->settled_born_ms != worker->born_ms)
    until_us = MAX (until_us, executed_until_us (core->desc.earlier_until_us));
  return worker->fenced_us != 0 ? MIN (until_us, worker->fenced_us) : until_us;
}

uint64_t
cell_stale_lease_end_us (const struct cell_core *core,
                         const struct cell_worker *worker)
{
  uint64_t until_us = stale_calls_until_us (core, worker);

  return until_us != 0 ? cell_lease_end_us (until_us, core->desc.lease_max_ms)
                       : 0;
}

bool
cell_stale_settled (const struct cell_core *core,
                    const struct cell_worker *worker, uint64_t born_ms)
{
  if (born_ms == 0)
    return false;
  if (born_ms == worker->settled_born_ms)
    return true;
  return born_ms == worker->born_ms
         && cell_stale_lease_end_us (core, worker)
                <= cell_lease_lapsed_us (core, core->now_us);
}

void
cell_stale_restore (struct cell_worker *worker, uint64_t settled_born_ms)
{
  worker->settled_born_ms = MAX (worker->settled_born_ms, settled_born_ms);
}

void
cell_stale_fenced (const struct cell_core *core, struct cell_worker *worker,
                   uint64_t born_ms)
{
  if (born_ms != 0 && born_ms == worker->born_ms && worker->fenced_us == 0)
    worker->fenced_us = core->now_us;
}
