#include "fk_platform_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.005
#define NEWEST_ITEMS_PER_PAGE 3

void
fkp_address (const struct hs_server *hs, char out[32])
{
  snprintf (out, 32, "127.0.0.1:%u", fk_port (hs));
}

uint64_t
fkp_now_ms (void)
{
  return hc_now_us () / 1000;
}

/* The log. */

/* Returns a partition, which is created on first use. */
static struct fkp_part *
find_part (struct fkp_platform *platform, const char *topic, uint32_t number)
{
  char name[64];
  struct fkp_part *part;

  snprintf (name, sizeof name, "%s/%u", topic, number);
  for (guint i = 0; i < platform->parts->len; i++)
    {
      part = g_ptr_array_index (platform->parts, i);
      if (strcmp (part->name, name) == 0)
        return part;
    }
  part = g_new0 (struct fkp_part, 1);
  snprintf (part->name, sizeof part->name, "%s", name);
  part->keyed = strncmp (topic, "keyed.", 6) == 0;
  part->records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  part->newest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_bytes_unref);
  part->offsets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (platform->parts, part);
  return part;
}

static uint64_t
part_end (const struct fkp_part *part)
{
  return part->first + part->records->len;
}

/* Appends a record; in a keyed topic it becomes the newest value of its key,
   or deletes the key if the value is empty. */
static void
add_record (struct fkp_part *part, const uint8_t *data, size_t len)
{
  uint64_t offset = part_end (part);

  g_ptr_array_add (part->records, g_bytes_new (data, len));
  if (part->keyed && len > 0 && (size_t)data[0] + 1 <= len)
    {
      char *key = g_strndup ((const char *)data + 1, data[0]);
      size_t head = 1 + (size_t)data[0];

      if (len == head)
        {
          g_hash_table_remove (part->newest, key);
          g_hash_table_remove (part->offsets, key);
        }
      else
        {
          g_hash_table_replace (part->newest, g_strdup (key),
                                g_bytes_new (data + head, len - head));
          g_hash_table_replace (part->offsets, g_strdup (key),
                                g_memdup2 (&offset, sizeof offset));
        }
      g_free (key);
    }
}

void
fkp_put (struct fkp_platform *platform, const char *topic, const char *key,
         const char *value)
{
  GByteArray *record = g_byte_array_new ();
  uint8_t len = (uint8_t)strlen (key);

  g_byte_array_append (record, &len, 1);
  g_byte_array_append (record, (const uint8_t *)key, len);
  g_byte_array_append (record, (const uint8_t *)value, (guint)strlen (value));
  add_record (find_part (platform, topic, 0), record->data, record->len);
  g_byte_array_free (record, TRUE);
}

void
fkp_append (struct fkp_platform *platform, const char *topic,
            const uint8_t *data, size_t len)
{
  add_record (find_part (platform, topic, 0), data, len);
}

void
fkp_trim (struct fkp_platform *platform, const char *topic, uint64_t before)
{
  struct fkp_part *part = find_part (platform, topic, 0);

  while (part->first < before && part->records->len > 0)
    {
      g_ptr_array_remove_index (part->records, 0);
      part->first++;
    }
}

void
fkp_delay_reply (struct fkp_platform *platform, struct hs_server *hs,
                 struct cyc_ref call, uint32_t status, struct cyc_str body,
                 uint32_t delay_ms, const struct fkp_worker *sender)
{
  struct fkp_pending_reply reply = {
    .hs = hs,
    .call = call,
    .due_ms = fkp_now_ms () + delay_ms,
    .body = g_bytes_new (body.data, body.len),
    .status = status,
    .sender = sender,
  };

  g_array_append_val (platform->pending_replies, reply);
}

static void
reply_log (struct fkp_platform *platform, struct cyc_ref call, uint32_t status,
           struct cyc_str body)
{
  if (platform->faults.log_delay_ms > 0)
    fkp_delay_reply (platform, &platform->log, call, status, body,
                     platform->faults.log_delay_ms, NULL);
  else
    fk_reply_text (&platform->log, call, status, body);
}

