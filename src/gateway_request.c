#include "gateway_internal.h"

#include <stdio.h>
#include <string.h>

#define SILENT_CONNECTIONS_MAX 64

static const char *const admission_texts[] = {
  [CYC_RT_NO_TARGET] = "no target of the queue can be reached",
  [CYC_RT_TEAM_FULL] = "the team has too many waiting requests",
  [CYC_RT_TABLE_FULL] = "this gateway has too many waiting requests",
  [CYC_RT_TOO_LATE] = "the estimated wait exceeds the deadline",
};

static enum gw_problem
admission_problem (enum cyc_rt_admission admission)
{
  switch (admission)
    {
    case CYC_RT_NO_TARGET:
      return GW_NO_TARGET;
    case CYC_RT_TEAM_FULL:
      return GW_TEAM_QUEUE_FULL;
    case CYC_RT_TOO_LATE:
      return GW_TOO_LATE;
    default:
      return GW_OVERLOAD;
    }
}

static enum cyc_rt_admission
enqueue (struct gw_request *request, uint64_t now_us)
{
  struct cyc_rt_request row = {
    .queue = cyc_name_str (&request->queue),
    .team = cyc_name_str (&request->team),
    .weight = request->weight,
    .deadline_us = request->deadline_us,
    .once = request->once,
    .is_retry = request->attempt > 0,
    .avoid = request->avoid,
    .user = gw_ref_pack (request->ref),
  };

  return cyc_rt_enqueue (&request->gw->route, &row, now_us, &request->ticket);
}

void
gw_route (struct gw_request *request)
{
  struct gw_state *gw = request->gw;
  uint64_t now_us = hc_now_us ();
  bool usable
      = cyc_rt_usable_count (&gw->route, cyc_name_str (&request->queue)) > 0;
  enum cyc_rt_admission admission;

  gw_wake (gw);
  if (!usable && gw_forward (request, now_us))
    return;
  admission = enqueue (request, now_us);
  if (admission == CYC_RT_QUEUED)
    {
      request->stage = GW_STAGE_QUEUED;
      return;
    }
  if (usable && gw_forward (request, now_us))
    return;
  gw_refuse (request, admission_problem (admission),
             gw_unanswered_outcome (request), admission_texts[admission]);
}

/* Schedules a retry if the retry budget and the deadline allow it; otherwise
   refuses the request. */
static void
retry_or_refuse (struct gw_request *request, enum gw_problem problem,
                 const char *detail)
{
  struct gw_state *gw = request->gw;

  if (cyc_rt_take_retry (&gw->route, request->attempt, request->deadline_us,
                         hc_now_us (), &request->retry_at_us))
    {
      met_add (&gw->met, MET_RETRIES, 1);
      request->attempt++;
      request->stage = GW_STAGE_BACKOFF;
      return;
    }
  met_add (&gw->met, MET_RETRIES_DENIED, 1);
  gw_refuse (request, problem, gw_unanswered_outcome (request), detail);
}

static enum cyc_rt_end
flight_end (const struct hc_result *result)
{
  if (result->status == 503 && result->not_started)
    return CYC_RT_REFUSED;
  if (result->status >= 500)
    return CYC_RT_FAILED;
  if (result->status > 0)
    return CYC_RT_ANSWERED;
  if (result->sent == HC_SENT_NO)
    return CYC_RT_NOT_CONNECTED;
  return result->timed_out ? CYC_RT_LOST : CYC_RT_CLOSED;
}

static void
finish_with_answer (struct gw_request *request, const struct hc_result *result)
{
  struct gw_answer answer = { .outcome = CYC_OUTCOME_ANSWER,
                              .status = (uint32_t)result->status,
                              .body = result->body,
                              .content_type = "application/octet-stream" };

  gw_finish (request, &answer);
}

