#include "cmd_query.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_TIMEOUT_US 3000000

const char *
query_role_name (enum set_role role)
{
  switch (role)
    {
    case SET_ROLE_GATEWAY:
      return "gateway";
    case SET_ROLE_SCHEDULER:
      return "scheduler";
    case SET_ROLE_ENTRY:
      return "entry";
    }
  return "";
}

static void
add_process (struct query *query, const struct set_peer *peer,
             enum query_roles roles)
{
  struct query_process *process = &query->processes[query->count];

  if (((unsigned)peer->role & (unsigned)roles) == 0)
    return;
  *process = (struct query_process){ .query = query,
                                     .vm = peer->vm,
                                     .domain = peer->domain,
                                     .role = peer->role,
                                     .http = peer->http };
  if (peer->http.port == 0)
    snprintf (process->unreached_reason, sizeof process->unreached_reason,
              "not asked: no \"http\" in the peers");
  query->count++;
}

struct query *
query_new (const struct set_settings *settings, enum query_roles roles)
{
  struct query *query = calloc (1, sizeof *query);
  struct set_peer self = { .vm = settings->vm, .domain = settings->domain };

  if (query == NULL)
    return NULL;
  self.role = SET_ROLE_GATEWAY;
  self.http = settings->gateway_http;
  add_process (query, &self, roles);
  self.role = SET_ROLE_SCHEDULER;
  self.http = settings->scheduler_http;
  add_process (query, &self, roles);
  for (uint32_t i = 0; i < settings->peer_count; i++)
    if (!cyc_name_eq (&settings->peers[i].vm, &settings->vm))
      add_process (query, &settings->peers[i], roles);
  return query;
}

struct query *
query_entries (const char *const *addresses, uint32_t count)
{
  struct query *query = calloc (1, sizeof *query);

  for (uint32_t i = 0; query != NULL && i < count && i < QUERY_MAX_PROCESSES;
       i++)
    {
      struct query_process *process = &query->processes[query->count++];

      process->query = query;
      process->role = SET_ROLE_ENTRY;
      if (!cyc_name_set (&process->vm, cyc_str_of (addresses[i]))
          || !set_address_parse (cyc_str_of (addresses[i]), &process->http))
        {
          query_free (query);
          return NULL;
        }
    }
  return query;
}

static void
on_answer (void *user, const struct hc_result *result)
{
  struct query_process *process = user;

  if (result->status == 200)
    process->answer = strndup (result->body.data, result->body.len);
  else if (result->status != 0)
    snprintf (process->unreached_reason, sizeof process->unreached_reason,
              "status %ld", result->status);
  else
    snprintf (process->unreached_reason, sizeof process->unreached_reason,
              "%.70s", result->error);
  if (--process->query->open_requests == 0)
    ev_break (process->query->loop, EVBREAK_ALL);
}

static void
send_request (struct query *query, struct query_process *process,
              const char *path)
{
  char url[160];
  struct hc_request request
      = { .method = HC_GET,
          .deadline_us = hc_now_us () + ANSWER_TIMEOUT_US,
          .done = on_answer,
          .user = process };

  snprintf (url, sizeof url, "http://%s:%u%s", process->http.host,
            process->http.port, path);
  request.url = cyc_str_of (url);
  query->open_requests++;
  if (hc_send (&query->client, &request).generation == 0)
    {
      query->open_requests--;
      snprintf (process->unreached_reason, sizeof process->unreached_reason,
                "too many open requests");
    }
}

bool
query_run (struct query *query, const char *path)
{
  struct cyc_findings findings = { 0 };

  query->loop = ev_default_loop (0);
  if (!hc_setup (&query->client, &(struct hc_desc){ .loop = query->loop },
                 &findings))
    return false;
  for (uint32_t i = 0; i < query->count; i++)
    if (query->processes[i].http.port != 0)
      send_request (query, &query->processes[i], path);
  if (query->open_requests > 0)
    ev_run (query->loop, 0);
  hc_shutdown (&query->client);
  return true;
}

void
query_free (struct query *query)
{
  if (query == NULL)
    return;
  for (uint32_t i = 0; i < query->count; i++)
    free (query->processes[i].answer);
  free (query);
}
