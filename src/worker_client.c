#include "worker_client.h"

#include <glib.h>
#include <json-c/json.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_CALLS 8192
#define MAX_LISTED_TASKS 65536

enum call_kind
{
  CALL_START,
  CALL_HEARTBEAT,
  CALL_COMMAND
};

struct wc_http_call
{
  struct wc_http *http;
  struct cyc_ref ref;
  struct cyc_ref transfer;
  enum call_kind kind;
  void (*done) (void *user, const struct wc_result *result);
  void (*heartbeat_done) (void *user,
                          const struct wc_heartbeat_result *result);
  void *user;
};

bool
wc_start (struct wc_worker *worker, const struct wc_start *start)
{
  return worker->vtable->start (worker, start);
}

bool
wc_heartbeat (struct wc_worker *worker, const struct wc_heartbeat *heartbeat)
{
  return worker->vtable->heartbeat (worker, heartbeat);
}

bool
wc_command (struct wc_worker *worker, const struct wc_command *command)
{
  return worker->vtable->command (worker, command);
}

static struct cyc_str
get_string (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);

  if (value == NULL || !json_object_is_type (value, json_type_string))
    return (struct cyc_str){ .data = "", .len = 0 };
  return (struct cyc_str){
    .data = json_object_get_string (value),
    .len = (size_t)json_object_get_string_len (value),
  };
}

static uint64_t
get_uint64 (struct json_object *object, const char *key)
{
  struct json_object *value = json_object_object_get (object, key);
  int64_t number = value != NULL ? json_object_get_int64 (value) : 0;

  return number < 0 ? 0 : (uint64_t)number;
}

static uint32_t
get_uint32 (struct json_object *object, const char *key)
{
  uint64_t number = get_uint64 (object, key);

  return number > UINT32_MAX ? UINT32_MAX : (uint32_t)number;
}

static struct json_object *
parse_object (struct cyc_str body)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root
      = json_tokener_parse_ex (tokener, body.data, (int)body.len);

  json_tokener_free (tokener);
  if (root != NULL && !json_object_is_type (root, json_type_object))
    {
      json_object_put (root);
      root = NULL;
    }
  return root;
}

struct refusal_reason
{
  const char *text;
  enum wc_refusal refusal;
};

static const struct refusal_reason refusal_reasons[] = {
  { "stale-epoch", WC_REFUSAL_STALE_EPOCH },
  { "expired", WC_REFUSAL_EXPIRED },
  { "no-room", WC_REFUSAL_NO_CAPACITY },
};

/* Derives the outcome of a call from its answer. Only an answer that the
   interface defines as a refusal proves that the call had no effect. */
static void
read_outcome (const struct hc_result *answer, struct wc_result *out)
{
  struct json_object *root;
  struct cyc_str text;

  *out = (struct wc_result){ .outcome = WC_UNKNOWN };
  if (answer->status == 0)
    {
      if (answer->sent == HC_SENT_NO)
        out->outcome = WC_FAILED;
      return;
    }
  if (answer->status >= 200 && answer->status < 300)
    {
      out->outcome = WC_OK;
      return;
    }
  if (answer->status == 404)
    {
      out->outcome = WC_REFUSED;
      out->refusal = WC_REFUSAL_NO_TASK;
      return;
    }
  if (answer->status != 409 && answer->status != 507)
    return;
  root = parse_object (answer->body);
  if (root == NULL)
    return;
  text = get_string (root, "reason");
  for (size_t i = 0; i < sizeof refusal_reasons / sizeof refusal_reasons[0];
       i++)
    if (cyc_str_eq (text, cyc_str_of (refusal_reasons[i].text)))
      {
        out->outcome = WC_REFUSED;
        out->refusal = refusal_reasons[i].refusal;
      }
  json_object_put (root);
}

static bool
read_task (struct json_object *object, struct wc_task *out)
{
  static const char *const state_names[]
      = { "running", "done", "failed", "stopped", "checkpointed" };
  struct cyc_str state = get_string (object, "state");

  memset (out, 0, sizeof *out);
  out->task = get_string (object, "task");
  out->queue = get_string (object, "queue");
  out->reason = get_string (object, "reason");
  out->checkpoint = get_string (object, "checkpoint");
  out->size.millicores = get_uint32 (object, "millicores");
  out->size.memory_mib = get_uint32 (object, "memory_mib");
  out->size.accelerators = get_uint32 (object, "accelerators");
  out->used.millicores = get_uint32 (object, "used_millicores");
  out->used.memory_mib = get_uint32 (object, "used_memory_mib");
  out->used.accelerators = out->size.accelerators;
  out->not_after_us = hc_deadline_us (get_uint64 (object, "not_after_ms"));
  cyc_id128_parse (get_string (object, "lease"), &out->lease);
  for (size_t i = 0; i < sizeof state_names / sizeof state_names[0]; i++)
    if (cyc_str_eq (state, cyc_str_of (state_names[i])))
      {
        out->state = (enum wc_task_state)i;
        return out->task.len > 0 && out->task.len < WC_TASK_BYTES;
      }
  return false;
}

