/* Stand-in of the platform for the cases of this review: the project's fake of
   the platform as a process of its own. It checks the size of the records that
   are appended, can answer slowly, and tells what the workers have run.

   standin WORKERS MILLICORES TASK_MS RECORD_BYTES CONFIG_FILE

   prints the addresses of the log and the advisor, its control port and some
   free ports, then runs until SIGTERM. The control port takes
   GET /runs              one line a run: task, number, worker, begin, end, how
   GET /delay?ms=N        from now on answers of the log take N ms
   GET /refused           appends refused because of the size of a record
   GET /history?jobs=N    adds what N jobs leave that were done and expired from
                          the history: copies, under IDs of their own, of the
                          newest records of jobs in the store
   GET /stored            number and bytes of the newest records */

#include "fk_platform.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define FREE_PORTS 16

static struct fkp_platform platform;
static struct hs_server control;
static uint64_t record_bytes;
static uint64_t appends_refused;
static uint64_t longest_record;
static void (*log_handle) (void *user, const struct hs_call *call);

/* Returns whether each record of an append is within the limit. */
static bool
records_fit (struct cyc_str body)
{
  const uint8_t *at = (const uint8_t *)body.data;
  size_t left = body.len;
  bool fit = true;

  while (left >= 4)
    {
      size_t len = (size_t)at[0] << 24 | (size_t)at[1] << 16
                   | (size_t)at[2] << 8 | at[3];

      if (len > left - 4)
        return false;
      longest_record = MAX (longest_record, len);
      fit = fit && len <= record_bytes;
      at += 4 + len;
      left -= 4 + len;
    }
  return fit;
}

static bool
is_of_jobs (const struct fkp_part *part)
{
  return g_str_has_prefix (part->name, "keyed.cyc-cell/");
}

/* Keys of a part in order, of its state at an end offset. */
struct sorted_keys
{
  const struct fkp_part *part;
  uint64_t end;
  GPtrArray *keys;
};

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
sorted_keys (const struct fkp_part *part)
{
  static GArray *cache;
  uint64_t end = part->first + part->records->len;
  struct sorted_keys *found = NULL;
  GHashTableIter iter;
  gpointer key;

  if (cache == NULL)
    cache = g_array_new (FALSE, TRUE, sizeof (struct sorted_keys));
  for (guint i = 0; i < cache->len && found == NULL; i++)
    if (g_array_index (cache, struct sorted_keys, i).part == part)
      found = &g_array_index (cache, struct sorted_keys, i);
  if (found == NULL)
    {
      g_array_append_vals (cache, &(struct sorted_keys){ .part = part }, 1);
      found = &g_array_index (cache, struct sorted_keys, cache->len - 1);
    }
  else if (found->end == end)
    return found->keys;
  else
    g_ptr_array_free (found->keys, TRUE);
  found->end = end;
  found->keys = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&iter, part->newest);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (found->keys, g_strdup (key));
  g_ptr_array_sort (found->keys, compare_keys);
  return found->keys;
}

/* Answers a listing of the newest records of a part of the jobs. The fake
   sorts all keys for each page, which takes too long for many of them. */
static bool
list_newest (const struct hs_call *call)
{
  struct cyc_str after = hs_query (call, "depends_on");
  const struct fkp_part *part = NULL;
  char name[64];
  GPtrArray *keys;
  GString *out;
  guint first = 0;
  guint last;
  uint32_t count = 0;

  snprintf (name, sizeof name, "%.*s/%.*s", CYC_FMT (hs_query (call, "topic")),
            CYC_FMT (hs_query (call, "part")));
  for (guint p = 0; p < platform.parts->len; p++)
    if (strcmp (((struct fkp_part *)g_ptr_array_index (platform.parts, p))
                    ->name,
                name)
        == 0)
      part = g_ptr_array_index (platform.parts, p);
  if (part == NULL || !is_of_jobs (part))
    return false;
  keys = sorted_keys (part);
  last = keys->len;
  while (after.len > 0 && first < last)
    {
      guint middle = (first + last) / 2;

      if (strcmp (g_ptr_array_index (keys, middle), after.data) <= 0)
        first = middle + 1;
      else
        last = middle;
    }
  out = g_string_new ("{\"items\":[");
  for (; first < keys->len && count < 500 && out->len < 1000000; first++)
    {
      const char *key = g_ptr_array_index (keys, first);
      gsize len;
      const uint8_t *data
          = g_bytes_get_data (g_hash_table_lookup (part->newest, key), &len);
      char *text = g_base64_encode (data, len);

      g_string_append_printf (
          out, "%s{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%" PRIu64 "}",
          count++ > 0 ? "," : "", key, text,
          *(uint64_t *)g_hash_table_lookup (part->offsets, key));
      g_free (text);
    }
  g_string_append_printf (out, "],\"has_more\":%s,\"end_offset\":%" PRIu64 "}",
                          first < keys->len ? "true" : "false",
                          part->first + part->records->len);
  fk_reply_text (&platform.log, call->ref, 200,
                 (struct cyc_str){ out->str, out->len });
  g_string_free (out, TRUE);
  return true;
}

