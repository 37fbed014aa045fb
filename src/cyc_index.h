/**
 * @file
 * Hash index from the hash of a key to row numbers, with open addressing,
 * linear probing and removal by backward shift. The caller stores the rows and
 * compares their keys.
 *
 * @code
 * uint32_t hash = cyc_ix_hash (key, key_bytes);
 * struct cyc_ix_probe probe = cyc_ix_probe (&ix, hash);
 * while (cyc_ix_next (&ix, &probe))
 *   if (rows[probe.row] has the key)
 *     return probe.row;
 * @endcode
 */
#ifndef CYC_INDEX_H
#define CYC_INDEX_H

#include <cyclamendrum/base.h>

struct cyc_ix_slot
{
  uint32_t row_plus_1; /**< row number + 1; 0 if the slot is free */
  uint32_t hash;
};

struct cyc_ix
{
  struct cyc_ix_slot *slots;
  uint32_t mask;
  struct cyc_allocator allocator;
};

struct cyc_ix_probe
{
  uint32_t hash;
  uint32_t position;
  uint32_t row; /**< valid after cyc_ix_next returned true */
};

/** Allocates an index for up to @p rows entries, with a load of at most one
 * half; false if memory is exhausted. @p allocator may be NULL. */
bool cyc_ix_setup (struct cyc_ix *ix, uint32_t rows,
                   const struct cyc_allocator *allocator);
void cyc_ix_shutdown (struct cyc_ix *ix);
/** Removes all entries. */
void cyc_ix_clear (struct cyc_ix *ix);
uint32_t cyc_ix_hash (const void *key, size_t bytes);
uint32_t cyc_ix_hash_id (const struct cyc_id128 *id);
void cyc_ix_add (struct cyc_ix *ix, uint32_t hash, uint32_t row);
/** Removes an entry, which must exist. */
void cyc_ix_remove (struct cyc_ix *ix, uint32_t hash, uint32_t row);
struct cyc_ix_probe cyc_ix_probe (const struct cyc_ix *ix, uint32_t hash);
/** Finds the next row with the hash of the probe; false if there is none. */
bool cyc_ix_next (const struct cyc_ix *ix, struct cyc_ix_probe *probe);

#endif
