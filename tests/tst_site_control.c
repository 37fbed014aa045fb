#include "record.pb-c.h"
#include "tst_site.h"

#include <fcntl.h>
#include <glib.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

struct claim_state
{
  uint64_t epoch;
  char owner[64];
};

void
tst_site_signal (struct tst_site *site, uint32_t vm, enum tst_role role,
                 int signal)
{
  struct tst_vm *entry = &site->vms[vm];

  if (entry->pids[role] <= 0)
    return;
  kill (entry->pids[role], signal);
  entry->expected_running[role] = signal == SIGCONT;
  if (signal == SIGKILL)
    {
      waitpid (entry->pids[role], NULL, 0);
      entry->pids[role] = 0;
    }
}

int
tst_site_wait_exit (struct tst_site *site, uint32_t vm, enum tst_role role,
                    uint64_t timeout_ms)
{
  uint64_t deadline_ms = tst_now_ms () + timeout_ms;
  pid_t pid = site->vms[vm].pids[role];
  int status;

  while (tst_now_ms () < deadline_ms)
    {
      if (waitpid (pid, &status, WNOHANG) == pid)
        {
          site->vms[vm].pids[role] = 0;
          return WIFEXITED (status) ? WEXITSTATUS (status) : 128;
        }
      tst_poll_sleep ();
    }
  return -1;
}

static void
read_all (int fd, char *out, size_t size_bytes)
{
  size_t len = 0;
  ssize_t got;
  char discarded[256];

  while ((got = len + 1 < size_bytes
                    ? read (fd, out + len, size_bytes - len - 1)
                    : read (fd, discarded, sizeof discarded))
         > 0)
    if (len + 1 < size_bytes)
      len += (size_t)got;
  if (size_bytes > 0)
    out[len] = '\0';
}

int
tst_site_command (struct tst_site *site, const char *const *arguments,
                  char *out, size_t size_bytes)
{
  char program[1100];
  char *argv[16] = { program };
  char log_path[1100];
  int pipe_fds[2];
  int status = 0;
  int log_fd;
  pid_t pid;

  snprintf (program, sizeof program, "%s/cyclamendrum", site->bin_dir);
  for (size_t i = 0; arguments[i] != NULL && i < 14; i++)
    argv[i + 1] = (char *)arguments[i];
  if (pipe2 (pipe_fds, O_CLOEXEC) != 0)
    return -1;
  snprintf (log_path, sizeof log_path, "%s/commands.log", site->dir);
  log_fd = open (log_path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  pid = fork ();
  if (pid == 0)
    {
      dup2 (pipe_fds[1], 1);
      dup2 (log_fd, 2);
      execv (program, argv);
      _exit (127);
    }
  close (log_fd);
  close (pipe_fds[1]);
  read_all (pipe_fds[0], out, size_bytes);
  close (pipe_fds[0]);
  waitpid (pid, &status, 0);
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128;
}

void
tst_site_set_fault (struct tst_site *site, uint16_t port, const char *json)
{
  char url[80];
  struct tst_answer answer;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/faults", port);
  tst_http (&(struct tst_call){ .url = url, .body = json }, &answer);
  if (answer.status != 200)
    tst_add_violation (site, "setting the fault %s failed with status %ld",
                       json, answer.status);
  free (answer.body);
}

void
tst_site_sync_vms (struct tst_site *site)
{
  char url[80];
  struct tst_answer list;
  struct tst_answer answer;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/vms", site->workers_port);
  tst_http (&(struct tst_call){ .url = url }, &list);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/vms", site->vm_list_port);
  tst_http (&(struct tst_call){ .url = url, .body = list.body }, &answer);
  if (answer.status != 200)
    tst_add_violation (site, "setting the VM list failed with status %ld",
                       answer.status);
  free (list.body);
  free (answer.body);
}

char *
tst_site_read_journal (struct tst_site *site)
{
  char url[80];
  struct tst_answer answer;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/journal",
            site->workers_port);
  tst_http (&(struct tst_call){ .url = url, .timeout_ms = 10000 }, &answer);
  if (answer.status != 200)
    tst_add_violation (site, "reading the journal failed with status %ld",
                       answer.status);
  return answer.body;
}

/* Applies a claim record of the domain in log order: a higher epoch replaces a
   lower one, and the first claim of an epoch wins. */
static void
apply_claim_record (struct claim_state *state, const char *domain,
                    const Cyc__Record *record)
{
  const Cyc__Claim *claim = record->claim;
  const Cyc__ClaimRenew *renew = record->claim_renew;
  const Cyc__ClaimRelease *release = record->claim_release;

  if (record->body_case == CYC__RECORD__BODY_CLAIM
      && strcmp (claim->domain, domain) == 0 && claim->epoch > state->epoch)
    {
      state->epoch = claim->epoch;
      g_strlcpy (state->owner, claim->owner, sizeof state->owner);
    }
  if (record->body_case == CYC__RECORD__BODY_CLAIM_RENEW
      && strcmp (renew->domain, domain) == 0 && renew->epoch > state->epoch)
    {
      state->epoch = renew->epoch;
      g_strlcpy (state->owner, renew->owner, sizeof state->owner);
    }
  if (record->body_case == CYC__RECORD__BODY_CLAIM_RELEASE
      && strcmp (release->domain, domain) == 0
      && release->epoch == state->epoch)
    state->owner[0] = '\0';
}

