/**
 * @file
 * Functions that the parts of the entry process call in each other; private
 * to entry_*.c.
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

/** Longest wait of a log read that finds no new records. A connection that
 * went silent is detected after this wait plus the timeout of a read. */
#define ENTRY_LOG_WAIT_MS 1200
/** Same for the list of entry VMs, which rarely changes. */
#define ENTRY_VMS_WAIT_MS 4000
/** Timeout of one append. The usual answer takes 4 ms and a slow log takes up
 * to 60 times that; a round trip between regions takes 40 ms. */
#define ENTRY_APPEND_TIMEOUT_MS 700
/** Time allowed for an append of many records that makes progress: on a narrow
 * link its bytes alone take longer than the timeout. */
#define ENTRY_APPEND_MAX_MS 20000

/** Size of a key in the streams of jobs: a letter ('j' job, 'c' cancellation,
 * 'p' progress), the job id in 16 hexadecimal digits and the terminating NUL.
 */
#define CELL_KEY_BYTES 18
/** Size of the longest key: that of a block of tasks has the round and the
 * block too, ".%x.%x". */
#define CELL_BLOCK_KEY_BYTES 36

/** Result of storing a record that was submitted to the leader. */
enum records_outcome
{
  RECORDS_STORED = 1,
  RECORDS_REFUSED,   /**< certainly not stored: the log is down */
  RECORDS_OVER_RATE, /**< certainly not stored: the team exceeds its rate */
  RECORDS_UNKNOWN, /**< outcome unknown: the leader ends or is still loading */
  RECORDS_INVALID, /**< certainly not stored: the log takes no such record */
  RECORDS_NO_JOB,  /**< the cancellation is stored, of a job that the leader
                        does not know; if it comes yet it is cancelled */
  RECORDS_NO_ROOM  /**< certainly not stored: the leader has no memory for it
                        now */
};

/** Returns the delay after which callers retry. It grows with the length of
 * the log's outage, which began at @p down_since_us; 0 if the log is up. */
uint32_t entry_retry_after_s (uint64_t down_since_us, uint64_t now_us);

/** Returns a number that no other process has, for what this one asks of other
 * VMs: an answer to an earlier process of the VM fits none of its questions.
 */
uint64_t entry_number (const struct entry *entry);

/* entry_mirrors.c */
/** Returns the wait of a long poll of the configuration. A view is as old as
 * the wait of its own read and of the read of the VM that passes it on. */
uint32_t entry_config_wait_ms (const struct entry *entry);
void mirrors_setup (struct entry *entry);
/** Chooses the VMs of the domain that mirror the configuration, if the list of
 * VMs has changed; @p user is the entry. */
void mirrors_on_vms (void *user);
/** Continues reads through mirrors, and begins to read the configuration when
 * the mirrors are known. */
void mirrors_tick (struct entry *entry, uint64_t now_us);

/* entry.c */
/** Returns whether the view of the configuration has every version that is
 * bound to be in force. */
bool entry_view_is_current (const struct entry *entry, uint64_t now_us);
/** Returns whether a newer configuration is known to exist that may be bound
 * to be in force. */
bool entry_view_is_outdated (const struct entry *entry, uint64_t now_us);

/* entry_accept.c */
/** Handles a leader's answer for a record that this VM submitted. A refusal
 * counts once every copy of the record that was submitted is refused: the
 * answer does not tell which copy it is for. */
void accept_on_stored (struct entry *entry, struct cyc_str key,
                       enum records_outcome outcome, uint32_t retry_after_s);
/** Has a record stored, by the leader or by an append of this VM. Answers @p
 * call with the outcome. @p kind is the first letter of the record's key.
 * Takes ownership of @p data. */
void accept_add (struct entry *entry, struct cyc_ref call, char kind,
                 uint64_t job, uint8_t *data, size_t len);
/** Returns whether this VM has a copy of the job on its way to the log. */
bool accept_is_storing (const struct entry *entry, uint64_t job);
void accept_tick (struct entry *entry, uint64_t now_us);
void accept_shutdown (struct entry *entry);

/* entry_requests.c */
void requests_tick (struct entry *entry, uint64_t now_us);
/** Answers a request and frees its row; ignores a stale reference. */
void requests_answer (struct entry *entry, struct cyc_ref call,
                      const struct pt_answer *answer);
void requests_on_answer (struct entry *entry, const Cyc__CellAnswer *answer);

/* entry_lead.c */
void lead_on_record (void *user, const struct pt_record *record,
                     uint64_t offset);
void lead_tick (struct entry *entry, uint64_t now_us);
void lead_release (struct entry *entry);
/** Asks the most suitable VM to claim the leadership. Keeps leading until that
 * VM has claimed or the handover times out; gives the leadership up at once
 * if no VM can be asked. */
