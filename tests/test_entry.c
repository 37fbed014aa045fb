/* Entry VMs in one process against the fake platform. Jobs are submitted at
   any VM while VMs, the log, workers or the advisor fail. Every accepted job
   must complete, with each of its tasks started exactly once. */

#include "entry_internal.h"
#include "fk_platform.h"
#include "pf.h"
#include "tst_sched.h"

#include <setjmp.h>
#include <stdarg.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define VM_COUNT 3
#define ANSWERS_MAX 64
#define TEAM_KEY "key-blue"

struct vm
{
  struct pt_callers callers; /* first member: on_answer() casts it to vm */
  struct cluster *cluster;
  struct ent_settings settings;
  struct pf_desc desc;
  struct pf_log log;
  struct pf_workers workers;
  struct pf_advisor advisor;
  struct pt_ports ports;
  struct entry entry;
  bool up;
  bool stopped; /**< a planned stop has ended */
};

struct cluster
{
  struct ev_loop *loop;
  struct fkp_platform fake;
  struct vm vms[VM_COUNT];
  struct pt_answer answers[ANSWERS_MAX]; /**< newest answer, by call index */
  uint32_t answer_counts[ANSWERS_MAX];   /**< by call index */
  uint32_t next_call;                    /**< index of the next call */
};

static void
on_answer (struct pt_callers *port, struct cyc_ref call,
           const struct pt_answer *answer)
{
  struct cluster *cluster = ((struct vm *)port)->cluster;

  assert_in_range (call.index, 0, ANSWERS_MAX - 1);
  cluster->answers[call.index] = *answer;
  cluster->answer_counts[call.index]++;
}

static uint32_t
count_open_calls (const struct pt_callers *port)
{
  (void)port;
  return 0;
}

static const struct pt_callers_vtable callers_vtable = {
  .answer = on_answer, .job = pf_job_decode, .open_count = count_open_calls
};

static void
on_stopped (void *user)
{
  ((struct vm *)user)->stopped = true;
}

static void
start_vm (struct cluster *cluster, uint32_t index)
{
  struct vm *vm = &cluster->vms[index];
  struct cyc_findings findings = { 0 };
  char name[16];
  char log_address[64];

  memcpy (log_address, vm->settings.log_address, sizeof log_address);
  memset (vm, 0, sizeof *vm);
  vm->callers.vtable = &callers_vtable;
  vm->cluster = cluster;
  snprintf (name, sizeof name, "vm-%u", index);
  cyc_name_set (&vm->settings.vm, cyc_str_of (name));
  cyc_name_set (&vm->settings.domain, CYC_STR ("north"));
  cyc_name_set (&vm->settings.region, CYC_STR ("north"));
  vm->settings.peers
      = (struct set_address){ "127.0.0.1", tst_sched_free_port () };
  vm->settings.lease_ms = 4000;
  vm->settings.grace_ms = 6000;
  vm->settings.log_parts = 2;
  fkp_address (&cluster->fake.log, vm->settings.log_address);
  if (log_address[0] != 0)
    memcpy (vm->settings.log_address, log_address, sizeof log_address);
  fkp_address (&cluster->fake.advisor, vm->settings.advisor_address);
  vm->desc
      = (struct pf_desc){ .loop = cluster->loop, .settings = &vm->settings };
  assert_true (pf_log_setup (&vm->log, &vm->desc, &findings));
  assert_true (pf_workers_setup (&vm->workers, &vm->desc, &findings));
  assert_true (pf_advisor_setup (&vm->advisor, &vm->desc, &findings));
  vm->ports
      = (struct pt_ports){ &vm->log.port, &vm->workers.port, &vm->advisor.port,
                           &vm->callers, &pf_records };
  assert_true (entry_setup (&vm->entry,
                            &(struct entry_desc){ .loop = cluster->loop,
                                                  .settings = &vm->settings,
                                                  .ports = &vm->ports,
                                                  .stopped = on_stopped,
                                                  .user = vm },
                            &findings));
  vm->up = true;
}

/* Ends a VM abruptly, as a kill does: it releases and announces nothing. */
static void
kill_vm (struct cluster *cluster, uint32_t index)
{
  struct vm *vm = &cluster->vms[index];

  if (!vm->up)
    return;
  entry_shutdown (&vm->entry);
  pf_client_shutdown (&vm->log.client);
  pf_workers_shutdown (&vm->workers);
  pf_client_shutdown (&vm->advisor.client);
  vm->up = false;
}

