/**
 * @file
 * Costs per unit for docs/CAPACITY.md: bytes per row of each table,
 * microseconds per record, bytes per record and per peer message.
 *
 * Memory is the number of bytes that a module allocates at a given size,
 * divided by the number of rows. Times are processor time of this process.
 * Prints one line for each slope: name, value, unit.
 */
#include "peer.pb-c.h"

#include <cyclamendrum/core.h>
#include <cyclamendrum/jobs.h>
#include <cyclamendrum/ledger.h>
#include <cyclamendrum/once.h>
#include <cyclamendrum/permit.h>
#include <cyclamendrum/record.h>
#include <cyclamendrum/route.h>

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TEAMS 510
#define QUEUES 5000
#define DOMAINS 14
#define RECORDS 20000
#define INTENTS_PER_BATCH 256
#define TARGETS 50
#define FRAME_HEADER_BYTES 4

static void
print_slope (const char *name, double value, const char *unit)
{
  printf ("%-44s %14.2f %s\n", name, value, unit);
}

static double
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/* Allocator that adds up the bytes requested. */

static void *
count_alloc (size_t bytes, void *user)
{
  *(size_t *)user += bytes;
  return malloc (bytes);
}

static void
count_release (void *memory, void *user)
{
  (void)user;
  free (memory);
}

static struct cyc_allocator
counting_allocator (size_t *bytes)
{
  *bytes = 0;
  return (struct cyc_allocator){ .alloc = count_alloc,
                                 .release = count_release,
                                 .user = bytes };
}

/* Memory of the fixed tables, at the size of one failure domain and of the
 * whole fleet. */

struct core_size
{
  const char *name;
  uint32_t workers;
  uint32_t tasks;
  uint32_t jobs;
};

/* 9,800 workers and 100,000 running tasks in 14 domains. The tables also
 * hold twice as many queued tasks. */
static const struct core_size core_sizes[] = {
  { "core of one domain (700 workers)", 700, 21600, 8192 },
  { "core of a domain twice as large", 1400, 43200, 16384 },
  { "core of the whole fleet (9,800 workers)", 9800, 300000, 131072 },
};

static void
measure_core (void)
{
  struct cyc_findings found = { 0 };

  for (size_t i = 0; i < sizeof core_sizes / sizeof core_sizes[0]; i++)
    {
      const struct core_size *size = &core_sizes[i];
      size_t bytes;
      struct cyc_core core;
      struct cyc_core_desc desc = { .allocator = counting_allocator (&bytes),
                                    .max_workers = size->workers,
                                    .max_racks = size->workers / 8 + 1,
                                    .max_teams = TEAMS,
                                    .max_queues = QUEUES,
                                    .max_jobs = size->jobs,
                                    .max_tasks = size->tasks };

      if (!cyc_core_setup (&core, &desc, &found))
        continue;
      print_slope (size->name, (double)bytes / 1e6, "MB");
      cyc_core_shutdown (&core);
    }
}

static void
measure_tables (void)
{
  struct cyc_findings found = { 0 };
  size_t bytes;
  struct cyc_once once;
  struct cyc_jobs jobs;
  struct cyc_permits permits;
  struct cyc_route route;

  if (cyc_once_setup (
          &once,
          &(struct cyc_once_desc){ .allocator = counting_allocator (&bytes),
                                   .max_requests = 65536 },
          &found))
    {
      print_slope ("once-only table, per request id", (double)bytes / 65536,
                   "bytes");
      cyc_once_shutdown (&once);
    }
  if (cyc_jobs_setup (
          &jobs,
          &(struct cyc_jobs_desc){ .allocator = counting_allocator (&bytes),
                                   .max_jobs = 131072 },
          &found))
    {
      print_slope ("job table, per job", (double)bytes / 131072, "bytes");
      cyc_jobs_shutdown (&jobs);
    }
  if (cyc_prm_setup (
          &permits,
          &(struct cyc_prm_desc){ .allocator = counting_allocator (&bytes),
                                  .max_workers = 2048 },
          &found))
    {
      print_slope ("permits, per worker", (double)bytes / 2048, "bytes");
      cyc_prm_shutdown (&permits);
    }
  if (cyc_rt_setup (
          &route,
          &(struct cyc_rt_desc){ .allocator = counting_allocator (&bytes) },
          &found))
    {
      print_slope ("routing core with default tables", (double)bytes / 1e6,
                   "MB");
      cyc_rt_shutdown (&route);
    }
}