static void
on_target_done (void *user, const struct hc_result *result)
{
  struct gw_request *request = user;
  struct gw_state *gw = request->gw;
  enum cyc_rt_end end = flight_end (result);

  if (result->draining)
    gw_announce_leaving (gw, &request->avoid);
  cyc_rt_finish (&gw->route, request->flight, end, hc_now_us (),
                 request->deadline_us);
  request->stage = 0;
  gw_wake (gw);
  switch (end)
    {
    case CYC_RT_ANSWERED:
    case CYC_RT_FAILED:
      finish_with_answer (request, result);
      break;
    case CYC_RT_REFUSED:
      retry_or_refuse (request, GW_TARGET_REFUSED,
                       "the target refused to start it");
      break;
    case CYC_RT_NOT_CONNECTED:
      retry_or_refuse (request, GW_CONNECTION_LOST,
                       "no connection to the target");
      break;
    case CYC_RT_CLOSED:
    case CYC_RT_LOST:
      request->sent = true;
      if (request->once)
        gw_refuse (request,
                   result->timed_out ? GW_DEADLINE_PASSED : GW_CONNECTION_LOST,
                   CYC_OUTCOME_UNKNOWN, "no complete answer was received");
      else
        retry_or_refuse (request,
                         result->timed_out ? GW_DEADLINE_PASSED
                                           : GW_CONNECTION_LOST,
                         "no complete answer was received");
      break;
    }
}

static void
send_to_target (struct gw_state *gw, struct gw_request *request,
                const struct cyc_rt_send *send, uint64_t now_us)
{
  char hex[33];
  char url[CYC_RT_ADDRESS_BYTES + 96];
  char id_line[64];
  char deadline_line[64];
  struct hc_request call = {
    .method = HC_POST,
    .body = { request->body, request->body_len },
    .deadline_us = request->deadline_us,
    .fresh_connection = send->fresh_connection,
    .done = on_target_done,
    .user = request,
  };

  cyc_id128_hex (&request->id, hex);
  snprintf (url, sizeof url, "%s/v1/requests/%s", send->address,
            request->queue.data);
  snprintf (id_line, sizeof id_line, "Request-Id: %s", hex);
  snprintf (deadline_line, sizeof deadline_line, "Deadline-Ms: %" PRIu64,
            hc_deadline_ms (request->deadline_us));
  call.url = cyc_str_of (url);
  call.headers[call.header_count++] = cyc_str_of (id_line);
  call.headers[call.header_count++] = cyc_str_of (deadline_line);
  call.headers[call.header_count++]
      = CYC_STR ("Content-Type: application/octet-stream");
  met_observe (&gw->met, MET_QUEUE_WAIT_US, now_us - request->arrived_us);
  request->avoid = send->worker;
  request->flight = send->flight;
  request->transfer = hc_send (&gw->targets, &call);
  if (request->transfer.generation != 0)
    {
      request->stage = GW_STAGE_IN_FLIGHT;
      return;
    }
  cyc_rt_finish (&gw->route, send->flight, CYC_RT_REFUSED, now_us,
                 request->deadline_us);
  request->stage = 0;
  gw_refuse (request, GW_OVERLOAD, gw_unanswered_outcome (request),
             "too many requests in flight");
}

void
gw_dispatch (struct gw_state *gw, uint64_t now_us)
{
  struct cyc_rt_send send;

  while (cyc_rt_next (&gw->route, now_us, &send))
    {
      struct gw_request *request
          = gw_request_at (gw, gw_ref_unpack (send.user));

      if (request == NULL)
        cyc_rt_finish (&gw->route, send.flight, CYC_RT_REFUSED, now_us,
                       now_us);
      else
        send_to_target (gw, request, &send, now_us);
    }
}

/* A silent connection is closed only if the request can be retried; otherwise
   its answer may still arrive. */
void
gw_check_silence (struct gw_state *gw, uint64_t now_us)
{
  struct cyc_rt_silent_flight rows[SILENT_CONNECTIONS_MAX];
  uint32_t count
      = cyc_rt_take_silent (&gw->route, now_us, rows, SILENT_CONNECTIONS_MAX);

  for (uint32_t i = 0; i < count; i++)
    {
      struct gw_request *request
          = gw_request_at (gw, gw_ref_unpack (rows[i].user));

      if (request == NULL || request->stage != GW_STAGE_IN_FLIGHT)
        continue;
      met_add (&gw->met, MET_CONNECTIONS_SILENT, 1);
      ev_log (EV_CONNECTION_SILENT, "worker=%s queue=%s", rows[i].worker.data,
              request->queue.data);
      if (!cyc_rt_take_retry (&gw->route, request->attempt,
                              request->deadline_us, now_us,
                              &request->retry_at_us))
        {
          met_add (&gw->met, MET_RETRIES_DENIED, 1);
          continue;
        }
      met_add (&gw->met, MET_RETRIES, 1);
      hc_cancel (&gw->targets, request->transfer);
      cyc_rt_finish (&gw->route, request->flight, CYC_RT_LOST, now_us,
                     request->deadline_us);
      request->sent = true;
      request->attempt++;
      request->stage = GW_STAGE_BACKOFF;
    }
}

