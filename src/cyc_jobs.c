#include "cyc_codec.h"
#include "cyc_index.h"

#include <cyclamendrum/jobs.h>
#include <cyclamendrum/ledger.h>

#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_JOBS 131072
#define DEFAULT_MAX_TASKS 4194304
#define MAX_JOBS_LIMIT 16777216
/* Done bits are stored in blocks of 32 tasks. A larger job has a chain of
   blocks. With the default limits there is one block for each job. */
#define BLOCK_TASKS 32
#define NO_BLOCK UINT32_MAX

struct block
{
  uint32_t bits; /**< bit i: task i of the block is done */
  uint32_t next; /**< in the job's chain or in the free list */
};

struct job
{
  struct cyc_job_row row;
  uint64_t epoch;       /**< highest epoch of an applied progress or end
                             record */
  uint32_t first_block; /**< of the chain that holds the done bits */
};

struct cyc_jobs_state
{
  struct cyc_jobs_desc desc;
  struct job *jobs;
  struct cyc_pool pool;
  struct cyc_ix index;
  struct block *blocks;
  uint32_t first_free_block; /**< head of the free list */
  uint32_t free_block_count;
  struct cyc_ref *ended; /**< ring of ended jobs, oldest first */
  uint32_t ended_first;
  uint32_t ended_count;
  uint64_t next_offset; /**< earlier records are ignored */
};

static bool
tables_setup (struct cyc_jobs_state *state)
{
  const struct cyc_allocator *allocator = &state->desc.allocator;
  uint32_t blocks = state->desc.max_tasks / BLOCK_TASKS;

  state->jobs
      = cyc_alloc (allocator, state->desc.max_jobs, sizeof *state->jobs);
  state->ended
      = cyc_alloc (allocator, state->desc.max_jobs, sizeof *state->ended);
  state->blocks = cyc_alloc (allocator, blocks, sizeof *state->blocks);
  if (state->jobs == NULL || state->ended == NULL || state->blocks == NULL)
    return false;
  for (uint32_t i = 0; i < blocks; i++)
    state->blocks[i].next = i + 1 < blocks ? i + 1 : NO_BLOCK;
  state->free_block_count = blocks;
  return cyc_pool_setup (&state->pool, state->desc.max_jobs, allocator)
         && cyc_ix_setup (&state->index, state->desc.max_jobs, allocator);
}

bool
cyc_jobs_setup (struct cyc_jobs *jobs, const struct cyc_jobs_desc *desc,
                struct cyc_findings *findings)
{
  uint32_t before = findings->count;

  jobs->state = NULL;
  if (desc->max_jobs > MAX_JOBS_LIMIT)
    cyc_findings_add (findings, CYC_STR ("max_jobs"), "must be at most %d",
                      MAX_JOBS_LIMIT);
  if (desc->max_tasks != 0 && desc->max_tasks < CYC_JOB_MAX_TASKS)
    cyc_findings_add (findings, CYC_STR ("max_tasks"), "must be at least %d",
                      CYC_JOB_MAX_TASKS);
  if (findings->count != before)
    return false;
  jobs->state = cyc_alloc (&desc->allocator, 1, sizeof *jobs->state);
  if (jobs->state != NULL)
    {
      jobs->state->desc = *desc;
      if (desc->max_jobs == 0)
        jobs->state->desc.max_jobs = DEFAULT_MAX_JOBS;
      if (desc->max_tasks == 0)
        jobs->state->desc.max_tasks = DEFAULT_MAX_TASKS;
      if (tables_setup (jobs->state))
        return true;
    }
  cyc_findings_add (findings, CYC_STR ("jobs"), "out of memory");
  cyc_jobs_shutdown (jobs);
  return false;
}

void
cyc_jobs_shutdown (struct cyc_jobs *jobs)
{
  struct cyc_jobs_state *state = jobs->state;
  struct cyc_allocator allocator;

  if (state == NULL)
    return;
  allocator = state->desc.allocator;
  cyc_pool_shutdown (&state->pool);
  cyc_ix_shutdown (&state->index);
  cyc_release (&allocator, state->jobs);
  cyc_release (&allocator, state->ended);
  cyc_release (&allocator, state->blocks);
  cyc_release (&allocator, state);
  jobs->state = NULL;
}

static struct job *
find_job (const struct cyc_jobs_state *state, const struct cyc_id128 *id)
{
  struct cyc_ix_probe probe
      = cyc_ix_probe (&state->index, cyc_ix_hash_id (id));

  while (cyc_ix_next (&state->index, &probe))
    if (cyc_id128_eq (&state->jobs[probe.row].row.id, id))
      return &state->jobs[probe.row];
  return NULL;
}

static void
free_block_chain (struct cyc_jobs_state *state, uint32_t block)
{
  while (block != NO_BLOCK)
    {
      uint32_t next = state->blocks[block].next;

      state->blocks[block].next = state->first_free_block;
      state->first_free_block = block;
      state->free_block_count++;
      block = next;
    }
}

