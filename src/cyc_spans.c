#include "cyc_spans.h"

static struct spn_span *
span_at (const GArray *set, guint at)
{
  return &g_array_index (set, struct spn_span, at);
}

bool
spn_contains (const GArray *set, uint32_t number)
{
  for (guint i = 0; i < set->len; i++)
    if (number < span_at (set, i)->end)
      return number >= span_at (set, i)->first;
  return false;
}

void
spn_add (GArray *set, uint32_t first, uint32_t end)
{
  struct spn_span added = { first, end };
  guint at = 0;

  if (first >= end)
    return;
  while (at < set->len && span_at (set, at)->end < first)
    at++;
  while (at < set->len && span_at (set, at)->first <= end)
    {
      added.first = MIN (added.first, span_at (set, at)->first);
      added.end = end = MAX (end, span_at (set, at)->end);
      g_array_remove_index (set, at);
    }
  g_array_insert_val (set, at, added);
}

void
spn_limit (GArray *set, guint max)
{
  while (set->len > MAX (1, max))
    {
      span_at (set, 1)->first = span_at (set, 0)->first;
      g_array_remove_index (set, 0);
    }
}
