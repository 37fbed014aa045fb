/**
 * @file
 * Private state of the gateway, shared by the gateway_*.c files.
 *
 * Every accepted request is a row of one table of fixed size; its stage says
 * what it waits for. Callbacks of clients and links change rows and call
 * gw_wake; the next tick then runs all periodic work in a fixed order.
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

/** What a request waits for; 0 while it moves from one stage to the next. */
enum gw_stage
{
  GW_STAGE_INTENT_APPEND = 1, /**< its intent to be read back from the log */
  GW_STAGE_DUPLICATE,         /**< another request with the same id to end */
  GW_STAGE_OUTCOME_QUERY, /**< the outcome from the gateway that won the id */
  GW_STAGE_QUEUED,        /**< a target; queued in the routing core */
  GW_STAGE_IN_FLIGHT,     /**< the answer of a target */
  GW_STAGE_BACKOFF,       /**< the retry at `retry_at_us` */
  GW_STAGE_FORWARDED,     /**< the answer of another domain's gateway */
  GW_STAGE_JOB_APPEND,    /**< its job record to be read back from the log */
  GW_STAGE_JOB_QUERY /**< the state from the scheduler that owns the job */
};

/** Reasons for a refusal: code, word in the problem type, HTTP status, title,
 * Retry-After in seconds (0: header left out). */
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

/** An open request of a caller or a peer. */
struct gw_request
{
  struct gw_state *gw;
  struct cyc_ref ref;
  enum gw_stage stage;
  bool has_call; /**< an HTTP caller waits for the answer */
  struct cyc_ref call;
  bool has_peer; /**< a peer forwarded it and waits for the answer */
  struct cyc_ref peer;
  uint64_t peer_forward_id; /**< the peer's id of the request */
  struct cyc_name queue;
  struct cyc_name team;
  uint32_t weight;               /**< share of the team, in permille */
  bool once;                     /**< must not run more than once */
  bool may_have_earlier_attempt; /**< the caller does not rule it out */
  bool won_intent; /**< its intent is the first of its id in the log */
  bool sent;       /**< a byte may have reached a target */
  bool appended;   /**< its record was handed to the log */
  struct cyc_id128 id;
  struct cyc_id128 body_digest;
  char *body;
  size_t body_len;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t retry_at_us; /**< BACKOFF, OUTCOME_QUERY: next attempt */
  uint32_t attempt;
  struct cyc_ref ticket;   /**< QUEUED: its place in the routing core */
  struct cyc_ref flight;   /**< IN_FLIGHT: of the routing core */
  struct cyc_ref transfer; /**< IN_FLIGHT: of the HTTP client */
  struct cyc_name avoid;   /**< worker of the latest attempt; a retry prefers
                              another one */
  uint32_t domains_tried;  /**< bit mask by index in the fleet */
  struct cyc_ref forward_peer;
  bool job_cancel; /**< cancels the job instead of submitting it */
  uint32_t job_tasks;
  uint64_t job_queue_version;
  struct cyc_name job_domain;
};

enum gw_kept_stage
{
  GW_KEPT_INTENT, /**< its intent is not confirmed yet */
  GW_KEPT_WON,    /**< its intent is the first of its id in the log */
  GW_KEPT_ENDED   /**< its outcome is known */
};

/** A once-only request that this gateway handles or has ended. Kept so that a
 * repetition with the same id gets the same answer. */
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
  bool body_dropped; /**< not kept, for lack of memory */
  uint64_t expire_us;
  uint32_t next; /**< in the hash bucket: row + 1; 0: last */
};

/** Kinds of records to append. */
enum gw_append_kind
{
  GW_APPEND_INTENTS,
  GW_APPEND_JOBS,
  GW_APPEND_OUTCOMES,
  GW_APPEND_KINDS
};

/** A request of a batch; the ids stay valid when the request has ended. */
struct gw_batch_entry
{
  struct cyc_ref request;
  struct cyc_id128 id;
  struct cyc_id128 body_digest;
};

/** An append that the log has not confirmed yet. */
struct gw_batch
{
  struct gw_state *gw;
  struct cyc_ref ref;
  enum gw_append_kind kind;
  uint32_t count;
  uint64_t started_us;
  struct gw_batch_entry entries[GW_BATCH_MAX];
};

