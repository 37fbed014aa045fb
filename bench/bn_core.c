/**
 * @file
 * Scheduler under test that calls the decision core.
 */
#include "bn_model.h"

#include <stdio.h>
#include <stdlib.h>

struct bn_core
{
  struct bn_scheduler base;
  struct cyc_core core;
  const struct bn_load *load;
};

static struct bn_core *
self_of (struct bn_scheduler *base)
{
  return (struct bn_core *)base;
}

static void
add_job (struct bn_scheduler *base, uint32_t queue,
         const struct cyc_core_job *job, uint64_t now_us)
{
  (void)queue;
  if (cyc_core_job_add (&self_of (base)->core, job, now_us) != CYC_CORE_OK)
    abort ();
}

static void
report (struct bn_scheduler *base, const struct cyc_id128 *job, uint32_t task,
        enum cyc_task_event event, uint64_t now_us)
{
  cyc_core_task_report (&self_of (base)->core, job, task, event, now_us);
}

static void
heartbeat (struct bn_scheduler *base, uint32_t worker,
           const struct cyc_core_usage *usage, uint64_t now_us)
{
  char name[16];
  int len = snprintf (name, sizeof name, "w%u", worker);
  struct cyc_str text = { name, (size_t)len };

  cyc_core_worker_seen (&self_of (base)->core, text, now_us);
  cyc_core_worker_usage (&self_of (base)->core, text, usage, now_us);
}

static void
task_usage (struct bn_scheduler *base, const struct cyc_id128 *job,
            uint32_t task, const struct cyc_core_usage *usage, uint64_t now_us)
{
  cyc_core_task_renewed (&self_of (base)->core, job, task,
                         now_us + 600 * BN_SECOND_US);
  cyc_core_task_usage (&self_of (base)->core, job, task, usage, now_us);
}

static uint32_t
tick (struct bn_scheduler *base, uint64_t now_us, struct cyc_decision *out,
      uint32_t max)
{
  return cyc_core_tick (&self_of (base)->core, now_us, out, max);
}

static void
close_core (struct bn_scheduler *base)
{
  cyc_core_shutdown (&self_of (base)->core);
  free (base);
}

static void
add_workers (struct bn_core *self)
{
  for (uint32_t i = 0; i < self->load->workers; i++)
    {
      struct cyc_core_worker worker = { .capacity = self->load->worker };
      char text[16];

      snprintf (text, sizeof text, "w%u", i);
      cyc_name_set (&worker.name, cyc_str_of (text));
      snprintf (text, sizeof text, "r%u", i / 8);
      cyc_name_set (&worker.rack, cyc_str_of (text));
      cyc_core_worker_upsert (&self->core, &worker, 0);
    }
}

static void
add_teams (struct bn_core *self)
{
  for (uint32_t i = 0; i < self->load->team_count; i++)
    {
      struct cyc_core_team team
          = { .share_permille = self->load->teams[i].share_permille,
              .balance_millicores = 1ULL << 40 };

      cyc_name_set (&team.name, cyc_str_of (self->load->teams[i].name));
      cyc_core_team_upsert (&self->core, &team);
    }
}

static void
add_queues (struct bn_core *self)
{
  for (uint32_t i = 0; i < self->load->queue_count; i++)
    {
      const struct bn_queue *q = &self->load->queues[i];
      struct cyc_queue_cfg cfg = { .kind = q->kind,
                                   .spread = CYC_SPREAD_RACK,
                                   .urgent = q->urgent,
                                   .repeatable = true,
                                   .tasks = q->tasks,
                                   .size = q->declared,
                                   .run_s = (uint32_t)q->declared_run_s };

      cyc_name_set (&cfg.name, cyc_str_of (q->name));
      cyc_name_set (&cfg.team, cyc_str_of (self->load->teams[q->team].name));
      cyc_core_queue_upsert (&self->core, &cfg);
    }
}

struct bn_scheduler *
bn_core_open (const struct bn_load *load)
{
  struct bn_core *self = calloc (1, sizeof *self);
  struct cyc_findings found = { 0 };
  struct cyc_core_desc desc = { .max_jobs = 1U << 18, .max_tasks = 1U << 20 };

  if (self == NULL || !cyc_core_setup (&self->core, &desc, &found))
    abort ();
  self->base = (struct bn_scheduler){ .add_job = add_job,
                                      .report = report,
                                      .heartbeat = heartbeat,
                                      .task_usage = task_usage,
                                      .tick = tick,
                                      .close = close_core };
  self->load = load;
  add_workers (self);
  add_teams (self);
  add_queues (self);
  return &self->base;
}
