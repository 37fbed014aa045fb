#include "gateway_internal.h"

#include <stdlib.h>
#include <string.h>

#define CONTROL_RECORDS_MAX 256
#define CONTROL_RECORDS_MAX_BYTES 786432
#define SNAPSHOT_CHUNK_BYTES 524288
#define SNAPSHOT_MAX_CHUNKS 256
#define TARGETS_MAX 4096
#define PERMIT_USES_MAX 4096
#define DEMAND_INTERVAL_US 1000000
/* Interval between demands for permits while requests wait for a target. */
#define DEMAND_URGENT_INTERVAL_US 100000
#define DEMAND_TIMEOUT_US 2000000
/* The forwarded deadline is this much earlier than the caller's, so that a
   "not-run" of the other gateway still arrives in time. */
#define FORWARD_REPLY_MARGIN_US UINT64_C (50000)

uint64_t
gw_ref_pack (struct cyc_ref ref)
{
  return (uint64_t)ref.index << 32 | ref.generation;
}

struct cyc_ref
gw_ref_unpack (uint64_t packed)
{
  return (struct cyc_ref){ .index = (uint32_t)(packed >> 32),
                           .generation = (uint32_t)packed };
}

static struct cyc_str
str_of (const ProtobufCBinaryData *data)
{
  return (struct cyc_str){ (const char *)data->data, data->len };
}

/* Checks the epoch too, because an owner that was replaced may not know it
   yet. */
static bool
is_from_current_owner (const struct gw_state *gw, struct cyc_ref peer,
                       uint64_t epoch)
{
  struct pl_peer_view view;
  struct cyc_claim claim;

  cyc_led_claim (ctl_ledger (&gw->control),
                 cyc_name_str (&gw->settings->domain), 0, &claim);
  return pl_view (&gw->links, peer, &view)
         && view.identity.role == SET_ROLE_SCHEDULER
         && cyc_name_eq (&view.identity.domain, &gw->settings->domain)
         && epoch >= gw->targets_epoch && epoch >= claim.epoch;
}

static void
on_targets (struct gw_state *gw, struct cyc_ref peer,
            const Cyc__Targets *message)
{
  struct cyc_rt_target *rows;
  uint32_t count = (uint32_t)message->n_targets;

  if (!is_from_current_owner (gw, peer, message->epoch) || count > TARGETS_MAX
      || !cyc_name_valid (cyc_str_of (message->queue)))
    return;
  rows = calloc (count + 1, sizeof *rows);
  if (rows == NULL)
    return;
  for (uint32_t i = 0; i < count; i++)
    rows[i] = (struct cyc_rt_target){
      .worker = cyc_str_of (message->targets[i]->worker),
      .address = cyc_str_of (message->targets[i]->address),
      .slots = message->targets[i]->slots,
      .connections = message->targets[i]->connections,
      .leaving = message->targets[i]->leaving,
    };
  gw->targets_epoch = message->epoch;
  if (!cyc_rt_set_targets (&gw->route, cyc_str_of (message->queue), rows,
                           count))
    ev_log (EV_REQUEST_REFUSED, "queue=%s reason=\"too many targets\"",
            message->queue);
  free (rows);
  gw_apply_config (gw);
}

/* The validity of a grant counts from when its demand was sent, so that a
   grant that arrives late or is read after a pause does not outlast the
   owner's record of it. The deadline that the owner states is a second
   bound. */
static void
on_grant (struct gw_state *gw, struct cyc_ref peer,
          const Cyc__PermitGrant *grant)
{
  uint64_t deadline_us
      = gw->oldest_demand_sent_us + grant->valid_for_ms * GW_US_PER_MS;

  if (gw->oldest_demand_sent_us == 0 || peer.index != gw->demand_peer.index
      || !is_from_current_owner (gw, peer, grant->epoch))
    return;
  if (grant->deadline_ms != 0
      && hc_deadline_us (grant->deadline_ms) < deadline_us)
    deadline_us = hc_deadline_us (grant->deadline_ms);
  gw->oldest_demand_sent_us = 0;
  gw->targets_epoch = grant->epoch;
  for (size_t i = 0; i < grant->n_lent; i++)
    cyc_rt_lend (&gw->route, cyc_str_of (grant->lent[i]->worker),
                 grant->lent[i]->slots, grant->lent[i]->connections,
                 deadline_us);
}

