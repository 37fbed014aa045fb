#include <cyclamendrum/claim.h>

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_LEASE_US UINT64_C (2500000)
#define DEFAULT_CLOCK_RATE_ERROR_PERMILLE 10
#define LEASE_TO_JITTER_DIVISOR 5
#define RENEWALS_PER_LEASE 3

bool
cyc_clm_setup (struct cyc_clm *clm, const struct cyc_clm_desc *desc,
               struct cyc_findings *findings)
{
  uint32_t before = findings->count;

  memset (clm, 0, sizeof *clm);
  if (desc->domain.len == 0)
    cyc_findings_add (findings, CYC_STR ("domain"), "is missing");
  if (desc->owner.len == 0)
    cyc_findings_add (findings, CYC_STR ("owner"), "is missing");
  if (cyc_id128_zero (&desc->incarnation))
    cyc_findings_add (findings, CYC_STR ("incarnation"), "is missing");
  if (findings->count != before)
    return false;
  clm->desc = *desc;
  if (clm->desc.lease_us == 0)
    clm->desc.lease_us = DEFAULT_LEASE_US;
  if (clm->desc.clock_rate_error_permille == 0)
    clm->desc.clock_rate_error_permille = DEFAULT_CLOCK_RATE_ERROR_PERMILLE;
  if (clm->desc.jitter_max_us == 0)
    clm->desc.jitter_max_us = clm->desc.lease_us / LEASE_TO_JITTER_DIVISOR;
  clm->next_token = 1;
  return true;
}

void
cyc_clm_shutdown (struct cyc_clm *clm)
{
  memset (clm, 0, sizeof *clm);
}

static bool
is_own_claim (const struct cyc_clm *clm, const struct cyc_claim *claim)
{
  return claim->epoch > 0 && !claim->released
         && cyc_name_eq (&claim->owner, &clm->desc.owner)
         && cyc_id128_eq (&claim->incarnation, &clm->desc.incarnation);
}

/* Derives the jitter from the incarnation, so that standbys do not all claim
   at the same instant. */
static void
draw_jitter (struct cyc_clm *clm)
{
  uint64_t hash
      = XXH64 (clm->desc.incarnation.bytes, sizeof clm->desc.incarnation.bytes,
               clm->newest_claim.renewed_offset);

  clm->jitter_us = hash % (clm->desc.jitter_max_us + 1);
}

static void
step_down (struct cyc_clm *clm)
{
  clm->role = CYC_CLM_STANDBY;
  clm->renewal_sent_us = 0;
  clm->hold_deadline_us = 0;
  clm->claimed_us = 0;
  clm->majority_fenced_us = 0;
  clm->workers_polled = false;
  clm->claimed_after_release = false;
}

/* Called when a claim took effect although the outcome of its append was
   reported as unknown. Its sending time is no longer known, so there is no
   hold before the next renewal. */
static void
adopt_late_claim (struct cyc_clm *clm, uint64_t now_us)
{
  clm->role = CYC_CLM_OWNER;
  clm->claimed_us = now_us;
}

void
cyc_clm_observe (struct cyc_clm *clm, const struct cyc_claim *claim,
                 uint64_t now_us)
{
  bool changed = claim->epoch != clm->newest_claim.epoch
                 || claim->renewed_offset != clm->newest_claim.renewed_offset
                 || claim->released != clm->newest_claim.released;

  if (changed || clm->silent_since_us == 0)
    clm->silent_since_us = now_us;
  clm->newest_claim = *claim;
  clm->observed = true;
  if (changed)
    draw_jitter (clm);
  if (clm->role == CYC_CLM_OWNER && !is_own_claim (clm, claim))
    step_down (clm);
  else if (clm->role == CYC_CLM_STANDBY && clm->pending_token == 0
           && is_own_claim (clm, claim)
           && claim->epoch >= clm->max_reported_epoch)
    adopt_late_claim (clm, now_us);
}

