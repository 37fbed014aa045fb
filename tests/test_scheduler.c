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
assert_promises (const struct cell *cell)
{
  struct cell_facts facts;

  cell_facts (cell, &facts);
  assert_int_equal (facts.overlaps, 0);
  assert_int_equal (facts.overruns, 0);
}

/* A takeover leaves the replicas that run alone. */
static void
assert_no_replica_stopped (const struct cell *cell)
{
  struct cell_facts facts;

  cell_facts (cell, &facts);
  assert_int_equal (facts.replicas_stopped, 0);
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
publish_all (struct cell *cell)
{
  cell_publish (cell, "fleet", CELL_FLEET);
  cell_team (cell, "orders", 40000);
  cell_queue (cell, "check", "orders", "service", 4, 0, true);
  cell_queue (cell, "tally", "orders", "batch", 1, 1, true);
  cell_queue (cell, "train", "orders", "gang", 3, 1, true);
  cell_queue (cell, "bill", "orders", "batch", 1, 1, false);
}

/* Guards against work that is accepted and never run. */
static void
service_batch_and_gang_are_placed (void **state)
{
  static struct cell cell;
  struct goal batch = { .state = CYC_JOB_DONE };
  struct goal gang = { .state = CYC_JOB_DONE };
  struct goal services = { .running = 2 };

  (void)state;
  domain_cell_setup (&cell, 4);
  publish_all (&cell);
  batch.sc = gang.sc = services.sc
      = cell_scheduler (&cell, "entry-1", "north-a");
  batch.job = cell_submit (&cell, "tally", "orders", 2);
  gang.job = cell_submit (&cell, "train", "orders", 3);
  assert_true (cell_until (&cell, cell_acting, batch.sc, 8000));
  assert_true (cell_until (&cell, job_has_state, &batch, 8000));
  assert_true (cell_until (&cell, job_has_state, &gang, 8000));
  assert_true (cell_until (&cell, runs_so_many, &services, 3000));
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

static bool
has_started (void *user)
{
  struct goal *goal = user;
  uint32_t t = sc_task_find (goal->sc, &goal->job, 0);

  return t != SC_NONE && goal->sc->tasks[t].state == SC_TASK_RUNNING;
}

static struct sc_scheduler *
start_owner (struct cell *cell, uint32_t workers)
{
  struct sc_scheduler *sc;

  domain_cell_setup (cell, workers);
  publish_all (cell);
  cell_queue (cell, "long", "orders", "batch", 1, 4, true);
  cell_queue (cell, "once", "orders", "batch", 1, 4, false);
  sc = cell_scheduler (cell, "entry-1", "north-a");
  assert_true (cell_until (cell, cell_acting, sc, 8000));
  return sc;
}

static uint32_t
starts_of (struct cell *cell, const struct cyc_id128 *job)
{
  char hex[33];
  char pattern[64];
  uint32_t count = 0;
  const char *at = cell->workers.journal.lines->str;

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
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *standby;
  uint64_t killed_us;

  (void)state;
  goal.sc = start_owner (&cell, 4);
  standby = cell_scheduler (&cell, "entry-2", "north-a");
  goal.job = cell_submit (&cell, "long", "orders", 2);
  assert_true (cell_until (&cell, has_started, &goal, 3000));
  cell_run (&cell, 300);
  killed_us = hc_now_us ();
  cell_kill (&cell, goal.sc);
  assert_true (cell_until (&cell, cell_acting, standby, 8000));
  printf ("takeover after a crash: %" PRIu64
          " ms at a claim lease of 600 ms\n",
          (hc_now_us () - killed_us) / SC_US_PER_MS);
  goal.sc = standby;
  assert_true (cell_until (&cell, job_has_state, &goal, 8000));
  assert_int_equal (starts_of (&cell, &goal.job), 2);
  assert_no_replica_stopped (&cell);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
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
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *standby;
  uint64_t asked_us;

  (void)state;
  goal.sc = start_owner (&cell, 4);
  standby = cell_scheduler (&cell, "entry-2", "north-a");
  goal.job = cell_submit (&cell, "long", "orders", 2);
  assert_true (cell_until (&cell, has_started, &goal, 3000));
  asked_us = hc_now_us ();
  sc_stop (goal.sc);
  assert_true (cell_until (&cell, has_left, goal.sc, 3000));
  assert_true (cell_until (&cell, cell_acting, standby, 3000));
  printf ("takeover after a planned stop: %" PRIu64 " ms\n",
          (hc_now_us () - asked_us) / SC_US_PER_MS);
  assert_true (hc_now_us () - asked_us < 500 * SC_US_PER_MS);
  cell_kill (&cell, goal.sc);
  goal.sc = standby;
  assert_true (cell_until (&cell, job_has_state, &goal, 8000));
  assert_int_equal (starts_of (&cell, &goal.job), 2);
  assert_no_replica_stopped (&cell);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* A start that took effect unanswered must not be repeated elsewhere. */
static void
lost_answer_of_a_start_is_resolved_by_heartbeat (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };

  (void)state;
  goal.sc = start_owner (&cell, 4);
  cell_run (&cell, 300);
  for (uint32_t i = 0; i < cell.workers.worker_count; i++)
    cell.workers.workers[i]->faults.lose_start_answers = 2;
  goal.job = cell_submit (&cell, "tally", "orders", 6);
  assert_true (cell_until (&cell, job_has_state, &goal, 12000));
  assert_int_equal (starts_of (&cell, &goal.job), 6);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

static struct fk_worker *
worker_of (struct cell *cell, const struct goal *goal)
{
  uint32_t t = sc_task_find (goal->sc, &goal->job, 0);

  assert_int_not_equal (t, SC_NONE);
  return cell_worker (cell,
                      goal->sc->workers[goal->sc->tasks[t].worker].name.data);
}

/* While a silent worker may hold the lease, its task must not run elsewhere;
   afterwards it must. */
static void
task_of_a_silent_worker_runs_again_after_its_lease (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };

  (void)state;
  goal.sc = start_owner (&cell, 4);
  goal.job = cell_submit (&cell, "long", "orders", 1);
  assert_true (cell_until (&cell, has_started, &goal, 3000));
  worker_of (&cell, &goal)->faults.silent = true;
  assert_true (cell_until (&cell, job_has_state, &goal, 14000));
  assert_int_equal (starts_of (&cell, &goal.job), 2);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

static void
task_of_a_restarted_worker_runs_again_at_once (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct fk_worker *worker;

  (void)state;
  goal.sc = start_owner (&cell, 4);
  goal.job = cell_submit (&cell, "long", "orders", 1);
  assert_true (cell_until (&cell, has_started, &goal, 3000));
  worker = worker_of (&cell, &goal);
  fk_tasks_fail_all (worker);
  worker->epoch = 0;
  assert_true (cell_until (&cell, job_has_state, &goal, 7000));
  assert_int_equal (starts_of (&cell, &goal.job), 2);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* Work that may not be repeated, whose worker is lost together with the owner
   that started it, must end as unknown and never run again. */
static void
work_that_may_not_be_repeated_ends_unknown (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_UNKNOWN };
  struct sc_scheduler *standby;

  (void)state;
  goal.sc = start_owner (&cell, 4);
  standby = cell_scheduler (&cell, "entry-2", "north-a");
  goal.job = cell_submit (&cell, "once", "orders", 1);
  assert_true (cell_until (&cell, has_started, &goal, 3000));
  fk_tasks_fail_all (worker_of (&cell, &goal));
  cell_kill (&cell, goal.sc);
  goal.sc = standby;
  assert_true (cell_until (&cell, job_has_state, &goal, 10000));
  assert_int_equal (starts_of (&cell, &goal.job), 1);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* The allotment of the domain bounds what runs, not only what is started
   later. */
static void
a_team_stays_within_its_limit (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct cell_facts facts;

  (void)state;
  domain_cell_setup (&cell, 4);
  cell_publish (&cell, "fleet", CELL_FLEET);
  cell_team (&cell, "small", 4000);
  cell_queue (&cell, "tally", "small", "batch", 1, 1, true);
  goal.sc = cell_scheduler (&cell, "entry-1", "north-a");
  assert_true (cell_until (&cell, cell_acting, goal.sc, 8000));
  goal.job = cell_submit (&cell, "tally", "small", 6);
  assert_true (cell_until (&cell, job_has_state, &goal, 12000));
  cell_facts (&cell, &facts);
  assert_int_equal (facts.peak_millicores, 2000);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* An owner whose tick did not run for longer than its claim's lease must not
   start anything when it runs again. */
static void
a_paused_owner_starts_nothing_when_it_resumes (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *paused;

  (void)state;
  paused = start_owner (&cell, 4);
  goal.sc = cell_scheduler (&cell, "entry-2", "north-a");
  cell_run (&cell, 300);
  ev_timer_stop (cell.loop, &paused->timer);
  assert_true (cell_until (&cell, cell_acting, goal.sc, 8000));
  goal.job = cell_submit (&cell, "long", "orders", 4);
  ev_timer_again (cell.loop, &paused->timer);
  assert_true (cell_until (&cell, job_has_state, &goal, 9000));
  assert_false (paused->starts_allowed);
  assert_int_equal (paused->epoch, 0);
  assert_int_equal (starts_of (&cell, &goal.job), 4);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* While the log is down the owner keeps its hold by its workers' majority, and
   what was accepted before is still placed. */
static void
owner_goes_on_while_the_log_is_down (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct goal started;

  (void)state;
  goal.sc = start_owner (&cell, 4);
  cell_scheduler (&cell, "entry-2", "north-a");
  goal.job = cell_submit (&cell, "long", "orders", 24);
  started = goal;
  assert_true (cell_until (&cell, has_started, &started, 3000));
  cell.log.faults.down = true;
  cell_run (&cell, 5500);
  assert_true (goal.sc->starts_allowed);
  assert_int_equal (starts_of (&cell, &goal.job), 24);
  cell.log.faults.down = false;
  assert_true (cell_until (&cell, job_has_state, &goal, 12000));
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
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
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *old;

  (void)state;
  old = start_owner (&cell, 4);
  goal.sc = cell_scheduler (&cell, "entry-2", "north-a");
  cell_run (&cell, 300);
  old->log.log.vtable = &broken_log;
  for (int i = 0; i < 500 && !goal.sc->starts_allowed; i++)
    {
      cell_run (&cell, 10);
      assert_false (old->starts_allowed && goal.sc->starts_allowed);
    }
  assert_true (goal.sc->starts_allowed);
  assert_false (old->starts_allowed);
  goal.job = cell_submit (&cell, "tally", "orders", 4);
  assert_true (cell_until (&cell, job_has_state, &goal, 9000));
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* A worker that the new owner could not reach may run anything of the earlier
   owner: none of that may be started elsewhere before the leases are over. */
static void
unreached_worker_holds_back_what_it_may_run (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *standby;

  (void)state;
  goal.sc = start_owner (&cell, 5);
  standby = cell_scheduler (&cell, "entry-2", "north-a");
  goal.job = cell_submit (&cell, "long", "orders", 1);
  assert_true (cell_until (&cell, has_started, &goal, 3000));
  worker_of (&cell, &goal)->faults.silent = true;
  cell_kill (&cell, goal.sc);
  goal.sc = standby;
  assert_true (cell_until (&cell, cell_acting, standby, 8000));
  assert_true (cell_until (&cell, job_has_state, &goal, 14000));
  assert_int_equal (starts_of (&cell, &goal.job), 2);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

static void
cancel (struct cell *cell, const struct cyc_id128 *job)
{
  struct cyc_job_event event
      = { .kind = CYC_JOB_EVENT_CANCEL, .job_id = *job };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_jobs (&id, CYC_STR ("entry-9"), &event, 1, &record));
  cell_append (cell, "jobs", record);
}

static void
cancelled_job_stops_running (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_CANCELLED };
  uint64_t asked_us;

  (void)state;
  goal.sc = start_owner (&cell, 4);
  goal.job = cell_submit (&cell, "long", "orders", 3);
  assert_true (cell_until (&cell, has_started, &goal, 3000));
  asked_us = hc_now_us ();
  cancel (&cell, &goal.job);
  assert_true (cell_until (&cell, job_has_state, &goal, 3000));
  assert_true (hc_now_us () - asked_us < 2 * SC_US_PER_S);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* The list may vanish, lose entries or name wrong addresses; what runs goes on
   and is not started again. */
static void
a_wrong_or_missing_list_disturbs_nothing (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };

  (void)state;
  goal.sc = start_owner (&cell, 4);
  goal.job = cell_submit (&cell, "long", "orders", 4);
  assert_true (cell_until (&cell, has_started, &goal, 3000));
  cell.vms.down = true;
  cell_run (&cell, 800);
  cell.vms.down = false;
  json_object_put (cell.vms.current_list);
  cell.vms.current_list = json_tokener_parse ("{\"vms\":[]}");
  cell_run (&cell, 1500);
  assert_true (cell_until (&cell, job_has_state, &goal, 8000));
  assert_int_equal (starts_of (&cell, &goal.job), 4);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* A worker that says that it is draining gets nothing new from then on. */
static void
draining_worker_gets_no_task (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct fk_worker *worker;
  guint before;

  (void)state;
  goal.sc = start_owner (&cell, 2);
  cell_run (&cell, 500);
  worker = cell_worker (&cell, "w-0");
  worker->faults.draining = true;
  cell_run (&cell, 500);
  before = worker->tasks->len;
  goal.job = cell_submit (&cell, "tally", "orders", 8);
  assert_true (cell_until (&cell, job_has_state, &goal, 20000));
  assert_true (worker->tasks->len <= before);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* Idle allotment moves to the domain that needs it, and the sum over the
   domains stays the limit. */
static void
allotments_move_to_where_they_are_needed (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };
  struct sc_scheduler *other;
  struct cell_facts facts;
  struct cyc_balance a;
  struct cyc_balance b;

  (void)state;
  domain_cell_setup (&cell, 4);
  cell_add_worker (&cell, "v-0", "north-b");
  cell_publish (&cell, "fleet", CELL_FLEET);
  cell_team (&cell, "small", 8000);
  cell_queue (&cell, "long", "small", "batch", 1, 3, true);
  goal.sc = cell_scheduler (&cell, "entry-1", "north-a");
  other = cell_scheduler (&cell, "entry-2", "north-b");
  assert_true (cell_until (&cell, cell_acting, goal.sc, 8000));
  assert_true (cell_until (&cell, cell_acting, other, 8000));
  goal.job = cell_submit (&cell, "long", "small", 12);
  cell_run (&cell, 3500);
  a = cyc_led_balance (ctl_ledger (&goal.sc->ctl), CYC_STR ("small"),
                       CYC_STR ("north-a"));
  b = cyc_led_balance (ctl_ledger (&goal.sc->ctl), CYC_STR ("small"),
                       CYC_STR ("north-b"));
  assert_int_equal (a.millicores + b.millicores, 8000);
  assert_true (a.millicores >= 6000);
  assert_true (cell_until (&cell, job_has_state, &goal, 12000));
  cell_facts (&cell, &facts);
  assert_true (facts.peak_millicores > 4000);
  assert_true (facts.peak_millicores <= 8000);
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
}

/* An open job must survive the trimming of its submission. */
static void
open_jobs_are_appended_again_before_they_are_trimmed (void **state)
{
  static struct cell cell;
  struct goal goal = { .state = CYC_JOB_DONE };

  (void)state;
  goal.sc = start_owner (&cell, 4);
  cell.log.faults.retain = 40;
  goal.job = cell_submit (&cell, "long", "orders", 1);
  for (int i = 0; i < 100; i++)
    {
      cell_submit (&cell, "nowhere", "orders", 1);
      cell_run (&cell, 30);
    }
  cell_kill (&cell, goal.sc);
  goal.sc = cell_scheduler (&cell, "entry-2", "north-a");
  assert_true (cell_until (&cell, job_has_state, &goal, 12000));
  assert_promises (&cell);
  domain_cell_shutdown (&cell);
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
  static struct cell cell;
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
  sc = start_owner (&cell, 1);
  worker = cell_worker (&cell, "w-0");
  stray.address = cyc_str_of (
      cyc_mem_at (&sc->members, sc->workers[0].member)->vm.address);
  stray.epoch = sc->epoch;
  stray.not_after_us = hc_now_us () + 60 * SC_US_PER_S;
  stray.deadline_us = hc_now_us () + SC_US_PER_S;
  sc->caught_up_epoch = 0;
  sc->barrier_open = true;
  assert_true (wc_start (sc->worker_client, &stray));
  cell_run (&cell, 500);
  assert_false (runs_nothing (worker));
  sc->barrier_open = false;
  assert_true (cell_until (&cell, runs_nothing, worker, 3000));
  domain_cell_shutdown (&cell);
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
