/* Workers that are held for the trial of a suspected task which cannot start
   there. Guards against a hold that outlives its purpose: the worker takes no
   other work, and no other trial gets its turn. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define WORKERS 8
/** A hold fails after this time, as docs/design.md states it. */
#define HOLD_MAX_MS 4000
/** Interval at which trials that wait are considered, and a report. */
#define NOTICED_MS 200

static void
drain (struct fleet *fleet, uint32_t row)
{
  fleet_drain (fleet, row, 5000);
}

static void
cut_off (struct fleet *fleet, uint32_t row)
{
  fleet->workers[row].partitioned = true;
}

static void
cancel (struct fleet *fleet, uint32_t row)
{
  (void)row;
  fleet_cancel (fleet, 2);
}

static void
wait (struct fleet *fleet, uint32_t row)
{
  (void)fleet;
  (void)row;
}

struct hold_case
{
  const char *name;
  void (*event) (struct fleet *fleet, uint32_t row);
  uint32_t limit_ms;
  bool other_task;   /* the next hold is for the other suspected task */
  bool other_worker; /* the next hold is of another worker */
};

static struct hold_case cases[] = {
  { "held worker drains", drain, NOTICED_MS, false, true },
  { "held worker falls silent", cut_off, NOTICED_MS, false, true },
  { "job is cancelled", cancel, NOTICED_MS, true, false },
  { "deadline", wait, HOLD_MAX_MS + NOTICED_MS, true, true },
};

static uint32_t
worker_of (const struct fleet *fleet, uint64_t job)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
      if (g_ascii_strtoull (fleet->workers[w].runs[r].task, NULL, 16) == job)
        return w;
  return UINT32_MAX;
}

/* Waits for the next hold; returns false if there is none in time. */
static bool
next_hold (struct fleet *fleet, uint32_t limit_ms, struct cell_blame *hold)
{
  for (uint32_t ms = 0; ms <= limit_ms; ms += 5)
    {
      while (cell_blame_next (fleet->core, hold))
        if (hold->kind == CELL_BLAME_HOLD)
          return true;
      fleet_run (fleet, 5);
    }
  return false;
}

/* All workers are full for long, except for one with the tasks of jobs 2 and
   3, which crashes under both. */
static void
suspect_two_jobs (struct fleet *fleet)
{
  uint32_t row;

  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 2 * (WORKERS - 1) },
                                     .work_ms = 600000 });
  fleet_run (fleet, 1000);
  for (uint64_t id = 2; id <= 3; id++)
    fleet_submit (fleet, id,
                  &(struct fleet_job){ .tasks = { 1 }, .work_ms = 600000 });
  for (uint32_t ms = 0; ms < 1000 && worker_of (fleet, 3) == UINT32_MAX;
       ms += 5)
    fleet_run (fleet, 5);
  row = worker_of (fleet, 3);
  assert_int_not_equal (row, UINT32_MAX);
  assert_int_equal (row, worker_of (fleet, 2));
  fleet_run (fleet, 20);
  fleet_crash (fleet, row);
  fleet_run (fleet, 1000);
  assert_true (fleet_lapse_entry (fleet, row));
}

static void
test_hold_ends (void **state)
{
  const struct hold_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct cell_blame first;
  struct cell_blame next;

  fleet_setup (fleet, WORKERS, 2000);
  fleet->now_ms = 30000;
  fleet_run (fleet, 11000);
  suspect_two_jobs (fleet);
  assert_true (next_hold (fleet, 3 * FLEET_LEASE_MS, &first));
  assert_int_equal (g_ascii_strtoull (first.task, NULL, 16), 2);
  c->event (fleet, first.worker);
  if (!next_hold (fleet, c->limit_ms, &next))
    fail_msg ("%s: no other hold after %u ms", c->name, c->limit_ms);
  if ((strcmp (next.task, first.task) != 0) != c->other_task)
    fail_msg ("%s: held for %s after %s", c->name, next.task, first.task);
  if (c->other_worker && next.worker == first.worker)
    fail_msg ("%s: the same worker is held again", c->name);
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
      .test_func = test_hold_ends,
      .initial_state = &cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
