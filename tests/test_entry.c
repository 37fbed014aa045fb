/* Entry VMs on one machine against the stand-in of the platform: jobs are
   handed in at any VM, VMs and the log fail, and every accepted job must be
   complete in the end with each of its tasks started once. */

#include "entry_internal.h"
#include "fk_platform.h"
#include "pf.h"
#include "tst_cell.h"

#include <setjmp.h>
#include <stdarg.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define VMS 3
#define ANSWERS 64
#define KEY "key-blue"

struct vm
{
  struct pt_callers callers; /* first: the port */
  struct site *site;
  struct ent_settings settings;
  struct pf_desc desc;
  struct pf_log log;
  struct pf_workers workers;
  struct pf_advisor advisor;
  struct pt_ports ports;
  struct entry entry;
  bool up;
  bool stopped;
};

struct site
{
  struct ev_loop *loop;
  struct fkp_platform fake;
  struct vm vms[VMS];
  struct pt_answer answers[ANSWERS];
  uint32_t answered[ANSWERS];
  uint32_t next_call;
};

static void
on_answer (struct pt_callers *port, struct cyc_ref call,
           const struct pt_answer *answer)
{
  struct site *site = ((struct vm *)port)->site;

  assert_in_range (call.index, 0, ANSWERS - 1);
  site->answers[call.index] = *answer;
  site->answered[call.index]++;
}

static uint32_t
open_calls (const struct pt_callers *port)
{
  (void)port;
  return 0;
}

static const struct pt_callers_vtable callers_vtable
    = { .answer = on_answer, .job = pf_job_decode, .open_count = open_calls };

static void
on_stopped (void *user)
{
  ((struct vm *)user)->stopped = true;
}

static void
start_vm (struct site *site, uint32_t index)
{
  struct vm *vm = &site->vms[index];
  struct cyc_findings findings = { 0 };
  char name[16];
  char log_address[64];

  memcpy (log_address, vm->settings.log_address, sizeof log_address);
  memset (vm, 0, sizeof *vm);
  vm->callers.vtable = &callers_vtable;
  vm->site = site;
  snprintf (name, sizeof name, "vm-%u", index);
  cyc_name_set (&vm->settings.vm, cyc_str_of (name));
  cyc_name_set (&vm->settings.domain, CYC_STR ("north"));
  cyc_name_set (&vm->settings.region, CYC_STR ("north"));
  vm->settings.peers = (struct set_address){ "127.0.0.1", cell_free_port () };
  vm->settings.lease_ms = 4000;
  vm->settings.grace_ms = 6000;
  vm->settings.log_parts = 2;
  fkp_address (&site->fake.log, vm->settings.log_address);
  if (log_address[0] != 0)
    memcpy (vm->settings.log_address, log_address, sizeof log_address);
  fkp_address (&site->fake.advisor, vm->settings.advisor_address);
  vm->desc = (struct pf_desc){ .loop = site->loop, .settings = &vm->settings };
  assert_true (pf_log_setup (&vm->log, &vm->desc, &findings));
  assert_true (pf_workers_setup (&vm->workers, &vm->desc, &findings));
  assert_true (pf_advisor_setup (&vm->advisor, &vm->desc, &findings));
  vm->ports
      = (struct pt_ports){ &vm->log.port, &vm->workers.port, &vm->advisor.port,
                           &vm->callers, &pf_records };
  assert_true (entry_setup (&vm->entry,
                            &(struct entry_desc){ .loop = site->loop,
                                                  .settings = &vm->settings,
                                                  .ports = &vm->ports,
                                                  .stopped = on_stopped,
                                                  .user = vm },
                            &findings));
  vm->up = true;
}

/* Ends a VM as a kill does: nothing is said to anybody. */
static void
kill_vm (struct site *site, uint32_t index)
{
  struct vm *vm = &site->vms[index];

  if (!vm->up)
    return;
  entry_shutdown (&vm->entry);
  pf_client_shutdown (&vm->log.client);
  pf_client_shutdown (&vm->workers.client);
  pf_client_shutdown (&vm->advisor.client);
  vm->up = false;
}

