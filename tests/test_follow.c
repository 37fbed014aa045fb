/**
 * @file
 * Follower of a stream: appends whose answers are late, lost or refused, and
 * reads despite trims, failures and several writers.
 */
#include "follow.h"
#include "tst_memory_log.h"

#include <cyclamendrum/record.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define STEP_US UINT64_C (10000)
#define APPEND_TIMEOUT_US UINT64_C (2000000)

struct harness
{
  struct tst_log log;
  struct fo_follow fo;
  uint64_t now_us;
  uint32_t records;     /**< number of records read */
  uint64_t last_offset; /**< of the newest record read */
  uint32_t ended;       /**< calls of `done` */
  enum fo_outcome outcome;
  uint64_t ended_offset;   /**< offset reported by `done` */
  uint32_t records_at_end; /**< records read before `done` */
  uint64_t trimmed_next;
  uint64_t trimmed_oldest;
  bool continue_after_trim;
  uint32_t reachable_changes;
};

static void
on_record (void *user, uint64_t offset, struct cyc_str data)
{
  struct harness *h = user;

  (void)data;
  h->records++;
  h->last_offset = offset;
}

static bool
on_trimmed (void *user, uint64_t next, uint64_t oldest)
{
  struct harness *h = user;

  h->trimmed_next = next;
  h->trimmed_oldest = oldest;
  return h->continue_after_trim;
}

static void
on_reachable (void *user, bool reachable)
{
  struct harness *h = user;

  (void)reachable;
  h->reachable_changes++;
}

static void
on_done (void *user, enum fo_outcome outcome, uint64_t offset)
{
  struct harness *h = user;

  h->ended++;
  h->outcome = outcome;
  h->ended_offset = offset;
  h->records_at_end = h->records;
}

static void
setup (struct harness *h)
{
  struct cyc_findings found = { 0 };
  struct fo_desc desc = { .log = &h->log.log,
                          .stream = CYC_STR ("jobs"),
                          .timeout_ms = 500,
                          .record = on_record,
                          .trimmed = on_trimmed,
                          .reachable = on_reachable,
                          .user = h };

  memset (h, 0, sizeof *h);
  h->now_us = STEP_US;
  tst_log_setup (&h->log, NULL);
  assert_true (fo_setup (&h->fo, &desc, &found));
}

static void
teardown (struct harness *h)
{
  tst_log_shutdown (&h->log);
  fo_shutdown (&h->fo);
}

static void
run_for (struct harness *h, uint64_t for_us)
{
  for (uint64_t end = h->now_us + for_us; h->now_us < end;
       h->now_us += STEP_US)
    {
      fo_tick (&h->fo, h->now_us);
      tst_log_run (&h->log);
    }
}

static struct cyc_str
make_record (uint8_t id)
{
  struct cyc_digest digest = { { id } };
  struct cyc_str record;

  assert_true (cyc_rec_key_withdraw (&(struct cyc_id128){ { id } },
                                     CYC_STR ("vm-1"), &digest, &record));
  return record;
}

static void
append_record (struct harness *h, uint8_t id)
{
  struct cyc_str record = make_record (id);
  struct fo_append call = { .record_id = { { id } },
                            .record = record,
                            .deadline_us = h->now_us + APPEND_TIMEOUT_US,
                            .done = on_done,
                            .user = h };

  assert_true (fo_append (&h->fo, &call));
  free ((char *)record.data);
}

/* Appends a record of another writer. */
static void
add_record_of_other_writer (struct harness *h, uint8_t id)
{
  struct cyc_str record = make_record (id);

  tst_store_append (h->log.store, CYC_STR ("jobs"), record);
  free ((char *)record.data);
}

#define ALWAYS UINT32_MAX

struct append_case
{
  const char *name;
  enum tst_fault fault;
  uint32_t fault_calls;    /**< number of first appends that get the fault */
  uint32_t delay;          /**< of each call, in steps of STEP_US */
  uint32_t down_from_step; /**< first step in which the log is down */
  uint32_t down_to_step;   /**< first step in which it is up again */
  enum fo_outcome outcome; /**< expected */
  uint32_t stored;         /**< records in the stream at the end */
  uint32_t max_appends;    /**< of append calls */
  bool reads_down;
};

