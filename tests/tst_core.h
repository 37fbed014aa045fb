/**
 * @file
 * Fixture for the tests of the decision core: a core with small tables, a
 * clock, the decisions of the latest tick, and one function for each input.
 * Inputs that the core does not accept fail the test, unless the function
 * returns the status.
 *
 * @code
 * tst_core_open (&t, (struct cyc_core_desc){ 0 });
 * tst_core_add_worker (&t, "w0", "r0");
 * tst_core_set_team (&t, "team", 500, 100000);
 * tst_core_set_queue (&t, "batch", "team", CYC_KIND_BATCH, 2000);
 * tst_core_add_job (&t, 1, "batch", 2);
 * tst_core_tick (&t, 1000);
 * tst_core_report_each (&t, CYC_DECISION_START, CYC_TASK_EVENT_STARTED);
 * tst_core_close (&t);
 * @endcode
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
  uint32_t decision_count; /**< decisions of the latest tick */
  struct cyc_decision decisions[TST_MAX_DECISIONS];
};

/** Sets up a core with @p desc, except for its table sizes, and a clock at
 * 1,000 s. */
void tst_core_open (struct tst_core *t, struct cyc_core_desc desc);
void tst_core_close (struct tst_core *t);
/** Adds a worker of 10,000 millicores and 10,000 MiB. */
void tst_core_add_worker (struct tst_core *t, const char *name,
                          const char *rack);
/** Adds or changes a team; @p share in permille, @p balance in millicores. */
void tst_core_set_team (struct tst_core *t, const char *name, uint32_t share,
                        uint64_t balance);
/** Adds or changes a queue whose tasks have @p size millicores and @p size
 * MiB, a declared run time of 10 s and are repeatable. */
void tst_core_set_queue (struct tst_core *t, const char *name,
                         const char *team, enum cyc_queue_kind kind,
                         uint32_t size);
/** Adds or changes a queue; sets the names in @p cfg first. */
void tst_core_set_queue_cfg (struct tst_core *t, const char *name,
                             const char *team, struct cyc_queue_cfg cfg);
/** Adds a job with the id tst_core_job_id (@p number). */
enum cyc_core_status tst_core_add_job (struct tst_core *t, uint32_t number,
                                       const char *queue, uint32_t tasks);
/** Returns the id that has @p number in its first bytes. */
struct cyc_id128 tst_core_job_id (uint32_t number);
/** Advances the clock by @p step_us and runs a tick. */
void tst_core_tick (struct tst_core *t, uint64_t step_us);
/** Returns the number of decisions of one kind in the latest tick. */
uint32_t tst_core_count_decisions (const struct tst_core *t,
                                   enum cyc_decision_kind kind);
/** Returns the first decision of the kind in the latest tick, or NULL. */
const struct cyc_decision *
tst_core_first_decision (const struct tst_core *t,
                         enum cyc_decision_kind kind);
/** Reports @p event for every decision of that kind in the latest tick. */
void tst_core_report_each (struct tst_core *t, enum cyc_decision_kind kind,
                           enum cyc_task_event event);
/** Reports @p event for one task of job @p number. */
void tst_core_report (struct tst_core *t, uint32_t number, uint32_t task,
                      enum cyc_task_event event);
struct cyc_core_totals tst_core_totals (const struct tst_core *t);

#endif
