/**
 * @file
<<<<<<< HEAD
 * A small installation of real processes on loopback: two failure domains in
 * two regions with two entry VMs each, and the fakes of the platform.
 *
 * @code
 * if (tst_cell_start (&cell, "case") && tst_cell_wait_serving (&cell, 10000))
 *   tst_cell_signal (&cell, vm, TST_GATEWAY, SIGKILL);
 * tst_cell_stop (&cell);
 * @endcode
 *
 * Settings are short, so that a takeover takes about a second.
=======
 * A small cell in one process and one event loop: the fakes of the log, the VM
 * list and the workers, and any number of schedulers with short leases.
 *
 * @code
 * cell_setup (&cell, 4);
 * cell_publish (&cell, "fleet", CELL_FLEET);
 * sc = cell_scheduler (&cell, "entry-1", "north-a");
 * assert_true (cell_until (&cell, owns, sc, 8000));
 * @endcode
>>>>>>> scheduler
 */
#ifndef TST_CELL_H
#define TST_CELL_H

<<<<<<< HEAD
#include "tst_http.h"

#include <stdio.h>
#include <sys/types.h>

#define TST_VMS 4
#define TST_DOMAINS 2
#define TST_WORKERS_PER_DOMAIN 4
#define TST_MAX_VIOLATIONS 64
#define TST_BETA_LIMIT_MILLICORES 4000

enum tst_role
{
  TST_GATEWAY,
  TST_SCHEDULER
};

struct tst_vm
{
  char name[32];
  char domain[32];
  char region[32];
  uint32_t seat;
  uint16_t ports[4]; /**< gateway http, peer; scheduler http, peer */
  pid_t pids[2];     /**< by enum tst_role; 0: not running */
  bool alive[2];     /**< expected to run and not paused */
};

struct tst_cell
{
  const char *name;
  char bin[512]; /**< directory of the programs */
  char dir[512]; /**< settings, logs; removed when nothing went wrong */
  struct tst_vm vms[TST_VMS];
  pid_t fakes[3];
  uint16_t log_port;
  uint16_t vms_port;
  uint16_t workers_port;
  char alpha_key[96]; /**< team of the services */
  char beta_key[96];  /**< team of batch and gang work */
  uint32_t violation_count;
  char violations[TST_MAX_VIOLATIONS][256];
};

bool tst_cell_start (struct tst_cell *cell, const char *name);
/** Ends all processes; keeps the directory when there are violations. */
void tst_cell_stop (struct tst_cell *cell);
void tst_violation (struct tst_cell *cell, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

bool tst_cell_run (struct tst_cell *cell, uint32_t vm, enum tst_role role);
void tst_cell_signal (struct tst_cell *cell, uint32_t vm, enum tst_role role,
                      int signal);
/** Waits until the process has ended; its exit status, -1 on timeout. */
int tst_cell_wait_exit (struct tst_cell *cell, uint32_t vm, enum tst_role role,
                        uint64_t timeout_ms);
/** Runs a subcommand; standard output up to @p room bytes. Exit status. */
int tst_cell_command (struct tst_cell *cell, const char *const *arguments,
                      char *out, size_t room);
/** Settings file of a VM. */
const char *tst_cell_settings (const struct tst_cell *cell, uint32_t vm,
                               char out[600]);

void tst_cell_fault (struct tst_cell *cell, uint16_t port, const char *json);
/** Shows the workers' present list in the VM list fake. */
void tst_cell_sync_vms (struct tst_cell *cell);
/** VM that owns the domain by the control stream, or -1. */
int tst_cell_owner (struct tst_cell *cell, uint32_t domain);
/** Waits until the domain has an owner other than @p not_vm. */
bool tst_cell_wait_owner (struct tst_cell *cell, uint32_t domain, int not_vm,
                          uint64_t timeout_ms);
/** Waits until every gateway that should run answers both services. */
bool tst_cell_wait_serving (struct tst_cell *cell, uint64_t timeout_ms);
/** Submits a job of the queue and waits for its end; the last state. */
void tst_cell_job (struct tst_cell *cell, const char *queue, char state[32],
                   uint64_t timeout_ms);
char *tst_cell_journal (struct tst_cell *cell);
=======
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
  uint64_t peak_millicores; /**< most that ran at once */
};

/** @p workers in domain north-a, named w-0, w-1, ..., 4,000 millicores each.
 */
void cell_setup (struct cell *cell, uint32_t workers);
void cell_shutdown (struct cell *cell);
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
bool cell_acting (void *sc);
void cell_facts (const struct cell *cell, struct cell_facts *out);
>>>>>>> scheduler

#endif
