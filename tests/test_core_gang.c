/**
 * @file
 * Placement of gangs and large tasks: all tasks of a gang start in the same
 * tick, and a stream of small tasks starves neither gangs nor large tasks.
 */
#include "tst_core.h"

#include <stdio.h>

#define MAX_RUNNING_TASKS 64

static struct tst_core t;

struct running_task
{
  struct cyc_id128 job;
  uint32_t task;
  uint64_t end_us;
};

static struct running_task running_tasks[MAX_RUNNING_TASKS];
static uint32_t running_task_count;

static void
open_three_workers (uint32_t batch_run_s)
{
  struct cyc_queue_cfg batch = { .kind = CYC_KIND_BATCH,
                                 .repeatable = true,
                                 .size = { 2000, 2000, 0 },
                                 .run_s = batch_run_s };

  tst_core_open (&t, (struct cyc_core_desc){ 0 });
  running_task_count = 0;
  tst_core_add_worker (&t, "w0", "r0");
  tst_core_add_worker (&t, "w2", "r1");
  tst_core_add_worker (&t, "w1", "r0");
  tst_core_set_team (&t, "team", 500, 1000000);
  tst_core_set_team (&t, "other", 500, 1000000);
  tst_core_set_queue_cfg (&t, "batch", "team", batch);
  tst_core_set_queue (&t, "gang", "other", CYC_KIND_GANG, 2000);
}

static void
end_due_tasks (void)
{
  for (uint32_t i = 0; i < running_task_count;)
    {
      if (running_tasks[i].end_us > t.now_us)
        {
          i++;
          continue;
        }
      cyc_core_task_report (&t.core, &running_tasks[i].job,
                            running_tasks[i].task, CYC_TASK_EVENT_DONE,
                            t.now_us);
      running_tasks[i] = running_tasks[--running_task_count];
    }
}

/* Advances the clock by one second in which one batch task arrives and due
 * tasks end. Each task that starts runs for @p run_s. Returns the number of
 * gang tasks that started. */
static uint32_t
run_one_second (uint32_t job_number, uint32_t run_s)
{
  uint32_t gang_starts = 0;

  end_due_tasks ();
  tst_core_add_job (&t, job_number, "batch", 1);
  tst_core_tick (&t, TST_SECOND_US);
  for (uint32_t i = 0; i < t.decision_count; i++)
    {
      const struct cyc_decision *d = &t.decisions[i];

      if (d->kind != CYC_DECISION_START)
        continue;
      gang_starts += d->queue_kind == CYC_KIND_GANG;
      assert_true (running_task_count < MAX_RUNNING_TASKS);
      running_tasks[running_task_count++]
          = (struct running_task){ d->job, d->task_index,
                                   t.now_us + run_s * TST_SECOND_US };
      cyc_core_task_renewed (&t.core, &d->job, d->task_index,
                             t.now_us + 1000 * TST_SECOND_US);
    }
  return gang_starts;
}

struct gang_case
{
  uint32_t batch_run_s;
  uint32_t tasks;
  uint32_t max_wait_s; /**< 0 if the gang never starts */
};

static const struct gang_case gang_cases[] = {
  { 9, 9, 32 },    /* batch tasks may end before the deadline of 30 s */
  { 20, 9, 34 },   /* tasks that would end after the deadline wait */
  { 100, 9, 110 }, /* tasks outlast the deadline: workers drain */
  { 9, 6, 32 },    { 20, 10, 0 },
};

/* Guards against a gang that starts in part, or waits without limit behind a
 * stream of batch tasks. */
static void
gang_starts_whole_and_is_not_starved (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof gang_cases / sizeof gang_cases[0]; i++)
    {
      const struct gang_case *c = &gang_cases[i];
      uint32_t job_number = 1;
      uint32_t waited_s = 0;
      uint32_t started = 0;

      open_three_workers (c->batch_run_s);
      while (job_number < 30)
        run_one_second (job_number++, c->batch_run_s);
      tst_core_add_job (&t, 10000, "gang", c->tasks);
      for (; waited_s < 150 && started == 0; waited_s++)
        started = run_one_second (job_number++, c->batch_run_s);
      assert_int_equal (started, c->max_wait_s > 0 ? c->tasks : 0);
      if (c->max_wait_s > 0)
        assert_in_range (waited_s, 1, c->max_wait_s);
      tst_core_close (&t);
    }
}

