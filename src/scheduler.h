/**
 * @file
 * The scheduler process: state shared by the scheduler_*.c files.
 *
 * A domain may have several scheduler processes. The one that holds the
 * domain's claim is its owner: it alone starts tasks, lends permits and writes
 * job results. The others follow the log and stand by.
 *
 * Callbacks between ticks mainly record what was received; all decisions are
 * made in the tick (sc_tick). The tick first checks the deadlines of this
 * process's own claim, then updates the core, runs it and executes its
 * decisions. A process that resumes after a pause therefore sends nothing
 * before it knows whether it is still the owner.
 *
 * Files:
 * - scheduler_claim.c: claim of the domain, takeover, planned stop
 * - scheduler_workers.c: VM list, membership, worker heartbeats
 * - scheduler_heartbeat.c: tasks listed in answers to heartbeats
 * - scheduler_tasks.c: starts, commands and checkpoints of tasks
 * - scheduler_jobs.c: jobs stream
 * - scheduler_config.c: teams, queues and replicas
 * - scheduler_limits.c: aggregates of other domains, transfers of balance
 * - scheduler_peers.c: messages to and from other processes
 * - scheduler_status.c: HTTP endpoints
 * - scheduler_main.c: setup, tick and shutdown
 *
 * Polling the workers: a new owner learns from the first heartbeats of its
 * epoch which tasks run. The workers are polled once each known worker has
 * answered a heartbeat of the epoch or failed to answer one.
 *
 * All tables have a fixed size that is allocated at setup. Rows refer to each
 * other by index; SC_NONE means no row.
 */
#ifndef SCHEDULER_H
#define SCHEDULER_H

#include "burn_report.h"
#include "control.h"
#include "follow.h"
#include "http_server.h"
#include "log_event.h"
#include "peer.h"
#include "vm_list.h"
#include "worker_client.h"

#include <cyclamendrum/claim.h>
#include <cyclamendrum/core.h>
#include <cyclamendrum/jobs.h>
#include <cyclamendrum/permit.h>
#include <cyclamendrum/record.h>

#include <stdio.h>

#define SC_NONE UINT32_MAX
#define SC_MAX_WORKERS 2048
#define SC_MAX_TASKS 131072
#define SC_MAX_JOBS 131072
#define SC_MAX_QUEUES 16384
#define SC_MAX_TEAMS 1024
#define SC_MAX_DECISIONS 1024
#define SC_MAX_BATCHES 64
#define SC_MAX_STARTS 4096
#define SC_MAX_CHECKPOINTS 16384
#define SC_MAX_UNTRACKED_ACKS 16
#define SC_CHECKPOINT_BYTES 64
#define SC_MAX_BATCH_JOBS 128
#define SC_US_PER_MS UINT64_C (1000)
#define SC_US_PER_S UINT64_C (1000000)

enum sc_task_state
{
  /** The start is decided; the record of the attempt is not yet read back. */
  SC_TASK_AWAITING_ATTEMPT = 0,
  SC_TASK_STARTING,      /**< the start call is in progress */
  SC_TASK_START_UNKNOWN, /**< the answer to the start call was lost */
  SC_TASK_RUNNING,
  /** The worker keeps the final state until it is acknowledged. */
  SC_TASK_ENDED
};

