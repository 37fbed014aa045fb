#include "cyc_route.h"

#include <string.h>

/* Deficit that sending one request consumes. */
#define REQUEST_COST 1000
/* The retry budget accumulates up to 100 retries of 1000 tokens each. */
#define RETRY_TOKEN_LIMIT 100000
/* Mean answer time assumed for a queue without any answer yet. */
#define DEFAULT_ANSWER_TIME_US 100000

static void
ring_add (struct cyc_rt_state *state, uint32_t row)
{
  struct rt_team *team = &state->teams[row];

  if (state->cursor == RT_NONE)
    {
      team->next = row;
      team->previous = row;
      state->cursor = row;
      state->quantum_granted = false;
      return;
    }
  team->next = state->cursor;
  team->previous = state->teams[state->cursor].previous;
  state->teams[team->previous].next = row;
  state->teams[team->next].previous = row;
}

static void
ring_remove (struct cyc_rt_state *state, uint32_t row)
{
  struct rt_team *team = &state->teams[row];

  team->deficit = 0;
  if (state->cursor == row)
    {
      state->cursor = team->next == row ? RT_NONE : team->next;
      state->quantum_granted = false;
    }
  state->teams[team->previous].next = team->next;
  state->teams[team->next].previous = team->previous;
  team->next = RT_NONE;
  team->previous = RT_NONE;
}

static uint32_t
find_lane (const struct cyc_rt_state *state, uint32_t queue, uint32_t team)
{
  uint32_t row = state->queues[queue].first_lane;

  while (row != RT_NONE && state->lanes[row].team != team)
    row = state->lanes[row].next_of_queue;
  return row;
}

static uint32_t
add_lane (struct cyc_rt_state *state, uint32_t queue, uint32_t team)
{
  uint32_t row = find_lane (state, queue, team);

  if (row != RT_NONE || state->lane_count == state->desc.max_lanes)
    return row;
  row = state->lane_count++;
  state->lanes[row] = (struct rt_lane){
    .queue = queue,
    .team = team,
    .next_of_queue = state->queues[queue].first_lane,
    .next_of_team = state->teams[team].first_lane,
    .head = RT_NONE,
    .tail = RT_NONE,
  };
  state->queues[queue].first_lane = row;
  state->teams[team].first_lane = row;
  return row;
}

static void
lane_push (struct cyc_rt_state *state, uint32_t lane_row, uint32_t wait_row)
{
  struct rt_lane *lane = &state->lanes[lane_row];
  struct rt_wait *wait = &state->waits[wait_row];
  struct rt_team *team = &state->teams[lane->team];

  wait->lane = lane_row;
  wait->next = RT_NONE;
  wait->previous = lane->tail;
  if (lane->tail == RT_NONE)
    lane->head = wait_row;
  else
    state->waits[lane->tail].next = wait_row;
  lane->tail = wait_row;
  lane->waiting++;
  state->queues[lane->queue].waiting++;
  if (team->waiting++ == 0)
    ring_add (state, lane->team);
}

static void
lane_remove (struct cyc_rt_state *state, uint32_t wait_row)
{
  struct rt_wait *wait = &state->waits[wait_row];
  struct rt_lane *lane = &state->lanes[wait->lane];
  struct rt_team *team = &state->teams[lane->team];

  if (wait->previous == RT_NONE)
    lane->head = wait->next;
  else
    state->waits[wait->previous].next = wait->next;
  if (wait->next == RT_NONE)
    lane->tail = wait->previous;
  else
    state->waits[wait->next].previous = wait->previous;
  lane->waiting--;
  state->queues[lane->queue].waiting--;
  if (--team->waiting == 0)
    ring_remove (state, lane->team);
  cyc_pool_release (&state->wait_pool, wait->ref);
}

static uint64_t
slot_capacity (const struct cyc_rt_state *state, const struct rt_queue *queue,
               uint64_t now_us)
{
  uint64_t slots = 0;

  for (uint32_t i = 0; i < queue->count; i++)
    {
      const struct rt_worker *worker
          = &state->workers[state->target_rows[queue->first_target + i]];

      if (!worker->leaving && worker->health == CYC_RT_LIVE)
        slots += rt_permitted (state, worker, now_us);
    }
  return slots;
}

