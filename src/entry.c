/* Setup, tick and stop of the entry process, its registration, and the
   dispatch of messages from other entry VMs. */

#include "entry_internal.h"

#include <sys/stat.h>

/** Tick periods while leading and while following. */
#define TICK_LEADING_US 50000
#define TICK_FOLLOWING_US 100000
/** Delay of a tick after an event, so that one tick handles several events. */
#define WAKE_DELAY_US 1000
#define CALLS_MAX 2048
/** With an older view of the configuration this VM is not ready for new
 * connections. */
#define READY_VIEW_MAX_AGE_US 3000000
/** Delay between attempts to register this VM. */
#define REGISTER_RETRY_US 300000
/** A stopping VM serves open connections for this long: the platform asks for
 * readiness once a second and takes a VM out after two misses. */
#define STOP_LINGER_US 2600000
/** Part of the grace time that is left when the process ends. */
#define STOP_MARGIN_MS 700
#define PEER_HEARTBEAT_MS 500
#define PEER_SILENT_MS 1600
#define PEER_DEAD_MS 3200
#define PEERS_MAX 512
/** Part of the memory for what other VMs are sending. */
#define PEERS_INPUT_DIVISOR 8
/** A narrower link lowers the score of a VM as a leader: orders and reports of
 * a few hundred workers use about this bandwidth. */
#define LINK_SUFFICIENT_KBPS 50000
/** A longer round trip to the log lowers the score: a call within a region
 * takes 6 ms, between regions 45 ms. */
#define LOG_NEAR_ROUND_TRIP_MS 25

static void
arm (struct entry *entry, uint64_t at_us)
{
  uint64_t now_us = hc_now_us ();
  double in_s = at_us > now_us ? (double)(at_us - now_us) / 1e6 : 0.0;

  ev_timer_stop (entry->desc.loop, &entry->timer);
  ev_timer_set (&entry->timer, in_s, 0.0);
  ev_timer_start (entry->desc.loop, &entry->timer);
}

void
entry_wake_at (struct entry *entry, uint64_t at_us)
{
  uint64_t now_us = hc_now_us ();
  ev_tstamp left = ev_timer_remaining (entry->desc.loop, &entry->timer);

  if (at_us < now_us + WAKE_DELAY_US)
    at_us = now_us + WAKE_DELAY_US;
  if (!ev_is_active (&entry->timer) || (double)(at_us - now_us) / 1e6 < left)
    arm (entry, at_us);
}

void
entry_wake (struct entry *entry)
{
  entry_wake_at (entry, 0);
}

/* Configuration. */

static void
on_config (struct entry *entry, const struct pt_record *record,
           uint64_t offset)
{
  struct cyc_findings findings = { 0 };
  struct cell_config *config;
  struct cell_config *old = entry->config;

  config = entry->desc.ports->records->config (record->value, &findings);
  ev_findings (EV_RECORD_REFUSED, &findings);
  if (config == NULL)
    return;
  if (old != NULL && config->version <= old->version)
    {
      cell_config_free (config);
      return;
    }
  entry->config = config;
  owner_apply_config (entry);
  cell_config_free (old);
  ev_log (EV_CONFIG_IN_FORCE,
          "version=%" PRIu64 " offset=%" PRIu64
          " queues=%u teams=%u pools=%u bytes=%zu read_ms=%" PRIu64
          " tries=%u old_view_ms=%" PRIu64 " through=%s",
          config->version, offset, config->queue_count, config->team_count,
          config->pool_count, entry->config_tail.read_bytes,
          entry->config_tail.read_us / 1000, entry->config_tail.read_tries,
          entry->config_tail.prev_fresh_us != 0
              ? (hc_now_us () - entry->config_tail.prev_fresh_us) / 1000
              : 0,
          entry->mirror.through.len > 0 ? entry->mirror.through.data : "log");
  entry_wake (entry);
}

bool
entry_view_is_current (const struct entry *entry, uint64_t now_us)
{
  return entry->config_tail.fresh_us
             + (uint64_t)entry->desc.settings->config_max_age_ms * 1000
         > now_us;
}

bool
entry_view_is_outdated (const struct entry *entry, uint64_t now_us)
{
  return !entry_view_is_current (entry, now_us)
         && tail_is_behind (&entry->config_tail);
}

/* Requests to evacuate failure domains. */

