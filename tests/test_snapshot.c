/**
 * @file
 * Snapshots: canonical encoding and damaged encodings; start from a trimmed
 * control stream, with missing or corrupt chunks, from a peer and after a long
 * outage of the log.
 */
#include "control.h"
#include "log_event.h"
#include "tst_control.h"
#include "tst_memory_log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define STEP_US UINT64_C (10000)
#define SECOND_US UINT64_C (1000000)
#define CONTROL_STREAM CYC_STR ("control")

static struct cyc_str
encode_state (const struct cyc_ledger *led)
{
  struct cyc_str bytes;

  assert_true (cyc_led_encode (led, &bytes));
  return bytes;
}

static void
assert_same_state (const struct cyc_ledger *a, const struct cyc_ledger *b)
{
  struct cyc_str left = encode_state (a);
  struct cyc_str right = encode_state (b);

  assert_int_equal (left.len, right.len);
  assert_memory_equal (left.data, right.data, left.len);
  free ((char *)left.data);
  free ((char *)right.data);
}

/* Guards against a replica that loads a snapshot and then derives a different
   state from the same records. */
static void
replicas_encode_the_same_bytes (void **unused)
{
  (void)unused;
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      struct tst_random rnd = { .state = seed * 1000 };
      struct tst_control first;
      struct tst_control second;
      struct cyc_findings found = { 0 };

      tst_control_setup (&first);
      tst_control_setup (&second);
      for (int i = 0; i < 500; i++)
        {
          struct cyc_str record = tst_random_record (&first, &rnd);
          struct cyc_led_effect effect;

          if (tst_random (&rnd) % 20 == 0)
            {
              struct cyc_str bytes = encode_state (&first.led);

              assert_true (cyc_led_load (&second.led, bytes, &found));
              free ((char *)bytes.data);
            }
          cyc_led_apply (&second.led, first.next_offset, record, &effect);
          assert_int_equal (tst_apply (&first, record), effect.result);
          assert_same_state (&first.led, &second.led);
          assert_int_equal (cyc_led_config_version (&first.led),
                            cyc_led_config_version (&second.led));
        }
      tst_control_shutdown (&first);
      tst_control_shutdown (&second);
    }
}

/* Guards against a failed load that changes the old state, and against loading
   a damaged snapshot whose balances do not add up to the limits. */
static void
damaged_snapshots_keep_the_old_state (void **unused)
{
  struct tst_random rnd = { .state = 77 };
  struct tst_control tc;
  struct tst_control old;
  struct cyc_str good;
  uint32_t refused = 0;

  (void)unused;
  tst_control_setup (&tc);
  for (int i = 0; i < 300; i++)
    tst_apply (&tc, tst_random_record (&tc, &rnd));
  good = encode_state (&tc.led);
  for (int i = 0; i < 2000; i++)
    {
      struct cyc_findings found = { 0 };
      struct cyc_str bad = encode_state (&tc.led);

      tst_control_setup (&old);
      tst_publish_example (&old);
      if (i % 2 == 0)
        bad.len = tst_random (&rnd) % bad.len;
      else
        ((unsigned char *)bad.data)[tst_random (&rnd) % bad.len]
            ^= (unsigned char)(1U << tst_random (&rnd) % 8);
      if (cyc_led_load (&old.led, bad, &found))
        tst_check_balance_sums (&old);
      else
        {
          refused++;
          assert_in_range (found.count, 1, CYC_FINDINGS_MAX);
          assert_int_equal (cyc_led_next_offset (&old.led), 3);
          assert_int_equal (tst_balance (&old, "north-a"), 133334);
        }
      free ((char *)bad.data);
      tst_control_shutdown (&old);
    }
  assert_true (refused > 1000);
  free ((char *)good.data);
  tst_control_shutdown (&tc);
}

