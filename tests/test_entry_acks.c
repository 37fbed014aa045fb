/* Guards against a batch that has nothing to append and is never reported as
   durable: no later end is acknowledged under this leader then. */

#include "entry_owner_internal.h"
#include "tst_cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define LARGE_JOB 0xa1
#define LARGE_PATH "/plain/00000000000000a1"
#define LARGE_FIRST_TASK "00000000000000a1.0.0.0"
#define SMALL_JOB 0xa2
#define SMALL_PATH "/plain/00000000000000a2"
#define SMALL_BODY                                                            \
  "{\"spec\":\"a\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":10,"        \
  "\"estimate_ms\":200}]}"
/** A step of a job with more than CELL_BLOCK_TASKS tasks. */
#define STEP "{\"count\":60,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":400}"
#define WAIT_MS 8000
/** Delay of the log's answers before a takeover. */
#define SLOW_LOG_MS 150

struct acks_case
{
  const char *name;
  const char *steps;
  uint32_t task_ms;
  const char *failing_task; /* NULL: the job is cancelled */
  bool takeover;            /* after that, while a worker gives no answer */
};

static const struct acks_case cases[] = {
  { "a cancelled job of three steps", STEP "," STEP "," STEP, 2500 },
  { "a cancelled job of one step",
    "{\"count\":180,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":400}", 2500 },
  { "a failed job whose other runs end later",
    "{\"count\":180,\"cpu\":100,\"mem_mb\":10,\"estimate_ms\":400}", 2500,
    .failing_task = LARGE_FIRST_TASK },
  { "late ends after a takeover", STEP "," STEP "," STEP, 2500,
    .takeover = true },
};

static enum cell_job_state
job_state (struct tst_cluster *cluster, uint64_t id)
{
  const struct tst_cluster_vm *leader = tst_cluster_leader (cluster);

  return leader != NULL ? cell_job_state (leader->entry.owner->core, id) : 0;
}

static bool
wait_for_state (struct tst_cluster *cluster, uint64_t id,
                enum cell_job_state state)
{
  for (int i = 0; i < WAIT_MS / 10; i++)
    {
      if (job_state (cluster, id) == state)
        return true;
      tst_cluster_run (cluster, 10);
    }
  return false;
}

/* Returns the number of ends that are listed and not acknowledged. */
static uint32_t
open_ends (const struct tst_cluster *cluster)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < cluster->fake.worker_count; i++)
    count += cluster->fake.workers[i].end_count;
  return count;
}

static uint32_t
ends_with (const struct tst_cluster *cluster, const char *outcome)
{
  uint32_t count = 0;

  for (guint i = 0; i < cluster->fake.history->len; i++)
    {
      const struct fkp_history *row
          = &g_array_index (cluster->fake.history, struct fkp_history, i);

      count += row->outcome != NULL && strcmp (row->outcome, outcome) == 0;
    }
  return count;
}

/* Ends the large job while runs of it go on. */
static void
end_large_job (struct tst_cluster *cluster, const struct acks_case *c)
{
  struct fkp_worker *slow = &cluster->fake.workers[0];
  uint32_t leader = tst_cluster_leader_index (cluster);

  if (c->failing_task != NULL)
    {
      if (!wait_for_state (cluster, LARGE_JOB, CELL_JOB_FAILED))
        fail_msg ("%s: the job has not failed", c->name);
      return;
    }
  tst_cluster_run (cluster, 500);
  slow->silent = c->takeover;
  if (c->takeover)
    {
      /* The leader ends before it removes the records of the runs. */
      cluster->fake.faults.log_delay_ms = SLOW_LOG_MS;
    }
  assert_int_equal (
      tst_cluster_request (cluster, leader, "DELETE", LARGE_PATH, ""),
      PT_ANSWER_CANCELLED);
  if (!c->takeover)
    return;
  tst_cluster_kill_vm (cluster, leader);
  cluster->fake.faults.log_delay_ms = 0;
  for (int i = 0; i < 60 && tst_cluster_leader (cluster) == NULL; i++)
    tst_cluster_run (cluster, 50);
  tst_cluster_run (cluster, 500);
  slow->silent = false;
}

static void
test_ends_are_acknowledged (void **state)
{
  const struct acks_case *c = *state;
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  bool complete;
  uint32_t stopped;
  uint32_t left;
  uint32_t vm;
  char body[512];

  tst_cluster_setup (cluster);
  cluster->fake.task_duration_ms = c->task_ms;
  cluster->fake.faults.failing_task = c->failing_task;
  cluster->fake.faults.failing_after_ms = 100;
  snprintf (body, sizeof body, "{\"spec\":\"a\",\"steps\":[%s]}", c->steps);
  vm = tst_cluster_leader_index (cluster);
  assert_int_equal (
      tst_cluster_request (cluster, vm, "POST", LARGE_PATH, body),
      PT_ANSWER_ACCEPTED);
  end_large_job (cluster, c);
  tst_cluster_run (cluster, 1000);
  stopped = ends_with (cluster, "stopped");
  cluster->fake.task_duration_ms = 100;
  vm = tst_cluster_leader_index (cluster);
  assert_int_equal (
      tst_cluster_request (cluster, vm, "POST", SMALL_PATH, SMALL_BODY),
      PT_ANSWER_ACCEPTED);
  complete = wait_for_state (cluster, SMALL_JOB, CELL_JOB_COMPLETE);
  for (int i = 0; i < WAIT_MS / 10 && open_ends (cluster) > 0; i++)
    tst_cluster_run (cluster, 10);
  left = open_ends (cluster);
  tst_cluster_teardown (cluster);
  free (cluster);
  if (stopped == 0)
    fail_msg ("%s: no run went on when the job ended", c->name);
  if (!complete)
    fail_msg ("%s: the later job is not complete", c->name);
  if (left > 0)
    fail_msg ("%s: %u ends are not acknowledged", c->name, left);
}

int
main (void)
{
  struct CMUnitTest tests[G_N_ELEMENTS (cases)];

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    tests[i] = (struct CMUnitTest){
      .name = cases[i].name,
      .test_func = test_ends_are_acknowledged,
      .initial_state = (void *)&cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
