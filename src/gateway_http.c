#include "gateway_internal.h"

#include <stdlib.h>
#include <string.h>

#define KEY_MAX_BYTES 512
#define IDEMPOTENCY_KEY_MAX_BYTES 255
#define QUEUE_PREFIX "/v1/queues/"
#define JOB_PREFIX "/v1/jobs/"

/** Sender of a call, after its key was checked. */
struct caller
{
  bool has_key;
  struct cyc_name team;
};

/** Why a call is refused. */
struct refusal
{
  enum gw_problem problem;
  const char *detail;
};

bool
gw_is_ready (const struct gw_state *gw)
{
  return cyc_led_complete (ctl_ledger (&gw->control))
         && ctl_fresh_us (&gw->control) != 0
         && cyc_led_fleet (ctl_ledger (&gw->control)) != NULL;
}

/* Returns the outcome for a call that is refused before its idempotency key is
   looked up. Until then, only the caller can rule out an earlier attempt with
   the same key, with the header First-Attempt. */
static enum cyc_outcome
outcome_before_lookup (const struct hs_call *call)
{
  if (hs_header (call, "Idempotency-Key").len == 0
      || cyc_str_eq (hs_header (call, "First-Attempt"), CYC_STR ("1")))
    return CYC_OUTCOME_NOT_RUN;
  return CYC_OUTCOME_UNKNOWN;
}

static bool
bearer_key (const struct hs_call *call, struct cyc_str *key)
{
  struct cyc_str value = hs_header (call, "Authorization");
  struct cyc_str scheme = CYC_STR ("Bearer ");

  if (value.len <= scheme.len || value.len > scheme.len + KEY_MAX_BYTES
      || memcmp (value.data, scheme.data, scheme.len) != 0)
    return false;
  key->data = value.data + scheme.len;
  key->len = value.len - scheme.len;
  return true;
}

/* Returns false when the call carries an invalid key. A call without a key
   passes; whether the queue allows it is checked later. */
static bool
authenticate (const struct gw_state *gw, const struct hs_call *call,
              struct caller *out, struct refusal *refusal)
{
  struct cyc_str key;
  struct cyc_digest digest;

  memset (out, 0, sizeof *out);
  if (hs_header (call, "Authorization").len == 0)
    return true;
  refusal->problem = GW_NO_VALID_KEY;
  if (!bearer_key (call, &key))
    {
      refusal->detail = "Authorization must be \"Bearer KEY\"";
      return false;
    }
  cyc_digest_of (key, &digest);
  out->has_key = true;
  switch (cyc_led_key (ctl_ledger (&gw->control), &digest, &out->team))
    {
    case CYC_KEY_VALID:
      return true;
    case CYC_KEY_WITHDRAWN:
      refusal->detail = "the key was withdrawn";
      return false;
    default:
      refusal->detail = "the key is not known";
      return false;
    }
}

/* Returns the setting that says whether queues of this kind are served while
   the copy of the keys is stale. */
static uint32_t
stale_keys_policy (const struct gw_state *gw,
                   const struct cyc_queue_cfg *queue)
{
  if (queue->kind == CYC_KIND_BATCH)
    return gw->settings->on_stale_batch;
  if (queue->kind == CYC_KIND_GANG)
    return gw->settings->on_stale_gang;
  return queue->repeatable ? gw->settings->on_stale_service
                           : gw->settings->on_stale_once;
}

static bool
keys_usable (const struct gw_state *gw, const struct cyc_queue_cfg *queue,
             uint64_t now_us)
{
  uint64_t fresh_us = ctl_fresh_us (&gw->control);
  uint64_t age_us = now_us > fresh_us ? now_us - fresh_us : 0;

  if (age_us <= gw->settings->key_stale_ms * GW_US_PER_MS)
    return true;
  return stale_keys_policy (gw, queue) == SET_ON_STALE_SERVE
         && age_us <= gw->settings->key_stale_max_ms * GW_US_PER_MS;
}

