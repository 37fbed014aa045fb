/* Setup, tick and shutdown of the scheduler process; the scheduler command. */
#include "cmd_settings.h"
#include "scheduler.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Above the 700 workers that a domain is expected to have in two years. Not
   much higher, because libcurl searches all idle connections when it closes
   one. */
#define MAX_IDLE_CONNECTIONS 1024

bool
sc_index_setup (struct sc_index *index, uint32_t rows)
{
  uint32_t heads = 16;

  while (heads < rows)
    heads *= 2;
  index->mask = heads - 1;
  index->heads = malloc (heads * sizeof *index->heads);
  if (index->heads != NULL)
    memset (index->heads, 0xff, heads * sizeof *index->heads);
  return index->heads != NULL;
}

void
sc_trace_line (void *user, struct cyc_str line)
{
  struct sc_scheduler *sc = user;

  fwrite (line.data, 1, line.len, sc->trace);
  if (line.len == 0 || line.data[line.len - 1] != '\n')
    fputc ('\n', sc->trace);
}

static void
on_ledger_effect (void *user, uint64_t offset,
                  const struct cyc_led_effect *effect)
{
  struct sc_scheduler *sc = user;

  (void)offset;
  if (effect->result != CYC_LED_ACCEPTED)
    return;
  if (effect->body == CYC_LED_BODY_CLAIM)
    sc->claim_dirty = true;
  else if (effect->body == CYC_LED_BODY_CONFIG)
    sc->config_dirty = true;
  else if (effect->body == CYC_LED_BODY_TRANSFER)
    sc->teams_dirty = true;
}

static void
on_ledger_replaced (void *user)
{
  struct sc_scheduler *sc = user;

  sc->claim_dirty = true;
  sc->config_dirty = true;
}

static bool
setup_tables (struct sc_scheduler *sc, struct cyc_findings *findings)
{
  sc->workers = calloc (SC_MAX_WORKERS, sizeof *sc->workers);
  sc->heartbeats = calloc (SC_MAX_WORKERS, sizeof *sc->heartbeats);
  sc->starts = calloc (SC_MAX_STARTS, sizeof *sc->starts);
  sc->tasks = calloc (SC_MAX_TASKS, sizeof *sc->tasks);
  sc->checkpoints = calloc (SC_MAX_CHECKPOINTS, sizeof *sc->checkpoints);
  sc->job_rows = calloc (SC_MAX_JOBS, sizeof *sc->job_rows);
  sc->queues = calloc (SC_MAX_QUEUES, sizeof *sc->queues);
  sc->batches = calloc (SC_MAX_BATCHES, sizeof *sc->batches);
  sc->transfers = calloc (SC_MAX_TEAMS, sizeof *sc->transfers);
  sc->decisions = calloc (SC_MAX_DECISIONS, sizeof *sc->decisions);
  if (sc->workers != NULL && sc->heartbeats != NULL && sc->starts != NULL
      && sc->tasks != NULL && sc->checkpoints != NULL && sc->job_rows != NULL
      && sc->queues != NULL && sc->batches != NULL && sc->transfers != NULL
      && sc->decisions != NULL
      && cyc_pool_setup (&sc->task_pool, SC_MAX_TASKS, NULL)
      && cyc_pool_setup (&sc->start_pool, SC_MAX_STARTS, NULL)
      && cyc_pool_setup (&sc->checkpoint_pool, SC_MAX_CHECKPOINTS, NULL)
      && cyc_pool_setup (&sc->job_pool, SC_MAX_JOBS, NULL)
      && cyc_pool_setup (&sc->queue_pool, SC_MAX_QUEUES, NULL)
      && cyc_pool_setup (&sc->batch_pool, SC_MAX_BATCHES, NULL)
      && sc_index_setup (&sc->task_index, SC_MAX_TASKS)
      && sc_index_setup (&sc->checkpoint_index, SC_MAX_CHECKPOINTS)
      && sc_index_setup (&sc->job_index, SC_MAX_JOBS)
      && sc_index_setup (&sc->queue_index, SC_MAX_QUEUES))
    return true;
  cyc_findings_add (findings, CYC_STR ("scheduler"), "out of memory");
  return false;
}

