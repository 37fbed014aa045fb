#include "cmd_ask.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_US 3000000

const char *
ask_role_word (enum set_role role)
{
  return role == SET_ROLE_GATEWAY ? "gateway" : "scheduler";
}

static void
add_part (struct ask_round *round, const struct set_peer *peer,
          enum ask_roles roles)
{
  struct ask_part *part = &round->parts[round->count];

  if (((unsigned)peer->role & (unsigned)roles) == 0)
    return;
  *part = (struct ask_part){ .round = round,
                             .vm = peer->vm,
                             .domain = peer->domain,
                             .role = peer->role,
                             .http = peer->http };
  if (peer->http.port == 0)
    snprintf (part->note, sizeof part->note,
              "not asked: no \"http\" in the peers");
  round->count++;
}

struct ask_round *
ask_new (const struct set_settings *settings, enum ask_roles roles)
{
  struct ask_round *round = calloc (1, sizeof *round);
  struct set_peer self = { .vm = settings->vm, .domain = settings->domain };

  if (round == NULL)
    return NULL;
  self.role = SET_ROLE_GATEWAY;
  self.http = settings->gateway_http;
  add_part (round, &self, roles);
  self.role = SET_ROLE_SCHEDULER;
  self.http = settings->scheduler_http;
  add_part (round, &self, roles);
  for (uint32_t i = 0; i < settings->peer_count; i++)
    if (!cyc_name_eq (&settings->peers[i].vm, &settings->vm))
      add_part (round, &settings->peers[i], roles);
  return round;
}

static void
on_answer (void *user, const struct hc_result *result)
{
  struct ask_part *part = user;

  if (result->status == 200)
    part->answer = strndup (result->body.data, result->body.len);
  else if (result->status != 0)
    snprintf (part->note, sizeof part->note, "status %ld", result->status);
  else
    snprintf (part->note, sizeof part->note, "%.70s", result->error);
  if (--part->round->open == 0)
    ev_break (part->round->loop, EVBREAK_ALL);
}

static void
send_question (struct ask_round *round, struct ask_part *part,
               const char *path)
{
  char url[160];
  struct hc_request request = { .method = HC_GET,
                                .deadline_us = hc_now_us () + ANSWER_US,
                                .done = on_answer,
                                .user = part };

  snprintf (url, sizeof url, "http://%s:%u%s", part->http.host,
            part->http.port, path);
  request.url = cyc_str_of (url);
  round->open++;
  if (hc_send (&round->client, &request).generation == 0)
    {
      round->open--;
      snprintf (part->note, sizeof part->note, "too many open requests");
    }
}

bool
ask_run (struct ask_round *round, const char *path)
{
  struct cyc_findings findings = { 0 };

  round->loop = ev_default_loop (0);
  if (!hc_setup (&round->client, &(struct hc_desc){ .loop = round->loop },
                 &findings))
    return false;
  for (uint32_t i = 0; i < round->count; i++)
    if (round->parts[i].http.port != 0)
      send_question (round, &round->parts[i], path);
  if (round->open > 0)
    ev_run (round->loop, 0);
  hc_shutdown (&round->client);
  return true;
}

void
ask_free (struct ask_round *round)
{
  if (round == NULL)
    return;
  for (uint32_t i = 0; i < round->count; i++)
    free (round->parts[i].answer);
  free (round);
}
