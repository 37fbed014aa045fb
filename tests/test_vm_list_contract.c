/**
 * @file
 * Contract of the VM list, checked for the HTTP client with a server of
 * prepared answers and for the in-memory list. An unreachable, slow, truncated
 * or invalid list must be distinguished from a list without VMs.
 */
#include "fk_common.h"
#include "fk_vms.h"
#include "tst_worker.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define VM(name, address)                                                     \
  "{\"name\":\"" name "\",\"address\":\"" address "\",\"domain\":\"north-a\"" \
  ",\"rack\":\"r-1\",\"kind\":\"worker\",\"state\":\"live\","                 \
  "\"millicores\":4000,\"memory_mib\":8192,\"accelerators\":1,\"slots\":8,"   \
  "\"connections\":64}"
#define VALID_VM VM ("w-1", "http://127.0.0.1:7101")
#define LIST(rows) "{\"vms\":[" rows "]}"

enum answer
{
  ANSWER_BODY,
  ANSWER_DROPPED,
  ANSWER_NONE,
  ANSWER_500
};

struct list_case
{
  const char *name;
  enum answer answer;
  const char *body;
  bool ok;           /**< expected: the list could be read */
  uint32_t count;    /**< expected number of VMs */
  uint32_t left_out; /**< expected number of invalid entries */
};

static const struct list_case cases[] = {
  { "one VM", ANSWER_BODY, LIST (VALID_VM), true, 1, 0 },
  { "a list without VMs", ANSWER_BODY, LIST (""), true, 0, 0 },
  { "connection closed without an answer", ANSWER_DROPPED, NULL, false, 0, 0 },
  { "no answer in time", ANSWER_NONE, NULL, false, 0, 0 },
  { "status 500", ANSWER_500, NULL, false, 0, 0 },
  { "empty body", ANSWER_BODY, "", false, 0, 0 },
  { "truncated body", ANSWER_BODY, "{\"vms\":[" VALID_VM, false, 0, 0 },
  { "body is not an object", ANSWER_BODY, "[]", false, 0, 0 },
  { "vms is not an array", ANSWER_BODY, "{\"vms\":null}", false, 0, 0 },
  { "an entry that is not an object", ANSWER_BODY, LIST ("7," VALID_VM), true,
    1, 1 },
  { "an invalid name", ANSWER_BODY,
    LIST (VM ("W 1", "http://127.0.0.1:7102") "," VALID_VM), true, 1, 1 },
  { "an invalid address", ANSWER_BODY,
    LIST (VM ("w-2", "127.0.0.1:7102") "," VALID_VM), true, 1, 1 },
  { "an unknown kind", ANSWER_BODY,
    LIST ("{\"name\":\"w-2\",\"address\":\"http://127.0.0.1:7102\","
          "\"domain\":\"north-a\",\"kind\":\"tape\",\"state\":\"live\"}"),
    true, 0, 1 },
  { "an unknown state", ANSWER_BODY,
    LIST ("{\"name\":\"w-2\",\"address\":\"http://127.0.0.1:7102\","
          "\"domain\":\"north-a\",\"kind\":\"worker\",\"state\":\"odd\"}"),
    true, 0, 1 },
  { "two entries with one name: both are left out", ANSWER_BODY,
    LIST (VALID_VM "," VM ("w-1", "http://127.0.0.1:7102")), true, 0, 2 },
  { "two entries with one address: both are left out", ANSWER_BODY,
    LIST (VALID_VM "," VM ("w-2", "http://127.0.0.1:7101")), true, 0, 2 },
  { "two valid entries", ANSWER_BODY,
    LIST (VALID_VM "," VM ("w-2", "http://127.0.0.1:7102")), true, 2, 0 },
};

struct fixture
{
  struct ev_loop *loop;
  struct hs_server hs;
  struct hc_client hc;
  struct vl_http http;
  struct tst_vm_list memory;
  const struct list_case *current;
  uint32_t done;
  bool ok;
  uint32_t count;
  uint32_t left_out;
  struct cyc_mem_vm first;
};

static void
on_call (void *user, const struct hs_call *call)
{
  struct fixture *f = user;

  if (f->current->answer == ANSWER_DROPPED)
    fk_close_without_answer (&f->hs, call->ref, call->connection);
  else if (f->current->answer == ANSWER_500)
    fk_reply_text (&f->hs, call->ref, 500, CYC_STR (LIST ("")));
  else if (f->current->answer == ANSWER_BODY)
    fk_reply_text (&f->hs, call->ref, 200, cyc_str_of (f->current->body));
}

static void
on_list (void *user, const struct vl_result *result)
{
  struct fixture *f = user;

  f->done++;
  f->ok = result->ok;
  f->count = result->count;
  f->left_out = result->left_out;
  if (result->count > 0)
    f->first = result->vms[0];
}

