/* The limit on failed runs changes, or is unknown, while a task waits, is
   being recorded or runs, with and without a takeover; records of the version
   that kept no numbers of failed runs. Guards against a start after the last
   attempt, against a job that is shown as failed with attempts left, and
   against an end that is counted again by a later leader. */

#include "cyc_cell_internal.h"
#include "tst_fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define WORKERS 3
#define GANG 3
/** Members of a gang whose record has two blocks. */
#define LARGE_GANG (CELL_BLOCK_TASKS + 40)
#define WORK_MS 500
/** Longer than a run and the report of its end. */
#define AWAY_MS 3000
/** Until the leases of an earlier leader have lapsed, and a run more. */
#define SETTLE_MS 8000
#define STEP_MS 5
/** Some ticks of the core. */
#define TICKS_MS 20
#define WAIT_MAX_MS 10000
#define BATCH_QUEUE 1
/** What the log counts of a record beside its value: the key of a block and
 * its length. */
#define KEY_BYTES 36

enum moment
{
  MOMENT_WAITING,   /**< after the run, while no worker takes starts */
  MOMENT_RECORDING, /**< after the run, while the next one is recorded */
  MOMENT_RUNNING    /**< during the run */
};

struct attempts_case
{
  const char *name;
  uint32_t before; /**< max_attempts until the change */
  uint32_t run;    /**< the change comes in the course of this run */
  enum moment moment;
  bool away;       /**< the queue leaves the configuration for a while */
  uint32_t after;  /**< max_attempts from the change on; 0: as before */
  bool done;       /**< the run during which the change comes succeeds */
  bool lost;       /**< after the change the workers are restarted */
  uint32_t starts; /**< expected runs in all */
  bool complete;   /**< expected; else the job fails */
};

static const struct attempts_case cases[] = {
  { "away while the last run fails", 2, 2, MOMENT_RUNNING, .away = true,
    .starts = 2 },
  { "away while the only run fails", 1, 1, MOMENT_RUNNING, .away = true,
    .starts = 1 },
  { "away while the first of two runs fails", 2, 1, MOMENT_RUNNING,
    .away = true, .starts = 2 },
  { "away while a run fails, back with a lower limit", 3, 2, MOMENT_RUNNING,
    .away = true, .after = 2, .starts = 2 },
  { "away while the last run fails, back with a higher limit", 2, 2,
    MOMENT_RUNNING, .away = true, .after = 3, .starts = 3 },
  { "away while the last run succeeds", 2, 2, MOMENT_RUNNING, .away = true,
    .done = true, .starts = 2, .complete = true },
  { "away while the task waits, back with a lower limit", 3, 1, MOMENT_WAITING,
    .away = true, .after = 1, .starts = 1 },
  { "lowered to the failed runs while the task waits", 3, 1, MOMENT_WAITING,
    .after = 1, .starts = 1 },
  { "lowered below the failed runs while the task waits", 3, 2, MOMENT_WAITING,
    .after = 1, .starts = 2 },
  { "lowered above the failed runs while the task waits", 3, 1, MOMENT_WAITING,
    .after = 2, .starts = 2 },
  { "lowered to the failed runs while a start is recorded", 3, 1,
    MOMENT_RECORDING, .after = 1, .starts = 1 },
  { "lowered below the failed runs while a start is recorded", 3, 2,
    MOMENT_RECORDING, .after = 1, .starts = 2 },
  { "lowered above the failed runs while a start is recorded", 3, 1,
    MOMENT_RECORDING, .after = 2, .starts = 2 },
  { "lowered to the run while it runs", 3, 2, MOMENT_RUNNING, .after = 2,
    .starts = 2 },
  { "lowered below the run while it runs", 3, 2, MOMENT_RUNNING, .after = 1,
    .starts = 2 },
  { "lowered below a run that succeeds", 3, 2, MOMENT_RUNNING, .after = 1,
    .done = true, .starts = 2, .complete = true },
  { "raised while the last run runs", 2, 2, MOMENT_RUNNING, .after = 3,
    .starts = 3 },
  { "lowered to the failed runs during a run that is lost", 3, 2,
    MOMENT_RUNNING, .after = 1, .lost = true, .starts = 2 },
  { "lowered above the failed runs during a run that is lost", 3, 1,
    MOMENT_RUNNING, .after = 2, .lost = true, .starts = 3 },
  { "unchanged", 3, 3, MOMENT_RUNNING, .starts = 3 },
};

