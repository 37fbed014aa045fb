/* The state of a job is asked for while the job is on its way into the log.
   Guards against the answer that no such job exists, which holds only if no
   write of it is still to come: its caller hands the work in again under
   another ID, and it is done twice. */

#include "tst_cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define JOB_PATH "/plain/00000000000000b2"
#define JOB_KEY "j00000000000000b2"
#define JOB_BODY                                                              \
  "{\"spec\":\"b\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":10,"        \
  "\"estimate_ms\":200}]}"
/** Delay of the log's answers, as of one that is 60 times slower. */
#define SLOW_LOG_MS 240

/* Asks one VM until @p end_us, and fails if the job was ever unknown. Returns
   whether its state was shown in the end. */
static bool
watch_state (struct tst_cluster *cluster, uint32_t vm, const char *name,
             uint64_t end_us)
{
  bool shown = false;

  while (hc_now_us () < end_us)
    {
      enum pt_answer_kind kind;

      cluster->next_call = 1;
      kind = tst_cluster_request (cluster, vm, "GET", JOB_PATH, "");
      if (kind == PT_ANSWER_NO_JOB)
        fail_msg ("%s: the job is said not to exist", name);
      shown = kind == PT_ANSWER_STATE;
      tst_cluster_run (cluster, 20);
    }
  return shown;
}

struct state_case
{
  const char *name;
  uint32_t submit_at; /* VMs, counted from the leader on */
  uint32_t ask_at;
  bool kill_leader; /* before the job is submitted */
};

static const struct state_case cases[] = {
  { "both at the leader", 0, 0, false },
  { "at two other VMs", 1, 2, false },
  { "both at another VM", 1, 1, false },
  { "asked at the leader", 1, 0, false },
  { "at the VM that stores it without a leader", 1, 1, true },
};

static void
run_case (const struct state_case *c)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  uint32_t leader;

  tst_cluster_setup (cluster);
  leader = tst_cluster_leader_index (cluster);
  cluster->fake.faults.log_delay_ms = SLOW_LOG_MS;
  tst_cluster_run (cluster, 600);
  if (c->kill_leader)
    tst_cluster_kill_vm (cluster, leader);
  tst_cluster_send (cluster, (leader + c->submit_at) % TST_CLUSTER_VMS, "POST",
                    JOB_PATH, TST_CLUSTER_KEY, JOB_BODY);
  tst_cluster_run (cluster, 40);
  if (!watch_state (cluster, (leader + c->ask_at) % TST_CLUSTER_VMS, c->name,
                    hc_now_us () + (c->kill_leader ? 6000000 : 1500000)))
    fail_msg ("%s: the state is not shown", c->name);
  tst_cluster_teardown (cluster);
  free (cluster);
}

static void
test_state_of_a_job_on_its_way (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    run_case (&cases[i]);
}

/* A VM has stored a job by itself, and its message to the leader is lost: the
   log alone knows. */
static void
test_state_of_a_job_that_only_the_log_knows (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  Cyc__CellStep step = CYC__CELL_STEP__INIT;
  Cyc__CellStep *steps = &step;
  Cyc__CellJob job = CYC__CELL_JOB__INIT;
  uint8_t record[256] = { sizeof JOB_KEY - 1 };
  size_t len = sizeof JOB_KEY;
  uint32_t leader;

  (void)state;
  tst_cluster_setup (cluster);
  leader = tst_cluster_leader_index (cluster);
  memcpy (record + 1, JOB_KEY, sizeof JOB_KEY - 1);
  step.count = 1;
  job.queue = "plain";
  job.team = "blue";
  job.steps = &steps;
  job.n_steps = 1;
  job.accepted_ms = hc_wall_ms ();
  len += cyc__cell_job__pack (&job, record + len);
  for (uint32_t vm = 0; vm < TST_CLUSTER_VMS; vm++)
    {
      uint64_t start_us = hc_now_us ();
      char path[] = JOB_PATH;

      /* The last digit of the ID. */
      record[sizeof JOB_KEY - 1] = path[sizeof JOB_PATH - 2]
          = (char)('2' + vm);
      fkp_append (&cluster->fake, "keyed.cyc-jobs", record, len);
      cluster->next_call = 1;
      assert_int_equal (tst_cluster_request (cluster,
                                             (leader + vm) % TST_CLUSTER_VMS,
                                             "GET", path, ""),
                        PT_ANSWER_STATE);
      assert_true (hc_now_us () - start_us < 400000);
    }
  tst_cluster_teardown (cluster);
  free (cluster);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_state_of_a_job_on_its_way),
    cmocka_unit_test (test_state_of_a_job_that_only_the_log_knows),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
