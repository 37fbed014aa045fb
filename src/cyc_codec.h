/**
 * @file
 * Encoding and decoding of log records. All readers of the log streams use
 * cyc_codec_decode, so that they agree on which records are corrupt.
 */
#ifndef CYC_CODEC_H
#define CYC_CODEC_H

#include "record.pb-c.h"

#include <cyclamendrum/base.h>

/** Only schema version that is written and accepted. */
#define CYC_CODEC_SCHEMA 1

/** Decodes a record. Returns NULL and sets @p reason if the record is longer
 * than CYC_RECORD_MAX_BYTES, cannot be decoded, has an unknown schema or no
 * known body, or if its id is not 16 bytes or the writer's name is too long.
 * The result is released with cyc__record__free_unpacked. */
Cyc__Record *cyc_codec_decode (struct cyc_str record, const char **reason);
/** Packs a record into memory that the caller releases with free(); false if
 * the record is longer than CYC_RECORD_MAX_BYTES or there is no memory. */
bool cyc_codec_pack (const Cyc__Record *record, struct cyc_str *out);
/** Initialises a record with schema, id and writer. The record refers to @p id
 * and @p writer_copy, which must outlive it. False if the name of the writer
 * is too long. */
bool cyc_codec_init (Cyc__Record *record, const struct cyc_id128 *id,
                     struct cyc_str writer, struct cyc_name *writer_copy);

/** Copies an identifier; false if @p data is not exactly 16 bytes. */
bool cyc_codec_id (ProtobufCBinaryData data, struct cyc_id128 *out);
/** Copies a digest; false if @p data is not exactly 32 bytes. */
bool cyc_codec_digest (ProtobufCBinaryData data, struct cyc_digest *out);
/** Copies a protobuf string; false if it is not a valid name. */
bool cyc_codec_name (const char *text, struct cyc_name *out);
/** Wraps @p data for protobuf-c without copying it. */
ProtobufCBinaryData cyc_codec_bytes (const void *data, size_t len);

#endif
