/**
 * @file
 * Counters and latency histograms of a process, exported as text.
 *
 * Plain counters are an enumeration. Labelled counters, one row per queue, are
 * in a table of fixed size. The bounds of histogram buckets are powers of two
 * microseconds. All values start at 0 when the process starts; `incarnation`
 * and `start_ms` in the text distinguish a restart from a period without load.
 *
 * @code
 * met_setup (&met, &(struct met_desc){ 0 }, &found);
 * met_add (&met, MET_REQUESTS, 1);
 * met_add_label (&met, MET_QUEUE_REQUESTS, queue_name, 1);
 * met_observe (&met, MET_ANSWER_US, 1250);
 * @endcode
 *
 * Errors: met_setup returns false and adds a finding if memory is exhausted;
 * met_text returns an empty string in that case.
 */
#ifndef METRICS_H
#define METRICS_H

#include <cyclamendrum/base.h>

#define MET_ITEMS(X)                                                          \
  X (MET_REQUESTS, "requests")                                                \
  X (MET_ANSWERS, "answers")                                                  \
  X (MET_NOT_RUN, "refused_not_run")                                          \
  X (MET_UNKNOWN, "outcome_unknown")                                          \
  X (MET_RETRIES, "retries")                                                  \
  X (MET_RETRIES_DENIED, "retries_denied")                                    \
  X (MET_FORWARDS, "forwards")                                                \
  X (MET_JOBS_ACCEPTED, "jobs_accepted")                                      \
  X (MET_JOBS_ENDED, "jobs_ended")                                            \
  X (MET_JOBS_REFUSED, "jobs_refused")                                        \
  X (MET_TASK_STARTS, "task_starts")                                          \
  X (MET_TASK_START_REFUSED, "task_starts_refused")                           \
  X (MET_TASK_ENDS, "task_ends")                                              \
  X (MET_ATTEMPTS_COUNTED, "attempts_failed")                                 \
  X (MET_ATTEMPTS_IGNORED, "attempts_ignored")                                \
  X (MET_JOBS_FAILED, "jobs_failed")                                          \
  X (MET_RUN_OVER_WRONG, "runs_over_wrong")                                   \
  X (MET_TASK_RUNS_TWICE, "task_runs_twice")                                  \
  X (MET_WORKERS_CRASHED, "workers_crashed")                                  \
  X (MET_TASKS_SUSPECTED, "tasks_suspected")                                  \
  X (MET_TASKS_CLEARED, "tasks_cleared")                                      \
  X (MET_TASKS_GIVEN_UP, "tasks_given_up")                                    \
  X (MET_IDLE_UNUSABLE, "idle_core_seconds_unusable")                         \
  X (MET_IDLE_EVACUATED, "idle_core_seconds_evacuated")                       \
  X (MET_IDLE_NO_WORK, "idle_core_seconds_no_work")                           \
  X (MET_IDLE_KEPT, "idle_core_seconds_kept")                                 \
  X (MET_IDLE_FRAGMENT, "idle_core_seconds_fragment")                         \
  X (MET_IDLE_GANG, "idle_core_seconds_gang")                                 \
  X (MET_IDLE_NO_TICKET, "idle_core_seconds_no_ticket")                       \
  X (MET_IDLE_OTHER, "idle_core_seconds_other")                               \
  X (MET_DOMAINS_EVACUATED, "domains_evacuated")                              \
  X (MET_DOMAINS_RETURNED, "domains_returned")                                \
  X (MET_EVACUATIONS_REFUSED, "evacuations_refused")                          \
  X (MET_PREEMPTED, "tasks_preempted")                                        \
  X (MET_SPEED_RECORDS, "speed_records_written")                              \
  X (MET_LOG_APPENDS, "log_appends")                                          \
  X (MET_LOG_APPEND_FAILURES, "log_append_failures")                          \
  X (MET_LOG_RECORDS, "log_records_read")                                     \
  X (MET_LOG_READ_BYTES, "log_read_bytes")                                    \
  X (MET_MIRROR_READS, "mirror_reads")                                        \
  X (MET_MIRROR_BYTES_IN, "mirror_bytes_in")                                  \
  X (MET_MIRROR_BYTES_OUT, "mirror_bytes_out")                                \
  X (MET_LOG_READ_BYTES_LOST, "log_read_bytes_lost")                          \
  X (MET_RECORDS_CORRUPT, "log_records_corrupt")                              \
  X (MET_SNAPSHOTS_WRITTEN, "snapshots_written")                              \
  X (MET_CLAIMS_WON, "claims_won")                                            \
  X (MET_CLAIMS_LOST, "claims_lost")                                          \
  X (MET_TRANSFERS, "limit_transfers")                                        \
  X (MET_PEER_FRAMES_IN, "peer_frames_in")                                    \
  X (MET_PEER_FRAMES_OUT, "peer_frames_out")                                  \
  X (MET_PEER_BYTES_IN, "peer_bytes_in")                                      \
  X (MET_PEER_BYTES_OUT, "peer_bytes_out")                                    \
  X (MET_PEER_BYTES_OUT_REGION, "peer_bytes_out_other_region")                \
  X (MET_HTTP_BYTES_IN, "http_bytes_in")                                      \
  X (MET_HTTP_BYTES_OUT, "http_bytes_out")                                    \
  X (MET_CONNECTIONS_SILENT, "connections_silent")                            \
  X (MET_CALLERS_OPEN_MAX, "caller_connections_max")                          \
  X (MET_CALLERS_ENDED_MEMORY, "caller_connections_ended_memory")             \
  X (MET_CALLERS_ENDED_CROWDED, "caller_connections_ended_crowded")           \
  X (MET_CALLERS_ENDED_OVERDUE, "caller_connections_ended_overdue")           \
  X (MET_CALLERS_REFUSED_TOO_LONG, "caller_bodies_too_long")                  \
  X (MET_JOBS_REFUSED_MEMORY, "jobs_refused_for_memory")                      \
  X (MET_TICKS, "ticks")                                                      \
  X (MET_TICK_CPU_US, "tick_cpu_us")

