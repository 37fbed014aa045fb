/**
 * @file
 * Internal tables of the routing core, shared by its source files.
 */
#ifndef CYC_ROUTE_H
#define CYC_ROUTE_H

#include <cyclamendrum/route.h>

/** Row number that stands for "no row". */
#define RT_NONE UINT32_MAX

/** Hash index from names to rows, with linear probing. */
struct rt_index
{
  uint32_t *slots; /**< row + 1; 0: empty */
  uint32_t mask;
};

/** A worker and what this gateway knows of its load and health. */
struct rt_worker
{
  struct cyc_name name;
  char address[CYC_RT_ADDRESS_BYTES];
  uint32_t slots;
  uint32_t connections;
  uint32_t listing_queues; /**< number of queues that list it */
  bool leaving;
  enum cyc_rt_health health;
  uint32_t lent_slots;
  uint32_t lent_connections;
  uint64_t lent_deadline_us;
  uint32_t in_use;        /**< slots in use */
  uint32_t peak_in_use;   /**< greatest in_use since the last cyc_rt_demand */
  uint32_t backlog_slots; /**< slots wanted for waiting requests */
  uint32_t consecutive_refusals; /**< at most REFUSAL_DOUBLINGS_MAX */
  uint32_t consecutive_failures;
  uint32_t failed_probes;   /**< consecutive */
  uint64_t next_probe_us;   /**< time of the next probe while not live */
  uint64_t paused_until_us; /**< end of the pause after a refusal */
  uint64_t last_answer_us;  /**< last answer or refusal; 0 if none */
  /** Until then requests do not reuse a connection. */
  uint64_t fresh_connections_until_us;
  uint64_t mean_answer_us; /**< moving average; 0 if unknown */
};

struct rt_queue
{
  struct cyc_name name;
  uint32_t first_target; /**< index of its first entry in `target_rows` */
  uint32_t count;        /**< number of targets */
  uint32_t waiting;
  uint32_t first_lane;
  uint64_t mean_answer_us; /**< moving average; 0 if unknown */
};

struct rt_team
{
  struct cyc_name name;
  uint32_t weight;
  uint32_t waiting;
  uint32_t first_lane;
  uint32_t next; /**< next in the ring of teams with waiting requests */
  uint32_t previous;
  uint64_t deficit;    /**< of the deficit round robin */
  uint32_t ready_lane; /**< lane that can send now, or RT_NONE */
};

/** Waiting requests of one team on one queue, first in, first out. */
struct rt_lane
{
  uint32_t queue;
  uint32_t team;
  uint32_t next_of_queue;
  uint32_t next_of_team;
  uint32_t head;
  uint32_t tail;
  uint32_t waiting;
};

/** A waiting request. */
struct rt_wait
{
  uint32_t lane;
  uint32_t next;
  uint32_t previous;
  struct cyc_ref ref;
  bool once;             /**< must not run more than once */
  struct cyc_name avoid; /**< worker to avoid if possible; empty: none */
  uint64_t user;
};

/** A request that was sent and whose slot is not free yet. */
struct rt_flight
{
  uint32_t worker;
  uint32_t queue;
  uint64_t user;
  uint64_t sent_us;
  uint64_t next_silence_check_us; /**< no silence report before */
  uint64_t held_until_us;         /**< end of the slot's hold; 0: not ended */
  bool fresh_connection;
  bool once;
};

struct cyc_rt_state
{
  struct cyc_rt_desc desc;
  uint32_t seats;      /**< gateway seats of the domain */
  bool has_base_share; /**< this gateway may use its base share */
  uint64_t random_state;
  struct cyc_pool worker_pool;
  struct rt_worker *workers;
  struct rt_index worker_index;
  struct rt_queue *queues;
  uint32_t queue_count;
  struct rt_index queue_index;
  uint32_t *target_rows; /**< worker rows, grouped by queue */
  uint32_t target_count;
  struct rt_team *teams;
  uint32_t team_count;
  struct rt_index team_index;
  struct rt_lane *lanes;
  uint32_t lane_count;
  struct cyc_pool wait_pool;
  struct rt_wait *waits;
  struct cyc_pool flight_pool;
  struct rt_flight *flights;
  uint32_t cursor; /**< team that the round robin visits now, or RT_NONE */
  bool quantum_granted;  /**< the visited team has received its quantum */
  uint64_t retry_tokens; /**< in thousandths of a retry */
};

/** Next value of the seeded pseudo-random sequence. */
uint64_t rt_random (struct cyc_rt_state *state);
/** Row of the name, or RT_NONE. */
uint32_t rt_find_worker (const struct cyc_rt_state *state,
                         struct cyc_str name);
uint32_t rt_find_queue (const struct cyc_rt_state *state, struct cyc_str name);
uint32_t rt_find_team (const struct cyc_rt_state *state, struct cyc_str name);
/** Row of the name, added if missing; RT_NONE when the table is full or the
 * name is too long. */
uint32_t rt_add_queue (struct cyc_rt_state *state, struct cyc_str name);
uint32_t rt_add_team (struct cyc_rt_state *state, struct cyc_str name);
/** Slots that this gateway may use on the worker now: base share plus lent
 * slots, bounded by the connections. */
uint32_t rt_permitted (const struct cyc_rt_state *state,
                       const struct rt_worker *worker, uint64_t now_us);
/** Base share of the worker's slots; 0 if this gateway has none. */
uint32_t rt_base_slots (const struct cyc_rt_state *state,
                        const struct rt_worker *worker);
/** Worker row for the request by the better of two random choices, or RT_NONE
 * if no target can accept it now. */
uint32_t rt_choose_worker (struct cyc_rt_state *state,
                           const struct rt_queue *queue,
                           const struct rt_wait *wait, uint64_t now_us);
/** Accounts a request sent to the worker. */
void rt_count_sent (struct cyc_rt_state *state, struct rt_worker *worker,
                    uint64_t now_us);
/** Removes the worker if no queue lists it and none of its slots is in use. */
void rt_drop_if_unused (struct cyc_rt_state *state, uint32_t row);

#endif
