/**
 * @file
 * Session of a short-lived command with the control stream: reads the stream
 * to its head, appends one record and waits until it was read back.
 *
 * @code
 * if (cmd_session_open (&session, &settings, &found)
 *     && cmd_session_catch_up (&session))
 *   outcome = cmd_session_append (&session, &id, record);
 * cmd_session_close (&session);
 * @endcode
 */
#ifndef CMD_SESSION_H
#define CMD_SESSION_H

#include "cmd_settings.h"
#include "control.h"
#include "log_event.h"
#include "settings.h"

struct cmd_session
{
  struct ev_sink sink;
  struct ev_loop *loop;
  struct ev_timer tick;
  struct hc_client client;
  struct lc_http http;
  struct ctl_control ctl;
  uint64_t deadline_us;
  bool append_open;
  enum ctl_outcome outcome;
  uint64_t offset; /**< of the record that was read back */
  struct cyc_led_effect effect;
  uint32_t setup_steps_done; /**< cmd_session_close undoes them in reverse */
};

bool cmd_session_open (struct cmd_session *session,
                       const struct set_settings *settings,
                       struct cyc_findings *findings);
void cmd_session_close (struct cmd_session *session);
/** Reads the stream to its head. Returns false if that was not reached in
 * time. */
bool cmd_session_catch_up (struct cmd_session *session);
/** Appends @p record and waits until it was read back, which sets `effect` and
 * `offset` of the session, or until the timeout. Releases @p record. */
enum ctl_outcome cmd_session_append (struct cmd_session *session,
                                     const struct cyc_id128 *id,
                                     struct cyc_str record);
/** Prints why a record did not take effect and returns the exit code. */
int cmd_session_explain (const struct cmd_session *session,
                         enum ctl_outcome outcome, const char *subject);

#endif
