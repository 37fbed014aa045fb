/**
 * @file
 * Contract of the worker interface, checked on the HTTP client with the fake
 * workers and on the in-memory worker. If a call reports a wrong outcome, the
 * scheduler starts a task twice or loses one.
 */
#include "fk_workers.h"
#include "tst_worker.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define EPOCH 5
#define CALL_TIMEOUT_MS 150

enum fault
{
  FAULT_NONE,
  FAULT_SILENT,
  FAULT_GONE,
  FAULT_LOSE_ANSWER,
  FAULT_DRAINING
};

enum call
{
  CALL_START,
  CALL_HEARTBEAT,
  CALL_STOP,
  CALL_CHECKPOINT
};

struct contract_case
{
  const char *description;
  enum fault fault;
  enum call call;
  bool running_before; /**< the task runs on the worker before the call */
  uint64_t epoch;
  int32_t valid_ms;
  uint32_t millicores;
  enum wc_outcome outcome;
  enum wc_refusal refusal;
  bool running; /**< the task runs on the worker after the call */
};

static const struct contract_case cases[] = {
  { "a start", FAULT_NONE, CALL_START, false, EPOCH, 5000, 1000, WC_OK,
    WC_REFUSAL_NONE, true },
  { "a start from a later owner", FAULT_NONE, CALL_START, false, EPOCH + 1,
    5000, 1000, WC_OK, WC_REFUSAL_NONE, true },
  { "a start from an earlier owner", FAULT_NONE, CALL_START, false, EPOCH - 1,
    5000, 1000, WC_REFUSED, WC_REFUSAL_STALE_EPOCH, false },
  { "a start that arrives after its lease expired", FAULT_NONE, CALL_START,
    false, EPOCH, -500, 1000, WC_REFUSED, WC_REFUSAL_EXPIRED, false },
  { "a start that exceeds the capacity", FAULT_NONE, CALL_START, false, EPOCH,
    5000, 9000, WC_REFUSED, WC_REFUSAL_NO_CAPACITY, false },
  { "a second start of the same task", FAULT_NONE, CALL_START, true, EPOCH,
    5000, 1000, WC_UNKNOWN, WC_REFUSAL_NONE, true },
  { "an unanswered start", FAULT_SILENT, CALL_START, false, EPOCH, 5000, 1000,
    WC_UNKNOWN, WC_REFUSAL_NONE, false },
  { "a start that takes effect but whose answer is lost", FAULT_LOSE_ANSWER,
    CALL_START, false, EPOCH, 5000, 1000, WC_UNKNOWN, WC_REFUSAL_NONE, true },
  { "a start to an address where nothing listens", FAULT_GONE, CALL_START,
    false, EPOCH, 5000, 1000, WC_FAILED, WC_REFUSAL_NONE, false },
  { "a heartbeat", FAULT_NONE, CALL_HEARTBEAT, true, EPOCH, 5000, 0, WC_OK,
    WC_REFUSAL_NONE, true },
  { "a heartbeat from an earlier owner", FAULT_NONE, CALL_HEARTBEAT, true,
    EPOCH - 1, 5000, 0, WC_REFUSED, WC_REFUSAL_STALE_EPOCH, true },
  { "a heartbeat to a draining worker", FAULT_DRAINING, CALL_HEARTBEAT, true,
    EPOCH, 5000, 0, WC_OK, WC_REFUSAL_NONE, true },
  { "an unanswered heartbeat", FAULT_SILENT, CALL_HEARTBEAT, true, EPOCH, 5000,
    0, WC_UNKNOWN, WC_REFUSAL_NONE, true },
  { "a heartbeat to an address where nothing listens", FAULT_GONE,
    CALL_HEARTBEAT, false, EPOCH, 5000, 0, WC_FAILED, WC_REFUSAL_NONE, false },
  { "a stop", FAULT_NONE, CALL_STOP, true, EPOCH, 0, 0, WC_OK, WC_REFUSAL_NONE,
    false },
  { "a stop of an unknown task", FAULT_NONE, CALL_STOP, false, EPOCH, 0, 0,
    WC_REFUSED, WC_REFUSAL_NO_TASK, false },
  { "a stop from an earlier owner", FAULT_NONE, CALL_STOP, true, EPOCH - 1, 0,
    0, WC_REFUSED, WC_REFUSAL_STALE_EPOCH, true },
  { "an unanswered stop", FAULT_SILENT, CALL_STOP, true, EPOCH, 0, 0,
    WC_UNKNOWN, WC_REFUSAL_NONE, true },
  { "a checkpoint", FAULT_NONE, CALL_CHECKPOINT, true, EPOCH, 0, 0, WC_OK,
    WC_REFUSAL_NONE, false },
};

