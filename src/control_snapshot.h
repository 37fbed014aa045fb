/**
 * @file
 * Writes snapshots of the control state into its stream when the newest
 * complete one is too old.
 *
 * Chunks are appended one after the other, each after the one before it was
 * read back, so that a snapshot never fills the log's capacity.
 *
 * @code
 * csn_setup (&writer, &(struct csn_desc){ .follow = &fo, .vm = vm });
 * csn_tick (&writer, &ledger, now_us);
 * @endcode
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
  uint32_t snapshot_records; /**< a snapshot at least every so many records */
  struct met_set *met;       /**< may be NULL */
};

struct csn_writer
{
  struct csn_desc desc;
  uint64_t due_us;        /**< 0: no need was seen */
  uint64_t last_end_us;   /**< when the last writing ended */
  bool writing;           /**< an append is open */
  struct cyc_str encoded; /**< owned; empty: nothing to write */
  struct cyc_digest digest;
  uint64_t upto_offset;
  uint32_t index;
  uint32_t count;
  uint64_t now_us;
};

void csn_setup (struct csn_writer *writer, const struct csn_desc *desc);
void csn_shutdown (struct csn_writer *writer);
/** Call while the ledger is complete and at the head of the stream. */
void csn_tick (struct csn_writer *writer, const struct cyc_ledger *led,
               uint64_t now_us);
/** True when the newest snapshot in the stream is too old: more records than
 * @p records or than half of the retained ones lie behind it, or the records
 * after it are no longer all retained. */
bool csn_needed (uint64_t upto_offset, uint64_t oldest, uint64_t next,
                 uint32_t snapshot_records);

#endif
