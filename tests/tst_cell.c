#include "tst_cell.h"

#include <arpa/inet.h>
<<<<<<< HEAD
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Below the range from which the kernel takes the ports of clients. */
#define FIRST_PORT 12000
#define PORT_RANGE 18000

static const char short_settings[]
    = "\"claim_lease_ms\":600,\"task_lease_ms\":2000,"
      "\"service_lease_ms\":4000,\"worker_heartbeat_ms\":100,"
      "\"worker_silent_ms\":600,\"worker_timeout_ms\":300,\"tick_ms\":5,"
      "\"peer_heartbeat_ms\":100,\"peer_silent_ms\":400,"
      "\"peer_dead_ms\":1000,\"once_window_ms\":600000,"
      "\"answer_keep_ms\":10000,\"drain_ms\":3000,\"silent_ms\":600,"
      "\"permit_lease_ms\":800,\"request_max_ms\":4000,"
      "\"keys\":{\"stale_ms\":1500,\"stale_max_ms\":20000},";

static const char *const config_files[][2] = {
  { "fleet.json",
    "{\"regions\":[{\"name\":\"north\",\"domains\":[{\"name\":\"north-a\","
    "\"weight\":1,\"entry_seats\":2}]},{\"name\":\"south\",\"domains\":[{"
    "\"name\":\"south-a\",\"weight\":1,\"entry_seats\":2}]}],"
    "\"largest_worker\":{\"millicores\":8000,\"memory_mib\":16384,"
    "\"accelerators\":0},\"shards_per_domain\":1}" },
  { "alpha.team.json",
    "{\"team\":\"alpha\",\"share_permille\":500,\"limit_millicores\":32000,"
    "\"limit_accelerators\":0}" },
  { "beta.team.json",
    "{\"team\":\"beta\",\"share_permille\":400,\"limit_millicores\":4000,"
    "\"limit_accelerators\":0}" },
  { "plan.job.json",
    "{\"queue\":\"plan\",\"team\":\"alpha\",\"kind\":\"service\",\"urgent\":"
    "true,\"open\":false,\"repeatable\":true,\"tasks\":4,\"millicores\":1000,"
    "\"memory_mib\":512,\"accelerators\":0,\"run_s\":0,\"spread\":\"rack\"}" },
  { "check.job.json",
    "{\"queue\":\"check\",\"team\":\"alpha\",\"kind\":\"service\",\"urgent\":"
    "false,\"open\":false,\"repeatable\":false,\"tasks\":4,\"millicores\":"
    "1000,\"memory_mib\":512,\"accelerators\":0,\"run_s\":0,\"spread\":"
    "\"rack\"}" },
  { "tally.job.json",
    "{\"queue\":\"tally\",\"team\":\"beta\",\"kind\":\"batch\",\"urgent\":"
    "false,\"open\":false,\"repeatable\":true,\"tasks\":2,\"millicores\":500,"
    "\"memory_mib\":256,\"accelerators\":0,\"run_s\":1,\"spread\":\"none\"}" },
  { "train.job.json",
    "{\"queue\":\"train\",\"team\":\"beta\",\"kind\":\"gang\",\"urgent\":"
    "false,\"open\":false,\"repeatable\":true,\"tasks\":2,\"millicores\":700,"
    "\"memory_mib\":256,\"accelerators\":0,\"run_s\":1,\"spread\":\"none\"}" },
};

void
tst_violation (struct tst_cell *cell, const char *format, ...)
{
  va_list arguments;

  if (cell->violation_count == TST_MAX_VIOLATIONS)
    return;
  va_start (arguments, format);
  vsnprintf (cell->violations[cell->violation_count++],
             sizeof cell->violations[0], format, arguments);
  va_end (arguments);
}

static bool
port_is_free (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool is_free
      = bind (fd, (const struct sockaddr *)&address, sizeof address) == 0;

  close (fd);
  return is_free;
}

static uint16_t
next_port (uint32_t *cursor)
{
  uint16_t port;

  do
    port = (uint16_t)(FIRST_PORT + (*cursor)++ % PORT_RANGE);
  while (!port_is_free (port));
  return port;
}

static pid_t
spawn (struct tst_cell *cell, const char *log_name, char *const *arguments)
{
  char path[1100];
  int fd;
  pid_t pid;

  snprintf (path, sizeof path, "%s/%s.log", cell->dir, log_name);
  fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execv (arguments[0], arguments);
      _exit (127);
    }
  close (fd);
  return pid;
}

static bool
wait_port (struct tst_cell *cell, const char *log_name, uint16_t *port)
{
  uint64_t deadline_ms = tst_now_ms () + 5000;
  char path[1100];
  gchar *text = NULL;

  snprintf (path, sizeof path, "%s/%s.log", cell->dir, log_name);
  while (tst_now_ms () < deadline_ms)
    {
      const char *found = NULL;

      if (g_file_get_contents (path, &text, NULL, NULL)
          && (found = strstr (text, "port=")) != NULL
          && strchr (found, '\n') != NULL)
        *port = (uint16_t)strtoul (found + 5, NULL, 10);
      g_free (text);
      text = NULL;
      if (*port != 0)
        return true;
      tst_step ();
    }
  tst_violation (cell, "%s did not start", log_name);
  return false;
}

