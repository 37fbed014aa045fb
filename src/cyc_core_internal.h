/**
 * @file
 * Rows, indexes and systems of the decision core; private to cyc_core_*.c.
 *
 * Rows are elements of fixed arrays and refer to each other by row number
 * (CORE_NONE if none). Lists are intrusive: each row contains its links, so
 * list operations allocate no memory. A task row exists while the task is
 * queued or occupies a worker; an ended task is only counted in its job.
 */
#ifndef CYC_CORE_INTERNAL_H
#define CYC_CORE_INTERNAL_H

#include <cyclamendrum/core.h>

/** Row number that stands for "no row". */
#define CORE_NONE UINT32_MAX
/** Power-of-two classes of free millicores and of free memory. */
#define CORE_CAPACITY_CLASSES 24
/** Classes of free accelerators: 0, 1, 2, 4, 8 or more. */
#define CORE_ACCELERATOR_CLASSES 5
/** Slots of the timer wheel, and the time that one slot covers. */
#define CORE_TIMER_SLOTS 4096
#define CORE_TIMER_SLOT_US 250000
/** Failed workers remembered per task; upper bound of max_attempts. */
#define CORE_MAX_FAILED_WORKERS 4
/** Ended tasks remembered per worker: more than usually end within the lag of
 * measurements. */
#define CORE_RECENT_ENDS 32
/** Bins of a histogram of usage; cyc_core_usage.c defines their widths. */
#define CORE_HISTOGRAM_BINS 64
#define CORE_MAX_EJECT_FAILURES 8 /**< upper bound of eject_failures */
/** Workers examined in one bucket; bounds the cost of a decision. */
#define CORE_MAX_BUCKET_CANDIDATES 24

/** Placement classes; index of the per-class lists. */
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

/** Links of a list in an array of rows: address in row 0 and row size. */
struct core_link_array
{
  char *first;
  size_t stride;
};

/** The links @p member of the rows of @p array. */
#define CORE_LINKS(array, member)                                             \
  ((struct core_link_array){ (char *)(array)                                  \
                                 + offsetof (__typeof__ (*(array)), member),  \
                             sizeof *(array) })

/** Hash index from a 64-bit key to a row number. */
struct core_map
{
  uint64_t *keys;
  uint32_t *values;
  uint32_t mask;
};

/** Histogram of measured use divided by declared size. */
struct core_histogram
{
  uint16_t bins[CORE_HISTOGRAM_BINS];
  uint16_t total;
  uint16_t samples; /**< for mean and variance; bounded */
  double mean;
  double variance;
};

/** Mean and variance of the use of one or several tasks. Uses are taken as
 * independent, so the variance of a sum is the sum of the variances. */
struct core_need
{
  struct cyc_resources mean;
  uint64_t millicores_variance;
  uint64_t memory_variance;
};

/** Recently ended task, whose use a late measurement may still include. */
struct core_recent_end
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
  struct core_need need;           /**< sum over its tasks */
  struct cyc_resources declared;   /**< sum of its tasks' declared sizes */
  struct cyc_resources measured;   /**< last measurement, minus ended tasks */
  struct cyc_resources unmeasured; /**< estimates of tasks started after it */
  struct cyc_resources claimed;    /**< claimed for queued tasks */
  struct cyc_resources urgent_reserved; /**< reserved for urgent tasks */
  struct cyc_resources gang_reserved;   /**< reserved for reserved_job */
  struct cyc_resources free;            /**< as counted in bucket and rack */
  struct core_list tasks;
  struct core_link in_bucket;
  struct core_link in_rack;
  struct core_link in_ejected;
  struct core_link in_urgent_reserved;
  uint64_t measured_us;
  /** Until then the worker may run any task that an earlier owner started; 0
   * if this owner has reached it or the time has passed. */
  uint64_t unfenced_until_us;
  uint64_t reserved_until_us; /**< reservation for a gang; 0 if none */
  uint64_t refused_until_us;  /**< answered no-room; no start before this */
  uint64_t next_probe_us;     /**< time of the next probe if ejected */
  /** The next step against overload needs a measurement from after this time;
   * 0 if there was no step. */
  uint64_t overload_step_us;
  uint32_t reserved_job; /**< gang that the worker is reserved for */
  uint32_t rack;
  uint32_t bucket;
  uint32_t throttled;  /**< number of throttled tasks */
  uint32_t backoff_ms; /**< between two probes of an ejected worker */
  /** Queues of the latest failed starts, newest first. */
  uint32_t failed_queues[CORE_MAX_EJECT_FAILURES];
  uint32_t probe_task;     /**< CORE_NONE if no probe runs */
  uint16_t failures;       /**< consecutive failed starts */
  uint16_t successes;      /**< consecutive successful starts */
  uint8_t overload_steps;  /**< taken against the present overload */
  uint8_t next_recent_end; /**< position in recent_ends to overwrite next */
  struct core_recent_end recent_ends[CORE_RECENT_ENDS];
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

