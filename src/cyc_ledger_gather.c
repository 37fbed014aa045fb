#include "cyc_ledger_state.h"

#include <stdlib.h>
#include <string.h>

/* Sets of chunks that are collected at the same time: writers that noticed the
   same need within moments of each other. */
#define MAX_SETS 4
/* 48 MiB of snapshot; beyond it a chunk count is taken for corrupt. */
#define MAX_CHUNKS 1024

struct chunk_set
{
  bool used;
  uint64_t upto;
  uint32_t count;
  uint32_t have;
  uint64_t touched; /**< order of the newest chunk, to find the oldest set */
  struct cyc_digest digest;
  struct cyc_str *chunks; /**< owned data; NULL data: missing */
};

struct cyc_led_gather_state
{
  uint64_t oldest;
  uint64_t feeds;
  struct chunk_set sets[MAX_SETS];
};

static void
set_clear (struct chunk_set *set)
{
  for (uint32_t i = 0; set->chunks != NULL && i < set->count; i++)
    free ((char *)set->chunks[i].data);
  free (set->chunks);
  memset (set, 0, sizeof *set);
}

bool
cyc_led_gather_setup (struct cyc_led_gather *gather, uint64_t oldest)
{
  gather->state = calloc (1, sizeof *gather->state);
  if (gather->state == NULL)
    return false;
  gather->state->oldest = oldest;
  return true;
}

void
cyc_led_gather_shutdown (struct cyc_led_gather *gather)
{
  if (gather->state == NULL)
    return;
  for (int i = 0; i < MAX_SETS; i++)
    set_clear (&gather->state->sets[i]);
  free (gather->state);
  gather->state = NULL;
}

static struct chunk_set *
find_set (struct cyc_led_gather_state *state, const Cyc__SnapshotChunk *chunk,
          const struct cyc_digest *digest)
{
  struct chunk_set *oldest = &state->sets[0];

  for (int i = 0; i < MAX_SETS; i++)
    {
      struct chunk_set *set = &state->sets[i];

      if (set->used && set->upto == chunk->upto_offset
          && set->count == chunk->count
          && cyc_digest_eq (&set->digest, digest))
        return set;
      if (set->touched < oldest->touched)
        oldest = set;
    }
  set_clear (oldest);
  oldest->chunks = calloc (chunk->count, sizeof *oldest->chunks);
  if (oldest->chunks == NULL)
    return NULL;
  oldest->used = true;
  oldest->upto = chunk->upto_offset;
  oldest->count = chunk->count;
  oldest->digest = *digest;
  return oldest;
}

static bool
set_join (const struct chunk_set *set, struct cyc_str *out)
{
  struct cyc_digest digest;
  size_t len = 0;
  size_t at = 0;
  char *data;

  for (uint32_t i = 0; i < set->count; i++)
    len += set->chunks[i].len;
  data = malloc (len + 1);
  if (data == NULL)
    return false;
  for (uint32_t i = 0; i < set->count; i++)
    {
      memcpy (data + at, set->chunks[i].data, set->chunks[i].len);
      at += set->chunks[i].len;
    }
  *out = (struct cyc_str){ .data = data, .len = len };
  cyc_digest_of (*out, &digest);
  if (cyc_digest_eq (&digest, &set->digest))
    return true;
  free (data);
  *out = (struct cyc_str){ 0 };
  return false;
}

static bool
set_add (struct chunk_set *set, const Cyc__SnapshotChunk *chunk)
{
  struct cyc_str *to = &set->chunks[chunk->index];
  char *copy;

  if (to->data != NULL)
    return false;
  copy = malloc (chunk->data.len + 1);
  if (copy == NULL)
    return false;
  if (chunk->data.len > 0)
    memcpy (copy, chunk->data.data, chunk->data.len);
  *to = (struct cyc_str){ .data = copy, .len = chunk->data.len };
  set->have++;
  return true;
}

bool
led_gather_chunk (struct cyc_led_gather *gather,
                  const Cyc__SnapshotChunk *chunk, struct cyc_str *encoded,
                  uint64_t *upto)
{
  struct cyc_digest digest;
  struct cyc_str whole = { 0 };
  struct chunk_set *set;
  bool valid;

  if (chunk->count == 0 || chunk->count > MAX_CHUNKS
      || chunk->index >= chunk->count
      || chunk->data.len > CYC_SNAPSHOT_CHUNK_BYTES
      || !cyc_codec_digest (chunk->digest, &digest))
    return false;
  set = find_set (gather->state, chunk, &digest);
  if (set == NULL)
    return false;
  set->touched = ++gather->state->feeds;
  if (!set_add (set, chunk) || set->have < set->count)
    return false;
  *upto = set->upto;
  valid = set_join (set, &whole);
  set_clear (set);
  if (valid && encoded != NULL)
    *encoded = whole;
  else
    free ((char *)whole.data);
  return valid;
}

bool
cyc_led_gather_feed (struct cyc_led_gather *gather, uint64_t offset,
                     struct cyc_str record, struct cyc_str *encoded)
{
  const char *reason = NULL;
  Cyc__Record *decoded = cyc_codec_decode (record, &reason);
  uint64_t upto = 0;
  bool whole = false;

  if (decoded == NULL)
    return false;
  /* A snapshot that ends before the oldest retained record would leave out
     the records between the two. */
  if (decoded->body_case == CYC__RECORD__BODY_SNAPSHOT
      && decoded->snapshot->upto_offset < offset
      && decoded->snapshot->upto_offset + 1 >= gather->state->oldest)
    whole = led_gather_chunk (gather, decoded->snapshot, encoded, &upto);
  cyc__record__free_unpacked (decoded, NULL);
  return whole;
}

/* Chunks change nothing but the list of record ids. The ledger looks at them
   only to know which snapshot is the newest complete one. */
void
led_apply_chunk (struct cyc_led_state *state, uint64_t offset,
                 const Cyc__SnapshotChunk *chunk,
                 struct cyc_led_effect *effect)
{
  uint64_t upto = 0;

  if (chunk->upto_offset >= offset)
    {
      led_refuse (effect, "the snapshot covers records after itself");
      return;
    }
  if (led_gather_chunk (&state->gather, chunk, NULL, &upto)
      && upto > state->snapshot_upto)
    state->snapshot_upto = upto;
}