static void
send_snapshot (struct gw_state *gw, struct cyc_ref peer)
{
  struct cyc_str encoded = { 0 };
  uint32_t count;

  if (!cyc_led_complete (ctl_ledger (&gw->control))
      || !cyc_led_encode (ctl_ledger (&gw->control), &encoded))
    return;
  count = (uint32_t)((encoded.len + SNAPSHOT_CHUNK_BYTES - 1)
                     / SNAPSHOT_CHUNK_BYTES);
  for (uint32_t i = 0; i < count; i++)
    {
      Cyc__Snapshot chunk = CYC__SNAPSHOT__INIT;
      Cyc__Peer message = CYC__PEER__INIT;
      size_t start = (size_t)i * SNAPSHOT_CHUNK_BYTES;

      chunk.next_offset = ctl_next (&gw->control);
      chunk.index = i;
      chunk.count = count;
      chunk.data.data = (uint8_t *)encoded.data + start;
      chunk.data.len = encoded.len - start < SNAPSHOT_CHUNK_BYTES
                           ? encoded.len - start
                           : SNAPSHOT_CHUNK_BYTES;
      message.body_case = CYC__PEER__BODY_SNAPSHOT;
      message.snapshot = &chunk;
      if (!pl_send (&gw->links, peer, &message))
        break;
    }
  free ((void *)encoded.data);
}

static void
on_control_request (struct gw_state *gw, struct cyc_ref peer, uint64_t from)
{
  struct cyc_str rows[CONTROL_RECORDS_MAX];
  ProtobufCBinaryData data[CONTROL_RECORDS_MAX];
  Cyc__ControlRecords records = CYC__CONTROL_RECORDS__INIT;
  Cyc__Peer message = CYC__PEER__INIT;
  uint32_t count;
  size_t bytes = 0;

  if (from >= ctl_next (&gw->control))
    return;
  count = ctl_kept_records (&gw->control, from, rows, CONTROL_RECORDS_MAX);
  if (count == 0)
    {
      send_snapshot (gw, peer);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      bytes += rows[i].len;
      if (bytes > CONTROL_RECORDS_MAX_BYTES && i > 0)
        break;
      data[i].data = (uint8_t *)rows[i].data;
      data[i].len = rows[i].len;
      records.n_records = i + 1;
    }
  records.from = from;
  records.records = data;
  message.body_case = CYC__PEER__BODY_CONTROL_RECORDS;
  message.control_records = &records;
  pl_send (&gw->links, peer, &message);
}

static void
request_records (struct gw_state *gw, struct cyc_ref peer)
{
  Cyc__ControlRequest request = CYC__CONTROL_REQUEST__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  request.from = ctl_next (&gw->control);
  message.body_case = CYC__PEER__BODY_CONTROL_REQUEST;
  message.control_request = &request;
  pl_send (&gw->links, peer, &message);
}

static void
on_heartbeat (struct gw_state *gw, struct cyc_ref peer)
{
  struct pl_peer_view view;

  if (pl_view (&gw->links, peer, &view)
      && ctl_peer_state (&gw->control, view.control_next, view.fresh_us))
    request_records (gw, peer);
}

static void
on_records (struct gw_state *gw, const Cyc__ControlRecords *records)
{
  struct cyc_str rows[CONTROL_RECORDS_MAX];
  uint32_t count = records->n_records < CONTROL_RECORDS_MAX
                       ? (uint32_t)records->n_records
                       : CONTROL_RECORDS_MAX;

  for (uint32_t i = 0; i < count; i++)
    rows[i] = str_of (&records->records[i]);
  ctl_peer_records (&gw->control, records->from, rows, count);
}

static void
drop_snapshot (struct gw_state *gw)
{
  free (gw->snapshot);
  gw->snapshot = NULL;
  gw->snapshot_len = 0;
  gw->snapshot_chunks = 0;
}

