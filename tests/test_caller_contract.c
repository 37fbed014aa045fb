/**
 * @file
 * The HTTP interface for callers: tables of inputs, target faults and log
 * faults with the reply that each must give. The gateways run in the test
 * process with a fake log, fake targets and a fake domain owner.
 */
#include "tst_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define FIRST_ATTEMPT_HEADER "First-Attempt: 1"
static struct tst_fixture fixture;

struct input_case
{
  const char *label;
  struct tst_call call;
  long status;
  const char *outcome;
  uint32_t starts;
};

static const struct input_case input_cases[] = {
  { "a valid request",
    { HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "body" },
    200,
    "answer",
    1 },
  { "an open queue needs no key",
    { HC_POST, TST_REQUESTS_PATH ("menu"), NULL, { 0 }, "x" },
    200,
    "answer",
    1 },
  { "an open queue takes another team's key",
    { HC_POST, TST_REQUESTS_PATH ("menu"), "orders-key", { 0 }, "x" },
    200,
    "answer",
    1 },
  { "an open queue refuses an invalid key",
    { HC_POST, TST_REQUESTS_PATH ("menu"), "wrong", { 0 }, "x" },
    401,
    "not-run",
    0 },
  { "no key",
    { HC_POST, TST_REQUESTS_PATH ("round-plan"), NULL, { 0 }, "x" },
    401,
    "not-run",
    0 },
  { "unknown key",
    { HC_POST, TST_REQUESTS_PATH ("round-plan"), "wrong", { 0 }, "x" },
    401,
    "not-run",
    0 },
  { "key of another team",
    { HC_POST, TST_REQUESTS_PATH ("round-plan"), "stock-key", { 0 }, "x" },
    403,
    "not-run",
    0 },
  { "authorization of another scheme",
    { HC_POST,
      TST_REQUESTS_PATH ("round-plan"),
      NULL,
      { "Authorization: Basic a" },
      0 },
    401,
    "not-run",
    0 },
  { "unknown queue",
    { HC_POST, TST_REQUESTS_PATH ("nothing"), "orders-key", { 0 }, "x" },
    404,
    "not-run",
    0 },
  { "queue name outside the alphabet",
    { HC_POST, TST_REQUESTS_PATH ("A%20b"), "orders-key", { 0 }, "x" },
    404,
    "not-run",
    0 },
  { "unknown path",
    { HC_POST, "/v1/other", "orders-key", { 0 }, "x" },
    404,
    "not-run",
    0 },
  { "wrong method",
    { HC_GET, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, NULL },
    405,
    "not-run",
    0 },
  { "request for a batch queue",
    { HC_POST, TST_REQUESTS_PATH ("tally"), "stock-key", { 0 }, "x" },
    409,
    "not-run",
    0 },
  { "job for a service queue",
    { HC_POST, TST_JOBS_PATH ("round-plan"), "orders-key", { 0 }, "" },
    409,
    "not-run",
    0 },
  { "deadline that is no number",
    { HC_POST,
      TST_REQUESTS_PATH ("round-plan"),
      "orders-key",
      { "Deadline-Ms: soon" },
      "x" },
    400,
    "not-run",
    0 },
  { "deadline that has passed",
    { HC_POST,
      TST_REQUESTS_PATH ("round-plan"),
      "orders-key",
      { "Deadline-Ms: 1000" },
      "x" },
    504,
    "not-run",
    0 },
  { "once-only request without its key",
    { HC_POST, TST_REQUESTS_PATH ("order-check"), "orders-key", { 0 }, "x" },
    400,
    "not-run",
    0 },
  { "once-only request with a key that is not printable",
    { HC_POST,
      TST_REQUESTS_PATH ("order-check"),
      "orders-key",
      { "Idempotency-Key: a\x7f" },
      "x" },
    400,
    "not-run",
    0 },
  { "once-only request",
    { HC_POST,
      TST_REQUESTS_PATH ("order-check"),
      "orders-key",
      { "Idempotency-Key: a" },
      "x" },
    200,
    "answer",
    1 },
  { "job with tasks out of range",
    { HC_POST, TST_JOBS_PATH ("tally"), "stock-key", { 0 }, "{\"tasks\":0}" },
    400,
    "not-run",
    0 },
  { "job with a body that is no object",
    { HC_POST, TST_JOBS_PATH ("tally"), "stock-key", { 0 }, "[1]" },
    400,
    "not-run",
    0 },
  { "job with an unknown member",
    { HC_POST, TST_JOBS_PATH ("tally"), "stock-key", { 0 }, "{\"task\":3}" },
    400,
    "not-run",
    0 },
  { "job",
    { HC_POST, TST_JOBS_PATH ("tally"), "stock-key", { 0 }, "{\"tasks\":3}" },
    202,
    "answer",
    0 },
  { "gang job",
    { HC_POST, TST_JOBS_PATH ("survey"), "stock-key", { 0 }, "" },
    202,
    "answer",
    0 },
  { "unknown job",
    { HC_GET,
      "/v1/jobs/00112233445566778899aabbccddeeff",
      "stock-key",
      { 0 },
      NULL },
    404,
    "not-run",
    0 },
  { "malformed job id",
    { HC_GET, "/v1/jobs/zz", "stock-key", { 0 }, NULL },
    404,
    "not-run",
    0 },
};

