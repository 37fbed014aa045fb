/* Contract between the adapter and the platform's interfaces, checked against
   the fake platform. Each case is one call, an injected fault and the result
   that the port must report. If the port reports a call wrongly as without
   effect or as done, a job runs twice or is lost. */

#include "cell.pb-c.h"
#include "fk_platform.h"
#include "pf.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define CALL_TIMEOUT_MS 250

struct fixture
{
  struct ev_loop *loop;
  struct fkp_platform fake;
  struct ent_settings settings;
  struct pf_desc desc;
  struct pf_log log;
  struct pf_workers workers;
  struct pf_advisor advisor;
  uint32_t done; /**< number of finished calls */
  struct pt_append_result append;
  struct pt_read_result read;
  struct pt_newest_result newest;
  char keys[16][32];
  char values[16][32];
  enum cell_start_result start;
  bool stop_answered;
  struct pt_call_end unanswered; /* of the last call */
  bool answered;                 /* the last call got an answer */
  struct cell_report report;
  char running_task[64];
  char end_task[64];
  enum cell_end_kind end_kind;
  bool advised;
  uint32_t tickets;
};

static void
setup (struct fixture *f)
{
  struct cyc_findings findings = { 0 };

  memset (f, 0, sizeof *f);
  f->loop = ev_default_loop (0);
  assert_true (fkp_setup (&f->fake, f->loop, 1, &findings));
  fkp_address (&f->fake.log, f->settings.log_address);
  fkp_address (&f->fake.advisor, f->settings.advisor_address);
  f->desc = (struct pf_desc){ .loop = f->loop, .settings = &f->settings };
  assert_true (pf_log_setup (&f->log, &f->desc, &findings));
  assert_true (pf_workers_setup (&f->workers, &f->desc, &findings));
  assert_true (pf_advisor_setup (&f->advisor, &f->desc, &findings));
}

static void
teardown (struct fixture *f)
{
  pf_client_shutdown (&f->log.client);
  pf_workers_shutdown (&f->workers);
  pf_client_shutdown (&f->advisor.client);
  fkp_shutdown (&f->fake);
}

static void
wait_done (struct fixture *f, uint32_t count)
{
  uint64_t end_us = hc_now_us () + 3000000;

  while (f->done < count && hc_now_us () < end_us)
    ev_run (f->loop, EVRUN_ONCE);
  assert_int_equal (f->done, count);
}

static uint64_t
deadline_us (void)
{
  return hc_now_us () + CALL_TIMEOUT_MS * 1000ULL;
}

static void
on_append (void *user, const struct pt_append_result *result)
{
  struct fixture *f = user;

  f->append = *result;
  f->done++;
}

static void
on_read (void *user, const struct pt_read_result *result)
{
  struct fixture *f = user;

  f->read = *result;
  for (uint32_t i = 0; i < result->count && i < 16; i++)
    {
      snprintf (f->keys[i], sizeof f->keys[i], "%.*s",
                CYC_FMT (result->records[i].key));
      snprintf (f->values[i], sizeof f->values[i], "%.*s",
                CYC_FMT (result->records[i].value));
    }
  f->done++;
}

static void
on_newest (void *user, const struct pt_newest_result *result)
{
  struct fixture *f = user;

  f->newest = *result;
  for (uint32_t i = 0; i < result->count && i < 16; i++)
    {
      snprintf (f->keys[i], sizeof f->keys[i], "%.*s",
                CYC_FMT (result->records[i].key));
      snprintf (f->values[i], sizeof f->values[i], "%.*s",
                CYC_FMT (result->records[i].value));
    }
  f->done++;
}

static void
append_and_wait (struct fixture *f, struct pt_append desc, const char *key,
                 const char *value)
{
  struct pt_record record = { cyc_str_of (key), cyc_str_of (value) };
  uint32_t before = f->done;

  desc.records = &record;
  desc.count = value[0] != 0;
  desc.deadline_us = deadline_us ();
  desc.done = on_append;
  desc.user = f;
  assert_true (f->log.port.vtable->append (&f->log.port, &desc));
  wait_done (f, before + 1);
}

