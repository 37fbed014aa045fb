#include <cyclamendrum/config.h>

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
team_order (const void *a, const void *b)
{
  const struct cyc_team_cfg *const *left = a;
  const struct cyc_team_cfg *const *right = b;

  return cyc_str_cmp (cyc_name_str (&(*left)->name),
                      cyc_name_str (&(*right)->name));
}

static int
team_key_order (const void *key, const void *entry)
{
  const struct cyc_name *name = key;
  const struct cyc_team_cfg *const *team = entry;

  return cyc_str_cmp (cyc_name_str (name), cyc_name_str (&(*team)->name));
}

static void __attribute__ ((format (printf, 4, 5)))
add_defect (struct cyc_findings *findings, const char *kind,
            const struct cyc_name *name, const char *format, ...)
{
  char place[96];
  char text[200];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  snprintf (place, sizeof place, "%s/%s", kind, name->data);
  cyc_findings_add (findings, cyc_str_of (place), "%s", text);
}

static void
check_size (const struct cyc_fleet_cfg *fleet,
            const struct cyc_queue_cfg *queue, struct cyc_findings *findings)
{
  const struct cyc_resources *largest = &fleet->largest_worker;

  if (queue->size.millicores > largest->millicores)
    add_defect (findings, "queue", &queue->name,
                "millicores %u exceed the largest worker (%u)",
                queue->size.millicores, largest->millicores);
  if (queue->size.memory_mib > largest->memory_mib)
    add_defect (findings, "queue", &queue->name,
                "memory_mib %u exceed the largest worker (%u)",
                queue->size.memory_mib, largest->memory_mib);
  if (queue->size.accelerators > largest->accelerators)
    add_defect (findings, "queue", &queue->name,
                "accelerators %u exceed the largest worker (%u)",
                queue->size.accelerators, largest->accelerators);
}

/* A gang runs all its tasks at the same time or none, so all of them must fit
   the limit. For other kinds one task must fit, or none could ever run. */
static void
check_limit (const struct cyc_team_cfg *team,
             const struct cyc_queue_cfg *queue, struct cyc_findings *findings)
{
  uint64_t concurrent_tasks = queue->kind == CYC_KIND_GANG ? queue->tasks : 1;
  uint64_t millicores = concurrent_tasks * queue->size.millicores;
  uint64_t accelerators = concurrent_tasks * queue->size.accelerators;
  const char *subject = queue->kind == CYC_KIND_GANG ? "the gang" : "a task";

  if (millicores > team->limit_millicores)
    add_defect (findings, "queue", &queue->name,
                "%s needs %" PRIu64 " millicores, over the limit of team "
                "\"%s\" (%" PRIu64 ")",
                subject, millicores, team->name.data, team->limit_millicores);
  if (accelerators > team->limit_accelerators)
    add_defect (findings, "queue", &queue->name,
                "%s needs %" PRIu64 " accelerators, over the limit of team "
                "\"%s\" (%" PRIu64 ")",
                subject, accelerators, team->name.data,
                team->limit_accelerators);
}

static void
check_queues (const struct cyc_cfg_set *set,
              const struct cyc_team_cfg *const *teams,
              struct cyc_findings *findings)
{
  for (uint32_t i = 0; i < set->queue_count; i++)
    {
      const struct cyc_queue_cfg *queue = &set->queues[i];
      const struct cyc_team_cfg *const *team
          = set->team_count == 0
                ? NULL
                : bsearch (&queue->team, teams, set->team_count,
                           sizeof (const struct cyc_team_cfg *),
                           team_key_order);

      if (set->fleet != NULL)
        check_size (set->fleet, queue, findings);
      if (team == NULL)
        add_defect (findings, "queue", &queue->name,
                    "team \"%s\" does not exist", queue->team.data);
      else
        check_limit (*team, queue, findings);
    }
}

static void
check_teams (const struct cyc_cfg_set *set, struct cyc_findings *findings)
{
  uint64_t shares = 0;

  for (uint32_t i = 0; i < set->team_count; i++)
    shares += set->teams[i].share_permille;
  if (shares > CYC_SHARE_TOTAL_PERMILLE)
    cyc_findings_add (findings, CYC_STR ("team"),
                      "shares add up to %" PRIu64 " permille, over %d", shares,
                      CYC_SHARE_TOTAL_PERMILLE);
}

bool
cyc_cfg_check_set (const struct cyc_cfg_set *set,
                   struct cyc_findings *findings)
{
  uint32_t initial_count = findings->count + findings->dropped;
  const struct cyc_team_cfg **teams = calloc (
      (size_t)set->team_count + 1, sizeof (const struct cyc_team_cfg *));

  if (teams == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("config"), "out of memory");
      return false;
    }
  for (uint32_t i = 0; i < set->team_count; i++)
    teams[i] = &set->teams[i];
  qsort (teams, set->team_count, sizeof (const struct cyc_team_cfg *),
         team_order);
  /* Teams need a fleet, because limits are divided over its domains. */
  if (set->fleet == NULL && set->team_count + set->queue_count > 0)
    cyc_findings_add (findings, CYC_STR ("fleet"), "is missing");
  check_teams (set, findings);
  check_queues (set, teams, findings);
  free (teams);
  return findings->count + findings->dropped == initial_count;
}
