/* A hold that acknowledges ends, whose connection ends without an answer since
   its worker restarts. Guards against a second copy of it, which the HTTP
   client writes by itself: the next process under the worker's id would forget
   ends of the same numbers that no leader has read. */

#include "fk_platform.h"
#include "pf.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define CALL_TIMEOUT_US 500000ULL
#define TASK_TIMEOUT_US 5000000ULL

struct fixture
{
  struct ev_loop *loop;
  struct fkp_platform fake;
  struct ent_settings settings;
  struct pf_workers workers;
  char address[32];
  uint32_t done; /**< number of finished calls */
  enum cell_start_result start;
  bool held;     /**< the last hold was answered */
  uint32_t ends; /**< that it listed */
};

static struct pt_target
target (const struct fixture *f)
{
  return (struct pt_target){ cyc_str_of (f->fake.workers[0].id),
                             cyc_str_of (f->address), 5 };
}

static void
on_started (void *user, struct cyc_ref run, enum cell_start_result result,
            const struct pt_call_end *unanswered, const char *why)
{
  struct fixture *f = user;

  (void)run;
  (void)unanswered;
  (void)why;
  f->start = result;
  f->done++;
}

static void
on_held (void *user, uint32_t row, const struct pt_call_end *unanswered,
         struct cell_report *report)
{
  struct fixture *f = user;

  (void)row;
  f->held = unanswered == NULL;
  f->ends = f->held ? report->end_count : 0;
  f->done++;
}

static void
hold (struct fixture *f, uint64_t ack)
{
  uint32_t done = f->done;

  assert_true (f->workers.port.vtable->hold (
      &f->workers.port,
      &(struct pt_hold){ .target = target (f),
                         .ack = ack,
                         .deadline_us = hc_now_us () + CALL_TIMEOUT_US,
                         .done = on_held,
                         .user = f }));
  while (f->done == done)
    ev_run (f->loop, EVRUN_ONCE);
}

static void
run_task (struct fixture *f)
{
  uint64_t end_us = hc_now_us () + TASK_TIMEOUT_US;

  assert_true (f->workers.port.vtable->start (
      &f->workers.port,
      &(struct pt_start){ .target = target (f),
                          .task = CYC_STR ("00000000000000aa.0.0.1"),
                          .number = 1,
                          .payload = CYC_STR ("text"),
                          .lease_deadline_ms = 100000,
                          .deadline_us = hc_now_us () + CALL_TIMEOUT_US,
                          .done = on_started,
                          .user = f }));
  while (f->fake.workers[0].end_count == 0 && hc_now_us () < end_us)
    ev_run (f->loop, EVRUN_ONCE);
  assert_int_equal (f->start, CELL_START_OK);
  assert_int_equal (f->fake.workers[0].end_count, 1);
}

static void
test_acknowledgement_is_written_once (void **state)
{
  struct cyc_findings findings = { 0 };
  struct fixture f = { .loop = ev_default_loop (0) };
  struct pf_desc desc = { .loop = f.loop, .settings = &f.settings };

  (void)state;
  assert_true (fkp_setup (&f.fake, f.loop, 1, &findings));
  fkp_address (&f.fake.workers[0].hs, f.address);
  assert_true (pf_workers_setup (&f.workers, &desc, &findings));
  run_task (&f);
  f.fake.faults.break_holds = 1;
  hold (&f, 1);
  assert_int_equal (f.fake.faults.break_holds, 0);
  assert_false (f.held);
  assert_int_equal (f.fake.workers[0].end_count, 1);
  hold (&f, 0);
  assert_true (f.held);
  assert_int_equal (f.ends, 1);
  pf_workers_shutdown (&f.workers);
  fkp_shutdown (&f.fake);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_acknowledgement_is_written_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
