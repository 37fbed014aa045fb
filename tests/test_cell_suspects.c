/* Innocent tasks that are suspected of a crash. Guards against trials that
   wait longer than users accept. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/* Users count a task that lasts as lost when it is not at work for 3 s, from
   6 s after its last run. */
#define LASTING_AWAY_MAX_MS 9000

/* A worker loses its process just after a task that lasts has started there,
   and no worker is without runs. */
static void
test_lasting_task_is_tried_in_a_fleet_without_idle_workers (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint32_t row = 0;

  (void)state;
  fleet_setup (fleet, 8, 8000);
  fleet->now_ms = 30000;
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 8 },
                                     .max_per_worker = 1,
                                     .work_ms = 600000,
                                     .long_running = true });
  fleet_run (fleet, 11000);
  assert_int_equal (fleet->starts, 8);
  fleet_submit (fleet, 2,
                &(struct fleet_job){
                    .tasks = { 1 }, .work_ms = 600000, .long_running = true });
  while (fleet->starts == 8 && fleet->now_ms < 60000)
    fleet_run (fleet, 1);
  fleet_run (fleet, 20);
  while (row < 7 && fleet->workers[row].run_count < 2)
    row++;
  assert_int_equal (fleet->workers[row].run_count, 2);
  fleet_crash (fleet, row);
  fleet_run (fleet, 1000);
  assert_true (fleet_lapse_entry (fleet, row));
  fleet_run (fleet, LASTING_AWAY_MAX_MS - 1000);
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
  assert_int_equal (fleet->starts, 10);
  fleet_teardown (fleet);
  free (fleet);
}

/* A worker is cut off, its run is taken for crashed, and the leader is
   replaced before the worker answers again. Guards against a crash that the
   successor goes on counting. */
static void
test_worker_counted_as_crashed_answers_a_successor (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct cell_blame blame;
  uint32_t taken_back = 0;

  (void)state;
  fleet_setup (fleet, 1, 8000);
  fleet->now_ms = 30000;
  fleet_run (fleet, 11000);
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 1 }, .work_ms = 600000 });
  while (fleet->starts == 0 && fleet->now_ms < 60000)
    fleet_run (fleet, 1);
  fleet_run (fleet, 20);
  fleet->workers[0].partitioned = fleet->workers[0].refusing = true;
  fleet_run (fleet, 1000);
  assert_true (fleet_lapse_entry (fleet, 0));
  fleet_run (fleet, 3ULL * FLEET_LEASE_MS);
  fleet_takeover (fleet);
  fleet->workers[0].partitioned = fleet->workers[0].refusing = false;
  fleet_list (fleet, 0);
  fleet_run (fleet, 1000);
  while (cell_blame_next (fleet->core, &blame))
    taken_back += blame.kind == CELL_BLAME_CLEARED && blame.task[0] == 0
                  && blame.crashes == 0;
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
  assert_int_equal (taken_back, 1);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_lasting_task_is_tried_in_a_fleet_without_idle_workers),
    cmocka_unit_test (test_worker_counted_as_crashed_answers_a_successor),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
