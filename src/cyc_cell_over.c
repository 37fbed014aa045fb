/* Runs that are over although their worker has listed no end of them. */

#include "cyc_cell_internal.h"

#include <stdio.h>
#include <string.h>

/** A conclusion is remembered for this long, to notice a report that
 * contradicts it. */
#define CONCLUSION_KEPT_US 60000000

static guint
conclusion_hash (gconstpointer key)
{
  const struct cell_conclusion *conclusion = key;

  return g_str_hash (conclusion->task) ^ (conclusion->run * 31)
         ^ (conclusion->worker << 16);
}

static gboolean
conclusion_equal (gconstpointer a, gconstpointer b)
{
  const struct cell_conclusion *left = a;
  const struct cell_conclusion *right = b;

  return left->run == right->run && left->worker == right->worker
         && strcmp (left->task, right->task) == 0;
}

void
cell_over_setup (struct cell_core *core)
{
  g_queue_init (&core->conclusions);
  g_queue_init (&core->concluded_by_age);
  core->concluded = g_hash_table_new (conclusion_hash, conclusion_equal);
}

void
cell_over_shutdown (struct cell_core *core)
{
  g_hash_table_destroy (core->concluded);
  g_queue_clear_full (&core->concluded_by_age, g_free);
  g_queue_clear_full (&core->conclusions, g_free);
}

static void
forget (struct cell_core *core, struct cell_conclusion *conclusion)
{
  g_hash_table_remove (core->concluded, conclusion);
  g_queue_remove (&core->concluded_by_age, conclusion);
  g_free (conclusion);
}

static void
forget_old (struct cell_core *core)
{
  struct cell_conclusion *oldest;

  while ((oldest = g_queue_peek_head (&core->concluded_by_age)) != NULL
         && oldest->concluded_us + CONCLUSION_KEPT_US < core->now_us)
    forget (core, oldest);
}

static void
hand_out (struct cell_core *core, const struct cell_conclusion *conclusion)
{
  g_queue_push_tail (&core->conclusions,
                     g_memdup2 (conclusion, sizeof *conclusion));
}

static void
remember (struct cell_core *core, const struct cell_conclusion *conclusion)
{
  struct cell_conclusion *old
      = g_hash_table_lookup (core->concluded, conclusion);
  struct cell_conclusion *kept = g_memdup2 (conclusion, sizeof *conclusion);

  if (old != NULL)
    forget (core, old);
  g_hash_table_add (core->concluded, kept);
  g_queue_push_tail (&core->concluded_by_age, kept);
}

void
cell_run_conclude (struct cell_core *core, struct cell_run *run,
                   enum cell_over over, uint64_t evidence_us)
{
  const struct cell_worker *worker = cell_worker_at (core, run->worker);
  struct cell_conclusion conclusion = {
    .over = over,
    .run = run->number,
    .worker = run->worker,
    .run_born_ms = run->worker_born_ms,
    .worker_born_ms = worker->born_ms,
    .ordered_us = run->ordered_us,
    .confirmed_us = run->confirmed_us,
    .stop_confirmed_us = run->stop_confirmed_us,
    .evidence_us = evidence_us,
    .concluded_us = core->now_us,
    .lease_deadline_ms = worker->lease_deadline_ms,
  };

  cell_task_name (run, conclusion.task);
  if (over != CELL_OVER_UNORDERED)
    {
      forget_old (core);
      hand_out (core, &conclusion);
      remember (core, &conclusion);
    }
  cell_run_ended (core, run,
                  over == CELL_OVER_UNORDERED || over == CELL_OVER_REFUSED
                      ? CELL_END_STOPPED
                      : CELL_END_LAPSED,
                  CYC_STR (""));
}

bool
cell_over_contradict (struct cell_core *core, uint32_t worker,
                      struct cyc_str task, uint32_t run)
{
  struct cell_conclusion wanted = { .worker = worker, .run = run };
  struct cell_conclusion *found;

  snprintf (wanted.task, sizeof wanted.task, "%.*s", CYC_FMT (task));
  found = g_hash_table_lookup (core->concluded, &wanted);
  if (found == NULL)
    return false;
  found->contradicted = true;
  hand_out (core, found);
  forget (core, found);
  return true;
}

bool
cell_conclusion_next (struct cell_core *core, struct cell_conclusion *out)
{
  struct cell_conclusion *next = g_queue_pop_head (&core->conclusions);

  if (next == NULL)
    return false;
  *out = *next;
  g_free (next);
  return true;
}
