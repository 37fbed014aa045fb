/* Runs: their start, stop and end, and workers that leave or are lost. */

#include "cyc_cell_internal.h"

#include <stdio.h>
#include <string.h>

/** A run with a checkpoint is stopped this long before its worker leaves: a
 * stop takes up to a second and its end must be received. */
#define EVACUATE_BEFORE_US 1500000
/** A run that ends at least this long before its worker leaves may stay. */
#define EVACUATE_MARGIN_US 250000
/** A worker that refused a start for want of room gets no new tasks for this
 * time: it has shrunk, and its entry shows that with its next heartbeat. */
#define NO_ROOM_PAUSE_US 500000

struct cell_run *
cell_run_at (const struct cell_core *core, struct cyc_ref ref)
{
  if (ref.generation == 0 || ref.index >= core->runs->len
      || g_array_index (core->run_generations, uint32_t, ref.index)
             != ref.generation)
    return NULL;
  return g_ptr_array_index (core->runs, ref.index);
}

static void
account_usage (struct cell_core *core, const struct cell_run *run, int sign)
{
  struct cell_worker *worker = cell_worker_at (core, run->worker);
  struct cell_team *team = run->job->team;
  int64_t millicores = sign * (int64_t)run->size.millicores;
  int64_t memory = sign * (int64_t)run->size.memory_mib;
  int64_t accelerators = sign * (int64_t)run->size.accelerators;

  worker->used_millicores += (uint64_t)millicores;
  worker->used_memory_mib += (uint64_t)memory;
  worker->used_accelerators += (uint64_t)accelerators;
  worker->run_count += (uint32_t)sign;
  team->run_count += (uint32_t)sign;
  team->used_millicores += (uint64_t)millicores;
  team->used_memory_mib += (uint64_t)memory;
  team->used_accelerators += (uint64_t)accelerators;
}

/* Adds a run that occupies the worker; it is not yet the run of its task. */
static struct cell_run *
allocate_run (struct cell_core *core, struct cell_job *job, uint32_t round,
              uint32_t task, uint32_t worker_row, uint32_t number)
{
  struct cell_run *run = g_new0 (struct cell_run, 1);
  struct cell_worker *worker = cell_worker_at (core, worker_row);
  const Cyc__CellStep *step
      = cell_stage_step (cell_stage_of_task (job, round, task));

  if (core->free_runs->len > 0)
    {
      run->ref.index = g_array_index (core->free_runs, uint32_t,
                                      core->free_runs->len - 1);
      g_array_set_size (core->free_runs, core->free_runs->len - 1);
      g_ptr_array_index (core->runs, run->ref.index) = run;
    }
  else
    {
      uint32_t none = 0;

      run->ref.index = core->runs->len;
      g_ptr_array_add (core->runs, run);
      g_array_append_val (core->run_generations, none);
    }
  run->ref.generation
      = ++g_array_index (core->run_generations, uint32_t, run->ref.index);
  cell_round_at (job, round)->run_count++;
  run->job = job;
  run->round = round;
  run->task = task;
  run->number = number;
  run->worker = worker_row;
  run->worker_born_ms = worker->born_ms;
  run->size = (struct cyc_resources){ step->fills ? 0 : step->millicores,
                                      step->memory_mib, step->accelerators };
  run->next = worker->runs;
  if (worker->runs != NULL)
    worker->runs->prev = run;
  worker->runs = run;
  cell_worker_touch (core, worker);
  account_usage (core, run, 1);
  return run;
}

struct cell_run *
cell_run_new (struct cell_core *core, struct cell_job *job, uint32_t round,
              uint32_t task, uint32_t worker, uint32_t number)
{
  struct cell_run *run = allocate_run (core, job, round, task, worker, number);
  struct cell_task *row = cell_task_at (job, round, task);

  cell_task_set_state (job, round, task, CELL_TASK_PLACED);
  row->run = run;
  if (number >= row->next_run)
    row->next_run = number + 1;
  cell_pace_started (core);
  return run;
}

