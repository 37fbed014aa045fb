/* Exchange of usage between domains and transfers of idle team balance to the
   domains that lack it. */
#include "scheduler.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define AGGREGATE_INTERVAL_MS 1000
#define AGGREGATE_STALE_MS 5000
#define TRANSFER_INTERVAL_MS 1000
#define APPEND_TIMEOUT_MS 5000
#define MAX_AGGREGATE_TEAMS 1024

struct sc_transfer *
sc_transfer_find (struct sc_scheduler *sc, struct cyc_str team)
{
  for (uint32_t i = 0; i < sc->transfer_count; i++)
    if (cyc_str_eq (cyc_name_str (&sc->transfers[i].team), team))
      return &sc->transfers[i];
  return NULL;
}

static struct sc_transfer *
find_or_add_transfer (struct sc_scheduler *sc, struct cyc_str team)
{
  struct sc_transfer *transfer = sc_transfer_find (sc, team);

  assert (sc->transfers != NULL);
  if (transfer != NULL || sc->transfer_count == SC_MAX_TEAMS)
    return transfer;
  transfer = &sc->transfers[sc->transfer_count++];
  memset (transfer, 0, sizeof *transfer);
  transfer->sc = sc;
  cyc_name_set (&transfer->team, team);
  return transfer;
}

/* Open transfers stay open when ownership changes, since their records may
   still be appended. */
void
sc_limits_reset (struct sc_scheduler *sc)
{
  sc->aggregate_due_us = 0;
}

static struct sc_aggregate *
find_aggregate (struct sc_scheduler *sc, struct cyc_str domain)
{
  for (uint32_t i = 0; i < sc->aggregate_count; i++)
    if (cyc_str_eq (cyc_name_str (&sc->aggregates[i].domain), domain))
      return &sc->aggregates[i];
  return NULL;
}

static void
store_aggregate (struct sc_aggregate *row, const Cyc__Aggregate *message,
                 uint64_t now_us)
{
  row->epoch = message->epoch;
  row->received_us = now_us;
  row->free_millicores = message->free_millicores;
  row->count = 0;
  for (size_t i = 0; i < message->n_teams && row->count < SC_MAX_TEAMS; i++)
    {
      struct sc_team_use *use = &row->teams[row->count];

      if (!cyc_name_set (&use->team, cyc_str_of (message->teams[i]->team)))
        continue;
      use->used_millicores = message->teams[i]->used_millicores;
      use->wanted_millicores = message->teams[i]->wanted_millicores;
      use->used_accelerators = message->teams[i]->used_accelerators;
      use->wanted_accelerators = message->teams[i]->wanted_accelerators;
      row->count++;
    }
}

/* Forwards an aggregate within the own domain. Another domain sends its
   aggregate to only two processes of this one. */
static void
forward_aggregate (struct sc_scheduler *sc, struct cyc_ref from,
                   const Cyc__Aggregate *message)
{
  Cyc__Peer peer = CYC__PEER__INIT;
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t cursor = 0;

  if (!pl_view (&sc->links, from, &view)
      || cyc_name_eq (&view.identity.domain, &sc->settings.domain))
    return;
  peer.body_case = CYC__PEER__BODY_AGGREGATE;
  peer.aggregate = (Cyc__Aggregate *)message;
  while (pl_next (&sc->links, &cursor, &ref, &view))
    if (view.linked
        && cyc_name_eq (&view.identity.domain, &sc->settings.domain)
        && (view.identity.role == SET_ROLE_GATEWAY || view.owned_epoch > 0))
      pl_send (&sc->links, ref, &peer);
}

