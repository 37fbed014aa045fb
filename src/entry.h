/**
 * @file
 * The process of an entry VM. It answers callers' requests and keeps accepted
 * jobs in the platform's log. One entry VM at a time is the leader: it decides
 * on all runs and sends the orders to the workers.
 *
 * @code
 * entry_setup (&entry, &(struct entry_desc){ .loop = loop, ... }, &found);
 * ev_run (loop, 0);
 * @endcode
 */
#ifndef ENTRY_H
#define ENTRY_H

#include "entry_settings.h"
#include "evacuation.h"
#include "log_relay.h"
#include "metrics.h"
#include "peer.h"
#include "mirror.h"
#include "ports.h"
#include "tail.h"

#include "cell.pb-c.h"
#include <glib.h>

struct entry_desc
{
  struct ev_loop *loop;
  const struct ent_settings *settings;
  const struct pt_ports *ports;
  void (*stopped) (void *user); /**< called at the end of a graceful stop */
  void *user;
};

/** A caller's request that waits for an answer. */
struct entry_call
{
  struct cyc_ref call; /**< reference of the callers' port */
  enum pt_verb verb;
  uint64_t job;
  struct cyc_name queue;
  uint64_t received_us;
  uint64_t deadline_us;
  uint64_t next_ask_us; /**< next question to the leader; 0: none sent */
  bool awaiting_leader; /**< true while the leader's answer is pending */
};

/** The leader, according to the stream of claims. */
struct entry_leader
{
  struct cyc_name vm;
  struct set_address address;
  struct cyc_id128 incarnation; /**< incarnation of the process that wrote the
                                     claim */
  uint64_t epoch;               /**< 0 if no claim is known */
  uint64_t seen_us;             /**< when the last claim or renewal was read */
  bool released;
  bool self;                /**< this process wrote the claim */
  bool by_previous_process; /**< an earlier process of this VM wrote it */
};

/** An entry VM that has registered itself in the log. */
struct entry_vm
{
  struct set_peer peer;
  uint64_t lead_score; /**< suitability as a leader; higher is better */
  uint32_t link_kbps;
  uint32_t millicores;
};

struct entry_owner;

struct entry
{
  struct entry_desc desc;
  struct met_set met;
  struct pl_links links;
  struct log_relay relay; /**< access to the log, directly or through another
                               entry VM */
  struct cyc_id128 incarnation;
  struct cell_config *config;
  struct evac_set evacuations; /**< as the stream of the configuration has them
                                */
  struct tail config_tail;
  struct tail lead_tail;
  struct tail vms_tail;
  struct mirror mirror; /**< through which config_tail reads */
  GHashTable *vms;      /**< VM name to struct entry_vm */
  bool vms_changed;     /**< since the VMs that mirror were chosen */
  struct ev_timer timer;

  struct cyc_pool call_pool;
  struct entry_call *calls;

  GQueue accept_waiting;       /**< struct accept_item not appended yet */
  GPtrArray *accept_in_flight; /**< struct accept_item being appended */
  GPtrArray *accept_at_leader; /**< struct accept_item handed to the leader */
  size_t accept_bytes;         /**< of all records that wait to be stored */
  GHashTable *accept_copies;   /**< key of a record to struct accept_copies */
  uint64_t accept_forget_us;   /**< when old rows of accept_copies are dropped
                                    next */
  uint64_t accept_retry_us;    /**< earliest time of the next append */
  uint32_t accept_records_max; /**< of the next append, after one that the log
                                    took for invalid; 0: no such limit */
  uint64_t accept_down_since_us; /**< when appends began to be refused; 0 if
                                    the log is up */
  uint64_t accept_next_probe_us; /**< when the next job tries the log during an
                                      outage */
  uint32_t accept_part; /**< part of PT_STREAM_JOBS that this VM writes */

  struct entry_leader leader;
  uint64_t claim_at_us;         /**< when to claim the leadership; 0 if no
                                     claim is planned */
  uint64_t claim_not_before_us; /**< earliest time of the next claim */
  uint64_t handover_epoch;      /**< epoch that this VM was asked to succeed */
  uint64_t handover_until_us;   /**< until when it may claim for that */
  uint64_t handover_deadline_us; /**< handover: until when this leader waits
                                    for the claim of its successor; 0: none */
  uint64_t handover_again_us;    /**< earliest time of the next handover by a
                                    leader that falls behind */
  bool claim_in_flight;
  uint64_t claim_sent_us;      /**< send time of the newest claim */
  uint64_t claim_unknown_us;   /**< send time of the oldest claim that may be
                                    stored, unread; 0 if none is but the
                                    newest */
  uint64_t predecessor_end_us; /**< until when the leaders before this process
                                    may extend leases and write starts; 0 if
                                    they had ended */
  uint64_t replaced_end_us;    /**< until when a leader that another one has
                                    replaced may extend leases and write starts;
                                    0 if none may */
  uint64_t replaced_before_us; /**< the same, without the one replaced last */
  uint64_t replaced_epoch;     /**< of the leader replaced last; 0 if none */
  uint64_t confirmed_us;       /**< send time of the last claim or renewal that
                                       succeeded */
  uint64_t renew_at_us;
  uint64_t renew_sent_us; /**< of the last renewal */
  uint64_t renewal_us;    /**< how long the last renewal took */
  uint64_t renew_epoch;   /**< epoch of the last renewal */
  uint64_t known_end;     /**< this leader knows all records before this offset
                               of the stream of claims; see also lead_tail */
  uint64_t renewed_end;   /**< offset after the last renewal that confirmed
                               this VM's leadership; 0 if none has */
  bool renew_in_flight;

  struct entry_owner *owner; /**< state as the leader; NULL if not leading */
  GPtrArray *ended_owners;   /**< struct entry_owner with calls in flight */

  uint64_t config_start_by_us; /**< when config_tail begins at the latest */
  bool registered;
  bool register_in_flight;
  uint64_t register_at_us;
  bool stopping;
  uint64_t stop_deadline_us;
  uint64_t stop_earliest_us; /**< earliest end of a stop */
  bool released;             /**< this process released its claim */
};

bool entry_setup (struct entry *entry, const struct entry_desc *desc,
                  struct cyc_findings *findings);
void entry_shutdown (struct entry *entry);
/** Begins a graceful stop; desc.stopped is called at its end. */
void entry_stop (struct entry *entry);
/** Callbacks of the callers' port; @p user is the entry. */
void entry_request (void *user, const struct pt_request *request);
void entry_caller_gone (void *user, struct cyc_ref call);
bool entry_ready (void *user);
struct cyc_str entry_metrics (void *user);
/** Returns one line with the state of the VM and one for each failure domain
 * that operators have evacuated. The caller releases the data with free(). */
struct cyc_str entry_status (void *user);

#endif
