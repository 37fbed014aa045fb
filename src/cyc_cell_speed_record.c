/* Records of learned speeds, from which the next leader goes on.

   The load that this answers: leaders are replaced while an uneven fleet is
   full, and each would place for 8 s as if all workers were equal.

   A record has the evidence of some workers and what is known of the fleet.
   There are records until the workers are known not to differ.
   They are written in turn, so that the bytes a second do not grow with the
   fleet, only their age. What is lost with one is learned again. */

#include "cyc_cell_internal.h"

#include <math.h>
#include <stdlib.h>

#define RECORD_INTERVAL_US 1000000
#define RECORD_WORKERS 128
#define RECORD_QUEUES 128
/** Evidence halves in 20 s, so an older record says little. */
#define RECORD_MAX_AGE_MS 60000

/* The parts of a record until it is packed. */
struct draft
{
  Cyc__CellSpeeds speeds;
  Cyc__CellSpeed workers[RECORD_WORKERS];
  Cyc__CellSpeed *worker_rows[RECORD_WORKERS];
  Cyc__CellSpeedQueue queues[RECORD_QUEUES];
  Cyc__CellSpeedQueue *queue_rows[RECORD_QUEUES];
};

static void
draft_workers (const struct cell_core *core, uint32_t first,
               struct draft *draft)
{
  uint32_t end = MIN (core->workers->len, first + RECORD_WORKERS);

  for (uint32_t row = first; row < end; row++)
    {
      struct cell_worker *worker = cell_worker_at (core, row);
      uint64_t age_us
          = cell_remaining (core->now_us, worker->speed.updated_us);
      Cyc__CellSpeed *out = &draft->workers[draft->speeds.n_workers];

      if (!worker->listed || worker->speed.weight <= 0)
        continue;
      cyc__cell_speed__init (out);
      out->worker = worker->id.data;
      out->worker_born_ms
          = worker->born_ms != 0 ? worker->born_ms : worker->speed_born_ms;
      out->sum = (float)worker->speed.sum;
      out->weight = (float)worker->speed.weight;
      out->updated_ms = cell_remaining (core->now_ms, age_us / 1000);
      draft->worker_rows[draft->speeds.n_workers++] = out;
    }
  draft->speeds.workers = draft->worker_rows;
}

static void
draft_queues (const struct cell_core *core, struct draft *draft)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, core->speeds.queues);
  while (draft->speeds.n_queues < RECORD_QUEUES
         && g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct spd_queue *queue = value;
      Cyc__CellSpeedQueue *out = &draft->queues[draft->speeds.n_queues];

      cyc__cell_speed_queue__init (out);
      out->queue = name;
      out->mean = (float)queue->mean;
      out->ends = queue->ends;
      draft->queue_rows[draft->speeds.n_queues++] = out;
    }
  draft->speeds.queues = draft->queue_rows;
}

bool
cell_speeds_next (struct cell_core *core, struct cell_speeds_record *out)
{
  struct draft *draft;

  if (!core->desc.learn_speeds || core->now_us < core->speeds_record_us
      || core->speeds.samples == 0
      || (core->speeds.even && !core->speeds_recorded))
    return false;
  if (core->speeds_record * RECORD_WORKERS >= core->workers->len)
    core->speeds_record = 0;
  draft = g_new0 (struct draft, 1);
  cyc__cell_speeds__init (&draft->speeds);
  draft->speeds.written_ms = core->now_ms;
  draft->speeds.uneven = core->speeds.uneven;
  draft->speeds.noise = (float)core->speeds.noise;
  draft->speeds.samples = (float)core->speeds.samples;
  draft->speeds.between = (float)core->speeds.between;
  draft->speeds.center = (float)core->speeds.center;
  draft->speeds.shrink = (float)core->speeds.shrink;
  draft_workers (core, core->speeds_record * RECORD_WORKERS, draft);
  draft_queues (core, draft);
  out->number = core->speeds_record;
  out->revision = ++core->revision;
  out->len = cyc__cell_speeds__get_packed_size (&draft->speeds);
  out->data = malloc (MAX (1, out->len));
  cyc__cell_speeds__pack (&draft->speeds, out->data);
  g_free (draft);
  core->speeds_record++;
  core->speeds_record_us = core->now_us + RECORD_INTERVAL_US;
  core->speeds_recorded = core->speeds.uneven;
  return true;
}

/* Restoring. */

static void
restore_fleet (struct cell_core *core, const Cyc__CellSpeeds *speeds)
{
  core->speeds_restored = true;
  core->speeds_recorded = speeds->uneven;
  if (!(speeds->noise >= 0 && speeds->samples >= 0 && speeds->between >= 0
        && isfinite (speeds->noise + speeds->samples + speeds->between
                     + speeds->center + speeds->shrink)))
    return;
  core->speeds.uneven = speeds->uneven;
  core->speeds.noise = speeds->noise;
  core->speeds.samples = speeds->samples;
  core->speeds.between = speeds->between;
  core->speeds.center = speeds->center;
  core->speeds.shrink = speeds->shrink;
}

static void
restore_worker (struct cell_core *core, const Cyc__CellSpeed *from,
                uint64_t now_ms)
{
  struct cell_worker *worker = cell_worker_at (
      core, cell_worker_row (core, cyc_str_of (from->worker)));
  struct spd_worker speed = { from->sum, from->weight, 0 };
  uint64_t age_us = cell_remaining (now_ms, from->updated_ms) * 1000;

  if (worker->speed.weight > 0 || !spd_worker_valid (&speed))
    return;
  speed.updated_us = cell_remaining (core->now_us, age_us);
  worker->speed = speed;
  worker->speed_born_ms = from->worker_born_ms;
  cell_speed_refresh (core, worker);
}

bool
cell_speeds_restore (struct cell_core *core, struct cyc_str record,
                     uint64_t now_us, uint64_t now_ms)
{
  Cyc__CellSpeeds *speeds = cyc__cell_speeds__unpack (
      NULL, record.len, (const uint8_t *)record.data);

  if (speeds == NULL)
    return false;
  core->now_us = now_us;
  if (core->desc.learn_speeds
      && cell_remaining (now_ms, speeds->written_ms) < RECORD_MAX_AGE_MS)
    {
      if (!core->speeds_restored)
        restore_fleet (core, speeds);
      for (size_t i = 0; i < speeds->n_queues; i++)
        spd_queue_restore (&core->speeds, speeds->queues[i]->queue,
                           &(struct spd_queue){ speeds->queues[i]->mean,
                                                speeds->queues[i]->ends });
      for (size_t i = 0; i < speeds->n_workers; i++)
        restore_worker (core, speeds->workers[i], now_ms);
    }
  cyc__cell_speeds__free_unpacked (speeds, NULL);
  return true;
}
