/**
 * @file
 * Exhaustive checks of two protocols over the log in small instances:
 * transfers between the owners of two domains, and once-only requests at two
 * gateways. Appends are late, lost, repeated; one process crashes; a process
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

#define SIDES 2
#define MOST_LOG 8
#define LIMIT 4
#define STEP(kind, side) ((uint32_t)(kind) << 4 | (uint32_t)(side))

/* Transfers. */

enum transfer_variant
{
  T_RIGHT,
  T_NO_LOWERING,     /**< the sender uses what it has sent */
  T_RESTORE_ON_LOST, /**< a lost answer counts as a refusal */
  T_USE_BEFORE_READ, /**< the receiver uses what was only sent */
  T_NO_EPOCH         /**< the log's rule ignores the sender's epoch */
};

struct move
{
  bool claim; /**< a new owner of the side instead of a transfer */
  uint8_t from;
  uint8_t amount;
  uint8_t balance; /**< of `from` as its owner knew it */
  uint8_t epoch;
  uint8_t id;
  bool valid;
};

struct owner
{
  uint8_t epoch;
  bool ready; /**< has read its own claim */
  uint8_t read;
  uint8_t reserved; /**< usable balance was lowered by so much */
  bool sending;
  struct move move;
  bool written; /**< the move is in the log, not read back yet */
};

struct limits
{
  enum transfer_variant variant;
  uint8_t moves;
  uint8_t lost;
  uint8_t repeats;
  uint8_t crashes;
  uint8_t ends; /**< units that may end */
  uint8_t next_id;
  struct owner owners[SIDES];
  uint8_t used[SIDES]; /**< running; survives the owner */
  uint8_t log_len;
  struct move log[MOST_LOG];
  struct move orphan;
  bool has_orphan;
};

enum transfer_step
{
  T_START,
  T_END,
  T_SEND,
  T_WRITE,
  T_REPEAT,
  T_LOSE,
  T_ORPHAN,
  T_READ,
  T_CRASH
};

static void
transfer_text (uint32_t step, char out[80])
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

/* Balance of a side and its epoch after @p len records. */
static uint8_t
balance_after (const struct limits *s, uint8_t len, uint8_t side,
               uint8_t *epoch)
{
  uint8_t balance = LIMIT / SIDES;

  *epoch = 1;
  for (uint8_t i = 0; i < len; i++)
    {
      const struct move *move = &s->log[i];

      if (move->claim && move->from == side)
        *epoch = move->epoch;
      if (!move->valid || move->claim)
        continue;
      if (move->from == side)
        balance -= move->amount;
      else
        balance += move->amount;
    }
  return balance;
}

static void
write_move (struct limits *s, struct move move)
{
  uint8_t epoch;
  uint8_t balance = balance_after (s, s->log_len, move.from, &epoch);

  move.valid = move.amount <= balance && move.balance == balance
               && (move.epoch == epoch || s->variant == T_NO_EPOCH);
  for (uint8_t i = 0; i < s->log_len; i++)
    if (!s->log[i].claim && s->log[i].id == move.id)
      move.valid = false;
  s->log[s->log_len++] = move;
}

static uint8_t
usable (const struct limits *s, uint8_t side)
{
  const struct owner *owner = &s->owners[side];
  const struct owner *other = &s->owners[1 - side];
  uint8_t epoch;
  uint8_t balance = balance_after (s, owner->read, side, &epoch);

  if (s->variant == T_USE_BEFORE_READ && other->sending)
    balance += other->move.amount;
  if (s->variant == T_NO_LOWERING)
    return balance;
  return balance > owner->reserved ? balance - owner->reserved : 0;
}

