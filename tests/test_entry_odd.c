/* Whole VMs that read odd entries, left by another writer, among those of the
   workers. Guards against VMs that end or stop following the workers, and
   against workers that are lost because such an entry stands under their id.
 */

#include "tst_cluster.h"

#include <setjmp.h>
#include <stdarg.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define WORKERS_TOPIC "keyed.servers"
#define DEEP_LEVELS 100000
#define DAY_MS 86400000
/* Entries are read every 400 ms, and workers write theirs every 500 ms. */
#define ODD_INTERVAL_MS 100
#define ODD_ROUNDS 12
#define SETUP_MS 2500
#define JOB_TIMEOUT_MS 6000
#define JOB_BODY                                                              \
  "{\"spec\":\"s\",\"steps\":[{\"count\":8,\"cpu\":4000,\"mem_mb\":10,"       \
  "\"estimate_ms\":200}]}"
#define JOB_TASKS 8

/* An entry; `fields` replaces the members that a worker's own entry has. */
struct odd_entry
{
  const char *description;
  const char *service;
  const char *state;
  const char *address; /**< NULL: the worker's */
  const char *capacity;
  const char *born;
};

#define ROOM "{\"cpu\":8000,\"mem_mb\":100000,\"gpu\":0}"

static const struct odd_entry odd_entries[] = {
  { "a port out of range", "pool", "ready", "127.0.0.1:99999", ROOM, "1" },
  { "port 0", "pool", "ready", "127.0.0.1:0", ROOM, "1" },
  { "no address", "pool", "ready", "", ROOM, "1" },
  { "another path", "pool", "ready", "127.0.0.1:1/-/x?", ROOM, "1" },
  { "a line break", "pool", "ready", "127.0.0.1:1\\r\\nX: y", ROOM, "1" },
  { "an incarnation too large", "pool", "ready", NULL, ROOM,
    "9000000000000000000" },
  { "an incarnation beyond 64 bits", "pool", "ready", NULL, ROOM, "1e300" },
  { "an incarnation of another type", "pool", "ready", NULL, ROOM, "[1]" },
  { "cpu too large", "pool", "ready", NULL,
    "{\"cpu\":1000000000000,\"mem_mb\":100000,\"gpu\":0}", "1" },
  { "no cpu", "pool", "ready", NULL, "{\"mem_mb\":100000,\"gpu\":0}", "1" },
  { "an unknown state", "pool", "odd", NULL, ROOM, "1" },
  { "an unknown service", "other", "ready", NULL, ROOM, "1" },
};

static char *
write_entry (const struct odd_entry *odd, const struct fkp_worker *worker)
{
  char address[32];

  fkp_address (&worker->hs, address);
  return g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"north\","
      "\"state\":\"%s\",\"capacity\":%s,\"labels\":[\"a\",\"r0\"],"
      "\"born\":%s}",
      odd->service, odd->address != NULL ? odd->address : address, odd->state,
      odd->capacity, odd->born);
}

/* Submits a job and waits until it is complete, with each task started once.
   Returns whether it is in time. */
static bool
run_job (struct tst_cluster *cluster, uint32_t number)
{
  uint64_t end_us = hc_now_us () + JOB_TIMEOUT_MS * 1000ULL;
  uint64_t starts = 0;
  char path[64];
  bool complete = false;

  for (uint32_t i = 0; i < cluster->fake.worker_count; i++)
    starts -= cluster->fake.workers[i].starts;
  snprintf (path, sizeof path, "/%s/%016x", number % 2 ? "advised" : "plain",
            number);
  cluster->next_call = 0;
  assert_int_equal (tst_cluster_request (cluster, number % TST_CLUSTER_VMS,
                                         "POST", path, JOB_BODY),
                    PT_ANSWER_ACCEPTED);
  while (!complete && hc_now_us () < end_us)
    {
      tst_cluster_run (cluster, 100);
      cluster->next_call = 0;
      complete = tst_cluster_request (cluster, number % TST_CLUSTER_VMS, "GET",
                                      path, "")
                     == PT_ANSWER_STATE
                 && cluster->answers[0].state == CELL_JOB_COMPLETE;
    }
  for (uint32_t i = 0; i < cluster->fake.worker_count; i++)
    starts += cluster->fake.workers[i].starts;
  return complete && starts == JOB_TASKS;
}

static uint64_t
count_reached (const struct tst_cluster *cluster)
{
  uint64_t count = 0;

  for (uint32_t i = 0; i < cluster->fake.worker_count; i++)
    count += cluster->fake.workers[i].starts > 0;
  return count;
}

/* Odd entries under ids of their own, among which the VMs have to find those
   of the workers, which come in several pages. */