enum takeover
{
  TAKEOVER_NONE,
  TAKEOVER_BEFORE, /**< of the change */
  TAKEOVER_WITH    /**< the next leader begins with the changed limit */
};

struct variant
{
  uint32_t members; /**< of a gang; 1: a task */
  enum takeover takeover;
};

static const struct variant variants[] = {
  { 1, TAKEOVER_NONE },          { GANG, TAKEOVER_NONE },
  { LARGE_GANG, TAKEOVER_NONE }, { 1, TAKEOVER_BEFORE },
  { GANG, TAKEOVER_BEFORE },     { LARGE_GANG, TAKEOVER_BEFORE },
  { 1, TAKEOVER_WITH },          { GANG, TAKEOVER_WITH },
  { LARGE_GANG, TAKEOVER_WITH },
};

static void
set_limit (struct fleet *fleet, bool known, uint32_t max_attempts)
{
  struct cell_queue_cfg *queue = &fleet->config->queues[BATCH_QUEUE];

  cyc_name_set (&queue->name, known ? CYC_STR ("batch") : CYC_STR ("other"));
  queue->max_attempts = max_attempts;
}

static void
configure (struct fleet *fleet, bool known, uint32_t max_attempts)
{
  set_limit (fleet, known, max_attempts);
  cell_config_set (fleet->core, fleet->config);
}

/* Runs until @p starts runs have begun, or none runs if that is 0. */
static bool
run_until (struct fleet *fleet, uint32_t starts)
{
  for (uint32_t ms = 0; ms < WAIT_MAX_MS; ms += STEP_MS)
    {
      if (starts > 0 ? fleet->starts >= starts : fleet_running (fleet) == 0)
        return true;
      fleet_run (fleet, STEP_MS);
    }
  return false;
}

static void
drain_all (struct fleet *fleet, uint32_t leaves_in_ms)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    fleet_drain (fleet, w, leaves_in_ms);
}

/* Goes on until the limit is to change. */
static bool
reach (struct fleet *fleet, const struct attempts_case *c, uint32_t members)
{
  if (!run_until (fleet, c->run * members))
    return false;
  if (c->moment == MOMENT_RUNNING)
    {
      fleet_run (fleet, WORK_MS / 4);
      for (uint32_t w = 0; c->done && w < fleet->worker_count; w++)
        for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
          fleet->workers[w].runs[r].fails = false;
      return true;
    }
  if (c->moment == MOMENT_WAITING)
    drain_all (fleet, 60000);
  if (!run_until (fleet, 0))
    return false;
  fleet->log_down = c->moment == MOMENT_RECORDING;
  fleet_run (fleet, FLEET_HEARTBEAT_MS + WORK_MS);
  return true;
}

static void
check_case (struct fleet *fleet, const struct attempts_case *c,
            const struct variant *v)
{
  static const char *const takeovers[]
      = { "", ", takeover, then the change", ", takeover with the change" };
  uint32_t members = v->members;
  uint32_t after = c->after != 0 ? c->after : c->before;
  enum cell_job_state state;

  configure (fleet, true, c->before);
  fleet_submit (
      fleet, 1,
      &(struct fleet_job){ .tasks = { members },
                           .millicores = members > WORKERS ? 50 : 3000,
                           .work_ms = WORK_MS,
                           .gang = members > 1,
                           .always_fails = true });
  if (!reach (fleet, c, members))
    fail_msg ("%s: run %u has not come", c->name, c->run);
  if (c->away)
    {
      configure (fleet, false, c->before);
      fleet_run (fleet, AWAY_MS);
    }
  if (v->takeover == TAKEOVER_WITH)
    set_limit (fleet, true, after);
  if (v->takeover != TAKEOVER_NONE)
    fleet_takeover (fleet);
  if (v->takeover != TAKEOVER_WITH)
    configure (fleet, true, after);
  fleet_run (fleet, TICKS_MS);
  for (uint32_t w = 0; c->lost && w < WORKERS; w++)
    {
      fleet_crash (fleet, w);
      fleet_restart (fleet, w);
    }
  fleet->log_down = false;
  drain_all (fleet, 0);
  fleet_run (fleet, SETTLE_MS);
  state = fleet_job_state (fleet, 1);
  if (fleet->starts != c->starts * members
      || state != (c->complete ? CELL_JOB_COMPLETE : CELL_JOB_FAILED))
    fail_msg ("%s, %u members%s: %u starts, %u expected; state %d", c->name,
              members, takeovers[v->takeover], fleet->starts,
              c->starts * members, (int)state);
  if (fleet->violations > 0)
    fail_msg ("%s: %s", c->name, fleet->first_violation);
}

