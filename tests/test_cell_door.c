/* New jobs of a queue of which many tasks crash their workers are refused.
   Guards against jobs that are accepted although the fleet can't serve them,
   against a Retry-After that does not come true, and against the refusal of
   queues that have no deadly tasks or no longer do. */

#include "tst_callers.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define WORKERS 48
#define GAP_MS 50
/** Ids of the jobs of the queue without deadly tasks begin here. */
#define OTHERS_FIRST 10000

static struct fleet *
start_fleet (struct callers *callers)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  fleet_setup (fleet, WORKERS, 8000);
  callers_setup (callers, fleet);
  fleet->now_ms = 30000;
  fleet->replace_crashed = true;
  fleet->advice_ms = 100;
  fleet_run (fleet, 100);
  return fleet;
}

static void
end_fleet (struct callers *callers, const char *description)
{
  if (callers->fleet->violations > 0)
    fail_msg ("%s: %s", description, callers->fleet->first_violation);
  fleet_teardown (callers->fleet);
  free (callers->fleet);
  callers_teardown (callers);
}

/* Submits a job of the first queue, of which some are deadly, and one of the
   other queue. */
static void
submit (struct callers *callers, uint64_t index, bool deadly)
{
  callers_add (callers, index,
               &(struct fleet_job){ .tasks = { 2 },
                                    .work_ms = 800,
                                    .deadly = deadly,
                                    .queue = "urgent" });
  callers_add (
      callers, OTHERS_FIRST + index,
      &(struct fleet_job){ .tasks = { 2 }, .work_ms = 800, .queue = "batch" });
}

struct queue_case
{
  const char *description;
  uint32_t deadly_of_ten;
  uint32_t jobs;
  bool takeover;          /* in the middle of the traffic */
  uint32_t kept_permille; /* of the callers that came back in time, at least
                             so many are accepted then */
};

/* A successor does not know which callers were told to come back when. */
static const struct queue_case queue_cases[] = {
  { "a third is deadly", 3, 240, false, 900 },
  { "half are deadly", 5, 240, false, 900 },
  { "all are deadly", 10, 240, false, 900 },
  { "a takeover between", 5, 240, true, 0 },
};

/* All callers that are refused come back until they are accepted, and each
   accepted job ends as it should. */
static void
play_queue (const struct queue_case *c)
{
  struct callers callers;
  struct fleet *fleet = start_fleet (&callers);
  uint64_t ended = 0;

  for (uint64_t j = 0; j < c->jobs; j++)
    {
      submit (&callers, j + 1, (j * 7) % 10 < c->deadly_of_ten);
      callers_run (&callers, GAP_MS);
      if (c->takeover && j == c->jobs / 2)
        fleet_takeover (fleet);
    }
  if (callers.refused < c->jobs / 4)
    fail_msg ("%s: only %u refused", c->description, callers.refused);
  if (callers_refused_of (&callers, "batch") > 0)
    fail_msg ("%s: refused a sound queue", c->description);
  for (int s = 0; s < 600 && callers.waiting->len > 0; s++)
    callers_run (&callers, 1000);
  callers_run (&callers, 20000);
  for (uint64_t j = 0; j < c->jobs; j++)
    {
      bool deadly = (j * 7) % 10 < c->deadly_of_ten;

      ended += fleet_job_state (fleet, j + 1)
                   == (deadly ? CELL_JOB_FAILED : CELL_JOB_COMPLETE)
               && fleet_job_state (fleet, OTHERS_FIRST + j + 1)
                      == CELL_JOB_COMPLETE;
    }
  print_message ("%s: %u crashes, %u refused, %u of %u accepted when they "
                 "came back, told to wait up to %" PRIu64 " ms\n",
                 c->description, fleet->crashes, callers.refused, callers.kept,
                 callers.returned, callers.longest_wait_ms);
  if (ended != c->jobs)
    fail_msg ("%s: %" PRIu64 " of %u ended", c->description, ended, c->jobs);
  if (callers.kept * 1000 < callers.returned * c->kept_permille)
    fail_msg ("%s: %u of %u accepted when they came back", c->description,
              callers.kept, callers.returned);
  end_fleet (&callers, c->description);
}

