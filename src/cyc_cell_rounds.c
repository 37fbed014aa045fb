/* Rounds of jobs, and the blocks in which their tasks are kept. What a job
   takes in memory follows from what is open of it, not from its size:

   - A round is set up when it is due, and freed after it is finished. Of the
     finished ones only their numbers are kept, as spans.
   - A block has rows once one of its tasks differs from how it was set up, and
     until all are done. */

#include "cyc_cell_internal.h"

#define US_PER_MS 1000
/** What is finished is freed after this time: an overtaken report of a worker
 * may still name it. */
#define RETIRE_DELAY_US 5000000
/** Longest time for which the core waits for a round without a look at it. */
#define WAKE_MAX_MS 3600000

/** A round, or a block of one, that is to be freed. */
struct cell_retired
{
  uint64_t job;
  uint32_t round; /**< CELL_ALL_ROUNDS: the job has ended */
  uint32_t block; /**< CELL_NO_BLOCK: the whole round */
  uint64_t at_us;
};

static const struct cell_task untouched_task = { .next_run = 1 };
static const struct cell_task done_task
    = { .state = CELL_TASK_DONE, .next_run = 1 };

/* Returns the position of the round in the list of those that are set up, or
   that at which it is to be inserted. */
static guint
position_of (const struct cell_job *job, uint32_t round)
{
  guint low = 0;
  guint high = job->rounds->len;

  while (low < high)
    {
      guint middle = (low + high) / 2;
      const struct cell_round *at = g_ptr_array_index (job->rounds, middle);

      if (at->index < round)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

struct cell_round *
cell_round_at (const struct cell_job *job, uint32_t round)
{
  guint at = position_of (job, round);
  struct cell_round *found
      = at < job->rounds->len ? g_ptr_array_index (job->rounds, at) : NULL;

  return found != NULL && found->index == round ? found : NULL;
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

/* Returns how all tasks of a block without rows are. */
static const struct cell_task *
initial_task (const struct cell_block *block)
{
  return block->done > 0 ? &done_task : &untouched_task;
}

const struct cell_task *
cell_task_peek (const struct cell_job *job, uint32_t round, uint32_t task)
{
  const struct cell_block *block = block_of (job, round, task);

  return block->tasks != NULL ? &block->tasks[task % CELL_BLOCK_TASKS]
                              : initial_task (block);
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
        block->tasks[t] = *initial_task (block);
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
      block->done++;
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

uint64_t
cell_round_due_ms (const struct cell_job *job, uint32_t round)
{
  const Cyc__CellJob *spec = job->spec;

  if (spec->repeat_count == 0)
    return 0;
  if (round > 0
      && spec->interval_ms > (UINT64_MAX - spec->first_due_ms) / round)
    return UINT64_MAX;
  return spec->first_due_ms + round * spec->interval_ms;
}

static struct cell_round *
setup_round (struct cell_core *core, struct cell_job *job, uint32_t index)
{
  struct cell_round *round = g_new0 (struct cell_round, 1);
  uint32_t first = 0;

  round->index = index;
  round->due_ms = cell_round_due_ms (job, index);
  round->due = round->due_ms <= core->now_ms;
  round->finished = cell_round_finished (job, index);
  round->blocks = g_new0 (struct cell_block, job->block_count);
  round->stages = g_new0 (struct cell_stage, job->spec->n_steps);
  if (round->finished)
    round->tasks_done = job->task_count;
  for (uint32_t b = 0; b < job->block_count; b++)
    if (round->finished)
      round->blocks[b].done = block_size (job, b);
    else
      round->blocks[b].waiting = block_size (job, b);
  for (uint32_t s = 0; s < job->spec->n_steps; s++)
    {
      struct cell_stage *stage = &round->stages[s];

      stage->job = job;
      stage->round = index;
      stage->step = s;
      stage->first_task = first;
      stage->count = job->spec->steps[s]->count;
      if (round->finished)
        stage->done = stage->count;
      else
        stage->waiting = stage->count;
      first += stage->count;
    }
  set_critical_paths (job, round);
  cell_memory_count_round (core, job, round, 1);
  g_ptr_array_insert (job->rounds, (gint)position_of (job, index), round);
  job->open_rounds += !round->finished;
  return round;
}

static void
free_rows (struct cell_block *block, uint32_t size)
{
  for (uint32_t t = 0; block->tasks != NULL && t < size; t++)
    {
      g_free (block->tasks[t].crashes);
      cell_attempts_free (&block->tasks[t]);
    }
  g_free (block->tasks);
  block->tasks = NULL;
}

static void
free_round (const struct cell_job *job, struct cell_round *round)
{
  for (size_t s = 0; s < job->spec->n_steps; s++)
    cell_stage_release (&round->stages[s]);
  for (uint32_t b = 0; b < job->block_count; b++)
    free_rows (&round->blocks[b], block_size (job, b));
  g_free (round->blocks);
  g_free (round->stages);
  g_free (round);
}

void
cell_rounds_begin (struct cell_core *core, struct cell_job *job)
{
  job->rounds = g_ptr_array_new ();
  job->finished = g_array_new (FALSE, FALSE, sizeof (struct spn_span));
  g_ptr_array_add (core->scheduled_jobs, job);
  cell_wake (core, core->now_us);
}

void
cell_rounds_uncount (struct cell_core *core, struct cell_job *job)
{
  for (guint r = 0; r < job->rounds->len; r++)
    cell_memory_count_round (core, job, g_ptr_array_index (job->rounds, r),
                             -1);
}

void
cell_rounds_free (struct cell_job *job)
{
  for (guint r = 0; r < job->rounds->len; r++)
    free_round (job, g_ptr_array_index (job->rounds, r));
  g_ptr_array_free (job->rounds, TRUE);
  g_array_free (job->finished, TRUE);
}

/* Retirement. */

static void
retire (struct cell_core *core, const struct cell_job *job, uint32_t round,
        uint32_t block)
{
  struct cell_retired *retired = g_new0 (struct cell_retired, 1);

  retired->job = job->id;
  retired->round = round;
  retired->block = block;
  retired->at_us = core->now_us + RETIRE_DELAY_US;
  g_queue_push_tail (&core->retired, retired);
  cell_wake (core, retired->at_us);
}

void
cell_rounds_retire (struct cell_core *core, const struct cell_job *job)
{
  retire (core, job, CELL_ALL_ROUNDS, CELL_NO_BLOCK);
}

struct cell_round *
cell_round_get (struct cell_core *core, struct cell_job *job, uint32_t round)
{
  struct cell_round *found = cell_round_at (job, round);

  if (found != NULL)
    return found;
  found = setup_round (core, job, round);
  if (!cell_job_open (job))
    cell_rounds_retire (core, job);
  else if (found->finished)
    retire (core, job, round, CELL_NO_BLOCK);
  return found;
}

/* Frees the round if nothing refers to it and its end is durable. */
static bool
free_finished (struct cell_core *core, struct cell_job *job,
               struct cell_round *round)
{
  if (round->run_count > 0
      || (cell_job_open (job)
          && !cell_batch_is_durable (core, round->finished_batch)))
    return false;
  cell_progress_remove_round (core, job, round);
  cell_stages_forget (core, job, round->index);
  g_ptr_array_remove_index (job->rounds, position_of (job, round->index));
  cell_memory_count_round (core, job, round, -1);
  free_round (job, round);
  return true;
}

void
cell_block_retire (struct cell_core *core, const struct cell_job *job,
                   uint32_t round, uint32_t task)
{
  uint32_t block = task / CELL_BLOCK_TASKS;

  if (job->block_count > 1
      && block_of (job, round, task)->done == block_size (job, block))
    retire (core, job, round, block);
}

/* Returns whether all that was retired could be freed. */
static bool
free_retired (struct cell_core *core, const struct cell_retired *retired)
{
  struct cell_job *job = cell_job_find (core, retired->job);
  struct cell_round *round;
  struct cell_block *block;
  bool all = true;

  /* Another job may have the ID of one that was withdrawn. */
  if (job == NULL
      || (retired->round == CELL_ALL_ROUNDS && cell_job_open (job)))
    return true;
  if (retired->round == CELL_ALL_ROUNDS)
    {
      /* The records of its blocks are removed when its end is durable. */
      if (job->durable_state != job->state)
        return false;
      for (guint r = job->rounds->len; r > 0; r--)
        all = free_finished (core, job, g_ptr_array_index (job->rounds, r - 1))
              && all;
      return all;
    }
  round = cell_round_at (job, retired->round);
  if (round == NULL)
    return true;
  if (retired->block == CELL_NO_BLOCK)
    return !round->finished || free_finished (core, job, round);
  block = &round->blocks[retired->block];
  if (block->done == block_size (job, retired->block))
    free_rows (block, block->done);
  return true;
}

static void
free_due (struct cell_core *core)
{
  struct cell_retired *retired;

  while ((retired = g_queue_peek_head (&core->retired)) != NULL
         && retired->at_us <= core->now_us)
    {
      g_queue_pop_head (&core->retired);
      if (free_retired (core, retired))
        {
          g_free (retired);
          continue;
        }
      retired->at_us = core->now_us + RETIRE_DELAY_US;
      g_queue_push_tail (&core->retired, retired);
    }
  if (retired != NULL)
    cell_wake (core, retired->at_us);
}

/* Finished rounds. */

bool
cell_round_finished (const struct cell_job *job, uint32_t round)
{
  return spn_contains (job->finished, round);
}

void
cell_rounds_finished (struct cell_job *job, uint32_t first, uint32_t end)
{
  if (first >= end || end > job->round_count
      || cell_round_finished (job, first))
    return;
  spn_add (job->finished, first, end);
  job->rounds_finished += end - first;
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
cell_round_finish (struct cell_core *core, struct cell_job *job,
                   struct cell_round *round)
{
  if (round->tasks_done < job->task_count || round->finished)
    return;
  round->finished = true;
  round->finished_batch = core->batch;
  job->open_rounds--;
  cell_rounds_finished (job, round->index, round->index + 1);
  if (!job->in_blocks || !cell_job_open (job))
    return;
  cell_job_mark_dirty (core, job);
  retire (core, job, round->index, CELL_NO_BLOCK);
  cell_wake (core, core->now_us);
}

/* Returns the first round at or after the next one that is not finished. */
static uint32_t
next_unfinished (const struct cell_job *job)
{
  for (guint i = 0; i < job->finished->len; i++)
    {
      const struct spn_span *span
          = &g_array_index (job->finished, struct spn_span, i);

      if (job->next_round < span->first)
        break;
      if (job->next_round < span->end)
        return span->end;
    }
  return job->next_round;
}

/* Sets up the rounds of the job that have become due, as far as there is
   memory. Returns whether there are later ones. */
static bool
open_due (struct cell_core *core, struct cell_job *job)
{
  while (cell_job_open (job))
    {
      struct cell_round *round;
      uint64_t at_ms;

      job->next_round = next_unfinished (job);
      if (job->next_round >= job->round_count)
        return false;
      at_ms = cell_round_due_ms (job, job->next_round);
      if (at_ms > core->now_ms)
        {
          cell_wake (core, core->now_us
                               + MIN (at_ms - core->now_ms, WAKE_MAX_MS)
                                     * US_PER_MS);
          return true;
        }
      round = cell_round_at (job, job->next_round);
      if (round == NULL && !cell_memory_admits_round (core, job))
        return true;
      if (round == NULL)
        round = setup_round (core, job, job->next_round);
      round->due = true;
      cell_round_open (core, job, round);
      job->next_round++;
    }
  return false;
}

void
cell_rounds_tick (struct cell_core *core)
{
  free_due (core);
  for (guint i = 0; i < core->scheduled_jobs->len;)
    if (open_due (core, g_ptr_array_index (core->scheduled_jobs, i)))
      i++;
    else
      g_ptr_array_remove_index_fast (core->scheduled_jobs, i);
}
