/**
 * @file
 * Data of the cell's decision core; private to cyc_cell_*.c.
 *
 * A round is one occurrence of a job; a stage is a step within a round, and a
 * task is one of the stage's parallel parts. A run is one start of a task on a
 * worker. It occupies the worker until the worker has listed its end, or until
 * it is certain that it never started or has ended.
 */
#ifndef CYC_CELL_INTERNAL_H
#define CYC_CELL_INTERNAL_H

#include <cyclamendrum/cell.h>
#include "cell.pb-c.h"
#include "cyc_cell_memory.h"
#include "cyc_due.h"
#include "cyc_spans.h"
#include "cyc_speed.h"
#include <glib.h>

/** Maximum permille by which a worker's clock runs slow, as guaranteed by the
 * platform. */
#define CELL_CLOCK_DRIFT_PERMILLE 20
/** Added to computed lease ends for the transit time of messages. */
#define CELL_LEASE_MARGIN_US 200000
/** A start without an answer counts as unconfirmed after this time: if the
 * worker's next report does not show the run, a stop resolves it. It is three
 * times the duration of a start between regions; a false alarm costs one
 * report from the worker. */
#define CELL_START_TIMEOUT_US 130000
/** A draining worker whose entry is removed within this many heartbeats of its
 * last update has left by itself: a silent worker's entry is removed only
 * after three. */
#define CELL_EXIT_HEARTBEATS_PERMILLE 2700
/** A call that extends a lease ends within this time: a hold waits 1 s for an
 * end, and its answer is awaited for 0.8 s more (entry_orders.c). */
#define CELL_CALL_MAX_US 1800000
/** If entries were not read for longer, the service discovery may have been
 * away. They are read every 400 ms, with two round trips in between. */
#define CELL_ENTRIES_GAP_MAX_US 1000000
/** A worker that is alive and reaches the service discovery has its entry
 * again this soon after it was removed. */
#define CELL_RELISTED_US 2000000
/** Interval between repeated stops of one run. */
#define CELL_STOP_REPEAT_US 700000
/** Same while its worker is silent: its next report brings the stop
 * forward. */
#define CELL_STOP_SILENT_REPEAT_US 3000000
/** Delay before a task is retried whose gang did not start completely. */
#define CELL_RETRY_US 150000
/** Number of workers that a stage avoids because its runs failed there. */
#define CELL_AVOIDED_WORKERS_MAX 4
/** Consecutive failures, of different jobs, after which a worker is paused: it
 * gets no new tasks for CELL_PAUSE_US. */
#define CELL_PAUSE_FAILURES 3
#define CELL_PAUSE_US 3000000
/** The pause doubles with each further failure, up to this many times. */
#define CELL_PAUSE_DOUBLINGS_MAX 3
/** Number of failed runs that a worker remembers, so that the further members
 * of a gang are not taken for further failures. */
#define CELL_FAILED_REFS_MAX 8
/** Tasks of a gang that the workers known as allowed should hold when empty,
 * as a multiple of the gang's size. A busy fleet is three quarters full, and
 * its free capacity is fragmented. */
#define CELL_GANG_SURVEY_FACTOR 12
/** Below this multiple, a gang that has asked before asks about unknown
 * workers again. */
#define CELL_GANG_RESURVEY_FACTOR 3

/** A run that its worker still shows this long after its start was confirmed
 * has not crashed it: a task that does crash it does so within milliseconds.
 */
#define CELL_TRIAL_US 200000
/** Crashes for which a task is given up, even if each is weak evidence. */
#define CELL_CRASHES_MAX 4
/** Spans of the numbers of failed runs that are kept of a task. If more are
 * apart, the runs between the lowest ones are no longer told from counted
 * ones. */
#define CELL_FAILED_SPANS_MAX 8
/** Tasks of a round are kept and recorded in blocks of this many. A record of
 * one block has at most half a KiB for each task, so 64 KiB in all: a task of
 * an open job has fewer than CELL_CRASHES_MAX crashes. */
#define CELL_BLOCK_TASKS 128

enum cell_run_state
{
  CELL_RUN_RECORDING, /**< waits until its record is durable */
  CELL_RUN_STARTING,  /**< start ordered, but not confirmed */
  CELL_RUN_RUNNING
};

struct cell_run
{
  struct cell_job *job;
  uint32_t round;
  uint32_t task;
  uint32_t number;
  uint32_t worker;
  uint64_t worker_born_ms; /**< incarnation of the worker; 0 if unknown at
                              placement */
  struct cyc_resources size;
  enum cell_run_state state;
  uint64_t batch; /**< batch with the record that names this run */
  bool recorded;  /**< that record is durable; the start waits until the job is
                     stored */
  uint64_t ordered_us; /**< when the start was handed out as an order; 0 if it
                          was not */
  uint64_t ordered_born_ms; /**< incarnation on whose clock the start's
                               deadline is; 0 if unknown */
  uint64_t call_ended_us;   /**< when the call of the start ended: a process
                               that starts later cannot receive the order, but
                               may execute it late; 0 if it has not. Of an
                               inherited run: until when an earlier leader may
                               write the start */
  uint64_t earlier_copy_us; /**< until when an earlier leader's copy of the
                               start may be executed, by an incarnation that
                               has not got this leader's fencing token; 0 if
                               there is none */
  bool started_again;       /**< there may be a copy beside it of the start */
  bool number_closed;       /**< the worker refuses the number, which it has
                               stopped for an earlier leader */
  bool start_again;         /**< is in core->recording to be started again */
  uint64_t answered_us; /**< when the start was answered, so that no other copy
                           of the order is left; 0 if it was not */
  uint64_t last_born_ms;  /**< last incarnation that may have received the
                             order; 0 if unknown */
  uint64_t last_alive_us; /**< by when that incarnation was known to have been
                             alive */
  uint64_t seen_born_ms;  /**< incarnation that has reported the run as
                             running; 0 if none has */
  uint64_t confirmed_us; /**< when the start was confirmed; 0 if unconfirmed */
  uint64_t unconfirmed_us;    /**< when the start became unconfirmed; 0 if its
                                 answer is still awaited */
  uint64_t stop_next_us;      /**< when to order the next stop; 0 if none */
  uint64_t stop_confirmed_us; /**< when the last stop was answered; 0 if it was
                                 not */
  uint64_t stop_born_ms; /**< incarnation known when that stop was ordered */
  bool stop_in_flight;   /**< a stop was ordered and has no result yet */
  bool stop_requested;   /**< the run is to be stopped */
  bool superseded;       /**< the task was done by another run or requeued */
  bool inherited;        /**< started by an earlier leader */
  uint64_t placed_ms;    /**< Unix time of the placement; 0 if unknown */
  bool proven; /**< its worker has survived its start: see cyc_cell_blame.c */
  bool on_trial; /**< no other job's task is started beside it until then */
  uint64_t broken_us; /**< when its incarnation of the worker broke under it,
                         as it was unproven; 0 if it did not */
  uint64_t broken_born_ms; /**< that incarnation */
  bool broken_weakly;      /**< the break is weak evidence against it */
  uint64_t proof_born_ms;  /**< incarnation that has shown it first */
  uint64_t proof_clock_ms; /**< clock of the worker when it did */
  uint32_t percent;
  uint64_t percent_changed_us; /**< when the percentage last changed */
  uint32_t first_percent;      /**< in the first report that showed the run */
  uint64_t projected_total_us; /**< total duration projected from progress; 0
                                  if unknown */
  bool resumed;                /**< started from a checkpoint, or adopted: its
                                  duration is not that of the task */
  uint64_t first_report_us;    /**< when the first report that showed the run
                                  arrived; 0 if none has */
  uint64_t projected_end_us;   /**< projected end; 0 if unknown */
  GRefString *ticket;          /**< NULL if the run needs none */
  uint64_t ticket_until_us;    /**< 0 if the run needs no ticket */
  bool adopted;                /**< not known before its worker showed it */
  bool extra;                  /**< see cell_twice_extra */
  struct cell_run *next_extra; /**< next such run of the task */
  struct cyc_ref twice_with;   /**< last other run that it was found at work
                                  beside; generation 0 if none */
  struct cyc_ref ref;
  struct cell_run *prev;
  struct cell_run *next; /**< next run on the worker */
};

