/**
 * @file
 * Interfaces (vtables) through which an entry VM reaches the platform: log,
 * workers, advisor and callers. The adapter in platform/ implements them for
 * one platform; tests implement them in memory.
 *
 * Every asynchronous call ends with exactly one call of its `done` callback,
 * unless the port is shut down first. Results are valid only during that
 * callback.
 *
 * Errors: an append or an order whose answer was lost reports that it may
 * have taken effect, never that it failed.
 */
#ifndef PORTS_H
#define PORTS_H

#include <cyclamendrum/cell.h>

#include <assert.h>
#include <string.h>

/** Streams of the platform's log that an entry VM uses. */
enum pt_stream
{
  PT_STREAM_CONFIG,  /**< keyed; what operators publish: the configuration, and
                          requests to evacuate failure domains */
  PT_STREAM_WORKERS, /**< keyed; the entries that workers write about
                          themselves */
  PT_STREAM_CELL,    /**< keyed; jobs, cancellations and progress, written by
                          the leader alone. In several parts, as each part
                          takes one append at a time */
  PT_STREAM_JOBS,    /**< keyed; jobs and cancellations that entry VMs wrote
                          while no leader could store them; in several parts */
  PT_STREAM_VMS,     /**< keyed; the registered entry VMs */
  PT_STREAM_LEAD,    /**< claims of the leadership and their renewals */
  PT_STREAM_COUNT
};

/** Outcome of a call of the log. */
enum pt_outcome
{
  PT_OK,
  PT_REFUSED,  /**< certainly without effect; may be retried */
  PT_CONFLICT, /**< certainly without effect: the condition of the append does
                    not hold */
  PT_FENCED,   /**< certainly without effect: a higher epoch has written */
  PT_TRIMMED,  /**< read: the requested records are no longer retained */
  PT_UNKNOWN,  /**< outcome unknown: it may have taken effect, or may take
                    effect later */
  PT_INVALID   /**< certainly without effect, and no retry will have one: the
                    log takes no append of this form, as with a record that is
                    too large. The log itself is up */
};

/** Longest key of a record. */
#define PT_KEY_MAX_BYTES 255

/** Key of a record, stored inline; any bytes. */
struct pt_key
{
  uint8_t len;
  char data[PT_KEY_MAX_BYTES];
};

/** Stores a key of at most PT_KEY_MAX_BYTES. */
static inline void
pt_key_set (struct pt_key *key, struct cyc_str text)
{
  assert (text.len <= PT_KEY_MAX_BYTES);
  key->len = (uint8_t)text.len;
  if (text.len > 0)
    memcpy (key->data, text.data, text.len);
}

static inline struct cyc_str
pt_key_str (const struct pt_key *key)
{
  return (struct cyc_str){ key->data, key->len };
}

struct pt_record
{
  struct cyc_str key;   /**< empty in streams without keys */
  struct cyc_str value; /**< empty in a keyed stream: the key is deleted */
  uint64_t offset; /**< in results of `newest`, and of reads that say so */
};

struct pt_append_result
{
  enum pt_outcome outcome;
  uint64_t offset; /**< offset of the first record, if PT_OK */
  uint64_t end;    /**< end offset of the stream, if PT_OK or PT_CONFLICT */
};

struct pt_append
{
  enum pt_stream stream;
  uint32_t part; /**< part of the stream; 0 in streams of one part */
  const struct pt_record *records; /**< copied by the call */
  uint32_t count;                  /**< 0 with an epoch: the append only sets
                                        the epoch */
  bool at_end; /**< append only if the stream ends at `end` */
  uint64_t end;
  uint64_t epoch;    /**< epoch of the only writer allowed; 0 if none */
  uint64_t sequence; /**< number of this append within the epoch, from 0 */
  uint64_t deadline_us;
  uint64_t complete_by_us; /**< until when an append of many bytes that makes
                                progress may take; 0: deadline_us */
  /** Called while the bytes of a long append are sent; may be NULL. */
  void (*progress) (void *user);
  void (*done) (void *user, const struct pt_append_result *result);
  void *user;
};

struct pt_read_result
{
  enum pt_outcome outcome;
  uint64_t first; /**< oldest retained offset */
  uint64_t next;  /**< offset after the last record returned */
  uint64_t end; /**< offset after the last record of the stream, which is above
                   `next` if not all were returned; 0: unknown */
  const struct pt_record *records;
  uint32_t count;
  bool own_offsets;  /**< the records have offsets; false: they are consecutive
                        up to `next` */
  uint64_t fresh_us; /**< the answer holds all records up to this time; 0: up
                        to the time at which the read was sent */
  size_t bytes; /**< length of the answer, or of what arrived of one that did
                   not become complete */
};

