/**
 * @file
 * Error budget report: windows must exclude expired minutes, a queue without
 * traffic must not look healthy, and processes without an answer must be
 * named.
 */
#include "burn_report.h"

#include <cyclamendrum/record.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MINUTE_US UINT64_C (60000000)

struct rate_case
{
  uint64_t requests;
  uint64_t in_time;
  uint32_t permille;
  uint64_t burn_permille;
  int64_t remaining_permille;
};

static const struct rate_case rate_cases[] = {
  { 0, 0, 990, 0, 1000 },        { 1000, 1000, 990, 0, 1000 },
  { 1000, 990, 990, 1000, 0 },   { 1000, 980, 990, 2000, -1000 },
  { 1000, 995, 990, 500, 500 },  { 1000, 999, 1000, 2000, -1000 },
  { 1000, 1000, 1000, 0, 1000 }, { 10, 0, 500, 2000, -1000 },
};

static void
burn_rate_is_bad_share_over_allowed_share (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof rate_cases / sizeof rate_cases[0]; i++)
    {
      const struct rate_case *item = &rate_cases[i];
      struct bw_sums sums
          = { .requests = item->requests, .in_time = item->in_time };

      assert_int_equal (br_burn_permille (&sums, BR_IN_TIME, item->permille),
                        item->burn_permille);
      assert_int_equal (
          br_remaining_permille (&sums, BR_IN_TIME, item->permille),
          item->remaining_permille);
    }
}

static void
window_excludes_expired_minutes (void **state)
{
  struct bw_set bw;
  struct cyc_findings found = { 0 };
  struct bw_sums sums;
  uint64_t start_us = 1000 * MINUTE_US;
  struct bw_event late = { .in_time = false, .definite = true };

  (void)state;
  assert_true (bw_setup (&bw, &(struct bw_desc){ .max_queues = 2 }, &found));
  bw_record (&bw, CYC_STR ("preview"), &late, start_us);
  bw_record (&bw, CYC_STR ("preview"), &late, start_us + 4 * MINUTE_US);
  bw_window (bw_find (&bw, CYC_STR ("preview")), 5, start_us + 4 * MINUTE_US,
             &sums);
  assert_int_equal (sums.requests, 2);
  bw_window (bw_find (&bw, CYC_STR ("preview")), 5, start_us + 5 * MINUTE_US,
             &sums);
  assert_int_equal (sums.requests, 1);
  bw_window (bw_find (&bw, CYC_STR ("preview")), 60, start_us + 64 * MINUTE_US,
             &sums);
  assert_int_equal (sums.requests, 0);
  assert_int_equal (bw_find (&bw, CYC_STR ("preview"))->total.requests, 2);
  /* A bucket is used again after an hour. */
  bw_record (&bw, CYC_STR ("preview"), &late, start_us + 60 * MINUTE_US);
  bw_window (bw_find (&bw, CYC_STR ("preview")), 1, start_us + 60 * MINUTE_US,
             &sums);
  assert_int_equal (sums.requests, 1);
  bw_record (&bw, CYC_STR ("rebuild"), &late, start_us);
  bw_record (&bw, CYC_STR ("archive"), &late, start_us);
  assert_int_equal (bw.dropped, 1);
  bw_shutdown (&bw);
}

