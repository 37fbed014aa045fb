/* Leader election by claims and renewals in a stream of the log. A claim is
   appended only if the stream still ends where its writer has read to, so
   one of several concurrent claims wins. The offset of the claim plus one
   is its epoch. */

#include "entry_internal.h"

/** Interval between renewals. */
#define RENEW_PERIOD_US 600000
/** A leader without a renewal for this long, three periods, is replaced. */
#define LEADER_SILENT_US 2000000
/** Same when the link to the leader is also down. */
#define LEADER_SILENT_UNLINKED_US 800000
/** An older view of the stream is no evidence that the leader is silent. */
#define VIEW_MAX_AGE_US 1500000
/** Delay of a claim for each VM with a higher score, so that the best VM that
 * is up wins; a claim between regions takes 45 ms. */
#define RANK_DELAY_US 70000
#define RANK_MAX 8
#define CLAIM_JITTER_MAX_US 50000
/** Delay after a failed claim, in which the record of the winner arrives. */
#define CLAIM_RETRY_US 600000
/** How long a stopping leader keeps leading while its successor claims. */
#define HANDOVER_TIMEOUT_US 1500000
/** A leader that falls behind hands over only to a VM that is this many times
 * as suitable: one that is no better would fall behind in its turn. */
#define HANDOVER_SCORE_FACTOR 2
/** How long a leader that falls behind does not renew, so that its successor
 * can claim: with a period between renewals it is shorter than the silence
 * after which any VM claims. */
#define HANDOVER_PAUSE_US 800000
/** Delay after a hand-over for which no VM has claimed. */
#define HANDOVER_RETRY_US 5000000
/** Delay between claims of a successor that has not read the last renewal. */
#define HANDOVER_CLAIM_RETRY_US 20000
/** A leader without a successful renewal for this long, four periods, extends
 * no lease, writes no start and answers no question about the backlog of a
 * queue or the state of a job that has not ended. During an outage of the log
 * leases therefore last this time plus their own length. */
#define CONFIRMATION_MAX_AGE_US 2500000

uint64_t
lead_confirmed_until_us (const struct entry *entry)
{
  return entry->confirmed_us + CONFIRMATION_MAX_AGE_US;
}

bool
lead_confirmed (const struct entry *entry, uint64_t now_us)
{
  return lead_confirmed_until_us (entry) > now_us;
}

uint64_t
lead_fence (const struct entry *entry)
{
  return MAX (entry->leader.epoch, entry->renewed_end);
}

/* Gets the view of the link to the leader. Returns false if there is none. */
static bool
leader_view (const struct entry *entry, struct pl_peer_view *view)
{
  struct cyc_ref peer = pl_find (
      &entry->links, cyc_name_str (&entry->leader.vm), SET_ROLE_ENTRY);

  return peer.generation != 0 && pl_view (&entry->links, peer, view);
}

/* Returns true if the process that claimed certainly no longer leads,
   whichever peers it can reach. */
static bool
leader_ended (const struct entry *entry)
{
  const struct entry_leader *leader = &entry->leader;
  struct pl_peer_view view;

  if (leader->epoch == 0 || leader->released || leader->by_previous_process)
    return true;
  /* Another process runs on the VM of the leader. */
  return leader_view (entry, &view) && view.linked
         && memcmp (view.identity.incarnation.bytes, leader->incarnation.bytes,
                    sizeof leader->incarnation.bytes)
                != 0;
}

/* Returns until when the leader may extend leases; 0 if it has ended. */
static uint64_t
leader_end_us (const struct entry *entry)
{
  return leader_ended (entry)
             ? 0
             : entry->leader.seen_us + CONFIRMATION_MAX_AGE_US;
}

/* Fills in a record of this process; @p address provides the memory of its
   address. */
static void
fill_own_lead (struct entry *entry, Cyc__CellLead *lead, char address[64])
{
  const struct ent_settings *settings = entry->desc.settings;

  snprintf (address, 64, "%s:%u", settings->peers.host, settings->peers.port);
  lead->vm = (char *)settings->vm.data;
  lead->address = address;
  lead->incarnation.len = sizeof entry->incarnation.bytes;
  lead->incarnation.data = entry->incarnation.bytes;
}

