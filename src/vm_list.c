#include "vm_list.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
vl_fetch (struct vl_list *list, const struct vl_fetch *fetch)
{
  return list->vtable->fetch (list, fetch);
}

static struct cyc_str
get_string (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);

  if (value == NULL || !json_object_is_type (value, json_type_string))
    return (struct cyc_str){ 0 };
  return (struct cyc_str){
    .data = json_object_get_string (value),
    .len = (size_t)json_object_get_string_len (value),
  };
}

/* Returns 0 for a missing or negative number, which means no capacity. */
static uint32_t
get_uint32 (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);
  int64_t number = value != NULL ? json_object_get_int64 (value) : 0;

  if (number < 0)
    return 0;
  return number > UINT32_MAX ? UINT32_MAX : (uint32_t)number;
}

static bool
read_name (struct json_object *object, const char *key, struct cyc_name *out)
{
  struct cyc_str text = get_string (object, key);

  return cyc_name_valid (text) && cyc_name_set (out, text);
}

static bool
read_address (struct json_object *object, struct cyc_mem_vm *vm)
{
  struct cyc_str text = get_string (object, "address");

  if (text.len < 8 || text.len >= sizeof vm->address
      || memcmp (text.data, "http://", 7) != 0)
    return false;
  memcpy (vm->address, text.data, text.len);
  if (vm->address[text.len - 1] == '/')
    vm->address[text.len - 1] = '\0';
  return true;
}

static bool
read_vm (struct json_object *object, struct cyc_mem_vm *vm)
{
  struct cyc_str kind;
  struct cyc_str state;

  memset (vm, 0, sizeof *vm);
  if (!json_object_is_type (object, json_type_object)
      || !read_name (object, "name", &vm->name)
      || !read_name (object, "domain", &vm->domain)
      || !read_address (object, vm))
    return false;
  if (!read_name (object, "rack", &vm->rack))
    cyc_name_set (&vm->rack, CYC_STR ("none"));
  kind = get_string (object, "kind");
  state = get_string (object, "state");
  vm->worker = cyc_str_eq (kind, CYC_STR ("worker"));
  vm->leaving = cyc_str_eq (state, CYC_STR ("leaving"));
  vm->capacity.millicores = get_uint32 (object, "millicores");
  vm->capacity.memory_mib = get_uint32 (object, "memory_mib");
  vm->capacity.accelerators = get_uint32 (object, "accelerators");
  vm->slots = get_uint32 (object, "slots");
  vm->connections = get_uint32 (object, "connections");
  return (vm->worker || cyc_str_eq (kind, CYC_STR ("entry")))
         && (vm->leaving || cyc_str_eq (state, CYC_STR ("live")));
}

struct vm_order
{
  const struct cyc_mem_vm *vm;
};

static int
compare_addresses (const void *a, const void *b)
{
  const struct vm_order *left = a;
  const struct vm_order *right = b;

  return strcmp (left->vm->address, right->vm->address);
}

static int
compare_names (const void *a, const void *b)
{
  const struct vm_order *left = a;
  const struct vm_order *right = b;

  return cyc_str_cmp (cyc_name_str (&left->vm->name),
                      cyc_name_str (&right->vm->name));
}

/* Marks all entries that compare equal. Two entries for one VM would let it be
   assigned twice its capacity, and it is unknown which one is right, so both
   are left out. */
static void
mark_duplicates (struct vm_order *order, uint32_t count,
                 const struct cyc_mem_vm *vms, bool *duplicate,
                 int (*compare) (const void *, const void *))
{
  qsort (order, count, sizeof *order, compare);
  for (uint32_t i = 1; i < count; i++)
    if (compare (&order[i - 1], &order[i]) == 0)
      duplicate[order[i - 1].vm - vms] = duplicate[order[i].vm - vms] = true;
}

