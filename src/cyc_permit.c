#include <cyclamendrum/permit.h>

#include <string.h>
#include <xxhash.h>

#define DEFAULT_MAX_WORKERS 2048
#define DEFAULT_LEASE_MS 5000
#define DEFAULT_CLOCK_ERROR_MS 250
#define US_PER_MS 1000

/* A smaller grant does not end the larger one before it: the seat may use the
   larger number of slots until it reads the new grant, so both are kept. */
struct prm_seat
{
  uint32_t wanted;
  uint32_t in_use;
  uint32_t granted_slots;
  uint32_t superseded_slots; /* of a larger earlier grant; 0: none */
  uint64_t deadline_us;      /* of granted_slots */
  uint64_t superseded_deadline_us;
  uint64_t demanded_us; /* last demand for this worker */
};

struct prm_worker
{
  struct cyc_name name;
  uint32_t slots;
  uint32_t connections;
  uint32_t seats;
  uint32_t next; /* in the chain of its bucket: index + 1; 0: end */
  struct prm_seat seat[CYC_PRM_MAX_SEATS];
};

struct cyc_prm_state
{
  struct cyc_prm_desc desc;
  struct cyc_pool pool;
  struct prm_worker *workers;
  uint32_t *buckets; /* heads of the chains: index + 1; 0: empty */
  uint32_t bucket_mask;
  uint64_t fenced_until_us; /* no grant before; see cyc_prm_fence */
};

bool
cyc_prm_setup (struct cyc_permits *prm, const struct cyc_prm_desc *desc,
               struct cyc_findings *findings)
{
  struct cyc_prm_state *state = cyc_alloc (&desc->allocator, 1, sizeof *state);
  uint32_t bucket_count = 16;

  prm->state = state;
  if (state == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("permit"), "out of memory");
      return false;
    }
  state->desc = *desc;
  if (state->desc.max_workers == 0)
    state->desc.max_workers = DEFAULT_MAX_WORKERS;
  if (state->desc.lease_ms == 0)
    state->desc.lease_ms = DEFAULT_LEASE_MS;
  if (state->desc.clock_error_ms == 0)
    state->desc.clock_error_ms = DEFAULT_CLOCK_ERROR_MS;
  while (bucket_count < state->desc.max_workers)
    bucket_count *= 2;
  state->bucket_mask = bucket_count - 1;
  state->buckets
      = cyc_alloc (&desc->allocator, bucket_count, sizeof *state->buckets);
  state->workers = cyc_alloc (&desc->allocator, state->desc.max_workers,
                              sizeof *state->workers);
  if (state->buckets != NULL && state->workers != NULL
      && cyc_pool_setup (&state->pool, state->desc.max_workers,
                         &desc->allocator))
    return true;
  cyc_findings_add (findings, CYC_STR ("permit"), "out of memory");
  cyc_prm_shutdown (prm);
  return false;
}

void
cyc_prm_shutdown (struct cyc_permits *prm)
{
  struct cyc_allocator allocator;

  if (prm->state == NULL)
    return;
  allocator = prm->state->desc.allocator;
  cyc_release (&allocator, prm->state->buckets);
  cyc_release (&allocator, prm->state->workers);
  cyc_pool_shutdown (&prm->state->pool);
  cyc_release (&allocator, prm->state);
  prm->state = NULL;
}

void
cyc_prm_fence (struct cyc_permits *prm, uint64_t until_us)
{
  struct cyc_prm_state *state = prm->state;

  state->fenced_until_us = until_us;
  for (uint32_t i = 0; i < state->pool.high; i++)
    memset (state->workers[i].seat, 0, sizeof state->workers[i].seat);
}

static uint32_t *
find_link (const struct cyc_prm_state *state, struct cyc_str name)
{
  uint32_t bucket
      = (uint32_t)XXH64 (name.data, name.len, 0) & state->bucket_mask;
  uint32_t *link = &state->buckets[bucket];

  while (*link != 0
         && !cyc_str_eq (cyc_name_str (&state->workers[*link - 1].name), name))
    link = &state->workers[*link - 1].next;
  return link;
}

bool
cyc_prm_worker (struct cyc_permits *prm, struct cyc_str worker, uint32_t slots,
                uint32_t connections, uint32_t seats)
{
  struct cyc_prm_state *state = prm->state;
  uint32_t *link = find_link (state, worker);
  struct prm_worker *row;

  if (*link == 0)
    {
      struct cyc_ref ref = cyc_pool_take (&state->pool);

      if (ref.generation == 0)
        return false;
      row = &state->workers[ref.index];
      memset (row, 0, sizeof *row);
      cyc_name_set (&row->name, worker);
      *link = ref.index + 1;
    }
  row = &state->workers[*link - 1];
  row->slots = slots;
  row->connections = connections;
  row->seats = seats < CYC_PRM_MAX_SEATS ? seats : CYC_PRM_MAX_SEATS;
  return true;
}

