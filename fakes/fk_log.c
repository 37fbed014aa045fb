#include "fk_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.002
#define DEFAULT_READ_RECORDS 512
#define MAX_RECORD_BYTES 65536
/* With appends_per_s, an append that would be stored later than this is
   refused. */
#define MAX_BACKLOG_US 2000000

enum call_kind
{
  CALL_READ,
  CALL_APPEND,       /* the record is stored; answered at due_us */
  CALL_PACED_APPEND, /* the record is stored and answered at due_us */
  CALL_HELD_APPEND,  /* it waits for others */
};

struct pending_call
{
  enum call_kind kind;
  struct cyc_ref ref;
  struct MHD_Connection *connection;
  struct fk_log_stream *stream;
  uint64_t due_us;      /* a read is answered by then even if empty */
  uint64_t earliest_us; /* no answer before then */
  uint64_t from;        /* first offset of a read, or offset of an append */
  uint64_t max;
  GBytes *record;
};

static struct fk_log_stream *
find_or_add_stream (struct fk_log *log, struct cyc_str name)
{
  struct fk_log_stream *stream;

  for (uint32_t i = 0; i < log->stream_count; i++)
    if (cyc_str_eq (cyc_str_of (log->streams[i].name), name))
      return &log->streams[i];
  if (log->stream_count == FK_LOG_MAX_STREAMS
      || name.len >= sizeof log->streams[0].name || name.len == 0)
    return NULL;
  stream = &log->streams[log->stream_count++];
  memcpy (stream->name, name.data, name.len);
  stream->name[name.len] = '\0';
  stream->records
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  return stream;
}

static uint64_t
next_offset (const struct fk_log_stream *stream)
{
  return stream->oldest + stream->records->len;
}

static void
trim_stream (struct fk_log *log, struct fk_log_stream *stream)
{
  guint kept = (guint)log->faults.retain;

  if (kept == 0 || stream->records->len <= kept)
    return;
  stream->oldest += stream->records->len - kept;
  g_ptr_array_remove_range (stream->records, 0, stream->records->len - kept);
}

static uint64_t
append_record (struct fk_log *log, struct fk_log_stream *stream,
               GBytes *record)
{
  uint64_t offset = next_offset (stream);

  g_ptr_array_add (stream->records, g_bytes_ref (record));
  log->appends++;
  trim_stream (log, stream);
  return offset;
}

static void
answer_append (struct fk_log *log, struct cyc_ref ref, uint64_t offset)
{
  struct json_object *json = json_object_new_object ();

  json_object_object_add (json, "offset",
                          json_object_new_int64 ((int64_t)offset));
  fk_reply_json (&log->hs, ref, 200, json);
}

static void
answer_read (struct fk_log *log, const struct pending_call *pending)
{
  const struct fk_log_stream *stream = pending->stream;
  struct json_object *json = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  uint64_t from
      = pending->from > stream->oldest ? pending->from : stream->oldest;

  for (uint64_t at = from;
       at < next_offset (stream) && at - from < pending->max; at++)
    {
      GBytes *record = stream->records->pdata[at - stream->oldest];
      gsize len;
      const guchar *data = g_bytes_get_data (record, &len);
      gchar *text = g_base64_encode (data, len);
      struct json_object *row = json_object_new_object ();

      json_object_object_add (row, "offset",
                              json_object_new_int64 ((int64_t)at));
      json_object_object_add (row, "data", json_object_new_string (text));
      json_object_array_add (list, row);
      g_free (text);
    }
  json_object_object_add (json, "oldest",
                          json_object_new_int64 ((int64_t)stream->oldest));
  json_object_object_add (
      json, "next", json_object_new_int64 ((int64_t)next_offset (stream)));
  json_object_object_add (json, "records", list);
  log->reads++;
  fk_reply_json (&log->hs, pending->ref, 200, json);
}

/* Answers the call if it is due. Returns true if the call has ended: it was
   answered, its connection was closed, or its client has gone. */
static bool
answer_if_due (struct fk_log *log, struct pending_call *pending,
               uint64_t now_us)
{
  bool has_data = pending->from < next_offset (pending->stream);

  if (!cyc_pool_live (&log->hs.pool, pending->ref))
    return true;
  if (log->faults.down)
    {
      fk_close_without_answer (&log->hs, pending->ref, pending->connection);
      return true;
    }
  if (log->faults.hang || pending->kind == CALL_HELD_APPEND
      || now_us < pending->earliest_us
      || (now_us < pending->due_us
          && !(pending->kind == CALL_READ && has_data)))
    return false;
  if (pending->kind == CALL_READ)
    answer_read (log, pending);
  else if (pending->kind == CALL_APPEND)
    answer_append (log, pending->ref, pending->from);
  else
    answer_append (log, pending->ref,
                   append_record (log, pending->stream, pending->record));
  return true;
}

