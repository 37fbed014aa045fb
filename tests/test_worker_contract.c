/**
 * @file
 * Contract of the worker interface, run against the HTTP client with the fake
 * workers and against the in-memory worker. A call whose fate is told wrongly
 * makes the scheduler start a task twice or lose one.
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
#define CALL_MS 150

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
  const char *guards;
  enum fault fault;
  enum call call;
  bool present; /**< the task runs there before the call */
  uint64_t epoch;
  int32_t valid_ms;
  uint32_t millicores;
  enum wc_outcome outcome;
  enum wc_refusal refusal;
  bool runs; /**< the task runs there after the call */
};

static const struct contract_case cases[] = {
  { "a start", FAULT_NONE, CALL_START, false, EPOCH, 5000, 1000, WC_OK,
    WC_REFUSAL_NONE, true },
  { "a start of a later owner", FAULT_NONE, CALL_START, false, EPOCH + 1, 5000,
    1000, WC_OK, WC_REFUSAL_NONE, true },
  { "a start of an earlier owner", FAULT_NONE, CALL_START, false, EPOCH - 1,
    5000, 1000, WC_REFUSED, WC_REFUSAL_STALE_EPOCH, false },
  { "a start that was delayed beyond its time", FAULT_NONE, CALL_START, false,
    EPOCH, -500, 1000, WC_REFUSED, WC_REFUSAL_EXPIRED, false },
  { "a start that does not fit", FAULT_NONE, CALL_START, false, EPOCH, 5000,
    9000, WC_REFUSED, WC_REFUSAL_NO_CAPACITY, false },
  { "a second start of one task", FAULT_NONE, CALL_START, true, EPOCH, 5000,
    1000, WC_UNKNOWN, WC_REFUSAL_NONE, true },
  { "a start that nobody answers", FAULT_SILENT, CALL_START, false, EPOCH,
    5000, 1000, WC_UNKNOWN, WC_REFUSAL_NONE, false },
  { "a start that took effect unanswered", FAULT_LOSE_ANSWER, CALL_START,
    false, EPOCH, 5000, 1000, WC_UNKNOWN, WC_REFUSAL_NONE, true },
  { "a start to nobody", FAULT_GONE, CALL_START, false, EPOCH, 5000, 1000,
    WC_FAILED, WC_REFUSAL_NONE, false },
  { "a heartbeat", FAULT_NONE, CALL_HEARTBEAT, true, EPOCH, 5000, 0, WC_OK,
    WC_REFUSAL_NONE, true },
  { "a heartbeat of an earlier owner", FAULT_NONE, CALL_HEARTBEAT, true,
    EPOCH - 1, 5000, 0, WC_REFUSED, WC_REFUSAL_STALE_EPOCH, true },
  { "a heartbeat to a draining worker", FAULT_DRAINING, CALL_HEARTBEAT, true,
    EPOCH, 5000, 0, WC_OK, WC_REFUSAL_NONE, true },
  { "a heartbeat that nobody answers", FAULT_SILENT, CALL_HEARTBEAT, true,
    EPOCH, 5000, 0, WC_UNKNOWN, WC_REFUSAL_NONE, true },
  { "a heartbeat to nobody", FAULT_GONE, CALL_HEARTBEAT, false, EPOCH, 5000, 0,
    WC_FAILED, WC_REFUSAL_NONE, false },
  { "a stop", FAULT_NONE, CALL_STOP, true, EPOCH, 0, 0, WC_OK, WC_REFUSAL_NONE,
    false },
  { "a stop of what is not there", FAULT_NONE, CALL_STOP, false, EPOCH, 0, 0,
    WC_REFUSED, WC_REFUSAL_NO_TASK, false },
  { "a stop of an earlier owner", FAULT_NONE, CALL_STOP, true, EPOCH - 1, 0, 0,
    WC_REFUSED, WC_REFUSAL_STALE_EPOCH, true },
  { "a stop that nobody answers", FAULT_SILENT, CALL_STOP, true, EPOCH, 0, 0,
    WC_UNKNOWN, WC_REFUSAL_NONE, true },
  { "a checkpoint", FAULT_NONE, CALL_CHECKPOINT, true, EPOCH, 0, 0, WC_OK,
    WC_REFUSAL_NONE, false },
};

/** One worker behind either implementation. */
struct side
{
  bool http;
  struct ev_loop *loop;
  struct fk_workers fakes;
  struct hc_client hc;
  struct wc_http client;
  struct tst_worker memory;
  struct wc_worker *worker;
  char address[64];
  uint32_t done;
  struct wc_result result;
  bool draining;
  bool runs;
  uint32_t listed;
  enum wc_task_state state;
  uint64_t not_after_us;
};

