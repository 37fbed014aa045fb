/* Starts of an earlier leader that are not sent when it is replaced. Guards
   against a successor that takes their runs for over too early. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#define OPEN_CALLS_MS 1200

/* A start of the earlier leader waits for a connection while the successor
   gets a report without its run; the worker restarts before it arrives. */
static void
test_open_start_of_an_earlier_leader_reaches_a_restarted_worker (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct order_in_flight *start;
  uint32_t row;

  (void)state;
  fleet_setup (fleet, 2, 1000);
  fleet_run (fleet, 100);
  fleet->delay_starts_ms = 1000;
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 1 }, .work_ms = 5000 });
  fleet_run (fleet, 40);
  fleet->delay_starts_ms = 0;
  assert_int_equal (fleet->orders_in_flight->len, 1);
  start = g_ptr_array_index (fleet->orders_in_flight, 0);
  row = start->order.worker;
  fleet_drain (fleet, row, 60000);
  fleet->open_calls_ms = OPEN_CALLS_MS;
  fleet_takeover (fleet);
  start->reconnects = true;
  fleet_run (fleet, 400);
  fleet_crash (fleet, row);
  fleet_restart_unread (fleet, row);
  fleet->workers[row].next_hold_ms = fleet->now_ms + 2500;
  fleet_run (fleet, 30000);
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  fleet_teardown (fleet);
  free (fleet);
}

/* An inherited run whose start was not executed waits for the earlier leader's
   open calls, and no longer once that leader says that it has ended. */
static void
test_inherited_run_waits_for_open_starts (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  (void)state;
  fleet_setup (fleet, 2, 1000);
  fleet_run (fleet, 100);
  fleet->delay_starts_ms = 60000;
  fleet_submit (fleet, 1, &(struct fleet_job){ .tasks = { 1 } });
  fleet_run (fleet, 40);
  fleet->delay_starts_ms = 0;
  fleet->open_calls_ms = 60000;
  fleet_takeover (fleet);
  fleet_run (fleet, 1000);
  assert_int_equal (fleet->starts, 0);
  fleet_end_calls (fleet);
  cell_earlier_ended (fleet->core, fleet_now_us (fleet), fleet_now_us (fleet));
  fleet_run (fleet, 100);
  assert_int_equal (fleet->starts, 1);
  fleet_run (fleet, 1000);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_open_start_of_an_earlier_leader_reaches_a_restarted_worker),
    cmocka_unit_test (test_inherited_run_waits_for_open_starts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
