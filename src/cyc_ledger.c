#include "cyc_ledger_state.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_TEAMS 1024
#define DEFAULT_MAX_QUEUES 16384
#define DEFAULT_MAX_KEYS 16384
#define DEFAULT_MAX_RECORD_IDS 4096
#define MAX_TABLE_ROWS 1048576

static bool
config_setup (struct led_config *config, const struct cyc_led_state *state)
{
  const struct cyc_allocator *allocator = &state->desc.allocator;

  config->items
      = cyc_alloc (allocator, state->max_items, sizeof *config->items);
  config->teams
      = cyc_alloc (allocator, state->desc.max_teams, sizeof *config->teams);
  config->balances
      = cyc_alloc (allocator, state->desc.max_teams, sizeof *config->balances);
  config->queues
      = cyc_alloc (allocator, state->desc.max_queues, sizeof *config->queues);
  return config->items != NULL && config->teams != NULL
         && config->balances != NULL && config->queues != NULL;
}

static void
config_shutdown (struct led_config *config,
                 const struct cyc_allocator *allocator)
{
  cyc_release (allocator, config->items);
  cyc_release (allocator, config->teams);
  cyc_release (allocator, config->balances);
  cyc_release (allocator, config->queues);
}

static bool
indexes_setup (struct cyc_led_state *state)
{
  const struct cyc_allocator *allocator = &state->desc.allocator;

  return cyc_ix_setup (&state->item_index, state->max_items, allocator)
         && cyc_ix_setup (&state->team_index, state->desc.max_teams, allocator)
         && cyc_ix_setup (&state->queue_index, state->desc.max_queues,
                          allocator)
         && cyc_ix_setup (&state->key_index, state->desc.max_keys, allocator);
}

struct cyc_led_state *
led_state_new (const struct cyc_led_desc *desc)
{
  struct cyc_led_state *state = cyc_alloc (&desc->allocator, 1, sizeof *state);

  if (state == NULL)
    return NULL;
  state->desc = *desc;
  /* Deleted items keep their rows, so there are as many rows for them as for
     items that exist, and one for the fleet. */
  state->max_items = 2 * (desc->max_teams + desc->max_queues) + 1;
  state->keys
      = cyc_alloc (&desc->allocator, desc->max_keys, sizeof *state->keys);
  if (state->keys != NULL && config_setup (&state->config, state)
      && config_setup (&state->spare, state) && indexes_setup (state)
      && led_recent_ids_setup (&state->recent_ids, desc->max_record_ids,
                               &desc->allocator)
      && cyc_led_assembler_setup (&state->assembler, 0))
    return state;
  led_state_free (state);
  return NULL;
}

void
led_state_free (struct cyc_led_state *state)
{
  struct cyc_allocator allocator;

  if (state == NULL)
    return;
  allocator = state->desc.allocator;
  for (uint32_t i = 0; i < state->config.item_count; i++)
    cyc_release (&allocator, state->config.items[i].body);
  config_shutdown (&state->config, &allocator);
  config_shutdown (&state->spare, &allocator);
  cyc_ix_shutdown (&state->item_index);
  cyc_ix_shutdown (&state->team_index);
  cyc_ix_shutdown (&state->queue_index);
  cyc_ix_shutdown (&state->key_index);
  led_recent_ids_shutdown (&state->recent_ids, &allocator);
  cyc_led_assembler_shutdown (&state->assembler);
  cyc_release (&allocator, state->keys);
  cyc_release (&allocator, state);
}

static void
set_table_size (uint32_t *size, uint32_t default_size, const char *name,
                struct cyc_findings *findings)
{
  if (*size == 0)
    *size = default_size;
  if (*size > MAX_TABLE_ROWS)
    cyc_findings_add (findings, cyc_str_of (name), "must be at most %d",
                      MAX_TABLE_ROWS);
}

bool
cyc_led_setup (struct cyc_ledger *led, const struct cyc_led_desc *desc,
               struct cyc_findings *findings)
{
  struct cyc_led_desc filled = *desc;
  uint32_t initial_count = findings->count;

  led->state = NULL;
  set_table_size (&filled.max_teams, DEFAULT_MAX_TEAMS, "max_teams", findings);
  set_table_size (&filled.max_queues, DEFAULT_MAX_QUEUES, "max_queues",
                  findings);
  set_table_size (&filled.max_keys, DEFAULT_MAX_KEYS, "max_keys", findings);
  set_table_size (&filled.max_record_ids, DEFAULT_MAX_RECORD_IDS,
                  "max_record_ids", findings);
  if (findings->count != initial_count)
    return false;
  led->state = led_state_new (&filled);
  if (led->state == NULL)
    cyc_findings_add (findings, CYC_STR ("ledger"), "out of memory");
  return led->state != NULL;
}

