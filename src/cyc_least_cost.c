#include "cyc_least_cost.h"

double
lc_loss (const struct lc_work *work, uint64_t now_us, uint64_t wait_us)
{
  uint64_t end_us = now_us + work->run_us;

  if (end_us > work->due_us || end_us + wait_us <= work->due_us)
    return 0;
  return (double)work->core_ms / 1000.0 / (1.0 + work->priority);
}

uint32_t
lc_share_permille (double own_loss, double others_loss, uint32_t lowest,
                   uint32_t highest)
{
  double sum = own_loss + others_loss;
  double part = sum > 0 ? own_loss / sum : 1.0;

  return lowest + (uint32_t)((double)(highest - lowest) * part);
}
