#include "gateway_internal.h"

#include <string.h>

#define JOB_QUERY_TIMEOUT_US 500000
#define AGGREGATE_MAX_AGE_US UINT64_C (10000000)

static const char *const state_words[] = {
  [CYC_JOB_QUEUED] = "queued",       [CYC_JOB_RUNNING] = "running",
  [CYC_JOB_DONE] = "done",           [CYC_JOB_FAILED] = "failed",
  [CYC_JOB_CANCELLED] = "cancelled", [CYC_JOB_UNKNOWN] = "unknown",
};

static struct json_object *
job_json (const struct cyc_id128 *id, uint32_t state, uint32_t tasks)
{
  struct json_object *body = json_object_new_object ();
  char hex[33];

  cyc_id128_hex (id, hex);
  json_object_object_add (body, "job", json_object_new_string (hex));
  json_object_object_add (
      body, "state",
      json_object_new_string (
          state_words[state <= CYC_JOB_UNKNOWN ? state : CYC_JOB_UNKNOWN]));
  json_object_object_add (body, "tasks", json_object_new_int64 (tasks));
  return body;
}

static struct json_object *
row_json (const struct cyc_job_row *row)
{
  struct json_object *body = job_json (&row->id, row->state, row->tasks);

  json_object_object_add (body, "queue",
                          json_object_new_string (row->queue.data));
  json_object_object_add (body, "domain",
                          json_object_new_string (row->domain.data));
  json_object_object_add (body, "done",
                          json_object_new_int64 (row->done_tasks));
  json_object_object_add (body, "cancel_requested",
                          json_object_new_boolean (row->cancel_requested));
  if (row->reason[0] != '\0')
    json_object_object_add (body, "reason",
                            json_object_new_string (row->reason));
  return body;
}

static bool
read_tasks (struct cyc_str text, uint32_t fallback, uint32_t *out)
{
  struct json_tokener *tokener;
  struct json_object *root;
  struct json_object *tasks;
  bool valid = false;

  *out = fallback;
  if (text.len == 0)
    return true;
  if (text.len > 65536)
    return false;
  tokener = json_tokener_new ();
  root = json_tokener_parse_ex (tokener, text.data, (int)text.len);
  if (root != NULL && json_object_is_type (root, json_type_object))
    {
      tasks = json_object_object_get (root, "tasks");
      valid = json_object_object_length (root) == (tasks != NULL ? 1 : 0);
      if (tasks != NULL)
        {
          int64_t count = json_object_get_int64 (tasks);

          valid = valid && json_object_is_type (tasks, json_type_int)
                  && count > 0 && count <= CYC_JOB_MAX_TASKS;
          *out = valid ? (uint32_t)count : fallback;
        }
    }
  json_object_put (root);
  json_tokener_free (tokener);
  return valid;
}

/* Returns the capacity that must be free at the same time: that of all tasks
   of a gang, or of one task of a batch. */
static uint64_t
needed_millicores (const struct cyc_queue_cfg *queue, uint32_t tasks)
{
  uint64_t concurrent_tasks = queue->kind == CYC_KIND_GANG ? tasks : 1;

  return concurrent_tasks * queue->size.millicores;
}

static bool
has_free_capacity (const struct gw_state *gw,
                   const struct gw_aggregate *aggregate, struct cyc_str team,
                   uint64_t needed, uint64_t now_us)
{
  struct cyc_balance balance = cyc_led_balance (
      ctl_ledger (&gw->control), team, cyc_name_str (&aggregate->domain));

  return now_us - aggregate->received_us <= AGGREGATE_MAX_AGE_US
         && aggregate->free_millicores >= needed
         && balance.millicores >= needed;
}

/* Chooses this gateway's domain, unless it is known to lack free capacity and
   another has enough; then the one with the most. */
static struct cyc_name
choose_domain (const struct gw_state *gw, const struct cyc_queue_cfg *queue,
               uint32_t tasks)
{
  uint64_t needed = needed_millicores (queue, tasks);
  uint64_t now_us = hc_now_us ();
  const struct gw_aggregate *own = NULL;
  const struct gw_aggregate *best = NULL;

  for (uint32_t i = 0; i < gw->aggregate_count; i++)
    {
      const struct gw_aggregate *row = &gw->aggregates[i];

      if (cyc_name_eq (&row->domain, &gw->settings->domain))
        own = row;
      else if (has_free_capacity (gw, row, cyc_name_str (&queue->team), needed,
                                  now_us)
               && (best == NULL
                   || row->free_millicores > best->free_millicores))
        best = row;
    }
  if (own == NULL || best == NULL
      || now_us - own->received_us > AGGREGATE_MAX_AGE_US
      || has_free_capacity (gw, own, cyc_name_str (&queue->team), needed,
                            now_us))
    return gw->settings->domain;
  return best->domain;
}

