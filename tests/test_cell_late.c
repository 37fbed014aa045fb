/* Orders that are executed late, twice or out of order, between reports,
   stops, exits, restarts and takeovers. Guards against a core that takes a run
   for over while a copy of its start can still be executed. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define TASK "0000000000000001.0.0.0"
/* A draining worker announces that it stays for at least this time. */
#define DRAIN_MS 500
/* Longest delay of an order that is executed late. */
#define LATE_MS 12000
/* Duration of the calls that the test makes in between, at most. */
#define CALLS_MS 1000
/* Allowance for a slow clock and for the transit of messages. */
#define LEASE_MARGIN_MS 500
/* The advisor has answered after this time. */
#define ADVICE_MS 100

/* One task whose start is under way. Its calls and reports are made by the
   test, so the fleet does not advance in between. */
struct started
{
  struct fleet *fleet;
  struct cell_core *core;
  struct cyc_ref run;
  uint32_t row;
  uint64_t born_ms;
  uint64_t shown_born_ms; /**< of the last report */
  uint64_t now_us;
  uint32_t stops;
  uint32_t last_number;
  uint32_t over;    /**< conclusions that a run is over */
  char address[32]; /**< that the test's entries give */
};

static void
take_order (struct started *s)
{
  struct order_in_flight *in_flight = g_ptr_array_index (
      s->fleet->orders_in_flight, s->fleet->orders_in_flight->len - 1);

  s->run = in_flight->order.run;
  s->row = in_flight->order.worker;
  s->last_number = in_flight->order.number;
  s->born_ms = s->fleet->workers[s->row].born_ms;
  s->now_us = s->fleet->now_ms * 1000;
}

static void
begin_in (struct started *s, uint32_t workers, const char *queue)
{
  memset (s, 0, sizeof *s);
  s->fleet = calloc (1, sizeof *s->fleet);
  fleet_setup (s->fleet, workers, 1000);
  fleet_run (s->fleet, 100);
  s->fleet->delay_starts_ms = 600000;
  fleet_submit (s->fleet, 1,
                &(struct fleet_job){ .tasks = { 1 }, .queue = queue });
  fleet_run (s->fleet, 40 + (queue != NULL ? ADVICE_MS : 0));
  s->core = s->fleet->core;
  snprintf (s->address, sizeof s->address, "127.0.0.1:1");
  assert_int_equal (s->fleet->orders_in_flight->len, 1);
  take_order (s);
}

static void
begin (struct started *s, uint32_t workers)
{
  begin_in (s, workers, NULL);
}

static void
finish (struct started *s)
{
  fleet_teardown (s->fleet);
  free (s->fleet);
}

static void
tick (struct started *s, uint64_t after_ms)
{
  struct cell_order order;

  s->now_us += after_ms * 1000;
  cell_entries_read (s->core, s->now_us);
  cell_tick (s->core, s->now_us, s->now_us / 1000);
  while (cell_order_next (s->core, &order))
    s->stops += order.kind == CELL_ORDER_STOP;
}

/* Returns how many runs were concluded to be over. */
static uint32_t
over (struct started *s)
{
  struct cell_conclusion conclusion;

  while (cell_conclusion_next (s->core, &conclusion))
    s->over += !conclusion.contradicted;
  return s->over;
}

static uint64_t
report_after_us (const struct started *s)
{
  struct cell_worker_view view;

  cell_worker_view (s->core, s->row, &view);
  return view.report_after_us;
}

static void
list_incarnation (struct started *s, uint64_t born_ms)
{
  struct cell_worker_entry entry
      = { .capacity = { 1000, 1000000, 0 }, .born_ms = born_ms };

  cyc_name_set (&entry.id, cyc_str_of (s->fleet->workers[s->row].id));
  cyc_name_set (&entry.pool, CYC_STR ("pool"));
  cyc_name_set (&entry.address, cyc_str_of (s->address));
  /* The entry was written before any of the test's calls. */
  cell_worker_listed (s->core, &entry, 1, s->now_us);
}

/* The worker answers a hold that was sent @p age_ms ago. */
static void
report_at (struct started *s, uint64_t born_ms, uint64_t age_ms, bool running)
{
  struct cell_running_row row = { .task = CYC_STR (TASK), .run = 1 };
  struct cell_report report = { .running = &row };

  s->now_us += 1000;
  report.running_count = running;
  report.born_ms = born_ms;
  s->shown_born_ms = born_ms;
  report.clock_ms = s->now_us / 1000 - s->fleet->workers[0].born_ms + 1000;
  report.sent_us = s->now_us - age_ms * 1000;
  cell_worker_report (s->core, s->row, &report, s->now_us);
  tick (s, 1);
}

