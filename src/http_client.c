#include "http_client.h"

#include <assert.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>

#define DEFAULT_MAX_REQUESTS 4096
#define DEFAULT_MAX_ANSWER_BYTES (8U * 1024 * 1024)
#define DEFAULT_CONNECT_TIMEOUT_MS 1000
#define US_PER_MS 1000
#define US_PER_S 1000000
/** A longer body of a request may fill the link for a while: its progress is
 * watched. */
#define LONG_BODY_BYTES 65536
/** A longer body of a request is not kept for the next one. */
#define KEPT_BODY_BYTES 8192
/** Headers that each request has: "Expect:". */
#define FIXED_HEADERS 1

/* What a transfer leaves to the next one in its place. A new handle costs more
   than a call that reuses one. */
struct kept
{
  CURL *easy; /* with the options that all requests share */
  char *body;
  size_t body_capacity;
  char *lines; /* of the headers; each ends with a zero byte */
  size_t lines_capacity;
  struct curl_slist headers[FIXED_HEADERS + HC_MAX_HEADERS];
};

struct hc_transfer
{
  struct kept kept;
  struct hc_client *client;
  struct hc_shard *shard;
  struct cyc_ref ref;
  struct ev_timer timer; /* of the deadline */
  uint64_t deadline_us;
  uint64_t complete_by_us; /* as in hc_request */
  size_t sent_len;         /* bytes of a long request that have been sent */
  size_t progress_len;     /* bytes of both bodies when deadline_us was last
                              extended */
  uint64_t write_until_us; /* 0: only the deadline counts */
  char *answer;
  size_t answer_len;
  size_t answer_capacity;
  bool not_started;
  bool draining;
  bool headers_complete; /* the blank line that ends the headers arrived */
  bool length_known;     /* has Content-Length or Transfer-Encoding */
  bool repeatable;
  bool repeat_denied; /* libcurl was about to write it a second time */
  uint32_t attempts;
  uint64_t broken_us; /* as in hc_result */
  char outcome[16];
  char error[CURL_ERROR_SIZE];
  void (*progress) (void *user);
  void (*done) (void *user, const struct hc_result *result);
  void *user;
};

struct socket_watch
{
  struct ev_io io;
  struct hc_shard *shard;
};

