#include "tst_cell.h"

#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

uint16_t
cell_free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  getsockname (fd, (struct sockaddr *)&address, &len);
  close (fd);
  return ntohs (address.sin_port);
}

void
cell_show_vms (struct cell *cell)
{
  json_object_put (cell->vms.shown);
  cell->vms.shown = fk_workers_vms (&cell->workers);
}

void
cell_add_worker (struct cell *cell, const char *name, const char *domain)
{
  char text[256];
  struct json_object *json;

  snprintf (text, sizeof text,
            "{\"workers\":[{\"name\":\"%s\",\"domain\":\"%s\",\"rack\":"
            "\"r-%c\",\"millicores\":4000,\"memory_mib\":16384}]}",
            name, domain, name[strlen (name) - 1] % 2 ? 'a' : 'b');
  json = json_tokener_parse (text);
  assert_true (fk_workers_add (&cell->workers, json));
  json_object_put (json);
  cell_show_vms (cell);
}

void
domain_cell_setup (struct cell *cell, uint32_t workers)
{
  struct cyc_findings found = { 0 };
  char url[64];

  memset (cell, 0, sizeof *cell);
  cell->loop = ev_default_loop (0);
  assert_true (fk_log_setup (&cell->log, cell->loop, 0, &found));
  assert_true (fk_vms_setup (&cell->vms, cell->loop, 0, &found));
  assert_true (fk_workers_setup (&cell->workers, cell->loop, 0, 10, &found));
  for (uint32_t i = 0; i < workers; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "w-%u", i);
      cell_add_worker (cell, name, "north-a");
    }
  assert_true (
      hc_setup (&cell->hc, &(struct hc_desc){ .loop = cell->loop }, &found));
  snprintf (url, sizeof url, "http://127.0.0.1:%u", fk_port (&cell->log.hs));
  assert_true (lc_http_setup (
      &cell->client,
      &(struct lc_http_desc){ .client = &cell->hc, .url = cyc_str_of (url) },
      &found));
}

void
domain_cell_shutdown (struct cell *cell)
{
  for (uint32_t i = 0; i < cell->scheduler_count; i++)
    if (cell->schedulers[i] != NULL)
      cell_kill (cell, cell->schedulers[i]);
  lc_http_shutdown (&cell->client);
  hc_shutdown (&cell->hc);
  fk_workers_shutdown (&cell->workers);
  fk_vms_shutdown (&cell->vms);
  fk_log_shutdown (&cell->log);
}

struct fk_worker *
cell_worker (struct cell *cell, const char *name)
{
  for (uint32_t i = 0; i < cell->workers.worker_count; i++)
    if (strcmp (cell->workers.workers[i]->name, name) == 0)
      return cell->workers.workers[i];
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
cell_append (struct cell *cell, const char *stream, struct cyc_str record)
{
  bool done = false;

  assert_true (lc_append (
      &cell->client.log,
      &(struct lc_append){ .stream = cyc_str_of (stream),
                           .record = record,
                           .deadline_us = hc_now_us () + 2 * SC_US_PER_S,
                           .done = on_append,
                           .user = &done }));
  assert_true (cell_until (cell, is_true, &done, 3000));
  free ((void *)record.data);
}

void
cell_publish (struct cell *cell, const char *item, const char *body)
{
  struct cyc_config_edit edit
      = { .name = cyc_str_of (item), .body = cyc_str_of (body) };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_config (&id, CYC_STR ("operator"), &edit, 1, &record));
  cell_append (cell, "control", record);
}

void
cell_team (struct cell *cell, const char *team, uint64_t limit)
{
  char body[256];
  char item[80];

  snprintf (item, sizeof item, "team/%s", team);
  snprintf (body, sizeof body,
            "{\"team\":\"%s\",\"share_permille\":400,"
            "\"limit_millicores\":%" PRIu64 ",\"limit_accelerators\":0}",
            team, limit);
  cell_publish (cell, item, body);
}

void
cell_queue (struct cell *cell, const char *queue, const char *team,
            const char *kind, uint32_t tasks, uint32_t run_s, bool repeatable)
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
  cell_publish (cell, item, body);
}

struct cyc_id128
cell_submit (struct cell *cell, const char *queue, const char *team,
             uint32_t tasks)
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
  cell_append (cell, "jobs", record);
  return event.job_id;
}

