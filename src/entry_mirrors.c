/* The VMs of the failure domain that pass the configuration on to each other:
   which they are, the links to them, and the start of the first read. */

#include "entry_internal.h"

/** Longest wait of a question for the configuration to a VM that mirrors it.
 * One that stands still is noticed after this wait and that for its answer. */
#define MIRROR_WAIT_MS 500
/** Longest wait for the list of VMs and the link to one of them before the
 * configuration is read. */
#define CONFIG_START_MAX_US 600000
#define CONFIG_START_POLL_US 10000

uint32_t
entry_config_wait_ms (const struct entry *entry)
{
  return MIN (ENTRY_LOG_WAIT_MS, entry->desc.settings->config_max_age_ms / 2);
}

void
mirrors_setup (struct entry *entry)
{
  mir_setup (
      &entry->mirror,
      &(struct mir_desc){
          .direct = &entry->relay.log,
          .links = &entry->links,
          .tail = &entry->config_tail,
          .wait_ms = MIN (MIRROR_WAIT_MS, entry_config_wait_ms (entry) / 2),
          .first_ask = entry_number (entry) });
  entry->config_start_by_us = hc_now_us () + CONFIG_START_MAX_US;
}

/* Collects the VMs of this VM's failure domain. */
static GArray *
domain_vms (const struct entry *entry)
{
  GArray *vms = g_array_new (FALSE, FALSE, sizeof (struct mir_vm));
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entry->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_vm *row = value;

      if (cyc_name_eq (&row->peer.domain, &entry->desc.settings->domain))
        g_array_append_vals (vms,
                             &(struct mir_vm){ .vm = row->peer.vm,
                                               .link_kbps = row->link_kbps,
                                               .millicores = row->millicores },
                             1);
    }
  return vms;
}

/* Adds links to the VMs that @p reader reads, if it is this VM, or to @p
   reader if it reads this VM. */
static void
link_sources (struct entry *entry, struct cyc_str reader,
              const struct cyc_name *sources, uint32_t count)
{
  const struct cyc_name *self = &entry->desc.settings->vm;
  bool own = cyc_str_eq (reader, cyc_name_str (self));

  for (uint32_t i = 0; i < count; i++)
    {
      const struct entry_vm *row = NULL;

      if (own)
        row = g_hash_table_lookup (entry->vms, sources[i].data);
      else if (cyc_name_eq (&sources[i], self))
        row = g_hash_table_lookup (entry->vms, reader.data);
      if (row != NULL)
        pl_peer_add (&entry->links, &row->peer);
    }
}

void
mirrors_on_vms (void *user)
{
  struct entry *entry = user;
  GArray *domain;
  const struct mir_vm *vms;

  if (!entry->vms_changed)
    return;
  entry->vms_changed = false;
  domain = domain_vms (entry);
  mir_sort ((struct mir_vm *)(void *)domain->data, domain->len);
  vms = (const struct mir_vm *)(const void *)domain->data;
  for (uint32_t i = 0; i < domain->len; i++)
    {
      struct cyc_str reader = cyc_name_str (&vms[i].vm);
      struct cyc_name sources[MIR_SOURCES_MAX];
      uint32_t count = mir_choose (vms, domain->len, i, sources);

      link_sources (entry, reader, sources, count);
      if (cyc_str_eq (reader, cyc_name_str (&entry->desc.settings->vm)))
        mir_set_sources (&entry->mirror, sources, count);
    }
  g_array_free (domain, TRUE);
}

/* A VM whose calls of the log fail reads the configuration of the leader: that
   reaches the log, or soon is none any more. */
static void
set_last_resort (struct entry *entry)
{
  static const struct cyc_name none;

  mir_set_last_resort (&entry->mirror,
                       entry->relay.relaying && !entry->leader.self
                           ? &entry->leader.vm
                           : &none);
}

/* Begins to read the configuration when the VMs are known and a link to one of
   those that can pass it on is up, or after a while in any case. */
static void
start_config (struct entry *entry, uint64_t now_us)
{
  if (entry->config_tail.running)
    return;
  if (now_us >= entry->config_start_by_us
      || (entry->vms_tail.loaded && mir_is_ready (&entry->mirror)))
    tail_start (&entry->config_tail);
  else
    entry_wake_at (entry, now_us + CONFIG_START_POLL_US);
}

void
mirrors_tick (struct entry *entry, uint64_t now_us)
{
  set_last_resort (entry);
  mir_tick (&entry->mirror, now_us);
  start_config (entry, now_us);
}
