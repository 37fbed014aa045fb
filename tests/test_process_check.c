/**
 * @file
 * Tests the checker of the process tests: it must report each kind of
 * violation in a journal or in the replies to callers. A checker that accepts
 * everything would let the process tests pass with any fault.
 */
#include "tst_load.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

struct check_case
{
  const char *name;
  const char *journal;
  struct tst_call_record record;
  const char *expected;  /* part of the only violation; NULL: no violation */
  const char *job_state; /* state of the once-only job "t"; NULL: no job */
};

#define REQUEST(mark)                                                         \
  "{\"event\":\"request\",\"worker\":\"w1\",\"body\":\"" mark                 \
  "\",\"draining_ms\":0,\"at_ms\":1000}\n"
#define LATE_REQUEST                                                          \
  "{\"event\":\"request\",\"worker\":\"w1\",\"body\":\"m\",\"draining_ms\":"  \
  "1000,\"at_ms\":9000}\n"
#define TASK(event, worker, task, queue)                                      \
  "{\"event\":\"" event "\",\"worker\":\"" worker "\",\"task\":\"" task       \
  "\",\"queue\":\"" queue "\",\"millicores\":2500,\"from_ms\":1}\n"
#define DONE(task)                                                            \
  "{\"event\":\"end\",\"state\":\"done\",\"queue\":\"invoice\",\"task\":"     \
  "\"" task "\"}\n"
#define OVERRUN "{\"event\":\"overrun\",\"what\":\"slots\"}\n"

#define ANSWERED                                                              \
  .mark = "m", .outcome = "answer", .status = 200, .answer_matches = true
#define REFUSED .mark = "r", .outcome = "not-run", .status = 503

static const struct check_case cases[] = {
  { "whole answer", REQUEST ("m"), { ANSWERED }, NULL },
  { "answer of another request",
    REQUEST ("m"),
    { .mark = "m", .outcome = "answer", .status = 200 },
    "not whole" },
  { "answer without a run", "", { ANSWERED }, "not whole" },
  { "once-only request received twice",
    REQUEST ("m") REQUEST ("m"),
    { ANSWERED, .once_only = true },
    "received 2 times" },
  { "repeatable request received twice",
    REQUEST ("m") REQUEST ("m"),
    { ANSWERED },
    NULL },
  { "true refusal", REQUEST ("m"), { REFUSED }, NULL },
  { "false refusal", REQUEST ("m") REQUEST ("r"), { REFUSED }, "not run" },
  { "no outcome",
    REQUEST ("m"),
    { .mark = "x", .status = 500 },
    "without an outcome" },
  { "silence of a living gateway",
    REQUEST ("m"),
    { .mark = "x", .vm = 1 },
    "not killed" },
  { "silence of a killed gateway",
    REQUEST ("m"),
    { .mark = "x", .vm = 0 },
    NULL },
  { "request to a target that left",
    LATE_REQUEST,
    { ANSWERED },
    "began to drain" },
  { "overrun", REQUEST ("m") OVERRUN, { ANSWERED }, "overrun" },
  { "task moved",
    REQUEST ("m") TASK ("start", "w1", "t", "plan")
        TASK ("end", "w1", "t", "plan") TASK ("start", "w2", "t", "plan"),
    { ANSWERED },
    NULL },
  { "task in two places",
    REQUEST ("m") TASK ("start", "w1", "t", "plan")
        TASK ("start", "w2", "t", "plan"),
    { ANSWERED },
    "runs on w1 and on w2" },
  { "once-only task started again",
    REQUEST ("m") TASK ("start", "w1", "t", "invoice") TASK (
        "end", "w1", "t", "invoice") TASK ("start", "w2", "t", "invoice"),
    { ANSWERED },
    "started twice" },
  { "once-only job done",
    REQUEST ("m") DONE ("t.0"),
    { ANSWERED },
    NULL,
    "done" },
  { "once-only job said to be done",
    REQUEST ("m"),
    { ANSWERED },
    "said to be done",
    "done" },
  { "once-only job said to have failed",
    REQUEST ("m") DONE ("t.0"),
    { ANSWERED },
    "said to be failed",
    "failed" },
  { "team over its limit",
    REQUEST ("m") TASK ("start", "w1", "t", "tally")
        TASK ("start", "w2", "u", "train"),
    { ANSWERED },
    "over its limit" },
  { "key of another team",
    REQUEST ("m"),
    { ANSWERED, .other_team_key = true },
    "another team's key" },
  { "withdrawn key",
    REQUEST ("m"),
    { ANSWERED, .second_key = true, .start_ms = 9000 },
    "withdrawn key" },
};

static void
check_one (const struct check_case *row)
{
  struct tst_site *site = calloc (1, sizeof *site);
  struct tst_load load;
  struct tst_call_record answered = { ANSWERED };
  char *journal = g_strdup (row->journal);

  site->name = row->name;
  tst_load_setup (&load, site);
  load.withdrawn_ms = 1000;
  load.interrupted[0] = true;
  if (row->job_state != NULL)
    g_hash_table_insert (load.once_only_job_states, g_strdup ("t"),
                         g_strdup (row->job_state));
  g_array_append_vals (load.records, &row->record, 1);
  /* A run without any answer is itself a violation, so add an answer. */
  if (strcmp (row->record.outcome, "answer") != 0)
    g_array_append_val (load.records, answered);
  tst_load_check (&load, journal);
  if (row->expected == NULL)
    assert_int_equal (site->violation_count, 0);
  else
    {
      assert_int_equal (site->violation_count, 1);
      assert_non_null (strstr (site->violations[0], row->expected));
    }
  tst_load_release (&load);
  g_free (journal);
  free (site);
}

static void
each_violation_is_reported (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    check_one (&cases[i]);
}

