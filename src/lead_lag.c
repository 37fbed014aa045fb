#include "lead_lag.h"

/** A window lasts this long, and up to twice as long until it has enough
 * answers. */
#define WINDOW_US 1000000
#define ANSWERS_MIN 8
/** A start without an answer counts as unconfirmed after 130 ms and costs a
 * report. If no worker answers sooner, every start does. */
#define ROUND_TRIP_MAX_US 130000
/** Slow windows in a row: a burst passes sooner. */
#define SLOW_WINDOWS 3
/** A round trip of a leader that keeps up, without the network. */
#define PROMPT_US 5000
/** Gap between reports for each part of a round trip beyond that, and the
 * longest one: an end is known that much later. */
#define GAP_FACTOR 3
#define GAP_MAX_US 120000

static void
end_windows (struct lead_lag *lag, uint64_t now_us)
{
  bool enough = lag->answers >= ANSWERS_MIN;

  if (now_us < lag->window_end_us + (enough ? 0 : WINDOW_US))
    return;
  if (enough)
    lag->last_fastest_us = lag->fastest_us;
  if (enough && lag->fastest_us > ROUND_TRIP_MAX_US
      && now_us < lag->window_end_us + WINDOW_US)
    lag->slow_windows++;
  else
    lag->slow_windows = 0;
  lag->answers = 0;
  lag->fastest_us = UINT64_MAX;
  lag->window_end_us = now_us + WINDOW_US;
}

void
lag_answered (struct lead_lag *lag, uint64_t round_trip_us, uint64_t now_us)
{
  end_windows (lag, now_us);
  lag->answers++;
  if (round_trip_us < lag->fastest_us)
    lag->fastest_us = round_trip_us;
}

bool
lag_is_behind (struct lead_lag *lag, uint64_t now_us)
{
  end_windows (lag, now_us);
  return lag->slow_windows >= SLOW_WINDOWS;
}

uint64_t
lag_report_gap_us (const struct lead_lag *lag, uint64_t shortest_us)
{
  uint64_t late_us = lag->last_fastest_us > PROMPT_US
                         ? lag->last_fastest_us - PROMPT_US
                         : 0;
  uint64_t gap_us = late_us * GAP_FACTOR;

  if (gap_us > GAP_MAX_US)
    gap_us = GAP_MAX_US;
  return gap_us > shortest_us ? gap_us : shortest_us;
}
