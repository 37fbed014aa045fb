/* Calls that were made for a former incarnation of a worker and are executed
   by the next one, which is back under the same id. Their deadline is on
   another clock, so everything on the worker gets the longest lease that it
   grants. Guards against a leader that counts with the lease that leaders ask
   for: it takes runs for over and starts their tasks again while the worker
   still runs them. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define LEASE_MS FLEET_LEASE_MS
#define LEASE_MAX_MS 10000
/** Until a worker that has crashed is back under its id. */
#define BACK_MS 600
#define HOLD_IDLE_MS 2500
/** Age of the former incarnation, whose own birth tells nothing of the
 * restart. The next idle hold is not due before the new one is called. */
#define FORMER_AGE_MS (12 * HOLD_IDLE_MS + 100)
/** From the crash to the execution of a late hold. */
#define LATE_HOLD_MS 3600
/** Clocks of the two incarnations. */
#define FORMER_CLOCK_MS 3349000
#define CLOCK_MS 2271000
/** Allowance for the interval between holds and the steps of time. */
#define STEPS_MS 50
#define CAPACITY_MILLICORES 4000
/** Of the task that is lost to the cut. */
#define WORK_MS 30000
/** By then the leases of all late calls have lapsed, with a second to spare,
 * and the task has run elsewhere. */
#define SETTLED_MS (1800 + 12000 + LEASE_MAX_MS * 11 / 10 + WORK_MS + 1000)

enum stale
{
  STALE_HOLD,
  STALE_START,
  STALE_START_OLD,          /* refused as old, which extends leases as well */
  STALE_LATE_HOLD,          /* executed 3 s after the restart */
  STALE_LATE_HOLD_UNFENCED, /* the same, and the leader's token does not rise
                               meanwhile */
  STALE_COUNT
};

enum takeover
{
  TAKEOVER_NONE,
  TAKEOVER_BEFORE, /* the leader does not know the restart yet */
  TAKEOVER_UNREAD, /* nor does the new one: the store is down, and the entry
                      that was written last is of the former incarnation */
  TAKEOVER_AFTER,
  TAKEOVER_TWICE, /* after it, and once more */
  TAKEOVER_COUNT
};

enum cut
{
  CUT_BEFORE_CALL, /* by the last leader to the new incarnation */
  CUT_AFTER_REPORT,
  CUT_COUNT
};

static const char *const stale_names[]
    = { "hold", "start", "old start", "late hold", "unfenced late hold" };
static const char *const takeover_names[]
    = { "none", "before", "unread", "after", "twice" };
static const char *const cut_names[] = { "before call", "after report" };

static struct fleet *
setup (uint32_t workers)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  fleet_setup_lease_max (fleet, workers, CAPACITY_MILLICORES, LEASE_MS,
                         LEASE_MAX_MS);
  fleet->calls_reach_later = true;
  fleet->hold_idle_ms = HOLD_IDLE_MS;
  return fleet;
}

static void
teardown (struct fleet *fleet)
{
  fleet_teardown (fleet);
  free (fleet);
}

/* Sends a hold for the incarnation that the leader knows, which is executed
   after @p delay_ms and not answered. */
static void
send_late_hold (struct fleet *fleet, uint32_t row, uint32_t delay_ms)
{
  struct hold_in_flight *hold = g_new0 (struct hold_in_flight, 1);
  struct cell_worker_view view;

  cell_worker_view (fleet->core, row, &view);
  hold->row = row;
  hold->late = true;
  hold->due_ms = fleet->now_ms + delay_ms;
  hold->epoch = fleet->epoch;
  hold->fence = fleet_call_fence (fleet, &fleet->workers[row], &view);
  hold->lease_deadline_ms = fleet_lease_deadline (fleet, &view);
  cell_worker_leased (fleet->core, row, hold->lease_deadline_ms);
  g_ptr_array_add (fleet->holds_in_flight, hold);
}

static void
run_until_running (struct fleet *fleet, uint32_t row)
{
  for (int i = 0; i < 100 && fleet->workers[row].run_count == 0; i++)
    fleet_run (fleet, 5);
  assert_int_equal (fleet->workers[row].run_count, 1);
}

static void
start_long_task (struct fleet *fleet)
{
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 1 }, .work_ms = WORK_MS });
  run_until_running (fleet, 0);
}

/* Starts a short task, and the long one as well if @p own_start. A copy of the
   start of the short task arrives when it has ended. */
