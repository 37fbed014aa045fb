#include "cyc_ledger_state.h"

#include <stdlib.h>
#include <string.h>

/* Protobuf messages of the encoding: an array of each kind and the array of
   pointers to its elements. Strings and bytes point into the state. */
struct encoding
{
  Cyc__StateItem *items;
  Cyc__StateItem **item_list;
  Cyc__StateKey *keys;
  Cyc__StateKey **key_list;
  Cyc__StateClaim *claims;
  Cyc__StateClaim **claim_list;
  Cyc__StateBalance *balances;
  Cyc__StateBalance **balance_list;
  ProtobufCBinaryData *ids;
  uint32_t *key_order;
};

static bool
encoding_setup (struct encoding *enc, const struct cyc_led_state *state,
                size_t balance_count)
{
  size_t items = state->config.item_count + (size_t)1;
  size_t keys = state->key_count + (size_t)1;
  size_t claims = state->claim_count + (size_t)1;

  enc->items = calloc (items, sizeof *enc->items);
  enc->item_list = calloc (items, sizeof (Cyc__StateItem *));
  enc->keys = calloc (keys, sizeof *enc->keys);
  enc->key_list = calloc (keys, sizeof (Cyc__StateKey *));
  enc->claims = calloc (claims, sizeof *enc->claims);
  enc->claim_list = calloc (claims, sizeof (Cyc__StateClaim *));
  enc->balances = calloc (balance_count + 1, sizeof *enc->balances);
  enc->balance_list = calloc (balance_count + 1, sizeof (Cyc__StateBalance *));
  enc->ids = calloc (state->recent_ids.count + (size_t)1, sizeof *enc->ids);
  enc->key_order = calloc (keys, sizeof *enc->key_order);
  return enc->items != NULL && enc->item_list != NULL && enc->keys != NULL
         && enc->key_list != NULL && enc->claims != NULL
         && enc->claim_list != NULL && enc->balances != NULL
         && enc->balance_list != NULL && enc->ids != NULL
         && enc->key_order != NULL;
}

static void
encoding_shutdown (struct encoding *enc)
{
  free (enc->items);
  free (enc->item_list);
  free (enc->keys);
  free (enc->key_list);
  free (enc->claims);
  free (enc->claim_list);
  free (enc->balances);
  free (enc->balance_list);
  free (enc->ids);
  free (enc->key_order);
}

static void
encode_items (struct encoding *enc, const struct led_config *config)
{
  static char none[] = "";

  for (uint32_t i = 0; i < config->item_count; i++)
    {
      struct led_item *item = &config->items[i];

      enc->items[i] = (Cyc__StateItem)CYC__STATE_ITEM__INIT;
      enc->items[i].name = item->name.data;
      enc->items[i].version = item->version;
      enc->items[i].body = item->body == NULL ? none : item->body;
      enc->items[i].writer = item->writer.data;
      enc->items[i].deleted = item->deleted;
      enc->item_list[i] = &enc->items[i];
    }
}

static int
key_order (const void *a, const void *b)
{
  const struct led_key *const *left = a;
  const struct led_key *const *right = b;

  return memcmp ((*left)->digest.bytes, (*right)->digest.bytes,
                 sizeof (*left)->digest.bytes);
}

static bool
encode_keys (struct encoding *enc, const struct cyc_led_state *state)
{
  struct led_key **sorted
      = calloc (state->key_count + (size_t)1, sizeof (struct led_key *));

  if (sorted == NULL)
    return false;
  for (uint32_t i = 0; i < state->key_count; i++)
    sorted[i] = &state->keys[i];
  qsort (sorted, state->key_count, sizeof (struct led_key *), key_order);
  for (uint32_t i = 0; i < state->key_count; i++)
    {
      enc->keys[i] = (Cyc__StateKey)CYC__STATE_KEY__INIT;
      enc->keys[i].digest = cyc_codec_bytes (sorted[i]->digest.bytes,
                                             sizeof sorted[i]->digest.bytes);
      enc->keys[i].team = sorted[i]->team.data;
      enc->keys[i].version = sorted[i]->version;
      enc->keys[i].withdrawn = sorted[i]->withdrawn;
      enc->key_list[i] = &enc->keys[i];
    }
  free (sorted);
  return true;
}

