#include "http_server.h"

#include "http_client.h"
#include "log_event.h"

#include <arpa/inet.h>
#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_MAX_CALLS 4096
#define DEFAULT_MAX_BODY_BYTES (1024U * 1024)
#define DEFAULT_IDLE_TIMEOUT_S 120
#define DEFAULT_MAX_MEMORY_BYTES ((size_t)64 * 1024 * 1024)
#define DEFAULT_REQUEST_TIMEOUT_MS 30000
#define MAX_SLEEP_S 1.0
/** Connections beyond the limit that exist while others are being ended. */
#define SPARE_CONNECTIONS 32
/** A body that is too long is read and dropped up to this multiple of the
 * limit, so that its sender reads the refusal; then its connection ends. */
#define DISCARD_FACTOR 4
#define MIN_CAPACITY_BYTES 1024
/** Interval at which overdue connections are ended and the ended ones logged.
 */
#define SWEEP_INTERVAL_US 1000000

/** A connection, with its request if there is one. */
struct hs_conn
{
  struct hs_server *server;
  struct MHD_Connection *connection;
  uint32_t row;       /* of the intake; also its index in the server's table */
  struct cyc_ref ref; /* of the call; generation 0 until it is complete */
  char *body;
  size_t body_len;
  size_t body_capacity;
  uint64_t received; /* bytes of the body, also those that were dropped */
  size_t announced;  /* length of the body by the head; 0 if unknown */
  bool body_too_long;
  bool body_complete; /* the body was read to its end */
  bool suspended;
  bool answered;
  bool ended; /* the socket was shut down */
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

static void
drop_body (struct hs_conn *conn)
{
  free (conn->body);
  conn->body = NULL;
  conn->body_len = 0;
  conn->body_capacity = 0;
}

/* Ends a connection: its client gets no answer any more, and nothing that it
   has sent is kept. libmicrohttpd closes it when it sees the end. */
static void
end_connection (struct hs_server *hs, uint32_t row, enum hs_ended why)
{
  struct hs_conn *conn = &hs->conns[row];
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      conn->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  conn->ended = true;
  drop_body (conn);
  intake_end (&hs->intake, row);
  hs->ended[why]++;
  if (info != NULL)
    shutdown (info->connect_fd, SHUT_RDWR);
}

/* Has the intake count the buffer. Ends the requests with the least recent
   progress until it fits. */
static bool
take_memory (struct hs_conn *conn, size_t bytes)
{
  struct hs_server *hs = conn->server;
  uint64_t now_us = hc_now_us ();

  while (!intake_take (&hs->intake, conn->row, bytes, now_us))
    {
      uint32_t victim = intake_victim (&hs->intake, INTAKE_READING, conn->row);

      if (victim == INTAKE_NONE)
        return false;
      end_connection (hs, victim, HS_ENDED_MEMORY);
    }
  return true;
}

/* Grows the buffer by half, but not beyond the length that was announced. */
static bool
grow_body (struct hs_conn *conn, size_t needed)
{
  size_t most
      = conn->announced != 0 ? conn->announced : conn->server->max_body_bytes;
  size_t capacity_bytes = needed + needed / 2;
  char *grown;

  if (capacity_bytes < MIN_CAPACITY_BYTES)
    capacity_bytes = MIN_CAPACITY_BYTES;
  if (capacity_bytes > most)
    capacity_bytes = most > needed ? most : needed;
  if (!take_memory (conn, capacity_bytes))
    return false;
  grown = realloc (conn->body, capacity_bytes);
  if (grown == NULL)
    return false;
  conn->body = grown;
  conn->body_capacity = capacity_bytes;
  return true;
}

/* Returns false if the connection is to be closed. */
static bool
append_body (struct hs_conn *conn, const char *data, size_t len)
{
  const struct hs_server *hs = conn->server;
  size_t needed = conn->body_len + len;

  conn->received += len;
  if (conn->body_too_long || needed > hs->max_body_bytes)
    {
      conn->body_too_long = true;
      drop_body (conn);
      take_memory (conn, 0);
      return conn->received <= (uint64_t)hs->max_body_bytes * DISCARD_FACTOR;
    }
  if (needed > conn->body_capacity ? !grow_body (conn, needed)
                                   : !take_memory (conn, conn->body_capacity))
    return false;
  memcpy (conn->body + conn->body_len, data, len);
  conn->body_len = needed;
  return true;
}

static enum MHD_Result
queue_response (struct hs_conn *conn)
{
  enum MHD_Result result
      = MHD_queue_response (conn->connection, conn->status, conn->response);

  MHD_destroy_response (conn->response);
  conn->response = NULL;
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
               const char *outcome, bool close_after, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type",
                           "application/problem+json");
  MHD_add_response_header (response, "Outcome", outcome);
  if (close_after)
    MHD_add_response_header (response, "Connection", "close");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
refuse_too_long (struct MHD_Connection *connection, bool close_after)
{
  return queue_problem (
      connection, MHD_HTTP_CONTENT_TOO_LARGE, "not-run", close_after,
      "{\"type\":\"about:blank\",\"title\":\"body is too long\","
      "\"status\":413,\"outcome\":\"not-run\"}");
}

static enum MHD_Result
refuse_too_many (struct MHD_Connection *connection)
{
  if (may_have_run (connection))
    return queue_problem (
        connection, MHD_HTTP_SERVICE_UNAVAILABLE, "unknown", false,
        "{\"type\":\"about:blank\",\"title\":\"too many open requests\","
        "\"status\":503,\"detail\":\"an earlier attempt with this key may "
        "have run\",\"outcome\":\"unknown\"}");
  return queue_problem (
      connection, MHD_HTTP_SERVICE_UNAVAILABLE, "not-run", false,
      "{\"type\":\"about:blank\",\"title\":\"too many open requests\","
      "\"status\":503,\"outcome\":\"not-run\"}");
}

/* Handles the head of a request. A body that is announced as too long is
   refused unread. */
static enum MHD_Result
begin_request (struct hs_server *hs, struct hs_conn *conn, void **context)
{
  const char *length = MHD_lookup_connection_value (
      conn->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  unsigned long long announced
      = length != NULL ? strtoull (length, NULL, 10) : 0;

  if (announced > hs->max_body_bytes)
    {
      hs->ended[HS_ENDED_TOO_LONG]++;
      return refuse_too_long (conn->connection, true);
    }
  conn->announced = (size_t)announced;
  intake_reading (&hs->intake, conn->row, hc_now_us ());
  *context = conn;
  return MHD_YES;
}

static enum MHD_Result
dispatch_call (struct hs_conn *conn, const char *url, const char *method)
{
  struct hs_server *hs = conn->server;
  struct hs_call call = {
    .method = cyc_str_of (method),
    .path = cyc_str_of (url),
    .body = { conn->body, conn->body_len },
    .connection = conn->connection,
  };

  conn->body_complete = true;
  conn->ref = cyc_pool_take (&hs->pool);
  intake_serving (&hs->intake, conn->row, hc_now_us ());
  if (conn->ref.generation == 0)
    {
      drop_body (conn);
      return refuse_too_many (conn->connection);
    }
  hs->calls[conn->ref.index] = conn->row;
  call.ref = conn->ref;
  hs->bytes_in += conn->body_len;
  hs->handle (hs->user, &call);
  drop_body (conn);
  if (conn->response != NULL)
    return queue_response (conn);
  conn->suspended = true;
  MHD_suspend_connection (conn->connection);
  return MHD_YES;
}

static struct hs_conn *
conn_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info != NULL ? info->socket_context : NULL;
}

static enum MHD_Result
on_access (void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_len, void **context)
{
  struct hs_server *hs = user;
  struct hs_conn *conn = *context;

  (void)version;
  if (conn == NULL)
    {
      conn = conn_of (connection);
      return conn != NULL && !conn->ended ? begin_request (hs, conn, context)
                                          : MHD_NO;
    }
  if (conn->ended)
    return MHD_NO;
  if (*data_len > 0)
    {
      bool kept = append_body (conn, data, *data_len);

      *data_len = 0;
      hs->ended[HS_ENDED_TOO_LONG] += !kept && conn->body_too_long;
      hs->ended[HS_ENDED_MEMORY] += !kept && !conn->body_too_long;
      return kept ? MHD_YES : MHD_NO;
    }
  if (conn->body_too_long)
    return refuse_too_long (connection, false);
  if (conn->response != NULL)
    return queue_response (conn);
  if (conn->body_complete)
    return MHD_YES;
  return dispatch_call (conn, url, method);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  struct hs_server *hs = user;
  struct hs_conn *conn = *context;
  struct cyc_ref ref;

  (void)connection;
  (void)code;
  if (conn == NULL)
    return;
  ref = conn->ref;
  if (ref.generation != 0 && !conn->answered && hs->gone != NULL)
    hs->gone (hs->user, ref);
  if (conn->response != NULL)
    MHD_destroy_response (conn->response);
  drop_body (conn);
  if (ref.generation != 0)
    cyc_pool_release (&hs->pool, ref);
  *conn = (struct hs_conn){ .server = hs,
                            .connection = conn->connection,
                            .row = conn->row,
                            .ended = conn->ended };
  if (!conn->ended)
    intake_idle (&hs->intake, conn->row, hc_now_us ());
  *context = NULL;
}

static void
on_connection (void *user, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  struct hs_server *hs = user;
  struct hs_conn *conn = *socket_context;
  uint32_t row;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      if (conn != NULL)
        intake_close (&hs->intake, conn->row);
      return;
    }
  row = intake_open (&hs->intake, hc_now_us ());
  if (row == INTAKE_NONE)
    return;
  conn = &hs->conns[row];
  *conn
      = (struct hs_conn){ .server = hs, .connection = connection, .row = row };
  *socket_context = conn;
  hs->open_max = MAX (hs->open_max, hs_open_connections (hs));
  if (intake_is_crowded (&hs->intake))
    {
      uint32_t victim = intake_victim (&hs->intake, INTAKE_IDLE, row);

      if (victim != INTAKE_NONE)
        end_connection (hs, victim, HS_ENDED_CROWDED);
    }
}

