/**
 * @file
 * Real processes on loopback under faults, alone and in pairs. A checker
 * decides the promises of design section 2 from the workers' journals and
 * from what callers were told.
 *
 * Each case guards against a breach of a promise: a worker over its capacity,
 * a task in two places, a once-only request received twice, a false "not
 * run", an answer that is not the caller's own, work for a target that left,
 * an accepted job that is lost, and an installation that does not recover.
 *
 * Arguments: names of cases to run, as "FAULT" or "FAULT+FAULT".
 */
#include "tst_fault.h"

#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define AT_ONCE 3
#define START_MS 20000
/* About two seconds: longer than the claim lease and a takeover. */
#define CALLS_UNDER_FAULT 400
#define RECOVERY_MS 15000

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
};

static bool
split_case (const char *name, const struct tst_fault *faults[2])
{
  char copy[128];
  char *plus;

  g_strlcpy (copy, name, sizeof copy);
  plus = strchr (copy, '+');
  if (plus != NULL)
    *plus = '\0';
  faults[0] = tst_fault_find (copy);
  faults[1] = plus ? tst_fault_find (plus + 1) : NULL;
  return faults[0] != NULL && (plus == NULL || faults[1] != NULL);
}

static void
check_job (struct tst_site *site, const char *queue)
{
  char state[32];

  tst_site_job (site, queue, state, RECOVERY_MS);
  if (strcmp (state, "done") != 0)
    tst_violation (site, "a job of %s is \"%s\" after the fault", queue,
                   state);
}

static void
run_under_faults (struct tst_trial *trial, const struct tst_fault *faults[2])
{
  struct tst_site *site = &trial->site;

  tst_load_start (&trial->load, site);
  tst_load_wait_calls (&trial->load, 50, 5000);
  for (int i = 0; i < 2; i++)
    if (faults[i] != NULL && faults[i]->begin != NULL)
      faults[i]->begin (trial);
  tst_load_wait_calls (&trial->load, CALLS_UNDER_FAULT, 3000);
  for (int i = 1; i >= 0; i--)
    if (faults[i] != NULL && faults[i]->end != NULL)
      faults[i]->end (trial);
  tst_site_wait_serving (site, RECOVERY_MS);
  tst_load_stop (&trial->load);
  check_job (site, "tally");
  check_job (site, "train");
  tst_load_wait_jobs (&trial->load, RECOVERY_MS);
  tst_check (&trial->load);
}

/* Exit status of the case's process: 0 no violation. */
static int
run_case (const char *name)
{
  struct tst_trial *trial = calloc (1, sizeof *trial);
  const struct tst_fault *faults[2];
  uint32_t violations;

  if (trial == NULL || !split_case (name, faults))
    {
      printf ("FAILED %s: no such fault\n", name);
      return 2;
    }
  trial->owner = -1;
  if (tst_site_start (&trial->site, name)
      && tst_site_wait_serving (&trial->site, START_MS))
    run_under_faults (trial, faults);
  tst_site_stop (&trial->site);
  violations = trial->site.violation_count;
  printf ("%s %s\n", violations == 0 ? "ok    " : "FAILED", name);
  for (uint32_t i = 0; i < violations && i < 8; i++)
    printf ("       %s\n", trial->site.violations[i]);
  if (violations > 0)
    printf ("       %u violations, logs in %s\n", violations, trial->site.dir);
  fflush (stdout);
  free (trial);
  return violations == 0 ? 0 : 1;
}

static uint32_t
finish_one (void)
{
  int status = 0;

  return wait (&status) > 0
         && !(WIFEXITED (status) && WEXITSTATUS (status) == 0);
}

static uint32_t
run_cases (const char *const *names, uint32_t count)
{
  uint32_t running = 0;
  uint32_t failed = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      if (running == AT_ONCE)
        {
          failed += finish_one ();
          running--;
        }
      fflush (stdout);
      if (fork () == 0)
        _exit (run_case (names[i]));
      running++;
    }
  for (; running > 0; running--)
    failed += finish_one ();
  return failed;
}

int
main (int argc, char **argv)
{
  const char *names[128];
  uint32_t count = 0;
  uint32_t failed;

  for (int i = 1; i < argc && count < 128; i++)
    names[count++] = argv[i];
  if (argc == 1)
    {
      for (const struct tst_fault *fault = tst_faults; fault->name != NULL;
           fault++)
        names[count++] = fault->name;
      for (size_t i = 0; i < sizeof pairs / sizeof pairs[0]; i++)
        names[count++] = pairs[i];
    }
  failed = run_cases (names, count);
  printf ("%u cases, %u failed\n", count, failed);
  return failed == 0 ? 0 : 1;
}
