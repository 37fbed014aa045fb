/* Whole VMs against workers that execute orders late or twice, restart, leave
   or are unlisted while they go on, alone and together with faults of the
   leader and the log. Guards against a leader that takes a start for over
   although the worker executes it later, and starts the task a second time
   (incident TWICE). */

#include "tst_late.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

static void
play_start_fault (uint32_t fault)
{
  GArray *cases = tst_late_cases ();
  const struct tst_late_fault *first = &tst_late_start_faults[fault];

  tst_late_add (cases, (struct tst_late_case){ { first } });
  tst_late_add_with (cases, first, 0, tst_late_leader_faults,
                     TST_LATE_LEADER_FAULTS);
  tst_late_add_with (cases, first, 0, tst_late_worker_faults,
                     TST_LATE_WORKER_FAULTS);
  tst_late_play_cases (cases);
}

static void
test_starts_executed_late (void **state)
{
  (void)state;
  play_start_fault (TST_LATE_STARTS_LATE);
}

static void
test_starts_executed_twice (void **state)
{
  (void)state;
  play_start_fault (TST_LATE_STARTS_TWICE);
}

static void
test_starts_executed_after_close (void **state)
{
  (void)state;
  play_start_fault (TST_LATE_STARTS_CLOSED);
}

static void
test_refused_copy_of_a_start (void **state)
{
  (void)state;
  play_start_fault (TST_LATE_STARTS_CLOSED_BUSY);
}

/* Before the first start and while runs are under way. */
static void
test_worker_faults (void **state)
{
  static const uint32_t firsts_ms[] = { 0, 700 };
  GArray *cases = tst_late_cases ();

  (void)state;
  for (size_t i = 0; i < TST_LATE_WORKER_FAULTS; i++)
    for (size_t f = 0; f < G_N_ELEMENTS (firsts_ms); f++)
      {
        tst_late_add (cases,
                      (struct tst_late_case){ { &tst_late_worker_faults[i] },
                                              { firsts_ms[f] } });
        tst_late_add_with (cases, &tst_late_worker_faults[i], firsts_ms[f],
                           tst_late_leader_faults, TST_LATE_LEADER_FAULTS);
      }
  tst_late_play_cases (cases);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_worker_faults),
    cmocka_unit_test (test_starts_executed_late),
    cmocka_unit_test (test_starts_executed_twice),
    cmocka_unit_test (test_starts_executed_after_close),
    cmocka_unit_test (test_refused_copy_of_a_start),
  };

  tst_late_setup ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
