#include "cyc_speed.h"

#include <math.h>
#include <string.h>

/** Weight of the queue's mean beside the workers on which tasks of the step
 * have ended, as one of these, and of a deviation without any. */
#define QUEUE_PRIOR 0.5
#define FIRST_WEIGHT 0.3
/** Evidence of one worker fades to a half in this time. */
#define HALF_LIFE_US 20e6
/** Tasks of one worker that count at most; a change shows in as many. */
#define WEIGHT_MAX 12.0
/** Largest deviation of one task: seldom ones take many times as long. */
#define DEVIATION_MAX 1.5
/** Tasks after which a queue's mean is known, and the least weight of one. */
#define QUEUE_ENDS_MIN 20
#define QUEUE_WEIGHT 0.01
#define NOISE_WEIGHT 0.002
#define SAMPLES_MAX 500.0
/** Evidence of a worker that is compared with others, how many of them, and
 * deviations from which the noise is known. */
#define COMPARED_WEIGHT 1.0
#define COMPARED_MIN 10
#define NOISE_SAMPLES_MIN 30
/** Evidence of a worker from whose mean the noise of a further task is taken.
 */
#define NOISE_EVIDENCE 0.25
/** The workers differ if their logarithms have this standard deviation, by so
 * many standard errors, until it falls below the second one. */
#define UNEVEN_BEGIN 0.18
#define UNEVEN_ERRORS 3.0
#define UNEVEN_END 0.13
/** Comparisons in a row that must show it. */
#define UNEVEN_REVIEWS 2
/** A worker counts as fast up to this part of that deviation. */
#define FAST_DEVIATIONS 0.5

/* Tasks of one step that have ended on one worker. */
struct spd_share
{
  const struct spd_worker *worker;
  double sum; /* of logarithms, without the worker's slowness */
  double count;
};