struct append_case
{
  const char *description;
  struct fkp_faults faults;
  struct pt_append first; /**< appended without a fault before `append` */
  struct pt_append append;
  const char *value;
  enum pt_outcome outcome;
  uint64_t records; /**< in the stream after both appends */
};

#define KEYED_STREAM PT_STREAM_JOBS
#define EPOCH_APPEND(number, seq)                                             \
  {                                                                           \
    .stream = PT_STREAM_CELL, .epoch = (number), .sequence = (seq)            \
  }

static const struct append_case append_cases[] = {
  { "a record is stored",
    { 0 },
    { .stream = KEYED_STREAM },
    { .stream = KEYED_STREAM },
    "v",
    PT_OK,
    2 },
  { "status 503: without effect",
    { .log_busy = true },
    { .stream = KEYED_STREAM },
    { .stream = KEYED_STREAM },
    "v",
    PT_REFUSED,
    1 },
  { "a closed connection: outcome unknown",
    { .log_disconnects = true },
    { .stream = KEYED_STREAM },
    { .stream = KEYED_STREAM },
    "v",
    PT_UNKNOWN,
    1 },
  { "a lost answer on a reused connection: outcome unknown",
    { .lose_append_answers = 1 },
    { .stream = KEYED_STREAM },
    { .stream = KEYED_STREAM },
    "v",
    PT_UNKNOWN,
    2 },
  { "lost answers: outcome unknown",
    { .lose_append_answers = 2 },
    { .stream = KEYED_STREAM },
    { .stream = KEYED_STREAM },
    "v",
    PT_UNKNOWN,
    2 },
  { "a lost answer to an append with an epoch: stored once",
    { .lose_append_answers = 1 },
    EPOCH_APPEND (5, 0),
    EPOCH_APPEND (5, 1),
    "v",
    PT_OK,
    2 },
  { "no answer before the deadline: outcome unknown",
    { .log_silent = true },
    { .stream = KEYED_STREAM },
    { .stream = KEYED_STREAM },
    "v",
    PT_UNKNOWN,
    1 },
  { "a claim with the current end of its stream",
    { 0 },
    { .stream = PT_STREAM_LEAD },
    { .stream = PT_STREAM_LEAD, .at_end = true, .end = 1 },
    "v",
    PT_OK,
    2 },
  { "a claim with an outdated end of its stream",
    { 0 },
    { .stream = PT_STREAM_LEAD },
    { .stream = PT_STREAM_LEAD, .at_end = true, .end = 0 },
    "v",
    PT_CONFLICT,
    1 },
  { "the next record of an epoch",
    { 0 },
    EPOCH_APPEND (5, 0),
    EPOCH_APPEND (5, 1),
    "v",
    PT_OK,
    2 },
  { "a repeated record is stored once",
    { 0 },
    EPOCH_APPEND (5, 0),
    EPOCH_APPEND (5, 0),
    "v",
    PT_OK,
    1 },
  { "a record of an earlier epoch",
    { 0 },
    EPOCH_APPEND (5, 0),
    EPOCH_APPEND (4, 7),
    "v",
    PT_FENCED,
    1 },
  { "a record out of sequence",
    { 0 },
    EPOCH_APPEND (5, 0),
    EPOCH_APPEND (5, 7),
    "v",
    PT_CONFLICT,
    1 },
  { "an epoch is set without a record",
    { 0 },
    EPOCH_APPEND (5, 0),
    EPOCH_APPEND (6, 0),
    "",
    PT_OK,
    1 },
};

static void
test_appends (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof append_cases / sizeof append_cases[0]; i++)
    {
      const struct append_case *row = &append_cases[i];
      struct fixture f;
      uint32_t before;

      setup (&f);
      append_and_wait (&f, row->first, "k", "v");
      f.fake.faults = row->faults;
      append_and_wait (&f, row->append, "k", row->value);
      if (f.append.outcome != row->outcome)
        fail_msg ("%s: outcome %d, expected %d", row->description,
                  (int)f.append.outcome, (int)row->outcome);
      memset (&f.fake.faults, 0, sizeof f.fake.faults);
      before = f.done;
      assert_true (f.log.port.vtable->read (
          &f.log.port, &(struct pt_read){ .stream = row->append.stream,
                                          .deadline_us = deadline_us (),
                                          .done = on_read,
                                          .user = &f }));
      wait_done (&f, before + 1);
      if (f.read.next != row->records)
        fail_msg ("%s: %d records, expected %d", row->description,
                  (int)f.read.next, (int)row->records);
      teardown (&f);
    }
}

