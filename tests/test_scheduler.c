/**
 * @file
 * Schedulers against the fakes of the log, the VM list and the workers: jobs
 * run, and no task runs twice at once or beyond a worker's capacity, while
 * owners, workers, the VM list or the log fail.
 */
#include "tst_sched.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static void
assert_no_overlap_or_overrun (const struct tst_sched_env *env)
{
  struct tst_sched_summary summary;

  tst_sched_summary (env, &summary);
  assert_int_equal (summary.overlaps, 0);
  assert_int_equal (summary.overruns, 0);
}

/* A new owner must keep the running replicas. */
static void
assert_no_replica_stopped (const struct tst_sched_env *env)
{
  struct tst_sched_summary summary;

  tst_sched_summary (env, &summary);
  assert_int_equal (summary.replicas_stopped, 0);
}

/* A job and the state that a test waits for. */
struct job_probe
{
  struct sc_scheduler *sc;
  struct cyc_id128 job;
  enum cyc_job_state expected_state;
  uint64_t expected_running_tasks;
};

static bool
job_has_state (void *user)
{
  struct job_probe *probe = user;
  const struct cyc_job_row *row
      = cyc_jobs_find (&probe->sc->jobs, &probe->job);

  return row != NULL && row->state == probe->expected_state;
}

static bool
has_expected_running_tasks (void *user)
{
  struct job_probe *probe = user;
  struct cyc_core_totals totals;

  if (probe->sc->epoch == 0)
    return false;
  cyc_core_totals (&probe->sc->core, &totals);
  return totals.running_tasks == probe->expected_running_tasks;
}

static void
publish_all (struct tst_sched_env *env)
{
  tst_sched_publish (env, "fleet", TST_SCHED_FLEET);
  tst_sched_publish_team (env, "orders", 40000);
  tst_sched_publish_queue (env, "check", "orders", "service", 4, 0, true);
  tst_sched_publish_queue (env, "tally", "orders", "batch", 1, 1, true);
  tst_sched_publish_queue (env, "train", "orders", "gang", 3, 1, true);
  tst_sched_publish_queue (env, "bill", "orders", "batch", 1, 1, false);
}

/* Guards against accepted jobs and services that are never started. */
static void
service_batch_and_gang_are_placed (void **state)
{
  static struct tst_sched_env env;
  struct job_probe batch = { .expected_state = CYC_JOB_DONE };
  struct job_probe gang = { .expected_state = CYC_JOB_DONE };
  struct job_probe services = { .expected_running_tasks = 2 };

  (void)state;
  tst_sched_setup (&env, 4);
  publish_all (&env);
  batch.sc = gang.sc = services.sc
      = tst_sched_start (&env, "entry-1", "north-a");
  batch.job = tst_sched_submit (&env, "tally", "orders", 2);
  gang.job = tst_sched_submit (&env, "train", "orders", 3);
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, batch.sc, 8000));
  assert_true (tst_sched_run_until (&env, job_has_state, &batch, 8000));
  assert_true (tst_sched_run_until (&env, job_has_state, &gang, 8000));
  assert_true (
      tst_sched_run_until (&env, has_expected_running_tasks, &services, 3000));
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

static bool
first_task_is_running (void *user)
{
  struct job_probe *probe = user;
  uint32_t t = sc_task_find (probe->sc, &probe->job, 0);

  return t != SC_NONE && probe->sc->tasks[t].state == SC_TASK_RUNNING;
}

static struct sc_scheduler *
start_owner (struct tst_sched_env *env, uint32_t workers)
{
  struct sc_scheduler *sc;

  tst_sched_setup (env, workers);
  publish_all (env);
  tst_sched_publish_queue (env, "long", "orders", "batch", 1, 4, true);
  tst_sched_publish_queue (env, "once", "orders", "batch", 1, 4, false);
  sc = tst_sched_start (env, "entry-1", "north-a");
  assert_true (tst_sched_run_until (env, tst_sched_starts_allowed, sc, 8000));
  return sc;
}

static uint32_t
count_starts (struct tst_sched_env *env, const struct cyc_id128 *job)
{
  char hex[33];
  char pattern[64];
  uint32_t count = 0;
  const char *lines = env->workers.journal.lines->str;

  cyc_id128_hex (job, hex);
  snprintf (pattern, sizeof pattern, "\"task\":\"%s.", hex);
  for (const char *line = lines; line != NULL; line = strchr (line + 1, '\n'))
    {
      const char *end = strchr (line + 1, '\n');
      gchar *text = g_strndup (line, end ? (gsize)(end - line) : 0);

      count += strstr (text, "\"start\"") != NULL
               && strstr (text, pattern) != NULL;
      g_free (text);
    }
  return count;
}

