/* All short sequences of restarts, partitions, takeovers and exits around one
   start, for each fate of the order. Guards against a core that takes a run
   for over while a copy of its start can still be executed, or that never
   does. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define DEPTH_MAX 5
#define DEPTH_DEFAULT 3
#define WORKERS 2
/** Time within which the job has ended after the last event: the longest delay
 * of a late call, a lease, and the job itself. */
#define SETTLE_MS 24000
#define SETTLE_STEP_MS 100

/** What happens to the first start. */
struct fate
{
  const char *name;
  uint32_t arrival_ms;
  uint32_t late_ms;
  uint32_t call_ms; /**< until a call without an answer ends */
  bool lost;
  bool reconnects;
};

static const struct fate fates[] = {
  { .name = "answered" },
  { .name = "arrives late", .arrival_ms = 150, .reconnects = true },
  { .name = "reset", .lost = true },
  { .name = "no answer", .call_ms = 1200, .lost = true },
  { .name = "late after a reset", .late_ms = 2500 },
  { .name = "late without an answer", .late_ms = 2500, .call_ms = 1200 },
  { .name = "late in the next incarnation",
    .arrival_ms = 150,
    .late_ms = 2500,
    .call_ms = 1200,
    .reconnects = true },
  { .name = "late in the next incarnation after a reset",
    .arrival_ms = 150,
    .late_ms = 2500,
    .call_ms = 150,
    .reconnects = true },
};

struct chooser
{
  const struct fate *fate;
  uint64_t sent_ms;
  uint32_t starts;
  uint32_t row;
};

static void
choose (void *user, struct order_in_flight *order)
{
  struct chooser *chooser = user;
  const struct fate *fate = chooser->fate;

  if (order->order.kind != CELL_ORDER_START || chooser->starts++ > 0)
    return;
  chooser->row = order->order.worker;
  order->call_end_ms = order->due_ms + fate->call_ms;
  order->due_ms += fate->arrival_ms;
  order->late_ms = fate->late_ms;
  order->answer_lost = fate->lost;
  order->reconnects = fate->reconnects;
}

static void
wait_briefly (struct fleet *fleet, uint32_t row)
{
  (void)row;
  fleet_run (fleet, 200);
}

static void
wait_for_the_call (struct fleet *fleet, uint32_t row)
{
  (void)row;
  fleet_run (fleet, 1300);
}

static void
restart (struct fleet *fleet, uint32_t row)
{
  fleet_crash (fleet, row);
  fleet_restart (fleet, row);
}

static void
restart_unread (struct fleet *fleet, uint32_t row)
{
  fleet_crash (fleet, row);
  fleet_restart_unread (fleet, row);
}

static void
partition (struct fleet *fleet, uint32_t row)
{
  fleet->workers[row].partitioned = !fleet->workers[row].partitioned;
}

static void
lose_answers (struct fleet *fleet, uint32_t row)
{
  fleet->workers[row].answers_lost = !fleet->workers[row].answers_lost;
}

static void
take_over (struct fleet *fleet, uint32_t row)
{
  (void)row;
  fleet_takeover (fleet);
}

static void
leave (struct fleet *fleet, uint32_t row)
{
  if (!fleet->workers[row].listed)
    return;
  fleet_drain (fleet, row, 1000);
  fleet_leave (fleet, row);
}

static void (*const events[]) (struct fleet *fleet, uint32_t row)
    = { wait_briefly, wait_for_the_call, restart,   restart_unread,
        partition,    lose_answers,      take_over, leave };

#define FATES (sizeof fates / sizeof fates[0])
#define EVENTS (sizeof events / sizeof events[0])

static const struct fleet_job jobs[] = {
  { .tasks = { 1 }, .work_ms = 400 },
  { .tasks = { 2 }, .work_ms = 400, .gang = true, .max_per_worker = 1 },
};

/* Returns whether the job ends and no invariant is violated. */
static bool
play (struct fleet *fleet, const struct fleet_job *job,
      const struct fate *fate, const uint32_t *sequence, uint32_t depth)
{
  struct chooser chooser = { .fate = fate };
  bool ended;

  fleet_setup (fleet, WORKERS, 1000);
  fleet->call_faults.choose = choose;
  fleet->call_faults.user = &chooser;
  fleet_run (fleet, 50);
  fleet_submit (fleet, 1, job);
  while (chooser.starts == 0)
    fleet_run (fleet, 5);
  for (uint32_t e = 0; e < depth; e++)
    {
      events[sequence[e]](fleet, chooser.row);
      fleet_run (fleet, 60);
    }
  for (uint32_t w = 0; w < WORKERS; w++)
    {
      fleet->workers[w].partitioned = false;
      fleet->workers[w].answers_lost = false;
      fleet->workers[w].draining = false;
      if (!fleet->workers[w].up)
        fleet_restart_unread (fleet, w);
      fleet_list (fleet, w);
    }
  for (uint32_t ms = 0; ms < SETTLE_MS; ms += SETTLE_STEP_MS)
    {
      fleet_run (fleet, SETTLE_STEP_MS);
      if (fleet->orders_in_flight->len == 0
          && fleet_job_state (fleet, 1) == CELL_JOB_COMPLETE)
        break;
    }
  ended = fleet_job_state (fleet, 1) == CELL_JOB_COMPLETE;
  if (fleet->violations > 0 || !ended)
    {
      printf ("%s, gang %d, events", fate->name, job->gang);
      for (uint32_t e = 0; e < depth; e++)
        printf (" %u", sequence[e]);
      printf (": ended %d, %s\n", ended, fleet->first_violation);
    }
  ended = ended && fleet->violations == 0;
  fleet_teardown (fleet);
  return ended;
}

/* Advances to the next sequence; returns false after the last one. */
static bool
next_sequence (uint32_t *sequence, uint32_t depth)
{
  for (uint32_t e = 0; e < depth; e++)
    {
      if (++sequence[e] < EVENTS)
        return true;
      sequence[e] = 0;
    }
  return false;
}

static void
test_sequences (void **state)
{
  const char *wanted = getenv ("CELL_DEPTH");
  uint32_t depth = wanted != NULL ? (uint32_t)atoi (wanted) : DEPTH_DEFAULT;
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint32_t count = 0;
  uint32_t failed = 0;

  (void)state;
  assert_true (depth >= 1 && depth <= DEPTH_MAX);
  for (size_t j = 0; j < sizeof jobs / sizeof jobs[0]; j++)
    for (size_t f = 0; f < FATES; f++)
      {
        uint32_t sequence[DEPTH_MAX] = { 0 };

        do
          {
            failed += !play (fleet, &jobs[j], &fates[f], sequence, depth);
            count++;
          }
        while (next_sequence (sequence, depth));
      }
  printf ("%u sequences, %u failed\n", count, failed);
  free (fleet);
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_sequences) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