void
cyc_led_shutdown (struct cyc_ledger *led)
{
  led_state_free (led->state);
  led->state = NULL;
}

void
led_refuse (struct cyc_led_effect *effect, const char *format, ...)
{
  va_list args;

  effect->result = CYC_LED_REFUSED;
  va_start (args, format);
  vsnprintf (effect->reason, sizeof effect->reason, format, args);
  va_end (args);
  /* The reason holds names from the record and is written to log lines in
     double quotes, so quotes and control characters are replaced. */
  for (char *c = effect->reason; *c != '\0'; c++)
    if (*c == '"')
      *c = '\'';
    else if ((unsigned char)*c < ' ' || *c == 0x7f)
      *c = '?';
}

bool
led_recent_ids_setup (struct led_recent_ids *recent_ids, uint32_t capacity,
                      const struct cyc_allocator *allocator)
{
  recent_ids->capacity = capacity;
  recent_ids->ids = cyc_alloc (allocator, capacity, sizeof *recent_ids->ids);
  return recent_ids->ids != NULL
         && cyc_ix_setup (&recent_ids->index, capacity, allocator);
}

void
led_recent_ids_shutdown (struct led_recent_ids *recent_ids,
                         const struct cyc_allocator *allocator)
{
  cyc_release (allocator, recent_ids->ids);
  cyc_ix_shutdown (&recent_ids->index);
}

bool
led_recent_ids_contain (const struct led_recent_ids *recent_ids,
                        const struct cyc_id128 *id)
{
  struct cyc_ix_probe probe = cyc_ix_probe (
      &recent_ids->index, cyc_ix_hash (id->bytes, sizeof id->bytes));

  while (cyc_ix_next (&recent_ids->index, &probe))
    if (cyc_id128_eq (&recent_ids->ids[probe.row], id))
      return true;
  return false;
}

void
led_recent_ids_add (struct led_recent_ids *recent_ids,
                    const struct cyc_id128 *id)
{
  uint32_t position
      = (recent_ids->first + recent_ids->count) % recent_ids->capacity;

  if (recent_ids->count == recent_ids->capacity)
    {
      const struct cyc_id128 *old = &recent_ids->ids[position];

      cyc_ix_remove (&recent_ids->index,
                     cyc_ix_hash (old->bytes, sizeof old->bytes), position);
      recent_ids->first = (recent_ids->first + 1) % recent_ids->capacity;
      recent_ids->count--;
    }
  recent_ids->ids[position] = *id;
  recent_ids->count++;
  cyc_ix_add (&recent_ids->index, cyc_ix_hash (id->bytes, sizeof id->bytes),
              position);
}

static void
apply_body (struct cyc_led_state *state, uint64_t offset,
            const Cyc__Record *record, struct cyc_led_effect *effect)
{
  switch (record->body_case)
    {
    case CYC__RECORD__BODY_CONFIG:
      effect->body = CYC_LED_BODY_CONFIG;
      led_apply_config (state, offset, record->config,
                        cyc_name_str (&effect->writer), effect);
      break;
    case CYC__RECORD__BODY_KEY_GRANT:
      effect->body = CYC_LED_BODY_KEY;
      led_apply_grant (state, offset, record->key_grant, effect);
      break;
    case CYC__RECORD__BODY_KEY_WITHDRAW:
      effect->body = CYC_LED_BODY_KEY;
      led_apply_withdraw (state, offset, record->key_withdraw, effect);
      break;
    case CYC__RECORD__BODY_CLAIM:
      effect->body = CYC_LED_BODY_CLAIM;
      led_apply_claim (state, offset, record->claim, effect);
      break;
    case CYC__RECORD__BODY_CLAIM_RENEW:
      effect->body = CYC_LED_BODY_CLAIM;
      led_apply_renew (state, offset, record->claim_renew, effect);
      break;
    case CYC__RECORD__BODY_CLAIM_RELEASE:
      effect->body = CYC_LED_BODY_CLAIM;
      led_apply_release (state, record->claim_release, effect);
      break;
    case CYC__RECORD__BODY_TRANSFER:
      effect->body = CYC_LED_BODY_TRANSFER;
      led_apply_transfer (state, record->transfer, effect);
      break;
    case CYC__RECORD__BODY_SNAPSHOT:
      effect->body = CYC_LED_BODY_SNAPSHOT;
      led_apply_chunk (state, offset, record->snapshot, effect);
      break;
    default:
      effect->result = CYC_LED_CORRUPT;
      snprintf (effect->reason, sizeof effect->reason,
                "a body of another stream");
      break;
    }
}

