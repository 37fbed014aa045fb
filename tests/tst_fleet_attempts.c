/* Checks of failed runs in the simulated fleet: a run of a gang counts once,
   however many of its members end as failed. The checks depend on no times. */

#include "tst_fleet_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define SHOWN_CHECK_INTERVAL_MS 500

/* Writes the name under which the failed runs of a task are counted: that of
   its gang, which all members share, or its own. */
static void
write_counted_name (const struct fleet *fleet, const char *task, char out[64])
{
  snprintf (out, 64, "%s", task);
  if (fleet_job_of_task (fleet, task)->gang)
    *strrchr (out, '.') = 0;
}

uint32_t
fleet_failed_runs (const struct fleet *fleet, GHashTable *table,
                   const char *task)
{
  char name[64];

  write_counted_name (fleet, task, name);
  return fleet_lookup_number (table, name);
}

void
fleet_count_failed (const struct fleet *fleet, GHashTable *table,
                    const char *task, uint32_t run)
{
  char name[64];
  char counted[96];

  /* A task that lasts is started again however often it fails. */
  if (fleet_job_of_task (fleet, task)->long_running)
    return;
  write_counted_name (fleet, task, name);
  snprintf (counted, sizeof counted, "%s run %" PRIu32, name, run);
  if (fleet_lookup_number (table, counted) != 0)
    return;
  fleet_set_number (table, counted, 1);
  fleet_set_number (table, name, fleet_lookup_number (table, name) + 1);
}

void
fleet_note_told (const struct fleet *fleet, const struct cell_report *report)
{
  for (uint32_t i = 0; i < report->end_count; i++)
    if (report->ends[i].kind == CELL_END_FAILED)
      fleet_count_failed (fleet, fleet->failures_told,
                          report->ends[i].task.data, report->ends[i].run);
}

void
fleet_note_limits (struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->config->queue_count; i++)
    {
      uint32_t limit = MAX (1, fleet->config->queues[i].max_attempts);

      fleet->attempts_highest = MAX (fleet->attempts_highest, limit);
      fleet->attempts_lowest = fleet->attempts_lowest == 0
                                   ? limit
                                   : MIN (fleet->attempts_lowest, limit);
    }
}

void
fleet_check_attempts (struct fleet *fleet, const char *task)
{
  if (fleet_failed_runs (fleet, fleet->failures, task)
      >= fleet->attempts_highest)
    fleet_violation (fleet, "too many attempts of", task);
}

void
fleet_check_open (struct fleet *fleet, const char *task)
{
  if (fleet_job_state (fleet, g_ascii_strtoull (task, NULL, 16))
      == CELL_JOB_FAILED)
    fleet_violation (fleet, "a start after its job has failed:", task);
}

void
fleet_check_failures (struct fleet *fleet)
{
  struct cell_failure failure;

  while (cell_failure_next (fleet->core, &failure))
    {
      gint64 key = (gint64)failure.job;
      uint32_t cause = failure.cause;

      g_hash_table_replace (fleet->failure_causes,
                            g_memdup2 (&key, sizeof key),
                            g_memdup2 (&cause, sizeof cause));
      if (failure.cause == CELL_FAILURE_ATTEMPTS
          && fleet_failed_runs (fleet, fleet->failures_told, failure.task)
                 < fleet->attempts_lowest)
        fleet_violation (fleet,
                         "failed too early for its attempts:", failure.task);
    }
}

/* Returns whether a task or gang of the job has used all its attempts. */
static bool
has_used_attempts (const struct fleet *fleet, uint64_t id)
{
  GHashTableIter iter;
  gpointer name;
  gpointer count;
  char prefix[24];

  snprintf (prefix, sizeof prefix, "%016" PRIx64 ".", id);
  g_hash_table_iter_init (&iter, fleet->failures_told);
  while (g_hash_table_iter_next (&iter, &name, &count))
    if (g_str_has_prefix (name, prefix)
        && *(const uint32_t *)count >= fleet->attempts_lowest)
      return true;
  return false;
}

void
fleet_check_shown (struct fleet *fleet)
{
  GHashTableIter iter;
  gpointer key;

  fleet->shown_check_ms = fleet->now_ms + SHOWN_CHECK_INTERVAL_MS;
  g_hash_table_iter_init (&iter, fleet->submitted_jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      uint64_t id = (uint64_t) * (const gint64 *)key;
      const uint32_t *cause = g_hash_table_lookup (fleet->failure_causes, key);
      char name[24];

      if (fleet_job_state (fleet, id) != CELL_JOB_FAILED
          || (cause != NULL && *cause != CELL_FAILURE_ATTEMPTS)
          || has_used_attempts (fleet, id))
        continue;
      snprintf (name, sizeof name, "%016" PRIx64, id);
      fleet_violation (fleet, "shown as failed with attempts left:", name);
    }
}