static void
start_short_task_twice (struct fleet *fleet, bool own_start)
{
  struct order_in_flight *start;
  struct order_in_flight *copy;

  fleet_submit (fleet, 2, &(struct fleet_job){ .tasks = { 1 }, .work_ms = 5 });
  if (own_start)
    fleet_submit (fleet, 1,
                  &(struct fleet_job){ .tasks = { 1 }, .work_ms = WORK_MS });
  for (int i = 0; i < 100 && fleet->orders_in_flight->len == 0; i++)
    fleet_run (fleet, 5);
  assert_int_equal (fleet->orders_in_flight->len, 1 + own_start);
  start = g_ptr_array_index (fleet->orders_in_flight, 0);
  if (!g_str_has_prefix (start->order.task, "0000000000000002."))
    start = g_ptr_array_index (fleet->orders_in_flight, 1);
  copy = g_memdup2 (start, sizeof *start);
  copy->answered = true;
  copy->due_ms += 20;
  start->answer_lost = true;
  start->call_end_ms = copy->due_ms;
  g_ptr_array_add (fleet->orders_in_flight, copy);
  fleet_run (fleet, 25);
  assert_int_equal (fleet->starts, 1 + own_start);
  assert_int_equal (fleet->workers[0].run_count, own_start);
}

static uint64_t
lease_left_ms (const struct fleet *fleet)
{
  const struct fleet_worker *worker = &fleet->workers[0];
  uint64_t clock_ms = fleet_clock (fleet, worker);

  return worker->lease_deadline_ms > clock_ms
             ? worker->lease_deadline_ms - clock_ms
             : 0;
}

static bool
is_late (enum stale stale)
{
  return stale == STALE_LATE_HOLD || stale == STALE_LATE_HOLD_UNFENCED;
}

/* Has the worker restart, with a call for the former incarnation that reaches
   the new one. @p own_start: the leader starts the long task before it knows
   the restart. */
static void
restart_with_stale_call (struct fleet *fleet, enum stale stale, bool own_start)
{
  fleet_set_clock (fleet, 0, FORMER_CLOCK_MS);
  fleet_run (fleet, FORMER_AGE_MS);
  if (stale == STALE_HOLD)
    send_late_hold (fleet, 0, BACK_MS + 5);
  if (is_late (stale))
    send_late_hold (fleet, 0, LATE_HOLD_MS);
  fleet->renewals_fail = stale == STALE_LATE_HOLD_UNFENCED;
  fleet_crash (fleet, 0);
  fleet_run (fleet, BACK_MS);
  fleet_restart_unread (fleet, 0);
  fleet_set_clock (fleet, 0, CLOCK_MS);
  if (stale == STALE_START_OLD)
    start_short_task_twice (fleet, own_start);
  else if (own_start)
    start_long_task (fleet);
  fleet_run (fleet, 5);
  if (!is_late (stale))
    assert_true (lease_left_ms (fleet) > LEASE_MAX_MS - 100);
}

/* Plays a case and returns whether it breaks no rule. */
static bool
play (enum stale stale, enum takeover takeover, enum cut cut)
{
  struct fleet *fleet = setup (1);
  /* No leader that knows the restart reaches the worker, so that only a start
     made for the former incarnation can have put the task there. */
  bool unreached = cut == CUT_BEFORE_CALL && takeover != TAKEOVER_AFTER
                   && takeover != TAKEOVER_TWICE;
  /* A leader that knows the restart sends no start under its former token. */
  bool own_start
      = stale == STALE_START || unreached || stale == STALE_LATE_HOLD_UNFENCED;
  bool passed;

  restart_with_stale_call (fleet, stale, own_start);
  if (takeover == TAKEOVER_BEFORE)
    fleet->workers[0].written_born_ms = fleet->workers[0].born_ms;
  if (takeover == TAKEOVER_BEFORE || takeover == TAKEOVER_UNREAD)
    fleet_takeover (fleet);
  fleet->workers[0].partitioned = unreached;
  if (takeover != TAKEOVER_UNREAD || !unreached)
    fleet_list (fleet, 0);
  fleet_run (fleet, 100);
  if (!own_start)
    start_long_task (fleet);
  if (takeover == TAKEOVER_TWICE)
    {
      fleet_takeover (fleet);
      fleet_run (fleet, 50);
    }
  if (takeover == TAKEOVER_AFTER || takeover == TAKEOVER_TWICE)
    fleet_takeover (fleet);
  if (cut == CUT_AFTER_REPORT)
    fleet_run (fleet, 100);
  fleet->workers[0].partitioned = true;
  fleet_list (fleet, fleet_add_worker (fleet, CAPACITY_MILLICORES));
  fleet_run (fleet, SETTLED_MS);
  passed = fleet->violations == 0
           && fleet_job_state (fleet, 1) == CELL_JOB_COMPLETE;
  print_message ("%s: stale %s, takeover %s, cut %s: %s\n",
                 passed ? "ok" : "RED", stale_names[stale],
                 takeover_names[takeover], cut_names[cut],
                 fleet->violations > 0 ? fleet->first_violation
                 : passed              ? "no violation"
                                       : "the task was not started again");
  teardown (fleet);
  return passed;
}

