/**
 * @file
 * Links between cyclamendrum processes: framed protobuf messages over TCP,
 * with a Hello handshake, heartbeats and replacement of silent connections.
 *
 * Every process listens. In each pair of peers the one with the smaller
 * (vm, role) connects, so that a pair shares one connection. A frame is a
 * 4-byte big-endian length (1 byte to 1 MiB) followed by one cyc.Peer message.
 * A connection on which nothing arrives for `silent_ms` is closed and
 * reopened, which distinguishes a broken connection from a dead peer. A
 * process that is not listed in the settings may connect as well; its Hello
 * identifies it.
 *
 * Order of calls: pl_setup, pl_peer_add for each configured peer, then pl_tick
 * on every tick; pl_shutdown at the end.
 *
 * @code
 * pl_setup (&pl, &(struct pl_desc){ .loop = loop, .self = self,
 *                                   .message = on_message, .user = this },
 *           &found);
 * pl_peer_add (&pl, &peer);
 * pl_send (&pl, ref, &message);
 * @endcode
 *
 * Errors: a frame that is empty, too long or not a cyc.Peer message, a
 * different protocol version, an invalid Hello and a second Hello close the
 * connection. The event `peer_refused` reports a rejected Hello; `peer_down`
 * gives the reason if the link was up.
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
  PL_DEAD = 0, /**< no heartbeat for `dead_ms`, or none yet */
  PL_SUSPECT,  /**< no heartbeat for `silent_ms`, or fewer than two since */
  PL_ALIVE
};

struct pl_peer_view
{
  struct pl_identity identity;
  enum pl_health health;
  bool linked;           /**< connected, and the peer's Hello was accepted */
  uint64_t linked_us;    /**< when it was accepted; local monotonic time */
  uint64_t control_next; /**< next control offset that the peer applies */
  /** Local monotonic time at which the peer's view of the log was last
   * current; 0 if never. */
  uint64_t fresh_us;
  uint64_t owned_epoch; /**< 0 if the peer is not the owner */
  bool draining;
};

/** State of this process that its heartbeats report. */
struct pl_self_state
{
  uint64_t control_next; /**< next control offset to apply */
  uint64_t fresh_us;     /**< monotonic time at which the view of the log was
                              last current; 0 if never */
  uint64_t owned_epoch;  /**< 0 if not the owner */
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
  uint32_t max_queued_bytes; /**< bound per connection; 0: 8 MiB */
  size_t max_input_bytes;    /**< bound on the input buffers of all connections
                                  together; 0: 64 MiB */
  struct met_set *met;       /**< may be NULL */
  /** Fills in the state for the next heartbeats; may be NULL. */
  void (*self_state) (void *user, struct pl_self_state *out);
  /** Called for every message except Hello. For a Heartbeat the peer's view is
   * updated first. */
  void (*message) (void *user, struct cyc_ref peer, const Cyc__Peer *message);
  /** Called when a link comes up (true) or goes down (false); may be NULL. */
  void (*linked) (void *user, struct cyc_ref peer, bool linked);
  void *user;
};

struct pl_links
{
  struct pl_state *state; /**< private */
};

/** Starts listening. Returns false and adds a finding if @p desc is invalid,
 * memory runs out or the address is not available. */
bool pl_setup (struct pl_links *pl, const struct pl_desc *desc,
               struct cyc_findings *findings);
/** Sends Goodbye on every link and closes all sockets. */
void pl_shutdown (struct pl_links *pl);
/** Adds or updates a configured peer. Returns false if the table is full. */
bool pl_peer_add (struct pl_links *pl, const struct set_peer *peer);
/** Updates health, closes silent connections, reconnects and sends heartbeats.
 * Call on every tick. */
void pl_tick (struct pl_links *pl, uint64_t now_us);
/** Encodes and queues @p message. Returns false if the peer is not linked, its
 * queue is full or the message is longer than a frame. */
bool pl_send (struct pl_links *pl, struct cyc_ref peer,
              const Cyc__Peer *message);
/** Iterates over the peers; start with `*cursor` = 0. Returns false at the
 * end. */
bool pl_next (const struct pl_links *pl, uint32_t *cursor, struct cyc_ref *ref,
              struct pl_peer_view *out);
/** Returns false if @p ref is stale. */
bool pl_view (const struct pl_links *pl, struct cyc_ref ref,
              struct pl_peer_view *out);
/** Returns generation 0 if there is no such peer. */
struct cyc_ref pl_find (const struct pl_links *pl, struct cyc_str vm,
                        enum set_role role);

#endif