static void
test_odd_entries_beside_workers (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  char *deep = g_strnfill (DEEP_LEVELS, '[');
  static const uint8_t raw[][4]
      = { { 0 }, { 200, 'x' }, { 0, 'x', '{' }, { 2, 0xff, 0xfe, '{' } };
  char long_key[256];

  (void)state;
  tst_cluster_begin (cluster);
  for (size_t i = 0; i < G_N_ELEMENTS (odd_entries); i++)
    {
      char key[32];
      char *value = write_entry (&odd_entries[i], &cluster->fake.workers[0]);

      snprintf (key, sizeof key, "%c-odd%zu", i % 2 ? 'a' : 'z', i);
      fkp_put (&cluster->fake, WORKERS_TOPIC, key, value);
      fkp_put (&cluster->fake, WORKERS_TOPIC, "i-\"quoted\\", value);
      g_free (value);
    }
  memset (long_key, 'i', sizeof long_key - 1);
  long_key[sizeof long_key - 1] = 0;
  fkp_put (&cluster->fake, WORKERS_TOPIC, long_key, "{}");
  fkp_put (&cluster->fake, WORKERS_TOPIC, "i-deep", deep);
  fkp_put (&cluster->fake, WORKERS_TOPIC, "i-bytes", "\x01\xff\xfe{");
  fkp_append (&cluster->fake, WORKERS_TOPIC, raw[0], 0);
  for (size_t i = 0; i < G_N_ELEMENTS (raw); i++)
    fkp_append (&cluster->fake, WORKERS_TOPIC, raw[i], i + 1);
  for (int i = 0; i < 60 && tst_cluster_leader (cluster) == NULL; i++)
    tst_cluster_run (cluster, 50);
  tst_cluster_run (cluster, 900);
  assert_true (run_job (cluster, 1));
  assert_true (run_job (cluster, 2));
  assert_int_equal (count_reached (cluster), cluster->fake.worker_count);
  g_free (deep);
  tst_cluster_teardown (cluster);
  free (cluster);
}

static void
put_under_ids_of_workers (struct tst_cluster *cluster,
                          const struct odd_entry *odd)
{
  for (uint32_t w = 0; w < cluster->fake.worker_count; w++)
    {
      char *value = write_entry (odd, &cluster->fake.workers[w]);

      fkp_put (&cluster->fake, WORKERS_TOPIC, cluster->fake.workers[w].id,
               value);
      g_free (value);
    }
}

/* Odd entries under the ids of all workers, between the workers' own; one
   cluster for each kind of entry. */
static void
test_odd_entries_under_ids_of_workers (void **state)
{
  struct tst_cluster *clusters
      = calloc (G_N_ELEMENTS (odd_entries), sizeof *clusters);
  uint32_t failed = 0;

  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (odd_entries); i++)
    tst_cluster_begin (&clusters[i]);
  tst_cluster_run (&clusters[0], SETUP_MS);
  for (uint32_t round = 0; round < ODD_ROUNDS; round++)
    {
      tst_cluster_run (&clusters[0], ODD_INTERVAL_MS);
      for (size_t i = 0; i < G_N_ELEMENTS (odd_entries); i++)
        put_under_ids_of_workers (&clusters[i], &odd_entries[i]);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (odd_entries); i++)
    {
      if (!run_job (&clusters[i], 1))
        {
          print_message ("  %s: the job is not complete, or was started"
                         " twice\n",
                         odd_entries[i].description);
          failed++;
        }
      tst_cluster_teardown (&clusters[i]);
    }
  free (clusters);
  assert_int_equal (failed, 0);
}

/* An incarnation that begins tomorrow would outdate the worker's reports. */
static void
test_incarnation_of_tomorrow (void **state)
{
  struct tst_cluster *cluster = calloc (1, sizeof *cluster);
  char born[32];
  bool complete;

  (void)state;
  tst_cluster_setup (cluster);
  snprintf (born, sizeof born, "%llu",
            (unsigned long long)hc_wall_ms () + DAY_MS);
  put_under_ids_of_workers (
      cluster, &(struct odd_entry){ "", "pool", "ready", NULL, ROOM, born });
  tst_cluster_run (cluster, 1000);
  complete = run_job (cluster, 1);
  tst_cluster_teardown (cluster);
  free (cluster);
  assert_true (complete);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_odd_entries_beside_workers),
    cmocka_unit_test (test_odd_entries_under_ids_of_workers),
    cmocka_unit_test (test_incarnation_of_tomorrow),
  };

  signal (SIGPIPE, SIG_IGN);
  if (getenv ("TEST_FILTER") != NULL)
    cmocka_set_test_filter (getenv ("TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
