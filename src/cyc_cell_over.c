/* Runs that are over although their worker has listed no end of them: the only
   place that decides it. */

#include "cyc_cell_internal.h"

#include <stdio.h>
#include <string.h>

/** A conclusion is remembered for this long, to notice a report that
 * contradicts it. */
#define CONCLUSION_KEPT_US 60000000

static guint
conclusion_hash (gconstpointer key)
{
  const struct cell_conclusion *conclusion = key;

  return g_str_hash (conclusion->task) ^ (conclusion->run * 31)
         ^ (conclusion->worker << 16);
}

static gboolean
conclusion_equal (gconstpointer a, gconstpointer b)
{
  const struct cell_conclusion *left = a;
  const struct cell_conclusion *right = b;

  return left->run == right->run && left->worker == right->worker
         && strcmp (left->task, right->task) == 0;
}

void
cell_over_setup (struct cell_core *core)
{
  g_queue_init (&core->conclusions);
  g_queue_init (&core->over_ends);
  g_queue_init (&core->concluded_by_age);
  core->concluded = g_hash_table_new (conclusion_hash, conclusion_equal);
}

void
cell_over_shutdown (struct cell_core *core)
{
  g_hash_table_destroy (core->concluded);
  g_queue_clear_full (&core->concluded_by_age, g_free);
  g_queue_clear_full (&core->conclusions, g_free);
  g_queue_clear_full (&core->over_ends, g_free);
}

static void
forget (struct cell_core *core, struct cell_conclusion *conclusion)
{
  g_hash_table_remove (core->concluded, conclusion);
  g_queue_remove (&core->concluded_by_age, conclusion);
  g_free (conclusion);
}

static void
forget_old (struct cell_core *core)
{
  struct cell_conclusion *oldest;

  while ((oldest = g_queue_peek_head (&core->concluded_by_age)) != NULL
         && oldest->concluded_us + CONCLUSION_KEPT_US < core->now_us)
    forget (core, oldest);
}

static void
hand_out (struct cell_core *core, const struct cell_conclusion *conclusion)
{
  g_queue_push_tail (&core->conclusions,
                     g_memdup2 (conclusion, sizeof *conclusion));
}

static void
remember (struct cell_core *core, const struct cell_conclusion *conclusion)
{
  struct cell_conclusion *old
      = g_hash_table_lookup (core->concluded, conclusion);
  struct cell_conclusion *kept = g_memdup2 (conclusion, sizeof *conclusion);

  if (old != NULL)
    forget (core, old);
  g_hash_table_add (core->concluded, kept);
  g_queue_push_tail (&core->concluded_by_age, kept);
}

/* Ends a run. @p evidence_us: when the evidence was sent or came true. */
static void
conclude (struct cell_core *core, struct cell_run *run, enum cell_over over,
          enum cell_over_way way, uint64_t evidence_us)
{
  const struct cell_worker *worker = cell_worker_at (core, run->worker);
  struct cell_conclusion conclusion = {
    .over = over,
    .way = way,
    .run = run->number,
    .worker = run->worker,
    .start_answered = run->answered_us != 0,
    .shown = run->seen_born_ms != 0,
    .ticketed = run->ticket_until_us != 0,
    .inherited = run->inherited,
    .ordered_born_ms = run->ordered_born_ms,
    .last_born_ms = run->last_born_ms,
    .run_born_ms = run->worker_born_ms,
    .worker_born_ms = worker->born_ms,
    .ordered_us = run->ordered_us,
    .confirmed_us = run->confirmed_us,
    .stop_confirmed_us = run->stop_confirmed_us,
    .evidence_us = evidence_us,
    .concluded_us = core->now_us,
    .lease_deadline_ms = worker->lease_deadline_ms,
    .known_us = worker->known_us,
    .answered_us = worker->answered_us,
    .restart_seen = worker->reborn_us != 0,
  };

