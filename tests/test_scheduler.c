/**
 * @file
 * Schedulers against the fakes: work is placed, and the promises about it hold
 * when owners, workers and the log fail.
 */
#include "tst_cell.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static void
assert_promises (const struct tst_sched_env *env)
{
  struct tst_sched_summary summary;

  tst_sched_summary (env, &summary);
  assert_int_equal (summary.overlaps, 0);
  assert_int_equal (summary.overruns, 0);
}

/* A takeover leaves the replicas that run alone. */
static void
assert_no_replica_stopped (const struct tst_sched_env *env)
{
  struct tst_sched_summary summary;

  tst_sched_summary (env, &summary);
  assert_int_equal (summary.replicas_stopped, 0);
}

struct goal
{
  struct sc_scheduler *sc;
  struct cyc_id128 job;
  enum cyc_job_state state;
  uint64_t running;
};

static bool
job_has_state (void *user)
{
  struct goal *goal = user;
  const struct cyc_job_row *row = cyc_jobs_find (&goal->sc->jobs, &goal->job);

  return row != NULL && row->state == goal->state;
}

static bool
runs_so_many (void *user)
{
  struct goal *goal = user;
  struct cyc_core_totals totals;

  if (goal->sc->epoch == 0)
    return false;
  cyc_core_totals (&goal->sc->core, &totals);
  return totals.running_tasks == goal->running;
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

/* Guards against work that is accepted and never run. */
static void
service_batch_and_gang_are_placed (void **state)
{
  static struct tst_sched_env env;
  struct goal batch = { .state = CYC_JOB_DONE };
  struct goal gang = { .state = CYC_JOB_DONE };
  struct goal services = { .running = 2 };

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
  assert_true (tst_sched_run_until (&env, runs_so_many, &services, 3000));
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

static bool
has_started (void *user)
{
  struct goal *goal = user;
  uint32_t t = sc_task_find (goal->sc, &goal->job, 0);

  return t != SC_NONE && goal->sc->tasks[t].state == SC_TASK_RUNNING;
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
starts_of (struct tst_sched_env *env, const struct cyc_id128 *job)
{
  char hex[33];
  char pattern[64];
  uint32_t count = 0;
  const char *at = env->workers.journal.lines->str;

  cyc_id128_hex (job, hex);
  snprintf (pattern, sizeof pattern, "\"task\":\"%s.", hex);
  for (const char *line = at; line != NULL; line = strchr (line + 1, '\n'))
    {
      const char *end = strchr (line + 1, '\n');
      gchar *text = g_strndup (line, end ? (gsize)(end - line) : 0);

      count += strstr (text, "\"start\"") != NULL
               && strstr (text, pattern) != NULL;
      g_free (text);
    }
  return count;
}

/* A standby must find what runs, not start it again; and it must not start
   anything while the earlier owner may still act. */
static void
standby_takes_over_without_second_starts (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *standby;
  uint64_t killed_us;

  (void)state;
  goal.sc = start_owner (&env, 4);
  standby = tst_sched_start (&env, "entry-2", "north-a");
  goal.job = tst_sched_submit (&env, "long", "orders", 2);
  assert_true (tst_sched_run_until (&env, has_started, &goal, 3000));
  tst_sched_run (&env, 300);
  killed_us = hc_now_us ();
  tst_sched_kill (&env, goal.sc);
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, standby, 8000));
  printf ("takeover after a crash: %" PRIu64
          " ms at a claim lease of 600 ms\n",
          (hc_now_us () - killed_us) / SC_US_PER_MS);
  goal.sc = standby;
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 8000));
  assert_int_equal (starts_of (&env, &goal.job), 2);
  assert_no_replica_stopped (&env);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

static bool
has_left (void *sc)
{
  return ((struct sc_scheduler *)sc)->phase == SC_PHASE_EXIT;
}

/* A planned stop must not cost the wait that a crash costs, nor end a task. */
static void
planned_stop_hands_over_at_once (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *standby;
  uint64_t asked_us;

  (void)state;
  goal.sc = start_owner (&env, 4);
  standby = tst_sched_start (&env, "entry-2", "north-a");
  goal.job = tst_sched_submit (&env, "long", "orders", 2);
  assert_true (tst_sched_run_until (&env, has_started, &goal, 3000));
  asked_us = hc_now_us ();
  sc_stop (goal.sc);
  assert_true (tst_sched_run_until (&env, has_left, goal.sc, 3000));
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, standby, 3000));
  printf ("takeover after a planned stop: %" PRIu64 " ms\n",
          (hc_now_us () - asked_us) / SC_US_PER_MS);
  assert_true (hc_now_us () - asked_us < 500 * SC_US_PER_MS);
  tst_sched_kill (&env, goal.sc);
  goal.sc = standby;
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 8000));
  assert_int_equal (starts_of (&env, &goal.job), 2);
  assert_no_replica_stopped (&env);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* A start that took effect unanswered must not be repeated elsewhere. */
