/* Tasks on workers: task table, checkpoints, start calls and commands. */
#include "scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A start call is valid for a short time only; later heartbeats extend the
   lease. The outcome of a start whose answer was lost is therefore known soon,
   and a start that a paused process sends late is refused. */
#define START_VALID_MS 6000

/* Limit of concurrent start calls. More of them only open more connections to
   the same workers: without a limit, a burst of 40,960 starts on 200 simulated
   workers took 355 us of CPU time per start. */
#define MAX_OPEN_STARTS 512
/* Commands and ended jobs are processed even while no further start call may
   be opened. */
#define MIN_DECISIONS 32

void
sc_ignore_result (void *user, const struct wc_result *result)
{
  (void)user;
  (void)result;
}

uint64_t
sc_hash_id (const struct cyc_id128 *id, uint32_t number)
{
  return XXH64 (id->bytes, sizeof id->bytes, number);
}

uint64_t
sc_hash_name (struct cyc_str name)
{
  return XXH64 (name.data, name.len, 0);
}

static uint32_t *
task_head (const struct sc_scheduler *sc, const struct cyc_id128 *job,
           uint32_t index)
{
  return &sc->task_index.heads[sc_hash_id (job, index) & sc->task_index.mask];
}

uint32_t
sc_task_find (const struct sc_scheduler *sc, const struct cyc_id128 *job,
              uint32_t index)
{
  uint32_t t = *task_head (sc, job, index);

  while (t != SC_NONE
         && (sc->tasks[t].index != index
             || !cyc_id128_eq (&sc->tasks[t].job, job)))
    t = sc->tasks[t].hash_next;
  return t;
}

uint32_t
sc_task_add (struct sc_scheduler *sc, const struct cyc_id128 *job,
             uint32_t index, uint32_t worker)
{
  struct cyc_ref ref = cyc_pool_take (&sc->task_pool);
  uint32_t *head = task_head (sc, job, index);
  struct sc_worker *host = &sc->workers[worker];
  const struct cyc_mem_row *row = cyc_mem_at (&sc->members, host->member);
  struct sc_task *task;

  if (ref.generation == 0)
    return SC_NONE;
  task = &sc->tasks[ref.index];
  memset (task, 0, sizeof *task);
  task->job = *job;
  task->index = index;
  task->worker = worker;
  task->address_generation = row != NULL ? row->address_generation : 0;
  task->hash_next = *head;
  *head = ref.index;
  task->prev = SC_NONE;
  task->next = host->first_task;
  if (host->first_task != SC_NONE)
    sc->tasks[host->first_task].prev = ref.index;
  host->first_task = ref.index;
  host->task_count++;
  return ref.index;
}

static void
unlink_task (struct sc_scheduler *sc, uint32_t t)
{
  struct sc_task *task = &sc->tasks[t];
  struct sc_worker *host = &sc->workers[task->worker];
  uint32_t *link = task_head (sc, &task->job, task->index);

  while (*link != t)
    link = &sc->tasks[*link].hash_next;
  *link = task->hash_next;
  if (task->prev != SC_NONE)
    sc->tasks[task->prev].next = task->next;
  else
    host->first_task = task->next;
  if (task->next != SC_NONE)
    sc->tasks[task->next].prev = task->prev;
  host->task_count--;
}

void
sc_task_drop (struct sc_scheduler *sc, uint32_t t)
{
  struct sc_task *task = &sc->tasks[t];

  if (task->state == SC_TASK_AWAITING_ATTEMPT)
    sc->awaiting_attempt_count--;
  if (task->kind == CYC_KIND_SERVICE)
    sc_targets_changed (sc, cyc_name_str (&task->queue));
  unlink_task (sc, t);
  cyc_pool_release (&sc->task_pool, cyc_pool_ref_at (&sc->task_pool, t));
}

