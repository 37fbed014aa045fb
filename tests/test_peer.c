/**
 * @file
 * Peer links on loopback: invalid or truncated frames must close only the
 * connection that sent them, and a silent connection must be replaced.
 */
#include "http_client.h"
#include "peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define TEST_TIMEOUT_US 5000000
#define TICK_S 0.005

struct node
{
  struct pl_links links;
  struct ev_loop *loop;
  struct ev_timer timer;
  struct met_set met;
  uint32_t link_ups;
  uint32_t link_downs;
  uint32_t messages;
  uint64_t last_forward_id;
  struct set_address address;
};

static void
on_message (void *user, struct cyc_ref peer, const Cyc__Peer *message)
{
  struct node *node = user;

  (void)peer;
  if (message->body_case == CYC__PEER__BODY_FORWARD)
    {
      node->messages++;
      node->last_forward_id = message->forward->forward_id;
    }
}

static void
on_linked (void *user, struct cyc_ref peer, bool linked)
{
  struct node *node = user;

  (void)peer;
  if (linked)
    node->link_ups++;
  else
    node->link_downs++;
}

static void
on_tick (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct node *node = timer->data;

  (void)loop;
  (void)events;
  pl_tick (&node->links, hc_now_us ());
}

/* Returns a free port: binds a socket to it and closes it again. */
static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  getsockname (fd, (struct sockaddr *)&address, &len);
  close (fd);
  return ntohs (address.sin_port);
}

static void
node_start (struct node *node, struct ev_loop *loop, const char *vm)
{
  struct cyc_findings found = { 0 };
  struct pl_desc desc = { .loop = loop,
                          .heartbeat_ms = 20,
                          .silent_ms = 150,
                          .dead_ms = 400,
                          .met = &node->met,
                          .message = on_message,
                          .linked = on_linked,
                          .user = node };

  memset (node, 0, sizeof *node);
  assert_true (met_setup (&node->met, &(struct met_desc){ 0 }, &found));
  cyc_name_set (&desc.self.vm, cyc_str_of (vm));
  cyc_name_set (&desc.self.domain, CYC_STR ("north-a"));
  cyc_name_set (&desc.self.region, CYC_STR ("north"));
  desc.self.role = SET_ROLE_GATEWAY;
  cyc_id128_random (&desc.self.incarnation);
  snprintf (desc.listen.host, sizeof desc.listen.host, "127.0.0.1");
  desc.listen.port = free_port ();
  node->address = desc.listen;
  node->loop = loop;
  assert_true (pl_setup (&node->links, &desc, &found));
  ev_timer_init (&node->timer, on_tick, TICK_S, TICK_S);
  node->timer.data = node;
  ev_timer_start (loop, &node->timer);
}

static void
node_stop (struct node *node)
{
  ev_timer_stop (node->loop, &node->timer);
  pl_shutdown (&node->links);
  met_shutdown (&node->met);
}

static void
add_known_peer (struct node *node, const struct node *other, const char *vm)
{
  struct set_peer peer
      = { .role = SET_ROLE_GATEWAY, .address = other->address };

  cyc_name_set (&peer.vm, cyc_str_of (vm));
  cyc_name_set (&peer.domain, CYC_STR ("north-a"));
  cyc_name_set (&peer.region, CYC_STR ("north"));
  assert_true (pl_peer_add (&node->links, &peer));
}

/* Starts two nodes, vm-a and vm-b, that connect to each other. */
static void
pair_start (struct node *a, struct node *b, struct ev_loop *loop)
{
  node_start (a, loop, "vm-a");
  node_start (b, loop, "vm-b");
  add_known_peer (a, b, "vm-b");
  add_known_peer (b, a, "vm-a");
}

/* Runs the loop until *value reaches at_least or the timeout passes. */
static bool
run_until (struct ev_loop *loop, const uint32_t *value, uint32_t at_least)
{
  uint64_t deadline_us = hc_now_us () + TEST_TIMEOUT_US;

  while (*value < at_least && hc_now_us () < deadline_us)
    ev_run (loop, EVRUN_ONCE);
  return *value >= at_least;
}

static bool
send_forward (struct node *node, const char *vm, uint64_t id)
{
  Cyc__Forward forward = CYC__FORWARD__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  forward.forward_id = id;
  message.body_case = CYC__PEER__BODY_FORWARD;
  message.forward = &forward;
  return pl_send (&node->links,
                  pl_find (&node->links, cyc_str_of (vm), SET_ROLE_GATEWAY),
                  &message);
}