static void
on_snapshot (struct gw_state *gw, struct cyc_ref peer,
             const Cyc__Snapshot *chunk)
{
  char *grown;

  if (chunk->index == 0)
    {
      drop_snapshot (gw);
      gw->snapshot_peer = peer;
      gw->snapshot_next_offset = chunk->next_offset;
    }
  if (chunk->count > SNAPSHOT_MAX_CHUNKS || chunk->index >= chunk->count
      || chunk->index != gw->snapshot_chunks
      || chunk->next_offset != gw->snapshot_next_offset
      || peer.index != gw->snapshot_peer.index)
    {
      drop_snapshot (gw);
      return;
    }
  grown = realloc (gw->snapshot, gw->snapshot_len + chunk->data.len + 1);
  if (grown == NULL)
    {
      drop_snapshot (gw);
      return;
    }
  gw->snapshot = grown;
  if (chunk->data.len > 0)
    memcpy (grown + gw->snapshot_len, chunk->data.data, chunk->data.len);
  gw->snapshot_len += chunk->data.len;
  gw->snapshot_chunks++;
  if (gw->snapshot_chunks < chunk->count)
    return;
  ctl_peer_snapshot (&gw->control,
                     (struct cyc_str){ gw->snapshot, gw->snapshot_len });
  drop_snapshot (gw);
}

static void
refuse_forward (struct gw_state *gw, struct cyc_ref peer, uint64_t forward_id,
                const char *detail)
{
  Cyc__ForwardAnswer answer = CYC__FORWARD_ANSWER__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  answer.forward_id = forward_id;
  answer.outcome = CYC_OUTCOME_NOT_RUN;
  answer.http_status = 503;
  answer.detail = (char *)detail;
  message.body_case = CYC__PEER__BODY_FORWARD_ANSWER;
  message.forward_answer = &answer;
  pl_send (&gw->links, peer, &message);
}

static void
on_forward (struct gw_state *gw, struct cyc_ref peer,
            const Cyc__Forward *forward)
{
  const struct cyc_team_cfg *team;
  struct gw_request *request;

  if (gw->draining || forward->request_id.len != sizeof request->id.bytes
      || !cyc_name_valid (cyc_str_of (forward->queue))
      || (request = gw_request_take (gw)) == NULL)
    {
      refuse_forward (gw, peer, forward->forward_id,
                      "the gateway cannot take it");
      return;
    }
  request->has_peer = true;
  request->peer = peer;
  request->peer_forward_id = forward->forward_id;
  cyc_name_set (&request->queue, cyc_str_of (forward->queue));
  cyc_name_set (&request->team, cyc_str_of (forward->team));
  team = cyc_led_team (ctl_ledger (&gw->control), cyc_str_of (forward->team));
  request->weight = team != NULL ? team->share_permille : 1;
  request->once = !forward->may_repeat;
  memcpy (request->id.bytes, forward->request_id.data,
          sizeof request->id.bytes);
  request->deadline_us = hc_deadline_us (forward->deadline_ms);
  request->body = malloc (forward->body.len + 1);
  if (request->body == NULL)
    {
      gw_refuse (request, GW_OVERLOAD, CYC_OUTCOME_NOT_RUN, "out of memory");
      return;
    }
  if (forward->body.len > 0)
    memcpy (request->body, forward->body.data, forward->body.len);
  request->body_len = forward->body.len;
  gw_route (request);
}

static void
on_forward_answer (struct gw_state *gw, struct cyc_ref peer,
                   const Cyc__ForwardAnswer *answer)
{
  struct gw_request *request
      = gw_request_at (gw, gw_ref_unpack (answer->forward_id));

  if (request == NULL || request->stage != GW_STAGE_FORWARDED
      || request->forward_peer.index != peer.index
      || request->forward_peer.generation != peer.generation)
    return;
  gw_forward_answered (request, answer);
}

static void
on_aggregate (struct gw_state *gw, const Cyc__Aggregate *aggregate)
{
  struct gw_aggregate *row = NULL;

  for (uint32_t i = 0; i < gw->aggregate_count; i++)
    if (cyc_str_eq (cyc_name_str (&gw->aggregates[i].domain),
                    cyc_str_of (aggregate->domain)))
      row = &gw->aggregates[i];
  if (row == NULL && gw->aggregate_count < GW_AGGREGATES_MAX
      && cyc_name_valid (cyc_str_of (aggregate->domain)))
    {
      row = &gw->aggregates[gw->aggregate_count++];
      cyc_name_set (&row->domain, cyc_str_of (aggregate->domain));
    }
  if (row == NULL || aggregate->epoch < row->epoch)
    return;
  row->epoch = aggregate->epoch;
  row->free_millicores = aggregate->free_millicores;
  row->received_us = hc_now_us ();
}

