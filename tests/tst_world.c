#include "tst_world.h"

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

struct item
{
  const char *name;
  const char *body;
};

static const struct item items[] = {
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

#define ITEM_COUNT (sizeof items / sizeof items[0])

static const struct item keys[]
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
answer_target (struct tst_target *target, struct cyc_ref ref, const char *body)
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
refuse_start (struct tst_target *target, struct cyc_ref ref)
{
  struct hs_reply reply = { .status = 503, .header_count = 1 };

  reply.headers[0] = (struct hs_reply_header){ "Not-Started", "1" };
  hs_reply (&target->hs, ref, &reply);
}

static void
hold (struct tst_target *target, const struct hs_call *call)
{
  for (size_t i = 0; i < sizeof target->open / sizeof target->open[0]; i++)
    if (target->open[i].ref.generation == 0)
      {
        target->open[i].ref = call->ref;
        target->open[i].due_us = target->behaviour == TST_SILENT
                                     ? UINT64_MAX
                                     : hc_now_us () + target->delay_us;
        snprintf (target->open[i].body, sizeof target->open[i].body, "%.*s",
                  CYC_FMT (call->body));
        return;
      }
  fail_msg ("too many open requests at a target");
}

static void
on_target_call (void *user, const struct hs_call *call)
{
  struct tst_target *target = user;

  if (target->world->faults_left == 0)
    target->behaviour = TST_ANSWER;
  else if (target->behaviour != TST_ANSWER)
    target->world->faults_left--;
  if (target->behaviour == TST_NOT_STARTED)
    {
      refuse_start (target, call->ref);
      return;
    }
  target->starts++;
  target->running++;
  if (target->running > target->most_running)
    target->most_running = target->running;
  if (target->behaviour == TST_DROP)
    {
      target->running--;
      fk_drop (&target->hs, call->ref, call->connection);
    }
  else
    hold (target, call);
}

static void
tick_target (struct tst_target *target, uint64_t now_us)
{
  for (size_t i = 0; i < sizeof target->open / sizeof target->open[0]; i++)
    if (target->open[i].ref.generation != 0
        && target->open[i].due_us <= now_us)
      {
        struct cyc_ref ref = target->open[i].ref;

        target->open[i].ref.generation = 0;
        answer_target (target, ref, target->open[i].body);
      }
}

static void
answer_demand (struct tst_world *world)
{
  Cyc__PermitLent row = CYC__PERMIT_LENT__INIT;
  Cyc__PermitLent *list[] = { &row };
  Cyc__PermitGrant grant = CYC__PERMIT_GRANT__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  world->lend_at_us = 0;
  row.worker = "w0";
  row.slots = world->lending.slots;
  row.connections = world->lending.slots;
  grant.epoch = world->epoch;
  grant.valid_for_ms = world->lending.valid_for_ms;
  grant.deadline_ms = world->lend_deadline_ms;
  grant.n_lent = 1;
  grant.lent = list;
  message.body_case = CYC__PEER__BODY_PERMIT_GRANT;
  message.permit_grant = &grant;
  pl_send (&world->owner, world->lend_to, &message);
}

static void
on_tick (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct tst_world *world = timer->data;
  uint64_t now_us = hc_now_us ();

  (void)loop;
  (void)events;
  for (uint32_t i = 0; i < world->options.targets; i++)
    tick_target (&world->targets[i], now_us);
  if (world->lend_at_us != 0 && now_us >= world->lend_at_us)
    answer_demand (world);
  pl_tick (&world->owner, now_us);
}

void
tst_run (struct tst_world *world, uint64_t us)
{
  uint64_t end_us = hc_now_us () + us;

  while (hc_now_us () < end_us)
    ev_run (world->loop, EVRUN_ONCE);
}

bool
tst_until (struct tst_world *world, const bool *flag)
{
  uint64_t end_us = hc_now_us () + TST_WAIT_US;

  while (!*flag && hc_now_us () < end_us)
    ev_run (world->loop, EVRUN_ONCE);
  return *flag;
}

static void
on_appended (void *user, const struct lc_append_result *result)
{
  assert_int_equal (result->outcome, LC_OK);
  *(bool *)user = true;
}

void
tst_log_append (struct tst_world *world, struct cyc_str stream,
                struct cyc_str record)
{
  bool done = false;

  assert_true (lc_append (
      &world->http_log.log,
      &(struct lc_append){ .stream = stream,
                           .record = record,
                           .deadline_us = hc_now_us () + TST_WAIT_US,
                           .done = on_appended,
                           .user = &done }));
  assert_true (tst_until (world, &done));
  free ((void *)record.data);
}

static void
publish (struct tst_world *world)
{
  struct cyc_config_edit edits[ITEM_COUNT];
  char fleet[512];
  struct cyc_id128 id;
  struct cyc_str record;
  struct cyc_digest digest;

  snprintf (fleet, sizeof fleet, items[0].body, world->options.seats,
            world->options.seats);
  for (size_t i = 0; i < ITEM_COUNT; i++)
    edits[i] = (struct cyc_config_edit){
      .name = cyc_str_of (items[i].name),
      .body = cyc_str_of (i == 0 ? fleet : items[i].body),
    };
  cyc_id128_random (&id);
  assert_true (
      cyc_rec_config (&id, CYC_STR ("test"), edits, ITEM_COUNT, &record));
  tst_log_append (world, CYC_STR ("control"), record);
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      cyc_id128_random (&id);
      cyc_digest_of (cyc_str_of (keys[i].body), &digest);
      assert_true (cyc_rec_key_grant (&id, CYC_STR ("test"), &digest,
                                      cyc_str_of (keys[i].name), 0, &record));
      tst_log_append (world, CYC_STR ("control"), record);
    }
}