static bool
feed_chunk (struct cyc_led_assembler *assembler, uint64_t offset,
            uint64_t upto, uint32_t index, struct cyc_str whole,
            struct cyc_str *out)
{
  struct cyc_str half
      = { .data = whole.data + index * (whole.len / 2), .len = whole.len / 2 };
  struct cyc_digest digest;
  struct cyc_id128 id;
  struct cyc_str record;
  bool complete;

  cyc_digest_of (whole, &digest);
  cyc_id128_random (&id);
  assert_true (cyc_rec_snapshot_chunk (&id, CYC_STR ("vm-1"), upto, index, 2,
                                       &digest, half, &record));
  complete = cyc_led_assembler_add (assembler, offset, record, out);
  free ((char *)record.data);
  return complete;
}

/* Guards against a snapshot whose next records are already trimmed, and
   against mixing the chunks of several writers. */
static void
chunk_sets_of_several_writers_are_kept_apart (void **unused)
{
  struct cyc_led_assembler assembler;
  struct cyc_str a = CYC_STR ("abcdef");
  struct cyc_str b = CYC_STR ("uvwxyz");
  struct cyc_str out = { 0 };

  (void)unused;
  assert_true (cyc_led_assembler_setup (&assembler, 50));
  assert_false (feed_chunk (&assembler, 90, 48, 0, a, &out));
  assert_false (feed_chunk (&assembler, 91, 48, 1, a, &out));
  assert_false (feed_chunk (&assembler, 92, 93, 0, a, &out));
  assert_false (feed_chunk (&assembler, 93, 93, 1, a, &out));
  assert_false (feed_chunk (&assembler, 94, 60, 1, a, &out));
  assert_false (feed_chunk (&assembler, 95, 60, 1, b, &out));
  assert_false (feed_chunk (&assembler, 96, 60, 1, b, &out));
  assert_false (feed_chunk (&assembler, 97, 61, 0, b, &out));
  assert_true (feed_chunk (&assembler, 98, 60, 0, b, &out));
  assert_true (cyc_str_eq (out, b));
  free ((char *)out.data);
  assert_true (feed_chunk (&assembler, 99, 60, 0, a, &out));
  assert_true (cyc_str_eq (out, a));
  free ((char *)out.data);
  assert_false (feed_chunk (&assembler, 100, 49, 0, a, &out));
  assert_true (feed_chunk (&assembler, 101, 49, 1, a, &out));
  free ((char *)out.data);
  cyc_led_assembler_shutdown (&assembler);
}

/* A process with its control stream and its own connection to the shared log.
 */
struct node
{
  struct tst_log log;
  struct ctl_control ctl;
  uint32_t effect_count;
  uint32_t replaced_count;
  uint32_t ended_count;
  enum ctl_outcome outcome;
  struct cyc_led_effect effect;
};

static uint64_t clock_us;

static void
on_effect (void *user, uint64_t offset, const struct cyc_led_effect *effect)
{
  struct node *node = user;

  (void)offset;
  (void)effect;
  node->effect_count++;
}

static void
on_replaced (void *user)
{
  ((struct node *)user)->replaced_count++;
}

static void
on_done (void *user, enum ctl_outcome outcome, uint64_t offset,
         const struct cyc_led_effect *effect)
{
  struct node *node = user;

  (void)offset;
  node->ended_count++;
  node->outcome = outcome;
  if (effect != NULL)
    node->effect = *effect;
}

static void
node_setup (struct node *node, struct tst_store *store, const char *vm,
            bool write_snapshots)
{
  struct cyc_findings found = { 0 };
  struct ctl_desc desc
      = { .log = &node->log.log,
          .ledger = { .max_teams = 256, .max_queues = 256, .max_keys = 256 },
          .snapshot_records = 400,
          .keep_records = 64,
          .write_snapshots = write_snapshots,
          .effect = on_effect,
          .replaced = on_replaced,
          .user = node };

  memset (node, 0, sizeof *node);
  cyc_name_set (&desc.vm, cyc_str_of (vm));
  tst_log_setup (&node->log, store);
  assert_true (ctl_setup (&node->ctl, &desc, &found));
}

