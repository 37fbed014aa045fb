#include "cyc_codec.h"
#include "cyc_index.h"

#include <cyclamendrum/ledger.h>
#include <cyclamendrum/once.h>

#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_REQUESTS 65536
#define DEFAULT_WINDOW_US UINT64_C (86400000000)
#define MAX_REQUESTS_LIMIT 16777216
#define MAX_EXPIRED_PER_CALL 1024
/* Size of the filter of ids whose intent a full table refused. */
#define REFUSED_FILTER_BITS 1048576

struct once_row
{
  struct cyc_id128 request_id;
  struct cyc_once_entry entry;
  uint64_t window_end_us;
};

/* The rows form a ring in the order of their intents, so the window of the
   oldest row ends first. */
struct cyc_once_state
{
  struct cyc_once_desc desc;
  struct once_row *rows;
  uint32_t first_row;
  uint32_t count;
  uint64_t next_offset;
  struct cyc_ix index;
  uint8_t *refused_filter;
  uint64_t refused_filter_end_us; /**< 0: the filter is empty */
};

bool
cyc_once_setup (struct cyc_once *once, const struct cyc_once_desc *desc,
                struct cyc_findings *findings)
{
  struct cyc_once_state *state;

  once->state = NULL;
  if (desc->max_requests > MAX_REQUESTS_LIMIT)
    {
      cyc_findings_add (findings, CYC_STR ("max_requests"),
                        "must be at most %d", MAX_REQUESTS_LIMIT);
      return false;
    }
  state = cyc_alloc (&desc->allocator, 1, sizeof *state);
  if (state != NULL)
    {
      state->desc = *desc;
      if (state->desc.max_requests == 0)
        state->desc.max_requests = DEFAULT_MAX_REQUESTS;
      if (state->desc.window_us == 0)
        state->desc.window_us = DEFAULT_WINDOW_US;
      once->state = state;
      state->rows = cyc_alloc (&desc->allocator, state->desc.max_requests,
                               sizeof *state->rows);
      state->refused_filter
          = cyc_alloc (&desc->allocator, REFUSED_FILTER_BITS / 8, 1);
      if (state->rows != NULL && state->refused_filter != NULL
          && cyc_ix_setup (&state->index, state->desc.max_requests,
                           &desc->allocator))
        return true;
    }
  cyc_findings_add (findings, CYC_STR ("once"), "out of memory");
  cyc_once_shutdown (once);
  return false;
}

void
cyc_once_shutdown (struct cyc_once *once)
{
  struct cyc_once_state *state = once->state;
  struct cyc_allocator allocator;

  if (state == NULL)
    return;
  allocator = state->desc.allocator;
  cyc_ix_shutdown (&state->index);
  cyc_release (&allocator, state->rows);
  cyc_release (&allocator, state->refused_filter);
  cyc_release (&allocator, state);
  once->state = NULL;
}

static struct once_row *
find_row (const struct cyc_once_state *state, const struct cyc_id128 *id)
{
  struct cyc_ix_probe probe
      = cyc_ix_probe (&state->index, cyc_ix_hash_id (id));

  while (cyc_ix_next (&state->index, &probe))
    if (cyc_id128_eq (&state->rows[probe.row].request_id, id))
      return &state->rows[probe.row];
  return NULL;
}

static bool
drop_oldest (struct cyc_once_state *state, uint64_t now_us)
{
  const struct once_row *row = &state->rows[state->first_row];

  if (state->count == 0 || now_us < row->window_end_us)
    return false;
  cyc_ix_remove (&state->index, cyc_ix_hash_id (&row->request_id),
                 state->first_row);
  state->first_row = (state->first_row + 1) % state->desc.max_requests;
  state->count--;
  return true;
}

/* An intent that this table refuses may win in the table of another gateway
   that has a free row. A later intent of the same id must not win here, or two
   gateways would send the request. The filter may also refuse other ids with
   the same hash, which is safe. */
static void
remember_refused (struct cyc_once_state *state, const struct cyc_id128 *id,
                  uint64_t now_us)
{
  uint32_t bit = cyc_ix_hash_id (id) % REFUSED_FILTER_BITS;

  state->refused_filter[bit / 8] |= (uint8_t)(1U << (bit % 8));
  state->refused_filter_end_us = now_us + state->desc.window_us;
}

