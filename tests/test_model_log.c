/**
 * @file
 * Model checks of two protocols over the log: quota transfers between the
 * owners of two domains, and once-only requests at two gateways. Appends may
 * be delayed, lose their answer or be repeated; a process may crash. A process
 * that takes no step is paused.
 */
#include "tst_model.h"

#include <cyclamendrum/once.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define SIDES 2 /* domains or gateways */
#define MAX_LOG_RECORDS 8
#define TEAM_LIMIT 4
#define STEP(kind, side) ((uint32_t)(kind) << 4 | (uint32_t)(side))

/* Transfers of a team's quota between domains. */

enum transfer_variant
{
  T_CORRECT,
  T_NO_RESERVATION,     /**< the sender keeps using the amount it has sent */
  T_UNKNOWN_IS_REFUSED, /**< a lost answer counts as a refusal */
  T_USE_BEFORE_READ, /**< the receiver uses an amount before reading its record
                      */
  T_EPOCH_IGNORED    /**< a transfer of any epoch is accepted */
};

struct record
{
  bool claim;   /**< claim of a new owner instead of a transfer */
  uint8_t from; /**< side that claims or sends */
  uint8_t amount;
  uint8_t balance; /**< balance of `from` known to its owner */
  uint8_t epoch;
  uint8_t id;
  bool valid;
};

struct owner
{
  uint8_t epoch;
  bool claim_read; /**< has read its own claim back */
  uint8_t records_read;
  uint8_t reserved; /**< amount sent, not read back yet */
  bool appending;
  struct record transfer;
  bool awaiting_read; /**< append finished or lost, record not read back yet */
};

struct transfer_state
{
  enum transfer_variant variant;
  uint8_t transfer_count;
  uint8_t lost_answers;
  uint8_t repeated_appends;
  uint8_t crashes;
  uint8_t task_ends; /**< remaining number of tasks that may end */
  uint8_t next_id;
  struct owner owners[SIDES];
  uint8_t used[SIDES]; /**< running tasks; unchanged by a crash of the owner */
  uint8_t log_len;
  struct record log[MAX_LOG_RECORDS];
  struct record orphan;
  bool has_orphan;
};

enum transfer_step
{
  T_START,
  T_END,
  T_SEND,
  T_APPEND,
  T_REPEAT,
  T_LOSE_ANSWER,
  T_APPEND_ORPHAN,
  T_READ,
  T_CRASH
};

static void
describe_transfer_step (uint32_t step, char out[80])
{
  static const char *const texts[] = {
    "starts a task",
    "sees a task end",
    "lowers its balance and sends a transfer",
    "its transfer is written",
    "its transfer is written a second time",
    "the answer to its transfer is lost",
    "the transfer without a waiting writer is written",
    "reads the next record",
    "crashes; a new owner claims",
  };

  snprintf (out, 80, "owner %u: %s", step & 15, texts[step >> 4]);
}

/* Returns the balance and sets the epoch of a side after @p len records. */
static uint8_t
balance_after (const struct transfer_state *s, uint8_t len, uint8_t side,
               uint8_t *epoch)
{
  uint8_t balance = TEAM_LIMIT / SIDES;

  *epoch = 1;
  for (uint8_t i = 0; i < len; i++)
    {
      const struct record *record = &s->log[i];

      if (record->claim && record->from == side)
        *epoch = record->epoch;
      if (!record->valid || record->claim)
        continue;
      if (record->from == side)
        balance -= record->amount;
      else
        balance += record->amount;
    }
  return balance;
}

static void
append_record (struct transfer_state *s, struct record record)
{
  uint8_t epoch;
  uint8_t balance = balance_after (s, s->log_len, record.from, &epoch);

  record.valid = record.amount <= balance && record.balance == balance
                 && (record.epoch == epoch || s->variant == T_EPOCH_IGNORED);
  for (uint8_t i = 0; i < s->log_len; i++)
    if (!s->log[i].claim && s->log[i].id == record.id)
      record.valid = false;
  s->log[s->log_len++] = record;
}

static uint8_t
usable_balance (const struct transfer_state *s, uint8_t side)
{
  const struct owner *owner = &s->owners[side];
  const struct owner *other = &s->owners[1 - side];
  uint8_t epoch;
  uint8_t balance = balance_after (s, owner->records_read, side, &epoch);

  if (s->variant == T_USE_BEFORE_READ && other->appending)
    balance += other->transfer.amount;
  if (s->variant == T_NO_RESERVATION)
    return balance;
  return balance > owner->reserved ? balance - owner->reserved : 0;
}