/* Records of the control stream. */

static struct cyc_str
fleet_body (void)
{
  static char body[4096];
  size_t at = (size_t)snprintf (body, sizeof body, "{\"regions\":[");

  for (int region = 0; region < 5; region++)
    {
      at += (size_t)snprintf (body + at, sizeof body - at,
                              "%s{\"name\":\"region-%d\",\"domains\":[",
                              region > 0 ? "," : "", region);
      for (int d = region * 3; d < region * 3 + 3 && d < DOMAINS; d++)
        at += (size_t)snprintf (
            body + at, sizeof body - at,
            "%s{\"name\":\"domain-%02d\",\"weight\":1,\"entry_seats\":3}",
            d > region * 3 ? "," : "", d);
      at += (size_t)snprintf (body + at, sizeof body - at, "]}");
    }
  snprintf (body + at, sizeof body - at,
            "],\"largest_worker\":{\"millicores\":64000,\"memory_mib\":131072,"
            "\"accelerators\":8},\"shards_per_domain\":1}");
  return cyc_str_of (body);
}

static uint64_t
apply_record (struct cyc_ledger *led, struct cyc_str record)
{
  struct cyc_led_effect effect;
  uint64_t offset = cyc_led_next_offset (led);

  cyc_led_apply (led, offset, record, &effect);
  if (effect.result != CYC_LED_ACCEPTED)
    fprintf (stderr, "record refused: %s\n", effect.reason);
  free ((void *)record.data);
  return offset;
}

static uint64_t
apply_item (struct cyc_ledger *led, const char *name, struct cyc_str body,
            uint64_t base, size_t *bytes)
{
  struct cyc_config_edit edit
      = { .name = cyc_str_of (name), .base_version = base, .body = body };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  if (!cyc_rec_config (&id, CYC_STR ("vm-1"), &edit, 1, &record))
    return 0;
  if (bytes != NULL)
    *bytes = record.len;
  return apply_record (led, record);
}

static uint64_t
apply_queue (struct cyc_ledger *led, int queue, uint64_t base, int size,
             size_t *bytes)
{
  char name[64];
  char body[512];

  snprintf (name, sizeof name, "queue/queue-%04d", queue);
  snprintf (body, sizeof body,
            "{\"queue\":\"queue-%04d\",\"team\":\"team-%03d\",\"kind\":"
            "\"batch\",\"urgent\":false,\"open\":false,\"repeatable\":true,"
            "\"tasks\":4,\"millicores\":%d,\"memory_mib\":1024,"
            "\"accelerators\":0,\"run_s\":60,\"spread\":\"none\","
            "\"objective\":{\"answered_within_ms\":60000,\"permille\":990}}",
            queue, queue % TEAMS, 1000 + size);
  return apply_item (led, name, cyc_str_of (body), base, bytes);
}

static void
fill_ledger (struct cyc_ledger *led)
{
  apply_item (led, "fleet", fleet_body (), 0, NULL);
  for (int team = 0; team < TEAMS; team++)
    {
      char name[64];
      char body[256];

      snprintf (name, sizeof name, "team/team-%03d", team);
      snprintf (body, sizeof body,
                "{\"team\":\"team-%03d\",\"share_permille\":1,"
                "\"limit_millicores\":1000000,\"limit_accelerators\":20}",
                team);
      apply_item (led, name, cyc_str_of (body), 0, NULL);
    }
  for (int queue = 0; queue < QUEUES; queue++)
    apply_queue (led, queue, 0, 0, NULL);
}

static void
measure_config (struct cyc_ledger *led)
{
  size_t bytes = 0;
  double start = cpu_us ();
  uint64_t base = cyc_led_item_version (led, CYC_STR ("queue/queue-0000"));

  for (int i = 0; i < 200; i++)
    base = apply_queue (led, 0, base, i + 1, &bytes) + 1;
  print_slope ("configuration change of one queue, apply",
               (cpu_us () - start) / 200, "us");
  print_slope ("configuration change of one queue, record", (double)bytes,
               "bytes");
}

