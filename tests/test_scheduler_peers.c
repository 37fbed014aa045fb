/**
 * @file
 * Messages of a scheduler to its peers: targets, permits, job states, leaving
 * workers, transfers of balance, and control records for a process that lost
 * its path to the log.
 */
#include "record.pb-c.h"
#include "tst_sched.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define WAIT_TIMEOUT_MS 6000

/** A peer of one scheduler, by default a gateway, that records the messages it
 * receives. */
struct listener
{
  struct tst_sched_env env;
  struct sc_scheduler *sc;
  struct pl_links links;
  struct ev_timer timer;
  struct met_set met;
  size_t target_count; /**< in the newest Targets message */
  uint64_t targets_version;
  uint32_t grant_count;
  uint32_t lent_slots; /**< in the newest PermitGrant message */
  uint64_t grant_remaining_ms;
  bool target_leaving_received;
  uint32_t job_state;
  bool job_known;
  uint32_t reply_count;
};

static void
on_message (void *user, struct cyc_ref peer, const Cyc__Peer *message)
{
  struct listener *l = user;

  (void)peer;
  if (message->body_case == CYC__PEER__BODY_TARGETS)
    {
      assert_string_equal (message->targets->queue, "check");
      assert_true (message->targets->version > l->targets_version);
      l->targets_version = message->targets->version;
      l->target_count = message->targets->n_targets;
    }
  else if (message->body_case == CYC__PEER__BODY_PERMIT_GRANT)
    {
      l->grant_count++;
      l->lent_slots = 0;
      for (size_t i = 0; i < message->permit_grant->n_lent; i++)
        l->lent_slots += message->permit_grant->lent[i]->slots;
      l->grant_remaining_ms
          = message->permit_grant->deadline_ms - hc_wall_ms ();
    }
  else if (message->body_case == CYC__PEER__BODY_TARGET_LEAVING)
    l->target_leaving_received = true;
  else if (message->body_case == CYC__PEER__BODY_JOB_REPLY)
    {
      l->reply_count++;
      l->job_state = message->job_reply->state;
      l->job_known = message->job_reply->known;
    }
}

static void
on_tick (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  pl_tick (&((struct listener *)timer->data)->links, hc_now_us ());
}

static void
publish_all (struct tst_sched_env *env)
{
  tst_sched_publish (env, "fleet", TST_SCHED_FLEET);
  tst_sched_publish_team (env, "orders", 40000);
  tst_sched_publish_queue (env, "check", "orders", "service", 4, 0, true);
  tst_sched_publish_queue (env, "long", "orders", "batch", 1, 60, true);
}

static void
setup_listener (struct listener *l, const char *vm, const char *domain,
                enum set_role role)
{
  struct cyc_findings found = { 0 };
  struct pl_desc desc = { .loop = NULL,
                          .heartbeat_ms = 100,
                          .silent_ms = 400,
                          .dead_ms = 1000,
                          .message = on_message,
                          .user = l };
  struct set_peer peer = { .role = SET_ROLE_SCHEDULER };

  memset (l, 0, sizeof *l);
  tst_sched_setup (&l->env, 4);
  publish_all (&l->env);
  l->sc = tst_sched_start (&l->env, "entry-1", "north-a");
  assert_true (met_setup (&l->met, &(struct met_desc){ 0 }, &found));
  desc.met = &l->met;
  desc.loop = l->env.loop;
  cyc_name_set (&desc.self.vm, cyc_str_of (vm));
  cyc_name_set (&desc.self.domain, cyc_str_of (domain));
  cyc_name_set (&desc.self.region, CYC_STR ("north"));
  desc.self.role = role;
  cyc_id128_random (&desc.self.incarnation);
  desc.listen = l->sc->settings.scheduler_peer;
  desc.listen.port = tst_sched_free_port ();
  assert_true (pl_setup (&l->links, &desc, &found));
  peer.vm = l->sc->settings.vm;
  peer.domain = l->sc->settings.domain;
  peer.region = l->sc->settings.region;
  peer.address = l->sc->settings.scheduler_peer;
  assert_true (pl_peer_add (&l->links, &peer));
  ev_timer_init (&l->timer, on_tick, 0.01, 0.01);
  l->timer.data = l;
  ev_timer_start (l->env.loop, &l->timer);
}

static void
setup_gateway_listener (struct listener *l)
{
  setup_listener (l, "entry-1", "north-a", SET_ROLE_GATEWAY);
}

static void
shutdown_listener (struct listener *l)
{
  ev_timer_stop (l->env.loop, &l->timer);
  pl_shutdown (&l->links);
  met_shutdown (&l->met);
  tst_sched_shutdown (&l->env);
}

static void
send_to_owner (struct listener *l, const Cyc__Peer *message)
{
  struct cyc_ref ref
      = pl_find (&l->links, CYC_STR ("entry-1"), SET_ROLE_SCHEDULER);

  assert_true (pl_send (&l->links, ref, message));
}

