/**
 * @file
 * Fixture of the core's tests: a core with few rows, inputs in one line each,
 * and the decisions of the latest tick.
 */
#ifndef TST_CORE_H
#define TST_CORE_H

#include <cyclamendrum/core.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TST_MAX_DECISIONS 512
#define TST_SECOND_US UINT64_C (1000000)

struct tst_core
{
  struct cyc_core core;
  uint64_t now_us;
  uint32_t decision_count;
  struct cyc_decision decisions[TST_MAX_DECISIONS];
};

void tst_core_open (struct tst_core *t, struct cyc_core_desc desc);
void tst_core_close (struct tst_core *t);
/** Worker of 10,000 millicores and 10,000 MiB. */
void tst_core_add_worker (struct tst_core *t, const char *name,
                          const char *rack);
void tst_core_set_team (struct tst_core *t, const char *name, uint32_t share,
                        uint64_t balance);
/** Queue of tasks of @p size millicores and MiB with the given kind. */
void tst_core_set_queue (struct tst_core *t, const char *name,
                         const char *team, enum cyc_kind kind, uint32_t size);
/** The same with all fields. */
void tst_core_set_queue_cfg (struct tst_core *t, const char *name,
                             const char *team, struct cyc_queue_cfg cfg);
/** Adds a job whose id is @p number in its first bytes. */
enum cyc_core_status tst_core_add_job (struct tst_core *t, uint32_t number,
                                       const char *queue, uint32_t tasks);
struct cyc_id128 tst_core_job_id (uint32_t number);
/** Moves the clock by @p step_us and runs a tick. */
void tst_core_tick (struct tst_core *t, uint64_t step_us);
/** Decisions of the latest tick of one kind. */
uint32_t tst_core_count_decisions (const struct tst_core *t,
                                   enum cyc_decision_kind kind);
/** First decision of the kind, or NULL. */
const struct cyc_decision *
tst_core_first_decision (const struct tst_core *t,
                         enum cyc_decision_kind kind);
/** Reports @p event for every decision of the latest tick of that kind. */
void tst_core_report_each (struct tst_core *t, enum cyc_decision_kind kind,
                           enum cyc_task_event event);
void tst_core_report (struct tst_core *t, uint32_t number, uint32_t task,
                      enum cyc_task_event event);
struct cyc_core_totals tst_core_totals (const struct tst_core *t);

#endif
