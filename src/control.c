#include "control.h"
#include "control_snapshot.h"
#include "log_event.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_SNAPSHOT_RECORDS 2000
#define DEFAULT_KEEP_RECORDS 4096
#define MAX_PENDING_APPENDS 1024
/* Kept records serve peers that lag by seconds; this bounds their memory when
   many of them are snapshot chunks. */
#define MAX_KEPT_BYTES ((size_t)8 * 1024 * 1024)

struct kept_record
{
  char *data;
  size_t len;
};

struct pending_append
{
  struct ctl_state *state;
  struct cyc_ref ref;
  struct cyc_id128 record_id;
  bool ended; /**< `done` was called; the follower still refers to the row */
  void (*done) (void *user, enum ctl_outcome outcome, uint64_t offset,
                const struct cyc_led_effect *effect);
  void *user;
};

struct ctl_state
{
  struct ctl_desc desc;
  struct cyc_ledger ledger;
  struct fo_follow follow;
  struct csn_writer snapshots;
  uint64_t now_us;
  bool ready;
  bool assembling; /**< the next record was trimmed: a snapshot is being read
                     from the stream */
  struct cyc_led_assembler assembler;
  uint64_t fresh_us;
  uint64_t peer_next; /**< next offset of the peer that was at the head at
                         peer_fresh_us */
  uint64_t peer_fresh_us;
  struct kept_record *kept; /**< ring of the newest records */
  uint32_t kept_first;
  uint32_t kept_count;
  size_t kept_bytes;
  struct pending_append *pending;
  struct cyc_pool pool;
};

static void
count_metric (struct ctl_state *state, enum met_counter counter)
{
  if (state->desc.met != NULL)
    met_add (state->desc.met, counter, 1);
}

/* Kept records. */

static void
drop_oldest_kept (struct ctl_state *state)
{
  struct kept_record *oldest = &state->kept[state->kept_first];

  state->kept_bytes -= oldest->len;
  free (oldest->data);
  *oldest = (struct kept_record){ 0 };
  state->kept_first = (state->kept_first + 1) % state->desc.keep_records;
  state->kept_count--;
}

static void
drop_all_kept (struct ctl_state *state)
{
  while (state->kept_count > 0)
    drop_oldest_kept (state);
}

static void
keep_record (struct ctl_state *state, struct cyc_str record)
{
  struct kept_record *to;
  char *copy = malloc (record.len + 1);

  if (copy == NULL)
    {
      /* The ring must have no gap, so the older records are dropped too. */
      drop_all_kept (state);
      return;
    }
  if (record.len > 0)
    memcpy (copy, record.data, record.len);
  while (state->kept_count == state->desc.keep_records
         || (state->kept_count > 0
             && state->kept_bytes + record.len > MAX_KEPT_BYTES))
    drop_oldest_kept (state);
  to = &state->kept[(state->kept_first + state->kept_count)
                    % state->desc.keep_records];
  *to = (struct kept_record){ .data = copy, .len = record.len };
  state->kept_count++;
  state->kept_bytes += record.len;
}

uint32_t
ctl_kept_records (const struct ctl_control *ctl, uint64_t from,
                  struct cyc_str *out, uint32_t max)
{
  const struct ctl_state *state = ctl->state;
  uint64_t next = cyc_led_next_offset (&state->ledger);
  uint64_t first = next - state->kept_count;
  uint32_t rows = 0;

  if (from < first)
    return 0;
  for (uint64_t offset = from; offset < next && rows < max; offset++)
    {
      const struct kept_record *kept
          = &state->kept[(state->kept_first + (uint32_t)(offset - first))
                         % state->desc.keep_records];

      out[rows++] = (struct cyc_str){ .data = kept->data, .len = kept->len };
    }
  return rows;
}

/* Appends of this process. */

static void
end_pending (struct pending_append *row, enum ctl_outcome outcome,
             uint64_t offset, const struct cyc_led_effect *effect)
{
  if (row->ended)
    return;
  row->ended = true;
  row->done (row->user, outcome, offset, effect);
}

