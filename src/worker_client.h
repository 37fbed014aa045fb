/**
 * @file
 * The interface of the platform's workers, behind a vtable: start a task,
 * heartbeat (renews leases, lists tasks and usage), and commands to a task.
 *
 * `struct wc_worker` is the first member of each implementation: the HTTP
 * client (struct wc_http) and the in-memory one that tests use. Every call
 * that was begun ends with exactly one call of its `done` function.
 *
 * @code
 * wc_http_setup (&http, &(struct wc_http_desc){ .client = &hc }, &found);
 * wc_start (&http.worker, &(struct wc_start){ .address = url, ... });
 * @endcode
 *
 * Errors: WC_UNKNOWN means that the call may have taken effect. Whether such a
 * start runs is known from a heartbeat that was sent after the start's
 * not-after time. A 409 "duplicate" is WC_UNKNOWN too, because the worker may
 * know the task from an earlier copy of the same call.
 */
#ifndef WORKER_CLIENT_H
#define WORKER_CLIENT_H

#include "http_client.h"

#include <cyclamendrum/config.h>

#define WC_TASK_BYTES 160 /**< "svc-" + two names + index */

enum wc_outcome
{
  WC_OK = 0,
  WC_REFUSED, /**< the worker answered that it did not do it; see refusal */
  WC_FAILED,  /**< provably not done: nothing was sent */
  WC_UNKNOWN  /**< it may have taken effect */
};

enum wc_refusal
{
  WC_REFUSAL_NONE = 0,
  WC_REFUSAL_STALE_EPOCH,
  WC_REFUSAL_EXPIRED,
  WC_REFUSAL_NO_CAPACITY,
  WC_REFUSAL_NO_TASK, /**< a command to a task that the worker does not have */
  WC_REFUSAL_OTHER
};

struct wc_result
{
  enum wc_outcome outcome;
  enum wc_refusal refusal;
};

struct wc_start
{
  struct cyc_str address;
  struct cyc_str task;
  struct cyc_id128 lease;
  uint64_t epoch;
  uint32_t shard;
  uint64_t not_after_us; /**< monotonic; sent as wall-clock time */
  enum cyc_queue_kind kind;
  struct cyc_str queue;
  struct cyc_resources size;
  uint32_t run_ms;
  struct cyc_str checkpoint; /**< to resume from, as named by the worker */
  uint64_t deadline_us;
  void (*done) (void *user, const struct wc_result *result);
  void *user;
};

struct wc_lease
{
  struct cyc_id128 lease;
  uint64_t not_after_us;
};

struct wc_heartbeat_result;

struct wc_heartbeat
{
  struct cyc_str address;
  uint64_t epoch;
  const struct wc_lease *leases;
  uint32_t lease_count;
  const struct cyc_str *acked; /**< ended tasks that the worker may drop */
  uint32_t acked_count;
  uint64_t deadline_us;
  /** Opens a new connection, because the last one no longer answered. */
  bool fresh_connection;
  void (*done) (void *user, const struct wc_heartbeat_result *result);
  void *user;
};

enum wc_task_state
{
  WC_TASK_RUNNING,
  WC_TASK_DONE,
  WC_TASK_FAILED,
  WC_TASK_STOPPED,
  WC_TASK_CHECKPOINTED
};

struct wc_task
{
  struct cyc_str task;
  struct cyc_id128 lease;
  struct cyc_str queue;
  enum wc_task_state state;
  struct cyc_str reason;
  struct cyc_str checkpoint;
  struct cyc_resources size;
  struct cyc_resources used;
  uint64_t not_after_us; /**< monotonic */
};

struct wc_heartbeat_result
{
  enum wc_outcome outcome;
  enum wc_refusal refusal;
  uint64_t epoch;
  bool draining;
  uint32_t usage_age_ms;
  const struct wc_task *tasks; /**< valid only during the call */
  uint32_t count;
};

enum wc_verb
{
  WC_STOP,
  WC_CHECKPOINT,
  WC_THROTTLE,
  WC_UNTHROTTLE
};

struct wc_command
{
  struct cyc_str address;
  struct cyc_str task;
  enum wc_verb verb;
  uint64_t epoch;
  uint64_t deadline_us;
  void (*done) (void *user, const struct wc_result *result);
  void *user;
};

struct wc_worker;

struct wc_vtable
{
  bool (*start) (struct wc_worker *worker, const struct wc_start *start);
  bool (*heartbeat) (struct wc_worker *worker,
                     const struct wc_heartbeat *heartbeat);
  bool (*command) (struct wc_worker *worker, const struct wc_command *command);
};

struct wc_worker
{
  const struct wc_vtable *vtable;
};

/** Each returns false if the call was not begun; `done` is then not
 * called. */
bool wc_start (struct wc_worker *worker, const struct wc_start *start);
bool wc_heartbeat (struct wc_worker *worker,
                   const struct wc_heartbeat *heartbeat);
bool wc_command (struct wc_worker *worker, const struct wc_command *command);

struct wc_http_desc
{
  struct hc_client *client;
  uint32_t max_calls; /**< 0: 8,192 */
};

struct wc_http_call;

struct wc_http
{
  struct wc_worker worker;
  struct hc_client *client;
  struct wc_http_call *calls; /**< fixed pool */
  struct cyc_pool pool;
};

bool wc_http_setup (struct wc_http *http, const struct wc_http_desc *desc,
                    struct cyc_findings *findings);
/** Call before the HTTP client is shut down; no `done` is called later. */
void wc_http_shutdown (struct wc_http *http);

#endif