static void
run_loop_ms (struct cluster *cluster, uint32_t ms)
{
  uint64_t end_us = hc_now_us () + ms * 1000ULL;

  while (hc_now_us () < end_us)
    ev_run (cluster->loop, EVRUN_ONCE);
}

static struct vm *
find_leader (struct cluster *cluster)
{
  for (uint32_t i = 0; i < VM_COUNT; i++)
    if (cluster->vms[i].up && cluster->vms[i].entry.owner != NULL)
      return &cluster->vms[i];
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
      "\"api_keys\":[\"" TEAM_KEY "\"],\"weight\":1}]}";

static void
setup (struct cluster *cluster)
{
  struct cyc_findings findings = { 0 };

  memset (cluster, 0, sizeof *cluster);
  cluster->loop = ev_default_loop (0);
  assert_true (fkp_setup (&cluster->fake, cluster->loop, 4, &findings));
  fkp_put (&cluster->fake, "keyed.op", "config", config_text);
  for (uint32_t i = 0; i < VM_COUNT; i++)
    start_vm (cluster, i);
  for (int i = 0; i < 60 && find_leader (cluster) == NULL; i++)
    run_loop_ms (cluster, 50);
  run_loop_ms (cluster, 900);
  assert_non_null (find_leader (cluster));
}

static void
teardown (struct cluster *cluster)
{
  for (uint32_t i = 0; i < VM_COUNT; i++)
    kill_vm (cluster, i);
  fkp_shutdown (&cluster->fake);
}

static uint32_t
send_request (struct cluster *cluster, uint32_t vm, const char *method,
              const char *path, const char *key, const char *body)
{
  struct pt_request request = {
    .call = { cluster->next_call, 1 },
    .method = cyc_str_of (method),
    .host = CYC_STR ("h"),
    .path = cyc_str_of (path),
    .key = cyc_str_of (key),
    .body = cyc_str_of (body),
    .wait_ms = 3000,
  };

  cluster->answer_counts[cluster->next_call] = 0;
  entry_request (&cluster->vms[vm].entry, &request);
  return cluster->next_call++;
}

static enum pt_answer_kind
request_and_wait (struct cluster *cluster, uint32_t vm, const char *method,
                  const char *path, const char *body)
{
  uint32_t call = send_request (cluster, vm, method, path, TEAM_KEY, body);

  for (int i = 0; i < 350 && cluster->answer_counts[call] == 0; i++)
    run_loop_ms (cluster, 10);
  assert_int_equal (cluster->answer_counts[call], 1);
  return cluster->answers[call].kind;
}

#define JOB_COUNT 4
#define TASKS_PER_JOB 3
#define JOB_BODY                                                              \
  "{\"spec\":\"s\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":10,"       \
  "\"estimate_ms\":200},{\"count\":1,\"cpu\":500,\"mem_mb\":10,"              \
  "\"estimate_ms\":200,\"depends_on\":[0]}]}"

static uint32_t
count_complete_jobs (struct cluster *cluster, uint32_t vm)
{
  uint32_t complete = 0;

  cluster->next_call = JOB_COUNT;
  for (uint32_t j = 0; j < JOB_COUNT; j++)
    {
      char path[64];

      snprintf (path, sizeof path, "/%s/%016x", j % 2 ? "plain" : "advised",
                j + 1);
      complete
          += request_and_wait (cluster, vm, "GET", path, "") == PT_ANSWER_STATE
             && cluster->answers[cluster->next_call - 1].state
                    == CELL_JOB_COMPLETE;
    }
  return complete;
}

struct fault_case
{
  const char *name;
  /** Injects a fault before the jobs are submitted; or NULL. */
  void (*before_submit) (struct cluster *cluster);
  /** Injects a fault after all jobs were accepted; or NULL. */
  void (*after_submit) (struct cluster *cluster);
  uint32_t task_duration_ms;
  uint32_t timeout_ms; /**< until all jobs are complete */
  bool exactly_once;   /**< each task must be started once */
};

static uint32_t
leader_index (struct cluster *cluster)
{
  return (uint32_t)(find_leader (cluster) - cluster->vms);
}

static void
kill_leader (struct cluster *cluster)
{
  run_loop_ms (cluster, 250);
  kill_vm (cluster, leader_index (cluster));
}

static void
stop_leader (struct cluster *cluster)
{
  run_loop_ms (cluster, 250);
  entry_stop (&find_leader (cluster)->entry);
}

static void
kill_all_and_restart (struct cluster *cluster)
{
  run_loop_ms (cluster, 300);
  for (uint32_t i = 0; i < VM_COUNT; i++)
    kill_vm (cluster, i);
  for (uint32_t i = 0; i < VM_COUNT; i++)
    start_vm (cluster, i);
}

static void
log_busy (struct cluster *cluster)
{
  run_loop_ms (cluster, 200);
  cluster->fake.faults.log_busy = true;
  run_loop_ms (cluster, 1500);
  cluster->fake.faults.log_busy = false;
}

static void
log_silent (struct cluster *cluster)
{
  run_loop_ms (cluster, 200);
  cluster->fake.faults.log_silent = true;
  run_loop_ms (cluster, 1500);
  cluster->fake.faults.log_silent = false;
}

static void
lose_answers_of_appends (struct cluster *cluster)
{
  cluster->fake.faults.lose_append_answers = 4;
}

static void
lose_start_answers (struct cluster *cluster)
{
  cluster->fake.faults.lose_start_answers = 6;
}

static void
advisor_busy (struct cluster *cluster)
{
  cluster->fake.faults.advisor_busy = true;
  run_loop_ms (cluster, 700);
  cluster->fake.faults.advisor_busy = false;
}

/* A follower cannot reach the log: its calls go through another VM. */
static void
disconnect_follower_from_log (struct cluster *cluster)
{
  uint32_t index = (leader_index (cluster) + 1) % VM_COUNT;

  g_strlcpy (cluster->vms[index].log.address, "127.0.0.1:1",
             sizeof cluster->vms[index].log.address);
  run_loop_ms (cluster, 1500);
}

static void
ignore_call (void *user, const struct hs_call *call)
{
  (void)user;
  (void)call;
}

static void
disconnect_leader_from_log (struct cluster *cluster)
{
  g_strlcpy (find_leader (cluster)->log.address, "127.0.0.1:1",
             sizeof cluster->vms[0].log.address);
}

/* Replaces the leader's log by a port that accepts connections and never
   answers. */
static void
mute_log_of_leader (struct cluster *cluster)
{
  static struct hs_server mute;
  struct cyc_findings findings = { 0 };

  if (mute.daemon == NULL)
    assert_true (hs_setup (&mute,
                           &(struct hs_desc){ .loop = cluster->loop,
                                              .address = "127.0.0.1",
                                              .handle = ignore_call },
                           &findings));
  fkp_address (&mute, find_leader (cluster)->log.address);
}

static const struct fault_case cases[] = {
  { "no fault", NULL, NULL, 200, 4000, true },
  { "the leader is killed", NULL, kill_leader, 1200, 12000, true },
  { "the leader stops gracefully", NULL, stop_leader, 1200, 12000, true },
  { "all VMs are killed and start again", NULL, kill_all_and_restart, 1500,
    12000, true },
  { "the log answers 503 for 1.5 s", NULL, log_busy, 200, 9000, true },
  { "the log gives no answer for 1.5 s", NULL, log_silent, 200, 12000, true },
  { "answers of appends are lost", lose_answers_of_appends, NULL, 200, 9000,
    true },
  { "answers of starts are lost", lose_start_answers, NULL, 200, 9000, true },
  { "the advisor answers 429 for 0.7 s", advisor_busy, NULL, 200, 9000, true },
  { "a follower cannot reach the log", disconnect_follower_from_log, NULL, 200,
    6000, true },
  { "the leader cannot reach the log", disconnect_leader_from_log, NULL, 200,
    8000, true },
  { "the log does not answer the leader", mute_log_of_leader, NULL, 200, 3000,
    true },
};

static uint64_t
count_starts (const struct cluster *cluster)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i < cluster->fake.worker_count; i++)
    count += cluster->fake.workers[i].starts;
  return count;
}

