/* Holds, which extend the leases of workers and report their runs, and
   orders to start and stop tasks. */

#include "entry_owner_internal.h"

#include <string.h>

/** How long a hold of a worker with runs waits for a run to end. */
#define HOLD_WAIT_MS 1000
/** Timeout of a hold beyond its wait. */
#define HOLD_ANSWER_TIMEOUT_MS 800
/** Delay after a hold that reported ends, so that the next one reports
 * several. */
#define HOLD_GAP_US 30000
/** Workers list an end again until it is acknowledged. The next hold therefore
 * waits until the record of the end is durable, but no longer than this. */
#define HOLD_ACK_WAIT_MAX_US 150000
/** Interval between holds of a worker without runs. */
#define HOLD_IDLE_US 2500000
/** The same while a start may be executed late: a process that takes the
 * worker's place is to get a higher fencing token first. */
#define HOLD_LATE_START_US 400000
/** Delay after a hold without an answer. */
#define HOLD_RETRY_US 400000
/** Consecutive unanswered holds after which a worker counts as silent. */
#define HOLD_FAILURES_SILENT 2
/** The outcome of a start without an answer is unknown after this time. */
#define START_TIMEOUT_MS 1200
#define STOP_TIMEOUT_MS 800
/** Interval between log lines with the counts of runs. */
#define COUNTS_LOG_PERIOD_US 10000000
/** The last wrong conclusion is repeated in these lines for this long: a
 * record may keep only the end of a log. */
#define WRONG_REPEATED_US 300000000

/* Holds. */

/* Returns how long ago a time was, or -1 if it is unknown. */
static int64_t
age_ms (uint64_t now_us, uint64_t at_us)
{
  return at_us != 0 ? (int64_t)(now_us - at_us) / 1000 : -1;
}

static struct owner_worker *
worker_slot (struct entry_owner *owner, uint32_t row)
{
  if (row >= owner->workers->len)
    g_array_set_size (owner->workers, row + 1);
  return &g_array_index (owner->workers, struct owner_worker, row);
}

/* Sets when the next hold of the worker is due. */
static void
hold_at (struct entry_owner *owner, uint32_t row, uint64_t at_us)
{
  worker_slot (owner, row)->next_hold_us = at_us;
  due_set (&owner->holds, row, at_us);
}

/* Returns whether the worker has another incarnation than at the last call. */
static bool
is_reborn (const struct owner_worker *slot,
           const struct cell_worker_view *view)
{
  return slot->born_ms != 0 && slot->born_ms != view->born_ms;
}

/* Returns whether the worker is to be called at once, so that it refuses calls
   to its earlier incarnation: it is a new one, or a higher token than that of
   its newest call has become available. */
static bool
needs_token (const struct entry_owner *owner, const struct owner_worker *slot,
             const struct cell_worker_view *view)
{
  return is_reborn (slot, view)
         || (slot->fence_outdated && lead_fence (owner->entry) > slot->fence);
}

/* Looks at a worker again that needs a higher token than there is: a renewal,
   which brings one, does not change the view of the worker. */
static void
look_for_token (struct entry_owner *owner, uint32_t row, uint64_t now_us)
{
  if (worker_slot (owner, row)->fence_outdated)
    due_lower (&owner->holds, row, now_us + HOLD_RETRY_US);
}

/* Returns the target of a call to a worker. A call without an answer may be
   executed seconds later, by a process that has taken the worker's place and
   knows of no stop and no lease. Calls to a new incarnation therefore carry a
   higher fencing token, and once it has got one of them it refuses all calls
   that were made before. Others keep their token, as a start in flight would
   be refused. */
static struct pt_target
call_target (struct entry_owner *owner, uint32_t row,
             const struct cell_worker_view *view)
{
  struct owner_worker *slot = worker_slot (owner, row);
  uint64_t fence = lead_fence (owner->entry);

  if (slot->fence == 0)
    slot->fence = owner->epoch;
  if (is_reborn (slot, view))
    slot->fence_outdated = true;
  slot->born_ms = view->born_ms;
  if (slot->fence_outdated && fence > slot->fence)
    {
      slot->fence = fence;
      slot->fence_outdated = false;
    }
  return (struct pt_target){ view->full_id, view->address, slot->fence };
}

/* Returns the incarnation that refuses stale calls once it has answered a call
   whose target was made last; 0 if the token of that call is not high
   enough. */
static uint64_t
fences_born_ms (const struct owner_worker *slot)
{
  return slot->fence_outdated ? 0 : slot->born_ms;
}