/** One worker, reached through the HTTP client or held in memory. */
struct fixture
{
  bool http;
  struct ev_loop *loop;
  struct fk_workers fakes;
  struct hc_client hc;
  struct wc_http client;
  struct tst_worker memory;
  struct wc_worker *worker;
  char address[64];
  uint32_t calls_answered;
  struct wc_result result;
  bool draining;
  bool running;
  uint32_t listed;
  enum wc_task_state state;
  uint64_t not_after_us;
};

static void
fixture_setup (struct fixture *fixture, bool http)
{
  struct cyc_findings found = { 0 };
  struct json_object *json;

  memset (fixture, 0, sizeof *fixture);
  fixture->http = http;
  tst_worker_setup (&fixture->memory, 4000);
  fixture->worker = &fixture->memory.worker;
  if (!http)
    return;
  fixture->loop = ev_loop_new (0);
  assert_true (
      fk_workers_setup (&fixture->fakes, fixture->loop, 0, 10, &found));
  json = json_tokener_parse (
      "{\"workers\":[{\"name\":\"w\",\"millicores\":4000}]}");
  assert_true (fk_workers_add (&fixture->fakes, json));
  json_object_put (json);
  assert_true (hc_setup (&fixture->hc,
                         &(struct hc_desc){ .loop = fixture->loop }, &found));
  assert_true (wc_http_setup (&fixture->client,
                              &(struct wc_http_desc){ .client = &fixture->hc },
                              &found));
  fixture->worker = &fixture->client.worker;
  snprintf (fixture->address, sizeof fixture->address,
            "http://127.0.0.1:%u/w/w", fixture->fakes.workers[0]->port);
}

static void
fixture_shutdown (struct fixture *fixture)
{
  if (!fixture->http)
    return;
  wc_http_shutdown (&fixture->client);
  hc_shutdown (&fixture->hc);
  fk_workers_shutdown (&fixture->fakes);
  ev_loop_destroy (fixture->loop);
}

static void
fixture_set_fault (struct fixture *fixture, enum fault fault)
{
  struct fk_worker_faults *faults;

  if (!fixture->http)
    {
      fixture->memory.silent = fault == FAULT_SILENT;
      fixture->memory.gone = fault == FAULT_GONE;
      fixture->memory.draining = fault == FAULT_DRAINING;
      fixture->memory.lose_answer = fault == FAULT_LOSE_ANSWER;
      return;
    }
  faults = &fixture->fakes.workers[0]->faults;
  faults->silent = fault == FAULT_SILENT;
  faults->draining = fault == FAULT_DRAINING;
  faults->lose_start_answers = fault == FAULT_LOSE_ANSWER ? 1 : 0;
  if (fault == FAULT_GONE)
    snprintf (fixture->address, sizeof fixture->address,
              "http://127.0.0.1:1/w/w");
}

static void
on_done (void *user, const struct wc_result *result)
{
  struct fixture *fixture = user;

  fixture->calls_answered++;
  fixture->result = *result;
}

static void
on_heartbeat (void *user, const struct wc_heartbeat_result *result)
{
  struct fixture *fixture = user;

  fixture->calls_answered++;
  fixture->result = (struct wc_result){ result->outcome, result->refusal };
  fixture->draining = result->draining;
  fixture->listed = result->count;
  fixture->running = false;
  for (uint32_t i = 0; i < result->count; i++)
    {
      fixture->running
          = fixture->running || result->tasks[i].state == WC_TASK_RUNNING;
      fixture->state = result->tasks[i].state;
      fixture->not_after_us = result->tasks[i].not_after_us;
    }
}

static void
wait_for_answer (struct fixture *fixture)
{
  uint64_t limit_us = hc_now_us () + UINT64_C (5000000);
  uint32_t before = fixture->calls_answered;

  while (fixture->calls_answered == before && hc_now_us () < limit_us)
    if (fixture->http)
      ev_run (fixture->loop, EVRUN_ONCE);
    else
      tst_worker_answer_calls (&fixture->memory);
  assert_int_equal (fixture->calls_answered, before + 1);
}

