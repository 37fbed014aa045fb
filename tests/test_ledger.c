/**
 * @file
 * Ledger: the effect of each kind of record, conflicts of two writers, and
 * refused records, which must not change the configuration, keys or claims.
 */
#include "tst_control.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

/* Guards against published items that lookup by name or iteration does not
   return. */
static void
published_items_are_found (void **unused)
{
  struct tst_control tc;
  const struct cyc_queue_cfg *queue;

  (void)unused;
  tst_control_setup (&tc);
  assert_false (cyc_led_complete (&tc.led));
  tst_publish_example (&tc);
  assert_true (cyc_led_complete (&tc.led));
  assert_int_equal (cyc_led_next_offset (&tc.led), 3);
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

#define ORDERS_TEAM(limit)                                                    \
  "{\"team\":\"orders\",\"share_permille\":200,\"limit_millicores\":" limit "}"
#define PLANS_TEAM(share)                                                     \
  "{\"team\":\"plans\",\"share_permille\":" share ",\"limit_millicores\":"    \
  "100}"
#define TALLY_QUEUE(team)                                                     \
  "{\"queue\":\"tally\",\"team\":\"" team "\",\"kind\":\"batch\","            \
  "\"repeatable\":true,\"millicores\":10,\"memory_mib\":5,\"run_s\":30}"
#define GANG_QUEUE(queue, millicores)                                         \
  "{\"queue\":\"" queue "\",\"team\":\"orders\",\"kind\":\"gang\","           \
  "\"repeatable\":true,\"tasks\":10,\"millicores\":" millicores               \
  ",\"memory_mib\":5,\"run_s\":30}"

/* Two operators publish after both read the fleet at version 1, team/orders at
   version 2 and queue/tally at version 3. The earlier record gets version 4.
 */
struct race_case
{
  const char *name;
  struct
  {
    const char *item;
    uint64_t base_version;
    const char *body;
  } earlier, later;
  enum cyc_led_result result; /**< of the later */
  uint64_t conflict_version;
};

static const struct race_case race_cases[] = {
  { "both change one item",
    { "team/orders", 2, ORDERS_TEAM ("5000") },
    { "team/orders", 2, ORDERS_TEAM ("400000") },
    CYC_LED_REFUSED,
    4 },
  { "they change different items",
    { "team/orders", 2, ORDERS_TEAM ("500000") },
    { "queue/tally", 3, TALLY_QUEUE ("orders") },
    CYC_LED_ACCEPTED,
    0 },
  { "both create one item",
    { "team/plans", 0, PLANS_TEAM ("10") },
    { "team/plans", 0, PLANS_TEAM ("20") },
    CYC_LED_REFUSED,
    4 },
  { "one deletes, one changes",
    { "queue/tally", 3, NULL },
    { "queue/tally", 3, TALLY_QUEUE ("orders") },
    CYC_LED_REFUSED,
    4 },
  { "both delete",
    { "queue/tally", 3, NULL },
    { "queue/tally", 3, NULL },
    CYC_LED_REFUSED,
    4 },
  { "a deleted item is created with base version 0",
    { "queue/tally", 3, NULL },
    { "queue/tally", 0, TALLY_QUEUE ("orders") },
    CYC_LED_REFUSED,
    4 },
  { "a deleted item is created with the version of its deletion",
    { "queue/tally", 3, NULL },
    { "queue/tally", 4, TALLY_QUEUE ("orders") },
    CYC_LED_ACCEPTED,
    0 },
  { "a deleted item is deleted again",
    { "queue/tally", 3, NULL },
    { "queue/tally", 4, NULL },
    CYC_LED_REFUSED,
    0 },
  { "the shares add up to more than 1,000 permille",
    { "team/plans", 0, PLANS_TEAM ("800") },
    { "team/more", 0,
      "{\"team\":\"more\",\"share_permille\":1,\"limit_millicores\":1}" },
    CYC_LED_REFUSED,
    0 },
  { "a queue moves to a team that does not exist",
    { "team/orders", 2, ORDERS_TEAM ("500000") },
    { "queue/tally", 3, TALLY_QUEUE ("plans") },
    CYC_LED_REFUSED,
    0 },
  { "a limit is lowered below a gang that another operator added",
    { "queue/gang", 0, GANG_QUEUE ("gang", "40000") },
    { "team/orders", 2, ORDERS_TEAM ("399999") },
    CYC_LED_REFUSED,
    0 },
  { "a gang exactly fits the limit",
    { "queue/gang", 0, GANG_QUEUE ("gang", "40000") },
    { "team/orders", 2, ORDERS_TEAM ("400000") },
    CYC_LED_ACCEPTED,
    0 },
  { "a task exceeds the largest worker",
    { "team/orders", 2, ORDERS_TEAM ("900000") },
    { "queue/gang", 0, GANG_QUEUE ("gang", "64001") },
    CYC_LED_REFUSED,
    0 },
  { "the body names another item",
    { "team/orders", 2, ORDERS_TEAM ("500000") },
    { "queue/other", 0, TALLY_QUEUE ("orders") },
    CYC_LED_REFUSED,
    0 },
  { "the fleet is deleted while teams exist",
    { "team/orders", 2, ORDERS_TEAM ("500000") },
    { "fleet", 1, NULL },
    CYC_LED_REFUSED,
    0 },
  { "the item is of an unknown kind",
    { "team/orders", 2, ORDERS_TEAM ("500000") },
    { "rack/one", 0, "{}" },
    CYC_LED_REFUSED,
    0 },
};

/* Guards against a lost update: the later of two conflicting changes must be
   refused, and its effect must name the item, version and writer that it
   conflicts with. */
static void
the_earlier_of_two_changes_wins (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof race_cases / sizeof race_cases[0]; i++)
    {
      const struct race_case *rc = &race_cases[i];
      bool accepted = rc->result == CYC_LED_ACCEPTED;
      struct tst_control tc;

      print_message ("  %s\n", rc->name);
      tst_control_setup (&tc);
      tst_publish_example (&tc);
      assert_int_equal (tst_publish (&tc, "vm-a", rc->earlier.item,
                                     rc->earlier.base_version,
                                     rc->earlier.body),
                        CYC_LED_ACCEPTED);
      assert_int_equal (tst_publish (&tc, "vm-b", rc->later.item,
                                     rc->later.base_version, rc->later.body),
                        rc->result);
      assert_int_equal (tc.effect.body, CYC_LED_BODY_CONFIG);
      assert_int_equal (tc.effect.conflict_version, rc->conflict_version);
      if (rc->conflict_version > 0)
        {
          assert_string_equal (tc.effect.conflict_item.data, rc->later.item);
          assert_string_equal (tc.effect.conflict_writer.data, "vm-a");
        }
      assert_int_equal (strlen (tc.effect.reason) > 0, !accepted);
      assert_int_equal (cyc_led_config_version (&tc.led), accepted ? 5 : 4);
      assert_int_equal (
          cyc_led_item_version (&tc.led, cyc_str_of (rc->later.item)) == 5,
          accepted);
      tst_control_shutdown (&tc);
    }
}