static void
end_at_deadline (struct gw_request *request)
{
  switch (request->stage)
    {
    case GW_STAGE_INTENT_APPEND:
      gw_refuse (request, GW_DEADLINE_PASSED,
                 request->appended ? CYC_OUTCOME_UNKNOWN
                                   : gw_unanswered_outcome (request),
                 "the intent was not confirmed in time; it is not sent");
      break;
    case GW_STAGE_DUPLICATE:
    case GW_STAGE_OUTCOME_QUERY:
      gw_once_finish_from_log (request);
      break;
    case GW_STAGE_IN_FLIGHT:
    case GW_STAGE_FORWARDED:
      request->sent = true;
      gw_refuse (request, GW_DEADLINE_PASSED, CYC_OUTCOME_UNKNOWN,
                 "no answer before the deadline");
      break;
    case GW_STAGE_JOB_APPEND:
      gw_refuse (request, GW_DEADLINE_PASSED,
                 request->appended ? CYC_OUTCOME_UNKNOWN
                                   : gw_unanswered_outcome (request),
                 "the log did not confirm the job in time");
      break;
    case GW_STAGE_JOB_QUERY:
      gw_job_finish_from_table (request);
      break;
    case GW_STAGE_QUEUED:
    case GW_STAGE_BACKOFF:
      gw_refuse (request, GW_DEADLINE_PASSED, gw_unanswered_outcome (request),
                 "no target was free before the deadline");
      break;
    }
}

void
gw_check_deadlines (struct gw_state *gw, uint64_t now_us)
{
  for (uint32_t i = 0; i < gw->request_pool.high; i++)
    {
      struct gw_request *request = &gw->requests[i];

      if (!cyc_pool_used_at (&gw->request_pool, i) || request->stage == 0)
        continue;
      if (now_us >= request->deadline_us)
        end_at_deadline (request);
      else if (request->stage == GW_STAGE_BACKOFF
               && now_us >= request->retry_at_us)
        gw_route (request);
      else if (request->stage == GW_STAGE_OUTCOME_QUERY
               && now_us >= request->retry_at_us)
        gw_once_query_winner (request, now_us);
    }
}

void
gw_end_all_requests (struct gw_state *gw)
{
  for (uint32_t i = 0; i < gw->request_pool.high; i++)
    if (cyc_pool_used_at (&gw->request_pool, i) && gw->requests[i].stage != 0)
      end_at_deadline (&gw->requests[i]);
}

/* A forwarded request that the other domain refused has provably not run, so
   the next domain is tried. */
void
gw_forward_answered (struct gw_request *request,
                     const Cyc__ForwardAnswer *answer)
{
  struct gw_answer forwarded_answer = {
    .outcome = CYC_OUTCOME_ANSWER,
    .status = answer->http_status,
    .body = { (const char *)answer->body.data, answer->body.len },
    .content_type = "application/octet-stream",
  };

  request->stage = 0;
  if (answer->outcome == CYC_OUTCOME_ANSWER && answer->http_status >= 200
      && answer->http_status < 600)
    gw_finish (request, &forwarded_answer);
  else if (answer->outcome == CYC_OUTCOME_NOT_RUN)
    gw_route (request);
  else
    {
      request->sent = true;
      gw_refuse (request, GW_CONNECTION_LOST, CYC_OUTCOME_UNKNOWN,
                 "the other domain has no answer");
    }
}

void
gw_forward_lost (struct gw_request *request)
{
  request->sent = true;
  request->stage = 0;
  if (request->once)
    gw_refuse (request, GW_CONNECTION_LOST, CYC_OUTCOME_UNKNOWN,
               "the link to the other domain was lost");
  else
    retry_or_refuse (request, GW_CONNECTION_LOST,
                     "the link to the other domain was lost");
}