/* Returns the first block of a chain for @p tasks; the free list must hold
   enough blocks. */
static uint32_t
allocate_blocks (struct cyc_jobs_state *state, uint32_t tasks)
{
  uint32_t needed = (tasks + BLOCK_TASKS - 1) / BLOCK_TASKS;
  uint32_t chain = NO_BLOCK;

  for (; needed > 0; needed--)
    {
      uint32_t block = state->first_free_block;

      state->first_free_block = state->blocks[block].next;
      state->free_block_count--;
      state->blocks[block] = (struct block){ .next = chain };
      chain = block;
    }
  return chain;
}

static bool
evict_oldest_ended (struct cyc_jobs_state *state)
{
  struct cyc_ref ref;
  struct job *job;

  if (state->ended_count == 0)
    return false;
  ref = state->ended[state->ended_first];
  state->ended_first = (state->ended_first + 1) % state->desc.max_jobs;
  state->ended_count--;
  job = &state->jobs[ref.index];
  cyc_ix_remove (&state->index, cyc_ix_hash_id (&job->row.id), ref.index);
  free_block_chain (state, job->first_block);
  cyc_pool_release (&state->pool, ref);
  return true;
}

/* Evicts ended jobs until a job of @p tasks fits. Returns false if it does not
   fit beside the jobs that have not ended. */
static bool
ensure_capacity (struct cyc_jobs_state *state, uint32_t tasks)
{
  while (state->pool.used == state->desc.max_jobs
         || (uint64_t)state->free_block_count * BLOCK_TASKS < tasks)
    if (!evict_oldest_ended (state))
      return false;
  return true;
}

static void
notify_change (const struct cyc_jobs_watch *watch, const struct job *job)
{
  if (watch != NULL && watch->changed != NULL)
    watch->changed (watch->user, &job->row);
}

static void
apply_submit (struct cyc_jobs_state *state, uint64_t offset,
              const Cyc__JobSubmit *submit, const struct cyc_jobs_watch *watch)
{
  struct cyc_job_row row = { .queue_version = submit->queue_version,
                             .submitted_ms = submit->submitted_ms,
                             .offset = offset,
                             .tasks = submit->tasks };
  struct cyc_ref ref;
  struct job *job;

  if (!cyc_codec_id (submit->job_id, &row.id)
      || !cyc_codec_name (submit->queue, &row.queue)
      || (submit->team[0] != '\0' && !cyc_codec_name (submit->team, &row.team))
      || !cyc_codec_name (submit->domain, &row.domain) || row.tasks == 0
      || row.tasks > CYC_JOB_MAX_TASKS)
    return;
  job = find_job (state, &row.id);
  if (job != NULL)
    {
      job->row.offset = offset;
      notify_change (watch, job);
      return;
    }
  if (!ensure_capacity (state, row.tasks))
    return;
  ref = cyc_pool_take (&state->pool);
  job = &state->jobs[ref.index];
  *job = (struct job){ .row = row,
                       .first_block = allocate_blocks (state, row.tasks) };
  cyc_ix_add (&state->index, cyc_ix_hash_id (&row.id), ref.index);
  notify_change (watch, job);
}

static void
apply_cancel (struct cyc_jobs_state *state, const Cyc__JobCancel *cancel,
              const struct cyc_jobs_watch *watch)
{
  struct cyc_id128 id;
  struct job *job;

  if (!cyc_codec_id (cancel->job_id, &id))
    return;
  job = find_job (state, &id);
  if (job == NULL || job->row.state != CYC_JOB_QUEUED
      || job->row.cancel_requested)
    return;
  job->row.cancel_requested = true;
  notify_change (watch, job);
}

/* Returns the bits of the block that begins with @p first_task; 0 for bits
   past the end of the data. */
static uint32_t
read_block_bits (ProtobufCBinaryData data, uint32_t first_task)
{
  uint32_t bits = 0;

  for (uint32_t i = 0; i < BLOCK_TASKS / 8; i++)
    if (first_task / 8 + i < data.len)
      bits |= (uint32_t)data.data[first_task / 8 + i] << (8 * i);
  return bits;
}

/* Adds the done bits of a progress record. A bit is never cleared again. */
static void
merge_done_tasks (struct cyc_jobs_state *state, struct job *job,
                  ProtobufCBinaryData done)
{
  uint32_t task = 0;

  for (uint32_t block = job->first_block; block != NO_BLOCK;
       block = state->blocks[block].next, task += BLOCK_TASKS)
    {
      uint32_t bits
          = read_block_bits (done, task) & ~state->blocks[block].bits;

      if (job->row.tasks - task < BLOCK_TASKS)
        bits &= (UINT32_C (1) << (job->row.tasks - task)) - 1;
      state->blocks[block].bits |= bits;
      job->row.done_tasks += (uint32_t)__builtin_popcount (bits);
    }
}