uint64_t
hc_now_us (void)
{
  struct timespec now;

  /* Unlike CLOCK_MONOTONIC it goes on while the VM is suspended, as the clocks
     of the other VMs and the workers do. */
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

uint64_t
hc_wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t
hc_deadline_us (uint64_t wall_ms)
{
  uint64_t wall_now_ms = hc_wall_ms ();
  uint64_t now_us = hc_now_us ();
  uint64_t elapsed_ms;

  if (wall_ms >= wall_now_ms)
    {
      uint64_t remaining_ms = wall_ms - wall_now_ms;

      if (remaining_ms > (UINT64_MAX - now_us) / US_PER_MS)
        return UINT64_MAX;
      return now_us + remaining_ms * US_PER_MS;
    }
  elapsed_ms = wall_now_ms - wall_ms;
  return elapsed_ms > now_us / US_PER_MS ? 0 : now_us - elapsed_ms * US_PER_MS;
}

uint64_t
hc_deadline_ms (uint64_t deadline_us)
{
  uint64_t now_us = hc_now_us ();
  uint64_t wall_now_ms = hc_wall_ms ();
  uint64_t elapsed_ms;

  if (deadline_us >= now_us)
    return wall_now_ms + (deadline_us - now_us) / US_PER_MS;
  elapsed_ms = (now_us - deadline_us) / US_PER_MS;
  return elapsed_ms > wall_now_ms ? 0 : wall_now_ms - elapsed_ms;
}

/* Extends the deadline of an exchange that makes progress; @p moved: bytes of
   both bodies so far. */
static void
extend_deadline (struct hc_transfer *transfer, size_t moved)
{
  uint64_t stall_us = hc_now_us () + (uint64_t)HC_STALL_MS * US_PER_MS;

  if (transfer->progress_len > 0
      && moved - transfer->progress_len < HC_PROGRESS_BYTES)
    return;
  transfer->progress_len = moved;
  transfer->deadline_us
      = MAX (transfer->deadline_us, MIN (stall_us, transfer->complete_by_us));
}

static size_t
on_body (char *data, size_t size, size_t count, void *user)
{
  struct hc_transfer *transfer = user;
  size_t len = size * count;
  size_t needed = transfer->answer_len + len;

  if (needed > transfer->client->max_answer_bytes)
    return 0;
  if (needed > transfer->answer_capacity)
    {
      size_t capacity_bytes = needed < 4096 ? 4096 : needed * 2;
      char *grown = realloc (transfer->answer, capacity_bytes);

      if (grown == NULL)
        return 0;
      transfer->answer = grown;
      transfer->answer_capacity = capacity_bytes;
    }
  memcpy (transfer->answer + transfer->answer_len, data, len);
  transfer->answer_len = needed;
  extend_deadline (transfer, transfer->sent_len + needed);
  if (transfer->progress != NULL && len > 0)
    transfer->progress (transfer->user);
  return len;
}

static bool
header_is (struct cyc_str line, const char *name, struct cyc_str *value)
{
  size_t name_len = strlen (name);

  if (line.len <= name_len || strncasecmp (line.data, name, name_len) != 0
      || line.data[name_len] != ':')
    return false;
  value->data = line.data + name_len + 1;
  value->len = line.len - name_len - 1;
  while (value->len > 0 && value->data[0] == ' ')
    {
      value->data++;
      value->len--;
    }
  while (value->len > 0 && (unsigned char)value->data[value->len - 1] <= ' ')
    value->len--;
  return true;
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  struct hc_transfer *transfer = user;
  struct cyc_str line = { data, size * count };
  struct cyc_str value;

  if (line.len > 5 && strncmp (line.data, "HTTP/", 5) == 0)
    {
      /* A status line resets the state of a preceding interim 1xx answer. */
      transfer->headers_complete = false;
      transfer->length_known = false;
    }
  else if (line.len <= 2 && line.len > 0 && line.data[line.len - 1] == '\n')
    transfer->headers_complete = true;
  else if (header_is (line, "Content-Length", &value)
           || header_is (line, "Transfer-Encoding", &value))
    transfer->length_known = true;
  else if (header_is (line, "Not-Started", &value))
    transfer->not_started = cyc_str_eq (value, CYC_STR ("1"));
  else if (header_is (line, "Draining", &value))
    transfer->draining = cyc_str_eq (value, CYC_STR ("1"));
  else if (header_is (line, "Outcome", &value)
           && value.len < sizeof transfer->outcome)
    snprintf (transfer->outcome, sizeof transfer->outcome, "%.*s",
              CYC_FMT (value));
  return line.len;
}

/* libcurl calls this now and then during a transfer. */
static int
on_transfer_info (void *user, curl_off_t answer_total, curl_off_t answer_now,
                  curl_off_t request_total, curl_off_t request_now)
{
  struct hc_transfer *transfer = user;

  (void)answer_total;
  (void)answer_now;
  (void)request_total;
  if ((size_t)request_now <= transfer->sent_len)
    return 0;
  transfer->sent_len = (size_t)request_now;
  extend_deadline (transfer, transfer->sent_len + transfer->answer_len);
  if (transfer->progress != NULL)
    transfer->progress (transfer->user);
  return 0;
}

static void
note_broken (struct hc_transfer *transfer)
{
  if (transfer->broken_us == 0)
    transfer->broken_us = hc_now_us ();
}

/* libcurl sends a request again if a reused connection ends before the answer,
   and has no option against it. */
static bool
may_write (struct hc_transfer *transfer)
{
  if (transfer->attempts == 0)
    return transfer->write_until_us == 0
           || hc_now_us () <= transfer->write_until_us;
  note_broken (transfer);
  if (transfer->repeatable)
    return true;
  transfer->repeat_denied = true;
  return false;
}

/* libcurl calls this before each attempt to write the request. */
static int
on_attempt (void *user, char *remote, char *local, int remote_port,
            int local_port)
{
  struct hc_transfer *transfer = user;

  (void)remote;
  (void)local;
  (void)remote_port;
  (void)local_port;
  if (!may_write (transfer))
    return CURL_PREREQFUNC_ABORT;
  transfer->attempts++;
  return CURL_PREREQFUNC_OK;
}

/* Ends a transfer that must not be repeated before it waits for a connection
   that it would not use. */
static curl_socket_t
on_open_socket (void *user, curlsocktype purpose,
                struct curl_sockaddr *address)
{
  const struct hc_transfer *transfer = user;
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  curl_socket_t fd;

  (void)purpose;
  if (!may_write (user))
    return CURL_SOCKET_BAD;
  fd = socket (address->family, address->socktype, address->protocol);
  if (fd >= 0 && transfer->client->reset_on_close)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  return fd;
}

static void
release_transfer (struct hc_transfer *transfer)
{
  struct hc_client *hc = transfer->client;
  struct cyc_ref ref = transfer->ref;
  struct kept kept = transfer->kept;

  ev_timer_stop (hc->loop, &transfer->timer);
  curl_multi_remove_handle (transfer->shard->multi, kept.easy);
  free (transfer->answer);
  if (kept.body_capacity > KEPT_BODY_BYTES)
    {
      free (kept.body);
      kept.body = NULL;
      kept.body_capacity = 0;
    }
  memset (transfer, 0, sizeof *transfer);
  transfer->kept = kept;
  cyc_pool_release (&hc->pool, ref);
}

static void
free_kept (struct kept *kept)
{
  if (kept->easy != NULL)
    curl_easy_cleanup (kept->easy);
  free (kept->body);
  free (kept->lines);
  memset (kept, 0, sizeof *kept);
}

/* libcurl also reports success for an answer with truncated headers and for a
   body that is delimited only by the end of the connection, which may be
   truncated. Both count as incomplete. */
static bool
answer_is_complete (const struct hc_transfer *transfer, CURLcode code)
{
  return code == CURLE_OK && transfer->headers_complete
         && transfer->length_known;
}

static bool
connection_ended (const struct hc_transfer *transfer, CURLcode code)
{
  switch (code)
    {
    case CURLE_OK:
    case CURLE_GOT_NOTHING:
    case CURLE_PARTIAL_FILE:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
      return transfer->attempts > 0 && !answer_is_complete (transfer, code);
    default:
      return false;
    }
}

static void
finish_transfer (struct hc_transfer *transfer, CURLcode code)
{
  struct hc_result result = { 0 };
  struct hc_client *hc = transfer->client;
  long request_bytes = 0;
  long connections = 0;
  long os_error = 0;
  long local_port = 0;
  struct hc_transfer finished;

  curl_easy_getinfo (transfer->kept.easy, CURLINFO_REQUEST_SIZE,
                     &request_bytes);
  curl_easy_getinfo (transfer->kept.easy, CURLINFO_NUM_CONNECTS, &connections);
  curl_easy_getinfo (transfer->kept.easy, CURLINFO_LOCAL_PORT, &local_port);
  if (connection_ended (transfer, code))
    note_broken (transfer);
  result.attempts = transfer->attempts;
  result.broken_us = transfer->broken_us;
  result.new_connection = connections > 0;
  result.local_port = (uint16_t)local_port;
  result.sent = transfer->attempts == 0 ? HC_SENT_NO : HC_SENT_MAYBE;
  result.timed_out = code == CURLE_OPERATION_TIMEDOUT;
  curl_easy_getinfo (transfer->kept.easy, CURLINFO_OS_ERRNO, &os_error);
  result.refused = code == CURLE_COULDNT_CONNECT && os_error == ECONNREFUSED;
  result.error = "";
  if (answer_is_complete (transfer, code))
    curl_easy_getinfo (transfer->kept.easy, CURLINFO_RESPONSE_CODE,
                       &result.status);
  else if (code == CURLE_OK)
    result.error = "answer was cut short";
  else if (transfer->repeat_denied)
    result.error = "the connection ended before the answer; not sent again";
  else
    result.error
        = transfer->error[0] ? transfer->error : curl_easy_strerror (code);
  result.body = (struct cyc_str){ transfer->answer, transfer->answer_len };
  result.not_started = transfer->not_started;
  result.draining = transfer->draining;
  result.outcome = cyc_str_of (transfer->outcome);
  hc->bytes_in += transfer->answer_len;
  hc->bytes_out += (uint64_t)request_bytes;
  /* The transfer is released before `done` is called, so that `done` can send
     a new request even if the pool was full. */
  finished = *transfer;
  if (result.error == transfer->error)
    result.error = finished.error;
  result.outcome = cyc_str_of (finished.outcome);
  transfer->answer = NULL;
  release_transfer (transfer);
  finished.done (finished.user, &result);
  free (finished.answer);
}

static void
process_completed (struct hc_shard *shard)
{
  CURLMsg *message;
  int messages_left;

  while ((message = curl_multi_info_read (shard->multi, &messages_left))
         != NULL)
    {
      char *transfer = NULL;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
      finish_transfer ((struct hc_transfer *)(void *)transfer, code);
    }
}

static void
start_deadline_timer (struct hc_transfer *transfer)
{
  struct ev_loop *loop = transfer->client->loop;
  uint64_t now_us = hc_now_us ();
  uint64_t remaining_us
      = transfer->deadline_us > now_us ? transfer->deadline_us - now_us : 0;

  ev_timer_set (&transfer->timer, (double)remaining_us / US_PER_S, 0.0);
  ev_timer_start (loop, &transfer->timer);
}

/* libcurl checks no deadline of a transfer that waits for one of a limited
   number of connections. */
static void
on_deadline (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct hc_transfer *transfer = timer->data;

  (void)loop;
  (void)events;
  if (hc_now_us () < transfer->deadline_us)
    start_deadline_timer (transfer);
  else
    finish_transfer (transfer, CURLE_OPERATION_TIMEDOUT);
}

static void
on_socket_ready (struct ev_loop *loop, struct ev_io *io, int events)
{
  struct socket_watch *watch = io->data;
  struct hc_shard *shard = watch->shard;
  int flags = ((events & EV_READ) ? CURL_CSELECT_IN : 0)
              | ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);
  int running;

  (void)loop;
  curl_multi_socket_action (shard->multi, io->fd, flags, &running);
  process_completed (shard);
}