/* Returns NULL if any task of the list cannot be read: a list without that
   task would report it as ended. */
static struct wc_task *
read_tasks (struct json_object *root, uint32_t *count)
{
  struct json_object *list = json_object_object_get (root, "tasks");
  size_t total;
  struct wc_task *tasks;

  if (list == NULL || !json_object_is_type (list, json_type_array))
    return NULL;
  total = json_object_array_length (list);
  if (total > MAX_LISTED_TASKS)
    return NULL;
  tasks = calloc (total + 1, sizeof *tasks);
  for (size_t i = 0; tasks != NULL && i < total; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);

      if (!json_object_is_type (item, json_type_object)
          || !read_task (item, &tasks[i]))
        {
          free (tasks);
          return NULL;
        }
    }
  *count = (uint32_t)total;
  return tasks;
}

static void
finish_heartbeat (const struct wc_http_call *call,
                  const struct hc_result *answer)
{
  struct wc_heartbeat_result result = { 0 };
  struct wc_result base;
  struct json_object *root = NULL;
  struct wc_task *tasks = NULL;

  read_outcome (answer, &base);
  result.outcome = base.outcome;
  result.refusal = base.refusal;
  if (base.outcome == WC_OK)
    {
      root = parse_object (answer->body);
      if (root != NULL)
        tasks = read_tasks (root, &result.count);
      if (tasks == NULL)
        result.outcome = WC_UNKNOWN;
    }
  if (tasks != NULL)
    {
      result.tasks = tasks;
      result.epoch = get_uint64 (root, "epoch");
      result.draining = answer->draining
                        || json_object_get_boolean (
                            json_object_object_get (root, "draining"));
      result.usage_age_ms = get_uint32 (root, "usage_age_ms");
    }
  call->heartbeat_done (call->user, &result);
  free (tasks);
  json_object_put (root);
}

static void
on_answer (void *user, const struct hc_result *answer)
{
  struct wc_http_call *call = user;
  struct wc_http_call copy = *call;
  struct wc_result result;

  cyc_pool_release (&copy.http->pool, copy.ref);
  if (copy.kind == CALL_HEARTBEAT)
    {
      finish_heartbeat (&copy, answer);
      return;
    }
  read_outcome (answer, &result);
  copy.done (copy.user, &result);
}

static struct wc_http_call *
take_call (struct wc_http *http, enum call_kind kind, void *user)
{
  struct cyc_ref ref = cyc_pool_take (&http->pool);
  struct wc_http_call *call;

  if (ref.generation == 0)
    return NULL;
  call = &http->calls[ref.index];
  memset (call, 0, sizeof *call);
  call->http = http;
  call->ref = ref;
  call->kind = kind;
  call->user = user;
  return call;
}

static bool
send_call (struct wc_http_call *call, const char *url, struct cyc_str body,
           uint64_t deadline_us, bool fresh)
{
  struct hc_request request = {
    .method = HC_POST,
    .url = cyc_str_of (url),
    .body = body,
    .headers = { CYC_STR ("Content-Type: application/json") },
    .header_count = 1,
    .deadline_us = deadline_us,
    /* A refusal of a start or command must answer its only copy. A later copy
       of a heartbeat renews the same leases and lists the tasks anew. */
    .repeatable = call->kind == CALL_HEARTBEAT,
    .fresh_connection = fresh,
    .done = on_answer,
    .user = call,
  };

  call->transfer = hc_send (call->http->client, &request);
  if (call->transfer.generation != 0)
    return true;
  cyc_pool_release (&call->http->pool, call->ref);
  return false;
}

static const char *
kind_name (enum cyc_queue_kind kind)
{
  switch (kind)
    {
    case CYC_KIND_SERVICE:
      return "service";
    case CYC_KIND_GANG:
      return "gang";
    case CYC_KIND_BATCH:
      break;
    }
  return "batch";
}

