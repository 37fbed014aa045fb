/**
 * @file
 * Rows, indexes and systems of the decision core; private to cyc_core_*.c.
 *
 * Rows live in fixed arrays and name each other by row number (CORE_NONE:
 * none). A row is in a list through a link inside the row, so no list
 * allocates. A task row exists while the task is queued or occupies a worker;
 * an ended task is only counted in its job.
 */
#ifndef CYC_CORE_INTERNAL_H
#define CYC_CORE_INTERNAL_H

#include <cyclamendrum/core.h>

#define CORE_NONE UINT32_MAX
#define CORE_CLASSES 24 /**< power-of-two classes of free capacity */
#define CORE_PLANES 5   /**< classes of free accelerators: 0, 1, 2, 4, 8 */
#define CORE_SLOTS 4096
#define CORE_SLOT_US 250000
#define CORE_FAILED_ON 4
/** Ends remembered per worker: more than happen within the usual lag. */
#define CORE_ENDED 32
#define CORE_HIST_BINS 64
#define CORE_EJECT_MOST 8 /**< upper bound of eject_failures */
/** Candidates examined in one bucket: bounds the cost of a decision. */
#define CORE_LOOK 24

/** Placement classes, in the order in which they are indexed by teams. */
enum core_class
{
  CORE_URGENT,
  CORE_GANG,
  CORE_SERVICE,
  CORE_BATCH,
  CORE_CLASS_COUNT
};

struct core_link
{
  uint32_t prev;
  uint32_t next;
};

struct core_list
{
  uint32_t head;
  uint32_t tail;
  uint32_t count;
};

/** Where the links of a list are: first link and distance between rows. */
struct core_rows
{
  char *first;
  size_t stride;
};

#define CORE_ROWS(array, member)                                              \
  ((struct core_rows){ (char *)(array)                                        \
                           + offsetof (__typeof__ (*(array)), member),        \
                       sizeof *(array) })

/** Hash index from a 64-bit key to a row number. */
struct core_map
{
  uint64_t *keys;
  uint32_t *values;
  uint32_t mask;
};

/** Measured use as a part of the declared size. */
struct core_hist
{
  uint16_t bins[CORE_HIST_BINS];
  uint16_t total;
  uint16_t samples; /**< for mean and variance, bounded */
  double mean;
  double variance;
};

/** Mean and variance of what tasks need; variances of a sum add up. */
struct core_need
{
  struct cyc_resources mean;
  uint64_t millicores_variance;
  uint64_t memory_variance;
};

/** Task that ended lately: a late measurement may still contain it. */
struct core_ended
{
  uint64_t started_us;
  uint64_t ended_us;
  uint32_t millicores;
  uint32_t memory_mib;
};

struct core_worker
{
  struct cyc_name name;
  struct cyc_resources capacity;
  struct core_need need;         /**< sum over the tasks on it */
  struct cyc_resources declared; /**< declared sizes of the tasks on it */
  struct cyc_resources
      measured;               /**< last measurement, less what ended since */
  struct cyc_resources since; /**< estimates of starts since then */
  struct cyc_resources held;  /**< promised to urgent tasks */
  struct cyc_resources urgent_hold; /**< kept for the next urgent task */
  struct cyc_resources gang_hold; /**< part that the reserved gang will use */
  struct cyc_resources free;      /**< what buckets and racks were told */
  struct core_list tasks;
  struct core_link in_bucket;
  struct core_link in_rack;
  struct core_link in_ejected;
  struct core_link in_holds;
  uint64_t measured_us;
  uint64_t unfenced_until_us;
  uint64_t reserved_until_us; /**< reservation of a gang; 0: none */
  uint64_t refused_until_us;  /**< answered no-room; not tried until then */
  uint64_t probe_us;          /**< ejected: next probe */
  uint64_t over_us;           /**< last step against overload */
  uint32_t reserved_job;      /**< gang that holds it */
  uint32_t rack;
  uint32_t bucket;
  uint32_t throttled;
  uint32_t backoff_ms;
  uint32_t failed_queues[CORE_EJECT_MOST]; /**< of the latest failures */
  uint32_t probe_task;
  uint16_t failures;  /**< consecutive */
  uint16_t successes; /**< consecutive */
  uint8_t over_steps;
  uint8_t ended_next;
  struct core_ended ended[CORE_ENDED];
  bool leaving;
  bool silent;
  bool ejected;
};