static bool
has_both_targets (void *user)
{
  return ((struct listener *)user)->target_count == 2;
}

static bool
has_received_target_leaving (void *user)
{
  return ((struct listener *)user)->target_leaving_received;
}

/* A gateway without a target list sends no requests, and one with an old list
   sends requests to a worker that is leaving. */
static void
gateways_receive_targets_and_leaving_workers (void **state)
{
  static struct listener l;
  uint32_t t;

  (void)state;
  setup_gateway_listener (&l);
  assert_true (
      tst_sched_run_until (&l.env, has_both_targets, &l, WAIT_TIMEOUT_MS));
  for (t = 0; l.sc->tasks[t].kind != CYC_KIND_SERVICE; t++)
    ;
  tst_sched_find_worker (&l.env,
                         l.sc->workers[l.sc->tasks[t].worker].name.data)
      ->faults.draining
      = true;
  assert_true (tst_sched_run_until (&l.env, has_received_target_leaving, &l,
                                    WAIT_TIMEOUT_MS));
  shutdown_listener (&l);
}

static void
send_permit_demand (struct listener *l, uint32_t seat, uint32_t wanted)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__PermitDemand body = CYC__PERMIT_DEMAND__INIT;
  Cyc__PermitUse use = CYC__PERMIT_USE__INIT;
  Cyc__PermitUse *uses[] = { &use };

  use.worker = "w-0";
  use.wanted = wanted;
  body.seat = seat;
  body.n_uses = 1;
  body.uses = uses;
  message.body_case = CYC__PEER__BODY_PERMIT_DEMAND;
  message.permit_demand = &body;
  send_to_owner (l, &message);
  tst_sched_run (&l->env, 100);
}

/* An owner must lend no permits until those of an earlier owner have expired:
   the permit lease of 1,000 ms and a clock error of 50 ms after its claim. It
   then lends the remainder of 8 slots over 3 seats, with a deadline. */
static void
permits_wait_until_those_of_the_earlier_owner_expire (void **state)
{
  static struct listener l;
  uint64_t earlier_permits_end_us;

  (void)state;
  setup_gateway_listener (&l);
  assert_true (tst_sched_run_until (&l.env, tst_sched_starts_allowed, l.sc,
                                    WAIT_TIMEOUT_MS));
  earlier_permits_end_us = l.sc->claimed_us + 1050 * SC_US_PER_MS;
  while (hc_now_us () < earlier_permits_end_us - 150 * SC_US_PER_MS)
    {
      send_permit_demand (&l, 0, 8);
      assert_int_equal (l.lent_slots, 0);
    }
  tst_sched_run (&l.env, 400);
  send_permit_demand (&l, 0, 8);
  assert_true (l.grant_count > 0);
  assert_int_equal (l.lent_slots, 2);
  assert_true (l.grant_remaining_ms <= 1000);
  send_permit_demand (&l, 1, 8);
  assert_int_equal (l.lent_slots, 0);
  shutdown_listener (&l);
}

static bool
has_received_reply (void *user)
{
  return ((struct listener *)user)->reply_count > 0;
}

static void
query_job (struct listener *l, const struct cyc_id128 *id)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__JobQuery body = CYC__JOB_QUERY__INIT;

  l->reply_count = 0;
  body.query_id = 7;
  body.job_id.data = (uint8_t *)id->bytes;
  body.job_id.len = sizeof id->bytes;
  message.body_case = CYC__PEER__BODY_JOB_QUERY;
  message.job_query = &body;
  send_to_owner (l, &message);
  assert_true (
      tst_sched_run_until (&l->env, has_received_reply, l, WAIT_TIMEOUT_MS));
}

/* The reply to a job query must carry the current state of the job, and must
   mark an unknown job as not known. */
static void
job_queries_are_answered (void **state)
{
  static struct listener l;
  struct cyc_id128 unknown = { { 1 } };
  struct cyc_id128 job;

  (void)state;
  setup_gateway_listener (&l);
  assert_true (tst_sched_run_until (&l.env, tst_sched_starts_allowed, l.sc,
                                    WAIT_TIMEOUT_MS));
  job = tst_sched_submit (&l.env, "long", "orders", 1);
  tst_sched_run (&l.env, 800);
  query_job (&l, &job);
  assert_true (l.job_known);
  assert_int_equal (l.job_state, CYC_JOB_RUNNING);
  query_job (&l, &unknown);
  assert_false (l.job_known);
  shutdown_listener (&l);
}

static bool
broken_append (struct lc_log *log, const struct lc_append *append)
{
  (void)log;
  (void)append;
  return false;
}

static bool
broken_read (struct lc_log *log, const struct lc_read *read)
{
  (void)log;
  (void)read;
  return false;
}

static const struct lc_vtable broken_log
    = { .append = broken_append, .read = broken_read };

