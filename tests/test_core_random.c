/**
 * @file
 * Random inputs from fixed seeds. After every tick no task runs twice, no
 * silent worker gets a task and no team exceeds its balance; and a replay of
 * the trace gives the same decisions.
 */
#include "tst_core.h"

#include <stdio.h>
#include <stdlib.h>

#define MAX_JOBS 4000
#define TICKS_PER_SEED 1500
#define TRACE_BYTES (16U << 20)

/* The model's view of a task: where it was started and until when it may
 * run. */
struct placement
{
  struct cyc_name worker;
  uint64_t lease_us;
  bool running;
  bool stopping;
};

static struct tst_core t;
/* By job number; each job has one task. */
static struct placement placements[MAX_JOBS];
static uint32_t job_count;
static uint64_t random_state;
static char *trace;
static size_t trace_len;
static const char *worker_names[] = { "w0", "w1", "w2", "w3", "w4", "w5" };
static bool worker_silent[6];

static uint32_t
random_below (uint32_t below)
{
  random_state
      = random_state * UINT64_C (6364136223846793005) + 1442695040888963407U;
  return (uint32_t)(random_state >> 33) % below;
}

static void
append_trace_line (void *user, struct cyc_str line)
{
  (void)user;
  assert_true (trace_len + line.len + 2 < TRACE_BYTES);
  memcpy (trace + trace_len, line.data, line.len);
  trace_len += line.len;
  trace[trace_len++] = '\n';
}

static void
open_core (uint64_t seed)
{
  struct cyc_queue_cfg urgent = { .kind = CYC_KIND_BATCH,
                                  .urgent = true,
                                  .repeatable = true,
                                  .size = { 1500, 700, 0 } };

  random_state = seed;
  trace_len = 0;
  job_count = 0;
  memset (placements, 0, sizeof placements);
  memset (worker_silent, 0, sizeof worker_silent);
  tst_core_open (&t, (struct cyc_core_desc){ .trace = append_trace_line });
  for (size_t i = 0; i < 6; i++)
    tst_core_add_worker (&t, worker_names[i], i % 2 == 0 ? "r0" : "r1");
  tst_core_set_team (&t, "one", 300, 30000);
  tst_core_set_team (&t, "two", 700, 40000);
  tst_core_set_queue (&t, "b1", "one", CYC_KIND_BATCH, 1000);
  tst_core_set_queue (&t, "b2", "two", CYC_KIND_BATCH, 3000);
  tst_core_set_queue (&t, "g2", "two", CYC_KIND_GANG, 2000);
  tst_core_set_queue (&t, "s1", "one", CYC_KIND_SERVICE, 500);
  tst_core_set_queue_cfg (&t, "u1", "one", urgent);
  cyc_core_service_scale (&t.core, CYC_STR ("s1"), 4, t.now_us);
}

static int
worker_index (const struct cyc_name *name)
{
  return name->data[1] - '0';
}

/* Checks that the task of a START runs on no other worker, or that its lease
 * there expired at least the clock error of 250 ms ago. */
static void
check_start (const struct cyc_decision *d)
{
  uint32_t job_number;

  assert_false (worker_silent[worker_index (&d->worker_name)]);
  if (d->queue_kind == CYC_KIND_SERVICE)
    return;
  memcpy (&job_number, d->job.bytes, sizeof job_number);
  assert_true (job_number < MAX_JOBS);
  if (placements[job_number].running)
    assert_true (t.now_us >= placements[job_number].lease_us + 250000);
  placements[job_number] = (struct placement){
    .worker = d->worker_name, .lease_us = d->lease_deadline_us, .running = true
  };
}

static void
check_balances (void)
{
  struct cyc_core_team_view view;

  for (uint32_t i = 0; cyc_core_team_at (&t.core, i, &view); i++)
    assert_true (view.used_millicores
                 <= (view.share_permille == 300 ? 30000 : 40000));
}

