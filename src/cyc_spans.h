/**
 * @file
 * Set of numbers, kept as spans of consecutive ones. Adding a number again
 * changes nothing.
 *
 * @code
 * GArray *set = g_array_new (FALSE, FALSE, sizeof (struct spn_span));
 * spn_add (set, 4, 7);
 * spn_contains (set, 6);
 * @endcode
 *
 * Errors: no function fails.
 */
#ifndef CYC_SPANS_H
#define CYC_SPANS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Consecutive numbers, from the first one up to @p end, exclusive. The spans
 * of a set are in ascending order, with gaps between. */
struct spn_span
{
  uint32_t first;
  uint32_t end;
};

bool spn_contains (const GArray *set, uint32_t number);
/** Adds the numbers from @p first up to @p end, exclusive. */
void spn_add (GArray *set, uint32_t first, uint32_t end);
/** Adds the gaps below the lowest spans, until there are at most @p max. */
void spn_limit (GArray *set, guint max);

#endif