static void
spin (struct site *site, uint32_t ms)
{
  uint64_t end_us = hc_now_us () + ms * 1000ULL;

  while (hc_now_us () < end_us)
    ev_run (site->loop, EVRUN_ONCE);
}

static struct vm *
leader (struct site *site)
{
  for (uint32_t i = 0; i < VMS; i++)
    if (site->vms[i].up && site->vms[i].entry.owner != NULL)
      return &site->vms[i];
  return NULL;
}

static const char config_text[]
    = "{\"version\":1,\"routes\":[{\"name\":\"plain\",\"host\":\"h\","
      "\"path_prefix\":\"/plain/\",\"service\":\"pool\",\"priority\":1,"
      "\"max_attempts\":3,\"slack_factor\":2,\"target_latency_ms\":1000},"
      "{\"name\":\"advised\",\"host\":\"h\",\"path_prefix\":\"/advised/\","
      "\"service\":\"pool\",\"priority\":0,\"max_attempts\":3,"
      "\"slack_factor\":2,\"target_latency_ms\":1000,\"advisor\":{"
      "\"decision_ms\":5,\"period_ms\":0.1,\"valid_ms\":2500}}],"
      "\"services\":[{\"name\":\"pool\"}],\"tenants\":[{\"name\":\"blue\","
      "\"api_keys\":[\"" KEY "\"],\"weight\":1}]}";

static void
setup (struct site *site)
{
  struct cyc_findings findings = { 0 };

  memset (site, 0, sizeof *site);
  site->loop = ev_default_loop (0);
  assert_true (fkp_setup (&site->fake, site->loop, 4, &findings));
  fkp_put (&site->fake, "keyed.op", "config", config_text);
  for (uint32_t i = 0; i < VMS; i++)
    start_vm (site, i);
  for (int i = 0; i < 60 && leader (site) == NULL; i++)
    spin (site, 50);
  spin (site, 900);
  assert_non_null (leader (site));
}

static void
teardown (struct site *site)
{
  for (uint32_t i = 0; i < VMS; i++)
    kill_vm (site, i);
  fkp_shutdown (&site->fake);
}

static uint32_t
ask (struct site *site, uint32_t vm, const char *method, const char *path,
     const char *key, const char *body)
{
  struct pt_request request = {
    .call = { site->next_call, 1 },
    .method = cyc_str_of (method),
    .host = CYC_STR ("h"),
    .path = cyc_str_of (path),
    .key = cyc_str_of (key),
    .body = cyc_str_of (body),
    .wait_ms = 3000,
  };

  site->answered[site->next_call] = 0;
  entry_request (&site->vms[vm].entry, &request);
  return site->next_call++;
}

static enum pt_answer_kind
ask_and_wait (struct site *site, uint32_t vm, const char *method,
              const char *path, const char *body)
{
  uint32_t call = ask (site, vm, method, path, KEY, body);

  for (int i = 0; i < 350 && site->answered[call] == 0; i++)
    spin (site, 10);
  assert_int_equal (site->answered[call], 1);
  return site->answers[call].kind;
}

#define JOBS 4
#define TASKS 3
#define JOB_BODY                                                              \
  "{\"spec\":\"s\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":10,"       \
  "\"estimate_ms\":200},{\"count\":1,\"cpu\":500,\"mem_mb\":10,"              \
  "\"estimate_ms\":200,\"depends_on\":[0]}]}"

static uint32_t
complete_jobs (struct site *site, uint32_t vm)
{
  uint32_t complete = 0;

  site->next_call = JOBS;
  for (uint32_t j = 0; j < JOBS; j++)
    {
      char path[64];

      snprintf (path, sizeof path, "/%s/%016x", j % 2 ? "plain" : "advised",
                j + 1);
      complete
          += ask_and_wait (site, vm, "GET", path, "") == PT_ANSWER_STATE
             && site->answers[site->next_call - 1].state == CELL_JOB_COMPLETE;
    }
  return complete;
}

struct site_case
{
  const char *name;
  void (*before) (struct site *site);
  void (*during) (struct site *site); /**< right after the jobs were sent */
  uint32_t work_ms;
  uint32_t wait_ms; /**< most, until all jobs are complete */
  bool exactly;     /**< each task is started once */
};

