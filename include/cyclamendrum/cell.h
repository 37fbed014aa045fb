/**
 * @file
 * Decision core of a cell. It keeps the jobs with their steps and tasks, the
 * workers of all failure domains and the runs of tasks on workers, and decides
 * which task runs where.
 *
 * The core has no clock, socket or log. The leading entry VM passes it what it
 * has learned, calls cell_tick, writes the records of a closed batch to the
 * log, and carries out the orders that a durable batch releases. A start is
 * ordered only after the record that names its worker is durable, so a new
 * leader knows every worker on which a task may run.
 *
 * Late results are ignored: the result of a run that no longer exists, and the
 * answer to a question that is no longer open.
 *
 * @code
 * core = cell_setup (&(struct cell_desc){ .lease_ms = 10000 });
 * cell_config_set (core, config);
 * cell_job_add (core, id, job, true, now_us, now_ms);
 * cell_tick (core, now_us, now_ms);
 * batch = cell_batch_close (core);
 * while (cell_batch_next (core, &record)) append (record);
 * cell_batch_durable (core, batch, now_us);
 * while (cell_order_next (core, &order)) carry_out (&order);
 * @endcode
 */
#ifndef CYCLAMENDRUM_CELL_H
#define CYCLAMENDRUM_CELL_H

#include <cyclamendrum/base.h>
#include <cyclamendrum/config.h>

#define CELL_CHECKPOINT_BYTES 40
#define CELL_LABELS_MAX 8
#define CELL_STEPS_MAX 64
/** Limits of a job. Its record and those of its tasks stay below 64 KiB, and a
 * round of the largest one takes 190 KB before any of it is started. */
#define CELL_PAYLOAD_MAX_BYTES 4000
#define CELL_TEXT_MAX_BYTES 255
/** Tasks of one round, in all steps. */
#define CELL_TASKS_MAX 1000000
/** Tasks of a gang, which all run at once. */
#define CELL_GANG_TASKS_MAX 10000
/** Runs on a worker at a time, which it lists in each report. */
#define CELL_WORKER_RUNS_MAX 4096
/** Memory of the process if it is not stated. */
#define CELL_MEMORY_DEFAULT_BYTES 134217728
/** A call without an answer may be executed this long after it has ended, as
 * far as is known: the platform states no bound. */
#define CELL_CALL_LATE_MAX_US 12000000
/** Row of no worker. */
#define CELL_NO_ROW UINT32_MAX

struct Cyc__CellJob;

enum cell_job_state
{
  CELL_JOB_QUEUED = 1,
  CELL_JOB_ACTIVE,
  CELL_JOB_COMPLETE,
  CELL_JOB_FAILED,
  CELL_JOB_CANCELED
};

/** Rules for the advice that a queue's policy may require for a step. */
struct cell_advice_cfg
{
  bool required;
  uint64_t decision_us;   /**< duration of a call that names no worker */
  uint64_t per_worker_us; /**< added duration for each worker that it names */
  uint64_t valid_us;      /**< lifetime of a ticket */
};

/** Names are those of cyc_name_set_any. */
struct cell_queue_cfg
{
  struct cyc_name name;
  struct cyc_name host; /**< with path_prefix: selects the queue's requests */
  struct cyc_name pool; /**< pool of the workers that run its tasks */
  struct cyc_str path_prefix; /**< allocated, owned by the configuration */
  uint32_t priority;          /**< 0 is the most urgent */
  uint32_t max_attempts; /**< failures of one task until its job fails; 0: 1 */
  uint32_t slack_permille; /**< time allowed for a job, relative to its
                              critical path; 0: 1000 */
  uint32_t objective_ms;   /**< added to the time allowed */
  bool open_to_all;        /**< requests need no API key */
  struct cell_advice_cfg advice;
};

struct cell_team_cfg
{
  struct cyc_name name;
  uint32_t weight; /**< jobs that it may submit per second; 0: unlimited */
  struct cyc_resources limit; /**< 0 in a member: unlimited */
  struct cyc_name *keys;      /**< API keys */
  uint32_t key_count;
};

struct cell_pool_cfg
{
  struct cyc_name name;
  bool standby;
};

/** A complete configuration, owned by the caller. */
struct cell_config
{
  uint64_t version;
  struct cell_queue_cfg *queues;
  uint32_t queue_count;
  struct cell_team_cfg *teams;
  uint32_t team_count;
  struct cell_pool_cfg *pools;
  uint32_t pool_count;
};

/** Frees a configuration; NULL is allowed. */
void cell_config_free (struct cell_config *config);
/** Returns the queue of @p host, as the caller has sent it, with the longest
 * matching path prefix, or NULL if there is none. */
