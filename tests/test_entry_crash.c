/* Whole VMs against tasks that crash each worker that starts them, among other
   jobs, and against crashes, cuts and power losses that no task has caused.
   Guards against a task that is started on worker after worker, and against
   giving up work that only ran beside it (incident BUDGET). */

#include "tst_late.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

#define DEADLY_TASK "0000000000000001.0.0.0"

/* When things happen. */

static uint32_t
count_crashes (struct tst_late_play *play)
{
  const struct fkp_platform *fake = &tst_late_cluster (play)->fake;
  uint32_t crashes = 0;

  for (uint32_t i = 0; i < fake->worker_count; i++)
    crashes += fake->workers[i].crashes;
  return crashes;
}

static bool
first_crash (struct tst_late_play *play)
{
  return count_crashes (play) >= 1;
}

static bool
second_crash (struct tst_late_play *play)
{
  return count_crashes (play) >= 2;
}

static bool
leader_leads (struct tst_late_play *play)
{
  return second_crash (play)
         && tst_cluster_leader (tst_late_cluster (play)) != NULL;
}

/* What happens. */

static void
start_ended_vms (struct tst_late_play *play)
{
  struct tst_cluster *cluster = tst_late_cluster (play);

  for (uint32_t i = 0; i < TST_CLUSTER_VMS; i++)
    if (!cluster->vms[i].up)
      tst_cluster_start_vm (cluster, i);
}

static void
refuse (struct tst_late_play *play)
{
  tst_late_choose_victims (play);
  for (uint32_t v = 0; v < 2; v++)
    fkp_refuse_calls (tst_late_victim (play, v));
}

static void
end_refusal (struct tst_late_play *play)
{
  for (uint32_t v = 0; v < 2; v++)
    fkp_accept_calls (tst_late_victim (play, v));
}

static void
crash_one (struct tst_late_play *play)
{
  if (tst_late_victim (play, 0) == NULL)
    tst_late_choose_victims (play);
  if (!tst_late_victim (play, 0)->crashed)
    fkp_crash_worker (tst_late_victim (play, 0));
}

static void
power_off (struct tst_late_play *play)
{
  tst_late_choose_victims (play);
  for (uint32_t v = 0; v < 2; v++)
    if (!tst_late_victim (play, v)->crashed)
      fkp_power_off (tst_late_victim (play, v));
}

static const struct tst_late_fault none = { "no further fault", { { 0 } } };
static const struct tst_late_fault giver_killed
    = { "the leader is killed after it gave the order",
        { { 0, tst_late_kill_leader, first_crash },
          { 0, start_ended_vms, NULL },
          { 0, tst_late_kill_leader, leader_leads } } };
static const struct tst_late_fault cut
    = { "workers are cut off with refusals",
        { { 0, refuse }, { 1500, end_refusal } } };
static const struct tst_late_fault long_cut
    = { "workers are cut off with refusals for longer than the lease",
        { { 0, refuse }, { 7000, end_refusal } } };
static const struct tst_late_fault flaps
    = { "a worker goes down and up by turns",
        { { 0, crash_one },
          { 1800, crash_one },
          { 3600, crash_one },
          { 5400, crash_one },
          { 7200, crash_one } } };
static const struct tst_late_fault power_loss
    = { "workers lose power", { { 0, power_off } } };

/* What tasks that crash their workers, and crashed workers, do. */
struct kind
{
  const char *name;
  struct fkp_faults crashes;
};

static const struct kind deadly_kinds[] = {
  { "a deadly task", { .deadly_task = DEADLY_TASK, .deadly_after_ms = 20 } },
  { "a deadly task whose start gets no answer",
    { .deadly_task = DEADLY_TASK, .deadly_unanswered = true } },
  { "a deadly task, workers come back under their id",
    { .deadly_task = DEADLY_TASK, .back_under_old_id = true } },
};

static const struct kind innocent_kinds[] = {
  { "workers come back under another id", { .back_after_ms = 1500 } },
  { "workers come back under their id",
    { .back_after_ms = 1500, .back_under_old_id = true } },
};

static void
add (GArray *cases, const struct kind *kind, uint64_t deadly_jobs,
     const struct tst_late_fault *fault, uint32_t at_ms)
{
  tst_late_add (cases, (struct tst_late_case){ .kind = kind->name,
                                               .faults = { fault },
                                               .offsets_ms = { at_ms },
                                               .deadly_jobs = deadly_jobs,
                                               .crashes = kind->crashes });
}

static void
test_deadly_task_among_others (void **state)
{
  static const struct
  {
    const struct tst_late_fault *fault;
    uint32_t at_ms;
  } faults[] = {
    { &none, 0 },       { &giver_killed, 0 }, { &cut, 700 },
    { &long_cut, 700 }, { &flaps, 700 },      { &power_loss, 700 },
  };
  GArray *cases = tst_late_cases ();

  (void)state;
  for (size_t k = 0; k < G_N_ELEMENTS (deadly_kinds); k++)
    for (size_t f = 0; f < G_N_ELEMENTS (faults); f++)
      add (cases, &deadly_kinds[k], 1, faults[f].fault, faults[f].at_ms);
  tst_late_play_cases (cases);
}

static void
test_crashes_without_a_guilty_task (void **state)
{
  static const struct tst_late_fault *const faults[]
      = { &cut, &long_cut, &flaps, &power_loss };
  static const uint32_t at_ms[] = { 150, 700 };
  GArray *cases = tst_late_cases ();

  (void)state;
  for (size_t k = 0; k < G_N_ELEMENTS (innocent_kinds); k++)
    for (size_t f = 0; f < G_N_ELEMENTS (faults); f++)
      for (size_t t = 0; t < G_N_ELEMENTS (at_ms); t++)
        add (cases, &innocent_kinds[k], 0, faults[f], at_ms[t]);
  tst_late_play_cases (cases);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_deadly_task_among_others),
    cmocka_unit_test (test_crashes_without_a_guilty_task),
  };

  tst_late_setup ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
