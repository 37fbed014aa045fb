#include "http_server.h"

#include <arpa/inet.h>
#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_MAX_CALLS 4096
#define DEFAULT_MAX_BODY_BYTES (1024U * 1024)
#define DEFAULT_IDLE_TIMEOUT_S 120
#define MAX_SLEEP_S 1.0

struct hs_open_call
{
  struct hs_server *server;
  struct cyc_ref ref;
  struct MHD_Connection *connection;
  char *body;
  size_t body_len;
  size_t body_capacity;
  bool body_too_long;
  bool body_complete; /* the body was read to its end */
  bool in_handler;
  bool suspended;
  bool answered;
  struct MHD_Response *response;
  uint32_t status;
};

struct cyc_str
hs_header (const struct hs_call *call, const char *name)
{
  return cyc_str_of (
      MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, name));
}

struct cyc_str
hs_query (const struct hs_call *call, const char *name)
{
  return cyc_str_of (MHD_lookup_connection_value (
      call->connection, MHD_GET_ARGUMENT_KIND, name));
}

static bool
append_body (struct hs_open_call *open, const char *data, size_t len)
{
  size_t needed = open->body_len + len;

  if (open->body_too_long || needed > open->server->max_body_bytes)
    {
      open->body_too_long = true;
      return true;
    }
  if (needed > open->body_capacity)
    {
      size_t capacity_bytes = needed < 1024 ? 1024 : needed * 2;
      char *grown = realloc (open->body, capacity_bytes);

      if (grown == NULL)
        return false;
      open->body = grown;
      open->body_capacity = capacity_bytes;
    }
  memcpy (open->body + open->body_len, data, len);
  open->body_len = needed;
  return true;
}

static enum MHD_Result
queue_response (struct hs_open_call *open)
{
  enum MHD_Result result
      = MHD_queue_response (open->connection, open->status, open->response);

  MHD_destroy_response (open->response);
  open->response = NULL;
  return result;
}

static bool
header_equals (struct MHD_Connection *connection, const char *name,
               const char *value)
{
  const char *found
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, name);

  return found != NULL && strcmp (found, value) == 0;
}

/* Returns whether an earlier attempt with the same Idempotency-Key may have
   run: true for a request with a key, unless the caller marks it as its first
   attempt. */
static bool
may_have_run (struct MHD_Connection *connection)
{
  return MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                      "Idempotency-Key")
             != NULL
         && !header_equals (connection, "First-Attempt", "1");
}

static enum MHD_Result
queue_problem (struct MHD_Connection *connection, uint32_t status,
               const char *outcome, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type",
                           "application/problem+json");
  MHD_add_response_header (response, "Outcome", outcome);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
open_call (struct hs_server *hs, struct MHD_Connection *connection,
           void **context)
{
  struct cyc_ref ref = cyc_pool_take (&hs->pool);
  struct hs_open_call *open;

  if (ref.generation == 0 && may_have_run (connection))
    return queue_problem (
        connection, MHD_HTTP_SERVICE_UNAVAILABLE, "unknown",
        "{\"type\":\"about:blank\",\"title\":\"too many open requests\","
        "\"status\":503,\"detail\":\"an earlier attempt with this key may "
        "have run\",\"outcome\":\"unknown\"}");
  if (ref.generation == 0)
    return queue_problem (
        connection, MHD_HTTP_SERVICE_UNAVAILABLE, "not-run",
        "{\"type\":\"about:blank\",\"title\":\"too many open requests\","
        "\"status\":503,\"outcome\":\"not-run\"}");
  open = &hs->calls[ref.index];
  memset (open, 0, sizeof *open);
  open->server = hs;
  open->ref = ref;
  open->connection = connection;
  *context = open;
  return MHD_YES;
}

static enum MHD_Result
dispatch_call (struct hs_open_call *open, const char *url, const char *method)
{
  struct hs_server *hs = open->server;
  struct hs_call call = {
    .ref = open->ref,
    .method = cyc_str_of (method),
    .path = cyc_str_of (url),
    .body = { open->body, open->body_len },
    .connection = open->connection,
  };

  open->body_complete = true;
  hs->bytes_in += open->body_len;
  open->in_handler = true;
  hs->handle (hs->user, &call);
  open->in_handler = false;
  if (open->response != NULL)
    return queue_response (open);
  open->suspended = true;
  MHD_suspend_connection (open->connection);
  return MHD_YES;
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_len, void **context)
{
  struct hs_server *hs = user;
  struct hs_open_call *open = *context;

  (void)version;
  if (open == NULL)
    return open_call (hs, connection, context);
  if (*data_len > 0)
    {
      bool kept = append_body (open, data, *data_len);

      *data_len = 0;
      return kept ? MHD_YES : MHD_NO;
    }
  if (open->body_too_long)
    return queue_problem (
        connection, MHD_HTTP_CONTENT_TOO_LARGE, "not-run",
        "{\"type\":\"about:blank\",\"title\":\"body is too long\","
        "\"status\":413,\"outcome\":\"not-run\"}");
  if (open->response != NULL)
    return queue_response (open);
  if (open->body_complete)
    return MHD_YES;
  return dispatch_call (open, url, method);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct hs_server *hs = user;
  struct hs_open_call *open = *context;
  struct cyc_ref ref;

  (void)connection;
  (void)code;
  if (open == NULL)
    return;
  ref = open->ref;
  if (open->body_complete && !open->answered && hs->gone != NULL)
    hs->gone (hs->user, ref);
  if (open->response != NULL)
    MHD_destroy_response (open->response);
  free (open->body);
  memset (open, 0, sizeof *open);
  cyc_pool_release (&hs->pool, ref);
  *context = NULL;
}