static void
log_ends (const struct entry_owner *owner, uint32_t row,
          const struct cell_report *report)
{
  struct cell_worker_view view;

  cell_worker_view (owner->core, row, &view);
  for (uint32_t i = 0; i < report->end_count; i++)
    if (report->ends[i].number > view.received_end)
      lines_end (&report->ends[i], view.id, report->born_ms, owner->epoch);
}

/* Passes on how a call without an answer ended. */
static void
call_unanswered (struct entry_owner *owner, uint32_t row,
                 const struct pt_call_end *end, uint64_t now_us)
{
  if (end->broken_us != 0)
    cell_worker_broken (owner->core, row, end->broken_us, now_us);
  cell_worker_unanswered (owner->core, row, end->end, end->sent_us, now_us);
  if (end->end == CELL_CALL_OTHER_INCARNATION)
    cell_worker_replaced (owner->core, row, end->sent_us, now_us);
  owner_log_left (owner, row, now_us);
}

static const char *const call_ends[]
    = { "silent", "broken", "refused", "other-incarnation" };

static void
log_silent (struct entry_owner *owner, uint32_t row,
            const struct pt_call_end *end, uint64_t now_us)
{
  const struct pt_call_end *before = &worker_slot (owner, row)->unanswered;
  struct cell_worker_view view;

  cell_worker_view (owner->core, row, &view);
  lines_silent (&view, before, end, now_us);
}

static void
on_held (void *user, uint32_t row, const struct pt_call_end *unanswered,
         struct cell_report *report)
{
  struct entry_owner *owner = user;
  struct owner_worker *slot;
  uint64_t now_us = hc_now_us ();

  if (!owner_call_ended (owner))
    return;
  slot = worker_slot (owner, row);
  slot->hold_in_flight = false;
  if (unanswered == NULL)
    {
      struct cell_worker_view view;

      if (slot->failures >= HOLD_FAILURES_SILENT)
        {
          cell_worker_view (owner->core, row, &view);
          ev_log (EV_WORKER_BACK, "worker=%.*s failures=%u", CYC_FMT (view.id),
                  slot->failures);
        }
      slot->failures = 0;
      if (!slot->hold_waits)
        lag_answered (&owner->lag, now_us - report->sent_us, now_us);
      log_ends (owner, row, report);
      report->fenced_born_ms = slot->hold_fences_born_ms;
      cell_worker_report (owner->core, row, report, now_us);
      cell_worker_view (owner->core, row, &view);
      hold_at (owner, row,
               now_us
                   + (view.runs > 0
                          ? lag_report_gap_us (&owner->lag, HOLD_GAP_US)
                      : now_us < slot->late_end_us ? HOLD_LATE_START_US
                                                   : HOLD_IDLE_US));
      slot->ack_deadline_us = now_us + HOLD_ACK_WAIT_MAX_US;
      owner_input_added (owner);
      return;
    }
  call_unanswered (owner, row, unanswered, now_us);
  slot->failures++;
  hold_at (owner, row,
           now_us
               + (slot->failures < HOLD_FAILURES_SILENT ? 0 : HOLD_RETRY_US));
  if (slot->failures == HOLD_FAILURES_SILENT)
    {
      cell_worker_silent (owner->core, row, now_us);
      log_silent (owner, row, unanswered, now_us);
    }
  slot->unanswered = *unanswered;
  owner_input_added (owner);
}

/* Returns the end of a lease that begins now, on the worker's clock.
   Returns 0 if the worker's clock is unknown or the leadership is not
   confirmed: a successor may be waiting for leases to lapse. */
static uint64_t
lease_deadline_ms (const struct entry_owner *owner,
                   const struct cell_worker_view *view, uint64_t now_us)
{
  if (view->clock_ms == 0 || !lead_confirmed (owner->entry, now_us))
    return 0;
  return view->clock_ms + (now_us - view->clock_at_us) / 1000
         + owner->entry->desc.settings->lease_ms;
}

static void
on_report (void *user, uint32_t row, const struct pt_call_end *unanswered,
           struct cell_report *report)
{
  struct entry_owner *owner = user;
  uint64_t now_us = hc_now_us ();

  if (!owner_call_ended (owner))
    return;
  worker_slot (owner, row)->report_in_flight = false;
  if (unanswered != NULL)
    {
      call_unanswered (owner, row, unanswered, now_us);
      return;
    }
  lag_answered (&owner->lag, now_us - report->sent_us, now_us);
  log_ends (owner, row, report);
  report->fenced_born_ms = worker_slot (owner, row)->report_fences_born_ms;
  cell_worker_report (owner->core, row, report, now_us);
  owner_input_added (owner);
}

