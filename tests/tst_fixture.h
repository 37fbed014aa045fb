/**
 * @file
 * Test fixture for gateways. It runs up to TST_MAX_GATEWAYS gateways in the
 * test process, together with a fake log, fake targets, HTTP callers, and a
 * fake domain owner that sends targets and lends permits over a peer link.
 *
 * @code
 * struct tst_fixture fixture;
 * tst_fixture_setup (&fixture, &(struct tst_options){ 0 });
 * tst_call (&fixture, 0, &call, &reply);
 * tst_fixture_shutdown (&fixture);
 * @endcode
 *
 * Any error in the fixture itself fails the test.
 */
#ifndef TST_FIXTURE_H
#define TST_FIXTURE_H

#include "fk_log.h"
#include "gateway_internal.h"

#define TST_REQUESTS_PATH(queue) "/v1/queues/" queue "/requests"
#define TST_JOBS_PATH(queue) "/v1/queues/" queue "/jobs"
#define TST_MAX_GATEWAYS 3
#define TST_MAX_TARGETS 3
#define TST_WAIT_TIMEOUT_US UINT64_C (15000000)

/** How a target reacts to a request. */
enum tst_behaviour
{
  TST_ANSWER,      /**< replies 200 with the request's body */
  TST_NOT_STARTED, /**< replies 503 with Not-Started: 1 */
  TST_ERROR,       /**< replies 500 */
  TST_DROP,        /**< starts the request, then closes the connection */
  TST_DROP_ONCE,   /**< replies like TST_DROP, then like TST_NOT_STARTED */
  TST_SILENT,      /**< starts the request and never replies */
  TST_DRAINING,    /**< replies like TST_ANSWER, with Draining: 1 */
  TST_DOWN         /**< does not listen on its port */
};

/** Fake target: an HTTP server that serves the requests of all queues. */
struct tst_target
{
  struct hs_server hs;
  struct tst_fixture *fixture;
  enum tst_behaviour behaviour;
  uint64_t delay_us;    /**< delay of each reply; not used by TST_SILENT */
  uint32_t starts;      /**< requests started so far */
  uint32_t running;     /**< requests started and not yet replied to */
  uint32_t max_running; /**< highest value of running so far */
  uint16_t port;
  /** Requests that wait for their reply; generation 0 marks a free entry. */
  struct tst_open_request
  {
    struct cyc_ref ref;
    uint64_t due_us;
    char body[64];
  } open_requests[256];
};

struct tst_gateway
{
  struct gw_gateway gw;
  struct set_settings *settings;
  bool started; /**< set up and not shut down */
  bool stopped; /**< the gateway has completed a planned stop */
};

/** Parameters of the fixture. Zero selects the default of a member. */
struct tst_options
{
  uint32_t gateways;       /**< default 1 */
  uint32_t targets;        /**< default 1 */
  uint32_t slots;          /**< per target; default 8 */
  uint32_t seats;          /**< entry seats per domain; default 1 */
  uint32_t retry_permille; /**< retry budget, as in the settings */
  bool second_gateway_in_other_domain; /**< places gateways other than 0 in the
                                          domain north-b */
  uint32_t key_stale_ms;               /**< default 5,000 */
  uint32_t request_max_ms;             /**< default 3,000 */
  uint32_t drain_ms;                   /**< default 8,000 */
  uint32_t max_requests;               /**< see struct gw_desc */
  uint32_t max_kept_requests;          /**< see struct gw_desc */
  bool same_seat;                      /**< gives seat 0 to all gateways */
  bool second_gateway_without_log; /**< gateway 1 gets a log address on which
                                      nothing listens */
};

/** How the fake owner answers demands for permits of target 0. */
struct tst_lending
{
  uint32_t slots; /**< 0: demands are not answered */
  uint64_t valid_for_ms;
  int64_t deadline_offset_ms; /**< deadline of the grant by the owner's
                                 clock, relative to the arrival of the
                                 demand; 0: none */
  uint64_t delay_us;          /**< from the demand to the grant */
};

