/**
 * @file
 * Log events: a table of codes, levels and names. Each event is one line of
 * key=value pairs, written through GLib's structured logging: `ts`, `level`
 * and `event`, then the keys of the event, then `vm` and `role`.
 *
 * Logging never blocks. A line that cannot be written at once is dropped, and
 * so are INFO and DEBUG lines above the rate limit; the event `lines_dropped`
 * reports the number of dropped lines.
 *
 * Call ev_setup once, then ev_log with the keys of the event as a printf
 * format. Quote values that may contain spaces.
 *
 * Errors: no function fails. ev_log truncates the text of the keys to 1,023
 * bytes.
 *
 * @code
 * struct ev_sink sink;
 * struct ev_desc desc = { .vm = vm, .role = CYC_STR ("gateway") };
 *
 * ev_setup (&sink, &desc);
 * ev_log (EV_CLAIM_WON, "domain=%.*s epoch=%" PRIu64, CYC_FMT (d), epoch);
 * @endcode
 */
#ifndef LOG_EVENT_H
#define LOG_EVENT_H

#include <cyclamendrum/base.h>
#include <glib.h>
#include <inttypes.h>

/** Code, GLib level and name in the line. docs/OPERATIONS.md describes each
 * event. */
#define EV_ITEMS(X)                                                           \
  X (EV_STARTED, MESSAGE, "started")                                          \
  X (EV_READY, MESSAGE, "ready")                                              \
  X (EV_DRAINING, MESSAGE, "draining")                                        \
  X (EV_STOPPED, MESSAGE, "stopped")                                          \
  X (EV_SETUP_FAILED, CRITICAL, "setup_failed")                               \
  X (EV_LOG_UNREACHABLE, WARNING, "log_unreachable")                          \
  X (EV_LOG_REACHABLE, MESSAGE, "log_reachable")                              \
  X (EV_LOG_TRIMMED, WARNING, "log_trimmed")                                  \
  X (EV_RECORD_CORRUPT, WARNING, "record_corrupt")                            \
  X (EV_RECORD_REFUSED, MESSAGE, "record_refused")                            \
  X (EV_RECORD_UNWRITABLE, CRITICAL, "record_unwritable")                     \
  X (EV_SNAPSHOT_WRITTEN, MESSAGE, "snapshot_written")                        \
  X (EV_SNAPSHOT_LOADED, MESSAGE, "snapshot_loaded")                          \
  X (EV_CONFIG_IN_FORCE, MESSAGE, "config_in_force")                          \
  X (EV_KEY_CHANGED, MESSAGE, "key_changed")                                  \
  X (EV_KEYS_STALE, WARNING, "keys_stale")                                    \
  X (EV_KEYS_FRESH, MESSAGE, "keys_fresh")                                    \
  X (EV_CLAIM_WON, MESSAGE, "claim_won")                                      \
  X (EV_CLAIM_LOST, WARNING, "claim_lost")                                    \
  X (EV_CLAIM_RELEASED, MESSAGE, "claim_released")                            \
  X (EV_CLAIM_EXTENDED, WARNING, "claim_extended")                            \
  X (EV_STOCK_TAKEN, MESSAGE, "stock_taken")                                  \
  X (EV_TASK_STARTED, DEBUG, "task_started")                                  \
  X (EV_TASK_REFUSED, INFO, "task_refused")                                   \
  X (EV_TASK_ENDED, DEBUG, "task_ended")                                      \
  X (EV_JOB_ACCEPTED, INFO, "job_accepted")                                   \
  X (EV_JOB_ENDED, INFO, "job_ended")                                         \
  X (EV_JOB_REFUSED, MESSAGE, "job_refused")                                  \
  X (EV_WORKER_SILENT, WARNING, "worker_silent")                              \
  X (EV_WORKER_BACK, MESSAGE, "worker_back")                                  \
  X (EV_WORKER_EJECTED, WARNING, "worker_ejected")                            \
  X (EV_WORKER_STALE_EPOCH, WARNING, "worker_stale_epoch")                    \
  X (EV_TARGET_LEAVING, MESSAGE, "target_leaving")                            \
  X (EV_TARGET_SUSPECT, WARNING, "target_suspect")                            \
  X (EV_CONNECTION_SILENT, WARNING, "connection_silent")                      \
  X (EV_REQUEST_REFUSED, INFO, "request_refused")                             \
  X (EV_REQUEST_UNKNOWN, WARNING, "request_unknown")                          \
  X (EV_PEER_UP, MESSAGE, "peer_up")                                          \
  X (EV_PEER_DOWN, WARNING, "peer_down")                                      \
  X (EV_PEER_REFUSED, WARNING, "peer_refused")                                \
  X (EV_SEAT_CONFLICT, CRITICAL, "seat_conflict")                             \
  X (EV_TRANSFER, INFO, "transfer")                                           \
  X (EV_VM_LIST_FAILED, WARNING, "vm_list_failed")                            \
  X (EV_RELOADED, MESSAGE, "reloaded")                                        \
  X (EV_APPEND_FAILED, WARNING, "append_failed")                              \
  X (EV_READ_FAILED, WARNING, "read_failed")                                  \
  X (EV_MIRROR_USED, MESSAGE, "mirror_used")                                  \
  X (EV_MIRROR_FAILED, WARNING, "mirror_failed")                              \
  X (EV_READ_CUT, WARNING, "read_cut")                                        \
  X (EV_ENTRY_UNUSABLE, MESSAGE, "entry_unusable")                            \
  X (EV_WORKER_ROW_UNKNOWN, WARNING, "worker_row_unknown")                    \
  X (EV_ADVICE, INFO, "advice")                                               \
  X (EV_ADVICE_FAILED, MESSAGE, "advice_failed")                              \
  X (EV_LEAD_SEEN, MESSAGE, "lead_seen")                                      \
  X (EV_LEAD_CLAIMED, MESSAGE, "lead_claimed")                                \
  X (EV_LEAD_HANDED_OVER, MESSAGE, "lead_handed_over")                        \
  X (EV_LEAD_LOST, WARNING, "lead_lost")                                      \
  X (EV_LEAD_ENDED, MESSAGE, "lead_ended")                                    \
  X (EV_LEAD_LOADED, MESSAGE, "lead_loaded")                                  \
  X (EV_PROGRESS_ORPHANED, MESSAGE, "progress_orphaned")                      \
  X (EV_WORKER_LISTED, MESSAGE, "worker_listed")                              \
  X (EV_JOB_SEEN, INFO, "job_seen")                                           \
  X (EV_JOB_CANCELLED, INFO, "job_cancelled")                                 \
  X (EV_RUN_START, INFO, "run_start")                                         \
  X (EV_RUN_REFUSED, MESSAGE, "run_refused")                                  \
  X (EV_RUN_STOP, INFO, "run_stop")                                           \
  X (EV_RUN_END, INFO, "run_end")                                             \
  X (EV_ATTEMPT_COUNTED, INFO, "attempt_counted")                             \
  X (EV_ATTEMPT_IGNORED, INFO, "attempt_ignored")                             \
  X (EV_JOB_FAILED, MESSAGE, "job_failed")                                    \
  X (EV_RUN_OVER, MESSAGE, "run_over")                                        \
  X (EV_RUN_OVER_REFUSED, INFO, "run_over")                                   \
  X (EV_RUN_OVER_WRONG, WARNING, "run_over_wrong")                            \
  X (EV_RUN_OVER_ENDED, MESSAGE, "run_over_ended")                            \
  X (EV_RUN_OVER_ENDED_LATER, WARNING, "run_over_ended")                      \
  X (EV_TASK_RUNS_TWICE, WARNING, "task_runs_twice")                          \
  X (EV_RUN_COUNTS, MESSAGE, "run_counts")                                    \
  X (EV_WORKER_LEFT, MESSAGE, "worker_left")                                  \
  X (EV_WORKER_BROKEN, MESSAGE, "worker_broken")                              \
  X (EV_WORKER_CRASHED, WARNING, "worker_crashed")                            \
  X (EV_WORKER_ALIVE, MESSAGE, "worker_alive")                                \
  X (EV_TASK_SUSPECTED, MESSAGE, "task_suspected")                            \
  X (EV_TASK_CLEARED, MESSAGE, "task_cleared")                                \
  X (EV_TRIAL_HELD, MESSAGE, "trial_held")                                    \
  X (EV_TRIAL_HOLD_FAILED, MESSAGE, "trial_hold_failed")                      \
  X (EV_TASK_GIVEN_UP, WARNING, "task_given_up")                              \
  X (EV_REQUEST_UNANSWERED, MESSAGE, "request_unanswered")                    \
  X (EV_DOMAIN_EVACUATED, MESSAGE, "domain_evacuated")                        \
  X (EV_DOMAIN_EMPTY, MESSAGE, "domain_empty")                                \
  X (EV_DOMAIN_RETURNED, MESSAGE, "domain_returned")                          \
  X (EV_EVACUATION_REFUSED, MESSAGE, "evacuation_refused")                    \
  X (EV_STARTS_HELD, WARNING, "starts_held")                                  \
  X (EV_CONNECTIONS_ENDED, WARNING, "connections_ended")                      \
  X (EV_LOAD, MESSAGE, "load")                                                \
  X (EV_STEP_STALLED, MESSAGE, "step_stalled")                                \
  X (EV_LINES_DROPPED, WARNING, "lines_dropped")