const struct cell_queue_cfg *
cell_config_route (const struct cell_config *config, struct cyc_str host,
                   struct cyc_str path);
/** Returns the team that owns API key @p key, as the caller has sent it, or
 * NULL if none does. */
const struct cell_team_cfg *
cell_config_team_of_key (const struct cell_config *config, struct cyc_str key);
/** Returns the queue of that name, or NULL if there is none. */
const struct cell_queue_cfg *
cell_config_queue (const struct cell_config *config, struct cyc_str name);

/** Entry of a worker in the service discovery. */
struct cell_worker_entry
{
  struct cyc_name id;     /**< by cyc_name_set_any */
  struct cyc_str full_id; /**< as the worker calls itself, if that differs */
  struct cyc_name pool;
  struct cyc_name domain;
  struct cyc_name address;
  struct cyc_name labels[CELL_LABELS_MAX];
  uint32_t label_count;
  struct cyc_resources capacity;
  uint64_t born_ms; /**< start of this incarnation, Unix time; 0 if unknown */
  bool draining;
  uint32_t leaves_in_ms; /**< minimum time until a draining worker leaves; 0 if
                            unknown */
  uint32_t cold_ms; /**< how much longer it works slowly after its start; 0 if
                       it does not */
};

/** One run that a worker reports as running. */
struct cell_running_row
{
  struct cyc_str task;
  uint32_t run;              /**< number of the run of the task */
  struct cyc_str checkpoint; /**< newest checkpoint; empty if none */
  uint32_t percent;          /**< progress */
  uint32_t load;             /**< tail latency in ms, or millicores in use */
};

enum cell_end_kind
{
  CELL_END_DONE,
  CELL_END_FAILED,
  CELL_END_STOPPED,
  CELL_END_LAPSED, /**< its lease expired, or the worker lost it */
  CELL_END_BROKEN, /**< another member of the gang ended */
  CELL_END_ALONE   /**< other members of the gang did not start */
};

/** End of a run. The worker numbers its ends in ascending order and lists each
 * until it is acknowledged. */
struct cell_end_row
{
  uint64_t number;
  struct cyc_str task;
  uint32_t run; /**< number of the run of the task */
  enum cell_end_kind kind;
  struct cyc_str checkpoint;
};

/** A worker's answer to a hold call. */
struct cell_report
{
  uint64_t sent_us;  /**< when the call was sent */
  uint64_t born_ms;  /**< 0 if unknown */
  uint64_t clock_ms; /**< of the worker, when it answered */
  struct cell_running_row *running;
  uint32_t running_count;
  struct cell_end_row *ends;
  uint32_t end_count;
  bool ends_truncated; /**< the worker has more ends than it listed */
  /** Incarnation that refuses stale calls from this one on: the call carried a
   * higher fencing token than any call made for an earlier incarnation or by
   * an earlier leader. 0 if it did not. */
  uint64_t fenced_born_ms;
};

enum cell_start_result
{
  CELL_START_OK,
  CELL_START_REFUSED_CAPACITY,
  CELL_START_REFUSED_TICKET,
  CELL_START_REFUSED_OTHER, /**< certainly not started */
  CELL_START_FENCED,        /**< the worker obeys a newer leader */
  CELL_START_UNKNOWN,       /**< it may have started, or may start later */
  CELL_START_OLD /**< refused: the worker has ended or stopped this run or a
                    later one of the task */
};

/** Permission to start tasks of a step on a worker. */
struct cell_ticket
{
  struct cyc_str worker;
  struct cyc_str text;
};

enum cell_order_kind
{
  CELL_ORDER_START,
  CELL_ORDER_STOP
};

/** Order to start or stop a run. The members after `number` are used by a
 * start only. */
struct cell_order
{
  enum cell_order_kind kind;
  struct cyc_ref run;
  uint32_t worker;
  char task[64];
  uint32_t number;        /**< number of the run of the task */
  uint64_t ordered_us;    /**< when a start was handed out; 0 if it was not */
  struct cyc_str payload; /**< this and `ticket` are valid until the next input
                             to the core */
  struct cyc_str ticket;  /**< empty if the start needs none */
  char checkpoint[CELL_CHECKPOINT_BYTES];
};

/** A question for the advisor about one step. */
struct cell_ask
{
  uint64_t ask; /**< number of the question, for cell_advice */
  char step[48];
  uint64_t cost_us; /**< expected duration of the call */
  uint32_t priority;
  uint32_t worker_count;
  uint32_t workers[100]; /**< rows of the workers named */
};