/* Keys and values are returned unchanged, a read of trimmed records reports
   the first retained offset, and a waiting read ends when a record arrives. */
static void
test_reads (void **state)
{
  struct fixture f;

  (void)state;
  setup (&f);
  for (int i = 0; i < 5; i++)
    {
      char key[16];

      snprintf (key, sizeof key, "k%d", i);
      append_and_wait (&f, (struct pt_append){ .stream = KEYED_STREAM }, key,
                       key + 1);
    }
  append_and_wait (&f, (struct pt_append){ .stream = KEYED_STREAM }, "k2",
                   "new");
  f.done = 0;
  f.log.port.vtable->newest (
      &f.log.port, &(struct pt_newest){ .stream = KEYED_STREAM,
                                        .after_key = CYC_STR (""),
                                        .deadline_us = deadline_us (),
                                        .done = on_newest,
                                        .user = &f });
  wait_done (&f, 1);
  assert_int_equal (f.newest.count, 3);
  assert_true (f.newest.more);
  assert_int_equal (f.newest.end, 6);
  assert_string_equal (f.keys[2], "k2");
  assert_string_equal (f.values[2], "new");
  f.log.port.vtable->newest (
      &f.log.port, &(struct pt_newest){ .stream = KEYED_STREAM,
                                        .after_key = CYC_STR ("k2"),
                                        .deadline_us = deadline_us (),
                                        .done = on_newest,
                                        .user = &f });
  wait_done (&f, 2);
  assert_int_equal (f.newest.count, 2);
  assert_false (f.newest.more);
  assert_string_equal (f.keys[0], "k3");
  fkp_trim (&f.fake, "keyed.cyc-jobs", 4);
  f.log.port.vtable->read (&f.log.port,
                           &(struct pt_read){ .stream = KEYED_STREAM,
                                              .from = 1,
                                              .deadline_us = deadline_us (),
                                              .done = on_read,
                                              .user = &f });
  wait_done (&f, 3);
  assert_int_equal (f.read.outcome, PT_TRIMMED);
  assert_int_equal (f.read.first, 4);
  f.log.port.vtable->read (
      &f.log.port, &(struct pt_read){ .stream = KEYED_STREAM,
                                      .from = 6,
                                      .wait_ms = 1000,
                                      .deadline_us = hc_now_us () + 1500000,
                                      .done = on_read,
                                      .user = &f });
  append_and_wait (&f, (struct pt_append){ .stream = KEYED_STREAM }, "k9",
                   "late");
  wait_done (&f, 5);
  assert_int_equal (f.read.outcome, PT_OK);
  assert_int_equal (f.read.next, 7);
  assert_int_equal (f.read.end, 7);
  assert_string_equal (f.keys[0], "k9");
  assert_string_equal (f.values[0], "late");
  teardown (&f);
}

/* Workers. */

static void
note_call_end (struct fixture *f, const struct pt_call_end *unanswered)
{
  f->answered = unanswered == NULL;
  if (unanswered != NULL)
    f->unanswered = *unanswered;
}

static void
on_started (void *user, struct cyc_ref run, enum cell_start_result result,
            const struct pt_call_end *unanswered, const char *why)
{
  struct fixture *f = user;

  (void)run;
  (void)why;
  note_call_end (f, unanswered);
  f->start = result;
  f->done++;
}

static void
on_stopped (void *user, struct cyc_ref run, bool answered,
            const struct pt_call_end *unanswered)
{
  struct fixture *f = user;

  (void)run;
  note_call_end (f, unanswered);
  f->stop_answered = answered;
  f->done++;
}

static void
on_held (void *user, uint32_t row, const struct pt_call_end *unanswered,
         struct cell_report *report)
{
  struct fixture *f = user;

  (void)row;
  note_call_end (f, unanswered);
  f->done++;
  if (report == NULL)
    return;
  f->report = *report;
  if (report->running_count > 0)
    snprintf (f->running_task, sizeof f->running_task, "%.*s",
              CYC_FMT (report->running[0].task));
  if (report->end_count > 0)
    {
      snprintf (f->end_task, sizeof f->end_task, "%.*s",
                CYC_FMT (report->ends[0].task));
      f->end_kind = report->ends[0].kind;
    }
}