/** Concurrent gang reservations; bounds the capacity that is kept idle. */
#define CORE_MAX_RESERVED_GANGS 3

struct core_team
{
  struct cyc_name name;
  uint32_t share_permille;
  uint64_t balance_millicores;
  uint64_t balance_accelerators;
  uint64_t used_millicores;
  uint64_t used_memory_mib;
  uint64_t used_accelerators;
  uint64_t need_millicores; /**< estimated mean use, compared with shares */
  uint64_t need_memory_mib;
  uint64_t batch_used_millicores; /**< part of used_millicores */
  uint64_t preempting_millicores; /**< of batch tasks being preempted */
  uint64_t wanted_millicores;     /**< declared sizes of its queued tasks */
  uint64_t wanted_accelerators;   /**< of its queued tasks */
  double decayed_share; /**< dominant share, decayed average, 0 to 1 */
  double score;         /**< use by share; lowest is served first */
  struct core_list queues[CORE_CLASS_COUNT]; /**< queues with queued tasks */
  struct core_link in_active[CORE_CLASS_COUNT];
  struct core_list tasks; /**< tasks on workers, oldest first */
};

struct core_queue
{
  struct cyc_name name;
  struct cyc_resources size;     /**< declared size of one task */
  struct cyc_resources estimate; /**< 95th percentile of the use of one task */
  struct core_need need;         /**< use of one task */
  struct core_histogram cpu;
  struct core_histogram memory;
  double run_mean_us;    /**< 0 if no task ended yet */
  double run_dev_us;     /**< mean deviation of the run time */
  struct core_list jobs; /**< jobs with queued tasks, oldest first */
  struct core_link in_team;
  struct core_link in_dirty;
  uint64_t blocked_tick; /**< latest tick in which a search failed */
  /** First failed search since the last start or change of the queue; 0 if
   * none. */
  uint64_t blocked_since_us;
  uint32_t team;
  uint32_t service_job;
  uint32_t run_s; /**< declared run time of a task; 0 if unknown */
  uint32_t wanted_replicas;
  uint32_t next_task_index; /**< of the next replica */
  uint32_t queued;          /**< number of queued tasks */
  enum cyc_queue_kind kind;
  enum cyc_spread spread;
  bool urgent;
  bool repeatable;
  bool removed;
  bool dirty; /**< the number of replicas must be checked */
};

/** Reason why a job ends before all its tasks are done. */
enum core_end_reason
{
  CORE_END_NONE,
  CORE_END_CANCELLED,
  CORE_END_FAILED,
  CORE_END_QUEUE_REMOVED,
  CORE_END_EXCEEDS_WORKERS,
  CORE_END_EXCEEDS_LIMIT
};

struct core_job
{
  struct cyc_id128 id;
  uint64_t submitted_us;
  uint64_t sequence;        /**< order of addition to the core */
  uint64_t next_attempt_us; /**< gang: time of the next attempt */
  struct core_list tasks;
  struct core_list queued;
  struct core_link in_queue;
  struct core_link in_cancel_or_ended;
  uint32_t queue;
  uint32_t total;             /**< number of tasks */
  uint32_t done;              /**< tasks done */
  uint32_t failed;            /**< tasks failed */
  uint32_t unknown;           /**< tasks with an unknown outcome */
  uint64_t reserved_until_us; /**< gang: 0 if it has no reservation */
  uint32_t reservation_count; /**< gang: reservations made for it */
  uint32_t cancel_tasks_left; /**< tasks that core_sys_cancel must stop */
  uint8_t end_reason;         /**< enum core_end_reason */
  bool started;               /**< at least one task was started */
  bool service;
  bool in_cancel;
  bool in_ended;
};

