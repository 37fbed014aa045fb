/* Begin and end of a leadership: follows jobs and workers and runs the
   core. */

#include "entry_owner_internal.h"

/** Offset given for a record that did not come from its stream. */
#define OFFSET_PUSHED UINT64_MAX
/** Delay between reads of jobs that other VMs stored; those VMs also push
 * them. */
#define JOBS_GAP_MS 100
/** Longest wait of a read of these jobs, which are few. */
#define JOBS_WAIT_MS 1000
/** Maximum number of parts in which other VMs store jobs. */
#define JOBS_PARTS_MAX 2
/** With an older view of the accepted jobs a job is not reported as unknown.
 * Three waits, as the age of a view covers the read in flight and the one
 * before it. */
#define JOBS_VIEW_MAX_AGE_US 3000000
/** Interval between log lines with the load. */
#define LOAD_LOG_PERIOD_US 2000000
/** A step with nothing running for this long is logged: users count a job that
 * could run as lost after 3 s. */
#define STEP_STALLED_US 1500000
/** A ticket is not used in this last part of its validity: its run must be
 * recorded and ordered before the ticket expires. */
#define TICKET_MARGIN_MS 250
/** Bits of a revision below the epoch: one epoch has more revisions than a
 * leader can write records. */
#define REVISION_EPOCH_SHIFT 36
/** A leader that takes longer to load its state is behind: callers wait for
 * their answers meanwhile. */
#define LOAD_MAX_US 1500000
/** Cancellations that are kept of jobs that are not known, which take 5 MB.
 * Beyond them the oldest one is dropped: no job is on its way for so long. */
#define EARLY_CANCELLATIONS_MAX 65536
/** Questions of other VMs that wait for a newer view, and how long they do:
 * then the VM has asked again. */
#define ASKS_MAX 4096
#define ASK_KEPT_US 500000
/** Interval at which evacuated failure domains are looked at for the log. */
#define DOMAINS_LOG_PERIOD_US 500000
/** An order to start is written up to this long after it was given. */
#define START_MARGIN_US 1200000
/** Longest interval between two ticks of the core. */
#define CORE_TICK_MAX_US 200000

static void
free_owner (struct entry_owner *owner)
{
  records_shutdown (&owner->records);
  g_hash_table_destroy (owner->early_cancellations);
  g_queue_clear_full (&owner->cancellations_by_age, g_free);
  g_array_free (owner->asks, TRUE);
  g_hash_table_destroy (owner->unusable_entries);
  g_hash_table_destroy (owner->empty_domains);
  g_array_free (owner->workers, TRUE);
  due_shutdown (&owner->holds);
  cell_shutdown (owner->core);
  g_free (owner->jobs_tails);
  g_free (owner);
}

static bool
jobs_in_flight (const struct entry_owner *owner)
{
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    if (tail_busy (&owner->jobs_tails[i]))
      return true;
  return false;
}

void
owner_free_all_ended (struct entry *entry)
{
  for (guint i = 0; i < entry->ended_owners->len; i++)
    free_owner (g_ptr_array_index (entry->ended_owners, i));
  g_ptr_array_set_size (entry->ended_owners, 0);
}

void
owner_free_idle (struct entry *entry)
{
  for (guint i = 0; i < entry->ended_owners->len;)
    {
      struct entry_owner *owner = g_ptr_array_index (entry->ended_owners, i);

      if (owner->calls_in_flight > 0 || jobs_in_flight (owner)
          || records_busy (&owner->records) || owner->workers_tail.in_flight)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (entry->ended_owners, i);
      free_owner (owner);
    }
}

bool
owner_call_ended (struct entry_owner *owner)
{
  owner->calls_in_flight--;
  return !owner->ended;
}

void
owner_input_added (struct entry_owner *owner)
{
  owner->core_has_input = true;
  entry_wake (owner->entry);
}

/* Streams. */

/* Keeps the cancellation of a job that the core does not hold. */
static void
keep_cancellation (struct entry_owner *owner, uint64_t id)
{
  gint64 *key = g_memdup2 (&id, sizeof id);

  if (!g_hash_table_add (owner->early_cancellations, key))
    return;
  g_queue_push_tail (&owner->cancellations_by_age, g_memdup2 (&id, sizeof id));
  while (owner->cancellations_by_age.length > EARLY_CANCELLATIONS_MAX)
    {
      gint64 *oldest = g_queue_pop_head (&owner->cancellations_by_age);

      g_hash_table_remove (owner->early_cancellations, oldest);
      g_free (oldest);
    }
}

