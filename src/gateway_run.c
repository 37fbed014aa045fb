#include "gateway_internal.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#define DEFAULT_MAX_REQUESTS 4096
/* Once-only ids kept over their window: 3 per second for 24 h; 36 MB when
   full. */
#define MAX_ONCE_IDS 262144
/* Idle connections kept open to all targets of a domain together. */
#define IDLE_TARGET_CONNECTIONS_MAX 4096L
/* Minimum time for which a stopping gateway answers "draining", so that the
   load balancer sees the answer of /ready before the socket closes. */
#define DRAIN_MIN_US UINT64_C (1000000)
/* Time between the last answer and the exit, for its bytes to be sent. */
#define DRAIN_LINGER_US UINT64_C (100000)

static void
on_effect (void *user, uint64_t offset, const struct cyc_led_effect *effect)
{
  struct gw_state *gw = user;

  gw_wake (gw);
  if (effect->result == CYC_LED_CORRUPT)
    {
      met_add (&gw->met, MET_RECORDS_CORRUPT, 1);
      ev_log (EV_RECORD_CORRUPT,
              "stream=control offset=%" PRIu64 " reason=\"%s\"", offset,
              effect->reason);
    }
  if (effect->result != CYC_LED_ACCEPTED)
    return;
  if (effect->body == CYC_LED_BODY_CONFIG)
    ev_log (EV_CONFIG_IN_FORCE, "offset=%" PRIu64 " writer=%s", offset,
            effect->writer.data);
  else if (effect->body == CYC_LED_BODY_KEY)
    ev_log (EV_KEY_CHANGED, "offset=%" PRIu64, offset);
}

static void
on_replaced (void *user)
{
  struct gw_state *gw = user;

  gw_apply_config (gw);
}

static void
on_intent_record (void *user, uint64_t offset, struct cyc_str data)
{
  struct gw_state *gw = user;

  met_add (&gw->met, MET_LOG_RECORDS, 1);
  if (!cyc_once_apply (&gw->once, offset, data, hc_now_us ()))
    {
      met_add (&gw->met, MET_RECORDS_CORRUPT, 1);
      ev_log (EV_RECORD_CORRUPT, "stream=intents offset=%" PRIu64, offset);
    }
}

static void
on_job_record (void *user, uint64_t offset, struct cyc_str data)
{
  struct gw_state *gw = user;

  met_add (&gw->met, MET_LOG_RECORDS, 1);
  if (!cyc_jobs_apply (&gw->jobs, offset, data, NULL))
    {
      met_add (&gw->met, MET_RECORDS_CORRUPT, 1);
      ev_log (EV_RECORD_CORRUPT, "stream=jobs offset=%" PRIu64, offset);
    }
}

static bool
on_intents_trimmed (void *user, uint64_t next, uint64_t oldest)
{
  struct gw_state *gw = user;

  ev_log (EV_LOG_TRIMMED, "stream=intents next=%" PRIu64 " oldest=%" PRIu64,
          next, oldest);
  cyc_once_seek (&gw->once, oldest);
  return true;
}

static bool
on_jobs_trimmed (void *user, uint64_t next, uint64_t oldest)
{
  struct gw_state *gw = user;

  ev_log (EV_LOG_TRIMMED, "stream=jobs next=%" PRIu64 " oldest=%" PRIu64, next,
          oldest);
  cyc_jobs_seek (&gw->jobs, oldest);
  return true;
}

static void
on_reachable (void *user, bool reachable)
{
  (void)user;
  ev_log (reachable ? EV_LOG_REACHABLE : EV_LOG_UNREACHABLE, "stream=work");
}

void
gw_apply_config (struct gw_state *gw)
{
  const struct cyc_fleet_cfg *fleet
      = cyc_led_fleet (ctl_ledger (&gw->control));
  int index = fleet == NULL ? -1
                            : cyc_cfg_domain_index (
                                fleet, cyc_name_str (&gw->settings->domain));
  uint32_t seats = index < 0 ? 0 : fleet->domains[index].entry_seats;

  gw->applied_config_version
      = cyc_led_config_version (ctl_ledger (&gw->control));
  /* A seat beyond the domain's number of seats has no base share. */
  cyc_rt_set_seats (&gw->route, seats,
                    !gw->seat_conflict && gw->settings->seat < seats);
  hc_limit_connections (&gw->targets, cyc_rt_connection_limit (&gw->route));
}

