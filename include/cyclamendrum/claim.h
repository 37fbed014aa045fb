/**
 * @file
 * Ownership of a failure domain: when to claim, renew and release, and whether
 * starts are allowed. Pure decision logic without clock, log or worker calls.
 *
 * The caller feeds the claim that the ledger holds, the state of the log and
 * counts of workers, asks cyc_clm_next what to append, and reports the fate of
 * that append under its token. Starts are allowed only while cyc_clm_may_start
 * says so; ask it with the current time before each batch of starts.
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
 * Errors: an append whose fate is unknown is reported as
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
  uint64_t lease_us;      /**< 0: 2,500,000 */
  uint64_t jitter_max_us; /**< of a standby's claim; 0: a fifth of the lease */
  uint32_t clock_rate_error_permille; /**< clock-rate error; 0: 10 */
};

enum cyc_clm_role
{
  CYC_CLM_STANDBY = 0,
  CYC_CLM_OWNER /**< holds the newest claim; may still be waiting */
};

enum cyc_clm_append_outcome
{
  CYC_CLM_APPEND_ACCEPTED, /**< read back and accepted by the ledger */
  CYC_CLM_APPEND_REFUSED,  /**< read back and refused, or not appended */
  CYC_CLM_APPEND_UNKNOWN   /**< fate unknown at its deadline */
};

/** What to append. Report its fate with the same token. */
struct cyc_clm_step
{
  struct cyc_claim_edit edit; /**< strings live as long as the module */
  uint64_t token;
};

/** Workers of the domain as the caller knows them. */
struct cyc_clm_workers
{
  uint32_t total;
  uint32_t fenced; /**< accepted a heartbeat with this process's epoch */
  /** Each worker answered one heartbeat of this epoch or failed to. */
  bool workers_polled;
  /** The latest instant such that more than half of the workers accepted a
   * heartbeat of this epoch that was sent at that instant or later; 0: none.
   * See cyc_clm_majority_accepted_us. */
  uint64_t majority_accepted_us;
};

struct cyc_clm
{
  struct cyc_clm_desc desc;
  struct cyc_claim newest_claim; /**< newest claim of the ledger */
  enum cyc_clm_role role;
  bool observed;               /**< cyc_clm_observe was called */
  uint64_t max_reported_epoch; /**< highest epoch that a worker reported */
  bool releasing;              /**< a release was asked for */
  bool log_reachable;
  uint64_t silent_since_us; /**< standby: no renewal was read since */
  uint64_t jitter_us;
  uint64_t pending_token; /**< 0: no append in flight */
  enum cyc_claim_step pending_step;
  uint64_t pending_sent_us;
  uint64_t pending_epoch;
  bool pending_after_release; /**< the claim follows a release */
  uint64_t next_token;
  uint64_t renewal_sent_us;  /**< sending of the newest confirmed renewal */
  uint64_t hold_deadline_us; /**< deadline of the owner's hold */
  uint64_t claimed_us;       /**< the claim was read back */
  uint64_t
      majority_fenced_us; /**< majority of the workers was fenced; 0: not */
  bool claimed_after_release;
  bool workers_polled;
};

bool cyc_clm_setup (struct cyc_clm *clm, const struct cyc_clm_desc *desc,
                    struct cyc_findings *findings);
void cyc_clm_shutdown (struct cyc_clm *clm);

/** The ledger's claim of the domain (cyc_led_claim); call it after each
 * record of body CYC_LED_BODY_CLAIM and after a snapshot was loaded. */
void cyc_clm_observe (struct cyc_clm *clm, const struct cyc_claim *claim,
                      uint64_t now_us);
/** Whether the log answers. After an outage a standby counts silence anew,
 * because the owner could not renew meanwhile. */
void cyc_clm_set_log_reachable (struct cyc_clm *clm, bool reachable,
                                uint64_t now_us);
void cyc_clm_workers (struct cyc_clm *clm,
                      const struct cyc_clm_workers *workers, uint64_t now_us);
/** A worker refused because it knows @p epoch: a higher one ends the hold. */
void cyc_clm_stale_epoch (struct cyc_clm *clm, uint64_t epoch);
/** Planned stop: no more starts; cyc_clm_next then releases the claim. */
void cyc_clm_release (struct cyc_clm *clm);

/** True when @p step must be appended now. */
bool cyc_clm_next (struct cyc_clm *clm, uint64_t now_us,
                   struct cyc_clm_step *step);
/** Fate of an append; call it before cyc_clm_observe of the same record. An
 * unknown token is ignored. */
void cyc_clm_result (struct cyc_clm *clm, uint64_t token,
                     enum cyc_clm_append_outcome outcome, uint64_t now_us);

/** True while this process may start tasks and grant permits. */
bool cyc_clm_may_start (const struct cyc_clm *clm, uint64_t now_us);
/** Deadline after which cyc_clm_may_start is false unless extended; 0: not
 * owner. */
uint64_t cyc_clm_hold_deadline_us (const struct cyc_clm *clm);
/** First instant at which starts can be allowed; UINT64_MAX: not known. */
uint64_t cyc_clm_earliest_start_us (const struct cyc_clm *clm);
/** Until this instant a task of an earlier owner may run on a worker that was
 * not reached, if tasks run under leases of @p task_lease_us; UINT64_MAX: not
 * known yet. The old owner may have extended its hold until the majority was
 * fenced, so the time counts from the later of the claim and the fencing. */
uint64_t cyc_clm_unreached_runs_end_us (const struct cyc_clm *clm,
                                        uint64_t task_lease_us,
                                        uint64_t clock_error_us);
/** Epoch of this process's claim; 0 when it is not the owner. */
uint64_t cyc_clm_epoch (const struct cyc_clm *clm);
/** Latest instant T such that more than half of @p total workers have an entry
 * of @p accepted_us that is at least T. The array is reordered. */
uint64_t cyc_clm_majority_accepted_us (uint64_t *accepted_us, uint32_t count,
                                       uint32_t total);

#endif
