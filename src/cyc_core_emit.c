/**
 * @file
 * Writes pending decisions and ended jobs to the caller's array.
 */
#include "cyc_core_internal.h"

#include <stdio.h>

static void
fill_decision (const struct cyc_core_state *st, uint32_t row,
               struct cyc_decision *out)
{
  const struct core_task *task = &st->tasks[row];
  const struct core_job *job = &st->jobs[task->job];
  const struct core_queue *queue = &st->queues[job->queue];

  *out = (struct cyc_decision){
    .kind = (enum cyc_decision_kind)task->emit,
    .job = job->id,
    .task_index = task->index,
    .task = cyc_pool_ref_at (&st->task_pool, row),
    .worker = cyc_pool_ref_at (&st->worker_pool, task->worker),
    .worker_name = st->workers[task->worker].name,
    .queue = queue->name,
    .queue_kind = queue->kind,
    .size = task->declared,
    .attempt = task->attempt,
    .lease_deadline_us = task->lease_deadline_us,
  };
}

static void
emit_task (struct cyc_core_state *st, uint32_t row, struct cyc_decision *out)
{
  struct core_task *task = &st->tasks[row];

  core_task_cancel_emit (st, row);
  if (task->emit == CYC_DECISION_START)
    {
      task->attempt++;
      task->started_by_this_owner = true;
      st->jobs[task->job].started = true;
      st->starts++;
    }
  fill_decision (st, row, out);
}

static const char *
reason_text (enum core_end_reason end_reason)
{
  switch (end_reason)
    {
    case CORE_END_NONE:
      return "";
    case CORE_END_CANCELLED:
      return "cancelled";
    case CORE_END_FAILED:
      return "a task failed on the largest allowed number of workers";
    case CORE_END_QUEUE_REMOVED:
      return "the queue was removed";
    case CORE_END_EXCEEDS_WORKERS:
      return "no worker is large enough";
    case CORE_END_EXCEEDS_LIMIT:
      return "larger than the limit of the team in this domain";
    }
  return "";
}

/* Emits REFUSE or JOB_ENDED. REFUSE guarantees that no task of the job ran, so
 * it is emitted only if none was started. */
static void
emit_ended (struct cyc_core_state *st, uint32_t row, struct cyc_decision *out)
{
  const struct core_job *job = &st->jobs[row];
  const struct core_queue *queue = &st->queues[job->queue];
  enum core_end_reason end_reason = (enum core_end_reason)job->end_reason;
  bool refuse = end_reason >= CORE_END_QUEUE_REMOVED && !job->started
                && job->done == 0;

  *out = (struct cyc_decision){
    .kind = refuse ? CYC_DECISION_REFUSE : CYC_DECISION_JOB_ENDED,
    .job = job->id,
    .queue = queue->name,
    .queue_kind = queue->kind,
    .size = queue->size,
    .job_failed
    = job->failed > 0 || job->unknown > 0
      || (end_reason != CORE_END_NONE && end_reason != CORE_END_CANCELLED),
    .job_outcome_unknown = job->unknown > 0,
  };
  if (job->unknown > 0)
    snprintf (out->reason, sizeof out->reason,
              "it is not known whether %u tasks ran", job->unknown);
  else if (end_reason == CORE_END_EXCEEDS_WORKERS)
    snprintf (out->reason, sizeof out->reason,
              "%s: %u millicores, %u MiB, %u accelerators a task",
              reason_text (end_reason), queue->size.millicores,
              queue->size.memory_mib, queue->size.accelerators);
  else
    snprintf (out->reason, sizeof out->reason, "%s", reason_text (end_reason));
  st->refused_jobs += refuse;
  core_list_remove (&st->ended_jobs, CORE_LINKS (st->jobs, in_cancel_or_ended),
                    row);
  core_job_free (st, row);
}

uint32_t
core_emit_all (struct cyc_core_state *st, struct cyc_decision *out,
               uint32_t max)
{
  uint32_t count = 0;

  while (count < max && st->ended_jobs.count > 0)
    emit_ended (st, st->ended_jobs.head, &out[count++]);
  while (count < max && st->emit.count > 0)
    emit_task (st, st->emit.head, &out[count++]);
  return count;
}