static void
test_refused_callers_come_back (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof queue_cases / sizeof queue_cases[0]; i++)
    play_queue (&queue_cases[i]);
}

/* A queue without deadly tasks any more is accepted again soon, also by a
   successor, to which records tell of crashes without their time. */
static void
play_recovery (bool takeover)
{
  struct callers callers;
  struct fleet *fleet = start_fleet (&callers);
  uint64_t index = 0;
  uint32_t refused;

  for (; index < 6000 / GAP_MS; index++)
    {
      submit (&callers, index + 1, index % 2 == 0);
      callers_run (&callers, GAP_MS);
    }
  assert_true (callers.refused > 30);
  /* Nobody comes back: only new callers show that it has recovered. */
  for (; index < 18000 / GAP_MS; index++)
    {
      submit (&callers, index + 1, false);
      g_array_set_size (callers.waiting, 0);
      callers_run (&callers, GAP_MS);
    }
  if (takeover)
    fleet_takeover (fleet);
  refused = callers.refused;
  for (; index < 24000 / GAP_MS; index++)
    {
      submit (&callers, index + 1, false);
      callers_run (&callers, GAP_MS);
    }
  if (callers.refused != refused)
    fail_msg ("takeover %d: %u refused", takeover, callers.refused - refused);
  end_fleet (&callers, "recovered");
}

static void
test_recovered_queue_is_accepted (void **state)
{
  (void)state;
  play_recovery (false);
  play_recovery (true);
}

/* What happens to the workers each second, other than deadly tasks. */
static void
nothing (struct fleet *fleet, uint32_t second)
{
  (void)fleet;
  (void)second;
}

static void
crash_one (struct fleet *fleet, uint32_t second)
{
  if (second >= 4)
    fleet_restart (fleet, second - 4);
  fleet_crash (fleet, second);
}

static void
crash_many (struct fleet *fleet, uint32_t second)
{
  for (uint32_t i = 0; i < WORKERS / 3; i++)
    if (second == 3)
      fleet_crash (fleet, i);
    else if (second == 7)
      fleet_restart (fleet, i);
}

static void
cut_refusing (struct fleet *fleet, uint32_t second)
{
  for (uint32_t i = 0; i < WORKERS / 3; i++)
    {
      fleet->workers[i].partitioned = second >= 3 && second < 6;
      fleet->workers[i].refusing = second >= 3 && second < 6;
    }
}

struct sound_case
{
  const char *description;
  void (*second) (struct fleet *fleet, uint32_t second);
  uint32_t deadly_jobs; /* of the first queue, at an interval of one second */
};

static const struct sound_case sound_cases[] = {
  { "no crashes", nothing, 0 },
  { "one deadly job", nothing, 1 },
  { "three deadly jobs", nothing, 3 },
  { "a worker a second crashes by itself", crash_one, 0 },
  { "a third of the workers crashes at once", crash_many, 0 },
  { "a third of the workers is cut off with refusals", cut_refusing, 0 },
};

static void
test_sound_queue_is_not_refused (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof sound_cases / sizeof sound_cases[0]; i++)
    {
      const struct sound_case *c = &sound_cases[i];
      struct callers callers;
      struct fleet *fleet = start_fleet (&callers);
      uint64_t index = 0;

      for (uint32_t second = 0; second < 12; second++)
        {
          c->second (fleet, second);
          for (uint32_t n = 0; n < 1000 / GAP_MS; n++)
            {
              submit (&callers, ++index, n == 0 && second < c->deadly_jobs);
              callers_run (&callers, GAP_MS);
            }
        }
      if (callers.refused > 0)
        fail_msg ("%s: %u refused", c->description, callers.refused);
      end_fleet (&callers, c->description);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refused_callers_come_back),
    cmocka_unit_test (test_recovered_queue_is_accepted),
    cmocka_unit_test (test_sound_queue_is_not_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
