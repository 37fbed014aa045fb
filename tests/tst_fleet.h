/**
 * @file
 * A decision core with workers and a log in memory, driven in steps of
 * simulated time. The workers follow the published rules for runs, leases,
 * fences and ends; every start is checked against the promises (room, one run
 * of a task at a time, order of steps, whole gangs, quotas, attempts).
 *
 * @code
 * fleet_setup (&fleet, 4, 8000);
 * fleet_submit (&fleet, 1, &(struct fleet_job){ .tasks = { 3 }, ... });
 * fleet_run (&fleet, 5000);
 * assert_int_equal (fleet_job_state (&fleet, 1), CELL_JOB_COMPLETE);
 * @endcode
 */
#ifndef TST_FLEET_H
#define TST_FLEET_H

#include <cyclamendrum/cell.h>
#include <glib.h>

#define FLEET_WORKERS_MAX 16
#define FLEET_RUNS_MAX 256
#define FLEET_LEASE_MS 4000
#define FLEET_HEARTBEAT_MS 1500
/** Jobs a second that the team "heavy" may send; the others have no bound. */
#define FLEET_HEAVY_JOBS_PER_S 10
/** Appends that may be under way at a time. */
#define FLEET_BATCHES_MAX 3

struct fleet_run
{
  char task[64];
  char checkpoint[32];
  uint32_t number;
  uint64_t end_ms;
  uint64_t start_ms;
  uint64_t work_ms;
  bool fails;
  bool gang;
  bool gang_complete; /**< works: not a gang, or all members are present */
};

struct fleet_end
{
  uint64_t number;
  char task[64];
  char checkpoint[32];
  uint32_t run;
  enum cell_end_kind kind;
  bool lapsed; /**< the worker's lease lapsed before it was acknowledged: the
                  task may be started again */
};

struct fleet_worker
{
  char id[16];
  uint32_t millicores;
  bool up;
  bool partitioned;  /**< runs on, but no call gets through */
  bool answers_lost; /**< takes orders, but its answers are lost */
  bool listed;
  bool draining;
  uint32_t leaves_in_ms; /**< when it drains */
  uint32_t slowdown; /**< what starts there takes so many times longer; 0: 1 */
  bool failing;      /**< every task it starts fails */
  uint64_t born_ms;
  uint64_t clock_offset_ms;
  uint64_t fence;
  uint64_t lease_deadline_ms; /**< on its clock */
  uint64_t next_end_number;
  uint64_t next_hold_ms;
  struct fleet_run runs[FLEET_RUNS_MAX];
  uint32_t run_count;
  struct fleet_end ends[FLEET_RUNS_MAX * 4];
  uint32_t end_count;
  GHashTable
      *closed_runs; /**< task to the highest run stopped or ended there */
};

/** What a test submits; zero members take a default. */
struct fleet_job
{
  uint32_t tasks[4];   /**< by step; 0 ends the list */
  uint32_t millicores; /**< [1,000] */
  uint32_t work_ms;    /**< [500] */
  uint32_t max_per_worker;
  bool gang;
  bool sequential; /**< each step depends on the one before */
  bool checkpointing;
  bool always_fails; /**< every run fails */
  const char *team;  /**< ["blue"] */
  const char *queue; /**< ["batch"] */
  const char *label; /**< required */
};

/** A question that the advisor has not answered yet. */
struct fleet_ask
{
  struct cell_ask ask;
  uint64_t due_ms;
};

/** A batch of records under way to the log. */
struct fleet_batch
{
  uint64_t number; /**< 0: none */
  uint64_t due_ms;
  GPtrArray *records;
};

/** A progress record that the log holds. */
struct fleet_record
{
  uint64_t revision;
  GBytes *data;
};

struct fleet
{
  struct cell_core *core;
  struct cell_config *config;
  struct fleet_worker workers[FLEET_WORKERS_MAX];
  uint32_t worker_count;
  uint64_t now_ms;
  uint64_t epoch;
  bool log_down; /**< batches are not taken */
  struct fleet_batch batches[FLEET_BATCHES_MAX];
  /** Appends take this long more; the n-th that is under way n times. */
  uint32_t batch_skew_ms;
  GHashTable *progress; /**< id to struct fleet_record: what the log holds */
  GHashTable *jobs;     /**< id to GBytes: accepted jobs */
  GHashTable *unstored_jobs; /**< id to GBytes: jobs that are not stored yet */
  GHashTable *acknowledged_done; /**< names of tasks whose done end was taken
                                    note of */
  GHashTable *done_tasks;        /**< names of tasks that ended done */
  GHashTable *failures;          /**< names to number of failed ends */
  GHashTable *submitted_jobs;    /**< id to struct fleet_job */
  bool advice_down;
  uint32_t advice_ms;          /**< time until the advisor answers */
  GArray *pending_asks;        /**< struct fleet_ask: questions under way */
  GHashTable *ask_counts;      /**< step to number of questions about it */
  uint32_t deny_every_nth;     /**< every n-th worker is denied; 0: none */
  uint32_t lose_start_answers; /**< of the next starts */
  uint32_t delay_starts_ms;    /**< orders reach the worker later */
  GPtrArray *orders_in_flight; /**< orders under way */
  uint32_t starts;
  uint32_t resumed; /**< starts from a checkpoint */
  uint32_t stops;
  uint32_t violations; /**< promises broken */
  char first_violation[160];
};

void fleet_setup (struct fleet *fleet, uint32_t workers, uint32_t millicores);
void fleet_teardown (struct fleet *fleet);
void fleet_submit (struct fleet *fleet, uint64_t id,
                   const struct fleet_job *job);
/** Hands in a job that the log does not hold yet. */
void fleet_submit_unstored (struct fleet *fleet, uint64_t id,
                            const struct fleet_job *job);
bool fleet_stored (const struct fleet *fleet, uint64_t id);
/** The log took the job, or refused it. */
void fleet_finish_submit (struct fleet *fleet, uint64_t id, bool stored);
void fleet_cancel (struct fleet *fleet, uint64_t id);
/** Runs for @p ms of simulated time. */
void fleet_run (struct fleet *fleet, uint64_t ms);
/** A new leader: the core is built anew from what the log holds. */
void fleet_takeover (struct fleet *fleet);
void fleet_crash (struct fleet *fleet, uint32_t worker);
/** The worker says that it stays for @p leaves_in_ms and takes nothing new; 0:
 * that it stays after all. */
void fleet_drain (struct fleet *fleet, uint32_t worker, uint32_t leaves_in_ms);
/** A worker that drained ends and removes its entry. */
void fleet_leave (struct fleet *fleet, uint32_t worker);
void fleet_restart (struct fleet *fleet, uint32_t worker);
enum cell_job_state fleet_job_state (const struct fleet *fleet, uint64_t id);
/** Questions that the advisor was asked about a step, "ID.K.STEP". */
uint32_t fleet_ask_count (const struct fleet *fleet, const char *step);
/** Runs on all workers now. */
uint32_t fleet_running (const struct fleet *fleet);

#endif
