#include "tst_walk.h"

#include "cyc_cell_internal.h"

#include <string.h>

/* As the core did when each view walked over the runs. */
static uint64_t
report_after_us (const struct cell_core *core,
                 const struct cell_worker *worker)
{
  uint64_t until_us = UINT64_MAX;
  uint64_t after_us = cell_blame_report_after_us (core, worker, &until_us);

  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    after_us = MAX (after_us,
                    cell_over_report_after_us (core, worker, run, &until_us));
  return after_us;
}

static bool
same_counts (const struct cell_counted *a, const struct cell_counted *b)
{
  return a->usable_workers == b->usable_workers
         && a->trial_workers == b->trial_workers
         && a->crashed_trial_workers == b->crashed_trial_workers
         && a->usable_millicores == b->usable_millicores
         && a->soon_millicores == b->soon_millicores
         && a->soon_memory_mib == b->soon_memory_mib;
}

static struct cell_counted
count (const struct cell_core *core, const struct cell_worker *worker)
{
  bool up = worker->broken_us == 0 && worker->reachable;
  struct cell_counted counted
      = { .trial_workers = worker->trial_count > 0 && up,
          .crashed_trial_workers = worker->trial_count > 0 && !up };

  if (!cell_worker_usable (core, worker))
    return counted;
  counted.usable_workers = 1;
  counted.usable_millicores = worker->capacity.millicores;
  counted.soon_millicores
      = cell_remaining (worker->capacity.millicores, worker->used_millicores)
        + worker->used_millicores / 8;
  counted.soon_memory_mib
      = cell_remaining (worker->capacity.memory_mib, worker->used_memory_mib)
        + worker->used_memory_mib / 8;
  return counted;
}

static void
add (struct cell_counted *totals, const struct cell_counted *counted)
{
  totals->usable_workers += counted->usable_workers;
  totals->trial_workers += counted->trial_workers;
  totals->crashed_trial_workers += counted->crashed_trial_workers;
  totals->usable_millicores += counted->usable_millicores;
  totals->soon_millicores += counted->soon_millicores;
  totals->soon_memory_mib += counted->soon_memory_mib;
}

/* Returns what differs in the tables; NULL if nothing does. */
static const char *
compare_tables (const struct cell_core *core)
{
  struct cell_counted totals = { 0 };
  uint32_t reserved = 0;

  for (uint32_t row = 0; row < core->workers->len; row++)
    {
      const struct cell_worker *worker = cell_worker_at (core, row);
      struct cell_counted counted = count (core, worker);
      struct cell_worker_view view;

      reserved += worker->reserved_for != NULL;
      add (&totals, &worker->counted);
      if (!worker->uncounted && !same_counts (&counted, &worker->counted))
        return "what a worker adds to the totals";
      cell_worker_view (core, row, &view);
      if (view.report_after_us != report_after_us (core, worker))
        return "the time after which a report is wanted";
      if (worker->ack_batch != 0 && !worker->ack_listed)
        return "an acknowledgement that waits for a batch";
    }
  if (reserved != core->reserved_rows->len)
    return "the workers with a reservation";
  if (!same_counts (&totals, &core->totals))
    return "the totals of the workers";
  return NULL;
}

/* What looking at workers may lead to. */
struct effects
{
  guint orders;
  guint conclusions;
  guint blames;
  uint32_t runs;
  uint32_t unconfirmed;
};

static struct effects
effects_of (const struct cell_core *core)
{
  struct effects effects = { core->orders.length, core->conclusions.length,
                             core->blames.length, 0, 0 };

  for (uint32_t row = 0; row < core->workers->len; row++)
    for (const struct cell_run *run = cell_worker_at (core, row)->runs;
         run != NULL; run = run->next)
      {
        effects.runs++;
        effects.unconfirmed += run->unconfirmed_us != 0;
      }
  return effects;
}

const char *
walk_difference (struct cell_core *core)
{
  const char *difference = compare_tables (core);
  struct effects before;
  struct effects after;

  /* What was touched since the tick is looked at in the next one. */
  cell_runs_tick (core);
  before = effects_of (core);
  for (uint32_t row = 0; row < core->workers->len; row++)
    cell_worker_touch (core, cell_worker_at (core, row));
  cell_runs_tick (core);
  after = effects_of (core);
  if (memcmp (&before, &after, sizeof before) != 0)
    return "a worker that was due and not looked at";
  return difference;
}