static bool
append_lead (struct entry *entry, uint64_t epoch, bool released,
             void (*done) (void *user, const struct pt_append_result *result))
{
  Cyc__CellLead lead = CYC__CELL_LEAD__INIT;
  uint8_t data[256];
  char address[64];
  struct pt_record record = { 0 };

  fill_own_lead (entry, &lead, address);
  lead.epoch = epoch;
  lead.released = released;
  if (cyc__cell_lead__get_packed_size (&lead) > sizeof data)
    return false;
  record.value = (struct cyc_str){ (const char *)data,
                                   cyc__cell_lead__pack (&lead, data) };
  return entry->relay.log.vtable->append (
      &entry->relay.log,
      &(struct pt_append){
          .stream = PT_STREAM_LEAD,
          .records = &record,
          .count = 1,
          .at_end = epoch == 0,
          .end = entry->lead_tail.next,
          .deadline_us
          = hc_now_us () + (uint64_t)ENTRY_APPEND_TIMEOUT_MS * 1000,
          .done = done,
          .user = entry,
      });
}

static void
on_released (void *user, const struct pt_append_result *result)
{
  (void)user;
  ev_log (EV_CLAIM_RELEASED, "fate=%d", (int)result->outcome);
}

void
lead_step_down (struct entry *entry, const char *why)
{
  uint64_t epoch;

  if (entry->owner == NULL)
    return;
  epoch = owner_epoch (entry->owner);
  ev_log (EV_LEAD_LOST, "why=\"%s\" leader=%s epoch=%" PRIu64, why,
          entry->leader.vm.data, entry->leader.epoch);
  met_add (&entry->met, MET_CLAIMS_LOST, 1);
  owner_end (entry);
  /* The successor waits for starts that this VM may still write. */
  append_lead (entry, epoch, true, on_released);
}

static void
apply_claim (struct entry *entry, const Cyc__CellLead *lead, uint64_t epoch)
{
  struct entry_leader *leader = &entry->leader;
  bool own_vm = cyc_str_eq (cyc_str_of (lead->vm),
                            cyc_name_str (&entry->desc.settings->vm));
  bool own
      = own_vm && lead->incarnation.len == 16
        && memcmp (lead->incarnation.data, entry->incarnation.bytes, 16) == 0;
  /* An own claim that is read may be an earlier one than the newest. */
  uint64_t claimed_us = entry->claim_unknown_us != 0 ? entry->claim_unknown_us
                                                     : entry->claim_sent_us;
  struct set_peer peer = { .role = SET_ROLE_ENTRY };

  entry->claim_unknown_us = 0;
  entry->replaced_epoch = leader->epoch;
  entry->replaced_before_us = entry->replaced_end_us;
  if (!leader->self)
    entry->replaced_end_us
        = MAX (entry->replaced_end_us, leader_end_us (entry));
  memset (leader, 0, sizeof *leader);
  leader->epoch = epoch;
  leader->self = own;
  leader->by_previous_process = own_vm && !own;
  leader->released = lead->released;
  if (lead->incarnation.len == sizeof leader->incarnation.bytes)
    memcpy (leader->incarnation.bytes, lead->incarnation.data,
            sizeof leader->incarnation.bytes);
  cyc_name_set (&leader->vm, cyc_str_of (lead->vm));
  ev_log (EV_LEAD_SEEN, "leader=%s epoch=%" PRIu64 " self=%d", lead->vm, epoch,
          own);
  if (!own && entry->owner != NULL)
    lead_step_down (entry, "a newer claim");
  if (own)
    {
      if (entry->owner == NULL)
        {
          entry->handover_deadline_us = 0;
          entry->confirmed_us = claimed_us;
          owner_begin (entry, epoch);
        }
      return;
    }
  if (!set_address_parse (cyc_str_of (lead->address), &leader->address))
    return;
  peer.vm = leader->vm;
  peer.address = leader->address;
  pl_peer_add (&entry->links, &peer);
}

