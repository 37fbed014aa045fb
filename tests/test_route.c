/**
 * @file
 * The routing core, one table or test per mechanism: permits, fairness,
 * admission, choice, retries, silence, leaving, ejection.
 */
#include <cyclamendrum/route.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define MS UINT64_C (1000)
#define FAR (UINT64_C (3600) * 1000 * 1000)
#define T0 UINT64_C (1000000)

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
request_of (const char *queue, const char *team)
{
  return (struct cyc_rt_request){ .queue = cyc_str_of (queue),
                                  .team = cyc_str_of (team),
                                  .weight = 1,
                                  .deadline_us = FAR };
}

static enum cyc_rt_admission
put (struct cyc_rt_request request, uint64_t user, uint64_t now_us)
{
  struct cyc_ref ticket;

  request.user = user;
  return cyc_rt_enqueue (&rt, &request, now_us, &ticket);
}

static void
put_many (const char *queue, const char *team, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    assert_int_equal (put (request_of (queue, team), i, T0), CYC_RT_QUEUED);
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
  const char *what;
  uint32_t slots;
  uint32_t connections;
  uint32_t seats;
  bool base;
  uint32_t lent;
  uint64_t lent_until_us;
  uint32_t sent;
};

static const struct permit_case permit_cases[] = {
  { "alone", 8, 64, 1, true, 0, 0, 8 },
  { "base part of three seats", 8, 64, 3, true, 0, 0, 2 },
  { "nine seats leave no base part", 8, 64, 9, true, 0, 0, 0 },
  { "lent on top of the base part", 8, 64, 3, true, 2, T0 + 1, 4 },
  { "lent permits end with their deadline", 8, 64, 3, true, 2, T0, 2 },
  { "never more than the target has", 8, 64, 1, true, 8, T0 + 1, 8 },
  { "connections bound too", 8, 6, 3, true, 6, T0 + 1, 2 },
  { "a taken seat has no base part", 8, 64, 3, false, 0, 0, 0 },
  { "no seats known", 8, 64, 0, true, 0, 0, 0 },
};

/* Guards against slots or connections of a target being overrun. */
static void
permits_bound_what_is_in_flight (void **state)
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
      put_many ("q", "t", 20);
      if (send_all (T0) != row->sent)
        fail_msg ("%s", row->what);
      cyc_rt_shutdown (&rt);
    }
}

/* Guards against counting a worker's slots once per service on it. */
static void
slots_are_counted_over_all_queues_of_a_worker (void **state)
{
  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q1", 1, 8);
  list_targets ("q2", 1, 8);
  put_many ("q1", "t", 6);
  put_many ("q2", "t", 6);
  assert_int_equal (send_all (T0), 8);
  cyc_rt_shutdown (&rt);
}

struct hold_case
{
  enum cyc_rt_end end;
  uint64_t held_us; /**< after the end */
};

/* Answers take 10 ms, the deadline is 500 ms away, the clock error 250 ms. */
static const struct hold_case hold_cases[] = {
  { CYC_RT_ANSWERED, 0 },
  { CYC_RT_FAILED, 0 },
  { CYC_RT_CLOSED, 290 * MS },
  { CYC_RT_LOST, 750 * MS },
};

/* Guards against reuse of a slot on which the target may still work, and
   against lost answers that block a target for long. */
static void
slot_without_answer_is_held (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof hold_cases / sizeof hold_cases[0]; i++)
    {
      uint64_t end_us = T0 + hold_cases[i].held_us;
      struct cyc_rt_send send;

      set_up (&(struct cyc_rt_desc){ .clock_error_us = 250 * MS });
      list_targets ("q", 1, 1);
      put_many ("q", "t", 3);
      assert_true (cyc_rt_next (&rt, T0 - 10 * MS, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, T0, FAR);
      assert_true (cyc_rt_next (&rt, T0, &send));
      cyc_rt_finish (&rt, send.flight, hold_cases[i].end, T0, T0 + 500 * MS);
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
  uint32_t sent[3]; /**< of 400 */
};

static const struct weight_case weight_cases[] = {
  { { 1, 1, 0 }, { 200, 200, 0 } },
  { { 300, 100, 0 }, { 300, 100, 0 } },
  { { 200, 100, 100 }, { 200, 100, 100 } },
};

/* Guards against a team with many requests starving the others. */
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
          struct cyc_rt_request request = request_of ("q", teams[j % 3]);

          request.weight = weight_cases[i].weights[j % 3];
          if (request.weight > 0)
            assert_int_equal (put (request, j % 3, T0), CYC_RT_QUEUED);
        }
      for (uint32_t j = 0; j < 400; j++)
        {
          assert_true (cyc_rt_next (&rt, T0, &send));
          sent[send.user]++;
          cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, T0, FAR);
        }
      for (uint32_t j = 0; j < 3; j++)
        assert_in_range (sent[j] + 2, weight_cases[i].sent[j],
                         weight_cases[i].sent[j] + 4);
      cyc_rt_shutdown (&rt);
    }
}