static void
check_keys (struct gw_state *gw, uint64_t now_us)
{
  uint64_t fresh_us = ctl_fresh_us (&gw->control);
  bool stale
      = now_us > fresh_us
        && now_us - fresh_us > gw->settings->key_stale_ms * GW_US_PER_MS;

  if (stale != gw->keys_were_stale && gw->was_ready)
    ev_log (stale ? EV_KEYS_STALE : EV_KEYS_FRESH, "control_next=%" PRIu64,
            ctl_next (&gw->control));
  gw->keys_were_stale = stale;
  if (gw_is_ready (gw) && !gw->was_ready)
    {
      gw->was_ready = true;
      ev_log (EV_READY, "control_next=%" PRIu64, ctl_next (&gw->control));
    }
}

static void
finish_stop (struct gw_state *gw)
{
  gw->stopped = true;
  ev_log (EV_STOPPED, "open=%u", gw->request_pool.used);
  if (gw->desc.stopped != NULL)
    gw->desc.stopped (gw->desc.user);
}

/* Ends a planned stop once every caller has its whole answer and every outcome
   is recorded. At the deadline all open requests are ended, and the stop ends
   DRAIN_MIN_US later at the latest. */
static void
check_stop (struct gw_state *gw, uint64_t now_us)
{
  bool busy = gw->request_pool.used > 0 || gw->server.pool.used > 0
              || gw->pending_outcome_count > 0 || gw->batch_pool.used > 0;

  if (!gw->draining || gw->stopped)
    return;
  if (now_us >= gw->drain_deadline_us && !gw->drain_deadline_passed)
    {
      gw->drain_deadline_passed = true;
      gw->drain_deadline_us = now_us + DRAIN_MIN_US;
      gw_end_all_requests (gw);
    }
  else if (now_us >= gw->drain_deadline_us)
    {
      finish_stop (gw);
      return;
    }
  if (busy || now_us < gw->drain_earliest_us)
    {
      gw->linger_end_us = 0;
      return;
    }
  if (gw->linger_end_us == 0)
    {
      gw->linger_end_us = now_us + DRAIN_LINGER_US;
      if (!gw->listening_ended)
        hs_stop_listening (&gw->server);
      gw->listening_ended = true;
    }
  else if (now_us >= gw->linger_end_us)
    finish_stop (gw);
}

/* Work that visits every row of a table; runs once per tick interval. */
static void
scan_tables (struct gw_state *gw, uint64_t now_us)
{
  gw->next_scan_us = now_us + gw->settings->tick_ms * GW_US_PER_MS;
  ctl_tick (&gw->control, now_us);
  fo_tick (&gw->intents, now_us);
  fo_tick (&gw->jobs_stream, now_us);
  pl_tick (&gw->links, now_us);
  check_keys (gw, now_us);
  cyc_rt_tick (&gw->route, now_us);
  gw_check_deadlines (gw, now_us);
  gw_check_silence (gw, now_us);
  gw_peer_demand (gw, now_us);
  if (now_us >= gw->next_second_us)
    {
      gw->next_second_us = now_us + 1000 * GW_US_PER_MS;
      gw_peer_each_second (gw);
      gw_once_expire (gw, now_us);
    }
}

static uint64_t
cpu_us (void)
{
  struct timespec used;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &used);
  return (uint64_t)used.tv_sec * 1000000 + (uint64_t)used.tv_nsec / 1000;
}

/* Runs the periodic work in a fixed order: timeouts, configuration, appends,
   dispatch, planned stop. */
static void
tick (struct gw_state *gw)
{
  uint64_t now_us = hc_now_us ();
  uint64_t cpu_before_us = cpu_us ();

  gw->wake = false;
  if (now_us >= gw->next_scan_us)
    scan_tables (gw, now_us);
  if (gw->applied_config_version
      != cyc_led_config_version (ctl_ledger (&gw->control)))
    gw_apply_config (gw);
  gw_append_flush (gw, now_us);
  gw_dispatch (gw, now_us);
  check_stop (gw, now_us);
  met_add (&gw->met, MET_TICKS, 1);
  met_add (&gw->met, MET_TICK_CPU_US, cpu_us () - cpu_before_us);
}

static void
on_timer (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  tick (timer->data);
}

static void
on_prepare (struct ev_loop *loop, struct ev_prepare *prepare, int events)
{
  struct gw_state *gw = prepare->data;

  (void)loop;
  (void)events;
  if (gw->wake)
    tick (gw);
}

