/**
 * @file
 * A task that fails on one worker after the other, while the owner of the
 * failure domain changes. Guards against an owner that forgets on which
 * workers a task has failed: it is started on more than three of them, or
 * again on one where it failed.
 */
#include "tst_sched.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define WORKERS 6
/** Default of max_attempts. */
#define ATTEMPTS 3
#define STATE_WAIT_MS 8000

struct failures_case
{
  const char *name;
  uint32_t failed_before; /**< runs before the owner changes */
};

static const struct failures_case cases[] = {
  { "one owner", UINT32_MAX },
  { "another owner after the first failed run", 1 },
  { "another owner after the second failed run", 2 },
};

struct failures_probe
{
  struct tst_sched_env *env;
  struct sc_scheduler *sc;
  struct cyc_id128 job;
};

/* Returns the run that is under way, or NULL. */
static struct fk_task *
running_task (struct tst_sched_env *env)
{
  for (uint32_t w = 0; w < env->workers.worker_count; w++)
    {
      const GPtrArray *tasks = env->workers.workers[w]->tasks;

      for (guint t = 0; t < tasks->len; t++)
        {
          struct fk_task *task = g_ptr_array_index (tasks, t);

          if (strcmp (task->state, "running") == 0)
            return task;
        }
    }
  return NULL;
}

static bool
has_failed (const struct failures_probe *probe)
{
  const struct cyc_job_row *row
      = cyc_jobs_find (&probe->sc->jobs, &probe->job);

  return row != NULL && row->state == CYC_JOB_FAILED;
}

static bool
runs_or_has_failed (void *user)
{
  const struct failures_probe *probe = user;

  return running_task (probe->env) != NULL || has_failed (probe);
}

static void
test_failures (void **state)
{
  const struct failures_case *c = *state;
  static struct tst_sched_env env;
  struct failures_probe probe = { .env = &env };
  struct sc_scheduler *standby;
  uint32_t failed = 0;

  tst_sched_setup (&env, WORKERS);
  tst_sched_publish (&env, "fleet", TST_SCHED_FLEET);
  tst_sched_publish_team (&env, "orders", 40000);
  tst_sched_publish_queue (&env, "long", "orders", "batch", 1, 60, true);
  probe.sc = tst_sched_start (&env, "entry-1", "north-a");
  assert_true (tst_sched_run_until (&env, tst_sched_starts_allowed, probe.sc,
                                    STATE_WAIT_MS));
  standby = tst_sched_start (&env, "entry-2", "north-a");
  probe.job = tst_sched_submit (&env, "long", "orders", 1);
  while (failed <= 2 * ATTEMPTS)
    {
      if (!tst_sched_run_until (&env, runs_or_has_failed, &probe,
                                STATE_WAIT_MS))
        fail_msg ("%s: no start after %u failed runs, and the job is open",
                  c->name, failed);
      if (has_failed (&probe))
        break;
      if (failed == c->failed_before && probe.sc != standby)
        {
          /* The run is confirmed, so that it outlives the owner. */
          tst_sched_run (&env, 300);
          tst_sched_kill (&env, probe.sc);
          probe.sc = standby;
          assert_true (tst_sched_run_until (&env, tst_sched_starts_allowed,
                                            standby, STATE_WAIT_MS));
          continue;
        }
      running_task (&env)->state = "failed";
      failed++;
    }
  if (failed != ATTEMPTS)
    fail_msg ("%s: shown as failed after %u failed runs, %u expected", c->name,
              failed, ATTEMPTS);
  tst_sched_shutdown (&env);
}

int
main (void)
{
  struct CMUnitTest tests[G_N_ELEMENTS (cases)];

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    tests[i] = (struct CMUnitTest){ .name = cases[i].name,
                                    .test_func = test_failures,
                                    .initial_state = (void *)&cases[i] };
  return _cmocka_run_group_tests ("scheduler_failures", tests,
                                  G_N_ELEMENTS (cases), NULL, NULL);
}
