/**
 * @file
 * The gateway process: callers' HTTP interface, admission, once-only requests,
 * jobs, routing to targets and links to peers.
 *
 * Steps of use: set up on a loop, run the loop, ask for a planned stop, and
 * shut down when `stopped` was called.
 *
 * @code
 * gw_setup (&gw, &(struct gw_desc){ .loop = loop, .settings = &settings,
 *                                   .stopped = on_stopped, .user = loop },
 *           &found);
 * ev_run (loop, 0);
 * gw_shutdown (&gw);
 * @endcode
 *
 * Errors: setup adds every defect to the findings and leaves nothing running.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include "log_client.h"
#include "metrics.h"
#include "settings.h"

#include <ev.h>

struct gw_desc
{
  struct ev_loop *loop;
  const struct set_settings *settings; /**< must outlive the gateway */
  struct lc_log *log;                  /**< NULL: HTTP client of log.url */
  uint32_t max_requests;               /**< open at once; 0: 4,096 */
  uint32_t max_kept_requests;          /**< once-only answers; 0: 32,768 */
  uint32_t max_kept_bytes;             /**< of answer bodies; 0: 32 MiB */
  /** A planned stop has finished. */
  void (*stopped) (void *user);
  void *user;
};

struct gw_gateway
{
  struct gw_state *state; /**< private */
};

bool gw_setup (struct gw_gateway *gw, const struct gw_desc *desc,
               struct cyc_findings *findings);
/** Begins a planned stop: refuses new requests, finishes those in flight
 * within `drain_ms`, then calls `stopped`. */
void gw_stop (struct gw_gateway *gw);
void gw_shutdown (struct gw_gateway *gw);
/** True when work that needs configuration is served. */
bool gw_ready (const struct gw_gateway *gw);

#endif
