/**
 * @file
 * HTTP log service within the test process: a tst_store served by
 * src/http_server.h on a loopback port, with faults that the test sets.
 *
 * @code
 * tst_http_log_setup (&server, loop);
 * url = server.url;
 * @endcode
 */
#ifndef TST_HTTP_LOG_H
#define TST_HTTP_LOG_H

#include "http_server.h"
#include "tst_memory_log.h"

struct tst_http_log
{
  struct ev_loop *loop;
  struct hs_server server;
  struct tst_store store;
  char url[64];
  enum tst_fault fault;    /**< fault of the next append */
  bool lost_closes;        /**< with a lost answer its connection is closed */
  const char *forced_body; /**< body of every answer unless NULL */
  struct cyc_ref poll_ref; /**< open long poll; generation 0: none */
  struct cyc_name poll_stream;
  uint64_t poll_from;
  uint32_t poll_max;
  struct ev_timer poll_timer;
};

void tst_http_log_setup (struct tst_http_log *log, struct ev_loop *loop);
void tst_http_log_shutdown (struct tst_http_log *log);
/** Appends a record as another writer would, and answers the long poll. */
void tst_http_log_add (struct tst_http_log *log, struct cyc_str stream,
                       struct cyc_str record);

#endif
