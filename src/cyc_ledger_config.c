#include "cyc_ledger_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TEAM_PREFIX CYC_STR ("team/")
#define QUEUE_PREFIX CYC_STR ("queue/")

/* A configuration change that is being checked. */
struct draft
{
  struct led_item *edits; /**< sorted by item name */
  uint32_t edit_count;
  bool positions_changed; /**< positions in the sorted arrays changed */
};

static bool
match_prefix (struct cyc_str name, struct cyc_str prefix, struct cyc_str *rest)
{
  if (name.len <= prefix.len
      || memcmp (name.data, prefix.data, prefix.len) != 0)
    return false;
  *rest = (struct cyc_str){ .data = name.data + prefix.len,
                            .len = name.len - prefix.len };
  return cyc_name_valid (*rest);
}

bool
led_item_name_parse (struct cyc_str name, struct led_parsed_name *out)
{
  *out = (struct led_parsed_name){ 0 };
  if (name.len > CYC_NAME_MAX_BYTES)
    return false;
  out->fleet = cyc_str_eq (name, CYC_STR ("fleet"));
  return out->fleet || match_prefix (name, TEAM_PREFIX, &out->team)
         || match_prefix (name, QUEUE_PREFIX, &out->queue);
}

const struct led_item *
led_item_find (const struct cyc_led_state *state, struct cyc_str name)
{
  struct cyc_ix_probe probe
      = cyc_ix_probe (&state->item_index, cyc_ix_hash (name.data, name.len));

  while (cyc_ix_next (&state->item_index, &probe))
    if (cyc_str_eq (cyc_name_str (&state->config.items[probe.row].name), name))
      return &state->config.items[probe.row];
  return NULL;
}

char *
led_copy_body (const struct cyc_led_state *state, const char *body)
{
  size_t bytes = strlen (body) + 1;
  char *copy = cyc_alloc (&state->desc.allocator, 1, bytes);

  if (copy != NULL)
    memcpy (copy, body, bytes);
  return copy;
}

static uint32_t
name_hash (const struct cyc_name *name)
{
  return cyc_ix_hash (name->data, name->len);
}

void
led_config_reindex (struct cyc_led_state *state)
{
  const struct led_config *config = &state->config;

  cyc_ix_clear (&state->item_index);
  cyc_ix_clear (&state->team_index);
  cyc_ix_clear (&state->queue_index);
  for (uint32_t i = 0; i < config->item_count; i++)
    cyc_ix_add (&state->item_index, name_hash (&config->items[i].name), i);
  for (uint32_t i = 0; i < config->team_count; i++)
    cyc_ix_add (&state->team_index, name_hash (&config->teams[i].name), i);
  for (uint32_t i = 0; i < config->queue_count; i++)
    cyc_ix_add (&state->queue_index, name_hash (&config->queues[i].name), i);
}

int
led_team_position (const struct led_config *config, struct cyc_str name)
{
  uint32_t low = 0;
  uint32_t high = config->team_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      int order
          = cyc_str_cmp (cyc_name_str (&config->teams[middle].name), name);

      if (order == 0)
        return (int)middle;
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return -1;
}

static void
check_same_name (struct cyc_str in_body, struct cyc_str in_item,
                 struct cyc_str place, struct cyc_findings *findings)
{
  if (!cyc_str_eq (in_body, in_item))
    cyc_findings_add (findings, place, "the body has another name: \"%.*s\"",
                      CYC_FMT (in_body));
}

bool
led_config_add_item (struct led_config *config, const struct led_item *item,
                     const struct cyc_led_desc *desc,
                     struct cyc_findings *findings)
{
  struct cyc_str place = cyc_name_str (&item->name);
  struct cyc_str body = cyc_str_of (item->body);
  struct led_parsed_name name;
  uint32_t initial_count = findings->count;

