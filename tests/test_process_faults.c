/**
 * @file
 * Real processes on loopback, once under each fault. A checker decides the
 * promises of design section 2 from the workers' journals and from what
 * callers were told.
 *
 * Each case guards against a breach of a promise: a worker over its capacity,
 * a task in two places, a once-only request received twice, a false "not
 * run", an answer that is not the caller's own, work for a target that left,
 * an accepted job that is lost, and an installation that does not recover.
 * Arguments: names of faults.
 */
#include "tst_fault.h"

int
main (int argc, char **argv)
{
  const char *names[64];
  uint32_t count = 0;

  for (const struct tst_fault *fault = tst_faults;
       fault->name != NULL && count < G_N_ELEMENTS (names); fault++)
    names[count++] = fault->name;
  return tst_trial_main (argc, argv, names, count);
}
