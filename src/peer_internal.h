/**
 * @file
 * State of the peer links, shared by peer.c (peers, health, public functions)
 * and peer_conn.c (sockets and frames).
 */
#ifndef PEER_INTERNAL_H
#define PEER_INTERNAL_H

#include "peer.h"

enum conn_phase
{
  CONN_CONNECTING,
  CONN_HELLO, /**< connected, waiting for the peer's Hello */
  CONN_OPEN,
  CONN_FAILING /**< closed by the next tick */
};

struct pl_buffer
{
  uint8_t *data;
  size_t start; /**< first byte in use */
  size_t len;   /**< bytes in use */
  size_t capacity;
};

struct pl_conn
{
  struct pl_state *pl;
  struct cyc_ref ref;
  struct cyc_ref peer; /**< generation 0 on an accepted connection until
                          its Hello identifies the peer */
  enum conn_phase phase;
  int fd;
  struct ev_io reader;
  struct ev_io writer;
  struct pl_buffer in;
  struct pl_buffer out;
  uint64_t silent_deadline_us;
  char failure_reason[80];
};

struct pl_peer
{
  struct pl_identity identity;
  struct set_address address;
  bool configured; /**< has an address to connect to */
  bool same_region;
  struct cyc_ref conn; /**< generation 0 if neither linked nor connecting */
  bool linked;
  uint64_t linked_us; /**< when the last Hello was accepted */
  enum pl_health health;
  uint32_t consecutive_heartbeats;
  uint64_t suspect_deadline_us;
  uint64_t dead_deadline_us;
  uint64_t next_connect_us;
  uint32_t connect_failures;
  uint64_t control_next;
  uint64_t fresh_us;
  uint64_t owned_epoch;
  bool draining;
};

struct pl_state
{
  struct pl_desc desc;
  int listen_fd;
  struct ev_io listener;
  struct cyc_pool peer_pool;
  struct pl_peer *peers;
  struct cyc_pool conn_pool;
  struct pl_conn *conns;
  uint64_t next_heartbeat_us;
  size_t input_bytes; /**< of the input buffers of all connections */
};

/** Adds a connection for the connected or connecting socket @p fd. If the
 * table is full, closes the socket and returns false. */
bool pl_conn_open (struct pl_state *pl, int fd, enum conn_phase phase,
                   struct cyc_ref peer);
void pl_conn_close (struct pl_conn *conn);
/** Marks the connection to be closed by the next tick, so that no
 * connection is released while a caller iterates over the table. */
void pl_conn_fail (struct pl_conn *conn, const char *failure_reason);
/** Returns false if the connection has failed, its queue is full or the
 * message is longer than a frame. */
bool pl_conn_send (struct pl_conn *conn, const Cyc__Peer *message);
bool pl_conn_send_hello (struct pl_conn *conn);

/** Handles the message of one complete frame that arrived on @p conn. */
void pl_on_message (struct pl_conn *conn, const Cyc__Peer *message);

#endif