void
tst_withdraw_key (struct tst_world *world, const char *key)
{
  struct cyc_digest digest;
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_digest_of (cyc_str_of (key), &digest);
  cyc_id128_random (&id);
  assert_true (cyc_rec_key_withdraw (&id, CYC_STR ("test"), &digest, &record));
  tst_log_append (world, CYC_STR ("control"), record);
}

static void
on_owner_message (void *user, struct cyc_ref peer, const Cyc__Peer *message)
{
  struct tst_world *world = user;
  const struct tst_lending *lending = &world->lending;

  if (message->body_case != CYC__PEER__BODY_PERMIT_DEMAND
      || lending->slots == 0)
    return;
  world->lend_to = peer;
  world->lend_at_us = hc_now_us () + lending->delay_us;
  world->lend_deadline_ms
      = lending->deadline_in_ms == 0
            ? 0
            : (uint64_t)((int64_t)hc_wall_ms () + lending->deadline_in_ms);
}

static void
owner_self (void *user, struct pl_self_state *out)
{
  const struct tst_world *world = user;

  memset (out, 0, sizeof *out);
  out->owned_epoch = world->epoch;
}

static struct set_peer
peer_of (const char *vm, const char *domain, enum set_role role,
         struct set_address address)
{
  struct set_peer peer = { .role = role, .address = address };

  cyc_name_set (&peer.vm, cyc_str_of (vm));
  cyc_name_set (&peer.domain, cyc_str_of (domain));
  cyc_name_set (&peer.region, CYC_STR ("north"));
  return peer;
}

