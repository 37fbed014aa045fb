/**
 * @file
 * Follows a stream of the platform's log: loads the newest record of each key
 * (streams with keys), then reads on with long polls. Records that were
 * trimmed before they were read are loaded anew.
 *
 * @code
 * tail_setup (&tail, &(struct tail_desc){ .stream = PT_STREAM_CONFIG, ... });
 * tail_start (&tail);
 * @endcode
 *
 * Errors: a read that fails is repeated; `fresh_us` tells how old the view
 * is.
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
  uint32_t wait_ms; /**< of a long poll */
  uint32_t gap_ms;  /**< least time between two reads */
  void (*record) (void *user, const struct pt_record *record, uint64_t offset);
  /** Everything that stood in the stream was handed over; also after each
   * read, so that a batch can be acted on as a whole. */
  void (*caught_up) (void *user);
  /** The records that follow are a whole view: forget the old one. */
  void (*reload) (void *user);
  void *user;
};

struct tail
{
  struct tail_desc desc;
  struct ev_timer timer;
  bool running;
  bool in_flight;
  bool loaded;
  uint64_t next;          /**< offset to read from */
  uint64_t load_end;      /**< end of the stream when loading began */
  char after_key[80];     /**< key to go on after */
  uint64_t fresh_us;      /**< the view holds all that stood then; 0: never */
  uint64_t prev_fresh_us; /**< fresh_us before the read that brings records; 0:
                         they may be of any age */
  uint32_t failures;      /**< in a row */
  uint64_t sent_us;
  uint32_t load_round_trip_us; /**< time of the last page of a load */
};

void tail_setup (struct tail *tail, const struct tail_desc *desc);
void tail_start (struct tail *tail);
void tail_stop (struct tail *tail);

#endif
