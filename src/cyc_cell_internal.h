/**
 * @file
 * Rows of the cell's decision core; private to cyc_cell_*.c.
 *
 * A task is a position in a round of a job. A run is one start of a task on a
 * worker; it occupies the worker until the worker has listed its end, or it
 * is certain that it never began or has ended.
 */
#ifndef CYC_CELL_INTERNAL_H
#define CYC_CELL_INTERNAL_H

#include <cyclamendrum/cell.h>
#include "cell.pb-c.h"
#include <glib.h>

/** A worker's clock may run slow by so much; bound given by the platform. */
#define CELL_CLOCK_SLOW_PERMILLE 20
/** Added to computed lease ends for the time that messages take. */
#define CELL_LEASE_MARGIN_US 200000
/** A start without an answer is uncertain after this time: when the worker's
 * next report does not show the run, a stop settles it. Three times as long as
 * a start between regions takes; being wrong costs one look at the worker. */
#define CELL_START_ANSWER_US 130000
/** A worker whose entry is removed has left by itself when it was heard of
 * within so many heartbeats: silence removes it after three. */
#define CELL_LEFT_HEARTBEATS_PERMILLE 2700
/** Its process may end so long after its entry. */
#define CELL_LEFT_MARGIN_US 300000
/** Gap between repeated stops of one run. */
#define CELL_STOP_REPEAT_US 700000
/** Wait before a task is tried again after a refused start. */
#define CELL_RETRY_US 150000
/** Workers on which runs of a stage failed and which it avoids. */
#define CELL_AVOID 4
/** Failures in a row, of different jobs, after which a worker gets no new
 * tasks for a while. */
#define CELL_BAD_FAILURES 3
#define CELL_BAD_US 3000000
/** The pause doubles with each task that fails after it, so often at most. */
#define CELL_BAD_DOUBLINGS 3
/** Room of a gang, as a multiple of what it needs, that the workers known as
 * allowed have when they are empty: the fleet is three quarters full when it
 * is busy, and free room is in pieces. */
#define CELL_GANG_SPREAD 12
/** With less than this a gang asks about unknown workers once more. */
#define CELL_GANG_LEAST 3

enum cell_run_state
{
  CELL_RUN_RECORDING, /**< waits for the record to be durable */
  CELL_RUN_STARTING,  /**< ordered, not confirmed */
  CELL_RUN_RUNNING
};

struct cell_run
{
  struct cell_job *job;
  uint32_t round;
  uint32_t task;
  uint32_t number;
  uint32_t worker;
  uint64_t worker_born_ms; /**< 0: not known when it was placed */
  struct cyc_resources size;
  enum cell_run_state state;
  uint64_t batch; /**< whose record names this run */
  bool recorded; /**< that record is durable; waits for its job to be stored */
  uint64_t ordered_us;      /**< start sent */
  uint64_t answered_us;     /**< start answered */
  uint64_t uncertain_us;    /**< the start got no answer; 0: it may yet */
  uint64_t stop_next_us;    /**< next time to order a stop; 0: none */
  uint64_t stopped_sent_us; /**< when the answered stop was sent */
  bool stop;                /**< wanted to end */
  bool superseded;          /**< the task is done elsewhere or requeued */
  bool inherited;           /**< of an earlier leader */
  uint32_t percent;
  uint64_t percent_us;    /**< when it was said */
  uint32_t first_percent; /**< of the first report that showed the run */
  uint64_t whole_us;      /**< what the task takes at its pace; 0: not known */
  bool resumed;           /**< started from a checkpoint */
  uint64_t first_us;      /**< when that came; 0: not yet */
  uint64_t end_us;        /**< expected; 0: not known */
  char ticket[CELL_TICKET_BYTES];
  uint64_t ticket_until_us; /**< 0: it needs none */
  struct cyc_ref ref;
  struct cell_run *prev;
  struct cell_run *next; /**< on the worker */
};

/** An amount of each resource of a worker or of many. */
struct cell_room
{
  uint64_t millicores;
  uint64_t memory_mib;
  uint64_t accelerators;
};