struct cell_run *
cell_run_adopt (struct cell_core *core, struct cell_job *job, uint32_t round,
                uint32_t task, uint32_t worker, uint32_t number)
{
  struct cell_stage *stage = cell_stage_of_task (job, round, task);
  struct cell_task *row = cell_task_at (job, round, task);
  bool may_count = cell_job_open (job) && !cell_stage_step (stage)->gang;
  bool next_is_unordered
      = may_count && row->run != NULL && row->run->state == CELL_RUN_RECORDING;
  struct cell_run *run;

  /* The task was placed again while this run went on. */
  if (next_is_unordered)
    cell_over_unordered (core, row->run);
  if (may_count && cell_job_open (job) && row->state == CELL_TASK_WAITING
      && (next_is_unordered || number >= row->next_run - 1))
    {
      run = cell_run_new (core, job, round, task, worker, number);
      cell_task_mark_dirty (core, job, round, task);
    }
  else
    {
      run = allocate_run (core, job, round, task, worker, number);
      run->superseded = true;
      cell_twice_extra (core, run);
      cell_run_stop (core, run);
    }
  run->adopted = true;
  run->state = CELL_RUN_RUNNING;
  run->confirmed_us = core->now_us;
  run->call_ended_us = core->now_us;
  run->resumed = true;
  return run;
}

bool
cell_run_start_known (const struct cell_run *run)
{
  return run->confirmed_us != 0 && run->confirmed_us <= run->answered_us;
}

void
cell_run_free (struct cell_core *core, struct cell_run *run)
{
  struct cell_worker *worker = cell_worker_at (core, run->worker);
  struct cell_task *task = cell_task_at (run->job, run->round, run->task);

  cell_blame_freed (core, run);
  cell_twice_freed (core, run);
  cell_round_at (run->job, run->round)->run_count--;
  if (task->run == run)
    task->run = NULL;
  if (run->state == CELL_RUN_RECORDING || run->start_again)
    g_queue_remove (&core->recording, run);
  if (run->prev != NULL)
    run->prev->next = run->next;
  else
    worker->runs = run->next;
  if (run->next != NULL)
    run->next->prev = run->prev;
  cell_worker_touch (core, worker);
  account_usage (core, run, -1);
  g_ptr_array_index (core->runs, run->ref.index) = NULL;
  g_array_index (core->run_generations, uint32_t, run->ref.index)++;
  g_array_append_val (core->free_runs, run->ref.index);
  core->placement_pending = true;
  cell_wake (core, core->now_us);
  cell_ticket_release (run);
  g_free (run);
}

void
cell_run_stop (struct cell_core *core, struct cell_run *run)
{
  if (run->stop_requested)
    return;
  run->stop_requested = true;
  run->stop_next_us = core->now_us;
  cell_worker_touch (core, cell_worker_at (core, run->worker));
  cell_wake (core, core->now_us);
}

static void
pause_worker (struct cell_core *core, uint32_t row, uint64_t pause_us)
{
  struct cell_worker *worker = cell_worker_at (core, row);

  worker->paused_until_us
      = MAX (worker->paused_until_us, core->now_us + pause_us);
  cell_worker_touch (core, worker);
  cell_retry_placement (core, worker->paused_until_us);
}

bool
cell_run_describe (const struct cell_core *core, struct cyc_ref ref,
                   struct cell_order *out)
{
  const struct cell_run *run = cell_run_at (core, ref);

  memset (out, 0, sizeof *out);
  if (run == NULL)
    return false;
  out->run = ref;
  out->worker = run->worker;
  out->number = run->number;
  out->ordered_us = run->ordered_us;
  cell_task_name (run, out->task);
  return true;
}

void
cell_start_result (struct cell_core *core, struct cyc_ref ref,
                   enum cell_start_result result, uint64_t now_us)
{
  struct cell_run *run = cell_run_at (core, ref);

