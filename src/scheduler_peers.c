/* Messages to and from other processes: target lists, permits, job queries,
   control records and snapshots. */
#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

#define MAX_TARGETS 8192
#define MAX_RECORDS 512
#define MAX_RECORDS_BYTES ((size_t)512 * 1024)
#define SNAPSHOT_CHUNK_BYTES ((size_t)256 * 1024)
#define SNAPSHOT_MAX_BYTES ((size_t)64 * 1024 * 1024)
#define TARGETS_RESEND_MS 5000
#define MAX_GRANTS 2048

void
sc_peers_send_to_gateways (struct sc_scheduler *sc, const Cyc__Peer *message)
{
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t cursor = 0;

  while (pl_next (&sc->links, &cursor, &ref, &view))
    if (view.linked && view.identity.role == SET_ROLE_GATEWAY
        && cyc_name_eq (&view.identity.domain, &sc->settings.domain))
      pl_send (&sc->links, ref, message);
}

void
sc_peers_send_target_leaving (struct sc_scheduler *sc, struct cyc_str worker)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__TargetLeaving leaving = CYC__TARGET_LEAVING__INIT;
  struct cyc_name name;

  cyc_name_set (&name, worker);
  leaving.worker = name.data;
  message.body_case = CYC__PEER__BODY_TARGET_LEAVING;
  message.target_leaving = &leaving;
  sc_peers_send_to_gateways (sc, &message);
}

void
sc_targets_changed (struct sc_scheduler *sc, struct cyc_str queue)
{
  struct sc_queue *row = sc_queue_find (sc, queue);

  if (row != NULL)
    row->targets_dirty = true;
}

static void
add_target (struct sc_scheduler *sc, const struct sc_task *task,
            Cyc__Target *out, char (*name)[WC_TASK_BYTES])
{
  const struct sc_worker *host = &sc->workers[task->worker];
  const struct cyc_mem_row *row = cyc_mem_at (&sc->members, host->member);

  cyc__target__init (out);
  sc_task_name (sc, task, *name);
  out->worker = (char *)host->name.data;
  out->address = (char *)row->vm.address;
  out->task = *name;
  out->slots = row->vm.slots;
  out->connections = row->vm.connections;
  out->leaving = row->leaving;
}

/* Replicas on a silent worker stay in the list while their lease may be valid;
   the gateways check themselves whether the worker answers. */
static bool
is_target (const struct sc_scheduler *sc, const struct sc_task *task,
           const struct sc_queue *queue)
{
  return task->kind == CYC_KIND_SERVICE && task->state == SC_TASK_RUNNING
         && !task->command_wanted
         && sc->now_us
                < task->lease_not_after_us
                      + (uint64_t)sc->settings.clock_error_ms * SC_US_PER_MS
         && cyc_name_eq (&task->queue, &queue->name);
}

static size_t
collect_targets (struct sc_scheduler *sc, const struct sc_queue *queue,
                 Cyc__Target *targets, Cyc__Target **rows,
                 char (*names)[WC_TASK_BYTES])
{
  size_t count = 0;

  for (uint32_t t = 0; t < sc->task_pool.high && count < MAX_TARGETS; t++)
    if (cyc_pool_used_at (&sc->task_pool, t)
        && is_target (sc, &sc->tasks[t], queue))
      {
        add_target (sc, &sc->tasks[t], &targets[count], &names[count]);
        rows[count] = &targets[count];
        count++;
      }
  return count;
}

/* Sends to the gateway @p to, or to all gateways of the domain if its
   generation is 0. */
static void
send_targets (struct sc_scheduler *sc, struct sc_queue *queue,
              struct cyc_ref to)
{
  static Cyc__Target targets[MAX_TARGETS];
  static Cyc__Target *rows[MAX_TARGETS];
  static char names[MAX_TARGETS][WC_TASK_BYTES];
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__Targets list = CYC__TARGETS__INIT;

  list.epoch = sc->epoch;
  list.version = queue->targets_version;
  list.queue = queue->name.data;
  list.n_targets = collect_targets (sc, queue, targets, rows, names);
  list.targets = rows;
  message.body_case = CYC__PEER__BODY_TARGETS;
  message.targets = &list;
  if (to.generation != 0)
    pl_send (&sc->links, to, &message);
  else
    sc_peers_send_to_gateways (sc, &message);
}

