/* A worker falls silent while the record of a run on it is being written.
   Guards against a start that is sent after the core has taken its run for
   over by a lease from before the start. */

#include "tst_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

struct silent_case
{
  const char *name;
  uint32_t tasks;
  bool back_first;     /**< the worker is reached again before the log */
  uint64_t held_ms;    /**< from the durable record to the order */
  uint32_t max_starts; /**< of all tasks */
};

static struct silent_case cases[] = {
  { "order sent at once", 2, false, 0, 2 },
  { "tick between record and order", 2, false, 20, 2 },
  { "several ticks between record and order", 2, false, 400, 2 },
  { "one task", 1, false, 20, 1 },
  { "worker back before the log", 2, true, 20, 2 },
};

/* Fleet of two workers, of which only the first is usable at the placement. */
static void
run_case (const struct silent_case *c)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct fleet_worker *silent;

  fleet_setup (fleet, 2, 2000);
  silent = &fleet->workers[0];
  fleet_run (fleet, 100);
  fleet_drain (fleet, 1, 60000);
  fleet->log_down = true;
  fleet_submit (fleet, 1, &(struct fleet_job){ .tasks = { c->tasks } });
  fleet_run (fleet, 100);
  silent->partitioned = true;
  fleet_drain (fleet, 1, 0);
  fleet_run (fleet, FLEET_LEASE_MS * 102 / 100 + 500);
  silent->partitioned = !c->back_first;
  fleet->orders_held = c->held_ms > 0;
  fleet->log_down = false;
  fleet_run (fleet, 15 + c->held_ms);
  fleet->orders_held = false;
  silent->partitioned = false;
  fleet_run (fleet, 60000);
  if (fleet->violations > 0)
    fail_msg ("%s: %s", c->name, fleet->first_violation);
  if (fleet->starts > c->max_starts)
    fail_msg ("%s: %u starts", c->name, fleet->starts);
  if (fleet_job_state (fleet, 1) != CELL_JOB_COMPLETE)
    fail_msg ("%s: the job is in state %d", c->name,
              (int)fleet_job_state (fleet, 1));
  fleet_teardown (fleet);
  free (fleet);
}

static void
test_start_sent_after_its_run_was_over (void **state)
{
  const struct silent_case *c = *state;

  run_case (c);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0]];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){
      .name = cases[i].name,
      .test_func = test_start_sent_after_its_run_was_over,
      .initial_state = &cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
