/* Batches of job records, and the orders that wait until a batch is
   durable. */

#include "cyc_cell_internal.h"

#include <string.h>

void
cell_ack_later (struct cell_core *core, struct cell_worker *worker)
{
  worker->ack_batch = core->batch;
  core->acks_batch = core->batch;
  if (!worker->ack_listed)
    g_array_append_val (core->acks, worker->row);
  worker->ack_listed = true;
}

uint64_t
cell_batch_close (struct cell_core *core)
{
  if (core->dirty->len == 0 && core->acks_batch != core->batch)
    return 0;
  if (core->dirty->len == 0)
    {
      /* The batch has only ends that changed nothing, such as repeated
         ones. */
      uint64_t batch = core->batch++;

      cell_batch_durable (core, batch, core->now_us);
      return 0;
    }
  for (guint i = 0; i < core->dirty->len; i++)
    {
      struct cell_job *job = g_ptr_array_index (core->dirty, i);

      cell_progress_write (core, job);
      job->dirty = false;
    }
  g_ptr_array_set_size (core->dirty, 0);
  return core->batch++;
}

bool
cell_batch_next (struct cell_core *core, struct cell_record *out)
{
  struct cell_record *record;

  if (core->records->len == 0)
    return false;
  record = g_ptr_array_index (core->records, core->records->len - 1);
  g_ptr_array_set_size (core->records, (gint)core->records->len - 1);
  *out = *record;
  g_free (record);
  return true;
}

bool
cell_batch_is_durable (const struct cell_core *core, uint64_t batch)
{
  if (batch <= core->durable)
    return true;
  for (guint i = 0; i < core->durable_out_of_order->len; i++)
    if (g_array_index (core->durable_out_of_order, uint64_t, i) == batch)
      return true;
  return false;
}

static void
mark_durable (struct cell_core *core, uint64_t batch)
{
  g_array_append_val (core->durable_out_of_order, batch);
  for (guint i = 0; i < core->durable_out_of_order->len;)
    {
      if (g_array_index (core->durable_out_of_order, uint64_t, i)
          != core->durable + 1)
        {
          i++;
          continue;
        }
      core->durable++;
      g_array_remove_index_fast (core->durable_out_of_order, i);
      i = 0;
    }
}

static void
publish_states (struct cell_core *core)
{
  for (guint i = 0; i < core->state_pending->len;)
    {
      struct cell_job *job = g_ptr_array_index (core->state_pending, i);

      if (!cell_batch_is_durable (core, job->state_batch))
        {
          i++;
          continue;
        }
      job->durable_state = job->state;
      if (!cell_job_open (job))
        cell_progress_remove (core, job);
      g_ptr_array_remove_index_fast (core->state_pending, i);
    }
}

static void
order_start (struct cell_core *core, struct cell_run *run)
{
  struct cell_order *order = g_new0 (struct cell_order, 1);
  const struct cell_task *task
      = cell_task_peek (run->job, run->round, run->task);

  order->kind = CELL_ORDER_START;
  order->run = run->ref;
  order->worker = run->worker;
  order->number = run->number;
  cell_task_name (run, order->task);
  order->payload = (struct cyc_str){ (char *)run->job->spec->payload.data,
                                     run->job->spec->payload.len };
  if (run->ticket != NULL)
    order->ticket
        = (struct cyc_str){ run->ticket, g_ref_string_length (run->ticket) };
  memcpy (order->checkpoint, task->checkpoint, sizeof order->checkpoint);
  g_queue_push_tail (&core->orders, order);
  cell_worker_touch (core, cell_worker_at (core, run->worker));
  run->state = CELL_RUN_STARTING;
  run->resumed = task->checkpoint[0] != 0;
}

/* Returns whether the run fits beside the others that were ordered. The worker
   may have shrunk since the run was placed. */
static bool
still_fits (const struct cell_worker *worker, const struct cell_run *run)
{
  struct cell_resources used
      = { run->size.millicores, run->size.memory_mib, run->size.accelerators };

  for (const struct cell_run *other = worker->runs; other != NULL;
       other = other->next)
    if (other != run && other->state != CELL_RUN_RECORDING)
      {
        used.millicores += other->size.millicores;
        used.memory_mib += other->size.memory_mib;
        used.accelerators += other->size.accelerators;
      }
  return used.millicores <= worker->capacity.millicores
         && used.memory_mib <= worker->capacity.memory_mib
         && used.accelerators <= worker->capacity.accelerators;
}

/* Returns whether the run may still be started: while its record was written,
   the run, its queue, its worker or its ticket may have become invalid. */
static bool
may_start (const struct cell_core *core, const struct cell_run *run)
{
  const struct cell_worker *worker = cell_worker_at (core, run->worker);

  return !run->stop_requested && cell_job_open (run->job)
         && run->job->cfg_known && worker->listed
         && cell_entry_current (worker) && !worker->draining
         && !worker->evacuated && worker->reachable && still_fits (worker, run)
         && cell_worker_suits (
             cell_stage_of_task (run->job, run->round, run->task), worker)
         && (run->ticket_until_us == 0 || run->ticket_until_us > core->now_us);
}

/** A larger gang is not started again: each of its members would look at all
 * others. */
#define GANG_AGAIN_MAX 256

/* Returns whether no member of the gang has begun its work, so that all can
   still be started alike. */