bool
owner_cancel (struct entry_owner *owner, uint64_t id)
{
  bool known = cell_job_cancel (owner->core, id, hc_now_us ());

  if (!known)
    keep_cancellation (owner, id);
  ev_log (EV_JOB_CANCELLED,
          "job=%016" PRIx64 " epoch=%" PRIu64 " known=%d kept=%u", id,
          owner->epoch, known, g_hash_table_size (owner->early_cancellations));
  owner_input_added (owner);
  return known;
}

void
owner_withdraw_job (struct entry_owner *owner, uint64_t id)
{
  if (cell_job_withdraw (owner->core, id))
    keep_cancellation (owner, id);
}

static void
add_job (struct entry_owner *owner, uint64_t id, struct cyc_str value,
         bool stored, bool from_stream)
{
  uint64_t now_us = hc_now_us ();
  struct cyc_findings findings = { 0 };
  gint64 key = (gint64)id;
  gchar *team;
  gchar *queue;
  int64_t age_ms;
  Cyc__CellJob *job
      = cyc__cell_job__unpack (NULL, value.len, (const uint8_t *)value.data);

  if (job == NULL)
    {
      ev_log (EV_RECORD_CORRUPT, "job=%016" PRIx64 " stream=%d", id,
              from_stream);
      return;
    }
  team = g_strdup (job->team);
  queue = g_strdup (job->queue);
  age_ms = (int64_t)(hc_wall_ms () - job->accepted_ms);
  if (!cell_job_check (job, &findings))
    ev_log (EV_JOB_REFUSED,
            "job=%016" PRIx64 " stored=%d field=\"%s\" why=\"%s\"", id, stored,
            findings.rows[0].place, findings.rows[0].text);
  if (cell_job_add (owner->core, id, job, stored, now_us, hc_wall_ms ())
      && owner->phase == OWNER_LEADING)
    ev_log (EV_JOB_SEEN,
            "job=%016" PRIx64 " queue=%s team=%s stored=%d pushed=%d"
            " over_rate=%d age_ms=%" PRId64,
            id, queue, team, stored, !from_stream,
            cell_job_over_rate (owner->core, id), age_ms);
  g_free (team);
  g_free (queue);
  if (stored)
    cell_job_stored (owner->core, id, now_us);
  /* Kept until the job is stored: a copy that is not may be withdrawn. */
  if (g_hash_table_contains (owner->early_cancellations, &key))
    cell_job_cancel (owner->core, id, now_us);
  if (stored)
    g_hash_table_remove (owner->early_cancellations, &key);
  owner_input_added (owner);
}

void
owner_add_unstored_job (struct entry_owner *owner, uint64_t id,
                        struct cyc_str value)
{
  add_job (owner, id, value, false, false);
}

void
owner_on_job (void *user, const struct pt_record *record, uint64_t offset)
{
  struct entry_owner *owner = user;
  uint64_t id;

  if (record->key.len != CELL_KEY_BYTES - 1 || record->value.len == 0
      || !cell_job_id_parse ((struct cyc_str){ record->key.data + 1, 16 },
                             &id))
    return;
  if (record->key.data[0] == 'c')
    owner_cancel (owner, id);
  else
    add_job (owner, id, record->value, true, offset != OFFSET_PUSHED);
}

void
owner_add_stored (struct entry *entry, const struct pt_record *record)
{
  if (entry->owner != NULL && entry->owner->phase == OWNER_LEADING)
    owner_on_job (entry->owner, record, OFFSET_PUSHED);
}

void
owner_submit (struct entry *entry, struct cyc_str key, struct cyc_str value,
              struct cyc_ref peer)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__CellStored stored = CYC__CELL_STORED__INIT;

  if (entry->owner != NULL)
    {
      records_submit (&entry->owner->records, key, value, peer);
      return;
    }
  message.body_case = CYC__PEER__BODY_CELL_STORED;
  message.cell_stored = &stored;
  stored.key = (ProtobufCBinaryData){ key.len, (uint8_t *)key.data };
  stored.outcome = RECORDS_UNKNOWN;
  pl_send (&entry->links, peer, &message);
}

/* Returns the time up to which the jobs that other VMs have stored must be
   known. An earlier leader that does not know of its end yet may order tasks
   of a job that is stored after this VM has read the jobs, but only if it had
   recorded the runs before its epoch was fenced. */