static void
on_log_call (void *user, const struct hs_call *call)
{
  if (cyc_str_eq (call->path, CYC_STR ("/-/log-append"))
      && !records_fit (call->body))
    {
      appends_refused++;
      fk_reply_text (&platform.log, call->ref, 400, CYC_STR ("{}"));
      return;
    }
  if (cyc_str_eq (call->path, CYC_STR ("/-/log-newest"))
      && platform.faults.log_delay_ms == 0 && list_newest (call))
    return;
  log_handle (user, call);
}

static void
list_runs (GString *out)
{
  for (guint i = 0; i < platform.history->len; i++)
    {
      const struct fkp_history *row
          = &g_array_index (platform.history, struct fkp_history, i);

      g_string_append_printf (
          out, "%s %u %s %" PRIu64 " %" PRIu64 " %s\n", row->task, row->run,
          row->worker->id, row->begin_ms, row->end_ms,
          row->outcome != NULL ? row->outcome : "runs");
    }
}

/* The newest records of a job, of which there are copies to make. */
struct done_job
{
  struct fkp_part *part;
  char key[18];
  GBytes *value;
};

static GArray *
list_done_jobs (GHashTable *ids)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct done_job));

  for (guint p = 0; p < platform.parts->len; p++)
    {
      struct fkp_part *part = g_ptr_array_index (platform.parts, p);
      GHashTableIter iter;
      gpointer key;
      gpointer value;

      g_hash_table_iter_init (&iter, part->newest);
      while (is_of_jobs (part) && g_hash_table_iter_next (&iter, &key, &value))
        {
          struct done_job row = { .part = part, .value = value };

          g_strlcpy (row.key, key, sizeof row.key);
          g_array_append_val (rows, row);
          g_hash_table_add (ids, g_strdup ((char *)key + 1));
        }
    }
  return rows;
}

/* IDs of callers are spread evenly (splitmix64). */
static uint64_t
scramble (uint64_t value)
{
  value += UINT64_C (0x9e3779b97f4a7c15);
  value = (value ^ value >> 30) * UINT64_C (0xbf58476d1ce4e5b9);
  value = (value ^ value >> 27) * UINT64_C (0x94d049bb133111eb);
  return value ^ value >> 31;
}

static void
add_history (uint64_t jobs)
{
  GHashTable *ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           NULL);
  GArray *rows = list_done_jobs (ids);
  uint64_t copies = jobs / MAX (1, g_hash_table_size (ids));

  for (uint64_t copy = 1; copy <= copies; copy++)
    for (guint i = 0; i < rows->len; i++)
      {
        struct done_job *row = &g_array_index (rows, struct done_job, i);
        uint64_t id
            = scramble (strtoull (row->key + 1, NULL, 16) + (copy << 24));
        uint64_t offset = row->part->first + row->part->records->len;
        char key[18];

        snprintf (key, sizeof key, "%c%016" PRIx64, row->key[0], id);
        g_hash_table_replace (row->part->newest, g_strdup (key),
                              g_bytes_ref (row->value));
        g_hash_table_replace (row->part->offsets, g_strdup (key),
                              g_memdup2 (&offset, sizeof offset));
        /* The record itself has expired. */
        g_ptr_array_set_size (row->part->records, 0);
        row->part->first = offset + 1;
      }
  g_array_free (rows, TRUE);
  g_hash_table_destroy (ids);
}

