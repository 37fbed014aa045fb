/**
 * @file
 * A small world around gateways in one process: log fake, targets, an owner
 * that sends targets and permits over a peer link, and callers.
 *
 * @code
 * struct tst_fixture world;
 * tst_fixture_setup (&world, &(struct tst_options){ 0 });
 * tst_call (&world, 0, &call, &reply);
 * tst_fixture_shutdown (&world);
 * @endcode
 */
#ifndef TST_WORLD_H
#define TST_WORLD_H

#include "fk_log.h"
#include "gateway_internal.h"

#define TST_REQUESTS(queue) "/v1/queues/" queue "/requests"
#define TST_JOBS(queue) "/v1/queues/" queue "/jobs"
#define TST_GATEWAYS 3
#define TST_TARGETS 3
#define TST_WAIT_TIMEOUT_US UINT64_C (15000000)

enum tst_behaviour
{
  TST_ANSWER,      /**< 200 with the request's body */
  TST_NOT_STARTED, /**< 503 with Not-Started: 1 */
  TST_ERROR,       /**< 500 */
  TST_DROP,        /**< starts, then closes the connection */
  TST_SILENT,      /**< starts and never answers */
  TST_DRAINING,    /**< answers with Draining: 1 */
  TST_DOWN         /**< nothing listens */
};

struct tst_target
{
  struct hs_server hs;
  struct tst_fixture *fixture;
  enum tst_behaviour behaviour;
  uint64_t delay_us; /**< of TST_ANSWER */
  uint32_t starts;
  uint32_t running;
  uint32_t max_running;
  uint16_t port;
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
  bool started;
  bool stopped;
};

struct tst_options
{
  uint32_t gateways; /**< 0: 1 */
  uint32_t targets;  /**< 0: 1 */
  uint32_t slots;    /**< 0: 8 */
  uint32_t seats;    /**< 0: 1 */
  uint32_t retry_permille;
  bool second_gateway_in_other_domain; /**< in the domain north-b */
  uint32_t key_stale_ms;               /**< 0: 5,000 */
  uint32_t request_max_ms;             /**< 0: 3,000 */
  uint32_t drain_ms;                   /**< 0: 8,000 */
  uint32_t max_requests;               /**< of gw_desc */
  uint32_t max_kept_requests;          /**< of gw_desc */
  bool same_seat;                      /**< all gateways have seat 0 */
  bool second_gateway_without_log;     /**< gateway 1 never reaches the log */
};

/** How the owner of the world answers demands for permits of target 0. */
struct tst_lending
{
  uint32_t slots;
  uint64_t valid_for_ms;
  int64_t deadline_offset_ms; /**< by the owner's clock; 0: not stated */
  uint64_t delay_us;          /**< of the answer */
};

struct tst_fixture
{
  struct tst_options options;
  struct ev_loop *loop;
  struct ev_timer timer;
  struct fk_log log;
  struct hc_client client;
  struct lc_http http_log;
  struct tst_gateway gateways[TST_GATEWAYS];
  struct tst_target targets[TST_TARGETS];
  struct pl_links owner;
  struct set_address owner_address;
  uint64_t epoch;
  struct tst_lending lending;
  struct cyc_ref permit_peer;
  uint64_t grant_due_us; /**< 0: no demand to answer */
  uint64_t grant_deadline_ms;
  /** Calls at targets that still meet their behaviour; later ones are
   * answered. */
  uint32_t faulty_requests_left;
};

struct tst_call
{
  enum hc_method method;
  const char *path;
  const char *key; /**< bearer key, NULL: none */
  const char *headers[4];
  const char *body;
};

struct tst_reply
{
  bool done;
  long status;
  char outcome[16];
  char body[2048];
  size_t len;
};

void tst_fixture_setup (struct tst_fixture *fixture,
                        const struct tst_options *options);
void tst_fixture_shutdown (struct tst_fixture *fixture);
/** Runs the loop for a time. */
void tst_run_us (struct tst_fixture *fixture, uint64_t us);
/** Runs the loop until the flag is set; false after TST_WAIT_TIMEOUT_US. */
bool tst_run_until (struct tst_fixture *fixture, const bool *flag);
/** Begins a call; @p reply must live until it is done. */
void tst_begin_call (struct tst_fixture *fixture, uint32_t gateway,
                     const struct tst_call *call, struct tst_reply *reply);
/** Calls and waits for the reply. */
void tst_call (struct tst_fixture *fixture, uint32_t gateway,
               const struct tst_call *call, struct tst_reply *reply);
void tst_log_append (struct tst_fixture *fixture, struct cyc_str stream,
                     struct cyc_str record);
void tst_withdraw_key (struct tst_fixture *fixture, const char *key);
void tst_set_behaviour (struct tst_fixture *fixture, uint32_t target,
                        enum tst_behaviour behaviour);
/** Sends the targets of all service queues to the gateways. */
void tst_send_targets (struct tst_fixture *fixture, uint32_t count);
/** Fails unless status and outcome are as given and a refusal has a body. */
void tst_expect_reply (const char *what, const struct tst_reply *reply,
                       long status, const char *outcome);
/** Request for order-check with an Idempotency-Key header line. */
struct tst_call tst_once_call (const char *key_line, const char *body);
uint32_t tst_count_starts (const struct tst_fixture *fixture);
void tst_gateway_start (struct tst_fixture *fixture, uint32_t gateway);
void tst_gateway_shutdown (struct tst_fixture *fixture, uint32_t gateway);

#endif
