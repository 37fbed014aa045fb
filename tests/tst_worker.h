/**
 * @file
 * In-memory implementations of the worker and VM list interfaces. The result
 * callbacks run in tst_worker_answer_calls and tst_vm_list_answer, never
 * inside the call that began the operation.
 */
#ifndef TST_WORKER_H
#define TST_WORKER_H

#include "vm_list.h"
#include "worker_client.h"

#define TST_WORKER_MAX_TASKS 16
#define TST_WORKER_MAX_CALLS 16

struct tst_worker_task
{
  char name[WC_TASK_BYTES];
  char queue[64];
  struct cyc_id128 lease;
  struct cyc_resources size;
  enum wc_task_state state;
  uint64_t not_after_us;
};

struct tst_worker_call
{
  void (*done) (void *user, const struct wc_result *result);
  void (*heartbeat_done) (void *user,
                          const struct wc_heartbeat_result *result);
  void *user;
  struct wc_result result;
};

struct tst_worker
{
  struct wc_worker worker;
  uint64_t epoch;
  uint32_t millicores;
  bool silent; /**< calls do not reach the worker and time out */
  bool gone;   /**< nothing listens at its address */
  bool draining;
  bool lose_answer; /**< the next call takes effect, but its answer is lost */
  struct tst_worker_task tasks[TST_WORKER_MAX_TASKS];
  uint32_t task_count;
  struct tst_worker_call calls[TST_WORKER_MAX_CALLS];
  uint32_t call_count;
};

void tst_worker_setup (struct tst_worker *tw, uint32_t millicores);
/** Answers all open calls. */
void tst_worker_answer_calls (struct tst_worker *tw);

struct tst_vm_list
{
  struct vl_list list;
  const char *body; /**< body of the answer; NULL: no answer */
  bool open;
  struct vl_fetch fetch;
};

void tst_vm_list_setup (struct tst_vm_list *tl);
/** Answers the open fetch, if there is one. */
void tst_vm_list_answer (struct tst_vm_list *tl);

#endif