/** Why a run is over although its worker has listed no end of it. */
enum cell_over
{
  CELL_OVER_UNORDERED, /**< its start was never ordered */
  CELL_OVER_REFUSED,   /**< its start was refused, or certainly not sent */
  CELL_OVER_STOPPED,   /**< a stop was answered, and a later report lacks the
                          run */
  CELL_OVER_MISSING,   /**< it ran, and a later report lacks it */
  CELL_OVER_FENCED,    /**< ordered by an earlier leader, and a report under
                          this leader's fencing token lacks it */
  CELL_OVER_LAPSED,    /**< the worker's lease lapsed */
  CELL_OVER_LEFT,      /**< the worker removed its entry, and nothing
                          listens at its address */
  CELL_OVER_REBORN,    /**< it ran in an earlier incarnation of the worker */
  CELL_OVER_REPLACED   /**< another worker answers at the address at which its
                          worker had reported */
};

#define CELL_OVER_REASONS (CELL_OVER_REPLACED + 1)

/** The way by which the evidence came that a run is over. */
enum cell_over_way
{
  CELL_WAY_ORDER,  /**< its start was not ordered */
  CELL_WAY_ANSWER, /**< the result of its start */
  CELL_WAY_REPORT, /**< a report of its worker */
  CELL_WAY_ENTRY,  /**< the worker's entry in the service discovery */
  CELL_WAY_LAPSE,  /**< the lease lapsed with the worker silent */
  CELL_WAY_EXIT    /**< the worker's process has ended */
};

/** The conclusion that a run is over although its worker has listed no end of
 * it, with its evidence. Times and incarnations that are unknown are 0. */
struct cell_conclusion
{
  enum cell_over over;
  enum cell_over_way way;
  bool contradicted; /**< since then the worker has reported the run as
                        running, done or failed */
  char task[64];
  uint32_t run;           /**< number of the run of the task */
  uint32_t worker;        /**< row */
  bool start_answered;    /**< its start was answered */
  bool shown;             /**< a report has shown the run */
  bool ticketed;          /**< its start carried a ticket */
  bool inherited;         /**< started by an earlier leader */
  uint64_t shown_born_ms; /**< if contradicted: incarnation that has shown the
                             run or listed its end */
  uint32_t next_run;    /**< if contradicted: number of the run that has taken
                           its place; 0 if none has been ordered */
  uint32_t next_worker; /**< row of its worker */
  uint64_t ordered_born_ms;   /**< incarnation on whose clock the deadline of
                                 the start is */
  uint64_t last_born_ms;      /**< last incarnation that may have received the
                                 order */
  uint64_t run_born_ms;       /**< incarnation that the order was meant for */
  uint64_t worker_born_ms;    /**< incarnation known at the conclusion */
  uint64_t ordered_us;        /**< when this leader ordered the start */
  uint64_t confirmed_us;      /**< when the start was confirmed */
  uint64_t stop_confirmed_us; /**< when a stop was answered */
  uint64_t evidence_us;       /**< when the evidence was sent or came true */
  uint64_t concluded_us;
  uint64_t lease_deadline_ms; /**< of the worker, on its clock */
  uint64_t known_us;          /**< when its incarnation became known */
  uint64_t answered_us;       /**< when that first answered; 0 if it has not */
  bool restart_seen;          /**< an earlier incarnation was known before */
};

/** The end of a run that was taken for over before its worker listed it. */
struct cell_over_end
{
  struct cell_conclusion conclusion; /**< with the run in its place */
  enum cell_end_kind kind;
  uint64_t born_ms; /**< incarnation that lists the end */
  bool other_life;  /**< a later one than any that the conclusion counted with
                     */
};

/** One of two runs of a task that are at work at once. Times that are unknown
 * are 0. */
struct cell_twice_run
{
  uint32_t run;         /**< its number */
  uint32_t worker;      /**< row */
  bool answered;        /**< its start was answered */
  bool shown;           /**< the last report of its worker shows it */
  bool stopping;        /**< it is to be stopped */
  bool adopted;         /**< not known to this leader before it was shown */
  uint64_t born_ms;     /**< incarnation of its worker */
  uint64_t ordered_us;  /**< when this leader ordered the start */
  uint64_t reported_us; /**< when its worker last reported */
};

/** Two runs of one task that are at work at once. */
struct cell_twice
{
  char task[64];
  uint64_t found_us;
  struct cell_twice_run runs[2]; /**< the one just answered or shown, and the
                                    other one */
};

/** How a call to a worker ended without an answer. */
enum cell_call_end
{
  CELL_CALL_SILENT,  /**< timed out: the worker or the path to it is silent */
  CELL_CALL_BROKEN,  /**< its connection ended */
  CELL_CALL_REFUSED, /**< no process listens at the address */
  CELL_CALL_OTHER_INCARNATION /**< another incarnation answered */
};

