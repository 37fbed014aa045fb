/**
 * @file
 * Encoding of records for the log streams.
 *
 * Each function encodes one record into memory that the caller releases with
 * free(). @p id is the record id, by which the writer recognises its own
 * record when it reads the stream. The functions need no setup and can be
 * called in any order.
 *
 * Errors: false if a name is longer than CYC_NAME_MAX_BYTES, the record is
 * longer than CYC_RECORD_MAX_BYTES or there is no memory.
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

/** Change of one configuration item. */
struct cyc_config_edit
{
  struct cyc_str name;   /**< "fleet", "team/NAME" or "queue/NAME" */
  uint64_t base_version; /**< version that the change is based on; 0: new */
  struct cyc_str body;   /**< JSON text */
  bool deleted;
};

enum cyc_claim_action
{
  CYC_CLAIM_TAKE,
  CYC_CLAIM_RENEW,
  CYC_CLAIM_RELEASE
};

/** Claim of a shard of a domain, its renewal or its release. */
struct cyc_claim_edit
{
  enum cyc_claim_action step; /**< what the record does to the claim */
  struct cyc_str domain;
  uint32_t shard;
  uint64_t epoch;
  struct cyc_str owner;         /**< VM name */
  struct cyc_id128 incarnation; /**< of the owner's process */
};

/** Transfer of a team's quota balance between two domains. */
struct cyc_transfer_edit
{
  struct cyc_str team;
  struct cyc_str from; /**< failure domain */
  struct cyc_str to;   /**< failure domain */
  uint64_t millicores;
  uint64_t accelerators;
  uint64_t limit_version;   /**< version of the team's item */
  uint64_t from_millicores; /**< balance of `from` before the transfer */
  uint64_t from_accelerators;
  /** Epoch of the owner of `from`; 0: not checked. If the writer dies while
   * its transfer is still on the way to the log, the transfer must not take
   * effect after the claim of the next owner, which uses the whole balance. */
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
/** Encodes chunk @p index of @p count. @p digest is that of the whole
 * snapshot; false if @p data exceeds CYC_SNAPSHOT_CHUNK_BYTES. */
bool cyc_rec_snapshot_chunk (const struct cyc_id128 *id, struct cyc_str writer,
                             uint64_t upto_offset, uint32_t index,
                             uint32_t count, const struct cyc_digest *digest,
                             struct cyc_str data, struct cyc_str *out);

/** Reads the id of an encoded record; false if the record is invalid. */
bool cyc_rec_id (struct cyc_str record, struct cyc_id128 *out);

#endif