/* Asks a worker for a report at once, in addition to a hold that waits, if
   the report settles whether a start was executed, or if a new incarnation is
   to get a higher fencing token. */
static void
request_report (struct entry_owner *owner, uint32_t row,
                const struct cell_worker_view *view, uint64_t now_us)
{
  struct owner_worker *slot = worker_slot (owner, row);

  bool wanted = view->report_after_us != 0
                && view->report_after_us >= slot->hold_sent_us;

  if (slot->report_in_flight || (!wanted && !needs_token (owner, slot, view)))
    return;
  slot->report_in_flight = owner->entry->desc.ports->workers->vtable->hold (
      owner->entry->desc.ports->workers,
      &(struct pt_hold){
          .target = call_target (owner, row, view),
          .ack = view->ack,
          .deadline_us = now_us + HOLD_ANSWER_TIMEOUT_MS * 1000ULL,
          .done = on_report,
          .user = owner,
          .row = row,
      });
  if (!slot->report_in_flight)
    {
      due_set (&owner->holds, row, now_us + HOLD_RETRY_US);
      return;
    }
  slot->hold_sent_us = now_us;
  slot->report_fences_born_ms = fences_born_ms (slot);
  owner->calls_in_flight++;
}

/* Sends the next hold of the worker if it is due, or a request for a report if
   one is wanted at once. Looks again at next_hold_us, or when the view of the
   worker has changed. */
static void
hold_if_due (struct entry_owner *owner, uint32_t row, uint64_t now_us)
{
  struct owner_worker *slot = worker_slot (owner, row);
  struct cell_worker_view view;
  uint64_t lease_end_ms;
  uint32_t wait_ms;

  cell_worker_view (owner->core, row, &view);
  if (slot->hold_in_flight)
    {
      request_report (owner, row, &view, now_us);
      look_for_token (owner, row, now_us);
      return;
    }
  if (view.address.len == 0 || (!view.listed && view.runs == 0))
    return;
  if (view.ack > slot->ack_sent && slot->next_hold_us > now_us + HOLD_RETRY_US)
    hold_at (owner, row, now_us + HOLD_RETRY_US);
  if ((view.report_after_us != 0 && view.report_after_us >= slot->hold_sent_us)
      || needs_token (owner, slot, &view))
    slot->next_hold_us = now_us;
  if (now_us < slot->next_hold_us)
    {
      due_set (&owner->holds, row, slot->next_hold_us);
      look_for_token (owner, row, now_us);
      return;
    }
  if (view.report_after_us == 0 && view.ends_pending
      && now_us < slot->ack_deadline_us)
    {
      due_set (&owner->holds, row, slot->ack_deadline_us);
      return;
    }
  /* A worker that did not answer gets no new lease, so the time by which
     its runs end stays known. */
  lease_end_ms = view.runs > 0 && slot->failures == 0
                     ? lease_deadline_ms (owner, &view, now_us)
                     : 0;
  wait_ms
      = view.runs > 0 && view.fenced && slot->failures == 0 ? HOLD_WAIT_MS : 0;
  if (lease_end_ms != 0)
    cell_worker_leased (owner->core, row, lease_end_ms);
  slot->ack_sent = view.ack;
  slot->hold_waits = wait_ms > 0;
  slot->hold_in_flight = owner->entry->desc.ports->workers->vtable->hold (
      owner->entry->desc.ports->workers,
      &(struct pt_hold){
          .target = call_target (owner, row, &view),
          .lease_deadline_ms = lease_end_ms,
          .ack = view.ack,
          .wait_ms = wait_ms,
          .deadline_us
          = now_us + (uint64_t)(wait_ms + HOLD_ANSWER_TIMEOUT_MS) * 1000,
          .done = on_held,
          .user = owner,
          .row = row,
      });
  slot->hold_sent_us = now_us;
  slot->hold_fences_born_ms = fences_born_ms (slot);
  if (slot->hold_in_flight)
    owner->calls_in_flight++;
  else
    hold_at (owner, row, now_us + HOLD_RETRY_US);
}

void
orders_hold_due (struct entry_owner *owner, uint64_t now_us)
{
  uint32_t row;

  while (cell_worker_changed (owner->core, &row)
         || due_take (&owner->holds, now_us, &row))
    hold_if_due (owner, row, now_us);
}

