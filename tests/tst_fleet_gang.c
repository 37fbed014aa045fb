/* Gangs on the workers of the simulated fleet. A member ends as broken once
   its worker has learned of the end of another one. Until then it may fail by
   itself, so that several members of one run end as failed. */

#include "tst_fleet_internal.h"

#include <stdio.h>
#include <string.h>

/* A member of a gang ends if the others are not present within this time. */
#define GANG_JOIN_TIMEOUT_MS 3000
#define RANDOM_GAP_MAX_MS 300
#define RANDOM_NOTICE_MAX_MS 400

/* How the members of one run of a gang fail. */
struct failing_plan
{
  uint32_t members;    /* that fail by themselves */
  uint32_t first;      /* index of the first member that may */
  uint32_t per_worker; /* of them at most */
  uint32_t gap_ms;     /* from one worker to the next */
  uint32_t notice_ms;
};

static bool
is_same_gang (const struct fleet_run *a, const struct fleet_run *b)
{
  size_t len = (size_t)(strrchr (a->task, '.') - a->task + 1);

  return a->number == b->number && strncmp (a->task, b->task, len) == 0;
}

static unsigned int
step_of (const struct fleet_run *run)
{
  unsigned int step = 0;

  sscanf (run->task + 16, ".%*u.%u", &step);
  return step;
}

/* The member learns of the end of another one on worker @p from. */
static void
tell_member (const struct fleet *fleet, struct fleet_run *run, uint32_t from,
             uint32_t row)
{
  uint32_t distance = (row + fleet->worker_count - from) % fleet->worker_count;
  uint64_t told_ms
      = fleet->now_ms + (uint64_t)run->notice_ms * (1ULL + distance);

  if (run->notice_ms != FLEET_NOTICE_NEVER
      && (run->told_ms == 0 || told_ms < run->told_ms))
    run->told_ms = told_ms;
  /* It can't end as done without the others. */
  if (!run->fails)
    run->end_ms = fleet->now_ms + FLEET_UNTOLD_MS;
  run->fails = true;
}

static uint32_t
worker_of (const struct fleet *fleet, const struct fleet_run *member)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    if (fleet_lookup_number (fleet->workers[w].closed_runs, member->task)
        == member->number)
      return w;
  return 0;
}

/* Returns whether the member fails by itself at this moment. */
static bool
is_failing_now (const struct fleet *fleet, const struct fleet_run *run)
{
  return run->gang_complete && run->fails && run->end_ms <= fleet->now_ms;
}

void
fleet_end_gang (struct fleet *fleet, const struct fleet_run *member,
                enum cell_end_kind kind)
{
  uint32_t from = worker_of (fleet, member);
  bool together = fleet_job_of_task (fleet, member->task)->failing_runs > 0;

  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count;)
      {
        struct fleet_run *run = &fleet->workers[w].runs[r];

        if (!is_same_gang (member, run)
            || (together && kind == CELL_END_BROKEN && run->notice_ms == 0
                && is_failing_now (fleet, run)))
          r++;
        else if (kind == CELL_END_BROKEN && run->notice_ms > 0)
          tell_member (fleet, &fleet->workers[w].runs[r++], from, w);
        else
          {
            fleet_add_end (fleet, &fleet->workers[w], run, kind);
            fleet_remove_run (&fleet->workers[w], r);
          }
      }
}

void
fleet_mark_gang_done (struct fleet *fleet, const struct fleet_run *run)
{
  const struct fleet_job *job = fleet_job_of_task (fleet, run->task);
  int len = (int)(strrchr (run->task, '.') - run->task);

  for (uint32_t t = 0; t < job->tasks[step_of (run)]; t++)
    g_hash_table_add (fleet->done_tasks,
                      g_strdup_printf ("%.*s.%u", len, run->task, t));
}