/** An amount of each resource, on one worker or in total. */
struct cell_resources
{
  uint64_t millicores;
  uint64_t memory_mib;
  uint64_t accelerators;
};

/** What a worker contributes to the core's totals. */
struct cell_counted
{
  uint32_t usable_workers;
  uint32_t trial_workers;         /**< with runs on trial */
  uint32_t crashed_trial_workers; /**< that broke or fell silent under runs on
                                     trial, which are not over yet */
  uint64_t usable_millicores;     /**< capacity of usable workers */
  uint64_t soon_millicores; /**< of these free, or free after a call to the
                               advisor */
  uint64_t soon_memory_mib;
};

/** A failed run of a task or of a gang. */
struct cell_failed_ref
{
  uint64_t job;
  uint32_t round;
  uint32_t at;  /**< index of the task, or of the first one of the gang */
  uint32_t run; /**< its number; 0 if unused */
};

struct cell_worker
{
  uint32_t row;
  bool touched;   /**< changed since the core last looked at it */
  bool uncounted; /**< changed since it was last counted */
  bool unseen;    /**< its view may have changed since it was handed out */
  bool awaits_entries; /**< is looked at when entries have been read */
  struct cell_counted counted;
  uint64_t report_after_us; /**< see cell_worker_view */
  uint64_t report_until_us; /**< report_after_us is right until then; 0 if it
                               is to be computed again */
  struct cyc_name id;
  gchar *full_id; /**< as it calls itself; NULL: as `id` */
  struct cyc_name pool;
  struct cyc_name domain;
  struct cyc_name address;
  struct cyc_name labels[CELL_LABELS_MAX];
  uint32_t label_count;
  struct cyc_resources capacity;
  uint64_t used_millicores;
  uint64_t used_memory_mib;
  uint64_t used_accelerators;
  struct cell_resources reserved; /**< for a gang; may still be in use */
  const struct cell_stage *reserved_for; /**< NULL if nothing is reserved */
  uint64_t born_ms;
  uint64_t entry_born_ms; /**< incarnation that wrote its entry; 0 if unknown
                           */
  bool listed;
  bool draining;
  bool evacuated;         /**< operators have its failure domain evacuated */
  uint64_t cold_until_us; /**< it works slowly until then; 0 if it does not */
  uint64_t listed_after_us; /**< its entry was written later than this; 0 if
                               unknown */
  uint64_t unlisted_us; /**< when its entry was removed; 0 if it never was */
  uint64_t stays_until_us; /**< earliest time a draining worker leaves; 0 if
                              unknown */
  uint64_t entry_left_us;  /**< when the worker itself removed its entry; 0 if
                              it did not */
  uint64_t absent_us; /**< when nothing listened at its address; 0 if a report
                         has come since */
  uint64_t exited_us; /**< the worker has left and runs nothing from this time
                         on; 0 if unknown */
  bool replaced; /**< that is known because another worker has its address */
  uint64_t address_since_us;    /**< when its address became known */
  uint64_t address_reported_us; /**< when it last reported at that address; 0
                                   if this incarnation has not */
  bool fenced;                  /**< has answered a hold call of this leader */
  bool reachable; /**< not reported silent since its last report */
  uint32_t consecutive_failures;
  uint64_t last_failed_job;
  /** The runs that failed here last: each counts once. */
  struct cell_failed_ref failed_refs[CELL_FAILED_REFS_MAX];
  uint32_t failed_refs_next; /**< entry to overwrite next, modulo the size */
  uint64_t paused_until_us;
  uint32_t pause_count; /**< pauses since a task last succeeded; a worker with
                           any gets one task at a time */
  uint64_t silent_us;   /**< when it was first reported silent since its last
                           report */
  uint64_t broken_us;   /**< when a call to this incarnation first ended other
                           than by silence since its last report; 0 if none
                           did */
  enum cell_call_end broken_end; /**< how that call ended */
  bool muted;               /**< a call has timed out since its last report */
  uint64_t crashed_born_ms; /**< last incarnation that has crashed under
                               unproven runs */
  uint64_t crashed_us;      /**< when it broke; 0 if none did */
  uint32_t suspects;        /**< jobs with unproven runs in that crash */
  uint32_t trial_count;     /**< runs on trial */
  uint64_t hold; /**< id of the hold for a trial, during which no other run
                    starts; 0 if none */
  uint64_t no_hold_until_us; /**< a hold has failed here */
  uint64_t known_us;         /**< when its current incarnation became known */
  uint64_t former_born_ms;   /**< latest birth of the incarnations before; 0 if
                                none was known */
  uint64_t answered_us; /**< when that first answered a call; 0 if it has not
                         */
  uint64_t reborn_us;   /**< when its current incarnation became known; 0 if no
                           earlier one was known */
  uint64_t fenced_us;   /**< since when that refuses stale calls; 0 if it may
                           execute some */
  uint64_t start_called_us; /**< when the last call of a start has ended */
  uint64_t start_open_us;   /**< by when those that are open will have ended,
                               as of the last look at a silent worker */
  uint64_t start_until_us;  /**< until when one without an answer may be
                               executed, which extends the leases of all runs
                             */
  uint64_t settled_born_ms; /**< incarnation of which the records say that it
                               is settled; see cell_stale_settled. 0 if none
                               is */
  uint64_t clock_ms;
  uint64_t clock_at_us;
  uint64_t lease_deadline_ms; /**< latest extension requested, on the worker's
                                 clock */
  uint64_t lease_until_us;    /**< certain end of all leases while clock_ms is
                                 unknown */
  uint64_t ack_withheld_us;   /**< reports requested before do not tell which
                                 ends may be acknowledged */
  uint64_t received_end;      /**< highest number of an end received */
  uint64_t first_listed_end; /**< lowest number of an end in the last report; 0
                                if it listed none */
  uint64_t ack;       /**< highest number of an end whose effect is durable */
  uint64_t ack_next;  /**< value of ack once ack_batch is durable */
  uint64_t ack_batch; /**< 0 if none is pending */
  bool ack_listed;    /**< in the core's list of acknowledgements */
  struct cell_run *runs;
  uint32_t run_count;
  struct spd_worker speed;
  uint64_t speed_born_ms; /**< incarnation that an earlier leader's evidence is
                             of; 0 if there is none */
  double speed_factor; /**< as of the last comparison or end; 0: not known */
  bool slow;           /**< by that factor */
};