static void
encode_claims (struct encoding *enc, const struct cyc_led_state *state)
{
  for (uint32_t i = 0; i < state->claim_count; i++)
    {
      const struct cyc_claim *claim = &state->claims[i];

      enc->claims[i] = (Cyc__StateClaim)CYC__STATE_CLAIM__INIT;
      enc->claims[i].domain = (char *)claim->domain.data;
      enc->claims[i].shard = claim->shard;
      enc->claims[i].epoch = claim->epoch;
      enc->claims[i].owner = (char *)claim->owner.data;
      enc->claims[i].incarnation = cyc_codec_bytes (
          claim->incarnation.bytes, sizeof claim->incarnation.bytes);
      enc->claims[i].released = claim->released;
      enc->claims[i].renewed_offset = claim->renewed_offset;
      enc->claim_list[i] = &enc->claims[i];
    }
}

static void
encode_balances (struct encoding *enc, struct led_config *config)
{
  size_t row = 0;

  for (uint32_t t = 0; t < config->team_count; t++)
    for (uint32_t d = 0; d < config->fleet.domain_count; d++, row++)
      {
        const struct cyc_balance *balance = &config->balances[t].by_domain[d];

        enc->balances[row] = (Cyc__StateBalance)CYC__STATE_BALANCE__INIT;
        enc->balances[row].team = config->teams[t].name.data;
        enc->balances[row].domain = config->fleet.domains[d].name.data;
        enc->balances[row].millicores = balance->millicores;
        enc->balances[row].accelerators = balance->accelerators;
        enc->balance_list[row] = &enc->balances[row];
      }
}

static void
encode_recent_ids (struct encoding *enc,
                   const struct led_recent_ids *recent_ids)
{
  for (uint32_t i = 0; i < recent_ids->count; i++)
    {
      uint32_t at = (recent_ids->first + i) % recent_ids->capacity;

      enc->ids[i] = cyc_codec_bytes (recent_ids->ids[at].bytes,
                                     sizeof recent_ids->ids[at].bytes);
    }
}

static bool
pack_state (const Cyc__ControlState *message, struct cyc_str *out)
{
  size_t len = cyc__control_state__get_packed_size (message);
  uint8_t *data = malloc (len + 1);

  if (data == NULL)
    return false;
  cyc__control_state__pack (message, data);
  *out = (struct cyc_str){ .data = (const char *)data, .len = len };
  return true;
}

bool
cyc_led_encode (const struct cyc_ledger *led, struct cyc_str *out)
{
  struct cyc_led_state *state = led->state;
  Cyc__ControlState message = CYC__CONTROL_STATE__INIT;
  struct encoding enc = { 0 };
  size_t balances = state->config.has_fleet
                        ? (size_t)state->config.team_count
                              * state->config.fleet.domain_count
                        : 0;
  bool encoded
      = encoding_setup (&enc, state, balances) && encode_keys (&enc, state);

  *out = (struct cyc_str){ 0 };
  if (encoded)
    {
      encode_items (&enc, &state->config);
      encode_claims (&enc, state);
      if (state->config.has_fleet)
        encode_balances (&enc, &state->config);
      encode_recent_ids (&enc, &state->recent_ids);
      message.next_offset = state->next_offset;
      message.n_items = state->config.item_count;
      message.items = enc.item_list;
      message.n_keys = state->key_count;
      message.keys = enc.key_list;
      message.n_claims = state->claim_count;
      message.claims = enc.claim_list;
      message.n_balances = balances;
      message.balances = enc.balance_list;
      message.n_recent_record_ids = state->recent_ids.count;
      message.recent_record_ids = enc.ids;
      encoded = pack_state (&message, out);
    }
  encoding_shutdown (&enc);
  return encoded;
}

