/* Suspected tasks of a fleet that is always full. Guards against trials that
   do not start while the load lasts: each worker always has a run that was
   started just before, and what comes free is given to other work, so accepted
   jobs are not done (LOST). */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/** 48 workers of 3 tasks of 720 ms: 200 starts a second. */
#define WORKERS 48
#define WORKER_MILLICORES 3000
#define WORK_MS 720
#define STARTS_GAP_MS 5
/** Workers crash in this time, and the load goes on. */
#define CRASHES_MS 8000
#define LOAD_MS 24000
/** A case with fewer suspected tasks shows nothing. */
#define SUSPECTS_MIN 8
#define SUSPECTS_MAX 512
/** Trials at a time, as docs/design.md states it; of tasks that are likely to
 * crash their workers. */
#define TRIALS (WORKERS / 8)
#define LIKELY_TRIALS (WORKERS / 16)
/** A worker that is held for a trial may first become free of other runs. */
#define EMPTY_MS 1000
/** A likely one waits as long for a worker without other runs. */
#define IDLE_WAIT_MS 10000
/** A run is proven after this time, as docs/design.md states it. */
#define PROOF_MS 200
/** A start, its record, and the report that shows its run. */
#define ROUND_TRIP_MS 100
/** The runs beside a trial are proven, then the trial is. */
#define TRIAL_MS (2 * (PROOF_MS + ROUND_TRIP_MS))

struct busy_case
{
  const char *name;
  const char *queue;
  uint32_t advice_ms;
  uint32_t crash_gap_ms;
  uint32_t gang_size; /**< of each tenth job; 0: no gangs */
};

static struct busy_case cases[] = {
  { "no advice", "batch", 0, 1000, 0 },
  { "advice", "advised", 100, 1000, 0 },
  { "gangs", "batch", 0, 400, 4 },
  { "gangs with advice", "advised", 100, 400, 4 },
};

/* A task that a crash counts against. */
struct suspect
{
  char task[64];
  uint32_t run;
  bool likely;
  uint64_t since_ms;
  uint64_t started_ms; /* 0 if it was not started again */
};

struct suspects
{
  struct suspect rows[SUSPECTS_MAX];
  uint32_t count;
  uint32_t waiting_max[2]; /* at the same time, likely ones last */
};

static void
submit (struct fleet *fleet, const struct busy_case *c, uint64_t index)
{
  bool gang = c->gang_size > 0 && index % 10 == 0;

  /* The gangs take the place of as many single tasks. */
  if (c->gang_size > 0 && index % 10 > 0 && index % 10 < c->gang_size)
    return;
  fleet_submit (fleet, index + 1,
                &(struct fleet_job){ .tasks = { gang ? c->gang_size : 1 },
                                     .work_ms = WORK_MS,
                                     .gang = gang,
                                     .queue = c->queue });
}

/* Crashes a worker under a run that it has just started. */
static void
crash_one (struct fleet *fleet, uint32_t from)
{
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      uint32_t row = (from + i) % WORKERS;
      struct fleet_worker *worker = &fleet->workers[row];

      for (uint32_t r = 0; r < worker->run_count && worker->up; r++)
        if (worker->runs[r].start_ms + 50 > fleet->now_ms)
          {
            fleet_crash (fleet, row);
            worker->back_ms = fleet->now_ms + FLEET_BACK_MS;
            return;
          }
    }
}

static bool
is_started (const struct fleet *fleet, const struct suspect *suspect)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
      if (fleet->workers[w].runs[r].number > suspect->run
          && strcmp (fleet->workers[w].runs[r].task, suspect->task) == 0)
        return true;
  return false;
}

