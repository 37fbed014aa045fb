/* Rounds of jobs, and the blocks in which their tasks are kept. A block has
   rows only once one of its tasks differs from how it was set up, so that a
   round takes as much memory as was started of it. */

#include "cyc_cell_internal.h"

#define US_PER_MS 1000

static const struct cell_task untouched_task = { .next_run = 1 };

struct cell_round *
cell_round_at (const struct cell_job *job, uint32_t round)
{
  return &job->rounds[round];
}

struct cell_stage *
cell_stage_of_task (struct cell_job *job, uint32_t round, uint32_t task)
{
  struct cell_stage *stages = cell_round_at (job, round)->stages;

  for (size_t s = 0; s < job->spec->n_steps; s++)
    if (task < stages[s].first_task + stages[s].count)
      return &stages[s];
  return NULL;
}

/* Blocks. */

static struct cell_block *
block_of (const struct cell_job *job, uint32_t round, uint32_t task)
{
  return &cell_round_at (job, round)->blocks[task / CELL_BLOCK_TASKS];
}

/* Returns the number of tasks of the block. */
static uint32_t
block_size (const struct cell_job *job, uint32_t block)
{
  return MIN (CELL_BLOCK_TASKS, job->task_count - block * CELL_BLOCK_TASKS);
}

const struct cell_task *
cell_task_peek (const struct cell_job *job, uint32_t round, uint32_t task)
{
  const struct cell_block *block = block_of (job, round, task);

  return block->tasks != NULL ? &block->tasks[task % CELL_BLOCK_TASKS]
                              : &untouched_task;
}

struct cell_task *
cell_task_at (const struct cell_job *job, uint32_t round, uint32_t task)
{
  struct cell_block *block = block_of (job, round, task);
  uint32_t size = block_size (job, task / CELL_BLOCK_TASKS);

  if (block->tasks == NULL)
    {
      block->tasks = g_new (struct cell_task, size);
      for (uint32_t t = 0; t < size; t++)
        block->tasks[t] = untouched_task;
    }
  return &block->tasks[task % CELL_BLOCK_TASKS];
}

void
cell_task_set_state (struct cell_job *job, uint32_t round, uint32_t task,
                     enum cell_task_state state)
{
  struct cell_task *row = cell_task_at (job, round, task);
  struct cell_stage *stage = cell_stage_of_task (job, round, task);
  struct cell_block *block = block_of (job, round, task);

  if (row->state == state)
    return;
  if (row->state == CELL_TASK_WAITING)
    {
      stage->waiting--;
      block->waiting--;
    }
  if (state == CELL_TASK_WAITING)
    {
      stage->waiting++;
      block->waiting++;
    }
  if (state == CELL_TASK_DONE)
    {
      stage->done++;
      cell_round_at (job, round)->tasks_done++;
    }
  row->state = state;
}

uint32_t
cell_task_next_row (const struct cell_round *round, uint32_t task,
                    uint32_t end)
{
  while (task < end && round->blocks[task / CELL_BLOCK_TASKS].tasks == NULL)
    task = (task / CELL_BLOCK_TASKS + 1) * CELL_BLOCK_TASKS;
  return MIN (task, end);
}

uint32_t
cell_task_next_waiting (const struct cell_round *round, uint32_t task,
                        uint32_t end)
{
  while (task < end && round->blocks[task / CELL_BLOCK_TASKS].waiting == 0)
    task = (task / CELL_BLOCK_TASKS + 1) * CELL_BLOCK_TASKS;
  return MIN (task, end);
}

/* Rounds. */

/* Sets the longest chain of estimates from each step to the end of the
   round. */
static void
set_critical_paths (const struct cell_job *job, struct cell_round *round)
{
  for (size_t s = job->spec->n_steps; s-- > 0;)
    {
      const Cyc__CellStep *step = job->spec->steps[s];
      uint64_t critical_path_us = round->stages[s].critical_path_us
                                  + (uint64_t)step->estimate_ms * US_PER_MS;

      /* So far critical_path_us holds the longest chain that follows the
         step. */
      round->stages[s].critical_path_us = critical_path_us;
      for (size_t d = 0; d < step->n_depends_on; d++)
        {
          struct cell_stage *dependency = &round->stages[step->depends_on[d]];

          dependency->critical_path_us
              = MAX (dependency->critical_path_us, critical_path_us);
        }
    }
}