static bool
is_known_domain (const struct entry *entry, struct cyc_str domain)
{
  const struct ent_settings *settings = entry->desc.settings;
  struct cell_domain_view view;

  for (uint32_t i = 0; i < settings->domain_count; i++)
    if (cyc_str_eq (cyc_name_str (&settings->domains[i]), domain))
      return true;
  owner_domain_view (entry, domain, &view);
  return settings->domain_count == 0 || view.workers > 0;
}

static void
on_evacuation_changed (void *user, const struct evac_domain *domain,
                       bool evacuated)
{
  struct entry *entry = user;
  struct cyc_str name = cyc_name_str (&domain->name);

  met_add (&entry->met,
           evacuated ? MET_DOMAINS_EVACUATED : MET_DOMAINS_RETURNED, 1);
  ev_log (evacuated ? EV_DOMAIN_EVACUATED : EV_DOMAIN_RETURNED,
          "domain=%s since_ms=%" PRIu64 " age_ms=%" PRIu64
          " view_age_ms=%" PRIu64 " evacuated=%u leading=%d",
          domain->name.data, domain->since_ms,
          (hc_now_us () - domain->since_us) / 1000,
          (hc_now_us () - entry->config_tail.fresh_us) / 1000,
          entry->evacuations.count, entry->owner != NULL);
  owner_evacuate (entry, name, evacuated);
  entry_wake (entry);
}

static void
refuse_evacuation (struct entry *entry, struct cyc_str domain, uint64_t offset,
                   const char *why)
{
  met_add (&entry->met, MET_EVACUATIONS_REFUSED, 1);
  ev_log (EV_EVACUATION_REFUSED,
          "domain=\"%.*s\" offset=%" PRIu64 " why=\"%s\"", CYC_FMT (domain),
          offset, why);
}

static void
on_evacuation (struct entry *entry, struct cyc_str domain,
               struct cyc_str value, uint64_t offset)
{
  struct cyc_findings findings = { 0 };

  if (value.len == 0)
    {
      evac_return (&entry->evacuations, domain);
      return;
    }
  if (!entry->desc.ports->records->evacuation (value, &findings))
    {
      refuse_evacuation (entry, domain, offset, findings.rows[0].text);
      return;
    }
  if (!is_known_domain (entry, domain))
    refuse_evacuation (entry, domain, offset,
                       "no failure domain of the settings has this name");
  if (!evac_request (&entry->evacuations, domain, hc_now_us (), hc_wall_ms ()))
    refuse_evacuation (entry, domain, offset, "is not a valid name");
}

static void
on_operator_record (void *user, const struct pt_record *record,
                    uint64_t offset)
{
  struct entry *entry = user;
  struct cyc_str prefix = entry->desc.ports->records->evacuation_prefix;

  mir_record (&entry->mirror, record, offset);
  if (cyc_str_eq (record->key, entry->desc.ports->records->config_key))
    on_config (entry, record, offset);
  else if (record->key.len >= prefix.len
           && memcmp (record->key.data, prefix.data, prefix.len) == 0)
    on_evacuation (entry,
                   (struct cyc_str){ record->key.data + prefix.len,
                                     record->key.len - prefix.len },
                   record->value, offset);
}

static void
on_operator_reload (void *user)
{
  struct entry *entry = user;

  mir_reload (&entry->mirror);
  evac_reload (&entry->evacuations);
}

static void
on_operator_caught_up (void *user)
{
  struct entry *entry = user;

  evac_reloaded (&entry->evacuations);
  mir_caught_up (&entry->mirror);
}

/* Registration of this VM in the stream of entry VMs. */

static void
on_registered (void *user, const struct pt_append_result *result)
{
  struct entry *entry = user;
  uint64_t now_us = hc_now_us ();

  entry->register_in_flight = false;
  entry->registered = result->outcome == PT_OK;
  if (entry->registered)
    {
      /* Offsets of the records are consecutive, which spreads the VMs over
         the parts. */
      entry->accept_part
          = (uint32_t)(result->offset % entry_jobs_parts (entry));
    }
  else
    entry->register_at_us = now_us + REGISTER_RETRY_US;
}

