/* Log events: logging does not block, the rate limit holds, and dropped lines
   are reported. */

#include "log_event.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define MAX_LINES_PER_S 50
#define PIPE_CAPACITY_BYTES 65536

static struct ev_sink sink;

static void
setup (int fd)
{
  struct ev_desc desc = { .role = CYC_STR ("test"),
                          .lowest_level = G_LOG_LEVEL_INFO,
                          .fd = fd,
                          .max_lines_per_s = MAX_LINES_PER_S };

  /* GLib accepts a log writer only once per process. */
  cyc_name_set (&desc.vm, CYC_STR ("vm"));
  if (sink.fd == 0)
    ev_setup (&sink, &desc);
  sink.fd = fd;
  sink.credit = 0;
  sink.credit_updated_us = 0;
  sink.dropped = 0;
}

static uint32_t
count_occurrences (const char *text, const char *pattern)
{
  uint32_t found = 0;

  for (const char *at = strstr (text, pattern); at != NULL;
       at = strstr (at + 1, pattern))
    found++;
  return found;
}

/* Guards against logs that grow with the load: INFO lines above the rate limit
   must be dropped and counted, and lines of other levels must be written. */
static void
test_rate_limit (void **state)
{
  char *text = calloc (1, PIPE_CAPACITY_BYTES + 1);
  int pipe_fds[2];

  (void)state;
  assert_int_equal (pipe (pipe_fds), 0);
  setup (pipe_fds[1]);
  for (int i = 0; i < 3 * MAX_LINES_PER_S; i++)
    ev_log (EV_RUN_START, "task=%d", i);
  ev_log (EV_STOPPED, "open_calls=0");
  assert_true (read (pipe_fds[0], text, PIPE_CAPACITY_BYTES) > 0);
  assert_in_range (count_occurrences (text, "event=run_start"),
                   2 * MAX_LINES_PER_S - 1, 2 * MAX_LINES_PER_S + 5);
  assert_int_equal (count_occurrences (text, "event=stopped"), 1);
  assert_int_equal (count_occurrences (text, "event=lines_dropped"), 1);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
  free (text);
}

/* Guards against a process that blocks because the reader of its log does not
   read: lines that do not fit into the pipe must be dropped and counted. */
static void
test_full_pipe (void **state)
{
  char *text = calloc (1, PIPE_CAPACITY_BYTES + 1);
  int pipe_fds[2];
  ssize_t got;

  (void)state;
  assert_int_equal (pipe (pipe_fds), 0);
  setup (pipe_fds[1]);
  for (int i = 0; i < 5000; i++)
    ev_log (EV_LEAD_SEEN, "leader=%d", i);
  assert_true (sink.dropped > 0);
  got = read (pipe_fds[0], text, PIPE_CAPACITY_BYTES);
  assert_true (got > 0);
  ev_log (EV_STOPPED, "open_calls=0");
  memset (text, 0, PIPE_CAPACITY_BYTES);
  for (int i = 0; i < 4 && strstr (text, "event=stopped") == NULL; i++)
    assert_true (read (pipe_fds[0], text, PIPE_CAPACITY_BYTES) > 0);
  assert_non_null (strstr (text, "event=lines_dropped"));
  close (pipe_fds[0]);
  close (pipe_fds[1]);
  free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rate_limit),
    cmocka_unit_test (test_full_pipe),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
