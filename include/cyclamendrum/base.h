/**
 * @file
 * Strings, names, identifiers, findings and allocation shared by all modules.
 *
 * Strings are length-counted (struct cyc_str) and need not be NUL-terminated.
 * Names are stored inline (struct cyc_name), so tables hold no pointers.
 * Rows of a table are named by struct cyc_ref: an index and a generation. A
 * stale reference is detected by its generation and never dereferenced.
 *
 * @code
 * struct cyc_findings found = { 0 };
 * struct cyc_name team;
 * if (!cyc_name_set (&team, CYC_STR ("orders")))
 *   cyc_findings_add (&found, CYC_STR ("$.team"), "name is too long");
 * @endcode
 */
#ifndef CYCLAMENDRUM_BASE_H
#define CYCLAMENDRUM_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Length-counted string; not owned, not NUL-terminated. */
struct cyc_str
{
  const char *data;
  size_t len;
};

#define CYC_STR(literal)                                                      \
  ((struct cyc_str){ .data = (literal), .len = sizeof (literal) - 1 })

/** printf arguments for "%.*s". */
#define CYC_FMT(str) (int)(str).len, (str).data

#define CYC_NAME_MAX_BYTES 62

/** Name stored inline, NUL-terminated for convenience in format strings. */
struct cyc_name
{
  uint8_t len;
  char data[CYC_NAME_MAX_BYTES + 1];
};

/** 128-bit identifier: records, requests, jobs, process incarnations. */
struct cyc_id128
{
  uint8_t bytes[16];
};

/** 256-bit digest. */
struct cyc_digest
{
  uint8_t bytes[32];
};

/** Reference to a row of a fixed table. Generation 0 means "none". */
struct cyc_ref
{
  uint32_t index;
  uint32_t generation;
};

/** What a caller is told about its request. */
enum cyc_outcome
{
  CYC_OUTCOME_NONE = 0,
  CYC_OUTCOME_ANSWER = 1,
  CYC_OUTCOME_NOT_RUN = 2,
  CYC_OUTCOME_UNKNOWN = 3
};

/** Wire word of an outcome: "answer", "not-run", "unknown". */
struct cyc_str cyc_outcome_name (enum cyc_outcome outcome);

/** Allocator; both members zero means malloc and free. */
struct cyc_allocator
{
  void *(*alloc) (size_t bytes, void *user);
  void (*release) (void *memory, void *user);
  void *user;
};

/** Zeroed memory for @p count rows, or NULL. */
void *cyc_alloc (const struct cyc_allocator *allocator, size_t count,
                 size_t row_bytes);
void cyc_release (const struct cyc_allocator *allocator, void *memory);

#define CYC_FINDINGS_MAX 64

/** One defect of an input and where it is. */
struct cyc_finding
{
  char place[160];
  char text[240];
};

/** Findings collected over a whole input and reported together. */
struct cyc_findings
{
  uint32_t count;   /**< rows used */
  uint32_t dropped; /**< findings beyond CYC_FINDINGS_MAX */
  struct cyc_finding rows[CYC_FINDINGS_MAX];
};

void cyc_findings_add (struct cyc_findings *findings, struct cyc_str place,
                       const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

struct cyc_str cyc_str_of (const char *text);
bool cyc_str_eq (struct cyc_str a, struct cyc_str b);
/** Byte order, shorter first on a common prefix; <0, 0, >0. */
int cyc_str_cmp (struct cyc_str a, struct cyc_str b);

/** False when @p text is longer than CYC_NAME_MAX_BYTES. */
bool cyc_name_set (struct cyc_name *name, struct cyc_str text);
struct cyc_str cyc_name_str (const struct cyc_name *name);
bool cyc_name_eq (const struct cyc_name *a, const struct cyc_name *b);
/** Lower-case letters, digits, '-' and '.', 1 to 62 bytes, letter or digit
 * first. */
bool cyc_name_valid (struct cyc_str text);

bool cyc_id128_eq (const struct cyc_id128 *a, const struct cyc_id128 *b);
bool cyc_id128_zero (const struct cyc_id128 *id);
/** Writes 32 hex digits and a NUL. */
void cyc_id128_hex (const struct cyc_id128 *id, char out[33]);
bool cyc_id128_parse (struct cyc_str hex, struct cyc_id128 *out);
/** Random identifier from the system's generator. */
void cyc_id128_random (struct cyc_id128 *out);

/** BLAKE2b-256 of @p data. */
void cyc_digest_of (struct cyc_str data, struct cyc_digest *out);
/** Comparison in constant time. */
bool cyc_digest_eq (const struct cyc_digest *a, const struct cyc_digest *b);
/** Request id of a once-only request: BLAKE2b-128 over the three parts, each
 * preceded by its length. */
void cyc_request_id (struct cyc_str team, struct cyc_str queue,
                     struct cyc_str idempotency_key, struct cyc_id128 *out);

/** Fixed pool of rows: free list and generations. */
struct cyc_pool
{
  uint32_t capacity;
  uint32_t used;
  uint32_t high;         /**< rows ever used: iterate index < high */
  uint32_t *generations; /**< odd: in use; even: free */
  uint32_t *free_rows;
  uint32_t free_count;
  struct cyc_allocator allocator;
};

bool cyc_pool_setup (struct cyc_pool *pool, uint32_t capacity,
                     const struct cyc_allocator *allocator);
void cyc_pool_shutdown (struct cyc_pool *pool);
/** Takes a row; generation 0 in the result when the pool is full. */
struct cyc_ref cyc_pool_take (struct cyc_pool *pool);
void cyc_pool_release (struct cyc_pool *pool, struct cyc_ref ref);
bool cyc_pool_live (const struct cyc_pool *pool, struct cyc_ref ref);
bool cyc_pool_used_at (const struct cyc_pool *pool, uint32_t index);
struct cyc_ref cyc_pool_ref_at (const struct cyc_pool *pool, uint32_t index);

#endif
