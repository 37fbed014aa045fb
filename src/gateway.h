/**
 * @file
 * The gateway process: serves the callers' HTTP interface, admits requests,
 * sends once-only requests to a target at most once, accepts jobs, routes
 * requests to targets and keeps links to its peers.
 *
 * Order of calls: gw_setup on an event loop, run the loop, gw_stop for a
 * planned stop, and gw_shutdown after `stopped` was called.
 *
 * @code
 * gw_setup (&gw, &(struct gw_desc){ .loop = loop, .settings = &settings,
 *                                   .stopped = on_stopped, .user = loop },
 *           &found);
 * ev_run (loop, 0);
 * gw_shutdown (&gw);
 * @endcode
 *
 * Errors: on failure gw_setup returns false, adds the defects to the findings
 * and leaves nothing running.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include "log_client.h"
#include "metrics.h"
#include "settings.h"

#include <ev.h>

/** Parameters of gw_setup. */
struct gw_desc
{
  struct ev_loop *loop;
  const struct set_settings *settings; /**< must outlive the gateway */
  struct lc_log *log;         /**< NULL: HTTP client for setting log.url */
  uint32_t max_requests;      /**< open requests; 0: 4,096 */
  uint32_t max_kept_requests; /**< kept once-only requests; 0: 32,768 */
  uint32_t max_kept_bytes;    /**< of their kept answer bodies; 0: 32 MiB */
  /** Called when a planned stop has finished; may be NULL. */
  void (*stopped) (void *user);
  void *user;
};

struct gw_gateway
{
  struct gw_state *state; /**< private */
};

/** Sets up the gateway and starts to serve. */
bool gw_setup (struct gw_gateway *gw, const struct gw_desc *desc,
               struct cyc_findings *findings);
/** Begins a planned stop: refuses new requests, waits up to `drain_ms` for the
 * open ones to end, then calls `stopped`. */
void gw_stop (struct gw_gateway *gw);
/** Stops at once and frees everything. */
void gw_shutdown (struct gw_gateway *gw);
/** True when the configuration is known and the gateway is not stopping. */
bool gw_ready (const struct gw_gateway *gw);

#endif