static void
node_shutdown (struct node *node)
{
  tst_log_shutdown (&node->log);
  ctl_shutdown (&node->ctl);
}

static void
run_nodes (struct node *const *nodes, uint64_t for_us)
{
  for (uint64_t end = clock_us + for_us; clock_us < end; clock_us += STEP_US)
    for (int i = 0; nodes[i] != NULL; i++)
      {
        ctl_tick (&nodes[i]->ctl, clock_us);
        tst_log_run (&nodes[i]->log);
      }
}

static void
append_config (struct tst_store *store, const char *item,
               uint64_t base_version, const char *body)
{
  struct cyc_config_edit edit = { .name = cyc_str_of (item),
                                  .base_version = base_version,
                                  .body = cyc_str_of (body),
                                  .deleted = body == NULL };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_config (&id, CYC_STR ("vm-0"), &edit, 1, &record));
  tst_store_append (store, CONTROL_STREAM, record);
  free ((char *)record.data);
}

/* Appends a configuration whose snapshot has two chunks, at offsets 0 to 241.
 */
static void
append_example_config (struct tst_store *store)
{
  char body[512];
  char item[64];

  append_config (store, "fleet", 0, TST_FLEET);
  append_config (store, "team/orders", 0,
                 tst_team_body (body, "orders", 200, 400000));
  for (int i = 0; i < 240; i++)
    {
      snprintf (item, sizeof item, "queue/queue-%03d", i);
      append_config (store, item, 0,
                     tst_queue_body (body, item + 6, "orders", "batch", 4));
    }
}

/* Flips a bit of a stored record. */
static void
corrupt_chunk (struct tst_store *store, uint64_t offset)
{
  struct cyc_str *record
      = &tst_stream (store, CONTROL_STREAM)->records[offset];

  ((char *)record->data)[record->len - 1] ^= 1;
}

static uint64_t
next_offset (struct tst_store *store)
{
  return tst_stream (store, CONTROL_STREAM)->next;
}

/* Guards against a process that starts after the stream was trimmed and finds
   no state or derives a different one. */
static void
a_cold_start_after_a_trim_loads_the_snapshot (void **unused)
{
  struct tst_store store = { 0 };
  struct node a;
  struct node b;

  (void)unused;
  append_example_config (&store);
  node_setup (&a, &store, "vm-1", true);
  run_nodes ((struct node *[]){ &a, NULL }, 5 * SECOND_US);
  assert_int_equal (next_offset (&store), 242);
  for (int i = 0; i < 160; i++)
    append_config (&store, "nothing", 0, "");
  run_nodes ((struct node *[]){ &a, NULL }, 6 * SECOND_US);
  assert_int_equal (next_offset (&store), 404);
  assert_int_equal (cyc_led_snapshot_upto_offset (ctl_ledger (&a.ctl)), 401);
  tst_store_trim (&store, CONTROL_STREAM, 402);
  append_config (&store, "queue/queue-000", 3, NULL);
  node_setup (&b, &store, "vm-2", false);
  run_nodes ((struct node *[]){ &a, &b, NULL }, SECOND_US);
  assert_true (ctl_ready (&b.ctl));
  assert_int_equal (b.replaced_count, 1);
  assert_int_equal (ctl_next (&b.ctl), 405);
  assert_null (cyc_led_queue (ctl_ledger (&b.ctl), CYC_STR ("queue-000")));
  assert_same_state (ctl_ledger (&a.ctl), ctl_ledger (&b.ctl));
  node_shutdown (&a);
  node_shutdown (&b);
  tst_store_free (&store);
}

struct chunk_case
{
  const char *name;
  uint64_t trim_offset;    /**< the snapshot of 0 to 401 is at 402 and 403 */
  uint64_t corrupt_offset; /**< of a corrupted chunk; 0 if none */
  bool expect_loaded;
};

