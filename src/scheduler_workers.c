/* Workers of the domain: VM list, membership and heartbeats. */
#include "scheduler.h"

#include <string.h>

#define MAX_ACKS 1024
#define MAX_LEASES 4096
#define MEMBERS_INTERVAL_MS 20

static void
on_vm_list (void *user, const struct vl_result *result)
{
  struct sc_scheduler *sc = user;
  uint64_t now_us = hc_now_us ();

  if (!result->ok)
    {
      if (sc->vm_list_failed_us == 0)
        ev_log (EV_VM_LIST_FAILED, "reason=\"%s\"", result->error);
      sc->vm_list_failed_us = now_us;
      return;
    }
  sc->vm_list_failed_us = 0;
  cyc_mem_list_begin (&sc->members);
  for (uint32_t i = 0; i < result->count; i++)
    if (result->vms[i].worker
        && cyc_name_eq (&result->vms[i].domain, &sc->settings.domain))
      cyc_mem_list_vm (&sc->members, &result->vms[i], now_us);
  cyc_mem_list_end (&sc->members);
}

static void
poll_vm_list (struct sc_scheduler *sc)
{
  if (sc->now_us < sc->vm_list_due_us)
    return;
  sc->vm_list_due_us
      = sc->now_us + (uint64_t)sc->settings.vm_list_poll_ms * SC_US_PER_MS;
  vl_fetch (sc->vm_list,
            &(struct vl_fetch){
                .deadline_us
                = sc->now_us
                  + (uint64_t)sc->settings.worker_timeout_ms * SC_US_PER_MS,
                .done = on_vm_list,
                .user = sc,
            });
}

static bool
is_fenced (const struct sc_scheduler *sc, const struct sc_worker *worker)
{
  return sc->epoch != 0 && worker->fenced_epoch == sc->epoch;
}

static void
upsert_worker (struct sc_scheduler *sc, struct sc_worker *worker,
               const struct cyc_mem_row *row)
{
  struct cyc_core_worker entry = {
    .name = row->vm.name,
    .rack = row->vm.rack,
    .capacity = row->vm.capacity,
    .leaving = row->leaving,
  };

  if (cyc_core_worker_upsert (&sc->core, &entry, sc->now_us) != CYC_CORE_OK)
    return;
  if (!worker->in_core && !is_fenced (sc, worker))
    cyc_core_worker_silent (&sc->core, cyc_name_str (&row->vm.name),
                            sc->now_us);
  worker->in_core = true;
  cyc_prm_worker (&sc->permits, cyc_name_str (&row->vm.name), row->vm.slots,
                  row->vm.connections, sc_entry_seats (sc));
}

static void
mark_unfenced (struct sc_scheduler *sc, const struct sc_worker *worker)
{
  if (!is_fenced (sc, worker) && sc_unfenced_until_us (sc) > sc->now_us)
    cyc_core_worker_unfenced (&sc->core, cyc_name_str (&worker->name),
                              sc_unfenced_until_us (sc));
}

static void
report_leaving (struct sc_scheduler *sc, struct sc_worker *worker,
                const struct cyc_mem_row *row)
{
  if (row->leaving == worker->leaving_reported)
    return;
  worker->leaving_reported = row->leaving;
  if (!row->leaving)
    return;
  ev_log (EV_TARGET_LEAVING, "worker=%s", row->vm.name.data);
  sc_peers_send_target_leaving (sc, cyc_name_str (&row->vm.name));
  for (uint32_t t = worker->first_task; t != SC_NONE; t = sc->tasks[t].next)
    if (sc->tasks[t].kind == CYC_KIND_SERVICE)
      sc_targets_changed (sc, cyc_name_str (&sc->tasks[t].queue));
}

static void
forget_worker (struct sc_scheduler *sc, struct sc_worker *worker)
{
  while (worker->first_task != SC_NONE)
    {
      uint32_t task = worker->first_task;

      if (sc->tasks[task].state == SC_TASK_ENDED)
        sc_task_drop (sc, task);
      else
        sc_task_report_end (sc, task, CYC_TASK_EVENT_STOPPED);
      if (worker->first_task == task)
        sc_task_drop (sc, task);
    }
  if (worker->in_core)
    cyc_core_worker_remove (&sc->core, cyc_name_str (&worker->name),
                            sc->now_us);
  cyc_prm_worker_remove (&sc->permits, cyc_name_str (&worker->name));
  memset (worker, 0, sizeof *worker);
  worker->first_task = SC_NONE;
}

static void
on_member (void *user, struct cyc_ref ref, const struct cyc_mem_row *row,
           enum cyc_mem_change change)
{
  struct sc_scheduler *sc = user;
  struct sc_worker *worker = &sc->workers[ref.index];