  core->now_us = now_us;
  if (run == NULL || run->state == CELL_RUN_RECORDING)
    return;
  run->call_ended_us = now_us;
  cell_worker_at (core, run->worker)->start_called_us = now_us;
  cell_worker_touch (core, cell_worker_at (core, run->worker));
  switch (result)
    {
    case CELL_START_OK:
      run->answered_us = now_us;
      if (run->state == CELL_RUN_STARTING)
        run->confirmed_us = now_us;
      run->state = CELL_RUN_RUNNING;
      run->job->begun = true;
      cell_twice_check (core, run);
      return;
    case CELL_START_OLD:
      if (cell_over_closed (core, run))
        return;
      /* The run may have been executed and have ended: a report tells. */
      run->answered_us = now_us;
      run->unconfirmed_us = now_us;
      return;
    case CELL_START_REFUSED_OTHER:
      pause_worker (core, run->worker, CELL_PAUSE_US / 2);
      cell_over_refused (core, run);
      return;
    case CELL_START_REFUSED_TICKET:
      cell_ticket_refused (run);
      cell_over_refused (core, run);
      return;
    case CELL_START_REFUSED_CAPACITY:
      pause_worker (core, run->worker, NO_ROOM_PAUSE_US);
      cell_over_refused (core, run);
      return;
    case CELL_START_FENCED:
      cell_over_refused (core, run);
      return;
    case CELL_START_UNKNOWN:
      if (run->unconfirmed_us == 0)
        run->unconfirmed_us = now_us;
      cell_over_start_unanswered (core, run);
      cell_wake (core, now_us);
      return;
    }
}

void
cell_stop_result (struct cell_core *core, struct cyc_ref ref, uint64_t sent_us,
                  uint64_t now_us)
{
  struct cell_run *run = cell_run_at (core, ref);

  core->now_us = now_us;
  if (run == NULL || !run->stop_in_flight)
    return;
  run->stop_in_flight = false;
  cell_worker_touch (core, cell_worker_at (core, run->worker));
  if (sent_us != 0)
    run->stop_confirmed_us = now_us;
  cell_wake (core, now_us);
}

void
cell_runs_reached (struct cell_core *core, struct cell_worker *worker)
{
  cell_worker_touch (core, worker);
  for (struct cell_run *run = worker->runs; run != NULL; run = run->next)
    run->stop_next_us = MIN (run->stop_next_us, core->now_us);
}

static void
order_stop (struct cell_core *core, struct cell_run *run)
{
  const struct cell_worker *worker = cell_worker_at (core, run->worker);
  struct cell_order *order = g_new0 (struct cell_order, 1);

  run->stop_in_flight = true;
  run->stop_confirmed_us = 0;
  run->stop_born_ms = worker->born_ms;
  run->stop_next_us = core->now_us
                      + (worker->reachable ? CELL_STOP_REPEAT_US
                                           : CELL_STOP_SILENT_REPEAT_US);
  order->kind = CELL_ORDER_STOP;
  order->run = run->ref;
  order->worker = run->worker;
  order->number = run->number;
  cell_task_name (run, order->task);
  g_queue_push_tail (&core->orders, order);
}

uint64_t
cell_lease_end_us (uint64_t from_us, uint64_t remaining_ms)
{
  return from_us
         + remaining_ms * 1000 * 1000 / (1000 - CELL_CLOCK_DRIFT_PERMILLE)
         + CELL_LEASE_MARGIN_US;
}

uint64_t
cell_lease_lapsed_us (const struct cell_core *core, uint64_t extended_us)
{
  return cell_lease_end_us (extended_us, core->desc.lease_ms);
}

/* Returns the remaining duration of a run by its projected end or, if that is
   unknown, its declared estimate. */