/* Guards against a change of several items that is applied in part when one of
   them is refused. */
static void
a_change_is_accepted_whole_or_not_at_all (void **unused)
{
  struct tst_control tc;
  struct cyc_config_edit edits[2]
      = { { .name = CYC_STR ("team/orders"),
            .base_version = 2,
            .body = CYC_STR (ORDERS_TEAM ("500000")) },
          { .name = CYC_STR ("queue/tally"),
            .base_version = 2,
            .body = CYC_STR (TALLY_QUEUE ("orders")) } };
  struct cyc_id128 id = { { 1 } };
  struct cyc_str record;

  (void)unused;
  tst_control_setup (&tc);
  tst_publish_example (&tc);
  assert_true (cyc_rec_config (&id, CYC_STR ("vm-a"), edits, 2, &record));
  assert_int_equal (tst_apply (&tc, record), CYC_LED_REFUSED);
  assert_string_equal (tc.effect.conflict_item.data, "queue/tally");
  assert_int_equal (
      cyc_led_team (&tc.led, CYC_STR ("orders"))->limit_millicores, 400000);
  edits[1].base_version = 3;
  id.bytes[0] = 2;
  assert_true (cyc_rec_config (&id, CYC_STR ("vm-a"), edits, 2, &record));
  assert_int_equal (tst_apply (&tc, record), CYC_LED_ACCEPTED);
  assert_int_equal (
      cyc_led_team (&tc.led, CYC_STR ("orders"))->limit_millicores, 500000);
  edits[1] = edits[0];
  edits[0].base_version = edits[1].base_version = 5;
  id.bytes[0] = 3;
  assert_true (cyc_rec_config (&id, CYC_STR ("vm-a"), edits, 2, &record));
  assert_int_equal (tst_apply (&tc, record), CYC_LED_REFUSED);
  tst_control_shutdown (&tc);
}

/* Grants and withdrawals of one key, in log order. The first record gets
   version 1. */
