/**
 * @file
 * HTTP client: the libcurl multi interface on a libev loop.
 *
 * Order of calls: hc_setup, hc_send and hc_cancel in any order, hc_shutdown at
 * the end. Each request ends with exactly one call of its `done` callback,
 * unless it is cancelled or the client is shut down first. Results are valid
 * only during that callback.
 *
 * @code
 * hc_setup (&hc, &(struct hc_desc){ .loop = loop }, &found);
 * hc_send (&hc, &(struct hc_request){ .method = HC_GET, .url = url,
 *                                     .deadline_us = now_us + 2000000,
 *                                     .done = on_answer, .user = this });
 * @endcode
 *
 * Errors: `status` is 0 if no complete answer was received; `sent` then tells
 * whether any byte of the request may have reached the server.
 *
 * Copies: a POST or DELETE is written at most once, unless the request is
 * declared repeatable. If its connection ends before the answer, it fails with
 * status 0 and HC_SENT_MAYBE. A result therefore speaks for the only copy that
 * the server can have. A GET and a repeatable request may be written again on
 * another connection; `status` is then the answer to the last copy, and an
 * earlier one may have been executed or may still be. `broken_us` tells when
 * the connection of the first one ended.
 */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <cyclamendrum/base.h>
#include <curl/curl.h>
#include <ev.h>

enum hc_method
{
  HC_GET,
  HC_POST,
  HC_DELETE
};

enum hc_sent
{
  HC_SENT_NO,   /**< certainly no byte of the request was sent: no attempt to
                     write it was begun on any connection */
  HC_SENT_MAYBE /**< the server may have received the request */
};

#define HC_MAX_HEADER_BYTES 320
#define HC_MAX_HEADERS 8

struct hc_result
{
  long status; /**< HTTP status; 0 if no complete answer arrived */
  enum hc_sent sent;
  bool timed_out;
  bool refused;        /**< nothing listens at the address */
  uint32_t attempts;   /**< copies of the request that the server may have */
  uint64_t broken_us;  /**< when the connection of a copy first ended before
                            the answer; 0 if none did */
  bool new_connection; /**< a connection was established for the request */
  uint16_t local_port; /**< of the last connection; 0 if unknown */
  struct cyc_str body;
  bool not_started;       /**< header Not-Started: 1 */
  bool draining;          /**< header Draining: 1 */
  struct cyc_str outcome; /**< header Outcome; empty if absent */
  const char *error;      /**< reason if status is 0, else "" */
};

struct hc_request
{
  enum hc_method method;
  struct cyc_str url;
  struct cyc_str body;                    /**< copied */
  struct cyc_str headers[HC_MAX_HEADERS]; /**< "Name: value", copied */
  uint32_t header_count;
  uint64_t deadline_us; /**< monotonic; ends the exchange, unless
                             complete_by_us is later */
  /** An exchange whose bodies have begun to move by deadline_us may take until
   * then while it makes progress: HC_PROGRESS_BYTES in each HC_STALL_MS. 0:
   * no. For bodies whose length grows with the deployment. */
  uint64_t complete_by_us;
  /** Called when bytes of the answer's body arrive, and when bytes of a long
   * request are sent; may be NULL. */
  void (*progress) (void *user);
  /** The request may be written again if its connection ends before the
   * answer, though the server may then execute it more than once, in any order
   * and late. Always so for a GET. */
  bool repeatable;
  uint64_t write_until_us; /**< monotonic; a request that has not got its
                              connection by then is not written, and fails with
                              HC_SENT_NO; 0: only the deadline counts */
  /** Uses a new connection for the request and closes it afterwards, as a
   * reused one may turn out to be dead when the request has been written. */
  bool fresh_connection;
  void (*done) (void *user, const struct hc_result *result);
  void *user;
};

struct hc_desc
{
  struct ev_loop *loop;
  uint32_t max_requests;       /**< open requests; 0: 4,096 */
  uint32_t max_answer_bytes;   /**< a longer body is an error; 0: 8 MiB */
  uint32_t connect_timeout_ms; /**< 0: 1,000 */
  uint32_t max_connections_per_host; /**< 0: no limit */
  /** 0 selects the default of libcurl: four for each open request, so that it
   * closes idle connections when a burst of requests ends. */
  uint32_t max_idle_connections;
  /** Parts into which the connections are divided by server; 0: one; at most
   * HC_MAX_SHARDS. libcurl goes through all connections of a part now and then
   * while it handles a request, which is dear with thousands of them. */
  uint32_t shards;
  /** Closes connections with a reset: what a request that has ended has
   * written and the network has not taken yet is dropped. Else it is delivered
   * after the end of the request, minutes later if the path was cut meanwhile.
   */
  bool reset_on_close;
};

#define HC_MAX_SHARDS 32
#define HC_STALL_MS 1500
#define HC_PROGRESS_BYTES 4096

struct hc_client;

/** The connections to some of the servers. */
struct hc_shard
{
  struct hc_client *client;
  CURLM *multi; /**< NULL until the shard is used */
  struct ev_timer timer;
};

struct hc_transfer;

struct hc_client
{
  struct ev_loop *loop;
  struct hc_shard shards[HC_MAX_SHARDS];
  uint32_t shard_count;
  uint32_t max_connections_per_host;
  uint32_t max_idle_connections; /**< of one shard */
  struct hc_transfer *transfers; /**< fixed pool */
  struct cyc_pool pool;
  uint32_t max_answer_bytes;
  uint32_t connect_timeout_ms;
  bool reset_on_close;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

/** Returns false and adds a finding if the loop is missing or memory is
 * exhausted. */
bool hc_setup (struct hc_client *hc, const struct hc_desc *desc,
               struct cyc_findings *findings);
/** Changes desc.max_connections_per_host. */
void hc_limit_connections (struct hc_client *hc, uint32_t max_per_host);
/** Ends all requests without calling `done`. */
void hc_shutdown (struct hc_client *hc);
/** Starts a request. Returns generation 0, with nothing sent and `done` not
 * called, if the pool is full, the URL or a header is too long or libcurl
 * fails. */
struct cyc_ref hc_send (struct hc_client *hc,
                        const struct hc_request *request);
/** Ends a request without calling `done`; a stale reference is ignored. */
void hc_cancel (struct hc_client *hc, struct cyc_ref ref);

/** Returns the monotonic time in microseconds, the clock of all deadlines. It
 * includes the time for which the VM was suspended. */
uint64_t hc_now_us (void);
/** Returns the wall-clock time in Unix milliseconds, for times in messages. */
uint64_t hc_wall_ms (void);
/** Converts a wall-clock time from a message to a monotonic deadline. */
uint64_t hc_deadline_us (uint64_t wall_ms);
/** Converts a monotonic deadline to a wall-clock time for a message. */
uint64_t hc_deadline_ms (uint64_t deadline_us);

#endif
