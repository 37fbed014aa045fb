/* The decision core of a cell under load. Each test replays a load pattern in
   which jobs could wait or be refused without cause. */

#include "tst_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

/* A draining worker leaves just before its task would end. Its entry is
   removed while its heartbeat is recent, so the worker has left by itself and
   its task can start again at once. Guards against waiting for the lease of a
   worker that has left. */
static void
test_worker_leaves (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  (void)state;
  fleet_setup (fleet, 2, 4000);
  fleet_run (fleet, 100);
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 8 }, .work_ms = 1200 });
  fleet_run (fleet, 700);
  fleet_drain (fleet, 0, 400);
  fleet_run (fleet, 400);
  fleet_leave (fleet, 0);
  fleet_run (fleet, 1900);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  assert_int_equal (fleet->violations, 0);
  fleet_teardown (fleet);
  free (fleet);
}

/* The entry of a silent worker is removed when its heartbeat is old; its tasks
   may still run. Guards against a second run of a task at the same time. */
static void
test_removed_entry_of_a_silent_worker (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  (void)state;
  fleet_setup (fleet, 2, 4000);
  fleet_run (fleet, 100);
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 8 }, .work_ms = 5500 });
  fleet_run (fleet, 300);
  fleet_drain (fleet, 0, 60000);
  fleet->workers[0].partitioned = true;
  fleet_run (fleet, 3ULL * FLEET_HEARTBEAT_MS);
  cell_worker_unlisted (fleet->core, cyc_str_of (fleet->workers[0].id),
                        fleet->now_ms * 1000);
  fleet_run (fleet, 9000);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  assert_int_equal (fleet->violations, 0);
  fleet_teardown (fleet);
  free (fleet);
}

/* A draining worker will leave long before its task can end. The task is
   stopped before that, and continues elsewhere from its checkpoint. Guards
   against progress that is lost with its worker. */
static void
test_evacuation (void **state)
{
  static const bool gangs[] = { false, true };

  (void)state;
  for (size_t i = 0; i < sizeof gangs / sizeof gangs[0]; i++)
    {
      struct fleet *fleet = calloc (1, sizeof *fleet);

      fleet_setup (fleet, 2, 4000);
      fleet_run (fleet, 100);
      fleet_submit (fleet, 1,
                    &(struct fleet_job){ .tasks = { 2 },
                                         .work_ms = 6000,
                                         .gang = gangs[i],
                                         .checkpointing = true });
      fleet_run (fleet, 1000);
      fleet_drain (fleet, 0, 2500);
      fleet_run (fleet, 1500);
      assert_int_equal (fleet->workers[0].run_count, 0);
      assert_true (fleet->stops >= 2);
      assert_int_equal (fleet->resumed, 2);
      assert_int_equal (fleet->violations, 0);
      fleet_teardown (fleet);
      free (fleet);
    }
}

/* During a stream of jobs one worker becomes ten times slower, or its tasks
   stall. Its tasks are moved, and it gets few new ones. Guards against jobs
   that wait for the slowest worker. */
static void
test_slow_worker (void **state)
{
  static const uint32_t slowdowns[] = { 10, 100000 };

  (void)state;
  for (size_t i = 0; i < sizeof slowdowns / sizeof slowdowns[0]; i++)
    {
      struct fleet *fleet = calloc (1, sizeof *fleet);
      uint64_t id = 1;
      uint32_t late = 0;

      fleet_setup (fleet, 4, 4000);
      fleet_run (fleet, 100);
      for (; id <= 110; id++)
        {
          fleet_submit (fleet, id,
                        &(struct fleet_job){ .tasks = { 1 }, .work_ms = 800 });
          fleet_run (fleet, 100);
        }
      fleet->workers[0].slowdown = slowdowns[i];
      for (; id <= 200; id++)
        {
          fleet_submit (fleet, id,
                        &(struct fleet_job){ .tasks = { 1 }, .work_ms = 800 });
          fleet_run (fleet, 100);
        }
      fleet_run (fleet, 9000);
      for (uint64_t n = 1; n < id; n++)
        late += fleet_job_state (fleet, n) != CELL_JOB_COMPLETE;
      assert_int_equal (late, 0);
      /* Repeated starts: the four tasks of the worker before it counts as
         slow, and one after each of its pauses. */
      assert_in_range (fleet->starts - 200, 1, 4 + 4);
      assert_int_equal (fleet->violations, 0);
      fleet_teardown (fleet);
      free (fleet);
    }
}