static uint64_t
query_u64 (const struct hs_call *call, const char *name, uint64_t fallback)
{
  struct cyc_str text = hs_query (call, name);

  return text.len > 0 ? strtoull (text.data, NULL, 10) : fallback;
}

static void
reply_json (struct fkp_platform *platform, struct cyc_ref call,
            uint32_t status, const char *format, uint64_t a, uint64_t b)
{
  char body[160];

  snprintf (body, sizeof body, format, a, b);
  reply_log (platform, call, status, cyc_str_of (body));
}

/* Checks the epoch and the sequence number of an append. Returns true if its
   records are to be stored; otherwise the call was answered. */
static bool
check_producer (struct fkp_platform *platform, struct fkp_part *part,
                const struct hs_call *call)
{
  struct cyc_str producer = hs_query (call, "producer");
  uint64_t epoch = query_u64 (call, "epoch", 0);
  uint64_t sequence = query_u64 (call, "seq", 0);

  if (producer.len == 0)
    return true;
  if (epoch < part->epoch)
    {
      reply_json (platform, call->ref, 409,
                  "{\"reason\":\"fenced\",\"epoch\":%" PRIu64 "}", part->epoch,
                  0);
      return false;
    }
  if (epoch > part->epoch)
    {
      part->epoch = epoch;
      part->sequence = sequence;
    }
  if (call->body.len == 0)
    return true;
  if (sequence + 1 == part->sequence)
    {
      reply_json (platform, call->ref, 200,
                  "{\"offset\":%" PRIu64 ",\"end_offset\":%" PRIu64 "}",
                  part->last_offset, part_end (part));
      return false;
    }
  if (sequence != part->sequence)
    {
      reply_json (platform, call->ref, 409,
                  "{\"reason\":\"seq\",\"seq\":%" PRIu64 "}", part->sequence,
                  0);
      return false;
    }
  part->sequence++;
  part->last_offset = part_end (part);
  return true;
}

/* Returns whether the records of an append are within the limits. */
static bool
are_records_valid (const struct fkp_platform *platform, struct cyc_str body)
{
  const uint8_t *at = (const uint8_t *)body.data;
  size_t left = body.len;

  if (platform->request_bytes > 0 && body.len > platform->request_bytes)
    return false;
  while (left >= 4)
    {
      size_t len = (size_t)at[0] << 24 | (size_t)at[1] << 16
                   | (size_t)at[2] << 8 | at[3];

      if (len > left - 4
          || (platform->record_bytes > 0 && len > platform->record_bytes))
        return false;
      at += 4 + len;
      left -= 4 + len;
    }
  return left == 0;
}

static void
on_append (struct fkp_platform *platform, const struct hs_call *call)
{
  struct cyc_str topic = hs_query (call, "topic");
  struct fkp_part *part = find_part (platform, topic.data,
                                     (uint32_t)query_u64 (call, "part", 0));
  uint64_t offset = part_end (part);
  const uint8_t *at = (const uint8_t *)call->body.data;
  size_t left = call->body.len;

  if (platform->faults.busy_topic != NULL && call->body.len > 0
      && cyc_str_eq (topic, cyc_str_of (platform->faults.busy_topic)))
    {
      platform->faults.busy_topic = NULL;
      fkp_delay_reply (platform, &platform->log, call->ref, 503,
                       CYC_STR ("{}"), platform->faults.busy_delay_ms, NULL);
      return;
    }
  if (!are_records_valid (platform, call->body))
    {
      platform->invalid_appends++;
      reply_json (platform, call->ref, 400, "{}", 0, 0);
      return;
    }
  if (query_u64 (call, "at", offset) != offset)
    {
      reply_json (platform, call->ref, 412, "{\"end_offset\":%" PRIu64 "}",
                  offset, 0);
      return;
    }
  if (!check_producer (platform, part, call))
    return;
  while (left >= 4)
    {
      size_t len = (size_t)at[0] << 24 | (size_t)at[1] << 16
                   | (size_t)at[2] << 8 | at[3];

      add_record (part, at + 4, len);
      at += 4 + len;
      left -= 4 + len;
    }
  if (platform->faults.lose_append_answers > 0)
    {
      platform->faults.lose_append_answers--;
      if (platform->faults.stop_listening)
        hs_stop_listening (&platform->log);
      fk_close_without_answer (&platform->log, call->ref, call->connection);
      return;
    }
  reply_json (platform, call->ref, 200,
              "{\"offset\":%" PRIu64 ",\"end_offset\":%" PRIu64 "}", offset,
              part_end (part));
}