static bool
authorize (const struct gw_state *gw, const struct cyc_queue_cfg *queue,
           const struct caller *caller, struct refusal *refusal)
{
  if (queue->open && !caller->has_key)
    return true;
  refusal->problem = GW_NO_VALID_KEY;
  refusal->detail = "the queue needs a key";
  if (!caller->has_key)
    return false;
  refusal->problem = GW_WRONG_TEAM;
  refusal->detail = "the queue belongs to another team";
  if (!queue->open && !cyc_name_eq (&queue->team, &caller->team))
    return false;
  refusal->problem = GW_KEYS_STALE;
  refusal->detail = "the state of the keys is too old";
  return keys_usable (gw, queue, hc_now_us ());
}

static bool
read_number (struct cyc_str text, uint64_t *out)
{
  *out = 0;
  if (text.len == 0 || text.len > 18)
    return false;
  for (size_t i = 0; i < text.len; i++)
    {
      if (text.data[i] < '0' || text.data[i] > '9')
        return false;
      *out = *out * 10 + (uint64_t)(text.data[i] - '0');
    }
  return true;
}

static bool
read_deadline (const struct gw_state *gw, const struct hs_call *call,
               uint64_t *deadline_us)
{
  uint64_t latest_us
      = hc_now_us () + gw->settings->request_max_ms * GW_US_PER_MS;
  struct cyc_str text = hs_header (call, "Deadline-Ms");
  uint64_t wall_ms;

  *deadline_us = latest_us;
  if (text.len == 0)
    return true;
  if (!read_number (text, &wall_ms))
    return false;
  if (hc_deadline_us (wall_ms) < latest_us)
    *deadline_us = hc_deadline_us (wall_ms);
  return true;
}

static bool
is_printable (struct cyc_str text)
{
  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char)text.data[i] < ' ' || text.data[i] == 0x7f)
      return false;
  return true;
}

/* Sets the deadline, the id and the body digest of a service request; returns
   false with the reason in `refusal`. */
static bool
read_request (struct gw_request *request, const struct hs_call *call,
              const struct cyc_queue_cfg *queue, const struct caller *caller,
              struct refusal *refusal)
{
  struct cyc_str key = hs_header (call, "Idempotency-Key");
  struct cyc_digest digest;

  refusal->problem = GW_BAD_REQUEST;
  refusal->detail = "Deadline-Ms must be Unix milliseconds";
  if (!read_deadline (request->gw, call, &request->deadline_us))
    return false;
  request->once = !queue->repeatable;
  cyc_id128_random (&request->id);
  if (!request->once)
    return true;
  refusal->detail = "Idempotency-Key of 1 to 255 printable bytes is needed";
  if (key.len == 0 || key.len > IDEMPOTENCY_KEY_MAX_BYTES
      || !is_printable (key))
    return false;
  request->may_have_earlier_attempt
      = !cyc_str_eq (hs_header (call, "First-Attempt"), CYC_STR ("1"));
  cyc_request_id (cyc_name_str (&caller->team), cyc_name_str (&queue->name),
                  key, &request->id);
  cyc_digest_of (call->body, &digest);
  memcpy (&request->body_digest, &digest, sizeof request->body_digest);
  return true;
}

static void
open_request (struct gw_state *gw, const struct hs_call *call,
              const struct cyc_queue_cfg *queue, const struct caller *caller)
{
  struct gw_request *request = gw_request_take (gw);
  const struct cyc_team_cfg *team;
  struct refusal refusal;

  if (request == NULL)
    {
      gw_refuse_call (gw, call, GW_OVERLOAD, outcome_before_lookup (call),
                      "too many open requests");
      return;
    }
  request->has_call = true;
  request->call = call->ref;
  request->queue = queue->name;
  request->team = caller->has_key ? caller->team : queue->team;
  team = cyc_led_team (ctl_ledger (&gw->control),
                       cyc_name_str (&request->team));
  request->weight = team != NULL ? team->share_permille : 1;
  if (!gw_team_has_capacity (request))
    {
      gw_refuse (request, GW_TEAM_QUEUE_FULL, outcome_before_lookup (call),
                 "the team has too many open requests");
      return;
    }
  if (!read_request (request, call, queue, caller, &refusal))
    {
      gw_refuse (request, refusal.problem, CYC_OUTCOME_NOT_RUN,
                 refusal.detail);
      return;
    }
  request->body = malloc (call->body.len + 1);
  if (request->body == NULL)
    {
      gw_refuse (request, GW_OVERLOAD, gw_unanswered_outcome (request),
                 "out of memory");
      return;
    }
  if (call->body.len > 0)
    memcpy (request->body, call->body.data, call->body.len);
  request->body_len = call->body.len;
  gw->by_call[call->ref.index] = request->ref;
  if (request->deadline_us <= hc_now_us ())
    gw_refuse (request, GW_DEADLINE_PASSED, gw_unanswered_outcome (request),
               "Deadline-Ms has passed");
  else if (request->once)
    gw_once_start (request);
  else
    gw_route (request);
}

