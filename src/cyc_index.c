#include "cyc_index.h"

#include <assert.h>
#include <string.h>
#include <xxhash.h>

bool
cyc_ix_setup (struct cyc_ix *ix, uint32_t rows,
              const struct cyc_allocator *allocator)
{
  uint32_t slots = 8;

  memset (ix, 0, sizeof *ix);
  while (slots < UINT32_C (0x80000000) && slots / 2 < rows)
    slots *= 2;
  if (allocator != NULL)
    ix->allocator = *allocator;
  ix->slots = cyc_alloc (allocator, slots, sizeof *ix->slots);
  ix->mask = slots - 1;
  return ix->slots != NULL;
}

void
cyc_ix_shutdown (struct cyc_ix *ix)
{
  cyc_release (&ix->allocator, ix->slots);
  memset (ix, 0, sizeof *ix);
}

void
cyc_ix_clear (struct cyc_ix *ix)
{
  memset (ix->slots, 0, ((size_t)ix->mask + 1) * sizeof *ix->slots);
}

uint32_t
cyc_ix_hash (const void *key, size_t bytes)
{
  return (uint32_t)XXH64 (key, bytes, 0);
}

uint32_t
cyc_ix_hash_id (const struct cyc_id128 *id)
{
  return cyc_ix_hash (id->bytes, sizeof id->bytes);
}

void
cyc_ix_add (struct cyc_ix *ix, uint32_t hash, uint32_t row)
{
  uint32_t position = hash & ix->mask;

  while (ix->slots[position].row_plus_1 != 0)
    position = (position + 1) & ix->mask;
  ix->slots[position]
      = (struct cyc_ix_slot){ .row_plus_1 = row + 1, .hash = hash };
}

/* Moves later entries of the probe sequence back into the free slot. A search
   stops at a free slot, so a gap would hide them. */
static void
close_gap (struct cyc_ix *ix, uint32_t gap)
{
  uint32_t position = gap;

  for (;;)
    {
      uint32_t home;

      position = (position + 1) & ix->mask;
      if (ix->slots[position].row_plus_1 == 0)
        break;
      home = ix->slots[position].hash & ix->mask;
      if (((position - home) & ix->mask) < ((position - gap) & ix->mask))
        continue;
      ix->slots[gap] = ix->slots[position];
      gap = position;
    }
  ix->slots[gap] = (struct cyc_ix_slot){ 0 };
}

void
cyc_ix_remove (struct cyc_ix *ix, uint32_t hash, uint32_t row)
{
  uint32_t position = hash & ix->mask;

  while (ix->slots[position].row_plus_1 != row + 1)
    {
      assert (ix->slots[position].row_plus_1 != 0);
      position = (position + 1) & ix->mask;
    }
  close_gap (ix, position);
}

struct cyc_ix_probe
cyc_ix_probe (const struct cyc_ix *ix, uint32_t hash)
{
  return (struct cyc_ix_probe){ .hash = hash, .position = hash & ix->mask };
}

bool
cyc_ix_next (const struct cyc_ix *ix, struct cyc_ix_probe *probe)
{
  for (;;)
    {
      struct cyc_ix_slot slot = ix->slots[probe->position];

      if (slot.row_plus_1 == 0)
        return false;
      probe->position = (probe->position + 1) & ix->mask;
      if (slot.hash != probe->hash)
        continue;
      probe->row = slot.row_plus_1 - 1;
      return true;
    }
}
