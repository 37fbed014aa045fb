/**
 * @file
 * Building and reading records of the log streams.
 *
 * Each function encodes one record into memory that the caller releases with
 * free(). @p id is the record id by which the writer finds its own record
 * again when it reads the stream back.
 *
 * @code
 * struct cyc_id128 id;
 * struct cyc_str bytes;
 * cyc_id128_random (&id);
 * if (cyc_rec_key_withdraw (&id, writer, &digest, &bytes))
 *   append (stream, bytes);
 * @endcode
 */
#ifndef CYCLAMENDRUM_RECORD_H
#define CYCLAMENDRUM_RECORD_H

#include <cyclamendrum/base.h>

struct cyc_config_edit
{
  struct cyc_str name;
  uint64_t base_version;
  struct cyc_str body;
  bool deleted;
};

enum cyc_claim_action
{
  CYC_CLAIM_TAKE,
  CYC_CLAIM_RENEW,
  CYC_CLAIM_RELEASE
};

struct cyc_claim_edit
{
  enum cyc_claim_action step;
  struct cyc_str domain;
  uint32_t shard;
  uint64_t epoch;
  struct cyc_str owner;
  struct cyc_id128 incarnation;
};

struct cyc_transfer_edit
{
  struct cyc_str team;
  struct cyc_str from;
  struct cyc_str to;
  uint64_t millicores;
  uint64_t accelerators;
  uint64_t limit_version;
  uint64_t from_millicores;
  uint64_t from_accelerators;
  /** Epoch of the owner of `from`. A transfer that is still under way when its
   * writer dies must not take effect after the next owner's claim, which uses
   * the whole balance; 0: not checked. */
  uint64_t epoch;
};

bool cyc_rec_config (const struct cyc_id128 *id, struct cyc_str writer,
                     const struct cyc_config_edit *edits, uint32_t count,
                     struct cyc_str *out);
bool cyc_rec_key_grant (const struct cyc_id128 *id, struct cyc_str writer,
                        const struct cyc_digest *digest, struct cyc_str team,
                        uint64_t base_version, struct cyc_str *out);
bool cyc_rec_key_withdraw (const struct cyc_id128 *id, struct cyc_str writer,
                           const struct cyc_digest *digest,
                           struct cyc_str *out);
bool cyc_rec_claim (const struct cyc_id128 *id, struct cyc_str writer,
                    const struct cyc_claim_edit *edit, struct cyc_str *out);
bool cyc_rec_transfer (const struct cyc_id128 *id, struct cyc_str writer,
                       const struct cyc_transfer_edit *edit,
                       struct cyc_str *out);
bool cyc_rec_snapshot_chunk (const struct cyc_id128 *id, struct cyc_str writer,
                             uint64_t upto_offset, uint32_t index,
                             uint32_t count, const struct cyc_digest *digest,
                             struct cyc_str data, struct cyc_str *out);

/** Record id of an encoded record; false when it cannot be decoded. */
bool cyc_rec_id (struct cyc_str record, struct cyc_id128 *out);

#endif