/* Guards against urgent tasks that ignore the reservation: they would all be
 * placed on the workers that drain for the gang. */
static void
urgent_stream_does_not_use_up_a_reservation (void **state)
{
  struct cyc_queue_cfg urgent = { .kind = CYC_KIND_BATCH,
                                  .urgent = true,
                                  .repeatable = true,
                                  .size = { 2000, 2000, 0 },
                                  .run_s = 9 };
  uint32_t started = 0;
  uint32_t waited_s = 0;

  (void)state;
  open_three_workers (9);
  tst_core_set_queue_cfg (&t, "urgent", "team", urgent);
  for (uint32_t i = 1; i < 30; i++)
    run_one_second (i, 9);
  tst_core_add_job (&t, 10000, "gang", 4);
  for (; waited_s < 100 && started == 0; waited_s++)
    {
      if (waited_s % 2 == 0)
        tst_core_add_job (&t, 5000 + waited_s, "urgent", 1);
      started = run_one_second (100 + waited_s, 9);
    }
  assert_int_equal (started, 4);
  assert_in_range (waited_s, 1, 62);
  tst_core_close (&t);
}

/* Reports the checkpoint, and so the end, of every batch task that the latest
 * tick preempted. */
static void
confirm_checkpoints (void)
{
  for (uint32_t i = 0; i < t.decision_count; i++)
    for (uint32_t r = 0; r < running_task_count; r++)
      if (t.decisions[i].kind == CYC_DECISION_CHECKPOINT
          && running_tasks[r].task == t.decisions[i].task_index
          && memcmp (&running_tasks[r].job, &t.decisions[i].job,
                     sizeof running_tasks[r].job)
                 == 0)
        {
          cyc_core_task_report (&t.core, &running_tasks[r].job,
                                running_tasks[r].task,
                                CYC_TASK_EVENT_CHECKPOINTED, t.now_us);
          running_tasks[r] = running_tasks[--running_task_count];
          break;
        }
}

/* Sets the run time of the urgent tasks that just started to 4 s. Their job
 * numbers are 5000 to 9999. */
static void
shorten_urgent_tasks (void)
{
  for (uint32_t r = 0; r < running_task_count; r++)
    {
      uint32_t job_number;

      memcpy (&job_number, running_tasks[r].job.bytes, sizeof job_number);
      if (job_number >= 5000 && job_number < 10000
          && running_tasks[r].end_us == t.now_us + 9 * TST_SECOND_US)
        running_tasks[r].end_us = t.now_us + 4 * TST_SECOND_US;
    }
}

/* Guards against short urgent tasks that end before the deadline of the
 * reservation and replace each other in the reserved capacity until the
 * deadline passes. */
static void
short_urgent_tasks_do_not_fill_a_reservation (void **state)
{
  struct cyc_queue_cfg urgent = { .kind = CYC_KIND_BATCH,
                                  .urgent = true,
                                  .repeatable = true,
                                  .size = { 2000, 2000, 0 },
                                  .run_s = 4 };
  uint32_t started = 0;
  uint32_t waited_s = 0;

  (void)state;
  open_three_workers (9);
  tst_core_add_worker (&t, "w3", "r1");
  tst_core_add_worker (&t, "w4", "r2");
  tst_core_add_worker (&t, "w5", "r2");
  tst_core_set_queue_cfg (&t, "urgent", "team", urgent);
  for (uint32_t i = 1; i < 40; i++)
    {
      tst_core_add_job (&t, 3000 + i, "batch", 1);
      run_one_second (i, 9);
    }
  tst_core_add_job (&t, 10000, "gang", 8);
  for (; waited_s < 100 && started == 0; waited_s++)
    {
      tst_core_add_job (&t, 3100 + waited_s, "batch", 1);
      tst_core_add_job (&t, 5000 + 2 * waited_s, "urgent", 1);
      tst_core_add_job (&t, 5001 + 2 * waited_s, "urgent", 1);
      started = run_one_second (100 + waited_s, 9);
      shorten_urgent_tasks ();
      confirm_checkpoints ();
    }
  assert_int_equal (started, 8);
  assert_in_range (waited_s, 1, 32);
  tst_core_close (&t);
}

