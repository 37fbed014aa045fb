#include "commands.h"
#include "entry.h"
#include "log_event.h"
#include "pf.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/** Environment variable with the path of the settings file, used when the
 * option is absent. */
#define SETTINGS_VARIABLE "CYCLAMENDRUM_BOOT"

/** Limit on logged lines: a leader of 350 workers starts 800 tasks a second,
 * with two lines each. */
#define LOG_LINES_PER_S 2000

struct process
{
  struct ev_loop *loop;
  struct ent_settings settings;
  struct cyc_str path;
  struct pf_platform platform;
  struct entry entry;
};

static void
on_stop_signal (struct ev_loop *loop, struct ev_signal *signal, int events)
{
  struct process *process = signal->data;

  (void)loop;
  (void)events;
  entry_stop (&process->entry);
}

static void
on_reload_signal (struct ev_loop *loop, struct ev_signal *signal, int events)
{
  struct process *process = signal->data;
  struct cyc_findings findings = { 0 };
  struct ent_settings fresh;
  bool valid = ent_settings_load (process->path, &fresh, &findings);

  (void)loop;
  (void)events;
  ev_findings (EV_SETUP_FAILED, &findings);
  if (valid)
    {
      process->settings.lease_ms = fresh.lease_ms;
      process->settings.grace_ms = fresh.grace_ms;
    }
  ev_log (EV_RELOADED, "valid=%d worker_lease_ms=%u stop_grace_ms=%u", valid,
          process->settings.lease_ms, process->settings.grace_ms);
}

static void
on_stopped (void *user)
{
  struct process *process = user;

  ev_break (process->loop, EVBREAK_ALL);
}

static void
watch_signal (struct process *process, struct ev_signal *watcher, int number,
              void (*handler) (struct ev_loop *, struct ev_signal *, int))
{
  ev_signal_init (watcher, handler, number);
  watcher->data = process;
  ev_signal_start (process->loop, watcher);
}

static int
run_entry (struct process *process)
{
  struct cyc_findings findings = { 0 };
  struct ev_signal term;
  struct ev_signal interrupt;
  struct ev_signal hangup;
  struct ev_sink sink;

  ev_setup (&sink, &(struct ev_desc){
                       .vm = process->settings.vm,
                       .role = CYC_STR ("entry"),
                       .lowest_level = process->settings.log_info
                                           ? G_LOG_LEVEL_INFO
                                           : G_LOG_LEVEL_MESSAGE,
                       .fd = STDOUT_FILENO,
                       .max_lines_per_s = LOG_LINES_PER_S,
                   });
  signal (SIGPIPE, SIG_IGN);
  watch_signal (process, &term, SIGTERM, on_stop_signal);
  watch_signal (process, &interrupt, SIGINT, on_stop_signal);
  watch_signal (process, &hangup, SIGHUP, on_reload_signal);
  if (!pf_setup (&process->platform,
                 &(struct pf_desc){ .loop = process->loop,
                                    .settings = &process->settings,
                                    .request = entry_request,
                                    .gone = entry_caller_gone,
                                    .ready = entry_ready,
                                    .metrics = entry_metrics,
                                    .status = entry_status,
                                    .user = &process->entry },
                 &findings)
      || !entry_setup (&process->entry,
                       &(struct entry_desc){ .loop = process->loop,
                                             .settings = &process->settings,
                                             .ports = &process->platform.ports,
                                             .stopped = on_stopped,
                                             .user = process },
                       &findings))
    {
      ev_findings (EV_SETUP_FAILED, &findings);
      return CMD_EXIT_FAILED;
    }
  ev_run (process->loop, 0);
  entry_shutdown (&process->entry);
  pf_shutdown (&process->platform);
  return CMD_EXIT_DONE;
}

static int
load_and_run (const char *path)
{
  struct process *process = calloc (1, sizeof *process);
  struct cyc_findings findings = { 0 };
  int status;

  if (process == NULL)
    return CMD_EXIT_FAILED;
  process->loop = ev_default_loop (EVFLAG_AUTO);
  process->path = cyc_str_of (path);
  if (ent_settings_load (process->path, &process->settings, &findings))
    status = run_entry (process);
  else
    {
      cmd_print_findings (&findings);
      status = CMD_EXIT_USAGE;
    }
  free (process);
  return status;
}

int
cmd_entry (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file
      = arg_file0 (NULL, "settings", "FILE",
                   "settings file; default: the value of " SETTINGS_VARIABLE);
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, end };
  const char *path = getenv (SETTINGS_VARIABLE);
  int errors = arg_parse (argc, argv, table);
  int status = CMD_EXIT_USAGE;

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum entry");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, argv[0]);
  else
    {
      if (file->count > 0)
        path = file->filename[0];
      if (path != NULL)
        status = load_and_run (path);
      else
        fprintf (stderr, "cyclamendrum entry: no settings given\n");
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