struct core_rack
{
  struct cyc_name name;
  struct core_list workers;
  uint64_t free_millicores;
  uint64_t free_memory_mib;
  uint64_t free_accelerators;
};

/** Most gang reservations at a time: bounds the room that drains. */
#define CORE_RESERVED 3

struct core_team
{
  struct cyc_name name;
  uint32_t share_permille;
  uint64_t balance_millicores;
  uint64_t balance_accelerators;
  uint64_t used_millicores;
  uint64_t used_memory_mib;
  uint64_t used_accelerators;
  uint64_t need_millicores; /**< learned mean needs: what shares compare */
  uint64_t need_memory_mib;
  uint64_t batch_millicores;   /**< part of used: batch tasks */
  uint64_t preempt_millicores; /**< part of that: being preempted */
  uint64_t wanted_millicores;
  uint64_t wanted_accelerators;
  double got;   /**< decayed dominant share, 0 to 1 */
  double score; /**< lower is served first */
  struct core_list queues[CORE_CLASS_COUNT]; /**< with queued tasks */
  struct core_link in_active[CORE_CLASS_COUNT];
  struct core_list tasks; /**< that occupy workers, oldest first */
};

struct core_queue
{
  struct cyc_name name;
  struct cyc_resources size;
  struct cyc_resources estimate;
  struct core_need need; /**< of one task */
  struct core_hist cpu;
  struct core_hist memory;
  double run_mean_us; /**< 0: no task ended yet */
  double run_dev_us;
  struct core_list jobs; /**< with queued tasks, oldest first */
  struct core_link in_team;
  struct core_link in_dirty;
  uint64_t blocked_tick;
  uint64_t blocked_since_us; /**< cannot ever fit since; 0: may fit */
  uint32_t team;
  uint32_t service_job;
  uint32_t run_s;
  uint32_t wanted; /**< replicas */
  uint32_t next_index;
  uint32_t queued; /**< tasks */
  enum cyc_queue_kind kind;
  enum cyc_spread spread;
  bool urgent;
  bool repeatable;
  bool removed;
  bool dirty; /**< replicas are to be compared with those wanted */
};

enum core_end
{
  CORE_END_NONE,
  CORE_END_CANCELLED,
  CORE_END_FAILED,
  CORE_END_REMOVED,
  CORE_END_NO_WORKER,
  CORE_END_NO_LIMIT
};

struct core_job
{
  struct cyc_id128 id;
  uint64_t submitted_us;
  uint64_t sequence;
  uint64_t retry_us; /**< gang: not tried before */
  struct core_list tasks;
  struct core_list queued;
  struct core_link in_queue;
  struct core_link in_work; /**< cancel list or ended list */
  uint32_t queue;
  uint32_t total;
  uint32_t done;
  uint32_t failed;
  uint32_t unknown;
  uint64_t reserved_until_us; /**< gang: 0 without reservation */
  uint32_t reservations;      /**< gang: had so far */
  uint32_t cancel_left;       /**< tasks that the cancel system has not seen */
  uint8_t end;                /**< enum core_end */
  bool started;               /**< some task was started */
  bool service;
  bool in_cancel;
  bool in_ended;
};

/** How far the stopping of a task went. */
enum core_stage
{
  CORE_STAGE_NONE,
  CORE_STAGE_CHECKPOINT,
  CORE_STAGE_THROTTLE,
  CORE_STAGE_STOP
};

struct core_task
{
  struct cyc_resources
      declared;          /**< counted against the team while occupying */
  struct core_need need; /**< counted on the worker */
  struct cyc_resources estimate; /**< the queue's when it was counted */
  struct cyc_resources used;     /**< last measurement */
  struct cyc_resources claim;    /**< held on claim_worker while queued */
  uint64_t started_us;
  uint64_t kept_us; /**< work up to here survives a stop */
  uint64_t lease_us;
  uint64_t stage_us;       /**< next step of stopping; 0: none */
  uint64_t drain_until_us; /**< of a claim without victims; 0: none */
  struct core_link in_job;
  struct core_link in_place; /**< job's queued list or worker's list */
  struct core_link in_team;
  struct core_link in_slot;
  struct core_link in_emit;
  struct core_link in_batch; /**< occupying batch tasks by start */
  struct core_link in_claim;
  uint32_t job;
  uint32_t index;
  uint32_t worker;
  uint32_t claim_worker;
  uint32_t slot;
  uint32_t attempt;
  uint32_t failed_on[CORE_FAILED_ON];
  uint8_t failed_count;
  uint8_t state; /**< enum cyc_task_state */
  uint8_t emit;  /**< enum cyc_decision_kind */
  uint8_t stage;
  bool emitting;
  bool started_here; /**< this owner knows its fate */
  bool throttled;
  bool preempted;
  bool retry; /**< next start is a retry after a failure */
  bool fate_unknown;
};