static void
report (struct started *s, uint64_t born_ms, bool running)
{
  s->now_us += 1000;
  report_at (s, born_ms, 0, running);
}

static void
start_result (struct started *s, enum cell_start_result result)
{
  s->now_us += 1000;
  cell_start_result (s->core, s->run, result, s->now_us);
  tick (s, 0);
}

static void
stop_answered (struct started *s)
{
  s->now_us += 1000;
  cell_stop_result (s->core, s->run, s->now_us, s->now_us);
  tick (s, 0);
}

/* The run is not over until its start cannot be executed late any more. */
static void
pass_late_delay (struct started *s)
{
  tick (s, LATE_MS - CALLS_MS);
  report (s, s->shown_born_ms, false);
  assert_int_equal (over (s), 0);
  tick (s, CALLS_MS);
}

/* A worker restarts, executes the start and answers it before its entry is
   read: the entry does not end the run. */
static void
test_entry_of_the_incarnation_that_runs_the_task (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_OK);
  tick (&s, 5);
  list_incarnation (&s, s.born_ms + 5000);
  tick (&s, 1);
  assert_int_equal (over (&s), 0);
  assert_true (report_after_us (&s) != 0);
  report (&s, s.born_ms + 5000, true);
  assert_int_equal (over (&s), 0);
  finish (&s);
}

/* The run ends at the first report of a new incarnation that was requested
   after the entry, without waiting for a lease. */
static void
test_restart_after_the_start_was_answered (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_OK);
  list_incarnation (&s, s.born_ms + 5000);
  assert_true (report_after_us (&s) != 0);
  report (&s, s.born_ms + 5000, false);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* An incarnation answers a stop, the next one receives the start: the stop
   does not hold there. */
