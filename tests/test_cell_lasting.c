/* A task that lasts until its job is cancelled. Guards against an end of an
   earlier run that makes the core start the task beside its current run, and
   against a failed run that is not replaced while other work fills the fleet.
 */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

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

static struct fleet_run *
find_run (struct fleet *fleet, const char *task)
{
  struct fleet_worker *worker = &fleet->workers[0];

  for (uint32_t i = 0; i < worker->run_count; i++)
    if (strcmp (worker->runs[i].task, task) == 0)
      return &worker->runs[i];
  return NULL;
}

/* A load of short tasks, twice what the worker can take, goes on while the run
   of a task fails that has lasted for longer than any job may wait. Users
   count the task as lost from 6 s after the end of its last run. */
static void
test_failed_run_is_replaced_under_load (void **state)
{
  static const char *const queues[] = { "batch", "urgent" };

  (void)state;
  for (size_t q = 0; q < sizeof queues / sizeof queues[0]; q++)
    {
      struct fleet *fleet = calloc (1, sizeof *fleet);
      struct fleet_run *run;
      uint64_t missing_ms = 0;

      fleet_setup (fleet, 1, 4000);
      fleet_run (fleet, 100);
      fleet_submit (fleet, 1,
                    &(struct fleet_job){ .tasks = { 1 },
                                         .long_running = true,
                                         .work_ms = 600000 });
      fleet_run (fleet, 8000);
      for (uint64_t i = 0; i < 60; i++)
        {
          fleet_submit (
              fleet, 100 + i,
              &(struct fleet_job){ .tasks = { 8 }, .queue = queues[q] });
          if (i == 20)
            {
              run = find_run (fleet, TASK);
              assert_non_null (run);
              run->fails = true;
              run->end_ms = fleet->now_ms;
            }
          fleet_run (fleet, 500);
          missing_ms = i < 20 || find_run (fleet, TASK) != NULL
                           ? 0
                           : missing_ms + 500;
          assert_true (missing_ms < 6000);
        }
      assert_int_equal (fleet->violations, 0);
      fleet_teardown (fleet);
      free (fleet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_end_of_an_earlier_run_after_a_takeover),
    cmocka_unit_test (test_failed_run_is_replaced_under_load),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
