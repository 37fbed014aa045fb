#include "fk_workers.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>

/* Length of the prefix of a request's body, with its terminator, that goes
   into the journal. Tests identify their requests by it. */
#define JOURNAL_BODY_BYTES 64

/* False if the caller has closed the connection: the descriptor is closed,
   belongs to another socket, or has received a FIN. libmicrohttpd does not
   notice the FIN while a call is suspended. */
static bool
connection_is_open (int fd, uint64_t expected)
{
  uint64_t cookie = 0;
  struct tcp_info info = { 0 };
  socklen_t cookie_len = sizeof cookie;
  socklen_t info_len = sizeof info;

  return getsockopt (fd, SOL_SOCKET, SO_COOKIE, &cookie, &cookie_len) == 0
         && cookie == expected
         && getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &info_len) == 0
         && info.tcpi_state == TCP_ESTABLISHED;
}

static void
forget_closed_connections (struct fk_worker *worker)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < worker->connection_count; i++)
    if (connection_is_open (worker->connection_fds[i],
                            worker->connection_cookies[i]))
      {
        worker->connection_cookies[kept] = worker->connection_cookies[i];
        worker->connection_fds[kept++] = worker->connection_fds[i];
      }
  worker->connection_count = kept;
}

static void
remember_connection (struct fk_worker *worker,
                     struct MHD_Connection *connection)
{
  int fd;
  uint64_t cookie = fk_connection_cookie (connection, &fd);

  for (uint32_t i = 0; i < worker->connection_count; i++)
    if (worker->connection_cookies[i] == cookie)
      return;
  forget_closed_connections (worker);
  if (worker->connection_count == FK_MAX_CONNECTIONS)
    return;
  worker->connection_cookies[worker->connection_count] = cookie;
  worker->connection_fds[worker->connection_count++] = fd;
}

void
fk_requests_silence_connections (struct fk_worker *worker)
{
  forget_closed_connections (worker);
  memcpy (worker->silent_cookies, worker->connection_cookies,
          sizeof worker->connection_cookies);
  worker->silent_cookie_count = worker->connection_count;
}

bool
fk_requests_connection_silent (const struct fk_worker *worker,
                               const struct hs_call *call)
{
  int fd;
  uint64_t cookie = fk_connection_cookie (call->connection, &fd);

  for (uint32_t i = 0; i < worker->silent_cookie_count; i++)
    if (worker->silent_cookies[i] == cookie)
      return true;
  return false;
}

static struct json_object *
request_event (const struct fk_worker *worker, const char *name,
               const char *id, const char *queue)
{
  struct json_object *event = fk_event (worker, name);

  fk_event_text (event, "id", id);
  fk_event_text (event, "queue", queue);
  fk_event_int (event, "slots_used", worker->requests->len);
  fk_event_int (event, "connections_used", worker->connection_count);
  fk_event_int (event, "draining_ms", worker->draining_ms);
  return event;
}

static void
reply_not_started (struct fk_worker *worker, const struct hs_call *call,
                   const char *reason)
{
  struct hs_reply reply = {
    .status = 503,
    .body = cyc_str_of (reason),
    .headers = { { "Not-Started", "1" }, { "Draining", "1" } },
    .header_count = worker->faults.draining ? 2 : 1,
  };

  hs_reply (&worker->hs, call->ref, &reply);
}

static void
refuse_request (struct fk_worker *worker, const struct hs_call *call,
                const struct fk_request *request, const char *reason,
                bool overrun)
{
  struct json_object *event
      = request_event (worker, "request-refused", request->id, request->queue);

  fk_event_text (event, "reason", reason);
  fk_event_add (worker, event);
  if (overrun)
    {
      event = request_event (worker, "overrun", request->id, request->queue);
      fk_event_text (event, "what", reason);
      fk_event_add (worker, event);
    }
  reply_not_started (worker, call, reason);
}

void
fk_requests_call (struct fk_worker *worker, const struct hs_call *call,
                  struct cyc_str queue)
{
  struct fk_request request
      = { .ref = call->ref, .connection = call->connection };
  int64_t service_ms = worker->faults.service_ms;
  struct json_object *event;
  char body_start[JOURNAL_BODY_BYTES];

  snprintf (request.id, sizeof request.id, "%.*s",
            CYC_FMT (hs_header (call, "Request-Id")));
  snprintf (request.queue, sizeof request.queue, "%.*s", CYC_FMT (queue));
  remember_connection (worker, call->connection);
  if (worker->connection_count > worker->connections)
    forget_closed_connections (worker);
  if (worker->connection_count > worker->connections)
    refuse_request (worker, call, &request, "connections", true);
  else if (worker->requests->len >= worker->slots)
    refuse_request (worker, call, &request, "slots", true);
  else if (!worker->faults.accept_any && !fk_tasks_serves (worker, queue))
    refuse_request (worker, call, &request, "no replica of the queue", false);
  else
    {
      request.body = g_bytes_new (call->body.data, call->body.len);
      request.due_us = hc_now_us () + (uint64_t)service_ms * 1000;
      event = request_event (worker, "request", request.id, request.queue);
      snprintf (body_start, sizeof body_start, "%.*s", CYC_FMT (call->body));
      fk_event_text (event, "body", body_start);
      fk_event_add (worker, event);
      g_array_append_val (worker->requests, request);
      if (service_ms == 0)
        fk_requests_tick (worker);
    }
}

static void
answer_request (struct fk_worker *worker, struct fk_request *request)
{
  gsize len;
  const char *body = g_bytes_get_data (request->body, &len);
  GString *text = g_string_new (NULL);
  bool lost = worker->faults.lose_request_answers > 0;
  struct json_object *event
      = request_event (worker, "answer", request->id, request->queue);

  g_string_printf (text, "request=%s worker=%s\n", request->id, worker->name);
  g_string_append_len (text, body, (gssize)len);
  fk_event_int (event, "lost", lost);
  fk_event_add (worker, event);
  if (lost)
    {
      worker->faults.lose_request_answers--;
      fk_close_without_answer (&worker->hs, request->ref, request->connection);
    }
  else
    hs_reply (&worker->hs, request->ref,
              &(struct hs_reply){
                  .status = 200,
                  .body = { text->str, text->len },
                  .headers = { { "Draining", "1" } },
                  .header_count = worker->faults.draining ? 1 : 0,
              });
  g_string_free (text, TRUE);
}

void
fk_requests_tick (struct fk_worker *worker)
{
  uint64_t now_us = hc_now_us ();

  for (guint i = 0; i < worker->requests->len;)
    {
      struct fk_request *request
          = &g_array_index (worker->requests, struct fk_request, i);

      if (request->due_us > now_us || worker->faults.silent)
        {
          i++;
          continue;
        }
      answer_request (worker, request);
      g_bytes_unref (request->body);
      g_array_remove_index (worker->requests, i);
    }
}

void
fk_requests_drop_all (struct fk_worker *worker)
{
  for (guint i = 0; i < worker->requests->len; i++)
    {
      struct fk_request *request
          = &g_array_index (worker->requests, struct fk_request, i);

      fk_event_add (
          worker, request_event (worker, "lost", request->id, request->queue));
      fk_close_without_answer (&worker->hs, request->ref, request->connection);
      g_bytes_unref (request->body);
    }
  g_array_set_size (worker->requests, 0);
}