static const struct append_case append_cases[] = {
  { "no fault", TST_NO_FAULT, 0, 0, 0, 0, FO_CONFIRMED, 1, 1 },
  { "slow log", TST_NO_FAULT, 0, 15, 0, 0, FO_CONFIRMED, 1, 1 },
  { "answer lost after the write", TST_LOST_AFTER_WRITE, 1, 0, 0, 0,
    FO_CONFIRMED, 1, 1 },
  { "answer lost before the write", TST_LOST_BEFORE_WRITE, 1, 0, 0, 0,
    FO_CONFIRMED, 1, 2 },
  { "refused once", TST_REFUSED, 1, 0, 0, 0, FO_CONFIRMED, 1, 2 },
  { "refused always", TST_REFUSED, ALWAYS, 0, 0, 0, FO_NOT_APPENDED, 0, 20 },
  { "log down for good", TST_NO_FAULT, 0, 0, 0, ALWAYS, FO_NOT_APPENDED, 0,
    20 },
  { "log down for a while", TST_NO_FAULT, 0, 0, 0, 50, FO_CONFIRMED, 1, 20 },
  { "written, answer lost, no read answered", TST_LOST_AFTER_WRITE, 1, 0, 0, 0,
    FO_UNKNOWN, 1, 1, true },
  { "answer lost before the write, no read answered", TST_LOST_BEFORE_WRITE, 1,
    0, 0, 0, FO_UNKNOWN, 0, 1, true },
  { "written and answered, no read answered", TST_NO_FAULT, 0, 0, 0, 0,
    FO_UNKNOWN, 1, 1, true },
  { "no answer before the deadline", TST_NO_FAULT, 0, 250, 0, 0, FO_UNKNOWN, 1,
    1 },
};

/* Guards against an append that is reported as not appended although it may
   have taken effect, that is reported twice, or that is retried although its
   record is in the stream. */
static void
appends_end_once_with_the_right_outcome (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof append_cases / sizeof append_cases[0]; i++)
    {
      const struct append_case *ac = &append_cases[i];
      struct harness h;

      print_message ("  %s\n", ac->name);
      setup (&h);
      fo_start (&h.fo, 0);
      run_for (&h, STEP_US);
      h.log.delay = ac->delay;
      tst_log_fault (&h.log, ac->fault, ac->fault_calls);
      h.log.reads_down = ac->reads_down;
      append_record (&h, 1);
      for (uint32_t step = 0; step < 600; step++)
        {
          h.log.down = step >= ac->down_from_step && step < ac->down_to_step;
          run_for (&h, STEP_US);
        }
      assert_int_equal (h.ended, 1);
      assert_int_equal (h.outcome, ac->outcome);
      assert_int_equal (tst_stream (h.log.store, CYC_STR ("jobs"))->next,
                        ac->stored);
      assert_in_range (h.log.appends, 1, ac->max_appends);
      if (ac->outcome == FO_CONFIRMED)
        {
          assert_int_equal (h.ended_offset, 0);
          assert_int_equal (h.records_at_end, 1);
        }
      teardown (&h);
    }
}

/* Guards against a refusal that hides an earlier lost answer: the first
   attempt may still take effect. */
static void
refused_after_a_lost_answer_is_not_reported_as_not_done (void **unused)
{
  struct harness h;

  (void)unused;
  setup (&h);
  fo_start (&h.fo, 0);
  run_for (&h, STEP_US);
  tst_log_fault (&h.log, TST_LOST_BEFORE_WRITE, 1);
  append_record (&h, 1);
  run_for (&h, STEP_US);
  tst_log_fault (&h.log, TST_REFUSED, ALWAYS);
  run_for (&h, APPEND_TIMEOUT_US);
  assert_int_equal (h.ended, 1);
  assert_int_equal (h.outcome, FO_UNKNOWN);
  teardown (&h);
}

/* Guards against lost or repeated records with two writers. */
static void
two_writers_are_read_in_order (void **unused)
{
  struct harness h;

  (void)unused;
  setup (&h);
  fo_start (&h.fo, 0);
  for (uint8_t id = 1; id < 100; id += 2)
    {
      append_record (&h, id);
      add_record_of_other_writer (&h, id + 1);
      run_for (&h, STEP_US);
    }
  run_for (&h, 10 * STEP_US);
  assert_int_equal (h.ended, 50);
  assert_int_equal (h.records, 100);
  assert_int_equal (h.last_offset, 99);
  assert_true (fo_at_head (&h.fo));
  teardown (&h);
}

/* Guards against a gap that is not reported, and against a follower that
   continues although `trimmed` returned false. */