static uint64_t
jobs_needed_until_us (const struct entry_owner *owner)
{
  const struct entry *entry = owner->entry;
  uint64_t epoch
      = records_unknown_revision (&owner->records) >> REVISION_EPOCH_SHIFT;

  if (epoch == 0)
    return 0;
  return epoch < entry->replaced_epoch ? entry->replaced_before_us
                                       : entry->predecessor_end_us;
}

/* Returns whether all jobs are known whose tasks an earlier leader may have
   ordered. If not, the jobs are read anew. */
static bool
ordered_jobs_known (struct entry_owner *owner)
{
  uint64_t until_us = jobs_needed_until_us (owner);
  uint64_t now_us = hc_now_us ();
  bool known = true;

  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    if (owner->jobs_tails[i].fresh_us < until_us)
      {
        known = false;
        if (now_us >= until_us)
          tail_refresh (&owner->jobs_tails[i]);
      }
  if (!known)
    entry_wake_at (owner->entry,
                   MAX (until_us, now_us + JOBS_GAP_MS * 1000ULL));
  return known;
}

/* Starts decisions of the core when all stored records are loaded. */
static void
begin_leading (struct entry_owner *owner)
{
  struct cell_totals totals;

  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    if (owner->jobs_tails[i].fresh_us == 0)
      return;
  if (!records_loaded (&owner->records) || !ordered_jobs_known (owner))
    return;
  records_restore (&owner->records);
  owner->phase = OWNER_LEADING;
  cell_totals (owner->core, &totals);
  ev_log (EV_LEAD_LOADED,
          "epoch=%" PRIu64
          " jobs=%u open=%u runs=%u workers=%u speed_spread_permille=%u"
          " took_ms=%" PRIu64,
          owner->epoch, totals.jobs, totals.jobs_open, totals.runs,
          cell_worker_count (owner->core), totals.speed_spread_permille,
          (hc_now_us () - owner->begun_us) / 1000);
  owner_input_added (owner);
}

static void
on_jobs_loaded (void *user)
{
  owner_input_added (user);
}

void
owner_log_left (struct entry_owner *owner, uint32_t row, uint64_t now_us)
{
  struct cell_worker_view view;

  cell_worker_view (owner->core, row, &view);
  if (view.left_us != now_us)
    return;
  ev_log (EV_WORKER_LEFT,
          "worker=%.*s runs=%u entry_age_ms=%" PRIu64 " answer_age_ms=%" PRIu64
          " view_age_ms=%" PRIu64,
          CYC_FMT (view.id), view.runs, (now_us - view.listed_after_us) / 1000,
          (now_us - view.clock_at_us) / 1000,
          (now_us - owner->workers_tail.prev_fresh_us) / 1000);
}

/* Applies that a worker's entry was removed. */
static void
on_unlisted (struct entry_owner *owner, struct cyc_str id)
{
  uint64_t now_us = hc_now_us ();
  uint32_t row;

  cell_worker_unlisted (owner->core, id, now_us);
  ev_log (EV_TARGET_LEAVING, "worker=%.*s unlisted=1", CYC_FMT (id));
  if (cell_worker_find (owner->core, id, &row))
    owner_log_left (owner, row, now_us);
  owner_input_added (owner);
}

static void
on_workers_read (void *user)
{
  struct entry_owner *owner = user;

  cell_entries_reading (owner->core, owner->workers_tail.prev_fresh_us,
                        hc_now_us ());
}

static void
on_worker (void *user, const struct pt_record *record, uint64_t offset)
{
  struct entry_owner *owner = user;
  struct cyc_findings findings = { 0 };
  struct cell_worker_entry entry;
  gchar *id;

  (void)offset;
  on_workers_read (owner);
  if (record->key.len == 0)
    return;
  if (record->value.len == 0)
    {
      on_unlisted (owner, record->key);
      return;
    }
  if (owner->entry->desc.ports->records->worker (
          record->key, record->value, hc_wall_ms (), &entry, &findings))
    {
      uint64_t after_us = owner->workers_tail.prev_fresh_us;
      uint64_t now_us = hc_now_us ();
      struct cell_worker_view view = { 0 };
      uint32_t row;

      if (cell_worker_find (owner->core, cyc_name_str (&entry.id), &row))
        cell_worker_view (owner->core, row, &view);
      if (cell_worker_listed (owner->core, &entry, after_us, now_us)
          || entry.draining)
        lines_listed (&entry, view.born_ms, after_us, now_us);
      return;
    }
  id = g_strndup (record->key.data, record->key.len);
  if (g_hash_table_add (owner->unusable_entries, id))
    ev_findings (EV_ENTRY_UNUSABLE, &findings);
}