struct pt_read
{
  enum pt_stream stream;
  uint32_t part;
  uint64_t from;
  uint32_t wait_ms;        /**< longest wait for the first record */
  uint32_t max_kib;        /**< longest answer; 0: the adapter's limit */
  uint64_t deadline_us;    /**< the answer has begun by then, or is complete */
  uint64_t complete_by_us; /**< until when one that has begun and makes
                                progress may take; 0: deadline_us */
  /** Called when bytes of the answer arrive; may be NULL. */
  void (*progress) (void *user);
  void (*done) (void *user, const struct pt_read_result *result);
  void *user;
};

struct pt_newest_result
{
  enum pt_outcome outcome;
  const struct pt_record *records;
  uint32_t count;
  bool more; /**< true: more keys follow; continue with the key of the last
                  record as `after_key` */
  uint64_t end;
  uint64_t fresh_us; /**< as in struct pt_read_result */
  size_t bytes;      /**< as in struct pt_read_result */
};

struct pt_newest
{
  enum pt_stream stream;
  uint32_t part;
  struct cyc_str after_key; /**< return keys after this one; empty: from the
                                 first key */
  uint64_t deadline_us;     /**< as in struct pt_read */
  uint64_t complete_by_us;  /**< as in struct pt_read */
  void (*progress) (void *user);
  void (*done) (void *user, const struct pt_newest_result *result);
  void *user;
};

struct pt_log;
struct pt_log_vtable
{
  /** Returns false if the call was not started; `done` is not called then. */
  bool (*append) (struct pt_log *log, const struct pt_append *append);
  bool (*read) (struct pt_log *log, const struct pt_read *read);
  bool (*newest) (struct pt_log *log, const struct pt_newest *newest);
};
struct pt_log
{
  const struct pt_log_vtable *vtable;
};

/** The worker that an order or a hold is sent to. */
struct pt_target
{
  struct cyc_str id;
  struct cyc_str address;
  uint64_t fence;
};

/** How a call to a worker ended without an answer. A copy that was written may
 * have ended before the last one: `broken_us` tells a process or path that
 * went away during the call from one that was gone before. */
struct pt_call_end
{
  enum cell_call_end end; /**< of the last copy */
  uint64_t sent_us;       /**< when the call was sent */
  uint64_t broken_us; /**< when the connection of a copy first ended; 0 if none
                           did */
};

/** An order to start a run. A result other than CELL_START_UNKNOWN speaks for
 * every copy of the order: after a refusal none was executed and none will be.
 * The adapter therefore writes an order at most once. */
struct pt_start
{
  struct pt_target target;
  struct cyc_str task;
  uint32_t number; /**< number of the run of the task */
  struct cyc_str payload;
  uint64_t lease_deadline_ms; /**< end of the lease on the worker's clock */
  struct cyc_str checkpoint;
  struct cyc_str ticket;
  uint64_t deadline_us;
  uint64_t write_until_us; /**< the order is not written later: another leader
                              may have replaced the one that gave it */
  /** @p unanswered: NULL if the worker answered or the start was abandoned. */
  void (*done) (void *user, struct cyc_ref run, enum cell_start_result result,
                const struct pt_call_end *unanswered, const char *why);
  void *user;
  struct cyc_ref run;
};

struct pt_stop
{
  struct pt_target target;
  struct cyc_str task;
  uint32_t number; /**< number of the run of the task */
  uint64_t deadline_us;
  /** @p answered true: the worker will not accept a start of this run or an
   * earlier one. @p unanswered: NULL if the worker answered, also with a
   * refusal. */
  void (*done) (void *user, struct cyc_ref run, bool answered,
                const struct pt_call_end *unanswered);
  void *user;
  struct cyc_ref run;
};

