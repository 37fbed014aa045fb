#include "tst_site.h"

#include <arpa/inet.h>
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

/* The range lies below the kernel's ephemeral ports, so that an outgoing
   connection does not take a port that is assigned to a process. */
#define FIRST_PORT 12000
#define PORT_COUNT 18000

static const char short_timeout_settings[]
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
    "\"largest_worker\":{\"millicores\":2500,\"memory_mib\":16384,"
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
  { "invoice.job.json",
    "{\"queue\":\"invoice\",\"team\":\"beta\",\"kind\":\"batch\",\"urgent\":"
    "false,\"open\":false,\"repeatable\":false,\"tasks\":1,\"millicores\":"
    "300,\"memory_mib\":256,\"accelerators\":0,\"run_s\":1,\"spread\":"
    "\"none\"}" },
  { "train.job.json",
    "{\"queue\":\"train\",\"team\":\"beta\",\"kind\":\"gang\",\"urgent\":"
    "false,\"open\":false,\"repeatable\":true,\"tasks\":2,\"millicores\":700,"
    "\"memory_mib\":256,\"accelerators\":0,\"run_s\":1,\"spread\":\"none\"}" },
};

void
tst_add_violation (struct tst_site *site, const char *format, ...)
{
  va_list arguments;

  if (site->violation_count == TST_MAX_VIOLATIONS)
    return;
  va_start (arguments, format);
  vsnprintf (site->violations[site->violation_count++],
             sizeof site->violations[0], format, arguments);
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
    port = (uint16_t)(FIRST_PORT + (*cursor)++ % PORT_COUNT);
  while (!port_is_free (port));
  return port;
}