enum cell_task_state
{
  CELL_TASK_WAITING,
  CELL_TASK_PLACED,
  CELL_TASK_DONE
};

/** A crash that counts against a task. */
struct cell_crash
{
  uint32_t worker;  /**< row */
  uint64_t born_ms; /**< incarnation that crashed */
  uint32_t run;     /**< number of the run; 0 if a leader of an earlier version
                       counted it */
  bool sole;        /**< no other job was suspected, and no other reason is
                       near */
};

struct cell_crashes
{
  uint32_t count;
  uint64_t counted_us;     /**< when the last one was counted */
  uint64_t hold;           /**< id of the hold of workers for the trial; 0 if
                              none */
  uint64_t empty_until_us; /**< the held workers may first become free of other
                              runs until then */
  uint64_t again_us;       /**< no hold before that, as one has failed */
  struct cell_crash rows[CELL_CRASHES_MAX];
};

/** Failed runs of a task, or of a gang at its first task. Several messages may
 * tell of one: each member of a gang may fail, and an end is listed until it
 * is acknowledged, also to later leaders. */
struct cell_failed_runs
{
  uint32_t count; /**< distinct runs */
  GArray *runs;   /**< set of their numbers; see cyc_spans.h */
};

struct cell_task
{
  enum cell_task_state state;
  uint32_t next_run;       /**< 1 + the highest run number used */
  uint32_t ended_run;      /**< number of the run that a worker listed as ended
                              last; 0 if none */
  uint32_t ended_worker;   /**< row of that worker */
  uint64_t ended_born_ms;  /**< its incarnation */
  uint64_t ended_clock_ms; /**< its clock when it listed the end */
  struct cell_failed_runs *failed; /**< NULL if none; a gang's are at its
                                      first task */
  uint64_t not_before_us;          /**< earliest time of the next placement */
  struct cell_run *run;            /**< NULL unless placed */
  struct cell_crashes *crashes;    /**< NULL if none; a gang's are at its first
                                      task */
  char checkpoint[CELL_CHECKPOINT_BYTES];
};

/** Ticket that permits a stage to use a worker. */
struct cell_held_ticket
{
  uint32_t worker;
  uint64_t born_ms; /**< incarnation of the worker */
  uint64_t until_us;
  GRefString *text;
};

/** What is known of the advisor's verdict on a worker. A verdict does not
 * change. */
enum cell_verdict
{
  CELL_VERDICT_UNKNOWN,
  CELL_VERDICT_DENIED,
  CELL_VERDICT_ALLOWED
};

/** A step of a round, as it is scheduled. */
struct cell_stage
{
  struct cell_job *job;
  uint32_t round;
  uint32_t step;
  uint32_t first_task;
  uint32_t count;          /**< all tasks */
  uint32_t done;           /**< tasks done */
  uint32_t waiting;        /**< tasks neither placed nor done */
  uint32_t trials_waiting; /**< of these on trial at their next start, in this
                              tick */
  uint64_t short_since_us; /**< since when any of its tasks waits again; 0 if
                              none has, or before this leader */
  uint64_t stalled_since_us; /**< since when it waits with nothing running; 0
                                if it does not */
  bool ready;  /**< all dependencies are done and the round is due */
  bool listed; /**< in the core's list of waiting stages */
  uint64_t reserve_again_us; /**< when the workers of the reservation are
                                chosen again */
  struct spd_group speeds;   /**< durations of its tasks */
  uint64_t usual_at_us;      /**< when the next two were computed */
  uint64_t usual_us;         /**< see cell_speed_task_us */
  double tightness;          /**< of its time: 0 ample, 1 tight */
  double gang_factor; /**< slowness of its slowest member; 0 if none was placed
                       */
  bool has_reservation;  /**< capacity is reserved for the stage */
  uint64_t room_at_us;   /**< when that was to be complete, by the earliest
                            forecast; UINT64_MAX if it has never found
                            enough; 0 without a reservation */
  bool surveyed;         /**< a question about unknown workers was answered */
  uint64_t ask;          /**< open question; 0 if none */
  uint64_t ask_after_us; /**< earliest time of the next question */
  uint64_t critical_path_us; /**< longest chain of estimates from this step to
                                the end of the round */
  /** 1 + row of a worker on which a run failed, the last one first; 0 if
   * unused. */
  uint32_t failed_on[CELL_AVOIDED_WORKERS_MAX];
  uint8_t *verdicts; /**< by worker row */
  uint32_t verdict_count;
  GArray *allowed; /**< uint32_t: rows of allowed workers; NULL if none */
  GArray *tickets; /**< struct cell_held_ticket */
};

/** Consecutive tasks of a round, the last block may have fewer. */
struct cell_block
{
  struct cell_task *tasks; /**< NULL while all tasks are as they were set up,
                              or once all are done */
  uint32_t waiting;        /**< tasks in state CELL_TASK_WAITING */
  uint32_t done;           /**< tasks in state CELL_TASK_DONE */
  bool dirty;              /**< its record is to be written */
  bool recorded;           /**< a record of its own may be in the log */
  bool restored;           /**< as its newest record has it */
};

struct cell_round
{
  uint32_t index;
  uint64_t due_ms; /**< 0 if due immediately */
  bool due;
  bool finished;
  uint64_t finished_batch; /**< batch that records that */
  uint32_t tasks_done;
  uint32_t run_count; /**< runs of its tasks, also those that do not count */
  uint64_t bytes;     /**< counted by cell_memory_count_round */
  bool extra; /**< another round of its job was open when it was set up */
  struct cell_block *blocks;
  struct cell_stage *stages;
};

#define CELL_ALL_ROUNDS UINT32_MAX

/** Returns whether the stage is one of a round; see CELL_ALL_ROUNDS. */
#define CELL_STAGE_IS_OF(stage, j, r)                                         \
  ((stage)->job == (j) && ((r) == CELL_ALL_ROUNDS || (stage)->round == (r)))

/** Names a block of a job. */
struct cell_block_ref
{
  uint32_t round;
  uint32_t block;
};

struct cell_job
{
  uint64_t id;
  Cyc__CellJob *spec;
  uint32_t task_count;  /**< tasks of one round */
  uint32_t block_count; /**< blocks of one round */
  uint32_t round_count;
  GPtrArray *rounds;    /**< struct cell_round that are set up, by index */
  uint32_t next_round;  /**< all rounds before it are set up or finished */
  uint32_t open_rounds; /**< set up and not finished */
  GArray *finished;     /**< set of rounds; see cyc_spans.h */
  bool in_blocks;       /**< each block has a record of its own; else the job's
                           record holds the only block */
  struct cell_team *team;
  struct cyc_name queue;
  struct cell_queue_cfg cfg; /**< the queue's latest known configuration */
  bool cfg_known;            /**< the queue is in the configuration */
  enum cell_job_state state;
  enum cell_job_state durable_state; /**< state as of the last durable batch */
  uint64_t state_batch;              /**< batch that records the state */
  bool stored;                       /**< the log holds the job */
  bool dirty;                        /**< to be recorded in the next batch */
  bool state_dirty;                  /**< its own record too, if in blocks */
  GArray *dirty_blocks;              /**< struct cell_block_ref */
  bool restored;         /**< its state is that of its newest record */
  bool begun;            /**< a worker has started one of its tasks */
  uint32_t failures_max; /**< most failed runs of any of its tasks or gangs */
  bool over_rate;       /**< the team exceeded its rate when the job arrived */
  uint64_t deadline_us; /**< by the latency objective */
  uint64_t expires_us;  /**< after this time the result is no longer awaited */
  uint64_t accepted_us;
  uint64_t ended_ms;
  uint32_t rounds_finished;
  uint64_t held_bytes;  /**< see cell_memory_hold; 0 if it has ended */
  uint64_t extra_bytes; /**< of its rounds that are `extra` */
  bool no_room;         /**< refused by the budget of open jobs */
};