void
cyc_clm_set_log_reachable (struct cyc_clm *clm, bool reachable,
                           uint64_t now_us)
{
  if (reachable && !clm->log_reachable)
    clm->silent_since_us = now_us;
  clm->log_reachable = reachable;
}

void
cyc_clm_workers (struct cyc_clm *clm, const struct cyc_clm_workers *workers,
                 uint64_t now_us)
{
  if (clm->role != CYC_CLM_OWNER)
    return;
  if ((uint64_t)workers->fenced * 2 <= workers->total)
    {
      /* A fleet that grew needs a fenced majority only before the first start;
         after that the end of the hold limits its starts. */
      if (!cyc_clm_may_start (clm, now_us))
        clm->majority_fenced_us = 0;
    }
  else if (clm->majority_fenced_us == 0)
    clm->majority_fenced_us = now_us;
  if (workers->workers_polled)
    clm->workers_polled = true;
  if (workers->majority_accepted_us > 0
      && workers->majority_accepted_us + clm->desc.lease_us
             > clm->hold_deadline_us)
    clm->hold_deadline_us = workers->majority_accepted_us + clm->desc.lease_us;
}

void
cyc_clm_stale_epoch (struct cyc_clm *clm, uint64_t epoch)
{
  if (epoch > clm->max_reported_epoch)
    clm->max_reported_epoch = epoch;
  if (clm->role == CYC_CLM_OWNER && epoch > clm->newest_claim.epoch)
    step_down (clm);
}

void
cyc_clm_release (struct cyc_clm *clm)
{
  clm->releasing = true;
}

static void
fill_step (struct cyc_clm *clm, enum cyc_claim_action kind, uint64_t epoch,
           uint64_t now_us, struct cyc_clm_step *step)
{
  clm->pending_token = clm->next_token++;
  clm->pending_step = kind;
  clm->pending_sent_us = now_us;
  clm->pending_epoch = epoch;
  clm->pending_after_release = clm->newest_claim.released;
  *step = (struct cyc_clm_step){ .token = clm->pending_token };
  step->edit.step = kind;
  step->edit.domain = cyc_name_str (&clm->desc.domain);
  step->edit.shard = clm->desc.shard;
  step->edit.epoch = epoch;
  step->edit.owner = cyc_name_str (&clm->desc.owner);
  step->edit.incarnation = clm->desc.incarnation;
}

static bool
next_owner_step (struct cyc_clm *clm, uint64_t now_us,
                 struct cyc_clm_step *step)
{
  if (clm->releasing)
    {
      fill_step (clm, CYC_CLAIM_RELEASE, clm->newest_claim.epoch, now_us,
                 step);
      return true;
    }
  if (now_us < clm->renewal_sent_us + clm->desc.lease_us / RENEWALS_PER_LEASE)
    return false;
  fill_step (clm, CYC_CLAIM_RENEW, clm->newest_claim.epoch, now_us, step);
  return true;
}

bool
cyc_clm_next (struct cyc_clm *clm, uint64_t now_us, struct cyc_clm_step *step)
{
  if (!clm->observed || clm->pending_token != 0 || !clm->log_reachable)
    return false;
  if (clm->role == CYC_CLM_OWNER)
    return next_owner_step (clm, now_us, step);
  if (clm->releasing)
    return false;
  if (!clm->newest_claim.released && clm->newest_claim.epoch > 0
      && now_us < clm->silent_since_us + clm->desc.lease_us + clm->jitter_us)
    return false;
  fill_step (clm, CYC_CLAIM_TAKE, clm->newest_claim.epoch + 1, now_us, step);
  return true;
}

