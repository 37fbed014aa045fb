#include "tst_fixture.h"

#include <cyclamendrum/record.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <assert.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define TICK_S 0.002

struct named_text
{
  const char *name;
  const char *body;
};

/* Names and bodies of the configuration items. The body of the first is a
   format that takes the entry seats of both domains. */
static const struct named_text config_items[] = {
  { "fleet", "{\"regions\":[{\"name\":\"north\",\"domains\":["
             "{\"name\":\"north-a\",\"weight\":1,\"entry_seats\":%u},"
             "{\"name\":\"north-b\",\"weight\":1,\"entry_seats\":%u}]}],"
             "\"largest_worker\":{\"millicores\":64000,\"memory_mib\":131072,"
             "\"accelerators\":8},\"shards_per_domain\":1}" },
  { "team/orders", "{\"team\":\"orders\",\"share_permille\":300,"
                   "\"limit_millicores\":400000}" },
  { "team/stock", "{\"team\":\"stock\",\"share_permille\":200,"
                  "\"limit_millicores\":400000}" },
  { "queue/order-check",
    "{\"queue\":\"order-check\",\"team\":\"orders\",\"kind\":\"service\","
    "\"repeatable\":false,\"tasks\":2,\"millicores\":1000,"
    "\"memory_mib\":512,\"run_s\":0}" },
  { "queue/round-plan",
    "{\"queue\":\"round-plan\",\"team\":\"orders\",\"kind\":\"service\","
    "\"repeatable\":true,\"tasks\":2,\"millicores\":1000,"
    "\"memory_mib\":512,\"run_s\":0}" },
  { "queue/menu",
    "{\"queue\":\"menu\",\"team\":\"stock\",\"kind\":\"service\","
    "\"open\":true,\"repeatable\":true,\"tasks\":2,\"millicores\":1000,"
    "\"memory_mib\":512,\"run_s\":0}" },
  { "queue/tally",
    "{\"queue\":\"tally\",\"team\":\"stock\",\"kind\":\"batch\","
    "\"repeatable\":true,\"tasks\":2,\"millicores\":1000,"
    "\"memory_mib\":512,\"run_s\":5}" },
  { "queue/survey",
    "{\"queue\":\"survey\",\"team\":\"stock\",\"kind\":\"gang\","
    "\"repeatable\":true,\"tasks\":2,\"millicores\":1000,"
    "\"memory_mib\":512,\"run_s\":5}" },
};

#define CONFIG_ITEM_COUNT (sizeof config_items / sizeof config_items[0])

/* Teams and their API keys. */
static const struct named_text keys[]
    = { { "orders", "orders-key" }, { "stock", "stock-key" } };

static uint16_t
free_port (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&address, len), 0);
  assert_int_equal (getsockname (fd, (struct sockaddr *)&address, &len), 0);
  close (fd);
  return ntohs (address.sin_port);
}

static struct set_address
free_address (void)
{
  struct set_address address = { .host = "127.0.0.1", .port = free_port () };

  return address;
}

static void
reply_to_request (struct tst_target *target, struct cyc_ref ref,
                  const char *body)
{
  struct hs_reply reply
      = { .status = target->behaviour == TST_ERROR ? 500 : 200,
          .body = cyc_str_of (body) };

  if (target->behaviour == TST_DRAINING)
    reply.headers[reply.header_count++]
        = (struct hs_reply_header){ "Draining", "1" };
  target->running--;
  hs_reply (&target->hs, ref, &reply);
}

static void
reply_not_started (struct tst_target *target, struct cyc_ref ref)
{
  struct hs_reply reply = { .status = 503, .header_count = 1 };

  reply.headers[0] = (struct hs_reply_header){ "Not-Started", "1" };
  hs_reply (&target->hs, ref, &reply);
}

static void
add_open_request (struct tst_target *target, const struct hs_call *call)
{
  for (size_t i = 0;
       i < sizeof target->open_requests / sizeof target->open_requests[0]; i++)
    if (target->open_requests[i].ref.generation == 0)
      {
        target->open_requests[i].ref = call->ref;
        target->open_requests[i].due_us
            = target->behaviour == TST_SILENT
                  ? UINT64_MAX
                  : hc_now_us () + target->delay_us;
        snprintf (target->open_requests[i].body,
                  sizeof target->open_requests[i].body, "%.*s",
                  CYC_FMT (call->body));
        return;
      }
  fail_msg ("too many open requests at a target");
}