  cell_task_name (run, conclusion.task);
  if (over != CELL_OVER_UNORDERED)
    {
      forget_old (core);
      hand_out (core, &conclusion);
      remember (core, &conclusion);
    }
  cell_blame_over (core, run, over);
  run->earlier_copy_us = 0;
  cell_run_ended (core, run,
                  over == CELL_OVER_UNORDERED || over == CELL_OVER_REFUSED
                      ? CELL_END_STOPPED
                      : CELL_END_LAPSED,
                  CYC_STR (""));
}

/* Evidence that a run is over. */
enum evidence_kind
{
  EVIDENCE_UNORDERED, /* its start was not ordered */
  EVIDENCE_REFUSAL,   /* its start was refused, or certainly not sent */
  EVIDENCE_REPORT,    /* a report neither shows the run nor lists its end */
  EVIDENCE_ENTRY,     /* the worker's entry was written */
  EVIDENCE_LAPSE,     /* the worker is silent and its leases have lapsed */
  EVIDENCE_EXIT       /* the worker has left: see check_exit */
};

struct evidence
{
  enum evidence_kind kind;
  uint64_t since_us; /* the report was requested, or the entry written, later;
                        or when the leases lapsed or the worker left */
  uint64_t born_ms;  /* incarnation that reported or wrote; 0 if unknown */
};

/* Returns whether the worker's lease covers the run: nothing of the run is
   left when it has lapsed. The start is refused from its own deadline on, but
   only by the incarnation on whose clock the deadline is. What a later one has
   received is covered once that incarnation has reported the run. */
static bool
lease_covers (const struct cell_worker *worker, const struct cell_run *run)
{
  if (run->inherited)
    return run->worker_born_ms != 0 && run->worker_born_ms == worker->born_ms;
  return run->last_born_ms != 0 && run->last_born_ms == worker->born_ms
         && (run->ordered_born_ms == run->last_born_ms
             || run->seen_born_ms == run->last_born_ms);
}

/* Returns from when on no later incarnation can execute the run's start;
   UINT64_MAX if that is unknown. A start that was answered, or whose run has
   been shown, was executed and has no other copy; a ticket is valid for one
   incarnation. Any other start may be executed late by whichever incarnation
   is then there, and so may that of an earlier leader which was ordered again.
   An inherited run does not wait for that; see earlier_copy_left. */
static uint64_t
late_start_end_us (const struct cell_run *run)
{
  if (run->call_ended_us == 0)
    return UINT64_MAX;
  if (run->inherited)
    return run->call_ended_us;
  if (run->answered_us != 0 || run->seen_born_ms != 0
      || run->ticket_until_us != 0)
    return MAX (run->call_ended_us, run->earlier_copy_us);
  return MAX (run->call_ended_us + CELL_CALL_LATE_MAX_US,
              run->earlier_copy_us);
}

/* Returns whether a copy of the run's start by an earlier leader may still
   have been on its way at @p at_us, so that the task must not be placed again:
   the incarnation that has answered refuses it, and the next one does not. */
static bool
earlier_copy_left (const struct cell_run *run, uint64_t at_us)
{
  const struct cell_task *task
      = cell_task_peek (run->job, run->round, run->task);

  return run->earlier_copy_us != 0 && at_us <= run->earlier_copy_us
         && task->run == run && task->state != CELL_TASK_DONE
         && cell_job_open (run->job);
}

bool
cell_over_start_bound (const struct cell_core *core,
                       const struct cell_run *run)
{
  if (run->earlier_copy_us >= core->now_us)
    return false;
  return run->inherited || run->answered_us != 0 || run->seen_born_ms != 0
         || run->ticket_until_us != 0
         || late_start_end_us (run) < core->now_us;
}

/* Returns when everything of a call that ended at @p call_us has certainly
   lapsed, whichever incarnation has executed it. One to whose clock its
   deadline does not belong grants the longest lease. */
static uint64_t
call_lapsed_us (const struct cell_core *core, uint64_t call_us)
{
  return cell_lease_end_us (call_us, core->desc.lease_max_ms);
}

/* The same of calls without an answer, the last of which ended at @p call_us.
 */
static uint64_t
late_calls_lapse_us (const struct cell_core *core, uint64_t call_us)
{
  return call_lapsed_us (core, call_us + CELL_CALL_LATE_MAX_US);
}

