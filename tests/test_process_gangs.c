/* Real entry processes against runs of a gang several members of which fail.
   Guards against counting each member's end as an attempt of the job (LOST).
 */

#include "tst_processes.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define MEMBERS 4
#define MAX_ATTEMPTS 3
#define JOB "0000000000000001"
#define JOB_PATH "/plain/" JOB
/** A worker has 8000 millicores, so each member has a worker of its own. */
#define JOB_BODY                                                              \
  "{\"spec\":\"s\",\"steps\":[{\"count\":4,\"cpu\":8000,\"mem_mb\":10,"       \
  "\"estimate_ms\":400,\"gang\":true}]}"
/** Between two requests for the job's state. */
#define POLL_US 100000
/** From the start of the processes to the end of the job. */
#define JOB_TIMEOUT_US 24000000
/** After the job has ended, for starts that are not to come. */
#define AFTER_US 2000000

struct gang_case
{
  const char *name;
  uint32_t failing_runs;
  bool takeover; /* the leader is killed between two ends of the first run */
};

static const struct gang_case cases[] = {
  { "2 failing runs, no takeover", 2, false },
  { "3 failing runs, no takeover", 3, false },
  { "2 failing runs, takeover between ends", 2, true },
  { "3 failing runs, takeover between ends", 3, true },
};

enum phase
{
  SUBMITTING,
  RUNNING,
  AFTER,
  ENDED
};

struct play
{
  struct tst_processes processes;
  const struct gang_case *item;
  enum phase phase;
  uint64_t deadline_us; /* of the phases up to RUNNING, and of AFTER */
  bool is_asked;        /* for the job */
  uint64_t next_ask_us;
  uint64_t killed_ms; /* when the leader was killed; 0: it was not */
  uint64_t killed_fence;
  const char *failure; /* NULL: none so far */
};

static void
fail_play (struct play *play, const char *failure)
{
  if (play->failure == NULL)
    play->failure = failure;
}

/* What the workers of the fake have seen. */

static const struct fkp_history *
history_row (const struct play *play, guint index)
{
  return &g_array_index (play->processes.fake.history, struct fkp_history,
                         index);
}

static uint32_t
run_number (const struct play *play, guint index)
{
  const GArray *runs = play->processes.fake.gang_runs;

  return g_array_index (runs, struct fkp_gang_run, index).number;
}

static bool
is_failed_end (const struct fkp_history *row)
{
  return row->outcome != NULL && strcmp (row->outcome, "failed") == 0;
}

/* Counts the members of a run that ended `failed` at @p since_ms or later. */
static uint32_t
count_failed_ends (const struct play *play, uint32_t run, uint64_t since_ms)
{
  uint32_t count = 0;

  for (guint i = 0; i < play->processes.fake.history->len; i++)
    count += history_row (play, i)->run == run
             && is_failed_end (history_row (play, i))
             && history_row (play, i)->end_ms >= since_ms;
  return count;
}

/* Returns the number of distinct runs that failed. */
static uint32_t
count_failed_runs (const struct play *play)
{
  uint32_t count = 0;

  for (guint i = 0; i < play->processes.fake.gang_runs->len; i++)
    count += count_failed_ends (play, run_number (play, i), 0) > 0;
  return count;
}

/* Kills the leader once it has acknowledged a failed end. */
static void
make_trouble (struct play *play)
{
  if (!play->item->takeover || play->killed_ms != 0
      || play->processes.leader == NULL)
    return;
  for (guint i = 0; i < play->processes.fake.history->len; i++)
    if (history_row (play, i)->acknowledged
        && is_failed_end (history_row (play, i)))
      {
        tst_processes_kill (play->processes.leader);
        play->killed_ms = hc_now_us () / 1000;
        play->killed_fence = tst_processes_fence (&play->processes);
        return;
      }
}

/* A play without two failed members in a run, or without its takeover, shows
   nothing. */