static void
measure_claims (struct cyc_ledger *led)
{
  struct cyc_claim_edit edit = { .step = CYC_CLAIM_TAKE,
                                 .domain = CYC_STR ("domain-00"),
                                 .epoch = 1,
                                 .owner = CYC_STR ("vm-1"),
                                 .incarnation = { { 1 } } };
  struct cyc_id128 id;
  struct cyc_str record;
  size_t bytes = 0;
  double spent_us = 0;

  cyc_id128_random (&id);
  if (cyc_rec_claim (&id, CYC_STR ("vm-1"), &edit, &record))
    apply_record (led, record);
  edit.step = CYC_CLAIM_RENEW;
  for (int i = 0; i < RECORDS; i++)
    {
      double start;

      cyc_id128_random (&id);
      if (!cyc_rec_claim (&id, CYC_STR ("vm-1"), &edit, &record))
        return;
      bytes = record.len;
      start = cpu_us ();
      apply_record (led, record);
      spent_us += cpu_us () - start;
    }
  print_slope ("claim renewal, apply", spent_us / RECORDS, "us");
  print_slope ("claim renewal, record", (double)bytes, "bytes");
}

static void
measure_snapshot (const struct cyc_ledger *led)
{
  struct cyc_str encoded;
  struct cyc_ledger copy;
  struct cyc_findings found = { 0 };
  double start = cpu_us ();

  if (!cyc_led_encode (led, &encoded))
    return;
  print_slope ("snapshot of 510 teams, 5,000 queues, encode",
               (cpu_us () - start) / 1000, "ms");
  print_slope ("snapshot of 510 teams, 5,000 queues", (double)encoded.len,
               "bytes");
  start = cpu_us ();
  if (cyc_led_setup (&copy, &(struct cyc_led_desc){ 0 }, &found))
    {
      cyc_led_load (&copy, encoded, &found);
      print_slope ("snapshot, load", (cpu_us () - start) / 1000, "ms");
      cyc_led_shutdown (&copy);
    }
  free ((void *)encoded.data);
}

static void
measure_ledger (void)
{
  struct cyc_findings found = { 0 };
  size_t bytes;
  struct cyc_ledger led;
  struct cyc_led_desc desc = { .allocator = counting_allocator (&bytes),
                               .max_teams = TEAMS + 1,
                               .max_queues = QUEUES + 1 };

  if (!cyc_led_setup (&led, &desc, &found))
    return;
  fill_ledger (&led);
  print_slope ("ledger of 510 teams, 5,000 queues", (double)bytes / 1e6, "MB");
  measure_config (&led);
  measure_claims (&led);
  measure_snapshot (&led);
  cyc_led_shutdown (&led);
}

/* Records of the intents and jobs streams. */

static void
measure_once (void)
{
  struct cyc_findings found = { 0 };
  struct cyc_once once;
  struct cyc_once_intent intents[INTENTS_PER_BATCH];
  struct cyc_id128 id = { { 1 } };
  struct cyc_str record = { 0 };
  double spent_us = 0;

  if (!cyc_once_setup (&once, &(struct cyc_once_desc){ 0 }, &found))
    return;
  for (uint64_t offset = 0; offset < 200; offset++)
    {
      double start;

      for (int i = 0; i < INTENTS_PER_BATCH; i++)
        {
          cyc_id128_random (&intents[i].request_id);
          cyc_id128_random (&intents[i].body_digest);
          intents[i].deadline_ms = 1700000000000;
        }
      cyc_id128_random (&id);
      if (!cyc_rec_intents (&id, CYC_STR ("vm-1"), &id, intents,
                            INTENTS_PER_BATCH, &record))
        return;
      start = cpu_us ();
      cyc_once_apply (&once, offset, record, 1000);
      spent_us += cpu_us () - start;
      if (offset == 0)
        print_slope ("intent, in a batch of 256",
                     (double)record.len / INTENTS_PER_BATCH, "bytes");
      free ((void *)record.data);
    }
  print_slope ("intent, apply", spent_us / 200 / INTENTS_PER_BATCH, "us");
  cyc_once_shutdown (&once);
}

static void
measure_jobs (void)
{
  struct cyc_findings found = { 0 };
  struct cyc_jobs jobs;
  struct cyc_job_event event = { .kind = CYC_JOB_EVENT_SUBMIT,
                                 .queue = CYC_STR ("queue-0001"),
                                 .team = CYC_STR ("team-001"),
                                 .domain = CYC_STR ("domain-00"),
                                 .queue_version = 100,
                                 .tasks = 4,
                                 .submitted_ms = 1700000000000 };
  struct cyc_id128 id;
  struct cyc_str record = { 0 };
  double spent_us = 0;

  if (!cyc_jobs_setup (&jobs, &(struct cyc_jobs_desc){ 0 }, &found))
    return;
  for (uint64_t offset = 0; offset < RECORDS; offset++)
    {
      double start;

      cyc_id128_random (&id);
      cyc_id128_random (&event.job_id);
      if (!cyc_rec_jobs (&id, CYC_STR ("vm-1"), &event, 1, &record))
        return;
      start = cpu_us ();
      cyc_jobs_apply (&jobs, offset, record, NULL);
      spent_us += cpu_us () - start;
      if (offset == 0)
        print_slope ("job submission, record", (double)record.len, "bytes");
      free ((void *)record.data);
    }
  print_slope ("job submission, apply", spent_us / RECORDS, "us");
  cyc_jobs_shutdown (&jobs);
}

