#include "gateway_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct problem_row
{
  const char *word;
  uint32_t status;
  const char *title;
  uint32_t retry_after_s;
};

static const struct problem_row problems[GW_PROBLEM_COUNT] = {
#define GW_ROW(code, word, status, title, retry)                              \
  { word, status, title, retry },
  GW_PROBLEMS (GW_ROW)
#undef GW_ROW
};

void
gw_wake (struct gw_state *gw)
{
  gw->wake = true;
}

struct gw_request *
gw_request_at (struct gw_state *gw, struct cyc_ref ref)
{
  return cyc_pool_live (&gw->request_pool, ref) ? &gw->requests[ref.index]
                                                : NULL;
}

struct gw_request *
gw_request_take (struct gw_state *gw)
{
  struct cyc_ref ref = cyc_pool_take (&gw->request_pool);
  struct gw_request *request;

  if (ref.generation == 0)
    return NULL;
  request = &gw->requests[ref.index];
  memset (request, 0, sizeof *request);
  request->gw = gw;
  request->ref = ref;
  request->arrived_us = hc_now_us ();
  return request;
}

void
gw_request_release (struct gw_request *request)
{
  struct gw_state *gw = request->gw;
  struct cyc_ref ref = request->ref;

  if (request->stage == GW_STAGE_QUEUED)
    cyc_rt_dequeue (&gw->route, request->ticket);
  if (request->stage == GW_STAGE_IN_FLIGHT)
    {
      hc_cancel (&gw->targets, request->transfer);
      cyc_rt_finish (&gw->route, request->flight, CYC_RT_LOST, hc_now_us (),
                     request->deadline_us);
    }
  if (request->stage == GW_STAGE_INTENT_APPEND && !request->appended)
    gw_once_forget (gw, &request->id);
  if (request->has_call && request->call.index < gw->by_call_count)
    gw->by_call[request->call.index] = (struct cyc_ref){ 0 };
  free (request->body);
  memset (request, 0, sizeof *request);
  cyc_pool_release (&gw->request_pool, ref);
}

bool
gw_team_has_capacity (const struct gw_request *request)
{
  const struct gw_state *gw = request->gw;
  uint32_t held = 0;

  if (gw->request_pool.used <= gw->request_pool.capacity / 2)
    return true;
  for (uint32_t i = 0; i < gw->request_pool.high; i++)
    held += cyc_pool_used_at (&gw->request_pool, i)
            && cyc_name_eq (&gw->requests[i].team, &request->team);
  return held <= gw->request_pool.capacity / 4;
}

enum cyc_outcome
gw_unanswered_outcome (const struct gw_request *request)
{
  if (request->sent
      || (request->may_have_earlier_attempt && !request->won_intent))
    return CYC_OUTCOME_UNKNOWN;
  return CYC_OUTCOME_NOT_RUN;
}

static void
add_header (struct hs_reply *reply, const char *name, const char *value)
{
  struct hs_reply_header *header = &reply->headers[reply->header_count++];

  header->name = name;
  snprintf (header->value, sizeof header->value, "%s", value);
}

static void
send_reply (struct gw_state *gw, struct cyc_ref call,
            const struct gw_answer *answer)
{
  struct hs_reply reply = { .status = answer->status,
                            .body = answer->body,
                            .content_type = answer->content_type,
                            .close = gw->draining };

  add_header (&reply, "Outcome", cyc_outcome_name (answer->outcome).data);
  if (answer->retry_after_s > 0)
    {
      char text[16];

      snprintf (text, sizeof text, "%u", answer->retry_after_s);
      add_header (&reply, "Retry-After", text);
    }
  hs_reply (&gw->server, call, &reply);
}

