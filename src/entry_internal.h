/**
 * @file
 * Parts of the entry process that call each other; private to entry_*.c.
 */
#ifndef ENTRY_INTERNAL_H
#define ENTRY_INTERNAL_H

#include "entry.h"
#include "http_client.h"
#include "log_event.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Longest wait of a read of the log that finds nothing new. A connection
 * that went silent is noticed after this and the answer time of a read. */
#define ENTRY_LOG_WAIT_MS 1200
/** The same for the list of entry VMs, which changes seldom. */
#define ENTRY_VMS_WAIT_MS 4000
/** Time limit of one append; a slow log answers within 60 times its usual
 * 4 ms, and a round trip between regions takes 40 ms. */
#define ENTRY_APPEND_TIMEOUT_MS 700

/** Bytes of a key in the streams of jobs: a letter, 16 digits, 0. */
#define CELL_KEY_BYTES 18

/** What became of a record that was handed to the leader. */
enum records_outcome
{
  RECORDS_STORED = 1,
  RECORDS_REFUSED,   /**< surely not stored; the log is down */
  RECORDS_OVER_RATE, /**< surely not stored; the team sends too much */
  RECORDS_UNKNOWN    /**< the leader cannot say: it ends, or is not ready */
};

/** When callers come back while the log is down since @p down_since_us; 0: it
 * is not. */
uint32_t entry_retry_after_s (uint64_t down_since_us, uint64_t now_us);

/* entry_accept.c */
/** The leader's word on a record that this VM handed to it. */
void accept_on_stored (struct entry *entry, struct cyc_str key,
                       enum records_outcome outcome, uint32_t retry_after_s);
/** Adds a record to the next batch; @p call is answered when it is stored. */
void accept_add (struct entry *entry, struct cyc_ref call, char kind,
                 uint64_t job, uint8_t *data, size_t len);
void accept_tick (struct entry *entry, uint64_t now_us);
void accept_shutdown (struct entry *entry);

/* entry_requests.c */
void requests_tick (struct entry *entry, uint64_t now_us);
/** Ends a request; a stale reference is ignored. */
void requests_answer (struct entry *entry, struct cyc_ref call,
                      const struct pt_answer *answer);
void requests_on_answer (struct entry *entry, const Cyc__CellAnswer *answer);

/* entry_lead.c */
void lead_on_record (void *user, const struct pt_record *record,
                     uint64_t offset);
void lead_tick (struct entry *entry, uint64_t now_us);
void lead_release (struct entry *entry);
/** Asks the VM that can lead best to claim, and leads until it has. */
void lead_hand_over (struct entry *entry);
void lead_on_hand_over (struct entry *entry, uint64_t epoch);
void lead_step_down (struct entry *entry, const char *why);
/** The leadership was confirmed lately enough to speak for the cell. */
bool lead_confirmed (const struct entry *entry, uint64_t now_us);

/* entry_owner.c */
void owner_begin (struct entry *entry, uint64_t epoch);
void owner_end (struct entry *entry);
void owner_tick (struct entry *entry, uint64_t now_us);
void owner_apply_config (struct entry *entry);
/** A job or a cancellation that another VM wants stored. */
void owner_submit (struct entry *entry, struct cyc_str key,
                   struct cyc_str value, struct cyc_ref peer);
/** A record of the stream of jobs that the log has taken, before the stream
 * shows it; ignored while loading. */
void owner_add_stored (struct entry *entry, const struct pt_record *record);
/** False: not loaded, or not sure to know all jobs. */
bool owner_can_answer (const struct entry *entry);
/** @p state: 0 for a job that is not known. False: this VM cannot say. A final
 * state that is durable stays true, whoever leads and however old the view of
 * the log is; that a job is not known takes a view that shows all jobs. */
bool owner_job_state (const struct entry *entry, uint64_t job,
                      enum cell_job_state *state);
uint32_t owner_pending (const struct entry *entry, struct cyc_str queue);
/** Frees owners that have ended and have nothing in flight. */
void owner_free_idle (struct entry *entry);
/** Frees all owners that have ended; the ports are shut down next and end
 * nothing that is in flight. */
void owner_free_all_ended (struct entry *entry);

/* entry_advice.c */
struct advice_state;
struct advice_state *advice_begin (struct entry *entry,
                                   struct cell_core *core);
void advice_end (struct advice_state *advice);
void advice_tick (struct advice_state *advice, uint64_t now_us);
void advice_on_answer (struct advice_state *advice,
                       const Cyc__AdviceAnswer *answer);
/** A leader asks this VM to ask the advisor. */
void advice_on_ask (struct entry *entry, struct cyc_ref peer,
                    const Cyc__AdviceAsk *ask);
struct advice_state *owner_advice (const struct entry *entry);
/** Parts of the stream of jobs that VMs write. */
uint32_t entry_jobs_parts (const struct entry *entry);
/** Links to all entry VMs: a leader needs them. */
void entry_link_all (struct entry *entry);
/** Something happened that the next tick should see at once. */
void entry_wake (struct entry *entry);
void entry_wake_at (struct entry *entry, uint64_t at_us);

#endif