/** A task that its worker may know. */
struct sc_task
{
  struct cyc_id128 job;
  struct cyc_id128 lease;
  struct cyc_name queue;
  struct cyc_resources size;
  uint32_t index;
  uint32_t worker;
  uint32_t prev;      /**< previous task of the same worker */
  uint32_t next;      /**< next task of the same worker */
  uint32_t hash_next; /**< next task in the same hash chain */
  uint32_t
      address_generation; /**< address_generation of the worker at the start */
  enum cyc_queue_kind kind;
  enum sc_task_state state;
  /** End of the latest lease that the worker may hold. */
  uint64_t lease_not_after_us;
  uint64_t start_not_after_us; /**< end of validity of the start call */
  /** Time at which the start was decided or the task was found. */
  uint64_t decided_us;
  /** Time at which the start was answered or a heartbeat listed the task; 0 if
   * the task was found. */
  uint64_t start_answered_us;
  uint64_t command_sent_us; /**< time at which the newest command was sent */
  /** A stop or checkpoint is repeated until the task ends. */
  bool command_wanted;
  bool done; /**< in SC_TASK_ENDED: the task completed its work */
  /** A heartbeat carried the acknowledgement of the final state. */
  bool acked;
  enum wc_verb command; /**< newest command */
  /** Number of the newest heartbeat whose answer listed the task. */
  uint64_t listed_heartbeat;
};

/** State of one worker VM. The index equals the one of its membership row. */
struct sc_worker
{
  struct cyc_ref member;
  struct cyc_name name;
  uint32_t first_task;
  uint32_t task_count;
  uint32_t failures;         /**< consecutive heartbeats without a success */
  uint64_t heartbeat_number; /**< number of heartbeats sent */
  uint64_t heartbeat_due_us; /**< time of the next heartbeat */
  uint64_t sent_us;          /**< sending time of the newest heartbeat */
  uint64_t accepted_us;  /**< sending time of the newest accepted heartbeat */
  uint64_t fenced_epoch; /**< epoch of the newest accepted heartbeat */
  /** Epoch of the newest heartbeat that was answered or failed. */
  uint64_t attempted_epoch;
  bool in_core;
  bool leaving_reported;
  bool silent_reported;
  uint32_t untracked_ack_count;
  /** Names of ended tasks without a row, to acknowledge in the next heartbeat.
   */
  char untracked_acks[SC_MAX_UNTRACKED_ACKS][WC_TASK_BYTES];
};

/** Heartbeat call to the worker with the same index. The call may outlive a
 * worker that is forgotten; a new worker in that row gets its first heartbeat
 * only after the call has ended. */
struct sc_heartbeat
{
  struct sc_scheduler *sc;
  struct cyc_ref member;
  uint64_t epoch;
  uint64_t sent_us;
  bool open;
};

/** A start call in progress. */
struct sc_start
{
  struct sc_scheduler *sc;
  struct cyc_ref ref;
  struct cyc_id128 job;
  struct cyc_id128 lease;
  uint32_t index;
  uint64_t sent_us;
};

/** Kinds of records to append for a job; a bit set. */
enum sc_job_record
{
  SC_RECORD_PROGRESS = 1, /**< attempt and completed tasks */
  SC_RECORD_DONE = 2,     /**< final state */
  SC_RECORD_RESUBMIT = 4, /**< submission again, before the log trims it */
  SC_RECORD_CANCEL = 8    /**< cancellation, again after a resubmission */
};

/** The owner's state of an open job of this domain. */
struct sc_job
{
  struct cyc_id128 id;
  struct cyc_name queue;
  uint32_t tasks;
  uint32_t hash_next;
  /** Next job in the list of jobs with pending records. */
  uint32_t dirty_next;
  uint32_t pending_records; /**< bits of enum sc_job_record to append */
  /** Bits of enum sc_job_record in a batch that is being appended. */
  uint32_t in_flight_records;
  uint32_t attempt;
  bool in_dirty;
  bool in_core;
  /** The cancellation was passed to the core, if it has the job. */
  bool cancel_applied;
  /** A JobProgress record with an attempt was read back. */
  bool attempt_logged;
  bool repeatable;
  bool removal_pending; /**< the row is freed once nothing refers to it */
  bool resubmitted;     /**< this owner appended the submission again */
  enum cyc_job_state final_state; /**< CYC_JOB_QUEUED until the job ends */
  char reason[120];
  uint8_t done_bits[CYC_JOB_MAX_TASKS / 8]; /**< one bit per completed task */
};