/* Returns the job that a progress or end record of @p epoch applies to. NULL
   if the job is unknown or has ended, or a later owner has written to it. */
static struct job *
find_job_of_epoch (struct cyc_jobs_state *state, ProtobufCBinaryData job_id,
                   uint64_t epoch)
{
  struct cyc_id128 id;
  struct job *job;

  if (!cyc_codec_id (job_id, &id))
    return NULL;
  job = find_job (state, &id);
  if (job == NULL || job->row.state != CYC_JOB_QUEUED || epoch < job->epoch)
    return NULL;
  return job;
}

static void
apply_progress (struct cyc_jobs_state *state, const Cyc__JobProgress *progress,
                const struct cyc_jobs_watch *watch)
{
  struct job *job
      = find_job_of_epoch (state, progress->job_id, progress->epoch);

  if (job == NULL)
    return;
  job->epoch = progress->epoch;
  if (progress->attempt > job->row.attempt)
    job->row.attempt = progress->attempt;
  merge_done_tasks (state, job, progress->done);
  notify_change (watch, job);
}

static void
apply_done (struct cyc_jobs_state *state, const Cyc__JobDone *done,
            const struct cyc_jobs_watch *watch)
{
  struct job *job;
  uint32_t at;

  if (done->state < CYC_JOB_DONE || done->state > CYC_JOB_UNKNOWN)
    return;
  job = find_job_of_epoch (state, done->job_id, done->epoch);
  if (job == NULL)
    return;
  job->epoch = done->epoch;
  job->row.state = (enum cyc_job_state)done->state;
  strncpy (job->row.reason, done->reason, sizeof job->row.reason - 1);
  at = (state->ended_first + state->ended_count) % state->desc.max_jobs;
  state->ended[at]
      = cyc_pool_ref_at (&state->pool, (uint32_t)(job - state->jobs));
  state->ended_count++;
  notify_change (watch, job);
}

static void
apply_event (struct cyc_jobs_state *state, uint64_t offset,
             const Cyc__JobEvent *event, const struct cyc_jobs_watch *watch)
{
  switch (event->event_case)
    {
    case CYC__JOB_EVENT__EVENT_SUBMIT:
      apply_submit (state, offset, event->submit, watch);
      break;
    case CYC__JOB_EVENT__EVENT_CANCEL:
      apply_cancel (state, event->cancel, watch);
      break;
    case CYC__JOB_EVENT__EVENT_PROGRESS:
      apply_progress (state, event->progress, watch);
      break;
    case CYC__JOB_EVENT__EVENT_DONE:
      apply_done (state, event->done, watch);
      break;
    default:
      break;
    }
}

bool
cyc_jobs_apply (struct cyc_jobs *jobs, uint64_t offset, struct cyc_str record,
                const struct cyc_jobs_watch *watch)
{
  struct cyc_jobs_state *state = jobs->state;
  const char *reason = NULL;
  Cyc__Record *decoded;
  bool valid;

  if (offset < state->next_offset)
    return true;
  state->next_offset = offset + 1;
  decoded = cyc_codec_decode (record, &reason);
  if (decoded == NULL)
    return false;
  valid = decoded->body_case == CYC__RECORD__BODY_JOBS;
  for (size_t i = 0; valid && i < decoded->jobs->n_events; i++)
    apply_event (state, offset, decoded->jobs->events[i], watch);
  cyc__record__free_unpacked (decoded, NULL);
  return valid;
}

uint64_t
cyc_jobs_next (const struct cyc_jobs *jobs)
{
  return jobs->state->next_offset;
}

void
cyc_jobs_seek (struct cyc_jobs *jobs, uint64_t offset)
{
  jobs->state->next_offset = offset;
}

const struct cyc_job_row *
cyc_jobs_find (const struct cyc_jobs *jobs, const struct cyc_id128 *id)
{
  const struct job *job = find_job (jobs->state, id);

  return job == NULL ? NULL : &job->row;
}

bool
cyc_jobs_task_done (const struct cyc_jobs *jobs, const struct cyc_id128 *id,
                    uint32_t task)
{
  const struct job *job = find_job (jobs->state, id);
  uint32_t block;

  if (job == NULL || task >= job->row.tasks)
    return false;
  block = job->first_block;
  for (uint32_t i = task / BLOCK_TASKS; i > 0; i--)
    block = jobs->state->blocks[block].next;
  return (jobs->state->blocks[block].bits >> (task % BLOCK_TASKS) & 1) != 0;
}

const struct cyc_job_row *
cyc_jobs_next_open (const struct cyc_jobs *jobs, uint32_t *cursor)
{
  const struct cyc_jobs_state *state = jobs->state;

  while (*cursor < state->pool.high)
    {
      uint32_t index = (*cursor)++;

      if (cyc_pool_used_at (&state->pool, index)
          && state->jobs[index].row.state == CYC_JOB_QUEUED)
        return &state->jobs[index].row;
    }
  return NULL;
}