static void
on_target_leaving (struct gw_state *gw, const char *worker)
{
  if (cyc_rt_mark_leaving (&gw->route, cyc_str_of (worker)))
    ev_log (EV_TARGET_LEAVING, "worker=%s source=peer", worker);
}

void
gw_on_message (void *user, struct cyc_ref peer, const Cyc__Peer *message)
{
  struct gw_state *gw = user;

  gw_wake (gw);
  switch (message->body_case)
    {
    case CYC__PEER__BODY_HEARTBEAT:
      on_heartbeat (gw, peer);
      break;
    case CYC__PEER__BODY_CONTROL_REQUEST:
      on_control_request (gw, peer, message->control_request->from);
      break;
    case CYC__PEER__BODY_CONTROL_RECORDS:
      on_records (gw, message->control_records);
      break;
    case CYC__PEER__BODY_SNAPSHOT_REQUEST:
      send_snapshot (gw, peer);
      break;
    case CYC__PEER__BODY_SNAPSHOT:
      on_snapshot (gw, peer, message->snapshot);
      break;
    case CYC__PEER__BODY_TARGETS:
      on_targets (gw, peer, message->targets);
      break;
    case CYC__PEER__BODY_PERMIT_GRANT:
      on_grant (gw, peer, message->permit_grant);
      break;
    case CYC__PEER__BODY_FORWARD:
      on_forward (gw, peer, message->forward);
      break;
    case CYC__PEER__BODY_FORWARD_ANSWER:
      on_forward_answer (gw, peer, message->forward_answer);
      break;
    case CYC__PEER__BODY_OUTCOME_QUERY:
      gw_once_on_query (gw, peer, message->outcome_query);
      break;
    case CYC__PEER__BODY_OUTCOME_REPLY:
      gw_once_on_reply (gw, message->outcome_reply);
      break;
    case CYC__PEER__BODY_JOB_REPLY:
      gw_job_on_reply (gw, message->job_reply);
      break;
    case CYC__PEER__BODY_AGGREGATE:
      on_aggregate (gw, message->aggregate);
      break;
    case CYC__PEER__BODY_TARGET_LEAVING:
      on_target_leaving (gw, message->target_leaving->worker);
      break;
    default:
      break;
    }
}

void
gw_on_linked (void *user, struct cyc_ref peer, bool linked)
{
  struct gw_state *gw = user;

  gw_wake (gw);
  if (linked)
    {
      gw->next_second_us = 0;
      return;
    }
  /* The answer to a demand cannot arrive over a later connection. */
  if (gw->oldest_demand_sent_us != 0 && gw->demand_peer.index == peer.index)
    gw->oldest_demand_sent_us = 0;
  for (uint32_t i = 0; i < gw->request_pool.high; i++)
    {
      struct gw_request *request = &gw->requests[i];

      if (cyc_pool_used_at (&gw->request_pool, i)
          && request->stage == GW_STAGE_FORWARDED
          && request->forward_peer.index == peer.index)
        gw_forward_lost (request);
    }
}

void
gw_self_state (void *user, struct pl_self_state *out)
{
  const struct gw_state *gw = user;

  out->control_next = ctl_next (&gw->control);
  out->fresh_us = ctl_fresh_us (&gw->control);
  out->owned_epoch = 0;
  out->draining = gw->draining;
}

static bool
find_owner (const struct gw_state *gw, struct cyc_ref *out)
{
  uint64_t epoch = 0;
  uint32_t cursor = 0;
  struct cyc_ref ref;
  struct pl_peer_view view;

  while (pl_next (&gw->links, &cursor, &ref, &view))
    if (view.linked && view.owned_epoch > epoch
        && view.identity.role == SET_ROLE_SCHEDULER
        && cyc_name_eq (&view.identity.domain, &gw->settings->domain))
      {
        epoch = view.owned_epoch;
        *out = ref;
      }
  return epoch > 0;
}

