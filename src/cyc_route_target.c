#include "cyc_route.h"

#include <string.h>

/* Consecutive failures after which a target is ejected. */
#define EJECT_CONSECUTIVE_FAILURES 5
/* At most one fifth of the targets of a queue is ejected (but always one if
   the queue has two or more), so that a fault of the service itself does not
   remove all its targets. */
#define EJECTED_MAX_DIVISOR 5
#define PROBE_DELAY_MIN_US 500000
#define PROBE_DELAY_MAX_US 30000000
/* A target that refused to start a request gets no request for this time,
   which doubles with each further consecutive refusal. */
#define REFUSAL_PAUSE_MIN_US UINT64_C (20000)
#define REFUSAL_DOUBLINGS_MAX 6
#define SLOW_FACTOR_MAX 8
/* A flight counts as silent only after this multiple of the queue's mean
   answer time, so that slow answers are not taken for silence. */
#define SILENCE_ANSWER_TIME_FACTOR 4
#define RETRY_TOKEN_COST 1000
#define RETRY_BACKOFF_MIN_US 10000
#define RETRY_BACKOFF_MAX_US 1000000

uint32_t
rt_base_slots (const struct cyc_rt_state *state,
               const struct rt_worker *worker)
{
  return state->has_base_share && state->seats > 0
             ? worker->slots / state->seats
             : 0;
}

static uint32_t
base_connections (const struct cyc_rt_state *state,
                  const struct rt_worker *worker)
{
  return state->has_base_share && state->seats > 0
             ? worker->connections / state->seats
             : 0;
}

/* Lent connections count only for a gateway without a base share of
   connections, because an idle connection outlives the permit under which it
   was opened. */
uint32_t
rt_permitted (const struct cyc_rt_state *state, const struct rt_worker *worker,
              uint64_t now_us)
{
  bool lent = worker->lent_deadline_us > now_us;
  uint32_t slots
      = rt_base_slots (state, worker) + (lent ? worker->lent_slots : 0);
  uint32_t connections = base_connections (state, worker);

  if (connections == 0 && lent)
    connections = worker->lent_connections;
  if (slots > worker->slots)
    slots = worker->slots;
  return slots < connections ? slots : connections;
}

uint32_t
cyc_rt_connection_limit (const struct cyc_route *rt)
{
  const struct cyc_rt_state *state = rt->state;
  uint32_t bound = UINT32_MAX;

  for (uint32_t i = 0; i < state->worker_pool.high; i++)
    if (cyc_pool_used_at (&state->worker_pool, i))
      {
        uint32_t base = base_connections (state, &state->workers[i]);

        bound = base < bound ? base : bound;
      }
  return bound == UINT32_MAX || bound == 0 ? 1 : bound;
}

static bool
can_accept (const struct cyc_rt_state *state, const struct rt_worker *worker,
            const struct rt_wait *wait, uint64_t now_us)
{
  if (worker->leaving || now_us < worker->paused_until_us
      || worker->in_use >= rt_permitted (state, worker, now_us))
    return false;
  if (worker->health != CYC_RT_LIVE)
    return !wait->once && worker->in_use == 0
           && now_us >= worker->next_probe_us;
  return true;
}

/* Returns the requests on the target times the ratio of its mean answer time
   to that of the queue, limited to the range from 1 to SLOW_FACTOR_MAX. A slow
   target thus gets fewer requests, down to an eighth. */
static uint64_t
weighted_load (const struct rt_worker *worker, const struct rt_queue *queue)
{
  uint64_t factor = 1000;

  if (worker->mean_answer_us > 0 && queue->mean_answer_us > 0)
    factor = worker->mean_answer_us * 1000 / queue->mean_answer_us;
  if (factor < 1000)
    factor = 1000;
  if (factor > (uint64_t)SLOW_FACTOR_MAX * 1000)
    factor = (uint64_t)SLOW_FACTOR_MAX * 1000;
  return (worker->in_use + 1) * factor;
}

static uint32_t
scan_targets (struct cyc_rt_state *state, const struct rt_queue *queue,
              const struct rt_wait *wait, uint64_t now_us)
{
  uint32_t first = (uint32_t)(rt_random (state) % queue->count);
  uint32_t avoided = RT_NONE;

  for (uint32_t i = 0; i < queue->count; i++)
    {
      uint32_t row = state->target_rows[queue->first_target
                                        + (first + i) % queue->count];

      if (!can_accept (state, &state->workers[row], wait, now_us))
        continue;
      if (!cyc_name_eq (&state->workers[row].name, &wait->avoid))
        return row;
      avoided = row;
    }
  return avoided;
}