/* A standby that takes over must adopt the running tasks instead of starting
   them again, and must not start a task while the earlier owner still may. */
static void
standby_takes_over_without_repeated_starts (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct sc_scheduler *standby;
  uint64_t killed_us;

  (void)state;
  probe.sc = start_owner (&env, 4);
  standby = tst_sched_start (&env, "entry-2", "north-a");
  probe.job = tst_sched_submit (&env, "long", "orders", 2);
  assert_true (
      tst_sched_run_until (&env, first_task_is_running, &probe, 3000));
  tst_sched_run (&env, 300);
  killed_us = hc_now_us ();
  tst_sched_kill (&env, probe.sc);
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, standby, 8000));
  printf ("takeover after a crash: %" PRIu64
          " ms at a claim lease of 600 ms\n",
          (hc_now_us () - killed_us) / SC_US_PER_MS);
  probe.sc = standby;
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 8000));
  assert_int_equal (count_starts (&env, &probe.job), 2);
  assert_no_replica_stopped (&env);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

static bool
has_stopped (void *sc)
{
  return ((struct sc_scheduler *)sc)->phase == SC_PHASE_EXIT;
}

/* After a planned stop the standby must not wait for the end of the claim
   lease, as it does after a crash, and no task may end. */
static void
planned_stop_hands_over_without_waiting_for_the_lease (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct sc_scheduler *standby;
  uint64_t requested_us;

  (void)state;
  probe.sc = start_owner (&env, 4);
  standby = tst_sched_start (&env, "entry-2", "north-a");
  probe.job = tst_sched_submit (&env, "long", "orders", 2);
  assert_true (
      tst_sched_run_until (&env, first_task_is_running, &probe, 3000));
  requested_us = hc_now_us ();
  sc_stop (probe.sc);
  assert_true (tst_sched_run_until (&env, has_stopped, probe.sc, 3000));
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, standby, 3000));
  printf ("takeover after a planned stop: %" PRIu64 " ms\n",
          (hc_now_us () - requested_us) / SC_US_PER_MS);
  assert_true (hc_now_us () - requested_us < 500 * SC_US_PER_MS);
  tst_sched_kill (&env, probe.sc);
  probe.sc = standby;
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 8000));
  assert_int_equal (count_starts (&env, &probe.job), 2);
  assert_no_replica_stopped (&env);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* If a worker started a task but its answer was lost, the task must not be
   started elsewhere; the next heartbeat lists it. */
static void
start_with_lost_answer_is_resolved_by_heartbeat (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };

  (void)state;
  probe.sc = start_owner (&env, 4);
  tst_sched_run (&env, 300);
  for (uint32_t i = 0; i < env.workers.worker_count; i++)
    env.workers.workers[i]->faults.lose_start_answers = 2;
  probe.job = tst_sched_submit (&env, "tally", "orders", 6);
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 12000));
  assert_int_equal (count_starts (&env, &probe.job), 6);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

static struct fk_worker *
worker_of_first_task (struct tst_sched_env *env, const struct job_probe *probe)
{
  uint32_t t = sc_task_find (probe->sc, &probe->job, 0);

  assert_int_not_equal (t, SC_NONE);
  return tst_sched_find_worker (
      env, probe->sc->workers[probe->sc->tasks[t].worker].name.data);
}

/* The task of a silent worker must not run elsewhere while the worker may hold
   its lease, and must run again afterwards. */
static void
task_of_a_silent_worker_runs_again_after_its_lease (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };

  (void)state;
  probe.sc = start_owner (&env, 4);
  probe.job = tst_sched_submit (&env, "long", "orders", 1);
  assert_true (
      tst_sched_run_until (&env, first_task_is_running, &probe, 3000));
  worker_of_first_task (&env, &probe)->faults.silent = true;
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 14000));
  assert_int_equal (count_starts (&env, &probe.job), 2);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* A worker that lost its tasks in a restart must not hold them up until the
   end of their leases. */