static void
flush_targets (struct sc_scheduler *sc)
{
  bool resend = sc->now_us >= sc->targets_resend_us;
  struct cyc_ref all = { 0 };

  /* Until all workers are polled the lists would lack running replicas. */
  if (sc->epoch == 0 || !sc->workers_polled)
    return;
  if (resend)
    sc->targets_resend_us = sc->now_us + TARGETS_RESEND_MS * SC_US_PER_MS;
  for (uint32_t i = 0; i < sc->queue_pool.high; i++)
    {
      struct sc_queue *queue = &sc->queues[i];

      if (!cyc_pool_used_at (&sc->queue_pool, i)
          || queue->kind != CYC_KIND_SERVICE
          || (!queue->targets_dirty && !resend))
        continue;
      queue->targets_version++;
      queue->targets_dirty = false;
      send_targets (sc, queue, all);
    }
}

static void
answer_demand (struct sc_scheduler *sc, struct cyc_ref peer,
               const Cyc__PermitDemand *demand)
{
  static struct cyc_prm_use uses[MAX_GRANTS];
  static struct cyc_prm_grant grants[MAX_GRANTS];
  static Cyc__PermitLent lent[MAX_GRANTS];
  static Cyc__PermitLent *rows[MAX_GRANTS];
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__PermitGrant grant = CYC__PERMIT_GRANT__INIT;
  uint32_t used = 0;
  uint32_t count;

  for (; used < demand->n_uses && used < MAX_GRANTS; used++)
    uses[used] = (struct cyc_prm_use){
      .worker = cyc_str_of (demand->uses[used]->worker),
      .wanted = demand->uses[used]->wanted,
      .in_use = demand->uses[used]->in_use,
      .returned = demand->uses[used]->returned,
    };
  cyc_prm_demand (&sc->permits, demand->seat, uses, used, sc->now_us);
  count = cyc_prm_grant (&sc->permits, demand->seat, sc->now_us, grants,
                         MAX_GRANTS);
  for (uint32_t i = 0; i < count; i++)
    {
      cyc__permit_lent__init (&lent[i]);
      lent[i].worker = grants[i].worker.data;
      lent[i].slots = grants[i].slots;
      lent[i].connections = grants[i].connections;
      rows[i] = &lent[i];
    }
  grant.epoch = sc->epoch;
  grant.valid_for_ms = sc->settings.permit_lease_ms;
  grant.deadline_ms = hc_deadline_ms (
      sc->now_us + (uint64_t)sc->settings.permit_lease_ms * SC_US_PER_MS);
  grant.n_lent = count;
  grant.lent = rows;
  message.body_case = CYC__PEER__BODY_PERMIT_GRANT;
  message.permit_grant = &grant;
  pl_send (&sc->links, peer, &message);
}

static void
answer_job_query (struct sc_scheduler *sc, struct cyc_ref peer,
                  const Cyc__JobQuery *query)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__JobReply reply = CYC__JOB_REPLY__INIT;
  const struct cyc_job_row *row = NULL;
  struct cyc_core_job_view view = { 0 };
  struct cyc_id128 id;

  if (query->job_id.len != sizeof id.bytes)
    return;
  memcpy (id.bytes, query->job_id.data, sizeof id.bytes);
  row = cyc_jobs_find (&sc->jobs, &id);
  reply.query_id = query->query_id;
  reply.job_id = query->job_id;
  if (row != NULL)
    {
      reply.known = true;
      reply.state = row->state;
      reply.tasks = row->tasks;
      reply.done = row->done_tasks;
      reply.reason = (char *)row->reason;
      if (sc->epoch != 0 && row->state < CYC_JOB_DONE
          && cyc_core_job_view (&sc->core, &id, &view))
        {
          reply.running = view.running;
          reply.done = view.done;
          reply.state = view.running > 0 ? CYC_JOB_RUNNING : CYC_JOB_QUEUED;
        }
    }
  message.body_case = CYC__PEER__BODY_JOB_REPLY;
  message.job_reply = &reply;
  pl_send (&sc->links, peer, &message);
}

