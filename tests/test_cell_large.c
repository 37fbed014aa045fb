/* Jobs with many tasks, through takeovers, crashes and batches that become
   durable out of order. Guards against progress that outgrows what one record
   may hold, so that it can never be stored (LOST), and against a new leader
   that puts the records of a job together wrongly (TWICE). */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define WORKERS 40
#define WORKER_MILLICORES 8000
#define STEP_MS 100
#define SETTLE_MS 15000

struct large_case
{
  const char *name;
  struct fleet_job job;
  uint32_t batch_skew_ms;
  uint64_t takeover_ms; /* interval between takeovers; 0: none */
  uint64_t crash_ms;    /* the same of crashes of workers */
  uint64_t limit_ms;
};

static const struct large_case cases[] = {
  { "one block and a task",
    { .tasks = { 129 }, .millicores = 50 },
    0,
    0,
    0,
    20000 },
  { "a wide step after a small one",
    { .tasks = { 1, 6000 }, .millicores = 50, .sequential = true },
    0,
    0,
    0,
    30000 },
  { "a new leader twice a second",
    { .tasks = { 2000 }, .millicores = 50, .work_ms = 300 },
    0,
    500,
    0,
    60000 },
  { "batches durable out of order, and new leaders",
    { .tasks = { 1000, 1000 }, .millicores = 50, .sequential = true },
    40,
    900,
    0,
    60000 },
  { "checkpoints and crashes",
    { .tasks = { 1500 },
      .millicores = 50,
      .work_ms = 900,
      .checkpointing = true },
    40,
    2100,
    1300,
    60000 },
  { "a gang over several blocks",
    { .tasks = { 60, 300 },
      .millicores = 50,
      .gang = true,
      .sequential = true },
    40,
    1700,
    0,
    60000 },
  { "every run fails",
    { .tasks = { 700 }, .millicores = 50, .always_fails = true },
    0,
    0,
    0,
    20000 },
};

static void
disturb (struct fleet *fleet, const struct large_case *c, uint64_t at_ms)
{
  uint32_t row = (uint32_t)(at_ms / STEP_MS) % WORKERS;

  if (c->takeover_ms > 0 && at_ms % c->takeover_ms < STEP_MS)
    fleet_takeover (fleet);
  if (c->crash_ms == 0 || at_ms % c->crash_ms >= STEP_MS)
    return;
  fleet_crash (fleet, row);
  fleet_restart (fleet, row);
}

static void
run_case (const struct large_case *c)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  enum cell_job_state expected
      = c->job.always_fails ? CELL_JOB_FAILED : CELL_JOB_COMPLETE;
  uint64_t at_ms = 0;

  fleet_setup (fleet, WORKERS, WORKER_MILLICORES);
  fleet->batch_skew_ms = c->batch_skew_ms;
  fleet_run (fleet, 500);
  fleet_submit (fleet, 1, &c->job);
  /* Another job goes on beside it. */
  fleet_submit (fleet, 2,
                &(struct fleet_job){ .tasks = { 3 }, .work_ms = 400 });
  while (at_ms < c->limit_ms && fleet_job_state (fleet, 1) != expected)
    {
      fleet_run (fleet, STEP_MS);
      at_ms += STEP_MS;
      disturb (fleet, c, at_ms);
    }
  if (fleet_job_state (fleet, 1) != expected)
    fail_msg ("%s: state %d after %u ms", c->name,
              (int)fleet_job_state (fleet, 1), (unsigned int)at_ms);
  fleet_run (fleet, SETTLE_MS);
  assert_int_equal (fleet_job_state (fleet, 2), CELL_JOB_COMPLETE);
  assert_int_equal (fleet_running (fleet), 0);
  if (fleet->violations > 0)
    fail_msg ("%s: %u violations, first: %s", c->name, fleet->violations,
              fleet->first_violation);
  /* Once more, to remove what batches that ended late have left. */
  fleet_takeover (fleet);
  fleet_run (fleet, 1000);
  assert_int_equal (fleet_job_state (fleet, 1), expected);
  fleet_teardown (fleet);
  free (fleet);
}

static void
test_large_jobs (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    run_case (&cases[i]);
}

/* An ended job leaves one record: those of its blocks are removed. */
static void
test_blocks_are_removed (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  (void)state;
  fleet_setup (fleet, WORKERS, WORKER_MILLICORES);
  fleet_run (fleet, 500);
  fleet_submit (fleet, 1,
                &(struct fleet_job){
                    .tasks = { 1000 }, .millicores = 50, .work_ms = 2000 });
  fleet_run (fleet, 800);
  assert_int_equal (g_hash_table_size (fleet->progress), 9);
  fleet_run (fleet, 10000);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  assert_int_equal (g_hash_table_size (fleet->progress), 1);
  fleet_teardown (fleet);
  free (fleet);
}

/* The records of blocks are needed until the end of their job, or of their
   round, is durable: a leader that removes them before, and is replaced,
   leaves a job of which nothing seems to have run. */
static void
test_blocks_are_needed_until_the_end_is_durable (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  (void)state;
  fleet_setup (fleet, WORKERS, WORKER_MILLICORES);
  fleet_run (fleet, 500);
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 300 }, .millicores = 50 });
  fleet_submit (fleet, 2,
                &(struct fleet_job){ .tasks = { 2 },
                                     .repeat_count = 2,
                                     .first_due_ms = fleet->now_ms,
                                     .interval_ms = 60000 });
  fleet_run (fleet, 300);
  assert_true (cell_record_needed (fleet->core, 1, 0));
  assert_true (cell_record_needed (fleet->core, 2, 0));
  assert_true (cell_record_needed (fleet->core, 2, 1));
  fleet->log_down = true;
  fleet_run (fleet, 1000);
  assert_int_equal (fleet_running (fleet), 0);
  assert_true (cell_record_needed (fleet->core, 1, 0));
  assert_true (cell_record_needed (fleet->core, 2, 0));
  fleet->log_down = false;
  fleet_run (fleet, 500);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  assert_false (cell_record_needed (fleet->core, 1, 0));
  assert_false (cell_record_needed (fleet->core, 2, 0));
  assert_true (cell_record_needed (fleet->core, 2, 1));
  fleet_run (fleet, 8000);
  assert_false (cell_record_needed (fleet->core, 2, 0));
  assert_int_equal (fleet->violations, 0);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_large_jobs),
    cmocka_unit_test (test_blocks_are_removed),
    cmocka_unit_test (test_blocks_are_needed_until_the_end_is_durable),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
