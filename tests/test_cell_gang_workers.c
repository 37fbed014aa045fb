/* What is held against workers on which members of a gang fail. Guards against
   a run of a gang that is held against a worker once for each member. */

#include "tst_fleet_internal.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define WORKER_MILLICORES 4000
#define WORK_MS 60000
/** From a failed run until its task has been started again. */
#define RESTART_MS 1500
/** Above the first pause of a worker, below the second one. */
#define FIRST_PAUSE_MAX_MS 4500

static bool
is_of_job (const struct fleet_run *run, uint64_t job)
{
  return g_ascii_strtoull (run->task, NULL, 16) == job;
}

static uint32_t
runs_of_job (const struct fleet *fleet, uint32_t row, uint64_t job)
{
  uint32_t count = 0;

  for (uint32_t r = 0; r < fleet->workers[row].run_count; r++)
    count += is_of_job (&fleet->workers[row].runs[r], job);
  return count;
}

/* One run of the job on the worker ends as failed by itself: the other members
   of its gang are not told. */
static void
fail_one (struct fleet *fleet, uint32_t row, uint64_t job)
{
  struct fleet_worker *worker = &fleet->workers[row];

  for (uint32_t r = 0; r < worker->run_count; r++)
    if (is_of_job (&worker->runs[r], job) && !worker->runs[r].fails)
      {
        worker->runs[r].gang = false;
        worker->runs[r].fails = true;
        worker->runs[r].end_ms = fleet->now_ms;
        return;
      }
  fail_msg ("job %" PRIu64 " has no run on worker %u", job, row);
}

static void
wait_for_starts (struct fleet *fleet, uint32_t starts)
{
  for (uint32_t i = 0; fleet->starts < starts && i < 1000; i++)
    fleet_run (fleet, 5);
  assert_int_equal (fleet->starts, starts);
  fleet_run (fleet, 100);
}

static void
check_violations (const struct fleet *fleet)
{
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
}

/* Four members of a gang fail on each of two workers. The next run avoids
   both, not only the worker that is heard last. */
static void
test_next_run_avoids_all_workers_of_the_failed_one (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  bool failed[6] = { false };

  (void)state;
  fleet_setup (fleet, 6, WORKER_MILLICORES);
  fleet_run (fleet, 100);
  fleet_submit (
      fleet, 1,
      &(struct fleet_job){ .tasks = { 8 }, .gang = true, .work_ms = WORK_MS });
  wait_for_starts (fleet, 8);
  for (uint32_t row = 0; row < 6; row++)
    {
      uint32_t runs = runs_of_job (fleet, row, 1);

      failed[row] = runs > 0;
      assert_true (runs == 0 || runs == 4);
      for (uint32_t i = 0; i < runs; i++)
        fail_one (fleet, row, 1);
    }
  wait_for_starts (fleet, 16);
  for (uint32_t row = 0; row < 6; row++)
    if (failed[row] && runs_of_job (fleet, row, 1) > 0)
      fail_msg ("started again on worker %u, where it has failed", row);
  check_violations (fleet);
  fleet_teardown (fleet);
  free (fleet);
}

struct pause_case
{
  const char *name;
  uint32_t tasks[4]; /* of the jobs 1 to 4, gangs if more than one */
  uint64_t fails[8]; /* jobs in the order in which a run each fails */
  uint64_t least_ms; /* from the last end to the next start there */
  uint64_t within_ms;
};

static const struct pause_case pause_cases[] = {
  { "two gangs whose members fail in turn",
    { 2, 2 },
    { 1, 2, 1, 2 },
    0,
    RESTART_MS },
  { "two runs, and a gang of which one member fails",
    { 1, 1, 2 },
    { 1, 2, 3 },
    RESTART_MS,
    FIRST_PAUSE_MAX_MS },
  { "two runs, and a gang of which both members fail",
    { 1, 1, 2 },
    { 1, 2, 3, 3 },
    RESTART_MS,
    FIRST_PAUSE_MAX_MS },
  { "runs of four jobs",
    { 1, 1, 1, 1 },
    { 1, 2, 3, 4 },
    FIRST_PAUSE_MAX_MS,
    10000 },
};

/* Has the only worker pause as it does after runs of several jobs, and starts
   a task there after the pause. */
static void
test_pause_counts_a_run_once (void **state)
{
  const struct pause_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint32_t starts = 0;
  uint64_t begin_ms;

  fleet_setup (fleet, 1, WORKER_MILLICORES);
  fleet_run (fleet, 100);
  for (uint32_t j = 0; j < 4 && c->tasks[j] > 0; j++)
    {
      fleet_submit (fleet, j + 1,
                    &(struct fleet_job){ .tasks = { c->tasks[j] },
                                         .gang = c->tasks[j] > 1,
                                         .work_ms = WORK_MS });
      starts += c->tasks[j];
    }
  wait_for_starts (fleet, starts);
  /* All ends are told by one report, so that no task is started again
     before. */
  fleet->workers[0].answers_lost = true;
  for (uint32_t i = 0; i < 8 && c->fails[i] > 0; i++)
    {
      fail_one (fleet, 0, c->fails[i]);
      fleet_run (fleet, 5);
    }
  fleet->workers[0].answers_lost = false;
  begin_ms = fleet->now_ms;
  fleet_run (fleet, 30);
  for (uint32_t j = 0; j < 4 && c->tasks[j] > 0; j++)
    fleet_cancel (fleet, j + 1);
  fleet_submit (fleet, 9, &(struct fleet_job){ .tasks = { 1 } });
  while (runs_of_job (fleet, 0, 9) == 0 && fleet->now_ms < begin_ms + 60000)
    fleet_run (fleet, 5);
  if (fleet->now_ms - begin_ms < c->least_ms
      || fleet->now_ms - begin_ms > c->within_ms)
    fail_msg ("%s: a start after %" PRIu64 " ms", c->name,
              fleet->now_ms - begin_ms);
  check_violations (fleet);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  enum
  {
    CASES = sizeof pause_cases / sizeof pause_cases[0]
  };
  struct CMUnitTest tests[CASES + 1]
      = { [CASES] = cmocka_unit_test (
              test_next_run_avoids_all_workers_of_the_failed_one) };

  for (size_t i = 0; i < CASES; i++)
    tests[i] = (struct CMUnitTest){
      .name = pause_cases[i].name,
      .test_func = test_pause_counts_a_run_once,
      .initial_state = (void *)&pause_cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