static void
execute_decision (const struct cyc_decision *d)
{
  uint32_t job_number;

  memcpy (&job_number, d->job.bytes, sizeof job_number);
  if (d->kind == CYC_DECISION_START)
    {
      check_start (d);
      cyc_core_task_report (&t.core, &d->job, d->task_index,
                            random_below (50) == 0
                                ? CYC_TASK_EVENT_OUTCOME_UNKNOWN
                                : CYC_TASK_EVENT_STARTED,
                            t.now_us);
    }
  else if ((d->kind == CYC_DECISION_STOP || d->kind == CYC_DECISION_CHECKPOINT)
           && random_below (4) != 0
           && !worker_silent[worker_index (&d->worker_name)])
    {
      if (d->queue_kind != CYC_KIND_SERVICE)
        placements[job_number].running = false;
      cyc_core_task_report (&t.core, &d->job, d->task_index,
                            d->kind == CYC_DECISION_STOP
                                ? CYC_TASK_EVENT_STOPPED
                                : CYC_TASK_EVENT_CHECKPOINTED,
                            t.now_us);
    }
}

static void
end_or_renew_tasks (void)
{
  static const enum cyc_task_event ends[]
      = { CYC_TASK_EVENT_DONE, CYC_TASK_EVENT_DONE, CYC_TASK_EVENT_DONE,
          CYC_TASK_EVENT_FAILED, CYC_TASK_EVENT_REFUSED };

  for (uint32_t i = 0; i < job_count; i++)
    {
      struct cyc_id128 id = tst_core_job_id (i);

      if (!placements[i].running
          || worker_silent[worker_index (&placements[i].worker)])
        continue;
      /* The worker itself stops a task whose lease has expired. */
      if (t.now_us >= placements[i].lease_us)
        continue;
      if (random_below (12) == 0)
        {
          placements[i].running = false;
          cyc_core_task_report (&t.core, &id, 0, ends[random_below (5)],
                                t.now_us);
        }
      else if (random_below (10) == 0)
        {
          struct cyc_core_usage usage
              = { .used = { random_below (1500), random_below (1200), 0 },
                  .measured_us = t.now_us - random_below (TST_SECOND_US) };

          placements[i].lease_us = t.now_us + 30 * TST_SECOND_US;
          assert_int_equal (
              cyc_core_task_renewed (&t.core, &id, 0, placements[i].lease_us),
              CYC_CORE_OK);
          cyc_core_task_usage (&t.core, &id, 0, &usage, t.now_us);
        }
    }
}

/* Removes the worker and adds one without tasks under the same name. */
static void
replace_worker (uint32_t w)
{
  for (uint32_t i = 0; i < job_count; i++)
    if (placements[i].running
        && worker_index (&placements[i].worker) == (int)w)
      placements[i].running = false;
  cyc_core_worker_remove (&t.core, cyc_str_of (worker_names[w]), t.now_us);
  tst_core_add_worker (&t, worker_names[w], w % 2 == 0 ? "r0" : "r1");
  worker_silent[w] = false;
}

/* Changes the configuration: whether queue "u1" is urgent, its task size and
 * run time, and the number of replicas of the service "s1". */
static void
change_queue (void)
{
  struct cyc_queue_cfg cfg = { .kind = CYC_KIND_BATCH,
                               .urgent = random_below (2) == 0,
                               .repeatable = true,
                               .run_s = random_below (20) };

  cfg.size = (struct cyc_resources){ 500 + random_below (2000),
                                     500 + random_below (1000), 0 };
  tst_core_set_queue_cfg (&t, "u1", "one", cfg);
  cyc_core_service_scale (&t.core, CYC_STR ("s1"), random_below (8), t.now_us);
}