static void
task_of_a_restarted_worker_runs_again_at_once (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct fk_worker *worker;

  (void)state;
  probe.sc = start_owner (&env, 4);
  probe.job = tst_sched_submit (&env, "long", "orders", 1);
  assert_true (
      tst_sched_run_until (&env, first_task_is_running, &probe, 3000));
  worker = worker_of_first_task (&env, &probe);
  fk_tasks_fail_all (worker);
  worker->epoch = 0;
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 7000));
  assert_int_equal (count_starts (&env, &probe.job), 2);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* If the worker and the owner that started an unrepeatable task are lost
   together, the job must end as unknown and its task must not run again. */
static void
unrepeatable_job_ends_as_unknown (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_UNKNOWN };
  struct sc_scheduler *standby;

  (void)state;
  probe.sc = start_owner (&env, 4);
  standby = tst_sched_start (&env, "entry-2", "north-a");
  probe.job = tst_sched_submit (&env, "once", "orders", 1);
  assert_true (
      tst_sched_run_until (&env, first_task_is_running, &probe, 3000));
  fk_tasks_fail_all (worker_of_first_task (&env, &probe));
  tst_sched_kill (&env, probe.sc);
  probe.sc = standby;
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 10000));
  assert_int_equal (count_starts (&env, &probe.job), 1);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* The domain's balance of the team's limit must bound all running tasks, not
   only those started later. Of 4,000 millicores, north-a has half. */
static void
a_team_stays_within_its_limit (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct tst_sched_summary summary;

  (void)state;
  tst_sched_setup (&env, 4);
  tst_sched_publish (&env, "fleet", TST_SCHED_FLEET);
  tst_sched_publish_team (&env, "small", 4000);
  tst_sched_publish_queue (&env, "tally", "small", "batch", 1, 1, true);
  probe.sc = tst_sched_start (&env, "entry-1", "north-a");
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, probe.sc, 8000));
  probe.job = tst_sched_submit (&env, "tally", "small", 6);
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 12000));
  tst_sched_summary (&env, &summary);
  assert_int_equal (summary.peak_millicores, 2000);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* An owner whose tick did not run for longer than its claim lease must not
   start a task when it resumes. */
static void
a_paused_owner_starts_nothing_when_it_resumes (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct sc_scheduler *paused;

  (void)state;
  paused = start_owner (&env, 4);
  probe.sc = tst_sched_start (&env, "entry-2", "north-a");
  tst_sched_run (&env, 300);
  ev_timer_stop (env.loop, &paused->timer);
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, probe.sc, 8000));
  probe.job = tst_sched_submit (&env, "long", "orders", 4);
  ev_timer_again (env.loop, &paused->timer);
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 9000));
  assert_false (paused->starts_allowed);
  assert_int_equal (paused->epoch, 0);
  assert_int_equal (count_starts (&env, &probe.job), 4);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* While the log is down, the owner keeps its claim through the majority of its
   workers and still starts the tasks of jobs that were accepted before. */
static void
owner_keeps_starting_tasks_while_the_log_is_down (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct job_probe started;

  (void)state;
  probe.sc = start_owner (&env, 4);
  tst_sched_start (&env, "entry-2", "north-a");
  probe.job = tst_sched_submit (&env, "long", "orders", 24);
  started = probe;
  assert_true (
      tst_sched_run_until (&env, first_task_is_running, &started, 3000));
  env.log.faults.down = true;
  tst_sched_run (&env, 5500);
  assert_true (probe.sc->starts_allowed);
  assert_int_equal (count_starts (&env, &probe.job), 24);
  env.log.faults.down = false;
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 12000));
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

static bool
broken_append (struct lc_log *log, const struct lc_append *append)
{
  (void)log;
  (void)append;
  return false;
}

static bool
broken_read (struct lc_log *log, const struct lc_read *read)
{
  (void)log;
  (void)read;
  return false;
}

static const struct lc_vtable broken_log
    = { .append = broken_append, .read = broken_read };

/* An owner that alone lost the log can extend its claim through its workers.
   A standby that claims the domain must end that extension before it starts a
   task. */
static void
two_owners_never_start_tasks_concurrently (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct sc_scheduler *old;

  (void)state;
  old = start_owner (&env, 4);
  probe.sc = tst_sched_start (&env, "entry-2", "north-a");
  tst_sched_run (&env, 300);
  old->log.log.vtable = &broken_log;
  for (int i = 0; i < 500 && !probe.sc->starts_allowed; i++)
    {
      tst_sched_run (&env, 10);
      assert_false (old->starts_allowed && probe.sc->starts_allowed);
    }
  assert_true (probe.sc->starts_allowed);
  assert_false (old->starts_allowed);
  probe.job = tst_sched_submit (&env, "tally", "orders", 4);
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 9000));
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* A worker that the new owner cannot reach may run any task of the earlier
   owner: no such task may be started elsewhere before its lease has ended. */