static void
register_vm (struct entry *entry, uint64_t now_us)
{
  const struct ent_settings *settings = entry->desc.settings;
  Cyc__CellVm vm = CYC__CELL_VM__INIT;
  char address[64];
  uint8_t data[256];
  struct pt_record record = { .key = cyc_name_str (&settings->vm) };

  if (entry->registered || entry->register_in_flight
      || !entry->config_tail.loaded || !entry->vms_tail.loaded
      || now_us < entry->register_at_us)
    return;
  snprintf (address, sizeof address, "%s:%u", settings->peers.host,
            settings->peers.port);
  vm.domain = (char *)settings->domain.data;
  vm.region = (char *)settings->region.data;
  vm.address = address;
  vm.millicores = settings->cpu_permille * settings->cores;
  vm.link_kbps = settings->link_kbps;
  vm.log_trip_ms = entry->vms_tail.load_round_trip_us / 1000;
  if (cyc__cell_vm__get_packed_size (&vm) > sizeof data)
    return;
  record.value
      = (struct cyc_str){ (const char *)data, cyc__cell_vm__pack (&vm, data) };
  entry->register_at_us = now_us;
  entry->register_in_flight = entry->relay.log.vtable->append (
      &entry->relay.log,
      &(struct pt_append){
          .stream = PT_STREAM_VMS,
          .records = &record,
          .count = 1,
          .deadline_us = now_us + (uint64_t)ENTRY_APPEND_TIMEOUT_MS * 1000,
          .done = on_registered,
          .user = entry,
      });
}

/* Returns how suitable a VM is as a leader: its processor capacity, reduced
   if its link is narrow or its round trip to the log is long. */
static uint64_t
lead_score_of (const Cyc__CellVm *vm)
{
  uint64_t lead_score = vm->millicores;

  if (vm->link_kbps < LINK_SUFFICIENT_KBPS)
    lead_score = lead_score * vm->link_kbps / LINK_SUFFICIENT_KBPS;
  return vm->log_trip_ms > LOG_NEAR_ROUND_TRIP_MS ? lead_score / 2
                                                  : lead_score;
}

static void
on_vm (void *user, const struct pt_record *record, uint64_t offset)
{
  struct entry *entry = user;
  Cyc__CellVm *vm = cyc__cell_vm__unpack (NULL, record->value.len,
                                          (const uint8_t *)record->value.data);
  struct entry_vm *row;

  (void)offset;
  if (vm == NULL)
    {
      ev_log (EV_RECORD_CORRUPT, "stream=vms offset=%" PRIu64, offset);
      return;
    }
  row = g_new0 (struct entry_vm, 1);
  row->peer.role = SET_ROLE_ENTRY;
  if (cyc_name_set (&row->peer.vm, record->key)
      && set_address_parse (cyc_str_of (vm->address), &row->peer.address))
    {
      cyc_name_set (&row->peer.domain, cyc_str_of (vm->domain));
      cyc_name_set (&row->peer.region, cyc_str_of (vm->region));
      row->lead_score = lead_score_of (vm);
      row->link_kbps = vm->link_kbps;
      row->millicores = vm->millicores;
      g_hash_table_replace (entry->vms, g_strdup (row->peer.vm.data), row);
      entry->vms_changed = true;
      if (entry->owner != NULL)
        pl_peer_add (&entry->links, &row->peer);
    }
  else
    g_free (row);
  cyc__cell_vm__free_unpacked (vm, NULL);
}

void
entry_link_all (struct entry *entry)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, entry->vms);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    pl_peer_add (&entry->links, &((struct entry_vm *)value)->peer);
}

/* Links. */

/* Answers another VM's question about the state of a job or the backlog of
   a queue. */
static void
answer_ask (struct entry *entry, struct cyc_ref peer, const Cyc__CellAsk *ask)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__CellAnswer answer = CYC__CELL_ANSWER__INIT;

  if (ask->job != 0)
    {
      owner_on_ask (entry, peer, ask->ask, ask->job);
      return;
    }
  message.body_case = CYC__PEER__BODY_CELL_ANSWER;
  message.cell_answer = &answer;
  answer.ask = ask->ask;
  if (owner_can_answer (entry))
    {
      answer.leading = true;
      answer.pending = owner_pending (entry, cyc_str_of (ask->queue));
    }
  pl_send (&entry->links, peer, &message);
}

