/* Which VMs mirror the configuration, and what they pass on: a choice that
   overloads a narrow link, or a cycle of VMs that read each other, keeps all
   of them on an old version. */

#include "mirror.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define VMS_MAX 64

/** A domain with two kinds of VM. */
struct choice_case
{
  const char *description;
  uint32_t wide_count;
  uint32_t wide_kbps;
  uint32_t narrow_count;
  uint32_t narrow_kbps;
  uint32_t mirrors; /* VMs that read the log */
};

static const struct choice_case choice_cases[] = {
  { "one VM", 1, 1000000, 0, 0, 1 },
  { "two VMs: half of them would read it anyway", 2, 1000000, 0, 0, 2 },
  { "three VMs", 3, 1000000, 0, 0, 1 },
  { "wide and narrow links", 2, 200000, 4, 10000, 1 },
  { "many narrow links", 3, 200000, 15, 20000, 1 },
  { "more than one mirror can serve", 3, 200000, 40, 20000, 3 },
  { "narrow links only: a mirror would be slower", 0, 0, 8, 2000, 8 },
};

static uint32_t
fill (struct mir_vm vms[VMS_MAX], const struct choice_case *c)
{
  uint32_t count = c->wide_count + c->narrow_count;

  memset (vms, 0, VMS_MAX * sizeof *vms);
  for (uint32_t i = 0; i < count; i++)
    {
      char name[16];

      /* The order of the rows does not matter: the wide links come last. */
      snprintf (name, sizeof name, "vm-%02u", (i * 7) % count);
      cyc_name_set (&vms[i].vm, cyc_str_of (name));
      vms[i].link_kbps = i >= c->narrow_count ? c->wide_kbps : c->narrow_kbps;
      vms[i].millicores = 100;
    }
  return count;
}

/* Returns the rank of a VM, all of which are sorted. */
static uint32_t
rank_of (const struct mir_vm *vms, uint32_t count, const struct cyc_name *name)
{
  for (uint32_t i = 0; i < count; i++)
    if (cyc_name_eq (&vms[i].vm, name))
      return i;
  return count;
}

static void
test_choice (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (choice_cases); i++)
    {
      const struct choice_case *c = &choice_cases[i];
      struct mir_vm vms[VMS_MAX];
      uint32_t count = fill (vms, c);
      uint32_t mirrors = 0;
      uint32_t readers[VMS_MAX] = { 0 }; /* of each VM, by rank */

      mir_sort (vms, count);
      for (uint32_t reader = 0; reader < count; reader++)
        {
          struct cyc_name sources[MIR_SOURCES_MAX];
          uint32_t found = mir_choose (vms, count, reader, sources);

          assert_in_range (found, 0, MIR_SOURCES_MAX);
          mirrors += found == 0;
          for (uint32_t k = 0; k < found; k++)
            if (rank_of (vms, count, &sources[k]) >= reader)
              fail_msg ("%s: %s reads %s, which does not rank before it",
                        c->description, vms[reader].vm.data, sources[k].data);
          if (found > 0)
            readers[rank_of (vms, count, &sources[0])]++;
        }
      if (mirrors != c->mirrors)
        fail_msg ("%s: %u read the log", c->description, mirrors);
      for (uint32_t k = 0; k < count; k++)
        if (mirrors < count && readers[k] * 10000 > 2 * vms[k].link_kbps)
          fail_msg ("%s: %u read %s", c->description, readers[k],
                    vms[k].vm.data);
    }
}

struct cache_step
{
  const char *key;
  const char *value;
  uint64_t offset;
};

static const struct cache_step cache_steps[] = {
  { "config", "one", 3 }, { "domain/a", "x", 5 }, { "config", "two", 6 },
  { "domain/a", "", 7 },  { "config", "old", 4 }, { "domain/b", "y", 9 },
};

/* What a reader gets that has everything below `from`. */
struct cache_case
{
  uint64_t from;
  uint64_t offset; /* of the next record; 0: none */
  const char *value;
};

static const struct cache_case cache_cases[] = {
  { 0, 6, "two" }, { 6, 6, "two" }, { 7, 7, "" },
  { 8, 9, "y" },   { 10, 0, NULL },
};

/* A reader gets the newest record of each key, in their order. */
static void
test_newest_by_key (void **state)
{
  struct mir_cache cache;

  (void)state;
  mir_cache_setup (&cache);
  for (size_t i = 0; i < G_N_ELEMENTS (cache_steps); i++)
    mir_cache_add (
        &cache,
        &(struct pt_record){ .key = cyc_str_of (cache_steps[i].key),
                             .value = cyc_str_of (cache_steps[i].value) },
        cache_steps[i].offset);
  for (size_t i = 0; i < G_N_ELEMENTS (cache_cases); i++)
    {
      const struct cache_case *c = &cache_cases[i];
      const struct mir_row *row = mir_cache_next (&cache, c->from);

      if (c->offset == 0)
        {
          assert_null (row);
          continue;
        }
      assert_non_null (row);
      assert_int_equal (row->offset, c->offset);
      assert_int_equal (g_bytes_get_size (row->value), strlen (c->value));
    }
  mir_cache_shutdown (&cache);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_choice),
                                      cmocka_unit_test (test_newest_by_key) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
