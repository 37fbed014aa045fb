/**
 * @file
 * A small cell in one process and one event loop: the fakes of the log, the VM
 * list and the workers, and any number of schedulers with short leases.
 *
 * @code
 * tst_sched_setup (&cell, 4);
 * tst_sched_publish (&cell, "fleet", TST_SCHED_FLEET);
 * sc = tst_sched_start (&cell, "entry-1", "north-a");
 * assert_true (tst_sched_run_until (&cell, owns, sc, 8000));
 * @endcode
 */
#ifndef TST_CELL_H
#define TST_CELL_H

#include "fk_log.h"
#include "fk_vms.h"
#include "fk_workers.h"
#include "scheduler.h"

#define TST_SCHED_MAX_SCHEDULERS 6
#define TST_SCHED_FLEET                                                       \
  "{\"regions\":[{\"name\":\"north\",\"domains\":["                           \
  "{\"name\":\"north-a\",\"weight\":1,\"entry_seats\":3},"                    \
  "{\"name\":\"north-b\",\"weight\":1,\"entry_seats\":3}]}],"                 \
  "\"largest_worker\":{\"millicores\":64000,\"memory_mib\":131072,"           \
  "\"accelerators\":8},\"shards_per_domain\":1}"

struct tst_sched_env
{
  struct ev_loop *loop;
  struct fk_log log;
  struct fk_vms vms;
  struct fk_workers workers;
  struct hc_client hc;
  struct lc_http client;
  struct sc_scheduler *schedulers[TST_SCHED_MAX_SCHEDULERS];
  struct set_peer peers[TST_SCHED_MAX_SCHEDULERS];
  uint32_t scheduler_count;
};

/** What the workers' journal shows. */
struct tst_sched_summary
{
  uint32_t starts;
  uint32_t overlaps; /**< a task ran in two places at once */
  uint32_t overruns; /**< a worker was asked for more than it has */
  uint32_t completed;
  uint32_t replicas_stopped; /**< services ended by an owner */
  uint64_t peak_millicores;  /**< most that ran at once */
};

/** @p workers in domain north-a, named w-0, w-1, ..., 4,000 millicores each.
 */
void tst_sched_setup (struct tst_sched_env *env, uint32_t workers);
void tst_sched_shutdown (struct tst_sched_env *env);
/** Adds a worker of any domain and shows the new VM list. */
void tst_sched_add_worker (struct tst_sched_env *env, const char *name,
                           const char *domain);
void tst_sched_update_vm_list (struct tst_sched_env *env);
struct fk_worker *tst_sched_find_worker (struct tst_sched_env *env,
                                         const char *name);
/** Appends a record and waits for the answer. */
void tst_sched_append (struct tst_sched_env *env, const char *stream,
                       struct cyc_str record);
void tst_sched_publish (struct tst_sched_env *env, const char *item,
                        const char *body);
/** Team with a limit; queue with tasks of 1,000 millicores. */
void tst_sched_publish_team (struct tst_sched_env *env, const char *team,
                             uint64_t limit);
void tst_sched_publish_queue (struct tst_sched_env *env, const char *queue,
                              const char *team, const char *kind,
                              uint32_t tasks, uint32_t run_s, bool repeatable);
struct cyc_id128 tst_sched_submit (struct tst_sched_env *env,
                                   const char *queue, const char *team,
                                   uint32_t tasks);
/** Starts a scheduler that knows the others of its domain as peers. */
struct sc_scheduler *tst_sched_start (struct tst_sched_env *env,
                                      const char *vm, const char *domain);
/** As a crash: no handover, no goodbye. */
void tst_sched_kill (struct tst_sched_env *env, struct sc_scheduler *sc);
/** Runs the loop until @p test is true or the time is over. */
bool tst_sched_run_until (struct tst_sched_env *env, bool (*test) (void *user),
                          void *user, uint32_t limit_ms);
void tst_sched_run (struct tst_sched_env *env, uint32_t ms);
uint16_t tst_sched_free_port (void);
bool tst_sched_starts_allowed (void *sc);
void tst_sched_summary (const struct tst_sched_env *env,
                        struct tst_sched_summary *out);

#endif
