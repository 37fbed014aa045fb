/**
 * @file
 * Detects that a leader cannot keep up because its link or its processor is
 * saturated. Each call to a worker then waits in the same place, so even the
 * fastest one takes long; slow workers, cuts and a slow log do not show that.
 *
 * @code
 * struct lead_lag lag = { 0 };
 * lag_answered (&lag, now_us - sent_us, now_us);
 * if (lag_is_behind (&lag, now_us))
 *   hand_over ();
 * @endcode
 *
 * Errors: no function fails. Time without enough answers is no evidence.
 */
#ifndef LEAD_LAG_H
#define LEAD_LAG_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialised before use. */
struct lead_lag
{
  uint64_t window_end_us;   /**< end of the current window; 0: none yet */
  uint64_t fastest_us;      /**< shortest round trip in it */
  uint32_t answers;         /**< answers in it */
  uint32_t slow_windows;    /**< slow ones in a row before it */
  uint64_t last_fastest_us; /**< shortest round trip in the last window with
                                enough answers; 0: none */
};

/** Notes that a worker has answered a call that asked it to answer at once. */
void lag_answered (struct lead_lag *lag, uint64_t round_trip_us,
                   uint64_t now_us);
/** Returns whether all round trips have been too long for some seconds. */
bool lag_is_behind (struct lead_lag *lag, uint64_t now_us);

/** Returns how long a worker is left alone after it has reported: at least @p
 * shortest_us, and more while the leader lags, so that one report tells of
 * several ends. */
uint64_t lag_report_gap_us (const struct lead_lag *lag, uint64_t shortest_us);

#endif
