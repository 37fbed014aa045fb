/**
 * @file
 * Baseline scheduler: first fit by declared sizes, jobs in arrival order. A
 * queue whose next task or gang does not fit is skipped for the rest of the
 * tick.
 */
#include "bn_model.h"

#include <stdlib.h>
#include <string.h>

struct ff_job
{
  struct cyc_id128 job;
  uint32_t next_task; /**< index of the next task to start */
  uint32_t tasks;
  uint32_t next_job; /**< next job of the queue; FF_NONE if last */
  uint64_t submitted_us;
};

#define FF_MAX_JOBS (1U << 20)
#define FF_RUNNING_SLOTS (1U << 20)
#define FF_NONE UINT32_MAX

struct ff_running
{
  struct cyc_id128 job;
  uint32_t task;
  uint32_t worker;
  uint32_t queue;
  bool used; /**< the task runs */
};

struct bn_first_fit
{
  struct bn_scheduler base;
  const struct bn_load *load;
  struct cyc_resources *free;
  struct ff_job *jobs;
  uint32_t job_count;
  uint32_t heads[BN_MAX_QUEUES]; /**< oldest job of each queue */
  uint32_t tails[BN_MAX_QUEUES];
  /** Hash table by job and task, with open addressing. */
  struct ff_running *running;
};

static struct bn_first_fit *
self_of (struct bn_scheduler *base)
{
  return (struct bn_first_fit *)base;
}

static void
add_job (struct bn_scheduler *base, uint32_t queue,
         const struct cyc_core_job *job, uint64_t now_us)
{
  struct bn_first_fit *self = self_of (base);
  uint32_t job_index = self->job_count++;

  (void)now_us;
  if (job_index >= FF_MAX_JOBS)
    abort ();
  self->jobs[job_index] = (struct ff_job){ .job = job->id,
                                           .tasks = job->tasks,
                                           .next_job = FF_NONE,
                                           .submitted_us = job->submitted_us };
  if (self->heads[queue] == FF_NONE)
    self->heads[queue] = job_index;
  else
    self->jobs[self->tails[queue]].next_job = job_index;
  self->tails[queue] = job_index;
}

static uint32_t
slot_of (const struct cyc_id128 *job, uint32_t task)
{
  uint32_t number;

  memcpy (&number, job->bytes, sizeof number);
  return (number * 2654435761U + task * 40503U) & (FF_RUNNING_SLOTS - 1);
}

static struct ff_running *
find_running (struct bn_first_fit *self, const struct cyc_id128 *job,
              uint32_t task)
{
  uint32_t slot = slot_of (job, task);

  for (uint32_t i = 0; i < FF_RUNNING_SLOTS; i++)
    {
      struct ff_running *row
          = &self->running[(slot + i) & (FF_RUNNING_SLOTS - 1)];

      if (row->worker == FF_NONE && !row->used)
        return row;
      if (row->used && row->task == task && cyc_id128_eq (&row->job, job))
        return row;
    }
  abort ();
}

static bool
reserve_on_worker (struct bn_first_fit *self, uint32_t worker,
                   struct cyc_resources size)
{
  struct cyc_resources *free = &self->free[worker];

  if (free->millicores < size.millicores || free->memory_mib < size.memory_mib)
    return false;
  free->millicores -= size.millicores;
  free->memory_mib -= size.memory_mib;
  return true;
}

static void
release_on_worker (struct bn_first_fit *self, uint32_t worker,
                   struct cyc_resources size)
{
  self->free[worker].millicores += size.millicores;
  self->free[worker].memory_mib += size.memory_mib;
}

static void
report (struct bn_scheduler *base, const struct cyc_id128 *job, uint32_t task,
        enum cyc_task_event event, uint64_t now_us)
{
  struct bn_first_fit *self = self_of (base);
  struct ff_running *row = find_running (self, job, task);

  (void)now_us;
  if (event == CYC_TASK_EVENT_STARTED || !row->used)
    return;
  release_on_worker (self, row->worker,
                     self->load->queues[row->queue].declared);
  row->used = false;
}

static void
heartbeat (struct bn_scheduler *base, uint32_t worker,
           const struct cyc_core_usage *usage, uint64_t now_us)
{
  (void)base;
  (void)worker;
  (void)usage;
  (void)now_us;
}

static void
task_usage (struct bn_scheduler *base, const struct cyc_id128 *job,
            uint32_t task, const struct cyc_core_usage *usage, uint64_t now_us)
{
  (void)base;
  (void)job;
  (void)task;
  (void)usage;
  (void)now_us;
}

