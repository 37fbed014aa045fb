/**
 * @file
 * Tests of the decoders on invalid input: tables of configuration bodies, and
 * truncated, corrupted, oversized and random input for every decoder.
 */
#include "settings.h"
#include "tst_control.h"

#include <cyclamendrum/jobs.h>
#include <cyclamendrum/once.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MAX_INPUT_BYTES 70000
#define RECORD_INPUTS 60000
#define SNAPSHOT_INPUTS 40000
#define JSON_INPUTS 35000

enum item_kind
{
  ITEM_FLEET,
  ITEM_TEAM,
  ITEM_QUEUE
};

/* A configuration body and the place of its first finding, or NULL if the body
   is valid. */
struct body_case
{
  enum item_kind kind;
  const char *body;
  const char *place;
};

#define WORKER "\"largest_worker\":{\"millicores\":1,\"memory_mib\":1}"
#define DOMAIN(name) "{\"name\":\"" name "\",\"weight\":1,\"entry_seats\":1}"
#define REGION(name, domains)                                                 \
  "{\"name\":\"" name "\",\"domains\":[" domains "]}"
#define QUEUE(rest)                                                           \
  "{\"queue\":\"q\",\"team\":\"t\",\"kind\":\"batch\",\"repeatable\":true,"   \
  "\"millicores\":1,\"memory_mib\":1,\"run_s\":1" rest "}"
#define TEAM(limit)                                                           \
  "{\"team\":\"t\",\"share_permille\":1,\"limit_millicores\":" limit "}"
#define NAME_57 "a23456789b23456789c23456789d23456789e23456789f234567890"