struct key_step
{
  bool grant;
  uint64_t base_version;
  const char *team;
  enum cyc_led_result result;
  enum cyc_key_state state;
  uint64_t version;
};

static const struct key_step key_steps[] = {
  { true, 0, "orders", CYC_LED_ACCEPTED, CYC_KEY_VALID, 1 },
  { true, 0, "plans", CYC_LED_REFUSED, CYC_KEY_VALID, 1 },
  { false, 0, NULL, CYC_LED_ACCEPTED, CYC_KEY_WITHDRAWN, 3 },
  { true, 0, "orders", CYC_LED_REFUSED, CYC_KEY_WITHDRAWN, 3 },
  { true, 1, "orders", CYC_LED_REFUSED, CYC_KEY_WITHDRAWN, 3 },
  { false, 0, NULL, CYC_LED_ACCEPTED, CYC_KEY_WITHDRAWN, 6 },
  { true, 3, "orders", CYC_LED_REFUSED, CYC_KEY_WITHDRAWN, 6 },
  { true, 6, "Orders", CYC_LED_REFUSED, CYC_KEY_WITHDRAWN, 6 },
  { true, 6, "plans", CYC_LED_ACCEPTED, CYC_KEY_VALID, 9 },
};

static enum cyc_led_result
apply_key (struct tst_control *tc, const struct key_step *step,
           const char *key)
{
  struct cyc_digest digest = tst_digest (key);
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  if (step->grant)
    assert_true (cyc_rec_key_grant (&id, CYC_STR ("vm-1"), &digest,
                                    cyc_str_of (step->team),
                                    step->base_version, &record));
  else
    assert_true (
        cyc_rec_key_withdraw (&id, CYC_STR ("vm-1"), &digest, &record));
  return tst_apply (tc, record);
}

/* Guards against a grant that was written before a withdrawal but is applied
   after it, and makes the key valid again. */
static void
a_withdrawn_key_needs_a_new_grant (void **unused)
{
  static const struct key_step withdrawal_step
      = { .result = CYC_LED_ACCEPTED };
  struct cyc_digest digest = tst_digest ("key");
  struct cyc_digest other = tst_digest ("other");
  struct cyc_name team;
  struct tst_control tc;

  (void)unused;
  tst_control_setup (&tc);
  assert_int_equal (cyc_led_key (&tc.led, &digest, &team), CYC_KEY_UNKNOWN);
  for (size_t i = 0; i < sizeof key_steps / sizeof key_steps[0]; i++)
    {
      const struct key_step *step = &key_steps[i];

      assert_int_equal (apply_key (&tc, step, "key"), step->result);
      assert_int_equal (cyc_led_key (&tc.led, &digest, &team), step->state);
      assert_int_equal (cyc_led_key_version (&tc.led, &digest), step->version);
    }
  assert_string_equal (team.data, "plans");
  /* A withdrawal that precedes the grant takes effect; the grant is refused.
   */
  assert_int_equal (apply_key (&tc, &withdrawal_step, "other"),
                    CYC_LED_ACCEPTED);
  assert_int_equal (apply_key (&tc, &key_steps[0], "other"), CYC_LED_REFUSED);
  assert_int_equal (cyc_led_key (&tc.led, &other, &team), CYC_KEY_WITHDRAWN);
  tst_control_shutdown (&tc);
}

/* Guards against a key table that stays full after keys were rotated. A new
   key replaces the key that was withdrawn first, and never a valid key. */
static void
withdrawn_keys_free_table_rows (void **unused)
{
  static const struct key_step grant
      = { .grant = true, .team = "orders", .result = CYC_LED_ACCEPTED };
  static const struct key_step withdraw = { .result = CYC_LED_ACCEPTED };
  struct cyc_findings found = { 0 };
  struct cyc_digest first = tst_digest ("first");
  struct cyc_digest second = tst_digest ("second");
  struct cyc_name team;
  struct tst_control tc;

  (void)unused;
  tst_control_setup (&tc);
  cyc_led_shutdown (&tc.led);
  assert_true (cyc_led_setup (&tc.led, &(struct cyc_led_desc){ .max_keys = 2 },
                              &found));
  assert_int_equal (apply_key (&tc, &grant, "first"), CYC_LED_ACCEPTED);
  assert_int_equal (apply_key (&tc, &grant, "second"), CYC_LED_ACCEPTED);
  assert_int_equal (apply_key (&tc, &grant, "third"), CYC_LED_REFUSED);
  assert_int_equal (apply_key (&tc, &withdraw, "first"), CYC_LED_ACCEPTED);
  assert_int_equal (apply_key (&tc, &grant, "third"), CYC_LED_ACCEPTED);
  assert_int_equal (cyc_led_key (&tc.led, &first, &team), CYC_KEY_UNKNOWN);
  assert_int_equal (cyc_led_key (&tc.led, &second, &team), CYC_KEY_VALID);
  assert_int_equal (apply_key (&tc, &grant, "fourth"), CYC_LED_REFUSED);
  tst_control_shutdown (&tc);
}

