/**
 * @file
 * Ownership of a failure domain: decides when a process claims, renews and
 * releases the domain, and whether it may start tasks. The module reads no
 * clock and calls neither the log nor workers.
 *
 * The caller passes in the claim from the ledger, whether the log is reachable
 * and the counts of workers. It appends the record that cyc_clm_next returns
 * and reports the outcome under the token of that step. Tasks may be started
 * only while cyc_clm_may_start returns true; call it with the current time
 * before each batch of starts.
 *
 * The hold of an owner is the time until which it may start tasks. It ends one
 * lease after the sending of the newest confirmed renewal, or after the
 * newest heartbeats that a majority of the workers accepted, whichever is
 * later.
 *
 * @code
 * cyc_clm_setup (&clm, &desc, &found);
 * cyc_clm_observe (&clm, &claim, now_us);
 * cyc_clm_set_log_reachable (&clm, ctl_log_reachable (ctl), now_us);
 * cyc_clm_workers (&clm, &counts, now_us);
 * if (cyc_clm_next (&clm, now_us, &step))
 *   append (&step.edit, step.token);
 * if (cyc_clm_may_start (&clm, now_us)) ...
 * @endcode
 *
 * Errors: an append whose outcome is unknown at its deadline is reported as
 * CYC_CLM_APPEND_UNKNOWN; it counts neither as renewal nor as refusal.
 */
#ifndef CYCLAMENDRUM_CLAIM_H
#define CYCLAMENDRUM_CLAIM_H

#include <cyclamendrum/ledger.h>
#include <cyclamendrum/record.h>

struct cyc_clm_desc
{
  struct cyc_name domain;
  uint32_t shard;
  struct cyc_name owner; /**< VM name of this process */
  struct cyc_id128 incarnation;
  uint64_t lease_us;      /**< duration of a claim's lease; 0: 2,500,000 */
  uint64_t jitter_max_us; /**< longest random delay of a standby's claim; 0: a
                             fifth of the lease */
  /** Largest difference in rate between two clocks; 0: 10. */
  uint32_t clock_rate_error_permille;
};

enum cyc_clm_role
{
  CYC_CLM_STANDBY = 0,
  CYC_CLM_OWNER /**< holds the newest claim; starts may not be allowed yet */
};

enum cyc_clm_append_outcome
{
  CYC_CLM_APPEND_ACCEPTED, /**< read back and accepted by the ledger */
  CYC_CLM_APPEND_REFUSED,  /**< read back and refused, or not appended */
  CYC_CLM_APPEND_UNKNOWN   /**< outcome unknown at its deadline */
};

/** Claim record to append. Report the outcome with the same token. */
struct cyc_clm_step
{
  struct cyc_claim_edit edit; /**< strings live as long as the module */
  uint64_t token;
};

/** Counts of the domain's workers that the caller knows. */
struct cyc_clm_workers
{
  uint32_t total;
  uint32_t fenced; /**< accepted a heartbeat with this process's epoch */
  /** Each worker has answered a heartbeat of this epoch or failed to answer
   * one. */
  bool workers_polled;
  /** Latest instant such that more than half of the workers accepted a
   * heartbeat of this epoch that was sent at that instant or later; 0: none.
   * See cyc_clm_majority_accepted_us. */
  uint64_t majority_accepted_us;
};

struct cyc_clm
{
  struct cyc_clm_desc desc;
  struct cyc_claim newest_claim; /**< as of the last cyc_clm_observe */
  enum cyc_clm_role role;
  bool observed;               /**< cyc_clm_observe was called */
  uint64_t max_reported_epoch; /**< highest epoch that a worker reported */
  bool releasing;              /**< cyc_clm_release was called */
  bool log_reachable;
  uint64_t silent_since_us; /**< standby: start of the wait for a renewal */
  uint64_t jitter_us;
  uint64_t pending_token; /**< token of the append in flight; 0: none */
  enum cyc_claim_action pending_step;
  uint64_t pending_sent_us;
  uint64_t pending_epoch;
  bool pending_after_release; /**< the pending claim follows a release */
  uint64_t next_token;
  uint64_t renewal_sent_us;  /**< when the newest confirmed renewal was sent */
  uint64_t hold_deadline_us; /**< end of the owner's hold */
  uint64_t claimed_us;       /**< when the own claim was read back */
  uint64_t majority_fenced_us; /**< when a majority of the workers was fenced;
                                  0: not yet */
  bool claimed_after_release;  /**< the earlier owner released its claim */
  bool workers_polled;
};