static void
serve_request (struct gw_state *gw, const struct hs_call *call,
               const struct cyc_queue_cfg *queue, const struct caller *caller)
{
  met_add (&gw->met, MET_REQUESTS, 1);
  met_add_label (&gw->met, MET_QUEUE_REQUESTS, cyc_name_str (&queue->name), 1);
  if (queue->kind != CYC_KIND_SERVICE)
    gw_refuse_call (gw, call, GW_WRONG_QUEUE_KIND, CYC_OUTCOME_NOT_RUN,
                    "the queue takes jobs, not requests");
  else
    open_request (gw, call, queue, caller);
}

static void
serve_queue (struct gw_state *gw, const struct hs_call *call,
             struct cyc_str name, struct cyc_str endpoint)
{
  const struct cyc_queue_cfg *queue
      = cyc_name_valid (name) ? cyc_led_queue (ctl_ledger (&gw->control), name)
                              : NULL;
  struct refusal refusal;
  struct caller caller;
  bool jobs = cyc_str_eq (endpoint, CYC_STR ("jobs"));

  if (!jobs && !cyc_str_eq (endpoint, CYC_STR ("requests")))
    gw_refuse_call (gw, call, GW_UNKNOWN_PATH, CYC_OUTCOME_NOT_RUN,
                    "there is no such path");
  else if (!cyc_str_eq (call->method, CYC_STR ("POST")))
    gw_refuse_call (gw, call, GW_BAD_METHOD, CYC_OUTCOME_NOT_RUN,
                    "only POST is possible here");
  else if (!authenticate (gw, call, &caller, &refusal))
    gw_refuse_call (gw, call, refusal.problem, CYC_OUTCOME_NOT_RUN,
                    refusal.detail);
  else if (queue == NULL)
    gw_refuse_call (gw, call, GW_UNKNOWN_QUEUE, CYC_OUTCOME_NOT_RUN,
                    "no queue has this name");
  else if (!authorize (gw, queue, &caller, &refusal))
    gw_refuse_call (gw, call, refusal.problem,
                    refusal.problem == GW_KEYS_STALE
                        ? outcome_before_lookup (call)
                        : CYC_OUTCOME_NOT_RUN,
                    refusal.detail);
  else if (!jobs)
    serve_request (gw, call, queue, &caller);
  else if (queue->kind == CYC_KIND_SERVICE)
    gw_refuse_call (gw, call, GW_WRONG_QUEUE_KIND, CYC_OUTCOME_NOT_RUN,
                    "the queue takes requests, not jobs");
  else
    gw_job_submit (gw, call, queue, cyc_name_str (&caller.team));
}

/* A job that the caller may not see is answered like an unknown job. */
static bool
may_see_job (const struct gw_state *gw, const struct cyc_job_row *row,
             const struct caller *caller)
{
  const struct cyc_queue_cfg *queue
      = cyc_led_queue (ctl_ledger (&gw->control), cyc_name_str (&row->queue));

  if (queue != NULL && queue->open)
    return true;
  return caller->has_key && cyc_name_eq (&row->team, &caller->team);
}

