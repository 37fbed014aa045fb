/**
 * @file
 * In-memory log service: a store, and an implementation of `struct lc_log`
 * on top of it with faults that the test sets.
 *
 * Calls stay open until tst_log_run, which answers those that are open when it
 * is called. A read without records is answered with an empty list, as if its
 * long poll had timed out.
 *
 * @code
 * tst_log_setup (&log, NULL);
 * tst_log_fault (&log, TST_LOST_AFTER_WRITE, 1);
 * lc_append (&log.log, &append);
 * tst_log_run (&log);
 * @endcode
 */
#ifndef TST_MEMORY_LOG_H
#define TST_MEMORY_LOG_H

#include "log_client.h"

#define TST_MAX_STREAMS 4
#define TST_MAX_CALLS 256

struct tst_stream
{
  char name[64];
  struct cyc_str *records; /**< owned; indexed by offset */
  uint64_t next;
  uint64_t oldest;
};

struct tst_store
{
  struct tst_stream streams[TST_MAX_STREAMS];
};

enum tst_fault
{
  TST_NO_FAULT = 0,
  TST_DOWN,             /**< the call fails without effect */
  TST_REFUSED,          /**< the append is refused */
  TST_LOST_AFTER_WRITE, /**< the record is stored, the answer lost */
  TST_LOST_BEFORE_WRITE /**< record and answer are lost */
};

struct tst_call
{
  bool used;
  bool is_append;
  uint32_t delay; /**< calls of tst_log_run before it is answered */
  enum tst_fault fault;
  struct lc_append append;
  struct lc_read read;
  struct cyc_str record; /**< owned copy */
};

struct tst_log
{
  struct lc_log log;
  struct tst_store *store; /**< own_store, or one shared by several logs */
  struct tst_store own_store;
  enum tst_fault fault;
  uint32_t fault_calls;      /**< number of next appends that get the fault */
  bool down;                 /**< all calls fail */
  bool reads_down;           /**< all reads fail */
  uint32_t delay;            /**< initial `delay` of each call */
  uint32_t max_read_records; /**< larger reads fail; 0: no limit */
  uint32_t appends;          /**< number of calls, also of those not begun */
  uint32_t reads;
  struct tst_call calls[TST_MAX_CALLS];
};

/** Returns the stream @p name; creates it at its first use. */
struct tst_stream *tst_stream (struct tst_store *store, struct cyc_str name);
/** Appends a copy of @p record and returns its offset. */
uint64_t tst_store_append (struct tst_store *store, struct cyc_str stream,
                           struct cyc_str record);
/** Makes @p oldest the first offset that can be read. */
void tst_store_trim (struct tst_store *store, struct cyc_str stream,
                     uint64_t oldest);
void tst_store_free (struct tst_store *store);
/** Writes up to @p max records from offset @p from on to @p out; returns their
 * number. */
uint32_t tst_store_read (struct tst_store *store, struct cyc_str stream,
                         uint64_t from, uint32_t max, struct lc_record *out);

/** Sets up a log on the store @p shared, which several logs may use, or on its
 * own store if NULL. */
void tst_log_setup (struct tst_log *log, struct tst_store *shared);
void tst_log_shutdown (struct tst_log *log);
/** Applies @p fault to the next @p calls appends. */
void tst_log_fault (struct tst_log *log, enum tst_fault fault, uint32_t calls);
/** Answers the open calls whose delay has passed. */
void tst_log_run (struct tst_log *log);

#endif