static uint32_t
find_running_vm (const struct cluster *cluster, uint32_t from)
{
  for (uint32_t i = 0; i < VM_COUNT; i++)
    if (cluster->vms[(from + i) % VM_COUNT].up
        && !cluster->vms[(from + i) % VM_COUNT].entry.stopping)
      return (from + i) % VM_COUNT;
  return 0;
}

static void
run_case (const struct fault_case *row)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);
  uint32_t complete = 0;
  uint64_t end_us;

  setup (cluster);
  cluster->fake.task_duration_ms = row->task_duration_ms;
  if (row->before_submit != NULL)
    row->before_submit (cluster);
  for (uint32_t j = 0; j < JOB_COUNT; j++)
    {
      char path[64];

      snprintf (path, sizeof path, "/%s/%016x", j % 2 ? "plain" : "advised",
                j + 1);
      cluster->next_call = j;
      if (request_and_wait (cluster, j % VM_COUNT, "POST", path, JOB_BODY)
          != PT_ANSWER_ACCEPTED)
        fail_msg ("%s: job %u got answer %d", row->name, j + 1,
                  (int)cluster->answers[j].kind);
    }
  if (row->after_submit != NULL)
    row->after_submit (cluster);
  end_us = hc_now_us () + row->timeout_ms * 1000ULL;
  while (complete < JOB_COUNT && hc_now_us () < end_us)
    {
      run_loop_ms (cluster, 100);
      complete = count_complete_jobs (cluster, find_running_vm (cluster, 1));
    }
  if (complete < JOB_COUNT)
    fail_msg ("%s: %u of %d jobs are complete", row->name, complete,
              JOB_COUNT);
  if (row->exactly_once
      && count_starts (cluster) != (uint64_t)JOB_COUNT * TASKS_PER_JOB)
    fail_msg ("%s: %d starts of %d tasks", row->name,
              (int)count_starts (cluster), JOB_COUNT * TASKS_PER_JOB);
  teardown (cluster);
  free (cluster);
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
  { "unknown queue", "POST", "/none/0000000000000009", TEAM_KEY, JOB_BODY,
    PT_ANSWER_NO_QUEUE },
  { "unknown key", "POST", "/plain/0000000000000009", "other", JOB_BODY,
    PT_ANSWER_BAD_KEY },
  { "no key", "GET", "/plain/0000000000000009", "", "", PT_ANSWER_BAD_KEY },
  { "an invalid job id", "POST", "/plain/xyz", TEAM_KEY, JOB_BODY,
    PT_ANSWER_BAD_REQUEST },
  { "a body that is not a job", "POST", "/plain/0000000000000009", TEAM_KEY,
    "{}", PT_ANSWER_BAD_REQUEST },
  { "an unknown job", "GET", "/plain/0000000000000009", TEAM_KEY, "",
    PT_ANSWER_NO_JOB },
  { "cancelling an unknown job", "DELETE", "/plain/0000000000000009", TEAM_KEY,
    "", PT_ANSWER_NO_JOB },
  { "the backlog of a queue", "GET", "/plain/", TEAM_KEY, "",
    PT_ANSWER_PENDING },
  { "a job", "POST", "/plain/000000000000000a", TEAM_KEY, JOB_BODY,
    PT_ANSWER_ACCEPTED },
  { "the same job again", "POST", "/plain/000000000000000a", TEAM_KEY,
    JOB_BODY, PT_ANSWER_ACCEPTED },
  { "the state of the job", "GET", "/plain/000000000000000a", TEAM_KEY, "",
    PT_ANSWER_STATE },
  { "cancelling the job", "DELETE", "/plain/000000000000000a", TEAM_KEY, "",
    PT_ANSWER_CANCELLED },
};

