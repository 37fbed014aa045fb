#include "cyc_ledger_state.h"

#include <stdlib.h>
#include <string.h>

/* Chunk sets that are assembled at the same time. Several processes may find
   at about the same time that a snapshot is due, and each writes one. */
#define MAX_CHUNK_SETS 4
/* 48 MiB of snapshot; a larger chunk count is treated as corrupt. */
#define MAX_CHUNKS_PER_SNAPSHOT 1024

struct chunk_set
{
  bool in_use;
  uint64_t upto_offset;
  uint32_t count; /**< chunks of the whole snapshot */
  uint32_t received_count;
  /** Value of chunk_number when a chunk was last added; the set with the
   * lowest value is replaced first. */
  uint64_t last_chunk_number;
  struct cyc_digest digest;
  struct cyc_str *chunks; /**< owned; data NULL if missing */
};

struct cyc_led_assembler_state
{
  uint64_t oldest_offset; /**< oldest retained record of the stream */
  uint64_t chunk_number;  /**< chunks added so far */
  struct chunk_set sets[MAX_CHUNK_SETS];
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
cyc_led_assembler_setup (struct cyc_led_assembler *assembler,
                         uint64_t oldest_offset)
{
  assembler->state = calloc (1, sizeof *assembler->state);
  if (assembler->state == NULL)
    return false;
  assembler->state->oldest_offset = oldest_offset;
  return true;
}

void
cyc_led_assembler_shutdown (struct cyc_led_assembler *assembler)
{
  if (assembler->state == NULL)
    return;
  for (int i = 0; i < MAX_CHUNK_SETS; i++)
    set_clear (&assembler->state->sets[i]);
  free (assembler->state);
  assembler->state = NULL;
}

static struct chunk_set *
find_or_replace_set (struct cyc_led_assembler_state *state,
                     const Cyc__SnapshotChunk *chunk,
                     const struct cyc_digest *digest)
{
  struct chunk_set *oldest = &state->sets[0];

  for (int i = 0; i < MAX_CHUNK_SETS; i++)
    {
      struct chunk_set *set = &state->sets[i];

      if (set->in_use && set->upto_offset == chunk->upto_offset
          && set->count == chunk->count
          && cyc_digest_eq (&set->digest, digest))
        return set;
      if (set->last_chunk_number < oldest->last_chunk_number)
        oldest = set;
    }
  set_clear (oldest);
  oldest->chunks = calloc (chunk->count, sizeof *oldest->chunks);
  if (oldest->chunks == NULL)
    return NULL;
  oldest->in_use = true;
  oldest->upto_offset = chunk->upto_offset;
  oldest->count = chunk->count;
  oldest->digest = *digest;
  return oldest;
}

static bool
set_assemble (const struct chunk_set *set, struct cyc_str *out)
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
set_add_chunk (struct chunk_set *set, const Cyc__SnapshotChunk *chunk)
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
  set->received_count++;
  return true;
}

bool
led_assembler_add_chunk (struct cyc_led_assembler *assembler,
                         const Cyc__SnapshotChunk *chunk,
                         struct cyc_str *encoded, uint64_t *upto_offset)
{
  struct cyc_digest digest;
  struct cyc_str snapshot = { 0 };
  struct chunk_set *set;
  bool digest_matches;

  if (chunk->count == 0 || chunk->count > MAX_CHUNKS_PER_SNAPSHOT
      || chunk->index >= chunk->count
      || chunk->data.len > CYC_SNAPSHOT_CHUNK_BYTES
      || !cyc_codec_digest (chunk->digest, &digest))
    return false;
  set = find_or_replace_set (assembler->state, chunk, &digest);
  if (set == NULL)
    return false;
  set->last_chunk_number = ++assembler->state->chunk_number;
  if (!set_add_chunk (set, chunk) || set->received_count < set->count)
    return false;
  *upto_offset = set->upto_offset;
  digest_matches = set_assemble (set, &snapshot);
  set_clear (set);
  if (digest_matches && encoded != NULL)
    *encoded = snapshot;
  else
    free ((char *)snapshot.data);
  return digest_matches;
}

bool
cyc_led_assembler_add (struct cyc_led_assembler *assembler, uint64_t offset,
                       struct cyc_str record, struct cyc_str *encoded)
{
  const char *reason = NULL;
  Cyc__Record *decoded = cyc_codec_decode (record, &reason);
  uint64_t upto_offset = 0;
  bool complete = false;

  if (decoded == NULL)
    return false;
  /* If a snapshot ends more than one record before the oldest retained one,
     the records between the two are lost. */
  if (decoded->body_case == CYC__RECORD__BODY_SNAPSHOT
      && decoded->snapshot->upto_offset < offset
      && decoded->snapshot->upto_offset + 1 >= assembler->state->oldest_offset)
    complete = led_assembler_add_chunk (assembler, decoded->snapshot, encoded,
                                        &upto_offset);
  cyc__record__free_unpacked (decoded, NULL);
  return complete;
}

/* Chunks change no encoded state but the list of record ids. The ledger
   assembles them only to know the newest complete snapshot. */
void
led_apply_chunk (struct cyc_led_state *state, uint64_t offset,
                 const Cyc__SnapshotChunk *chunk,
                 struct cyc_led_effect *effect)
{
  uint64_t upto_offset = 0;

  if (chunk->upto_offset >= offset)
    {
      led_refuse (effect, "the snapshot covers its own offset or later ones");
      return;
    }
  if (led_assembler_add_chunk (&state->assembler, chunk, NULL, &upto_offset)
      && upto_offset > state->snapshot_upto_offset)
    state->snapshot_upto_offset = upto_offset;
}