#define MET_LABEL_ITEMS(X)                                                    \
  X (MET_QUEUE_REQUESTS, "queue_requests")                                    \
  X (MET_QUEUE_IN_TIME, "queue_answered_in_time")                             \
  X (MET_QUEUE_ANSWERS, "queue_answers")                                      \
  X (MET_QUEUE_NOT_RUN, "queue_refused_not_run")                              \
  X (MET_QUEUE_UNKNOWN, "queue_outcome_unknown")                              \
  X (MET_QUEUE_JOBS_DONE, "queue_jobs_done")                                  \
  X (MET_QUEUE_JOBS_FAILED, "queue_jobs_failed")

#define MET_HIST_ITEMS(X)                                                     \
  X (MET_ANSWER_US, "answer_us")                                              \
  X (MET_QUEUE_WAIT_US, "queue_wait_us")                                      \
  X (MET_DECISION_US, "decision_us")                                          \
  X (MET_TASK_WAIT_US, "task_wait_us")                                        \
  X (MET_LOG_APPEND_US, "log_append_us")                                      \
  X (MET_START_CALL_US, "start_call_us")

#define MET_CODE(code, name) code,
enum met_counter
{
  MET_ITEMS (MET_CODE) MET_COUNTERS
};
enum met_label_counter
{
  MET_LABEL_ITEMS (MET_CODE) MET_LABEL_COUNTERS
};
enum met_hist
{
  MET_HIST_ITEMS (MET_CODE) MET_HISTS
};
#undef MET_CODE

/** Bucket i counts values from 2^(i-1) up to but not including 2^i
 * microseconds; the last bucket also counts all larger values. */
#define MET_BUCKETS 32

struct met_row
{
  struct cyc_name label;
  uint64_t values[MET_LABEL_COUNTERS];
};

struct met_desc
{
  uint32_t max_labels; /**< further labels are counted as "other"; 0: 4,096 */
};

struct met_set
{
  uint64_t counters[MET_COUNTERS];
  uint64_t hists[MET_HISTS][MET_BUCKETS];
  struct met_row *rows; /**< rows[0] is "other" */
  uint32_t *slots;      /**< hash table of row index + 1; 0 if empty */
  uint32_t slot_mask;
  uint32_t row_count;
  uint32_t max_rows;
  struct cyc_id128 incarnation;
  uint64_t start_ms; /**< Unix milliseconds */
};

bool met_setup (struct met_set *met, const struct met_desc *desc,
                struct cyc_findings *findings);
void met_shutdown (struct met_set *met);
void met_add (struct met_set *met, enum met_counter counter, uint64_t amount);
void met_add_label (struct met_set *met, enum met_label_counter counter,
                    struct cyc_str label, uint64_t amount);
void met_observe (struct met_set *met, enum met_hist hist, uint64_t us);
/** Returns all values as text, one "name value" or "name{label} value" per
 * line. The caller releases the data with free(). */
struct cyc_str met_text (const struct met_set *met);

#endif
