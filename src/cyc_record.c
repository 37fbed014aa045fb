#include "cyc_codec.h"

#include <cyclamendrum/ledger.h>
#include <cyclamendrum/record.h>

#include <stdlib.h>
#include <string.h>

bool
cyc_rec_id (struct cyc_str record, struct cyc_id128 *out)
{
  const char *reason = NULL;
  Cyc__Record *decoded = cyc_codec_decode (record, &reason);
  bool valid;

  if (decoded == NULL)
    return false;
  valid = cyc_codec_id (decoded->record_id, out);
  cyc__record__free_unpacked (decoded, NULL);
  return valid;
}

/* Returns a NUL-terminated copy: protobuf-c requires terminated strings, but
   those of the callers need not be. */
static char *
copy_text (struct cyc_str text)
{
  char *copy = malloc (text.len + 1);

  if (copy == NULL)
    return NULL;
  if (text.len > 0)
    memcpy (copy, text.data, text.len);
  copy[text.len] = '\0';
  return copy;
}

static bool
fill_item (Cyc__ConfigItem *item, const struct cyc_config_edit *edit)
{
  *item = (Cyc__ConfigItem)CYC__CONFIG_ITEM__INIT;
  item->base_version = edit->base_version;
  item->deleted = edit->deleted;
  item->name = copy_text (edit->name);
  item->body = copy_text (edit->body);
  return item->name != NULL && item->body != NULL;
}

bool
cyc_rec_config (const struct cyc_id128 *id, struct cyc_str writer,
                const struct cyc_config_edit *edits, uint32_t count,
                struct cyc_str *out)
{
  Cyc__Record record;
  Cyc__ConfigChange change = CYC__CONFIG_CHANGE__INIT;
  struct cyc_name writer_copy;
  Cyc__ConfigItem *items = calloc (count + 1, sizeof *items);
  Cyc__ConfigItem **list = calloc (count + 1, sizeof (Cyc__ConfigItem *));
  bool ok = items != NULL && list != NULL
            && cyc_codec_init (&record, id, writer, &writer_copy);

  for (uint32_t i = 0; ok && i < count; i++)
    {
      ok = fill_item (&items[i], &edits[i]);
      list[i] = &items[i];
    }
  if (ok)
    {
      change.items = list;
      change.n_items = count;
      record.body_case = CYC__RECORD__BODY_CONFIG;
      record.config = &change;
      ok = cyc_codec_pack (&record, out);
    }
  for (uint32_t i = 0; items != NULL && i < count; i++)
    {
      free (items[i].name);
      free (items[i].body);
    }
  free (items);
  free (list);
  return ok;
}

bool
cyc_rec_key_grant (const struct cyc_id128 *id, struct cyc_str writer,
                   const struct cyc_digest *digest, struct cyc_str team,
                   uint64_t base_version, struct cyc_str *out)
{
  Cyc__Record record;
  Cyc__KeyGrant grant = CYC__KEY_GRANT__INIT;
  struct cyc_name writer_copy;
  struct cyc_name team_copy;

  if (!cyc_name_set (&team_copy, team)
      || !cyc_codec_init (&record, id, writer, &writer_copy))
    return false;
  grant.digest = cyc_codec_bytes (digest->bytes, sizeof digest->bytes);
  grant.team = team_copy.data;
  grant.base_version = base_version;
  record.body_case = CYC__RECORD__BODY_KEY_GRANT;
  record.key_grant = &grant;
  return cyc_codec_pack (&record, out);
}

bool
cyc_rec_key_withdraw (const struct cyc_id128 *id, struct cyc_str writer,
                      const struct cyc_digest *digest, struct cyc_str *out)
{
  Cyc__Record record;
  Cyc__KeyWithdraw withdraw = CYC__KEY_WITHDRAW__INIT;
  struct cyc_name writer_copy;

  if (!cyc_codec_init (&record, id, writer, &writer_copy))
    return false;
  withdraw.digest = cyc_codec_bytes (digest->bytes, sizeof digest->bytes);
  record.body_case = CYC__RECORD__BODY_KEY_WITHDRAW;
  record.key_withdraw = &withdraw;
  return cyc_codec_pack (&record, out);
}

