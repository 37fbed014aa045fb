/* Passes the configuration to the core: balances of teams, queues, replicas of
   services and entry seats. */
#include "scheduler.h"

#include <string.h>

#define REPLICAS_PER_EPOCH 4096
#define REPLICA_EPOCHS (UINT32_MAX / REPLICAS_PER_EPOCH)

static uint32_t *
queue_link (const struct sc_scheduler *sc, struct cyc_str name)
{
  uint32_t *link
      = &sc->queue_index.heads[sc_hash_name (name) & sc->queue_index.mask];

  while (*link != SC_NONE
         && !cyc_str_eq (cyc_name_str (&sc->queues[*link].name), name))
    link = &sc->queues[*link].hash_next;
  return link;
}

struct sc_queue *
sc_queue_find (struct sc_scheduler *sc, struct cyc_str name)
{
  uint32_t row = *queue_link (sc, name);

  return row == SC_NONE ? NULL : &sc->queues[row];
}

static struct sc_queue *
find_or_add_queue (struct sc_scheduler *sc, const struct cyc_name *name)
{
  uint32_t *link = queue_link (sc, cyc_name_str (name));
  struct cyc_ref ref;

  if (*link != SC_NONE)
    return &sc->queues[*link];
  ref = cyc_pool_take (&sc->queue_pool);
  if (ref.generation == 0)
    return NULL;
  memset (&sc->queues[ref.index], 0, sizeof sc->queues[ref.index]);
  sc->queues[ref.index].name = *name;
  sc->queues[ref.index].hash_next = SC_NONE;
  *link = ref.index;
  return &sc->queues[ref.index];
}

static void
drop_queue (struct sc_scheduler *sc, uint32_t row)
{
  uint32_t *link = queue_link (sc, cyc_name_str (&sc->queues[row].name));

  *link = sc->queues[row].hash_next;
  cyc_pool_release (&sc->queue_pool, cyc_pool_ref_at (&sc->queue_pool, row));
}

void
sc_config_reset (struct sc_scheduler *sc)
{
  for (uint32_t i = 0; i < sc->queue_pool.high; i++)
    if (cyc_pool_used_at (&sc->queue_pool, i))
      drop_queue (sc, i);
}

uint32_t
sc_domain_share (const struct cyc_fleet_cfg *fleet, uint32_t total,
                 uint32_t position)
{
  uint64_t weights = 0;
  uint64_t assigned = 0;
  uint64_t own_remainder;
  uint32_t ranked_before = 0;

  for (uint32_t d = 0; d < fleet->domain_count; d++)
    weights += fleet->domains[d].weight;
  if (weights == 0 || position >= fleet->domain_count)
    return 0;
  own_remainder = (uint64_t)total * fleet->domains[position].weight % weights;
  for (uint32_t d = 0; d < fleet->domain_count; d++)
    {
      uint64_t weighted = (uint64_t)total * fleet->domains[d].weight;

      assigned += weighted / weights;
      if (weighted % weights > own_remainder
          || (weighted % weights == own_remainder && d < position))
        ranked_before++;
    }
  return (uint32_t)((uint64_t)total * fleet->domains[position].weight
                    / weights)
         + (ranked_before < total - assigned ? 1 : 0);
}

static int
own_position (const struct sc_scheduler *sc)
{
  const struct cyc_fleet_cfg *fleet = cyc_led_fleet (ctl_ledger (&sc->ctl));

  if (fleet == NULL)
    return -1;
  return cyc_cfg_domain_index (fleet, cyc_name_str (&sc->settings.domain));
}

uint32_t
sc_entry_seats (const struct sc_scheduler *sc)
{
  const struct cyc_fleet_cfg *fleet = cyc_led_fleet (ctl_ledger (&sc->ctl));
  int position = own_position (sc);

  return position < 0 ? 0 : fleet->domains[position].entry_seats;
}

/* The usable balance is the ledger's minus the team's open transfer, whose
   record may be in the log already. */
