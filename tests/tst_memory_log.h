/**
 * @file
 * The log service in memory: a store, and an implementation of `struct lc_log`
 * over it with scripted faults.
 *
 * Calls wait until tst_log_run, which answers those that are open at that
 * moment. A read with nothing to return is answered empty, as if its long poll
 * had ended.
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
  struct cyc_str *records; /**< owned; by offset */
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
  TST_DOWN,             /**< the call fails and does nothing */
  TST_REFUSED,          /**< an append is answered with a refusal */
  TST_LOST_AFTER_WRITE, /**< it takes effect, the answer is lost */
  TST_LOST_BEFORE_WRITE /**< it does not, and the answer is lost */
};

struct tst_call
{
  bool used;
  bool is_append;
  uint32_t delay; /**< runs to let pass */
  enum tst_fault fault;
  struct lc_append append;
  struct lc_read read;
  struct cyc_str record; /**< owned copy */
};

struct tst_log
{
  struct lc_log log;
  struct tst_store *store; /**< its own, or one shared by several logs */
  struct tst_store own_store;
  enum tst_fault fault;
  uint32_t fault_calls;      /**< appends that still get the fault */
  bool down;                 /**< all calls fail */
  bool reads_down;           /**< all reads fail */
  uint32_t delay;            /**< each call lets so many runs pass */
  uint32_t max_read_records; /**< reads of more records fail; 0: no limit */
  uint32_t appends;          /**< calls that were made */
  uint32_t reads;
  struct tst_call calls[TST_MAX_CALLS];
};

/** Stream by name, created at first use. */
struct tst_stream *tst_stream (struct tst_store *store, struct cyc_str name);
uint64_t tst_store_append (struct tst_store *store, struct cyc_str stream,
                           struct cyc_str record);
void tst_store_trim (struct tst_store *store, struct cyc_str stream,
                     uint64_t oldest);
void tst_store_free (struct tst_store *store);
/** Records of a read; returns how many, up to @p max. */
uint32_t tst_store_read (struct tst_store *store, struct cyc_str stream,
                         uint64_t from, uint32_t max, struct lc_record *out);

/** @p shared: store of several processes; NULL: its own. */
void tst_log_setup (struct tst_log *log, struct tst_store *shared);
void tst_log_shutdown (struct tst_log *log);
/** The next @p calls appends get @p fault. */
void tst_log_fault (struct tst_log *log, enum tst_fault fault, uint32_t calls);
void tst_log_run (struct tst_log *log);

#endif
