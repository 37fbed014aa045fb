#include "cyc_ledger_state.h"

#include <inttypes.h>
#include <string.h>

/* Compares by domain, then shard. */
static int
claim_order (const struct cyc_claim *claim, struct cyc_str domain,
             uint32_t shard)
{
  int order = cyc_str_cmp (cyc_name_str (&claim->domain), domain);

  if (order != 0)
    return order;
  return (claim->shard > shard) - (claim->shard < shard);
}

/* Returns the position of the claim, or the position to insert it at. */
static uint32_t
claim_position (const struct cyc_led_state *state, struct cyc_str domain,
                uint32_t shard, bool *found)
{
  uint32_t low = 0;
  uint32_t high = state->claim_count;

  *found = false;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      int order = claim_order (&state->claims[middle], domain, shard);

      if (order == 0)
        {
          *found = true;
          return middle;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct cyc_claim *
claim_insert (struct cyc_led_state *state, uint32_t position)
{
  if (state->claim_count == LED_MAX_CLAIMS)
    return NULL;
  memmove (&state->claims[position + 1], &state->claims[position],
           (state->claim_count - position) * sizeof state->claims[0]);
  state->claim_count++;
  return &state->claims[position];
}

void
led_apply_claim (struct cyc_led_state *state, uint64_t offset,
                 const Cyc__Claim *claim, struct cyc_led_effect *effect)
{
  struct cyc_claim row = { .shard = claim->shard,
                           .epoch = claim->epoch,
                           .renewed_offset = offset };
  bool found;
  uint32_t position;
  uint64_t current;
  struct cyc_claim *to;

  if (!cyc_codec_name (claim->domain, &row.domain)
      || !cyc_codec_name (claim->owner, &row.owner)
      || !cyc_codec_id (claim->incarnation, &row.incarnation))
    {
      led_refuse (effect, "invalid domain, owner or incarnation");
      return;
    }
  position
      = claim_position (state, cyc_name_str (&row.domain), row.shard, &found);
  current = found ? state->claims[position].epoch : 0;
  if (claim->epoch != current + 1)
    {
      led_refuse (effect, "epoch %" PRIu64 " does not follow %" PRIu64,
                  claim->epoch, current);
      return;
    }
  to = found ? &state->claims[position] : claim_insert (state, position);
  if (to == NULL)
    led_refuse (effect, "the claim table is full");
  else
    *to = row;
}

/* Returns the claim that a renewal or release refers to, or NULL if its epoch
   or owner is not current. The incarnation must match too: a restarted process
   on the same VM is a different owner. */
static struct cyc_claim *
current_claim (struct cyc_led_state *state, const char *domain, uint32_t shard,
               uint64_t epoch, const char *owner,
               ProtobufCBinaryData incarnation)
{
  bool found;
  uint32_t position
      = claim_position (state, cyc_str_of (domain), shard, &found);
  struct cyc_claim *claim = &state->claims[position];
  struct cyc_id128 id;

  if (!found || claim->released || claim->epoch != epoch
      || !cyc_str_eq (cyc_name_str (&claim->owner), cyc_str_of (owner))
      || !cyc_codec_id (incarnation, &id)
      || !cyc_id128_eq (&claim->incarnation, &id))
    return NULL;
  return claim;
}

void
led_apply_renew (struct cyc_led_state *state, uint64_t offset,
                 const Cyc__ClaimRenew *renew, struct cyc_led_effect *effect)
{
  struct cyc_claim *claim
      = current_claim (state, renew->domain, renew->shard, renew->epoch,
                       renew->owner, renew->incarnation);

  if (claim == NULL)
    led_refuse (effect, "epoch or owner is not current");
  else
    claim->renewed_offset = offset;
}

void
led_apply_release (struct cyc_led_state *state,
                   const Cyc__ClaimRelease *release,
                   struct cyc_led_effect *effect)
{
  struct cyc_claim *claim
      = current_claim (state, release->domain, release->shard, release->epoch,
                       release->owner, release->incarnation);

  if (claim == NULL)
    led_refuse (effect, "epoch or owner is not current");
  else
    claim->released = true;
}

uint64_t
led_held_epoch (const struct cyc_led_state *state, struct cyc_str domain)
{
  bool found;
  uint32_t position = claim_position (state, domain, 0, &found);

  if (!found || state->claims[position].released)
    return 0;
  return state->claims[position].epoch;
}

void
cyc_led_claim (const struct cyc_ledger *led, struct cyc_str domain,
               uint32_t shard, struct cyc_claim *out)
{
  bool found;
  uint32_t position = claim_position (led->state, domain, shard, &found);

  if (found)
    {
      *out = led->state->claims[position];
      return;
    }
  *out = (struct cyc_claim){ .shard = shard };
  cyc_name_set (&out->domain, domain);
}