static void
send_to_peer (const struct gw_request *request, const struct gw_answer *answer)
{
  Cyc__ForwardAnswer message = CYC__FORWARD_ANSWER__INIT;
  Cyc__Peer peer = CYC__PEER__INIT;

  message.forward_id = request->peer_forward_id;
  message.outcome = answer->outcome;
  message.http_status = answer->status;
  message.body.data = (uint8_t *)answer->body.data;
  message.body.len = answer->body.len;
  message.detail = (char *)(answer->detail ? answer->detail : "");
  peer.body_case = CYC__PEER__BODY_FORWARD_ANSWER;
  peer.forward_answer = &message;
  if (pl_send (&request->gw->links, request->peer, &peer)
      || answer->body.len == 0)
    return;
  /* The answer does not fit into a frame. The request has run, but its answer
     is lost. */
  message.outcome = CYC_OUTCOME_UNKNOWN;
  message.http_status = 502;
  message.body.len = 0;
  message.detail = "the answer is too long to forward";
  pl_send (&request->gw->links, request->peer, &peer);
}

static void
count_outcome (struct gw_state *gw, const struct gw_request *request,
               const struct gw_answer *answer)
{
  struct cyc_str queue = cyc_name_str (&request->queue);

  switch (answer->outcome)
    {
    case CYC_OUTCOME_ANSWER:
      met_add (&gw->met, MET_ANSWERS, 1);
      met_add_label (&gw->met, MET_QUEUE_ANSWERS, queue, 1);
      met_observe (&gw->met, MET_ANSWER_US,
                   hc_now_us () - request->arrived_us);
      break;
    case CYC_OUTCOME_NOT_RUN:
      met_add (&gw->met, MET_NOT_RUN, 1);
      met_add_label (&gw->met, MET_QUEUE_NOT_RUN, queue, 1);
      break;
    default:
      met_add (&gw->met, MET_UNKNOWN, 1);
      met_add_label (&gw->met, MET_QUEUE_UNKNOWN, queue, 1);
    }
}

static void
record_objective (struct gw_state *gw, const struct gw_request *request,
                  const struct gw_answer *answer)
{
  const struct cyc_queue_cfg *queue = cyc_led_queue (
      ctl_ledger (&gw->control), cyc_name_str (&request->queue));
  uint64_t bound_us = queue != NULL && queue->answered_within_ms > 0
                          ? queue->answered_within_ms * GW_US_PER_MS
                          : UINT64_MAX;

  struct bw_event event
      = { .in_time = answer->outcome == CYC_OUTCOME_ANSWER
                     && hc_now_us () - request->arrived_us <= bound_us,
          .definite = answer->outcome != CYC_OUTCOME_UNKNOWN };

  if (event.in_time)
    met_add_label (&gw->met, MET_QUEUE_IN_TIME, cyc_name_str (&request->queue),
                   1);
  /* A forwarded request counts only at the gateway that its caller reached. */
  if (!request->has_peer)
    bw_record (&gw->burn, cyc_name_str (&request->queue), &event,
               hc_now_us ());
}

void
gw_finish (struct gw_request *request, const struct gw_answer *answer)
{
  struct gw_state *gw = request->gw;
  struct gw_request ended; /* copy that outlives the row */

  count_outcome (gw, request, answer);
  record_objective (gw, request, answer);
  if (answer->outcome == CYC_OUTCOME_UNKNOWN
      && (request->sent || request->won_intent || request->appended))
    {
      char hex[33];

      cyc_id128_hex (&request->id, hex);
      ev_log (EV_REQUEST_UNKNOWN, "queue=%s request=%s reason=\"%s\"",
              request->queue.data, hex, answer->detail ? answer->detail : "");
    }
  else if (answer->outcome != CYC_OUTCOME_ANSWER)
    ev_log (EV_REQUEST_REFUSED, "queue=%s reason=\"%s\"", request->queue.data,
            answer->detail ? answer->detail : "");
  if (request->has_call)
    send_reply (gw, request->call, answer);
  if (request->has_peer)
    send_to_peer (request, answer);
  ended = *request;
  gw_request_release (request);
  if (ended.won_intent)
    gw_once_finished (&ended, answer);
  gw_wake (gw);
}

