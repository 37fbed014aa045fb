/**
 * @file
 * The part of a mirror that answers other VMs; private to mirror*.c.
 */
#ifndef MIRROR_INTERNAL_H
#define MIRROR_INTERNAL_H

#include "mirror.h"

/** A question of another VM. */
struct mir_question
{
  struct cyc_ref peer;
  uint64_t ask;
  uint64_t from;
  bool load;
  uint64_t record;
  uint64_t at;
  uint64_t arrived_us;
  uint64_t deadline_us; /**< answered by then, also without a record */
};

/** Answers the questions that can be answered; all that are due, too. */
void mir_serve (struct mirror *mirror, uint64_t now_us);

#endif
