/**
 * @file
 * Health of workers: what their starts came to.
 */
#include "cyc_core_internal.h"

void
core_health_note (struct cyc_core_state *st, uint32_t worker, uint32_t queue,
                  bool ok)
{
  struct core_worker *w = &st->workers[worker];

  w->failures = ok ? 0 : (uint16_t)(w->failures + 1);
  w->failed_queue = ok ? CORE_NONE : queue;
}
