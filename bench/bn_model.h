/**
 * @file
 * Discrete-event simulation of one failure domain for benchmarks: workers that
 * run tasks, a workload with random arrivals, and a scheduler under test.
 *
 * The scheduler is called through function pointers, so the decision core and
 * the baseline run the same workload from the same seed. The true usage of a
 * task differs from its declared size, and usage reports reach the scheduler
 * with a delay.
 *
 * @code
 * bn_run (&bn_kanapka, 2, seed, bn_core_open (&bn_kanapka), &result);
 * printf ("%f\n", bn_samples_quantile (&result.tick_us, 0.99));
 * bn_result_free (&result);
 * @endcode
 *
 * Errors: the process aborts if memory or a table is exhausted.
 */
#ifndef BN_MODEL_H
#define BN_MODEL_H

#include <cyclamendrum/core.h>

#define BN_SECOND_US UINT64_C (1000000)
#define BN_MAX_TEAMS 8
#define BN_MAX_QUEUES 16
#define BN_MAX_DECISIONS 2048

/** One queue of a workload. */
struct bn_queue
{
  const char *name;
  uint32_t team;
  enum cyc_queue_kind kind;
  bool urgent;
  struct cyc_resources declared;
  double true_cpu_ratio;    /**< mean true usage / declared size */
  double true_memory_ratio; /**< mean true usage / declared size */
  double run_s;             /**< mean run time */
  double declared_run_s;    /**< run time in the configuration */
  uint32_t tasks;           /**< tasks of a job; replicas of a service */
  /** True usage / capacity at load factor 1; unused for services. */
  double load_ratio;
};

struct bn_team
{
  const char *name;
  uint32_t share_permille;
};

/** Workload of one user and the workers that it runs on. */
struct bn_load
{
  const char *user; /**< name in the printed results */
  uint32_t workers;
  struct cyc_resources worker; /**< capacity of each worker */
  uint32_t team_count;
  struct bn_team teams[BN_MAX_TEAMS];
  uint32_t queue_count;
  struct bn_queue queues[BN_MAX_QUEUES];
};

extern const struct bn_load bn_kanapka;
extern const struct bn_load bn_kaarna;

/** Scheduler under test. Workers and queues are indexes into the workload; the
 * number of a job is in the first bytes of its id. */
struct bn_scheduler
{
  void (*add_job) (struct bn_scheduler *self, uint32_t queue,
                   const struct cyc_core_job *job, uint64_t now_us);
  void (*report) (struct bn_scheduler *self, const struct cyc_id128 *job,
                  uint32_t task, enum cyc_task_event event, uint64_t now_us);
  void (*heartbeat) (struct bn_scheduler *self, uint32_t worker,
                     const struct cyc_core_usage *usage, uint64_t now_us);
  void (*task_usage) (struct bn_scheduler *self, const struct cyc_id128 *job,
                      uint32_t task, const struct cyc_core_usage *usage,
                      uint64_t now_us);
  uint32_t (*tick) (struct bn_scheduler *self, uint64_t now_us,
                    struct cyc_decision *out, uint32_t max);
  void (*close) (struct bn_scheduler *self);
};

/** Returns a scheduler that calls the decision core. */
struct bn_scheduler *bn_core_open (const struct bn_load *load);
/** Returns a scheduler that places tasks first-fit in arrival order. */
struct bn_scheduler *bn_first_fit_open (const struct bn_load *load);

/** Samples of one figure. */
struct bn_samples
{
  double *values;
  size_t count;
  size_t capacity;
  bool sorted;
};
void bn_samples_add (struct bn_samples *samples, double value);
double bn_samples_quantile (struct bn_samples *samples, double quantile);
double bn_samples_mean (const struct bn_samples *samples);
void bn_samples_free (struct bn_samples *samples);

/** Kinds whose waiting times are reported. */
enum bn_kind
{
  BN_URGENT,
  BN_BATCH,
  BN_GANG,
  BN_SERVICE,
  BN_KINDS
};

struct bn_result
{
  /** Time until the first start, or until the end of the run if unstarted. */
  struct bn_samples wait_s[BN_KINDS];
  uint64_t unstarted[BN_KINDS]; /**< tasks that never started */
  /** True usage of the dominant resource, permille of the capacity. */
  struct bn_samples packing;
  /** Difference between used and fair share in percentage points, per team and
   * minute. */
  struct bn_samples distance;
  struct bn_samples tick_us; /**< real time of ticks that made decisions */
  double worst_team_mean;    /**< largest mean distance of one team */
  const char *worst_team;
  uint64_t starts;
  uint64_t stops;
  uint64_t done;
  uint64_t samples;         /**< samples of the true usage of a worker */
  uint64_t over_memory;     /**< samples with memory above the capacity */
  uint64_t over_millicores; /**< samples with processors above the capacity */
};

/** Runs the workload for 600 s of simulated time, with arrivals at @p
 * load_factor times their base rate, and closes the scheduler. */
void bn_run (const struct bn_load *load, double load_factor, uint64_t seed,
             struct bn_scheduler *scheduler, struct bn_result *out);
void bn_result_free (struct bn_result *result);

/** Measures and prints the cost of a decision at 100 to 9,800 workers. */
void bn_scale_run (void);

uint64_t bn_monotonic_ns (void);
/** Returns a random number, uniform in (0, 1). */
double bn_uniform (uint64_t *seed);
/** Returns a random number of the standard normal distribution. */
double bn_normal (uint64_t *seed);

/** Divides @p total among the teams by weighted max-min fairness. The arrays
 * @p demand and @p out are indexed by team. */
void bn_fair_share (const struct bn_load *load, const double *demand,
                    double total, double *out);

#endif