static void
become_owner (struct cyc_clm *clm, uint64_t now_us)
{
  clm->role = CYC_CLM_OWNER;
  clm->renewal_sent_us = clm->pending_sent_us;
  clm->hold_deadline_us = clm->pending_sent_us + clm->desc.lease_us;
  clm->claimed_us = now_us;
  clm->majority_fenced_us = 0;
  clm->workers_polled = false;
  clm->claimed_after_release = clm->pending_after_release;
  clm->newest_claim.epoch = clm->pending_epoch;
  clm->newest_claim.released = false;
  clm->newest_claim.owner = clm->desc.owner;
  clm->newest_claim.incarnation = clm->desc.incarnation;
}

static void
apply_accepted_append (struct cyc_clm *clm, uint64_t now_us)
{
  switch (clm->pending_step)
    {
    case CYC_CLAIM_TAKE:
      become_owner (clm, now_us);
      break;
    case CYC_CLAIM_RENEW:
      if (clm->role != CYC_CLM_OWNER
          || clm->pending_epoch != clm->newest_claim.epoch)
        break;
      clm->renewal_sent_us = clm->pending_sent_us;
      if (clm->pending_sent_us + clm->desc.lease_us > clm->hold_deadline_us)
        clm->hold_deadline_us = clm->pending_sent_us + clm->desc.lease_us;
      break;
    case CYC_CLAIM_RELEASE:
      step_down (clm);
      break;
    }
}

void
cyc_clm_result (struct cyc_clm *clm, uint64_t token,
                enum cyc_clm_append_outcome outcome, uint64_t now_us)
{
  if (token == 0 || token != clm->pending_token)
    return;
  clm->pending_token = 0;
  if (outcome == CYC_CLM_APPEND_ACCEPTED)
    apply_accepted_append (clm, now_us);
  else if (clm->role == CYC_CLM_STANDBY)
    clm->silent_since_us = now_us;
}

/* Returns an upper bound for the end of an earlier owner's hold, with the
   clock-rate error added. */
static uint64_t
previous_hold_end_us (const struct cyc_clm *clm)
{
  uint64_t from = clm->claimed_us;

  if (clm->majority_fenced_us > from)
    from = clm->majority_fenced_us;
  return from + clm->desc.lease_us
         + clm->desc.lease_us * clm->desc.clock_rate_error_permille / 1000;
}

uint64_t
cyc_clm_earliest_start_us (const struct cyc_clm *clm)
{
  if (clm->role != CYC_CLM_OWNER || clm->majority_fenced_us == 0
      || !clm->workers_polled)
    return UINT64_MAX;
  return clm->claimed_after_release ? clm->claimed_us
                                    : previous_hold_end_us (clm);
}

uint64_t
cyc_clm_unreached_runs_end_us (const struct cyc_clm *clm,
                               uint64_t task_lease_us, uint64_t clock_error_us)
{
  if (clm->role != CYC_CLM_OWNER || clm->majority_fenced_us == 0)
    return UINT64_MAX;
  return previous_hold_end_us (clm) + task_lease_us + clock_error_us;
}

bool
cyc_clm_may_start (const struct cyc_clm *clm, uint64_t now_us)
{
  return clm->role == CYC_CLM_OWNER && !clm->releasing
         && now_us < clm->hold_deadline_us
         && now_us >= cyc_clm_earliest_start_us (clm);
}

uint64_t
cyc_clm_hold_deadline_us (const struct cyc_clm *clm)
{
  return clm->role == CYC_CLM_OWNER ? clm->hold_deadline_us : 0;
}

uint64_t
cyc_clm_epoch (const struct cyc_clm *clm)
{
  return clm->role == CYC_CLM_OWNER ? clm->newest_claim.epoch : 0;
}

static int
compare_descending (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left < right) - (left > right);
}

uint64_t
cyc_clm_majority_accepted_us (uint64_t *accepted_us, uint32_t count,
                              uint32_t total)
{
  uint32_t needed = total / 2 + 1;

  if (count < needed)
    return 0;
  qsort (accepted_us, count, sizeof *accepted_us, compare_descending);
  return accepted_us[needed - 1];
}