static void
on_timer (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct hc_shard *shard = timer->data;
  int running;

  (void)loop;
  (void)events;
  curl_multi_socket_action (shard->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  process_completed (shard);
}

static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *user,
                  void *socket_user)
{
  struct hc_shard *shard = user;
  struct ev_loop *loop = shard->client->loop;
  struct socket_watch *watch = socket_user;
  int events = ((what & CURL_POLL_IN) ? EV_READ : 0)
               | ((what & CURL_POLL_OUT) ? EV_WRITE : 0);

  (void)easy;
  if (watch != NULL)
    ev_io_stop (loop, &watch->io);
  if (what == CURL_POLL_REMOVE)
    {
      free (watch);
      curl_multi_assign (shard->multi, fd, NULL);
      return 0;
    }
  if (watch == NULL)
    {
      watch = calloc (1, sizeof *watch);
      if (watch == NULL)
        return -1;
      watch->shard = shard;
      ev_init (&watch->io, on_socket_ready);
      watch->io.data = watch;
      curl_multi_assign (shard->multi, fd, watch);
    }
  ev_io_set (&watch->io, fd, events);
  ev_io_start (loop, &watch->io);
  return 0;
}

static int
on_timer_change (CURLM *multi, long timeout_ms, void *user)
{
  struct hc_shard *shard = user;
  struct ev_loop *loop = shard->client->loop;

  (void)multi;
  ev_timer_stop (loop, &shard->timer);
  if (timeout_ms >= 0)
    {
      ev_timer_set (&shard->timer, (double)timeout_ms / 1000.0, 0.0);
      ev_timer_start (loop, &shard->timer);
    }
  return 0;
}

