#include "evacuation.h"

#include <string.h>

void
evac_setup (struct evac_set *set,
            void (*changed) (void *user, const struct evac_domain *domain,
                             bool evacuated),
            void *user)
{
  memset (set, 0, sizeof *set);
  set->changed = changed;
  set->user = user;
}

/* Workers name their domain in their own entries, so that a name may have
   other forms than those of the settings. */
static bool
is_domain_name (struct cyc_str text)
{
  for (size_t i = 0; i < text.len; i++)
    if (text.data[i] <= ' ' || text.data[i] == '\x7f' || text.data[i] == '/')
      return false;
  return text.len > 0;
}

static uint32_t
find (const struct evac_set *set, struct cyc_str domain)
{
  struct cyc_name name;
  uint32_t i = 0;

  cyc_name_set_any (&name, domain);
  while (i < set->count && !cyc_name_eq (&set->domains[i].name, &name))
    i++;
  return i;
}

static void
remove_at (struct evac_set *set, uint32_t index)
{
  struct evac_domain gone = set->domains[index];

  set->domains[index] = set->domains[--set->count];
  set->changed (set->user, &gone, false);
}

bool
evac_request (struct evac_set *set, struct cyc_str domain, uint64_t now_us,
              uint64_t now_ms)
{
  struct evac_domain row
      = { .since_us = now_us, .since_ms = now_ms, .confirmed = true };
  uint32_t index = find (set, domain);

  if (index < set->count)
    {
      set->domains[index].confirmed = true;
      return true;
    }
  if (index == EVAC_DOMAINS_MAX || !is_domain_name (domain))
    return false;
  cyc_name_set_any (&row.name, domain);
  set->domains[set->count++] = row;
  set->changed (set->user, &row, true);
  return true;
}

void
evac_return (struct evac_set *set, struct cyc_str domain)
{
  uint32_t index = find (set, domain);

  if (index < set->count)
    remove_at (set, index);
}

void
evac_reload (struct evac_set *set)
{
  set->reloading = true;
  for (uint32_t i = 0; i < set->count; i++)
    set->domains[i].confirmed = false;
}

void
evac_reloaded (struct evac_set *set)
{
  if (!set->reloading)
    return;
  set->reloading = false;
  for (uint32_t i = set->count; i > 0; i--)
    if (!set->domains[i - 1].confirmed)
      remove_at (set, i - 1);
}
