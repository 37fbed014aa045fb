/**
 * @file
 * Harness of the scheduler tests: fakes of the log, the VM list and the
 * workers and up to TST_SCHED_MAX_SCHEDULERS schedulers in one process and one
 * event loop. Leases are short, so that takeovers take less than a few
 * seconds.
 *
 * Order of calls: set up, publish a fleet, teams and queues, start schedulers,
 * submit jobs and run the loop until a condition holds. Calls fail the running
 * test on errors.
 *
 * @code
 * tst_sched_setup (&env, 4);
 * tst_sched_publish (&env, "fleet", TST_SCHED_FLEET);
 * sc = tst_sched_start (&env, "entry-1", "north-a");
 * assert_true (
 *     tst_sched_run_until (&env, tst_sched_starts_allowed, sc, 8000));
 * tst_sched_shutdown (&env);
 * @endcode
 */
#ifndef TST_SCHED_H
#define TST_SCHED_H

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

/** Fakes, schedulers and the log client of one test. */
struct tst_sched_env
{
  struct ev_loop *loop;
  struct fk_log log;
  struct fk_vms vms;
  struct fk_workers workers;
  struct hc_client hc;
  struct lc_http client;
  /** In order of their start; NULL if killed. */
  struct sc_scheduler *schedulers[TST_SCHED_MAX_SCHEDULERS];
  struct set_peer peers[TST_SCHED_MAX_SCHEDULERS]; /**< same indexes */
  uint32_t scheduler_count;
};

/** Counts over the workers' journal. */
struct tst_sched_summary
{
  uint32_t starts;
  uint32_t overlaps; /**< starts of a task that was already running */
  uint32_t overruns; /**< starts or requests beyond a worker's capacity */
  uint32_t completed;
  uint32_t replicas_stopped; /**< service tasks that an owner stopped */
  uint64_t peak_millicores;  /**< highest sum of running tasks */
};

/** Starts the fakes with @p workers workers in domain north-a, named w-0, w-1,
 * ..., with 4,000 millicores each. */
void tst_sched_setup (struct tst_sched_env *env, uint32_t workers);
void tst_sched_shutdown (struct tst_sched_env *env);
/** Adds a worker to a domain and updates the VM list. */
void tst_sched_add_worker (struct tst_sched_env *env, const char *name,
                           const char *domain);
/** Makes the VM list fake list all current workers. */
void tst_sched_update_vm_list (struct tst_sched_env *env);
/** Returns the worker with the name, or NULL. */
struct fk_worker *tst_sched_find_worker (struct tst_sched_env *env,
                                         const char *name);
/** Appends a record and waits until the log has confirmed it. Frees the record
 * data. */
void tst_sched_append (struct tst_sched_env *env, const char *stream,
                       struct cyc_str record);
/** Appends a configuration item to the control stream. */
void tst_sched_publish (struct tst_sched_env *env, const char *item,
                        const char *body);
/** Publishes a team with a limit in millicores. */
void tst_sched_publish_team (struct tst_sched_env *env, const char *team,
                             uint64_t limit);
/** Publishes a queue of @p tasks tasks of 1,000 millicores each; without a run
 * time if @p run_s is 0. */
void tst_sched_publish_queue (struct tst_sched_env *env, const char *queue,
                              const char *team, const char *kind,
                              uint32_t tasks, uint32_t run_s, bool repeatable);
/** Submits a job to domain north-a through the jobs stream. Returns its id. */
struct cyc_id128 tst_sched_submit (struct tst_sched_env *env,
                                   const char *queue, const char *team,
                                   uint32_t tasks);
/** Starts a scheduler; it and all earlier schedulers become peers. */
struct sc_scheduler *tst_sched_start (struct tst_sched_env *env,
                                      const char *vm, const char *domain);
/** Ends and frees a scheduler as a crash does: the claim is not released. */
void tst_sched_kill (struct tst_sched_env *env, struct sc_scheduler *sc);
/** Runs the loop until @p test returns true or the time limit has passed.
 * Returns the last result of @p test. */
bool tst_sched_run_until (struct tst_sched_env *env, bool (*test) (void *user),
                          void *user, uint32_t timeout_ms);
/** Runs the loop for @p ms milliseconds. */
void tst_sched_run (struct tst_sched_env *env, uint32_t ms);
/** Returns a TCP port that is free on loopback. */
uint16_t tst_sched_free_port (void);
/** Condition for tst_sched_run_until: the scheduler @p sc is the owner and may
 * start tasks. */
bool tst_sched_starts_allowed (void *sc);
/** Evaluates the journal of all workers up to now. */
void tst_sched_summary (const struct tst_sched_env *env,
                        struct tst_sched_summary *out);

#endif
