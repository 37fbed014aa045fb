/**
 * @file
 * Decision core of a cell: jobs of steps and tasks, the workers of all
 * failure domains, and the runs that bind them.
 *
 * The core has no clock, socket or log. The leading entry VM feeds it what it
 * learned, calls cell_tick, writes the records of a closed batch to the log,
 * and carries out the orders that a durable batch releases. A start is
 * ordered only after the record that names its worker is durable, so a new
 * leader knows every worker on which a task may run.
 *
 * @code
 * cell_setup (&core, &(struct cell_desc){ .lease_ms = 10000 });
 * cell_job_add (core, id, job, true, now_us, now_ms);
 * cell_tick (core, now_us);
 * while (cell_batch_next (core, &record)) append (record);
 * cell_batch_durable (core, batch, now_us);
 * while (cell_order_next (core, &order)) carry_out (&order);
 * @endcode
 */
#ifndef CYCLAMENDRUM_CELL_H
#define CYCLAMENDRUM_CELL_H

#include <cyclamendrum/base.h>
#include <cyclamendrum/config.h>

#define CELL_TICKET_BYTES 40
#define CELL_CHECKPOINT_BYTES 40
#define CELL_LABELS_MAX 8
#define CELL_STEPS_MAX 64
#define CELL_NO_ROW UINT32_MAX

struct Cyc__CellJob;

enum cell_job_state
{
  CELL_JOB_QUEUED = 1,
  CELL_JOB_ACTIVE,
  CELL_JOB_COMPLETE,
  CELL_JOB_FAILED,
  CELL_JOB_CANCELED
};

/** Advice that a queue's policy asks for before a step may start. */
struct cell_advice_cfg
{
  bool wanted;
  uint64_t decision_us;   /**< time of a call that names no worker */
  uint64_t per_worker_us; /**< further time for each worker named */
  uint64_t valid_us;      /**< life of a ticket */
};

struct cell_queue_cfg
{
  struct cyc_name name;
  struct cyc_name host;
  struct cyc_name pool;
  char path_prefix[128];
  uint32_t priority; /**< 0 comes first */
  uint32_t max_attempts;
  uint32_t slack_permille;
  uint32_t objective_ms; /**< beside the job's own chain of work */
  bool open_to_all;      /**< no key is asked for */
  struct cell_advice_cfg advice;
};

struct cell_team_cfg
{
  struct cyc_name name;
  uint32_t weight;
  struct cyc_resources limit; /**< members that are 0: no limit */
  struct cyc_name *keys;
  uint32_t key_count;
};

struct cell_pool_cfg
{
  struct cyc_name name;
  bool standby;
};

/** A whole configuration; owned by whoever holds it. */
struct cell_config
{
  uint64_t version;
  struct cell_queue_cfg *queues;
  uint32_t queue_count;
  struct cell_team_cfg *teams;
  uint32_t team_count;
  struct cell_pool_cfg *pools;
  uint32_t pool_count;
};

void cell_config_free (struct cell_config *config);
/** Queue by host and longest path prefix; NULL when there is none. */
const struct cell_queue_cfg *
cell_config_route (const struct cell_config *config, struct cyc_str host,
                   struct cyc_str path);
const struct cell_team_cfg *
cell_config_team_of_key (const struct cell_config *config, struct cyc_str key);
const struct cell_queue_cfg *
cell_config_queue (const struct cell_config *config, struct cyc_str name);

/** What the discovery says of a worker. */
struct cell_worker_entry
{
  struct cyc_name id;
  struct cyc_name pool;
  struct cyc_name domain;
  struct cyc_name address;
  struct cyc_name labels[CELL_LABELS_MAX];
  uint32_t label_count;
  struct cyc_resources capacity;
  uint64_t born_ms; /**< start of this life, Unix; 0: not said */
  bool draining;
  uint32_t leaves_in_ms; /**< draining: it stays so long at least; 0: not
                            said */
};

/** One row of what a worker says it runs. */
struct cell_running_row
{
  struct cyc_str task;
  uint32_t run;
  struct cyc_str checkpoint;
  uint32_t percent;
  uint32_t load; /**< tail in ms, or millicores in use */
};

