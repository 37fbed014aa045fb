/* Which workers a tick looks at, and what it knows of the others. A tick costs
   as much as has changed, however large the fleet is: a worker is looked at
   when it or one of its runs has changed, and when a deadline of it comes. */

#include "cyc_cell_internal.h"

/** A worker that was touched is looked at within this time, even if nothing
 * else brings a tick. */
#define TOUCHED_MAX_US 200000
/** Fraction of the used capacity (1/8) that comes free while advice is
 * requested: tasks take some seconds, advice half a second. */
#define SOON_FREE_DIVISOR 8

void
cell_look_setup (struct cell_core *core)
{
  due_setup (&core->due);
  core->touched = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  core->uncounted = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  core->unseen = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  core->awaiting_entries = g_array_new (FALSE, FALSE, sizeof (uint32_t));
}

void
cell_look_shutdown (struct cell_core *core)
{
  due_shutdown (&core->due);
  g_array_free (core->touched, TRUE);
  g_array_free (core->uncounted, TRUE);
  g_array_free (core->unseen, TRUE);
  g_array_free (core->awaiting_entries, TRUE);
}

static void
list_once (GArray *rows, bool *listed, uint32_t row)
{
  if (*listed)
    return;
  *listed = true;
  g_array_append_val (rows, row);
}

/* Returns false if the list is empty. */
static bool
take_last (GArray *rows, uint32_t *row)
{
  if (rows->len == 0)
    return false;
  *row = g_array_index (rows, uint32_t, rows->len - 1);
  g_array_set_size (rows, rows->len - 1);
  return true;
}

void
cell_worker_touch (struct cell_core *core, struct cell_worker *worker)
{
  worker->report_until_us = 0;
  list_once (core->touched, &worker->touched, worker->row);
  list_once (core->uncounted, &worker->uncounted, worker->row);
  list_once (core->unseen, &worker->unseen, worker->row);
  cell_wake (core, core->now_us + TOUCHED_MAX_US);
}

void
cell_worker_wake (struct cell_core *core, const struct cell_worker *worker,
                  uint64_t at_us)
{
  due_lower (&core->due, worker->row, at_us);
}

void
cell_look_await_entries (struct cell_core *core, struct cell_worker *worker)
{
  list_once (core->awaiting_entries, &worker->awaits_entries, worker->row);
}

void
cell_entries_read (struct cell_core *core, uint64_t until_us)
{
  uint32_t row;

  if (until_us <= core->entries_read_us)
    return;
  if (core->entries_first_us == 0)
    core->entries_first_us = until_us;
  core->entries_read_us = until_us;
  while (take_last (core->awaiting_entries, &row))
    {
      struct cell_worker *worker = cell_worker_at (core, row);

      worker->awaits_entries = false;
      cell_worker_touch (core, worker);
    }
}

struct cell_worker *
cell_look_next (struct cell_core *core)
{
  struct cell_worker *worker;
  uint32_t row;

  if (!take_last (core->touched, &row)
      && !due_take (&core->due, core->now_us, &row))
    return NULL;
  worker = cell_worker_at (core, row);
  worker->touched = false;
  due_set (&core->due, row, DUE_NEVER_US);
  /* Time may change its view and whether it is usable. */
  worker->report_until_us = 0;
  list_once (core->uncounted, &worker->uncounted, row);
  list_once (core->unseen, &worker->unseen, row);
  return worker;
}

bool
cell_worker_changed (struct cell_core *core, uint32_t *row)
{
  if (!take_last (core->unseen, row))
    return false;
  cell_worker_at (core, *row)->unseen = false;
  return true;
}

static struct cell_counted
count_worker (const struct cell_core *core, const struct cell_worker *worker)
{
  struct cell_counted counted = { 0 };

  if (worker->trial_count > 0)
    {
      bool up = worker->broken_us == 0 && worker->reachable;

      counted.trial_workers = up;
      counted.crashed_trial_workers = !up;
    }
  if (!cell_worker_usable (core, worker))
    return counted;
  counted.usable_workers = 1;
  counted.usable_millicores = worker->capacity.millicores;
  counted.soon_millicores
      = cell_remaining (worker->capacity.millicores, worker->used_millicores)
        + worker->used_millicores / SOON_FREE_DIVISOR;
  counted.soon_memory_mib
      = cell_remaining (worker->capacity.memory_mib, worker->used_memory_mib)
        + worker->used_memory_mib / SOON_FREE_DIVISOR;
  return counted;
}

void
cell_look_count (struct cell_core *core)
{
  struct cell_counted *totals = &core->totals;
  uint32_t row;

  while (take_last (core->uncounted, &row))
    {
      struct cell_worker *worker = cell_worker_at (core, row);
      struct cell_counted old = worker->counted;
      struct cell_counted new = count_worker (core, worker);

      worker->uncounted = false;
      worker->counted = new;
      totals->usable_workers += new.usable_workers - old.usable_workers;
      totals->trial_workers += new.trial_workers - old.trial_workers;
      totals->crashed_trial_workers
          += new.crashed_trial_workers - old.crashed_trial_workers;
      totals->usable_millicores
          += new.usable_millicores - old.usable_millicores;
      totals->soon_millicores += new.soon_millicores - old.soon_millicores;
      totals->soon_memory_mib += new.soon_memory_mib - old.soon_memory_mib;
      core->placement_pending
          = core->placement_pending || new.usable_workers > old.usable_workers;
    }
}

uint64_t
cell_look_report_after_us (const struct cell_core *core, uint32_t row)
{
  struct cell_worker *worker = cell_worker_at (core, row);
  uint64_t until_us = UINT64_MAX;
  uint64_t after_us;

  if (core->now_us < worker->report_until_us)
    return worker->report_after_us;
  after_us = cell_blame_report_after_us (core, worker, &until_us);
  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    after_us = MAX (after_us,
                    cell_over_report_after_us (core, worker, run, &until_us));
  worker->report_after_us = after_us;
  worker->report_until_us = until_us;
  return after_us;
}