enum cell_blame_kind
{
  CELL_BLAME_BROKEN,     /**< the connections of a worker with runs ended */
  CELL_BLAME_CRASHED,    /**< it has crashed: its runs ended with it */
  CELL_BLAME_ALIVE,      /**< it has not crashed: it has answered again */
  CELL_BLAME_SUSPECTED,  /**< a crash counts against the task */
  CELL_BLAME_CLEARED,    /**< a crash no longer counts against the task */
  CELL_BLAME_GIVEN_UP,   /**< the task's job has failed for its crashes */
  CELL_BLAME_HOLD,       /**< workers are held for the trial of the task */
  CELL_BLAME_HOLD_FAILED /**< the trial has not started there in time, or a
                            worker cannot be used any more */
};

/** A step in finding the task that crashes workers, with its evidence. Times
 * that are unknown are 0. */
struct cell_blame
{
  enum cell_blame_kind kind;
  char task[64];   /**< empty if the step is about a worker */
  uint32_t run;    /**< number of the run of the task; 0 if about a worker */
  uint32_t worker; /**< row */
  uint64_t worker_born_ms;      /**< the incarnation that broke */
  enum cell_call_end first_end; /**< how the first call ended */
  uint64_t broken_us;           /**< when that was */
  uint64_t started_us;          /**< when the run's start was confirmed, or
                                     else ordered */
  uint32_t suspects;            /**< jobs that are suspected of the crash */
  bool sole; /**< the last of them has no other suspect and no other reason
                near */
  uint32_t crashes;        /**< crashes that count against the task */
  uint64_t counted_us;     /**< of a hold: when the last one was counted */
  uint64_t since_us;       /**< when the hold began */
  uint32_t held;           /**< workers held; `worker` is one of them */
  uint32_t beside;         /**< runs of other jobs on them */
  uint32_t unproven;       /**< of these that may still crash their worker */
  uint32_t trials_waiting; /**< for which no worker is held */
};

enum cell_attempt_kind
{
  CELL_ATTEMPT_COUNTED,  /**< counts as one more failed attempt */
  CELL_ATTEMPT_ENDED,    /**< does not count: its task or its job has ended */
  CELL_ATTEMPT_LASTING,  /**< does not count: the task is restarted however it
                            ends */
  CELL_ATTEMPT_REPEATED, /**< does not count: another end has told of the run
                          */
  CELL_ATTEMPT_UNKNOWN   /**< does not count: the task has had no such run */
};

/** What an end `failed` that a worker has listed counts as. */
struct cell_attempt
{
  enum cell_attempt_kind kind;
  char task[64];         /**< whose run ended; one member of a gang */
  uint32_t run;          /**< number of the run of the task */
  uint32_t worker;       /**< row */
  uint64_t end;          /**< number of the end */
  uint32_t failures;     /**< attempts of the task or gang that count */
  uint32_t max_attempts; /**< of the queue as last known */
  bool queue_known;      /**< the queue is in the configuration */
  bool run_known;        /**< the run occupied the worker until this end */
};

/** Why a job has failed. */
enum cell_failure_cause
{
  CELL_FAILURE_ATTEMPTS,    /**< max_attempts runs of a task or gang failed */
  CELL_FAILURE_CRASHES,     /**< a task was given up for crashes of workers */
  CELL_FAILURE_UNRECORDABLE /**< the log takes no record of its progress */
};

/** A job that has failed, as its next record says. */
struct cell_failure
{
  uint64_t job;
  enum cell_failure_cause cause;
  char task[64];         /**< empty if no task is the reason */
  uint32_t failures;     /**< attempts of that task or its gang that count */
  uint32_t max_attempts; /**< of the queue as last known */
};

/** Block of a record with the state of a whole job. */
#define CELL_NO_BLOCK UINT32_MAX

/** Progress record of a job. A job with many tasks, or with several rounds,
 * has further ones, each for a block of tasks of one round. No record has more
 * than 64 KiB. */
struct cell_record
{
  uint64_t job;
  uint32_t round;
  uint32_t block;    /**< CELL_NO_BLOCK: the record of the job */
  uint64_t revision; /**< of several records of one job, round and block, the
                        one with the highest revision is valid */
  uint8_t *data;     /**< NULL: the record is not needed any more and is to be
                        removed; else the caller frees it */
  size_t len;
};

/** Record of the learned speeds of some workers, with at most 64 KiB. */
struct cell_speeds_record
{
  uint32_t number;   /**< one with the same number replaces an earlier one */
  uint64_t revision; /**< as of progress records */
  uint8_t *data;     /**< the caller frees it */
  size_t len;
};

