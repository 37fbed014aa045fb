#include "cyc_ledger_state.h"

#include <inttypes.h>
#include <string.h>

/* GNU C type: a limit times a balance needs more than 64 bits. */
typedef unsigned __int128 wide;

void
led_divide (uint64_t total, const uint64_t *weights, uint32_t count,
            uint64_t *parts)
{
  uint64_t rests[CYC_MAX_DOMAINS];
  uint64_t given = 0;
  wide sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += weights[i];
  for (uint32_t i = 0; i < count; i++)
    {
      wide product = (wide)total * weights[i];

      parts[i] = sum == 0 ? 0 : (uint64_t)(product / sum);
      rests[i] = sum == 0 ? 0 : (uint64_t)(product % sum);
      given += parts[i];
    }
  /* Fewer units are left over than there are parts. */
  for (; given < total && sum > 0; given++)
    {
      uint32_t most = 0;

      for (uint32_t i = 1; i < count; i++)
        if (rests[i] > rests[most])
          most = i;
      parts[most]++;
      rests[most] = 0;
    }
}

static void
weights_of (const struct cyc_fleet_cfg *fleet, uint64_t *weights)
{
  for (uint32_t i = 0; i < fleet->domain_count; i++)
    weights[i] = fleet->domains[i].weight;
}

/* Balances of one resource of one team, in the order of the fleet. */
struct column
{
  uint64_t at[CYC_MAX_DOMAINS];
};

/* Adds the part of each domain in @p total by the weights of the fleet. */
static void
add_by_weight (const struct cyc_fleet_cfg *fleet, uint64_t total,
               struct column *column)
{
  uint64_t weights[CYC_MAX_DOMAINS] = { 0 };
  uint64_t parts[CYC_MAX_DOMAINS];

  weights_of (fleet, weights);
  led_divide (total, weights, fleet->domain_count, parts);
  for (uint32_t i = 0; i < fleet->domain_count; i++)
    column->at[i] += parts[i];
}

/* Moves balances to the domains of another fleet: what domains that are gone
   held is divided over the remaining ones by weight. */
static void
move_to_fleet (const struct cyc_fleet_cfg *from,
               const struct cyc_fleet_cfg *to, struct column *column)
{
  struct column moved = { { 0 } };
  uint64_t orphaned = 0;

  for (uint32_t i = 0; i < from->domain_count; i++)
    {
      int at
          = cyc_cfg_domain_index (to, cyc_name_str (&from->domains[i].name));

      if (at >= 0)
        moved.at[at] = column->at[i];
      else
        orphaned += column->at[i];
    }
  add_by_weight (to, orphaned, &moved);
  *column = moved;
}

static void
change_limit (const struct cyc_fleet_cfg *fleet, uint64_t before,
              uint64_t after, struct column *column)
{
  struct column shrunk;

  if (after > before)
    add_by_weight (fleet, after - before, column);
  if (after >= before)
    return;
  led_divide (after, column->at, fleet->domain_count, shrunk.at);
  memcpy (column->at, shrunk.at, fleet->domain_count * sizeof column->at[0]);
}

static void
allot_column (const struct led_config *from, const struct led_config *to,
              uint64_t before, uint64_t after, struct column *column)
{
  if (from->has_fleet)
    move_to_fleet (&from->fleet, &to->fleet, column);
  change_limit (&to->fleet, before, after, column);
}

void
led_allot (const struct led_config *from, struct led_config *to)
{
  if (!to->has_fleet)
    return;
  for (uint32_t i = 0; i < to->team_count; i++)
    {
      const struct cyc_team_cfg *team = &to->teams[i];
      struct cyc_team_cfg before = { 0 };
      struct column millicores = { { 0 } };
      struct column accelerators = { { 0 } };
      int old = led_team_position (from, cyc_name_str (&team->name));

      if (old >= 0)
        before = from->teams[old];
      for (uint32_t d = 0; old >= 0 && d < from->fleet.domain_count; d++)
        {
          millicores.at[d] = from->balances[old].at[d].millicores;
          accelerators.at[d] = from->balances[old].at[d].accelerators;
        }
      allot_column (from, to, before.limit_millicores, team->limit_millicores,
                    &millicores);
      allot_column (from, to, before.limit_accelerators,
                    team->limit_accelerators, &accelerators);
      memset (&to->balances[i], 0, sizeof to->balances[i]);
      for (uint32_t d = 0; d < to->fleet.domain_count; d++)
        to->balances[i].at[d]
            = (struct cyc_balance){ .millicores = millicores.at[d],
                                    .accelerators = accelerators.at[d] };
    }
}

struct transfer_place
{
  int team;
  int from;
  int to;
};

static const char *
find_place (const struct led_config *config, const Cyc__Transfer *transfer,
            struct transfer_place *place)
{
  if (!config->has_fleet)
    return "there is no fleet";
  place->team = led_team_position (config, cyc_str_of (transfer->team));
  place->from
      = cyc_cfg_domain_index (&config->fleet, cyc_str_of (transfer->from));
  place->to = cyc_cfg_domain_index (&config->fleet, cyc_str_of (transfer->to));
  if (place->team < 0)
    return "the team does not exist";
  if (place->from < 0 || place->to < 0)
    return "a domain does not exist";
  if (place->from == place->to)
    return "both domains are the same";
  return NULL;
}

static uint64_t
team_version (const struct cyc_led_state *state, const struct cyc_name *team)
{
  char name[sizeof "team/" + CYC_NAME_MAX_BYTES] = "team/";
  const struct led_item *item;

  memcpy (name + 5, team->data, team->len);
  item = led_item_find (
      state, (struct cyc_str){ .data = name, .len = team->len + 5U });
  return item == NULL ? 0 : item->version;
}

void
led_apply_transfer (struct cyc_led_state *state, const Cyc__Transfer *transfer,
                    struct cyc_led_effect *effect)
{
  struct led_config *config = &state->config;
  struct transfer_place place;
  struct cyc_balance *from;
  struct cyc_balance *to;
  const char *defect = find_place (config, transfer, &place);

  if (defect != NULL)
    {
      led_refuse (effect, "%s", defect);
      return;
    }
  from = &config->balances[place.team].at[place.from];
  to = &config->balances[place.team].at[place.to];
  if (transfer->limit_version
      != team_version (state, &config->teams[place.team].name))
    led_refuse (effect, "the team was changed since it was read");
  else if (transfer->epoch != 0
           && transfer->epoch
                  != led_held_epoch (state, cyc_str_of (transfer->from)))
    led_refuse (effect, "the writer does not own the domain any more");
  else if (transfer->from_millicores != from->millicores
           || transfer->from_accelerators != from->accelerators)
    led_refuse (effect, "the balance was changed since it was read");
  else if (transfer->millicores > from->millicores
           || transfer->accelerators > from->accelerators)
    led_refuse (effect, "the amount exceeds the balance");
  else if (transfer->millicores == 0 && transfer->accelerators == 0)
    led_refuse (effect, "the amount is 0");
  else
    {
      from->millicores -= transfer->millicores;
      from->accelerators -= transfer->accelerators;
      to->millicores += transfer->millicores;
      to->accelerators += transfer->accelerators;
    }
}

struct cyc_balance
cyc_led_balance (const struct cyc_ledger *led, struct cyc_str team,
                 struct cyc_str domain)
{
  const struct led_config *config = &led->state->config;
  int position = led_team_position (config, team);
  int at
      = config->has_fleet ? cyc_cfg_domain_index (&config->fleet, domain) : -1;

  if (position < 0 || at < 0)
    return (struct cyc_balance){ 0 };
  return config->balances[position].at[at];
}
