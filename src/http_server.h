/**
 * @file
 * HTTP server: libmicrohttpd on a libev loop.
 *
 * The body of each request is read completely, up to a limit, before the
 * handler is called. The handler answers with hs_reply at once or later; until
 * then the connection is suspended. `struct hs_call` is valid only during the
 * handler.
 *
 * Order of calls: hs_setup, one hs_reply for each call; for a planned stop
 * hs_stop_listening, and hs_shutdown at the end.
 *
 * @code
 * hs_setup (&hs, &(struct hs_desc){ .loop = loop, .address = "127.0.0.1",
 *                                   .port = 8080, .handle = on_call,
 *                                   .user = this }, &found);
 * hs_reply (&hs, call->ref, &(struct hs_reply){ .status = 200, .body = b });
 * @endcode
 *
 * Errors: a request whose body exceeds the limit is answered with status 413
 * and outcome "not-run" and does not reach the handler, at its head if it
 * announces the length; one that goes on far beyond the limit is closed.
 * Neither does a request beyond `max_calls`, which is answered with status
 * 503. An incomplete body ends the connection.
 *
 * What clients hold is bounded: beyond `max_connections` and
 * `max_memory_bytes` the connections with the least recent progress are closed
 * whose request is not complete; see intake.h. No request that has reached the
 * handler is.
 */
#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "intake.h"

#include <cyclamendrum/base.h>
#include <ev.h>
#include <microhttpd.h>

#define HS_MAX_REPLY_HEADERS 6

struct hs_call
{
  struct cyc_ref ref;
  struct cyc_str method;
  struct cyc_str path;
  struct cyc_str body;
  struct MHD_Connection *connection; /**< for hs_header and hs_query */
};

struct hs_reply_header
{
  const char *name;
  char value[128];
};

struct hs_reply
{
  uint32_t status;
  struct cyc_str body;      /**< copied */
  const char *content_type; /**< NULL: text/plain */
  struct hs_reply_header headers[HS_MAX_REPLY_HEADERS];
  uint32_t header_count;
  bool close; /**< Connection: close */
};

struct hs_desc
{
  struct ev_loop *loop;
  const char *address; /**< numeric IPv4 address */
  uint16_t port;
  uint32_t max_calls;          /**< open calls; 0: 4,096 */
  uint32_t max_body_bytes;     /**< 0: 1 MiB */
  uint32_t idle_timeout_s;     /**< of a connection; 0: 120 */
  uint32_t max_connections;    /**< 0: twice max_calls */
  uint32_t request_timeout_ms; /**< from the head of a request to the end of
                                    its body; 0: 30,000 */
  size_t max_memory_bytes; /**< kept of bodies that are not complete; 0: 64 MiB
                            */
  void (*handle) (void *user, const struct hs_call *call);
  /** Called when the connection closes before hs_reply; may be NULL. */
  void (*gone) (void *user, struct cyc_ref ref);
  void *user;
};

/** Why a connection was ended, or a request refused, before the handler. */
enum hs_ended
{
  HS_ENDED_MEMORY,
  HS_ENDED_CROWDED,
  HS_ENDED_OVERDUE,
  HS_ENDED_TOO_LONG,
  HS_ENDED_COUNT
};

struct hs_conn;

struct hs_server
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  struct ev_io io;
  struct ev_timer timer;
  struct ev_prepare prepare;
  uint16_t port;
  struct intake intake;
  struct hs_conn *conns; /**< by row of the intake */
  uint32_t *calls;       /**< row of each call that has reached the handler */
  struct cyc_pool pool;  /**< of these calls */
  uint64_t ended[HS_ENDED_COUNT];
  uint64_t ended_logged; /**< sum of them at the last log line */
  uint64_t next_sweep_us;
  uint32_t open_max; /**< most connections at a time */
  uint32_t max_body_bytes;
  void (*handle) (void *user, const struct hs_call *call);
  void (*gone) (void *user, struct cyc_ref ref);
  void *user;
  bool run_pending; /**< a reply to a suspended call waits for MHD_run */
  uint64_t bytes_in;
  uint64_t bytes_out;
};

/** Starts listening. Returns false and adds a finding if @p desc is
 * incomplete, memory is exhausted or the address is not available. */
bool hs_setup (struct hs_server *hs, const struct hs_desc *desc,
               struct cyc_findings *findings);
/** Closes the listening socket; open calls can still be answered. */
void hs_stop_listening (struct hs_server *hs);
/** Closes all connections; open calls are dropped without calling `gone`. */
void hs_shutdown (struct hs_server *hs);
/** Returns the number of connections. */
uint32_t hs_open_connections (const struct hs_server *hs);
/** Answers a call, at most once. Returns false and drops the reply if the call
 * has ended or memory is exhausted. */
bool hs_reply (struct hs_server *hs, struct cyc_ref ref,
               const struct hs_reply *reply);
/** Returns the value of a request header, empty if absent. Only valid in the
 * handler. */
struct cyc_str hs_header (const struct hs_call *call, const char *name);
/** Returns the value of a query argument, empty if absent. Only valid in the
 * handler. */
struct cyc_str hs_query (const struct hs_call *call, const char *name);

#endif
