#include "control_snapshot.h"
#include "log_event.h"

#include <cyclamendrum/record.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define US_PER_MS UINT64_C (1000)
#define CHUNK_TIMEOUT_US (10000 * US_PER_MS)
/* Each writer waits for a time derived from its VM's name, so that usually
   only one of them writes. */
#define WRITE_DELAY_STEPS 16
#define WRITE_DELAY_STEP_US (250 * US_PER_MS)
/* Without this interval a log that retains less than one snapshot would get
   snapshots without a pause. */
#define MIN_SNAPSHOT_INTERVAL_US (10000 * US_PER_MS)

void
csn_setup (struct csn_writer *writer, const struct csn_desc *desc)
{
  memset (writer, 0, sizeof *writer);
  writer->desc = *desc;
}

static void
drop_encoded (struct csn_writer *writer)
{
  free ((char *)writer->encoded.data);
  writer->encoded = (struct cyc_str){ 0 };
}

void
csn_shutdown (struct csn_writer *writer)
{
  drop_encoded (writer);
}

bool
csn_needed (uint64_t upto_offset, uint64_t oldest, uint64_t next,
            uint32_t snapshot_records)
{
  uint64_t behind = next - upto_offset;

  if (next == 0)
    return false;
  if (oldest > 0 && upto_offset + 1 < oldest)
    return true;
  if (oldest > 0 && behind > (next - oldest) / 2)
    return true;
  return behind > snapshot_records;
}

static void
end_snapshot (struct csn_writer *writer)
{
  drop_encoded (writer);
  writer->writing = false;
  writer->due_us = 0;
  writer->last_end_us = writer->now_us;
}

static void append_chunk (struct csn_writer *writer);

static void
on_chunk (void *user, enum fo_outcome outcome, uint64_t offset)
{
  struct csn_writer *writer = user;

  (void)offset;
  if (outcome != FO_CONFIRMED)
    {
      end_snapshot (writer);
      return;
    }
  writer->index++;
  if (writer->index < writer->count)
    {
      append_chunk (writer);
      return;
    }
  ev_log (EV_SNAPSHOT_WRITTEN, "upto=%" PRIu64 " bytes=%zu chunks=%u",
          writer->upto_offset, writer->encoded.len, writer->count);
  if (writer->desc.met != NULL)
    met_add (writer->desc.met, MET_SNAPSHOTS_WRITTEN, 1);
  end_snapshot (writer);
}

static void
append_chunk (struct csn_writer *writer)
{
  size_t from = (size_t)writer->index * CYC_SNAPSHOT_CHUNK_BYTES;
  struct cyc_str chunk = { .data = writer->encoded.data + from,
                           .len = writer->encoded.len - from };
  struct fo_append append = { .deadline_us = writer->now_us + CHUNK_TIMEOUT_US,
                              .done = on_chunk,
                              .user = writer };
  bool started = false;

  if (chunk.len > CYC_SNAPSHOT_CHUNK_BYTES)
    chunk.len = CYC_SNAPSHOT_CHUNK_BYTES;
  cyc_id128_random (&append.record_id);
  if (cyc_rec_snapshot_chunk (
          &append.record_id, cyc_name_str (&writer->desc.vm),
          writer->upto_offset, writer->index, writer->count, &writer->digest,
          chunk, &append.record))
    {
      started = fo_append (writer->desc.follow, &append);
      free ((char *)append.record.data);
    }
  if (!started)
    end_snapshot (writer);
}

static void
start_snapshot (struct csn_writer *writer, const struct cyc_ledger *led)
{
  if (!cyc_led_encode (led, &writer->encoded))
    {
      end_snapshot (writer);
      return;
    }
  cyc_digest_of (writer->encoded, &writer->digest);
  writer->upto_offset = cyc_led_next_offset (led) - 1;
  writer->index = 0;
  writer->count
      = (uint32_t)((writer->encoded.len + CYC_SNAPSHOT_CHUNK_BYTES - 1)
                   / CYC_SNAPSHOT_CHUNK_BYTES);
  writer->writing = true;
  append_chunk (writer);
}

void
csn_tick (struct csn_writer *writer, const struct cyc_ledger *led,
          uint64_t now_us)
{
  uint64_t upto_offset = cyc_led_snapshot_upto_offset (led);
  uint64_t oldest = fo_oldest (writer->desc.follow);
  uint64_t write_delay_us;

  writer->now_us = now_us;
  if (writer->writing)
    return;
  if (!csn_needed (upto_offset, oldest, cyc_led_next_offset (led),
                   writer->desc.snapshot_records))
    {
      writer->due_us = 0;
      return;
    }
  if (writer->last_end_us > 0
      && now_us < writer->last_end_us + MIN_SNAPSHOT_INTERVAL_US)
    return;
  if (writer->due_us == 0)
    {
      write_delay_us = XXH64 (writer->desc.vm.data, writer->desc.vm.len,
                              cyc_led_next_offset (led))
                       % WRITE_DELAY_STEPS * WRITE_DELAY_STEP_US;
      /* Without a usable snapshot in the log the state would be lost when the
         last process ends, so writers do not wait. */
      writer->due_us = oldest > 0 && upto_offset + 1 < oldest
                           ? now_us
                           : now_us + write_delay_us;
    }
  if (now_us >= writer->due_us)
    start_snapshot (writer, led);
}