static void
on_message (void *user, struct cyc_ref peer, const Cyc__Peer *message)
{
  struct entry *entry = user;

  switch (message->body_case)
    {
    case CYC__PEER__BODY_ADVICE_ASK:
      advice_on_ask (entry, peer, message->advice_ask);
      return;
    case CYC__PEER__BODY_ADVICE_ANSWER:
      if (owner_advice (entry) != NULL)
        advice_on_answer (owner_advice (entry), message->advice_answer);
      return;
    case CYC__PEER__BODY_CELL_ASK:
      answer_ask (entry, peer, message->cell_ask);
      return;
    case CYC__PEER__BODY_CELL_ANSWER:
      requests_on_answer (entry, message->cell_answer);
      return;
    case CYC__PEER__BODY_CELL_PUSH:
      {
        const Cyc__CellPush *push = message->cell_push;

        owner_add_stored (
            entry,
            &(struct pt_record){
                .key = { (const char *)push->key.data, push->key.len },
                .value = { (const char *)push->value.data, push->value.len },
            });
        return;
      }
    case CYC__PEER__BODY_CELL_SUBMIT:
      {
        const Cyc__CellSubmit *submit = message->cell_submit;

        owner_submit (entry,
                      (struct cyc_str){ (const char *)submit->key.data,
                                        submit->key.len },
                      (struct cyc_str){ (const char *)submit->value.data,
                                        submit->value.len },
                      peer);
        return;
      }
    case CYC__PEER__BODY_CELL_STORED:
      accept_on_stored (
          entry,
          (struct cyc_str){ (const char *)message->cell_stored->key.data,
                            message->cell_stored->key.len },
          (enum records_outcome)message->cell_stored->outcome,
          message->cell_stored->retry_after_s);
      return;
    case CYC__PEER__BODY_CELL_HAND_OVER:
      lead_on_hand_over (entry, message->cell_hand_over->epoch);
      return;
    case CYC__PEER__BODY_LOG_ASK:
      relay_on_ask (&entry->relay, peer, message->log_ask);
      return;
    case CYC__PEER__BODY_LOG_ANSWER:
      relay_on_answer (&entry->relay, message->log_answer);
      return;
    case CYC__PEER__BODY_MIRROR_ASK:
      mir_on_ask (&entry->mirror, peer, message->mirror_ask);
      return;
    case CYC__PEER__BODY_MIRROR_ANSWER:
      mir_on_answer (&entry->mirror, message->mirror_answer);
      return;
    default:
      return;
    }
}

static void
on_linked (void *user, struct cyc_ref peer, bool linked)
{
  struct entry *entry = user;

  if (!linked)
    mir_on_unlinked (&entry->mirror, peer);
  entry_wake (entry);
}

static void
self_state (void *user, struct pl_self_state *out)
{
  struct entry *entry = user;

  memset (out, 0, sizeof *out);
  out->owned_epoch = entry->owner != NULL ? entry->leader.epoch : 0;
  out->draining = entry->stopping;
  out->fresh_us = entry->relay.direct_success_us;
}

/* Tick. */

static void
stop_tick (struct entry *entry, uint64_t now_us)
{
  bool idle = entry->desc.ports->callers->vtable->open_count (
                  entry->desc.ports->callers)
                  == 0
              && entry->owner == NULL;

  if (!entry->stopping)
    return;
  if ((idle && now_us >= entry->stop_earliest_us)
      || now_us >= entry->stop_deadline_us)
    {
      ev_log (EV_STOPPED, "open_calls=%u",
              entry->desc.ports->callers->vtable->open_count (
                  entry->desc.ports->callers));
      entry->desc.stopped (entry->desc.user);
    }
}

static void
on_tick (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct entry *entry = timer->data;
  uint64_t now_us = hc_now_us ();

  (void)loop;
  (void)events;
  arm (entry,
       now_us + (entry->owner != NULL ? TICK_LEADING_US : TICK_FOLLOWING_US));
  pl_tick (&entry->links, now_us);
  relay_tick (&entry->relay, now_us);
  mirrors_tick (entry, now_us);
  register_vm (entry, now_us);
  accept_tick (entry, now_us);
  lead_tick (entry, now_us);
  owner_tick (entry, now_us);
  owner_free_idle (entry);
  requests_tick (entry, now_us);
  stop_tick (entry, now_us);
}