static void
follow (struct entry_owner *owner, struct tail *tail, enum pt_stream stream,
        uint32_t part, uint32_t wait_ms, uint32_t gap_ms,
        void (*record) (void *, const struct pt_record *, uint64_t),
        void (*caught_up) (void *))
{
  tail_setup (tail, &(struct tail_desc){
                        .loop = owner->entry->desc.loop,
                        .log = &owner->entry->relay.log,
                        .stream = stream,
                        .part = part,
                        .keyed = true,
                        .wait_ms = wait_ms,
                        .gap_ms = gap_ms,
                        .record = record,
                        .caught_up = caught_up,
                        .user = owner,
                    });
}

uint32_t
entry_jobs_parts (const struct entry *entry)
{
  return MIN (entry->desc.settings->log_parts, JOBS_PARTS_MAX);
}

void
owner_begin (struct entry *entry, uint64_t epoch)
{
  struct entry_owner *owner = g_new0 (struct entry_owner, 1);

  owner->entry = entry;
  owner->epoch = epoch;
  owner->begun_us = hc_now_us ();
  owner->core = cell_setup (&(struct cell_desc){
      .lease_ms = entry->desc.settings->lease_ms,
      .lease_max_ms = entry->desc.settings->lease_max_ms,
      .earlier_until_us = MAX (owner->begun_us, entry->predecessor_end_us),
      .heartbeat_ms = entry->desc.settings->heartbeat_ms,
      .ticket_margin_ms = TICKET_MARGIN_MS,
      .weigh_reservations = entry->desc.settings->weigh_reservations,
      .learn_speeds = entry->desc.settings->learn_speeds,
      .first_revision = epoch << REVISION_EPOCH_SHIFT,
      .memory_bytes
      = (uint64_t)entry->desc.settings->memory_mb * 1024 * 1024 });
  owner->early_cancellations
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_queue_init (&owner->cancellations_by_age);
  owner->asks = g_array_new (FALSE, FALSE, sizeof (struct owner_ask));
  owner->unusable_entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  owner->workers = g_array_new (FALSE, TRUE, sizeof (struct owner_worker));
  due_setup (&owner->holds);
  if (entry->config != NULL)
    cell_config_set (owner->core, entry->config);
  owner->empty_domains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t i = 0; i < entry->evacuations.count; i++)
    cell_domain_evacuate (owner->core,
                          cyc_name_str (&entry->evacuations.domains[i].name),
                          true, owner->begun_us);
  owner->advice = advice_begin (entry, owner->core);
  owner->jobs_parts = entry_jobs_parts (entry);
  owner->jobs_tails = g_new0 (struct tail, owner->jobs_parts);
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    follow (owner, &owner->jobs_tails[i], PT_STREAM_JOBS, i, JOBS_WAIT_MS,
            JOBS_GAP_MS, owner_on_job, on_jobs_loaded);
  records_begin (&owner->records, owner);
  follow (owner, &owner->workers_tail, PT_STREAM_WORKERS, 0, 0, 400, on_worker,
          on_workers_read);
  entry_link_all (entry);
  tail_start (&owner->workers_tail);
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    tail_start (&owner->jobs_tails[i]);
  entry->owner = owner;
  entry->renew_at_us = owner->begun_us;
  entry_wake (entry);
}

void
owner_end (struct entry *entry)
{
  struct entry_owner *owner = entry->owner;

  entry->owner = NULL;
  owner->ended = true;
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    tail_stop (&owner->jobs_tails[i]);
  tail_stop (&owner->workers_tail);
  records_end (&owner->records);
  advice_end (owner->advice);
  owner->advice = NULL;
  /* A successor ends the runs of starts that are not written yet. */
  entry->desc.ports->workers->vtable->abandon_starts (
      entry->desc.ports->workers, owner);
  /* The calls in flight still refer to the owner. */
  g_ptr_array_add (entry->ended_owners, owner);
}

uint64_t
owner_epoch (const struct entry_owner *owner)
{
  return owner->epoch;
}

