/**
 * @file
 * The control stream of a process: follower, ledger, freshness, snapshots and
 * the exchange of control records with peers.
 *
 * @code
 * ctl_setup (&ctl, &(struct ctl_desc){ .log = log, .vm = vm,
 *                                      .effect = on_effect, .user = this },
 *            &found);
 * ctl_tick (&ctl, now_us);
 * const struct cyc_ledger *led = ctl_ledger (&ctl);
 * @endcode
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
  uint32_t timeout_ms;       /**< 0: 2,000 */
  uint32_t wait_ms;          /**< 0: 2,000 */
  uint32_t snapshot_records; /**< 0: 2,000 */
  bool write_snapshots;      /**< false for short-lived commands */
  uint32_t keep_records;     /**< newest records kept for peers; 0: 4,096 */
  struct met_set *met;       /**< may be NULL */
  /** Each record that was applied, in order. */
  void (*effect) (void *user, uint64_t offset,
                  const struct cyc_led_effect *effect);
  /** The state was replaced by a snapshot: read everything anew. */
  void (*replaced) (void *user);
  void *user;
};

enum ctl_fate
{
  CTL_ACCEPTED,
  CTL_REFUSED, /**< in the stream, but it changed nothing: see effect */
  CTL_NOT_APPENDED,
  CTL_UNKNOWN
};

struct ctl_append
{
  struct cyc_id128 record_id;
  struct cyc_str record;
  uint64_t deadline_us;
  /** @p effect is NULL unless the record was read back. */
  void (*done) (void *user, enum ctl_fate fate, uint64_t offset,
                const struct cyc_led_effect *effect);
  void *user;
};

struct ctl_control
{
  struct ctl_state *state; /**< private */
};

bool ctl_setup (struct ctl_control *ctl, const struct ctl_desc *desc,
                struct cyc_findings *findings);
/** Shut the log client down first: its open calls refer to the follower. */
void ctl_shutdown (struct ctl_control *ctl);
void ctl_tick (struct ctl_control *ctl, uint64_t now_us);
const struct cyc_ledger *ctl_ledger (const struct ctl_control *ctl);
/** False until the ledger was complete and at the head once. */
bool ctl_ready (const struct ctl_control *ctl);
bool ctl_log_reachable (const struct ctl_control *ctl);
/** Latest moment at which the head of the stream was known, from the log or
 * a peer; 0: never. */
uint64_t ctl_fresh_us (const struct ctl_control *ctl);
uint64_t ctl_next (const struct ctl_control *ctl);
bool ctl_append (struct ctl_control *ctl, const struct ctl_append *append);

/** A peer says that it applied up to @p next and knew the head at
 * @p fresh_us (its age was already subtracted). Returns true when the peer is
 * ahead: ask it for records from ctl_next on. */
bool ctl_peer_state (struct ctl_control *ctl, uint64_t next,
                     uint64_t fresh_us);
/** Records from a peer; records already applied are skipped. */
void ctl_peer_records (struct ctl_control *ctl, uint64_t from,
                       const struct cyc_str *records, uint32_t count);
/** Kept records from @p from on for a peer; fewer than @p max at the end.
 * 0 when @p from is no longer kept: send a snapshot (cyc_led_encode). */
uint32_t ctl_kept_records (const struct ctl_control *ctl, uint64_t from,
                           struct cyc_str *out, uint32_t max);
/** A whole snapshot from a peer; taken only when it is ahead of the state. */
bool ctl_peer_snapshot (struct ctl_control *ctl, struct cyc_str encoded);

#endif