static void
send_snapshot (struct sc_scheduler *sc, struct cyc_ref peer)
{
  struct cyc_str encoded;
  uint32_t count;

  if (!cyc_led_complete (ctl_ledger (&sc->ctl))
      || !cyc_led_encode (ctl_ledger (&sc->ctl), &encoded))
    return;
  count = (uint32_t)((encoded.len + SNAPSHOT_CHUNK_BYTES - 1)
                     / SNAPSHOT_CHUNK_BYTES);
  for (uint32_t i = 0; i < count; i++)
    {
      Cyc__Peer message = CYC__PEER__INIT;
      Cyc__Snapshot chunk = CYC__SNAPSHOT__INIT;
      size_t from = (size_t)i * SNAPSHOT_CHUNK_BYTES;
      size_t remaining = encoded.len - from;

      chunk.next_offset = ctl_next (&sc->ctl);
      chunk.index = i;
      chunk.count = count;
      chunk.data.data = (uint8_t *)encoded.data + from;
      chunk.data.len = remaining < SNAPSHOT_CHUNK_BYTES ? remaining
                                                        : SNAPSHOT_CHUNK_BYTES;
      message.body_case = CYC__PEER__BODY_SNAPSHOT;
      message.snapshot = &chunk;
      if (!pl_send (&sc->links, peer, &message))
        break;
    }
  free ((void *)encoded.data);
}

static void
send_records (struct sc_scheduler *sc, struct cyc_ref peer, uint64_t from)
{
  static struct cyc_str kept[MAX_RECORDS];
  static ProtobufCBinaryData data[MAX_RECORDS];
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__ControlRecords records = CYC__CONTROL_RECORDS__INIT;
  size_t bytes = 0;
  uint32_t count;

  if (from >= ctl_next (&sc->ctl))
    return;
  count = ctl_kept_records (&sc->ctl, from, kept, MAX_RECORDS);
  if (count == 0)
    {
      send_snapshot (sc, peer);
      return;
    }
  while (records.n_records < count && bytes < MAX_RECORDS_BYTES)
    {
      const struct cyc_str *record = &kept[records.n_records];

      data[records.n_records].data = (uint8_t *)record->data;
      data[records.n_records].len = record->len;
      bytes += record->len;
      records.n_records++;
    }
  records.from = from;
  records.records = data;
  message.body_case = CYC__PEER__BODY_CONTROL_RECORDS;
  message.control_records = &records;
  pl_send (&sc->links, peer, &message);
}

static void
request_records (struct sc_scheduler *sc, struct cyc_ref peer)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__ControlRequest request = CYC__CONTROL_REQUEST__INIT;

  request.from = ctl_next (&sc->ctl);
  message.body_case = CYC__PEER__BODY_CONTROL_REQUEST;
  message.control_request = &request;
  pl_send (&sc->links, peer, &message);
}

static void
receive_heartbeat (struct sc_scheduler *sc, struct cyc_ref peer)
{
  struct pl_peer_view view;

  if (pl_view (&sc->links, peer, &view)
      && ctl_peer_state (&sc->ctl, view.control_next, view.fresh_us))
    request_records (sc, peer);
}

static void
receive_records (struct sc_scheduler *sc, const Cyc__ControlRecords *message)
{
  static struct cyc_str records[MAX_RECORDS];
  uint32_t count = 0;

  while (count < message->n_records && count < MAX_RECORDS)
    {
      records[count] = (struct cyc_str){
        (const char *)message->records[count].data,
        message->records[count].len,
      };
      count++;
    }
  ctl_peer_records (&sc->ctl, message->from, records, count);
}

static void
receive_snapshot (struct sc_scheduler *sc, const Cyc__Snapshot *chunk)
{
  uint8_t *grown;

  if (chunk->index == 0)
    sc->snapshot_len = 0;
  else if (chunk->index != sc->snapshot_next_index)
    return;
  if (sc->snapshot_len + chunk->data.len > SNAPSHOT_MAX_BYTES)
    return;
  grown = realloc (sc->snapshot, sc->snapshot_len + chunk->data.len + 1);
  if (grown == NULL)
    return;
  sc->snapshot = grown;
  memcpy (grown + sc->snapshot_len, chunk->data.data, chunk->data.len);
  sc->snapshot_len += chunk->data.len;
  sc->snapshot_next_index = chunk->index + 1;
  if (sc->snapshot_next_index < chunk->count)
    return;
  ctl_peer_snapshot (&sc->ctl, (struct cyc_str){ (const char *)sc->snapshot,
                                                 sc->snapshot_len });
  free (sc->snapshot);
  sc->snapshot = NULL;
  sc->snapshot_len = 0;
  sc->snapshot_next_index = 0;
}

static void
receive_target_leaving (struct sc_scheduler *sc,
                        const Cyc__TargetLeaving *message)
{
  struct cyc_ref member
      = cyc_mem_find (&sc->members, cyc_str_of (message->worker));

  if (member.generation != 0)
    cyc_mem_report_leaving (&sc->members, member);
}

