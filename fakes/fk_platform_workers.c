/* The workers of the fake platform. */

#include "fk_platform_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static uint64_t
worker_clock (const struct fkp_worker *worker)
{
  return fkp_now_ms () - worker->born_ms + 1;
}

static void
end_run (struct fkp_worker *worker, uint32_t index, const char *outcome)
{
  struct fkp_end *end = &worker->ends[worker->end_count++];

  end->number = worker->next_end_number++;
  end->run = worker->runs[index].number;
  end->outcome = outcome;
  memcpy (end->task, worker->runs[index].task, sizeof end->task);
  worker->runs[index] = worker->runs[--worker->run_count];
}

void
fkp_reply_hold (struct fkp_worker *worker, struct cyc_ref call)
{
  GString *out = g_string_new (NULL);

  g_string_printf (
      out, "{\"clock_ms\":%" PRIu64 ",\"born\":%" PRIu64 ",\"running\":[",
      worker_clock (worker), worker->born_ms);
  for (uint32_t i = 0; i < worker->run_count; i++)
    g_string_append_printf (out, "%s[\"%s\",%u,\"%s\",50,0]", i > 0 ? "," : "",
                            worker->runs[i].task, worker->runs[i].number,
                            worker->runs[i].checkpoint);
  g_string_append (out, "],\"finished\":[");
  for (uint32_t i = 0; i < worker->end_count; i++)
    g_string_append_printf (out, "%s[%" PRIu64 ",\"%s\",%u,\"%s\",\"\"]",
                            i > 0 ? "," : "", worker->ends[i].number,
                            worker->ends[i].task, worker->ends[i].run,
                            worker->ends[i].outcome);
  g_string_append (out, "]}");
  fk_reply_text (&worker->hs, call, 200,
                 (struct cyc_str){ out->str, out->len });
  g_string_free (out, TRUE);
}

static void
reply_clock (struct fkp_worker *worker, struct cyc_ref call, uint32_t status,
             const char *reason)
{
  char body[96];

  snprintf (body, sizeof body, "{\"clock_ms\":%" PRIu64 "%s%s%s}",
            worker_clock (worker), reason ? ",\"reason\":\"" : "",
            reason ? reason : "", reason ? "\"" : "");
  fk_reply_text (&worker->hs, call, status, cyc_str_of (body));
}

static struct fkp_run *
find_run (struct fkp_worker *worker, const char *task, uint32_t *index)
{
  for (uint32_t i = 0; i < worker->run_count; i++)
    if (strcmp (worker->runs[i].task, task) == 0)
      {
        *index = i;
        return &worker->runs[i];
      }
  return NULL;
}

static void
on_start (struct fkp_worker *worker, const struct hs_call *call,
          struct json_object *root)
{
  struct fkp_faults *faults = &worker->platform->faults;
  const char *task = fk_text (root, "task", "");
  uint32_t number = (uint32_t)fk_int (root, "run", 0);
  uint32_t index;
  struct fkp_run *run = find_run (worker, task, &index);

  if (faults->start_error_status != 0)
    {
      reply_clock (worker, call->ref, (uint32_t)faults->start_error_status,
                   faults->start_error_status == 409 ? faults->reason : NULL);
      return;
    }
  if (run != NULL && run->number != number)
    {
      reply_clock (worker, call->ref, 409, "old");
      return;
    }
  if (run == NULL && worker->run_count < FKP_RUNS_MAX)
    {
      uint32_t task_duration_ms = worker->platform->task_duration_ms;

      run = &worker->runs[worker->run_count++];
      memset (run, 0, sizeof *run);
      snprintf (run->task, sizeof run->task, "%s", task);
      snprintf (run->checkpoint, sizeof run->checkpoint, "%s",
                fk_text (root, "checkpoint", ""));
      run->number = number;
      run->start_ms = fkp_now_ms ();
      run->end_ms
          = run->start_ms + (task_duration_ms ? task_duration_ms : 200);
      worker->starts++;
    }
  worker->lease_ms
      = MAX (worker->lease_ms, (uint64_t)fk_int (root, "deadline_ms", 0));
  if (faults->lose_start_answers > 0)
    {
      faults->lose_start_answers--;
      fk_close_without_answer (&worker->hs, call->ref, call->connection);
      return;
    }
  reply_clock (worker, call->ref, 200, NULL);
}

