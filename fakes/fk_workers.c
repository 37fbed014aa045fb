#include "fk_workers.h"

#include <stdio.h>
#include <string.h>

#define TICK_S 0.005
#define MAX_CALLS_PER_WORKER 512

struct json_object *
fk_event (const struct fk_worker *worker, const char *event)
{
  struct json_object *json = json_object_new_object ();

  fk_event_text (json, "event", event);
  fk_event_text (json, "worker", worker->name);
  return json;
}

void
fk_event_text (struct json_object *event, const char *key, const char *value)
{
  json_object_object_add (event, key, json_object_new_string (value));
}

void
fk_event_int (struct json_object *event, const char *key, int64_t value)
{
  json_object_object_add (event, key, json_object_new_int64 (value));
}

void
fk_event_add (struct fk_worker *worker, struct json_object *event)
{
  fk_journal_add (&worker->fleet->journal, event);
}

static void
on_worker_call (void *user, const struct hs_call *call)
{
  struct fk_worker *worker = user;
  struct cyc_str requests = CYC_STR ("/v1/requests/");
  struct cyc_str path = call->path;
  char prefix[80];
  size_t prefix_len
      = (size_t)snprintf (prefix, sizeof prefix, "/w/%s", worker->name);

  if (worker->faults.silent || fk_requests_connection_silent (worker, call))
    return;
  if (path.len <= prefix_len || memcmp (path.data, prefix, prefix_len) != 0)
    {
      fk_refuse (&worker->hs, call->ref, 404, "no such worker");
      return;
    }
  path.data += prefix_len;
  path.len -= prefix_len;
  if (path.len > requests.len
      && memcmp (path.data, requests.data, requests.len) == 0)
    fk_requests_call (
        worker, call,
        (struct cyc_str){ path.data + requests.len, path.len - requests.len });
  else
    fk_tasks_call (worker, call, path);
}

static bool
start_listening (struct fk_worker *worker)
{
  struct cyc_findings findings = { 0 };

  if (!hs_setup (&worker->hs,
                 &(struct hs_desc){ .loop = worker->fleet->loop,
                                    .address = "127.0.0.1",
                                    .port = worker->port,
                                    .max_calls = MAX_CALLS_PER_WORKER,
                                    .handle = on_worker_call,
                                    .user = worker },
                 &findings))
    return false;
  worker->port = fk_port (&worker->hs);
  return true;
}

static bool
add_worker (struct fk_workers *fleet, struct json_object *row)
{
  struct fk_worker *worker;

  if (fleet->worker_count == FK_MAX_WORKERS)
    return false;
  worker = g_new0 (struct fk_worker, 1);
  worker->fleet = fleet;
  g_strlcpy (worker->name, fk_text (row, "name", ""), sizeof worker->name);
  g_strlcpy (worker->domain, fk_text (row, "domain", ""),
             sizeof worker->domain);
  g_strlcpy (worker->rack, fk_text (row, "rack", ""), sizeof worker->rack);
  worker->millicores = fk_int (row, "millicores", 64000);
  worker->memory_mib = fk_int (row, "memory_mib", 131072);
  worker->accelerators = fk_int (row, "accelerators", 0);
  worker->slots = fk_int (row, "slots", 8);
  worker->connections = fk_int (row, "connections", 64);
  worker->faults.run_permille = 1000;
  worker->faults.usage_permille = 800;
  worker->faults.usage_lag_ms = 500;
  worker->faults.service_ms = fleet->service_ms;
  worker->tasks = g_ptr_array_new_with_free_func (g_free);
  worker->requests = g_array_new (FALSE, TRUE, sizeof (struct fk_request));
  fleet->workers[fleet->worker_count++] = worker;
  return start_listening (worker);
}

bool
fk_workers_add (struct fk_workers *fleet, struct json_object *json)
{
  struct json_object *list = json_object_object_get (json, "workers");

  if (!json_object_is_type (list, json_type_array))
    return false;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    if (!add_worker (fleet, json_object_array_get_idx (list, i)))
      return false;
  return true;
}

struct json_object *
fk_workers_vms (const struct fk_workers *fleet)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (uint32_t i = 0; i < fleet->worker_count; i++)
    {
      const struct fk_worker *worker = fleet->workers[i];
      struct json_object *row = json_object_new_object ();
      char address[160];

      if (worker->faults.gone)
        continue;
      snprintf (address, sizeof address, "http://127.0.0.1:%u/w/%s",
                worker->port, worker->name);
      fk_event_text (row, "name", worker->name);
      fk_event_text (row, "address", address);
      fk_event_text (row, "domain", worker->domain);
      fk_event_text (row, "rack", worker->rack);
      fk_event_text (row, "kind", "worker");
      fk_event_text (row, "state",
                     worker->faults.draining ? "leaving" : "live");
      fk_event_int (row, "millicores", worker->millicores);
      fk_event_int (row, "memory_mib", worker->memory_mib);
      fk_event_int (row, "accelerators", worker->accelerators);
      fk_event_int (row, "slots", worker->slots);
      fk_event_int (row, "connections", worker->connections);
      json_object_array_add (list, row);
    }
  json_object_object_add (root, "vms", list);
  return root;
}

