#include "tail.h"

#include "http_client.h"
#include "log_event.h"

#include <stdio.h>
#include <string.h>

/** Time allowed until the answer to a read begins, in addition to the wait of
 * its long poll. A connection that went silent can hide changes for this long.
 */
#define ANSWER_TIMEOUT_MS 900
/** Time allowed for an answer that has begun and goes on arriving: records can
 * be large and links narrow. */
#define ANSWER_MAX_MS 20000
/** The log's clock may end the wait of a long poll this much earlier. */
#define WAIT_SLACK_MS 50
#define RETRY_FIRST_MS 50
/** Longest answers to a read. A read that fails asks for less the next time:
 * an answer that does not become complete is lost as a whole. After one that
 * arrives quickly the next asks for more. */
#define READ_MAX_KIB 512
#define READ_MIN_KIB 16
#define RETRY_MAX_MS 400
#define US_PER_MS 1000

static void start_read (struct tail *tail);

static void
schedule_read (struct tail *tail, uint32_t ms)
{
  ev_timer_stop (tail->desc.loop, &tail->timer);
  ev_timer_set (&tail->timer, ms / 1000.0, 0.0);
  ev_timer_start (tail->desc.loop, &tail->timer);
}

static void
on_timer (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  start_read (timer->data);
}

static void
retry_read_later (struct tail *tail)
{
  uint32_t wait_ms = RETRY_FIRST_MS << MIN (tail->failures, 8U);

  if (tail->failures == 1)
    ev_log (EV_LOG_UNREACHABLE,
            "stream=%d next=%" PRIu64 " fresh_age_ms=%" PRIu64,
            (int)tail->desc.stream, tail->next,
            tail->fresh_us ? (hc_now_us () - tail->fresh_us) / 1000 : 0);
  tail->failures++;
  schedule_read (tail, MIN (wait_ms, RETRY_MAX_MS));
}

/* Counts an answer that did not become complete. */
static void
note_lost (struct tail *tail, size_t bytes)
{
  if (bytes == 0)
    return;
  tail->bytes_lost += bytes;
  ev_log (EV_READ_CUT,
          "stream=%d next=%" PRIu64 " bytes=%zu ms=%" PRIu64 " try=%u",
          (int)tail->desc.stream, tail->next, bytes,
          (hc_now_us () - tail->sent_us) / 1000, tail->failures + 1);
}

static void
note_complete (struct tail *tail, size_t bytes)
{
  tail->bytes += bytes;
  tail->read_bytes = bytes;
  tail->read_us = hc_now_us () - tail->sent_us;
  tail->read_tries = tail->failures + 1;
}

static void
reset_failures (struct tail *tail)
{
  if (tail->failures > 1)
    ev_log (EV_LOG_REACHABLE, "stream=%d failures=%u next=%" PRIu64,
            (int)tail->desc.stream, tail->failures, tail->next);
  tail->failures = 0;
}

/* Returns up to which time the answer to a read shows the stream. */
static uint64_t
shown_until_us (const struct tail *tail, const struct pt_read_result *result,
                uint64_t sent_us, uint32_t wait_ms)
{
  uint64_t wait_end_us = sent_us
                         + (uint64_t)MAX (wait_ms, WAIT_SLACK_MS) * US_PER_MS
                         - (uint64_t)WAIT_SLACK_MS * US_PER_MS;

  if (result->fresh_us != 0)
    return result->fresh_us;
  return tail->desc.counts_wait && result->count == 0
                 && hc_now_us () >= wait_end_us
             ? wait_end_us
             : sent_us;
}

/* Takes the result of a read that was sent at @p sent_us. Of its records those
   are delivered that were not before: two reads may be in flight. */