struct cell_team
{
  struct cyc_name name;
  struct cyc_resources limit;
  uint32_t weight;
  bool known;           /**< the team is in the configuration */
  double credit_jobs;   /**< jobs that the team may submit now */
  uint64_t credited_us; /**< when the credit was last raised; 0 if never */
  uint64_t used_millicores;
  uint64_t used_memory_mib;
  uint64_t used_accelerators;
  uint32_t run_count;
  uint64_t held_bytes;      /**< of its open jobs */
  uint64_t room_at_us;      /**< when a job that was refused is expected to
                               find room */
  uint64_t room_checked_us; /**< when that was forecast; 0 if never */
};

/** Question for the advisor about a stage. */
struct cell_question
{
  uint64_t ask;
  struct cell_stage *stage;
  bool handed_out; /**< cell_ask_next returned it */
  bool trial;      /**< for a trial, which waits for the answer only */
  uint64_t cost_us;
};

/** Workers that take no other starts until a trial has started there. */
struct cell_hold
{
  uint64_t id; /**< not 0 */
  struct cell_stage *stage;
  uint32_t task; /**< index in the round; the first one of a gang */
  uint64_t since_us;
  uint64_t until_us; /**< it fails then */
  bool risky;        /**< the task is likely to crash them, beside runs */
};

/** A place on a worker for one member of a gang, and when it is expected to be
 * free. */
struct cell_gang_place
{
  uint32_t row;
  uint64_t free_us;
};

struct cell_core
{
  struct cell_desc desc;
  const struct cell_config *config;
  GPtrArray *workers; /**< struct cell_worker */
  GHashTable *worker_rows;
  GHashTable *evacuated_domains; /**< set of names */
  bool starts_held;              /**< see cell_starts_hold */
  GHashTable *jobs;              /**< id to struct cell_job */
  GHashTable *teams;             /**< name to struct cell_team */
  GPtrArray *waiting;        /**< ready struct cell_stage with waiting tasks */
  GPtrArray *scheduled_jobs; /**< struct cell_job with rounds to be set up */
  struct cell_memory memory;
  GQueue retired;       /**< struct cell_retired *, oldest first */
  GPtrArray *dirty;     /**< struct cell_job */
  GPtrArray *questions; /**< open struct cell_question */
  GPtrArray *runs;      /**< by ref.index; NULL if unused */
  GArray *run_generations;
  GArray *free_runs;
  GQueue recording;          /**< runs in the order of their batches */
  GPtrArray *state_pending;  /**< jobs whose state is not yet durable */
  GQueue orders;             /**< struct cell_order * */
  GQueue conclusions;        /**< struct cell_conclusion *, to be handed out */
  GHashTable *concluded;     /**< struct cell_conclusion by itself; see
                                cyc_cell_over.c */
  GQueue concluded_by_age;   /**< the same, oldest first */
  GQueue over_ends;          /**< struct cell_over_end *, to be handed out */
  GHashTable *extra_runs;    /**< first extra struct cell_run of a task, by
                                itself; see cyc_cell_twice.c */
  GQueue twices;             /**< struct cell_twice *, to be handed out */
  uint64_t restarts_seen;    /**< new incarnations of known workers */
  GQueue blames;             /**< struct cell_blame *, to be handed out */
  bool check_attempts;       /**< in the next tick */
  GQueue attempts;           /**< struct cell_attempt *, to be handed out */
  GQueue failures;           /**< struct cell_failure *, to be handed out */
  GPtrArray *records;        /**< struct cell_record of closed batches */
  uint64_t entries_read_us;  /**< the entries that were written until then are
                                known; 0 if they are not loaded */
  uint64_t entries_first_us; /**< the same after the load */
  uint64_t entries_gap_us;   /**< when entries were read again after a gap; 0
                                if there was none */
  uint64_t first_end_us; /**< when the first end was received; 0 if none yet */
  struct due_queue due; /**< worker rows, by when the core must look at them */
  GArray *touched;      /**< rows of workers to look at in the next tick */
  GArray *uncounted;    /**< rows of workers to count before a placement */
  GArray *unseen;       /**< rows of workers whose view is to be handed out */
  GArray *awaiting_entries;   /**< rows of workers to look at then */
  GArray *acks;               /**< rows of workers with an ack_batch */
  uint64_t acks_batch;        /**< latest batch that an ack waits for */
  GArray *reserved_rows;      /**< rows of workers with a reservation */
  struct cell_counted totals; /**< of all workers that are counted */
  GHashTable *queue_times;    /**< queue name to struct cell_queue_time */
  GHashTable *queue_allowed_permille; /**< by queue name */
  uint64_t batch;                     /**< number of the open batch */
  uint64_t durable;             /**< all batches up to this one are durable */
  GArray *durable_out_of_order; /**< uint64_t: later durable batches */
  uint64_t revision;            /**< revision of the last record */
  uint64_t next_ask;
  uint64_t now_us;
  uint64_t now_ms;
  uint64_t next_us;            /**< when the next tick is due */
  bool placement_pending;      /**< the next tick places tasks */
  uint64_t next_placement_us;  /**< when a placement that is not possible now
                                  may become possible */
  uint64_t over_rate_late_us;  /**< when work over a team's rate was last late;
                                  0 if never */
  struct spd_table speeds;     /**< see cyc_cell_speed.c */
  uint64_t speeds_reviewed_us; /**< when workers were last compared */
  uint64_t speeds_record_us;   /**< when the next record of them is due */
  uint32_t speeds_record;      /**< number of that record */
  bool speeds_recorded; /**< the newest record says that workers differ */
  bool speeds_restored; /**< a record of an earlier leader is in force */
  bool fast_only; /**< slow workers are left out while a gang is placed */
  uint32_t gang_share_permille; /**< of the fleet that gangs may reserve */
  uint64_t gang_weighed_us;     /**< when that was last weighed */
  double gang_loss;   /**< by it: what callers of gangs lose by a wait */
  double others_loss; /**< the same of other work */
  double move_credit; /**< runs that may be moved from slow workers now */
  uint64_t reserved_millicores; /**< reserved for gangs in this tick */
  uint32_t trials_waiting; /**< for which no worker is held, in this tick */
  GArray *holds;           /**< struct cell_hold */
  uint64_t last_hold;      /**< highest id of a hold */
  uint64_t last_placed_ms; /**< Unix time of the last placement of earlier
                              leaders */
};

static inline uint64_t
cell_remaining (uint64_t total, uint64_t used)
{
  return total > used ? total - used : 0;
}