static uint64_t
left_ms (uint64_t until_us, uint64_t now_us)
{
  return until_us > now_us ? (until_us - now_us) / 1000 : 0;
}

/* The leader that was replaced last has ended its calls. */
static void
on_replaced_ended (struct entry *entry)
{
  uint64_t now_us = hc_now_us ();

  ev_log (EV_LEAD_ENDED,
          "epoch=%" PRIu64 " leader_epoch=%" PRIu64 " self=%d"
          " assumed_left_ms=%" PRIu64 " left_ms=%" PRIu64,
          entry->replaced_epoch, entry->leader.epoch, entry->owner != NULL,
          left_ms (entry->replaced_end_us, now_us),
          left_ms (entry->replaced_before_us, now_us));
  entry->replaced_end_us = entry->replaced_before_us;
  if (entry->owner == NULL)
    return;
  entry->predecessor_end_us = MAX (now_us, entry->replaced_before_us);
  owner_earlier_ended (entry->owner, entry->predecessor_end_us);
}

void
lead_on_record (void *user, const struct pt_record *record, uint64_t offset)
{
  struct entry *entry = user;
  Cyc__CellLead *lead = cyc__cell_lead__unpack (
      NULL, record->value.len, (const uint8_t *)record->value.data);
  uint64_t epoch;

  if (lead == NULL)
    {
      ev_log (EV_RECORD_CORRUPT, "stream=lead offset=%" PRIu64, offset);
      return;
    }
  epoch = lead->epoch != 0 ? lead->epoch : offset + 1;
  if (epoch > entry->leader.epoch)
    apply_claim (entry, lead, epoch);
  else if (lead->released && epoch == entry->replaced_epoch
           && epoch != entry->leader.epoch)
    on_replaced_ended (entry);
  if (epoch == entry->leader.epoch)
    {
      entry->leader.seen_us = hc_now_us ();
      entry->leader.released = entry->leader.released || lead->released;
    }
  entry->claim_at_us = 0;
  cyc__cell_lead__free_unpacked (lead, NULL);
  entry_wake (entry);
}

/* Applies a successful claim at once, as this VM's read of the stream may
   deliver it much later when the log is slow. A claim whose answer was lost
   is applied when the stream delivers it. */
static void
on_claim (void *user, const struct pt_append_result *result)
{
  struct entry *entry = user;
  Cyc__CellLead lead = CYC__CELL_LEAD__INIT;
  char address[64];

  entry->claim_in_flight = false;
  entry->claim_at_us = 0;
  if (result->outcome != PT_OK)
    {
      if (result->outcome == PT_UNKNOWN && entry->claim_unknown_us == 0)
        entry->claim_unknown_us = entry->claim_sent_us;
      entry->claim_not_before_us
          = hc_now_us ()
            + (result->outcome == PT_CONFLICT
                       && entry->handover_epoch == entry->leader.epoch
                   ? HANDOVER_CLAIM_RETRY_US
                   : CLAIM_RETRY_US);
      return;
    }
  ev_log (EV_LEAD_CLAIMED, "epoch=%" PRIu64, result->offset + 1);
  met_add (&entry->met, MET_CLAIMS_WON, 1);
  if (result->offset + 1 <= entry->leader.epoch)
    return;
  entry->claim_unknown_us = 0;
  entry->known_end = result->offset + 1;
  fill_own_lead (entry, &lead, address);
  apply_claim (entry, &lead, result->offset + 1);
  entry->leader.seen_us = hc_now_us ();
}

/* A renewal confirms the leadership only if no newer claim precedes it in the
   stream. A leader whose reads fail may not have read such a claim. */
