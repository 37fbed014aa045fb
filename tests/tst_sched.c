#include "tst_sched.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

/** Ports below those that the kernel gives to outgoing connections, which may
 * take a port between the choice and its use. */
#define PORT_FIRST 10000
#define PORT_COUNT 20000

uint16_t
tst_sched_free_port (void)
{
  static uint32_t next;

  if (next == 0)
    next = (uint32_t)getpid () * 131;
  for (uint32_t i = 0; i < PORT_COUNT; i++)
    {
      uint16_t port = (uint16_t)(PORT_FIRST + next++ % PORT_COUNT);
      struct sockaddr_in address
          = { .sin_family = AF_INET, .sin_port = htons (port) };
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      int bound;

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      bound = bind (fd, (struct sockaddr *)&address, sizeof address);
      close (fd);
      if (bound == 0)
        return port;
    }
  fail_msg ("no port is free");
  return 0;
}

void
tst_sched_update_vm_list (struct tst_sched_env *env)
{
  json_object_put (env->vms.current_list);
  env->vms.current_list = fk_workers_vms (&env->workers);
}

void
tst_sched_add_worker (struct tst_sched_env *env, const char *name,
                      const char *domain)
{
  char text[256];
  struct json_object *json;

  snprintf (text, sizeof text,
            "{\"workers\":[{\"name\":\"%s\",\"domain\":\"%s\",\"rack\":"
            "\"r-%c\",\"millicores\":4000,\"memory_mib\":16384}]}",
            name, domain, name[strlen (name) - 1] % 2 ? 'a' : 'b');
  json = json_tokener_parse (text);
  assert_true (fk_workers_add (&env->workers, json));
  json_object_put (json);
  tst_sched_update_vm_list (env);
}

void
tst_sched_setup (struct tst_sched_env *env, uint32_t workers)
{
  struct cyc_findings found = { 0 };
  char url[64];

  memset (env, 0, sizeof *env);
  env->loop = ev_default_loop (0);
  assert_true (fk_log_setup (&env->log, env->loop, 0, &found));
  assert_true (fk_vms_setup (&env->vms, env->loop, 0, &found));
  assert_true (fk_workers_setup (&env->workers, env->loop, 0, 10, &found));
  for (uint32_t i = 0; i < workers; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "w-%u", i);
      tst_sched_add_worker (env, name, "north-a");
    }
  assert_true (
      hc_setup (&env->hc, &(struct hc_desc){ .loop = env->loop }, &found));
  snprintf (url, sizeof url, "http://127.0.0.1:%u", fk_port (&env->log.hs));
  assert_true (lc_http_setup (
      &env->client,
      &(struct lc_http_desc){ .client = &env->hc, .url = cyc_str_of (url) },
      &found));
}

void
tst_sched_shutdown (struct tst_sched_env *env)
{
  for (uint32_t i = 0; i < env->scheduler_count; i++)
    if (env->schedulers[i] != NULL)
      tst_sched_kill (env, env->schedulers[i]);
  lc_http_shutdown (&env->client);
  hc_shutdown (&env->hc);
  fk_workers_shutdown (&env->workers);
  fk_vms_shutdown (&env->vms);
  fk_log_shutdown (&env->log);
}

struct fk_worker *
tst_sched_find_worker (struct tst_sched_env *env, const char *name)
{
  for (uint32_t i = 0; i < env->workers.worker_count; i++)
    if (strcmp (env->workers.workers[i]->name, name) == 0)
      return env->workers.workers[i];
  return NULL;
}

static void
on_append (void *user, const struct lc_append_result *result)
{
  bool *done = user;

  assert_int_equal (result->outcome, LC_OK);
  *done = true;
}

static bool
is_true (void *user)
{
  return *(bool *)user;
}

void
tst_sched_append (struct tst_sched_env *env, const char *stream,
                  struct cyc_str record)
{
  bool done = false;

  assert_true (lc_append (
      &env->client.log,
      &(struct lc_append){ .stream = cyc_str_of (stream),
                           .record = record,
                           .deadline_us = hc_now_us () + 2 * SC_US_PER_S,
                           .done = on_append,
                           .user = &done }));
  assert_true (tst_sched_run_until (env, is_true, &done, 3000));
  free ((void *)record.data);
}

void
tst_sched_publish (struct tst_sched_env *env, const char *item,
                   const char *body)
{
  struct cyc_config_edit edit
      = { .name = cyc_str_of (item), .body = cyc_str_of (body) };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_config (&id, CYC_STR ("operator"), &edit, 1, &record));
  tst_sched_append (env, "control", record);
}