/** Checkpoint from which an interrupted task continues. */
struct sc_checkpoint
{
  struct cyc_id128 job;
  uint32_t index;
  uint32_t hash_next;
  char text[SC_CHECKPOINT_BYTES]; /**< as its worker named it */
};

/** Append of one record with the events of several jobs. */
struct sc_batch
{
  struct sc_scheduler *sc;
  uint64_t epoch;
  uint64_t sent_us;
  uint32_t count;
  struct cyc_id128 job_ids[SC_MAX_BATCH_JOBS];
};

/** A configured queue. */
struct sc_queue
{
  struct cyc_name name;
  /** Newest configuration pass that contained the queue. */
  uint64_t seen_config_pass;
  uint32_t hash_next;
  uint32_t run_ms;
  enum cyc_queue_kind kind;
  bool repeatable;
  bool targets_dirty; /**< the gateways need a new target list */
  /** The core has the lowest replica index of this epoch. */
  bool first_replica_set;
  uint64_t targets_version;
};

/** Hash index of chained rows, by 64-bit hash. */
struct sc_index
{
  uint32_t *heads; /**< first row of each chain; SC_NONE if empty */
  uint32_t mask;   /**< number of chains - 1 */
};

/** Transfer of part of a team's balance to another domain. */
struct sc_transfer
{
  struct sc_scheduler *sc;
  struct cyc_name team;
  struct cyc_id128 record_id;
  struct cyc_str record; /**< released with free() */
  uint64_t millicores;   /**< while open: subtracted from the usable balance */
  uint64_t accelerators;
  uint64_t next_allowed_us; /**< earliest time of the team's next transfer */
  bool open;                /**< the record's outcome is unknown */
};

/** What a team uses and wants in another domain. */
struct sc_team_use
{
  struct cyc_name team;
  uint64_t used_millicores;
  uint64_t wanted_millicores;
  uint64_t used_accelerators;
  uint64_t wanted_accelerators;
};

/** Newest report of the owner of another domain. */
struct sc_aggregate
{
  struct cyc_name domain;
  uint64_t epoch;
  uint64_t received_us;
  uint64_t free_millicores;
  uint32_t count;
  struct sc_team_use *teams; /**< SC_MAX_TEAMS rows */
};

/** Phases of a planned stop. */
enum sc_phase
{
  SC_PHASE_RUN = 0,
  SC_PHASE_STOPPING,  /**< no new starts; waits for open starts and records */
  SC_PHASE_RELEASING, /**< the release of the claim is being appended */
  SC_PHASE_EXIT
};

struct sc_scheduler
{
  struct set_settings settings;
  struct ev_loop *loop;
  struct ev_timer timer;
  struct ev_signal signals[2];
  struct cyc_id128 incarnation;
  uint64_t now_us;
  enum sc_phase phase;
  uint64_t phase_deadline_us;
  bool ready_reported; /**< EV_READY was logged for the current readiness */

  struct hc_client hc;
  struct hs_server hs;
  struct lc_http log;
  struct wc_http workers_http;
  struct vl_http list_http;
  struct met_set met;
  struct bw_set burn;
  struct ctl_control ctl;
  struct fo_follow follow;
  struct pl_links links;
  struct wc_worker *worker_client;
  struct vl_list *vm_list;
  FILE *trace;

  struct cyc_clm claim;
  /** Epoch of the own claim, to which the tables below belong; 0 while not the
   * owner. */
  uint64_t epoch;
  uint64_t claimed_us;
  bool claim_dirty;            /**< the ledger's claim may have changed */
  uint64_t claim_append_token; /**< token of the claim append in progress */
  bool workers_polled; /**< each worker answered a heartbeat of this epoch or
                          failed to */
  uint64_t next_count_us; /**< time of the next count of fenced workers */
  /** Starts were allowed at least once in this epoch. */
  bool first_starts_allowed;
  bool starts_allowed; /**< as of the newest tick */
  /** EV_CLAIM_EXTENDED was logged: the claim is held through the workers
   * although its last renewal has lapsed. */
  bool extension_reported;
  uint32_t ejected_reported; /**< ejected workers in the newest log line */

