/* Stand-ins of the second independent review: callers, workers and the start
   of the entry processes. The platform's log and advisor are those of fakes/.
   Each case is a function; run.sh of its folder starts it.

   Usage: standin-2 CASE
   Environment: CYC_BIN, the program under test; CYC_TMP, a temporary folder;
   CYC_RECORD, the record to write; TROUBLE=0 leaves the disruption out.
   Exit status: 0 rule held, 1 rule broken, 2 the case could not run. */

#include "fk_platform_internal.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define ENTRIES_MAX 3
#define WORKERS_MAX 16
#define RUNS_MAX 1024
#define HEARTBEAT_MS 1500
#define MEMORY_MB 260
#define RESTART_MS 500
#define CALL_MS 3000
/* From a stop to its end; stop_ms allows 900. */
#define STOP_MS 200

struct st_job
{
  uint64_t id;
  uint32_t work_ms;
};

struct st_run
{
  char task[64];
  uint32_t number;
  uint64_t start_ms;
  const struct st_job *job;
  uint64_t stop_at_ms; /* a stop is under way until then; 0: none */
};

struct st_end
{
  uint64_t number;
  char task[64];
  uint32_t run;
  const char *how;
};

struct st_hold
{
  struct cyc_ref call;
  uint64_t due_ms;
};

struct st_worker
{
  struct hs_server hs;
  char id[24];
  char address[32];
  char rack[8];
  uint64_t born_unix_ms;
  uint64_t born_ms;
  uint64_t fence;
  uint64_t lease_ms; /* on the worker's clock */
  uint64_t next_end;
  uint64_t ack; /* highest one that was acknowledged */
  uint32_t millicores;
  bool failing; /* fails all that it starts */
  struct st_run runs[RUNS_MAX];
  uint32_t run_count;
  GArray *ends;
  GArray *holds;
  GHashTable *over; /* task -> highest run that is over here */
};

struct st_entry
{
  pid_t pid; /* 0: does not run */
  char name[24];
  char callers[32];
  char path[256];
  char log[256];
  uint64_t start_at_ms; /* 0: it is not to be started */
  uint32_t starts;
  uint32_t ends;      /* by itself */
  uint32_t over;      /* over the limit of memory */
  uint32_t memory_mb; /* at its peak */
};

struct st_reply
{
  bool done;
  long status;
  char body[256];
};

static struct
{
  struct ev_loop *loop;
  struct ev_timer timer;
  struct fkp_platform platform;
  struct hc_client client;
  struct st_worker workers[WORKERS_MAX];
  uint32_t worker_count;
  struct st_entry entries[ENTRIES_MAX];
  uint32_t entry_count;
  GPtrArray *jobs;
  uint32_t failed_run; /* highest number of a run that ended `failed` */
  uint64_t next_beat_ms;
  uint64_t seq;
  uint64_t begun_ms;
  bool trouble;
  FILE *record;
  const char *bin;
  const char *tmp;
  const char *host; /* that callers name; NULL: h.example */
} st;

static void __attribute__ ((format (printf, 1, 2)))
note (const char *format, ...)
{
  va_list args;

  fprintf (st.record, "%8.3f ",
           (double)(fkp_now_ms () - st.begun_ms) / 1000.0);
  va_start (args, format);
  vfprintf (st.record, format, args);
  va_end (args);
  fputc ('\n', st.record);
  fflush (st.record);
}

/* Workers. */

static uint64_t
worker_clock (const struct st_worker *worker)
{
  return fkp_now_ms () - worker->born_ms + 1;
}

static uint64_t
work_of (const struct st_run *run)
{
  return run->job != NULL ? run->job->work_ms : 1000;
}

static struct st_job *
find_job (uint64_t id)
{
  for (guint i = 0; i < st.jobs->len; i++)
    {
      struct st_job *job = g_ptr_array_index (st.jobs, i);

      if (job->id == id)
        return job;
    }
  return NULL;
}

static struct st_run *
find_run (struct st_worker *worker, const char *task)
{
  for (uint32_t i = 0; i < worker->run_count; i++)
    if (strcmp (worker->runs[i].task, task) == 0)
      return &worker->runs[i];
  return NULL;
}

static uint32_t
highest_over (const struct st_worker *worker, const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (worker->over, task));
}