static void
owner_up (struct tst_world *world)
{
  struct pl_desc desc = {
    .loop = world->loop,
    .self = { .role = SET_ROLE_SCHEDULER },
    .listen = world->owner_address,
    .heartbeat_ms = 100,
    .self_state = owner_self,
    .message = on_owner_message,
    .user = world,
  };
  struct cyc_findings found = { 0 };

  cyc_name_set (&desc.self.vm, CYC_STR ("owner"));
  cyc_name_set (&desc.self.domain, CYC_STR ("north-a"));
  cyc_name_set (&desc.self.region, CYC_STR ("north"));
  cyc_id128_random (&desc.self.incarnation);
  assert_true (pl_setup (&world->owner, &desc, &found));
  for (uint32_t i = 0; i < world->options.gateways; i++)
    {
      const struct set_settings *set = world->gateways[i].settings;
      struct set_peer peer = { .vm = set->vm,
                               .domain = set->domain,
                               .region = set->region,
                               .role = SET_ROLE_GATEWAY,
                               .address = set->gateway_peer };

      assert_true (pl_peer_add (&world->owner, &peer));
    }
}

static void
write_settings (struct tst_world *world, uint32_t i)
{
  static const char *const vms[] = { "gw0", "gw1", "gw2" };
  struct set_settings *set = calloc (1, sizeof *set);
  struct cyc_findings found = { 0 };
  bool elsewhere = i > 0 && world->options.second_gateway_elsewhere;
  char text[1200];

  assert (i < TST_GATEWAYS);
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
            vms[i], elsewhere ? "north-b" : "north-a",
            world->options.same_seat ? 0 : i, free_port (), free_port (),
            i == 1 && world->options.second_without_log
                ? free_port ()
                : fk_port (&world->log.hs),
            world->options.drain_ms, world->options.retry_permille,
            world->options.request_max_ms, world->options.key_stale_ms);
  if (!set_parse (cyc_str_of (text), CYC_STR ("test"), set, &found))
    fail_msg ("%s: %s", found.rows[0].place, found.rows[0].text);
  world->gateways[i].settings = set;
}

