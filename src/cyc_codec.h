/**
 * @file
 * Decoding of records, shared by the tables over the log streams: one rule for
 * what counts as corrupt.
 */
#ifndef CYC_CODEC_H
#define CYC_CODEC_H

#include "record.pb-c.h"

#include <cyclamendrum/base.h>

#define CYC_CODEC_SCHEMA 1

/** Decoded record, or NULL with the reason: oversized, not decodable, unknown
 * schema, no known body, record id not 16 bytes, writer too long. Release with
 * cyc__record__free_unpacked. */
Cyc__Record *cyc_codec_decode (struct cyc_str record, const char **reason);
/** Packs a record into memory that the caller releases with free(); false when
 * it is longer than CYC_RECORD_MAX_BYTES. */
bool cyc_codec_pack (const Cyc__Record *record, struct cyc_str *out);
/** Record with id and writer set; @p writer_copy holds the writer's name. */
bool cyc_codec_init (Cyc__Record *record, const struct cyc_id128 *id,
                     struct cyc_str writer, struct cyc_name *writer_copy);

/** False when @p data is not exactly 16 (32) bytes. */
bool cyc_codec_id (ProtobufCBinaryData data, struct cyc_id128 *out);
bool cyc_codec_digest (ProtobufCBinaryData data, struct cyc_digest *out);
/** Fills @p out from a protobuf string that must be a valid name. */
bool cyc_codec_name (const char *text, struct cyc_name *out);
ProtobufCBinaryData cyc_codec_bytes (const void *data, size_t len);

#endif
