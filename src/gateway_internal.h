/**
 * @file
 * Private state of the gateway, shared by the gateway_*.c files.
 *
 * Every accepted request is a row of one fixed table; its stage says what it
 * waits for. Callbacks of clients and links change rows and call gw_wake; one
 * tick runs the systems in fixed order.
 */
#ifndef GATEWAY_INTERNAL_H
#define GATEWAY_INTERNAL_H

#include "burn_report.h"
#include "control.h"
#include "follow.h"
#include "gateway.h"
#include "http_server.h"
#include "log_event.h"
#include "peer.h"

#include <cyclamendrum/jobs.h>
#include <cyclamendrum/once.h>
#include <cyclamendrum/route.h>
#include <json-c/json.h>

#define GW_US_PER_MS UINT64_C (1000)
#define GW_BATCH_MAX 256
#define GW_AGGREGATES_MAX CYC_MAX_DOMAINS

enum gw_stage
{
  GW_STAGE_INTENT_APPEND = 1, /**< its intent is to be read back */
  GW_STAGE_DUPLICATE,         /**< another request here has the same id */
  GW_STAGE_OUTCOME_QUERY,     /**< the winner of the id is asked */
  GW_STAGE_QUEUED,            /**< in the routing core */
  GW_STAGE_IN_FLIGHT,         /**< sent to a target */
  GW_STAGE_BACKOFF,           /**< tries again at `retry_at_us` */
  GW_STAGE_FORWARDED,         /**< sent to a gateway of another domain */
  GW_STAGE_JOB_APPEND,        /**< its job record is to be read back */
  GW_STAGE_JOB_QUERY          /**< the owner of the job is asked */
};

/** Refusals: code, word, status, title, Retry-After in s (0: none). */
#define GW_PROBLEMS(X)                                                        \
  X (GW_BAD_REQUEST, "bad-request", 400, "malformed request", 0)              \
  X (GW_NO_VALID_KEY, "no-valid-key", 401, "no valid key", 0)                 \
  X (GW_WRONG_TEAM, "wrong-team", 403, "key of another team", 0)              \
  X (GW_UNKNOWN_QUEUE, "unknown-queue", 404, "unknown queue", 0)              \
  X (GW_UNKNOWN_JOB, "unknown-job", 404, "unknown job", 0)                    \
  X (GW_UNKNOWN_PATH, "unknown-path", 404, "unknown path", 0)                 \
  X (GW_BAD_METHOD, "method", 405, "method not allowed", 0)                   \
  X (GW_WRONG_QUEUE_KIND, "wrong-kind", 409, "wrong kind of queue", 0)        \
  X (GW_ANSWER_NOT_KEPT, "answer-not-kept", 409, "answer is not kept", 0)     \
  X (GW_BODY_DIFFERS, "body-differs", 422, "key used with another body", 0)   \
  X (GW_JOB_SIZE, "job-size", 422, "job cannot run", 0)                       \
  X (GW_TEAM_QUEUE_FULL, "team-queue-full", 429, "too many waiting requests", \
     1)                                                                       \
  X (GW_OVERLOAD, "overload", 503, "gateway is full", 1)                      \
  X (GW_NO_TARGET, "no-target", 503, "no target", 1)                          \
  X (GW_TOO_LATE, "too-late", 503, "wait exceeds the deadline", 1)            \
  X (GW_TARGET_REFUSED, "target-refused", 503, "targets refused", 1)          \
  X (GW_LOG_UNREACHABLE, "log-unreachable", 503, "log is unreachable", 2)     \
  X (GW_KEYS_STALE, "keys-stale", 503, "keys cannot be checked", 2)           \
  X (GW_NOT_READY, "not-ready", 503, "configuration is not known", 1)         \
  X (GW_DRAINING, "draining", 503, "gateway is stopping", 1)                  \
  X (GW_CONNECTION_LOST, "connection-lost", 502,                              \
     "connection to the target lost", 0)                                      \
  X (GW_DEADLINE_PASSED, "deadline", 504, "deadline passed", 0)

