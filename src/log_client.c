#include "log_client.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_CALLS 256
#define URL_BYTES 512
#define HTTP_OK 200
#define HTTP_CLIENT_ERROR 400
#define HTTP_REQUEST_TIMEOUT 408
#define HTTP_SERVER_ERROR 500

struct lc_call
{
  struct lc_http_state *state;
  struct cyc_ref ref;
  struct cyc_ref transfer;
  uint64_t from;
  void (*append_done) (void *user, const struct lc_append_result *result);
  void (*read_done) (void *user, const struct lc_read_result *result);
  void *user;
};

struct lc_http_state
{
  struct hc_client *client;
  char url[URL_BYTES / 2];
  struct lc_call *calls;
  struct cyc_pool pool;
};

bool
lc_append (struct lc_log *log, const struct lc_append *append)
{
  return log->vtable->append (log, append);
}

bool
lc_read (struct lc_log *log, const struct lc_read *read)
{
  return log->vtable->read (log, read);
}

static struct lc_call *
take_call (struct lc_http_state *state)
{
  struct cyc_ref ref = cyc_pool_take (&state->pool);

  if (ref.generation == 0)
    return NULL;
  state->calls[ref.index] = (struct lc_call){ .state = state, .ref = ref };
  return &state->calls[ref.index];
}

/* Releases a call and returns a copy of it. The row is free before `done`
   runs, so that `done` may start the next call. */
static struct lc_call
release_call (struct lc_call *call)
{
  struct lc_call copy = *call;

  cyc_pool_release (&call->state->pool, call->ref);
  return copy;
}

static bool
get_uint (struct json_object *object, const char *key, uint64_t *out)
{
  struct json_object *value = NULL;

  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_int)
      || json_object_get_int64 (value) < 0)
    return false;
  *out = json_object_get_uint64 (value);
  return true;
}

static struct json_object *
parse_object (struct cyc_str body)
{
  struct json_tokener *tokener;
  struct json_object *root;

  if (body.len == 0 || body.len > INT32_MAX)
    return NULL;
  tokener = json_tokener_new ();
  if (tokener == NULL)
    return NULL;
  root = json_tokener_parse_ex (tokener, body.data, (int)body.len);
  json_tokener_free (tokener);
  if (root != NULL && !json_object_is_type (root, json_type_object))
    {
      json_object_put (root);
      return NULL;
    }
  return root;
}

/* A 4xx status except 408 means that the log did not append the record. After
   any other failure it may have, unless nothing was sent. */
static enum lc_outcome
append_outcome (const struct hc_result *result)
{
  if (result->status == 0)
    return result->sent == HC_SENT_NO ? LC_FAILED : LC_UNKNOWN;
  if (result->status >= HTTP_CLIENT_ERROR && result->status < HTTP_SERVER_ERROR
      && result->status != HTTP_REQUEST_TIMEOUT)
    return LC_FAILED;
  return LC_UNKNOWN;
}

static void
on_append (void *user, const struct hc_result *result)
{
  struct lc_call call = release_call (user);
  struct lc_append_result out = { .outcome = append_outcome (result) };
  struct json_object *root = NULL;

  if (result->status == HTTP_OK)
    root = parse_object (result->body);
  if (root != NULL && get_uint (root, "offset", &out.offset))
    out.outcome = LC_OK;
  json_object_put (root);
  call.append_done (call.user, &out);
}

static bool
http_append (struct lc_log *log, const struct lc_append *append)
{
  struct lc_http_state *state = ((struct lc_http *)log)->state;
  struct lc_call *call = take_call (state);
  struct hc_request request = { .method = HC_POST };
  char url[URL_BYTES];

  if (call == NULL)
    return false;
  call->append_done = append->done;
  call->user = append->user;
  snprintf (url, sizeof url, "%s/v1/streams/%.*s/records", state->url,
            CYC_FMT (append->stream));
  request.url = cyc_str_of (url);
  request.body = append->record;
  request.headers[request.header_count++]
      = CYC_STR ("Content-Type: application/octet-stream");
  request.deadline_us = append->deadline_us;
  request.done = on_append;
  request.user = call;
  call->transfer = hc_send (state->client, &request);
  if (call->transfer.generation != 0)
    return true;
  cyc_pool_release (&state->pool, call->ref);
  return false;
}

static bool
decode_record (struct json_object *object, uint64_t min_offset,
               struct lc_record *out, char **buffer, size_t *buffer_bytes)
{
  struct json_object *data = NULL;
  size_t len = 0;

  if (!json_object_is_type (object, json_type_object)
      || !get_uint (object, "offset", &out->offset) || out->offset < min_offset
      || !json_object_object_get_ex (object, "data", &data)
      || !json_object_is_type (data, json_type_string))
    return false;
  if (sodium_base642bin ((unsigned char *)*buffer, *buffer_bytes,
                         json_object_get_string (data),
                         (size_t)json_object_get_string_len (data), NULL, &len,
                         NULL, sodium_base64_VARIANT_ORIGINAL)
      != 0)
    return false;
  out->data = (struct cyc_str){ .data = *buffer, .len = len };
  *buffer += len;
  *buffer_bytes -= len;
  return true;
}

