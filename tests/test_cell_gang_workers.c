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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_next_run_avoids_all_workers_of_the_failed_one),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