static uint32_t
leader_index (struct site *site)
{
  return (uint32_t)(leader (site) - site->vms);
}

static void
kill_leader (struct site *site)
{
  spin (site, 250);
  kill_vm (site, leader_index (site));
}

static void
stop_leader (struct site *site)
{
  spin (site, 250);
  entry_stop (&leader (site)->entry);
}

static void
kill_all_and_restart (struct site *site)
{
  spin (site, 300);
  for (uint32_t i = 0; i < VMS; i++)
    kill_vm (site, i);
  for (uint32_t i = 0; i < VMS; i++)
    start_vm (site, i);
}

static void
log_busy (struct site *site)
{
  spin (site, 200);
  site->fake.faults.log_busy = true;
  spin (site, 1500);
  site->fake.faults.log_busy = false;
}

static void
log_silent (struct site *site)
{
  spin (site, 200);
  site->fake.faults.log_silent = true;
  spin (site, 1500);
  site->fake.faults.log_silent = false;
}

static void
lose_appends (struct site *site)
{
  site->fake.faults.log_lose = 4;
}

static void
lose_starts (struct site *site)
{
  site->fake.faults.lose_starts = 6;
}

static void
advisor_busy (struct site *site)
{
  site->fake.faults.advisor_busy = true;
  spin (site, 700);
  site->fake.faults.advisor_busy = false;
}

/* One VM that does not lead cannot reach the log: its calls go through
   another VM. */
static void
cut_a_follower (struct site *site)
{
  uint32_t index = (leader_index (site) + 1) % VMS;

  g_strlcpy (site->vms[index].log.address, "127.0.0.1:1",
             sizeof site->vms[index].log.address);
  spin (site, 1500);
}

static void
ignore_call (void *user, const struct hs_call *call)
{
  (void)user;
  (void)call;
}

static void
cut_the_leader (struct site *site)
{
  g_strlcpy (leader (site)->log.address, "127.0.0.1:1",
             sizeof site->vms[0].log.address);
}

/* A port that takes connections and never answers. */
static void
silence_the_leader (struct site *site)
{
  static struct hs_server mute;
  struct cyc_findings findings = { 0 };

  if (mute.daemon == NULL)
    assert_true (hs_setup (&mute,
                           &(struct hs_desc){ .loop = site->loop,
                                              .address = "127.0.0.1",
                                              .handle = ignore_call },
                           &findings));
  fkp_address (&mute, leader (site)->log.address);
}

static const struct site_case cases[] = {
  { "a quiet site", NULL, NULL, 200, 4000, true },
  { "the leader is killed", NULL, kill_leader, 1200, 12000, true },
  { "the leader stops gracefully", NULL, stop_leader, 1200, 12000, true },
  { "all VMs are killed and start again", NULL, kill_all_and_restart, 1500,
    12000, true },
  { "the log is busy for a while", NULL, log_busy, 200, 9000, true },
  { "the log is silent for a while", NULL, log_silent, 200, 12000, true },
  { "answers of appends are lost", lose_appends, NULL, 200, 9000, true },
  { "answers of starts are lost", lose_starts, NULL, 200, 9000, true },
  { "the advisor is busy for a while", advisor_busy, NULL, 200, 9000, true },
  { "a VM cannot reach the log", cut_a_follower, NULL, 200, 6000, true },
  { "the leader cannot reach the log", cut_the_leader, NULL, 200, 8000, true },
  { "the log gives the leader no answer", silence_the_leader, NULL, 200, 3000,
    true },
};

static uint64_t
starts (const struct site *site)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i < site->fake.worker_count; i++)
    count += site->fake.workers[i].starts;
  return count;
}

static uint32_t
vm_up (const struct site *site, uint32_t from)
{
  for (uint32_t i = 0; i < VMS; i++)
    if (site->vms[(from + i) % VMS].up
        && !site->vms[(from + i) % VMS].entry.stopping)
      return (from + i) % VMS;
  return 0;
}

