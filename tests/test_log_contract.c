/**
 * @file
 * One table of cases for the log interface, run against the in-memory log and
 * against the HTTP client with a small HTTP log in the same process.
 */
#include "tst_http_log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MOST_KEPT 8
#define CALL_US UINT64_C (400000)

struct bench
{
  const char *name;
  bool http;
  struct lc_log *log;
  struct tst_log memory;
  struct ev_loop *loop;
  struct tst_http_log server;
  struct hc_client client;
  struct lc_http http_log;
  uint32_t appended; /**< calls of `done` */
  struct lc_append_result append;
  uint32_t answered;
  struct lc_read_result read;
  uint64_t offsets[MOST_KEPT];
  size_t lengths[MOST_KEPT];
  char first_byte[MOST_KEPT];
};

static void
setup (struct bench *b, bool http)
{
  struct cyc_findings found = { 0 };

  memset (b, 0, sizeof *b);
  b->http = http;
  tst_log_setup (&b->memory, NULL);
  b->log = &b->memory.log;
  if (!http)
    return;
  b->loop = ev_loop_new (EVFLAG_AUTO);
  tst_http_log_setup (&b->server, b->loop);
  assert_true (
      hc_setup (&b->client, &(struct hc_desc){ .loop = b->loop }, &found));
  assert_true (
      lc_http_setup (&b->http_log,
                     &(struct lc_http_desc){ .client = &b->client,
                                             .url = cyc_str_of (b->server.url),
                                             .max_calls = 4 },
                     &found));
  b->log = &b->http_log.log;
}

static void
teardown (struct bench *b)
{
  tst_log_shutdown (&b->memory);
  if (!b->http)
    return;
  lc_http_shutdown (&b->http_log);
  hc_shutdown (&b->client);
  tst_http_log_shutdown (&b->server);
  ev_loop_destroy (b->loop);
}

static struct tst_store *
store (struct bench *b)
{
  return b->http ? &b->server.store : b->memory.store;
}

static void
fault (struct bench *b, enum tst_fault kind)
{
  if (b->http && kind == TST_DOWN)
    hs_stop_listening (&b->server.server);
  else if (b->http)
    b->server.fault = kind;
  else if (kind == TST_DOWN)
    b->memory.down = true;
  else
    tst_log_fault (&b->memory, kind, 1);
}

static void
add (struct bench *b, const char *record)
{
  if (b->http)
    tst_http_log_add (&b->server, CYC_STR ("jobs"), cyc_str_of (record));
  else
    tst_store_append (b->memory.store, CYC_STR ("jobs"), cyc_str_of (record));
}

static void
on_append (void *user, const struct lc_append_result *result)
{
  struct bench *b = user;

  b->appended++;
  b->append = *result;
}

static void
on_read (void *user, const struct lc_read_result *result)
{
  struct bench *b = user;

  b->answered++;
  b->read = *result;
  for (uint32_t i = 0; i < result->count && i < MOST_KEPT; i++)
    {
      b->offsets[i] = result->records[i].offset;
      b->lengths[i] = result->records[i].data.len;
      b->first_byte[i] = 0;
      if (b->lengths[i] > 0)
        b->first_byte[i] = result->records[i].data.data[0];
    }
}

/* Runs until @p calls answers arrived, or twice the time limit of a call has
   passed. */
static void
run (struct bench *b, uint32_t calls)
{
  uint64_t end = hc_now_us () + 2 * CALL_US;

  if (!b->http)
    tst_log_run (&b->memory);
  while (b->http && b->appended + b->answered < calls && hc_now_us () < end)
    {
      ev_run (b->loop, EVRUN_NOWAIT);
      ev_sleep (0.0005);
    }
  assert_int_equal (b->appended + b->answered, calls);
}

static bool
begin_append (struct bench *b, struct cyc_str record)
{
  return lc_append (b->log,
                    &(struct lc_append){ .stream = CYC_STR ("jobs"),
                                         .record = record,
                                         .deadline_us = hc_now_us () + CALL_US,
                                         .done = on_append,
                                         .user = b });
}

