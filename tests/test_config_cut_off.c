/* A VM that is cut off from the log gets a configuration that is longer than a
   frame between VMs, from the leader. */

#include "tst_link.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define APPLY_MAX_MS 4000
/** A configuration of 1.2 MB. */
#define ROUTES 8000

static void
test_long_configuration (void **state)
{
  struct tst_link *link = calloc (1, sizeof *link);
  struct tst_cluster *cluster = &link->cluster;
  uint32_t cut;
  uint32_t ms = 0;

  (void)state;
  tst_link_setup (link);
  cut = (tst_cluster_leader_index (cluster) + 1) % TST_CLUSTER_VMS;
  tst_link_own_way (cluster, &link->relay, "cut", cut);
  tst_cluster_run (cluster, 3000);
  /* As for the VM that the others read: it has none to read itself. */
  mir_set_sources (&cluster->vms[cut].entry.mirror, NULL, 0);
  fk_relay_set_silent (&link->relay, "cut", "both");
  tst_cluster_run (cluster, 2000);
  mir_set_sources (&cluster->vms[cut].entry.mirror, NULL, 0);
  assert_in_range (tst_link_publish (link, 2, ROUTES), PL_FRAME_MAX_BYTES + 1,
                   8 * PL_FRAME_MAX_BYTES);
  for (; ms < APPLY_MAX_MS && !tst_link_has_version (link, 2); ms += 10)
    tst_cluster_run (cluster, 10);
  printf ("in force after %u ms\n", ms);
  assert_true (tst_link_has_version (link, 2));
  tst_link_teardown (link);
  free (link);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_long_configuration) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
