/**
 * @file
 * Tests permits: the slots that all gateways of a domain may use never exceed
 * the slots of the worker, even if grants are lost or late or the owner of the
 * domain changes.
 */
#include <cyclamendrum/permit.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define SECOND_US UINT64_C (1000000)
#define SEATS 3
#define SLOTS 8
#define REMAINDER (SLOTS % SEATS) /* slots that are lent on demand */

static struct cyc_permits
make_permits (uint32_t slots, uint32_t seats)
{
  struct cyc_permits prm;
  struct cyc_findings found = { 0 };

  assert_true (cyc_prm_setup (&prm, &(struct cyc_prm_desc){ .max_workers = 8 },
                              &found));
  assert_true (cyc_prm_worker (&prm, CYC_STR ("w"), slots, 64, seats));
  return prm;
}

/* Reports the demand of a seat. Returns the slots that are then granted to it,
   0 without a grant. */
static uint32_t
demand_and_grant (struct cyc_permits *prm, uint32_t seat, uint32_t wanted,
                  uint32_t in_use, uint32_t returned, uint64_t now_us)
{
  struct cyc_prm_use use = { .worker = CYC_STR ("w"),
                             .wanted = wanted,
                             .in_use = in_use,
                             .returned = returned };
  struct cyc_prm_grant grant;

  cyc_prm_demand (prm, seat, &use, 1, now_us);
  return cyc_prm_grant (prm, seat, now_us, &grant, 1) == 0 ? 0 : grant.slots;
}

struct step
{
  uint32_t at_ms;
  uint32_t seat;
  uint32_t wanted;
  uint32_t in_use;
  uint32_t returned;
  uint32_t granted;
};

struct permit_case
{
  const char *rule;
  uint32_t slots;
  uint32_t seats;
  struct step steps[6];
};

static const struct permit_case cases[] = {
  { "base slots are never lent", 6, 3, { { 0, 0, 5, 0, 0, 0 } } },
  { "at most the remainder is lent", 8, 3, { { 0, 0, 5, 0, 0, 2 } } },
  { "at most the wanted slots are lent", 8, 3, { { 0, 0, 1, 0, 0, 1 } } },
  { "slots lent to one seat are not lent to another",
    8,
    3,
    { { 0, 0, 2, 0, 0, 2 }, { 100, 1, 2, 0, 0, 0 } } },
  { "slots stay lent until the deadline when demand ends",
    8,
    3,
    { { 0, 0, 2, 0, 0, 2 },
      { 4900, 1, 2, 0, 0, 0 },
      { 5240, 1, 2, 0, 0, 0 },
      { 5250, 1, 2, 0, 0, 2 } } },
  { "returned slots are lent at once",
    8,
    3,
    { { 0, 0, 2, 0, 0, 2 },
      { 1000, 0, 0, 0, 2, 0 },
      { 1100, 1, 2, 0, 0, 2 } } },
  { "a larger grant counts after a smaller renewal",
    8,
    3,
    { { 0, 0, 2, 0, 0, 2 },
      { 1000, 0, 1, 0, 0, 1 },
      { 1100, 1, 2, 0, 0, 0 },
      { 5300, 1, 2, 0, 0, 1 } } },
  { "a request on a lent slot keeps the slot",
    8,
    3,
    { { 0, 0, 2, 0, 0, 2 },
      { 4000, 0, 0, 4, 0, 2 },
      { 6000, 1, 2, 0, 0, 0 },
      { 9300, 1, 2, 0, 0, 2 } } },
  { "two seats with demand share the remainder",
    8,
    3,
    { { 0, 0, 2, 0, 0, 2 },
      { 100, 1, 2, 0, 0, 0 },
      { 1000, 0, 2, 0, 0, 1 },
      { 5300, 1, 2, 0, 0, 1 } } },
  { "a seat above the number of seats gets nothing",
    8,
    3,
    { { 0, 3, 2, 0, 0, 0 } } },
  { "nothing is lent without seats", 8, 0, { { 0, 0, 2, 0, 0, 0 } } },
  { "all slots are lent if there are more seats",
    8,
    9,
    { { 0, 0, 9, 0, 0, 8 }, { 1, 1, 1, 0, 0, 0 } } },
};

static void
grants_match_the_cases (void **state)
{
  (void)state;
  for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++)
    {
      struct cyc_permits prm = make_permits (cases[c].slots, cases[c].seats);

      for (size_t s = 0; s < 6; s++)
        {
          const struct step *step = &cases[c].steps[s];
          uint32_t got;

          if (s > 0 && step->at_ms == 0)
            break;
          got = demand_and_grant (&prm, step->seat, step->wanted, step->in_use,
                                  step->returned,
                                  SECOND_US + step->at_ms * UINT64_C (1000));
          if (got != step->granted)
            fail_msg ("%s: at %u ms seat %u got %u, not %u", cases[c].rule,
                      step->at_ms, step->seat, got, step->granted);
        }
      cyc_prm_shutdown (&prm);
    }
}

