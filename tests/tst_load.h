/**
 * @file
 * Callers that send requests and jobs all the time and keep what they were
 * told, and the checker that compares it with the workers' journal.
 *
 * Each request carries a mark that no other one has. A caller that got no
 * outcome, or `unknown`, sends the same request again under the same key; one
 * that got `not-run` does not, so a mark that was refused must not be in the
 * journal.
 */
#ifndef TST_LOAD_H
#define TST_LOAD_H

#include "tst_site.h"

#include <glib.h>
#include <pthread.h>

#define TST_CALLER_COUNT 24
/** This caller presents the key of a team that the queue is not of. */
#define TST_OTHER_TEAM_CALLER 2

struct tst_call_record
{
  char mark[48];
  char outcome[16];
  char worker[16]; /**< that answered */
  long status;
  uint32_t vm;
  uint32_t attempt;
  uint64_t start_ms;
  uint64_t end_ms;
  bool once_only;      /**< must not be repeated */
  bool second_key;     /**< sent with the key that a case withdraws */
  bool other_team_key; /**< sent with a key of another team */
  bool answer_matches; /**< the answer is the one to this request */
  bool refused_connection;
};

struct tst_load
{
  struct tst_site *site;
  pthread_t threads[TST_CALLER_COUNT + 1];
  pthread_mutex_t lock;
  GArray *records; /**< struct tst_call_record */
  GPtrArray *jobs; /**< ids of accepted jobs */
  GPtrArray
      *once_only_jobs; /**< the same, of the queue that is not repeatable */
  GHashTable
      *once_only_job_states; /**< id of a once-only job -> its last state */
  bool stop;
  bool out_of_rotation[TST_VMS]; /**< taken out of rotation by the balancer */
  bool interrupted[TST_VMS];     /**< was killed or paused: calls may break */
  char second_key[96];           /**< used by one caller when set */
  uint64_t withdrawn_ms;
  bool isolated[TST_VMS];        /**< cut off from the other domain */
  bool no_control_path[TST_VMS]; /**< to the log or to a fresh peer */
  uint64_t cut_start_ms;         /**< start of the cut; 0: none */
  uint64_t cut_end_ms;           /**< end of the cut */
};

/** Empty load without callers; tst_load_start does it as well. */
void tst_load_setup (struct tst_load *load, struct tst_site *site);
void tst_load_start (struct tst_load *load, struct tst_site *site);
void tst_load_stop (struct tst_load *load);
/** Waits for @p count more calls that ended; false after @p timeout_ms. */
bool tst_load_wait_calls (struct tst_load *load, uint32_t count,
                          uint64_t timeout_ms);
/** Waits until every accepted job is done; one that may not be repeated is not
 * tried again, so it may also end as failed or unknown. */
void tst_load_wait_jobs (struct tst_load *load, uint64_t timeout_ms);
/** Compares calls and journal (JSON lines, changed by the call); adds the
 * violations to the site. */
void tst_check (struct tst_load *load, char *journal);
void tst_load_release (struct tst_load *load);

#endif
