#include "fk_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.002
#define DEFAULT_READ 512
#define MAX_RECORD_BYTES 65536
#define MAX_BACKLOG_US 2000000

enum wait_kind
{
  WAIT_READ,
  WAIT_APPEND,       /* took effect, answer at due_us */
  WAIT_PACED_APPEND, /* takes effect at due_us */
};

struct wait
{
  enum wait_kind kind;
  struct cyc_ref ref;
  struct MHD_Connection *connection;
  struct fk_log_stream *stream;
  uint64_t due_us;   /* answer at the latest */
  uint64_t early_us; /* and not before */
  uint64_t from;
  uint64_t max;
  GBytes *record;
};

static struct fk_log_stream *
stream_of (struct fk_log *log, struct cyc_str name)
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
trim (struct fk_log *log, struct fk_log_stream *stream)
{
  guint kept = (guint)log->faults.retain;

  if (kept == 0 || stream->records->len <= kept)
    return;
  stream->oldest += stream->records->len - kept;
  g_ptr_array_remove_range (stream->records, 0, stream->records->len - kept);
}

static uint64_t
take_record (struct fk_log *log, struct fk_log_stream *stream, GBytes *record)
{
  uint64_t offset = next_offset (stream);

  g_ptr_array_add (stream->records, g_bytes_ref (record));
  log->appends++;
  trim (log, stream);
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
answer_read (struct fk_log *log, const struct wait *wait)
{
  const struct fk_log_stream *stream = wait->stream;
  struct json_object *json = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  uint64_t from = wait->from > stream->oldest ? wait->from : stream->oldest;

  for (uint64_t at = from; at < next_offset (stream) && at - from < wait->max;
       at++)
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
  fk_reply_json (&log->hs, wait->ref, 200, json);
}

/* True when the wait is over and was answered. */
static bool
finish_wait (struct fk_log *log, struct wait *wait, uint64_t now_us)
{
  bool has_data = wait->from < next_offset (wait->stream);

  if (!cyc_pool_live (&log->hs.pool, wait->ref))
    return true;
  if (log->faults.down)
    {
      fk_close_without_answer (&log->hs, wait->ref, wait->connection);
      return true;
    }
  if (log->faults.hang || now_us < wait->early_us
      || (now_us < wait->due_us && !(wait->kind == WAIT_READ && has_data)))
    return false;
  if (wait->kind == WAIT_READ)
    answer_read (log, wait);
  else if (wait->kind == WAIT_APPEND)
    answer_append (log, wait->ref, wait->from);
  else
    answer_append (log, wait->ref,
                   take_record (log, wait->stream, wait->record));
  return true;
}

static void
run_waits (struct fk_log *log)
{
  uint64_t now_us = hc_now_us ();

  for (guint i = 0; i < log->waits->len;)
    {
      struct wait *wait = &g_array_index (log->waits, struct wait, i);

      if (!finish_wait (log, wait, now_us))
        {
          i++;
          continue;
        }
      if (wait->record != NULL)
        g_bytes_unref (wait->record);
      g_array_remove_index (log->waits, i);
    }
}

static void
on_timer (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  run_waits (timer->data);
}

static void
begin_append (struct fk_log *log, const struct hs_call *call,
              struct wait *wait)
{
  uint64_t now_us = hc_now_us ();

  if (call->body.len == 0 || call->body.len > MAX_RECORD_BYTES)
    {
      fk_refuse (&log->hs, call->ref, 400,
                 "record must have 1 to 65536 bytes");
      return;
    }
  wait->record = g_bytes_new (call->body.data, call->body.len);
  if (log->faults.appends_per_s > 0)
    {
      if (log->append_slot_us < now_us)
        log->append_slot_us = now_us;
      if (log->append_slot_us > now_us + MAX_BACKLOG_US)
        {
          g_bytes_unref (wait->record);
          fk_refuse (&log->hs, call->ref, 503, "too many appends");
          return;
        }
      wait->kind = WAIT_PACED_APPEND;
      wait->due_us = log->append_slot_us;
      log->append_slot_us += 1000000U / (uint64_t)log->faults.appends_per_s;
      g_array_append_val (log->waits, *wait);
      return;
    }
  wait->kind = WAIT_APPEND;
  wait->from = take_record (log, wait->stream, wait->record);
  wait->due_us = wait->early_us;
  if (log->faults.lose_answer != 0)
    {
      if (log->faults.lose_answer > 0)
        log->faults.lose_answer--;
      g_bytes_unref (wait->record);
      fk_close_without_answer (&log->hs, call->ref, call->connection);
      run_waits (log);
      return;
    }
  g_array_append_val (log->waits, *wait);
  run_waits (log);
}

static uint64_t
number_argument (const struct hs_call *call, const char *name,
                 uint64_t fallback)
{
  struct cyc_str text = hs_query (call, name);

  return text.len > 0 ? strtoull (text.data, NULL, 10) : fallback;
}

static void
begin_read (struct fk_log *log, const struct hs_call *call, struct wait *wait)
{
  wait->kind = WAIT_READ;
  wait->from = number_argument (call, "from", 0);
  wait->max = number_argument (call, "max", DEFAULT_READ);
  wait->due_us = wait->early_us + number_argument (call, "wait_ms", 0) * 1000;
  g_array_append_val (log->waits, *wait);
  run_waits (log);
}

static void
handle_stream (struct fk_log *log, const struct hs_call *call)
{
  struct cyc_str prefix = CYC_STR ("/v1/streams/");
  struct cyc_str suffix = CYC_STR ("/records");
  struct cyc_str path = call->path;
  struct wait wait = { .ref = call->ref, .connection = call->connection };

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
    wait.stream = stream_of (
        log, (struct cyc_str){ path.data + prefix.len,
                               path.len - prefix.len - suffix.len });
  if (wait.stream == NULL)
    {
      fk_refuse (&log->hs, call->ref, 404, "no such stream");
      return;
    }
  wait.early_us = hc_now_us () + (uint64_t)log->faults.delay_ms * 1000;
  if (cyc_str_eq (call->method, CYC_STR ("POST")))
    begin_append (log, call, &wait);
  else
    begin_read (log, call, &wait);
}

static void
set_faults (struct fk_log *log, const struct hs_call *call)
{
  struct json_object *json = fk_parse (call->body);
  struct fk_log_faults *faults = &log->faults;

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
  json_object_put (json);
  for (uint32_t i = 0; i < log->stream_count; i++)
    trim (log, &log->streams[i]);
  run_waits (log);
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
  log->waits = g_array_new (FALSE, TRUE, sizeof (struct wait));
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
      g_array_free (log->waits, TRUE);
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
  for (guint i = 0; i < log->waits->len; i++)
    {
      struct wait *wait = &g_array_index (log->waits, struct wait, i);

      if (wait->record != NULL)
        g_bytes_unref (wait->record);
    }
  g_array_free (log->waits, TRUE);
  for (uint32_t i = 0; i < log->stream_count; i++)
    g_ptr_array_unref (log->streams[i].records);
}
