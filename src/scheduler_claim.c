/* Ownership of the domain: claim, takeover with polling of the workers,
   planned stop. */
#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

#define STOP_DRAIN_TIMEOUT_MS 3000
#define STOP_RELEASE_TIMEOUT_MS 3000
#define APPEND_TIMEOUT_MS 4000
#define COUNT_INTERVAL_MS 50

bool
sc_claim_setup (struct sc_scheduler *sc, struct cyc_findings *findings)
{
  return cyc_clm_setup (
      &sc->claim,
      &(struct cyc_clm_desc){
          .domain = sc->settings.domain,
          .owner = sc->settings.vm,
          .incarnation = sc->incarnation,
          .lease_us = sc->settings.claim_lease_ms * SC_US_PER_MS,
      },
      findings);
}

/* The previous owner may have extended its hold through its workers until a
   majority of them was fenced. Until then the exact time is unknown and no
   start is allowed; the estimate from the claim time then only serves to mark
   workers as unfenced in the core. */
uint64_t
sc_unfenced_until_us (const struct sc_scheduler *sc)
{
  uint64_t task_lease_us = sc->settings.task_lease_ms * SC_US_PER_MS;
  uint64_t clock_error_us = sc->settings.clock_error_ms * SC_US_PER_MS;
  uint64_t until_us = cyc_clm_unreached_runs_end_us (&sc->claim, task_lease_us,
                                                     clock_error_us);

  if (until_us != UINT64_MAX)
    return until_us;
  return sc->claimed_us + sc->settings.claim_lease_ms * SC_US_PER_MS
         + task_lease_us + clock_error_us;
}

static void
on_claim_appended (void *user, enum ctl_outcome outcome, uint64_t offset,
                   const struct cyc_led_effect *effect)
{
  struct sc_scheduler *sc = user;
  enum cyc_clm_append_outcome result = CYC_CLM_APPEND_UNKNOWN;

  (void)offset;
  (void)effect;
  if (outcome == CTL_ACCEPTED)
    result = CYC_CLM_APPEND_ACCEPTED;
  else if (outcome == CTL_REFUSED || outcome == CTL_NOT_APPENDED)
    result = CYC_CLM_APPEND_REFUSED;
  cyc_clm_result (&sc->claim, sc->claim_append_token, result, hc_now_us ());
  sc->claim_dirty = true;
}

static void
append_claim_step (struct sc_scheduler *sc, const struct cyc_clm_step *step)
{
  struct ctl_append append = { 0 };
  struct cyc_str record;

  sc->claim_append_token = step->token;
  cyc_id128_random (&append.record_id);
  append.deadline_us = sc->now_us + APPEND_TIMEOUT_MS * SC_US_PER_MS;
  append.done = on_claim_appended;
  append.user = sc;
  if (cyc_rec_claim (&append.record_id, cyc_name_str (&sc->settings.vm),
                     &step->edit, &record))
    {
      append.record = record;
      if (ctl_append (&sc->ctl, &append))
        {
          free ((void *)record.data);
          return;
        }
      free ((void *)record.data);
    }
  cyc_clm_result (&sc->claim, step->token, CYC_CLM_APPEND_REFUSED, sc->now_us);
}

static void
observe_claim (struct sc_scheduler *sc)
{
  struct cyc_claim claim;

  cyc_led_claim (ctl_ledger (&sc->ctl), cyc_name_str (&sc->settings.domain), 0,
                 &claim);
  cyc_clm_observe (&sc->claim, &claim, sc->now_us);
  sc->claim_dirty = false;
}

static void
end_ownership (struct sc_scheduler *sc)
{
  ev_log (sc->phase == SC_PHASE_RUN ? EV_CLAIM_LOST : EV_CLAIM_RELEASED,
          "domain=%s epoch=%" PRIu64, sc->settings.domain.data, sc->epoch);
  if (sc->phase == SC_PHASE_RUN)
    met_add (&sc->met, MET_CLAIMS_LOST, 1);
  sc->epoch = 0;
  sc->starts_allowed = false;
  sc_tasks_reset (sc);
  sc_jobs_reset (sc);
  sc_config_reset (sc);
  sc_limits_reset (sc);
}

static bool
setup_core (struct sc_scheduler *sc)
{
  struct cyc_findings found = { 0 };
  struct cyc_core_desc desc = {
    .max_workers = SC_MAX_WORKERS,
    .max_tasks = SC_MAX_TASKS,
    .max_jobs = SC_MAX_JOBS,
    .task_lease_ms = sc->settings.task_lease_ms,
    .service_lease_ms = sc->settings.service_lease_ms,
    .clock_error_ms = sc->settings.clock_error_ms,
    .seed = sc->epoch,
  };

  if (sc->trace != NULL)
    {
      desc.trace = sc_trace_line;
      desc.trace_user = sc;
    }
  if (cyc_core_setup (&sc->core, &desc, &found))
    return true;
  ev_findings (EV_SETUP_FAILED, &found);
  return false;
}

/* Begins an epoch with an empty core: adds the whole configuration, all known
   workers, marked as unfenced, and the open jobs. Polling the workers
   with the first heartbeats of the epoch then adds the running tasks. */
