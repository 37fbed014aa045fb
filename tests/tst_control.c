#include "tst_control.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MAX_TABLE_ROWS 256

void
tst_control_setup (struct tst_control *tc)
{
  struct cyc_findings found = { 0 };

  memset (tc, 0, sizeof *tc);
  assert_true (
      cyc_led_setup (&tc->led,
                     &(struct cyc_led_desc){ .max_teams = MAX_TABLE_ROWS,
                                             .max_queues = MAX_TABLE_ROWS,
                                             .max_keys = MAX_TABLE_ROWS },
                     &found));
}

void
tst_control_shutdown (struct tst_control *tc)
{
  free ((char *)tc->last_record.data);
  cyc_led_shutdown (&tc->led);
}

enum cyc_led_result
tst_apply (struct tst_control *tc, struct cyc_str record)
{
  cyc_led_apply (&tc->led, tc->next_offset++, record, &tc->effect);
  if (record.data != tc->last_record.data)
    free ((char *)tc->last_record.data);
  tc->last_record = record;
  return tc->effect.result;
}

enum cyc_led_result
tst_publish (struct tst_control *tc, const char *writer, const char *item,
             uint64_t base_version, const char *body)
{
  struct cyc_config_edit edit = { .name = cyc_str_of (item),
                                  .base_version = base_version,
                                  .body = cyc_str_of (body),
                                  .deleted = body == NULL };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_config (&id, cyc_str_of (writer), &edit, 1, &record));
  return tst_apply (tc, record);
}

enum cyc_led_result
tst_claim (struct tst_control *tc, enum cyc_claim_action step,
           const char *owner, uint8_t incarnation, uint64_t epoch)
{
  struct cyc_claim_edit edit = { .step = step,
                                 .domain = CYC_STR ("north-a"),
                                 .epoch = epoch,
                                 .owner = cyc_str_of (owner),
                                 .incarnation = { { incarnation } } };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_claim (&id, edit.owner, &edit, &record));
  return tst_apply (tc, record);
}

enum cyc_led_result
tst_transfer (struct tst_control *tc, const char *from, const char *to,
              uint64_t millicores)
{
  struct cyc_balance balance
      = cyc_led_balance (&tc->led, CYC_STR ("orders"), cyc_str_of (from));
  struct cyc_transfer_edit edit
      = { .team = CYC_STR ("orders"),
          .from = cyc_str_of (from),
          .to = cyc_str_of (to),
          .millicores = millicores,
          .limit_version
          = cyc_led_item_version (&tc->led, CYC_STR ("team/orders")),
          .from_millicores = balance.millicores,
          .from_accelerators = balance.accelerators };
  struct cyc_id128 id;
  struct cyc_str record;

  cyc_id128_random (&id);
  assert_true (cyc_rec_transfer (&id, CYC_STR ("vm-1"), &edit, &record));
  return tst_apply (tc, record);
}

const char *
tst_team_body (char out[256], const char *team, uint32_t share_permille,
               uint64_t millicores)
{
  snprintf (out, 256,
            "{\"team\":\"%s\",\"share_permille\":%u,"
            "\"limit_millicores\":%" PRIu64 ",\"limit_accelerators\":%" PRIu64
            "}",
            team, share_permille, millicores, millicores / 10000);
  return out;
}

const char *
tst_queue_body (char out[512], const char *queue, const char *team,
                const char *kind, uint32_t tasks)
{
  snprintf (out, 512,
            "// tests\n{\"queue\":\"%s\",\"team\":\"%s\",\"kind\":\"%s\","
            "\"repeatable\":true,\"tasks\":%u,\"millicores\":1000,"
            "\"memory_mib\":512,\"run_s\":30,\"spread\":\"rack\","
            "\"objective\":{\"answered_within_ms\":300,\"permille\":990}}",
            queue, team, kind, tasks);
  return out;
}