void lead_hand_over (struct entry *entry);
void lead_on_hand_over (struct entry *entry, uint64_t epoch);
void lead_step_down (struct entry *entry, const char *why);
/** Returns true if the last successful claim or renewal is recent enough to
 * answer for the cell. */
bool lead_confirmed (const struct entry *entry, uint64_t now_us);
/** Returns until when lead_confirmed is true without a further renewal: a
 * successor assumes that this VM extends no lease and writes no start later.
 */
uint64_t lead_confirmed_until_us (const struct entry *entry);

/** Returns the highest fencing token of this leader: higher than those that it
 * returned before the last renewal, and lower than the epoch of each leader
 * that follows, whose claim is stored after that renewal. */
uint64_t lead_fence (const struct entry *entry);

/* entry_owner.c */
/** Returns the epoch under which the owner leads. */
uint64_t owner_epoch (const struct entry_owner *owner);
/** Earlier leaders write no start after @p until_us. */
void owner_earlier_ended (struct entry_owner *owner, uint64_t until_us);
/** Returns why this leader cannot keep up, for the log; NULL if it does. A
 * leader that has not loaded its state in time is behind if @p loading: each
 * successor begins to load anew. */
const char *owner_behind (const struct entry *entry, uint64_t now_us,
                          bool loading);
void owner_begin (struct entry *entry, uint64_t epoch);
void owner_end (struct entry *entry);
void owner_tick (struct entry *entry, uint64_t now_us);
void owner_apply_config (struct entry *entry);
/** Applies that a failure domain is evacuated or taken back, if this VM leads.
 */
void owner_evacuate (struct entry *entry, struct cyc_str domain,
                     bool evacuated);
/** Fills @p out with what the leader knows of the domain, nothing if this VM
 * does not lead. */
void owner_domain_view (const struct entry *entry, struct cyc_str domain,
                        struct cell_domain_view *out);
/** Stores a job or a cancellation that @p peer submitted; generation 0: this
 * VM. Answers RECORDS_UNKNOWN if this VM does not lead. */
void owner_submit (struct entry *entry, struct cyc_str key,
                   struct cyc_str value, struct cyc_ref peer);
/** Adds a job or cancellation that is already in the log, before the stream
 * delivers it. Ignored unless this VM leads and has loaded all jobs. */
void owner_add_stored (struct entry *entry, const struct pt_record *record);
/** Returns false if the leader has not loaded all jobs, is not confirmed, or
 * its view of the jobs is too old. */
bool owner_can_answer (const struct entry *entry);
/** Sets @p state, 0 for an unknown job. Returns false if this VM cannot tell.
 * A durable final state stays valid under any leader and however old the view
 * of the log is. A job is reported as unknown only if it is not on its way to
 * the log, by a view that includes all jobs stored at @p at_us, when the
 * question came. */
bool owner_job_state (const struct entry *entry, uint64_t job, uint64_t at_us,
                      enum cell_job_state *state);
/** Answers another VM's question about a job, at once or when the view of the
 * jobs is new enough. */
void owner_on_ask (struct entry *entry, struct cyc_ref peer, uint64_t number,
                   uint64_t job);
uint32_t owner_pending (const struct entry *entry, struct cyc_str queue);
/** Frees ended owners that have no calls in flight. */
void owner_free_idle (struct entry *entry);
/** Frees all ended owners, also those with calls in flight. The ports must be
 * shut down right after and call back for none of them. */
void owner_free_all_ended (struct entry *entry);

/* entry_advice.c */
struct advice_state;
struct advice_state *advice_begin (struct entry *entry,
                                   struct cell_core *core);
void advice_end (struct advice_state *advice);
/** Returns whether the leader may have the VM call the advisor. */
bool advice_may_help (const struct pl_peer_view *view, uint64_t now_us);
void advice_tick (struct advice_state *advice, uint64_t now_us);
void advice_on_answer (struct advice_state *advice,
                       const Cyc__AdviceAnswer *answer);
/** Handles a leader's request to ask the advisor on its behalf. */
void advice_on_ask (struct entry *entry, struct cyc_ref peer,
                    const Cyc__AdviceAsk *ask);
struct advice_state *owner_advice (const struct entry *entry);
/** Returns the number of parts of PT_STREAM_JOBS that entry VMs write. */
uint32_t entry_jobs_parts (const struct entry *entry);
/** Adds links to all registered entry VMs, which a leader needs. */
void entry_link_all (struct entry *entry);
/** Schedules a tick soon, after an event that it should handle. */
void entry_wake (struct entry *entry);
void entry_wake_at (struct entry *entry, uint64_t at_us);

#endif
