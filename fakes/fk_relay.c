#include "fk_relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_BYTES 65536
#define BACKLOG 128
/** Interval at which a pair of limited width may carry more bytes. */
#define WIDTH_PERIOD_S 0.005
/** Most bytes of one connection at a time on a pair of limited width. */
#define WIDTH_CHUNK_BYTES 4096

enum
{
  FORWARD,
  BACK
};

struct fk_relay_pair
{
  struct fk_relay *relay;
  char group[32];
  uint16_t target;
  struct ev_io accept;
  bool cut;
  bool silent[2];    /* by direction: bytes are dropped */
  uint32_t width;    /* bytes a second in each direction; 0: no limit */
  double credit[2];  /* bytes that may be read now */
  uint64_t bytes[2]; /* carried so far */
  guint turn;        /* number of the connection that is served first */
  struct ev_timer refill;
  GPtrArray *connections; /* struct connection */
};

/* Buffer of one direction d of a connection: bytes are read from side d and
   written to side 1 - d. */
struct flow
{
  char data[BUFFER_BYTES];
  size_t len;
  size_t sent;
  bool bytes_dropped; /* since then nothing is delivered */
  bool ended;         /* the source has closed its side */
  bool end_dropped;   /* the close was not passed on to the other side */
};

struct connection
{
  struct fk_relay_pair *pair;
  struct ev_io sides[2]; /* 0: the connecting client, 1: the target */
  struct flow flows[2];
  bool connecting;
};

