/**
 * @file
 * Decision core of a failure domain's scheduler: tables of workers, teams,
 * queues, jobs and tasks, and systems that run over them each tick.
 *
 * The core has no clock, socket or log. The owner process feeds it what it
 * learned, calls cyc_core_tick, and carries the decisions out. Every decision
 * must be answered by cyc_core_task_report (started, refused, ended, ...).
 *
 * @code
 * cyc_core_setup (&core, &(struct cyc_core_desc){ 0 }, &found);
 * cyc_core_worker_upsert (&core, &worker, now_us);
 * cyc_core_job_add (&core, &job, now_us);
 * uint32_t n = cyc_core_tick (&core, now_us, decisions, 256);
 * @endcode
 *
 * Errors: a full table is answered with CYC_CORE_FULL and nothing is kept.
 */
#ifndef CYCLAMENDRUM_CORE_H
#define CYCLAMENDRUM_CORE_H

#include <cyclamendrum/base.h>
#include <cyclamendrum/config.h>

/** Zero members take the default in brackets. */
struct cyc_core_desc
{
  struct cyc_allocator allocator;
  uint32_t max_workers;             /**< [16,384] */
  uint32_t max_racks;               /**< [4,096] */
  uint32_t max_teams;               /**< [1,024] */
  uint32_t max_queues;              /**< [16,384] */
  uint32_t max_jobs;                /**< [131,072] */
  uint32_t max_tasks;               /**< [524,288] */
  uint32_t cancel_per_tick;         /**< tasks [256] */
  uint32_t ejected_max_permille;    /**< of the workers [200] */
  uint32_t eject_failures;          /**< consecutive failed starts [4] */
  uint32_t probe_first_ms;          /**< [10,000] */
  uint32_t probe_last_ms;           /**< [300,000] */
  uint32_t first_headroom_permille; /**< for queues without usage [250] */
  uint32_t worker_high_permille;    /**< of memory or capacity [950] */
  uint32_t preempt_max_permille;    /**< of running batch tasks [300] */
  uint32_t batch_floor_permille;    /**< of a team's share [100] */
  uint32_t share_half_life_ms;      /**< [60,000] */
  uint32_t gang_reserve_ms;         /**< life of a reservation [30,000] */
  uint32_t task_lease_ms;           /**< [30,000] */
  uint32_t service_lease_ms;        /**< [600,000] */
  uint32_t clock_error_ms;          /**< [250] */
  uint32_t max_attempts;            /**< failures on different workers [3] */
  uint64_t seed;                    /**< of the choices among equals [1] */
  /** Called with one text line for each input and tick, so that a run can be
   * replayed; may be NULL. */
  void (*trace) (void *user, struct cyc_str line);
  void *trace_user;
};

enum cyc_core_status
{
  CYC_CORE_OK = 0,
  CYC_CORE_FULL,
  CYC_CORE_UNKNOWN,
  CYC_CORE_INVALID
};

struct cyc_core_worker
{
  struct cyc_name name;
  struct cyc_name rack;
  struct cyc_resources capacity;
  bool leaving; /**< nothing new is placed on it */
};

struct cyc_core_team
{
  struct cyc_name name;
  uint32_t share_permille;
  uint64_t balance_millicores; /**< hard limit in this domain */
  uint64_t balance_accelerators;
};

struct cyc_core_job
{
  struct cyc_id128 id;
  struct cyc_name queue;
  uint32_t tasks;
  uint32_t first_task;      /**< index of the first task; services use it */
  const uint8_t *done_bits; /**< tasks already done; NULL: none */
  uint64_t submitted_us;
};

enum cyc_task_state
{
  CYC_TASK_QUEUED = 0,
  CYC_TASK_STARTING, /**< START was issued, no report yet */
  CYC_TASK_RUNNING,
  CYC_TASK_STOPPING, /**< STOP or CHECKPOINT was issued */
  CYC_TASK_LOST,     /**< worker silent; runs until its lease is over */
  CYC_TASK_DONE,
  CYC_TASK_FAILED,
  CYC_TASK_CANCELLED,
  CYC_TASK_UNKNOWN /**< may not be repeated and its fate is unknown */
};

enum cyc_decision_kind
{
  CYC_DECISION_START,
  CYC_DECISION_STOP,
  CYC_DECISION_CHECKPOINT, /**< checkpoint, then stop */
  CYC_DECISION_THROTTLE,
  CYC_DECISION_UNTHROTTLE,
  CYC_DECISION_REFUSE,   /**< the whole job; reason is set */
  CYC_DECISION_JOB_ENDED /**< all tasks ended; job_failed tells how */
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
  enum cyc_queue_kind work;
  struct cyc_resources size; /**< declared, as sent to the worker */
  uint32_t attempt;
  uint64_t lease_deadline_us; /**< START: not-after */
  bool job_failed;
  bool job_unknown; /**< JOB_ENDED: the fate of some task is not known */
  char reason[120];
};