/* Reads the claims from the control stream itself, so that the result does not
   depend on the processes under test. */
static void
read_owner (struct tst_site *site, const char *domain,
            struct claim_state *state)
{
  char url[128];
  struct tst_answer answer;
  struct json_object *json;
  struct json_object *rows;

  snprintf (url, sizeof url,
            "http://127.0.0.1:%u/v1/streams/control/records?from=0&max=100000",
            site->log_port);
  tst_http (&(struct tst_call){ .url = url }, &answer);
  json = answer.status == 200 ? json_tokener_parse (answer.body) : NULL;
  free (answer.body);
  rows = json_object_object_get (json, "records");
  for (size_t i = 0; rows != NULL && i < json_object_array_length (rows); i++)
    {
      gsize len = 0;
      guchar *data
          = g_base64_decode (json_object_get_string (json_object_object_get (
                                 json_object_array_get_idx (rows, i), "data")),
                             &len);
      Cyc__Record *record = cyc__record__unpack (NULL, len, data);

      if (record != NULL)
        {
          apply_claim_record (state, domain, record);
          cyc__record__free_unpacked (record, NULL);
        }
      g_free (data);
    }
  json_object_put (json);
}

int
tst_site_owner (struct tst_site *site, uint32_t domain)
{
  struct claim_state state = { 0 };

  read_owner (site, domain == 0 ? "north-a" : "south-a", &state);
  for (int i = 0; i < TST_VMS; i++)
    if (strcmp (site->vms[i].name, state.owner) == 0)
      return i;
  return -1;
}

bool
tst_site_wait_owner (struct tst_site *site, uint32_t domain, int excluded_vm,
                     uint64_t timeout_ms)
{
  uint64_t deadline_ms = tst_now_ms () + timeout_ms;

  while (tst_now_ms () < deadline_ms)
    {
      int owner = tst_site_owner (site, domain);

      if (owner >= 0 && owner != excluded_vm)
        return true;
      tst_poll_sleep ();
    }
  tst_add_violation (
      site, "domain %u has no new owner within %" G_GUINT64_FORMAT " ms",
      domain, timeout_ms);
  return false;
}

static bool
gateway_answers (struct tst_site *site, uint32_t vm, const char *queue,
                 uint32_t serial)
{
  char url[128];
  char authorization[160];
  char idempotency_key[96];
  struct tst_answer answer;
  bool answered;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/queues/%s/requests",
            site->vms[vm].ports[0], queue);
  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s",
            site->alpha_key);
  snprintf (idempotency_key, sizeof idempotency_key,
            "Idempotency-Key: probe-%s-%u-%u-%" G_GUINT64_FORMAT, queue, vm,
            serial, (guint64)tst_now_ms ());
  tst_http (
      &(struct tst_call){ .url = url,
                          .body = "probe",
                          .headers = { authorization, idempotency_key } },
      &answer);
  answered = answer.status == 200 && strcmp (answer.outcome, "answer") == 0;
  free (answer.body);
  return answered;
}

bool
tst_site_wait_serving (struct tst_site *site, uint64_t timeout_ms)
{
  uint64_t deadline_ms = tst_now_ms () + timeout_ms;

  for (uint32_t i = 0; i < TST_VMS * 2; i++)
    {
      const char *queue = i % 2 ? "check" : "plan";
      uint32_t serial = 0;

      while (site->vms[i / 2].expected_running[TST_GATEWAY]
             && !gateway_answers (site, i / 2, queue, serial++))
        {
          if (tst_now_ms () > deadline_ms)
            {
              tst_add_violation (site,
                                 "gateway %s does not answer queue %s within "
                                 "%" G_GUINT64_FORMAT " ms",
                                 site->vms[i / 2].name, queue, timeout_ms);
              return false;
            }
          tst_poll_sleep ();
        }
    }
  return true;
}

/* Counts the established links, by a gateway's status, to the gateways of the
   other domain that are expected to run. Sets @p expected to the number of
   those gateways. */
static uint32_t
count_links (const struct tst_site *site, uint32_t vm,
             struct json_object *status, uint32_t *expected)
{
  struct json_object *rows = json_object_object_get (status, "peers");
  uint32_t links = 0;

