/**
 * @file
 * HTTP client: libcurl multi driven by a libev loop.
 *
 * Set a client up on a loop and send requests; each ends with exactly one call
 * of its `done` function, unless the client is shut down first. Results live
 * only during that call.
 *
 * @code
 * hc_setup (&hc, &(struct hc_desc){ .loop = loop }, &found);
 * hc_send (&hc, &(struct hc_request){ .method = HC_GET, .url = url,
 *                                     .deadline_us = now_us + 2000000,
 *                                     .done = on_answer, .user = this });
 * @endcode
 *
 * Errors: `status` is 0 when no whole answer was received; `sent` then tells
 * whether the server may have seen any byte of the request.
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
  HC_SENT_NO,   /**< provably no byte of the request left */
  HC_SENT_MAYBE /**< the server may have seen the request */
};

#define HC_MAX_HEADER_BYTES 200
#define HC_MAX_HEADERS 8

struct hc_result
{
  long status; /**< HTTP status; 0: no whole answer */
  enum hc_sent sent;
  bool timed_out;
  bool connected; /**< a connection to the server existed or was made */
  struct cyc_str body;
  bool not_started;       /**< header Not-Started: 1 */
  bool draining;          /**< header Draining: 1 */
  struct cyc_str outcome; /**< header Outcome, empty when absent */
  const char *error;      /**< text when status is 0, else "" */
};

struct hc_request
{
  enum hc_method method;
  struct cyc_str url;
  struct cyc_str body;                    /**< copied */
  struct cyc_str headers[HC_MAX_HEADERS]; /**< "Name: value", copied */
  uint32_t header_count;
  uint64_t deadline_us; /**< of the whole exchange, monotonic */
  /** Opens a new connection: libcurl may send a request a second time on a
   * reused connection that turns out to be dead, which a request that may not
   * be repeated must never suffer. */
  bool fresh_connection;
  void (*done) (void *user, const struct hc_result *result);
  void *user;
};

struct hc_desc
{
  struct ev_loop *loop;
  uint32_t max_requests;       /**< in flight; 0: 4,096 */
  uint32_t max_answer_bytes;   /**< 0: 8 MiB; a longer answer is an error */
  uint32_t connect_timeout_ms; /**< time limit of a connect; 0: 1,000 */
  uint32_t max_connections_per_host; /**< connections; 0: no limit */
  uint32_t
      max_idle_connections; /**< idle connections; 0: four for each open
                   request, which closes them when a burst of requests ends */
};

struct hc_transfer;

struct hc_client
{
  struct ev_loop *loop;
  CURLM *multi;
  struct ev_timer timer;
  struct hc_transfer *transfers; /**< fixed pool */
  struct cyc_pool pool;
  uint32_t max_answer_bytes;
  uint32_t connect_timeout_ms;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

bool hc_setup (struct hc_client *hc, const struct hc_desc *desc,
               struct cyc_findings *findings);
/** Ends all transfers without calling `done`. */
void hc_shutdown (struct hc_client *hc);
/** Generation 0 in the result: the pool is full and nothing was sent. */
struct cyc_ref hc_send (struct hc_client *hc,
                        const struct hc_request *request);
/** Ends a transfer without calling `done`; a stale reference is ignored. */
void hc_cancel (struct hc_client *hc, struct cyc_ref ref);

/** Monotonic time in microseconds: the only clock that deadlines use. */
uint64_t hc_now_us (void);
/** Wall clock in Unix milliseconds, for instants on the wire. */
uint64_t hc_wall_ms (void);
/** Converts a wall-clock instant from the wire to a monotonic deadline. */
uint64_t hc_deadline_us (uint64_t wall_ms);
/** Converts a monotonic deadline to a wall-clock instant for the wire. */
uint64_t hc_deadline_ms (uint64_t deadline_us);

#endif