/* Sets up the shard at its first use. */
static bool
open_shard (struct hc_shard *shard)
{
  const struct hc_client *hc = shard->client;

  if (shard->multi != NULL)
    return true;
  shard->multi = curl_multi_init ();
  if (shard->multi == NULL)
    return false;
  curl_multi_setopt (shard->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (shard->multi, CURLMOPT_SOCKETDATA, shard);
  curl_multi_setopt (shard->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (shard->multi, CURLMOPT_TIMERDATA, shard);
  if (hc->max_connections_per_host > 0)
    curl_multi_setopt (shard->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                       (long)hc->max_connections_per_host);
  if (hc->max_idle_connections > 0)
    curl_multi_setopt (shard->multi, CURLMOPT_MAXCONNECTS,
                       (long)hc->max_idle_connections);
  return true;
}

/* Returns the shard of the server that the URL names. */
static struct hc_shard *
shard_of (struct hc_client *hc, struct cyc_str url)
{
  size_t at = url.len > 7 && memcmp (url.data, "http://", 7) == 0 ? 7 : 0;
  uint32_t hash = 0;

  for (; at < url.len && url.data[at] != '/'; at++)
    hash = hash * 31 + (unsigned char)url.data[at];
  return &hc->shards[hash % hc->shard_count];
}

bool
hc_setup (struct hc_client *hc, const struct hc_desc *desc,
          struct cyc_findings *findings)
{
  uint32_t max
      = desc->max_requests ? desc->max_requests : DEFAULT_MAX_REQUESTS;

  memset (hc, 0, sizeof *hc);
  if (desc->loop == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("hc_desc.loop"), "is missing");
      return false;
    }
  hc->loop = desc->loop;
  hc->reset_on_close = desc->reset_on_close;
  hc->max_answer_bytes = desc->max_answer_bytes ? desc->max_answer_bytes
                                                : DEFAULT_MAX_ANSWER_BYTES;
  hc->connect_timeout_ms = desc->connect_timeout_ms
                               ? desc->connect_timeout_ms
                               : DEFAULT_CONNECT_TIMEOUT_MS;
  hc->shard_count = CLAMP (desc->shards, 1, HC_MAX_SHARDS);
  hc->max_connections_per_host = desc->max_connections_per_host;
  hc->max_idle_connections
      = (desc->max_idle_connections + hc->shard_count - 1) / hc->shard_count;
  for (uint32_t i = 0; i < hc->shard_count; i++)
    {
      hc->shards[i].client = hc;
      ev_init (&hc->shards[i].timer, on_timer);
      hc->shards[i].timer.data = &hc->shards[i];
    }
  curl_global_init (CURL_GLOBAL_ALL);
  hc->transfers = calloc (max, sizeof *hc->transfers);
  if (hc->transfers == NULL || !cyc_pool_setup (&hc->pool, max, NULL))
    {
      cyc_findings_add (findings, CYC_STR ("http_client"), "out of memory");
      hc_shutdown (hc);
      return false;
    }
  return true;
}

void
hc_limit_connections (struct hc_client *hc, uint32_t max_per_host)
{
  hc->max_connections_per_host = max_per_host;
  for (uint32_t i = 0; i < hc->shard_count; i++)
    if (hc->shards[i].multi != NULL)
      curl_multi_setopt (hc->shards[i].multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                         (long)max_per_host);
}

void
hc_shutdown (struct hc_client *hc)
{
  if (hc->transfers != NULL)
    for (uint32_t i = 0; i < hc->pool.high; i++)
      {
        if (cyc_pool_used_at (&hc->pool, i))
          release_transfer (&hc->transfers[i]);
        free_kept (&hc->transfers[i].kept);
      }
  for (uint32_t i = 0; i < hc->shard_count; i++)
    {
      if (hc->shards[i].multi != NULL)
        curl_multi_cleanup (hc->shards[i].multi);
      ev_timer_stop (hc->loop, &hc->shards[i].timer);
    }
  free (hc->transfers);
  cyc_pool_shutdown (&hc->pool);
  memset (hc, 0, sizeof *hc);
}

/* Makes room for @p needed bytes, without keeping what is there. */
static bool
reserve (char **data, size_t *capacity, size_t needed)
{
  if (needed <= *capacity)
    return true;
  free (*data);
  *data = malloc (needed + 1);
  *capacity = *data != NULL ? needed : 0;
  return *data != NULL;
}

/* Sets the options that all requests of the transfer's place share. */
static bool
setup_handle (struct hc_transfer *transfer)
{
  CURL *easy = curl_easy_init ();

  if (easy == NULL)
    return false;
  transfer->kept.easy = easy;
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)transfer->client->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, (char *)transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, transfer->error);
  curl_easy_setopt (easy, CURLOPT_XFERINFOFUNCTION, on_transfer_info);
  curl_easy_setopt (easy, CURLOPT_XFERINFODATA, transfer);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_attempt);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, transfer);
  return true;
}

