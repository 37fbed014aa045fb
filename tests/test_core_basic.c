/**
 * @file
 * Placement, limits, leases, retries, replicas of services and the end of jobs
 * in the decision core.
 */
#include "tst_core.h"

static struct tst_core t;

static void
open_core (uint32_t workers, uint64_t balance)
{
  static const char *names[] = { "w0", "w1", "w2", "w3", "w4", "w5" };
  static const char *racks[] = { "r0", "r1", "r2", "r0", "r1", "r2" };

  tst_core_open (&t, (struct cyc_core_desc){ 0 });
  for (uint32_t i = 0; i < workers; i++)
    tst_core_add_worker (&t, names[i], racks[i]);
  tst_core_set_team (&t, "team", 500, balance);
  tst_core_set_queue (&t, "batch", "team", CYC_KIND_BATCH, 2000);
  tst_core_set_queue (&t, "gang", "team", CYC_KIND_GANG, 2000);
  tst_core_set_queue (&t, "svc", "team", CYC_KIND_SERVICE, 2000);
}

struct fit_case
{
  const char *queue;
  uint32_t workers;
  uint64_t balance;
  uint32_t tasks;
  uint32_t expected_starts;
};

/* A task of 2,000 is placed with 25% headroom as 2,500; a worker of 10,000 is
 * filled up to 9,500 (worker_high_permille), so three batch tasks fit. */
static const struct fit_case fit_cases[] = {
  { "batch", 1, 100000, 2, 2 },  { "batch", 1, 100000, 9, 3 },
  { "batch", 3, 100000, 20, 9 }, { "batch", 3, 5000, 20, 2 },
  { "gang", 2, 100000, 6, 6 },   { "gang", 2, 100000, 7, 0 },
  { "gang", 3, 9999, 5, 0 },     { "batch", 0, 100000, 4, 0 },
};

/* Guards against starts beyond the capacity of the workers or the balance of
 * the team, and against a gang of which only a part starts. */
static void
starts_never_exceed_capacity_or_balance (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof fit_cases / sizeof fit_cases[0]; i++)
    {
      const struct fit_case *c = &fit_cases[i];

      open_core (c->workers, c->balance);
      assert_int_equal (tst_core_add_job (&t, 1, c->queue, c->tasks),
                        CYC_CORE_OK);
      tst_core_tick (&t, 1000);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START),
                        c->expected_starts);
      tst_core_tick (&t, 200000);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 0);
      tst_core_close (&t);
    }
}

/* Guards against a job that is reported as ended before its last task has
 * ended, or twice. */
static void
job_ends_once_after_all_tasks (void **state)
{
  const struct cyc_decision *end;

  (void)state;
  open_core (1, 100000);
  tst_core_add_job (&t, 1, "batch", 2);
  tst_core_tick (&t, 1000);
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  tst_core_report (&t, 1, 0, CYC_TASK_EVENT_DONE);
  tst_core_tick (&t, 1000);
  assert_null (tst_core_first_decision (&t, CYC_DECISION_JOB_ENDED));
  tst_core_report (&t, 1, 1, CYC_TASK_EVENT_DONE);
  tst_core_tick (&t, 1000);
  end = tst_core_first_decision (&t, CYC_DECISION_JOB_ENDED);
  assert_non_null (end);
  assert_false (end->job_failed);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 0);
  assert_int_equal (tst_core_totals (&t).running_tasks, 0);
  assert_int_equal (tst_core_totals (&t).used_millicores, 0);
  tst_core_close (&t);
}

/* Guards against a failing task that is retried without limit, or again on a
 * worker where it failed. */
static void
failing_task_is_tried_on_three_workers_only (void **state)
{
  struct cyc_name seen[3];

  (void)state;
  open_core (5, 100000);
  tst_core_add_job (&t, 1, "batch", 1);
  for (int i = 0; i < 3; i++)
    {
      tst_core_tick (&t, 1000);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 1);
      seen[i] = t.decisions[0].worker_name;
      for (int k = 0; k < i; k++)
        assert_false (cyc_name_eq (&seen[i], &seen[k]));
      tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_FAILED);
    }
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 0);
  assert_true (
      tst_core_first_decision (&t, CYC_DECISION_JOB_ENDED)->job_failed);
  tst_core_close (&t);
}

/* Guards against a second run of a task whose worker is silent: the worker
 * may run it until its lease and the clock error of 250 ms have passed. */
