/* HTTP endpoints of the scheduler: readiness, metrics, status, objectives. */
#include "scheduler.h"

#include <json-c/json.h>
#include <stdlib.h>

static void
add_number (struct json_object *to, const char *key, uint64_t value)
{
  json_object_object_add (to, key, json_object_new_uint64 (value));
}

static void
add_text (struct json_object *to, const char *key, const char *value)
{
  json_object_object_add (to, key, json_object_new_string (value));
}

static void
add_flag (struct json_object *to, const char *key, bool value)
{
  json_object_object_add (to, key, json_object_new_boolean (value));
}

static struct json_object *
claim_json (struct sc_scheduler *sc)
{
  struct json_object *out = json_object_new_object ();
  struct cyc_claim claim;
  uint64_t hold_deadline_us = cyc_clm_hold_deadline_us (&sc->claim);

  cyc_led_claim (ctl_ledger (&sc->ctl), cyc_name_str (&sc->settings.domain), 0,
                 &claim);
  add_text (out, "owner", claim.owner.data);
  add_number (out, "epoch", claim.epoch);
  add_flag (out, "released", claim.released);
  add_flag (out, "own", sc->epoch != 0);
  add_flag (out, "starts_allowed", sc->starts_allowed);
  add_number (out, "hold_left_ms",
              hold_deadline_us > sc->now_us
                  ? (hold_deadline_us - sc->now_us) / SC_US_PER_MS
                  : 0);
  return out;
}

static struct json_object *
totals_json (struct sc_scheduler *sc)
{
  struct json_object *out = json_object_new_object ();
  struct cyc_core_totals totals = { 0 };

  if (sc->epoch != 0)
    cyc_core_totals (&sc->core, &totals);
  add_number (out, "workers", totals.workers);
  add_number (out, "ejected", totals.ejected);
  add_number (out, "silent", totals.silent);
  add_number (out, "capacity_millicores", totals.capacity_millicores);
  add_number (out, "used_millicores", totals.used_millicores);
  add_number (out, "queued_tasks", totals.queued_tasks);
  add_number (out, "running_tasks", totals.running_tasks);
  add_number (out, "starts", totals.starts);
  add_number (out, "preempted", totals.preempted);
  add_number (out, "cancelled", totals.cancelled);
  add_number (out, "refused_jobs", totals.refused_jobs);
  add_number (out, "starts_open", sc->starts_open);
  return out;
}

static const char *
health_name (enum cyc_mem_health health)
{
  static const char *const names[] = { "new", "alive", "suspect", "dead" };

  return names[health];
}

static struct json_object *
workers_json (struct sc_scheduler *sc)
{
  struct json_object *list = json_object_new_array ();
  const struct cyc_mem_row *row;
  struct cyc_ref ref;
  uint32_t cursor = 0;

  while ((row = cyc_mem_next (&sc->members, &cursor, &ref)) != NULL)
    {
      struct json_object *out = json_object_new_object ();
      const struct sc_worker *worker = &sc->workers[ref.index];

      add_text (out, "name", row->vm.name.data);
      add_text (out, "address", row->vm.address);
      add_text (out, "health", health_name (row->health));
      add_flag (out, "listed", row->listed);
      add_flag (out, "leaving", row->leaving);
      add_flag (out, "fenced",
                sc->epoch != 0 && worker->fenced_epoch == sc->epoch);
      add_number (out, "tasks", worker->task_count);
      add_number (out, "millicores", row->vm.capacity.millicores);
      json_object_array_add (list, out);
    }
  return list;
}

static struct json_object *
teams_json (struct sc_scheduler *sc)
{
  struct json_object *list = json_object_new_array ();
  struct cyc_core_team_view view;

  for (uint32_t i = 0;
       sc->epoch != 0 && cyc_core_team_at (&sc->core, i, &view); i++)
    {
      struct json_object *out = json_object_new_object ();
      struct cyc_balance balance
          = cyc_led_balance (ctl_ledger (&sc->ctl), cyc_name_str (&view.name),
                             cyc_name_str (&sc->settings.domain));

      add_text (out, "name", view.name.data);
      add_number (out, "share_permille", view.share_permille);
      add_number (out, "got_share_permille", view.got_share_permille);
      add_number (out, "used_millicores", view.used_millicores);
      add_number (out, "wanted_millicores", view.wanted_millicores);
      add_number (out, "balance_millicores", balance.millicores);
      add_number (out, "used_accelerators", view.used_accelerators);
      add_number (out, "balance_accelerators", balance.accelerators);
      json_object_array_add (list, out);
    }
  return list;
}

