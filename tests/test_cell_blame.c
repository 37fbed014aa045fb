/* Tasks that crash each worker that starts them, beside innocent work and
   other faults. Guards against a core that starts such a task again and again
   (BUDGET), and against one that gives up an innocent one (LOST). */

#include "tst_fleet_internal.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define JOBS_MAX 6

struct blame_case
{
  const char *name;
  uint32_t workers;
  bool replace_crashed;
  struct fleet_job jobs[JOBS_MAX]; /**< ends with a job without tasks */
  void (*fault) (struct fleet *fleet, uint64_t at_ms); /**< each 5 ms */
  uint32_t min_crashes; /**< by deadly tasks; less shows nothing */
};

/* Returns a worker that has started a run within the last 50 ms. */
static uint32_t
just_started (const struct fleet *fleet)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
      if (fleet->workers[w].up
          && fleet->workers[w].runs[r].start_ms + 50 > fleet->now_ms)
        return w;
  return CELL_NO_ROW;
}

static void
write_entries (struct fleet *fleet, uint64_t at_ms)
{
  if (at_ms % FLEET_HEARTBEAT_MS != 0)
    return;
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    if (fleet->workers[w].up && fleet->workers[w].listed)
      fleet_list (fleet, w);
}

/* The same worker crashes again and again, each time under fresh runs. */
static void
flap (struct fleet *fleet, uint64_t at_ms)
{
  struct fleet_worker *worker = &fleet->workers[0];

  if (at_ms > 40000)
    return;
  if (!worker->up && at_ms % 500 == 0)
    fleet_restart (fleet, 0);
  if (worker->up && worker->run_count > 0
      && worker->runs[worker->run_count - 1].start_ms + 50 > fleet->now_ms)
    fleet_crash (fleet, 0);
}

/* Half of the fleet loses its power under fresh runs: calls time out. */
static void
rack_power (struct fleet *fleet, uint64_t at_ms)
{
  if (at_ms > 40000)
    return;
  for (uint32_t w = 0; w < fleet->worker_count / 2; w++)
    {
      struct fleet_worker *worker = &fleet->workers[w];

      if (at_ms % 8000 == 0 && !worker->up)
        {
          fleet_restart (fleet, w);
          worker->partitioned = false;
        }
      if (worker->up && just_started (fleet) < fleet->worker_count / 2)
        {
          worker->partitioned = true;
          fleet_crash (fleet, w);
        }
    }
}

/* Workers with fresh runs are cut off and refuse calls, for longer than their
   leases. */
static void
cut_refusing (struct fleet *fleet, uint64_t at_ms)
{
  uint32_t fresh = just_started (fleet);

  write_entries (fleet, at_ms);
  for (uint32_t w = 0; w < fleet->worker_count && at_ms % 6000 == 0; w++)
    fleet->workers[w].partitioned = fleet->workers[w].refusing = false;
  if (at_ms < 40000 && fresh != CELL_NO_ROW)
    fleet->workers[fresh].partitioned = fleet->workers[fresh].refusing = true;
}

/* A worker announces its exit, and exits under fresh runs. */
static void
leave (struct fleet *fleet, uint64_t at_ms)
{
  uint32_t fresh = just_started (fleet);

  write_entries (fleet, at_ms);
  if (fresh == CELL_NO_ROW || fleet->workers[fresh].draining || fresh == 0)
    return;
  fleet_drain (fleet, fresh, 100);
  fleet_leave (fleet, fresh);
}

static void
takeover_between (struct fleet *fleet, uint64_t at_ms)
{
  if (at_ms % 9000 == 0 && at_ms < 70000)
    fleet_takeover (fleet);
}

/* The leader changes while the last crash is not yet understood. */
static void
takeover_after (struct fleet *fleet, uint64_t at_ms)
{
  for (uint32_t w = 0; w < fleet->worker_count && at_ms < 100000; w++)
    if (fleet->workers[w].back_ms == fleet->now_ms + 2000)
      {
        fleet_takeover (fleet);
        return;
      }
}