/* Orders. */

void
orders_log_conclusions (struct entry_owner *owner, uint64_t now_us)
{
  struct cell_conclusion conclusion;
  struct cell_worker_view view;
  struct cell_worker_view next = { 0 };

  while (cell_conclusion_next (owner->core, &conclusion))
    {
      cell_worker_view (owner->core, conclusion.worker, &view);
      if (conclusion.next_run != 0)
        cell_worker_view (owner->core, conclusion.next_worker, &next);
      if (conclusion.contradicted)
        {
          met_add (&owner->entry->met, MET_RUN_OVER_WRONG, 1);
          owner->counts.wrong++;
          owner->last_wrong = conclusion;
          owner->repeat_wrong_until_us = now_us + WRONG_REPEATED_US;
        }
      else
        owner->counts.over[conclusion.over]++;
      lines_over (&conclusion, &view, next.id, owner->epoch, now_us);
    }
}

void
orders_log_over_ends (struct entry_owner *owner, uint64_t now_us)
{
  struct cell_over_end end;

  while (cell_over_end_next (owner->core, &end))
    {
      struct cell_worker_view view;
      struct cell_worker_view next = { 0 };

      cell_worker_view (owner->core, end.conclusion.worker, &view);
      if (end.conclusion.next_run != 0)
        cell_worker_view (owner->core, end.conclusion.next_worker, &next);
      lines_over_end (&end, view.id, next.id, owner->epoch, now_us);
    }
}

void
orders_log_twice (struct entry_owner *owner, uint64_t now_us)
{
  struct cell_twice twice;

  while (cell_twice_next (owner->core, &twice))
    {
      struct cell_worker_view views[2];

      cell_worker_view (owner->core, twice.runs[0].worker, &views[0]);
      cell_worker_view (owner->core, twice.runs[1].worker, &views[1]);
      met_add (&owner->entry->met, MET_TASK_RUNS_TWICE, 1);
      owner->counts.twice++;
      lines_twice (&twice, (struct cyc_str[]){ views[0].id, views[1].id },
                   owner->epoch, now_us, hc_wall_ms ());
    }
}

void
orders_log_counts (struct entry_owner *owner, uint64_t now_us)
{
  bool repeat = now_us < owner->repeat_wrong_until_us;
  struct cell_worker_view view = { 0 };

  if (now_us < owner->next_counts_log_us)
    return;
  owner->next_counts_log_us = now_us + COUNTS_LOG_PERIOD_US;
  owner->counts.restarts = cell_restarts_seen (owner->core);
  if (!repeat
      && memcmp (&owner->counts, &owner->counts_logged, sizeof owner->counts)
             == 0)
    return;
  owner->counts_logged = owner->counts;
  if (repeat)
    cell_worker_view (owner->core, owner->last_wrong.worker, &view);
  lines_counts (&owner->counts, repeat ? &owner->last_wrong : NULL, view.id,
                owner->epoch);
}

static void
log_attempt (struct entry_owner *owner, const struct cell_attempt *attempt)
{
  static const char *const kinds[]
      = { "counted", "ended", "lasting", "repeated", "unknown" };
  bool counted = attempt->kind == CELL_ATTEMPT_COUNTED;
  struct cell_worker_view view;

  met_add (&owner->entry->met,
           counted ? MET_ATTEMPTS_COUNTED : MET_ATTEMPTS_IGNORED, 1);
  cell_worker_view (owner->core, attempt->worker, &view);
  ev_log (counted ? EV_ATTEMPT_COUNTED : EV_ATTEMPT_IGNORED,
          "task=%s run=%u worker=%.*s epoch=%" PRIu64 " number=%" PRIu64
          " why=%s attempts=%u max_attempts=%u queue_known=%d run_known=%d",
          attempt->task, attempt->run, CYC_FMT (view.id), owner->epoch,
          attempt->end, kinds[attempt->kind], attempt->failures,
          attempt->max_attempts, attempt->queue_known, attempt->run_known);
}

void
orders_log_attempts (struct entry_owner *owner)
{
  static const char *const causes[]
      = { "attempts", "crashes", "unrecordable" };
  struct cell_attempt attempt;
  struct cell_failure failure;

  while (cell_attempt_next (owner->core, &attempt))
    log_attempt (owner, &attempt);
  while (cell_failure_next (owner->core, &failure))
    {
      met_add (&owner->entry->met, MET_JOBS_FAILED, 1);
      ev_log (EV_JOB_FAILED,
              "job=%016" PRIx64 " because=%s task=%s epoch=%" PRIu64
              " attempts=%u max_attempts=%u",
              failure.job, causes[failure.cause], failure.task, owner->epoch,
              failure.failures, failure.max_attempts);
    }
}

