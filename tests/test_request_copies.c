/**
 * @file
 * A request whose connection ends before the answer: libcurl sends it again on
 * another connection. The server may have executed the first copy, and the
 * caller sees only what became of the second one.
 */
#include "http_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define TEST_TIMEOUT_US 3000000
#define CONNECTIONS_MAX 8

/** A server that reads requests, each in one piece. */
struct raw_server
{
  struct ev_loop *loop;
  struct ev_io listener;
  struct ev_io connections[CONNECTIONS_MAX];
  uint32_t connection_count;
  uint32_t requests; /**< received since the last reset */
  /** The next request is not answered: its connection is closed. */
  bool close_next;
  bool stop_listening; /**< together with that connection */
  const char *answer;
  char url[64];
};

static const char answer_200[]
    = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
static const char answer_409[]
    = "HTTP/1.1 409 Conflict\r\nContent-Length: 6\r\n\r\nsecond";

static void
stop_listening (struct raw_server *raw)
{
  if (!ev_is_active (&raw->listener))
    return;
  ev_io_stop (raw->loop, &raw->listener);
  close (raw->listener.fd);
}

static void
close_connection (struct raw_server *raw, struct ev_io *io)
{
  ev_io_stop (raw->loop, io);
  close (io->fd);
}

static void
on_request (struct ev_loop *loop, struct ev_io *io, int events)
{
  struct raw_server *raw = io->data;
  char request[4096];
  ssize_t len = recv (io->fd, request, sizeof request, 0);

  (void)loop;
  (void)events;
  if (len <= 0)
    {
      close_connection (raw, io);
      return;
    }
  raw->requests++;
  if (raw->close_next)
    {
      raw->close_next = false;
      if (raw->stop_listening)
        stop_listening (raw);
      close_connection (raw, io);
      return;
    }
  send (io->fd, raw->answer, strlen (raw->answer), MSG_NOSIGNAL);
}

static void
on_connection (struct ev_loop *loop, struct ev_io *listener, int events)
{
  struct raw_server *raw = listener->data;
  struct ev_io *io = &raw->connections[raw->connection_count];
  int fd = accept (listener->fd, NULL, NULL);

  (void)events;
  assert_true (fd >= 0 && raw->connection_count < CONNECTIONS_MAX);
  raw->connection_count++;
  ev_io_init (io, on_request, fd, EV_READ);
  io->data = raw;
  ev_io_start (loop, io);
}

struct recorded
{
  struct hc_result result;
  char body[16];
  bool done;
};

static void
on_done (void *user, const struct hc_result *result)
{
  struct recorded *recorded = user;

  assert_false (recorded->done);
  recorded->done = true;
  recorded->result = *result;
  snprintf (recorded->body, sizeof recorded->body, "%.*s",
            CYC_FMT (result->body));
  if (result->status == 0)
    assert_true (result->error != NULL && result->error[0] != 0);
}

struct fixture
{
  struct raw_server raw;
  struct hc_client hc;
};

static void
setup (struct fixture *f)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  struct cyc_findings findings = { 0 };
  struct raw_server *raw = &f->raw;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  memset (f, 0, sizeof *f);
  raw->loop = ev_loop_new (EVFLAG_AUTO);
  raw->answer = answer_200;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, len), 0);
  assert_int_equal (listen (fd, CONNECTIONS_MAX), 0);
  getsockname (fd, (struct sockaddr *)&address, &len);
  snprintf (raw->url, sizeof raw->url, "http://127.0.0.1:%u/x",
            ntohs (address.sin_port));
  ev_io_init (&raw->listener, on_connection, fd, EV_READ);
  raw->listener.data = raw;
  ev_io_start (raw->loop, &raw->listener);
  assert_true (
      hc_setup (&f->hc, &(struct hc_desc){ .loop = raw->loop }, &findings));
}

static void
teardown (struct fixture *f)
{
  hc_shutdown (&f->hc);
  stop_listening (&f->raw);
  for (uint32_t i = 0; i < f->raw.connection_count; i++)
    if (ev_is_active (&f->raw.connections[i]))
      close_connection (&f->raw, &f->raw.connections[i]);
  ev_loop_destroy (f->raw.loop);
}