static void
note_over (struct st_worker *worker, const char *task, uint32_t run)
{
  g_hash_table_replace (
      worker->over, g_strdup (task),
      GUINT_TO_POINTER (MAX (run, highest_over (worker, task))));
}

static void
end_run (struct st_worker *worker, struct st_run *run, const char *how)
{
  struct st_end end
      = { .number = worker->next_end++, .run = run->number, .how = how };

  memcpy (end.task, run->task, sizeof end.task);
  g_array_append_val (worker->ends, end);
  if (strcmp (how, "failed") == 0)
    st.failed_run = MAX (st.failed_run, end.run);
  note_over (worker, run->task, run->number);
  note ("%s: end %" PRIu64 " of %s run %u: %s", worker->id, end.number,
        end.task, end.run, how);
  *run = worker->runs[--worker->run_count];
}

static void
reply_clock (struct st_worker *worker, struct cyc_ref call, uint32_t status,
             const char *reason)
{
  char body[96];

  snprintf (body, sizeof body, "{\"clock_ms\":%" PRIu64 "%s%s%s}",
            worker_clock (worker), reason ? ",\"reason\":\"" : "",
            reason ? reason : "", reason ? "\"" : "");
  fk_reply_text (&worker->hs, call, status, cyc_str_of (body));
}

static void
on_start (struct st_worker *worker, struct cyc_ref call,
          struct json_object *root)
{
  const char *task = fk_text (root, "task", "");
  uint32_t number = (uint32_t)fk_int (root, "run", 0);
  uint64_t deadline_ms = (uint64_t)fk_int (root, "deadline_ms", 0);
  struct st_run *run = find_run (worker, task);
  uint64_t id = strtoull (task, NULL, 16);

  if (deadline_ms < worker_clock (worker))
    {
      reply_clock (worker, call, 409, "late");
      return;
    }
  worker->lease_ms = MAX (worker->lease_ms, deadline_ms);
  if (number <= highest_over (worker, task)
      || (run != NULL && run->number != number))
    {
      reply_clock (worker, call, 409, "old");
      return;
    }
  if (run == NULL && worker->run_count < RUNS_MAX)
    {
      run = &worker->runs[worker->run_count++];
      *run = (struct st_run){ .number = number,
                              .start_ms = fkp_now_ms (),
                              .job = find_job (id) };
      g_strlcpy (run->task, task, sizeof run->task);
      note ("%s: start of %s run %u%s", worker->id, task, number,
            run->job != NULL ? "" : " (no such job)");
    }
  reply_clock (worker, call, 200, NULL);
}

static void
on_stop (struct st_worker *worker, struct cyc_ref call,
         struct json_object *root)
{
  const char *task = fk_text (root, "task", "");
  uint32_t number = (uint32_t)fk_int (root, "run", 0);
  struct st_run *run = find_run (worker, task);

  if (run != NULL && run->number == number)
    {
      if (run->stop_at_ms == 0)
        run->stop_at_ms = fkp_now_ms () + STOP_MS;
    }
  else
    note_over (worker, task, number);
  reply_clock (worker, call, 200, NULL);
}

static void
reply_hold (struct st_worker *worker, struct cyc_ref call)
{
  GString *out = g_string_new (NULL);

  g_string_printf (
      out, "{\"clock_ms\":%" PRIu64 ",\"born\":%" PRIu64 ",\"running\":[",
      worker_clock (worker), worker->born_unix_ms);
  for (uint32_t i = 0; i < worker->run_count; i++)
    {
      const struct st_run *run = &worker->runs[i];
      uint64_t done = (fkp_now_ms () - run->start_ms) * 100 / work_of (run);

      g_string_append_printf (out, "%s[\"%s\",%u,\"\",%u,0]", i > 0 ? "," : "",
                              run->task, run->number,
                              (uint32_t)MIN (done, 99));
    }
  g_string_append (out, "],\"finished\":[");
  for (guint i = 0; i < worker->ends->len && i < 500; i++)
    {
      const struct st_end *end
          = &g_array_index (worker->ends, struct st_end, i);

      g_string_append_printf (out, "%s[%" PRIu64 ",\"%s\",%u,\"%s\",\"\"]",
                              i > 0 ? "," : "", end->number, end->task,
                              end->run, end->how);
    }
  g_string_append (out, "]}");
  fk_reply_text (&worker->hs, call, 200,
                 (struct cyc_str){ out->str, out->len });
  g_string_free (out, TRUE);
}

