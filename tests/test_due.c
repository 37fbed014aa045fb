/* The queue of deadlines against a scan over all rows, on random histories: a
   row that is taken late, twice or not at all would leave a worker unwatched.
 */

#include "cyc_due.h"
#include "tst_random.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define ROWS 64
#define STEPS 2000
#define SEEDS 200

static uint64_t
scan_next (const uint64_t at_us[ROWS])
{
  uint64_t next_us = DUE_NEVER_US;

  for (uint32_t row = 0; row < ROWS; row++)
    if (at_us[row] < next_us)
      next_us = at_us[row];
  return next_us;
}

static void
play (uint64_t seed)
{
  struct tst_random rnd = { seed };
  struct due_queue due;
  uint64_t at_us[ROWS];
  uint64_t now_us = 1;

  due_setup (&due);
  for (uint32_t row = 0; row < ROWS; row++)
    at_us[row] = DUE_NEVER_US;
  for (uint32_t step = 0; step < STEPS; step++)
    {
      uint32_t row = (uint32_t)(tst_random (&rnd) % ROWS);
      uint64_t wanted_us = now_us + tst_random (&rnd) % 100;

      switch (tst_random (&rnd) % 4)
        {
        case 0:
          due_set (&due, row, wanted_us);
          at_us[row] = wanted_us;
          break;
        case 1:
          due_lower (&due, row, wanted_us);
          at_us[row] = wanted_us < at_us[row] ? wanted_us : at_us[row];
          break;
        case 2:
          due_set (&due, row, DUE_NEVER_US);
          at_us[row] = DUE_NEVER_US;
          break;
        default:
          now_us += tst_random (&rnd) % 20;
          while (due_take (&due, now_us, &row))
            {
              assert_true (at_us[row] <= now_us);
              assert_true (at_us[row] == scan_next (at_us));
              at_us[row] = DUE_NEVER_US;
            }
          assert_true (scan_next (at_us) > now_us);
        }
      assert_true (due_next (&due) == scan_next (at_us));
      assert_true (due_at (&due, row) == at_us[row]);
    }
  due_shutdown (&due);
}

static void
test_random_histories (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    play (seed);
}

static void
test_empty_queue (void **state)
{
  struct due_queue due;
  uint32_t row;

  (void)state;
  due_setup (&due);
  assert_true (due_next (&due) == DUE_NEVER_US);
  assert_false (due_take (&due, UINT64_MAX, &row));
  due_set (&due, 3, DUE_NEVER_US);
  assert_true (due_at (&due, 3) == DUE_NEVER_US);
  assert_true (due_at (&due, 1000) == DUE_NEVER_US);
  due_shutdown (&due);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_empty_queue),
    cmocka_unit_test (test_random_histories),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
