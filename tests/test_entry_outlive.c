/* Whole VMs against workers whose next incarnation executes the orders of the
   earlier one, of which it knows no stop, fencing token or run number. */

#include "tst_late.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

static void
add_cases (GArray *cases, size_t start_fault,
           const struct tst_late_fault *restart)
{
  for (size_t o = 0; o < TST_LATE_OFFSETS; o++)
    tst_late_add (cases, (struct tst_late_case){
                             { &tst_late_start_faults[start_fault], restart },
                             { 0, tst_late_offsets_ms[o] },
                             .orders_outlive_worker = true });
}

static void
test_orders_outlive_their_worker (void **state)
{
  GArray *cases = tst_late_cases ();

  (void)state;
  for (size_t i = 0; i < TST_LATE_START_FAULTS; i++)
    add_cases (cases, i, &tst_late_worker_faults[0]);
  tst_late_play_cases (cases);
}

/* No call reaches the next incarnation before it executes the orders, so that
   it has seen no higher fencing token either. Starts that are executed twice
   are left out: they are answered, and only a call without an answer may be
   executed later (PROTOCOL.md, "Running tasks"). */
static void
test_orders_outlive_their_worker_behind_a_cut (void **state)
{
  GArray *cases = tst_late_cases ();

  (void)state;
  for (size_t i = 0; i < TST_LATE_START_FAULTS; i++)
    if (i != TST_LATE_STARTS_TWICE)
      add_cases (cases, i, &tst_late_restart_behind_cut);
  tst_late_play_cases (cases);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_orders_outlive_their_worker),
    cmocka_unit_test (test_orders_outlive_their_worker_behind_a_cut),
  };

  tst_late_setup ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
