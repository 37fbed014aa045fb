/* The capacity of a worker shrinks and grows while it runs. Guards against
   starts beyond the capacity that its entry shows, and against tasks that keep
   waiting although it has grown again. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#define MILLICORES 4000
/* A worker that has grown again starts a task within this time. */
#define START_MAX_MS 200
#define COMPLETE_MAX_MS 10000
/* Starts that a worker refuses within one heartbeat, after which its entry
   shows its capacity. */
#define REFUSED_MAX 4

/* A job is placed on workers of MILLICORES. Before its starts are ordered, the
   entries of all workers show `shrunk_millicores`; later they grow again. */
struct shrink_case
{
  const char *description;
  struct fleet_job job;
  uint32_t workers;
  uint32_t shrunk_millicores;
  uint32_t running; /**< while the workers are small */
  bool unstored;    /**< the starts wait for the job, not for their record */
  bool takeover;    /**< the leader changes while they are small */
};

static const struct shrink_case shrink_cases[] = {
  { "nothing is left", { .tasks = { 4 } }, 1, 0, 0 },
  { "none fits", { .tasks = { 4 } }, 1, 500, 0 },
  { "one of two fits", { .tasks = { 2 }, .millicores = 2000 }, 1, 3000, 1 },
  { "two of four fit", { .tasks = { 4 } }, 1, 2000, 2 },
  { "three of four fit", { .tasks = { 4 } }, 1, 3999, 3 },
  { "all fit", { .tasks = { 4 } }, 1, 4000, 4 },
  { "two on each of two", { .tasks = { 8 } }, 2, 2000, 4 },
  { "waits for its job", { .tasks = { 4 } }, 1, 2000, 2, .unstored = true },
  { "another leader", { .tasks = { 4 } }, 1, 2000, 2, .takeover = true },
  { "a gang", { .tasks = { 4 }, .gang = true }, 1, 3000, 0 },
  { "a gang on two", { .tasks = { 8 }, .gang = true }, 2, 3000, 0 },
};

static void
resize_all (struct fleet *fleet, uint32_t millicores)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    fleet_resize (fleet, w, millicores);
}

static void
play_shrink (const struct shrink_case *row)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct fleet_job job = row->job;

  job.work_ms = 1500;
  fleet_setup (fleet, row->workers, MILLICORES);
  fleet_run (fleet, 100);
  fleet->log_down = !row->unstored;
  if (row->unstored)
    fleet_submit_unstored (fleet, 1, &job);
  else
    fleet_submit (fleet, 1, &job);
  fleet_run (fleet, 100);
  assert_int_equal (fleet->starts, 0);
  resize_all (fleet, row->shrunk_millicores);
  fleet->log_down = false;
  if (row->takeover)
    fleet_takeover (fleet);
  fleet_finish_submit (fleet, 1, true);
  fleet_run (fleet, 1000);
  if (fleet->violations > 0)
    fail_msg ("%s: %s", row->description, fleet->first_violation);
  if (fleet_running (fleet) != row->running)
    fail_msg ("%s: %u runs, expected %u", row->description,
              fleet_running (fleet), row->running);
  fleet_run (fleet, 5000);
  resize_all (fleet, MILLICORES);
  if (row->running == 0)
    {
      fleet_run (fleet, START_MAX_MS);
      if (fleet_running (fleet) == 0)
        fail_msg ("%s: no start after the workers have grown",
                  row->description);
    }
  fleet_run (fleet, COMPLETE_MAX_MS);
  if (fleet->violations > 0)
    fail_msg ("%s: %s", row->description, fleet->first_violation);
  if (fleet_job_state (fleet, 1) != CELL_JOB_COMPLETE)
    fail_msg ("%s: the job is not complete", row->description);
  fleet_teardown (fleet);
  free (fleet);
}

static void
test_capacity_shrinks_before_the_start (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (shrink_cases); i++)
    play_shrink (&shrink_cases[i]);
}

/* Nothing else happens when the worker grows: no run ends and no job comes. */
static void
test_waiting_task_starts_when_its_worker_grows (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  (void)state;
  fleet_setup (fleet, 1, 500);
  fleet_run (fleet, 100);
  fleet_submit (fleet, 1, &(struct fleet_job){ .tasks = { 1 } });
  fleet_run (fleet, 5000);
  assert_int_equal (fleet->starts, 0);
  fleet_resize (fleet, 0, 1000);
  fleet_run (fleet, START_MAX_MS);
  assert_int_equal (fleet->starts, 1);
  fleet_teardown (fleet);
  free (fleet);
}

/* Runs that no longer fit go on, and count until their ends are listed. */
static void
test_runs_above_the_capacity_go_on (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  (void)state;
  fleet_setup (fleet, 1, MILLICORES);
  fleet_run (fleet, 100);
  fleet_submit (fleet, 1,
                &(struct fleet_job){ .tasks = { 4 }, .work_ms = 3000 });
  fleet_run (fleet, 500);
  assert_int_equal (fleet_running (fleet), 4);
  fleet_resize (fleet, 0, 1500);
  fleet_submit (fleet, 2, &(struct fleet_job){ .tasks = { 2 } });
  fleet_run (fleet, 1000);
  fleet_takeover (fleet);
  fleet_run (fleet, 1000);
  assert_int_equal (fleet_running (fleet), 4);
  assert_int_equal (fleet->stops, 0);
  fleet_run (fleet, COMPLETE_MAX_MS);
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
  assert_int_equal (fleet->starts, 6);
  assert_int_equal (fleet_job_state (fleet, 2), CELL_JOB_COMPLETE);
  fleet_teardown (fleet);
  free (fleet);
}

