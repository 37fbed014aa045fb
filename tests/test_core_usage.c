/**
 * @file
 * Size estimates from measured usage, and relief of overloaded workers. Guards
 * against wrong declared sizes that leave workers idle or overload them.
 */
#include "tst_core.h"

static struct tst_core t;

static void
open_one_worker (uint32_t size)
{
  tst_core_open (&t, (struct cyc_core_desc){ 0 });
  tst_core_add_worker (&t, "w0", "r0");
  tst_core_set_team (&t, "team", 500, 1000000);
  tst_core_set_queue (&t, "batch", "team", CYC_KIND_BATCH, size);
}

static void
report_task_usage (uint32_t used, uint32_t times)
{
  struct cyc_id128 id = tst_core_job_id (1);
  struct cyc_core_usage usage
      = { .used = { used, used, 0 }, .measured_us = t.now_us };

  for (uint32_t i = 0; i < times; i++)
    assert_int_equal (cyc_core_task_usage (&t.core, &id, 0, &usage, t.now_us),
                      CYC_CORE_OK);
}

static void
report_worker_usage (uint32_t millicores, uint32_t memory, uint64_t age_us)
{
  struct cyc_core_usage usage = { .used = { millicores, memory, 0 },
                                  .measured_us = t.now_us - age_us };

  assert_int_equal (
      cyc_core_worker_usage (&t.core, CYC_STR ("w0"), &usage, t.now_us),
      CYC_CORE_OK);
}

struct estimate_case
{
  uint32_t declared;
  uint32_t used;
  uint32_t samples;
  uint32_t expected_starts; /**< of 30 tasks, beside the running one */
};

static const struct estimate_case estimate_cases[] = {
  { 2000, 2000, 7, 2 },  /* too few samples: declared + 25% = 2,500 each */
  { 2000, 1000, 20, 8 }, /* placed tasks count 1,000, a new one 1,091 */
  { 2000, 2000, 20, 3 }, /* 2,182 each */
  { 2000, 20, 20, 18 },  /* lower limit of the estimate: 500 each */
  { 1000, 9000, 20, 1 }, /* upper limit of the estimate: 4,000 each */
};

static void
estimate_follows_measurements_within_limits (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof estimate_cases / sizeof estimate_cases[0]; i++)
    {
      open_one_worker (estimate_cases[i].declared);
      tst_core_add_job (&t, 1, "batch", 1);
      tst_core_tick (&t, 1000);
      report_task_usage (estimate_cases[i].used, estimate_cases[i].samples);
      tst_core_add_job (&t, 2, "batch", 30);
      tst_core_tick (&t, 1000);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START),
                        estimate_cases[i].expected_starts);
      tst_core_close (&t);
    }
}

static void
starts_after_a_late_measurement_are_added_to_it (void **state)
{
  (void)state;
  open_one_worker (1000);
  report_worker_usage (6000, 1000, 0);
  tst_core_add_job (&t, 1, "batch", 2);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 2);
  /* Measured before the two starts, so they are added: 6,000 + 2 x 1,250
   * leaves 1,000 of 9,500, too little for another 1,250. */
  report_worker_usage (6000, 1000, 1000);
  tst_core_add_job (&t, 2, "batch", 5);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 0);
  /* Measured after the two starts, so 6,000 includes them and two more fit. */
  report_worker_usage (6000, 1000, 0);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 2);
  tst_core_close (&t);
}

static void
tasks_ended_after_a_late_measurement_are_subtracted (void **state)
{
  (void)state;
  open_one_worker (1000);
  tst_core_add_job (&t, 1, "batch", 1);
  tst_core_tick (&t, 1000);
  report_task_usage (3000, 1);
  tst_core_tick (&t, 3 * TST_SECOND_US);
  tst_core_report (&t, 1, 0, CYC_TASK_EVENT_DONE);
  /* Of the 9,000 measured 2 s ago, 3,000 belonged to the ended task. 3,500 of
   * 9,500 are free, enough for two tasks of 1,250. */
  report_worker_usage (9000, 100, 2 * TST_SECOND_US);
  tst_core_add_job (&t, 2, "batch", 5);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 2);
  tst_core_close (&t);
}

struct overload_case
{
  uint32_t millicores;             /**< reported usage of the worker */
  uint32_t memory;                 /**< reported usage of the worker, in MiB */
  enum cyc_decision_kind steps[3]; /**< expected, in order */
};

static const struct overload_case overload_cases[] = {
  { 9600,
    5000,
    { CYC_DECISION_THROTTLE, CYC_DECISION_CHECKPOINT, CYC_DECISION_STOP } },
  { 5000,
    9600,
    { CYC_DECISION_CHECKPOINT, CYC_DECISION_THROTTLE, CYC_DECISION_STOP } },
};

/* Checks that all steps apply to the newest task, and that no other task is
 * throttled or stopped while that one still runs. */
static void
check_overload_steps (const struct overload_case *c)
{
  uint32_t step = 0;

  for (int i = 0; i < 24; i++)
    {
      report_worker_usage (c->millicores, c->memory, 0);
      tst_core_tick (&t, 250000);
      for (uint32_t k = 0; k < t.decision_count; k++)
        {
          assert_true (step < 3);
          assert_int_equal (t.decisions[k].kind, c->steps[step++]);
          assert_int_equal (t.decisions[k].task_index, 3);
        }
    }
  assert_int_equal (step, 3);
}

static void
overload_is_relieved_step_by_step (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof overload_cases / sizeof overload_cases[0]; i++)
    {
      open_one_worker (1000);
      tst_core_add_job (&t, 1, "batch", 4);
      tst_core_tick (&t, 1000);
      tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
      check_overload_steps (&overload_cases[i]);
      tst_core_close (&t);
    }
}

static void
throttled_task_is_unthrottled_after_the_overload (void **state)
{
  (void)state;
  open_one_worker (1000);
  tst_core_add_job (&t, 1, "batch", 4);
  tst_core_tick (&t, 1000);
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  report_worker_usage (9600, 100, 0);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decisions[0].kind, CYC_DECISION_THROTTLE);
  report_worker_usage (9000, 100, 0);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 0);
  report_worker_usage (8000, 100, 0);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decisions[0].kind, CYC_DECISION_UNTHROTTLE);
  tst_core_close (&t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (estimate_follows_measurements_within_limits),
    cmocka_unit_test (starts_after_a_late_measurement_are_added_to_it),
    cmocka_unit_test (tasks_ended_after_a_late_measurement_are_subtracted),
    cmocka_unit_test (overload_is_relieved_step_by_step),
    cmocka_unit_test (throttled_task_is_unthrottled_after_the_overload),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