static void
add_peers (struct tst_world *world)
{
  for (uint32_t i = 0; i < world->options.gateways; i++)
    {
      struct set_settings *set = world->gateways[i].settings;

      set->peers[set->peer_count++] = peer_of (
          "owner", "north-a", SET_ROLE_SCHEDULER, world->owner_address);
      for (uint32_t j = 0; j < world->options.gateways; j++)
        if (j != i)
          {
            const struct set_settings *other = world->gateways[j].settings;

            set->peers[set->peer_count++]
                = peer_of (other->vm.data, other->domain.data,
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
tst_gateway_up (struct tst_world *world, uint32_t i)
{
  struct tst_gateway *gateway = &world->gateways[i];
  struct cyc_findings found = { 0 };
  uint64_t end_us = hc_now_us () + TST_WAIT_US;

  gateway->stopped = false;
  if (!gw_setup (&gateway->gw,
                 &(struct gw_desc){
                     .loop = world->loop,
                     .settings = gateway->settings,
                     .max_requests = world->options.max_requests,
                     .max_kept_requests = world->options.max_kept_requests,
                     .stopped = on_stopped,
                     .user = &gateway->stopped },
                 &found))
    fail_msg ("%s: %s", found.rows[0].place, found.rows[0].text);
  gateway->up = true;
  while (!gw_ready (&gateway->gw) && hc_now_us () < end_us)
    ev_run (world->loop, EVRUN_ONCE);
  assert_true (gw_ready (&gateway->gw));
}

void
tst_gateway_down (struct tst_world *world, uint32_t i)
{
  if (world->gateways[i].up)
    gw_shutdown (&world->gateways[i].gw);
  world->gateways[i].up = false;
}

static void
target_up (struct tst_world *world, uint32_t i)
{
  struct tst_target *target = &world->targets[i];
  struct cyc_findings found = { 0 };

  target->world = world;
  assert_true (hs_setup (&target->hs,
                         &(struct hs_desc){ .loop = world->loop,
                                            .address = "127.0.0.1",
                                            .port = target->port,
                                            .handle = on_target_call,
                                            .user = target },
                         &found));
  target->port = fk_port (&target->hs);
}

void
tst_behave (struct tst_world *world, uint32_t i, enum tst_behaviour behaviour)
{
  struct tst_target *target = &world->targets[i];

  if (behaviour == TST_DOWN && target->behaviour != TST_DOWN)
    hs_shutdown (&target->hs);
  target->behaviour = behaviour;
}

static uint32_t
linked_peers (const struct pl_links *links)
{
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t cursor = 0;
  uint32_t linked = 0;

  while (pl_next (links, &cursor, &ref, &view))
    linked += view.linked;
  return linked;
}

/* Full mesh: the owner and each gateway see all gateways but themselves. */
static void
wait_linked (struct tst_world *world)
{
  uint32_t gateways = world->options.gateways;
  uint32_t wanted = gateways + gateways * gateways;
  uint64_t end_us = hc_now_us () + TST_WAIT_US;
  uint32_t linked = 0;

  while (linked < wanted && hc_now_us () < end_us)
    {
      ev_run (world->loop, EVRUN_ONCE);
      linked = linked_peers (&world->owner);
      for (uint32_t i = 0; i < gateways; i++)
        linked += linked_peers (&world->gateways[i].gw.state->links);
    }
  assert_int_equal (linked, wanted);
}

static void
apply_options (struct tst_world *world, const struct tst_options *options)
{
  world->options = *options;
  if (world->options.gateways == 0)
    world->options.gateways = 1;
  if (world->options.targets == 0)
    world->options.targets = 1;
  if (world->options.slots == 0)
    world->options.slots = 8;
  if (world->options.seats == 0)
    world->options.seats = 1;
  if (world->options.key_stale_ms == 0)
    world->options.key_stale_ms = 5000;
  if (world->options.drain_ms == 0)
    world->options.drain_ms = 8000;
  if (world->options.request_max_ms == 0)
    world->options.request_max_ms = 3000;
}

void
tst_world_up (struct tst_world *world, const struct tst_options *options)
{
  struct cyc_findings found = { 0 };
  char url[64];

  memset (world, 0, sizeof *world);
  apply_options (world, options);
  world->epoch = 1;
  world->faults_left = UINT32_MAX;
  world->loop = ev_loop_new (EVFLAG_AUTO);
  assert_true (fk_log_setup (&world->log, world->loop, 0, &found));
  assert_true (hc_setup (&world->client,
                         &(struct hc_desc){ .loop = world->loop }, &found));
  snprintf (url, sizeof url, "http://127.0.0.1:%u", fk_port (&world->log.hs));
  assert_true (
      lc_http_setup (&world->http_log,
                     &(struct lc_http_desc){ .client = &world->client,
                                             .url = cyc_str_of (url) },
                     &found));
  for (uint32_t i = 0; i < world->options.targets; i++)
    target_up (world, i);
  world->owner_address = free_address ();
  for (uint32_t i = 0; i < world->options.gateways; i++)
    write_settings (world, i);
  add_peers (world);
  owner_up (world);
  ev_timer_init (&world->timer, on_tick, TICK_S, TICK_S);
  world->timer.data = world;
  ev_timer_start (world->loop, &world->timer);
  publish (world);
  for (uint32_t i = 0; i < world->options.gateways; i++)
    tst_gateway_up (world, i);
  wait_linked (world);
  tst_tell_targets (world, world->options.targets);
}

void
tst_world_down (struct tst_world *world)
{
  for (uint32_t i = 0; i < world->options.gateways; i++)
    {
      tst_gateway_down (world, i);
      free (world->gateways[i].settings);
    }
  pl_shutdown (&world->owner);
  for (uint32_t i = 0; i < world->options.targets; i++)
    if (world->targets[i].behaviour != TST_DOWN)
      hs_shutdown (&world->targets[i].hs);
  lc_http_shutdown (&world->http_log);
  hc_shutdown (&world->client);
  fk_log_shutdown (&world->log);
  ev_timer_stop (world->loop, &world->timer);
  ev_loop_destroy (world->loop);
}

/* Only to the gateways of the owner's domain. */
static void
tell_gateways (struct tst_world *world, const Cyc__Peer *message)
{
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t cursor = 0;

  while (pl_next (&world->owner, &cursor, &ref, &view))
    if (cyc_str_eq (cyc_name_str (&view.identity.domain), CYC_STR ("north-a")))
      pl_send (&world->owner, ref, message);
}

void
tst_tell_targets (struct tst_world *world, uint32_t count)
{
  static char *const queues[] = { "order-check", "round-plan", "menu" };
  static char *const names[] = { "w0", "w1", "w2" };
  static char urls[TST_TARGETS][48];
  Cyc__Target rows[TST_TARGETS] = { 0 };
  Cyc__Target *list[TST_TARGETS] = { 0 };
  Cyc__Targets targets = CYC__TARGETS__INIT;
  Cyc__Peer message = CYC__PEER__INIT;

  assert (count <= TST_TARGETS);
  for (uint32_t i = 0; i < count; i++)
    {
      cyc__target__init (&rows[i]);
      snprintf (urls[i], sizeof urls[i], "http://127.0.0.1:%u",
                world->targets[i].port);
      rows[i].worker = names[i];
      rows[i].address = urls[i];
      rows[i].slots = world->options.slots;
      rows[i].connections = 64;
      list[i] = &rows[i];
    }
  targets.epoch = world->epoch;
  targets.n_targets = count;
  targets.targets = list;
  message.body_case = CYC__PEER__BODY_TARGETS;
  message.targets = &targets;
  for (size_t i = 0; i < sizeof queues / sizeof queues[0]; i++)
    {
      targets.queue = queues[i];
      tell_gateways (world, &message);
    }
  tst_run (world, 50000);
}

uint32_t
tst_starts (const struct tst_world *world)
{
  uint32_t starts = 0;

  for (uint32_t i = 0; i < world->options.targets; i++)
    starts += world->targets[i].starts;
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
tst_begin (struct tst_world *world, uint32_t gateway,
           const struct tst_call *call, struct tst_reply *reply)
{
  char url[256];
  char authorization[600];
  struct hc_request request = {
    .method = call->method,
    .body = cyc_str_of (call->body),
    .deadline_us = hc_now_us () + TST_WAIT_US,
    .fresh_connection = true,
    .done = on_reply,
    .user = reply,
  };

  memset (reply, 0, sizeof *reply);
  snprintf (url, sizeof url, "http://127.0.0.1:%u%s",
            world->gateways[gateway].settings->gateway_http.port, call->path);
  request.url = cyc_str_of (url);
  if (call->key != NULL)
    {
      snprintf (authorization, sizeof authorization,
                "Authorization: Bearer %s", call->key);
      request.headers[request.header_count++] = cyc_str_of (authorization);
    }
  for (uint32_t i = 0; i < 4 && call->headers[i] != NULL; i++)
    request.headers[request.header_count++] = cyc_str_of (call->headers[i]);
  assert_int_not_equal (hc_send (&world->client, &request).generation, 0);
}

void
tst_call (struct tst_world *world, uint32_t gateway,
          const struct tst_call *call, struct tst_reply *reply)
{
  tst_begin (world, gateway, call, reply);
  assert_true (tst_until (world, &reply->done));
}

void
tst_expect (const char *what, const struct tst_reply *reply, long status,
            const char *outcome)
{
  if (reply->status != status || strcmp (reply->outcome, outcome) != 0)
    fail_msg ("%s: got %ld %s: %s", what, reply->status, reply->outcome,
              reply->body);
  if (strcmp (outcome, "answer") != 0
      && (strstr (reply->body, "\"detail\"") == NULL
          || strstr (reply->body, outcome) == NULL))
    fail_msg ("%s: no problem body: %s", what, reply->body);
}

struct tst_call
tst_once_call (const char *key_line, const char *body)
{
  return (struct tst_call){
    HC_POST, TST_REQUESTS ("order-check"), "orders-key", { key_line }, body
  };
}
