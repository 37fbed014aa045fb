/**
 * @file
 * Tests of the routing core: permits, fairness between teams, admission,
 * choice of target, retries, silent connections, leaving targets and ejection.
 */
#include <cyclamendrum/route.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define US_PER_MS UINT64_C (1000)
#define FAR_DEADLINE_US (UINT64_C (3600) * 1000 * 1000)
#define START_US UINT64_C (1000000)

static struct cyc_route rt;

static void
set_up (const struct cyc_rt_desc *desc)
{
  static struct cyc_findings found;

  memset (&found, 0, sizeof found);
  assert_true (cyc_rt_setup (&rt, desc, &found));
  cyc_rt_set_seats (&rt, 1, true);
}

static void
list_targets (const char *queue, uint32_t count, uint32_t slots)
{
  static char names[64][16];
  struct cyc_rt_target targets[64];

  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (names[i], sizeof names[i], "w%u", i);
      targets[i]
          = (struct cyc_rt_target){ .worker = cyc_str_of (names[i]),
                                    .address = CYC_STR ("http://127.0.0.1:1"),
                                    .slots = slots,
                                    .connections = 64 };
    }
  assert_true (cyc_rt_set_targets (&rt, cyc_str_of (queue), targets, count));
}

static struct cyc_rt_request
make_request (const char *queue, const char *team)
{
  return (struct cyc_rt_request){ .queue = cyc_str_of (queue),
                                  .team = cyc_str_of (team),
                                  .weight = 1,
                                  .deadline_us = FAR_DEADLINE_US };
}

static enum cyc_rt_admission
enqueue (struct cyc_rt_request request, uint64_t user, uint64_t now_us)
{
  struct cyc_ref ticket;

  request.user = user;
  return cyc_rt_enqueue (&rt, &request, now_us, &ticket);
}

static void
enqueue_many (const char *queue, const char *team, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    assert_int_equal (enqueue (make_request (queue, team), i, START_US),
                      CYC_RT_QUEUED);
}

static uint32_t
send_all (uint64_t now_us)
{
  struct cyc_rt_send send;
  uint32_t count = 0;

  while (cyc_rt_next (&rt, now_us, &send))
    count++;
  return count;
}

struct permit_case
{
  const char *name;
  uint32_t slots;
  uint32_t connections;
  uint32_t seats;
  bool base;     /**< the process holds its seat and uses the base share */
  uint32_t lent; /**< slots lent by the owner of the domain */
  uint64_t lent_until_us;
  uint32_t sent; /**< expected requests in flight */
};

static const struct permit_case permit_cases[] = {
  { "one seat", 8, 64, 1, true, 0, 0, 8 },
  { "base share of three seats", 8, 64, 3, true, 0, 0, 2 },
  { "nine seats leave no base share", 8, 64, 9, true, 0, 0, 0 },
  { "lent slots beyond the base share", 8, 64, 3, true, 2, START_US + 1, 4 },
  { "lent permits end with their deadline", 8, 64, 3, true, 2, START_US, 2 },
  { "no more slots than the target has", 8, 64, 1, true, 8, START_US + 1, 8 },
  { "connections limit the slots", 8, 6, 3, true, 6, START_US + 1, 2 },
  { "a seat held by another process", 8, 64, 3, false, 0, 0, 0 },
  { "number of seats unknown", 8, 64, 0, true, 0, 0, 0 },
};

/* Guards against more requests in flight on a target than its slots and
   connections permit. */
static void
permits_bound_the_requests_in_flight (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof permit_cases / sizeof permit_cases[0]; i++)
    {
      const struct permit_case *row = &permit_cases[i];
      struct cyc_rt_target target = { .worker = CYC_STR ("w0"),
                                      .address = CYC_STR ("http://a"),
                                      .slots = row->slots,
                                      .connections = row->connections };

      set_up (&(struct cyc_rt_desc){ 0 });
      cyc_rt_set_seats (&rt, row->seats, row->base);
      assert_true (cyc_rt_set_targets (&rt, CYC_STR ("q"), &target, 1));
      cyc_rt_lend (&rt, CYC_STR ("w0"), row->lent, row->lent,
                   row->lent_until_us);
      enqueue_many ("q", "t", 20);
      if (send_all (START_US) != row->sent)
        fail_msg ("%s", row->name);
      cyc_rt_shutdown (&rt);
    }
}

/* Guards against counting the slots of a worker once per queue that lists it,
   which would send it more requests than it has slots. */
