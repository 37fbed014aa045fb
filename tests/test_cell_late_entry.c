/* An entry that the store holds later than its worker wrote it. Guards against
   taking it for a sign of life: the process that wrote it may be gone, and the
   next one under the same id may have received a start in the meantime. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/** Longest queue of the store. */
#define WRITE_MAX_MS 2000

struct late_case
{
  enum cell_start_result result; /* of the start */
  uint32_t entry_ms;             /* from it until the entry is read */
  uint32_t over;
};

/* A worker restarts, and its new incarnation receives a start of a leader that
   does not know of it. Then the last entry of the earlier incarnation is read,
   and after it the first one of the new. */
static void
test_entry_of_a_process_that_is_gone (void **state)
{
  static const struct late_case cases[] = {
    { CELL_START_OK, 100, 0 },
    { CELL_START_UNKNOWN, 100, 0 },
    { CELL_START_OK, WRITE_MAX_MS, 0 },
    /* The earlier incarnation was alive when the call had ended. */
    { CELL_START_OK, WRITE_MAX_MS + 2, 1 },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct fleet *fleet = calloc (1, sizeof *fleet);
      struct cell_conclusion conclusion;
      struct cell_worker_entry entry;
      const struct order_in_flight *start;
      uint64_t now_us;
      uint32_t over = 0;

      fleet_setup (fleet, 1, 1000);
      fleet_run (fleet, 100);
      fleet->delay_starts_ms = 600000;
      fleet_submit (fleet, 1, &(struct fleet_job){ .tasks = { 1 } });
      fleet_run (fleet, 40);
      assert_int_equal (fleet->orders_in_flight->len, 1);
      start = g_ptr_array_index (fleet->orders_in_flight, 0);
      now_us = fleet_now_us (fleet);
      cell_start_result (fleet->core, start->order.run, cases[i].result,
                         now_us);
      fleet_make_entry (&fleet->workers[start->order.worker], &entry);
      now_us += cases[i].entry_ms * 1000ULL;
      cell_worker_listed (fleet->core, &entry, now_us - 1000, now_us);
      entry.born_ms += 600;
      now_us += 1000;
      cell_worker_listed (fleet->core, &entry, now_us - 1000, now_us);
      cell_tick (fleet->core, now_us, now_us / 1000);
      while (cell_conclusion_next (fleet->core, &conclusion))
        over++;
      if (over != cases[i].over)
        fail_msg ("case %zu: %u runs are over", i, over);
      fleet_teardown (fleet);
      free (fleet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_entry_of_a_process_that_is_gone),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
