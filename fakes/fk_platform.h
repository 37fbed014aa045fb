/**
 * @file
 * Fake of the users' platform: the log with topics and keys, workers that run
 * tasks under leases, and the advisor, each on its own port, with faults that
 * tests inject.
 *
 * @code
 * fkp_setup (&platform, loop, 3, &found);
 * fkp_put (&platform, "keyed.op", "config", text);
 * platform.faults.log_disconnects = true;
 * fkp_shutdown (&platform);
 * @endcode
 */
#ifndef FK_PLATFORM_H
#define FK_PLATFORM_H

#include "fk_common.h"

#define FKP_WORKERS_MAX 48
#define FKP_RUNS_MAX 256
/** Interval between two entries of a worker. */
#define FKP_HEARTBEAT_MS 500

/** A partition of a topic. */
struct fkp_part
{
  char name[64]; /**< "TOPIC/PART" */
  bool keyed;
  uint64_t first;      /**< oldest retained offset */
  GPtrArray *records;  /**< GBytes; offset = first + index */
  GHashTable *newest;  /**< GBytes by key; keyed topics only */
  GHashTable *offsets; /**< of the newest value, by key */
  char producer[32];
  uint64_t epoch;
  uint64_t sequence;    /**< next expected one */
  uint64_t last_offset; /**< of the producer's last append */
};

/** A run that has not ended. */
struct fkp_run
{
  char task[64];
  char checkpoint[32];
  uint32_t number;
  uint32_t duration_ms;
  uint64_t start_ms;
  uint64_t end_ms;
  bool stopping;
};

/** An ended run, listed until it is acknowledged. */
struct fkp_end
{
  uint64_t number;
  char task[64];
  uint32_t run;
  const char *outcome;
};

/** What a worker does with the orders to start that it receives. */
enum fkp_start_fault
{
  FKP_START_EXECUTED,
  FKP_START_LATE,       /**< gives no answer and executes the order later */
  FKP_START_TWICE,      /**< executes and answers it, and again later */
  FKP_START_CLOSED,     /**< closes the connection and executes it later */
  FKP_START_CLOSED_BUSY /**< the same; refuses its next copy with 503 */
};

/** An order to start that is executed later. */
struct fkp_late_start
{
  struct fkp_worker *worker;
  char task[64];
  char checkpoint[32];
  char ticket[128];
  uint32_t run;
  uint32_t duration_ms;
  uint64_t fence;
  uint64_t deadline_ms; /**< on the worker's clock */
  uint64_t received_ms;
  uint64_t due_ms;
  uint64_t born_ms; /**< incarnation that received it */
  bool ticketed;    /**< carries a ticket: no other incarnation executes it,
                         unless tickets are checked */
  bool in_cut;      /**< arrives only while the worker is not cut off */
  bool refuse_copy; /**< the next copy is answered with 503 */
};

/** A hold that is executed later, by the process that then has the worker's
 * place. */
struct fkp_late_hold
{
  struct fkp_worker *worker;
  uint64_t fence;
  uint64_t ack;
  uint64_t deadline_ms; /**< on the clock of the worker that it was meant for;
                             0: none */
};

/** What happened to a run, kept after its worker has forgotten it. */
struct fkp_history
{
  const struct fkp_worker *worker;
  uint64_t born_ms;
  char task[64];
  uint32_t run;
  uint64_t fence;       /**< of its order */
  uint64_t received_ms; /**< when its order arrived; `begin_ms` unless late */
  uint64_t lease_until_ms;   /**< end of the worker's lease, as of the begin */
  uint64_t received_born_ms; /**< incarnation at which its order arrived */
  uint64_t begin_ms;
  uint64_t end_ms;     /**< 0: has not ended */
  uint64_t number;     /**< of its end; 0: none was listed */
  const char *outcome; /**< "lost" if it ended with its worker */
  bool late;           /**< began by an order that was executed late */
  bool acknowledged;   /**< its end was acknowledged */
  bool lapsed;         /**< the worker's lease lapsed after the end and before
                            the acknowledgement */
};

/** Time that a member of a gang waits for the others. */
#define FKP_GANG_TIMEOUT_MS 3000
/** As `notice_ms`: members never learn that another one ended. */
#define FKP_GANG_UNTOLD UINT32_MAX

/** A gang, and how its runs fail. Its members work from the moment when all
 * members of one run are present, and end `done` together. */
struct fkp_gang
{
  const char *prefix;       /**< names of its tasks begin so; each step with
                                 such tasks is a gang; NULL: no gang */
  uint32_t size;            /**< number of members */
  uint32_t failing_runs;    /**< its first runs that fail; a run counts once
                                 all members were present */
  uint32_t failing_members; /**< members 0 to this number - 1 of a failing run
                                 end `failed` by themselves, one after the
                                 other; those that learn of an end before end
                                 `broken` */
  uint32_t fail_after_ms;   /**< from the presence of all members to the first
                                 such end */
  uint32_t fail_gap_ms;     /**< between two such ends */
  uint32_t notice_ms;       /**< from the first end of a member to the ends
                                 `broken` of others on its worker */
  uint32_t further_notice_ms; /**< the same, added for each worker further on
                                   in the table of workers */
  uint32_t stop_ms;           /**< how long a stop of a member takes; it may
                                   fail in the meantime */
};

