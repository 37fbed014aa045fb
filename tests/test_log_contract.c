/**
 * @file
 * Contract of the log interface: one table of cases, run on the in-memory log
 * and on the HTTP client with a small HTTP log in the same process.
 */
#include "tst_http_log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MAX_KEPT_RECORDS 8
#define CALL_TIMEOUT_US UINT64_C (400000)

struct fixture
{
  const char *name;
  bool http;
  struct lc_log *log;
  struct tst_log memory;
  struct ev_loop *loop;
  struct tst_http_log server;
  struct hc_client client;
  struct lc_http http_log;
  uint32_t appends_answered; /**< number of callbacks */
  struct lc_append_result append;
  uint32_t reads_answered;
  struct lc_read_result read;
  uint64_t offsets[MAX_KEPT_RECORDS];
  size_t lengths[MAX_KEPT_RECORDS];
  char first_byte[MAX_KEPT_RECORDS];
};

static void
setup (struct fixture *f, bool http)
{
  struct cyc_findings found = { 0 };

  memset (f, 0, sizeof *f);
  f->http = http;
  tst_log_setup (&f->memory, NULL);
  f->log = &f->memory.log;
  if (!http)
    return;
  f->loop = ev_loop_new (EVFLAG_AUTO);
  tst_http_log_setup (&f->server, f->loop);
  assert_true (
      hc_setup (&f->client, &(struct hc_desc){ .loop = f->loop }, &found));
  assert_true (
      lc_http_setup (&f->http_log,
                     &(struct lc_http_desc){ .client = &f->client,
                                             .url = cyc_str_of (f->server.url),
                                             .max_calls = 4 },
                     &found));
  f->log = &f->http_log.log;
}

static void
teardown (struct fixture *f)
{
  tst_log_shutdown (&f->memory);
  if (!f->http)
    return;
  lc_http_shutdown (&f->http_log);
  hc_shutdown (&f->client);
  tst_http_log_shutdown (&f->server);
  ev_loop_destroy (f->loop);
}

static struct tst_store *
store_of (struct fixture *f)
{
  return f->http ? &f->server.store : f->memory.store;
}

static void
set_fault (struct fixture *f, enum tst_fault kind)
{
  if (f->http && kind == TST_DOWN)
    hs_stop_listening (&f->server.server);
  else if (f->http)
    f->server.fault = kind;
  else if (kind == TST_DOWN)
    f->memory.down = true;
  else
    tst_log_fault (&f->memory, kind, 1);
}

static void
append_by_other_writer (struct fixture *f, const char *record)
{
  if (f->http)
    tst_http_log_add (&f->server, CYC_STR ("jobs"), cyc_str_of (record));
  else
    tst_store_append (f->memory.store, CYC_STR ("jobs"), cyc_str_of (record));
}

static void
on_append (void *user, const struct lc_append_result *result)
{
  struct fixture *f = user;

  f->appends_answered++;
  f->append = *result;
}

static void
on_read (void *user, const struct lc_read_result *result)
{
  struct fixture *f = user;

  f->reads_answered++;
  f->read = *result;
  for (uint32_t i = 0; i < result->count && i < MAX_KEPT_RECORDS; i++)
    {
      f->offsets[i] = result->records[i].offset;
      f->lengths[i] = result->records[i].data.len;
      f->first_byte[i] = 0;
      if (f->lengths[i] > 0)
        f->first_byte[i] = result->records[i].data.data[0];
    }
}

/* Runs until @p calls answers have arrived in total, or twice the timeout of a
   call has elapsed. */
static void
run_until_answered (struct fixture *f, uint32_t calls)
{
  uint64_t end = hc_now_us () + 2 * CALL_TIMEOUT_US;

  if (!f->http)
    tst_log_run (&f->memory);
  while (f->http && f->appends_answered + f->reads_answered < calls
         && hc_now_us () < end)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      ev_sleep (0.0005);
    }
  assert_int_equal (f->appends_answered + f->reads_answered, calls);
}

static bool
begin_append (struct fixture *f, struct cyc_str record)
{
  return lc_append (f->log, &(struct lc_append){
                                .stream = CYC_STR ("jobs"),
                                .record = record,
                                .deadline_us = hc_now_us () + CALL_TIMEOUT_US,
                                .done = on_append,
                                .user = f });
}

static bool
begin_read (struct fixture *f, uint64_t from, uint32_t max, uint32_t wait_ms)
{
  return lc_read (
      f->log, &(struct lc_read){ .stream = CYC_STR ("jobs"),
                                 .from = from,
                                 .max = max,
                                 .wait_ms = wait_ms,
                                 .deadline_us = hc_now_us () + CALL_TIMEOUT_US,
                                 .done = on_read,
                                 .user = f });
}

static void
appends_are_numbered_from_zero (struct fixture *f)
{
  for (uint32_t i = 0; i < 3; i++)
    {
      assert_true (begin_append (f, CYC_STR ("abc")));
      run_until_answered (f, i + 1);
      assert_int_equal (f->append.outcome, LC_OK);
      assert_int_equal (f->append.offset, i);
    }
}