const char *
owner_behind (const struct entry *entry, uint64_t now_us, bool loading)
{
  struct entry_owner *owner = entry->owner;

  if (owner->phase == OWNER_LOADING)
    return loading && now_us >= owner->begun_us + LOAD_MAX_US ? "loading"
                                                              : NULL;
  return lag_is_behind (&owner->lag, now_us) ? "lagging" : NULL;
}

void
owner_earlier_ended (struct entry_owner *owner, uint64_t until_us)
{
  cell_earlier_ended (owner->core, until_us, hc_now_us ());
  owner_input_added (owner);
}

void
owner_apply_config (struct entry *entry)
{
  if (entry->owner != NULL)
    cell_config_set (entry->owner->core, entry->config);
}

void
owner_evacuate (struct entry *entry, struct cyc_str domain, bool evacuated)
{
  struct entry_owner *owner = entry->owner;

  if (owner == NULL)
    return;
  g_hash_table_remove_all (owner->empty_domains);
  cell_domain_evacuate (owner->core, domain, evacuated, hc_now_us ());
  owner_input_added (owner);
}

void
owner_domain_view (const struct entry *entry, struct cyc_str domain,
                   struct cell_domain_view *out)
{
  *out = (struct cell_domain_view){ 0 };
  if (entry->owner != NULL)
    cell_domain_view (entry->owner->core, domain, out);
}

/* A leader that has not read the requests of operators for long starts
   nothing: a failure domain may have been evacuated since. */
static void
hold_starts_if_stale (struct entry_owner *owner, uint64_t now_us)
{
  const struct entry *entry = owner->entry;
  uint64_t bound_us = (uint64_t)entry->desc.settings->evacuation_max_ms * 1000;
  uint64_t max_us
      = bound_us > START_MARGIN_US ? bound_us - START_MARGIN_US : bound_us;
  uint64_t age_us = now_us - entry->config_tail.fresh_us;
  bool stale = max_us > 0 && age_us > max_us;

  if (max_us > 0 && age_us > max_us / 2)
    tail_refresh (&owner->entry->config_tail);
  if (stale != owner->starts_held)
    ev_log (EV_STARTS_HELD,
            "held=%d view_age_ms=%" PRIu64 " allowed_ms=%" PRIu64
            " epoch=%" PRIu64,
            stale, age_us / 1000, max_us / 1000, owner->epoch);
  owner->starts_held = stale;
  cell_starts_hold (owner->core, stale, now_us);
}

/* Logs when the last run in an evacuated failure domain has ended. */
static void
log_empty_domains (struct entry_owner *owner, uint64_t now_us)
{
  const struct evac_set *set = &owner->entry->evacuations;

  if (set->count == 0 || now_us < owner->next_domains_log_us)
    return;
  owner->next_domains_log_us = now_us + DOMAINS_LOG_PERIOD_US;
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct evac_domain *domain = &set->domains[i];
      struct cell_domain_view view;

      cell_domain_view (owner->core, cyc_name_str (&domain->name), &view);
      if (view.runs > 0
          || g_hash_table_contains (owner->empty_domains, domain->name.data))
        continue;
      g_hash_table_add (owner->empty_domains, g_strdup (domain->name.data));
      ev_log (EV_DOMAIN_EMPTY,
              "domain=%s workers=%u age_ms=%" PRIu64 " epoch=%" PRIu64,
              domain->name.data, view.workers,
              (now_us - domain->since_us) / 1000, owner->epoch);
    }
}

bool
owner_can_answer (const struct entry *entry)
{
  const struct entry_owner *owner = entry->owner;
  uint64_t now_us = hc_now_us ();

  if (owner == NULL || owner->phase != OWNER_LEADING
      || !lead_confirmed (entry, now_us))
    return false;
  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    if (owner->jobs_tails[i].fresh_us + JOBS_VIEW_MAX_AGE_US < now_us)
      return false;
  return true;
}

/* Returns whether the view of the jobs that other VMs have stored holds all
   that they had at @p at_us. If not, it is read anew. */
static bool
jobs_known_at (const struct entry *entry, uint64_t at_us)
{
  struct entry_owner *owner = entry->owner;
  bool known = owner_can_answer (entry);

  for (uint32_t i = 0; i < owner->jobs_parts; i++)
    if (owner->jobs_tails[i].fresh_us < at_us)
      {
        tail_refresh (&owner->jobs_tails[i]);
        known = false;
      }
  return known;
}