static int
open_socket (void)
{
  return socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static struct sockaddr_in
loopback (uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

/* Closes both sockets and frees the connection at @p index of the pair. */
static void
close_connection_at (struct fk_relay_pair *pair, guint index)
{
  struct connection *connection
      = g_ptr_array_steal_index_fast (pair->connections, index);

  for (int i = 0; i < 2; i++)
    {
      ev_io_stop (pair->relay->loop, &connection->sides[i]);
      close (connection->sides[i].fd);
    }
  g_free (connection);
}

static void
close_connection (struct connection *connection)
{
  guint index;

  if (g_ptr_array_find (connection->pair->connections, connection, &index))
    close_connection_at (connection->pair, index);
}

static void
update_watchers (struct connection *connection)
{
  struct ev_loop *loop = connection->pair->relay->loop;

  for (int i = 0; i < 2; i++)
    {
      const struct flow *from = &connection->flows[i];
      const struct flow *to = &connection->flows[1 - i];
      bool may_read = !from->ended && from->len == 0 && !connection->connecting
                      && connection->pair->width == 0;
      bool may_write = to->len > 0 || (connection->connecting && i == 1);
      int events = (may_read ? EV_READ : 0) | (may_write ? EV_WRITE : 0);

      ev_io_stop (loop, &connection->sides[i]);
      ev_io_set (&connection->sides[i], connection->sides[i].fd, events);
      if (events != 0)
        ev_io_start (loop, &connection->sides[i]);
    }
}

/* Reads from side @p d; false if the connection failed. */
static bool
read_from_side (struct connection *connection, int d)
{
  struct flow *flow = &connection->flows[d];
  struct fk_relay_pair *pair = connection->pair;
  size_t max = pair->width != 0
                   ? MIN ((size_t)pair->credit[d], WIDTH_CHUNK_BYTES)
                   : sizeof flow->data;
  bool drop = pair->silent[d] || flow->bytes_dropped;
  ssize_t received;

  received = read (connection->sides[d].fd, flow->data, max);
  if (received < 0)
    return errno == EAGAIN || errno == EINTR;
  pair->credit[d] -= (double)received;
  pair->bytes[d] += (uint64_t)received;
  if (received == 0)
    {
      flow->ended = true;
      flow->end_dropped = drop;
      if (!drop)
        shutdown (connection->sides[1 - d].fd, SHUT_WR);
    }
  else if (drop)
    flow->bytes_dropped = true;
  else
    {
      flow->len = (size_t)received;
      flow->sent = 0;
    }
  return true;
}

/* Writes buffered bytes to side @p side; false if the connection failed. */
static bool
write_to_side (struct connection *connection, int side)
{
  struct flow *flow = &connection->flows[1 - side];
  ssize_t done;

  if (flow->len == 0)
    return true;
  done = send (connection->sides[side].fd, flow->data + flow->sent,
               flow->len - flow->sent, MSG_NOSIGNAL);
  if (done < 0)
    return errno == EAGAIN || errno == EINTR;
  flow->sent += (size_t)done;
  if (flow->sent == flow->len)
    flow->len = 0;
  return true;
}

static bool
finish_connect (struct connection *connection)
{
  int error = 0;
  socklen_t len = sizeof error;

  connection->connecting = false;
  return getsockopt (connection->sides[1].fd, SOL_SOCKET, SO_ERROR, &error,
                     &len)
             == 0
         && error == 0;
}

static void
on_side (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct connection *connection = watcher->data;
  int side = watcher == &connection->sides[1];
  bool intact = true;

  (void)loop;
  if (connection->connecting)
    intact = finish_connect (connection);
  else if ((events & EV_READ) != 0)
    intact = read_from_side (connection, side)
             && write_to_side (connection, 1 - side);
  if (intact && (events & EV_WRITE) != 0)
    intact = write_to_side (connection, side);
  if (!intact
      || (connection->flows[FORWARD].ended && connection->flows[BACK].ended))
    close_connection (connection);
  else
    update_watchers (connection);
}

static void
on_accept (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct fk_relay_pair *pair = watcher->data;
  struct sockaddr_in address = loopback (pair->target);
  int fds[2]
      = { accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC),
          -1 };
  struct connection *connection;

  (void)loop;
  (void)events;
  if (fds[0] < 0)
    return;
  fds[1] = open_socket ();
  if (fds[1] < 0
      || (connect (fds[1], (struct sockaddr *)&address, sizeof address) != 0
          && errno != EINPROGRESS))
    {
      close (fds[0]);
      if (fds[1] >= 0)
        close (fds[1]);
      return;
    }
  connection = g_new0 (struct connection, 1);
  connection->pair = pair;
  connection->connecting = true;
  for (int i = 0; i < 2; i++)
    {
      ev_io_init (&connection->sides[i], on_side, fds[i], 0);
      connection->sides[i].data = connection;
    }
  g_ptr_array_add (pair->connections, connection);
  update_watchers (connection);
}

/* Carries the next bytes of a connection, if it has any, in direction @p d. */
static void
serve (struct connection *connection, int d)
{
  const struct flow *flow = &connection->flows[d];

  if (flow->ended || flow->len > 0 || connection->connecting)
    return;
  if (!read_from_side (connection, d) || !write_to_side (connection, 1 - d))
    close_connection (connection);
  else
    update_watchers (connection);
}

/* Serves all connections in turn, until none has bytes left or the width is
   used up. */
static void
serve_all (struct fk_relay_pair *pair, int d)
{
  uint64_t before;

  do
    {
      before = pair->bytes[d];
      for (guint i = 0; i < pair->connections->len && pair->credit[d] >= 1.0;
           i++)
        serve (pair->connections
                   ->pdata[(pair->turn + i) % pair->connections->len],
               d);
    }
  while (pair->bytes[d] > before && pair->credit[d] >= 1.0);
}

static void
on_refill (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct fk_relay_pair *pair = timer->data;
  double refill = pair->width * WIDTH_PERIOD_S;

  (void)loop;
  (void)events;
  pair->turn++;
  for (int d = 0; d < 2; d++)
    {
      pair->credit[d] = MIN (pair->credit[d] + refill, 2 * refill);
      serve_all (pair, d);
    }
}

static void
set_width (struct fk_relay_pair *pair, uint32_t bytes_per_s)
{
  pair->width = bytes_per_s;
  pair->credit[FORWARD] = 0;
  pair->credit[BACK] = 0;
  if (bytes_per_s != 0)
    ev_timer_again (pair->relay->loop, &pair->refill);
  else
    ev_timer_stop (pair->relay->loop, &pair->refill);
  for (guint i = 0; i < pair->connections->len; i++)
    update_watchers (g_ptr_array_index (pair->connections, i));
}

/* shutdown() stops listening but keeps the port bound, so connections are
   refused and no other process can take the port while it is cut. */
static bool
set_cut (struct fk_relay_pair *pair, bool cut)
{
  struct ev_loop *loop = pair->relay->loop;

  if (cut == pair->cut)
    return true;
  pair->cut = cut;
  if (!cut)
    {
      ev_io_start (loop, &pair->accept);
      return listen (pair->accept.fd, BACKLOG) == 0;
    }
  ev_io_stop (loop, &pair->accept);
  while (pair->connections->len > 0)
    close_connection_at (pair, 0);
  return shutdown (pair->accept.fd, SHUT_RD) == 0;
}

static void
set_silent (struct fk_relay_pair *pair, const char *silent)
{
  bool both = strcmp (silent, "both") == 0;

  pair->silent[FORWARD] = both || strcmp (silent, "forward") == 0;
  pair->silent[BACK] = both || strcmp (silent, "back") == 0;
  for (guint i = pair->connections->len; i-- > 0;)
    {
      const struct connection *connection = pair->connections->pdata[i];

      if ((connection->flows[FORWARD].end_dropped && !pair->silent[FORWARD])
          || (connection->flows[BACK].end_dropped && !pair->silent[BACK]))
        close_connection_at (pair, i);
    }
}

static void
on_call (void *user, const struct hs_call *call)
{
  struct fk_relay *relay = user;
  struct json_object *json = fk_parse (call->body);
  const char *group = json ? fk_text (json, "group", NULL) : NULL;
  const char *silent = json ? fk_text (json, "silent", NULL) : NULL;
  uint32_t found = 0;
  bool done = true;

  if (json == NULL || !cyc_str_eq (call->path, CYC_STR ("/faults")))
    {
      json_object_put (json);
      fk_refuse (&relay->hs, call->ref, 400, "no fault");
      return;
    }
  for (guint i = 0; i < relay->pairs->len; i++)
    {
      struct fk_relay_pair *pair = relay->pairs->pdata[i];

      if (group != NULL && strcmp (group, pair->group) != 0)
        continue;
      found++;
      done = set_cut (pair, fk_bool (json, "cut", pair->cut)) && done;
      if (silent != NULL)
        set_silent (pair, silent);
      set_width (pair, (uint32_t)fk_int (json, "width", pair->width));
    }
  json_object_put (json);
  if (found == 0)
    fk_refuse (&relay->hs, call->ref, 404, "no such group");
  else if (!done)
    fk_refuse (&relay->hs, call->ref, 500, "a port cannot listen");
  else
    fk_reply_json (&relay->hs, call->ref, 200, json_object_new_object ());
}

uint16_t
fk_relay_add (struct fk_relay *relay, const char *group, uint16_t listen_port,
              uint16_t target)
{
  struct fk_relay_pair *pair = g_new0 (struct fk_relay_pair, 1);
  struct sockaddr_in address = loopback (listen_port);
  socklen_t address_len = sizeof address;
  int fd = open_socket ();
  int on = 1;

  g_strlcpy (pair->group, group, sizeof pair->group);
  pair->relay = relay;
  pair->target = target;
  pair->connections = g_ptr_array_new ();
  ev_io_init (&pair->accept, on_accept, fd, EV_READ);
  pair->accept.data = pair;
  ev_timer_init (&pair->refill, on_refill, WIDTH_PERIOD_S, WIDTH_PERIOD_S);
  pair->refill.data = pair;
  g_ptr_array_add (relay->pairs, pair);
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&address, &address_len) != 0)
    return 0;
  ev_io_start (relay->loop, &pair->accept);
  return ntohs (address.sin_port);
}