/* An earlier incarnation's entry is read after the worker is known to have
   started again, smaller. Guards against its capacity coming back. */
static void
test_entry_of_an_earlier_incarnation (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct fleet_worker *worker;
  uint64_t born_ms;

  (void)state;
  fleet_setup (fleet, 1, MILLICORES);
  worker = &fleet->workers[0];
  fleet_run (fleet, 100);
  fleet_crash (fleet, 0);
  fleet_restart (fleet, 0);
  fleet_resize (fleet, 0, 1000);
  fleet_run (fleet, 4000);
  born_ms = worker->born_ms;
  worker->born_ms = 1;
  fleet_resize (fleet, 0, MILLICORES);
  worker->born_ms = born_ms;
  worker->millicores = 1000;
  fleet_submit (fleet, 1, &(struct fleet_job){ .tasks = { 4 } });
  fleet_run (fleet, COMPLETE_MAX_MS);
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  fleet_teardown (fleet);
  free (fleet);
}

/* A worker starts again with less capacity, and answers before its entry is
   read. Guards against starts by the capacity of the earlier incarnation. */
static void
test_restarted_worker_is_smaller (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);

  (void)state;
  fleet_setup (fleet, 1, MILLICORES);
  fleet_run (fleet, 100);
  fleet_crash (fleet, 0);
  fleet_restart_unread (fleet, 0);
  fleet->workers[0].millicores = 1000;
  fleet_submit (fleet, 1, &(struct fleet_job){ .tasks = { 4 } });
  fleet_run (fleet, 4000);
  fleet_list (fleet, 0);
  fleet_run (fleet, COMPLETE_MAX_MS);
  if (fleet->violations > 0)
    fail_msg ("%s", fleet->first_violation);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  fleet_teardown (fleet);
  free (fleet);
}

struct kind_case
{
  const char *description;
  const char *pool;
  const char *label;
  uint32_t starts;
};

static const struct kind_case kind_cases[]
    = { { "the same kind", "pool", "odd", 1 },
        { "without the label", "pool", "even", 0 },
        { "of another pool", "other", "odd", 0 } };

/* While a start waits for its record, the worker's entry shows another kind.
   Guards against a start by the kind that it had. */
static void
test_worker_is_of_another_kind_before_the_start (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (kind_cases); i++)
    {
      const struct kind_case *row = &kind_cases[i];
      struct fleet *fleet = calloc (1, sizeof *fleet);
      struct cell_worker_entry entry
          = { .capacity = { MILLICORES, 1000000, 0 }, .label_count = 1 };

      fleet_setup (fleet, 1, MILLICORES);
      fleet->config->pools
          = realloc (fleet->config->pools, 2 * sizeof *fleet->config->pools);
      fleet->config->pools[1] = fleet->config->pools[0];
      cyc_name_set (&fleet->config->pools[1].name, CYC_STR ("other"));
      fleet->config->pool_count = 2;
      fleet_run (fleet, 100);
      fleet->log_down = true;
      fleet_submit (fleet, 1,
                    &(struct fleet_job){ .tasks = { 1 }, .label = "odd" });
      fleet_run (fleet, 100);
      cyc_name_set (&entry.id, cyc_str_of (fleet->workers[0].id));
      cyc_name_set (&entry.address, CYC_STR ("127.0.0.1:1"));
      cyc_name_set (&entry.pool, cyc_str_of (row->pool));
      cyc_name_set (&entry.labels[0], cyc_str_of (row->label));
      entry.born_ms = fleet->workers[0].born_ms;
      cell_worker_listed (fleet->core, &entry, fleet_now_us (fleet),
                          fleet_now_us (fleet));
      fleet->log_down = false;
      fleet_run (fleet, 2000);
      if (fleet->starts != row->starts)
        fail_msg ("%s: %u starts", row->description, fleet->starts);
      fleet_teardown (fleet);
      free (fleet);
    }
}

/* A worker that guards its capacity has shrunk and refuses starts before its
   entry shows why. Guards against starts that are refused again and again. */
static void
test_worker_refuses_starts_for_want_of_room (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  uint32_t refused = 0;

  (void)state;
  fleet_setup (fleet, 1, MILLICORES);
  fleet_run (fleet, 100);
  fleet->delay_starts_ms = 600000;
  fleet_submit (fleet, 1, &(struct fleet_job){ .tasks = { 1 } });
  for (uint32_t ms = 0; ms < FLEET_HEARTBEAT_MS; ms += 5)
    {
      fleet_run (fleet, 5);
      for (; refused < fleet->orders_in_flight->len; refused++)
        {
          const struct order_in_flight *start
              = g_ptr_array_index (fleet->orders_in_flight, refused);

          cell_start_result (fleet->core, start->order.run,
                             CELL_START_REFUSED_CAPACITY,
                             fleet_now_us (fleet));
        }
    }
  assert_in_range (refused, 1, REFUSED_MAX);
  fleet->delay_starts_ms = 0;
  fleet_run (fleet, COMPLETE_MAX_MS);
  assert_int_equal (fleet_job_state (fleet, 1), CELL_JOB_COMPLETE);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_capacity_shrinks_before_the_start),
    cmocka_unit_test (test_waiting_task_starts_when_its_worker_grows),
    cmocka_unit_test (test_runs_above_the_capacity_go_on),
    cmocka_unit_test (test_entry_of_an_earlier_incarnation),
    cmocka_unit_test (test_restarted_worker_is_smaller),
    cmocka_unit_test (test_worker_is_of_another_kind_before_the_start),
    cmocka_unit_test (test_worker_refuses_starts_for_want_of_room),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