#define TASK "00000000000000aa.0.0.1"

static struct pt_target
make_target (const struct fixture *f, char address[32], uint64_t fence)
{
  memcpy (address, f->fake.workers[0].address, 32);
  return (struct pt_target){ cyc_str_of (f->fake.workers[0].id),
                             cyc_str_of (address), fence };
}

static void
start_and_wait (struct fixture *f, uint32_t number, uint64_t fence)
{
  char address[32];
  uint32_t before = f->done;

  assert_true (f->workers.port.vtable->start (
      &f->workers.port, &(struct pt_start){
                            .target = make_target (f, address, fence),
                            .task = CYC_STR (TASK),
                            .number = number,
                            .payload = CYC_STR ("a \"quoted\" text\n"),
                            .lease_deadline_ms = 100000,
                            .deadline_us = deadline_us (),
                            .done = on_started,
                            .user = f,
                        }));
  wait_done (f, before + 1);
}

static void
hold_and_wait (struct fixture *f, uint64_t fence, uint64_t ack)
{
  char address[32];
  uint32_t before = f->done;

  assert_true (f->workers.port.vtable->hold (
      &f->workers.port, &(struct pt_hold){
                            .target = make_target (f, address, fence),
                            .lease_deadline_ms = 100000,
                            .ack = ack,
                            .deadline_us = deadline_us (),
                            .done = on_held,
                            .user = f,
                        }));
  wait_done (f, before + 1);
}

static void
stop_and_wait (struct fixture *f, uint32_t number, uint64_t fence)
{
  char address[32];
  uint32_t before = f->done;

  assert_true (f->workers.port.vtable->stop (
      &f->workers.port,
      &(struct pt_stop){ .target = make_target (f, address, fence),
                         .task = CYC_STR (TASK),
                         .number = number,
                         .deadline_us = deadline_us (),
                         .done = on_stopped,
                         .user = f }));
  wait_done (f, before + 1);
}

struct start_case
{
  const char *description;
  struct fkp_faults faults;
  uint64_t fence;
  enum cell_start_result result;
  uint64_t starts; /**< runs that the worker started */
};

static const struct start_case start_cases[] = {
  { "a start", { 0 }, 5, CELL_START_OK, 1 },
  { "a start of an earlier leader", { 0 }, 4, CELL_START_FENCED, 0 },
  { "no free capacity",
    { .start_error_status = 409, .reason = "room" },
    5,
    CELL_START_REFUSED_CAPACITY,
    0 },
  { "a used ticket",
    { .start_error_status = 409, .reason = "ticket" },
    5,
    CELL_START_REFUSED_TICKET,
    0 },
  { "a run that the worker has ended or stopped",
    { .start_error_status = 409, .reason = "old" },
    5,
    CELL_START_OLD,
    0 },
  { "a start after its deadline",
    { .start_error_status = 409, .reason = "late" },
    5,
    CELL_START_REFUSED_OTHER,
    0 },
  { "status 503: without effect",
    { .start_error_status = 503 },
    5,
    CELL_START_REFUSED_OTHER,
    0 },
  { "status 500: outcome unknown",
    { .start_error_status = 500 },
    5,
    CELL_START_UNKNOWN,
    0 },
  { "another incarnation of the worker",
    { .other_incarnation = true },
    5,
    CELL_START_REFUSED_OTHER,
    0 },
  { "a lost answer on a reused connection: outcome unknown",
    { .lose_start_answers = 1 },
    5,
    CELL_START_UNKNOWN,
    1 },
  { "lost answers: outcome unknown",
    { .lose_start_answers = 2 },
    5,
    CELL_START_UNKNOWN,
    1 },
  { "no answer before the deadline: outcome unknown",
    { .workers_silent = true },
    5,
    CELL_START_UNKNOWN,
    0 },
};