static void
expand_tasks (const struct limits *s, uint8_t side, struct tst_model_run *run)
{
  struct limits next = *s;
  struct owner *owner = &next.owners[side];
  uint8_t epoch;

  if (owner->ready && s->used[side] < usable (s, side))
    {
      next.used[side]++;
      tst_model_emit (run, &next, STEP (T_START, side));
    }
  next = *s;
  if (s->ends > 0 && s->used[side] > 0)
    {
      next.ends--;
      next.used[side]--;
      tst_model_emit (run, &next, STEP (T_END, side));
    }
  for (uint8_t amount = 1; amount <= 2; amount++)
    {
      next = *s;
      if (s->moves == 0 || !owner->ready || owner->sending || owner->written
          || s->used[side] + amount > usable (s, side))
        continue;
      next.moves--;
      owner->sending = true;
      owner->reserved += amount;
      owner->move = (struct move){ .from = side,
                                   .amount = amount,
                                   .epoch = owner->epoch,
                                   .id = next.next_id++ };
      owner->move.balance = balance_after (s, owner->read, side, &epoch);
      tst_model_emit (run, &next, STEP (T_SEND, side));
    }
}

static void
read_move (struct limits *s, uint8_t side)
{
  struct owner *owner = &s->owners[side];
  const struct move *move = &s->log[owner->read++];

  if (move->claim && move->from == side && move->epoch == owner->epoch)
    owner->ready = true;
  if (!owner->written || move->claim || move->id != owner->move.id)
    return;
  /* Accepted, the balance itself is lower now; refused, it is restored. */
  owner->written = false;
  owner->reserved -= move->amount;
}

static void
expand_moves (const struct limits *s, uint8_t side, struct tst_model_run *run)
{
  struct limits next = *s;
  struct owner *owner = &next.owners[side];

  if (owner->sending)
    {
      write_move (&next, owner->move);
      owner->sending = false;
      owner->written = true;
      tst_model_emit (run, &next, STEP (T_WRITE, side));
      next = *s;
    }
  if (owner->written && s->repeats > 0)
    {
      next.repeats--;
      write_move (&next, owner->move);
      tst_model_emit (run, &next, STEP (T_REPEAT, side));
      next = *s;
    }
  if (owner->sending && s->lost > 0 && !s->has_orphan)
    {
      next.lost--;
      next.has_orphan = true;
      next.orphan = owner->move;
      owner->sending = false;
      /* The lowered balance stays lowered until the record is read back. */
      owner->written = s->variant != T_RESTORE_ON_LOST;
      if (s->variant == T_RESTORE_ON_LOST)
        owner->reserved -= owner->move.amount;
      tst_model_emit (run, &next, STEP (T_LOSE, side));
      next = *s;
    }
  if (owner->read < s->log_len)
    {
      read_move (&next, side);
      tst_model_emit (run, &next, STEP (T_READ, side));
      next = *s;
    }
  if (s->crashes > 0 && s->log_len < MOST_LOG)
    {
      next.crashes--;
      if (owner->sending && !s->has_orphan)
        {
          next.has_orphan = true;
          next.orphan = owner->move;
        }
      *owner
          = (struct owner){ .epoch = owner->epoch + 1, .read = owner->read };
      next.log[next.log_len++] = (struct move){
        .claim = true, .from = side, .epoch = owner->epoch, .valid = true
      };
      tst_model_emit (run, &next, STEP (T_CRASH, side));
    }
}

static void
transfer_expand (const void *state, struct tst_model_run *run)
{
  const struct limits *s = state;
  struct limits next = *s;

  for (uint8_t side = 0; side < SIDES; side++)
    {
      expand_tasks (s, side, run);
      expand_moves (s, side, run);
    }
  if (!s->has_orphan)
    return;
  next.has_orphan = false;
  write_move (&next, s->orphan);
  tst_model_emit (run, &next, STEP (T_ORPHAN, s->orphan.from));
}

static const char *
transfer_violation (const void *state)
{
  const struct limits *s = state;
  uint8_t epoch;
  int sum = 0;

  for (uint8_t side = 0; side < SIDES; side++)
    sum += balance_after (s, s->log_len, side, &epoch);
  if (sum != LIMIT)
    return "the allotments do not add up to the limit";
  if (s->used[0] + s->used[1] > LIMIT)
    return "more runs than the limit allows";
  return NULL;
}

static size_t
transfer_key (const void *state, uint8_t out[TST_MODEL_KEY_MAX_BYTES])
{
  /* All members are bytes, so the state itself is its key. */
  _Static_assert(sizeof (struct limits) < TST_MODEL_KEY_MAX_BYTES,
                 "key too short");
  memcpy (out, state, sizeof (struct limits));
  return sizeof (struct limits);
}