static void
lost_answer_of_a_start_is_resolved_by_heartbeat (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };

  (void)state;
  goal.sc = start_owner (&env, 4);
  tst_sched_run (&env, 300);
  for (uint32_t i = 0; i < env.workers.worker_count; i++)
    env.workers.workers[i]->faults.lose_start_answers = 2;
  goal.job = tst_sched_submit (&env, "tally", "orders", 6);
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 12000));
  assert_int_equal (starts_of (&env, &goal.job), 6);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

static struct fk_worker *
worker_of (struct tst_sched_env *env, const struct goal *goal)
{
  uint32_t t = sc_task_find (goal->sc, &goal->job, 0);

  assert_int_not_equal (t, SC_NONE);
  return tst_sched_find_worker (
      env, goal->sc->workers[goal->sc->tasks[t].worker].name.data);
}

/* While a silent worker may hold the lease, its task must not run elsewhere;
   afterwards it must. */
static void
task_of_a_silent_worker_runs_again_after_its_lease (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };

  (void)state;
  goal.sc = start_owner (&env, 4);
  goal.job = tst_sched_submit (&env, "long", "orders", 1);
  assert_true (tst_sched_run_until (&env, has_started, &goal, 3000));
  worker_of (&env, &goal)->faults.silent = true;
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 14000));
  assert_int_equal (starts_of (&env, &goal.job), 2);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

static void
task_of_a_restarted_worker_runs_again_at_once (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct fk_worker *worker;

  (void)state;
  goal.sc = start_owner (&env, 4);
  goal.job = tst_sched_submit (&env, "long", "orders", 1);
  assert_true (tst_sched_run_until (&env, has_started, &goal, 3000));
  worker = worker_of (&env, &goal);
  fk_tasks_lost (worker);
  worker->epoch = 0;
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 7000));
  assert_int_equal (starts_of (&env, &goal.job), 2);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* Work that may not be repeated, whose worker is lost together with the owner
   that started it, must end as unknown and never run again. */
static void
work_that_may_not_be_repeated_ends_unknown (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_UNKNOWN };
  struct sc_scheduler *standby;

  (void)state;
  goal.sc = start_owner (&env, 4);
  standby = tst_sched_start (&env, "entry-2", "north-a");
  goal.job = tst_sched_submit (&env, "once", "orders", 1);
  assert_true (tst_sched_run_until (&env, has_started, &goal, 3000));
  fk_tasks_lost (worker_of (&env, &goal));
  tst_sched_kill (&env, goal.sc);
  goal.sc = standby;
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 10000));
  assert_int_equal (starts_of (&env, &goal.job), 1);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* The allotment of the domain bounds what runs, not only what is started
   later. */
static void
a_team_stays_within_its_limit (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct tst_sched_summary summary;

  (void)state;
  tst_sched_setup (&env, 4);
  tst_sched_publish (&env, "fleet", TST_SCHED_FLEET);
  tst_sched_publish_team (&env, "small", 4000);
  tst_sched_publish_queue (&env, "tally", "small", "batch", 1, 1, true);
  goal.sc = tst_sched_start (&env, "entry-1", "north-a");
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, goal.sc, 8000));
  goal.job = tst_sched_submit (&env, "tally", "small", 6);
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 12000));
  tst_sched_summary (&env, &summary);
  assert_int_equal (summary.peak_millicores, 2000);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* An owner whose tick did not run for longer than its claim's lease must not
   start anything when it runs again. */
static void
a_paused_owner_starts_nothing_when_it_resumes (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *paused;

  (void)state;
  paused = start_owner (&env, 4);
  goal.sc = tst_sched_start (&env, "entry-2", "north-a");
  tst_sched_run (&env, 300);
  ev_timer_stop (env.loop, &paused->timer);
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, goal.sc, 8000));
  goal.job = tst_sched_submit (&env, "long", "orders", 4);
  ev_timer_again (env.loop, &paused->timer);
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 9000));
  assert_false (paused->starts_allowed);
  assert_int_equal (paused->epoch, 0);
  assert_int_equal (starts_of (&env, &goal.job), 4);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* While the log is down the owner keeps its hold by its workers' majority, and
   what was accepted before is still placed. */
