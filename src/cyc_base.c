#include <cyclamendrum/base.h>

#include <assert.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** First byte of a name that holds a digest. */
#define NAME_DIGEST_MARK '~'
/** Bytes of the text that follow it, for readers of logs. */
#define NAME_DIGEST_PREFIX_BYTES 20
#define NAME_DIGEST_BYTES 20

struct cyc_str
cyc_outcome_name (enum cyc_outcome outcome)
{
  switch (outcome)
    {
    case CYC_OUTCOME_ANSWER:
      return CYC_STR ("answer");
    case CYC_OUTCOME_NOT_RUN:
      return CYC_STR ("not-run");
    case CYC_OUTCOME_UNKNOWN:
      return CYC_STR ("unknown");
    case CYC_OUTCOME_NONE:
      break;
    }
  return CYC_STR ("none");
}

void *
cyc_alloc (const struct cyc_allocator *allocator, size_t count,
           size_t row_bytes)
{
  void *memory;

  if (count == 0 || row_bytes == 0 || count > SIZE_MAX / row_bytes)
    return NULL;
  if (allocator == NULL || allocator->alloc == NULL)
    return calloc (count, row_bytes);
  memory = allocator->alloc (count * row_bytes, allocator->user);
  if (memory != NULL)
    memset (memory, 0, count * row_bytes);
  return memory;
}

void
cyc_release (const struct cyc_allocator *allocator, void *memory)
{
  if (memory == NULL)
    return;
  if (allocator == NULL || allocator->release == NULL)
    free (memory);
  else
    allocator->release (memory, allocator->user);
}

void
cyc_findings_add (struct cyc_findings *findings, struct cyc_str place,
                  const char *format, ...)
{
  struct cyc_finding *row;
  va_list args;

  if (findings->count == CYC_FINDINGS_MAX)
    {
      findings->dropped++;
      return;
    }
  row = &findings->rows[findings->count++];
  snprintf (row->place, sizeof row->place, "%.*s", CYC_FMT (place));
  va_start (args, format);
  vsnprintf (row->text, sizeof row->text, format, args);
  va_end (args);
}

struct cyc_str
cyc_str_of (const char *text)
{
  return (struct cyc_str){ .data = text, .len = text ? strlen (text) : 0 };
}