void
sc_limits_receive_aggregate (struct sc_scheduler *sc, struct cyc_ref peer,
                             const Cyc__Aggregate *message)
{
  struct cyc_str domain = cyc_str_of (message->domain);
  struct sc_aggregate *row = find_aggregate (sc, domain);

  if (!cyc_name_valid (domain)
      || cyc_str_eq (domain, cyc_name_str (&sc->settings.domain)))
    return;
  if (row == NULL)
    {
      if (sc->aggregate_count == CYC_MAX_DOMAINS)
        return;
      row = &sc->aggregates[sc->aggregate_count];
      row->teams = calloc (SC_MAX_TEAMS, sizeof *row->teams);
      if (row->teams == NULL)
        return;
      cyc_name_set (&row->domain, domain);
      sc->aggregate_count++;
    }
  if (message->epoch < row->epoch)
    return;
  store_aggregate (row, message, sc->now_us);
  forward_aggregate (sc, peer, message);
}

/* Sends to every gateway of the own domain, and in each other domain to the
   owner and to one process that is not a scheduler. */
static void
send_aggregate (struct sc_scheduler *sc, const Cyc__Peer *message)
{
  struct cyc_name reached[CYC_MAX_DOMAINS * 2];
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t reached_count = 0;
  uint32_t cursor = 0;

  while (pl_next (&sc->links, &cursor, &ref, &view))
    {
      bool own = cyc_name_eq (&view.identity.domain, &sc->settings.domain);
      bool owner
          = view.identity.role == SET_ROLE_SCHEDULER && view.owned_epoch > 0;
      uint32_t domain_sends = 0;

      if (!view.linked || (view.identity.role == SET_ROLE_SCHEDULER && !owner))
        continue;
      for (uint32_t i = 0; i < reached_count; i++)
        domain_sends += cyc_name_eq (&reached[i], &view.identity.domain);
      if (!own && !owner && domain_sends > 0)
        continue;
      if (!pl_send (&sc->links, ref, message) || own || owner
          || reached_count == CYC_MAX_DOMAINS * 2)
        continue;
      reached[reached_count++] = view.identity.domain;
    }
}

static void
publish_aggregate (struct sc_scheduler *sc)
{
  static Cyc__TeamUse uses[MAX_AGGREGATE_TEAMS];
  static Cyc__TeamUse *rows[MAX_AGGREGATE_TEAMS];
  static struct cyc_core_team_view views[MAX_AGGREGATE_TEAMS];
  Cyc__Aggregate aggregate = CYC__AGGREGATE__INIT;
  Cyc__Peer message = CYC__PEER__INIT;
  struct cyc_core_totals totals;
  uint32_t count = 0;

  while (count < MAX_AGGREGATE_TEAMS
         && cyc_core_team_at (&sc->core, count, &views[count]))
    {
      cyc__team_use__init (&uses[count]);
      uses[count].team = views[count].name.data;
      uses[count].used_millicores = views[count].used_millicores;
      uses[count].wanted_millicores = views[count].wanted_millicores;
      uses[count].used_accelerators = views[count].used_accelerators;
      uses[count].wanted_accelerators = views[count].wanted_accelerators;
      rows[count] = &uses[count];
      count++;
    }
  cyc_core_totals (&sc->core, &totals);
  aggregate.domain = sc->settings.domain.data;
  aggregate.epoch = sc->epoch;
  aggregate.free_millicores
      = totals.capacity_millicores > totals.used_millicores
            ? totals.capacity_millicores - totals.used_millicores
            : 0;
  if (totals.ejected != sc->ejected_reported)
    ev_log (EV_WORKER_EJECTED, "ejected=%" PRIu32 " before=%" PRIu32,
            totals.ejected, sc->ejected_reported);
  sc->ejected_reported = totals.ejected;
  aggregate.n_teams = count;
  aggregate.teams = rows;
  message.body_case = CYC__PEER__BODY_AGGREGATE;
  message.aggregate = &aggregate;
  send_aggregate (sc, &message);
}

static void transfer_append (struct sc_transfer *transfer);