static const struct body_case body_cases[] = {
  { ITEM_TEAM, TEAM ("5"), NULL },
  { ITEM_TEAM, "// comment\n" TEAM ("5") " /* end */\n// end", NULL },
  { ITEM_TEAM, "", "x: $" },
  { ITEM_TEAM, "null", "x: $" },
  { ITEM_TEAM, "[]", "x: $" },
  { ITEM_TEAM, TEAM ("5") "}", "x: $" },
  { ITEM_TEAM, "{\"team\":\"t\"", "x: $" },
  { ITEM_TEAM, TEAM ("-1"), "x: $.limit_millicores" },
  { ITEM_TEAM, TEAM ("1.5"), "x: $.limit_millicores" },
  { ITEM_TEAM, TEAM ("\"5\""), "x: $.limit_millicores" },
  { ITEM_TEAM, TEAM ("null"), "x: $.limit_millicores" },
  { ITEM_TEAM, TEAM ("1000000000000"), NULL },
  { ITEM_TEAM, TEAM ("1000000000001"), "x: $.limit_millicores" },
  { ITEM_TEAM, TEAM ("99999999999999999999"), "x: $.limit_millicores" },
  { ITEM_TEAM, "{\"share_permille\":1,\"limit_millicores\":1}", "x: $.team" },
  { ITEM_TEAM, TEAM ("5,\"share\":1"), "x: $.share" },
  { ITEM_QUEUE, QUEUE (""), NULL },
  { ITEM_QUEUE, QUEUE (",\"tasks\":4096,\"spread\":\"domain\""), NULL },
  { ITEM_QUEUE, QUEUE (",\"tasks\":4097"), "x: $.tasks" },
  { ITEM_QUEUE, QUEUE (",\"tasks\":0"), "x: $.tasks" },
  { ITEM_QUEUE, QUEUE (",\"kind\":\"cron\""), "x: $.kind" },
  { ITEM_QUEUE, QUEUE (",\"spread\":1"), "x: $.spread" },
  { ITEM_QUEUE, QUEUE (",\"urgent\":1"), "x: $.urgent" },
  { ITEM_QUEUE, QUEUE (",\"run_s\":0"), "x: $.run_s" },
  { ITEM_QUEUE, QUEUE (",\"run_s\":0,\"kind\":\"service\""), NULL },
  { ITEM_QUEUE, QUEUE (",\"team\":\"T\""), "x: $.team" },
  { ITEM_QUEUE, QUEUE (",\"queue\":\"" NAME_57 "ab\""), "x: $.queue" },
  { ITEM_QUEUE, QUEUE (",\"queue\":\"" NAME_57 "a\""), NULL },
  { ITEM_QUEUE, QUEUE (",\"objective\":{\"permille\":990}"),
    "x: $.objective.answered_within_ms" },
  { ITEM_QUEUE,
    QUEUE (",\"objective\":{\"answered_within_ms\":1,\"permille\":1001}"),
    "x: $.objective.permille" },
  { ITEM_QUEUE, QUEUE (",\"objective\":7"), "x: $.objective" },
  { ITEM_QUEUE, "{\"queue\":\"q\",\"team\":\"t\",\"kind\":\"service\"}",
    "x: $.repeatable" },
  { ITEM_FLEET,
    "{\"regions\":[" REGION ("n", DOMAIN ("b") "," DOMAIN ("a")) "]," WORKER
                                                                 "}",
    NULL },
  { ITEM_FLEET, "{" WORKER "}", "x: $.regions" },
  { ITEM_FLEET, "{\"regions\":[]," WORKER "}", "x: $.regions" },
  { ITEM_FLEET, "{\"regions\":[7]," WORKER "}", "x: $.regions[0]" },
  { ITEM_FLEET, "{\"regions\":[" REGION ("n", "") "]," WORKER "}",
    "x: $.regions[0].domains" },
  { ITEM_FLEET, "{\"regions\":[" REGION ("n", "7") "]," WORKER "}",
    "x: $.regions[0].domains[0]" },
  { ITEM_FLEET,
    "{\"regions\":[" REGION ("n", DOMAIN ("a") "," DOMAIN ("a")) "]," WORKER
                                                                 "}",
    "x: $.regions[0].domains[1]" },
  { ITEM_FLEET,
    "{\"regions\":[" REGION ("n", DOMAIN ("a")) "," REGION (
        "n", DOMAIN ("b")) "]," WORKER "}",
    "x: $.regions[1]" },
  { ITEM_FLEET,
    "{\"regions\":[" REGION (
        "n", DOMAIN ("a")) "],\"shards_per_domain\":2," WORKER "}",
    "x: $.shards_per_domain" },
  { ITEM_FLEET, "{\"regions\":[" REGION ("n", DOMAIN ("a")) "]}",
    "x: $.largest_worker" },
};

static bool
parse (enum item_kind kind, struct cyc_str body, struct cyc_findings *found)
{
  static struct cyc_fleet_cfg fleet;
  struct cyc_team_cfg team;
  struct cyc_queue_cfg queue;

  if (kind == ITEM_TEAM)
    return cyc_cfg_parse_team (body, CYC_STR ("x"), &team, found);
  if (kind == ITEM_QUEUE)
    return cyc_cfg_parse_queue (body, CYC_STR ("x"), &queue, found);
  if (!cyc_cfg_parse_fleet (body, CYC_STR ("x"), &fleet, found))
    return false;
  for (uint32_t i = 1; i < fleet.domain_count; i++)
    assert_true (cyc_str_cmp (cyc_name_str (&fleet.domains[i - 1].name),
                              cyc_name_str (&fleet.domains[i].name))
                 < 0);
  return true;
}

/* Guards against accepting an invalid configuration, and against findings that
   name the wrong place. */
static void
findings_name_the_place_of_the_defect (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof body_cases / sizeof body_cases[0]; i++)
    {
      const struct body_case *bc = &body_cases[i];
      struct cyc_findings found = { 0 };

      print_message ("  %s\n", bc->body);
      assert_int_equal (parse (bc->kind, cyc_str_of (bc->body), &found),
                        bc->place == NULL);
      if (bc->place == NULL)
        assert_int_equal (found.count, 0);
      else
        assert_string_equal (found.rows[0].place, bc->place);
    }
}