static void
setup_round (struct cell_job *job, uint32_t index)
{
  struct cell_round *round = cell_round_at (job, index);
  uint32_t first = 0;

  round->index = index;
  if (job->spec->repeat_count > 0)
    round->due_ms = job->spec->first_due_ms + index * job->spec->interval_ms;
  round->due = round->due_ms == 0;
  round->blocks = g_new0 (struct cell_block, job->block_count);
  round->stages = g_new0 (struct cell_stage, job->spec->n_steps);
  for (uint32_t b = 0; b < job->block_count; b++)
    round->blocks[b].waiting = block_size (job, b);
  for (uint32_t s = 0; s < job->spec->n_steps; s++)
    {
      struct cell_stage *stage = &round->stages[s];

      stage->job = job;
      stage->round = index;
      stage->step = s;
      stage->first_task = first;
      stage->count = job->spec->steps[s]->count;
      stage->waiting = stage->count;
      first += stage->count;
    }
  set_critical_paths (job, round);
}

void
cell_rounds_setup (struct cell_job *job)
{
  job->rounds = g_new0 (struct cell_round, job->round_count);
  for (uint32_t r = 0; r < job->round_count; r++)
    setup_round (job, r);
}

void
cell_rounds_free (struct cell_job *job)
{
  for (uint32_t r = 0; r < job->round_count; r++)
    {
      struct cell_round *round = cell_round_at (job, r);

      for (size_t s = 0; s < job->spec->n_steps; s++)
        cell_stage_release (&round->stages[s]);
      for (uint32_t t = cell_task_next_row (round, 0, job->task_count);
           t < job->task_count;
           t = cell_task_next_row (round, t + 1, job->task_count))
        g_free (cell_task_at (job, r, t)->crashes);
      for (uint32_t b = 0; b < job->block_count; b++)
        g_free (round->blocks[b].tasks);
      g_free (round->blocks);
      g_free (round->stages);
    }
  g_free (job->rounds);
}

void
cell_round_open (struct cell_core *core, struct cell_job *job,
                 struct cell_round *round)
{
  if (!round->due || !cell_job_open (job))
    return;
  for (uint32_t s = 0; s < job->spec->n_steps; s++)
    {
      struct cell_stage *stage = &round->stages[s];
      const Cyc__CellStep *step = job->spec->steps[s];
      bool ready = true;

      for (size_t d = 0; d < step->n_depends_on; d++)
        {
          const struct cell_stage *dependency
              = &round->stages[step->depends_on[d]];

          ready = ready && dependency->done == dependency->count;
        }
      stage->ready = ready;
      if (!ready || stage->listed || stage->waiting == 0)
        continue;
      stage->listed = true;
      g_ptr_array_add (core->waiting, stage);
      core->placement_pending = true;
      cell_wake (core, core->now_us);
    }
}

void
cell_round_finish (struct cell_job *job, struct cell_round *round)
{
  if (round->tasks_done < job->task_count || round->finished)
    return;
  round->finished = true;
  job->rounds_finished++;
}

void
cell_rounds_tick (struct cell_core *core)
{
  for (guint i = 0; i < core->scheduled_jobs->len;)
    {
      struct cell_job *job = g_ptr_array_index (core->scheduled_jobs, i);
      bool all = true;

      for (uint32_t r = 0; r < job->round_count && cell_job_open (job); r++)
        {
          struct cell_round *round = cell_round_at (job, r);

          if (round->due)
            continue;
          if (round->due_ms <= core->now_ms)
            {
              round->due = true;
              cell_round_open (core, job, round);
              continue;
            }
          all = false;
          cell_wake (core, core->now_us
                               + (round->due_ms - core->now_ms) * US_PER_MS);
        }
      if (all || !cell_job_open (job))
        g_ptr_array_remove_index_fast (core->scheduled_jobs, i);
      else
        i++;
    }
}
