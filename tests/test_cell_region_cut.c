/* A region that is cut off as a whole, beside a release: calls to it wait and
   are delivered together when the cut ends, its workers lose their entries
   although they go on, and the addresses of workers that have left are used
   again. Guards against a core that takes a run for over that goes on behind
   the cut, or that is still to be started there. */

#include "tst_region.h"

#include "tst_fleet_internal.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define WORKERS 8
#define REGIONS 2
#define SETTLE_MS 2000
#define JOB_INTERVAL_MS 60
#define CASE_JOBS 250
#define CAPACITY_MILLICORES 6000
/* Until all jobs have ended after the last fault: late orders are executed for
   12 s, and a lease may follow. */
#define FINISH_MS 90000
#define CASE_SEEDS 6

struct region_case
{
  const char *name;
  enum fleet_cut cut;
  uint32_t cut_ms[2]; /**< a second cut follows after FLICKER_MS */
  bool store;         /**< the region is cut off from the store too */
  uint32_t heal_delay_max_ms;
  uint32_t append_ms; /**< of records, until APPEND_SLOW_MS after the beginning
 of the cut */
  bool orders_wait;   /**< the leader sends orders late, at random */
  uint32_t released;  /**< workers of each region that are replaced */
  bool restarts;      /**< workers restart behind the cut */
  bool drains;        /**< the workers of the region drain before the cut */
  bool stays_longer;  /**< than announced, by much */
  uint32_t announced_ms;  /**< minimum stay that they announce; 0: 500 if they
                             stay longer, else until after the case */
  uint32_t store_down_ms; /**< from the beginning of the cut; entries lapse
                             early meanwhile */
  uint32_t unread_ms;   /**< no entry is read from the beginning of the cut */
  uint32_t takeover_ms; /**< after the beginning of the cut; 0: none */
  uint32_t work_max_ms; /**< of a task; default 1,500 */
  uint32_t min_held;    /**< orders that wait for the end of the cut; fewer
                           show nothing */
};

/* The region is reached for this long between two cuts. */
#define FLICKER_MS 1000
#define APPEND_SLOW_MS 2000
/* A worker that drains stays for as long. */
#define STAYS_MS 20000

static const struct region_case cases[] = {
  { .name = "silent",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 3000 },
    .min_held = 20 },
  { .name = "silent for longer than the leases",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 14000 },
    .store = true,
    .min_held = 20 },
  { .name = "refusing",
    .cut = FLEET_CUT_REFUSING,
    .cut_ms = { 6000 },
    .store = true,
    .min_held = 10 },
  { .name = "answers are held up",
    .cut = FLEET_CUT_ONE_WAY,
    .cut_ms = { 6000 },
    .store = true },
  { .name = "heals for a second",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 4000, 4000 },
    .store = true,
    .min_held = 20 },
  { .name = "what waited arrives late",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 2000, 2000 },
    .heal_delay_max_ms = 3000,
    .store = true,
    .min_held = 20 },
  { .name = "records are slow, and leases lapse meanwhile",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 11400 },
    .append_ms = 11000,
    .orders_wait = true,
    .work_max_ms = 3000 },
  { .name = "release beside a silent cut",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 5000, 3000 },
    .store = true,
    .released = 4,
    .min_held = 20 },
  { .name = "release beside a refusing cut",
    .cut = FLEET_CUT_REFUSING,
    .cut_ms = { 8000 },
    .store = true,
    .released = 4 },
  { .name = "workers leave behind the cut and others take their addresses",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 7000, 2000 },
    .released = 8,
    .min_held = 20 },
  { .name = "workers restart behind the cut",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 5000 },
    .store = true,
    .restarts = true,
    .min_held = 20 },
  { .name = "workers that drain are cut off and lose their entries",
    .cut = FLEET_CUT_REFUSING,
    .cut_ms = { 9000 },
    .store = true,
    .drains = true },
  { .name = "the same while the store is down and lets entries lapse early",
    .cut = FLEET_CUT_REFUSING,
    .cut_ms = { 4000 },
    .store = true,
    .drains = true,
    .store_down_ms = 2000,
    .work_max_ms = 9000 },
  { .name = "the same, and the workers stay longer than announced",
    .cut = FLEET_CUT_REFUSING,
    .cut_ms = { 6000 },
    .store = true,
    .drains = true,
    .stays_longer = true,
    .store_down_ms = 2000,
    .work_max_ms = 9000 },
  { .name = "the same, and they may leave just before the store is back",
    .cut = FLEET_CUT_REFUSING,
    .cut_ms = { 4000 },
    .store = true,
    .drains = true,
    .stays_longer = true,
    .announced_ms = 1900,
    .store_down_ms = 2000,
    .work_max_ms = 9000 },
  { .name = "workers restart and their ends are acknowledged after that",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 1300, 1300 },
    .store = true,
    .append_ms = 600,
    .restarts = true,
    .unread_ms = 3000,
    .work_max_ms = 150 },
  { .name = "the leader changes during the cut",
    .cut = FLEET_CUT_SILENT,
    .cut_ms = { 5000 },
    .store = true,
    .takeover_ms = 800,
    .released = 2,
    .min_held = 20 },
  { .name = "the leader changes while the cut refuses calls",
    .cut = FLEET_CUT_REFUSING,
    .cut_ms = { 8000 },
    .store = true,
    .takeover_ms = 3000,
    .released = 2 },
};

