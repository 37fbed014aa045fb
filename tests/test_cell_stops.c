/* Runs are to be stopped on a worker that does not answer. Guards against a
   leader that is kept busy with stops to crashed workers: each run there was
   to be stopped every 0.7 s until its lease had lapsed. */

#include "tst_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define TASKS 8
#define LEASE_MS 10000
/** A stop to a worker that does not answer is repeated no faster than this. */
#define SILENT_STOP_INTERVAL_MS 2000
/** The worker is back for this long until its runs must be stopped. */
#define BACK_MS 1500

struct stops_case
{
  const char *name;
  uint32_t silent_ms; /**< before the job is cancelled */
  bool crashes;       /**< for good; else the worker is cut off */
  bool refuses;       /**< calls are refused while it is cut off */
  uint32_t cut_ms;    /**< until the worker answers again */
  bool one_way;       /**< calls arrive, but their answers are lost */
};

static struct stops_case cases[] = {
  { "crashed worker", .silent_ms = 1500, .crashes = true, .cut_ms = LEASE_MS },
  { "crashed just before", .crashes = true, .cut_ms = LEASE_MS },
  { "cut off", .silent_ms = 1500, .cut_ms = 7000 },
  { "cut off with refusal", 1500, .refuses = true, .cut_ms = 7000 },
  { "answers lost", .silent_ms = 1500, .cut_ms = 7000, .one_way = true },
};

static uint32_t
runs_left (const struct fleet *fleet)
{
  return fleet->workers[0].up ? fleet->workers[0].run_count : 0;
}

static void
test_stops_to_a_silent_worker (void **state)
{
  const struct stops_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct fleet_worker *worker;
  uint32_t max_stops
      = TASKS * (1 + (c->silent_ms + c->cut_ms) / SILENT_STOP_INTERVAL_MS);

  fleet_setup_leased (fleet, 1, TASKS * 1000, LEASE_MS);
  worker = &fleet->workers[0];
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { TASKS }, .work_ms = 60000 });
  fleet_run (fleet, 2000);
  assert_int_equal (runs_left (fleet), TASKS);
  if (c->crashes)
    fleet_crash (fleet, 0);
  worker->partitioned = !c->crashes && !c->one_way;
  worker->refusing = c->refuses;
  worker->answers_lost = c->one_way;
  fleet_run (fleet, c->silent_ms);
  fleet_cancel (fleet, 1);
  fleet_run (fleet, c->cut_ms);
  if (fleet->stops_ordered > max_stops)
    fail_msg ("%s: %u stops of %u runs", c->name, fleet->stops_ordered, TASKS);
  if (c->one_way && runs_left (fleet) > 0)
    fail_msg ("%s: no stop was sent", c->name);
  worker->partitioned = false;
  worker->answers_lost = false;
  fleet_run (fleet, BACK_MS);
  if (runs_left (fleet) > 0)
    fail_msg ("%s: %u runs left", c->name, runs_left (fleet));
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
      .test_func = test_stops_to_a_silent_worker,
      .initial_state = &cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
