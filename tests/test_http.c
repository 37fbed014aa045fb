/**
 * @file
 * The HTTP client with a server of scripted bytes and with the HTTP server: a
 * truncated answer must never count as complete, and HC_SENT_NO must be
 * reported only if no byte of the request can have been sent.
 */
#include "http_client.h"
#include "http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define TEST_TIMEOUT_US 5000000
#define SHORT_TIMEOUT_US 200000

struct recorded
{
  uint32_t calls;
  long status;
  enum hc_sent sent;
  bool timed_out;
  bool not_started;
  char body[256];
  size_t body_len;
};

static void
on_done (void *user, const struct hc_result *result)
{
  struct recorded *recorded = user;

  recorded->calls++;
  recorded->status = result->status;
  recorded->sent = result->sent;
  recorded->timed_out = result->timed_out;
  recorded->not_started = result->not_started;
  recorded->body_len = result->body.len;
  if (result->body.len > 0 && result->body.len < sizeof recorded->body)
    memcpy (recorded->body, result->body.data, result->body.len);
}

static void
on_wake (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
}

static void
run_until_called (struct ev_loop *loop, const struct recorded *recorded)
{
  uint64_t deadline_us = hc_now_us () + TEST_TIMEOUT_US;
  struct ev_timer wake;

  ev_timer_init (&wake, on_wake, 0.01, 0.01);
  ev_timer_start (loop, &wake);
  while (recorded->calls == 0 && hc_now_us () < deadline_us)
    ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &wake);
  assert_int_equal (recorded->calls, 1);
}

static int
listen_any (uint16_t *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (fd, 8), 0);
  getsockname (fd, (struct sockaddr *)&address, &len);
  *port = ntohs (address.sin_port);
  return fd;
}

struct raw_server
{
  struct ev_io io;
  const char *answer; /* NULL: sends nothing */
};

static void
on_raw_accept (struct ev_loop *loop, struct ev_io *io, int events)
{
  struct raw_server *raw = io->data;
  char discarded[4096];
  int fd = accept (io->fd, NULL, NULL);

  (void)loop;
  (void)events;
  if (fd < 0)
    return;
  if (raw->answer == NULL)
    return; /* keeps the connection open until the program ends */
  if (recv (fd, discarded, sizeof discarded, 0) > 0)
    send (fd, raw->answer, strlen (raw->answer), MSG_NOSIGNAL);
  close (fd);
}

struct raw_case
{
  const char *name;
  bool listening;
  const char *answer;
  long status;
  enum hc_sent sent;
  bool timed_out;
};

static const struct raw_case raw_cases[] = {
  { "no listener", false, NULL, 0, HC_SENT_NO, false },
  { "no answer to the request", true, NULL, 0, HC_SENT_MAYBE, true },
  { "closed without an answer", true, "", 0, HC_SENT_MAYBE, false },
  { "truncated answer", true,
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", 0, HC_SENT_MAYBE,
    false },
  { "truncated chunked answer", true,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", 0,
    HC_SENT_MAYBE, false },
  { "truncated headers", true, "HTTP/1.1 200 OK\r\nConte", 0, HC_SENT_MAYBE,
    false },
  { "body delimited by the end of the connection", true,
    "HTTP/1.1 200 OK\r\n\r\nmaybe half", 0, HC_SENT_MAYBE, false },
  { "complete answer", true,
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull", 200, HC_SENT_MAYBE,
    false },
};

static void
run_raw_case (const struct raw_case *item, struct recorded *recorded)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct cyc_findings found = { 0 };
  struct hc_client hc;
  struct raw_server raw = { .answer = item->answer };
  uint16_t port;
  int fd = listen_any (&port);
  char url[64];

  assert_true (hc_setup (&hc, &(struct hc_desc){ .loop = loop }, &found));
  if (!item->listening)
    close (fd);
  else
    {
      ev_io_init (&raw.io, on_raw_accept, fd, EV_READ);
      raw.io.data = &raw;
      ev_io_start (loop, &raw.io);
    }
  snprintf (url, sizeof url, "http://127.0.0.1:%u/x", port);
  hc_send (&hc, &(struct hc_request){ .method = HC_POST,
                                      .url = cyc_str_of (url),
                                      .body = CYC_STR ("payload"),
                                      .deadline_us
                                      = hc_now_us () + SHORT_TIMEOUT_US,
                                      .fresh_connection = true,
                                      .done = on_done,
                                      .user = recorded });
  run_until_called (loop, recorded);
  hc_shutdown (&hc);
  if (item->listening)
    close (fd);
  ev_loop_destroy (loop);
}

static void
partial_answers_are_errors_and_possible_sends_are_reported (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof raw_cases / sizeof raw_cases[0]; i++)
    {
      struct recorded recorded = { 0 };

      print_message ("case: %s\n", raw_cases[i].name);
      run_raw_case (&raw_cases[i], &recorded);
      assert_int_equal (recorded.status, raw_cases[i].status);
      assert_int_equal (recorded.sent, raw_cases[i].sent);
      assert_int_equal (recorded.timed_out, raw_cases[i].timed_out);
    }
}