static bool
setup_links (struct entry *entry, struct cyc_findings *findings)
{
  const struct ent_settings *settings = entry->desc.settings;

  return pl_setup (&entry->links,
                   &(struct pl_desc){
                       .loop = entry->desc.loop,
                       .self = { .vm = settings->vm,
                                 .domain = settings->domain,
                                 .region = settings->region,
                                 .role = SET_ROLE_ENTRY,
                                 .incarnation = entry->incarnation },
                       .listen = settings->peers,
                       .max_peers = PEERS_MAX,
                       .heartbeat_ms = PEER_HEARTBEAT_MS,
                       .silent_ms = PEER_SILENT_MS,
                       .dead_ms = PEER_DEAD_MS,
                       .max_input_bytes = (size_t)settings->memory_mb * 1024
                                          * 1024 / PEERS_INPUT_DIVISOR,
                       .met = &entry->met,
                       .self_state = self_state,
                       .message = on_message,
                       .linked = on_linked,
                       .user = entry,
                   },
                   findings);
}

uint64_t
entry_number (const struct entry *entry)
{
  uint64_t number;

  memcpy (&number, entry->incarnation.bytes, sizeof number);
  return number;
}

bool
entry_setup (struct entry *entry, const struct entry_desc *desc,
             struct cyc_findings *findings)
{
  memset (entry, 0, sizeof *entry);
  entry->desc = *desc;
  cyc_id128_random (&entry->incarnation);
  entry->calls = calloc (CALLS_MAX, sizeof *entry->calls);
  entry->accept_in_flight = g_ptr_array_new ();
  entry->accept_at_leader = g_ptr_array_new ();
  entry->accept_copies
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  entry->ended_owners = g_ptr_array_new ();
  g_queue_init (&entry->accept_waiting);
  if (entry->calls == NULL
      || !cyc_pool_setup (&entry->call_pool, CALLS_MAX, NULL)
      || !met_setup (&entry->met, &(struct met_desc){ .max_labels = 64 },
                     findings)
      || !setup_links (entry, findings))
    return false;
  relay_setup (&entry->relay,
               &(struct relay_desc){ .direct = desc->ports->log,
                                     .links = &entry->links,
                                     .first_call = entry_number (entry) });
  mirrors_setup (entry);
  evac_setup (&entry->evacuations, on_evacuation_changed, entry);
  tail_setup (&entry->config_tail, &(struct tail_desc){
                                       .loop = desc->loop,
                                       .log = &entry->mirror.log,
                                       .stream = PT_STREAM_CONFIG,
                                       .keyed = true,
                                       .wait_ms = entry_config_wait_ms (entry),
                                       .gap_ms = 20,
                                       .counts_wait = true,
                                       .record = on_operator_record,
                                       .caught_up = on_operator_caught_up,
                                       .reload = on_operator_reload,
                                       .user = entry,
                                   });
  tail_setup (&entry->lead_tail, &(struct tail_desc){
                                     .loop = desc->loop,
                                     .log = &entry->relay.log,
                                     .stream = PT_STREAM_LEAD,
                                     .wait_ms = ENTRY_LOG_WAIT_MS,
                                     .gap_ms = 20,
                                     .record = lead_on_record,
                                     .user = entry,
                                 });
  entry->vms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  tail_setup (&entry->vms_tail, &(struct tail_desc){
                                    .loop = desc->loop,
                                    .log = &entry->relay.log,
                                    .stream = PT_STREAM_VMS,
                                    .keyed = true,
                                    .wait_ms = ENTRY_VMS_WAIT_MS,
                                    .gap_ms = 200,
                                    .record = on_vm,
                                    .caught_up = mirrors_on_vms,
                                    .user = entry,
                                });
  tail_start (&entry->vms_tail);
  tail_start (&entry->lead_tail);
  ev_init (&entry->timer, on_tick);
  entry->timer.data = entry;
  arm (entry, 0);
  ev_log (EV_STARTED, "version=%s domain=%s region=%s", CYC_VERSION,
          desc->settings->domain.data, desc->settings->region.data);
  return true;
}

void
entry_shutdown (struct entry *entry)
{
  if (entry->owner != NULL)
    owner_end (entry);
  tail_stop (&entry->config_tail);
  tail_stop (&entry->lead_tail);
  tail_stop (&entry->vms_tail);
  g_hash_table_destroy (entry->vms);
  ev_timer_stop (entry->desc.loop, &entry->timer);
  accept_shutdown (entry);
  owner_free_all_ended (entry);
  g_ptr_array_free (entry->ended_owners, TRUE);
  mir_shutdown (&entry->mirror);
  relay_shutdown (&entry->relay);
  pl_shutdown (&entry->links);
  cell_config_free (entry->config);
  met_shutdown (&entry->met);
  cyc_pool_shutdown (&entry->call_pool);
  free (entry->calls);
}

