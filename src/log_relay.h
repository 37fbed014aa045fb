/**
 * @file
 * Access to the platform's log, if necessary through another entry VM: a log
 * port that makes each call directly and relays it to a linked VM if the
 * direct connection to the log fails while that VM still reaches the log.
 *
 * A relayed call may be made twice. That is harmless for every stream: keyed
 * records may repeat, the leader's records carry an epoch and a sequence
 * number, and a claim of the leadership gives the expected end of its stream.
 *
 * @code
 * relay_setup (&relay, &(struct relay_desc){ .direct = log, ... });
 * tail_setup (&tail, &(struct tail_desc){ .log = &relay.log, ... });
 * @endcode
 *
 * Errors: if neither the direct nor the relayed call is answered by the
 * deadline, an append ends with PT_UNKNOWN and a read with PT_REFUSED.
 */
#ifndef LOG_RELAY_H
#define LOG_RELAY_H

#include "peer.h"
#include "ports.h"

#include <glib.h>

struct relay_desc
{
  struct pt_log *direct; /**< log port that makes the direct calls */
  struct pl_links *links;
  uint64_t first_call; /**< number of the first call; an earlier process of the
                            VM has used none from here on */
};

struct relay_call;

struct log_relay
{
  struct pt_log log; /**< port for callers; must be the first member */
  struct relay_desc desc;
  GHashTable *calls; /**< number to struct relay_call */
  uint64_t next_call;
  uint64_t direct_success_us;  /**< last success of a direct call; 0 if none */
  uint64_t direct_progress_us; /**< when bytes of an answer last arrived
                                    directly; 0 if none did */
  uint64_t next_probe_us;      /**< next direct call while calls are relayed */
  uint32_t direct_failures;    /**< consecutive failures of direct calls */
  bool relaying; /**< calls are relayed until a direct one succeeds */
  uint64_t relayed_calls;
};

void relay_setup (struct log_relay *relay, const struct relay_desc *desc);
void relay_shutdown (struct log_relay *relay);
/** Relays direct calls without an answer and ends relayed calls whose deadline
 * has passed. Call on every tick. */
void relay_tick (struct log_relay *relay, uint64_t now_us);
/** Returns whether no calls are being relayed and a direct call succeeded
 * recently. */
bool relay_direct_works (const struct log_relay *relay, uint64_t now_us);
/** Makes the call of another VM, which is answered by a message. */
void relay_on_ask (struct log_relay *relay, struct cyc_ref peer,
                   const Cyc__LogAsk *ask);
/** Ends the relayed call that @p answer belongs to, if it is still open. */
void relay_on_answer (struct log_relay *relay, const Cyc__LogAnswer *answer);

#endif