  struct cyc_members members;
  uint64_t vm_list_due_us;
  uint64_t members_due_us; /**< time of the next membership check */
  /** Newest failed poll; 0 if the newest one succeeded. */
  uint64_t vm_list_failed_us;
  struct sc_worker *workers;
  struct sc_heartbeat *heartbeats;
  uint32_t worker_high; /**< rows of workers ever used */

  struct cyc_core core;
  struct cyc_decision *decisions;
  struct sc_task *tasks;
  struct cyc_pool task_pool;
  struct sc_index task_index;
  struct sc_checkpoint *checkpoints;
  struct cyc_pool checkpoint_pool;
  struct sc_index checkpoint_index;
  struct sc_start *starts;
  struct cyc_pool start_pool;
  uint32_t starts_open;
  uint64_t held_checked_us;
  uint32_t awaiting_attempt_count; /**< tasks in SC_TASK_AWAITING_ATTEMPT */

  struct cyc_jobs jobs;
  bool jobs_ready; /**< the jobs stream was read to its head once */
  /** The read barrier (append_barrier) is being appended. */
  bool barrier_open;
  /** Epoch in which the newest barrier was appended. */
  uint64_t barrier_epoch;
  uint64_t caught_up_epoch; /**< newest epoch whose barrier was read back */
  struct sc_job *job_rows;
  struct cyc_pool job_pool;
  struct sc_index job_index;
  /** Head of the list of jobs with pending records. */
  uint32_t first_dirty_job;
  uint32_t dirty_count;
  struct sc_batch *batches;
  struct cyc_pool batch_pool;
  uint64_t flush_due_us;
  uint64_t rescan_due_us;
  /** Starts of earlier owners are not yet checked for unknown outcomes. */
  bool starts_unresolved;

  struct sc_queue *queues;
  struct cyc_pool queue_pool;
  struct sc_index queue_index;
  /** Number of the newest pass over the configured queues. */
  uint64_t config_pass;
  bool config_dirty; /**< teams and queues must be passed to the core */
  bool teams_dirty;  /**< balances of teams must be passed to the core */
  /** Time of the next repetition of all target lists. */
  uint64_t targets_resend_us;

  struct cyc_permits permits;
  struct sc_transfer *transfers; /**< newest transfer of each team */
  uint32_t transfer_count;
  struct sc_aggregate aggregates[CYC_MAX_DOMAINS];
  uint32_t aggregate_count;
  uint64_t aggregate_due_us; /**< time of the next own aggregate */
  uint8_t *snapshot; /**< control snapshot being received from a peer */
  size_t snapshot_len;
  uint32_t snapshot_next_index;
};

/* scheduler_main.c */
/** Sets up the process and starts its timer. Returns false with findings if
 * the settings are unusable, a port cannot be opened or memory is short. */
bool sc_setup (struct sc_scheduler *sc, const struct set_settings *settings,
               struct ev_loop *loop, struct cyc_findings *findings);
void sc_shutdown (struct sc_scheduler *sc);
/** Runs one tick; called every settings.tick_ms. */
void sc_tick (struct sc_scheduler *sc);
/** Allocates at least @p rows chains. Returns false if out of memory. */
bool sc_index_setup (struct sc_index *index, uint32_t rows);
/** Writes a trace line of the core to settings.trace_file. */
void sc_trace_line (void *user, struct cyc_str line);
/** Hash of an id and a number, e.g. job and task index. */
uint64_t sc_hash_id (const struct cyc_id128 *id, uint32_t number);
uint64_t sc_hash_name (struct cyc_str name);

/* scheduler_claim.c */
bool sc_claim_setup (struct sc_scheduler *sc, struct cyc_findings *findings);
/** First step of each tick: checks the own deadlines, follows changes of owner
 * and appends claims and renewals. */
