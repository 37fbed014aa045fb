/**
 * @file
 * Private tables of the routing core, shared by its source files.
 */
#ifndef CYC_ROUTE_H
#define CYC_ROUTE_H

#include <cyclamendrum/route.h>

#define RT_NONE UINT32_MAX

/** Open-addressing index from a name to a row. */
struct rt_index
{
  uint32_t *slots; /**< row + 1; 0: empty */
  uint32_t mask;
};

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
  uint32_t in_use;
  uint32_t peak_in_use;          /**< greatest in_use since the last demand */
  uint32_t backlog_slots;        /**< slots asked for by waiting requests */
  uint32_t consecutive_refusals; /**< in a row */
  uint32_t consecutive_failures; /**< in a row */
  uint32_t failed_probes;        /**< failed probes in a row */
  uint64_t next_probe_us;        /**< next probe while not live */
  uint64_t paused_until_us;      /**< refused: nothing is sent before */
  uint64_t last_answer_us;
  uint64_t fresh_connections_until_us; /**< only new connections before */
  uint64_t mean_answer_us; /**< smoothed answer time; 0: none yet */
};

struct rt_queue
{
  struct cyc_name name;
  uint32_t first_target; /**< of its part of `members` */
  uint32_t count;
  uint32_t waiting;
  uint32_t first_lane;
  uint64_t mean_answer_us;
};

struct rt_team
{
  struct cyc_name name;
  uint32_t weight;
  uint32_t waiting;
  uint32_t first_lane;
  uint32_t next; /**< ring of teams with waiting requests */
  uint32_t previous;
  uint64_t deficit;
  uint32_t ready_lane; /**< lane that can send now, or RT_NONE */
};

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

struct rt_wait
{
  uint32_t lane;
  uint32_t next;
  uint32_t previous;
  struct cyc_ref ref;
  bool once;
  struct cyc_name avoid;
  uint64_t user;
};

struct rt_flight
{
  uint32_t worker;
  uint32_t queue;
  uint64_t user;
  uint64_t sent_us;
  uint64_t next_silence_check_us; /**< next check for silence */
  uint64_t held_until_us; /**< not 0: ended, the slot is held until then */
  bool fresh_connection;
  bool once;
};

struct cyc_rt_state
{
  struct cyc_rt_desc desc;
  uint32_t seats;
  bool base;
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
  uint32_t cursor;      /**< team visited by the round robin, or RT_NONE */
  bool quantum_granted; /**< it got its quantum on this visit */
  uint64_t retry_tokens;
};

uint64_t rt_random (struct cyc_rt_state *state);
uint32_t rt_find_worker (const struct cyc_rt_state *state,
                         struct cyc_str name);
uint32_t rt_find_queue (const struct cyc_rt_state *state, struct cyc_str name);
uint32_t rt_find_team (const struct cyc_rt_state *state, struct cyc_str name);
/** Finds or adds; RT_NONE when the table is full. */
uint32_t rt_add_queue (struct cyc_rt_state *state, struct cyc_str name);
uint32_t rt_add_team (struct cyc_rt_state *state, struct cyc_str name);
/** Slots this gateway may use on the worker now. */
uint32_t rt_permitted (const struct cyc_rt_state *state,
                       const struct rt_worker *worker, uint64_t now_us);
uint32_t rt_base_slots (const struct cyc_rt_state *state,
                        const struct rt_worker *worker);
/** A worker for the queue, or RT_NONE. */
uint32_t rt_choose_worker (struct cyc_rt_state *state,
                           const struct rt_queue *queue,
                           const struct rt_wait *wait, uint64_t now_us);
void rt_count_sent (struct cyc_rt_state *state, struct rt_worker *worker,
                    uint64_t now_us);
void rt_drop_if_unused (struct cyc_rt_state *state, uint32_t row);

#endif
