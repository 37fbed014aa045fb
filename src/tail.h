/**
 * @file
 * Follows a stream of the platform's log: loads the newest record of each key
 * (keyed streams only), then reads new records with long polls. When records
 * were trimmed before they were read, a keyed stream is loaded again; other
 * streams continue at the oldest retained record.
 *
 * Order of calls: tail_setup, tail_start, tail_stop at the end; the tail must
 * stay until it is not busy. Timers and
 * answers of the log port drive the reads; there is no tick.
 *
 * @code
 * tail_setup (&tail, &(struct tail_desc){ .stream = PT_STREAM_CONFIG, ... });
 * tail_start (&tail);
 * @endcode
 *
 * Errors: no function fails. A failed read is retried with exponential
 * backoff; `fresh_us` shows how old the view is.
 */
#ifndef TAIL_H
#define TAIL_H

#include "ports.h"
#include <ev.h>

struct tail_desc
{
  struct ev_loop *loop;
  struct pt_log *log;
  enum pt_stream stream;
  uint32_t part;
  bool keyed;
  uint32_t wait_ms; /**< longest wait of a long poll */
  uint32_t gap_ms;  /**< minimum delay between two reads */
  /** An answer without records shows the stream as it was when the wait ended,
   * not only when the read was sent. */
  bool counts_wait;
  /** Called for each record, in order. */
  void (*record) (void *user, const struct pt_record *record, uint64_t offset);
  /** Called when all records that the stream held have been delivered, and
   * after each read, so that a batch of records can be handled as a whole. */
  void (*caught_up) (void *user);
  /** Called before a load: the records that follow are a complete view and
   * replace the previous one. */
  void (*reload) (void *user);
  void *user;
};

struct tail
{
  struct tail_desc desc;
  struct ev_timer timer;
  bool running;
  bool in_flight;
  bool refreshing; /**< a read of tail_refresh is in flight */
  uint64_t refresh_sent_us;
  bool loaded;
  uint64_t next; /**< offset to read from */
  uint64_t end;  /**< end of the stream, according to the last read; 0: unknown
                  */
  uint64_t load_end;       /**< end of the stream when the load started */
  struct pt_key after_key; /**< load: continue after this key; empty: from the
                               first key */
  uint64_t fresh_us;       /**< the view holds all records up to this time; 0:
                                never loaded */
  uint64_t prev_fresh_us;  /**< fresh_us before the read that delivers the
                                current records; 0: the records may be of any
                                age */
  uint32_t failures;       /**< consecutive failed reads */
  uint32_t read_max_kib;   /**< longest answer to the next read */
  uint64_t sent_us;        /**< time at which the last read was sent */
  uint32_t wait_ms;        /**< of the read in flight */
  bool confirms;     /**< the next read does not wait, as the last one brought
                          records */
  uint64_t begun_us; /**< when its answer began to arrive; 0: not yet */
  uint64_t progress_us;        /**< when bytes of an answer last arrived */
  uint64_t load_sent_us;       /**< time at which the load began */
  uint32_t load_round_trip_us; /**< from the request for the last page of a
                                    load to the first byte of the answer */
  uint64_t read_us;    /**< duration of the last read that succeeded, with the
                            wait of its long poll */
  size_t read_bytes;   /**< length of its answer */
  uint32_t read_tries; /**< 1: no read failed before it */
  uint64_t bytes;      /**< of all answers */
  uint64_t bytes_lost; /**< of answers that did not become complete */
};

void tail_setup (struct tail *tail, const struct tail_desc *desc);
void tail_start (struct tail *tail);
void tail_stop (struct tail *tail);
/** Reads the stream at once, beside a long poll in flight, so that `fresh_us`
 * soon passes the time of this call. Does nothing while such a read is in
 * flight, or before the stream is loaded. */
void tail_refresh (struct tail *tail);
/** Returns whether the stream is known to have records that have not been
 * delivered yet. */
bool tail_is_behind (const struct tail *tail);
/** Returns whether an answer is arriving. */
bool tail_is_receiving (const struct tail *tail, uint64_t now_us);
/** Returns whether a read is in flight. */
bool tail_busy (const struct tail *tail);

#endif