/* During a stream of small jobs one worker fails every task it starts. Guards
   against pauses that do not grow: after each one the worker would again cost
   several jobs an attempt. */
static void
test_failing_worker_is_left_alone (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint64_t id = 1;

  (void)state;
  fleet_setup (fleet, 4, 4000);
  fleet->workers[0].failing = true;
  fleet_run (fleet, 100);
  for (; id <= 1500; id++)
    {
      fleet_submit (fleet, id,
                    &(struct fleet_job){ .tasks = { 1 }, .work_ms = 100 });
      fleet_run (fleet, 10);
    }
  fleet_run (fleet, 3000);
  for (uint64_t job = 1; job < id; job++)
    assert_int_equal (fleet_job_state (fleet, job), CELL_JOB_COMPLETE);
  /* Repeated starts: four before the first pause, then one after each pause of
     3, 6 and 12 s. */
  assert_in_range (fleet->starts - 1500, 1, 4 + 3);
  assert_int_equal (fleet->violations, 0);
  fleet_teardown (fleet);
  free (fleet);
}

/* One team sends jobs at six times its rate limit, more than the capacity of
   the fleet, while another team sends few. The jobs over the limit wait; the
   other team's jobs, and as many of the heavy team as its limit allows, end as
   early as on an idle fleet. Guards against a team that makes the others wait
   behind its backlog. */
static void
test_team_over_its_rate (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint64_t sent_ms[400] = { 0 };
  uint64_t heavy = 100; /* ids above belong to the heavy team */
  uint64_t blue = 0;
  uint32_t heavy_done = 0;

  (void)state;
  fleet_setup (fleet, 4, 4000);
  fleet_run (fleet, 100);
  for (uint32_t ms = 0; ms < 5000; ms += 50)
    {
      for (uint32_t n = 0; n < 3; n++)
        fleet_submit (fleet, ++heavy,
                      &(struct fleet_job){
                          .tasks = { 1 }, .work_ms = 500, .team = "heavy" });
      if (ms % 250 == 0)
        {
          sent_ms[++blue] = fleet->now_ms;
          fleet_submit (fleet, blue,
                        &(struct fleet_job){ .tasks = { 1 }, .work_ms = 500 });
        }
      fleet_run (fleet, 50);
      for (uint64_t id = 1; id <= blue; id++)
        if (sent_ms[id] != 0
            && fleet_job_state (fleet, id) == CELL_JOB_COMPLETE)
          {
            assert_in_range (fleet->now_ms - sent_ms[id], 0, 1300);
            sent_ms[id] = 0;
          }
    }
  fleet_run (fleet, 1300);
  for (uint64_t id = 1; id <= blue; id++)
    assert_int_equal (fleet_job_state (fleet, id), CELL_JOB_COMPLETE);
  for (uint64_t id = 101; id <= heavy; id++)
    heavy_done += fleet_job_state (fleet, id) == CELL_JOB_COMPLETE;
  assert_in_range (heavy_done, FLEET_HEAVY_JOBS_PER_S * 5, heavy - 100);
  assert_int_equal (fleet->violations, 0);
  fleet_teardown (fleet);
  free (fleet);
}

/* A job over its team's rate is refused only while such jobs wait past their
   objective: not while the fleet has free capacity, and not for another team.
   Guards against accepting jobs that will not be served, and against refusals
   despite free capacity. */