void
tst_sched_publish_team (struct tst_sched_env *env, const char *team,
                        uint64_t limit)
{
  char body[256];
  char item[80];

  snprintf (item, sizeof item, "team/%s", team);
  snprintf (body, sizeof body,
            "{\"team\":\"%s\",\"share_permille\":400,"
            "\"limit_millicores\":%" PRIu64 ",\"limit_accelerators\":0}",
            team, limit);
  tst_sched_publish (env, item, body);
}

void
tst_sched_publish_queue (struct tst_sched_env *env, const char *queue,
                         const char *team, const char *kind, uint32_t tasks,
                         uint32_t run_s, bool repeatable)
{
  char body[512];
  char item[80];
  int len;

  snprintf (item, sizeof item, "queue/%s", queue);
  len = snprintf (body, sizeof body,
                  "{\"queue\":\"%s\",\"team\":\"%s\",\"kind\":\"%s\","
                  "\"tasks\":%u,\"millicores\":1000,\"memory_mib\":512,"
                  "\"repeatable\":%s",
                  queue, team, kind, tasks, repeatable ? "true" : "false");
  if (run_s > 0)
    len += snprintf (body + len, sizeof body - (size_t)len, ",\"run_s\":%u",
                     run_s);
  snprintf (body + len, sizeof body - (size_t)len, "}");
  tst_sched_publish (env, item, body);
}

struct cyc_id128
tst_sched_submit (struct tst_sched_env *env, const char *queue,
                  const char *team, uint32_t tasks)
{
  struct cyc_job_event event = {
    .kind = CYC_JOB_EVENT_SUBMIT,
    .queue = cyc_str_of (queue),
    .queue_version = 1,
    .team = cyc_str_of (team),
    .domain = CYC_STR ("north-a"),
    .tasks = tasks,
    .submitted_ms = hc_wall_ms (),
  };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&event.job_id);
  cyc_id128_random (&id);
  assert_true (cyc_rec_jobs (&id, CYC_STR ("entry-9"), &event, 1, &record));
  tst_sched_append (env, "jobs", record);
  return event.job_id;
}

static void
fill_settings (struct tst_sched_env *env, const char *vm, const char *domain,
               struct set_settings *out)
{
  char text[1024];
  struct cyc_findings found = { 0 };

  snprintf (text, sizeof text,
            "{\"vm\":\"%s\",\"domain\":\"%s\",\"region\":\"north\",\"seat\":0,"
            "\"gateway\":{\"http\":\"127.0.0.1:1\",\"peer\":\"127.0.0.1:2\"},"
            "\"scheduler\":{\"http\":\"127.0.0.1:%u\","
            "\"peer\":\"127.0.0.1:%u\"},"
            "\"log\":{\"url\":\"http://127.0.0.1:%u\",\"timeout_ms\":400,"
            "\"wait_ms\":300},"
            "\"vm_list\":{\"url\":\"http://127.0.0.1:%u\",\"poll_ms\":100},"
            "\"claim_lease_ms\":600,\"task_lease_ms\":1500,"
            "\"service_lease_ms\":4000,\"worker_heartbeat_ms\":100,"
            "\"worker_silent_ms\":600,\"worker_timeout_ms\":300,"
            "\"permit_lease_ms\":1000,\"tick_ms\":5,\"clock_error_ms\":50,"
            "\"peer_heartbeat_ms\":100,\"peer_silent_ms\":400,"
            "\"peer_dead_ms\":1000}",
            vm, domain, tst_sched_free_port (), tst_sched_free_port (),
            fk_port (&env->log.hs), fk_port (&env->vms.hs));
  if (!set_parse (cyc_str_of (text), CYC_STR ("test"), out, &found))
    fail_msg ("%s %s", found.rows[0].place, found.rows[0].text);
}