struct cell_worker *cell_worker_at (const struct cell_core *core,
                                    uint32_t row);
uint32_t cell_worker_row (struct cell_core *core, struct cyc_str id);
bool cell_worker_usable (const struct cell_core *core,
                         const struct cell_worker *worker);
struct cell_team *cell_team_of (struct cell_core *core, struct cyc_str name);
/** Applies the configuration of the job's queue, which may be freed before the
 * job. */
void cell_job_configure (struct cell_job *job,
                         const struct cell_queue_cfg *queue);
/** Has ends up to worker->ack_next acknowledged once the open batch is
 * durable.
 */
void cell_ack_later (struct cell_core *core, struct cell_worker *worker);
/** Returns whether the records of the batch are durable. */
bool cell_batch_is_durable (const struct cell_core *core, uint64_t batch);
/** Has the start of an inherited run ordered again on the same worker, once a
 * record says so, if it can be. That incarnation refuses the earlier leader's
 * start; if a later one executes it, it is the same run. */
void cell_run_start_again (struct cell_core *core, struct cell_run *run);
/** Includes the job's own record in the next batch of records. */
void cell_job_mark_dirty (struct cell_core *core, struct cell_job *job);
/** Includes the record that holds the task. */
void cell_task_mark_dirty (struct cell_core *core, struct cell_job *job,
                           uint32_t round, uint32_t task);
/** Brings the next tick forward to @p at_us at the latest. */
void cell_wake (struct cell_core *core, uint64_t at_us);

/** Notes whether the failure domain that the worker's entry names is
 * evacuated.
 */
void cell_evacuate_listed (const struct cell_core *core,
                           struct cell_worker *worker);

/* Looking at workers: only at those that have changed, and at those whose time
   has come. */

void cell_look_setup (struct cell_core *core);
void cell_look_shutdown (struct cell_core *core);
/** Notes a change of the worker or of one of its runs: the next tick, which
 * comes soon but not at once, looks at it and counts it again, and its view is
 * handed out. */
void cell_worker_touch (struct cell_core *core, struct cell_worker *worker);
/** Has a tick look at the worker at @p at_us at the latest. */
void cell_worker_wake (struct cell_core *core,
                       const struct cell_worker *worker, uint64_t at_us);
/** Has the next tick look at the worker once further entries have been read.
 */
void cell_look_await_entries (struct cell_core *core,
                              struct cell_worker *worker);
/** Takes the next worker to look at in this tick; NULL if there is none. */
struct cell_worker *cell_look_next (struct cell_core *core);
/** Brings the totals up to date. */
void cell_look_count (struct cell_core *core);
/** Returns cell_worker_view.report_after_us. */
uint64_t cell_look_report_after_us (const struct cell_core *core,
                                    uint32_t row);

/* Jobs. */
struct cell_job *cell_job_find (const struct cell_core *core, uint64_t id);
void cell_job_free (struct cell_job *job);
struct cell_stage *cell_stage_of_task (struct cell_job *job, uint32_t round,
                                       uint32_t task);
const Cyc__CellStep *cell_stage_step (const struct cell_stage *stage);
void cell_job_set_state (struct cell_core *core, struct cell_job *job,
                         enum cell_job_state state);
void cell_job_activate (struct cell_core *core, struct cell_job *job);
/** Stops all runs of a job that has ended. */
void cell_job_stop_runs (struct cell_core *core, struct cell_job *job);
/** Names a task of a job. */
struct cell_task_ref
{
  uint32_t round;
  uint32_t task; /**< index in the round */
};
/** Fails a job that is open, and stops its runs. @p at: the task that is the
 * reason, the first one of a gang; NULL if none is. */
void cell_job_fail (struct cell_core *core, struct cell_job *job,
                    enum cell_failure_cause cause,
                    const struct cell_task_ref *at);
void cell_task_requeue (struct cell_core *core, struct cell_job *job,
                        uint32_t round, uint32_t task, uint64_t at_us);
void cell_task_done (struct cell_core *core, struct cell_job *job,
                     uint32_t round, uint32_t task);
bool cell_job_open (const struct cell_job *job);

/* Failed attempts. */

void cell_attempts_setup (struct cell_core *core);
void cell_attempts_shutdown (struct cell_core *core);
/** An end `failed`, as a worker has listed it. */
struct cell_failed_end
{
  struct cell_job *job;
  uint32_t round;
  uint32_t task;   /**< index in the round */
  uint32_t run;    /**< number of the run */
  uint32_t worker; /**< row */
  uint64_t number; /**< of the end */
  bool run_known;  /**< the run occupies the worker until this end */
};
/** Counts the failed run of a task, or of a gang, if no other end has told of
 * it, and fails the job after the last attempt. */
void cell_attempt_failed (struct cell_core *core,
                          const struct cell_failed_end *end);
/** Returns how often the task, or the gang whose first task it is, has failed.
 */
uint32_t cell_failures (const struct cell_task *task);
/** Has the job failed if the task is to be started again, but has no attempt
 * left. A run whose start is not ordered yet counts as one to be started. */
void cell_attempts_check (struct cell_core *core, struct cell_job *job,
                          uint32_t round, uint32_t task);
/** Has the next tick check all tasks: the limits may have changed. */
void cell_attempts_check_later (struct cell_core *core);
void cell_attempts_tick (struct cell_core *core);
/** Adds the failed runs of a task to a record; @p out has room for
 * CELL_FAILED_SPANS_MAX pairs of bounds. */
void cell_attempts_draft (const struct cell_task *task,
                          Cyc__CellFailedRuns *out);
/** Restores @p count failed runs of a task. @p from: NULL if the record does
 * not say which; then they are among those below @p before. */
void cell_attempts_restore (struct cell_job *job, struct cell_task *task,
                            uint32_t count, const Cyc__CellFailedRuns *from,
                            uint32_t before);
void cell_attempts_free (struct cell_task *task);
/** Hands out that the job has failed; @p at as for cell_job_fail. */
void cell_failure_report (struct cell_core *core, struct cell_job *job,
                          enum cell_failure_cause cause,
                          const struct cell_task_ref *at);

/** Opens the stages of a round that is due whose dependencies are done, and
 * lists those with waiting tasks. */
void cell_round_open (struct cell_core *core, struct cell_job *job,
                      struct cell_round *round);
/** Marks the task as done. */
void cell_task_mark_done (struct cell_core *core, struct cell_job *job,
                          uint32_t round, uint32_t task);
/** Notes that all tasks of the round are done, if they are. */
void cell_round_finish (struct cell_core *core, struct cell_job *job,
                        struct cell_round *round);
void cell_task_name (const struct cell_run *run, char out[64]);
bool cell_task_parse (struct cell_core *core, struct cyc_str name,
                      struct cell_job **job, uint32_t *round, uint32_t *task);
void cell_stage_release (struct cell_stage *stage);
/** Removes the stages of a round that is removed from all lists; see
 * cell_gang_forget. */
void cell_stages_forget (struct cell_core *core, const struct cell_job *job,
                         uint32_t round);
/** Opens the stages of rounds that have become due. */
void cell_rounds_tick (struct cell_core *core);

/* Rounds, and the blocks of their tasks. */

/** Sets up the only round, or has cell_rounds_tick set up each when it is due.
 */