static void
expand_tasks (const struct transfer_state *s, uint8_t side,
              struct tst_model_run *run)
{
  struct transfer_state next = *s;
  struct owner *owner = &next.owners[side];
  uint8_t epoch;

  if (owner->claim_read && s->used[side] < usable_balance (s, side))
    {
      next.used[side]++;
      tst_model_emit (run, &next, STEP (T_START, side));
    }
  next = *s;
  if (s->task_ends > 0 && s->used[side] > 0)
    {
      next.task_ends--;
      next.used[side]--;
      tst_model_emit (run, &next, STEP (T_END, side));
    }
  for (uint8_t amount = 1; amount <= 2; amount++)
    {
      next = *s;
      if (s->transfer_count == 0 || !owner->claim_read || owner->appending
          || owner->awaiting_read
          || s->used[side] + amount > usable_balance (s, side))
        continue;
      next.transfer_count--;
      owner->appending = true;
      owner->reserved += amount;
      owner->transfer = (struct record){ .from = side,
                                         .amount = amount,
                                         .epoch = owner->epoch,
                                         .id = next.next_id++ };
      owner->transfer.balance
          = balance_after (s, owner->records_read, side, &epoch);
      tst_model_emit (run, &next, STEP (T_SEND, side));
    }
}

static void
read_record (struct transfer_state *s, uint8_t side)
{
  struct owner *owner = &s->owners[side];
  const struct record *record = &s->log[owner->records_read++];

  if (record->claim && record->from == side && record->epoch == owner->epoch)
    owner->claim_read = true;
  if (!owner->awaiting_read || record->claim
      || record->id != owner->transfer.id)
    return;
  /* If accepted, the record has lowered the balance itself; if refused, the
     amount becomes usable again. */
  owner->awaiting_read = false;
  owner->reserved -= record->amount;
}

static void
expand_log (const struct transfer_state *s, uint8_t side,
            struct tst_model_run *run)
{
  struct transfer_state next = *s;
  struct owner *owner = &next.owners[side];

  if (owner->appending)
    {
      append_record (&next, owner->transfer);
      owner->appending = false;
      owner->awaiting_read = true;
      tst_model_emit (run, &next, STEP (T_APPEND, side));
      next = *s;
    }
  if (owner->awaiting_read && s->repeated_appends > 0)
    {
      next.repeated_appends--;
      append_record (&next, owner->transfer);
      tst_model_emit (run, &next, STEP (T_REPEAT, side));
      next = *s;
    }
  if (owner->appending && s->lost_answers > 0 && !s->has_orphan)
    {
      next.lost_answers--;
      next.has_orphan = true;
      next.orphan = owner->transfer;
      owner->appending = false;
      /* The amount stays reserved until the record is read back. */
      owner->awaiting_read = s->variant != T_UNKNOWN_IS_REFUSED;
      if (s->variant == T_UNKNOWN_IS_REFUSED)
        owner->reserved -= owner->transfer.amount;
      tst_model_emit (run, &next, STEP (T_LOSE_ANSWER, side));
      next = *s;
    }
  if (owner->records_read < s->log_len)
    {
      read_record (&next, side);
      tst_model_emit (run, &next, STEP (T_READ, side));
      next = *s;
    }
  if (s->crashes > 0 && s->log_len < MAX_LOG_RECORDS)
    {
      next.crashes--;
      if (owner->appending && !s->has_orphan)
        {
          next.has_orphan = true;
          next.orphan = owner->transfer;
        }
      *owner = (struct owner){ .epoch = owner->epoch + 1,
                               .records_read = owner->records_read };
      next.log[next.log_len++] = (struct record){
        .claim = true, .from = side, .epoch = owner->epoch, .valid = true
      };
      tst_model_emit (run, &next, STEP (T_CRASH, side));
    }
}

static void
transfer_expand (const void *state, struct tst_model_run *run)
{
  const struct transfer_state *s = state;
  struct transfer_state next = *s;

  for (uint8_t side = 0; side < SIDES; side++)
    {
      expand_tasks (s, side, run);
      expand_log (s, side, run);
    }
  if (!s->has_orphan)
    return;
  next.has_orphan = false;
  append_record (&next, s->orphan);
  tst_model_emit (run, &next, STEP (T_APPEND_ORPHAN, s->orphan.from));
}