bool
owner_job_state (const struct entry *entry, uint64_t job, uint64_t at_us,
                 enum cell_job_state *state)
{
  const struct entry_owner *owner = entry->owner;

  if (owner == NULL || owner->phase != OWNER_LEADING)
    return false;
  *state = cell_job_state (owner->core, job);
  switch (*state)
    {
    case CELL_JOB_COMPLETE:
    case CELL_JOB_FAILED:
    case CELL_JOB_CANCELED:
      return true;
    case CELL_JOB_QUEUED:
    case CELL_JOB_ACTIVE:
      return lead_confirmed (entry, hc_now_us ());
    }
  return !cell_job_is_unstored (owner->core, job)
         && jobs_known_at (entry, at_us);
}

static void
send_answer (struct entry *entry, const struct owner_ask *ask, bool leading,
             enum cell_job_state state)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__CellAnswer answer = CYC__CELL_ANSWER__INIT;

  message.body_case = CYC__PEER__BODY_CELL_ANSWER;
  message.cell_answer = &answer;
  answer.ask = ask->ask;
  answer.leading = leading;
  answer.state = state;
  answer.known = state != 0;
  pl_send (&entry->links, ask->peer, &message);
}

void
owner_on_ask (struct entry *entry, struct cyc_ref peer, uint64_t number,
              uint64_t job)
{
  struct entry_owner *owner = entry->owner;
  struct owner_ask ask = {
    .peer = peer, .ask = number, .job = job, .received_us = hc_now_us ()
  };
  enum cell_job_state state = 0;
  bool answered = owner_job_state (entry, job, ask.received_us, &state);

  /* The VM asks again after half a second, with the same number. */
  if (!answered && owner != NULL && owner->phase == OWNER_LEADING
      && owner->asks->len < ASKS_MAX)
    g_array_append_val (owner->asks, ask);
  else
    send_answer (entry, &ask, answered, state);
}

/* Answers the questions that have waited for a newer view. */
static void
answer_asks (struct entry_owner *owner, uint64_t now_us)
{
  for (guint i = 0; i < owner->asks->len;)
    {
      const struct owner_ask *ask
          = &g_array_index (owner->asks, struct owner_ask, i);
      enum cell_job_state state = 0;
      bool answered
          = owner_job_state (owner->entry, ask->job, ask->received_us, &state);

      if (!answered && now_us < ask->received_us + ASK_KEPT_US)
        {
          i++;
          continue;
        }
      send_answer (owner->entry, ask, answered, state);
      g_array_remove_index_fast (owner->asks, i);
    }
}

uint32_t
owner_pending (const struct entry *entry, struct cyc_str queue)
{
  return cell_queue_pending (entry->owner->core, queue);
}

struct advice_state *
owner_advice (const struct entry *entry)
{
  return entry->owner != NULL ? entry->owner->advice : NULL;
}

/* Counts the free capacity since the last line as core seconds, by cause. */
static void
count_idle (struct entry_owner *owner, const struct cell_idle *idle)
{
  for (uint32_t cause = 0; cause < CELL_IDLE_CAUSES; cause++)
    met_add (&owner->entry->met,
             (enum met_counter) (MET_IDLE_UNUSABLE + cause),
             idle->millicores[cause] * LOAD_LOG_PERIOD_US / 1000000 / 1000);
}

