/**
 * @file
 * Routing core of a gateway: which request goes to which target, and when.
 *
 * The core keeps workers with their permits, the targets of each queue, the
 * requests that wait (fairly between teams), the requests in flight and the
 * retry budget. It uses no clock, socket or log; `now_us` is an argument.
 *
 * Steps of use: tell it the seats, targets and permits; enqueue requests; take
 * what may be sent with cyc_rt_next until it returns false; report the end of
 * each flight with cyc_rt_finish; call cyc_rt_tick and cyc_rt_take_silent each
 * tick.
 *
 * @code
 * struct cyc_rt_send send;
 * if (cyc_rt_enqueue (&rt, &request, now_us, &ticket) != CYC_RT_QUEUED)
 *   refuse ();
 * while (cyc_rt_next (&rt, now_us, &send))
 *   transmit (&send);
 * @endcode
 *
 * Errors: a full table is an explicit refusal (CYC_RT_TABLE_FULL).
 */
#ifndef CYCLAMENDRUM_ROUTE_H
#define CYCLAMENDRUM_ROUTE_H

#include <cyclamendrum/base.h>

#define CYC_RT_ADDRESS_BYTES 160

struct cyc_rt_desc
{
  struct cyc_allocator allocator;
  uint32_t max_workers;          /**< 0: 4,096 */
  uint32_t max_queues;           /**< 0: 16,384 */
  uint32_t max_targets;          /**< targets over all queues; 0: 32,768 */
  uint32_t max_teams;            /**< 0: 1,024 */
  uint32_t max_lanes;            /**< (queue, team) pairs; 0: 32,768 */
  uint32_t max_waiting;          /**< 0: 16,384 */
  uint32_t max_waiting_per_team; /**< 0: 1,024 */
  uint32_t max_flights;          /**< 0: 4,096 */
  uint32_t retry_permille;       /**< of the requests; 0: 100 */
  bool no_retries;
  uint64_t silent_us;      /**< 0: 2 s */
  uint64_t clock_error_us; /**< 0: 250 ms */
  uint64_t seed;           /**< of the random choices */
};

enum cyc_rt_admission
{
  CYC_RT_QUEUED = 0,
  CYC_RT_NO_TARGET,  /**< the queue has no target here */
  CYC_RT_TEAM_FULL,  /**< the team has its bound of waiting requests */
  CYC_RT_TABLE_FULL, /**< a table of this process is full */
  CYC_RT_TOO_LATE    /**< the estimated wait exceeds the deadline */
};

enum cyc_rt_health
{
  CYC_RT_LIVE = 0,
  CYC_RT_SUSPECT, /**< silent or unreachable, also on new connections */
  CYC_RT_EJECTED  /**< answers, but with failures only */
};

/** How a flight ended. */
enum cyc_rt_end
{
  CYC_RT_ANSWERED,      /**< complete answer */
  CYC_RT_FAILED,        /**< complete answer that states a server error */
  CYC_RT_REFUSED,       /**< the target refused before it started */
  CYC_RT_NOT_CONNECTED, /**< no connection: no byte left */
  CYC_RT_CLOSED,        /**< the target closed before a complete answer */
  CYC_RT_LOST           /**< given up by this gateway, maybe still running */
};

struct cyc_rt_target
{
  struct cyc_str worker;
  struct cyc_str address; /**< base URL */
  uint32_t slots;         /**< for all gateways together */
  uint32_t connections;
  bool leaving;
};

struct cyc_rt_request
{
  struct cyc_str queue;
  struct cyc_str team;
  uint32_t weight; /**< share in permille; 0 counts as 1 */
  uint64_t deadline_us;
  bool once;             /**< may not be repeated: new connections only */
  bool is_retry;         /**< a retry: not counted as load */
  struct cyc_name avoid; /**< worker of the failed attempt, or empty */
  uint64_t user;         /**< given back in cyc_rt_send */
};

/** One request to send now. */
struct cyc_rt_send
{
  struct cyc_ref flight;
  uint64_t user;
  struct cyc_name worker;
  char address[CYC_RT_ADDRESS_BYTES];
  bool fresh_connection;
};

/** Use of one worker's permits, for PermitDemand. */
struct cyc_rt_permit_use
{
  struct cyc_name worker;
  uint32_t wanted;   /**< slots beyond the base part that are of use now */
  uint32_t in_use;   /**< slots in use, held ones included */
  uint32_t returned; /**< lent slots given up by this call */
};

