/**
 * @file
 * Model of one failure domain for benchmarks: workers that run tasks, a
 * workload with arrivals, and a scheduler under test, all driven by one clock.
 *
 * The scheduler is reached through a vtable, so the decision core and the
 * baseline run the same workload from the same seed. Tasks take what they
 * truly need, which differs from their declared size; measurements reach the
 * scheduler late.
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
  enum cyc_kind kind;
  bool urgent;
  struct cyc_res declared;
  double true_cpu_ratio;    /**< need as a part of the declared size, mean */
  double true_memory_ratio; /**< the same */
  double run_s;             /**< mean run time */
  double declared_run_s;
  uint32_t tasks;    /**< per job; services: replicas */
  double load_ratio; /**< part of the capacity at 1x; services: unused */
};

struct bn_team
{
  const char *name;
  uint32_t share_permille;
};

struct bn_load
{
  const char *user;
  uint32_t workers;
  struct cyc_res worker;
  uint32_t team_count;
  struct bn_team teams[BN_MAX_TEAMS];
  uint32_t queue_count;
  struct bn_queue queues[BN_MAX_QUEUES];
};

extern const struct bn_load bn_kanapka;
extern const struct bn_load bn_kaarna;

/** Scheduler under test. */
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

struct bn_scheduler *bn_core_open (const struct bn_load *load);
struct bn_scheduler *bn_first_fit_open (const struct bn_load *load);

/** Samples of one figure. */
struct bn_samples
{
  double *values;
  size_t count;
  size_t room;
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
  struct bn_samples wait_s[BN_KINDS]; /**< first start; unstarted: so far */
  uint64_t unstarted[BN_KINDS];
  struct bn_samples packing;  /**< true use of the larger resource, permille */
  struct bn_samples distance; /**< percentage points, per team and minute */
  struct bn_samples tick_us;
  double worst_team_mean; /**< largest mean distance of one team */
  const char *worst_team;
  uint64_t starts;
  uint64_t stops;
  uint64_t done;
  uint64_t samples;         /**< worker samples */
  uint64_t over_memory;     /**< of them: memory above the capacity */
  uint64_t over_millicores; /**< of them: processors above the capacity */
};

/** Runs the workload at @p times its load; the scheduler is closed. */
void bn_run (const struct bn_load *load, double load_factor, uint64_t seed,
             struct bn_scheduler *scheduler, struct bn_result *out);
void bn_result_free (struct bn_result *result);

/** Prints the lines of the scale run. */
void bn_scale_run (void);

uint64_t bn_monotonic_ns (void);
/** Uniform in (0, 1). */
double bn_uniform (uint64_t *seed);
double bn_normal (uint64_t *seed);

/** Weighted max-min division of @p total; demands and result by team. */
void bn_fair_share (const struct bn_load *load, const double *demand,
                    double total, double *out);

#endif
