#include "gateway_internal.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_KEPT_REQUESTS 32768
#define DEFAULT_MAX_KEPT_BYTES (32U * 1024 * 1024)
#define OUTCOME_QUERY_INTERVAL_US 100000
#define OUTCOME_QUERY_TIMEOUT_US 1000000

bool
gw_once_setup (struct gw_state *gw, struct cyc_findings *findings)
{
  uint32_t max = gw->desc.max_kept_requests > 0 ? gw->desc.max_kept_requests
                                                : DEFAULT_MAX_KEPT_REQUESTS;
  uint32_t buckets = 16;

  while (buckets < max)
    buckets *= 2;
  gw->kept_mask = buckets - 1;
  gw->kept = calloc (max, sizeof *gw->kept);
  gw->kept_buckets = calloc (buckets, sizeof *gw->kept_buckets);
  gw->kept_ended = calloc (max, sizeof *gw->kept_ended);
  if (gw->kept != NULL && gw->kept_ended != NULL && gw->kept_buckets != NULL
      && cyc_pool_setup (&gw->kept_pool, max, NULL))
    return true;
  cyc_findings_add (findings, CYC_STR ("gateway"), "out of memory");
  return false;
}

void
gw_once_shutdown (struct gw_state *gw)
{
  for (uint32_t i = 0; i < gw->kept_pool.high; i++)
    if (cyc_pool_used_at (&gw->kept_pool, i))
      free (gw->kept[i].body);
  free (gw->kept);
  free (gw->kept_buckets);
  free (gw->kept_ended);
  cyc_pool_shutdown (&gw->kept_pool);
}

/* Ids are digests, so any of their bytes make a good hash. */
static uint32_t *
bucket_of (const struct gw_state *gw, const struct cyc_id128 *id)
{
  uint32_t hash;

  memcpy (&hash, id->bytes, sizeof hash);
  return &gw->kept_buckets[hash & gw->kept_mask];
}

static struct gw_kept_request *
kept_find (const struct gw_state *gw, const struct cyc_id128 *id)
{
  for (uint32_t row = *bucket_of (gw, id); row != 0;
       row = gw->kept[row - 1].next)
    if (cyc_id128_eq (&gw->kept[row - 1].id, id))
      return &gw->kept[row - 1];
  return NULL;
}

static void
kept_remove (struct gw_state *gw, struct gw_kept_request *kept)
{
  uint32_t *link = bucket_of (gw, &kept->id);

  while (*link != kept->ref.index + 1)
    link = &gw->kept[*link - 1].next;
  *link = kept->next;
  gw->kept_bytes -= kept->body_len;
  free (kept->body);
  kept->body = NULL;
  cyc_pool_release (&gw->kept_pool, kept->ref);
}

static void
kept_ended_push (struct gw_state *gw, const struct gw_kept_request *kept)
{
  uint32_t at
      = (gw->kept_ended_head + gw->kept_ended_count) % gw->kept_pool.capacity;

  gw->kept_ended[at] = kept->ref;
  gw->kept_ended_count++;
}

static struct gw_kept_request *
kept_ended_oldest (const struct gw_state *gw)
{
  return gw->kept_ended_count == 0
             ? NULL
             : &gw->kept[gw->kept_ended[gw->kept_ended_head].index];
}

static void
kept_ended_drop_oldest (struct gw_state *gw)
{
  kept_remove (gw, kept_ended_oldest (gw));
  gw->kept_ended_head = (gw->kept_ended_head + 1) % gw->kept_pool.capacity;
  gw->kept_ended_count--;
}

/* A full table drops the oldest ended request before it expires: its outcome
   is in the log, and refusing new requests would be worse. */
static struct gw_kept_request *
kept_add (struct gw_state *gw, const struct gw_request *request)
{
  struct cyc_ref ref;
  uint32_t *bucket = bucket_of (gw, &request->id);
  struct gw_kept_request *kept;

  if (gw->kept_pool.used == gw->kept_pool.capacity && gw->kept_ended_count > 0)
    kept_ended_drop_oldest (gw);
  ref = cyc_pool_take (&gw->kept_pool);
  if (ref.generation == 0)
    return NULL;
  kept = &gw->kept[ref.index];
  *kept = (struct gw_kept_request){ .ref = ref,
                                    .id = request->id,
                                    .body_digest = request->body_digest,
                                    .stage = GW_KEPT_INTENT,
                                    .next = *bucket };
  *bucket = ref.index + 1;
  return kept;
}