  *expected = 0;
  for (uint32_t i = 0; i < TST_VMS; i++)
    {
      if (tst_site_domain (i) == tst_site_domain (vm)
          || !site->vms[i].expected_running[TST_GATEWAY])
        continue;
      (*expected)++;
      for (size_t r = 0; rows != NULL && r < json_object_array_length (rows);
           r++)
        {
          struct json_object *row = json_object_array_get_idx (rows, r);
          const char *name
              = json_object_get_string (json_object_object_get (row, "vm"));
          const char *role
              = json_object_get_string (json_object_object_get (row, "role"));

          links += name != NULL && role != NULL
                   && strcmp (name, site->vms[i].name) == 0
                   && strcmp (role, "gateway") == 0
                   && json_object_get_boolean (
                       json_object_object_get (row, "linked"));
        }
    }
  return links;
}

static bool
has_expected_paths (const struct tst_site *site, uint32_t vm, bool log,
                    bool peers)
{
  char url[80];
  struct tst_answer answer;
  struct json_object *status;
  uint32_t expected;
  uint32_t links;
  bool reaches_log;

  snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/status",
            site->vms[vm].ports[0]);
  tst_http (&(struct tst_call){ .url = url }, &answer);
  status = answer.status == 200 ? json_tokener_parse (answer.body) : NULL;
  free (answer.body);
  if (status == NULL)
    return false;
  links = count_links (site, vm, status, &expected);
  reaches_log = json_object_get_boolean (
      json_object_object_get (status, "log_reachable"));
  json_object_put (status);
  return reaches_log == log && links == (peers ? expected : 0);
}

bool
tst_site_wait_paths (struct tst_site *site, bool log, bool peers,
                     uint64_t timeout_ms)
{
  uint64_t deadline_ms = tst_now_ms () + timeout_ms;

  for (uint32_t vm = 0; vm < TST_VMS; vm++)
    while (tst_site_domain (vm) == 1
           && site->vms[vm].expected_running[TST_GATEWAY]
           && !has_expected_paths (site, vm, log, peers))
      {
        if (tst_now_ms () > deadline_ms)
          {
            tst_add_violation (
                site,
                "%s does not report the log as %s and its peers as %s within "
                "%" G_GUINT64_FORMAT " ms",
                site->vms[vm].name, log ? "reachable" : "unreachable",
                peers ? "linked" : "not linked", timeout_ms);
            return false;
          }
        tst_poll_sleep ();
      }
  return true;
}

/* Copies the string member @p key of the JSON object in @p body; an empty
   string without it. */
static void
copy_string_member (const char *body, const char *key, char *out,
                    size_t size_bytes)
{
  struct json_object *json = json_tokener_parse (body);
  const char *text
      = json ? json_object_get_string (json_object_object_get (json, key))
             : NULL;

  g_strlcpy (out, text ? text : "", size_bytes);
  json_object_put (json);
}

static bool
submit_job (struct tst_site *site, const char *queue, char id[64],
            uint64_t deadline_ms)
{
  char url[128];
  char authorization[160];
  char idempotency_key[96];
  struct tst_answer answer;
  uint32_t vm = 0;

  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s",
            site->beta_key);
  snprintf (idempotency_key, sizeof idempotency_key,
            "Idempotency-Key: job-%s-%" G_GUINT64_FORMAT, queue,
            (guint64)tst_now_ms ());
  for (;; vm = (vm + 1) % TST_VMS)
    {
      snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/queues/%s/jobs",
                site->vms[vm].ports[0], queue);
      tst_http (
          &(struct tst_call){ .url = url,
                              .body = "{}",
                              .headers = { authorization, idempotency_key } },
          &answer);
      copy_string_member (answer.body, "job", id, 64);
      free (answer.body);
      if (answer.status == 202 && id[0] != '\0')
        return true;
      if (tst_now_ms () > deadline_ms)
        {
          tst_add_violation (
              site, "no gateway accepts a job of queue %s: last status %ld",
              queue, answer.status);
          return false;
        }
      tst_poll_sleep ();
    }
}

void
tst_site_run_job (struct tst_site *site, const char *queue, char state[32],
                  uint64_t timeout_ms)
{
  uint64_t deadline_ms = tst_now_ms () + timeout_ms;
  char url[160];
  char authorization[160];
  char id[64];

  state[0] = '\0';
  if (!submit_job (site, queue, id, deadline_ms))
    return;
  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s",
            site->beta_key);
  for (uint32_t vm = 0; tst_now_ms () < deadline_ms; vm = (vm + 1) % TST_VMS)
    {
      struct tst_answer answer;

      snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/jobs/%s",
                site->vms[vm].ports[0], id);
      tst_http (&(struct tst_call){ .url = url, .headers = { authorization } },
                &answer);
      if (answer.status == 200)
        copy_string_member (answer.body, "state", state, 32);
      free (answer.body);
      if (state[0] != '\0' && strcmp (state, "queued") != 0
          && strcmp (state, "running") != 0)
        return;
      tst_poll_sleep ();
    }
}