/* Leader and followers give the same answer to a request. */
static void
test_answers (void **state)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);

  (void)state;
  setup (cluster);
  cluster->fake.task_duration_ms = 30000;
  for (uint32_t vm = 0; vm < VM_COUNT; vm++)
    for (size_t i = 0; i < sizeof answer_cases / sizeof answer_cases[0]; i++)
      {
        const struct answer_case *row = &answer_cases[i];
        uint32_t call;

        cluster->next_call = 0;
        call = send_request (cluster, vm, row->method, row->path, row->key,
                             row->body);
        for (int w = 0; w < 300 && cluster->answer_counts[call] == 0; w++)
          run_loop_ms (cluster, 10);
        if (cluster->answer_counts[call] != 1
            || cluster->answers[call].kind != row->kind)
          fail_msg ("%s at vm-%u: answer %d, expected %d", row->name, vm,
                    (int)cluster->answers[call].kind, (int)row->kind);
      }
  teardown (cluster);
  free (cluster);
}

/* While the log refuses all appends, a job is refused at once with a time
   after which to retry. Guards against holding the job until its caller times
   out. */
static void
test_refusal_is_quick (void **state)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);
  uint64_t start_us;

  (void)state;
  setup (cluster);
  cluster->fake.faults.log_busy = true;
  run_loop_ms (cluster, 500);
  start_us = hc_now_us ();
  assert_int_equal (request_and_wait (cluster, 0, "POST",
                                      "/plain/000000000000000b", JOB_BODY),
                    PT_ANSWER_BUSY);
  assert_true (hc_now_us () - start_us < 400000);
  assert_int_equal (cluster->answers[0].retry_after_s, 1);
  teardown (cluster);
  free (cluster);
}