static void
on_hold (struct st_worker *worker, struct cyc_ref call,
         struct json_object *root)
{
  uint64_t ack = (uint64_t)fk_int (root, "ack_cursor", 0);
  int64_t wait_ms = fk_int (root, "wait_ms", 0);
  struct st_hold hold = { call, fkp_now_ms () + (uint64_t)wait_ms };

  worker->ack = MAX (worker->ack, ack);
  while (worker->ends->len > 0
         && g_array_index (worker->ends, struct st_end, 0).number <= ack)
    g_array_remove_index (worker->ends, 0);
  worker->lease_ms
      = MAX (worker->lease_ms, MIN ((uint64_t)fk_int (root, "deadline_ms", 0),
                                    worker_clock (worker) + 10000));
  if (worker->ends->len > 0 || wait_ms == 0)
    reply_hold (worker, call);
  else
    g_array_append_val (worker->holds, hold);
}

static void
on_worker_call (void *user, const struct hs_call *call)
{
  struct st_worker *worker = user;
  struct cyc_str expected = hs_header (call, "X-Expect-Instance");
  struct json_object *root = fk_parse (call->body);
  uint64_t fence = root != NULL ? (uint64_t)fk_int (root, "fence", 0) : 0;

  if (expected.len > 0 && !cyc_str_eq (expected, cyc_str_of (worker->id)))
    reply_clock (worker, call->ref, 421, NULL);
  else if (root == NULL)
    reply_clock (worker, call->ref, 400, NULL);
  else if (fence < worker->fence)
    reply_clock (worker, call->ref, 409, "fence");
  else
    {
      worker->fence = fence;
      if (cyc_str_eq (call->path, CYC_STR ("/-/run-start")))
        on_start (worker, call->ref, root);
      else if (cyc_str_eq (call->path, CYC_STR ("/-/run-stop")))
        on_stop (worker, call->ref, root);
      else if (cyc_str_eq (call->path, CYC_STR ("/-/hold")))
        on_hold (worker, call->ref, root);
      else
        reply_clock (worker, call->ref, 404, NULL);
    }
  json_object_put (root);
}

static void
worker_tick (struct st_worker *worker, uint64_t now)
{
  for (uint32_t r = 0; r < worker->run_count;)
    {
      struct st_run *run = &worker->runs[r];

      if (worker->lease_ms < worker_clock (worker))
        end_run (worker, run, "lapsed");
      else if (run->stop_at_ms != 0 && now >= run->stop_at_ms)
        end_run (worker, run, "stopped");
      else if (now >= run->start_ms + work_of (run))
        end_run (worker, run, worker->failing ? "failed" : "done");
      else
        r++;
    }
  for (guint i = 0; i < worker->holds->len;)
    {
      struct st_hold hold = g_array_index (worker->holds, struct st_hold, i);

      if (worker->ends->len == 0 && now < hold.due_ms)
        {
          i++;
          continue;
        }
      g_array_remove_index (worker->holds, i);
      reply_hold (worker, hold.call);
    }
}

static void
publish_workers (void)
{
  for (uint32_t i = 0; i < st.worker_count; i++)
    {
      const struct st_worker *worker = &st.workers[i];
      char value[512];

      snprintf (value, sizeof value,
                "{\"service\":\"pool\",\"address\":\"%s\",\"zone\":\"north\","
                "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%u,"
                "\"mem_mb\":131072,\"gpu\":0},\"labels\":[\"a\",\"%s\"],"
                "\"clock_ms\":%" PRIu64 ",\"born\":%" PRIu64
                ",\"seq\":%" PRIu64 "}",
                worker->address, worker->millicores, worker->rack,
                worker_clock (worker), worker->born_unix_ms, st.seq++);
      fkp_put (&st.platform, "keyed.servers", worker->id, value);
    }
}

static bool
workers_setup (uint32_t count, uint32_t millicores)
{
  struct cyc_findings findings = { 0 };

  st.worker_count = count;
  for (uint32_t i = 0; i < count; i++)
    {
      struct st_worker *worker = &st.workers[i];

      snprintf (worker->id, sizeof worker->id, "i-%04x%u", (unsigned)getpid (),
                i);
      snprintf (worker->rack, sizeof worker->rack, "r%u", i / 8);
      worker->born_unix_ms = hc_wall_ms ();
      worker->born_ms = fkp_now_ms ();
      worker->next_end = 1;
      worker->millicores = millicores;
      worker->ends = g_array_new (FALSE, FALSE, sizeof (struct st_end));
      worker->holds = g_array_new (FALSE, FALSE, sizeof (struct st_hold));
      worker->over
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      if (!fkp_listen (&worker->hs, st.loop, "", on_worker_call, worker,
                       &findings))
        return false;
      fkp_address (&worker->hs, worker->address);
    }
  publish_workers ();
  return true;
}

