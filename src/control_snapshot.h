/**
 * @file
 * Writes snapshots of the control state into its stream when the newest
 * complete one is too old.
 *
 * Chunks are appended one at a time, each after the previous one was read
 * back, so that a snapshot never uses up the capacity of the log.
 *
 * Order of calls: csn_setup, then csn_tick on every tick; csn_shutdown at the
 * end, after which the follower must not be ticked any more.
 *
 * @code
 * csn_setup (&writer, &(struct csn_desc){ .follow = &fo, .vm = vm });
 * csn_tick (&writer, &ledger, now_us);
 * @endcode
 *
 * Errors: a snapshot is abandoned when it cannot be encoded or a chunk is not
 * confirmed; a later tick starts a new one.
 */
#ifndef CONTROL_SNAPSHOT_H
#define CONTROL_SNAPSHOT_H

#include "follow.h"
#include "metrics.h"

#include <cyclamendrum/ledger.h>

struct csn_desc
{
  struct fo_follow *follow;
  struct cyc_name vm;
  uint32_t snapshot_records; /**< maximum between snapshots */
  struct met_set *met;       /**< may be NULL */
};

struct csn_writer
{
  struct csn_desc desc;
  uint64_t due_us;      /**< time to write the next snapshot; 0: not needed */
  uint64_t last_end_us; /**< end of the last write; 0 if there was none */
  bool writing;         /**< a snapshot is being written */
  struct cyc_str encoded; /**< owned; empty unless `writing` */
  struct cyc_digest digest;
  uint64_t upto_offset; /**< last offset that the snapshot covers */
  uint32_t index;       /**< of the chunk that is being appended */
  uint32_t count;       /**< chunks of the snapshot */
  uint64_t now_us;
};

void csn_setup (struct csn_writer *writer, const struct csn_desc *desc);
void csn_shutdown (struct csn_writer *writer);
/** Starts a snapshot if one is due. To be called only while @p led is complete
 * and at the head of the stream. */
void csn_tick (struct csn_writer *writer, const struct cyc_ledger *led,
               uint64_t now_us);
/** Returns true if the newest snapshot in the stream is too old: more than
 * @p snapshot_records records or more than half of the retained ones follow
 * it, or the records after it are no longer all retained. */
bool csn_needed (uint64_t upto_offset, uint64_t oldest, uint64_t next,
                 uint32_t snapshot_records);

#endif