struct cell_worker
{
  struct cyc_name id;
  struct cyc_name pool;
  struct cyc_name domain;
  struct cyc_name address;
  struct cyc_name labels[CELL_LABELS_MAX];
  uint32_t label_count;
  struct cyc_resources capacity;
  uint64_t used_millicores;
  uint64_t used_memory_mib;
  uint64_t used_accelerators;
  struct cell_room held; /**< kept for a gang, free already or not */
  const struct cell_stage *held_for; /**< NULL: nothing is kept */
  uint64_t born_ms;
  bool listed;
  bool draining;
  uint64_t written_us; /**< its entry is newer than that; 0: not known */
  uint64_t leaves_us;  /**< draining: it stays until then; 0: not known */
  uint64_t left_us;    /**< it has left: nothing runs there from then on; 0:
                          not known */
  bool fenced;         /**< has answered a hold of this leader */
  bool reachable;      /**< answered the last call */
  uint32_t failures_in_row;
  uint64_t last_failed_job;
  uint64_t bad_until_us;
  uint32_t bad_pauses; /**< since a task ended well; 0: it is trusted */
  uint64_t clock_ms;
  uint64_t clock_at_us;
  uint64_t lease_deadline_ms; /**< latest asked for, worker's clock */
  uint64_t lease_until_us;    /**< without a clock: certain end of leases */
  uint64_t seen_end;          /**< highest end number taken in */
  uint64_t ack;               /**< highest end number that is durable */
  uint64_t ack_next;          /**< becomes ack when ack_batch is durable */
  uint64_t ack_batch;         /**< 0: none pending */
  struct cell_run *runs;
  uint32_t run_count;
};

enum cell_task_state
{
  CELL_TASK_WAITING,
  CELL_TASK_PLACED,
  CELL_TASK_DONE
};

struct cell_task
{
  enum cell_task_state state;
  uint32_t next_run; /**< 1 + the highest number used */
  uint32_t failures;
  uint64_t not_before_us;
  struct cell_run *run;
  char checkpoint[CELL_CHECKPOINT_BYTES];
};

struct cell_held_ticket
{
  uint32_t worker;
  uint64_t born_ms;
  uint64_t until_us;
  char text[CELL_TICKET_BYTES];
};

/** What is known of the advisor's verdict on a worker; it does not change. */
enum cell_verdict
{
  CELL_VERDICT_UNKNOWN,
  CELL_VERDICT_DENIED,
  CELL_VERDICT_ALLOWED
};

/** A step of a round. */
struct cell_stage
{
  struct cell_job *job;
  uint32_t round;
  uint32_t step;
  uint32_t first_task;
  uint32_t count;
  uint32_t done;
  uint32_t waiting;
  bool ready;             /**< all it depends on is done, and it is due */
  bool listed;            /**< in the core's list of waiting stages */
  uint64_t hold_again_us; /**< room is chosen anew from then on */
  bool holds;             /**< room is kept for it */
  bool surveyed;          /**< a question about unknown workers was answered */
  uint64_t ask;           /**< open question; 0: none */
  uint64_t ask_after_us;
  uint64_t tail_us; /**< longest chain of estimates from this step on */
  uint32_t failed_on[CELL_AVOID]; /**< 1 + row; 0: none */
  uint32_t failed_next;           /**< entry of failed_on to fill */
  uint8_t *verdicts;              /**< by worker row */
  uint32_t verdict_count;
  GArray *tickets; /**< struct cell_held_ticket */
};

struct cell_round
{
  uint32_t index;
  uint64_t due_ms; /**< 0: at once */
  bool due;
  bool finished;
  uint32_t tasks_done;
  struct cell_task *tasks;
  struct cell_stage *stages;
};

struct cell_job
{
  uint64_t id;
  Cyc__CellJob *spec;
  uint32_t task_count; /**< of a round */
  uint32_t round_count;
  struct cell_round *rounds;
  struct cell_team *team;
  struct cyc_name queue;
  struct cell_queue_cfg cfg; /**< copy of the queue's, as last known */
  bool cfg_known;            /**< the queue is in the configuration */
  enum cell_job_state state;
  enum cell_job_state shown; /**< durable */
  uint64_t state_batch;
  bool stored; /**< the log holds the job */
  bool dirty;
  bool begun;            /**< a worker has begun one of its tasks */
  bool over_rate;        /**< its team sent more than its share then */
  uint64_t deadline_us;  /**< of the objective */
  uint64_t worthless_us; /**< nobody waits for the result any longer */
  uint64_t accepted_us;
  uint64_t ended_ms;
  uint32_t rounds_finished;
};