static void
update_core_teams (struct sc_scheduler *sc)
{
  const struct cyc_ledger *led = ctl_ledger (&sc->ctl);
  const struct cyc_team_cfg *team;

  for (uint32_t i = 0; (team = cyc_led_team_at (led, i)) != NULL; i++)
    {
      struct cyc_balance balance
          = cyc_led_balance (led, cyc_name_str (&team->name),
                             cyc_name_str (&sc->settings.domain));
      const struct sc_transfer *outgoing
          = sc_transfer_find (sc, cyc_name_str (&team->name));
      struct cyc_core_team entry = {
        .name = team->name,
        .share_permille = team->share_permille,
        .balance_millicores = balance.millicores,
        .balance_accelerators = balance.accelerators,
      };

      if (outgoing != NULL && outgoing->open)
        {
          entry.balance_millicores -= outgoing->millicores < balance.millicores
                                          ? outgoing->millicores
                                          : balance.millicores;
          entry.balance_accelerators
              -= outgoing->accelerators < balance.accelerators
                     ? outgoing->accelerators
                     : balance.accelerators;
        }
      cyc_core_team_upsert (&sc->core, &entry);
    }
}

/* Replicas of an earlier owner may still run on workers that were not reached,
   so each epoch uses a new range of replica indexes. */
static void
set_first_replica (struct sc_scheduler *sc, struct sc_queue *queue)
{
  struct cyc_core_job job = {
    .queue = queue->name,
    .first_task = (uint32_t)(sc->epoch % REPLICA_EPOCHS) * REPLICAS_PER_EPOCH,
  };

  cyc_core_service_job (cyc_name_str (&queue->name), &job.id);
  queue->first_replica_set
      = cyc_core_job_add (&sc->core, &job, sc->now_us) == CYC_CORE_OK;
}

static void
update_core_queue (struct sc_scheduler *sc, const struct cyc_queue_cfg *cfg)
{
  const struct cyc_fleet_cfg *fleet = cyc_led_fleet (ctl_ledger (&sc->ctl));
  struct sc_queue *queue = find_or_add_queue (sc, &cfg->name);
  int position = own_position (sc);

  if (queue == NULL)
    return;
  queue->seen_config_pass = sc->config_pass;
  queue->kind = cfg->kind;
  queue->repeatable = cfg->repeatable;
  queue->run_ms = cfg->run_s * 1000;
  if (cyc_core_queue_upsert (&sc->core, cfg) != CYC_CORE_OK
      || cfg->kind != CYC_KIND_SERVICE)
    return;
  queue->targets_dirty = true;
  if (!queue->first_replica_set)
    set_first_replica (sc, queue);
  cyc_core_service_scale (
      &sc->core, cyc_name_str (&cfg->name),
      position < 0 ? 0
                   : sc_domain_share (fleet, cfg->tasks, (uint32_t)position),
      sc->now_us);
}

static void
update_core_queues (struct sc_scheduler *sc)
{
  const struct cyc_ledger *led = ctl_ledger (&sc->ctl);
  const struct cyc_queue_cfg *cfg;

  sc->config_pass++;
  for (uint32_t i = 0; (cfg = cyc_led_queue_at (led, i)) != NULL; i++)
    update_core_queue (sc, cfg);
  for (uint32_t i = 0; i < sc->queue_pool.high; i++)
    if (cyc_pool_used_at (&sc->queue_pool, i)
        && sc->queues[i].seen_config_pass != sc->config_pass)
      {
        cyc_core_queue_remove (&sc->core, cyc_name_str (&sc->queues[i].name));
        drop_queue (sc, i);
      }
}

static void
update_entry_seats (struct sc_scheduler *sc)
{
  const struct cyc_mem_row *row;
  uint32_t cursor = 0;

  while ((row = cyc_mem_next (&sc->members, &cursor, NULL)) != NULL)
    cyc_prm_worker (&sc->permits, cyc_name_str (&row->vm.name), row->vm.slots,
                    row->vm.connections, sc_entry_seats (sc));
}

void
sc_config_tick (struct sc_scheduler *sc)
{
  if (sc->epoch == 0)
    return;
  if (sc->config_dirty || sc->teams_dirty)
    update_core_teams (sc);
  if (sc->config_dirty)
    {
      update_core_queues (sc);
      update_entry_seats (sc);
      sc->rescan_due_us = 0;
      ev_log (EV_CONFIG_IN_FORCE, "version=%" PRIu64,
              cyc_led_config_version (ctl_ledger (&sc->ctl)));
    }
  sc->config_dirty = false;
  sc->teams_dirty = false;
}