void
spd_setup (struct spd_table *table)
{
  memset (table, 0, sizeof *table);
  table->queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
spd_shutdown (struct spd_table *table)
{
  g_hash_table_destroy (table->queues);
}

void
spd_group_clear (struct spd_group *group)
{
  if (group->rows != NULL)
    g_array_free (group->rows, TRUE);
  group->rows = NULL;
}

/* Returns the worker's share of the group. */
static struct spd_share *
group_share (struct spd_group *group, const struct spd_worker *worker)
{
  struct spd_share fresh = { .worker = worker };

  if (group->rows == NULL)
    group->rows = g_array_new (FALSE, FALSE, sizeof (struct spd_share));
  for (guint i = 0; i < group->rows->len; i++)
    {
      struct spd_share *share
          = &g_array_index (group->rows, struct spd_share, i);

      if (share->worker == worker)
        return share;
    }
  g_array_append_val (group->rows, fresh);
  return &g_array_index (group->rows, struct spd_share, group->rows->len - 1);
}

/* Returns the sum of the means of all shares but @p own, and their number. */
static struct spd_share
other_shares (const struct spd_group *group, const struct spd_share *own)
{
  struct spd_share sum = { 0 };

  for (guint i = 0; i < group->rows->len; i++)
    {
      const struct spd_share *share
          = &g_array_index (group->rows, struct spd_share, i);

      if (share == own || share->count == 0)
        continue;
      sum.sum += share->sum / share->count;
      sum.count += 1.0;
    }
  return sum;
}

static double
fading (const struct spd_worker *worker, uint64_t now_us)
{
  return now_us > worker->updated_us
             ? exp2 (-(double)(now_us - worker->updated_us) / HALF_LIFE_US)
             : 1.0;
}

/* Returns the evidence that counts as much as not knowing the worker. */
static double
prior_weight (const struct spd_table *table)
{
  return table->between > 0
             ? CLAMP (table->noise / table->between, 0.5, WEIGHT_MAX)
             : WEIGHT_MAX;
}

/* Returns the worker's slowness as a logarithm. */
static double
slowness (const struct spd_table *table, const struct spd_worker *worker,
          uint64_t now_us)
{
  double fade = fading (worker, now_us);

  /* What much evidence says fades too: it was of another time. */
  return sqrt (fade) * (worker->sum - table->center * worker->weight) * fade
         / (worker->weight * fade + prior_weight (table));
}

/* Returns the row of the queue, which begins with the value. */
static struct spd_queue *
queue_row (struct spd_table *table, const char *queue, double value)
{
  struct spd_queue *row = g_hash_table_lookup (table->queues, queue);

  if (row != NULL)
    return row;
  row = g_new0 (struct spd_queue, 1);
  row->mean = value;
  g_hash_table_insert (table->queues, g_strdup (queue), row);
  return row;
}

void
spd_queue_sample (struct spd_table *table, const char *queue, uint64_t took_us)
{
  double value = log ((double)MAX (took_us, 1));
  struct spd_queue *row = queue_row (table, queue, value);

  row->ends++;
  row->mean += CLAMP (value - row->mean, -DEVIATION_MAX, DEVIATION_MAX)
               * MAX (QUEUE_WEIGHT, 1.0 / row->ends);
}

/* Learns the noise from how far a task deviates from the worker's earlier
   ones. Only the first of a step: further ones have its error in common. */
static void
learn_noise (struct spd_table *table, const struct spd_worker *worker,
             double deviation, double weight)
{
  double error = deviation - worker->sum / worker->weight;
  double value
      = error * error * weight * worker->weight / (weight + worker->weight);

  table->samples = MIN (table->samples + 1.0, SAMPLES_MAX);
  table->noise
      += (value - table->noise) * MAX (NOISE_WEIGHT, 1.0 / table->samples);
}

void
spd_sample (struct spd_table *table, const char *queue,
            struct spd_group *group, struct spd_worker *worker,
            uint64_t took_us, uint64_t now_us)
{
  double value = log ((double)MAX (took_us, 1));
  struct spd_queue *row = queue_row (table, queue, value);
  struct spd_share *own = group_share (group, worker);
  struct spd_share others = other_shares (group, own);
  double usual
      = (row->mean * QUEUE_PRIOR + others.sum) / (QUEUE_PRIOR + others.count);
  double weight = (others.count + FIRST_WEIGHT) / (others.count + 1.0);
  double fade = fading (worker, now_us);
  double known = slowness (table, worker, now_us);
  double deviation = CLAMP (value - usual, -DEVIATION_MAX, DEVIATION_MAX);

  /* Tasks of a step on one worker have an error of the comparison in common.
   */
  weight /= 1.0 + own->count;
  row->ends++;
  row->mean += CLAMP (value - known - row->mean, -DEVIATION_MAX, DEVIATION_MAX)
               * MAX (QUEUE_WEIGHT, 1.0 / row->ends);
  own->sum += value - known;
  own->count += 1.0;
  if (row->ends < QUEUE_ENDS_MIN)
    return;
  worker->weight *= fade;
  worker->sum *= fade;
  if (own->count == 1.0 && worker->weight >= NOISE_EVIDENCE)
    learn_noise (table, worker, deviation, weight);
  if (worker->weight > WEIGHT_MAX - weight)
    {
      worker->sum *= (WEIGHT_MAX - weight) / worker->weight;
      worker->weight = WEIGHT_MAX - weight;
    }
  worker->sum += deviation * weight;
  worker->weight += weight;
  worker->updated_us = now_us;
}

bool
spd_review (struct spd_table *table, struct spd_worker *const *workers,
            uint32_t count, uint64_t now_us)
{
  double sum = 0;
  double squares = 0;
  double noise = 0;
  double shrink = 0;
  uint32_t compared = 0;
  double variance;
  double error;

  for (uint32_t i = 0; i < count; i++)
    {
      double weight = workers[i]->weight * fading (workers[i], now_us);
      double mean;

      if (weight < COMPARED_WEIGHT)
        continue;
      shrink += weight / (weight + prior_weight (table));
      mean = workers[i]->sum / workers[i]->weight;
      sum += mean;
      squares += mean * mean;
      noise += table->noise / workers[i]->weight;
      compared++;
    }
  if (compared < COMPARED_MIN || table->samples < NOISE_SAMPLES_MIN)
    return table->uneven;
  variance = squares / compared - sum / compared * (sum / compared);
  error = variance * sqrt (2.0 / compared);
  variance -= noise / compared;
  table->center = sum / compared;
  table->shrink = shrink / compared;
  table->between = MAX (variance, 0.0);
  table->reviews_above
      = variance - UNEVEN_ERRORS * error > UNEVEN_BEGIN * UNEVEN_BEGIN
            ? table->reviews_above + 1
            : 0;
  table->uneven = table->uneven ? variance > UNEVEN_END * UNEVEN_END
                                : table->reviews_above >= UNEVEN_REVIEWS;
  table->even
      = !table->uneven
        && variance + UNEVEN_ERRORS * error < UNEVEN_BEGIN * UNEVEN_BEGIN;
  return table->uneven;
}

double
spd_factor (const struct spd_table *table, const struct spd_worker *worker,
            uint64_t now_us)
{
  return table->uneven ? exp (slowness (table, worker, now_us)) : 1.0;
}

double
spd_fast_limit (const struct spd_table *table)
{
  return table->uneven
             ? exp (FAST_DEVIATIONS * sqrt (table->between) * table->shrink)
             : INFINITY;
}

double
spd_slow_factor (const struct spd_table *table)
{
  return table->uneven ? exp (sqrt (table->between)) : 1.0;
}

uint64_t
spd_queue_us (const struct spd_table *table, const char *queue)
{
  const struct spd_queue *row = g_hash_table_lookup (table->queues, queue);

  return row != NULL && row->ends >= QUEUE_ENDS_MIN ? (uint64_t)exp (row->mean)
                                                    : 0;
}

void
spd_queue_restore (struct spd_table *table, const char *queue,
                   const struct spd_queue *known)
{
  if (known->ends > 0 && isfinite (known->mean)
      && !g_hash_table_contains (table->queues, queue))
    *queue_row (table, queue, known->mean) = *known;
}

bool
spd_worker_valid (const struct spd_worker *worker)
{
  return isfinite (worker->sum) && worker->weight > 0
         && worker->weight <= WEIGHT_MAX * (1.0 + 1e-6)
         && fabs (worker->sum)
                <= worker->weight * DEVIATION_MAX * (1.0 + 1e-6);
}