static uint32_t
nonzero_weight (uint32_t weight)
{
  return weight > 0 ? weight : 1;
}

/* Estimates the wait of a new request. The slots are divided by weight among
   the teams with requests waiting for the queue. Without any permitted slot
   the wait cannot be estimated; the result 0 then admits the request. */
static uint64_t
estimate_wait_us (const struct cyc_rt_state *state, uint32_t queue_row,
                  uint32_t team_row, uint32_t weight, uint64_t now_us)
{
  const struct rt_queue *queue = &state->queues[queue_row];
  uint64_t capacity = slot_capacity (state, queue, now_us);
  uint64_t mean_answer_us = queue->mean_answer_us > 0 ? queue->mean_answer_us
                                                      : DEFAULT_ANSWER_TIME_US;
  uint64_t weights = nonzero_weight (weight);
  uint64_t ahead = 0;

  if (queue->waiting == 0 || capacity == 0)
    return 0;
  for (uint32_t row = queue->first_lane; row != RT_NONE;
       row = state->lanes[row].next_of_queue)
    {
      if (state->lanes[row].team == team_row)
        ahead = state->lanes[row].waiting;
      else if (state->lanes[row].waiting > 0)
        weights
            += nonzero_weight (state->teams[state->lanes[row].team].weight);
    }
  return (ahead + 1) * mean_answer_us * weights
         / (capacity * nonzero_weight (weight));
}

uint64_t
cyc_rt_estimate_us (const struct cyc_route *rt, struct cyc_str queue,
                    struct cyc_str team, uint64_t now_us)
{
  uint32_t queue_row = rt_find_queue (rt->state, queue);
  uint32_t team_row = rt_find_team (rt->state, team);
  uint32_t weight
      = team_row == RT_NONE ? 1 : rt->state->teams[team_row].weight;

  return queue_row == RT_NONE ? 0
                              : estimate_wait_us (rt->state, queue_row,
                                                  team_row, weight, now_us);
}

static void
add_retry_tokens (struct cyc_rt_state *state,
                  const struct cyc_rt_request *request)
{
  if (request->is_retry)
    return;
  state->retry_tokens += state->desc.retry_permille;
  if (state->retry_tokens > RETRY_TOKEN_LIMIT)
    state->retry_tokens = RETRY_TOKEN_LIMIT;
}

enum cyc_rt_admission
cyc_rt_enqueue (struct cyc_route *rt, const struct cyc_rt_request *request,
                uint64_t now_us, struct cyc_ref *ticket)
{
  struct cyc_rt_state *state = rt->state;
  uint32_t queue = rt_find_queue (state, request->queue);
  uint32_t team = rt_add_team (state, request->team);
  uint32_t lane;
  struct rt_wait *wait;

  if (queue == RT_NONE || state->queues[queue].count == 0)
    return CYC_RT_NO_TARGET;
  if (team == RT_NONE)
    return CYC_RT_TABLE_FULL;
  state->teams[team].weight = request->weight;
  if (state->teams[team].waiting >= state->desc.max_waiting_per_team)
    return CYC_RT_TEAM_FULL;
  if (now_us + estimate_wait_us (state, queue, team, request->weight, now_us)
      >= request->deadline_us)
    return CYC_RT_TOO_LATE;
  lane = add_lane (state, queue, team);
  if (lane == RT_NONE)
    return CYC_RT_TABLE_FULL;
  *ticket = cyc_pool_take (&state->wait_pool);
  if (ticket->generation == 0)
    return CYC_RT_TABLE_FULL;
  wait = &state->waits[ticket->index];
  *wait = (struct rt_wait){ .ref = *ticket,
                            .once = request->once,
                            .avoid = request->avoid,
                            .user = request->user };
  lane_push (state, lane, ticket->index);
  add_retry_tokens (state, request);
  return CYC_RT_QUEUED;
}

bool
cyc_rt_dequeue (struct cyc_route *rt, struct cyc_ref ticket)
{
  if (!cyc_pool_live (&rt->state->wait_pool, ticket))
    return false;
  lane_remove (rt->state, ticket.index);
  return true;
}

/* Returns the longest lane of the team whose first request has a free target
   now, or RT_NONE. Sets @p worker to that target. */