/* Returns whether no rule was broken and all jobs have ended. */
static bool
ended_well (struct fleet *fleet, const char *name, uint32_t seed,
            uint64_t job_count)
{
  bool well = fleet->violations == 0 && fleet_running (fleet) == 0;

  if (getenv ("CELL_REASONS") != NULL)
    {
      print_message ("%s %u: held %u, begun %u; over", name, seed,
                     fleet->held_orders, fleet->held_executed);
      for (uint32_t i = 0; i < G_N_ELEMENTS (fleet->conclusions); i++)
        print_message (" %u", fleet->conclusions[i]);
      print_message ("\n");
    }
  if (!well)
    print_error ("%s, seed %u: %u violations, first: %s; %u runs remain\n",
                 name, seed, fleet->violations, fleet->first_violation,
                 fleet_running (fleet));
  for (uint64_t j = 1; j <= job_count; j++)
    if (fleet_job_state (fleet, j) < CELL_JOB_COMPLETE)
      {
        print_error ("%s, seed %u: job %" PRIu64
                     " is in state %d at the end\n",
                     name, seed, j, (int)fleet_job_state (fleet, j));
        well = false;
      }
  return well;
}

/* One play: the fleet and what is submitted to it. */
struct play
{
  struct fleet *fleet;
  GRand *rand;
  uint64_t jobs;
};

static void
begin (struct play *play, uint32_t seed, uint32_t lease_ms)
{
  play->fleet = calloc (1, sizeof *play->fleet);
  play->rand = g_rand_new_with_seed (seed);
  play->jobs = 0;
  fleet_setup_leased (play->fleet, WORKERS, CAPACITY_MILLICORES, lease_ms);
  fleet_regions_setup (play->fleet, play->rand, REGIONS);
  fleet_run (play->fleet, SETTLE_MS);
}

static void
finish (struct play *play)
{
  fleet_regions_teardown (play->fleet);
  fleet_teardown (play->fleet);
  free (play->fleet);
  g_rand_free (play->rand);
}

static void
submit (struct play *play, gint work_max_ms)
{
  fleet_submit (
      play->fleet, ++play->jobs,
      &(struct fleet_job){
          .tasks = { (uint32_t)g_rand_int_range (play->rand, 1, 4) },
          .work_ms = (uint32_t)g_rand_int_range (play->rand, 100, work_max_ms),
          .gang = g_rand_int_range (play->rand, 0, 6) == 0,
          .checkpointing = g_rand_boolean (play->rand),
      });
}

/* Replaces a worker of the region, if one is left that does not drain yet. */
static void
replace_worker (struct play *play, uint32_t region)
{
  struct fleet *fleet = play->fleet;

  fleet_release_start (fleet, region, true);
  for (uint32_t i = 0; i < fleet->worker_count; i++)
    if (fleet->workers[i].region == region && fleet->workers[i].up
        && !fleet->workers[i].draining)
      {
        fleet_release_drain (fleet, i, 500);
        return;
      }
}

/* Ends all faults and waits for the jobs. */
static void
settle (struct play *play)
{
  struct fleet *fleet = play->fleet;

  fleet_heal (fleet, 0);
  fleet->entries->down = false;
  fleet->entries->stalled_until_ms = 0;
  fleet->entries->delay_max_ms = 0;
  fleet->append_ms = 0;
  fleet->log_down = false;
  fleet->orders_held = false;
  fleet->call_faults.late_permille = 0;
  fleet->call_faults.lost_permille = 0;
  fleet->call_faults.twice_permille = 0;
  fleet->call_faults.late_hold_permille = 0;
  for (uint32_t i = 0; i < fleet->worker_count; i++)
    if (!fleet->workers[i].up && fleet->entries->rows[i].left_ms == 0)
      fleet_restart_behind (fleet, i);
  fleet_run (fleet, FINISH_MS);
}

/* Runs the fleet for some time, submits jobs meanwhile and replaces as many
   workers of each region. */
