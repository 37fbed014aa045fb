/* Measures a decision tick of the cell's core with a backlog of waiting steps:
   the cost to the leader when all workers are busy. */

#include <cyclamendrum/cell.h>

#include "cell.pb-c.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define US_PER_S 1000000
#define MEASURED_TICKS 200
#define SETUP_TICKS 6
#define WORKER_MILLICORES 32000

static double
now_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static struct cell_config *
make_config (void)
{
  struct cell_config *config = calloc (1, sizeof *config);

  config->version = 1;
  config->queue_count = 1;
  config->queues = calloc (1, sizeof *config->queues);
  config->pool_count = 1;
  config->pools = calloc (1, sizeof *config->pools);
  cyc_name_set (&config->queues[0].name, CYC_STR ("queue"));
  cyc_name_set (&config->queues[0].pool, CYC_STR ("pool"));
  cyc_name_set (&config->pools[0].name, CYC_STR ("pool"));
  config->queues[0].max_attempts = 3;
  config->queues[0].slack_permille = 2000;
  config->queues[0].objective_ms = 1000;
  config->queues[0].advice = (struct cell_advice_cfg){
    .required = true,
    .decision_us = 50000,
    .per_worker_us = 500,
    .valid_us = 2500000,
  };
  return config;
}

static void
add_workers (struct cell_core *core, uint32_t count, uint64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    {
      struct cell_worker_entry entry = { 0 };
      struct cell_report report = { .sent_us = now_us, .clock_ms = 1000 };
      char id[16];

      snprintf (id, sizeof id, "w%u", i);
      cyc_name_set (&entry.id, cyc_str_of (id));
      cyc_name_set (&entry.pool, CYC_STR ("pool"));
      cyc_name_set (&entry.address, CYC_STR ("127.0.0.1:1"));
      entry.capacity = (struct cyc_resources){ WORKER_MILLICORES, 131072, 0 };
      entry.born_ms = report.born_ms = 1 + i;
      cell_worker_listed (core, &entry, 0, now_us);
      cell_worker_report (core, i, &report, now_us);
    }
}

/* Adds a job of one step. */
static void
add_job (struct cell_core *core, uint64_t id, uint32_t tasks,
         uint32_t millicores, bool gang, uint64_t now_us)
{
  Cyc__CellJob *job = malloc (sizeof *job);
  Cyc__CellStep *step = malloc (sizeof *step);

  cyc__cell_job__init (job);
  cyc__cell_step__init (step);
  job->queue = strdup ("queue");
  job->team = strdup ("team");
  job->accepted_ms = now_us / 1000;
  job->n_steps = 1;
  job->steps = calloc (1, sizeof (Cyc__CellStep *));
  job->steps[0] = step;
  step->count = tasks;
  step->gang = gang;
  step->millicores = millicores;
  step->memory_mib = 8000;
  step->estimate_ms = 2000;
  cell_job_add (core, id, job, true, now_us, now_us / 1000);
}

/* Adds jobs of one step with eight tasks; in every fourth job the step is a
   gang. */
static void
add_jobs (struct cell_core *core, uint64_t first, uint32_t count,
          uint64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    add_job (core, first + i, 8, 4000, i % 4 == 0, now_us);
}

/* Answers all pending questions for advice; every third worker is denied. */
static void
answer_asks (struct cell_core *core, uint64_t now_us)
{
  struct cell_ask ask;

  while (cell_ask_next (core, UINT64_MAX, &ask))
    {
      struct cell_ticket tickets[100];
      uint32_t count = 0;

      for (uint32_t i = 0; i < ask.worker_count; i++)
        {
          struct cell_worker_view view;

          if (ask.workers[i] % 3 == 0)
            continue;
          cell_worker_view (core, ask.workers[i], &view);
          tickets[count++] = (struct cell_ticket){ view.id, CYC_STR ("t") };
        }
      cell_advice (core, ask.ask, true, 2500000, tickets, count, now_us);
    }
}

/* Makes all pending records durable and confirms all ordered starts. */
static void
write_records (struct cell_core *core, uint64_t now_us)
{
  struct cell_record record;
  struct cell_order order;
  uint64_t batch = cell_batch_close (core);

  while (cell_batch_next (core, &record))
    free (record.data);
  if (batch != 0)
    cell_batch_durable (core, batch, now_us);
  while (cell_order_next (core, &order))
    if (order.kind == CELL_ORDER_START)
      cell_start_result (core, order.run, CELL_START_OK, now_us);
}