/* Decoding: each load function returns false after adding a finding. */

static bool
add_load_finding (struct cyc_findings *findings, const char *place,
                  const char *text)
{
  cyc_findings_add (findings, cyc_str_of (place), "%s", text);
  return false;
}

static bool
load_item (struct cyc_led_state *state, const Cyc__StateItem *from,
           struct cyc_findings *findings)
{
  struct led_config *config = &state->config;
  struct led_item *item = &config->items[config->item_count];
  struct led_parsed_name name;

  if (config->item_count == state->max_items)
    return add_load_finding (findings, "items", "too many");
  if (!led_item_name_parse (cyc_str_of (from->name), &name)
      || !cyc_name_set (&item->name, cyc_str_of (from->name))
      || !cyc_name_set (&item->writer, cyc_str_of (from->writer)))
    return add_load_finding (findings, "items", "invalid name or writer");
  if (config->item_count > 0
      && cyc_str_cmp (cyc_name_str (&item[-1].name),
                      cyc_name_str (&item->name))
             >= 0)
    return add_load_finding (findings, item->name.data, "is not sorted");
  if (from->version == 0 || from->version > state->next_offset)
    return add_load_finding (findings, item->name.data,
                             "has version 0 or one above the next offset");
  item->version = from->version;
  item->deleted = from->deleted;
  item->body = NULL;
  if (from->version > state->config_version)
    state->config_version = from->version;
  if (!from->deleted)
    {
      item->body = led_copy_body (state, from->body);
      if (item->body == NULL)
        return add_load_finding (findings, item->name.data, "out of memory");
    }
  config->item_count++;
  return from->deleted
         || led_config_add_item (config, item, &state->desc, findings);
}

static bool
load_key (struct cyc_led_state *state, const Cyc__StateKey *from,
          struct cyc_findings *findings)
{
  struct led_key key
      = { .version = from->version, .withdrawn = from->withdrawn };
  const struct led_key *last
      = state->key_count == 0 ? NULL : &state->keys[state->key_count - 1];

  if (!cyc_codec_digest (from->digest, &key.digest)
      || !cyc_name_set (&key.team, cyc_str_of (from->team))
      || (!key.withdrawn && !cyc_name_valid (cyc_name_str (&key.team)))
      || key.version == 0 || key.version > state->next_offset)
    return add_load_finding (findings, "keys", "invalid key");
  if (last != NULL
      && memcmp (last->digest.bytes, key.digest.bytes, sizeof key.digest.bytes)
             >= 0)
    return add_load_finding (findings, "keys", "are not sorted");
  if (!led_key_add (state, &key))
    return add_load_finding (findings, "keys", "too many");
  return true;
}

static bool
load_claim (struct cyc_led_state *state, const Cyc__StateClaim *from,
            struct cyc_findings *findings)
{
  struct cyc_claim *claim = &state->claims[state->claim_count];
  int order = -1;

  if (state->claim_count == LED_MAX_CLAIMS)
    return add_load_finding (findings, "claims", "too many");
  *claim = (struct cyc_claim){ .shard = from->shard,
                               .epoch = from->epoch,
                               .released = from->released,
                               .renewed_offset = from->renewed_offset };
  if (!cyc_codec_name (from->domain, &claim->domain)
      || !cyc_codec_name (from->owner, &claim->owner)
      || !cyc_codec_id (from->incarnation, &claim->incarnation)
      || claim->epoch == 0 || claim->renewed_offset >= state->next_offset)
    return add_load_finding (findings, "claims", "invalid claim");
  if (state->claim_count > 0)
    {
      order = cyc_str_cmp (cyc_name_str (&claim[-1].domain),
                           cyc_name_str (&claim->domain));
      if (order == 0)
        order = claim[-1].shard < claim->shard ? -1 : 1;
    }
  if (order >= 0)
    return add_load_finding (findings, "claims", "are not sorted");
  state->claim_count++;
  return true;
}

