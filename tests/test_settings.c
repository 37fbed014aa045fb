/**
 * @file
 * Settings: all defects must be reported at once, each at its place; a value
 * out of range, an unknown name or trailing text must be rejected.
 */
#include "settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define REQUIRED_SETTINGS                                                     \
  "{\"vm\":\"a-1\",\"domain\":\"a\",\"region\":\"r\",\"seat\":0,"             \
  "\"gateway\":{\"http\":\"10.0.0.1:1\",\"peer\":\"10.0.0.1:2\"},"            \
  "\"scheduler\":{\"http\":\"10.0.0.1:3\",\"peer\":\"10.0.0.1:4\"},"          \
  "\"vm_list\":{\"url\":\"http://10.0.0.2:5\"},"                              \
  "\"log\":{\"url\":\"http://10.0.0.2:6\"}"

struct settings_case
{
  const char *text;
  uint32_t findings;
  const char *place; /* of the first finding */
};

static const struct settings_case cases[] = {
  { REQUIRED_SETTINGS "}", 0, NULL },
  { REQUIRED_SETTINGS "} // the end", 0, NULL },
  { REQUIRED_SETTINGS "} garbage", 1, "x: $" },
  { REQUIRED_SETTINGS, 1, "x: $" },
  { "[]", 1, "x" },
  { REQUIRED_SETTINGS ",\"tick_ms\":0}", 1, "x: $.tick_ms" },
  { REQUIRED_SETTINGS ",\"tick_ms\":\"5\"}", 1, "x: $.tick_ms" },
  { REQUIRED_SETTINGS ",\"tock_ms\":5}", 1, "x: $.tock_ms" },
  { REQUIRED_SETTINGS ",\"keys\":{\"on_stale\":{\"once\":\"maybe\"}}}", 1,
    "x: $.keys.on_stale.once" },
  { REQUIRED_SETTINGS ",\"keys\":{\"stale_ms\":5000,\"stale_max_ms\":400}}", 1,
    "x" },
  { REQUIRED_SETTINGS ",\"peers\":[{\"vm\":\"b-1\"}]}", 4, "x: $.peers[0]" },
  { REQUIRED_SETTINGS ",\"tick_ms\":0,\"drain_ms\":1,\"tock\":1}", 3,
    "x: $.tick_ms" },
};

static void
defects_are_found_at_their_place (void **state)
{
  static struct set_settings settings;

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct cyc_findings found = { 0 };
      bool valid = set_parse (cyc_str_of (cases[i].text), CYC_STR ("x"),
                              &settings, &found);

      print_message ("case %zu: %s\n", i,
                     found.count > 0 ? found.rows[0].text : "valid");
      assert_int_equal (found.count, cases[i].findings);
      assert_int_equal (valid, cases[i].findings == 0);
      if (cases[i].place != NULL)
        assert_string_equal (found.rows[0].place, cases[i].place);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (defects_are_found_at_their_place),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