static struct blame_case cases[] = {
  { "deadly alone", 4, true, { { .tasks = { 1 }, .deadly = 1 } }, NULL, 2 },
  { "worker back under its id",
    4,
    false,
    { { .tasks = { 1 }, .deadly = 1 } },
    NULL,
    2 },
  { "deadly beside innocents",
    6,
    true,
    { { .tasks = { 6 }, .work_ms = 300 },
      { .tasks = { 1 }, .deadly = 1 },
      { .tasks = { 6 }, .work_ms = 3000 },
      { .tasks = { 4 }, .work_ms = 9000 } },
    NULL,
    2 },
  { "several deadly",
    12,
    true,
    { { .tasks = { 3 }, .deadly = 1 },
      { .tasks = { 1 }, .deadly = 1 },
      { .tasks = { 2 }, .deadly = 2 },
      { .tasks = { 20 }, .work_ms = 2000 } },
    NULL,
    4 },
  { "few workers",
    1,
    true,
    { { .tasks = { 1 }, .deadly = 1 }, { .tasks = { 3 }, .work_ms = 2000 } },
    NULL,
    2 },
  { "deadly member of a gang",
    6,
    true,
    { { .tasks = { 4 }, .deadly = 1, .gang = true, .work_ms = 2000 },
      { .tasks = { 4 }, .work_ms = 4000 } },
    NULL,
    2 },
  { "deadly task that lasts",
    4,
    true,
    { { .tasks = { 1 }, .deadly = 1, .long_running = true },
      { .tasks = { 4 }, .work_ms = 4000 } },
    NULL,
    2 },
  { "deadly with advice",
    6,
    true,
    { { .tasks = { 2 }, .deadly = 1, .queue = "advised" },
      { .tasks = { 4 }, .work_ms = 4000, .queue = "advised" } },
    NULL,
    2 },
  { "deadly with a step after it",
    4,
    true,
    { { .tasks = { 2, 2 }, .deadly = 1, .sequential = true },
      { .tasks = { 2, 2 }, .sequential = true, .checkpointing = true } },
    NULL,
    2 },
  { "takeovers between crashes",
    5,
    true,
    { { .tasks = { 1 }, .deadly = 1 }, { .tasks = { 4 }, .work_ms = 6000 } },
    takeover_between,
    2 },
  { "takeover after each crash",
    5,
    true,
    { { .tasks = { 1 }, .deadly = 1 }, { .tasks = { 4 }, .work_ms = 6000 } },
    takeover_after,
    2 },
  { "flapping worker",
    3,
    false,
    { { .tasks = { 6 }, .work_ms = 900 },
      { .tasks = { 2 }, .work_ms = 6000, .checkpointing = true } },
    flap,
    0 },
  { "power loss",
    4,
    false,
    { { .tasks = { 8 }, .work_ms = 900 },
      { .tasks = { 4 }, .gang = true, .work_ms = 2000 } },
    rack_power,
    0 },
  { "cut that refuses calls",
    4,
    false,
    { { .tasks = { 8 }, .work_ms = 900 }, { .tasks = { 1 }, .work_ms = 900 } },
    cut_refusing,
    0 },
  { "announced exits",
    8,
    false,
    { { .tasks = { 8 }, .work_ms = 4000 } },
    leave,
    0 },
};

static void
fail_on_violation (const struct fleet *fleet, const char *name)
{
  if (fleet->violations > 0)
    fail_msg ("%s: %u violations, first: %s", name, fleet->violations,
              fleet->first_violation);
}

static void
check_job (const struct fleet *fleet, const char *name, uint64_t id,
           const struct fleet_job *job)
{
  enum cell_job_state wanted
      = job->deadly > 0 ? CELL_JOB_FAILED : CELL_JOB_COMPLETE;

  if (fleet_job_state (fleet, id) != wanted)
    fail_msg ("%s: job %" PRIu64 " is in state %d instead of %d", name, id,
              (int)fleet_job_state (fleet, id), (int)wanted);
}

static void
test_crashes (void **state)
{
  const struct blame_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);

  fleet_setup (fleet, c->workers, 4000);
  fleet->now_ms = 30000;
  fleet->replace_crashed = c->replace_crashed;
  fleet_run (fleet, 100);
  for (uint64_t j = 0; j < JOBS_MAX && c->jobs[j].tasks[0] > 0; j++)
    fleet_submit (fleet, j + 1, &c->jobs[j]);
  for (uint64_t ms = 0; ms < 120000; ms += 5)
    {
      fleet_run (fleet, 5);
      if (c->fault != NULL)
        c->fault (fleet, ms);
    }
  fail_on_violation (fleet, c->name);
  if (fleet->crashes < c->min_crashes)
    fail_msg ("%s: only %u crashes", c->name, fleet->crashes);
  for (uint64_t j = 0; j < JOBS_MAX && c->jobs[j].tasks[0] > 0; j++)
    check_job (fleet, c->name, j + 1, &c->jobs[j]);
  fleet_teardown (fleet);
  free (fleet);
}

#define SEED_WORKERS 10
#define SEED_JOBS 40
#define SEED_FAULT_STEPS 160