static void
on_renewed (void *user, const struct pt_append_result *result)
{
  struct entry *entry = user;
  uint64_t known_end = MAX (entry->known_end, entry->lead_tail.next);

  entry->renew_in_flight = false;
  entry->renewal_us = hc_now_us () - entry->renew_sent_us;
  if (entry->owner == NULL || entry->renew_epoch != entry->leader.epoch)
    return;
  if (result->outcome != PT_OK)
    {
      entry->renew_at_us = hc_now_us () + RENEW_PERIOD_US / 4;
      return;
    }
  if (result->offset > known_end)
    return;
  entry->known_end = MAX (known_end, result->offset + 1);
  entry->renewed_end = result->offset + 1;
  entry->confirmed_us = entry->renew_sent_us;
}

void
lead_release (struct entry *entry)
{
  if (entry->owner == NULL || entry->released)
    return;
  entry->released = true;
  append_lead (entry, entry->leader.epoch, true, on_released);
  owner_end (entry);
}

/* Returns the score of a VM as a leader; 0 if it is unknown. */
static uint64_t
score_of (const struct entry *entry, const char *vm)
{
  const struct entry_vm *row = g_hash_table_lookup (entry->vms, vm);

  return row != NULL ? row->lead_score : 0;
}

/* Returns the linked VM with the highest score of at least @p score_min that
   has read the log at or after @p fresh_us; generation 0 if there is none. */
static struct cyc_ref
find_successor (const struct entry *entry, uint64_t score_min,
                uint64_t fresh_us, struct cyc_name *name)
{
  struct cyc_ref best = { 0 };
  uint64_t best_score = 0;
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t cursor = 0;

  while (pl_next (&entry->links, &cursor, &ref, &view))
    {
      const struct entry_vm *vm
          = g_hash_table_lookup (entry->vms, view.identity.vm.data);

      if (vm == NULL || !view.linked || view.draining
          || view.health != PL_ALIVE || vm->lead_score < score_min
          || view.fresh_us < fresh_us
          || (best.generation != 0 && vm->lead_score <= best_score))
        continue;
      best = ref;
      best_score = vm->lead_score;
      *name = view.identity.vm;
    }
  return best;
}

/* Asks the most suitable VM to claim the leadership. Returns false if no VM
   can be asked. */
static bool
ask_successor (struct entry *entry, uint64_t score_min, uint64_t fresh_us,
               uint64_t pause_us, const char *why)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__CellHandOver hand_over = CYC__CELL_HAND_OVER__INIT;
  struct cyc_name name = { 0 };
  struct cyc_ref peer = find_successor (entry, score_min, fresh_us, &name);

  message.body_case = CYC__PEER__BODY_CELL_HAND_OVER;
  message.cell_hand_over = &hand_over;
  hand_over.epoch = entry->leader.epoch;
  if (peer.generation == 0 || !pl_send (&entry->links, peer, &message))
    return false;
  entry->handover_deadline_us = hc_now_us () + pause_us;
  ev_log (EV_LEAD_HANDED_OVER, "epoch=%" PRIu64 " to=%s why=%s",
          entry->leader.epoch, name.data, why);
  return true;
}

void
lead_hand_over (struct entry *entry)
{
  if (entry->owner != NULL
      && !ask_successor (entry, 0, 0, HANDOVER_TIMEOUT_US, "stopping"))
    lead_release (entry);
}

/* Returns whether this VM leads because its predecessor has asked it to. */
static bool
was_asked_to_lead (const struct entry *entry)
{
  return entry->handover_epoch != 0
         && entry->handover_epoch == entry->replaced_epoch;
}

/* Hands over to a VM that is much more suitable if this leader cannot keep
   up. */
static void
hand_over_if_behind (struct entry *entry, uint64_t now_us)
{
  uint64_t own_score = score_of (entry, entry->desc.settings->vm.data);
  const char *why;

  if (entry->stopping || own_score == 0 || now_us < entry->handover_again_us)
    return;
  why = owner_behind (entry, now_us, !was_asked_to_lead (entry));
  if (why == NULL)
    return;
  entry->handover_again_us = now_us + HANDOVER_RETRY_US;
  ask_successor (entry, own_score * HANDOVER_SCORE_FACTOR,
                 now_us - VIEW_MAX_AGE_US, HANDOVER_PAUSE_US, why);
}