static const struct chunk_case chunk_cases[] = {
  { "complete", 400, 0, true },
  { "trimmed up to the end of the snapshot", 402, 0, true },
  { "first chunk trimmed", 403, 0, false },
  { "all chunks trimmed", 404, 0, false },
  { "first chunk corrupt", 400, 402, false },
  { "last chunk corrupt", 400, 403, false },
};

/* Guards against a state that is loaded although a chunk is missing or
   corrupt. After a trim, a later complete snapshot must be loaded. */
static void
only_complete_snapshots_are_loaded (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof chunk_cases / sizeof chunk_cases[0]; i++)
    {
      const struct chunk_case *cc = &chunk_cases[i];
      struct tst_store store = { 0 };
      struct node a;
      struct node b;

      print_message ("  %s\n", cc->name);
      append_example_config (&store);
      for (int k = 0; k < 160; k++)
        append_config (&store, "nothing", 0, "");
      node_setup (&a, &store, "vm-1", true);
      run_nodes ((struct node *[]){ &a, NULL }, 6 * SECOND_US);
      assert_int_equal (next_offset (&store), 404);
      if (cc->corrupt_offset > 0)
        corrupt_chunk (&store, cc->corrupt_offset);
      tst_store_trim (&store, CONTROL_STREAM, cc->trim_offset);
      node_setup (&b, &store, "vm-2", false);
      run_nodes ((struct node *[]){ &b, NULL }, SECOND_US);
      assert_int_equal (ctl_ready (&b.ctl), cc->expect_loaded);
      assert_int_equal (cyc_led_complete (ctl_ledger (&b.ctl)),
                        cc->expect_loaded);
      /* The process that holds the state writes another snapshot if needed. */
      append_config (&store, "nothing", 0, "");
      run_nodes ((struct node *[]){ &a, &b, NULL }, 20 * SECOND_US);
      if (cc->corrupt_offset == 0)
        {
          assert_true (ctl_ready (&b.ctl));
          assert_same_state (ctl_ledger (&a.ctl), ctl_ledger (&b.ctl));
        }
      node_shutdown (&a);
      node_shutdown (&b);
      tst_store_free (&store);
    }
}

/* Guards against the loss of the state in an outage that is longer than the
   retention of the log: the first process with the complete state that reaches
   the log again must write a snapshot at once. */
static void
after_a_long_outage_the_state_is_written_at_once (void **unused)
{
  struct tst_store store = { 0 };
  struct node a;
  struct node lagging;
  struct node cold;

  (void)unused;
  append_example_config (&store);
  node_setup (&a, &store, "vm-1", true);
  node_setup (&lagging, &store, "vm-2", true);
  run_nodes ((struct node *[]){ &a, &lagging, NULL }, SECOND_US);
  lagging.log.down = true;
  append_config (&store, "queue/queue-000", 3, NULL);
  run_nodes ((struct node *[]){ &a, &lagging, NULL }, SECOND_US);
  a.log.down = true;
  run_nodes ((struct node *[]){ &a, &lagging, NULL }, 10 * SECOND_US);
  tst_store_trim (&store, CONTROL_STREAM, 243);
  /* A process that lacks trimmed records must not apply or write anything. */
  lagging.log.down = false;
  node_setup (&cold, &store, "vm-3", true);
  run_nodes ((struct node *[]){ &lagging, &cold, NULL }, 5 * SECOND_US);
  assert_int_equal (next_offset (&store), 243);
  assert_int_equal (ctl_next (&lagging.ctl), 242);
  assert_false (ctl_ready (&cold.ctl));
  assert_true (ctl_fresh_us (&lagging.ctl) < clock_us - 10 * SECOND_US);
  a.log.down = false;
  run_nodes ((struct node *[]){ &a, &lagging, &cold, NULL }, 3 * SECOND_US);
  assert_true (ctl_ready (&cold.ctl));
  assert_int_equal (lagging.replaced_count, 1);
  assert_true (ctl_fresh_us (&lagging.ctl) > clock_us - SECOND_US);
  assert_same_state (ctl_ledger (&a.ctl), ctl_ledger (&cold.ctl));
  assert_same_state (ctl_ledger (&a.ctl), ctl_ledger (&lagging.ctl));
  node_shutdown (&a);
  node_shutdown (&lagging);
  node_shutdown (&cold);
  tst_store_free (&store);
}