static void
on_transferred (void *user, enum ctl_outcome outcome, uint64_t offset,
                const struct cyc_led_effect *effect)
{
  struct sc_transfer *transfer = user;
  struct sc_scheduler *sc = transfer->sc;

  (void)offset;
  (void)effect;
  sc->now_us = hc_now_us ();
  if (outcome == CTL_UNKNOWN && sc->phase == SC_PHASE_RUN)
    {
      /* A record id takes effect at most once, so appending the same record
         again reveals the outcome of the first append. */
      transfer_append (transfer);
      return;
    }
  if (outcome == CTL_ACCEPTED)
    met_add (&sc->met, MET_TRANSFERS, 1);
  transfer->open = false;
  free ((void *)transfer->record.data);
  transfer->record = (struct cyc_str){ 0 };
  sc->teams_dirty = true;
}

static void
transfer_append (struct sc_transfer *transfer)
{
  struct sc_scheduler *sc = transfer->sc;
  struct ctl_append append = {
    .record_id = transfer->record_id,
    .record = transfer->record,
    .deadline_us = sc->now_us + APPEND_TIMEOUT_MS * SC_US_PER_MS,
    .done = on_transferred,
    .user = transfer,
  };

  if (!ctl_append (&sc->ctl, &append))
    on_transferred (transfer, CTL_NOT_APPENDED, 0, NULL);
}

struct idle_balance
{
  int64_t idle_millicores; /**< negative: amount that is lacking */
  int64_t idle_accelerators;
  int domain;
};

static int64_t
idle_amount (uint64_t balance, uint64_t used, uint64_t wanted)
{
  return (int64_t)balance - (int64_t)used - (int64_t)wanted;
}

static bool
idle_balance_in (struct sc_scheduler *sc, const struct cyc_fleet_cfg *fleet,
                 uint32_t domain, struct cyc_str team,
                 struct idle_balance *out)
{
  const struct sc_aggregate *row
      = find_aggregate (sc, cyc_name_str (&fleet->domains[domain].name));
  struct cyc_balance balance
      = cyc_led_balance (ctl_ledger (&sc->ctl), team,
                         cyc_name_str (&fleet->domains[domain].name));

  if (row == NULL
      || sc->now_us > row->received_us + AGGREGATE_STALE_MS * SC_US_PER_MS)
    return false;
  out->domain = (int)domain;
  for (uint32_t i = 0; i < row->count; i++)
    if (cyc_str_eq (cyc_name_str (&row->teams[i].team), team))
      {
        const struct sc_team_use *use = &row->teams[i];

        out->idle_millicores = idle_amount (
            balance.millicores, use->used_millicores, use->wanted_millicores);
        out->idle_accelerators
            = idle_amount (balance.accelerators, use->used_accelerators,
                           use->wanted_accelerators);
        return true;
      }
  return false;
}

/* Finds the domain that lacks most. Returns false if no domain lacks anything,
   or if another domain has more idle balance than this one and so is the one
   to give. */
static bool
find_receiver (struct sc_scheduler *sc, const struct cyc_fleet_cfg *fleet,
               struct cyc_str team, const struct idle_balance *own,
               struct idle_balance *receiver)
{
  *receiver = (struct idle_balance){ .domain = -1 };
  for (uint32_t d = 0; d < fleet->domain_count; d++)
    {
      struct idle_balance other;

      if ((int)d == own->domain
          || !idle_balance_in (sc, fleet, d, team, &other))
        continue;
      if (other.idle_millicores > own->idle_millicores
          || (other.idle_millicores == own->idle_millicores
              && other.domain < own->domain))
        return false;
      if (receiver->domain < 0
          || other.idle_millicores < receiver->idle_millicores
          || (other.idle_millicores == receiver->idle_millicores
              && other.idle_accelerators < receiver->idle_accelerators))
        *receiver = other;
    }
  return receiver->domain >= 0
         && (receiver->idle_millicores < 0 || receiver->idle_accelerators < 0);
}

static uint64_t
half_of (int64_t idle)
{
  return idle > 1 ? (uint64_t)idle / 2 : 0;
}