static void
tell_stored (GString *out)
{
  uint64_t count = 0;
  uint64_t bytes = 0;

  for (guint p = 0; p < platform.parts->len; p++)
    {
      struct fkp_part *part = g_ptr_array_index (platform.parts, p);
      GHashTableIter iter;
      gpointer key;
      gpointer value;

      g_hash_table_iter_init (&iter, part->newest);
      while (g_hash_table_iter_next (&iter, &key, &value))
        {
          count++;
          bytes += strlen (key) + 1 + g_bytes_get_size (value);
        }
    }
  g_string_printf (out, "%" PRIu64 " newest records, %" PRIu64 " MB\n", count,
                   bytes / 1000000);
}

static void
on_control_call (void *user, const struct hs_call *call)
{
  GString *out = g_string_new (NULL);

  (void)user;
  if (cyc_str_eq (call->path, CYC_STR ("/runs")))
    list_runs (out);
  else if (cyc_str_eq (call->path, CYC_STR ("/delay")))
    platform.faults.log_delay_ms
        = (uint32_t)strtoul (hs_query (call, "ms").data, NULL, 10);
  else if (cyc_str_eq (call->path, CYC_STR ("/history")))
    add_history (strtoull (hs_query (call, "jobs").data, NULL, 10));
  else if (cyc_str_eq (call->path, CYC_STR ("/stored")))
    tell_stored (out);
  else if (cyc_str_eq (call->path, CYC_STR ("/refused")))
    g_string_printf (out, "%" PRIu64 " appends refused, longest record %" PRIu64
                          " bytes\n",
                     appends_refused, longest_record);
  fk_reply_text (&control, call->ref, 200,
                 (struct cyc_str){ out->str, out->len });
  g_string_free (out, TRUE);
}

static void
print_free_ports (void)
{
  int fds[FREE_PORTS];

  printf ("ports=\"");
  for (int i = 0; i < FREE_PORTS; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      socklen_t len = sizeof address;

      inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
      fds[i] = socket (AF_INET, SOCK_STREAM, 0);
      if (bind (fds[i], (struct sockaddr *)&address, sizeof address) != 0)
        exit (2);
      getsockname (fds[i], (struct sockaddr *)&address, &len);
      printf ("%s%u", i > 0 ? " " : "", ntohs (address.sin_port));
    }
  printf ("\"\n");
  for (int i = 0; i < FREE_PORTS; i++)
    close (fds[i]);
}

static void
on_signal (struct ev_loop *loop, struct ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  struct cyc_findings findings = { 0 };
  struct ev_loop *loop = ev_default_loop (0);
  struct ev_signal term;
  char address[32];
  gchar *config;

  if (argc != 6 || !g_file_get_contents (argv[5], &config, NULL, NULL))
    return 2;
  signal (SIGPIPE, SIG_IGN);
  if (!fkp_setup (&platform, loop, (uint32_t)atoi (argv[1]), &findings)
      || !hs_setup (&control,
                    &(struct hs_desc){ .loop = loop,
                                       .address = "127.0.0.1",
                                       .handle = on_control_call },
                    &findings))
    return 2;
  for (uint32_t i = 0; i < platform.worker_count; i++)
    platform.workers[i].millicores = (uint32_t)atoi (argv[2]);
  platform.task_duration_ms = (uint32_t)atoi (argv[3]);
  record_bytes = strtoull (argv[4], NULL, 10);
  log_handle = platform.log.handle;
  platform.log.handle = on_log_call;
  fkp_put (&platform, "keyed.op", "config", config);
  fkp_address (&platform.log, address);
  printf ("log=%s\n", address);
  fkp_address (&platform.advisor, address);
  printf ("advisor=%s\n", address);
  printf ("control=127.0.0.1:%u\n", fk_port (&control));
  print_free_ports ();
  fflush (stdout);
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_start (loop, &term);
  ev_run (loop, 0);
  hs_shutdown (&control);
  fkp_shutdown (&platform);
  return 0;
}