/* Guards against small tasks that replace each other on every worker: without
 * a claim, free capacity of 6,000 never accumulates on one of them. */
static void
large_task_of_a_team_below_its_share_is_not_starved (void **state)
{
  struct cyc_id128 id = tst_core_job_id (10000);
  struct cyc_core_job_view view = { 0 };
  uint32_t waited_s = 0;

  (void)state;
  open_three_workers (9);
  tst_core_set_queue (&t, "large", "other", CYC_KIND_BATCH, 6000);
  for (uint32_t i = 1; i < 30; i++)
    {
      run_one_second (2 * i, 9);
      tst_core_add_job (&t, 2 * i + 1, "batch", 1);
    }
  tst_core_add_job (&t, 10000, "large", 1);
  for (; waited_s < 60 && view.running == 0; waited_s++)
    {
      run_one_second (100 + waited_s, 9);
      assert_true (cyc_core_job_view (&t.core, &id, &view));
    }
  assert_in_range (waited_s, 1, 20);
  tst_core_close (&t);
}

/* Guards against small tasks of a team above its share that occupy all free
 * capacity while a large task of a team below its share waits and cannot claim
 * a worker. Tasks with an accelerator never claim one. */
static void
large_task_without_a_claim_is_not_starved (void **state)
{
  struct cyc_core_worker worker = { .capacity = { 10000, 10000, 1 } };
  struct cyc_queue_cfg large = { .kind = CYC_KIND_BATCH,
                                 .repeatable = true,
                                 .size = { 6000, 6000, 1 },
                                 .run_s = 9 };
  struct cyc_core_team team
      = { .share_permille = 500, .balance_millicores = 1000000 };
  struct cyc_id128 id = tst_core_job_id (10000);
  struct cyc_core_job_view view = { 0 };
  uint32_t waited_s = 0;

  (void)state;
  open_three_workers (9);
  cyc_name_set (&worker.name, CYC_STR ("w0"));
  cyc_name_set (&worker.rack, CYC_STR ("r0"));
  cyc_core_worker_upsert (&t.core, &worker, t.now_us);
  cyc_name_set (&team.name, CYC_STR ("other"));
  team.balance_accelerators = 1;
  cyc_core_team_upsert (&t.core, &team);
  tst_core_set_queue_cfg (&t, "large", "other", large);
  for (uint32_t i = 1; i < 30; i++)
    {
      run_one_second (2 * i, 9);
      tst_core_add_job (&t, 2 * i + 1, "batch", 1);
    }
  tst_core_add_job (&t, 10000, "large", 1);
  for (; waited_s < 60 && view.running == 0; waited_s++)
    {
      run_one_second (100 + waited_s, 9);
      assert_true (cyc_core_job_view (&t.core, &id, &view));
    }
  assert_in_range (waited_s, 1, 20);
  tst_core_close (&t);
}

/* Guards against a gang that is spread over racks although one rack has
 * capacity for all its tasks. */
static void
gang_prefers_one_rack (void **state)
{
  (void)state;
  open_three_workers (9);
  tst_core_add_job (&t, 1, "batch", 1);
  tst_core_tick (&t, 1000);
  tst_core_add_job (&t, 10000, "gang", 5);
  tst_core_tick (&t, 1000);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 5);
  for (uint32_t i = 0; i < t.decision_count; i++)
    assert_int_not_equal (t.decisions[i].worker_name.data[1], '2');
  tst_core_close (&t);
}