static void
queue_append (struct gw_request *request)
{
  struct gw_state *gw = request->gw;

  if (!fo_reachable (&gw->jobs_stream))
    gw_refuse (request, GW_LOG_UNREACHABLE, gw_unanswered_outcome (request),
               "the log is unreachable");
  else if (gw->pending_job_count == gw->request_pool.capacity)
    gw_refuse (request, GW_OVERLOAD, gw_unanswered_outcome (request),
               "too many jobs wait for the log");
  else
    {
      request->stage = GW_STAGE_JOB_APPEND;
      gw->pending_jobs[gw->pending_job_count++] = request->ref;
      gw_wake (gw);
    }
}

static struct gw_request *
take_request (struct gw_state *gw, const struct hs_call *call)
{
  struct gw_request *request = gw_request_take (gw);

  if (request == NULL)
    return NULL;
  request->has_call = true;
  request->call = call->ref;
  request->deadline_us
      = request->arrived_us + gw->settings->request_max_ms * GW_US_PER_MS;
  gw->by_call[call->ref.index] = request->ref;
  return request;
}

/* The job belongs to the team of the queue, also on an open queue that anybody
   may use: the job counts against that team's quota and limits. `team` is the
   caller's team and scopes the idempotency key. */
static void
fill_job (struct gw_request *request, const struct hs_call *call,
          const struct cyc_queue_cfg *queue, struct cyc_str team,
          uint32_t tasks)
{
  struct gw_state *gw = request->gw;
  struct cyc_str key = hs_header (call, "Idempotency-Key");
  char item[CYC_NAME_MAX_BYTES + 16];

  request->queue = queue->name;
  request->team = queue->team;
  request->job_tasks = tasks;
  request->job_domain = choose_domain (gw, queue, tasks);
  snprintf (item, sizeof item, "queue/%s", queue->name.data);
  request->job_queue_version
      = cyc_led_item_version (ctl_ledger (&gw->control), cyc_str_of (item));
  if (key.len == 0)
    {
      cyc_id128_random (&request->id);
      return;
    }
  cyc_request_id (team, cyc_name_str (&queue->name), key, &request->id);
  request->may_have_earlier_attempt
      = !cyc_str_eq (hs_header (call, "First-Attempt"), CYC_STR ("1"));
}

void
gw_job_submit (struct gw_state *gw, const struct hs_call *call,
               const struct cyc_queue_cfg *queue, struct cyc_str team)
{
  struct gw_request *request;
  const struct cyc_job_row *row;
  uint32_t tasks;

  if (!read_tasks (call->body, queue->tasks, &tasks)
      || hs_header (call, "Idempotency-Key").len > 255)
    {
      gw_refuse_call (gw, call, GW_BAD_REQUEST, CYC_OUTCOME_NOT_RUN,
                      "the body must be {\"tasks\":N} with N from 1 to 4096");
      return;
    }
  request = take_request (gw, call);
  if (request == NULL)
    {
      gw_refuse_call (gw, call, GW_OVERLOAD,
                      hs_header (call, "Idempotency-Key").len > 0
                          ? CYC_OUTCOME_UNKNOWN
                          : CYC_OUTCOME_NOT_RUN,
                      "too many open requests");
      return;
    }
  fill_job (request, call, queue, team, tasks);
  row = cyc_jobs_find (&gw->jobs, &request->id);
  if (!gw_team_has_capacity (request))
    gw_refuse (request, GW_TEAM_QUEUE_FULL, gw_unanswered_outcome (request),
               "the team has too many open requests");
  else if (row != NULL)
    gw_finish_json (request, 202, row_json (row));
  else
    queue_append (request);
}

void
gw_job_cancel (struct gw_state *gw, const struct hs_call *call,
               const struct cyc_job_row *row)
{
  struct gw_request *request;

  if (row->state != CYC_JOB_QUEUED && row->state != CYC_JOB_RUNNING)
    {
      gw_reply_json (gw, call->ref, 200, row_json (row));
      return;
    }
  request = take_request (gw, call);
  if (request == NULL)
    {
      gw_refuse_call (gw, call, GW_OVERLOAD, CYC_OUTCOME_NOT_RUN,
                      "too many open requests");
      return;
    }
  request->queue = row->queue;
  request->team = row->team;
  request->id = row->id;
  request->job_cancel = true;
  queue_append (request);
}

