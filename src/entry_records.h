/**
 * @file
 * What a leader keeps in the log: accepted jobs, cancellations and the
 * progress of jobs, in one stream of several parts that it alone writes.
 *
 * Every part takes one append at a time. Each batch goes to a part that is
 * idle, so that a slow log does not make records wait for each other; of
 * several progress records of a job the highest revision is the true one. A
 * part is loaded up to where it ended when it learned the leader's epoch, so
 * no record of an earlier leader can follow what was read.
 *
 * @code
 * records_begin (&records, owner);
 * records_tick (&records, now_us);        // sets the epoch, loads, writes
 * records_submit (&records, key, value, peer);
 * records_end (&records);                 // answers what still waits
 * records_shutdown (&records);            // nothing is in flight any more
 * @endcode
 */
#ifndef ENTRY_RECORDS_H
#define ENTRY_RECORDS_H

#include "entry_internal.h"

#define RECORDS_PARTS_MAX 64

struct entry_owner;

/** A record under way, with the answer that its sender waits for. */
struct records_row
{
  char key[CELL_KEY_BYTES];
  uint8_t *data;
  size_t len;
  bool submitted;       /**< a job or cancellation that somebody handed in */
  struct cyc_ref peer;  /**< who did; generation 0: this VM */
  uint64_t received_us; /**< of what was submitted */
};

struct records_part
{
  struct entry_records *records;
  uint32_t index;
  struct tail tail;   /**< loads the part */
  bool fenced;        /**< the part takes nothing of earlier leaders */
  uint64_t fence_end; /**< where it ended then */
  bool loaded;
  bool in_flight;
  bool maybe_stored; /**< an append of these rows may have taken effect */
  uint32_t failures; /**< of appends, in a row */
  uint64_t sequence;
  uint64_t begun_us; /**< of the append in flight */
  uint64_t retry_us; /**< no append before then */
  uint64_t batch;    /**< of the core; 0: its rows hold no progress */
  GPtrArray *rows;   /**< struct records_row */
};

struct entry_records
{
  struct entry_owner *owner;
  struct records_part *parts;
  uint32_t part_count;
  GQueue waiting;     /**< struct records_row that were submitted */
  GHashTable *loaded; /**< id to struct loaded_progress, until all is loaded */
  uint64_t next_batch_us;   /**< no batch is closed before then */
  uint64_t last_success_us; /**< end of the last append that succeeded */
  uint64_t down_since_us; /**< begin of the first that failed since; 0: none */
  uint64_t
      next_probe_us; /**< while down: the next record that tries the log */
};

void records_begin (struct entry_records *records, struct entry_owner *owner);
void records_tick (struct entry_records *records, uint64_t now_us);
/** All parts are loaded; false until then. */
bool records_loaded (const struct entry_records *records);
/** Applies the progress that was loaded to the jobs of the core. */
void records_restore (struct entry_records *records);
/** A job or a cancellation to be stored; answered by accept_on_stored or a
 * message to @p peer, at once when the log is known to be down. */
void records_submit (struct entry_records *records, struct cyc_str key,
                     struct cyc_str value, struct cyc_ref peer);
/** The leader ends: whoever waits is told to go elsewhere. */
void records_end (struct entry_records *records);
bool records_busy (const struct entry_records *records);
void records_shutdown (struct entry_records *records);

#endif
