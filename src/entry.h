/**
 * @file
 * The process of an entry VM: takes callers' requests, keeps accepted jobs in
 * the platform's log, and, on one VM at a time, leads: decides on all runs
 * and gives the orders to the workers.
 *
 * @code
 * entry_setup (&entry, &(struct entry_desc){ .loop = loop, ... }, &found);
 * ev_run (loop, 0);
 * @endcode
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "entry_settings.h"
#include "log_relay.h"
#include "metrics.h"
#include "peer.h"
#include "ports.h"
#include "tail.h"

#include "cell.pb-c.h"
#include <glib.h>

struct entry_desc
{
  struct ev_loop *loop;
  const struct ent_settings *settings;
  const struct pt_ports *ports;
  void (*stopped) (void *user);
  void *user;
};

/** A caller's request that waits for an answer. */
struct entry_call
{
  struct cyc_ref call; /**< of the caller's port */
  enum pt_verb verb;
  uint64_t job;
  struct cyc_name queue;
  uint64_t received_us;
  uint64_t deadline_us;
  uint64_t next_ask_us; /**< the leader was asked; 0: was not yet */
  bool awaiting_leader; /**< waits for the leader's answer */
};

/** What the stream of claims says. */
struct entry_leader
{
  struct cyc_name vm;
  struct set_address address;
  struct cyc_id128 incarnation; /**< of the process that claimed */
  uint64_t epoch;               /**< 0: none known */
  uint64_t seen_us;             /**< last claim or renewal */
  bool released;
  bool self;                /**< this process wrote the claim */
  bool by_previous_process; /**< an earlier process of this VM wrote it */
};

/** An entry VM as it registered itself. */
struct entry_vm
{
  struct set_peer peer;
  uint64_t lead_score; /**< how well it can lead; more is better */
};

struct entry_owner;

struct entry
{
  struct entry_desc desc;
  struct met_set met;
  struct pl_links links;
  struct log_relay relay; /**< the log, as all parts use it */
  struct cyc_id128 incarnation;
  struct cell_config *config;
  struct tail config_tail;
  struct tail lead_tail;
  struct tail vms_tail;
  GHashTable *vms; /**< name to struct entry_vm */
  struct ev_timer timer;

  struct cyc_pool call_pool;
  struct entry_call *calls;

  GQueue accept_waiting; /**< struct accept_item */
  GPtrArray *accept_in_flight;
  GPtrArray
      *accept_at_leader; /**< struct accept_item that the leader stores */
  uint64_t accept_retry_us;
  uint64_t
      accept_down_since_us; /**< the last append was refused, since then */
  uint64_t
      accept_next_probe_us; /**< while down: next job that tries the log */
  uint32_t accept_part;     /**< of the stream of jobs */

  struct entry_leader leader;
  uint64_t claim_at_us;         /**< a claim is to be made then; 0: none */
  uint64_t claim_not_before_us; /**< no claim before then */
  uint64_t handover_epoch; /**< whose leader asked this VM to succeed it */
  uint64_t handover_deadline_us; /**< leading and stopping: leads until then */
  bool claim_in_flight;
  uint64_t claim_sent_us;
  uint64_t predecessor_end_us; /**< until when the leader before that claim may
                           have extended leases; 0: it had ended */
  uint64_t confirmed_us; /**< when the last claim or renewal that succeeded was
                            sent */
  uint64_t renew_at_us;
  bool renew_in_flight;

  struct entry_owner *owner; /**< NULL: does not lead */
  GPtrArray *ended_owners;   /**< with calls still in flight */

  bool registered;
  bool register_in_flight;
  uint64_t register_at_us;
  bool stopping;
  uint64_t stop_deadline_us;
  uint64_t stop_earliest_us;
  bool released;
};

bool entry_setup (struct entry *entry, const struct entry_desc *desc,
                  struct cyc_findings *findings);
void entry_shutdown (struct entry *entry);
/** Begins a graceful stop: ends with desc.stopped. */
void entry_stop (struct entry *entry);
/** Callbacks of the callers' port; @p user is the entry. */
void entry_request (void *user, const struct pt_request *request);
void entry_caller_gone (void *user, struct cyc_ref call);
bool entry_ready (void *user);
struct cyc_str entry_metrics (void *user);

#endif
