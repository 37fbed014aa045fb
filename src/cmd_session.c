#include "cmd_session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_S 0.01
/* Only a long poll that ends without a record proves that the head was
   reached. It is short because an operator waits for it. */
#define LONG_POLL_MS 100
/* Timeout for reading the stream to its head, and for reading a record back;
   an operator waits for both. */
#define STEP_TIMEOUT_US 15000000

static void
on_tick (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct cmd_session *session = timer->data;

  (void)events;
  ctl_tick (&session->ctl, hc_now_us ());
  if (hc_now_us () >= session->deadline_us
      || (!session->append_open && ctl_ready (&session->ctl)))
    ev_break (loop, EVBREAK_ALL);
}

static void
on_append_done (void *user, enum ctl_outcome outcome, uint64_t offset,
                const struct cyc_led_effect *effect)
{
  struct cmd_session *session = user;

  session->append_open = false;
  session->outcome = outcome;
  session->offset = offset;
  if (effect != NULL)
    session->effect = *effect;
  ev_break (session->loop, EVBREAK_ALL);
}

bool
cmd_session_open (struct cmd_session *session,
                  const struct set_settings *settings,
                  struct cyc_findings *findings)
{
  memset (session, 0, sizeof *session);
  session->loop = ev_default_loop (0);
  ev_setup (&session->sink,
            &(struct ev_desc){ .vm = settings->vm,
                               .role = CYC_STR ("tool"),
                               .lowest_level = G_LOG_LEVEL_WARNING });
  if (!hc_setup (&session->client, &(struct hc_desc){ .loop = session->loop },
                 findings))
    return false;
  session->setup_steps_done++;
  if (!lc_http_setup (
          &session->http,
          &(struct lc_http_desc){ .client = &session->client,
                                  .url = cyc_str_of (settings->log_url) },
          findings))
    return false;
  session->setup_steps_done++;
  if (!ctl_setup (&session->ctl,
                  &(struct ctl_desc){ .log = &session->http.log,
                                      .vm = settings->vm,
                                      .timeout_ms = settings->log_timeout_ms,
                                      .wait_ms = LONG_POLL_MS },
                  findings))
    return false;
  session->setup_steps_done++;
  ev_timer_init (&session->tick, on_tick, 0.0, TICK_INTERVAL_S);
  session->tick.data = session;
  ev_timer_start (session->loop, &session->tick);
  session->setup_steps_done++;
  return true;
}

void
cmd_session_close (struct cmd_session *session)
{
  if (session->setup_steps_done > 3)
    ev_timer_stop (session->loop, &session->tick);
  if (session->setup_steps_done > 2)
    ctl_shutdown (&session->ctl);
  if (session->setup_steps_done > 1)
    lc_http_shutdown (&session->http);
  if (session->setup_steps_done > 0)
    hc_shutdown (&session->client);
  session->setup_steps_done = 0;
}

bool
cmd_session_catch_up (struct cmd_session *session)
{
  session->deadline_us = hc_now_us () + STEP_TIMEOUT_US;
  if (!ctl_ready (&session->ctl))
    ev_run (session->loop, 0);
  if (!ctl_ready (&session->ctl))
    fprintf (stderr, "the log service cannot be reached or does not hold the "
                     "whole control state\n");
  return ctl_ready (&session->ctl);
}

enum ctl_outcome
cmd_session_append (struct cmd_session *session, const struct cyc_id128 *id,
                    struct cyc_str record)
{
  struct ctl_append append = {
    .record_id = *id,
    .record = record,
    .deadline_us = hc_now_us () + STEP_TIMEOUT_US,
    .done = on_append_done,
    .user = session,
  };

  session->outcome = CTL_NOT_APPENDED;
  session->append_open = true;
  session->deadline_us = append.deadline_us + STEP_TIMEOUT_US;
  if (ctl_append (&session->ctl, &append))
    while (session->append_open && hc_now_us () < session->deadline_us)
      ev_run (session->loop, 0);
  if (session->append_open && session->outcome == CTL_NOT_APPENDED)
    session->outcome = CTL_UNKNOWN;
  session->append_open = false;
  free ((void *)record.data);
  return session->outcome;
}

int
cmd_session_explain (const struct cmd_session *session,
                     enum ctl_outcome outcome, const char *subject)
{
  const struct cyc_led_effect *effect = &session->effect;

  switch (outcome)
    {
    case CTL_ACCEPTED:
      return CMD_EXIT_DONE;
    case CTL_REFUSED:
      if (effect->conflict_item.len > 0)
        fprintf (stderr,
                 "%s: not accepted: %s was changed by %s (version %" PRIu64
                 ") after it was read; run the command again\n",
                 subject, effect->conflict_item.data,
                 effect->conflict_writer.data, effect->conflict_version);
      else
        fprintf (stderr, "%s: not accepted: %s\n", subject, effect->reason);
      return CMD_EXIT_FAILED;
    case CTL_NOT_APPENDED:
      fprintf (stderr,
               "%s: the log service did not take the record; nothing "
               "was changed\n",
               subject);
      return CMD_EXIT_UNREACHABLE;
    default:
      fprintf (stderr,
               "%s: not known whether the record took effect; running "
               "the command again is safe\n",
               subject);
      return CMD_EXIT_UNREACHABLE;
    }
}