enum gw_problem
{
#define GW_CODE(code, word, status, title, retry) code,
  GW_PROBLEMS (GW_CODE)
#undef GW_CODE
      GW_PROBLEM_COUNT
};

struct gw_state;

struct gw_request
{
  struct gw_state *gw;
  struct cyc_ref ref;
  enum gw_stage stage;
  bool has_call; /**< an HTTP caller waits */
  struct cyc_ref call;
  bool has_peer; /**< a peer forwarded it */
  struct cyc_ref peer;
  uint64_t peer_forward_id;
  struct cyc_name queue;
  struct cyc_name team;
  uint32_t weight;
  bool once;                     /**< may not be repeated */
  bool may_have_earlier_attempt; /**< an earlier attempt cannot be ruled out */
  bool won_intent;               /**< its intent won */
  bool sent;                     /**< a byte may have reached a target */
  bool appended;                 /**< its record was given to the log */
  struct cyc_id128 id;
  struct cyc_id128 body_digest;
  char *body;
  size_t body_len;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t retry_at_us; /**< BACKOFF, ASK: next step */
  uint32_t attempt;
  struct cyc_ref ticket;   /**< WAIT */
  struct cyc_ref flight;   /**< FLIGHT */
  struct cyc_ref transfer; /**< FLIGHT */
  struct cyc_name avoid;   /**< worker of the failed attempt */
  uint32_t domains_tried;  /**< bit: index in the fleet */
  struct cyc_ref forward_peer;
  bool job_cancel;
  uint32_t job_tasks;
  uint64_t job_queue_version;
  struct cyc_name job_domain;
};

enum gw_kept_stage
{
  GW_KEPT_INTENT,
  GW_KEPT_WON,
  GW_KEPT_ENDED
};

/** A once-only request that this gateway handles or has answered. */
struct gw_kept_request
{
  struct cyc_ref ref;
  struct cyc_id128 id;
  struct cyc_id128 body_digest;
  enum gw_kept_stage stage;
  enum cyc_outcome outcome;
  uint32_t status;
  char *body;
  size_t body_len;
  bool body_dropped; /**< over the bound of kept bytes */
  uint64_t expire_us;
  uint32_t next;
};

enum gw_append_kind
{
  GW_APPEND_INTENTS,
  GW_APPEND_JOBS,
  GW_APPEND_OUTCOMES,
  GW_APPEND_KINDS
};

struct gw_batch_entry
{
  struct cyc_ref request;
  struct cyc_id128 id;
  struct cyc_id128 body_digest;
};

/** One append on its way. */
struct gw_batch
{
  struct gw_state *gw;
  struct cyc_ref ref;
  enum gw_append_kind kind;
  uint32_t count;
  uint64_t started_us;
  struct gw_batch_entry entries[GW_BATCH_MAX];
};

struct gw_aggregate
{
  struct cyc_name domain;
  uint64_t epoch;
  uint64_t free_millicores;
  uint64_t received_us;
};