static void
end_matching_append (struct ctl_state *state, uint64_t offset,
                     const struct cyc_led_effect *effect)
{
  for (uint32_t i = 0; i < state->pool.high; i++)
    {
      struct pending_append *row = &state->pending[i];

      if (!cyc_pool_used_at (&state->pool, i) || row->ended
          || !cyc_id128_eq (&row->record_id, &effect->record_id))
        continue;
      if (effect->result == CYC_LED_ACCEPTED)
        end_pending (row, CTL_ACCEPTED, offset, effect);
      else if (effect->result == CYC_LED_DUPLICATE)
        /* The first copy of the record lies in a part of the stream that a
           snapshot covered, so its effect is unknown. */
        end_pending (row, CTL_UNKNOWN, offset, effect);
      else
        end_pending (row, CTL_REFUSED, offset, effect);
      return;
    }
}

static void
on_append (void *user, enum fo_outcome outcome, uint64_t offset)
{
  struct pending_append *row = user;

  /* A confirmed append was ended by its record just before, unless the record
     was read while a snapshot was being assembled; its effect is unknown
     then. */
  end_pending (row,
               outcome == FO_NOT_APPENDED ? CTL_NOT_APPENDED : CTL_UNKNOWN,
               offset, NULL);
  cyc_pool_release (&row->state->pool, row->ref);
}

bool
ctl_append (struct ctl_control *ctl, const struct ctl_append *append)
{
  struct ctl_state *state = ctl->state;
  struct cyc_ref ref = cyc_pool_take (&state->pool);
  struct pending_append *row;
  struct fo_append call = { .record_id = append->record_id,
                            .record = append->record,
                            .deadline_us = append->deadline_us,
                            .done = on_append };

  if (ref.generation == 0)
    return false;
  row = &state->pending[ref.index];
  *row = (struct pending_append){ .state = state,
                                  .ref = ref,
                                  .record_id = append->record_id,
                                  .done = append->done,
                                  .user = append->user };
  call.user = row;
  if (fo_append (&state->follow, &call))
    {
      count_metric (state, MET_LOG_APPENDS);
      return true;
    }
  cyc_pool_release (&state->pool, ref);
  return false;
}

/* Records. */

static void
report_effect (struct ctl_state *state, uint64_t offset,
               const struct cyc_led_effect *effect)
{
  if (effect->result == CYC_LED_CORRUPT)
    {
      count_metric (state, MET_RECORDS_CORRUPT);
      ev_log (EV_RECORD_CORRUPT,
              "stream=control offset=%" PRIu64 " reason=\"%s\"", offset,
              effect->reason);
    }
  else if (effect->result == CYC_LED_REFUSED)
    ev_log (EV_RECORD_REFUSED,
            "stream=control offset=%" PRIu64 " writer=%s reason=\"%s\"",
            offset, effect->writer.data, effect->reason);
}

static void
apply_record (struct ctl_state *state, uint64_t offset, struct cyc_str record)
{
  struct cyc_led_effect effect;

  cyc_led_apply (&state->ledger, offset, record, &effect);
  if (effect.result == CYC_LED_OUT_OF_ORDER)
    return;
  count_metric (state, MET_LOG_RECORDS);
  keep_record (state, record);
  report_effect (state, offset, &effect);
  if (state->desc.effect != NULL)
    state->desc.effect (state->desc.user, offset, &effect);
  if (effect.result != CYC_LED_CORRUPT)
    end_matching_append (state, offset, &effect);
}

/* Updates the latest time at which this process had applied the stream up to
   its head. */
static void
update_freshness (struct ctl_state *state)
{
  uint64_t next = cyc_led_next_offset (&state->ledger);
  uint64_t follow_us = fo_fresh_us (&state->follow);
  /* An empty stream that was never trimmed is a complete state too. */
  bool complete = cyc_led_complete (&state->ledger)
                  || (next == 0 && fo_next (&state->follow) == 0
                      && fo_oldest (&state->follow) == 0);

  if (complete && !state->assembling && fo_at_head (&state->follow)
      && next >= fo_next (&state->follow))
    {
      state->ready = true;
      if (follow_us > state->fresh_us)
        state->fresh_us = follow_us;
    }
  if (cyc_led_complete (&state->ledger) && state->peer_fresh_us > 0
      && next >= state->peer_next)
    {
      state->ready = true;
      if (state->peer_fresh_us > state->fresh_us)
        state->fresh_us = state->peer_fresh_us;
      state->peer_fresh_us = 0;
    }
}