static void
slots_are_counted_over_all_queues_of_a_worker (void **state)
{
  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q1", 1, 8);
  list_targets ("q2", 1, 8);
  enqueue_many ("q1", "t", 6);
  enqueue_many ("q2", "t", 6);
  assert_int_equal (send_all (START_US), 8);
  cyc_rt_shutdown (&rt);
}

struct hold_case
{
  enum cyc_rt_end end;
  uint64_t held_us; /**< time after the end of the flight */
};

/* Answers take 10 ms, the deadline is 500 ms away, the clock error 250 ms. */
static const struct hold_case hold_cases[] = {
  { CYC_RT_ANSWERED, 0 },
  { CYC_RT_FAILED, 0 },
  { CYC_RT_CLOSED, 290 * US_PER_MS },
  { CYC_RT_LOST, 750 * US_PER_MS },
};

/* Guards against reusing a slot while the target may still run the request
   that was lost, and against lost answers blocking the slots of a target for
   long. */
static void
slot_is_held_after_a_lost_answer (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof hold_cases / sizeof hold_cases[0]; i++)
    {
      uint64_t end_us = START_US + hold_cases[i].held_us;
      struct cyc_rt_send send;

      set_up (&(struct cyc_rt_desc){ .clock_error_us = 250 * US_PER_MS });
      list_targets ("q", 1, 1);
      enqueue_many ("q", "t", 3);
      assert_true (cyc_rt_next (&rt, START_US - 10 * US_PER_MS, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, START_US,
                     FAR_DEADLINE_US);
      assert_true (cyc_rt_next (&rt, START_US, &send));
      cyc_rt_finish (&rt, send.flight, hold_cases[i].end, START_US,
                     START_US + 500 * US_PER_MS);
      cyc_rt_tick (&rt, end_us - 1);
      assert_int_equal (cyc_rt_next (&rt, end_us - 1, &send),
                        hold_cases[i].held_us == 0);
      cyc_rt_tick (&rt, end_us);
      if (hold_cases[i].held_us > 0)
        assert_true (cyc_rt_next (&rt, end_us, &send));
      cyc_rt_shutdown (&rt);
    }
}

struct weight_case
{
  uint32_t weights[3];
  uint32_t sent[3]; /**< expected share of 400 requests */
};

static const struct weight_case weight_cases[] = {
  { { 1, 1, 0 }, { 200, 200, 0 } },
  { { 300, 100, 0 }, { 300, 100, 0 } },
  { { 200, 100, 100 }, { 200, 100, 100 } },
};

/* Guards against a team with many waiting requests starving the others. */
static void
freed_slots_are_divided_by_weight (void **state)
{
  static const char *const teams[] = { "a", "b", "c" };

  (void)state;
  for (size_t i = 0; i < sizeof weight_cases / sizeof weight_cases[0]; i++)
    {
      uint32_t sent[3] = { 0 };
      struct cyc_rt_send send;

      set_up (&(struct cyc_rt_desc){ 0 });
      list_targets ("q", 1, 1);
      for (uint64_t j = 0; j < 1500; j++)
        {
          struct cyc_rt_request request = make_request ("q", teams[j % 3]);

          request.weight = weight_cases[i].weights[j % 3];
          if (request.weight > 0)
            assert_int_equal (enqueue (request, j % 3, START_US),
                              CYC_RT_QUEUED);
        }
      for (uint32_t j = 0; j < 400; j++)
        {
          assert_true (cyc_rt_next (&rt, START_US, &send));
          sent[send.user]++;
          cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, START_US,
                         FAR_DEADLINE_US);
        }
      for (uint32_t j = 0; j < 3; j++)
        assert_in_range (sent[j] + 2, weight_cases[i].sent[j],
                         weight_cases[i].sent[j] + 4);
      cyc_rt_shutdown (&rt);
    }
}

/* Guards against one team filling the table of waiting requests, so that the
   requests of all other teams are refused. */
static void
waiting_requests_are_bounded_per_team (void **state)
{
  (void)state;
  set_up (&(struct cyc_rt_desc){ .max_waiting_per_team = 3 });
  list_targets ("q", 1, 1);
  enqueue_many ("q", "flood", 3);
  assert_int_equal (enqueue (make_request ("q", "flood"), 0, START_US),
                    CYC_RT_TEAM_FULL);
  assert_int_equal (enqueue (make_request ("q", "calm"), 0, START_US),
                    CYC_RT_QUEUED);
  assert_int_equal (enqueue (make_request ("none", "calm"), 0, START_US),
                    CYC_RT_NO_TARGET);
  cyc_rt_shutdown (&rt);
}