void
cyc_prm_worker_remove (struct cyc_permits *prm, struct cyc_str worker)
{
  struct cyc_prm_state *state = prm->state;
  uint32_t *link = find_link (state, worker);
  uint32_t index;

  if (*link == 0)
    return;
  index = *link - 1;
  *link = state->workers[index].next;
  cyc_pool_release (&state->pool, cyc_pool_ref_at (&state->pool, index));
}

static uint64_t
expiry_us (const struct cyc_prm_state *state, uint64_t deadline_us)
{
  return deadline_us + (uint64_t)state->desc.clock_error_ms * US_PER_MS;
}

static uint32_t
lent_slots (const struct cyc_prm_state *state, const struct prm_seat *seat,
            uint64_t now_us)
{
  uint32_t lent = 0;

  if (now_us < expiry_us (state, seat->deadline_us))
    lent = seat->granted_slots;
  if (now_us < expiry_us (state, seat->superseded_deadline_us)
      && seat->superseded_slots > lent)
    lent = seat->superseded_slots;
  return lent;
}

static uint32_t
base_slots (const struct prm_worker *row)
{
  return row->seats > 0 ? row->slots / row->seats : 0;
}

static uint32_t
remainder_slots (const struct prm_worker *row)
{
  return row->seats > 0 ? row->slots % row->seats : 0;
}

static void
apply_return (const struct cyc_prm_state *state, struct prm_seat *seat,
              uint32_t returned, uint64_t now_us)
{
  uint32_t lent = lent_slots (state, seat, now_us);
  uint32_t remaining = returned < lent ? lent - returned : 0;

  if (seat->granted_slots > remaining)
    seat->granted_slots = remaining;
  if (seat->superseded_slots > remaining)
    seat->superseded_slots = remaining;
}

static void
apply_use (struct cyc_prm_state *state, uint32_t seat,
           const struct cyc_prm_use *use, uint64_t now_us)
{
  uint32_t link = *find_link (state, use->worker);
  struct prm_seat *row;

  if (link == 0 || seat >= state->workers[link - 1].seats)
    return;
  row = &state->workers[link - 1].seat[seat];
  if (use->returned > 0)
    apply_return (state, row, use->returned, now_us);
  row->wanted = use->wanted;
  row->in_use = use->in_use;
  row->demanded_us = now_us;
}

void
cyc_prm_demand (struct cyc_permits *prm, uint32_t seat,
                const struct cyc_prm_use *uses, uint32_t count,
                uint64_t now_us)
{
  struct cyc_prm_state *state = prm->state;

  if (seat >= CYC_PRM_MAX_SEATS)
    return;
  for (uint32_t i = 0; i < state->pool.high; i++)
    {
      state->workers[i].seat[seat].wanted = 0;
      state->workers[i].seat[seat].in_use = 0;
    }
  for (uint32_t i = 0; i < count; i++)
    apply_use (state, seat, &uses[i], now_us);
}

static bool
has_demand (const struct cyc_prm_state *state, const struct prm_seat *seat,
            uint64_t now_us)
{
  return seat->wanted > 0
         && now_us - seat->demanded_us
                < (uint64_t)state->desc.lease_ms * US_PER_MS;
}

/* Returns the share of the remainder that the seat may have while other seats
   want slots too. Slots that do not divide evenly rotate among the seats with
   time, so that every seat gets one eventually. */
static uint32_t
fair_share_slots (const struct cyc_prm_state *state,
                  const struct prm_worker *row, uint32_t seat, uint64_t now_us)
{
  uint64_t rotation
      = now_us / ((uint64_t)state->desc.lease_ms * US_PER_MS * 2);
  uint32_t remainder = remainder_slots (row);
  uint32_t demanding_seats = 0;
  uint32_t rank = 0;

  for (uint32_t s = 0; s < row->seats; s++)
    if (has_demand (state, &row->seat[s], now_us))
      {
        if (s < seat)
          rank++;
        demanding_seats++;
      }
  if (demanding_seats <= 1)
    return remainder;
  rank = (uint32_t)((rank + rotation) % demanding_seats);
  return remainder / demanding_seats
         + (rank < remainder % demanding_seats ? 1 : 0);
}

