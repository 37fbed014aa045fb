/**
 * @file
 * Which connections of a server are ended when clients hold too many of them,
 * or too much memory for requests that they do not finish. A table of
 * connections and pure decisions: no socket, no clock.
 *
 * The load that this answers: crowds of clients that stop just short of the
 * end of a request and stay connected. Ordinary requests arrive within
 * milliseconds, so the connection that has made no progress for the longest
 * time is ended first.
 *
 * Order of calls for each connection: intake_open, then for each request
 * intake_reading (its head is complete), intake_take for what is kept of its
 * body, intake_serving (it is complete) and intake_idle (it is answered), and
 * intake_close at the end. When intake_take returns false, or
 * intake_is_crowded returns true, the row of intake_victim is to be ended; it
 * stays in the table until intake_close.
 *
 * @code
 * row = intake_open (&intake, now_us);
 * intake_reading (&intake, row, now_us);
 * while (!intake_take (&intake, row, bytes, now_us))
 *   if ((victim = intake_victim (&intake, INTAKE_READING, row)) ==
 * INTAKE_NONE) break; else intake_end (&intake, victim);
 * @endcode
 *
 * Errors: intake_open returns INTAKE_NONE if the table is full.
 */
#ifndef INTAKE_H
#define INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define INTAKE_NONE UINT32_MAX

enum intake_state
{
  INTAKE_FREE,
  INTAKE_IDLE,    /**< no request, or one whose head is not complete */
  INTAKE_READING, /**< the body of a request is being read */
  INTAKE_SERVING, /**< a request is complete and not answered yet */
  INTAKE_ENDED    /**< to be closed; holds nothing any more */
};

struct intake_row
{
  enum intake_state state;
  uint32_t prev; /**< of the same state, by progress */
  uint32_t next;
  size_t bytes;         /**< kept of the request */
  uint64_t progress_us; /**< when it last made progress */
  uint64_t deadline_us; /**< by which the request is complete, or the next one
                             has begun */
};

struct intake_desc
{
  uint32_t max_rows;        /**< size of the table */
  uint32_t max_connections; /**< beyond them, one is ended for each new one */
  size_t max_bytes;         /**< kept of unfinished requests, in all */
  uint64_t request_timeout_us; /**< from the head of a request to its end */
  uint64_t idle_timeout_us;    /**< until the head of the next request */
};

struct intake
{
  struct intake_desc desc;
  struct intake_row *rows;
  uint32_t first[INTAKE_ENDED + 1]; /**< by state: least recent progress */
  uint32_t last[INTAKE_ENDED + 1];
  uint32_t count[INTAKE_ENDED + 1];
  size_t bytes;
};

/** Returns false if out of memory. */
bool intake_setup (struct intake *intake, const struct intake_desc *desc);
void intake_shutdown (struct intake *intake);
uint32_t intake_open (struct intake *intake, uint64_t now_us);
void intake_reading (struct intake *intake, uint32_t row, uint64_t now_us);
/** Notes progress, and that @p bytes are kept of the request from now on.
 * Returns false, and changes nothing but the progress, if that would be too
 * much in all. */
bool intake_take (struct intake *intake, uint32_t row, size_t bytes,
                  uint64_t now_us);
/** The request is complete; nothing is kept of it any more. */
void intake_serving (struct intake *intake, uint32_t row, uint64_t now_us);
void intake_idle (struct intake *intake, uint32_t row, uint64_t now_us);
/** The connection is being ended; nothing is kept of its request any more. */
void intake_end (struct intake *intake, uint32_t row);
void intake_close (struct intake *intake, uint32_t row);
/** Returns whether there are more connections than there should be, without
 * those that are being ended. */
bool intake_is_crowded (const struct intake *intake);
/** Returns the connection to end: in state INTAKE_READING the one with the
 * least recent progress, in INTAKE_IDLE that of both states. Never @p but;
 * INTAKE_NONE if there is none. */
uint32_t intake_victim (const struct intake *intake, enum intake_state state,
                        uint32_t but);
/** Returns a connection whose deadline has passed, or INTAKE_NONE. */
uint32_t intake_overdue (const struct intake *intake, uint64_t now_us);

#endif