static bool
setup_clients (struct gw_state *gw, struct cyc_findings *findings)
{
  struct ev_loop *loop = gw->desc.loop;

  if (!hc_setup (&gw->targets,
                 &(struct hc_desc){ .loop = loop,
                                    .max_idle_connections
                                    = IDLE_TARGET_CONNECTIONS_MAX },
                 findings)
      || !hc_setup (&gw->log_calls, &(struct hc_desc){ .loop = loop },
                    findings))
    return false;
  gw->log = gw->desc.log;
  if (gw->log != NULL)
    return true;
  if (!lc_http_setup (
          &gw->http_log,
          &(struct lc_http_desc){ .client = &gw->log_calls,
                                  .url = cyc_str_of (gw->settings->log_url) },
          findings))
    return false;
  gw->log = &gw->http_log.log;
  return true;
}

static bool
setup_streams (struct gw_state *gw, struct cyc_findings *findings)
{
  const struct set_settings *set = gw->settings;
  struct ctl_desc control = {
    .log = gw->log,
    .vm = set->vm,
    .timeout_ms = set->log_timeout_ms,
    .wait_ms = set->log_wait_ms,
    .snapshot_records = set->snapshot_records,
    .write_snapshots = true,
    .met = &gw->met,
    .effect = on_effect,
    .replaced = on_replaced,
    .user = gw,
  };
  struct fo_desc intents = {
    .log = gw->log,
    .stream = CYC_STR ("intents"),
    .timeout_ms = set->log_timeout_ms,
    .wait_ms = set->log_wait_ms,
    .record = on_intent_record,
    .trimmed = on_intents_trimmed,
    .reachable = on_reachable,
    .user = gw,
  };
  struct fo_desc jobs = intents;

  jobs.stream = CYC_STR ("jobs");
  jobs.record = on_job_record;
  jobs.trimmed = on_jobs_trimmed;
  jobs.reachable = NULL;
  return ctl_setup (&gw->control, &control, findings)
         && fo_setup (&gw->intents, &intents, findings)
         && fo_setup (&gw->jobs_stream, &jobs, findings);
}

static bool
setup_tables (struct gw_state *gw, struct cyc_findings *findings)
{
  const struct set_settings *set = gw->settings;
  uint32_t max = gw->desc.max_requests > 0 ? gw->desc.max_requests
                                           : DEFAULT_MAX_REQUESTS;
  struct cyc_rt_desc route = {
    .max_waiting = max,
    .max_waiting_per_team = set->max_waiting_per_team,
    .max_flights = max,
    .retry_permille = set->retry_permille,
    .no_retries = set->retry_permille == 0,
    .silent_us = set->silent_ms * GW_US_PER_MS,
    .clock_error_us = set->clock_error_ms * GW_US_PER_MS,
    .seed = hc_now_us (),
  };
  struct cyc_once_desc once
      = { .max_requests = MAX_ONCE_IDS,
          .window_us = set->once_window_ms * GW_US_PER_MS };

  gw->requests = calloc (max, sizeof *gw->requests);
  gw->by_call = calloc (max, sizeof *gw->by_call);
  gw->by_call_count = max;
  if (gw->requests == NULL || gw->by_call == NULL
      || !cyc_pool_setup (&gw->request_pool, max, NULL))
    {
      cyc_findings_add (findings, CYC_STR ("gateway"), "out of memory");
      return false;
    }
  return gw_once_setup (gw, findings) && gw_append_setup (gw, findings)
         && cyc_rt_setup (&gw->route, &route, findings)
         && cyc_once_setup (&gw->once, &once, findings)
         && cyc_jobs_setup (&gw->jobs, &(struct cyc_jobs_desc){ 0 }, findings);
}

static bool
setup_links (struct gw_state *gw, struct cyc_findings *findings)
{
  const struct set_settings *set = gw->settings;
  struct pl_desc links = {
    .loop = gw->desc.loop,
    .self = { .vm = set->vm,
              .domain = set->domain,
              .region = set->region,
              .role = SET_ROLE_GATEWAY,
              .seat = set->seat,
              .incarnation = gw->incarnation },
    .listen = set->gateway_peer,
    .heartbeat_ms = set->peer_heartbeat_ms,
    .silent_ms = set->peer_silent_ms,
    .dead_ms = set->peer_dead_ms,
    .met = &gw->met,
    .self_state = gw_self_state,
    .message = gw_on_message,
    .linked = gw_on_linked,
    .user = gw,
  };

  if (!pl_setup (&gw->links, &links, findings))
    return false;
  for (uint32_t i = 0; i < set->peer_count; i++)
    if ((set->peers[i].role != SET_ROLE_GATEWAY
         || !cyc_name_eq (&set->peers[i].vm, &set->vm))
        && !pl_peer_add (&gw->links, &set->peers[i]))
      cyc_findings_add (findings, CYC_STR ("peers"), "too many peers");
  return true;
}