static void
inject_events (void)
{
  uint32_t w = random_below (6);
  struct cyc_str name = cyc_str_of (worker_names[w]);

  if (random_below (100) == 0)
    replace_worker (w);
  if (random_below (50) == 0)
    change_queue ();
  if (random_below (30) == 0)
    {
      worker_silent[w] = !worker_silent[w];
      if (worker_silent[w])
        cyc_core_worker_silent (&t.core, name, t.now_us);
      else
        cyc_core_worker_seen (&t.core, name, t.now_us);
    }
  if (random_below (10) == 0 && !worker_silent[w])
    {
      struct cyc_core_usage usage
          = { .used = { random_below (9800), random_below (9000), 0 },
              .measured_us = t.now_us - random_below (TST_SECOND_US) };

      cyc_core_worker_usage (&t.core, name, &usage, t.now_us);
    }
  if (job_count > 0 && random_below (20) == 0)
    {
      struct cyc_id128 id = tst_core_job_id (random_below (job_count));

      cyc_core_job_cancel (&t.core, &id, t.now_us);
    }
}

static void
run_seed (uint64_t seed)
{
  static const char *queues[] = { "b1", "b2", "g2", "u1" };

  open_core (seed);
  for (uint32_t i = 0; i < TICKS_PER_SEED; i++)
    {
      if (job_count < MAX_JOBS && random_below (2) == 0)
        tst_core_add_job (&t, job_count++, queues[random_below (4)], 1);
      inject_events ();
      end_or_renew_tasks ();
      tst_core_tick (&t, 100000 + random_below (200000));
      for (uint32_t k = 0; k < t.decision_count; k++)
        execute_decision (&t.decisions[k]);
      check_balances ();
    }
}

static uint64_t
replay (struct cyc_core_replay *replay)
{
  static struct cyc_decision out[TST_MAX_DECISIONS];
  struct cyc_core_desc desc;
  struct cyc_findings found = { 0 };
  struct cyc_core core;
  size_t at = 0;

  *replay = (struct cyc_core_replay){ .out = out, .max = TST_MAX_DECISIONS };
  while (at < trace_len)
    {
      size_t len = strcspn (trace + at, "\n");
      struct cyc_str line = { trace + at, len };

      if (at == 0)
        {
          assert_true (cyc_core_replay_setup (line, &desc));
          assert_true (cyc_core_setup (&core, &desc, &found));
        }
      else
        assert_true (cyc_core_replay_line (&core, line, replay));
      at += len + 1;
    }
  cyc_core_shutdown (&core);
  return replay->mismatches;
}

static void
invariants_hold_and_replay_decides_the_same (void **state)
{
  static const uint64_t seeds[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
  struct cyc_core_replay result;

  (void)state;
  trace = calloc (TRACE_BYTES, 1);
  assert_non_null (trace);
  for (size_t i = 0; i < sizeof seeds / sizeof seeds[0]; i++)
    {
      char *line;

      run_seed (seeds[i]);
      assert_true (tst_core_totals (&t).starts > 400);
      assert_int_equal (replay (&result), 0);
      assert_int_equal (result.ticks, TICKS_PER_SEED);
      /* A changed input must lead to mismatches. */
      line = strstr (trace, "\nqueue b1 one");
      assert_non_null (line);
      line[8] = '3';
      assert_true (replay (&result) > 0);
      tst_core_close (&t);
    }
  free (trace);
}

static const char *const malformed[] = {
  "jump 1",       "worker x w r 1 1 1 0",
  "tick 1 2",     "job 1 zz b1 1 0 0 -",
  "team t 1 2",   "job 1 00000000000000000000000000000001 b1 9 0 0 ff",
  "worker 1 w r", "tick 1 99999 0 0",
};

/* Guards against a replay that accepts malformed trace lines. */
static void
malformed_lines_are_refused (void **state)
{
  static struct cyc_decision out[4];
  struct cyc_core_replay progress = { .out = out, .max = 4 };

  (void)state;
  tst_core_open (&t, (struct cyc_core_desc){ 0 });
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    assert_false (
        cyc_core_replay_line (&t.core, cyc_str_of (malformed[i]), &progress));
  tst_core_close (&t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (invariants_hold_and_replay_decides_the_same),
    cmocka_unit_test (malformed_lines_are_refused),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
