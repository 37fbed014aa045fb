#include "commands.h"
#include "gateway.h"
#include "log_event.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

struct run
{
  struct ev_loop *loop;
  struct gw_gateway gateway;
};

static void
on_signal (struct ev_loop *loop, struct ev_signal *signal, int events)
{
  struct run *run = signal->data;

  (void)loop;
  (void)events;
  gw_stop (&run->gateway);
}

static void
on_stopped (void *user)
{
  struct run *run = user;

  ev_break (run->loop, EVBREAK_ALL);
}

static int
run_gateway (const struct set_settings *settings,
             struct cyc_findings *findings)
{
  struct run run = { .loop = ev_default_loop (EVFLAG_AUTO) };
  struct ev_signal term;
  struct ev_signal interrupt;
  struct ev_sink sink;

  ev_setup (&sink, &(struct ev_desc){
                       .vm = settings->vm,
                       .role = CYC_STR ("gateway"),
                       .lowest = settings->log_debug ? G_LOG_LEVEL_DEBUG : 0,
                   });
  signal (SIGPIPE, SIG_IGN);
  if (!gw_setup (&run.gateway,
                 &(struct gw_desc){ .loop = run.loop,
                                    .settings = settings,
                                    .stopped = on_stopped,
                                    .user = &run },
                 findings))
    {
      ev_findings (EV_SETUP_FAILED, findings);
      return CMD_EXIT_FAILED;
    }
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_init (&interrupt, on_signal, SIGINT);
  term.data = &run;
  interrupt.data = &run;
  ev_signal_start (run.loop, &term);
  ev_signal_start (run.loop, &interrupt);
  ev_run (run.loop, 0);
  ev_signal_stop (run.loop, &term);
  ev_signal_stop (run.loop, &interrupt);
  gw_shutdown (&run.gateway);
  return CMD_EXIT_DONE;
}

int
cmd_gateway (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file
      = arg_file1 (NULL, "settings", "FILE", "settings file");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, end };
  struct set_settings *settings = calloc (1, sizeof *settings);
  struct cyc_findings *findings = calloc (1, sizeof *findings);
  int status = CMD_EXIT_USAGE;
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum gateway");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "cyclamendrum gateway");
  else if (set_load (cyc_str_of (file->filename[0]), settings, findings))
    status = run_gateway (settings, findings);
  else
    cmd_print_findings (findings);
  free (settings);
  free (findings);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