static void
send_demand (struct gw_state *gw, struct cyc_ref owner, uint64_t now_us)
{
  struct cyc_rt_permit_use *uses = calloc (PERMIT_USES_MAX, sizeof *uses);
  Cyc__PermitUse *rows = calloc (PERMIT_USES_MAX, sizeof *rows);
  Cyc__PermitUse **list = calloc (PERMIT_USES_MAX, sizeof (void *));
  Cyc__PermitDemand demand = CYC__PERMIT_DEMAND__INIT;
  Cyc__Peer message = CYC__PEER__INIT;
  uint32_t count = 0;

  if (uses != NULL && rows != NULL && list != NULL)
    count = cyc_rt_demand (&gw->route, now_us, uses, PERMIT_USES_MAX);
  for (uint32_t i = 0; i < count; i++)
    {
      cyc__permit_use__init (&rows[i]);
      rows[i].worker = uses[i].worker.data;
      rows[i].wanted = uses[i].wanted;
      rows[i].in_use = uses[i].in_use;
      rows[i].returned = uses[i].returned;
      list[i] = &rows[i];
    }
  demand.seat = gw->settings->seat;
  demand.n_uses = count;
  demand.uses = list;
  message.body_case = CYC__PEER__BODY_PERMIT_DEMAND;
  message.permit_demand = &demand;
  if (pl_send (&gw->links, owner, &message) && gw->oldest_demand_sent_us == 0)
    {
      gw->oldest_demand_sent_us = now_us;
      gw->demand_peer = owner;
    }
  free (uses);
  free (rows);
  free (list);
}

/* Waits for the answer to one demand before it sends the next. After a timeout
   the demand is sent again, but a grant still counts from the first message,
   because the answer may belong to either. */
void
gw_peer_demand (struct gw_state *gw, uint64_t now_us)
{
  uint64_t interval_us = cyc_rt_waiting (&gw->route) > 0
                             ? DEMAND_URGENT_INTERVAL_US
                             : DEMAND_INTERVAL_US;
  struct cyc_ref owner;

  if (now_us < gw->newest_demand_sent_us + interval_us
      || (gw->oldest_demand_sent_us != 0
          && now_us < gw->newest_demand_sent_us + DEMAND_TIMEOUT_US)
      || gw->seat_conflict || !find_owner (gw, &owner))
    return;
  if (gw->oldest_demand_sent_us != 0 && owner.index != gw->demand_peer.index)
    gw->oldest_demand_sent_us = 0;
  gw->newest_demand_sent_us = now_us;
  send_demand (gw, owner, now_us);
}

static void
report_suspects (struct gw_state *gw, uint64_t now_us)
{
  uint32_t cursor = 0;
  uint32_t suspect = 0;
  uint32_t ejected = 0;
  struct cyc_rt_worker_view view;

  while (cyc_rt_worker_next (&gw->route, &cursor, now_us, &view))
    {
      suspect += view.health == CYC_RT_SUSPECT;
      ejected += view.health == CYC_RT_EJECTED;
    }
  if (suspect + ejected != gw->logged_suspect_count)
    ev_log (EV_TARGET_SUSPECT, "suspect=%" PRIu32 " ejected=%" PRIu32, suspect,
            ejected);
  gw->logged_suspect_count = suspect + ejected;
}

/* Every seat has a permanent base share of each worker's slots. Two gateways
   with the same seat would use it twice, so the one with the greater
   incarnation gives it up; both know the two incarnations from their Hello
   messages. */
static void
check_seats (struct gw_state *gw)
{
  bool conflict = false;
  uint32_t cursor = 0;
  struct cyc_ref ref;
  struct pl_peer_view view;

  while (pl_next (&gw->links, &cursor, &ref, &view))
    if (view.linked && view.identity.role == SET_ROLE_GATEWAY
        && cyc_name_eq (&view.identity.domain, &gw->settings->domain)
        && view.identity.seat == gw->settings->seat
        && memcmp (view.identity.incarnation.bytes, gw->incarnation.bytes,
                   sizeof gw->incarnation.bytes)
               < 0)
      conflict = true;
  if (conflict && !gw->seat_conflict)
    ev_log (EV_SEAT_CONFLICT, "seat=%u", gw->settings->seat);
  if (conflict != gw->seat_conflict)
    {
      gw->seat_conflict = conflict;
      gw_apply_config (gw);
    }
}

static void
request_snapshot (struct gw_state *gw)
{
  Cyc__SnapshotRequest request = CYC__SNAPSHOT_REQUEST__INIT;
  Cyc__Peer message = CYC__PEER__INIT;
  uint32_t cursor = 0;
  struct cyc_ref ref;
  struct pl_peer_view view;

  request.min_next = ctl_next (&gw->control);
  message.body_case = CYC__PEER__BODY_SNAPSHOT_REQUEST;
  message.snapshot_request = &request;
  while (pl_next (&gw->links, &cursor, &ref, &view))
    if (view.linked && view.control_next > ctl_next (&gw->control))
      {
        pl_send (&gw->links, ref, &message);
        return;
      }
}

