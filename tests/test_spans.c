/* Sets of numbers kept as spans. Guards against a number that is counted twice
   or lost when spans meet. */

#include "cyc_spans.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

#define SPANS_MAX 4

struct spans_case
{
  const char *name;
  struct spn_span added[SPANS_MAX]; /* end 0 ends the list */
  guint limit;                      /* 0: none */
  struct spn_span expected[SPANS_MAX];
};

static const struct spans_case cases[] = {
  { "one", { { 4, 5 } }, 0, { { 4, 5 } } },
  { "none", { { 4, 4 }, { 6, 5 } }, 0, { { 0, 0 } } },
  { "again", { { 4, 7 }, { 5, 6 }, { 4, 7 } }, 0, { { 4, 7 } } },
  { "in order",
    { { 8, 9 }, { 1, 2 }, { 4, 5 } },
    0,
    { { 1, 2 }, { 4, 5 }, { 8, 9 } } },
  { "meets the one before", { { 1, 3 }, { 3, 4 } }, 0, { { 1, 4 } } },
  { "meets the one after", { { 3, 4 }, { 1, 3 } }, 0, { { 1, 4 } } },
  { "closes a gap", { { 1, 2 }, { 3, 4 }, { 2, 3 } }, 0, { { 1, 4 } } },
  { "covers several",
    { { 2, 3 }, { 4, 5 }, { 8, 9 }, { 1, 6 } },
    0,
    { { 1, 6 }, { 8, 9 } } },
  { "limited", { { 1, 2 }, { 4, 5 }, { 8, 9 } }, 2, { { 1, 5 }, { 8, 9 } } },
  { "within the limit", { { 1, 2 }, { 4, 5 } }, 2, { { 1, 2 }, { 4, 5 } } },
};

static void
test_spans (void **state)
{
  const struct spans_case *c = *state;
  GArray *set = g_array_new (FALSE, FALSE, sizeof (struct spn_span));
  guint count = 0;

  for (guint i = 0; i < SPANS_MAX && c->added[i].end != 0; i++)
    spn_add (set, c->added[i].first, c->added[i].end);
  if (c->limit != 0)
    spn_limit (set, c->limit);
  while (count < SPANS_MAX && c->expected[count].end != 0)
    count++;
  assert_int_equal (set->len, count);
  for (guint i = 0; i < count; i++)
    {
      assert_int_equal (g_array_index (set, struct spn_span, i).first,
                        c->expected[i].first);
      assert_int_equal (g_array_index (set, struct spn_span, i).end,
                        c->expected[i].end);
    }
  for (uint32_t n = 0; n < 10; n++)
    {
      bool expected = false;

      for (guint i = 0; i < count; i++)
        expected = expected
                   || (n >= c->expected[i].first && n < c->expected[i].end);
      assert_int_equal (spn_contains (set, n), expected);
    }
  g_array_free (set, TRUE);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0]];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){
      .name = cases[i].name,
      .test_func = test_spans,
      .initial_state = (void *)&cases[i],
    };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
