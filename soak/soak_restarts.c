/* Soak: real entry processes, and workers that crash and are back under their
   ids while leaders are frozen, the log has outages and workers are cut off.
   Faults come in series and overlap. Guards against two runs of one task at
   once (TWICE).

   SOAK_SEED is the first seed, SOAK_SEEDS their number, SOAK_S the seconds of
   each. */

#include "../tests/tst_soak.h"
#include "../tests/tst_witness.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define WORKERS 8
#define LEASE_MAX_MS 10000
#define JOB_TASKS 26
#define JOB_EVERY_MS 2500
#define CALLS_MAX 64

enum fault
{
  FAULT_CRASH,      /* one worker */
  FAULT_RACK_CRASH, /* half of the workers, at the same moment */
  FAULT_SILENT,     /* a worker is cut off and runs on */
  FAULT_MUTE,       /* a worker gets calls, and its answers are lost */
  FAULT_REBORN,     /* a worker begins anew behind the cut, if there is one */
  FAULT_KILL,       /* the leader, which is started again */
  FAULT_FREEZE,     /* the leader */
  FAULT_LOG_SILENT,
  FAULT_LOG_BUSY,
  FAULT_LOSE_STARTS, /* answers of starts are lost */
  FAULT_SLOW_ANSWERS,
  FAULT_COUNT
};

static const char *const fault_names[]
    = { "crash",    "rack crash",   "silent",      "mute",
        "reborn",   "kill",         "freeze",      "log silent",
        "log busy", "lost answers", "slow answers" };

struct soak
{
  struct tst_processes processes;
  GRand *rand;
  uint64_t end_ms;
  uint64_t next_fault_ms;
  uint64_t next_job_ms;
  uint64_t thaw_ms; /* 0: nobody is frozen */
  struct tst_process *frozen;
  struct tst_process *killed;
  uint64_t restart_ms;
  uint64_t log_back_ms; /* 0: it is there */
  uint64_t worker_back_ms[WORKERS];
  uint64_t fast_again_ms[WORKERS];
  uint32_t jobs;
  uint32_t accepted;
  struct tst_witness witness;
};

static uint32_t
between (struct soak *soak, uint32_t low, uint32_t high)
{
  return tst_soak_between (soak->rand, low, high);
}

static void
on_submitted (void *user, const struct hc_result *result)
{
  ((struct soak *)user)->accepted += result->status == 200;
}

static void
submit (struct soak *soak)
{
  char path[64];
  char body[160];

  snprintf (path, sizeof path, "/plain/%016x", ++soak->jobs);
  snprintf (body, sizeof body,
            "{\"spec\":\"s\",\"steps\":[{\"count\":%d,\"cpu\":%u,"
            "\"mem_mb\":10,\"estimate_ms\":4000}]}",
            JOB_TASKS, between (soak, 400, 2000));
  tst_processes_send (&soak->processes, HC_POST, path, body, on_submitted,
                      soak);
}

static void
crash (struct soak *soak, uint32_t worker)
{
  struct fkp_platform *fake = &soak->processes.fake;

  if (fake->workers[worker].crashed || fake->workers[worker].silent)
    return;
  fake->faults.back_after_ms = between (soak, 1, 1500);
  fake->faults.back_under_old_id = true;
  fkp_crash_worker (&fake->workers[worker]);
}

static void
strike (struct soak *soak, enum fault fault, uint64_t now)
{
  struct fkp_platform *fake = &soak->processes.fake;
  uint32_t worker = between (soak, 0, WORKERS - 1);
  uint32_t for_ms = between (soak, 200, 6000);

  print_message ("  %" G_GUINT64_FORMAT " %s worker %u for %u ms\n", now,
                 fault_names[fault], worker, for_ms);
  switch (fault)
    {
    case FAULT_CRASH:
      crash (soak, worker);
      break;
    case FAULT_RACK_CRASH:
      for (uint32_t w = worker % 2; w < WORKERS; w += 2)
        crash (soak, w);
      break;
    case FAULT_SILENT:
      if (!fake->workers[worker].crashed)
        {
          fake->workers[worker].silent = true;
          soak->worker_back_ms[worker] = now + for_ms;
        }
      break;
    case FAULT_MUTE:
      fake->workers[worker].mute = true;
      soak->worker_back_ms[worker] = now + for_ms;
      break;
    case FAULT_REBORN:
      if (!fake->workers[worker].crashed)
        fkp_restart_worker (&fake->workers[worker]);
      break;
    case FAULT_KILL:
      if (soak->killed == NULL && soak->processes.leader != NULL
          && soak->processes.leader != soak->frozen)
        {
          soak->killed = soak->processes.leader;
          soak->restart_ms = now + for_ms / 4;
          tst_processes_kill (soak->killed);
        }
      break;
    case FAULT_FREEZE:
      if (soak->frozen == NULL && soak->processes.leader != NULL)
        {
          soak->frozen = soak->processes.leader;
          soak->thaw_ms = now + for_ms;
          tst_processes_freeze (soak->frozen, true);
        }
      break;
    case FAULT_LOG_SILENT:
    case FAULT_LOG_BUSY:
      fake->faults.log_silent = fault == FAULT_LOG_SILENT;
      fake->faults.log_busy = fault == FAULT_LOG_BUSY;
      soak->log_back_ms = now + for_ms;
      break;
    case FAULT_LOSE_STARTS:
      fake->faults.lose_start_answers = between (soak, 1, 6);
      break;
    case FAULT_SLOW_ANSWERS:
      fake->workers[worker].answer_delay_ms = between (soak, 100, 1200);
      soak->fast_again_ms[worker] = now + for_ms;
      break;
    case FAULT_COUNT:
      break;
    }
}

