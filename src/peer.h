/**
 * @file
 * Links between the project's own processes: TCP frames that carry protobuf
 * messages, with a hello, heartbeats and replacement of silent connections.
 *
 * A process listens; of each pair of peers the one with the smaller (vm, role)
 * connects, so a pair has one connection. A frame is a 4-byte big-endian
 * length (1 to 1 MiB) and one cyc.Peer message. A connection on which nothing
 * arrives for `silent_ms` is closed and opened anew, which tells a connection
 * that went silent from a peer that is dead. A process that is not among the
 * peers of the settings may connect too; its Hello names it.
 *
 * @code
 * pl_setup (&pl, &(struct pl_desc){ .loop = loop, .self = self,
 *                                   .message = on_message, .user = this },
 *           &found);
 * pl_peer_add (&pl, &peer);
 * pl_send (&pl, ref, &message);
 * @endcode
 *
 * Errors: a frame that is empty, too long or no cyc.Peer, a wrong protocol
 * version and a second Hello end the connection with an event that says why.
 */
#ifndef PEER_H
#define PEER_H

#include "metrics.h"
#include "peer.pb-c.h"
#include "settings.h"

#include <ev.h>

#define PL_FRAME_MAX_BYTES ((size_t)1024 * 1024)
#define PL_PROTOCOL 1

struct pl_identity
{
  struct cyc_name vm;
  struct cyc_name domain;
  struct cyc_name region;
  enum set_role role;
  uint32_t seat;
  struct cyc_id128 incarnation;
};

enum pl_health
{
  PL_DEAD = 0, /**< nothing heard for `dead_ms`, or never */
  PL_SUSPECT,
  PL_ALIVE
};

struct pl_peer_view
{
  struct pl_identity identity;
  enum pl_health health;
  bool linked; /**< a connection with a finished hello */
  uint64_t control_next;
  uint64_t fresh_us; /**< age already subtracted; 0: never */
  uint64_t owned_epoch;
  bool draining;
};

/** What this process says in its heartbeats. */
struct pl_self_state
{
  uint64_t control_next;
  uint64_t fresh_us;
  uint64_t owned_epoch;
  bool draining;
};

struct pl_desc
{
  struct ev_loop *loop;
  struct pl_identity self;
  struct set_address listen;
  uint32_t max_peers;        /**< 0: 512 */
  uint32_t heartbeat_ms;     /**< 0: 1,000 */
  uint32_t silent_ms;        /**< 0: 3,500 */
  uint32_t dead_ms;          /**< 0: 10,000 */
  uint32_t max_queued_bytes; /**< to one peer; 0: 8 MiB */
  struct met_set *met;       /**< may be NULL */
  void (*self_state) (void *user, struct pl_self_state *out);
  /** Every message but Hello; Heartbeat after the view was updated. */
  void (*message) (void *user, struct cyc_ref peer, const Cyc__Peer *message);
  /** The link came up (true) or went down. */
  void (*linked) (void *user, struct cyc_ref peer, bool linked);
  void *user;
};

struct pl_links
{
  struct pl_state *state; /**< private */
};

bool pl_setup (struct pl_links *pl, const struct pl_desc *desc,
               struct cyc_findings *findings);
/** Sends Goodbye on every link and closes. */
void pl_shutdown (struct pl_links *pl);
/** A peer to connect to; false when the table is full. */
bool pl_peer_add (struct pl_links *pl, const struct set_peer *peer);
/** Suspicion, heartbeats, reconnects. Call each tick. */
void pl_tick (struct pl_links *pl, uint64_t now_us);
/** Encodes and queues; false when not linked or the queue is full. */
bool pl_send (struct pl_links *pl, struct cyc_ref peer,
              const Cyc__Peer *message);
/** Iterates over peers; start with *cursor = 0. */
bool pl_next (const struct pl_links *pl, uint32_t *cursor, struct cyc_ref *ref,
              struct pl_peer_view *out);
bool pl_view (const struct pl_links *pl, struct cyc_ref ref,
              struct pl_peer_view *out);
/** Generation 0 when there is none. */
struct cyc_ref pl_find (const struct pl_links *pl, struct cyc_str vm,
                        enum set_role role);

#endif
