/**
 * @file
 * Replay of the recorded traces in traces/. Guards against changes of the
 * decision core that lead to other decisions on a recorded run, and against a
 * replay that misses malformed inputs, other decisions or unmet outcomes.
 */
#include "replay.h"

#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define TRACE_DIR "traces"

static void
print_findings (const struct cyc_findings *found)
{
  for (uint32_t i = 0; i < found->count; i++)
    print_message ("%s: %s\n", found->rows[i].place, found->rows[i].text);
}

static void
recorded_traces_meet_their_stated_outcomes (void **state)
{
  DIR *dir = opendir (TRACE_DIR);
  struct dirent *entry;
  uint32_t files = 0;

  (void)state;
  assert_non_null (dir);
  while ((entry = readdir (dir)) != NULL)
    {
      char path[512];
      struct rp_replay rp;
      struct cyc_findings found = { 0 };

      if (strstr (entry->d_name, ".trace") == NULL)
        continue;
      snprintf (path, sizeof path, "%s/%s", TRACE_DIR, entry->d_name);
      assert_true (rp_open (&rp, &found));
      if (!rp_file (&rp, path, &found))
        print_findings (&found);
      print_message ("%s: %u outcomes\n", path, (unsigned)rp.expectations);
      assert_int_equal (found.count, 0);
      assert_true (rp.expectations > 0);
      rp_close (&rp);
      files++;
    }
  closedir (dir);
  assert_true (files >= 2);
}

struct line_case
{
  const char *name;
  const char *lines[4];
  uint32_t findings;
};

#define SETUP                                                                 \
  "setup 8 8 8 8 8 8 256 200 4 10000 300000 250 950 300 100 60000 30000 "     \
  "30000 600000 250 3 1"

static const struct line_case line_cases[] = {
  { "outcome met", { SETUP, "expect starts = 0", NULL }, 0 },
  { "outcome not met", { SETUP, "expect starts >= 1", NULL }, 1 },
  { "unknown outcome", { SETUP, "expect luck = 0", NULL }, 1 },
  { "no relation", { SETUP, "expect starts 0", NULL }, 1 },
  { "input before setup", { "allow 1", NULL }, 1 },
  { "malformed setup", { "setup 8", NULL }, 1 },
  { "malformed input", { SETUP, "worker x", NULL }, 1 },
  { "unknown input", { SETUP, "dance 1", NULL }, 1 },
  { "comment", { "# note", SETUP, NULL }, 0 },
  { "tick decided otherwise",
    { SETUP, "tick 1000 16 0 0000000000000000", "expect mismatches = 0",
      NULL },
    1 },
};

static void
lines_produce_the_expected_findings (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof line_cases / sizeof line_cases[0]; i++)
    {
      struct rp_replay rp;
      struct cyc_findings found = { 0 };

      print_message ("case: %s\n", line_cases[i].name);
      assert_true (rp_open (&rp, &found));
      for (int j = 0; line_cases[i].lines[j] != NULL; j++)
        rp_line (&rp, cyc_str_of (line_cases[i].lines[j]), &found);
      if (found.count != line_cases[i].findings)
        print_findings (&found);
      assert_int_equal (found.count, line_cases[i].findings);
      rp_close (&rp);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (recorded_traces_meet_their_stated_outcomes),
    cmocka_unit_test (lines_produce_the_expected_findings),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
