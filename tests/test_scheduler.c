/**
 * @file
 * Schedulers against the fakes: work is placed, and the promises about it hold
 * when owners, workers and the log fail.
 */
#include "tst_cell.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static void
assert_promises (const struct cell *cell)
{
  struct cell_facts facts;

  cell_facts (cell, &facts);
  assert_int_equal (facts.overlaps, 0);
  assert_int_equal (facts.overruns, 0);
}

struct goal
{
  struct sc_scheduler *sc;
  struct cyc_id128 job;
  enum cyc_job_state state;
  uint64_t running;
};

static bool
job_has_state (void *user)
{
  struct goal *goal = user;
  const struct cyc_job_row *row = cyc_jobs_find (&goal->sc->jobs, &goal->job);

  return row != NULL && row->state == goal->state;
}

static bool
runs_so_many (void *user)
{
  struct goal *goal = user;
  struct cyc_core_totals totals;

  if (goal->sc->epoch == 0)
    return false;
  cyc_core_totals (&goal->sc->core, &totals);
  return totals.running_tasks == goal->running;
}

static void
publish_all (struct cell *cell)
{
  cell_publish (cell, "fleet", CELL_FLEET);
  cell_team (cell, "orders", 40000);
  cell_queue (cell, "check", "orders", "service", 4, 0, true);
  cell_queue (cell, "tally", "orders", "batch", 1, 1, true);
  cell_queue (cell, "train", "orders", "gang", 3, 1, true);
  cell_queue (cell, "bill", "orders", "batch", 1, 1, false);
}

/* Guards against work that is accepted and never run. */
static void
service_batch_and_gang_are_placed (void **state)
{
  struct cell cell;
  struct goal batch = { .state = CYC_JOB_DONE };
  struct goal gang = { .state = CYC_JOB_DONE };
  struct goal services = { .running = 2 };

  (void)state;
  cell_setup (&cell, 4);
  publish_all (&cell);
  batch.sc = gang.sc = services.sc
      = cell_scheduler (&cell, "entry-1", "north-a");
  batch.job = cell_submit (&cell, "tally", "orders", 2);
  gang.job = cell_submit (&cell, "train", "orders", 3);
  assert_true (cell_until (&cell, cell_acting, batch.sc, 8000));
  assert_true (cell_until (&cell, job_has_state, &batch, 8000));
  assert_true (cell_until (&cell, job_has_state, &gang, 8000));
  assert_true (cell_until (&cell, runs_so_many, &services, 3000));
  assert_promises (&cell);
  cell_shutdown (&cell);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (service_batch_and_gang_are_placed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