struct cell_desc
{
  uint32_t lease_ms;         /**< longest lease that leaders ask for */
  uint64_t earlier_until_us; /**< until when earlier leaders may send calls to
                                workers; 0 if there were none */
  uint32_t lease_max_ms;     /**< longest lease that workers grant, as to a
                                deadline on the clock of an earlier
                                incarnation; 0: lease_ms */
  uint32_t heartbeat_ms;     /**< interval between a worker's heartbeats; 0 if
                                unknown */
  uint32_t ticket_margin_ms; /**< a ticket is not used in this last part of its
                                lifetime */
  bool learn_speeds;         /**< learn how fast workers are from the ends of
                                  tasks, and place by it */
  bool weigh_reservations;   /**< let the share of the fleet that gangs may
                                  reserve follow what waits cost callers */
  uint64_t first_revision;   /**< above those of all earlier leaders */
  uint64_t memory_bytes; /**< of the process, by which open work is bounded;
                            0: CELL_MEMORY_DEFAULT_BYTES */
};

struct cell_core;

/** Why capacity is free. Where tasks that wait differ in what keeps them from
 * it, the last of their causes counts. */
enum cell_idle_cause
{
  CELL_IDLE_UNUSABLE, /**< its worker takes no starts: it is silent, drains, is
                         paused, or takes one task at a time */
  CELL_IDLE_EVACUATED, /**< its worker's failure domain is evacuated */
  CELL_IDLE_NO_WORK,   /**< nothing waits */
  CELL_IDLE_KEPT,      /**< reserved for a gang, or held for a trial */
  CELL_IDLE_FRAGMENT,  /**< no task that waits is small enough */
  CELL_IDLE_GANG,      /**< only members of gangs fit, which do not all fit */
  CELL_IDLE_NO_TICKET, /**< no task that fits may run there, as far as the
                          advisor has answered */
  CELL_IDLE_OTHER,     /**< a task fits and may run there: it is to be placed,
                          or waits for its team's limit or a retry */
  CELL_IDLE_CAUSES
};

/** Free CPU of the listed workers by cause, in millicores. */
struct cell_idle
{
  uint64_t millicores[CELL_IDLE_CAUSES];
};

struct cell_core *cell_setup (const struct cell_desc *desc);
/** Frees the core; NULL is allowed. */
void cell_shutdown (struct cell_core *core);

/** Applies @p config, which must stay valid until the next call or the end of
 * the core. */
void cell_config_set (struct cell_core *core,
                      const struct cell_config *config);
/** Reports that entries are read, before those that changed are passed on. The
 * previous reading, at @p before_us, was complete; 0 if there was none. */
void cell_entries_reading (struct cell_core *core, uint64_t before_us,
                           uint64_t now_us);
/** Adds or updates a worker. The entry was written later than @p
 * entry_after_us; 0 if unknown. An entry is ignored that is of an earlier
 * incarnation than the known one, or that would move the worker to a pool of
 * no configuration. Returns true if the worker, its incarnation or its address
 * is new, or it is listed again. */
bool cell_worker_listed (struct cell_core *core,
                         const struct cell_worker_entry *entry,
                         uint64_t entry_after_us, uint64_t now_us);
/** Reports that the worker's entry was removed: the worker has left, or missed
 * three heartbeats. */
void cell_worker_unlisted (struct cell_core *core, struct cyc_str id,
                           uint64_t now_us);
/** Reports that all entries written or removed until @p until_us have been
 * passed. A worker is taken for gone only by entries that were read since. */
void cell_entries_read (struct cell_core *core, uint64_t until_us);
/** Notes that operators have a failure domain evacuated (@p evacuated), or
 * have taken it back. While it is evacuated no start is ordered on its
 * workers; their runs go on. The domain need not be known. */
void cell_domain_evacuate (struct cell_core *core, struct cyc_str domain,
                           bool evacuated, uint64_t now_us);

/** What is left in a failure domain. */
struct cell_domain_view
{
  uint32_t workers; /**< listed */
  uint32_t runs;
};
/** Fills @p out. Looks at all workers, so it is for a log line now and then.
 */
void cell_domain_view (const struct cell_core *core, struct cyc_str domain,
                       struct cell_domain_view *out);
/** Has starts wait (@p held) or go on: no order to start is handed out
 * meanwhile. */
void cell_starts_hold (struct cell_core *core, bool held, uint64_t now_us);
/** Returns the number of worker rows. A worker keeps its row for the lifetime
 * of the core, also when it is no longer listed. */
uint32_t cell_worker_count (const struct cell_core *core);