void sc_claim_tick (struct sc_scheduler *sc);
/** Returns the time until which tasks of earlier owners may run on workers
 * that were not reached. */
uint64_t sc_unfenced_until_us (const struct sc_scheduler *sc);
/** Begins a planned stop: waits for open starts, then releases the claim. */
void sc_stop (struct sc_scheduler *sc);
/** Advances a planned stop and ends the event loop at its end. */
void sc_stop_tick (struct sc_scheduler *sc);

/* scheduler_workers.c */
/** Polls the VM list and checks the membership. */
void sc_workers_tick (struct sc_scheduler *sc);
/** Sends the heartbeats that are due. */
void sc_workers_send_heartbeats (struct sc_scheduler *sc);
/** Adds all known workers to a new core. */
void sc_workers_add_to_core (struct sc_scheduler *sc);
/** Tells the core which workers were not reached in this epoch. Tasks that may
 * run there are not started elsewhere until sc_unfenced_until_us. Covers only
 * jobs that the core has, so call it after the jobs were added. */
void sc_workers_mark_unfenced (struct sc_scheduler *sc);
/** Counts known and fenced workers for the claim. */
void sc_workers_count (struct sc_scheduler *sc, struct cyc_clm_workers *out);

/* scheduler_heartbeat.c */
/** Processes the answer to a heartbeat that was sent at @p sent_us: listed and
 * missing tasks, final states and usage. */
void sc_heartbeat_process_answer (struct sc_scheduler *sc, uint32_t worker,
                                  const struct wc_heartbeat_result *result,
                                  uint64_t sent_us);

/** Acknowledges an ended task without a row in the next heartbeat. Drops the
 * acknowledgement if the worker's list is full; the worker then lists the task
 * again. */
void sc_heartbeat_queue_ack (struct sc_scheduler *sc, uint32_t worker,
                             struct cyc_str task);

/* scheduler_tasks.c */
/** Callback of commands whose effect is seen in the next heartbeat. */
void sc_ignore_result (void *user, const struct wc_result *result);
/** Frees all tasks and checkpoints when ownership ends. */
void sc_tasks_reset (struct sc_scheduler *sc);
/** Returns the row of the task, or SC_NONE. */
uint32_t sc_task_find (const struct sc_scheduler *sc,
                       const struct cyc_id128 *job, uint32_t index);
/** Returns the new row, or SC_NONE if the table is full. */
uint32_t sc_task_add (struct sc_scheduler *sc, const struct cyc_id128 *job,
                      uint32_t index, uint32_t worker);
/** Frees the row of a task. */
void sc_task_drop (struct sc_scheduler *sc, uint32_t task);
/** Writes the name under which the worker knows the task: the job's id and the
 * index, or for a replica "svc-", queue, domain and index. */
void sc_task_name (const struct sc_scheduler *sc, const struct sc_task *task,
                   char out[WC_TASK_BYTES]);
/** Splits a name made by sc_task_name. Returns false for names of other
 * domains and malformed names. */
bool sc_task_parse (struct sc_scheduler *sc, struct cyc_str name,
                    struct cyc_str queue, struct cyc_id128 *job,
                    uint32_t *index, bool *service);
/** Sends a command to the task's worker. A task whose start was not sent yet
 * is reported as refused instead. */
void sc_task_command (struct sc_scheduler *sc, uint32_t task,
                      enum wc_verb verb);
/** Reports the end or refused start of a task to the core and its job. */
void sc_task_report_end (struct sc_scheduler *sc, uint32_t task,
                         enum cyc_task_event event);
/** Sends the starts whose attempt has been read back from the log, and reports
 * those as refused whose lease would end too soon. */
void sc_tasks_start_recorded (struct sc_scheduler *sc);
/** Runs the core and executes its decisions. */
void sc_tasks_run (struct sc_scheduler *sc);

/** Returns the checkpoint of the task; empty if there is none. */
struct cyc_str sc_checkpoint_find (const struct sc_scheduler *sc,
                                   const struct cyc_id128 *job,
                                   uint32_t index);