struct admission_case
{
  uint32_t waiting;
  uint64_t remaining_us;
  enum cyc_rt_admission admission;
};

/* One slot, and answers take 100 ms: with n waiting requests the estimated
   wait is (n + 1) * 100 ms. */
static const struct admission_case admission_cases[] = {
  { 0, 10 * US_PER_MS, CYC_RT_QUEUED },
  { 4, 499 * US_PER_MS, CYC_RT_TOO_LATE },
  { 4, 501 * US_PER_MS, CYC_RT_QUEUED },
};

/* Guards against admitting requests that cannot be answered in time. */
static void
request_that_would_miss_its_deadline_is_refused_at_once (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof admission_cases / sizeof admission_cases[0];
       i++)
    {
      struct cyc_rt_request request = make_request ("q", "t");
      struct cyc_rt_send send;

      set_up (&(struct cyc_rt_desc){ 0 });
      list_targets ("q", 1, 1);
      enqueue_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, START_US, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED,
                     START_US + 100 * US_PER_MS, FAR_DEADLINE_US);
      enqueue_many ("q", "t", admission_cases[i].waiting);
      request.deadline_us = START_US + admission_cases[i].remaining_us;
      assert_int_equal (enqueue (request, 0, START_US),
                        admission_cases[i].admission);
      cyc_rt_shutdown (&rt);
    }
}

/* Guards against a choice of targets that loads some targets heavily while
   others are idle. */
static void
load_is_even_over_the_targets (void **state)
{
  struct cyc_rt_worker_view view;
  uint32_t cursor = 0;

  (void)state;
  set_up (&(struct cyc_rt_desc){ .seed = 7 });
  list_targets ("q", 50, 8);
  enqueue_many ("q", "t", 200);
  assert_int_equal (send_all (START_US), 200);
  while (cyc_rt_worker_next (&rt, &cursor, START_US, &view))
    assert_in_range (view.in_use, 2, 6);
  cyc_rt_shutdown (&rt);
}

/* Guards against ejecting a slow target, and against sending it as many
   requests as the others. */
static void
slow_target_gets_less_but_is_not_ejected (void **state)
{
  uint32_t slow = 0;
  struct cyc_rt_worker_view view;
  uint32_t cursor = 0;

  (void)state;
  set_up (&(struct cyc_rt_desc){ .seed = 3 });
  list_targets ("q", 10, 8);
  for (uint64_t i = 0; i < 1000; i++)
    {
      struct cyc_rt_send send;
      bool is_slow;

      enqueue_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, START_US + i, &send));
      is_slow = strcmp (send.worker.data, "w0") == 0;
      slow += is_slow;
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED,
                     START_US + i
                         + (is_slow ? 800 * US_PER_MS : 10 * US_PER_MS),
                     FAR_DEADLINE_US);
    }
  assert_in_range (slow, 1, 50);
  while (cyc_rt_worker_next (&rt, &cursor, START_US, &view))
    assert_int_equal (view.health, CYC_RT_LIVE);
  cyc_rt_shutdown (&rt);
}

/* Guards against retries that amplify an overload. */
static void
retries_stay_within_a_tenth_of_the_load (void **state)
{
  uint32_t granted = 0;
  uint64_t at_us;

  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q", 10, 8);
  assert_false (cyc_rt_take_retry (&rt, 0, FAR_DEADLINE_US, START_US, &at_us));
  for (uint32_t i = 0; i < 900; i++)
    {
      struct cyc_rt_send send;
      struct cyc_rt_request request = make_request ("q", "t");

      enqueue_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, START_US, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, START_US + 1,
                     FAR_DEADLINE_US);
      if (!cyc_rt_take_retry (&rt, 2, FAR_DEADLINE_US, START_US, &at_us))
        continue;
      granted++;
      assert_in_range (at_us - START_US, 20 * US_PER_MS, 40 * US_PER_MS);
      request.is_retry = true;
      assert_int_equal (enqueue (request, 0, START_US), CYC_RT_QUEUED);
      assert_true (cyc_rt_next (&rt, START_US, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, START_US + 1,
                     FAR_DEADLINE_US);
    }
  assert_int_equal (granted, 90);
  enqueue_many ("q", "t", 10);
  assert_false (cyc_rt_take_retry (&rt, 0, START_US + 1, START_US, &at_us));
  cyc_rt_shutdown (&rt);
}