enum cell_end_kind
{
  CELL_END_DONE,
  CELL_END_FAILED,
  CELL_END_STOPPED,
  CELL_END_LAPSED,
  CELL_END_BROKEN, /**< another member of the gang ended */
  CELL_END_ALONE   /**< the other members of the gang did not come */
};

struct cell_end_row
{
  uint64_t number;
  struct cyc_str task;
  uint32_t run;
  enum cell_end_kind kind;
  struct cyc_str checkpoint;
};

/** A worker's answer to a hold. */
struct cell_report
{
  uint64_t sent_us;
  uint64_t born_ms; /**< 0: not said */
  uint64_t clock_ms;
  struct cell_running_row *running;
  uint32_t running_count;
  struct cell_end_row *ends;
  uint32_t end_count;
  bool more_ends; /**< the list of ends was cut */
};

enum cell_start_result
{
  CELL_START_OK,
  CELL_START_REFUSED_ROOM,
  CELL_START_REFUSED_TICKET,
  CELL_START_REFUSED_OTHER, /**< surely not begun */
  CELL_START_FENCED,        /**< a newer leader gave orders there */
  CELL_START_UNKNOWN        /**< it may have begun, or begin later */
};

struct cell_ticket
{
  struct cyc_str worker;
  struct cyc_str text;
};

enum cell_order_kind
{
  CELL_ORDER_START,
  CELL_ORDER_STOP
};

struct cell_order
{
  enum cell_order_kind kind;
  struct cyc_ref run;
  uint32_t worker;
  char task[64];
  uint32_t number;
  struct cyc_str payload;
  char ticket[CELL_TICKET_BYTES];
  char checkpoint[CELL_CHECKPOINT_BYTES];
};

/** A question for the advisor. */
struct cell_ask
{
  uint64_t ask;
  char step[48];
  uint64_t cost_us; /**< time of the call */
  uint32_t priority;
  uint32_t worker_count;
  uint32_t workers[100]; /**< rows */
};

struct cell_record
{
  uint64_t job;
  uint64_t revision; /**< of two records of a job the higher one is true */
  uint8_t *data;     /**< to be freed */
  size_t len;
};

struct cell_desc
{
  uint32_t lease_ms;        /**< longest lease that workers grant */
  uint32_t heartbeat_ms;    /**< gap between what a worker says of itself; 0:
                               not known */
  uint32_t ticket_slack_ms; /**< a ticket is used up to so long before its
                               end */
  uint64_t first_revision;  /**< above those of all earlier leaders */
};

struct cell_core;

struct cell_core *cell_setup (const struct cell_desc *desc);
void cell_shutdown (struct cell_core *core);

/** @p config must stay valid until the next call or the end of the core. */
void cell_config_set (struct cell_core *core,
                      const struct cell_config *config);
/** @p after_us: the entry was written later than that; 0: not known. */
void cell_worker_listed (struct cell_core *core,
                         const struct cell_worker_entry *entry,
                         uint64_t after_us, uint64_t now_us);
/** The entry was removed: the worker has left, or was silent for three
 * heartbeats. */
void cell_worker_unlisted (struct cell_core *core, struct cyc_str id,
                           uint64_t now_us);
uint32_t cell_worker_count (const struct cell_core *core);

struct cell_worker_view
{
  struct cyc_str id;
  struct cyc_str address;
  bool listed;
  bool draining;
  uint32_t runs;
  bool fenced; /**< has answered this leader */
  /** A report asked for after this time would settle some run; 0: none is
   * unsettled. */
  uint64_t look_us;
  uint64_t seen_end;          /**< highest number of an end taken in */
  uint64_t ack;               /**< ends up to here may be forgotten */
  uint64_t lease_deadline_ms; /**< on the worker's clock */
  uint64_t clock_ms;          /**< of the worker, 0: not known */
  uint64_t clock_at_us;       /**< when clock_ms was read */
};
void cell_worker_view (const struct cell_core *core, uint32_t row,
                       struct cell_worker_view *out);
void cell_worker_report (struct cell_core *core, uint32_t row,
                         const struct cell_report *report, uint64_t now_us);
