#include "cmd_settings.h"
#include "gateway.h"
#include "log_event.h"

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
run_gateway (const struct set_settings *settings)
{
  struct cyc_findings findings = { 0 };
  struct run run = { .loop = ev_default_loop (EVFLAG_AUTO) };
  struct ev_signal term;
  struct ev_signal interrupt;
  struct ev_sink sink;

  ev_setup (&sink,
            &(struct ev_desc){
                .vm = settings->vm,
                .role = CYC_STR ("gateway"),
                .lowest_level = settings->log_debug ? G_LOG_LEVEL_DEBUG : 0,
            });
  signal (SIGPIPE, SIG_IGN);
  if (!gw_setup (&run.gateway,
                 &(struct gw_desc){ .loop = run.loop,
                                    .settings = settings,
                                    .stopped = on_stopped,
                                    .user = &run },
                 &findings))
    {
      ev_findings (EV_SETUP_FAILED, &findings);
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
  return cmd_with_settings (
      argc, argv,
      &(struct cmd_settings_use){ .name = "gateway", .run = run_gateway });
}
