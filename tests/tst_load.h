/**
 * @file
 * Load of the process tests: threads that continuously send requests and jobs
 * and record the answers, and the checker that compares these records with the
 * workers' journal.
 *
 * The body of each request is a unique mark, which the journal shows. A caller
 * that got no outcome or `unknown` for a once-only request retries it with the
 * same idempotency key. A request with the outcome `not-run` is never retried,
 * so its mark must not be in the journal.
 *
 * Order of calls: tst_load_start, tst_load_stop, tst_load_wait_jobs,
 * tst_load_check, tst_load_release.
 */
#ifndef TST_LOAD_H
#define TST_LOAD_H

#include "tst_site.h"

#include <glib.h>
#include <pthread.h>

#define TST_CALLER_COUNT 24
/** Index of the caller whose key belongs to another team than the queue. */
#define TST_OTHER_TEAM_CALLER 2

/** A request and its answer. */
struct tst_call_record
{
  char mark[48];
  char outcome[16];
  char worker[16]; /**< name of the worker that answered */
  long status;     /**< HTTP status; 0 without an answer */
  uint32_t vm;
  uint32_t attempt; /**< 0 for the first */
  uint64_t start_ms;
  uint64_t end_ms;
  bool once_only;      /**< the request must not run twice */
  bool second_key;     /**< sent with the key that a fault withdraws */
  bool other_team_key; /**< sent with a key of another team */
  /** The answer is complete and belongs to this request. */
  bool answer_matches;
  bool refused_connection;
};

struct tst_load
{
  struct tst_site *site;
  pthread_t threads[TST_CALLER_COUNT + 1];
  pthread_mutex_t lock;
  GArray *records; /**< struct tst_call_record */
  GPtrArray *jobs; /**< ids of accepted jobs */
  /** Ids of accepted jobs of the unrepeatable queue. */
  GPtrArray *once_only_jobs;
  /** Id of a once-only job -> its newest state. */
  GHashTable *once_only_job_states;
  bool stop;
  bool out_of_rotation[TST_VMS]; /**< the load balancer sends no calls to it */
  /** Was killed or paused, so calls may get no answer. */
  bool interrupted[TST_VMS];
  char second_key[96];    /**< key used by caller 0; empty: not set */
  uint64_t withdrawn_ms;  /**< withdrawal of the second key; 0: none */
  bool isolated[TST_VMS]; /**< has no links to the other domain */
  /** Reaches neither the log nor an up-to-date peer. */
  bool no_control_path[TST_VMS];
  uint64_t cut_start_ms; /**< start of the link cut; 0: none */
  /** End of the link cut; UINT64_MAX during it. */
  uint64_t cut_end_ms;
};

/** Initializes an empty load without callers; tst_load_start includes this. */
void tst_load_setup (struct tst_load *load, struct tst_site *site);
/** Starts the callers and the submitter of jobs. */
void tst_load_start (struct tst_load *load, struct tst_site *site);
/** Stops all threads and waits until they have ended. */
void tst_load_stop (struct tst_load *load);
/** Waits until @p count more calls have ended. Returns false on timeout. */
bool tst_load_wait_calls (struct tst_load *load, uint32_t count,
                          uint64_t timeout_ms);
/** Waits until every accepted job is done, and reports a violation on timeout.
 * Once-only jobs are not retried, so they may also end as failed or unknown.
 */
void tst_load_wait_jobs (struct tst_load *load, uint64_t timeout_ms);
/** Compares the recorded calls with @p journal (JSON lines, modified by the
 * call) and adds the violations to the site. */
void tst_load_check (struct tst_load *load, char *journal);
void tst_load_release (struct tst_load *load);

#endif