static void
answer_due_calls (struct fk_log *log)
{
  uint64_t now_us = hc_now_us ();

  for (guint i = 0; i < log->pending_calls->len;)
    {
      struct pending_call *pending
          = &g_array_index (log->pending_calls, struct pending_call, i);

      if (!answer_if_due (log, pending, now_us))
        {
          i++;
          continue;
        }
      if (pending->record != NULL)
        g_bytes_unref (pending->record);
      g_array_remove_index (log->pending_calls, i);
    }
}

static void
on_timer (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  answer_due_calls (timer->data);
}

static bool
contains (GBytes *record, const char *text)
{
  gsize len;
  const void *data = g_bytes_get_data (record, &len);

  return text[0] != 0 && memmem (data, len, text, strlen (text)) != NULL;
}

/* Stores the held records once enough different ones wait. */
static void
release_held (struct fk_log *log)
{
  GHashTable *held = g_hash_table_new (g_bytes_hash, g_bytes_equal);
  bool enough;

  for (guint i = 0; i < log->pending_calls->len; i++)
    {
      const struct pending_call *pending
          = &g_array_index (log->pending_calls, struct pending_call, i);

      if (pending->kind == CALL_HELD_APPEND)
        g_hash_table_add (held, pending->record);
    }
  enough = g_hash_table_size (held) >= (guint)log->faults.hold_count;
  g_hash_table_destroy (held);
  for (guint i = 0; enough && i < log->pending_calls->len; i++)
    {
      struct pending_call *pending
          = &g_array_index (log->pending_calls, struct pending_call, i);

      if (pending->kind != CALL_HELD_APPEND)
        continue;
      pending->from = append_record (log, pending->stream, pending->record);
      pending->kind = CALL_APPEND;
      log->faults.hold_text[0] = 0;
    }
}

static void
begin_append (struct fk_log *log, const struct hs_call *call,
              struct pending_call *pending)
{
  uint64_t now_us = hc_now_us ();

  if (call->body.len == 0 || call->body.len > MAX_RECORD_BYTES)
    {
      fk_refuse (&log->hs, call->ref, 400,
                 "record must have 1 to 65536 bytes");
      return;
    }
  pending->record = g_bytes_new (call->body.data, call->body.len);
  if (contains (pending->record, log->faults.hold_text))
    {
      pending->kind = CALL_HELD_APPEND;
      g_array_append_val (log->pending_calls, *pending);
      release_held (log);
      answer_due_calls (log);
      return;
    }
  if (log->faults.appends_per_s > 0)
    {
      if (log->next_append_us < now_us)
        log->next_append_us = now_us;
      if (log->next_append_us > now_us + MAX_BACKLOG_US)
        {
          g_bytes_unref (pending->record);
          fk_refuse (&log->hs, call->ref, 503, "too many appends");
          return;
        }
      pending->kind = CALL_PACED_APPEND;
      pending->due_us = log->next_append_us;
      log->next_append_us += 1000000U / (uint64_t)log->faults.appends_per_s;
      g_array_append_val (log->pending_calls, *pending);
      return;
    }
  pending->kind = CALL_APPEND;
  pending->from = append_record (log, pending->stream, pending->record);
  pending->due_us = pending->earliest_us;
  if (log->faults.lose_answer != 0)
    {
      if (log->faults.lose_answer > 0)
        log->faults.lose_answer--;
      g_bytes_unref (pending->record);
      fk_close_without_answer (&log->hs, call->ref, call->connection);
      answer_due_calls (log);
      return;
    }
  g_array_append_val (log->pending_calls, *pending);
  answer_due_calls (log);
}

static uint64_t
query_number (const struct hs_call *call, const char *name, uint64_t fallback)
{
  struct cyc_str text = hs_query (call, name);

  return text.len > 0 ? strtoull (text.data, NULL, 10) : fallback;
}

static void
begin_read (struct fk_log *log, const struct hs_call *call,
            struct pending_call *pending)
{
  pending->kind = CALL_READ;
  pending->from = query_number (call, "from", 0);
  pending->max = query_number (call, "max", DEFAULT_READ_RECORDS);
  pending->due_us
      = pending->earliest_us + query_number (call, "wait_ms", 0) * 1000;
  g_array_append_val (log->pending_calls, *pending);
  answer_due_calls (log);
}