static void
setup (struct fixture *f)
{
  struct cyc_findings found = { 0 };
  char url[64];

  memset (f, 0, sizeof *f);
  f->loop = ev_loop_new (0);
  tst_vm_list_setup (&f->memory);
  assert_true (hs_setup (&f->hs,
                         &(struct hs_desc){ .loop = f->loop,
                                            .address = "127.0.0.1",
                                            .handle = on_call,
                                            .user = f },
                         &found));
  assert_true (
      hc_setup (&f->hc, &(struct hc_desc){ .loop = f->loop }, &found));
  snprintf (url, sizeof url, "http://127.0.0.1:%u", fk_port (&f->hs));
  assert_true (vl_http_setup (
      &f->http,
      &(struct vl_http_desc){ .client = &f->hc, .url = cyc_str_of (url) },
      &found));
}

static void
shutdown_fixture (struct fixture *f)
{
  vl_http_shutdown (&f->http);
  hc_shutdown (&f->hc);
  hs_shutdown (&f->hs);
  ev_loop_destroy (f->loop);
}

static void
fetch (struct fixture *f, bool http)
{
  struct vl_list *list = http ? &f->http.list : &f->memory.list;
  struct vl_fetch call = {
    .deadline_us = hc_now_us () + 150000,
    .done = on_list,
    .user = f,
  };
  uint64_t limit_us = hc_now_us () + UINT64_C (5000000);
  uint32_t before = f->done;

  f->memory.body = f->current->body;
  assert_true (vl_fetch (list, &call));
  /* A second fetch is refused, not queued, while the first one is open. */
  assert_false (vl_fetch (list, &call));
  while (f->done == before && hc_now_us () < limit_us)
    if (http)
      ev_run (f->loop, EVRUN_ONCE);
    else
      tst_vm_list_answer (&f->memory);
  assert_int_equal (f->done, before + 1);
}

static void
both_implementations_keep_the_contract (void **state)
{
  struct fixture f;

  (void)state;
  setup (&f);
  for (int http = 0; http < 2; http++)
    for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++)
      {
        f.current = &cases[c];
        fetch (&f, http);
        if (f.ok != cases[c].ok || f.count != cases[c].count
            || f.left_out != cases[c].left_out)
          fail_msg ("%s (%s): ok %d, %u VMs, %u left out", cases[c].name,
                    http ? "http" : "memory", f.ok, f.count, f.left_out);
      }
  shutdown_fixture (&f);
}

static void
all_members_of_an_entry_are_read (void **state)
{
  struct fixture f;

  (void)state;
  setup (&f);
  f.current = &cases[0];
  fetch (&f, true);
  assert_string_equal (f.first.name.data, "w-1");
  assert_string_equal (f.first.domain.data, "north-a");
  assert_string_equal (f.first.rack.data, "r-1");
  assert_string_equal (f.first.address, "http://127.0.0.1:7101");
  assert_true (f.first.worker && !f.first.leaving);
  assert_int_equal (f.first.capacity.millicores, 4000);
  assert_int_equal (f.first.capacity.memory_mib, 8192);
  assert_int_equal (f.first.capacity.accelerators, 1);
  assert_int_equal (f.first.slots, 8);
  assert_int_equal (f.first.connections, 64);
  shutdown_fixture (&f);
}

/* Guards against a client that keeps the state of an outage: once the list is
   reachable again it must be read, with the VMs that were added later. */
static void
list_is_read_again_after_an_outage (void **state)
{
  static const struct list_case any = { .body = LIST ("") };
  struct cyc_findings found = { 0 };
  struct fk_vms vms;
  struct fixture f;
  char url[64];

  (void)state;
  setup (&f);
  f.current = &any;
  vl_http_shutdown (&f.http);
  assert_true (fk_vms_setup (&vms, f.loop, 0, &found));
  snprintf (url, sizeof url, "http://127.0.0.1:%u", fk_port (&vms.hs));
  assert_true (vl_http_setup (
      &f.http,
      &(struct vl_http_desc){ .client = &f.hc, .url = cyc_str_of (url) },
      &found));
  vms.down = true;
  fetch (&f, true);
  assert_false (f.ok);
  vms.down = false;
  fetch (&f, true);
  assert_true (f.ok);
  assert_int_equal (f.count, 0);
  json_object_put (vms.current_list);
  vms.current_list = json_tokener_parse (LIST (VALID_VM));
  fetch (&f, true);
  assert_int_equal (f.count, 1);
  fk_vms_shutdown (&vms);
  shutdown_fixture (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (both_implementations_keep_the_contract),
    cmocka_unit_test (all_members_of_an_entry_are_read),
    cmocka_unit_test (list_is_read_again_after_an_outage),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