/* A request that waited for one of the limited connections to its host ended
   only when one was free, however long after its deadline. */
static void
waiting_request_outlived_its_deadline (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct cyc_findings found = { 0 };
  struct hc_client hc;
  struct raw_server raw = { 0 };
  struct recorded first = { 0 };
  struct recorded second = { 0 };
  struct hc_request request
      = { .method = HC_POST, .body = CYC_STR ("payload"), .done = on_done };
  uint64_t sent_us = hc_now_us ();
  uint16_t port;
  int fd = listen_any (&port);
  char url[64];

  (void)state;
  assert_true (hc_setup (
      &hc, &(struct hc_desc){ .loop = loop, .max_connections_per_host = 1 },
      &found));
  ev_io_init (&raw.io, on_raw_accept, fd, EV_READ);
  raw.io.data = &raw;
  ev_io_start (loop, &raw.io);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/x", port);
  request.url = cyc_str_of (url);
  request.deadline_us = sent_us + TEST_TIMEOUT_US / 2;
  request.user = &first;
  assert_int_not_equal (hc_send (&hc, &request).generation, 0);
  request.deadline_us = sent_us + SHORT_TIMEOUT_US;
  request.user = &second;
  assert_int_not_equal (hc_send (&hc, &request).generation, 0);
  run_until_called (loop, &second);
  print_message ("ended %u ms after the deadline\n",
                 (unsigned)((hc_now_us () - request.deadline_us) / 1000));
  assert_true (second.timed_out);
  assert_int_equal (second.status, 0);
  assert_int_equal (second.sent, HC_SENT_NO);
  assert_int_equal (first.calls, 0);
  hc_shutdown (&hc);
  close (fd);
  ev_loop_destroy (loop);
}

struct pair
{
  struct ev_loop *loop;
  struct hs_server hs;
  struct hc_client hc;
  struct cyc_ref deferred_call;
  uint32_t handled;
  uint32_t gone;
  bool defer_reply;
  char method[8]; /* of the last call */
  char url[64];
};

static void
reply_with_body (struct pair *pair, struct cyc_ref ref, struct cyc_str body)
{
  struct hs_reply reply = { .status = 200, .body = body, .header_count = 1 };

  reply.headers[0].name = "Not-Started";
  snprintf (reply.headers[0].value, sizeof reply.headers[0].value, "1");
  assert_true (hs_reply (&pair->hs, ref, &reply));
}

static void
on_call (void *user, const struct hs_call *call)
{
  struct pair *pair = user;

  pair->handled++;
  snprintf (pair->method, sizeof pair->method, "%.*s", CYC_FMT (call->method));
  pair->deferred_call = call->ref;
  if (!pair->defer_reply)
    reply_with_body (pair, call->ref, call->body);
}

static void
on_gone (void *user, struct cyc_ref ref)
{
  struct pair *pair = user;

  (void)ref;
  pair->gone++;
}

static void
pair_start (struct pair *pair)
{
  struct cyc_findings found = { 0 };
  uint16_t port;

  memset (pair, 0, sizeof *pair);
  close (listen_any (&port));
  pair->loop = ev_loop_new (EVFLAG_AUTO);
  assert_true (hs_setup (&pair->hs,
                         &(struct hs_desc){ .loop = pair->loop,
                                            .address = "127.0.0.1",
                                            .port = port,
                                            .max_body_bytes = 64,
                                            .handle = on_call,
                                            .gone = on_gone,
                                            .user = pair },
                         &found));
  assert_true (
      hc_setup (&pair->hc, &(struct hc_desc){ .loop = pair->loop }, &found));
  snprintf (pair->url, sizeof pair->url, "http://127.0.0.1:%u/x", port);
}

static void
pair_stop (struct pair *pair)
{
  hc_shutdown (&pair->hc);
  hs_shutdown (&pair->hs);
  ev_loop_destroy (pair->loop);
}

static void
pair_send (struct pair *pair, struct cyc_str body, uint64_t limit_us,
           struct recorded *recorded)
{
  hc_send (&pair->hc,
           &(struct hc_request){ .method = HC_POST,
                                 .url = cyc_str_of (pair->url),
                                 .body = body,
                                 .deadline_us = hc_now_us () + limit_us,
                                 .done = on_done,
                                 .user = recorded });
}

/* Guards against a handler that gets a body over the limit, and against
   refusing a body of exactly the limit. */
