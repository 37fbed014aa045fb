/* A worker crashes under a task soon after an order to it has remained without
   an answer. Guards against an order that was late being taken for silence of
   its worker: silence suspects nobody, so the crash does not count against the
   task, which is started again and again (BUDGET). */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/** A hold that waits for an end is not answered before. */
#define HOLD_WAIT_MS 1000
/** Until the worker that takes the address has ended the runs. */
#define CRASH_MS (FLEET_BACK_MS + 1000)

struct late_case
{
  const char *name;
  int32_t sent_ms; /**< when the order was sent, from the last report on */
  uint32_t counted;
};

static struct late_case cases[] = {
  { "order sent before the last report", -300, 1 },
  { "order sent long before", -1500, 1 },
  { "order sent after the last report", 5, 0 },
};

static void
test_crash_after_an_order_without_an_answer (void **state)
{
  const struct late_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct cell_worker_view view;
  struct cell_blame blame;
  uint32_t counted = 0;
  uint32_t row = 0;

  fleet_setup (fleet, 4, 8000);
  fleet->now_ms = 30000;
  fleet_run (fleet, 11000);
  fleet_submit (fleet, 1, &(struct fleet_job){ .tasks = { 1 }, .deadly = 1 });
  while (fleet->starts == 0 && fleet->now_ms < 60000)
    fleet_run (fleet, 5);
  while (row < 3 && fleet->workers[row].run_count == 0)
    row++;
  assert_int_equal (fleet->workers[row].run_count, 1);
  fleet->workers[row].next_hold_ms = fleet->now_ms + HOLD_WAIT_MS;
  cell_worker_view (fleet->core, row, &view);
  cell_worker_unanswered (
      fleet->core, row, CELL_CALL_SILENT,
      (uint64_t)((int64_t)view.clock_at_us + c->sent_ms * INT64_C (1000)),
      fleet_now_us (fleet));
  while (fleet->crashes == 0 && fleet->now_ms < 60000)
    fleet_run (fleet, 5);
  fleet->workers[row].next_hold_ms = fleet->now_ms;
  fleet_run (fleet, CRASH_MS);
  while (cell_blame_next (fleet->core, &blame))
    counted += blame.kind == CELL_BLAME_SUSPECTED && blame.run == 1;
  if (fleet->violations > 0)
    fail_msg ("%s: %s", c->name, fleet->first_violation);
  if (counted != c->counted)
    fail_msg ("%s: %u crashes count instead of %u", c->name, counted,
              c->counted);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0]];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){
      .name = cases[i].name,
      .test_func = test_crash_after_an_order_without_an_answer,
      .initial_state = &cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
