/**
 * @file
 * Service-level windows of a process: per queue, how many requests ended, how
 * many of them in time and how many with a definite outcome.
 *
 * One-minute buckets over the last hour, and totals since the process start.
 * The counts are lost when the process ends; `incarnation` and `start_ms` of
 * its metrics distinguish a restarted process from one without traffic.
 *
 * @code
 * bw_setup (&bw, &(struct bw_desc){ 0 }, &found);
 * bw_record (&bw, queue, &(struct bw_event){ .in_time = true,
 *                                            .definite = true }, now_us);
 * bw_window (&bw, row, BW_SHORT_MINUTES, now_us, &sums);
 * @endcode
 */
#ifndef BURN_WINDOW_H
#define BURN_WINDOW_H

#include <cyclamendrum/base.h>

#define BW_BUCKETS 60
#define BW_SHORT_MINUTES 5
#define BW_LONG_MINUTES 60

/** How one request of a queue ended. */
struct bw_event
{
  bool in_time;  /**< answered within the queue's objective */
  bool definite; /**< outcome `answer` or `not-run`, not `unknown` */
};

struct bw_sums
{
  uint64_t requests;
  uint64_t in_time;
  uint64_t definite;
};

struct bw_row
{
  struct cyc_name queue;
  struct bw_sums total;
  uint64_t minutes[BW_BUCKETS]; /**< minute that each bucket holds */
  struct bw_sums buckets[BW_BUCKETS];
};

struct bw_desc
{
  uint32_t max_queues; /**< 0: 2,048; requests of further queues are counted
                          in `dropped` */
};

struct bw_set
{
  struct bw_row *rows; /**< sorted by name */
  uint32_t count;
  uint32_t max;
  uint64_t dropped;
};

bool bw_setup (struct bw_set *bw, const struct bw_desc *desc,
               struct cyc_findings *findings);
void bw_shutdown (struct bw_set *bw);
void bw_record (struct bw_set *bw, struct cyc_str queue,
                const struct bw_event *event, uint64_t now_us);
/** Returns the row of a queue, or NULL if nothing was recorded for it. */
const struct bw_row *bw_find (const struct bw_set *bw, struct cyc_str queue);
/** Sums up the last @p minutes (1 to BW_BUCKETS), including the current
 * one. */
void bw_window (const struct bw_row *row, uint32_t minutes, uint64_t now_us,
                struct bw_sums *out);

#endif
