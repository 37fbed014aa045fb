#include "cyc_cell_memory.h"

#include "cyc_cell_internal.h"

#include <stdlib.h>

/** Shares of the memory of the process. Rounds may also take the budget of
 * jobs, which covers the first round of each. */
#define JOBS_DIVISOR 6
#define EXTRA_DIVISOR 12
#define RUNS_DIVISOR 4
/** Memory of a run beside its row and that of its task: its order, its record
 * and the row of its worker's report. */
#define RUN_OVERHEAD_BYTES 192
/** Memory that the allocator adds to a block, at most. */
#define ALLOCATION_BYTES 16
/** Allocations of a step of a specification: the step and its texts. */
#define STEP_ALLOCATIONS 6
/** Stages of rounds beyond the first one of a job, of all jobs. */
#define EXTRA_STAGES_MAX 4096
/** Same, of one job. */
#define JOB_STAGES_MAX 1024
/** A forecast of room that is further away is not made. */
#define ROOM_MAX_US 3600000000U
/** Shortest forecast, and how long one is kept. */
#define ROOM_MIN_US 1000000

void
cell_memory_setup (struct cell_memory *memory, uint64_t memory_bytes)
{
  uint64_t bytes = memory_bytes > 0 ? memory_bytes : CELL_MEMORY_DEFAULT_BYTES;
  uint64_t run_bytes = sizeof (struct cell_run) + sizeof (struct cell_task)
                       + RUN_OVERHEAD_BYTES;

  memory->jobs_max_bytes = bytes / JOBS_DIVISOR;
  memory->extra_max_bytes = bytes / EXTRA_DIVISOR;
  memory->rounds_max_bytes = memory->jobs_max_bytes + memory->extra_max_bytes;
  memory->runs_max
      = (uint32_t)CLAMP (bytes / RUNS_DIVISOR / run_bytes,
                         2 * (uint64_t)CELL_GANG_TASKS_MAX, UINT32_MAX);
}

/* Returns whether one of the holders of a budget, with @p own of @p total, may
   take @p more. */
static bool
has_share (uint64_t own, uint64_t total, uint64_t max, uint64_t more)
{
  return own + more <= cell_remaining (max, total);
}

/* Returns the memory of a round of the job before any of it is started. */
static uint64_t
round_bytes (const struct cell_core *core, const struct cell_job *job)
{
  uint64_t stage_bytes = sizeof (struct cell_stage)
                         + (job->cfg.advice.required ? core->workers->len : 0);

  return sizeof (struct cell_round)
         + job->block_count * sizeof (struct cell_block)
         + job->spec->n_steps * stage_bytes + 3 * (uint64_t)ALLOCATION_BYTES;
}

static uint64_t
spec_bytes (const Cyc__CellJob *spec)
{
  uint64_t bytes = sizeof *spec + cyc__cell_job__get_packed_size (spec);

  for (size_t s = 0; s < spec->n_steps; s++)
    bytes += sizeof (Cyc__CellStep) + sizeof (Cyc__CellStep *)
             + STEP_ALLOCATIONS * (uint64_t)ALLOCATION_BYTES
             + spec->steps[s]->n_depends_on * sizeof (uint32_t);
  return bytes;
}

void
cell_memory_hold (struct cell_core *core, struct cell_job *job)
{
  struct cell_memory *memory = &core->memory;

  job->held_bytes
      = sizeof *job + spec_bytes (job->spec) + round_bytes (core, job);
  job->no_room = !job->stored
                 && !has_share (job->team->held_bytes, memory->jobs_bytes,
                                memory->jobs_max_bytes, job->held_bytes);
  job->team->held_bytes += job->held_bytes;
  memory->jobs_bytes += job->held_bytes;
}

void
cell_memory_release (struct cell_core *core, struct cell_job *job)
{
  job->team->held_bytes -= job->held_bytes;
  core->memory.jobs_bytes -= job->held_bytes;
  job->held_bytes = 0;
}

bool
cell_memory_admits_round (const struct cell_core *core,
                          const struct cell_job *job)
{
  const struct cell_memory *memory = &core->memory;
  uint64_t bytes = round_bytes (core, job);
  uint64_t stages = job->spec->n_steps;

  if (job->open_rounds == 0)
    return memory->rounds_bytes == 0
           || memory->rounds_bytes + bytes <= memory->rounds_max_bytes;
  return (job->open_rounds + 1) * stages <= JOB_STAGES_MAX
         && has_share (job->extra_bytes, memory->extra_bytes,
                       memory->extra_max_bytes, bytes)
         && memory->extra_stages + stages <= EXTRA_STAGES_MAX;
}