static void
note_suspects (struct fleet *fleet, struct suspects *suspects)
{
  struct cell_blame blame;
  uint32_t waiting[2] = { 0, 0 };

  while (cell_blame_next (fleet->core, &blame))
    if (blame.kind == CELL_BLAME_SUSPECTED && suspects->count < SUSPECTS_MAX)
      {
        struct suspect *suspect = &suspects->rows[suspects->count++];

        memcpy (suspect->task, blame.task, sizeof suspect->task);
        suspect->run = blame.run;
        suspect->likely = blame.sole || blame.crashes > 1;
        suspect->since_ms = fleet->now_ms;
      }
  for (uint32_t i = 0; i < suspects->count; i++)
    {
      struct suspect *suspect = &suspects->rows[i];

      if (suspect->started_ms == 0 && is_started (fleet, suspect))
        suspect->started_ms = fleet->now_ms;
      waiting[suspect->likely] += suspect->started_ms == 0;
    }
  for (uint32_t l = 0; l < 2; l++)
    suspects->waiting_max[l] = MAX (suspects->waiting_max[l], waiting[l]);
}

/* Returns the bound on the wait of a trial. */
static uint64_t
bound_ms (const struct busy_case *c, const struct suspects *suspects,
          bool likely)
{
  uint32_t at_once = likely ? LIKELY_TRIALS : TRIALS;
  uint64_t rounds = (suspects->waiting_max[likely] + at_once - 1) / at_once;
  uint64_t each_ms = TRIAL_MS + (likely ? EMPTY_MS : 0);

  return 2ULL * c->advice_ms + (likely ? IDLE_WAIT_MS : EMPTY_MS)
         + rounds * each_ms;
}

static void
check_waits (const struct fleet *fleet, const struct busy_case *c,
             const struct suspects *suspects, bool likely)
{
  uint64_t longest_ms = 0;
  uint32_t late = 0;

  for (uint32_t i = 0; i < suspects->count; i++)
    {
      const struct suspect *suspect = &suspects->rows[i];
      uint64_t until_ms
          = suspect->started_ms != 0 ? suspect->started_ms : fleet->now_ms;

      if (suspect->likely != likely)
        continue;
      longest_ms = MAX (longest_ms, until_ms - suspect->since_ms);
      late += until_ms - suspect->since_ms > bound_ms (c, suspects, likely);
    }
  print_message ("%s, likely %d: at most %u at a time, longest wait %u ms, "
                 "bound %u ms\n",
                 c->name, likely, suspects->waiting_max[likely],
                 (unsigned)longest_ms,
                 (unsigned)bound_ms (c, suspects, likely));
  if (late > 0)
    fail_msg ("%s: %u of %u trials started later than %u ms", c->name, late,
              suspects->count, (unsigned)bound_ms (c, suspects, likely));
}

static void
test_trials_wait_while_the_fleet_is_busy (void **state)
{
  const struct busy_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct suspects *suspects = calloc (1, sizeof *suspects);

  fleet_setup (fleet, WORKERS, WORKER_MILLICORES);
  fleet->now_ms = 30000;
  fleet->advice_ms = c->advice_ms;
  fleet_run (fleet, 11000);
  for (uint64_t ms = 0; ms < LOAD_MS; ms += STARTS_GAP_MS)
    {
      submit (fleet, c, ms / STARTS_GAP_MS);
      fleet_run (fleet, STARTS_GAP_MS);
      if (ms >= 1000 && ms < CRASHES_MS && ms % c->crash_gap_ms == 0)
        crash_one (fleet, (uint32_t)(ms / c->crash_gap_ms * 7));
      note_suspects (fleet, suspects);
    }
  if (fleet->violations > 0)
    fail_msg ("%s: %s", c->name, fleet->first_violation);
  if (suspects->count < SUSPECTS_MIN)
    fail_msg ("%s: only %u suspected tasks", c->name, suspects->count);
  check_waits (fleet, c, suspects, false);
  check_waits (fleet, c, suspects, true);
  fleet_teardown (fleet);
  free (suspects);
  free (fleet);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0]];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){
      .name = cases[i].name,
      .test_func = test_trials_wait_while_the_fleet_is_busy,
      .initial_state = &cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
