/**
 * @file
 * The scheduler process: state shared by the parts in scheduler_*.c.
 *
 * Callbacks between ticks only record what was learned. One tick (sc_tick)
 * checks this process's own deadlines first, then feeds the core, runs it and
 * carries out its decisions, so a process that resumes from a pause sends
 * nothing before it knows whether it is still the owner.
 *
 * Parts: claim (ownership, stock-taking, handover), workers (VM list,
 * heartbeats), tasks (starts and commands), jobs (jobs stream), config (teams,
 * queues, replicas), limits (aggregates, transfers), peers (messages), status
 * (HTTP). All tables are sized at setup; rows refer to each other by index,
 * SC_NONE is "none".
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
  SC_TASK_AWAITING_ATTEMPT = 0, /**< waits until the attempt was read back */
  SC_TASK_STARTING,             /**< the start call is open */
  SC_TASK_START_UNKNOWN,        /**< its answer was lost */
  SC_TASK_RUNNING,
  SC_TASK_ENDED /**< the worker keeps its final state until it is acked */
};

/** A task that may be known to a worker. */
struct sc_task
{
  struct cyc_id128 job;
  struct cyc_id128 lease;
  struct cyc_name queue;
  struct cyc_resources size;
  uint32_t index;
  uint32_t worker;
  uint32_t prev; /**< on the same worker */
  uint32_t next;
  uint32_t hash_next; /**< in its hash slot */
  uint32_t address_step;
  enum cyc_queue_kind kind;
  enum sc_task_state state;
  uint64_t
      lease_not_after_us; /**< latest not-after that the worker may hold */
  uint64_t start_not_after_us; /**< not-after of the start call */
  uint64_t decided_us;         /**< the start was decided */
  uint64_t start_answered_us;  /**< the start was answered */
  uint64_t command_sent_us;    /**< last sending of the wanted command */
  bool command_wanted;
  bool done;  /**< ENDED: the work was done */
  bool acked; /**< in the heartbeat that is open */
  enum wc_verb command;
  uint64_t
      listed_heartbeat; /**< number of the heartbeat that listed it last */
};

/** Owner's state of one VM; same index as its row in the membership. */
struct sc_worker
{
  struct cyc_ref member;
  struct cyc_name name;
  uint32_t first_task;
  uint32_t task_count;
  uint32_t failures;         /**< heartbeats without an answer in a row */
  uint64_t heartbeat_number; /**< number of heartbeats sent */
  uint64_t heartbeat_due_us; /**< next heartbeat */
  uint64_t sent_us;          /**< of the newest heartbeat */
  uint64_t accepted_us;     /**< sending of the newest one that was accepted */
  uint64_t fenced_epoch;    /**< it accepted a heartbeat with this epoch */
  uint64_t attempted_epoch; /**< a heartbeat with it was answered or failed */
  bool in_core;
  bool leaving_reported;
  bool silent_reported;
  uint32_t untracked_ack_count; /**< ended tasks to ack that have no row */
  char untracked_acks[SC_MAX_UNTRACKED_ACKS][WC_TASK_BYTES];
};

/** An open heartbeat; same index as the worker. It outlives a worker that is
 * forgotten meanwhile, and the row's next user waits until it ended. */
struct sc_heartbeat
{
  struct sc_scheduler *sc;
  struct cyc_ref member;
  uint64_t epoch;
  uint64_t sent_us;
  bool open;
};

/** An open start call. */
struct sc_start
{
  struct sc_scheduler *sc;
  struct cyc_ref ref;
  struct cyc_id128 job;
  struct cyc_id128 lease;
  uint32_t index;
  uint64_t sent_us;
};

enum sc_job_record
{
  SC_RECORD_PROGRESS = 1,
  SC_RECORD_DONE = 2,
  SC_RECORD_RESUBMIT = 4,
  SC_RECORD_CANCEL = 8
};

