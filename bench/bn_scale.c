/**
 * @file
 * Scale run: cost of a decision at 100, 1,000 and 9,800 workers. The numbers
 * of running tasks and teams are proportional to the workers; 4,500 tasks
 * start per second at every size.
 */
#include "bn_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_US 10000
#define STARTS_PER_TICK 45 /* 4,500 per second */
#define MEASURED_TICKS 1500

struct scale_run
{
  struct cyc_core core;
  uint32_t workers;
  uint32_t teams;
  uint32_t batch_tasks; /**< number of running batch tasks */
  struct cyc_decision
      *ring; /**< running batch tasks, the next to end at head */
  uint32_t head;
  uint32_t count;
  uint32_t job; /**< number of the next job */
  uint64_t now_us;
  uint64_t seed;
  struct bn_samples tick_us;
  uint64_t input_ns; /**< real time of the inputs */
  uint64_t inputs;   /**< number of inputs */
  uint64_t tick_ns;  /**< real time of the ticks */
  uint64_t starts;   /**< number of starts in the ticks */
};

static struct cyc_name
name_of (const char *prefix, uint32_t number)
{
  struct cyc_name name;
  char text[32];

  snprintf (text, sizeof text, "%s%u", prefix, number);
  cyc_name_set (&name, cyc_str_of (text));
  return name;
}

static void
add_queue (struct scale_run *s, const char *prefix, uint32_t team,
           enum cyc_queue_kind kind)
{
  struct cyc_queue_cfg cfg
      = { .name = name_of (prefix, team),
          .team = name_of ("t", team),
          .kind = kind,
          .spread = CYC_SPREAD_RACK,
          .repeatable = true,
          .size = { 1000 + 250 * (team % 7), 2048 + 512 * (team % 5), 0 },
          .run_s = 20 };

  cyc_core_queue_upsert (&s->core, &cfg);
}

static void
open_scale (struct scale_run *s, uint32_t workers)
{
  struct cyc_findings found = { 0 };

  *s = (struct scale_run){ .workers = workers,
                           .teams = workers * 510 / 9800 + 1,
                           .batch_tasks = workers * 8,
                           .now_us = BN_SECOND_US,
                           .seed = 7 };
  if (!cyc_core_setup (&s->core, &(struct cyc_core_desc){ 0 }, &found))
    abort ();
  s->ring = calloc (s->batch_tasks + 4 * STARTS_PER_TICK, sizeof *s->ring);
  if (s->ring == NULL)
    abort ();
  for (uint32_t i = 0; i < workers; i++)
    {
      struct cyc_core_worker worker = { .name = name_of ("w", i),
                                        .rack = name_of ("r", i / 8),
                                        .capacity = { 32000, 131072, 1 } };

      cyc_core_worker_upsert (&s->core, &worker, s->now_us);
    }
  for (uint32_t t = 0; t < s->teams; t++)
    {
      struct cyc_core_team team = { .name = name_of ("t", t),
                                    .share_permille = 1000 / s->teams + 1,
                                    .balance_millicores = 1ULL << 40 };

      cyc_core_team_upsert (&s->core, &team);
      add_queue (s, "b", t, CYC_KIND_BATCH);
      add_queue (s, "s", t, CYC_KIND_SERVICE);
    }
}

static void
add_job (struct scale_run *s, const char *prefix, uint32_t team,
         uint32_t tasks)
{
  struct cyc_core_job job = { .queue = name_of (prefix, team),
                              .tasks = tasks,
                              .submitted_us = s->now_us };
  uint32_t number = s->job++;

  memcpy (job.id.bytes, &number, sizeof number);
  if (cyc_core_job_add (&s->core, &job, s->now_us) != CYC_CORE_OK)
    abort ();
}

static void
tick (struct scale_run *s, bool record_cost)
{
  static struct cyc_decision out[BN_MAX_DECISIONS];
  uint64_t start = bn_monotonic_ns ();
  uint32_t count = cyc_core_tick (&s->core, s->now_us, out, BN_MAX_DECISIONS);
  uint64_t elapsed_ns = bn_monotonic_ns () - start;

  for (uint32_t i = 0; i < count; i++)
    {
      if (out[i].kind != CYC_DECISION_START)
        continue;
      s->starts += record_cost;
      cyc_core_task_report (&s->core, &out[i].job, out[i].task_index,
                            CYC_TASK_EVENT_STARTED, s->now_us);
      cyc_core_task_renewed (&s->core, &out[i].job, out[i].task_index,
                             s->now_us + 3600 * BN_SECOND_US);
      if (out[i].queue_kind != CYC_KIND_BATCH)
        continue;
      s->ring[(s->head + s->count++) % (s->batch_tasks + 4 * STARTS_PER_TICK)]
          = out[i];
    }
  if (!record_cost)
    return;
  bn_samples_add (&s->tick_us, (double)elapsed_ns / 1e3);
  s->tick_ns += elapsed_ns;
}