static void
serve_job (struct gw_state *gw, const struct hs_call *call, struct cyc_str hex)
{
  struct cyc_id128 id;
  struct caller caller;
  struct refusal refusal;
  const struct cyc_job_row *row;

  if (!authenticate (gw, call, &caller, &refusal))
    {
      gw_refuse_call (gw, call, refusal.problem, CYC_OUTCOME_NOT_RUN,
                      refusal.detail);
      return;
    }
  row = cyc_id128_parse (hex, &id) ? cyc_jobs_find (&gw->jobs, &id) : NULL;
  if (row == NULL || !may_see_job (gw, row, &caller))
    gw_refuse_call (gw, call, GW_UNKNOWN_JOB, CYC_OUTCOME_NOT_RUN,
                    "no job of this team has this id");
  else if (cyc_str_eq (call->method, CYC_STR ("GET")))
    gw_job_get (gw, call, row);
  else if (cyc_str_eq (call->method, CYC_STR ("DELETE")))
    gw_job_cancel (gw, call, row);
  else
    gw_refuse_call (gw, call, GW_BAD_METHOD, CYC_OUTCOME_NOT_RUN,
                    "only GET and DELETE are possible here");
}

static bool
starts_with (struct cyc_str text, struct cyc_str prefix, struct cyc_str *rest)
{
  if (text.len < prefix.len
      || memcmp (text.data, prefix.data, prefix.len) != 0)
    return false;
  rest->data = text.data + prefix.len;
  rest->len = text.len - prefix.len;
  return true;
}

static void
serve_api (struct gw_state *gw, const struct hs_call *call)
{
  struct cyc_str rest;
  const char *slash;

  if (gw->draining)
    gw_refuse_call (gw, call, GW_DRAINING, outcome_before_lookup (call),
                    "this gateway is stopping; use another");
  else if (!gw_is_ready (gw))
    gw_refuse_call (gw, call, GW_NOT_READY, outcome_before_lookup (call),
                    "the configuration is not known yet");
  else if (starts_with (call->path, CYC_STR (JOB_PREFIX), &rest))
    serve_job (gw, call, rest);
  else if (starts_with (call->path, CYC_STR (QUEUE_PREFIX), &rest)
           && (slash = memchr (rest.data, '/', rest.len)) != NULL)
    {
      struct cyc_str name = { rest.data, (size_t)(slash - rest.data) };
      struct cyc_str endpoint = { slash + 1, rest.len - name.len - 1 };

      serve_queue (gw, call, name, endpoint);
    }
  else
    gw_refuse_call (gw, call, GW_UNKNOWN_PATH, CYC_OUTCOME_NOT_RUN,
                    "there is no such path");
}

static void
serve_ready (struct gw_state *gw, const struct hs_call *call)
{
  bool ready = gw_is_ready (gw) && !gw->draining;
  struct json_object *body = json_object_new_object ();

  json_object_object_add (body, "ready", json_object_new_boolean (ready));
  gw_reply_json (gw, call->ref, ready ? 200 : 503, body);
}

void
gw_on_call (void *user, const struct hs_call *call)
{
  struct gw_state *gw = user;

  gw_wake (gw);
  if (cyc_str_eq (call->path, CYC_STR ("/ready")))
    serve_ready (gw, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/metrics")))
    gw_serve_metrics (gw, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/v1/status")))
    gw_serve_status (gw, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/v1/objectives")))
    gw_serve_objectives (gw, call);
  else
    serve_api (gw, call);
}

/* A once-only request continues without its caller, because its outcome must
   be recorded. A request in flight continues because its slot at the target is
   in use anyway. */
void
gw_on_caller_gone (void *user, struct cyc_ref call)
{
  struct gw_state *gw = user;
  struct gw_request *request = gw_request_at (gw, gw->by_call[call.index]);

  gw->by_call[call.index] = (struct cyc_ref){ 0 };
  if (request == NULL)
    return;
  request->has_call = false;
  if (!request->once
      && (request->stage == GW_STAGE_QUEUED
          || request->stage == GW_STAGE_BACKOFF))
    gw_request_release (request);
}