/** The worker did not answer several calls in a row. */
void cell_worker_silent (struct cell_core *core, uint32_t row,
                         uint64_t now_us);
/** The lease was asked to be extended to @p deadline_ms of the worker's
 * clock. */
void cell_worker_leased (struct cell_core *core, uint32_t row,
                         uint64_t deadline_ms);

/** Takes @p job over. @p stored: the log holds it; else advice is asked for
 * and workers are chosen, but nothing starts until cell_job_stored. False:
 * known already or not valid, and freed. */
bool cell_job_add (struct cell_core *core, uint64_t id,
                   struct Cyc__CellJob *job, bool stored, uint64_t now_us,
                   uint64_t now_ms);
/** The log holds the job now; ignored for one that is not known. */
void cell_job_stored (struct cell_core *core, uint64_t id, uint64_t now_us);
/** Forgets a job that the log surely does not hold. */
void cell_job_withdraw (struct cell_core *core, uint64_t id);
/** False when the job is not known. */
bool cell_job_cancel (struct cell_core *core, uint64_t id, uint64_t now_us);
/** Time from which everything has certainly lapsed on a worker that does not
 * answer, when its lease was last extended at @p extended_us. */
uint64_t cell_lease_lapsed_us (const struct cell_core *core,
                               uint64_t extended_us);
/** Applies the progress record with the highest revision to a job added
 * before; @p lease_until_us: until when its runs may go on on workers that do
 * not answer. */
bool cell_job_restore (struct cell_core *core, uint64_t id,
                       struct cyc_str record, uint64_t lease_until_us);
/** 0: not known, or not stored. The state that is durable. */
enum cell_job_state cell_job_state (const struct cell_core *core, uint64_t id);
/** The job's team sent more than its rate allows when the job came. */
bool cell_job_over_rate (const struct cell_core *core, uint64_t id);
/** A job that is not stored yet had better be refused: its team is over its
 * rate, and work of that kind already waits longer than its objective. */
bool cell_job_refusable (const struct cell_core *core, uint64_t id);
/** Jobs of the queue of which no task has started. */
uint32_t cell_queue_pending (const struct cell_core *core,
                             struct cyc_str queue);

void cell_start_result (struct cell_core *core, struct cyc_ref run,
                        enum cell_start_result result, uint64_t now_us);
/** @p sent_us: when the answered stop was sent; 0: no answer. */
void cell_stop_result (struct cell_core *core, struct cyc_ref run,
                       uint64_t sent_us, uint64_t now_us);
void cell_advice (struct cell_core *core, uint64_t ask, bool answered,
                  uint64_t valid_us, const struct cell_ticket *tickets,
                  uint32_t count, uint64_t now_us);

void cell_tick (struct cell_core *core, uint64_t now_us, uint64_t now_ms);
/** When the next tick has something to do; UINT64_MAX: on the next input. */
uint64_t cell_next_us (const struct cell_core *core);
/** A question for the advisor that was not handed out yet, most urgent first;
 * those that cost more than @p most_us are passed over. */
bool cell_ask_next (struct cell_core *core, uint64_t most_us,
                    struct cell_ask *out);

/** Closes the batch of records; 0 when there is nothing to write. */
uint64_t cell_batch_close (struct cell_core *core);
bool cell_batch_next (struct cell_core *core, struct cell_record *out);
/** All records of the batch are durable; batches may become so in any
 * order. */
void cell_batch_durable (struct cell_core *core, uint64_t batch,
                         uint64_t now_us);
bool cell_order_next (struct cell_core *core, struct cell_order *out);

struct cell_totals
{
  uint32_t jobs;
  uint32_t jobs_open;
  uint32_t stages_waiting;
  uint32_t asks_waiting;
  uint32_t runs;
  uint32_t workers_usable;
  uint64_t used_millicores;
  uint64_t capacity_millicores;
};
void cell_totals (const struct cell_core *core, struct cell_totals *out);

/** Parses the 16 hex digits of a job id; false when they are not that. */
bool cell_job_id_parse (struct cyc_str text, uint64_t *out);

#endif