static void
reply_status (struct sc_scheduler *sc, const struct hs_call *call)
{
  struct json_object *root = json_object_new_object ();
  uint64_t fresh_us = ctl_fresh_us (&sc->ctl);
  const char *text;

  add_text (root, "vm", sc->settings.vm.data);
  add_text (root, "domain", sc->settings.domain.data);
  add_text (root, "role", "scheduler");
  add_number (root, "control_next", ctl_next (&sc->ctl));
  add_number (root, "fresh_age_ms",
              fresh_us != 0 && fresh_us < sc->now_us
                  ? (sc->now_us - fresh_us) / SC_US_PER_MS
                  : 0);
  add_flag (root, "log_reachable", ctl_log_reachable (&sc->ctl));
  add_number (root, "jobs_next", fo_next (&sc->follow));
  json_object_object_add (root, "claim", claim_json (sc));
  json_object_object_add (root, "totals", totals_json (sc));
  json_object_object_add (root, "teams", teams_json (sc));
  json_object_object_add (root, "workers", workers_json (sc));
  text = json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN);
  hs_reply (&sc->hs, call->ref,
            &(struct hs_reply){ .status = 200,
                                .body = cyc_str_of (text),
                                .content_type = "application/json" });
  json_object_put (root);
}

static void
reply_text (struct sc_scheduler *sc, const struct hs_call *call,
            uint32_t status, const char *text)
{
  hs_reply (&sc->hs, call->ref,
            &(struct hs_reply){ .status = status, .body = cyc_str_of (text) });
}

static bool
is_ready (const struct sc_scheduler *sc)
{
  return sc->phase == SC_PHASE_RUN && ctl_ready (&sc->ctl) && sc->jobs_ready;
}

static void
reply_metrics (struct sc_scheduler *sc, const struct hs_call *call)
{
  struct cyc_str text;

  sc->met.counters[MET_HTTP_BYTES_IN] = sc->hs.bytes_in + sc->hc.bytes_in;
  sc->met.counters[MET_HTTP_BYTES_OUT] = sc->hs.bytes_out + sc->hc.bytes_out;
  text = met_text (&sc->met);
  hs_reply (&sc->hs, call->ref,
            &(struct hs_reply){ .status = 200, .body = text });
  free ((void *)text.data);
}

static void
reply_objectives (struct sc_scheduler *sc, const struct hs_call *call)
{
  struct cyc_str body
      = br_encode (&(struct br_source){ .ledger = ctl_ledger (&sc->ctl),
                                        .windows = &sc->burn,
                                        .incarnation = &sc->met.incarnation,
                                        .start_ms = sc->met.start_ms,
                                        .now_us = sc->now_us });

  hs_reply (&sc->hs, call->ref,
            &(struct hs_reply){ .status = 200,
                                .body = body,
                                .content_type = "application/json" });
  free ((void *)body.data);
}

void
sc_status_handle (void *user, const struct hs_call *call)
{
  struct sc_scheduler *sc = user;

  sc->now_us = hc_now_us ();
  if (!cyc_str_eq (call->method, CYC_STR ("GET")))
    reply_text (sc, call, 405, "only GET\n");
  else if (cyc_str_eq (call->path, CYC_STR ("/ready")))
    reply_text (sc, call, is_ready (sc) ? 200 : 503,
                is_ready (sc) ? "ready\n" : "not ready\n");
  else if (cyc_str_eq (call->path, CYC_STR ("/metrics")))
    reply_metrics (sc, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/v1/status")))
    reply_status (sc, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/v1/objectives")))
    reply_objectives (sc, call);
  else
    reply_text (sc, call, 404, "no such path\n");
}