static uint64_t
remaining_work_us (const struct cell_core *core, const struct cell_run *run)
{
  const Cyc__CellStep *step
      = cell_stage_step (cell_stage_of_task (run->job, run->round, run->task));
  uint64_t estimate_us = (uint64_t)step->estimate_ms * 1000;
  uint64_t elapsed_us
      = run->confirmed_us != 0 ? core->now_us - run->confirmed_us : 0;

  if (run->projected_end_us != 0)
    return run->projected_end_us > core->now_us
               ? run->projected_end_us - core->now_us
               : 0;
  return estimate_us > elapsed_us ? estimate_us - elapsed_us : 0;
}

/* Stops runs that cannot end before the worker leaves: with a checkpoint at
   the last moment, without one immediately unless half of the work is done,
   since workers often stay longer than announced. */
static void
evacuate (struct cell_core *core, struct cell_worker *worker)
{
  uint64_t last_us = worker->stays_until_us > EVACUATE_BEFORE_US
                         ? worker->stays_until_us - EVACUATE_BEFORE_US
                         : 0;

  for (struct cell_run *run = worker->runs; run != NULL; run = run->next)
    {
      const Cyc__CellStep *step = cell_stage_step (
          cell_stage_of_task (run->job, run->round, run->task));
      uint64_t remaining_us;

      if (run->state != CELL_RUN_RUNNING || run->stop_requested
          || run->superseded)
        continue;
      remaining_us = remaining_work_us (core, run);
      if (core->now_us + remaining_us + EVACUATE_MARGIN_US
          < worker->stays_until_us)
        {
          cell_worker_wake (core, worker,
                            worker->stays_until_us - EVACUATE_MARGIN_US);
          continue;
        }
      if (step->checkpointing || step->long_running)
        {
          if (core->now_us >= last_us)
            cell_run_stop (core, run);
          else
            cell_worker_wake (core, worker, last_us);
        }
      else if (remaining_us > core->now_us - run->confirmed_us)
        cell_run_stop (core, run);
    }
}

/* Orders the stop of the run if that is due, and notes when its start counts
   as unconfirmed. */
static void
look_at_run (struct cell_core *core, const struct cell_worker *worker,
             struct cell_run *run)
{
  if (run->state == CELL_RUN_RECORDING)
    return;
  if (run->state == CELL_RUN_STARTING && run->unconfirmed_us == 0
      && (run->ordered_us != 0 || run->inherited))
    {
      uint64_t timeout_us = run->ordered_us + CELL_START_TIMEOUT_US;

      if (timeout_us <= core->now_us)
        run->unconfirmed_us = core->now_us;
      else
        cell_worker_wake (core, worker, timeout_us);
    }
  if (!run->stop_requested || run->stop_in_flight
      || (run->inherited && !worker->fenced)
      || (run->stop_confirmed_us != 0 && run->stop_born_ms == worker->born_ms))
    return;
  if (run->stop_next_us <= core->now_us)
    order_stop (core, run);
  else
    cell_worker_wake (core, worker, run->stop_next_us);
}

static void
look_at_worker (struct cell_core *core, struct cell_worker *worker)
{
  bool absent = !worker->reachable || worker->exited_us != 0;

  if (worker->listed && worker->paused_until_us > core->now_us)
    cell_worker_wake (core, worker, worker->paused_until_us);
  if (absent)
    cell_over_expire (core, worker);
  if (worker->runs == NULL)
    return;
  if (absent && !worker->listed)
    cell_look_await_entries (core, worker);
  if (worker->stays_until_us != 0 && worker->exited_us == 0)
    evacuate (core, worker);
  for (struct cell_run *run = worker->runs; run != NULL; run = run->next)
    look_at_run (core, worker, run);
  cell_look_report_after_us (core, worker->row);
  cell_worker_wake (core, worker, worker->report_until_us);
}

void
cell_runs_tick (struct cell_core *core)
{
  struct cell_worker *worker;

  while ((worker = cell_look_next (core)) != NULL)
    look_at_worker (core, worker);
  cell_wake (core, due_next (&core->due));
}
