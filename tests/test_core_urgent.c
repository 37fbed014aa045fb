/**
 * @file
 * Preemption by urgent tasks: the newest batch tasks are preempted in the tick
 * in which the urgent task arrives, their capacity stays reserved for urgent
 * tasks, and the number of victims is limited.
 */
#include "tst_core.h"

static struct tst_core t;

/* Fills four workers with 12 running batch tasks, three each, newest last. */
static void
open_full_workers (struct cyc_core_desc desc, bool repeatable,
                   uint64_t balance)
{
  struct cyc_queue_cfg urgent = { .kind = CYC_KIND_BATCH,
                                  .urgent = true,
                                  .repeatable = true,
                                  .size = { 2000, 2000, 0 },
                                  .run_s = 5 };
  struct cyc_queue_cfg batch = urgent;

  tst_core_open (&t, desc);
  tst_core_add_worker (&t, "w0", "r0");
  tst_core_add_worker (&t, "w1", "r0");
  tst_core_add_worker (&t, "w2", "r1");
  tst_core_add_worker (&t, "w3", "r1");
  tst_core_set_team (&t, "team", 500, balance);
  tst_core_set_queue_cfg (&t, "urgent", "team", urgent);
  batch.urgent = false;
  batch.repeatable = repeatable;
  tst_core_set_queue_cfg (&t, "batch", "team", batch);
  for (uint32_t i = 0; i < 12; i++)
    {
      tst_core_add_job (&t, i + 1, "batch", 1);
      tst_core_tick (&t, TST_SECOND_US / 10);
      tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
    }
}

/* Guards against batch tasks that take the capacity for which the urgent
 * task preempted another one. */
static void
capacity_of_the_preempted_task_goes_to_the_urgent_task (void **state)
{
  struct cyc_name worker;

  (void)state;
  open_full_workers ((struct cyc_core_desc){ 0 }, true, 100000);
  assert_int_equal (tst_core_totals (&t).running_tasks, 12);
  tst_core_add_job (&t, 100, "urgent", 1);
  tst_core_add_job (&t, 101, "batch", 5);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 1);
  assert_int_equal (t.decisions[0].kind, CYC_DECISION_CHECKPOINT);
  assert_true (
      cyc_id128_eq (&t.decisions[0].job, &(struct cyc_id128){ { 12 } }));
  worker = t.decisions[0].worker_name;
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 0);
  tst_core_report (&t, 12, 0, CYC_TASK_EVENT_CHECKPOINTED);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 1);
  assert_true (
      cyc_id128_eq (&t.decisions[0].job, &(struct cyc_id128){ { 100 } }));
  assert_true (cyc_name_eq (&worker, &t.decisions[0].worker_name));
  tst_core_close (&t);
}

/* Guards against batch tasks that take the capacity of the first victim
 * while an urgent task that needs two victims waits for the second. */
static void
capacity_of_the_first_victim_is_reserved_until_the_second_stops (void **state)
{
  struct cyc_queue_cfg big = { .kind = CYC_KIND_BATCH,
                               .urgent = true,
                               .repeatable = true,
                               .size = { 4000, 4000, 0 } };
  struct cyc_decision second;

  (void)state;
  open_full_workers ((struct cyc_core_desc){ 0 }, true, 100000);
  tst_core_set_queue_cfg (&t, "big", "team", big);
  tst_core_add_job (&t, 100, "big", 1);
  tst_core_add_job (&t, 101, "batch", 5);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_CHECKPOINT), 2);
  second = t.decisions[1];
  cyc_core_task_report (&t.core, &t.decisions[0].job, 0,
                        CYC_TASK_EVENT_CHECKPOINTED, t.now_us);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 0);
  cyc_core_task_report (&t.core, &second.job, 0, CYC_TASK_EVENT_CHECKPOINTED,
                        t.now_us);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 1);
  assert_true (
      cyc_id128_eq (&t.decisions[0].job, &(struct cyc_id128){ { 100 } }));
  tst_core_close (&t);
}

/* Guards against an urgent task that waits without limit for a victim that
 * does not checkpoint. */