static const char *
transfer_violation (const void *state)
{
  const struct transfer_state *s = state;
  uint8_t epoch;
  int sum = 0;

  for (uint8_t side = 0; side < SIDES; side++)
    sum += balance_after (s, s->log_len, side, &epoch);
  if (sum != TEAM_LIMIT)
    return "the balances do not add up to the limit";
  if (s->used[0] + s->used[1] > TEAM_LIMIT)
    return "more tasks run than the limit allows";
  return NULL;
}

static size_t
transfer_key (const void *state, uint8_t out[TST_MODEL_KEY_MAX_BYTES])
{
  /* All members are bytes, so the state itself serves as its key. */
  _Static_assert(sizeof (struct transfer_state) < TST_MODEL_KEY_MAX_BYTES,
                 "key too short");
  memcpy (out, state, sizeof (struct transfer_state));
  return sizeof (struct transfer_state);
}

static const struct tst_model transfers
    = { .name = "transfers",
        .state_bytes = sizeof (struct transfer_state),
        .max_states = 2000000,
        .expand = transfer_expand,
        .key = transfer_key,
        .violation = transfer_violation,
        .describe = describe_transfer_step };

struct transfer_case
{
  const char *name;
  enum transfer_variant variant;
  uint8_t transfer_count, lost_answers, repeated_appends, crashes, task_ends;
  bool violation_expected;
};

static const struct transfer_case transfer_cases[] = {
  { "two transfers, lost answer, repeated append", T_CORRECT, 2, 1, 1, 0, 1,
    false },
  { "two transfers, crash", T_CORRECT, 2, 0, 0, 1, 1, false },
  { "one transfer, lost answer, repeated append, crash", T_CORRECT, 1, 1, 1, 1,
    1, false },
  { "broken: the amount is not reserved first", T_NO_RESERVATION, 1, 0, 0, 0,
    0, true },
  { "broken: a lost answer counts as a refusal", T_UNKNOWN_IS_REFUSED, 1, 1, 0,
    0, 0, true },
  { "broken: an amount is used before its record is read", T_USE_BEFORE_READ,
    2, 0, 0, 0, 0, true },
  { "broken: a transfer of an earlier owner is accepted", T_EPOCH_IGNORED, 1,
    0, 0, 1, 0, true },
};

/* Guards against a team that exceeds its limit while parts of the limit are
   transferred between domains. */
static void
transfers_never_exceed_the_limit (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof transfer_cases / sizeof transfer_cases[0]; i++)
    {
      const struct transfer_case *tc = &transfer_cases[i];
      struct tst_model_result got;
      static struct transfer_state first;

      memset (&first, 0, sizeof first);
      first.variant = tc->variant;
      first.transfer_count = tc->transfer_count;
      first.lost_answers = tc->lost_answers;
      first.repeated_appends = tc->repeated_appends;
      first.crashes = tc->crashes;
      first.task_ends = tc->task_ends;
      for (int side = 0; side < SIDES; side++)
        first.owners[side] = (struct owner){ .epoch = 1, .claim_read = true };
      tst_model_run (&transfers, &first, &got);
      tst_model_print (&transfers, &got, tc->name);
      assert_int_equal (got.violation != NULL, tc->violation_expected);
      assert_true (got.states < transfers.max_states);
    }
}

/* Once-only requests: a client sends one request id repeatedly, to either
   gateway. The table is that of cyclamendrum/once.h. */

enum once_variant
{
  O_CORRECT,
  O_SEND_BEFORE_APPENDED, /**< sends before its intent is appended */
  O_SEND_ON_APPENDED, /**< sends when its intent is appended, not read back */
  O_ANY_INTENT, /**< sends when its intent is read, even if another won */
  O_INCARNATION_IGNORED, /**< a restarted gateway counts the win of its earlier
                            incarnation as its own */
  O_SENT_NOT_NOTED       /**< does not note that it has sent the request */
};

struct gateway
{
  uint8_t incarnation;
  uint8_t records_read;
  bool appending;
  bool awaiting_read; /**< waits to read its intent back */
  bool sent;
};

