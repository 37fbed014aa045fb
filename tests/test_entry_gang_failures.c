/* Whole VMs against runs of a gang several members of which end `failed`.
   Guards against counting each member's end as an attempt of the job (LOST).
 */

#include "tst_cluster.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <cmocka.h>

#define MAX_ATTEMPTS 3
#define MEMBERS 4
#define JOB_PATH "/plain/0000000000000001"
#define GANG_PREFIX "0000000000000001.0.0."
/** A worker has 8000 millicores. */
#define JOB_BODY(millicores)                                                  \
  "{\"spec\":\"s\",\"steps\":[{\"count\":4,\"cpu\":" millicores               \
  ",\"mem_mb\":10,\"estimate_ms\":400,\"gang\":true}]}"
#define TICK_MS 10
#define ELECTION_TIMEOUT_MS 6000
/** From the first leader to the submission, for the workers' first reports. */
#define SETTLE_MS 900
#define JOB_TIMEOUT_MS 25000
/** Between two requests for the job's state. */
#define POLL_MS 100
/** A request to a VM that was killed gets no answer. */
#define POLL_TIMEOUT_MS 3500
/** After the job has ended, for starts that are not to come. */
#define AFTER_MS 2000
/** How long the log's answers are delayed, so that an end is stored and the
 * leader does not know it. */
#define SLOW_LOG_MS 400

/* How members of a failing run end. */
struct pattern
{
  const char *name;
  bool one_worker;
  struct fkp_gang gang;
};

static const struct pattern patterns[] = {
  { "one worker, at once", true, { .failing_members = 3 } },
  { "one worker, one after another",
    true,
    { .failing_members = 3,
      .fail_gap_ms = 250,
      .notice_ms = 600,
      .stop_ms = 900 } },
  { "several workers, told at once", false, { .failing_members = 3 } },
  { "several workers, told late",
    false,
    { .failing_members = 3,
      .fail_gap_ms = 250,
      .notice_ms = 600,
      .further_notice_ms = 150,
      .stop_ms = 900 } },
  { "several workers, never told",
    false,
    { .failing_members = 3,
      .fail_gap_ms = 250,
      .notice_ms = FKP_GANG_UNTOLD,
      .stop_ms = 900 } },
};

/* What else happens while the members of the first run end. */
enum trouble
{
  NO_TROUBLE,
  LOST_ACKNOWLEDGEMENTS, /* without a takeover */
  KILLED_BETWEEN_ENDS,   /* the leader, once an end is acknowledged */
  KILLED_UNACKNOWLEDGED, /* the leader, once an acknowledgement is sent */
  KILLED_UNSTORED,       /* the leader, before it knows that one is stored */
  TROUBLES
};

static const char *const trouble_names[TROUBLES] = {
  "no trouble",
  "acknowledgements are lost",
  "the leader is killed between two ends",
  "the leader is killed, its acknowledgement is not executed",
  "the leader is killed before it has stored an end",
};

enum phase
{
  ELECTION,
  SETTLING,
  RUNNING,
  AFTER,
  ENDED
};

struct play
{
  struct tst_cluster cluster;
  const struct pattern *pattern;
  enum trouble trouble;
  uint32_t failing_runs;
  enum phase phase;
  uint64_t phase_us;  /* when the phase began */
  uint64_t killed_ms; /* when the leader was killed; 0: it was not */
  uint32_t poll_call;
  uint64_t poll_us; /* when it was sent; 0: none is open */
  uint64_t next_poll_us;
  char failure[256]; /* empty: none so far */
};

