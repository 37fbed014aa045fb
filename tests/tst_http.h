/**
 * @file
 * Blocking HTTP calls for tests.
 */
#ifndef TST_HTTP_H
#define TST_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One HTTP request. */
struct tst_call
{
  const char *method; /**< NULL: POST with a body, GET without */
  const char *url;
  const char *body;       /**< may be NULL */
  const char *headers[6]; /**< "Name: value" lines; NULL entries are skipped */
  long timeout_ms;        /**< 0: 2,000 ms */
};

struct tst_answer
{
  long status;             /**< HTTP status; 0 without a complete answer */
  bool refused_connection; /**< the connection could not be established */
  char outcome[16];        /**< value of the Outcome header */
  char *body; /**< NUL-terminated, never NULL; release with free() */
  size_t len;
};

/** Sends a request on a connection of its own and waits for the answer. The
 * caller frees the body. */
void tst_http (const struct tst_call *call, struct tst_answer *out);
/** Returns the status of a GET; 0 without an answer within 500 ms. */
long tst_http_status (const char *url);
/** Returns the wall-clock time. */
uint64_t tst_now_ms (void);
/** Sleeps for one interval of a polling loop. */
void tst_poll_sleep (void);

#endif