static bool
start_fake (struct tst_cell *cell, uint32_t index, const char *program,
            uint16_t *port, const char *option, const char *value)
{
  char path[1100];

  snprintf (path, sizeof path, "%s/%s", cell->bin, program);
  cell->fakes[index]
      = spawn (cell, program,
               (char *const[]){ path, (char *)option, (char *)value, NULL });
  return wait_port (cell, program, port);
}

static bool
start_fakes (struct tst_cell *cell)
{
  char path[1100];
  GString *text = g_string_new ("{\"workers\":[");
  bool done;

  for (uint32_t i = 0; i < TST_DOMAINS * TST_WORKERS_PER_DOMAIN; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"w%u\",\"domain\":\"%s\",\"rack\":\"r%u\",\"millicores\""
        ":8000,\"memory_mib\":16384,\"slots\":8,\"connections\":64}",
        i ? "," : "", i, i < TST_WORKERS_PER_DOMAIN ? "north-a" : "south-a",
        i / 2);
  g_string_append (text, "]}");
  snprintf (path, sizeof path, "%s/workers.json", cell->dir);
  g_file_set_contents (path, text->str, -1, NULL);
  g_string_free (text, TRUE);
  done = start_fake (cell, 0, "fake-log", &cell->log_port, NULL, NULL)
         && start_fake (cell, 1, "fake-vms", &cell->vms_port, NULL, NULL)
         && start_fake (cell, 2, "fake-workers", &cell->workers_port, "--file",
                        path);
  if (done)
    {
      tst_cell_fault (cell, cell->workers_port, "{\"service_ms\":20}");
      tst_cell_sync_vms (cell);
    }
  return done;
}

const char *
tst_cell_settings (const struct tst_cell *cell, uint32_t vm, char out[600])
{
  snprintf (out, 600, "%s/%s.json", cell->dir, cell->vms[vm].name);
  return out;
}

static void
write_settings (struct tst_cell *cell, uint32_t index)
{
  const struct tst_vm *vm = &cell->vms[index];
  GString *text = g_string_new ("{");
  char path[600];

  g_string_append_printf (
      text,
      "%s\"vm\":\"%s\",\"domain\":\"%s\",\"region\":\"%s\",\"seat\":%u,"
      "\"gateway\":{\"http\":\"127.0.0.1:%u\",\"peer\":\"127.0.0.1:%u\"},"
      "\"scheduler\":{\"http\":\"127.0.0.1:%u\",\"peer\":\"127.0.0.1:%u\"},"
      "\"log\":{\"url\":\"http://127.0.0.1:%u\",\"timeout_ms\":500,"
      "\"snapshot_records\":20,"
      "\"wait_ms\":300},\"vm_list\":{\"url\":\"http://127.0.0.1:%u\","
      "\"poll_ms\":200},\"peers\":[",
      short_settings, vm->name, vm->domain, vm->region, vm->seat, vm->ports[0],
      vm->ports[1], vm->ports[2], vm->ports[3], cell->log_port,
      cell->vms_port);
  for (uint32_t i = 0; i < TST_VMS * 2; i++)
    {
      const struct tst_vm *peer = &cell->vms[i / 2];

      g_string_append_printf (
          text,
          "%s{\"vm\":\"%s\",\"domain\":\"%s\",\"region\":\"%s\",\"role\":"
          "\"%s\",\"address\":\"127.0.0.1:%u\",\"http\":\"127.0.0.1:%u\"}",
          i ? "," : "", peer->name, peer->domain, peer->region,
          i % 2 ? "scheduler" : "gateway", peer->ports[i % 2 ? 3 : 1],
          peer->ports[i % 2 ? 2 : 0]);
    }
  g_string_append (text, "]}");
  g_file_set_contents (tst_cell_settings (cell, index, path), text->str, -1,
                       NULL);
  g_string_free (text, TRUE);
}

static void
lay_out (struct tst_cell *cell)
{
  uint32_t cursor = (uint32_t)getpid () * 64;
  char path[1200];
  char *slash;

  if (readlink ("/proc/self/exe", cell->bin, sizeof cell->bin - 1) > 0
      && (slash = strrchr (cell->bin, '/')) != NULL)
    *slash = '\0';
  snprintf (path, sizeof path, "%s/cyc-%s-XXXXXX", g_get_tmp_dir (),
            cell->name);
  g_strlcpy (cell->dir, g_mkdtemp (path), sizeof cell->dir);
  snprintf (path, sizeof path, "%s/config", cell->dir);
  g_mkdir_with_parents (path, 0700);
  for (size_t i = 0; i < G_N_ELEMENTS (config_files); i++)
    {
      snprintf (path, sizeof path, "%s/config/%s", cell->dir,
                config_files[i][0]);
      g_file_set_contents (path, config_files[i][1], -1, NULL);
    }
  for (uint32_t i = 0; i < TST_VMS; i++)
    {
      struct tst_vm *vm = &cell->vms[i];
      const char *side = i < TST_VMS / TST_DOMAINS ? "north" : "south";

      vm->seat = i % (TST_VMS / TST_DOMAINS);
      snprintf (vm->name, sizeof vm->name, "%s-a-%u", side, vm->seat + 1);
      snprintf (vm->domain, sizeof vm->domain, "%s-a", side);
      snprintf (vm->region, sizeof vm->region, "%s", side);
      for (uint32_t p = 0; p < 4; p++)
        vm->ports[p] = next_port (&cursor);
    }
}

