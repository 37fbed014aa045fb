#include <cyclamendrum/member.h>

#include <string.h>
#include <xxhash.h>

#define DEFAULT_MAX_VMS 16384
#define DEFAULT_SUSPECT_MS 3500
#define DEFAULT_DEAD_MS 10000
#define DEFAULT_RECOVERY_HEARTBEATS 2
#define DEFAULT_REMOVE_AFTER_MS 900000
#define US_PER_MS 1000

struct mem_entry
{
  struct cyc_mem_row row;
  struct cyc_mem_vm listed_vm; /* newest list entry; its address may differ
                                  from that of row */
  uint64_t last_listed_us;     /* when a list last named the VM */
  uint32_t recovery_heartbeat_count;
  bool leaving_by_list;
  bool leaving_by_heartbeat;
  bool leaving_by_report;
  bool reported; /* as CYC_MEM_ADDED to the caller of the tick */
  bool has_unreported_change;
  uint32_t next; /* in the chain of its bucket: index + 1; 0: end */
};

struct cyc_mem_state
{
  struct cyc_mem_desc desc;
  struct cyc_pool pool;
  struct mem_entry *entries;
  uint32_t *buckets; /* heads of the chains: index + 1; 0: empty */
  uint32_t bucket_mask;
};

static uint32_t
bucket_of (const struct cyc_mem_state *state, struct cyc_str name)
{
  return (uint32_t)XXH64 (name.data, name.len, 0) & state->bucket_mask;
}

static void
apply_defaults (struct cyc_mem_desc *desc)
{
  if (desc->max_vms == 0)
    desc->max_vms = DEFAULT_MAX_VMS;
  if (desc->suspect_ms == 0)
    desc->suspect_ms = DEFAULT_SUSPECT_MS;
  if (desc->dead_ms == 0)
    desc->dead_ms = DEFAULT_DEAD_MS;
  if (desc->recovery_heartbeats == 0)
    desc->recovery_heartbeats = DEFAULT_RECOVERY_HEARTBEATS;
  if (desc->remove_after_ms == 0)
    desc->remove_after_ms = DEFAULT_REMOVE_AFTER_MS;
}

bool
cyc_mem_setup (struct cyc_members *mem, const struct cyc_mem_desc *desc,
               struct cyc_findings *findings)
{
  struct cyc_mem_state *state = cyc_alloc (&desc->allocator, 1, sizeof *state);
  uint32_t bucket_count = 16;

  mem->state = state;
  if (state == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("member"), "out of memory");
      return false;
    }
  state->desc = *desc;
  apply_defaults (&state->desc);
  while (bucket_count < state->desc.max_vms)
    bucket_count *= 2;
  state->bucket_mask = bucket_count - 1;
  state->buckets
      = cyc_alloc (&desc->allocator, bucket_count, sizeof *state->buckets);
  state->entries = cyc_alloc (&desc->allocator, state->desc.max_vms,
                              sizeof *state->entries);
  if (state->desc.suspect_ms >= state->desc.dead_ms)
    cyc_findings_add (findings, CYC_STR ("cyc_mem_desc.suspect_ms"),
                      "must be smaller than dead_ms");
  else if (state->buckets != NULL && state->entries != NULL
           && cyc_pool_setup (&state->pool, state->desc.max_vms,
                              &desc->allocator))
    return true;
  else
    cyc_findings_add (findings, CYC_STR ("member"), "out of memory");
  cyc_mem_shutdown (mem);
  return false;
}

void
cyc_mem_shutdown (struct cyc_members *mem)
{
  struct cyc_allocator allocator;

  if (mem->state == NULL)
    return;
  allocator = mem->state->desc.allocator;
  cyc_release (&allocator, mem->state->buckets);
  cyc_release (&allocator, mem->state->entries);
  cyc_pool_shutdown (&mem->state->pool);
  cyc_release (&allocator, mem->state);
  mem->state = NULL;
}

struct cyc_ref
cyc_mem_find (const struct cyc_members *mem, struct cyc_str name)
{
  const struct cyc_mem_state *state = mem->state;
  uint32_t link = state->buckets[bucket_of (state, name)];

  while (link != 0)
    {
      const struct mem_entry *entry = &state->entries[link - 1];

      if (cyc_str_eq (cyc_name_str (&entry->row.vm.name), name))
        return cyc_pool_ref_at (&state->pool, link - 1);
      link = entry->next;
    }
  return (struct cyc_ref){ 0 };
}

