/**
 * @file
 * Decision core of a failure domain's scheduler: tables of workers, teams,
 * queues, jobs and tasks, and systems that process them in each tick.
 *
 * The core has no clock, socket or log. The owner process reports events to
 * it, calls cyc_core_tick and executes the decisions. The outcome of every
 * decision on a task must be reported with cyc_core_task_report (started,
 * refused, ended, ...).
 *
 * @code
 * cyc_core_setup (&core, &(struct cyc_core_desc){ 0 }, &found);
 * cyc_core_worker_upsert (&core, &worker, now_us);
 * cyc_core_job_add (&core, &job, now_us);
 * uint32_t n = cyc_core_tick (&core, now_us, decisions, 256);
 * @endcode
 *
 * Errors: CYC_CORE_FULL if a table is full, CYC_CORE_UNKNOWN if a named row
 * does not exist, CYC_CORE_INVALID if the arguments are invalid or contradict
 * the state. With CYC_CORE_FULL the new item is not stored.
 */
#ifndef CYCLAMENDRUM_CORE_H
#define CYCLAMENDRUM_CORE_H

#include <cyclamendrum/base.h>
#include <cyclamendrum/config.h>

/** Members that are zero take the default in brackets. */
struct cyc_core_desc
{
  struct cyc_allocator allocator;
  uint32_t max_workers;          /**< [16,384] */
  uint32_t max_racks;            /**< [4,096] */
  uint32_t max_teams;            /**< [1,024] */
  uint32_t max_queues;           /**< [16,384] */
  uint32_t max_jobs;             /**< [131,072] */
  uint32_t max_tasks;            /**< [524,288] */
  uint32_t cancel_per_tick;      /**< tasks cancelled per tick [256] */
  uint32_t ejected_max_permille; /**< largest part of workers ejected [200] */
  uint32_t eject_failures;       /**< consecutive failed starts [4] */
  uint32_t probe_first_ms; /**< first backoff of an ejected worker [10,000] */
  uint32_t probe_last_ms;  /**< largest backoff [300,000] */
  /** Added to the declared size while a queue has no usage samples [250]. */
  uint32_t first_headroom_permille;
  uint32_t worker_high_permille; /**< overload limit, part of capacity [950] */
  /** Largest part of the running batch tasks preempted at a time [300]. */
  uint32_t preempt_max_permille;
  /** Batch use of a team that is not preempted, part of its share [100]. */
  uint32_t batch_floor_permille;
  uint32_t share_half_life_ms; /**< of past use in fair shares [60,000] */
  uint32_t gang_reserve_ms;    /**< lifetime of a reservation [30,000] */
  uint32_t task_lease_ms;      /**< lease of a task [30,000] */
  uint32_t service_lease_ms;   /**< lease of a replica [600,000] */
  uint32_t clock_error_ms;     /**< largest difference between clocks [250] */
  uint32_t max_attempts;       /**< of a task, on different workers [3] */
  uint64_t seed;               /**< of the random generator [1] */
  /** Receives one text line for each input and tick, from which the calls can
   * be replayed; may be NULL. */
  void (*trace) (void *user, struct cyc_str line);
  void *trace_user;
};

enum cyc_core_status
{
  CYC_CORE_OK = 0,
  CYC_CORE_FULL,    /**< a table is full */
  CYC_CORE_UNKNOWN, /**< a named worker, queue, job or task is unknown */
  CYC_CORE_INVALID
};

struct cyc_core_worker
{
  struct cyc_name name;
  struct cyc_name rack;
  struct cyc_resources capacity;
  bool leaving; /**< drains: no new task is placed on it */
};

struct cyc_core_team
{
  struct cyc_name name;
  uint32_t share_permille;
  uint64_t balance_millicores;   /**< hard limit in this domain */
  uint64_t balance_accelerators; /**< hard limit in this domain */
};

struct cyc_core_job
{
  struct cyc_id128 id;
  struct cyc_name queue;
  uint32_t tasks;
  uint32_t first_task;      /**< lowest index of new replicas; services only */
  const uint8_t *done_bits; /**< one bit per completed task; NULL if none */
  uint64_t submitted_us;
};

enum cyc_task_state
{
  CYC_TASK_QUEUED = 0,
  CYC_TASK_STARTING, /**< START was decided, not confirmed yet */
  CYC_TASK_RUNNING,
  CYC_TASK_STOPPING, /**< a stop was decided, not confirmed yet */
  CYC_TASK_LOST,     /**< worker silent; may run until its lease expires */
  CYC_TASK_DONE,
  CYC_TASK_FAILED,
  CYC_TASK_CANCELLED,
  CYC_TASK_UNKNOWN /**< outcome unknown, and not repeatable */
};

