/**
 * @file
 * Gateways under load and during changes: permits, draining targets, planned
 * stops, an unreachable log, forwarding to another domain and limits of teams.
 * The gateways run in the test process.
 */
#include "tst_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static struct tst_fixture fixture;

struct input_case
{
  const char *label;
  struct tst_call call;
  long status;
  const char *outcome;
  uint32_t starts;
};

/* Guards against answers that go to the wrong caller when targets reply late
   and out of order. */
static void
answers_reach_their_own_callers (void **state)
{
  static struct tst_reply replies[60];
  static char bodies[60][16];

  (void)state;
  tst_fixture_setup (&fixture,
                     &(struct tst_options){ .targets = 3, .slots = 5 });
  for (uint32_t i = 0; i < 60; i++)
    {
      struct tst_call call = {
        HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, 0
      };

      fixture.targets[i % 3].delay_us = (i * 7919) % 40000;
      snprintf (bodies[i], sizeof bodies[i], "body-%u", i);
      call.body = bodies[i];
      tst_begin_call (&fixture, 0, &call, &replies[i]);
    }
  for (uint32_t i = 0; i < 60; i++)
    {
      assert_true (tst_run_until (&fixture, &replies[i].done));
      tst_expect_reply ("mixed", &replies[i], 200, "answer");
      assert_string_equal (replies[i].body, bodies[i]);
    }
  for (uint32_t i = 0; i < 3; i++)
    assert_in_range (fixture.targets[i].max_running, 1, 5);
  tst_fixture_shutdown (&fixture);
}

struct permit_case
{
  const char *label;
  struct tst_lending lending;
  uint32_t max_running;
};

/* Eight slots divided by three seats give a base share of two slots. */
static const struct permit_case permit_cases[] = {
  { "base share only", { 0 }, 2 },
  { "two lent", { .slots = 2, .valid_for_ms = 5000 }, 4 },
  { "two lent, with a deadline",
    { .slots = 2, .valid_for_ms = 5000, .deadline_offset_ms = 5000 },
    4 },
  { "two lent, deadline has passed",
    { .slots = 2, .valid_for_ms = 5000, .deadline_offset_ms = -100 },
    2 },
  { "grant that arrives after its validity",
    { .slots = 2, .valid_for_ms = 300, .delay_us = 400000 },
    2 },
};

/* Guards against more requests in flight than a target has slots, because the
   gateway uses permits that their lender considers expired. */
static void
permits_bound_requests_in_flight (void **state)
{
  static struct tst_reply replies[12];
  static const struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };

  (void)state;
  for (size_t i = 0; i < sizeof permit_cases / sizeof permit_cases[0]; i++)
    {
      const struct permit_case *row = &permit_cases[i];

      tst_fixture_setup (&fixture, &(struct tst_options){ .seats = 3 });
      fixture.targets[0].delay_us = 150000;
      fixture.lending = row->lending;
      for (uint32_t j = 0; j < 12; j++)
        tst_begin_call (&fixture, 0, &call, &replies[j]);
      for (uint32_t j = 0; j < 12; j++)
        {
          assert_true (tst_run_until (&fixture, &replies[j].done));
          tst_expect_reply (row->label, &replies[j], 200, "answer");
        }
      if (fixture.targets[0].max_running != row->max_running)
        fail_msg ("%s: up to %u requests ran at once", row->label,
                  fixture.targets[0].max_running);
      tst_fixture_shutdown (&fixture);
    }
}

/* Guards against two gateways with the same seat that both use its base share.
 */