/* Guards against invalid input that is accepted or crashes the gateway. */
static void
input_gets_a_clear_reply (void **state)
{
  (void)state;
  tst_fixture_setup (&fixture, &(struct tst_options){ 0 });
  for (size_t i = 0; i < sizeof input_cases / sizeof input_cases[0]; i++)
    {
      const struct input_case *row = &input_cases[i];
      uint32_t before = tst_count_starts (&fixture);
      struct tst_reply reply;

      tst_call (&fixture, 0, &row->call, &reply);
      tst_expect_reply (row->label, &reply, row->status, row->outcome);
      if (tst_count_starts (&fixture) - before != row->starts)
        fail_msg ("%s: targets started %u requests", row->label,
                  tst_count_starts (&fixture) - before);
    }
  tst_fixture_shutdown (&fixture);
}

struct fault_case
{
  const char *label;
  bool once;
  bool has_retry_budget; /**< earlier requests have earned retry budget */
  /** Behaviour of the first target that gets the request. */
  enum tst_behaviour behaviour;
  long status;
  const char *outcome;
  uint32_t starts; /**< times that a target started the request */
};

static const struct fault_case fault_cases[] = {
  { "dropped, budget", false, true, TST_DROP, 200, "answer", 2 },
  { "dropped", false, false, TST_DROP, 502, "unknown", 1 },
  { "not started, budget", false, true, TST_NOT_STARTED, 200, "answer", 1 },
  { "not started", false, false, TST_NOT_STARTED, 503, "not-run", 0 },
  { "silent, budget", false, true, TST_SILENT, 200, "answer", 2 },
  { "silent", false, false, TST_SILENT, 504, "unknown", 1 },
  { "error is an answer", false, true, TST_ERROR, 500, "answer", 1 },
  { "nothing listens, budget", false, true, TST_DOWN, 200, "answer", 1 },
  { "nothing listens", false, false, TST_DOWN, 502, "not-run", 0 },
  { "once-only, dropped", true, true, TST_DROP, 502, "unknown", 1 },
  { "once-only, silent", true, true, TST_SILENT, 504, "unknown", 1 },
  { "once-only, error", true, true, TST_ERROR, 500, "answer", 1 },
  { "once-only, not started, budget", true, true, TST_NOT_STARTED, 200,
    "answer", 1 },
  { "once-only, not started", true, false, TST_NOT_STARTED, 503, "not-run",
    0 },
  { "once-only, nothing listens, budget", true, true, TST_DOWN, 200, "answer",
    1 },
};

/* Sends requests that earn retry budget before the fault begins. */
static void
earn_retry_budget (void)
{
  static const struct tst_call call
      = { HC_POST, TST_REQUESTS_PATH ("menu"), NULL, { 0 }, "x" };
  struct tst_reply reply;

  for (uint32_t i = 0; i < 30; i++)
    tst_call (&fixture, 0, &call, &reply);
}

static void
run_fault_case (const struct fault_case *row)
{
  struct tst_call call = { HC_POST,
                           row->once ? TST_REQUESTS_PATH ("order-check")
                                     : TST_REQUESTS_PATH ("round-plan"),
                           "orders-key",
                           { "Idempotency-Key: f", FIRST_ATTEMPT_HEADER },
                           "x" };
  struct tst_reply reply;
  uint32_t before;

  tst_fixture_setup (&fixture,
                     &(struct tst_options){ .targets = 2,
                                            .retry_permille = 100,
                                            .request_max_ms = 1500 });
  if (row->has_retry_budget)
    earn_retry_budget ();
  before = tst_count_starts (&fixture);
  fixture.faulty_requests_left = 1;
  tst_set_behaviour (&fixture, 0, row->behaviour);
  if (row->behaviour == TST_DOWN)
    tst_send_targets (&fixture, 1);
  else
    tst_set_behaviour (&fixture, 1, row->behaviour);
  tst_begin_call (&fixture, 0, &call, &reply);
  tst_run_us (&fixture, 3000);
  if (row->behaviour == TST_DOWN && row->has_retry_budget)
    tst_send_targets (&fixture, 2);
  assert_true (tst_run_until (&fixture, &reply.done));
  tst_expect_reply (row->label, &reply, row->status, row->outcome);
  if (tst_count_starts (&fixture) - before != row->starts)
    fail_msg ("%s: targets started %u requests", row->label,
              tst_count_starts (&fixture) - before);
  tst_fixture_shutdown (&fixture);
}

