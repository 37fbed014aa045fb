/**
 * @file
 * Stand-in of the users' platform: the log with topics and keys, workers that
 * run tasks under leases, and the advisor, each on a port of its own, with
 * faults that tests switch on.
 *
 * @code
 * fkp_setup (&platform, loop, 3, &found);
 * fkp_put (&platform, "keyed.op", "config", text);
 * platform.faults.log_disconnects = true;
 * @endcode
 */
#ifndef FK_PLATFORM_H
#define FK_PLATFORM_H

#include "fk_common.h"

#define FKP_WORKERS_MAX 8
#define FKP_RUNS_MAX 256

/** A partition of a topic. */
struct fkp_part
{
  char name[64]; /**< "TOPIC/PART" */
  bool keyed;
  uint64_t first;      /**< oldest offset kept */
  GPtrArray *records;  /**< GBytes; index + first = offset */
  GHashTable *newest;  /**< key to GBytes, keyed topics only */
  GHashTable *offsets; /**< key to offset */
  char producer[32];
  uint64_t epoch;
  uint64_t sequence;    /**< next one */
  uint64_t last_offset; /**< of the last append of the producer */
};

struct fkp_run
{
  char task[64];
  char checkpoint[32];
  uint32_t number;
  uint64_t start_ms;
  uint64_t end_ms;
  bool stopping;
};

struct fkp_end
{
  uint64_t number;
  char task[64];
  uint32_t run;
  const char *outcome;
};

struct fkp_platform;

struct fkp_worker
{
  struct fkp_platform *platform;
  struct hs_server hs;
  char id[24];
  uint64_t born_ms;
  uint64_t fence;
  uint64_t lease_ms;
  uint32_t millicores;
  bool draining;
  bool silent; /**< answers nothing; what runs goes on */
  struct fkp_run runs[FKP_RUNS_MAX];
  uint32_t run_count;
  struct fkp_end ends[FKP_RUNS_MAX];
  uint32_t end_count;
  uint64_t next_end_number;
  uint64_t starts;
};

struct fkp_faults
{
  bool log_disconnects;         /**< connections close without an answer */
  bool log_busy;                /**< 503 */
  bool log_silent;              /**< no answer at all */
  uint32_t lose_append_answers; /**< next appends take effect and are not
                                   answered */
  uint32_t log_delay_ms;        /**< of each answer of the log */
  bool advisor_busy;            /**< 429 */
  bool advisor_silent;
  uint32_t
      lose_start_answers; /**< next starts are carried out, not answered */
  int start_error_status; /**< status of the next starts; 0: none */
  const char *reason;     /**< with status 409 */
  bool workers_silent;
  bool other_incarnation; /**< 421 */
};

struct fkp_pending_reply
{
  struct hs_server *hs;
  struct cyc_ref call;
  struct fkp_part *part; /**< a read that waits */
  uint64_t from;
  struct fkp_worker *worker; /**< a hold that waits */
  uint64_t due_ms;
  GBytes *body; /**< an answer that is delayed */
  uint32_t status;
};

struct fkp_platform
{
  struct ev_loop *loop;
  struct hs_server log;
  struct hs_server advisor;
  struct fkp_worker workers[FKP_WORKERS_MAX];
  uint32_t worker_count;
  GPtrArray *parts;
  GArray *pending_replies; /**< struct fkp_pending_reply */
  struct ev_timer timer;
  struct fkp_faults faults;
  uint32_t task_duration_ms; /**< of a task; 0: 200 */
  uint64_t calls;
  uint64_t advice_requests;
  uint64_t entry_seq;
  uint64_t next_entries_ms;
};

bool fkp_setup (struct fkp_platform *platform, struct ev_loop *loop,
                uint32_t workers, struct cyc_findings *findings);
void fkp_shutdown (struct fkp_platform *platform);
/** Appends a record to part 0 of a keyed topic. */
void fkp_put (struct fkp_platform *platform, const char *topic,
              const char *key, const char *value);
/** Drops the oldest records of a part. */
void fkp_trim (struct fkp_platform *platform, const char *topic,
               uint64_t before);
/** "127.0.0.1:PORT" of a server. */
void fkp_address (const struct hs_server *hs, char out[32]);

#endif