static void fail_play (struct play *play, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
fail_play (struct play *play, const char *format, ...)
{
  va_list args;

  if (play->failure[0] != 0)
    return;
  va_start (args, format);
  vsnprintf (play->failure, sizeof play->failure, format, args);
  va_end (args);
}

static uint64_t
age_ms (const struct play *play)
{
  return (hc_now_us () - play->phase_us) / 1000;
}

static void
begin_phase (struct play *play, enum phase phase)
{
  play->phase = phase;
  play->phase_us = hc_now_us ();
}

/* Returns the member's run at @p index of the history if it ended `failed`. */
static const struct fkp_history *
failed_end (const struct play *play, guint index)
{
  const struct fkp_history *row
      = &g_array_index (play->cluster.fake.history, struct fkp_history, index);

  return row->outcome != NULL && strcmp (row->outcome, "failed") == 0 ? row
                                                                      : NULL;
}

static uint32_t
count_failed_ends (const struct play *play, uint32_t run)
{
  uint32_t count = 0;

  for (guint i = 0; i < play->cluster.fake.history->len; i++)
    count += failed_end (play, i) != NULL && failed_end (play, i)->run == run;
  return count;
}

/* Returns the number of distinct runs that failed. */
static uint32_t
count_failed_runs (const struct play *play, uint32_t *last_run)
{
  const GArray *runs = play->cluster.fake.gang_runs;
  uint32_t count = 0;

  for (guint i = 0; i < runs->len; i++)
    {
      uint32_t number = g_array_index (runs, struct fkp_gang_run, i).number;

      if (count_failed_ends (play, number) == 0)
        continue;
      count++;
      *last_run = MAX (*last_run, number);
    }
  return count;
}

/* Returns when a member first ended `failed`, UINT64_MAX if none has. */
static uint64_t
first_failed_ms (const struct play *play)
{
  uint64_t first_ms = UINT64_MAX;

  for (guint i = 0; i < play->cluster.fake.history->len; i++)
    if (failed_end (play, i) != NULL)
      first_ms = MIN (first_ms, failed_end (play, i)->end_ms);
  return first_ms;
}

static bool
is_end_acknowledged (const struct play *play)
{
  for (guint i = 0; i < play->cluster.fake.history->len; i++)
    if (failed_end (play, i) != NULL && failed_end (play, i)->acknowledged)
      return true;
  return false;
}

static void
kill_leader (struct play *play)
{
  if (tst_cluster_leader (&play->cluster) == NULL)
    return;
  tst_cluster_kill_vm (&play->cluster,
                       tst_cluster_leader_index (&play->cluster));
  play->killed_ms = hc_now_us () / 1000;
}

static void
make_trouble (struct play *play)
{
  struct fkp_platform *fake = &play->cluster.fake;
  uint64_t now_ms = hc_now_us () / 1000;

  if (play->trouble == KILLED_UNSTORED && play->killed_ms == 0
      && fake->gang_runs->len > 0)
    fake->faults.log_delay_ms = SLOW_LOG_MS;
  if (play->killed_ms != 0 || now_ms < first_failed_ms (play))
    return;
  switch (play->trouble)
    {
    case KILLED_BETWEEN_ENDS:
      if (is_end_acknowledged (play))
        kill_leader (play);
      return;
    case KILLED_UNACKNOWLEDGED:
      if (fake->late_holds->len > 0)
        {
          kill_leader (play);
          fake->faults.late_holds = 0;
          g_array_set_size (fake->late_holds, 0);
        }
      return;
    case KILLED_UNSTORED:
      if (now_ms - first_failed_ms (play) >= SLOW_LOG_MS / 2)
        {
          kill_leader (play);
          fake->faults.log_delay_ms = 0;
        }
      return;
    default:
      return;
    }
}

/* Returns true if the job was shown with a state, which is then stored. */
static bool
poll_state (struct play *play, enum cell_job_state *state)
{
  struct tst_cluster *cluster = &play->cluster;
  uint64_t now_us = hc_now_us ();
  uint32_t vm = 0;
  bool answered;

  if (play->poll_us == 0)
    {
      if (now_us < play->next_poll_us)
        return false;
      while (!cluster->vms[vm].up)
        vm++;
      cluster->next_call %= TST_CLUSTER_ANSWERS;
      play->poll_call = tst_cluster_send (cluster, vm, "GET", JOB_PATH,
                                          TST_CLUSTER_KEY, "");
      play->poll_us = now_us;
    }
  answered = cluster->answer_counts[play->poll_call] > 0;
  if (!answered && now_us < play->poll_us + POLL_TIMEOUT_MS * 1000ULL)
    return false;
  play->poll_us = 0;
  play->next_poll_us = now_us + POLL_MS * 1000ULL;
  *state = cluster->answers[play->poll_call].state;
  return answered && cluster->answers[play->poll_call].kind == PT_ANSWER_STATE;
}

static bool
is_failed_after_kill (const struct play *play)
{
  uint32_t first_run
      = g_array_index (play->cluster.fake.gang_runs, struct fkp_gang_run, 0)
            .number;

  for (guint i = 0; i < play->cluster.fake.history->len; i++)
    if (failed_end (play, i) != NULL && failed_end (play, i)->run == first_run
        && failed_end (play, i)->end_ms > play->killed_ms)
      return true;
  return false;
}

/* A play without its trouble shows nothing. */
static void
check_trouble (struct play *play)
{
  if (play->trouble == LOST_ACKNOWLEDGEMENTS
      && play->cluster.fake.faults.break_holds == MEMBERS)
    fail_play (play, "no acknowledgement was lost");
  if (play->trouble >= KILLED_BETWEEN_ENDS && play->killed_ms == 0)
    fail_play (play, "no leader was killed");
  if (play->trouble == KILLED_BETWEEN_ENDS
      && play->pattern->gang.fail_gap_ms > 0 && !is_failed_after_kill (play))
    fail_play (play, "no member failed after the leader was killed");
}

/* A play in which only one member of the first run fails shows nothing. */
static void
check_runs (struct play *play)
{
  const struct fkp_platform *fake = &play->cluster.fake;
  uint32_t last_run = 0;
  uint32_t failed_runs = count_failed_runs (play, &last_run);

  if (failed_runs != play->failing_runs)
    fail_play (play, "%u runs failed, not %u", failed_runs,
               play->failing_runs);
  else if (count_failed_ends (
               play,
               g_array_index (fake->gang_runs, struct fkp_gang_run, 0).number)
           < 2)
    fail_play (play, "less than two members of the first run failed");
  for (guint i = 0; i < fake->history->len; i++)
    if (failed_runs >= MAX_ATTEMPTS
        && g_array_index (fake->history, struct fkp_history, i).run > last_run)
      fail_play (play, "run %u began after %u failed runs",
                 g_array_index (fake->history, struct fkp_history, i).run,
                 failed_runs);
}

static void
end_play (struct play *play)
{
  check_runs (play);
  if (play->cluster.fake.gang_runs->len > 0)
    check_trouble (play);
  tst_cluster_teardown (&play->cluster);
  begin_phase (play, ENDED);
}

static void
advance_job (struct play *play)
{
  enum cell_job_state state = CELL_JOB_QUEUED;
  enum cell_job_state wanted = play->failing_runs < MAX_ATTEMPTS
                                   ? CELL_JOB_COMPLETE
                                   : CELL_JOB_FAILED;
  uint32_t last_run = 0;
  uint32_t failed_runs = count_failed_runs (play, &last_run);
  bool shown;

  make_trouble (play);
  shown = poll_state (play, &state);
  if (shown && state == CELL_JOB_FAILED && failed_runs < MAX_ATTEMPTS)
    fail_play (play, "shown as failed after %u failed runs", failed_runs);
  if (play->phase == AFTER && shown && state != wanted)
    fail_play (play, "shown with state %d after its end", (int)state);
  if (play->failure[0] != 0
      || (play->phase == AFTER && age_ms (play) >= AFTER_MS))
    end_play (play);
  else if (play->phase == RUNNING && shown && state == wanted)
    begin_phase (play, AFTER);
  else if (play->phase == RUNNING && age_ms (play) >= JOB_TIMEOUT_MS)
    {
      fail_play (play, "the job has not ended after %d ms; %u runs failed",
                 JOB_TIMEOUT_MS, failed_runs);
      end_play (play);
    }
}

static void
submit_job (struct play *play)
{
  struct fkp_platform *fake = &play->cluster.fake;
  struct fkp_gang *gang = &fake->faults.gang;

  *gang = play->pattern->gang;
  gang->prefix = GANG_PREFIX;
  gang->size = MEMBERS;
  gang->failing_runs = play->failing_runs;
  gang->fail_after_ms = 150;
  if (play->trouble == LOST_ACKNOWLEDGEMENTS)
    fake->faults.break_holds = MEMBERS;
  if (play->trouble == KILLED_UNACKNOWLEDGED)
    fake->faults.late_holds = MEMBERS;
  tst_cluster_send (
      &play->cluster,
      (tst_cluster_leader_index (&play->cluster) + 1) % TST_CLUSTER_VMS,
      "POST", JOB_PATH, TST_CLUSTER_KEY,
      play->pattern->one_worker ? JOB_BODY ("2000") : JOB_BODY ("8000"));
}

static void
advance (struct play *play)
{
  switch (play->phase)
    {
    case ELECTION:
      if (tst_cluster_leader (&play->cluster) != NULL)
        begin_phase (play, SETTLING);
      else if (age_ms (play) > ELECTION_TIMEOUT_MS)
        {
          fail_play (play, "no leader");
          tst_cluster_teardown (&play->cluster);
          begin_phase (play, ENDED);
        }
      return;
    case SETTLING:
      if (age_ms (play) < SETTLE_MS)
        return;
      begin_phase (play, RUNNING);
      submit_job (play);
      return;
    case RUNNING:
    case AFTER:
      advance_job (play);
      return;
    case ENDED:
      return;
    }
}

static void
begin_play (struct play *play, const struct pattern *pattern,
            enum trouble trouble, uint32_t failing_runs)
{
  play->pattern = pattern;
  play->trouble = trouble;
  play->failing_runs = failing_runs;
  tst_cluster_begin (&play->cluster);
  /* No other worker has room for a member. */
  for (uint32_t w = 1; pattern->one_worker && w < 4; w++)
    play->cluster.fake.workers[w].millicores = 100;
  begin_phase (play, ELECTION);
}

/* Plays all patterns with all troubles at the same time. */
static void
play_all (uint32_t failing_runs)
{
  const char *filter = getenv ("CASE_FILTER");
  struct play *plays[G_N_ELEMENTS (patterns) * TROUBLES];
  uint32_t count = 0;
  uint32_t ended = 0;
  uint32_t failed = 0;

  for (size_t p = 0; p < G_N_ELEMENTS (patterns); p++)
    for (uint32_t t = 0; t < TROUBLES; t++)
      {
        char *name
            = g_strdup_printf ("%s, %s", patterns[p].name, trouble_names[t]);

        if (filter == NULL || strstr (name, filter) != NULL)
          {
            plays[count] = g_new0 (struct play, 1);
            begin_play (plays[count++], &patterns[p], t, failing_runs);
          }
        g_free (name);
      }
  while (ended < count)
    {
      tst_cluster_run (&plays[0]->cluster, TICK_MS);
      ended = 0;
      for (uint32_t i = 0; i < count; i++)
        {
          advance (plays[i]);
          ended += plays[i]->phase == ENDED;
        }
    }
  for (uint32_t i = 0; i < count; i++)
    {
      print_message ("%s %u failing, %s, %s%s%s\n",
                     plays[i]->failure[0] != 0 ? "FAILED" : "passed",
                     failing_runs, plays[i]->pattern->name,
                     trouble_names[plays[i]->trouble],
                     plays[i]->failure[0] != 0 ? ": " : "", plays[i]->failure);
      failed += plays[i]->failure[0] != 0;
      g_free (plays[i]);
    }
  assert_int_equal (failed, 0);
}

static void
test_one_failing_run (void **state)
{
  (void)state;
  play_all (1);
}

static void
test_two_failing_runs (void **state)
{
  (void)state;
  play_all (2);
}

static void
test_three_failing_runs (void **state)
{
  (void)state;
  play_all (3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_failing_run),
    cmocka_unit_test (test_two_failing_runs),
    cmocka_unit_test (test_three_failing_runs),
  };
  static struct ev_sink sink;
  struct rlimit files;

  getrlimit (RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit (RLIMIT_NOFILE, &files);
  signal (SIGPIPE, SIG_IGN);
  /* One cluster's log is readable. */
  if (getenv ("CASE_FILTER") != NULL)
    ev_setup (&sink, &(struct ev_desc){ .role = CYC_STR ("test"),
                                        .lowest_level = G_LOG_LEVEL_INFO });
  if (getenv ("TEST_FILTER") != NULL)
    cmocka_set_test_filter (getenv ("TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
