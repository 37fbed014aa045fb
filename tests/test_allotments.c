/**
 * @file
 * Allotments: after every record, the balances of a team add up to its limit,
 * and limits are divided over the domains by the largest remainder method.
 */
#include "tst_control.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define SEED_COUNT 40
#define RECORDS_PER_SEED 1000

/* A change of the fleet of domains a, b, c and d, of the limit, or a transfer.
 */
struct allot_step
{
  const char *name;
  uint32_t weights[4]; /**< 0 if the domain is not in the fleet; all 0 if
                            the fleet does not change */
  uint64_t limit;      /**< 0 if the limit does not change */
  struct
  {
    const char *from;
    const char *to;
    uint64_t millicores;
  } transfer;
  uint64_t expected[4];
};

static const struct allot_step allot_steps[] = {
  { "100 divided by weights 1:1:1: the remainder goes to the first domain",
    { 1, 1, 1, 0 },
    100,
    { 0 },
    { 34, 33, 33, 0 } },
  { "raised by 100: the increase is divided by weight",
    { 0 },
    200,
    { 0 },
    { 68, 66, 66, 0 } },
  { "transfer", { 0 }, 0, { "a", "b", 60 }, { 8, 126, 66, 0 } },
  { "lowered to one half: in proportion to the balances",
    { 0 },
    100,
    { 0 },
    { 4, 63, 33, 0 } },
  { "lowered to 99: exact parts are 3.96, 62.37 and 32.67",
    { 0 },
    99,
    { 0 },
    { 4, 62, 33, 0 } },
  { "a changed weight does not change balances",
    { 5, 1, 1, 0 },
    0,
    { 0 },
    { 4, 62, 33, 0 } },
  { "raised by 70 at weights 5:1:1", { 0 }, 169, { 0 }, { 54, 72, 43, 0 } },
  { "an added domain starts with a balance of 0",
    { 5, 1, 1, 9 },
    0,
    { 0 },
    { 54, 72, 43, 0 } },
  { "the balance of a removed domain is divided by weights 5:1:9",
    { 5, 0, 1, 9 },
    0,
    { 0 },
    { 78, 0, 48, 43 } },
  { "fleet and limit change in one record: the fleet is applied first",
    { 5, 0, 1, 0 },
    100,
    { 0 },
    { 67, 0, 33, 0 } },
  { "lowered to one unit", { 0 }, 1, { 0 }, { 1, 0, 0, 0 } },
};

static const char *const domain_names[] = { "a", "b", "c", "d" };

static void
fleet_body (char out[1024], const uint32_t *weights)
{
  size_t at = (size_t)snprintf (out, 1024,
                                "{\"regions\":[{\"name\":\"r\",\"domains\":[");
  const char *comma = "";

  for (int i = 0; i < 4; i++)
    if (weights[i] > 0)
      {
        at += (size_t)snprintf (
            out + at, 1024 - at,
            "%s{\"name\":\"%s\",\"weight\":%u,\"entry_seats\":1}", comma,
            domain_names[i], weights[i]);
        comma = ",";
      }
  snprintf (out + at, 1024 - at,
            "]}],\"largest_worker\":{\"millicores\":1,\"memory_mib\":1}}");
}

static void
apply_step (struct tst_control *tc, const struct allot_step *step)
{
  struct cyc_config_edit edits[2]
      = { { .name = CYC_STR ("fleet") }, { .name = CYC_STR ("team/orders") } };
  struct cyc_config_edit *first = edits;
  struct cyc_id128 id;
  struct cyc_str record;
  uint32_t count = 0;
  char fleet[1024];
  char team[256];

  if (step->transfer.from != NULL)
    {
      assert_int_equal (tst_transfer (tc, step->transfer.from,
                                      step->transfer.to,
                                      step->transfer.millicores),
                        CYC_LED_ACCEPTED);
      return;
    }
  fleet_body (fleet, step->weights);
  edits[0].body = cyc_str_of (fleet);
  edits[1].body = cyc_str_of (tst_team_body (team, "orders", 1, step->limit));
  for (int i = 0; i < 2; i++)
    edits[i].base_version = cyc_led_item_version (&tc->led, edits[i].name);
  if (step->weights[0] > 0)
    count++;
  else
    first++;
  if (step->limit > 0)
    count++;
  cyc_id128_random (&id);
  assert_true (cyc_rec_config (&id, CYC_STR ("vm-1"), first, count, &record));
  assert_int_equal (tst_apply (tc, record), CYC_LED_ACCEPTED);
}

/* Guards against a change of the division rules: processes of different
   versions would derive different balances from the same records. */
