/**
 * @file
 * Table of jobs, built by replaying the `jobs` stream: submits, cancellations,
 * progress and ends.
 *
 * Replay is idempotent by job id. A progress or end record is ignored if a
 * record of a higher epoch has been applied to the job.
 *
 * @code
 * cyc_jobs_setup (&jobs, &(struct cyc_jobs_desc){ 0 }, &findings);
 * cyc_jobs_seek (&jobs, oldest);
 * while (read_record (cyc_jobs_next (&jobs), &record))
 *   cyc_jobs_apply (&jobs, cyc_jobs_next (&jobs), record, &watch);
 * row = cyc_jobs_find (&jobs, &id);
 * cyc_jobs_shutdown (&jobs);
 * @endcode
 *
 * Errors: a record that cannot be decoded is skipped and reported. An invalid
 * event is skipped; the other events of its record are applied. A job is not
 * added while the table is full of jobs that have not ended.
 */
#ifndef CYCLAMENDRUM_JOBS_H
#define CYCLAMENDRUM_JOBS_H

#include <cyclamendrum/base.h>

/** Maximum number of tasks of a job. */
#define CYC_JOB_MAX_TASKS 4096

enum cyc_job_state
{
  CYC_JOB_QUEUED = 0,
  CYC_JOB_RUNNING,
  CYC_JOB_DONE,
  CYC_JOB_FAILED,
  CYC_JOB_CANCELLED,
  CYC_JOB_UNKNOWN /**< ended with an unknown outcome */
};

/** A job and its state. */
struct cyc_job_row
{
  struct cyc_id128 id;
  struct cyc_name queue;
  struct cyc_name team;
  struct cyc_name domain; /**< home failure domain */
  uint64_t queue_version;
  uint64_t submitted_ms; /**< Unix time */
  uint64_t offset;       /**< of the newest submit record of the job, so that
                            its owner can append it again before a trim */
  uint32_t tasks;        /**< number of tasks */
  uint32_t attempt;      /**< highest attempt reported */
  uint32_t done_tasks;   /**< number of tasks that are done */
  bool cancel_requested;
  enum cyc_job_state state; /**< CYC_JOB_QUEUED until the job ends */
  char reason[120];         /**< why it ended; empty until then */
};

struct cyc_jobs_desc
{
  struct cyc_allocator allocator;
  uint32_t max_jobs;  /**< 0: 131,072. When a limit is reached, the job that
                         ended first is evicted. */
  uint32_t max_tasks; /**< total over all jobs; 0: 4,194,304 */
};

struct cyc_jobs
{
  struct cyc_jobs_state *state; /**< private */
};

/** Callback for changes. */
struct cyc_jobs_watch
{
  /** Called for each event that changed or confirmed a job. */
  void (*changed) (void *user, const struct cyc_job_row *row);
  void *user;
};

/** Allocates the table. Returns false and adds the reason to @p findings if
 * the description is invalid or memory is exhausted. */
bool cyc_jobs_setup (struct cyc_jobs *jobs, const struct cyc_jobs_desc *desc,
                     struct cyc_findings *findings);
/** Frees the table; a zeroed table is allowed. */
void cyc_jobs_shutdown (struct cyc_jobs *jobs);
/** Applies the record at @p offset; one below cyc_jobs_next is ignored. @p
 * watch may be NULL. Returns false if the record cannot be decoded or holds no
 * job events; it counts as applied. */
bool cyc_jobs_apply (struct cyc_jobs *jobs, uint64_t offset,
                     struct cyc_str record,
                     const struct cyc_jobs_watch *watch);
/** Returns the offset of the next record to apply. */
uint64_t cyc_jobs_next (const struct cyc_jobs *jobs);
/** Sets the offset of the next record, after a trim of the stream. */
void cyc_jobs_seek (struct cyc_jobs *jobs, uint64_t offset);
/** Returns the job, or NULL if it is unknown. The row is valid until the next
 * cyc_jobs_apply. */
const struct cyc_job_row *cyc_jobs_find (const struct cyc_jobs *jobs,
                                         const struct cyc_id128 *id);
/** Returns whether the task is done; false if the job or task is unknown. */
bool cyc_jobs_task_done (const struct cyc_jobs *jobs,
                         const struct cyc_id128 *id, uint32_t task);
/** Returns the next job that has not ended, or NULL after the last one. Start
 * with *cursor = 0. */
const struct cyc_job_row *cyc_jobs_next_open (const struct cyc_jobs *jobs,
                                              uint32_t *cursor);

enum cyc_job_event_kind
{
  CYC_JOB_EVENT_SUBMIT,
  CYC_JOB_EVENT_CANCEL,
  CYC_JOB_EVENT_PROGRESS,
  CYC_JOB_EVENT_DONE
};

/** An event to write. A comment on a member names the kinds that use it. */
struct cyc_job_event
{
  enum cyc_job_event_kind kind;
  struct cyc_id128 job_id;
  struct cyc_str queue;     /**< SUBMIT */
  uint64_t queue_version;   /**< SUBMIT */
  struct cyc_str team;      /**< SUBMIT; may be empty */
  struct cyc_str domain;    /**< SUBMIT: home failure domain */
  uint32_t tasks;           /**< SUBMIT: number of tasks */
  uint64_t submitted_ms;    /**< SUBMIT: Unix time */
  uint32_t attempt;         /**< PROGRESS */
  struct cyc_str done_bits; /**< PROGRESS: bit i % 8 of byte i / 8 is set if
                               task i is done */
  enum cyc_job_state state; /**< DONE */
  struct cyc_str reason;    /**< DONE */
  uint64_t epoch;           /**< PROGRESS, DONE */
};

/** Packs the events into a record that the caller releases with free().
 * Returns false if a name is invalid, the record is longer than
 * CYC_RECORD_MAX_BYTES or memory is exhausted. */
bool cyc_rec_jobs (const struct cyc_id128 *id, struct cyc_str writer,
                   const struct cyc_job_event *events, uint32_t count,
                   struct cyc_str *out);

#endif
