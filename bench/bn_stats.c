/**
 * @file
 * Samples, random numbers and weighted max-min fair shares.
 */
#include "bn_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

void
bn_samples_add (struct bn_samples *samples, double value)
{
  if (samples->count == samples->capacity)
    {
      size_t capacity = samples->capacity > 0 ? samples->capacity * 2 : 1024;
      double *values = realloc (samples->values, capacity * sizeof *values);

      if (values == NULL)
        abort ();
      samples->values = values;
      samples->capacity = capacity;
    }
  samples->values[samples->count++] = value;
  samples->sorted = false;
}

static int
compare_values (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

double
bn_samples_quantile (struct bn_samples *samples, double quantile)
{
  size_t at;

  if (samples->count == 0)
    return 0;
  if (!samples->sorted)
    qsort (samples->values, samples->count, sizeof *samples->values,
           compare_values);
  samples->sorted = true;
  at = (size_t)ceil (quantile * (double)samples->count);
  at = at > 0 ? at - 1 : 0;
  return samples->values[at < samples->count ? at : samples->count - 1];
}

double
bn_samples_mean (const struct bn_samples *samples)
{
  double sum = 0;

  for (size_t i = 0; i < samples->count; i++)
    sum += samples->values[i];
  return samples->count > 0 ? sum / (double)samples->count : 0;
}

void
bn_samples_free (struct bn_samples *samples)
{
  free (samples->values);
  memset (samples, 0, sizeof *samples);
}

void
bn_result_free (struct bn_result *result)
{
  for (int k = 0; k < BN_KINDS; k++)
    bn_samples_free (&result->wait_s[k]);
  bn_samples_free (&result->packing);
  bn_samples_free (&result->distance);
  bn_samples_free (&result->tick_us);
}

uint64_t
bn_monotonic_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000000000U + (uint64_t)now.tv_nsec;
}

double
bn_uniform (uint64_t *seed)
{
  *seed = *seed * UINT64_C (6364136223846793005) + 1442695040888963407U;
  return ((double)(*seed >> 33) + 0.5) / 2147483648.0;
}

double
bn_normal (uint64_t *seed)
{
  double radius = sqrt (-2 * log (bn_uniform (seed)));

  return radius * cos (2 * 3.14159265358979 * bn_uniform (seed));
}

/* Raises all teams in proportion to their shares until the demand of one is
 * met, and divides the rest among the others in the same way. */
void
bn_fair_share (const struct bn_load *load, const double *demand, double total,
               double *out)
{
  bool full[BN_MAX_TEAMS] = { false };

  memset (out, 0, load->team_count * sizeof *out);
  for (uint32_t round = 0; round < load->team_count && total > 1e-12; round++)
    {
      double shares = 0;
      double level = INFINITY;

      for (uint32_t i = 0; i < load->team_count; i++)
        if (!full[i])
          shares += load->teams[i].share_permille;
      if (shares <= 0)
        return;
      level = total / shares;
      for (uint32_t i = 0; i < load->team_count; i++)
        if (!full[i]
            && (demand[i] - out[i]) / load->teams[i].share_permille < level)
          level = (demand[i] - out[i]) / load->teams[i].share_permille;
      for (uint32_t i = 0; i < load->team_count; i++)
        {
          if (full[i])
            continue;
          out[i] += level * load->teams[i].share_permille;
          total -= level * load->teams[i].share_permille;
          full[i] = demand[i] - out[i] < 1e-9;
        }
    }
}
