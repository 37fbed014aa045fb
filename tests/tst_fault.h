/**
 * @file
 * Faults of the process tests. Each has an action that begins it and one that
 * ends it. A trial runs one or two faults on its own installation under load.
 */
#ifndef TST_FAULT_H
#define TST_FAULT_H

#include "tst_load.h"

/** State of one case. */
struct tst_trial
{
  struct tst_site site;
  struct tst_load load;
  /** VM whose scheduler a fault killed or stopped; -1 if none. */
  int stopped_owner;
  char digest[80]; /**< digest of the key that is withdrawn */
};

struct tst_fault
{
  const char *name; /**< as in the arguments of the test program */
  void (*begin) (struct tst_trial *trial); /**< may be NULL */
  void (*end) (struct tst_trial *trial);   /**< may be NULL */
};

/** Table of all faults; the last row has no name. */
extern const struct tst_fault tst_faults[];
/** Returns the fault with the name, or NULL. */
const struct tst_fault *tst_fault_find (const char *name);

/** Runs the cases ("FAULT" or "FAULT+FAULT"), several at once, each in a
 * process and with an installation of its own. Prints the result and any
 * violations of each. Returns the number of failed cases. */
uint32_t tst_trial_run (const char *const *names, uint32_t count);
/** Runs the cases given as arguments, or all of @p names if there are none.
 * Returns the exit status: 0 if no case failed, otherwise 1. */
int tst_trial_main (int argc, char **argv, const char *const *names,
                    uint32_t count);

#endif