/* Returns until when the run's start may be executed by an incarnation that
   the leader does not know of: the advisor may have given the ticket for it.
 */
static uint64_t
executed_until_us (const struct cell_core *core, const struct cell_run *run)
{
  uint64_t end_us = late_start_end_us (run);

  if (run->ticket_until_us == 0 || run->answered_us != 0
      || run->seen_born_ms != 0)
    return end_us;
  return MAX (end_us, cell_lease_end_us (run->ticket_until_us,
                                         core->desc.ticket_margin_ms));
}

void
cell_over_start_unanswered (struct cell_core *core, const struct cell_run *run)
{
  struct cell_worker *worker = cell_worker_at (core, run->worker);

  worker->start_until_us
      = MAX (worker->start_until_us, executed_until_us (core, run));
}

/* Returns by when the calls of starts that are open will have ended; 0 if
   there are none. */
static uint64_t
open_starts_end_us (const struct cell_worker *worker)
{
  uint64_t end_us = 0;

  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (run->ordered_us != 0 && run->call_ended_us == 0)
      end_us = MAX (end_us, run->ordered_us + CELL_CALL_MAX_US);
  return end_us;
}

/* Returns when a worker without an entry that was alive at @p at_us would be
   listed again: the platform does so within CELL_RELISTED_US. UINT64_MAX if it
   is listed, or if the entries of that time have not been read. */
static uint64_t
relisted_us (const struct cell_core *core, const struct cell_worker *worker,
             uint64_t at_us)
{
  uint64_t unlisted_us = worker->unlisted_us != 0 ? worker->unlisted_us
                                                  : core->entries_first_us;
  uint64_t end_us = MAX (unlisted_us, at_us) + CELL_RELISTED_US;

  if (worker->listed || unlisted_us == 0 || core->entries_read_us < end_us)
    return UINT64_MAX;
  return end_us;
}

/* Returns when everything of the run's start has ended because the worker is
   gone. One that is cut off from the service discovery has obeyed no other
   call since @p last_us. Any incarnation may have granted the longest lease.
 */
static uint64_t
gone_us (const struct cell_core *core, const struct cell_worker *worker,
         const struct cell_run *run, uint64_t last_us)
{
  uint64_t end_us = executed_until_us (core, run);
  uint64_t removed_us = relisted_us (core, worker, end_us);

  if (removed_us == UINT64_MAX)
    return UINT64_MAX;
  last_us = MAX (last_us, worker->start_until_us);
  return MAX (removed_us, call_lapsed_us (core, MAX (end_us, last_us)));
}

/* Returns whether the incarnation that an earlier leader's start was meant for
   was alive after the last write of it. If not, a later one may have received
   the start, and calls for the former one that are executed late. */
static bool
alive_since_start (const struct cell_worker *worker,
                   const struct cell_run *run)
{
  return run->last_born_ms != 0 && run->last_born_ms == run->worker_born_ms
         && run->last_born_ms == worker->born_ms;
}

/* Returns when a start has certainly lapsed that an earlier leader has written
   last. */
static uint64_t
earlier_start_lapsed_us (const struct cell_core *core,
                         const struct cell_worker *worker,
                         const struct cell_run *run)
{
  return alive_since_start (worker, run)
             ? cell_lease_lapsed_us (core, run->call_ended_us)
             : call_lapsed_us (core, run->call_ended_us);
}

/* Returns whether the incarnation after the known one may execute an earlier
   leader's start: the known one has answered this leader, so it refuses the
   start. The process of one that has left is followed by no other. */
static bool
next_may_execute (const struct cell_worker *worker, const struct cell_run *run)
{
  return run->inherited && worker->fenced_us != 0 && worker->exited_us == 0
         && earlier_copy_left (run, 0);
}

/* Returns when everything has lapsed of a start that the next incarnation of
   a silent worker may execute until run->earlier_copy_us, or when the worker
   is gone because its entry was removed. */