struct cell_worker_view
{
  struct cyc_str id;      /**< name of the worker, also in records */
  struct cyc_str full_id; /**< as the worker calls itself */
  struct cyc_str address;
  bool listed;
  bool draining;
  uint32_t runs;
  uint64_t born_ms; /**< its incarnation; 0 if unknown */
  bool fenced;      /**< has answered a hold call of this leader */
  /** A report requested after this time resolves every unconfirmed start; 0 if
   * there is none. */
  uint64_t report_after_us;
  uint64_t received_end; /**< highest number of an end received */
  bool ends_pending; /**< the effect of a received end is not durable yet */
  uint64_t ack; /**< the worker may forget ends up to this number; 0 if its
                   last report listed none of these, as a number is not to
                   reach an incarnation that starts to count anew */
  uint64_t lease_deadline_ms; /**< on the worker's clock */
  uint64_t clock_ms; /**< latest reading of the worker's clock; 0 if unknown */
  uint64_t clock_at_us;     /**< when clock_ms was received */
  uint64_t listed_after_us; /**< the entry was written later; 0 if unknown */
  uint64_t left_us;         /**< when it has certainly left; 0 if it has not */
};
/** Fills @p out. Its strings are valid until the next input to the core. */
void cell_worker_view (const struct cell_core *core, uint32_t row,
                       struct cell_worker_view *out);
/** Returns false if no worker calls itself so; @p id may be any bytes. */
bool cell_worker_find (const struct cell_core *core, struct cyc_str id,
                       uint32_t *row);
/** Takes the row of a worker whose view may have changed since its row was
 * last taken. Each worker is returned once, whatever has changed. Returns
 * false if there is none. Callers that never take any lose nothing else. */
bool cell_worker_changed (struct cell_core *core, uint32_t *row);
/** Applies a worker's report: its ends, its running tasks and its clock. A
 * report of an earlier incarnation is ignored. */
void cell_worker_report (struct cell_core *core, uint32_t row,
                         const struct cell_report *report, uint64_t now_us);
/** Reports that the worker failed to answer several calls in a row. */
void cell_worker_silent (struct cell_core *core, uint32_t row,
                         uint64_t now_us);
/** Reports that a call to the worker that was sent at @p sent_us ended without
 * an answer. */
void cell_worker_unanswered (struct cell_core *core, uint32_t row,
                             enum cell_call_end end, uint64_t sent_us,
                             uint64_t now_us);
/** Reports that the connection of a call to the worker ended at @p broken_us,
 * before the answer. */
void cell_worker_broken (struct cell_core *core, uint32_t row,
                         uint64_t broken_us, uint64_t now_us);
/** Reports that another worker answered a call to this one that was sent at
 * @p sent_us. The worker's process has ended if it had reported at the same
 * address before that. */
void cell_worker_replaced (struct cell_core *core, uint32_t row,
                           uint64_t sent_us, uint64_t now_us);
/** Records that the worker was asked to extend its lease to @p deadline_ms on
 * its own clock. */
void cell_worker_leased (struct cell_core *core, uint32_t row,
                         uint64_t deadline_ms);

/** Checks what a job asks for. Returns false and adds findings, which name the
 * field and its limit, if a core would not take it. */
bool cell_job_check (const struct Cyc__CellJob *job,
                     struct cyc_findings *findings);
/** Adds a job and takes ownership of @p job. @p stored: the log holds the job.
 * If not, the core asks for advice and chooses workers, but starts nothing
 * until cell_job_stored. Returns false and frees @p job if the id is already
 * known, or if cell_job_check does not pass it. A stored job that it does not
 * pass is kept as failed. */
bool cell_job_add (struct cell_core *core, uint64_t id,
                   struct Cyc__CellJob *job, bool stored, uint64_t now_us,
                   uint64_t now_ms);
/** Reports that the log holds the job; ignored if the job is unknown. */
void cell_job_stored (struct cell_core *core, uint64_t id, uint64_t now_us);
/** Removes a job that the log certainly does not hold. Returns whether it was
 * cancelled: so is a copy of it that comes later. */
bool cell_job_withdraw (struct cell_core *core, uint64_t id);
/** Reports that the log does not take a progress record of the job, however
 * often it is written. The job fails: a run of it that no record names must
 * not start. Ignored if the job has ended or is unknown. */
void cell_job_unrecordable (struct cell_core *core, uint64_t id,
                            uint64_t now_us);
/** Cancels the job. Returns false if it is unknown. */
bool cell_job_cancel (struct cell_core *core, uint64_t id, uint64_t now_us);
/** Returns the time from which every run has certainly ended on a worker that
 * does not answer, if its lease was last extended at @p extended_us. */
uint64_t cell_lease_lapsed_us (const struct cell_core *core,
                               uint64_t extended_us);
/** Applies a progress record to a job added before. The records of a job are
 * passed by revision, the highest first: one that says of a block what a newer
 * one does is ignored there. @p lease_until_us: until when its runs may
 * continue on workers that do not answer; @p write_until_us: until when
 * earlier leaders may write starts of them. Returns false if the job is
 * unknown or the record is malformed. */