/* Starts @p runs tasks on each worker, as jobs of one step for each. */
static struct cell_core *
make_busy_fleet (struct cell_config *config, uint32_t workers, uint32_t runs,
                 uint64_t *now_us)
{
  struct cell_core *core = cell_setup (&(struct cell_desc){
      .lease_ms = 6000, .ticket_margin_ms = 250, .heartbeat_ms = 1500 });
  uint32_t row;

  cell_config_set (core, config);
  add_workers (core, workers, *now_us);
  for (uint32_t i = 0; i < workers * runs / 100; i++)
    add_job (core, i + 1, 100, WORKER_MILLICORES / runs, false, *now_us);
  for (int i = 0; i < SETUP_TICKS; i++)
    {
      *now_us += 20000;
      cell_tick (core, *now_us, *now_us / 1000);
      answer_asks (core, *now_us);
      write_records (core, *now_us);
    }
  /* The first tick looks at all workers, which have changed. */
  *now_us += 20000;
  cell_tick (core, *now_us, *now_us / 1000);
  while (cell_worker_changed (core, &row))
    ;
  return core;
}

/* Measures ticks that only look at what has changed. @p reports: workers that
   report between two ticks, without any end. */
static void
measure_look (uint32_t workers, uint32_t runs, uint32_t reports)
{
  struct cell_config *config = make_config ();
  uint64_t now_us = 100 * (uint64_t)US_PER_S;
  struct cell_core *core = make_busy_fleet (config, workers, runs, &now_us);
  struct cell_totals totals;
  double start_s = now_s ();

  for (int i = 0; i < MEASURED_TICKS; i++)
    {
      uint32_t row;

      now_us += 2000;
      for (uint32_t r = 0; r < reports; r++)
        cell_worker_unanswered (core,
                                (uint32_t)i * 7 % (workers - reports) + r,
                                CELL_CALL_SILENT, 0, now_us);
      cell_tick (core, now_us, now_us / 1000);
      while (cell_worker_changed (core, &row))
        {
          struct cell_worker_view view;

          cell_worker_view (core, row, &view);
        }
    }
  cell_totals (core, &totals);
  printf ("look tick: %5u workers, %5u runs, %u changed: %.2f us\n", workers,
          totals.runs, reports, (now_s () - start_s) * 1e6 / MEASURED_TICKS);
  cell_shutdown (core);
  cell_config_free (config);
}

static void
measure_tick (uint32_t workers, uint32_t backlog)
{
  struct cell_config *config = make_config ();
  struct cell_core *core = cell_setup (&(struct cell_desc){
      .lease_ms = 6000, .ticket_margin_ms = 250, .heartbeat_ms = 1500 });
  uint64_t now_us = 100 * (uint64_t)US_PER_S;
  struct cell_totals totals;
  double start_s;

  cell_config_set (core, config);
  add_workers (core, workers, now_us);
  /* Each worker has the capacity for one job of 32 cores; the remaining jobs
     wait. */
  add_jobs (core, 1, workers + backlog, now_us);
  for (int i = 0; i < 40; i++)
    {
      now_us += 20000;
      cell_tick (core, now_us, now_us / 1000);
      answer_asks (core, now_us);
      write_records (core, now_us);
    }
  start_s = now_s ();
  for (int i = 0; i < MEASURED_TICKS; i++)
    {
      /* Setting the configuration marks a placement as pending, as the end of
         a task does, so that each tick runs one. */
      cell_config_set (core, config);
      cell_tick (core, now_us, now_us / 1000);
    }
  cell_totals (core, &totals);
  printf ("cell tick: %5u workers, %4u steps waiting, %u runs: %.0f us\n",
          workers, totals.stages_waiting, totals.runs,
          (now_s () - start_s) * 1e6 / MEASURED_TICKS);
  cell_shutdown (core);
  cell_config_free (config);
}

int
main (void)
{
  static const uint32_t workers[] = { 48, 350, 1400 };
  static const uint32_t backlogs[] = { 0, 100, 800 };
  static const uint32_t fleets[] = { 540, 2000, 9800 };
  static const uint32_t runs[] = { 4, 10 };
  static const uint32_t changed[] = { 0, 4 };

  for (size_t w = 0; w < sizeof workers / sizeof workers[0]; w++)
    for (size_t b = 0; b < sizeof backlogs / sizeof backlogs[0]; b++)
      measure_tick (workers[w], backlogs[b]);
  for (size_t f = 0; f < sizeof fleets / sizeof fleets[0]; f++)
    for (size_t r = 0; r < sizeof runs / sizeof runs[0]; r++)
      for (size_t c = 0; c < sizeof changed / sizeof changed[0]; c++)
        measure_look (fleets[f], runs[r], changed[c]);
  return 0;
}
