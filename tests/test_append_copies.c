/**
 * @file
 * An append that the log stores and whose connection then ends without an
 * answer, while a later copy of it would be refused or not arrive. "Certainly
 * without effect" then is wrong: a job is refused to its caller though it is
 * stored, or a sequence number is used for other records.
 */
#include "fk_platform.h"
#include "pf.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define CALL_TIMEOUT_MS 500

struct fixture
{
  struct ev_loop *loop;
  struct fkp_platform fake;
  struct ent_settings settings;
  struct pf_log log;
  uint32_t done; /**< number of finished calls */
  struct pt_append_result result;
};

static void
setup (struct fixture *f)
{
  struct cyc_findings findings = { 0 };
  struct pf_desc desc;

  memset (f, 0, sizeof *f);
  f->loop = ev_default_loop (0);
  assert_true (fkp_setup (&f->fake, f->loop, 1, &findings));
  fkp_address (&f->fake.log, f->settings.log_address);
  desc = (struct pf_desc){ .loop = f->loop, .settings = &f->settings };
  assert_true (pf_log_setup (&f->log, &desc, &findings));
}

static void
teardown (struct fixture *f)
{
  pf_client_shutdown (&f->log.client);
  fkp_shutdown (&f->fake);
}

static void
on_append (void *user, const struct pt_append_result *result)
{
  struct fixture *f = user;

  f->result = *result;
  f->done++;
}

static void
append_and_wait (struct fixture *f, struct pt_append append)
{
  struct pt_record record = { CYC_STR ("k"), CYC_STR ("v") };
  uint64_t end_us = hc_now_us () + 3000000;
  uint32_t before = f->done;

  append.records = &record;
  append.count = 1;
  append.deadline_us = hc_now_us () + CALL_TIMEOUT_MS * 1000ULL;
  append.done = on_append;
  append.user = f;
  assert_true (f->log.port.vtable->append (&f->log.port, &append));
  while (f->done == before && hc_now_us () < end_us)
    ev_run (f->loop, EVRUN_ONCE);
  assert_int_equal (f->done, before + 1);
}

struct copy_case
{
  const char *description;
  struct fkp_faults faults;
  struct pt_append first; /**< opens the connection */
  struct pt_append append;
  const char *topic;
  enum pt_outcome outcome;
};

#define JOBS                                                                  \
  {                                                                           \
    .stream = PT_STREAM_JOBS                                                  \
  }
#define CLAIM(number)                                                         \
  {                                                                           \
    .stream = PT_STREAM_LEAD, .at_end = true, .end = (number)                 \
  }
#define CELL(seq)                                                             \
  {                                                                           \
    .stream = PT_STREAM_CELL, .epoch = 5, .sequence = (seq)                   \
  }
#define LOST .lose_append_answers = 1

static const struct copy_case copy_cases[] = {
  { "a job", { LOST }, JOBS, JOBS, "keyed.cyc-jobs/0", PT_UNKNOWN },
  { "a job, then status 503",
    { LOST, .log_busy = true },
    JOBS,
    JOBS,
    "keyed.cyc-jobs/0",
    PT_UNKNOWN },
  { "a job, then nothing listens",
    { LOST, .stop_listening = true },
    JOBS,
    JOBS,
    "keyed.cyc-jobs/0",
    PT_UNKNOWN },
  { "a claim", { LOST }, CLAIM (0), CLAIM (1), "cyc-lead/0", PT_UNKNOWN },
  { "a claim, then status 503",
    { LOST, .log_busy = true },
    CLAIM (0),
    CLAIM (1),
    "cyc-lead/0",
    PT_UNKNOWN },
  { "a numbered append",
    { LOST },
    CELL (0),
    CELL (1),
    "keyed.cyc-cell/0",
    PT_OK },
  { "a numbered append, then status 503",
    { LOST, .log_busy = true },
    CELL (0),
    CELL (1),
    "keyed.cyc-cell/0",
    PT_UNKNOWN },
  { "a numbered append, then nothing listens",
    { LOST, .stop_listening = true },
    CELL (0),
    CELL (1),
    "keyed.cyc-cell/0",
    PT_UNKNOWN },
};

static uint32_t
count_records (const struct fixture *f, const char *topic)
{
  for (guint i = 0; i < f->fake.parts->len; i++)
    {
      const struct fkp_part *part = g_ptr_array_index (f->fake.parts, i);

      if (strcmp (part->name, topic) == 0)
        return part->records->len;
    }
  return 0;
}

/* An append was called without effect, or took effect twice, although the log
   had stored its first copy. */
static void
append_was_refused_though_it_was_stored (void **state)
{
  uint32_t failures = 0;

  (void)state;
  for (size_t i = 0; i < sizeof copy_cases / sizeof copy_cases[0]; i++)
    {
      const struct copy_case *row = &copy_cases[i];
      struct fixture f;
      uint32_t records;

      setup (&f);
      append_and_wait (&f, row->first);
      assert_int_equal (f.result.outcome, PT_OK);
      f.fake.faults = row->faults;
      append_and_wait (&f, row->append);
      records = count_records (&f, row->topic);
      if (f.result.outcome != row->outcome || records != 2)
        {
          print_error ("%s: outcome %d, %u records\n", row->description,
                       (int)f.result.outcome, records);
          failures++;
        }
      teardown (&f);
    }
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (append_was_refused_though_it_was_stored) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
