/* Jobs: their rounds, stages and tasks, and their progress records. */

#include "cyc_cell_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000
/** A job expires after this many times its objective. */
#define EXPIRY_OBJECTIVES 3
/** A team may submit the jobs of this many seconds in one burst. */
#define RATE_BURST_S 2
/** Jobs over the rate are refused for this time after one was seen to exceed
 * its objective. */
#define REFUSE_DURATION_US 500000
/** A job accepted longer ago than this does not count against its team's rate:
 * a new leader receives old jobs in no particular order. */
#define RATE_AGE_MAX_US 1000000

bool
cell_job_open (const struct cell_job *job)
{
  return job->state == CELL_JOB_QUEUED || job->state == CELL_JOB_ACTIVE;
}

struct cell_job *
cell_job_find (const struct cell_core *core, uint64_t id)
{
  gint64 key = (gint64)id;

  return g_hash_table_lookup (core->jobs, &key);
}

enum cell_job_state
cell_job_state (const struct cell_core *core, uint64_t id)
{
  const struct cell_job *job = cell_job_find (core, id);

  return job == NULL || !job->stored ? 0 : job->durable_state;
}

bool
cell_job_is_unstored (const struct cell_core *core, uint64_t id)
{
  const struct cell_job *job = cell_job_find (core, id);

  return job != NULL && !job->stored;
}

bool
cell_job_ended (const struct cell_core *core, uint64_t id)
{
  enum cell_job_state state = cell_job_state (core, id);

  return state == CELL_JOB_COMPLETE || state == CELL_JOB_FAILED
         || state == CELL_JOB_CANCELED;
}

bool
cell_job_over_rate (const struct cell_core *core, uint64_t id)
{
  const struct cell_job *job = cell_job_find (core, id);

  return job != NULL && job->over_rate;
}

bool
cell_job_refusable (const struct cell_core *core, uint64_t id)
{
  const struct cell_job *job = cell_job_find (core, id);

  return job != NULL && job->over_rate && !job->stored
         && core->over_rate_late_us != 0
         && core->now_us < core->over_rate_late_us + REFUSE_DURATION_US;
}

uint32_t
cell_queue_pending (const struct cell_core *core, struct cyc_str queue)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, core->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cell_job *job = value;

      count += cell_job_open (job) && !job->begun && job->stored
               && cyc_str_eq (cyc_name_str (&job->queue), queue);
    }
  return count;
}

const Cyc__CellStep *
cell_stage_step (const struct cell_stage *stage)
{
  return stage->job->spec->steps[stage->step];
}

void
cell_stage_release (struct cell_stage *stage)
{
  g_free (stage->verdicts);
  if (stage->tickets != NULL)
    g_array_free (stage->tickets, TRUE);
  if (stage->allowed != NULL)
    g_array_free (stage->allowed, TRUE);
  spd_group_clear (&stage->speeds);
  stage->verdicts = NULL;
  stage->verdict_count = 0;
  stage->tickets = NULL;
  stage->allowed = NULL;
}

void
cell_task_name (const struct cell_run *run, char out[64])
{
  const struct cell_stage *stage
      = cell_stage_of_task (run->job, run->round, run->task);

  snprintf (out, 64, "%016" PRIx64 ".%u.%u.%u", run->job->id, run->round,
            stage->step, run->task - stage->first_task);
}

bool
cell_task_parse (struct cell_core *core, struct cyc_str name,
                 struct cell_job **job, uint32_t *round, uint32_t *task)
{
  char text[64];
  uint64_t id;
  unsigned int step;
  unsigned int index;
  unsigned int k;

  if (name.len <= 17 || name.len >= sizeof text)
    return false;
  memcpy (text, name.data, name.len);
  text[name.len] = 0;
  if (!cell_job_id_parse ((struct cyc_str){ text, 16 }, &id)
      || sscanf (text + 16, ".%u.%u.%u", &k, &step, &index) != 3)
    return false;
  *job = cell_job_find (core, id);
  if (*job == NULL || k >= (*job)->round_count || step >= (*job)->spec->n_steps
      || index >= (*job)->spec->steps[step]->count)
    return false;
  *round = k;
  *task = cell_round_get (core, *job, k)->stages[step].first_task + index;
  return true;
}

/* Returns the longest chain of estimates through the steps, in
   milliseconds. */