static void
owner_goes_on_while_the_log_is_down (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct goal started;

  (void)state;
  goal.sc = start_owner (&env, 4);
  tst_sched_start (&env, "entry-2", "north-a");
  goal.job = tst_sched_submit (&env, "long", "orders", 24);
  started = goal;
  assert_true (tst_sched_run_until (&env, has_started, &started, 3000));
  env.log.faults.down = true;
  tst_sched_run (&env, 5500);
  assert_true (goal.sc->starts_allowed);
  assert_int_equal (starts_of (&env, &goal.job), 24);
  env.log.faults.down = false;
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 12000));
  assert_promises (&env);
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

/* An owner that alone lost the log could extend its hold by its workers; the
   standby that claims must end that before it acts. */
static void
two_owners_never_act_at_once (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *old;

  (void)state;
  old = start_owner (&env, 4);
  goal.sc = tst_sched_start (&env, "entry-2", "north-a");
  tst_sched_run (&env, 300);
  old->log.log.vtable = &broken_log;
  for (int i = 0; i < 500 && !goal.sc->starts_allowed; i++)
    {
      tst_sched_run (&env, 10);
      assert_false (old->starts_allowed && goal.sc->starts_allowed);
    }
  assert_true (goal.sc->starts_allowed);
  assert_false (old->starts_allowed);
  goal.job = tst_sched_submit (&env, "tally", "orders", 4);
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 9000));
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* A worker that the new owner could not reach may run anything of the earlier
   owner: none of that may be started elsewhere before the leases are over. */
static void
unreached_worker_holds_back_what_it_may_run (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *standby;

  (void)state;
  goal.sc = start_owner (&env, 5);
  standby = tst_sched_start (&env, "entry-2", "north-a");
  goal.job = tst_sched_submit (&env, "long", "orders", 1);
  assert_true (tst_sched_run_until (&env, has_started, &goal, 3000));
  worker_of (&env, &goal)->faults.silent = true;
  tst_sched_kill (&env, goal.sc);
  goal.sc = standby;
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, standby, 8000));
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 14000));
  assert_int_equal (starts_of (&env, &goal.job), 2);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

static void
cancel (struct tst_sched_env *env, const struct cyc_id128 *job)
{
  struct cyc_job_event event
      = { .kind = CYC_JOB_EVENT_CANCEL, .job_id = *job };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_jobs (&id, CYC_STR ("entry-9"), &event, 1, &record));
  tst_sched_append (env, "jobs", record);
}

static void
cancelled_job_stops_running (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_CANCELLED };
  uint64_t asked_us;

  (void)state;
  goal.sc = start_owner (&env, 4);
  goal.job = tst_sched_submit (&env, "long", "orders", 3);
  assert_true (tst_sched_run_until (&env, has_started, &goal, 3000));
  asked_us = hc_now_us ();
  cancel (&env, &goal.job);
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 3000));
  assert_true (hc_now_us () - asked_us < 2 * SC_US_PER_S);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* The list may vanish, lose entries or name wrong addresses; what runs goes on
   and is not started again. */
static void
a_wrong_or_missing_list_disturbs_nothing (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };

  (void)state;
  goal.sc = start_owner (&env, 4);
  goal.job = tst_sched_submit (&env, "long", "orders", 4);
  assert_true (tst_sched_run_until (&env, has_started, &goal, 3000));
  env.vms.down = true;
  tst_sched_run (&env, 800);
  env.vms.down = false;
  json_object_put (env.vms.shown);
  env.vms.shown = json_tokener_parse ("{\"vms\":[]}");
  tst_sched_run (&env, 1500);
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 8000));
  assert_int_equal (starts_of (&env, &goal.job), 4);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* A worker that says that it is draining gets nothing new from then on. */
static void
draining_worker_gets_no_task (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct fk_worker *worker;
  guint before;

  (void)state;
  goal.sc = start_owner (&env, 2);
  tst_sched_run (&env, 500);
  worker = tst_sched_find_worker (&env, "w-0");
  worker->faults.draining = true;
  tst_sched_run (&env, 500);
  before = worker->tasks->len;
  goal.job = tst_sched_submit (&env, "tally", "orders", 8);
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 20000));
  assert_true (worker->tasks->len <= before);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* Idle allotment moves to the domain that needs it, and the sum over the
   domains stays the limit. */
