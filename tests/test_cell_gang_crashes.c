/* Members of a gang on two workers that crash under one run, with a takeover
   between the conclusions. Guards against a crash of a rack that counts once
   for each member, so that an innocent gang is given up (LOST). */

#include "tst_fleet_internal.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define WORKERS 6
#define WORKER_MILLICORES 4000
#define MEMBERS 2
#define WORK_MS 60000
/** From a crash until its worker is back, and from a conclusion until its
 * record is durable. */
#define SETTLE_MS 300

struct crash_case
{
  const char *name;
  uint32_t racks;   /* that crash, each under one run */
  bool takeover;    /* between the conclusions about the two workers */
  uint32_t crashes; /* that count against the gang */
  enum cell_job_state state;
};

static const struct crash_case cases[] = {
  { "one rack", 1, false, 1, CELL_JOB_ACTIVE },
  { "one rack and a takeover", 1, true, 1, CELL_JOB_ACTIVE },
  { "two racks", 2, false, 2, CELL_JOB_FAILED },
  { "two racks and takeovers", 2, true, 2, CELL_JOB_FAILED },
};

/* Returns the largest number of crashes that the core has reported of a task
   since the last call. */
static uint32_t
take_crashes (struct fleet *fleet)
{
  struct cell_blame blame;
  uint32_t crashes = 0;

  while (cell_blame_next (fleet->core, &blame))
    if (blame.kind == CELL_BLAME_SUSPECTED)
      crashes = MAX (crashes, blame.crashes);
  return crashes;
}

static void
wait_for_starts (struct fleet *fleet, const char *name, uint32_t starts)
{
  for (uint32_t i = 0; fleet->starts < starts && i < 4000; i++)
    fleet_run (fleet, 5);
  if (fleet->starts != starts)
    fail_msg ("%s: %u starts instead of %u", name, fleet->starts, starts);
}

static void
find_members (const struct fleet *fleet, uint32_t rows[MEMBERS])
{
  uint32_t count = 0;

  for (uint32_t w = 0; w < fleet->worker_count; w++)
    if (fleet->workers[w].run_count > 0)
      {
        assert_true (count < MEMBERS);
        rows[count++] = w;
      }
  assert_int_equal (count, MEMBERS);
}

/* Both workers crash just after the start; one after the other is back.
   Returns the number of crashes that count against the gang then. */
static uint32_t
crash_rack (struct fleet *fleet, const struct crash_case *c)
{
  uint32_t rows[MEMBERS] = { 0 };
  uint32_t crashes;
  uint32_t later;

  find_members (fleet, rows);
  fleet_crash (fleet, rows[0]);
  fleet_crash (fleet, rows[1]);
  fleet_run (fleet, SETTLE_MS);
  fleet_restart (fleet, rows[0]);
  fleet_run (fleet, SETTLE_MS);
  crashes = take_crashes (fleet);
  if (c->takeover)
    {
      fleet_takeover (fleet);
      fleet_run (fleet, SETTLE_MS);
    }
  fleet_restart (fleet, rows[1]);
  /* The gang is not started again before. */
  fleet_run (fleet, 5);
  later = take_crashes (fleet);
  return MAX (crashes, later);
}

static void
test_crash_of_a_rack_counts_once (void **state)
{
  const struct crash_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint32_t crashes = 0;

  fleet_setup (fleet, WORKERS, WORKER_MILLICORES);
  /* Workers that were started just before are weak evidence. */
  fleet->now_ms = 30000;
  fleet_run (fleet, 100);
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { MEMBERS },
                                     .gang = true,
                                     .max_per_worker = 1,
                                     .work_ms = WORK_MS });
  for (uint32_t rack = 0; rack < c->racks; rack++)
    {
      wait_for_starts (fleet, c->name, MEMBERS * (rack + 1));
      crashes = crash_rack (fleet, c);
    }
  if (crashes != c->crashes)
    fail_msg ("%s: %u crashes counted instead of %u", c->name, crashes,
              c->crashes);
  if (fleet_job_state (fleet, 1) != c->state)
    fail_msg ("%s: state %d", c->name, (int)fleet_job_state (fleet, 1));
  if (c->state != CELL_JOB_FAILED)
    wait_for_starts (fleet, c->name, MEMBERS * (c->racks + 1));
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
      .test_func = test_crash_of_a_rack_counts_once,
      .initial_state = (void *)&cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