  if (change == CYC_MEM_REMOVED)
    {
      forget_worker (sc, worker);
      return;
    }
  if (change == CYC_MEM_ADDED)
    {
      memset (worker, 0, sizeof *worker);
      worker->first_task = SC_NONE;
      worker->member = ref;
      worker->name = row->vm.name;
      if (ref.index >= sc->worker_high)
        sc->worker_high = ref.index + 1;
    }
  if (sc->epoch == 0)
    return;
  upsert_worker (sc, worker, row);
  if (change == CYC_MEM_ADDED)
    mark_unfenced (sc, worker);
  if (row->health == CYC_MEM_SUSPECT || row->health == CYC_MEM_DEAD)
    {
      cyc_core_worker_silent (&sc->core, cyc_name_str (&row->vm.name),
                              sc->now_us);
      ev_log (EV_WORKER_SILENT, "worker=%s dead=%d tasks=%" PRIu32,
              row->vm.name.data, row->health == CYC_MEM_DEAD,
              worker->task_count);
      worker->silent_reported = true;
    }
  else if (row->health == CYC_MEM_ALIVE && worker->silent_reported)
    {
      ev_log (EV_WORKER_BACK, "worker=%s", row->vm.name.data);
      worker->silent_reported = false;
    }
  report_leaving (sc, worker, row);
}

void
sc_workers_mark_unfenced (struct sc_scheduler *sc)
{
  for (uint32_t i = 0; i < sc->worker_high; i++)
    if (sc->workers[i].member.generation != 0)
      mark_unfenced (sc, &sc->workers[i]);
}

void
sc_workers_add_to_core (struct sc_scheduler *sc)
{
  uint32_t cursor = 0;
  struct cyc_ref ref;
  const struct cyc_mem_row *row;

  while ((row = cyc_mem_next (&sc->members, &cursor, &ref)) != NULL)
    {
      struct sc_worker *worker = &sc->workers[ref.index];

      if (worker->member.generation != ref.generation)
        continue;
      worker->in_core = false;
      worker->leaving_reported = false;
      worker->heartbeat_due_us = sc->now_us;
      upsert_worker (sc, worker, row);
    }
}

void
sc_workers_tick (struct sc_scheduler *sc)
{
  poll_vm_list (sc);
  if (sc->now_us < sc->members_due_us)
    return;
  sc->members_due_us = sc->now_us + MEMBERS_INTERVAL_MS * SC_US_PER_MS;
  cyc_mem_tick (&sc->members, sc->now_us, on_member, sc);
}

/* The total includes workers that were never reached, so a new owner needs
   answers from more than half of all known workers. */
void
sc_workers_count (struct sc_scheduler *sc, struct cyc_clm_workers *out)
{
  static uint64_t accepted_us[SC_MAX_WORKERS];
  uint32_t accepted = 0;

  *out = (struct cyc_clm_workers){ .workers_polled = true };
  for (uint32_t i = 0; i < sc->worker_high; i++)
    {
      const struct sc_worker *worker = &sc->workers[i];

      if (worker->member.generation == 0)
        continue;
      out->total++;
      if (worker->attempted_epoch != sc->epoch)
        out->workers_polled = false;
      if (!is_fenced (sc, worker))
        continue;
      out->fenced++;
      accepted_us[accepted++] = worker->accepted_us;
    }
  if (out->total == 0)
    out->workers_polled = false;
  out->majority_accepted_us
      = cyc_clm_majority_accepted_us (accepted_us, accepted, out->total);
}

static void
process_heartbeat_answer (struct sc_scheduler *sc, struct sc_worker *worker,
                          const struct sc_heartbeat *call,
                          const struct wc_heartbeat_result *result)
{
  struct cyc_str name = cyc_name_str (&worker->name);
  const struct cyc_mem_row *row;
  bool was_new = worker->fenced_epoch != call->epoch;

  worker->failures = 0;
  worker->fenced_epoch = call->epoch;
  worker->accepted_us = call->sent_us;
  cyc_mem_heartbeat (&sc->members, worker->member, result->draining,
                     sc->now_us);
  row = cyc_mem_at (&sc->members, worker->member);
  if (!worker->in_core)
    upsert_worker (sc, worker, row);
  sc_heartbeat_process_answer (sc, (uint32_t)(worker - sc->workers), result,
                               call->sent_us);
  if (row->health == CYC_MEM_ALIVE || was_new)
    cyc_core_worker_seen (&sc->core, name, sc->now_us);
}

static void
on_heartbeat (void *user, const struct wc_heartbeat_result *result)
{
  struct sc_heartbeat *call = user;
  struct sc_scheduler *sc = call->sc;
  struct sc_worker *worker = &sc->workers[call->member.index];

  sc->now_us = hc_now_us ();
  call->open = false;
  if (worker->member.generation == call->member.generation
      && call->epoch == sc->epoch)
    {
      worker->attempted_epoch = call->epoch;
      if (result->outcome == WC_OK)
        process_heartbeat_answer (sc, worker, call, result);
      else
        worker->failures++;
      if (result->outcome == WC_REFUSED
          && result->refusal == WC_REFUSAL_STALE_EPOCH)
        {
          ev_log (EV_WORKER_STALE_EPOCH, "worker=%s epoch=%" PRIu64,
                  worker->name.data, call->epoch);
          cyc_clm_stale_epoch (&sc->claim, call->epoch + 1);
        }
    }
}