/* Guards against a deadlock of two gangs that each hold a part of the
 * workers. */
static void
two_gangs_that_do_not_fit_together_both_run (void **state)
{
  uint32_t started = 0;

  (void)state;
  open_three_workers (9);
  tst_core_add_job (&t, 10000, "gang", 8);
  tst_core_add_job (&t, 10001, "gang", 8);
  for (uint32_t i = 1; i < 60; i++)
    started += run_one_second (i, 9);
  assert_int_equal (started, 16);
  tst_core_close (&t);
}

/* Guards against gangs of one team that get reservations one after the other,
 * although the team is far below its share. */
static void
two_gangs_below_share_hold_reservations_at_the_same_time (void **state)
{
  uint32_t started = 0;
  uint32_t waited_s = 0;

  (void)state;
  open_three_workers (9);
  tst_core_add_worker (&t, "w3", "r1");
  tst_core_add_worker (&t, "w4", "r2");
  tst_core_add_worker (&t, "w5", "r2");
  for (uint32_t i = 1; i < 40; i++)
    {
      tst_core_add_job (&t, 3000 + i, "batch", 1);
      run_one_second (i, 60);
    }
  tst_core_add_job (&t, 10000, "gang", 5);
  tst_core_add_job (&t, 10001, "gang", 5);
  for (; waited_s < 100 && started < 10; waited_s++)
    {
      tst_core_add_job (&t, 3100 + waited_s, "batch", 1);
      started += run_one_second (100 + waited_s, 60);
    }
  assert_int_equal (started, 10);
  assert_in_range (waited_s, 1, 32);
  tst_core_close (&t);
}

/* Guards against a failed run of a gang that counts once for each of its
 * members, or twice if an end is told twice: the gang would be given up after
 * its first run. */
static void
failed_run_of_a_gang_counts_once (void **state)
{
  enum
  {
    TASKS = 3,
    RUNS = 3
  };

  (void)state;
  open_three_workers (9);
  for (uint32_t i = 0; i < 3 * TASKS; i++)
    {
      char name[8];

      snprintf (name, sizeof name, "x%u", i);
      tst_core_add_worker (&t, name, "r3");
    }
  /* Each worker takes one member, since the core counts workers. */
  tst_core_set_queue (&t, "wide", "other", CYC_KIND_GANG, 6000);
  tst_core_add_job (&t, 1, "wide", TASKS);
  for (uint32_t run = 1; run <= RUNS; run++)
    {
      tst_core_tick (&t, TST_SECOND_US);
      assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START),
                        TASKS);
      assert_null (tst_core_first_decision (&t, CYC_DECISION_JOB_ENDED));
      tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_FAILED);
      for (uint32_t i = 0; run < RUNS && i < TASKS; i++)
        assert_int_equal (cyc_core_task_report (&t.core, &t.decisions[i].job,
                                                i, CYC_TASK_EVENT_FAILED,
                                                t.now_us),
                          CYC_CORE_INVALID);
    }
  tst_core_tick (&t, TST_SECOND_US);
  assert_int_equal (tst_core_count_decisions (&t, CYC_DECISION_START), 0);
  assert_true (
      tst_core_first_decision (&t, CYC_DECISION_JOB_ENDED)->job_failed);
  tst_core_close (&t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (gang_starts_whole_and_is_not_starved),
    cmocka_unit_test (large_task_of_a_team_below_its_share_is_not_starved),
    cmocka_unit_test (urgent_stream_does_not_use_up_a_reservation),
    cmocka_unit_test (large_task_without_a_claim_is_not_starved),
    cmocka_unit_test (short_urgent_tasks_do_not_fill_a_reservation),
    cmocka_unit_test (
        two_gangs_below_share_hold_reservations_at_the_same_time),
    cmocka_unit_test (gang_prefers_one_rack),
    cmocka_unit_test (two_gangs_that_do_not_fit_together_both_run),
    cmocka_unit_test (failed_run_of_a_gang_counts_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