static void
take_records (struct tail *tail, const struct pt_read_result *result,
              uint64_t sent_us, uint32_t wait_ms)
{
  uint64_t first = result->next - result->count;
  uint64_t next = tail->next;

  tail->prev_fresh_us = tail->fresh_us;
  if (result->fresh_us != 0 || result->end <= result->next)
    tail->fresh_us = MAX (tail->fresh_us,
                          shown_until_us (tail, result, sent_us, wait_ms));
  for (uint32_t i = 0; i < result->count && tail->running; i++)
    {
      const struct pt_record *record = &result->records[i];
      uint64_t offset = result->own_offsets ? record->offset : first + i;

      if (offset >= next)
        tail->desc.record (tail->desc.user, record, offset);
    }
  if (!tail->running)
    return;
  tail->next = MAX (tail->next, result->next);
  tail->end = MAX (tail->end, result->end);
  if (tail->desc.caught_up != NULL)
    tail->desc.caught_up (tail->desc.user);
}

static void
on_newest (void *user, const struct pt_newest_result *result)
{
  struct tail *tail = user;

  tail->in_flight = false;
  if (!tail->running)
    return;
  if (result->outcome != PT_OK)
    {
      note_lost (tail, result->bytes);
      retry_read_later (tail);
      return;
    }
  note_complete (tail, result->bytes);
  reset_failures (tail);
  tail->load_round_trip_us
      = (uint32_t)((tail->begun_us != 0 ? tail->begun_us : hc_now_us ())
                   - tail->sent_us);
  tail->prev_fresh_us = 0;
  if (tail->after_key.len == 0)
    tail->load_end = result->end;
  for (uint32_t i = 0; i < result->count && tail->running; i++)
    tail->desc.record (tail->desc.user, &result->records[i],
                       result->records[i].offset);
  if (!tail->running)
    return;
  if (result->more && result->count > 0)
    {
      pt_key_set (&tail->after_key, result->records[result->count - 1].key);
      start_read (tail);
      return;
    }
  tail->after_key.len = 0;
  tail->loaded = true;
  tail->next = tail->load_end;
  tail->fresh_us
      = result->fresh_us != 0 ? result->fresh_us : tail->load_sent_us;
  if (tail->desc.caught_up != NULL)
    tail->desc.caught_up (tail->desc.user);
  if (tail->running)
    start_read (tail);
}

/* Returns whether the link would carry twice the answer in a short time. */
static bool
is_quick (const struct tail *tail)
{
  uint64_t begun_us = tail->begun_us != 0 ? tail->begun_us : tail->sent_us;

  return 2 * (hc_now_us () - begun_us)
         <= (uint64_t)ANSWER_TIMEOUT_MS * US_PER_MS;
}

static void
on_progress (void *user)
{
  struct tail *tail = user;

  tail->progress_us = hc_now_us ();
  if (tail->begun_us == 0)
    tail->begun_us = tail->progress_us;
}

/* Returns until when an answer that begins by @p begin_us may take. */
static uint64_t
complete_by_us (uint64_t begin_us)
{
  return begin_us + (uint64_t)ANSWER_MAX_MS * US_PER_MS;
}

static void
on_read (void *user, const struct pt_read_result *result)
{
  struct tail *tail = user;
  bool behind = result->end > result->next;

  tail->in_flight = false;
  if (!tail->running)
    return;
  if (result->outcome == PT_TRIMMED)
    {
      ev_log (EV_LOG_TRIMMED, "stream=%d wanted=%" PRIu64 " oldest=%" PRIu64,
              (int)tail->desc.stream, tail->next, result->first);
      tail->loaded = !tail->desc.keyed;
      tail->next = result->first;
      schedule_read (tail, 1);
      return;
    }
  if (result->outcome != PT_OK)
    {
      note_lost (tail, result->bytes);
      tail->read_max_kib = MAX (tail->read_max_kib / 2, READ_MIN_KIB);
      retry_read_later (tail);
      return;
    }
  if (is_quick (tail))
    tail->read_max_kib = MIN (tail->read_max_kib * 2, READ_MAX_KIB);
  note_complete (tail, result->bytes);
  reset_failures (tail);
  /* The time of the view is that at which the read was sent, which may be long
     ago: the next one does not wait. */
  tail->confirms = tail->desc.counts_wait && result->count > 0;
  take_records (tail, result, tail->sent_us, tail->wait_ms);
  if (tail->running && !tail->in_flight)
    schedule_read (tail, behind ? 1 : tail->desc.gap_ms);
}

