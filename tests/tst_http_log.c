#include "tst_http_log.h"

#include "fk_common.h"

#include <inttypes.h>
#include <setjmp.h>
#include <sodium.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MAX_READ_RECORDS 64

static void
reply (struct tst_http_log *log, struct cyc_ref ref, uint32_t status,
       const char *body)
{
  struct hs_reply answer
      = { .status = status,
          .body
          = cyc_str_of (log->forced_body != NULL ? log->forced_body : body),
          .content_type = "application/json" };

  hs_reply (&log->server, ref, &answer);
}

static void
reply_records (struct tst_http_log *log, struct cyc_ref ref,
               struct cyc_str stream, uint64_t from, uint32_t max)
{
  struct lc_record records[MAX_READ_RECORDS];
  const struct tst_stream *of = tst_stream (&log->store, stream);
  uint32_t count = tst_store_read (
      &log->store, stream, from,
      max < MAX_READ_RECORDS ? max : MAX_READ_RECORDS, records);
  size_t body_size = 256;
  size_t body_len;
  char *body;

  for (uint32_t i = 0; i < count; i++)
    body_size += 64 + 2 * records[i].data.len;
  body = malloc (body_size);
  assert_non_null (body);
  body_len = (size_t)snprintf (body, body_size,
                               "{\"oldest\":%" PRIu64 ",\"next\":%" PRIu64
                               ",\"records\":[",
                               of->oldest, of->next);
  for (uint32_t i = 0; i < count; i++)
    {
      body_len += (size_t)snprintf (body + body_len, body_size - body_len,
                                    "%s{\"offset\":%" PRIu64 ",\"data\":\"",
                                    i > 0 ? "," : "", records[i].offset);
      sodium_bin2base64 (body + body_len, body_size - body_len,
                         (const unsigned char *)records[i].data.data,
                         records[i].data.len, sodium_base64_VARIANT_ORIGINAL);
      body_len += strlen (body + body_len);
      body_len
          += (size_t)snprintf (body + body_len, body_size - body_len, "\"}");
    }
  snprintf (body + body_len, body_size - body_len, "]}");
  reply (log, ref, 200, body);
  free (body);
}

static void
end_poll (struct tst_http_log *log)
{
  struct cyc_ref ref = log->poll_ref;

  ev_timer_stop (log->loop, &log->poll_timer);
  if (ref.generation == 0)
    return;
  log->poll_ref.generation = 0;
  reply_records (log, ref, cyc_name_str (&log->poll_stream), log->poll_from,
                 log->poll_max);
}

static void
on_poll_end (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  end_poll (timer->data);
}

static void
handle_append (struct tst_http_log *log, const struct hs_call *call,
               struct cyc_str stream)
{
  enum tst_fault fault = log->fault;
  char body[64];
  uint64_t offset;

  log->fault = TST_NO_FAULT;
  if (fault == TST_REFUSED)
    reply (log, call->ref, 413, "");
  else if (fault == TST_LOST_BEFORE_WRITE)
    reply (log, call->ref, 500, "");
  if (fault == TST_REFUSED || fault == TST_LOST_BEFORE_WRITE)
    return;
  offset = tst_store_append (&log->store, stream, call->body);
  if (fault == TST_LOST_AFTER_WRITE && log->lost_closes)
    fk_close_without_answer (&log->server, call->ref, call->connection);
  if (fault == TST_LOST_AFTER_WRITE)
    return;
  snprintf (body, sizeof body, "{\"offset\":%" PRIu64 "}", offset);
  reply (log, call->ref, 200, body);
}

static uint64_t
query_number (const struct hs_call *call, const char *name)
{
  struct cyc_str text = hs_query (call, name);
  uint64_t value = 0;

  for (size_t i = 0; i < text.len; i++)
    value = value * 10 + (uint64_t)(text.data[i] - '0');
  return value;
}

static void
on_call (void *user, const struct hs_call *call)
{
  static const struct cyc_str prefix = CYC_STR ("/v1/streams/");
  static const struct cyc_str suffix = CYC_STR ("/records");
  struct tst_http_log *log = user;
  struct cyc_str stream = { .data = call->path.data + prefix.len,
                            .len = call->path.len - prefix.len - suffix.len };
  uint64_t from;
  uint64_t wait_ms;

  if (cyc_str_eq (call->method, CYC_STR ("POST")))
    {
      handle_append (log, call, stream);
      return;
    }
  from = query_number (call, "from");
  wait_ms = query_number (call, "wait_ms");
  if (wait_ms == 0 || from < tst_stream (&log->store, stream)->next)
    {
      reply_records (log, call->ref, stream, from,
                     (uint32_t)query_number (call, "max"));
      return;
    }
  log->poll_ref = call->ref;
  cyc_name_set (&log->poll_stream, stream);
  log->poll_from = from;
  log->poll_max = (uint32_t)query_number (call, "max");
  ev_timer_set (&log->poll_timer, (double)wait_ms / 1000.0, 0.0);
  ev_timer_start (log->loop, &log->poll_timer);
}

void
tst_http_log_setup (struct tst_http_log *log, struct ev_loop *loop)
{
  struct cyc_findings found = { 0 };
  const union MHD_DaemonInfo *info;

  memset (log, 0, sizeof *log);
  log->loop = loop;
  ev_init (&log->poll_timer, on_poll_end);
  log->poll_timer.data = log;
  assert_true (hs_setup (&log->server,
                         &(struct hs_desc){ .loop = loop,
                                            .address = "127.0.0.1",
                                            .handle = on_call,
                                            .user = log },
                         &found));
  info = MHD_get_daemon_info (log->server.daemon, MHD_DAEMON_INFO_BIND_PORT);
  assert_non_null (info);
  snprintf (log->url, sizeof log->url, "http://127.0.0.1:%u",
            (unsigned)info->port);
}

void
tst_http_log_shutdown (struct tst_http_log *log)
{
  ev_timer_stop (log->loop, &log->poll_timer);
  hs_shutdown (&log->server);
  tst_store_free (&log->store);
}

void
tst_http_log_add (struct tst_http_log *log, struct cyc_str stream,
                  struct cyc_str record)
{
  tst_store_append (&log->store, stream, record);
  end_poll (log);
}