static void
side_setup (struct side *side, bool http)
{
  struct cyc_findings found = { 0 };
  struct json_object *json;

  memset (side, 0, sizeof *side);
  side->http = http;
  tst_worker_setup (&side->memory, 4000);
  side->worker = &side->memory.worker;
  if (!http)
    return;
  side->loop = ev_loop_new (0);
  assert_true (fk_workers_setup (&side->fakes, side->loop, 0, 10, &found));
  json = json_tokener_parse (
      "{\"workers\":[{\"name\":\"w\",\"millicores\":4000}]}");
  assert_true (fk_workers_add (&side->fakes, json));
  json_object_put (json);
  assert_true (
      hc_setup (&side->hc, &(struct hc_desc){ .loop = side->loop }, &found));
  assert_true (wc_http_setup (
      &side->client, &(struct wc_http_desc){ .client = &side->hc }, &found));
  side->worker = &side->client.worker;
  snprintf (side->address, sizeof side->address, "http://127.0.0.1:%u/w/w",
            side->fakes.workers[0]->port);
}

static void
side_shutdown (struct side *side)
{
  if (!side->http)
    return;
  wc_http_shutdown (&side->client);
  hc_shutdown (&side->hc);
  fk_workers_shutdown (&side->fakes);
  ev_loop_destroy (side->loop);
}

static void
side_fault (struct side *side, enum fault fault)
{
  struct fk_worker_faults *faults;

  if (!side->http)
    {
      side->memory.silent = fault == FAULT_SILENT;
      side->memory.gone = fault == FAULT_GONE;
      side->memory.draining = fault == FAULT_DRAINING;
      side->memory.lose_answer = fault == FAULT_LOSE_ANSWER;
      return;
    }
  faults = &side->fakes.workers[0]->faults;
  faults->silent = fault == FAULT_SILENT;
  faults->draining = fault == FAULT_DRAINING;
  faults->lose_start_answers = fault == FAULT_LOSE_ANSWER ? 1 : 0;
  if (fault == FAULT_GONE)
    snprintf (side->address, sizeof side->address, "http://127.0.0.1:1/w/w");
}

static void
on_done (void *user, const struct wc_result *result)
{
  struct side *side = user;

  side->done++;
  side->result = *result;
}

static void
on_beat (void *user, const struct wc_heartbeat_result *result)
{
  struct side *side = user;

  side->done++;
  side->result = (struct wc_result){ result->outcome, result->refusal };
  side->draining = result->draining;
  side->listed = result->count;
  side->runs = false;
  for (uint32_t i = 0; i < result->count; i++)
    {
      side->runs = side->runs || result->tasks[i].state == WC_TASK_RUNNING;
      side->state = result->tasks[i].state;
      side->not_after_us = result->tasks[i].not_after_us;
    }
}

static void
wait_done (struct side *side)
{
  uint64_t limit_us = hc_now_us () + UINT64_C (5000000);
  uint32_t before = side->done;

  while (side->done == before && hc_now_us () < limit_us)
    if (side->http)
      ev_run (side->loop, EVRUN_ONCE);
    else
      tst_worker_step (&side->memory);
  assert_int_equal (side->done, before + 1);
}

static void
call_worker (struct side *side, enum call call, uint64_t epoch,
             int32_t valid_ms, uint32_t millicores)
{
  uint64_t deadline_us = hc_now_us () + CALL_MS * UINT64_C (1000);
  uint64_t not_after_us
      = hc_now_us () + (uint64_t)((int64_t)valid_ms * INT64_C (1000));
  struct wc_start start = {
    .address = cyc_str_of (side->address),
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
    .user = side,
  };
  struct wc_lease lease = { { { 7 } }, not_after_us };
  struct wc_heartbeat beat = {
    .address = start.address,
    .epoch = epoch,
    .leases = &lease,
    .lease_count = valid_ms > 0 ? 1 : 0,
    .deadline_us = deadline_us,
    .done = on_beat,
    .user = side,
  };
  struct wc_command command = {
    .address = start.address,
    .task = start.task,
    .verb = call == CALL_STOP ? WC_STOP : WC_CHECKPOINT,
    .epoch = epoch,
    .deadline_us = deadline_us,
    .done = on_done,
    .user = side,
  };

  if (call == CALL_START)
    assert_true (wc_start (side->worker, &start));
  else if (call == CALL_HEARTBEAT)
    assert_true (wc_heartbeat (side->worker, &beat));
  else
    assert_true (wc_command (side->worker, &command));
  wait_done (side);
}