static void
body_over_the_limit_never_reaches_the_handler (void **state)
{
  struct pair pair;
  struct recorded recorded = { 0 };
  char body[65];

  (void)state;
  memset (body, 'x', sizeof body);
  pair_start (&pair);
  pair_send (&pair, (struct cyc_str){ body, sizeof body }, TEST_TIMEOUT_US,
             &recorded);
  run_until_called (pair.loop, &recorded);
  assert_int_equal (recorded.status, 413);
  assert_int_equal (pair.handled, 0);
  memset (&recorded, 0, sizeof recorded);
  pair_send (&pair, (struct cyc_str){ body, 64 }, TEST_TIMEOUT_US, &recorded);
  run_until_called (pair.loop, &recorded);
  assert_int_equal (recorded.status, 200);
  assert_int_equal (recorded.body_len, 64);
  assert_true (recorded.not_started);
  pair_stop (&pair);
}

/* The requests of one place in the pool share a handle. Guards against a
   request that keeps the method, the body, the headers or the connection rule
   of an earlier one. */
static void
requests_of_one_place_share_nothing (void **state)
{
  static const struct
  {
    enum hc_method method;
    const char *name;
    const char *body;
    uint32_t header_count;
    bool fresh;
  } rows[] = {
    { HC_POST, "POST", "a longer body", 2, false },
    { HC_GET, "GET", "", 0, false },
    { HC_DELETE, "DELETE", "", 1, true },
    { HC_POST, "POST", "short", 0, false },
    { HC_GET, "GET", "", 2, true },
    { HC_POST, "POST", "", 1, false },
  };
  struct pair pair;

  (void)state;
  pair_start (&pair);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct recorded recorded = { 0 };
      struct cyc_ref ref = hc_send (
          &pair.hc, &(struct hc_request){
                        .method = rows[i].method,
                        .url = cyc_str_of (pair.url),
                        .body = cyc_str_of (rows[i].body),
                        .headers = { CYC_STR ("A: 1"), CYC_STR ("B: 2") },
                        .header_count = rows[i].header_count,
                        .fresh_connection = rows[i].fresh,
                        .deadline_us = hc_now_us () + TEST_TIMEOUT_US,
                        .done = on_done,
                        .user = &recorded });

      assert_int_equal (ref.index, 0);
      run_until_called (pair.loop, &recorded);
      assert_int_equal (recorded.status, 200);
      assert_string_equal (pair.method, rows[i].name);
      assert_int_equal (recorded.body_len, strlen (rows[i].body));
      assert_memory_equal (recorded.body, rows[i].body, recorded.body_len);
    }
  assert_int_equal (pair.handled, sizeof rows / sizeof rows[0]);
  pair_stop (&pair);
}

/* Guards against a reply that reaches another call because a later call was
   answered first. */
static void
late_reply_reaches_its_own_call (void **state)
{
  struct pair pair;
  struct recorded first = { 0 };
  struct recorded second = { 0 };
  uint64_t deadline_us = hc_now_us () + TEST_TIMEOUT_US;

  (void)state;
  pair_start (&pair);
  pair.defer_reply = true;
  pair_send (&pair, CYC_STR ("one"), TEST_TIMEOUT_US, &first);
  while (pair.handled == 0 && hc_now_us () < deadline_us)
    ev_run (pair.loop, EVRUN_ONCE);
  pair.defer_reply = false;
  struct cyc_ref deferred_call = pair.deferred_call;
  pair_send (&pair, CYC_STR ("two"), TEST_TIMEOUT_US, &second);
  run_until_called (pair.loop, &second);
  assert_int_equal (first.calls, 0);
  reply_with_body (&pair, deferred_call, CYC_STR ("late"));
  run_until_called (pair.loop, &first);
  assert_memory_equal (second.body, "two", 3);
  assert_memory_equal (first.body, "late", 4);
  pair_stop (&pair);
}

/* Guards against a reply that uses a call whose caller has already
   disconnected. */
static void
reply_to_a_disconnected_caller_is_dropped (void **state)
{
  struct pair pair;
  struct recorded recorded = { 0 };
  uint64_t deadline_us = hc_now_us () + TEST_TIMEOUT_US;
  struct hs_reply reply = { .status = 200 };

  (void)state;
  pair_start (&pair);
  pair.defer_reply = true;
  pair_send (&pair, CYC_STR ("one"), SHORT_TIMEOUT_US, &recorded);
  run_until_called (pair.loop, &recorded);
  assert_true (recorded.timed_out);
  assert_int_equal (pair.handled, 1);
  hs_reply (&pair.hs, pair.deferred_call, &reply);
  while (cyc_pool_live (&pair.hs.pool, pair.deferred_call)
         && hc_now_us () < deadline_us)
    ev_run (pair.loop, EVRUN_ONCE);
  assert_false (hs_reply (&pair.hs, pair.deferred_call, &reply));
  pair_stop (&pair);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (
        partial_answers_are_errors_and_possible_sends_are_reported),
    cmocka_unit_test (waiting_request_outlived_its_deadline),
    cmocka_unit_test (body_over_the_limit_never_reaches_the_handler),
    cmocka_unit_test (requests_of_one_place_share_nothing),
    cmocka_unit_test (late_reply_reaches_its_own_call),
    cmocka_unit_test (reply_to_a_disconnected_caller_is_dropped),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
