/* A task that lasts until its job is cancelled. Guards against an end of an
   earlier run that makes the core start the task beside its current run. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#define TASK "0000000000000001.0.0.0"

/* Confirms the start that is under way. */
static void
confirm_start (struct fleet *fleet, uint32_t number)
{
  const struct order_in_flight *start = g_ptr_array_index (
      fleet->orders_in_flight, fleet->orders_in_flight->len - 1);

  assert_int_equal (start->order.number, number);
  cell_start_result (fleet->core, start->order.run, CELL_START_OK,
                     fleet_now_us (fleet));
}

/* The worker lists run 1 as done, and run @p running as running. */
static void
list_end (struct fleet *fleet, uint32_t running)
{
  struct cell_end_row end = { .number = 1,
                              .task = CYC_STR (TASK),
                              .run = 1,
                              .kind = CELL_END_DONE,
                              .checkpoint = CYC_STR ("") };
  struct cell_running_row row = { .task = CYC_STR (TASK), .run = running };
  struct cell_report report = { .ends = &end,
                                .end_count = 1,
                                .running = &row,
                                .running_count = running != 0,
                                .born_ms = fleet->workers[0].born_ms,
                                .clock_ms = 20000,
                                .sent_us = fleet_now_us (fleet) };

  cell_worker_report (fleet->core, 0, &report, fleet_now_us (fleet));
}

/* A new leader is told again of the end of run 1, after which the earlier one
   has started run 2. */
static void
test_end_of_an_earlier_run_after_a_takeover (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct cell_totals totals;

  (void)state;
  fleet_setup (fleet, 1, 4000);
  fleet_run (fleet, 100);
  fleet->delay_starts_ms = 600000;
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 1 }, .long_running = true });
  fleet_run (fleet, 40);
  confirm_start (fleet, 1);
  list_end (fleet, 0);
  fleet_run (fleet, 20);
  confirm_start (fleet, 2);
  fleet_takeover (fleet);
  list_end (fleet, 2);
  cell_tick (fleet->core, fleet_now_us (fleet), fleet->now_ms);
  cell_totals (fleet->core, &totals);
  assert_int_equal (totals.runs, 1);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_end_of_an_earlier_run_after_a_takeover),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