void
sc_tasks_reset (struct sc_scheduler *sc)
{
  for (uint32_t i = 0; i < sc->task_pool.high; i++)
    if (cyc_pool_used_at (&sc->task_pool, i))
      cyc_pool_release (&sc->task_pool, cyc_pool_ref_at (&sc->task_pool, i));
  for (uint32_t i = 0; i < sc->checkpoint_pool.high; i++)
    if (cyc_pool_used_at (&sc->checkpoint_pool, i))
      cyc_pool_release (&sc->checkpoint_pool,
                        cyc_pool_ref_at (&sc->checkpoint_pool, i));
  memset (sc->task_index.heads, 0xff,
          ((size_t)sc->task_index.mask + 1) * sizeof (uint32_t));
  memset (sc->checkpoint_index.heads, 0xff,
          ((size_t)sc->checkpoint_index.mask + 1) * sizeof (uint32_t));
  for (uint32_t i = 0; i < sc->worker_high; i++)
    {
      sc->workers[i].first_task = SC_NONE;
      sc->workers[i].task_count = 0;
      sc->workers[i].untracked_ack_count = 0;
      sc->workers[i].in_core = false;
    }
  sc->awaiting_attempt_count = 0;
}

void
sc_task_name (const struct sc_scheduler *sc, const struct sc_task *task,
              char out[WC_TASK_BYTES])
{
  char job[33];

  if (task->kind == CYC_KIND_SERVICE)
    {
      snprintf (out, WC_TASK_BYTES, "svc-%s.%s.%" PRIu32, task->queue.data,
                sc->settings.domain.data, task->index);
      return;
    }
  cyc_id128_hex (&task->job, job);
  snprintf (out, WC_TASK_BYTES, "%s.%" PRIu32, job, task->index);
}

static bool
parse_index (struct cyc_str *name, uint32_t *index)
{
  uint64_t value = 0;
  uint64_t scale = 1;
  size_t digits = 0;

  while (digits < name->len && digits < 10
         && name->data[name->len - 1 - digits] >= '0'
         && name->data[name->len - 1 - digits] <= '9')
    {
      value += (uint64_t)(name->data[name->len - 1 - digits] - '0') * scale;
      scale *= 10;
      digits++;
    }
  if (digits == 0 || digits == name->len
      || name->data[name->len - 1 - digits] != '.' || value > UINT32_MAX)
    return false;
  name->len -= digits + 1;
  *index = (uint32_t)value;
  return true;
}

bool
sc_task_parse (struct sc_scheduler *sc, struct cyc_str name,
               struct cyc_str queue, struct cyc_id128 *job, uint32_t *index,
               bool *service)
{
  char expected[WC_TASK_BYTES];
  int len;

  if (!parse_index (&name, index))
    return false;
  *service = false;
  if (name.len == 32 && cyc_id128_parse (name, job))
    return true;
  len = snprintf (expected, sizeof expected, "svc-%.*s.%s", CYC_FMT (queue),
                  sc->settings.domain.data);
  if (len < 0 || len >= (int)sizeof expected
      || !cyc_str_eq (name, cyc_str_of (expected)))
    return false;
  *service = true;
  cyc_core_service_job (queue, job);
  return true;
}

static uint32_t *
checkpoint_link (const struct sc_scheduler *sc, const struct cyc_id128 *job,
                 uint32_t index)
{
  uint32_t *link
      = &sc->checkpoint_index
             .heads[sc_hash_id (job, index) & sc->checkpoint_index.mask];

  while (*link != SC_NONE
         && (sc->checkpoints[*link].index != index
             || !cyc_id128_eq (&sc->checkpoints[*link].job, job)))
    link = &sc->checkpoints[*link].hash_next;
  return link;
}

struct cyc_str
sc_checkpoint_find (const struct sc_scheduler *sc, const struct cyc_id128 *job,
                    uint32_t index)
{
  uint32_t row = *checkpoint_link (sc, job, index);

  return row == SC_NONE ? CYC_STR ("")
                        : cyc_str_of (sc->checkpoints[row].text);
}

