/**
 * @file
 * Divides the slots and connections of each worker among the gateway seats of
 * a domain. Runs in the owner of the domain.
 *
 * Every seat permanently has floor(slots / seats) slots of each worker, its
 * base slots. Only the remainder is lent, each grant with a deadline. Lent
 * slots count as used until they are returned or until their deadline plus the
 * clock error has passed, so the sum over all seats never exceeds the slots of
 * the worker. The remainder of the connections is lent in proportion to the
 * lent slots.
 *
 * A gateway counts the lifetime of a grant from the sending of the demand that
 * the grant answers, and sends its next demand only after it has received that
 * answer. It therefore stops using a slot before the owner lends it again.
 *
 * @code
 * cyc_prm_setup (&prm, &(struct cyc_prm_desc){ 0 }, &found);
 * cyc_prm_fence (&prm, claimed_us + 5250000);
 * cyc_prm_worker (&prm, name, 8, 64, seats);
 * cyc_prm_demand (&prm, seat, uses, count, now_us);
 * n = cyc_prm_grant (&prm, seat, now_us, grants, max);
 * @endcode
 *
 * Errors: an unknown worker and a seat number that is not below the number of
 * seats are ignored.
 */
#ifndef CYCLAMENDRUM_PERMIT_H
#define CYCLAMENDRUM_PERMIT_H

#include <cyclamendrum/base.h>

#define CYC_PRM_MAX_SEATS 64

struct cyc_prm_desc
{
  struct cyc_allocator allocator;
  uint32_t max_workers;    /**< 0: 2,048 */
  uint32_t lease_ms;       /**< lifetime of a grant; 0: 5,000 */
  uint32_t clock_error_ms; /**< 0: 250 */
};

/** Demand of a seat for one worker. */
struct cyc_prm_use
{
  struct cyc_str worker;
  uint32_t wanted;   /**< slots beyond the base slots */
  uint32_t in_use;   /**< slots in use, including base slots */
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

/** Lends nothing before @p until_us, because slots that an earlier owner lent
 * may still be in use, and discards all own grants and demands. */
void cyc_prm_fence (struct cyc_permits *prm, uint64_t until_us);
/** Adds or changes a worker; false when the table is full. */
bool cyc_prm_worker (struct cyc_permits *prm, struct cyc_str worker,
                     uint32_t slots, uint32_t connections, uint32_t seats);
void cyc_prm_worker_remove (struct cyc_permits *prm, struct cyc_str worker);
/** Replaces the demand of a seat by that of a PermitDemand message. The seat
 * wants no slots of workers that @p uses does not name. */
void cyc_prm_demand (struct cyc_permits *prm, uint32_t seat,
                     const struct cyc_prm_use *uses, uint32_t count,
                     uint64_t now_us);
/** Lends slots of every worker that the seat wants, for `lease_ms` from
 * @p now_us. Writes one row to @p out for each worker with lent slots and
 * returns the number of rows. */
uint32_t cyc_prm_grant (struct cyc_permits *prm, uint32_t seat,
                        uint64_t now_us, struct cyc_prm_grant *out,
                        uint32_t max);
/** Returns the number of slots of the worker that count as lent. */
uint32_t cyc_prm_lent_slots (const struct cyc_permits *prm,
                             struct cyc_str worker, uint64_t now_us);

#endif