static const struct tst_model transfers
    = { .name = "transfers",
        .state_bytes = sizeof (struct limits),
        .max_states = 2000000,
        .expand = transfer_expand,
        .key = transfer_key,
        .violation = transfer_violation,
        .describe = transfer_text };

struct transfer_case
{
  const char *name;
  enum transfer_variant variant;
  uint8_t moves, lost, repeats, crashes, ends;
  bool breaks;
};

static const struct transfer_case transfer_cases[] = {
  { "two transfers, lost, repeated", T_RIGHT, 2, 1, 1, 0, 1, false },
  { "two transfers, crash", T_RIGHT, 2, 0, 0, 1, 1, false },
  { "one transfer, lost, crash", T_RIGHT, 1, 1, 1, 1, 1, false },
  { "broken: the balance is not lowered first", T_NO_LOWERING, 1, 0, 0, 0, 0,
    true },
  { "broken: a lost answer restores the balance", T_RESTORE_ON_LOST, 1, 1, 0,
    0, 0, true },
  { "broken: used before it was read", T_USE_BEFORE_READ, 2, 0, 0, 0, 0,
    true },
  { "broken: a transfer of an earlier owner counts", T_NO_EPOCH, 1, 0, 0, 1, 0,
    true },
};

/* Guards against a team that runs more than its limit while parts of it move
   between domains. */
static void
transfers_never_exceed_the_limit (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof transfer_cases / sizeof transfer_cases[0]; i++)
    {
      const struct transfer_case *tc = &transfer_cases[i];
      struct tst_model_result got;
      static struct limits first;

      memset (&first, 0, sizeof first);
      first.variant = tc->variant;
      first.moves = tc->moves;
      first.lost = tc->lost;
      first.repeats = tc->repeats;
      first.crashes = tc->crashes;
      first.ends = tc->ends;
      for (int side = 0; side < SIDES; side++)
        first.owners[side] = (struct owner){ .epoch = 1, .ready = true };
      tst_model_run (&transfers, &first, &got);
      tst_model_print (&transfers, &got, tc->name);
      assert_int_equal (got.violation != NULL, tc->breaks);
      assert_true (got.states < transfers.max_states);
    }
}

/* Once-only requests: one request id that the client presents again and again.
   The table is the real one. */

enum once_variant
{
  O_RIGHT,
  O_SEND_BEFORE_READ, /**< sends when its intent was appended */
  O_SEND_ON_OK,       /**< sends when the log said the intent is written */
  O_ANY_INTENT,       /**< sends when its own intent is read, first or not */
  O_NO_INCARNATION,   /**< a restarted gateway takes over its earlier win */
  O_FORGETS           /**< does not note that it has sent */
};

struct gateway
{
  uint8_t incarnation;
  uint8_t read;
  bool appending;
  bool waiting; /**< for its intent to be read back */
  bool sent;
};

struct once_state
{
  enum once_variant variant;
  uint8_t attempts;
  uint8_t lost;
  uint8_t repeats;
  uint8_t crashes;
  uint8_t sends; /**< in all */
  struct gateway gateways[SIDES];
  uint8_t log_len;
  uint8_t log[MOST_LOG]; /**< side << 4 | incarnation */
  uint8_t orphan;        /**< 0: none */
};

enum once_step
{
  O_PRESENT,
  O_WRITE,
  O_REPEAT,
  O_LOSE,
  O_ORPHAN,
  O_READ,
  O_CRASH
};

static void
once_text (uint32_t step, char out[80])
{
  static const char *const texts[] = {
    "is presented the request and appends an intent",
    "its intent is written",
    "its intent is written a second time",
    "the answer to its intent is lost; it gives up",
    "the intent without a waiting writer is written",
    "reads the next record",
    "crashes and restarts",
  };

  snprintf (out, 80, "gateway %u: %s", step & 15, texts[step >> 4]);
}

static uint8_t
writer (const struct once_state *s, uint8_t side)
{
  return (uint8_t)(side << 4 | s->gateways[side].incarnation);
}