static void
mend (struct soak *soak, uint64_t now)
{
  struct fkp_platform *fake = &soak->processes.fake;

  if (soak->frozen != NULL && now >= soak->thaw_ms)
    {
      tst_processes_freeze (soak->frozen, false);
      soak->frozen = NULL;
    }
  if (soak->killed != NULL && now >= soak->restart_ms)
    {
      tst_processes_restart (soak->killed);
      soak->killed = NULL;
    }
  if (soak->log_back_ms != 0 && now >= soak->log_back_ms)
    {
      fake->faults.log_silent = false;
      fake->faults.log_busy = false;
      soak->log_back_ms = 0;
    }
  for (uint32_t w = 0; w < WORKERS; w++)
    {
      if (soak->worker_back_ms[w] != 0 && now >= soak->worker_back_ms[w])
        {
          fake->workers[w].silent = false;
          fake->workers[w].mute = false;
          soak->worker_back_ms[w] = 0;
        }
      if (soak->fast_again_ms[w] != 0 && now >= soak->fast_again_ms[w])
        {
          fake->workers[w].answer_delay_ms = 0;
          soak->fast_again_ms[w] = 0;
        }
    }
}

static void
step (struct soak *soak, struct ev_loop *loop)
{
  uint64_t now;

  ev_run (loop, EVRUN_ONCE);
  tst_processes_poll (&soak->processes);
  tst_witness_check (&soak->witness);
  now = hc_now_us () / 1000;
  mend (soak, now);
  if (now >= soak->next_job_ms)
    {
      soak->next_job_ms = now + JOB_EVERY_MS;
      submit (soak);
    }
  if (now >= soak->next_fault_ms)
    {
      strike (soak, (enum fault)between (soak, 0, FAULT_COUNT - 1), now);
      /* Series of faults, with pauses in which work goes on. */
      soak->next_fault_ms
          = now
            + (between (soak, 0, 3) > 0 ? between (soak, 0, 700)
                                        : between (soak, 2000, 5000));
    }
}

/* Plays one seed. Returns how many runs began beside another one. */
static uint32_t
play (struct ev_loop *loop, uint32_t seed, uint32_t seconds)
{
  struct soak *soak = g_new0 (struct soak, 1);
  uint32_t twice;

  soak->rand = g_rand_new_with_seed (seed);
  soak->processes.worker_lease_ms = LEASE_MAX_MS;
  tst_processes_begin (&soak->processes, loop, WORKERS);
  tst_witness_begin (&soak->witness, &soak->processes.fake, seed);
  soak->processes.fake.faults.lease_max_ms = LEASE_MAX_MS;
  soak->processes.fake.task_duration_ms = between (soak, 1000, 19000);
  for (uint32_t w = 0; w < WORKERS; w += 2)
    soak->processes.fake.workers[w].slow_permille = 20;
  tst_soak_await_leader (&soak->processes);
  soak->end_ms = hc_now_us () / 1000 + seconds * 1000ULL;
  while (hc_now_us () / 1000 < soak->end_ms)
    step (soak, loop);
  if (soak->frozen != NULL)
    tst_processes_freeze (soak->frozen, false);
  print_message ("seed %u: %u of %u jobs accepted\n", seed, soak->accepted,
                 soak->jobs);
  twice = tst_witness_end (&soak->witness);
  if (soak->accepted == 0)
    fail_msg ("seed %u: no job was accepted", seed);
  tst_processes_end (&soak->processes, twice > 0);
  g_rand_free (soak->rand);
  g_free (soak);
  return twice;
}

static void
test_one_run_at_a_time (void **state)
{
  (void)state;
  assert_int_equal (tst_soak_play (play, 2, 25), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_run_at_a_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
