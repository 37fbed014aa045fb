/**
 * @file
 * The newest records of a keyed stream by key, with their offsets, so that a
 * VM can pass them on to others.
 *
 * Order of calls: mir_cache_setup; then for each load mir_cache_reload, a
 * mir_cache_add for each record and mir_cache_loaded; mir_cache_add for each
 * record that follows; mir_cache_shutdown.
 *
 * @code
 * mir_cache_reload (&cache);
 * mir_cache_add (&cache, &record, offset);
 * mir_cache_loaded (&cache, end);
 * row = mir_cache_next (&cache, from);
 * @endcode
 *
 * Errors: none. Superseded records are dropped: a reader gets the newest
 * record of each key, not all that were written.
 */
#ifndef MIRROR_CACHE_H
#define MIRROR_CACHE_H

#include "ports.h"

#include <glib.h>

struct mir_row
{
  uint64_t offset;
  GBytes *key;
  GBytes *value; /**< empty: the key was deleted */
};

/** Copies the record. */
struct mir_row *mir_row_new (const struct pt_record *record, uint64_t offset);
void mir_row_free (gpointer row);

struct mir_cache
{
  GPtrArray *rows; /**< struct mir_row in order of their offsets */
  bool loaded;
  uint64_t floor; /**< the rows hold all deletions from this offset on */
};

void mir_cache_setup (struct mir_cache *cache);
void mir_cache_shutdown (struct mir_cache *cache);
/** Drops all rows; those of a complete view follow. */
void mir_cache_reload (struct mir_cache *cache);
/** The rows are complete up to offset @p end. */
void mir_cache_loaded (struct mir_cache *cache, uint64_t end);
/** Adds a record, which replaces that of its key. */
void mir_cache_add (struct mir_cache *cache, const struct pt_record *record,
                    uint64_t offset);
/** Returns the first row whose offset is @p from or higher; NULL if there is
 * none. Valid until the next change. */
const struct mir_row *mir_cache_next (const struct mir_cache *cache,
                                      uint64_t from);

#endif