struct once_state
{
  enum once_variant variant;
  uint8_t attempts;
  uint8_t lost_answers;
  uint8_t repeated_appends;
  uint8_t crashes;
  uint8_t sends; /**< total over both gateways */
  struct gateway gateways[SIDES];
  uint8_t log_len;
  uint8_t log[MAX_LOG_RECORDS]; /**< side << 4 | incarnation */
  uint8_t orphan;               /**< 0: none */
};

enum once_step
{
  O_RECEIVE,
  O_APPEND,
  O_REPEAT,
  O_LOSE_ANSWER,
  O_APPEND_ORPHAN,
  O_READ,
  O_CRASH
};

static void
describe_once_step (uint32_t step, char out[80])
{
  static const char *const texts[] = {
    "receives the request and appends an intent",
    "its intent is written",
    "its intent is written a second time",
    "the answer to its append is lost; it stops waiting",
    "the intent without a waiting writer is written",
    "reads the next record",
    "crashes and restarts",
  };

  snprintf (out, 80, "gateway %u: %s", step & 15, texts[step >> 4]);
}

/* Returns the entry that the gateway writes to once_state.log. */
static uint8_t
encode_writer (const struct once_state *s, uint8_t side)
{
  return (uint8_t)(side << 4 | s->gateways[side].incarnation);
}

/* Returns the winner in the table after @p len records, in the form of
   once_state.log; 0: none. */
static uint8_t
winner_after (const struct once_state *s, uint8_t len)
{
  static const char *const names[] = { "gw-0", "gw-1" };
  struct cyc_findings found = { 0 };
  struct cyc_once once;
  struct cyc_once_entry entry;
  struct cyc_once_intent intent = { .request_id = { { 7 } } };
  uint8_t winner = 0;

  assert_true (cyc_once_setup (
      &once, &(struct cyc_once_desc){ .max_requests = 2 }, &found));
  for (uint8_t i = 0; i < len; i++)
    {
      struct cyc_id128 incarnation = { { s->log[i] & 15 } };
      struct cyc_str record;

      assert_true (cyc_rec_intents (&(struct cyc_id128){ { i } },
                                    cyc_str_of (names[s->log[i] >> 4]),
                                    &incarnation, &intent, 1, &record));
      assert_true (cyc_once_apply (&once, i, record, i));
      free ((char *)record.data);
    }
  if (cyc_once_find (&once, &intent.request_id, &entry))
    winner = (uint8_t)((entry.gateway.data[3] - '0') << 4
                       | entry.incarnation.bytes[0]);
  cyc_once_shutdown (&once);
  return winner;
}

static void
send_request (struct once_state *s, uint8_t side)
{
  struct gateway *gateway = &s->gateways[side];

  gateway->awaiting_read = false;
  if (gateway->sent)
    return;
  s->sends++;
  gateway->sent = s->variant != O_SENT_NOT_NOTED;
}

static void
read_intent (struct once_state *s, uint8_t side)
{
  struct gateway *gateway = &s->gateways[side];
  uint8_t entry = s->log[gateway->records_read++];
  uint8_t winner = winner_after (s, gateway->records_read);
  bool mine = winner == encode_writer (s, side);

  if (s->variant == O_INCARNATION_IGNORED)
    mine = winner >> 4 == side;
  if (s->variant == O_ANY_INTENT)
    mine = true;
  if (!gateway->awaiting_read || entry != encode_writer (s, side))
    return;
  gateway->awaiting_read = false;
  if (mine)
    send_request (s, side);
}

static void
expand_gateway (const struct once_state *s, uint8_t side,
                struct tst_model_run *run)
{
  struct once_state next = *s;
  struct gateway *gateway = &next.gateways[side];