enum cyc_task_event
{
  CYC_TASK_EVENT_STARTED,
  CYC_TASK_EVENT_REFUSED,      /**< the worker provably did not start it */
  CYC_TASK_EVENT_FATE_UNKNOWN, /**< the start may have taken effect */
  CYC_TASK_EVENT_DONE,
  CYC_TASK_EVENT_FAILED,
  CYC_TASK_EVENT_STOPPED,     /**< stopped, work lost */
  CYC_TASK_EVENT_CHECKPOINTED /**< stopped, work kept */
};

/** Usage of one task as the worker reported it. */
struct cyc_core_usage
{
  struct cyc_resources used;
  uint64_t measured_us; /**< when the worker measured it */
};

/** A task found on a worker when a new owner takes stock. */
struct cyc_core_found
{
  struct cyc_id128 job;
  uint32_t task_index;
  struct cyc_name worker;
  struct cyc_name queue; /**< for tasks whose job is not known */
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
/** The worker answered a heartbeat. */
enum cyc_core_status cyc_core_worker_seen (struct cyc_core *core,
                                           struct cyc_str worker,
                                           uint64_t now_us);
/** The worker is silent: nothing new there; its tasks become LOST and are
 * started elsewhere only after their lease deadline and the clock error. */
enum cyc_core_status cyc_core_worker_silent (struct cyc_core *core,
                                             struct cyc_str worker,
                                             uint64_t now_us);
/** The worker is gone for good and runs nothing. */
enum cyc_core_status cyc_core_worker_remove (struct cyc_core *core,
                                             struct cyc_str worker,
                                             uint64_t now_us);
/** A worker that a new owner has not reached yet may run any task of the
 * domain until @p until_us; START of restartable tasks that may run there is
 * held back until then or until cyc_core_worker_seen. */
enum cyc_core_status cyc_core_worker_unfenced (struct cyc_core *core,
                                               struct cyc_str worker,
                                               uint64_t until_us);

enum cyc_core_status cyc_core_team_upsert (struct cyc_core *core,
                                           const struct cyc_core_team *team);
enum cyc_core_status cyc_core_queue_upsert (struct cyc_core *core,
                                            const struct cyc_queue_cfg *queue);
/** Queued jobs of the queue are refused; running tasks are stopped. */
enum cyc_core_status cyc_core_queue_remove (struct cyc_core *core,
                                            struct cyc_str queue);
/** Id of the job that holds the replicas of a service queue when no job was
 * added for the queue. */
void cyc_core_service_job (struct cyc_str queue, struct cyc_id128 *out);
/** Number of replicas of a service queue wanted in this domain. */
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
/** Stock-taking: enters a running task without a START. */
enum cyc_core_status cyc_core_task_found (struct cyc_core *core,
                                          const struct cyc_core_found *found,
                                          uint64_t now_us);
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
/** The worker accepted a lease up to @p lease_deadline_us. */
enum cyc_core_status cyc_core_task_renewed (struct cyc_core *core,
                                            const struct cyc_id128 *job,
                                            uint32_t task_index,
                                            uint64_t lease_deadline_us);
/** Total usage of a worker, with what is not ours. */
enum cyc_core_status cyc_core_worker_usage (struct cyc_core *core,
                                            struct cyc_str worker,
                                            const struct cyc_core_usage *usage,
                                            uint64_t now_us);

/** While false, no START is decided (not the owner, or taking stock). */
void cyc_core_allow_starts (struct cyc_core *core, bool allow);

/** Runs all systems once. Returns the number of decisions written. */
uint32_t cyc_core_tick (struct cyc_core *core, uint64_t now_us,
                        struct cyc_decision *out, uint32_t max);

/** Progress of a replay. */
struct cyc_core_replay
{
  struct cyc_decision *out; /**< room for one tick */
  uint32_t max;             /**< rows of out */
  uint64_t ticks;
  uint64_t decisions;
  uint64_t mismatches; /**< ticks that decided otherwise */
  uint64_t first_mismatch_us;
};
/** Reads the first line of a trace; false when it is no "setup" line. */
bool cyc_core_replay_setup (struct cyc_str line, struct cyc_core_desc *out);
/** Applies one further line; false when the line is malformed. */
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
/** Iterates over tasks that occupy a worker; start with *cursor = 0. */
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
  uint64_t used_millicores; /**< declared size of what occupies workers */
  uint64_t used_accelerators;
  uint64_t wanted_millicores; /**< declared size of what is queued */
  uint64_t wanted_accelerators;
  uint32_t share_permille;     /**< configured */
  uint32_t got_share_permille; /**< decayed dominant share in the domain */
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