/* Restarts the requests that waited for another one with the same id. */
static void
restart_duplicates (struct gw_state *gw, const struct cyc_id128 *id)
{
  for (uint32_t i = 0; i < gw->request_pool.high; i++)
    if (cyc_pool_used_at (&gw->request_pool, i)
        && gw->requests[i].stage == GW_STAGE_DUPLICATE
        && cyc_id128_eq (&gw->requests[i].id, id))
      {
        gw->requests[i].stage = 0;
        gw_once_start (&gw->requests[i]);
      }
}

static void
answer_from_kept (struct gw_request *request,
                  const struct gw_kept_request *kept)
{
  struct gw_answer answer = { .outcome = kept->outcome,
                              .status = kept->status,
                              .body = { kept->body, kept->body_len },
                              .content_type = "application/octet-stream" };

  if (kept->outcome == CYC_OUTCOME_ANSWER && !kept->body_dropped)
    gw_finish (request, &answer);
  else
    gw_refuse_recorded (request, kept->outcome, kept->status);
}

static void
refuse_different_body (struct gw_request *request)
{
  gw_refuse (request, GW_BODY_DIFFERS, CYC_OUTCOME_NOT_RUN,
             "this Idempotency-Key was used with another body");
}

/* Handles a request whose id is already in the log and is not kept here. */
static void
handle_logged_id (struct gw_request *request,
                  const struct cyc_once_entry *entry)
{
  struct gw_state *gw = request->gw;

  if (!cyc_id128_eq (&entry->body_digest, &request->body_digest))
    refuse_different_body (request);
  else if (cyc_id128_eq (&entry->incarnation, &gw->incarnation)
           || entry->outcome == CYC_OUTCOME_NOT_RUN)
    gw_refuse_recorded (request, entry->outcome, entry->http_status);
  else
    {
      request->stage = GW_STAGE_OUTCOME_QUERY;
      gw_once_query_winner (request, hc_now_us ());
    }
}

static void
queue_intent (struct gw_request *request)
{
  struct gw_state *gw = request->gw;

  if (!fo_reachable (&gw->intents))
    gw_refuse (request, GW_LOG_UNREACHABLE, gw_unanswered_outcome (request),
               "the log is unreachable; nothing was sent");
  else if (gw->pending_intent_count == gw->request_pool.capacity
           || kept_add (gw, request) == NULL)
    gw_refuse (request, GW_OVERLOAD, gw_unanswered_outcome (request),
               "too many requests that may not be repeated");
  else
    {
      request->stage = GW_STAGE_INTENT_APPEND;
      gw->pending_intents[gw->pending_intent_count++] = request->ref;
    }
}

void
gw_once_start (struct gw_request *request)
{
  struct gw_state *gw = request->gw;
  const struct gw_kept_request *kept = kept_find (gw, &request->id);
  struct cyc_once_entry entry;

  gw_wake (gw);
  if (kept != NULL
      && !cyc_id128_eq (&kept->body_digest, &request->body_digest))
    refuse_different_body (request);
  else if (kept != NULL && kept->stage == GW_KEPT_ENDED)
    answer_from_kept (request, kept);
  else if (kept != NULL)
    request->stage = GW_STAGE_DUPLICATE;
  else if (cyc_once_find (&gw->once, &request->id, &entry))
    handle_logged_id (request, &entry);
  else
    queue_intent (request);
}

void
gw_once_forget (struct gw_state *gw, const struct cyc_id128 *id)
{
  struct gw_kept_request *kept = kept_find (gw, id);

  if (kept != NULL && kept->stage == GW_KEPT_INTENT)
    kept_remove (gw, kept);
}

static void
record_outcome (struct gw_state *gw, const struct gw_kept_request *kept)
{
  struct cyc_digest digest;
  struct cyc_once_outcome *row;

  if (gw->pending_outcome_count == gw->request_pool.capacity)
    return;
  row = &gw->pending_outcomes[gw->pending_outcome_count++];
  *row = (struct cyc_once_outcome){ .request_id = kept->id,
                                    .outcome = kept->outcome,
                                    .http_status = kept->status };
  cyc_digest_of ((struct cyc_str){ kept->body, kept->body_len }, &digest);
  memcpy (&row->answer_digest, &digest, sizeof row->answer_digest);
}

static void
keep_body (struct gw_state *gw, struct gw_kept_request *kept,
           struct cyc_str body)
{
  size_t max = gw->desc.max_kept_bytes > 0 ? gw->desc.max_kept_bytes
                                           : DEFAULT_MAX_KEPT_BYTES;

  kept->body_dropped = true;
  while (gw->kept_bytes + body.len > max && gw->kept_ended_count > 0)
    kept_ended_drop_oldest (gw);
  if (gw->kept_bytes + body.len > max)
    return;
  kept->body = malloc (body.len + 1);
  if (kept->body == NULL)
    return;
  if (body.len > 0)
    memcpy (kept->body, body.data, body.len);
  kept->body_len = body.len;
  gw->kept_bytes += body.len;
  kept->body_dropped = false;
}

