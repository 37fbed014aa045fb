/**
 * @file
 * Tests membership: a list that lags or is wrong must not remove a VM that
 * answers, and must not replace its address while tasks may run at the old
 * one.
 */
#include <cyclamendrum/member.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define US_PER_MS UINT64_C (1000)
#define START_US UINT64_C (100000000)

struct fixture
{
  struct cyc_members mem;
  uint32_t added;
  uint32_t changed;
  uint32_t removed;
};

static void
on_change (void *user, struct cyc_ref ref, const struct cyc_mem_row *row,
           enum cyc_mem_change change)
{
  struct fixture *f = user;

  (void)ref;
  (void)row;
  f->added += change == CYC_MEM_ADDED;
  f->changed += change == CYC_MEM_CHANGED;
  f->removed += change == CYC_MEM_REMOVED;
}

static void
setup (struct fixture *f)
{
  struct cyc_findings found = { 0 };

  memset (f, 0, sizeof *f);
  assert_true (cyc_mem_setup (
      &f->mem,
      &(struct cyc_mem_desc){ .max_vms = 4, .remove_after_ms = 60000 },
      &found));
}

/* Applies a list with the VM "w" in the given state; an empty list if
   @p address is NULL. */
static void
apply_list (struct fixture *f, const char *address, bool leaving,
            uint64_t now_us)
{
  struct cyc_mem_vm vm = { .worker = true, .leaving = leaving, .slots = 8 };

  cyc_mem_list_begin (&f->mem);
  if (address != NULL)
    {
      cyc_name_set (&vm.name, CYC_STR ("w"));
      snprintf (vm.address, sizeof vm.address, "%s", address);
      cyc_mem_list_vm (&f->mem, &vm, now_us);
    }
  cyc_mem_list_end (&f->mem);
}

static const struct cyc_mem_row *
row_of (struct fixture *f)
{
  return cyc_mem_at (&f->mem, cyc_mem_find (&f->mem, CYC_STR ("w")));
}

enum event
{
  END = 0,         /**< ends the steps of a case */
  LISTED_A,        /**< listed with address a */
  LISTED_B,        /**< listed with address b */
  LISTED_LEAVING,  /**< listed as leaving */
  UNLISTED,        /**< not listed */
  ANSWER,          /**< answered a heartbeat */
  ANSWER_DRAINING, /**< answered a heartbeat as draining */
  REPORT,          /**< reported as leaving by a peer */
  TICK
};

struct member_case
{
  const char *rule;
  struct
  {
    enum event event;
    uint32_t at_ms;
  } steps[8];
  bool known;
  enum cyc_mem_health health;
  bool leaving;
  const char *address;
};

static const struct member_case cases[] = {
  { "a VM that never answered is not alive",
    { { LISTED_A, 0 }, { TICK, 20000 } },
    true,
    CYC_MEM_NEW,
    false,
    "a" },
  { "the first answer makes a VM alive",
    { { LISTED_A, 0 }, { ANSWER, 10 } },
    true,
    CYC_MEM_ALIVE,
    false,
    "a" },
  { "a VM without answers for suspect_ms is suspect",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { TICK, 3510 } },
    true,
    CYC_MEM_SUSPECT,
    false,
    "a" },
  { "a VM is not suspect before suspect_ms",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { TICK, 3509 } },
    true,
    CYC_MEM_ALIVE,
    false,
    "a" },
  { "a VM without answers for dead_ms is dead",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { TICK, 4000 }, { TICK, 10010 } },
    true,
    CYC_MEM_DEAD,
    false,
    "a" },
  { "one answer does not make a suspect VM alive",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { TICK, 4000 }, { ANSWER, 4100 } },
    true,
    CYC_MEM_SUSPECT,
    false,
    "a" },
  { "two answers make a suspect VM alive",
    { { LISTED_A, 0 },
      { ANSWER, 10 },
      { TICK, 4000 },
      { ANSWER, 4100 },
      { ANSWER, 4200 } },
    true,
    CYC_MEM_ALIVE,
    false,
    "a" },
  { "an unlisted VM that answers is kept",
    { { LISTED_A, 0 },
      { ANSWER, 10 },
      { UNLISTED, 20 },
      { ANSWER, 90000 },
      { TICK, 90001 } },
    true,
    CYC_MEM_ALIVE,
    false,
    "a" },
  { "an unlisted VM without answers is removed",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { UNLISTED, 20 }, { TICK, 60011 } },
    false,
    CYC_MEM_NEW,
    false,
    "" },
  { "a listed VM is never removed",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { TICK, 99999 } },
    true,
    CYC_MEM_DEAD,
    false,
    "a" },
  { "a VM is not removed as soon as it is unlisted",
    { { LISTED_A, 0 },
      { LISTED_A, 70000 },
      { UNLISTED, 70100 },
      { TICK, 70200 } },
    true,
    CYC_MEM_NEW,
    false,
    "a" },
  { "the list marks a VM as leaving",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { LISTED_LEAVING, 20 }, { TICK, 30 } },
    true,
    CYC_MEM_ALIVE,
    true,
    "a" },
  { "a draining VM is leaving before the list says so",
    { { LISTED_A, 0 },
      { ANSWER_DRAINING, 10 },
      { LISTED_A, 20 },
      { TICK, 30 } },
    true,
    CYC_MEM_ALIVE,
    true,
    "a" },
  { "a report of a peer marks a VM as leaving",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { REPORT, 20 }, { TICK, 30 } },
    true,
    CYC_MEM_ALIVE,
    true,
    "a" },
  { "a later answer of the VM overrides the report",
    { { LISTED_A, 0 }, { REPORT, 20 }, { ANSWER, 30 }, { TICK, 40 } },
    true,
    CYC_MEM_ALIVE,
    false,
    "a" },
  { "a leaving VM stays leaving when it is unlisted",
    { { LISTED_A, 0 },
      { ANSWER, 10 },
      { LISTED_LEAVING, 20 },
      { UNLISTED, 30 },
      { TICK, 40 } },
    true,
    CYC_MEM_ALIVE,
    true,
    "a" },
  { "a new address does not replace that of an alive VM",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { LISTED_B, 20 }, { TICK, 30 } },
    true,
    CYC_MEM_ALIVE,
    false,
    "a" },
  { "a new address does not replace that of a suspect VM",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { LISTED_B, 20 }, { TICK, 5000 } },
    true,
    CYC_MEM_SUSPECT,
    false,
    "a" },
  { "a new address replaces that of a dead VM",
    { { LISTED_A, 0 }, { ANSWER, 10 }, { LISTED_B, 20 }, { TICK, 10010 } },
    true,
    CYC_MEM_DEAD,
    false,
    "b" },
};