/** A run of a gang all of whose members were present. */
struct fkp_gang_run
{
  char step[64]; /**< name of its step */
  uint32_t number;
  uint64_t present_ms; /**< since when */
  bool fails;
};

struct fkp_platform;

/** How a worker is cut off, from its callers and from the store. Its entry is
 * removed after three heartbeats; its runs go on until their lease lapses. */
enum fkp_cut
{
  FKP_CUT_NONE,
  FKP_CUT_BOTH,   /**< nothing arrives */
  FKP_CUT_ANSWERS /**< calls arrive and are executed; answers are lost */
};

/** An entry that the store appends later. */
struct fkp_late_entry
{
  struct fkp_worker *worker;
  uint64_t due_ms;
  char value[512];
};

struct fkp_worker
{
  struct fkp_platform *platform;
  struct hs_server hs; /**< zeroed while nothing listens */
  char address[32];
  int reserved_fd; /**< keeps the address while nothing listens; else -1 */
  char id[256];
  uint64_t born_ms;  /**< start of this incarnation */
  uint64_t fence;    /**< highest fencing token seen */
  uint64_t lease_ms; /**< end of the lease on the worker's clock */
  uint32_t millicores;
  uint32_t slow_permille;   /**< by which its clock is slow */
  const char *domain;       /**< in its entry; NULL: "north" */
  uint32_t answer_delay_ms; /**< of each answer that does not wait for an end
                             */
  uint32_t entry_delay_ms;  /**< from the writing of an entry to its append */
  enum fkp_cut cut;
  bool draining;
  bool silent;             /**< gets no calls; its runs continue */
  bool mute;               /**< executes calls and sends no answers */
  bool unlisted;           /**< writes no entry */
  bool down;               /**< closes each connection without an answer */
  bool crashed;            /**< its process is gone; nothing listens */
  uint64_t crash_ms;       /**< when its process goes away; 0: not planned */
  uint64_t back_ms;        /**< when its next process begins; 0: never */
  uint64_t entry_lapse_ms; /**< when the entry of the process that is gone is
                              removed; 0: none is left */
  uint32_t crashes;
  struct fkp_run runs[FKP_RUNS_MAX];
  uint32_t run_count;
  struct fkp_end ends[FKP_RUNS_MAX];
  uint32_t end_count;
  uint64_t next_end_number;
  uint64_t starts;      /**< runs started so far */
  uint64_t start_calls; /**< orders to start received so far */
  GHashTable *over;     /**< task to the highest run stopped or ended here */
  GHashTable *connections; /**< cookie to the start of the incarnation that
                                the connection belongs to */
};

/** Injected faults; zero is no fault. While answers are still to be lost,
 * `log_busy` and `start_error_status` wait, so that they strike what comes
 * after a lost answer. */
struct fkp_faults
{
  bool log_disconnects;         /**< closes connections without an answer */
  bool log_busy;                /**< answers with status 503 */
  bool log_silent;              /**< never answers */
  uint32_t lose_append_answers; /**< number of appends that are stored, but not
                                   answered */
  const char *busy_topic; /**< the next append to it gets status 503 after
                             `busy_delay_ms`; or NULL */
  uint32_t busy_delay_ms;
  uint32_t log_delay_ms;       /**< delay of each answer */
  const char *unread_topic;    /**< its reads are not answered; or NULL */
  const char *unloaded_topic;  /**< its newest records are not given; or NULL
                                */
  bool advisor_busy;           /**< answers with status 429 */
  bool advisor_silent;         /**< never answers */
  uint32_t ticket_bytes;       /**< least length of a ticket */
  uint32_t lose_start_answers; /**< number of starts that run, but are not
                                  answered */
  bool stop_listening;         /**< a worker or log that loses an answer also
                                  closes its listening socket */
  int start_error_status;      /**< HTTP status of each start; 0: no error */
  const char *reason;          /**< reason in the body of status 409 */
  bool workers_silent;         /**< no worker answers */
  uint32_t lease_max_ms;       /**< longest lease that workers grant; 0: any */
  bool other_incarnation;      /**< answers with status 421 */
  enum fkp_start_fault start;
  uint32_t start_count;       /**< orders that `start` still applies to */
  uint32_t start_delay_ms[4]; /**< of the orders executed later, in turn */
  bool orders_outlive_worker; /**< a late order without a ticket is executed
                                 by the next incarnation too */
  bool keep_cut_starts;       /**< starts that meet a cut or a silent worker
                                 are executed later, not lost */
  bool connections_die;       /**< a call on a connection to an earlier
                                 incarnation is not executed: it is reset */
  bool answers_overtake;      /**< delays of answers vary, up to
                                 `answer_delay_ms` */
  bool keep_any_hold;         /**< `late_holds` also counts holds without an
                                 acknowledgement */
  uint32_t late_holds;        /**< number of holds with an acknowledgement that
                                 get no answer: see fkp_execute_late_holds */
  uint32_t break_holds;       /**< number of holds with an acknowledgement that
                                 are not executed and whose connection ends
                                 without an answer */
  const char *deadly_task;    /**< names of tasks that end the process of each
                                 worker that starts them begin so; or NULL */
  uint32_t deadly_after_ms;   /**< from the start to the end of the process */
  bool deadly_unanswered;     /**< such a start gets no answer */
  const char *failing_task;   /**< runs of tasks whose names begin so end as
                                 failed; or NULL */
  uint32_t failing_after_ms;  /**< from the start to such an end */
  uint32_t back_after_ms; /**< time until a crashed worker is back; 0: 600 */
  bool back_under_old_id; /**< it is back under its id, not a new one */
  struct fkp_gang gang;
};