/* Guards against reporting only the first defect of a body. */
static void
all_findings_are_reported_together (void **unused)
{
  struct cyc_findings found = { 0 };

  (void)unused;
  assert_false (parse (
      ITEM_QUEUE, CYC_STR ("{\"kind\":1,\"tasks\":-1,\"nope\":0}"), &found));
  /* nope, queue, team, kind, repeatable, tasks, millicores and memory_mib;
     run_s is not required for a service. */
  assert_int_equal (found.count, 8);
}

/* Writes a corrupted variant of @p seed to @p out and returns its length: cut,
   padded beyond every limit, replaced by random bytes, with a part repeated or
   removed, with single bytes overwritten at random, or unchanged. */
static size_t
corrupt (struct tst_random *rnd, struct cyc_str seed, unsigned char *out)
{
  size_t len = seed.len;
  uint64_t kind = tst_random (rnd) % 8;
  size_t at = len > 0 ? tst_random (rnd) % len : 0;
  size_t part_bytes = tst_random (rnd) % 16 + 1;

  memcpy (out, seed.data, len);
  if (kind == 0)
    return at;
  if (kind == 1 && tst_random (rnd) % 64 == 0)
    {
      memset (out + len, 'x', MAX_INPUT_BYTES - len);
      return MAX_INPUT_BYTES - tst_random (rnd) % 8192;
    }
  if (kind == 2)
    len = tst_random (rnd) % 200;
  for (size_t i = 0; kind == 2 && i < len; i++)
    out[i] = (unsigned char)tst_random (rnd);
  if (kind == 3 && at + part_bytes < len)
    {
      memmove (out + at + part_bytes, out + at, len - at);
      return len + part_bytes;
    }
  if (kind == 4 && at + part_bytes < len)
    {
      memmove (out + at, out + at + part_bytes, len - at - part_bytes);
      return len - part_bytes;
    }
  for (size_t i = 0; kind > 4 && i < part_bytes && len > 0; i++)
    out[tst_random (rnd) % len] = (unsigned char)tst_random (rnd);
  return len;
}

/* Guards against a crash, an endless loop or an inconsistent state caused by
   records of a faulty or hostile writer. */
static void
corrupted_records_are_handled (void **unused)
{
  struct tst_random rnd = { .state = 4711 };
  struct cyc_findings found = { 0 };
  unsigned char *bytes = malloc ((size_t)2 * MAX_INPUT_BYTES);
  struct tst_control tc;
  struct cyc_once once;
  struct cyc_jobs jobs;
  struct cyc_led_assembler assembler;
  struct cyc_id128 id;
  uint32_t decoded = 0;

  (void)unused;
  assert_non_null (bytes);
  tst_control_setup (&tc);
  tst_publish_example (&tc);
  assert_true (cyc_once_setup (
      &once, &(struct cyc_once_desc){ .max_requests = 64 }, &found));
  assert_true (cyc_jobs_setup (
      &jobs, &(struct cyc_jobs_desc){ .max_jobs = 64 }, &found));
  assert_true (cyc_led_assembler_setup (&assembler, 0));
  for (uint32_t i = 0; i < RECORD_INPUTS; i++)
    {
      struct cyc_str seed = tst_random_record (&tc, &rnd);
      struct cyc_str input = { .data = (const char *)bytes };
      struct cyc_str encoded = { 0 };
      struct cyc_led_effect effect;

      input.len = corrupt (&rnd, seed, bytes);
      cyc_led_apply (&tc.led, tc.next_offset++, input, &effect);
      cyc_once_apply (&once, i, input, i);
      cyc_jobs_apply (&jobs, i, input, NULL);
      if (cyc_rec_id (input, &id))
        decoded++;
      if (cyc_led_assembler_add (&assembler, i, input, &encoded))
        free ((char *)encoded.data);
      tst_check_balance_sums (&tc);
      free ((char *)seed.data);
      if (i % 1000 != 0)
        continue;
      assert_true (cyc_led_encode (&tc.led, &encoded));
      assert_true (cyc_led_load (&tc.led, encoded, &found));
      free ((char *)encoded.data);
    }
  print_message ("  %d records, %u still decoded\n", RECORD_INPUTS, decoded);
  cyc_led_assembler_shutdown (&assembler);
  cyc_jobs_shutdown (&jobs);
  cyc_once_shutdown (&once);
  tst_control_shutdown (&tc);
  free (bytes);
}