static void
run_with_jobs (struct play *play, const struct region_case *row, uint32_t ms,
               uint32_t released)
{
  for (uint32_t at_ms = 0; at_ms < ms; at_ms += 20)
    {
      if (at_ms % JOB_INTERVAL_MS == 0 && play->jobs < CASE_JOBS)
        submit (play, row->work_max_ms ? (gint)row->work_max_ms : 1500);
      if (released > 0 && at_ms % (ms / released) == 0)
        for (uint32_t r = 0; r < REGIONS; r++)
          replace_worker (play, r);
      play->fleet->orders_held
          = row->orders_wait && g_rand_boolean (play->rand);
      if (at_ms == APPEND_SLOW_MS)
        play->fleet->append_ms = 0;
      if (row->takeover_ms != 0 && at_ms == row->takeover_ms)
        fleet_takeover (play->fleet);
      fleet_run (play->fleet, 20);
    }
}

static void
each_cut_worker (struct fleet *fleet, void (*act) (struct fleet *, uint32_t))
{
  for (uint32_t i = 0; i < fleet->worker_count; i++)
    if (fleet->workers[i].cut != FLEET_CUT_NONE && fleet->workers[i].up)
      act (fleet, i);
}

/* Returns whether it ended well; adds the orders that waited for the end of a
   cut to held. */
static bool
play_case (const struct region_case *row, uint32_t seed, uint32_t *held)
{
  bool well;
  struct region_case quiet = { .work_max_ms = row->work_max_ms };
  struct play play;

  begin (&play, seed, 10000);
  run_with_jobs (&play, &quiet, 1500, 0);
  if (row->drains)
    {
      play.fleet->entries->stays_longer_ms
          = row->stays_longer ? STAYS_MS : REGION_STAYS_LONGER_MS;
      for (uint32_t i = 1; i < WORKERS; i += REGIONS)
        fleet_release_drain (play.fleet, i,
                             row->announced_ms != 0 ? row->announced_ms
                             : row->stays_longer    ? 500
                                                    : STAYS_MS);
      /* The leader reads that, but its stops do not arrive any more. */
      fleet_run (play.fleet, 5);
    }
  play.fleet->append_ms = row->append_ms;
  run_with_jobs (&play, &quiet, row->append_ms > 0 ? 300 : 0, 0);
  for (uint32_t k = 0; k < 2 && row->cut_ms[k] > 0; k++)
    {
      if (k > 0)
        run_with_jobs (&play, &quiet, FLICKER_MS, 0);
      fleet_cut_region (play.fleet, 1, row->cut, row->store);
      play.fleet->entries->down = row->store_down_ms > 0;
      play.fleet->entries->lapses_early = row->store_down_ms > 0;
      play.fleet->entries->stalled_until_ms
          = play.fleet->now_ms + row->unread_ms;
      run_with_jobs (&play, row, 200, 0);
      if (row->restarts)
        each_cut_worker (play.fleet, fleet_restart_behind);
      run_with_jobs (&play, row, row->store_down_ms, 0);
      play.fleet->entries->down = false;
      run_with_jobs (&play, row, row->cut_ms[k], row->released);
      fleet_heal (play.fleet, row->heal_delay_max_ms);
    }
  settle (&play);
  well = ended_well (play.fleet, row->name, seed, play.jobs);
  *held += play.fleet->held_orders;
  finish (&play);
  return well;
}

static void
test_case (void **state)
{
  const struct region_case *row = *state;
  uint32_t held = 0;
  uint32_t failures = 0;

  for (uint32_t seed = 1; seed <= CASE_SEEDS; seed++)
    failures += !play_case (row, seed, &held);
  assert_int_equal (failures, 0);
  if (held < row->min_held)
    fail_msg ("%s: only %u orders waited", row->name, held);
}

/* Random plays. */

#define RANDOM_STEPS 180
#define RANDOM_JOBS 60

struct random_cut
{
  bool on;
  uint32_t region;
  enum fleet_cut kind;
  bool store;
};

static void
change_cut (struct play *play, struct random_cut *cut)
{
  struct fleet *fleet = play->fleet;

  if (!cut->on)
    {
      cut->region = (uint32_t)g_rand_int_range (play->rand, 0, REGIONS);
      cut->kind = (enum fleet_cut)g_rand_int_range (
          play->rand, FLEET_CUT_SILENT, FLEET_CUT_ONE_WAY + 1);
      cut->store = g_rand_int_range (play->rand, 0, 4) > 0;
      fleet_cut_region (fleet, cut->region, cut->kind, cut->store);
      cut->on = true;
      return;
    }
  fleet_heal (fleet, g_rand_boolean (play->rand) ? 0 : 3000);
  cut->on = g_rand_int_range (play->rand, 0, 3) == 0;
  if (!cut->on)
    return;
  fleet_run (fleet, FLICKER_MS);
  fleet_cut_region (fleet, cut->region, cut->kind, cut->store);
}