static void
tasks_of_an_unreached_worker_wait_for_the_lease_end (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct sc_scheduler *standby;

  (void)state;
  probe.sc = start_owner (&env, 5);
  standby = tst_sched_start (&env, "entry-2", "north-a");
  probe.job = tst_sched_submit (&env, "long", "orders", 1);
  assert_true (
      tst_sched_run_until (&env, first_task_is_running, &probe, 3000));
  worker_of_first_task (&env, &probe)->faults.silent = true;
  tst_sched_kill (&env, probe.sc);
  probe.sc = standby;
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, standby, 8000));
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 14000));
  assert_int_equal (count_starts (&env, &probe.job), 2);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

static void
append_cancel (struct tst_sched_env *env, const struct cyc_id128 *job)
{
  struct cyc_job_event event
      = { .kind = CYC_JOB_EVENT_CANCEL, .job_id = *job };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_jobs (&id, CYC_STR ("entry-9"), &event, 1, &record));
  tst_sched_append (env, "jobs", record);
}

/* A cancelled job must stop its running tasks at once instead of letting
   them run to their end. */
static void
cancelled_job_stops_running (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_CANCELLED };
  uint64_t requested_us;

  (void)state;
  probe.sc = start_owner (&env, 4);
  probe.job = tst_sched_submit (&env, "long", "orders", 3);
  assert_true (
      tst_sched_run_until (&env, first_task_is_running, &probe, 3000));
  requested_us = hc_now_us ();
  append_cancel (&env, &probe.job);
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 3000));
  assert_true (hc_now_us () - requested_us < 2 * SC_US_PER_S);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* If the VM list cannot be read or is empty, running tasks must continue and
   must not be started again. */
static void
wrong_or_missing_vm_list_leaves_tasks_running (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };

  (void)state;
  probe.sc = start_owner (&env, 4);
  probe.job = tst_sched_submit (&env, "long", "orders", 4);
  assert_true (
      tst_sched_run_until (&env, first_task_is_running, &probe, 3000));
  env.vms.down = true;
  tst_sched_run (&env, 800);
  env.vms.down = false;
  json_object_put (env.vms.current_list);
  env.vms.current_list = json_tokener_parse ("{\"vms\":[]}");
  tst_sched_run (&env, 1500);
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 8000));
  assert_int_equal (count_starts (&env, &probe.job), 4);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* A worker that reports that it is draining must get no new task. */
static void
draining_worker_gets_no_task (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct fk_worker *worker;
  guint task_count_before;

  (void)state;
  probe.sc = start_owner (&env, 2);
  tst_sched_run (&env, 500);
  worker = tst_sched_find_worker (&env, "w-0");
  worker->faults.draining = true;
  tst_sched_run (&env, 500);
  task_count_before = worker->tasks->len;
  probe.job = tst_sched_submit (&env, "tally", "orders", 8);
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 20000));
  assert_true (worker->tasks->len <= task_count_before);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* Idle balance of a team must move to the domain that needs it, and the sum
   over the domains must stay equal to the team's limit. */
static void
idle_balance_moves_to_the_domain_that_needs_it (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };
  struct sc_scheduler *other;
  struct tst_sched_summary summary;
  struct cyc_balance a;
  struct cyc_balance b;

  (void)state;
  tst_sched_setup (&env, 4);
  tst_sched_add_worker (&env, "v-0", "north-b");
  tst_sched_publish (&env, "fleet", TST_SCHED_FLEET);
  tst_sched_publish_team (&env, "small", 8000);
  tst_sched_publish_queue (&env, "long", "small", "batch", 1, 3, true);
  probe.sc = tst_sched_start (&env, "entry-1", "north-a");
  other = tst_sched_start (&env, "entry-2", "north-b");
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, probe.sc, 8000));
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, other, 8000));
  probe.job = tst_sched_submit (&env, "long", "small", 12);
  tst_sched_run (&env, 3500);
  a = cyc_led_balance (ctl_ledger (&probe.sc->ctl), CYC_STR ("small"),
                       CYC_STR ("north-a"));
  b = cyc_led_balance (ctl_ledger (&probe.sc->ctl), CYC_STR ("small"),
                       CYC_STR ("north-b"));
  assert_int_equal (a.millicores + b.millicores, 8000);
  assert_true (a.millicores >= 6000);
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 12000));
  tst_sched_summary (&env, &summary);
  assert_true (summary.peak_millicores > 4000);
  assert_true (summary.peak_millicores <= 8000);
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

