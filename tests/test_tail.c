/* The view of a stream: its age when it is loaded in several pages, and its
   reads on a narrow link. Pages are not a snapshot: a record that is appended
   between two pages is read after the load. */

#include "http_client.h"
#include "tail.h"

#include <glib.h>

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define PAGE_ANSWER_S 0.05

struct harness
{
  struct pt_log log; /* first member */
  struct tail tail;
  struct ev_timer timer;
  struct pt_newest newest;
  struct pt_read read;
  uint32_t pages;
  uint64_t first_page_us; /**< send time of the first page */
  uint32_t updates;       /**< records that a read delivered */
  uint64_t update_after_us;
  uint64_t begun_us;   /**< when records began to arrive at BACKLOG_KIB */
  uint32_t read_kib;   /**< total that reads delivered */
  uint32_t answer_kib; /**< of the read in flight; 0: it is not in time */
};

static void
answer_page (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  struct harness *h = timer->data;
  struct pt_record record
      = { CYC_STR ("w"), h->pages == 1 ? CYC_STR ("1") : CYC_STR ("2") };

  (void)loop;
  (void)events;
  h->newest.done (h->newest.user,
                  &(struct pt_newest_result){ .outcome = PT_OK,
                                              .records = &record,
                                              .count = 1,
                                              .more = h->pages == 1,
                                              .end = h->pages });
}

static bool
send_newest (struct pt_log *log, const struct pt_newest *newest)
{
  struct harness *h = (struct harness *)log;

  h->newest = *newest;
  if (h->pages++ == 0)
    h->first_page_us = hc_now_us ();
  ev_timer_init (&h->timer, answer_page, PAGE_ANSWER_S, 0);
  h->timer.data = h;
  ev_timer_start (ev_default_loop (0), &h->timer);
  return true;
}

static bool
send_read (struct pt_log *log, const struct pt_read *read)
{
  struct harness *h = (struct harness *)log;

  h->read = *read;
  return true;
}

static const struct pt_log_vtable log_vtable
    = { .newest = send_newest, .read = send_read };

static void
on_record (void *user, const struct pt_record *record, uint64_t offset)
{
  struct harness *h = user;

  (void)offset;
  if (!cyc_str_eq (record->value, CYC_STR ("update")))
    return;
  h->updates++;
  h->update_after_us = h->tail.prev_fresh_us;
}

/* An update that the first read after a load delivers may be as old as the
   first page. Guards against an entry of a worker that is taken for newer than
   it is, by which its removal counts as an exit. */
static void
test_age_of_a_view_loaded_in_pages (void **state)
{
  struct harness h = { .log = { &log_vtable } };
  struct pt_record update = { CYC_STR ("w"), CYC_STR ("update") };

  (void)state;
  tail_setup (&h.tail, &(struct tail_desc){ .loop = ev_default_loop (0),
                                            .log = &h.log,
                                            .keyed = true,
                                            .record = on_record,
                                            .user = &h });
  tail_start (&h.tail);
  while (h.read.done == NULL)
    ev_run (ev_default_loop (0), EVRUN_ONCE);
  assert_int_equal (h.pages, 2);
  assert_true (h.tail.fresh_us <= h.first_page_us);
  h.read.done (h.read.user, &(struct pt_read_result){ .outcome = PT_OK,
                                                      .records = &update,
                                                      .count = 1,
                                                      .next = 2 });
  assert_int_equal (h.updates, 1);
  assert_true (h.update_after_us <= h.first_page_us);
  tail_stop (&h.tail);
}

/* An update that is read after an answer that did not hold all records may be
   older than the request of that answer, as after an outage of the store.
   Guards against the entry of a draining worker that lapsed during the outage
   and is taken for removed by the worker itself, just after its last update.
 */
static void
test_age_of_a_view_behind (void **state)
{
  struct harness h = { .log = { &log_vtable } };
  struct pt_record record = { CYC_STR ("w"), CYC_STR ("3") };
  struct pt_record update = { CYC_STR ("w"), CYC_STR ("update") };
  uint64_t complete_us;

  (void)state;
  tail_setup (&h.tail, &(struct tail_desc){ .loop = ev_default_loop (0),
                                            .log = &h.log,
                                            .keyed = true,
                                            .record = on_record,
                                            .user = &h });
  tail_start (&h.tail);
  while (h.read.done == NULL)
    ev_run (ev_default_loop (0), EVRUN_ONCE);
  complete_us = h.tail.fresh_us;
  for (uint64_t next = 3; next <= 4; next++)
    {
      h.read.done (h.read.user, &(struct pt_read_result){ .outcome = PT_OK,
                                                          .records = &record,
                                                          .count = 1,
                                                          .next = next,
                                                          .end = 5 });
      assert_true (h.tail.fresh_us <= complete_us);
      h.read.done = NULL;
      while (h.read.done == NULL)
        ev_run (ev_default_loop (0), EVRUN_ONCE);
    }
  h.read.done (h.read.user, &(struct pt_read_result){ .outcome = PT_OK,
                                                      .records = &update,
                                                      .count = 1,
                                                      .next = 5,
                                                      .end = 5 });
  assert_int_equal (h.updates, 1);
  assert_true (h.update_after_us <= complete_us);
  assert_true (h.tail.fresh_us > complete_us);
  tail_stop (&h.tail);
}