static bool
begin_read (struct bench *b, uint64_t from, uint32_t max, uint32_t wait_ms)
{
  return lc_read (b->log,
                  &(struct lc_read){ .stream = CYC_STR ("jobs"),
                                     .from = from,
                                     .max = max,
                                     .wait_ms = wait_ms,
                                     .deadline_us = hc_now_us () + CALL_US,
                                     .done = on_read,
                                     .user = b });
}

static void
appends_are_numbered_from_zero (struct bench *b)
{
  for (uint32_t i = 0; i < 3; i++)
    {
      assert_true (begin_append (b, CYC_STR ("abc")));
      run (b, i + 1);
      assert_int_equal (b->append.outcome, LC_OK);
      assert_int_equal (b->append.offset, i);
    }
}

static void
records_are_read_back_unchanged (struct bench *b)
{
  static char bytes[65536];

  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (char)(i * 7);
  assert_true (begin_append (
      b, (struct cyc_str){ .data = bytes, .len = sizeof bytes }));
  run (b, 1);
  assert_true (begin_append (b, (struct cyc_str){ 0 }));
  run (b, 2);
  assert_true (begin_read (b, 0, 8, 0));
  run (b, 3);
  assert_int_equal (b->read.outcome, LC_OK);
  assert_int_equal (b->read.count, 2);
  assert_int_equal (b->read.next, 2);
  assert_int_equal (b->lengths[0], sizeof bytes);
  assert_int_equal (b->lengths[1], 0);
}

static void
reads_begin_at_from_and_end_at_max (struct bench *b)
{
  for (int i = 0; i < 5; i++)
    add (b, "xyz");
  assert_true (begin_read (b, 1, 3, 0));
  run (b, 1);
  assert_int_equal (b->read.count, 3);
  assert_int_equal (b->offsets[0], 1);
  assert_int_equal (b->offsets[2], 3);
  assert_int_equal (b->read.next, 5);
  assert_int_equal (b->read.oldest, 0);
  assert_int_equal (b->first_byte[0], 'x');
}

static void
a_read_at_the_head_is_empty (struct bench *b)
{
  add (b, "xyz");
  assert_true (begin_read (b, 1, 8, 50));
  run (b, 1);
  assert_int_equal (b->read.outcome, LC_OK);
  assert_int_equal (b->read.count, 0);
  assert_int_equal (b->read.next, 1);
}

static void
a_long_poll_returns_a_record_that_arrives (struct bench *b)
{
  assert_true (begin_read (b, 0, 8, 300));
  for (int i = 0; b->http && i < 20; i++)
    {
      ev_run (b->loop, EVRUN_NOWAIT);
      ev_sleep (0.001);
    }
  add (b, "xyz");
  run (b, 1);
  assert_int_equal (b->read.count, 1);
  assert_int_equal (b->read.next, 1);
}

static void
a_trimmed_stream_tells_the_oldest_offset (struct bench *b)
{
  for (int i = 0; i < 5; i++)
    add (b, "xyz");
  tst_store_trim (store (b), CYC_STR ("jobs"), 3);
  assert_true (begin_read (b, 1, 8, 0));
  run (b, 1);
  assert_int_equal (b->read.outcome, LC_OK);
  assert_int_equal (b->read.oldest, 3);
  assert_int_equal (b->read.next, 5);
}

static void
an_answer_lost_after_the_write_is_maybe (struct bench *b)
{
  fault (b, TST_LOST_AFTER_WRITE);
  assert_true (begin_append (b, CYC_STR ("abc")));
  run (b, 1);
  assert_int_equal (b->append.outcome, LC_UNKNOWN);
  assert_int_equal (tst_stream (store (b), CYC_STR ("jobs"))->next, 1);
}

