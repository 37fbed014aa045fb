/* What a job may ask for. The same check is made before a job is accepted and
   when a stored one is loaded, so that what was accepted is always held. */

#include "cyc_cell_internal.h"

#include <stdio.h>
#include <string.h>

/** Length of the place of a finding. */
#define PLACE_BYTES 64

static void
add_for_step (struct cyc_findings *findings, size_t step, const char *field,
              const char *text, uint64_t limit)
{
  char place[PLACE_BYTES];

  snprintf (place, sizeof place, "steps[%zu].%s", step, field);
  cyc_findings_add (findings, cyc_str_of (place), "%s %" G_GUINT64_FORMAT,
                    text, (guint64)limit);
}

static void
check_step (const Cyc__CellJob *spec, size_t index,
            struct cyc_findings *findings)
{
  const Cyc__CellStep *step = spec->steps[index];

  if (step->count == 0)
    add_for_step (findings, index, "count", "must be at least", 1);
  if (step->n_depends_on > CELL_STEPS_MAX)
    add_for_step (findings, index, "depends_on", "has more entries than",
                  CELL_STEPS_MAX);
  else
    for (size_t d = 0; d < step->n_depends_on; d++)
      if (step->depends_on[d] >= index)
        {
          add_for_step (findings, index, "depends_on",
                        "must only name steps below", index);
          break;
        }
  if (step->gang && step->count > CELL_GANG_TASKS_MAX)
    add_for_step (findings, index, "count", "of a gang must be at most",
                  CELL_GANG_TASKS_MAX);
  /* A worker has no longer label, so no worker could run the step. */
  if (strlen (step->required_label) > CYC_NAME_MAX_BYTES)
    add_for_step (findings, index, "requirements", "is longer in bytes than",
                  CYC_NAME_MAX_BYTES);
  if (strlen (step->data_rack) > CELL_TEXT_MAX_BYTES)
    add_for_step (findings, index, "affinity", "is longer in bytes than",
                  CELL_TEXT_MAX_BYTES);
  if (strlen (step->image) > CELL_TEXT_MAX_BYTES)
    add_for_step (findings, index, "image", "is longer in bytes than",
                  CELL_TEXT_MAX_BYTES);
}

bool
cell_job_check (const Cyc__CellJob *spec, struct cyc_findings *findings)
{
  uint32_t before = findings->count + findings->dropped;
  uint64_t tasks = 0;

  if (strlen (spec->queue) > CYC_NAME_MAX_BYTES
      || strlen (spec->team) > CYC_NAME_MAX_BYTES)
    cyc_findings_add (findings, CYC_STR ("queue"),
                      "or team is longer in bytes than %d",
                      CYC_NAME_MAX_BYTES);
  if (spec->payload.len > CELL_PAYLOAD_MAX_BYTES)
    cyc_findings_add (findings, CYC_STR ("spec"), "is longer in bytes than %d",
                      CELL_PAYLOAD_MAX_BYTES);
  if (spec->n_steps == 0 || spec->n_steps > CELL_STEPS_MAX)
    cyc_findings_add (findings, CYC_STR ("steps"),
                      "must be a list of 1 to %d steps", CELL_STEPS_MAX);
  for (size_t s = 0; s < spec->n_steps && s < CELL_STEPS_MAX; s++)
    {
      check_step (spec, s, findings);
      tasks += spec->steps[s]->count;
    }
  if (tasks > CELL_TASKS_MAX)
    cyc_findings_add (findings, CYC_STR ("steps"),
                      "have more tasks in all, by count, than %d",
                      CELL_TASKS_MAX);
  return findings->count + findings->dropped == before;
}