/* Guards against a crash, an endless loop or an inconsistent state caused by
   corrupted batches of intents, outcomes and jobs, or by corrupted snapshot
   chunks. */
static void
corrupted_batches_are_handled (void **unused)
{
  struct tst_random rnd = { .state = 4712 };
  struct cyc_findings found = { 0 };
  unsigned char *bytes = malloc ((size_t)2 * MAX_INPUT_BYTES);
  struct cyc_once once;
  struct cyc_jobs jobs;
  struct cyc_once_intent intent = { { { 1 } }, { { 2 } }, 3 };
  struct cyc_once_outcome outcome = { { { 1 } }, CYC_OUTCOME_ANSWER, 200 };
  struct cyc_job_event events[]
      = { { .kind = CYC_JOB_EVENT_SUBMIT,
            .queue = CYC_STR ("q"),
            .domain = CYC_STR ("d"),
            .tasks = 100 },
          { .kind = CYC_JOB_EVENT_PROGRESS, .done_bits = CYC_STR ("\xff") },
          { .kind = CYC_JOB_EVENT_DONE, .state = CYC_JOB_DONE } };
  struct cyc_id128 id = { { 9 } };
  struct cyc_digest digest = tst_digest ("abc");
  struct cyc_led_assembler assembler;
  struct cyc_str encoded;
  struct cyc_str seeds[4];

  (void)unused;
  assert_non_null (bytes);
  assert_true (cyc_once_setup (
      &once, &(struct cyc_once_desc){ .max_requests = 64 }, &found));
  assert_true (cyc_jobs_setup (
      &jobs, &(struct cyc_jobs_desc){ .max_jobs = 64 }, &found));
  assert_true (
      cyc_rec_intents (&id, CYC_STR ("gw"), &id, &intent, 1, &seeds[0]));
  assert_true (
      cyc_rec_outcomes (&id, CYC_STR ("gw"), &id, &outcome, 1, &seeds[1]));
  assert_true (cyc_rec_jobs (&id, CYC_STR ("vm"), events, 3, &seeds[2]));
  assert_true (cyc_rec_snapshot_chunk (&id, CYC_STR ("vm"), 0, 1, 2, &digest,
                                       CYC_STR ("abc"), &seeds[3]));
  assert_true (cyc_led_assembler_setup (&assembler, 0));
  for (uint32_t i = 0; i < RECORD_INPUTS; i++)
    {
      struct cyc_str input = { .data = (const char *)bytes };

      input.len = corrupt (&rnd, seeds[i % 4], bytes);
      cyc_once_apply (&once, i, input, (uint64_t)i * 10000000);
      cyc_jobs_apply (&jobs, i, input, NULL);
      if (cyc_led_assembler_add (&assembler, i, input, &encoded))
        free ((char *)encoded.data);
      assert_in_range (cyc_once_count (&once), 0, 64);
    }
  print_message ("  %d records\n", RECORD_INPUTS);
  for (int i = 0; i < 4; i++)
    free ((char *)seeds[i].data);
  cyc_led_assembler_shutdown (&assembler);
  cyc_jobs_shutdown (&jobs);
  cyc_once_shutdown (&once);
  free (bytes);
}

/* Guards against a crash on a corrupted snapshot, and against loading one into
   an inconsistent state. */
