/* Answers from a view of the configuration that may be out of date: a version
   that adds or removes the route or the key may be confirmed. */

#include "tst_link.h"

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

struct behind_case
{
  const char *description;
  uint32_t after_ms; /* a version began to arrive */
  enum pt_answer_kind answer;
};

static const struct behind_case behind_cases[] = {
  { "the version before is in force", 500, PT_ANSWER_ACCEPTED },
  { "a newer one is bound to be", 4000, PT_ANSWER_BUSY },
};

/* A configuration that takes 8 s for one copy. */
static void
test_known_to_be_outdated (void **state)
{
  struct tst_link *link = calloc (1, sizeof *link);
  struct tst_cluster *cluster = &link->cluster;
  uint32_t ms = 0;

  (void)state;
  tst_link_setup (link);
  tst_link_set_width (link, 100000);
  tst_link_publish (link, 2, 5500);
  for (size_t i = 0; i < G_N_ELEMENTS (behind_cases); i++)
    {
      const struct behind_case *c = &behind_cases[i];

      tst_cluster_run (cluster, c->after_ms - ms);
      ms = c->after_ms;
      for (uint32_t vm = 0; vm < TST_CLUSTER_VMS; vm++)
        {
          char path[64];
          enum pt_answer_kind answer;

          snprintf (path, sizeof path, "/plain/%015zx%u", i + 1, vm);
          answer = tst_cluster_request (cluster, vm, "POST", path,
                                        "{\"spec\":\"s\",\"steps\":[{"
                                        "\"count\":1,\"cpu\":250}]}");
          if (answer != c->answer)
            fail_msg ("%s: answer %d at vm-%u", c->description, (int)answer,
                      vm);
        }
    }
  tst_link_teardown (link);
  free (link);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_final_refusal),
          cmocka_unit_test (test_known_to_be_outdated) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