struct tst_fixture
{
  struct tst_options options;
  struct ev_loop *loop;
  struct ev_timer timer;
  struct fk_log log;
  struct hc_client client;
  struct lc_http http_log; /**< client for the fixture's own appends */
  struct tst_gateway gateways[TST_MAX_GATEWAYS];
  struct tst_target targets[TST_MAX_TARGETS];
  struct pl_links owner; /**< peer links of the fake domain owner */
  struct set_address owner_address;
  uint64_t epoch; /**< epoch that the fake owner holds */
  struct tst_lending lending;
  struct cyc_ref permit_peer; /**< peer that demanded permits last */
  uint64_t grant_due_us;      /**< 0: no pending demand */
  uint64_t grant_deadline_ms;
  /** Number of further requests that meet a behaviour other than TST_ANSWER.
   * At zero, a target switches to TST_ANSWER on its next request. */
  uint32_t faulty_requests_left;
};

/** One HTTP request to a gateway. */
struct tst_call
{
  enum hc_method method;
  const char *path;
  const char *key;        /**< bearer key; NULL: no Authorization header */
  const char *headers[4]; /**< "Name: value" lines */
  const char *body;
};

struct tst_reply
{
  bool done;        /**< the call has ended */
  long status;      /**< HTTP status */
  char outcome[16]; /**< value of the Outcome header */
  char body[2048];
  size_t len; /**< whole length of the body, before truncation */
};

/** Starts all parts and returns once every peer link is up and the gateways
 * have their targets. */
void tst_fixture_setup (struct tst_fixture *fixture,
                        const struct tst_options *options);
void tst_fixture_shutdown (struct tst_fixture *fixture);
/** Runs the event loop for @p us microseconds. */
void tst_run_us (struct tst_fixture *fixture, uint64_t us);
/** Runs the event loop until @p flag is set. Returns false after
 * TST_WAIT_TIMEOUT_US. */
bool tst_run_until (struct tst_fixture *fixture, const bool *flag);
/** Sends a request without waiting; @p reply must stay valid until its member
 * done is set. */
void tst_begin_call (struct tst_fixture *fixture, uint32_t gateway,
                     const struct tst_call *call, struct tst_reply *reply);
/** Sends a request and waits for the reply. */
void tst_call (struct tst_fixture *fixture, uint32_t gateway,
               const struct tst_call *call, struct tst_reply *reply);
/** Appends a record to a stream, waits for the acknowledgement and frees the
 * record's data. */
void tst_log_append (struct tst_fixture *fixture, struct cyc_str stream,
                     struct cyc_str record);
/** Appends the withdrawal of an API key to the control stream. */
void tst_withdraw_key (struct tst_fixture *fixture, const char *key);
/** Sets how a target reacts from now on. A target that was set to TST_DOWN
 * cannot be started again. */
void tst_set_behaviour (struct tst_fixture *fixture, uint32_t target,
                        enum tst_behaviour behaviour);
/** Sends the first @p count targets to the gateways of the owner's domain, for
 * all service queues. */
void tst_send_targets (struct tst_fixture *fixture, uint32_t count);
/** Fails the test unless status and outcome are as given. An outcome other
 * than "answer" must also have a problem document as its body that states the
 * outcome and a detail. @p label names the call in the failure message. */
void tst_expect_reply (const char *label, const struct tst_reply *reply,
                       long status, const char *outcome);
/** Returns a request to the once-only queue order-check; @p key_line is its
 * Idempotency-Key header line. */
struct tst_call tst_once_call (const char *key_line, const char *body);
/** Returns the number of requests that all targets have started. */
uint32_t tst_count_starts (const struct tst_fixture *fixture);
/** Starts a gateway and waits until it is ready. */
void tst_gateway_start (struct tst_fixture *fixture, uint32_t gateway);
/** Shuts a gateway down at once, without a planned stop. */
void tst_gateway_shutdown (struct tst_fixture *fixture, uint32_t gateway);

#endif