static void
test_starts (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof start_cases / sizeof start_cases[0]; i++)
    {
      const struct start_case *row = &start_cases[i];
      struct fixture f;

      setup (&f);
      hold_and_wait (&f, 5, 0);
      f.fake.faults = row->faults;
      start_and_wait (&f, 1, row->fence);
      if (f.start != row->result || f.fake.workers[0].starts != row->starts)
        fail_msg ("%s: result %d, %d starts", row->description, (int)f.start,
                  (int)f.fake.workers[0].starts);
      teardown (&f);
    }
}

/* A worker reports its clock, its incarnation and its running and ended runs.
   An ended run is reported again until it is acknowledged. */
static void
test_holds (void **state)
{
  struct fixture f;

  (void)state;
  setup (&f);
  f.fake.task_duration_ms = 60;
  hold_and_wait (&f, 5, 0);
  assert_true (f.answered);
  assert_int_equal (f.report.born_ms, f.fake.workers[0].born_ms);
  assert_true (f.report.clock_ms > 0);
  start_and_wait (&f, 1, 5);
  hold_and_wait (&f, 5, 0);
  assert_string_equal (f.running_task, TASK);
  for (uint64_t end_us = hc_now_us () + 100000; hc_now_us () < end_us;)
    ev_run (f.loop, EVRUN_ONCE);
  for (int i = 0; i < 2; i++)
    {
      hold_and_wait (&f, 5, 0);
      assert_int_equal (f.report.end_count, 1);
      assert_string_equal (f.end_task, TASK);
      assert_int_equal (f.end_kind, CELL_END_DONE);
    }
  hold_and_wait (&f, 5, 1);
  assert_int_equal (f.report.end_count, 0);
  stop_and_wait (&f, 2, 5);
  assert_true (f.stop_answered);
  teardown (&f);
}

static void
call_another_incarnation (struct fixture *f)
{
  f->fake.faults.other_incarnation = true;
}

static void
call_silent (struct fixture *f)
{
  f->fake.faults.workers_silent = true;
}

static void
call_closing (struct fixture *f)
{
  f->fake.workers[0].down = true;
}

static void
call_crashing (struct fixture *f)
{
  f->fake.faults.workers_silent = true;
  f->fake.workers[0].crash_ms = hc_now_us () / 1000 + 20;
}

static void
call_absent (struct fixture *f)
{
  fkp_refuse_calls (&f->fake.workers[0]);
}

struct call_end_case
{
  const char *description;
  void (*prepare) (struct fixture *f);
  enum cell_call_end start; /**< end of a call that is written once */
  enum cell_call_end other; /**< end of a call that may be repeated */
  bool broken;
};

static const struct call_end_case call_end_cases[] = {
  { "another incarnation answers", call_another_incarnation,
    CELL_CALL_OTHER_INCARNATION, CELL_CALL_OTHER_INCARNATION, false },
  { "the worker is silent", call_silent, CELL_CALL_SILENT, CELL_CALL_SILENT,
    false },
  { "the worker closes its connections", call_closing, CELL_CALL_BROKEN,
    CELL_CALL_BROKEN, true },
  { "the worker crashes during the call", call_crashing, CELL_CALL_BROKEN,
    CELL_CALL_REFUSED, true },
  { "the worker crashed before the call", call_absent, CELL_CALL_REFUSED,
    CELL_CALL_REFUSED, false },
};

static void
start_first (struct fixture *f)
{
  start_and_wait (f, 1, 5);
}

static void
stop_first (struct fixture *f)
{
  stop_and_wait (f, 1, 5);
}

static void
hold_once (struct fixture *f)
{
  hold_and_wait (f, 5, 0);
}

/* Each call tells how it ended without an answer: a process that goes away
   during the call, one that was gone before and a silent one differ. */
static void
test_ends_of_calls (void **state)
{
  static void (*const calls[]) (struct fixture *)
      = { start_first, stop_first, hold_once };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (call_end_cases); i++)
    for (size_t c = 0; c < G_N_ELEMENTS (calls); c++)
      {
        const struct call_end_case *row = &call_end_cases[i];
        uint64_t before_us;
        struct fixture f;

        setup (&f);
        hold_and_wait (&f, 5, 0);
        assert_true (f.answered);
        row->prepare (&f);
        before_us = hc_now_us ();
        calls[c](&f);
        if (f.answered
            || f.unanswered.end != (c == 0 ? row->start : row->other)
            || (f.unanswered.broken_us > before_us) != row->broken
            || f.unanswered.broken_us > hc_now_us ())
          fail_msg ("%s, call %d: answered %d, end %d, broken %d",
                    row->description, (int)c, f.answered,
                    (int)f.unanswered.end, f.unanswered.broken_us != 0);
        teardown (&f);
      }
}