/* Decodes the list of records. Their offsets must increase, beginning at
   `from` or later, and stay below `next`. The data of all records is in one
   buffer, which is never larger than the answer. */
static bool
decode_records (struct json_object *list, uint64_t from, uint64_t next,
                struct lc_record *records, char *buffer, size_t buffer_bytes)
{
  size_t count = json_object_array_length (list);
  uint64_t min_offset = from;

  for (size_t i = 0; i < count; i++)
    {
      if (!decode_record (json_object_array_get_idx (list, i), min_offset,
                          &records[i], &buffer, &buffer_bytes)
          || records[i].offset >= next)
        return false;
      min_offset = records[i].offset + 1;
    }
  return true;
}

static void
finish_read (const struct lc_call *call, struct json_object *root,
             size_t body_len)
{
  struct lc_read_result out = { .outcome = LC_FAILED };
  struct json_object *list = NULL;
  struct lc_record *records = NULL;
  char *buffer = NULL;

  if (root != NULL && get_uint (root, "oldest", &out.oldest)
      && get_uint (root, "next", &out.next)
      && json_object_object_get_ex (root, "records", &list)
      && json_object_is_type (list, json_type_array))
    {
      records = calloc (json_object_array_length (list) + 1, sizeof *records);
      buffer = malloc (body_len + 1);
      if (records != NULL && buffer != NULL
          && decode_records (list, call->from, out.next, records, buffer,
                             body_len))
        {
          out.outcome = LC_OK;
          out.records = records;
          out.count = (uint32_t)json_object_array_length (list);
        }
    }
  call->read_done (call->user, &out);
  free (records);
  free (buffer);
}

static void
on_read (void *user, const struct hc_result *result)
{
  struct lc_call call = release_call (user);
  struct json_object *root = NULL;

  if (result->status == HTTP_OK)
    root = parse_object (result->body);
  finish_read (&call, root, result->body.len);
  json_object_put (root);
}

static bool
http_read (struct lc_log *log, const struct lc_read *read)
{
  struct lc_http_state *state = ((struct lc_http *)log)->state;
  struct lc_call *call = take_call (state);
  struct hc_request request = { .method = HC_GET };
  char url[URL_BYTES];

  if (call == NULL)
    return false;
  call->read_done = read->done;
  call->user = read->user;
  call->from = read->from;
  snprintf (url, sizeof url,
            "%s/v1/streams/%.*s/records?from=%" PRIu64 "&max=%u&wait_ms=%u",
            state->url, CYC_FMT (read->stream), read->from, read->max,
            read->wait_ms);
  request.url = cyc_str_of (url);
  request.deadline_us = read->deadline_us;
  request.complete_by_us = read->complete_by_us;
  request.done = on_read;
  request.user = call;
  call->transfer = hc_send (state->client, &request);
  if (call->transfer.generation != 0)
    return true;
  cyc_pool_release (&state->pool, call->ref);
  return false;
}

static const struct lc_vtable http_vtable
    = { .append = http_append, .read = http_read };

bool
lc_http_setup (struct lc_http *http, const struct lc_http_desc *desc,
               struct cyc_findings *findings)
{
  uint32_t max = desc->max_calls != 0 ? desc->max_calls : DEFAULT_MAX_CALLS;
  uint32_t before = findings->count;

  memset (http, 0, sizeof *http);
  if (desc->client == NULL)
    cyc_findings_add (findings, CYC_STR ("client"), "is missing");
  if (desc->url.len == 0 || desc->url.len >= URL_BYTES / 2)
    cyc_findings_add (findings, CYC_STR ("url"), "is missing or too long");
  if (findings->count != before)
    return false;
  http->log.vtable = &http_vtable;
  http->state = calloc (1, sizeof *http->state);
  if (http->state != NULL)
    {
      http->state->client = desc->client;
      snprintf (http->state->url, sizeof http->state->url, "%.*s",
                CYC_FMT (desc->url));
      http->state->calls = calloc (max, sizeof *http->state->calls);
      if (http->state->calls != NULL
          && cyc_pool_setup (&http->state->pool, max, NULL))
        return true;
    }
  cyc_findings_add (findings, CYC_STR ("log_client"), "out of memory");
  lc_http_shutdown (http);
  return false;
}

void
lc_http_shutdown (struct lc_http *http)
{
  struct lc_http_state *state = http->state;

  if (state == NULL)
    return;
  for (uint32_t i = 0; state->calls != NULL && i < state->pool.high; i++)
    if (cyc_pool_used_at (&state->pool, i))
      hc_cancel (state->client, state->calls[i].transfer);
  cyc_pool_shutdown (&state->pool);
  free (state->calls);
  free (state);
  http->state = NULL;
}
