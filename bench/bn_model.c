/**
 * @file
 * Simulation of a failure domain: a heap of events in time order, tasks on
 * workers, and sums per team.
 */
#include "bn_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_TASKS (1U << 20)
#define MAX_JOBS (1U << 18)
#define NO_WORKER UINT32_MAX
#define TICK_US 50000
#define WARM_UP_US (180 * BN_SECOND_US)
#define RUN_END_US (600 * BN_SECOND_US)
#define USAGE_LAG_S 2 /* delay of usage reports */
#define USAGE_HISTORY 4

enum event_kind
{
  EVENT_ARRIVAL,   /**< row is a queue */
  EVENT_HEARTBEAT, /**< row is a worker */
  EVENT_STARTED,   /**< row is a task, also for the kinds below */
  EVENT_END,       /**< the task ends on its worker */
  EVENT_DONE,      /**< the end is reported to the scheduler */
  EVENT_CHECKPOINTED,
  EVENT_STOPPED
};

struct event
{
  uint64_t at_us;
  uint32_t row;
  /** Generation of the task when the event was scheduled. The event is ignored
   * if it has changed since, unless the kind is EVENT_DONE. */
  uint32_t generation;
  enum event_kind kind;
};

struct task
{
  uint32_t job;
  uint32_t index;
  uint32_t queue;
  uint32_t worker;          /**< NO_WORKER if not running */
  uint32_t worker_position; /**< index in the worker's tasks */
  uint32_t generation;      /**< incremented on start and end */
  double cpu;               /**< true usage, millicores */
  double memory;            /**< true usage, MiB */
  /** Remaining run time at the latest start; UINT64_MAX for services. */
  uint64_t remaining_us;
  uint64_t started_us;
  uint64_t submitted_us;
  bool wait_recorded; /**< the task has started before */
  bool throttled;
};

struct worker
{
  uint32_t *tasks; /**< running tasks */
  uint32_t count;
  uint32_t task_capacity; /**< of the tasks array */
  double cpu;             /**< true usage of its tasks, millicores */
  double memory;          /**< true usage of its tasks, MiB */
  /** Ring buffer of the usage at the latest heartbeats. */
  struct cyc_core_usage history[USAGE_HISTORY];
  uint32_t heartbeat_count;
};

struct team
{
  double cpu; /**< true usage of running tasks, millicores */
  double memory;
  double queued_cpu; /**< true usage of queued tasks, millicores */
  double queued_memory;
  double used_sum;     /**< sum over seconds of its dominant share */
  double demand_sum;   /**< used_sum with its queued tasks included */
  double distance_sum; /**< sum over minutes, from its fair share */
  uint32_t minutes;    /**< number of terms in distance_sum */
};

struct model
{
  const struct bn_load *load;
  struct bn_scheduler *scheduler;
  struct bn_result *out;
  double load_factor;
  uint64_t seed;
  uint64_t now_us;
  struct event *heap;
  size_t heap_count;
  size_t heap_capacity;
  struct task *tasks;
  uint32_t task_count;
  uint32_t *job_first; /**< first task of each job */
  uint32_t job_count;
  struct worker *workers;
  struct team teams[BN_MAX_TEAMS];
  uint32_t seconds;
};

