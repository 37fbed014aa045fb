/* A VM that was suspended. CLOCK_MONOTONIC stands still meanwhile, so
   deadlines that are counted on it come too late by the time of the
   suspension: a leader would still take itself for confirmed and extend leases
   that its successor takes for lapsed. */

#include "http_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#define SUSPENDED_S 60
#define RUN_MAX_US 5000000

static time_t suspended_s;

/* In place of the C library's. */
int
clock_gettime (clockid_t clock, struct timespec *out)
{
  int result = (int)syscall (SYS_clock_gettime, clock, out);

  if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)
    out->tv_sec += suspended_s;
  return result;
}

static void
test_deadline_passes_during_a_suspension (void **state)
{
  uint64_t before_us = hc_now_us ();

  (void)state;
  suspended_s = SUSPENDED_S;
  assert_in_range (hc_now_us () - before_us, SUSPENDED_S * 1000000ULL,
                   SUSPENDED_S * 1000000ULL + RUN_MAX_US);
  suspended_s = 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_deadline_passes_during_a_suspension),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
