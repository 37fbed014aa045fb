/* A run that was taken for over and is shown by its worker before the next run
   of its task has been ordered. Guards against a start that is ordered
   although the core knows that the task is running. */

#include "cyc_cell_internal.h"
#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#define TASK "0000000000000001.0.0.0"
/** Allowance for a slow clock and for the transit of messages. */
#define MARGIN_MS 500

struct fixture
{
  struct fleet *fleet;
  struct cell_core *core;
  uint32_t row; /* worker of the first run */
  uint64_t now_us;
};

/* Makes the records of the core durable. */
static void
store_records (struct fixture *f)
{
  uint64_t batch = cell_batch_close (f->core);
  struct cell_record record;

  while (cell_batch_next (f->core, &record))
    free (record.data);
  if (batch != 0)
    cell_batch_durable (f->core, batch, f->now_us);
}

static uint32_t
starts (struct fixture *f)
{
  struct cell_order order;
  uint32_t count = 0;

  while (cell_order_next (f->core, &order))
    count += order.kind == CELL_ORDER_START;
  return count;
}

/* The only run of the task is taken for over, and the next one is placed. */
static struct fixture
setup (void)
{
  struct fixture f = { .fleet = calloc (1, sizeof *f.fleet) };
  const struct cell_run *run;

  fleet_setup (f.fleet, 2, 1000);
  fleet_run (f.fleet, 100);
  fleet_submit (f.fleet, 1,
                &(struct fleet_job){ .tasks = { 1 }, .work_ms = 60000 });
  fleet_run (f.fleet, 200);
  f.core = f.fleet->core;
  f.row = f.fleet->workers[0].run_count > 0 ? 0 : 1;
  assert_int_equal (f.fleet->workers[f.row].run_count, 1);
  f.now_us = fleet_now_us (f.fleet);
  cell_worker_silent (f.core, f.row, f.now_us);
  f.now_us += (FLEET_LEASE_MS + MARGIN_MS) * 1000ULL;
  cell_tick (f.core, f.now_us, f.now_us / 1000);
  run = cell_task_peek (cell_job_find (f.core, 1), 0, 0)->run;
  assert_non_null (run);
  assert_int_equal (run->number, 2);
  assert_int_equal (run->state, CELL_RUN_RECORDING);
  return f;
}

static void
report_first_run (struct fixture *f, bool ended)
{
  struct cell_running_row running = { .task = CYC_STR (TASK), .run = 1 };
  struct cell_end_row end = {
    .number = 1, .task = CYC_STR (TASK), .run = 1, .kind = CELL_END_DONE
  };
  struct cell_report report = { .running = &running,
                                .running_count = !ended,
                                .ends = &end,
                                .end_count = ended,
                                .born_ms = f->fleet->workers[f->row].born_ms,
                                .clock_ms = f->now_us / 1000,
                                .sent_us = f->now_us };

  cell_worker_report (f->core, f->row, &report, f->now_us);
  cell_tick (f->core, f->now_us, f->now_us / 1000);
}

static void
test_run_shown_before_the_next_one_is_ordered (void **state)
{
  struct fixture f = setup ();

  (void)state;
  report_first_run (&f, false);
  store_records (&f);
  assert_int_equal (starts (&f), 0);
  f.now_us += 100000;
  cell_tick (f.core, f.now_us, f.now_us / 1000);
  store_records (&f);
  assert_int_equal (starts (&f), 0);
  f.now_us += 100000;
  report_first_run (&f, true);
  assert_int_equal (cell_job_find (f.core, 1)->state, CELL_JOB_COMPLETE);
  fleet_teardown (f.fleet);
  free (f.fleet);
}

/* Without such a report the next run is ordered. */
static void
test_next_run_is_ordered (void **state)
{
  struct fixture f = setup ();

  (void)state;
  store_records (&f);
  assert_int_equal (starts (&f), 1);
  fleet_teardown (f.fleet);
  free (f.fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_run_shown_before_the_next_one_is_ordered),
    cmocka_unit_test (test_next_run_is_ordered),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