/* Applies a configuration with two queues, one of which has no traffic. */
static void
configure (struct cyc_ledger *led)
{
  struct cyc_findings found = { 0 };
  struct cyc_led_effect effect;
  struct cyc_id128 id = { { 1 } };
  struct cyc_str record;
  struct cyc_config_edit edits[] = {
    { .name = CYC_STR ("fleet"),
      .body = CYC_STR ("{\"regions\":[{\"name\":\"north\",\"domains\":["
                       "{\"name\":\"north-a\",\"weight\":1,"
                       "\"entry_seats\":1}]}],\"largest_worker\":{"
                       "\"millicores\":64000,\"memory_mib\":131072,"
                       "\"accelerators\":0},\"shards_per_domain\":1}") },
    { .name = CYC_STR ("team/web"),
      .body = CYC_STR ("{\"team\":\"web\",\"share_permille\":200,"
                       "\"limit_millicores\":400000,"
                       "\"limit_accelerators\":0}") },
    { .name = CYC_STR ("queue/preview"),
      .body
      = CYC_STR ("{\"queue\":\"preview\",\"team\":\"web\","
                 "\"kind\":\"service\",\"tasks\":1,"
                 "\"millicores\":1000,\"memory_mib\":512,\"repeatable\":true,"
                 "\"objective\":{\"answered_within_ms\":300,"
                 "\"permille\":990,\"definite_permille\":999}}") },
    { .name = CYC_STR ("queue/archive"),
      .body
      = CYC_STR ("{\"queue\":\"archive\",\"team\":\"web\","
                 "\"kind\":\"batch\",\"tasks\":1,\"run_s\":60,"
                 "\"millicores\":1000,\"memory_mib\":512,\"repeatable\":true,"
                 "\"objective\":{\"answered_within_ms\":5000,"
                 "\"permille\":900}}") },
  };

  assert_true (cyc_led_setup (led, &(struct cyc_led_desc){ 0 }, &found));
  assert_true (cyc_rec_config (&id, CYC_STR ("test"), edits,
                               sizeof edits / sizeof edits[0], &record));
  cyc_led_apply (led, 0, record, &effect);
  assert_string_equal (effect.reason, "");
  free ((void *)record.data);
}

static struct cyc_str
encode (const struct cyc_ledger *led, const struct bw_set *bw,
        uint64_t start_ms, uint64_t now_us)
{
  struct cyc_id128 incarnation = { { 1 } };

  return br_encode (&(struct br_source){ .ledger = led,
                                         .windows = bw,
                                         .incarnation = &incarnation,
                                         .start_ms = start_ms,
                                         .now_us = now_us });
}

static char *
print_to_string (const struct br_report *br, enum br_format format)
{
  char *data = NULL;
  size_t len = 0;
  FILE *out = open_memstream (&data, &len);

  br_print (br, format, out);
  fclose (out);
  return data;
}

static void
report_sums_processes_and_names_unreached_ones (void **state)
{
  struct cyc_findings found = { 0 };
  struct br_report br;
  struct bw_set bw;
  uint64_t now_us = 1000 * MINUTE_US;
  struct bw_event good = { true, true };
  struct bw_event bad = { false, false };
  struct cyc_ledger led;
  struct cyc_str json;
  char *text;

  (void)state;
  assert_true (bw_setup (&bw, &(struct bw_desc){ 0 }, &found));
  for (int i = 0; i < 99; i++)
    bw_record (&bw, CYC_STR ("preview"), &good, now_us);
  bw_record (&bw, CYC_STR ("preview"), &bad, now_us);
  configure (&led);
  json = encode (&led, &bw, 1000, now_us);
  assert_true (br_setup (&br, &(struct br_desc){ 0 }, &found));
  assert_true (br_add (&br, CYC_STR ("vm-1"), json, 2000, &found));
  assert_true (br_add (&br, CYC_STR ("vm-2"), json, 4000000, &found));
  assert_false (
      br_add (&br, CYC_STR ("vm-3"), CYC_STR ("<html>"), 2000, &found));
  assert_int_equal (found.count, 1);
  br_add_unreached (&br, CYC_STR ("vm-3"), CYC_STR ("connect refused"));
  assert_int_equal (br.row_count, 2);
  assert_int_equal (br.rows[1].total.requests, 200);
  assert_int_equal (br.rows[1].window_short.definite, 198);
  text = print_to_string (&br, BR_TABLE);
  assert_non_null (strstr (text, "not reached: vm-3 (connect refused)"));
  assert_non_null (
      strstr (text, "started within the last 60 minutes: vm-1 (0 min)\n"));
  assert_non_null (strstr (text, "no traffic"));
  free (text);
  text = print_to_string (&br, BR_JSON);
  assert_non_null (strstr (text, "\"traffic\": false"));
  free (text);
  free ((void *)json.data);
  cyc_led_shutdown (&led);
  br_shutdown (&br);
  bw_shutdown (&bw);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (burn_rate_is_bad_share_over_allowed_share),
    cmocka_unit_test (window_excludes_expired_minutes),
    cmocka_unit_test (report_sums_processes_and_names_unreached_ones),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