static void
allotments_move_to_where_they_are_needed (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };
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
  goal.sc = tst_sched_start (&env, "entry-1", "north-a");
  other = tst_sched_start (&env, "entry-2", "north-b");
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, goal.sc, 8000));
  assert_true (
      tst_sched_run_until (&env, tst_sched_starts_allowed, other, 8000));
  goal.job = tst_sched_submit (&env, "long", "small", 12);
  tst_sched_run (&env, 3500);
  a = cyc_led_balance (ctl_ledger (&goal.sc->ctl), CYC_STR ("small"),
                       CYC_STR ("north-a"));
  b = cyc_led_balance (ctl_ledger (&goal.sc->ctl), CYC_STR ("small"),
                       CYC_STR ("north-b"));
  assert_int_equal (a.millicores + b.millicores, 8000);
  assert_true (a.millicores >= 6000);
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 12000));
  tst_sched_summary (&env, &summary);
  assert_true (summary.peak_millicores > 4000);
  assert_true (summary.peak_millicores <= 8000);
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

/* An open job must survive the trimming of its submission. */
static void
open_jobs_are_appended_again_before_they_are_trimmed (void **state)
{
  static struct tst_sched_env env;
  struct goal goal = { .state = CYC_JOB_DONE };

  (void)state;
  goal.sc = start_owner (&env, 4);
  env.log.faults.retain = 40;
  goal.job = tst_sched_submit (&env, "long", "orders", 1);
  for (int i = 0; i < 100; i++)
    {
      tst_sched_submit (&env, "nowhere", "orders", 1);
      tst_sched_run (&env, 30);
    }
  tst_sched_kill (&env, goal.sc);
  goal.sc = tst_sched_start (&env, "entry-2", "north-a");
  assert_true (tst_sched_run_until (&env, job_has_state, &goal, 12000));
  assert_promises (&env);
  tst_sched_shutdown (&env);
}

static bool
runs_nothing (void *user)
{
  const struct fk_worker *worker = user;

  for (guint i = 0; i < worker->tasks->len; i++)
    if (strcmp (((struct fk_task *)worker->tasks->pdata[i])->kind, "batch")
        == 0)
      return false;
  return true;
}

/* A running task whose job was not read yet must be left alone; once the
   stream was read beyond the claim, a task without a job is stopped. */
static void
task_of_an_unread_job_is_not_stopped (void **state)
{
  static struct tst_sched_env env;
  struct sc_scheduler *sc;
  struct fk_worker *worker;
  struct wc_start stray = {
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
  stray.address = cyc_str_of (
      cyc_mem_at (&sc->members, sc->workers[0].member)->vm.address);
  stray.epoch = sc->epoch;
  stray.not_after_us = hc_now_us () + 60 * SC_US_PER_S;
  stray.deadline_us = hc_now_us () + SC_US_PER_S;
  sc->caught_up_epoch = 0;
  sc->barrier_open = true;
  assert_true (wc_start (sc->worker_client, &stray));
  tst_sched_run (&env, 500);
  assert_false (runs_nothing (worker));
  sc->barrier_open = false;
  assert_true (tst_sched_run_until (&env, runs_nothing, worker, 3000));
  tst_sched_shutdown (&env);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (service_batch_and_gang_are_placed),
    cmocka_unit_test (standby_takes_over_without_second_starts),
    cmocka_unit_test (planned_stop_hands_over_at_once),
    cmocka_unit_test (lost_answer_of_a_start_is_resolved_by_heartbeat),
    cmocka_unit_test (task_of_a_silent_worker_runs_again_after_its_lease),
    cmocka_unit_test (task_of_a_restarted_worker_runs_again_at_once),
    cmocka_unit_test (work_that_may_not_be_repeated_ends_unknown),
    cmocka_unit_test (a_team_stays_within_its_limit),
    cmocka_unit_test (a_paused_owner_starts_nothing_when_it_resumes),
    cmocka_unit_test (owner_goes_on_while_the_log_is_down),
    cmocka_unit_test (two_owners_never_act_at_once),
    cmocka_unit_test (unreached_worker_holds_back_what_it_may_run),
    cmocka_unit_test (cancelled_job_stops_running),
    cmocka_unit_test (a_wrong_or_missing_list_disturbs_nothing),
    cmocka_unit_test (draining_worker_gets_no_task),
    cmocka_unit_test (allotments_move_to_where_they_are_needed),
    cmocka_unit_test (open_jobs_are_appended_again_before_they_are_trimmed),
    cmocka_unit_test (task_of_an_unread_job_is_not_stopped),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
