/* Gangs whose members fail by themselves, late, and across takeovers. Guards
   against a run of a gang that counts as several failed attempts (LOST) or as
   none (BUDGET). */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define STEP_MS 5
#define LIMIT_MS 60000
#define SETTLE_MS 8000
/* From the report of a failure until calls reach its worker again. */
#define ACK_LOST_MS 70
#define TAKEOVERS_MAX 2
#define FIRST_TASK "0000000000000001.0.0.0"

enum cut_kind
{
  CUT_NONE,
  CUT_ACK, /* no call reaches a worker after it has told of a failure */
  CUT_RUN  /* the worker on which the first run fails is cut off before, and
              back once the second failed run has been told */
};

struct gang_case
{
  const char *name;
  struct fleet_job job;
  uint32_t workers;
  uint32_t notice_ms;
  uint32_t stop_ms;
  uint32_t batch_skew_ms;
  /* After the first report of each failed run; 0: none. */
  uint32_t takeovers_ms[TAKEOVERS_MAX];
  enum cut_kind cut;
  uint32_t cut_takeover_ms; /* after the cut; 0: none */
  bool more_starts; /* a takeover may end a run that has not begun to work */
};

#define GANG .tasks = { 12 }, .gang = true, .work_ms = 300

static const struct gang_case cases[] = {
  { "all members on one worker at once",
    { GANG, .failing_members = 4 },
    .workers = 3 },
  { "all members on all workers at once", { GANG }, .workers = 3 },
  { "one member on each worker at once",
    { GANG, .failing_members = 3, .failing_per_worker = 1 },
    .workers = 3 },
  { "worker after worker",
    { GANG, .fail_gap_ms = 60 },
    .workers = 3,
    .notice_ms = 500,
    .stop_ms = 900 },
  { "one member of each worker after the other",
    { GANG, .failing_members = 3, .failing_per_worker = 1, .fail_gap_ms = 60 },
    .workers = 3,
    .notice_ms = 500,
    .stop_ms = 900 },
  { "told late, by some before they fail",
    { GANG, .fail_gap_ms = 60 },
    .workers = 3,
    .notice_ms = 50,
    .stop_ms = 300 },
  { "never told",
    { GANG, .failing_members = 1 },
    .workers = 3,
    .notice_ms = FLEET_NOTICE_NEVER,
    .stop_ms = FLEET_UNTOLD_MS + 500 },
  { "a takeover between the ends of two workers",
    { GANG, .fail_gap_ms = 60 },
    .workers = 3,
    .notice_ms = 500,
    .stop_ms = 900,
    .takeovers_ms = { 30 } },
  { "a takeover between each two workers",
    { GANG, .fail_gap_ms = 60 },
    .workers = 3,
    .notice_ms = 500,
    .stop_ms = 900,
    .takeovers_ms = { 30, 90 } },
  { "a takeover between two members' ends, one on each worker",
    { GANG, .failing_members = 3, .failing_per_worker = 1,
      .fail_gap_ms = 200 },
    .workers = 3,
    .notice_ms = 1000,
    .stop_ms = 900,
    .takeovers_ms = { 100 } },
  { "a takeover after the ends",
    { GANG, .fail_gap_ms = 60 },
    .workers = 3,
    .notice_ms = 500,
    .stop_ms = 900,
    .takeovers_ms = { 300 } },
  { "a takeover before the ends are acknowledged",
    { GANG },
    .workers = 3,
    .takeovers_ms = { 5 } },
  { "two takeovers before the ends are acknowledged",
    { GANG },
    .workers = 3,
    .takeovers_ms = { 5, 10 } },
  { "the acknowledgement is lost", { GANG }, .workers = 3, .cut = CUT_ACK },
  { "the acknowledgement is lost and the leader changes",
    { GANG },
    .workers = 3,
    .takeovers_ms = { 40 },
    .cut = CUT_ACK },
  { "the end of the first run is told after that of the second",
    { .tasks = { 8 }, .gang = true, .work_ms = 300, .failing_members = 2 },
    .workers = 4,
    .cut = CUT_RUN },
  { "the same, and the leader changes after it took the first run as lapsed",
    { .tasks = { 8 }, .gang = true, .work_ms = 300, .failing_members = 2 },
    .workers = 4,
    .cut = CUT_RUN,
    .cut_takeover_ms = 4900 },
  { "the same, and the leader changes before the lease lapses",
    { .tasks = { 8 }, .gang = true, .work_ms = 300, .failing_members = 2 },
    .workers = 4,
    .cut = CUT_RUN,
    .cut_takeover_ms = 1500 },
  { "a gang over several blocks",
    { .tasks = { 300 },
      .gang = true,
      .millicores = 50,
      .work_ms = 300,
      .fail_gap_ms = 30 },
    .workers = 5,
    .notice_ms = 200,
    .stop_ms = 300 },
  { "a gang over several blocks, batches out of order and takeovers",
    { .tasks = { 300 },
      .gang = true,
      .millicores = 50,
      .work_ms = 300,
      .fail_gap_ms = 60 },
    .workers = 5,
    .notice_ms = 200,
    .stop_ms = 300,
    .batch_skew_ms = 40,
    .takeovers_ms = { 35, 130 },
    .more_starts = true },
  { "a gang over several blocks, a takeover before the second part's end",
    { .tasks = { 300 },
      .gang = true,
      .millicores = 50,
      .work_ms = 300,
      .failing_members = 5,
      .failing_per_worker = 1,
      .fail_gap_ms = 100 },
    .workers = 5,
    .notice_ms = 1000,
    .stop_ms = 900,
    .batch_skew_ms = 40,
    .takeovers_ms = { 180 },
    .more_starts = true },
  { "a gang over several blocks, only a member of the last one is heard of",
    { .tasks = { 300 },
      .gang = true,
      .millicores = 50,
      .work_ms = 300,
      .failing_members = 1,
      .failing_first = 256 },
    .workers = 5,
    .notice_ms = 1000,
    .stop_ms = 900,
    .takeovers_ms = { 100 },
    .more_starts = true },
  { "control: tasks of their own",
    { .tasks = { 12 }, .work_ms = 300 },
    .workers = 3 },
  { "control: tasks of their own, and takeovers",
    { .tasks = { 12 }, .work_ms = 300 },
    .workers = 3,
    .takeovers_ms = { 5, 60 },
    .more_starts = true },
  { "rounds",
    { .tasks = { 4 },
      .gang = true,
      .work_ms = 300,
      .repeat_count = 3,
      .interval_ms = 700 },
    .workers = 3 },
  { "rounds, and takeovers",
    { .tasks = { 4 },
      .gang = true,
      .work_ms = 300,
      .repeat_count = 3,
      .interval_ms = 700,
      .failing_per_worker = 2,
      .fail_gap_ms = 60 },
    .workers = 3,
    .notice_ms = 300,
    .stop_ms = 300,
    .takeovers_ms = { 30, 300 },
    .more_starts = true },
};

