/* Jobs whose records take longer to reach the log than an append may: an
   append that is cut and sent again keeps the link full, and no job is
   accepted. */

#include "tst_link.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define JOBS 50
#define PAYLOAD_BYTES 3900
/** The records of all jobs take 1.2 s. */
#define WIDTH_BYTES_PER_S 160000
/** What callers wait, less the margin in which they are answered. */
#define ANSWER_MAX_MS 2800

static uint32_t
count_accepted (const struct tst_cluster *cluster)
{
  uint32_t accepted = 0;

  for (uint32_t i = 0; i < JOBS; i++)
    accepted += cluster->answer_counts[i] == 1
                && cluster->answers[i].kind == PT_ANSWER_ACCEPTED;
  return accepted;
}

static void
test_accepted_in_time (void **state)
{
  struct tst_link *link = calloc (1, sizeof *link);
  struct tst_cluster *cluster = &link->cluster;
  char payload[PAYLOAD_BYTES + 1];
  char body[PAYLOAD_BYTES + 200];
  uint32_t ms = 0;

  (void)state;
  memset (payload, 'x', PAYLOAD_BYTES);
  payload[PAYLOAD_BYTES] = 0;
  snprintf (body, sizeof body,
            "{\"spec\":\"%s\",\"steps\":[{\"count\":1,\"cpu\":250,"
            "\"mem_mb\":10,\"estimate_ms\":200}]}",
            payload);
  tst_link_setup (link);
  tst_link_set_width (link, WIDTH_BYTES_PER_S);
  for (uint32_t i = 0; i < JOBS; i++)
    {
      char path[64];

      snprintf (path, sizeof path, "/plain/%016x", i + 1);
      tst_cluster_send (cluster, tst_cluster_leader_index (cluster), "POST",
                        path, TST_CLUSTER_KEY, body);
    }
  for (; ms < ANSWER_MAX_MS && count_accepted (cluster) < JOBS; ms += 10)
    tst_cluster_run (cluster, 10);
  printf ("%u of %u jobs accepted after %u ms\n", count_accepted (cluster),
          JOBS, ms);
  assert_int_equal (count_accepted (cluster), JOBS);
  tst_link_teardown (link);
  free (link);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_accepted_in_time) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
