/**
 * @file
 * The owner's division of each worker's slots and connections among the
 * gateway seats of its domain.
 *
 * Every seat has floor(slots / seats) of each worker for good; only the
 * remainder is lent, with a deadline. What was lent counts as used until it
 * was returned or its deadline and the clock error have passed, so the sum
 * over all seats never exceeds what the worker offers. Connections follow the
 * slots: a seat gets the same part of the remaining connections.
 *
 * A gateway counts the life of a grant from the sending of the demand that it
 * answers, and sends the next demand only after it got that answer; so it
 * stops using a permit before the owner lends it again.
 *
 * @code
 * cyc_prm_setup (&prm, &(struct cyc_prm_desc){ 0 }, &found);
 * cyc_prm_fence (&prm, claimed_us + 5250000);
 * cyc_prm_worker (&prm, name, 8, 64, seats);
 * cyc_prm_demand (&prm, seat, uses, count, now_us);
 * n = cyc_prm_grant (&prm, seat, now_us, grants, max);
 * @endcode
 *
 * Errors: an unknown worker or a seat beyond the seats is ignored.
 */
#ifndef CYCLAMENDRUM_PERMIT_H
#define CYCLAMENDRUM_PERMIT_H

#include <cyclamendrum/base.h>

#define CYC_PRM_MAX_SEATS 64

struct cyc_prm_desc
{
  struct cyc_allocator allocator;
  uint32_t max_workers;    /**< 0: 2,048 */
  uint32_t lease_ms;       /**< 0: 5,000 */
  uint32_t clock_error_ms; /**< 0: 250 */
};

/** What a seat says about one worker. */
struct cyc_prm_use
{
  struct cyc_str worker;
  uint32_t wanted;   /**< slots beyond the base part */
  uint32_t in_use;   /**< slots in use, base part included */
  uint32_t returned; /**< lent slots given back since the last demand */
};

struct cyc_prm_grant
{
  struct cyc_name worker;
  uint32_t slots;
  uint32_t connections;
};

struct cyc_permits
{
  struct cyc_prm_state *state; /**< private */
};

bool cyc_prm_setup (struct cyc_permits *prm, const struct cyc_prm_desc *desc,
                    struct cyc_findings *findings);
void cyc_prm_shutdown (struct cyc_permits *prm);

/** Nothing is lent before @p until_us: an earlier owner's permits may still
 * be in use. Forgets what this process lent itself. */
void cyc_prm_fence (struct cyc_permits *prm, uint64_t until_us);
/** Adds or changes a worker; false when the table is full. */
bool cyc_prm_worker (struct cyc_permits *prm, struct cyc_str worker,
                     uint32_t slots, uint32_t connections, uint32_t seats);
void cyc_prm_worker_remove (struct cyc_permits *prm, struct cyc_str worker);
/** Takes a whole PermitDemand; a worker that it does not name is not wanted.
 */
void cyc_prm_demand (struct cyc_permits *prm, uint32_t seat,
                     const struct cyc_prm_use *uses, uint32_t count,
                     uint64_t now_us);
/** Lends to the seat, for `lease_ms` from @p now_us, on every worker it wants;
 * returns the number of rows. */
uint32_t cyc_prm_grant (struct cyc_permits *prm, uint32_t seat,
                        uint64_t now_us, struct cyc_prm_grant *out,
                        uint32_t max);
/** Slots of the worker's remainder that count as lent. */
uint32_t cyc_prm_lent_slots (const struct cyc_permits *prm,
                             struct cyc_str worker, uint64_t now_us);

#endif