/* Guards against the outcome "not-run" for a request that a target started, a
   once-only request that is sent again after it may have started, and retries
   without retry budget. */
static void
target_faults_have_true_outcomes (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof fault_cases / sizeof fault_cases[0]; i++)
    run_fault_case (&fault_cases[i]);
}

/* A request that a target had started was called "not-run", as the target
   refused a second copy that the HTTP client sent by itself. */
static void
started_request_was_called_not_run (void **state)
{
  static const struct tst_call call = { HC_POST,
                                        TST_REQUESTS_PATH ("round-plan"),
                                        "orders-key",
                                        { FIRST_ATTEMPT_HEADER },
                                        "x" };
  struct tst_reply reply;

  (void)state;
  tst_fixture_setup (&fixture, &(struct tst_options){ .targets = 1 });
  tst_call (&fixture, 0, &call, &reply);
  tst_expect_reply ("before", &reply, 200, "answer");
  fixture.faulty_requests_left = 2;
  tst_set_behaviour (&fixture, 0, TST_DROP_ONCE);
  tst_call (&fixture, 0, &call, &reply);
  assert_int_equal (tst_count_starts (&fixture), 2);
  tst_expect_reply ("dropped", &reply, 502, "unknown");
  tst_fixture_shutdown (&fixture);
}

struct log_case
{
  const char *label;
  const char *path;
  const char *key;
  const char *headers[2];
  struct fk_log_faults faults;
  uint32_t settle_ms; /**< time for the gateway to detect the fault */
  long status;
  const char *outcome;
  uint32_t starts;
};

static const struct log_case log_cases[] = {
  { "log down: repeatable requests are served",
    TST_REQUESTS_PATH ("round-plan"),
    "orders-key",
    { 0 },
    { .down = true },
    800,
    200,
    "answer",
    1 },
  { "log down: first attempt",
    TST_REQUESTS_PATH ("order-check"),
    "orders-key",
    { "Idempotency-Key: a", FIRST_ATTEMPT_HEADER },
    { .down = true },
    800,
    503,
    "not-run",
    0 },
  { "log down: possibly a later attempt",
    TST_REQUESTS_PATH ("order-check"),
    "orders-key",
    { "Idempotency-Key: a" },
    { .down = true },
    800,
    503,
    "unknown",
    0 },
  { "log down: job",
    TST_JOBS_PATH ("tally"),
    "stock-key",
    { 0 },
    { .down = true },
    800,
    503,
    "not-run",
    0 },
  { "log down: job that may have been accepted",
    TST_JOBS_PATH ("tally"),
    "stock-key",
    { "Idempotency-Key: j" },
    { .down = true },
    800,
    503,
    "unknown",
    0 },
  { "log hangs with the intent",
    TST_REQUESTS_PATH ("order-check"),
    "orders-key",
    { "Idempotency-Key: a", FIRST_ATTEMPT_HEADER },
    { .hang = true },
    0,
    504,
    "unknown",
    0 },
  { "answer of the append lost",
    TST_REQUESTS_PATH ("order-check"),
    "orders-key",
    { "Idempotency-Key: a", FIRST_ATTEMPT_HEADER },
    { .lose_answer = 1 },
    0,
    200,
    "answer",
    1 },
  { "answer of the job's append lost",
    TST_JOBS_PATH ("tally"),
    "stock-key",
    { 0 },
    { .lose_answer = 1 },
    0,
    202,
    "answer",
    0 },
  { "log hangs with the job",
    TST_JOBS_PATH ("tally"),
    "stock-key",
    { 0 },
    { .hang = true },
    0,
    504,
    "unknown",
    0 },
};

/* Guards against the outcome "not-run" for a job that the log may have
   accepted or a request that may have been sent. */