static bool
load_balances (struct cyc_led_state *state, const Cyc__ControlState *message,
               struct cyc_findings *findings)
{
  struct led_config *config = &state->config;
  uint32_t domains = config->has_fleet ? config->fleet.domain_count : 0;
  size_t row = 0;

  if (message->n_balances != (size_t)config->team_count * domains)
    return add_load_finding (findings, "balances",
                             "must be one for each team and domain");
  for (uint32_t t = 0; t < config->team_count; t++)
    {
      const struct cyc_team_cfg *team = &config->teams[t];
      struct cyc_balance sum = { 0 };

      for (uint32_t d = 0; d < domains; d++, row++)
        {
          const Cyc__StateBalance *from = message->balances[row];

          if (!cyc_str_eq (cyc_str_of (from->team), cyc_name_str (&team->name))
              || !cyc_str_eq (cyc_str_of (from->domain),
                              cyc_name_str (&config->fleet.domains[d].name))
              || from->millicores > team->limit_millicores
              || from->accelerators > team->limit_accelerators)
            return add_load_finding (findings, "balances", "invalid balance");
          config->balances[t].by_domain[d]
              = (struct cyc_balance){ from->millicores, from->accelerators };
          sum.millicores += from->millicores;
          sum.accelerators += from->accelerators;
        }
      if (sum.millicores != team->limit_millicores
          || sum.accelerators != team->limit_accelerators)
        return add_load_finding (findings, team->name.data,
                                 "balances do not add up to the limit");
    }
  return true;
}

static bool
load_recent_ids (struct cyc_led_state *state, const Cyc__ControlState *message,
                 struct cyc_findings *findings)
{
  struct cyc_id128 id;

  if (message->n_recent_record_ids > state->recent_ids.capacity)
    return add_load_finding (findings, "recent_record_ids", "too many");
  for (size_t i = 0; i < message->n_recent_record_ids; i++)
    {
      if (!cyc_codec_id (message->recent_record_ids[i], &id)
          || led_recent_ids_contain (&state->recent_ids, &id))
        return add_load_finding (findings, "recent_record_ids",
                                 "invalid or repeated id");
      led_recent_ids_add (&state->recent_ids, &id);
    }
  return true;
}

static bool
load_state (struct cyc_led_state *state, const Cyc__ControlState *message,
            struct cyc_findings *findings)
{
  bool valid = true;

  state->next_offset = message->next_offset;
  state->complete = true;
  for (size_t i = 0; valid && i < message->n_items; i++)
    valid = load_item (state, message->items[i], findings);
  valid = valid && led_config_check (&state->config, findings);
  for (size_t i = 0; valid && i < message->n_keys; i++)
    valid = load_key (state, message->keys[i], findings);
  for (size_t i = 0; valid && i < message->n_claims; i++)
    valid = load_claim (state, message->claims[i], findings);
  if (!valid || !load_balances (state, message, findings)
      || !load_recent_ids (state, message, findings))
    return false;
  led_config_reindex (state);
  return true;
}

bool
cyc_led_load (struct cyc_ledger *led, struct cyc_str encoded,
              struct cyc_findings *findings)
{
  Cyc__ControlState *message = cyc__control_state__unpack (
      NULL, encoded.len, (const uint8_t *)encoded.data);
  struct cyc_led_state *fresh = NULL;
  bool loaded = false;

  if (message == NULL)
    return add_load_finding (findings, "snapshot", "cannot be decoded");
  fresh = led_state_new (&led->state->desc);
  if (fresh == NULL)
    add_load_finding (findings, "snapshot", "out of memory");
  else if (load_state (fresh, message, findings))
    {
      fresh->snapshot_upto_offset = led->state->snapshot_upto_offset;
      led_state_free (led->state);
      led->state = fresh;
      loaded = true;
    }
  else
    led_state_free (fresh);
  cyc__control_state__free_unpacked (message, NULL);
  return loaded;
}
