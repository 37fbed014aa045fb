/* Handles callers' requests: finds the queue and the team, and answers. */

#include "entry_internal.h"

/** Wait of a caller that does not state it. */
#define CALLER_WAIT_DEFAULT_MS 3000
/** The answer is sent this long before the caller's deadline. */
#define ANSWER_MARGIN_MS 120
/** Longest wait for a leader that can answer, about the duration of a
 * takeover. */
#define ASK_TIMEOUT_MS 2000
/** Delay after which an unanswered question to the leader is sent again. */
#define ASK_RETRY_US 500000
/** The same while this VM has the job on its way to the log. */
#define ASK_STORING_US 50000
/** Limits of the retry delay of callers; the lower one also applies when no
 * leader can answer. During an outage of the log the delay equals the time
 * that the log has been down: an outage that has lasted long tends to
 * continue. */
#define RETRY_AFTER_MIN_S 1
#define RETRY_AFTER_MAX_S 4

uint32_t
entry_retry_after_s (uint64_t down_since_us, uint64_t now_us)
{
  uint64_t age_s = down_since_us != 0 ? (now_us - down_since_us) / 1000000 : 0;

  return (uint32_t)CLAMP (age_s, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
}

void
requests_answer (struct entry *entry, struct cyc_ref ref,
                 const struct pt_answer *answer)
{
  struct entry_call *call;
  struct pt_answer out = *answer;

  if (!cyc_pool_live (&entry->call_pool, ref))
    return;
  call = &entry->calls[ref.index];
  out.close = entry->stopping;
  if (answer->kind == PT_ANSWER_BUSY
      || answer->kind == PT_ANSWER_UNKNOWN_OUTCOME
      || answer->kind == PT_ANSWER_OVER_RATE)
    ev_log (EV_REQUEST_UNANSWERED,
            "job=%016" PRIx64 " verb=%d answer=%d queue=%s waited_ms=%" PRIu64
            " leader=%s epoch=%" PRIu64 " lead_age_ms=%" PRIu64,
            call->job, (int)call->verb, (int)answer->kind, call->queue.data,
            (hc_now_us () - call->received_us) / 1000, entry->leader.vm.data,
            entry->leader.epoch,
            (hc_now_us () - entry->leader.seen_us) / 1000);
  else if (call->verb == PT_VERB_SUBMIT || call->verb == PT_VERB_CANCEL)
    ev_log (call->verb == PT_VERB_SUBMIT ? EV_JOB_ACCEPTED : EV_JOB_CANCELLED,
            "job=%016" PRIx64 " queue=%s answer=%d waited_ms=%" PRIu64
            " config=%" PRIu64,
            call->job, call->queue.data, (int)answer->kind,
            (hc_now_us () - call->received_us) / 1000,
            entry->config != NULL ? entry->config->version : 0);
  met_observe (&entry->met, MET_ANSWER_US, hc_now_us () - call->received_us);
  met_add (&entry->met, MET_ANSWERS, 1);
  entry->desc.ports->callers->vtable->answer (entry->desc.ports->callers,
                                              call->call, &out);
  cyc_pool_release (&entry->call_pool, ref);
}

/* A record without a value would delete its key, so a cancellation has one. */
static uint8_t *
pack_cancel (size_t *len)
{
  Cyc__CellJob job = CYC__CELL_JOB__INIT;
  uint8_t *data;

  job.cancel = true;
  job.accepted_ms = hc_wall_ms ();
  *len = cyc__cell_job__get_packed_size (&job);
  data = malloc (*len);
  cyc__cell_job__pack (&job, data);
  return data;
}

/* Answers a request with the job's state according to the leader. A job that
   the leader does not know may be on its way from this VM. */
static void
answer_state (struct entry *entry, struct cyc_ref ref,
              enum cell_job_state state)
{
  struct entry_call *call = &entry->calls[ref.index];

  if (state == 0 && accept_is_storing (entry, call->job))
    {
      call->next_ask_us = hc_now_us () + ASK_STORING_US;
      return;
    }
  requests_answer (entry, ref,
                   &(struct pt_answer){ .kind = state != 0 ? PT_ANSWER_STATE
                                                           : PT_ANSWER_NO_JOB,
                                        .state = state });
}

/* The rows and generations of requests begin anew in each process. */
static uint64_t
ask_number (const struct entry *entry, struct cyc_ref call)
{
  return ((uint64_t)call.generation << 32 | call.index) ^ entry_number (entry);
}

static void
ask_leader (struct entry *entry, struct cyc_ref ref, uint64_t now_us)
{
  struct entry_call *call = &entry->calls[ref.index];
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__CellAsk ask = CYC__CELL_ASK__INIT;
  enum cell_job_state state;
  struct cyc_ref peer;

  call->awaiting_leader = true;
  if (call->verb == PT_VERB_PENDING && owner_can_answer (entry))
    {
      requests_answer (
          entry, ref,
          &(struct pt_answer){
              .kind = PT_ANSWER_PENDING,
              .pending = owner_pending (entry, cyc_name_str (&call->queue)) });
      return;
    }
  if (call->verb != PT_VERB_PENDING
      && owner_job_state (entry, call->job, call->received_us, &state))
    {
      answer_state (entry, ref, state);
      return;
    }
  if (entry->leader.epoch == 0 || entry->leader.self)
    return;
  peer = pl_find (&entry->links, cyc_name_str (&entry->leader.vm),
                  SET_ROLE_ENTRY);
  message.body_case = CYC__PEER__BODY_CELL_ASK;
  message.cell_ask = &ask;
  ask.ask = ask_number (entry, ref);
  if (call->verb == PT_VERB_PENDING)
    ask.queue = call->queue.data;
  else
    ask.job = call->job;
  if (peer.generation != 0 && pl_send (&entry->links, peer, &message))
    call->next_ask_us = now_us + ASK_RETRY_US;
}

void
requests_on_answer (struct entry *entry, const Cyc__CellAnswer *answer)
{
  uint64_t number = answer->ask ^ entry_number (entry);
  struct cyc_ref ref = { (uint32_t)number, (uint32_t)(number >> 32) };
  struct entry_call *call;

  if (!answer->leading || !cyc_pool_live (&entry->call_pool, ref))
    return;
  call = &entry->calls[ref.index];
  if (!call->awaiting_leader)
    return;
  if (call->verb == PT_VERB_PENDING)
    requests_answer (entry, ref,
                     &(struct pt_answer){ .kind = PT_ANSWER_PENDING,
                                          .pending = answer->pending });
  else
    answer_state (entry, ref, answer->known ? answer->state : 0);
}

void
requests_tick (struct entry *entry, uint64_t now_us)
{
  for (uint32_t i = 0; i < entry->call_pool.high; i++)
    {
      struct entry_call *call = &entry->calls[i];
      struct cyc_ref ref;

      if (!cyc_pool_used_at (&entry->call_pool, i) || !call->awaiting_leader)
        continue;
      ref = cyc_pool_ref_at (&entry->call_pool, i);
      if (now_us >= call->deadline_us
          || now_us >= call->received_us + (uint64_t)ASK_TIMEOUT_MS * 1000)
        requests_answer (
            entry, ref,
            &(struct pt_answer){ .kind = PT_ANSWER_BUSY,
                                 .retry_after_s = RETRY_AFTER_MIN_S });
      else if (now_us >= call->next_ask_us)
        ask_leader (entry, ref, now_us);
    }
}

void
entry_caller_gone (void *user, struct cyc_ref call)
{
  struct entry *entry = user;

  for (uint32_t i = 0; i < entry->call_pool.high; i++)
    if (cyc_pool_used_at (&entry->call_pool, i)
        && entry->calls[i].call.index == call.index
        && entry->calls[i].call.generation == call.generation
        && entry->calls[i].awaiting_leader)
      cyc_pool_release (&entry->call_pool,
                        cyc_pool_ref_at (&entry->call_pool, i));
}

static void
refuse (struct entry *entry, const struct pt_request *request,
        enum pt_answer_kind kind, const struct cyc_finding *finding)
{
  ev_log (EV_REQUEST_REFUSED,
          "answer=%d method=%.*s path=\"%.*s\" config=%" PRIu64
          " view_age_ms=%" PRIu64,
          (int)kind, CYC_FMT (request->method), CYC_FMT (request->path),
          entry->config != NULL ? entry->config->version : 0,
          (hc_now_us () - entry->config_tail.fresh_us) / 1000);
  entry->desc.ports->callers->vtable->answer (
      entry->desc.ports->callers, request->call,
      &(struct pt_answer){
          .kind = kind,
          .retry_after_s = kind == PT_ANSWER_BUSY ? RETRY_AFTER_MIN_S : 0,
          .finding = finding,
          .close = entry->stopping,
      });
}

/* Packs the submitted job. Returns NULL and adds findings if it is invalid. */
static uint8_t *
pack_job (struct entry *entry, const struct pt_request *request,
          const struct cell_queue_cfg *queue, const struct cell_team_cfg *team,
          struct cyc_findings *findings, size_t *len)
{
  Cyc__CellJob *job
      = entry->desc.ports->callers->vtable->job (request->body, findings);
  uint8_t *data;

  ev_findings (EV_REQUEST_REFUSED, findings);
  if (job == NULL)
    return NULL;
  job->queue = strdup (queue->name.data);
  if (team != NULL)
    job->team = strdup (team->name.data);
  job->accepted_ms = hc_wall_ms ();
  *len = cyc__cell_job__get_packed_size (job);
  data = malloc (*len);
  cyc__cell_job__pack (job, data);
  cyc__cell_job__free_unpacked (job, NULL);
  return data;
}

static void
begin_call (struct entry *entry, const struct pt_request *request,
            const struct cell_queue_cfg *queue,
            const struct cell_team_cfg *team, enum pt_verb verb, uint64_t job)
{
  uint64_t now_us = hc_now_us ();
  uint32_t wait_ms
      = request->wait_ms ? request->wait_ms : CALLER_WAIT_DEFAULT_MS;
  struct cyc_ref ref;
  struct entry_call *call;
  struct cyc_findings findings = { 0 };
  uint8_t *data = NULL;
  size_t len = 0;

  if (verb == PT_VERB_SUBMIT)
    {
      data = pack_job (entry, request, queue, team, &findings, &len);
      if (data == NULL)
        {
          refuse (entry, request, PT_ANSWER_BAD_REQUEST, findings.rows);
          return;
        }
    }
  ref = cyc_pool_take (&entry->call_pool);
  if (ref.generation == 0)
    {
      free (data);
      refuse (entry, request, PT_ANSWER_BUSY, NULL);
      return;
    }
  call = &entry->calls[ref.index];
  *call = (struct entry_call){
    .call = request->call,
    .verb = verb,
    .job = job,
    .queue = queue->name,
    .received_us = now_us,
    .deadline_us
    = now_us
      + (uint64_t)(wait_ms > 2 * ANSWER_MARGIN_MS ? wait_ms - ANSWER_MARGIN_MS
                                                  : wait_ms / 2)
            * 1000,
  };
  met_add (&entry->met, MET_REQUESTS, 1);
  /* A cancellation is stored whether or not the job is known: the job may be
     on its way, here or at another VM. */
  if (verb == PT_VERB_CANCEL)
    data = pack_cancel (&len);
  if (verb == PT_VERB_SUBMIT || verb == PT_VERB_CANCEL)
    accept_add (entry, ref, verb == PT_VERB_SUBMIT ? 'j' : 'c', job, data,
                len);
  else
    ask_leader (entry, ref, now_us);
}

/* Refuses a request for good, as the view of the configuration has no such
   queue or key. A version that has it may be in force if the view is old: the
   request is then refused for now. */
static void
refuse_unknown (struct entry *entry, const struct pt_request *request,
                enum pt_answer_kind kind)
{
  refuse (entry, request,
          entry_view_is_current (entry, hc_now_us ()) ? kind : PT_ANSWER_BUSY,
          NULL);
}

void
entry_request (void *user, const struct pt_request *request)
{
  struct entry *entry = user;
  const struct cell_queue_cfg *queue;
  const struct cell_team_cfg *team;
  struct cyc_str rest;
  uint64_t job = 0;
  enum pt_verb verb;

  if (entry->config == NULL || entry_view_is_outdated (entry, hc_now_us ()))
    {
      refuse (entry, request, PT_ANSWER_BUSY, NULL);
      return;
    }
  queue = cell_config_route (entry->config, request->host, request->path);
  if (queue == NULL)
    {
      refuse_unknown (entry, request, PT_ANSWER_NO_QUEUE);
      return;
    }
  team = cell_config_team_of_key (entry->config, request->key);
  if (team == NULL && !queue->open_to_all)
    {
      refuse_unknown (entry, request, PT_ANSWER_BAD_KEY);
      return;
    }
  rest = (struct cyc_str){ request->path.data + queue->path_prefix.len,
                           request->path.len - queue->path_prefix.len };
  if (cyc_str_eq (request->method, CYC_STR ("POST")))
    verb = PT_VERB_SUBMIT;
  else if (cyc_str_eq (request->method, CYC_STR ("DELETE")))
    verb = PT_VERB_CANCEL;
  else
    verb = rest.len == 0 ? PT_VERB_PENDING : PT_VERB_STATE;
  if (verb != PT_VERB_PENDING && !cell_job_id_parse (rest, &job))
    {
      refuse (entry, request, PT_ANSWER_BAD_REQUEST,
              &(struct cyc_finding){
                  .place = "id", .text = "must be 16 hexadecimal digits" });
      return;
    }
  begin_call (entry, request, queue, team, verb, job);
}