void cell_rounds_begin (struct cell_core *core, struct cell_job *job);
void cell_rounds_free (struct cell_job *job);
/** The rounds of the job are about to be freed with it. */
void cell_rounds_uncount (struct cell_core *core, struct cell_job *job);
/** Returns when the round is due, Unix time; 0 if at once. */
uint64_t cell_round_due_ms (const struct cell_job *job, uint32_t round);
/** Returns a round that is set up, as one that has runs is; NULL if it is not.
 */
struct cell_round *cell_round_at (const struct cell_job *job, uint32_t round);
/** Sets up the round if it is not, as it was left if it is finished. */
struct cell_round *cell_round_get (struct cell_core *core,
                                   struct cell_job *job, uint32_t round);
bool cell_round_finished (const struct cell_job *job, uint32_t round);
/** Notes that the rounds of a record are finished. */
void cell_rounds_finished (struct cell_job *job, uint32_t first, uint32_t end);
/** Has the rows of the task's block freed soon, if its tasks are all done. */
void cell_block_retire (struct cell_core *core, const struct cell_job *job,
                        uint32_t round, uint32_t task);
/** Has the rounds of a job that has ended freed soon. */
void cell_rounds_retire (struct cell_core *core, const struct cell_job *job);
/** Returns the task for reading: if its block has no rows, one that is as all
 * tasks of the block are. */
const struct cell_task *cell_task_peek (const struct cell_job *job,
                                        uint32_t round, uint32_t task);
/** Returns the row of the task. */
struct cell_task *cell_task_at (const struct cell_job *job, uint32_t round,
                                uint32_t task);
/** Sets the state of the task and what is counted of it. */
void cell_task_set_state (struct cell_job *job, uint32_t round, uint32_t task,
                          enum cell_task_state state);
/** Returns the first task at or after @p task, and before @p end, that has a
 * row; @p end if there is none. */
uint32_t cell_task_next_row (const struct cell_round *round, uint32_t task,
                             uint32_t end);
/** The same for a task that may wait: of a block with waiting tasks. */
uint32_t cell_task_next_waiting (const struct cell_round *round, uint32_t task,
                                 uint32_t end);

/* Progress records. */

/** Adds the records of a dirty job to those of the batch. */
void cell_progress_write (struct cell_core *core, struct cell_job *job);
/** Has the records of a round's blocks removed, which is durably finished. */
void cell_progress_remove_round (struct cell_core *core,
                                 const struct cell_job *job,
                                 struct cell_round *round);
/** Has the records of the blocks of a job removed that has durably ended. */
void cell_progress_remove (struct cell_core *core, struct cell_job *job);

/* Runs. */
struct cell_run *cell_run_new (struct cell_core *core, struct cell_job *job,
                               uint32_t round, uint32_t task, uint32_t worker,
                               uint32_t number);
/** Adds a run that a worker reports but the core does not know. It becomes the
 * run of its task if that task waits, or if its next run is not ordered yet;
 * else it occupies the worker until it is stopped. */
struct cell_run *cell_run_adopt (struct cell_core *core, struct cell_job *job,
                                 uint32_t round, uint32_t task,
                                 uint32_t worker, uint32_t number);
void cell_run_free (struct cell_core *core, struct cell_run *run);
/** Returns whether the run's confirmed_us is when it began: the worker has
 * answered the start to this leader. Else it may have begun earlier. */
bool cell_run_start_known (const struct cell_run *run);
struct cell_run *cell_run_at (const struct cell_core *core,
                              struct cyc_ref ref);
void cell_run_stop (struct cell_core *core, struct cell_run *run);
/** Brings the stops of the worker's runs forward, which waited while it was
 * silent. */
void cell_runs_reached (struct cell_core *core, struct cell_worker *worker);
void cell_runs_tick (struct cell_core *core);
/** Returns when a lease has certainly lapsed that had @p remaining_ms left on
 * the worker's clock at @p from_us. */
uint64_t cell_lease_end_us (uint64_t from_us, uint64_t remaining_ms);

/* Stale calls. */

/** Returns when the leases have certainly lapsed that stale calls may have
 * extended; 0 if there are none. */
uint64_t cell_stale_lease_end_us (const struct cell_core *core,
                                  const struct cell_worker *worker);
/** Returns whether an incarnation of the worker is settled: it executes no
 * stale call any more, and the lease that one has extended ends before a lease
 * that a leader asks for now. That lasts as long as the incarnation. */
bool cell_stale_settled (const struct cell_core *core,
                         const struct cell_worker *worker, uint64_t born_ms);
/** A record says that an incarnation of the worker is settled. */
void cell_stale_restore (struct cell_worker *worker, uint64_t settled_born_ms);
/** The worker has answered a call after which incarnation @p born_ms refuses
 * stale calls; 0 if none does. */
void cell_stale_fenced (const struct cell_core *core,
                        struct cell_worker *worker, uint64_t born_ms);

/* Pace. */

/** Updates the projections of a run from reported progress. */
void cell_pace_progress (struct cell_core *core, struct cell_run *run,
                         uint32_t percent);
/** Learns the durations of the queue and the speed of the worker from a run
 * that succeeded; from a gang's run once. */
void cell_pace_done (struct cell_core *core, const struct cell_run *run);
/** Returns the duration within which nine in ten tasks of the stage's queue
 * end; 0 if unknown. */
uint64_t cell_pace_long_us (const struct cell_core *core,
                            const struct cell_stage *stage);
/** Raises the credit for moves; called for each new run. */
void cell_pace_started (struct cell_core *core);
/** Pauses a slow worker and moves its runs if they would end much earlier
 * elsewhere. Called after each report of the worker. */
void cell_pace_worker (struct cell_core *core, struct cell_worker *worker);
/** Removes a run that ended without success or never started, and requeues its
 * task. */
void cell_run_ended (struct cell_core *core, struct cell_run *run,
                     enum cell_end_kind kind, struct cyc_str checkpoint);

/* Blame: the only place that decides which task a worker's crash counts
   against, and when a task is given up for its crashes. */

void cell_blame_setup (struct cell_core *core);
void cell_blame_shutdown (struct cell_core *core);
/** A call to the worker ended without an answer at @p broken_us. Ignored if
 * the worker has answered since. */
void cell_blame_broken (struct cell_core *core, uint32_t row,
                        enum cell_call_end end, uint64_t broken_us);
/** A newer incarnation of the worker was found. */
void cell_blame_reborn (struct cell_core *core, uint32_t row);
/** The worker has answered a call that was sent at @p sent_us: its incarnation
 * has not crashed before. */
void cell_blame_answered (struct cell_core *core, uint32_t row,
                          uint64_t sent_us);
/** A report of the worker shows the run. */
void cell_blame_seen (struct cell_core *core, struct cell_run *run,
                      const struct cell_report *report);
/** The worker has listed that the run was done or failed. */
void cell_blame_survived (struct cell_core *core, struct cell_run *run);
/** The run was concluded to be over. Counts the crash that has ended it, and
 * gives up its task if it has crashed enough workers. */
void cell_blame_over (struct cell_core *core, struct cell_run *run,
                      enum cell_over over);
/** The run was placed; cell_blame_freed: it is removed. */
void cell_blame_placed (struct cell_core *core, struct cell_run *run);
void cell_blame_freed (struct cell_core *core, const struct cell_run *run);
/** Returns the crashes for which the next run of the task is a trial; NULL if
 * it is none. */