static void
handle_stream (struct fk_log *log, const struct hs_call *call)
{
  struct cyc_str prefix = CYC_STR ("/v1/streams/");
  struct cyc_str suffix = CYC_STR ("/records");
  struct cyc_str path = call->path;
  struct pending_call pending
      = { .ref = call->ref, .connection = call->connection };

  if (log->faults.down)
    {
      fk_close_without_answer (&log->hs, call->ref, call->connection);
      return;
    }
  if (log->faults.hang)
    return;
  if (path.len > prefix.len + suffix.len
      && memcmp (path.data, prefix.data, prefix.len) == 0
      && memcmp (path.data + path.len - suffix.len, suffix.data, suffix.len)
             == 0)
    pending.stream = find_or_add_stream (
        log, (struct cyc_str){ path.data + prefix.len,
                               path.len - prefix.len - suffix.len });
  if (pending.stream == NULL)
    {
      fk_refuse (&log->hs, call->ref, 404, "no such stream");
      return;
    }
  pending.earliest_us = hc_now_us () + (uint64_t)log->faults.delay_ms * 1000;
  if (cyc_str_eq (call->method, CYC_STR ("POST")))
    begin_append (log, call, &pending);
  else
    begin_read (log, call, &pending);
}

static void
set_faults (struct fk_log *log, const struct hs_call *call)
{
  struct json_object *json = fk_parse (call->body);
  struct fk_log_faults *faults = &log->faults;
  const char *hold_text;

  if (json == NULL)
    {
      fk_refuse (&log->hs, call->ref, 400, "not a JSON object");
      return;
    }
  faults->down = fk_bool (json, "down", faults->down);
  faults->hang = fk_bool (json, "hang", faults->hang);
  faults->delay_ms = fk_int (json, "delay_ms", faults->delay_ms);
  faults->lose_answer = fk_int (json, "lose_answer", faults->lose_answer);
  faults->retain = fk_int (json, "retain", faults->retain);
  faults->appends_per_s
      = fk_int (json, "appends_per_s", faults->appends_per_s);
  faults->hold_count = fk_int (json, "hold_count", faults->hold_count);
  hold_text = fk_text (json, "hold_text", NULL);
  if (hold_text != NULL)
    g_strlcpy (faults->hold_text, hold_text, sizeof faults->hold_text);
  json_object_put (json);
  for (uint32_t i = 0; i < log->stream_count; i++)
    trim_stream (log, &log->streams[i]);
  answer_due_calls (log);
  fk_reply_json (&log->hs, call->ref, 200, json_object_new_object ());
}

static void
on_call (void *user, const struct hs_call *call)
{
  struct fk_log *log = user;
  struct json_object *json;

  if (cyc_str_eq (call->path, CYC_STR ("/faults")))
    set_faults (log, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/stats")))
    {
      json = json_object_new_object ();
      json_object_object_add (json, "appends",
                              json_object_new_int64 ((int64_t)log->appends));
      json_object_object_add (json, "reads",
                              json_object_new_int64 ((int64_t)log->reads));
      fk_reply_json (&log->hs, call->ref, 200, json);
    }
  else
    handle_stream (log, call);
}

bool
fk_log_setup (struct fk_log *log, struct ev_loop *loop, uint16_t port,
              struct cyc_findings *findings)
{
  memset (log, 0, sizeof *log);
  log->loop = loop;
  log->pending_calls = g_array_new (FALSE, TRUE, sizeof (struct pending_call));
  ev_timer_init (&log->timer, on_timer, TICK_S, TICK_S);
  log->timer.data = log;
  if (!hs_setup (&log->hs,
                 &(struct hs_desc){ .loop = loop,
                                    .address = "127.0.0.1",
                                    .port = port,
                                    .handle = on_call,
                                    .user = log },
                 findings))
    {
      g_array_free (log->pending_calls, TRUE);
      return false;
    }
  ev_timer_start (loop, &log->timer);
  return true;
}

void
fk_log_shutdown (struct fk_log *log)
{
  ev_timer_stop (log->loop, &log->timer);
  hs_shutdown (&log->hs);
  for (guint i = 0; i < log->pending_calls->len; i++)
    {
      struct pending_call *pending
          = &g_array_index (log->pending_calls, struct pending_call, i);

      if (pending->record != NULL)
        g_bytes_unref (pending->record);
    }
  g_array_free (log->pending_calls, TRUE);
  for (uint32_t i = 0; i < log->stream_count; i++)
    g_ptr_array_unref (log->streams[i].records);
}