static void
log_load (struct entry_owner *owner, uint64_t now_us)
{
  struct cell_totals totals;
  struct cell_idle idle;

  if (now_us < owner->next_load_log_us)
    return;
  owner->next_load_log_us = now_us + LOAD_LOG_PERIOD_US;
  cell_totals (owner->core, &totals);
  cell_idle_split (owner->core, &idle);
  count_idle (owner, &idle);
  ev_log (
      EV_LOAD,
      "jobs=%u open=%u stages_waiting=%u asks_waiting=%u "
      "trials_waiting=%u trials_held=%u runs=%u workers=%u "
      "used_millicores=%" PRIu64 " capacity_millicores=%" PRIu64
      " renewal_ms=%" PRIu64 " view_age_ms=%" PRIu64 " fastest_ms=%" PRIu64
      " workers_evacuated=%u runs_evacuated=%u workers_slow=%u"
      " speed_spread_permille=%u"
      " gang_share_permille=%u gang_loss=%" PRIu64 " others_loss=%" PRIu64
      " idle_unusable=%" PRIu64 " idle_evacuated=%" PRIu64
      " idle_no_work=%" PRIu64 " idle_kept=%" PRIu64 " idle_fragment=%" PRIu64
      " idle_gang=%" PRIu64 " idle_no_ticket=%" PRIu64 " idle_other=%" PRIu64
      " jobs_kib=%" PRIu64 " rounds_kib=%" PRIu64,
      totals.jobs, totals.jobs_open, totals.stages_waiting,
      totals.asks_waiting, totals.trials_waiting, totals.trials_held,
      totals.runs, totals.workers_usable, totals.used_millicores,
      totals.capacity_millicores, owner->entry->renewal_us / 1000,
      (now_us - owner->workers_tail.fresh_us) / 1000,
      owner->lag.last_fastest_us / 1000, totals.workers_evacuated,
      totals.runs_evacuated, totals.workers_slow, totals.speed_spread_permille,
      totals.gang_share_permille, totals.gang_loss, totals.others_loss,
      idle.millicores[CELL_IDLE_UNUSABLE],
      idle.millicores[CELL_IDLE_EVACUATED], idle.millicores[CELL_IDLE_NO_WORK],
      idle.millicores[CELL_IDLE_KEPT], idle.millicores[CELL_IDLE_FRAGMENT],
      idle.millicores[CELL_IDLE_GANG], idle.millicores[CELL_IDLE_NO_TICKET],
      idle.millicores[CELL_IDLE_OTHER], totals.jobs_bytes / 1024,
      totals.rounds_bytes / 1024);
}

/* Logs what keeps the step that has waited longest. */
static void
log_wait (struct entry_owner *owner, uint64_t now_us)
{
  static const char *const causes[]
      = { "no_queue",  "quota",   "later",     "trial", "members",
          "no_advice", "no_room", "no_ticket", "other" };
  struct cell_wait wait;

  if (now_us < owner->next_wait_log_us)
    return;
  owner->next_wait_log_us = now_us + LOAD_LOG_PERIOD_US;
  if (!cell_wait_longest (owner->core, STEP_STALLED_US, &wait))
    return;
  ev_log (EV_STEP_STALLED,
          "step=%016" PRIx64 ".%u.%u cause=%s age_ms=%" PRIu64
          " wants=%u waiting=%u allowed=%u tickets=%u places=%" PRIu64
          " asked=%d reserved=%d epoch=%" PRIu64,
          wait.job, wait.round, wait.step, causes[wait.cause],
          (now_us - wait.since_us) / 1000, wait.wanted, wait.waiting,
          wait.allowed, wait.tickets, wait.places, wait.asked, wait.reserved,
          owner->epoch);
}

void
owner_tick (struct entry *entry, uint64_t now_us)
{
  struct entry_owner *owner = entry->owner;
  struct cell_order order;

  if (owner == NULL)
    return;
  if (owner->phase == OWNER_LOADING)
    begin_leading (owner);
  /* A run end that a worker reports can be applied only when all jobs are
     loaded. */
  if (owner->phase != OWNER_LEADING)
    {
      records_tick (&owner->records, now_us);
      return;
    }
  if (owner->workers_tail.fresh_us != 0)
    cell_entries_read (owner->core, owner->workers_tail.fresh_us);
  orders_hold_due (owner, now_us);
  hold_starts_if_stale (owner, now_us);
  if (owner->core_has_input || now_us >= cell_next_us (owner->core)
      || now_us >= owner->last_tick_us + CORE_TICK_MAX_US)
    {
      owner->core_has_input = false;
      owner->last_tick_us = now_us;
      cell_tick (owner->core, now_us, hc_wall_ms ());
    }
  records_tick (&owner->records, now_us);
  answer_asks (owner, now_us);
  while (cell_order_next (owner->core, &order))
    orders_send (owner, &order, now_us);
  if (cell_next_us (owner->core) != UINT64_MAX)
    entry_wake_at (entry, cell_next_us (owner->core));
  if (due_next (&owner->holds) != DUE_NEVER_US)
    entry_wake_at (entry, due_next (&owner->holds));
  orders_log_conclusions (owner, now_us);
  orders_log_over_ends (owner, now_us);
  orders_log_twice (owner, now_us);
  orders_log_counts (owner, now_us);
  orders_log_blames (owner, now_us);
  orders_log_attempts (owner);
  advice_tick (owner->advice, now_us);
  log_load (owner, now_us);
  log_wait (owner, now_us);
  log_empty_domains (owner, now_us);
}