/* A new leader may be on either side of the cut. */
static void
take_over (struct play *play, struct random_cut *cut)
{
  struct fleet *fleet = play->fleet;

  fleet->open_calls_ms = (uint32_t)g_rand_int_range (play->rand, 0, 2500);
  if (cut->on && g_rand_int_range (play->rand, 0, 3) == 0)
    {
      fleet_cut_region (fleet, cut->region, FLEET_CUT_NONE, false);
      cut->region = 1 - cut->region;
      fleet_cut_region (fleet, cut->region, cut->kind, false);
    }
  fleet_takeover (fleet);
}

static void
random_fault (struct play *play, struct random_cut *cut)
{
  struct fleet *fleet = play->fleet;
  uint32_t row
      = (uint32_t)g_rand_int_range (play->rand, 0, (gint)fleet->worker_count);
  bool left = fleet->entries->rows[row].left_ms != 0;

  switch (g_rand_int_range (play->rand, 0, 14))
    {
    case 0:
    case 1:
    case 2:
    case 3:
      change_cut (play, cut);
      break;
    case 4:
    case 5:
      replace_worker (play, (uint32_t)g_rand_int_range (play->rand, 0, 2));
      break;
    case 6:
      fleet->entries->down = !fleet->entries->down;
      break;
    case 7:
      fleet->entries->stalled_until_ms
          = fleet->now_ms + (uint64_t)g_rand_int_range (play->rand, 0, 3000);
      break;
    case 8:
      if (!left)
        fleet_restart_behind (fleet, row);
      break;
    case 9:
      if (!left && fleet->workers[row].up)
        fleet_crash (fleet, row);
      break;
    case 10:
      if (g_rand_boolean (play->rand))
        take_over (play, cut);
      break;
    case 11:
    case 12:
      fleet->append_ms
          = fleet->append_ms > 0
                ? 0
                : (uint32_t)g_rand_int_range (play->rand, 100, 6000);
      break;
    default:
      fleet->log_down = !fleet->log_down;
      break;
    }
}

static bool
run_seed (uint32_t seed)
{
  bool well;
  struct play play;
  struct random_cut cut = { 0 };

  begin (&play, seed, seed % 2 == 0 ? 10000 : FLEET_LEASE_MS);
  play.fleet->entries->delay_max_ms
      = (uint32_t)g_rand_int_range (play.rand, 0, 800);
  play.fleet->entries->lapses_early = g_rand_boolean (play.rand);
  play.fleet->entries->stays_longer_ms
      = g_rand_boolean (play.rand) ? STAYS_MS : REGION_STAYS_LONGER_MS;
  if (g_rand_boolean (play.rand))
    play.fleet->call_faults = (struct fleet_call_faults){
      .rand = play.rand,
      .late_permille = 50,
      .lost_permille = 50,
      .reconnect_permille = 200,
      .twice_permille = 50,
      .late_hold_permille = 10,
      .report_delay_max_ms = 80,
    };
  for (int step = 0; step < RANDOM_STEPS; step++)
    {
      play.fleet->orders_held = g_rand_int_range (play.rand, 0, 4) == 0;
      fleet_run (play.fleet, (uint64_t)g_rand_int_range (play.rand, 5, 300));
      if (play.jobs < RANDOM_JOBS && step % 3 == 0)
        submit (&play, 3000);
      if (g_rand_int_range (play.rand, 0, 3) == 0)
        random_fault (&play, &cut);
    }
  settle (&play);
  well = ended_well (play.fleet, "random", seed, play.jobs);
  finish (&play);
  return well;
}

static void
test_seeds (void **state)
{
  const char *seeds = getenv ("REGION_SEEDS");
  const char *first = getenv ("REGION_SEED");
  uint32_t begin_seed = first != NULL ? (uint32_t)atoi (first) : 1;
  uint32_t count = seeds != NULL ? (uint32_t)atoi (seeds) : 30;
  uint32_t failures = 0;

  (void)state;
  for (uint32_t seed = begin_seed; seed < begin_seed + count; seed++)
    failures += !run_seed (seed);
  if (failures > 0)
    fail_msg ("%u of %u seeds", failures, count);
}

int
main (void)
{
  struct CMUnitTest tests[G_N_ELEMENTS (cases) + 1]
      = { [G_N_ELEMENTS (cases)] = cmocka_unit_test (test_seeds) };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    tests[i] = (struct CMUnitTest){
      .name = cases[i].name,
      .test_func = test_case,
      .initial_state = (void *)&cases[i],
    };
  if (getenv ("REGION_SEED") != NULL)
    cmocka_set_test_filter ("test_seeds");
  return cmocka_run_group_tests (tests, NULL, NULL);
}