/* What has happened in a case so far. */
struct play
{
  const struct gang_case *c;
  struct fleet *fleet;
  uint32_t told;        /* failed runs of the first task or gang */
  uint64_t told_ms;     /* when the last one was told first */
  uint32_t takeovers;   /* since then */
  uint64_t ack_back_ms; /* 0: no worker is cut off */
  uint64_t cut_ms;      /* when CUT_RUN began; 0: not yet */
  uint32_t cut_row;
  bool cut_ended;
  bool cut_takeover_made;
};

static uint32_t
told_runs (const struct fleet *fleet)
{
  return fleet_failed_runs (fleet, fleet->failures_told, FIRST_TASK);
}

static void
lose_acks (struct play *p)
{
  struct fleet *fleet = p->fleet;

  for (uint32_t w = 0; w < fleet->worker_count; w++)
    if (p->ack_back_ms != 0 && fleet->now_ms >= p->ack_back_ms)
      fleet->workers[w].partitioned = false;
    else if (p->told_ms == fleet->now_ms && fleet->workers[w].end_count > 0)
      fleet->workers[w].partitioned = true;
  if (p->told_ms == fleet->now_ms)
    p->ack_back_ms = fleet->now_ms + ACK_LOST_MS;
}

/* Cuts off the worker whose members are going to fail, once the first run is
   at work. */
