/* What the durations of gangs say of other tasks of their queue. Guards
   against a gang's run that weighs in the mean duration of its queue once for
   each member, so that tasks of other jobs seem slow, and are stopped and
   repeated elsewhere. */

#include "tst_fleet_internal.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define WORKERS 3
#define WORKER_MILLICORES 4000
#define TASKS 10
#define TASK_MS 10000
#define GANG_MS 300
/** After it, the leader has learned long enough to stop a task that is
 * slow. */
#define WARM_UP_MS 11000

struct pace_case
{
  const char *name;
  uint32_t members; /* of the gang */
  uint32_t after;   /* tasks of a step after it; 0: the gang ends the job */
};

static const struct pace_case cases[] = {
  { "small gang", 2, 0 },
  { "large gang", 40, 0 },
  { "large gang with a step after it", 40, 1 },
};

static void
run_job (struct fleet *fleet, const char *name, uint64_t id,
         const struct fleet_job *job)
{
  fleet_submit (fleet, id, job);
  for (uint32_t i = 0;
       i < 4000 && fleet_job_state (fleet, id) != CELL_JOB_COMPLETE; i++)
    fleet_run (fleet, 5);
  if (fleet_job_state (fleet, id) != CELL_JOB_COMPLETE)
    fail_msg ("%s: job %" PRIu64 " is in state %d", name, id,
              (int)fleet_job_state (fleet, id));
}

static void
test_gang_weighs_as_one_task (void **state)
{
  const struct pace_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  const struct fleet_job tasks = { .tasks = { TASKS }, .work_ms = TASK_MS };

  fleet_setup (fleet, WORKERS, WORKER_MILLICORES);
  fleet_run (fleet, 100);
  run_job (fleet, c->name, 1, &tasks);
  fleet_run (fleet, WARM_UP_MS);
  run_job (fleet, c->name, 2,
           &(struct fleet_job){ .tasks = { c->members, c->after },
                                .gang = true,
                                .sequential = true,
                                .millicores = 100,
                                .work_ms = GANG_MS });
  fleet_run (fleet, 1000);
  fleet->stops_ordered = 0;
  run_job (fleet, c->name, 3, &tasks);
  if (fleet->stops_ordered > 0)
    fail_msg ("%s: %u tasks were stopped", c->name, fleet->stops_ordered);
  if (fleet->violations > 0)
    fail_msg ("%s: %s", c->name, fleet->first_violation);
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
      .test_func = test_gang_weighs_as_one_task,
      .initial_state = (void *)&cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
