#include "tst_worker.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct tst_worker_task *
find_task (struct tst_worker *tw, struct cyc_str name)
{
  for (uint32_t i = 0; i < tw->task_count; i++)
    if (cyc_str_eq (cyc_str_of (tw->tasks[i].name), name))
      return &tw->tasks[i];
  return NULL;
}

static uint32_t
used_millicores (const struct tst_worker *tw)
{
  uint32_t used = 0;

  for (uint32_t i = 0; i < tw->task_count; i++)
    if (tw->tasks[i].state == WC_TASK_RUNNING)
      used += tw->tasks[i].size.millicores;
  return used;
}

/* Returns true if a call with this epoch reaches and is accepted by the
   worker; sets its result either way. */
static bool
reaches_worker (struct tst_worker *tw, uint64_t epoch, struct wc_result *out)
{
  *out = (struct wc_result){ .outcome = WC_OK };
  if (tw->gone)
    out->outcome = WC_FAILED;
  else if (tw->silent)
    out->outcome = WC_UNKNOWN;
  else if (epoch < tw->epoch)
    *out = (struct wc_result){ WC_REFUSED, WC_REFUSAL_STALE_EPOCH };
  else
    tw->epoch = epoch;
  return out->outcome == WC_OK;
}

static void
apply_lost_answer (struct tst_worker *tw, struct wc_result *result)
{
  if (tw->lose_answer && result->outcome != WC_FAILED)
    *result = (struct wc_result){ .outcome = WC_UNKNOWN };
  tw->lose_answer = false;
}

static struct tst_worker_call *
add_call (struct tst_worker *tw, struct wc_result result, void *user)
{
  struct tst_worker_call *call = &tw->calls[tw->call_count++];

  assert (tw->call_count <= TST_WORKER_MAX_CALLS);
  *call = (struct tst_worker_call){ .user = user, .result = result };
  return call;
}

static void
handle_start (struct tst_worker *tw, const struct wc_start *start,
              struct wc_result *result)
{
  struct tst_worker_task *task = find_task (tw, start->task);

  if (start->not_after_us <= hc_now_us ())
    *result = (struct wc_result){ WC_REFUSED, WC_REFUSAL_EXPIRED };
  else if (task != NULL)
    result->outcome = WC_UNKNOWN;
  else if (used_millicores (tw) + start->size.millicores > tw->millicores)
    *result = (struct wc_result){ WC_REFUSED, WC_REFUSAL_NO_CAPACITY };
  else
    {
      task = &tw->tasks[tw->task_count++];
      memset (task, 0, sizeof *task);
      snprintf (task->name, sizeof task->name, "%.*s", CYC_FMT (start->task));
      snprintf (task->queue, sizeof task->queue, "%.*s",
                CYC_FMT (start->queue));
      task->lease = start->lease;
      task->size = start->size;
      task->not_after_us = start->not_after_us;
    }
}

static bool
memory_start (struct wc_worker *worker, const struct wc_start *start)
{
  struct tst_worker *tw = (struct tst_worker *)worker;
  struct wc_result result;

  if (reaches_worker (tw, start->epoch, &result))
    handle_start (tw, start, &result);
  apply_lost_answer (tw, &result);
  add_call (tw, result, start->user)->done = start->done;
  return true;
}

static void
handle_heartbeat (struct tst_worker *tw, const struct wc_heartbeat *heartbeat)
{
  for (uint32_t l = 0; l < heartbeat->lease_count; l++)
    for (uint32_t i = 0; i < tw->task_count; i++)
      if (cyc_id128_eq (&tw->tasks[i].lease, &heartbeat->leases[l].lease)
          && tw->tasks[i].not_after_us < heartbeat->leases[l].not_after_us)
        tw->tasks[i].not_after_us = heartbeat->leases[l].not_after_us;
  for (uint32_t a = 0; a < heartbeat->acked_count; a++)
    {
      struct tst_worker_task *task = find_task (tw, heartbeat->acked[a]);

      if (task != NULL && task->state != WC_TASK_RUNNING)
        *task = tw->tasks[--tw->task_count];
    }
}

