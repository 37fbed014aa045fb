/**
 * @file
 * Table of jobs over the `jobs` stream: submitted, cancelled, progressed,
 * ended. Replay is idempotent by job id; progress and end are taken only from
 * the highest epoch seen for the job.
 */
#ifndef CYCLAMENDRUM_JOBS_H
#define CYCLAMENDRUM_JOBS_H

#include <cyclamendrum/base.h>

#define CYC_JOB_MAX_TASKS 4096

enum cyc_job_state
{
  CYC_JOB_QUEUED = 0,
  CYC_JOB_RUNNING,
  CYC_JOB_DONE,
  CYC_JOB_FAILED,
  CYC_JOB_CANCELLED,
  CYC_JOB_UNKNOWN
};

struct cyc_job_row
{
  struct cyc_id128 id;
  struct cyc_name queue;
  struct cyc_name team;
  struct cyc_name domain;
  uint64_t queue_version;
  uint64_t submitted_ms; /**< Unix milliseconds */
  uint64_t offset;       /**< of the newest submit record, for rewriting */
  uint32_t tasks;
  uint32_t attempt;
  uint32_t done_tasks;
  bool cancel_requested;
  enum cyc_job_state state; /**< QUEUED until it ends */
  char reason[120];
};

struct cyc_jobs_desc
{
  struct cyc_allocator allocator;
  uint32_t max_jobs;  /**< 0: 131,072; ended jobs are dropped oldest first */
  uint32_t max_tasks; /**< done-bits over all jobs; 0: 4,194,304 */
};

struct cyc_jobs
{
  struct cyc_jobs_state *state; /**< private */
};

/** Called for each job that a record changed. */
struct cyc_jobs_watch
{
  void (*changed) (void *user, const struct cyc_job_row *row);
  void *user;
};

bool cyc_jobs_setup (struct cyc_jobs *jobs, const struct cyc_jobs_desc *desc,
                     struct cyc_findings *findings);
void cyc_jobs_shutdown (struct cyc_jobs *jobs);
bool cyc_jobs_apply (struct cyc_jobs *jobs, uint64_t offset,
                     struct cyc_str record,
                     const struct cyc_jobs_watch *watch);
uint64_t cyc_jobs_next (const struct cyc_jobs *jobs);
void cyc_jobs_seek (struct cyc_jobs *jobs, uint64_t offset);
const struct cyc_job_row *cyc_jobs_find (const struct cyc_jobs *jobs,
                                         const struct cyc_id128 *id);
bool cyc_jobs_task_done (const struct cyc_jobs *jobs,
                         const struct cyc_id128 *id, uint32_t task);
/** Iterates over jobs that have not ended; start with *cursor = 0. */
const struct cyc_job_row *cyc_jobs_next_open (const struct cyc_jobs *jobs,
                                              uint32_t *cursor);

enum cyc_job_event_kind
{
  CYC_JOB_EVENT_SUBMIT,
  CYC_JOB_EVENT_CANCEL,
  CYC_JOB_EVENT_PROGRESS,
  CYC_JOB_EVENT_DONE
};

struct cyc_job_event
{
  enum cyc_job_event_kind kind;
  struct cyc_id128 job_id;
  struct cyc_str queue; /**< SUBMIT */
  uint64_t queue_version;
  struct cyc_str team;
  struct cyc_str domain;
  uint32_t tasks;
  uint64_t submitted_ms;
  uint32_t attempt;         /**< PROGRESS */
  struct cyc_str done_bits; /**< PROGRESS: bit i of byte i/8 is task i */
  enum cyc_job_state state; /**< DONE */
  struct cyc_str reason;    /**< DONE */
  uint64_t epoch;           /**< PROGRESS, DONE */
};

bool cyc_rec_jobs (const struct cyc_id128 *id, struct cyc_str writer,
                   const struct cyc_job_event *events, uint32_t count,
                   struct cyc_str *out);

#endif