/** A call that is answered later. */
struct fkp_pending_reply
{
  struct hs_server *hs;
  struct cyc_ref call;
  struct fkp_part *part;     /**< set for a read that waits for records */
  uint64_t from;             /**< offset at which the read begins */
  struct fkp_worker *worker; /**< set for a hold that waits for an end */
  const struct fkp_worker *sender; /**< of a delayed answer; NULL: the log */
  uint64_t due_ms;
  GBytes *body; /**< set for a delayed answer */
  uint32_t status;
};

struct fkp_platform
{
  struct ev_loop *loop;
  struct hs_server log;
  struct hs_server advisor;
  struct fkp_worker workers[FKP_WORKERS_MAX];
  uint32_t worker_count;
  GPtrArray *parts;
  GArray *pending_replies; /**< struct fkp_pending_reply */
  struct ev_timer timer;
  struct fkp_faults faults;
  uint32_t record_bytes;     /**< longest record that an append may hold; 0: no
                                limit */
  uint32_t request_bytes;    /**< the same of the records of one append */
  uint64_t invalid_appends;  /**< refused for one of these limits */
  uint32_t task_duration_ms; /**< of each run; 0: 200 */
  bool spec_durations;       /**< a task whose `spec` is a number takes so many
                                  milliseconds */
  const char *ticketed;      /**< starts of tasks whose names begin so need a
                                  valid ticket; NULL: no ticket is checked */
  uint32_t ticket_valid_ms;  /**< 0: 2,500 */
  uint32_t decision_ms;      /**< time that the advisor takes for a call */
  uint32_t newest_items;     /**< on a page of newest records; 0: 3 */
  GArray *late_entries;      /**< struct fkp_late_entry */
  GArray *late_starts;       /**< struct fkp_late_start */
  GArray *late_holds;        /**< struct fkp_late_hold */
  GArray *history;           /**< struct fkp_history, in order of begin */
  GArray *gang_runs;         /**< struct fkp_gang_run */
  uint64_t calls;
  uint64_t advice_requests;
  uint64_t entry_seq;
  uint64_t next_entries_ms;
};

/** Starts the log, the advisor and @p workers workers, at most
 * FKP_WORKERS_MAX. Returns false and adds a finding if a port cannot be
 * opened. */
bool fkp_setup (struct fkp_platform *platform, struct ev_loop *loop,
                uint32_t workers, struct cyc_findings *findings);
void fkp_shutdown (struct fkp_platform *platform);
/** Appends a record to part 0 of a keyed topic. */
void fkp_put (struct fkp_platform *platform, const char *topic,
              const char *key, const char *value);
/** Appends a record to part 0 of a topic. */
void fkp_append (struct fkp_platform *platform, const char *topic,
                 const uint8_t *data, size_t len);
/** Drops the records of part 0 whose offset is below @p before. */
void fkp_trim (struct fkp_platform *platform, const char *topic,
               uint64_t before);
/** Ends all runs of a worker and starts its next incarnation, which knows
 * nothing of the earlier one. */
void fkp_restart_worker (struct fkp_worker *worker);
/** Executes the holds that were kept for later. */
void fkp_execute_late_holds (struct fkp_platform *platform);
/** Ends the worker with all its runs and removes its entry. */
void fkp_remove_worker (struct fkp_worker *worker);
/** Ends the worker's process with all its runs: its connections close, nothing
 * listens at its address, and its entry is removed after three heartbeats. It
 * is back at the same address after `back_after_ms`. */
void fkp_crash_worker (struct fkp_worker *worker);
/** Does the same without a sign on the network, as a loss of power does: calls
 * get no answer. */
void fkp_power_off (struct fkp_worker *worker);
/** Cuts the worker off in a way that refuses calls: its connections close and
 * nothing listens; the worker goes on. */
void fkp_refuse_calls (struct fkp_worker *worker);
/** Ends the cut. */
void fkp_accept_calls (struct fkp_worker *worker);
/** Cuts the worker off, or ends the cut. */
void fkp_cut_worker (struct fkp_worker *worker, enum fkp_cut cut);
/** Removes the worker's entry; the worker goes on. */
void fkp_unlist_worker (struct fkp_worker *worker);
/** Writes the address of a server as "127.0.0.1:PORT". */
void fkp_address (const struct hs_server *hs, char out[32]);

#endif