static bool
http_start (struct wc_worker *worker, const struct wc_start *start)
{
  struct wc_http *http = (struct wc_http *)worker;
  struct wc_http_call *call = take_call (http, CALL_START, start->user);
  char url[256];
  char body[1024];
  char lease[33];
  int len;

  if (call == NULL)
    return false;
  call->done = start->done;
  cyc_id128_hex (&start->lease, lease);
  snprintf (url, sizeof url, "%.*s/v1/tasks", CYC_FMT (start->address));
  len = snprintf (
      body, sizeof body,
      "{\"task\":\"%.*s\",\"lease\":\"%s\",\"epoch\":%" PRIu64
      ",\"shard\":%" PRIu32 ",\"not_after_ms\":%" PRIu64
      ",\"kind\":\"%s\",\"queue\":\"%.*s\",\"millicores\":%" PRIu32
      ",\"memory_mib\":%" PRIu32 ",\"accelerators\":%" PRIu32
      ",\"run_ms\":%" PRIu32 ",\"checkpoint\":\"%.*s\"}",
      CYC_FMT (start->task), lease, start->epoch, start->shard,
      hc_deadline_ms (start->not_after_us), kind_name (start->kind),
      CYC_FMT (start->queue), start->size.millicores, start->size.memory_mib,
      start->size.accelerators, start->run_ms, CYC_FMT (start->checkpoint));
  return send_call (call, url, (struct cyc_str){ body, (size_t)len },
                    start->deadline_us, false);
}

static void
print_heartbeat (GString *body, const struct wc_heartbeat *heartbeat)
{
  g_string_printf (body, "{\"epoch\":%" PRIu64 ",\"leases\":[",
                   heartbeat->epoch);
  for (uint32_t i = 0; i < heartbeat->lease_count; i++)
    {
      char lease[33];

      cyc_id128_hex (&heartbeat->leases[i].lease, lease);
      g_string_append_printf (
          body, "%s{\"lease\":\"%s\",\"not_after_ms\":%" PRIu64 "}",
          i > 0 ? "," : "", lease,
          hc_deadline_ms (heartbeat->leases[i].not_after_us));
    }
  g_string_append (body, "],\"acked\":[");
  for (uint32_t i = 0; i < heartbeat->acked_count; i++)
    g_string_append_printf (body, "%s\"%.*s\"", i > 0 ? "," : "",
                            CYC_FMT (heartbeat->acked[i]));
  g_string_append (body, "]}");
}

static bool
http_heartbeat (struct wc_worker *worker, const struct wc_heartbeat *heartbeat)
{
  struct wc_http *http = (struct wc_http *)worker;
  struct wc_http_call *call
      = take_call (http, CALL_HEARTBEAT, heartbeat->user);
  char url[256];
  GString *body;
  bool sent;

  if (call == NULL)
    return false;
  call->heartbeat_done = heartbeat->done;
  body = g_string_sized_new (64 + heartbeat->lease_count * 80);
  print_heartbeat (body, heartbeat);
  snprintf (url, sizeof url, "%.*s/v1/heartbeat",
            CYC_FMT (heartbeat->address));
  sent = send_call (call, url, (struct cyc_str){ body->str, body->len },
                    heartbeat->deadline_us, heartbeat->fresh_connection);
  g_string_free (body, TRUE);
  return sent;
}

static bool
http_command (struct wc_worker *worker, const struct wc_command *command)
{
  static const char *const verbs[]
      = { "stop", "checkpoint", "throttle", "unthrottle" };
  struct wc_http *http = (struct wc_http *)worker;
  struct wc_http_call *call = take_call (http, CALL_COMMAND, command->user);
  char url[512];
  char body[64];
  int len;

  if (call == NULL)
    return false;
  call->done = command->done;
  snprintf (url, sizeof url, "%.*s/v1/tasks/%.*s/%s",
            CYC_FMT (command->address), CYC_FMT (command->task),
            verbs[command->verb]);
  len = snprintf (body, sizeof body, "{\"epoch\":%" PRIu64 "}",
                  command->epoch);
  return send_call (call, url, (struct cyc_str){ body, (size_t)len },
                    command->deadline_us, false);
}

static const struct wc_vtable http_vtable = {
  .start = http_start,
  .heartbeat = http_heartbeat,
  .command = http_command,
};

bool
wc_http_setup (struct wc_http *http, const struct wc_http_desc *desc,
               struct cyc_findings *findings)
{
  uint32_t max = desc->max_calls ? desc->max_calls : DEFAULT_MAX_CALLS;

  memset (http, 0, sizeof *http);
  http->worker.vtable = &http_vtable;
  http->client = desc->client;
  if (desc->client == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("wc_http_desc.client"),
                        "is missing");
      return false;
    }
  http->calls = calloc (max, sizeof *http->calls);
  if (http->calls == NULL || !cyc_pool_setup (&http->pool, max, NULL))
    {
      cyc_findings_add (findings, CYC_STR ("worker_client"), "out of memory");
      wc_http_shutdown (http);
      return false;
    }
  return true;
}

void
wc_http_shutdown (struct wc_http *http)
{
  if (http->calls != NULL)
    for (uint32_t i = 0; i < http->pool.high; i++)
      if (cyc_pool_used_at (&http->pool, i))
        hc_cancel (http->client, http->calls[i].transfer);
  free (http->calls);
  cyc_pool_shutdown (&http->pool);
  memset (http, 0, sizeof *http);
}