void
sc_checkpoint_put (struct sc_scheduler *sc, const struct cyc_id128 *job,
                   uint32_t index, struct cyc_str text)
{
  uint32_t *link = checkpoint_link (sc, job, index);
  struct sc_checkpoint *entry;

  if (text.len == 0 || text.len >= SC_CHECKPOINT_BYTES)
    return;
  if (*link == SC_NONE)
    {
      struct cyc_ref ref = cyc_pool_take (&sc->checkpoint_pool);

      if (ref.generation == 0)
        return;
      entry = &sc->checkpoints[ref.index];
      memset (entry, 0, sizeof *entry);
      entry->job = *job;
      entry->index = index;
      entry->hash_next = SC_NONE;
      *link = ref.index;
    }
  entry = &sc->checkpoints[*link];
  snprintf (entry->text, sizeof entry->text, "%.*s", CYC_FMT (text));
}

void
sc_checkpoint_drop (struct sc_scheduler *sc, const struct cyc_id128 *job,
                    uint32_t index)
{
  uint32_t *link = checkpoint_link (sc, job, index);
  uint32_t row = *link;

  if (row == SC_NONE)
    return;
  *link = sc->checkpoints[row].hash_next;
  cyc_pool_release (&sc->checkpoint_pool,
                    cyc_pool_ref_at (&sc->checkpoint_pool, row));
}

void
sc_task_report_end (struct sc_scheduler *sc, uint32_t t,
                    enum cyc_task_event event)
{
  struct sc_task *task = &sc->tasks[t];
  bool listed
      = task->listed_heartbeat == sc->workers[task->worker].heartbeat_number;
  bool refused = event == CYC_TASK_EVENT_REFUSED;

  cyc_core_task_report (&sc->core, &task->job, task->index, event, sc->now_us);
  met_add (&sc->met, refused ? MET_TASK_START_REFUSED : MET_TASK_ENDS, 1);
  if (event == CYC_TASK_EVENT_DONE)
    {
      sc_checkpoint_drop (sc, &task->job, task->index);
      sc_job_task_done (sc, &task->job, task->index);
    }
  if (refused || !listed)
    {
      sc_task_drop (sc, t);
      return;
    }
  ev_log (EV_TASK_ENDED, "worker=%s queue=%s event=%d",
          sc->workers[task->worker].name.data, task->queue.data, (int)event);
  if (task->kind == CYC_KIND_SERVICE)
    sc_targets_changed (sc, cyc_name_str (&task->queue));
  task->state = SC_TASK_ENDED;
  task->done = event == CYC_TASK_EVENT_DONE;
}

static uint32_t
find_started_task (const struct sc_start *call)
{
  uint32_t t = sc_task_find (call->sc, &call->job, call->index);

  if (t == SC_NONE || !cyc_id128_eq (&call->sc->tasks[t].lease, &call->lease))
    return SC_NONE;
  return t;
}

static void
process_start_result (struct sc_scheduler *sc, uint32_t t,
                      const struct wc_result *result)
{
  struct sc_task *task = &sc->tasks[t];

  task->start_answered_us = sc->now_us;
  switch (result->outcome)
    {
    case WC_OK:
      task->state = SC_TASK_RUNNING;
      ev_log (EV_TASK_STARTED, "worker=%s queue=%s index=%" PRIu32,
              sc->workers[task->worker].name.data, task->queue.data,
              task->index);
      met_add (&sc->met, MET_TASK_STARTS, 1);
      met_observe (&sc->met, MET_TASK_WAIT_US, sc->now_us - task->decided_us);
      cyc_core_task_report (&sc->core, &task->job, task->index,
                            CYC_TASK_EVENT_STARTED, sc->now_us);
      if (task->kind == CYC_KIND_SERVICE)
        sc_targets_changed (sc, cyc_name_str (&task->queue));
      if (task->command_wanted)
        sc_task_command (sc, t, task->command);
      break;
    case WC_UNKNOWN:
      task->state = SC_TASK_START_UNKNOWN;
      sc->workers[task->worker].heartbeat_due_us = sc->now_us;
      cyc_core_task_report (&sc->core, &task->job, task->index,
                            CYC_TASK_EVENT_OUTCOME_UNKNOWN, sc->now_us);
      break;
    case WC_REFUSED:
    case WC_FAILED:
      ev_log (EV_TASK_REFUSED, "worker=%s queue=%s refusal=%d",
              sc->workers[task->worker].name.data, task->queue.data,
              (int)result->refusal);
      sc_task_report_end (sc, t, CYC_TASK_EVENT_REFUSED);
      break;
    }
}