static void
job_confirmed (struct gw_state *gw, struct gw_request *request)
{
  const struct cyc_job_row *row = cyc_jobs_find (&gw->jobs, &request->id);

  if (row == NULL)
    {
      gw_refuse (request, GW_OVERLOAD, CYC_OUTCOME_UNKNOWN,
                 "the job is in the log, but the table of jobs is full");
      return;
    }
  if (!request->job_cancel)
    {
      char hex[33];

      cyc_id128_hex (&request->id, hex);
      met_add (&gw->met, MET_JOBS_ACCEPTED, 1);
      ev_log (EV_JOB_ACCEPTED, "job=%s queue=%s domain=%s", hex,
              row->queue.data, row->domain.data);
    }
  gw_finish_json (request, 202, row_json (row));
}

void
gw_job_batch_done (struct gw_batch *batch, enum fo_outcome outcome)
{
  struct gw_state *gw = batch->gw;

  for (uint32_t i = 0; i < batch->count; i++)
    {
      struct gw_request *request
          = gw_request_at (gw, batch->entries[i].request);

      if (request == NULL || request->stage != GW_STAGE_JOB_APPEND)
        continue;
      if (outcome == FO_CONFIRMED)
        job_confirmed (gw, request);
      else
        gw_refuse (request,
                   outcome == FO_NOT_APPENDED ? GW_LOG_UNREACHABLE
                                              : GW_DEADLINE_PASSED,
                   outcome == FO_NOT_APPENDED ? gw_unanswered_outcome (request)
                                              : CYC_OUTCOME_UNKNOWN,
                   "the log did not confirm the record");
    }
}

static bool
query_owner (struct gw_state *gw, const struct gw_request *request,
             const struct cyc_job_row *row)
{
  struct cyc_claim claim;
  struct cyc_ref owner;
  Cyc__JobQuery query = CYC__JOB_QUERY__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  cyc_led_claim (ctl_ledger (&gw->control), cyc_name_str (&row->domain), 0,
                 &claim);
  if (claim.epoch == 0 || claim.released)
    return false;
  owner
      = pl_find (&gw->links, cyc_name_str (&claim.owner), SET_ROLE_SCHEDULER);
  query.query_id = gw_ref_pack (request->ref);
  query.job_id.data = (uint8_t *)request->id.bytes;
  query.job_id.len = sizeof request->id.bytes;
  message.body_case = CYC__PEER__BODY_JOB_QUERY;
  message.job_query = &query;
  return owner.generation != 0 && pl_send (&gw->links, owner, &message);
}

void
gw_job_get (struct gw_state *gw, const struct hs_call *call,
            const struct cyc_job_row *row)
{
  struct gw_request *request;

  if ((row->state != CYC_JOB_QUEUED && row->state != CYC_JOB_RUNNING)
      || (request = take_request (gw, call)) == NULL)
    {
      gw_reply_json (gw, call->ref, 200, row_json (row));
      return;
    }
  request->queue = row->queue;
  request->id = row->id;
  request->stage = GW_STAGE_JOB_QUERY;
  request->deadline_us = request->arrived_us + JOB_QUERY_TIMEOUT_US;
  if (!query_owner (gw, request, row))
    gw_job_finish_from_table (request);
}

void
gw_job_finish_from_table (struct gw_request *request)
{
  const struct cyc_job_row *row
      = cyc_jobs_find (&request->gw->jobs, &request->id);

  if (row != NULL)
    gw_finish_json (request, 200, row_json (row));
  else
    gw_refuse (request, GW_UNKNOWN_JOB, CYC_OUTCOME_UNKNOWN,
               "the job is no longer in the table");
}

void
gw_job_on_reply (struct gw_state *gw, const Cyc__JobReply *reply)
{
  struct gw_request *request
      = gw_request_at (gw, gw_ref_unpack (reply->query_id));
  const struct cyc_job_row *row;
  struct json_object *body;

  if (request == NULL || request->stage != GW_STAGE_JOB_QUERY
      || reply->job_id.len != sizeof request->id.bytes
      || memcmp (reply->job_id.data, request->id.bytes,
                 sizeof request->id.bytes)
             != 0)
    return;
  row = cyc_jobs_find (&gw->jobs, &request->id);
  if (!reply->known || row == NULL || row->state > CYC_JOB_RUNNING)
    {
      gw_job_finish_from_table (request);
      return;
    }
  body = row_json (row);
  json_object_object_add (
      body, "state",
      json_object_new_string (
          state_words[reply->state <= CYC_JOB_UNKNOWN ? reply->state
                                                      : CYC_JOB_UNKNOWN]));
  json_object_object_add (body, "running",
                          json_object_new_int64 (reply->running));
  json_object_object_add (body, "done", json_object_new_int64 (reply->done));
  if (reply->reason[0] != '\0')
    json_object_object_add (body, "reason",
                            json_object_new_string (reply->reason));
  gw_finish_json (request, 200, body);
}
