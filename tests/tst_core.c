/**
 * @file
 * Fixture for the tests of the decision core.
 */
#include "tst_core.h"

void
tst_core_open (struct tst_core *t, struct cyc_core_desc desc)
{
  struct cyc_findings found = { 0 };

  memset (t, 0, sizeof *t);
  t->now_us = 1000 * TST_SECOND_US;
  desc.max_workers = 64;
  desc.max_racks = 64;
  desc.max_teams = 16;
  desc.max_queues = 64;
  desc.max_jobs = 1024;
  desc.max_tasks = 4096;
  assert_true (cyc_core_setup (&t->core, &desc, &found));
}

void
tst_core_close (struct tst_core *t)
{
  cyc_core_shutdown (&t->core);
}

static struct cyc_name
name_of (const char *text)
{
  struct cyc_name name;

  assert_true (cyc_name_set (&name, cyc_str_of (text)));
  return name;
}

void
tst_core_add_worker (struct tst_core *t, const char *name, const char *rack)
{
  struct cyc_core_worker worker
      = { .name = name_of (name), .rack = name_of (rack) };

  worker.capacity = (struct cyc_resources){ 10000, 10000, 0 };
  assert_int_equal (cyc_core_worker_upsert (&t->core, &worker, t->now_us),
                    CYC_CORE_OK);
}

void
tst_core_set_team (struct tst_core *t, const char *name, uint32_t share,
                   uint64_t balance)
{
  struct cyc_core_team team = { .name = name_of (name),
                                .share_permille = share,
                                .balance_millicores = balance,
                                .balance_accelerators = 0 };

  assert_int_equal (cyc_core_team_upsert (&t->core, &team), CYC_CORE_OK);
}

void
tst_core_set_queue_cfg (struct tst_core *t, const char *name, const char *team,
                        struct cyc_queue_cfg cfg)
{
  cfg.name = name_of (name);
  cfg.team = name_of (team);
  assert_int_equal (cyc_core_queue_upsert (&t->core, &cfg), CYC_CORE_OK);
}

void
tst_core_set_queue (struct tst_core *t, const char *name, const char *team,
                    enum cyc_queue_kind kind, uint32_t size)
{
  struct cyc_queue_cfg cfg = { .kind = kind,
                               .repeatable = true,
                               .spread = CYC_SPREAD_RACK,
                               .size = { size, size, 0 },
                               .run_s = 10 };

  tst_core_set_queue_cfg (t, name, team, cfg);
}

struct cyc_id128
tst_core_job_id (uint32_t number)
{
  struct cyc_id128 id = { { 0 } };

  memcpy (id.bytes, &number, sizeof number);
  return id;
}

enum cyc_core_status
tst_core_add_job (struct tst_core *t, uint32_t number, const char *queue,
                  uint32_t tasks)
{
  struct cyc_core_job job = { .id = tst_core_job_id (number),
                              .queue = name_of (queue),
                              .tasks = tasks,
                              .submitted_us = t->now_us };

  return cyc_core_job_add (&t->core, &job, t->now_us);
}

void
tst_core_tick (struct tst_core *t, uint64_t step_us)
{
  t->now_us += step_us;
  t->decision_count
      = cyc_core_tick (&t->core, t->now_us, t->decisions, TST_MAX_DECISIONS);
}

uint32_t
tst_core_count_decisions (const struct tst_core *t,
                          enum cyc_decision_kind kind)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < t->decision_count; i++)
    count += t->decisions[i].kind == kind;
  return count;
}

const struct cyc_decision *
tst_core_first_decision (const struct tst_core *t, enum cyc_decision_kind kind)
{
  for (uint32_t i = 0; i < t->decision_count; i++)
    if (t->decisions[i].kind == kind)
      return &t->decisions[i];
  return NULL;
}

void
tst_core_report_each (struct tst_core *t, enum cyc_decision_kind kind,
                      enum cyc_task_event event)
{
  for (uint32_t i = 0; i < t->decision_count; i++)
    if (t->decisions[i].kind == kind)
      assert_int_equal (cyc_core_task_report (&t->core, &t->decisions[i].job,
                                              t->decisions[i].task_index,
                                              event, t->now_us),
                        CYC_CORE_OK);
}

void
tst_core_report (struct tst_core *t, uint32_t number, uint32_t task,
                 enum cyc_task_event event)
{
  struct cyc_id128 id = tst_core_job_id (number);

  assert_int_equal (
      cyc_core_task_report (&t->core, &id, task, event, t->now_us),
      CYC_CORE_OK);
}

struct cyc_core_totals
tst_core_totals (const struct tst_core *t)
{
  struct cyc_core_totals totals;

  cyc_core_totals (&t->core, &totals);
  return totals;
}
