/**
 * @file
 * Table of once-only requests over the `intents` stream.
 *
 * A gateway appends an intent before it sends a request that must run at most
 * once. The first intent of a request id in stream order wins, and only its
 * gateway may send the request. Only the winner's outcome is recorded. A row
 * is removed `once_window_ms` after its intent was read.
 *
 * @code
 * cyc_once_setup (&once, &desc, &found);
 * cyc_once_apply (&once, offset, record, now_us);
 * if (cyc_once_find (&once, &request_id, &entry)) ...
 * cyc_once_expire (&once, now_us);
 * @endcode
 *
 * Errors: cyc_once_apply returns false for a record that it cannot use, and
 * skips that record. A full table refuses further intents.
 */
#ifndef CYCLAMENDRUM_ONCE_H
#define CYCLAMENDRUM_ONCE_H

#include <cyclamendrum/base.h>

struct cyc_once_desc
{
  struct cyc_allocator allocator;
  uint32_t max_requests; /**< 0: 65,536 */
  uint64_t window_us;    /**< 0: 24 h */
};

struct cyc_once
{
  struct cyc_once_state *state; /**< private */
};

/** Winner and outcome of one request id. */
struct cyc_once_entry
{
  struct cyc_id128 body_digest;
  struct cyc_name gateway; /**< gateway of the first intent */
  struct cyc_id128 incarnation;
  enum cyc_outcome outcome; /**< CYC_OUTCOME_NONE until recorded */
  uint32_t http_status;
};

struct cyc_once_intent
{
  struct cyc_id128 request_id;
  struct cyc_id128 body_digest;
  uint64_t deadline_ms; /**< Unix milliseconds */
};

struct cyc_once_outcome
{
  struct cyc_id128 request_id;
  enum cyc_outcome outcome;
  uint32_t http_status;
  struct cyc_id128 answer_digest;
};

bool cyc_once_setup (struct cyc_once *once, const struct cyc_once_desc *desc,
                     struct cyc_findings *findings);
void cyc_once_shutdown (struct cyc_once *once);
/** Applies a record that was read from the stream at @p now_us. Returns false
 * if it is corrupt or carries neither intents nor outcomes. Records below the
 * next offset are ignored. A full table removes its oldest row if the window
 * of that row has passed; otherwise it refuses the intent, which then has no
 * winner. */
bool cyc_once_apply (struct cyc_once *once, uint64_t offset,
                     struct cyc_str record, uint64_t now_us);
/** Returns the offset of the next record to apply. */
uint64_t cyc_once_next_offset (const struct cyc_once *once);
/** Sets the next offset: to the oldest retained one after the stream was
 * trimmed or at process start. */
void cyc_once_seek (struct cyc_once *once, uint64_t offset);
/** Copies the entry of @p request_id to @p out; false if there is none. */
bool cyc_once_find (const struct cyc_once *once,
                    const struct cyc_id128 *request_id,
                    struct cyc_once_entry *out);
/** Removes rows whose window has passed, a bounded number in each call. */
void cyc_once_expire (struct cyc_once *once, uint64_t now_us);
uint32_t cyc_once_count (const struct cyc_once *once);

/** Encodes a record of @p count intents of the gateway @p writer. The caller
 * frees out->data. Returns false if memory is exhausted or @p writer is
 * not a valid name. */
bool cyc_rec_intents (const struct cyc_id128 *id, struct cyc_str writer,
                      const struct cyc_id128 *incarnation,
                      const struct cyc_once_intent *intents, uint32_t count,
                      struct cyc_str *out);
/** Encodes a record of @p count outcomes in the same way. */
bool cyc_rec_outcomes (const struct cyc_id128 *id, struct cyc_str writer,
                       const struct cyc_id128 *incarnation,
                       const struct cyc_once_outcome *outcomes, uint32_t count,
                       struct cyc_str *out);

#endif