/* Advice. */

static void
on_advised (void *user, uint64_t ask, const struct pt_advise_result *result)
{
  struct fixture *f = user;

  assert_int_equal (ask, 7);
  f->advised = result->answered;
  f->tickets = result->count;
  f->done++;
}

struct advice_case
{
  const char *description;
  struct fkp_faults faults;
  bool answered;
  uint32_t tickets;
};

static const struct advice_case advice_cases[] = {
  { "tickets for the requested workers", { 0 }, true, 2 },
  { "a busy advisor", { .advisor_busy = true }, false, 0 },
  { "no answer before the deadline", { .advisor_silent = true }, false, 0 },
};

static void
test_advice (void **state)
{
  static const struct cyc_str ids[] = { { "i-a", 3 }, { "i-b", 3 } };

  (void)state;
  for (size_t i = 0; i < sizeof advice_cases / sizeof advice_cases[0]; i++)
    {
      const struct advice_case *row = &advice_cases[i];
      struct fixture f;

      setup (&f);
      f.fake.faults = row->faults;
      f.advisor.port.vtable->advise (
          &f.advisor.port,
          &(struct pt_advise){ .step = CYC_STR ("00000000000000aa.0.0"),
                               .workers = ids,
                               .count = 2,
                               .deadline_us = deadline_us (),
                               .done = on_advised,
                               .user = &f,
                               .ask = 7 });
      wait_done (&f, 1);
      if (f.advised != row->answered || f.tickets != row->tickets)
        fail_msg ("%s: answered %d, %d tickets", row->description, f.advised,
                  (int)f.tickets);
      teardown (&f);
    }
}

/* Records that the platform writes: worker entries and the configuration. */

struct entry_case
{
  const char *description;
  const char *value;
  bool usable;
  bool draining;
};

#define ENTRY_READ_MS 1700000000123
#define WORKER_FIELDS                                                         \
  "\"address\":\"10.0.0.1:80\",\"zone\":\"north\",\"labels\":[\"a\","         \
  "\"r1-2\"],\"capacity\":{\"cpu\":4000,\"mem_mb\":100,\"gpu\":1},"           \
  "\"born\":1700000000123"

static const struct entry_case entry_cases[] = {
  { "a worker", "{\"service\":\"s\",\"state\":\"ready\"," WORKER_FIELDS "}",
    true, false },
  { "a draining worker",
    "{\"service\":\"s\",\"state\":\"draining\"," WORKER_FIELDS "}", true,
    true },
  { "an unknown state",
    "{\"service\":\"s\",\"state\":\"odd\"," WORKER_FIELDS "}", false, false },
  { "a state of another type",
    "{\"service\":\"s\",\"state\":3," WORKER_FIELDS "}", false, false },
  { "no service", "{\"state\":\"ready\"," WORKER_FIELDS "}", false, false },
  { "no capacity",
    "{\"service\":\"s\",\"state\":\"ready\",\"address\":\"10.0.0.1:80\","
    "\"zone\":\"north\",\"labels\":[]}",
    false, false },
  { "malformed bytes", "\x01\x02{", false, false },
  { "an empty value", "", false, false },
  { "a list", "[1,2]", false, false },
};

static void
test_entries (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof entry_cases / sizeof entry_cases[0]; i++)
    {
      const struct entry_case *row = &entry_cases[i];
      struct cell_worker_entry entry;
      struct cyc_findings findings = { 0 };
      bool usable
          = pf_records.worker (CYC_STR ("i-1"), cyc_str_of (row->value),
                               ENTRY_READ_MS, &entry, &findings);

      if (usable != row->usable || (findings.count > 0) == usable)
        fail_msg ("%s: usable %d, %u findings", row->description, usable,
                  findings.count);
      if (!usable)
        continue;
      assert_int_equal (entry.draining, row->draining);
      assert_int_equal (entry.capacity.millicores, 4000);
      assert_int_equal (entry.capacity.accelerators, 1);
      assert_true (entry.born_ms == 1700000000123);
      assert_string_equal (entry.labels[1].data, "r1-2");
    }
}