static void
an_answer_lost_before_the_write_is_maybe (struct bench *b)
{
  fault (b, TST_LOST_BEFORE_WRITE);
  assert_true (begin_append (b, CYC_STR ("abc")));
  run (b, 1);
  assert_int_equal (b->append.outcome, LC_UNKNOWN);
  assert_int_equal (tst_stream (store (b), CYC_STR ("jobs"))->next, 0);
}

static void
a_refused_append_failed (struct bench *b)
{
  fault (b, TST_REFUSED);
  assert_true (begin_append (b, CYC_STR ("abc")));
  run (b, 1);
  assert_int_equal (b->append.outcome, LC_FAILED);
  assert_int_equal (tst_stream (store (b), CYC_STR ("jobs"))->next, 0);
}

static void
a_log_that_is_down_fails_both (struct bench *b)
{
  fault (b, TST_DOWN);
  assert_true (begin_append (b, CYC_STR ("abc")));
  assert_true (begin_read (b, 0, 8, 0));
  run (b, 2);
  assert_int_equal (b->append.outcome, LC_FAILED);
  assert_int_equal (b->read.outcome, LC_FAILED);
  assert_int_equal (tst_stream (store (b), CYC_STR ("jobs"))->next, 0);
}

static void
two_writers_get_different_offsets (struct bench *b)
{
  assert_true (begin_append (b, CYC_STR ("abc")));
  assert_true (begin_append (b, CYC_STR ("abc")));
  run (b, 2);
  add (b, "xyz");
  assert_true (begin_read (b, 0, 8, 0));
  run (b, 3);
  assert_int_equal (b->read.count, 3);
  assert_int_equal (b->first_byte[0], 'a');
  assert_int_equal (b->first_byte[2], 'x');
}

static void
calls_over_the_limit_are_not_begun (struct bench *b)
{
  uint32_t begun = 0;

  while (begun <= TST_CALLS && begin_append (b, CYC_STR ("abc")))
    begun++;
  assert_in_range (begun, 1, TST_CALLS);
  run (b, begun);
  assert_true (begin_append (b, CYC_STR ("abc")));
  run (b, begun + 1);
}

typedef void contract_case (struct bench *b);

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

/* Guards against tests over the in-memory log that say nothing about the real
   client: both must behave alike. */
static void
contract (bool http)
{
  for (size_t i = 0; i < sizeof contract_cases / sizeof contract_cases[0]; i++)
    {
      static struct bench b;

      print_message ("  case %zu\n", i);
      setup (&b, http);
      contract_cases[i](&b);
      teardown (&b);
    }
}

static void
the_memory_log_keeps_the_contract (void **unused)
{
  (void)unused;
  contract (false);
}

static void
the_http_client_keeps_the_contract (void **unused)
{
  (void)unused;
  contract (true);
}

static const char record_twice[]
    = "{\"oldest\":0,\"next\":3,\"records\":[{\"offset\":1,\"data\":\"\"},"
      "{\"offset\":1,\"data\":\"\"}]}";

static const char *const no_records[] = {
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
  record_twice,
  "{\"offset\":-1}",
  "{\"offset\":\"1\"}",
};

/* Guards against a broken answer that is taken for records, or for a record
   that was written. */
static void
broken_answers_are_not_believed (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof no_records / sizeof no_records[0]; i++)
    {
      static struct bench b;

      print_message ("  %s\n", no_records[i]);
      setup (&b, true);
      b.server.raw = no_records[i];
      assert_true (begin_read (&b, 0, 8, 0));
      assert_true (begin_append (&b, CYC_STR ("abc")));
      run (&b, 2);
      assert_int_equal (b.read.outcome, LC_FAILED);
      assert_int_equal (b.append.outcome, LC_UNKNOWN);
      teardown (&b);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_memory_log_keeps_the_contract),
    cmocka_unit_test (the_http_client_keeps_the_contract),
    cmocka_unit_test (broken_answers_are_not_believed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