/* All cases are played, so that the output tells which of them are red. */
static void
test_stale_call_to_a_new_incarnation (void **state)
{
  uint32_t failures = 0;

  (void)state;
  for (int stale = 0; stale < STALE_COUNT; stale++)
    for (int takeover = 0; takeover < TAKEOVER_COUNT; takeover++)
      for (int cut = 0; cut < CUT_COUNT; cut++)
        failures += !play ((enum stale)stale, (enum takeover)takeover,
                           (enum cut)cut);
  assert_int_equal (failures, 0);
}

/* A worker whose last restart is long ago, or that has never restarted, falls
   silent after a takeover. No stale call can be left, so its run, which is on
   record and reported, is over after the lease that leaders ask for and a
   tenth of it. A longer wait keeps its task from starting again. */
static void
test_no_longer_wait_without_a_recent_restart (void **state)
{
  (void)state;
  for (int restarted = 0; restarted < 2; restarted++)
    for (int takeovers = 1; takeovers <= 2; takeovers++)
      {
        struct fleet *fleet = setup (1);

        if (restarted)
          {
            restart_with_stale_call (fleet, STALE_HOLD, false);
            fleet_list (fleet, 0);
          }
        fleet_run (fleet, 60000);
        start_long_task (fleet);
        for (int i = 0; i < takeovers; i++)
          {
            fleet_run (fleet, 100);
            fleet_takeover (fleet);
          }
        fleet_run (fleet, 100);
        fleet->workers[0].partitioned = true;
        fleet_run (fleet, LEASE_MS);
        assert_int_equal (fleet->conclusions[CELL_OVER_LAPSED], 0);
        fleet_run (fleet, LEASE_MS / 10 + STEPS_MS);
        assert_int_equal (fleet->conclusions[CELL_OVER_LAPSED], 1);
        assert_int_equal (fleet->violations, 0);
        teardown (fleet);
      }
}

/* The worker has restarted and reported under a token that refuses stale
   calls. Its run is over after the longest lease and a tenth of it, also if
   the leader knows the restart: no call can extend a lease any more. */
static void
test_stale_lease_ends_with_the_longest_one (void **state)
{
  uint32_t failures = 0;

  (void)state;
  for (int takeovers = 0; takeovers <= 2; takeovers++)
    {
      struct fleet *fleet = setup (1);

      restart_with_stale_call (fleet, STALE_HOLD, false);
      fleet_list (fleet, 0);
      fleet_run (fleet, 100);
      start_long_task (fleet);
      fleet_run (fleet, 50);
      for (int i = 0; i < takeovers; i++)
        {
          fleet_takeover (fleet);
          fleet_run (fleet, 50);
        }
      fleet->workers[0].partitioned = true;
      fleet_run (fleet, LEASE_MAX_MS * 11 / 10 + STEPS_MS);
      if (fleet->violations > 0 || fleet->conclusions[CELL_OVER_LAPSED] != 1)
        {
          failures++;
          print_message ("RED: %d takeovers: %s\n", takeovers,
                         fleet->violations > 0 ? fleet->first_violation
                                               : "the run is not over");
        }
      teardown (fleet);
    }
  assert_int_equal (failures, 0);
}

/* Random fleets: workers restart under their ids with any clock, are cut off,
   and leaders change, in any order, while long tasks run and calls are late.
   All jobs end once the faults have ended. */
#define RANDOM_WORKERS 4
#define RANDOM_JOBS 40
#define RANDOM_STEPS 150

/** When the crashed workers are back, and when their entries are read. */
struct random_worker
{
  uint64_t back_ms;
  uint64_t list_ms;
};

static void
random_restart (struct fleet *fleet, GRand *rand, struct random_worker *worker,
                uint32_t row)
{
  if (worker->back_ms != 0 && fleet->now_ms >= worker->back_ms)
    {
      fleet_restart_unread (fleet, row);
      fleet_set_clock (fleet, row,
                       (uint64_t)g_rand_int_range (rand, 1000, 60000));
      worker->list_ms
          = fleet->now_ms + (uint64_t)g_rand_int_range (rand, 0, 1500);
      worker->back_ms = 0;
    }
  if (worker->list_ms != 0 && fleet->now_ms >= worker->list_ms)
    {
      fleet_list (fleet, row);
      worker->list_ms = 0;
    }
}