static void
on_target_call (void *user, const struct hs_call *call)
{
  struct tst_target *target = user;

  if (target->fixture->faulty_requests_left == 0)
    target->behaviour = TST_ANSWER;
  else if (target->behaviour != TST_ANSWER)
    target->fixture->faulty_requests_left--;
  if (target->behaviour == TST_NOT_STARTED)
    {
      reply_not_started (target, call->ref);
      return;
    }
  target->starts++;
  target->running++;
  if (target->running > target->max_running)
    target->max_running = target->running;
  if (target->behaviour == TST_DROP || target->behaviour == TST_DROP_ONCE)
    {
      if (target->behaviour == TST_DROP_ONCE)
        target->behaviour = TST_NOT_STARTED;
      target->running--;
      fk_close_without_answer (&target->hs, call->ref, call->connection);
    }
  else
    add_open_request (target, call);
}

static void
tick_target (struct tst_target *target, uint64_t now_us)
{
  for (size_t i = 0;
       i < sizeof target->open_requests / sizeof target->open_requests[0]; i++)
    if (target->open_requests[i].ref.generation != 0
        && target->open_requests[i].due_us <= now_us)
      {
        struct cyc_ref ref = target->open_requests[i].ref;

        target->open_requests[i].ref.generation = 0;
        reply_to_request (target, ref, target->open_requests[i].body);
      }
}

static void
send_grant (struct tst_fixture *fixture)
{
  Cyc__PermitLent row = CYC__PERMIT_LENT__INIT;
  Cyc__PermitLent *list[] = { &row };
  Cyc__PermitGrant grant = CYC__PERMIT_GRANT__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  fixture->grant_due_us = 0;
  row.worker = "w0";
  row.slots = fixture->lending.slots;
  row.connections = fixture->lending.slots;
  grant.epoch = fixture->epoch;
  grant.valid_for_ms = fixture->lending.valid_for_ms;
  grant.deadline_ms = fixture->grant_deadline_ms;
  grant.n_lent = 1;
  grant.lent = list;
  message.body_case = CYC__PEER__BODY_PERMIT_GRANT;
  message.permit_grant = &grant;
  pl_send (&fixture->owner, fixture->permit_peer, &message);
}

static void
on_tick (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct tst_fixture *fixture = timer->data;
  uint64_t now_us = hc_now_us ();

  (void)loop;
  (void)events;
  for (uint32_t i = 0; i < fixture->options.targets; i++)
    tick_target (&fixture->targets[i], now_us);
  if (fixture->grant_due_us != 0 && now_us >= fixture->grant_due_us)
    send_grant (fixture);
  pl_tick (&fixture->owner, now_us);
}

void
tst_run_us (struct tst_fixture *fixture, uint64_t us)
{
  uint64_t end_us = hc_now_us () + us;

  while (hc_now_us () < end_us)
    ev_run (fixture->loop, EVRUN_ONCE);
}

bool
tst_run_until (struct tst_fixture *fixture, const bool *flag)
{
  uint64_t end_us = hc_now_us () + TST_WAIT_TIMEOUT_US;

  while (!*flag && hc_now_us () < end_us)
    ev_run (fixture->loop, EVRUN_ONCE);
  return *flag;
}

static void
on_appended (void *user, const struct lc_append_result *result)
{
  assert_int_equal (result->outcome, LC_OK);
  *(bool *)user = true;
}

void
tst_log_append (struct tst_fixture *fixture, struct cyc_str stream,
                struct cyc_str record)
{
  bool done = false;

  assert_true (lc_append (
      &fixture->http_log.log,
      &(struct lc_append){ .stream = stream,
                           .record = record,
                           .deadline_us = hc_now_us () + TST_WAIT_TIMEOUT_US,
                           .done = on_appended,
                           .user = &done }));
  assert_true (tst_run_until (fixture, &done));
  free ((void *)record.data);
}

