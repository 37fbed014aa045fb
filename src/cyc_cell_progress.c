/* Progress records. A job of one block has one record with its state and its
   tasks. The record of a larger job holds its state only, and each block has
   one of its own, so that no record grows with the job, and a change of one
   task writes one block. The records of a job may become durable one after the
   other; each is complete in itself. */

#include "cyc_cell_internal.h"

#include <stdlib.h>
#include <string.h>

/* The parts of a record until it is packed. */
struct draft
{
  Cyc__CellProgress progress;
  Cyc__CellRound round;
  Cyc__CellRound *rounds;
  GPtrArray *owned;
};

static gpointer
own (struct draft *draft, gpointer memory)
{
  g_ptr_array_add (draft->owned, memory);
  return memory;
}

static void
begin_draft (struct draft *draft)
{
  cyc__cell_progress__init (&draft->progress);
  cyc__cell_round__init (&draft->round);
  draft->owned = g_ptr_array_new_with_free_func (g_free);
}

static void
add_record (struct cell_core *core, const struct cell_job *job, uint32_t round,
            uint32_t block, struct draft *draft)
{
  struct cell_record *record = g_new0 (struct cell_record, 1);

  record->job = job->id;
  record->round = round;
  record->block = block;
  record->revision = ++core->revision;
  if (draft != NULL)
    {
      record->len = cyc__cell_progress__get_packed_size (&draft->progress);
      record->data = malloc (MAX (1, record->len));
      cyc__cell_progress__pack (&draft->progress, record->data);
      g_ptr_array_free (draft->owned, TRUE);
    }
  g_ptr_array_add (core->records, record);
}

static Cyc__CellRun *
draft_run (const struct cell_core *core, struct draft *draft, uint32_t task,
           const struct cell_run *run)
{
  Cyc__CellRun *out = own (draft, g_new0 (Cyc__CellRun, 1));

  cyc__cell_run__init (out);
  out->task = task;
  out->number = run->number;
  out->worker = cell_worker_at (core, run->worker)->id.data;
  out->worker_born_ms = run->worker_born_ms;
  out->placed_ms = run->placed_ms;
  out->suspicion = cell_blame_suspicion (run);
  out->worker_settled = cell_stale_settled (
      core, cell_worker_at (core, run->worker), run->worker_born_ms);
  out->start_bound = cell_over_start_bound (core, run);
  out->started_again = run->started_again || run->start_again;
  return out;
}

static void
draft_crashes (const struct cell_core *core, struct draft *draft,
               uint32_t task, const struct cell_crashes *crashes)
{
  for (uint32_t i = 0; crashes != NULL && i < crashes->count; i++)
    {
      const struct cell_crash *row = &crashes->rows[i];
      Cyc__CellCrash *crash = own (draft, g_new0 (Cyc__CellCrash, 1));

      cyc__cell_crash__init (crash);
      crash->task = task;
      crash->worker = cell_worker_at (core, row->worker)->id.data;
      crash->worker_born_ms = row->born_ms;
      crash->sole = row->sole;
      crash->run = row->run;
      draft->round.crashes[draft->round.n_crashes++] = crash;
    }
}

static void
draft_failed_runs (struct draft *draft, uint32_t task,
                   const struct cell_task *from)
{
  Cyc__CellFailedRuns *out;

  if (from->failed == NULL)
    return;
  out = own (draft, g_new0 (Cyc__CellFailedRuns, 1));
  cyc__cell_failed_runs__init (out);
  out->task = task;
  out->bounds
      = own (draft, g_new0 (uint32_t, 2 * (gsize)CELL_FAILED_SPANS_MAX));
  cell_attempts_draft (from, out);
  draft->round.failed_runs[draft->round.n_failed_runs++] = out;
}