/** Stages of stopping a task, in this order. */
enum core_stop_stage
{
  CORE_STOP_NONE,
  CORE_STOP_CHECKPOINT,
  CORE_STOP_THROTTLE,
  CORE_STOP_FINAL
};

struct core_task
{
  struct cyc_resources declared; /**< counted for the team while on a worker */
  struct core_need need;         /**< counted on the worker while on it */
  struct cyc_resources estimate; /**< of the queue at the last count */
  struct cyc_resources used;     /**< last measurement */
  struct cyc_resources claim;    /**< capacity claimed on claim_worker */
  uint64_t started_us;
  uint64_t saved_until_us; /**< progress up to here survives a stop */
  uint64_t lease_deadline_us;
  uint64_t next_stage_us;  /**< time of the next stop stage; 0 if none */
  uint64_t drain_until_us; /**< end of a drain claim; 0 if none */
  struct core_link in_job;
  /** In the queued list of its job, or in the list of its worker's tasks. */
  struct core_link in_queued_or_worker;
  struct core_link in_team;
  struct core_link in_timer_slot;
  struct core_link in_emit;
  struct core_link in_batch; /**< batch tasks on workers, by start */
  struct core_link in_claim;
  uint32_t job;
  uint32_t index;
  uint32_t worker;
  uint32_t claim_worker;
  uint32_t timer_slot;
  uint32_t attempt;
  uint32_t failed_on[CORE_MAX_FAILED_WORKERS]; /**< workers it failed on */
  uint8_t failed_count;
  uint8_t state;      /**< enum cyc_task_state */
  uint8_t emit;       /**< enum cyc_decision_kind of the pending decision */
  uint8_t stop_stage; /**< enum core_stop_stage */
  bool emitting;      /**< a decision is pending */
  /** Started or found by this owner, or a replica with a new index: cannot run
   * on an unfenced worker. */
  bool started_by_this_owner;
  bool throttled;
  bool preempted;
  bool is_retry; /**< the next start follows a failure */
  bool outcome_unknown;
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
  struct core_map spread_map; /**< from (queue, rack) to replicas */
  struct core_list buckets[CORE_ACCELERATOR_CLASSES * CORE_CAPACITY_CLASSES
                           * CORE_CAPACITY_CLASSES];
  /** Bit per memory class: the bucket is not empty. */
  uint32_t memory_mask[CORE_ACCELERATOR_CLASSES][CORE_CAPACITY_CLASSES];
  struct core_list timer_slots[CORE_TIMER_SLOTS];
  uint64_t next_timer_slot; /**< next slot to process, not wrapped */
  struct core_list active[CORE_CLASS_COUNT]; /**< teams with queued tasks */
  struct core_list cancel;     /**< jobs whose tasks must be stopped */
  struct core_list ended_jobs; /**< jobs whose end must be emitted */
  struct core_list emit;       /**< tasks with a pending decision */
  struct core_list ejected;
  struct core_list dirty;  /**< service queues to check */
  struct core_list batch;  /**< batch tasks on workers, newest last */
  struct core_list claims; /**< tasks with a claim on a worker */
  uint32_t *scratch;       /**< buffer for one row number per task */
  uint32_t *team_scratch;
  uint64_t tick;
  uint64_t now_us;
  uint64_t last_share_us;
  uint64_t workers_changed_us;
  uint64_t sequence; /**< of the latest job */
  /** Tasks of jobs up to this sequence may run on unfenced workers. */
  uint64_t unfenced_sequence;
  uint64_t unfenced_until_us; /**< latest deadline of an unfenced worker */
  uint32_t unfenced;          /**< number of unfenced workers */
  uint32_t silent;            /**< number of silent workers */
  uint64_t total_millicores;
  uint64_t total_memory_mib;
  uint64_t total_accelerators;
  uint64_t used_millicores;
  uint64_t queued_tasks;
  uint64_t occupying_tasks;  /**< tasks on workers */
  uint64_t batch_running;    /**< batch tasks on workers */
  uint64_t preempting_tasks; /**< batch tasks being preempted */
  uint64_t starts;
  uint64_t preempted; /**< number of tasks preempted so far */
  uint64_t cancelled; /**< number of tasks cancelled so far */
  uint64_t refused_jobs;
  double retry_tokens; /**< number of retries allowed now */
  uint64_t random_state;
  uint64_t urgent_millicores;    /**< estimates of urgent tasks on workers */
  double urgent_peak_millicores; /**< decayed peak of urgent_millicores */
  uint64_t urgent_reserved_millicores;      /**< sum over workers */
  struct core_list urgent_reserved_workers; /**< with urgent_reserved */
  uint64_t urgent_peak_us;                  /**< last decay of the peak */
  uint64_t urgent_blocked_tick; /**< latest tick that blocked an urgent task */
  /** Latest tick that blocked a batch task of a team below its share. */
  uint64_t starved_tick;
  uint32_t active_drains;  /**< claims of core_drain_for */
  double fair_share_score; /**< score of a team that uses exactly its share */
  uint32_t reserved_gangs[CORE_MAX_RESERVED_GANGS]; /**< jobs */
  uint32_t reserved_gang_count;
  uint32_t failed_searches_left; /**< for the class in this tick */
  uint32_t starts_left;          /**< for this tick */
  bool starts_allowed;
  char *trace_line;  /**< buffer; NULL without desc.trace */
  char *trace_bits;  /**< buffer for a bitmap in hex */
  size_t trace_size; /**< of each of the two buffers, bytes */
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
void core_list_append (struct core_list *list, struct core_link_array rows,
                       uint32_t row);
void core_list_remove (struct core_list *list, struct core_link_array rows,
                       uint32_t row);
uint32_t core_list_next (struct core_link_array rows, uint32_t row);

/* Trace. Without desc.trace these functions have no effect. */
void core_trace (struct cyc_core_state *st, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Writes the id in hex to @p out; an empty string without desc.trace, which
 * saves the conversion. */
void core_trace_hex (const struct cyc_core_state *st,
                     const struct cyc_id128 *id, char out[33]);
/** Returns @p text, or "-" if it is empty. */
struct cyc_str core_trace_word (struct cyc_str text);
void core_trace_setup (struct cyc_core_state *st);
void core_trace_job (struct cyc_core_state *st, const struct cyc_core_job *job,
                     uint64_t now_us);
void core_trace_tick (struct cyc_core_state *st, uint64_t now_us,
                      const struct cyc_decision *out, uint32_t max,
                      uint32_t count);
/** Returns a hash of the decisions, which a replay compares with its trace. */
uint64_t core_decisions_digest (const struct cyc_decision *out,
                                uint32_t count);

/* Resources. */
struct cyc_resources core_res_add (struct cyc_resources a,
                                   struct cyc_resources b);
/** Subtracts each member; a negative result becomes zero. */
struct cyc_resources core_res_sub (struct cyc_resources a,
                                   struct cyc_resources b);
struct cyc_resources core_res_max (struct cyc_resources a,
                                   struct cyc_resources b);
struct core_need core_need_add (struct core_need a, struct core_need b);
struct core_need core_need_sub (struct core_need a, struct core_need b);
/** Returns the 95th percentile of the use. */
struct cyc_resources core_need_estimate (struct core_need need);
bool core_res_fits (struct cyc_resources need, struct cyc_resources free);

/* Lookups; they return CORE_NONE if the row does not exist. */
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
/** Returns whether new tasks may be placed on the worker at all. */
bool core_worker_usable (const struct cyc_core_state *st,
                         const struct core_worker *worker);
/** Returns the free capacity, also of an unusable worker. @p own_claim is the
 * requesting task's own claim on the worker, which counts as free. */
struct cyc_resources
core_worker_free_capacity (const struct cyc_core_state *st,
                           const struct core_worker *worker,
                           struct cyc_resources own_claim);
/** Marks the worker's tasks as LOST; tasks whose START was not emitted yet are
 * queued again. */
void core_worker_mark_tasks_lost (struct cyc_core_state *st, uint32_t row);
/** Key in spread_map for the queue and the worker's rack. */
uint64_t core_spread_key (const struct core_worker *worker, uint32_t queue);

/* Jobs and tasks. */
uint32_t core_task_create (struct cyc_core_state *st, uint32_t job,
                           uint32_t index);
void core_task_free (struct cyc_core_state *st, uint32_t row);
/** Adds the task to its job's queued list and to the queued counts of its
 * queue and team, and activates them if they had no queued tasks. */
void core_task_enqueue (struct cyc_core_state *st, uint32_t row);
void core_task_dequeue (struct cyc_core_state *st, uint32_t row);
/** Assigns a dequeued task to @p worker and counts it there and for its team.
 */
void core_task_occupy (struct cyc_core_state *st, uint32_t row,
                       uint32_t worker, enum cyc_task_state state);
/** Reverses core_task_occupy; the caller queues or ends the task. */
void core_task_vacate (struct cyc_core_state *st, uint32_t row);
/** Vacates the task, then queues it again, or ends it: as UNKNOWN if it was
 * sent and is not repeatable, as CANCELLED if its job has ended or is a
 * service. */
void core_task_requeue (struct cyc_core_state *st, uint32_t row);
void core_task_end (struct cyc_core_state *st, uint32_t row,
                    enum cyc_task_state state);
/** Sets the task's pending decision, in place of an earlier one. */
void core_task_emit (struct cyc_core_state *st, uint32_t row,
                     enum cyc_decision_kind kind);
/** Adds the task's need to that of its team, or subtracts it if @p add is
 * false. */
void core_team_adjust_need (struct cyc_core_state *st,
                            const struct core_task *task, bool add);
void core_task_cancel_emit (struct cyc_core_state *st, uint32_t row);
/** Sets the task's timer to @p at_us; 0 clears it. */
void core_task_set_timer (struct cyc_core_state *st, uint32_t row,
                          uint64_t at_us);
/** Enters a stop stage: emits its decision and sets the timer for the next. */
void core_task_stop (struct cyc_core_state *st, uint32_t row,
                     enum core_stop_stage stop_stage);
void core_task_release_claim (struct cyc_core_state *st, uint32_t row);
/** Ends a job early: its queued tasks leave the queue, and core_sys_cancel
 * stops the others. */
void core_job_finish (struct cyc_core_state *st, uint32_t row,
                      enum core_end_reason end_reason);
/** Moves the job to the ended list if it has no tasks left. */
void core_job_check_ended (struct cyc_core_state *st, uint32_t row);
uint32_t core_job_create (struct cyc_core_state *st,
                          const struct cyc_id128 *id, uint32_t queue);
void core_job_free (struct cyc_core_state *st, uint32_t row);
/** Returns the job of a service queue and creates it if there is none. */
uint32_t core_service_job (struct cyc_core_state *st, uint32_t queue);
/** Lets the next tick compare the number of replicas with the wanted number.
 */
void core_service_mark_dirty (struct cyc_core_state *st, uint32_t queue);
/** Adds the queue's tasks on workers to the sums of its team, or subtracts
 * them if @p add is false. Called before and after a change of the queue's
 * team or kind. */
void core_queue_count_usage (struct cyc_core_state *st, uint32_t queue,
                             bool add);
/** Adds a queue with queued tasks to its team's list, or removes it. */
void core_queue_activate (struct cyc_core_state *st, uint32_t queue);
void core_queue_deactivate (struct cyc_core_state *st, uint32_t queue);
/** Releases all claims on a worker that is being removed. */
void core_worker_release_claims (struct cyc_core_state *st, uint32_t worker);
/** Records whether a task of @p queue succeeded on the worker, and ejects or
 * reinstates the worker if necessary. */
void core_health_record_result (struct cyc_core_state *st, uint32_t worker,
                                uint32_t queue, bool succeeded);

/* Placement. */
/** Requirements of a task in the search for a worker. */
struct core_placement_request
{
  struct cyc_resources need;     /**< estimate; must fit a worker with tasks */
  struct cyc_resources declared; /**< suffices on an empty worker */
  uint32_t task;                 /**< workers in its failed_on are excluded */
  uint32_t queue;
  /** Estimated end; after the deadline of a reservation, reserved capacity is
   * excluded. */
  uint64_t expected_end_us;
  bool urgent;
  bool ignore_reservations; /**< may use capacity reserved for gangs */
};
void core_placement_request_init (const struct cyc_core_state *st,
                                  uint32_t task,
                                  struct core_placement_request *request);
/* Searches for a worker that accepts the request; CORE_NONE if none does. */
uint32_t core_find_fit_in_rack (struct cyc_core_state *st,
                                const struct core_placement_request *request,
                                uint32_t rack);
/** Prefers a rack with few replicas of the queue. */
uint32_t core_find_fit_spread (struct cyc_core_state *st,
                               const struct core_placement_request *request);
uint32_t core_find_fit (struct cyc_core_state *st,
                        const struct core_placement_request *request);
bool core_worker_accepts (const struct cyc_core_state *st, uint32_t worker,
                          const struct core_placement_request *request);
/** Returns whether the team's hard limit allows @p tasks more tasks. */
bool core_team_has_balance (const struct cyc_core_state *st, uint32_t queue,
                            uint64_t tasks);
/** Returns whether the task may still run on an unfenced worker, so that it
 * must not be started yet. */
bool core_task_awaits_fencing (const struct cyc_core_state *st, uint32_t task);
/** Assigns a queued task to the worker, with a new lease, and emits START. */
void core_task_start (struct cyc_core_state *st, uint32_t task,
                      uint32_t worker);

/* Systems; cyc_core_tick calls them in a fixed order. */
/** Handles expired leases and timers, and the end of unfenced periods. */
void core_sys_expiry (struct cyc_core_state *st);
/** Adds or stops replicas of service queues that are marked dirty. */
void core_sys_services (struct cyc_core_state *st);
/** Stops up to @p budget tasks of jobs that end early. */
void core_sys_cancel (struct cyc_core_state *st, uint32_t budget);
/** Starts probes on ejected workers and evaluates them. */
void core_sys_health (struct cyc_core_state *st);
/** Updates the decayed shares and the scores of all teams. */
void core_sys_shares (struct cyc_core_state *st);
/** Starts the tasks whose drained worker has enough capacity now, and releases
 * claims that have timed out. */
void core_sys_drains (struct cyc_core_state *st);
/** Places urgent tasks and adjusts the capacity reserved for them. */
void core_sys_urgent (struct cyc_core_state *st);
/** Places queued tasks of a class until starts or searches are used up. */
void core_sys_class (struct cyc_core_state *st, enum core_class class);
/** Places gangs and manages their reservations. */
void core_sys_gang (struct cyc_core_state *st);

/* Functions that several systems use. */
/** Recomputes the queue's estimate and need from its histograms. */
void core_queue_estimate (struct cyc_core_state *st, struct core_queue *queue);
/** Updates the mean run time and its deviation with a completed run. */
void core_queue_record_run (struct core_queue *queue, uint64_t run_us);
/** Preempts batch tasks of one worker for an urgent task and claims the freed
 * capacity; false if no choice of victims suffices. */
bool core_preempt_for (struct cyc_core_state *st, uint32_t task);
/** Reserves the capacity of an ended urgent task for the next one. The total
 * is limited to the recent peak of urgent use minus its present use. */
void core_urgent_reserve (struct cyc_core_state *st, uint32_t worker,
                          struct cyc_resources capacity);
/** Releases up to @p capacity of the worker's reservation for urgent tasks. */
void core_urgent_release (struct cyc_core_state *st, uint32_t worker,
                          struct cyc_resources capacity);
/** Drains a worker for a batch task of a team below its share: claims the
 * capacity that becomes free there. */
bool core_drain_for (struct cyc_core_state *st, uint32_t task);
/** Releases the oldest drain. Called when an urgent task does not fit. */
void core_drain_release_oldest (struct cyc_core_state *st);
/** Claims @p need on the worker for the task. */
void core_task_claim (struct cyc_core_state *st, uint32_t task,
                      uint32_t worker, struct cyc_resources need);
/** Releases the gang's reservation, if it has one. */
void core_gang_unreserve (struct cyc_core_state *st, uint32_t job);
/** Ends the job if it can never run here: it exceeds all workers or the limit
 * of its team. Returns whether the job has ended. */
bool core_refuse_unplaceable (struct cyc_core_state *st, uint32_t job,
                              uint32_t tasks);
/** Writes up to @p max pending decisions and ends of jobs to @p out. Returns
 * their number. */
uint32_t core_emit_all (struct cyc_core_state *st, struct cyc_decision *out,
                        uint32_t max);
void core_team_update_score (struct cyc_core_state *st,
                             struct core_team *team);

#endif