static void
begin_transfer (struct sc_scheduler *sc, struct sc_transfer *transfer,
                struct cyc_str to, struct cyc_balance balance)
{
  struct cyc_str team = cyc_name_str (&transfer->team);
  char item[80];
  struct cyc_transfer_edit edit = {
    .team = team,
    .from = cyc_name_str (&sc->settings.domain),
    .to = to,
    .millicores = transfer->millicores,
    .accelerators = transfer->accelerators,
    .from_millicores = balance.millicores,
    .from_accelerators = balance.accelerators,
    /* The ledger refuses the transfer if it reaches the log after a takeover,
       because the next owner may have used the balance already. */
    .epoch = sc->epoch,
  };

  snprintf (item, sizeof item, "team/%.*s", CYC_FMT (team));
  edit.limit_version
      = cyc_led_item_version (ctl_ledger (&sc->ctl), cyc_str_of (item));
  cyc_id128_random (&transfer->record_id);
  if (!cyc_rec_transfer (&transfer->record_id, cyc_name_str (&sc->settings.vm),
                         &edit, &transfer->record))
    return;
  transfer->open = true;
  transfer->next_allowed_us = sc->now_us + TRANSFER_INTERVAL_MS * SC_US_PER_MS;
  /* The core must see the lower balance before the record can be in the log.
   */
  sc->teams_dirty = true;
  sc_config_tick (sc);
  ev_log (EV_TRANSFER, "team=%.*s to=%.*s millicores=%" PRIu64, CYC_FMT (team),
          CYC_FMT (to), transfer->millicores);
  transfer_append (transfer);
}

static void
transfer_idle_balance (struct sc_scheduler *sc,
                       const struct cyc_fleet_cfg *fleet, int position,
                       const struct cyc_core_team_view *view)
{
  struct cyc_str team = cyc_name_str (&view->name);
  struct cyc_balance balance = cyc_led_balance (
      ctl_ledger (&sc->ctl), team, cyc_name_str (&sc->settings.domain));
  struct idle_balance own = {
    .idle_millicores = idle_amount (balance.millicores, view->used_millicores,
                                    view->wanted_millicores),
    .idle_accelerators
    = idle_amount (balance.accelerators, view->used_accelerators,
                   view->wanted_accelerators),
    .domain = position,
  };
  struct idle_balance receiver;
  struct sc_transfer *transfer;

  if ((own.idle_millicores <= 0 && own.idle_accelerators <= 0)
      || !find_receiver (sc, fleet, team, &own, &receiver))
    return;
  transfer = find_or_add_transfer (sc, team);
  if (transfer == NULL || transfer->open
      || sc->now_us < transfer->next_allowed_us)
    return;
  transfer->millicores
      = receiver.idle_millicores < 0 ? half_of (own.idle_millicores) : 0;
  transfer->accelerators
      = receiver.idle_accelerators < 0 ? half_of (own.idle_accelerators) : 0;
  if (transfer->millicores > 0 || transfer->accelerators > 0)
    begin_transfer (sc, transfer,
                    cyc_name_str (&fleet->domains[receiver.domain].name),
                    balance);
}

void
sc_limits_tick (struct sc_scheduler *sc)
{
  const struct cyc_fleet_cfg *fleet = cyc_led_fleet (ctl_ledger (&sc->ctl));
  struct cyc_core_team_view view;
  int position;

  if (sc->epoch == 0 || sc->now_us < sc->aggregate_due_us || fleet == NULL)
    return;
  sc->aggregate_due_us = sc->now_us + AGGREGATE_INTERVAL_MS * SC_US_PER_MS;
  publish_aggregate (sc);
  position = cyc_cfg_domain_index (fleet, cyc_name_str (&sc->settings.domain));
  if (!sc->starts_allowed || position < 0)
    return;
  for (uint32_t i = 0; cyc_core_team_at (&sc->core, i, &view); i++)
    transfer_idle_balance (sc, fleet, position, &view);
}