static void
set_gone (struct fk_worker *worker, bool gone)
{
  if (gone && !worker->faults.gone)
    {
      fk_tasks_fail_all (worker);
      fk_requests_drop_all (worker);
      hs_shutdown (&worker->hs);
      worker->connection_count = 0;
    }
  else if (!gone && worker->faults.gone)
    {
      worker->epoch = 0;
      start_listening (worker);
    }
  worker->faults.gone = gone;
}

static void
set_faults (struct fk_worker *worker, struct json_object *json)
{
  struct fk_worker_faults *faults = &worker->faults;
  struct json_object *event = fk_event (worker, "fault");
  bool draining = fk_bool (json, "draining", faults->draining);

  if (draining != faults->draining)
    worker->draining_ms = draining ? (int64_t)hc_wall_ms () : 0;
  faults->draining = draining;
  faults->fail_starts = fk_bool (json, "fail_starts", faults->fail_starts);
  faults->silent = fk_bool (json, "silent", faults->silent);
  faults->accept_any = fk_bool (json, "accept_any", faults->accept_any);
  faults->lose_start_answers
      = fk_int (json, "lose_start_answers", faults->lose_start_answers);
  faults->lose_request_answers
      = fk_int (json, "lose_request_answers", faults->lose_request_answers);
  faults->service_ms = fk_int (json, "service_ms", faults->service_ms);
  faults->run_permille = fk_int (json, "run_permille", faults->run_permille);
  faults->usage_permille
      = fk_int (json, "usage_permille", faults->usage_permille);
  faults->usage_lag_ms = fk_int (json, "usage_lag_ms", faults->usage_lag_ms);
  if (fk_bool (json, "silence_connections", false))
    fk_requests_silence_connections (worker);
  set_gone (worker, fk_bool (json, "gone", faults->gone));
  json_object_object_add (event, "set", json_object_get (json));
  fk_event_add (worker, event);
}

static bool
apply_faults (struct fk_workers *fleet, struct json_object *json)
{
  const char *name = fk_text (json, "worker", "*");
  bool found = false;

  for (uint32_t i = 0; i < fleet->worker_count; i++)
    if (strcmp (name, "*") == 0 || strcmp (name, fleet->workers[i]->name) == 0)
      {
        set_faults (fleet->workers[i], json);
        found = true;
      }
  return found;
}

static void
on_control_call (void *user, const struct hs_call *call)
{
  struct fk_workers *fleet = user;
  struct json_object *json = NULL;
  bool done;

  if (cyc_str_eq (call->path, CYC_STR ("/journal")))
    {
      GString *lines = fleet->journal.lines;

      fk_reply_text (&fleet->hs, call->ref, 200,
                     lines ? (struct cyc_str){ lines->str, lines->len }
                           : CYC_STR (""));
      return;
    }
  if (cyc_str_eq (call->path, CYC_STR ("/vms")))
    {
      fk_reply_json (&fleet->hs, call->ref, 200, fk_workers_vms (fleet));
      return;
    }
  json = fk_parse (call->body);
  if (json != NULL && cyc_str_eq (call->path, CYC_STR ("/workers")))
    done = fk_workers_add (fleet, json);
  else
    done = json != NULL && cyc_str_eq (call->path, CYC_STR ("/faults"))
           && apply_faults (fleet, json);
  json_object_put (json);
  if (done)
    fk_reply_json (&fleet->hs, call->ref, 200, fk_workers_vms (fleet));
  else
    fk_refuse (&fleet->hs, call->ref, 400, "unknown path, worker or body");
}

static void
on_timer (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct fk_workers *fleet = timer->data;
  uint64_t now_us = hc_now_us ();
  int64_t elapsed_ms = (int64_t)((now_us - fleet->last_tick_us) / 1000);

  (void)loop;
  (void)events;
  fleet->last_tick_us += (uint64_t)elapsed_ms * 1000;
  for (uint32_t i = 0; i < fleet->worker_count; i++)
    if (!fleet->workers[i]->faults.gone)
      {
        fk_tasks_tick (fleet->workers[i], elapsed_ms);
        fk_requests_tick (fleet->workers[i]);
      }
}

bool
fk_workers_setup (struct fk_workers *fleet, struct ev_loop *loop,
                  uint16_t port, int64_t service_ms,
                  struct cyc_findings *findings)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->loop = loop;
  fleet->service_ms = service_ms;
  fleet->last_tick_us = hc_now_us ();
  if (!hs_setup (&fleet->hs,
                 &(struct hs_desc){ .loop = loop,
                                    .address = "127.0.0.1",
                                    .port = port,
                                    .handle = on_control_call,
                                    .user = fleet },
                 findings))
    return false;
  ev_timer_init (&fleet->timer, on_timer, TICK_S, TICK_S);
  fleet->timer.data = fleet;
  ev_timer_start (loop, &fleet->timer);
  return true;
}

void
fk_workers_shutdown (struct fk_workers *fleet)
{
  ev_timer_stop (fleet->loop, &fleet->timer);
  hs_shutdown (&fleet->hs);
  for (uint32_t i = 0; i < fleet->worker_count; i++)
    {
      set_gone (fleet->workers[i], true);
      g_ptr_array_unref (fleet->workers[i]->tasks);
      g_array_unref (fleet->workers[i]->requests);
      g_free (fleet->workers[i]);
    }
  if (fleet->journal.lines != NULL)
    g_string_free (fleet->journal.lines, TRUE);
}
