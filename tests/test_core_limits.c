/**
 * @file
 * Fair shares, the limit on cancellations per tick, jobs that can never run,
 * and the limit on retries.
 */
#include "tst_core.h"

static struct tst_core t;

struct share_case
{
  uint32_t share_one;
  uint32_t share_two;
  uint32_t size_one;
  uint32_t size_two;
  uint32_t used_one_permille; /**< of the declared size; 0: no reports */
  uint32_t expected_permille; /**< of all declared sizes in use */
};

static void
report_usage (const struct cyc_decision *d, uint32_t permille)
{
  struct cyc_core_usage usage = { .measured_us = t.now_us };

  if (permille == 0)
    return;
  usage.used.millicores = d->size.millicores * permille / 1000;
  usage.used.memory_mib = d->size.memory_mib * permille / 1000;
  cyc_core_task_usage (&t.core, &d->job, d->task_index, &usage, t.now_us);
}

/* Runs two teams with more batch work than fits. Ticks are one second apart,
 * and each task ends after one to three ticks. The tasks of team "one" report
 * used_one_permille of their declared size, those of team "two" twice that.
 * Returns the part of team "one" in permille of all declared sizes in use. */
static uint32_t
run_two_teams (const struct share_case *c)
{
  static struct cyc_decision running[3][TST_MAX_DECISIONS];
  static uint32_t counts[3];
  uint64_t used[2] = { 0 };
  struct cyc_core_team_view view;

  memset (counts, 0, sizeof counts);
  tst_core_open (&t, (struct cyc_core_desc){ 0 });
  tst_core_add_worker (&t, "w0", "r0");
  tst_core_add_worker (&t, "w1", "r0");
  tst_core_add_worker (&t, "w2", "r0");
  tst_core_add_worker (&t, "w3", "r0");
  tst_core_set_team (&t, "one", c->share_one, 1000000);
  tst_core_set_team (&t, "two", c->share_two, 1000000);
  tst_core_set_queue (&t, "q1", "one", CYC_KIND_BATCH, c->size_one);
  tst_core_set_queue (&t, "q2", "two", CYC_KIND_BATCH, c->size_two);
  for (uint32_t i = 0; i < 300; i++)
    {
      uint32_t slot = i % 3;

      for (uint32_t k = 0; k < counts[slot]; k++)
        cyc_core_task_report (&t.core, &running[slot][k].job,
                              running[slot][k].task_index, CYC_TASK_EVENT_DONE,
                              t.now_us);
      counts[slot] = 0;
      for (uint32_t k = 0; k < 2; k++)
        if (!cyc_core_team_at (&t.core, k, &view)
            || view.wanted_millicores < 40000)
          tst_core_add_job (&t, 2 * i + k, k == 0 ? "q1" : "q2", 40);
      tst_core_tick (&t, TST_SECOND_US);
      for (uint32_t k = 0; k < t.decision_count; k++)
        if (t.decisions[k].kind == CYC_DECISION_START)
          {
            uint32_t end = (slot + 1 + k % 3) % 3;

            running[end][counts[end]++] = t.decisions[k];
            report_usage (&t.decisions[k], t.decisions[k].queue.data[1] == '1'
                                               ? c->used_one_permille
                                               : c->used_one_permille * 2);
          }
      for (uint32_t k = 0; i >= 60 && k < 2; k++)
        {
          assert_true (cyc_core_team_at (&t.core, k, &view));
          used[k] += view.used_millicores;
        }
    }
  tst_core_close (&t);
  return (uint32_t)(used[0] * 1000 / (used[0] + used[1]));
}

static const struct share_case share_cases[] = {
  { 500, 500, 500, 500, 0, 500 },
  { 200, 800, 500, 500, 0, 200 },
  { 100, 900, 500, 500, 0, 100 },
  { 250, 750, 500, 1000, 0, 250 },
  /* Tasks that use half as much at the same declared size: twice the tasks. */
  { 500, 500, 500, 500, 500, 667 },
};

/* Guards against a team that gets more or less than its share of a saturated
 * fleet. */
static void
saturated_fleet_is_divided_by_share (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof share_cases / sizeof share_cases[0]; i++)
    {
      const struct share_case *c = &share_cases[i];
      assert_in_range (run_two_teams (c), c->expected_permille - 50,
                       c->expected_permille + 50);
    }
}

/* Guards against a tick that takes long because many queued tasks are
 * cancelled at once, and against starting cancelled tasks that are still
 * queued. */