/* The messages for claim, renewal and release have the same members, but are
   different C types. */
#define FILL_CLAIM(message)                                                   \
  do                                                                          \
    {                                                                         \
      (message).domain = domain.data;                                         \
      (message).shard = edit->shard;                                          \
      (message).epoch = edit->epoch;                                          \
      (message).owner = owner.data;                                           \
      (message).incarnation = cyc_codec_bytes (                               \
          edit->incarnation.bytes, sizeof edit->incarnation.bytes);           \
    }                                                                         \
  while (0)

bool
cyc_rec_claim (const struct cyc_id128 *id, struct cyc_str writer,
               const struct cyc_claim_edit *edit, struct cyc_str *out)
{
  Cyc__Record record;
  Cyc__Claim claim = CYC__CLAIM__INIT;
  Cyc__ClaimRenew renew = CYC__CLAIM_RENEW__INIT;
  Cyc__ClaimRelease release = CYC__CLAIM_RELEASE__INIT;
  struct cyc_name writer_copy;
  struct cyc_name domain;
  struct cyc_name owner;

  if (!cyc_name_set (&domain, edit->domain)
      || !cyc_name_set (&owner, edit->owner)
      || !cyc_codec_init (&record, id, writer, &writer_copy))
    return false;
  FILL_CLAIM (claim);
  FILL_CLAIM (renew);
  FILL_CLAIM (release);
  switch (edit->step)
    {
    case CYC_CLAIM_TAKE:
      record.body_case = CYC__RECORD__BODY_CLAIM;
      record.claim = &claim;
      break;
    case CYC_CLAIM_RENEW:
      record.body_case = CYC__RECORD__BODY_CLAIM_RENEW;
      record.claim_renew = &renew;
      break;
    case CYC_CLAIM_RELEASE:
      record.body_case = CYC__RECORD__BODY_CLAIM_RELEASE;
      record.claim_release = &release;
      break;
    }
  return cyc_codec_pack (&record, out);
}

bool
cyc_rec_transfer (const struct cyc_id128 *id, struct cyc_str writer,
                  const struct cyc_transfer_edit *edit, struct cyc_str *out)
{
  Cyc__Record record;
  Cyc__Transfer transfer = CYC__TRANSFER__INIT;
  struct cyc_name writer_copy;
  struct cyc_name team;
  struct cyc_name from;
  struct cyc_name to;

  if (!cyc_name_set (&team, edit->team) || !cyc_name_set (&from, edit->from)
      || !cyc_name_set (&to, edit->to)
      || !cyc_codec_init (&record, id, writer, &writer_copy))
    return false;
  transfer.team = team.data;
  transfer.from = from.data;
  transfer.to = to.data;
  transfer.millicores = edit->millicores;
  transfer.accelerators = edit->accelerators;
  transfer.limit_version = edit->limit_version;
  transfer.from_millicores = edit->from_millicores;
  transfer.from_accelerators = edit->from_accelerators;
  transfer.epoch = edit->epoch;
  record.body_case = CYC__RECORD__BODY_TRANSFER;
  record.transfer = &transfer;
  return cyc_codec_pack (&record, out);
}

bool
cyc_rec_snapshot_chunk (const struct cyc_id128 *id, struct cyc_str writer,
                        uint64_t upto_offset, uint32_t index, uint32_t count,
                        const struct cyc_digest *digest, struct cyc_str data,
                        struct cyc_str *out)
{
  Cyc__Record record;
  Cyc__SnapshotChunk chunk = CYC__SNAPSHOT_CHUNK__INIT;
  struct cyc_name writer_copy;

  if (data.len > CYC_SNAPSHOT_CHUNK_BYTES
      || !cyc_codec_init (&record, id, writer, &writer_copy))
    return false;
  chunk.upto_offset = upto_offset;
  chunk.index = index;
  chunk.count = count;
  chunk.digest = cyc_codec_bytes (digest->bytes, sizeof digest->bytes);
  chunk.data = cyc_codec_bytes (data.data, data.len);
  record.body_case = CYC__RECORD__BODY_SNAPSHOT;
  record.snapshot = &chunk;
  return cyc_codec_pack (&record, out);
}