static uint64_t
earlier_copy_lapsed_us (const struct cell_core *core,
                        const struct cell_worker *worker,
                        const struct cell_run *run)
{
  uint64_t last_us = MAX (worker->silent_us, worker->start_called_us);

  last_us = MAX (last_us, worker->start_open_us);
  return MIN (MAX (call_lapsed_us (core, run->earlier_copy_us),
                   late_calls_lapse_us (core, last_us)),
              relisted_us (core, worker, last_us));
}

/* Returns when no copy of the run's start is left on a worker that is silent
   or has left, whose lease lapses or which left at @p worker_us. */
static uint64_t
lapse_us (const struct cell_core *core, const struct cell_worker *worker,
          const struct cell_run *run, uint64_t worker_us)
{
  uint64_t last_us
      = worker->exited_us != 0 ? worker->exited_us : worker->silent_us;

  /* An earlier leader may write the start to an incarnation that is later than
     the one whose lease is known or whose process is gone. */
  if (run->inherited
      && (worker->exited_us == 0 || worker->exited_us <= run->call_ended_us))
    worker_us = MAX (worker_us, earlier_start_lapsed_us (core, worker, run));
  if (lease_covers (worker, run)
      && (!run->inherited || worker->exited_us != 0
          || alive_since_start (worker, run)))
    return next_may_execute (worker, run)
               ? MAX (worker_us, earlier_copy_lapsed_us (core, worker, run))
               : worker_us;
  if (run->call_ended_us == 0)
    return UINT64_MAX;
  /* The order has died with the process, and another worker refuses it. */
  if (worker->replaced)
    return worker_us;
  last_us = MAX (last_us, run->call_ended_us);
  last_us = MAX (last_us, worker->start_called_us);
  last_us = MAX (last_us, worker->start_open_us);
  return MAX (worker_us, MIN (late_calls_lapse_us (core, last_us),
                              gone_us (core, worker, run, last_us)));
}

/* Returns whether no copy of the run's start is running or can be executed any
   more, and for what reason. An order without an answer may be executed later,
   by whichever incarnation the worker then has. The evidence that each reason
   needs:

   unordered  the start was not ordered
   refused    the result of the start, which holds for all copies of the order,
              no report shows the run, and no earlier leader's start is left
   fenced     the run was started by an earlier leader, and a report under this
              leader's fencing token, requested when no later incarnation can
              execute that leader's start, lacks it
   reborn     a later incarnation than the last one that may have received the
              order: an incarnation that was alive when no later one could
              execute it. A report shows it by its birth; an entry, which may
              be of one before, by when it was sent
   missing    the start was answered, so no other copy is left, and a report
              requested after that lacks the run; or the reporting incarnation
              has shown the run before
   stopped    the reporting incarnation has answered a stop, and a report
              requested after the answer, when no later incarnation can execute
              the order, lacks the run
   lapsed     the lease has lapsed of the only incarnation that may have
              received the order, with what stale calls have added to it, and
              that of a start which an earlier leader may still write, and no
              later incarnation may execute an earlier leader's start; else the
              worker has lost its entry, or the longest delay of a late call
              and the longest lease have passed
   left       as lapsed, with the exit of the process instead of the lease: its
              entry was removed and it does not answer
   replaced   the call of the start has ended, and another worker answers a
              call at the address at which this incarnation had reported before
              that call was sent */