void
gw_peer_each_second (struct gw_state *gw)
{
  check_seats (gw);
  report_suspects (gw, hc_now_us ());
  if (!cyc_led_complete (ctl_ledger (&gw->control))
      && !ctl_log_reachable (&gw->control))
    request_snapshot (gw);
}

void
gw_announce_leaving (struct gw_state *gw, const struct cyc_name *worker)
{
  Cyc__TargetLeaving leaving = CYC__TARGET_LEAVING__INIT;
  Cyc__Peer message = CYC__PEER__INIT;
  uint32_t cursor = 0;
  struct cyc_ref ref;
  struct pl_peer_view view;

  if (!cyc_rt_mark_leaving (&gw->route, cyc_name_str (worker)))
    return;
  ev_log (EV_TARGET_LEAVING, "worker=%s source=target", worker->data);
  leaving.worker = (char *)worker->data;
  message.body_case = CYC__PEER__BODY_TARGET_LEAVING;
  message.target_leaving = &leaving;
  while (pl_next (&gw->links, &cursor, &ref, &view))
    if (view.linked
        && cyc_name_eq (&view.identity.domain, &gw->settings->domain))
      pl_send (&gw->links, ref, &message);
}

/* Chooses a gateway of another domain that was not tried yet, in this
   gateway's region if there is one. A later candidate replaces an earlier one
   depending on the clock, which spreads the requests. */
static bool
choose_peer (const struct gw_request *request, uint64_t now_us,
             struct cyc_ref *out, int *domain)
{
  const struct gw_state *gw = request->gw;
  const struct cyc_fleet_cfg *fleet
      = cyc_led_fleet (ctl_ledger (&gw->control));
  uint32_t cursor = 0;
  uint32_t candidates = 0;
  bool found_near = false;
  bool found = false;
  struct cyc_ref ref;
  struct pl_peer_view view;

  while (fleet != NULL && pl_next (&gw->links, &cursor, &ref, &view))
    {
      int index
          = cyc_cfg_domain_index (fleet, cyc_name_str (&view.identity.domain));
      bool near = cyc_name_eq (&view.identity.region, &gw->settings->region);

      if (!view.linked || view.draining || view.health == PL_DEAD || index < 0
          || view.identity.role != SET_ROLE_GATEWAY
          || cyc_name_eq (&view.identity.domain, &gw->settings->domain)
          || (request->domains_tried & (UINT32_C (1) << index)) != 0
          || (found_near && !near))
        continue;
      if (near && !found_near)
        candidates = 0;
      candidates++;
      found_near = near;
      if (found && candidates > 1 && (now_us + candidates) % candidates != 0)
        continue;
      found = true;
      *out = ref;
      *domain = index;
    }
  return found;
}

bool
gw_forward (struct gw_request *request, uint64_t now_us)
{
  struct gw_state *gw = request->gw;
  uint64_t deadline_us = request->deadline_us - FORWARD_REPLY_MARGIN_US;
  Cyc__Forward forward = CYC__FORWARD__INIT;
  Cyc__Peer message = CYC__PEER__INIT;
  struct cyc_ref peer;
  int domain;

  if (request->has_peer
      || now_us + 2 * FORWARD_REPLY_MARGIN_US >= request->deadline_us)
    return false;
  forward.forward_id = gw_ref_pack (request->ref);
  forward.queue = request->queue.data;
  forward.request_id.data = request->id.bytes;
  forward.request_id.len = sizeof request->id.bytes;
  forward.deadline_ms = hc_deadline_ms (deadline_us);
  forward.body.data = (uint8_t *)request->body;
  forward.body.len = request->body_len;
  forward.may_repeat = !request->once;
  forward.team = request->team.data;
  message.body_case = CYC__PEER__BODY_FORWARD;
  message.forward = &forward;
  while (choose_peer (request, now_us, &peer, &domain))
    {
      request->domains_tried |= UINT32_C (1) << domain;
      if (!pl_send (&gw->links, peer, &message))
        continue;
      request->forward_peer = peer;
      request->stage = GW_STAGE_FORWARDED;
      met_add (&gw->met, MET_FORWARDS, 1);
      return true;
    }
  return false;
}