static void
put_u64 (GByteArray *out, uint64_t value)
{
  uint8_t bytes[8];

  for (int i = 0; i < 8; i++)
    bytes[i] = (uint8_t)(value >> (56 - 8 * i));
  g_byte_array_append (out, bytes, 8);
}

static void
reply_read (struct fkp_platform *platform, struct cyc_ref call,
            const struct fkp_part *part, uint64_t from)
{
  GByteArray *out = g_byte_array_new ();

  put_u64 (out, part_end (part));
  put_u64 (out, part->first);
  for (uint64_t at = from; at < part_end (part); at++)
    {
      gsize len;
      const uint8_t *data = g_bytes_get_data (
          g_ptr_array_index (part->records, at - part->first), &len);
      uint8_t head[4] = { (uint8_t)(len >> 24), (uint8_t)(len >> 16),
                          (uint8_t)(len >> 8), (uint8_t)len };

      g_byte_array_append (out, head, 4);
      g_byte_array_append (out, data, (guint)len);
    }
  reply_log (platform, call, 200,
             (struct cyc_str){ (const char *)out->data, out->len });
  g_byte_array_free (out, TRUE);
}

static void
on_read (struct fkp_platform *platform, const struct hs_call *call)
{
  struct cyc_str topic = hs_query (call, "topic");
  struct fkp_part *part = find_part (platform, topic.data,
                                     (uint32_t)query_u64 (call, "part", 0));
  uint64_t from = query_u64 (call, "from", 0);
  uint64_t wait = query_u64 (call, "wait_ms", 0);

  if (platform->faults.unread_topic != NULL
      && cyc_str_eq (topic, cyc_str_of (platform->faults.unread_topic)))
    return;
  if (from < part->first)
    {
      reply_json (platform, call->ref, 410, "{\"first_offset\":%" PRIu64 "}",
                  part->first, 0);
      return;
    }
  if (from < part_end (part) || wait == 0)
    {
      reply_read (platform, call->ref, part, from);
      return;
    }
  g_array_append_vals (
      platform->pending_replies,
      &(struct fkp_pending_reply){ .hs = &platform->log,
                                   .call = call->ref,
                                   .part = part,
                                   .from = from,
                                   .due_ms = fkp_now_ms () + wait },
      1);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static void
on_newest (struct fkp_platform *platform, const struct hs_call *call)
{
  struct cyc_str topic = hs_query (call, "topic");
  struct cyc_str after = hs_query (call, "depends_on");
  struct fkp_part *part = find_part (platform, topic.data,
                                     (uint32_t)query_u64 (call, "part", 0));
  GList *keys;
  GString *out;
  uint32_t page = platform->newest_items != 0 ? platform->newest_items
                                              : NEWEST_ITEMS_PER_PAGE;
  uint32_t count = 0;
  bool more = false;

  if (platform->faults.unloaded_topic != NULL
      && cyc_str_eq (topic, cyc_str_of (platform->faults.unloaded_topic)))
    return;
  keys = g_list_sort (g_hash_table_get_keys (part->newest), compare_keys);
  out = g_string_new ("{\"items\":[");

  for (GList *at = keys; at != NULL; at = at->next)
    {
      gsize len;
      const uint8_t *data;
      struct json_object *key;
      char *text;

      if (after.len > 0 && strcmp (at->data, after.data) <= 0)
        continue;
      if (count == page)
        {
          more = true;
          break;
        }
      data = g_bytes_get_data (g_hash_table_lookup (part->newest, at->data),
                               &len);
      text = g_base64_encode (data, len);
      key = json_object_new_string (at->data);
      g_string_append_printf (
          out, "%s{\"key\":%s,\"value\":\"%s\",\"offset\":%" PRIu64 "}",
          count > 0 ? "," : "", json_object_to_json_string (key), text,
          *(uint64_t *)g_hash_table_lookup (part->offsets, at->data));
      json_object_put (key);
      g_free (text);
      count++;
    }
  g_string_append_printf (out, "],\"has_more\":%s,\"end_offset\":%" PRIu64 "}",
                          more ? "true" : "false", part_end (part));
  reply_log (platform, call->ref, 200, (struct cyc_str){ out->str, out->len });
  g_string_free (out, TRUE);
  g_list_free (keys);
}

static void
on_log_call (void *user, const struct hs_call *call)
{
  struct fkp_platform *platform = user;

  platform->calls++;
  if (platform->faults.log_silent)
    return;
  if (platform->faults.log_disconnects)
    {
      fk_close_without_answer (&platform->log, call->ref, call->connection);
      return;
    }
  if (platform->faults.log_busy && platform->faults.lose_append_answers == 0)
    {
      fk_reply_text (&platform->log, call->ref, 503, CYC_STR ("{}"));
      return;
    }
  if (cyc_str_eq (call->path, CYC_STR ("/-/log-append")))
    on_append (platform, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/-/log-read")))
    on_read (platform, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/-/log-newest")))
    on_newest (platform, call);
  else
    fk_reply_text (&platform->log, call->ref, 404, CYC_STR ("{}"));
}

/* The advisor: every worker in the request may run the step. */

static void
append_ticket (const struct fkp_platform *platform, const char *step,
               const char *worker, size_t index, GString *out)
{
  char ticket[128];

  if (platform->ticketed != NULL)
    fkp_issue_ticket (platform, step, worker, ticket);
  else
    snprintf (ticket, sizeof ticket, "ticket-%0*zu",
              (int)platform->faults.ticket_bytes, index);
  g_string_append_printf (out, "%s[\"%s\",\"%s\"]", index > 0 ? "," : "",
                          worker, ticket);
}

static void
on_advise (void *user, const struct hs_call *call)
{
  struct fkp_platform *platform = user;
  struct json_object *root = fk_parse (call->body);
  struct json_object *workers = NULL;
  GString *out = g_string_new ("{\"allowed\":[");

  platform->advice_requests++;
  if (platform->faults.advisor_silent)
    ;
  else if (platform->faults.advisor_busy || root == NULL
           || !json_object_object_get_ex (root, "workers", &workers))
    fk_reply_text (&platform->advisor, call->ref, 429, CYC_STR ("{}"));
  else
    {
      for (size_t i = 0; i < json_object_array_length (workers); i++)
        append_ticket (
            platform, fk_text (root, "step", ""),
            json_object_get_string (json_object_array_get_idx (workers, i)), i,
            out);
      g_string_append_printf (
          out, "],\"valid_ms\":%u}",
          platform->ticket_valid_ms ? platform->ticket_valid_ms : 2500);
      if (platform->decision_ms > 0)
        fkp_delay_reply (platform, &platform->advisor, call->ref, 200,
                         (struct cyc_str){ out->str, out->len },
                         platform->decision_ms, NULL);
      else
        fk_reply_text (&platform->advisor, call->ref, 200,
                       (struct cyc_str){ out->str, out->len });
    }
  g_string_free (out, TRUE);
  json_object_put (root);
}

/* Timer. */

/* Returns true if the call was answered or will never be. */
static bool
answer_if_due (struct fkp_platform *platform, struct fkp_pending_reply *reply,
               uint64_t now)
{
  if (reply->body != NULL)
    {
      gsize len;
      const char *data = g_bytes_get_data (reply->body, &len);

      if (now < reply->due_ms)
        return false;
      if (reply->sender == NULL || reply->sender->cut == FKP_CUT_NONE)
        fk_reply_text (reply->hs, reply->call, reply->status,
                       (struct cyc_str){ data, len });
      g_bytes_unref (reply->body);
      return true;
    }
  if (reply->worker != NULL
      && (reply->worker->silent || reply->worker->down
          || reply->worker->cut == FKP_CUT_BOTH))
    return true;
  if (reply->worker != NULL)
    {
      if (reply->worker->end_count == 0 && now < reply->due_ms)
        return false;
      fkp_reply_hold (reply->worker, reply->call);
      return true;
    }
  if (platform->faults.unread_topic != NULL
      && g_str_has_prefix (reply->part->name, platform->faults.unread_topic))
    return true;
  if (part_end (reply->part) <= reply->from && now < reply->due_ms)
    return false;
  reply_read (platform, reply->call, reply->part, reply->from);
  return true;
}

static void
on_tick (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct fkp_platform *platform = timer->data;
  uint64_t now = fkp_now_ms ();

  (void)loop;
  (void)events;
  fkp_workers_tick (platform, now);
  for (guint i = 0; i < platform->pending_replies->len;)
    {
      struct fkp_pending_reply reply = g_array_index (
          platform->pending_replies, struct fkp_pending_reply, i);

      if (answer_if_due (platform, &reply, now))
        g_array_remove_index (platform->pending_replies, i);
      else
        i++;
    }
  if (now >= platform->next_entries_ms)
    {
      platform->next_entries_ms = now + FKP_HEARTBEAT_MS;
      fkp_publish_workers (platform);
    }
}

bool
fkp_listen (struct hs_server *hs, struct ev_loop *loop, const char *address,
            void (*handle) (void *user, const struct hs_call *call),
            void *user, struct cyc_findings *findings)
{
  const char *colon = strchr (address, ':');

  return hs_setup (hs,
                   &(struct hs_desc){
                       .loop = loop,
                       .address = "127.0.0.1",
                       .port = colon != NULL ? (uint16_t)atoi (colon + 1) : 0,
                       .max_body_bytes = 4U << 20,
                       .handle = handle,
                       .user = user },
                   findings);
}

bool
fkp_setup (struct fkp_platform *platform, struct ev_loop *loop,
           uint32_t workers, struct cyc_findings *findings)
{
  memset (platform, 0, sizeof *platform);
  platform->loop = loop;
  platform->parts = g_ptr_array_new ();
  platform->pending_replies
      = g_array_new (FALSE, TRUE, sizeof (struct fkp_pending_reply));
  fkp_workers_setup (platform);
  if (!fkp_listen (&platform->log, loop, "", on_log_call, platform, findings)
      || !fkp_listen (&platform->advisor, loop, "", on_advise, platform,
                      findings))
    return false;
  for (uint32_t i = 0; i < workers; i++)
    {
      struct fkp_worker *worker = &platform->workers[i];

      worker->platform = platform;
      snprintf (worker->id, sizeof worker->id, "i-worker%u", i);
      worker->born_ms = fkp_now_ms () - 1000;
      worker->millicores = 8000;
      worker->next_end_number = 1;
      worker->over
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      worker->connections = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                   g_free, g_free);
      worker->reserved_fd = -1;
      if (!fkp_listen (&worker->hs, loop, "", fkp_on_worker_call, worker,
                       findings))
        return false;
      fkp_address (&worker->hs, worker->address);
      platform->worker_count++;
    }
  ev_timer_init (&platform->timer, on_tick, TICK_S, TICK_S);
  platform->timer.data = platform;
  ev_timer_start (loop, &platform->timer);
  return true;
}

void
fkp_shutdown (struct fkp_platform *platform)
{
  ev_timer_stop (platform->loop, &platform->timer);
  for (uint32_t i = 0; i < platform->worker_count; i++)
    hs_shutdown (&platform->workers[i].hs);
  hs_shutdown (&platform->log);
  hs_shutdown (&platform->advisor);
  for (guint i = 0; i < platform->parts->len; i++)
    {
      struct fkp_part *part = g_ptr_array_index (platform->parts, i);

      g_ptr_array_free (part->records, TRUE);
      g_hash_table_destroy (part->newest);
      g_hash_table_destroy (part->offsets);
      g_free (part);
    }
  g_ptr_array_free (platform->parts, TRUE);
  g_array_free (platform->pending_replies, TRUE);
  fkp_workers_shutdown (platform);
}