/* Returns whether the filter contains the id. Clears the filter once the
   window of the newest id in it has ended. */
static bool
was_refused (struct cyc_once_state *state, const struct cyc_id128 *id,
             uint64_t now_us)
{
  uint32_t bit = cyc_ix_hash_id (id) % REFUSED_FILTER_BITS;

  if (state->refused_filter_end_us == 0)
    return false;
  if (now_us >= state->refused_filter_end_us)
    {
      memset (state->refused_filter, 0, REFUSED_FILTER_BITS / 8);
      state->refused_filter_end_us = 0;
      return false;
    }
  return (state->refused_filter[bit / 8] >> (bit % 8) & 1) != 0;
}

static void
add_row (struct cyc_once_state *state, const struct cyc_id128 *id,
         const struct cyc_once_entry *entry, uint64_t now_us)
{
  uint32_t at;

  if (state->count == state->desc.max_requests && !drop_oldest (state, now_us))
    {
      remember_refused (state, id, now_us);
      return;
    }
  at = (state->first_row + state->count) % state->desc.max_requests;
  state->rows[at]
      = (struct once_row){ .request_id = *id,
                           .entry = *entry,
                           .window_end_us = now_us + state->desc.window_us };
  state->count++;
  cyc_ix_add (&state->index, cyc_ix_hash_id (id), at);
}

static bool
apply_intents (struct cyc_once_state *state, const Cyc__IntentBatch *batch,
               uint64_t now_us)
{
  struct cyc_once_entry entry = { 0 };
  struct cyc_id128 id;

  if (!cyc_codec_name (batch->gateway, &entry.gateway)
      || !cyc_codec_id (batch->incarnation, &entry.incarnation))
    return false;
  for (size_t i = 0; i < batch->n_intents; i++)
    {
      const Cyc__Intent *intent = batch->intents[i];
      struct once_row *known;

      if (!cyc_codec_id (intent->request_id, &id)
          || !cyc_codec_id (intent->body_digest, &entry.body_digest))
        continue;
      known = find_row (state, &id);
      if (known == NULL && !was_refused (state, &id, now_us))
        add_row (state, &id, &entry, now_us);
    }
  return true;
}

static bool
apply_outcomes (struct cyc_once_state *state, const Cyc__OutcomeBatch *batch)
{
  struct cyc_name gateway;
  struct cyc_id128 incarnation;
  struct cyc_id128 id;

  if (!cyc_codec_name (batch->gateway, &gateway)
      || !cyc_codec_id (batch->incarnation, &incarnation))
    return false;
  for (size_t i = 0; i < batch->n_outcomes; i++)
    {
      const Cyc__Outcome *outcome = batch->outcomes[i];
      struct once_row *row;

      if (!cyc_codec_id (outcome->request_id, &id)
          || outcome->outcome < CYC_OUTCOME_ANSWER
          || outcome->outcome > CYC_OUTCOME_UNKNOWN)
        continue;
      row = find_row (state, &id);
      if (row == NULL || row->entry.outcome != CYC_OUTCOME_NONE
          || !cyc_name_eq (&row->entry.gateway, &gateway)
          || !cyc_id128_eq (&row->entry.incarnation, &incarnation))
        continue;
      row->entry.outcome = (enum cyc_outcome)outcome->outcome;
      row->entry.http_status = outcome->http_status;
    }
  return true;
}

bool
cyc_once_apply (struct cyc_once *once, uint64_t offset, struct cyc_str record,
                uint64_t now_us)
{
  struct cyc_once_state *state = once->state;
  const char *reason = NULL;
  Cyc__Record *decoded;
  bool valid = false;

  if (offset < state->next_offset)
    return true;
  state->next_offset = offset + 1;
  decoded = cyc_codec_decode (record, &reason);
  if (decoded == NULL)
    return false;
  if (decoded->body_case == CYC__RECORD__BODY_INTENTS)
    valid = apply_intents (state, decoded->intents, now_us);
  else if (decoded->body_case == CYC__RECORD__BODY_OUTCOMES)
    valid = apply_outcomes (state, decoded->outcomes);
  cyc__record__free_unpacked (decoded, NULL);
  return valid;
}

