#include "cyc_codec.h"

#include <cyclamendrum/ledger.h>

#include <stdlib.h>
#include <string.h>

bool
cyc_codec_id (ProtobufCBinaryData data, struct cyc_id128 *out)
{
  if (data.len != sizeof out->bytes)
    return false;
  memcpy (out->bytes, data.data, sizeof out->bytes);
  return true;
}

bool
cyc_codec_digest (ProtobufCBinaryData data, struct cyc_digest *out)
{
  if (data.len != sizeof out->bytes)
    return false;
  memcpy (out->bytes, data.data, sizeof out->bytes);
  return true;
}

bool
cyc_codec_name (const char *text, struct cyc_name *out)
{
  struct cyc_str name = cyc_str_of (text);

  return cyc_name_valid (name) && cyc_name_set (out, name);
}

ProtobufCBinaryData
cyc_codec_bytes (const void *data, size_t len)
{
  return (ProtobufCBinaryData){ .len = len, .data = (uint8_t *)data };
}

static const char *
find_defect (const Cyc__Record *record)
{
  if (record->schema != CYC_CODEC_SCHEMA)
    return "unknown schema";
  if (record->body_case == CYC__RECORD__BODY__NOT_SET)
    return "no known body";
  if (record->record_id.len != sizeof (struct cyc_id128))
    return "record id is not 16 bytes";
  if (strlen (record->writer) > CYC_NAME_MAX_BYTES)
    return "writer name is too long";
  return NULL;
}

Cyc__Record *
cyc_codec_decode (struct cyc_str record, const char **reason)
{
  Cyc__Record *decoded;

  if (record.len > CYC_RECORD_MAX_BYTES)
    {
      *reason = "record is longer than 64 KiB";
      return NULL;
    }
  decoded
      = cyc__record__unpack (NULL, record.len, (const uint8_t *)record.data);
  *reason = decoded == NULL ? "not a record" : find_defect (decoded);
  if (*reason == NULL)
    return decoded;
  if (decoded != NULL)
    cyc__record__free_unpacked (decoded, NULL);
  return NULL;
}

bool
cyc_codec_init (Cyc__Record *record, const struct cyc_id128 *id,
                struct cyc_str writer, struct cyc_name *writer_copy)
{
  *record = (Cyc__Record)CYC__RECORD__INIT;
  if (!cyc_name_set (writer_copy, writer))
    return false;
  record->schema = CYC_CODEC_SCHEMA;
  record->record_id = cyc_codec_bytes (id->bytes, sizeof id->bytes);
  record->writer = writer_copy->data;
  return true;
}

bool
cyc_codec_pack (const Cyc__Record *record, struct cyc_str *out)
{
  size_t len = cyc__record__get_packed_size (record);
  uint8_t *data;

  *out = (struct cyc_str){ 0 };
  if (len > CYC_RECORD_MAX_BYTES)
    return false;
  data = malloc (len);
  if (data == NULL)
    return false;
  cyc__record__pack (record, data);
  *out = (struct cyc_str){ .data = (const char *)data, .len = len };
  return true;
}