static void
run_case (const struct site_case *row)
{
  struct site *site = calloc (1, sizeof *site);
  uint32_t complete = 0;
  uint64_t end_us;

  setup (site);
  site->fake.work_ms = row->work_ms;
  if (row->before != NULL)
    row->before (site);
  for (uint32_t j = 0; j < JOBS; j++)
    {
      char path[64];

      snprintf (path, sizeof path, "/%s/%016x", j % 2 ? "plain" : "advised",
                j + 1);
      site->next_call = j;
      if (ask_and_wait (site, j % VMS, "POST", path, JOB_BODY)
          != PT_ANSWER_ACCEPTED)
        fail_msg ("%s: job %u got answer %d", row->name, j + 1,
                  (int)site->answers[j].kind);
    }
  if (row->during != NULL)
    row->during (site);
  end_us = hc_now_us () + row->wait_ms * 1000ULL;
  while (complete < JOBS && hc_now_us () < end_us)
    {
      spin (site, 100);
      complete = complete_jobs (site, vm_up (site, 1));
    }
  if (complete < JOBS)
    fail_msg ("%s: %u of %d jobs are complete", row->name, complete, JOBS);
  if (row->exactly && starts (site) != (uint64_t)JOBS * TASKS)
    fail_msg ("%s: %d starts of %d tasks", row->name, (int)starts (site),
              JOBS * TASKS);
  teardown (site);
  free (site);
}

static void
test_faults (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    run_case (&cases[i]);
}

struct answer_case
{
  const char *name;
  const char *method;
  const char *path;
  const char *key;
  const char *body;
  enum pt_answer_kind kind;
};

static const struct answer_case answer_cases[] = {
  { "no such queue", "POST", "/none/0000000000000009", KEY, JOB_BODY,
    PT_ANSWER_NO_QUEUE },
  { "a key that nobody has", "POST", "/plain/0000000000000009", "other",
    JOB_BODY, PT_ANSWER_BAD_KEY },
  { "no key", "GET", "/plain/0000000000000009", "", "", PT_ANSWER_BAD_KEY },
  { "a name that is no id", "POST", "/plain/xyz", KEY, JOB_BODY,
    PT_ANSWER_BAD_REQUEST },
  { "a body that is no job", "POST", "/plain/0000000000000009", KEY, "{}",
    PT_ANSWER_BAD_REQUEST },
  { "a job that nobody submitted", "GET", "/plain/0000000000000009", KEY, "",
    PT_ANSWER_NO_JOB },
  { "cancelling a job that nobody submitted", "DELETE",
    "/plain/0000000000000009", KEY, "", PT_ANSWER_NO_JOB },
  { "the backlog of a queue", "GET", "/plain/", KEY, "", PT_ANSWER_PENDING },
  { "a job", "POST", "/plain/000000000000000a", KEY, JOB_BODY,
    PT_ANSWER_ACCEPTED },
  { "the same job again", "POST", "/plain/000000000000000a", KEY, JOB_BODY,
    PT_ANSWER_ACCEPTED },
  { "its state", "GET", "/plain/000000000000000a", KEY, "", PT_ANSWER_STATE },
  { "cancelling it", "DELETE", "/plain/000000000000000a", KEY, "",
    PT_ANSWER_CANCELLED },
};

/* Every VM gives the same answer, whether it leads or not. */
static void
test_answers (void **state)
{
  struct site *site = calloc (1, sizeof *site);

  (void)state;
  setup (site);
  site->fake.work_ms = 30000;
  for (uint32_t vm = 0; vm < VMS; vm++)
    for (size_t i = 0; i < sizeof answer_cases / sizeof answer_cases[0]; i++)
      {
        const struct answer_case *row = &answer_cases[i];
        uint32_t call;

        site->next_call = 0;
        call = ask (site, vm, row->method, row->path, row->key, row->body);
        for (int w = 0; w < 300 && site->answered[call] == 0; w++)
          spin (site, 10);
        if (site->answered[call] != 1 || site->answers[call].kind != row->kind)
          fail_msg ("%s at vm-%u: answer %d, wanted %d", row->name, vm,
                    (int)site->answers[call].kind, (int)row->kind);
      }
  teardown (site);
  free (site);
}