static void
kept_end (struct gw_state *gw, struct gw_kept_request *kept,
          const struct gw_answer *answer)
{
  struct cyc_id128 id = kept->id;

  kept->stage = GW_KEPT_ENDED;
  kept->outcome = answer->outcome;
  kept->status = answer->status;
  kept->expire_us = hc_now_us () + gw->settings->answer_keep_ms * GW_US_PER_MS;
  if (answer->outcome == CYC_OUTCOME_ANSWER)
    keep_body (gw, kept, answer->body);
  kept_ended_push (gw, kept);
  record_outcome (gw, kept);
  restart_duplicates (gw, &id);
}

void
gw_once_finished (struct gw_request *request, const struct gw_answer *answer)
{
  struct gw_kept_request *kept = kept_find (request->gw, &request->id);

  if (kept != NULL && kept->stage == GW_KEPT_WON)
    kept_end (request->gw, kept, answer);
}

/* Called when the intent of this gateway is the first of its id in the stream.
   If its request has ended in the meantime, it will never be sent, and outcome
   "not-run" is recorded. */
static void
intent_won (struct gw_state *gw, struct gw_kept_request *kept,
            struct gw_request *request)
{
  struct gw_answer not_run = { .outcome = CYC_OUTCOME_NOT_RUN, .status = 504 };

  kept->stage = GW_KEPT_WON;
  if (request == NULL)
    {
      kept_end (gw, kept, &not_run);
      return;
    }
  request->won_intent = true;
  request->stage = 0;
  gw_route (request);
}

/* Called when the intent of this gateway is not the first of its id, so that
   it may not send the request. `entry` is the entry of the id, or NULL if the
   table of ids was full. */
static void
intent_not_won (struct gw_state *gw, struct gw_kept_request *kept,
                struct gw_request *request, const struct cyc_once_entry *entry)
{
  struct cyc_id128 id = kept->id;

  kept_remove (gw, kept);
  if (request != NULL)
    request->stage = 0;
  if (request != NULL && entry != NULL)
    handle_logged_id (request, entry);
  else if (request != NULL)
    gw_refuse (request, GW_OVERLOAD, CYC_OUTCOME_NOT_RUN,
               "the table of requests that may not be repeated is full");
  restart_duplicates (gw, &id);
}

static void
intent_confirmed (struct gw_state *gw, struct gw_kept_request *kept,
                  struct gw_request *request)
{
  struct cyc_once_entry entry;

  if (!cyc_once_find (&gw->once, &kept->id, &entry))
    intent_not_won (gw, kept, request, NULL);
  else if (cyc_id128_eq (&entry.incarnation, &gw->incarnation)
           && cyc_name_eq (&entry.gateway, &gw->settings->vm)
           && cyc_id128_eq (&entry.body_digest, &kept->body_digest)
           && entry.outcome == CYC_OUTCOME_NONE)
    intent_won (gw, kept, request);
  else
    intent_not_won (gw, kept, request, &entry);
}

/* A request whose intent may still appear in the stream is not sent and is
   answered "unknown". */
static void
intent_failed (struct gw_state *gw, struct gw_kept_request *kept,
               struct gw_request *request, enum fo_outcome outcome)
{
  struct cyc_id128 id = kept->id;

  kept_remove (gw, kept);
  if (request != NULL)
    gw_refuse (request,
               outcome == FO_NOT_APPENDED ? GW_LOG_UNREACHABLE
                                          : GW_DEADLINE_PASSED,
               outcome == FO_NOT_APPENDED ? gw_unanswered_outcome (request)
                                          : CYC_OUTCOME_UNKNOWN,
               "the log did not confirm the intent; nothing was sent");
  restart_duplicates (gw, &id);
}

void
gw_once_batch_done (struct gw_batch *batch, enum fo_outcome outcome)
{
  struct gw_state *gw = batch->gw;

  for (uint32_t i = 0; i < batch->count; i++)
    {
      const struct gw_batch_entry *entry = &batch->entries[i];
      struct gw_kept_request *kept = kept_find (gw, &entry->id);
      struct gw_request *request = gw_request_at (gw, entry->request);

      if (request != NULL && request->stage != GW_STAGE_INTENT_APPEND)
        request = NULL;
      if (kept == NULL || kept->stage != GW_KEPT_INTENT)
        continue;
      if (outcome == FO_CONFIRMED)
        intent_confirmed (gw, kept, request);
      else
        intent_failed (gw, kept, request, outcome);
    }
}