static void
lost_task_starts_elsewhere_only_after_its_lease (void **state)
{
  uint64_t lease_us;

  (void)state;
  open_core (2, 100000);
  tst_core_add_job (&t, 1, "batch", 1);
  tst_core_tick (&t, 1000);
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  lease_us = t.decisions[0].lease_deadline_us;
  cyc_core_worker_silent (&t.core, cyc_name_str (&t.decisions[0].worker_name),
                          t.now_us);
  tst_core_tick (&t, lease_us + 249999 - t.now_us);
  assert_int_equal (t.decision_count, 0);
  assert_int_equal (tst_core_totals (&t).running_tasks, 1);
  tst_core_tick (&t, 1000000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 1);
  assert_int_equal (tst_core_totals (&t).running_tasks, 1);
  tst_core_close (&t);
}

/* Guards against a task that is started elsewhere at the end of its first
 * lease although the lease was renewed. */
static void
renewed_lease_keeps_a_silent_task (void **state)
{
  struct cyc_id128 id = tst_core_job_id (1);

  (void)state;
  open_core (2, 100000);
  tst_core_add_job (&t, 1, "batch", 1);
  tst_core_tick (&t, 1000);
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  cyc_core_task_renewed (&t.core, &id, 0, t.now_us + 50 * TST_SECOND_US);
  tst_core_tick (&t, 45 * TST_SECOND_US);
  assert_int_equal (t.decision_count, 0);
  tst_core_tick (&t, 6 * TST_SECOND_US);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 1);
  tst_core_close (&t);
}

/* Guards against a second start of a non-repeatable task whose first start
 * has failed, was stopped or has an unknown outcome, and against a job that
 * is reported as failed when its outcome is unknown. */
static void
non_repeatable_task_is_not_started_twice (void **state)
{
  struct cyc_queue_cfg cfg
      = { .kind = CYC_KIND_BATCH, .repeatable = false, .size = { 100, 100 } };
  static const enum cyc_task_event events[]
      = { CYC_TASK_EVENT_OUTCOME_UNKNOWN, CYC_TASK_EVENT_STOPPED,
          CYC_TASK_EVENT_FAILED, CYC_TASK_EVENT_STARTED };

  (void)state;
  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    {
      const struct cyc_decision *end;

      open_core (3, 100000);
      tst_core_set_queue_cfg (&t, "once", "team", cfg);
      tst_core_add_job (&t, 1, "once", 1);
      tst_core_tick (&t, 1000);
      tst_core_report_each (&t, CYC_DECISION_START, events[i]);
      tst_core_tick (&t, 40 * TST_SECOND_US);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 0);
      end = tst_core_first_decision (&t, CYC_DECISION_JOB_ENDED);
      assert_non_null (end);
      assert_int_equal (end->job_outcome_unknown,
                        events[i] != CYC_TASK_EVENT_FAILED);
      tst_core_close (&t);
    }
}

/* Guards against a second run of a task that an earlier owner started on a
 * worker which the new owner has not reached yet. Until that worker lists
 * its tasks, it may run any task of the earlier jobs. */
static void
tasks_that_an_unfenced_worker_may_run_are_not_started (void **state)
{
  struct cyc_core_found_task found
      = { .job = tst_core_job_id (1), .task_index = 1 };

  (void)state;
  open_core (2, 100000);
  cyc_core_allow_starts (&t.core, false);
  tst_core_add_job (&t, 1, "batch", 2);
  cyc_core_worker_unfenced (&t.core, CYC_STR ("w1"),
                            t.now_us + 33 * TST_SECOND_US);
  cyc_core_allow_starts (&t.core, true);
  tst_core_add_job (&t, 2, "batch", 1);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 1);
  assert_true (
      cyc_id128_eq (&t.decisions[0].job, &(struct cyc_id128){ { 2 } }));
  assert_string_equal (t.decisions[0].worker_name.data, "w0");
  cyc_core_worker_seen (&t.core, CYC_STR ("w1"), t.now_us);
  cyc_name_set (&found.worker, CYC_STR ("w1"));
  cyc_name_set (&found.queue, CYC_STR ("batch"));
  found.size = (struct cyc_resources){ 2000, 2000, 0 };
  found.lease_deadline_us = t.now_us + 20 * TST_SECOND_US;
  assert_int_equal (cyc_core_task_found (&t.core, &found, t.now_us),
                    CYC_CORE_OK);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 1);
  assert_int_equal (t.decisions[0].task_index, 0);
  tst_core_close (&t);
}

/* Guards against two running replicas with one index: the silent worker may
 * still run its replica. When it answers again, the surplus replica is
 * stopped. */