void
lead_on_hand_over (struct entry *entry, uint64_t epoch)
{
  entry->handover_epoch = epoch;
  entry->handover_until_us = hc_now_us () + HANDOVER_TIMEOUT_US;
  entry->claim_not_before_us = 0;
  entry_wake (entry);
}

/* Returns whether the leader has just asked this VM to succeed it. */
static bool
is_asked_to_lead (const struct entry *entry, uint64_t now_us)
{
  return entry->handover_epoch == entry->leader.epoch
         && now_us < entry->handover_until_us;
}

static bool
leader_silent (const struct entry *entry, uint64_t now_us)
{
  const struct entry_leader *leader = &entry->leader;
  struct pl_peer_view view;
  uint64_t age_us = now_us - leader->seen_us;

  if (leader_ended (entry) || is_asked_to_lead (entry, now_us)
      || age_us >= LEADER_SILENT_US)
    return true;
  return age_us >= LEADER_SILENT_UNLINKED_US && leader_view (entry, &view)
         && !view.linked;
}

/* Returns the number of VMs with a higher score than this one, without the
   silent leader. */
static uint32_t
own_rank (const struct entry *entry)
{
  const char *self = entry->desc.settings->vm.data;
  const struct entry_vm *own = g_hash_table_lookup (entry->vms, self);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint32_t rank = 0;

  if (own == NULL)
    return RANK_MAX;
  g_hash_table_iter_init (&iter, entry->vms);
  while (g_hash_table_iter_next (&iter, &key, &value))
    rank += ((struct entry_vm *)value)->lead_score > own->lead_score
            && strcmp (key, entry->leader.vm.data) != 0;
  return MIN (rank, RANK_MAX);
}

static void
follow_tick (struct entry *entry, uint64_t now_us)
{

  if (entry->stopping || entry->claim_in_flight
      || now_us < entry->claim_not_before_us || !entry->registered
      || entry->lead_tail.fresh_us == 0
      || entry->lead_tail.fresh_us + VIEW_MAX_AGE_US < now_us
      || entry->config == NULL || entry->config_tail.fresh_us == 0
      || !relay_direct_works (&entry->relay, now_us)
      || !leader_silent (entry, now_us))
    {
      if (!entry->claim_in_flight)
        entry->claim_at_us = 0;
      return;
    }
  if (entry->claim_at_us == 0)
    {
      entry->claim_at_us = now_us;
      if (!is_asked_to_lead (entry, now_us))
        entry->claim_at_us
            += (uint64_t)own_rank (entry) * RANK_DELAY_US
               + (uint64_t)g_random_int_range (0, CLAIM_JITTER_MAX_US);
      entry_wake_at (entry, entry->claim_at_us);
    }
  if (now_us < entry->claim_at_us)
    return;
  entry->claim_sent_us = now_us;
  /* The claim succeeds only if the stream holds no unread renewal. */
  entry->predecessor_end_us
      = MAX (entry->replaced_end_us, leader_end_us (entry));
  entry->claim_in_flight = append_lead (entry, 0, false, on_claim);
}

void
lead_tick (struct entry *entry, uint64_t now_us)
{
  if (entry->owner == NULL)
    {
      follow_tick (entry, now_us);
      return;
    }
  /* A renewal would make the successor's claim fail. */
  if (entry->handover_deadline_us > now_us)
    return;
  if (entry->handover_deadline_us != 0 && entry->stopping)
    {
      lead_release (entry);
      return;
    }
  entry->handover_deadline_us = 0;
  hand_over_if_behind (entry, now_us);
  if (entry->handover_deadline_us != 0 || entry->renew_in_flight
      || now_us < entry->renew_at_us)
    return;
  entry->renew_at_us = now_us + RENEW_PERIOD_US;
  entry->renew_sent_us = now_us;
  entry->renew_epoch = entry->leader.epoch;
  entry->renew_in_flight
      = append_lead (entry, entry->leader.epoch, false, on_renewed);
}
