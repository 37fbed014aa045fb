/* An answer that is longer than its link carries until the deadline: it is
   received as long as it makes progress, and given up when it stalls. */

#include "fk_relay.h"
#include "http_client.h"
#include "http_server.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define ANSWER_BYTES 400000
#define GROUP "link"

struct progress_case
{
  const char *description;
  uint32_t width; /* bytes a second */
  uint32_t deadline_ms;
  uint32_t complete_ms; /* 0: the deadline bounds the whole answer */
  uint32_t silent_ms;   /* when the link loses all that follows; 0: never */
  bool complete;
  uint32_t least_ms; /* duration */
  uint32_t most_ms;
};

static const struct progress_case progress_cases[] = {
  { "in time", 4000000, 500, 0, 0, true, 0, 500 },
  { "bounded as a whole", 400000, 300, 0, 0, false, 250, 800 },
  { "goes on arriving", 400000, 300, 5000, 0, true, 700, 3000 },
  { "goes on arriving, but not in time", 400000, 300, 600, 0, false, 550,
    1200 },
  { "stalls", 400000, 300, 9000, 400, false, 400 + HC_STALL_MS - 300,
    400 + HC_STALL_MS + 800 },
  { "trickles", 2000, 300, 9000, 0, false, 1000, 300 + 2 * HC_STALL_MS },
};

struct run
{
  struct ev_loop *loop;
  struct hs_server server;
  struct fk_relay relay;
  bool ended;
  bool progress;
  struct hc_result result;
};

static void
on_call (void *user, const struct hs_call *call)
{
  struct run *run = user;
  char *body = calloc (1, ANSWER_BYTES);

  hs_reply (
      &run->server, call->ref,
      &(struct hs_reply){ .status = 200, .body = { body, ANSWER_BYTES } });
  free (body);
}

static void
on_progress (void *user)
{
  ((struct run *)user)->progress = true;
}

static void
on_done (void *user, const struct hc_result *result)
{
  struct run *run = user;

  run->ended = true;
  run->result = *result;
}

static uint32_t
since_ms (uint64_t start_us)
{
  return (uint32_t)((hc_now_us () - start_us) / 1000);
}

static void
play (const struct progress_case *c)
{
  struct run run = { .loop = ev_default_loop (0) };
  struct hc_client client;
  struct cyc_findings findings = { 0 };
  char url[64];
  uint64_t start_us;
  uint32_t ms;
  uint16_t port;

  assert_true (hs_setup (&run.server,
                         &(struct hs_desc){ .loop = run.loop,
                                            .address = "127.0.0.1",
                                            .handle = on_call,
                                            .user = &run },
                         &findings));
  assert_true (fk_relay_setup (&run.relay, run.loop, 0, &findings));
  port = fk_relay_add (&run.relay, GROUP, 0, fk_port (&run.server));
  fk_relay_set_width (&run.relay, GROUP, c->width);
  assert_true (
      hc_setup (&client, &(struct hc_desc){ .loop = run.loop }, &findings));
  snprintf (url, sizeof url, "http://127.0.0.1:%u/", port);
  start_us = hc_now_us ();
  assert_int_not_equal (
      hc_send (&client,
               &(struct hc_request){
                   .url = cyc_str_of (url),
                   .deadline_us = start_us + c->deadline_ms * 1000ULL,
                   .complete_by_us = c->complete_ms != 0
                                         ? start_us + c->complete_ms * 1000ULL
                                         : 0,
                   .progress = on_progress,
                   .done = on_done,
                   .user = &run,
               })
          .generation,
      0);
  while (!run.ended && since_ms (start_us) < 12000)
    {
      ev_run (run.loop, EVRUN_ONCE);
      if (c->silent_ms != 0 && since_ms (start_us) >= c->silent_ms)
        fk_relay_set_silent (&run.relay, GROUP, "both");
    }
  ms = since_ms (start_us);
  printf ("%s: %s after %u ms\n", c->description,
          run.result.status == 200 ? "complete" : "ended", ms);
  if ((run.result.status == 200) != c->complete || ms < c->least_ms
      || ms > c->most_ms || !run.progress)
    fail_msg ("%s: status %ld after %u ms", c->description, run.result.status,
              ms);
  hc_shutdown (&client);
  fk_relay_shutdown (&run.relay);
  hs_shutdown (&run.server);
}

static void
test_progress (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (progress_cases); i++)
    play (&progress_cases[i]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_progress) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