/* Adds the tasks of a block to the draft, unless none was ever started. */
static void
draft_block (const struct cell_core *core, const struct cell_job *job,
             uint32_t round, uint32_t block, struct draft *draft)
{
  Cyc__CellRound *out = &draft->round;
  uint32_t first = block * CELL_BLOCK_TASKS;
  uint32_t count = MIN (CELL_BLOCK_TASKS, job->task_count - first);
  uint32_t *next_run = own (draft, g_new0 (uint32_t, count));
  uint32_t *failures = own (draft, g_new0 (uint32_t, count));
  uint8_t *done = own (draft, g_new0 (uint8_t, count / 8 + 1));
  char **checkpoints = own (draft, g_new0 (char *, count));
  bool any = false;

  out->runs = own (draft, g_new0 (Cyc__CellRun *, count));
  out->failed_runs = own (draft, g_new0 (Cyc__CellFailedRuns *, count));
  out->crashes = own (
      draft, g_new0 (Cyc__CellCrash *, (gsize)count * CELL_CRASHES_MAX));
  for (uint32_t i = 0; i < count; i++)
    {
      const struct cell_task *task = cell_task_peek (job, round, first + i);

      next_run[i] = task->next_run;
      failures[i] = cell_failures (task);
      any = any || task->next_run > 1 || task->state == CELL_TASK_DONE;
      if (task->state == CELL_TASK_DONE)
        done[i / 8] |= (uint8_t)(1U << (i % 8));
      checkpoints[i] = (char *)task->checkpoint;
      if (task->checkpoint[0] != 0)
        out->n_checkpoints = count;
      if (task->run != NULL)
        out->runs[out->n_runs++]
            = draft_run (core, draft, first + i, task->run);
      draft_crashes (core, draft, first + i, task->crashes);
      draft_failed_runs (draft, first + i, task);
    }
  out->index = round;
  out->first_task = first;
  out->done = (ProtobufCBinaryData){ count / 8 + 1, done };
  out->n_next_run = count;
  out->next_run = next_run;
  out->n_failures = count;
  out->failures = failures;
  out->checkpoints = checkpoints;
  draft->rounds = out;
  draft->progress.rounds = &draft->rounds;
  draft->progress.n_rounds = any;
}

static void
draft_finished (const struct cell_job *job, struct draft *draft)
{
  uint32_t *bounds
      = own (draft, g_new (uint32_t, 2 * (size_t)job->finished->len + 1));

  for (guint i = 0; i < job->finished->len; i++)
    {
      const struct spn_span *span
          = &g_array_index (job->finished, struct spn_span, i);

      bounds[2 * (size_t)i] = span->first;
      bounds[2 * (size_t)i + 1] = span->end;
    }
  draft->progress.n_finished = 2 * (size_t)job->finished->len;
  draft->progress.finished = bounds;
}

static void
write_state (struct cell_core *core, struct cell_job *job)
{
  struct draft draft = { 0 };

  begin_draft (&draft);
  draft.progress.state = job->state;
  draft.progress.ended_ms = job->ended_ms;
  if (!job->in_blocks && cell_job_open (job) && job->rounds->len > 0)
    draft_block (core, job, 0, 0, &draft);
  if (job->in_blocks && cell_job_open (job))
    draft_finished (job, &draft);
  add_record (core, job, 0, CELL_NO_BLOCK, &draft);
}

void
cell_progress_write (struct cell_core *core, struct cell_job *job)
{
  for (guint i = 0; i < job->dirty_blocks->len; i++)
    {
      const struct cell_block_ref *ref
          = &g_array_index (job->dirty_blocks, struct cell_block_ref, i);
      struct cell_round *round = cell_round_at (job, ref->round);
      struct cell_block *block
          = round != NULL ? &round->blocks[ref->block] : NULL;
      struct draft draft = { 0 };

      if (block != NULL)
        block->dirty = false;
      if (block == NULL || round->finished || !cell_job_open (job))
        continue;
      block->recorded = true;
      begin_draft (&draft);
      draft_block (core, job, ref->round, ref->block, &draft);
      add_record (core, job, ref->round, ref->block, &draft);
    }
  g_array_set_size (job->dirty_blocks, 0);
  /* The record that is added last is handed out first: what has ended a job is
     never durable without its state. */
  if (!job->in_blocks || job->state_dirty)
    write_state (core, job);
  job->state_dirty = false;
}

void
cell_progress_remove_round (struct cell_core *core, const struct cell_job *job,
                            struct cell_round *round)
{
  for (uint32_t b = 0; b < job->block_count; b++)
    {
      if (round->blocks[b].recorded)
        add_record (core, job, round->index, b, NULL);
      round->blocks[b].recorded = false;
    }
}

void
cell_progress_remove (struct cell_core *core, struct cell_job *job)
{
  for (guint r = 0; r < job->rounds->len; r++)
    cell_progress_remove_round (core, job, g_ptr_array_index (job->rounds, r));
}

