#include "tst_http.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define POLL_INTERVAL_US 20000

struct buffer
{
  char *data;
  size_t len;
};

static size_t
on_body (char *data, size_t size, size_t count, void *user)
{
  struct buffer *buffer = user;
  char *grown = realloc (buffer->data, buffer->len + size * count + 1);

  if (grown == NULL)
    return 0;
  buffer->data = grown;
  memcpy (grown + buffer->len, data, size * count);
  buffer->len += size * count;
  grown[buffer->len] = '\0';
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  struct tst_answer *out = user;
  size_t len = size * count;
  size_t kept = 0;

  if (len < 8 || strncasecmp (data, "Outcome:", 8) != 0)
    return len;
  for (size_t i = 8; i < len && kept + 1 < sizeof out->outcome; i++)
    if (data[i] > ' ')
      out->outcome[kept++] = data[i];
  out->outcome[kept] = '\0';
  return len;
}

static void
set_options (CURL *curl, const struct tst_call *call, struct buffer *buffer,
             struct tst_answer *out, struct curl_slist *headers)
{
  curl_easy_setopt (curl, CURLOPT_URL, call->url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    call->timeout_ms ? call->timeout_ms : 2000L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, buffer);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, out);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  /* On a reused connection libcurl may resend a request, which would look
     like a second request of the caller. */
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
  if (call->body != NULL)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
  if (call->method != NULL)
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
}

void
tst_http (const struct tst_call *call, struct tst_answer *out)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  struct buffer buffer = { 0 };
  CURLcode code;

  memset (out, 0, sizeof *out);
  for (size_t i = 0; i < sizeof call->headers / sizeof call->headers[0]; i++)
    if (call->headers[i] != NULL)
      headers = curl_slist_append (headers, call->headers[i]);
  set_options (curl, call, &buffer, out, headers);
  code = curl_easy_perform (curl);
  if (code == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &out->status);
  out->refused_connection = code == CURLE_COULDNT_CONNECT;
  out->body = buffer.data != NULL ? buffer.data : calloc (1, 1);
  out->len = buffer.len;
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
}

long
tst_http_status (const char *url)
{
  struct tst_answer answer;

  tst_http (&(struct tst_call){ .url = url, .timeout_ms = 500 }, &answer);
  free (answer.body);
  return answer.status;
}

uint64_t
tst_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
tst_poll_sleep (void)
{
  usleep (POLL_INTERVAL_US);
}