struct cyc_digest
tst_digest (const char *key)
{
  struct cyc_digest digest;

  cyc_digest_of (cyc_str_of (key), &digest);
  return digest;
}

uint64_t
tst_balance (const struct tst_control *tc, const char *domain)
{
  return cyc_led_balance (&tc->led, CYC_STR ("orders"), cyc_str_of (domain))
      .millicores;
}

void
tst_publish_example (struct tst_control *tc)
{
  char team[256];
  char queue[512];

  assert_int_equal (tst_publish (tc, "vm-1", "fleet", 0, TST_FLEET), 0);
  assert_int_equal (tst_publish (tc, "vm-1", "team/orders", 0,
                                 tst_team_body (team, "orders", 200, 400000)),
                    0);
  assert_int_equal (
      tst_publish (tc, "vm-1", "queue/tally", 0,
                   tst_queue_body (queue, "tally", "orders", "batch", 4)),
      0);
}

static const char *const domain_names[]
    = { "north-a", "north-b", "south-a", "south-b" };

static struct cyc_str
random_fleet (struct tst_random *rnd, char body[1024])
{
  uint64_t present = tst_random (rnd) % 15 + 1;
  size_t at = 0;
  bool first = true;

  at += (size_t)snprintf (body, 1024,
                          "{\"regions\":[{\"name\":\"r\",\"domains\":[");
  for (int i = 0; i < 4; i++)
    {
      if ((present >> i & 1) == 0)
        continue;
      at += (size_t)snprintf (
          body + at, 1024 - at,
          "%s{\"name\":\"%s\",\"weight\":%u,\"entry_seats\":3}",
          first ? "" : ",", domain_names[i],
          (unsigned)(tst_random (rnd) % 5 + 1));
      first = false;
    }
  snprintf (body + at, 1024 - at,
            "]}],\"largest_worker\":{\"millicores\":64000,"
            "\"memory_mib\":131072,\"accelerators\":8}}");
  return cyc_str_of (body);
}

/* Returns a change of the fleet, one of four teams or one of eight queues. */
static struct cyc_str
random_config (const struct tst_control *tc, struct tst_random *rnd,
               const struct cyc_id128 *id)
{
  struct cyc_config_edit edit = { 0 };
  struct cyc_str record;
  uint64_t choice = tst_random (rnd) % 10;
  char body[1024];
  char name[32];
  char item[64] = "fleet";

  if (choice < 2)
    edit.body = random_fleet (rnd, body);
  else if (choice < 6)
    {
      snprintf (name, sizeof name, "team-%u", (unsigned)(choice - 2));
      snprintf (item, sizeof item, "team/%s", name);
      edit.body = cyc_str_of (tst_team_body (
          body, name, 200, 100000 + tst_random (rnd) % 1000000));
    }
  else
    {
      snprintf (name, sizeof name, "queue-%u",
                (unsigned)(tst_random (rnd) % 8));
      snprintf (item, sizeof item, "queue/%s", name);
      edit.body
          = cyc_str_of (tst_queue_body (body, name, "team-0", "batch", 4));
      edit.deleted = tst_random (rnd) % 4 == 0;
    }
  edit.name = cyc_str_of (item);
  edit.base_version = cyc_led_item_version (&tc->led, edit.name);
  if (tst_random (rnd) % 16 == 0)
    edit.base_version++;
  assert_true (cyc_rec_config (id, CYC_STR ("vm-1"), &edit, 1, &record));
  return record;
}