static void
log_hold (struct entry_owner *owner, const struct cell_blame *blame,
          uint64_t now_us)
{
  struct cell_worker_view view;

  cell_worker_view (owner->core, blame->worker, &view);
  ev_log (
      blame->kind == CELL_BLAME_HOLD ? EV_TRIAL_HELD : EV_TRIAL_HOLD_FAILED,
      "task=%s run=%u worker=%.*s epoch=%" PRIu64
      " workers=%u beside=%u unproven=%u crashes=%u suspected_age_ms=%" PRId64
      " held_age_ms=%" PRId64 " trials_waiting=%u",
      blame->task, blame->run, CYC_FMT (view.id), owner->epoch, blame->held,
      blame->beside, blame->unproven, blame->crashes,
      age_ms (now_us, blame->counted_us), age_ms (now_us, blame->since_us),
      blame->trials_waiting);
}

void
orders_log_blames (struct entry_owner *owner, uint64_t now_us)
{
  static const enum ev_code events[] = {
    [CELL_BLAME_BROKEN] = EV_WORKER_BROKEN,
    [CELL_BLAME_CRASHED] = EV_WORKER_CRASHED,
    [CELL_BLAME_ALIVE] = EV_WORKER_ALIVE,
    [CELL_BLAME_SUSPECTED] = EV_TASK_SUSPECTED,
    [CELL_BLAME_CLEARED] = EV_TASK_CLEARED,
    [CELL_BLAME_GIVEN_UP] = EV_TASK_GIVEN_UP,
  };
  struct met_set *met = &owner->entry->met;
  struct cell_blame blame;
  struct cell_worker_view view;

  while (cell_blame_next (owner->core, &blame))
    {
      if (blame.kind == CELL_BLAME_HOLD
          || blame.kind == CELL_BLAME_HOLD_FAILED)
        {
          log_hold (owner, &blame, now_us);
          continue;
        }
      met_add (met, MET_WORKERS_CRASHED, blame.kind == CELL_BLAME_CRASHED);
      met_add (met, MET_TASKS_SUSPECTED, blame.kind == CELL_BLAME_SUSPECTED);
      met_add (met, MET_TASKS_CLEARED, blame.kind == CELL_BLAME_CLEARED);
      met_add (met, MET_TASKS_GIVEN_UP, blame.kind == CELL_BLAME_GIVEN_UP);
      cell_worker_view (owner->core, blame.worker, &view);
      ev_log (events[blame.kind],
              "task=%s run=%u worker=%.*s epoch=%" PRIu64 " born_ms=%" PRIu64
              " first_end=%s broken_age_ms=%" PRId64 " started_age_ms=%" PRId64
              " suspects=%u crashes=%u sole=%d runs=%u listed=%d draining=%d"
              " entry_age_ms=%" PRId64,
              blame.task, blame.run, CYC_FMT (view.id), owner->epoch,
              blame.worker_born_ms, call_ends[blame.first_end],
              age_ms (now_us, blame.broken_us),
              age_ms (now_us, blame.started_us), blame.suspects, blame.crashes,
              blame.sole, view.runs, view.listed, view.draining,
              age_ms (now_us, view.listed_after_us));
    }
}

/* Passes on how a call that orders a run ended, if without an answer. */
static void
order_unanswered (struct entry_owner *owner, struct cyc_ref run,
                  const struct pt_call_end *unanswered)
{
  struct cell_order order;

  if (unanswered != NULL && cell_run_describe (owner->core, run, &order))
    call_unanswered (owner, order.worker, unanswered, hc_now_us ());
}

static void
log_refused (struct entry_owner *owner, struct cyc_ref run,
             enum cell_start_result result, const char *why)
{
  struct cell_order order;
  struct cell_worker_view view = { 0 };

  if (cell_run_describe (owner->core, run, &order))
    cell_worker_view (owner->core, order.worker, &view);
  order.run = run;
  lines_refused (&order, view.id, result, why, owner->epoch, hc_now_us ());
}

/* Notes that the worker may execute a start of the run later. */
static void
note_late_start (struct entry_owner *owner, struct cyc_ref run)
{
  struct cell_order order;

  if (cell_run_describe (owner->core, run, &order))
    worker_slot (owner, order.worker)->late_end_us
        = hc_now_us () + CELL_CALL_LATE_MAX_US;
}

