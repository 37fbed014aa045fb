/* Calls without an answer that are executed by a process which has taken the
   worker's place. It knows nothing of the earlier one, so only a higher
   fencing token lets it refuse them. Guards against a start that runs a second
   time and against an acknowledgement that makes it forget ends which no
   leader has read. */

#include "tst_cluster.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/** A worker without runs is called again after 2.5 s, and a leader renews its
 * claim each 0.6 s. */
#define RAISED_TIMEOUT_MS 5000
#define ELECTION_TIMEOUT_MS 6000
#define JOB_TIMEOUT_MS 8000
/** A leader counts as silent after 2 s without a renewal. */
#define SLOW_RENEWAL_US 1500000
#define ONE_TASK                                                              \
  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"       \
  "\"estimate_ms\":200}]}"
#define TASKS(count)                                                          \
  "{\"spec\":\"s\",\"steps\":[{\"count\":" count                              \
  ",\"cpu\":4000,\"mem_mb\":10,\"estimate_ms\":700}]}"
/* Fills all workers. */
#define MANY_TASKS TASKS ("8")
/* Fills them for longer than a worker is paused after a refused start. */
#define LASTING_TASKS TASKS ("32")

static bool
wait_for (struct tst_cluster *cluster, uint32_t timeout_ms,
          bool (*is_so) (struct tst_cluster *cluster))
{
  uint64_t end_us = hc_now_us () + timeout_ms * 1000ULL;

  while (!is_so (cluster))
    {
      if (hc_now_us () > end_us)
        return false;
      tst_cluster_run (cluster, 1);
    }
  return true;
}

static bool
has_leader (struct tst_cluster *cluster)
{
  return tst_cluster_leader (cluster) != NULL;
}

/* The first worker has seen a higher token than the claim's. */
static bool
is_raised (struct tst_cluster *cluster)
{
  return cluster->fake.workers[0].fence
         > tst_cluster_leader (cluster)->entry.leader.epoch;
}

static bool
all_obey_leader (struct tst_cluster *cluster)
{
  for (uint32_t i = 0; i < cluster->fake.worker_count; i++)
    if (cluster->fake.workers[i].fence
        != tst_cluster_leader (cluster)->entry.leader.epoch)
      return false;
  return true;
}

/* A worker that restarts under its id is called with a higher token, the
   others are not, and the next leader's token is higher still. */
static void
test_token_for_a_new_incarnation (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  uint64_t epoch;
  uint64_t raised;

  (void)state;
  tst_cluster_setup (cluster);
  epoch = tst_cluster_leader (cluster)->entry.leader.epoch;
  fkp_restart_worker (&cluster->fake.workers[0]);
  assert_true (wait_for (cluster, RAISED_TIMEOUT_MS, is_raised));
  raised = cluster->fake.workers[0].fence;
  assert_int_equal (cluster->fake.workers[1].fence, epoch);
  tst_cluster_kill_vm (cluster, tst_cluster_leader_index (cluster));
  assert_true (wait_for (cluster, ELECTION_TIMEOUT_MS, has_leader));
  assert_true (tst_cluster_leader (cluster)->entry.leader.epoch > raised);
  assert_true (wait_for (cluster, RAISED_TIMEOUT_MS, all_obey_leader));
  tst_cluster_teardown (cluster);
  free (cluster);
}

static bool
hold_is_late (struct tst_cluster *cluster)
{
  return cluster->fake.late_holds->len > 0;
}

static struct fkp_worker *
late_worker (const struct tst_cluster *cluster)
{
  return g_array_index (cluster->fake.late_holds, struct fkp_late_hold, 0)
      .worker;
}

static bool
late_worker_has_runs (struct tst_cluster *cluster)
{
  return late_worker (cluster)->run_count > 0;
}

static bool
late_worker_has_ends (struct tst_cluster *cluster)
{
  return late_worker (cluster)->end_count > 0;
}

static bool
second_job_is_complete (struct tst_cluster *cluster)
{
  enum cell_job_state job = 0;

  return has_leader (cluster)
         && owner_job_state (&tst_cluster_leader (cluster)->entry, 2, 0, &job)
         && job == CELL_JOB_COMPLETE;
}

/* A hold that acknowledges the end of a run gets no answer, and its worker
   restarts. The hold is executed when the next incarnation has an end of the
   same number that no leader has read. */
