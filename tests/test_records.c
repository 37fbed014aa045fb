/**
 * @file
 * Records that every process must skip in the same way: duplicate, corrupt,
 * unknown and oversized records.
 */
#include "record.pb-c.h"
#include "tst_control.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define BUFFER_BYTES ((size_t)70000)

/* Parts of a key withdrawal, which a case modifies before encoding. */
struct record_parts
{
  Cyc__Record record;
  Cyc__KeyWithdraw withdraw;
  Cyc__JobBatch jobs;
  uint8_t bytes[32];
  char writer[BUFFER_BYTES];
  size_t unknown_bytes; /**< size of the unknown member that is appended */
};

static void
unmodified (struct record_parts *parts)
{
  (void)parts;
}

static void
newer_schema (struct record_parts *parts)
{
  parts->record.schema = 2;
}

static void
no_schema (struct record_parts *parts)
{
  parts->record.schema = 0;
}

static void
no_body (struct record_parts *parts)
{
  parts->record.body_case = CYC__RECORD__BODY__NOT_SET;
}

/* A body that only a newer version of the program knows: member 99 with two
   bytes. */
static void
unknown_body (struct record_parts *parts)
{
  parts->record.body_case = CYC__RECORD__BODY__NOT_SET;
  parts->unknown_bytes = 2;
}

static void
short_id (struct record_parts *parts)
{
  parts->record.record_id.len = 15;
}

static void
long_id (struct record_parts *parts)
{
  parts->record.record_id.len = 17;
}

static void
long_writer (struct record_parts *parts)
{
  memset (parts->writer, 'w', CYC_NAME_MAX_BYTES + 1);
}

static void
longest_writer (struct record_parts *parts)
{
  memset (parts->writer, 'w', CYC_NAME_MAX_BYTES);
}

static void
other_stream (struct record_parts *parts)
{
  parts->record.body_case = CYC__RECORD__BODY_JOBS;
  parts->record.jobs = &parts->jobs;
}

static void
short_digest (struct record_parts *parts)
{
  parts->withdraw.digest.len = 31;
}

static void
largest_size (struct record_parts *parts)
{
  parts->unknown_bytes = CYC_RECORD_MAX_BYTES
                         - cyc__record__get_packed_size (&parts->record) - 5;
}

static void
one_byte_too_large (struct record_parts *parts)
{
  largest_size (parts);
  parts->unknown_bytes++;
}

struct record_case
{
  const char *name;
  void (*modify) (struct record_parts *parts);
  size_t removed_bytes; /**< bytes removed from the end */
  enum cyc_led_result result;
};

static const struct record_case record_cases[] = {
  { "whole", unmodified, 0, CYC_LED_ACCEPTED },
  { "cut by one byte", unmodified, 1, CYC_LED_CORRUPT },
  { "cut to nothing", unmodified, SIZE_MAX, CYC_LED_CORRUPT },
  { "newer schema", newer_schema, 0, CYC_LED_CORRUPT },
  { "no schema", no_schema, 0, CYC_LED_CORRUPT },
  { "no body", no_body, 0, CYC_LED_CORRUPT },
  { "unknown body", unknown_body, 0, CYC_LED_CORRUPT },
  { "record id too short", short_id, 0, CYC_LED_CORRUPT },
  { "record id too long", long_id, 0, CYC_LED_CORRUPT },
  { "writer name too long", long_writer, 0, CYC_LED_CORRUPT },
  { "longest writer name", longest_writer, 0, CYC_LED_ACCEPTED },
  { "body of another stream", other_stream, 0, CYC_LED_CORRUPT },
  { "digest too short", short_digest, 0, CYC_LED_REFUSED },
  { "64 KiB", largest_size, 0, CYC_LED_ACCEPTED },
  { "64 KiB and one byte", one_byte_too_large, 0, CYC_LED_CORRUPT },
};

/* Writes member 99 (length-delimited), which the schema does not define, to @p
   to and returns its encoded size. */