static uint32_t
draw_target (struct cyc_rt_state *state, const struct rt_queue *queue,
             const struct rt_wait *wait, uint64_t now_us)
{
  uint32_t row
      = state->target_rows[queue->first_target
                           + (uint32_t)(rt_random (state) % queue->count)];

  if (!can_accept (state, &state->workers[row], wait, now_us)
      || cyc_name_eq (&state->workers[row].name, &wait->avoid))
    return RT_NONE;
  return row;
}

uint32_t
rt_choose_worker (struct cyc_rt_state *state, const struct rt_queue *queue,
                  const struct rt_wait *wait, uint64_t now_us)
{
  uint32_t first;
  uint32_t second;

  if (queue->count == 0)
    return RT_NONE;
  first = draw_target (state, queue, wait, now_us);
  second = draw_target (state, queue, wait, now_us);
  if (first == RT_NONE && second == RT_NONE)
    return scan_targets (state, queue, wait, now_us);
  if (first == RT_NONE || second == RT_NONE)
    return first == RT_NONE ? second : first;
  return weighted_load (&state->workers[first], queue)
                 <= weighted_load (&state->workers[second], queue)
             ? first
             : second;
}

static uint64_t
probe_delay_us (const struct rt_worker *worker)
{
  uint64_t delay_us = PROBE_DELAY_MIN_US;

  for (uint32_t i = 0;
       i < worker->failed_probes && delay_us < PROBE_DELAY_MAX_US; i++)
    delay_us *= 2;
  return delay_us < PROBE_DELAY_MAX_US ? delay_us : PROBE_DELAY_MAX_US;
}

static void
set_health (struct rt_worker *worker, enum cyc_rt_health health,
            uint64_t now_us)
{
  if (health == CYC_RT_LIVE)
    {
      worker->consecutive_failures = 0;
      worker->failed_probes = 0;
    }
  else
    {
      worker->next_probe_us = now_us + probe_delay_us (worker);
      worker->failed_probes++;
    }
  worker->health = health;
}

/* Delays the next probe of a target that is not live, so that no second probe
   is sent while the first is in flight. */
void
rt_count_sent (struct cyc_rt_state *state, struct rt_worker *worker,
               uint64_t now_us)
{
  worker->in_use++;
  if (worker->in_use > worker->peak_in_use)
    worker->peak_in_use = worker->in_use;
  if (worker->health != CYC_RT_LIVE)
    worker->next_probe_us = now_us + state->desc.silent_us;
}

static bool
ejection_allowed (const struct cyc_rt_state *state,
                  const struct rt_queue *queue)
{
  uint32_t ejected = 0;

  for (uint32_t i = 0; i < queue->count; i++)
    ejected
        += state->workers[state->target_rows[queue->first_target + i]].health
           == CYC_RT_EJECTED;
  return (ejected + 1) * EJECTED_MAX_DIVISOR <= queue->count
         || (ejected == 0 && queue->count > 1);
}

static void
count_failure (struct cyc_rt_state *state, const struct rt_queue *queue,
               struct rt_worker *worker, uint64_t now_us)
{
  bool eject
      = worker->health == CYC_RT_EJECTED
        || (worker->health == CYC_RT_LIVE
            && worker->consecutive_failures + 1 >= EJECT_CONSECUTIVE_FAILURES
            && ejection_allowed (state, queue));

  worker->consecutive_failures++;
  if (eject)
    set_health (worker, CYC_RT_EJECTED, now_us);
  else if (worker->health == CYC_RT_SUSPECT)
    set_health (worker, CYC_RT_LIVE, now_us);
}

static void
update_mean (uint64_t *mean_answer_us, uint64_t sample_us)
{
  if (sample_us == 0)
    sample_us = 1;
  *mean_answer_us = *mean_answer_us == 0
                        ? sample_us
                        : (*mean_answer_us * 7 + sample_us) / 8;
}

static void
apply_flight_end (struct cyc_rt_state *state, struct rt_flight *flight,
                  enum cyc_rt_end end, uint64_t now_us)
{
  struct rt_worker *worker = &state->workers[flight->worker];
  struct rt_queue *queue = &state->queues[flight->queue];