uint32_t
hs_open_connections (const struct hs_server *hs)
{
  return hs->intake.desc.max_rows - hs->intake.count[INTAKE_FREE];
}

/* Ends the connections whose request takes too long, and logs how many were
   ended since the last line. */
static void
sweep (struct hs_server *hs)
{
  uint64_t now_us = hc_now_us ();
  uint64_t total = 0;
  uint32_t row;

  if (now_us < hs->next_sweep_us)
    return;
  hs->next_sweep_us = now_us + SWEEP_INTERVAL_US;
  while ((row = intake_overdue (&hs->intake, now_us)) != INTAKE_NONE)
    end_connection (hs, row, HS_ENDED_OVERDUE);
  for (uint32_t why = 0; why < HS_ENDED_COUNT; why++)
    total += hs->ended[why];
  if (total == hs->ended_logged)
    return;
  ev_log (EV_CONNECTIONS_ENDED,
          "port=%u since_last=%" PRIu64 " memory=%" PRIu64 " crowded=%" PRIu64
          " overdue=%" PRIu64 " too_long=%" PRIu64
          " open=%u reading=%u kept_bytes=%zu",
          hs->port, total - hs->ended_logged, hs->ended[HS_ENDED_MEMORY],
          hs->ended[HS_ENDED_CROWDED], hs->ended[HS_ENDED_OVERDUE],
          hs->ended[HS_ENDED_TOO_LONG], hs_open_connections (hs),
          hs->intake.count[INTAKE_READING], hs->intake.bytes);
  hs->ended_logged = total;
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
  sweep (hs);
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
  if (inet_pton (AF_INET, desc->address, &address.sin_addr) != 1)
    return false;
  hs->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, desc->port, NULL, NULL,
      on_access, hs, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, hs,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, hs,
      MHD_OPTION_CONNECTION_LIMIT, hs->intake.desc.max_rows,
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

static bool
setup_tables (struct hs_server *hs, const struct hs_desc *desc)
{
  uint32_t max_calls = desc->max_calls ? desc->max_calls : DEFAULT_MAX_CALLS;
  uint32_t connections
      = desc->max_connections ? desc->max_connections : max_calls * 2;
  uint64_t idle_s
      = desc->idle_timeout_s ? desc->idle_timeout_s : DEFAULT_IDLE_TIMEOUT_S;
  uint64_t request_ms = desc->request_timeout_ms ? desc->request_timeout_ms
                                                 : DEFAULT_REQUEST_TIMEOUT_MS;
  struct intake_desc intake = {
    .max_rows = connections + SPARE_CONNECTIONS,
    .max_connections = connections,
    .max_bytes = desc->max_memory_bytes ? desc->max_memory_bytes
                                        : DEFAULT_MAX_MEMORY_BYTES,
    .request_timeout_us = request_ms * 1000,
    /* libmicrohttpd ends connections without any traffic earlier. */
    .idle_timeout_us = idle_s * 2 * 1000000,
  };

  hs->calls = calloc (max_calls, sizeof *hs->calls);
  hs->conns = calloc (intake.max_rows, sizeof *hs->conns);
  return hs->calls != NULL && hs->conns != NULL
         && intake_setup (&hs->intake, &intake)
         && cyc_pool_setup (&hs->pool, max_calls, NULL);
}

bool
hs_setup (struct hs_server *hs, const struct hs_desc *desc,
          struct cyc_findings *findings)
{
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
  hs->port = desc->port;
  if (!setup_tables (hs, desc))
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
        if (cyc_pool_used_at (&hs->pool, i)
            && hs->conns[hs->calls[i]].suspended)
          MHD_resume_connection (hs->conns[hs->calls[i]].connection);
      MHD_stop_daemon (hs->daemon);
    }
  free (hs->calls);
  free (hs->conns);
  intake_shutdown (&hs->intake);
  cyc_pool_shutdown (&hs->pool);
  memset (hs, 0, sizeof *hs);
}

bool
hs_reply (struct hs_server *hs, struct cyc_ref ref,
          const struct hs_reply *reply)
{
  struct hs_conn *conn;

  if (!cyc_pool_live (&hs->pool, ref))
    return false;
  conn = &hs->conns[hs->calls[ref.index]];
  assert (!conn->answered);
  conn->response = MHD_create_response_from_buffer (
      reply->body.len, (void *)reply->body.data, MHD_RESPMEM_MUST_COPY);
  if (conn->response == NULL)
    return false;
  MHD_add_response_header (conn->response, "Content-Type",
                           reply->content_type ? reply->content_type
                                               : "text/plain");
  for (uint32_t i = 0; i < reply->header_count; i++)
    MHD_add_response_header (conn->response, reply->headers[i].name,
                             reply->headers[i].value);
  if (reply->close)
    MHD_add_response_header (conn->response, "Connection", "close");
  conn->status = reply->status;
  conn->answered = true;
  hs->bytes_out += reply->body.len;
  if (conn->suspended)
    {
      conn->suspended = false;
      MHD_resume_connection (conn->connection);
      hs->run_pending = true;
    }
  return true;
}
