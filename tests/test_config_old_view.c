/* A final refusal (404, 401) from a view of the configuration that may be out
   of date: a version that adds the route or the key may be confirmed. */

#include "tst_cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

struct view_case
{
  const char *description;
  uint32_t unread_ms; /* since when the configuration cannot be read */
  const char *method;
  const char *path;
  const char *key;
  enum pt_answer_kind answer;
};

static const struct view_case view_cases[] = {
  { "no such queue", 0, "POST", "/none/0000000000000001", TST_CLUSTER_KEY,
    PT_ANSWER_NO_QUEUE },
  { "no such key", 0, "POST", "/plain/0000000000000002", "key-none",
    PT_ANSWER_BAD_KEY },
  { "a queue, by an old view", 5000, "POST", "/none/0000000000000003",
    TST_CLUSTER_KEY, PT_ANSWER_BUSY },
  { "the backlog, by an old view", 5000, "GET", "/none/", TST_CLUSTER_KEY,
    PT_ANSWER_BUSY },
  { "a key, by an old view", 5000, "POST", "/plain/0000000000000004",
    "key-none", PT_ANSWER_BUSY },
};

static void
test_final_refusal (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  uint32_t unread_ms = 0;

  (void)state;
  tst_cluster_setup (cluster);
  for (size_t i = 0; i < G_N_ELEMENTS (view_cases); i++)
    {
      const struct view_case *c = &view_cases[i];

      if (c->unread_ms > unread_ms)
        {
          cluster->fake.faults.unread_topic = "keyed.op";
          tst_cluster_run (cluster, c->unread_ms - unread_ms);
          unread_ms = c->unread_ms;
        }
      for (uint32_t vm = 0; vm < TST_CLUSTER_VMS; vm++)
        {
          uint32_t call = tst_cluster_send (cluster, vm, c->method, c->path,
                                            c->key, "{}");

          if (cluster->answer_counts[call] != 1
              || cluster->answers[call].kind != c->answer)
            fail_msg ("%s: answer %d at vm-%u", c->description,
                      (int)cluster->answers[call].kind, vm);
          if (c->answer == PT_ANSWER_BUSY)
            assert_in_range (cluster->answers[call].retry_after_s, 1, 4);
        }
    }
  tst_cluster_teardown (cluster);
  free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_final_refusal) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
