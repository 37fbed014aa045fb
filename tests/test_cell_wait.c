/* Why a step waits. Guards against a record of a job that stands still from
   which its cause cannot be told. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define MIN_US 1500000

struct wait_case
{
  const char *name;
  struct fleet_job first, second;
  bool advice_down;
  bool waits;
  uint64_t job;
  enum cell_wait_cause cause;
};

static const struct wait_case cases[] = {
  { "nothing waits", { .tasks = { 2 } }, { .tasks = { 2 } } },
  { "one task of two runs",
    { .tasks = { 8 }, .millicores = 4000, .work_ms = 20000 },
    { .tasks = { 0 } } },
  { "no room",
    { .tasks = { 4 }, .millicores = 4000, .work_ms = 20000 },
    { .tasks = { 2 } },
    .waits = true,
    .job = 2,
    .cause = CELL_WAIT_NO_ROOM },
  { "no quota",
    { .tasks = { 6 }, .team = "limited", .work_ms = 20000 },
    { .tasks = { 2 }, .team = "limited" },
    .waits = true,
    .job = 2,
    .cause = CELL_WAIT_QUOTA },
  { "no answer of the advisor",
    { .tasks = { 2 }, .queue = "advised" },
    { .tasks = { 0 } },
    .advice_down = true,
    .waits = true,
    .job = 1,
    .cause = CELL_WAIT_NO_ADVICE },
  { "no such queue",
    { .tasks = { 2 }, .queue = "gone" },
    { .tasks = { 0 } },
    .waits = true,
    .job = 1,
    .cause = CELL_WAIT_NO_QUEUE },
};

static void
run_case (const struct wait_case *c)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct cell_wait wait;
  bool waits;

  fleet_setup (fleet, 4, 4000);
  fleet->advice_down = c->advice_down;
  fleet_run (fleet, 500);
  fleet_submit (fleet, 1, &c->first);
  fleet_run (fleet, 300);
  if (c->second.tasks[0] > 0)
    fleet_submit (fleet, 2, &c->second);
  fleet_run (fleet, 2000);
  waits = cell_wait_longest (fleet->core, MIN_US, &wait);
  if (waits != c->waits)
    fail_msg ("%s: %s", c->name, waits ? "a step waits" : "no step waits");
  if (waits && (wait.job != c->job || wait.cause != c->cause))
    fail_msg ("%s: job %u, cause %d", c->name, (unsigned int)wait.job,
              (int)wait.cause);
  fleet_teardown (fleet);
  free (fleet);
}

static void
test_causes (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    run_case (&cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_causes) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