static size_t
append_unknown (uint8_t *to, size_t bytes)
{
  size_t at = 0;

  to[at++] = 0x9a;
  to[at++] = 0x06;
  if (bytes < 128)
    to[at++] = (uint8_t)bytes;
  else
    {
      to[at++] = (uint8_t)(bytes & 0x7f) | 0x80;
      to[at++] = (uint8_t)(bytes >> 7 & 0x7f) | 0x80;
      to[at++] = (uint8_t)(bytes >> 14);
    }
  memset (to + at, 'x', bytes);
  return at + bytes;
}

static struct cyc_str
build_record (const struct record_case *rc)
{
  struct record_parts *parts = calloc (1, sizeof *parts);
  uint8_t *data = malloc (2 * BUFFER_BYTES);
  size_t len;

  assert_non_null (parts);
  assert_non_null (data);
  parts->record = (Cyc__Record)CYC__RECORD__INIT;
  parts->withdraw = (Cyc__KeyWithdraw)CYC__KEY_WITHDRAW__INIT;
  parts->jobs = (Cyc__JobBatch)CYC__JOB_BATCH__INIT;
  memset (parts->bytes, 7, sizeof parts->bytes);
  parts->writer[0] = 'w';
  parts->withdraw.digest
      = (ProtobufCBinaryData){ .len = 32, .data = parts->bytes };
  parts->record.schema = 1;
  parts->record.record_id
      = (ProtobufCBinaryData){ .len = 16, .data = parts->bytes };
  parts->record.writer = parts->writer;
  parts->record.body_case = CYC__RECORD__BODY_KEY_WITHDRAW;
  parts->record.key_withdraw = &parts->withdraw;
  rc->modify (parts);
  len = cyc__record__pack (&parts->record, data);
  if (parts->unknown_bytes > 0)
    len += append_unknown (data + len, parts->unknown_bytes);
  free (parts);
  len = rc->removed_bytes > len ? 0 : len - rc->removed_bytes;
  return (struct cyc_str){ .data = (const char *)data, .len = len };
}

static struct cyc_str
state_after (struct tst_control *tc, struct cyc_str record)
{
  struct cyc_str encoded;

  tst_apply (tc, record);
  assert_true (cyc_led_encode (&tc->led, &encoded));
  return encoded;
}

/* Guards against a corrupt record that changes the state, or that one process
   skips and another applies. After any corrupt record the encoded state must
   equal the state after an empty record, which is corrupt too. */
static void
corrupt_records_change_nothing (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof record_cases / sizeof record_cases[0]; i++)
    {
      struct tst_control tc;
      struct tst_control other;
      struct cyc_str got;
      struct cyc_str skipped;

      print_message ("  %s\n", record_cases[i].name);
      tst_control_setup (&tc);
      tst_control_setup (&other);
      got = state_after (&tc, build_record (&record_cases[i]));
      skipped = state_after (&other, (struct cyc_str){ 0 });
      assert_int_equal (tc.effect.result, record_cases[i].result);
      assert_int_equal (cyc_str_eq (got, skipped),
                        record_cases[i].result == CYC_LED_CORRUPT);
      assert_int_equal (cyc_led_next_offset (&tc.led), 1);
      free ((char *)got.data);
      free ((char *)skipped.data);
      tst_control_shutdown (&tc);
      tst_control_shutdown (&other);
    }
}

/* Guards against a record that takes effect when it appears again, also if it
   was refused at first and would be valid at its second appearance. */