static void
on_start_result (void *user, const struct wc_result *result)
{
  struct sc_start *call = user;
  struct sc_scheduler *sc = call->sc;
  uint32_t t;

  sc->now_us = hc_now_us ();
  sc->starts_open--;
  met_observe (&sc->met, MET_START_CALL_US, sc->now_us - call->sent_us);
  t = find_started_task (call);
  /* An answer to a heartbeat may have settled the start already. */
  if (t != SC_NONE && sc->tasks[t].state == SC_TASK_STARTING)
    process_start_result (sc, t, result);
  if (result->outcome == WC_REFUSED
      && result->refusal == WC_REFUSAL_STALE_EPOCH && sc->epoch != 0)
    cyc_clm_stale_epoch (&sc->claim, sc->epoch + 1);
  cyc_pool_release (&sc->start_pool, call->ref);
}

static void
send_start (struct sc_scheduler *sc, uint32_t t)
{
  struct sc_task *task = &sc->tasks[t];
  struct sc_worker *host = &sc->workers[task->worker];
  const struct cyc_mem_row *row = cyc_mem_at (&sc->members, host->member);
  const struct sc_queue *queue
      = sc_queue_find (sc, cyc_name_str (&task->queue));
  struct cyc_ref ref = cyc_pool_take (&sc->start_pool);
  struct sc_start *call;
  char name[WC_TASK_BYTES];
  struct wc_start start = { 0 };

  if (ref.generation == 0)
    {
      sc_task_report_end (sc, t, CYC_TASK_EVENT_REFUSED);
      return;
    }
  call = &sc->starts[ref.index];
  *call = (struct sc_start){ sc,          ref,         task->job,
                             task->lease, task->index, sc->now_us };
  sc_task_name (sc, task, name);
  task->start_not_after_us = sc->now_us + START_VALID_MS * SC_US_PER_MS;
  if (task->start_not_after_us > task->lease_not_after_us)
    task->start_not_after_us = task->lease_not_after_us;
  /* Until a renewal the worker holds the lease of the start call. If the
     longer lease of the decision stayed here, the renewal would be sent only
     after the worker's lease had ended. */
  task->lease_not_after_us = task->start_not_after_us;
  start.address = cyc_str_of (row->vm.address);
  start.task = cyc_str_of (name);
  start.lease = task->lease;
  start.epoch = sc->epoch;
  start.not_after_us = task->start_not_after_us;
  start.kind = task->kind;
  start.queue = cyc_name_str (&task->queue);
  start.size = task->size;
  start.run_ms = queue != NULL ? queue->run_ms : 0;
  start.checkpoint = sc_checkpoint_find (sc, &task->job, task->index);
  start.deadline_us
      = sc->now_us + (uint64_t)sc->settings.worker_timeout_ms * SC_US_PER_MS;
  start.done = on_start_result;
  start.user = call;
  task->state = SC_TASK_STARTING;
  if (wc_start (sc->worker_client, &start))
    {
      sc->starts_open++;
      return;
    }
  cyc_pool_release (&sc->start_pool, ref);
  sc_task_report_end (sc, t, CYC_TASK_EVENT_REFUSED);
}

static void
report_refused (struct sc_scheduler *sc, const struct cyc_decision *decision,
                const char *reason)
{
  ev_log (EV_TASK_REFUSED, "worker=%s queue=%s reason=\"%s\"",
          decision->worker_name.data, decision->queue.data, reason);
  met_add (&sc->met, MET_TASK_START_REFUSED, 1);
  cyc_core_task_report (&sc->core, &decision->job, decision->task_index,
                        CYC_TASK_EVENT_REFUSED, sc->now_us);
}

/* Removes the row of an earlier run of the task. Returns false if the new
   start must not be executed now: the earlier run may still be alive, or the
   same worker has yet to get the acknowledgement of its end. */
