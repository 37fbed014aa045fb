/**
 * @file
 * Runs real processes on loopback under two faults at once. A checker verifies
 * the guarantees of design section 2 from the workers' journals and from the
 * replies to callers; see test_process_faults.c.
 *
 * Guards against violations that need two faults, such as an owner that is
 * paused while the log answers late.
 *
 * Arguments: names of the cases to run ("FAULT+FAULT"); without arguments, all
 * cases.
 */
#include "tst_fault.h"

static const char *const pairs[] = {
  "gateway-killed+owner-killed",
  "gateway-killed-sending+owner-paused",
  "owner-killed+log-slow",
  "owner-paused+log-slow",
  "owner-paused+worker-silent",
  "log-down+gateway-killed",
  "log-answers-lost+gateway-killed-sending",
  "log-answers-lost+owner-killed",
  "log-limited+owner-paused",
  "worker-gone+owner-killed",
  "worker-silent+gateway-killed",
  "worker-answers-lost+gateway-killed",
  "list-wrong+worker-gone",
  "list-down+owner-killed",
  "target-leaves+owner-killed",
  "silent-connections+owner-paused",
  "silent-connections+gateway-killed",
  "key-withdrawn+log-slow",
  "gateway-stopped+owner-stopped",
  "entry-vms-replaced+worker-gone",
  "targets-busy+gateway-killed",
  "targets-busy+owner-killed",
  "targets-busy+target-leaves",
  "gateway-paused+log-answers-lost",
  "gateway-paused+owner-killed-twice",
  "owner-paused+log-down",
  "log-down+entry-vms-replaced",
  "log-slow+queue-published",
  "domain-cut+owner-killed",
  "log-cut-from-domain+key-withdrawn",
  "log-cut-from-domain+queue-published",
};

int
main (int argc, char **argv)
{
  return tst_trial_main (argc, argv, pairs, G_N_ELEMENTS (pairs));
}