static void
records_are_read_back_unchanged (struct fixture *f)
{
  static char bytes[65536];

  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (char)(i * 7);
  assert_true (begin_append (
      f, (struct cyc_str){ .data = bytes, .len = sizeof bytes }));
  run_until_answered (f, 1);
  assert_true (begin_append (f, (struct cyc_str){ 0 }));
  run_until_answered (f, 2);
  assert_true (begin_read (f, 0, 8, 0));
  run_until_answered (f, 3);
  assert_int_equal (f->read.outcome, LC_OK);
  assert_int_equal (f->read.count, 2);
  assert_int_equal (f->read.next, 2);
  assert_int_equal (f->lengths[0], sizeof bytes);
  assert_int_equal (f->lengths[1], 0);
}

static void
reads_begin_at_from_and_end_at_max (struct fixture *f)
{
  for (int i = 0; i < 5; i++)
    append_by_other_writer (f, "xyz");
  assert_true (begin_read (f, 1, 3, 0));
  run_until_answered (f, 1);
  assert_int_equal (f->read.count, 3);
  assert_int_equal (f->offsets[0], 1);
  assert_int_equal (f->offsets[2], 3);
  assert_int_equal (f->read.next, 5);
  assert_int_equal (f->read.oldest, 0);
  assert_int_equal (f->first_byte[0], 'x');
}

static void
a_read_at_the_head_is_empty (struct fixture *f)
{
  append_by_other_writer (f, "xyz");
  assert_true (begin_read (f, 1, 8, 50));
  run_until_answered (f, 1);
  assert_int_equal (f->read.outcome, LC_OK);
  assert_int_equal (f->read.count, 0);
  assert_int_equal (f->read.next, 1);
}

static void
a_long_poll_returns_a_record_that_arrives (struct fixture *f)
{
  assert_true (begin_read (f, 0, 8, 300));
  for (int i = 0; f->http && i < 20; i++)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      ev_sleep (0.001);
    }
  append_by_other_writer (f, "xyz");
  run_until_answered (f, 1);
  assert_int_equal (f->read.count, 1);
  assert_int_equal (f->read.next, 1);
}

static void
a_trimmed_stream_tells_the_oldest_offset (struct fixture *f)
{
  for (int i = 0; i < 5; i++)
    append_by_other_writer (f, "xyz");
  tst_store_trim (store_of (f), CYC_STR ("jobs"), 3);
  assert_true (begin_read (f, 1, 8, 0));
  run_until_answered (f, 1);
  assert_int_equal (f->read.outcome, LC_OK);
  assert_int_equal (f->read.oldest, 3);
  assert_int_equal (f->read.next, 5);
}

static void
an_answer_lost_after_the_write_is_maybe (struct fixture *f)
{
  set_fault (f, TST_LOST_AFTER_WRITE);
  assert_true (begin_append (f, CYC_STR ("abc")));
  run_until_answered (f, 1);
  assert_int_equal (f->append.outcome, LC_UNKNOWN);
  assert_int_equal (tst_stream (store_of (f), CYC_STR ("jobs"))->next, 1);
}

static void
an_answer_lost_before_the_write_is_maybe (struct fixture *f)
{
  set_fault (f, TST_LOST_BEFORE_WRITE);
  assert_true (begin_append (f, CYC_STR ("abc")));
  run_until_answered (f, 1);
  assert_int_equal (f->append.outcome, LC_UNKNOWN);
  assert_int_equal (tst_stream (store_of (f), CYC_STR ("jobs"))->next, 0);
}

static void
a_refused_append_failed (struct fixture *f)
{
  set_fault (f, TST_REFUSED);
  assert_true (begin_append (f, CYC_STR ("abc")));
  run_until_answered (f, 1);
  assert_int_equal (f->append.outcome, LC_FAILED);
  assert_int_equal (tst_stream (store_of (f), CYC_STR ("jobs"))->next, 0);
}

static void
a_log_that_is_down_fails_both (struct fixture *f)
{
  set_fault (f, TST_DOWN);
  assert_true (begin_append (f, CYC_STR ("abc")));
  assert_true (begin_read (f, 0, 8, 0));
  run_until_answered (f, 2);
  assert_int_equal (f->append.outcome, LC_FAILED);
  assert_int_equal (f->read.outcome, LC_FAILED);
  assert_int_equal (tst_stream (store_of (f), CYC_STR ("jobs"))->next, 0);
}

static void
two_writers_get_different_offsets (struct fixture *f)
{
  assert_true (begin_append (f, CYC_STR ("abc")));
  assert_true (begin_append (f, CYC_STR ("abc")));
  run_until_answered (f, 2);
  append_by_other_writer (f, "xyz");
  assert_true (begin_read (f, 0, 8, 0));
  run_until_answered (f, 3);
  assert_int_equal (f->read.count, 3);
  assert_int_equal (f->first_byte[0], 'a');
  assert_int_equal (f->first_byte[2], 'x');
}