/** Free capacity of a domain, as its owner reported it. */
struct gw_aggregate
{
  struct cyc_name domain;
  uint64_t epoch; /**< of the owner's claim */
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
  struct hc_client targets;   /**< requests to targets */
  struct hc_client log_calls; /**< calls to the log over HTTP */
  struct lc_http http_log;    /**< unused if gw_desc.log is set */
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
  bool wake; /**< a tick is due before the loop waits again */
  uint64_t next_scan_us;
  uint64_t next_second_us; /**< next work that is due once a second */
  uint64_t applied_config_version;
  uint64_t targets_epoch; /**< claim epoch of the newest targets or grant */
  struct cyc_ref demand_peer;     /**< receiver of the unanswered demand */
  uint32_t logged_suspect_count;  /**< suspect or ejected, newest event */
  uint64_t oldest_demand_sent_us; /**< 0: no demand is unanswered */
  uint64_t newest_demand_sent_us; /**< answered or not */
  /** Another gateway has the same seat and keeps it, so that this one may not
   * use its base share. */
  bool seat_conflict;
  bool keys_were_stale;
  bool was_ready;
  struct cyc_pool request_pool;
  struct gw_request *requests;
  struct cyc_ref *by_call; /**< request of each HTTP call, by call index */
  uint32_t by_call_count;
  struct cyc_pool kept_pool;
  struct gw_kept_request *kept;
  uint32_t *kept_buckets; /**< hash table: row + 1; 0: empty */
  uint32_t kept_mask;
  size_t kept_bytes;          /**< of answer bodies */
  struct cyc_ref *kept_ended; /**< ring of ended rows, oldest first */
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
  char *snapshot; /**< chunks received so far from a peer */
  size_t snapshot_len;
  uint32_t snapshot_chunks;
  uint64_t snapshot_next_offset; /**< control offset after the snapshot */
  struct cyc_ref snapshot_peer;
  bool draining;
  bool stopped; /**< `stopped` of gw_desc was called */
  bool listening_ended;
  bool drain_deadline_passed; /**< all open requests were ended */
  uint64_t drain_deadline_us;
  uint64_t drain_earliest_us; /**< the stop does not finish before it */
  uint64_t linger_end_us;     /**< 0: work remains */
};

/* gateway_answer.c: answers and the request table */

/** Answer to a caller or a peer. */
struct gw_answer
{
  enum cyc_outcome outcome;
  uint32_t status;
  struct cyc_str body;
  const char *content_type;
  uint32_t retry_after_s; /**< 0: no Retry-After header */
  const char *detail;     /**< reason for logs and peers; NULL: none */
};

/** Ends the request with @p answer and frees its row. */
void gw_finish (struct gw_request *request, const struct gw_answer *answer);
/** Ends the request with a problem body and frees its row. */
void gw_refuse (struct gw_request *request, enum gw_problem problem,
                enum cyc_outcome outcome, const char *detail);
/** Refuses a request whose id was used before and whose answer cannot be
 * given; the problem body holds the outcome that is recorded in the log. */
void gw_refuse_recorded (struct gw_request *request, enum cyc_outcome recorded,
                         uint32_t recorded_status);
/** Refuses a call for which no request was opened. */
void gw_refuse_call (struct gw_state *gw, const struct hs_call *call,
                     enum gw_problem problem, enum cyc_outcome outcome,
                     const char *detail);
/** Answers a call for which no request was opened; frees @p body. */
void gw_reply_json (struct gw_state *gw, struct cyc_ref call, uint32_t status,
                    struct json_object *body);
/** Ends the request with outcome "answer"; frees @p body. */
void gw_finish_json (struct gw_request *request, uint32_t status,
                     struct json_object *body);
/** Returns the outcome of a request that ends without an answer: "unknown" if
 * this or an earlier attempt with the same key may have run, else "not-run".
 */
enum cyc_outcome gw_unanswered_outcome (const struct gw_request *request);
/** Returns a zeroed row of the request table, or NULL if it is full. */
struct gw_request *gw_request_take (struct gw_state *gw);
/** Cancels what the request waits for and frees its row. */
void gw_request_release (struct gw_request *request);
/** Returns the request, or NULL if it has ended. */
struct gw_request *gw_request_at (struct gw_state *gw, struct cyc_ref ref);
/** Returns false when more than half of the request table is in use and the
 * team of the request holds more than a quarter of the table. */
bool gw_team_has_capacity (const struct gw_request *request);
/** Requests a tick before the event loop waits again. */
void gw_wake (struct gw_state *gw);

/* gateway_http.c: callers' interface */
void gw_on_call (void *user, const struct hs_call *call);
void gw_on_caller_gone (void *user, struct cyc_ref call);
bool gw_is_ready (const struct gw_state *gw);

/* gateway_status.c: status, objectives and metrics */
void gw_serve_status (struct gw_state *gw, const struct hs_call *call);
void gw_serve_objectives (struct gw_state *gw, const struct hs_call *call);
void gw_serve_metrics (struct gw_state *gw, const struct hs_call *call);

/* gateway_request.c: service requests */
/** Routes a request that may be sent to a target of this domain, or forwards
 * it to another domain. */
