/* What a result of a call to a worker speaks for: another worker at the
   address refuses each kind of call, also on a connection that was open
   before, and an answer that comes after its call has ended is not taken for
   that of the next call. A refused start is over at once, so a wrong refusal
   starts a task twice. */

#include "fk_platform.h"
#include "pf.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define CALL_TIMEOUT_MS 500
#define HOLD_WAIT_MS 400
#define SHORT_TIMEOUT_MS 100

struct fixture
{
  struct ev_loop *loop;
  struct fkp_platform fake;
  struct ent_settings settings;
  struct pf_workers workers;
  struct cyc_name id; /* that calls are addressed to */
  char address[32];
  uint32_t done; /* number of finished calls */
  enum cell_start_result start;
  char why[128];
  bool answered;
  enum cell_call_end end; /* of the last call that was not answered */
};

static void
setup (struct fixture *f)
{
  struct cyc_findings findings = { 0 };
  struct pf_desc desc;

  memset (f, 0, sizeof *f);
  f->loop = ev_default_loop (0);
  assert_true (fkp_setup (&f->fake, f->loop, 1, &findings));
  fkp_address (&f->fake.workers[0].hs, f->address);
  cyc_name_set (&f->id, cyc_str_of (f->fake.workers[0].id));
  desc = (struct pf_desc){ .loop = f->loop, .settings = &f->settings };
  assert_true (pf_workers_setup (&f->workers, &desc, &findings));
}

static void
teardown (struct fixture *f)
{
  pf_workers_shutdown (&f->workers);
  fkp_shutdown (&f->fake);
}

static void
run_ms (struct fixture *f, uint32_t ms)
{
  uint64_t end_us = hc_now_us () + ms * 1000ULL;

  while (hc_now_us () < end_us)
    ev_run (f->loop, EVRUN_ONCE);
}

static void
wait_done (struct fixture *f, uint32_t count)
{
  for (uint32_t i = 0; i < 300 && f->done < count; i++)
    run_ms (f, 10);
  assert_int_equal (f->done, count);
}

static void
note_end (struct fixture *f, const struct pt_call_end *unanswered)
{
  f->done++;
  f->answered = unanswered == NULL;
  if (unanswered != NULL)
    f->end = unanswered->end;
}

static void
on_started (void *user, struct cyc_ref run, enum cell_start_result result,
            const struct pt_call_end *unanswered, const char *why)
{
  struct fixture *f = user;

  (void)run;
  f->start = result;
  snprintf (f->why, sizeof f->why, "%s", why);
  note_end (f, unanswered);
}

static void
on_stopped (void *user, struct cyc_ref run, bool answered,
            const struct pt_call_end *unanswered)
{
  (void)run;
  note_end (user, unanswered);
  ((struct fixture *)user)->answered = answered;
}

static void
on_held (void *user, uint32_t row, const struct pt_call_end *unanswered,
         struct cell_report *report)
{
  (void)row;
  (void)report;
  note_end (user, unanswered);
}

static struct pt_target
target (const struct fixture *f)
{
  return (struct pt_target){ cyc_name_str (&f->id), cyc_str_of (f->address),
                             5 };
}

static void
start (struct fixture *f, uint32_t number)
{
  assert_true (f->workers.port.vtable->start (
      &f->workers.port,
      &(struct pt_start){
          .target = target (f),
          .task = CYC_STR ("0000000000000001.0.0.0"),
          .number = number,
          .payload = CYC_STR ("s"),
          .lease_deadline_ms = 600000,
          .deadline_us = hc_now_us () + CALL_TIMEOUT_MS * 1000ULL,
          .done = on_started,
          .user = f,
          .run = { number, 1 },
      }));
}

static void
start_second (struct fixture *f)
{
  start (f, 2);
}

static void
stop (struct fixture *f)
{
  assert_true (f->workers.port.vtable->stop (
      &f->workers.port,
      &(struct pt_stop){
          .target = target (f),
          .task = CYC_STR ("0000000000000001.0.0.0"),
          .number = 1,
          .deadline_us = hc_now_us () + CALL_TIMEOUT_MS * 1000ULL,
          .done = on_stopped,
          .user = f,
          .run = { 1, 1 },
      }));
}

static void
hold_for (struct fixture *f, uint32_t wait_ms, uint32_t timeout_ms)
{
  assert_true (f->workers.port.vtable->hold (
      &f->workers.port,
      &(struct pt_hold){ .target = target (f),
                         .wait_ms = wait_ms,
                         .deadline_us = hc_now_us () + timeout_ms * 1000ULL,
                         .done = on_held,
                         .user = f }));
}

static void
hold (struct fixture *f)
{
  hold_for (f, 0, CALL_TIMEOUT_MS);
}

/* Another worker has the address, and the connection of an earlier call is
   still open. */
static void
test_another_worker_on_an_open_connection (void **state)
{
  static void (*const calls[]) (struct fixture * f)
      = { start_second, stop, hold };

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      struct fixture f;

      setup (&f);
      start (&f, 1);
      wait_done (&f, 1);
      assert_int_equal (f.start, CELL_START_OK);
      g_strlcat (f.fake.workers[0].id, "n", sizeof f.fake.workers[0].id);
      f.start = CELL_START_OK;
      calls[i](&f);
      wait_done (&f, 2);
      assert_false (f.answered);
      assert_int_equal (f.end, CELL_CALL_OTHER_INCARNATION);
      assert_int_equal (f.fake.workers[0].starts, 1);
      if (calls[i] == start_second)
        {
          assert_int_equal (f.start, CELL_START_REFUSED_OTHER);
          assert_non_null (strstr (f.why, "new_connection=0"));
        }
      teardown (&f);
    }
}

/* The answer to a hold comes after its call has ended, and that to the next
   start is a refusal. */
static void
test_answer_after_its_call_has_ended (void **state)
{
  struct fixture f;

  (void)state;
  setup (&f);
  hold_for (&f, HOLD_WAIT_MS, SHORT_TIMEOUT_MS);
  wait_done (&f, 1);
  assert_false (f.answered);
  f.fake.faults.start_error_status = 503;
  start (&f, 1);
  run_ms (&f, HOLD_WAIT_MS);
  assert_int_equal (f.done, 2);
  assert_int_equal (f.start, CELL_START_REFUSED_OTHER);
  assert_non_null (strstr (f.why, "status-503"));
  assert_non_null (strstr (f.why, "new_connection=1"));
  teardown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_another_worker_on_an_open_connection),
    cmocka_unit_test (test_answer_after_its_call_has_ended),
  };

  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