static void
calls_over_the_limit_are_not_begun (struct fixture *f)
{
  uint32_t begun = 0;

  while (begun <= TST_MAX_CALLS && begin_append (f, CYC_STR ("abc")))
    begun++;
  assert_in_range (begun, 1, TST_MAX_CALLS);
  run_until_answered (f, begun);
  assert_true (begin_append (f, CYC_STR ("abc")));
  run_until_answered (f, begun + 1);
}

typedef void contract_case (struct fixture *f);

static contract_case *const contract_cases[] = {
  appends_are_numbered_from_zero,
  records_are_read_back_unchanged,
  reads_begin_at_from_and_end_at_max,
  a_read_at_the_head_is_empty,
  a_long_poll_returns_a_record_that_arrives,
  a_trimmed_stream_tells_the_oldest_offset,
  an_answer_lost_after_the_write_is_maybe,
  an_answer_lost_before_the_write_is_maybe,
  a_refused_append_failed,
  a_log_that_is_down_fails_both,
  two_writers_get_different_offsets,
  calls_over_the_limit_are_not_begun,
};

/* Tests that use the in-memory log hold for the HTTP client only if both
   behave alike. */
static void
check_contract (bool http)
{
  for (size_t i = 0; i < sizeof contract_cases / sizeof contract_cases[0]; i++)
    {
      static struct fixture f;

      print_message ("  case %zu\n", i);
      setup (&f, http);
      contract_cases[i](&f);
      teardown (&f);
    }
}

static void
the_memory_log_keeps_the_contract (void **unused)
{
  (void)unused;
  check_contract (false);
}

static void
the_http_client_keeps_the_contract (void **unused)
{
  (void)unused;
  check_contract (true);
}

static const char duplicate_offset_answer[]
    = "{\"oldest\":0,\"next\":3,\"records\":[{\"offset\":1,\"data\":\"\"},"
      "{\"offset\":1,\"data\":\"\"}]}";

static const char *const malformed_answers[] = {
  "",
  "[]",
  "{",
  "{}",
  "{\"oldest\":0,\"next\":1}",
  "{\"oldest\":0,\"next\":1,\"records\":{}}",
  "{\"oldest\":-1,\"next\":1,\"records\":[]}",
  "{\"oldest\":\"0\",\"next\":1,\"records\":[]}",
  "{\"oldest\":0,\"next\":1,\"records\":[7]}",
  "{\"oldest\":0,\"next\":1,\"records\":[{\"offset\":0}]}",
  "{\"oldest\":0,\"next\":1,\"records\":[{\"offset\":0,\"data\":\"*\"}]}",
  "{\"oldest\":0,\"next\":1,\"records\":[{\"offset\":1,\"data\":\"\"}]}",
  duplicate_offset_answer,
  "{\"offset\":-1}",
  "{\"offset\":\"1\"}",
};

/* Guards against a malformed answer that is read as a list of records, or as
   the confirmation that a record was written. */
static void
malformed_answers_are_not_accepted (void **unused)
{
  (void)unused;
  for (size_t i = 0;
       i < sizeof malformed_answers / sizeof malformed_answers[0]; i++)
    {
      static struct fixture f;

      print_message ("  %s\n", malformed_answers[i]);
      setup (&f, true);
      f.server.forced_body = malformed_answers[i];
      assert_true (begin_read (&f, 0, 8, 0));
      assert_true (begin_append (&f, CYC_STR ("abc")));
      run_until_answered (&f, 2);
      assert_int_equal (f.read.outcome, LC_FAILED);
      assert_int_equal (f.append.outcome, LC_UNKNOWN);
      teardown (&f);
    }
}

/* An append that the log had stored was stored again, or called certainly not
   appended, as the HTTP client sent a second copy of it. */
static void
append_was_repeated_by_the_http_client (void **unused)
{
  (void)unused;
  for (int listens = 0; listens < 2; listens++)
    {
      static struct fixture f;

      setup (&f, true);
      assert_true (begin_append (&f, CYC_STR ("abc")));
      run_until_answered (&f, 1);
      f.server.lost_closes = true;
      set_fault (&f, TST_LOST_AFTER_WRITE);
      if (!listens)
        set_fault (&f, TST_DOWN);
      assert_true (begin_append (&f, CYC_STR ("abc")));
      run_until_answered (&f, 2);
      print_message (
          "  listens %d: outcome %d, next %u\n", listens,
          (int)f.append.outcome,
          (unsigned)tst_stream (store_of (&f), CYC_STR ("jobs"))->next);
      assert_int_equal (f.append.outcome, LC_UNKNOWN);
      assert_int_equal (tst_stream (store_of (&f), CYC_STR ("jobs"))->next, 2);
      teardown (&f);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_memory_log_keeps_the_contract),
    cmocka_unit_test (the_http_client_keeps_the_contract),
    cmocka_unit_test (malformed_answers_are_not_accepted),
    cmocka_unit_test (append_was_repeated_by_the_http_client),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