struct cyc_core_state
{
  struct cyc_core_desc desc;
  struct cyc_pool worker_pool;
  struct cyc_pool rack_pool;
  struct cyc_pool team_pool;
  struct cyc_pool queue_pool;
  struct cyc_pool job_pool;
  struct cyc_pool task_pool;
  struct core_worker *workers;
  struct core_rack *racks;
  struct core_team *teams;
  struct core_queue *queues;
  struct core_job *jobs;
  struct core_task *tasks;
  struct core_map worker_map;
  struct core_map rack_map;
  struct core_map team_map;
  struct core_map queue_map;
  struct core_map job_map;
  struct core_map task_map;
  struct core_map spread_map; /**< (queue, rack) to number of replicas */
  struct core_list buckets[CORE_PLANES * CORE_CLASSES * CORE_CLASSES];
  uint32_t memory_mask[CORE_PLANES][CORE_CLASSES];
  struct core_list slots[CORE_SLOTS];
  uint64_t slot_next; /**< absolute number of the next slot to visit */
  struct core_list active[CORE_CLASS_COUNT];
  struct core_list cancel;
  struct core_list ended;
  struct core_list emit;
  struct core_list ejected;
  struct core_list dirty;  /**< service queues */
  struct core_list batch;  /**< occupying batch tasks, newest last */
  struct core_list claims; /**< urgent tasks that wait for victims */
  uint32_t *scratch;       /**< one row number per task, for transactions */
  uint32_t *team_scratch;
  uint64_t tick;
  uint64_t now_us;
  uint64_t last_share_us;
  uint64_t workers_changed_us;
  uint64_t sequence;
  uint64_t held_sequence; /**< jobs up to here may run on unfenced workers */
  uint64_t unfenced_until_us;
  uint32_t unfenced;
  uint32_t silent;
  uint64_t total_millicores;
  uint64_t total_memory_mib;
  uint64_t total_accelerators;
  uint64_t used_millicores;
  uint64_t queued_tasks;
  uint64_t occupying_tasks;
  uint64_t batch_running;
  uint64_t preempting; /**< batch tasks being stopped or throttled */
  uint64_t starts;
  uint64_t preempted;
  uint64_t cancelled;
  uint64_t refused_jobs;
  double retry_tokens;
  uint64_t random;
  uint64_t urgent_millicores;    /**< estimates of running urgent tasks */
  double urgent_peak_millicores; /**< decayed maximum */
  uint64_t hold_millicores;      /**< sum of urgent holds */
  struct core_list holds;        /**< workers with an urgent hold */
  uint64_t urgent_peak_us;
  uint64_t urgent_blocked_tick; /**< an urgent task found no room */
  uint64_t starved_tick; /**< batch of a team below its part was blocked */
  uint32_t drains;       /**< claims without victims */
  double fair_score;     /**< score of a team that has exactly its part */
  uint32_t reserved[CORE_RESERVED]; /**< gangs with a reservation */
  uint32_t reserved_count;
  uint32_t fails_left; /**< unsuccessful searches left in this tick */
  uint32_t starts_left;
  bool allow;
  char *trace_line; /**< only with desc.trace */
  char *trace_bits;
  size_t trace_size;
};

/* Indexes and lists. */
bool core_map_setup (struct core_map *map, uint32_t rows,
                     const struct cyc_allocator *allocator);
void core_map_shutdown (struct core_map *map,
                        const struct cyc_allocator *allocator);
uint32_t core_map_get (const struct core_map *map, uint64_t key);
void core_map_put (struct core_map *map, uint64_t key, uint32_t value);
void core_map_remove (struct core_map *map, uint64_t key);
uint64_t core_hash (struct cyc_str text);
void core_list_init (struct core_list *list);
void core_list_append (struct core_list *list, struct core_rows rows,
                       uint32_t row);
void core_list_remove (struct core_list *list, struct core_rows rows,
                       uint32_t row);
uint32_t core_list_next (struct core_rows rows, uint32_t row);

