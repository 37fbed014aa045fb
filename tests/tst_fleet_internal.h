/**
 * @file
 * Internal functions of the simulated fleet, shared by tst_fleet.c (core, log
 * and advisor) and tst_fleet_workers.c (workers).
 */
#ifndef TST_FLEET_INTERNAL_H
#define TST_FLEET_INTERNAL_H

#include "tst_fleet.h"

/** Quota of the team "limited". */
#define TEAM_LIMIT_MILLICORES 6000

/** An order on its way to a worker. */
struct order_in_flight
{
  struct cell_order order;
  uint64_t due_ms;            /**< when it reaches the worker */
  uint64_t epoch;             /**< of the leader that sent it */
  uint64_t lease_deadline_ms; /**< of the order, on the worker's clock */
  uint64_t born_ms;           /**< of the incarnation that it was sent to */
  uint32_t millicores;        /**< capacity of the worker when it was sent */
  bool reconnects;            /**< reaches the incarnation at its arrival */
  bool received;              /**< the worker's process has it */
  bool executed;              /**< or it never will be */
  bool answered;              /**< the core has its result */
  bool answer_lost;           /**< its result is unknown */
  uint32_t late_ms;           /**< from its arrival to its execution */
  uint64_t execute_ms;        /**< when it is executed */
  uint64_t call_end_ms;       /**< when a call without an answer ends */
};

/** A hold that has been sent, or its report on the way back. */
struct hold_in_flight
{
  uint32_t row;
  uint64_t due_ms; /**< when it is executed or its report arrives */
  uint64_t epoch;  /**< of the leader that sent it */
  uint64_t ack;
  uint64_t lease_deadline_ms; /**< 0 if it extends no lease */
  uint64_t born_ms;           /**< of the incarnation that received it */
  bool late;                  /**< it is executed late and not answered */
  struct cell_report report;  /**< with copies of all texts */
  GStringChunk *texts;
};

uint64_t fleet_now_us (const struct fleet *fleet);
/** Returns the reading of the worker's own clock, in milliseconds. */
uint64_t fleet_clock (const struct fleet *fleet,
                      const struct fleet_worker *worker);
/** Counts a violation; the text of the first one is kept. */
void fleet_violation (struct fleet *fleet, const char *what, const char *task);
/** Checks the conclusions that the core hands out. */
void fleet_check_conclusions (struct fleet *fleet);
void fleet_free_hold (gpointer data);
/** Ends the calls of leaders that are replaced: those that have no connection
 * yet cannot reach a new incarnation. */
void fleet_end_calls (struct fleet *fleet);
/** Returns the submitted job that the task belongs to. */
const struct fleet_job *fleet_job_of_task (const struct fleet *fleet,
                                           const char *task);
/** Returns the number stored under @p name; 0 if there is none. */
uint32_t fleet_lookup_number (GHashTable *table, const char *name);
void fleet_set_number (GHashTable *table, const char *name, uint32_t number);
/** Delivers the orders that are due. */
void fleet_deliver_orders (struct fleet *fleet);
/** Sends the orders that the core has released. */
void fleet_send_orders (struct fleet *fleet);
/** Ends the runs that are due and those on workers whose lease has lapsed. */
void fleet_run_tasks (struct fleet *fleet);
/** Executes late holds and delivers reports that are due. */
void fleet_deliver_holds (struct fleet *fleet);
/** Makes a hold call to the worker if one is due, and passes the core its
 * report. */
void fleet_hold (struct fleet *fleet, uint32_t row);

#endif