static void
test_limit_changes (void **state)
{
  const struct attempts_case *c = *state;

  for (size_t v = 0; v < G_N_ELEMENTS (variants); v++)
    {
      struct fleet *fleet = calloc (1, sizeof *fleet);

      fleet_setup (fleet, WORKERS, 4000);
      check_case (fleet, c, &variants[v]);
      fleet_teardown (fleet);
      free (fleet);
    }
}

/* Rewrites the records of jobs as the version before wrote them, which kept
   no numbers of failed runs and counted each failed member of a gang, here
   @p failed_members of each run. */
static void
write_as_earlier_version (struct fleet *fleet, uint32_t failed_members)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->progress);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct fleet_record *record = value;
      gsize len;
      const uint8_t *data = g_bytes_get_data (record->data, &len);
      Cyc__CellProgress *progress;
      uint8_t *packed;

      if (record->speeds)
        continue;
      progress = cyc__cell_progress__unpack (NULL, len, data);
      assert_non_null (progress);
      for (size_t r = 0; r < progress->n_rounds; r++)
        {
          Cyc__CellRound *round = progress->rounds[r];

          for (size_t i = 0; i < round->n_failed_runs; i++)
            cyc__cell_failed_runs__free_unpacked (round->failed_runs[i], NULL);
          round->n_failed_runs = 0;
          for (size_t i = 0; i < round->n_failures; i++)
            round->failures[i] *= failed_members;
        }
      len = cyc__cell_progress__get_packed_size (progress);
      packed = g_malloc (len);
      cyc__cell_progress__pack (progress, packed);
      cyc__cell_progress__free_unpacked (progress, NULL);
      g_bytes_unref (record->data);
      record->data = g_bytes_new_take (packed, len);
    }
}

enum late_end
{
  LATE_NONE,
  LATE_ONLY, /**< of the one member that failed */
  LATE_TOO   /**< of a member; another one's end was told in time */
};

struct record_case
{
  const char *name;
  uint32_t max_attempts;
  uint32_t run; /**< the takeover comes in the course of this run */
  enum moment moment;
  bool gang;
  /** The end of a member of the first run that only the next leader is told:
   * the worker was cut off. */
  enum late_end late;
  bool earlier;            /**< the record is of the earlier version */
  bool done;               /**< that run succeeds; else all fail */
  uint32_t failed_members; /**< as counted by the earlier version; 0: 1 */
};

static const struct record_case record_cases[] = {
  { "task, last run runs", 2, 2, MOMENT_RUNNING, .earlier = true },
  { "task, second of three runs", 3, 2, MOMENT_RUNNING, .earlier = true },
  { "task waits", 3, 1, MOMENT_WAITING, .earlier = true },
  { "task waits after two runs", 3, 2, MOMENT_WAITING, .earlier = true },
  { "gang, last run runs", 2, 2, MOMENT_RUNNING, true, .earlier = true },
  { "gang waits", 3, 2, MOMENT_WAITING, true, .earlier = true },
  { "gang counted by members, waits", 3, 1, MOMENT_WAITING, true,
    .earlier = true, .failed_members = GANG },
  { "gang counted by members, second of three runs", 3, 2, MOMENT_RUNNING,
    true, .earlier = true, .failed_members = GANG },
  { "gang counted by members, last run runs", 2, 2, MOMENT_RUNNING, true,
    .earlier = true, .failed_members = GANG },
  { "gang counted by members, last run succeeds", 2, 2, MOMENT_RUNNING, true,
    .earlier = true, .done = true, .failed_members = GANG },
  { "late only end of the first run", 3, 2, MOMENT_RUNNING, true, LATE_ONLY,
    false },
  { "late only end of the first run, earlier version", 3, 2, MOMENT_RUNNING,
    true, LATE_ONLY, true },
  { "late second end of the first run", 3, 2, MOMENT_RUNNING, true, LATE_TOO,
    false },
  { "late second end of the first run, earlier version", 3, 2, MOMENT_RUNNING,
    true, LATE_TOO, true },
  { "late second end, the last run succeeds", 2, 2, MOMENT_RUNNING, true,
    LATE_TOO, false, true },
  { "late second end, the last run succeeds, earlier version", 2, 2,
    MOMENT_RUNNING, true, LATE_TOO, true, true },
};