/** Owner's state of an open job of this domain. */
struct sc_job
{
  struct cyc_id128 id;
  struct cyc_name queue;
  uint32_t tasks;
  uint32_t hash_next;
  uint32_t dirty_next;
  uint32_t pending_records;   /**< records to append, enum sc_job_record */
  uint32_t in_flight_records; /**< records in the batch that is open */
  uint32_t attempt;
  bool in_dirty;
  bool in_core;
  bool cancel_applied; /**< the core was told */
  bool attempt_logged; /**< JobProgress with an attempt was read back */
  bool repeatable;
  bool removal_pending; /**< the row goes when nothing refers to it */
  bool resubmitted;     /**< this process re-appended it */
  enum cyc_job_state final_state;
  char reason[120];
  uint8_t done_bits[CYC_JOB_MAX_TASKS / 8]; /**< done tasks, by task index */
};

/** Where an interrupted task continues, as its worker named it. */
struct sc_checkpoint
{
  struct cyc_id128 job;
  uint32_t index;
  uint32_t hash_next;
  char text[SC_CHECKPOINT_BYTES];
};

struct sc_batch
{
  struct sc_scheduler *sc;
  uint64_t epoch;
  uint64_t sent_us;
  uint32_t count;
  struct cyc_id128 job_ids[SC_MAX_BATCH_JOBS];
};

struct sc_queue
{
  struct cyc_name name;
  uint64_t seen_config_pass; /**< of the configuration pass that saw it */
  uint32_t hash_next;
  uint32_t run_ms;
  enum cyc_queue_kind kind;
  bool repeatable;
  bool targets_dirty;
  bool first_replica_set; /**< the core knows where replica indexes begin */
  uint64_t targets_version;
};

/** Hash index: heads of chains, by 64-bit key. */
struct sc_index
{
  uint32_t *heads;
  uint32_t mask;
};

/** One transfer of a team's allotment whose fate is not known yet. */
struct sc_transfer
{
  struct sc_scheduler *sc;
  struct cyc_name team;
  struct cyc_id128 record_id;
  struct cyc_str record; /**< released with free() */
  uint64_t millicores;   /**< lowered from the usable balance */
  uint64_t accelerators;
  uint64_t next_allowed_us; /**< not before: once per second per team */
  bool open;
};

struct sc_team_use
{
  struct cyc_name team;
  uint64_t used_millicores;
  uint64_t wanted_millicores;
  uint64_t used_accelerators;
  uint64_t wanted_accelerators;
};

/** What the owner of another domain reported. */
struct sc_aggregate
{
  struct cyc_name domain;
  uint64_t epoch;
  uint64_t received_us;
  uint64_t free_millicores;
  uint32_t count;
  struct sc_team_use *teams; /**< SC_MAX_TEAMS rows */
};

enum sc_phase
{
  SC_PHASE_RUN = 0,
  SC_PHASE_STOPPING,  /**< no starts; outstanding ones are awaited */
  SC_PHASE_RELEASING, /**< the claim's release is being appended */
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
  bool ready_reported;

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
  uint64_t epoch; /**< of the claim that the tables below belong to; 0 */
  uint64_t claimed_us;
  bool claim_dirty;
  uint64_t claim_append_token; /**< of the append that is open */
  bool stock_taken;
  uint64_t next_count_us; /**< next count of the workers' answers */
  bool
      first_starts_allowed; /**< the first starts of this epoch were allowed */
  bool starts_allowed;      /**< starts are allowed in this tick */
  bool extension_reported;  /**< held through the workers, without the log */
  uint32_t ejected_reported; /**< workers, in the newest event */

  struct cyc_members members;
  uint64_t vm_list_due_us;
  uint64_t members_due_us; /**< next check of the membership */
  uint64_t vm_list_failed_us;
  struct sc_worker *workers;
  struct sc_heartbeat *heartbeats;
  uint32_t worker_high;

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
  uint32_t awaiting_attempt_count;