static bool
setup_state (struct sc_scheduler *sc, struct cyc_findings *findings)
{
  const struct set_settings *settings = &sc->settings;

  return met_setup (&sc->met, &(struct met_desc){ 0 }, findings)
         && bw_setup (&sc->burn, &(struct bw_desc){ 0 }, findings)
         && cyc_mem_setup (&sc->members,
                           &(struct cyc_mem_desc){
                               .max_vms = SC_MAX_WORKERS,
                               .suspect_ms = settings->worker_silent_ms,
                               .dead_ms = settings->worker_silent_ms * 5 / 2,
                               /* A worker may only be forgotten after all its
                                  leases have ended. */
                               .remove_after_ms = settings->service_lease_ms
                                                  + settings->task_lease_ms
                                                  + settings->claim_lease_ms,
                           },
                           findings)
         && cyc_prm_setup (&sc->permits,
                           &(struct cyc_prm_desc){
                               .max_workers = SC_MAX_WORKERS,
                               .lease_ms = settings->permit_lease_ms,
                               .clock_error_ms = settings->clock_error_ms },
                           findings)
         && sc_claim_setup (sc, findings);
}

static bool
setup_clients (struct sc_scheduler *sc, struct cyc_findings *findings)
{
  const struct set_settings *settings = &sc->settings;

  if (!hc_setup (
          &sc->hc,
          &(struct hc_desc){ .loop = sc->loop,
                             .max_requests = 8192,
                             .max_idle_connections = MAX_IDLE_CONNECTIONS },
          findings)
      || !lc_http_setup (
          &sc->log,
          &(struct lc_http_desc){ .client = &sc->hc,
                                  .url = cyc_str_of (settings->log_url) },
          findings)
      || !wc_http_setup (&sc->workers_http,
                         &(struct wc_http_desc){ .client = &sc->hc }, findings)
      || !vl_http_setup (
          &sc->list_http,
          &(struct vl_http_desc){ .client = &sc->hc,
                                  .url = cyc_str_of (settings->vm_list_url) },
          findings))
    return false;
  sc->worker_client = &sc->workers_http.worker;
  sc->vm_list = &sc->list_http.list;
  return true;
}

static bool
setup_streams (struct sc_scheduler *sc, struct cyc_findings *findings)
{
  struct ctl_desc desc = {
    .log = &sc->log.log,
    .vm = sc->settings.vm,
    .timeout_ms = sc->settings.log_timeout_ms,
    .wait_ms = sc->settings.log_wait_ms,
    .snapshot_records = sc->settings.snapshot_records,
    .write_snapshots = true,
    .met = &sc->met,
    .effect = on_ledger_effect,
    .replaced = on_ledger_replaced,
    .user = sc,
  };

  if (!ctl_setup (&sc->ctl, &desc, findings) || !sc_jobs_setup (sc, findings))
    return false;
  fo_start (&sc->follow, UINT64_MAX);
  return true;
}

static bool
setup_http (struct sc_scheduler *sc, struct cyc_findings *findings)
{
  return hs_setup (
      &sc->hs,
      &(struct hs_desc){ .loop = sc->loop,
                         .address = sc->settings.scheduler_http.host,
                         .port = sc->settings.scheduler_http.port,
                         .max_calls = 256,
                         .handle = sc_status_handle,
                         .user = sc },
      findings);
}

static bool
open_trace (struct sc_scheduler *sc, struct cyc_findings *findings)
{
  if (sc->settings.trace_file[0] == '\0')
    return true;
  sc->trace = fopen (sc->settings.trace_file, "w");
  if (sc->trace == NULL)
    cyc_findings_add (findings, CYC_STR ("trace_file"), "cannot be opened");
  return sc->trace != NULL;
}

static uint64_t
cpu_us (void)
{
  struct timespec used;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &used);
  return (uint64_t)used.tv_sec * SC_US_PER_S + (uint64_t)used.tv_nsec / 1000;
}

static void
report_ready (struct sc_scheduler *sc)
{
  bool ready = ctl_ready (&sc->ctl) && sc->jobs_ready;

  if (ready && !sc->ready_reported)
    ev_log (EV_READY, "control_next=%" PRIu64 " jobs_next=%" PRIu64,
            ctl_next (&sc->ctl), fo_next (&sc->follow));
  sc->ready_reported = ready;
}

void
sc_tick (struct sc_scheduler *sc)
{
  uint64_t cpu_start_us = cpu_us ();

  sc->now_us = hc_now_us ();
  sc_claim_tick (sc);
  ctl_tick (&sc->ctl, sc->now_us);
  fo_tick (&sc->follow, sc->now_us);
  sc_workers_tick (sc);
  sc_config_tick (sc);
  sc_jobs_tick (sc);
  sc_tasks_run (sc);
  sc_limits_tick (sc);
  sc_workers_send_heartbeats (sc);
  sc_peers_tick (sc);
  sc_stop_tick (sc);
  report_ready (sc);
  met_add (&sc->met, MET_TICKS, 1);
  met_add (&sc->met, MET_TICK_CPU_US, cpu_us () - cpu_start_us);
}

static void
on_timer (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  sc_tick (timer->data);
}

static void
on_signal (struct ev_loop *loop, struct ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  sc_stop (watcher->data);
}