  if (!led_item_name_parse (place, &name))
    cyc_findings_add (findings, place, "is not an item name");
  else if (name.fleet)
    config->has_fleet
        = cyc_cfg_parse_fleet (body, place, &config->fleet, findings);
  else if (name.team.len > 0 && config->team_count == desc->max_teams)
    cyc_findings_add (findings, place, "more than %u teams", desc->max_teams);
  else if (name.team.len > 0)
    {
      struct cyc_team_cfg *team = &config->teams[config->team_count++];

      if (cyc_cfg_parse_team (body, place, team, findings))
        check_same_name (cyc_name_str (&team->name), name.team, place,
                         findings);
    }
  else if (config->queue_count == desc->max_queues)
    cyc_findings_add (findings, place, "more than %u queues",
                      desc->max_queues);
  else
    {
      struct cyc_queue_cfg *queue = &config->queues[config->queue_count++];

      if (cyc_cfg_parse_queue (body, place, queue, findings))
        check_same_name (cyc_name_str (&queue->name), name.queue, place,
                         findings);
    }
  return findings->count == initial_count;
}

bool
led_config_check (const struct led_config *config,
                  struct cyc_findings *findings)
{
  struct cyc_cfg_set set = {
    .fleet = config->has_fleet ? &config->fleet : NULL,
    .teams = config->teams,
    .team_count = config->team_count,
    .queues = config->queues,
    .queue_count = config->queue_count,
  };

  return cyc_cfg_check_set (&set, findings);
}

static int
item_order (const void *a, const void *b)
{
  const struct led_item *left = a;
  const struct led_item *right = b;

  return cyc_str_cmp (cyc_name_str (&left->name), cyc_name_str (&right->name));
}

static bool
draft_make_edit (const struct cyc_led_state *state,
                 const Cyc__ConfigItem *item, struct cyc_str writer,
                 uint64_t version, struct led_item *out,
                 struct cyc_led_effect *effect)
{
  struct cyc_str text = cyc_str_of (item->name);
  const struct led_item *current;
  struct led_parsed_name name;

  if (!led_item_name_parse (text, &name))
    {
      led_refuse (effect, "\"%.70s\" is not an item name", item->name);
      return false;
    }
  current = led_item_find (state, text);
  if (item->base_version != (current == NULL ? 0 : current->version))
    {
      cyc_name_set (&effect->conflict_item, text);
      if (current != NULL)
        {
          effect->conflict_writer = current->writer;
          effect->conflict_version = current->version;
        }
      led_refuse (effect, "%s is at version %" PRIu64 ", not %" PRIu64,
                  item->name, effect->conflict_version, item->base_version);
      return false;
    }
  if (item->deleted && (current == NULL || current->deleted))
    {
      led_refuse (effect, "%s does not exist", item->name);
      return false;
    }
  cyc_name_set (&out->name, text);
  cyc_name_set (&out->writer, writer);
  out->version = version;
  out->deleted = item->deleted;
  if (item->deleted)
    return true;
  out->body = led_copy_body (state, item->body);
  if (out->body == NULL)
    led_refuse (effect, "out of memory");
  return out->body != NULL;
}

static bool
draft_build (const struct cyc_led_state *state, uint64_t offset,
             const Cyc__ConfigChange *change, struct cyc_str writer,
             struct draft *draft, struct cyc_led_effect *effect)
{
  if (change->n_items == 0)
    {
      led_refuse (effect, "the change is empty");
      return false;
    }
  draft->edits = calloc (change->n_items, sizeof *draft->edits);
  if (draft->edits == NULL)
    {
      led_refuse (effect, "out of memory");
      return false;
    }
  for (size_t i = 0; i < change->n_items; i++)
    {
      draft->edit_count++;
      if (!draft_make_edit (state, change->items[i], writer, offset + 1,
                            &draft->edits[i], effect))
        return false;
    }
  qsort (draft->edits, draft->edit_count, sizeof *draft->edits, item_order);
  for (uint32_t i = 1; i < draft->edit_count; i++)
    if (item_order (&draft->edits[i - 1], &draft->edits[i]) == 0)
      {
        led_refuse (effect, "%s is listed twice", draft->edits[i].name.data);
        return false;
      }
  return true;
}

static void
draft_discard (const struct cyc_led_state *state, struct draft *draft)
{
  for (uint32_t i = 0; i < draft->edit_count; i++)
    cyc_release (&state->desc.allocator, draft->edits[i].body);
  free (draft->edits);
}

/* Position in the current items, and the corresponding positions in the teams
   and queues, which have the same order. */
struct cursor
{
  const struct led_config *config;
  uint32_t item;
  uint32_t team;
  uint32_t queue;
};

/* Advances past one item. Unless @p to is NULL, copies the parsed fleet, team
   or queue to it. */