bool cyc_clm_setup (struct cyc_clm *clm, const struct cyc_clm_desc *desc,
                    struct cyc_findings *findings);
void cyc_clm_shutdown (struct cyc_clm *clm);

/** Updates the ledger's claim of the domain (cyc_led_claim). Call it after
 * each record of body CYC_LED_BODY_CLAIM and after a snapshot was loaded. */
void cyc_clm_observe (struct cyc_clm *clm, const struct cyc_claim *claim,
                      uint64_t now_us);
/** Sets whether the log answers. After an outage a standby restarts its wait
 * for a renewal, because the owner could not renew during the outage. */
void cyc_clm_set_log_reachable (struct cyc_clm *clm, bool reachable,
                                uint64_t now_us);
/** Updates the worker counts; ignored while this process is a standby. */
void cyc_clm_workers (struct cyc_clm *clm,
                      const struct cyc_clm_workers *workers, uint64_t now_us);
/** Called when a worker refused a message because it has seen @p epoch. An
 * epoch above that of the own claim makes this process a standby. */
void cyc_clm_stale_epoch (struct cyc_clm *clm, uint64_t epoch);
/** Begins a planned stop: starts are no longer allowed, and cyc_clm_next
 * returns the release of the claim. */
void cyc_clm_release (struct cyc_clm *clm);

/** Fills @p step and returns true when a record must be appended now. */
bool cyc_clm_next (struct cyc_clm *clm, uint64_t now_us,
                   struct cyc_clm_step *step);
/** Reports the outcome of an append. Call it before cyc_clm_observe of the
 * same record. An unknown token is ignored. */
void cyc_clm_result (struct cyc_clm *clm, uint64_t token,
                     enum cyc_clm_append_outcome outcome, uint64_t now_us);

/** True while this process may start tasks and grant permits. */
bool cyc_clm_may_start (const struct cyc_clm *clm, uint64_t now_us);
/** Returns the end of the hold, from which on cyc_clm_may_start is false
 * unless the hold is extended; 0 if not the owner. */
uint64_t cyc_clm_hold_deadline_us (const struct cyc_clm *clm);
/** Returns the first instant at which starts can be allowed; UINT64_MAX if not
 * the owner or not known yet. */
uint64_t cyc_clm_earliest_start_us (const struct cyc_clm *clm);
/** Returns the instant until which a task of an earlier owner may run on a
 * worker that was not reached, if tasks run under leases of @p task_lease_us;
 * UINT64_MAX if not the owner or not known yet. The earlier owner may have
 * extended its hold until a majority of the workers was fenced, so the time
 * counts from the later of the claim and the fencing. */
uint64_t cyc_clm_unreached_runs_end_us (const struct cyc_clm *clm,
                                        uint64_t task_lease_us,
                                        uint64_t clock_error_us);
/** Returns the epoch of this process's claim; 0 if not the owner. */
uint64_t cyc_clm_epoch (const struct cyc_clm *clm);
/** Returns the latest instant T such that more than half of @p total workers
 * have an entry of at least T in @p accepted_us; 0 if there are too few
 * entries. An entry is the sending of the newest heartbeat that a worker
 * accepted. Sorts the array. */
uint64_t cyc_clm_majority_accepted_us (uint64_t *accepted_us, uint32_t count,
                                       uint32_t total);

#endif
