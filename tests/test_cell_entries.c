/* Odd entries of another writer reach the core. Guards against a worker that
   is not used because of an entry that is not its own. */

#include "tst_fleet_internal.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#define ID_62 "w0345678901234567890123456789012345678901234567890123456789012"

struct removal_case
{
  const char *description;
  const char *listed; /**< id of the worker with an entry */
  struct cyc_str removed;
  bool listed_after;
};

static const struct removal_case removal_cases[] = {
  { "its own entry", "w0", { "w0", 2 }, false },
  { "another id", "w0", { "w1", 2 }, true },
  { "its id and a zero byte", "w0", { "w0\0x", 4 }, true },
  { "a longer id", ID_62, { ID_62 "x", 63 }, true },
  { "an empty id", "w0", { "", 0 }, true },
};

static void
test_removed_entry_of_an_odd_id (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (removal_cases); i++)
    {
      const struct removal_case *row = &removal_cases[i];
      struct cell_core *core = cell_setup (&(struct cell_desc){ 0 });
      struct cell_worker_entry entry = { .capacity = { 1000, 1000, 0 } };
      struct cell_worker_view view;

      cyc_name_set (&entry.id, cyc_str_of (row->listed));
      cell_worker_listed (core, &entry, 1, 1);
      cell_worker_unlisted (core, row->removed, 2);
      cell_worker_view (core, 0, &view);
      if (view.listed != row->listed_after || cell_worker_count (core) != 1)
        fail_msg ("%s: listed %d, %u workers", row->description, view.listed,
                  cell_worker_count (core));
      cell_shutdown (core);
    }
}

/* An entry with a service of no configuration stands under a worker's id. */
static void
test_entry_of_an_unknown_service (void **state)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct cell_worker_entry entry = { .capacity = { 1000, 1000, 0 } };

  (void)state;
  fleet_setup (fleet, 1, 4000);
  fleet_run (fleet, 100);
  cyc_name_set (&entry.id, cyc_str_of (fleet->workers[0].id));
  cyc_name_set (&entry.pool, CYC_STR ("other"));
  cyc_name_set (&entry.address, CYC_STR ("127.0.0.1:2"));
  entry.born_ms = fleet->workers[0].born_ms;
  cell_worker_listed (fleet->core, &entry, 0, fleet_now_us (fleet));
  fleet_submit (fleet, 1, &(struct fleet_job){ .tasks = { 4 } });
  fleet_run (fleet, 300);
  assert_int_equal (fleet->starts, 4);
  fleet_teardown (fleet);
  free (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_removed_entry_of_an_odd_id),
    cmocka_unit_test (test_entry_of_an_unknown_service),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