static uint64_t
critical_path_ms (const Cyc__CellJob *spec)
{
  uint64_t ends[CELL_STEPS_MAX] = { 0 };
  uint64_t longest = 0;

  for (size_t s = 0; s < spec->n_steps; s++)
    {
      const Cyc__CellStep *step = spec->steps[s];

      for (size_t d = 0; d < step->n_depends_on; d++)
        ends[s] = MAX (ends[s], ends[step->depends_on[d]]);
      ends[s] += step->estimate_ms;
      longest = MAX (longest, ends[s]);
    }
  return longest;
}

/* Puts a step that never runs in the place of what cannot be held. */
static void
strip_spec (Cyc__CellJob *spec)
{
  Cyc__CellStep *step = malloc (sizeof *step);

  for (size_t s = 0; s < spec->n_steps; s++)
    cyc__cell_step__free_unpacked (spec->steps[s], NULL);
  cyc__cell_step__init (step);
  step->count = 1;
  spec->steps = realloc (spec->steps, sizeof (Cyc__CellStep *));
  spec->steps[0] = step;
  spec->n_steps = 1;
  spec->repeat_count = 0;
}

/* Charges one job to its team's credit. Returns whether the team exceeds its
   rate, which is as many jobs a second as its weight. */
static bool
charge_team_rate (const struct cell_core *core, struct cell_team *team,
                  uint64_t age_us)
{
  double burst_jobs = (double)team->weight * RATE_BURST_S;

  if (team->weight == 0 || age_us > RATE_AGE_MAX_US)
    return false;
  if (team->credited_us == 0)
    team->credit_jobs = burst_jobs;
  else
    team->credit_jobs
        += (double)(core->now_us - team->credited_us) * team->weight / 1e6;
  team->credited_us = core->now_us;
  team->credit_jobs = MIN (team->credit_jobs, burst_jobs);
  if (team->credit_jobs < 1.0)
    return true;
  team->credit_jobs -= 1.0;
  return false;
}

void
cell_job_configure (struct cell_job *job, const struct cell_queue_cfg *queue)
{
  job->cfg = *queue;
  job->cfg.path_prefix = (struct cyc_str){ 0 };
}

bool
cell_job_add (struct cell_core *core, uint64_t id, Cyc__CellJob *spec,
              bool stored, uint64_t now_us, uint64_t now_ms)
{
  struct cyc_findings findings = { 0 };
  struct cell_job *job;
  const struct cell_queue_cfg *queue = NULL;
  uint64_t age_us;
  bool valid;

  core->now_us = now_us;
  core->now_ms = now_ms;
  valid = cell_job_check (spec, &findings);
  if (cell_job_find (core, id) != NULL || (!valid && !stored))
    {
      cyc__cell_job__free_unpacked (spec, NULL);
      return false;
    }
  if (!valid)
    strip_spec (spec);
  job = g_new0 (struct cell_job, 1);
  job->id = id;
  job->spec = spec;
  job->stored = stored;
  cyc_name_set (&job->queue, cyc_str_of (spec->queue));
  job->team = cell_team_of (core, cyc_str_of (spec->team));
  if (core->config != NULL)
    queue = cell_config_queue (core->config, cyc_name_str (&job->queue));
  job->cfg_known = queue != NULL;
  if (queue != NULL)
    cell_job_configure (job, queue);
  for (size_t s = 0; s < spec->n_steps; s++)
    job->task_count += spec->steps[s]->count;
  job->block_count
      = (job->task_count + CELL_BLOCK_TASKS - 1) / CELL_BLOCK_TASKS;
  job->round_count = MAX (1, spec->repeat_count);
  job->in_blocks = job->block_count > 1 || job->round_count > 1;
  job->dirty_blocks
      = g_array_new (FALSE, FALSE, sizeof (struct cell_block_ref));
  job->state = job->durable_state = valid ? CELL_JOB_QUEUED : CELL_JOB_FAILED;
  age_us = now_ms > spec->accepted_ms
               ? (now_ms - spec->accepted_ms) * US_PER_MS
               : 0;
  job->accepted_us = now_us > age_us ? now_us - age_us : 0;
  job->deadline_us
      = job->accepted_us
        + critical_path_ms (spec)
              * (job->cfg.slack_permille ? job->cfg.slack_permille : 1000)
        + (uint64_t)job->cfg.objective_ms * US_PER_MS;
  job->expires_us
      = job->accepted_us
        + (job->deadline_us - job->accepted_us) * EXPIRY_OBJECTIVES;
  job->over_rate = charge_team_rate (core, job->team, age_us);
  g_hash_table_insert (core->jobs, &job->id, job);
  if (valid)
    cell_memory_hold (core, job);
  cell_rounds_begin (core, job);
  return valid;
}