static bool
address_in_use (const struct cyc_mem_state *state, const char *address,
                uint32_t except)
{
  for (uint32_t i = 0; i < state->pool.high; i++)
    if (i != except && cyc_pool_used_at (&state->pool, i)
        && strcmp (state->entries[i].row.vm.address, address) == 0)
      return true;
  return false;
}

static struct cyc_ref
add_vm (struct cyc_mem_state *state, const struct cyc_mem_vm *vm)
{
  struct cyc_ref none = { 0 };
  struct cyc_ref ref;
  struct mem_entry *entry;
  uint32_t bucket = bucket_of (state, cyc_name_str (&vm->name));

  if (address_in_use (state, vm->address, UINT32_MAX))
    return none;
  ref = cyc_pool_take (&state->pool);
  if (ref.generation == 0)
    return none;
  entry = &state->entries[ref.index];
  memset (entry, 0, sizeof *entry);
  entry->row.vm = *vm;
  entry->next = state->buckets[bucket];
  state->buckets[bucket] = ref.index + 1;
  return ref;
}

/* Applies a list entry. The listed capacity takes effect at once, the address
   only once the VM does not answer at the old one (see adopt_listed_address).
 */
static void
merge_listed_vm (struct mem_entry *entry, const struct cyc_mem_vm *vm,
                 uint64_t now_us)
{
  struct cyc_mem_vm merged = *vm;

  memcpy (merged.address, entry->row.vm.address, sizeof merged.address);
  if (memcmp (&merged.capacity, &entry->row.vm.capacity,
              sizeof merged.capacity)
          != 0
      || merged.slots != entry->row.vm.slots
      || merged.connections != entry->row.vm.connections
      || !cyc_name_eq (&merged.rack, &entry->row.vm.rack))
    entry->has_unreported_change = true;
  entry->listed_vm = *vm;
  entry->row.vm = merged;
  entry->row.listed = true;
  entry->last_listed_us = now_us;
  entry->leaving_by_list = vm->leaving;
}

void
cyc_mem_list_begin (struct cyc_members *mem)
{
  struct cyc_mem_state *state = mem->state;

  for (uint32_t i = 0; i < state->pool.high; i++)
    state->entries[i].row.listed = false;
}

struct cyc_ref
cyc_mem_list_vm (struct cyc_members *mem, const struct cyc_mem_vm *vm,
                 uint64_t now_us)
{
  struct cyc_ref ref = cyc_mem_find (mem, cyc_name_str (&vm->name));

  if (ref.generation == 0)
    ref = add_vm (mem->state, vm);
  if (ref.generation != 0)
    merge_listed_vm (&mem->state->entries[ref.index], vm, now_us);
  return ref;
}

void
cyc_mem_list_end (struct cyc_members *mem)
{
  struct cyc_mem_state *state = mem->state;

  /* The leaving mark of the last list that named the VM stays in force: a VM
     that is no longer listed does not stop leaving because of that. */
  for (uint32_t i = 0; i < state->pool.high; i++)
    if (cyc_pool_used_at (&state->pool, i) && !state->entries[i].row.listed)
      state->entries[i].listed_vm = state->entries[i].row.vm;
}

void
cyc_mem_heartbeat (struct cyc_members *mem, struct cyc_ref ref, bool draining,
                   uint64_t now_us)
{
  struct mem_entry *entry;

  if (!cyc_pool_live (&mem->state->pool, ref))
    return;
  entry = &mem->state->entries[ref.index];
  entry->row.last_answer_us = now_us;
  entry->leaving_by_heartbeat = draining;
  if (!draining && !entry->leaving_by_list)
    entry->leaving_by_report = false;
  if (entry->row.health == CYC_MEM_ALIVE)
    return;
  entry->recovery_heartbeat_count++;
  if (entry->row.health == CYC_MEM_NEW
      || entry->recovery_heartbeat_count
             >= mem->state->desc.recovery_heartbeats)
    {
      entry->row.health = CYC_MEM_ALIVE;
      entry->has_unreported_change = true;
    }
}

void
cyc_mem_report_leaving (struct cyc_members *mem, struct cyc_ref ref)
{
  if (cyc_pool_live (&mem->state->pool, ref))
    mem->state->entries[ref.index].leaving_by_report = true;
}

