/**
 * @file
 * Embeds the decision core of the scheduler and places one batch job of one
 * team on one worker.
 *
 * Build: cc embed.c $(pkg-config --cflags --libs --static libcyclamendrum)
 */
#include <cyclamendrum/core.h>

#include <stdio.h>

int
main (void)
{
  struct cyc_findings found = { 0 };
  struct cyc_core core;
  struct cyc_core_worker worker = { .capacity = { 8000, 16384, 0 } };
  struct cyc_core_team team
      = { .share_permille = 500, .balance_millicores = 8000 };
  struct cyc_queue_cfg queue = { .kind = CYC_KIND_BATCH,
                                 .repeatable = true,
                                 .tasks = 4,
                                 .size = { 1000, 1024, 0 },
                                 .run_s = 60 };
  struct cyc_core_job job = { .tasks = 4 };
  struct cyc_decision decisions[16];
  uint64_t now_us = 1000000;

  if (!cyc_core_setup (&core, &(struct cyc_core_desc){ 0 }, &found))
    return 1;
  cyc_name_set (&worker.name, CYC_STR ("worker-1"));
  cyc_name_set (&worker.rack, CYC_STR ("rack-1"));
  cyc_name_set (&team.name, CYC_STR ("orders"));
  cyc_name_set (&queue.name, CYC_STR ("stock-tally"));
  queue.team = team.name;
  job.queue = queue.name;
  cyc_id128_random (&job.id);
  cyc_core_worker_upsert (&core, &worker, now_us);
  cyc_core_team_upsert (&core, &team);
  cyc_core_queue_upsert (&core, &queue);
  cyc_core_job_add (&core, &job, now_us);
  cyc_core_allow_starts (&core, true);
  uint32_t count = cyc_core_tick (&core, now_us, decisions, 16);
  for (uint32_t i = 0; i < count; i++)
    if (decisions[i].kind == CYC_DECISION_START)
      printf ("start task %u on %s\n", decisions[i].task_index,
              decisions[i].worker_name.data);
  cyc_core_shutdown (&core);
  return 0;
}
