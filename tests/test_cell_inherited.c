/* Runs that a new leader inherits, on workers that then fall silent. Guards
   against two runs of one task, and against waiting longer than a lease. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/* An earlier leader writes starts for this long, as the successor assumes. */
#define OPEN_CALLS_MS 2400
/* A lease on a slow clock, its margin, and the next placement. */
#define LAPSE_MAX_MS (FLEET_LEASE_MS * 102 / 100 + 400)

static struct fleet *
setup_fleet (void)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  fleet_setup (fleet, 2, 1000);
  fleet->open_calls_ms = OPEN_CALLS_MS;
  fleet_run (fleet, 100);
  return fleet;
}

static void
teardown_fleet (struct fleet *fleet)
{
  fleet_teardown (fleet);
  free (fleet);
}

/* A report lacks the run while an earlier leader may still write its start.
   The worker restarts, the start reaches the later incarnation, and its lease
   ends later than that of the earlier one. */
static void
test_start_of_an_earlier_leader_outlives_the_reported_lease (void **state)
{
  struct fleet *fleet = setup_fleet ();
  struct order_in_flight *start;
  uint32_t row;

  (void)state;
  fleet->delay_starts_ms = OPEN_CALLS_MS - 100;
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 1 }, .work_ms = 60000 });
  fleet_run (fleet, 40);
  fleet->delay_starts_ms = 0;
  start = g_ptr_array_index (fleet->orders_in_flight, 0);
  row = start->order.worker;
  fleet_takeover (fleet);
  start->reconnects = true;
  fleet_run (fleet, 100);
  fleet_crash (fleet, row);
  fleet_run (fleet, 100);
  fleet_restart_unread (fleet, row);
  fleet->workers[row].next_hold_ms = UINT64_MAX;
  cell_worker_silent (fleet->core, row, fleet_now_us (fleet));
  fleet_run (fleet, 3ULL * FLEET_HEARTBEAT_MS);
  assert_true (fleet_lapse_entry (fleet, row));
  fleet_run (fleet, 10000 - 3ULL * FLEET_HEARTBEAT_MS);
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
  assert_int_equal (fleet->starts, 2);
  teardown_fleet (fleet);
}

/* A run that was shown has been started: no start of it is left to be written,
   and it ends with the lease of the worker that showed it. */
static void
test_shown_run_ends_with_its_lease (void **state)
{
  struct fleet *fleet = setup_fleet ();
  uint32_t row;

  (void)state;
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 1 }, .work_ms = 60000 });
  fleet_run (fleet, 100);
  assert_int_equal (fleet->starts, 1);
  row = fleet->workers[0].run_count > 0 ? 0 : 1;
  fleet_takeover (fleet);
  fleet_run (fleet, 500);
  fleet->workers[row].partitioned = true;
  fleet_run (fleet, LAPSE_MAX_MS);
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
  assert_int_equal (fleet->starts, 2);
  teardown_fleet (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        test_start_of_an_earlier_leader_outlives_the_reported_lease),
    cmocka_unit_test (test_shown_run_ends_with_its_lease),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
