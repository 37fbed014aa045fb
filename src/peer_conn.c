#include "peer_internal.h"

#include "http_client.h"
#include "log_event.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LENGTH_PREFIX_BYTES 4
#define READ_CHUNK_BYTES 65536
#define MIN_BUFFER_BYTES 4096
/** Limits of a connection whose Hello has not identified it: anyone may have
 * opened it. */
#define HELLO_MAX_BYTES 2048
#define HELLO_CHUNK_BYTES 2048

/* Returns the capacity that the buffer needs to take @p extra bytes. */
static size_t
capacity_for (const struct pl_buffer *buffer, size_t extra)
{
  size_t capacity = buffer->capacity ? buffer->capacity : MIN_BUFFER_BYTES;

  while (capacity < buffer->len + extra)
    capacity *= 2;
  return capacity;
}

static bool
buffer_reserve (struct pl_buffer *buffer, size_t extra)
{
  size_t capacity = capacity_for (buffer, extra);
  uint8_t *grown;

  if (buffer->start > 0
      && buffer->start + buffer->len + extra > buffer->capacity)
    {
      memmove (buffer->data, buffer->data + buffer->start, buffer->len);
      buffer->start = 0;
    }
  if (buffer->len + extra <= buffer->capacity)
    return true;
  grown = realloc (buffer->data, capacity);
  if (grown == NULL)
    return false;
  buffer->data = grown;
  buffer->capacity = capacity;
  return true;
}

static void
buffer_consume (struct pl_buffer *buffer, size_t len)
{
  buffer->start += len;
  buffer->len -= len;
  if (buffer->len == 0)
    buffer->start = 0;
}

void
pl_conn_fail (struct pl_conn *conn, const char *failure_reason)
{
  if (conn->phase == CONN_FAILING)
    return;
  conn->phase = CONN_FAILING;
  snprintf (conn->failure_reason, sizeof conn->failure_reason, "%s",
            failure_reason);
  ev_io_stop (conn->pl->desc.loop, &conn->reader);
  ev_io_stop (conn->pl->desc.loop, &conn->writer);
}

/* Handles one frame of the input buffer. Returns false if no complete frame is
   left or the connection has failed. */
static bool
process_frame (struct pl_conn *conn)
{
  const uint8_t *frame = conn->in.data + conn->in.start;
  size_t len;
  Cyc__Peer *message;

  if (conn->in.len < LENGTH_PREFIX_BYTES)
    return false;
  len = (size_t)frame[0] << 24 | (size_t)frame[1] << 16 | (size_t)frame[2] << 8
        | frame[3];
  if (len == 0
      || len > (conn->phase == CONN_OPEN ? PL_FRAME_MAX_BYTES
                                         : (size_t)HELLO_MAX_BYTES))
    {
      pl_conn_fail (conn, "frame length out of range");
      return false;
    }
  if (conn->in.len < LENGTH_PREFIX_BYTES + len)
    return false;
  message = cyc__peer__unpack (NULL, len, frame + LENGTH_PREFIX_BYTES);
  buffer_consume (&conn->in, LENGTH_PREFIX_BYTES + len);
  if (message == NULL)
    {
      pl_conn_fail (conn, "frame is not a peer message");
      return false;
    }
  if (conn->pl->desc.met != NULL)
    {
      met_add (conn->pl->desc.met, MET_PEER_FRAMES_IN, 1);
      met_add (conn->pl->desc.met, MET_PEER_BYTES_IN,
               LENGTH_PREFIX_BYTES + len);
    }
  conn->silent_deadline_us
      = hc_now_us () + (uint64_t)conn->pl->desc.silent_ms * 1000;
  pl_on_message (conn, message);
  cyc__peer__free_unpacked (message, NULL);
  return conn->phase != CONN_FAILING;
}

/* Makes room for the next bytes. The buffers of all connections together are
   bounded, as frames that do not become complete stay in them. */
static bool
reserve_input (struct pl_conn *conn, size_t extra)
{
  struct pl_state *pl = conn->pl;
  size_t before = conn->in.capacity;

  if (pl->input_bytes + capacity_for (&conn->in, extra) - before
      > pl->desc.max_input_bytes)
    return false;
  if (!buffer_reserve (&conn->in, extra))
    return false;
  pl->input_bytes += conn->in.capacity - before;
  return true;
}

static void
on_readable (struct ev_loop *loop, struct ev_io *io, int events)
{
  struct pl_conn *conn = io->data;
  size_t chunk_bytes
      = conn->phase == CONN_OPEN ? READ_CHUNK_BYTES : HELLO_CHUNK_BYTES;
  ssize_t received;

  (void)loop;
  (void)events;
  if (!reserve_input (conn, chunk_bytes))
    {
      pl_conn_fail (conn, "too much input is kept");
      return;
    }
  received = recv (conn->fd, conn->in.data + conn->in.start + conn->in.len,
                   chunk_bytes, 0);
  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (received <= 0)
    {
      pl_conn_fail (conn,
                    received == 0 ? "closed by the peer" : strerror (errno));
      return;
    }
  conn->in.len += (size_t)received;
  /* A long frame on a narrow link takes longer than silence may last. */
  if (conn->phase == CONN_OPEN)
    conn->silent_deadline_us
        = hc_now_us () + (uint64_t)conn->pl->desc.silent_ms * 1000;
  while (process_frame (conn))
    continue;
}

