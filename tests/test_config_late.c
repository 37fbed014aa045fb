/* A configuration that the link to the log cannot carry to every VM within the
   time of one read: reads that are cut and begin again keep the link full. */

#include "tst_link.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

/** A configuration is in force on all VMs this long after it was confirmed. */
#define APPLY_MAX_MS 4000
#define STEP_MS 10
#define ROUTES 5500
/** What the VMs read of other streams meanwhile. */
#define OTHER_STREAMS_BYTES 100000

struct late_case
{
  const char *description;
  uint32_t width; /* bytes a second */
  uint32_t versions;
  uint32_t gap_ms;     /* between two versions */
  uint32_t copies_max; /* that the link may carry of each version */
};

static const struct late_case late_cases[] = {
  { "a copy for each VM takes longer than a read", 700000, 1, 0, 2 },
  { "one copy takes longer than a read", 320000, 1, 0, 2 },
  { "a version follows the one on its way", 700000, 2, 500, 2 },
};

static void
play (const struct late_case *c)
{
  struct tst_link *link = calloc (1, sizeof *link);
  struct tst_cluster *cluster = &link->cluster;
  uint32_t version = 1;
  uint32_t ms = 0;
  uint64_t bytes;
  uint64_t epoch;
  size_t len = 0;

  tst_link_setup (link);
  epoch = tst_cluster_leader (cluster)->entry.leader.epoch;
  tst_link_set_width (link, c->width);
  bytes = tst_link_bytes (link);
  for (uint32_t i = 0; i < c->versions; i++)
    {
      if (i > 0)
        tst_cluster_run (cluster, c->gap_ms);
      len = tst_link_publish (link, ++version, ROUTES + i);
    }
  for (; ms < APPLY_MAX_MS && !tst_link_has_version (link, version);
       ms += STEP_MS)
    tst_cluster_run (cluster, STEP_MS);
  printf ("%s: %u ms, %.1f copies of %zu bytes\n", c->description, ms,
          (double)(tst_link_bytes (link) - bytes) / (double)len, len);
  if (!tst_link_has_version (link, version))
    fail_msg ("%s: not in force on all VMs after %u ms", c->description, ms);
  if (tst_link_bytes (link) - bytes
      > len * c->versions * c->copies_max + OTHER_STREAMS_BYTES)
    fail_msg ("%s: copies are carried in vain", c->description);
  assert_non_null (tst_cluster_leader (cluster));
  if (tst_cluster_leader (cluster)->entry.leader.epoch != epoch)
    fail_msg ("%s: the leadership changed", c->description);
  tst_link_teardown (link);
  free (link);
}

static void
test_in_force_in_time (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (late_cases); i++)
    play (&late_cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_in_force_in_time) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