  switch (end)
    {
    case CYC_RT_ANSWERED:
      update_mean (&worker->mean_answer_us, now_us - flight->sent_us);
      update_mean (&queue->mean_answer_us, now_us - flight->sent_us);
      worker->last_answer_us = now_us;
      worker->consecutive_failures = 0;
      worker->consecutive_refusals = 0;
      if (worker->health != CYC_RT_LIVE)
        set_health (worker, CYC_RT_LIVE, now_us);
      break;
    case CYC_RT_FAILED:
      worker->last_answer_us = now_us;
      count_failure (state, queue, worker, now_us);
      break;
    case CYC_RT_REFUSED:
      worker->last_answer_us = now_us;
      worker->paused_until_us
          = now_us + (REFUSAL_PAUSE_MIN_US << worker->consecutive_refusals);
      if (worker->consecutive_refusals < REFUSAL_DOUBLINGS_MAX)
        worker->consecutive_refusals++;
      break;
    case CYC_RT_NOT_CONNECTED:
      if (worker->last_answer_us < flight->sent_us)
        set_health (worker, CYC_RT_SUSPECT, now_us);
      break;
    case CYC_RT_CLOSED:
    case CYC_RT_LOST:
      worker->fresh_connections_until_us = now_us + 4 * state->desc.silent_us;
      if (worker->health != CYC_RT_LIVE)
        set_health (worker, worker->health, now_us);
      break;
    }
}

static void
free_flight (struct cyc_rt_state *state, uint32_t row)
{
  uint32_t worker = state->flights[row].worker;

  state->workers[worker].in_use--;
  cyc_pool_release (&state->flight_pool,
                    cyc_pool_ref_at (&state->flight_pool, row));
  rt_drop_if_unused (state, worker);
}

static uint64_t
slot_held_until_us (const struct cyc_rt_state *state,
                    const struct rt_flight *flight, enum cyc_rt_end end,
                    uint64_t now_us, uint64_t deadline_us)
{
  uint64_t usual_us = SILENCE_ANSWER_TIME_FACTOR
                      * state->queues[flight->queue].mean_answer_us;

  if (end == CYC_RT_LOST)
    return deadline_us + state->desc.clock_error_us;
  if (end != CYC_RT_CLOSED)
    return 0;
  return (now_us + usual_us < deadline_us ? now_us + usual_us : deadline_us)
         + state->desc.clock_error_us;
}

void
cyc_rt_finish (struct cyc_route *rt, struct cyc_ref ref, enum cyc_rt_end end,
               uint64_t now_us, uint64_t deadline_us)
{
  struct cyc_rt_state *state = rt->state;
  struct rt_flight *flight;

  if (!cyc_pool_live (&state->flight_pool, ref))
    return;
  flight = &state->flights[ref.index];
  if (flight->held_until_us != 0)
    return;
  apply_flight_end (state, flight, end, now_us);
  flight->held_until_us
      = slot_held_until_us (state, flight, end, now_us, deadline_us);
  if (flight->held_until_us <= now_us)
    free_flight (state, ref.index);
}

void
cyc_rt_tick (struct cyc_route *rt, uint64_t now_us)
{
  struct cyc_rt_state *state = rt->state;

  for (uint32_t i = 0; i < state->flight_pool.high; i++)
    if (cyc_pool_used_at (&state->flight_pool, i)
        && state->flights[i].held_until_us != 0
        && state->flights[i].held_until_us <= now_us)
      free_flight (state, i);
}

static bool
check_silence (struct cyc_rt_state *state, struct rt_flight *flight,
               uint64_t now_us)
{
  uint64_t usual_us = SILENCE_ANSWER_TIME_FACTOR
                      * state->queues[flight->queue].mean_answer_us;
  uint64_t bound_us = state->desc.silent_us;

  if (flight->once || flight->held_until_us != 0)
    return false;
  if (usual_us > bound_us)
    bound_us = usual_us;
  if (now_us < flight->next_silence_check_us
      || now_us - flight->sent_us < bound_us)
    return false;
  flight->next_silence_check_us = now_us + bound_us;
  return true;
}

/* Silence can be a fault of the connection alone. The target becomes suspect
   only if the flight used a new connection and the target has answered nothing
   since the flight was sent. */