/* Peer messages, including the length prefix of the frame. */

static double
frame_bytes (const Cyc__Peer *message)
{
  return (double)cyc__peer__get_packed_size (message) + FRAME_HEADER_BYTES;
}

static void
measure_heartbeat (void)
{
  Cyc__Heartbeat heartbeat = CYC__HEARTBEAT__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  heartbeat.control_next = 50000000;
  heartbeat.fresh_age_ms = 1500;
  heartbeat.owned_epoch = 5000;
  message.body_case = CYC__PEER__BODY_HEARTBEAT;
  message.heartbeat = &heartbeat;
  print_slope ("peer heartbeat", frame_bytes (&message), "bytes");
}

static void
measure_targets (void)
{
  Cyc__Target rows[TARGETS];
  Cyc__Target *list[TARGETS];
  Cyc__Targets targets = CYC__TARGETS__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  for (int i = 0; i < TARGETS; i++)
    {
      rows[i] = (Cyc__Target)CYC__TARGET__INIT;
      rows[i].worker = (char *)"domain-00-worker-0123";
      rows[i].address = (char *)"http://10.11.12.13:8080";
      rows[i].task = (char *)"svc-queue-0001.domain-00.12";
      rows[i].slots = 8;
      rows[i].connections = 64;
      list[i] = &rows[i];
    }
  targets.epoch = 5000;
  targets.queue = (char *)"queue-0001";
  targets.n_targets = TARGETS;
  targets.targets = list;
  message.body_case = CYC__PEER__BODY_TARGETS;
  message.targets = &targets;
  print_slope ("targets of a queue, per target",
               frame_bytes (&message) / TARGETS, "bytes");
}

static void
measure_grant (void)
{
  Cyc__PermitLent rows[TARGETS];
  Cyc__PermitLent *list[TARGETS];
  Cyc__PermitGrant grant = CYC__PERMIT_GRANT__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  for (int i = 0; i < TARGETS; i++)
    {
      rows[i] = (Cyc__PermitLent)CYC__PERMIT_LENT__INIT;
      rows[i].worker = (char *)"domain-00-worker-0123";
      rows[i].slots = 2;
      rows[i].connections = 8;
      list[i] = &rows[i];
    }
  grant.epoch = 5000;
  grant.valid_for_ms = 5000;
  grant.n_lent = TARGETS;
  grant.lent = list;
  message.body_case = CYC__PEER__BODY_PERMIT_GRANT;
  message.permit_grant = &grant;
  print_slope ("permit grant, per worker", frame_bytes (&message) / TARGETS,
               "bytes");
}

static void
measure_aggregate (void)
{
  static Cyc__TeamUse rows[TEAMS];
  static Cyc__TeamUse *list[TEAMS];
  Cyc__Aggregate aggregate = CYC__AGGREGATE__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  for (int i = 0; i < TEAMS; i++)
    {
      rows[i] = (Cyc__TeamUse)CYC__TEAM_USE__INIT;
      rows[i].team = (char *)"team-123";
      rows[i].used_millicores = 100000;
      rows[i].wanted_millicores = 20000;
      list[i] = &rows[i];
    }
  aggregate.domain = (char *)"domain-00";
  aggregate.epoch = 5000;
  aggregate.free_millicores = 1000000;
  aggregate.n_teams = TEAMS;
  aggregate.teams = list;
  message.body_case = CYC__PEER__BODY_AGGREGATE;
  message.aggregate = &aggregate;
  print_slope ("aggregate, per team", frame_bytes (&message) / TEAMS, "bytes");
}

int
main (void)
{
  printf ("%-44s %14s %s\n", "slope", "value", "unit");
  measure_core ();
  measure_tables ();
  measure_ledger ();
  measure_once ();
  measure_jobs ();
  measure_heartbeat ();
  measure_targets ();
  measure_grant ();
  measure_aggregate ();
  return 0;
}