/* A worker crashes by itself, is cut off, leaves or loses its entry, or the
   leader changes. */
static void
random_fault (struct fleet *fleet, GRand *rand)
{
  uint32_t row
      = (uint32_t)g_rand_int_range (rand, 0, (gint)fleet->worker_count);
  struct fleet_worker *worker = &fleet->workers[row];

  if (!worker->up || !worker->listed)
    return;
  switch (g_rand_int_range (rand, 0, 8))
    {
    case 0:
      fleet_crash (fleet, row);
      worker->back_ms = fleet->now_ms + FLEET_BACK_MS;
      break;
    case 1:
    case 2:
      worker->refusing = g_rand_boolean (rand);
      worker->partitioned = !worker->partitioned;
      break;
    case 3:
      worker->answers_lost = !worker->answers_lost;
      break;
    case 4:
      fleet_takeover (fleet);
      break;
    case 5:
      if (worker->draining && !worker->partitioned)
        {
          fleet_leave (fleet, row);
          worker->draining = false;
          worker->back_ms = fleet->now_ms + FLEET_BACK_MS;
        }
      else
        fleet_drain (fleet, row, worker->draining ? 0 : 1500);
      break;
    case 6:
      /* Power loss. */
      worker->partitioned = true;
      worker->refusing = false;
      fleet_crash (fleet, row);
      worker->back_ms = fleet->now_ms + FLEET_BACK_MS;
      break;
    default:
      fleet_lapse_entry (fleet, row);
      break;
    }
}

static struct fleet_job
random_job (GRand *rand)
{
  struct fleet_job job = {
    .tasks = { (uint32_t)g_rand_int_range (rand, 1, 5) },
    .work_ms = (uint32_t)g_rand_int_range (rand, 100, 4000),
    .gang = g_rand_int_range (rand, 0, 5) == 0,
    .deadly = g_rand_int_range (rand, 0, 6) == 0,
    .checkpointing = g_rand_boolean (rand),
  };

  if (g_rand_int_range (rand, 0, 4) == 0)
    job.queue = "advised";
  return job;
}

/* Ends all faults but those of deadly tasks. */
static void
heal (struct fleet *fleet)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    {
      struct fleet_worker *worker = &fleet->workers[w];

      worker->partitioned = worker->refusing = worker->answers_lost = false;
      if (!worker->up)
        continue;
      if (worker->draining)
        fleet_drain (fleet, w, 0);
      fleet_list (fleet, w);
    }
  fleet->call_faults.late_permille = 0;
  fleet->call_faults.lost_permille = 0;
}

static void
run_seed (uint32_t seed)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  GRand *rand = g_rand_new_with_seed (seed);
  struct fleet_job jobs[SEED_JOBS];
  char name[24];

  snprintf (name, sizeof name, "seed %u", seed);
  fleet_setup (fleet, SEED_WORKERS, 4000);
  fleet->now_ms = 30000;
  fleet->replace_crashed = g_rand_boolean (rand);
  fleet->call_faults = (struct fleet_call_faults){
    .rand = rand,
    .late_permille = 30,
    .lost_permille = 30,
    .report_delay_max_ms = 60,
  };
  for (uint32_t step = 0; step < SEED_FAULT_STEPS; step++)
    {
      fleet_run (fleet, (uint64_t)g_rand_int_range (rand, 10, 600));
      if (step % 4 == 0)
        {
          jobs[step / 4] = random_job (rand);
          fleet_submit (fleet, step / 4 + 1, &jobs[step / 4]);
        }
      if (g_rand_int_range (rand, 0, 3) == 0)
        random_fault (fleet, rand);
    }
  heal (fleet);
  fleet_run (fleet, 120000);
  fail_on_violation (fleet, name);
  for (uint64_t j = 0; j < SEED_JOBS; j++)
    check_job (fleet, name, j + 1, &jobs[j]);
  g_rand_free (rand);
  fleet_teardown (fleet);
  free (fleet);
}

static void
test_seeds (void **state)
{
  const char *seeds = getenv ("BLAME_SEEDS");
  const char *first = getenv ("BLAME_SEED");
  uint32_t begin_seed = first != NULL ? (uint32_t)atoi (first) : 1;
  uint32_t count = seeds != NULL ? (uint32_t)atoi (seeds) : 40;

  (void)state;
  for (uint32_t seed = begin_seed; seed < begin_seed + count; seed++)
    run_seed (seed);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0] + 1]
      = { [sizeof cases / sizeof cases[0]] = cmocka_unit_test (test_seeds) };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){
      .name = cases[i].name,
      .test_func = test_crashes,
      .initial_state = &cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
