/**
 * @file
 * The platform's log service: append and read, behind a vtable.
 *
 * `struct lc_log` is the first member of each implementation: the HTTP client
 * (struct lc_http) and the in-memory one that tests use. Every call ends with
 * exactly one call of its `done` function, unless the client is shut down
 * first.
 *
 * Order of calls: lc_http_setup on an HTTP client, lc_append and lc_read in
 * any order, and lc_http_shutdown before hc_shutdown. Deadlines are monotonic
 * microseconds (hc_now_us).
 *
 * @code
 * lc_http_setup (&http, &(struct lc_http_desc){ .client = &hc, .url = url },
 *                &found);
 * lc_append (&http.log, &(struct lc_append){ .stream = CYC_STR ("control"),
 *                                            .record = bytes, ... });
 * @endcode
 *
 * Errors: an append whose answer was lost reports LC_UNKNOWN; whether it took
 * effect shows only when the stream is read and the record id is found. On
 * failure lc_http_setup returns false and adds the defects to the findings.
 */
#ifndef LOG_CLIENT_H
#define LOG_CLIENT_H

#include "http_client.h"

enum lc_outcome
{
  LC_OK,
  LC_FAILED, /**< provably not appended, or nothing read */
  LC_UNKNOWN /**< append only: it may have taken effect */
};

struct lc_append_result
{
  enum lc_outcome outcome;
  uint64_t offset; /**< if outcome is LC_OK */
};

struct lc_record
{
  uint64_t offset;
  struct cyc_str data;
};

struct lc_read_result
{
  enum lc_outcome outcome;
  uint64_t oldest; /**< oldest retained offset */
  uint64_t next;   /**< offset after the newest record of the stream */
  const struct lc_record *records; /**< valid only during the call */
  uint32_t count;
};

struct lc_append
{
  struct cyc_str stream;
  struct cyc_str record; /**< copied */
  uint64_t deadline_us;
  void (*done) (void *user, const struct lc_append_result *result);
  void *user;
};

struct lc_read
{
  struct cyc_str stream;
  uint64_t from;    /**< first offset to read */
  uint32_t max;     /**< maximum number of records */
  uint32_t wait_ms; /**< long poll: longest wait for the first record */
  uint64_t deadline_us;
  uint64_t complete_by_us; /**< as in struct hc_request; 0: deadline_us */
  void (*done) (void *user, const struct lc_read_result *result);
  void *user;
};

struct lc_log;

struct lc_vtable
{
  bool (*append) (struct lc_log *log, const struct lc_append *append);
  bool (*read) (struct lc_log *log, const struct lc_read *read);
};

struct lc_log
{
  const struct lc_vtable *vtable;
};

/** Starts an append. Returns false if it was not started; `done` is then not
 * called. */
bool lc_append (struct lc_log *log, const struct lc_append *append);
/** Starts a read. Returns false if it was not started; `done` is then not
 * called. */
bool lc_read (struct lc_log *log, const struct lc_read *read);

struct lc_http_desc
{
  struct hc_client *client;
  struct cyc_str url; /**< base URL of the log service */
  uint32_t max_calls; /**< 0: 256 */
};

struct lc_http
{
  struct lc_log log;
  struct lc_http_state *state; /**< private */
};

bool lc_http_setup (struct lc_http *http, const struct lc_http_desc *desc,
                    struct cyc_findings *findings);
/** Cancels all calls without calling `done`. To be called before the HTTP
 * client is shut down. */
void lc_http_shutdown (struct lc_http *http);

#endif