static bool
others_have_unmet_demand (const struct cyc_prm_state *state,
                          const struct prm_worker *row, uint32_t seat,
                          uint64_t now_us)
{
  for (uint32_t s = 0; s < row->seats; s++)
    if (s != seat && has_demand (state, &row->seat[s], now_us)
        && row->seat[s].wanted > lent_slots (state, &row->seat[s], now_us))
      return true;
  return false;
}

static uint32_t
available_slots (const struct cyc_prm_state *state,
                 const struct prm_worker *row, uint32_t seat, uint64_t now_us)
{
  uint32_t remainder = remainder_slots (row);
  uint32_t lent = 0;

  /* Seats above the current number of seats count too: they may still use
     slots that were lent before the number was lowered. */
  for (uint32_t s = 0; s < CYC_PRM_MAX_SEATS; s++)
    if (s != seat)
      lent += lent_slots (state, &row->seat[s], now_us);
  return lent < remainder ? remainder - lent : 0;
}

static uint32_t
slots_to_grant (const struct cyc_prm_state *state,
                const struct prm_worker *row, uint32_t seat, uint64_t now_us)
{
  const struct prm_seat *own = &row->seat[seat];
  uint32_t available = available_slots (state, row, seat, now_us);
  uint32_t base = base_slots (row);
  uint32_t lent_in_use = own->in_use > base ? own->in_use - base : 0;
  uint32_t lent = lent_slots (state, own, now_us);
  uint32_t granted_slots = own->wanted < available ? own->wanted : available;
  uint32_t share;

  if (others_have_unmet_demand (state, row, seat, now_us))
    {
      share = fair_share_slots (state, row, seat, now_us);
      if (granted_slots > share)
        granted_slots = share;
    }
  /* A request that runs on a lent slot keeps the slot until it ends. */
  if (lent_in_use > lent)
    lent_in_use = lent;
  if (lent_in_use > available)
    lent_in_use = available;
  return granted_slots > lent_in_use ? granted_slots : lent_in_use;
}

static void
record_grant (const struct cyc_prm_state *state, struct prm_seat *seat,
              uint32_t granted_slots, uint64_t now_us)
{
  uint64_t deadline_us = now_us + (uint64_t)state->desc.lease_ms * US_PER_MS;
  uint32_t lent = lent_slots (state, seat, now_us);

  if (granted_slots < lent)
    {
      uint64_t until_us = 0;

      if (seat->granted_slots > granted_slots)
        until_us = seat->deadline_us;
      if (seat->superseded_slots > granted_slots
          && seat->superseded_deadline_us > until_us)
        until_us = seat->superseded_deadline_us;
      seat->superseded_slots = lent;
      seat->superseded_deadline_us = until_us;
    }
  else
    seat->superseded_slots = 0;
  seat->granted_slots = granted_slots;
  seat->deadline_us = deadline_us;
}

uint32_t
cyc_prm_grant (struct cyc_permits *prm, uint32_t seat, uint64_t now_us,
               struct cyc_prm_grant *out, uint32_t max)
{
  struct cyc_prm_state *state = prm->state;
  uint32_t count = 0;

  if (now_us < state->fenced_until_us || seat >= CYC_PRM_MAX_SEATS)
    return 0;
  for (uint32_t i = 0; i < state->pool.high && count < max; i++)
    {
      struct prm_worker *row = &state->workers[i];
      uint32_t granted_slots;

      if (!cyc_pool_used_at (&state->pool, i) || seat >= row->seats
          || (row->seat[seat].wanted == 0
              && lent_slots (state, &row->seat[seat], now_us) == 0))
        continue;
      granted_slots = slots_to_grant (state, row, seat, now_us);
      record_grant (state, &row->seat[seat], granted_slots, now_us);
      if (granted_slots == 0)
        continue;
      out[count].worker = row->name;
      out[count].slots = granted_slots;
      out[count].connections = (row->connections % row->seats) * granted_slots
                               / remainder_slots (row);
      count++;
    }
  return count;
}

uint32_t
cyc_prm_lent_slots (const struct cyc_permits *prm, struct cyc_str worker,
                    uint64_t now_us)
{
  const struct cyc_prm_state *state = prm->state;
  uint32_t link = *find_link (state, worker);
  uint32_t lent = 0;

  for (uint32_t s = 0; link != 0 && s < CYC_PRM_MAX_SEATS; s++)
    lent += lent_slots (state, &state->workers[link - 1].seat[s], now_us);
  return lent;
}