static void
publish_config (struct tst_fixture *fixture)
{
  struct cyc_config_edit edits[CONFIG_ITEM_COUNT];
  char fleet[512];
  struct cyc_id128 id;
  struct cyc_str record;
  struct cyc_digest digest;

  snprintf (fleet, sizeof fleet, config_items[0].body, fixture->options.seats,
            fixture->options.seats);
  for (size_t i = 0; i < CONFIG_ITEM_COUNT; i++)
    edits[i] = (struct cyc_config_edit){
      .name = cyc_str_of (config_items[i].name),
      .body = cyc_str_of (i == 0 ? fleet : config_items[i].body),
    };
  cyc_id128_random (&id);
  assert_true (cyc_rec_config (&id, CYC_STR ("test"), edits, CONFIG_ITEM_COUNT,
                               &record));
  tst_log_append (fixture, CYC_STR ("control"), record);
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      cyc_id128_random (&id);
      cyc_digest_of (cyc_str_of (keys[i].body), &digest);
      assert_true (cyc_rec_key_grant (&id, CYC_STR ("test"), &digest,
                                      cyc_str_of (keys[i].name), 0, &record));
      tst_log_append (fixture, CYC_STR ("control"), record);
    }
}

void
tst_withdraw_key (struct tst_fixture *fixture, const char *key)
{
  struct cyc_digest digest;
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_digest_of (cyc_str_of (key), &digest);
  cyc_id128_random (&id);
  assert_true (cyc_rec_key_withdraw (&id, CYC_STR ("test"), &digest, &record));
  tst_log_append (fixture, CYC_STR ("control"), record);
}

static void
on_owner_message (void *user, struct cyc_ref peer, const Cyc__Peer *message)
{
  struct tst_fixture *fixture = user;
  const struct tst_lending *lending = &fixture->lending;

  if (message->body_case != CYC__PEER__BODY_PERMIT_DEMAND
      || lending->slots == 0)
    return;
  fixture->permit_peer = peer;
  fixture->grant_due_us = hc_now_us () + lending->delay_us;
  fixture->grant_deadline_ms
      = lending->deadline_offset_ms == 0
            ? 0
            : (uint64_t)((int64_t)hc_wall_ms () + lending->deadline_offset_ms);
}

static void
owner_self_state (void *user, struct pl_self_state *out)
{
  const struct tst_fixture *fixture = user;

  memset (out, 0, sizeof *out);
  out->owned_epoch = fixture->epoch;
}

static struct set_peer
make_peer (const char *vm, const char *domain, enum set_role role,
           struct set_address address)
{
  struct set_peer peer = { .role = role, .address = address };

  cyc_name_set (&peer.vm, cyc_str_of (vm));
  cyc_name_set (&peer.domain, cyc_str_of (domain));
  cyc_name_set (&peer.region, CYC_STR ("north"));
  return peer;
}

static void
start_owner (struct tst_fixture *fixture)
{
  struct pl_desc desc = {
    .loop = fixture->loop,
    .self = { .role = SET_ROLE_SCHEDULER },
    .listen = fixture->owner_address,
    .heartbeat_ms = 100,
    .self_state = owner_self_state,
    .message = on_owner_message,
    .user = fixture,
  };
  struct cyc_findings found = { 0 };

  cyc_name_set (&desc.self.vm, CYC_STR ("owner"));
  cyc_name_set (&desc.self.domain, CYC_STR ("north-a"));
  cyc_name_set (&desc.self.region, CYC_STR ("north"));
  cyc_id128_random (&desc.self.incarnation);
  assert_true (pl_setup (&fixture->owner, &desc, &found));
  for (uint32_t i = 0; i < fixture->options.gateways; i++)
    {
      const struct set_settings *set = fixture->gateways[i].settings;
      struct set_peer peer = { .vm = set->vm,
                               .domain = set->domain,
                               .region = set->region,
                               .role = SET_ROLE_GATEWAY,
                               .address = set->gateway_peer };

      assert_true (pl_peer_add (&fixture->owner, &peer));
    }
}