struct cell_team
{
  struct cyc_name name;
  struct cyc_resources limit;
  uint32_t weight;
  bool known;           /**< in the configuration */
  double credit_jobs;   /**< jobs that it may send now */
  uint64_t credited_us; /**< when the credit was last raised; 0: never */
  uint64_t used_millicores;
  uint64_t used_memory_mib;
  uint64_t used_accelerators;
};

struct cell_question
{
  uint64_t ask;
  struct cell_stage *stage;
  bool handed_out;
  uint64_t cost_us;
};

struct cell_core
{
  struct cell_desc desc;
  const struct cell_config *config;
  GPtrArray *workers; /**< struct cell_worker */
  GHashTable *worker_rows;
  GHashTable *jobs;   /**< id to struct cell_job */
  GHashTable *teams;  /**< name to struct cell_team */
  GPtrArray *waiting; /**< struct cell_stage that are ready with tasks */
  GPtrArray *timed;   /**< struct cell_job with rounds to come */
  GPtrArray *dirty;   /**< struct cell_job */
  GPtrArray *questions;
  GPtrArray *runs; /**< by ref.index; NULL: free */
  GArray *run_generations;
  GArray *free_runs;
  GQueue recording;         /**< runs in the order of their batch */
  GPtrArray *shown_pending; /**< jobs whose state waits for its batch */
  GQueue orders;            /**< struct cell_order * */
  GPtrArray *records;
  uint64_t first_end_us;   /**< when the first end was seen; 0: not yet */
  GHashTable *queue_times; /**< queue name to struct cell_queue_time */
  GHashTable *queue_good;  /**< queue name to permille of allowed workers */
  uint64_t batch;
  uint64_t durable;      /**< all batches up to this one are */
  GArray *durable_later; /**< uint64_t: batches beyond it that are */
  uint64_t revision;     /**< of the last record */
  uint64_t next_ask;
  uint64_t now_us;
  uint64_t now_ms;
  uint64_t next_us;
  bool place_wanted;
  uint64_t place_at_us; /**< something can be placed then that could not */
  uint64_t over_rate_late_us; /**< when work over a team's rate was last seen
                                 to be late; 0: never */
  double move_credit;         /**< runs that may be moved for their pace now */
  uint64_t held_millicores;   /**< kept for gangs in this tick */
  uint64_t usable_millicores; /**< of all workers that are usable */
};

static inline uint64_t
cell_left (uint64_t whole, uint64_t used)
{
  return whole > used ? whole - used : 0;
}

struct cell_worker *cell_worker_at (const struct cell_core *core,
                                    uint32_t row);
uint32_t cell_worker_row (struct cell_core *core, struct cyc_str id);
bool cell_worker_usable (const struct cell_core *core,
                         const struct cell_worker *worker);
struct cell_team *cell_team_of (struct cell_core *core, struct cyc_str name);
void cell_touch (struct cell_core *core, struct cell_job *job);
void cell_wake (struct cell_core *core, uint64_t at_us);

/* Jobs. */
struct cell_job *cell_job_find (const struct cell_core *core, uint64_t id);
void cell_job_free (struct cell_job *job);
struct cell_stage *cell_stage_of_task (struct cell_job *job, uint32_t round,
                                       uint32_t task);
const Cyc__CellStep *cell_stage_step (const struct cell_stage *stage);
void cell_job_set_state (struct cell_core *core, struct cell_job *job,
                         enum cell_job_state state);
void cell_job_advance (struct cell_core *core, struct cell_job *job);
void cell_task_requeue (struct cell_core *core, struct cell_job *job,
                        uint32_t round, uint32_t task, uint64_t at_us);
void cell_task_done (struct cell_core *core, struct cell_job *job,
                     uint32_t round, uint32_t task);
bool cell_job_open (const struct cell_job *job);
void cell_task_name (const struct cell_run *run, char out[64]);
bool cell_task_parse (struct cell_core *core, struct cyc_str name,
                      struct cell_job **job, uint32_t *round, uint32_t *task);
void cell_stage_release (struct cell_stage *stage);
/** Stages whose time has come. */
void cell_rounds_tick (struct cell_core *core);
void cell_job_record (struct cell_core *core, const struct cell_job *job,
                      struct cell_record *out);

/* Runs. */
struct cell_run *cell_run_new (struct cell_core *core, struct cell_job *job,
                               uint32_t round, uint32_t task, uint32_t worker,
                               uint32_t number);
/** A worker runs something that no row names: it becomes the run of its task
 * when that waits, else it occupies the worker until it is stopped. */