void
gw_once_finish_from_log (struct gw_request *request)
{
  struct cyc_once_entry entry;

  if (cyc_once_find (&request->gw->once, &request->id, &entry)
      && cyc_id128_eq (&entry.body_digest, &request->body_digest))
    gw_refuse_recorded (request, entry.outcome, entry.http_status);
  else
    gw_refuse (request, GW_DEADLINE_PASSED, CYC_OUTCOME_UNKNOWN,
               "another attempt with this key has not ended");
}

void
gw_once_query_winner (struct gw_request *request, uint64_t now_us)
{
  struct gw_state *gw = request->gw;
  struct cyc_once_entry entry;
  struct cyc_ref winner;
  struct pl_peer_view view;
  Cyc__OutcomeQuery query = CYC__OUTCOME_QUERY__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  if (!cyc_once_find (&gw->once, &request->id, &entry))
    {
      gw_once_finish_from_log (request);
      return;
    }
  winner
      = pl_find (&gw->links, cyc_name_str (&entry.gateway), SET_ROLE_GATEWAY);
  query.query_id = gw_ref_pack (request->ref);
  query.request_id.data = request->id.bytes;
  query.request_id.len = sizeof request->id.bytes;
  message.body_case = CYC__PEER__BODY_OUTCOME_QUERY;
  message.outcome_query = &query;
  if (winner.generation == 0 || !pl_view (&gw->links, winner, &view)
      || !view.linked
      || !cyc_id128_eq (&view.identity.incarnation, &entry.incarnation)
      || !pl_send (&gw->links, winner, &message))
    {
      gw_once_finish_from_log (request);
      return;
    }
  request->retry_at_us = now_us + OUTCOME_QUERY_TIMEOUT_US;
}

void
gw_once_on_query (struct gw_state *gw, struct cyc_ref peer,
                  const Cyc__OutcomeQuery *query)
{
  Cyc__OutcomeReply reply = CYC__OUTCOME_REPLY__INIT;
  Cyc__Peer message = CYC__PEER__INIT;
  const struct gw_kept_request *kept = NULL;
  struct cyc_id128 id;

  if (query->request_id.len != sizeof id.bytes)
    return;
  memcpy (id.bytes, query->request_id.data, sizeof id.bytes);
  kept = kept_find (gw, &id);
  reply.query_id = query->query_id;
  reply.request_id = query->request_id;
  reply.known
      = kept != NULL && (kept->stage != GW_KEPT_ENDED || !kept->body_dropped);
  reply.pending = kept != NULL && kept->stage != GW_KEPT_ENDED;
  if (kept != NULL && kept->stage == GW_KEPT_ENDED)
    {
      reply.outcome = kept->outcome;
      reply.http_status = kept->status;
      reply.body.data = (uint8_t *)kept->body;
      reply.body.len = kept->body_len;
    }
  message.body_case = CYC__PEER__BODY_OUTCOME_REPLY;
  message.outcome_reply = &reply;
  if (pl_send (&gw->links, peer, &message) || reply.body.len == 0)
    return;
  /* The answer does not fit into a frame. */
  reply.known = false;
  reply.body.len = 0;
  pl_send (&gw->links, peer, &message);
}

void
gw_once_on_reply (struct gw_state *gw, const Cyc__OutcomeReply *reply)
{
  struct gw_request *request
      = gw_request_at (gw, gw_ref_unpack (reply->query_id));
  struct gw_answer answer = {
    .outcome = CYC_OUTCOME_ANSWER,
    .status = reply->http_status,
    .body = { (const char *)reply->body.data, reply->body.len },
    .content_type = "application/octet-stream",
  };

  if (request == NULL || request->stage != GW_STAGE_OUTCOME_QUERY
      || reply->request_id.len != sizeof request->id.bytes
      || memcmp (reply->request_id.data, request->id.bytes,
                 sizeof request->id.bytes)
             != 0)
    return;
  if (reply->known && reply->pending)
    request->retry_at_us = hc_now_us () + OUTCOME_QUERY_INTERVAL_US;
  else if (reply->known && reply->outcome == CYC_OUTCOME_ANSWER
           && reply->http_status >= 200 && reply->http_status < 600)
    gw_finish (request, &answer);
  else if (reply->known)
    gw_refuse_recorded (request,
                        reply->outcome == CYC_OUTCOME_NOT_RUN
                            ? CYC_OUTCOME_NOT_RUN
                            : CYC_OUTCOME_UNKNOWN,
                        reply->http_status);
  else
    gw_once_finish_from_log (request);
}

void
gw_once_expire (struct gw_state *gw, uint64_t now_us)
{
  while (gw->kept_ended_count > 0
         && kept_ended_oldest (gw)->expire_us <= now_us)
    kept_ended_drop_oldest (gw);
  cyc_once_expire (&gw->once, now_us);
}