static void
log_faults_have_true_outcomes (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof log_cases / sizeof log_cases[0]; i++)
    {
      const struct log_case *row = &log_cases[i];
      struct tst_call call = {
        HC_POST, row->path, row->key, { row->headers[0], row->headers[1] }, ""
      };
      struct tst_reply reply;

      tst_fixture_setup (&fixture,
                         &(struct tst_options){ .request_max_ms = 1500 });
      fixture.log.faults = row->faults;
      tst_run_us (&fixture, row->settle_ms * GW_US_PER_MS);
      tst_call (&fixture, 0, &call, &reply);
      tst_expect_reply (row->label, &reply, row->status, row->outcome);
      fixture.log.faults = (struct fk_log_faults){ 0 };
      tst_run_us (&fixture, 600000);
      if (tst_count_starts (&fixture) != row->starts)
        fail_msg ("%s: targets started %u requests", row->label,
                  tst_count_starts (&fixture));
      tst_fixture_shutdown (&fixture);
    }
}

/* Guards against a second run of a once-only request when the caller repeats
   it at the same or another gateway, during or after the first attempt. */
static void
repeated_once_only_request_runs_once (void **state)
{
  struct tst_call call = tst_once_call ("Idempotency-Key: k", "one");
  struct tst_call other = tst_once_call ("Idempotency-Key: k", "two");
  struct tst_reply replies[6];

  (void)state;
  tst_fixture_setup (&fixture,
                     &(struct tst_options){ .gateways = 2, .seats = 2 });
  fixture.targets[0].delay_us = 300000;
  for (uint32_t i = 0; i < 4; i++)
    tst_begin_call (&fixture, i % 2, &call, &replies[i]);
  for (uint32_t i = 0; i < 4; i++)
    assert_true (tst_run_until (&fixture, &replies[i].done));
  for (uint32_t i = 0; i < 2; i++)
    tst_call (&fixture, i, &call, &replies[4 + i]);
  for (uint32_t i = 0; i < 6; i++)
    {
      tst_expect_reply ("repeated", &replies[i], 200, "answer");
      assert_string_equal (replies[i].body, "one");
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      tst_call (&fixture, i, &other, &replies[0]);
      tst_expect_reply ("other body", &replies[0], 422, "not-run");
    }
  assert_int_equal (tst_count_starts (&fixture), 1);
  tst_fixture_shutdown (&fixture);
}

/* Guards against new requests that are refused because the table of kept
   answers is full, and against a second run of a request whose answer was
   dropped from the table. */
static void
full_table_of_answers_drops_the_oldest (void **state)
{
  char lines[10][32];
  struct tst_reply reply;

  (void)state;
  tst_fixture_setup (&fixture,
                     &(struct tst_options){ .max_kept_requests = 4 });
  for (uint32_t i = 0; i < 10; i++)
    {
      struct tst_call call = tst_once_call (lines[i], "x");

      snprintf (lines[i], sizeof lines[i], "Idempotency-Key: k%u", i);
      tst_call (&fixture, 0, &call, &reply);
      tst_expect_reply ("new", &reply, 200, "answer");
    }
  for (uint32_t i = 0; i < 10; i++)
    {
      struct tst_call call = tst_once_call (lines[i], "x");

      tst_call (&fixture, 0, &call, &reply);
      tst_expect_reply ("again", &reply, i < 6 ? 409 : 200,
                        i < 6 ? "unknown" : "answer");
    }
  assert_int_equal (tst_count_starts (&fixture), 10);
  tst_fixture_shutdown (&fixture);
}

/* Guards against a second run of a once-only request, or the outcome "not-run"
   for it, after the gateway that sent it to a target has crashed. */
static void
once_only_request_of_a_lost_gateway_is_unknown (void **state)
{
  struct tst_call call = tst_once_call ("Idempotency-Key: k", "one");
  struct tst_reply lost;
  struct tst_reply reply;

  (void)state;
  tst_fixture_setup (&fixture,
                     &(struct tst_options){ .gateways = 2, .seats = 2 });
  tst_set_behaviour (&fixture, 0, TST_SILENT);
  tst_begin_call (&fixture, 0, &call, &lost);
  tst_run_us (&fixture, 400000);
  assert_int_equal (tst_count_starts (&fixture), 1);
  tst_gateway_shutdown (&fixture, 0);
  tst_set_behaviour (&fixture, 0, TST_ANSWER);
  tst_call (&fixture, 1, &call, &reply);
  tst_expect_reply ("after the loss", &reply, 409, "unknown");
  tst_gateway_start (&fixture, 0);
  tst_send_targets (&fixture, 1);
  tst_call (&fixture, 0, &call, &reply);
  tst_expect_reply ("at the new process", &reply, 409, "unknown");
  assert_int_equal (tst_count_starts (&fixture), 1);
  tst_fixture_shutdown (&fixture);
}

