/* Cuts of regions: calls to workers that are cut off, and calls to an address
   that another worker has been given. */

#include "tst_region.h"

#include "tst_fleet_internal.h"

/* What waited for the end of a cut is delivered within this time. */
#define TOGETHER_MS 15
/* A hold to a worker whose last one had no answer. */
#define HOLD_ANSWER_MS 800
#define HOLD_RETRY_MS 400
/* Unanswered holds after which a worker counts as silent. */
#define HOLD_FAILURES_SILENT 2

static bool
is_cut (const struct fleet *fleet, uint32_t row)
{
  return fleet->workers[row].cut != FLEET_CUT_NONE;
}

void
fleet_cut_region (struct fleet *fleet, uint32_t region, enum fleet_cut cut,
                  bool store)
{
  for (uint32_t i = 0; i < fleet->worker_count; i++)
    {
      struct fleet_worker *worker = &fleet->workers[i];

      if (worker->region != region)
        continue;
      worker->cut = cut;
      worker->store_cut = store;
      worker->cut_born_ms = worker->born_ms;
    }
}

void
fleet_heal (struct fleet *fleet, uint32_t delay_max_ms)
{
  uint64_t delays_ms[FLEET_WORKERS_MAX];

  for (uint32_t i = 0; i < fleet->worker_count; i++)
    {
      fleet->workers[i].cut = FLEET_CUT_NONE;
      fleet->workers[i].store_cut = false;
      delays_ms[i] = fleet->now_ms
                     + (uint64_t)g_rand_int_range (fleet->cut_rand, 0,
                                                   (gint)delay_max_ms + 1);
    }
  for (guint i = 0; i < fleet->orders_in_flight->len; i++)
    {
      struct order_in_flight *in_flight
          = g_ptr_array_index (fleet->orders_in_flight, i);

      if (!in_flight->held)
        continue;
      in_flight->held = false;
      in_flight->due_ms
          = delays_ms[in_flight->order.worker]
            + (uint64_t)g_rand_int_range (fleet->cut_rand, 0, TOGETHER_MS);
    }
  for (guint i = 0; i < fleet->holds_in_flight->len; i++)
    {
      struct hold_in_flight *hold
          = g_ptr_array_index (fleet->holds_in_flight, i);

      if (!hold->held)
        continue;
      hold->held = false;
      hold->due_ms
          = delays_ms[hold->row]
            + (uint64_t)g_rand_int_range (fleet->cut_rand, 0, TOGETHER_MS);
    }
}

/* Returns whether another worker answers calls to the worker's address. */
static bool
is_replaced (const struct fleet *fleet, uint32_t row)
{
  const struct fleet_worker *worker = &fleet->workers[row];

  if (worker->up || worker->address == 0)
    return false;
  for (uint32_t i = 0; i < fleet->worker_count; i++)
    if (fleet->workers[i].up && fleet->workers[i].address == worker->address)
      return !is_cut (fleet, i);
  return false;
}

/* Reports how a call ended to which no process of the worker answered. */
static void
call_ended (struct fleet *fleet, uint32_t row, enum cell_call_end end,
            uint64_t sent_us)
{
  uint64_t now_us = fleet_now_us (fleet);

  if (end == CELL_CALL_BROKEN)
    cell_worker_broken (fleet->core, row, now_us, now_us);
  cell_worker_unanswered (fleet->core, row, end, sent_us, now_us);
  if (end == CELL_CALL_OTHER_INCARNATION)
    cell_worker_replaced (fleet->core, row, sent_us, now_us);
}

static void
order_ended (struct fleet *fleet, struct order_in_flight *in_flight,
             enum cell_call_end end, enum cell_start_result result)
{
  if (!in_flight->answered && in_flight->epoch == fleet->epoch)
    call_ended (fleet, in_flight->order.worker, end,
                in_flight->sent_ms * 1000);
  /* The result of one copy does not hold for another one. */
  fleet_answer_order (fleet, in_flight,
                      in_flight->answer_lost ? CELL_START_UNKNOWN : result,
                      false);
}

static void
keep_order (struct fleet *fleet, struct order_in_flight *in_flight)
{
  fleet->held_orders += !in_flight->was_held;
  in_flight->held = true;
  in_flight->was_held = true;
  in_flight->due_ms = UINT64_MAX;
  in_flight->call_end_ms = in_flight->sent_ms + FLEET_CALL_TIMEOUT_MS;
}

/* The call ends at once, or as if its connection was open already. */
static void
refuse_order (struct fleet *fleet, struct order_in_flight *in_flight)
{
  switch (g_rand_int_range (fleet->cut_rand, 0, 4))
    {
    case 0: /* a new connection */
      in_flight->executed = true;
      order_ended (fleet, in_flight, CELL_CALL_REFUSED,
                   CELL_START_REFUSED_OTHER);
      return;
    case 1: /* an open connection, ended before the order arrived */
      in_flight->executed = true;
      order_ended (fleet, in_flight, CELL_CALL_BROKEN, CELL_START_UNKNOWN);
      return;
    case 2: /* the same, but the order is on its way */
      keep_order (fleet, in_flight);
      order_ended (fleet, in_flight, CELL_CALL_BROKEN, CELL_START_UNKNOWN);
      return;
    default:
      keep_order (fleet, in_flight);
      return;
    }
}