static void
call_and_wait (struct fixture *fixture, enum call call, uint64_t epoch,
               int32_t valid_ms, uint32_t millicores)
{
  uint64_t deadline_us = hc_now_us () + CALL_TIMEOUT_MS * UINT64_C (1000);
  uint64_t not_after_us
      = hc_now_us () + (uint64_t)((int64_t)valid_ms * INT64_C (1000));
  struct wc_start start = {
    .address = cyc_str_of (fixture->address),
    .task = CYC_STR ("00112233445566778899aabbccddeeff.0"),
    .lease = { { 7 } },
    .epoch = epoch,
    .not_after_us = not_after_us,
    .kind = CYC_KIND_BATCH,
    .queue = CYC_STR ("tally"),
    .size = { .millicores = millicores, .memory_mib = 1 },
    .run_ms = 60000,
    .deadline_us = deadline_us,
    .done = on_done,
    .user = fixture,
  };
  struct wc_lease lease = { { { 7 } }, not_after_us };
  struct wc_heartbeat heartbeat = {
    .address = start.address,
    .epoch = epoch,
    .leases = &lease,
    .lease_count = valid_ms > 0 ? 1 : 0,
    .deadline_us = deadline_us,
    .done = on_heartbeat,
    .user = fixture,
  };
  struct wc_command command = {
    .address = start.address,
    .task = start.task,
    .verb = call == CALL_STOP ? WC_STOP : WC_CHECKPOINT,
    .epoch = epoch,
    .deadline_us = deadline_us,
    .done = on_done,
    .user = fixture,
  };

  if (call == CALL_START)
    assert_true (wc_start (fixture->worker, &start));
  else if (call == CALL_HEARTBEAT)
    assert_true (wc_heartbeat (fixture->worker, &heartbeat));
  else
    assert_true (wc_command (fixture->worker, &command));
  wait_for_answer (fixture);
}

static void
run_case (struct fixture *fixture, const struct contract_case *expected)
{
  call_and_wait (fixture, CALL_HEARTBEAT, EPOCH, 0, 0);
  if (expected->running_before)
    call_and_wait (fixture, CALL_START, EPOCH, 5000, 1000);
  fixture_set_fault (fixture, expected->fault);
  call_and_wait (fixture, expected->call, expected->epoch, expected->valid_ms,
                 expected->millicores);
  if (fixture->result.outcome != expected->outcome
      || fixture->result.refusal != expected->refusal)
    fail_msg ("%s (%s): outcome %d, refusal %d", expected->description,
              fixture->http ? "http" : "memory", fixture->result.outcome,
              fixture->result.refusal);
  if (expected->fault == FAULT_DRAINING)
    assert_true (fixture->draining);
  if (expected->fault == FAULT_GONE)
    return;
  fixture_set_fault (fixture, FAULT_NONE);
  call_and_wait (fixture, CALL_HEARTBEAT, EPOCH + 1, 0, 0);
  assert_int_equal (fixture->result.outcome, WC_OK);
  if (fixture->running != expected->running)
    fail_msg ("%s (%s): the task is running: %d", expected->description,
              fixture->http ? "http" : "memory", fixture->running);
}

static void
run_all (bool http)
{
  for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++)
    {
      struct fixture fixture;

      fixture_setup (&fixture, http);
      run_case (&fixture, &cases[c]);
      fixture_shutdown (&fixture);
    }
}

static void
http_client_keeps_the_contract (void **state)
{
  (void)state;
  run_all (true);
}

static void
memory_worker_keeps_the_contract (void **state)
{
  (void)state;
  run_all (false);
}

/* If a heartbeat does not extend the lease, the worker ends a task that should
   go on. */
static void
heartbeats_extend_leases_and_forget_acked_tasks (void **state)
{
  (void)state;
  for (int http = 0; http < 2; http++)
    {
      struct cyc_str acked = CYC_STR ("00112233445566778899aabbccddeeff.0");
      struct fixture fixture;
      uint64_t before_us;

      fixture_setup (&fixture, http);
      call_and_wait (&fixture, CALL_START, EPOCH, 3000, 1000);
      call_and_wait (&fixture, CALL_HEARTBEAT, EPOCH, 0, 0);
      before_us = fixture.not_after_us;
      call_and_wait (&fixture, CALL_HEARTBEAT, EPOCH, 9000, 0);
      assert_true (fixture.not_after_us > before_us + 5000000);
      call_and_wait (&fixture, CALL_CHECKPOINT, EPOCH, 0, 0);
      call_and_wait (&fixture, CALL_HEARTBEAT, EPOCH, 0, 0);
      assert_int_equal (fixture.state, WC_TASK_CHECKPOINTED);
      assert_true (wc_heartbeat (
          fixture.worker,
          &(struct wc_heartbeat){ .address = cyc_str_of (fixture.address),
                                  .epoch = EPOCH,
                                  .acked = &acked,
                                  .acked_count = 1,
                                  .deadline_us = hc_now_us () + 500000,
                                  .done = on_heartbeat,
                                  .user = &fixture }));
      wait_for_answer (&fixture);
      assert_int_equal (fixture.listed, 0);
      fixture_shutdown (&fixture);
    }
}