static bool
memory_heartbeat (struct wc_worker *worker,
                  const struct wc_heartbeat *heartbeat)
{
  struct tst_worker *tw = (struct tst_worker *)worker;
  struct wc_result result;

  if (reaches_worker (tw, heartbeat->epoch, &result))
    handle_heartbeat (tw, heartbeat);
  apply_lost_answer (tw, &result);
  add_call (tw, result, heartbeat->user)->heartbeat_done = heartbeat->done;
  return true;
}

static bool
memory_command (struct wc_worker *worker, const struct wc_command *command)
{
  struct tst_worker *tw = (struct tst_worker *)worker;
  struct tst_worker_task *task = find_task (tw, command->task);
  struct wc_result result;

  if (reaches_worker (tw, command->epoch, &result))
    {
      if (task == NULL)
        result = (struct wc_result){ WC_REFUSED, WC_REFUSAL_NO_TASK };
      else if (task->state == WC_TASK_RUNNING && command->verb == WC_STOP)
        task->state = WC_TASK_STOPPED;
      else if (task->state == WC_TASK_RUNNING
               && command->verb == WC_CHECKPOINT)
        task->state = WC_TASK_CHECKPOINTED;
    }
  apply_lost_answer (tw, &result);
  add_call (tw, result, command->user)->done = command->done;
  return true;
}

static const struct wc_vtable memory_vtable = {
  .start = memory_start,
  .heartbeat = memory_heartbeat,
  .command = memory_command,
};

void
tst_worker_setup (struct tst_worker *tw, uint32_t millicores)
{
  memset (tw, 0, sizeof *tw);
  tw->worker.vtable = &memory_vtable;
  tw->millicores = millicores;
}

static void
end_heartbeat (const struct tst_worker *tw, const struct tst_worker_call *call)
{
  struct wc_task tasks[TST_WORKER_MAX_TASKS] = { 0 };
  struct wc_heartbeat_result result
      = { .outcome = call->result.outcome, .refusal = call->result.refusal };

  for (uint32_t i = 0; i < tw->task_count; i++)
    tasks[i] = (struct wc_task){
      .task = cyc_str_of (tw->tasks[i].name),
      .queue = cyc_str_of (tw->tasks[i].queue),
      .lease = tw->tasks[i].lease,
      .state = tw->tasks[i].state,
      .size = tw->tasks[i].size,
      .not_after_us = tw->tasks[i].not_after_us,
    };
  if (result.outcome == WC_OK)
    {
      result.epoch = tw->epoch;
      result.draining = tw->draining;
      result.tasks = tasks;
      result.count = tw->task_count;
    }
  call->heartbeat_done (call->user, &result);
}

void
tst_worker_answer_calls (struct tst_worker *tw)
{
  struct tst_worker_call calls[TST_WORKER_MAX_CALLS];
  uint32_t count = tw->call_count;

  memcpy (calls, tw->calls, sizeof calls);
  tw->call_count = 0;
  for (uint32_t i = 0; i < count; i++)
    if (calls[i].heartbeat_done != NULL)
      end_heartbeat (tw, &calls[i]);
    else
      calls[i].done (calls[i].user, &calls[i].result);
}

static bool
memory_fetch (struct vl_list *list, const struct vl_fetch *fetch)
{
  struct tst_vm_list *tl = (struct tst_vm_list *)list;

  if (tl->open)
    return false;
  tl->open = true;
  tl->fetch = *fetch;
  return true;
}

static const struct vl_vtable memory_list_vtable = { .fetch = memory_fetch };

void
tst_vm_list_setup (struct tst_vm_list *tl)
{
  memset (tl, 0, sizeof *tl);
  tl->list.vtable = &memory_list_vtable;
}

void
tst_vm_list_answer (struct tst_vm_list *tl)
{
  struct vl_result result = { .error = "" };
  struct cyc_mem_vm *vms = NULL;

  if (!tl->open)
    return;
  tl->open = false;
  if (tl->body == NULL)
    result.error = "no answer";
  else if (!vl_parse (cyc_str_of (tl->body), &vms, &result.count,
                      &result.left_out))
    result.error = "the answer is not a VM list";
  else
    result.ok = true;
  result.vms = vms;
  tl->fetch.done (tl->fetch.user, &result);
  free (vms);
}