/* Claim records of one domain, in log order. */
struct claim_case
{
  enum cyc_claim_action step;
  const char *owner;
  uint8_t incarnation;
  uint64_t epoch;
  enum cyc_led_result result;
  uint64_t epoch_after;
};

static const struct claim_case claim_cases[] = {
  { CYC_CLAIM_RENEW, "vm-a", 1, 0, CYC_LED_REFUSED, 0 },
  { CYC_CLAIM_TAKE, "vm-a", 1, 2, CYC_LED_REFUSED, 0 },
  { CYC_CLAIM_TAKE, "vm-a", 1, 1, CYC_LED_ACCEPTED, 1 },
  { CYC_CLAIM_TAKE, "vm-b", 2, 1, CYC_LED_REFUSED, 1 },
  { CYC_CLAIM_RENEW, "vm-b", 2, 1, CYC_LED_REFUSED, 1 },
  { CYC_CLAIM_RENEW, "vm-a", 1, 2, CYC_LED_REFUSED, 1 },
  /* A restarted process on the same VM has another incarnation and is not the
     owner. */
  { CYC_CLAIM_RENEW, "vm-a", 9, 1, CYC_LED_REFUSED, 1 },
  { CYC_CLAIM_RENEW, "vm-a", 1, 1, CYC_LED_ACCEPTED, 1 },
  { CYC_CLAIM_TAKE, "vm-b", 2, 2, CYC_LED_ACCEPTED, 2 },
  { CYC_CLAIM_RENEW, "vm-a", 1, 1, CYC_LED_REFUSED, 2 },
  { CYC_CLAIM_RELEASE, "vm-a", 1, 1, CYC_LED_REFUSED, 2 },
  { CYC_CLAIM_RELEASE, "vm-b", 2, 2, CYC_LED_ACCEPTED, 2 },
  { CYC_CLAIM_RENEW, "vm-b", 2, 2, CYC_LED_REFUSED, 2 },
  { CYC_CLAIM_RELEASE, "vm-b", 2, 2, CYC_LED_REFUSED, 2 },
  { CYC_CLAIM_TAKE, "vm-a", 1, 2, CYC_LED_REFUSED, 2 },
  { CYC_CLAIM_TAKE, "vm-a", 1, 3, CYC_LED_ACCEPTED, 3 },
  { CYC_CLAIM_TAKE, "vm-b", 2, 3, CYC_LED_REFUSED, 3 },
};

/* Guards against two processes that both derive from the log that they own a
   domain. */
static void
a_claim_has_one_owner_in_log_order (void **unused)
{
  struct tst_control tc;
  struct cyc_claim claim;

  (void)unused;
  tst_control_setup (&tc);
  for (size_t i = 0; i < sizeof claim_cases / sizeof claim_cases[0]; i++)
    {
      const struct claim_case *cc = &claim_cases[i];

      print_message ("  step %zu\n", i);
      assert_int_equal (
          tst_claim (&tc, cc->step, cc->owner, cc->incarnation, cc->epoch),
          cc->result);
      cyc_led_claim (&tc.led, CYC_STR ("north-a"), 0, &claim);
      assert_int_equal (claim.epoch, cc->epoch_after);
      if (cc->result == CYC_LED_ACCEPTED && cc->step != CYC_CLAIM_RELEASE)
        {
          assert_string_equal (claim.owner.data, cc->owner);
          assert_int_equal (claim.renewed_offset, i);
        }
      assert_int_equal (claim.released, i >= 11 && i <= 14);
    }
  cyc_led_claim (&tc.led, CYC_STR ("north-b"), 0, &claim);
  assert_int_equal (claim.epoch, 0);
  tst_control_shutdown (&tc);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (published_items_are_found),
    cmocka_unit_test (the_earlier_of_two_changes_wins),
    cmocka_unit_test (a_change_is_accepted_whole_or_not_at_all),
    cmocka_unit_test (a_withdrawn_key_needs_a_new_grant),
    cmocka_unit_test (withdrawn_keys_free_table_rows),
    cmocka_unit_test (a_claim_has_one_owner_in_log_order),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