static bool
is_over (const struct cell_core *core, const struct cell_run *run,
         const struct evidence *evidence, enum cell_over *over)
{
  const struct cell_worker *worker = cell_worker_at (core, run->worker);

  switch (evidence->kind)
    {
    case EVIDENCE_UNORDERED:
      *over = CELL_OVER_UNORDERED;
      return run->state == CELL_RUN_RECORDING;
    case EVIDENCE_REFUSAL:
      *over = CELL_OVER_REFUSED;
      return run->state == CELL_RUN_STARTING
             && !earlier_copy_left (run, core->now_us);
    case EVIDENCE_LAPSE:
    case EVIDENCE_EXIT:
      *over = evidence->kind == EVIDENCE_LAPSE ? CELL_OVER_LAPSED
              : worker->replaced               ? CELL_OVER_REPLACED
                                               : CELL_OVER_LEFT;
      return lapse_us (core, worker, run, evidence->since_us) <= core->now_us;
    case EVIDENCE_ENTRY:
      *over = CELL_OVER_REBORN;
      return run->last_born_ms != 0 && evidence->born_ms != run->last_born_ms
             && evidence->since_us > run->last_alive_us
             && !(run->inherited && earlier_copy_left (run, 0));
    case EVIDENCE_REPORT:
      break;
    }
  if (evidence->born_ms == 0)
    return false;
  *over = CELL_OVER_FENCED;
  if (run->inherited)
    return evidence->since_us > run->call_ended_us
           && !earlier_copy_left (run, evidence->since_us);
  *over = CELL_OVER_REBORN;
  if (run->last_born_ms != 0 && evidence->born_ms > run->last_born_ms)
    return true;
  if (earlier_copy_left (run, evidence->since_us))
    return false;
  *over = CELL_OVER_MISSING;
  if (run->answered_us != 0 && evidence->since_us > run->answered_us)
    return true;
  if (run->seen_born_ms == evidence->born_ms
      && evidence->since_us > run->confirmed_us)
    return true;
  *over = CELL_OVER_STOPPED;
  return evidence->since_us > late_start_end_us (run)
         && run->stop_confirmed_us != 0
         && run->stop_born_ms == evidence->born_ms
         && evidence->since_us > run->stop_confirmed_us;
}

/* Ends the run if the evidence suffices; returns whether it did. */
static bool
weigh (struct cell_core *core, struct cell_run *run,
       const struct evidence *evidence)
{
  static const enum cell_over_way ways[] = {
    [EVIDENCE_UNORDERED] = CELL_WAY_ORDER,
    [EVIDENCE_REFUSAL] = CELL_WAY_ANSWER,
    [EVIDENCE_REPORT] = CELL_WAY_REPORT,
    [EVIDENCE_ENTRY] = CELL_WAY_ENTRY,
    [EVIDENCE_LAPSE] = CELL_WAY_LAPSE,
    [EVIDENCE_EXIT] = CELL_WAY_EXIT,
  };
  enum cell_over over;

  if (run->state == CELL_RUN_RECORDING && evidence->kind != EVIDENCE_UNORDERED)
    return false;
  if (!is_over (core, run, evidence, &over))
    return false;
  conclude (core, run, over, ways[evidence->kind], evidence->since_us);
  return true;
}

/* An incarnation that was alive when no later one could execute the order is
   the last one that may have received it. */
static void
note_alive (const struct cell_core *core, struct cell_run *run,
            uint64_t born_ms, uint64_t since_us)
{
  if (run->last_born_ms != 0 || since_us <= late_start_end_us (run))
    return;
  run->last_born_ms = born_ms;
  run->last_alive_us = core->now_us;
}

void
cell_over_unordered (struct cell_core *core, struct cell_run *run)
{
  weigh (core, run, &(struct evidence){ EVIDENCE_UNORDERED, core->now_us, 0 });
}

void
cell_over_refused (struct cell_core *core, struct cell_run *run)
{
  if (!weigh (core, run,
              &(struct evidence){ EVIDENCE_REFUSAL, core->now_us, 0 })
      && run->state == CELL_RUN_STARTING)
    run->inherited = true;
}

bool
cell_over_closed (const struct cell_core *core, struct cell_run *run)
{
  if (!run->started_again || run->state != CELL_RUN_STARTING
      || !earlier_copy_left (run, core->now_us))
    return false;
  run->inherited = true;
  run->number_closed = true;
  return true;
}

void
cell_over_seen (const struct cell_core *core, const struct cell_worker *worker,
                struct cell_run *run, uint64_t sent_us)
{
  if (run->seen_born_ms != 0 && run->seen_born_ms != worker->born_ms)
    run->confirmed_us = core->now_us;
  run->seen_born_ms = worker->born_ms;
  run->worker_born_ms = worker->born_ms;
  if (run->last_born_ms != 0 && run->last_born_ms < worker->born_ms)
    {
      run->last_born_ms = worker->born_ms;
      run->last_alive_us = core->now_us;
    }
  note_alive (core, run, worker->born_ms, sent_us);
}