/* Cuts off a worker with a member of the gang, which fails in this run. The
   fleet ends the member on the first worker as failed and the others as
   broken. */
static uint32_t
fail_out_of_reach (struct fleet *fleet, enum late_end late)
{
  uint32_t first = UINT32_MAX;
  uint32_t last = 0;
  uint32_t row;

  for (uint32_t w = 0; w < fleet->worker_count; w++)
    if (fleet->workers[w].run_count > 0)
      {
        first = MIN (first, w);
        last = w;
      }
  row = late == LATE_ONLY ? first : last;
  fleet->workers[row].partitioned = true;
  assert_true (run_until (fleet, 0));
  assert_int_equal (fleet->workers[row].end_count, 1);
  assert_int_equal (fleet->workers[row].ends[0].kind,
                    late == LATE_ONLY ? CELL_END_FAILED : CELL_END_BROKEN);
  fleet->workers[row].ends[0].kind = CELL_END_FAILED;
  return row;
}

static void
test_records (void **state)
{
  const struct record_case *c = *state;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint32_t members = c->gang ? GANG : 1;
  struct attempts_case at
      = { c->name, .run = c->run, .moment = c->moment, .done = c->done };
  uint32_t cut = 0;

  /* One worker more than members: a run has room without the one cut off. */
  fleet_setup (fleet, WORKERS + 1, 4000);
  configure (fleet, true, c->max_attempts);
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { members },
                                     .millicores = 3000,
                                     .work_ms = WORK_MS,
                                     .gang = c->gang,
                                     .always_fails = true });
  if (c->late != LATE_NONE)
    {
      assert_true (run_until (fleet, members));
      fleet_run (fleet, WORK_MS / 4);
      cut = fail_out_of_reach (fleet, c->late);
    }
  if (!reach (fleet, &at, members))
    fail_msg ("%s: run %u has not come", c->name, c->run);
  if (c->earlier)
    write_as_earlier_version (fleet, MAX (1, c->failed_members));
  fleet_takeover (fleet);
  if (c->late != LATE_NONE)
    fleet->workers[cut].partitioned = false;
  drain_all (fleet, 0);
  fleet_run (fleet, SETTLE_MS);
  if (fleet->starts != c->max_attempts * members
      || fleet_job_state (fleet, 1)
             != (c->done ? CELL_JOB_COMPLETE : CELL_JOB_FAILED))
    fail_msg ("%s: %u starts, %u expected; state %d", c->name, fleet->starts,
              c->max_attempts * members, (int)fleet_job_state (fleet, 1));
  if (fleet->violations > 0)
    fail_msg ("%s: %s", c->name, fleet->first_violation);
  fleet_teardown (fleet);
  free (fleet);
}

/* The most that is recorded of one task: all numbers and texts are as long as
   they get, and one crash more would end the job. */
struct longest_task
{
  Cyc__CellRun run;
  Cyc__CellCrash crashes[CELL_CRASHES_MAX - 1];
  Cyc__CellFailedRuns failed;
  uint32_t bounds[2 * CELL_FAILED_SPANS_MAX];
};