struct silence_case
{
  const char *name;
  bool fresh;              /**< the silent flight used a new connection */
  bool others_answer;      /**< a request on another connection is answered
                              meanwhile */
  uint64_t mean_answer_us; /**< mean answer time of the queue */
  bool silent;             /**< whether the flight is reported after 1 s */
  enum cyc_rt_health health;
};

static const struct silence_case silence_cases[] = {
  { "old connection silent, others answer", false, true, 1 * US_PER_MS, true,
    CYC_RT_LIVE },
  { "old connections silent", false, false, 1 * US_PER_MS, true, CYC_RT_LIVE },
  { "new connection silent too", true, false, 1 * US_PER_MS, true,
    CYC_RT_SUSPECT },
  { "new connection silent, others answer", true, true, 1 * US_PER_MS, true,
    CYC_RT_LIVE },
  { "slow answers are not silence", false, false, 400 * US_PER_MS, false,
    CYC_RT_LIVE },
};

static void
run_silence (const struct silence_case *row)
{
  struct cyc_rt_silent_flight rows[4];
  struct cyc_rt_send send;
  struct cyc_rt_send other;
  struct cyc_rt_worker_view view;
  uint32_t cursor = 0;

  set_up (&(struct cyc_rt_desc){ .silent_us = 1000 * US_PER_MS });
  list_targets ("q", 1, 8);
  enqueue_many ("q", "t", 3);
  assert_true (cyc_rt_next (&rt, START_US - row->mean_answer_us, &send));
  cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, START_US, FAR_DEADLINE_US);
  if (row->fresh)
    {
      enqueue_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, START_US, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_LOST, START_US, START_US);
    }
  assert_true (cyc_rt_next (&rt, START_US + 1, &send));
  assert_int_equal (send.fresh_connection, row->fresh);
  assert_true (cyc_rt_next (&rt, START_US + 1, &other));
  cyc_rt_finish (&rt, other.flight,
                 row->others_answer ? CYC_RT_ANSWERED : CYC_RT_LOST,
                 START_US + 2, START_US + 2);
  assert_int_equal (
      cyc_rt_take_silent (&rt, START_US + 999 * US_PER_MS, rows, 4), 0);
  if ((cyc_rt_take_silent (&rt, START_US + 1001 * US_PER_MS, rows, 4) == 1)
      != row->silent)
    fail_msg ("%s: silence", row->name);
  assert_true (cyc_rt_worker_next (&rt, &cursor, START_US, &view));
  if (view.health != row->health)
    fail_msg ("%s: health", row->name);
  cyc_rt_shutdown (&rt);
}

/* Guards against taking a broken connection for a dead target, and a slow
   target for a broken connection. */
static void
silent_connections_are_distinguished_from_dead_and_slow_targets (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof silence_cases / sizeof silence_cases[0]; i++)
    run_silence (&silence_cases[i]);
}

/* Guards against sending requests to a target that is down, and against never
   using it again after it has recovered. */
static void
unreachable_target_is_suspect_until_a_probe_succeeds (void **state)
{
  struct cyc_rt_request once = make_request ("q", "t");
  struct cyc_rt_send send;
  uint64_t later = START_US + 1000 * US_PER_MS;

  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q", 1, 8);
  enqueue_many ("q", "t", 4);
  assert_true (cyc_rt_next (&rt, START_US, &send));
  cyc_rt_finish (&rt, send.flight, CYC_RT_NOT_CONNECTED, START_US,
                 FAR_DEADLINE_US);
  assert_false (cyc_rt_next (&rt, START_US, &send));
  assert_true (cyc_rt_next (&rt, later, &send));
  assert_true (send.fresh_connection);
  assert_false (cyc_rt_next (&rt, later, &send));
  cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, later, FAR_DEADLINE_US);
  assert_int_equal (send_all (later), 2);
  once.once = true;
  assert_int_equal (enqueue (once, 0, later), CYC_RT_QUEUED);
  assert_true (cyc_rt_next (&rt, later, &send));
  assert_true (send.fresh_connection);
  cyc_rt_shutdown (&rt);
}

/* Guards against sending requests to a target that is shutting down, even if a
   target list from before the shutdown arrives afterwards. */
static void
leaving_target_gets_no_new_requests (void **state)
{
  struct cyc_rt_send send;

  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q", 2, 8);
  assert_true (cyc_rt_mark_leaving (&rt, CYC_STR ("w0")));
  assert_false (cyc_rt_mark_leaving (&rt, CYC_STR ("w0")));
  list_targets ("q", 2, 8);
  enqueue_many ("q", "t", 16);
  for (uint32_t i = 0; i < 8; i++)
    {
      assert_true (cyc_rt_next (&rt, START_US, &send));
      assert_string_equal (send.worker.data, "w1");
    }
  assert_false (cyc_rt_next (&rt, START_US, &send));
  assert_int_equal (cyc_rt_usable_count (&rt, CYC_STR ("q")), 1);
  cyc_rt_shutdown (&rt);
}

