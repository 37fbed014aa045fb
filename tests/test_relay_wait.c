/* A read that one VM makes for another must end within the time that the other
   has left: otherwise it counts as a failure of the log, which is up. */

#include "tst_link.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define GROUP "log"

/* Returns the most failures in a row that another VM has counted. */
static uint32_t
failures_of_others (struct tst_cluster *cluster, uint32_t cut, uint32_t ms)
{
  uint32_t most = 0;

  for (uint32_t at = 0; at < ms; at += 10)
    {
      tst_cluster_run (cluster, 10);
      for (uint32_t i = 0; i < TST_CLUSTER_VMS; i++)
        if (i != cut)
          most = MAX (most, cluster->vms[i].entry.relay.direct_failures);
    }
  return most;
}

static void
test_reads_for_a_vm_that_is_cut_off (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  struct fk_relay relay;
  struct cyc_findings findings = { 0 };
  uint32_t cut;

  (void)state;
  tst_cluster_setup (cluster);
  cut = (tst_cluster_leader_index (cluster) + 1) % TST_CLUSTER_VMS;
  assert_true (fk_relay_setup (&relay, cluster->loop, 0, &findings));
  tst_link_own_way (cluster, &relay, GROUP, cut);
  tst_cluster_run (cluster, 3000);
  fk_relay_set_silent (&relay, GROUP, "both");
  assert_int_equal (failures_of_others (cluster, cut, 8000), 0);
  assert_true (cluster->vms[cut].entry.relay.relayed_calls > 0);
  tst_cluster_kill_vm (cluster, cut);
  fk_relay_shutdown (&relay);
  tst_cluster_teardown (cluster);
  free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_reads_for_a_vm_that_is_cut_off) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