/* Guards against a process without a connection to the log that gets no state
   from its peer, accepts a withdrawn key, or takes its state for newer than
   the state of the peer. */
static void
a_peer_gives_snapshot_records_and_freshness (void **unused)
{
  struct tst_store store = { 0 };
  struct cyc_digest digest = tst_digest ("key");
  struct cyc_str records[8];
  struct cyc_str bytes;
  struct cyc_str record;
  struct node a;
  struct node b;
  uint64_t fresh_us;
  uint32_t count;

  (void)unused;
  append_example_config (&store);
  node_setup (&a, &store, "vm-1", false);
  node_setup (&b, &store, "vm-2", false);
  b.log.down = true;
  run_nodes ((struct node *[]){ &a, &b, NULL }, SECOND_US);
  bytes = encode_state (ctl_ledger (&a.ctl));
  fresh_us = ctl_fresh_us (&a.ctl);
  assert_true (ctl_peer_state (&b.ctl, ctl_next (&a.ctl), fresh_us));
  assert_false (ctl_ready (&b.ctl));
  assert_int_equal (ctl_fresh_us (&b.ctl), 0);
  assert_int_equal (ctl_kept_records (&a.ctl, 0, records, 8), 0);
  assert_true (ctl_peer_snapshot (&b.ctl, bytes));
  assert_false (ctl_peer_snapshot (&b.ctl, bytes));
  assert_true (ctl_ready (&b.ctl));
  assert_int_equal (ctl_fresh_us (&b.ctl), fresh_us);
  free ((char *)bytes.data);

  assert_true (cyc_rec_key_grant (&(struct cyc_id128){ { 1 } },
                                  CYC_STR ("vm-0"), &digest,
                                  CYC_STR ("orders"), 0, &record));
  tst_store_append (&store, CONTROL_STREAM, record);
  free ((char *)record.data);
  assert_true (cyc_rec_key_withdraw (&(struct cyc_id128){ { 2 } },
                                     CYC_STR ("vm-0"), &digest, &record));
  tst_store_append (&store, CONTROL_STREAM, record);
  free ((char *)record.data);
  run_nodes ((struct node *[]){ &a, &b, NULL }, SECOND_US);
  assert_true (
      ctl_peer_state (&b.ctl, ctl_next (&a.ctl), ctl_fresh_us (&a.ctl)));
  assert_int_equal (ctl_fresh_us (&b.ctl), fresh_us);
  count = ctl_kept_records (&a.ctl, ctl_next (&b.ctl), records, 8);
  assert_int_equal (count, 2);
  ctl_peer_records (&b.ctl, ctl_next (&b.ctl) + 1, &records[1], 1);
  assert_int_equal (ctl_next (&b.ctl), 242);
  ctl_peer_records (&b.ctl, ctl_next (&b.ctl), records, 1);
  ctl_peer_records (&b.ctl, ctl_next (&b.ctl) - 1, records, 2);
  assert_int_equal (cyc_led_key (ctl_ledger (&b.ctl), &digest, NULL),
                    CYC_KEY_WITHDRAWN);
  assert_int_equal (ctl_fresh_us (&b.ctl), ctl_fresh_us (&a.ctl));
  assert_same_state (ctl_ledger (&a.ctl), ctl_ledger (&b.ctl));
  /* With the log reachable again, records from the peer are not applied again.
   */
  b.log.down = false;
  run_nodes ((struct node *[]){ &a, &b, NULL }, 3 * SECOND_US);
  assert_int_equal (b.effect_count, 2);
  assert_same_state (ctl_ledger (&a.ctl), ctl_ledger (&b.ctl));
  node_shutdown (&a);
  node_shutdown (&b);
  tst_store_free (&store);
}