  struct cyc_jobs jobs;
  bool jobs_ready;
  bool barrier_open;
  uint64_t barrier_epoch;   /**< of the mark that is open */
  uint64_t caught_up_epoch; /**< the stream was read beyond this claim */
  struct sc_job *job_rows;
  struct cyc_pool job_pool;
  struct sc_index job_index;
  uint32_t first_dirty_job;
  uint32_t dirty_count;
  struct sc_batch *batches;
  struct cyc_pool batch_pool;
  uint64_t flush_due_us;
  uint64_t rescan_due_us;
  bool starts_unresolved; /**< work of earlier owners is not accounted for yet
                           */

  struct sc_queue *queues;
  struct cyc_pool queue_pool;
  struct sc_index queue_index;
  uint64_t config_pass;
  bool config_dirty;
  bool teams_dirty;
  uint64_t targets_resend_us; /**< next full repetition */

  struct cyc_permits permits;
  struct sc_transfer *transfers; /**< one for each team */
  uint32_t transfer_count;
  struct sc_aggregate aggregates[CYC_MAX_DOMAINS];
  uint32_t aggregate_count;
  uint64_t aggregate_due_us;
  uint8_t *snapshot; /**< chunks from a peer */
  size_t snapshot_len;
  uint32_t snapshot_next_index;
};

/* scheduler_main.c */
bool sc_setup (struct sc_scheduler *sc, const struct set_settings *settings,
               struct ev_loop *loop, struct cyc_findings *findings);
void sc_shutdown (struct sc_scheduler *sc);
void sc_tick (struct sc_scheduler *sc);
bool sc_index_setup (struct sc_index *index, uint32_t rows);
/** The core's trace line, to settings.trace_file. */
void sc_trace_line (void *user, struct cyc_str line);
uint64_t sc_hash_id (const struct cyc_id128 *id, uint32_t number);
uint64_t sc_hash_name (struct cyc_str name);

/* scheduler_claim.c */
bool sc_claim_setup (struct sc_scheduler *sc, struct cyc_findings *findings);
/** First step of each tick: own deadlines, claim appends, change of owner. */
void sc_claim_tick (struct sc_scheduler *sc);
/** Until when tasks of earlier owners may run on unreached workers. */
uint64_t sc_unfenced_until_us (const struct sc_scheduler *sc);
/** Planned stop. */
void sc_stop (struct sc_scheduler *sc);
void sc_stop_tick (struct sc_scheduler *sc);

/* scheduler_workers.c */
void sc_workers_tick (struct sc_scheduler *sc);
void sc_workers_send_heartbeats (struct sc_scheduler *sc);
/** Enters all workers into a new core. */
void sc_workers_add_to_core (struct sc_scheduler *sc);
/** What may run on workers that were not reached yet is not started. */
void sc_workers_mark_unfenced (struct sc_scheduler *sc);
void sc_workers_count (struct sc_scheduler *sc, struct cyc_clm_workers *out);

/* scheduler_found.c: what a heartbeat's answer lists. */
void sc_found_process_answer (struct sc_scheduler *sc, uint32_t worker,
                              const struct wc_heartbeat_result *result,
                              uint64_t sent_us);

/** Acks an ended task that has no row. */
void sc_found_queue_ack (struct sc_scheduler *sc, uint32_t worker,
                         struct cyc_str task);

/* scheduler_tasks.c */
/** For commands whose effect the next heartbeat shows. */
void sc_ignore_result (void *user, const struct wc_result *result);
void sc_tasks_reset (struct sc_scheduler *sc);
uint32_t sc_task_find (const struct sc_scheduler *sc,
                       const struct cyc_id128 *job, uint32_t index);
uint32_t sc_task_add (struct sc_scheduler *sc, const struct cyc_id128 *job,
                      uint32_t index, uint32_t worker);
