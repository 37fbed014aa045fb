/* Orders that are executed late, twice or out of order at random. Guards
   against a core that takes a run for over while a copy of its start can still
   be executed. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

/* Workers restart, leave, are cut off or lose their answers, entries are
   removed and read late, and leaders change. All jobs end once the faults have
   ended. */
#define RANDOM_WORKERS 4
#define RANDOM_JOBS 50
#define RANDOM_LEASE_MS 15000

static void
random_fault (struct fleet *fleet, GRand *rand)
{
  uint32_t row = (uint32_t)g_rand_int_range (rand, 0, RANDOM_WORKERS);
  guint orders = fleet->orders_in_flight->len;
  struct fleet_worker *worker;

  /* Half of the faults hit a worker to which an order is under way. */
  if (orders > 0 && g_rand_boolean (rand))
    row = ((struct order_in_flight *)g_ptr_array_index (
               fleet->orders_in_flight,
               (guint)g_rand_int_range (rand, 0, (gint)orders)))
              ->order.worker;
  worker = &fleet->workers[row];
  switch (g_rand_int_range (rand, 0, 12))
    {
    case 0:
    case 1:
      fleet_crash (fleet, row);
      fleet_restart (fleet, row);
      break;
    case 2:
    case 3:
      fleet_crash (fleet, row);
      fleet_restart_unread (fleet, row);
      break;
    case 4:
      fleet_crash (fleet, row);
      break;
    case 5:
    case 6:
      if (!worker->up)
        fleet_restart_unread (fleet, row);
      fleet_list (fleet, row);
      break;
    case 7:
      worker->partitioned = !worker->partitioned;
      break;
    case 8:
      worker->answers_lost = !worker->answers_lost;
      break;
    case 9:
      fleet->open_calls_ms = (uint32_t)g_rand_int_range (rand, 0, 2500);
      fleet_takeover (fleet);
      break;
    case 10:
      if (worker->up && worker->draining && g_rand_boolean (rand))
        fleet_leave (fleet, row);
      else if (worker->up)
        fleet_drain (fleet, row, worker->draining ? 0 : 1500);
      break;
    default:
      if (worker->listed && worker->up)
        fleet_lapse_entry (fleet, row);
      break;
    }
}

static void
run_seed (uint32_t seed)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  GRand *rand = g_rand_new_with_seed (seed);
  uint64_t job = 0;

  fleet_setup_leased (fleet, RANDOM_WORKERS, 4000, RANDOM_LEASE_MS);
  fleet->call_faults = (struct fleet_call_faults){
    .rand = rand,
    .late_permille = 100,
    .lost_permille = 100,
    .reconnect_permille = 300,
    .twice_permille = 100,
    .late_hold_permille = 20,
    .report_delay_max_ms = 80,
  };
  for (int step = 0; step < 150; step++)
    {
      fleet_run (fleet, (uint64_t)g_rand_int_range (rand, 5, 300));
      if (job < RANDOM_JOBS && step % 3 == 0)
        fleet_submit (
            fleet, ++job,
            &(struct fleet_job){
                .tasks = { (uint32_t)g_rand_int_range (rand, 1, 5) },
                .work_ms = (uint32_t)g_rand_int_range (rand, 100, 4000),
                .gang = g_rand_int_range (rand, 0, 4) == 0,
            });
      if (g_rand_int_range (rand, 0, 2) == 0)
        random_fault (fleet, rand);
    }
  for (uint32_t i = 0; i < RANDOM_WORKERS; i++)
    {
      fleet->workers[i].partitioned = false;
      fleet->workers[i].answers_lost = false;
      if (!fleet->workers[i].up)
        fleet_restart (fleet, i);
      fleet_drain (fleet, i, 0);
      fleet_list (fleet, i);
    }
  fleet->call_faults.late_permille = 0;
  fleet->call_faults.lost_permille = 0;
  fleet->call_faults.twice_permille = 0;
  fleet->call_faults.late_hold_permille = 0;
  fleet_run (fleet, 90000);
  if (getenv ("CELL_REASONS") != NULL)
    for (uint32_t i = 0; i < G_N_ELEMENTS (fleet->conclusions); i++)
      printf ("%u%s", fleet->conclusions[i],
              i + 1 < G_N_ELEMENTS (fleet->conclusions) ? " " : "\n");
  if (fleet->violations > 0)
    fail_msg ("seed %u: %u violations, first: %s", seed, fleet->violations,
              fleet->first_violation);
  for (uint64_t j = 1; j <= job; j++)
    if (fleet_job_state (fleet, j) < CELL_JOB_COMPLETE)
      fail_msg ("seed %u: job %d is in state %d at the end", seed, (int)j,
                (int)fleet_job_state (fleet, j));
  if (fleet_running (fleet) > 0)
    fail_msg ("seed %u: %u runs remain at the end", seed,
              fleet_running (fleet));
  g_rand_free (rand);
  fleet_teardown (fleet);
  free (fleet);
}

static void
test_random (void **state)
{
  const char *seeds = getenv ("CELL_SEEDS");
  const char *first = getenv ("CELL_SEED");
  uint32_t begin_seed = first != NULL ? (uint32_t)atoi (first) : 1;
  uint32_t count = seeds != NULL ? (uint32_t)atoi (seeds) : 40;

  (void)state;
  for (uint32_t seed = begin_seed; seed < begin_seed + count; seed++)
    run_seed (seed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_random) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
