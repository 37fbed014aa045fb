/**
 * @file
 * Follows one stream of the log with long polls and appends to it with
 * read-back.
 *
 * fo_append ends only when the record was read back in the stream (CONFIRMED,
 * whatever the reader then makes of it) or its deadline passed. An append
 * whose answer was lost is read back, not repeated blindly; one that provably
 * failed is repeated under the same record id until the deadline.
 *
 * @code
 * fo_setup (&fo, &(struct fo_desc){ .log = log, .stream = CYC_STR ("jobs"),
 *                                   .record = on_record, .user = this },
 *           &found);
 * fo_start (&fo, 0);
 * fo_tick (&fo, now_us);
 * @endcode
 */
#ifndef FOLLOW_H
#define FOLLOW_H

#include "log_client.h"

enum fo_fate
{
  FO_CONFIRMED,    /**< read back; `record` was called for it just before */
  FO_NOT_APPENDED, /**< provably not in the stream and never will be */
  FO_UNKNOWN       /**< the deadline passed first; it may still appear */
};

struct fo_desc
{
  struct lc_log *log;
  struct cyc_str stream;
  uint32_t timeout_ms;  /**< of one call; 0: 2,000 */
  uint32_t wait_ms;     /**< of a long poll; 0: 2,000 */
  uint32_t batch;       /**< records a call; 0: 512 */
  uint32_t max_appends; /**< 0: 4,096 */
  /** Each record in order. */
  void (*record) (void *user, uint64_t offset, struct cyc_str data);
  /** The stream was trimmed beyond what was read: next record is @p oldest.
   * Return true to go on from there, false to stop (call fo_start later). */
  bool (*trimmed) (void *user, uint64_t next, uint64_t oldest);
  /** The log became reachable or unreachable. */
  void (*reachable) (void *user, bool reachable);
  void *user;
};

struct fo_append
{
  struct cyc_id128 record_id;
  struct cyc_str record; /**< copied */
  uint64_t deadline_us;
  void (*done) (void *user, enum fo_fate fate, uint64_t offset);
  void *user;
};

struct fo_follow
{
  struct fo_state *state; /**< private */
};

bool fo_setup (struct fo_follow *fo, const struct fo_desc *desc,
               struct cyc_findings *findings);
/** Shut the log client down first: its open calls refer to the follower. */
void fo_shutdown (struct fo_follow *fo);
/** Begins at @p from; UINT64_MAX: at the oldest retained record. */
void fo_start (struct fo_follow *fo, uint64_t from);
/** Expires appends and begins due polls. */
void fo_tick (struct fo_follow *fo, uint64_t now_us);
/** False when the table is full; `done` is then not called. */
bool fo_append (struct fo_follow *fo, const struct fo_append *append);
uint64_t fo_next (const struct fo_follow *fo);
/** Oldest retained offset as the newest read reported it. */
uint64_t fo_oldest (const struct fo_follow *fo);
/** True when the last read reached the head of the stream. */
bool fo_at_head (const struct fo_follow *fo);
bool fo_reachable (const struct fo_follow *fo);
/** Monotonic time of the last moment at which the head was known; 0: never. */
uint64_t fo_fresh_us (const struct fo_follow *fo);

#endif
