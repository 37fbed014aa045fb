/**
 * @file
 * Strings, names, identifiers, findings, allocation and row pools, shared by
 * all modules.
 *
 * Strings are length-counted (struct cyc_str) and need not be NUL-terminated.
 * Names are stored inline (struct cyc_name), so that tables hold no pointers.
 * A struct cyc_ref identifies a row of a table by index and generation. A
 * stale reference is recognised by its generation and never dereferenced.
 *
 * Order of calls for a pool: cyc_pool_setup, then cyc_pool_take and
 * cyc_pool_release, last cyc_pool_shutdown. The other functions need no setup.
 *
 * Errors: setters, parsers and cyc_pool_setup return false on invalid or
 * oversized input or for lack of memory; cyc_alloc returns NULL; cyc_pool_take
 * returns generation 0 from a full pool.
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

/** Arguments for the printf conversion "%.*s". */
#define CYC_FMT(str) (int)(str).len, (str).data

#define CYC_NAME_MAX_BYTES 62

/** Name stored inline; NUL-terminated, so that it can be printed with "%s". */
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

/** 256-bit hash. */
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

/** Outcome of a request as reported to the caller. */
enum cyc_outcome
{
  CYC_OUTCOME_NONE = 0,
  CYC_OUTCOME_ANSWER = 1,
  CYC_OUTCOME_NOT_RUN = 2,
  CYC_OUTCOME_UNKNOWN = 3
};

/** Outcome in messages: "answer", "not-run", "unknown" or "none". */
struct cyc_str cyc_outcome_name (enum cyc_outcome outcome);

/** Allocator. The C library's allocator is used in place of a function that is
 * NULL. */
struct cyc_allocator
{
  void *(*alloc) (size_t bytes, void *user);
  void (*release) (void *memory, void *user);
  void *user;
};

/** Returns zeroed memory for @p count rows of @p row_bytes bytes, or NULL if
 * either is 0, the size overflows or there is no memory. */
void *cyc_alloc (const struct cyc_allocator *allocator, size_t count,
                 size_t row_bytes);
/** Frees @p memory, which may be NULL. */
void cyc_release (const struct cyc_allocator *allocator, void *memory);

#define CYC_FINDINGS_MAX 64

/** One defect of an input and its place, such as "$.team". */
struct cyc_finding
{
  char place[160];
  char text[240];
};

/** Findings collected over a whole input and reported together. */
struct cyc_findings
{
  uint32_t count;   /**< number of rows in use */
  uint32_t dropped; /**< findings not stored for lack of rows */
  struct cyc_finding rows[CYC_FINDINGS_MAX];
};

/** Adds a finding, cut to the size of its members; counts it as dropped when
 * the table is full. */
void cyc_findings_add (struct cyc_findings *findings, struct cyc_str place,
                       const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** View of a NUL-terminated string; empty for NULL. */
struct cyc_str cyc_str_of (const char *text);
bool cyc_str_eq (struct cyc_str a, struct cyc_str b);
/** Compares by bytes, a prefix being less than the longer string; returns <0,
 * 0 or >0. */
int cyc_str_cmp (struct cyc_str a, struct cyc_str b);

/** Copies @p text; false if it is longer than CYC_NAME_MAX_BYTES. */
bool cyc_name_set (struct cyc_name *name, struct cyc_str text);
/** Stores a text of any length and any bytes: itself if it can be, else '~',
 * 20 bytes of its beginning and 40 hex digits of its digest. Two texts have
 * the same name only if they are equal. A text that begins with '~' is always
 * stored by its digest, so what this returns is not to be passed to it
 * again. */
void cyc_name_set_any (struct cyc_name *name, struct cyc_str text);
struct cyc_str cyc_name_str (const struct cyc_name *name);
bool cyc_name_eq (const struct cyc_name *a, const struct cyc_name *b);
/** True for 1 to 62 bytes of lower-case letters, digits, '-' and '.' that
 * begin with a letter or digit. */
bool cyc_name_valid (struct cyc_str text);

bool cyc_id128_eq (const struct cyc_id128 *a, const struct cyc_id128 *b);
/** True if all bytes are 0. */
bool cyc_id128_zero (const struct cyc_id128 *id);
/** Writes 32 hex digits and a NUL. */
void cyc_id128_hex (const struct cyc_id128 *id, char out[33]);
/** Parses 32 lower-case hex digits; false on anything else. */
bool cyc_id128_parse (struct cyc_str hex, struct cyc_id128 *out);
/** Fills @p out from the random number generator of libsodium. */
void cyc_id128_random (struct cyc_id128 *out);

/** Computes BLAKE2b-256 of @p data. */
void cyc_digest_of (struct cyc_str data, struct cyc_digest *out);
/** Compares in constant time. */
bool cyc_digest_eq (const struct cyc_digest *a, const struct cyc_digest *b);
/** Computes the request id of a request that must not be repeated: BLAKE2b-128
 * over the three fields, each preceded by its length, so that the borders
 * between fields count. */
void cyc_request_id (struct cyc_str team, struct cyc_str queue,
                     struct cyc_str idempotency_key, struct cyc_id128 *out);

/** Allocation state of a table of fixed size: free list and generations. The
 * rows themselves belong to the user of the pool. */
struct cyc_pool
{
  uint32_t capacity;
  uint32_t used;
  uint32_t high;         /**< number of rows ever used; bound for iteration */
  uint32_t *generations; /**< odd: in use; even: free */
  uint32_t *free_rows;
  uint32_t free_count;
  struct cyc_allocator allocator;
};

/** False if there is no memory. */
bool cyc_pool_setup (struct cyc_pool *pool, uint32_t capacity,
                     const struct cyc_allocator *allocator);
void cyc_pool_shutdown (struct cyc_pool *pool);
/** Takes a free row; the result has generation 0 if the pool is full. */
struct cyc_ref cyc_pool_take (struct cyc_pool *pool);
/** Returns a row to the pool; @p ref must be live. */
void cyc_pool_release (struct cyc_pool *pool, struct cyc_ref ref);
/** True if @p ref still refers to the row it was taken for, and the row is in
 * use. */
bool cyc_pool_live (const struct cyc_pool *pool, struct cyc_ref ref);
/** True if the row at @p index is in use. */
bool cyc_pool_used_at (const struct cyc_pool *pool, uint32_t index);
/** Reference to the row at @p index; generation 0 if it is free. */
struct cyc_ref cyc_pool_ref_at (const struct cyc_pool *pool, uint32_t index);

#endif
