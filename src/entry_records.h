/**
 * @file
 * Records that a leader keeps in the log: accepted jobs, cancellations and the
 * progress of jobs, in one stream of several parts that the leader alone
 * writes.
 *
 * Each part takes one append at a time. Each batch goes to an idle part, so
 * that records do not wait for each other when the log is slow. A batch that
 * is too long for one append is written by several in turn. The record of a
 * block that is not needed any more is removed from each part that holds it,
 * together with a later batch; one that is left is ignored. Of several
 * progress records of a job or block, the one with the highest revision is
 * valid. The
 * leader sets its epoch in each part and loads the part up to the end offset
 * that the part had then, so no record of an earlier leader can follow the
 * records that were read.
 *
 * Errors: while the log is away, submitted records are refused and progress is
 * kept for a retry. A record that the log does not take in its form, however
 * often it is sent, is found among those of its append and given up alone: a
 * submitted one is refused for good, and the job of a progress record fails.
 *
 * @code
 * records_begin (&records, owner);
 * records_tick (&records, now_us);        // sets the epoch, loads, writes
 * records_submit (&records, key, value, peer);
 * records_end (&records);                 // answers all pending records
 * records_shutdown (&records);            // nothing may be in flight
 * @endcode
 */
#ifndef ENTRY_RECORDS_H
#define ENTRY_RECORDS_H

#include "entry_internal.h"

#define RECORDS_PARTS_MAX 64

struct entry_owner;

/** A record to be appended or in flight, and the peer that waits for its
 * outcome. */
struct records_row
{
  char key[CELL_BLOCK_KEY_BYTES];
  uint8_t *data;
  size_t len;
  bool submitted;       /**< a submitted job or cancellation, not progress */
  struct cyc_ref peer;  /**< VM that submitted it; generation 0: this VM */
  uint64_t received_us; /**< when it was submitted */
};

struct records_part
{
  struct entry_records *records;
  uint32_t index;
  struct tail tail;   /**< loads the part */
  bool fenced;        /**< the epoch is set: appends of earlier leaders are
                           refused */
  uint64_t fence_end; /**< end offset when the epoch was set */
  bool loaded;
  bool in_flight;
  bool maybe_stored; /**< an earlier append of these rows may have taken
                          effect */
  uint32_t failures; /**< consecutive failed appends */
  uint32_t sent;     /**< rows of the append that is in flight or repeated; 0:
                          to be chosen */
  uint32_t sent_max; /**< of the next append, after one that the log took for
                          invalid; 0: no such limit */
  uint64_t sequence;
  uint64_t begun_us; /**< start of the last append */
  uint64_t retry_us; /**< earliest time of the next append */
  GQueue removals;   /**< char *: keys to be removed with the next batch */
  uint64_t batch;    /**< progress batch of the core in the rows; 0: none */
  GPtrArray *rows;   /**< struct records_row */
};

struct entry_records
{
  struct entry_owner *owner;
  struct records_part *parts;
  uint32_t part_count;
  GQueue waiting;           /**< submitted struct records_row not assigned to a
                                 part */
  size_t waiting_bytes;     /**< of these */
  GHashTable *loaded;       /**< key to struct loaded_record; empty after the
                                 load */
  GHashTable *block_parts;  /**< key of a block to a bit set of the parts that
                                 hold it */
  uint64_t next_batch_us;   /**< earliest time of the next batch */
  uint64_t last_success_us; /**< end of the last successful append */
  uint64_t down_since_us;   /**< start of the first append that failed since
                                 then; 0 if the log is up */
  uint64_t next_probe_us;   /**< when the next submitted record tries the log
                                 during an outage */
};

void records_begin (struct entry_records *records, struct entry_owner *owner);
void records_tick (struct entry_records *records, uint64_t now_us);
/** Returns true when all parts are loaded. */
bool records_loaded (const struct entry_records *records);
/** Returns the highest revision of a loaded progress record whose job is not
 * known; 0 if there is none. */
uint64_t records_unknown_revision (const struct entry_records *records);
/** Applies the loaded progress to the jobs of the core. */
void records_restore (struct entry_records *records);
/** Stores a submitted job or cancellation. The outcome goes to
 * accept_on_stored or in a message to @p peer, at once if the log is known to
 * be down. */
void records_submit (struct entry_records *records, struct cyc_str key,
                     struct cyc_str value, struct cyc_ref peer);
/** Answers all pending records with RECORDS_UNKNOWN, as the leadership ends.
 */
void records_end (struct entry_records *records);
bool records_busy (const struct entry_records *records);
void records_shutdown (struct entry_records *records);

#endif