uint64_t
cyc_once_next_offset (const struct cyc_once *once)
{
  return once->state->next_offset;
}

void
cyc_once_seek (struct cyc_once *once, uint64_t offset)
{
  once->state->next_offset = offset;
}

bool
cyc_once_find (const struct cyc_once *once, const struct cyc_id128 *request_id,
               struct cyc_once_entry *out)
{
  const struct once_row *row = find_row (once->state, request_id);

  if (row == NULL)
    return false;
  *out = row->entry;
  return true;
}

void
cyc_once_expire (struct cyc_once *once, uint64_t now_us)
{
  for (int i = 0; i < MAX_EXPIRED_PER_CALL; i++)
    if (!drop_oldest (once->state, now_us))
      return;
}

uint32_t
cyc_once_count (const struct cyc_once *once)
{
  return once->state->count;
}

bool
cyc_rec_intents (const struct cyc_id128 *id, struct cyc_str writer,
                 const struct cyc_id128 *incarnation,
                 const struct cyc_once_intent *intents, uint32_t count,
                 struct cyc_str *out)
{
  Cyc__Record record;
  Cyc__IntentBatch batch = CYC__INTENT_BATCH__INIT;
  struct cyc_name gateway;
  Cyc__Intent *rows = calloc (count + (size_t)1, sizeof *rows);
  Cyc__Intent **list = calloc (count + (size_t)1, sizeof (Cyc__Intent *));
  bool complete = rows != NULL && list != NULL
                  && cyc_codec_init (&record, id, writer, &gateway);

  for (uint32_t i = 0; complete && i < count; i++)
    {
      rows[i] = (Cyc__Intent)CYC__INTENT__INIT;
      rows[i].request_id = cyc_codec_bytes (
          intents[i].request_id.bytes, sizeof intents[i].request_id.bytes);
      rows[i].body_digest = cyc_codec_bytes (
          intents[i].body_digest.bytes, sizeof intents[i].body_digest.bytes);
      rows[i].deadline_ms = intents[i].deadline_ms;
      list[i] = &rows[i];
    }
  if (complete)
    {
      batch.gateway = gateway.data;
      batch.incarnation
          = cyc_codec_bytes (incarnation->bytes, sizeof incarnation->bytes);
      batch.intents = list;
      batch.n_intents = count;
      record.body_case = CYC__RECORD__BODY_INTENTS;
      record.intents = &batch;
      complete = cyc_codec_pack (&record, out);
    }
  free (rows);
  free (list);
  return complete;
}

bool
cyc_rec_outcomes (const struct cyc_id128 *id, struct cyc_str writer,
                  const struct cyc_id128 *incarnation,
                  const struct cyc_once_outcome *outcomes, uint32_t count,
                  struct cyc_str *out)
{
  Cyc__Record record;
  Cyc__OutcomeBatch batch = CYC__OUTCOME_BATCH__INIT;
  struct cyc_name gateway;
  Cyc__Outcome *rows = calloc (count + (size_t)1, sizeof *rows);
  Cyc__Outcome **list = calloc (count + (size_t)1, sizeof (Cyc__Outcome *));
  bool complete = rows != NULL && list != NULL
                  && cyc_codec_init (&record, id, writer, &gateway);

  for (uint32_t i = 0; complete && i < count; i++)
    {
      rows[i] = (Cyc__Outcome)CYC__OUTCOME__INIT;
      rows[i].request_id = cyc_codec_bytes (
          outcomes[i].request_id.bytes, sizeof outcomes[i].request_id.bytes);
      rows[i].outcome = (uint32_t)outcomes[i].outcome;
      rows[i].http_status = outcomes[i].http_status;
      rows[i].answer_digest
          = cyc_codec_bytes (outcomes[i].answer_digest.bytes,
                             sizeof outcomes[i].answer_digest.bytes);
      list[i] = &rows[i];
    }
  if (complete)
    {
      batch.gateway = gateway.data;
      batch.incarnation
          = cyc_codec_bytes (incarnation->bytes, sizeof incarnation->bytes);
      batch.outcomes = list;
      batch.n_outcomes = count;
      record.body_case = CYC__RECORD__BODY_OUTCOMES;
      record.outcomes = &batch;
      complete = cyc_codec_pack (&record, out);
    }
  free (rows);
  free (list);
  return complete;
}