/* Restoring. */

/* Of several records that hold a block, the newest one counts. */
static bool
is_older (const struct cell_round *round, uint32_t task)
{
  return round->blocks[task / CELL_BLOCK_TASKS].restored;
}

static void
restore_run (struct cell_core *core, struct cell_job *job, uint32_t round,
             const Cyc__CellRun *run, uint64_t lease_until_us,
             uint64_t write_until_us)
{
  uint32_t row = cell_worker_row (core, cyc_str_of (run->worker));
  struct cell_worker *worker = cell_worker_at (core, row);
  struct cell_run *made;

  if (worker->lease_until_us < lease_until_us)
    worker->lease_until_us = lease_until_us;
  cell_worker_touch (core, worker);
  made = cell_run_new (core, job, round, run->task, row, run->number);
  made->state = CELL_RUN_STARTING;
  made->inherited = true;
  /* A connection belongs to one incarnation: none that starts after the
     last write receives the order. */
  made->call_ended_us = write_until_us;
  made->worker_born_ms = run->worker_born_ms;
  made->started_again = run->started_again;
  if (!run->start_bound)
    made->earlier_copy_us
        = write_until_us + CELL_CALL_MAX_US + CELL_CALL_LATE_MAX_US;
  if (run->worker_settled)
    cell_stale_restore (worker, run->worker_born_ms);
  cell_blame_restore_run (core, made, run);
}

/* Returns the failed runs of a task in the record; NULL if it has none. */
static const Cyc__CellFailedRuns *
failed_runs_of (const Cyc__CellRound *from, uint32_t task)
{
  for (size_t i = 0; i < from->n_failed_runs; i++)
    if (from->failed_runs[i]->task == task)
      return from->failed_runs[i];
  return NULL;
}

/* Returns the number of the run that the record has of a task; 0 if it has
   none. */
static uint32_t
recorded_run (const Cyc__CellRound *from, uint32_t task)
{
  for (size_t i = 0; i < from->n_runs; i++)
    if (from->runs[i]->task == task)
      return from->runs[i]->number;
  return 0;
}

/* Returns the first run of a task that is not among its failures, by a record
   of an earlier version, which only has their number: of a gang, one for each
   member. All but the newest run have ended; that one has if the record lacks
   a member's run. */
static uint32_t
uncounted_run (struct cell_job *job, const Cyc__CellRound *from,
               uint32_t index)
{
  uint32_t task = from->first_task + index;
  const struct cell_stage *stage = cell_stage_of_task (job, from->index, task);
  uint32_t count = cell_stage_step (stage)->gang ? stage->count : 1;
  uint32_t newest = from->next_run[index] - 1;

  if (from->failures[index] >= newest)
    return newest + 1;
  for (uint32_t t = 0; t < count && index + t < from->n_next_run; t++)
    if (recorded_run (from, task + t) != newest)
      return newest + 1;
  return newest;
}

static void
restore_failures (struct cell_job *job, const Cyc__CellRound *from,
                  uint32_t index)
{
  uint32_t task = from->first_task + index;
  const Cyc__CellFailedRuns *runs = failed_runs_of (from, task);
  uint32_t count = from->failures[index];

  if (runs == NULL)
    count = MIN (count, from->next_run[index] - 1);
  if (count > 0)
    cell_attempts_restore (
        job, cell_task_at (job, from->index, task), count, runs,
        runs != NULL ? 0 : uncounted_run (job, from, index));
}

