/* Evacuation of failure domains: their workers take no starts, and what they
   run goes on.

   The load that this answers: a domain with a fraction of the fleet is emptied
   at once, while callers go on, and is taken back some seconds later. */

#include "cyc_cell_internal.h"

#include <stdio.h>

static bool
is_evacuated (const struct cell_core *core, const struct cyc_name *domain)
{
  return g_hash_table_contains (core->evacuated_domains, domain->data);
}

void
cell_evacuate_listed (const struct cell_core *core, struct cell_worker *worker)
{
  worker->evacuated = is_evacuated (core, &worker->domain);
}

void
cell_domain_evacuate (struct cell_core *core, struct cyc_str domain,
                      bool evacuated, uint64_t now_us)
{
  char name[CYC_NAME_MAX_BYTES + 1];

  snprintf (name, sizeof name, "%.*s", CYC_FMT (domain));
  core->now_us = now_us;
  if (evacuated)
    g_hash_table_add (core->evacuated_domains, g_strdup (name));
  else
    g_hash_table_remove (core->evacuated_domains, name);
  for (guint row = 0; row < core->workers->len; row++)
    {
      struct cell_worker *worker = cell_worker_at (core, row);
      bool was = worker->evacuated;

      cell_evacuate_listed (core, worker);
      if (worker->evacuated != was)
        cell_worker_touch (core, worker);
    }
  core->placement_pending = true;
  cell_wake (core, now_us);
}

void
cell_domain_view (const struct cell_core *core, struct cyc_str domain,
                  struct cell_domain_view *out)
{
  *out = (struct cell_domain_view){ 0 };
  for (guint row = 0; row < core->workers->len; row++)
    {
      const struct cell_worker *worker = cell_worker_at (core, row);

      if (!cyc_str_eq (cyc_name_str (&worker->domain), domain))
        continue;
      out->workers += worker->listed;
      out->runs += worker->run_count;
    }
}

void
cell_starts_hold (struct cell_core *core, bool held, uint64_t now_us)
{
  if (core->starts_held && !held)
    cell_wake (core, now_us);
  core->starts_held = held;
}
