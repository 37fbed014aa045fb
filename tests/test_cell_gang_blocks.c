/* Failed runs of a gang whose members are in several blocks, with batches that
   become durable out of order. Guards against an end that is acknowledged
   before the record of the block with the count is durable, so that a leader
   that follows knows of no failed run (BUDGET), and against a run that such a
   leader counts again (LOST). */

#include "tst_fleet_internal.h"

#include "cell.pb-c.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define WORKERS 40
#define WORKER_MILLICORES 8000
#define MEMBERS 300
#define MEMBERS_PER_WORKER 8
/** Tasks of a block; the record of the first one has the count. */
#define BLOCK_TASKS 128
#define WORK_MS 60000
#define STEP_MS 5
/** From the first end until all ends that are told are acknowledged. */
#define WATCH_MS 400
#define OFFSETS 16

struct block_case
{
  const char *name;
  uint32_t batch_skew_ms;
  bool takeover;    /* as soon as an end is acknowledged */
  uint32_t failing; /* members that end as failed, one every STEP_MS */
};

static const struct block_case cases[] = {
  { "batches in order", 0, false, 6 },
  { "batches out of order", 40, false, 6 },
  { "batches in order and a takeover", 0, true, 6 },
  { "batches out of order and a takeover", 40, true, 6 },
  { "one member, batches out of order and a takeover", 40, true, 1 },
};

/* Returns the count of failed runs in the durable record of the first
   block. */
static uint32_t
durable_failures (const struct fleet *fleet)
{
  const struct fleet_record *record
      = g_hash_table_lookup (fleet->progress, "1.0.0");
  Cyc__CellProgress *progress;
  uint32_t failures = 0;
  gsize len;
  const uint8_t *data;

  if (record == NULL)
    return 0;
  data = g_bytes_get_data (record->data, &len);
  progress = cyc__cell_progress__unpack (NULL, len, data);
  assert_non_null (progress);
  if (progress->n_rounds > 0 && progress->rounds[0]->n_failures > 0)
    failures = progress->rounds[0]->failures[0];
  cyc__cell_progress__free_unpacked (progress, NULL);
  return failures;
}

static bool
is_of_later_block (const struct fleet_run *run)
{
  return atoi (strrchr (run->task, '.') + 1) >= BLOCK_TASKS;
}

/* A worker with members of the first block does not answer meanwhile, so that
   nothing but the count has the record of that block written. */
static void
quieten_first_block (struct fleet *fleet, bool quiet)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count || !quiet; r++)
      {
        fleet->workers[w].answers_lost
            = quiet && !is_of_later_block (&fleet->workers[w].runs[r]);
        if (!quiet || fleet->workers[w].answers_lost)
          break;
      }
}

/* A member on the worker ends as failed by itself. Returns false if the worker
   has none, or does not answer. */
static bool
fail_member (struct fleet *fleet, uint32_t row)
{
  struct fleet_worker *worker = &fleet->workers[row];

  if (worker->run_count == 0 || worker->answers_lost)
    return false;
  worker->runs[0].gang = false;
  worker->runs[0].fails = true;
  worker->runs[0].end_ms = fleet->now_ms;
  return true;
}

static void
wait_for_starts (struct fleet *fleet, const struct block_case *c)
{
  for (uint32_t i = 0; fleet->starts < MEMBERS && i < 1000; i++)
    fleet_run (fleet, STEP_MS);
  if (fleet->starts != MEMBERS)
    fail_msg ("%s: %u starts", c->name, fleet->starts);
}

static void
run_offset (const struct block_case *c, uint32_t offset)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint32_t failed = 0;
  uint32_t row = 0;
  bool taken_over = false;

  fleet_setup (fleet, WORKERS, WORKER_MILLICORES);
  fleet->batch_skew_ms = c->batch_skew_ms;
  fleet_run (fleet, 100);
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { MEMBERS },
                                     .gang = true,
                                     .max_per_worker = MEMBERS_PER_WORKER,
                                     .millicores = 50,
                                     .work_ms = WORK_MS });
  wait_for_starts (fleet, c);
  fleet_run (fleet, 500 + (uint64_t)offset * STEP_MS);
  quieten_first_block (fleet, true);
  for (uint32_t ms = 0; ms < WATCH_MS; ms += STEP_MS)
    {
      while (failed < c->failing && row < WORKERS
             && !fail_member (fleet, row++))
        ;
      failed = MIN (failed + 1, c->failing);
      fleet_run (fleet, STEP_MS);
      if (g_hash_table_size (fleet->failures) == 0)
        continue;
      if (durable_failures (fleet) != 1)
        fail_msg ("%s, offset %u: an end was acknowledged while the durable "
                  "count was %u",
                  c->name, offset, durable_failures (fleet));
      if (c->takeover && !taken_over)
        fleet_takeover (fleet);
      taken_over = true;
    }
  assert_true (g_hash_table_size (fleet->failures) > 0);
  quieten_first_block (fleet, false);
  fleet_run (fleet, 1000);
  if (durable_failures (fleet) != 1
      || fleet_job_state (fleet, 1) != CELL_JOB_ACTIVE)
    fail_msg ("%s, offset %u: %u failures, state %d", c->name, offset,
              durable_failures (fleet), (int)fleet_job_state (fleet, 1));
  if (fleet->violations > 0)
    fail_msg ("%s, offset %u: %s", c->name, offset, fleet->first_violation);
  fleet_teardown (fleet);
  free (fleet);
}

static void
test_acknowledged_end_is_counted_durably (void **state)
{
  for (uint32_t offset = 0; offset < OFFSETS; offset++)
    run_offset (*state, offset);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0]];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){
      .name = cases[i].name,
      .test_func = test_acknowledged_end_is_counted_durably,
      .initial_state = (void *)&cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