static void
cancellations_per_tick_are_limited (void **state)
{
  (void)state;
  tst_core_open (&t, (struct cyc_core_desc){ .cancel_per_tick = 100 });
  tst_core_add_worker (&t, "w0", "r0");
  tst_core_set_team (&t, "team", 500, 1000000);
  tst_core_set_queue (&t, "batch", "team", CYC_KIND_BATCH, 2000);
  tst_core_add_job (&t, 1, "batch", 3);
  tst_core_tick (&t, 1000);
  tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
  for (uint32_t i = 2; i < 12; i++)
    tst_core_add_job (&t, i, "batch", 45);
  for (uint32_t i = 1; i < 12; i++)
    {
      struct cyc_id128 id = tst_core_job_id (i);

      cyc_core_job_cancel (&t.core, &id, t.now_us);
    }
  for (uint32_t cancel_tick = 1; cancel_tick <= 5; cancel_tick++)
    {
      uint64_t expected_cancelled = cancel_tick * 100 - 3;

      tst_core_tick (&t, 1000);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 0);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_STOP),
                        cancel_tick == 1 ? 3 : 0);
      assert_int_equal (tst_core_totals (&t).cancelled,
                        expected_cancelled < 450 ? expected_cancelled : 450);
    }
  tst_core_report (&t, 1, 0, CYC_TASK_EVENT_STOPPED);
  tst_core_report (&t, 1, 1, CYC_TASK_EVENT_DONE);
  tst_core_report (&t, 1, 2, CYC_TASK_EVENT_STOPPED);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_JOB_ENDED), 1);
  assert_false (t.decisions[0].job_failed);
  assert_int_equal (tst_core_totals (&t).running_tasks, 0);
  tst_core_close (&t);
}

struct refusal_case
{
  enum cyc_queue_kind kind;
  uint32_t size;
  uint32_t tasks;
  uint64_t balance;
  const char *reason; /**< part of the reason; NULL if not refused */
};

static const struct refusal_case refusal_cases[] = {
  { CYC_KIND_BATCH, 10001, 1, 1000000, "no worker is large enough" },
  { CYC_KIND_BATCH, 10000, 1, 1000000, NULL },
  { CYC_KIND_BATCH, 5000, 1, 4000, "larger than the limit" },
  { CYC_KIND_GANG, 5000, 5, 1000000, "no worker is large enough" },
  { CYC_KIND_GANG, 5000, 4, 19999, "larger than the limit" },
  { CYC_KIND_GANG, 4500, 4, 1000000, NULL },
};

/* Guards against a job that waits forever because it is larger than every
 * worker or than its team's limit. */
static void
jobs_that_can_never_run_are_refused_with_a_reason (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof refusal_cases / sizeof refusal_cases[0]; i++)
    {
      const struct refusal_case *c = &refusal_cases[i];
      const struct cyc_decision *refusal = NULL;

      tst_core_open (&t, (struct cyc_core_desc){ 0 });
      tst_core_add_worker (&t, "w0", "r0");
      tst_core_add_worker (&t, "w1", "r1");
      tst_core_set_team (&t, "team", 500, c->balance);
      tst_core_set_queue (&t, "q", "team", c->kind, c->size);
      tst_core_add_job (&t, 1, "q", c->tasks);
      for (int s = 0; s < 12 && refusal == NULL; s++)
        {
          tst_core_tick (&t, TST_SECOND_US);
          refusal = tst_core_first_decision (&t, CYC_DECISION_REFUSE);
        }
      if (c->reason == NULL)
        assert_null (refusal);
      else
        {
          assert_non_null (refusal);
          assert_non_null (strstr (refusal->reason, c->reason));
        }
      tst_core_close (&t);
    }
}

/* Every task fails on its first worker, so that without a limit half of the
 * starts would be retries. Ejection is limited to 0.1% of the workers, so none
 * is ejected. */
static void
retries_stay_below_a_tenth_of_the_starts (void **state)
{
  uint32_t starts = 0;
  uint32_t retries = 0;

  (void)state;
  tst_core_open (&t, (struct cyc_core_desc){ .ejected_max_permille = 1 });
  tst_core_add_worker (&t, "w0", "r0");
  tst_core_add_worker (&t, "w1", "r0");
  tst_core_add_worker (&t, "w2", "r0");
  tst_core_set_team (&t, "team", 500, 1000000);
  tst_core_set_queue (&t, "batch", "team", CYC_KIND_BATCH, 2000);
  for (uint32_t i = 1; i <= 600; i++)
    {
      tst_core_add_job (&t, i, "batch", 1);
      tst_core_tick (&t, 1000);
      for (uint32_t k = 0; k < t.decision_count; k++)
        {
          bool retry = t.decisions[k].attempt > 1;

          if (t.decisions[k].kind != CYC_DECISION_START)
            continue;
          starts++;
          retries += retry;
          cyc_core_task_report (
              &t.core, &t.decisions[k].job, 0,
              retry ? CYC_TASK_EVENT_DONE : CYC_TASK_EVENT_FAILED, t.now_us);
        }
    }
  assert_true (starts > 600);
  /* Ten retries are allowed in advance, one more for every ten starts. */
  assert_true (retries <= 10 + starts / 10);
  tst_core_close (&t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (saturated_fleet_is_divided_by_share),
    cmocka_unit_test (cancellations_per_tick_are_limited),
    cmocka_unit_test (jobs_that_can_never_run_are_refused_with_a_reason),
    cmocka_unit_test (retries_stay_below_a_tenth_of_the_starts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