/* Guards against one team's flood filling the gateway for all. */
static void
waiting_is_bounded_per_team (void **state)
{
  (void)state;
  set_up (&(struct cyc_rt_desc){ .max_waiting_per_team = 3 });
  list_targets ("q", 1, 1);
  put_many ("q", "flood", 3);
  assert_int_equal (put (request_of ("q", "flood"), 0, T0), CYC_RT_TEAM_FULL);
  assert_int_equal (put (request_of ("q", "calm"), 0, T0), CYC_RT_QUEUED);
  assert_int_equal (put (request_of ("none", "calm"), 0, T0),
                    CYC_RT_NO_TARGET);
  cyc_rt_shutdown (&rt);
}

struct admission_case
{
  uint32_t waiting;
  uint64_t left_us;
  enum cyc_rt_admission admission;
};

/* One slot, answers take 100 ms: n waiting requests mean (n + 1) * 100 ms. */
static const struct admission_case admission_cases[] = {
  { 0, 10 * MS, CYC_RT_QUEUED },
  { 4, 499 * MS, CYC_RT_TOO_LATE },
  { 4, 501 * MS, CYC_RT_QUEUED },
};

/* Guards against requests that wait in vain for an answer that is too late. */
static void
request_that_cannot_be_in_time_is_refused_at_once (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof admission_cases / sizeof admission_cases[0];
       i++)
    {
      struct cyc_rt_request request = request_of ("q", "t");
      struct cyc_rt_send send;

      set_up (&(struct cyc_rt_desc){ 0 });
      list_targets ("q", 1, 1);
      put_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, T0, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, T0 + 100 * MS, FAR);
      put_many ("q", "t", admission_cases[i].waiting);
      request.deadline_us = T0 + admission_cases[i].left_us;
      assert_int_equal (put (request, 0, T0), admission_cases[i].admission);
      cyc_rt_shutdown (&rt);
    }
}

/* Guards against random choice that loads single targets heavily. */
static void
load_is_even_over_the_targets (void **state)
{
  struct cyc_rt_worker_view view;
  uint32_t cursor = 0;

  (void)state;
  set_up (&(struct cyc_rt_desc){ .seed = 7 });
  list_targets ("q", 50, 8);
  put_many ("q", "t", 200);
  assert_int_equal (send_all (T0), 200);
  while (cyc_rt_worker_next (&rt, &cursor, T0, &view))
    assert_in_range (view.in_use, 2, 6);
  cyc_rt_shutdown (&rt);
}

/* Guards against a slow target being ejected, or loaded like the others. */
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

      put_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, T0 + i, &send));
      is_slow = strcmp (send.worker.data, "w0") == 0;
      slow += is_slow;
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED,
                     T0 + i + (is_slow ? 800 * MS : 10 * MS), FAR);
    }
  assert_in_range (slow, 1, 50);
  while (cyc_rt_worker_next (&rt, &cursor, T0, &view))
    assert_int_equal (view.health, CYC_RT_LIVE);
  cyc_rt_shutdown (&rt);
}

/* Guards against retries that add to an overload. */
static void
retries_stay_within_a_tenth_of_the_load (void **state)
{
  uint32_t granted = 0;
  uint64_t at_us;

  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q", 10, 8);
  assert_false (cyc_rt_take_retry (&rt, 0, FAR, T0, &at_us));
  for (uint32_t i = 0; i < 900; i++)
    {
      struct cyc_rt_send send;
      struct cyc_rt_request request = request_of ("q", "t");

      put_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, T0, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, T0 + 1, FAR);
      if (!cyc_rt_take_retry (&rt, 2, FAR, T0, &at_us))
        continue;
      granted++;
      assert_in_range (at_us - T0, 20 * MS, 40 * MS);
      request.is_retry = true;
      assert_int_equal (put (request, 0, T0), CYC_RT_QUEUED);
      assert_true (cyc_rt_next (&rt, T0, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, T0 + 1, FAR);
    }
  assert_int_equal (granted, 90);
  put_many ("q", "t", 10);
  assert_false (cyc_rt_take_retry (&rt, 0, T0 + 1, T0, &at_us));
  cyc_rt_shutdown (&rt);
}

