/**
 * @file
 * Tests the once-only table: a request id has one winner, only the winner
 * records its outcome, rows stay for the window, and a full table does not
 * allow a second winner.
 */
#include "tst_random.h"

#include <cyclamendrum/once.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define WINDOW_US 1000

static struct cyc_once
make_table (uint32_t max)
{
  struct cyc_findings found = { 0 };
  struct cyc_once once;

  assert_true (cyc_once_setup (
      &once,
      &(struct cyc_once_desc){ .max_requests = max, .window_us = WINDOW_US },
      &found));
  return once;
}

/* Returns a record of intents for the ids @p first to @p last, all with body
   digest @p body. */
static struct cyc_str
make_intents (const char *gateway, uint8_t incarnation, uint8_t first,
              uint8_t last, uint8_t body)
{
  struct cyc_once_intent rows[256];
  struct cyc_id128 id;
  struct cyc_str record;
  uint32_t count = 0;

  for (unsigned i = first; i <= last; i++)
    rows[count++]
        = (struct cyc_once_intent){ .request_id = { { 1, (uint8_t)i } },
                                    .body_digest = { { body } } };
  cyc_id128_random (&id);
  assert_true (cyc_rec_intents (&id, cyc_str_of (gateway),
                                &(struct cyc_id128){ { incarnation } }, rows,
                                count, &record));
  return record;
}

/* Returns a record with the outcome of one request; @p kind may be a number
   that enum cyc_outcome does not define. */
static struct cyc_str
make_outcome (const char *gateway, uint8_t incarnation, uint8_t request,
              uint32_t kind, uint32_t status)
{
  struct cyc_once_outcome row = { .request_id = { { 1, request } },
                                  .outcome = (enum cyc_outcome)kind,
                                  .http_status = status };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_outcomes (&id, cyc_str_of (gateway),
                                 &(struct cyc_id128){ { incarnation } }, &row,
                                 1, &record));
  return record;
}

static void
apply_record (struct cyc_once *once, struct cyc_str record, uint64_t now_us)
{
  assert_true (
      cyc_once_apply (once, cyc_once_next_offset (once), record, now_us));
  free ((char *)record.data);
}

/* Returns the gateway that won the request and copies its row to @p entry; an
   empty string if the table has no such row. */
static const char *
winner_of (const struct cyc_once *once, uint8_t request,
           struct cyc_once_entry *entry)
{
  if (!cyc_once_find (once, &(struct cyc_id128){ { 1, request } }, entry))
    return "";
  return entry->gateway.data;
}

/* Guards against two gateways that may both send a request because their
   tables differ. */
static void
the_first_intent_wins_on_every_gateway (void **unused)
{
  (void)unused;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      static const char *const gateways[] = { "gw-a", "gw-b", "gw-c" };
      struct tst_random rnd = { .state = seed };
      struct cyc_once tables[2] = { make_table (256), make_table (256) };
      struct cyc_once_entry entry;
      int first[256];

      for (int i = 0; i < 256; i++)
        first[i] = -1;
      for (int i = 0; i < 200; i++)
        {
          uint8_t low = (uint8_t)(tst_random (&rnd) % 200);
          uint8_t high = (uint8_t)(low + tst_random (&rnd) % 8);
          int gateway = (int)(tst_random (&rnd) % 3);
          struct cyc_str record = make_intents (gateways[gateway], 1, low,
                                                high, (uint8_t)gateway);

          for (int k = low; k <= high; k++)
            if (first[k] < 0)
              first[k] = gateway;
          /* Each record is applied twice, as when reading starts over. */
          for (int t = 0; t < 2; t++)
            for (int repeat = 0; repeat < 2; repeat++)
              assert_true (cyc_once_apply (&tables[t], (uint64_t)i, record,
                                           (uint64_t)t));
          free ((char *)record.data);
        }
      for (int i = 0; i < 256; i++)
        for (int t = 0; t < 2; t++)
          {
            const char *won = winner_of (&tables[t], (uint8_t)i, &entry);

            assert_string_equal (won, first[i] < 0 ? "" : gateways[first[i]]);
            if (first[i] >= 0)
              assert_int_equal (entry.body_digest.bytes[0], first[i]);
          }
      cyc_once_shutdown (&tables[0]);
      cyc_once_shutdown (&tables[1]);
    }
}

struct outcome_case
{
  const char *gateway;
  uint8_t incarnation;
  uint8_t request;
  uint32_t kind;
  enum cyc_outcome recorded; /**< outcome of request 1 afterwards */
};

static const struct outcome_case outcome_cases[] = {
  { "gw-b", 1, 1, CYC_OUTCOME_ANSWER, CYC_OUTCOME_NONE },
  /* A restarted winner does not know what it sent before. */
  { "gw-a", 2, 1, CYC_OUTCOME_ANSWER, CYC_OUTCOME_NONE },
  { "gw-a", 1, 1, CYC_OUTCOME_NONE, CYC_OUTCOME_NONE },
  { "gw-a", 1, 1, 4, CYC_OUTCOME_NONE },
  { "gw-a", 1, 9, CYC_OUTCOME_ANSWER, CYC_OUTCOME_NONE },
  { "gw-a", 1, 1, CYC_OUTCOME_UNKNOWN, CYC_OUTCOME_UNKNOWN },
  { "gw-a", 1, 1, CYC_OUTCOME_NOT_RUN, CYC_OUTCOME_UNKNOWN },
};