static void
on_stop (struct fkp_worker *worker, const struct hs_call *call,
         struct json_object *root)
{
  uint32_t index;

  if (find_run (worker, fk_text (root, "task", ""), &index) != NULL)
    end_run (worker, index, "stopped");
  reply_clock (worker, call->ref, 200, NULL);
}

static void
on_hold (struct fkp_worker *worker, const struct hs_call *call,
         struct json_object *root)
{
  uint64_t ack = (uint64_t)fk_int (root, "ack_cursor", 0);
  int64_t wait = fk_int (root, "wait_ms", 0);
  uint32_t kept = 0;

  for (uint32_t i = 0; i < worker->end_count; i++)
    if (worker->ends[i].number > ack)
      worker->ends[kept++] = worker->ends[i];
  worker->end_count = kept;
  worker->lease_ms
      = MAX (worker->lease_ms, (uint64_t)fk_int (root, "deadline_ms", 0));
  if (kept > 0 || wait == 0)
    {
      fkp_reply_hold (worker, call->ref);
      return;
    }
  g_array_append_vals (
      worker->platform->pending_replies,
      &(struct fkp_pending_reply){ .hs = &worker->hs,
                                   .call = call->ref,
                                   .worker = worker,
                                   .due_ms = fkp_now_ms () + (uint64_t)wait },
      1);
}

void
fkp_on_worker_call (void *user, const struct hs_call *call)
{
  struct fkp_worker *worker = user;
  struct cyc_str incarnation = hs_header (call, "X-Expect-Instance");
  struct json_object *root = fk_parse (call->body);
  uint64_t fence = root != NULL ? (uint64_t)fk_int (root, "fence", 0) : 0;

  if (worker->platform->faults.workers_silent || worker->silent)
    ;
  else if (worker->platform->faults.other_incarnation
           || (incarnation.len > 0
               && !cyc_str_eq (incarnation, cyc_str_of (worker->id))))
    reply_clock (worker, call->ref, 421, NULL);
  else if (root == NULL)
    reply_clock (worker, call->ref, 400, NULL);
  else if (fence < worker->fence)
    reply_clock (worker, call->ref, 409, "fence");
  else
    {
      worker->fence = fence;
      if (cyc_str_eq (call->path, CYC_STR ("/-/run-start")))
        on_start (worker, call, root);
      else if (cyc_str_eq (call->path, CYC_STR ("/-/run-stop")))
        on_stop (worker, call, root);
      else if (cyc_str_eq (call->path, CYC_STR ("/-/hold")))
        on_hold (worker, call, root);
      else
        reply_clock (worker, call->ref, 404, NULL);
    }
  json_object_put (root);
}

void
fkp_publish_workers (struct fkp_platform *platform)
{
  for (uint32_t i = 0; i < platform->worker_count; i++)
    {
      struct fkp_worker *worker = &platform->workers[i];
      char value[512];
      char address[32];

      fkp_address (&worker->hs, address);
      snprintf (value, sizeof value,
                "{\"service\":\"pool\",\"address\":\"%s\",\"zone\":\"north\","
                "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
                "\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%u,"
                "\"mem_mb\":100000,\"gpu\":0},\"labels\":[\"a\",\"r%u\"],"
                "\"clock_ms\":%" PRIu64 ",\"born\":%" PRIu64
                ",\"seq\":%" PRIu64 "}",
                address, worker->draining ? "draining" : "ready",
                worker->millicores, i / 2, worker_clock (worker),
                worker->born_ms, platform->entry_seq++);
      fkp_put (platform, "keyed.servers", worker->id, value);
    }
}

void
fkp_workers_tick (struct fkp_platform *platform, uint64_t now)
{
  for (uint32_t w = 0; w < platform->worker_count; w++)
    {
      struct fkp_worker *worker = &platform->workers[w];

      for (uint32_t r = 0; r < worker->run_count;)
        if (worker->runs[r].end_ms <= now)
          end_run (worker, r, "done");
        else if (worker->lease_ms < worker_clock (worker))
          end_run (worker, r, "lapsed");
        else
          r++;
    }
}