bool
tst_cell_run (struct tst_cell *cell, uint32_t vm, enum tst_role role)
{
  char path[600];
  char program[1100];
  char log_name[80];
  char *role_name = role == TST_GATEWAY ? "gateway" : "scheduler";

  snprintf (program, sizeof program, "%s/cyclamendrum", cell->bin);
  snprintf (log_name, sizeof log_name, "%s-%s", cell->vms[vm].name, role_name);
  tst_cell_settings (cell, vm, path);
  cell->vms[vm].pids[role] = spawn (
      cell, log_name,
      (char *const[]){ program, role_name, "--settings", path, NULL });
  cell->vms[vm].alive[role] = cell->vms[vm].pids[role] > 0;
  return cell->vms[vm].alive[role];
}

static bool
grant_key (struct tst_cell *cell, const char *team, char out[96])
{
  char path[600];
  int status = tst_cell_command (
      cell,
      (const char *const[]){ "key", "grant", "--settings",
                             tst_cell_settings (cell, 0, path), "--team", team,
                             NULL },
      out, 96);

  out[strcspn (out, "\r\n")] = '\0';
  if (status != 0 || out[0] == '\0')
    tst_violation (cell, "key grant --team %s: exit status %d", team, status);
  return status == 0 && out[0] != '\0';
}

static bool
publish_config (struct tst_cell *cell)
{
  char path[600];
  char config[600];
  char out[1024];
  int status;

  snprintf (config, sizeof config, "%s/config", cell->dir);
  status = tst_cell_command (
      cell,
      (const char *const[]){ "publish", "--settings",
                             tst_cell_settings (cell, 0, path), config, NULL },
      out, sizeof out);
  if (status != 0)
    tst_violation (cell, "publish: exit status %d: %.180s", status, out);
  return status == 0;
}

bool
tst_cell_start (struct tst_cell *cell, const char *name)
{
  memset (cell, 0, sizeof *cell);
  cell->name = name;
  lay_out (cell);
  if (!start_fakes (cell))
    return false;
  for (uint32_t i = 0; i < TST_VMS; i++)
    write_settings (cell, i);
  if (!publish_config (cell) || !grant_key (cell, "alpha", cell->alpha_key)
      || !grant_key (cell, "beta", cell->beta_key))
    return false;
  for (uint32_t i = 0; i < TST_VMS * 2; i++)
    if (!tst_cell_run (cell, i / 2, i % 2 ? TST_SCHEDULER : TST_GATEWAY))
      return false;
  return true;
}

static void
remove_directory (const char *path)
{
  GDir *dir = g_dir_open (path, 0, NULL);
  const gchar *entry;

  while (dir != NULL && (entry = g_dir_read_name (dir)) != NULL)
    {
      gchar *file = g_build_filename (path, entry, NULL);

      if (g_file_test (file, G_FILE_TEST_IS_DIR))
        remove_directory (file);
      else
        unlink (file);
      g_free (file);
    }
  if (dir != NULL)
    g_dir_close (dir);
  rmdir (path);
}

static void
end_process (pid_t pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

void
tst_cell_stop (struct tst_cell *cell)
{
  for (uint32_t i = 0; i < TST_VMS * 2; i++)
    end_process (cell->vms[i / 2].pids[i % 2]);
  for (uint32_t i = 0; i < 3; i++)
    end_process (cell->fakes[i]);
  if (cell->violation_count == 0)
    remove_directory (cell->dir);
=======
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

static uint16_t
free_port (void)
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
cell_setup (struct cell *cell, uint32_t workers)
{
  struct cyc_findings found = { 0 };
  char url[64];

  memset (cell, 0, sizeof *cell);
  cell->loop = ev_loop_new (0);
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
cell_shutdown (struct cell *cell)
{
  for (uint32_t i = 0; i < cell->scheduler_count; i++)
    if (cell->schedulers[i] != NULL)
      cell_kill (cell, cell->schedulers[i]);
  lc_http_shutdown (&cell->client);
  hc_shutdown (&cell->hc);
  fk_workers_shutdown (&cell->workers);
  fk_vms_shutdown (&cell->vms);
  fk_log_shutdown (&cell->log);
  ev_loop_destroy (cell->loop);
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

  assert_int_equal (result->fate, LC_OK);
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
            vm, domain, free_port (), free_port (), fk_port (&cell->log.hs),
            fk_port (&cell->vms.hs));
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
  return ((struct sc_scheduler *)sc)->acting;
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
>>>>>>> scheduler
}