/** A flight on which no byte came for too long. */
struct cyc_rt_silent_flight
{
  struct cyc_ref flight;
  uint64_t user;
  struct cyc_name worker;
};

struct cyc_rt_worker_view
{
  struct cyc_name worker;
  enum cyc_rt_health health;
  bool leaving;
  uint32_t permitted; /**< slots this gateway may use now */
  uint32_t in_use;
};

struct cyc_route
{
  struct cyc_rt_state *state; /**< private */
};

bool cyc_rt_setup (struct cyc_route *rt, const struct cyc_rt_desc *desc,
                   struct cyc_findings *findings);
void cyc_rt_shutdown (struct cyc_route *rt);

/** Entry seats of the domain; @p base is false when this gateway must not use
 * its base part (its seat is taken by another process). */
void cyc_rt_set_seats (struct cyc_route *rt, uint32_t seats, bool base);
/** Replaces the targets of a queue. False when a table is full; the old list
 * then stays. A worker once known as leaving stays so. */
bool cyc_rt_set_targets (struct cyc_route *rt, struct cyc_str queue,
                         const struct cyc_rt_target *targets, uint32_t count);
/** Lends slots and connections of a worker until @p deadline_us. */
void cyc_rt_lend (struct cyc_route *rt, struct cyc_str worker, uint32_t slots,
                  uint32_t connections, uint64_t deadline_us);
/** The worker gets no new request; true when this was news. */
bool cyc_rt_mark_leaving (struct cyc_route *rt, struct cyc_str worker);
uint32_t cyc_rt_target_count (const struct cyc_route *rt,
                              struct cyc_str queue);

/** Targets of the queue that are live and not leaving. */
uint32_t cyc_rt_usable_count (const struct cyc_route *rt,
                              struct cyc_str queue);
enum cyc_rt_admission cyc_rt_enqueue (struct cyc_route *rt,
                                      const struct cyc_rt_request *request,
                                      uint64_t now_us, struct cyc_ref *ticket);
/** Takes a waiting request out; false when it no longer waits. */
bool cyc_rt_dequeue (struct cyc_route *rt, struct cyc_ref ticket);
/** Estimated wait of a new request of the team, 0 when none waits. */
uint64_t cyc_rt_estimate_us (const struct cyc_route *rt, struct cyc_str queue,
                             struct cyc_str team, uint64_t now_us);
/** Next request to send; false when none can be sent now. */
bool cyc_rt_next (struct cyc_route *rt, uint64_t now_us,
                  struct cyc_rt_send *out);
/** Ends a flight. The slot of a LOST flight stays counted until
 * @p deadline_us of the request plus the clock error, because the target may
 * still work on it. A CLOSED one stays counted for a few usual answer times
 * only: a target that closes the connection has most likely ended the request,
 * and a few lost answers must not take all its slots away for long. */
void cyc_rt_finish (struct cyc_route *rt, struct cyc_ref flight,
                    enum cyc_rt_end end, uint64_t now_us,
                    uint64_t deadline_us);
/** Takes one retry from the budget; @p at_us is when to try again. False: the
 * budget is empty or the deadline would pass first. */
bool cyc_rt_take_retry (struct cyc_route *rt, uint32_t attempt,
                        uint64_t deadline_us, uint64_t now_us,
                        uint64_t *at_us);
/** Returns unused lent slots and ends holds whose time has passed. */
void cyc_rt_tick (struct cyc_route *rt, uint64_t now_us);
/** Flights found silent since the last call, at most @p max. */
uint32_t cyc_rt_take_silent (struct cyc_route *rt, uint64_t now_us,
                             struct cyc_rt_silent_flight *out, uint32_t max);
/** Permits this gateway wants, from the greatest use since the last call and
 * the waiting requests; gives up lent slots beyond that. At most @p max rows;
 * workers without any use are left out. */
uint32_t cyc_rt_demand (struct cyc_route *rt, uint64_t now_us,
                        struct cyc_rt_permit_use *out, uint32_t max);
/** Iterates over workers; start with *cursor = 0. */
bool cyc_rt_worker_next (const struct cyc_route *rt, uint32_t *cursor,
                         uint64_t now_us, struct cyc_rt_worker_view *out);
/** Smallest base part of connections over all workers, at least 1. */
uint32_t cyc_rt_connection_limit (const struct cyc_route *rt);
uint32_t cyc_rt_waiting (const struct cyc_route *rt);
uint32_t cyc_rt_flights (const struct cyc_route *rt);

#endif
