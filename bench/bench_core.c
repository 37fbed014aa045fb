/**
 * @file
 * Benchmark of the decision core. Runs the workloads of both users at 1, 2 and
 * 4 times a load that fits, with the core and with first-fit in arrival order,
 * and then the scale run. Prints the figures beside their targets; a missed
 * target does not change the exit code.
 */
#include "bn_model.h"
#include "cyc_core_internal.h"

#include <stdio.h>

#define SEED 20261204

static const char *const kind_names[BN_KINDS]
    = { "urgent", "batch", "gang", "service" };

/* Prints a row: the figure, its target or "-", and the two results. */
static void
print_figure (const char *figure, const char *target, double first_fit,
              double core)
{
  printf ("  %-34s %14s %12.2f %12.2f\n", figure, target, first_fit, core);
}

static void
print_waits (struct bn_result *first_fit, struct bn_result *core)
{
  for (int k = 0; k < BN_KINDS; k++)
    {
      static const double quantiles[] = { 0.5, 0.99, 1 };
      static const char *const names[] = { "p50", "p99", "max" };

      for (int i = 0; i < 3; i++)
        {
          char figure[40];

          snprintf (figure, sizeof figure, "wait %s %s, s", kind_names[k],
                    names[i]);
          print_figure (
              figure, k == BN_URGENT && i == 1 ? "< 8.9" : "-",
              bn_samples_quantile (&first_fit->wait_s[k], quantiles[i]),
              bn_samples_quantile (&core->wait_s[k], quantiles[i]));
        }
      if (k == BN_SERVICE)
        continue;
      print_figure ("  of them not started", "-",
                    (double)first_fit->unstarted[k],
                    (double)core->unstarted[k]);
    }
}

static double
permille (uint64_t part, uint64_t whole)
{
  return whole > 0 ? 1000.0 * (double)part / (double)whole : 0;
}

static void
print_case (const struct bn_load *load, double load_factor)
{
  static struct bn_result first_fit;
  static struct bn_result core;

  bn_run (load, load_factor, SEED, bn_first_fit_open (load), &first_fit);
  bn_run (load, load_factor, SEED, bn_core_open (load), &core);
  printf ("\n%s at %.0fx: %u workers, 600 s, seed %d\n", load->user,
          load_factor, load->workers, SEED);
  printf ("  %-34s %14s %12s %12s\n", "figure", "target", "first-fit",
          "this core");
  print_waits (&first_fit, &core);
  print_figure ("packing mean, permille", ">= first-fit",
                bn_samples_mean (&first_fit.packing),
                bn_samples_mean (&core.packing));
  print_figure ("memory above capacity, permille", "0",
                permille (first_fit.over_memory, first_fit.samples),
                permille (core.over_memory, core.samples));
  print_figure ("processors above capacity, permille", "0",
                permille (first_fit.over_millicores, first_fit.samples),
                permille (core.over_millicores, core.samples));
  print_figure ("tasks done", "-", (double)first_fit.done, (double)core.done);
  print_figure ("stops and checkpoints", "-", (double)first_fit.stops,
                (double)core.stops);
  print_figure ("share distance mean, points", "-",
                bn_samples_mean (&first_fit.distance),
                bn_samples_mean (&core.distance));
  print_figure ("share distance worst, points", "< 5",
                bn_samples_quantile (&first_fit.distance, 1),
                bn_samples_quantile (&core.distance, 1));
  print_figure ("worst team's mean, points", "-", first_fit.worst_team_mean,
                core.worst_team_mean);
  printf ("  %-34s %14s %12s %12s\n", "worst team", "-",
          first_fit.worst_team ? first_fit.worst_team : "-",
          core.worst_team ? core.worst_team : "-");
  print_figure ("tick with decisions p50, us", "-",
                bn_samples_quantile (&first_fit.tick_us, 0.5),
                bn_samples_quantile (&core.tick_us, 0.5));
  print_figure ("tick with decisions p99, us", "< 5000",
                bn_samples_quantile (&first_fit.tick_us, 0.99),
                bn_samples_quantile (&core.tick_us, 0.99));
  bn_result_free (&first_fit);
  bn_result_free (&core);
}

static void
print_row_sizes (void)
{
  printf ("\nbytes a row: worker %zu, rack %zu, team %zu, queue %zu, job %zu, "
          "task %zu; an index costs 24 to 48 bytes a row\n",
          sizeof (struct core_worker), sizeof (struct core_rack),
          sizeof (struct core_team), sizeof (struct core_queue),
          sizeof (struct core_job), sizeof (struct core_task));
}

/* With twice the urgent work, the urgent tasks of one team alone exceed the
 * team's share, so that short waits of urgent tasks and a small distance from
 * the shares exclude each other. */
static void
print_double_urgent (const struct bn_load *load)
{
  struct bn_load heavy = *load;

  for (uint32_t q = 0; q < heavy.queue_count; q++)
    if (heavy.queues[q].urgent)
      heavy.queues[q].load_ratio *= 2;
  printf ("\nWith twice the urgent work:");
  print_case (&heavy, 4);
}

int
main (void)
{
  static const double load_factors[] = { 1, 2, 4 };

  for (int i = 0; i < 3; i++)
    print_case (&bn_kanapka, load_factors[i]);
  for (int i = 0; i < 3; i++)
    print_case (&bn_kaarna, load_factors[i]);
  print_double_urgent (&bn_kaarna);
  bn_scale_run ();
  print_row_sizes ();
  return 0;
}