static void
restore_round (struct cell_core *core, struct cell_job *job,
               const Cyc__CellRound *from, uint64_t lease_until_us,
               uint64_t write_until_us)
{
  struct cell_round *round;
  uint32_t first = from->first_task;
  uint32_t count;

  if (first >= job->task_count || first % CELL_BLOCK_TASKS != 0
      || cell_round_finished (job, from->index))
    return;
  round = cell_round_get (core, job, from->index);
  count = (uint32_t)MIN (from->n_next_run, job->task_count - first);
  for (uint32_t i = 0; i < count; i++)
    {
      struct cell_task *task;

      if (is_older (round, first + i))
        continue;
      task = cell_task_at (job, from->index, first + i);
      if (from->next_run[i] > task->next_run)
        task->next_run = from->next_run[i];
      if (i < from->n_failures && from->failures[i] > 0)
        {
          restore_failures (job, from, i);
          job->begun = true;
        }
      if (i < from->n_checkpoints)
        g_strlcpy (task->checkpoint, from->checkpoints[i],
                   sizeof task->checkpoint);
      if (i / 8 < from->done.len && (from->done.data[i / 8] >> (i % 8) & 1))
        cell_task_mark_done (core, job, from->index, first + i);
    }
  for (size_t i = 0; i < from->n_crashes; i++)
    if (from->crashes[i]->task < job->task_count
        && !is_older (round, from->crashes[i]->task))
      cell_blame_restore (
          core, cell_task_at (job, from->index, from->crashes[i]->task),
          from->crashes[i]);
  for (size_t i = 0; i < from->n_runs; i++)
    {
      const Cyc__CellRun *run = from->runs[i];

      if (run->task < job->task_count && !is_older (round, run->task)
          && cell_task_peek (job, from->index, run->task)->state
                 == CELL_TASK_WAITING)
        restore_run (core, job, from->index, run, lease_until_us,
                     write_until_us);
    }
  for (uint32_t i = 0; i < count; i += CELL_BLOCK_TASKS)
    {
      struct cell_block *block
          = &round->blocks[(first + i) / CELL_BLOCK_TASKS];

      block->restored = true;
      block->recorded = job->in_blocks;
    }
}

/* The members of a gang are done together, but the records of several blocks
   are not written at once. */
static void
complete_gangs (struct cell_core *core, struct cell_job *job,
                struct cell_round *round)
{
  for (size_t s = 0; s < job->spec->n_steps; s++)
    {
      const struct cell_stage *stage = &round->stages[s];

      for (uint32_t t = 0; cell_stage_step (stage)->gang && stage->done > 0
                           && t < stage->count;
           t++)
        cell_task_mark_done (core, job, round->index, stage->first_task + t);
    }
}

bool
cell_job_restore (struct cell_core *core, uint64_t id, struct cyc_str record,
                  uint64_t lease_until_us, uint64_t write_until_us)
{
  struct cell_job *job = cell_job_find (core, id);
  Cyc__CellProgress *progress;

  if (job == NULL)
    return false;
  progress = cyc__cell_progress__unpack (NULL, record.len,
                                         (const uint8_t *)record.data);
  if (progress == NULL)
    return false;
  for (size_t r = 0; r < progress->n_rounds; r++)
    if (progress->rounds[r]->index < job->round_count)
      restore_round (core, job, progress->rounds[r], lease_until_us,
                     write_until_us);
  if (progress->state != 0 && !job->restored)
    {
      if (cell_job_open (job))
        job->state = job->durable_state = progress->state;
      job->ended_ms = progress->ended_ms;
      job->restored = true;
      for (size_t i = 0; i + 1 < progress->n_finished; i += 2)
        cell_rounds_finished (job, progress->finished[i],
                              progress->finished[i + 1]);
    }
  cyc__cell_progress__free_unpacked (progress, NULL);
  return true;
}

void
cell_jobs_restored (struct cell_core *core)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cell_job *job = value;

      if (!cell_job_open (job))
        {
          cell_memory_release (core, job);
          cell_job_stop_runs (core, job);
          cell_rounds_retire (core, job);
        }
      for (guint r = 0; r < job->rounds->len; r++)
        {
          struct cell_round *round = g_ptr_array_index (job->rounds, r);

          complete_gangs (core, job, round);
          cell_round_finish (core, job, round);
          cell_round_open (core, job, round);
        }
      if (cell_job_open (job) && job->rounds_finished == job->round_count)
        cell_job_set_state (core, job, CELL_JOB_COMPLETE);
    }
  cell_attempts_check_later (core);
}

bool
cell_record_needed (const struct cell_core *core, uint64_t id, uint32_t index)
{
  const struct cell_job *job = cell_job_find (core, id);
  const struct cell_round *round;

  if (job == NULL)
    return true;
  if (cell_job_ended (core, id))
    return false;
  /* A finished round is freed only once that is durable. */
  round = cell_round_at (job, index);
  if (round == NULL)
    return !cell_round_finished (job, index);
  return !round->finished
         || !cell_batch_is_durable (core, round->finished_batch);
}
