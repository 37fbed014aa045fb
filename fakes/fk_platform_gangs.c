/* The gang of the fake platform. */

#include "fk_platform_internal.h"

#include <stdlib.h>
#include <string.h>

bool
fkp_is_gang_member (const struct fkp_platform *platform, const char *task)
{
  return platform->faults.gang.prefix != NULL
         && g_str_has_prefix (task, platform->faults.gang.prefix);
}

static struct fkp_gang_run *
find_gang_run (const struct fkp_platform *platform, uint32_t number)
{
  for (guint i = 0; i < platform->gang_runs->len; i++)
    if (g_array_index (platform->gang_runs, struct fkp_gang_run, i).number
        == number)
      return &g_array_index (platform->gang_runs, struct fkp_gang_run, i);
  return NULL;
}

static uint32_t
count_members (const struct fkp_platform *platform, uint32_t number)
{
  uint32_t count = 0;

  for (uint32_t w = 0; w < platform->worker_count; w++)
    for (uint32_t r = 0; r < platform->workers[w].run_count; r++)
      count += platform->workers[w].runs[r].number == number
               && fkp_is_gang_member (platform,
                                      platform->workers[w].runs[r].task);
  return count;
}

/* Notes that a run begins to work once all its members are present. */
static void
note_presence (struct fkp_platform *platform, uint32_t number, uint64_t now)
{
  const struct fkp_gang *gang = &platform->faults.gang;

  if (find_gang_run (platform, number) != NULL
      || count_members (platform, number) < gang->size)
    return;
  g_array_append_vals (
      platform->gang_runs,
      &(struct fkp_gang_run){ .number = number,
                              .present_ms = now,
                              .fails = platform->gang_runs->len
                                       < gang->failing_runs },
      1);
}

/* Returns the end of the run's member that ended first, NULL if none has. */
static const struct fkp_history *
first_end (const struct fkp_platform *platform, uint32_t number)
{
  const struct fkp_history *first = NULL;

  for (guint i = 0; i < platform->history->len; i++)
    {
      const struct fkp_history *row
          = &g_array_index (platform->history, struct fkp_history, i);

      if (row->run == number && row->end_ms != 0
          && fkp_is_gang_member (platform, row->task)
          && (first == NULL || row->end_ms < first->end_ms))
        first = row;
    }
  return first;
}

/* Returns when a member on the worker learns that another one ended. */
static uint64_t
told_ms (const struct fkp_worker *worker, const struct fkp_history *first)
{
  const struct fkp_platform *platform = worker->platform;
  const struct fkp_gang *gang = &platform->faults.gang;
  uint64_t further;

  if (first == NULL || gang->notice_ms == FKP_GANG_UNTOLD)
    return UINT64_MAX;
  further = (uint64_t)(worker - platform->workers + platform->worker_count
                       - (first->worker - platform->workers))
            % platform->worker_count;
  return first->end_ms + gang->notice_ms + further * gang->further_notice_ms;
}

/* Returns when the member ends `failed` by itself. */
static uint64_t
fails_ms (const struct fkp_platform *platform, const struct fkp_gang_run *run,
          const char *task)
{
  const struct fkp_gang *gang = &platform->faults.gang;
  uint32_t member = (uint32_t)atoi (strrchr (task, '.') + 1);

  if (!run->fails || member >= gang->failing_members)
    return UINT64_MAX;
  return run->present_ms + gang->fail_after_ms
         + (uint64_t)member * gang->fail_gap_ms;
}

/* Returns how the member ends now, NULL if it goes on. */
static const char *
outcome_now (const struct fkp_worker *worker, const struct fkp_run *member,
             uint64_t now)
{
  const struct fkp_platform *platform = worker->platform;
  const struct fkp_gang_run *run = find_gang_run (platform, member->number);
  const struct fkp_history *first;
  uint64_t duration_ms
      = platform->task_duration_ms ? platform->task_duration_ms : 200;

  if (run != NULL && fails_ms (platform, run, member->task) <= now)
    return "failed";
  first = first_end (platform, member->number);
  if (first != NULL && strcmp (first->outcome, "done") == 0)
    return "done";
  if (told_ms (worker, first) <= now)
    return "broken";
  if (run == NULL)
    return now >= member->start_ms + FKP_GANG_TIMEOUT_MS ? "alone" : NULL;
  if (first == NULL && !run->fails && now >= run->present_ms + duration_ms)
    return "done";
  return NULL;
}

void
fkp_gangs_tick (struct fkp_platform *platform, uint64_t now)
{
  if (platform->faults.gang.prefix == NULL)
    return;
  for (uint32_t w = 0; w < platform->worker_count; w++)
    for (uint32_t r = 0; r < platform->workers[w].run_count; r++)
      if (fkp_is_gang_member (platform, platform->workers[w].runs[r].task))
        note_presence (platform, platform->workers[w].runs[r].number, now);
  for (uint32_t w = 0; w < platform->worker_count; w++)
    {
      struct fkp_worker *worker = &platform->workers[w];

      for (uint32_t r = 0; r < worker->run_count;)
        {
          const struct fkp_run *run = &worker->runs[r];
          const char *outcome = fkp_is_gang_member (platform, run->task)
                                    ? outcome_now (worker, run, now)
                                    : NULL;

          if (outcome != NULL)
            fkp_end_run (worker, r, outcome);
          else
            r++;
        }
    }
}
