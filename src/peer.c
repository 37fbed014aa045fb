#include "peer_internal.h"

#include "http_client.h"
#include "log_event.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_MAX_PEERS 512
#define DEFAULT_HEARTBEAT_MS 1000
#define DEFAULT_SILENT_MS 3500
#define DEFAULT_DEAD_MS 10000
#define DEFAULT_MAX_QUEUED_BYTES (8U * 1024 * 1024)
#define DEFAULT_MAX_INPUT_BYTES ((size_t)64 * 1024 * 1024)
/** Accepted connections whose Hello has not come. For each further one the
 * oldest is closed. */
#define UNIDENTIFIED_MAX 64
#define LISTEN_BACKLOG 128
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 2000
#define HEARTBEATS_TO_ALIVE 2
#define US_PER_MS 1000

static void
mark_peer_down (struct pl_state *pl, struct pl_peer *peer, struct cyc_ref ref,
                const char *failure_reason)
{
  bool was_linked = peer->linked;

  peer->conn = (struct cyc_ref){ 0 };
  peer->linked = false;
  peer->consecutive_heartbeats = 0;
  if (!was_linked)
    return;
  ev_log (EV_PEER_DOWN, "peer=%s peer_role=%d reason=\"%s\"",
          peer->identity.vm.data, (int)peer->identity.role, failure_reason);
  if (pl->desc.linked != NULL)
    pl->desc.linked (pl->desc.user, ref, false);
}

/* Counts a failed attempt and returns the time of the next one. The backoff is
   exponential with jitter, so that peers that lost their links at the same
   time do not all reconnect at the same time. */
static uint64_t
schedule_reconnect (struct pl_peer *peer, uint64_t now_us)
{
  uint32_t shift = peer->connect_failures < 6 ? peer->connect_failures : 6;
  uint64_t wait_ms = (uint64_t)RECONNECT_MIN_MS << shift;

  if (wait_ms > RECONNECT_MAX_MS)
    wait_ms = RECONNECT_MAX_MS;
  peer->connect_failures++;
  wait_ms = wait_ms / 2 + now_us % (wait_ms / 2 + 1);
  return now_us + wait_ms * US_PER_MS;
}

static void
drop_conn (struct pl_state *pl, struct pl_conn *conn,
           const char *failure_reason)
{
  struct cyc_ref peer_ref = conn->peer;
  struct cyc_ref conn_ref = conn->ref;
  struct pl_peer *peer = NULL;

  if (cyc_pool_live (&pl->peer_pool, peer_ref))
    peer = &pl->peers[peer_ref.index];
  if (peer != NULL && peer->conn.index == conn_ref.index
      && peer->conn.generation == conn_ref.generation)
    {
      peer->next_connect_us = schedule_reconnect (peer, hc_now_us ());
      mark_peer_down (pl, peer, peer_ref, failure_reason);
    }
  pl_conn_close (conn);
}

/* Closes the oldest unidentified connection if there are too many. */
static void
limit_unidentified (struct pl_state *pl)
{
  struct pl_conn *oldest = NULL;
  uint32_t count = 0;

  for (uint32_t i = 0; i < pl->conn_pool.high; i++)
    {
      struct pl_conn *conn = &pl->conns[i];

      if (!cyc_pool_used_at (&pl->conn_pool, i) || conn->peer.generation != 0)
        continue;
      count++;
      if (oldest == NULL
          || conn->silent_deadline_us < oldest->silent_deadline_us)
        oldest = conn;
    }
  if (count >= UNIDENTIFIED_MAX)
    drop_conn (pl, oldest, "too many unidentified connections");
}

