#include "tst_control.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define TABLES 256

void
tst_control_setup (struct tst_control *tc)
{
  struct cyc_findings found = { 0 };

  memset (tc, 0, sizeof *tc);
  assert_true (cyc_led_setup (&tc->led,
                              &(struct cyc_led_desc){ .max_teams = TABLES,
                                                      .max_queues = TABLES,
                                                      .max_keys = TABLES },
                              &found));
}

void
tst_control_shutdown (struct tst_control *tc)
{
  free ((char *)tc->last.data);
  cyc_led_shutdown (&tc->led);
}

enum cyc_led_result
tst_apply (struct tst_control *tc, struct cyc_str record)
{
  cyc_led_apply (&tc->led, tc->next++, record, &tc->effect);
  if (record.data != tc->last.data)
    free ((char *)tc->last.data);
  tc->last = record;
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
tst_claim (struct tst_control *tc, enum cyc_claim_step step, const char *owner,
           uint8_t incarnation, uint64_t epoch)
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
tst_team (char out[256], const char *team, uint32_t share_permille,
          uint64_t millicores)
{
  snprintf (out, 256,
            "{\"team\":\"%s\",\"share_permille\":%u,"
            "\"limit_millicores\":%" PRIu64 ",\"limit_accelerators\":0}",
            team, share_permille, millicores);
  return out;
}

const char *
tst_queue (char out[512], const char *queue, const char *team,
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
tst_publish_all (struct tst_control *tc)
{
  char team[256];
  char queue[512];

  assert_int_equal (tst_publish (tc, "vm-1", "fleet", 0, TST_FLEET), 0);
  assert_int_equal (tst_publish (tc, "vm-1", "team/orders", 0,
                                 tst_team (team, "orders", 200, 400000)),
                    0);
  assert_int_equal (
      tst_publish (tc, "vm-1", "queue/tally", 0,
                   tst_queue (queue, "tally", "orders", "batch", 4)),
      0);
}