enum ev_code
{
#define EV_CODE(code, level, name) code,
  EV_ITEMS (EV_CODE)
#undef EV_CODE
      EV_COUNT
};

struct ev_desc
{
  struct cyc_name vm;
  struct cyc_str role;
  GLogLevelFlags
      lowest_level; /**< least severe level that is logged; 0: MESSAGE */
  int fd;           /**< 0: standard error */
  uint32_t max_lines_per_s; /**< INFO and DEBUG lines; 0: no limit */
};

struct ev_sink
{
  struct cyc_name vm;
  struct cyc_name role;
  GLogLevelFlags lowest_level;
  int fd;
  uint32_t max_lines_per_s;
  double credit; /**< INFO and DEBUG lines that may be written now */
  uint64_t credit_updated_us; /**< time of the last increase; monotonic */
  uint64_t dropped; /**< lines dropped since the last lines_dropped event */
};

/** Installs the log writer of GLib, which can be set only once in a process.
 * @p sink must remain valid as long as events are logged. */
void ev_setup (struct ev_sink *sink, const struct ev_desc *desc);
/** Logs one event; @p format gives its keys. */
void ev_log (enum ev_code code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Logs each finding as one event with @p code. */
void ev_findings (enum ev_code code, const struct cyc_findings *findings);

#endif