void
cell_memory_count_round (struct cell_core *core, struct cell_job *job,
                         struct cell_round *round, int sign)
{
  struct cell_memory *memory = &core->memory;
  uint64_t change;

  if (sign > 0)
    {
      round->bytes = round_bytes (core, job);
      round->extra = job->open_rounds > 0;
    }
  change = (uint64_t)(sign * (int64_t)round->bytes);
  memory->rounds_bytes += change;
  if (!round->extra)
    return;
  job->extra_bytes += change;
  memory->extra_bytes += change;
  memory->extra_stages += (uint32_t)(sign * (int32_t)job->spec->n_steps);
}

bool
cell_memory_admits_runs (const struct cell_core *core,
                         const struct cell_team *team, uint64_t runs)
{
  return has_share (team->run_count, core->runs->len - core->free_runs->len,
                    core->memory.runs_max, runs);
}

/* When a job that is open will have ended, and what it holds. */
struct release
{
  uint64_t at_us;
  uint64_t bytes;
  bool same_team;
};

/* Returns when the job is expected to have ended; UINT64_MAX if that is not
   known. */
static uint64_t
expected_end_us (const struct cell_core *core, const struct cell_job *job)
{
  const Cyc__CellJob *spec = job->spec;
  uint64_t rounds_left = job->round_count - job->rounds_finished;
  uint64_t first_due_us = core->now_us;
  double core_ms = 0;

  for (size_t s = 0; s < spec->n_steps; s++)
    {
      if (spec->steps[s]->long_running)
        return UINT64_MAX;
      core_ms += (double)spec->steps[s]->count * spec->steps[s]->estimate_ms
                 * spec->steps[s]->millicores;
    }
  if (spec->repeat_count > 0)
    {
      uint64_t due_ms = cell_round_due_ms (job, job->round_count - 1);

      if (due_ms > core->now_ms + ROOM_MAX_US / 1000)
        return UINT64_MAX;
      if (due_ms > core->now_ms)
        first_due_us += (due_ms - core->now_ms) * 1000;
    }
  core_ms *= (double)rounds_left;
  if (core->totals.usable_millicores > 0)
    core_ms /= (double)core->totals.usable_millicores;
  return MAX (job->deadline_us, first_due_us)
         + (uint64_t)MIN (core_ms * 1000, ROOM_MAX_US);
}

static gint
compare_releases (gconstpointer a, gconstpointer b)
{
  const struct release *x = a;
  const struct release *y = b;

  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

/* Returns when enough jobs will have ended for a job of the team that holds
   @p bytes; 0 if that is not known. */
static uint64_t
room_at_us (const struct cell_core *core, const struct cell_team *team,
            uint64_t bytes)
{
  GArray *releases = g_array_new (FALSE, FALSE, sizeof (struct release));
  uint64_t own = team->held_bytes;
  uint64_t total = core->memory.jobs_bytes;
  uint64_t at_us = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cell_job *job = value;
      struct release release
          = { .bytes = job->held_bytes, .same_team = job->team == team };

      if (job->held_bytes == 0)
        continue;
      release.at_us = expected_end_us (core, job);
      g_array_append_val (releases, release);
    }
  g_array_sort (releases, compare_releases);
  for (guint i = 0; i < releases->len; i++)
    {
      const struct release *release
          = &g_array_index (releases, struct release, i);

      total -= release->bytes;
      own -= release->same_team ? release->bytes : 0;
      if (!has_share (own, total, core->memory.jobs_max_bytes, bytes))
        continue;
      if (release->at_us <= core->now_us + ROOM_MAX_US)
        at_us = release->at_us;
      break;
    }
  g_array_free (releases, TRUE);
  return at_us;
}

bool
cell_job_lacks_room (struct cell_core *core, uint64_t id, uint64_t *until_us)
{
  struct cell_job *job = cell_job_find (core, id);
  struct cell_team *team;

  if (job == NULL || !job->no_room || job->stored)
    return false;
  team = job->team;
  if (team->room_checked_us == 0
      || core->now_us >= team->room_checked_us + ROOM_MIN_US)
    {
      uint64_t bytes = job->held_bytes;

      cell_memory_release (core, job);
      team->room_at_us = room_at_us (core, team, bytes);
      team->room_checked_us = core->now_us;
    }
  *until_us = team->room_at_us != 0
                  ? MAX (team->room_at_us, core->now_us + ROOM_MIN_US)
                  : 0;
  return true;
}
