/**
 * @file
 * What the two parts of the fleet in memory share: tst_fleet.c (core, log and
 * advisor) and tst_fleet_workers.c (workers).
 */
#ifndef TST_FLEET_INTERNAL_H
#define TST_FLEET_INTERNAL_H

#include "tst_fleet.h"

/** Limit of the team "limited". */
#define LIMIT_MILLICORES 6000

/** An order under way. */
struct order_in_flight
{
  struct cell_order order;
  uint64_t due_ms;
  uint64_t epoch;
  uint64_t lease_deadline_ms;
  uint64_t born_ms; /* of the life that it was sent to */
};

uint64_t fleet_now_us (const struct fleet *fleet);
uint64_t fleet_clock (const struct fleet *fleet,
                      const struct fleet_worker *worker);
/** Notes a broken promise. */
void fleet_violation (struct fleet *fleet, const char *what, const char *task);
const struct fleet_job *fleet_job_of_task (const struct fleet *fleet,
                                           const char *task);
/** Numbers by name; 0: none. */
uint32_t fleet_lookup_number (GHashTable *table, const char *name);
void fleet_set_number (GHashTable *table, const char *name, uint32_t number);
void fleet_deliver_orders (struct fleet *fleet);
void fleet_send_orders (struct fleet *fleet);
/** Tasks end, leases lapse. */
void fleet_run_tasks (struct fleet *fleet);
void fleet_hold (struct fleet *fleet, uint32_t row);

#endif
