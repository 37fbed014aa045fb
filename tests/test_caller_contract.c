/**
 * @file
 * The callers' interface as tables of fault cases against a gateway in this
 * process, with the log fake, small targets and an owner on a peer link.
 */
#include "tst_world.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define REQUESTS(queue) "/v1/queues/" queue "/requests"
#define JOBS(queue) "/v1/queues/" queue "/jobs"
#define FIRST "First-Attempt: 1"
static struct tst_world world;

struct input_case
{
  const char *what;
  struct tst_call call;
  long status;
  const char *outcome;
  uint32_t starts;
};

static const struct input_case input_cases[] = {
  { "a valid request",
    { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "body" },
    200,
    "answer",
    1 },
  { "an open queue needs no key",
    { HC_POST, REQUESTS ("menu"), NULL, { 0 }, "x" },
    200,
    "answer",
    1 },
  { "an open queue takes another team's key",
    { HC_POST, REQUESTS ("menu"), "orders-key", { 0 }, "x" },
    200,
    "answer",
    1 },
  { "an open queue refuses an invalid key",
    { HC_POST, REQUESTS ("menu"), "wrong", { 0 }, "x" },
    401,
    "not-run",
    0 },
  { "no key",
    { HC_POST, REQUESTS ("round-plan"), NULL, { 0 }, "x" },
    401,
    "not-run",
    0 },
  { "unknown key",
    { HC_POST, REQUESTS ("round-plan"), "wrong", { 0 }, "x" },
    401,
    "not-run",
    0 },
  { "key of another team",
    { HC_POST, REQUESTS ("round-plan"), "stock-key", { 0 }, "x" },
    403,
    "not-run",
    0 },
  { "authorization of another scheme",
    { HC_POST,
      REQUESTS ("round-plan"),
      NULL,
      { "Authorization: Basic a" },
      0 },
    401,
    "not-run",
    0 },
  { "unknown queue",
    { HC_POST, REQUESTS ("nothing"), "orders-key", { 0 }, "x" },
    404,
    "not-run",
    0 },
  { "queue name outside the alphabet",
    { HC_POST, REQUESTS ("A%20b"), "orders-key", { 0 }, "x" },
    404,
    "not-run",
    0 },
  { "unknown path",
    { HC_POST, "/v1/other", "orders-key", { 0 }, "x" },
    404,
    "not-run",
    0 },
  { "wrong method",
    { HC_GET, REQUESTS ("round-plan"), "orders-key", { 0 }, NULL },
    405,
    "not-run",
    0 },
  { "request for a batch queue",
    { HC_POST, REQUESTS ("tally"), "stock-key", { 0 }, "x" },
    409,
    "not-run",
    0 },
  { "job for a service queue",
    { HC_POST, JOBS ("round-plan"), "orders-key", { 0 }, "" },
    409,
    "not-run",
    0 },
  { "deadline that is no number",
    { HC_POST,
      REQUESTS ("round-plan"),
      "orders-key",
      { "Deadline-Ms: soon" },
      "x" },
    400,
    "not-run",
    0 },
  { "deadline that has passed",
    { HC_POST,
      REQUESTS ("round-plan"),
      "orders-key",
      { "Deadline-Ms: 1000" },
      "x" },
    504,
    "not-run",
    0 },
  { "once-only request without its key",
    { HC_POST, REQUESTS ("order-check"), "orders-key", { 0 }, "x" },
    400,
    "not-run",
    0 },
  { "once-only request with a key that is not printable",
    { HC_POST,
      REQUESTS ("order-check"),
      "orders-key",
      { "Idempotency-Key: a\x7f" },
      "x" },
    400,
    "not-run",
    0 },
  { "once-only request",
    { HC_POST,
      REQUESTS ("order-check"),
      "orders-key",
      { "Idempotency-Key: a" },
      "x" },
    200,
    "answer",
    1 },
  { "job with tasks out of range",
    { HC_POST, JOBS ("tally"), "stock-key", { 0 }, "{\"tasks\":0}" },
    400,
    "not-run",
    0 },
  { "job with a body that is no object",
    { HC_POST, JOBS ("tally"), "stock-key", { 0 }, "[1]" },
    400,
    "not-run",
    0 },
  { "job with an unknown member",
    { HC_POST, JOBS ("tally"), "stock-key", { 0 }, "{\"task\":3}" },
    400,
    "not-run",
    0 },
  { "job",
    { HC_POST, JOBS ("tally"), "stock-key", { 0 }, "{\"tasks\":3}" },
    202,
    "answer",
    0 },
  { "gang job",
    { HC_POST, JOBS ("survey"), "stock-key", { 0 }, "" },
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

static void
check (const char *what, const struct tst_reply *reply, long status,
       const char *outcome)
{
  if (reply->status != status || strcmp (reply->outcome, outcome) != 0)
    fail_msg ("%s: got %ld %s: %s", what, reply->status, reply->outcome,
              reply->body);
  if (strcmp (outcome, "answer") != 0
      && (strstr (reply->body, "\"detail\"") == NULL
          || strstr (reply->body, outcome) == NULL))
    fail_msg ("%s: no problem body: %s", what, reply->body);
}

/* Guards against bad input being accepted or ending the process. */
static void
input_gets_a_clear_reply (void **state)
{
  (void)state;
  tst_world_up (&world, &(struct tst_options){ 0 });
  for (size_t i = 0; i < sizeof input_cases / sizeof input_cases[0]; i++)
    {
      const struct input_case *row = &input_cases[i];
      uint32_t before = tst_starts (&world);
      struct tst_reply reply;

      tst_call (&world, 0, &row->call, &reply);
      check (row->what, &reply, row->status, row->outcome);
      if (tst_starts (&world) - before != row->starts)
        fail_msg ("%s: %u starts", row->what, tst_starts (&world) - before);
    }
  tst_world_down (&world);
}

struct fault_case
{
  const char *what;
  bool once;
  bool budget;                  /**< retries were earned before */
  enum tst_behaviour behaviour; /**< of the target that is met first */
  long status;
  const char *outcome;
  uint32_t starts; /**< how often a target began to run the request */
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

/* Requests that earn the budget run before the fault begins. */
static void
earn_budget (void)
{
  static const struct tst_call call
      = { HC_POST, REQUESTS ("menu"), NULL, { 0 }, "x" };
  struct tst_reply reply;

  for (uint32_t i = 0; i < 30; i++)
    tst_call (&world, 0, &call, &reply);
}

static void
run_fault (const struct fault_case *row)
{
  struct tst_call call
      = { HC_POST,
          row->once ? REQUESTS ("order-check") : REQUESTS ("round-plan"),
          "orders-key",
          { "Idempotency-Key: f", FIRST },
          "x" };
  struct tst_reply reply;
  uint32_t before;

  tst_world_up (&world, &(struct tst_options){ .targets = 2,
                                               .retry_permille = 100,
                                               .request_max_ms = 1500 });
  if (row->budget)
    earn_budget ();
  before = tst_starts (&world);
  world.faults_left = 1;
  tst_behave (&world, 0, row->behaviour);
  if (row->behaviour == TST_DOWN)
    tst_tell_targets (&world, 1);
  else
    tst_behave (&world, 1, row->behaviour);
  tst_begin (&world, 0, &call, &reply);
  tst_run (&world, 3000);
  if (row->behaviour == TST_DOWN && row->budget)
    tst_tell_targets (&world, 2);
  assert_true (tst_until (&world, &reply.done));
  check (row->what, &reply, row->status, row->outcome);
  if (tst_starts (&world) - before != row->starts)
    fail_msg ("%s: %u starts", row->what, tst_starts (&world) - before);
  tst_world_down (&world);
}

/* Guards against a "not-run" that is untrue, a once-only request sent twice
   and retries without budget. */
static void
target_faults_have_true_outcomes (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof fault_cases / sizeof fault_cases[0]; i++)
    run_fault (&fault_cases[i]);
}

struct log_case
{
  const char *what;
  const char *path;
  const char *key;
  const char *headers[2];
  struct fk_log_faults faults;
  uint32_t settle_ms; /**< time for the gateway to notice */
  long status;
  const char *outcome;
  uint32_t starts;
};

static const struct log_case log_cases[] = {
  { "log down: repeatable requests are served",
    REQUESTS ("round-plan"),
    "orders-key",
    { 0 },
    { .down = true },
    800,
    200,
    "answer",
    1 },
  { "log down: first attempt",
    REQUESTS ("order-check"),
    "orders-key",
    { "Idempotency-Key: a", FIRST },
    { .down = true },
    800,
    503,
    "not-run",
    0 },
  { "log down: maybe a later attempt",
    REQUESTS ("order-check"),
    "orders-key",
    { "Idempotency-Key: a" },
    { .down = true },
    800,
    503,
    "unknown",
    0 },
  { "log down: job",
    JOBS ("tally"),
    "stock-key",
    { 0 },
    { .down = true },
    800,
    503,
    "not-run",
    0 },
  { "log down: job that may have been accepted",
    JOBS ("tally"),
    "stock-key",
    { "Idempotency-Key: j" },
    { .down = true },
    800,
    503,
    "unknown",
    0 },
  { "log hangs with the intent",
    REQUESTS ("order-check"),
    "orders-key",
    { "Idempotency-Key: a", FIRST },
    { .hang = true },
    0,
    504,
    "unknown",
    0 },
  { "answer of the append lost",
    REQUESTS ("order-check"),
    "orders-key",
    { "Idempotency-Key: a", FIRST },
    { .lose_answer = 1 },
    0,
    200,
    "answer",
    1 },
  { "answer of the job's append lost",
    JOBS ("tally"),
    "stock-key",
    { 0 },
    { .lose_answer = 1 },
    0,
    202,
    "answer",
    0 },
  { "log hangs with the job",
    JOBS ("tally"),
    "stock-key",
    { 0 },
    { .hang = true },
    0,
    504,
    "unknown",
    0 },
};

/* Guards against a refusal that hides an accepted job or a sent request. */
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

      tst_world_up (&world, &(struct tst_options){ .request_max_ms = 1500 });
      world.log.faults = row->faults;
      tst_run (&world, row->settle_ms * GW_US_PER_MS);
      tst_call (&world, 0, &call, &reply);
      check (row->what, &reply, row->status, row->outcome);
      world.log.faults = (struct fk_log_faults){ 0 };
      tst_run (&world, 600000);
      if (tst_starts (&world) != row->starts)
        fail_msg ("%s: %u starts", row->what, tst_starts (&world));
      tst_world_down (&world);
    }
}

