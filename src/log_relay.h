/**
 * @file
 * The platform's log through another entry VM: a port that makes each call
 * itself and, when its own way to the log fails while that of a linked VM
 * works, passes the call on to that VM.
 *
 * A call that was passed on may be made twice. That is harmless for every
 * stream: records with keys may repeat, the leader's records carry an epoch
 * and a sequence number, and a claim of the leadership names the end of its
 * stream.
 *
 * @code
 * relay_setup (&relay, &(struct relay_desc){ .direct = log, ... });
 * tail_setup (&tail, &(struct tail_desc){ .log = &relay.log, ... });
 * @endcode
 */
#ifndef LOG_RELAY_H
#define LOG_RELAY_H

#include "peer.h"
#include "ports.h"

#include <glib.h>

struct relay_desc
{
  struct pt_log *direct;
  struct pl_links *links;
};

struct relay_call;

struct log_relay
{
  struct pt_log log;
  struct relay_desc desc;
  GHashTable *calls; /**< number to struct relay_call */
  uint64_t next_call;
  uint64_t direct_success_us; /**< a direct call succeeded then; 0: never */
  uint64_t next_probe_us;     /**< next direct try while the way fails */
  uint32_t direct_failures;   /**< direct calls in a row */
  bool relaying;              /**< calls are passed on */
  uint64_t relayed_calls;
};

void relay_setup (struct log_relay *relay, const struct relay_desc *desc);
void relay_shutdown (struct log_relay *relay);
/** Passes on calls that got no answer; call each tick. */
void relay_tick (struct log_relay *relay, uint64_t now_us);
/** The own way to the log worked lately. */
bool relay_direct_works (const struct log_relay *relay, uint64_t now_us);
void relay_on_ask (struct log_relay *relay, struct cyc_ref peer,
                   const Cyc__LogAsk *ask);
void relay_on_answer (struct log_relay *relay, const Cyc__LogAnswer *answer);

#endif