struct cell_run *cell_run_found (struct cell_core *core, struct cell_job *job,
                                 uint32_t round, uint32_t task,
                                 uint32_t worker, uint32_t number);
void cell_run_free (struct cell_core *core, struct cell_run *run);
struct cell_run *cell_run_at (const struct cell_core *core,
                              struct cyc_ref ref);
void cell_run_stop (struct cell_core *core, struct cell_run *run);
void cell_runs_tick (struct cell_core *core);

/* Pace. */

/** A report showed how far the run has come. */
void cell_pace_progress (struct cell_core *core, struct cell_run *run,
                         uint32_t percent);
/** A run ended well: tasks of its queue take so long. */
void cell_pace_done (struct cell_core *core, const struct cell_run *run);
/** A run was decided: more runs may be moved. */
void cell_pace_started (struct cell_core *core);
/** All runs of the worker were reported: is it slow? */
void cell_pace_worker (struct cell_core *core, struct cell_worker *worker);
/** The run has ended or never began, without success. */
void cell_run_gone (struct cell_core *core, struct cell_run *run,
                    enum cell_end_kind kind, struct cyc_str checkpoint);

/* Placement and advice. */
void cell_place_tick (struct cell_core *core);
/** Placement is to run again at a time when nothing else may happen. */
void cell_place_again (struct cell_core *core, uint64_t at_us);
bool cell_res_fits (const struct cell_worker *worker,
                    const struct cyc_resources *size);
struct cyc_resources cell_step_size (const Cyc__CellStep *step);
/** The worker may run tasks of the stage, apart from advice and room. */
bool cell_worker_suits (const struct cell_core *core,
                        const struct cell_stage *stage,
                        const struct cell_worker *worker);
/** Tasks of the stage for which the worker has room, apart from what is kept
 * for stages before it. */
uint32_t cell_slots_now (const struct cell_core *core,
                         const struct cell_stage *stage,
                         const struct cell_worker *worker);
/** The same when what is expected to end while advice is asked for has. */
uint32_t cell_slots_soon (const struct cell_core *core,
                          const struct cell_stage *stage,
                          const struct cell_worker *worker);
/** The same if the worker were empty. */
uint32_t cell_slots_whole (const struct cell_stage *stage,
                           const struct cell_worker *worker);
/** Allowed workers have room for the whole gang, with what comes free while
 * advice is asked for. */
bool cell_gang_fits_soon (const struct cell_core *core,
                          const struct cell_stage *stage);
bool cell_team_has_room (const struct cell_team *team,
                         const struct cyc_resources *size, uint64_t tasks);
/** CELL_NO_ROW: no worker has room and is allowed. @p rack: only there, unless
 * it is empty. */
uint32_t cell_best_worker (const struct cell_core *core,
                           const struct cell_stage *stage,
                           const struct cyc_resources *size,
                           struct cyc_str rack);
struct cell_run *cell_place (struct cell_core *core, struct cell_stage *stage,
                             uint32_t task, uint32_t row, uint32_t number);

/* Gangs. */

/** Places all members or none. */
bool cell_gang_place (struct cell_core *core, struct cell_stage *stage);
/** Keeps room for a gang that does not fit yet, on the allowed workers where
 * it it comes free first; stages after it pass over that room. */
void cell_gang_hold (struct cell_core *core, struct cell_stage *stage);
/** Gives back what is kept for stages that no longer wait; what is kept for
 * the others is counted anew by cell_gang_hold. */
void cell_gang_release_ended (struct cell_core *core);
/** The order in which stages wait. */
bool cell_stage_before (const struct cell_core *core,
                        const struct cell_stage *a,
                        const struct cell_stage *b);

/* Advice. */
void cell_stage_ask (struct cell_core *core, struct cell_stage *stage);
/** Drops all questions about steps of the job. */
void cell_questions_forget (struct cell_core *core,
                            const struct cell_job *job);
enum cell_verdict cell_verdict_of (const struct cell_stage *stage,
                                   uint32_t row);
uint32_t cell_ticket_count (const struct cell_stage *stage);
/** NULL: the ticket is not valid any more. */
const struct cell_held_ticket *cell_ticket_at (const struct cell_core *core,
                                               const struct cell_stage *stage,
                                               uint32_t index);
/** NULL: none is held that is valid for this life of the worker. */
const struct cell_held_ticket *cell_ticket_for (const struct cell_core *core,
                                                const struct cell_stage *stage,
                                                uint32_t row);

#endif
