#include "scheduler.h"

#include <stdlib.h>
#include <string.h>

#define STOP_STARTS_MS 3000
#define STOP_RELEASE_MS 3000
#define APPEND_MS 4000
#define COUNTS_MS 50

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

/* The old owner may have extended its hold through its workers until a
   majority of them was fenced. Before that the time is not known and no start
   is allowed; the estimate from the claim then only marks the workers. */
uint64_t
sc_unfenced_until (const struct sc_scheduler *sc)
{
  uint64_t task_lease_us = sc->settings.task_lease_ms * SC_US_PER_MS;
  uint64_t clock_error_us = sc->settings.clock_error_ms * SC_US_PER_MS;
  uint64_t until_us
      = cyc_clm_unreached_us (&sc->claim, task_lease_us, clock_error_us);

  if (until_us != UINT64_MAX)
    return until_us;
  return sc->claimed_us + sc->settings.claim_lease_ms * SC_US_PER_MS
         + task_lease_us + clock_error_us;
}

static void
on_appended (void *user, enum ctl_fate fate, uint64_t offset,
             const struct cyc_led_effect *effect)
{
  struct sc_scheduler *sc = user;
  enum cyc_clm_fate told = CYC_CLM_APPEND_LOST;

  (void)offset;
  (void)effect;
  if (fate == CTL_ACCEPTED)
    told = CYC_CLM_APPEND_ACCEPTED;
  else if (fate == CTL_REFUSED || fate == CTL_NOT_APPENDED)
    told = CYC_CLM_APPEND_REFUSED;
  cyc_clm_result (&sc->claim, sc->claim_token, told, hc_now_us ());
  sc->claim_dirty = true;
}

static void
append_step (struct sc_scheduler *sc, const struct cyc_clm_step *step)
{
  struct ctl_append append = { 0 };
  struct cyc_str record;

  sc->claim_token = step->token;
  cyc_id128_random (&append.record_id);
  append.deadline_us = sc->now_us + APPEND_MS * SC_US_PER_MS;
  append.done = on_appended;
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
observe (struct sc_scheduler *sc)
{
  struct cyc_claim claim;

  cyc_led_claim (ctl_ledger (&sc->ctl), cyc_name_str (&sc->settings.domain), 0,
                 &claim);
  cyc_clm_observe (&sc->claim, &claim, sc->now_us);
  sc->claim_dirty = false;
}

static void
lose (struct sc_scheduler *sc)
{
  ev_log (sc->phase == SC_PHASE_RUN ? EV_CLAIM_LOST : EV_CLAIM_RELEASED,
          "domain=%s epoch=%" PRIu64, sc->settings.domain.data, sc->epoch);
  if (sc->phase == SC_PHASE_RUN)
    met_add (&sc->met, MET_CLAIMS_LOST, 1);
  sc->epoch = 0;
  sc->acting = false;
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

/* Stock-taking: the core gets the whole configuration, the open jobs and every
   known worker as unfenced; the first heartbeats of the new epoch then fill in
   what runs. */
static void
take_over (struct sc_scheduler *sc, uint64_t epoch)
{
  sc->epoch = epoch;
  sc->claimed_us = sc->claim.claimed_us;
  sc->stock_reported = false;
  sc->stock_used = false;
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
  sc_workers_enter (sc);
  sc_jobs_enter (sc);
  sc_workers_hold_back (sc);
}

static void
report_stock (struct sc_scheduler *sc, const struct cyc_clm_workers *counts)
{
  if (sc->stock_reported)
    return;
  sc->stock_reported = true;
  ev_log (EV_STOCK_TAKEN,
          "epoch=%" PRIu64 " workers=%" PRIu32 " fenced=%" PRIu32
          " tasks=%" PRIu32 " after_ms=%" PRIu64,
          sc->epoch, counts->total, counts->fenced, sc->task_pool.used,
          (sc->now_us - sc->claimed_us) / SC_US_PER_MS);
}

/* The owner acts although its last renewal has lapsed. */
static void
report_extension (struct sc_scheduler *sc)
{
  bool extended
      = sc->acting
        && sc->now_us > sc->claim.renewed_us
                            + sc->settings.claim_lease_ms * SC_US_PER_MS;

  if (extended && !sc->told_extended)
    ev_log (EV_CLAIM_EXTENDED, "epoch=%" PRIu64 " since_renewal_ms=%" PRIu64,
            sc->epoch, (sc->now_us - sc->claim.renewed_us) / SC_US_PER_MS);
  sc->told_extended = extended;
}

static void
update_acting (struct sc_scheduler *sc)
{
  bool acting = sc->epoch != 0 && sc->phase == SC_PHASE_RUN
                && sc->marked_epoch == sc->epoch
                && cyc_clm_may_start (&sc->claim, sc->now_us);

  if (acting && !sc->stock_used)
    {
      /* Jobs may have been read since the claim. */
      sc->stock_used = true;
      sc_workers_hold_back (sc);
    }
  if (acting && !sc->acting)
    ev_log (EV_READY, "epoch=%" PRIu64 " since_claim_ms=%" PRIu64, sc->epoch,
            (sc->now_us - sc->claimed_us) / SC_US_PER_MS);
  if (acting != sc->acting && sc->epoch != 0)
    cyc_core_allow_starts (&sc->core, acting);
  sc->acting = acting;
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
    observe (sc);
  cyc_clm_log (&sc->claim, ctl_log_reachable (&sc->ctl), sc->now_us);
  epoch = cyc_clm_epoch (&sc->claim);
  if (sc->epoch != 0 && epoch != sc->epoch)
    lose (sc);
  if (epoch != 0 && sc->epoch == 0)
    take_over (sc, epoch);
  /* Counting sorts the workers' answers, which need not be done each tick once
     the stock is taken. */
  if (sc->epoch != 0 && (!sc->stock_reported || sc->now_us >= sc->counts_us))
    {
      sc->counts_us = sc->now_us + COUNTS_MS * SC_US_PER_MS;
      sc_workers_counts (sc, &counts);
      cyc_clm_workers (&sc->claim, &counts, sc->now_us);
      if (counts.stock_taken)
        report_stock (sc, &counts);
    }
  update_acting (sc);
  if (cyc_led_fleet (ctl_ledger (&sc->ctl)) != NULL && sc->jobs_ready
      && cyc_clm_next (&sc->claim, sc->now_us, &step))
    append_step (sc, &step);
}

void
sc_stop (struct sc_scheduler *sc)
{
  if (sc->phase != SC_PHASE_RUN)
    return;
  ev_log (EV_DRAINING, "starts_open=%" PRIu32, sc->starts_open);
  sc->phase = SC_PHASE_STOPPING;
  sc->phase_deadline_us = hc_now_us () + STOP_STARTS_MS * SC_US_PER_MS;
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
      sc->phase_deadline_us = sc->now_us + STOP_RELEASE_MS * SC_US_PER_MS;
    }
  else if (sc->phase == SC_PHASE_RELEASING
           && (late || cyc_clm_epoch (&sc->claim) == 0))
    {
      sc->phase = SC_PHASE_EXIT;
      ev_break (sc->loop, EVBREAK_ALL);
    }
}