static void
a_trim_beyond_the_position_is_reported (void **unused)
{
  struct harness h;

  (void)unused;
  setup (&h);
  for (uint8_t id = 1; id <= 20; id++)
    add_record_of_other_writer (&h, id);
  fo_start (&h.fo, 3);
  tst_store_trim (h.log.store, CYC_STR ("jobs"), 7);
  run_for (&h, 5 * STEP_US);
  assert_int_equal (h.trimmed_next, 3);
  assert_int_equal (h.trimmed_oldest, 7);
  assert_int_equal (h.records, 0);
  assert_false (fo_at_head (&h.fo));
  h.continue_after_trim = true;
  fo_start (&h.fo, 3);
  run_for (&h, 5 * STEP_US);
  assert_int_equal (h.records, 13);
  assert_int_equal (h.last_offset, 19);
  assert_int_equal (fo_oldest (&h.fo), 7);
  h.trimmed_oldest = 0;
  fo_start (&h.fo, UINT64_MAX);
  run_for (&h, 5 * STEP_US);
  assert_int_equal (h.trimmed_oldest, 0);
  assert_int_equal (h.records, 26);
  teardown (&h);
}

/* Guards against a freshness time that advances while the log does not answer,
   or that is later than the request. */
static void
freshness_does_not_advance_while_the_log_is_down (void **unused)
{
  struct harness h;
  uint64_t fresh_us;

  (void)unused;
  setup (&h);
  fo_start (&h.fo, 0);
  assert_int_equal (fo_fresh_us (&h.fo), 0);
  run_for (&h, 10 * STEP_US);
  assert_true (fo_reachable (&h.fo));
  fresh_us = fo_fresh_us (&h.fo);
  assert_int_equal (fresh_us, h.now_us - STEP_US);
  h.log.delay = 5;
  run_for (&h, 2 * STEP_US);
  assert_true (fo_fresh_us (&h.fo) <= h.now_us - STEP_US);
  h.log.delay = 0;
  run_for (&h, 10 * STEP_US);
  h.log.down = true;
  run_for (&h, STEP_US);
  fresh_us = fo_fresh_us (&h.fo);
  run_for (&h, 1000000);
  assert_false (fo_reachable (&h.fo));
  assert_int_equal (fo_fresh_us (&h.fo), fresh_us);
  h.log.down = false;
  run_for (&h, 2000000);
  assert_true (fo_reachable (&h.fo));
  assert_true (fo_fresh_us (&h.fo) > fresh_us);
  assert_int_equal (h.reachable_changes, 3);
  teardown (&h);
}

/* Guards against a freshness time that is taken from the answer: a record may
   have been appended while the answer was in transit. */
static void
freshness_is_dated_by_the_request_time (void **unused)
{
  struct harness h;

  (void)unused;
  setup (&h);
  fo_start (&h.fo, 0);
  h.log.delay = 20;
  run_for (&h, 25 * STEP_US);
  assert_int_equal (fo_fresh_us (&h.fo), STEP_US);
  teardown (&h);
}

/* Guards against a follower that hangs on a batch that is too large for the
   client, that reports the head after a partial read, or that accepts a log
   that lost its tail. */
static void
long_batches_are_halved_until_they_pass (void **unused)
{
  struct harness h;

  (void)unused;
  setup (&h);
  for (uint8_t id = 1; id <= 200; id++)
    add_record_of_other_writer (&h, id);
  h.log.max_read_records = 3;
  fo_start (&h.fo, 0);
  while (h.records == 0)
    run_for (&h, STEP_US);
  assert_false (fo_at_head (&h.fo));
  assert_int_equal (fo_fresh_us (&h.fo), 0);
  run_for (&h, 60000000);
  assert_int_equal (h.records, 200);
  h.log.max_read_records = 0;
  tst_stream (h.log.store, CYC_STR ("jobs"))->next = 150;
  run_for (&h, 100 * STEP_US);
  assert_false (fo_at_head (&h.fo));
  assert_int_equal (h.records, 200);
  tst_stream (h.log.store, CYC_STR ("jobs"))->next = 200;
  teardown (&h);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (appends_end_once_with_the_right_outcome),
    cmocka_unit_test (refused_after_a_lost_answer_is_not_reported_as_not_done),
    cmocka_unit_test (two_writers_are_read_in_order),
    cmocka_unit_test (a_trim_beyond_the_position_is_reported),
    cmocka_unit_test (freshness_does_not_advance_while_the_log_is_down),
    cmocka_unit_test (freshness_is_dated_by_the_request_time),
    cmocka_unit_test (long_batches_are_halved_until_they_pass),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
