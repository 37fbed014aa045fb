/**
 * @file
 * A small cell in one process and one event loop: the fakes of the log, the VM
 * list and the workers, and any number of schedulers with short leases.
 *
 * @code
 * domain_cell_setup (&cell, 4);
 * cell_publish (&cell, "fleet", CELL_FLEET);
 * sc = cell_scheduler (&cell, "entry-1", "north-a");
 * assert_true (cell_until (&cell, owns, sc, 8000));
 * @endcode
 */
#ifndef TST_CELL_H
#define TST_CELL_H

#include "fk_log.h"
#include "fk_vms.h"
#include "fk_workers.h"
#include "scheduler.h"

#define CELL_MAX_SCHEDULERS 6
#define CELL_FLEET                                                            \
  "{\"regions\":[{\"name\":\"north\",\"domains\":["                           \
  "{\"name\":\"north-a\",\"weight\":1,\"entry_seats\":3},"                    \
  "{\"name\":\"north-b\",\"weight\":1,\"entry_seats\":3}]}],"                 \
  "\"largest_worker\":{\"millicores\":64000,\"memory_mib\":131072,"           \
  "\"accelerators\":8},\"shards_per_domain\":1}"

struct cell
{
  struct ev_loop *loop;
  struct fk_log log;
  struct fk_vms vms;
  struct fk_workers workers;
  struct hc_client hc;
  struct lc_http client;
  struct sc_scheduler *schedulers[CELL_MAX_SCHEDULERS];
  struct set_peer peers[CELL_MAX_SCHEDULERS];
  uint32_t scheduler_count;
};

/** What the workers' journal shows. */
struct cell_facts
{
  uint32_t starts;
  uint32_t overlaps; /**< a task ran in two places at once */
  uint32_t overruns; /**< a worker was asked for more than it has */
  uint32_t done;
  uint32_t replicas_stopped; /**< services ended by an owner */
  uint64_t peak_millicores;  /**< most that ran at once */
};

/** @p workers in domain north-a, named w-0, w-1, ..., 4,000 millicores each.
 */
void domain_cell_setup (struct cell *cell, uint32_t workers);
void domain_cell_shutdown (struct cell *cell);
/** Adds a worker of any domain and shows the new VM list. */
void cell_add_worker (struct cell *cell, const char *name, const char *domain);
void cell_show_vms (struct cell *cell);
struct fk_worker *cell_worker (struct cell *cell, const char *name);
/** Appends a record and waits for the answer. */
void cell_append (struct cell *cell, const char *stream,
                  struct cyc_str record);
void cell_publish (struct cell *cell, const char *item, const char *body);
/** Team with a limit; queue with tasks of 1,000 millicores. */
void cell_team (struct cell *cell, const char *team, uint64_t limit);
void cell_queue (struct cell *cell, const char *queue, const char *team,
                 const char *kind, uint32_t tasks, uint32_t run_s,
                 bool repeatable);
struct cyc_id128 cell_submit (struct cell *cell, const char *queue,
                              const char *team, uint32_t tasks);
/** Starts a scheduler that knows the others of its domain as peers. */
struct sc_scheduler *cell_scheduler (struct cell *cell, const char *vm,
                                     const char *domain);
/** As a crash: no handover, no goodbye. */
void cell_kill (struct cell *cell, struct sc_scheduler *sc);
/** Runs the loop until @p test is true or the time is over. */
bool cell_until (struct cell *cell, bool (*test) (void *user), void *user,
                 uint32_t limit_ms);
void cell_run (struct cell *cell, uint32_t ms);
uint16_t cell_free_port (void);
bool cell_acting (void *sc);
void cell_facts (const struct cell *cell, struct cell_facts *out);

#endif