struct pt_hold
{
  struct pt_target target;
  uint64_t lease_deadline_ms; /**< new end of the lease; 0: not extended */
  uint64_t ack;     /**< run ends up to this number may be forgotten */
  uint32_t wait_ms; /**< longest wait for a run to end */
  uint64_t deadline_us;
  /** One of @p unanswered and @p report is NULL. */
  void (*done) (void *user, uint32_t row, const struct pt_call_end *unanswered,
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
  /** Ends the calls of all starts of the user that have no result yet, as
   * abandon_start does. */
  void (*abandon_starts) (struct pt_workers *workers, void *user);
  /** Ends the call of a start that has no result yet: from then on no worker
   * receives the order, and its result is CELL_START_UNKNOWN. */
  void (*abandon_start) (struct pt_workers *workers, void *user,
                         struct cyc_ref run);
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

/** Decoders for records that operators and workers write to the log. */
struct pt_records;
struct pt_records_vtable
{
  /** Returns NULL if @p value is not a valid configuration; @p findings then
   * give the reasons. */
  struct cell_config *(*config) (struct cyc_str value,
                                 struct cyc_findings *findings);
  /** Returns false if the entry does not describe a usable worker; @p findings
   * then give the reasons. Other writers may write entries too: all members
   * of @p out are checked. @p now_ms is the time of day: an entry from the
   * future is not usable. */
  bool (*worker) (struct cyc_str id, struct cyc_str value, uint64_t now_ms,
                  struct cell_worker_entry *out,
                  struct cyc_findings *findings);
  /** Returns false if @p value is not the body of a request to evacuate a
   * failure domain; @p findings then give the reasons. */
  bool (*evacuation) (struct cyc_str value, struct cyc_findings *findings);
  /** Key of the configuration in its stream. */
  struct cyc_str config_key;
  /** Beginning of the keys of requests to evacuate a failure domain in the
   * same stream; the domain follows. */
  struct cyc_str evacuation_prefix;
};

/** What a caller's request asks for. */
enum pt_verb
{
  PT_VERB_SUBMIT,
  PT_VERB_STATE, /**< the state of a job */
  PT_VERB_CANCEL,
  PT_VERB_PENDING /**< the number of pending jobs of a queue */
};

/** A caller's request; valid only during the callback. */
struct pt_request
{
  struct cyc_ref call;
  struct cyc_str method;
  struct cyc_str host;
  struct cyc_str path;
  struct cyc_str key; /**< API key of the caller's team; empty if none */
  struct cyc_str body;
  uint32_t wait_ms; /**< wait of the caller; 0 if unknown */
};

enum pt_answer_kind
{
  PT_ANSWER_ACCEPTED,
  PT_ANSWER_STATE,   /**< with the job's `state` */
  PT_ANSWER_PENDING, /**< with the queue's `pending` count */
  PT_ANSWER_CANCELLED,
  PT_ANSWER_NO_JOB, /**< the job does not exist */
  PT_ANSWER_NO_QUEUE,
  PT_ANSWER_BAD_KEY,
  PT_ANSWER_BAD_REQUEST,
  PT_ANSWER_BUSY,            /**< not executed; retry after retry_after_s */
  PT_ANSWER_OVER_RATE,       /**< not executed: the team exceeds its rate */
  PT_ANSWER_UNKNOWN_OUTCOME, /**< the request may have taken effect; ask for
                                the job's state */
  PT_ANSWER_TOO_LARGE        /**< not executed: the log cannot hold the job */
};

struct pt_answer
{
  enum pt_answer_kind kind;
  enum cell_job_state state;
  uint32_t pending;
  uint32_t retry_after_s; /**< 0 if unknown */
  /** What is wrong with the request: NULL, or the finding to tell. Valid
   * during the call. */
  const struct cyc_finding *finding;
  bool close; /**< close the connection after this answer */
};

/** Connections of callers. The members after the first two count since the
 * start. */
struct pt_callers_load
{
  uint32_t open;
  uint32_t open_max;      /**< most at a time */
  uint64_t ended_memory;  /**< their unfinished bodies held too much memory */
  uint64_t ended_crowded; /**< there were too many connections */
  uint64_t ended_overdue; /**< their requests did not become complete */
  uint64_t too_long;      /**< bodies over the limit */
};

struct pt_callers;
struct pt_callers_vtable
{
  void (*answer) (struct pt_callers *callers, struct cyc_ref call,
                  const struct pt_answer *answer);
  /** Returns NULL if the body is not a valid job; @p findings then give the
   * reasons. */
  struct Cyc__CellJob *(*job) (struct cyc_str body,
                               struct cyc_findings *findings);
  /** Returns the number of requests that are not answered yet. */
  uint32_t (*open_count) (const struct pt_callers *callers);
  /** Fills @p out with what clients hold and what was ended for it. */
  void (*load) (const struct pt_callers *callers, struct pt_callers_load *out);
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
