#include "replay.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_DECISIONS 65536

static uint64_t
total_of (const struct rp_replay *rp, size_t offset)
{
  struct cyc_core_totals totals = { 0 };
  uint64_t value;

  if (!rp->running)
    return 0;
  cyc_core_totals (&rp->core, &totals);
  memcpy (&value, (const char *)&totals + offset, sizeof value);
  return value;
}

enum source
{
  SOURCE_PROGRESS,
  SOURCE_TOTALS
};

struct outcome
{
  const char *name;
  enum source source;
  size_t offset;
};

static const struct outcome outcomes[] = {
  { "mismatches", SOURCE_PROGRESS,
    offsetof (struct cyc_core_replay, mismatches) },
  { "ticks", SOURCE_PROGRESS, offsetof (struct cyc_core_replay, ticks) },
  { "decisions", SOURCE_PROGRESS,
    offsetof (struct cyc_core_replay, decisions) },
  { "starts", SOURCE_TOTALS, offsetof (struct cyc_core_totals, starts) },
  { "preempted", SOURCE_TOTALS, offsetof (struct cyc_core_totals, preempted) },
  { "cancelled", SOURCE_TOTALS, offsetof (struct cyc_core_totals, cancelled) },
  { "refused-jobs", SOURCE_TOTALS,
    offsetof (struct cyc_core_totals, refused_jobs) },
  { "running-tasks", SOURCE_TOTALS,
    offsetof (struct cyc_core_totals, running_tasks) },
  { "queued-tasks", SOURCE_TOTALS,
    offsetof (struct cyc_core_totals, queued_tasks) },
};

static bool
value_of (const struct rp_replay *rp, const char *name, uint64_t *value)
{
  for (size_t i = 0; i < sizeof outcomes / sizeof outcomes[0]; i++)
    {
      if (strcmp (outcomes[i].name, name) != 0)
        continue;
      if (outcomes[i].source == SOURCE_TOTALS)
        *value = total_of (rp, outcomes[i].offset);
      else
        memcpy (value, (const char *)&rp->progress + outcomes[i].offset,
                sizeof *value);
      return true;
    }
  return false;
}

static bool
relation_holds (uint64_t value, const char *relation, uint64_t bound)
{
  if (strcmp (relation, "=") == 0)
    return value == bound;
  if (strcmp (relation, "<=") == 0)
    return value <= bound;
  return value >= bound;
}

static void
check_expect (struct rp_replay *rp, const char *line, struct cyc_str place,
              struct cyc_findings *findings)
{
  char name[32];
  char relation[4];
  uint64_t bound;
  uint64_t value;

  if (sscanf (line, "expect %31s %3s %" SCNu64, name, relation, &bound) != 3
      || (strcmp (relation, "=") != 0 && strcmp (relation, "<=") != 0
          && strcmp (relation, ">=") != 0))
    {
      cyc_findings_add (findings, place,
                        "must be: expect NAME =|<=|>= NUMBER");
      return;
    }
  if (!value_of (rp, name, &value))
    {
      cyc_findings_add (findings, place, "unknown outcome \"%s\"", name);
      return;
    }
  rp->expectations++;
  if (!relation_holds (value, relation, bound))
    cyc_findings_add (findings, place,
                      "expected %s %s %" PRIu64 ", got %" PRIu64, name,
                      relation, bound, value);
}

static void
start_core (struct rp_replay *rp, struct cyc_str line, struct cyc_str place,
            struct cyc_findings *findings)
{
  struct cyc_core_desc desc = { 0 };

  if (rp->running)
    cyc_core_shutdown (&rp->core);
  rp->running = false;
  if (!cyc_core_replay_setup (line, &desc))
    {
      cyc_findings_add (findings, place, "setup line is malformed");
      return;
    }
  rp->running = cyc_core_setup (&rp->core, &desc, findings);
  rp->setups++;
}

bool
rp_open (struct rp_replay *rp, struct cyc_findings *findings)
{
  memset (rp, 0, sizeof *rp);
  rp->progress.max = MAX_DECISIONS;
  rp->progress.out = calloc (MAX_DECISIONS, sizeof *rp->progress.out);
  if (rp->progress.out == NULL)
    cyc_findings_add (findings, CYC_STR ("replay"), "out of memory");
  return rp->progress.out != NULL;
}

static bool
begins_with (struct cyc_str line, const char *word)
{
  size_t len = strlen (word);

  return line.len >= len && memcmp (line.data, word, len) == 0;
}

void
rp_line (struct rp_replay *rp, struct cyc_str line,
         struct cyc_findings *findings)
{
  char place[32];
  char text[128];

  rp->lines++;
  snprintf (place, sizeof place, "line %" PRIu64, rp->lines);
  while (line.len > 0 && line.data[line.len - 1] == '\n')
    line.len--;
  if (line.len == 0 || line.data[0] == '#')
    return;
  if (begins_with (line, "setup "))
    start_core (rp, line, cyc_str_of (place), findings);
  else if (begins_with (line, "expect "))
    {
      snprintf (text, sizeof text, "%.*s", CYC_FMT (line));
      check_expect (rp, text, cyc_str_of (place), findings);
    }
  else if (!rp->running)
    cyc_findings_add (findings, cyc_str_of (place),
                      "input before a setup line");
  else if (!cyc_core_replay_line (&rp->core, line, &rp->progress))
    cyc_findings_add (findings, cyc_str_of (place), "malformed");
}

void
rp_close (struct rp_replay *rp)
{
  if (rp->running)
    cyc_core_shutdown (&rp->core);
  free (rp->progress.out);
  memset (rp, 0, sizeof *rp);
}

bool
rp_file (struct rp_replay *rp, const char *path, struct cyc_findings *findings)
{
  FILE *file = fopen (path, "r");
  char *line = NULL;
  size_t line_capacity = 0;
  ssize_t len;
  uint32_t before = findings->count;

  if (file == NULL)
    {
      cyc_findings_add (findings, cyc_str_of (path), "%s", strerror (errno));
      return false;
    }
  while ((len = getline (&line, &line_capacity, file)) > 0
         && line[len - 1] == '\n')
    rp_line (rp, (struct cyc_str){ line, (size_t)len }, findings);
  free (line);
  fclose (file);
  return findings->count == before;
}