void
entry_stop (struct entry *entry)
{
  uint64_t now_us = hc_now_us ();
  uint64_t grace_ms = entry->desc.settings->grace_ms;

  if (entry->stopping)
    return;
  entry->stopping = true;
  entry->stop_earliest_us = now_us + STOP_LINGER_US;
  entry->stop_deadline_us
      = now_us
        + (grace_ms > STOP_MARGIN_MS ? grace_ms - STOP_MARGIN_MS : 0) * 1000;
  ev_log (EV_DRAINING, "open_calls=%u leading=%d",
          entry->desc.ports->callers->vtable->open_count (
              entry->desc.ports->callers),
          entry->owner != NULL);
  lead_hand_over (entry);
  entry_wake (entry);
}

bool
entry_ready (void *user)
{
  const struct entry *entry = user;
  uint64_t now_us = hc_now_us ();

  return !entry->stopping && entry->config != NULL
         && entry->config_tail.fresh_us + READY_VIEW_MAX_AGE_US > now_us;
}

/* Sums up what the streams that every VM follows have received. */
static void
count_reads (struct entry *entry)
{
  const struct tail *tails[]
      = { &entry->config_tail, &entry->lead_tail, &entry->vms_tail };
  uint64_t *counters = entry->met.counters;

  counters[MET_MIRROR_READS] = entry->mirror.reads;
  counters[MET_MIRROR_BYTES_IN] = entry->mirror.bytes_in;
  counters[MET_MIRROR_BYTES_OUT] = entry->mirror.bytes_out;
  counters[MET_LOG_READ_BYTES] = 0;
  counters[MET_LOG_READ_BYTES_LOST] = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (tails); i++)
    {
      counters[MET_LOG_READ_BYTES] += tails[i]->bytes;
      counters[MET_LOG_READ_BYTES_LOST] += tails[i]->bytes_lost;
    }
}

struct cyc_str
entry_metrics (void *user)
{
  struct entry *entry = user;
  const struct pt_callers *callers = entry->desc.ports->callers;
  uint64_t *counters = entry->met.counters;
  struct pt_callers_load load;

  callers->vtable->load (callers, &load);
  count_reads (entry);
  counters[MET_CALLERS_OPEN_MAX] = load.open_max;
  counters[MET_CALLERS_ENDED_MEMORY] = load.ended_memory;
  counters[MET_CALLERS_ENDED_CROWDED] = load.ended_crowded;
  counters[MET_CALLERS_ENDED_OVERDUE] = load.ended_overdue;
  counters[MET_CALLERS_REFUSED_TOO_LONG] = load.too_long;
  return met_text (&entry->met);
}

struct cyc_str
entry_status (void *user)
{
  const struct entry *entry = user;
  const struct ent_settings *settings = entry->desc.settings;
  GString *text = g_string_new (NULL);
  uint64_t now_us = hc_now_us ();
  gsize len;

  g_string_printf (
      text,
      "%s %s entry leader=%s epoch=%" PRIu64 " leading=%d config=%" PRIu64
      " view_age_ms=%" PRIu64 " ready=%d\n",
      settings->domain.data, settings->vm.data, entry->leader.vm.data,
      entry->leader.epoch, entry->owner != NULL,
      entry->config != NULL ? entry->config->version : 0,
      (now_us - entry->config_tail.fresh_us) / 1000, entry_ready (user));
  for (uint32_t i = 0; i < entry->evacuations.count; i++)
    {
      const struct evac_domain *domain = &entry->evacuations.domains[i];
      struct cell_domain_view view = { 0 };

      if (entry->owner != NULL)
        owner_domain_view (entry, cyc_name_str (&domain->name), &view);
      g_string_append_printf (
          text, "%s evacuated since_ms=%" PRIu64 " for_s=%" PRIu64,
          domain->name.data, domain->since_ms,
          (now_us - domain->since_us) / 1000000);
      if (entry->owner != NULL)
        g_string_append_printf (text, " workers=%u runs=%u", view.workers,
                                view.runs);
      g_string_append_c (text, '\n');
    }
  len = text->len;
  return (struct cyc_str){ g_string_free (text, FALSE), len };
}