struct sc_scheduler *
tst_sched_start (struct tst_sched_env *env, const char *vm, const char *domain)
{
  struct set_settings *settings = calloc (1, sizeof *settings);
  struct sc_scheduler *sc = calloc (1, sizeof *sc);
  struct cyc_findings found = { 0 };
  struct set_peer *peer = &env->peers[env->scheduler_count];

  fill_settings (env, vm, domain, settings);
  for (uint32_t i = 0; i < env->scheduler_count; i++)
    settings->peers[settings->peer_count++] = env->peers[i];
  peer->vm = settings->vm;
  peer->domain = settings->domain;
  peer->region = settings->region;
  peer->role = SET_ROLE_SCHEDULER;
  peer->address = settings->scheduler_peer;
  if (!sc_setup (sc, settings, env->loop, &found))
    fail_msg ("%s %s", found.rows[0].place, found.rows[0].text);
  for (uint32_t i = 0; i < env->scheduler_count; i++)
    if (env->schedulers[i] != NULL)
      pl_peer_add (&env->schedulers[i]->links, peer);
  free (settings);
  env->schedulers[env->scheduler_count++] = sc;
  return sc;
}

void
tst_sched_kill (struct tst_sched_env *env, struct sc_scheduler *sc)
{
  for (uint32_t i = 0; i < env->scheduler_count; i++)
    if (env->schedulers[i] == sc)
      env->schedulers[i] = NULL;
  sc_shutdown (sc);
  free (sc);
}

static void
on_timeout (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  *(bool *)timer->data = true;
}

bool
tst_sched_run_until (struct tst_sched_env *env, bool (*test) (void *user),
                     void *user, uint32_t timeout_ms)
{
  struct ev_timer timeout;
  bool timed_out = false;

  ev_timer_init (&timeout, on_timeout, timeout_ms / 1000.0, 0);
  timeout.data = &timed_out;
  ev_now_update (env->loop);
  ev_timer_start (env->loop, &timeout);
  while (!timed_out && !test (user))
    ev_run (env->loop, EVRUN_ONCE);
  ev_timer_stop (env->loop, &timeout);
  return test (user);
}

static bool
always_false (void *user)
{
  (void)user;
  return false;
}

void
tst_sched_run (struct tst_sched_env *env, uint32_t ms)
{
  tst_sched_run_until (env, always_false, NULL, ms);
}

bool
tst_sched_starts_allowed (void *sc)
{
  return ((struct sc_scheduler *)sc)->starts_allowed;
}

/* A running task, as the journal shows it. */
struct run
{
  char worker[64];
  int64_t millicores;
};

static void
count_start (GHashTable *runs, struct json_object *event,
             struct tst_sched_summary *out, uint64_t *running)
{
  const char *task = fk_text (event, "task", "");
  struct run *run = g_new0 (struct run, 1);

  if (g_hash_table_contains (runs, task))
    out->overlaps++;
  g_strlcpy (run->worker, fk_text (event, "worker", ""), sizeof run->worker);
  run->millicores = fk_int (event, "millicores", 0);
  g_hash_table_insert (runs, g_strdup (task), run);
  out->starts++;
  *running += (uint64_t)run->millicores;
  if (*running > out->peak_millicores)
    out->peak_millicores = *running;
}

static void
count_end (GHashTable *runs, struct json_object *event,
           struct tst_sched_summary *out, uint64_t *running)
{
  const char *task = fk_text (event, "task", "");
  struct run *run = g_hash_table_lookup (runs, task);

  if (strcmp (fk_text (event, "state", ""), "done") == 0)
    out->completed++;
  if (strcmp (fk_text (event, "kind", ""), "service") == 0
      && strcmp (fk_text (event, "reason", ""), "stopped by the owner") == 0)
    out->replicas_stopped++;
  if (run == NULL || strcmp (run->worker, fk_text (event, "worker", "")) != 0)
    return;
  *running -= (uint64_t)run->millicores;
  g_hash_table_remove (runs, task);
}

void
tst_sched_summary (const struct tst_sched_env *env,
                   struct tst_sched_summary *out)
{
  GHashTable *runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GString *text = env->workers.journal.lines;
  gchar **lines = g_strsplit (text != NULL ? text->str : "", "\n", -1);
  uint64_t running = 0;

  memset (out, 0, sizeof *out);
  for (gchar **line = lines; *line != NULL; line++)
    {
      struct json_object *event = json_tokener_parse (*line);
      const char *kind;

      if (event == NULL)
        continue;
      kind = fk_text (event, "event", "");
      if (strcmp (kind, "start") == 0)
        count_start (runs, event, out, &running);
      else if (strcmp (kind, "end") == 0)
        count_end (runs, event, out, &running);
      else if (strcmp (kind, "overrun") == 0)
        out->overruns++;
      json_object_put (event);
    }
  g_strfreev (lines);
  g_hash_table_destroy (runs);
}
