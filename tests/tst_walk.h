/**
 * @file
 * Walk over all workers of a core, as a check of what the core derives from
 * changes only.
 */
#ifndef TST_WALK_H
#define TST_WALK_H

#include <cyclamendrum/cell.h>

/** Compares the views and totals that the core keeps for its workers with a
 * walk over all workers and runs, right after a tick, and has the core look at
 * all workers once more, which must lead to nothing. Returns what differs;
 * NULL if nothing does. */
const char *walk_difference (struct cell_core *core);

#endif