static struct tst_call
once_call (const char *key_line, const char *body)
{
  return (struct tst_call){
    HC_POST, REQUESTS ("order-check"), "orders-key", { key_line }, body
  };
}

/* Guards against a second run when a caller repeats its request at the same
   or another gateway, during or after the first attempt. */
static void
repeated_once_only_request_runs_once (void **state)
{
  struct tst_call call = once_call ("Idempotency-Key: k", "one");
  struct tst_call other = once_call ("Idempotency-Key: k", "two");
  struct tst_reply replies[6];

  (void)state;
  tst_world_up (&world, &(struct tst_options){ .gateways = 2, .seats = 2 });
  world.targets[0].delay_us = 300000;
  for (uint32_t i = 0; i < 4; i++)
    tst_begin (&world, i % 2, &call, &replies[i]);
  for (uint32_t i = 0; i < 4; i++)
    assert_true (tst_until (&world, &replies[i].done));
  for (uint32_t i = 0; i < 2; i++)
    tst_call (&world, i, &call, &replies[4 + i]);
  for (uint32_t i = 0; i < 6; i++)
    {
      check ("repeated", &replies[i], 200, "answer");
      assert_string_equal (replies[i].body, "one");
    }
  for (uint32_t i = 0; i < 2; i++)
    {
      tst_call (&world, i, &other, &replies[0]);
      check ("other body", &replies[0], 422, "not-run");
    }
  assert_int_equal (tst_starts (&world), 1);
  tst_world_down (&world);
}

