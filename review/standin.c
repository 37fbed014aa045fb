/* Stand-in of the platform for the cases of this review: the project's fake of
   the platform as a process of its own. It checks the size of the records that
   are appended, can answer slowly, and tells what the workers have run.

   standin WORKERS MILLICORES TASK_MS RECORD_BYTES CONFIG_FILE

   prints the addresses of the log and the advisor, its control port and some
   free ports, then runs until SIGTERM. The control port takes
   GET /runs              one line a run: task, number, worker, begin, end, how
   GET /delay?ms=N        from now on answers of the log take N ms
   GET /refused           appends refused because of the size of a record */

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
