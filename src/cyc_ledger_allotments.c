#include "cyc_ledger_state.h"

#include <inttypes.h>
#include <string.h>

/* The product of a limit and a balance needs more than 64 bits. */
typedef unsigned __int128 uint128;

void
led_divide_by_weight (uint64_t total, const uint64_t *weights, uint32_t count,
                      uint64_t *parts)
{
  uint64_t remainders[CYC_MAX_DOMAINS];
  uint64_t assigned = 0;
  uint128 sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += weights[i];
  for (uint32_t i = 0; i < count; i++)
    {
      uint128 product = (uint128)total * weights[i];

      parts[i] = sum == 0 ? 0 : (uint64_t)(product / sum);
      remainders[i] = sum == 0 ? 0 : (uint64_t)(product % sum);
      assigned += parts[i];
    }
  /* Rounding down leaves fewer units than parts, so each part gets at most one
     more. */
  for (; assigned < total && sum > 0; assigned++)
    {
      uint32_t largest = 0;

      for (uint32_t i = 1; i < count; i++)
        if (remainders[i] > remainders[largest])
          largest = i;
      parts[largest]++;
      remainders[largest] = 0;
    }
}

static void
get_weights (const struct cyc_fleet_cfg *fleet, uint64_t *weights)
{
  for (uint32_t i = 0; i < fleet->domain_count; i++)
    weights[i] = fleet->domains[i].weight;
}

/* Balances of one resource of one team, in fleet order. */
struct domain_amounts
{
  uint64_t by_domain[CYC_MAX_DOMAINS];
};

/* Divides @p total by the weights of the domains and adds each domain's part
   to its balance. */
static void
add_by_weight (const struct cyc_fleet_cfg *fleet, uint64_t total,
               struct domain_amounts *amounts)
{
  uint64_t weights[CYC_MAX_DOMAINS] = { 0 };
  uint64_t parts[CYC_MAX_DOMAINS];

  get_weights (fleet, weights);
  led_divide_by_weight (total, weights, fleet->domain_count, parts);
  for (uint32_t i = 0; i < fleet->domain_count; i++)
    amounts->by_domain[i] += parts[i];
}

/* Rearranges balances to the domains of a changed fleet. The balances of
   removed domains are divided over the remaining ones by weight. */
static void
remap_to_fleet (const struct cyc_fleet_cfg *from,
                const struct cyc_fleet_cfg *to, struct domain_amounts *amounts)
{
  struct domain_amounts remapped = { { 0 } };
  uint64_t removed_amount = 0;

  for (uint32_t i = 0; i < from->domain_count; i++)
    {
      int at
          = cyc_cfg_domain_index (to, cyc_name_str (&from->domains[i].name));

      if (at >= 0)
        remapped.by_domain[at] = amounts->by_domain[i];
      else
        removed_amount += amounts->by_domain[i];
    }
  add_by_weight (to, removed_amount, &remapped);
  *amounts = remapped;
}

/* Adjusts the balances to a new limit. An increase is divided by weight; a
   decrease reduces the balances in proportion. */
static void
change_limit (const struct cyc_fleet_cfg *fleet, uint64_t old_limit,
              uint64_t new_limit, struct domain_amounts *amounts)
{
  struct domain_amounts shrunk;

  if (new_limit > old_limit)
    add_by_weight (fleet, new_limit - old_limit, amounts);
  if (new_limit >= old_limit)
    return;
  led_divide_by_weight (new_limit, amounts->by_domain, fleet->domain_count,
                        shrunk.by_domain);
  memcpy (amounts->by_domain, shrunk.by_domain,
          fleet->domain_count * sizeof amounts->by_domain[0]);
}

static void
update_domain_amounts (const struct led_config *from,
                       const struct led_config *to, uint64_t old_limit,
                       uint64_t new_limit, struct domain_amounts *amounts)
{
  if (from->has_fleet)
    remap_to_fleet (&from->fleet, &to->fleet, amounts);
  change_limit (&to->fleet, old_limit, new_limit, amounts);
}

void
led_update_balances (const struct led_config *from, struct led_config *to)
{
  if (!to->has_fleet)
    return;
  for (uint32_t i = 0; i < to->team_count; i++)
    {
      const struct cyc_team_cfg *team = &to->teams[i];
      struct cyc_team_cfg old_team = { 0 };
      struct domain_amounts millicores = { { 0 } };
      struct domain_amounts accelerators = { { 0 } };
      int old_position = led_team_position (from, cyc_name_str (&team->name));

      if (old_position >= 0)
        old_team = from->teams[old_position];
      for (uint32_t d = 0; old_position >= 0 && d < from->fleet.domain_count;
           d++)
        {
          millicores.by_domain[d]
              = from->balances[old_position].by_domain[d].millicores;
          accelerators.by_domain[d]
              = from->balances[old_position].by_domain[d].accelerators;
        }
      update_domain_amounts (from, to, old_team.limit_millicores,
                             team->limit_millicores, &millicores);
      update_domain_amounts (from, to, old_team.limit_accelerators,
                             team->limit_accelerators, &accelerators);
      memset (&to->balances[i], 0, sizeof to->balances[i]);
      for (uint32_t d = 0; d < to->fleet.domain_count; d++)
        to->balances[i].by_domain[d]
            = (struct cyc_balance){ .millicores = millicores.by_domain[d],
                                    .accelerators
                                    = accelerators.by_domain[d] };
    }
}

struct transfer_positions
{
  int team;
  int from;
  int to;
};

static const char *
find_transfer_positions (const struct led_config *config,
                         const Cyc__Transfer *transfer,
                         struct transfer_positions *positions)
{
  if (!config->has_fleet)
    return "no fleet is configured";
  positions->team = led_team_position (config, cyc_str_of (transfer->team));
  positions->from
      = cyc_cfg_domain_index (&config->fleet, cyc_str_of (transfer->from));
  positions->to
      = cyc_cfg_domain_index (&config->fleet, cyc_str_of (transfer->to));
  if (positions->team < 0)
    return "the team does not exist";
  if (positions->from < 0 || positions->to < 0)
    return "a domain does not exist";
  if (positions->from == positions->to)
    return "source and destination are the same domain";
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
  struct transfer_positions positions;
  struct cyc_balance *from;
  struct cyc_balance *to;
  const char *defect = find_transfer_positions (config, transfer, &positions);

  if (defect != NULL)
    {
      led_refuse (effect, "%s", defect);
      return;
    }
  from = &config->balances[positions.team].by_domain[positions.from];
  to = &config->balances[positions.team].by_domain[positions.to];
  if (transfer->limit_version
      != team_version (state, &config->teams[positions.team].name))
    led_refuse (effect, "the team changed after the writer read it");
  else if (transfer->epoch != 0
           && transfer->epoch
                  != led_held_epoch (state, cyc_str_of (transfer->from)))
    led_refuse (effect, "the writer no longer owns the source domain");
  else if (transfer->from_millicores != from->millicores
           || transfer->from_accelerators != from->accelerators)
    led_refuse (effect, "the balance changed after the writer read it");
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
  return config->balances[position].by_domain[at];
}