/* Starts two replicas and eight batch tasks per worker. */
static void
start_initial_tasks (struct scale_run *s)
{
  for (uint32_t t = 0; t < s->teams; t++)
    add_job (s, "s", t, s->workers * 2 / s->teams);
  for (uint32_t i = 0; s->count < s->batch_tasks && i < 2000; i++)
    {
      for (uint32_t k = 0; k < 100; k++)
        if (s->count + k < s->batch_tasks)
          add_job (s, "b", (uint32_t)(bn_uniform (&s->seed) * s->teams), 1);
      s->now_us += TICK_US;
      tick (s, false);
    }
}

static void
end_tasks (struct scale_run *s, uint32_t count)
{
  for (uint32_t i = 0; i < count && s->count > 0; i++)
    {
      const struct cyc_decision *d = &s->ring[s->head];

      cyc_core_task_report (&s->core, &d->job, d->task_index,
                            CYC_TASK_EVENT_DONE, s->now_us);
      s->head = (s->head + 1) % (s->batch_tasks + 4 * STARTS_PER_TICK);
      s->count--;
    }
}

/* Reports the heartbeats of one tick. Every worker and task reports about once
 * a second, so about a hundredth of them report in each tick. */
static void
report_heartbeats (struct scale_run *s, uint32_t round)
{
  uint32_t part = s->workers / 100 + 1;

  for (uint32_t i = 0; i < part; i++)
    {
      char text[16];
      uint32_t w = (round * part + i) % s->workers;
      int len = snprintf (text, sizeof text, "w%u", w);

      cyc_core_worker_seen (&s->core, (struct cyc_str){ text, (size_t)len },
                            s->now_us);
    }
  for (uint32_t i = 0; i < part * 8 && i < s->count; i++)
    {
      const struct cyc_decision *d
          = &s->ring[(s->head + (round * part * 8 + i) % s->count)
                     % (s->batch_tasks + 4 * STARTS_PER_TICK)];
      struct cyc_core_usage usage
          = { .used = { d->size.millicores, d->size.memory_mib, 0 },
              .measured_us = s->now_us };

      cyc_core_task_usage (&s->core, &d->job, d->task_index, &usage,
                           s->now_us);
    }
  s->inputs += part + part * 8;
}

/* Prints a row for that number of workers. Returns the microseconds per
 * start. */
static double
measure_workers (uint32_t workers)
{
  static struct scale_run s;
  struct cyc_core_totals totals;
  double per_start_us;

  open_scale (&s, workers);
  start_initial_tasks (&s);
  for (uint32_t i = 0; i < MEASURED_TICKS; i++)
    {
      uint64_t start;

      s.now_us += TICK_US;
      start = bn_monotonic_ns ();
      report_heartbeats (&s, i);
      s.input_ns += bn_monotonic_ns () - start;
      end_tasks (&s, STARTS_PER_TICK);
      for (uint32_t k = 0; k < STARTS_PER_TICK; k++)
        add_job (&s, "b", (uint32_t)(bn_uniform (&s.seed) * s.teams), 1);
      tick (&s, true);
    }
  cyc_core_totals (&s.core, &totals);
  per_start_us = (double)s.tick_ns / 1e3 / (double)s.starts;
  printf ("%7u %7u %5u %7llu %10.0f %9.2f %9.0f %9.0f %9.0f %9.2f\n", workers,
          (uint32_t)totals.running_tasks, s.teams,
          (unsigned long long)s.starts, 1e6 / per_start_us, per_start_us,
          bn_samples_quantile (&s.tick_us, 0.5),
          bn_samples_quantile (&s.tick_us, 0.99),
          bn_samples_quantile (&s.tick_us, 1),
          (double)s.input_ns / 1e3 / (double)s.inputs);
  bn_samples_free (&s.tick_us);
  cyc_core_shutdown (&s.core);
  free (s.ring);
  return per_start_us;
}

void
bn_scale_run (void)
{
  double small;
  double large;

  printf ("\nscale: %u starts a tick of 10 ms (4,500/s); target p99 5,000 us "
          "a tick, slope below 1\n",
          STARTS_PER_TICK);
  printf ("%7s %7s %5s %7s %10s %9s %9s %9s %9s %9s\n", "workers", "running",
          "teams", "starts", "starts/s", "us/start", "tick p50", "tick p99",
          "tick max", "us/input");
  small = measure_workers (100);
  measure_workers (1000);
  large = measure_workers (9800);
  printf ("slope (log cost / log workers, 100 to 9,800): %.2f\n",
          log (large / small) / log (98.0));
}