static void
replica_on_a_silent_worker_is_replaced_under_a_new_index (void **state)
{
  struct cyc_name lost;
  bool indexes[4] = { false };

  (void)state;
  open_core (3, 100000);
  cyc_core_service_scale (&t.core, CYC_STR ("svc"), 3, t.now_us);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 3);
  for (uint32_t i = 0; i < t.decision_count; i++)
    for (uint32_t k = 0; k < i; k++)
      assert_false (cyc_name_eq (&t.decisions[i].worker_name,
                                 &t.decisions[k].worker_name));
  for (uint32_t i = 0; i < 3; i++)
    indexes[t.decisions[i].task_index] = true;
  lost = t.decisions[0].worker_name;
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  cyc_core_worker_silent (&t.core, cyc_name_str (&lost), t.now_us);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 1);
  assert_false (indexes[t.decisions[0].task_index]);
  assert_int_equal (tst_core_totals (&t).used_millicores, 8000);
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  cyc_core_worker_seen (&t.core, cyc_name_str (&lost), t.now_us);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_STOP), 1);
  tst_core_close (&t);
}

/* Guards against stopping the running replica of a worker that answers a new
 * owner late, in favour of a queued replica that has not started. */
static void
found_replica_replaces_a_queued_one (void **state)
{
  struct cyc_core_found_task found = { .task_index = 40 };

  (void)state;
  open_core (2, 100000);
  cyc_core_allow_starts (&t.core, false);
  cyc_core_service_scale (&t.core, CYC_STR ("svc"), 1, t.now_us);
  tst_core_tick (&t, 1000);
  cyc_core_service_job (CYC_STR ("svc"), &found.job);
  cyc_name_set (&found.queue, CYC_STR ("svc"));
  cyc_name_set (&found.worker, CYC_STR ("w0"));
  found.size = (struct cyc_resources){ 2000, 2000, 0 };
  found.lease_deadline_us = t.now_us + 20 * TST_SECOND_US;
  assert_int_equal (cyc_core_task_found (&t.core, &found, t.now_us),
                    CYC_CORE_OK);
  cyc_core_allow_starts (&t.core, true);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 0);
  assert_int_equal (tst_core_totals (&t).running_tasks, 1);
  tst_core_close (&t);
}

/* Guards against a team that stays above its lowered balance, and against
 * stopping a task other than the newest. */
static void
lowered_balance_checkpoints_and_stops_the_newest_task (void **state)
{
  (void)state;
  open_core (3, 100000);
  tst_core_add_job (&t, 1, "batch", 2);
  tst_core_tick (&t, 1000);
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  tst_core_add_job (&t, 2, "batch", 1);
  tst_core_tick (&t, 1000);
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  tst_core_set_team (&t, "team", 500, 4000);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 1);
  assert_int_equal (t.decisions[0].kind, CYC_DECISION_CHECKPOINT);
  assert_true (
      cyc_id128_eq (&t.decisions[0].job, &(struct cyc_id128){ { 2 } }));
  tst_core_report_each (&t, CYC_DECISION_CHECKPOINT,
                        CYC_TASK_EVENT_CHECKPOINTED);
  tst_core_tick (&t, 1000);
  assert_int_equal (t.decision_count, 0);
  tst_core_close (&t);
}

/* Guards against jobs of a removed queue that continue to run or wait
 * forever. */
static void
removed_queue_refuses_queued_and_stops_running_jobs (void **state)
{
  (void)state;
  open_core (1, 100000);
  tst_core_add_job (&t, 1, "batch", 3);
  tst_core_tick (&t, 1000);
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  tst_core_add_job (&t, 2, "batch", 1);
  cyc_core_queue_remove (&t.core, CYC_STR ("batch"));
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_STOP), 3);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_REFUSE), 1);
  tst_core_report_each (&t, CYC_DECISION_STOP, CYC_TASK_EVENT_STOPPED);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_JOB_ENDED), 1);
  assert_int_equal (tst_core_add_job (&t, 3, "batch", 1), CYC_CORE_UNKNOWN);
  tst_core_close (&t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (starts_never_exceed_capacity_or_balance),
    cmocka_unit_test (job_ends_once_after_all_tasks),
    cmocka_unit_test (failing_task_is_tried_on_three_workers_only),
    cmocka_unit_test (lost_task_starts_elsewhere_only_after_its_lease),
    cmocka_unit_test (renewed_lease_keeps_a_silent_task),
    cmocka_unit_test (non_repeatable_task_is_not_started_twice),
    cmocka_unit_test (tasks_that_an_unfenced_worker_may_run_are_not_started),
    cmocka_unit_test (
        replica_on_a_silent_worker_is_replaced_under_a_new_index),
    cmocka_unit_test (found_replica_replaces_a_queued_one),
    cmocka_unit_test (lowered_balance_checkpoints_and_stops_the_newest_task),
    cmocka_unit_test (removed_queue_refuses_queued_and_stops_running_jobs),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
