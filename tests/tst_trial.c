#include "tst_fault.h"

#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define MAX_CONCURRENT_CASES 4
#define START_TIMEOUT_MS 20000
/* Takes about two seconds, longer than the claim lease and a takeover. */
#define CALLS_UNDER_FAULT 600
#define RECOVERY_TIMEOUT_MS 15000

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

  tst_site_run_job (site, queue, state, RECOVERY_TIMEOUT_MS);
  if (strcmp (state, "done") != 0)
    tst_add_violation (site, "a job of %s is \"%s\" after the fault", queue,
                       state);
}

static void
run_under_faults (struct tst_trial *trial, const struct tst_fault *faults[2])
{
  struct tst_site *site = &trial->site;
  char *journal;

  tst_load_start (&trial->load, site);
  tst_load_wait_calls (&trial->load, 50, 5000);
  for (int i = 0; i < 2; i++)
    if (faults[i] != NULL && faults[i]->begin != NULL)
      faults[i]->begin (trial);
  tst_load_wait_calls (&trial->load, CALLS_UNDER_FAULT, 3000);
  for (int i = 1; i >= 0; i--)
    if (faults[i] != NULL && faults[i]->end != NULL)
      faults[i]->end (trial);
  tst_site_wait_serving (site, RECOVERY_TIMEOUT_MS);
  tst_load_stop (&trial->load);
  check_job (site, "tally");
  check_job (site, "train");
  tst_load_wait_jobs (&trial->load, RECOVERY_TIMEOUT_MS);
  journal = tst_site_read_journal (site);
  tst_load_check (&trial->load, journal);
  free (journal);
  tst_load_release (&trial->load);
}

/* Runs one case. Returns the exit status of its process: 0 without violations,
   1 with violations, 2 if the fault is unknown or memory is short. */
static int
run_case (const char *name)
{
  struct tst_trial *trial = calloc (1, sizeof *trial);
  const struct tst_fault *faults[2];
  uint32_t violations;

  if (trial == NULL || !split_case (name, faults))
    {
      printf ("FAILED %s: unknown fault\n", name);
      return 2;
    }
  trial->stopped_owner = -1;
  if (tst_site_start (&trial->site, name)
      && tst_site_wait_serving (&trial->site, START_TIMEOUT_MS))
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

/* Waits until one case has ended. Returns 1 if it failed, otherwise 0. */
static uint32_t
wait_for_case (void)
{
  int status = 0;

  return wait (&status) > 0
         && !(WIFEXITED (status) && WEXITSTATUS (status) == 0);
}

uint32_t
tst_trial_run (const char *const *names, uint32_t count)
{
  uint32_t running = 0;
  uint32_t failed = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      if (running == MAX_CONCURRENT_CASES)
        {
          failed += wait_for_case ();
          running--;
        }
      fflush (stdout);
      if (fork () == 0)
        _exit (run_case (names[i]));
      running++;
    }
  for (; running > 0; running--)
    failed += wait_for_case ();
  return failed;
}

int
tst_trial_main (int argc, char **argv, const char *const *names,
                uint32_t count)
{
  uint32_t failed;

  if (argc > 1)
    {
      names = (const char *const *)argv + 1;
      count = (uint32_t)argc - 1;
    }
  failed = tst_trial_run (names, count);
  printf ("%u cases, %u failed\n", count, failed);
  return failed == 0 ? 0 : 1;
}