void
cell_over_reported (struct cell_core *core, struct cell_worker *worker,
                    const struct cell_report *report, GHashTable *seen)
{
  struct evidence evidence
      = { EVIDENCE_REPORT, report->sent_us, report->born_ms };
  struct cell_run *next;

  /* The ends that are not listed may be those of the missing runs. */
  if (report->ends_truncated)
    return;
  for (struct cell_run *run = worker->runs; run != NULL; run = next)
    {
      next = run->next;
      if (g_hash_table_contains (seen, run) || weigh (core, run, &evidence))
        continue;
      if (run->inherited && report->born_ms != 0
          && report->sent_us > run->call_ended_us)
        cell_run_start_again (core, run);
      if (report->born_ms != 0)
        note_alive (core, run, report->born_ms, report->sent_us);
      if (run->state == CELL_RUN_STARTING && !run->inherited
          && run->unconfirmed_us != 0 && report->sent_us > run->unconfirmed_us)
        cell_run_stop (core, run);
      if (run->state == CELL_RUN_RUNNING
          && run->seen_born_ms != worker->born_ms && run->call_ended_us != 0
          && report->sent_us > MAX (run->call_ended_us, run->confirmed_us))
        cell_run_stop (core, run);
    }
}

void
cell_over_listed (struct cell_core *core, struct cell_worker *worker,
                  uint64_t after_us)
{
  /* The write of an entry is a call that the store may execute late, when the
     process that sent it is gone. */
  struct evidence evidence
      = { EVIDENCE_ENTRY,
          after_us > CELL_CALL_LATE_MAX_US ? after_us - CELL_CALL_LATE_MAX_US
                                           : 0,
          worker->born_ms };
  struct cell_run *next;

  for (struct cell_run *run = worker->runs; run != NULL; run = next)
    {
      next = run->next;
      if (!weigh (core, run, &evidence))
        note_alive (core, run, worker->born_ms, evidence.since_us);
    }
}

/* Returns the time from which the worker's lease has certainly lapsed. */
static uint64_t
lease_end_us (const struct cell_core *core, const struct cell_worker *worker)
{
  uint64_t remaining_ms = worker->lease_deadline_ms > worker->clock_ms
                              ? worker->lease_deadline_ms - worker->clock_ms
                              : 0;
  uint64_t end_us = worker->lease_until_us;

  if (worker->clock_ms != 0)
    end_us = cell_lease_end_us (worker->clock_at_us, remaining_ms);
  return MAX (end_us, cell_stale_lease_end_us (core, worker));
}

void
cell_over_expire (struct cell_core *core, struct cell_worker *worker)
{
  bool exited = worker->exited_us != 0;
  struct evidence evidence
      = { exited ? EVIDENCE_EXIT : EVIDENCE_LAPSE,
          exited ? worker->exited_us : lease_end_us (core, worker), 0 };
  struct cell_run *next;

  worker->start_open_us = open_starts_end_us (worker);
  if (evidence.since_us > core->now_us)
    {
      cell_worker_wake (core, worker, evidence.since_us);
      return;
    }
  for (struct cell_run *run = worker->runs; run != NULL; run = next)
    {
      next = run->next;
      if (!weigh (core, run, &evidence) && run->state != CELL_RUN_RECORDING)
        cell_worker_wake (core, worker,
                          lapse_us (core, worker, run, evidence.since_us));
    }
}