static uint32_t
find_ready_lane (struct cyc_rt_state *state, const struct rt_team *team,
                 uint64_t now_us, uint32_t *worker)
{
  uint32_t best = RT_NONE;

  for (uint32_t row = team->first_lane; row != RT_NONE;
       row = state->lanes[row].next_of_team)
    {
      const struct rt_lane *lane = &state->lanes[row];
      uint32_t chosen;

      if (lane->waiting == 0
          || (best != RT_NONE && state->lanes[best].waiting >= lane->waiting))
        continue;
      chosen = rt_choose_worker (state, &state->queues[lane->queue],
                                 &state->waits[lane->head], now_us);
      if (chosen == RT_NONE)
        continue;
      best = row;
      *worker = chosen;
    }
  return best;
}

/* Sets ready_lane of every team with waiting requests and returns the greatest
   weight among the teams that can send now, or 0. */
static uint32_t
update_ready_lanes (struct cyc_rt_state *state, uint64_t now_us)
{
  uint32_t row = state->cursor;
  uint32_t heaviest = 0;

  do
    {
      struct rt_team *team = &state->teams[row];
      uint32_t worker;

      team->ready_lane = find_ready_lane (state, team, now_us, &worker);
      if (team->ready_lane != RT_NONE
          && nonzero_weight (team->weight) > heaviest)
        heaviest = nonzero_weight (team->weight);
      row = team->next;
    }
  while (row != state->cursor);
  return heaviest;
}

/* Deficit round robin. Each visit adds a quantum in proportion to the weight.
   The quantum of the heaviest ready team pays for a whole request, so one
   round always finds a team. Teams without a free target get no quantum. */
static uint32_t
next_team (struct cyc_rt_state *state, uint32_t heaviest)
{
  for (;;)
    {
      struct rt_team *team = &state->teams[state->cursor];

      if (team->ready_lane != RT_NONE)
        {
          if (!state->quantum_granted)
            team->deficit += (uint64_t)nonzero_weight (team->weight)
                             * REQUEST_COST / heaviest;
          state->quantum_granted = true;
          if (team->deficit >= REQUEST_COST)
            return state->cursor;
        }
      state->cursor = team->next;
      state->quantum_granted = false;
    }
}

static bool
start_flight (struct cyc_rt_state *state, uint32_t lane_row,
              uint32_t worker_row, uint64_t now_us, struct cyc_rt_send *out)
{
  struct rt_lane *lane = &state->lanes[lane_row];
  uint32_t wait_row = lane->head;
  const struct rt_wait *wait = &state->waits[wait_row];
  struct rt_worker *worker = &state->workers[worker_row];
  struct cyc_ref flight = cyc_pool_take (&state->flight_pool);

  if (flight.generation == 0)
    return false;
  *out = (struct cyc_rt_send){
    .flight = flight,
    .user = wait->user,
    .worker = worker->name,
    .fresh_connection = wait->once || worker->health != CYC_RT_LIVE
                        || now_us < worker->fresh_connections_until_us,
  };
  memcpy (out->address, worker->address, sizeof out->address);
  state->flights[flight.index] = (struct rt_flight){
    .worker = worker_row,
    .queue = lane->queue,
    .user = wait->user,
    .sent_us = now_us,
    .fresh_connection = out->fresh_connection,
    .once = wait->once,
  };
  rt_count_sent (state, worker, now_us);
  lane_remove (state, wait_row);
  return true;
}

bool
cyc_rt_next (struct cyc_route *rt, uint64_t now_us, struct cyc_rt_send *out)
{
  struct cyc_rt_state *state = rt->state;
  uint32_t heaviest;
  uint32_t row;
  uint32_t lane;
  uint32_t worker = RT_NONE;

  if (state->cursor == RT_NONE
      || state->flight_pool.used == state->desc.max_flights)
    return false;
  heaviest = update_ready_lanes (state, now_us);
  if (heaviest == 0)
    return false;
  row = next_team (state, heaviest);
  lane = find_ready_lane (state, &state->teams[row], now_us, &worker);
  if (lane == RT_NONE)
    return false;
  state->teams[row].deficit -= REQUEST_COST;
  return start_flight (state, lane, worker, now_us, out);
}