bool
cyc_str_eq (struct cyc_str a, struct cyc_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

int
cyc_str_cmp (struct cyc_str a, struct cyc_str b)
{
  size_t common = a.len < b.len ? a.len : b.len;
  int order = common > 0 ? memcmp (a.data, b.data, common) : 0;

  if (order != 0)
    return order;
  return (a.len > b.len) - (a.len < b.len);
}

bool
cyc_name_set (struct cyc_name *name, struct cyc_str text)
{
  if (text.len > CYC_NAME_MAX_BYTES)
    return false;
  memset (name, 0, sizeof *name);
  if (text.len > 0)
    memcpy (name->data, text.data, text.len);
  name->len = (uint8_t)text.len;
  return true;
}

void
cyc_name_set_any (struct cyc_name *name, struct cyc_str text)
{
  struct cyc_digest digest;
  size_t len = 0;

  if ((text.len == 0
       || (text.data[0] != NAME_DIGEST_MARK
           && memchr (text.data, 0, text.len) == NULL))
      && cyc_name_set (name, text))
    return;
  memset (name, 0, sizeof *name);
  name->data[len++] = NAME_DIGEST_MARK;
  for (; len <= NAME_DIGEST_PREFIX_BYTES; len++)
    {
      /* Names are printed in logs. */
      name->data[len] = '_';
      if (len <= text.len && text.data[len - 1] > ' '
          && text.data[len - 1] < '\x7f' && text.data[len - 1] != '"')
        name->data[len] = text.data[len - 1];
    }
  cyc_digest_of (text, &digest);
  for (size_t i = 0; i < NAME_DIGEST_BYTES; i++)
    len += (size_t)snprintf (name->data + len, sizeof name->data - len, "%02x",
                             digest.bytes[i]);
  name->len = (uint8_t)len;
}

struct cyc_str
cyc_name_str (const struct cyc_name *name)
{
  return (struct cyc_str){ .data = name->data, .len = name->len };
}

bool
cyc_name_eq (const struct cyc_name *a, const struct cyc_name *b)
{
  return cyc_str_eq (cyc_name_str (a), cyc_name_str (b));
}

static bool
is_lower_alnum (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool
cyc_name_valid (struct cyc_str text)
{
  if (text.len == 0 || text.len > CYC_NAME_MAX_BYTES)
    return false;
  if (!is_lower_alnum (text.data[0]))
    return false;
  for (size_t i = 1; i < text.len; i++)
    if (!is_lower_alnum (text.data[i]) && text.data[i] != '-'
        && text.data[i] != '.')
      return false;
  return true;
}

bool
cyc_id128_eq (const struct cyc_id128 *a, const struct cyc_id128 *b)
{
  return memcmp (a->bytes, b->bytes, sizeof a->bytes) == 0;
}

bool
cyc_id128_zero (const struct cyc_id128 *id)
{
  static const struct cyc_id128 zero;

  return cyc_id128_eq (id, &zero);
}

void
cyc_id128_hex (const struct cyc_id128 *id, char out[33])
{
  sodium_bin2hex (out, 33, id->bytes, sizeof id->bytes);
}

static int
hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

bool
cyc_id128_parse (struct cyc_str hex, struct cyc_id128 *out)
{
  if (hex.len != 2 * sizeof out->bytes)
    return false;
  for (size_t i = 0; i < sizeof out->bytes; i++)
    {
      int high = hex_value (hex.data[2 * i]);
      int low = hex_value (hex.data[2 * i + 1]);

      if (high < 0 || low < 0)
        return false;
      out->bytes[i] = (uint8_t)(high * 16 + low);
    }
  return true;
}

void
cyc_id128_random (struct cyc_id128 *out)
{
  randombytes_buf (out->bytes, sizeof out->bytes);
}

void
cyc_digest_of (struct cyc_str data, struct cyc_digest *out)
{
  crypto_generichash (out->bytes, sizeof out->bytes,
                      (const unsigned char *)data.data, data.len, NULL, 0);
}

bool
cyc_digest_eq (const struct cyc_digest *a, const struct cyc_digest *b)
{
  return sodium_memcmp (a->bytes, b->bytes, sizeof a->bytes) == 0;
}

static void
hash_field (crypto_generichash_state *state, struct cyc_str part)
{
  unsigned char length[8];
  uint64_t rest = part.len;

  for (size_t i = 0; i < sizeof length; i++)
    {
      length[i] = (unsigned char)(rest & 0xff);
      rest >>= 8;
    }
  crypto_generichash_update (state, length, sizeof length);
  crypto_generichash_update (state, (const unsigned char *)part.data,
                             part.len);
}

void
cyc_request_id (struct cyc_str team, struct cyc_str queue,
                struct cyc_str idempotency_key, struct cyc_id128 *out)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, sizeof out->bytes);
  hash_field (&state, team);
  hash_field (&state, queue);
  hash_field (&state, idempotency_key);
  crypto_generichash_final (&state, out->bytes, sizeof out->bytes);
}

bool
cyc_pool_setup (struct cyc_pool *pool, uint32_t capacity,
                const struct cyc_allocator *allocator)
{
  memset (pool, 0, sizeof *pool);
  if (allocator != NULL)
    pool->allocator = *allocator;
  pool->capacity = capacity;
  pool->generations
      = cyc_alloc (allocator, capacity, sizeof *pool->generations);
  pool->free_rows = cyc_alloc (allocator, capacity, sizeof *pool->free_rows);
  if (pool->generations != NULL && pool->free_rows != NULL)
    return true;
  cyc_pool_shutdown (pool);
  return false;
}

void
cyc_pool_shutdown (struct cyc_pool *pool)
{
  cyc_release (&pool->allocator, pool->generations);
  cyc_release (&pool->allocator, pool->free_rows);
  memset (pool, 0, sizeof *pool);
}

struct cyc_ref
cyc_pool_take (struct cyc_pool *pool)
{
  struct cyc_ref ref = { 0 };

  if (pool->free_count > 0)
    ref.index = pool->free_rows[--pool->free_count];
  else if (pool->high < pool->capacity)
    ref.index = pool->high++;
  else
    return ref;
  ref.generation = ++pool->generations[ref.index];
  pool->used++;
  return ref;
}

void
cyc_pool_release (struct cyc_pool *pool, struct cyc_ref ref)
{
  assert (cyc_pool_live (pool, ref));
  pool->generations[ref.index]++;
  pool->free_rows[pool->free_count++] = ref.index;
  pool->used--;
}

bool
cyc_pool_live (const struct cyc_pool *pool, struct cyc_ref ref)
{
  return (ref.generation & 1) == 1 && ref.index < pool->high
         && pool->generations[ref.index] == ref.generation;
}

bool
cyc_pool_used_at (const struct cyc_pool *pool, uint32_t index)
{
  return index < pool->high && (pool->generations[index] & 1) == 1;
}

struct cyc_ref
cyc_pool_ref_at (const struct cyc_pool *pool, uint32_t index)
{
  struct cyc_ref ref = { .index = index };

  if (cyc_pool_used_at (pool, index))
    ref.generation = pool->generations[index];
  return ref;
}