/* An open job must not be lost when the log trims its submission. */
static void
open_jobs_are_resubmitted_before_they_are_trimmed (void **state)
{
  static struct tst_sched_env env;
  struct job_probe probe = { .expected_state = CYC_JOB_DONE };

  (void)state;
  probe.sc = start_owner (&env, 4);
  env.log.faults.retain = 40;
  probe.job = tst_sched_submit (&env, "long", "orders", 1);
  for (int i = 0; i < 100; i++)
    {
      tst_sched_submit (&env, "nowhere", "orders", 1);
      tst_sched_run (&env, 30);
    }
  tst_sched_kill (&env, probe.sc);
  probe.sc = tst_sched_start (&env, "entry-2", "north-a");
  assert_true (tst_sched_run_until (&env, job_has_state, &probe, 12000));
  assert_no_overlap_or_overrun (&env);
  tst_sched_shutdown (&env);
}

static bool
runs_no_batch_task (void *user)
{
  const struct fk_worker *worker = user;

  for (guint i = 0; i < worker->tasks->len; i++)
    if (strcmp (((struct fk_task *)worker->tasks->pdata[i])->kind, "batch")
        == 0)
      return false;
  return true;
}

/* A running task whose job was not read from the log yet must not be stopped;
   once the jobs stream was read beyond the claim, a task without a job must
   be. */
static void
task_of_an_unread_job_is_not_stopped (void **state)
{
  static struct tst_sched_env env;
  struct sc_scheduler *sc;
  struct fk_worker *worker;
  struct wc_start unknown_task = {
    .task = CYC_STR ("00112233445566778899aabbccddeeff.0"),
    .lease = { { 9 } },
    .kind = CYC_KIND_BATCH,
    .queue = CYC_STR ("long"),
    .size = { .millicores = 10, .memory_mib = 1 },
    .run_ms = 60000,
    .done = sc_ignore_result,
  };

  (void)state;
  sc = start_owner (&env, 1);
  worker = tst_sched_find_worker (&env, "w-0");
  unknown_task.address = cyc_str_of (
      cyc_mem_at (&sc->members, sc->workers[0].member)->vm.address);
  unknown_task.epoch = sc->epoch;
  unknown_task.not_after_us = hc_now_us () + 60 * SC_US_PER_S;
  unknown_task.deadline_us = hc_now_us () + SC_US_PER_S;
  sc->caught_up_epoch = 0;
  sc->barrier_open = true;
  assert_true (wc_start (sc->worker_client, &unknown_task));
  tst_sched_run (&env, 500);
  assert_false (runs_no_batch_task (worker));
  sc->barrier_open = false;
  assert_true (tst_sched_run_until (&env, runs_no_batch_task, worker, 3000));
  tst_sched_shutdown (&env);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (service_batch_and_gang_are_placed),
    cmocka_unit_test (standby_takes_over_without_repeated_starts),
    cmocka_unit_test (planned_stop_hands_over_without_waiting_for_the_lease),
    cmocka_unit_test (start_with_lost_answer_is_resolved_by_heartbeat),
    cmocka_unit_test (task_of_a_silent_worker_runs_again_after_its_lease),
    cmocka_unit_test (task_of_a_restarted_worker_runs_again_at_once),
    cmocka_unit_test (unrepeatable_job_ends_as_unknown),
    cmocka_unit_test (a_team_stays_within_its_limit),
    cmocka_unit_test (a_paused_owner_starts_nothing_when_it_resumes),
    cmocka_unit_test (owner_keeps_starting_tasks_while_the_log_is_down),
    cmocka_unit_test (two_owners_never_start_tasks_concurrently),
    cmocka_unit_test (tasks_of_an_unreached_worker_wait_for_the_lease_end),
    cmocka_unit_test (cancelled_job_stops_running),
    cmocka_unit_test (wrong_or_missing_vm_list_leaves_tasks_running),
    cmocka_unit_test (draining_worker_gets_no_task),
    cmocka_unit_test (idle_balance_moves_to_the_domain_that_needs_it),
    cmocka_unit_test (open_jobs_are_resubmitted_before_they_are_trimmed),
    cmocka_unit_test (task_of_an_unread_job_is_not_stopped),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