static void
run_daemon (struct hs_server *hs)
{
  hs->run_pending = false;
  MHD_run (hs->daemon);
}

static void
on_io (struct ev_loop *loop, struct ev_io *io, int events)
{
  (void)loop;
  (void)events;
  run_daemon (io->data);
}

static void
on_timer (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  run_daemon (timer->data);
}

/* Called before the loop waits for events: lets libmicrohttpd handle resumed
   connections and sets the timer to its next timeout. */
static void
on_prepare (struct ev_loop *loop, struct ev_prepare *prepare, int events)
{
  struct hs_server *hs = prepare->data;
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  double sleep_s = MAX_SLEEP_S;

  (void)events;
  if (hs->run_pending)
    run_daemon (hs);
  if (MHD_get_timeout (hs->daemon, &timeout_ms) == MHD_YES
      && (double)timeout_ms / 1000.0 < sleep_s)
    sleep_s = (double)timeout_ms / 1000.0;
  ev_timer_stop (loop, &hs->timer);
  ev_timer_set (&hs->timer, sleep_s, 0.0);
  ev_timer_start (loop, &hs->timer);
}

static bool
start_daemon (struct hs_server *hs, const struct hs_desc *desc)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (desc->port) };
  const union MHD_DaemonInfo *info;
  unsigned int idle_timeout_s
      = desc->idle_timeout_s ? desc->idle_timeout_s : DEFAULT_IDLE_TIMEOUT_S;
  unsigned int max_calls
      = desc->max_calls ? desc->max_calls : DEFAULT_MAX_CALLS;

  if (inet_pton (AF_INET, desc->address, &address.sin_addr) != 1)
    return false;
  hs->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, desc->port, NULL, NULL,
      on_access, hs, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, hs,
      MHD_OPTION_CONNECTION_LIMIT, max_calls * 2,
      MHD_OPTION_CONNECTION_TIMEOUT, idle_timeout_s,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (hs->daemon == NULL)
    return false;
  info = MHD_get_daemon_info (hs->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  ev_io_init (&hs->io, on_io, info->epoll_fd, EV_READ);
  ev_init (&hs->timer, on_timer);
  ev_prepare_init (&hs->prepare, on_prepare);
  hs->io.data = hs;
  hs->timer.data = hs;
  hs->prepare.data = hs;
  ev_io_start (hs->loop, &hs->io);
  ev_prepare_start (hs->loop, &hs->prepare);
  return true;
}

bool
hs_setup (struct hs_server *hs, const struct hs_desc *desc,
          struct cyc_findings *findings)
{
  uint32_t max = desc->max_calls ? desc->max_calls : DEFAULT_MAX_CALLS;

  memset (hs, 0, sizeof *hs);
  if (desc->loop == NULL || desc->handle == NULL || desc->address == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("hs_desc"),
                        "loop, address and handle are required");
      return false;
    }
  hs->loop = desc->loop;
  hs->handle = desc->handle;
  hs->gone = desc->gone;
  hs->user = desc->user;
  hs->max_body_bytes
      = desc->max_body_bytes ? desc->max_body_bytes : DEFAULT_MAX_BODY_BYTES;
  hs->calls = calloc (max, sizeof *hs->calls);
  if (hs->calls == NULL || !cyc_pool_setup (&hs->pool, max, NULL))
    {
      cyc_findings_add (findings, CYC_STR ("http_server"), "out of memory");
      hs_shutdown (hs);
      return false;
    }
  if (!start_daemon (hs, desc))
    {
      cyc_findings_add (findings, CYC_STR ("http_server"),
                        "cannot listen on %s:%u", desc->address, desc->port);
      hs_shutdown (hs);
      return false;
    }
  return true;
}

void
hs_stop_listening (struct hs_server *hs)
{
  int fd = MHD_quiesce_daemon (hs->daemon);

  if (fd >= 0)
    close (fd);
}

void
hs_shutdown (struct hs_server *hs)
{
  if (hs->daemon != NULL)
    {
      ev_io_stop (hs->loop, &hs->io);
      ev_timer_stop (hs->loop, &hs->timer);
      ev_prepare_stop (hs->loop, &hs->prepare);
      hs->gone = NULL;
      /* MHD_stop_daemon requires that no connection is suspended. */
      for (uint32_t i = 0; i < hs->pool.high; i++)
        if (cyc_pool_used_at (&hs->pool, i) && hs->calls[i].suspended)
          MHD_resume_connection (hs->calls[i].connection);
      MHD_stop_daemon (hs->daemon);
    }
  free (hs->calls);
  cyc_pool_shutdown (&hs->pool);
  memset (hs, 0, sizeof *hs);
}

bool
hs_reply (struct hs_server *hs, struct cyc_ref ref,
          const struct hs_reply *reply)
{
  struct hs_open_call *open;

  if (!cyc_pool_live (&hs->pool, ref))
    return false;
  open = &hs->calls[ref.index];
  assert (!open->answered);
  open->response = MHD_create_response_from_buffer (
      reply->body.len, (void *)reply->body.data, MHD_RESPMEM_MUST_COPY);
  if (open->response == NULL)
    return false;
  MHD_add_response_header (open->response, "Content-Type",
                           reply->content_type ? reply->content_type
                                               : "text/plain");
  for (uint32_t i = 0; i < reply->header_count; i++)
    MHD_add_response_header (open->response, reply->headers[i].name,
                             reply->headers[i].value);
  if (reply->close)
    MHD_add_response_header (open->response, "Connection", "close");
  open->status = reply->status;
  open->answered = true;
  hs->bytes_out += reply->body.len;
  if (open->suspended)
    {
      open->suspended = false;
      MHD_resume_connection (open->connection);
      hs->run_pending = true;
    }
  return true;
}
