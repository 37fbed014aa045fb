#include "cyc_ledger_state.h"

struct led_key *
led_key_find (const struct cyc_led_state *state,
              const struct cyc_digest *digest)
{
  struct cyc_ix_probe probe = cyc_ix_probe (
      &state->key_index, cyc_ix_hash (digest->bytes, sizeof digest->bytes));

  while (cyc_ix_next (&state->key_index, &probe))
    if (cyc_digest_eq (&state->keys[probe.row].digest, digest))
      return &state->keys[probe.row];
  return NULL;
}

/* Returns the key that was withdrawn first, or NULL. Versions are unique, so
   every process finds the same key. */
static struct led_key *
oldest_withdrawn (struct cyc_led_state *state)
{
  struct led_key *oldest = NULL;

  for (uint32_t i = 0; i < state->key_count; i++)
    {
      struct led_key *key = &state->keys[i];

      if (key->withdrawn && (oldest == NULL || key->version < oldest->version))
        oldest = key;
    }
  return oldest;
}

static uint32_t
key_hash (const struct led_key *key)
{
  return cyc_ix_hash (key->digest.bytes, sizeof key->digest.bytes);
}

bool
led_key_add (struct cyc_led_state *state, const struct led_key *key)
{
  struct led_key *row = &state->keys[state->key_count];

  if (state->key_count == state->desc.max_keys)
    {
      /* Replaces the key that was withdrawn first: an unknown key is refused
         like a withdrawn one. */
      row = oldest_withdrawn (state);
      if (row == NULL)
        return false;
      cyc_ix_remove (&state->key_index, key_hash (row),
                     (uint32_t)(row - state->keys));
    }
  else
    state->key_count++;
  *row = *key;
  cyc_ix_add (&state->key_index, key_hash (row),
              (uint32_t)(row - state->keys));
  return true;
}

void
led_apply_grant (struct cyc_led_state *state, uint64_t offset,
                 const Cyc__KeyGrant *grant, struct cyc_led_effect *effect)
{
  struct led_key key = { .version = offset + 1 };
  struct led_key *known;

  if (!cyc_codec_digest (grant->digest, &key.digest)
      || !cyc_codec_name (grant->team, &key.team))
    {
      led_refuse (effect, "invalid digest or team name");
      return;
    }
  known = led_key_find (state, &key.digest);
  if (grant->base_version != (known == NULL ? 0 : known->version))
    led_refuse (effect, "the key changed after the writer read it");
  else if (known != NULL)
    *known = key;
  else if (!led_key_add (state, &key))
    led_refuse (effect, "the key table is full");
}

/* A withdrawal also takes effect if the digest is unknown or already
   withdrawn. A concurrent grant that the operator had not seen is then
   refused, because its base version is no longer current. */
void
led_apply_withdraw (struct cyc_led_state *state, uint64_t offset,
                    const Cyc__KeyWithdraw *withdraw,
                    struct cyc_led_effect *effect)
{
  struct led_key key = { .version = offset + 1, .withdrawn = true };
  struct led_key *known;

  if (!cyc_codec_digest (withdraw->digest, &key.digest))
    {
      led_refuse (effect, "invalid digest");
      return;
    }
  known = led_key_find (state, &key.digest);
  if (known != NULL)
    {
      known->withdrawn = true;
      known->version = key.version;
    }
  else if (!led_key_add (state, &key))
    led_refuse (effect, "the key table is full");
}

enum cyc_key_state
cyc_led_key (const struct cyc_ledger *led, const struct cyc_digest *digest,
             struct cyc_name *team)
{
  const struct led_key *key = led_key_find (led->state, digest);

  if (key == NULL)
    return CYC_KEY_UNKNOWN;
  if (key->withdrawn)
    return CYC_KEY_WITHDRAWN;
  if (team != NULL)
    *team = key->team;
  return CYC_KEY_VALID;
}

uint64_t
cyc_led_key_version (const struct cyc_ledger *led,
                     const struct cyc_digest *digest)
{
  const struct led_key *key = led_key_find (led->state, digest);

  return key == NULL ? 0 : key->version;
}