/* Trace; nothing happens without desc.trace. */
void core_trace (struct cyc_core_state *st, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Leaves @p out empty when there is no trace, to save the conversion. */
void core_trace_hex (const struct cyc_core_state *st,
                     const struct cyc_id128 *id, char out[33]);
struct cyc_str core_word (struct cyc_str text);
void core_trace_setup (struct cyc_core_state *st);
void core_trace_job (struct cyc_core_state *st, const struct cyc_core_job *job,
                     uint64_t now_us);
void core_trace_tick (struct cyc_core_state *st, uint64_t now_us,
                      const struct cyc_decision *out, uint32_t max,
                      uint32_t count);
uint64_t core_digest (const struct cyc_decision *out, uint32_t count);

/* Resources. */
struct cyc_resources core_res_add (struct cyc_resources a,
                                   struct cyc_resources b);
/** Never below zero. */
struct cyc_resources core_res_sub (struct cyc_resources a,
                                   struct cyc_resources b);
struct cyc_resources core_res_max (struct cyc_resources a,
                                   struct cyc_resources b);
struct core_need core_need_add (struct core_need a, struct core_need b);
struct core_need core_need_sub (struct core_need a, struct core_need b);
/** 95th percentile of the sum. */
struct cyc_resources core_need_estimate (struct core_need need);
bool core_res_fits (struct cyc_resources need, struct cyc_resources room);

/* Lookups; CORE_NONE when there is none. */
uint32_t core_find_worker (const struct cyc_core_state *st,
                           struct cyc_str name);
uint32_t core_find_queue (const struct cyc_core_state *st,
                          struct cyc_str name);
uint32_t core_find_team (const struct cyc_core_state *st, struct cyc_str name);
uint32_t core_find_job (const struct cyc_core_state *st,
                        const struct cyc_id128 *id);
uint32_t core_find_task (const struct cyc_core_state *st, uint32_t job,
                         uint32_t index);
enum core_class core_class_of (const struct core_queue *queue);

/* Workers. */
/** Recomputes free capacity and moves the worker between buckets. */
void core_worker_refresh (struct cyc_core_state *st, uint32_t row);
bool core_worker_usable (const struct cyc_core_state *st,
                         const struct core_worker *worker);
/** Free capacity without regard to whether the worker is usable; the part of
 * the holds that is the asker's own claim counts as free. */
struct cyc_resources core_worker_room (const struct cyc_core_state *st,
                                       const struct core_worker *worker,
                                       struct cyc_resources own_claim);
void core_worker_lose_tasks (struct cyc_core_state *st, uint32_t row);
uint64_t core_spread_key (const struct core_worker *worker, uint32_t queue);

/* Jobs and tasks. */
uint32_t core_task_create (struct cyc_core_state *st, uint32_t job,
                           uint32_t index);
void core_task_free (struct cyc_core_state *st, uint32_t row);
/** The task's queue, team and job must have their queued lists updated. */
void core_task_enqueue (struct cyc_core_state *st, uint32_t row);
void core_task_dequeue (struct cyc_core_state *st, uint32_t row);
/** Counts a queued task that left its lists as occupying @p worker. */
void core_task_occupy (struct cyc_core_state *st, uint32_t row,
                       uint32_t worker, enum cyc_task_state state);
void core_task_vacate (struct cyc_core_state *st, uint32_t row);
/** Vacates, then queues again or ends as UNKNOWN. */
void core_task_requeue (struct cyc_core_state *st, uint32_t row);
void core_task_end (struct cyc_core_state *st, uint32_t row,
                    enum cyc_task_state state);
void core_task_emit (struct cyc_core_state *st, uint32_t row,
                     enum cyc_decision_kind kind);
/** Adds the task's need to its team's, or takes it away. */
void core_team_need (struct cyc_core_state *st, const struct core_task *task,
                     bool add);
void core_task_no_emit (struct cyc_core_state *st, uint32_t row);
void core_task_set_timer (struct cyc_core_state *st, uint32_t row,
                          uint64_t at_us);
void core_task_stop (struct cyc_core_state *st, uint32_t row,
                     enum core_stage stage);
void core_task_drop_claim (struct cyc_core_state *st, uint32_t row);
void core_job_finish (struct cyc_core_state *st, uint32_t row,
                      enum core_end end);
void core_job_check_ended (struct cyc_core_state *st, uint32_t row);
uint32_t core_job_create (struct cyc_core_state *st,
                          const struct cyc_id128 *id, uint32_t queue);
void core_job_free (struct cyc_core_state *st, uint32_t row);
uint32_t core_service_job (struct cyc_core_state *st, uint32_t queue);
/** Notes that the next tick compares the replicas with those wanted. */
void core_service_touch (struct cyc_core_state *st, uint32_t queue);
/** Takes the running tasks of a queue out of the sums of its team, or puts
 * them back, around a change of the queue's team or kind. */
void core_queue_count (struct cyc_core_state *st, uint32_t queue, bool add);
void core_queue_activate (struct cyc_core_state *st, uint32_t queue);
void core_queue_deactivate (struct cyc_core_state *st, uint32_t queue);
/** Drops the claims on a worker that is being removed. */
void core_claims_forget (struct cyc_core_state *st, uint32_t worker);
/** A start on the worker succeeded or failed. */
void core_health_note (struct cyc_core_state *st, uint32_t worker,
                       uint32_t queue, bool ok);

/* Placement. */
/** What a search looks for. */
struct core_want
{
  struct cyc_resources need;     /**< estimate */
  struct cyc_resources declared; /**< must fit an empty worker */
  uint32_t task;                 /**< its failed_on are passed over */
  uint32_t queue;
  uint64_t end_us; /**< learned end; kept off reservations that end before */
  bool urgent;
  bool past_reservation; /**< may use all reserved room */
};
void core_want_set (const struct cyc_core_state *st, uint32_t task,
                    struct core_want *want);
uint32_t core_find_in_rack (struct cyc_core_state *st,
                            const struct core_want *want, uint32_t rack);
uint32_t core_find_spread (struct cyc_core_state *st,
                           const struct core_want *want);
uint32_t core_find_room (struct cyc_core_state *st,
                         const struct core_want *want);
bool core_worker_takes (const struct cyc_core_state *st, uint32_t worker,
                        const struct core_want *want);
bool core_team_has_balance (const struct cyc_core_state *st, uint32_t queue,
                            uint64_t tasks);
bool core_task_held (const struct cyc_core_state *st, uint32_t task);
void core_start_on (struct cyc_core_state *st, uint32_t task, uint32_t worker);

/* Systems, in the order of a tick. */
void core_sys_expiry (struct cyc_core_state *st);
void core_sys_services (struct cyc_core_state *st);
void core_sys_cancel (struct cyc_core_state *st, uint32_t budget);
void core_sys_health (struct cyc_core_state *st);
void core_sys_shares (struct cyc_core_state *st);
void core_sys_drains (struct cyc_core_state *st);
void core_sys_urgent (struct cyc_core_state *st);
void core_sys_class (struct cyc_core_state *st, enum core_class class);
void core_sys_gang (struct cyc_core_state *st);

/* Parts of systems that others use. */
void core_queue_estimate (struct cyc_core_state *st, struct core_queue *queue);
void core_queue_learn_run (struct core_queue *queue, uint64_t run_us);
/** Chooses victims for an urgent task and claims the room they leave. */
bool core_preempt_for (struct cyc_core_state *st, uint32_t task);
/** Claims a worker that drains for a task of a team below its share. */
/** Keeps the room of an urgent task that ended for the next one, as far as
 * urgent tasks lately used more than they do now. */
void core_hold_room (struct cyc_core_state *st, uint32_t worker,
                     struct cyc_resources room);
/** Ends a hold up to @p room; with a larger one, all of it. */
void core_hold_release (struct cyc_core_state *st, uint32_t worker,
                        struct cyc_resources room);
/** Claims a worker that drains for a task of a team below its share. */
bool core_drain_for (struct cyc_core_state *st, uint32_t task);
/** Gives up the oldest drain, because an urgent task found no room. */
void core_drain_drop (struct cyc_core_state *st);
/** Holds @p need on the worker for the task. */
void core_claim (struct cyc_core_state *st, uint32_t task, uint32_t worker,
                 struct cyc_resources need);
void core_gang_unreserve (struct cyc_core_state *st, uint32_t job);
/** Refuses the job when it can never run; true when it was refused. */
bool core_never_check (struct cyc_core_state *st, uint32_t job,
                       uint32_t tasks);
uint32_t core_emit_all (struct cyc_core_state *st, struct cyc_decision *out,
                        uint32_t max);
void core_team_score (struct cyc_core_state *st, struct core_team *team);

#endif