/* Each answer of the log takes 250 ms. A job and the workers chosen for its
   tasks are stored concurrently, so the tasks start after one append. Guards
   against two consecutive appends and against records that wait for an append
   in flight. */
#define SLOW_LOG_DELAY_MS 250

static void
test_slow_log (void **state)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);

  (void)state;
  setup (cluster);
  cluster->fake.faults.log_delay_ms = SLOW_LOG_DELAY_MS;
  run_loop_ms (cluster, 2 * SLOW_LOG_DELAY_MS);
  for (uint32_t vm = 0; vm < VM_COUNT; vm++)
    {
      char path[64];
      uint64_t before = count_starts (cluster);
      uint64_t start_us = hc_now_us ();

      snprintf (path, sizeof path, "/plain/%016x", 0x20 + vm);
      send_request (cluster, vm, "POST", path, TEAM_KEY,
                    "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,"
                    "\"mem_mb\":10,\"estimate_ms\":200}]}");
      while (count_starts (cluster) == before
             && hc_now_us () < start_us + 2000000)
        run_loop_ms (cluster, 5);
      assert_in_range ((hc_now_us () - start_us) / 1000, SLOW_LOG_DELAY_MS,
                       2 * SLOW_LOG_DELAY_MS - 50);
    }
  run_loop_ms (cluster, 1500);
  teardown (cluster);
  free (cluster);
}

static bool
has_answering_leader (const struct cluster *cluster)
{
  for (uint32_t i = 0; i < VM_COUNT; i++)
    if (cluster->vms[i].up && owner_can_answer (&cluster->vms[i].entry))
      return true;
  return false;
}

/* The leader is stopped while each answer of the log takes 150 ms. It keeps
   leading until its successor has claimed the leadership; the successor then
   sets its epoch and loads the state. Guards against consecutive release,
   claim and load, during which no VM places tasks. */
#define HANDOVER_LOG_DELAY_MS 150

static void
test_hand_over (void **state)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);
  struct vm *old_leader;
  uint64_t end_us;
  uint64_t gap_us = 0;

  (void)state;
  setup (cluster);
  cluster->fake.faults.log_delay_ms = HANDOVER_LOG_DELAY_MS;
  run_loop_ms (cluster, 1500);
  old_leader = find_leader (cluster);
  entry_stop (&old_leader->entry);
  end_us = hc_now_us () + 2500000;
  while (hc_now_us () < end_us)
    {
      uint64_t start_us = hc_now_us ();

      run_loop_ms (cluster, 5);
      if (!has_answering_leader (cluster))
        gap_us += hc_now_us () - start_us;
    }
  assert_true (has_answering_leader (cluster));
  assert_ptr_not_equal (find_leader (cluster), old_leader);
  assert_in_range (gap_us / 1000, 0, 2 * HANDOVER_LOG_DELAY_MS + 100);
  teardown (cluster);
  free (cluster);
}

/* No VM stores anything, so reads of the streams return only when their wait
   time ends. Requests for the backlog and for unknown jobs are still answered
   at once. Guards against a view of stored jobs that is regarded as stale
   although every read was answered. */