const struct cell_crashes *cell_blame_trial (const struct cell_stage *stage,
                                             uint32_t task);
/** Returns whether the worker's incarnation is so new that it may crash by
 * itself. */
bool cell_blame_is_young (const struct cell_core *core,
                          const struct cell_worker *worker);
/** Returns whether the task crashes workers more likely than not: another
 * crash, or one without another suspect, counts against it. */
bool cell_blame_is_likely (const struct cell_crashes *crashes);
/** Queues a step about a hold. */
void cell_blame_report_hold (struct cell_core *core, enum cell_blame_kind kind,
                             const struct cell_hold *hold);
/** Returns the added cost of placing a task of the stage on the worker, with
 * regard to trials; UINT64_MAX if impossible. @p trial: see cell_blame_trial.
 */
uint64_t cell_blame_cost (const struct cell_core *core,
                          const struct cell_stage *stage, uint32_t row,
                          const struct cell_crashes *trial);
/** Returns the time after which a report must be requested to end the trials
 * on the worker; 0 if it needs none now. Lowers @p until_us to the time until
 * which that holds without a change of the worker. */
uint64_t cell_blame_report_after_us (const struct cell_core *core,
                                     const struct cell_worker *worker,
                                     uint64_t *until_us);
/** Returns what is recorded of the suspicion against the run. */
uint32_t cell_blame_suspicion (const struct cell_run *run);
void cell_blame_restore_run (struct cell_core *core, struct cell_run *run,
                             const Cyc__CellRun *from);
/** Restores a crash of an earlier incarnation of a worker from a record. */
void cell_blame_restore (struct cell_core *core, struct cell_task *task,
                         const Cyc__CellCrash *from);

/* Trials that wait for a worker. */

/** Holds workers for the oldest trials that wait, and asks for the advice that
 * they need. Requires the counts of this tick. */
void cell_trials_tick (struct cell_core *core);
/** Ends the holds that have led to a start or have failed. */
void cell_trials_end_holds (struct cell_core *core);
/** Ends the holds for tasks of a round that is removed; see cell_gang_forget.
 */
void cell_trials_forget (struct cell_core *core, const struct cell_job *job,
                         uint32_t round);
/** Returns whether the worker is held for a task of the stage. */
bool cell_held_for (const struct cell_core *core,
                    const struct cell_stage *stage,
                    const struct cell_worker *worker);
/** The advisor has answered a question about the stage. */
void cell_trials_advised (struct cell_stage *stage);

/* Runs that are over. */

void cell_over_setup (struct cell_core *core);
void cell_over_shutdown (struct cell_core *core);
/** Ends a run whose start was not ordered. */
void cell_over_unordered (struct cell_core *core, struct cell_run *run);
/** Ends a run whose start was refused, unless the worker has reported it. */
void cell_over_refused (struct cell_core *core, struct cell_run *run);
/** The call of the run's start has ended without an answer. */
void cell_over_start_unanswered (struct cell_core *core,
                                 const struct cell_run *run);
/** Records that a report of the worker's current incarnation shows the run. */
void cell_over_seen (const struct cell_core *core,
                     const struct cell_worker *worker, struct cell_run *run,
                     uint64_t sent_us);
/** Resolves the runs that a report neither shows (@p seen) nor lists as ended.
 */
void cell_over_reported (struct cell_core *core, struct cell_worker *worker,
                         const struct cell_report *report, GHashTable *seen);
/** Resolves runs by the worker's entry, which its current incarnation wrote
 * later than @p after_us. */
void cell_over_listed (struct cell_core *core, struct cell_worker *worker,
                       uint64_t after_us);
/** Ends the runs of a worker that is silent or has left, once their leases
 * have lapsed. */
void cell_over_expire (struct cell_core *core, struct cell_worker *worker);
/** The worker has stopped the number of a run that was started again. Returns
 * whether it is to be started under the next one, as a report would show the
 * run if it were at work. */
bool cell_over_closed (const struct cell_core *core, struct cell_run *run);
/** Returns whether no later incarnation of the worker can execute the run's
 * start. */
bool cell_over_start_bound (const struct cell_core *core,
                            const struct cell_run *run);
/** Returns the time after which a report must be requested to resolve the run;
 * 0 if it needs none. Lowers @p until_us to the time until which that holds
 * without a change of the worker. */
uint64_t cell_over_report_after_us (const struct cell_core *core,
                                    const struct cell_worker *worker,
                                    const struct cell_run *run,
                                    uint64_t *until_us);
/** Notes that the worker lists the end of a run that the core does not know.
 * If the run was concluded to be over, the end is handed out: the incarnation
 * that lists it has executed the run. */
void cell_over_ended (struct cell_core *core, const struct cell_worker *worker,
                      const struct cell_end_row *end);
/** Notes that the worker reports a run that the core does not know as running,
 * or lists its end as done or failed (@p ended). If the run was concluded to
 * be over, the conclusion is handed out as contradicted, unless the run may
 * have ended before it. */
void cell_over_contradict (struct cell_core *core, uint32_t worker,
                           struct cyc_str task, uint32_t run, bool ended);

/* Runs of one task at once. */

void cell_twice_setup (struct cell_core *core);
void cell_twice_shutdown (struct cell_core *core);
/** The run was shown by its worker and is not the one that counts for its
 * task. */
void cell_twice_extra (struct cell_core *core, struct cell_run *run);
/** The run is about to be freed. */
void cell_twice_freed (struct cell_core *core, struct cell_run *run);
/** The start of the run was answered, or a report has shown it: hands out the
 * pairs with other runs of its task that are at work. */
void cell_twice_check (struct cell_core *core, struct cell_run *run);

/* Speeds. */

void cell_speed_setup (struct cell_core *core);
void cell_speed_shutdown (struct cell_core *core);
/** Learns from a run that succeeded. */
void cell_speed_done (struct cell_core *core, const struct cell_run *run);
/** Compares the workers now and then. */
void cell_speed_tick (struct cell_core *core);
/** An incarnation of the worker is seen for the first time. */
void cell_speed_reborn (struct cell_worker *worker, uint64_t born_ms);
/** Computes what placements ask of the worker. */
void cell_speed_refresh (const struct cell_core *core,
                         struct cell_worker *worker);
/** Returns how many times longer a task takes on the worker than usual. */
double cell_speed_factor (const struct cell_core *core,
                          const struct cell_worker *worker);
bool cell_speed_is_slow (const struct cell_core *core,
                         const struct cell_worker *worker);
/** Looks at the time that the stage has, now and then: before
 * cell_speed_cost. */
void cell_speed_look (const struct cell_core *core, struct cell_stage *stage);
/** Returns the cost of the worker's speed for a task of the stage that is in
 * no gang. */
uint64_t cell_speed_cost (const struct cell_core *core,
                          const struct cell_stage *stage,
                          const struct cell_worker *worker);
/** Returns how long a task of the stage usually takes; 0 if that is not
 * learned. */
uint64_t cell_speed_task_us (const struct cell_core *core,
                             const struct cell_stage *stage);
/** Returns the time by which the stage is to end. */
uint64_t cell_speed_due_us (const struct cell_core *core,
                            const struct cell_stage *stage);