/* Calls @p act with the run of each task that has one. */
static void
for_each_run (struct cell_core *core, struct cell_job *job,
              void (*act) (struct cell_core *core, struct cell_run *run))
{
  for (guint r = 0; r < job->rounds->len; r++)
    {
      const struct cell_round *round = g_ptr_array_index (job->rounds, r);

      for (uint32_t t = cell_task_next_row (round, 0, job->task_count);
           t < job->task_count;
           t = cell_task_next_row (round, t + 1, job->task_count))
        {
          struct cell_run *run = cell_task_peek (job, round->index, t)->run;

          if (run != NULL)
            act (core, run);
        }
    }
}

void
cell_job_stop_runs (struct cell_core *core, struct cell_job *job)
{
  for_each_run (core, job, cell_run_stop);
}

void
cell_stages_forget (struct cell_core *core, const struct cell_job *job,
                    uint32_t round)
{
  for (guint i = 0; i < core->waiting->len;)
    {
      const struct cell_stage *stage = g_ptr_array_index (core->waiting, i);

      if (CELL_STAGE_IS_OF (stage, job, round))
        g_ptr_array_remove_index_fast (core->waiting, i);
      else
        i++;
    }
  cell_questions_forget (core, job, round);
  cell_trials_forget (core, job, round);
  cell_gang_forget (core, job, round);
}

/* Removes the job from all lists and frees it. */
static void
forget_job (struct cell_core *core, struct cell_job *job)
{
  for_each_run (core, job, cell_run_free);
  cell_stages_forget (core, job, CELL_ALL_ROUNDS);
  g_ptr_array_remove_fast (core->scheduled_jobs, job);
  g_ptr_array_remove_fast (core->dirty, job);
  while (g_ptr_array_remove_fast (core->state_pending, job))
    ;
  g_hash_table_remove (core->jobs, &job->id);
  cell_memory_release (core, job);
  cell_rounds_uncount (core, job);
  cell_job_free (job);
}

bool
cell_job_withdraw (struct cell_core *core, uint64_t id)
{
  struct cell_job *job = cell_job_find (core, id);
  bool cancelled;

  if (job == NULL || job->stored)
    return false;
  /* Nothing of the job was ordered: all its runs wait until it is stored. */
  cancelled = job->state == CELL_JOB_CANCELED;
  forget_job (core, job);
  return cancelled;
}

void
cell_job_set_state (struct cell_core *core, struct cell_job *job,
                    enum cell_job_state state)
{
  if (job->state == state)
    return;
  job->state = state;
  job->state_batch = core->batch;
  cell_job_mark_dirty (core, job);
  if (job->durable_state != state)
    g_ptr_array_add (core->state_pending, job);
  if (!cell_job_open (job))
    {
      job->ended_ms = core->now_ms;
      cell_memory_release (core, job);
      cell_rounds_retire (core, job);
    }
}

void
cell_job_unrecordable (struct cell_core *core, uint64_t id, uint64_t now_us)
{
  struct cell_job *job = cell_job_find (core, id);

  core->now_us = now_us;
  if (job != NULL)
    cell_job_fail (core, job, CELL_FAILURE_UNRECORDABLE, NULL);
}

bool
cell_job_cancel (struct cell_core *core, uint64_t id, uint64_t now_us)
{
  struct cell_job *job = cell_job_find (core, id);

  core->now_us = now_us;
  if (job == NULL)
    return false;
  if (!cell_job_open (job))
    return true;
  cell_job_set_state (core, job, CELL_JOB_CANCELED);
  /* The cancellation is already durable. */
  job->durable_state = CELL_JOB_CANCELED;
  cell_job_stop_runs (core, job);
  cell_wake (core, now_us);
  return true;
}

void
cell_task_requeue (struct cell_core *core, struct cell_job *job,
                   uint32_t round, uint32_t task, uint64_t at_us)
{
  struct cell_task *row = cell_task_at (job, round, task);
  struct cell_stage *stage = cell_stage_of_task (job, round, task);

  row->run = NULL;
  if (row->state == CELL_TASK_DONE)
    return;
  row->not_before_us = at_us;
  if (stage->waiting == 0)
    stage->short_since_us = core->now_us;
  cell_task_set_state (job, round, task, CELL_TASK_WAITING);
  cell_task_mark_dirty (core, job, round, task);
  cell_attempts_check (core, job, round, task);
  cell_round_open (core, job, cell_round_at (job, round));
  core->placement_pending = true;
  cell_wake (core, at_us);
}

