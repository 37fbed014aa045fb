/**
 * @file
 * Ledger: what each record changes, races of two writers, and records that
 * must change nothing.
 */
#include "tst_control.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Guards against a published configuration that is not found again, by name or
   in iteration. */
static void
published_items_are_found (void **unused)
{
  struct tst_control tc;
  const struct cyc_queue_cfg *queue;

  (void)unused;
  tst_control_setup (&tc);
  assert_false (cyc_led_complete (&tc.led));
  tst_publish_all (&tc);
  assert_true (cyc_led_complete (&tc.led));
  assert_int_equal (cyc_led_next (&tc.led), 3);
  assert_int_equal (cyc_led_config_version (&tc.led), 3);
  assert_int_equal (cyc_led_item_version (&tc.led, CYC_STR ("queue/tally")),
                    3);
  queue = cyc_led_queue (&tc.led, CYC_STR ("tally"));
  assert_non_null (queue);
  assert_int_equal (queue->kind, CYC_KIND_BATCH);
  assert_int_equal (queue->spread, CYC_SPREAD_RACK);
  assert_true (queue->repeatable);
  assert_ptr_equal (queue, cyc_led_queue_at (&tc.led, 0));
  assert_null (cyc_led_queue_at (&tc.led, 1));
  assert_string_equal (cyc_led_team_at (&tc.led, 0)->name.data, "orders");
  assert_null (cyc_led_team (&tc.led, CYC_STR ("tally")));
  assert_int_equal (cyc_led_fleet (&tc.led)->domain_count, 3);
  assert_int_equal (tst_balance (&tc, "north-a"), 133334);
  assert_int_equal (tst_balance (&tc, "north-b"), 133333);
  assert_int_equal (tst_balance (&tc, "south-a"), 133333);
  tst_control_shutdown (&tc);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (published_items_are_found),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
