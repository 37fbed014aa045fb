/**
 * @file
 * What an entry VM needs of the platform around it, as small vtables. The
 * adapter in platform/ implements them for one platform; tests implement them
 * in memory.
 *
 * Every asynchronous call ends with exactly one call of its `done` function,
 * unless the port is shut down first. Results live only during that call.
 *
 * Errors: an append or an order whose answer was lost reports that it may
 * have taken effect; it never reports a failure then.
 */
#ifndef PORTS_H
#define PORTS_H

#include <cyclamendrum/cell.h>

/** Streams of the platform's log that an entry VM uses. */
enum pt_stream
{
  PT_STREAM_CONFIG,  /**< keyed; the operators' configuration */
  PT_STREAM_WORKERS, /**< keyed; the workers' own entries */
  PT_STREAM_CELL,    /**< keyed; jobs, cancellations and progress, written by
                        the leader alone; in parts, as each part takes one
                        append at a time */
  PT_STREAM_JOBS,    /**< keyed; jobs and cancellations that VMs wrote while
                        no leader could; in parts */
  PT_STREAM_VMS,     /**< keyed; the entry VMs that are up */
  PT_STREAM_LEAD,    /**< claims of the leadership and renewals */
  PT_STREAM_COUNT
};

enum pt_fate
{
  PT_OK,
  PT_REFUSED,  /**< surely without effect; may be tried again */
  PT_CONFLICT, /**< surely without effect: the condition does not hold */
  PT_FENCED,   /**< surely without effect: a higher epoch has written */
  PT_TRIMMED,  /**< read: the wanted records are gone */
  PT_UNKNOWN   /**< it may have taken effect, or may yet */
};

struct pt_record
{
  struct cyc_str key;   /**< empty in streams without keys */
  struct cyc_str value; /**< empty with a key: the key was dropped */
};

struct pt_append_result
{
  enum pt_fate fate;
  uint64_t offset; /**< of the first record, when PT_OK */
  uint64_t end;    /**< of the stream, when PT_OK or PT_CONFLICT */
};

struct pt_append
{
  enum pt_stream stream;
  uint32_t part; /**< of the stream; 0 for streams of one part */
  const struct pt_record *records; /**< copied */
  uint32_t count;                  /**< 0 with an epoch: only sets the epoch */
  bool at_end;                     /**< only if the stream ends at `end` */
  uint64_t end;
  uint64_t epoch;    /**< 0: none; else of the only writer */
  uint64_t sequence; /**< of this append in the epoch, from 0 */
  uint64_t deadline_us;
  void (*done) (void *user, const struct pt_append_result *result);
  void *user;
};

struct pt_read_result
{
  enum pt_fate fate;
  uint64_t first; /**< oldest retained offset */
  uint64_t next;  /**< offset after the last record returned */
  const struct pt_record *records;
  uint32_t count;
};

struct pt_read
{
  enum pt_stream stream;
  uint32_t part;
  uint64_t from;
  uint32_t wait_ms; /**< wait so long for a first record */
  uint64_t deadline_us;
  void (*done) (void *user, const struct pt_read_result *result);
  void *user;
};

struct pt_newest_result
{
  enum pt_fate fate;
  const struct pt_record *records;
  uint32_t count;
  bool more; /**< go on after the key of the last record */
  uint64_t end;
};

struct pt_newest
{
  enum pt_stream stream;
  uint32_t part;
  struct cyc_str after_key; /**< key; empty: from the start */
  uint64_t deadline_us;
  void (*done) (void *user, const struct pt_newest_result *result);
  void *user;
};

struct pt_log;
struct pt_log_vtable
{
  /** False: not begun, `done` will not be called. */
  bool (*append) (struct pt_log *log, const struct pt_append *append);
  bool (*read) (struct pt_log *log, const struct pt_read *read);
  bool (*newest) (struct pt_log *log, const struct pt_newest *newest);
};
struct pt_log
{
  const struct pt_log_vtable *vtable;
};

/** An order to a worker, or a question to it. */
struct pt_target
{
  struct cyc_str id;
  struct cyc_str address;
  uint64_t fence;
};

struct pt_start
{
  struct pt_target target;
  struct cyc_str task;
  uint32_t number;
  struct cyc_str payload;
  uint64_t lease_deadline_ms; /**< end of the lease on the worker's clock */
  struct cyc_str checkpoint;
  struct cyc_str ticket;
  uint64_t deadline_us;
  void (*done) (void *user, struct cyc_ref run, enum cell_start_result result,
                const char *why);
  void *user;
  struct cyc_ref run;
};