/* Snapshots. */

static void
stop_assembling (struct ctl_state *state)
{
  if (!state->assembling)
    return;
  state->assembling = false;
  cyc_led_assembler_shutdown (&state->assembler);
}

/* Replaces the ledger by an encoded state if its next offset is at least
   min_next_offset and ahead of the current one. */
static bool
load_snapshot (struct ctl_state *state, struct cyc_str encoded,
               uint64_t min_next_offset)
{
  struct cyc_findings *findings = calloc (1, sizeof *findings);
  struct cyc_ledger loaded = { 0 };
  bool taken = false;

  if (findings == NULL)
    return false;
  if (cyc_led_setup (&loaded, &state->desc.ledger, findings)
      && cyc_led_load (&loaded, encoded, findings))
    taken = cyc_led_next_offset (&loaded) >= min_next_offset
            && (!cyc_led_complete (&state->ledger)
                || cyc_led_next_offset (&loaded)
                       > cyc_led_next_offset (&state->ledger));
  else
    ev_findings (EV_RECORD_CORRUPT, findings);
  free (findings);
  if (!taken)
    {
      cyc_led_shutdown (&loaded);
      return false;
    }
  cyc_led_shutdown (&state->ledger);
  state->ledger = loaded;
  stop_assembling (state);
  drop_all_kept (state);
  ev_log (EV_SNAPSHOT_LOADED, "next=%" PRIu64,
          cyc_led_next_offset (&state->ledger));
  fo_start (&state->follow, cyc_led_next_offset (&state->ledger));
  if (state->desc.replaced != NULL)
    state->desc.replaced (state->desc.user);
  update_freshness (state);
  return true;
}

static void
assemble_record (struct ctl_state *state, uint64_t offset,
                 struct cyc_str record)
{
  struct cyc_str encoded = { 0 };

  if (!cyc_led_assembler_add (&state->assembler, offset, record, &encoded))
    return;
  load_snapshot (state, encoded, fo_oldest (&state->follow));
  free ((char *)encoded.data);
}

static void
on_record (void *user, uint64_t offset, struct cyc_str data)
{
  struct ctl_state *state = user;

  if (state->assembling)
    assemble_record (state, offset, data);
  else
    apply_record (state, offset, data);
}

static bool
on_trimmed (void *user, uint64_t next, uint64_t oldest)
{
  struct ctl_state *state = user;

  /* Records that the log no longer retains may have come from peers. */
  if (!state->assembling && cyc_led_next_offset (&state->ledger) >= oldest)
    return true;
  ev_log (EV_LOG_TRIMMED, "stream=control next=%" PRIu64 " oldest=%" PRIu64,
          next, oldest);
  stop_assembling (state);
  state->assembling = cyc_led_assembler_setup (&state->assembler, oldest);
  return state->assembling;
}

static void
on_reachable (void *user, bool reachable)
{
  (void)user;
  ev_log (reachable ? EV_LOG_REACHABLE : EV_LOG_UNREACHABLE, "stream=control");
}

/* Set up and run. */

static bool
follow_setup (struct ctl_state *state, struct cyc_findings *findings)
{
  struct fo_desc desc = {
    .log = state->desc.log,
    .stream = CYC_STR ("control"),
    .timeout_ms = state->desc.timeout_ms,
    .wait_ms = state->desc.wait_ms,
    .record = on_record,
    .trimmed = on_trimmed,
    .reachable = on_reachable,
    .user = state,
  };

  return fo_setup (&state->follow, &desc, findings);
}

bool
ctl_setup (struct ctl_control *ctl, const struct ctl_desc *desc,
           struct cyc_findings *findings)
{
  struct ctl_state *state = calloc (1, sizeof *state);

