/**
 * @file
 * Routing core of a gateway: decides which request goes to which target, and
 * when.
 *
 * The core keeps the workers and their permits, the targets of each queue, the
 * waiting requests (scheduled fairly between teams), the requests in flight
 * and the retry budget. It uses no clock, socket or log; the caller passes the
 * time as `now_us`.
 *
 * Terms: a target is a worker listed for a queue. A slot is capacity for one
 * request on a worker. A flight is a request that was sent and whose slot is
 * not free yet; the slot is held for a time after the end of the flight if the
 * target may still run the request. Each gateway of a domain takes one entry
 * seat and may use an equal base share, slots / seats, of every worker;
 * permits lend it slots beyond that until a deadline.
 *
 * Order of calls: cyc_rt_setup; cyc_rt_set_seats, cyc_rt_set_targets and
 * cyc_rt_lend; cyc_rt_enqueue for each request; cyc_rt_next until it returns
 * false; cyc_rt_finish at the end of each flight; cyc_rt_tick and
 * cyc_rt_take_silent periodically.
 *
 * @code
 * struct cyc_rt_send send;
 * if (cyc_rt_enqueue (&rt, &request, now_us, &ticket) != CYC_RT_QUEUED)
 *   refuse ();
 * while (cyc_rt_next (&rt, now_us, &send))
 *   transmit (&send);
 * @endcode
 *
 * Errors: a full table is reported to the caller, by CYC_RT_TABLE_FULL or a
 * return value of false; tables never grow.
 */
#ifndef CYCLAMENDRUM_ROUTE_H
#define CYCLAMENDRUM_ROUTE_H

#include <cyclamendrum/base.h>

#define CYC_RT_ADDRESS_BYTES 160

struct cyc_rt_desc
{
  struct cyc_allocator allocator;
  uint32_t max_workers; /**< 0: 4,096 */
  uint32_t max_queues;  /**< 0: 16,384 */
  uint32_t max_targets; /**< targets summed over all queues; 0: 32,768 */
  uint32_t max_teams;   /**< 0: 1,024 */
  uint32_t max_lanes;   /**< (queue, team) pairs; 0: 32,768 */
  uint32_t max_waiting; /**< waiting requests over all teams; 0: 16,384 */
  uint32_t max_waiting_per_team; /**< 0: 1,024 */
  uint32_t max_flights;          /**< 0: 4,096 */
  uint32_t retry_permille;       /**< retries per 1,000 new requests; 0: 100 */
  bool no_retries;
  uint64_t silent_us;      /**< minimum time without an answer; 0: 2 s */
  uint64_t clock_error_us; /**< bound of the clock error; 0: 250 ms */
  uint64_t seed;           /**< seed of the random target choice */
};

enum cyc_rt_admission
{
  CYC_RT_QUEUED = 0,
  CYC_RT_NO_TARGET,  /**< the queue has no target known to this gateway */
  CYC_RT_TEAM_FULL,  /**< the team has reached max_waiting_per_team */
  CYC_RT_TABLE_FULL, /**< a table of this process is full */
  CYC_RT_TOO_LATE    /**< the estimated wait ends at or after the deadline */
};

enum cyc_rt_health
{
  CYC_RT_LIVE = 0,
  CYC_RT_SUSPECT, /**< silent or unreachable even on new connections */
  CYC_RT_EJECTED  /**< answers, but with consecutive server errors */
};

/** How a flight ended. */
enum cyc_rt_end
{
  CYC_RT_ANSWERED,      /**< complete answer */
  CYC_RT_FAILED,        /**< complete answer with a server error */
  CYC_RT_REFUSED,       /**< the target refused to start the request */
  CYC_RT_NOT_CONNECTED, /**< connecting failed; nothing was sent */
  CYC_RT_CLOSED,        /**< closed by the target before a complete answer */
  CYC_RT_LOST /**< abandoned by this gateway; the target may still run it */
};

struct cyc_rt_target
{
  struct cyc_str worker;
  struct cyc_str address; /**< base URL */
  uint32_t slots;         /**< summed over all gateways */
  uint32_t connections;   /**< summed over all gateways */
  bool leaving;
};

struct cyc_rt_request
{
  struct cyc_str queue;
  struct cyc_str team;
  uint32_t weight; /**< share of the team in permille; 0 counts as 1 */
  uint64_t deadline_us;
  bool once;     /**< must not be repeated; sent on new connections only */
  bool is_retry; /**< retries add nothing to the retry budget */
  struct cyc_name avoid; /**< worker to use last, or empty */
  uint64_t user;         /**< caller's value, returned in cyc_rt_send */
};

/** One request to send now. */
struct cyc_rt_send
{
  struct cyc_ref flight;
  uint64_t user;
  struct cyc_name worker;
  char address[CYC_RT_ADDRESS_BYTES];
  bool fresh_connection; /**< the caller must open a new connection */
};

/** Use of one worker's permits, for PermitDemand. */
struct cyc_rt_permit_use
{
  struct cyc_name worker;
  uint32_t wanted;   /**< slots wanted beyond the base share */
  uint32_t in_use;   /**< slots in use, including held ones */
  uint32_t returned; /**< lent slots returned by this call */
};