/** Returns how long the run is expected to take; 0 if that is not learned. */
uint64_t cell_speed_run_us (const struct cell_core *core,
                            const struct cell_run *run);
/** Leaves out the places on slow workers if the gang ends no later without
 * them. @p places are sorted by time. */
void cell_speed_choose_places (const struct cell_core *core,
                               const struct cell_stage *stage, GArray *places);
/** Returns whether a gang that fits now, on slow workers too, should wait for
 * others: it would be late now, and in time then. @p places, sorted by time,
 * are changed. */
bool cell_speed_gang_waits (const struct cell_core *core,
                            const struct cell_stage *stage, GArray *places);
/** Notes the slowness of the gang's members. */
void cell_speed_gang_placed (const struct cell_core *core,
                             struct cell_stage *stage, const GPtrArray *runs);

/* Placement and advice. */
void cell_place_tick (struct cell_core *core);
/** Requests a placement at @p at_us, even if no other event occurs then. */
void cell_retry_placement (struct cell_core *core, uint64_t at_us);
/** Returns whether the worker's entry, with its capacity and labels, is that
 * of its current incarnation, as far as is known. */
bool cell_entry_current (const struct cell_worker *worker);
bool cell_res_fits (const struct cell_worker *worker,
                    const struct cyc_resources *size);
struct cyc_resources cell_step_size (const Cyc__CellStep *step);
/** Returns whether the worker's pool and labels are those that the stage
 * needs. */
bool cell_worker_suits (const struct cell_stage *stage,
                        const struct cell_worker *worker);
/** Returns whether the worker may run tasks of the stage, regardless of advice
 * and capacity. */
bool cell_worker_eligible (const struct cell_core *core,
                           const struct cell_stage *stage,
                           const struct cell_worker *worker);
/** Returns the number of tasks of the stage that fit on the worker now,
 * excluding capacity reserved for stages before it. */
uint32_t cell_slots_now (const struct cell_core *core,
                         const struct cell_stage *stage,
                         const struct cell_worker *worker);
/** As cell_slots_now, once the runs expected to end during a call to the
 * advisor have ended. */
uint32_t cell_slots_soon (const struct cell_core *core,
                          const struct cell_stage *stage,
                          const struct cell_worker *worker);
/** As cell_slots_now, if the worker were empty. */
uint32_t cell_slots_total (const struct cell_stage *stage,
                           const struct cell_worker *worker);
/** Returns whether the gang may start after a call to the advisor: it fits as
 * a whole on allowed workers. What comes free during the call counts only for
 * a gang that has reserved it. One that has reserved nothing, since other
 * gangs have what may be reserved, still starts where room is free. */
bool cell_gang_may_start_soon (const struct cell_core *core,
                               const struct cell_stage *stage);
/** Returns whether the team may run @p tasks more tasks of this size: by its
 * limit, and by the budget of runs. */
bool cell_team_has_quota (const struct cell_core *core,
                          const struct cell_team *team,
                          const struct cyc_resources *size, uint64_t tasks);
/** Returns whether no run of the stage has failed on the worker, and it is
 * near the stage's data. */
bool cell_stage_prefers (const struct cell_stage *stage, uint32_t row,
                         const struct cell_worker *worker);
/** Returns the row of the best worker, or CELL_NO_ROW if no allowed worker has
 * capacity. If @p rack is not empty, only workers in that rack are
 * considered. @p trial: see cell_blame_trial. */
uint32_t cell_best_worker (const struct cell_core *core,
                           const struct cell_stage *stage,
                           const struct cyc_resources *size,
                           struct cyc_str rack,
                           const struct cell_crashes *trial);
struct cell_run *cell_place (struct cell_core *core, struct cell_stage *stage,
                             uint32_t task, uint32_t row, uint32_t number);

/* Gangs. */

/** Places all members of the gang or none. Returns whether it did. */
bool cell_gang_place (struct cell_core *core, struct cell_stage *stage);
/** Weighs which share of the fleet gangs may reserve, by what waits cost the
 * callers of gangs and of other work. */
void cell_gang_weigh (struct cell_core *core);
/** Reserves capacity for a gang that does not fit yet, on the allowed workers
 * where it comes free first. Stages after it may not use that capacity. */
void cell_gang_reserve (struct cell_core *core, struct cell_stage *stage);
/** Appends up to @p max places (struct cell_gang_place) for tasks of the stage
 * on the worker, each with the time at which enough runs are expected to have
 * ended for it to fit beside those before it. */
void cell_gang_places (const struct cell_core *core,
                       const struct cell_stage *stage, uint32_t row,
                       uint32_t max, GArray *places);
/** Returns when the run is expected to end. */
uint64_t cell_run_end_us (const struct cell_core *core,
                          const struct cell_run *run);
/** Sorts places by time. */
void cell_gang_sort_places (GArray *places);
/** Releases the reservations for stages of a round that is removed; @p round:
 * CELL_ALL_ROUNDS if the job is. */
void cell_gang_forget (struct cell_core *core, const struct cell_job *job,
                       uint32_t round);
/** Releases the reservations of stages that no longer wait, and resets the
 * total; cell_gang_reserve counts the remaining ones again. */
void cell_gang_release_ended (struct cell_core *core);
/** Returns whether stage @p a is served before @p b. */
bool cell_stage_before (const struct cell_core *core,
                        const struct cell_stage *a,
                        const struct cell_stage *b);

/* Lending of reserved capacity. */

/** Notes when the room of a gang is expected to be complete. @p places: those
 * that it may reserve, the first one to come free first. */
void cell_lend_note (struct cell_stage *gang, const GArray *places);
/** Returns whether a task of the stage may use room that is reserved for the
 * gang, which is served before it. */
bool cell_lend_allowed (const struct cell_core *core,
                        const struct cell_stage *gang,
                        const struct cell_stage *stage);

/* Advice. */

/** Asks about the stage, unless a question about it is open. @p trial: for a
 * trial; such questions come before others. */
void cell_stage_ask (struct cell_core *core, struct cell_stage *stage,
                     bool trial);
/** Drops the questions about stages of a round that is removed; see
 * cell_gang_forget. */
void cell_questions_forget (struct cell_core *core, const struct cell_job *job,
                            uint32_t round);
enum cell_verdict cell_verdict_of (const struct cell_stage *stage,
                                   uint32_t row);
/** Workers that the advisor has allowed, whether or not a ticket for them is
 * still valid. */
uint32_t cell_allowed_count (const struct cell_stage *stage);
uint32_t cell_allowed_at (const struct cell_stage *stage, uint32_t index);
uint32_t cell_ticket_count (const struct cell_stage *stage);
/** Returns NULL if the ticket is no longer valid. */
const struct cell_held_ticket *cell_ticket_at (const struct cell_core *core,
                                               const struct cell_stage *stage,
                                               uint32_t index);
/** Releases the run's ticket. */
void cell_ticket_release (struct cell_run *run);
/** The worker has refused the ticket of the run, which is not used again. */
void cell_ticket_refused (const struct cell_run *run);
/** Returns NULL if the stage holds no ticket that is valid for this
 * incarnation of the worker. */
const struct cell_held_ticket *cell_ticket_for (const struct cell_core *core,
                                                const struct cell_stage *stage,
                                                uint32_t row);

#endif
