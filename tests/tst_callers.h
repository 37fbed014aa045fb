/**
 * @file
 * Callers of the simulated fleet: each submits one job at the door, and comes
 * back when Retry-After says so until it is accepted.
 *
 * @code
 * callers_setup (&callers, &fleet);
 * callers_add (&callers, 1, &(struct fleet_job){ .tasks = { 2 } });
 * callers_run (&callers, 5000);
 * assert_int_equal (callers.accepted, 1);
 * callers_teardown (&callers);
 * @endcode
 */
#ifndef TST_CALLERS_H
#define TST_CALLERS_H

#include "tst_fleet.h"

struct callers
{
  struct fleet *fleet;
  GArray *waiting;           /**< of struct caller; will come back */
  uint32_t accepted;         /**< jobs accepted, at once or later */
  uint32_t refused;          /**< callers refused when they came first */
  GPtrArray *refused_queues; /**< names of the queues of these */
  uint32_t returned;         /**< callers that came back for the first time */
  uint32_t kept;             /**< of these, those accepted then */
  uint64_t longest_wait_ms; /**< longest time that a caller was told to wait */
};

void callers_setup (struct callers *callers, struct fleet *fleet);
void callers_teardown (struct callers *callers);
/** A caller submits a job now. */
void callers_add (struct callers *callers, uint64_t id,
                  const struct fleet_job *job);
/** Returns the number of callers of the queue that were refused when they came
 * first. */
uint32_t callers_refused_of (const struct callers *callers, const char *queue);
/** Callers whose time has come submit their jobs again. */
void callers_tick (struct callers *callers);
/** Advances the fleet by @p ms, with callers that come back meanwhile. */
void callers_run (struct callers *callers, uint64_t ms);

#endif