/* Sets the method and the body, which libcurl reads where it is kept. */
static bool
set_body (struct hc_transfer *transfer, const struct hc_request *request)
{
  struct kept *kept = &transfer->kept;

  curl_easy_setopt (kept->easy, CURLOPT_CUSTOMREQUEST,
                    request->method == HC_DELETE ? "DELETE" : NULL);
  if (request->method != HC_POST)
    {
      curl_easy_setopt (kept->easy, CURLOPT_HTTPGET, 1L);
      return true;
    }
  if (!reserve (&kept->body, &kept->body_capacity, request->body.len + 1))
    return false;
  if (request->body.len > 0)
    memcpy (kept->body, request->body.data, request->body.len);
  curl_easy_setopt (kept->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (kept->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)request->body.len);
  curl_easy_setopt (kept->easy, CURLOPT_POSTFIELDS, kept->body);
  return true;
}

/* Builds the list of headers in memory that is kept: libcurl reads it and
   copies nothing. */
static bool
set_headers (struct hc_transfer *transfer, const struct hc_request *request)
{
  /* "Expect: 100-continue" would add a round trip to larger bodies. */
  static char no_expect[] = "Expect:";
  struct kept *kept = &transfer->kept;
  size_t bytes = 0;
  size_t used = 0;

  for (uint32_t i = 0; i < request->header_count; i++)
    {
      if (request->headers[i].len >= HC_MAX_HEADER_BYTES)
        return false;
      bytes += request->headers[i].len + 1;
    }
  if (!reserve (&kept->lines, &kept->lines_capacity, bytes))
    return false;
  kept->headers[0] = (struct curl_slist){ .data = no_expect };
  for (uint32_t i = 0; i < request->header_count; i++)
    {
      struct curl_slist *header = &kept->headers[FIXED_HEADERS + i];

      *header = (struct curl_slist){ .data = kept->lines + used };
      memcpy (header->data, request->headers[i].data, request->headers[i].len);
      header->data[request->headers[i].len] = 0;
      used += request->headers[i].len + 1;
      kept->headers[FIXED_HEADERS + i - 1].next = header;
    }
  curl_easy_setopt (kept->easy, CURLOPT_HTTPHEADER, kept->headers);
  return true;
}