/* While the log refuses everything a job is refused at once, with a time to
   come back, and not held until its caller gives up. */
static void
test_refusal_is_quick (void **state)
{
  struct site *site = calloc (1, sizeof *site);
  uint64_t begun_us;

  (void)state;
  setup (site);
  site->fake.faults.log_busy = true;
  spin (site, 500);
  begun_us = hc_now_us ();
  assert_int_equal (
      ask_and_wait (site, 0, "POST", "/plain/000000000000000b", JOB_BODY),
      PT_ANSWER_BUSY);
  assert_true (hc_now_us () - begun_us < 400000);
  assert_int_equal (site->answers[0].retry_after_s, 1);
  teardown (site);
  free (site);
}

/* A slow log: each of its answers takes 250 ms. A job is stored and its
   workers are recorded at the same time, so that its tasks start after one
   append. Guards against two appends one after the other, and against records
   that wait for an append under way. */
#define SLOW_MS 250

static void
test_slow_log (void **state)
{
  struct site *site = calloc (1, sizeof *site);

  (void)state;
  setup (site);
  site->fake.faults.delay_ms = SLOW_MS;
  spin (site, 2 * SLOW_MS);
  for (uint32_t vm = 0; vm < VMS; vm++)
    {
      char path[64];
      uint64_t before = starts (site);
      uint64_t begun_us = hc_now_us ();

      snprintf (path, sizeof path, "/plain/%016x", 0x20 + vm);
      ask (site, vm, "POST", path, KEY,
           "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,"
           "\"mem_mb\":10,\"estimate_ms\":200}]}");
      while (starts (site) == before && hc_now_us () < begun_us + 2000000)
        spin (site, 5);
      assert_in_range ((hc_now_us () - begun_us) / 1000, SLOW_MS,
                       2 * SLOW_MS - 50);
    }
  spin (site, 1500);
  teardown (site);
  free (site);
}

static bool
is_led (const struct site *site)
{
  for (uint32_t i = 0; i < VMS; i++)
    if (site->vms[i].up && owner_can_answer (&site->vms[i].entry))
      return true;
  return false;
}

/* The leader is stopped while each answer of the log takes 150 ms: it leads on
   until its successor has claimed, which then sets its epoch and loads. Guards
   against a release, a claim and a load one after the other, with nobody who
   places work meanwhile. */
#define ANSWER_MS 150

static void
test_hand_over (void **state)
{
  struct site *site = calloc (1, sizeof *site);
  struct vm *old;
  uint64_t end_us;
  uint64_t gap_us = 0;

  (void)state;
  setup (site);
  site->fake.faults.delay_ms = ANSWER_MS;
  spin (site, 1500);
  old = leader (site);
  entry_stop (&old->entry);
  end_us = hc_now_us () + 2500000;
  while (hc_now_us () < end_us)
    {
      uint64_t begun_us = hc_now_us ();

      spin (site, 5);
      if (!is_led (site))
        gap_us += hc_now_us () - begun_us;
    }
  assert_true (is_led (site));
  assert_ptr_not_equal (leader (site), old);
  assert_in_range (gap_us / 1000, 0, 2 * ANSWER_MS + 100);
  teardown (site);
  free (site);
}

/* Nothing is stored by other VMs for a while, so that reads of their stream
   end only after their wait. The backlog and jobs that nobody submitted are
   told at once all the while. Guards against a view that counts as too old
   although every read is answered. */
static void
test_quiet_view_is_fresh (void **state)
{
  struct site *site = calloc (1, sizeof *site);

  (void)state;
  setup (site);
  for (int i = 0; i < 24; i++)
    {
      uint64_t begun_us = hc_now_us ();

      site->next_call = 0;
      assert_int_equal (
          ask_and_wait (site, (uint32_t)i % VMS, "GET",
                        i % 2 ? "/plain/" : "/plain/0000000000000099", ""),
          i % 2 ? PT_ANSWER_PENDING : PT_ANSWER_NO_JOB);
      assert_true (hc_now_us () - begun_us < 400000);
      spin (site, 200);
    }
  teardown (site);
  free (site);
}