static pid_t
start_program (struct tst_site *site, const char *log_name,
               char *const *arguments)
{
  char path[1100];
  int fd;
  pid_t pid;

  snprintf (path, sizeof path, "%s/%s.log", site->dir, log_name);
  fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid = fork ();
  if (pid == 0)
    {
      /* The process must not outlive the test. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execv (arguments[0], arguments);
      _exit (127);
    }
  close (fd);
  return pid;
}

/* Waits until a fake has written the port on which it listens to its log. */
static bool
wait_port (struct tst_site *site, const char *log_name, uint16_t *port)
{
  uint64_t deadline_ms = tst_now_ms () + 5000;
  char path[1100];
  gchar *text = NULL;

  snprintf (path, sizeof path, "%s/%s.log", site->dir, log_name);
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
      tst_poll_sleep ();
    }
  tst_add_violation (site, "%s did not start", log_name);
  return false;
}

static bool
start_fake (struct tst_site *site, uint32_t index, const char *program,
            uint16_t *port, const char *option, const char *value)
{
  char path[1100];

  snprintf (path, sizeof path, "%s/%s", site->bin_dir, program);
  site->fakes[index] = start_program (
      site, program,
      (char *const[]){ path, (char *)option, (char *)value, NULL });
  return wait_port (site, program, port);
}

static void
add_relay_pair (GString *text, const char *group, uint16_t from, uint16_t to)
{
  g_string_append_printf (
      text, "%s{\"group\":\"%s\",\"listen\":%u,\"target\":%u}",
      text->str[text->len - 1] == '[' ? "" : ",", group, from, to);
}

/* All connections between domain 1 and anything outside it pass through the
   relay, so that the relay can cut the domain off. Domain 1 is the connecting
   side in all groups but "peers". */
static bool
start_relay (struct tst_site *site)
{
  GString *text = g_string_new ("{\"pairs\":[");
  char path[1100];

  add_relay_pair (text, "log", site->log_relay_port, site->log_port);
  add_relay_pair (text, "list", site->vm_list_relay_port, site->vm_list_port);
  for (uint32_t i = 0; i < TST_VMS; i++)
    for (uint32_t role = 0; role < 2; role++)
      add_relay_pair (text, tst_site_domain (i) == 1 ? "peers" : "peers-back",
                      site->peer_relay_ports[i][role],
                      site->vms[i].ports[role * 2 + 1]);
  g_string_append (text, "]}");
  snprintf (path, sizeof path, "%s/relay.json", site->dir);
  g_file_set_contents (path, text->str, -1, NULL);
  g_string_free (text, TRUE);
  return start_fake (site, 3, "fake-relay", &site->relay_port, "--file", path);
}

static bool
start_fakes (struct tst_site *site)
{
  char path[1100];
  GString *text = g_string_new ("{\"workers\":[");
  bool started;

  for (uint32_t i = 0; i < TST_DOMAINS * TST_WORKERS_PER_DOMAIN; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"w%u\",\"domain\":\"%s\",\"rack\":\"r%u\",\"millicores\""
        ":2500,\"memory_mib\":16384,\"slots\":3,\"connections\":64}",
        i ? "," : "", i, i < TST_WORKERS_PER_DOMAIN ? "north-a" : "south-a",
        i / 2);
  g_string_append (text, "]}");
  snprintf (path, sizeof path, "%s/workers.json", site->dir);
  g_file_set_contents (path, text->str, -1, NULL);
  g_string_free (text, TRUE);
  started
      = start_fake (site, 0, "fake-log", &site->log_port, NULL, NULL)
        && start_fake (site, 1, "fake-vms", &site->vm_list_port, NULL, NULL)
        && start_fake (site, 2, "fake-workers", &site->workers_port, "--file",
                       path)
        && start_relay (site);
  if (started)
    {
      tst_site_set_fault (site, site->workers_port, "{\"service_ms\":20}");
      tst_site_sync_vms (site);
    }
  return started;
}

uint32_t
tst_site_domain (uint32_t vm)
{
  return vm / (TST_VMS / TST_DOMAINS);
}

const char *
tst_site_settings_path (const struct tst_site *site, uint32_t vm,
                        char out[600])
{
  snprintf (out, 600, "%s/%s.json", site->dir, site->vms[vm].name);
  return out;
}

/* Returns the port at which VM @p from reaches a peer process: its own port
   within a domain, the relay's port across domains. */
static uint16_t
peer_port (const struct tst_site *site, uint32_t from, uint32_t to,
           uint32_t role)
{
  return tst_site_domain (from) == tst_site_domain (to)
             ? site->vms[to].ports[role * 2 + 1]
             : site->peer_relay_ports[to][role];
}

static void
write_settings (struct tst_site *site, uint32_t index)
{
  const struct tst_vm *vm = &site->vms[index];
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
      short_timeout_settings, vm->name, vm->domain, vm->region, vm->seat,
      vm->ports[0], vm->ports[1], vm->ports[2], vm->ports[3],
      tst_site_domain (index) == 1 ? site->log_relay_port : site->log_port,
      tst_site_domain (index) == 1 ? site->vm_list_relay_port
                                   : site->vm_list_port);
  for (uint32_t i = 0; i < TST_VMS * 2; i++)
    {
      const struct tst_vm *peer = &site->vms[i / 2];

      g_string_append_printf (
          text,
          "%s{\"vm\":\"%s\",\"domain\":\"%s\",\"region\":\"%s\",\"role\":"
          "\"%s\",\"address\":\"127.0.0.1:%u\",\"http\":\"127.0.0.1:%u\"}",
          i ? "," : "", peer->name, peer->domain, peer->region,
          i % 2 ? "scheduler" : "gateway",
          peer_port (site, index, i / 2, i % 2), peer->ports[i % 2 ? 2 : 0]);
    }
  g_string_append (text, "]}");
  g_file_set_contents (tst_site_settings_path (site, index, path), text->str,
                       -1, NULL);
  g_string_free (text, TRUE);
}

static void
prepare_site (struct tst_site *site)
{
  uint32_t cursor = (uint32_t)getpid () * 64;
  char path[1200];
  char *slash;

  if (readlink ("/proc/self/exe", site->bin_dir, sizeof site->bin_dir - 1) > 0
      && (slash = strrchr (site->bin_dir, '/')) != NULL)
    *slash = '\0';
  snprintf (path, sizeof path, "%s/cyc-%s-XXXXXX", g_get_tmp_dir (),
            site->name);
  g_strlcpy (site->dir, g_mkdtemp (path), sizeof site->dir);
  snprintf (path, sizeof path, "%s/config", site->dir);
  g_mkdir_with_parents (path, 0700);
  for (size_t i = 0; i < G_N_ELEMENTS (config_files); i++)
    {
      snprintf (path, sizeof path, "%s/config/%s", site->dir,
                config_files[i][0]);
      g_file_set_contents (path, config_files[i][1], -1, NULL);
    }
  for (uint32_t i = 0; i < TST_VMS; i++)
    {
      struct tst_vm *vm = &site->vms[i];
      const char *region = tst_site_domain (i) == 0 ? "north" : "south";

      vm->seat = i % (TST_VMS / TST_DOMAINS);
      snprintf (vm->name, sizeof vm->name, "%s-a-%u", region, vm->seat + 1);
      snprintf (vm->domain, sizeof vm->domain, "%s-a", region);
      snprintf (vm->region, sizeof vm->region, "%s", region);
      for (uint32_t p = 0; p < 4; p++)
        vm->ports[p] = next_port (&cursor);
      for (uint32_t role = 0; role < 2; role++)
        site->peer_relay_ports[i][role] = next_port (&cursor);
    }
  site->log_relay_port = next_port (&cursor);
  site->vm_list_relay_port = next_port (&cursor);
}