/* A new owner does not know which slots the earlier owner lent. */
static void
nothing_is_lent_before_the_fence_ends (void **state)
{
  struct cyc_permits prm = make_permits (SLOTS, SEATS);

  (void)state;
  assert_int_equal (demand_and_grant (&prm, 0, 2, 0, 0, SECOND_US), 2);
  cyc_prm_fence (&prm, 9 * SECOND_US);
  assert_int_equal (demand_and_grant (&prm, 0, 2, 0, 0, 9 * SECOND_US - 1), 0);
  assert_int_equal (demand_and_grant (&prm, 0, 2, 0, 0, 9 * SECOND_US), 2);
  cyc_prm_shutdown (&prm);
}

/* Slots lent to removed seats still count after the number of seats was
   lowered. */
static void
slots_of_removed_seats_stay_lent (void **state)
{
  struct cyc_permits prm = make_permits (8, 5);

  (void)state;
  assert_int_equal (demand_and_grant (&prm, 4, 3, 0, 0, SECOND_US), 3);
  cyc_prm_worker (&prm, CYC_STR ("w"), 8, 64, 3);
  assert_int_equal (demand_and_grant (&prm, 0, 2, 0, 0, 2 * SECOND_US), 0);
  assert_int_equal (demand_and_grant (&prm, 0, 2, 0, 0, 7 * SECOND_US), 2);
  cyc_prm_shutdown (&prm);
}

/* Guards against lending more connections than the remainder: a lent slot
   comes with its proportional part of them, here one of two connections. */
static void
connections_follow_the_slots (void **state)
{
  struct cyc_permits prm = make_permits (SLOTS, SEATS);
  struct cyc_prm_use use = { .worker = CYC_STR ("w"), .wanted = 1 };
  struct cyc_prm_grant grant;

  (void)state;
  cyc_prm_worker (&prm, CYC_STR ("w"), 8, 65, SEATS);
  for (uint32_t seat = 0; seat < 2; seat++)
    {
      cyc_prm_demand (&prm, seat, &use, 1, SECOND_US);
      assert_int_equal (cyc_prm_grant (&prm, seat, SECOND_US, &grant, 1), 1);
      assert_int_equal (grant.connections, 1);
    }
  cyc_prm_shutdown (&prm);
}

/* Guards against a seat that gets no slot because two other seats with
   constant demand keep the whole remainder. */
static void
every_demanding_seat_gets_slots (void **state)
{
  struct cyc_permits prm = make_permits (SLOTS, SEATS);
  uint32_t got[SEATS] = { 0 };

  (void)state;
  for (uint64_t now_us = SECOND_US; now_us < 90 * SECOND_US;
       now_us += SECOND_US)
    for (uint32_t seat = 0; seat < SEATS; seat++)
      got[seat] += demand_and_grant (&prm, seat, 2, 0, 0, now_us + seat) > 0;
  for (uint32_t seat = 0; seat < SEATS; seat++)
    assert_true (got[seat] > 10);
  cyc_prm_shutdown (&prm);
}

#define KEPT_GRANTS 64

/* Model of a gateway that uses every grant it read until the grant's
   deadline. */
struct model_gateway
{
  uint32_t slots[KEPT_GRANTS];
  uint64_t deadline_us[KEPT_GRANTS];
  uint32_t next;
};

static uint32_t
usable_slots (const struct model_gateway *gateway, uint64_t now_us)
{
  uint32_t slots = 0;

  for (uint32_t i = 0; i < KEPT_GRANTS; i++)
    if (now_us < gateway->deadline_us[i] && gateway->slots[i] > slots)
      slots = gateway->slots[i];
  return slots;
}

/* Guards against slots that are lent twice: with random demands, lost grants
   and changes of the owner, the sum of the slots that gateways may use stays
   within the remainder. A gateway that loses a grant keeps its older one until
   the deadline of that grant. */
static void
random_runs_never_exceed_the_remainder (void **state)
{
  struct model_gateway gateways[SEATS] = { 0 };
  struct cyc_permits prm = make_permits (SLOTS, SEATS);
  uint32_t random = 12345;

  (void)state;
  for (uint64_t now_us = SECOND_US; now_us < 4000 * SECOND_US;
       now_us += 50000 + random % 200000)
    {
      uint32_t seat = (random >> 8) % SEATS;
      uint32_t wanted = (random >> 12) % 4;
      uint32_t sum = 0;
      uint32_t granted = demand_and_grant (&prm, seat, wanted, 0, 0, now_us);

      random = random * 1664525 + 1013904223;
      if ((random >> 16) % 3 > 0)
        {
          uint32_t index = gateways[seat].next++ % KEPT_GRANTS;

          gateways[seat].slots[index] = granted;
          gateways[seat].deadline_us[index] = now_us + 5 * SECOND_US;
        }
      if ((random >> 20) % 500 == 0)
        cyc_prm_fence (&prm, now_us + 5 * SECOND_US + 250000);
      for (uint32_t s = 0; s < SEATS; s++)
        sum += usable_slots (&gateways[s], now_us);
      if (sum > REMAINDER)
        fail_msg ("%u slots at %llu us", sum, (unsigned long long)now_us);
    }
  cyc_prm_shutdown (&prm);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (grants_match_the_cases),
    cmocka_unit_test (nothing_is_lent_before_the_fence_ends),
    cmocka_unit_test (slots_of_removed_seats_stay_lent),
    cmocka_unit_test (connections_follow_the_slots),
    cmocka_unit_test (every_demanding_seat_gets_slots),
    cmocka_unit_test (random_runs_never_exceed_the_remainder),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