void gw_route (struct gw_request *request);
/** Sends the queued requests for which a target is free. */
void gw_dispatch (struct gw_state *gw, uint64_t now_us);
/** Retries requests in flight whose connection to the target has been silent
 * too long, if the retry budget allows it. */
void gw_check_silence (struct gw_state *gw, uint64_t now_us);
/** Ends requests whose deadline has passed and starts retries that are due. */
void gw_check_deadlines (struct gw_state *gw, uint64_t now_us);
/** Ends all open requests as if their deadline had passed, so that each caller
 * receives the outcome before the process exits. */
void gw_end_all_requests (struct gw_state *gw);
/** Called with the answer of the gateway that the request was forwarded to. */
void gw_forward_answered (struct gw_request *request,
                          const Cyc__ForwardAnswer *answer);
/** Called when the link to the gateway that the request was forwarded to is
 * lost before the answer. */
void gw_forward_lost (struct gw_request *request);

/* gateway_once.c: once-only requests */
bool gw_once_setup (struct gw_state *gw, struct cyc_findings *findings);
void gw_once_shutdown (struct gw_state *gw);
/** Answers the request from an earlier one with its id, or appends its intent
 * to the log. */
void gw_once_start (struct gw_request *request);
/** Called when a request that won its id has ended: keeps the answer and
 * records the outcome. */
void gw_once_finished (struct gw_request *request,
                       const struct gw_answer *answer);
/** Drops the kept request of an intent that was never handed to the log. */
void gw_once_forget (struct gw_state *gw, const struct cyc_id128 *id);
/** Called when an append of intents has ended. */
void gw_once_batch_done (struct gw_batch *batch, enum fo_outcome outcome);
/** Asks the gateway that won the id for the outcome. */
void gw_once_query_winner (struct gw_request *request, uint64_t now_us);
void gw_once_on_query (struct gw_state *gw, struct cyc_ref peer,
                       const Cyc__OutcomeQuery *query);
void gw_once_on_reply (struct gw_state *gw, const Cyc__OutcomeReply *reply);
/** Ends the request with the outcome in the log. Called when the gateway that
 * won the id cannot be asked or does not know a later outcome. */
void gw_once_finish_from_log (struct gw_request *request);
/** Drops answers and ids that are past their time. */
void gw_once_expire (struct gw_state *gw, uint64_t now_us);

/* gateway_append.c: group commit at a limited rate */
bool gw_append_setup (struct gw_state *gw, struct cyc_findings *findings);
void gw_append_shutdown (struct gw_state *gw);
/** Appends one batch of pending records when the next append is due. */
void gw_append_flush (struct gw_state *gw, uint64_t now_us);
/** Returns the time between two appends of this gateway. */
uint64_t gw_append_interval_us (const struct gw_state *gw);

/* gateway_jobs.c: jobs */
void gw_job_submit (struct gw_state *gw, const struct hs_call *call,
                    const struct cyc_queue_cfg *queue, struct cyc_str team);
void gw_job_get (struct gw_state *gw, const struct hs_call *call,
                 const struct cyc_job_row *row);
void gw_job_cancel (struct gw_state *gw, const struct hs_call *call,
                    const struct cyc_job_row *row);
/** Called when an append of job records has ended. */
void gw_job_batch_done (struct gw_batch *batch, enum fo_outcome outcome);
void gw_job_on_reply (struct gw_state *gw, const Cyc__JobReply *reply);
/** Answers from this gateway's job table, because the owner of the job gave no
 * usable answer in time. */
void gw_job_finish_from_table (struct gw_request *request);

/* gateway_peer.c: messages to and from peers */
void gw_on_message (void *user, struct cyc_ref peer, const Cyc__Peer *message);
void gw_on_linked (void *user, struct cyc_ref peer, bool linked);
void gw_self_state (void *user, struct pl_self_state *out);
/** Runs the checks that are due once a second. */
void gw_peer_each_second (struct gw_state *gw);
/** Sends a demand for permits to the domain's owner when one is due. */
void gw_peer_demand (struct gw_state *gw, uint64_t now_us);
/** Forwards the request to a gateway of another domain; false if there is none
 * or too little time remains. */
bool gw_forward (struct gw_request *request, uint64_t now_us);
/** Tells the peers in this domain that the worker is leaving. */
void gw_announce_leaving (struct gw_state *gw, const struct cyc_name *worker);
/** Packs a reference into the id that a message carries. */
uint64_t gw_ref_pack (struct cyc_ref ref);
struct cyc_ref gw_ref_unpack (uint64_t packed);

/* gateway_run.c: setup, tick and planned stop */

/** Passes the current configuration to the routing core and to the HTTP client
 * of the targets. */
void gw_apply_config (struct gw_state *gw);

#endif