static bool
has_late_queue (void *user)
{
  struct sc_scheduler *sc = user;

  return cyc_led_queue (ctl_ledger (&sc->ctl), CYC_STR ("late")) != NULL;
}

/* A process that alone cannot reach the log must stay up to date through its
   peers. One that never reached the log needs a snapshot from them. */
static void
control_records_reach_a_process_without_the_log (void **state)
{
  static struct tst_sched_env env;
  struct sc_scheduler *lost_log;
  struct sc_scheduler *without_log;

  (void)state;
  tst_sched_setup (&env, 2);
  publish_all (&env);
  tst_sched_start (&env, "entry-1", "north-a");
  lost_log = tst_sched_start (&env, "entry-2", "north-a");
  tst_sched_run (&env, 1000);
  lost_log->log.log.vtable = &broken_log;
  without_log = tst_sched_start (&env, "entry-3", "north-a");
  without_log->log.log.vtable = &broken_log;
  tst_sched_publish_queue (&env, "late", "orders", "batch", 1, 1, true);
  assert_true (
      tst_sched_run_until (&env, has_late_queue, lost_log, WAIT_TIMEOUT_MS));
  assert_true (tst_sched_run_until (&env, has_late_queue, without_log,
                                    WAIT_TIMEOUT_MS));
  tst_sched_run (&env, 500);
  assert_true (hc_now_us () - ctl_fresh_us (&lost_log->ctl) < 3 * SC_US_PER_S);
  tst_sched_shutdown (&env);
}

/* Returns the first transfer record in the log, or NULL. */
static Cyc__Record *
transfer_record (const struct tst_sched_env *env)
{
  for (uint32_t i = 0; i < env->log.stream_count; i++)
    {
      GPtrArray *records = env->log.streams[i].records;

      for (guint r = 0; r < records->len; r++)
        {
          gsize len;
          const uint8_t *data = g_bytes_get_data (records->pdata[r], &len);
          Cyc__Record *record = cyc__record__unpack (NULL, len, data);

          if (record != NULL
              && record->body_case == CYC__RECORD__BODY_TRANSFER)
            return record;
          if (record != NULL)
            cyc__record__free_unpacked (record, NULL);
        }
    }
  return NULL;
}

/* Reports as the owner of north-b that team orders wants 30,000 millicores.
   Returns whether north-b then has more than its initial 20,000. */
static bool
balance_has_moved (void *user)
{
  struct listener *l = user;
  Cyc__TeamUse use = CYC__TEAM_USE__INIT;
  Cyc__TeamUse *uses[] = { &use };
  Cyc__Aggregate aggregate = CYC__AGGREGATE__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  use.team = (char *)"orders";
  use.wanted_millicores = 30000;
  aggregate.domain = (char *)"north-b";
  aggregate.epoch = 1;
  aggregate.n_teams = 1;
  aggregate.teams = uses;
  message.body_case = CYC__PEER__BODY_AGGREGATE;
  message.aggregate = &aggregate;
  send_to_owner (l, &message);
  return cyc_led_balance (ctl_ledger (&l->sc->ctl), CYC_STR ("orders"),
                          CYC_STR ("north-b"))
             .millicores
         > 20000;
}

/* Idle balance must move to the domain that needs it, and the transfer record
   must carry the epoch of its writer. Without the epoch, a transfer that
   reaches the log after a takeover would count although the next owner has
   already used the balance. */
static void
idle_balance_moves_under_the_owners_epoch (void **state)
{
  static struct listener l;
  const struct cyc_ledger *led;
  Cyc__Record *record;

  (void)state;
  setup_listener (&l, "entry-0", "north-b", SET_ROLE_SCHEDULER);
  assert_true (tst_sched_run_until (&l.env, tst_sched_starts_allowed, l.sc,
                                    WAIT_TIMEOUT_MS));
  assert_true (
      tst_sched_run_until (&l.env, balance_has_moved, &l, WAIT_TIMEOUT_MS));
  led = ctl_ledger (&l.sc->ctl);
  assert_int_equal (
      cyc_led_balance (led, CYC_STR ("orders"), CYC_STR ("north-a")).millicores
          + cyc_led_balance (led, CYC_STR ("orders"), CYC_STR ("north-b"))
                .millicores,
      40000);
  record = transfer_record (&l.env);
  assert_non_null (record);
  assert_true (l.sc->epoch > 0);
  assert_int_equal (record->transfer->epoch, l.sc->epoch);
  cyc__record__free_unpacked (record, NULL);
  shutdown_listener (&l);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (gateways_receive_targets_and_leaving_workers),
    cmocka_unit_test (permits_wait_until_those_of_the_earlier_owner_expire),
    cmocka_unit_test (job_queries_are_answered),
    cmocka_unit_test (idle_balance_moves_under_the_owners_epoch),
    cmocka_unit_test (control_records_reach_a_process_without_the_log),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