static void
event_push (struct model *m, uint64_t at_us, enum event_kind kind,
            uint32_t row, uint32_t generation)
{
  size_t at = m->heap_count++;

  if (at == m->heap_capacity)
    {
      m->heap_capacity = m->heap_capacity > 0 ? m->heap_capacity * 2 : 4096;
      m->heap = realloc (m->heap, m->heap_capacity * sizeof *m->heap);
      if (m->heap == NULL)
        abort ();
    }
  while (at > 0 && m->heap[(at - 1) / 2].at_us > at_us)
    {
      m->heap[at] = m->heap[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  m->heap[at] = (struct event){ at_us, row, generation, kind };
}

static struct event
event_pop (struct model *m)
{
  struct event first = m->heap[0];
  struct event last = m->heap[--m->heap_count];
  size_t at = 0;

  for (;;)
    {
      size_t child = 2 * at + 1;

      if (child >= m->heap_count)
        break;
      if (child + 1 < m->heap_count
          && m->heap[child + 1].at_us < m->heap[child].at_us)
        child++;
      if (m->heap[child].at_us >= last.at_us)
        break;
      m->heap[at] = m->heap[child];
      at = child;
    }
  m->heap[at] = last;
  return first;
}

static struct cyc_id128
job_id (uint32_t number)
{
  struct cyc_id128 id = { { 0 } };

  memcpy (id.bytes, &number, sizeof number);
  return id;
}

static struct team *
team_of (struct model *m, const struct task *task)
{
  return &m->teams[m->load->queues[task->queue].team];
}

/* Returns a random number of the log-normal distribution with that mean. */
static double
random_log_normal (struct model *m, double mean, double sigma)
{
  return mean * exp (sigma * bn_normal (&m->seed) - sigma * sigma / 2);
}

/* Adds the task to the queued demand of its team; @p sign -1 subtracts it. */
static void
add_queued_demand (struct model *m, struct task *task, double sign)
{
  team_of (m, task)->queued_cpu += sign * task->cpu;
  team_of (m, task)->queued_memory += sign * task->memory;
}

static void
new_task (struct model *m, uint32_t queue, uint32_t job, uint32_t index)
{
  const struct bn_queue *q = &m->load->queues[queue];
  struct task *task = &m->tasks[m->task_count++];

  if (m->task_count == MAX_TASKS)
    abort ();
  *task = (struct task){ .job = job,
                         .index = index,
                         .queue = queue,
                         .worker = NO_WORKER,
                         .submitted_us = m->now_us };
  task->cpu = random_log_normal (m, q->declared.millicores * q->true_cpu_ratio,
                                 0.25);
  task->memory = random_log_normal (
      m, q->declared.memory_mib * q->true_memory_ratio, 0.2);
  task->remaining_us
      = q->kind == CYC_KIND_SERVICE
            ? UINT64_MAX
            : (uint64_t)(random_log_normal (m, q->run_s, 0.4) * 1e6);
}

/* Adds a job of the queue. A service gets eight times its replicas as tasks,
 * because the scheduler replaces replicas under new indexes. */
static void
submit (struct model *m, uint32_t queue)
{
  const struct bn_queue *q = &m->load->queues[queue];
  bool service = q->kind == CYC_KIND_SERVICE;
  uint32_t number = m->job_count++;
  struct cyc_core_job job = { .id = job_id (number),
                              .tasks = q->tasks,
                              .submitted_us = m->now_us };

  if (number == MAX_JOBS)
    abort ();
  m->job_first[number] = m->task_count;
  for (uint32_t i = 0; i < (service ? q->tasks * 8 : q->tasks); i++)
    {
      new_task (m, queue, number, i);
      if (i < q->tasks)
        add_queued_demand (m, &m->tasks[m->task_count - 1], 1);
    }
  cyc_name_set (&job.queue, cyc_str_of (q->name));
  m->scheduler->add_job (m->scheduler, queue, &job, m->now_us);
}

static void
schedule_arrival (struct model *m, uint32_t queue)
{
  const struct bn_queue *q = &m->load->queues[queue];
  double capacity = (double)m->load->workers * m->load->worker.millicores;
  double work
      = q->declared.millicores * q->true_cpu_ratio * q->run_s * q->tasks;
  double gap_s = work / (capacity * q->load_ratio * m->load_factor);

  event_push (m,
              m->now_us
                  + (uint64_t)(-log (bn_uniform (&m->seed)) * gap_s * 1e6) + 1,
              EVENT_ARRIVAL, queue, 0);
}

static void
add_to_worker (struct model *m, uint32_t row, uint32_t worker)
{
  struct task *task = &m->tasks[row];
  struct worker *w = &m->workers[worker];

  if (w->count == w->task_capacity)
    {
      w->task_capacity = w->task_capacity > 0 ? w->task_capacity * 2 : 64;
      w->tasks = realloc (w->tasks, w->task_capacity * sizeof *w->tasks);
      if (w->tasks == NULL)
        abort ();
    }
  task->worker = worker;
  task->worker_position = w->count;
  w->tasks[w->count++] = row;
  w->cpu += task->cpu;
  w->memory += task->memory;
  team_of (m, task)->cpu += task->cpu;
  team_of (m, task)->memory += task->memory;
}

static void
remove_from_worker (struct model *m, uint32_t row)
{
  struct task *task = &m->tasks[row];
  struct worker *w = &m->workers[task->worker];
  uint32_t last = w->tasks[--w->count];

  w->tasks[task->worker_position] = last;
  m->tasks[last].worker_position = task->worker_position;
  w->cpu -= task->cpu;
  w->memory -= task->memory;
  team_of (m, task)->cpu -= task->cpu;
  team_of (m, task)->memory -= task->memory;
  task->worker = NO_WORKER;
  task->generation++;
}

static enum bn_kind
kind_of (const struct bn_queue *queue)
{
  if (queue->kind == CYC_KIND_SERVICE)
    return BN_SERVICE;
  if (queue->kind == CYC_KIND_GANG)
    return BN_GANG;
  return queue->urgent ? BN_URGENT : BN_BATCH;
}

static void
on_start (struct model *m, uint32_t row, uint32_t worker)
{
  struct task *task = &m->tasks[row];
  enum bn_kind kind = kind_of (&m->load->queues[task->queue]);

  if (task->worker != NO_WORKER)
    {
      fprintf (stderr, "task %u.%u was started twice\n", task->job,
               task->index);
      abort ();
    }
  add_queued_demand (m, task, -1);
  add_to_worker (m, row, worker);
  task->started_us = m->now_us;
  task->generation++;
  m->out->starts++;
  if (!task->wait_recorded && task->submitted_us >= WARM_UP_US / 3)
    bn_samples_add (&m->out->wait_s[kind],
                    (double)(m->now_us - task->submitted_us) / 1e6);
  task->wait_recorded = true;
  event_push (m, m->now_us + 20000, EVENT_STARTED, row, task->generation);
  if (task->remaining_us != UINT64_MAX)
    event_push (m, m->now_us + task->remaining_us, EVENT_END, row,
                task->generation);
}

static void
report (struct model *m, uint32_t row, enum cyc_task_event event)
{
  struct cyc_id128 id = job_id (m->tasks[row].job);

  m->scheduler->report (m->scheduler, &id, m->tasks[row].index, event,
                        m->now_us);
}

/* Executes a decision. One task in five does not respond to a request for a
 * checkpoint. */
static void
on_decision (struct model *m, const struct cyc_decision *d)
{
  uint32_t number;
  uint32_t row;

  memcpy (&number, d->job.bytes, sizeof number);
  if (d->kind == CYC_DECISION_JOB_ENDED || d->kind == CYC_DECISION_REFUSE)
    return;
  row = m->job_first[number] + d->task_index;
  if (d->kind == CYC_DECISION_START)
    on_start (m, row, d->worker.index);
  else if (m->tasks[row].worker == NO_WORKER)
    return;
  else if (d->kind == CYC_DECISION_CHECKPOINT && bn_uniform (&m->seed) < 0.8)
    event_push (m, m->now_us + BN_SECOND_US, EVENT_CHECKPOINTED, row,
                m->tasks[row].generation);
  else if (d->kind == CYC_DECISION_STOP)
    event_push (m, m->now_us + 300000, EVENT_STOPPED, row,
                m->tasks[row].generation);
}

/* Stops a task and returns it to the queue; only a checkpoint keeps its
 * progress. */
static void
requeue_task (struct model *m, uint32_t row, bool keep_progress)
{
  struct task *task = &m->tasks[row];
  uint64_t ran_us = m->now_us - task->started_us;

  remove_from_worker (m, row);
  add_queued_demand (m, task, 1);
  if (keep_progress && task->remaining_us != UINT64_MAX)
    task->remaining_us
        -= ran_us < task->remaining_us ? ran_us : task->remaining_us;
  m->out->stops++;
  report (m, row,
          keep_progress ? CYC_TASK_EVENT_CHECKPOINTED
                        : CYC_TASK_EVENT_STOPPED);
}

static struct cyc_core_usage
measured_usage (struct model *m, double cpu, double memory, uint64_t at_us)
{
  double noise = 1 + 0.05 * bn_normal (&m->seed);
  struct cyc_core_usage usage = { .measured_us = at_us };

  usage.used.millicores = (uint32_t)(cpu * noise);
  usage.used.memory_mib = (uint32_t)memory;
  return usage;
}

static void
on_heartbeat (struct model *m, uint32_t row)
{
  struct worker *w = &m->workers[row];
  const struct bn_load *load = m->load;

  w->history[w->heartbeat_count % USAGE_HISTORY]
      = measured_usage (m, w->cpu, w->memory, m->now_us);
  if (w->heartbeat_count >= USAGE_LAG_S)
    m->scheduler->heartbeat (
        m->scheduler, row,
        &w->history[(w->heartbeat_count - USAGE_LAG_S) % USAGE_HISTORY],
        m->now_us);
  w->heartbeat_count++;
  for (uint32_t i = 0; i < w->count; i++)
    {
      struct task *task = &m->tasks[w->tasks[i]];
      struct cyc_id128 id = job_id (task->job);
      struct cyc_core_usage usage = measured_usage (
          m, task->cpu, task->memory, m->now_us - USAGE_LAG_S * BN_SECOND_US);

      if (m->now_us - task->started_us >= USAGE_LAG_S * BN_SECOND_US)
        m->scheduler->task_usage (m->scheduler, &id, task->index, &usage,
                                  m->now_us);
    }
  if (m->now_us >= WARM_UP_US)
    {
      m->out->samples++;
      m->out->over_millicores += w->cpu > load->worker.millicores;
      m->out->over_memory += w->memory > load->worker.memory_mib;
    }
  event_push (m, m->now_us + BN_SECOND_US, EVENT_HEARTBEAT, row, 0);
}

static void
on_event (struct model *m, struct event event)
{
  struct task *task = &m->tasks[event.row];

  if (event.kind >= EVENT_STARTED && event.kind != EVENT_DONE
      && event.generation != task->generation)
    return;
  switch (event.kind)
    {
    case EVENT_ARRIVAL:
      submit (m, event.row);
      schedule_arrival (m, event.row);
      break;
    case EVENT_HEARTBEAT:
      on_heartbeat (m, event.row);
      break;
    case EVENT_STARTED:
      report (m, event.row, CYC_TASK_EVENT_STARTED);
      break;
    case EVENT_END:
      remove_from_worker (m, event.row);
      event_push (m, m->now_us + (uint64_t)(bn_uniform (&m->seed) * 1e6),
                  EVENT_DONE, event.row, 0);
      break;
    case EVENT_DONE:
      m->out->done++;
      report (m, event.row, CYC_TASK_EVENT_DONE);
      break;
    case EVENT_CHECKPOINTED:
      requeue_task (m, event.row, true);
      break;
    case EVENT_STOPPED:
      requeue_task (m, event.row, false);
      break;
    }
}

static double
max_double (double a, double b)
{
  return a > b ? a : b;
}

static void
end_minute (struct model *m)
{
  double demand[BN_MAX_TEAMS];
  double entitled[BN_MAX_TEAMS];
  double total = 0;

  for (uint32_t t = 0; t < m->load->team_count; t++)
    {
      demand[t] = m->teams[t].demand_sum;
      total += m->teams[t].used_sum;
    }
  bn_fair_share (m->load, demand, total, entitled);
  for (uint32_t t = 0; t < m->load->team_count; t++)
    {
      struct team *team = &m->teams[t];
      double points = 100 * fabs (team->used_sum - entitled[t]) / total;

      if (m->now_us > WARM_UP_US)
        {
          bn_samples_add (&m->out->distance, points);
          team->distance_sum += points;
          team->minutes++;
        }
      team->used_sum = 0;
      team->demand_sum = 0;
    }
}

static void
sample_second (struct model *m)
{
  double all_cpu = (double)m->load->workers * m->load->worker.millicores;
  double all_memory = (double)m->load->workers * m->load->worker.memory_mib;
  double cpu = 0;
  double memory = 0;

  for (uint32_t t = 0; t < m->load->team_count; t++)
    {
      struct team *team = &m->teams[t];

      cpu += team->cpu;
      memory += team->memory;
      team->used_sum
          += max_double (team->cpu / all_cpu, team->memory / all_memory);
      team->demand_sum
          += max_double ((team->cpu + team->queued_cpu) / all_cpu,
                         (team->memory + team->queued_memory) / all_memory);
    }
  if (m->now_us >= WARM_UP_US)
    bn_samples_add (&m->out->packing,
                    1000 * max_double (cpu / all_cpu, memory / all_memory));
  if (++m->seconds % 60 == 0)
    end_minute (m);
}

static void
run_tick (struct model *m)
{
  static struct cyc_decision decisions[BN_MAX_DECISIONS];
  uint64_t start = bn_monotonic_ns ();
  uint32_t count = m->scheduler->tick (m->scheduler, m->now_us, decisions,
                                       BN_MAX_DECISIONS);

  if (count > 0)
    bn_samples_add (&m->out->tick_us,
                    (double)(bn_monotonic_ns () - start) / 1e3);
  for (uint32_t i = 0; i < count; i++)
    on_decision (m, &decisions[i]);
}

static void
schedule_first_events (struct model *m)
{
  for (uint32_t q = 0; q < m->load->queue_count; q++)
    if (m->load->queues[q].kind == CYC_KIND_SERVICE)
      submit (m, q);
    else
      schedule_arrival (m, q);
  for (uint32_t w = 0; w < m->load->workers; w++)
    event_push (m, m->now_us + w * BN_SECOND_US / m->load->workers,
                EVENT_HEARTBEAT, w, 0);
}

/* Adds the waiting times of tasks that never started, and finds the team with
 * the largest mean distance from its fair share. */
static void
summarize_run (struct model *m)
{
  for (uint32_t i = 0; i < m->task_count; i++)
    {
      const struct task *task = &m->tasks[i];
      enum bn_kind kind = kind_of (&m->load->queues[task->queue]);

      if (task->wait_recorded || kind == BN_SERVICE
          || task->submitted_us < WARM_UP_US / 3)
        continue;
      bn_samples_add (&m->out->wait_s[kind],
                      (double)(m->now_us - task->submitted_us) / 1e6);
      m->out->unstarted[kind]++;
    }
  for (uint32_t t = 0; t < m->load->team_count; t++)
    {
      double mean = m->teams[t].distance_sum / m->teams[t].minutes;

      if (mean <= m->out->worst_team_mean)
        continue;
      m->out->worst_team_mean = mean;
      m->out->worst_team = m->load->teams[t].name;
    }
}

void
bn_run (const struct bn_load *load, double load_factor, uint64_t seed,
        struct bn_scheduler *scheduler, struct bn_result *out)
{
  struct model m = { .load = load,
                     .scheduler = scheduler,
                     .out = out,
                     .load_factor = load_factor,
                     .seed = seed,
                     .now_us = BN_SECOND_US };

  memset (out, 0, sizeof *out);
  m.tasks = calloc (MAX_TASKS, sizeof *m.tasks);
  m.job_first = calloc (MAX_JOBS, sizeof *m.job_first);
  m.workers = calloc (load->workers, sizeof *m.workers);
  if (m.tasks == NULL || m.job_first == NULL || m.workers == NULL)
    abort ();
  schedule_first_events (&m);
  for (uint64_t at = m.now_us; at < RUN_END_US; at += TICK_US)
    {
      while (m.heap_count > 0 && m.heap[0].at_us <= at)
        {
          struct event event = event_pop (&m);

          m.now_us = event.at_us;
          on_event (&m, event);
        }
      m.now_us = at;
      run_tick (&m);
      if (at % BN_SECOND_US == 0)
        sample_second (&m);
    }
  summarize_run (&m);
  for (uint32_t w = 0; w < load->workers; w++)
    free (m.workers[w].tasks);
  free (m.workers);
  free (m.tasks);
  free (m.job_first);
  free (m.heap);
  scheduler->close (scheduler);
}
