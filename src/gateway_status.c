#include "gateway_internal.h"

#include <stdlib.h>

static const char *const health_words[] = {
  [CYC_RT_LIVE] = "live",
  [CYC_RT_SUSPECT] = "suspect",
  [CYC_RT_EJECTED] = "ejected",
};

static const char *const peer_words[] = {
  [PL_DEAD] = "dead",
  [PL_SUSPECT] = "suspect",
  [PL_ALIVE] = "alive",
};

static void
add_text (struct json_object *to, const char *name, const char *text)
{
  json_object_object_add (to, name, json_object_new_string (text));
}

static void
add_number (struct json_object *to, const char *name, uint64_t number)
{
  json_object_object_add (to, name, json_object_new_uint64 (number));
}

static void
add_flag (struct json_object *to, const char *name, bool flag)
{
  json_object_object_add (to, name, json_object_new_boolean (flag));
}

static struct json_object *
workers_json (const struct gw_state *gw, uint64_t now_us)
{
  struct json_object *list = json_object_new_array ();
  struct cyc_rt_worker_view view;
  uint32_t cursor = 0;

  while (cyc_rt_worker_next (&gw->route, &cursor, now_us, &view))
    {
      struct json_object *row = json_object_new_object ();

      add_text (row, "worker", view.worker.data);
      add_text (row, "health", health_words[view.health]);
      add_flag (row, "leaving", view.leaving);
      add_number (row, "permitted", view.permitted);
      add_number (row, "in_use", view.in_use);
      json_object_array_add (list, row);
    }
  return list;
}

static struct json_object *
queues_json (const struct gw_state *gw)
{
  struct json_object *list = json_object_new_array ();
  const struct cyc_queue_cfg *queue;

  for (uint32_t i = 0;
       (queue = cyc_led_queue_at (ctl_ledger (&gw->control), i)) != NULL; i++)
    {
      struct json_object *row = json_object_new_object ();

      add_text (row, "queue", queue->name.data);
      add_number (
          row, "targets",
          cyc_rt_target_count (&gw->route, cyc_name_str (&queue->name)));
      add_number (
          row, "usable",
          cyc_rt_usable_count (&gw->route, cyc_name_str (&queue->name)));
      json_object_array_add (list, row);
    }
  return list;
}

static struct json_object *
peers_json (const struct gw_state *gw)
{
  struct json_object *list = json_object_new_array ();
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t cursor = 0;

  while (pl_next (&gw->links, &cursor, &ref, &view))
    {
      struct json_object *row = json_object_new_object ();

      add_text (row, "vm", view.identity.vm.data);
      add_text (row, "domain", view.identity.domain.data);
      add_text (row, "role",
                view.identity.role == SET_ROLE_GATEWAY ? "gateway"
                                                       : "scheduler");
      add_text (row, "health", peer_words[view.health]);
      add_flag (row, "linked", view.linked);
      add_number (row, "control_next", view.control_next);
      add_number (row, "owned_epoch", view.owned_epoch);
      json_object_array_add (list, row);
    }
  return list;
}

void
gw_serve_status (struct gw_state *gw, const struct hs_call *call)
{
  struct json_object *body = json_object_new_object ();
  uint64_t now_us = hc_now_us ();
  uint64_t fresh_us = ctl_fresh_us (&gw->control);

  add_text (body, "vm", gw->settings->vm.data);
  add_text (body, "domain", gw->settings->domain.data);
  add_text (body, "region", gw->settings->region.data);
  add_text (body, "role", "gateway");
  add_flag (body, "ready", gw_is_ready (gw) && !gw->draining);
  add_flag (body, "draining", gw->draining);
  add_flag (body, "log_reachable", ctl_log_reachable (&gw->control));
  if (fresh_us != 0)
    add_number (body, "fresh_age_ms",
                now_us > fresh_us ? (now_us - fresh_us) / GW_US_PER_MS : 0);
  add_number (body, "control_next", ctl_next (&gw->control));
  add_number (body, "config_version",
              cyc_led_config_version (ctl_ledger (&gw->control)));
  add_number (body, "requests_open", gw->request_pool.used);
  add_number (body, "requests_waiting", cyc_rt_waiting (&gw->route));
  add_number (body, "flights", cyc_rt_flights (&gw->route));
  add_number (body, "kept_answers", gw->kept_pool.used);
  add_number (body, "targets_epoch", gw->targets_epoch);
  add_flag (body, "seat_conflict", gw->seat_conflict);
  json_object_object_add (body, "queues", queues_json (gw));
  json_object_object_add (body, "workers", workers_json (gw, now_us));
  json_object_object_add (body, "peers", peers_json (gw));
  gw_reply_json (gw, call->ref, 200, body);
}

void
gw_serve_metrics (struct gw_state *gw, const struct hs_call *call)
{
  struct hs_reply reply = { .status = 200, .header_count = 1 };
  struct cyc_str text;

  gw->met.counters[MET_HTTP_BYTES_IN]
      = gw->server.bytes_in + gw->targets.bytes_in + gw->log_calls.bytes_in;
  gw->met.counters[MET_HTTP_BYTES_OUT]
      = gw->server.bytes_out + gw->targets.bytes_out + gw->log_calls.bytes_out;
  text = met_text (&gw->met);
  reply.body = text;
  reply.headers[0] = (struct hs_reply_header){ "Outcome", "answer" };
  hs_reply (&gw->server, call->ref, &reply);
  free ((void *)text.data);
}

void
gw_serve_objectives (struct gw_state *gw, const struct hs_call *call)
{
  struct cyc_str body
      = br_encode (&(struct br_source){ .ledger = ctl_ledger (&gw->control),
                                        .windows = &gw->burn,
                                        .incarnation = &gw->met.incarnation,
                                        .start_ms = gw->met.start_ms,
                                        .now_us = hc_now_us () });

  hs_reply (&gw->server, call->ref,
            &(struct hs_reply){ .status = 200,
                                .body = body,
                                .content_type = "application/json" });
  free ((void *)body.data);
}
