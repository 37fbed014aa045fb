#include "fk_relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_BYTES 65536
#define BACKLOG 128

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
  bool silent[2];  /* by direction */
  GPtrArray *open; /* struct link */
};

/* Bytes of direction d come from side d and go to side 1 - d. */
struct flow
{
  char data[BUFFER_BYTES];
  size_t len;
  size_t sent;
  bool gap;   /* bytes were dropped: nothing more is delivered */
  bool ended; /* the source closed its side */
  bool lost_end;
};

struct link
{
  struct fk_relay_pair *pair;
  struct ev_io sides[2]; /* the connecting side, the target */
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

/* Takes the link out of its pair, which must hold it at @p index. */
static void
close_link_at (struct fk_relay_pair *pair, guint index)
{
  struct link *link = g_ptr_array_steal_index_fast (pair->open, index);

  for (int i = 0; i < 2; i++)
    {
      ev_io_stop (pair->relay->loop, &link->sides[i]);
      close (link->sides[i].fd);
    }
  g_free (link);
}

static void
close_link (struct link *link)
{
  guint index;

  if (g_ptr_array_find (link->pair->open, link, &index))
    close_link_at (link->pair, index);
}

static void
watch (struct link *link)
{
  struct ev_loop *loop = link->pair->relay->loop;

  for (int i = 0; i < 2; i++)
    {
      const struct flow *from = &link->flows[i];
      const struct flow *to = &link->flows[1 - i];
      bool may_read = !from->ended && from->len == 0 && !link->connecting;
      bool may_write = to->len > 0 || (link->connecting && i == 1);
      int events = (may_read ? EV_READ : 0) | (may_write ? EV_WRITE : 0);

      ev_io_stop (loop, &link->sides[i]);
      ev_io_set (&link->sides[i], link->sides[i].fd, events);
      if (events != 0)
        ev_io_start (loop, &link->sides[i]);
    }
}

/* Reads from side @p d; false when the connection is broken. */
static bool
read_side (struct link *link, int d)
{
  struct flow *flow = &link->flows[d];
  ssize_t got = read (link->sides[d].fd, flow->data, sizeof flow->data);
  bool drop = link->pair->silent[d] || flow->gap;

  if (got < 0)
    return errno == EAGAIN || errno == EINTR;
  if (got == 0)
    {
      flow->ended = true;
      flow->lost_end = drop;
      if (!drop)
        shutdown (link->sides[1 - d].fd, SHUT_WR);
    }
  else if (drop)
    flow->gap = true;
  else
    {
      flow->len = (size_t)got;
      flow->sent = 0;
    }
  return true;
}

/* Writes what is pending for side @p side; false when it is broken. */
static bool
write_side (struct link *link, int side)
{
  struct flow *flow = &link->flows[1 - side];
  ssize_t done;

  if (flow->len == 0)
    return true;
  done = send (link->sides[side].fd, flow->data + flow->sent,
               flow->len - flow->sent, MSG_NOSIGNAL);
  if (done < 0)
    return errno == EAGAIN || errno == EINTR;
  flow->sent += (size_t)done;
  if (flow->sent == flow->len)
    flow->len = 0;
  return true;
}

static bool
finish_connect (struct link *link)
{
  int error = 0;
  socklen_t len = sizeof error;

  link->connecting = false;
  return getsockopt (link->sides[1].fd, SOL_SOCKET, SO_ERROR, &error, &len)
             == 0
         && error == 0;
}

static void
on_side (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct link *link = watcher->data;
  int side = watcher == &link->sides[1];
  bool whole = true;

  (void)loop;
  if (link->connecting)
    whole = finish_connect (link);
  else if ((events & EV_READ) != 0)
    whole = read_side (link, side) && write_side (link, 1 - side);
  if (whole && (events & EV_WRITE) != 0)
    whole = write_side (link, side);
  if (!whole || (link->flows[FORWARD].ended && link->flows[BACK].ended))
    close_link (link);
  else
    watch (link);
}

static void
on_accept (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct fk_relay_pair *pair = watcher->data;
  struct sockaddr_in address = loopback (pair->target);
  int fds[2]
      = { accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC),
          -1 };
  struct link *link;

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
  link = g_new0 (struct link, 1);
  link->pair = pair;
  link->connecting = true;
  for (int i = 0; i < 2; i++)
    {
      ev_io_init (&link->sides[i], on_side, fds[i], 0);
      link->sides[i].data = link;
    }
  g_ptr_array_add (pair->open, link);
  watch (link);
}

/* shutdown() ends the listening but keeps the port bound, so that connections
   are refused and no other process takes the port during the cut. */
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
  while (pair->open->len > 0)
    close_link_at (pair, 0);
  return shutdown (pair->accept.fd, SHUT_RD) == 0;
}

static void
set_silent (struct fk_relay_pair *pair, const char *silent)
{
  bool both = strcmp (silent, "both") == 0;

  pair->silent[FORWARD] = both || strcmp (silent, "forward") == 0;
  pair->silent[BACK] = both || strcmp (silent, "back") == 0;
  for (guint i = pair->open->len; i-- > 0;)
    {
      const struct link *link = pair->open->pdata[i];

      if ((link->flows[FORWARD].lost_end && !pair->silent[FORWARD])
          || (link->flows[BACK].lost_end && !pair->silent[BACK]))
        close_link_at (pair, i);
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
    }
  json_object_put (json);
  if (found == 0)
    fk_refuse (&relay->hs, call->ref, 404, "no such group");
  else if (!done)
    fk_refuse (&relay->hs, call->ref, 500, "a port cannot listen");
  else
    fk_reply_json (&relay->hs, call->ref, 200, json_object_new_object ());
}

static bool
add_pair (struct fk_relay *relay, struct json_object *row)
{
  struct fk_relay_pair *pair = g_new0 (struct fk_relay_pair, 1);
  struct sockaddr_in address = loopback ((uint16_t)fk_int (row, "listen", 0));
  int fd = open_socket ();
  int on = 1;

  g_strlcpy (pair->group, fk_text (row, "group", ""), sizeof pair->group);
  pair->relay = relay;
  pair->target = (uint16_t)fk_int (row, "target", 0);
  pair->open = g_ptr_array_new ();
  ev_io_init (&pair->accept, on_accept, fd, EV_READ);
  pair->accept.data = pair;
  g_ptr_array_add (relay->pairs, pair);
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, BACKLOG) != 0)
    return false;
  ev_io_start (relay->loop, &pair->accept);
  return true;
}

bool
fk_relay_load (struct fk_relay *relay, const char *path)
{
  struct json_object *json = json_object_from_file (path);
  struct json_object *rows = json_object_object_get (json, "pairs");
  bool done = json_object_is_type (rows, json_type_array);

  for (size_t i = 0; done && i < json_object_array_length (rows); i++)
    done = add_pair (relay, json_object_array_get_idx (rows, i));
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
      while (pair->open->len > 0)
        close_link_at (pair, 0);
      g_ptr_array_unref (pair->open);
      close (pair->accept.fd);
      g_free (pair);
    }
  g_ptr_array_unref (relay->pairs);
}
