/* Whole VMs whose leader refuses new jobs of a queue of which many tasks crash
   their workers. Guards against a refusal without a time to come back, against
   a time that does not come true, against refused jobs that run, and against
   refusals that only the callers of the leader's VM get. */

#include "tst_cluster.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>

#include <cmocka.h>

#define BODY                                                                  \
  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"       \
  "\"estimate_ms\":200}]}"
/** Tasks of jobs whose ids begin so crash their workers. */
#define DEADLY "dead"
#define GAP_MS 50
#define TRIES_MAX 60

/* The team has no limit on its rate. */
static const char config_text[]
    = "{\"version\":2,\"routes\":[{\"name\":\"plain\",\"host\":\"h\","
      "\"path_prefix\":\"/plain/\",\"service\":\"pool\",\"priority\":1,"
      "\"max_attempts\":3,\"slack_factor\":2,\"target_latency_ms\":1000},"
      "{\"name\":\"other\",\"host\":\"h\",\"path_prefix\":\"/other/\","
      "\"service\":\"pool\",\"priority\":1,\"max_attempts\":3,"
      "\"slack_factor\":2,\"target_latency_ms\":1000}],"
      "\"services\":[{\"name\":\"pool\"}],\"tenants\":[{\"name\":\"blue\","
      "\"api_keys\":[\"" TST_CLUSTER_KEY "\"],\"weight\":0}]}";

static bool
has_started (const struct tst_cluster *cluster, const char *id)
{
  for (guint i = 0; i < cluster->fake.history->len; i++)
    if (g_str_has_prefix (
            g_array_index (cluster->fake.history, struct fkp_history, i).task,
            id))
      return true;
  return false;
}

/* Submits the job; returns the answer, whose time to retry is stored. */
static enum pt_answer_kind
submit (struct tst_cluster *cluster, uint32_t vm, const char *queue,
        const char *id, uint32_t *retry_after_s)
{
  char path[64];
  enum pt_answer_kind kind;

  cluster->next_call = 0;
  snprintf (path, sizeof path, "/%s/%s", queue, id);
  kind = tst_cluster_request (cluster, vm, "POST", path, BODY);
  *retry_after_s = cluster->answers[0].retry_after_s;
  return kind;
}

static void
test_deadly_queue_is_refused_at_every_vm (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  char refused[TST_CLUSTER_VMS][17] = { { 0 } };
  uint64_t back_us = UINT64_MAX;
  uint32_t first_back = 0;
  uint32_t refusals = 0;
  uint32_t retry_after_s;
  char id[17];

  (void)state;
  tst_cluster_setup (cluster);
  cluster->fake.faults.deadly_task = DEADLY;
  cluster->fake.faults.deadly_after_ms = 10;
  cluster->fake.faults.back_after_ms = 1500;
  fkp_put (&cluster->fake, "keyed.op", "config", config_text);
  tst_cluster_run (cluster, 1500);
  for (uint32_t n = 0; n < TRIES_MAX && refusals < TST_CLUSTER_VMS; n++)
    {
      uint32_t vm = n % TST_CLUSTER_VMS;

      snprintf (id, sizeof id, DEADLY "%012x", n);
      if (submit (cluster, vm, "plain", id, &retry_after_s) == PT_ANSWER_BUSY
          && refused[vm][0] == 0)
        {
          uint64_t at_us = hc_now_us () + retry_after_s * 1000000ULL;

          assert_in_range (retry_after_s, 1, 600);
          memcpy (refused[vm], id, sizeof id);
          refusals++;
          if (at_us < back_us)
            {
              back_us = at_us;
              first_back = vm;
            }
        }
      snprintf (id, sizeof id, "50bed%011x", n);
      assert_int_equal (submit (cluster, vm, "other", id, &retry_after_s),
                        PT_ANSWER_ACCEPTED);
      tst_cluster_run (cluster, GAP_MS);
    }
  assert_int_equal (refusals, TST_CLUSTER_VMS);
  while (hc_now_us () < back_us)
    tst_cluster_run (cluster, 50);
  for (uint32_t vm = 0; vm < TST_CLUSTER_VMS; vm++)
    assert_false (has_started (cluster, refused[vm]));
  /* Any VM knows of the promise. */
  assert_int_equal (submit (cluster, (first_back + 1) % TST_CLUSTER_VMS,
                            "plain", refused[first_back], &retry_after_s),
                    PT_ANSWER_ACCEPTED);
  tst_cluster_teardown (cluster);
  free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_deadly_queue_is_refused_at_every_vm),
  };
  static struct ev_sink sink;

  signal (SIGPIPE, SIG_IGN);
  ev_setup (&sink, &(struct ev_desc){ .role = CYC_STR ("test"),
                                      .lowest_level = G_LOG_LEVEL_CRITICAL });
  return cmocka_run_group_tests (tests, NULL, NULL);
}