static void
apply_event (struct fixture *f, enum event event, uint64_t now_us)
{
  struct cyc_ref ref = cyc_mem_find (&f->mem, CYC_STR ("w"));

  switch (event)
    {
    case LISTED_A:
    case LISTED_LEAVING:
      apply_list (f, "a", event == LISTED_LEAVING, now_us);
      break;
    case LISTED_B:
      apply_list (f, "b", false, now_us);
      break;
    case UNLISTED:
      apply_list (f, NULL, false, now_us);
      break;
    case ANSWER:
    case ANSWER_DRAINING:
      cyc_mem_heartbeat (&f->mem, ref, event == ANSWER_DRAINING, now_us);
      break;
    case REPORT:
      cyc_mem_report_leaving (&f->mem, ref);
      break;
    case TICK:
      cyc_mem_tick (&f->mem, now_us, on_change, f);
      break;
    case END:
      break;
    }
}

static void
list_and_answers_are_merged (void **state)
{
  (void)state;
  for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++)
    {
      const struct member_case *tc = &cases[c];
      const struct cyc_mem_row *row;
      struct fixture f;

      setup (&f);
      for (size_t s = 0; s < 8 && tc->steps[s].event != END; s++)
        apply_event (&f, tc->steps[s].event,
                     START_US + tc->steps[s].at_ms * US_PER_MS);
      row = row_of (&f);
      if ((row != NULL) != tc->known)
        fail_msg ("%s: known is %d", tc->rule, row != NULL);
      if (row != NULL
          && (row->health != tc->health || row->leaving != tc->leaving
              || strcmp (row->vm.address, tc->address) != 0))
        fail_msg ("%s: health %d, leaving %d, address %s", tc->rule,
                  row->health, row->leaving, row->vm.address);
      cyc_mem_shutdown (&f.mem);
    }
}

/* Guards against one machine under two names, which would get twice the load
   that it has capacity for. */
static void
an_address_belongs_to_one_vm (void **state)
{
  struct cyc_mem_vm vm = { .address = "a" };
  struct fixture f;

  (void)state;
  setup (&f);
  apply_list (&f, "a", false, START_US);
  cyc_name_set (&vm.name, CYC_STR ("other"));
  assert_int_equal (cyc_mem_list_vm (&f.mem, &vm, START_US).generation, 0);
  cyc_mem_shutdown (&f.mem);
}

/* Each change is reported once, and a tick without a change reports nothing.
 */
static void
changes_are_reported_once (void **state)
{
  struct fixture f;

  (void)state;
  setup (&f);
  apply_list (&f, "a", false, START_US);
  apply_event (&f, TICK, START_US);
  apply_event (&f, TICK, START_US + US_PER_MS);
  assert_int_equal (f.added, 1);
  assert_int_equal (f.changed, 0);
  apply_event (&f, ANSWER, START_US + 2 * US_PER_MS);
  apply_event (&f, TICK, START_US + 3 * US_PER_MS);
  apply_event (&f, TICK, START_US + 4 * US_PER_MS);
  assert_int_equal (f.changed, 1);
  apply_list (&f, NULL, false, START_US);
  apply_event (&f, TICK, START_US + 60003 * US_PER_MS);
  assert_int_equal (f.removed, 1);
  cyc_mem_shutdown (&f.mem);
}

/* Guards against a list with more VMs than the table has rows. */
static void
full_table_refuses (void **state)
{
  struct cyc_mem_vm vm = { 0 };
  struct fixture f;
  uint32_t taken = 0;

  (void)state;
  setup (&f);
  for (uint32_t i = 0; i < 6; i++)
    {
      char text[8];

      snprintf (text, sizeof text, "w%u", i);
      cyc_name_set (&vm.name, cyc_str_of (text));
      snprintf (vm.address, sizeof vm.address, "%s", text);
      taken += cyc_mem_list_vm (&f.mem, &vm, START_US).generation != 0;
    }
  assert_int_equal (taken, 4);
  cyc_mem_shutdown (&f.mem);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (list_and_answers_are_merged),
    cmocka_unit_test (an_address_belongs_to_one_vm),
    cmocka_unit_test (changes_are_reported_once),
    cmocka_unit_test (full_table_refuses),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
