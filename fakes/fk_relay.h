/**
 * @file
 * TCP relay between pairs of loopback ports, by which a test interrupts the
 * network between two processes without touching them. Each pair belongs to a
 * named group. `POST /faults` sets the state of the group named by "group", or
 * of all groups if that member is absent:
 *
 * - "cut": true closes all connections and refuses new ones;
 * - "silent": "none", "forward" (from the connecting side), "back" or "both":
 *   bytes in that direction are read and dropped, connections stay open;
 * - "width": bytes a second that the connections of a pair carry together, in
 *   each direction; 0: no limit.
 *
 * TCP never delivers a stream with missing bytes. A connection that dropped
 * bytes therefore delivers nothing more in that direction after the fault has
 * ended, and one that dropped the end of a stream is closed at that time.
 */
#ifndef FK_RELAY_H
#define FK_RELAY_H

#include "fk_common.h"

struct fk_relay
{
  struct hs_server hs;
  struct ev_loop *loop;
  GPtrArray *pairs; /**< of struct fk_relay_pair */
};

/** Reads {"pairs":[{"group","listen","target"}]} from the file @p path and
 * listens on the "listen" ports of 127.0.0.1; false if the file has no pairs
 * or a port cannot be bound. */
bool fk_relay_load (struct fk_relay *relay, const char *path);
/** Adds a pair: what connects to @p listen, 0 for any free port, is relayed to
 * @p target. Returns the port, 0 if it cannot be bound. */
uint16_t fk_relay_add (struct fk_relay *relay, const char *group,
                       uint16_t listen, uint16_t target);
/** Sets the width of each pair of the group. */
void fk_relay_set_width (struct fk_relay *relay, const char *group,
                         uint32_t bytes_per_s);
/** Sets "silent" of each pair of the group. */
void fk_relay_set_silent (struct fk_relay *relay, const char *group,
                          const char *silent);
/** Returns the bytes that the group's pairs have carried to the connecting
 * side. */
uint64_t fk_relay_bytes_back (const struct fk_relay *relay, const char *group);
bool fk_relay_setup (struct fk_relay *relay, struct ev_loop *loop,
                     uint16_t port, struct cyc_findings *findings);
void fk_relay_shutdown (struct fk_relay *relay);

#endif
