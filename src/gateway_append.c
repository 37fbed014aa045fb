#include "gateway_internal.h"

#include <stdlib.h>

/* Unconfirmed batches. */
#define MAX_BATCHES 64
/* An outcome that reaches the log long after the caller was answered is still
   useful, because later attempts with the same id read it there. */
#define OUTCOME_APPEND_TIMEOUT_US UINT64_C (60000000)

bool
gw_append_setup (struct gw_state *gw, struct cyc_findings *findings)
{
  uint32_t max = gw->request_pool.capacity;

  gw->batches = calloc (MAX_BATCHES, sizeof *gw->batches);
  gw->pending_intents = calloc (max, sizeof *gw->pending_intents);
  gw->pending_jobs = calloc (max, sizeof *gw->pending_jobs);
  gw->pending_outcomes = calloc (max, sizeof *gw->pending_outcomes);
  if (gw->batches != NULL && gw->pending_intents != NULL
      && gw->pending_jobs != NULL && gw->pending_outcomes != NULL
      && cyc_pool_setup (&gw->batch_pool, MAX_BATCHES, NULL))
    return true;
  cyc_findings_add (findings, CYC_STR ("gateway"), "out of memory");
  return false;
}

void
gw_append_shutdown (struct gw_state *gw)
{
  free (gw->batches);
  free (gw->pending_intents);
  free (gw->pending_jobs);
  free (gw->pending_outcomes);
  cyc_pool_shutdown (&gw->batch_pool);
}

/* All gateways together, counting records of every kind, stay within
   `log.appends_per_s`, the rate that the log can take. Each gateway that is
   not dead takes an equal share. */
uint64_t
gw_append_interval_us (const struct gw_state *gw)
{
  uint64_t gateways = 1;
  uint64_t min_us = gw->settings->flush_ms * GW_US_PER_MS;
  uint64_t paced_us;
  uint32_t cursor = 0;
  struct cyc_ref ref;
  struct pl_peer_view view;

  while (pl_next (&gw->links, &cursor, &ref, &view))
    if (view.identity.role == SET_ROLE_GATEWAY && view.health != PL_DEAD)
      gateways++;
  paced_us = gateways * 1000000 / gw->settings->log_appends_per_s;
  return paced_us > min_us ? paced_us : min_us;
}

static void
on_append_done (void *user, enum fo_outcome outcome, uint64_t offset)
{
  struct gw_batch *batch = user;
  struct gw_state *gw = batch->gw;

  (void)offset;
  met_add (&gw->met, MET_LOG_APPENDS, 1);
  if (outcome != FO_CONFIRMED)
    met_add (&gw->met, MET_LOG_APPEND_FAILURES, 1);
  met_observe (&gw->met, MET_LOG_APPEND_US, hc_now_us () - batch->started_us);
  if (batch->kind == GW_APPEND_INTENTS)
    gw_once_batch_done (batch, outcome);
  else if (batch->kind == GW_APPEND_JOBS)
    gw_job_batch_done (batch, outcome);
  cyc_pool_release (&gw->batch_pool, batch->ref);
  gw_wake (gw);
}

static struct gw_batch *
batch_take (struct gw_state *gw, enum gw_append_kind kind, uint64_t now_us)
{
  struct cyc_ref ref = cyc_pool_take (&gw->batch_pool);
  struct gw_batch *batch;

  if (ref.generation == 0)
    return NULL;
  batch = &gw->batches[ref.index];
  batch->gw = gw;
  batch->ref = ref;
  batch->kind = kind;
  batch->count = 0;
  batch->started_us = now_us;
  return batch;
}

static bool
append_record (struct gw_batch *batch, const struct cyc_id128 *id,
               struct cyc_str record, uint64_t deadline_us)
{
  struct gw_state *gw = batch->gw;
  struct fo_append append = {
    .record_id = *id,
    .record = record,
    .deadline_us = deadline_us,
    .done = on_append_done,
    .user = batch,
  };

  return fo_append (batch->kind == GW_APPEND_JOBS ? &gw->jobs_stream
                                                  : &gw->intents,
                    &append);
}

/* Moves the open requests of a pending list into the batch, up to its size.
   Returns the latest of their deadlines. */
static uint64_t
take_pending (struct gw_batch *batch, enum gw_stage stage,
              struct cyc_ref *pending, uint32_t *pending_count)
{
  struct gw_state *gw = batch->gw;
  uint64_t latest_us = 0;
  uint32_t remaining = 0;

  for (uint32_t i = 0; i < *pending_count; i++)
    {
      struct gw_request *request = gw_request_at (gw, pending[i]);

      if (batch->count == GW_BATCH_MAX)
        {
          pending[remaining++] = pending[i];
          continue;
        }
      if (request == NULL || request->stage != stage)
        continue;
      batch->entries[batch->count++] = (struct gw_batch_entry){
        .request = request->ref,
        .id = request->id,
        .body_digest = request->body_digest,
      };
      request->appended = true;
      if (request->deadline_us > latest_us)
        latest_us = request->deadline_us;
    }
  *pending_count = remaining;
  return latest_us;
}