bool cell_job_restore (struct cell_core *core, uint64_t id,
                       struct cyc_str record, uint64_t lease_until_us,
                       uint64_t write_until_us);
/** All records have been passed to cell_job_restore. */
void cell_jobs_restored (struct cell_core *core);
/** Returns whether the records of a round's blocks may still be needed: until
 * its end, or that of its job, is durable. */
bool cell_record_needed (const struct cell_core *core, uint64_t job,
                         uint32_t round);
/** Earlier leaders write no start after @p until_us, which is earlier than
 * assumed by cell_job_restore. */
void cell_earlier_ended (struct cell_core *core, uint64_t until_us,
                         uint64_t now_us);
/** Returns the durable state of the job; 0 if the job is unknown or not
 * stored. */
enum cell_job_state cell_job_state (const struct cell_core *core, uint64_t id);
/** Returns whether the job is held and not stored yet. */
bool cell_job_is_unstored (const struct cell_core *core, uint64_t id);
/** Returns whether the job has durably ended. */
bool cell_job_ended (const struct cell_core *core, uint64_t id);
/** Returns whether the job's team exceeded its rate when the job arrived. */
bool cell_job_over_rate (const struct cell_core *core, uint64_t id);
/** Returns whether a job that is not stored yet should be refused: its team
 * exceeded its rate, and work over its team's rate has recently been late. */
bool cell_job_refusable (const struct cell_core *core, uint64_t id);
/** Returns whether the job, which is not stored, must be refused as the open
 * jobs take the memory that they may have. @p until_us: when enough of them
 * are expected to have ended, at least 1 s and at most an hour from now; 0 if
 * that is not known. A job that is to be refused must be withdrawn. */
bool cell_job_lacks_room (struct cell_core *core, uint64_t id,
                          uint64_t *until_us);
/** Returns the number of the queue's jobs of which no task has started. */
uint32_t cell_queue_pending (const struct cell_core *core,
                             struct cyc_str queue);

/** Returns the next conclusion, and later its contradiction if the worker
 * reports the run after all; returns false if there is none. */
bool cell_conclusion_next (struct cell_core *core,
                           struct cell_conclusion *out);

/** Returns the next end of a run that was taken for over; returns false if
 * there is none. */
bool cell_over_end_next (struct cell_core *core, struct cell_over_end *out);
/** Returns the next pair of runs of one task at once, each pair once; returns
 * false if there is none. */
bool cell_twice_next (struct cell_core *core, struct cell_twice *out);
/** Returns the number of times that a worker was seen to have begun anew. */
uint64_t cell_restarts_seen (const struct cell_core *core);

/** Returns the next step in finding the task that crashes workers; returns
 * false if there is none. */
bool cell_blame_next (struct cell_core *core, struct cell_blame *out);

/** Returns what the next end `failed` counts as; returns false if there is
 * none. */
bool cell_attempt_next (struct cell_core *core, struct cell_attempt *out);
/** Returns the next job that has failed; returns false if there is none. */
bool cell_failure_next (struct cell_core *core, struct cell_failure *out);

/** Fills @p out with the names of a run that was ordered. Returns false if the
 * run is over. */
bool cell_run_describe (const struct cell_core *core, struct cyc_ref run,
                        struct cell_order *out);
/** Reports the result of an ordered start. Every result but
 * CELL_START_UNKNOWN holds for all copies of the order. */
void cell_start_result (struct cell_core *core, struct cyc_ref run,
                        enum cell_start_result result, uint64_t now_us);
/** Reports the result of a stop. @p sent_us: when the answered stop was sent;
 * 0 if it was not answered. */
void cell_stop_result (struct cell_core *core, struct cyc_ref run,
                       uint64_t sent_us, uint64_t now_us);
/** Passes the answer to question @p ask. @p answered: false if the advisor did
 * not answer. Tickets are valid for @p valid_us; named workers without a
 * ticket are denied. */
void cell_advice (struct cell_core *core, uint64_t ask, bool answered,
                  uint64_t valid_us, const struct cell_ticket *tickets,
                  uint32_t count, uint64_t now_us);

/** Orders the stops that are due, opens the rounds that are due (a round is
 * one occurrence of a repeated job) and places waiting tasks. */
void cell_tick (struct cell_core *core, uint64_t now_us, uint64_t now_ms);
/** Returns when the next tick has work to do; UINT64_MAX if only a new input
 * can give it work. */
uint64_t cell_next_us (const struct cell_core *core);
/** Hands out the most urgent question for the advisor that is still pending
 * and costs at most @p max_cost_us. Returns false if there is none. */
bool cell_ask_next (struct cell_core *core, uint64_t max_cost_us,
                    struct cell_ask *out);