static void
apply_record (struct cyc_led_state *state, uint64_t offset,
              struct cyc_str bytes, struct cyc_led_effect *effect)
{
  const char *reason = NULL;
  Cyc__Record *record = cyc_codec_decode (bytes, &reason);

  if (record == NULL)
    {
      effect->result = CYC_LED_CORRUPT;
      snprintf (effect->reason, sizeof effect->reason, "%s", reason);
      return;
    }
  cyc_codec_id (record->record_id, &effect->record_id);
  cyc_name_set (&effect->writer, cyc_str_of (record->writer));
  if (led_recent_ids_contain (&state->recent_ids, &effect->record_id))
    {
      effect->result = CYC_LED_DUPLICATE;
      snprintf (effect->reason, sizeof effect->reason, "duplicate record id");
    }
  else
    {
      apply_body (state, offset, record, effect);
      if (effect->result != CYC_LED_CORRUPT)
        led_recent_ids_add (&state->recent_ids, &effect->record_id);
    }
  cyc__record__free_unpacked (record, NULL);
}

void
cyc_led_apply (struct cyc_ledger *led, uint64_t offset, struct cyc_str record,
               struct cyc_led_effect *effect)
{
  struct cyc_led_state *state = led->state;

  memset (effect, 0, sizeof *effect);
  if (offset != state->next_offset)
    {
      effect->result = CYC_LED_OUT_OF_ORDER;
      snprintf (effect->reason, sizeof effect->reason,
                "not the next offset of the stream");
      return;
    }
  if (offset == 0)
    state->complete = true;
  state->next_offset = offset + 1;
  apply_record (state, offset, record, effect);
}

uint64_t
cyc_led_next_offset (const struct cyc_ledger *led)
{
  return led->state->next_offset;
}

bool
cyc_led_complete (const struct cyc_ledger *led)
{
  return led->state->complete;
}

uint64_t
cyc_led_config_version (const struct cyc_ledger *led)
{
  return led->state->config_version;
}

const struct cyc_fleet_cfg *
cyc_led_fleet (const struct cyc_ledger *led)
{
  return led->state->config.has_fleet ? &led->state->config.fleet : NULL;
}

uint64_t
cyc_led_item_version (const struct cyc_ledger *led, struct cyc_str item)
{
  const struct led_item *row = led_item_find (led->state, item);

  return row == NULL ? 0 : row->version;
}

const struct cyc_team_cfg *
cyc_led_team (const struct cyc_ledger *led, struct cyc_str name)
{
  const struct cyc_led_state *state = led->state;
  struct cyc_ix_probe probe
      = cyc_ix_probe (&state->team_index, cyc_ix_hash (name.data, name.len));

  while (cyc_ix_next (&state->team_index, &probe))
    if (cyc_str_eq (cyc_name_str (&state->config.teams[probe.row].name), name))
      return &state->config.teams[probe.row];
  return NULL;
}

const struct cyc_queue_cfg *
cyc_led_queue (const struct cyc_ledger *led, struct cyc_str name)
{
  const struct cyc_led_state *state = led->state;
  struct cyc_ix_probe probe
      = cyc_ix_probe (&state->queue_index, cyc_ix_hash (name.data, name.len));

  while (cyc_ix_next (&state->queue_index, &probe))
    if (cyc_str_eq (cyc_name_str (&state->config.queues[probe.row].name),
                    name))
      return &state->config.queues[probe.row];
  return NULL;
}

const struct cyc_team_cfg *
cyc_led_team_at (const struct cyc_ledger *led, uint32_t position)
{
  const struct led_config *config = &led->state->config;

  return position < config->team_count ? &config->teams[position] : NULL;
}

const struct cyc_queue_cfg *
cyc_led_queue_at (const struct cyc_ledger *led, uint32_t position)
{
  const struct led_config *config = &led->state->config;

  return position < config->queue_count ? &config->queues[position] : NULL;
}

uint64_t
cyc_led_snapshot_upto_offset (const struct cyc_ledger *led)
{
  return led->state->snapshot_upto_offset;
}