/* Guards against an outcome that is changed by another gateway, another
   process or a later record. */
static void
the_winner_records_the_outcome_once (void **unused)
{
  struct cyc_once once = make_table (16);
  struct cyc_once_entry entry;

  (void)unused;
  apply_record (&once, make_intents ("gw-a", 1, 1, 2, 7), 0);
  apply_record (&once, make_intents ("gw-b", 1, 1, 2, 7), 0);
  for (size_t i = 0; i < sizeof outcome_cases / sizeof outcome_cases[0]; i++)
    {
      const struct outcome_case *oc = &outcome_cases[i];

      apply_record (&once,
                    make_outcome (oc->gateway, oc->incarnation, oc->request,
                                  oc->kind, 500),
                    0);
      assert_string_equal (winner_of (&once, 1, &entry), "gw-a");
      assert_int_equal (entry.outcome, oc->recorded);
    }
  assert_int_equal (entry.http_status, 500);
  winner_of (&once, 2, &entry);
  assert_int_equal (entry.outcome, CYC_OUTCOME_NONE);
  cyc_once_shutdown (&once);
}

/* Guards against an id that is removed before its window ends, or never. */
static void
ids_are_kept_for_the_window (void **unused)
{
  struct cyc_once once = make_table (16);
  struct cyc_once_entry entry;

  (void)unused;
  apply_record (&once, make_intents ("gw-a", 1, 1, 3, 7), 5);
  apply_record (&once, make_intents ("gw-a", 1, 4, 4, 7), 6);
  cyc_once_expire (&once, WINDOW_US + 4);
  assert_int_equal (cyc_once_count (&once), 4);
  cyc_once_expire (&once, WINDOW_US + 5);
  assert_int_equal (cyc_once_count (&once), 1);
  assert_string_equal (winner_of (&once, 1, &entry), "");
  assert_string_equal (winner_of (&once, 4, &entry), "gw-a");
  apply_record (&once, make_intents ("gw-b", 1, 1, 1, 7), WINDOW_US + 5);
  assert_string_equal (winner_of (&once, 1, &entry), "gw-b");
  cyc_once_shutdown (&once);
}

/* Guards against a second winner of an id: a full table refuses the first
   intent, which another gateway's table may have accepted and sent, and later
   has a free row for an intent of another gateway. */
static void
a_full_table_gives_no_second_winner (void **unused)
{
  struct cyc_once once = make_table (4);
  struct cyc_once_entry entry;

  (void)unused;
  apply_record (&once, make_intents ("gw-a", 1, 1, 3, 7), 0);
  apply_record (&once, make_intents ("gw-a", 1, 4, 5, 7), 10);
  assert_int_equal (cyc_once_count (&once), 4);
  assert_string_equal (winner_of (&once, 4, &entry), "gw-a");
  assert_string_equal (winner_of (&once, 5, &entry), "");
  /* The window of the oldest rows has passed, so rows are free again. */
  apply_record (&once, make_intents ("gw-b", 1, 5, 6, 7), WINDOW_US);
  assert_string_equal (winner_of (&once, 5, &entry), "");
  assert_string_equal (winner_of (&once, 6, &entry), "gw-b");
  assert_string_equal (winner_of (&once, 4, &entry), "gw-a");
  apply_record (&once, make_intents ("gw-b", 1, 5, 5, 7), 2 * WINDOW_US + 10);
  assert_string_equal (winner_of (&once, 5, &entry), "gw-b");
  cyc_once_shutdown (&once);
}

/* Guards against damaged records, records of another stream and records below
   the next offset that stop the reader or change the table. */
static void
other_records_change_nothing (void **unused)
{
  struct cyc_once once = make_table (4);
  struct cyc_str record = make_intents ("gw-a", 1, 1, 1, 7);
  struct cyc_once_entry entry;

  (void)unused;
  assert_false (cyc_once_apply (&once, 0, CYC_STR ("garbage"), 0));
  record.len--;
  assert_false (cyc_once_apply (&once, 1, record, 0));
  record.len++;
  assert_int_equal (cyc_once_next_offset (&once), 2);
  assert_int_equal (cyc_once_count (&once), 0);
  cyc_once_seek (&once, 70);
  assert_true (cyc_once_apply (&once, 69, record, 0));
  assert_int_equal (cyc_once_count (&once), 0);
  assert_true (cyc_once_apply (&once, 70, record, 0));
  assert_string_equal (winner_of (&once, 1, &entry), "gw-a");
  free ((char *)record.data);
  cyc_once_shutdown (&once);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (the_first_intent_wins_on_every_gateway),
    cmocka_unit_test (the_winner_records_the_outcome_once),
    cmocka_unit_test (ids_are_kept_for_the_window),
    cmocka_unit_test (a_full_table_gives_no_second_winner),
    cmocka_unit_test (other_records_change_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