/* Answers above a size do not arrive in time. Guards against a view that falls
   ever further behind, as each read asks for the same answer again. */
static void
test_reads_on_a_narrow_link (void **state)
{
  struct harness h = { .log = { &log_vtable } };
  uint32_t first_kib;

  (void)state;
  tail_setup (&h.tail, &(struct tail_desc){ .loop = ev_default_loop (0),
                                            .log = &h.log,
                                            .record = on_record,
                                            .user = &h });
  tail_start (&h.tail);
  first_kib = h.read.max_kib;
  for (uint32_t reads = 0; h.read.max_kib > 100; reads++)
    {
      assert_true (reads < 5);
      h.read.done (h.read.user,
                   &(struct pt_read_result){ .outcome = PT_UNKNOWN });
      h.read.done = NULL;
      while (h.read.done == NULL)
        ev_run (ev_default_loop (0), EVRUN_ONCE);
    }
  for (uint32_t reads = 0; h.read.max_kib < first_kib; reads++)
    {
      assert_true (reads < 5);
      h.read.done (h.read.user, &(struct pt_read_result){ .next = 1 });
      h.read.done = NULL;
      while (h.read.done == NULL)
        ev_run (ev_default_loop (0), EVRUN_ONCE);
    }
  tail_stop (&h.tail);
}

/* A link that carries LINK_KIB_PER_S, and a stream that grows by
   ARRIVING_KIB_PER_S after an outage that left BACKLOG_KIB to read. */
#define LINK_KIB_PER_S 460
#define ARRIVING_KIB_PER_S 60
#define BACKLOG_KIB 768
#define GAP_MS 400

static uint32_t
end_kib (const struct harness *h)
{
  return BACKLOG_KIB
         + (uint32_t)((hc_now_us () - h->begun_us) * ARRIVING_KIB_PER_S
                      / 1000000);
}

static uint32_t
unread_kib (const struct harness *h)
{
  return end_kib (h) - h->read_kib;
}

static void
answer_read (struct ev_loop *loop, struct ev_timer *timer, int events)
{
  static char bytes[BACKLOG_KIB * 1024];
  struct harness *h = timer->data;
  struct pt_record record
      = { CYC_STR ("w"), { bytes, (size_t)h->answer_kib * 1024 } };

  (void)loop;
  (void)events;
  h->read_kib += h->answer_kib;
  if (h->answer_kib == 0)
    h->read.done (h->read.user,
                  &(struct pt_read_result){ .outcome = PT_UNKNOWN });
  else
    h->read.done (h->read.user,
                  &(struct pt_read_result){ .outcome = PT_OK,
                                            .records = &record,
                                            .count = 1,
                                            .next = h->read_kib,
                                            .end = end_kib (h) });
}

static bool
send_read_on_link (struct pt_log *log, const struct pt_read *read)
{
  struct harness *h = (struct harness *)log;
  uint64_t now_us = hc_now_us ();
  uint64_t arrives_us;

  h->read = *read;
  h->answer_kib = MAX (MIN (unread_kib (h), read->max_kib), 1);
  arrives_us = now_us + (uint64_t)h->answer_kib * 1000000 / LINK_KIB_PER_S;
  if (arrives_us > read->deadline_us)
    {
      arrives_us = read->deadline_us;
      h->answer_kib = 0;
    }
  ev_timer_init (&h->timer, answer_read, (double)(arrives_us - now_us) / 1e6,
                 0);
  h->timer.data = h;
  ev_timer_start (ev_default_loop (0), &h->timer);
  return true;
}

/* Guards against a view that hardly catches up after an outage, so that a
   leader gives tasks to workers that have long said that they leave: each
   second read asked for twice what the link carries in time and was lost, and
   the pause between reads was kept while more records were waiting. A view may
   need twice the time that the link needs for what there is to read. */
static void
test_catches_up_after_an_outage (void **state)
{
  static const struct pt_log_vtable link_vtable
      = { .read = send_read_on_link };
  const uint64_t allowed_us
      = 2ULL * 1000000 * BACKLOG_KIB / (LINK_KIB_PER_S - ARRIVING_KIB_PER_S);
  struct harness h = { .log = { &link_vtable }, .begun_us = hc_now_us () };

  (void)state;
  tail_setup (&h.tail, &(struct tail_desc){ .loop = ev_default_loop (0),
                                            .log = &h.log,
                                            .gap_ms = GAP_MS,
                                            .record = on_record,
                                            .user = &h });
  tail_start (&h.tail);
  /* What arrives in a pause is always unread. */
  while (unread_kib (&h) > ARRIVING_KIB_PER_S
         && hc_now_us () < h.begun_us + 3 * allowed_us)
    ev_run (ev_default_loop (0), EVRUN_ONCE);
  tail_stop (&h.tail);
  ev_timer_stop (ev_default_loop (0), &h.timer);
  assert_true (hc_now_us () <= h.begun_us + allowed_us);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_age_of_a_view_loaded_in_pages),
    cmocka_unit_test (test_age_of_a_view_behind),
    cmocka_unit_test (test_reads_on_a_narrow_link),
    cmocka_unit_test (test_catches_up_after_an_outage),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
