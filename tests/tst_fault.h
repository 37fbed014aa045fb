/**
 * @file
 * Faults of the process tests: each has an action and its end. A trial runs
 * one or two of them on an installation of its own under load.
 */
#ifndef TST_FAULT_H
#define TST_FAULT_H

#include "tst_load.h"

struct tst_trial
{
  struct tst_site site;
  struct tst_load load;
  int stopped_owner; /**< scheduler that a fault stopped, or -1 */
  char digest[80];   /**< of the key that is withdrawn */
};

struct tst_fault
{
  const char *name;
  void (*begin) (struct tst_trial *trial);
  void (*end) (struct tst_trial *trial); /**< may be NULL */
};

/** Table of all faults; the last row has no name. */
extern const struct tst_fault tst_faults[];
const struct tst_fault *tst_fault_find (const char *name);

/** Runs cases ("FAULT" or "FAULT+FAULT"), several at once, each with its own
 * installation, and prints a line for each; the number of failed ones. */
uint32_t tst_trial_run (const char *const *names, uint32_t count);
/** Runs the cases of the arguments, or all of @p names; the exit status. */
int tst_trial_main (int argc, char **argv, const char *const *names,
                    uint32_t count);

#endif