struct gw_state
{
  struct gw_desc desc;
  const struct set_settings *settings;
  struct met_set met;
  struct bw_set burn;
  struct hs_server server;
  struct hc_client targets;
  struct hc_client log_calls;
  struct lc_http http_log;
  struct lc_log *log;
  struct ctl_control control;
  struct fo_follow intents;
  struct fo_follow jobs_stream;
  struct cyc_once once;
  struct cyc_jobs jobs;
  struct cyc_route route;
  struct pl_links links;
  struct cyc_id128 incarnation;
  struct ev_timer timer;
  struct ev_prepare prepare;
  bool wake;
  uint64_t next_scan_us;
  uint64_t next_second_us;
  uint64_t applied_config_version;
  uint64_t targets_epoch;
  struct cyc_ref demand_peer;
  uint32_t
      logged_suspect_count; /**< suspect and ejected targets, newest event */
  uint64_t
      oldest_demand_sent_us; /**< sending of the oldest unanswered demand */
  uint64_t newest_demand_sent_us; /**< sending of the newest one */
  bool seat_conflict;
  bool keys_were_stale;
  bool was_ready;
  struct cyc_pool request_pool;
  struct gw_request *requests;
  struct cyc_ref *by_call; /**< request of an HTTP call, by its index */
  uint32_t by_call_count;
  struct cyc_pool kept_pool;
  struct gw_kept_request *kept;
  uint32_t *kept_buckets; /**< row + 1 */
  uint32_t kept_mask;
  size_t kept_bytes;
  struct cyc_ref *kept_ended; /**< ring of answered rows, oldest first */
  uint32_t kept_ended_head;
  uint32_t kept_ended_count;
  struct cyc_pool batch_pool;
  struct gw_batch *batches;
  struct cyc_ref *pending_intents;
  uint32_t pending_intent_count;
  struct cyc_ref *pending_jobs;
  uint32_t pending_job_count;
  struct cyc_once_outcome *pending_outcomes;
  uint32_t pending_outcome_count;
  uint64_t next_append_us;
  enum gw_append_kind last_append_kind;
  struct gw_aggregate aggregates[GW_AGGREGATES_MAX];
  uint32_t aggregate_count;
  char *snapshot; /**< being received from a peer */
  size_t snapshot_len;
  uint32_t snapshot_chunks;
  uint64_t snapshot_next_offset;
  struct cyc_ref snapshot_peer;
  bool draining;
  bool stopped;
  bool listening_ended;
  bool drain_deadline_passed; /**< the deadline of the stop has passed */
  uint64_t drain_deadline_us;
  uint64_t drain_earliest_us;
  uint64_t linger_end_us;
};

/* gateway_answer.c: ends of requests */
struct gw_answer
{
  enum cyc_outcome outcome;
  uint32_t status;
  struct cyc_str body;
  const char *content_type;
  uint32_t retry_after_s;
  const char *detail;
};

/** Ends the request with an answer and frees the row. */
void gw_finish (struct gw_request *request, const struct gw_answer *answer);
/** Ends the request with a problem and frees the row. */
void gw_refuse (struct gw_request *request, enum gw_problem problem,
                enum cyc_outcome outcome, const char *detail);
/** Like gw_refuse, with what was recorded of an earlier attempt. */
void gw_refuse_recorded (struct gw_request *request, enum cyc_outcome recorded,
                         uint32_t recorded_status);
/** Answers a call that never became a request. */
void gw_refuse_call (struct gw_state *gw, const struct hs_call *call,
                     enum gw_problem problem, enum cyc_outcome outcome,
                     const char *detail);
void gw_reply_json (struct gw_state *gw, struct cyc_ref call, uint32_t status,
                    struct json_object *body);
/** Ends the request with a JSON body and outcome "answer". */
void gw_finish_json (struct gw_request *request, uint32_t status,
                     struct json_object *body);
/** "not-run", unless an earlier attempt with the same key may have run. */
enum cyc_outcome gw_unanswered_outcome (const struct gw_request *request);
struct gw_request *gw_request_take (struct gw_state *gw);
/** Takes the request out of whatever it waits for and frees it. */
void gw_request_release (struct gw_request *request);
struct gw_request *gw_request_at (struct gw_state *gw, struct cyc_ref ref);
/** False when the gateway is half full and the team of the request holds more
 * than a quarter of it. */
bool gw_team_has_capacity (const struct gw_request *request);
void gw_wake (struct gw_state *gw);

/* gateway_http.c: callers' interface */
void gw_on_call (void *user, const struct hs_call *call);
void gw_on_caller_gone (void *user, struct cyc_ref call);
bool gw_is_ready (const struct gw_state *gw);