static const char config_text[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"h\","
      "\"path_prefix\":\"/a/\",\"service\":\"s\",\"priority\":1,"
      "\"max_attempts\":3,\"slack_factor\":2.2,\"target_latency_ms\":1200,"
      "\"advisor\":{\"decision_ms\":450.0,\"period_ms\":6.5,"
      "\"valid_ms\":2500},\"public\":false},{\"name\":\"r2\",\"host\":\"h\","
      "\"path_prefix\":\"/a/b/\",\"service\":\"s\",\"public\":true},"
      "{\"name\":5}],\"services\":[{\"name\":\"s\",\"standby\":false}],"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"key-1\",\"key-2\"],"
      "\"weight\":28,\"max_count\":{\"cpu\":1000,\"mem_mb\":5,\"gpu\":0}}]}";

/* The values of a configuration are converted to the units of the members. An
   invalid route is left out and reported with its place. */
static void
test_config (void **state)
{
  struct cyc_findings findings = { 0 };
  struct cell_config *config
      = pf_records.config (cyc_str_of (config_text), &findings);
  const struct cell_queue_cfg *queue;

  (void)state;
  assert_non_null (config);
  assert_int_equal (config->queue_count, 2);
  assert_int_equal (findings.count, 1);
  assert_non_null (strstr (findings.rows[0].place, "routes[2]"));
  queue = cell_config_route (config, CYC_STR ("h"), CYC_STR ("/a/b/x"));
  assert_string_equal (queue->name.data, "r2");
  assert_true (queue->open_to_all);
  queue = cell_config_route (config, CYC_STR ("h"), CYC_STR ("/a/x"));
  assert_string_equal (queue->name.data, "r1");
  assert_int_equal (queue->slack_permille, 2200);
  assert_int_equal (queue->advice.decision_us, 450000);
  assert_int_equal (queue->advice.per_worker_us, 6500);
  assert_null (cell_config_route (config, CYC_STR ("g"), CYC_STR ("/a/x")));
  assert_non_null (cell_config_team_of_key (config, CYC_STR ("key-2")));
  assert_null (cell_config_team_of_key (config, CYC_STR ("key-")));
  cell_config_free (config);
  assert_null (pf_records.config (CYC_STR ("{\"version\":"), &findings));
}

static const char job_text[]
    = "{\"spec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
      "\"estimate_ms\":900,\"affinity\":\"r1-3\"},{\"count\":2,\"cpu\":2000,"
      "\"depends_on\":[0],\"checkpointing\":true,\"gang\":true,"
      "\"anti_affinity\":1,\"requirements\":\"b\"}],\"repeat_count\":3,"
      "\"start_at_ms\":1700000000000,\"interval_ms\":5000}";

static void
test_job (void **state)
{
  struct cyc_findings findings = { 0 };
  Cyc__CellJob *job = pf_job_decode (cyc_str_of (job_text), &findings);

  (void)state;
  assert_non_null (job);
  assert_int_equal (job->n_steps, 2);
  assert_string_equal (job->steps[0]->data_rack, "r1-3");
  assert_int_equal (job->steps[1]->depends_on[0], 0);
  assert_true (job->steps[1]->gang && job->steps[1]->checkpointing);
  assert_int_equal (job->steps[1]->max_per_worker, 1);
  assert_string_equal (job->steps[1]->required_label, "b");
  assert_int_equal (job->repeat_count, 3);
  assert_true (job->first_due_ms == 1700000000000);
  cyc__cell_job__free_unpacked (job, NULL);
  assert_null (pf_job_decode (CYC_STR ("{\"steps\":[]}"), &findings));
  assert_null (pf_job_decode (CYC_STR ("no json"), &findings));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_appends),       cmocka_unit_test (test_reads),
    cmocka_unit_test (test_starts),        cmocka_unit_test (test_holds),
    cmocka_unit_test (test_ends_of_calls), cmocka_unit_test (test_advice),
    cmocka_unit_test (test_entries),       cmocka_unit_test (test_config),
    cmocka_unit_test (test_job),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
