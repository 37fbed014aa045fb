/* Records that the log does not take, whatever its load: they are too large.
   Guards against a refusal of one record that is read as an outage: the same
   append is repeated for ever, no other batch is written, and nothing starts
   any more, of any job (LOST). */

#include "tst_cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define SMALL_JOB                                                             \
  "{\"spec\":\"s\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":10,"        \
  "\"estimate_ms\":200}]}"
#define SMALL_JOBS 6
#define SMALL_FIRST 0x20
/** Appends until one invalid record is found among those of a batch, with some
 * for batches that begin meanwhile. */
#define INVALID_APPENDS_MAX 16

static void
request_job (struct tst_cluster *cluster, uint32_t vm, const char *method,
             uint32_t id, const char *body, uint32_t *call)
{
  char path[64];

  snprintf (path, sizeof path, "/plain/%016x", id);
  *call = tst_cluster_send (cluster, vm, method, path, TST_CLUSTER_KEY, body);
}

static uint32_t
state_of (struct tst_cluster *cluster, uint32_t vm, uint32_t id)
{
  char path[64];

  snprintf (path, sizeof path, "/plain/%016x", id);
  cluster->next_call = 0;
  if (tst_cluster_request (cluster, vm, "GET", path, "") != PT_ANSWER_STATE)
    return 0;
  return cluster->answers[0].state;
}

static void
check_small_jobs (struct tst_cluster *cluster, const char *name, uint32_t vm)
{
  for (uint32_t i = 0; i < SMALL_JOBS; i++)
    if (state_of (cluster, vm, SMALL_FIRST + i) != CELL_JOB_COMPLETE)
      fail_msg ("%s: small job %u is not complete", name, i);
}

static void
check_log_use (const struct tst_cluster *cluster, const char *name)
{
  if (cluster->fake.invalid_appends == 0
      || cluster->fake.invalid_appends > INVALID_APPENDS_MAX)
    fail_msg ("%s: %u invalid appends", name,
              (unsigned int)cluster->fake.invalid_appends);
}

/* Where the jobs are handed in. */
struct submit_case
{
  const char *name;
  uint32_t vm; /* counted from the leader on */
  bool kill_leader;
};

static const struct submit_case submit_cases[] = {
  { "at the leader", 0, false },
  { "at another VM", 1, false },
  { "while there is no leader", 1, true },
};

/* A job whose record is too large arrives among others, in one batch with
   them. */
static void
run_submit_case (const struct submit_case *row)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  char payload[1200];
  char large[1600];
  uint32_t calls[SMALL_JOBS];
  uint32_t large_call = 0;
  uint32_t leader;
  uint32_t vm;

  tst_cluster_setup (cluster);
  leader = tst_cluster_leader_index (cluster);
  vm = (leader + row->vm) % TST_CLUSTER_VMS;
  cluster->fake.record_bytes = 1000;
  memset (payload, 'x', sizeof payload - 1);
  payload[sizeof payload - 1] = 0;
  snprintf (large, sizeof large,
            "{\"spec\":\"%s\",\"steps\":[{\"count\":1,\"cpu\":500,"
            "\"mem_mb\":10,\"estimate_ms\":200}]}",
            payload);
  if (row->kill_leader)
    tst_cluster_kill_vm (cluster, leader);
  cluster->next_call = 0;
  for (uint32_t i = 0; i < SMALL_JOBS; i++)
    {
      if (i == SMALL_JOBS / 2)
        request_job (cluster, vm, "POST", 0x10, large, &large_call);
      request_job (cluster, vm, "POST", SMALL_FIRST + i, SMALL_JOB, &calls[i]);
    }
  tst_cluster_run (cluster, 1000);
  if (cluster->answer_counts[large_call] != 1
      || cluster->answers[large_call].kind != PT_ANSWER_TOO_LARGE)
    fail_msg ("%s: the large job got answer %d", row->name,
              cluster->answer_counts[large_call] == 1
                  ? (int)cluster->answers[large_call].kind
                  : -1);
  for (uint32_t i = 0; i < SMALL_JOBS; i++)
    if (cluster->answer_counts[calls[i]] != 1
        || cluster->answers[calls[i]].kind != PT_ANSWER_ACCEPTED)
      fail_msg ("%s: small job %u is not accepted", row->name, i);
  tst_cluster_run (cluster, row->kill_leader ? 9000 : 2000);
  check_small_jobs (cluster, row->name, vm);
  assert_int_equal (state_of (cluster, vm, 0x10), 0);
  check_log_use (cluster, row->name);
  tst_cluster_teardown (cluster);
  free (cluster);
}

static void
test_too_large_job_is_refused_alone (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof submit_cases / sizeof submit_cases[0]; i++)
    run_submit_case (&submit_cases[i]);
}

/* The progress of an accepted job grows beyond what a record may hold. The
   other jobs go on, under this leader and the next one. */
static void
test_too_large_progress_fails_its_job_only (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  uint32_t calls[SMALL_JOBS];
  uint32_t call;
  uint32_t leader;
  uint32_t vm;

  (void)state;
  tst_cluster_setup (cluster);
  leader = tst_cluster_leader_index (cluster);
  vm = (leader + 1) % TST_CLUSTER_VMS;
  cluster->fake.record_bytes = 500;
  cluster->next_call = 0;
  request_job (cluster, vm, "POST", 0x10,
               "{\"spec\":\"w\",\"steps\":[{\"count\":60,\"cpu\":100,"
               "\"mem_mb\":10,\"estimate_ms\":200}]}",
               &call);
  for (uint32_t i = 0; i < SMALL_JOBS; i++)
    {
      request_job (cluster, vm, "POST", SMALL_FIRST + i, SMALL_JOB, &calls[i]);
      tst_cluster_run (cluster, 20);
    }
  tst_cluster_run (cluster, 2500);
  assert_int_equal (cluster->answers[call].kind, PT_ANSWER_ACCEPTED);
  check_small_jobs (cluster, "under the same leader", vm);
  check_log_use (cluster, "under the same leader");
  assert_int_equal (state_of (cluster, vm, 0x10), CELL_JOB_FAILED);
  tst_cluster_kill_vm (cluster, leader);
  tst_cluster_run (cluster, 6000);
  request_job (cluster, vm, "POST", SMALL_FIRST + SMALL_JOBS, SMALL_JOB,
               &call);
  tst_cluster_run (cluster, 2000);
  assert_int_equal (state_of (cluster, vm, 0x10), CELL_JOB_FAILED);
  assert_int_equal (state_of (cluster, vm, SMALL_FIRST + SMALL_JOBS),
                    CELL_JOB_COMPLETE);
  tst_cluster_teardown (cluster);
  free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_too_large_job_is_refused_alone),
    cmocka_unit_test (test_too_large_progress_fails_its_job_only),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