static void
fill_settings (struct cell *cell, const char *vm, const char *domain,
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
            vm, domain, cell_free_port (), cell_free_port (),
            fk_port (&cell->log.hs), fk_port (&cell->vms.hs));
  if (!set_parse (cyc_str_of (text), CYC_STR ("cell"), out, &found))
    fail_msg ("%s %s", found.rows[0].place, found.rows[0].text);
}

struct sc_scheduler *
cell_scheduler (struct cell *cell, const char *vm, const char *domain)
{
  struct set_settings *settings = calloc (1, sizeof *settings);
  struct sc_scheduler *sc = calloc (1, sizeof *sc);
  struct cyc_findings found = { 0 };
  struct set_peer *peer = &cell->peers[cell->scheduler_count];

  fill_settings (cell, vm, domain, settings);
  for (uint32_t i = 0; i < cell->scheduler_count; i++)
    settings->peers[settings->peer_count++] = cell->peers[i];
  peer->vm = settings->vm;
  peer->domain = settings->domain;
  peer->region = settings->region;
  peer->role = SET_ROLE_SCHEDULER;
  peer->address = settings->scheduler_peer;
  if (!sc_setup (sc, settings, cell->loop, &found))
    fail_msg ("%s %s", found.rows[0].place, found.rows[0].text);
  for (uint32_t i = 0; i < cell->scheduler_count; i++)
    if (cell->schedulers[i] != NULL)
      pl_peer_add (&cell->schedulers[i]->links, peer);
  free (settings);
  cell->schedulers[cell->scheduler_count++] = sc;
  return sc;
}

void
cell_kill (struct cell *cell, struct sc_scheduler *sc)
{
  for (uint32_t i = 0; i < cell->scheduler_count; i++)
    if (cell->schedulers[i] == sc)
      cell->schedulers[i] = NULL;
  sc_shutdown (sc);
  free (sc);
}

static void
on_limit (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  *(bool *)timer->data = true;
}

bool
cell_until (struct cell *cell, bool (*test) (void *user), void *user,
            uint32_t limit_ms)
{
  struct ev_timer limit;
  bool over = false;

  ev_timer_init (&limit, on_limit, limit_ms / 1000.0, 0);
  limit.data = &over;
  ev_now_update (cell->loop);
  ev_timer_start (cell->loop, &limit);
  while (!over && !test (user))
    ev_run (cell->loop, EVRUN_ONCE);
  ev_timer_stop (cell->loop, &limit);
  return test (user);
}

static bool
is_never (void *user)
{
  (void)user;
  return false;
}

void
cell_run (struct cell *cell, uint32_t ms)
{
  cell_until (cell, is_never, NULL, ms);
}

bool
cell_acting (void *sc)
{
  return ((struct sc_scheduler *)sc)->starts_allowed;
}

/* Runs of a task by its name, from the journal. */
struct run
{
  char worker[64];
  int64_t millicores;
};

static void
note_start (GHashTable *runs, struct json_object *event,
            struct cell_facts *out, uint64_t *running)
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
note_end (GHashTable *runs, struct json_object *event, struct cell_facts *out,
          uint64_t *running)
{
  const char *task = fk_text (event, "task", "");
  struct run *run = g_hash_table_lookup (runs, task);

  if (strcmp (fk_text (event, "state", ""), "done") == 0)
    out->done++;
  if (strcmp (fk_text (event, "kind", ""), "service") == 0
      && strcmp (fk_text (event, "reason", ""), "stopped by the owner") == 0)
    out->replicas_stopped++;
  if (run == NULL || strcmp (run->worker, fk_text (event, "worker", "")) != 0)
    return;
  *running -= (uint64_t)run->millicores;
  g_hash_table_remove (runs, task);
}

void
cell_facts (const struct cell *cell, struct cell_facts *out)
{
  GHashTable *runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GString *text = cell->workers.journal.lines;
  gchar **lines = g_strsplit (text != NULL ? text->str : "", "\n", -1);
  uint64_t running = 0;

  memset (out, 0, sizeof *out);
  for (gchar **line = lines; *line != NULL; line++)
    {
      struct json_object *event = json_tokener_parse (*line);
      const char *word;

      if (event == NULL)
        continue;
      word = fk_text (event, "event", "");
      if (strcmp (word, "start") == 0)
        note_start (runs, event, out, &running);
      else if (strcmp (word, "end") == 0)
        note_end (runs, event, out, &running);
      else if (strcmp (word, "overrun") == 0)
        out->overruns++;
      json_object_put (event);
    }
  g_strfreev (lines);
  g_hash_table_destroy (runs);
}