uint64_t
cell_over_report_after_us (const struct cell_core *core,
                           const struct cell_worker *worker,
                           const struct cell_run *run, uint64_t *until_us)
{
  bool reborn = run->worker_born_ms != worker->born_ms;
  uint64_t after_us = 0;

  if (run->state == CELL_RUN_RECORDING)
    return 0;
  if (run->inherited && run->call_ended_us > core->now_us)
    {
      *until_us = MIN (*until_us, run->call_ended_us);
      return 0;
    }
  if (run->inherited && earlier_copy_left (run, core->now_us))
    *until_us = MIN (*until_us, run->earlier_copy_us + 1);
  else if (run->inherited && earlier_copy_left (run, 0))
    return run->earlier_copy_us;
  if (run->inherited)
    return run->call_ended_us;
  if (run->state == CELL_RUN_STARTING && run->unconfirmed_us != 0)
    {
      uint64_t end_us = late_start_end_us (run);

      if (end_us > core->now_us)
        *until_us = MIN (*until_us, end_us);
      after_us = MAX (run->unconfirmed_us,
                      end_us > core->now_us ? run->call_ended_us : end_us);
    }
  if (reborn && worker->reborn_us != 0)
    after_us = MAX (after_us, MAX (worker->reborn_us, run->call_ended_us));
  if ((reborn || run->state == CELL_RUN_STARTING)
      && run->stop_confirmed_us != 0 && run->stop_born_ms == worker->born_ms)
    after_us = MAX (after_us, run->stop_confirmed_us);
  return after_us;
}

/* Notes the run that has taken the place of the one that was taken for over,
   if it has been ordered. */
static void
note_next (struct cell_core *core, struct cell_conclusion *conclusion)
{
  const struct cell_run *next;
  struct cell_job *job;
  uint32_t round;
  uint32_t task;

  if (!cell_task_parse (core, cyc_str_of (conclusion->task), &job, &round,
                        &task))
    return;
  next = cell_task_peek (job, round, task)->run;
  if (next == NULL || next->state == CELL_RUN_RECORDING)
    return;
  conclusion->next_run = next->number;
  conclusion->next_worker = next->worker;
}

/* Returns what was concluded of the run; NULL if nothing was. */
static struct cell_conclusion *
find_conclusion (const struct cell_core *core, uint32_t worker,
                 struct cyc_str task, uint32_t run)
{
  struct cell_conclusion wanted = { .worker = worker, .run = run };

  snprintf (wanted.task, sizeof wanted.task, "%.*s", CYC_FMT (task));
  return g_hash_table_lookup (core->concluded, &wanted);
}

void
cell_over_ended (struct cell_core *core, const struct cell_worker *worker,
                 const struct cell_end_row *end)
{
  const struct cell_conclusion *found
      = find_conclusion (core, worker->row, end->task, end->run);
  struct cell_over_end *out;

  if (found == NULL)
    return;
  out = g_new0 (struct cell_over_end, 1);
  out->conclusion = *found;
  out->kind = end->kind;
  out->born_ms = worker->born_ms;
  out->other_life
      = worker->born_ms > (found->last_born_ms != 0 ? found->last_born_ms
                                                    : found->worker_born_ms);
  note_next (core, &out->conclusion);
  g_queue_push_tail (&core->over_ends, out);
}

bool
cell_over_end_next (struct cell_core *core, struct cell_over_end *out)
{
  struct cell_over_end *next = g_queue_pop_head (&core->over_ends);

  if (next == NULL)
    return false;
  *out = *next;
  g_free (next);
  return true;
}

void
cell_over_contradict (struct cell_core *core, uint32_t worker,
                      struct cyc_str task, uint32_t run, bool ended)
{
  struct cell_conclusion *found = find_conclusion (core, worker, task, run);

  if (found == NULL)
    return;
  /* A silent worker lists later what ended before its lease lapsed. */
  found->contradicted = !(
      ended
      && (found->over == CELL_OVER_LAPSED || found->over == CELL_OVER_LEFT));
  if (found->contradicted)
    {
      found->shown_born_ms = cell_worker_at (core, worker)->born_ms;
      note_next (core, found);
      hand_out (core, found);
    }
  forget (core, found);
}

bool
cell_conclusion_next (struct cell_core *core, struct cell_conclusion *out)
{
  struct cell_conclusion *next = g_queue_pop_head (&core->conclusions);

  if (next == NULL)
    return false;
  *out = *next;
  g_free (next);
  return true;
}