enum cyc_decision_kind
{
  CYC_DECISION_START,
  CYC_DECISION_STOP,
  CYC_DECISION_CHECKPOINT, /**< checkpoint, then stop */
  CYC_DECISION_THROTTLE,
  CYC_DECISION_UNTHROTTLE,
  CYC_DECISION_REFUSE,   /**< refuses the whole job; reason is set */
  CYC_DECISION_JOB_ENDED /**< all tasks ended; job_failed has the result */
};

struct cyc_decision
{
  enum cyc_decision_kind kind;
  struct cyc_id128 job;
  uint32_t task_index;
  struct cyc_ref task;
  struct cyc_ref worker;
  struct cyc_name worker_name;
  struct cyc_name queue;
  enum cyc_queue_kind queue_kind;
  struct cyc_resources size; /**< declared size, as sent to the worker */
  uint32_t attempt;
  uint64_t lease_deadline_us; /**< START: deadline of the lease */
  bool job_failed;            /**< JOB_ENDED: not all tasks completed */
  /** JOB_ENDED: the outcome of at least one task is unknown. */
  bool job_outcome_unknown;
  char reason[120];
};

enum cyc_task_event
{
  CYC_TASK_EVENT_STARTED,
  CYC_TASK_EVENT_REFUSED, /**< the worker definitely did not start it */
  CYC_TASK_EVENT_OUTCOME_UNKNOWN, /**< the start may have taken effect */
  CYC_TASK_EVENT_DONE,
  CYC_TASK_EVENT_FAILED,
  CYC_TASK_EVENT_STOPPED,     /**< stopped; its progress is lost */
  CYC_TASK_EVENT_CHECKPOINTED /**< stopped after a checkpoint */
};

/** Usage of a task or a worker as the worker reported it. */
struct cyc_core_usage
{
  struct cyc_resources used;
  uint64_t measured_us; /**< when the worker measured it */
};

/** Task that a new owner finds running on a worker. */
struct cyc_core_found_task
{
  struct cyc_id128 job;
  uint32_t task_index;
  struct cyc_name worker;
  struct cyc_name queue; /**< identifies the service if the job is unknown */
  struct cyc_resources size;
  uint64_t lease_deadline_us;
};

struct cyc_core
{
  struct cyc_core_state *state; /**< private */
};

bool cyc_core_setup (struct cyc_core *core, const struct cyc_core_desc *desc,
                     struct cyc_findings *findings);
void cyc_core_shutdown (struct cyc_core *core);

enum cyc_core_status
cyc_core_worker_upsert (struct cyc_core *core,
                        const struct cyc_core_worker *worker, uint64_t now_us);
/** Reports that the worker answered a heartbeat. */
enum cyc_core_status cyc_core_worker_seen (struct cyc_core *core,
                                           struct cyc_str worker,
                                           uint64_t now_us);
/** Reports that the worker is silent: no new tasks are placed on it; its tasks
 * become LOST and are started elsewhere only when their lease deadline plus
 * the clock error has passed. */
enum cyc_core_status cyc_core_worker_silent (struct cyc_core *core,
                                             struct cyc_str worker,
                                             uint64_t now_us);
/** Removes a worker that runs no tasks any more. */
enum cyc_core_status cyc_core_worker_remove (struct cyc_core *core,
                                             struct cyc_str worker,
                                             uint64_t now_us);
/** Reports that a new owner has not reached the worker yet. Until @p until_us
 * the worker may run any task of the domain, so a task that may run there is
 * not started elsewhere before then or before cyc_core_worker_seen. */
enum cyc_core_status cyc_core_worker_unfenced (struct cyc_core *core,
                                               struct cyc_str worker,
                                               uint64_t until_us);

enum cyc_core_status cyc_core_team_upsert (struct cyc_core *core,
                                           const struct cyc_core_team *team);
enum cyc_core_status cyc_core_queue_upsert (struct cyc_core *core,
                                            const struct cyc_queue_cfg *queue);
/** Removes the queue: refuses its queued jobs and stops its running tasks. */
enum cyc_core_status cyc_core_queue_remove (struct cyc_core *core,
                                            struct cyc_str queue);
/** Returns in @p out the id of the job that owns the replicas of a service
 * queue for which no job was added. */
void cyc_core_service_job (struct cyc_str queue, struct cyc_id128 *out);
/** Sets the number of replicas of a service queue in this domain. */
enum cyc_core_status cyc_core_service_scale (struct cyc_core *core,
                                             struct cyc_str queue,
                                             uint32_t replicas,
                                             uint64_t now_us);