static bool
is_own_gateway (struct sc_scheduler *sc, struct cyc_ref peer)
{
  struct pl_peer_view view;

  return pl_view (&sc->links, peer, &view)
         && view.identity.role == SET_ROLE_GATEWAY
         && cyc_name_eq (&view.identity.domain, &sc->settings.domain);
}

static void
on_message (void *user, struct cyc_ref peer, const Cyc__Peer *message)
{
  struct sc_scheduler *sc = user;

  sc->now_us = hc_now_us ();
  switch (message->body_case)
    {
    case CYC__PEER__BODY_HEARTBEAT:
      receive_heartbeat (sc, peer);
      break;
    case CYC__PEER__BODY_CONTROL_REQUEST:
      send_records (sc, peer, message->control_request->from);
      break;
    case CYC__PEER__BODY_CONTROL_RECORDS:
      receive_records (sc, message->control_records);
      break;
    case CYC__PEER__BODY_SNAPSHOT_REQUEST:
      if (message->snapshot_request->min_next <= ctl_next (&sc->ctl))
        send_snapshot (sc, peer);
      break;
    case CYC__PEER__BODY_SNAPSHOT:
      receive_snapshot (sc, message->snapshot);
      break;
    case CYC__PEER__BODY_PERMIT_DEMAND:
      /* Only a process with a valid hold on the claim may lend permits. */
      if (cyc_clm_may_start (&sc->claim, sc->now_us) && sc->epoch != 0
          && is_own_gateway (sc, peer))
        answer_demand (sc, peer, message->permit_demand);
      break;
    case CYC__PEER__BODY_JOB_QUERY:
      answer_job_query (sc, peer, message->job_query);
      break;
    case CYC__PEER__BODY_AGGREGATE:
      sc_limits_receive_aggregate (sc, peer, message->aggregate);
      break;
    case CYC__PEER__BODY_TARGET_LEAVING:
      receive_target_leaving (sc, message->target_leaving);
      break;
    default:
      break;
    }
}

static void
on_linked (void *user, struct cyc_ref peer, bool linked)
{
  struct sc_scheduler *sc = user;

  if (!linked || sc->epoch == 0 || !sc->workers_polled
      || !is_own_gateway (sc, peer))
    return;
  for (uint32_t i = 0; i < sc->queue_pool.high; i++)
    if (cyc_pool_used_at (&sc->queue_pool, i)
        && sc->queues[i].kind == CYC_KIND_SERVICE)
      send_targets (sc, &sc->queues[i], peer);
}

static void
fill_self_state (void *user, struct pl_self_state *out)
{
  struct sc_scheduler *sc = user;

  out->control_next = ctl_next (&sc->ctl);
  out->fresh_us = ctl_fresh_us (&sc->ctl);
  out->owned_epoch = sc->epoch;
  out->draining = sc->phase != SC_PHASE_RUN;
}

bool
sc_peers_setup (struct sc_scheduler *sc, struct cyc_findings *findings)
{
  struct pl_desc desc = {
    .loop = sc->loop,
    .self = {
      .vm = sc->settings.vm,
      .domain = sc->settings.domain,
      .region = sc->settings.region,
      .role = SET_ROLE_SCHEDULER,
      .seat = sc->settings.seat,
      .incarnation = sc->incarnation,
    },
    .listen = sc->settings.scheduler_peer,
    .heartbeat_ms = sc->settings.peer_heartbeat_ms,
    .silent_ms = sc->settings.peer_silent_ms,
    .dead_ms = sc->settings.peer_dead_ms,
    .met = &sc->met,
    .self_state = fill_self_state,
    .message = on_message,
    .linked = on_linked,
    .user = sc,
  };

  if (!pl_setup (&sc->links, &desc, findings))
    return false;
  for (uint32_t i = 0; i < sc->settings.peer_count; i++)
    {
      const struct set_peer *peer = &sc->settings.peers[i];

      if (peer->role == SET_ROLE_SCHEDULER
          && cyc_name_eq (&peer->vm, &sc->settings.vm))
        continue;
      pl_peer_add (&sc->links, peer);
    }
  return true;
}

void
sc_peers_tick (struct sc_scheduler *sc)
{
  pl_tick (&sc->links, sc->now_us);
  flush_targets (sc);
}
