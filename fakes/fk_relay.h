/**
 * @file
 * TCP relay between pairs of loopback ports, so that a test can cut a link
 * without touching the processes at its ends. A pair belongs to a named group.
 * `POST /faults` sets the state of {"group":NAME}, or of all groups without
 * that member:
 *
 * - "cut": true closes the connections and refuses new ones;
 * - "silent": "none", "forward" (from the connecting side), "back" or "both":
 *   bytes of that direction are read and dropped, connections stay open.
 *
 * TCP never delivers a stream with a gap. A connection that has lost bytes
 * therefore stays silent in that direction after the fault has ended, and one
 * that has lost the end of a stream is closed then.
 */
#ifndef FK_RELAY_H
#define FK_RELAY_H

#include "fk_common.h"

struct fk_relay
{
  struct hs_server hs;
  struct ev_loop *loop;
  GPtrArray *pairs; /**< struct fk_relay_pair */
};

/** Reads {"pairs":[{"group","listen","target"}]} and listens on the ports of
 * 127.0.0.1; false when the file holds no pairs or a port is taken. */
bool fk_relay_load (struct fk_relay *relay, const char *path);
bool fk_relay_setup (struct fk_relay *relay, struct ev_loop *loop,
                     uint16_t port, struct cyc_findings *findings);
void fk_relay_shutdown (struct fk_relay *relay);

#endif
