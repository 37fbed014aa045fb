/* Suspected tasks wait for a trial. Guards against innocent work that waits
   behind trials whose workers have crashed already (LOST), and against a gang
   that is given up because two of its workers failed at the same time. */

#include "tst_fleet.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

/** With fewer, a case shows nothing. */
#define MIN_CRASHES 3
/** As on the platform's pages: jobs are asked for this long after the end of
 * the traffic. */
#define FINISH_MS 14000

struct trials_case
{
  const char *name;
  uint32_t workers;
  uint32_t jobs; /**< every third one is a deadly task, the others have two
                    tasks */
  const char *queue;
};

static struct trials_case cases[] = {
  { "few deadly", 16, 9, "batch" },
  { "many deadly", 48, 30, "batch" },
  { "many deadly with advice", 48, 30, "advised" },
};

static bool
is_deadly (uint64_t index)
{
  return index % 3 == 0;
}

static void
test_innocent_jobs_wait_behind_crashed_trials (void **state)
{
  const struct trials_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint32_t left = 0;

  fleet_setup (fleet, c->workers, 8000);
  fleet->now_ms = 30000;
  fleet->replace_crashed = true;
  fleet_run (fleet, 100);
  for (uint64_t j = 0; j < c->jobs; j++)
    fleet_submit (fleet, j + 1,
                  &(struct fleet_job){ .tasks = { is_deadly (j) ? 1 : 2 },
                                       .work_ms = 800,
                                       .deadly = is_deadly (j),
                                       .queue = c->queue });
  fleet_run (fleet, FINISH_MS);
  for (uint64_t j = 0; j < c->jobs; j++)
    left += !is_deadly (j)
            && fleet_job_state (fleet, j + 1) != CELL_JOB_COMPLETE;
  if (left > 0)
    fail_msg ("%s: %u jobs are not done after %d ms", c->name, left,
              FINISH_MS);
  if (fleet->crashes < MIN_CRASHES)
    fail_msg ("%s: only %u crashes", c->name, fleet->crashes);
  if (fleet->violations > 0)
    fail_msg ("%s: %s", c->name, fleet->first_violation);
  fleet_teardown (fleet);
  free (fleet);
}

/* Tasks that wait for a trial ask the advisor, which answers one question at a
   time, again and again; innocent work of other queues waits behind them. */
static void
test_waiting_trials_ask_for_advice (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct cell_totals totals;
  uint32_t questions = 0;

  (void)state;
  fleet_setup (fleet, 48, 8000);
  fleet->now_ms = 30000;
  fleet->replace_crashed = true;
  fleet->advice_ms = 100;
  fleet_run (fleet, 100);
  for (uint64_t j = 0; j < 240; j++)
    {
      fleet_submit (fleet, j + 1,
                    &(struct fleet_job){ .tasks = { 2 },
                                         .work_ms = 800,
                                         .deadly = j % 2 == 0,
                                         .queue = "advised" });
      fleet_run (fleet, 50);
    }
  for (uint32_t ms = 0; ms < FINISH_MS; ms += 10)
    {
      fleet_run (fleet, 10);
      cell_totals (fleet->core, &totals);
      questions = MAX (questions, totals.asks_waiting);
    }
  if (questions > fleet->worker_count)
    fail_msg ("%u open questions", questions);
  fleet_teardown (fleet);
  free (fleet);
}

/* A rack fails just after a gang has started on two of its workers. */
static void
test_gang_on_a_rack_that_fails (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint32_t started = 0;

  (void)state;
  fleet_setup (fleet, 8, 2000);
  fleet->now_ms = 30000;
  fleet_run (fleet, 11000);
  fleet_submit (
      fleet, 1,
      &(struct fleet_job){ .tasks = { 4 }, .gang = true, .work_ms = 2000 });
  while (fleet->starts == 0 && fleet->now_ms < 60000)
    fleet_run (fleet, 1);
  fleet_run (fleet, 20);
  for (uint32_t w = 0; w < fleet->worker_count && started < 2; w++)
    if (fleet->workers[w].run_count > 0)
      {
        fleet_crash (fleet, w);
        fleet->workers[w].back_ms = fleet->now_ms + FLEET_BACK_MS;
        started++;
      }
  assert_int_equal (started, 2);
  fleet_run (fleet, 30000);
  if (fleet_job_state (fleet, 1) != CELL_JOB_COMPLETE)
    fail_msg ("the job is in state %d", (int)fleet_job_state (fleet, 1));
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0] + 2];
  size_t count = sizeof cases / sizeof cases[0];

  for (size_t i = 0; i < count; i++)
    tests[i] = (struct CMUnitTest){
      .name = cases[i].name,
      .test_func = test_innocent_jobs_wait_behind_crashed_trials,
      .initial_state = &cases[i],
    };
  tests[count]
      = (struct CMUnitTest)cmocka_unit_test (test_gang_on_a_rack_that_fails);
  tests[count + 1] = (struct CMUnitTest)cmocka_unit_test (
      test_waiting_trials_ask_for_advice);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