static void
set_options (struct hc_transfer *transfer, const struct hc_request *request,
             const char *url)
{
  CURL *easy = transfer->kept.easy;
  uint64_t now_us = hc_now_us ();
  uint64_t last_us = MAX (request->deadline_us, request->complete_by_us);
  uint64_t remaining_ms
      = last_us > now_us ? (last_us - now_us) / US_PER_MS : 0;
  /* Without CURLOPT_FORBID_REUSE each such request would leave an idle
     connection open, and a target accepts only 64 connections. */
  long fresh = request->fresh_connection ? 1L : 0L;

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)(remaining_ms > 0 ? remaining_ms : 1));
  curl_easy_setopt (easy, CURLOPT_NOPROGRESS,
                    request->complete_by_us != 0
                            && request->body.len >= LONG_BODY_BYTES
                        ? 0L
                        : 1L);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, fresh);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, fresh);
}

struct cyc_ref
hc_send (struct hc_client *hc, const struct hc_request *request)
{
  struct cyc_ref none = { 0 };
  struct cyc_ref ref;
  struct hc_transfer *transfer;
  char url[1024];

  assert (request->done != NULL);
  if (request->url.len >= sizeof url || request->header_count > HC_MAX_HEADERS
      || !open_shard (shard_of (hc, request->url)))
    return none;
  ref = cyc_pool_take (&hc->pool);
  if (ref.generation == 0)
    return none;
  snprintf (url, sizeof url, "%.*s", CYC_FMT (request->url));
  transfer = &hc->transfers[ref.index];
  transfer->client = hc;
  transfer->shard = shard_of (hc, request->url);
  transfer->ref = ref;
  transfer->done = request->done;
  transfer->user = request->user;
  transfer->repeatable = request->repeatable || request->method == HC_GET;
  transfer->deadline_us = request->deadline_us;
  transfer->complete_by_us = request->complete_by_us;
  transfer->progress = request->progress;
  transfer->write_until_us = request->write_until_us;
  ev_init (&transfer->timer, on_deadline);
  transfer->timer.data = transfer;
  if (transfer->kept.easy == NULL && !setup_handle (transfer))
    {
      cyc_pool_release (&hc->pool, ref);
      return none;
    }
  set_options (transfer, request, url);
  if (!set_body (transfer, request) || !set_headers (transfer, request)
      || curl_multi_add_handle (transfer->shard->multi, transfer->kept.easy)
             != CURLM_OK)
    {
      release_transfer (transfer);
      return none;
    }
  start_deadline_timer (transfer);
  return ref;
}

void
hc_cancel (struct hc_client *hc, struct cyc_ref ref)
{
  if (cyc_pool_live (&hc->pool, ref))
    release_transfer (&hc->transfers[ref.index]);
}
