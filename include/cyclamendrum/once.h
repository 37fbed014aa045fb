/**
 * @file
 * Table of once-only requests over the `intents` stream.
 *
 * The first intent of an id in stream order wins, and only its gateway may
 * send the request. Outcomes are recorded by the winner. Rows are forgotten
 * `once_window_ms` after their intent.
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

/** What is known of one request id. */
struct cyc_once_entry
{
  struct cyc_id128 body_digest;
  struct cyc_name gateway; /**< winner */
  struct cyc_id128 incarnation;
  enum cyc_outcome outcome; /**< NONE: not recorded yet */
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
/** Applies a record read from the stream at @p now_us; false when it is
 * corrupt or carries neither intents nor outcomes. A full table drops the row
 * that is oldest and past its window, or, if there is none, refuses: the
 * intent is then not won by anyone. */
bool cyc_once_apply (struct cyc_once *once, uint64_t offset,
                     struct cyc_str record, uint64_t now_us);
uint64_t cyc_once_next_offset (const struct cyc_once *once);
/** Starts at the oldest retained offset after a trim or at process start. */
void cyc_once_seek (struct cyc_once *once, uint64_t offset);
bool cyc_once_find (const struct cyc_once *once,
                    const struct cyc_id128 *request_id,
                    struct cyc_once_entry *out);
/** Bounded work: forgets rows whose window has passed. */
void cyc_once_expire (struct cyc_once *once, uint64_t now_us);
uint32_t cyc_once_count (const struct cyc_once *once);

bool cyc_rec_intents (const struct cyc_id128 *id, struct cyc_str writer,
                      const struct cyc_id128 *incarnation,
                      const struct cyc_once_intent *intents, uint32_t count,
                      struct cyc_str *out);
bool cyc_rec_outcomes (const struct cyc_id128 *id, struct cyc_str writer,
                       const struct cyc_id128 *incarnation,
                       const struct cyc_once_outcome *outcomes, uint32_t count,
                       struct cyc_str *out);

#endif
