/**
 * @file
 * Blocking HTTP calls for tests.
 */
#ifndef TST_HTTP_H
#define TST_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct tst_call
{
  const char *method; /**< NULL: POST when there is a body, else GET */
  const char *url;
  const char *body; /**< may be NULL */
  const char *headers[6];
  long timeout_ms; /**< 0: 2,000 */
};

struct tst_answer
{
  long status; /**< 0: no whole answer */
  bool refused_connection;
  char outcome[16];
  char *body; /**< NUL-terminated, never NULL; release with free() */
  size_t len;
};

void tst_http (const struct tst_call *call, struct tst_answer *out);
/** Status of a GET; the body is dropped. */
long tst_http_status (const char *url);
uint64_t tst_now_ms (void);
/** Sleeps for one step of a wait with a deadline. */
void tst_poll_sleep (void);

#endif