static void
check_end (struct play *play)
{
  uint32_t first_run
      = play->processes.fake.gang_runs->len > 0 ? run_number (play, 0) : 0;
  uint32_t failed_runs = count_failed_runs (play);

  if (failed_runs != play->item->failing_runs)
    fail_play (play, "another number of runs failed");
  for (guint i = 0; i < play->processes.fake.history->len; i++)
    if (failed_runs >= MAX_ATTEMPTS
        && history_row (play, i)->run > run_number (play, MAX_ATTEMPTS - 1))
      fail_play (play, "a run began after the last attempt");
  if (count_failed_ends (play, first_run, 0) < 2)
    fail_play (play, "less than two members of the first run failed");
  if (play->item->takeover
      && (play->killed_ms == 0
          || tst_processes_fence (&play->processes) <= play->killed_fence
          || count_failed_ends (play, first_run, play->killed_ms) == 0))
    fail_play (play, "there was no takeover between two ends");
}

/* Calls. */

static void
on_submitted (void *user, const struct hc_result *result)
{
  struct play *play = user;

  play->is_asked = false;
  play->next_ask_us = hc_now_us () + POLL_US;
  if (play->phase == SUBMITTING && result->status == 200)
    play->phase = RUNNING;
}

static void
on_job (void *user, const struct hc_result *result)
{
  struct play *play = user;
  bool is_failed = tst_processes_shows (result, "\"failed\"");
  bool is_wanted = play->item->failing_runs < MAX_ATTEMPTS
                       ? tst_processes_shows (result, "\"complete\"")
                       : is_failed;

  play->is_asked = false;
  play->next_ask_us = hc_now_us () + POLL_US;
  if (is_failed && count_failed_runs (play) < MAX_ATTEMPTS)
    fail_play (play, "shown as failed too soon");
  if (play->phase == AFTER && result->status == 200 && !is_wanted)
    fail_play (play, "shown with another state after its end");
  if (play->phase == RUNNING && is_wanted)
    {
      play->phase = AFTER;
      play->deadline_us = hc_now_us () + AFTER_US;
    }
}

static void
call (struct play *play)
{
  bool is_submission = play->phase == SUBMITTING;

  if (play->processes.leader == NULL && is_submission)
    return;
  if (play->is_asked || hc_now_us () < play->next_ask_us)
    return;
  play->is_asked
      = tst_processes_send (&play->processes, is_submission ? HC_POST : HC_GET,
                            JOB_PATH, is_submission ? JOB_BODY : "",
                            is_submission ? on_submitted : on_job, play);
}

/* Plays. */

static void
advance (struct play *play)
{
  bool is_over = hc_now_us () >= play->deadline_us;

  if (play->phase == ENDED)
    return;
  make_trouble (play);
  tst_processes_poll (&play->processes);
  call (play);
  if (is_over && play->phase != AFTER)
    fail_play (play, "the job has not ended");
  if (play->failure == NULL && !is_over)
    return;
  check_end (play);
  tst_processes_end (&play->processes, play->failure != NULL);
  play->phase = ENDED;
}

static void
begin_play (struct play *play, const struct gang_case *item,
            struct ev_loop *loop)
{
  play->item = item;
  tst_processes_begin (&play->processes, loop, MEMBERS);
  /* A stop takes longer than the members need to fail by themselves, and the
     gap leaves time to kill the leader before the next end. */
  play->processes.fake.faults.gang = (struct fkp_gang){
    .prefix = JOB ".0.0.",
    .size = MEMBERS,
    .failing_runs = item->failing_runs,
    .failing_members = 3,
    .fail_after_ms = 150,
    .fail_gap_ms = 500,
    .notice_ms = FKP_GANG_UNTOLD,
    .stop_ms = 1500,
  };
  play->deadline_us = hc_now_us () + JOB_TIMEOUT_US;
}

/* Plays all cases at the same time. */
static void
failed_run_counts_once (void **state)
{
  static struct play plays[G_N_ELEMENTS (cases)];
  struct ev_loop *loop = ev_default_loop (0);
  uint32_t ended = 0;
  uint32_t failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    begin_play (&plays[i], &cases[i], loop);
  while (ended < G_N_ELEMENTS (cases))
    {
      ev_run (loop, EVRUN_ONCE);
      ended = 0;
      for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
        {
          advance (&plays[i]);
          ended += plays[i].phase == ENDED;
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (plays[i].failure == NULL)
      print_message ("passed %s\n", cases[i].name);
    else
      {
        print_message ("FAILED %s: %s, logs are in %s\n", cases[i].name,
                       plays[i].failure, plays[i].processes.dir);
        failed++;
      }
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (failed_run_counts_once),
  };

  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