enum cyc_core_status cyc_core_job_add (struct cyc_core *core,
                                       const struct cyc_core_job *job,
                                       uint64_t now_us);
enum cyc_core_status cyc_core_job_cancel (struct cyc_core *core,
                                          const struct cyc_id128 *job,
                                          uint64_t now_us);
/** Adds a task that already runs, without a START. Called when a new owner
 * collects the running tasks of its workers. */
enum cyc_core_status
cyc_core_task_found (struct cyc_core *core,
                     const struct cyc_core_found_task *found, uint64_t now_us);
enum cyc_core_status cyc_core_task_report (struct cyc_core *core,
                                           const struct cyc_id128 *job,
                                           uint32_t task_index,
                                           enum cyc_task_event event,
                                           uint64_t now_us);
enum cyc_core_status cyc_core_task_usage (struct cyc_core *core,
                                          const struct cyc_id128 *job,
                                          uint32_t task_index,
                                          const struct cyc_core_usage *usage,
                                          uint64_t now_us);
/** Reports that the worker accepted a lease up to @p lease_deadline_us. */
enum cyc_core_status cyc_core_task_renewed (struct cyc_core *core,
                                            const struct cyc_id128 *job,
                                            uint32_t task_index,
                                            uint64_t lease_deadline_us);
/** Reports the total usage of a worker, including processes that are not tasks
 * of the core. */
enum cyc_core_status cyc_core_worker_usage (struct cyc_core *core,
                                            struct cyc_str worker,
                                            const struct cyc_core_usage *usage,
                                            uint64_t now_us);

/** Enables or disables START decisions. Disabled while the process is not the
 * owner, or is still collecting the running tasks of its workers. */
void cyc_core_allow_starts (struct cyc_core *core, bool starts_allowed);

/** Runs all systems once. Returns the number of decisions written. */
uint32_t cyc_core_tick (struct cyc_core *core, uint64_t now_us,
                        struct cyc_decision *out, uint32_t max);

/** Progress of a replay. */
struct cyc_core_replay
{
  struct cyc_decision *out; /**< buffer for the decisions of one tick */
  uint32_t max;             /**< capacity of out, in decisions */
  uint64_t ticks;
  uint64_t decisions;
  uint64_t mismatches; /**< ticks whose decisions differ from the trace */
  uint64_t first_mismatch_us;
};
/** Parses the first line of a trace; false if it is not a "setup" line. */
bool cyc_core_replay_setup (struct cyc_str line, struct cyc_core_desc *out);
/** Applies a subsequent line of the trace; false if it is malformed. */
bool cyc_core_replay_line (struct cyc_core *core, struct cyc_str line,
                           struct cyc_core_replay *replay);

struct cyc_core_task_view
{
  struct cyc_id128 job;
  uint32_t task_index;
  enum cyc_task_state state;
  struct cyc_name worker;
  struct cyc_name queue;
  uint64_t lease_deadline_us;
};
/** Returns the next task that occupies a worker, false at the end; start with
 * *cursor = 0. */
bool cyc_core_task_next (const struct cyc_core *core, uint32_t *cursor,
                         struct cyc_core_task_view *out);

struct cyc_core_job_view
{
  uint32_t tasks;
  uint32_t queued;
  uint32_t running;
  uint32_t done;
  uint32_t failed;
};
bool cyc_core_job_view (const struct cyc_core *core,
                        const struct cyc_id128 *job,
                        struct cyc_core_job_view *out);

struct cyc_core_team_view
{
  struct cyc_name name;
  uint64_t used_millicores; /**< declared sizes of tasks on workers */
  uint64_t used_accelerators;
  uint64_t wanted_millicores; /**< declared sizes of queued tasks */
  uint64_t wanted_accelerators;
  uint32_t share_permille;     /**< configured share */
  uint32_t got_share_permille; /**< dominant share, decayed average */
};
bool cyc_core_team_at (const struct cyc_core *core, uint32_t position,
                       struct cyc_core_team_view *out);

struct cyc_core_totals
{
  uint32_t workers;
  uint32_t ejected;
  uint32_t silent;
  uint64_t capacity_millicores;
  uint64_t used_millicores;
  uint64_t queued_tasks;
  uint64_t running_tasks;
  uint64_t starts;
  uint64_t preempted;
  uint64_t cancelled;
  uint64_t refused_jobs;
};
void cyc_core_totals (const struct cyc_core *core,
                      struct cyc_core_totals *out);

#endif
