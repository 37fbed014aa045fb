/* Passes the records of the stream on to other VMs. */

#include "http_client.h"
#include "mirror_internal.h"

/** Bytes of a record in one answer: on a link of 2 Mbit/s they take 0.13 s. */
#define CHUNK_BYTES 32768
#define WAIT_MAX_MS 2000
#define US_PER_MS 1000

static void
send_answer (struct mirror *mirror, const struct mir_question *question,
             Cyc__MirrorAnswer *answer, uint64_t now_us)
{
  const struct tail *tail = mirror->desc.tail;
  Cyc__Peer message = CYC__PEER__INIT;

  answer->ask = question->ask;
  answer->receiving = tail_is_receiving (tail, now_us);
  answer->end = tail->next;
  answer->fresh_us = tail->fresh_us != 0
                         ? (int64_t)(tail->fresh_us - question->arrived_us)
                         : INT64_MIN;
  message.body_case = CYC__PEER__BODY_MIRROR_ANSWER;
  message.mirror_answer = answer;
  pl_send (mirror->desc.links, question->peer, &message);
}

static void
send_chunk (struct mirror *mirror, const struct mir_question *question,
            const struct mir_row *row, uint64_t now_us)
{
  Cyc__MirrorAnswer answer = CYC__MIRROR_ANSWER__INIT;
  gsize key_len;
  gsize len;
  const uint8_t *key = g_bytes_get_data (row->key, &key_len);
  const uint8_t *value = g_bytes_get_data (row->value, &len);
  bool continued = question->record == row->offset && question->at < len;

  answer.state = MIR_CHUNK;
  answer.offset = row->offset;
  answer.key = (ProtobufCBinaryData){ key_len, (uint8_t *)key };
  answer.length = len;
  answer.at = continued ? question->at : 0;
  answer.data.len = MIN (len - answer.at, CHUNK_BYTES);
  answer.data.data = (uint8_t *)value + answer.at;
  mirror->bytes_out += answer.data.len;
  send_answer (mirror, question, &answer, now_us);
}

static bool
reads_last_resort (const struct mirror *mirror)
{
  for (uint32_t i = 0; i < mirror->source_count; i++)
    if (cyc_name_eq (&mirror->sources[i].vm, &mirror->through))
      return false;
  return mirror->through.len > 0
         && cyc_name_eq (&mirror->last_resort, &mirror->through);
}

/* Returns false if the question has to wait. */
static bool
try_answer (struct mirror *mirror, const struct mir_question *question,
            uint64_t now_us)
{
  Cyc__MirrorAnswer answer = CYC__MIRROR_ANSWER__INIT;
  const struct mir_row *row = NULL;
  bool due = now_us >= question->deadline_us;

  if (reads_last_resort (mirror))
    {
      answer.state = MIR_CUT_OFF;
      due = true;
    }
  else if (!mirror->cache.loaded)
    answer.state = MIR_NOT_LOADED;
  else if (!question->load && question->from < mirror->cache.floor)
    {
      answer.state = MIR_RELOAD;
      due = true;
    }
  else
    {
      answer.state = MIR_END;
      row = mir_cache_next (&mirror->cache, question->from);
    }
  if (row != NULL)
    send_chunk (mirror, question, row, now_us);
  else if (due)
    send_answer (mirror, question, &answer, now_us);
  return row != NULL || due;
}

void
mir_serve (struct mirror *mirror, uint64_t now_us)
{
  for (guint i = 0; i < mirror->waiting->len;)
    if (try_answer (mirror,
                    &g_array_index (mirror->waiting, struct mir_question, i),
                    now_us))
      g_array_remove_index_fast (mirror->waiting, i);
    else
      i++;
}

/* Drops an earlier question of the VM: it asks one at a time. */
static void
drop_question (struct mirror *mirror, struct cyc_ref peer)
{
  for (guint i = 0; i < mirror->waiting->len; i++)
    if (g_array_index (mirror->waiting, struct mir_question, i).peer.index
        == peer.index)
      {
        g_array_remove_index_fast (mirror->waiting, i);
        return;
      }
}

void
mir_on_ask (struct mirror *mirror, struct cyc_ref peer,
            const Cyc__MirrorAsk *ask)
{
  uint64_t now_us = hc_now_us ();
  struct mir_question question = {
    .peer = peer,
    .ask = ask->ask,
    .from = ask->from,
    .load = ask->load,
    .record = ask->record,
    .at = ask->at,
    .arrived_us = now_us,
    .deadline_us
    = now_us + (uint64_t)MIN (ask->wait_ms, WAIT_MAX_MS) * US_PER_MS,
  };

  drop_question (mirror, peer);
  if (!try_answer (mirror, &question, now_us))
    g_array_append_val (mirror->waiting, question);
}

void
mir_record (struct mirror *mirror, const struct pt_record *record,
            uint64_t offset)
{
  mir_cache_add (&mirror->cache, record, offset);
}

void
mir_reload (struct mirror *mirror)
{
  mir_cache_reload (&mirror->cache);
}

void
mir_caught_up (struct mirror *mirror)
{
  mir_cache_loaded (&mirror->cache, mirror->desc.tail->next);
  mir_serve (mirror, hc_now_us ());
}
