#include "burn_window.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_QUEUES 2048
#define US_PER_MINUTE UINT64_C (60000000)

bool
bw_setup (struct bw_set *bw, const struct bw_desc *desc,
          struct cyc_findings *findings)
{
  memset (bw, 0, sizeof *bw);
  bw->max = desc->max_queues ? desc->max_queues : DEFAULT_MAX_QUEUES;
  bw->rows = calloc (bw->max, sizeof *bw->rows);
  if (bw->rows == NULL)
    cyc_findings_add (findings, CYC_STR ("burn_window"), "out of memory");
  return bw->rows != NULL;
}

void
bw_shutdown (struct bw_set *bw)
{
  free (bw->rows);
  memset (bw, 0, sizeof *bw);
}

/* Returns the position of the queue, or the one at which to insert it. */
static uint32_t
position_of (const struct bw_set *bw, struct cyc_str queue, bool *found)
{
  uint32_t low = 0;
  uint32_t high = bw->count;

  *found = false;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      int order = cyc_str_cmp (cyc_name_str (&bw->rows[middle].queue), queue);

      if (order == 0)
        {
          *found = true;
          return middle;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct bw_row *
row_for (struct bw_set *bw, struct cyc_str queue)
{
  bool found;
  uint32_t position = position_of (bw, queue, &found);
  struct bw_row *row = &bw->rows[position];
  struct cyc_name name;

  if (found)
    return row;
  if (bw->count == bw->max || !cyc_name_set (&name, queue))
    return NULL;
  memmove (row + 1, row, (bw->count - position) * sizeof *row);
  memset (row, 0, sizeof *row);
  row->queue = name;
  bw->count++;
  return row;
}

static void
add_event (struct bw_sums *sums, const struct bw_event *event)
{
  sums->requests++;
  sums->in_time += event->in_time;
  sums->definite += event->definite;
}

void
bw_record (struct bw_set *bw, struct cyc_str queue,
           const struct bw_event *event, uint64_t now_us)
{
  struct bw_row *row = row_for (bw, queue);
  uint64_t minute = now_us / US_PER_MINUTE;
  uint32_t bucket = (uint32_t)(minute % BW_BUCKETS);

  if (row == NULL)
    {
      bw->dropped++;
      return;
    }
  if (row->minutes[bucket] != minute)
    {
      row->minutes[bucket] = minute;
      row->buckets[bucket] = (struct bw_sums){ 0 };
    }
  add_event (&row->buckets[bucket], event);
  add_event (&row->total, event);
}

const struct bw_row *
bw_find (const struct bw_set *bw, struct cyc_str queue)
{
  bool found;
  uint32_t position = position_of (bw, queue, &found);

  return found ? &bw->rows[position] : NULL;
}

void
bw_window (const struct bw_row *row, uint32_t minutes, uint64_t now_us,
           struct bw_sums *out)
{
  uint64_t minute = now_us / US_PER_MINUTE;

  assert (minutes > 0 && minutes <= BW_BUCKETS);
  *out = (struct bw_sums){ 0 };
  for (uint32_t i = 0; i < BW_BUCKETS; i++)
    {
      /* An empty bucket has minute 0 and adds nothing. */
      if (row->minutes[i] > minute || minute - row->minutes[i] >= minutes)
        continue;
      out->requests += row->buckets[i].requests;
      out->in_time += row->buckets[i].in_time;
      out->definite += row->buckets[i].definite;
    }
}