static void
run_case (struct side *side, const struct contract_case *wanted)
{
  call_worker (side, CALL_HEARTBEAT, EPOCH, 0, 0);
  if (wanted->present)
    call_worker (side, CALL_START, EPOCH, 5000, 1000);
  side_fault (side, wanted->fault);
  call_worker (side, wanted->call, wanted->epoch, wanted->valid_ms,
               wanted->millicores);
  if (side->result.outcome != wanted->outcome
      || side->result.refusal != wanted->refusal)
    fail_msg ("%s (%s): fate %d, refusal %d", wanted->guards,
              side->http ? "http" : "memory", side->result.outcome,
              side->result.refusal);
  if (wanted->fault == FAULT_DRAINING)
    assert_true (side->draining);
  if (wanted->fault == FAULT_GONE)
    return;
  side_fault (side, FAULT_NONE);
  call_worker (side, CALL_HEARTBEAT, EPOCH + 1, 0, 0);
  assert_int_equal (side->result.outcome, WC_OK);
  if (side->runs != wanted->runs)
    fail_msg ("%s (%s): runs is %d", wanted->guards,
              side->http ? "http" : "memory", side->runs);
}

static void
run_all (bool http)
{
  for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++)
    {
      struct side side;

      side_setup (&side, http);
      run_case (&side, &cases[c]);
      side_shutdown (&side);
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

/* A lease that is not really extended ends a task that should go on. */
static void
heartbeats_extend_leases_and_forget_acked_tasks (void **state)
{
  (void)state;
  for (int http = 0; http < 2; http++)
    {
      struct cyc_str acked = CYC_STR ("00112233445566778899aabbccddeeff.0");
      struct side side;
      uint64_t before_us;

      side_setup (&side, http);
      call_worker (&side, CALL_START, EPOCH, 3000, 1000);
      call_worker (&side, CALL_HEARTBEAT, EPOCH, 0, 0);
      before_us = side.not_after_us;
      call_worker (&side, CALL_HEARTBEAT, EPOCH, 9000, 0);
      assert_true (side.not_after_us > before_us + 5000000);
      call_worker (&side, CALL_CHECKPOINT, EPOCH, 0, 0);
      call_worker (&side, CALL_HEARTBEAT, EPOCH, 0, 0);
      assert_int_equal (side.state, WC_TASK_CHECKPOINTED);
      assert_true (wc_heartbeat (
          side.worker,
          &(struct wc_heartbeat){ .address = cyc_str_of (side.address),
                                  .epoch = EPOCH,
                                  .acked = &acked,
                                  .acked_count = 1,
                                  .deadline_us = hc_now_us () + 500000,
                                  .done = on_beat,
                                  .user = &side }));
      wait_done (&side);
      assert_int_equal (side.listed, 0);
      side_shutdown (&side);
    }
}

struct answer_case
{
  uint32_t status;
  const char *body;
};

/* None of these proves anything, and none may be read as an empty list, since
   that would make every task on the worker look ended. */
static const struct answer_case odd_answers[] = {
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
on_odd_call (void *user, const struct hs_call *call)
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
odd_answers_prove_nothing (void **state)
{
  struct
  {
    struct hs_server hs;
    const struct answer_case *answer;
  } server;
  struct cyc_findings found = { 0 };
  struct side side;

  (void)state;
  side_setup (&side, true);
  assert_true (hs_setup (&server.hs,
                         &(struct hs_desc){ .loop = side.loop,
                                            .address = "127.0.0.1",
                                            .handle = on_odd_call,
                                            .user = &server },
                         &found));
  snprintf (side.address, sizeof side.address, "http://127.0.0.1:%u",
            fk_port (&server.hs));
  for (size_t i = 0; i < sizeof odd_answers / sizeof odd_answers[0]; i++)
    {
      server.answer = &odd_answers[i];
      call_worker (&side, CALL_HEARTBEAT, EPOCH, 0, 0);
      if (side.result.outcome != WC_UNKNOWN || side.listed != 0)
        fail_msg ("%u %s: fate %d", server.answer->status, server.answer->body,
                  side.result.outcome);
      if (server.answer->status == 200)
        continue;
      call_worker (&side, CALL_START, EPOCH, 5000, 1000);
      if (side.result.outcome != WC_UNKNOWN)
        fail_msg ("start, %u %s: fate %d", server.answer->status,
                  server.answer->body, side.result.outcome);
    }
  hs_shutdown (&server.hs);
  side_shutdown (&side);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (http_client_keeps_the_contract),
    cmocka_unit_test (memory_worker_keeps_the_contract),
    cmocka_unit_test (heartbeats_extend_leases_and_forget_acked_tasks),
    cmocka_unit_test (odd_answers_prove_nothing),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