static void
limits_are_divided_as_specified (void **unused)
{
  struct tst_control tc;

  (void)unused;
  tst_control_setup (&tc);
  for (size_t i = 0; i < sizeof allot_steps / sizeof allot_steps[0]; i++)
    {
      print_message ("  %s\n", allot_steps[i].name);
      apply_step (&tc, &allot_steps[i]);
      for (int d = 0; d < 4; d++)
        assert_int_equal (tst_balance (&tc, domain_names[d]),
                          allot_steps[i].expected[d]);
      tst_check_balance_sums (&tc);
    }
  tst_control_shutdown (&tc);
}

struct transfer_case
{
  const char *name;
  const char *from;
  const char *to;
  uint64_t millicores;
  uint64_t wrong_version; /**< added to the current version of the team */
  uint64_t wrong_balance; /**< added to the current balance */
  enum cyc_led_result result;
  uint64_t epoch; /**< 0 if the record names none; 2 is current */
};

/* Each case starts with a balance of 133,334 in north-a and 133,333 in the
   other domains. */
static const struct transfer_case transfer_cases[] = {
  { "whole balance", "north-a", "north-b", 133334, 0, 0, CYC_LED_ACCEPTED },
  { "more than the balance", "north-a", "north-b", 133335, 0, 0,
    CYC_LED_REFUSED },
  { "overflowing amount", "north-a", "north-b", UINT64_MAX, 0, 0,
    CYC_LED_REFUSED },
  { "amount 0", "north-a", "north-b", 0, 0, 0, CYC_LED_REFUSED },
  { "to the same domain", "north-a", "north-a", 1, 0, 0, CYC_LED_REFUSED },
  { "to an unknown domain", "north-a", "east-a", 1, 0, 0, CYC_LED_REFUSED },
  { "from an unknown domain", "east-a", "north-a", 1, 0, 0, CYC_LED_REFUSED },
  { "stale version of the limit", "north-a", "north-b", 1, 1, 0,
    CYC_LED_REFUSED },
  { "stale balance", "north-a", "north-b", 1, 0, 1, CYC_LED_REFUSED },
  { "current epoch", "north-a", "north-b", 1, 0, 0, CYC_LED_ACCEPTED, 2 },
  { "epoch of the previous owner", "north-a", "north-b", 1, 0, 0,
    CYC_LED_REFUSED, 1 },
};

/* Guards against a transfer that changes the sum of the balances, and against
   two transfers that were both computed from the same balance. */
static void
transfers_need_the_current_balance_and_limit (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof transfer_cases / sizeof transfer_cases[0]; i++)
    {
      const struct transfer_case *c = &transfer_cases[i];
      struct cyc_transfer_edit edit = { .team = CYC_STR ("orders"),
                                        .from = cyc_str_of (c->from),
                                        .to = cyc_str_of (c->to),
                                        .millicores = c->millicores,
                                        .limit_version = 2 + c->wrong_version,
                                        .from_accelerators = 14,
                                        .epoch = c->epoch };
      struct cyc_id128 id;
      struct cyc_str record;
      struct tst_control tc;

      print_message ("  %s\n", c->name);
      tst_control_setup (&tc);
      tst_publish_example (&tc);
      assert_int_equal (tst_claim (&tc, CYC_CLAIM_TAKE, "vm-1", 1, 1), 0);
      assert_int_equal (tst_claim (&tc, CYC_CLAIM_TAKE, "vm-2", 2, 2), 0);
      edit.from_millicores = tst_balance (&tc, c->from) + c->wrong_balance;
      cyc_id128_random (&id);
      assert_true (cyc_rec_transfer (&id, CYC_STR ("vm-1"), &edit, &record));
      assert_int_equal (tst_apply (&tc, record), c->result);
      assert_int_equal (tst_balance (&tc, "north-a") == 133334,
                        c->result == CYC_LED_REFUSED);
      tst_check_balance_sums (&tc);
      tst_control_shutdown (&tc);
    }
}

/* Guards against sequences of changes after which the balances do not add up
   to the limit, so that a team could run more than its limit or less. */
static void
sums_hold_after_random_changes (void **unused)
{
  uint32_t accepted = 0;

  (void)unused;
  for (uint64_t seed = 1; seed <= SEED_COUNT; seed++)
    {
      struct tst_random rnd = { .state = seed };
      struct tst_control tc;

      tst_control_setup (&tc);
      for (int i = 0; i < RECORDS_PER_SEED; i++)
        {
          if (tst_apply (&tc, tst_random_record (&tc, &rnd))
              == CYC_LED_ACCEPTED)
            accepted++;
          tst_check_balance_sums (&tc);
        }
      tst_control_shutdown (&tc);
    }
  print_message ("  %d records, %u accepted\n", SEED_COUNT * RECORDS_PER_SEED,
                 accepted);
  assert_true (accepted > SEED_COUNT * RECORDS_PER_SEED / 4);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (limits_are_divided_as_specified),
    cmocka_unit_test (transfers_need_the_current_balance_and_limit),
    cmocka_unit_test (sums_hold_after_random_changes),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