static void
random_fault (struct fleet *fleet, GRand *rand, struct random_worker *workers)
{
  uint32_t row = (uint32_t)g_rand_int_range (rand, 0, RANDOM_WORKERS);

  switch (g_rand_int_range (rand, 0, 6))
    {
    case 0:
    case 1:
      if (!fleet->workers[row].up)
        break;
      fleet_crash (fleet, row);
      workers[row].back_ms = fleet->now_ms + BACK_MS;
      workers[row].list_ms = 0;
      break;
    case 2:
    case 3:
      fleet->workers[row].partitioned = !fleet->workers[row].partitioned;
      break;
    case 4:
      fleet->open_calls_ms = (uint32_t)g_rand_int_range (rand, 0, 1200);
      fleet_takeover (fleet);
      break;
    default:
      fleet->renewals_fail = !fleet->renewals_fail;
      break;
    }
}

static void
run_random (struct fleet *fleet, GRand *rand, struct random_worker *workers,
            uint64_t ms)
{
  for (uint64_t end_ms = fleet->now_ms + ms; fleet->now_ms < end_ms;)
    {
      fleet_run (fleet, 5);
      for (uint32_t i = 0; i < RANDOM_WORKERS; i++)
        random_restart (fleet, rand, &workers[i], i);
    }
}

/* Returns whether the seed breaks no rule. */
static bool
run_seed (uint32_t seed)
{
  struct random_worker workers[RANDOM_WORKERS] = { 0 };
  struct fleet *fleet = setup (RANDOM_WORKERS);
  GRand *rand = g_rand_new_with_seed (seed);
  uint64_t jobs = 0;
  uint32_t open = 0;
  bool passed;

  fleet->call_faults = (struct fleet_call_faults){
    .rand = rand,
    .late_permille = 30,
    .lost_permille = 50,
    .reconnect_permille = 300,
    .twice_permille = 100,
    .late_hold_permille = 100,
    .report_delay_max_ms = 80,
  };
  for (uint32_t i = 0; i < RANDOM_WORKERS; i++)
    fleet_set_clock (fleet, i, (uint64_t)g_rand_int_range (rand, 1000, 60000));
  for (int step = 0; step < RANDOM_STEPS; step++)
    {
      run_random (fleet, rand, workers,
                  (uint64_t)g_rand_int_range (rand, 5, 800));
      if (jobs < RANDOM_JOBS && step % 3 == 0)
        fleet_submit (
            fleet, ++jobs,
            &(struct fleet_job){
                .tasks = { (uint32_t)g_rand_int_range (rand, 1, 3) },
                .work_ms = (uint32_t)g_rand_int_range (rand, 100, 20000),
            });
      if (g_rand_int_range (rand, 0, 2) == 0)
        random_fault (fleet, rand, workers);
    }
  for (uint32_t i = 0; i < RANDOM_WORKERS; i++)
    fleet->workers[i].partitioned = false;
  fleet->renewals_fail = false;
  fleet->call_faults.late_permille = 0;
  fleet->call_faults.lost_permille = 0;
  fleet->call_faults.twice_permille = 0;
  fleet->call_faults.late_hold_permille = 0;
  run_random (fleet, rand, workers, 240000);
  for (uint64_t j = 1; j <= jobs; j++)
    open += fleet_job_state (fleet, j) < CELL_JOB_COMPLETE;
  passed = fleet->violations == 0 && open == 0 && fleet_running (fleet) == 0;
  if (!passed)
    print_message ("seed %u: %u violations, first: %s; %u jobs open\n", seed,
                   fleet->violations, fleet->first_violation, open);
  g_rand_free (rand);
  teardown (fleet);
  return passed;
}

static void
test_random_restarts (void **state)
{
  const char *seeds = getenv ("CELL_SEEDS");
  const char *first = getenv ("CELL_SEED");
  uint32_t begin_seed = first != NULL ? (uint32_t)atoi (first) : 1;
  uint32_t count = seeds != NULL ? (uint32_t)atoi (seeds) : 40;
  uint32_t failures = 0;

  (void)state;
  for (uint32_t seed = begin_seed; seed < begin_seed + count; seed++)
    failures += !run_seed (seed);
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stale_call_to_a_new_incarnation),
    cmocka_unit_test (test_no_longer_wait_without_a_recent_restart),
    cmocka_unit_test (test_stale_lease_ends_with_the_longest_one),
    cmocka_unit_test (test_random_restarts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
