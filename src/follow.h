/**
 * @file
 * Follows one stream of the log with long polls, and appends records and reads
 * them back.
 *
 * An append ends when its record was read back from the stream (FO_CONFIRMED,
 * whether or not the reader accepts the record) or when its deadline passed.
 * After a lost answer the stream is read first, and the append is retried only
 * if its record is not there. An append that provably failed is retried under
 * the same record id until the deadline.
 *
 * Order of calls: fo_setup, fo_start, then fo_tick on every tick; at the end
 * first the shutdown of the log client, then fo_shutdown. The follower is at
 * the head of the stream if it has read all records. Times in microseconds are
 * those of hc_now_us.
 *
 * @code
 * fo_setup (&fo, &(struct fo_desc){ .log = log, .stream = CYC_STR ("jobs"),
 *                                   .record = on_record, .user = this },
 *           &found);
 * fo_start (&fo, 0);
 * fo_tick (&fo, now_us);
 * @endcode
 *
 * Errors: on failure fo_setup returns false, adds the defects to the findings
 * and frees everything. Failed reads are retried with exponential backoff;
 * `reachable` reports them.
 */
#ifndef FOLLOW_H
#define FOLLOW_H

#include "log_client.h"

enum fo_outcome
{
  FO_CONFIRMED,    /**< read back; `record` was called for it just before */
  FO_NOT_APPENDED, /**< provably not in the stream and never will be */
  FO_UNKNOWN       /**< the deadline passed; it may still appear */
};

struct fo_desc
{
  struct lc_log *log;
  struct cyc_str stream;
  uint32_t timeout_ms;  /**< of one log call; 0: 2,000 */
  uint32_t wait_ms;     /**< of a long poll; 0: 2,000 */
  uint32_t batch;       /**< maximum records per read; 0: 512 */
  uint32_t max_appends; /**< 0: 4,096 */
  /** Called for each record, in order. */
  void (*record) (void *user, uint64_t offset, struct cyc_str data);
  /** Called when the record at @p next was trimmed; @p oldest is the oldest
   * retained offset. Returns true to continue there, false to stop reading
   * until fo_start is called. NULL: continue there. */
  bool (*trimmed) (void *user, uint64_t next, uint64_t oldest);
  /** Called when the log became reachable or unreachable; may be NULL. */
  void (*reachable) (void *user, bool reachable);
  void *user;
};

struct fo_append
{
  struct cyc_id128 record_id;
  struct cyc_str record; /**< copied */
  uint64_t deadline_us;
  void (*done) (void *user, enum fo_outcome outcome, uint64_t offset);
  void *user;
};

struct fo_follow
{
  struct fo_state *state; /**< private */
};

bool fo_setup (struct fo_follow *fo, const struct fo_desc *desc,
               struct cyc_findings *findings);
/** Frees everything without calling `done` of open appends. The log client
 * must be shut down first, because its open calls refer to the follower. */
void fo_shutdown (struct fo_follow *fo);
/** Starts to read at offset @p from; UINT64_MAX: at the oldest retained
 * record. */
void fo_start (struct fo_follow *fo, uint64_t from);
/** Ends expired appends, retries due ones and starts a due read. */
void fo_tick (struct fo_follow *fo, uint64_t now_us);
/** Returns false if the table is full or memory is out; `done` is then not
 * called. */
bool fo_append (struct fo_follow *fo, const struct fo_append *append);
/** Returns the offset of the next record to read. */
uint64_t fo_next (const struct fo_follow *fo);
/** Returns the oldest retained offset, as of the last read. */
uint64_t fo_oldest (const struct fo_follow *fo);
/** Returns true if the last read reached the head of the stream. */
bool fo_at_head (const struct fo_follow *fo);
bool fo_reachable (const struct fo_follow *fo);
/** Returns the monotonic time up to which all records of the stream are known
 * to have been read; 0 if never. */
uint64_t fo_fresh_us (const struct fo_follow *fo);

#endif