static void
send_request (struct fixture *f, enum hc_method method, bool repeatable,
              struct recorded *recorded)
{
  memset (recorded, 0, sizeof *recorded);
  assert_int_not_equal (
      hc_send (&f->hc, &(struct hc_request){ .method = method,
                                             .url = cyc_str_of (f->raw.url),
                                             .body = CYC_STR ("order"),
                                             .deadline_us
                                             = hc_now_us () + TEST_TIMEOUT_US,
                                             .repeatable = repeatable,
                                             .done = on_done,
                                             .user = recorded })
          .generation,
      0);
}

static void
on_wake (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
}

static void
run_until_done (struct fixture *f, const struct recorded *recorded)
{
  uint64_t deadline_us = hc_now_us () + TEST_TIMEOUT_US;
  struct ev_timer wake;

  ev_timer_init (&wake, on_wake, 0.01, 0.01);
  ev_timer_start (f->raw.loop, &wake);
  while (!recorded->done && hc_now_us () < deadline_us)
    ev_run (f->raw.loop, EVRUN_ONCE);
  ev_timer_stop (f->raw.loop, &wake);
  assert_true (recorded->done);
}

/* Leaves @p count idle connections to the server. */
static void
open_connections (struct fixture *f, uint32_t count)
{
  struct recorded recorded[CONNECTIONS_MAX];

  for (uint32_t i = 0; i < count; i++)
    send_request (f, HC_POST, false, &recorded[i]);
  for (uint32_t i = 0; i < count; i++)
    {
      run_until_done (f, &recorded[i]);
      assert_int_equal (recorded[i].result.status, 200);
    }
  assert_int_equal (f->raw.connection_count, count);
  f->raw.requests = 0;
}

struct copy_case
{
  const char *description;
  enum hc_method method;
  bool repeatable;
  uint32_t connections; /**< idle ones before the request */
  bool stop_listening;
  uint32_t copies; /**< that the server may receive */
  long status;
};

static const struct copy_case copy_cases[] = {
  { "POST, then a new connection", HC_POST, false, 1, false, 1, 0 },
  { "POST, then another idle connection", HC_POST, false, 2, false, 1, 0 },
  { "POST, then nothing listens", HC_POST, false, 1, true, 1, 0 },
  { "DELETE, then a new connection", HC_DELETE, false, 1, false, 1, 0 },
  { "repeatable POST, then a new connection", HC_POST, true, 1, false, 2,
    409 },
  { "repeatable POST, then another idle connection", HC_POST, true, 2, false,
    2, 409 },
  { "repeatable POST, then nothing listens", HC_POST, true, 1, true, 1, 0 },
  { "GET, then a new connection", HC_GET, false, 1, false, 2, 409 },
  { "GET, then nothing listens", HC_GET, false, 1, true, 1, 0 },
};

/* The server read a request twice and the caller took the answer to the second
   copy, or a failed connection, for what became of the first. */
static void
request_was_written_twice (void **state)
{
  uint32_t failures = 0;

  (void)state;
  for (size_t i = 0; i < sizeof copy_cases / sizeof copy_cases[0]; i++)
    {
      const struct copy_case *row = &copy_cases[i];
      struct recorded recorded;
      struct fixture f;

      setup (&f);
      open_connections (&f, row->connections);
      f.raw.close_next = true;
      f.raw.stop_listening = row->stop_listening;
      f.raw.answer = answer_409;
      send_request (&f, row->method, row->repeatable, &recorded);
      run_until_done (&f, &recorded);
      if (f.raw.requests != row->copies
          || recorded.result.status != row->status
          || recorded.result.sent != HC_SENT_MAYBE
          || recorded.result.attempts != row->copies)
        {
          print_error ("%s: %u copies, status %ld, sent %d, attempts %u, "
                       "error \"%s\"\n",
                       row->description, f.raw.requests,
                       recorded.result.status, (int)recorded.result.sent,
                       recorded.result.attempts, recorded.result.error);
          failures++;
        }
      teardown (&f);
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (request_was_written_twice),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
