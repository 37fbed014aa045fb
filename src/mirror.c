/* Reads the stream through a mirror, or from the log if none answers. */

#include "mirror.h"

#include "http_client.h"
#include "log_event.h"
#include "mirror_internal.h"

#include <string.h>

/** Time allowed for an answer beyond its wait: it is one chunk at most. */
#define ANSWER_TIMEOUT_MS 700
/** A mirror that failed is not asked for this long. */
#define UNUSABLE_US 2000000
/** A mirror whose view is older, and that receives nothing, is cut off from
 * the log: its own reads take a long poll at most. */
#define VIEW_MAX_AGE_US 2000000
/** Longest value of a record. */
#define VALUE_MAX_BYTES ((uint64_t)64 * 1024 * 1024)
#define US_PER_MS 1000

/** A read through mirrors. */
struct mir_call
{
  struct mirror *mirror;
  bool load; /* made by `newest`, else by `read` */
  struct pt_read read;
  struct pt_newest newest;
  uint64_t sent_us;
  uint64_t complete_by_us;
  uint64_t from;        /* offset of the next record that is wanted */
  uint64_t complete_to; /* lowest end of a view that showed a record ahead */
  uint64_t complete_until_us; /* the time up to which that view was complete */
  struct cyc_ref peer;
  struct cyc_name source; /* VM that was asked */
  uint64_t ask;
  uint64_t asked_us;
  uint64_t deadline_us; /* of the answer to the question */
  GPtrArray *rows;      /* struct mir_row, complete */
  uint64_t part_offset; /* of the record that is arriving */
  GByteArray *part;     /* its first bytes; empty: none is arriving */
  size_t bytes;         /* that have arrived */
};

static struct mirror *
mirror_of (struct pt_log *log)
{
  return (struct mirror *)log;
}

static void
free_call (struct mir_call *call)
{
  g_ptr_array_free (call->rows, TRUE);
  g_byte_array_free (call->part, TRUE);
  g_free (call);
}

/* Notes by which way the stream is read. @p through: empty if from the log. */
static void
note_way (struct mirror *mirror, struct cyc_str through, const char *why)
{
  if (cyc_str_eq (cyc_name_str (&mirror->through), through))
    return;
  cyc_name_set (&mirror->through, through);
  if (through.len == 0)
    mirror->through = (struct cyc_name){ 0 };
  ev_log (EV_MIRROR_USED, "through=%s why=\"%s\" sources=%u",
          through.len > 0 ? mirror->through.data : "log", why,
          mirror->source_count);
}

static bool
is_linked (const struct mirror *mirror, const struct cyc_name *vm,
           struct cyc_ref *peer)
{
  struct pl_peer_view view;

  *peer = pl_find (mirror->desc.links, cyc_name_str (vm), SET_ROLE_ENTRY);
  return peer->generation != 0 && pl_view (mirror->desc.links, *peer, &view)
         && view.linked;
}

static bool
send_ask (struct mir_call *call, uint32_t wait_ms, uint64_t now_us)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__MirrorAsk ask = CYC__MIRROR_ASK__INIT;

  call->ask = call->mirror->next_ask++;
  call->asked_us = now_us;
  call->deadline_us
      = now_us + (uint64_t)(wait_ms + ANSWER_TIMEOUT_MS) * US_PER_MS;
  ask.ask = call->ask;
  ask.from = call->from;
  ask.load = call->load;
  ask.wait_ms = wait_ms;
  if (call->part->len > 0)
    {
      ask.record = call->part_offset;
      ask.at = call->part->len;
    }
  message.body_case = CYC__PEER__BODY_MIRROR_ASK;
  message.mirror_ask = &ask;
  return pl_send (call->mirror->desc.links, call->peer, &message);
}

/* Asks a VM. Returns false if it cannot be asked. */
static bool
ask_vm (struct mir_call *call, const struct cyc_name *vm, uint32_t wait_ms,
        uint64_t now_us)
{
  struct mirror *mirror = call->mirror;

  call->source = *vm;
  if (vm->len == 0 || !is_linked (mirror, vm, &call->peer)
      || !send_ask (call, wait_ms, now_us))
    return false;
  note_way (mirror, cyc_name_str (vm), "answers");
  return true;
}