static uint32_t
remove_duplicates (struct cyc_mem_vm *vms, uint32_t count)
{
  struct vm_order *order = calloc ((size_t)count + 1, sizeof *order);
  bool *duplicate = calloc ((size_t)count + 1, sizeof *duplicate);
  uint32_t kept = 0;

  if (order != NULL && duplicate != NULL)
    {
      for (uint32_t i = 0; i < count; i++)
        order[i].vm = &vms[i];
      mark_duplicates (order, count, vms, duplicate, compare_addresses);
      mark_duplicates (order, count, vms, duplicate, compare_names);
      for (uint32_t i = 0; i < count; i++)
        if (!duplicate[i])
          vms[kept++] = vms[i];
    }
  free (order);
  free (duplicate);
  return kept;
}

static bool
read_list (struct json_object *list, struct cyc_mem_vm **out, uint32_t *count,
           uint32_t *left_out)
{
  size_t total = json_object_array_length (list);
  uint32_t valid_count = 0;

  if (total > VL_MAX_VMS)
    return false;
  *out = calloc (total + 1, sizeof **out);
  if (*out == NULL)
    return false;
  for (size_t i = 0; i < total; i++)
    if (read_vm (json_object_array_get_idx (list, i), &(*out)[valid_count]))
      valid_count++;
  *count = remove_duplicates (*out, valid_count);
  *left_out = (uint32_t)total - *count;
  return true;
}

bool
vl_parse (struct cyc_str body, struct cyc_mem_vm **out, uint32_t *count,
          uint32_t *left_out)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root
      = json_tokener_parse_ex (tokener, body.data, (int)body.len);
  struct json_object *list = NULL;
  bool ok = false;

  *out = NULL;
  if (root != NULL && json_object_is_type (root, json_type_object))
    list = json_object_object_get (root, "vms");
  if (list != NULL && json_object_is_type (list, json_type_array))
    ok = read_list (list, out, count, left_out);
  json_object_put (root);
  json_tokener_free (tokener);
  return ok;
}

static void
on_answer (void *user, const struct hc_result *answer)
{
  struct vl_http *http = user;
  struct vl_fetch fetch = http->fetch;
  struct vl_result result = { .error = "" };
  struct cyc_mem_vm *vms = NULL;

  http->call = (struct cyc_ref){ 0 };
  if (answer->status == 0)
    result.error = answer->error;
  else if (answer->status != 200)
    result.error = "the status is not 200";
  else if (!vl_parse (answer->body, &vms, &result.count, &result.left_out))
    result.error = "the answer is not a VM list";
  else
    result.ok = true;
  result.vms = vms;
  fetch.done (fetch.user, &result);
  free (vms);
}

static bool
http_fetch (struct vl_list *list, const struct vl_fetch *fetch)
{
  struct vl_http *http = (struct vl_http *)list;

  if (http->call.generation != 0)
    return false;
  http->fetch = *fetch;
  http->call = hc_send (http->client, &(struct hc_request){
                                          .method = HC_GET,
                                          .url = cyc_str_of (http->url),
                                          .deadline_us = fetch->deadline_us,
                                          .done = on_answer,
                                          .user = http,
                                      });
  return http->call.generation != 0;
}

static const struct vl_vtable http_vtable = { .fetch = http_fetch };

bool
vl_http_setup (struct vl_http *http, const struct vl_http_desc *desc,
               struct cyc_findings *findings)
{
  memset (http, 0, sizeof *http);
  http->list.vtable = &http_vtable;
  http->client = desc->client;
  if (desc->client == NULL)
    cyc_findings_add (findings, CYC_STR ("vl_http_desc.client"), "is missing");
  if (desc->url.len == 0 || desc->url.len + 9 > sizeof http->url)
    cyc_findings_add (findings, CYC_STR ("vl_http_desc.url"),
                      "must have 1 to %zu bytes", sizeof http->url - 9);
  else
    snprintf (http->url, sizeof http->url, "%.*s/v1/vms", CYC_FMT (desc->url));
  return http->client != NULL && http->url[0] != '\0';
}

void
vl_http_shutdown (struct vl_http *http)
{
  if (http->call.generation != 0)
    hc_cancel (http->client, http->call);
  memset (http, 0, sizeof *http);
}