static bool
encode_intents (struct gw_batch *batch, const struct cyc_id128 *id,
                struct cyc_str *out)
{
  struct gw_state *gw = batch->gw;
  struct cyc_once_intent rows[GW_BATCH_MAX];

  for (uint32_t i = 0; i < batch->count; i++)
    {
      const struct gw_batch_entry *entry = &batch->entries[i];
      const struct gw_request *request = gw_request_at (gw, entry->request);

      rows[i] = (struct cyc_once_intent){
        .request_id = entry->id,
        .body_digest = entry->body_digest,
        .deadline_ms = hc_deadline_ms (request->deadline_us),
      };
    }
  return cyc_rec_intents (id, cyc_name_str (&gw->settings->vm),
                          &gw->incarnation, rows, batch->count, out);
}

static bool
encode_jobs (struct gw_batch *batch, const struct cyc_id128 *id,
             struct cyc_str *out)
{
  struct gw_state *gw = batch->gw;
  struct cyc_job_event rows[GW_BATCH_MAX];

  for (uint32_t i = 0; i < batch->count; i++)
    {
      const struct gw_request *request
          = gw_request_at (gw, batch->entries[i].request);

      rows[i] = (struct cyc_job_event){
        .kind
        = request->job_cancel ? CYC_JOB_EVENT_CANCEL : CYC_JOB_EVENT_SUBMIT,
        .job_id = request->id,
        .queue = cyc_name_str (&request->queue),
        .queue_version = request->job_queue_version,
        .team = cyc_name_str (&request->team),
        .domain = cyc_name_str (&request->job_domain),
        .tasks = request->job_tasks,
        .submitted_ms = hc_wall_ms (),
      };
    }
  return cyc_rec_jobs (id, cyc_name_str (&gw->settings->vm), rows,
                       batch->count, out);
}

static bool
encode_outcomes (struct gw_batch *batch, const struct cyc_id128 *id,
                 struct cyc_str *out)
{
  struct gw_state *gw = batch->gw;
  uint32_t count = gw->pending_outcome_count < GW_BATCH_MAX
                       ? gw->pending_outcome_count
                       : GW_BATCH_MAX;
  bool encoded
      = cyc_rec_outcomes (id, cyc_name_str (&gw->settings->vm),
                          &gw->incarnation, gw->pending_outcomes, count, out);

  gw->pending_outcome_count -= count;
  for (uint32_t i = 0; i < gw->pending_outcome_count; i++)
    gw->pending_outcomes[i] = gw->pending_outcomes[i + count];
  batch->count = count;
  return encoded;
}

static uint32_t
pending_count (const struct gw_state *gw, enum gw_append_kind kind)
{
  if (kind == GW_APPEND_INTENTS)
    return gw->pending_intent_count;
  if (kind == GW_APPEND_JOBS)
    return gw->pending_job_count;
  return gw->pending_outcome_count;
}

static void
flush_kind (struct gw_state *gw, enum gw_append_kind kind, uint64_t now_us)
{
  struct gw_batch *batch = batch_take (gw, kind, now_us);
  uint64_t deadline_us = now_us + OUTCOME_APPEND_TIMEOUT_US;
  struct cyc_str record = { 0 };
  struct cyc_id128 id;
  bool encoded;

  if (batch == NULL)
    return;
  cyc_id128_random (&id);
  if (kind == GW_APPEND_INTENTS)
    deadline_us
        = take_pending (batch, GW_STAGE_INTENT_APPEND, gw->pending_intents,
                        &gw->pending_intent_count);
  else if (kind == GW_APPEND_JOBS)
    deadline_us = take_pending (batch, GW_STAGE_JOB_APPEND, gw->pending_jobs,
                                &gw->pending_job_count);
  if (kind != GW_APPEND_OUTCOMES && batch->count == 0)
    {
      cyc_pool_release (&gw->batch_pool, batch->ref);
      return;
    }
  encoded = kind == GW_APPEND_INTENTS ? encode_intents (batch, &id, &record)
            : kind == GW_APPEND_JOBS  ? encode_jobs (batch, &id, &record)
                                      : encode_outcomes (batch, &id, &record);
  if (!encoded || !append_record (batch, &id, record, deadline_us))
    on_append_done (batch, FO_NOT_APPENDED, 0);
  free ((void *)record.data);
}

/* Appends one record per interval; the kinds take turns. */
void
gw_append_flush (struct gw_state *gw, uint64_t now_us)
{
  if (now_us < gw->next_append_us)
    return;
  for (uint32_t i = 1; i <= GW_APPEND_KINDS; i++)
    {
      enum gw_append_kind kind = (enum gw_append_kind) (
          (gw->last_append_kind + i) % GW_APPEND_KINDS);

      if (pending_count (gw, kind) == 0)
        continue;
      gw->last_append_kind = kind;
      gw->next_append_us = now_us + gw_append_interval_us (gw);
      flush_kind (gw, kind, now_us);
      return;
    }
}