  if (s->attempts > 0 && !gateway->appending && !gateway->awaiting_read)
    {
      next.attempts--;
      gateway->appending = true;
      gateway->awaiting_read = true;
      if (s->variant == O_SEND_BEFORE_APPENDED)
        send_request (&next, side);
      tst_model_emit (run, &next, STEP (O_RECEIVE, side));
      next = *s;
    }
  if (gateway->appending && s->log_len < MAX_LOG_RECORDS)
    {
      next.log[next.log_len++] = encode_writer (s, side);
      gateway->appending = false;
      if (s->variant == O_SEND_ON_APPENDED)
        send_request (&next, side);
      tst_model_emit (run, &next, STEP (O_APPEND, side));
      next = *s;
    }
  if (!gateway->appending && gateway->awaiting_read && s->repeated_appends > 0
      && s->log_len < MAX_LOG_RECORDS)
    {
      next.repeated_appends--;
      next.log[next.log_len++] = encode_writer (s, side);
      tst_model_emit (run, &next, STEP (O_REPEAT, side));
      next = *s;
    }
  if (gateway->appending && s->lost_answers > 0 && s->orphan == 0)
    {
      next.lost_answers--;
      next.orphan = encode_writer (s, side);
      gateway->appending = false;
      gateway->awaiting_read = false;
      tst_model_emit (run, &next, STEP (O_LOSE_ANSWER, side));
      next = *s;
    }
  if (gateway->records_read < s->log_len)
    {
      read_intent (&next, side);
      tst_model_emit (run, &next, STEP (O_READ, side));
      next = *s;
    }
  if (s->crashes > 0)
    {
      next.crashes--;
      if (gateway->appending && s->orphan == 0)
        next.orphan = encode_writer (s, side);
      *gateway = (struct gateway){ .incarnation = gateway->incarnation + 1 };
      tst_model_emit (run, &next, STEP (O_CRASH, side));
    }
}

static void
once_expand (const void *state, struct tst_model_run *run)
{
  const struct once_state *s = state;
  struct once_state next = *s;

  for (uint8_t side = 0; side < SIDES; side++)
    expand_gateway (s, side, run);
  if (s->orphan == 0 || s->log_len == MAX_LOG_RECORDS)
    return;
  next.log[next.log_len++] = s->orphan;
  next.orphan = 0;
  tst_model_emit (run, &next, STEP (O_APPEND_ORPHAN, s->orphan >> 4));
}

static const char *
once_violation (const void *state)
{
  const struct once_state *s = state;

  return s->sends > 1 ? "the request was sent twice" : NULL;
}

static size_t
once_key (const void *state, uint8_t out[TST_MODEL_KEY_MAX_BYTES])
{
  _Static_assert(sizeof (struct once_state) < TST_MODEL_KEY_MAX_BYTES,
                 "key too short");
  memcpy (out, state, sizeof (struct once_state));
  return sizeof (struct once_state);
}

static const struct tst_model once_only
    = { .name = "once only",
        .state_bytes = sizeof (struct once_state),
        .max_states = 400000,
        .expand = once_expand,
        .key = once_key,
        .violation = once_violation,
        .describe = describe_once_step };

struct once_case
{
  const char *name;
  enum once_variant variant;
  uint8_t attempts, lost_answers, repeated_appends, crashes;
  bool violation_expected;
};

static const struct once_case once_cases[] = {
  { "three attempts, lost answer, repeated append, crash", O_CORRECT, 3, 1, 1,
    1, false },
  { "four attempts, crash", O_CORRECT, 4, 0, 0, 1, false },
  { "broken: sent before the intent was appended", O_SEND_BEFORE_APPENDED, 2,
    0, 0, 0, true },
  { "broken: sent when the append was answered", O_SEND_ON_APPENDED, 2, 0, 0,
    0, true },
  { "broken: sent for any own intent", O_ANY_INTENT, 2, 0, 0, 0, true },
  { "broken: a restarted gateway takes over an earlier win",
    O_INCARNATION_IGNORED, 2, 0, 0, 1, true },
  { "broken: the gateway forgets that it has sent", O_SENT_NOT_NOTED, 2, 0, 0,
    0, true },
};

/* Guards against a once-only request that is sent twice. */
static void
a_request_is_sent_at_most_once (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof once_cases / sizeof once_cases[0]; i++)
    {
      const struct once_case *oc = &once_cases[i];
      struct tst_model_result got;
      static struct once_state first;

      memset (&first, 0, sizeof first);
      first.variant = oc->variant;
      first.attempts = oc->attempts;
      first.lost_answers = oc->lost_answers;
      first.repeated_appends = oc->repeated_appends;
      first.crashes = oc->crashes;
      for (int side = 0; side < SIDES; side++)
        first.gateways[side].incarnation = 1;
      tst_model_run (&once_only, &first, &got);
      tst_model_print (&once_only, &got, oc->name);
      assert_int_equal (got.violation != NULL, oc->violation_expected);
      assert_true (got.states < once_only.max_states);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (transfers_never_exceed_the_limit),
    cmocka_unit_test (a_request_is_sent_at_most_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
