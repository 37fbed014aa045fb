#include "mirror_choice.h"

#include <glib.h>
#include <stdlib.h>
#include <xxhash.h>

/** Part of a mirror's link for each reader, unless the reader's own link is
 * narrower. */
#define READER_SHARE_KBPS 10000

static int
compare_vms (const void *a, const void *b)
{
  const struct mir_vm *left = a;
  const struct mir_vm *right = b;

  if (left->link_kbps != right->link_kbps)
    return left->link_kbps > right->link_kbps ? -1 : 1;
  if (left->millicores != right->millicores)
    return left->millicores > right->millicores ? -1 : 1;
  return cyc_str_cmp (cyc_name_str (&left->vm), cyc_name_str (&right->vm));
}

/* Returns the number of mirrors that a reader with this link needs; 0 if there
   are not enough. */
static uint32_t
count_mirrors (const struct mir_vm *vms, uint32_t count, uint32_t link_kbps)
{
  uint64_t share_kbps = MIN (link_kbps, READER_SHARE_KBPS);
  uint64_t sum_kbps = 0;

  for (uint32_t mirrors = 1; 2 * mirrors < count; mirrors++)
    {
      sum_kbps += vms[mirrors - 1].link_kbps;
      if (sum_kbps >= share_kbps * (count - mirrors))
        return mirrors;
    }
  return 0;
}

void
mir_sort (struct mir_vm *vms, uint32_t count)
{
  qsort (vms, count, sizeof *vms, compare_vms);
}

uint32_t
mir_choose (const struct mir_vm *vms, uint32_t count, uint32_t rank,
            struct cyc_name sources[MIR_SOURCES_MAX])
{
  const struct cyc_name *self = &vms[rank].vm;
  uint32_t mirrors = count_mirrors (vms, count, vms[rank].link_kbps);
  uint32_t first;
  uint32_t found = 0;

  if (rank < mirrors || mirrors == 0)
    return 0;
  /* Spreads the readers over the mirrors. */
  first = (uint32_t)(XXH64 (self->data, self->len, 0) % mirrors);
  for (uint32_t i = 0; i < mirrors && found < MIR_SOURCES_MAX; i++)
    sources[found++] = vms[(first + i) % mirrors].vm;
  for (uint32_t i = mirrors; i < rank && found < MIR_SOURCES_MAX; i++)
    sources[found++] = vms[i].vm;
  return found;
}