/** Closes the batch of records and returns its number; 0 if there is nothing
 * to write. */
uint64_t cell_batch_close (struct cell_core *core);
/** Returns the next record to write; false if there is none. */
bool cell_batch_next (struct cell_core *core, struct cell_record *out);
/** Reports that all records of the batch are durable. Batches may become
 * durable in any order. */
void cell_batch_durable (struct cell_core *core, uint64_t batch,
                         uint64_t now_us);
/** Returns the record of learned speeds that is to be written now; false if
 * there is none. Nothing waits until it is durable. There are records with
 * `learn_speeds` only, until the workers are known not to differ. */
bool cell_speeds_next (struct cell_core *core, struct cell_speeds_record *out);
/** Goes on from a record of an earlier leader. Records are passed by revision,
 * the highest first. @p now_ms: Unix time; an old record is ignored. Returns
 * false if the record is malformed. */
bool cell_speeds_restore (struct cell_core *core, struct cyc_str record,
                          uint64_t now_us, uint64_t now_ms);
/** Returns the next order to carry out; false if there is none. Starts whose
 * worker can no longer take them, such as one that has shrunk since they were
 * placed, are placed again instead. */
bool cell_order_next (struct cell_core *core, struct cell_order *out);

struct cell_totals
{
  uint32_t jobs;
  uint32_t jobs_open;
  uint32_t stages_waiting; /**< steps of open rounds with tasks to place */
  uint32_t asks_waiting;   /**< open questions for the advisor */
  uint32_t trials_waiting; /**< suspected tasks for which no worker is held */
  uint32_t trials_held;    /**< suspected tasks for which workers are held */
  uint32_t runs;
  uint32_t workers_usable;
  uint32_t workers_evacuated; /**< listed ones in evacuated failure domains */
  uint32_t runs_evacuated;    /**< of these workers */
  uint32_t gang_share_permille; /**< of the fleet that gangs may reserve */
  uint64_t gang_loss;   /**< core-seconds of gangs that are late if they wait
                             for 2 s, by priority */
  uint64_t others_loss; /**< the same of other work */
  uint32_t speed_spread_permille; /**< standard deviation of the logarithms of
                                       the workers' speeds, as learned */
  uint32_t workers_slow; /**< usable ones that are known as slow; 0 while
                              the workers are not known to differ */
  uint64_t used_millicores;
  uint64_t capacity_millicores;
  uint64_t jobs_bytes;   /**< memory that open jobs hold, as estimated */
  uint64_t rounds_bytes; /**< same of the rounds that are set up */
};
/** Fills @p out; its capacity is that of usable workers only. */
void cell_totals (const struct cell_core *core, struct cell_totals *out);
/** Why a step with nothing running has not started. */
enum cell_wait_cause
{
  CELL_WAIT_NO_QUEUE,  /**< its queue is not in the configuration */
  CELL_WAIT_QUOTA,     /**< its team has no quota left */
  CELL_WAIT_LATER,     /**< its tasks may be tried again later */
  CELL_WAIT_TRIAL,     /**< for a worker to be held for a trial */
  CELL_WAIT_MEMBERS,   /**< members of its last run are not over */
  CELL_WAIT_NO_ADVICE, /**< no worker is known as allowed */
  CELL_WAIT_NO_ROOM,   /**< the workers that it may use have no room */
  CELL_WAIT_NO_TICKET, /**< they have room, but no ticket is valid */
  CELL_WAIT_OTHER      /**< it is placed in this tick or the next one */
};

/** A step that has tasks to place and nothing running. */
struct cell_wait
{
  uint64_t job;
  uint32_t round;
  uint32_t step;
  enum cell_wait_cause cause;
  uint64_t since_us;
  uint32_t wanted;  /**< tasks that start at once: all of a gang, else one */
  uint32_t waiting; /**< tasks to place */
  uint32_t allowed; /**< workers known as allowed; all, without advice */
  uint32_t tickets; /**< valid ones */
  uint64_t places;  /**< for its tasks on the allowed workers */
  bool asked;       /**< a question about it is open */
  bool reserved;    /**< it has reserved capacity */
};
/** Returns the step that has waited longest with nothing running, if it has
 * for @p min_us; returns false if there is none. Looks at all that waits, so
 * it is for a log line now and then. */
bool cell_wait_longest (const struct cell_core *core, uint64_t min_us,
                        struct cell_wait *out);
/** Tells why capacity is free. Looks at all workers, so it is for a log line
 * now and then; only the first stages that wait are compared with them. */
void cell_idle_split (const struct cell_core *core, struct cell_idle *out);

/** Parses a job id of 16 hex digits; returns false for any other text. */
bool cell_job_id_parse (struct cyc_str text, uint64_t *out);

#endif
