/* A record that the link takes longer for than a read of the stream may take:
   it is read nevertheless, and not again and again from its first byte. */

#include "fk_relay.h"
#include "follow.h"
#include "tst_http_log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define GROUP "log"
#define RECORD_BYTES 150000
/** The record takes 1.4 s, in base64. */
#define WIDTH_BYTES_PER_S 150000
#define TIMEOUT_MS 500
#define READ_MAX_MS 3000

static void
on_record (void *user, uint64_t offset, struct cyc_str data)
{
  (void)offset;
  assert_int_equal (data.len, RECORD_BYTES);
  (*(uint32_t *)user)++;
}

static void
test_record_arrives (void **state)
{
  struct ev_loop *loop = ev_default_loop (0);
  struct tst_http_log *server = calloc (1, sizeof *server);
  struct fk_relay relay;
  struct hc_client client;
  struct lc_http log;
  struct fo_follow fo;
  struct cyc_findings found = { 0 };
  uint32_t records = 0;
  char *record = calloc (1, RECORD_BYTES);
  char url[64];
  uint64_t start_us = hc_now_us ();

  (void)state;
  tst_http_log_setup (server, loop);
  tst_http_log_add (server, CYC_STR ("jobs"),
                    (struct cyc_str){ record, RECORD_BYTES });
  assert_true (fk_relay_setup (&relay, loop, 0, &found));
  snprintf (url, sizeof url, "http://127.0.0.1:%u",
            fk_relay_add (&relay, GROUP, 0, fk_port (&server->server)));
  fk_relay_set_width (&relay, GROUP, WIDTH_BYTES_PER_S);
  assert_true (hc_setup (&client, &(struct hc_desc){ .loop = loop }, &found));
  assert_true (lc_http_setup (
      &log,
      &(struct lc_http_desc){ .client = &client, .url = cyc_str_of (url) },
      &found));
  assert_true (fo_setup (&fo,
                         &(struct fo_desc){ .log = &log.log,
                                            .stream = CYC_STR ("jobs"),
                                            .timeout_ms = TIMEOUT_MS,
                                            .record = on_record,
                                            .user = &records },
                         &found));
  fo_start (&fo, 0);
  while (records == 0 && hc_now_us () < start_us + READ_MAX_MS * 1000ULL)
    {
      fo_tick (&fo, hc_now_us ());
      ev_run (loop, EVRUN_ONCE);
    }
  printf ("%u records after %u ms, %llu bytes\n", records,
          (unsigned int)((hc_now_us () - start_us) / 1000),
          (unsigned long long)fk_relay_bytes_back (&relay, GROUP));
  assert_int_equal (records, 1);
  lc_http_shutdown (&log);
  fo_shutdown (&fo);
  hc_shutdown (&client);
  fk_relay_shutdown (&relay);
  tst_http_log_shutdown (server);
  free (record);
  free (server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_record_arrives) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