static void
write_settings (struct tst_fixture *fixture, uint32_t i)
{
  static const char *const vms[] = { "gw0", "gw1", "gw2" };
  struct set_settings *set = calloc (1, sizeof *set);
  struct cyc_findings found = { 0 };
  bool in_other_domain
      = i > 0 && fixture->options.second_gateway_in_other_domain;
  char text[1200];

  assert (i < TST_MAX_GATEWAYS);
  snprintf (text, sizeof text,
            "{\"vm\":\"%s\",\"domain\":\"%s\",\"region\":\"north\","
            "\"seat\":%u,\"gateway\":{\"http\":\"127.0.0.1:%u\","
            "\"peer\":\"127.0.0.1:%u\"},\"scheduler\":{"
            "\"http\":\"127.0.0.1:1\",\"peer\":\"127.0.0.1:1\"},"
            "\"log\":{\"url\":\"http://127.0.0.1:%u\",\"timeout_ms\":500,"
            "\"wait_ms\":200},\"vm_list\":{\"url\":\"http://127.0.0.1:1\"},"
            "\"silent_ms\":300,\"peer_heartbeat_ms\":100,\"tick_ms\":2,"
            "\"drain_ms\":%u,\"retry_permille\":%u,\"request_max_ms\":%u,"
            "\"keys\":{\"stale_ms\":%u}}",
            vms[i], in_other_domain ? "north-b" : "north-a",
            fixture->options.same_seat ? 0 : i, free_port (), free_port (),
            i == 1 && fixture->options.second_gateway_without_log
                ? free_port ()
                : fk_port (&fixture->log.hs),
            fixture->options.drain_ms, fixture->options.retry_permille,
            fixture->options.request_max_ms, fixture->options.key_stale_ms);
  if (!set_parse (cyc_str_of (text), CYC_STR ("test"), set, &found))
    fail_msg ("%s: %s", found.rows[0].place, found.rows[0].text);
  fixture->gateways[i].settings = set;
}

static void
add_peers (struct tst_fixture *fixture)
{
  for (uint32_t i = 0; i < fixture->options.gateways; i++)
    {
      struct set_settings *set = fixture->gateways[i].settings;

      set->peers[set->peer_count++] = make_peer (
          "owner", "north-a", SET_ROLE_SCHEDULER, fixture->owner_address);
      for (uint32_t j = 0; j < fixture->options.gateways; j++)
        if (j != i)
          {
            const struct set_settings *other = fixture->gateways[j].settings;

            set->peers[set->peer_count++]
                = make_peer (other->vm.data, other->domain.data,
                             SET_ROLE_GATEWAY, other->gateway_peer);
          }
    }
}

static void
on_stopped (void *user)
{
  *(bool *)user = true;
}

void
tst_gateway_start (struct tst_fixture *fixture, uint32_t i)
{
  struct tst_gateway *gateway = &fixture->gateways[i];
  struct cyc_findings found = { 0 };
  uint64_t end_us = hc_now_us () + TST_WAIT_TIMEOUT_US;

  gateway->stopped = false;
  if (!gw_setup (&gateway->gw,
                 &(struct gw_desc){
                     .loop = fixture->loop,
                     .settings = gateway->settings,
                     .max_requests = fixture->options.max_requests,
                     .max_kept_requests = fixture->options.max_kept_requests,
                     .stopped = on_stopped,
                     .user = &gateway->stopped },
                 &found))
    fail_msg ("%s: %s", found.rows[0].place, found.rows[0].text);
  gateway->started = true;
  while (!gw_ready (&gateway->gw) && hc_now_us () < end_us)
    ev_run (fixture->loop, EVRUN_ONCE);
  assert_true (gw_ready (&gateway->gw));
}

void
tst_gateway_shutdown (struct tst_fixture *fixture, uint32_t i)
{
  if (fixture->gateways[i].started)
    gw_shutdown (&fixture->gateways[i].gw);
  fixture->gateways[i].started = false;
}

static void
start_target (struct tst_fixture *fixture, uint32_t i)
{
  struct tst_target *target = &fixture->targets[i];
  struct cyc_findings found = { 0 };

  target->fixture = fixture;
  assert_true (hs_setup (&target->hs,
                         &(struct hs_desc){ .loop = fixture->loop,
                                            .address = "127.0.0.1",
                                            .port = target->port,
                                            .handle = on_target_call,
                                            .user = target },
                         &found));
  target->port = fk_port (&target->hs);
}

void
tst_set_behaviour (struct tst_fixture *fixture, uint32_t i,
                   enum tst_behaviour behaviour)
{
  struct tst_target *target = &fixture->targets[i];

  if (behaviour == TST_DOWN && target->behaviour != TST_DOWN)
    hs_shutdown (&target->hs);
  target->behaviour = behaviour;
}