static void
test_stop_answered_by_an_earlier_incarnation (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  tick (&s, 200);
  report (&s, s.born_ms, false);
  assert_int_equal (s.stops, 1);
  stop_answered (&s);
  report (&s, s.born_ms + 5000, false);
  assert_int_equal (over (&s), 0);
  start_result (&s, CELL_START_UNKNOWN);
  report (&s, s.born_ms + 5000, false);
  assert_int_equal (over (&s), 0);
  tick (&s, 800);
  assert_int_equal (s.stops, 2);
  stop_answered (&s);
  assert_int_equal (over (&s), 0);
  pass_late_delay (&s);
  report (&s, s.born_ms + 5000, false);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* A stop is ordered and the worker restarts; the answer to the stop comes when
   the next stop is due. */
static void
test_late_answer_to_a_stop_of_an_earlier_incarnation (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  tick (&s, 200);
  report (&s, s.born_ms, false);
  assert_int_equal (s.stops, 1);
  list_incarnation (&s, s.born_ms + 5000);
  tick (&s, 800);
  stop_answered (&s);
  start_result (&s, CELL_START_UNKNOWN);
  report (&s, s.born_ms + 5000, false);
  assert_int_equal (over (&s), 0);
  tick (&s, 800);
  assert_int_equal (s.stops, 2);
  stop_answered (&s);
  pass_late_delay (&s);
  report (&s, s.born_ms + 5000, false);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* A stop is answered while the call of the start is open: a process that takes
   the worker's place may still receive the order. */
static void
test_stop_answered_while_the_call_is_open (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  tick (&s, 200);
  report (&s, s.born_ms, false);
  stop_answered (&s);
  report (&s, s.born_ms, false);
  assert_int_equal (over (&s), 0);
  start_result (&s, CELL_START_UNKNOWN);
  assert_true (report_after_us (&s) == s.now_us);
  pass_late_delay (&s);
  report (&s, s.born_ms, false);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* An incarnation answers a stop and lacks the run; the next one executes the
   start before it is called. */
static void
test_start_executed_after_a_stop_of_an_earlier_incarnation (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_UNKNOWN);
  report (&s, s.born_ms, false);
  stop_answered (&s);
  report (&s, s.born_ms, false);
  assert_int_equal (over (&s), 0);
  list_incarnation (&s, s.born_ms + 5000);
  tick (&s, 1);
  assert_int_equal (over (&s), 0);
  report (&s, s.born_ms + 5000, true);
  assert_int_equal (over (&s), 0);
  tick (&s, LATE_MS);
  report (&s, s.born_ms + 5000, false);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* The next incarnation lacks the run as well and may crash: the one after it
   may execute the start. */
static void
test_start_executed_after_two_restarts (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_UNKNOWN);
  report (&s, s.born_ms, false);
  report (&s, s.born_ms + 5000, false);
  report (&s, s.born_ms + 6000, false);
  assert_int_equal (over (&s), 0);
  report (&s, s.born_ms + 6000, true);
  assert_int_equal (over (&s), 0);
  finish (&s);
}

/* A ticket is valid for one incarnation: what its worker has been stopped from
   executing is over at once. Guards against a task that waits for nothing. */
static void
test_start_with_a_ticket_does_not_wait (void **state)
{
  struct started s;

  (void)state;
  begin_in (&s, 1, "advised");
  start_result (&s, CELL_START_UNKNOWN);
  report (&s, s.born_ms, false);
  stop_answered (&s);
  report (&s, s.born_ms, false);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* A report that was requested before a stop was answered arrives after the
   answer: the start may have been executed in between. */
static void
test_overtaken_report_after_an_answered_stop (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_UNKNOWN);
  tick (&s, 100);
  report (&s, s.born_ms, false);
  assert_int_equal (s.stops, 1);
  s.now_us += LATE_MS * 1000ULL;
  stop_answered (&s);
  report_at (&s, s.born_ms, 50, false);
  assert_int_equal (over (&s), 0);
  report (&s, s.born_ms, false);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* A worker restarts, reports the run and falls silent: a hold with a deadline
   on its earlier clock may be executed late and extend the lease. */
static void
test_lapsed_lease_after_a_restart (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_OK);
  report (&s, s.born_ms + 5000, true);
  cell_worker_silent (s.core, s.row, s.now_us);
  tick (&s, 2ULL * FLEET_LEASE_MS);
  assert_int_equal (over (&s), 0);
  tick (&s, 12000);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* A report that does not list all ends lacks the run: its end may be one of
   the others. */
static void
test_report_without_all_ends (void **state)
{
  struct started s;
  struct cell_report partial = { .ends_truncated = true };

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_OK);
  s.now_us += 1000;
  partial.born_ms = s.born_ms;
  partial.clock_ms = s.now_us / 1000 - s.born_ms + 1000;
  partial.sent_us = s.now_us;
  cell_worker_report (s.core, s.row, &partial, s.now_us);
  assert_int_equal (over (&s), 0);
  finish (&s);
}

/* Reports an end of the task's run @p run, and run @p running as running; 0 if
   none is. */
static void
report_end (struct started *s, uint64_t number, uint32_t run,
            enum cell_end_kind kind, uint32_t running)
{
  struct cell_running_row row = { .task = CYC_STR (TASK), .run = running };
  struct cell_end_row end = { .number = number,
                              .task = CYC_STR (TASK),
                              .run = run,
                              .kind = kind,
                              .checkpoint = CYC_STR ("") };
  struct cell_report report = { .ends = &end,
                                .end_count = 1,
                                .running = &row,
                                .running_count = running != 0 };

  s->now_us = s->fleet->now_ms * 1000 + 1000;
  report.born_ms = s->born_ms;
  report.clock_ms = s->now_us / 1000 - s->born_ms + 1000;
  report.sent_us = s->now_us;
  cell_worker_report (s->core, s->row, &report, s->now_us);
}

/* A start refused as old may have been executed: only a report tells. */
static void
test_start_refused_as_old_has_run (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_OLD);
  assert_int_equal (over (&s), 0);
  assert_true (report_after_us (&s) != 0);
  report_at (&s, s.born_ms, 10, false);
  assert_int_equal (over (&s), 0);
  report (&s, s.born_ms, false);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* A worker that has refused a start for want of room is given the next one
   within this time. */
#define AFTER_REFUSAL_MS 600

/* Three runs are let go, and their worker lists each as failed afterwards: the
   job has no attempt left. */
static void
test_failed_ends_of_runs_that_were_let_go (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  for (uint32_t run = 1; run <= 3; run++)
    {
      assert_int_equal (s.last_number, run);
      cell_start_result (s.core, s.run, CELL_START_REFUSED_CAPACITY,
                         s.fleet->now_ms * 1000);
      report_end (&s, run, run, CELL_END_FAILED, 0);
      fleet_run (s.fleet, AFTER_REFUSAL_MS);
      take_order (&s);
    }
  assert_int_equal (fleet_job_state (s.fleet, 1), CELL_JOB_FAILED);
  finish (&s);
}

/* A failure that an earlier leader has recorded is listed again to its
   successor. */
static void
test_failed_end_of_a_run_that_was_let_go_counts_once (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  for (uint32_t run = 1; run <= 2; run++)
    {
      cell_start_result (s.core, s.run, CELL_START_REFUSED_CAPACITY,
                         s.fleet->now_ms * 1000);
      report_end (&s, run, run, CELL_END_FAILED, 0);
      fleet_run (s.fleet, AFTER_REFUSAL_MS);
      take_order (&s);
    }
  fleet_takeover (s.fleet);
  s.core = s.fleet->core;
  report_end (&s, 2, 2, CELL_END_FAILED, 0);
  fleet_run (s.fleet, 60);
  assert_true (fleet_job_state (s.fleet, 1) < CELL_JOB_COMPLETE);
  finish (&s);
}

/* A run that was let go is listed as done while the next run of its task
   executes, which is then stopped. */
static void
test_done_end_of_a_run_that_was_let_go (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  cell_start_result (s.core, s.run, CELL_START_REFUSED_CAPACITY,
                     s.fleet->now_ms * 1000);
  fleet_run (s.fleet, AFTER_REFUSAL_MS);
  take_order (&s);
  assert_int_equal (s.last_number, 2);
  cell_start_result (s.core, s.run, CELL_START_OK, s.now_us);
  report_end (&s, 1, 1, CELL_END_DONE, 2);
  tick (&s, 1);
  assert_int_equal (s.stops, 1);
  fleet_run (s.fleet, 60);
  assert_int_equal (fleet_job_state (s.fleet, 1), CELL_JOB_COMPLETE);
  finish (&s);
}

/* The lease of a silent worker lapses, but a newer incarnation may hold the
   start, whose deadline is on the clock of the earlier one. */
static void
test_lapsed_lease_of_a_start_that_a_newer_incarnation_may_hold (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_UNKNOWN);
  cell_worker_silent (s.core, s.row, s.now_us);
  tick (&s, 2ULL * FLEET_LEASE_MS);
  assert_int_equal (over (&s), 0);
  tick (&s, 12000);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* The same worker loses its entry: it is gone, unless it restarts while its
   start may be executed late. Guards against a task that waits for it longer
   than that and a lease. */
static void
test_lapsed_lease_of_a_worker_without_an_entry (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_UNKNOWN);
  cell_worker_silent (s.core, s.row, s.now_us);
  tick (&s, 3ULL * FLEET_HEARTBEAT_MS);
  cell_worker_unlisted (s.core, cyc_str_of (s.fleet->workers[s.row].id),
                        s.now_us);
  tick (&s, LATE_MS + FLEET_LEASE_MS - 3ULL * FLEET_HEARTBEAT_MS - 1);
  assert_int_equal (over (&s), 0);
  tick (&s, LEASE_MARGIN_MS);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* A start that no later incarnation can execute, as it carries a ticket, is
   over when its deadline has passed. */
static void
test_lapsed_lease_of_a_start_of_a_known_incarnation (void **state)
{
  struct started s;

  (void)state;
  begin_in (&s, 1, "advised");
  start_result (&s, CELL_START_UNKNOWN);
  report (&s, s.born_ms, false);
  cell_worker_silent (s.core, s.row, s.now_us);
  tick (&s, FLEET_LEASE_MS - 100);
  assert_int_equal (over (&s), 0);
  tick (&s, 600);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* The entry of a draining worker is removed and listed again: the worker has
   not left. */
static void
test_entry_removed_and_listed_again (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_OK);
  report (&s, s.born_ms, true);
  s.fleet->now_ms = s.now_us / 1000;
  fleet_drain (s.fleet, s.row, 5000);
  cell_worker_unlisted (s.core, cyc_str_of (s.fleet->workers[s.row].id),
                        s.now_us);
  fleet_drain (s.fleet, s.row, 5000);
  tick (&s, 400);
  assert_int_equal (over (&s), 0);
  finish (&s);
}

/* A draining worker's entry is removed, or a call to it is refused, while it
   goes on; it has left only if both are so. */
static void
test_removed_entry_of_a_draining_worker_that_goes_on (void **state)
{
  (void)state;
  for (int refused_first = 0; refused_first < 2; refused_first++)
    {
      struct started s;

      begin (&s, 1);
      start_result (&s, CELL_START_OK);
      report (&s, s.born_ms, true);
      s.fleet->now_ms = s.now_us / 1000;
      fleet_drain (s.fleet, s.row, DRAIN_MS);
      tick (&s, DRAIN_MS);
      if (refused_first)
        cell_worker_unanswered (s.core, s.row, CELL_CALL_REFUSED, s.now_us,
                                s.now_us);
      else
        cell_worker_unlisted (s.core, cyc_str_of (s.fleet->workers[s.row].id),
                              s.now_us);
      tick (&s, 400);
      assert_int_equal (over (&s), 0);
      if (refused_first)
        cell_worker_unlisted (s.core, cyc_str_of (s.fleet->workers[s.row].id),
                              s.now_us);
      else
        cell_worker_unanswered (s.core, s.row, CELL_CALL_REFUSED, s.now_us,
                                s.now_us);
      tick (&s, 10);
      assert_int_equal (over (&s), 1);
      finish (&s);
    }
}

/* The same, before the time for which the worker has announced to stay: it
   cannot have left, so its entry has lapsed, and the cut refuses calls. */
static void
test_removed_entry_before_a_draining_worker_may_leave (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_OK);
  report (&s, s.born_ms, true);
  s.fleet->now_ms = s.now_us / 1000;
  fleet_drain (s.fleet, s.row, DRAIN_MS);
  tick (&s, DRAIN_MS - 100);
  cell_worker_unlisted (s.core, cyc_str_of (s.fleet->workers[s.row].id),
                        s.now_us);
  for (uint32_t i = 0; i < 5; i++)
    {
      cell_worker_unanswered (s.core, s.row, CELL_CALL_REFUSED, s.now_us,
                              s.now_us);
      tick (&s, 100);
    }
  assert_int_equal (over (&s), 0);
  finish (&s);
}

struct replaced_case
{
  const char *description;
  bool reported;    /* the worker has reported at its address */
  bool moved;       /* its entry then named another address */
  bool sent_before; /* the call was sent before the report */
  bool seen;        /* that report showed the run */
  bool unanswered;  /* the call of the start then ended without an answer */
  uint32_t over;
};

static const struct replaced_case replaced_cases[] = {
  { "the worker had reported", true, false, false, true, false, 1 },
  { "the worker has never reported", false, false, false, false, false, 0 },
  { "the address is another one since", true, true, false, true, false, 0 },
  { "the call is older than the report", true, false, true, true, false, 0 },
  { "the start has no answer yet", true, false, false, false, false, 0 },
  { "the start got no answer", true, false, false, false, true, 1 },
  { "the start got no answer, and the worker has never reported", false, false,
    false, false, true, 0 },
};

/* Another worker answers at the address of one that crashed. Its runs waited
   for the lease; they are over at once, but only if the address was its own
   and no copy of their start is left. */
static void
test_another_worker_at_the_address (void **state)
{
  uint32_t failures = 0;

  (void)state;
  for (size_t i = 0; i < sizeof replaced_cases / sizeof replaced_cases[0]; i++)
    {
      const struct replaced_case *row = &replaced_cases[i];
      struct started s;
      uint64_t sent_us;

      begin (&s, 1);
      list_incarnation (&s, s.born_ms + 5000);
      if (row->seen)
        start_result (&s, CELL_START_OK);
      sent_us = s.now_us;
      if (row->reported)
        report (&s, s.born_ms + 5000, row->seen);
      if (row->unanswered)
        start_result (&s, CELL_START_UNKNOWN);
      if (row->moved)
        {
          snprintf (s.address, sizeof s.address, "127.0.0.1:2");
          list_incarnation (&s, s.born_ms + 5000);
        }
      tick (&s, 100);
      cell_worker_replaced (s.core, s.row,
                            row->sent_before ? sent_us : s.now_us - 1000,
                            s.now_us);
      tick (&s, 10);
      if (over (&s) != row->over)
        {
          print_error ("%s: %u runs over\n", row->description, s.over);
          failures++;
        }
      finish (&s);
    }
  assert_int_equal (failures, 0);
}

/* A draining worker leaves while the call of a start is open: a process that
   starts under its id may receive the order. */
static void
test_worker_left_with_an_open_start (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  s.fleet->now_ms = s.now_us / 1000;
  fleet_drain (s.fleet, s.row, 5000);
  cell_worker_unlisted (s.core, cyc_str_of (s.fleet->workers[s.row].id),
                        s.now_us);
  cell_worker_silent (s.core, s.row, s.now_us);
  tick (&s, 400);
  assert_int_equal (over (&s), 0);
  finish (&s);
}

/* A leader learns of a run by a report; a report that was requested before
   that lacks the run and arrives later. */
static void
test_overtaken_report_lacks_an_adopted_run (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  cell_start_result (s.core, s.run, CELL_START_REFUSED_CAPACITY, s.now_us);
  assert_int_equal (over (&s), 1);
  report (&s, s.born_ms, true);
  report_at (&s, s.born_ms, 50, false);
  assert_int_equal (over (&s), 1);
  report (&s, s.born_ms, false);
  assert_int_equal (over (&s), 2);
  finish (&s);
}

/* A report that was overtaken by the one that listed the end of a run still
   shows it. The run was taken up again, and a successor, to which its failure
   is listed again, counted it twice. */
static void
test_overtaken_report_shows_a_run_that_has_ended (void **state)
{
  struct cell_running_row row = { .task = CYC_STR (TASK), .run = 1 };
  struct cell_report overtaken = { .running = &row, .running_count = 1 };
  struct started s;
  struct cell_totals totals;

  (void)state;
  begin (&s, 1);
  report (&s, s.born_ms, true);
  s.fleet->workers[0].up = false;
  for (uint32_t leader = 0; leader < 3; leader++)
    {
      report_end (&s, 1, 1, CELL_END_FAILED, 0);
      overtaken.born_ms = s.born_ms;
      overtaken.clock_ms = s.now_us / 1000 - s.born_ms + 990;
      overtaken.sent_us = s.now_us - 10000;
      cell_worker_report (s.core, s.row, &overtaken, s.now_us);
      cell_totals (s.core, &totals);
      assert_int_equal (totals.runs, 0);
      fleet_run (s.fleet, 100);
      fleet_takeover (s.fleet);
      s.core = s.fleet->core;
    }
  assert_true (fleet_job_state (s.fleet, 1) < CELL_JOB_COMPLETE);
  finish (&s);
}

/* A report shows the run before the refusal of its start arrives: it runs. */
static void
test_refusal_of_a_start_that_a_report_shows (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  report (&s, s.born_ms, true);
  start_result (&s, CELL_START_REFUSED_CAPACITY);
  assert_int_equal (over (&s), 0);
  finish (&s);
}

/* The refusal of a start arrives after a stop was ordered: the order was not
   carried out, so no stop is awaited. */
static void
test_refusal_after_a_stop_was_ordered (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  tick (&s, 200);
  report (&s, s.born_ms, false);
  assert_int_equal (s.stops, 1);
  start_result (&s, CELL_START_REFUSED_CAPACITY);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* A silent worker lists a run as done that ended before its lease lapsed: the
   conclusion was right, and the task is done. */
static void
test_done_end_after_a_lapsed_lease (void **state)
{
  struct started s;
  struct cell_conclusion conclusion;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_OK);
  report (&s, s.born_ms, true);
  cell_worker_silent (s.core, s.row, s.now_us);
  tick (&s, FLEET_LEASE_MS + 500);
  assert_int_equal (over (&s), 1);
  s.fleet->now_ms = s.now_us / 1000;
  report_end (&s, 1, 1, CELL_END_DONE, 0);
  assert_false (cell_conclusion_next (s.core, &conclusion));
  fleet_run (s.fleet, 60);
  assert_int_equal (fleet_job_state (s.fleet, 1), CELL_JOB_COMPLETE);
  finish (&s);
}

/* A report whose incarnation is unknown does not end a run. */
static void
test_report_of_an_unknown_incarnation (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_UNKNOWN);
  report (&s, s.born_ms, false);
  stop_answered (&s);
  pass_late_delay (&s);
  report (&s, 0, false);
  assert_int_equal (over (&s), 0);
  report (&s, s.born_ms, false);
  assert_int_equal (over (&s), 1);
  finish (&s);
}

