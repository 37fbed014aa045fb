/* A suspected gang that cannot be placed. Guards against trials that it holds
   up. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/* A task starts again within this time after its worker is back, if a worker
   without runs is free. */
#define TRIAL_MAX_MS 1000

/* Returns the worker that runs a task of the job. */
static uint32_t
worker_of (const struct fleet *fleet, uint64_t job)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
      if (g_ascii_strtoull (fleet->workers[w].runs[r].task, NULL, 16) == job)
        return w;
  return UINT32_MAX;
}

/* Submits a job whose worker crashes just after it has started. */
static void
submit_and_crash (struct fleet *fleet, uint64_t id,
                  const struct fleet_job *job)
{
  uint32_t row;

  fleet_submit (fleet, id, job);
  while ((row = worker_of (fleet, id)) == UINT32_MAX && fleet->now_ms < 60000)
    fleet_run (fleet, 1);
  assert_int_not_equal (row, UINT32_MAX);
  fleet_run (fleet, 20);
  fleet_crash (fleet, row);
  fleet->workers[row].back_ms = fleet->now_ms + FLEET_BACK_MS;
}

/* A suspected gang finds too few workers without runs. Guards against its
   undone placements counting as trials, which hold up the next task's. */
static void
test_gang_that_does_not_fit_holds_up_no_trial (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  (void)state;
  fleet_setup (fleet, 16, 2000);
  fleet->now_ms = 30000;
  fleet_submit (fleet, 1,
                &(struct fleet_job){
                    .tasks = { 14 }, .max_per_worker = 1, .work_ms = 600000 });
  fleet_run (fleet, 11000);
  assert_int_equal (fleet_running (fleet), 14);
  submit_and_crash (
      fleet, 2,
      &(struct fleet_job){ .tasks = { 6 }, .gang = true, .work_ms = 60000 });
  submit_and_crash (fleet, 3,
                    &(struct fleet_job){ .tasks = { 1 }, .work_ms = 60000 });
  fleet_run (fleet, FLEET_BACK_MS + TRIAL_MAX_MS);
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
  assert_int_not_equal (worker_of (fleet, 3), UINT32_MAX);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_gang_that_does_not_fit_holds_up_no_trial),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