bool
tst_site_start_process (struct tst_site *site, uint32_t vm, enum tst_role role)
{
  char path[600];
  char program[1100];
  char log_name[80];
  char *role_name = role == TST_GATEWAY ? "gateway" : "scheduler";

  snprintf (program, sizeof program, "%s/cyclamendrum", site->bin_dir);
  snprintf (log_name, sizeof log_name, "%s-%s", site->vms[vm].name, role_name);
  tst_site_settings_path (site, vm, path);
  site->vms[vm].pids[role] = start_program (
      site, log_name,
      (char *const[]){ program, role_name, "--settings", path, NULL });
  site->vms[vm].expected_running[role] = site->vms[vm].pids[role] > 0;
  return site->vms[vm].expected_running[role];
}

static bool
grant_key (struct tst_site *site, const char *team, char out[96])
{
  char path[600];
  int status = tst_site_command (
      site,
      (const char *const[]){ "key", "grant", "--settings",
                             tst_site_settings_path (site, 0, path), "--team",
                             team, NULL },
      out, 96);

  out[strcspn (out, "\r\n")] = '\0';
  if (status != 0 || out[0] == '\0')
    tst_add_violation (site, "key grant --team %s: exit status %d", team,
                       status);
  return status == 0 && out[0] != '\0';
}

static bool
publish_config (struct tst_site *site)
{
  char path[600];
  char config[600];
  char out[1024];
  int status;

  snprintf (config, sizeof config, "%s/config", site->dir);
  status = tst_site_command (
      site,
      (const char *const[]){ "publish", "--settings",
                             tst_site_settings_path (site, 0, path), config,
                             NULL },
      out, sizeof out);
  if (status != 0)
    tst_add_violation (site, "publish: exit status %d: %.180s", status, out);
  return status == 0;
}

bool
tst_site_start (struct tst_site *site, const char *name)
{
  memset (site, 0, sizeof *site);
  site->name = name;
  prepare_site (site);
  if (!start_fakes (site))
    return false;
  for (uint32_t i = 0; i < TST_VMS; i++)
    write_settings (site, i);
  if (!publish_config (site) || !grant_key (site, "alpha", site->alpha_key)
      || !grant_key (site, "beta", site->beta_key))
    return false;
  for (uint32_t i = 0; i < TST_VMS * 2; i++)
    if (!tst_site_start_process (site, i / 2,
                                 i % 2 ? TST_SCHEDULER : TST_GATEWAY))
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
kill_process (pid_t pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

/* Saves the answer to a GET request, to diagnose a violation. */
static void
save_response (struct tst_site *site, uint16_t port, const char *path,
               const char *file)
{
  char url[80];
  char file_path[700];
  struct tst_answer answer;

  snprintf (url, sizeof url, "http://127.0.0.1:%u%s", port, path);
  tst_http (&(struct tst_call){ .url = url, .timeout_ms = 500 }, &answer);
  snprintf (file_path, sizeof file_path, "%s/%s", site->dir, file);
  g_file_set_contents (file_path, answer.body, (gssize)answer.len, NULL);
  free (answer.body);
}

static void
save_state (struct tst_site *site)
{
  char file[80];

  save_response (site, site->workers_port, "/journal", "journal");
  for (uint32_t i = 0; i < TST_VMS * 2; i++)
    {
      snprintf (file, sizeof file, "%s-%s.status", site->vms[i / 2].name,
                i % 2 ? "scheduler" : "gateway");
      save_response (site, site->vms[i / 2].ports[(size_t)(i % 2) * 2],
                     "/v1/status", file);
    }
}

void
tst_site_stop (struct tst_site *site)
{
  if (site->violation_count > 0)
    save_state (site);
  for (uint32_t i = 0; i < TST_VMS * 2; i++)
    kill_process (site->vms[i / 2].pids[i % 2]);
  for (uint32_t i = 0; i < G_N_ELEMENTS (site->fakes); i++)
    kill_process (site->fakes[i]);
  if (site->violation_count == 0)
    remove_directory (site->dir);
}