static bool
is_gang_fresh (const struct cell_run *run)
{
  const struct cell_stage *stage
      = cell_stage_of_task (run->job, run->round, run->task);

  if (stage->count > GANG_AGAIN_MAX)
    return false;
  for (uint32_t t = 0; t < stage->count; t++)
    {
      const struct cell_task *member
          = cell_task_peek (run->job, run->round, stage->first_task + t);

      if (member->run == NULL || member->run->number != run->number
          || member->run->stop_requested || member->run->percent > 0
          || member->checkpoint[0] != 0)
        return false;
    }
  return true;
}

/* Returns whether no other run of the task is on the worker: the end of one
   that it has shown is awaited first. */
static bool
is_alone (const struct cell_worker *worker, const struct cell_run *run)
{
  for (const struct cell_run *other = worker->runs; other != NULL;
       other = other->next)
    if (other != run && other->job == run->job && other->round == run->round
        && other->task == run->task)
      return false;
  return true;
}

/* Returns whether an inherited run may be started again. One that may have
   crashed its worker is judged first, and one that needs a ticket has no start
   that a later incarnation could execute. */
static bool
may_start_again (const struct cell_core *core, const struct cell_run *run)
{
  const struct cell_worker *worker = cell_worker_at (core, run->worker);
  const struct cell_stage *stage
      = cell_stage_of_task (run->job, run->round, run->task);
  const struct cell_task *task
      = cell_task_peek (run->job, run->round, run->task);
  bool gang = cell_stage_step (stage)->gang;
  const struct cell_task *accountable
      = gang ? cell_task_peek (run->job, run->round, stage->first_task) : task;

  return run->inherited && run->state == CELL_RUN_STARTING && task->run == run
         && task->state != CELL_TASK_DONE && run->broken_us == 0
         && accountable->crashes == NULL && !run->job->cfg.advice.required
         && worker->fenced && worker->trial_count == 0
         && worker->paused_until_us <= core->now_us && may_start (core, run)
         && is_alone (worker, run)
         && (!gang || (is_gang_fresh (run) && !run->number_closed));
}

void
cell_run_start_again (struct cell_core *core, struct cell_run *run)
{
  struct cell_task *task = cell_task_at (run->job, run->round, run->task);

  if (run->start_again || run->earlier_copy_us == 0
      || !may_start_again (core, run))
    return;
  if (run->number_closed)
    run->number = task->next_run++;
  run->number_closed = false;
  run->placed_ms = core->now_ms;
  run->start_again = true;
  run->recorded = false;
  run->batch = core->batch;
  g_queue_push_tail (&core->recording, run);
  cell_task_mark_dirty (core, run->job, run->round, run->task);
  cell_wake (core, core->now_us);
}

static void
order_again (struct cell_core *core, struct cell_run *run)
{
  run->start_again = false;
  if (!may_start_again (core, run))
    return;
  run->started_again = true;
  run->inherited = false;
  run->call_ended_us = 0;
  run->last_born_ms = 0;
  run->unconfirmed_us = 0;
  order_start (core, run);
}

/* Orders the runs whose record is durable and whose job is stored. */
static void
order_recorded (struct cell_core *core)
{
  GList *next;

  for (GList *at = core->recording.head; at != NULL; at = next)
    {
      struct cell_run *run = at->data;

      next = at->next;
      run->recorded
          = run->recorded || cell_batch_is_durable (core, run->batch);
      if (!run->recorded || !run->job->stored)
        continue;
      g_queue_delete_link (&core->recording, at);
      if (run->start_again)
        order_again (core, run);
      else if (may_start (core, run))
        order_start (core, run);
      else
        cell_over_unordered (core, run);
    }
}

void
cell_batch_durable (struct cell_core *core, uint64_t batch, uint64_t now_us)
{
  mark_durable (core, batch);
  core->now_us = now_us;
  for (guint i = 0; i < core->acks->len;)
    {
      struct cell_worker *worker
          = cell_worker_at (core, g_array_index (core->acks, uint32_t, i));

      /* The effect of an end may be in any batch up to this one. */
      if (worker->ack_batch > core->durable)
        {
          i++;
          continue;
        }
      worker->ack_listed = false;
      g_array_remove_index_fast (core->acks, i);
      if (worker->ack_batch == 0)
        continue;
      cell_worker_touch (core, worker);
      worker->ack = worker->ack_next;
      worker->ack_batch = 0;
      if (worker->received_end > worker->ack)
        {
          worker->ack_next = worker->received_end;
          cell_ack_later (core, worker);
        }
    }
  publish_states (core);
}

void
cell_job_stored (struct cell_core *core, uint64_t id, uint64_t now_us)
{
  struct cell_job *job = cell_job_find (core, id);

  if (job == NULL || job->stored)
    return;
  core->now_us = now_us;
  job->stored = true;
}

bool
cell_order_next (struct cell_core *core, struct cell_order *out)
{
  struct cell_order *order;

  /* Starts are decided when they are handed out: until then an entry may show
     that the worker has shrunk or drains. */
  if (g_queue_is_empty (&core->orders) && !core->starts_held)
    order_recorded (core);
  while ((order = g_queue_pop_head (&core->orders)) != NULL)
    {
      /* The run may have been taken for over since the order was queued. */
      struct cell_run *run = cell_run_at (core, order->run);

      *out = *order;
      g_free (order);
      if (run == NULL)
        continue;
      if (out->kind == CELL_ORDER_START)
        {
          struct cell_worker *worker = cell_worker_at (core, run->worker);

          run->ordered_us = core->now_us;
          run->ordered_born_ms = worker->born_ms;
          cell_worker_touch (core, worker);
          cell_wake (core, core->now_us + CELL_START_TIMEOUT_US);
        }
      return true;
    }
  return false;
}