static bool
drop_earlier_run (struct sc_scheduler *sc, const struct cyc_decision *decision,
                  uint32_t worker)
{
  uint32_t t = sc_task_find (sc, &decision->job, decision->task_index);
  struct sc_task *task;
  uint32_t earlier_worker;

  if (t == SC_NONE)
    return true;
  task = &sc->tasks[t];
  earlier_worker = task->worker;
  if (task->state == SC_TASK_ENDED)
    {
      char name[WC_TASK_BYTES];

      sc_task_name (sc, task, name);
      sc_heartbeat_queue_ack (sc, earlier_worker, cyc_str_of (name));
      sc_task_drop (sc, t);
      /* The worker refuses a start of the same name until it gets the
         acknowledgement. */
      sc->workers[earlier_worker].heartbeat_due_us = sc->now_us;
      return earlier_worker != worker;
    }
  if (sc->now_us <= task->lease_not_after_us
                        + (uint64_t)sc->settings.clock_error_ms * SC_US_PER_MS)
    return false;
  sc_task_drop (sc, t);
  return true;
}

/* Returns true if tasks of the job may start: the job is repeatable, or the
   record of its attempt was read back. Otherwise queues that record. */
static bool
ensure_attempt_logged (struct sc_scheduler *sc, const struct cyc_id128 *id)
{
  struct sc_job *job = sc_job_find (sc, id);

  if (job == NULL || job->repeatable || job->attempt_logged)
    return true;
  if (job->attempt == 0)
    {
      job->attempt = 1;
      sc_job_queue_records (sc, job, SC_RECORD_PROGRESS);
    }
  return false;
}

static void
execute_start (struct sc_scheduler *sc, const struct cyc_decision *decision)
{
  struct cyc_ref member
      = cyc_mem_find (&sc->members, cyc_name_str (&decision->worker_name));
  struct sc_task *task;
  uint32_t t;

  if (member.generation == 0 || !sc->starts_allowed
      || sc->workers[member.index].fenced_epoch != sc->epoch)
    {
      report_refused (sc, decision, "the worker is not fenced");
      return;
    }
  if (!drop_earlier_run (sc, decision, member.index))
    {
      report_refused (sc, decision, "an earlier run may be alive");
      return;
    }
  t = sc_task_add (sc, &decision->job, decision->task_index, member.index);
  if (t == SC_NONE)
    {
      report_refused (sc, decision, "the task table is full");
      return;
    }
  task = &sc->tasks[t];
  cyc_id128_random (&task->lease);
  task->queue = decision->queue;
  task->kind = decision->queue_kind;
  task->size = decision->size;
  task->lease_not_after_us = decision->lease_deadline_us;
  task->decided_us = sc->now_us;
  if (ensure_attempt_logged (sc, &decision->job))
    {
      send_start (sc, t);
      return;
    }
  task->state = SC_TASK_AWAITING_ATTEMPT;
  sc->awaiting_attempt_count++;
}

void
sc_tasks_start_recorded (struct sc_scheduler *sc)
{
  for (uint32_t t = 0;
       sc->awaiting_attempt_count > 0 && t < sc->task_pool.high; t++)
    {
      struct sc_task *task = &sc->tasks[t];

      if (!cyc_pool_used_at (&sc->task_pool, t)
          || task->state != SC_TASK_AWAITING_ATTEMPT)
        continue;
      if (!sc->starts_allowed
          || sc->now_us + START_VALID_MS * SC_US_PER_MS
                 > task->lease_not_after_us)
        {
          sc_task_report_end (sc, t, CYC_TASK_EVENT_REFUSED);
          continue;
        }
      if (!ensure_attempt_logged (sc, &task->job))
        continue;
      sc->awaiting_attempt_count--;
      send_start (sc, t);
    }
}

static void
on_command_result (void *user, const struct wc_result *result)
{
  struct sc_scheduler *sc = user;

  if (result->outcome == WC_REFUSED
      && result->refusal == WC_REFUSAL_STALE_EPOCH && sc->epoch != 0)
    cyc_clm_stale_epoch (&sc->claim, sc->epoch + 1);
}