struct pt_stop
{
  struct pt_target target;
  struct cyc_str task;
  uint32_t number;
  uint64_t deadline_us;
  /** @p answered: no start of this run or an earlier one will be taken. */
  void (*done) (void *user, struct cyc_ref run, bool answered);
  void *user;
  struct cyc_ref run;
};

enum pt_hold_fate
{
  PT_HOLD_OK,
  PT_HOLD_OTHER_INCARNATION, /**< another life of the worker answered */
  PT_HOLD_NO_ANSWER
};

struct pt_hold
{
  struct pt_target target;
  uint64_t lease_deadline_ms; /**< 0: the lease is not extended */
  uint64_t ack;               /**< ends up to here may be forgotten */
  uint32_t wait_ms;           /**< wait so long for an end */
  uint64_t deadline_us;
  void (*done) (void *user, uint32_t row, enum pt_hold_fate fate,
                struct cell_report *report);
  void *user;
  uint32_t row;
};

struct pt_workers;
struct pt_workers_vtable
{
  bool (*start) (struct pt_workers *workers, const struct pt_start *start);
  bool (*stop) (struct pt_workers *workers, const struct pt_stop *stop);
  bool (*hold) (struct pt_workers *workers, const struct pt_hold *hold);
};
struct pt_workers
{
  const struct pt_workers_vtable *vtable;
};

struct pt_advise_result
{
  bool answered;
  uint64_t valid_us;
  const struct cell_ticket *tickets;
  uint32_t count;
};

struct pt_advise
{
  struct cyc_str step;
  const struct cyc_str *workers;
  uint32_t count;
  uint64_t deadline_us;
  void (*done) (void *user, uint64_t ask,
                const struct pt_advise_result *result);
  void *user;
  uint64_t ask;
};

struct pt_advisor;
struct pt_advisor_vtable
{
  bool (*advise) (struct pt_advisor *advisor, const struct pt_advise *advise);
};
struct pt_advisor
{
  const struct pt_advisor_vtable *vtable;
};

/** Translation of what others write into the log. */
struct pt_records;
struct pt_records_vtable
{
  /** NULL: @p value is no configuration; findings say why. */
  struct cell_config *(*config) (struct cyc_str value,
                                 struct cyc_findings *findings);
  /** False: the entry names no worker to use; findings say why. */
  bool (*worker) (struct cyc_str id, struct cyc_str value,
                  struct cell_worker_entry *out,
                  struct cyc_findings *findings);
  /** Key under which the configuration stands in its stream. */
  struct cyc_str config_key;
};

enum pt_verb
{
  PT_VERB_SUBMIT,
  PT_VERB_STATE,
  PT_VERB_CANCEL,
  PT_VERB_PENDING
};

/** A caller's request; lives only during the call. */
struct pt_request
{
  struct cyc_ref call;
  struct cyc_str method;
  struct cyc_str host;
  struct cyc_str path;
  struct cyc_str key; /**< of the caller's team; empty: none */
  struct cyc_str body;
  uint32_t wait_ms; /**< how long the caller waits; 0: not said */
};

enum pt_answer_kind
{
  PT_ANSWER_ACCEPTED,
  PT_ANSWER_STATE,   /**< `state` */
  PT_ANSWER_PENDING, /**< `pending` */
  PT_ANSWER_CANCELLED,
  PT_ANSWER_NO_JOB, /**< no such job */
  PT_ANSWER_NO_QUEUE,
  PT_ANSWER_BAD_KEY,
  PT_ANSWER_BAD_REQUEST,
  PT_ANSWER_BUSY,           /**< has not run; try again after retry_after_s */
  PT_ANSWER_OVER_RATE,      /**< the team sends too much; has not run */
  PT_ANSWER_UNKNOWN_OUTCOME /**< it may have been accepted; ask again */
};

struct pt_answer
{
  enum pt_answer_kind kind;
  enum cell_job_state state;
  uint32_t pending;
  uint32_t retry_after_s; /**< 0: not said */
  bool close;             /**< the connection ends after this answer */
};

struct pt_callers;
struct pt_callers_vtable
{
  void (*answer) (struct pt_callers *callers, struct cyc_ref call,
                  const struct pt_answer *answer);
  /** NULL: the body is no job; findings say why. */
  struct Cyc__CellJob *(*job) (struct cyc_str body,
                               struct cyc_findings *findings);
  /** Calls that were not answered yet. */
  uint32_t (*open_count) (const struct pt_callers *callers);
};
struct pt_callers
{
  const struct pt_callers_vtable *vtable;
};

/** All ports of an entry VM. */
struct pt_ports
{
  struct pt_log *log;
  struct pt_workers *workers;
  struct pt_advisor *advisor;
  struct pt_callers *callers;
  const struct pt_records_vtable *records;
};

#endif