static void
unresponsive_victim_is_throttled_then_stopped (void **state)
{
  static const enum cyc_decision_kind steps[]
      = { CYC_DECISION_CHECKPOINT, CYC_DECISION_THROTTLE, CYC_DECISION_STOP,
          CYC_DECISION_REFUSE };
  uint32_t seen = 0;

  (void)state;
  open_full_workers ((struct cyc_core_desc){ 0 }, true, 100000);
  tst_core_add_job (&t, 100, "urgent", 1);
  for (int i = 0; i < 16; i++)
    {
      tst_core_tick (&t, TST_SECOND_US / 4);
      for (uint32_t k = 0; k < t.decision_count; k++)
        {
          assert_int_equal (t.decisions[k].kind, steps[seen < 3 ? seen : 3]);
          seen++;
        }
    }
  assert_int_equal (seen, 3);
  tst_core_close (&t);
}

/* Guards against batch tasks that take the capacity of an ended urgent task,
 * so that the next urgent task has to preempt again. */
static void
capacity_of_an_ended_urgent_task_is_reserved_for_the_next (void **state)
{
  (void)state;
  open_full_workers ((struct cyc_core_desc){ 0 }, true, 100000);
  tst_core_add_job (&t, 100, "urgent", 1);
  tst_core_add_job (&t, 101, "batch", 20);
  tst_core_tick (&t, 1000);
  tst_core_report_each (&t, CYC_DECISION_CHECKPOINT,
                        CYC_TASK_EVENT_CHECKPOINTED);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 1);
  tst_core_report (&t, 100, 0, CYC_TASK_EVENT_DONE);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 1);
  assert_int_equal (t.decisions[0].kind, CYC_DECISION_JOB_ENDED);
  tst_core_add_job (&t, 102, "urgent", 1);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 1);
  assert_int_equal (t.decisions[0].kind, CYC_DECISION_START);
  assert_true (
      cyc_id128_eq (&t.decisions[0].job, &(struct cyc_id128){ { 102 } }));
  tst_core_close (&t);
}

struct limit_case
{
  uint32_t floor_permille;
  uint32_t preempt_permille;
  bool repeatable;
  uint64_t balance;
  uint32_t expected_victims; /**< of 12 tasks, for 10 urgent tasks */
};

static const struct limit_case limit_cases[] = {
  { 100, 300, true, 100000, 3 },  { 100, 500, true, 100000, 6 },
  { 1000, 300, true, 100000, 2 }, /* 24,000 - 2 x 2,000 = 50% of 40,000, the
                                     share */
  { 100, 300, false, 100000, 0 }, /* not repeatable: a stop is final */
  { 100, 300, true, 24000, 3 },   /* victims free the team's own balance */
};

/* Guards against urgent tasks that preempt more batch tasks than the limits
 * allow, or tasks that are not repeatable. */
static void
preemption_stays_within_its_limits (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof limit_cases / sizeof limit_cases[0]; i++)
    {
      const struct limit_case *c = &limit_cases[i];
      struct cyc_core_desc desc
          = { .batch_floor_permille = c->floor_permille,
              .preempt_max_permille = c->preempt_permille };

      open_full_workers (desc, c->repeatable, c->balance);
      assert_int_equal (tst_core_totals (&t).running_tasks, 12);
      tst_core_add_job (&t, 100, "urgent", 10);
      tst_core_tick (&t, 1000);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_CHECKPOINT),
                        c->expected_victims);
      tst_core_report_each (&t, CYC_DECISION_CHECKPOINT,
                            CYC_TASK_EVENT_CHECKPOINTED);
      tst_core_tick (&t, 1000);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START),
                        c->expected_victims);
      tst_core_close (&t);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (capacity_of_the_preempted_task_goes_to_the_urgent_task),
    cmocka_unit_test (
        capacity_of_the_first_victim_is_reserved_until_the_second_stops),
    cmocka_unit_test (unresponsive_victim_is_throttled_then_stopped),
    cmocka_unit_test (
        capacity_of_an_ended_urgent_task_is_reserved_for_the_next),
    cmocka_unit_test (preemption_stays_within_its_limits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