static struct json_object *
problem_json (enum gw_problem problem, enum cyc_outcome outcome,
              const char *detail)
{
  const struct problem_row *row = &problems[problem];
  struct json_object *body = json_object_new_object ();
  char type[80];

  snprintf (type, sizeof type, "urn:cyclamendrum:problem:%s", row->word);
  json_object_object_add (body, "type", json_object_new_string (type));
  json_object_object_add (body, "title", json_object_new_string (row->title));
  json_object_object_add (body, "status",
                          json_object_new_int ((int32_t)row->status));
  json_object_object_add (body, "detail", json_object_new_string (detail));
  json_object_object_add (
      body, "outcome",
      json_object_new_string (cyc_outcome_name (outcome).data));
  return body;
}

static struct gw_answer
problem_answer (enum gw_problem problem, enum cyc_outcome outcome,
                const char *detail, struct json_object *body)
{
  size_t len;
  const char *text
      = json_object_to_json_string_length (body, JSON_C_TO_STRING_PLAIN, &len);

  return (struct gw_answer){
    .outcome = outcome,
    .status = problems[problem].status,
    .body = { text, len },
    .content_type = "application/problem+json",
    .retry_after_s = problems[problem].retry_after_s,
    .detail = detail,
  };
}

void
gw_refuse (struct gw_request *request, enum gw_problem problem,
           enum cyc_outcome outcome, const char *detail)
{
  struct json_object *body = problem_json (problem, outcome, detail);
  struct gw_answer answer = problem_answer (problem, outcome, detail, body);

  gw_finish (request, &answer);
  json_object_put (body);
}

/* Outcome "answer" is only sent together with the answer itself. The outcome
   that the log holds goes into the problem body instead. */
void
gw_refuse_recorded (struct gw_request *request, enum cyc_outcome recorded,
                    uint32_t recorded_status)
{
  enum cyc_outcome outcome = recorded == CYC_OUTCOME_NOT_RUN
                                 ? CYC_OUTCOME_NOT_RUN
                                 : CYC_OUTCOME_UNKNOWN;
  const char *detail = "an earlier attempt with this key was begun and its "
                       "answer cannot be had";
  struct json_object *body
      = problem_json (GW_ANSWER_NOT_KEPT, outcome, detail);
  struct gw_answer answer;

  if (recorded != CYC_OUTCOME_NONE)
    json_object_object_add (
        body, "recorded",
        json_object_new_string (cyc_outcome_name (recorded).data));
  if (recorded == CYC_OUTCOME_ANSWER)
    json_object_object_add (body, "recorded_status",
                            json_object_new_int ((int32_t)recorded_status));
  answer = problem_answer (GW_ANSWER_NOT_KEPT, outcome, detail, body);
  gw_finish (request, &answer);
  json_object_put (body);
}

void
gw_refuse_call (struct gw_state *gw, const struct hs_call *call,
                enum gw_problem problem, enum cyc_outcome outcome,
                const char *detail)
{
  struct json_object *body = problem_json (problem, outcome, detail);
  struct gw_answer answer = problem_answer (problem, outcome, detail, body);

  met_add (&gw->met,
           outcome == CYC_OUTCOME_NOT_RUN ? MET_NOT_RUN : MET_UNKNOWN, 1);
  ev_log (EV_REQUEST_REFUSED, "problem=%s reason=\"%s\"",
          problems[problem].word, detail);
  send_reply (gw, call->ref, &answer);
  json_object_put (body);
}

void
gw_reply_json (struct gw_state *gw, struct cyc_ref call, uint32_t status,
               struct json_object *body)
{
  struct gw_answer answer = { .outcome = CYC_OUTCOME_ANSWER,
                              .status = status,
                              .content_type = "application/json" };

  answer.body.data = json_object_to_json_string_length (
      body, JSON_C_TO_STRING_PLAIN, &answer.body.len);
  send_reply (gw, call, &answer);
  json_object_put (body);
}

void
gw_finish_json (struct gw_request *request, uint32_t status,
                struct json_object *body)
{
  struct gw_answer answer = { .outcome = CYC_OUTCOME_ANSWER,
                              .status = status,
                              .content_type = "application/json" };

  answer.body.data = json_object_to_json_string_length (
      body, JSON_C_TO_STRING_PLAIN, &answer.body.len);
  gw_finish (request, &answer);
  json_object_put (body);
}
