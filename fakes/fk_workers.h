/**
 * @file
 * Fake of the platform's workers: many in one process, each with its own port
 * and the path prefix `/w/NAME`. A worker runs tasks, enforces their leases
 * and epochs, and answers the requests to the services that run on it.
 *
 * The control port answers:
 * - `POST /workers` {"workers":[{"name","domain","rack","millicores",...}]}
 *   adds workers; `GET /vms` returns all of them in the format of the VM list;
 * - `POST /faults` {"worker": NAME or "*", ...}, see struct fk_worker_faults;
 * - `GET /journal`: one JSON object per line. Events: "start",
 *   "start-refused", "end" (with from_ms, to_ms and state), "request",
 *   "answer", "lost", "request-refused", "overrun", "fault". Every refusal for
 *   lack of capacity, slots or connections also adds an "overrun".
 *
 * Capacity, epochs, leases, slots and connections are enforced, so that a test
 * finds in the journal each attempt that would overload a real worker.
 * Capacity is compared with the actual usage ("usage_permille" of the declared
 * sizes), accelerators with the declared number.
 */
#ifndef FK_WORKERS_H
#define FK_WORKERS_H

#include "fk_common.h"

#define FK_MAX_WORKERS 256
#define FK_MAX_CONNECTIONS 1024 /**< tracked per worker */

/** Members of the same names in `POST /faults`. */
struct fk_worker_faults
{
  bool fail_starts;             /**< each task fails right after its start */
  bool silent;                  /**< calls are not answered */
  bool gone;                    /**< the VM is lost with all its tasks */
  bool draining;                /**< the worker announces its shutdown */
  bool accept_any;              /**< answers requests of any queue */
  int64_t lose_start_answers;   /**< next starts that run without answer */
  int64_t lose_request_answers; /**< next requests that run without answer */
  int64_t service_ms;           /**< duration of a request */
  int64_t run_permille;         /**< run time relative to the declared one */
  int64_t usage_permille; /**< actual usage relative to the declared size */
  int64_t usage_lag_ms;   /**< interval between samples of the usage */
};

struct fk_task
{
  char name[96];
  char lease[64];
  char queue[64];
  char kind[16];
  char reason[64];
  const char *state; /**< running, done, failed, stopped, checkpointed */
  int64_t epoch;
  int64_t not_after_ms;
  int64_t start_ms;
  int64_t run_ms; /**< 0: the task runs until it is stopped */
  int64_t remaining_ms;
  int64_t millicores;
  int64_t memory_mib;
  int64_t accelerators;
  int64_t used_millicores;
  int64_t used_memory_mib;
  bool throttled;
};

/** Request in progress. */
struct fk_request
{
  struct cyc_ref ref;
  struct MHD_Connection *connection;
  char id[64];
  char queue[64];
  GBytes *body;
  uint64_t due_us;
};

struct fk_workers;

struct fk_worker
{
  struct fk_workers *fleet;
  struct hs_server hs;
  char name[64];
  char domain[64];
  char rack[64];
  int64_t millicores;
  int64_t memory_mib;
  int64_t accelerators;
  int64_t slots;
  int64_t connections;
  int64_t epoch;
  uint16_t port;
  struct fk_worker_faults faults;
  GPtrArray *tasks;         /**< struct fk_task, kept until acknowledged */
  GArray *requests;         /**< struct fk_request */
  int64_t usage_sampled_ms; /**< time of the last sample of the usage */
  int64_t draining_ms;      /**< start of the draining; 0 if not draining */
  uint64_t connection_cookies[FK_MAX_CONNECTIONS]; /**< connections that sent
                                                      requests */
  int connection_fds[FK_MAX_CONNECTIONS];
  uint32_t connection_count;
  uint64_t silent_cookies[FK_MAX_CONNECTIONS]; /**< no answers on these */
  uint32_t silent_cookie_count;
};

struct fk_workers
{
  struct ev_loop *loop;
  struct hs_server hs;
  struct ev_timer timer;
  uint64_t last_tick_us;
  int64_t service_ms;
  struct fk_journal journal;
  struct fk_worker *workers[FK_MAX_WORKERS];
  uint32_t worker_count;
};

bool fk_workers_setup (struct fk_workers *fleet, struct ev_loop *loop,
                       uint16_t port, int64_t service_ms,
                       struct cyc_findings *findings);
void fk_workers_shutdown (struct fk_workers *fleet);
/** Adds the workers of a JSON object {"workers":[...]}. */
bool fk_workers_add (struct fk_workers *fleet, struct json_object *json);
/** Returns the workers in the format of the VM list; the caller owns the
 * result. */
struct json_object *fk_workers_vms (const struct fk_workers *fleet);

/** New journal event of a worker. */
struct json_object *fk_event (const struct fk_worker *worker,
                              const char *event);
void fk_event_text (struct json_object *event, const char *key,
                    const char *value);
void fk_event_int (struct json_object *event, const char *key, int64_t value);
void fk_event_add (struct fk_worker *worker, struct json_object *event);

/** Task interface: paths below `/v1/tasks` and `/v1/heartbeat`. */
void fk_tasks_call (struct fk_worker *worker, const struct hs_call *call,
                    struct cyc_str path);
void fk_tasks_tick (struct fk_worker *worker, int64_t elapsed_ms);
/** Ends all tasks as failed, as when the VM is lost. */
void fk_tasks_fail_all (struct fk_worker *worker);
/** True if a replica of a service runs here that serves the queue. */
bool fk_tasks_serves (const struct fk_worker *worker, struct cyc_str queue);

/** Request interface: paths below `/v1/requests`. */
void fk_requests_call (struct fk_worker *worker, const struct hs_call *call,
                       struct cyc_str queue);
void fk_requests_tick (struct fk_worker *worker);
/** Closes the connections of all requests in progress without an answer. */
void fk_requests_drop_all (struct fk_worker *worker);
/** From now on, no call on the currently open connections is answered. */
void fk_requests_silence_connections (struct fk_worker *worker);
/** True if the call came on a connection that gets no answers. */
bool fk_requests_connection_silent (const struct fk_worker *worker,
                                    const struct hs_call *call);

#endif