/* Entry processes. */

static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *)&address, &len) != 0)
    address.sin_port = 0;
  close (fd);
  return ntohs (address.sin_port);
}

/* Writes the settings of an entry process, with the values of a small
   deployment. */
static bool
entry_settings (uint32_t index)
{
  struct st_entry *entry = &st.entries[index];
  char log[32];
  char advisor[32];
  FILE *file;

  fkp_address (&st.platform.log, log);
  fkp_address (&st.platform.advisor, advisor);
  snprintf (entry->name, sizeof entry->name, "edge-north-%u", index + 1);
  snprintf (entry->callers, sizeof entry->callers, "127.0.0.1:%u",
            free_port ());
  snprintf (entry->path, sizeof entry->path, "%s/%s.json", st.tmp,
            entry->name);
  snprintf (entry->log, sizeof entry->log, "%s/%s.log", st.tmp, entry->name);
  file = fopen (entry->path, "w");
  if (file == NULL)
    return false;
  fprintf (file,
           "{\"vm\":\"%s\",\"domain\":\"north\",\"region\":\"north\","
           "\"callers\":\"%s\",\"readiness\":\"127.0.0.1:%u\","
           "\"peers\":\"127.0.0.1:%u\",\"metrics\":\"127.0.0.1:%u\","
           "\"log\":\"%s\",\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":%u,"
           "\"max_fds\":4100,\"learn_speeds\":true,"
           "\"weigh_reservations\":true,\"link_mbps\":1000,\"log_parts\":8,"
           "\"log_record_bytes\":262144,\"log_request_bytes\":2097152,"
           "\"advisor\":\"%s\",\"domains\":{\"north\":\"north\"},"
           "\"config_max_age_ms\":2500,\"worker_lease_ms\":10000,"
           "\"worker_heartbeat_ms\":%u,\"stop_grace_ms\":6000}\n",
           entry->name, entry->callers, free_port (), free_port (),
           free_port (), log, MEMORY_MB, advisor, HEARTBEAT_MS);
  fclose (file);
  return true;
}

static void
entry_start (struct st_entry *entry)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      FILE *log = fopen (entry->log, "a");

      /* It ends with the stand-in, however that ends. */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (log != NULL)
        {
          dup2 (fileno (log), STDOUT_FILENO);
          dup2 (fileno (log), STDERR_FILENO);
        }
      for (int fd = 3; fd < 1024; fd++)
        close (fd);
      setenv ("CYCLAMENDRUM_BOOT", entry->path, 1);
      execl (st.bin, st.bin, "entry", (char *)NULL);
      _exit (127);
    }
  entry->pid = pid;
  entry->start_at_ms = 0;
  entry->starts++;
  note ("%s: process starts", entry->name);
}

static uint32_t
memory_of (pid_t pid)
{
  char path[64];
  unsigned long size = 0;
  unsigned long resident = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%lu %lu", &size, &resident) != 2)
    resident = 0;
  fclose (file);
  return (uint32_t)(resident * (unsigned long)sysconf (_SC_PAGESIZE)
                    / 1048576);
}

/* Starts processes again, and kills those over the limit of memory, as the
   platform does. */
