/**
 * @file
 * An owner is the state of this process while it leads the cell. Shared by
 * entry_owner.c (streams, begin and end), entry_records.c (records that the
 * leader keeps in the log) and entry_orders.c (holds of workers and orders to
 * them).
 */
#ifndef ENTRY_OWNER_INTERNAL_H
#define ENTRY_OWNER_INTERNAL_H

#include "cyc_due.h"
#include "entry_records.h"
#include "lead_lag.h"
#include "run_lines.h"

struct owner_worker
{
  bool hold_in_flight;
  bool hold_waits;       /**< it asks the worker to wait for an end */
  bool report_in_flight; /**< a further hold without wait is in flight */
  uint64_t hold_sent_us; /**< send time of the last hold of either kind */
  uint32_t failures;
  struct pt_call_end unanswered; /**< end of the last hold without an answer */
  uint64_t next_hold_us;         /**< set by orders_hold_at */
  uint64_t ack_deadline_us;      /**< the next hold does not wait for
                                      acknowledgements beyond this time */
  uint64_t ack_sent;
  uint64_t fence;      /**< fencing token of the newest calls; 0: the epoch */
  bool fence_outdated; /**< calls under this token were made to an earlier
                          incarnation: later calls carry a higher one */
  uint64_t born_ms;    /**< incarnation known at the newest call */
  uint64_t hold_fences_born_ms;   /**< cell_report.fenced_born_ms of the hold
                                     that is in flight */
  uint64_t report_fences_born_ms; /**< the same of the further hold */
  uint64_t late_end_us; /**< until when a start without an answer may be
                           executed */
};

enum owner_phase
{
  OWNER_LOADING,
  OWNER_LEADING
};

/** A question of another VM about a job. */
struct owner_ask
{
  struct cyc_ref peer;
  uint64_t ask;
  uint64_t job;
  uint64_t received_us;
};

struct entry_owner
{
  struct entry *entry;
  uint64_t epoch;
  enum owner_phase phase;
  struct cell_core *core;
  struct advice_state *advice;
  struct tail *jobs_tails; /**< one for each part */
  uint32_t jobs_parts;
  struct entry_records records;
  struct tail workers_tail;
  GHashTable *early_cancellations; /**< ids of cancelled jobs that were not in
                                        the core */
  GArray *asks; /**< struct owner_ask that wait for a newer view of the jobs */
  GQueue cancellations_by_age;  /**< the same, uint64_t *, oldest first */
  GArray *workers;              /**< struct owner_worker by worker row of
                                     the core */
  struct due_queue holds;       /**< rows of workers, by when orders_hold
                                     must look at them */
  GHashTable *unusable_entries; /**< ids of entries that do not describe a
                                     usable worker */
  GHashTable *empty_domains;    /**< evacuated ones without runs, as logged */
  bool starts_held; /**< as the view of the requests of operators is
                         too old */
  uint64_t next_domains_log_us;
  uint64_t begun_us;
  uint64_t next_load_log_us;
  uint64_t next_wait_log_us;
  uint64_t next_counts_log_us;
  struct lines_counts counts;
  struct lines_counts counts_logged; /**< as in the last line */
  struct cell_conclusion last_wrong;
  uint64_t repeat_wrong_until_us; /**< 0 if no conclusion was wrong */
  uint64_t last_tick_us;
  struct lead_lag lag;
  bool core_has_input; /**< the core got input since its last tick */
  bool ended;          /**< no longer leads; freed when no call is in flight */
  uint32_t calls_in_flight; /**< port calls in flight */
};

/** Counts a port call as ended. Returns false if the leadership has ended
 * since the call began. */
bool owner_call_ended (struct entry_owner *owner);
/** Handles a job or cancellation read from the log. */
void owner_on_job (void *user, const struct pt_record *record,
                   uint64_t offset);
/** Adds a job to the core before the log has stored it. */
void owner_add_unstored_job (struct entry_owner *owner, uint64_t id,
                             struct cyc_str value);
/** Applies a cancellation that the log has stored. Returns false if the job is
 * not known; it is cancelled if it comes yet. */
bool owner_cancel (struct entry_owner *owner, uint64_t id);
/** Removes a job that the log certainly does not hold. Its cancellation stays
 * in force. */
void owner_withdraw_job (struct entry_owner *owner, uint64_t id);
/** Notes new input for the core and schedules a tick. */
void owner_input_added (struct entry_owner *owner);
/** Sends the holds that are due: they extend leases and ask which runs the
 * workers have. Looks only at workers whose time has come or whose view has
 * changed. */
void orders_hold_due (struct entry_owner *owner, uint64_t now_us);
/** Logs that a worker has left, if the input of @p now_us showed it. The ages
 * in the line tell an exit from an entry that lapsed with the worker alive. */
void owner_log_left (struct entry_owner *owner, uint32_t row, uint64_t now_us);
/** Logs which runs the core has concluded to be over without a listed end, and
 * which of these conclusions were wrong. */
void orders_log_conclusions (struct entry_owner *owner, uint64_t now_us);
/** Logs the listed ends of runs that had been taken for over. */
void orders_log_over_ends (struct entry_owner *owner, uint64_t now_us);
/** Logs pairs of runs of one task that are at work at once. */
void orders_log_twice (struct entry_owner *owner, uint64_t now_us);
/** Logs the counts of conclusions and starts now and then, if any has
 * changed. */
void orders_log_counts (struct entry_owner *owner, uint64_t now_us);
/** Logs what ends `failed` count as, and which jobs have failed and why. */
void orders_log_attempts (struct entry_owner *owner);
/** Logs how workers broke and which tasks their crashes count against. */
void orders_log_blames (struct entry_owner *owner, uint64_t now_us);
/** Sends an order of the core to its worker. */
void orders_send (struct entry_owner *owner, const struct cell_order *order,
                  uint64_t now_us);

#endif