static void
take_over (struct sc_scheduler *sc, uint64_t epoch)
{
  sc->epoch = epoch;
  sc->claimed_us = sc->claim.claimed_us;
  sc->workers_polled = false;
  sc->first_starts_allowed = false;
  met_add (&sc->met, MET_CLAIMS_WON, 1);
  ev_log (EV_CLAIM_WON, "domain=%s epoch=%" PRIu64, sc->settings.domain.data,
          epoch);
  cyc_core_shutdown (&sc->core);
  if (!setup_core (sc))
    {
      sc->phase = SC_PHASE_EXIT;
      return;
    }
  cyc_core_allow_starts (&sc->core, false);
  cyc_prm_fence (&sc->permits, sc->claimed_us
                                   + ((uint64_t)sc->settings.permit_lease_ms
                                      + sc->settings.clock_error_ms)
                                         * SC_US_PER_MS);
  sc->config_dirty = true;
  sc_config_tick (sc);
  sc_workers_add_to_core (sc);
  sc_jobs_add_to_core (sc);
  sc_workers_mark_unfenced (sc);
}

static void
report_workers_polled (struct sc_scheduler *sc,
                       const struct cyc_clm_workers *counts)
{
  if (sc->workers_polled)
    return;
  sc->workers_polled = true;
  ev_log (EV_STOCK_TAKEN,
          "epoch=%" PRIu64 " workers=%" PRIu32 " fenced=%" PRIu32
          " tasks=%" PRIu32 " after_ms=%" PRIu64,
          sc->epoch, counts->total, counts->fenced, sc->task_pool.used,
          (sc->now_us - sc->claimed_us) / SC_US_PER_MS);
}

/* Logs once that the owner may still start tasks although its last renewal has
   lapsed. */
static void
report_extension (struct sc_scheduler *sc)
{
  bool extended
      = sc->starts_allowed
        && sc->now_us > sc->claim.renewal_sent_us
                            + sc->settings.claim_lease_ms * SC_US_PER_MS;

  if (extended && !sc->extension_reported)
    ev_log (EV_CLAIM_EXTENDED, "epoch=%" PRIu64 " since_renewal_ms=%" PRIu64,
            sc->epoch,
            (sc->now_us - sc->claim.renewal_sent_us) / SC_US_PER_MS);
  sc->extension_reported = extended;
}

static void
update_starts_allowed (struct sc_scheduler *sc)
{
  bool starts_allowed = sc->epoch != 0 && sc->phase == SC_PHASE_RUN
                        && sc->caught_up_epoch == sc->epoch
                        && cyc_clm_may_start (&sc->claim, sc->now_us);

  if (starts_allowed && !sc->first_starts_allowed)
    {
      /* Jobs that were read since the claim are not covered by the marks of
         take_over. */
      sc->first_starts_allowed = true;
      sc_workers_mark_unfenced (sc);
    }
  if (starts_allowed && !sc->starts_allowed)
    ev_log (EV_READY, "epoch=%" PRIu64 " since_claim_ms=%" PRIu64, sc->epoch,
            (sc->now_us - sc->claimed_us) / SC_US_PER_MS);
  if (starts_allowed != sc->starts_allowed && sc->epoch != 0)
    cyc_core_allow_starts (&sc->core, starts_allowed);
  sc->starts_allowed = starts_allowed;
  report_extension (sc);
}

void
sc_claim_tick (struct sc_scheduler *sc)
{
  struct cyc_clm_workers counts = { 0 };
  struct cyc_clm_step step;
  uint64_t epoch;

  if (!ctl_ready (&sc->ctl))
    return;
  if (sc->claim_dirty || sc->claim.silent_since_us == 0)
    observe_claim (sc);
  cyc_clm_set_log_reachable (&sc->claim, ctl_log_reachable (&sc->ctl),
                             sc->now_us);
  epoch = cyc_clm_epoch (&sc->claim);
  if (sc->epoch != 0 && epoch != sc->epoch)
    end_ownership (sc);
  if (epoch != 0 && sc->epoch == 0)
    take_over (sc, epoch);
  /* Counting sorts the workers by their newest answer, so it runs in each tick
     only until all workers are polled. */
  if (sc->epoch != 0
      && (!sc->workers_polled || sc->now_us >= sc->next_count_us))
    {
      sc->next_count_us = sc->now_us + COUNT_INTERVAL_MS * SC_US_PER_MS;
      sc_workers_count (sc, &counts);
      cyc_clm_workers (&sc->claim, &counts, sc->now_us);
      if (counts.workers_polled)
        report_workers_polled (sc, &counts);
    }
  update_starts_allowed (sc);
  if (cyc_led_fleet (ctl_ledger (&sc->ctl)) != NULL && sc->jobs_ready
      && cyc_clm_next (&sc->claim, sc->now_us, &step))
    append_claim_step (sc, &step);
}

void
sc_stop (struct sc_scheduler *sc)
{
  if (sc->phase != SC_PHASE_RUN)
    return;
  ev_log (EV_DRAINING, "starts_open=%" PRIu32, sc->starts_open);
  sc->phase = SC_PHASE_STOPPING;
  sc->phase_deadline_us = hc_now_us () + STOP_DRAIN_TIMEOUT_MS * SC_US_PER_MS;
}

void
sc_stop_tick (struct sc_scheduler *sc)
{
  bool late = sc->now_us >= sc->phase_deadline_us;

  if (sc->phase == SC_PHASE_STOPPING)
    {
      if (!late
          && (sc->starts_open > 0 || sc->dirty_count > 0
              || sc->batch_pool.used > 0))
        return;
      cyc_clm_release (&sc->claim);
      sc->phase = SC_PHASE_RELEASING;
      sc->phase_deadline_us
          = sc->now_us + STOP_RELEASE_TIMEOUT_MS * SC_US_PER_MS;
    }
  else if (sc->phase == SC_PHASE_RELEASING
           && (late || cyc_clm_epoch (&sc->claim) == 0))
    {
      sc->phase = SC_PHASE_EXIT;
      ev_break (sc->loop, EVBREAK_ALL);
    }
}