static void
entry_tick (struct st_entry *entry, uint64_t now)
{
  int status;

  if (entry->pid == 0)
    {
      if (entry->start_at_ms != 0 && now >= entry->start_at_ms)
        entry_start (entry);
      return;
    }
  if (waitpid (entry->pid, &status, WNOHANG) == entry->pid)
    {
      entry->pid = 0;
      entry->ends++;
      entry->start_at_ms = now + RESTART_MS;
      note ("%s: process has ended: %s %d", entry->name,
            WIFSIGNALED (status) ? "signal" : "status",
            WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
      return;
    }
  entry->memory_mb = MAX (entry->memory_mb, memory_of (entry->pid));
  if (memory_of (entry->pid) > MEMORY_MB)
    {
      note ("%s: process takes %u MB, over the limit of %d MB: killed",
            entry->name, memory_of (entry->pid), MEMORY_MB);
      entry->over++;
      kill (entry->pid, SIGKILL);
      waitpid (entry->pid, &status, 0);
      entry->pid = 0;
      entry->ends++;
      entry->start_at_ms = now + RESTART_MS;
    }
}

/* Callers. */

static void
on_result (void *user, const struct hc_result *result)
{
  struct st_reply *reply = user;

  reply->status = result->status;
  snprintf (reply->body, sizeof reply->body, "%.*s", CYC_FMT (result->body));
  reply->done = true;
}

static void
send_call (uint32_t entry, enum hc_method method, const char *path,
           const char *key, const char *body, struct st_reply *reply)
{
  char url[200];
  char line[160];
  char host[160];
  int host_len = snprintf (host, sizeof host, "Host: %s",
                           st.host != NULL ? st.host : "h.example");
  int url_len = snprintf (url, sizeof url, "http://%s%s",
                          st.entries[entry].callers, path);
  int line_len = snprintf (line, sizeof line, "Api-Key: %s", key);

  *reply = (struct st_reply){ 0 };
  if (hc_send (&st.client,
               &(struct hc_request){
                   .method = method,
                   .url = { url, (size_t)url_len },
                   .body = cyc_str_of (body),
                   .headers = { { host, (size_t)host_len },
                                { line, (size_t)line_len },
                                CYC_STR ("Content-Type: application/json"),
                                CYC_STR ("X-Deadline-Ms: 3000") },
                   .header_count = 4,
                   .deadline_us = hc_now_us () + CALL_MS * 1000ULL,
                   .fresh_connection = true,
                   .done = on_result,
                   .user = reply })
          .generation
      == 0)
    reply->done = true;
}

static void
run_ms (uint32_t ms)
{
  uint64_t end = fkp_now_ms () + ms;

  while (fkp_now_ms () < end)
    ev_run (st.loop, EVRUN_ONCE);
}

static const char *
method_name (enum hc_method method)
{
  return method == HC_GET ? "GET" : method == HC_POST ? "POST" : "DELETE";
}

/* Sends a call and waits for its answer. Returns the status; 0 if there is
   none. */
static long
call (uint32_t entry, enum hc_method method, const char *path, const char *key,
      const char *body, char out[256])
{
  struct st_reply reply;

  send_call (entry, method, path, key, body, &reply);
  while (!reply.done)
    ev_run (st.loop, EVRUN_ONCE);
  if (out != NULL)
    g_strlcpy (out, reply.body, 256);
  note ("caller: %s %s at %s with %s%s%.200s -> %ld %.100s",
        method_name (method), path, st.entries[entry].name, key,
        body[0] != 0 ? " " : "", body, reply.status, reply.body);
  return reply.status;
}

/* Hands a job in as a caller does: again, at other processes, after no answer,
   502, 504 or 503. Returns the last status. */
static long
submit (uint32_t entry, const char *path, const char *key, const char *body,
        uint32_t tries)
{
  long status = 0;

  for (uint32_t i = 0; i < tries; i++)
    {
      status = call ((entry + i) % st.entry_count, HC_POST, path, key, body,
                     NULL);
      if (status != 0 && status != 502 && status != 503 && status != 504)
        return status;
      run_ms (1000);
    }
  return status;
}

static bool
is_state (const char *body, const char *state)
{
  return strstr (body, state) != NULL;
}

static void
add_job (uint64_t id, uint32_t work_ms)
{
  struct st_job *job = g_new0 (struct st_job, 1);

  *job = (struct st_job){ .id = id, .work_ms = work_ms };
  g_ptr_array_add (st.jobs, job);
}

/* All. */

static void
on_tick (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  uint64_t now = fkp_now_ms ();

  (void)loop;
  (void)timer;
  (void)events;
  for (uint32_t i = 0; i < st.worker_count; i++)
    worker_tick (&st.workers[i], now);
  for (uint32_t i = 0; i < st.entry_count; i++)
    entry_tick (&st.entries[i], now);
  if (now < st.next_beat_ms)
    return;
  st.next_beat_ms = now + HEARTBEAT_MS;
  publish_workers ();
}

static const char config_head[]
    = "\"services\":[{\"name\":\"pool\",\"enforces_capacity\":false}],"
      "\"limits\":{\"max_body_bytes\":262144},\"tenants\":["
      "{\"name\":\"blue\",\"api_keys\":[\"key-blue\"],\"weight\":100,"
      "\"max_count\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}},"
      "{\"name\":\"green\",\"api_keys\":[\"key-green\"],\"weight\":100,"
      "\"max_count\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}]";

static const char route_text[]
    = "{\"name\":\"r-%s\",\"host\":\"h.example\",\"path_prefix\":\"/%s/\","
      "\"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":500,"
      "\"priority\":%u,\"service\":\"pool\",\"max_attempts\":%u,"
      "\"slack_factor\":1.5,\"public\":false}";

/* Publishes a configuration with the route "first", unless it is left out, and
   the route "second". */
static void
publish_config (uint32_t version, bool first)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"version\":%u,\"routes\":[", version);
  if (first)
    {
      g_string_append_printf (text, route_text, "first", "first", 0U, 2U);
      g_string_append_c (text, ',');
    }
  g_string_append_printf (text, route_text, "second", "second", 1U, 3U);
  g_string_append_printf (text, "],%s}", config_head);
  fkp_put (&st.platform, "keyed.op", "config", text->str);
  note ("operator: configuration %u, route first: %s", version,
        first ? "there" : "removed");
  g_string_free (text, TRUE);
}