bool
fleet_run_fails (const struct fleet *fleet, const struct fleet_job *job,
                 const struct fleet_run *run)
{
  const struct fleet_call_faults *faults = &fleet->call_faults;

  if (fleet_failed_runs (fleet, fleet->failures_listed, run->task)
      < job->failing_runs)
    return true;
  return faults->rand != NULL && faults->failing_permille > 0
         && (uint32_t)g_rand_int_range (faults->rand, 0, 1000)
                < faults->failing_permille;
}

static struct failing_plan
make_plan (const struct fleet *fleet, const struct fleet_job *job,
           uint32_t count)
{
  GRand *rand = fleet->call_faults.rand;
  struct failing_plan plan = {
    .members = job->failing_members != 0 ? job->failing_members : count,
    .first = job->failing_first,
    .per_worker = job->failing_per_worker,
    .gap_ms = job->fail_gap_ms,
    .notice_ms = fleet->gang_notice_ms,
  };

  if (fleet->call_faults.failing_permille == 0)
    return plan;
  plan.members = (uint32_t)g_rand_int_range (rand, 1, (gint)count + 1);
  plan.per_worker = (uint32_t)g_rand_int_range (rand, 0, 3);
  plan.gap_ms = g_rand_boolean (rand)
                    ? 0
                    : (uint32_t)g_rand_int_range (rand, 0, RANDOM_GAP_MAX_MS);
  switch (g_rand_int_range (rand, 0, 4))
    {
    case 0:
      plan.notice_ms = FLEET_NOTICE_NEVER;
      break;
    case 1:
      plan.notice_ms = 0;
      break;
    default:
      plan.notice_ms
          = (uint32_t)g_rand_int_range (rand, 1, RANDOM_NOTICE_MAX_MS);
      break;
    }
  return plan;
}

static uint32_t
index_of (const struct fleet_run *run)
{
  return (uint32_t)g_ascii_strtoull (strrchr (run->task, '.') + 1, NULL, 10);
}

/* Chooses the members that fail by themselves. The others do so if they are
   not told in time. */
static void
plan_failures (struct fleet *fleet, const struct fleet_run *member,
               const struct failing_plan *plan)
{
  uint32_t chosen = 0;
  uint32_t workers = 0;

  for (uint32_t w = 0; w < fleet->worker_count; w++)
    {
      uint32_t here = 0;

      for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
        {
          struct fleet_run *run = &fleet->workers[w].runs[r];

          if (!is_same_gang (member, run))
            continue;
          run->fails = true;
          run->notice_ms = plan->notice_ms;
          run->end_ms += (uint64_t)workers * plan->gap_ms;
          if (chosen < plan->members && index_of (run) >= plan->first
              && (plan->per_worker == 0 || here < plan->per_worker))
            {
              chosen++;
              here++;
            }
          else
            run->end_ms += FLEET_UNTOLD_MS;
        }
      workers += here > 0;
    }
}

static void
complete_gang (struct fleet *fleet, const struct fleet_run *member,
               uint32_t count)
{
  const struct fleet_job *job = fleet_job_of_task (fleet, member->task);
  struct failing_plan plan;

  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
      {
        struct fleet_run *run = &fleet->workers[w].runs[r];

        if (!is_same_gang (member, run))
          continue;
        run->gang_complete = true;
        run->end_ms = fleet->now_ms + run->work_ms;
      }
  if (!fleet_run_fails (fleet, job, member))
    return;
  plan = make_plan (fleet, job, count);
  plan_failures (fleet, member, &plan);
}

void
fleet_join_gang (struct fleet *fleet, struct fleet_worker *worker,
                 uint32_t index)
{
  const struct fleet_run member = worker->runs[index];
  const struct fleet_job *job = fleet_job_of_task (fleet, member.task);
  uint32_t present = 0;

  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
      present += is_same_gang (&member, &fleet->workers[w].runs[r]);
  if (present == job->tasks[step_of (&member)])
    complete_gang (fleet, &member, present);
  else if (fleet->now_ms >= member.start_ms + GANG_JOIN_TIMEOUT_MS)
    {
      fleet_add_end (fleet, worker, &member, CELL_END_ALONE);
      fleet_remove_run (worker, index);
    }
}