struct silence_case
{
  const char *what;
  bool fresh;        /**< the silent flight was on a new connection */
  bool others;       /**< another connection is answered meanwhile */
  uint64_t usual_us; /**< usual answer time of the queue */
  bool silent;       /**< reported after 1 s */
  enum cyc_rt_health health;
};

static const struct silence_case silence_cases[] = {
  { "old connection silent, others answer", false, true, 1 * MS, true,
    CYC_RT_LIVE },
  { "old connections silent", false, false, 1 * MS, true, CYC_RT_LIVE },
  { "new connection silent too", true, false, 1 * MS, true, CYC_RT_SUSPECT },
  { "new connection silent, others answer", true, true, 1 * MS, true,
    CYC_RT_LIVE },
  { "slow answers are not silence", false, false, 400 * MS, false,
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

  set_up (&(struct cyc_rt_desc){ .silent_us = 1000 * MS });
  list_targets ("q", 1, 8);
  put_many ("q", "t", 3);
  assert_true (cyc_rt_next (&rt, T0 - row->usual_us, &send));
  cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, T0, FAR);
  if (row->fresh)
    {
      put_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, T0, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_LOST, T0, T0);
    }
  assert_true (cyc_rt_next (&rt, T0 + 1, &send));
  assert_int_equal (send.fresh_connection, row->fresh);
  assert_true (cyc_rt_next (&rt, T0 + 1, &other));
  cyc_rt_finish (&rt, other.flight,
                 row->others ? CYC_RT_ANSWERED : CYC_RT_LOST, T0 + 2, T0 + 2);
  assert_int_equal (cyc_rt_take_silent (&rt, T0 + 999 * MS, rows, 4), 0);
  if ((cyc_rt_take_silent (&rt, T0 + 1001 * MS, rows, 4) == 1) != row->silent)
    fail_msg ("%s: silence", row->what);
  assert_true (cyc_rt_worker_next (&rt, &cursor, T0, &view));
  if (view.health != row->health)
    fail_msg ("%s: health", row->what);
  cyc_rt_shutdown (&rt);
}

/* Guards against taking a lost connection for a dead target, and a slow
   target for a lost connection. */
static void
silent_connections_are_told_from_dead_and_slow_targets (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof silence_cases / sizeof silence_cases[0]; i++)
    run_silence (&silence_cases[i]);
}

/* Guards against a dead target taking requests, and against it staying out
   when it is back. */
static void
unreachable_target_is_suspect_until_a_probe_succeeds (void **state)
{
  struct cyc_rt_request once = request_of ("q", "t");
  struct cyc_rt_send send;
  uint64_t later = T0 + 1000 * MS;

  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q", 1, 8);
  put_many ("q", "t", 4);
  assert_true (cyc_rt_next (&rt, T0, &send));
  cyc_rt_finish (&rt, send.flight, CYC_RT_NOT_CONNECTED, T0, FAR);
  assert_false (cyc_rt_next (&rt, T0, &send));
  assert_true (cyc_rt_next (&rt, later, &send));
  assert_true (send.fresh_connection);
  assert_false (cyc_rt_next (&rt, later, &send));
  cyc_rt_finish (&rt, send.flight, CYC_RT_ANSWERED, later, FAR);
  assert_int_equal (send_all (later), 2);
  once.once = true;
  assert_int_equal (put (once, 0, later), CYC_RT_QUEUED);
  assert_true (cyc_rt_next (&rt, later, &send));
  assert_true (send.fresh_connection);
  cyc_rt_shutdown (&rt);
}

/* Guards against work for a target in shutdown, also when the owner's list
   does not know yet that it leaves. */