/* Two workers are paused; the first one drains when its pause ends, so its
   task waits for the second one. Guards against a placement that is not
   retried at the end of the later pause. */
static void
test_placement_after_the_later_of_two_pauses (void **state)
{
  struct started s;

  (void)state;
  begin (&s, 2);
  cell_start_result (s.core, s.run, CELL_START_REFUSED_OTHER, s.now_us);
  fleet_run (s.fleet, 100);
  assert_int_equal (s.fleet->orders_in_flight->len, 2);
  fleet_drain (s.fleet, s.row, 60000);
  take_order (&s);
  cell_start_result (s.core, s.run, CELL_START_REFUSED_OTHER, s.now_us);
  fleet_run (s.fleet, 1600);
  assert_int_equal (s.fleet->orders_in_flight->len, 3);
  finish (&s);
}

/* A call ends without an answer, so another incarnation may have the worker's
   place. An answer to an earlier hold arrives after that: it is of the
   incarnation before, so nothing may be acknowledged to the next one. */
static void
test_acknowledgement_after_an_overtaken_report (void **state)
{
  struct cell_end_row end = { .number = 1, .task = CYC_STR (TASK), .run = 1 };
  struct cell_report report = { .ends = &end, .end_count = 1 };
  struct cell_worker_view view;
  struct cell_record record;
  struct started s;

  (void)state;
  begin (&s, 1);
  start_result (&s, CELL_START_OK);
  tick (&s, 10);
  report.born_ms = s.born_ms;
  report.clock_ms = s.now_us / 1000 - s.fleet->workers[0].born_ms + 1000;
  report.sent_us = s.now_us - 1;
  cell_worker_unanswered (s.core, s.row, CELL_CALL_BROKEN, s.now_us, s.now_us);
  tick (&s, 1);
  cell_worker_report (s.core, s.row, &report, s.now_us);
  cell_batch_durable (s.core, cell_batch_close (s.core), s.now_us);
  while (cell_batch_next (s.core, &record))
    free (record.data);
  cell_worker_view (s.core, s.row, &view);
  assert_int_equal (view.received_end, 1);
  assert_int_equal (view.ack, 0);
  finish (&s);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_entry_of_the_incarnation_that_runs_the_task),
    cmocka_unit_test (test_restart_after_the_start_was_answered),
    cmocka_unit_test (test_stop_answered_by_an_earlier_incarnation),
    cmocka_unit_test (test_late_answer_to_a_stop_of_an_earlier_incarnation),
    cmocka_unit_test (test_stop_answered_while_the_call_is_open),
    cmocka_unit_test (
        test_start_executed_after_a_stop_of_an_earlier_incarnation),
    cmocka_unit_test (test_start_executed_after_two_restarts),
    cmocka_unit_test (test_start_with_a_ticket_does_not_wait),
    cmocka_unit_test (test_overtaken_report_after_an_answered_stop),
    cmocka_unit_test (test_lapsed_lease_after_a_restart),
    cmocka_unit_test (test_report_without_all_ends),
    cmocka_unit_test (test_start_refused_as_old_has_run),
    cmocka_unit_test (test_failed_ends_of_runs_that_were_let_go),
    cmocka_unit_test (test_failed_end_of_a_run_that_was_let_go_counts_once),
    cmocka_unit_test (test_done_end_of_a_run_that_was_let_go),
    cmocka_unit_test (
        test_lapsed_lease_of_a_start_that_a_newer_incarnation_may_hold),
    cmocka_unit_test (test_lapsed_lease_of_a_worker_without_an_entry),
    cmocka_unit_test (test_lapsed_lease_of_a_start_of_a_known_incarnation),
    cmocka_unit_test (test_entry_removed_and_listed_again),
    cmocka_unit_test (test_removed_entry_of_a_draining_worker_that_goes_on),
    cmocka_unit_test (test_removed_entry_before_a_draining_worker_may_leave),
    cmocka_unit_test (test_worker_left_with_an_open_start),
    cmocka_unit_test (test_another_worker_at_the_address),
    cmocka_unit_test (test_overtaken_report_lacks_an_adopted_run),
    cmocka_unit_test (test_acknowledgement_after_an_overtaken_report),
    cmocka_unit_test (test_overtaken_report_shows_a_run_that_has_ended),
    cmocka_unit_test (test_refusal_of_a_start_that_a_report_shows),
    cmocka_unit_test (test_refusal_after_a_stop_was_ordered),
    cmocka_unit_test (test_done_end_after_a_lapsed_lease),
    cmocka_unit_test (test_report_of_an_unknown_incarnation),
    cmocka_unit_test (test_placement_after_the_later_of_two_pauses),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