/* gateway_status.c */
void gw_serve_status (struct gw_state *gw, const struct hs_call *call);
void gw_serve_objectives (struct gw_state *gw, const struct hs_call *call);
void gw_serve_metrics (struct gw_state *gw, const struct hs_call *call);

/* gateway_request.c: service requests */
/** Routes a request that may be sent: own domain, else another. */
void gw_route (struct gw_request *request);
void gw_dispatch (struct gw_state *gw, uint64_t now_us);
void gw_check_silence (struct gw_state *gw, uint64_t now_us);
void gw_check_deadlines (struct gw_state *gw, uint64_t now_us);
/** Tells every waiting caller the truth before the process ends. */
void gw_end_all_requests (struct gw_state *gw);
/** A forwarded request ended elsewhere. */
void gw_forward_answered (struct gw_request *request,
                          const Cyc__ForwardAnswer *answer);
void gw_forward_lost (struct gw_request *request);

/* gateway_once.c */
bool gw_once_setup (struct gw_state *gw, struct cyc_findings *findings);
void gw_once_shutdown (struct gw_state *gw);
void gw_once_begin (struct gw_request *request);
/** The winner's request ended: keeps the answer, records the outcome. */
void gw_once_finished (struct gw_request *request,
                       const struct gw_answer *answer);
/** The intent was never appended: the id is as if it had not been seen. */
void gw_once_forget (struct gw_state *gw, const struct cyc_id128 *id);
void gw_once_batch_done (struct gw_batch *batch, enum fo_fate fate);
void gw_once_query_winner (struct gw_request *request, uint64_t now_us);
void gw_once_on_query (struct gw_state *gw, struct cyc_ref peer,
                       const Cyc__OutcomeQuery *query);
void gw_once_on_reply (struct gw_state *gw, const Cyc__OutcomeReply *reply);
/** The deadline passed while the winner was asked. */
void gw_once_finish_from_log (struct gw_request *request);
void gw_once_expire (struct gw_state *gw, uint64_t now_us);

/* gateway_append.c: paced group commit */
bool gw_append_setup (struct gw_state *gw, struct cyc_findings *findings);
void gw_append_shutdown (struct gw_state *gw);
void gw_append_flush (struct gw_state *gw, uint64_t now_us);
uint64_t gw_append_interval_us (const struct gw_state *gw);

/* gateway_jobs.c */
void gw_job_submit (struct gw_state *gw, const struct hs_call *call,
                    const struct cyc_queue_cfg *queue, struct cyc_str team);
void gw_job_get (struct gw_state *gw, const struct hs_call *call,
                 const struct cyc_job_row *row);
void gw_job_cancel (struct gw_state *gw, const struct hs_call *call,
                    const struct cyc_job_row *row);
void gw_job_batch_done (struct gw_batch *batch, enum fo_fate fate);
void gw_job_on_reply (struct gw_state *gw, const Cyc__JobReply *reply);
/** The owner gave no answer in time: answers from the table. */
void gw_job_finish_from_table (struct gw_request *request);

/* gateway_peer.c */
void gw_on_message (void *user, struct cyc_ref peer, const Cyc__Peer *message);
void gw_on_linked (void *user, struct cyc_ref peer, bool linked);
void gw_self_state (void *user, struct pl_self_state *out);
void gw_peer_each_second (struct gw_state *gw);
/** Sends a demand for permits when one is due. */
void gw_peer_demand (struct gw_state *gw, uint64_t now_us);
/** Sends the request to a gateway of another domain; false: there is none. */
bool gw_forward (struct gw_request *request, uint64_t now_us);
void gw_announce_leaving (struct gw_state *gw, const struct cyc_name *worker);
uint64_t gw_ref_pack (struct cyc_ref ref);
struct cyc_ref gw_ref_unpack (uint64_t packed);

/* gateway_run.c */
void gw_apply_config (struct gw_state *gw);

#endif