void
cell_task_mark_done (struct cell_core *core, struct cell_job *job,
                     uint32_t round, uint32_t task)
{
  struct cell_stage *stage = cell_stage_of_task (job, round, task);
  struct cell_task *row = cell_task_at (job, round, task);

  if (row->state == CELL_TASK_DONE)
    return;
  job->begun = true;
  cell_task_set_state (job, round, task, CELL_TASK_DONE);
  cell_block_retire (core, job, round, task);
  row->checkpoint[0] = 0;
  if (stage->done == stage->count)
    cell_stage_release (stage);
  if (row->run != NULL)
    {
      row->run->superseded = true;
      row->run = NULL;
    }
  cell_task_mark_dirty (core, job, round, task);
}

void
cell_task_done (struct cell_core *core, struct cell_job *job, uint32_t round,
                uint32_t task)
{
  struct cell_round *round_row = cell_round_at (job, round);
  struct cell_stage *stage = cell_stage_of_task (job, round, task);

  if (cell_stage_step (stage)->long_running)
    {
      /* A later run may have been started already. */
      if (cell_task_peek (job, round, task)->run == NULL)
        cell_task_requeue (core, job, round, task, core->now_us);
      return;
    }
  if (cell_stage_step (stage)->gang)
    for (uint32_t t = 0; t < stage->count; t++)
      cell_task_mark_done (core, job, round, stage->first_task + t);
  else
    cell_task_mark_done (core, job, round, task);
  cell_round_finish (core, job, round_row);
  if (job->rounds_finished == job->round_count && cell_job_open (job))
    cell_job_set_state (core, job, CELL_JOB_COMPLETE);
  else
    cell_round_open (core, job, round_row);
}

void
cell_job_activate (struct cell_core *core, struct cell_job *job)
{
  if (job->state == CELL_JOB_QUEUED)
    cell_job_set_state (core, job, CELL_JOB_ACTIVE);
}

void
cell_job_fail (struct cell_core *core, struct cell_job *job,
               enum cell_failure_cause cause, const struct cell_task_ref *at)
{
  if (!cell_job_open (job))
    return;
  cell_failure_report (core, job, cause, at);
  cell_job_set_state (core, job, CELL_JOB_FAILED);
  cell_job_stop_runs (core, job);
}

void
cell_run_ended (struct cell_core *core, struct cell_run *run,
                enum cell_end_kind kind, struct cyc_str checkpoint)
{
  struct cell_job *job = run->job;
  uint32_t round = run->round;
  uint32_t task = run->task;
  struct cell_task *row = cell_task_at (job, round, task);
  struct cell_stage *stage = cell_stage_of_task (job, round, task);
  bool current = row->run == run;
  uint64_t at_us = core->now_us;

  if (kind == CELL_END_ALONE)
    at_us += CELL_RETRY_US;
  /* Its worker may restart and execute the other copy of the start. */
  if (run->started_again)
    at_us = MAX (at_us, run->earlier_copy_us);
  if (current && checkpoint.len > 0 && checkpoint.len < sizeof row->checkpoint)
    snprintf (row->checkpoint, sizeof row->checkpoint, "%.*s",
              CYC_FMT (checkpoint));
  cell_run_free (core, run);
  if (!current || row->state == CELL_TASK_DONE)
    return;
  /* The members of a gang only work together: if one ends, all others are
     stopped. */
  if (cell_stage_step (stage)->gang)
    for (uint32_t t = 0; t < stage->count; t++)
      {
        struct cell_run *other
            = cell_task_peek (job, round, stage->first_task + t)->run;

        if (other != NULL)
          cell_run_stop (core, other);
      }
  cell_task_requeue (core, job, round, task, at_us);
}

void
cell_earlier_ended (struct cell_core *core, uint64_t until_us, uint64_t now_us)
{
  core->now_us = now_us;
  core->desc.earlier_until_us = MIN (core->desc.earlier_until_us, until_us);
  for (guint i = 0; i < core->runs->len; i++)
    {
      struct cell_run *run = g_ptr_array_index (core->runs, i);

      if (run == NULL || !run->inherited)
        continue;
      run->call_ended_us = MIN (run->call_ended_us, until_us);
      run->earlier_copy_us
          = MIN (run->earlier_copy_us,
                 until_us + CELL_CALL_MAX_US + CELL_CALL_LATE_MAX_US);
      cell_worker_touch (core, cell_worker_at (core, run->worker));
    }
  cell_wake (core, now_us);
}