/* Asks the first VM that can be asked. Returns false if there is none. */
static bool
ask_any (struct mir_call *call, uint32_t wait_ms, uint64_t now_us)
{
  struct mirror *mirror = call->mirror;

  for (uint32_t i = 0; i < mirror->source_count; i++)
    if (now_us >= mirror->sources[i].unusable_until_us
        && ask_vm (call, &mirror->sources[i].vm, wait_ms, now_us))
      return true;
  return now_us >= mirror->last_resort_unusable_until_us
         && ask_vm (call, &mirror->last_resort, wait_ms, now_us);
}

static bool
start_direct (struct mirror *mirror, const struct mir_call *call)
{
  struct pt_log *direct = mirror->desc.direct;

  note_way (mirror, (struct cyc_str){ 0 }, "no mirror answers");
  return call->load ? direct->vtable->newest (direct, &call->newest)
                    : direct->vtable->read (direct, &call->read);
}

static bool
start_call (struct mirror *mirror, const struct mir_call *request,
            uint64_t from, uint32_t wait_ms)
{
  uint64_t now_us = hc_now_us ();
  struct mir_call *call;

  if (mirror->call != NULL)
    return start_direct (mirror, request);
  call = g_memdup2 (request, sizeof *request);
  call->mirror = mirror;
  call->sent_us = now_us;
  call->from = from;
  call->complete_to = UINT64_MAX;
  call->complete_until_us = UINT64_MAX;
  call->rows = g_ptr_array_new_with_free_func (mir_row_free);
  call->part = g_byte_array_new ();
  if (ask_any (call, wait_ms, now_us))
    {
      mirror->call = call;
      mirror->reads++;
      return true;
    }
  free_call (call);
  return start_direct (mirror, request);
}

static bool
mirror_read (struct pt_log *log, const struct pt_read *read)
{
  return start_call (
      mirror_of (log),
      &(struct mir_call){ .read = *read,
                          .complete_by_us = read->complete_by_us },
      read->from, MIN (read->wait_ms, mirror_of (log)->desc.wait_ms));
}

static bool
mirror_newest (struct pt_log *log, const struct pt_newest *newest)
{
  struct mir_call request = { .load = true,
                              .newest = *newest,
                              .complete_by_us = newest->complete_by_us };

  /* The pages before this one came from the log. */
  if (newest->after_key.len > 0)
    return start_direct (mirror_of (log), &request);
  return start_call (mirror_of (log), &request, 0,
                     mirror_of (log)->desc.wait_ms);
}

static bool
mirror_append (struct pt_log *log, const struct pt_append *append)
{
  struct pt_log *direct = mirror_of (log)->desc.direct;

  return direct->vtable->append (direct, append);
}

static void
deliver (struct mir_call *call, enum pt_outcome outcome, uint64_t next,
         uint64_t end, uint64_t fresh_us)
{
  uint32_t count = outcome == PT_OK ? call->rows->len : 0;
  struct pt_record *records = g_new0 (struct pt_record, count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      const struct mir_row *row = call->rows->pdata[i];
      gsize key_len;
      gsize len;
      const char *key = g_bytes_get_data (row->key, &key_len);
      const char *value = g_bytes_get_data (row->value, &len);

      records[i] = (struct pt_record){ .key = { key, key_len },
                                       .value = { value, len },
                                       .offset = row->offset };
    }
  if (call->load)
    call->newest.done (call->newest.user,
                       &(struct pt_newest_result){ .outcome = outcome,
                                                   .records = records,
                                                   .count = count,
                                                   .end = next,
                                                   .fresh_us = fresh_us,
                                                   .bytes = call->bytes });
  else
    call->read.done (call->read.user, &(struct pt_read_result){
                                          .outcome = outcome,
                                          .first = call->read.from,
                                          .next = next,
                                          .end = end,
                                          .records = records,
                                          .count = count,
                                          .own_offsets = true,
                                          .fresh_us = fresh_us,
                                          .bytes = call->bytes,
                                      });
  g_free (records);
}