static bool
is_ready (void)
{
  char body[256];
  struct st_reply reply;

  for (uint32_t i = 0; i < st.entry_count; i++)
    {
      send_call (i, HC_GET, "/first/", "key-blue", "", &reply);
      while (!reply.done)
        ev_run (st.loop, EVRUN_ONCE);
      g_strlcpy (body, reply.body, sizeof body);
      if (reply.status != 200)
        return false;
    }
  return true;
}

static bool
begin (uint32_t entries, uint32_t workers, uint32_t millicores)
{
  struct cyc_findings findings = { 0 };

  st.jobs = g_ptr_array_new ();
  if (!fkp_setup (&st.platform, st.loop, 0, &findings)
      || !hc_setup (&st.client, &(struct hc_desc){ .loop = st.loop },
                    &findings)
      || !workers_setup (workers, millicores))
    return false;
  st.platform.record_bytes = 262144;
  st.platform.request_bytes = 2097152;
  publish_config (1, true);
  st.entry_count = entries;
  for (uint32_t i = 0; i < entries; i++)
    {
      if (!entry_settings (i))
        return false;
      entry_start (&st.entries[i]);
    }
  ev_timer_init (&st.timer, on_tick, 0.01, 0.01);
  ev_timer_start (st.loop, &st.timer);
  for (uint32_t i = 0; i < 100; i++)
    {
      run_ms (200);
      if (is_ready ())
        {
          note ("all entry processes answer");
          return true;
        }
    }
  return false;
}

static void
finish (void)
{
  for (uint32_t i = 0; i < st.entry_count; i++)
    if (st.entries[i].pid != 0)
      {
        int status;

        kill (st.entries[i].pid, SIGKILL);
        waitpid (st.entries[i].pid, &status, 0);
        note ("%s: peak memory %u MB, starts %u, ended by itself %u",
              st.entries[i].name, st.entries[i].memory_mb,
              st.entries[i].starts, st.entries[i].ends);
      }
}

#define SMALL_JOB(count, cpu, ms)                                             \
  "{\"spec\":\"s\",\"steps\":[{\"count\":" #count ",\"cpu\":" #cpu            \
  ",\"mem_mb\":100,\"estimate_ms\":" #ms "}]}"

#include "standin-2-cases.c"

int
main (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  const char *record = getenv ("CYC_RECORD");
  int result = 2;

  st.bin = getenv ("CYC_BIN");
  st.tmp = getenv ("CYC_TMP");
  st.trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  st.begun_ms = fkp_now_ms ();
  st.loop = ev_loop_new (0);
  st.record = record != NULL ? fopen (record, "w") : NULL;
  if (argc != 2 || st.bin == NULL || st.tmp == NULL || st.record == NULL)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  note ("case %s, trouble %d", argv[1], st.trouble);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (strcmp (cases[i].name, argv[1]) == 0)
      result = cases[i].run ();
  finish ();
  note ("result %d: %s", result,
        result == 0   ? "the rule held"
        : result == 1 ? "the rule was broken"
                      : "the case could not run");
  fclose (st.record);
  return result;
}