static void
test_late_acknowledgement_reaches_the_next_incarnation (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  struct fkp_worker *worker;
  uint32_t ends;

  (void)state;
  tst_cluster_setup (cluster);
  cluster->fake.faults.late_holds = 1;
  tst_cluster_send (cluster, 0, "POST", "/plain/0000000000000001",
                    TST_CLUSTER_KEY, ONE_TASK);
  assert_true (wait_for (cluster, JOB_TIMEOUT_MS, hold_is_late));
  worker = late_worker (cluster);
  fkp_restart_worker (worker);
  /* The call has ended and the leader has called the next incarnation. */
  tst_cluster_run (cluster, 4500);
  cluster->fake.task_duration_ms = 700;
  tst_cluster_send (cluster, 0, "POST", "/plain/0000000000000002",
                    TST_CLUSTER_KEY, MANY_TASKS);
  assert_true (wait_for (cluster, JOB_TIMEOUT_MS, late_worker_has_runs));
  tst_cluster_run (cluster, 100);
  worker->silent = true;
  assert_true (wait_for (cluster, JOB_TIMEOUT_MS, late_worker_has_ends));
  ends = worker->end_count;
  fkp_execute_late_holds (&cluster->fake);
  assert_int_equal (worker->end_count, ends);
  worker->silent = false;
  assert_true (wait_for (cluster, JOB_TIMEOUT_MS, second_job_is_complete));
  tst_cluster_teardown (cluster);
  free (cluster);
}

/* Returns whether the first worker has been called since its restart. */
static bool
is_called (struct tst_cluster *cluster)
{
  return cluster->fake.workers[0].fence != 0;
}

static bool
first_worker_has_runs (struct tst_cluster *cluster)
{
  return cluster->fake.workers[0].run_count > 0;
}

static bool
first_worker_has_ends (struct tst_cluster *cluster)
{
  return cluster->fake.workers[0].end_count > 0;
}

/* A worker restarts twice before the leader has renewed its claim again, so
   there is no higher token for the last incarnation yet. A hold that
   acknowledges an end of the middle one is executed by the last one when that
   has an end which no leader has read. */
static void
test_second_restart_before_the_next_renewal (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  struct fkp_worker *worker;
  struct fkp_late_hold late = { .ack = 1 };
  uint32_t ends;

  (void)state;
  tst_cluster_setup (cluster);
  worker = late.worker = &cluster->fake.workers[0];
  fkp_restart_worker (worker);
  assert_true (wait_for (cluster, RAISED_TIMEOUT_MS, is_raised));
  while (tst_cluster_leader (cluster)->entry.renew_in_flight)
    tst_cluster_run (cluster, 1);
  tst_cluster_leader (cluster)->entry.renew_at_us
      = hc_now_us () + SLOW_RENEWAL_US;
  late.fence = lead_fence (&tst_cluster_leader (cluster)->entry);
  fkp_restart_worker (worker);
  assert_true (wait_for (cluster, RAISED_TIMEOUT_MS, is_called));
  cluster->fake.task_duration_ms = 700;
  tst_cluster_send (cluster, 0, "POST", "/plain/0000000000000002",
                    TST_CLUSTER_KEY, LASTING_TASKS);
  assert_true (wait_for (cluster, JOB_TIMEOUT_MS, first_worker_has_runs));
  tst_cluster_run (cluster, 100);
  worker->silent = true;
  assert_true (wait_for (cluster, JOB_TIMEOUT_MS, first_worker_has_ends));
  ends = worker->end_count;
  g_array_append_val (cluster->fake.late_holds, late);
  fkp_execute_late_holds (&cluster->fake);
  assert_int_equal (worker->end_count, ends);
  worker->silent = false;
  assert_true (wait_for (cluster, JOB_TIMEOUT_MS, second_job_is_complete));
  tst_cluster_teardown (cluster);
  free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_token_for_a_new_incarnation),
    cmocka_unit_test (test_late_acknowledgement_reaches_the_next_incarnation),
    cmocka_unit_test (test_second_restart_before_the_next_renewal),
  };

  signal (SIGPIPE, SIG_IGN);
  if (getenv ("TEST_FILTER") != NULL)
    cmocka_set_test_filter (getenv ("TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