static void
fill_longest (struct longest_task *out, uint32_t task, char *worker)
{
  struct cell_failed_runs failed
      = { .runs = g_array_new (FALSE, FALSE, sizeof (struct spn_span)) };

  cyc__cell_run__init (&out->run);
  out->run.task = task;
  out->run.number = UINT32_MAX;
  out->run.worker = worker;
  out->run.worker_born_ms = UINT64_MAX;
  out->run.placed_ms = UINT64_MAX;
  out->run.suspicion = 2;
  out->run.worker_settled = true;
  for (uint32_t i = 0; i < G_N_ELEMENTS (out->crashes); i++)
    {
      cyc__cell_crash__init (&out->crashes[i]);
      out->crashes[i].task = task;
      out->crashes[i].worker = worker;
      out->crashes[i].worker_born_ms = UINT64_MAX;
      out->crashes[i].sole = true;
      out->crashes[i].run = UINT32_MAX;
    }
  for (uint32_t i = 0; i < 4 * CELL_FAILED_SPANS_MAX; i++)
    spn_add (failed.runs, UINT32_MAX - 2 * i - 1, UINT32_MAX - 2 * i);
  spn_limit (failed.runs, CELL_FAILED_SPANS_MAX);
  cyc__cell_failed_runs__init (&out->failed);
  out->failed.task = task;
  out->failed.bounds = out->bounds;
  cell_attempts_draft (&(struct cell_task){ .failed = &failed }, &out->failed);
  assert_int_equal (out->failed.n_bounds, 2 * CELL_FAILED_SPANS_MAX);
  g_array_free (failed.runs, TRUE);
}

/* Guards against a record that the log refuses, for which a job is shown as
   failed although it has attempts left. */
static void
test_longest_record (void **state)
{
  enum
  {
    TASKS = CELL_BLOCK_TASKS,
    CRASHES = CELL_CRASHES_MAX - 1
  };
  static struct longest_task tasks[TASKS];
  static uint32_t numbers[TASKS];
  static uint8_t done[TASKS / 8 + 1];
  static char *checkpoints[TASKS];
  static Cyc__CellRun *runs[TASKS];
  static Cyc__CellCrash *crashes[TASKS * CRASHES];
  static Cyc__CellFailedRuns *failed[TASKS];
  char worker[CYC_NAME_MAX_BYTES + 1];
  char checkpoint[CELL_CHECKPOINT_BYTES];
  Cyc__CellProgress progress = CYC__CELL_PROGRESS__INIT;
  Cyc__CellRound round = CYC__CELL_ROUND__INIT;
  Cyc__CellRound *rounds = &round;

  (void)state;
  memset (worker, 'w', sizeof worker);
  worker[sizeof worker - 1] = 0;
  memset (checkpoint, 'c', sizeof checkpoint);
  checkpoint[sizeof checkpoint - 1] = 0;
  round.first_task = CELL_TASKS_MAX - TASKS;
  for (uint32_t t = 0; t < TASKS; t++)
    {
      fill_longest (&tasks[t], round.first_task + t, worker);
      numbers[t] = UINT32_MAX;
      checkpoints[t] = checkpoint;
      runs[t] = &tasks[t].run;
      failed[t] = &tasks[t].failed;
      for (uint32_t i = 0; i < CRASHES; i++)
        crashes[t * CRASHES + i] = &tasks[t].crashes[i];
    }
  round.index = UINT32_MAX;
  round.done = (ProtobufCBinaryData){ sizeof done, done };
  round.n_next_run = round.n_failures = round.n_checkpoints = TASKS;
  round.next_run = round.failures = numbers;
  round.checkpoints = checkpoints;
  round.n_runs = round.n_failed_runs = TASKS;
  round.runs = runs;
  round.failed_runs = failed;
  round.n_crashes = G_N_ELEMENTS (crashes);
  round.crashes = crashes;
  progress.state = CELL_JOB_ACTIVE;
  progress.ended_ms = UINT64_MAX;
  progress.n_rounds = 1;
  progress.rounds = &rounds;
  print_message ("longest record: %zu bytes and the key\n",
                 cyc__cell_progress__get_packed_size (&progress));
  assert_in_range (cyc__cell_progress__get_packed_size (&progress), 1,
                   FLEET_RECORD_BYTES - KEY_BYTES);
}

int
main (void)
{
  struct CMUnitTest
      tests[G_N_ELEMENTS (cases) + G_N_ELEMENTS (record_cases) + 1];
  size_t count = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    tests[count++] = (struct CMUnitTest){ .name = cases[i].name,
                                          .test_func = test_limit_changes,
                                          .initial_state = (void *)&cases[i] };
  for (size_t i = 0; i < G_N_ELEMENTS (record_cases); i++)
    tests[count++]
        = (struct CMUnitTest){ .name = record_cases[i].name,
                               .test_func = test_records,
                               .initial_state = (void *)&record_cases[i] };
  tests[count++] = (struct CMUnitTest)cmocka_unit_test (test_longest_record);
  return _cmocka_run_group_tests ("cell_attempts", tests, count, NULL, NULL);
}