/** A flight without an answer for longer than the silence limit. */
struct cyc_rt_silent_flight
{
  struct cyc_ref flight;
  uint64_t user;
  struct cyc_name worker;
};

/** State of one worker. */
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

/** Allocates the tables. False, with findings, if there is not enough memory
 * or retry_permille exceeds 1,000. */
bool cyc_rt_setup (struct cyc_route *rt, const struct cyc_rt_desc *desc,
                   struct cyc_findings *findings);
void cyc_rt_shutdown (struct cyc_route *rt);

/** Sets the number of entry seats of the domain. @p has_base_share is false
 * when another process holds this gateway's seat, so that the gateway must not
 * use its base share. */
void cyc_rt_set_seats (struct cyc_route *rt, uint32_t seats,
                       bool has_base_share);
/** Replaces the targets of a queue. False when a table is full or a name or
 * address is too long; the old list then stays. A worker marked as leaving
 * stays marked, because @p targets may predate the mark. */
bool cyc_rt_set_targets (struct cyc_route *rt, struct cyc_str queue,
                         const struct cyc_rt_target *targets, uint32_t count);
/** Sets the slots and connections of a worker that are lent to this gateway
 * until @p deadline_us. Unknown workers are ignored. */
void cyc_rt_lend (struct cyc_route *rt, struct cyc_str worker, uint32_t slots,
                  uint32_t connections, uint64_t deadline_us);
/** Stops sending new requests to the worker. True if the worker is known and
 * was not marked before. */
bool cyc_rt_mark_leaving (struct cyc_route *rt, struct cyc_str worker);
/** Number of targets of the queue in any state. */
uint32_t cyc_rt_target_count (const struct cyc_route *rt,
                              struct cyc_str queue);

/** Number of targets of the queue that are live and not leaving. */
uint32_t cyc_rt_usable_count (const struct cyc_route *rt,
                              struct cyc_str queue);
/** Adds a request to the waiting requests; sets @p ticket on CYC_RT_QUEUED. */
enum cyc_rt_admission cyc_rt_enqueue (struct cyc_route *rt,
                                      const struct cyc_rt_request *request,
                                      uint64_t now_us, struct cyc_ref *ticket);
/** Removes a waiting request; false if it is not waiting any more. */
bool cyc_rt_dequeue (struct cyc_route *rt, struct cyc_ref ticket);
/** Estimated wait of a new request of the team in microseconds; 0 if no
 * request of the queue is waiting or no slot is permitted. */
uint64_t cyc_rt_estimate_us (const struct cyc_route *rt, struct cyc_str queue,
                             struct cyc_str team, uint64_t now_us);
/** Takes the next request to send; false when none can be sent now. */
bool cyc_rt_next (struct cyc_route *rt, uint64_t now_us,
                  struct cyc_rt_send *out);
/** Ends a flight. The slot of a LOST flight stays in use until the request's
 * @p deadline_us plus the clock error, because the target may still run the
 * request. The slot of a CLOSED flight stays in use for four times the mean
 * answer time of the queue (at most until the deadline) plus the clock error:
 * a target that closes the connection has most likely ended the request, and a
 * few lost answers must not block all its slots for long. */
void cyc_rt_finish (struct cyc_route *rt, struct cyc_ref flight,
                    enum cyc_rt_end end, uint64_t now_us,
                    uint64_t deadline_us);
/** Takes one retry from the budget and sets @p at_us to the time of the retry,
 * by exponential backoff over @p attempt with jitter. False if retries are
 * off, the budget is empty or the deadline would pass first. */
bool cyc_rt_take_retry (struct cyc_route *rt, uint32_t attempt,
                        uint64_t deadline_us, uint64_t now_us,
                        uint64_t *at_us);
/** Frees the slots that were held after a LOST or CLOSED flight and whose time
 * has passed. */
void cyc_rt_tick (struct cyc_route *rt, uint64_t now_us);
/** Writes at most @p max flights that have had no answer for silent_us, or
 * four times the mean answer time of the queue if that is longer; returns
 * their number. A flight is reported again after the same time. Requests with
 * `once` are not reported. */
uint32_t cyc_rt_take_silent (struct cyc_route *rt, uint64_t now_us,
                             struct cyc_rt_silent_flight *out, uint32_t max);
/** Writes the permits that this gateway wants, computed from the greatest use
 * since the last call and the waiting requests, and returns lent slots beyond
 * that. Writes at most @p max rows and returns their number; workers without
 * any use are left out. */
uint32_t cyc_rt_demand (struct cyc_route *rt, uint64_t now_us,
                        struct cyc_rt_permit_use *out, uint32_t max);
/** Iterates over the workers, starting with *cursor = 0; false at the end. */
bool cyc_rt_worker_next (const struct cyc_route *rt, uint32_t *cursor,
                         uint64_t now_us, struct cyc_rt_worker_view *out);
/** Smallest base share of connections over all workers, at least 1. */
uint32_t cyc_rt_connection_limit (const struct cyc_route *rt);
/** Number of waiting requests. */
uint32_t cyc_rt_waiting (const struct cyc_route *rt);
/** Number of flights, including ended ones whose slot is still held. */
uint32_t cyc_rt_flights (const struct cyc_route *rt);

#endif