static void
one_of_two_gateways_with_one_seat_gives_up_its_base_share (void **state)
{
  static struct tst_reply replies[20];
  static const struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };

  (void)state;
  tst_fixture_setup (&fixture,
                     &(struct tst_options){ .gateways = 2,
                                            .seats = 4,
                                            .same_seat = true,
                                            .request_max_ms = 1000 });
  tst_run_us (&fixture, 1200000);
  fixture.targets[0].delay_us = 50000;
  for (uint32_t i = 0; i < 20; i++)
    tst_begin_call (&fixture, i % 2, &call, &replies[i]);
  for (uint32_t i = 0; i < 20; i++)
    {
      assert_true (tst_run_until (&fixture, &replies[i].done));
      assert_string_not_equal (replies[i].outcome, "unknown");
    }
  assert_int_equal (fixture.targets[0].max_running, 2);
  tst_fixture_shutdown (&fixture);
}

/* Guards against a gateway that uses a base share although its seat is beyond
   the seats of its domain: all slots already belong to the other seats. */
static void
gateway_beyond_the_seats_has_no_base_share (void **state)
{
  struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };
  struct tst_reply reply;

  (void)state;
  tst_fixture_setup (&fixture, &(struct tst_options){ .gateways = 2,
                                                      .seats = 1,
                                                      .request_max_ms = 300 });
  tst_call (&fixture, 0, &call, &reply);
  tst_expect_reply ("seat 0 of 1", &reply, 200, "answer");
  tst_call (&fixture, 1, &call, &reply);
  tst_expect_reply ("seat 1 of 1", &reply, 504, "not-run");
  tst_fixture_shutdown (&fixture);
}

/* Guards against new requests to a target that has reported that it drains. */
static void
draining_target_gets_no_new_request (void **state)
{
  static const struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };
  struct tst_reply reply;
  uint32_t before;

  (void)state;
  tst_fixture_setup (&fixture, &(struct tst_options){
                                   .gateways = 2, .targets = 2, .seats = 2 });
  tst_set_behaviour (&fixture, 0, TST_DRAINING);
  for (uint32_t i = 0; i < 20 && fixture.targets[0].starts == 0; i++)
    tst_call (&fixture, 0, &call, &reply);
  assert_int_equal (fixture.targets[0].starts, 1);
  tst_send_targets (&fixture, 2);
  before = fixture.targets[0].starts;
  for (uint32_t i = 0; i < 40; i++)
    {
      tst_call (&fixture, i % 2, &call, &reply);
      tst_expect_reply ("after draining", &reply, 200, "answer");
    }
  assert_int_equal (fixture.targets[0].starts, before);
  tst_fixture_shutdown (&fixture);
}

/* Guards against requests that a planned stop aborts, and against the outcome
   "not-run" during the stop for a request that an earlier attempt may have
   run. */
static void
planned_stop_finishes_what_was_begun (void **state)
{
  static struct tst_reply begun[20];
  struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };
  struct tst_call once = tst_once_call ("Idempotency-Key: stop", "y");
  struct tst_call retry = tst_once_call ("Idempotency-Key: later", "y");
  struct tst_call job
      = { HC_POST, TST_JOBS_PATH ("tally"), "stock-key", { 0 }, "" };
  static const struct tst_call ready = { HC_GET, "/ready", NULL, { 0 }, 0 };
  struct tst_reply reply;

  (void)state;
  /* The replies come later than the minimum duration of a stop. */
  tst_fixture_setup (&fixture, &(struct tst_options){ .slots = 16 });
  fixture.targets[0].delay_us = 1400000;
  for (uint32_t i = 0; i < 18; i++)
    tst_begin_call (&fixture, 0, &call, &begun[i]);
  tst_begin_call (&fixture, 0, &once, &begun[18]);
  tst_begin_call (&fixture, 0, &job, &begun[19]);
  tst_run_us (&fixture, 100000);
  gw_stop (&fixture.gateways[0].gw);
  tst_call (&fixture, 0, &ready, &reply);
  assert_int_equal (reply.status, 503);
  tst_call (&fixture, 0, &call, &reply);
  tst_expect_reply ("during the stop", &reply, 503, "not-run");
  tst_call (&fixture, 0, &retry, &reply);
  tst_expect_reply ("retry during the stop", &reply, 503, "unknown");
  assert_true (tst_run_until (&fixture, &fixture.gateways[0].stopped));
  tst_gateway_shutdown (&fixture, 0);
  for (uint32_t i = 0; i < 20; i++)
    {
      assert_true (tst_run_until (&fixture, &begun[i].done));
      tst_expect_reply ("begun before the stop", &begun[i],
                        i == 19 ? 202 : 200, "answer");
    }
  tst_fixture_shutdown (&fixture);
}

