/**
 * @file
 * Which VMs of a failure domain mirror the stream of the configuration, and
 * which of them each VM reads. A pure function of the registered VMs, so that
 * all VMs agree without a message.
 *
 * The VMs with the widest links are mirrors, as many as give each reader a
 * share of their links. A VM reads one of them, or one of those ranked next if
 * it does not answer; each reads only VMs that rank before it, so that there
 * is no cycle.
 *
 * @code
 * mir_sort (vms, vm_count);
 * count = mir_choose (vms, vm_count, rank, sources);
 * @endcode
 *
 * Errors: none; without a suitable mirror the count is 0.
 */
#ifndef MIRROR_CHOICE_H
#define MIRROR_CHOICE_H

#include <cyclamendrum/base.h>

#define MIR_SOURCES_MAX 4

struct mir_vm
{
  struct cyc_name vm;
  uint32_t link_kbps;
  uint32_t millicores;
};

/** Sorts the VMs of one failure domain by rank. */
void mir_sort (struct mir_vm *vms, uint32_t count);
/** Writes to @p sources the VMs that the one of this rank reads, the preferred
 * one first; @p vms are sorted. Returns their number; 0 if it reads the log,
 * as a mirror or because no VM can mirror for it. */
uint32_t mir_choose (const struct mir_vm *vms, uint32_t count, uint32_t rank,
                     struct cyc_name sources[MIR_SOURCES_MAX]);

#endif