/* Ends the read. `done` may start the next one. */
static void
finish (struct mir_call *call, enum pt_outcome outcome, uint64_t next,
        uint64_t end, uint64_t fresh_us)
{
  call->mirror->call = NULL;
  deliver (call, outcome, next, end, fresh_us);
  free_call (call);
}

/* Continues the read with the next VM, or from the log. */
static void
fail_over (struct mir_call *call, const char *why)
{
  struct mirror *mirror = call->mirror;
  uint64_t now_us = hc_now_us ();
  uint64_t elapsed_us = now_us - call->sent_us;

  for (uint32_t i = 0; i < mirror->source_count; i++)
    if (cyc_name_eq (&mirror->sources[i].vm, &call->source))
      mirror->sources[i].unusable_until_us = now_us + UNUSABLE_US;
  if (cyc_name_eq (&mirror->last_resort, &call->source))
    mirror->last_resort_unusable_until_us = now_us + UNUSABLE_US;
  ev_log (EV_MIRROR_FAILED,
          "through=%s why=\"%s\" from=%" PRIu64 " bytes=%zu ms=%" PRIu64,
          call->source.data, why, call->from, call->bytes,
          elapsed_us / US_PER_MS);
  if (ask_any (call, 0, now_us))
    return;
  mirror->call = NULL;
  call->read.deadline_us += elapsed_us;
  call->read.complete_by_us += elapsed_us;
  call->newest.deadline_us += elapsed_us;
  call->newest.complete_by_us += elapsed_us;
  if (!start_direct (mirror, call))
    deliver (call, PT_REFUSED, 0, 0, 0);
  free_call (call);
}

static void
ask_again (struct mir_call *call, uint32_t wait_ms)
{
  if (!send_ask (call, wait_ms, hc_now_us ()))
    fail_over (call, "link is down");
}

static void
note_progress (const struct mir_call *call)
{
  if (call->load && call->newest.progress != NULL)
    call->newest.progress (call->newest.user);
  if (!call->load && call->read.progress != NULL)
    call->read.progress (call->read.user);
}

/* Returns the time up to which the mirror's view is complete. The question had
   been sent before it arrived there. */
static uint64_t
fresh_us_of (const struct mir_call *call, const Cyc__MirrorAnswer *answer)
{
  if (answer->fresh_us < 0
      && (uint64_t) - (answer->fresh_us + 1) + 1 >= call->asked_us)
    return 1;
  return call->asked_us + (uint64_t)answer->fresh_us;
}

/* Bounds what the read has shown by the view of an answer: a record beyond its
   end was seen ahead of others, in a page of a load. The mirror may read those
   before the last answer, and is not asked for them. */
static void
bound_view (struct mir_call *call, const Cyc__MirrorAnswer *answer)
{
  call->complete_to = MIN (call->complete_to, answer->end);
  call->complete_until_us
      = MIN (call->complete_until_us, fresh_us_of (call, answer));
}

/* Returns false if the chunk does not continue what has arrived. */
static bool
add_chunk (struct mir_call *call, const Cyc__MirrorAnswer *answer)
{
  struct mir_row *row;

  if (call->part->len > 0 && answer->offset != call->part_offset)
    g_byte_array_set_size (call->part, 0);
  if (answer->offset < call->from || answer->at != call->part->len
      || answer->length > VALUE_MAX_BYTES || answer->at > answer->length
      || answer->data.len > answer->length - answer->at
      || (answer->data.len == 0 && answer->length > 0))
    return false;
  if (answer->offset >= answer->end)
    bound_view (call, answer);
  call->part_offset = answer->offset;
  g_byte_array_append (call->part, answer->data.data, (guint)answer->data.len);
  call->bytes += answer->data.len;
  call->mirror->bytes_in += answer->data.len;
  if (call->part->len < answer->length)
    return true;
  row = mir_row_new (
      &(struct pt_record){
          .key = { (const char *)answer->key.data, answer->key.len },
          .value = { (const char *)call->part->data, call->part->len } },
      answer->offset);
  g_ptr_array_add (call->rows, row);
  g_byte_array_set_size (call->part, 0);
  call->from = answer->offset + 1;
  return true;
}

