#include "fk_workers.h"

#include <string.h>

static bool
is_running (const struct fk_task *task)
{
  return task != NULL && strcmp (task->state, "running") == 0;
}

static struct fk_task *
find_task (const struct fk_worker *worker, struct cyc_str name)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct fk_task *task = worker->tasks->pdata[i];

      if (cyc_str_eq (cyc_str_of (task->name), name))
        return task;
    }
  return NULL;
}

bool
fk_tasks_serves (const struct fk_worker *worker, struct cyc_str queue)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct fk_task *task = worker->tasks->pdata[i];

      if (is_running (task) && strcmp (task->kind, "service") == 0
          && cyc_str_eq (cyc_str_of (task->queue), queue))
        return true;
    }
  return false;
}

static struct json_object *
task_event (const struct fk_worker *worker, const struct fk_task *task,
            const char *name)
{
  struct json_object *event = fk_event (worker, name);

  fk_event_text (event, "task", task->name);
  fk_event_text (event, "lease", task->lease);
  fk_event_text (event, "queue", task->queue);
  fk_event_text (event, "kind", task->kind);
  fk_event_int (event, "epoch", task->epoch);
  fk_event_int (event, "millicores", task->millicores);
  fk_event_int (event, "memory_mib", task->memory_mib);
  fk_event_int (event, "accelerators", task->accelerators);
  fk_event_int (event, "from_ms", task->start_ms);
  return event;
}

static void
end_task (struct fk_worker *worker, struct fk_task *task, const char *state,
          const char *reason)
{
  struct json_object *event;

  task->state = state;
  g_strlcpy (task->reason, reason, sizeof task->reason);
  event = task_event (worker, task, "end");
  fk_event_text (event, "state", state);
  fk_event_text (event, "reason", reason);
  fk_event_int (event, "to_ms", (int64_t)hc_wall_ms ());
  fk_event_add (worker, event);
}

void
fk_tasks_fail_all (struct fk_worker *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    if (is_running (worker->tasks->pdata[i]))
      end_task (worker, worker->tasks->pdata[i], "failed", "vm lost");
  g_ptr_array_set_size (worker->tasks, 0);
}

/* Compares the capacity with the actual usage, which only the worker knows:
   the scheduler places tasks by learned sizes, so the sum of the declared
   sizes may exceed the capacity. */
static bool
has_capacity (const struct fk_worker *worker, const struct fk_task *task)
{
  int64_t permille = worker->faults.usage_permille;
  int64_t millicores = task->millicores;
  int64_t memory_mib = task->memory_mib;
  int64_t accelerators = task->accelerators;

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const struct fk_task *other = worker->tasks->pdata[i];

      if (!is_running (other))
        continue;
      millicores += other->millicores;
      memory_mib += other->memory_mib;
      accelerators += other->accelerators;
    }
  return millicores * permille / 1000 <= worker->millicores
         && memory_mib * permille / 1000 <= worker->memory_mib
         && accelerators <= worker->accelerators;
}

static struct fk_task *
parse_task (struct json_object *json)
{
  struct fk_task *task = g_new0 (struct fk_task, 1);

  g_strlcpy (task->name, fk_text (json, "task", ""), sizeof task->name);
  g_strlcpy (task->lease, fk_text (json, "lease", ""), sizeof task->lease);
  g_strlcpy (task->queue, fk_text (json, "queue", ""), sizeof task->queue);
  g_strlcpy (task->kind, fk_text (json, "kind", ""), sizeof task->kind);
  task->state = "running";
  task->epoch = fk_int (json, "epoch", 0);
  task->not_after_ms = fk_int (json, "not_after_ms", 0);
  task->start_ms = (int64_t)hc_wall_ms ();
  task->run_ms = fk_int (json, "run_ms", 0);
  task->millicores = fk_int (json, "millicores", 0);
  task->memory_mib = fk_int (json, "memory_mib", 0);
  task->accelerators = fk_int (json, "accelerators", 0);
  return task;
}

/* Returns why the start must be refused and sets the HTTP status of the
   answer; NULL if the task can start. */
static const char *
check_start (struct fk_worker *worker, const struct fk_task *task,
             uint32_t *status)
{
  *status = 409;
  if (task->epoch < worker->epoch)
    return "stale-epoch";
  worker->epoch = task->epoch;
  if (task->not_after_ms <= (int64_t)hc_wall_ms ())
    return "expired";
  if (find_task (worker, cyc_str_of (task->name)) != NULL)
    return "duplicate";
  if (!has_capacity (worker, task))
    {
      *status = 507;
      return "no-room";
    }
  return NULL;
}