/* Guards against a retried submission that creates a second job, and against a
   job that is visible to another team. */
static void
job_is_found_again_and_hidden_from_others (void **state)
{
  struct tst_call submit = { HC_POST,
                             TST_JOBS_PATH ("tally"),
                             "stock-key",
                             { "Idempotency-Key: j" },
                             "{\"tasks\":3}" };
  char path[64] = "/v1/jobs/";
  struct tst_call get = { HC_GET, path, "stock-key", { 0 }, NULL };
  struct tst_reply first;
  struct tst_reply second;

  (void)state;
  tst_fixture_setup (&fixture,
                     &(struct tst_options){ .gateways = 2, .seats = 2 });
  tst_call (&fixture, 0, &submit, &first);
  tst_expect_reply ("submit", &first, 202, "answer");
  tst_run_us (&fixture, 300000);
  tst_call (&fixture, 1, &submit, &second);
  tst_expect_reply ("again", &second, 202, "answer");
  assert_string_equal (first.body, second.body);
  memcpy (path + 9, first.body + strlen ("{\"job\":\""), 32);
  tst_call (&fixture, 0, &get, &second);
  tst_expect_reply ("get", &second, 200, "answer");
  assert_non_null (strstr (second.body, "\"tasks\":3"));
  get.key = "orders-key";
  tst_call (&fixture, 0, &get, &second);
  tst_expect_reply ("other team", &second, 404, "not-run");
  get.key = NULL;
  tst_call (&fixture, 0, &get, &second);
  tst_expect_reply ("no key", &second, 404, "not-run");
  get.method = HC_DELETE;
  get.key = "stock-key";
  tst_call (&fixture, 0, &get, &second);
  tst_expect_reply ("cancel", &second, 202, "answer");
  assert_non_null (strstr (second.body, "\"cancel_requested\":true"));
  tst_fixture_shutdown (&fixture);
}

/* Guards against a withdrawn key that is still accepted, and against cached
   keys that are trusted without limit while the log is unreachable. */
static void
withdrawn_and_stale_keys_are_refused (void **state)
{
  struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };
  struct tst_call once = tst_once_call ("Idempotency-Key: s", "x");
  struct tst_call menu
      = { HC_POST, TST_REQUESTS_PATH ("menu"), NULL, { 0 }, "x" };
  struct tst_reply reply;

  (void)state;
  tst_fixture_setup (&fixture, &(struct tst_options){ .key_stale_ms = 400 });
  tst_call (&fixture, 0, &call, &reply);
  tst_expect_reply ("granted", &reply, 200, "answer");
  tst_withdraw_key (&fixture, "orders-key");
  tst_run_us (&fixture, 300000);
  tst_call (&fixture, 0, &call, &reply);
  tst_expect_reply ("withdrawn", &reply, 401, "not-run");
  fixture.log.faults.down = true;
  tst_run_us (&fixture, 900000);
  call.path = TST_JOBS_PATH ("tally");
  call.key = "stock-key";
  tst_call (&fixture, 0, &call, &reply);
  tst_expect_reply ("stale keys, batch", &reply, 503, "not-run");
  once.key = "stock-key";
  tst_call (&fixture, 0, &once, &reply);
  tst_expect_reply ("wrong team", &reply, 403, "not-run");
  tst_call (&fixture, 0, &menu, &reply);
  tst_expect_reply ("stale keys, open queue", &reply, 200, "answer");
  tst_fixture_shutdown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (input_gets_a_clear_reply),
    cmocka_unit_test (target_faults_have_true_outcomes),
    cmocka_unit_test (started_request_was_called_not_run),
    cmocka_unit_test (log_faults_have_true_outcomes),
    cmocka_unit_test (repeated_once_only_request_runs_once),
    cmocka_unit_test (full_table_of_answers_drops_the_oldest),
    cmocka_unit_test (once_only_request_of_a_lost_gateway_is_unknown),
    cmocka_unit_test (job_is_found_again_and_hidden_from_others),
    cmocka_unit_test (withdrawn_and_stale_keys_are_refused),
  };
  static struct ev_sink sink;

  ev_setup (&sink, &(struct ev_desc){ .role = CYC_STR ("test"),
                                      .lowest_level = G_LOG_LEVEL_CRITICAL });
  return cmocka_run_group_tests (tests, NULL, NULL);
}