static void
test_quiet_view_is_fresh (void **state)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);

  (void)state;
  setup (cluster);
  for (int i = 0; i < 24; i++)
    {
      uint64_t start_us = hc_now_us ();

      cluster->next_call = 0;
      assert_int_equal (
          request_and_wait (cluster, (uint32_t)i % VM_COUNT, "GET",
                            i % 2 ? "/plain/" : "/plain/0000000000000099", ""),
          i % 2 ? PT_ANSWER_PENDING : PT_ANSWER_NO_JOB);
      assert_true (hc_now_us () - start_us < 400000);
      run_loop_ms (cluster, 200);
    }
  teardown (cluster);
  free (cluster);
}

/* Every VM reports the final state of a job while the log answers 503. Guards
   against callers that get a result only once the log has recovered. */
static void
test_final_state_needs_no_log (void **state)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);
  const char *path = "/plain/000000000000000c";

  (void)state;
  setup (cluster);
  assert_int_equal (request_and_wait (cluster, 0, "POST", path, JOB_BODY),
                    PT_ANSWER_ACCEPTED);
  run_loop_ms (cluster, 1500);
  cluster->fake.faults.log_busy = true;
  run_loop_ms (cluster, 3000);
  for (uint32_t vm = 0; vm < VM_COUNT; vm++)
    {
      uint64_t start_us = hc_now_us ();

      assert_int_equal (request_and_wait (cluster, vm, "GET", path, ""),
                        PT_ANSWER_STATE);
      assert_int_equal (cluster->answers[cluster->next_call - 1].state,
                        CELL_JOB_COMPLETE);
      assert_true (hc_now_us () - start_us < 400000);
    }
  teardown (cluster);
  free (cluster);
}

/* Counts the runs in progress at the fake workers. */
static uint32_t
count_runs (const struct cluster *cluster)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < cluster->fake.worker_count; i++)
    count += cluster->fake.workers[i].run_count;
  return count;
}

/* How long a leader that cannot renew its claim still extends leases, and the
   length of a lease. */
#define LEASE_EXTENSION_MS 2500
#define LEASE_MS 4000
/* Duration of a hold that was sent before the extensions ended, and interval
   between renewals of a claim. */
#define IN_FLIGHT_HOLD_MS 300
#define RENEWAL_INTERVAL_MS 600

/* The log is unavailable to all VMs, which a leader cannot distinguish from
   being the only one cut off. In the latter case its successor restarts the
   tasks of unreachable workers once their leases must have ended. Guards
   against a leader that extends leases for longer than its successor waits. */
static void
test_leases_end_without_log (void **state)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);

  (void)state;
  setup (cluster);
  cluster->fake.task_duration_ms = 30000;
  assert_int_equal (request_and_wait (cluster, 0, "POST",
                                      "/plain/000000000000000d", JOB_BODY),
                    PT_ANSWER_ACCEPTED);
  run_loop_ms (cluster, 1000);
  assert_int_equal (count_runs (cluster), 2);
  cluster->fake.faults.log_busy = true;
  run_loop_ms (cluster, LEASE_EXTENSION_MS + 500);
  assert_int_equal (count_runs (cluster), 2);
  run_loop_ms (cluster, LEASE_MS - 500 + IN_FLIGHT_HOLD_MS);
  assert_int_equal (count_runs (cluster), 0);
  teardown (cluster);
  free (cluster);
}

/* The leader and the connection to its workers fail together, so the successor
   cannot tell whether the old leader still extends leases. Guards against
   starting a second run of a task while the old leader still extends the lease
   of the first. */
static void
test_successor_waits_for_leases (void **state)
{
  struct cluster *cluster = calloc (1, sizeof *cluster);
  uint64_t before;

  (void)state;
  setup (cluster);
  cluster->fake.task_duration_ms = 30000;
  assert_int_equal (request_and_wait (cluster, 0, "POST",
                                      "/plain/000000000000000e", JOB_BODY),
                    PT_ANSWER_ACCEPTED);
  run_loop_ms (cluster, 1000);
  before = count_starts (cluster);
  for (uint32_t i = 0; i < cluster->fake.worker_count; i++)
    cluster->fake.workers[i].silent = cluster->fake.workers[i].run_count > 0;
  kill_vm (cluster, leader_index (cluster));
  run_loop_ms (cluster, LEASE_EXTENSION_MS + LEASE_MS - RENEWAL_INTERVAL_MS);
  assert_int_equal (count_starts (cluster), before);
  run_loop_ms (cluster, 4000);
  assert_int_equal (count_starts (cluster), before + 2);
  teardown (cluster);
  free (cluster);
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