/** Stores the checkpoint of a task. Ignores it if it is empty or too long, or
 * if the table is full. */
void sc_checkpoint_put (struct sc_scheduler *sc, const struct cyc_id128 *job,
                        uint32_t index, struct cyc_str text);
void sc_checkpoint_drop (struct sc_scheduler *sc, const struct cyc_id128 *job,
                         uint32_t index);

/* scheduler_jobs.c */
bool sc_jobs_setup (struct sc_scheduler *sc, struct cyc_findings *findings);
void sc_jobs_reset (struct sc_scheduler *sc);
/** Adds all open jobs of the domain to a new core. */
void sc_jobs_add_to_core (struct sc_scheduler *sc);
/** Resubmits old jobs, settles unknown starts and flushes pending records. */
void sc_jobs_tick (struct sc_scheduler *sc);
/** Returns the owner's row of the job, or NULL. */
struct sc_job *sc_job_find (struct sc_scheduler *sc,
                            const struct cyc_id128 *id);
/** Adds the bits @p records of enum sc_job_record to the job's pending
 * records. */
void sc_job_queue_records (struct sc_scheduler *sc, struct sc_job *job,
                           uint32_t records);
/** Ends a job and queues the record of its final state. */
void sc_job_end (struct sc_scheduler *sc, const struct cyc_id128 *id,
                 enum cyc_job_state state, const char *reason);
/** Marks a task as completed and queues a progress record. */
void sc_job_task_done (struct sc_scheduler *sc, const struct cyc_id128 *id,
                       uint32_t index);
/** Returns true once the log holds the result of the ended task, so that the
 * worker may forget it. */
bool sc_job_may_ack (struct sc_scheduler *sc, const struct sc_task *task);

/* scheduler_config.c */
/** Passes a changed configuration to the core. */
void sc_config_tick (struct sc_scheduler *sc);
void sc_config_reset (struct sc_scheduler *sc);
/** Returns NULL if the queue is unknown. */
struct sc_queue *sc_queue_find (struct sc_scheduler *sc, struct cyc_str name);
/** Returns the share of @p total for the domain at @p position. Shares follow
 * the domain weights by the largest-remainder method; ties go by name order.
 */
uint32_t sc_domain_share (const struct cyc_fleet_cfg *fleet, uint32_t total,
                          uint32_t position);
/** Returns the entry seats of the own domain; 0 if it is not configured. */
uint32_t sc_entry_seats (const struct sc_scheduler *sc);

/* scheduler_limits.c */
/** Returns the newest transfer of the team, or NULL. */
struct sc_transfer *sc_transfer_find (struct sc_scheduler *sc,
                                      struct cyc_str team);
/** Once a second: sends the own aggregate and transfers idle balance. */
void sc_limits_tick (struct sc_scheduler *sc);
void sc_limits_reset (struct sc_scheduler *sc);
/** Stores the aggregate of another domain and forwards it in the own one. */
void sc_limits_receive_aggregate (struct sc_scheduler *sc, struct cyc_ref peer,
                                  const Cyc__Aggregate *message);

/* scheduler_peers.c */
bool sc_peers_setup (struct sc_scheduler *sc, struct cyc_findings *findings);
void sc_peers_tick (struct sc_scheduler *sc);
/** Sends a message to every linked gateway of the domain. */
void sc_peers_send_to_gateways (struct sc_scheduler *sc,
                                const Cyc__Peer *message);
/** Tells the gateways of the domain that a worker is leaving. */
void sc_peers_send_target_leaving (struct sc_scheduler *sc,
                                   struct cyc_str worker);
/** Marks the target list of a queue for sending. */
void sc_targets_changed (struct sc_scheduler *sc, struct cyc_str queue);

/* scheduler_status.c */
/** Answers a call of the HTTP server. */
void sc_status_handle (void *user, const struct hs_call *call);

#endif