static void
leaving_target_gets_nothing_new (void **state)
{
  struct cyc_rt_send send;

  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q", 2, 8);
  assert_true (cyc_rt_mark_leaving (&rt, CYC_STR ("w0")));
  assert_false (cyc_rt_mark_leaving (&rt, CYC_STR ("w0")));
  list_targets ("q", 2, 8);
  put_many ("q", "t", 16);
  for (uint32_t i = 0; i < 8; i++)
    {
      assert_true (cyc_rt_next (&rt, T0, &send));
      assert_string_equal (send.worker.data, "w1");
    }
  assert_false (cyc_rt_next (&rt, T0, &send));
  assert_int_equal (cyc_rt_usable_count (&rt, CYC_STR ("q")), 1);
  cyc_rt_shutdown (&rt);
}

/* Guards against a fault of the service itself ejecting all its targets. */
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
      put_many ("q", "t", 1);
      assert_true (cyc_rt_next (&rt, T0, &send));
      cyc_rt_finish (&rt, send.flight, CYC_RT_FAILED, T0, FAR);
    }
  while (cyc_rt_worker_next (&rt, &cursor, T0, &view))
    ejected += view.health == CYC_RT_EJECTED;
  assert_int_equal (ejected, 2);
  cyc_rt_shutdown (&rt);
}

/* Guards against a worker's used slots being forgotten when its queue is
   listed without it and then with it again. */
static void
slots_in_use_survive_a_change_of_the_list (void **state)
{
  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  list_targets ("q", 1, 2);
  put_many ("q", "t", 4);
  assert_int_equal (send_all (T0), 2);
  list_targets ("q", 0, 2);
  list_targets ("q", 1, 2);
  assert_int_equal (send_all (T0), 0);
  cyc_rt_shutdown (&rt);
}

/* Guards against permits that are asked for without need, or kept from the
   other gateways when the need has passed. */
static void
demand_follows_use_and_gives_back_the_rest (void **state)
{
  struct cyc_rt_permit_use uses[4];
  struct cyc_rt_send sends[4];

  (void)state;
  set_up (&(struct cyc_rt_desc){ 0 });
  cyc_rt_set_seats (&rt, 4, true);
  list_targets ("q", 1, 8);
  assert_int_equal (cyc_rt_demand (&rt, T0, uses, 4), 0);
  put_many ("q", "t", 5);
  assert_int_equal (send_all (T0), 2);
  assert_int_equal (cyc_rt_demand (&rt, T0, uses, 4), 1);
  assert_int_equal (uses[0].wanted, 3);
  assert_int_equal (uses[0].in_use, 2);
  cyc_rt_lend (&rt, CYC_STR ("w0"), 3, 3, T0 + 5000 * MS);
  for (uint32_t i = 0; i < 3; i++)
    assert_true (cyc_rt_next (&rt, T0, &sends[i]));
  for (uint32_t i = 0; i < 3; i++)
    cyc_rt_finish (&rt, sends[i].flight, CYC_RT_ANSWERED, T0, FAR);
  assert_int_equal (cyc_rt_demand (&rt, T0, uses, 4), 1);
  assert_int_equal (uses[0].wanted, 3);
  assert_int_equal (uses[0].returned, 0);
  assert_int_equal (cyc_rt_demand (&rt, T0, uses, 4), 1);
  assert_int_equal (uses[0].wanted, 0);
  assert_int_equal (uses[0].returned, 3);
  put_many ("q", "t", 1);
  assert_int_equal (send_all (T0), 0);
  cyc_rt_shutdown (&rt);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (permits_bound_what_is_in_flight),
    cmocka_unit_test (slots_are_counted_over_all_queues_of_a_worker),
    cmocka_unit_test (slot_without_answer_is_held),
    cmocka_unit_test (freed_slots_are_divided_by_weight),
    cmocka_unit_test (waiting_is_bounded_per_team),
    cmocka_unit_test (request_that_cannot_be_in_time_is_refused_at_once),
    cmocka_unit_test (load_is_even_over_the_targets),
    cmocka_unit_test (slow_target_gets_less_but_is_not_ejected),
    cmocka_unit_test (retries_stay_within_a_tenth_of_the_load),
    cmocka_unit_test (silent_connections_are_told_from_dead_and_slow_targets),
    cmocka_unit_test (unreachable_target_is_suspect_until_a_probe_succeeds),
    cmocka_unit_test (leaving_target_gets_nothing_new),
    cmocka_unit_test (failing_targets_are_ejected_up_to_a_fifth),
    cmocka_unit_test (slots_in_use_survive_a_change_of_the_list),
    cmocka_unit_test (demand_follows_use_and_gives_back_the_rest),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