static void
publish (struct node *node, uint8_t id, const char *item,
         uint64_t base_version, const char *body)
{
  struct cyc_config_edit edit = { .name = cyc_str_of (item),
                                  .base_version = base_version,
                                  .body = cyc_str_of (body) };
  struct ctl_append append = { .record_id = { { id } },
                               .deadline_us = clock_us + 2 * SECOND_US,
                               .done = on_done,
                               .user = node };

  assert_true (cyc_rec_config (&append.record_id, CYC_STR ("vm-0"), &edit, 1,
                               &append.record));
  assert_true (ctl_append (&node->ctl, &append));
  free ((char *)append.record.data);
}

struct publish_case
{
  const char *name;
  enum tst_fault fault;
  uint32_t failing_calls;
  bool reads_down;
  bool other_first; /**< another operator's change precedes it */
  enum ctl_outcome outcome;
};

static const struct publish_case publish_cases[] = {
  { "accepted", TST_NO_FAULT, 0, false, false, CTL_ACCEPTED },
  { "answer lost after the write", TST_LOST_AFTER_WRITE, 1, false, false,
    CTL_ACCEPTED },
  { "answer lost before the write", TST_LOST_BEFORE_WRITE, 1, false, false,
    CTL_ACCEPTED },
  { "conflict with another change", TST_NO_FAULT, 0, false, true,
    CTL_REFUSED },
  { "conflict with another change, answer lost", TST_LOST_AFTER_WRITE, 1,
    false, true, CTL_REFUSED },
  { "refused by the log", TST_REFUSED, 1000, false, false, CTL_NOT_APPENDED },
  { "never read back", TST_LOST_AFTER_WRITE, 1, true, false, CTL_UNKNOWN },
};

/* Guards against an outcome reported to the operator that differs from the
   outcome in the stream. */
static void
operators_learn_the_outcome_of_their_change (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof publish_cases / sizeof publish_cases[0]; i++)
    {
      const struct publish_case *pc = &publish_cases[i];
      struct tst_store store = { 0 };
      struct node a;

      print_message ("  %s\n", pc->name);
      node_setup (&a, &store, "vm-1", false);
      run_nodes ((struct node *[]){ &a, NULL }, 10 * STEP_US);
      assert_true (ctl_ready (&a.ctl));
      if (pc->other_first)
        append_config (&store, "fleet", 0, TST_FLEET);
      a.log.reads_down = pc->reads_down;
      tst_log_fault (&a.log, pc->fault, pc->failing_calls);
      publish (&a, 9, "fleet", 0, TST_FLEET);
      run_nodes ((struct node *[]){ &a, NULL }, 4 * SECOND_US);
      assert_int_equal (a.ended_count, 1);
      assert_int_equal (a.outcome, pc->outcome);
      if (pc->other_first)
        assert_string_equal (a.effect.conflict_writer.data, "vm-0");
      if (pc->outcome == CTL_ACCEPTED)
        assert_non_null (cyc_led_fleet (ctl_ledger (&a.ctl)));
      assert_true (next_offset (&store) <= 1U + pc->other_first);
      node_shutdown (&a);
      tst_store_free (&store);
    }
}

int
main (void)
{
  static struct ev_sink sink;
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (replicas_encode_the_same_bytes),
    cmocka_unit_test (damaged_snapshots_keep_the_old_state),
    cmocka_unit_test (chunk_sets_of_several_writers_are_kept_apart),
    cmocka_unit_test (a_cold_start_after_a_trim_loads_the_snapshot),
    cmocka_unit_test (only_complete_snapshots_are_loaded),
    cmocka_unit_test (after_a_long_outage_the_state_is_written_at_once),
    cmocka_unit_test (a_peer_gives_snapshot_records_and_freshness),
    cmocka_unit_test (operators_learn_the_outcome_of_their_change),
  };

  clock_us = SECOND_US;
  ev_setup (&sink, &(struct ev_desc){ .lowest_level = G_LOG_LEVEL_CRITICAL });
  return cmocka_run_group_tests (tests, NULL, NULL);
}
