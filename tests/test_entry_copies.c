/* Answers between VMs that were meant for an earlier process of the VM. Guards
   against callers who are told that a job was stored or never existed by an
   answer that does not speak for it. */

#include "tst_cluster.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define JOB_PATH "/plain/0000000000000001"
#define JOB_BODY                                                              \
  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":10,"       \
  "\"estimate_ms\":200}]}"
/** A VM counts its calls from 1, or the rows of its requests from 0. */
#define FIRST_NUMBERS 400
/** An offset that no stream has. */
#define NO_OFFSET (1ULL << 40)

struct fixture
{
  struct tst_cluster cluster;
  struct entry *leader;
  struct entry *follower;
  uint32_t follower_index;
};

static struct fixture *
setup (void)
{
  struct fixture *f = calloc (1, sizeof *f);

  tst_cluster_setup (&f->cluster);
  f->follower_index
      = (tst_cluster_leader_index (&f->cluster) + 1) % TST_CLUSTER_VMS;
  f->leader = &tst_cluster_leader (&f->cluster)->entry;
  f->follower = &f->cluster.vms[f->follower_index].entry;
  return f;
}

static void
teardown (struct fixture *f)
{
  tst_cluster_teardown (&f->cluster);
  free (f);
}

/* The leader sends the follower a message that it did not ask for. */
static void
send_from_leader (struct fixture *f, const Cyc__Peer *message)
{
  struct cyc_ref peer
      = pl_find (&f->leader->links,
                 cyc_name_str (&f->cluster.vms[f->follower_index].settings.vm),
                 SET_ROLE_ENTRY);

  assert_true (peer.generation != 0);
  assert_true (pl_send (&f->leader->links, peer, message));
}

/* A VM relays its reads of the log. An answer to a read that an earlier
   process of the VM relayed is not taken for one of them. */
static void
test_relayed_answer_to_an_earlier_process (void **state)
{
  struct fixture *f = setup ();

  (void)state;
  f->cluster.fake.faults.log_silent = true;
  for (int i = 0; i < 200 && !f->follower->relay.relaying; i++)
    tst_cluster_run (&f->cluster, 10);
  assert_true (f->follower->relay.relaying);
  for (uint64_t number = 1; number <= FIRST_NUMBERS; number++)
    {
      Cyc__Peer message = CYC__PEER__INIT;
      Cyc__LogAnswer answer = CYC__LOG_ANSWER__INIT;

      message.body_case = CYC__PEER__BODY_LOG_ANSWER;
      message.log_answer = &answer;
      answer.ask = number;
      answer.fate = PT_OK;
      answer.next = NO_OFFSET;
      send_from_leader (f, &message);
    }
  tst_cluster_run (&f->cluster, 100);
  assert_in_range (f->follower->lead_tail.next, 0, NO_OFFSET - 1);
  assert_in_range (f->follower->config_tail.next, 0, NO_OFFSET - 1);
  teardown (f);
}

/* A caller asks for the state of an accepted job. An answer to a question that
   an earlier process of the VM asked says that its job is unknown. */
static void
test_state_of_a_job_of_an_earlier_process (void **state)
{
  struct fixture *f = setup ();
  uint32_t call;

  (void)state;
  f->cluster.fake.task_duration_ms = 30000;
  assert_int_equal (tst_cluster_request (&f->cluster, f->follower_index,
                                         "POST", JOB_PATH, JOB_BODY),
                    PT_ANSWER_ACCEPTED);
  /* The leader is not confirmed and cannot answer. */
  f->cluster.fake.faults.log_silent = true;
  tst_cluster_run (&f->cluster, 3000);
  call = tst_cluster_send (&f->cluster, f->follower_index, "GET", JOB_PATH,
                           TST_CLUSTER_KEY, "");
  tst_cluster_run (&f->cluster, 100);
  assert_int_equal (f->cluster.answer_counts[call], 0);
  for (uint64_t number = 0; number < FIRST_NUMBERS; number++)
    {
      Cyc__Peer message = CYC__PEER__INIT;
      Cyc__CellAnswer answer = CYC__CELL_ANSWER__INIT;

      message.body_case = CYC__PEER__BODY_CELL_ANSWER;
      message.cell_answer = &answer;
      answer.ask = (1 + number / 16) << 32 | number % 16;
      answer.leading = true;
      send_from_leader (f, &message);
    }
  tst_cluster_run (&f->cluster, 100);
  assert_int_equal (f->cluster.answer_counts[call], 0);
  teardown (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_relayed_answer_to_an_earlier_process),
    cmocka_unit_test (test_state_of_a_job_of_an_earlier_process),
  };

  signal (SIGPIPE, SIG_IGN);
  if (getenv ("TEST_FILTER") != NULL)
    cmocka_set_test_filter (getenv ("TEST_FILTER"));
  return cmocka_run_group_tests (tests, NULL, NULL);
}