static void
cut_run (struct play *p)
{
  struct fleet *fleet = p->fleet;

  for (uint32_t w = 0; w < fleet->worker_count && p->cut_ms == 0; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
      if (fleet->workers[w].runs[r].gang_complete)
        {
          fleet->workers[w].partitioned = true;
          p->cut_row = w;
          p->cut_ms = fleet->now_ms;
          break;
        }
  if (p->cut_ms == 0 || p->cut_ended)
    return;
  if (p->c->cut_takeover_ms != 0 && !p->cut_takeover_made
      && fleet->now_ms >= p->cut_ms + p->c->cut_takeover_ms)
    {
      p->cut_takeover_made = true;
      fleet_takeover (fleet);
    }
  /* The first run is told only by the worker that is cut off. If no second one
     fails, the worker is back during the second one's work. */
  if (told_runs (fleet) >= 1
      || (p->c->job.failing_runs == 1
          && fleet_failed_runs (fleet, fleet->failures_listed, FIRST_TASK) == 1
          && fleet->now_ms >= p->cut_ms + 6000))
    {
      fleet->workers[p->cut_row].partitioned = false;
      p->cut_ended = true;
    }
}

static void
advance (struct play *p)
{
  struct fleet *fleet = p->fleet;

  fleet_run (fleet, STEP_MS);
  if (told_runs (fleet) > p->told)
    {
      p->told = told_runs (fleet);
      p->told_ms = fleet->now_ms;
      p->takeovers = 0;
    }
  if (p->c->cut == CUT_ACK && p->told_ms != 0)
    lose_acks (p);
  if (p->c->cut == CUT_RUN)
    cut_run (p);
  while (p->told_ms != 0 && p->takeovers < TAKEOVERS_MAX
         && p->c->takeovers_ms[p->takeovers] != 0
         && fleet->now_ms >= p->told_ms + p->c->takeovers_ms[p->takeovers])
    {
      p->takeovers++;
      fleet_takeover (fleet);
    }
}

/* Returns whether the job ended as it should: as failed after three failed
   runs, else as complete. Prints what differs. */
static bool
play_case (const struct gang_case *c)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct play play = { .c = c, .fleet = fleet };
  struct fleet_job job = c->job;
  bool fails = job.failing_runs >= FLEET_ATTEMPTS_MAX;
  enum cell_job_state expected = fails ? CELL_JOB_FAILED : CELL_JOB_COMPLETE;
  uint32_t runs = fails ? FLEET_ATTEMPTS_MAX : job.failing_runs + 1;
  uint32_t starts = runs * job.tasks[0] * MAX (1, job.repeat_count);
  uint64_t end_ms;
  bool right;

  fleet_setup (fleet, c->workers, 4000);
  fleet->gang_notice_ms = c->notice_ms;
  fleet->stop_ms = c->stop_ms;
  fleet->batch_skew_ms = c->batch_skew_ms;
  fleet_run (fleet, 500);
  job.first_due_ms = job.repeat_count > 0 ? fleet->now_ms : 0;
  fleet_submit (fleet, 1, &job);
  end_ms = fleet->now_ms + LIMIT_MS;
  while (fleet->now_ms < end_ms
         && fleet_job_state (fleet, 1) < CELL_JOB_COMPLETE)
    advance (&play);
  /* No start comes later, not even after another takeover. */
  end_ms = fleet->now_ms + SETTLE_MS;
  fleet_takeover (fleet);
  while (fleet->now_ms < end_ms)
    advance (&play);
  /* A job with rounds may fail with starts of other rounds missing. */
  right = fleet_job_state (fleet, 1) == expected && fleet->violations == 0
          && fleet_running (fleet) == 0
          && (c->more_starts || (fails && job.repeat_count > 0)
                  ? fleet->starts <= 2 * starts
                  : fleet->starts == starts);
  if (!right)
    printf ("%s, %u failed runs: state %d (expected %d), %u starts (expected "
            "%u), %u runs told, %u violations: %s\n",
            c->name, job.failing_runs, (int)fleet_job_state (fleet, 1),
            (int)expected, fleet->starts, starts, told_runs (fleet),
            fleet->violations, fleet->first_violation);
  fleet_teardown (fleet);
  free (fleet);
  return right;
}

static void
test_failed_run_counts_once (void **state)
{
  uint32_t wrong = 0;
  uint32_t count = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (uint32_t runs = 1; runs <= FLEET_ATTEMPTS_MAX; runs++)
      {
        struct gang_case c = cases[i];

        c.job.failing_runs = runs;
        wrong += !play_case (&c);
        count++;
      }
  if (wrong > 0)
    fail_msg ("%u of %u cases are wrong", wrong, count);
}