/* Guards against callers without a reply when a planned stop reaches its
   deadline. */
static void
stop_at_its_deadline_tells_every_caller (void **state)
{
  struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };
  struct tst_reply sent;
  struct tst_reply waiting;

  (void)state;
  tst_fixture_setup (&fixture,
                     &(struct tst_options){ .slots = 1, .drain_ms = 500 });
  tst_set_behaviour (&fixture, 0, TST_SILENT);
  tst_begin_call (&fixture, 0, &call, &sent);
  tst_run_us (&fixture, 50000);
  tst_begin_call (&fixture, 0, &call, &waiting);
  tst_run_us (&fixture, 50000);
  gw_stop (&fixture.gateways[0].gw);
  assert_true (tst_run_until (&fixture, &fixture.gateways[0].stopped));
  tst_gateway_shutdown (&fixture, 0);
  assert_true (tst_run_until (&fixture, &sent.done));
  assert_true (tst_run_until (&fixture, &waiting.done));
  tst_expect_reply ("sent", &sent, 504, "unknown");
  tst_expect_reply ("never sent", &waiting, 504, "not-run");
  tst_fixture_shutdown (&fixture);
}

/* Guards against a gateway that serves nothing while it cannot reach the log,
   or that misses a key withdrawal which a peer has read. */
static void
gateway_without_log_follows_its_peers (void **state)
{
  struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };
  struct tst_call once = tst_once_call ("Idempotency-Key: n", "x");
  struct tst_reply reply;

  (void)state;
  tst_fixture_setup (
      &fixture, &(struct tst_options){ .gateways = 2,
                                       .seats = 2,
                                       .second_gateway_without_log = true });
  tst_call (&fixture, 1, &call, &reply);
  tst_expect_reply ("repeatable", &reply, 200, "answer");
  tst_call (&fixture, 1, &once, &reply);
  tst_expect_reply ("once-only", &reply, 503, "unknown");
  tst_withdraw_key (&fixture, "orders-key");
  tst_run_us (&fixture, 1000000);
  tst_call (&fixture, 1, &call, &reply);
  tst_expect_reply ("withdrawn", &reply, 401, "not-run");
  tst_fixture_shutdown (&fixture);
}

/* Guards against refused requests to a queue that has no targets in the
   gateway's domain but has some in another domain. */
static void
request_is_forwarded_to_another_domain (void **state)
{
  struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "far"
  };
  struct tst_call once = tst_once_call ("Idempotency-Key: fwd", "far");
  struct tst_reply reply;

  (void)state;
  tst_fixture_setup (
      &fixture, &(struct tst_options){
                    .gateways = 2, .second_gateway_in_other_domain = true });
  tst_run_us (&fixture, 500000);
  tst_call (&fixture, 1, &call, &reply);
  tst_expect_reply ("forwarded", &reply, 200, "answer");
  assert_string_equal (reply.body, "far");
  for (uint32_t i = 0; i < 2; i++)
    {
      tst_call (&fixture, i == 0 ? 1 : 0, &once, &reply);
      tst_expect_reply ("forwarded once-only", &reply, 200, "answer");
    }
  assert_int_equal (tst_count_starts (&fixture), 2);
  tst_set_behaviour (&fixture, 0, TST_DOWN);
  tst_call (&fixture, 1, &call, &reply);
  assert_string_equal (reply.outcome, "not-run");
  tst_fixture_shutdown (&fixture);
}

