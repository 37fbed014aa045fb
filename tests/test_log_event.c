/* Log lines: none blocks, the bound holds, and what is missing is said. */

#include "log_event.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define BOUND 50
#define PIPE_BYTES 65536

static struct ev_sink sink;

static void
setup (int fd)
{
  struct ev_desc desc = { .role = CYC_STR ("test"),
                          .lowest_level = G_LOG_LEVEL_INFO,
                          .fd = fd,
                          .max_lines_per_s = BOUND };

  /* GLib takes a writer only once. */
  cyc_name_set (&desc.vm, CYC_STR ("vm"));
  if (sink.fd == 0)
    ev_setup (&sink, &desc);
  sink.fd = fd;
  sink.credit = 0;
  sink.credit_updated_us = 0;
  sink.dropped = 0;
}

static uint32_t
count (const char *text, const char *word)
{
  uint32_t found = 0;

  for (const char *at = strstr (text, word); at != NULL;
       at = strstr (at + 1, word))
    found++;
  return found;
}

/* Decisions beyond the bound are dropped and counted; other lines are not.
   Guards against logs that grow with the load. */
static void
test_bound (void **state)
{
  char *text = calloc (1, PIPE_BYTES + 1);
  int ends[2];

  (void)state;
  assert_int_equal (pipe (ends), 0);
  setup (ends[1]);
  for (int i = 0; i < 3 * BOUND; i++)
    ev_log (EV_RUN_START, "task=%d", i);
  ev_log (EV_STOPPED, "open_calls=0");
  assert_true (read (ends[0], text, PIPE_BYTES) > 0);
  assert_in_range (count (text, "event=run_start"), 2 * BOUND - 1,
                   2 * BOUND + 5);
  assert_int_equal (count (text, "event=stopped"), 1);
  assert_int_equal (count (text, "event=lines_dropped"), 1);
  close (ends[0]);
  close (ends[1]);
  free (text);
}

/* A reader that takes nothing holds up nobody. Guards against a process that
   stands still because its log is full. */
static void
test_full_pipe (void **state)
{
  char *text = calloc (1, PIPE_BYTES + 1);
  int ends[2];
  ssize_t got;

  (void)state;
  assert_int_equal (pipe (ends), 0);
  setup (ends[1]);
  for (int i = 0; i < 5000; i++)
    ev_log (EV_LEAD_SEEN, "leader=%d", i);
  assert_true (sink.dropped > 0);
  got = read (ends[0], text, PIPE_BYTES);
  assert_true (got > 0);
  ev_log (EV_STOPPED, "open_calls=0");
  memset (text, 0, PIPE_BYTES);
  for (int i = 0; i < 4 && strstr (text, "event=stopped") == NULL; i++)
    assert_true (read (ends[0], text, PIPE_BYTES) > 0);
  assert_non_null (strstr (text, "event=lines_dropped"));
  close (ends[0]);
  close (ends[1]);
  free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bound),
    cmocka_unit_test (test_full_pipe),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