/* Guards against requests refused because many answers are kept, and against
   a second run of one whose answer was dropped. */
static void
full_table_of_answers_drops_the_oldest (void **state)
{
  char lines[10][32];
  struct tst_reply reply;

  (void)state;
  tst_world_up (&world, &(struct tst_options){ .max_kept = 4 });
  for (uint32_t i = 0; i < 10; i++)
    {
      struct tst_call call = once_call (lines[i], "x");

      snprintf (lines[i], sizeof lines[i], "Idempotency-Key: k%u", i);
      tst_call (&world, 0, &call, &reply);
      check ("new", &reply, 200, "answer");
    }
  for (uint32_t i = 0; i < 10; i++)
    {
      struct tst_call call = once_call (lines[i], "x");

      tst_call (&world, 0, &call, &reply);
      check ("again", &reply, i < 6 ? 409 : 200, i < 6 ? "unknown" : "answer");
    }
  assert_int_equal (tst_starts (&world), 10);
  tst_world_down (&world);
}

/* Guards against a second run, or a false "not-run", after the gateway that
   sent the request was lost. */
static void
once_only_request_of_a_lost_gateway_is_unknown (void **state)
{
  struct tst_call call = once_call ("Idempotency-Key: k", "one");
  struct tst_reply lost;
  struct tst_reply reply;

  (void)state;
  tst_world_up (&world, &(struct tst_options){ .gateways = 2, .seats = 2 });
  tst_behave (&world, 0, TST_SILENT);
  tst_begin (&world, 0, &call, &lost);
  tst_run (&world, 400000);
  assert_int_equal (tst_starts (&world), 1);
  tst_gateway_down (&world, 0);
  tst_behave (&world, 0, TST_ANSWER);
  tst_call (&world, 1, &call, &reply);
  check ("after the loss", &reply, 409, "unknown");
  tst_gateway_up (&world, 0);
  tst_tell_targets (&world, 1);
  tst_call (&world, 0, &call, &reply);
  check ("at the new process", &reply, 409, "unknown");
  assert_int_equal (tst_starts (&world), 1);
  tst_world_down (&world);
}

