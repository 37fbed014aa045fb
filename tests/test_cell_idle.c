/* The split of free capacity by cause. A wrong cause sends whoever reads the
   log line to the wrong place. Each case brings about one cause on a worker of
   four cores. */

#include "tst_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

struct idle_case
{
  const char *name;
  uint32_t workers;
  struct fleet_job jobs[2];
  uint32_t deny_every_nth;
  void (*prepare) (struct fleet *fleet);
  enum cell_idle_cause cause;
  uint64_t millicores; /**< that are free for this cause */
};

static void
silence_worker (struct fleet *fleet)
{
  fleet->workers[0].partitioned = true;
  fleet_run (fleet, 4000);
}

static const struct idle_case cases[] = {
  { "nothing waits",
    1,
    { { .tasks = { 1 }, .work_ms = 60000 } },
    0,
    NULL,
    CELL_IDLE_NO_WORK,
    3000 },
  { "the worker is silent",
    1,
    { { .tasks = { 1 }, .work_ms = 60000 } },
    0,
    silence_worker,
    CELL_IDLE_UNUSABLE,
    3000 },
  { "what is left is too small",
    1,
    { { .tasks = { 2 }, .millicores = 3000, .work_ms = 60000 } },
    0,
    NULL,
    CELL_IDLE_FRAGMENT,
    1000 },
  { "room is kept for a gang",
    2,
    { { .tasks = { 2 }, .millicores = 2500, .work_ms = 60000 },
      { .tasks = { 4 },
        .millicores = 1500,
        .gang = true,
        .queue = "urgent" } },
    0,
    NULL,
    CELL_IDLE_KEPT,
    3000 },
  { "the advisor allows no worker",
    1,
    { { .tasks = { 1 }, .queue = "advised" } },
    1,
    NULL,
    CELL_IDLE_NO_TICKET,
    4000 },
};

static void
test_causes (void **state)
{
  int failed = 0;

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct idle_case *c = &cases[i];
      struct fleet *fleet = calloc (1, sizeof *fleet);
      struct cell_totals totals;
      struct cell_idle idle;
      uint64_t sum = 0;

      fleet_setup (fleet, c->workers, 4000);
      fleet_run (fleet, 100);
      fleet->deny_every_nth = c->deny_every_nth;
      for (uint64_t j = 0; j < 2 && c->jobs[j].tasks[0] > 0; j++)
        {
          fleet_submit (fleet, j + 1, &c->jobs[j]);
          fleet_run (fleet, 300);
        }
      if (c->prepare != NULL)
        c->prepare (fleet);
      cell_totals (fleet->core, &totals);
      cell_idle_split (fleet->core, &idle);
      for (int cause = 0; cause < CELL_IDLE_CAUSES; cause++)
        sum += idle.millicores[cause];
      if (idle.millicores[c->cause] != c->millicores
          || sum != c->workers * 4000ULL - totals.used_millicores)
        {
          print_error ("%s: %u of %u millicores\n", c->name,
                       (unsigned int)idle.millicores[c->cause],
                       (unsigned int)sum);
          failed++;
        }
      fleet_teardown (fleet);
      free (fleet);
    }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_causes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