static void
start_watchers (struct sc_scheduler *sc)
{
  static const int signal_numbers[] = { SIGTERM, SIGINT };
  double tick_s = (double)sc->settings.tick_ms / 1000.0;

  ev_timer_init (&sc->timer, on_timer, tick_s, tick_s);
  sc->timer.data = sc;
  ev_timer_start (sc->loop, &sc->timer);
  for (size_t i = 0; i < 2; i++)
    {
      ev_signal_init (&sc->signals[i], on_signal, signal_numbers[i]);
      sc->signals[i].data = sc;
      ev_signal_start (sc->loop, &sc->signals[i]);
    }
}

bool
sc_setup (struct sc_scheduler *sc, const struct set_settings *settings,
          struct ev_loop *loop, struct cyc_findings *findings)
{
  memset (sc, 0, sizeof *sc);
  sc->settings = *settings;
  sc->loop = loop;
  sc->now_us = hc_now_us ();
  sc->claim_dirty = true;
  cyc_id128_random (&sc->incarnation);
  if (!setup_tables (sc, findings) || !setup_state (sc, findings)
      || !setup_clients (sc, findings) || !open_trace (sc, findings)
      || !setup_streams (sc, findings) || !sc_peers_setup (sc, findings)
      || !setup_http (sc, findings))
    return false;
  start_watchers (sc);
  return true;
}

static void
free_tables (struct sc_scheduler *sc)
{
  free (sc->workers);
  free (sc->heartbeats);
  free (sc->starts);
  free (sc->tasks);
  free (sc->checkpoints);
  free (sc->job_rows);
  free (sc->queues);
  free (sc->batches);
  free (sc->decisions);
  free (sc->snapshot);
  free (sc->task_index.heads);
  free (sc->checkpoint_index.heads);
  free (sc->job_index.heads);
  free (sc->queue_index.heads);
  cyc_pool_shutdown (&sc->task_pool);
  cyc_pool_shutdown (&sc->start_pool);
  cyc_pool_shutdown (&sc->checkpoint_pool);
  cyc_pool_shutdown (&sc->job_pool);
  cyc_pool_shutdown (&sc->queue_pool);
  cyc_pool_shutdown (&sc->batch_pool);
  for (uint32_t i = 0; i < sc->transfer_count; i++)
    free ((void *)sc->transfers[i].record.data);
  free (sc->transfers);
  for (uint32_t i = 0; i < sc->aggregate_count; i++)
    free (sc->aggregates[i].teams);
}

void
sc_shutdown (struct sc_scheduler *sc)
{
  ev_timer_stop (sc->loop, &sc->timer);
  for (size_t i = 0; i < 2; i++)
    ev_signal_stop (sc->loop, &sc->signals[i]);
  pl_shutdown (&sc->links);
  hs_shutdown (&sc->hs);
  wc_http_shutdown (&sc->workers_http);
  vl_http_shutdown (&sc->list_http);
  lc_http_shutdown (&sc->log);
  fo_shutdown (&sc->follow);
  ctl_shutdown (&sc->ctl);
  hc_shutdown (&sc->hc);
  cyc_core_shutdown (&sc->core);
  cyc_jobs_shutdown (&sc->jobs);
  cyc_prm_shutdown (&sc->permits);
  cyc_mem_shutdown (&sc->members);
  cyc_clm_shutdown (&sc->claim);
  met_shutdown (&sc->met);
  bw_shutdown (&sc->burn);
  if (sc->trace != NULL)
    fclose (sc->trace);
  free_tables (sc);
}

static int
run_scheduler (const struct set_settings *settings)
{
  struct cyc_findings *findings = calloc (1, sizeof *findings);
  struct sc_scheduler *sc = calloc (1, sizeof *sc);
  static struct ev_sink sink;
  int status = CMD_EXIT_FAILED;

  ev_setup (&sink,
            &(struct ev_desc){
                .vm = settings->vm,
                .role = CYC_STR ("scheduler"),
                .lowest_level = settings->log_debug ? G_LOG_LEVEL_DEBUG : 0,
            });
  signal (SIGPIPE, SIG_IGN);
  if (sc_setup (sc, settings, ev_default_loop (0), findings))
    {
      ev_log (EV_STARTED, "version=%s domain=%s", CYC_VERSION,
              settings->domain.data);
      ev_run (sc->loop, 0);
      sc_shutdown (sc);
      ev_log (EV_STOPPED, "handover=%s", "done");
      status = CMD_EXIT_DONE;
    }
  else
    ev_findings (EV_SETUP_FAILED, findings);
  free (sc);
  free (findings);
  return status;
}

int
cmd_scheduler (int argc, char **argv)
{
  return cmd_with_settings (
      argc, argv,
      &(struct cmd_settings_use){ .name = "scheduler", .run = run_scheduler });
}
