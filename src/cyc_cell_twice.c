/* Runs of one task that are at work at once. Nothing is decided here: the
   pairs are handed out for the log. */

#include "cyc_cell_internal.h"

/* All runs of a task are equal, so that the first extra one is the key of the
   list. */
static guint
task_hash (gconstpointer key)
{
  const struct cell_run *run = key;

  return g_direct_hash (run->job) ^ (run->round * 31) ^ (run->task << 8);
}

static gboolean
task_equal (gconstpointer a, gconstpointer b)
{
  const struct cell_run *left = a;
  const struct cell_run *right = b;

  return left->job == right->job && left->round == right->round
         && left->task == right->task;
}

void
cell_twice_setup (struct cell_core *core)
{
  g_queue_init (&core->twices);
  core->extra_runs = g_hash_table_new (task_hash, task_equal);
}

void
cell_twice_shutdown (struct cell_core *core)
{
  g_hash_table_destroy (core->extra_runs);
  g_queue_clear_full (&core->twices, g_free);
}

void
cell_twice_extra (struct cell_core *core, struct cell_run *run)
{
  run->extra = true;
  run->next_extra = g_hash_table_lookup (core->extra_runs, run);
  g_hash_table_replace (core->extra_runs, run, run);
}

void
cell_twice_freed (struct cell_core *core, struct cell_run *run)
{
  struct cell_run *before;

  if (!run->extra)
    return;
  before = g_hash_table_lookup (core->extra_runs, run);
  if (before == run)
    {
      g_hash_table_remove (core->extra_runs, run);
      if (run->next_extra != NULL)
        g_hash_table_add (core->extra_runs, run->next_extra);
      return;
    }
  while (before->next_extra != run)
    before = before->next_extra;
  before->next_extra = run->next_extra;
}

/* Returns whether the last report of the run's worker shows it: the run is
   freed or stopped when a report lacks it. */
static bool
is_shown (const struct cell_core *core, const struct cell_run *run)
{
  return run->seen_born_ms != 0
         && run->seen_born_ms == cell_worker_at (core, run->worker)->born_ms;
}

static bool
same_ref (struct cyc_ref a, struct cyc_ref b)
{
  return a.index == b.index && a.generation == b.generation;
}

static struct cell_twice_run
describe (const struct cell_core *core, const struct cell_run *run)
{
  const struct cell_worker *worker = cell_worker_at (core, run->worker);

  return (struct cell_twice_run){ .run = run->number,
                                  .worker = run->worker,
                                  .answered = run->answered_us != 0,
                                  .shown = is_shown (core, run),
                                  .stopping = run->stop_requested,
                                  .adopted = run->adopted,
                                  .born_ms = worker->born_ms,
                                  .ordered_us = run->ordered_us,
                                  .reported_us = worker->clock_at_us };
}

/* Hands out the pair if both runs are at work: the start of one may only have
   been answered, but a report must show the other. */
static void
check_pair (struct cell_core *core, struct cell_run *run,
            struct cell_run *other)
{
  bool run_shown = is_shown (core, run);
  bool other_shown = is_shown (core, other);
  struct cell_twice *twice;

  if (other == run || (!run_shown && !other_shown)
      || (!run_shown && run->answered_us == 0)
      || (!other_shown && other->answered_us == 0)
      || same_ref (run->twice_with, other->ref)
      || same_ref (other->twice_with, run->ref))
    return;
  run->twice_with = other->ref;
  other->twice_with = run->ref;
  twice = g_new0 (struct cell_twice, 1);
  cell_task_name (run, twice->task);
  twice->found_us = core->now_us;
  twice->runs[0] = describe (core, run);
  twice->runs[1] = describe (core, other);
  g_queue_push_tail (&core->twices, twice);
}

void
cell_twice_check (struct cell_core *core, struct cell_run *run)
{
  struct cell_run *current
      = cell_task_peek (run->job, run->round, run->task)->run;

  if (current != NULL)
    check_pair (core, run, current);
  if (g_hash_table_size (core->extra_runs) == 0)
    return;
  for (struct cell_run *extra = g_hash_table_lookup (core->extra_runs, run);
       extra != NULL; extra = extra->next_extra)
    check_pair (core, run, extra);
}

bool
cell_twice_next (struct cell_core *core, struct cell_twice *out)
{
  struct cell_twice *next = g_queue_pop_head (&core->twices);

  if (next == NULL)
    return false;
  *out = *next;
  g_free (next);
  return true;
}
