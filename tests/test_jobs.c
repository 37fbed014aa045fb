/**
 * @file
 * Tests of the job table: replay, cancellation of a job whose submit is
 * appended again, epochs of owners, and eviction of ended jobs.
 */
#include <cyclamendrum/jobs.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

struct watcher
{
  uint32_t changes;        /**< number of reported changes */
  struct cyc_job_row last; /**< row after the newest change */
};

static void
on_change (void *user, const struct cyc_job_row *row)
{
  struct watcher *watcher = user;

  watcher->changes++;
  watcher->last = *row;
}

static struct cyc_jobs
make_table (uint32_t max_jobs, uint32_t max_tasks)
{
  struct cyc_findings found = { 0 };
  struct cyc_jobs jobs;

  assert_true (cyc_jobs_setup (
      &jobs,
      &(struct cyc_jobs_desc){ .max_jobs = max_jobs, .max_tasks = max_tasks },
      &found));
  return jobs;
}

static struct cyc_job_event
submit_event (uint8_t job, uint32_t tasks)
{
  return (struct cyc_job_event){ .kind = CYC_JOB_EVENT_SUBMIT,
                                 .job_id = { { job } },
                                 .queue = CYC_STR ("tally"),
                                 .team = CYC_STR ("orders"),
                                 .domain = CYC_STR ("north-a"),
                                 .tasks = tasks,
                                 .submitted_ms = 5 };
}

static struct cyc_job_event
cancel_event (uint8_t job)
{
  return (struct cyc_job_event){ .kind = CYC_JOB_EVENT_CANCEL,
                                 .job_id = { { job } } };
}

static struct cyc_job_event
progress_event (uint8_t job, uint64_t epoch, uint32_t attempt,
                struct cyc_str bits)
{
  return (struct cyc_job_event){ .kind = CYC_JOB_EVENT_PROGRESS,
                                 .job_id = { { job } },
                                 .epoch = epoch,
                                 .attempt = attempt,
                                 .done_bits = bits };
}

static struct cyc_job_event
done_event (uint8_t job, uint64_t epoch, enum cyc_job_state state)
{
  return (struct cyc_job_event){ .kind = CYC_JOB_EVENT_DONE,
                                 .job_id = { { job } },
                                 .epoch = epoch,
                                 .state = state,
                                 .reason = CYC_STR ("because") };
}

static struct cyc_str
make_record (const struct cyc_job_event *events, uint32_t count)
{
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_jobs (&id, CYC_STR ("vm-1"), events, count, &record));
  return record;
}

static void
apply_event (struct cyc_jobs *jobs, struct cyc_job_event event,
             struct watcher *watcher)
{
  struct cyc_jobs_watch watch = { .changed = on_change, .user = watcher };
  struct cyc_str record = make_record (&event, 1);

  assert_true (cyc_jobs_apply (jobs, cyc_jobs_next (jobs), record,
                               watcher != NULL ? &watch : NULL));
  free ((char *)record.data);
}

static const struct cyc_job_row *
find_job (const struct cyc_jobs *jobs, uint8_t job)
{
  return cyc_jobs_find (jobs, &(struct cyc_id128){ { job } });
}

static bool
task_done (const struct cyc_jobs *jobs, uint8_t job, uint32_t task)
{
  return cyc_jobs_task_done (jobs, &(struct cyc_id128){ { job } }, task);
}

/* An event for a job of 40 tasks, and the expected row after it. */
struct job_step
{
  const char *name;
  struct cyc_job_event event;
  bool changes; /**< the event changes the row */
  enum cyc_job_state state;
  bool cancel_requested;
  uint64_t offset;
  uint32_t attempt;
  uint32_t done_tasks;
};

/* Guards against a replayed or late record that reverts a newer one: a submit
   appended again that clears a cancellation, progress of an earlier owner, a
   second end. */