static uint32_t
count_linked_peers (const struct pl_links *links)
{
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t cursor = 0;
  uint32_t linked = 0;

  while (pl_next (links, &cursor, &ref, &view))
    linked += view.linked;
  return linked;
}

/* Waits for the full mesh: the owner is linked to every gateway, and each
   gateway to the owner and to every other gateway. */
static void
wait_until_linked (struct tst_fixture *fixture)
{
  uint32_t gateways = fixture->options.gateways;
  uint32_t wanted = gateways + gateways * gateways;
  uint64_t end_us = hc_now_us () + TST_WAIT_TIMEOUT_US;
  uint32_t linked = 0;

  while (linked < wanted && hc_now_us () < end_us)
    {
      ev_run (fixture->loop, EVRUN_ONCE);
      linked = count_linked_peers (&fixture->owner);
      for (uint32_t i = 0; i < gateways; i++)
        linked += count_linked_peers (&fixture->gateways[i].gw.state->links);
    }
  assert_int_equal (linked, wanted);
}

static void
apply_options (struct tst_fixture *fixture, const struct tst_options *options)
{
  fixture->options = *options;
  if (fixture->options.gateways == 0)
    fixture->options.gateways = 1;
  if (fixture->options.targets == 0)
    fixture->options.targets = 1;
  if (fixture->options.slots == 0)
    fixture->options.slots = 8;
  if (fixture->options.seats == 0)
    fixture->options.seats = 1;
  if (fixture->options.key_stale_ms == 0)
    fixture->options.key_stale_ms = 5000;
  if (fixture->options.drain_ms == 0)
    fixture->options.drain_ms = 8000;
  if (fixture->options.request_max_ms == 0)
    fixture->options.request_max_ms = 3000;
}

void
tst_fixture_setup (struct tst_fixture *fixture,
                   const struct tst_options *options)
{
  struct cyc_findings found = { 0 };
  char url[64];

  memset (fixture, 0, sizeof *fixture);
  apply_options (fixture, options);
  fixture->epoch = 1;
  fixture->faulty_requests_left = UINT32_MAX;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  assert_true (fk_log_setup (&fixture->log, fixture->loop, 0, &found));
  assert_true (hc_setup (&fixture->client,
                         &(struct hc_desc){ .loop = fixture->loop }, &found));
  snprintf (url, sizeof url, "http://127.0.0.1:%u",
            fk_port (&fixture->log.hs));
  assert_true (
      lc_http_setup (&fixture->http_log,
                     &(struct lc_http_desc){ .client = &fixture->client,
                                             .url = cyc_str_of (url) },
                     &found));
  for (uint32_t i = 0; i < fixture->options.targets; i++)
    start_target (fixture, i);
  fixture->owner_address = free_address ();
  for (uint32_t i = 0; i < fixture->options.gateways; i++)
    write_settings (fixture, i);
  add_peers (fixture);
  start_owner (fixture);
  ev_timer_init (&fixture->timer, on_tick, TICK_S, TICK_S);
  fixture->timer.data = fixture;
  ev_timer_start (fixture->loop, &fixture->timer);
  publish_config (fixture);
  for (uint32_t i = 0; i < fixture->options.gateways; i++)
    tst_gateway_start (fixture, i);
  wait_until_linked (fixture);
  tst_send_targets (fixture, fixture->options.targets);
}

void
tst_fixture_shutdown (struct tst_fixture *fixture)
{
  for (uint32_t i = 0; i < fixture->options.gateways; i++)
    {
      tst_gateway_shutdown (fixture, i);
      free (fixture->gateways[i].settings);
    }
  pl_shutdown (&fixture->owner);
  for (uint32_t i = 0; i < fixture->options.targets; i++)
    if (fixture->targets[i].behaviour != TST_DOWN)
      hs_shutdown (&fixture->targets[i].hs);
  lc_http_shutdown (&fixture->http_log);
  hc_shutdown (&fixture->client);
  fk_log_shutdown (&fixture->log);
  ev_timer_stop (fixture->loop, &fixture->timer);
  ev_loop_destroy (fixture->loop);
}

/* Sends a message to the gateways of the owner's domain only. */
static void
send_to_gateways (struct tst_fixture *fixture, const Cyc__Peer *message)
{
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t cursor = 0;

  while (pl_next (&fixture->owner, &cursor, &ref, &view))
    if (cyc_str_eq (cyc_name_str (&view.identity.domain), CYC_STR ("north-a")))
      pl_send (&fixture->owner, ref, message);
}