static void
on_end (struct mir_call *call, const Cyc__MirrorAnswer *answer)
{
  uint64_t now_us = hc_now_us ();
  uint64_t fresh_us = MIN (MIN (fresh_us_of (call, answer), now_us),
                           call->complete_until_us);
  uint64_t next = MIN (answer->end, call->complete_to);

  if (call->rows->len == 0 && fresh_us + VIEW_MAX_AGE_US < now_us
      && !answer->receiving)
    fail_over (call, "cut off from the log");
  else
    finish (call, PT_OK, next, next + (answer->receiving ? 1 : 0), fresh_us);
}

void
mir_on_answer (struct mirror *mirror, const Cyc__MirrorAnswer *answer)
{
  struct mir_call *call = mirror->call;

  if (call == NULL || answer->ask != call->ask)
    return;
  switch (answer->state)
    {
    case MIR_CHUNK:
      if (!add_chunk (call, answer))
        {
          fail_over (call, "chunk does not fit");
          return;
        }
      note_progress (call);
      ask_again (call, 0);
      return;
    case MIR_END:
      on_end (call, answer);
      return;
    case MIR_RELOAD:
      if (call->load)
        fail_over (call, "unknown answer");
      else
        finish (call, PT_TRIMMED, 0, 0, 0);
      return;
    case MIR_NOT_LOADED:
      if (answer->receiving && hc_now_us () < call->complete_by_us)
        ask_again (call, mirror->desc.wait_ms);
      else
        fail_over (call, "has not loaded");
      return;
    case MIR_CUT_OFF:
      fail_over (call, "cut off from the log");
      return;
    default:
      fail_over (call, "unknown answer");
    }
}

void
mir_on_unlinked (struct mirror *mirror, struct cyc_ref peer)
{
  struct mir_call *call = mirror->call;

  if (call != NULL && call->peer.index == peer.index
      && call->peer.generation == peer.generation)
    fail_over (call, "link is down");
}

void
mir_tick (struct mirror *mirror, uint64_t now_us)
{
  if (mirror->call != NULL && now_us >= mirror->call->deadline_us)
    fail_over (mirror->call, "no answer");
  mir_serve (mirror, now_us);
}

void
mir_set_sources (struct mirror *mirror, const struct cyc_name *sources,
                 uint32_t count)
{
  struct mir_source old[MIR_SOURCES_MAX];
  uint32_t old_count = mirror->source_count;

  memcpy (old, mirror->sources, sizeof old);
  memset (mirror->sources, 0, sizeof mirror->sources);
  mirror->source_count = MIN (count, MIR_SOURCES_MAX);
  for (uint32_t i = 0; i < mirror->source_count; i++)
    {
      mirror->sources[i].vm = sources[i];
      for (uint32_t k = 0; k < old_count; k++)
        if (cyc_name_eq (&old[k].vm, &sources[i]))
          mirror->sources[i].unusable_until_us = old[k].unusable_until_us;
    }
}

void
mir_set_last_resort (struct mirror *mirror, const struct cyc_name *vm)
{
  mirror->last_resort = *vm;
}

bool
mir_is_ready (const struct mirror *mirror)
{
  struct cyc_ref peer;

  for (uint32_t i = 0; i < mirror->source_count; i++)
    if (is_linked (mirror, &mirror->sources[i].vm, &peer))
      return true;
  return mirror->source_count == 0;
}

static const struct pt_log_vtable mirror_vtable = { .append = mirror_append,
                                                    .read = mirror_read,
                                                    .newest = mirror_newest };

void
mir_setup (struct mirror *mirror, const struct mir_desc *desc)
{
  *mirror = (struct mirror){
    .log.vtable = &mirror_vtable,
    .desc = *desc,
    .next_ask = desc->first_ask,
    .waiting = g_array_new (FALSE, FALSE, sizeof (struct mir_question)),
  };
  mir_cache_setup (&mirror->cache);
}

void
mir_shutdown (struct mirror *mirror)
{
  if (mirror->call != NULL)
    free_call (mirror->call);
  mirror->call = NULL;
  if (mirror->waiting != NULL)
    g_array_free (mirror->waiting, TRUE);
  mirror->waiting = NULL;
  mir_cache_shutdown (&mirror->cache);
}