static void
records_of_a_job_are_idempotent (void **unused)
{
  const struct job_step steps[] = {
    { "progress of an unknown job", progress_event (1, 1, 1, CYC_STR ("\x01")),
      false },
    { "submitted", submit_event (1, 40), true, CYC_JOB_QUEUED, false, 1, 0,
      0 },
    { "a second submit updates the offset", submit_event (1, 99), true,
      CYC_JOB_QUEUED, false, 2, 0, 0 },
    { "tasks 0 and 9 done", progress_event (1, 2, 1, CYC_STR ("\x01\x02")),
      true, CYC_JOB_QUEUED, false, 2, 1, 2 },
    { "progress of an earlier owner",
      progress_event (1, 1, 7, CYC_STR ("\xff")), false, CYC_JOB_QUEUED, false,
      2, 1, 2 },
    { "done tasks stay done", progress_event (1, 3, 2, CYC_STR ("\x03")), true,
      CYC_JOB_QUEUED, false, 2, 2, 3 },
    { "progress of an earlier attempt of the same epoch",
      progress_event (1, 3, 1, CYC_STR ("")), true, CYC_JOB_QUEUED, false, 2,
      2, 3 },
    { "bits past the last task are ignored",
      progress_event (1, 3, 2, CYC_STR ("\0\0\0\0\x80\xff")), true,
      CYC_JOB_QUEUED, false, 2, 2, 4 },
    { "cancelled", cancel_event (1), true, CYC_JOB_QUEUED, true, 2, 2, 4 },
    { "cancelled again", cancel_event (1), false, CYC_JOB_QUEUED, true, 2, 2,
      4 },
    { "a re-append keeps the cancellation", submit_event (1, 40), true,
      CYC_JOB_QUEUED, true, 10, 2, 4 },
    { "end by an earlier owner", done_event (1, 2, CYC_JOB_DONE), false,
      CYC_JOB_QUEUED, true, 10, 2, 4 },
    { "an end with a state that is not final",
      done_event (1, 3, CYC_JOB_RUNNING), false, CYC_JOB_QUEUED, true, 10, 2,
      4 },
    { "ended", done_event (1, 3, CYC_JOB_CANCELLED), true, CYC_JOB_CANCELLED,
      true, 10, 2, 4 },
    { "an ended state is final", done_event (1, 9, CYC_JOB_DONE), false,
      CYC_JOB_CANCELLED, true, 10, 2, 4 },
    { "no progress after the end", progress_event (1, 9, 9, CYC_STR ("\xff")),
      false, CYC_JOB_CANCELLED, true, 10, 2, 4 },
    { "a late re-append does not reopen the job", submit_event (1, 40), true,
      CYC_JOB_CANCELLED, true, 16, 2, 4 },
  };
  struct cyc_jobs jobs = make_table (4, 0);
  struct watcher watcher = { 0 };
  uint32_t cursor = 0;

  (void)unused;
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      uint32_t before = watcher.changes;
      const struct cyc_job_row *row;

      print_message ("  %s\n", steps[i].name);
      apply_event (&jobs, steps[i].event, &watcher);
      assert_int_equal (watcher.changes - before, steps[i].changes);
      row = find_job (&jobs, 1);
      if (i == 0)
        {
          assert_null (row);
          continue;
        }
      assert_int_equal (row->tasks, 40);
      assert_int_equal (row->state, steps[i].state);
      assert_int_equal (row->cancel_requested, steps[i].cancel_requested);
      assert_int_equal (row->offset, steps[i].offset);
      assert_int_equal (row->attempt, steps[i].attempt);
      assert_int_equal (row->done_tasks, steps[i].done_tasks);
    }
  assert_true (task_done (&jobs, 1, 0) && task_done (&jobs, 1, 1));
  assert_true (task_done (&jobs, 1, 9) && task_done (&jobs, 1, 39));
  assert_false (task_done (&jobs, 1, 2) || task_done (&jobs, 1, 40));
  assert_string_equal (find_job (&jobs, 1)->reason, "because");
  assert_null (cyc_jobs_next_open (&jobs, &cursor));
  cyc_jobs_shutdown (&jobs);
}

/* Guards against running a cancelled job in a process that starts to read
   after the first submit was trimmed. It reads the cancellation of a job
   unknown to it, the submit appended again, and then the cancellation, which
   the owner appends again because cancel_requested is set on the job. */