/* Guards against jobs that a retried submission doubles, and against a job
   shown to another team. */
static void
job_is_found_again_and_hidden_from_others (void **state)
{
  struct tst_call submit = { HC_POST,
                             JOBS ("tally"),
                             "stock-key",
                             { "Idempotency-Key: j" },
                             "{\"tasks\":3}" };
  char path[64] = "/v1/jobs/";
  struct tst_call get = { HC_GET, path, "stock-key", { 0 }, NULL };
  struct tst_reply first;
  struct tst_reply second;

  (void)state;
  tst_world_up (&world, &(struct tst_options){ .gateways = 2, .seats = 2 });
  tst_call (&world, 0, &submit, &first);
  check ("submit", &first, 202, "answer");
  tst_run (&world, 300000);
  tst_call (&world, 1, &submit, &second);
  check ("again", &second, 202, "answer");
  assert_string_equal (first.body, second.body);
  memcpy (path + 9, first.body + strlen ("{\"job\":\""), 32);
  tst_call (&world, 0, &get, &second);
  check ("get", &second, 200, "answer");
  assert_non_null (strstr (second.body, "\"tasks\":3"));
  get.key = "orders-key";
  tst_call (&world, 0, &get, &second);
  check ("other team", &second, 404, "not-run");
  get.key = NULL;
  tst_call (&world, 0, &get, &second);
  check ("no key", &second, 404, "not-run");
  get.method = HC_DELETE;
  get.key = "stock-key";
  tst_call (&world, 0, &get, &second);
  check ("cancel", &second, 202, "answer");
  assert_non_null (strstr (second.body, "\"cancel_requested\":true"));
  tst_world_down (&world);
}

/* Guards against a withdrawn key that goes on working, and against keys that
   are trusted without bound when nothing fresh is known. */
static void
withdrawn_and_stale_keys_are_refused (void **state)
{
  struct tst_call call
      = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "x" };
  struct tst_call once = once_call ("Idempotency-Key: s", "x");
  struct tst_call menu = { HC_POST, REQUESTS ("menu"), NULL, { 0 }, "x" };
  struct tst_reply reply;

  (void)state;
  tst_world_up (&world, &(struct tst_options){ .key_stale_ms = 400 });
  tst_call (&world, 0, &call, &reply);
  check ("granted", &reply, 200, "answer");
  tst_withdraw_key (&world, "orders-key");
  tst_run (&world, 300000);
  tst_call (&world, 0, &call, &reply);
  check ("withdrawn", &reply, 401, "not-run");
  world.log.faults.down = true;
  tst_run (&world, 900000);
  call.path = JOBS ("tally");
  call.key = "stock-key";
  tst_call (&world, 0, &call, &reply);
  check ("stale keys, batch", &reply, 503, "not-run");
  once.key = "stock-key";
  tst_call (&world, 0, &once, &reply);
  check ("wrong team", &reply, 403, "not-run");
  tst_call (&world, 0, &menu, &reply);
  check ("stale keys, open queue", &reply, 200, "answer");
  tst_world_down (&world);
}