/* Domain 1 is cut off from 10,000 to 20,000 ms, and the second key is
   withdrawn at 12,000 ms. Every gateway has a valid set of records, from which
   a case may omit one for VM 3. */
struct cut_case
{
  const char *name;
  struct tst_call_record
      extra;            /* additional record, of VM 0 unless it sets vm */
  const char *expected; /* part of the only violation; NULL: no violation */
  enum
  {
    OMIT_NONE,
    OMIT_ANSWER_DURING_CUT,  /* no answer of VM 3 during the cut */
    OMIT_SECOND_KEY_ANSWER,  /* VM 3 never accepts the second key */
    OMIT_SECOND_KEY_REFUSAL, /* VM 3 does not refuse it after the cut */
  } omitted;
  bool has_path; /* domain 1 still reaches the log or a peer that does */
};

#define DURING_CUT .start_ms = 15000, .end_ms = 15100
#define NOT_RUN .mark = "r", .outcome = "not-run"

static const struct cut_case cut_cases[] = {
  { "all as it must be",
    { ANSWERED, DURING_CUT, .vm = 3, .worker = "w5" },
    NULL },
  { "refusal of a repeatable request",
    { NOT_RUN, DURING_CUT, .vm = 3, .status = 503 },
    "did not answer" },
  { "refusal of a once-only request",
    { NOT_RUN, DURING_CUT, .vm = 3, .status = 503, .once_only = true },
    NULL },
  { "refusal before the cut is noticed",
    { NOT_RUN, .start_ms = 10100, .end_ms = 10200, .vm = 3, .status = 503 },
    NULL },
  { "answer from the other domain",
    { ANSWERED, DURING_CUT, .vm = 3, .worker = "w1" },
    "from worker w1" },
  { "answer of no worker", { ANSWERED, DURING_CUT, .vm = 3 }, "from worker" },
  { "withdrawn key without a path",
    { ANSWERED, .start_ms = 19000, .vm = 3, .second_key = true },
    NULL },
  { "withdrawn key after the cut",
    { ANSWERED, .start_ms = 22000, .vm = 3, .second_key = true },
    "withdrawn key was accepted by v3" },
  { "withdrawn key with a path",
    { ANSWERED, .start_ms = 19000, .vm = 3, .second_key = true },
    "withdrawn key was accepted by v3",
    OMIT_NONE,
    true },
  { "nothing answered",
    { ANSWERED },
    "v3 answered nothing",
    OMIT_ANSWER_DURING_CUT },
  { "second key never accepted",
    { ANSWERED },
    "v3 never accepted",
    OMIT_SECOND_KEY_ANSWER },
  { "withdrawn key not refused",
    { ANSWERED },
    "v3 did not refuse",
    OMIT_SECOND_KEY_REFUSAL },
};

/* Adds the records of a gateway that behaves correctly under a cut: an answer
   during the cut, one with the second key before its withdrawal, and
   a refusal of that key after the cut. */
static void
add_valid_records (struct tst_load *load, uint32_t vm, uint32_t omitted)
{
  struct tst_call_record isolated = { ANSWERED, DURING_CUT, .vm = vm };
  struct tst_call_record second
      = { ANSWERED, .start_ms = 11000, .vm = vm, .second_key = true };
  struct tst_call_record refusal = { NOT_RUN, .start_ms = 22000, .vm = vm,
                                     .status = 401, .second_key = true };

  g_strlcpy (isolated.worker, tst_site_domain (vm) == 0 ? "w1" : "w5",
             sizeof isolated.worker);
  if (omitted != OMIT_ANSWER_DURING_CUT)
    g_array_append_val (load->records, isolated);
  if (omitted != OMIT_SECOND_KEY_ANSWER)
    g_array_append_val (load->records, second);
  if (omitted != OMIT_SECOND_KEY_REFUSAL)
    g_array_append_val (load->records, refusal);
}

static void
check_one_cut (const struct cut_case *row)
{
  struct tst_site *site = calloc (1, sizeof *site);
  struct tst_load load;
  char journal[] = REQUEST ("m");

  site->name = row->name;
  tst_load_setup (&load, site);
  load.cut_start_ms = 10000;
  load.withdrawn_ms = 12000;
  load.cut_end_ms = 20000;
  for (uint32_t vm = 0; vm < TST_VMS; vm++)
    {
      snprintf (site->vms[vm].name, sizeof site->vms[vm].name, "v%u", vm);
      load.isolated[vm] = true;
      load.no_control_path[vm] = tst_site_domain (vm) == 1 && !row->has_path;
      add_valid_records (&load, vm, vm == 3 ? row->omitted : OMIT_NONE);
    }
  g_array_append_vals (load.records, &row->extra, 1);
  tst_load_check (&load, journal);
  if (row->expected == NULL)
    assert_int_equal (site->violation_count, 0);
  else
    {
      assert_int_equal (site->violation_count, 1);
      assert_non_null (strstr (site->violations[0], row->expected));
    }
  tst_load_release (&load);
  free (site);
}

static void
each_violation_under_a_cut_is_reported (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cut_cases / sizeof cut_cases[0]; i++)
    check_one_cut (&cut_cases[i]);
}

static void
run_without_answers_is_reported (void **state)
{
  struct tst_site *site = calloc (1, sizeof *site);
  struct tst_load load;
  char journal[] = "";

  (void)state;
  site->name = "no answers";
  tst_load_setup (&load, site);
  tst_load_check (&load, journal);
  assert_int_equal (site->violation_count, 1);
  tst_load_release (&load);
  free (site);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (each_violation_is_reported),
    cmocka_unit_test (each_violation_under_a_cut_is_reported),
    cmocka_unit_test (run_without_answers_is_reported),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