static void
a_cancellation_survives_re_append_and_trim (void **unused)
{
  struct cyc_jobs owner = make_table (4, 0);
  struct cyc_jobs late = make_table (4, 0);
  struct watcher watcher = { 0 };
  struct cyc_job_event events[] = { submit_event (1, 1), cancel_event (1),
                                    submit_event (1, 1), cancel_event (1) };

  (void)unused;
  for (int i = 0; i < 3; i++)
    apply_event (&owner, events[i], &watcher);
  assert_int_equal (watcher.last.offset, 2);
  assert_true (watcher.last.cancel_requested);
  cyc_jobs_seek (&late, 1);
  for (int i = 1; i < 4; i++)
    apply_event (&late, events[i], NULL);
  assert_true (find_job (&late, 1)->cancel_requested);
  assert_int_equal (cyc_jobs_next (&late), 4);
  cyc_jobs_shutdown (&owner);
  cyc_jobs_shutdown (&late);
}

/* Guards against a full table that evicts a job that has not ended, and
   against blocks of done bits that leak when jobs are evicted. */
static void
ended_jobs_are_evicted_first (void **unused)
{
  struct cyc_jobs jobs = make_table (3, CYC_JOB_MAX_TASKS);
  uint32_t cursor = 0;
  const struct cyc_job_row *row;

  (void)unused;
  for (uint8_t job = 1; job <= 3; job++)
    apply_event (&jobs, submit_event (job, 64), NULL);
  apply_event (&jobs, submit_event (4, 1), NULL);
  assert_null (find_job (&jobs, 4));
  apply_event (&jobs, done_event (3, 1, CYC_JOB_DONE), NULL);
  apply_event (&jobs, done_event (2, 1, CYC_JOB_FAILED), NULL);
  apply_event (&jobs, submit_event (4, 1), NULL);
  assert_null (find_job (&jobs, 3));
  assert_non_null (find_job (&jobs, 2));
  row = cyc_jobs_next_open (&jobs, &cursor);
  assert_int_equal (row->id.bytes[0], 1);
  row = cyc_jobs_next_open (&jobs, &cursor);
  assert_int_equal (row->id.bytes[0], 4);
  assert_null (cyc_jobs_next_open (&jobs, &cursor));
  /* The table holds 4,096 task bits in all: each of these jobs fits only after
     the previous one is evicted with all its blocks. */
  for (uint8_t job = 5; job < 200; job++)
    {
      apply_event (&jobs, submit_event (job, 3000), NULL);
      assert_non_null (find_job (&jobs, job));
      assert_false (task_done (&jobs, job, 2999));
      apply_event (&jobs, progress_event (job, 1, 1, CYC_STR ("\xff")), NULL);
      assert_int_equal (find_job (&jobs, job)->done_tasks, 8);
      apply_event (&jobs, done_event (job, 1, CYC_JOB_DONE), NULL);
    }
  assert_non_null (find_job (&jobs, 1));
  cyc_jobs_shutdown (&jobs);
}

/* Guards against an invalid event that discards the other events of its
   record. */
static void
an_invalid_event_is_skipped_alone (void **unused)
{
  struct cyc_job_event events[] = {
    submit_event (1, 0),    submit_event (2, 4097), submit_event (3, 1),
    submit_event (4, 4096), cancel_event (9),       submit_event (5, 1)
  };
  struct cyc_jobs jobs = make_table (8, 0);
  struct cyc_str record;

  (void)unused;
  events[2].queue = CYC_STR ("No such name");
  events[5].team = (struct cyc_str){ 0 };
  record = make_record (events, 6);
  assert_true (cyc_jobs_apply (&jobs, 0, record, NULL));
  assert_null (find_job (&jobs, 1));
  assert_null (find_job (&jobs, 2));
  assert_null (find_job (&jobs, 3));
  assert_non_null (find_job (&jobs, 4));
  assert_non_null (find_job (&jobs, 5));
  record.len /= 2;
  assert_false (cyc_jobs_apply (&jobs, 1, record, NULL));
  assert_int_equal (cyc_jobs_next (&jobs), 2);
  free ((char *)record.data);
  cyc_jobs_shutdown (&jobs);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (records_of_a_job_are_idempotent),
    cmocka_unit_test (a_cancellation_survives_re_append_and_trim),
    cmocka_unit_test (ended_jobs_are_evicted_first),
    cmocka_unit_test (an_invalid_event_is_skipped_alone),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