static void
refuse_start (struct fk_worker *worker, const struct hs_call *call,
              struct fk_task *task, uint32_t status, const char *reason)
{
  struct json_object *event = task_event (worker, task, "start-refused");

  fk_event_text (event, "reason", reason);
  fk_event_add (worker, event);
  if (status == 507)
    {
      event = task_event (worker, task, "overrun");
      fk_event_text (event, "what", "capacity");
      fk_event_add (worker, event);
    }
  fk_refuse (&worker->hs, call->ref, status, reason);
  g_free (task);
}

static void
start_task (struct fk_worker *worker, const struct hs_call *call,
            struct json_object *json)
{
  struct fk_task *task = parse_task (json);
  int64_t checkpoint_ms
      = g_ascii_strtoll (fk_text (json, "checkpoint", ""), NULL, 10);
  int64_t run_ms = task->run_ms * worker->faults.run_permille / 1000;
  uint32_t status;
  const char *defect = check_start (worker, task, &status);

  if (defect != NULL)
    {
      refuse_start (worker, call, task, status, defect);
      return;
    }
  task->remaining_ms = run_ms > checkpoint_ms ? run_ms - checkpoint_ms : 0;
  if (task->run_ms > 0 && task->remaining_ms == 0)
    task->remaining_ms = 1;
  g_ptr_array_add (worker->tasks, task);
  fk_event_add (worker, task_event (worker, task, "start"));
  if (worker->faults.fail_starts)
    end_task (worker, task, "failed", "start failed");
  if (worker->faults.lose_start_answers > 0)
    {
      worker->faults.lose_start_answers--;
      fk_close_without_answer (&worker->hs, call->ref, call->connection);
      return;
    }
  fk_reply_json (&worker->hs, call->ref, 201, json_object_new_object ());
}

static struct json_object *
task_row (const struct fk_task *task)
{
  struct json_object *row = json_object_new_object ();
  char checkpoint[32];

  g_snprintf (checkpoint, sizeof checkpoint, "%" G_GINT64_FORMAT,
              task->run_ms - task->remaining_ms);
  fk_event_text (row, "task", task->name);
  fk_event_text (row, "lease", task->lease);
  fk_event_text (row, "queue", task->queue);
  fk_event_text (row, "state", task->state);
  fk_event_text (row, "reason", task->reason);
  fk_event_text (row, "checkpoint",
                 strcmp (task->state, "checkpointed") == 0 ? checkpoint : "");
  fk_event_int (row, "millicores", task->millicores);
  fk_event_int (row, "memory_mib", task->memory_mib);
  fk_event_int (row, "accelerators", task->accelerators);
  fk_event_int (row, "used_millicores", task->used_millicores);
  fk_event_int (row, "used_memory_mib", task->used_memory_mib);
  fk_event_int (row, "not_after_ms", task->not_after_ms);
  return row;
}

static void
renew_lease (struct fk_worker *worker, struct json_object *row)
{
  const char *lease = fk_text (row, "lease", "");
  int64_t not_after_ms = fk_int (row, "not_after_ms", 0);

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct fk_task *task = worker->tasks->pdata[i];

      if (strcmp (task->lease, lease) == 0
          && task->not_after_ms < not_after_ms)
        task->not_after_ms = not_after_ms;
    }
}

static void
remove_ended_task (struct fk_worker *worker, const char *name)
{
  struct fk_task *task = find_task (worker, cyc_str_of (name));

  if (task != NULL && !is_running (task))
    g_ptr_array_remove (worker->tasks, task);
}

static size_t
list_length (struct json_object *list)
{
  return json_object_is_type (list, json_type_array)
             ? json_object_array_length (list)
             : 0;
}

static void
answer_heartbeat (struct fk_worker *worker, const struct hs_call *call)
{
  struct json_object *json = json_object_new_object ();
  struct json_object *rows = json_object_new_array ();

  for (guint i = 0; i < worker->tasks->len; i++)
    json_object_array_add (rows, task_row (worker->tasks->pdata[i]));
  fk_event_int (json, "epoch", worker->epoch);
  json_object_object_add (json, "draining",
                          json_object_new_boolean (worker->faults.draining));
  fk_event_int (json, "usage_age_ms",
                (int64_t)hc_wall_ms () - worker->usage_sampled_ms);
  json_object_object_add (json, "tasks", rows);
  fk_reply_json (&worker->hs, call->ref, 200, json);
}

