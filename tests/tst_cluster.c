#include "tst_cluster.h"

#include "tst_sched.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

static void
on_answer (struct pt_callers *port, struct cyc_ref call,
           const struct pt_answer *answer)
{
  struct tst_cluster *cluster = ((struct tst_cluster_vm *)port)->cluster;

  assert_in_range (call.index, 0, TST_CLUSTER_ANSWERS - 1);
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
  ((struct tst_cluster_vm *)user)->stopped = true;
}

void
tst_cluster_start_vm (struct tst_cluster *cluster, uint32_t index)
{
  struct tst_cluster_vm *vm = &cluster->vms[index];
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
  vm->settings.config_max_age_ms = 2500;
  vm->settings.heartbeat_ms = FKP_HEARTBEAT_MS;
  vm->settings.grace_ms = 6000;
  vm->settings.log_parts = 2;
  vm->settings.log_record_bytes = 262144;
  vm->settings.log_request_bytes = 1048576;
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

void
tst_cluster_kill_vm (struct tst_cluster *cluster, uint32_t index)
{
  struct tst_cluster_vm *vm = &cluster->vms[index];

  if (!vm->up)
    return;
  entry_shutdown (&vm->entry);
  pf_client_shutdown (&vm->log.client);
  pf_workers_shutdown (&vm->workers);
  pf_client_shutdown (&vm->advisor.client);
  vm->up = false;
}

void
tst_cluster_run (struct tst_cluster *cluster, uint32_t ms)
{
  uint64_t end_us = hc_now_us () + ms * 1000ULL;

  while (hc_now_us () < end_us)
    ev_run (cluster->loop, EVRUN_ONCE);
}

struct tst_cluster_vm *
tst_cluster_leader (struct tst_cluster *cluster)
{
  for (uint32_t i = 0; i < TST_CLUSTER_VMS; i++)
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
      "\"api_keys\":[\"" TST_CLUSTER_KEY "\"],\"weight\":1}]}";

void
tst_cluster_begin (struct tst_cluster *cluster)
{
  struct cyc_findings findings = { 0 };

  memset (cluster, 0, sizeof *cluster);
  cluster->loop = ev_default_loop (0);
  assert_true (fkp_setup (&cluster->fake, cluster->loop, 4, &findings));
  fkp_put (&cluster->fake, "keyed.op", "config", config_text);
  for (uint32_t i = 0; i < TST_CLUSTER_VMS; i++)
    tst_cluster_start_vm (cluster, i);
}

void
tst_cluster_setup (struct tst_cluster *cluster)
{
  tst_cluster_begin (cluster);
  for (int i = 0; i < 60 && tst_cluster_leader (cluster) == NULL; i++)
    tst_cluster_run (cluster, 50);
  tst_cluster_run (cluster, 900);
  assert_non_null (tst_cluster_leader (cluster));
}

void
tst_cluster_teardown (struct tst_cluster *cluster)
{
  for (uint32_t i = 0; i < TST_CLUSTER_VMS; i++)
    tst_cluster_kill_vm (cluster, i);
  fkp_shutdown (&cluster->fake);
}

uint32_t
tst_cluster_send (struct tst_cluster *cluster, uint32_t vm, const char *method,
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

enum pt_answer_kind
tst_cluster_request (struct tst_cluster *cluster, uint32_t vm,
                     const char *method, const char *path, const char *body)
{
  uint32_t call
      = tst_cluster_send (cluster, vm, method, path, TST_CLUSTER_KEY, body);

  for (int i = 0; i < 350 && cluster->answer_counts[call] == 0; i++)
    tst_cluster_run (cluster, 10);
  assert_int_equal (cluster->answer_counts[call], 1);
  return cluster->answers[call].kind;
}

uint32_t
tst_cluster_leader_index (struct tst_cluster *cluster)
{
  return (uint32_t)(tst_cluster_leader (cluster) - cluster->vms);
}
