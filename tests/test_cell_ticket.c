/* A worker refuses the ticket of a start: it was issued for an earlier
   incarnation, or took too long to arrive. Guards against starts that are
   refused again and again until the ticket expires here. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#define STEP "0000000000000001.0.0"

static void
await_orders (struct fleet *fleet, guint count)
{
  for (int i = 0; i < 100 && fleet->orders_in_flight->len < count; i++)
    fleet_run (fleet, 5);
  assert_int_equal (fleet->orders_in_flight->len, count);
}

static void
test_start_with_a_refused_ticket (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  const struct order_in_flight *start;

  (void)state;
  fleet_setup (fleet, 1, 4000);
  fleet_run (fleet, 100);
  fleet->delay_starts_ms = 600000;
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 1 }, .queue = "advised" });
  await_orders (fleet, 1);
  assert_int_equal (fleet_lookup_number (fleet->ask_counts, STEP), 1);
  start = g_ptr_array_index (fleet->orders_in_flight, 0);
  cell_start_result (fleet->core, start->order.run, CELL_START_REFUSED_TICKET,
                     fleet_now_us (fleet));
  await_orders (fleet, 2);
  assert_int_equal (fleet_lookup_number (fleet->ask_counts, STEP), 2);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_start_with_a_refused_ticket),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