void
fk_relay_set_width (struct fk_relay *relay, const char *group,
                    uint32_t bytes_per_s)
{
  for (guint i = 0; i < relay->pairs->len; i++)
    {
      struct fk_relay_pair *pair = relay->pairs->pdata[i];

      if (strcmp (group, pair->group) == 0)
        set_width (pair, bytes_per_s);
    }
}

void
fk_relay_set_silent (struct fk_relay *relay, const char *group,
                     const char *silent)
{
  for (guint i = 0; i < relay->pairs->len; i++)
    {
      struct fk_relay_pair *pair = relay->pairs->pdata[i];

      if (strcmp (group, pair->group) == 0)
        set_silent (pair, silent);
    }
}

uint64_t
fk_relay_bytes_back (const struct fk_relay *relay, const char *group)
{
  uint64_t bytes = 0;

  for (guint i = 0; i < relay->pairs->len; i++)
    {
      const struct fk_relay_pair *pair = relay->pairs->pdata[i];

      if (strcmp (group, pair->group) == 0)
        bytes += pair->bytes[BACK];
    }
  return bytes;
}

bool
fk_relay_load (struct fk_relay *relay, const char *path)
{
  struct json_object *json = json_object_from_file (path);
  struct json_object *rows = json_object_object_get (json, "pairs");
  bool done = json_object_is_type (rows, json_type_array);

  for (size_t i = 0; done && i < json_object_array_length (rows); i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);

      done = fk_relay_add (relay, fk_text (row, "group", ""),
                           (uint16_t)fk_int (row, "listen", 0),
                           (uint16_t)fk_int (row, "target", 0))
             != 0;
    }
  json_object_put (json);
  return done;
}

bool
fk_relay_setup (struct fk_relay *relay, struct ev_loop *loop, uint16_t port,
                struct cyc_findings *findings)
{
  memset (relay, 0, sizeof *relay);
  relay->loop = loop;
  relay->pairs = g_ptr_array_new ();
  return hs_setup (&relay->hs,
                   &(struct hs_desc){ .loop = loop,
                                      .address = "127.0.0.1",
                                      .port = port,
                                      .handle = on_call,
                                      .user = relay },
                   findings);
}

void
fk_relay_shutdown (struct fk_relay *relay)
{
  hs_shutdown (&relay->hs);
  for (guint i = 0; i < relay->pairs->len; i++)
    {
      struct fk_relay_pair *pair = relay->pairs->pdata[i];

      ev_io_stop (relay->loop, &pair->accept);
      ev_timer_stop (relay->loop, &pair->refill);
      while (pair->connections->len > 0)
        close_connection_at (pair, 0);
      g_ptr_array_unref (pair->connections);
      close (pair->accept.fd);
      g_free (pair);
    }
  g_ptr_array_unref (relay->pairs);
}