void sc_task_drop (struct sc_scheduler *sc, uint32_t task);
void sc_task_name (const struct sc_scheduler *sc, const struct sc_task *task,
                   char out[WC_TASK_BYTES]);
/** False when the name is none of this domain's. */
bool sc_task_parse (struct sc_scheduler *sc, struct cyc_str name,
                    struct cyc_str queue, struct cyc_id128 *job,
                    uint32_t *index, bool *service);
void sc_task_command (struct sc_scheduler *sc, uint32_t task,
                      enum wc_verb verb);
/** The task ended; tells the core and the job. */
void sc_task_report_end (struct sc_scheduler *sc, uint32_t task,
                         enum cyc_task_event event);
void sc_tasks_start_recorded (struct sc_scheduler *sc);
void sc_tasks_run (struct sc_scheduler *sc);

/** Checkpoint of the task, empty when there is none. */
struct cyc_str sc_checkpoint_find (const struct sc_scheduler *sc,
                                   const struct cyc_id128 *job,
                                   uint32_t index);
void sc_checkpoint_put (struct sc_scheduler *sc, const struct cyc_id128 *job,
                        uint32_t index, struct cyc_str text);
void sc_checkpoint_drop (struct sc_scheduler *sc, const struct cyc_id128 *job,
                         uint32_t index);

/* scheduler_jobs.c */
bool sc_jobs_setup (struct sc_scheduler *sc, struct cyc_findings *findings);
void sc_jobs_reset (struct sc_scheduler *sc);
/** Enters all open jobs of the domain into a new core. */
void sc_jobs_add_to_core (struct sc_scheduler *sc);
void sc_jobs_tick (struct sc_scheduler *sc);
struct sc_job *sc_job_find (struct sc_scheduler *sc,
                            const struct cyc_id128 *id);
void sc_job_queue_records (struct sc_scheduler *sc, struct sc_job *job,
                           uint32_t records);
void sc_job_end (struct sc_scheduler *sc, const struct cyc_id128 *id,
                 enum cyc_job_state state, const char *reason);
void sc_job_task_done (struct sc_scheduler *sc, const struct cyc_id128 *id,
                       uint32_t index);
/** True when the log holds what the worker's final state tells. */
bool sc_job_may_ack (struct sc_scheduler *sc, const struct sc_task *task);

/* scheduler_config.c */
void sc_config_tick (struct sc_scheduler *sc);
void sc_config_reset (struct sc_scheduler *sc);
struct sc_queue *sc_queue_find (struct sc_scheduler *sc, struct cyc_str name);
/** Part of @p total of the domain at @p position, by weight: largest
 * remainder, ties by name order. */
uint32_t sc_domain_share (const struct cyc_fleet_cfg *fleet, uint32_t total,
                          uint32_t position);
uint32_t sc_entry_seats (const struct sc_scheduler *sc);

/* scheduler_limits.c */
struct sc_transfer *sc_transfer_find (struct sc_scheduler *sc,
                                      struct cyc_str team);
void sc_limits_tick (struct sc_scheduler *sc);
void sc_limits_reset (struct sc_scheduler *sc);
void sc_limits_receive_aggregate (struct sc_scheduler *sc, struct cyc_ref peer,
                                  const Cyc__Aggregate *message);

/* scheduler_peers.c */
bool sc_peers_setup (struct sc_scheduler *sc, struct cyc_findings *findings);
void sc_peers_tick (struct sc_scheduler *sc);
/** To every linked gateway of the domain. */
void sc_peers_send_to_gateways (struct sc_scheduler *sc,
                                const Cyc__Peer *message);
void sc_peers_send_target_leaving (struct sc_scheduler *sc,
                                   struct cyc_str worker);
void sc_targets_changed (struct sc_scheduler *sc, struct cyc_str queue);

/* scheduler_status.c */
void sc_status_handle (void *user, const struct hs_call *call);

#endif
