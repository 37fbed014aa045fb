/**
 * @file
 * Entry VMs in one process and one event loop against the fake platform, with
 * the adapter's real HTTP client. Several clusters can run at the same time.
 * Calls fail the running test on errors.
 *
 * @code
 * tst_cluster_setup (&cluster);
 * tst_cluster_request (&cluster, 0, "POST", path, body);
 * tst_cluster_run (&cluster, 500);
 * tst_cluster_kill_vm (&cluster, tst_cluster_leader_index (&cluster));
 * tst_cluster_teardown (&cluster);
 * @endcode
 */
#ifndef TST_CLUSTER_H
#define TST_CLUSTER_H

#include "entry_internal.h"
#include "fk_platform.h"
#include "pf.h"

#define TST_CLUSTER_VMS 3
#define TST_CLUSTER_ANSWERS 64
#define TST_CLUSTER_KEY "key-blue"

struct tst_cluster_vm
{
  struct pt_callers callers; /* first member: on_answer() casts it to vm */
  struct tst_cluster *cluster;
  struct ent_settings settings;
  struct pf_desc desc;
  struct pf_log log;
  struct pf_workers workers;
  struct pf_advisor advisor;
  struct pt_ports ports;
  struct entry entry;
  bool up;
  bool stopped; /**< a planned stop has ended */
};

struct tst_cluster
{
  struct ev_loop *loop;
  struct fkp_platform fake;
  struct tst_cluster_vm vms[TST_CLUSTER_VMS];
  struct pt_answer
      answers[TST_CLUSTER_ANSWERS]; /**< newest answer, by call index */
  uint32_t answer_counts[TST_CLUSTER_ANSWERS]; /**< by call index */
  uint32_t next_call;                          /**< index of the next call */
};

/** Starts the fake platform with four workers and all VMs, and waits for a
 * leader. */
void tst_cluster_setup (struct tst_cluster *cluster);
/** Does the same without waiting for a leader. */
void tst_cluster_begin (struct tst_cluster *cluster);
void tst_cluster_teardown (struct tst_cluster *cluster);
void tst_cluster_start_vm (struct tst_cluster *cluster, uint32_t index);
/** Ends a VM abruptly, as a kill does: it releases and announces nothing. */
void tst_cluster_kill_vm (struct tst_cluster *cluster, uint32_t index);
/** Runs the event loop for @p ms milliseconds. */
void tst_cluster_run (struct tst_cluster *cluster, uint32_t ms);
/** Returns a VM that leads, NULL if none does. */
struct tst_cluster_vm *tst_cluster_leader (struct tst_cluster *cluster);
uint32_t tst_cluster_leader_index (struct tst_cluster *cluster);
/** Sends a caller's request to a VM. Returns the index of the call, by which
 * its answer is stored. */
uint32_t tst_cluster_send (struct tst_cluster *cluster, uint32_t vm,
                           const char *method, const char *path,
                           const char *key, const char *body);
/** Sends a request with the key of the team and waits for its answer. */
enum pt_answer_kind tst_cluster_request (struct tst_cluster *cluster,
                                         uint32_t vm, const char *method,
                                         const char *path, const char *body);

#endif
