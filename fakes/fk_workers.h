/**
 * @file
 * Fake of the platform's workers: many in one process, each with its own port
 * and the path prefix `/w/NAME`. A worker runs tasks under leases and epochs
 * and answers the requests of the services that run on it.
 *
 * The control port answers:
 * - `POST /workers` {"workers":[{"name","domain","rack","millicores",...}]}
 *   adds workers; `GET /vms` lists them all in the form of the VM list;
 * - `POST /faults` {"worker": NAME or "*", ...}, see struct fk_worker_faults;
 * - `GET /journal`: one JSON object a line. Events: "start", "start-refused",
 *   "end" (with from_ms, to_ms and state), "request", "answer",
 *   "request-refused", "overrun", "fault". Every refusal for lack of room or
 *   slots is also an "overrun".
 *
 * Capacity, epochs, leases and slots are enforced as a backstop, so a checker
 * that reads the journal sees an attempt that a real worker would suffer from.
 * Capacity is compared with the true usage ("usage_permille" of the declared
 * sizes), accelerators with the declared number.
 */
#ifndef FK_WORKERS_H
#define FK_WORKERS_H

#include "fk_common.h"

#define FK_MAX_WORKERS 256
#define FK_MAX_CONNECTIONS 1024

/** Members of the same names in `POST /faults`. */
struct fk_worker_faults
{
  bool fail_starts;             /**< each task fails at once */
  bool silent;                  /**< nothing is answered */
  bool gone;                    /**< the VM is lost with all its tasks */
  bool draining;                /**< graceful shutdown was announced */
  bool accept_any;              /**< answers requests of any queue */
  int64_t lose_start_answers;   /**< starts that take effect unanswered */
  int64_t lose_request_answers; /**< requests that run unanswered */
  int64_t service_ms;           /**< time of one request */
  int64_t run_permille;         /**< run time against the declared one */
  int64_t usage_permille;       /**< usage against the declared size */
  int64_t usage_lag_ms;         /**< usage is sampled so seldom */
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
  int64_t run_ms; /**< 0: until stopped */
  int64_t remaining_ms;
  int64_t millicores;
  int64_t memory_mib;
  int64_t accelerators;
  int64_t used_millicores;
  int64_t used_memory_mib;
  bool throttled;
};

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
  GPtrArray *tasks; /**< struct fk_task; ended ones until acknowledged */
  GArray *requests; /**< struct fk_request in progress */
  int64_t usage_sampled_ms;                        /**< of the usage */
  int64_t draining_ms;                             /**< since when; 0: not */
  uint64_t connection_cookies[FK_MAX_CONNECTIONS]; /**< connections that sent
                                                      requests */
  int connection_fds[FK_MAX_CONNECTIONS];
  uint32_t connection_count;
  uint64_t
      silent_cookies[FK_MAX_CONNECTIONS]; /**< connections that went silent */
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
/** The workers in the form of the VM list; the caller owns the result. */
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
/** Ends all tasks, as the loss of the VM does. */
void fk_tasks_fail_all (struct fk_worker *worker);
bool fk_tasks_serves (const struct fk_worker *worker, struct cyc_str queue);

/** Request interface: paths below `/v1/requests`. */
void fk_requests_call (struct fk_worker *worker, const struct hs_call *call,
                       struct cyc_str queue);
void fk_requests_tick (struct fk_worker *worker);
void fk_requests_drop_all (struct fk_worker *worker);
/** Connections seen so far answer nothing any more. */
void fk_requests_silence_connections (struct fk_worker *worker);
/** True when the call came on a connection that went silent. */
bool fk_requests_connection_silent (const struct fk_worker *worker,
                                    const struct hs_call *call);

#endif