/* Guards against messages that are lost or reach the wrong end of a link,
   and against a lost link that is not reported. */
static void
messages_reach_the_named_peer_both_ways (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct node a;
  struct node b;

  (void)state;
  pair_start (&a, &b, loop);
  assert_true (run_until (loop, &a.link_ups, 1));
  assert_true (run_until (loop, &b.link_ups, 1));
  assert_true (send_forward (&a, "vm-b", 7));
  assert_true (send_forward (&b, "vm-a", 8));
  assert_true (run_until (loop, &b.messages, 1));
  assert_true (run_until (loop, &a.messages, 1));
  assert_int_equal (b.last_forward_id, 7);
  assert_int_equal (a.last_forward_id, 8);
  node_stop (&a);
  assert_true (run_until (loop, &b.link_downs, 1));
  node_stop (&b);
  ev_loop_destroy (loop);
}

struct bytes_case
{
  const char *name;
  const char *bytes;
  size_t len;
};

/* Each case must close the connection that sent it, and only that one. */
static const struct bytes_case bytes_cases[] = {
  { "empty frame", "\0\0\0\0", 4 },
  { "frame longer than 1 MiB", "\0\x10\0\1", 4 },
  { "length of 4 GiB", "\xff\xff\xff\xff", 4 },
  { "not a protobuf message", "\0\0\0\3\xff\xff\xff", 7 },
  { "first message is not a Hello", "\0\0\0\2\x12\0", 6 },
  { "Hello with protocol 9", "\0\0\0\4\x0a\2\x08\x09", 8 },
  { "Hello without names", "\0\0\0\4\x0a\2\x08\x01", 8 },
  { "truncated length", "\0\0", 2 },
  { "truncated frame", "\0\0\0\x20\x0a", 5 },
};

static int
raw_connect (const struct node *node)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (node->address.port) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  return fd;
}

/* Returns whether the other end closes the connection within the timeout. */
static bool
closed_by_other (struct ev_loop *loop, int fd)
{
  uint64_t deadline_us = hc_now_us () + TEST_TIMEOUT_US;
  char discarded[4096];

  while (hc_now_us () < deadline_us)
    {
      ssize_t got;

      ev_run (loop, EVRUN_ONCE);
      got = recv (fd, discarded, sizeof discarded, MSG_DONTWAIT);
      if (got == 0)
        return true;
    }
  return false;
}

static void
invalid_frames_close_only_their_connection (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct node a;
  struct node b;

  (void)state;
  pair_start (&a, &b, loop);
  assert_true (run_until (loop, &b.link_ups, 1));
  for (size_t i = 0; i < sizeof bytes_cases / sizeof bytes_cases[0]; i++)
    {
      int fd = raw_connect (&b);

      print_message ("case: %s\n", bytes_cases[i].name);
      assert_int_equal (send (fd, bytes_cases[i].bytes, bytes_cases[i].len, 0),
                        bytes_cases[i].len);
      assert_true (closed_by_other (loop, fd));
      close (fd);
    }
  assert_int_equal (b.link_downs, 0);
  assert_true (send_forward (&a, "vm-b", 9));
  assert_true (run_until (loop, &b.messages, 1));
  node_stop (&a);
  node_stop (&b);
  ev_loop_destroy (loop);
}

/* Guards against links that stay down after a middlebox drops the packets of a
   connection without closing it. The peer's timer is stopped, so that its end
   goes silent while the connection stays open. The other side must detect that
   and link again as soon as the peer answers. */
static void
silent_connection_is_replaced (void **state)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct node a;
  struct node b;

  (void)state;
  pair_start (&a, &b, loop);
  assert_true (run_until (loop, &a.link_ups, 1));
  ev_timer_stop (loop, &b.timer);
  assert_true (run_until (loop, &a.link_downs, 1));
  ev_timer_start (loop, &b.timer);
  assert_true (run_until (loop, &a.link_ups, 2));
  assert_true (run_until (loop, &b.link_ups, 2));
  assert_true (send_forward (&a, "vm-b", 5));
  assert_true (run_until (loop, &b.messages, 1));
  node_stop (&a);
  node_stop (&b);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (messages_reach_the_named_peer_both_ways),
    cmocka_unit_test (invalid_frames_close_only_their_connection),
    cmocka_unit_test (silent_connection_is_replaced),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