/* Guards against callers getting each other's answers when these come late
   and in another order. */
static void
answers_reach_their_own_callers (void **state)
{
  static struct tst_reply replies[60];
  static char bodies[60][16];

  (void)state;
  tst_world_up (&world, &(struct tst_options){ .targets = 3, .slots = 5 });
  for (uint32_t i = 0; i < 60; i++)
    {
      struct tst_call call
          = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, 0 };

      world.targets[i % 3].delay_us = (i * 7919) % 40000;
      snprintf (bodies[i], sizeof bodies[i], "body-%u", i);
      call.body = bodies[i];
      tst_begin (&world, 0, &call, &replies[i]);
    }
  for (uint32_t i = 0; i < 60; i++)
    {
      assert_true (tst_until (&world, &replies[i].done));
      check ("mixed", &replies[i], 200, "answer");
      assert_string_equal (replies[i].body, bodies[i]);
    }
  for (uint32_t i = 0; i < 3; i++)
    assert_in_range (world.targets[i].most_running, 1, 5);
  tst_world_down (&world);
}

struct permit_case
{
  const char *what;
  struct tst_lending lending;
  uint32_t most_running;
};

/* Eight slots and three seats: a base part of two. */
static const struct permit_case permit_cases[] = {
  { "base part only", { 0 }, 2 },
  { "two lent", { .slots = 2, .valid_for_ms = 5000 }, 4 },
  { "two lent, instant stated",
    { .slots = 2, .valid_for_ms = 5000, .deadline_in_ms = 5000 },
    4 },
  { "the lender's instant has passed",
    { .slots = 2, .valid_for_ms = 5000, .deadline_in_ms = -100 },
    2 },
  { "grant that comes after its time",
    { .slots = 2, .valid_for_ms = 300, .delay_us = 400000 },
    2 },
};

/* Guards against slots overrun by permits that their lender holds expired. */
static void
permits_bound_requests_in_flight (void **state)
{
  static struct tst_reply replies[12];
  static const struct tst_call call
      = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "x" };

  (void)state;
  for (size_t i = 0; i < sizeof permit_cases / sizeof permit_cases[0]; i++)
    {
      const struct permit_case *row = &permit_cases[i];

      tst_world_up (&world, &(struct tst_options){ .seats = 3 });
      world.targets[0].delay_us = 150000;
      world.lending = row->lending;
      for (uint32_t j = 0; j < 12; j++)
        tst_begin (&world, 0, &call, &replies[j]);
      for (uint32_t j = 0; j < 12; j++)
        {
          assert_true (tst_until (&world, &replies[j].done));
          check (row->what, &replies[j], 200, "answer");
        }
      if (world.targets[0].most_running != row->most_running)
        fail_msg ("%s: %u running", row->what, world.targets[0].most_running);
      tst_world_down (&world);
    }
}

/* Guards against two processes with one seat that both use its base part. */
static void
one_of_two_gateways_with_one_seat_gives_up_its_base_part (void **state)
{
  static struct tst_reply replies[20];
  static const struct tst_call call
      = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "x" };

  (void)state;
  tst_world_up (&world, &(struct tst_options){ .gateways = 2,
                                               .seats = 4,
                                               .same_seat = true,
                                               .request_max_ms = 1000 });
  tst_run (&world, 1200000);
  world.targets[0].delay_us = 50000;
  for (uint32_t i = 0; i < 20; i++)
    tst_begin (&world, i % 2, &call, &replies[i]);
  for (uint32_t i = 0; i < 20; i++)
    {
      assert_true (tst_until (&world, &replies[i].done));
      assert_string_not_equal (replies[i].outcome, "unknown");
    }
  assert_int_equal (world.targets[0].most_running, 2);
  tst_world_down (&world);
}

/* Guards against new work for a target in shutdown. */
static void
draining_target_gets_no_new_request (void **state)
{
  static const struct tst_call call
      = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "x" };
  struct tst_reply reply;
  uint32_t before;

  (void)state;
  tst_world_up (&world, &(struct tst_options){
                            .gateways = 2, .targets = 2, .seats = 2 });
  tst_behave (&world, 0, TST_DRAINING);
  for (uint32_t i = 0; i < 20 && world.targets[0].starts == 0; i++)
    tst_call (&world, 0, &call, &reply);
  assert_int_equal (world.targets[0].starts, 1);
  tst_tell_targets (&world, 2);
  before = world.targets[0].starts;
  for (uint32_t i = 0; i < 40; i++)
    {
      tst_call (&world, i % 2, &call, &reply);
      check ("after draining", &reply, 200, "answer");
    }
  assert_int_equal (world.targets[0].starts, before);
  tst_world_down (&world);
}