/* A job that has ended is shown at every VM while the log gives no answer.
   Guards against callers who learn of a result only when the log is back. */
static void
test_final_state_needs_no_log (void **state)
{
  struct site *site = calloc (1, sizeof *site);
  const char *path = "/plain/000000000000000c";

  (void)state;
  setup (site);
  assert_int_equal (ask_and_wait (site, 0, "POST", path, JOB_BODY),
                    PT_ANSWER_ACCEPTED);
  spin (site, 1500);
  site->fake.faults.log_busy = true;
  spin (site, 3000);
  for (uint32_t vm = 0; vm < VMS; vm++)
    {
      uint64_t begun_us = hc_now_us ();

      assert_int_equal (ask_and_wait (site, vm, "GET", path, ""),
                        PT_ANSWER_STATE);
      assert_int_equal (site->answers[site->next_call - 1].state,
                        CELL_JOB_COMPLETE);
      assert_true (hc_now_us () - begun_us < 400000);
    }
  teardown (site);
  free (site);
}

/* Runs that go on at the stand-in's workers. */
static uint32_t
running (const struct site *site)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < site->fake.worker_count; i++)
    count += site->fake.workers[i].run_count;
  return count;
}

/* A leader that cannot renew its claim extends leases for so long, and the
   leases last for so long. */
#define EXTEND_MS 2500
#define LEASE_MS 4000
/* A hold that began in time, and the gap between renewals. */
#define HOLD_MS 300
#define RENEW_MS 600

/* The log stands still for all. A leader that is cut off knows no more than
   this one, and its successor starts again what it cannot reach when the
   leases must have ended. Guards against a leader that extends them for longer
   than its successor waits. */
static void
test_leases_end_without_log (void **state)
{
  struct site *site = calloc (1, sizeof *site);

  (void)state;
  setup (site);
  site->fake.work_ms = 30000;
  assert_int_equal (
      ask_and_wait (site, 0, "POST", "/plain/000000000000000d", JOB_BODY),
      PT_ANSWER_ACCEPTED);
  spin (site, 1000);
  assert_int_equal (running (site), 2);
  site->fake.faults.log_busy = true;
  spin (site, EXTEND_MS + 500);
  assert_int_equal (running (site), 2);
  spin (site, LEASE_MS - 500 + HOLD_MS);
  assert_int_equal (running (site), 0);
  teardown (site);
  free (site);
}

/* The leader and the way to its workers fail together; the next one cannot
   tell whether the old one still extends leases. Guards against a second run
   of a task beside one that an old leader keeps up. */
static void
test_successor_waits_for_leases (void **state)
{
  struct site *site = calloc (1, sizeof *site);
  uint64_t before;

  (void)state;
  setup (site);
  site->fake.work_ms = 30000;
  assert_int_equal (
      ask_and_wait (site, 0, "POST", "/plain/000000000000000e", JOB_BODY),
      PT_ANSWER_ACCEPTED);
  spin (site, 1000);
  before = starts (site);
  for (uint32_t i = 0; i < site->fake.worker_count; i++)
    site->fake.workers[i].silent = site->fake.workers[i].run_count > 0;
  kill_vm (site, leader_index (site));
  spin (site, EXTEND_MS + LEASE_MS - RENEW_MS);
  assert_int_equal (starts (site), before);
  spin (site, 4000);
  assert_int_equal (starts (site), before + 2);
  teardown (site);
  free (site);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_answers),
    cmocka_unit_test (test_faults),
    cmocka_unit_test (test_refusal_is_quick),
    cmocka_unit_test (test_quiet_view_is_fresh),
    cmocka_unit_test (test_slow_log),
    cmocka_unit_test (test_hand_over),
    cmocka_unit_test (test_final_state_needs_no_log),
    cmocka_unit_test (test_leases_end_without_log),
    cmocka_unit_test (test_successor_waits_for_leases),
  };

  signal (SIGPIPE, SIG_IGN);
  if (getenv ("TEST_FILTER") != NULL)
    cmocka_set_test_filter (getenv ("TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