static void
start_load (struct tail *tail)
{
  uint64_t deadline_us
      = tail->sent_us + (uint64_t)ANSWER_TIMEOUT_MS * 2 * US_PER_MS;

  if (tail->after_key.len == 0)
    {
      tail->load_sent_us = tail->sent_us;
      if (tail->desc.reload != NULL)
        tail->desc.reload (tail->desc.user);
    }
  tail->in_flight = tail->desc.log->vtable->newest (
      tail->desc.log, &(struct pt_newest){
                          .stream = tail->desc.stream,
                          .part = tail->desc.part,
                          .after_key = pt_key_str (&tail->after_key),
                          .deadline_us = deadline_us,
                          .complete_by_us = complete_by_us (deadline_us),
                          .progress = on_progress,
                          .done = on_newest,
                          .user = tail,
                      });
}

static void
start_read (struct tail *tail)
{
  uint64_t deadline_us;

  if (!tail->running || tail->in_flight)
    return;
  tail->sent_us = hc_now_us ();
  tail->begun_us = 0;
  tail->wait_ms = tail->confirms ? 0 : tail->desc.wait_ms;
  deadline_us = tail->sent_us
                + (uint64_t)(tail->wait_ms + ANSWER_TIMEOUT_MS) * US_PER_MS;
  if (!tail->loaded)
    start_load (tail);
  else
    tail->in_flight = tail->desc.log->vtable->read (
        tail->desc.log, &(struct pt_read){
                            .stream = tail->desc.stream,
                            .part = tail->desc.part,
                            .from = tail->next,
                            .wait_ms = tail->wait_ms,
                            .max_kib = tail->read_max_kib,
                            .deadline_us = deadline_us,
                            .complete_by_us = complete_by_us (deadline_us),
                            .progress = on_progress,
                            .done = on_read,
                            .user = tail,
                        });
  if (!tail->in_flight)
    retry_read_later (tail);
}

static void
on_refreshed (void *user, const struct pt_read_result *result)
{
  struct tail *tail = user;

  tail->refreshing = false;
  /* A load may have begun meanwhile: it delivers everything. */
  if (tail->running && tail->loaded && result->outcome == PT_OK)
    take_records (tail, result, tail->refresh_sent_us, 0);
}

void
tail_refresh (struct tail *tail)
{
  /* The answer that is arriving already has what a second one would. */
  if (!tail->running || !tail->loaded || tail->refreshing
      || (tail->in_flight && tail->begun_us != 0))
    return;
  tail->refresh_sent_us = hc_now_us ();
  tail->refreshing = tail->desc.log->vtable->read (
      tail->desc.log,
      &(struct pt_read){
          .stream = tail->desc.stream,
          .part = tail->desc.part,
          .from = tail->next,
          .max_kib = tail->read_max_kib,
          .deadline_us
          = tail->refresh_sent_us + (uint64_t)ANSWER_TIMEOUT_MS * US_PER_MS,
          .done = on_refreshed,
          .user = tail,
      });
}

bool
tail_is_behind (const struct tail *tail)
{
  return tail->loaded
         && (tail->end > tail->next
             || (tail->in_flight && tail->begun_us != 0));
}

bool
tail_is_receiving (const struct tail *tail, uint64_t now_us)
{
  return tail->in_flight && tail->begun_us != 0
         && tail->progress_us + (uint64_t)HC_STALL_MS * US_PER_MS > now_us;
}

bool
tail_busy (const struct tail *tail)
{
  return tail->in_flight || tail->refreshing;
}

void
tail_setup (struct tail *tail, const struct tail_desc *desc)
{
  memset (tail, 0, sizeof *tail);
  tail->desc = *desc;
  tail->read_max_kib = READ_MAX_KIB;
  tail->loaded = !desc->keyed;
  ev_init (&tail->timer, on_timer);
  tail->timer.data = tail;
}

void
tail_start (struct tail *tail)
{
  if (tail->running)
    return;
  tail->running = true;
  tail->loaded = !tail->desc.keyed;
  tail->after_key.len = 0;
  tail->fresh_us = 0;
  tail->end = 0;
  start_read (tail);
}

void
tail_stop (struct tail *tail)
{
  tail->running = false;
  ev_timer_stop (tail->desc.loop, &tail->timer);
}
