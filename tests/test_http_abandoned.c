/* A request whose call has ended while part of it waits to be sent, as behind
   a cut. Guards against a connection that is closed in such a way that the
   rest is delivered afterwards: an order to start would reach its worker when
   its run has been taken for over. */

#include "http_client.h"
#include "pf.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

/** More than the worker's receive buffer holds; the rest fits into the send
 * buffer. */
#define PAYLOAD_BYTES 16000U
#define RECEIVE_BUFFER_BYTES 1024
#define CALL_MS 200
#define READ_TIMEOUT_S 2

struct fixture
{
  struct ev_loop *loop;
  struct ent_settings settings;
  struct pf_workers workers;
  int listening;
  char address[32];
  uint32_t done;
  enum cell_start_result result;
};

static void
setup (struct fixture *f)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int buffer_bytes = RECEIVE_BUFFER_BYTES;
  struct cyc_findings findings = { 0 };
  struct pf_desc desc;

  memset (f, 0, sizeof *f);
  f->loop = ev_default_loop (0);
  f->listening = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (f->listening, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
              sizeof buffer_bytes);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  assert_int_equal (
      bind (f->listening, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (f->listening, 4), 0);
  getsockname (f->listening, (struct sockaddr *)&address, &len);
  snprintf (f->address, sizeof f->address, "127.0.0.1:%u",
            ntohs (address.sin_port));
  desc = (struct pf_desc){ .loop = f->loop, .settings = &f->settings };
  assert_true (pf_workers_setup (&f->workers, &desc, &findings));
}

static void
teardown (struct fixture *f)
{
  pf_workers_shutdown (&f->workers);
  close (f->listening);
}

static void
on_started (void *user, struct cyc_ref run, enum cell_start_result result,
            const struct pt_call_end *unanswered, const char *why)
{
  struct fixture *f = user;

  (void)run;
  (void)unanswered;
  (void)why;
  f->done++;
  f->result = result;
}

static void
run_loop (struct fixture *f, uint32_t ms)
{
  uint64_t end_us = hc_now_us () + ms * 1000ULL;

  while (hc_now_us () < end_us)
    {
      ev_run (f->loop, EVRUN_NOWAIT);
      usleep (1000);
    }
}

/* Returns how much of the order the worker receives when it reads at last. */
static size_t
read_all (const struct fixture *f)
{
  struct timeval timeout = { .tv_sec = READ_TIMEOUT_S };
  static char buffer[65536];
  size_t received = 0;
  ssize_t count;
  int fd = accept (f->listening, NULL, NULL);

  assert_true (fd >= 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  while ((count = recv (fd, buffer, sizeof buffer, 0)) > 0)
    received += (size_t)count;
  close (fd);
  return received;
}

/* The worker does not read until the call has ended: by its timeout, or as the
   start was abandoned. */
static void
test_order_that_waits_when_its_call_ends (void **state)
{
  (void)state;
  for (int abandoned = 0; abandoned < 2; abandoned++)
    {
      struct fixture f;
      char *payload = malloc (PAYLOAD_BYTES);
      struct cyc_ref run = { 1, 1 };

      memset (payload, 'x', PAYLOAD_BYTES);
      setup (&f);
      assert_true (f.workers.port.vtable->start (
          &f.workers.port,
          &(struct pt_start){
              .target = { CYC_STR ("i-1"), cyc_str_of (f.address), 1 },
              .task = CYC_STR ("0000000000000001.0.0.0"),
              .number = 1,
              .payload = { payload, PAYLOAD_BYTES },
              .lease_deadline_ms = 1000,
              .deadline_us
              = hc_now_us () + (abandoned ? 60000 : CALL_MS) * 1000ULL,
              .done = on_started,
              .user = &f,
              .run = run,
          }));
      run_loop (&f, CALL_MS / 2);
      if (abandoned)
        f.workers.port.vtable->abandon_start (&f.workers.port, &f, run);
      run_loop (&f, CALL_MS);
      assert_int_equal (f.done, 1);
      assert_int_equal (f.result, CELL_START_UNKNOWN);
      if (read_all (&f) >= PAYLOAD_BYTES)
        fail_msg ("%s: the order is delivered",
                  abandoned ? "abandoned" : "timed out");
      teardown (&f);
      free (payload);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_order_that_waits_when_its_call_ends),
  };

  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