static void
flush_out (struct pl_conn *conn)
{
  while (conn->out.len > 0)
    {
      ssize_t sent = send (conn->fd, conn->out.data + conn->out.start,
                           conn->out.len, MSG_NOSIGNAL);

      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        break;
      if (sent < 0)
        {
          pl_conn_fail (conn, strerror (errno));
          return;
        }
      buffer_consume (&conn->out, (size_t)sent);
    }
  if (conn->out.len > 0)
    ev_io_start (conn->pl->desc.loop, &conn->writer);
  else
    ev_io_stop (conn->pl->desc.loop, &conn->writer);
}

static void
finish_connect (struct pl_conn *conn)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
      || error != 0)
    {
      pl_conn_fail (conn, strerror (error));
      return;
    }
  conn->phase = CONN_HELLO;
  ev_io_start (conn->pl->desc.loop, &conn->reader);
  pl_conn_send_hello (conn);
}

static void
on_writable (struct ev_loop *loop, struct ev_io *io, int events)
{
  struct pl_conn *conn = io->data;

  (void)loop;
  (void)events;
  if (conn->phase == CONN_CONNECTING)
    finish_connect (conn);
  if (conn->phase != CONN_FAILING)
    flush_out (conn);
}

bool
pl_conn_open (struct pl_state *pl, int fd, enum conn_phase phase,
              struct cyc_ref peer)
{
  struct cyc_ref ref = cyc_pool_take (&pl->conn_pool);
  struct pl_conn *conn;

  if (ref.generation == 0)
    {
      close (fd);
      return false;
    }
  conn = &pl->conns[ref.index];
  memset (conn, 0, sizeof *conn);
  conn->pl = pl;
  conn->ref = ref;
  conn->peer = peer;
  conn->phase = phase;
  conn->fd = fd;
  conn->silent_deadline_us
      = hc_now_us () + (uint64_t)pl->desc.silent_ms * 1000;
  ev_io_init (&conn->reader, on_readable, fd, EV_READ);
  ev_io_init (&conn->writer, on_writable, fd, EV_WRITE);
  conn->reader.data = conn;
  conn->writer.data = conn;
  if (cyc_pool_live (&pl->peer_pool, peer))
    pl->peers[peer.index].conn = ref;
  if (phase == CONN_CONNECTING)
    ev_io_start (pl->desc.loop, &conn->writer);
  else
    {
      ev_io_start (pl->desc.loop, &conn->reader);
      pl_conn_send_hello (conn);
    }
  return true;
}

void
pl_conn_close (struct pl_conn *conn)
{
  struct pl_state *pl = conn->pl;
  struct cyc_ref ref = conn->ref;

  ev_io_stop (pl->desc.loop, &conn->reader);
  ev_io_stop (pl->desc.loop, &conn->writer);
  close (conn->fd);
  pl->input_bytes -= conn->in.capacity;
  free (conn->in.data);
  free (conn->out.data);
  memset (conn, 0, sizeof *conn);
  cyc_pool_release (&pl->conn_pool, ref);
}

static void
count_sent (const struct pl_conn *conn, size_t bytes)
{
  const struct pl_state *pl = conn->pl;

  if (pl->desc.met == NULL)
    return;
  met_add (pl->desc.met, MET_PEER_FRAMES_OUT, 1);
  met_add (pl->desc.met, MET_PEER_BYTES_OUT, bytes);
  if (cyc_pool_live (&pl->peer_pool, conn->peer)
      && !pl->peers[conn->peer.index].same_region)
    met_add (pl->desc.met, MET_PEER_BYTES_OUT_REGION, bytes);
}

bool
pl_conn_send (struct pl_conn *conn, const Cyc__Peer *message)
{
  size_t len = cyc__peer__get_packed_size (message);
  uint8_t *frame;

  if (conn->phase == CONN_FAILING || len == 0 || len > PL_FRAME_MAX_BYTES
      || conn->out.len + len > conn->pl->desc.max_queued_bytes
      || !buffer_reserve (&conn->out, LENGTH_PREFIX_BYTES + len))
    return false;
  frame = conn->out.data + conn->out.start + conn->out.len;
  frame[0] = (uint8_t)(len >> 24);
  frame[1] = (uint8_t)(len >> 16);
  frame[2] = (uint8_t)(len >> 8);
  frame[3] = (uint8_t)len;
  cyc__peer__pack (message, frame + LENGTH_PREFIX_BYTES);
  conn->out.len += LENGTH_PREFIX_BYTES + len;
  count_sent (conn, LENGTH_PREFIX_BYTES + len);
  if (conn->phase != CONN_CONNECTING)
    flush_out (conn);
  return true;
}

bool
pl_conn_send_hello (struct pl_conn *conn)
{
  struct pl_identity *self = &conn->pl->desc.self;
  Cyc__Hello hello = CYC__HELLO__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  hello.protocol = PL_PROTOCOL;
  hello.vm = self->vm.data;
  hello.domain = self->domain.data;
  hello.region = self->region.data;
  hello.role = (Cyc__Role)self->role;
  hello.seat = self->seat;
  hello.incarnation.data = self->incarnation.bytes;
  hello.incarnation.len = sizeof self->incarnation.bytes;
  message.body_case = CYC__PEER__BODY_HELLO;
  message.hello = &hello;
  return pl_conn_send (conn, &message);
}
