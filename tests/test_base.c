/**
 * @file
 * Tests of names, request ids and row pools.
 */
#include <cyclamendrum/base.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

struct name_case
{
  struct cyc_str text;
  bool valid;
};

static const struct name_case name_cases[] = {
  { { "orders", 6 }, true },   { { "north-a.1", 9 }, true },
  { { "", 0 }, false },        { { "Orders", 6 }, false },
  { { "-orders", 7 }, false }, { { "a b", 3 }, false },
};

/* Guards against accepting names with characters outside the alphabet. */
static void
names_outside_the_alphabet_are_refused (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof name_cases / sizeof name_cases[0]; i++)
    assert_int_equal (cyc_name_valid (name_cases[i].text),
                      name_cases[i].valid);
}

/* Guards against a stale reference that reaches a reused row. */
static void
stale_reference_is_detected_after_reuse (void **state)
{
  struct cyc_pool pool;
  struct cyc_ref first;
  struct cyc_ref second;

  (void)state;
  assert_true (cyc_pool_setup (&pool, 1, NULL));
  first = cyc_pool_take (&pool);
  assert_true (cyc_pool_live (&pool, first));
  assert_int_equal (cyc_pool_take (&pool).generation, 0);
  cyc_pool_release (&pool, first);
  second = cyc_pool_take (&pool);
  assert_int_equal (second.index, first.index);
  assert_false (cyc_pool_live (&pool, first));
  assert_true (cyc_pool_live (&pool, second));
  cyc_pool_shutdown (&pool);
}

/* Guards against equal ids for different requests whose fields have the same
   concatenation. */
static void
request_ids_differ_when_field_borders_differ (void **state)
{
  struct cyc_id128 a;
  struct cyc_id128 b;

  (void)state;
  cyc_request_id (CYC_STR ("ab"), CYC_STR ("c"), CYC_STR ("k"), &a);
  cyc_request_id (CYC_STR ("a"), CYC_STR ("bc"), CYC_STR ("k"), &b);
  assert_false (cyc_id128_eq (&a, &b));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (names_outside_the_alphabet_are_refused),
    cmocka_unit_test (stale_reference_is_detected_after_reuse),
    cmocka_unit_test (request_ids_differ_when_field_borders_differ),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