static uint64_t
lease_duration_us (const struct sc_scheduler *sc, enum cyc_queue_kind kind)
{
  uint32_t lease_ms = kind == CYC_KIND_SERVICE ? sc->settings.service_lease_ms
                                               : sc->settings.task_lease_ms;

  return (uint64_t)lease_ms * SC_US_PER_MS;
}

/* Collects the leases to renew. The core gets a renewal before it is sent,
   because the worker may accept it even if its answer is lost. After a failed
   heartbeat nothing is renewed, as otherwise the leases on a silent worker
   would never end. */
static uint32_t
collect_leases (struct sc_scheduler *sc, const struct sc_worker *worker,
                uint32_t address_generation, struct wc_lease *out)
{
  uint32_t count = 0;

  if (worker->failures > 0)
    return 0;
  for (uint32_t t = worker->first_task; t != SC_NONE && count < MAX_LEASES;
       t = sc->tasks[t].next)
    {
      struct sc_task *task = &sc->tasks[t];
      uint64_t span_us = lease_duration_us (sc, task->kind);

      if (task->state != SC_TASK_RUNNING
          || task->address_generation != address_generation
          || task->lease_not_after_us > sc->now_us + span_us * 2 / 3)
        continue;
      task->lease_not_after_us = sc->now_us + span_us;
      cyc_core_task_renewed (&sc->core, &task->job, task->index,
                             task->lease_not_after_us);
      out[count].lease = task->lease;
      out[count].not_after_us = task->lease_not_after_us;
      count++;
    }
  return count;
}

static uint32_t
collect_acks (struct sc_scheduler *sc, struct sc_worker *worker,
              char (*names)[WC_TASK_BYTES], struct cyc_str *out)
{
  uint32_t count = 0;

  for (uint32_t t = worker->first_task; t != SC_NONE && count < MAX_ACKS;
       t = sc->tasks[t].next)
    {
      struct sc_task *task = &sc->tasks[t];

      if (task->state != SC_TASK_ENDED || !sc_job_may_ack (sc, task))
        continue;
      task->acked = true;
      sc_task_name (sc, task, names[count]);
      out[count] = cyc_str_of (names[count]);
      count++;
    }
  for (uint32_t i = 0; i < worker->untracked_ack_count && count < MAX_ACKS;
       i++)
    {
      memcpy (names[count], worker->untracked_acks[i], sizeof names[count]);
      out[count] = cyc_str_of (names[count]);
      count++;
    }
  worker->untracked_ack_count = 0;
  return count;
}

static void
send_heartbeat (struct sc_scheduler *sc, struct sc_worker *worker,
                const struct cyc_mem_row *row)
{
  static struct wc_lease leases[MAX_LEASES];
  static char names[MAX_ACKS][WC_TASK_BYTES];
  static struct cyc_str acks[MAX_ACKS];
  struct sc_heartbeat *call = &sc->heartbeats[worker - sc->workers];
  struct wc_heartbeat request = {
    .address = cyc_str_of (row->vm.address),
    .epoch = sc->epoch,
    .leases = leases,
    .acked = acks,
    .deadline_us
    = sc->now_us + (uint64_t)sc->settings.worker_timeout_ms * SC_US_PER_MS,
    .fresh_connection = worker->failures > 0,
    .done = on_heartbeat,
    .user = call,
  };

  request.lease_count
      = collect_leases (sc, worker, row->address_generation, leases);
  request.acked_count = collect_acks (sc, worker, names, acks);
  *call = (struct sc_heartbeat){ sc, worker->member, sc->epoch, sc->now_us,
                                 true };
  worker->heartbeat_number++;
  worker->sent_us = sc->now_us;
  worker->heartbeat_due_us
      = sc->now_us + (uint64_t)sc->settings.worker_heartbeat_ms * SC_US_PER_MS;
  if (!wc_heartbeat (sc->worker_client, &request))
    call->open = false;
}

void
sc_workers_send_heartbeats (struct sc_scheduler *sc)
{
  if (sc->epoch == 0)
    return;
  for (uint32_t i = 0; i < sc->worker_high; i++)
    {
      struct sc_worker *worker = &sc->workers[i];
      const struct cyc_mem_row *row;

      if (worker->member.generation == 0 || sc->heartbeats[i].open
          || sc->now_us < worker->heartbeat_due_us)
        continue;
      row = cyc_mem_at (&sc->members, worker->member);
      if (row != NULL)
        send_heartbeat (sc, worker, row);
    }
}