static uint32_t
first_fit (struct bn_first_fit *self, struct cyc_resources size)
{
  for (uint32_t w = 0; w < self->load->workers; w++)
    if (reserve_on_worker (self, w, size))
      return w;
  return FF_NONE;
}

static void
start_task (struct bn_first_fit *self, uint32_t queue,
            const struct ff_job *job, uint32_t task, uint32_t worker,
            struct cyc_decision *out)
{
  struct ff_running *row = find_running (self, &job->job, task);

  *row = (struct ff_running){ .job = job->job,
                              .task = task,
                              .worker = worker,
                              .queue = queue,
                              .used = true };
  *out = (struct cyc_decision){ .kind = CYC_DECISION_START,
                                .job = job->job,
                                .task_index = task,
                                .worker = { .index = worker } };
}

/* Starts one task of the queue's oldest job, or the whole job if it is a gang.
 * Returns the number of tasks started, 0 if they do not fit. */
static uint32_t
start_next (struct bn_first_fit *self, uint32_t queue,
            struct cyc_decision *out, uint32_t max)
{
  const struct bn_queue *q = &self->load->queues[queue];
  struct ff_job *job = &self->jobs[self->heads[queue]];
  uint32_t start_count = q->kind == CYC_KIND_GANG ? job->tasks : 1;
  uint32_t workers[64];
  uint32_t reserved_count = 0;

  if (start_count > max || start_count > 64)
    return 0;
  while (reserved_count < start_count
         && (workers[reserved_count] = first_fit (self, q->declared))
                != FF_NONE)
    reserved_count++;
  if (reserved_count < start_count)
    {
      while (reserved_count > 0)
        release_on_worker (self, workers[--reserved_count], q->declared);
      return 0;
    }
  for (uint32_t i = 0; i < start_count; i++)
    start_task (self, queue, job, job->next_task++, workers[i], &out[i]);
  if (job->next_task == job->tasks)
    self->heads[queue] = job->next_job;
  return start_count;
}

/* Returns the queue whose oldest job arrived first, without blocked queues. */
static uint32_t
oldest_queue (const struct bn_first_fit *self, const bool *blocked)
{
  uint32_t best = FF_NONE;

  for (uint32_t q = 0; q < self->load->queue_count; q++)
    if (!blocked[q] && self->heads[q] != FF_NONE
        && (best == FF_NONE || self->heads[q] < self->heads[best]))
      best = q;
  return best;
}

static uint32_t
tick (struct bn_scheduler *base, uint64_t now_us, struct cyc_decision *out,
      uint32_t max)
{
  struct bn_first_fit *self = self_of (base);
  bool blocked[BN_MAX_QUEUES] = { false };
  uint32_t count = 0;
  uint32_t queue;

  (void)now_us;
  while (count < max && (queue = oldest_queue (self, blocked)) != FF_NONE)
    {
      uint32_t started = start_next (self, queue, out + count, max - count);

      count += started;
      blocked[queue] = started == 0;
    }
  return count;
}

static void
close_first_fit (struct bn_scheduler *base)
{
  struct bn_first_fit *self = self_of (base);

  free (self->free);
  free (self->jobs);
  free (self->running);
  free (self);
}

struct bn_scheduler *
bn_first_fit_open (const struct bn_load *load)
{
  struct bn_first_fit *self = calloc (1, sizeof *self);

  if (self == NULL)
    abort ();
  self->base = (struct bn_scheduler){ .add_job = add_job,
                                      .report = report,
                                      .heartbeat = heartbeat,
                                      .task_usage = task_usage,
                                      .tick = tick,
                                      .close = close_first_fit };
  self->load = load;
  self->free = calloc (load->workers, sizeof *self->free);
  self->jobs = calloc (FF_MAX_JOBS, sizeof *self->jobs);
  self->running = calloc (FF_RUNNING_SLOTS, sizeof *self->running);
  if (self->free == NULL || self->jobs == NULL || self->running == NULL)
    abort ();
  for (uint32_t w = 0; w < load->workers; w++)
    self->free[w] = load->worker;
  for (uint32_t q = 0; q < BN_MAX_QUEUES; q++)
    self->heads[q] = FF_NONE;
  for (uint32_t i = 0; i < FF_RUNNING_SLOTS; i++)
    self->running[i].worker = FF_NONE;
  return &self->base;
}
