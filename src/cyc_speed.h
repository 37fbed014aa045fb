/**
 * @file
 * Speeds of workers, learned from how long their tasks take. A table of
 * queues and pure arithmetic: no clock, no workers of its own.
 *
 * The load that this answers: a fleet whose workers differ by a constant
 * factor that no entry tells, under tasks whose own durations differ by as
 * much. The logarithm of a duration is the queue's mean, what the tasks of one
 * step have in common, the worker's slowness, and noise. Tasks of one step run
 * beside each other on few workers, so each is compared with those of its step
 * that have ended before on other workers. The slowness is the worker's mean
 * deviation, shrunk towards none by the ratio of noise to the spread between
 * workers, so that a few tasks say little and many say much. Evidence fades,
 * as a worker that was disturbed recovers.
 *
 * While the workers are not known to differ by more than the noise explains,
 * every slowness is none: an even fleet is served as if nothing was learned.
 *
 * @code
 * spd_setup (&table);
 * spd_sample (&table, "batch", &step->speeds, &worker->speed, took_us,
 *             now_us);
 * spd_review (&table, speeds, count, now_us);
 * factor = spd_factor (&table, &worker->speed, now_us);
 * @endcode
 */
#ifndef CYC_SPEED_H
#define CYC_SPEED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Of one worker. Zero: nothing is known. */
struct spd_worker
{
  double sum;          /**< of deviations of logarithms, weighted */
  double weight;       /**< of the evidence, in tasks */
  uint64_t updated_us; /**< when they were last weighted */
};

/** Of the tasks of one step that have ended. Zero: none. */
struct spd_group
{
  GArray *rows; /**< one for each worker; NULL if there is none */
};

/** Of the tasks of one queue. */
struct spd_queue
{
  double mean; /**< of logarithms of microseconds */
  uint32_t ends;
};

struct spd_table
{
  GHashTable *queues;     /**< name to struct spd_queue */
  double noise;           /**< variance of deviations on one worker */
  double samples;         /**< number of them, up to a limit */
  double between;         /**< variance between workers, without the noise */
  double center;          /**< mean deviation of the workers */
  double shrink;          /**< share of a worker's deviation that evidence
                             supports, as a mean of the workers */
  uint32_t reviews_above; /**< comparisons in a row that show a difference */
  bool uneven;            /**< the workers are known to differ */
  bool even;              /**< they are known not to differ */
};

void spd_setup (struct spd_table *table);
void spd_shutdown (struct spd_table *table);
void spd_group_clear (struct spd_group *group);
/** A task of the queue has ended that the worker ran for @p took_us. */
void spd_sample (struct spd_table *table, const char *queue,
                 struct spd_group *group, struct spd_worker *worker,
                 uint64_t took_us, uint64_t now_us);
/** A task of the queue has ended that did not depend on one worker, and would
 * have taken @p took_us on a mean one. */
void spd_queue_sample (struct spd_table *table, const char *queue,
                       uint64_t took_us);
/** Compares the workers. Called about once a second. Returns whether they are
 * now known to differ. */
bool spd_review (struct spd_table *table, struct spd_worker *const *workers,
                 uint32_t count, uint64_t now_us);
/** Returns how many times longer a task takes on the worker than in the mean
 * of all; 1 while the fleet is not known to be uneven. */
double spd_factor (const struct spd_table *table,
                   const struct spd_worker *worker, uint64_t now_us);
/** Returns the factor up to which a worker counts as one of the faster ones;
 * infinite while the fleet is not known to be uneven. */
double spd_fast_limit (const struct spd_table *table);
/** Returns how many times longer a task takes on one of the slower workers; 1
 * while the fleet is not known to be uneven. */
double spd_slow_factor (const struct spd_table *table);
/** Returns the median duration of the queue's tasks on a mean worker; 0 if
 * unknown. */
uint64_t spd_queue_us (const struct spd_table *table, const char *queue);

/** Sets what an earlier table knew of the queue, unless this one knows it. */
void spd_queue_restore (struct spd_table *table, const char *queue,
                        const struct spd_queue *known);
/** Returns whether the worker's evidence can be one that was learned. */
bool spd_worker_valid (const struct spd_worker *worker);

#endif