void
tst_send_targets (struct tst_fixture *fixture, uint32_t count)
{
  static char *const queues[] = { "order-check", "round-plan", "menu" };
  static char *const names[] = { "w0", "w1", "w2" };
  static char urls[TST_MAX_TARGETS][48];
  Cyc__Target rows[TST_MAX_TARGETS] = { 0 };
  Cyc__Target *list[TST_MAX_TARGETS] = { 0 };
  Cyc__Targets targets = CYC__TARGETS__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  assert (count <= TST_MAX_TARGETS);
  for (uint32_t i = 0; i < count; i++)
    {
      cyc__target__init (&rows[i]);
      snprintf (urls[i], sizeof urls[i], "http://127.0.0.1:%u",
                fixture->targets[i].port);
      rows[i].worker = names[i];
      rows[i].address = urls[i];
      rows[i].slots = fixture->options.slots;
      rows[i].connections = 64;
      list[i] = &rows[i];
    }
  targets.epoch = fixture->epoch;
  targets.n_targets = count;
  targets.targets = list;
  message.body_case = CYC__PEER__BODY_TARGETS;
  message.targets = &targets;
  for (size_t i = 0; i < sizeof queues / sizeof queues[0]; i++)
    {
      targets.queue = queues[i];
      send_to_gateways (fixture, &message);
    }
  tst_run_us (fixture, 50000);
}

uint32_t
tst_count_starts (const struct tst_fixture *fixture)
{
  uint32_t starts = 0;

  for (uint32_t i = 0; i < fixture->options.targets; i++)
    starts += fixture->targets[i].starts;
  return starts;
}

static void
on_reply (void *user, const struct hc_result *result)
{
  struct tst_reply *reply = user;

  reply->done = true;
  reply->status = result->status;
  snprintf (reply->outcome, sizeof reply->outcome, "%.*s",
            CYC_FMT (result->outcome));
  snprintf (reply->body, sizeof reply->body, "%.*s", CYC_FMT (result->body));
  reply->len = result->body.len;
}

void
tst_begin_call (struct tst_fixture *fixture, uint32_t gateway,
                const struct tst_call *call, struct tst_reply *reply)
{
  char url[256];
  char authorization[600];
  struct hc_request request = {
    .method = call->method,
    .body = cyc_str_of (call->body),
    .deadline_us = hc_now_us () + TST_WAIT_TIMEOUT_US,
    .fresh_connection = true,
    .done = on_reply,
    .user = reply,
  };

  memset (reply, 0, sizeof *reply);
  snprintf (url, sizeof url, "http://127.0.0.1:%u%s",
            fixture->gateways[gateway].settings->gateway_http.port,
            call->path);
  request.url = cyc_str_of (url);
  if (call->key != NULL)
    {
      snprintf (authorization, sizeof authorization,
                "Authorization: Bearer %s", call->key);
      request.headers[request.header_count++] = cyc_str_of (authorization);
    }
  for (uint32_t i = 0; i < 4 && call->headers[i] != NULL; i++)
    request.headers[request.header_count++] = cyc_str_of (call->headers[i]);
  assert_int_not_equal (hc_send (&fixture->client, &request).generation, 0);
}

void
tst_call (struct tst_fixture *fixture, uint32_t gateway,
          const struct tst_call *call, struct tst_reply *reply)
{
  tst_begin_call (fixture, gateway, call, reply);
  assert_true (tst_run_until (fixture, &reply->done));
}

void
tst_expect_reply (const char *label, const struct tst_reply *reply,
                  long status, const char *outcome)
{
  if (reply->status != status || strcmp (reply->outcome, outcome) != 0)
    fail_msg ("%s: unexpected reply %ld %s: %s", label, reply->status,
              reply->outcome, reply->body);
  if (strcmp (outcome, "answer") != 0
      && (strstr (reply->body, "\"detail\"") == NULL
          || strstr (reply->body, outcome) == NULL))
    fail_msg ("%s: body is not a problem document: %s", label, reply->body);
}

struct tst_call
tst_once_call (const char *key_line, const char *body)
{
  return (struct tst_call){ HC_POST,
                            TST_REQUESTS_PATH ("order-check"),
                            "orders-key",
                            { key_line },
                            body };
}