/* Guards against requests cut off by a planned stop, and against a refusal
   during the stop that claims too much. */
static void
planned_stop_finishes_what_was_begun (void **state)
{
  static struct tst_reply begun[20];
  struct tst_call call
      = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "x" };
  struct tst_call once = once_call ("Idempotency-Key: stop", "y");
  struct tst_call retry = once_call ("Idempotency-Key: later", "y");
  struct tst_call job = { HC_POST, JOBS ("tally"), "stock-key", { 0 }, "" };
  static const struct tst_call ready = { HC_GET, "/ready", NULL, { 0 }, 0 };
  struct tst_reply reply;

  (void)state;
  /* The answers come well after the shortest time of a stop. */
  tst_world_up (&world, &(struct tst_options){ .slots = 16 });
  world.targets[0].delay_us = 1400000;
  for (uint32_t i = 0; i < 18; i++)
    tst_begin (&world, 0, &call, &begun[i]);
  tst_begin (&world, 0, &once, &begun[18]);
  tst_begin (&world, 0, &job, &begun[19]);
  tst_run (&world, 100000);
  gw_stop (&world.gateways[0].gw);
  tst_call (&world, 0, &ready, &reply);
  assert_int_equal (reply.status, 503);
  tst_call (&world, 0, &call, &reply);
  check ("during the stop", &reply, 503, "not-run");
  tst_call (&world, 0, &retry, &reply);
  check ("retry during the stop", &reply, 503, "unknown");
  assert_true (tst_until (&world, &world.gateways[0].stopped));
  tst_gateway_down (&world, 0);
  for (uint32_t i = 0; i < 20; i++)
    {
      assert_true (tst_until (&world, &begun[i].done));
      check ("begun before the stop", &begun[i], i == 19 ? 202 : 200,
             "answer");
    }
  tst_world_down (&world);
}

/* Guards against a caller left without any reply when the stop takes longer
   than it may. */
static void
stop_at_its_deadline_tells_every_caller (void **state)
{
  struct tst_call call
      = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "x" };
  struct tst_reply sent;
  struct tst_reply waiting;

  (void)state;
  tst_world_up (&world, &(struct tst_options){ .slots = 1, .drain_ms = 500 });
  tst_behave (&world, 0, TST_SILENT);
  tst_begin (&world, 0, &call, &sent);
  tst_run (&world, 50000);
  tst_begin (&world, 0, &call, &waiting);
  tst_run (&world, 50000);
  gw_stop (&world.gateways[0].gw);
  assert_true (tst_until (&world, &world.gateways[0].stopped));
  tst_gateway_down (&world, 0);
  assert_true (tst_until (&world, &sent.done));
  assert_true (tst_until (&world, &waiting.done));
  check ("sent", &sent, 504, "unknown");
  check ("never sent", &waiting, 504, "not-run");
  tst_world_down (&world);
}

/* Guards against a gateway without a path to the log that serves nothing, or
   that misses a withdrawal which a peer has read. */
static void
gateway_without_log_follows_its_peers (void **state)
{
  struct tst_call call
      = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "x" };
  struct tst_call once = once_call ("Idempotency-Key: n", "x");
  struct tst_reply reply;

  (void)state;
  tst_world_up (&world, &(struct tst_options){ .gateways = 2,
                                               .seats = 2,
                                               .second_without_log = true });
  tst_call (&world, 1, &call, &reply);
  check ("repeatable", &reply, 200, "answer");
  tst_call (&world, 1, &once, &reply);
  check ("once-only", &reply, 503, "unknown");
  tst_withdraw_key (&world, "orders-key");
  tst_run (&world, 1000000);
  tst_call (&world, 1, &call, &reply);
  check ("withdrawn", &reply, 401, "not-run");
  tst_world_down (&world);
}

/* Guards against a queue without targets here being refused while another
   domain has targets. */
