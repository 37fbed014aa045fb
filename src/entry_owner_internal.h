/**
 * @file
 * State of a leader, shared by entry_owner.c (streams, life), entry_records.c
 * (what it keeps in the log) and entry_orders.c (holds of workers and orders
 * to them).
 */
#ifndef ENTRY_OWNER_INTERNAL_H
#define ENTRY_OWNER_INTERNAL_H

#include "entry_records.h"

struct owner_worker
{
  bool hold_in_flight;
  bool report_in_flight; /**< a second hold, which does not wait, is out */
  uint64_t hold_sent_us; /**< when the last hold or look was sent */
  uint32_t failures;
  uint64_t next_hold_us;
  uint64_t ack_deadline_us; /**< ends need not be acknowledged from then on */
  uint64_t ack_sent;
};

enum owner_phase
{
  OWNER_LOADING,
  OWNER_LEADING
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
  GHashTable *early_cancellations; /**< ids whose job was not seen yet */
  GArray *workers;                 /**< struct owner_worker by row */
  GHashTable *unusable_entries;    /**< ids of entries that name no worker */
  uint64_t begun_us;
  uint64_t next_load_log_us;
  uint64_t last_tick_us;
  bool core_has_input; /**< the core was fed since its last tick */
  bool ended;          /**< no longer leads; freed when nothing is in flight */
  uint32_t calls_in_flight; /**< of ports in flight */
};

/** The end of a call of a port. False: the leader has ended meanwhile. */
bool owner_call_ended (struct entry_owner *owner);
/** A record of accepted jobs and cancellations. */
void owner_on_job (void *user, const struct pt_record *record,
                   uint64_t offset);
/** A job that is not stored yet. */
void owner_add_unstored_job (struct entry_owner *owner, uint64_t id,
                             struct cyc_str value);
/** The log holds a cancellation. */
void owner_cancel (struct entry_owner *owner, uint64_t id);
/** The core was fed: it ticks soon. */
void owner_input_added (struct entry_owner *owner);
/** Keeps the leases of a worker and learns what it runs. */
void orders_hold (struct entry_owner *owner, uint32_t row, uint64_t now_us);
/** Gives an order of the core to its worker. */
void orders_send (struct entry_owner *owner, const struct cell_order *order,
                  uint64_t now_us);

#endif
