/**
 * @file
 * Hash indexes, linked lists and arithmetic on resources.
 */
#include "cyc_core_internal.h"

#include <assert.h>
#include <math.h>
#include <xxhash.h>

#define MAP_EMPTY UINT32_MAX

static uint32_t
map_slot (const struct core_map *map, uint64_t key)
{
  return (uint32_t)((key * UINT64_C (0x9E3779B97F4A7C15)) >> 32) & map->mask;
}

bool
core_map_setup (struct core_map *map, uint32_t rows,
                const struct cyc_allocator *allocator)
{
  uint32_t slots = 16;

  while (slots < rows * 2)
    slots *= 2;
  map->mask = slots - 1;
  map->keys = cyc_alloc (allocator, slots, sizeof *map->keys);
  map->values = cyc_alloc (allocator, slots, sizeof *map->values);
  if (map->keys == NULL || map->values == NULL)
    return false;
  for (uint32_t i = 0; i < slots; i++)
    map->values[i] = MAP_EMPTY;
  return true;
}

void
core_map_shutdown (struct core_map *map, const struct cyc_allocator *allocator)
{
  cyc_release (allocator, map->keys);
  cyc_release (allocator, map->values);
}

static uint32_t
map_find (const struct core_map *map, uint64_t key)
{
  uint32_t slot = map_slot (map, key);

  while (map->values[slot] != MAP_EMPTY && map->keys[slot] != key)
    slot = (slot + 1) & map->mask;
  return slot;
}

uint32_t
core_map_get (const struct core_map *map, uint64_t key)
{
  return map->values[map_find (map, key)];
}

void
core_map_put (struct core_map *map, uint64_t key, uint32_t value)
{
  uint32_t slot = map_find (map, key);

  map->keys[slot] = key;
  map->values[slot] = value;
}

/* Moves later entries of the probe sequence back, so no tombstones are
 * needed. */
void
core_map_remove (struct core_map *map, uint64_t key)
{
  uint32_t gap = map_find (map, key);
  uint32_t slot = gap;

  if (map->values[gap] == MAP_EMPTY)
    return;
  for (;;)
    {
      uint32_t home;

      slot = (slot + 1) & map->mask;
      if (map->values[slot] == MAP_EMPTY)
        break;
      home = map_slot (map, map->keys[slot]);
      if (((slot - home) & map->mask) < ((slot - gap) & map->mask))
        continue;
      map->keys[gap] = map->keys[slot];
      map->values[gap] = map->values[slot];
      gap = slot;
    }
  map->values[gap] = MAP_EMPTY;
}

uint64_t
core_hash (struct cyc_str text)
{
  return XXH3_64bits (text.data, text.len);
}

static struct core_link *
link_of (struct core_link_array rows, uint32_t row)
{
  return (struct core_link *)(void *)(rows.first + rows.stride * row);
}

void
core_list_init (struct core_list *list)
{
  *list = (struct core_list){ .head = CORE_NONE, .tail = CORE_NONE };
}

void
core_list_append (struct core_list *list, struct core_link_array rows,
                  uint32_t row)
{
  *link_of (rows, row)
      = (struct core_link){ .prev = list->tail, .next = CORE_NONE };
  if (list->tail == CORE_NONE)
    list->head = row;
  else
    link_of (rows, list->tail)->next = row;
  list->tail = row;
  list->count++;
}

void
core_list_remove (struct core_list *list, struct core_link_array rows,
                  uint32_t row)
{
  struct core_link link = *link_of (rows, row);

  assert (list->count > 0);
  if (link.prev == CORE_NONE)
    list->head = link.next;
  else
    link_of (rows, link.prev)->next = link.next;
  if (link.next == CORE_NONE)
    list->tail = link.prev;
  else
    link_of (rows, link.next)->prev = link.prev;
  list->count--;
}

uint32_t
core_list_next (struct core_link_array rows, uint32_t row)
{
  return link_of (rows, row)->next;
}

struct cyc_resources
core_res_add (struct cyc_resources a, struct cyc_resources b)
{
  return (struct cyc_resources){ a.millicores + b.millicores,
                                 a.memory_mib + b.memory_mib,
                                 a.accelerators + b.accelerators };
}

static uint32_t
sub_saturating (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

static uint32_t
max_u32 (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

struct cyc_resources
core_res_sub (struct cyc_resources a, struct cyc_resources b)
{
  return (
      struct cyc_resources){ sub_saturating (a.millicores, b.millicores),
                             sub_saturating (a.memory_mib, b.memory_mib),
                             sub_saturating (a.accelerators, b.accelerators) };
}

struct cyc_resources
core_res_max (struct cyc_resources a, struct cyc_resources b)
{
  return (struct cyc_resources){ max_u32 (a.millicores, b.millicores),
                                 max_u32 (a.memory_mib, b.memory_mib),
                                 max_u32 (a.accelerators, b.accelerators) };
}

bool
core_res_fits (struct cyc_resources need, struct cyc_resources free)
{
  return need.millicores <= free.millicores
         && need.memory_mib <= free.memory_mib
         && need.accelerators <= free.accelerators;
}

struct core_need
core_need_add (struct core_need a, struct core_need b)
{
  return (struct core_need){ core_res_add (a.mean, b.mean),
                             a.millicores_variance + b.millicores_variance,
                             a.memory_variance + b.memory_variance };
}

static uint64_t
sub_saturating_u64 (uint64_t a, uint64_t b)
{
  return a > b ? a - b : 0;
}

struct core_need
core_need_sub (struct core_need a, struct core_need b)
{
  return (struct core_need){
    core_res_sub (a.mean, b.mean),
    sub_saturating_u64 (a.millicores_variance, b.millicores_variance),
    sub_saturating_u64 (a.memory_variance, b.memory_variance)
  };
}

/* A sum over many tasks is nearly normally distributed; its 95th percentile is
 * 1.645 standard deviations above the mean. */
struct cyc_resources
core_need_estimate (struct core_need need)
{
  struct cyc_resources out = need.mean;

  out.millicores
      += (uint32_t)(1.645 * sqrt ((double)need.millicores_variance));
  out.memory_mib += (uint32_t)(1.645 * sqrt ((double)need.memory_variance));
  return out;
}