/* Winner after @p len records, as the table sees it; 0: none. */
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

  gateway->waiting = false;
  if (gateway->sent)
    return;
  s->sends++;
  gateway->sent = s->variant != O_FORGETS;
}

static void
read_intent (struct once_state *s, uint8_t side)
{
  struct gateway *gateway = &s->gateways[side];
  uint8_t entry = s->log[gateway->read++];
  uint8_t winner = winner_after (s, gateway->read);
  bool mine = winner == writer (s, side);

  if (s->variant == O_NO_INCARNATION)
    mine = winner >> 4 == side;
  if (s->variant == O_ANY_INTENT)
    mine = true;
  if (!gateway->waiting || entry != writer (s, side))
    return;
  gateway->waiting = false;
  if (mine)
    send_request (s, side);
}

static void
expand_gateway (const struct once_state *s, uint8_t side,
                struct tst_model_run *run)
{
  struct once_state next = *s;
  struct gateway *gateway = &next.gateways[side];

  if (s->attempts > 0 && !gateway->appending && !gateway->waiting)
    {
      next.attempts--;
      gateway->appending = true;
      gateway->waiting = true;
      if (s->variant == O_SEND_BEFORE_READ)
        send_request (&next, side);
      tst_model_emit (run, &next, STEP (O_PRESENT, side));
      next = *s;
    }
  if (gateway->appending && s->log_len < MOST_LOG)
    {
      next.log[next.log_len++] = writer (s, side);
      gateway->appending = false;
      if (s->variant == O_SEND_ON_OK)
        send_request (&next, side);
      tst_model_emit (run, &next, STEP (O_WRITE, side));
      next = *s;
    }
  if (!gateway->appending && gateway->waiting && s->repeats > 0
      && s->log_len < MOST_LOG)
    {
      next.repeats--;
      next.log[next.log_len++] = writer (s, side);
      tst_model_emit (run, &next, STEP (O_REPEAT, side));
      next = *s;
    }
  if (gateway->appending && s->lost > 0 && s->orphan == 0)
    {
      next.lost--;
      next.orphan = writer (s, side);
      gateway->appending = false;
      gateway->waiting = false;
      tst_model_emit (run, &next, STEP (O_LOSE, side));
      next = *s;
    }
  if (gateway->read < s->log_len)
    {
      read_intent (&next, side);
      tst_model_emit (run, &next, STEP (O_READ, side));
      next = *s;
    }
  if (s->crashes > 0)
    {
      next.crashes--;
      if (gateway->appending && s->orphan == 0)
        next.orphan = writer (s, side);
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
  if (s->orphan == 0 || s->log_len == MOST_LOG)
    return;
  next.log[next.log_len++] = s->orphan;
  next.orphan = 0;
  tst_model_emit (run, &next, STEP (O_ORPHAN, s->orphan >> 4));
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
        .describe = once_text };

struct once_case
{
  const char *name;
  enum once_variant variant;
  uint8_t attempts, lost, repeats, crashes;
  bool breaks;
};

static const struct once_case once_cases[] = {
  { "three attempts, lost, repeated, crash", O_RIGHT, 3, 1, 1, 1, false },
  { "four attempts, crash", O_RIGHT, 4, 0, 0, 1, false },
  { "broken: sent before the intent was read back", O_SEND_BEFORE_READ, 2, 0,
    0, 0, true },
  { "broken: sent when the log said it is written", O_SEND_ON_OK, 2, 0, 0, 0,
    true },
  { "broken: sent for any own intent", O_ANY_INTENT, 2, 0, 0, 0, true },
  { "broken: a restarted gateway takes over its win", O_NO_INCARNATION, 2, 0,
    0, 1, true },
  { "broken: the gateway forgets that it has sent", O_FORGETS, 2, 0, 0, 0,
    true },
};

/* Guards against a request that may not be repeated and is sent twice. */
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
      first.lost = oc->lost;
      first.repeats = oc->repeats;
      first.crashes = oc->crashes;
      for (int side = 0; side < SIDES; side++)
        first.gateways[side].incarnation = 1;
      tst_model_run (&once_only, &first, &got);
      tst_model_print (&once_only, &got, oc->name);
      assert_int_equal (got.violation != NULL, oc->breaks);
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
