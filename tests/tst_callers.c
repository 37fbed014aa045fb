#include "tst_callers.h"

#include <string.h>

#define STEP_MS 10

struct caller
{
  uint64_t id;
  struct fleet_job job;
  uint64_t back_ms;
  uint32_t refusals;
};

void
callers_setup (struct callers *callers, struct fleet *fleet)
{
  *callers = (struct callers){
    .fleet = fleet,
    .waiting = g_array_new (FALSE, FALSE, sizeof (struct caller)),
    .refused_queues = g_ptr_array_new (),
  };
}

void
callers_teardown (struct callers *callers)
{
  g_array_free (callers->waiting, TRUE);
  g_ptr_array_free (callers->refused_queues, TRUE);
}

uint32_t
callers_refused_of (const struct callers *callers, const char *queue)
{
  uint32_t count = 0;

  for (guint i = 0; i < callers->refused_queues->len; i++)
    count
        += strcmp (g_ptr_array_index (callers->refused_queues, i), queue) == 0;
  return count;
}

/* Submits the job; the caller waits further if it is refused. */
static void
submit (struct callers *callers, struct caller *caller)
{
  struct fleet *fleet = callers->fleet;
  bool accepted
      = fleet_offer (fleet, caller->id, &caller->job, &caller->back_ms);

  callers->accepted += accepted;
  callers->returned += caller->refusals == 1;
  callers->kept += caller->refusals == 1 && accepted;
  if (accepted)
    return;
  if (caller->refusals++ == 0)
    {
      callers->refused++;
      g_ptr_array_add (callers->refused_queues, (gpointer)caller->job.queue);
    }
  callers->longest_wait_ms
      = MAX (callers->longest_wait_ms, caller->back_ms - fleet->now_ms);
  g_array_append_val (callers->waiting, *caller);
}

void
callers_add (struct callers *callers, uint64_t id, const struct fleet_job *job)
{
  submit (callers, &(struct caller){ .id = id, .job = *job });
}

void
callers_tick (struct callers *callers)
{
  for (guint i = 0; i < callers->waiting->len;)
    {
      struct caller caller
          = g_array_index (callers->waiting, struct caller, i);

      if (caller.back_ms > callers->fleet->now_ms)
        {
          i++;
          continue;
        }
      g_array_remove_index (callers->waiting, i);
      submit (callers, &caller);
    }
}

void
callers_run (struct callers *callers, uint64_t ms)
{
  for (uint64_t passed = 0; passed < ms; passed += STEP_MS)
    {
      callers_tick (callers);
      fleet_run (callers->fleet, MIN (STEP_MS, ms - passed));
    }
}