static void
on_accept (struct ev_loop *loop, struct ev_io *io, int events)
{
  struct pl_state *pl = io->data;
  int one = 1;
  int fd = accept4 (io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)loop;
  (void)events;
  if (fd < 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  limit_unidentified (pl);
  pl_conn_open (pl, fd, CONN_HELLO, (struct cyc_ref){ 0 });
}

static bool
to_sockaddr (const struct set_address *address, struct sockaddr_in *out)
{
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons (address->port);
  return inet_pton (AF_INET, address->host, &out->sin_addr) == 1;
}

static bool
start_listening (struct pl_state *pl)
{
  struct sockaddr_in address;
  int one = 1;

  if (!to_sockaddr (&pl->desc.listen, &address))
    return false;
  pl->listen_fd
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (pl->listen_fd < 0)
    return false;
  setsockopt (pl->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (pl->listen_fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (pl->listen_fd, LISTEN_BACKLOG) != 0)
    return false;
  ev_io_init (&pl->listener, on_accept, pl->listen_fd, EV_READ);
  pl->listener.data = pl;
  ev_io_start (pl->desc.loop, &pl->listener);
  return true;
}

static void
start_connect (struct pl_state *pl, struct pl_peer *peer, struct cyc_ref ref,
               uint64_t now_us)
{
  struct sockaddr_in address;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  peer->next_connect_us = schedule_reconnect (peer, now_us);
  if (fd < 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (!to_sockaddr (&peer->address, &address)
      || (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
          && errno != EINPROGRESS))
    {
      close (fd);
      return;
    }
  pl_conn_open (pl, fd, CONN_CONNECTING, ref);
}

static struct pl_desc
with_defaults (const struct pl_desc *desc)
{
  struct pl_desc full = *desc;

  if (full.max_peers == 0)
    full.max_peers = DEFAULT_MAX_PEERS;
  if (full.heartbeat_ms == 0)
    full.heartbeat_ms = DEFAULT_HEARTBEAT_MS;
  if (full.silent_ms == 0)
    full.silent_ms = DEFAULT_SILENT_MS;
  if (full.dead_ms == 0)
    full.dead_ms = DEFAULT_DEAD_MS;
  if (full.max_queued_bytes == 0)
    full.max_queued_bytes = DEFAULT_MAX_QUEUED_BYTES;
  if (full.max_input_bytes == 0)
    full.max_input_bytes = DEFAULT_MAX_INPUT_BYTES;
  return full;
}

static bool
desc_valid (const struct pl_desc *desc, struct cyc_findings *findings)
{
  uint32_t before = findings->count;

  if (desc->loop == NULL)
    cyc_findings_add (findings, CYC_STR ("pl_desc.loop"), "is missing");
  if (desc->message == NULL)
    cyc_findings_add (findings, CYC_STR ("pl_desc.message"), "is missing");
  if (desc->self.vm.len == 0)
    cyc_findings_add (findings, CYC_STR ("pl_desc.self.vm"), "is empty");
  if (desc->heartbeat_ms >= desc->silent_ms)
    cyc_findings_add (findings, CYC_STR ("pl_desc.silent_ms"),
                      "must be longer than heartbeat_ms");
  if (desc->silent_ms >= desc->dead_ms)
    cyc_findings_add (findings, CYC_STR ("pl_desc.dead_ms"),
                      "must be longer than silent_ms");
  return findings->count == before;
}

bool
pl_setup (struct pl_links *links, const struct pl_desc *desc,
          struct cyc_findings *findings)
{
  struct pl_desc full = with_defaults (desc);
  struct pl_state *pl;

  links->state = NULL;
  if (!desc_valid (&full, findings))
    return false;
  pl = calloc (1, sizeof *pl);
  if (pl == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("peer"), "out of memory");
      return false;
    }
  links->state = pl;
  pl->desc = full;
  pl->listen_fd = -1;
  pl->peers = calloc (full.max_peers, sizeof *pl->peers);
  pl->conns = calloc ((size_t)full.max_peers * 2, sizeof *pl->conns);
  if (pl->peers == NULL || pl->conns == NULL
      || !cyc_pool_setup (&pl->peer_pool, full.max_peers, NULL)
      || !cyc_pool_setup (&pl->conn_pool, full.max_peers * 2, NULL))
    cyc_findings_add (findings, CYC_STR ("peer"), "out of memory");
  else if (!start_listening (pl))
    cyc_findings_add (findings, CYC_STR ("peer"), "cannot listen on %s:%u: %s",
                      full.listen.host, full.listen.port, strerror (errno));
  else
    return true;
  pl_shutdown (links);
  return false;
}

static void
send_goodbyes (struct pl_state *pl)
{
  Cyc__Goodbye goodbye = CYC__GOODBYE__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  message.body_case = CYC__PEER__BODY_GOODBYE;
  message.goodbye = &goodbye;
  for (uint32_t i = 0; i < pl->conn_pool.high; i++)
    if (cyc_pool_used_at (&pl->conn_pool, i)
        && pl->conns[i].phase == CONN_OPEN)
      pl_conn_send (&pl->conns[i], &message);
}

static void
close_all (struct pl_state *pl)
{
  send_goodbyes (pl);
  for (uint32_t i = 0; i < pl->conn_pool.high; i++)
    if (cyc_pool_used_at (&pl->conn_pool, i))
      pl_conn_close (&pl->conns[i]);
}

void
pl_shutdown (struct pl_links *links)
{
  struct pl_state *pl = links->state;

  if (pl == NULL)
    return;
  if (pl->conns != NULL)
    close_all (pl);
  if (pl->listen_fd >= 0)
    {
      ev_io_stop (pl->desc.loop, &pl->listener);
      close (pl->listen_fd);
    }
  cyc_pool_shutdown (&pl->peer_pool);
  cyc_pool_shutdown (&pl->conn_pool);
  free (pl->peers);
  free (pl->conns);
  free (pl);
  links->state = NULL;
}

static struct cyc_ref
find_peer (const struct pl_state *pl, struct cyc_str vm, enum set_role role)
{
  for (uint32_t i = 0; i < pl->peer_pool.high; i++)
    if (cyc_pool_used_at (&pl->peer_pool, i)
        && pl->peers[i].identity.role == role
        && cyc_str_eq (cyc_name_str (&pl->peers[i].identity.vm), vm))
      return cyc_pool_ref_at (&pl->peer_pool, i);
  return (struct cyc_ref){ 0 };
}

static struct cyc_ref
add_peer (struct pl_state *pl, const struct pl_identity *identity)
{
  struct cyc_ref ref = cyc_pool_take (&pl->peer_pool);

  if (ref.generation != 0)
    {
      struct pl_peer *peer = &pl->peers[ref.index];

      memset (peer, 0, sizeof *peer);
      peer->identity = *identity;
      peer->same_region
          = cyc_name_eq (&identity->region, &pl->desc.self.region);
    }
  return ref;
}

bool
pl_peer_add (struct pl_links *links, const struct set_peer *settings)
{
  struct pl_state *pl = links->state;
  struct pl_identity identity = { .vm = settings->vm,
                                  .domain = settings->domain,
                                  .region = settings->region,
                                  .role = settings->role };
  struct cyc_ref ref;

  if (settings->role == pl->desc.self.role
      && cyc_name_eq (&settings->vm, &pl->desc.self.vm))
    return true;
  ref = find_peer (pl, cyc_name_str (&settings->vm), settings->role);
  if (ref.generation == 0)
    ref = add_peer (pl, &identity);
  if (ref.generation == 0)
    return false;
  pl->peers[ref.index].address = settings->address;
  pl->peers[ref.index].configured = true;
  return true;
}

static bool
initiates_connection (const struct pl_identity *self,
                      const struct pl_identity *peer)
{
  int order = cyc_str_cmp (cyc_name_str (&self->vm), cyc_name_str (&peer->vm));

  return order < 0 || (order == 0 && self->role < peer->role);
}

static bool
read_hello (const Cyc__Hello *hello, struct pl_identity *out)
{
  memset (out, 0, sizeof *out);
  if (hello->incarnation.len != sizeof out->incarnation.bytes
      || !cyc_name_valid (cyc_str_of (hello->vm))
      || !cyc_name_set (&out->vm, cyc_str_of (hello->vm))
      || !cyc_name_set (&out->domain, cyc_str_of (hello->domain))
      || !cyc_name_set (&out->region, cyc_str_of (hello->region))
      || (hello->role != CYC__ROLE__ROLE_GATEWAY
          && hello->role != CYC__ROLE__ROLE_SCHEDULER
          && hello->role != CYC__ROLE__ROLE_ENTRY))
    return false;
  out->role = (enum set_role)hello->role;
  out->seat = hello->seat;
  memcpy (out->incarnation.bytes, hello->incarnation.data,
          sizeof out->incarnation.bytes);
  return true;
}

/* Assigns the connection to the peer that its Hello identifies. A newer
   connection replaces an older one of the same peer, which may have gone
   silent. */
static void
accept_hello (struct pl_conn *conn, const Cyc__Hello *hello)
{
  struct pl_state *pl = conn->pl;
  struct pl_identity identity;
  struct cyc_ref ref;
  struct pl_peer *peer;

  if (hello->protocol != PL_PROTOCOL)
    {
      pl_conn_fail (conn, "protocol version differs");
      ev_log (EV_PEER_REFUSED, "reason=\"protocol version differs\" theirs=%u",
              hello->protocol);
      return;
    }
  if (!read_hello (hello, &identity))
    {
      pl_conn_fail (conn, "hello is not valid");
      ev_log (EV_PEER_REFUSED, "reason=\"hello is not valid\"");
      return;
    }
  ref = find_peer (pl, cyc_name_str (&identity.vm), identity.role);
  if (ref.generation == 0)
    ref = add_peer (pl, &identity);
  if (ref.generation == 0)
    {
      pl_conn_fail (conn, "too many peers");
      return;
    }
  peer = &pl->peers[ref.index];
  if (cyc_pool_live (&pl->conn_pool, peer->conn)
      && peer->conn.index != conn->ref.index)
    pl_conn_fail (&pl->conns[peer->conn.index],
                  "replaced by a newer connection");
  if (peer->linked)
    mark_peer_down (pl, peer, ref, "replaced by a newer connection");
  peer->identity = identity;
  peer->same_region = cyc_name_eq (&identity.region, &pl->desc.self.region);
  peer->conn = conn->ref;
  peer->linked = true;
  peer->linked_us = hc_now_us ();
  peer->connect_failures = 0;
  peer->draining = false;
  conn->peer = ref;
  conn->phase = CONN_OPEN;
  ev_log (EV_PEER_UP, "peer=%s peer_role=%d", identity.vm.data,
          (int)identity.role);
  if (pl->desc.linked != NULL)
    pl->desc.linked (pl->desc.user, ref, true);
}

static void
accept_heartbeat (struct pl_state *pl, struct pl_peer *peer,
                  const Cyc__Heartbeat *heartbeat)
{
  uint64_t now_us = hc_now_us ();
  uint64_t age_us = heartbeat->fresh_age_ms > now_us / US_PER_MS
                        ? now_us
                        : heartbeat->fresh_age_ms * US_PER_MS;

  peer->control_next = heartbeat->control_next;
  peer->fresh_us = now_us - age_us;
  peer->owned_epoch = heartbeat->owned_epoch;
  peer->draining = heartbeat->draining;
  peer->suspect_deadline_us
      = now_us + (uint64_t)pl->desc.silent_ms * US_PER_MS;
  peer->dead_deadline_us = now_us + (uint64_t)pl->desc.dead_ms * US_PER_MS;
  if (peer->consecutive_heartbeats < HEARTBEATS_TO_ALIVE)
    peer->consecutive_heartbeats++;
  if (peer->consecutive_heartbeats == HEARTBEATS_TO_ALIVE)
    peer->health = PL_ALIVE;
  else if (peer->health == PL_DEAD)
    peer->health = PL_SUSPECT;
}

void
pl_on_message (struct pl_conn *conn, const Cyc__Peer *message)
{
  struct pl_state *pl = conn->pl;
  struct cyc_ref peer = conn->peer;

  if (conn->phase == CONN_HELLO)
    {
      if (message->body_case == CYC__PEER__BODY_HELLO)
        accept_hello (conn, message->hello);
      else
        pl_conn_fail (conn, "first message is not a hello");
      return;
    }
  if (message->body_case == CYC__PEER__BODY_HELLO)
    {
      pl_conn_fail (conn, "second hello");
      return;
    }
  if (message->body_case == CYC__PEER__BODY_HEARTBEAT)
    accept_heartbeat (pl, &pl->peers[peer.index], message->heartbeat);
  if (message->body_case == CYC__PEER__BODY_GOODBYE)
    pl->peers[peer.index].draining = true;
  pl->desc.message (pl->desc.user, peer, message);
}

/* Rounds up, so that the receiver never considers the state fresher than it
   is. Returns the largest age if the state was never fresh. */
static uint64_t
fresh_age_ms (uint64_t fresh_us, uint64_t now_us)
{
  if (fresh_us == 0)
    return UINT64_MAX;
  if (fresh_us >= now_us)
    return 0;
  return (now_us - fresh_us + US_PER_MS - 1) / US_PER_MS;
}

static void
send_heartbeats (struct pl_state *pl, uint64_t now_us)
{
  struct pl_self_state self = { 0 };
  Cyc__Heartbeat heartbeat = CYC__HEARTBEAT__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  if (pl->desc.self_state != NULL)
    pl->desc.self_state (pl->desc.user, &self);
  heartbeat.control_next = self.control_next;
  heartbeat.fresh_age_ms = fresh_age_ms (self.fresh_us, now_us);
  heartbeat.owned_epoch = self.owned_epoch;
  heartbeat.draining = self.draining;
  message.body_case = CYC__PEER__BODY_HEARTBEAT;
  message.heartbeat = &heartbeat;
  for (uint32_t i = 0; i < pl->conn_pool.high; i++)
    if (cyc_pool_used_at (&pl->conn_pool, i)
        && pl->conns[i].phase == CONN_OPEN)
      pl_conn_send (&pl->conns[i], &message);
}

static void
tick_conns (struct pl_state *pl, uint64_t now_us)
{
  for (uint32_t i = 0; i < pl->conn_pool.high; i++)
    {
      struct pl_conn *conn = &pl->conns[i];

      if (!cyc_pool_used_at (&pl->conn_pool, i))
        continue;
      if (conn->phase != CONN_FAILING && now_us >= conn->silent_deadline_us)
        pl_conn_fail (conn, "silent");
      if (conn->phase == CONN_FAILING)
        drop_conn (pl, conn, conn->failure_reason);
    }
}

static void
tick_peers (struct pl_state *pl, uint64_t now_us)
{
  for (uint32_t i = 0; i < pl->peer_pool.high; i++)
    {
      struct pl_peer *peer = &pl->peers[i];

      if (!cyc_pool_used_at (&pl->peer_pool, i))
        continue;
      if (peer->health != PL_DEAD && now_us >= peer->dead_deadline_us)
        peer->health = PL_DEAD;
      else if (peer->health == PL_ALIVE && now_us >= peer->suspect_deadline_us)
        {
          peer->health = PL_SUSPECT;
          peer->consecutive_heartbeats = 0;
        }
      if (peer->configured && peer->conn.generation == 0
          && now_us >= peer->next_connect_us
          && initiates_connection (&pl->desc.self, &peer->identity))
        start_connect (pl, peer, cyc_pool_ref_at (&pl->peer_pool, i), now_us);
    }
}

void
pl_tick (struct pl_links *links, uint64_t now_us)
{
  struct pl_state *pl = links->state;

  tick_conns (pl, now_us);
  tick_peers (pl, now_us);
  if (now_us < pl->next_heartbeat_us)
    return;
  pl->next_heartbeat_us = now_us + (uint64_t)pl->desc.heartbeat_ms * US_PER_MS;
  send_heartbeats (pl, now_us);
}

bool
pl_send (struct pl_links *links, struct cyc_ref ref, const Cyc__Peer *message)
{
  struct pl_state *pl = links->state;

  if (!cyc_pool_live (&pl->peer_pool, ref) || !pl->peers[ref.index].linked)
    return false;
  return pl_conn_send (&pl->conns[pl->peers[ref.index].conn.index], message);
}

bool
pl_view (const struct pl_links *links, struct cyc_ref ref,
         struct pl_peer_view *out)
{
  const struct pl_state *pl = links->state;
  const struct pl_peer *peer;

  if (!cyc_pool_live (&pl->peer_pool, ref))
    return false;
  peer = &pl->peers[ref.index];
  out->identity = peer->identity;
  out->health = peer->health;
  out->linked = peer->linked;
  out->linked_us = peer->linked_us;
  out->control_next = peer->control_next;
  out->fresh_us = peer->fresh_us;
  out->owned_epoch = peer->owned_epoch;
  out->draining = peer->draining;
  return true;
}

bool
pl_next (const struct pl_links *links, uint32_t *cursor, struct cyc_ref *ref,
         struct pl_peer_view *out)
{
  const struct pl_state *pl = links->state;

  while (*cursor < pl->peer_pool.high)
    {
      uint32_t index = (*cursor)++;

      if (!cyc_pool_used_at (&pl->peer_pool, index))
        continue;
      *ref = cyc_pool_ref_at (&pl->peer_pool, index);
      return pl_view (links, *ref, out);
    }
  return false;
}

struct cyc_ref
pl_find (const struct pl_links *links, struct cyc_str vm, enum set_role role)
{
  return find_peer (links->state, vm, role);
}
