/**
 * @file
 * What a scheduler tells its peers: targets, permits, job states, leaving
 * workers, and control records to a process that lost the log.
 */
#include "record.pb-c.h"
#include "tst_cell.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define WAIT_MS 6000

/** A gateway that only listens. */
struct listener
{
  struct tst_sched_env env;
  struct sc_scheduler *sc;
  struct pl_links links;
  struct ev_timer timer;
  struct met_set met;
  size_t targets; /**< of the newest Targets */
  uint64_t version;
  uint32_t grants;
  uint32_t lent;
  uint64_t grant_left_ms;
  bool leaving;
  uint32_t job_state;
  bool job_known;
  uint32_t replies;
};

static void
on_message (void *user, struct cyc_ref peer, const Cyc__Peer *message)
{
  struct listener *l = user;

  (void)peer;
  if (message->body_case == CYC__PEER__BODY_TARGETS)
    {
      assert_string_equal (message->targets->queue, "check");
      assert_true (message->targets->version > l->version);
      l->version = message->targets->version;
      l->targets = message->targets->n_targets;
    }
  else if (message->body_case == CYC__PEER__BODY_PERMIT_GRANT)
    {
      l->grants++;
      l->lent = 0;
      for (size_t i = 0; i < message->permit_grant->n_lent; i++)
        l->lent += message->permit_grant->lent[i]->slots;
      l->grant_left_ms = message->permit_grant->deadline_ms - hc_wall_ms ();
    }
  else if (message->body_case == CYC__PEER__BODY_TARGET_LEAVING)
    l->leaving = true;
  else if (message->body_case == CYC__PEER__BODY_JOB_REPLY)
    {
      l->replies++;
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
publish (struct tst_sched_env *env)
{
  tst_sched_publish (env, "fleet", TST_SCHED_FLEET);
  tst_sched_publish_team (env, "orders", 40000);
  tst_sched_publish_queue (env, "check", "orders", "service", 4, 0, true);
  tst_sched_publish_queue (env, "long", "orders", "batch", 1, 60, true);
}

static void
start_as (struct listener *l, const char *vm, const char *domain,
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
  publish (&l->env);
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
start (struct listener *l)
{
  start_as (l, "entry-1", "north-a", SET_ROLE_GATEWAY);
}

static void
stop (struct listener *l)
{
  ev_timer_stop (l->env.loop, &l->timer);
  pl_shutdown (&l->links);
  met_shutdown (&l->met);
  tst_sched_shutdown (&l->env);
}

static void
tell (struct listener *l, const Cyc__Peer *message)
{
  struct cyc_ref ref
      = pl_find (&l->links, CYC_STR ("entry-1"), SET_ROLE_SCHEDULER);

  assert_true (pl_send (&l->links, ref, message));
}

static bool
has_both_targets (void *user)
{
  return ((struct listener *)user)->targets == 2;
}

static bool
heard_leaving (void *user)
{
  return ((struct listener *)user)->leaving;
}

/* A gateway without the list sends nothing, and one with an old list sends to
   a worker that is going away. */
static void
gateways_hear_of_targets_and_of_leaving_ones (void **state)
{
  static struct listener l;
  uint32_t t;

  (void)state;
  start (&l);
  assert_true (tst_sched_run_until (&l.env, has_both_targets, &l, WAIT_MS));
  for (t = 0; l.sc->tasks[t].kind != CYC_KIND_SERVICE; t++)
    ;
  tst_sched_find_worker (&l.env,
                         l.sc->workers[l.sc->tasks[t].worker].name.data)
      ->faults.draining
      = true;
  assert_true (tst_sched_run_until (&l.env, heard_leaving, &l, WAIT_MS));
  stop (&l);
}

static void
demand (struct listener *l, uint32_t seat, uint32_t wanted)
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
  tell (l, &message);
  tst_sched_run (&l->env, 100);
}

/* An owner lends nothing until the permits of an earlier owner are over, then
   the remainder of 8 slots over 3 seats, with an end that the gateway knows.
 */
static void
permits_wait_for_those_of_the_earlier_owner (void **state)
{
  static struct listener l;
  uint64_t fence_us;

  (void)state;
  start (&l);
  assert_true (
      tst_sched_run_until (&l.env, tst_sched_starts_allowed, l.sc, WAIT_MS));
  fence_us = l.sc->claimed_us + 1050 * SC_US_PER_MS;
  while (hc_now_us () < fence_us - 150 * SC_US_PER_MS)
    {
      demand (&l, 0, 8);
      assert_int_equal (l.lent, 0);
    }
  tst_sched_run (&l.env, 400);
  demand (&l, 0, 8);
  assert_true (l.grants > 0);
  assert_int_equal (l.lent, 2);
  assert_true (l.grant_left_ms <= 1000);
  demand (&l, 1, 8);
  assert_int_equal (l.lent, 0);
  stop (&l);
}

static bool
heard_reply (void *user)
{
  return ((struct listener *)user)->replies > 0;
}

static void
query (struct listener *l, const struct cyc_id128 *id)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__JobQuery body = CYC__JOB_QUERY__INIT;

  l->replies = 0;
  body.query_id = 7;
  body.job_id.data = (uint8_t *)id->bytes;
  body.job_id.len = sizeof id->bytes;
  message.body_case = CYC__PEER__BODY_JOB_QUERY;
  message.job_query = &body;
  tell (l, &message);
  assert_true (tst_sched_run_until (&l->env, heard_reply, l, WAIT_MS));
}

/* A caller must be told of a job as it is, and of an unknown one that it is
   not known. */
static void
job_queries_are_answered (void **state)
{
  static struct listener l;
  struct cyc_id128 unknown = { { 1 } };
  struct cyc_id128 job;

  (void)state;
  start (&l);
  assert_true (
      tst_sched_run_until (&l.env, tst_sched_starts_allowed, l.sc, WAIT_MS));
  job = tst_sched_submit (&l.env, "long", "orders", 1);
  tst_sched_run (&l.env, 800);
  query (&l, &job);
  assert_true (l.job_known);
  assert_int_equal (l.job_state, CYC_JOB_RUNNING);
  query (&l, &unknown);
  assert_false (l.job_known);
  stop (&l);
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
knows_late_queue (void *user)
{
  struct sc_scheduler *sc = user;

  return cyc_led_queue (ctl_ledger (&sc->ctl), CYC_STR ("late")) != NULL;
}

/* A process that alone lost the log stays fresh through its peers, also when
   it never had the log and needs a snapshot. */
static void
control_records_reach_a_process_without_the_log (void **state)
{
  static struct tst_sched_env env;
  struct sc_scheduler *cut;
  struct sc_scheduler *never;

  (void)state;
  tst_sched_setup (&env, 2);
  publish (&env);
  tst_sched_start (&env, "entry-1", "north-a");
  cut = tst_sched_start (&env, "entry-2", "north-a");
  tst_sched_run (&env, 1000);
  cut->log.log.vtable = &broken_log;
  never = tst_sched_start (&env, "entry-3", "north-a");
  never->log.log.vtable = &broken_log;
  tst_sched_publish_queue (&env, "late", "orders", "batch", 1, 1, true);
  assert_true (tst_sched_run_until (&env, knows_late_queue, cut, WAIT_MS));
  assert_true (tst_sched_run_until (&env, knows_late_queue, never, WAIT_MS));
  tst_sched_run (&env, 500);
  assert_true (hc_now_us () - ctl_fresh_us (&cut->ctl) < 3 * SC_US_PER_S);
  tst_sched_shutdown (&env);
}

/* The first transfer in the control stream, or NULL. */
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

/* Says as the owner of north-b that team orders needs 30,000 millicores. */
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
  tell (l, &message);
  return cyc_led_balance (ctl_ledger (&l->sc->ctl), CYC_STR ("orders"),
                          CYC_STR ("north-b"))
             .millicores
         > 20000;
}

/* Idle balance must reach the domain that needs it, and the record must carry
   the epoch of its writer: without it a transfer that reaches the log after a
   takeover would count although the next owner has used the balance. */
static void
idle_balance_moves_under_the_owners_epoch (void **state)
{
  static struct listener l;
  const struct cyc_ledger *led;
  Cyc__Record *record;

  (void)state;
  start_as (&l, "entry-0", "north-b", SET_ROLE_SCHEDULER);
  assert_true (
      tst_sched_run_until (&l.env, tst_sched_starts_allowed, l.sc, WAIT_MS));
  assert_true (tst_sched_run_until (&l.env, balance_has_moved, &l, WAIT_MS));
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
  stop (&l);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (gateways_hear_of_targets_and_of_leaving_ones),
    cmocka_unit_test (permits_wait_for_those_of_the_earlier_owner),
    cmocka_unit_test (job_queries_are_answered),
    cmocka_unit_test (idle_balance_moves_under_the_owners_epoch),
    cmocka_unit_test (control_records_reach_a_process_without_the_log),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
