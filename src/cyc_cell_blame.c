/* Which task is to blame for the crash of a worker. */

#include "cyc_cell_internal.h"

#include <string.h>

void
cell_blame_setup (struct cell_core *core)
{
  g_queue_init (&core->blames);
}

void
cell_blame_shutdown (struct cell_core *core)
{
  g_queue_clear_full (&core->blames, g_free);
}

/* Queues a step about a worker, to be handed out. */
static void
report_worker (struct cell_core *core, enum cell_blame_kind kind, uint32_t row)
{
  const struct cell_worker *worker = cell_worker_at (core, row);
  struct cell_blame *blame = g_new0 (struct cell_blame, 1);

  blame->kind = kind;
  blame->worker = row;
  blame->worker_born_ms = worker->born_ms;
  blame->first_end = worker->broken_end;
  blame->broken_us = worker->broken_us;
  g_queue_push_tail (&core->blames, blame);
}

void
cell_blame_broken (struct cell_core *core, uint32_t row,
                   enum cell_call_end end, uint64_t broken_us)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  if (end == CELL_CALL_SILENT || worker->broken_us != 0
      || broken_us <= worker->clock_at_us)
    return;
  worker->broken_us = broken_us;
  worker->broken_end = end;
  if (worker->runs != NULL)
    report_worker (core, CELL_BLAME_BROKEN, row);
}

void
cell_blame_answered (struct cell_core *core, uint32_t row)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  if (worker->broken_us == 0)
    return;
  if (worker->runs != NULL)
    report_worker (core, CELL_BLAME_ALIVE, row);
  worker->broken_us = 0;
}

bool
cell_blame_next (struct cell_core *core, struct cell_blame *out)
{
  struct cell_blame *next = g_queue_pop_head (&core->blames);

  if (next == NULL)
    return false;
  *out = *next;
  g_free (next);
  return true;
}