bool
fleet_cut_order (struct fleet *fleet, struct order_in_flight *in_flight)
{
  uint32_t row = in_flight->order.worker;
  enum fleet_cut cut = fleet->workers[row].cut;

  if (cut == FLEET_CUT_REFUSING && !in_flight->was_held)
    refuse_order (fleet, in_flight);
  else if (cut == FLEET_CUT_SILENT || cut == FLEET_CUT_REFUSING)
    keep_order (fleet, in_flight);
  else if (in_flight->reconnects && is_replaced (fleet, row))
    {
      in_flight->executed = true;
      order_ended (fleet, in_flight, CELL_CALL_OTHER_INCARNATION,
                   CELL_START_REFUSED_OTHER);
    }
  else
    return false;
  return true;
}

/* Sends a hold that waits for the end of the cut or, if calls pass, its
   answer. */
static void
send_hold (struct fleet *fleet, uint32_t row)
{
  struct fleet_worker *worker = &fleet->workers[row];
  struct hold_in_flight *hold = g_new0 (struct hold_in_flight, 1);
  struct cell_worker_view view;

  cell_worker_view (fleet->core, row, &view);
  hold->row = row;
  hold->due_ms = fleet->now_ms;
  hold->epoch = fleet->epoch;
  hold->fence = fleet_call_fence (fleet, &fleet->workers[row], &view);
  hold->report.fenced_born_ms = fleet_fences_born_ms (&fleet->workers[row]);
  hold->born_ms = worker->cut_born_ms;
  hold->ack = view.ack;
  hold->unexecuted = true;
  hold->held = worker->cut != FLEET_CUT_ONE_WAY;
  hold->report.sent_us = fleet_now_us (fleet);
  hold->answer_until_us
      = hold->report.sent_us + HOLD_ANSWER_MS * 1000ULL
        + (worker->hold_failures == 0
               ? (FLEET_HOLD_TIMEOUT_MS - HOLD_ANSWER_MS) * 1000ULL
               : 0);
  /* A worker that did not answer is granted no new lease. */
  if (view.clock_ms != 0 && worker->hold_failures == 0)
    {
      hold->lease_deadline_ms = fleet_lease_deadline (fleet, &view);
      cell_worker_leased (fleet->core, row, hold->lease_deadline_ms);
    }
  g_ptr_array_add (fleet->holds_in_flight, hold);
}

static void
hold_failed (struct fleet *fleet, uint32_t row, enum cell_call_end end)
{
  struct fleet_worker *worker = &fleet->workers[row];

  call_ended (fleet, row, end, fleet_now_us (fleet));
  worker->hold_open = false;
  worker->hold_failures++;
  if (worker->hold_failures >= HOLD_FAILURES_SILENT)
    cell_worker_silent (fleet->core, row, fleet_now_us (fleet));
  worker->next_hold_ms
      = fleet->now_ms
        + (worker->hold_failures < HOLD_FAILURES_SILENT ? 0 : HOLD_RETRY_MS);
}

bool
fleet_cut_hold (struct fleet *fleet, uint32_t row)
{
  struct fleet_worker *worker = &fleet->workers[row];
  struct cell_worker_view view;

  cell_worker_view (fleet->core, row, &view);
  if (fleet->entries != NULL && !view.listed && view.runs == 0)
    return true;
  if (worker->hold_open)
    {
      /* It ends without an answer. */
      hold_failed (fleet, row, CELL_CALL_SILENT);
      return true;
    }
  if (is_replaced (fleet, row))
    {
      hold_failed (fleet, row, CELL_CALL_OTHER_INCARNATION);
      return true;
    }
  if (!is_cut (fleet, row))
    return false;
  send_hold (fleet, row);
  if (worker->cut == FLEET_CUT_REFUSING
      && g_rand_int_range (fleet->cut_rand, 0, 4) > 0)
    {
      struct hold_in_flight *hold = g_ptr_array_index (
          fleet->holds_in_flight, fleet->holds_in_flight->len - 1);

      /* Nobody awaits the answer any more. */
      hold->answer_until_us = 0;
      hold_failed (fleet, row,
                   g_rand_boolean (fleet->cut_rand) ? CELL_CALL_REFUSED
                                                    : CELL_CALL_BROKEN);
      return true;
    }
  worker->hold_open = true;
  worker->next_hold_ms = fleet->now_ms
                         + (worker->hold_failures == 0 ? FLEET_HOLD_TIMEOUT_MS
                                                       : HOLD_ANSWER_MS);
  return true;
}

bool
fleet_cut_keeps (struct fleet *fleet, struct hold_in_flight *hold)
{
  enum fleet_cut cut = fleet->workers[hold->row].cut;

  /* A late hold has reached the worker already. */
  if (cut == FLEET_CUT_NONE || hold->late)
    return false;
  if (hold->unexecuted && cut == FLEET_CUT_ONE_WAY
      && !fleet_carry_out_hold (fleet, hold))
    return false;
  hold->held = true;
  hold->due_ms = UINT64_MAX;
  return true;
}