static void
handle_heartbeat (struct fk_worker *worker, const struct hs_call *call,
                  struct json_object *json)
{
  struct json_object *leases = json_object_object_get (json, "leases");
  struct json_object *acked = json_object_object_get (json, "acked");
  int64_t epoch = fk_int (json, "epoch", 0);

  if (epoch < worker->epoch)
    {
      fk_refuse (&worker->hs, call->ref, 409, "stale-epoch");
      return;
    }
  worker->epoch = epoch;
  for (size_t i = 0; i < list_length (leases); i++)
    renew_lease (worker, json_object_array_get_idx (leases, i));
  for (size_t i = 0; i < list_length (acked); i++)
    remove_ended_task (
        worker, json_object_get_string (json_object_array_get_idx (acked, i)));
  answer_heartbeat (worker, call);
}

/* Executes the command of a path /v1/tasks/NAME/ACTION; @p path begins at
   NAME. */
static void
command_task (struct fk_worker *worker, const struct hs_call *call,
              struct json_object *json, struct cyc_str path)
{
  const char *slash = g_strrstr_len (path.data, (gssize)path.len, "/");
  size_t name_len = slash != NULL ? (size_t)(slash - path.data) : 0;
  struct fk_task *task
      = find_task (worker, (struct cyc_str){ path.data, name_len });
  struct cyc_str action
      = { path.data + name_len + 1, slash ? path.len - name_len - 1 : 0 };

  if (fk_int (json, "epoch", 0) < worker->epoch)
    {
      fk_refuse (&worker->hs, call->ref, 409, "stale-epoch");
      return;
    }
  worker->epoch = fk_int (json, "epoch", 0);
  if (task == NULL)
    {
      fk_refuse (&worker->hs, call->ref, 404, "no such task");
      return;
    }
  if (is_running (task) && cyc_str_eq (action, CYC_STR ("stop")))
    end_task (worker, task, "stopped", "stopped by the owner");
  else if (is_running (task) && cyc_str_eq (action, CYC_STR ("checkpoint")))
    end_task (worker, task, "checkpointed", "stopped by the owner");
  else if (cyc_str_eq (action, CYC_STR ("throttle")))
    task->throttled = true;
  else if (cyc_str_eq (action, CYC_STR ("unthrottle")))
    task->throttled = false;
  fk_reply_json (&worker->hs, call->ref, 200, json_object_new_object ());
}

void
fk_tasks_call (struct fk_worker *worker, const struct hs_call *call,
               struct cyc_str path)
{
  struct cyc_str tasks = CYC_STR ("/v1/tasks/");
  struct json_object *json = fk_parse (call->body);

  if (json == NULL)
    fk_refuse (&worker->hs, call->ref, 400, "not a JSON object");
  else if (cyc_str_eq (path, CYC_STR ("/v1/tasks")))
    start_task (worker, call, json);
  else if (cyc_str_eq (path, CYC_STR ("/v1/heartbeat")))
    handle_heartbeat (worker, call, json);
  else if (path.len > tasks.len
           && memcmp (path.data, tasks.data, tasks.len) == 0)
    command_task (
        worker, call, json,
        (struct cyc_str){ path.data + tasks.len, path.len - tasks.len });
  else
    fk_refuse (&worker->hs, call->ref, 404, "no such path");
  json_object_put (json);
}

static void
sample_usage (struct fk_worker *worker, int64_t now_ms)
{
  if (now_ms - worker->usage_sampled_ms < worker->faults.usage_lag_ms)
    return;
  worker->usage_sampled_ms = now_ms;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct fk_task *task = worker->tasks->pdata[i];
      int64_t permille = is_running (task) ? worker->faults.usage_permille : 0;

      task->used_memory_mib = task->memory_mib * permille / 1000;
      task->used_millicores
          = task->millicores * permille / (task->throttled ? 4000 : 1000);
    }
}

void
fk_tasks_tick (struct fk_worker *worker, int64_t elapsed_ms)
{
  int64_t now_ms = (int64_t)hc_wall_ms ();

  for (guint i = 0; i < worker->tasks->len; i++)
    {
      struct fk_task *task = worker->tasks->pdata[i];

      if (!is_running (task))
        continue;
      if (now_ms > task->not_after_ms)
        {
          end_task (worker, task, "stopped", "lease ended");
          continue;
        }
      if (task->run_ms == 0)
        continue;
      task->remaining_ms -= task->throttled ? elapsed_ms / 2 : elapsed_ms;
      if (task->remaining_ms <= 0)
        end_task (worker, task, "done", "");
    }
  sample_usage (worker, now_ms);
}