static void
a_record_counts_once (void **unused)
{
  struct tst_control tc;
  struct cyc_digest digest = tst_digest ("key");
  struct cyc_id128 grant_id = { { 1 } };
  struct cyc_id128 late_id = { { 2 } };
  struct cyc_str grant;
  struct cyc_str late;
  struct cyc_str withdraw;

  (void)unused;
  tst_control_setup (&tc);
  assert_true (cyc_rec_key_grant (&grant_id, CYC_STR ("vm-1"), &digest,
                                  CYC_STR ("orders"), 0, &grant));
  assert_true (cyc_rec_key_grant (&late_id, CYC_STR ("vm-1"), &digest,
                                  CYC_STR ("orders"), 3, &late));
  assert_true (cyc_rec_key_withdraw (&(struct cyc_id128){ { 3 } },
                                     CYC_STR ("vm-1"), &digest, &withdraw));
  cyc_led_apply (&tc.led, 0, grant, &tc.effect);
  assert_int_equal (tc.effect.result, CYC_LED_ACCEPTED);
  cyc_led_apply (&tc.led, 1, late, &tc.effect);
  assert_int_equal (tc.effect.result, CYC_LED_REFUSED);
  cyc_led_apply (&tc.led, 2, withdraw, &tc.effect);
  assert_int_equal (tc.effect.result, CYC_LED_ACCEPTED);
  cyc_led_apply (&tc.led, 3, late, &tc.effect);
  assert_int_equal (tc.effect.result, CYC_LED_DUPLICATE);
  cyc_led_apply (&tc.led, 4, grant, &tc.effect);
  assert_int_equal (tc.effect.result, CYC_LED_DUPLICATE);
  assert_int_equal (cyc_led_key (&tc.led, &digest, NULL), CYC_KEY_WITHDRAWN);
  cyc_led_apply (&tc.led, 7, grant, &tc.effect);
  assert_int_equal (tc.effect.result, CYC_LED_OUT_OF_ORDER);
  cyc_led_apply (&tc.led, 4, grant, &tc.effect);
  assert_int_equal (tc.effect.result, CYC_LED_OUT_OF_ORDER);
  assert_int_equal (cyc_led_next_offset (&tc.led), 5);
  free ((char *)grant.data);
  free ((char *)late.data);
  free ((char *)withdraw.data);
  tst_control_shutdown (&tc);
}

static enum cyc_led_result
withdraw_as (struct cyc_ledger *led, uint8_t id, uint64_t offset)
{
  struct cyc_led_effect effect;
  struct cyc_digest digest = tst_digest ("key");
  struct cyc_str record;

  assert_true (cyc_rec_key_withdraw (&(struct cyc_id128){ { id } },
                                     CYC_STR ("vm-1"), &digest, &record));
  cyc_led_apply (led, offset, record, &effect);
  free ((char *)record.data);
  return effect.result;
}

/* Guards against a list of record ids that grows without bound or drops the
   newest ids instead of the oldest. */
static void
the_newest_record_ids_are_remembered (void **unused)
{
  struct cyc_findings found = { 0 };
  struct cyc_ledger led;
  struct cyc_str encoded;
  uint64_t offset = 0;

  (void)unused;
  assert_true (cyc_led_setup (&led,
                              &(struct cyc_led_desc){ .max_teams = 1,
                                                      .max_queues = 1,
                                                      .max_keys = 4,
                                                      .max_record_ids = 4 },
                              &found));
  for (uint8_t id = 1; id <= 5; id++)
    assert_int_equal (withdraw_as (&led, id, offset++), CYC_LED_ACCEPTED);
  for (uint8_t id = 2; id <= 5; id++)
    assert_int_equal (withdraw_as (&led, id, offset++), CYC_LED_DUPLICATE);
  assert_int_equal (withdraw_as (&led, 1, offset++), CYC_LED_ACCEPTED);
  assert_int_equal (withdraw_as (&led, 2, offset++), CYC_LED_ACCEPTED);
  assert_int_equal (withdraw_as (&led, 5, offset++), CYC_LED_DUPLICATE);
  /* Many more ids than the list and its index hold. */
  for (uint8_t id = 10; id < 110; id++)
    assert_int_equal (withdraw_as (&led, id, offset++), CYC_LED_ACCEPTED);
  assert_true (cyc_led_encode (&led, &encoded));
  assert_true (cyc_led_load (&led, encoded, &found));
  assert_int_equal (withdraw_as (&led, 106, offset++), CYC_LED_DUPLICATE);
  assert_int_equal (withdraw_as (&led, 105, offset++), CYC_LED_ACCEPTED);
  free ((char *)encoded.data);
  cyc_led_shutdown (&led);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (corrupt_records_change_nothing),
    cmocka_unit_test (a_record_counts_once),
    cmocka_unit_test (the_newest_record_ids_are_remembered),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
