/* Guards against suspected tasks that occupy the advisor while they wait for a
   trial, so that innocent work waits behind their questions. */

#include "tst_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#define PATIENCE_MS 4000

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
  for (uint32_t ms = 0; ms < PATIENCE_MS; ms += 10)
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

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_waiting_trials_ask_for_advice),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
