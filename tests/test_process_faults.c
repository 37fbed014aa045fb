/**
 * @file
 * Runs real processes on loopback, once under each fault. A checker verifies
 * the guarantees of design section 2 from the workers' journals and from the
 * replies to callers.
 *
 * Each case guards against a violated guarantee: a worker over its capacity,
 * a task that runs on two workers, a once-only request that is received twice,
 * the outcome "not-run" for a request that was received, an answer that
 * belongs to another request, work for a target that has left, the loss of an
 * accepted job, and an installation that does not recover.
 *
 * Arguments: names of the faults to run; without arguments, all faults.
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