/* A start that the worker had executed was sent again by the HTTP client, so
   that the worker's refusal of the second copy, or the failure to connect for
   it, stood for the first. */
static void
executed_start_was_sent_again (void **state)
{
  (void)state;
  for (int listens = 0; listens < 2; listens++)
    {
      struct fixture fixture;
      struct fk_worker *worker;

      fixture_setup (&fixture, true);
      worker = fixture.fakes.workers[0];
      call_and_wait (&fixture, CALL_HEARTBEAT, EPOCH, 0, 0);
      fixture_set_fault (&fixture, FAULT_LOSE_ANSWER);
      if (!listens)
        hs_stop_listening (&worker->hs);
      call_and_wait (&fixture, CALL_START, EPOCH, 5000, 1000);
      assert_int_equal (worker->tasks->len, 1);
      assert_int_equal (fixture.result.outcome, WC_UNKNOWN);
      if (strstr (fixture.fakes.journal.lines->str, "start-refused") != NULL)
        fail_msg ("the worker received two copies");
      fixture_shutdown (&fixture);
    }
}

struct answer_case
{
  uint32_t status;
  const char *body;
};

/* Answers that leave the outcome of the call unknown. None may be read as an
   empty task list, since every task on the worker would then look ended. */
static const struct answer_case malformed_answers[] = {
  { 200, "" },
  { 200, "not json" },
  { 200, "[]" },
  { 200, "{}" },
  { 200, "{\"epoch\":5,\"tasks\":{}}" },
  { 200, "{\"epoch\":5,\"tasks\":[1]}" },
  { 200, "{\"epoch\":5,\"tasks\":[{\"task\":\"a.0\",\"state\":\"odd\"}]}" },
  { 200, "{\"epoch\":5,\"tasks\":[{\"state\":\"running\"}]}" },
  { 409, "{}" },
  { 409, "{\"reason\":\"other\"}" },
  { 500, "" },
  { 502, "<html>" },
};

static void
reply_malformed (void *user, const struct hs_call *call)
{
  struct
  {
    struct hs_server hs;
    const struct answer_case *answer;
  } *server = user;

  hs_reply (&server->hs, call->ref,
            &(struct hs_reply){ .status = server->answer->status,
                                .body = cyc_str_of (server->answer->body) });
}

static void
malformed_answers_leave_the_outcome_unknown (void **state)
{
  struct
  {
    struct hs_server hs;
    const struct answer_case *answer;
  } server;
  struct cyc_findings found = { 0 };
  struct fixture fixture;

  (void)state;
  fixture_setup (&fixture, true);
  assert_true (hs_setup (&server.hs,
                         &(struct hs_desc){ .loop = fixture.loop,
                                            .address = "127.0.0.1",
                                            .handle = reply_malformed,
                                            .user = &server },
                         &found));
  snprintf (fixture.address, sizeof fixture.address, "http://127.0.0.1:%u",
            fk_port (&server.hs));
  for (size_t i = 0;
       i < sizeof malformed_answers / sizeof malformed_answers[0]; i++)
    {
      server.answer = &malformed_answers[i];
      call_and_wait (&fixture, CALL_HEARTBEAT, EPOCH, 0, 0);
      if (fixture.result.outcome != WC_UNKNOWN || fixture.listed != 0)
        fail_msg ("%u %s: outcome %d", server.answer->status,
                  server.answer->body, fixture.result.outcome);
      if (server.answer->status == 200)
        continue;
      call_and_wait (&fixture, CALL_START, EPOCH, 5000, 1000);
      if (fixture.result.outcome != WC_UNKNOWN)
        fail_msg ("start, %u %s: outcome %d", server.answer->status,
                  server.answer->body, fixture.result.outcome);
    }
  hs_shutdown (&server.hs);
  fixture_shutdown (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (http_client_keeps_the_contract),
    cmocka_unit_test (memory_worker_keeps_the_contract),
    cmocka_unit_test (executed_start_was_sent_again),
    cmocka_unit_test (heartbeats_extend_leases_and_forget_acked_tasks),
    cmocka_unit_test (malformed_answers_leave_the_outcome_unknown),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