static void
corrupted_snapshots_are_handled (void **unused)
{
  struct tst_random rnd = { .state = 4713 };
  unsigned char *bytes = malloc ((size_t)2 * MAX_INPUT_BYTES);
  struct cyc_led_desc small = {
    .max_teams = 8, .max_queues = 16, .max_keys = 64, .max_record_ids = 4096
  };
  struct cyc_findings found = { 0 };
  struct tst_control tc;
  struct tst_control loaded = { 0 };
  struct cyc_str valid_snapshot;
  uint32_t loaded_count = 0;

  (void)unused;
  assert_non_null (bytes);
  tst_control_setup (&tc);
  for (int i = 0; i < 60; i++)
    tst_apply (&tc, tst_random_record (&tc, &rnd));
  assert_true (cyc_led_encode (&tc.led, &valid_snapshot));
  assert_true (cyc_led_setup (&loaded.led, &small, &found));
  for (uint32_t i = 0; i < SNAPSHOT_INPUTS; i++)
    {
      struct cyc_str input = { .data = (const char *)bytes };

      input.len = corrupt (&rnd, valid_snapshot, bytes);
      found = (struct cyc_findings){ 0 };
      if (cyc_led_load (&loaded.led, input, &found))
        loaded_count++;
      tst_check_balance_sums (&loaded);
    }
  print_message ("  %d snapshots, %u still loaded\n", SNAPSHOT_INPUTS,
                 loaded_count);
  free ((char *)valid_snapshot.data);
  cyc_led_shutdown (&loaded.led);
  tst_control_shutdown (&tc);
  free (bytes);
}

static const char settings_seed[]
    = "{\"vm\":\"vm-1\",\"domain\":\"north-a\",\"region\":\"north\","
      "\"seat\":0,\"gateway\":{\"http\":\"127.0.0.1:1\","
      "\"peer\":\"127.0.0.1:2\"},\"scheduler\":{\"http\":\"127.0.0.1:3\","
      "\"peer\":\"127.0.0.1:4\"},\"log\":{\"url\":\"http://127.0.0.1:5\"},"
      "\"vm_list\":{\"url\":\"http://127.0.0.1:6\"},\"peers\":["
      "{\"vm\":\"vm-2\",\"domain\":\"north-a\",\"region\":\"north\","
      "\"role\":\"gateway\",\"address\":\"127.0.0.1:7\"}]}";

/* Guards against a crash on invalid JSON from an operator or a faulty tool. */
static void
corrupted_json_is_handled (void **unused)
{
  static const char *const seeds[] = {
    TST_FLEET,
    TEAM ("5"),
    QUEUE (",\"objective\":{\"answered_within_ms\":1,\"permille\":990}"),
    settings_seed,
  };
  struct tst_random rnd = { .state = 4714 };
  unsigned char *bytes = malloc ((size_t)2 * MAX_INPUT_BYTES);
  struct set_settings *settings = calloc (1, sizeof *settings);
  struct cyc_findings *found = calloc (1, sizeof *found);
  uint32_t valid[4] = { 0 };

  (void)unused;
  assert_non_null (bytes);
  assert_non_null (settings);
  assert_non_null (found);
  for (uint32_t i = 0; i < 4 * JSON_INPUTS; i++)
    {
      struct cyc_str input = { .data = (const char *)bytes };

      input.len = corrupt (&rnd, cyc_str_of (seeds[i % 4]), bytes);
      memset (found, 0, sizeof *found);
      if (i % 4 == 3)
        valid[3] += set_parse (input, CYC_STR ("x"), settings, found);
      else
        valid[i % 4] += parse ((enum item_kind) (i % 4), input, found);
    }
  for (int i = 0; i < 4; i++)
    {
      print_message ("  %d inputs, %u valid\n", JSON_INPUTS, valid[i]);
      assert_in_range (valid[i], 1, JSON_INPUTS / 2);
    }
  free (found);
  free (settings);
  free (bytes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (findings_name_the_place_of_the_defect),
    cmocka_unit_test (all_findings_are_reported_together),
    cmocka_unit_test (corrupted_records_are_handled),
    cmocka_unit_test (corrupted_batches_are_handled),
    cmocka_unit_test (corrupted_snapshots_are_handled),
    cmocka_unit_test (corrupted_json_is_handled),
  };

  print_message ("inputs: %d\n",
                 2 * RECORD_INPUTS + SNAPSHOT_INPUTS + 4 * JSON_INPUTS);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