static void
request_is_forwarded_to_another_domain (void **state)
{
  struct tst_call call
      = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "far" };
  struct tst_call once = once_call ("Idempotency-Key: fwd", "far");
  struct tst_reply reply;

  (void)state;
  tst_world_up (&world, &(struct tst_options){
                            .gateways = 2, .second_gateway_elsewhere = true });
  tst_run (&world, 500000);
  tst_call (&world, 1, &call, &reply);
  check ("forwarded", &reply, 200, "answer");
  assert_string_equal (reply.body, "far");
  for (uint32_t i = 0; i < 2; i++)
    {
      tst_call (&world, i == 0 ? 1 : 0, &once, &reply);
      check ("forwarded once-only", &reply, 200, "answer");
    }
  assert_int_equal (tst_starts (&world), 2);
  tst_behave (&world, 0, TST_DOWN);
  tst_call (&world, 1, &call, &reply);
  assert_string_equal (reply.outcome, "not-run");
  tst_world_down (&world);
}

/* Guards against a waiting request that is lost, and against one team filling
   the gateway. */
static void
waiting_requests_end_by_their_deadline (void **state)
{
  static struct tst_reply replies[10];
  struct tst_call call
      = { HC_POST, REQUESTS ("round-plan"), "orders-key", { 0 }, "x" };
  uint32_t refused = 0;

  (void)state;
  tst_world_up (&world,
                &(struct tst_options){ .slots = 1, .request_max_ms = 700 });
  tst_behave (&world, 0, TST_SILENT);
  for (uint32_t i = 0; i < 10; i++)
    tst_begin (&world, 0, &call, &replies[i]);
  for (uint32_t i = 0; i < 10; i++)
    {
      assert_true (tst_until (&world, &replies[i].done));
      refused += strcmp (replies[i].outcome, "not-run") == 0;
    }
  assert_int_equal (refused, 9);
  assert_int_equal (tst_starts (&world), 1);
  tst_world_down (&world);
}

static void
operators_pages_are_served (void **state)
{
  static const struct input_case pages[] = {
    { "ready", { HC_GET, "/ready", NULL, { 0 }, NULL }, 200, "answer", 0 },
    { "metrics", { HC_GET, "/metrics", NULL, { 0 }, NULL }, 200, "answer", 0 },
    { "status",
      { HC_GET, "/v1/status", NULL, { 0 }, NULL },
      200,
      "answer",
      0 },
  };

  (void)state;
  tst_world_up (&world, &(struct tst_options){ 0 });
  for (size_t i = 0; i < sizeof pages / sizeof pages[0]; i++)
    {
      struct tst_reply reply;

      tst_call (&world, 0, &pages[i].call, &reply);
      check (pages[i].what, &reply, 200, "answer");
      assert_true (reply.len > 10);
    }
  tst_world_down (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (input_gets_a_clear_reply),
    cmocka_unit_test (target_faults_have_true_outcomes),
    cmocka_unit_test (log_faults_have_true_outcomes),
    cmocka_unit_test (repeated_once_only_request_runs_once),
    cmocka_unit_test (full_table_of_answers_drops_the_oldest),
    cmocka_unit_test (once_only_request_of_a_lost_gateway_is_unknown),
    cmocka_unit_test (job_is_found_again_and_hidden_from_others),
    cmocka_unit_test (withdrawn_and_stale_keys_are_refused),
    cmocka_unit_test (answers_reach_their_own_callers),
    cmocka_unit_test (permits_bound_requests_in_flight),
    cmocka_unit_test (
        one_of_two_gateways_with_one_seat_gives_up_its_base_part),
    cmocka_unit_test (draining_target_gets_no_new_request),
    cmocka_unit_test (planned_stop_finishes_what_was_begun),
    cmocka_unit_test (stop_at_its_deadline_tells_every_caller),
    cmocka_unit_test (gateway_without_log_follows_its_peers),
    cmocka_unit_test (request_is_forwarded_to_another_domain),
    cmocka_unit_test (waiting_requests_end_by_their_deadline),
    cmocka_unit_test (operators_pages_are_served),
  };
  static struct ev_sink sink;

  ev_setup (&sink, &(struct ev_desc){ .role = CYC_STR ("test"),
                                      .lowest = G_LOG_LEVEL_CRITICAL });
  return cmocka_run_group_tests (tests, NULL, NULL);
}