static void
test_refusal_over_the_rate (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct fleet_job job = { .tasks = { 1 }, .work_ms = 3000, .team = "heavy" };
  uint64_t id = 0;

  (void)state;
  fleet_setup (fleet, 4, 4000);
  fleet_run (fleet, 100);
  for (int n = 0; n < 3 * FLEET_HEAVY_JOBS_PER_S; n++)
    fleet_submit (fleet, ++id, &job);
  fleet_submit_unstored (fleet, ++id, &job);
  assert_true (cell_job_over_rate (fleet->core, id));
  assert_false (cell_job_refusable (fleet->core, id));
  fleet_finish_submit (fleet, id, true);
  for (int n = 0; n < 5 * FLEET_HEAVY_JOBS_PER_S; n++)
    fleet_submit (fleet, ++id, &job);
  fleet_run (fleet, 8000);
  for (int n = 0; n < 3 * FLEET_HEAVY_JOBS_PER_S; n++)
    fleet_submit (fleet, ++id, &job);
  fleet_run (fleet, 20);
  fleet_submit_unstored (fleet, ++id, &job);
  assert_true (cell_job_refusable (fleet->core, id));
  fleet_finish_submit (fleet, id, false);
  job.team = "blue";
  fleet_submit_unstored (fleet, ++id, &job);
  assert_false (cell_job_refusable (fleet->core, id));
  fleet_finish_submit (fleet, id, true);
  fleet_run (fleet, 30000);
  assert_int_equal (fleet->violations, 0);
  fleet_teardown (fleet);
  free (fleet);
}

/* All workers are busy, small jobs of the same queue keep arriving, and a call
   to the advisor takes half a second. The core finds out with one question for
   the gang which workers are allowed, reserves capacity there and asks again
   only once it is free. Guards against a series of questions, each about the
   few workers that have free capacity at that time, during which the gang
   misses its objective. */
static void
test_gang_on_a_busy_fleet (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint64_t id = 1;
  uint64_t submitted_ms;

  (void)state;
  fleet_setup (fleet, 12, 4000);
  fleet_run (fleet, 100);
  for (; id <= 24; id++)
    {
      fleet_submit (fleet, id,
                    &(struct fleet_job){ .tasks = { 2 },
                                         .work_ms = 900 + 20 * (uint32_t)id });
      fleet_run (fleet, 20);
    }
  fleet->deny_every_nth = 3;
  fleet->advice_ms = 450;
  fleet_submit (fleet, 99,
                &(struct fleet_job){ .tasks = { 4 },
                                     .millicores = 3000,
                                     .work_ms = 1000,
                                     .gang = true,
                                     .queue = "advised" });
  submitted_ms = fleet->now_ms;
  while (fleet_job_state (fleet, 99) != CELL_JOB_COMPLETE
         && fleet->now_ms < submitted_ms + 8000)
    {
      if (id < 90)
        fleet_submit (fleet, id++,
                      &(struct fleet_job){ .tasks = { 2 },
                                           .work_ms = 700,
                                           .queue = "advised" });
      fleet_run (fleet, 50);
    }
  assert_int_equal (fleet_job_state (fleet, 99), CELL_JOB_COMPLETE);
  /* First advice, the longest running task, second advice, the gang's run,
     and a margin. */
  assert_in_range (fleet->now_ms - submitted_ms, 0,
                   450 + 1400 + 450 + 1000 + 300);
  assert_in_range (fleet_ask_count (fleet, "0000000000000063.0.0"), 1, 3);
  assert_int_equal (fleet->violations, 0);
  fleet_teardown (fleet);
  free (fleet);
}

/* A worker has forgotten the ends that were acknowledged: the number is not
   sent again, as a new incarnation would forget its own ends by it. */
static void
test_acknowledgement_reaches_a_new_incarnation (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct cell_worker_view view;

  (void)state;
  fleet_setup (fleet, 1, 4000);
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 4 }, .work_ms = 100 });
  fleet_run (fleet, 1000);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  assert_int_equal (fleet->workers[0].end_count, 0);
  cell_worker_view (fleet->core, 0, &view);
  assert_int_equal (view.received_end, 4);
  assert_int_equal (view.ack, 0);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_acknowledgement_reaches_a_new_incarnation),
    cmocka_unit_test (test_failing_worker_is_left_alone),
    cmocka_unit_test (test_team_over_its_rate),
    cmocka_unit_test (test_refusal_over_the_rate),
    cmocka_unit_test (test_gang_on_a_busy_fleet),
    cmocka_unit_test (test_worker_leaves),
    cmocka_unit_test (test_removed_entry_of_a_silent_worker),
    cmocka_unit_test (test_evacuation),
    cmocka_unit_test (test_slow_worker),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