static void
cursor_advance (struct cursor *cursor, struct led_config *to)
{
  const struct led_item *item = &cursor->config->items[cursor->item++];
  struct led_parsed_name name;

  if (item->deleted)
    return;
  led_item_name_parse (cyc_name_str (&item->name), &name);
  if (name.fleet)
    {
      if (to != NULL)
        to->fleet = cursor->config->fleet;
      if (to != NULL)
        to->has_fleet = true;
    }
  else if (name.team.len > 0)
    {
      if (to != NULL)
        to->teams[to->team_count++] = cursor->config->teams[cursor->team];
      cursor->team++;
    }
  else
    {
      if (to != NULL)
        to->queues[to->queue_count++] = cursor->config->queues[cursor->queue];
      cursor->queue++;
    }
}

static void
config_clear (struct led_config *config)
{
  config->item_count = 0;
  config->team_count = 0;
  config->queue_count = 0;
  config->has_fleet = false;
}

/* Merges the current items and the edits into the spare configuration, both in
   name order. */
static bool
draft_merge (struct cyc_led_state *state, struct draft *draft,
             struct cyc_findings *findings)
{
  struct led_config *to = &state->spare;
  struct cursor cursor = { .config = &state->config };
  uint32_t edit = 0;

  config_clear (to);
  while (cursor.item < state->config.item_count || edit < draft->edit_count)
    {
      const struct led_item *current_item = &state->config.items[cursor.item];
      int order = 1;

      if (cursor.item == state->config.item_count)
        order = 1;
      else if (edit == draft->edit_count)
        order = -1;
      else
        order = item_order (current_item, &draft->edits[edit]);
      if (order < 0
              ? false
              : order > 0
                    || current_item->deleted != draft->edits[edit].deleted)
        draft->positions_changed = true;
      if (to->item_count == state->max_items)
        {
          cyc_findings_add (findings, CYC_STR ("config"),
                            "the item table is full");
          return false;
        }
      if (order < 0)
        {
          to->items[to->item_count++] = *current_item;
          cursor_advance (&cursor, to);
          continue;
        }
      if (order == 0)
        cursor_advance (&cursor, NULL);
      to->items[to->item_count++] = draft->edits[edit];
      if (!draft->edits[edit].deleted)
        led_config_add_item (to, &draft->edits[edit], &state->desc, findings);
      edit++;
    }
  return findings->count == 0;
}

static void
refuse_for_findings (struct cyc_led_effect *effect,
                     const struct cyc_findings *findings)
{
  const struct cyc_finding *first = &findings->rows[0];

  if (findings->count > 1)
    led_refuse (effect, "%.60s: %.100s (and %u more)", first->place,
                first->text, findings->count - 1 + findings->dropped);
  else
    led_refuse (effect, "%.60s: %.120s", first->place, first->text);
}

/* Releases the replaced bodies and makes the spare configuration current. */
static void
draft_commit (struct cyc_led_state *state, struct draft *draft,
              uint64_t version)
{
  struct led_config old = state->config;

  for (uint32_t i = 0; i < draft->edit_count; i++)
    {
      const struct led_item *replaced
          = led_item_find (state, cyc_name_str (&draft->edits[i].name));

      if (replaced != NULL)
        cyc_release (&state->desc.allocator, replaced->body);
    }
  led_update_balances (&old, &state->spare);
  state->config = state->spare;
  state->spare = old;
  state->config_version = version;
  if (draft->positions_changed)
    led_config_reindex (state);
}

void
led_apply_config (struct cyc_led_state *state, uint64_t offset,
                  const Cyc__ConfigChange *change, struct cyc_str writer,
                  struct cyc_led_effect *effect)
{
  struct draft draft = { 0 };
  struct cyc_findings *findings = calloc (1, sizeof *findings);

  if (findings == NULL)
    {
      led_refuse (effect, "out of memory");
      return;
    }
  if (!draft_build (state, offset, change, writer, &draft, effect))
    draft_discard (state, &draft);
  else if (!draft_merge (state, &draft, findings)
           || !led_config_check (&state->spare, findings))
    {
      refuse_for_findings (effect, findings);
      draft_discard (state, &draft);
    }
  else
    {
      draft_commit (state, &draft, offset + 1);
      free (draft.edits);
    }
  free (findings);
}