static void
apply_silence (struct cyc_rt_state *state, const struct rt_flight *flight,
               uint64_t now_us)
{
  struct rt_worker *worker = &state->workers[flight->worker];

  worker->fresh_connections_until_us = now_us + 4 * state->desc.silent_us;
  if (flight->fresh_connection && worker->last_answer_us < flight->sent_us)
    set_health (worker, CYC_RT_SUSPECT, now_us);
}

uint32_t
cyc_rt_take_silent (struct cyc_route *rt, uint64_t now_us,
                    struct cyc_rt_silent_flight *out, uint32_t max)
{
  struct cyc_rt_state *state = rt->state;
  uint32_t count = 0;

  for (uint32_t i = 0; i < state->flight_pool.high && count < max; i++)
    {
      struct rt_flight *flight = &state->flights[i];

      if (!cyc_pool_used_at (&state->flight_pool, i)
          || !check_silence (state, flight, now_us))
        continue;
      apply_silence (state, flight, now_us);
      out[count++] = (struct cyc_rt_silent_flight){
        .flight = cyc_pool_ref_at (&state->flight_pool, i),
        .user = flight->user,
        .worker = state->workers[flight->worker].name,
      };
    }
  return count;
}

bool
cyc_rt_take_retry (struct cyc_route *rt, uint32_t attempt,
                   uint64_t deadline_us, uint64_t now_us, uint64_t *at_us)
{
  struct cyc_rt_state *state = rt->state;
  uint64_t delay_us = RETRY_BACKOFF_MIN_US;

  for (uint32_t i = 0; i < attempt && delay_us < RETRY_BACKOFF_MAX_US; i++)
    delay_us *= 2;
  if (delay_us > RETRY_BACKOFF_MAX_US)
    delay_us = RETRY_BACKOFF_MAX_US;
  delay_us = delay_us / 2 + rt_random (state) % (delay_us / 2 + 1);
  if (state->desc.no_retries || state->retry_tokens < RETRY_TOKEN_COST
      || now_us + delay_us >= deadline_us)
    return false;
  state->retry_tokens -= RETRY_TOKEN_COST;
  *at_us = now_us + delay_us;
  return true;
}

/* Recomputes backlog_slots of all workers: a queue needs one more slot for
   each waiting request, divided evenly over its targets and rounded up. */
static void
update_backlog_slots (struct cyc_rt_state *state)
{
  for (uint32_t i = 0; i < state->worker_pool.high; i++)
    state->workers[i].backlog_slots = 0;
  for (uint32_t i = 0; i < state->queue_count; i++)
    {
      const struct rt_queue *queue = &state->queues[i];
      uint32_t part = queue->waiting == 0 || queue->count == 0
                          ? 0
                          : (queue->waiting + queue->count - 1) / queue->count;

      for (uint32_t j = 0; part > 0 && j < queue->count; j++)
        state->workers[state->target_rows[queue->first_target + j]]
            .backlog_slots
            += part;
    }
}

static struct cyc_rt_permit_use
permit_use_of (const struct cyc_rt_state *state, struct rt_worker *worker,
               uint64_t now_us)
{
  uint32_t base = rt_base_slots (state, worker);
  uint32_t lent = worker->lent_deadline_us > now_us ? worker->lent_slots : 0;
  struct cyc_rt_permit_use use
      = { .worker = worker->name, .in_use = worker->in_use };

  use.wanted = worker->peak_in_use > base ? worker->peak_in_use - base : 0;
  if (worker->peak_in_use >= base)
    use.wanted += worker->backlog_slots;
  if (use.wanted > worker->slots || worker->leaving)
    use.wanted = worker->leaving ? 0 : worker->slots;
  /* Slots in use cannot be returned before their requests end. */
  if (lent > use.wanted && worker->in_use <= base + use.wanted)
    {
      use.returned = lent - use.wanted;
      worker->lent_slots = use.wanted;
    }
  worker->peak_in_use = worker->in_use;
  return use;
}

uint32_t
cyc_rt_demand (struct cyc_route *rt, uint64_t now_us,
               struct cyc_rt_permit_use *out, uint32_t max)
{
  struct cyc_rt_state *state = rt->state;
  uint32_t count = 0;

  update_backlog_slots (state);
  for (uint32_t i = 0; i < state->worker_pool.high && count < max; i++)
    {
      if (!cyc_pool_used_at (&state->worker_pool, i))
        continue;
      out[count] = permit_use_of (state, &state->workers[i], now_us);
      if (out[count].wanted > 0 || out[count].in_use > 0
          || out[count].returned > 0)
        count++;
    }
  return count;
}