static void
update_health (const struct cyc_mem_desc *desc, struct mem_entry *entry,
               uint64_t now_us)
{
  enum cyc_mem_health health = entry->row.health;
  uint64_t silent_us = now_us > entry->row.last_answer_us
                           ? now_us - entry->row.last_answer_us
                           : 0;

  if (health == CYC_MEM_NEW)
    return;
  if (silent_us >= (uint64_t)desc->dead_ms * US_PER_MS)
    health = CYC_MEM_DEAD;
  else if (silent_us >= (uint64_t)desc->suspect_ms * US_PER_MS
           && health == CYC_MEM_ALIVE)
    health = CYC_MEM_SUSPECT;
  if (health == entry->row.health)
    return;
  entry->row.health = health;
  entry->recovery_heartbeat_count = 0;
  entry->has_unreported_change = true;
}

static void
adopt_listed_address (struct cyc_mem_state *state, uint32_t index)
{
  struct mem_entry *entry = &state->entries[index];

  if (!entry->row.listed
      || strcmp (entry->listed_vm.address, entry->row.vm.address) == 0
      || (entry->row.health != CYC_MEM_NEW
          && entry->row.health != CYC_MEM_DEAD)
      || address_in_use (state, entry->listed_vm.address, index))
    return;
  memcpy (entry->row.vm.address, entry->listed_vm.address,
          sizeof entry->row.vm.address);
  entry->row.address_generation++;
  entry->has_unreported_change = true;
}

static bool
removal_due (const struct cyc_mem_desc *desc, const struct mem_entry *entry,
             uint64_t now_us)
{
  uint64_t since_us = entry->row.last_answer_us > entry->last_listed_us
                          ? entry->row.last_answer_us
                          : entry->last_listed_us;

  return !entry->row.listed && entry->row.health != CYC_MEM_ALIVE
         && now_us > since_us
         && now_us - since_us > (uint64_t)desc->remove_after_ms * US_PER_MS;
}

static void
remove_vm (struct cyc_mem_state *state, uint32_t index)
{
  struct mem_entry *entry = &state->entries[index];
  uint32_t *link
      = &state->buckets[bucket_of (state, cyc_name_str (&entry->row.vm.name))];

  while (*link != index + 1)
    link = &state->entries[*link - 1].next;
  *link = entry->next;
  cyc_pool_release (&state->pool, cyc_pool_ref_at (&state->pool, index));
}

void
cyc_mem_tick (struct cyc_members *mem, uint64_t now_us,
              void (*on_change) (void *user, struct cyc_ref ref,
                                 const struct cyc_mem_row *row,
                                 enum cyc_mem_change change),
              void *user)
{
  struct cyc_mem_state *state = mem->state;

  for (uint32_t i = 0; i < state->pool.high; i++)
    {
      struct mem_entry *entry = &state->entries[i];
      struct cyc_ref ref;
      bool leaving;

      if (!cyc_pool_used_at (&state->pool, i))
        continue;
      ref = cyc_pool_ref_at (&state->pool, i);
      update_health (&state->desc, entry, now_us);
      adopt_listed_address (state, i);
      leaving = entry->leaving_by_list || entry->leaving_by_heartbeat
                || entry->leaving_by_report;
      if (leaving != entry->row.leaving)
        entry->has_unreported_change = true;
      entry->row.leaving = leaving;
      if (removal_due (&state->desc, entry, now_us))
        {
          on_change (user, ref, &entry->row, CYC_MEM_REMOVED);
          remove_vm (state, i);
          continue;
        }
      if (entry->reported && !entry->has_unreported_change)
        continue;
      on_change (user, ref, &entry->row,
                 entry->reported ? CYC_MEM_CHANGED : CYC_MEM_ADDED);
      entry->reported = true;
      entry->has_unreported_change = false;
    }
}

const struct cyc_mem_row *
cyc_mem_at (const struct cyc_members *mem, struct cyc_ref ref)
{
  if (!cyc_pool_live (&mem->state->pool, ref))
    return NULL;
  return &mem->state->entries[ref.index].row;
}

const struct cyc_mem_row *
cyc_mem_next (const struct cyc_members *mem, uint32_t *cursor,
              struct cyc_ref *ref)
{
  const struct cyc_mem_state *state = mem->state;

  while (*cursor < state->pool.high)
    {
      uint32_t index = (*cursor)++;

      if (!cyc_pool_used_at (&state->pool, index))
        continue;
      if (ref != NULL)
        *ref = cyc_pool_ref_at (&state->pool, index);
      return &state->entries[index].row;
    }
  return NULL;
}