#define RANDOM_WORKERS 5
#define RANDOM_JOBS 40
#define RANDOM_STEPS 200
#define RANDOM_LEASE_MS 6000
#define RANDOM_SETTLE_MS 90000

static void
random_fault (struct fleet *fleet, GRand *rand)
{
  uint32_t row = (uint32_t)g_rand_int_range (rand, 0, RANDOM_WORKERS);
  struct fleet_worker *worker = &fleet->workers[row];

  switch (g_rand_int_range (rand, 0, 8))
    {
    case 0:
    case 1:
      worker->partitioned = !worker->partitioned;
      break;
    case 2:
    case 3:
      worker->answers_lost = !worker->answers_lost;
      break;
    case 4:
      fleet->batch_skew_ms = fleet->batch_skew_ms != 0 ? 0 : 60;
      fleet->stop_ms = (uint32_t)g_rand_int_range (rand, 0, 500);
      break;
    default:
      fleet->open_calls_ms = (uint32_t)g_rand_int_range (rand, 0, 1000);
      fleet_takeover (fleet);
      break;
    }
}

static void
submit_random (struct fleet *fleet, GRand *rand, uint64_t id)
{
  bool gang = g_rand_int_range (rand, 0, 3) != 0;

  fleet_submit (fleet, id,
                &(struct fleet_job){
                    .tasks = { (uint32_t)g_rand_int_range (rand, 1, 9) },
                    .millicores = 500,
                    .work_ms = (uint32_t)g_rand_int_range (rand, 50, 2000),
                    .gang = gang });
}

/* From now on orders and reports arrive at once: a stop that overtakes a slow
   start delays the next try of a gang by seconds. */
static void
end_faults (struct fleet *fleet)
{
  for (uint32_t w = 0; w < RANDOM_WORKERS; w++)
    {
      fleet->workers[w].partitioned = false;
      fleet->workers[w].answers_lost = false;
    }
  fleet->batch_skew_ms = 0;
  fleet->stop_ms = 0;
  fleet->call_faults = (struct fleet_call_faults){ 0 };
}

static bool
play_seed (uint32_t seed)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  GRand *rand = g_rand_new_with_seed (seed);
  uint64_t job = 0;
  uint32_t open = 0;
  bool right;

  fleet_setup_leased (fleet, RANDOM_WORKERS, 4000, RANDOM_LEASE_MS);
  fleet->call_faults = (struct fleet_call_faults){
    .rand = rand,
    .lost_permille = 30,
    .twice_permille = 30,
    .report_delay_max_ms = 80,
    .failing_permille = 350,
  };
  for (int step = 0; step < RANDOM_STEPS; step++)
    {
      fleet_run (fleet, (uint64_t)g_rand_int_range (rand, 5, 250));
      if (job < RANDOM_JOBS && step % 4 == 0)
        submit_random (fleet, rand, ++job);
      if (g_rand_int_range (rand, 0, 4) == 0)
        random_fault (fleet, rand);
    }
  end_faults (fleet);
  for (uint64_t at = 0; at < RANDOM_SETTLE_MS; at += 1000)
    {
      fleet_run (fleet, 1000);
      open = 0;
      for (uint64_t j = 1; j <= job; j++)
        open += fleet_job_state (fleet, j) < CELL_JOB_COMPLETE;
      if (open == 0 && fleet_running (fleet) == 0)
        break;
    }
  right = fleet->violations == 0 && open == 0 && fleet_running (fleet) == 0;
  if (!right)
    printf ("seed %u: %u of %u jobs are open, %u runs remain, %u violations: "
            "%s\n",
            seed, open, (unsigned int)job, fleet_running (fleet),
            fleet->violations, fleet->first_violation);
  g_rand_free (rand);
  fleet_teardown (fleet);
  free (fleet);
  return right;
}

static void
test_random (void **state)
{
  const char *seeds = getenv ("CELL_SEEDS");
  const char *first = getenv ("CELL_SEED");
  uint32_t begin_seed = first != NULL ? (uint32_t)atoi (first) : 1;
  uint32_t count = seeds != NULL ? (uint32_t)atoi (seeds) : 200;
  uint32_t wrong = 0;

  (void)state;
  for (uint32_t seed = begin_seed; seed < begin_seed + count; seed++)
    wrong += !play_seed (seed);
  if (wrong > 0)
    fail_msg ("%u of %u seeds are wrong", wrong, count);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_failed_run_counts_once),
    cmocka_unit_test (test_random),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
