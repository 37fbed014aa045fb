/**
 * @file
 * Control stream of a process: reads the stream, applies its records to the
 * ledger, tracks how current the ledger is, writes snapshots and exchanges
 * control records with peers. The ledger is at the head of the stream if it
 * holds all records of the stream.
 *
 * Order of calls: ctl_setup, which starts to read the stream, then ctl_tick on
 * every tick; at the end first the shutdown of the log client, then
 * ctl_shutdown. Times in microseconds are those of hc_now_us.
 *
 * @code
 * ctl_setup (&ctl, &(struct ctl_desc){ .log = log, .vm = vm,
 *                                      .effect = on_effect, .user = this },
 *            &found);
 * ctl_tick (&ctl, now_us);
 * const struct cyc_ledger *led = ctl_ledger (&ctl);
 * @endcode
 *
 * Errors: on failure ctl_setup returns false, adds the defects to the findings
 * and frees everything. Failed reads are retried; ctl_log_reachable and
 * ctl_fresh_us show them. An append reports how it ended by enum ctl_outcome.
 */
#ifndef CONTROL_H
#define CONTROL_H

#include "follow.h"
#include "metrics.h"

#include <cyclamendrum/ledger.h>

struct ctl_desc
{
  struct lc_log *log;
  struct cyc_name vm;
  struct cyc_led_desc ledger;
  uint32_t timeout_ms;       /**< of one log call; 0: 2,000 */
  uint32_t wait_ms;          /**< of a long poll; 0: 2,000 */
  uint32_t snapshot_records; /**< maximum between snapshots; 0: 2,000 */
  bool write_snapshots;      /**< false: this process writes none */
  uint32_t keep_records;     /**< newest records kept for peers; 0: 4,096 */
  struct met_set *met;       /**< may be NULL */
  /** Called for each record that was applied, in order. */
  void (*effect) (void *user, uint64_t offset,
                  const struct cyc_led_effect *effect);
  /** Called when a snapshot replaced the ledger's state: the caller has to
   * rebuild what it derived from the old state. */
  void (*replaced) (void *user);
  void *user;
};

enum ctl_outcome
{
  CTL_ACCEPTED,
  CTL_REFUSED,      /**< in the stream, but without effect; see `effect` */
  CTL_NOT_APPENDED, /**< provably not in the stream and never will be */
  CTL_UNKNOWN       /**< may be in the stream now or later; effect unknown */
};

struct ctl_append
{
  struct cyc_id128 record_id;
  struct cyc_str record; /**< copied */
  uint64_t deadline_us;
  /** Called once, unless the control stream is shut down first.
   * @p effect is NULL unless the record was read back. */
  void (*done) (void *user, enum ctl_outcome outcome, uint64_t offset,
                const struct cyc_led_effect *effect);
  void *user;
};

struct ctl_control
{
  struct ctl_state *state; /**< private */
};

bool ctl_setup (struct ctl_control *ctl, const struct ctl_desc *desc,
                struct cyc_findings *findings);
/** Frees everything without calling `done` of open appends. The log client
 * must be shut down first, because its open calls refer to the control stream.
 */
void ctl_shutdown (struct ctl_control *ctl);
void ctl_tick (struct ctl_control *ctl, uint64_t now_us);
const struct cyc_ledger *ctl_ledger (const struct ctl_control *ctl);
/** Returns whether the ledger has ever been complete and at the head. */
bool ctl_ready (const struct ctl_control *ctl);
bool ctl_log_reachable (const struct ctl_control *ctl);
/** Returns the latest time at which the ledger was at the head, as known from
 * the log or a peer; 0 if never. */
uint64_t ctl_fresh_us (const struct ctl_control *ctl);
/** Returns the offset of the next record to apply. */
uint64_t ctl_next (const struct ctl_control *ctl);
/** Returns false if the append was not started; `done` is then not called. */
bool ctl_append (struct ctl_control *ctl, const struct ctl_append *append);

/** Handles a peer's report that @p next is its next offset and that it was at
 * the head at @p fresh_us (local time; the age in the report is already
 * subtracted). Returns true if the peer is ahead; the caller then requests
 * records from ctl_next on. */
bool ctl_peer_state (struct ctl_control *ctl, uint64_t next,
                     uint64_t fresh_us);
/** Applies records from a peer, except those already applied. */
void ctl_peer_records (struct ctl_control *ctl, uint64_t from,
                       const struct cyc_str *records, uint32_t count);
/** Lists the kept records from @p from on, for a peer. Returns their number:
 * less than @p max if there are no more, and 0 if @p from is no longer kept;
 * the caller then sends a snapshot (cyc_led_encode). */
uint32_t ctl_kept_records (const struct ctl_control *ctl, uint64_t from,
                           struct cyc_str *out, uint32_t max);
/** Loads a whole snapshot from a peer if it is ahead of the ledger. Returns
 * true if it was loaded. */
bool ctl_peer_snapshot (struct ctl_control *ctl, struct cyc_str encoded);

#endif