static struct cyc_str
random_transfer (const struct tst_control *tc, struct tst_random *rnd,
                 const struct cyc_id128 *id)
{
  struct cyc_transfer_edit edit
      = { .team = CYC_STR ("team-1"),
          .from = cyc_str_of (domain_names[tst_random (rnd) % 4]),
          .to = cyc_str_of (domain_names[tst_random (rnd) % 4]),
          .limit_version
          = cyc_led_item_version (&tc->led, CYC_STR ("team/team-1")) };
  struct cyc_balance balance
      = cyc_led_balance (&tc->led, edit.team, edit.from);
  struct cyc_str record;

  edit.from_millicores = balance.millicores;
  edit.millicores = tst_random (rnd) % (balance.millicores + 2);
  if (tst_random (rnd) % 16 == 0)
    edit.from_millicores++;
  assert_true (cyc_rec_transfer (id, CYC_STR ("vm-1"), &edit, &record));
  return record;
}

static struct cyc_str
random_key (const struct tst_control *tc, struct tst_random *rnd,
            const struct cyc_id128 *id)
{
  struct cyc_digest digest = { { (uint8_t)(tst_random (rnd) % 32) } };
  struct cyc_str record;

  if (tst_random (rnd) % 3 == 0)
    assert_true (
        cyc_rec_key_withdraw (id, CYC_STR ("vm-1"), &digest, &record));
  else
    assert_true (
        cyc_rec_key_grant (id, CYC_STR ("vm-1"), &digest, CYC_STR ("team-0"),
                           cyc_led_key_version (&tc->led, &digest), &record));
  return record;
}

static struct cyc_str
random_claim (const struct tst_control *tc, struct tst_random *rnd,
              const struct cyc_id128 *id)
{
  struct cyc_claim claim;
  struct cyc_claim_edit edit
      = { .step = (enum cyc_claim_action) (tst_random (rnd) % 3),
          .domain = cyc_str_of (domain_names[tst_random (rnd) % 4]),
          .owner = CYC_STR ("vm-1"),
          .incarnation = { { (uint8_t)(tst_random (rnd) % 2) } } };
  struct cyc_str record;

  cyc_led_claim (&tc->led, edit.domain, 0, &claim);
  edit.epoch = claim.epoch + (edit.step == CYC_CLAIM_TAKE ? 1 : 0);
  assert_true (cyc_rec_claim (id, CYC_STR ("vm-1"), &edit, &record));
  return record;
}

struct cyc_str
tst_random_record (const struct tst_control *tc, struct tst_random *rnd)
{
  uint64_t random_id[2] = { tst_random (rnd), tst_random (rnd) };
  struct cyc_id128 id;
  struct cyc_str record = { 0 };

  memcpy (id.bytes, random_id, sizeof random_id);
  switch (tst_random (rnd) % 8)
    {
    case 0:
    case 1:
    case 2:
      return random_config (tc, rnd, &id);
    case 3:
    case 4:
      return random_transfer (tc, rnd, &id);
    case 5:
      return random_key (tc, rnd, &id);
    case 6:
      return random_claim (tc, rnd, &id);
    default:
      break;
    }
  record.len = tc->last_record.len;
  if (tst_random (rnd) % 2 == 0)
    record.len = record.len * 2 / 3;
  record.data = malloc (record.len + 1);
  assert_non_null (record.data);
  if (record.len > 0)
    memcpy ((char *)record.data, tc->last_record.data, record.len);
  return record;
}

void
tst_check_balance_sums (const struct tst_control *tc)
{
  const struct cyc_fleet_cfg *fleet = cyc_led_fleet (&tc->led);
  const struct cyc_team_cfg *team;

  for (uint32_t i = 0; (team = cyc_led_team_at (&tc->led, i)) != NULL; i++)
    {
      struct cyc_balance sum = { 0 };

      assert_non_null (fleet);
      for (uint32_t d = 0; d < fleet->domain_count; d++)
        {
          struct cyc_balance part
              = cyc_led_balance (&tc->led, cyc_name_str (&team->name),
                                 cyc_name_str (&fleet->domains[d].name));

          sum.millicores += part.millicores;
          sum.accelerators += part.accelerators;
        }
      assert_int_equal (sum.millicores, team->limit_millicores);
      assert_int_equal (sum.accelerators, team->limit_accelerators);
    }
}