static bool
setup_server (struct gw_state *gw, struct cyc_findings *findings)
{
  struct hs_desc server = {
    .loop = gw->desc.loop,
    .address = gw->settings->gateway_http.host,
    .port = gw->settings->gateway_http.port,
    .max_calls = gw->by_call_count,
    .max_body_bytes = gw->settings->max_body_bytes,
    .handle = gw_on_call,
    .gone = gw_on_caller_gone,
    .user = gw,
  };

  return hs_setup (&gw->server, &server, findings);
}

static void
start_timers (struct gw_state *gw)
{
  double interval_s = (double)gw->settings->tick_ms / 1000.0;

  ev_timer_init (&gw->timer, on_timer, interval_s, interval_s);
  gw->timer.data = gw;
  ev_timer_start (gw->desc.loop, &gw->timer);
  /* Runs before the HTTP server's prepare watcher, which sends the answers. */
  ev_prepare_init (&gw->prepare, on_prepare);
  ev_set_priority (&gw->prepare, EV_MAXPRI);
  gw->prepare.data = gw;
  ev_prepare_start (gw->desc.loop, &gw->prepare);
}

bool
gw_setup (struct gw_gateway *gateway, const struct gw_desc *desc,
          struct cyc_findings *findings)
{
  struct gw_state *gw = calloc (1, sizeof *gw);

  gateway->state = gw;
  if (gw == NULL || desc->loop == NULL || desc->settings == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("gw_desc"),
                        "loop and settings are required");
      free (gw);
      gateway->state = NULL;
      return false;
    }
  gw->desc = *desc;
  gw->settings = desc->settings;
  cyc_id128_random (&gw->incarnation);
  if (!met_setup (&gw->met, &(struct met_desc){ 0 }, findings)
      || !bw_setup (&gw->burn, &(struct bw_desc){ 0 }, findings)
      || !setup_tables (gw, findings) || !setup_clients (gw, findings)
      || !setup_streams (gw, findings) || !setup_links (gw, findings)
      || !setup_server (gw, findings))
    {
      gw_shutdown (gateway);
      return false;
    }
  fo_start (&gw->intents, 0);
  fo_start (&gw->jobs_stream, 0);
  start_timers (gw);
  gw_wake (gw);
  ev_log (EV_STARTED, "http=%s:%u", gw->settings->gateway_http.host,
          gw->settings->gateway_http.port);
  return true;
}

void
gw_stop (struct gw_gateway *gateway)
{
  struct gw_state *gw = gateway->state;
  uint64_t now_us = hc_now_us ();

  if (gw->draining)
    return;
  gw->draining = true;
  gw->drain_deadline_us = now_us + gw->settings->drain_ms * GW_US_PER_MS;
  gw->drain_earliest_us = now_us + DRAIN_MIN_US;
  ev_log (EV_DRAINING, "open=%u", gw->request_pool.used);
  gw_wake (gw);
}

void
gw_shutdown (struct gw_gateway *gateway)
{
  struct gw_state *gw = gateway->state;

  if (gw == NULL)
    return;
  ev_timer_stop (gw->desc.loop, &gw->timer);
  ev_prepare_stop (gw->desc.loop, &gw->prepare);
  if (gw->server.loop != NULL)
    hs_shutdown (&gw->server);
  if (gw->links.state != NULL)
    pl_shutdown (&gw->links);
  if (gw->intents.state != NULL)
    fo_shutdown (&gw->intents);
  if (gw->jobs_stream.state != NULL)
    fo_shutdown (&gw->jobs_stream);
  if (gw->control.state != NULL)
    ctl_shutdown (&gw->control);
  if (gw->http_log.state != NULL)
    lc_http_shutdown (&gw->http_log);
  if (gw->targets.loop != NULL)
    hc_shutdown (&gw->targets);
  if (gw->log_calls.loop != NULL)
    hc_shutdown (&gw->log_calls);
  cyc_rt_shutdown (&gw->route);
  if (gw->once.state != NULL)
    cyc_once_shutdown (&gw->once);
  if (gw->jobs.state != NULL)
    cyc_jobs_shutdown (&gw->jobs);
  gw_append_shutdown (gw);
  gw_once_shutdown (gw);
  for (uint32_t i = 0; i < gw->request_pool.high; i++)
    if (cyc_pool_used_at (&gw->request_pool, i))
      free (gw->requests[i].body);
  free (gw->requests);
  free (gw->by_call);
  free (gw->snapshot);
  cyc_pool_shutdown (&gw->request_pool);
  met_shutdown (&gw->met);
  bw_shutdown (&gw->burn);
  free (gw);
  gateway->state = NULL;
}

bool
gw_ready (const struct gw_gateway *gateway)
{
  return gw_is_ready (gateway->state) && !gateway->state->draining;
}
