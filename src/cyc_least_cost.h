/**
 * @file
 * What a wait costs callers, and who should wait where there is too little
 * room. Pure arithmetic on what a caller and the configuration say of a piece
 * of work: its priority, its deadline and the work that it needs.
 *
 * The load that this answers: work of different urgency and size competes for
 * less room than all of it needs, so that something is late whatever is done.
 *
 * @code
 * gangs += lc_loss (&work, now_us, LC_HORIZON_US);
 * share = lc_share_permille (gangs, others, 250, 500);
 * @endcode
 */
#ifndef CYC_LEAST_COST_H
#define CYC_LEAST_COST_H

#include <stdint.h>

/** How far ahead the loss by a wait is looked at: about the time in which a
 * fleet that is full gives a tenth of its room back. */
#define LC_HORIZON_US 2000000

struct lc_work
{
  uint32_t priority; /**< of its queue; 0 is the most urgent */
  uint64_t due_us;   /**< by which its callers need it */
  uint64_t run_us;   /**< from its start to its end */
  uint64_t core_ms;  /**< processor time that it needs, in milliseconds of
                          one core */
};

/** Returns what callers lose if the work waits for @p wait_us from @p now_us
 * on: nothing if it is in time all the same, or late even at once; else the
 * work that is late, by its priority. In core-seconds of priority 0. */
double lc_loss (const struct lc_work *work, uint64_t now_us, uint64_t wait_us);
/** Returns the share of the room that one kind of work may take from others,
 * between @p lowest and @p highest permille: the part that it has in the loss
 * by waits. Without any loss it is the highest: who would not be late by
 * waiting gives way to work of a higher priority. */
uint32_t lc_share_permille (double own_loss, double others_loss,
                            uint32_t lowest, uint32_t highest);

#endif