static void
on_started (void *user, struct cyc_ref run, enum cell_start_result result,
            const struct pt_call_end *unanswered, const char *why)
{
  struct entry_owner *owner = user;
  struct cell_order order;
  uint64_t now_us = hc_now_us ();

  if (!owner_call_ended (owner))
    return;
  if (unanswered == NULL && result != CELL_START_UNKNOWN
      && cell_run_describe (owner->core, run, &order) && order.ordered_us != 0)
    lag_answered (&owner->lag, now_us - order.ordered_us, now_us);
  if (result == CELL_START_OK)
    owner->counts.answered++;
  else if (result == CELL_START_UNKNOWN)
    owner->counts.unanswered++;
  else
    owner->counts.refused++;
  if (result != CELL_START_OK)
    {
      met_add (&owner->entry->met, MET_TASK_START_REFUSED, 1);
      log_refused (owner, run, result, why);
    }
  if (result == CELL_START_UNKNOWN)
    note_late_start (owner, run);
  order_unanswered (owner, run, unanswered);
  cell_start_result (owner->core, run, result, now_us);
  owner_input_added (owner);
}

static void
on_stopped (void *user, struct cyc_ref run, bool answered,
            const struct pt_call_end *unanswered)
{
  struct entry_owner *owner = user;
  uint64_t now_us = hc_now_us ();

  if (!owner_call_ended (owner))
    return;
  order_unanswered (owner, run, unanswered);
  cell_stop_result (owner->core, run, answered ? now_us : 0, now_us);
  /* The worker refuses the start from now on, but a process that takes its
     place would not. */
  if (answered)
    owner->entry->desc.ports->workers->vtable->abandon_start (
        owner->entry->desc.ports->workers, owner, run);
  owner_input_added (owner);
}

void
orders_send (struct entry_owner *owner, const struct cell_order *order,
             uint64_t now_us)
{
  struct pt_workers *port = owner->entry->desc.ports->workers;
  struct owner_worker *slot = worker_slot (owner, order->worker);
  struct cell_worker_view view;
  struct pt_target target;
  bool begun;

  cell_worker_view (owner->core, order->worker, &view);
  target = call_target (owner, order->worker, &view);
  if (order->kind == CELL_ORDER_START)
    {
      /* Under the token of an earlier incarnation the worker would execute
         late calls to that one too, such as an acknowledgement of its ends. */
      uint64_t lease_end_ms = slot->fence_outdated
                                  ? 0
                                  : lease_deadline_ms (owner, &view, now_us);
      uint64_t until_us = lead_confirmed_until_us (owner->entry);

      begun = lease_end_ms != 0
              && port->vtable->start (
                  port, &(struct pt_start){
                            .target = target,
                            .task = cyc_str_of (order->task),
                            .number = order->number,
                            .payload = order->payload,
                            .lease_deadline_ms = lease_end_ms,
                            .checkpoint = cyc_str_of (order->checkpoint),
                            .ticket = order->ticket,
                            .deadline_us = now_us + START_TIMEOUT_MS * 1000ULL,
                            .write_until_us = until_us,
                            .done = on_started,
                            .user = owner,
                            .run = order->run,
                        });
      if (begun)
        cell_worker_leased (owner->core, order->worker, lease_end_ms);
      else
        {
          owner->counts.refused++;
          cell_start_result (owner->core, order->run, CELL_START_REFUSED_OTHER,
                             now_us);
        }
      met_add (&owner->entry->met, MET_TASK_STARTS, 1);
      lines_start (order, view.id,
                   &(struct lines_start){ .epoch = owner->epoch,
                                          .fence = target.fence,
                                          .born_ms = view.born_ms,
                                          .lease_deadline_ms = lease_end_ms });
    }
  else
    {
      begun = port->vtable->stop (
          port, &(struct pt_stop){
                    .target = target,
                    .task = cyc_str_of (order->task),
                    .number = order->number,
                    .deadline_us = now_us + STOP_TIMEOUT_MS * 1000ULL,
                    .done = on_stopped,
                    .user = owner,
                    .run = order->run,
                });
      if (!begun)
        cell_stop_result (owner->core, order->run, 0, now_us);
      lines_stop (order, view.id, view.born_ms, owner->epoch);
    }
  if (begun)
    owner->calls_in_flight++;
  if (slot->next_hold_us > now_us + HOLD_GAP_US)
    hold_at (owner, order->worker, now_us + HOLD_GAP_US);
}