  ctl->state = state;
  if (state == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("control"), "out of memory");
      return false;
    }
  state->desc = *desc;
  if (desc->snapshot_records == 0)
    state->desc.snapshot_records = DEFAULT_SNAPSHOT_RECORDS;
  if (desc->keep_records == 0)
    state->desc.keep_records = DEFAULT_KEEP_RECORDS;
  state->kept = calloc (state->desc.keep_records, sizeof *state->kept);
  state->pending = calloc (MAX_PENDING_APPENDS, sizeof *state->pending);
  if (state->kept == NULL || state->pending == NULL
      || !cyc_pool_setup (&state->pool, MAX_PENDING_APPENDS, NULL))
    cyc_findings_add (findings, CYC_STR ("control"), "out of memory");
  else if (cyc_led_setup (&state->ledger, &desc->ledger, findings)
           && follow_setup (state, findings))
    {
      csn_setup (
          &state->snapshots,
          &(struct csn_desc){ .follow = &state->follow,
                              .vm = desc->vm,
                              .snapshot_records = state->desc.snapshot_records,
                              .met = desc->met });
      fo_start (&state->follow, 0);
      return true;
    }
  ctl_shutdown (ctl);
  return false;
}

void
ctl_shutdown (struct ctl_control *ctl)
{
  struct ctl_state *state = ctl->state;

  if (state == NULL)
    return;
  csn_shutdown (&state->snapshots);
  fo_shutdown (&state->follow);
  cyc_led_shutdown (&state->ledger);
  stop_assembling (state);
  if (state->kept != NULL)
    drop_all_kept (state);
  free (state->kept);
  free (state->pending);
  cyc_pool_shutdown (&state->pool);
  free (state);
  ctl->state = NULL;
}

void
ctl_tick (struct ctl_control *ctl, uint64_t now_us)
{
  struct ctl_state *state = ctl->state;

  state->now_us = now_us;
  fo_tick (&state->follow, now_us);
  update_freshness (state);
  if (state->desc.write_snapshots && !state->assembling
      && cyc_led_complete (&state->ledger) && fo_at_head (&state->follow))
    csn_tick (&state->snapshots, &state->ledger, now_us);
}

const struct cyc_ledger *
ctl_ledger (const struct ctl_control *ctl)
{
  return &ctl->state->ledger;
}

bool
ctl_ready (const struct ctl_control *ctl)
{
  return ctl->state->ready;
}

bool
ctl_log_reachable (const struct ctl_control *ctl)
{
  return fo_reachable (&ctl->state->follow);
}

uint64_t
ctl_fresh_us (const struct ctl_control *ctl)
{
  /* Answers of the log arrive between ticks. */
  update_freshness (ctl->state);
  return ctl->state->fresh_us;
}

uint64_t
ctl_next (const struct ctl_control *ctl)
{
  return cyc_led_next_offset (&ctl->state->ledger);
}

/* Peers. */

bool
ctl_peer_state (struct ctl_control *ctl, uint64_t next, uint64_t fresh_us)
{
  struct ctl_state *state = ctl->state;
  bool ahead = next > cyc_led_next_offset (&state->ledger);

  /* A report takes effect once the records before its next offset were
     applied. A pending report is not replaced by one of a peer that is
     further ahead. */
  if (fresh_us > state->fresh_us
      && (state->peer_fresh_us == 0 || !ahead || next <= state->peer_next))
    {
      state->peer_next = next;
      state->peer_fresh_us = fresh_us;
    }
  update_freshness (state);
  return ahead;
}

void
ctl_peer_records (struct ctl_control *ctl, uint64_t from,
                  const struct cyc_str *records, uint32_t record_count)
{
  struct ctl_state *state = ctl->state;

  /* A complete ledger may continue with a peer's records even if the log has
     trimmed the records in between. */
  for (uint32_t i = 0; i < record_count; i++)
    if (from + i == cyc_led_next_offset (&state->ledger)
        && (cyc_led_complete (&state->ledger) || from + i == 0))
      apply_record (state, from + i, records[i]);
  if (state->assembling
      && cyc_led_next_offset (&state->ledger) >= fo_oldest (&state->follow)
      && cyc_led_complete (&state->ledger))
    {
      stop_assembling (state);
      fo_start (&state->follow, cyc_led_next_offset (&state->ledger));
    }
  update_freshness (state);
}

bool
ctl_peer_snapshot (struct ctl_control *ctl, struct cyc_str encoded)
{
  return load_snapshot (ctl->state, encoded, 1);
}