/* Guards against ejecting all targets of a service when the service itself is
   faulty and every target fails. */
static void
failing_targets_are_ejected_up_to_a_fifth (void **state)
{
  uint32_t ejected = 0;
  struct cyc_rt_worker_view view;
  uint32_t cursor = 0;
  struct cyc_rt_send send;

  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q", 10, 8);
  for (uint32_t i = 0; i < 500; i++)
    {
      enqueue_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, START_US, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_FAILED, START_US,
                     FAR_DEADLINE_US);
    }
  while (cyc_rt_worker_next (&rt, &cursor, START_US, &view))
    ejected += view.health == CYC_RT_EJECTED;
  assert_int_equal (ejected, 2);
  cyc_rt_shutdown (&rt);
}

/* Guards against losing the count of slots in use when a worker is removed
   from the target list of its queue and then added again. */
static void
slots_in_use_stay_counted_when_a_target_is_listed_again (void **state)
{
  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q", 1, 2);
  enqueue_many ("q", "t", 4);
  assert_int_equal (send_all (START_US), 2);
  list_targets ("q", 0, 2);
  list_targets ("q", 1, 2);
  assert_int_equal (send_all (START_US), 0);
  cyc_rt_shutdown (&rt);
}

/* Guards against requesting permits that are not needed, and against keeping
   lent slots after the need has passed, when other gateways could use them. */
static void
demand_follows_use_and_returns_unused_slots (void **state)
{
  struct cyc_rt_permit_use uses[4];
  struct cyc_rt_send sends[4];

  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  cyc_rt_set_seats (&rt, 4, true);
  list_targets ("q", 1, 8);
  assert_int_equal (cyc_rt_demand (&rt, START_US, uses, 4), 0);
  enqueue_many ("q", "t", 5);
  assert_int_equal (send_all (START_US), 2);
  assert_int_equal (cyc_rt_demand (&rt, START_US, uses, 4), 1);
  assert_int_equal (uses[0].wanted, 3);
  assert_int_equal (uses[0].in_use, 2);
  cyc_rt_lend (&rt, CYC_STR ("w0"), 3, 3, START_US + 5000 * US_PER_MS);
  for (uint32_t i = 0; i < 3; i++)
    assert_true (cyc_rt_next (&rt, START_US, &sends[i]));
  for (uint32_t i = 0; i < 3; i++)
    cyc_rt_finish (&rt, sends[i].flight, CYC_RT_ANSWERED, START_US,
                   FAR_DEADLINE_US);
  assert_int_equal (cyc_rt_demand (&rt, START_US, uses, 4), 1);
  assert_int_equal (uses[0].wanted, 3);
  assert_int_equal (uses[0].returned, 0);
  assert_int_equal (cyc_rt_demand (&rt, START_US, uses, 4), 1);
  assert_int_equal (uses[0].wanted, 0);
  assert_int_equal (uses[0].returned, 3);
  enqueue_many ("q", "t", 1);
  assert_int_equal (send_all (START_US), 0);
  cyc_rt_shutdown (&rt);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (permits_bound_the_requests_in_flight),
    cmocka_unit_test (slots_are_counted_over_all_queues_of_a_worker),
    cmocka_unit_test (slot_is_held_after_a_lost_answer),
    cmocka_unit_test (freed_slots_are_divided_by_weight),
    cmocka_unit_test (waiting_requests_are_bounded_per_team),
    cmocka_unit_test (request_that_would_miss_its_deadline_is_refused_at_once),
    cmocka_unit_test (load_is_even_over_the_targets),
    cmocka_unit_test (slow_target_gets_less_but_is_not_ejected),
    cmocka_unit_test (retries_stay_within_a_tenth_of_the_load),
    cmocka_unit_test (
        silent_connections_are_distinguished_from_dead_and_slow_targets),
    cmocka_unit_test (unreachable_target_is_suspect_until_a_probe_succeeds),
    cmocka_unit_test (leaving_target_gets_no_new_requests),
    cmocka_unit_test (failing_targets_are_ejected_up_to_a_fifth),
    cmocka_unit_test (slots_in_use_stay_counted_when_a_target_is_listed_again),
    cmocka_unit_test (demand_follows_use_and_returns_unused_slots),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
