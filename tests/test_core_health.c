/**
 * @file
 * Ejection of workers on which every task fails. Guards against such a worker
 * consuming a whole queue, as it is always free again, and against tasks that
 * fail everywhere ejecting all workers.
 */
#include "tst_core.h"

static struct tst_core t;
static uint32_t starts_on_failing_workers;

static void
open_ten_workers (void)
{
  static const char *names[]
      = { "w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9" };

  tst_core_open (&t, (struct cyc_core_desc){ 0 });
  for (int i = 0; i < 10; i++)
    tst_core_add_worker (&t, names[i], names[i]);
  tst_core_set_team (&t, "team", 500, 10000000);
  tst_core_set_queue (&t, "one", "team", CYC_KIND_BATCH, 3000);
  tst_core_set_queue (&t, "two", "team", CYC_KIND_BATCH, 3000);
}

/* Runs ticks in which each started task ends at once: it fails on the first
 * @p failing_workers workers and is done on the others. */
static void
run_ticks (uint32_t failing_workers, uint32_t ticks, uint64_t step_us)
{
  starts_on_failing_workers = 0;
  for (uint32_t i = 0; i < ticks; i++)
    {
      tst_core_tick (&t, step_us);
      for (uint32_t k = 0; k < t.decision_count; k++)
        {
          const struct cyc_decision *d = &t.decisions[k];
          bool fails
              = (uint32_t)(d->worker_name.data[1] - '0') < failing_workers;

          if (d->kind != CYC_DECISION_START)
            continue;
          starts_on_failing_workers += fails;
          cyc_core_task_report (
              &t.core, &d->job, d->task_index,
              fails ? CYC_TASK_EVENT_FAILED : CYC_TASK_EVENT_DONE, t.now_us);
        }
    }
}

static void
add_jobs (bool both_queues, uint32_t jobs)
{
  static uint32_t number = 1;

  for (uint32_t i = 0; i < jobs; i++)
    tst_core_add_job (&t, number++, both_queues && i % 2 == 0 ? "two" : "one",
                      1);
}

struct eject_case
{
  uint32_t failing_workers;
  bool both_queues;
  uint32_t expected_ejected;
};

static const struct eject_case eject_cases[] = {
  { 0, true, 0 },  { 1, true, 1 },
  { 2, true, 2 },  { 6, true, 2 }, /* at most 20% of the workers */
  { 1, false, 0 }, /* one queue only: may be the fault of its tasks */
};

static void
workers_that_fail_every_task_are_ejected_up_to_the_limit (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof eject_cases / sizeof eject_cases[0]; i++)
    {
      const struct eject_case *c = &eject_cases[i];

      open_ten_workers ();
      for (int round = 0; round < 20; round++)
        {
          add_jobs (c->both_queues, 30);
          run_ticks (c->failing_workers, 4, 1000);
        }
      assert_int_equal (tst_core_totals (&t).ejected, c->expected_ejected);
      tst_core_close (&t);
    }
}

static void
ejected_worker_gets_one_probe_per_backoff_until_one_succeeds (void **state)
{
  (void)state;
  open_ten_workers ();
  for (int round = 0; round < 8; round++)
    {
      add_jobs (true, 30);
      run_ticks (1, 4, 1000);
    }
  assert_int_equal (tst_core_totals (&t).ejected, 1);
  add_jobs (true, 600);
  run_ticks (1, 9, TST_SECOND_US);
  assert_int_equal (starts_on_failing_workers, 0);
  run_ticks (1, 2, TST_SECOND_US);
  assert_int_equal (starts_on_failing_workers, 1);
  run_ticks (1, 9, TST_SECOND_US);
  assert_int_equal (starts_on_failing_workers, 0);
  run_ticks (0, 13, TST_SECOND_US);
  assert_int_equal (tst_core_totals (&t).ejected, 0);
  tst_core_close (&t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        workers_that_fail_every_task_are_ejected_up_to_the_limit),
    cmocka_unit_test (
        ejected_worker_gets_one_probe_per_backoff_until_one_succeeds),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