/* Guards against one team whose open requests use all of the gateway's request
   slots. */
static void
team_cannot_fill_the_gateway (void **state)
{
  static struct tst_reply flood[16];
  struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };
  struct tst_call menu
      = { HC_POST, TST_REQUESTS_PATH ("menu"), "stock-key", { 0 }, "x" };
  struct tst_reply reply;
  uint32_t refused = 0;

  (void)state;
  tst_fixture_setup (
      &fixture, &(struct tst_options){
                    .slots = 64, .max_requests = 16, .request_max_ms = 1000 });
  fixture.targets[0].delay_us = 500000;
  for (uint32_t i = 0; i < 14; i++)
    tst_begin_call (&fixture, 0, &call, &flood[i]);
  tst_run_us (&fixture, 100000);
  tst_call (&fixture, 0, &menu, &reply);
  tst_expect_reply ("other team", &reply, 200, "answer");
  for (uint32_t i = 0; i < 14; i++)
    {
      assert_true (tst_run_until (&fixture, &flood[i].done));
      refused += flood[i].status == 429;
    }
  assert_in_range (refused, 4, 6);
  tst_fixture_shutdown (&fixture);
}

/* Guards against queued requests that never get a reply: each must end with
   "not-run" at its deadline. */
static void
waiting_requests_end_by_their_deadline (void **state)
{
  static struct tst_reply replies[10];
  struct tst_call call = {
    HC_POST, TST_REQUESTS_PATH ("round-plan"), "orders-key", { 0 }, "x"
  };
  uint32_t refused = 0;

  (void)state;
  tst_fixture_setup (
      &fixture, &(struct tst_options){ .slots = 1, .request_max_ms = 700 });
  tst_set_behaviour (&fixture, 0, TST_SILENT);
  for (uint32_t i = 0; i < 10; i++)
    tst_begin_call (&fixture, 0, &call, &replies[i]);
  for (uint32_t i = 0; i < 10; i++)
    {
      assert_true (tst_run_until (&fixture, &replies[i].done));
      refused += strcmp (replies[i].outcome, "not-run") == 0;
    }
  assert_int_equal (refused, 9);
  assert_int_equal (tst_count_starts (&fixture), 1);
  tst_fixture_shutdown (&fixture);
}

/* Guards against empty or failing status pages. */
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
  tst_fixture_setup (&fixture, &(struct tst_options){ 0 });
  for (size_t i = 0; i < sizeof pages / sizeof pages[0]; i++)
    {
      struct tst_reply reply;

      tst_call (&fixture, 0, &pages[i].call, &reply);
      tst_expect_reply (pages[i].label, &reply, 200, "answer");
      assert_true (reply.len > 10);
    }
  tst_fixture_shutdown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (answers_reach_their_own_callers),
    cmocka_unit_test (permits_bound_requests_in_flight),
    cmocka_unit_test (
        one_of_two_gateways_with_one_seat_gives_up_its_base_share),
    cmocka_unit_test (gateway_beyond_the_seats_has_no_base_share),
    cmocka_unit_test (draining_target_gets_no_new_request),
    cmocka_unit_test (planned_stop_finishes_what_was_begun),
    cmocka_unit_test (stop_at_its_deadline_tells_every_caller),
    cmocka_unit_test (gateway_without_log_follows_its_peers),
    cmocka_unit_test (request_is_forwarded_to_another_domain),
    cmocka_unit_test (team_cannot_fill_the_gateway),
    cmocka_unit_test (waiting_requests_end_by_their_deadline),
    cmocka_unit_test (operators_pages_are_served),
  };
  static struct ev_sink sink;

  ev_setup (&sink, &(struct ev_desc){ .role = CYC_STR ("test"),
                                      .lowest_level = G_LOG_LEVEL_CRITICAL });
  return cmocka_run_group_tests (tests, NULL, NULL);
}