void
sc_task_command (struct sc_scheduler *sc, uint32_t t, enum wc_verb verb)
{
  struct sc_task *task = &sc->tasks[t];
  struct sc_worker *host = &sc->workers[task->worker];
  const struct cyc_mem_row *row = cyc_mem_at (&sc->members, host->member);
  char name[WC_TASK_BYTES];

  task->command = verb;
  task->command_wanted = verb == WC_STOP || verb == WC_CHECKPOINT;
  if (task->state == SC_TASK_AWAITING_ATTEMPT)
    {
      sc_task_report_end (sc, t, CYC_TASK_EVENT_REFUSED);
      return;
    }
  if (task->state == SC_TASK_STARTING || task->state == SC_TASK_ENDED
      || row == NULL)
    return;
  task->command_sent_us = sc->now_us;
  sc_task_name (sc, task, name);
  wc_command (sc->worker_client,
              &(struct wc_command){
                  .address = cyc_str_of (row->vm.address),
                  .task = cyc_str_of (name),
                  .verb = verb,
                  .epoch = sc->epoch,
                  .deadline_us
                  = sc->now_us
                    + (uint64_t)sc->settings.worker_timeout_ms * SC_US_PER_MS,
                  .done = on_command_result,
                  .user = sc,
              });
}

static void
execute_command (struct sc_scheduler *sc, const struct cyc_decision *decision)
{
  uint32_t t = sc_task_find (sc, &decision->job, decision->task_index);
  enum wc_verb verb = WC_STOP;

  if (t == SC_NONE)
    {
      cyc_core_task_report (&sc->core, &decision->job, decision->task_index,
                            CYC_TASK_EVENT_STOPPED, sc->now_us);
      return;
    }
  if (decision->kind == CYC_DECISION_CHECKPOINT)
    verb = WC_CHECKPOINT;
  else if (decision->kind == CYC_DECISION_THROTTLE)
    verb = WC_THROTTLE;
  else if (decision->kind == CYC_DECISION_UNTHROTTLE)
    verb = WC_UNTHROTTLE;
  if (verb == WC_CHECKPOINT)
    met_add (&sc->met, MET_PREEMPTED, 1);
  sc_task_command (sc, t, verb);
}

static enum cyc_job_state
ended_state (const struct cyc_decision *decision)
{
  if (decision->job_outcome_unknown)
    return CYC_JOB_UNKNOWN;
  return decision->job_failed ? CYC_JOB_FAILED : CYC_JOB_DONE;
}

static void
execute_decision (struct sc_scheduler *sc, const struct cyc_decision *decision)
{
  switch (decision->kind)
    {
    case CYC_DECISION_START:
      execute_start (sc, decision);
      break;
    case CYC_DECISION_STOP:
    case CYC_DECISION_CHECKPOINT:
    case CYC_DECISION_THROTTLE:
    case CYC_DECISION_UNTHROTTLE:
      execute_command (sc, decision);
      break;
    case CYC_DECISION_REFUSE:
      met_add (&sc->met, MET_JOBS_REFUSED, 1);
      sc_job_end (sc, &decision->job, CYC_JOB_FAILED, decision->reason);
      break;
    case CYC_DECISION_JOB_ENDED:
      sc_job_end (sc, &decision->job, ended_state (decision),
                  decision->reason);
      break;
    }
}

/* Until all workers are polled the core must not run: it would start
   replacements for replicas that already run. Afterwards it runs even while
   starts are not allowed, so that cancellations, lost leases and ended jobs
   are processed. */
void
sc_tasks_run (struct sc_scheduler *sc)
{
  uint64_t tick_start_us = hc_now_us ();
  uint32_t free_start_calls = sc->starts_open < MAX_OPEN_STARTS
                                  ? MAX_OPEN_STARTS - sc->starts_open
                                  : 0;
  uint32_t count;

  if (sc->epoch == 0 || !sc->workers_polled)
    return;
  sc_tasks_start_recorded (sc);
  count = cyc_core_tick (&sc->core, sc->now_us, sc->decisions,
                         free_start_calls < MIN_DECISIONS ? MIN_DECISIONS
                                                          : free_start_calls);
  met_observe (&sc->met, MET_DECISION_US, hc_now_us () - tick_start_us);
  for (uint32_t i = 0; i < count; i++)
    execute_decision (sc, &sc->decisions[i]);
}
