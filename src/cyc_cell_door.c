/* The door: which new jobs of a queue are refused because the queue's tasks
   crash workers, and when a refused caller may come back.

   A break of a worker's connections involves the queues of its unproven runs.
   It is held against the one of them that is involved in most breaks: a queue
   without deadly tasks shares each crash with the queue that has them, but not
   the other way round. Breaks of workers without unproven runs have another
   cause, such as a cut; while there are many of these, no queue is refused.

   Once several of a queue's jobs have broken workers lately, the door admits a
   job of it only if the fleet can bear the workers that are lost to the queue,
   and those that will be lost to the jobs admitted just before, by the share
   of the recent jobs that broke one. Each other caller is given the time of a
   later admission, which is kept for it, at the rate that the fleet can bear,
   and not before the tasks that wait for a trial have had theirs. As some jobs
   are admitted at any time, a queue that has recovered is noticed. */

#include "cyc_cell_internal.h"

/** Recent jobs of a queue, and recent breaks, that are remembered. */
#define JOBS_MAX 256
#define BREAKS_MAX 256
/** For how long. */
#define RECENT_US 10000000
/** For how long after its acceptance a job of an earlier leader is: it has
 * begun some time after that. */
#define RESTORED_RECENT_US 15000000
/** How long a crashed worker is missed, with the time until that is noticed.
 */
#define LOST_US 4000000
/** The workers that the fleet can bear to lose at a time to a queue of which
 * hardly any job is deadly, in permille. It falls with the share of the jobs
 * that are not, for whose sake they are borne, down to this many, or a
 * quarter of a small fleet. */
#define BEARABLE_PERMILLE 667
#define BEARABLE_MIN 4
/** Sound jobs that every queue is credited with, so that the first few deadly
 * ones do not count as all of its jobs. */
#define SOUND_JOBS_PRIOR 3
/** A task is given up after this many crashes or more. */
#define CRASHES_PER_JOB_MIN 2
/** Jobs that have broken a worker, in permille of a job: a queue is suspected
 * from the first on, and no longer below the second. */
#define SUSPECT_DEADLY_PERMILLE 4000
#define CLEAR_DEADLY_PERMILLE 2000
/** The same for their share of the recent jobs. */
#define SUSPECT_SHARE_PERMILLE 50
#define CLEAR_SHARE_PERMILLE 25
/** Further queues are never refused. */
#define QUEUES_MAX 64
/** While tasks wait this long for a trial, as many jobs are refused as are
 * deadly beyond SUSPECT_SHARE_PERMILLE; more or less in proportion, up to the
 * most. */
#define THINNING_WAIT_US 15000000
#define THINNED_MAX_PERMILLE 750
/** Longest projected wait for trials, longest projected time for one, and that
 * time while none has ended lately. A new leader has seen few. */
#define TRIALS_MAX_US 30000000
#define TRIAL_MAX_US 1000000
#define TRIAL_GUESS_US 250000
/** Interval between two counts of the tasks that wait for a trial. */
#define BACKLOG_AGE_MAX_US 100000
/** An admission that is not claimed lapses this long after its time; callers
 * wait whole seconds. */
#define CLAIM_GRACE_US 1500000
/** Admissions are promised this far ahead, to this many callers. */
#define PROMISE_AHEAD_MAX_US 600000000
#define PROMISES_MAX 1024
/** From a job's admission to the end of its first starts. */
#define ADMITTED_US 1000000
/** A job is admitted at least this often, to see whether the queue has
 * recovered. */
#define PROBE_US 2000000
/** Periods in which events are counted. */
#define PERIODS 10

/* Number of events in the last PERIODS periods. */
struct door_count
{
  struct
  {
    uint64_t expires_us;
    uint32_t events;
  } periods[PERIODS];
};

/* A recent job of a queue that is suspected of a break. */
struct door_job
{
  uint64_t job;
  uint64_t expires_us;
  uint32_t deadly_permille; /* its share of the queue's blame for a break */
  uint32_t worker;          /* row of the worker that broke */
  uint64_t born_ms;         /* its incarnation */
};

/* A break of a worker's connections. */
struct door_break
{
  uint64_t expires_us;
  uint64_t lost_until_us; /* until when the worker is missed */
  uint64_t queues;        /* bits of the queues involved */
  uint32_t worker;        /* row */
  uint64_t born_ms;       /* incarnation that broke */
};

/* An admission that is kept for a caller. */
struct door_promise
{
  uint64_t job;
  uint64_t admit_us;
  bool thinned; /* refused for the sake of the trials: not admitted before */
};

struct door_queue
{
  struct cyc_name name;
  guint index; /* among the core's queues */
  struct door_job jobs[JOBS_MAX];
  uint32_t next_job;          /* to overwrite next, modulo JOBS_MAX */
  struct door_count begun;    /* jobs of which a run has shown what it does */
  struct door_count trials;   /* that have ended */
  struct door_count admitted; /* jobs, in periods of ADMITTED_US */
  struct door_count claimed;  /* promises that were kept */
  struct door_count lapsed;   /* promises that nobody claimed */
  bool suspected;
  uint32_t thinned_permille; /* jobs refused too few for the sake of the
                                trials, in permille of a job */
  uint64_t probe_us;         /* when a job is admitted if none is until then */
  uint64_t admit_us; /* time of the next admission that is not promised */
  GArray *promises;  /* struct door_promise, earliest first */
  uint32_t backlog;  /* tasks that wait for a trial */
  uint64_t backlog_until_us; /* until when that count is used */
};

struct cell_doors
{
  GPtrArray *queues; /* struct door_queue */
  struct door_break breaks[BREAKS_MAX];
  uint32_t next_break; /* to overwrite next, modulo BREAKS_MAX */
};

/* What is known of a queue at a moment. */
struct door_estimate
{
  uint32_t deadly_permille; /* recent deadly jobs, in permille of a job */
  uint32_t share_permille;  /* of the recent jobs */
  uint32_t breaks;          /* held against the queue */
  uint32_t unexplained;     /* breaks that involve no queue */
  uint32_t lost;            /* workers lost to the queue now */
  uint32_t bearable;        /* that the fleet can bear to lose */
  uint64_t cost_permille;   /* breaks for each job, in permille of a break */
  uint64_t trial_us;        /* from one end of a trial to the next; 0 if no
                               task waits for one */
  uint64_t trials_us;       /* until the waiting trials are over */
  uint64_t trials_permille; /* trials for each job, in permille of a trial */
};

static void
free_queue (gpointer data)
{
  struct door_queue *queue = data;

  g_array_free (queue->promises, TRUE);
  g_free (queue);
}

void
cell_door_setup (struct cell_core *core)
{
  core->doors = g_new0 (struct cell_doors, 1);
  core->doors->queues = g_ptr_array_new_with_free_func (free_queue);
}

void
cell_door_shutdown (struct cell_core *core)
{
  g_ptr_array_free (core->doors->queues, TRUE);
  g_free (core->doors);
}

static struct door_queue *
queue_of (struct cell_core *core, const struct cell_job *job)
{
  struct door_queue *queue;

  for (guint i = 0; i < core->doors->queues->len; i++)
    {
      queue = g_ptr_array_index (core->doors->queues, i);
      if (cyc_name_eq (&queue->name, &job->queue))
        return queue;
    }
  queue = g_new0 (struct door_queue, 1);
  queue->name = job->queue;
  queue->index = core->doors->queues->len;
  queue->promises = g_array_new (FALSE, FALSE, sizeof (struct door_promise));
  g_ptr_array_add (core->doors->queues, queue);
  return queue;
}

/* Evidence. */

static void
count_event (struct door_count *count, uint64_t period_us, uint64_t now_us)
{
  uint64_t period = now_us / period_us;
  uint64_t expires_us = (period + PERIODS) * period_us;

  if (count->periods[period % PERIODS].expires_us != expires_us)
    count->periods[period % PERIODS].events = 0;
  count->periods[period % PERIODS].expires_us = expires_us;
  count->periods[period % PERIODS].events++;
}

static uint32_t
recent_events (const struct door_count *count, uint64_t now_us)
{
  uint32_t events = 0;

  for (uint32_t i = 0; i < PERIODS; i++)
    if (count->periods[i].expires_us > now_us)
      events += count->periods[i].events;
  return events;
}

/* Returns the row of a job that is suspected of a break; NULL if it is not. */
static struct door_job *
suspected_job (struct cell_core *core, const struct cell_job *job)
{
  struct door_job *row = &queue_of (core, job)->jobs[job->door_row];

  return row->job == job->id && row->expires_us > core->now_us ? row : NULL;
}

/* Counts the job among the recent ones, once. Returns whether it is one. */
static bool
count_begun (struct cell_core *core, struct cell_job *job)
{
  if (job->door_recent_until_us == 0)
    {
      job->door_recent_until_us = core->now_us + RECENT_US;
      count_event (&queue_of (core, job)->begun, RECENT_US / PERIODS,
                   core->now_us);
    }
  return core->now_us < job->door_recent_until_us;
}

/* Suspects the job of the break of an incarnation, if the job is recent. */
static void
suspect_job (struct cell_core *core, struct cell_job *job,
             uint32_t deadly_permille, uint32_t worker, uint64_t born_ms)
{
  struct door_queue *queue = queue_of (core, job);
  struct door_job *row = suspected_job (core, job);

  if (!count_begun (core, job))
    return;
  if (row == NULL)
    {
      job->door_row = queue->next_job++ % JOBS_MAX;
      row = &queue->jobs[job->door_row];
      *row = (struct door_job){ .job = job->id,
                                .expires_us = job->door_recent_until_us };
    }
  row->deadly_permille = MAX (row->deadly_permille, deadly_permille);
  row->worker = worker;
  row->born_ms = born_ms;
}

static void
count_trial (struct cell_core *core, const struct cell_run *run)
{
  if (run->on_trial)
    count_event (&queue_of (core, run->job)->trials, RECENT_US / PERIODS,
                 core->now_us);
}

static bool
is_suspect (const struct cell_core *core, const struct cell_worker *worker,
            const struct cell_run *run)
{
  return run->broken_us == core->now_us
         && run->broken_born_ms == worker->born_ms;
}

/* Returns the number of jobs of the queue among the suspects. */
static uint32_t
count_suspects (const struct cell_core *core, const struct cell_worker *worker,
                const struct cyc_name *queue)
{
  const struct cell_job *last = NULL;
  uint32_t count = 0;

  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    if (is_suspect (core, worker, run) && cyc_name_eq (&run->job->queue, queue)
        && run->job != last)
      {
        last = run->job;
        count++;
      }
  return count;
}

static struct door_break *
add_break (struct cell_core *core, uint32_t row, uint64_t born_ms)
{
  struct cell_doors *doors = core->doors;
  struct door_break *added = &doors->breaks[doors->next_break++ % BREAKS_MAX];

  *added = (struct door_break){ .expires_us = core->now_us + RECENT_US,
                                .lost_until_us = core->now_us + LOST_US,
                                .worker = row,
                                .born_ms = born_ms };
  return added;
}

static void
involve (struct door_break *in, const struct door_queue *queue)
{
  if (queue->index < QUEUES_MAX)
    in->queues |= UINT64_C (1) << queue->index;
}

void
cell_door_broken (struct cell_core *core, uint32_t row)
{
  const struct cell_worker *worker = cell_worker_at (core, row);
  struct door_break *now;

  /* One that has never answered this leader was lost before. */
  if (worker->muted || worker->draining || !worker->fenced)
    return;
  now = add_break (core, row, worker->born_ms);
  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    {
      struct door_queue *queue;
      uint32_t suspects;

      if (!is_suspect (core, worker, run))
        continue;
      queue = queue_of (core, run->job);
      suspects = count_suspects (core, worker, &queue->name);
      suspect_job (core, run->job, suspects > 1 ? 1000 / suspects : 1000, row,
                   worker->born_ms);
      involve (now, queue);
      count_trial (core, run);
    }
}

void
cell_door_alive (struct cell_core *core, uint32_t row)
{
  struct cell_doors *doors = core->doors;
  uint64_t born_ms = cell_worker_at (core, row)->born_ms;

  for (uint32_t i = 0; i < BREAKS_MAX; i++)
    if (doors->breaks[i].worker == row && doors->breaks[i].born_ms == born_ms)
      doors->breaks[i].expires_us = 0;
  for (guint q = 0; q < doors->queues->len; q++)
    {
      struct door_queue *queue = g_ptr_array_index (doors->queues, q);

      for (uint32_t i = 0; i < JOBS_MAX; i++)
        if (queue->jobs[i].worker == row && queue->jobs[i].born_ms == born_ms)
          queue->jobs[i].deadly_permille = 0;
    }
}

/* Returns whether crashes count against a task of the job other than that of
   the run. */
static bool
others_suspected (const struct cell_run *run)
{
  const struct cell_job *job = run->job;
  uint32_t count = 0;

  for (uint32_t r = 0; r < job->round_count; r++)
    for (uint32_t t = 0; t < job->task_count; t++)
      count += job->rounds[r].tasks[t].crashes != NULL;
  return count > 1;
}

void
cell_door_survived (struct cell_core *core, const struct cell_run *run,
                    bool cleared)
{
  struct door_job *job = suspected_job (core, run->job);

  count_begun (core, run->job);
  count_trial (core, run);
  if (cleared && job != NULL && !others_suspected (run))
    job->deadly_permille = 0;
}

void
cell_door_given_up (struct cell_core *core, struct cell_job *job)
{
  struct door_job *suspected = suspected_job (core, job);

  if (suspected != NULL)
    suspected->deadly_permille = 1000;
}

void
cell_door_restored (struct cell_core *core, struct cell_job *job,
                    enum cell_job_state state)
{
  job->door_recent_until_us = job->accepted_us + RESTORED_RECENT_US;
  if (core->now_us < job->door_recent_until_us
      && (state == CELL_JOB_ACTIVE || state == CELL_JOB_COMPLETE))
    count_event (&queue_of (core, job)->begun, RECENT_US / PERIODS,
                 core->now_us);
}

/* Adds a break that a record tells of, and suspects the job of it. How many
   others were suspected is not recorded. */
static struct door_break *
restore (struct cell_core *core, struct cell_job *job, uint32_t row,
         uint64_t born_ms)
{
  struct door_break *at = NULL;

  for (uint32_t i = 0; i < BREAKS_MAX && at == NULL; i++)
    if (core->doors->breaks[i].worker == row
        && core->doors->breaks[i].born_ms == born_ms
        && core->doors->breaks[i].expires_us > core->now_us)
      at = &core->doors->breaks[i];
  if (at == NULL)
    {
      at = add_break (core, row, born_ms);
      at->lost_until_us = 0;
    }
  involve (at, queue_of (core, job));
  suspect_job (core, job, 1000, row, born_ms);
  return at;
}

void
cell_door_restored_crash (struct cell_core *core, struct cell_job *job,
                          uint32_t row, uint64_t born_ms)
{
  restore (core, job, row, born_ms);
}

void
cell_door_restored_run (struct cell_core *core, const struct cell_run *run)
{
  restore (core, run->job, run->worker, run->broken_born_ms)->lost_until_us
      = core->now_us + LOST_US;
}

/* Admission. */

static uint32_t
count_backlog (const struct cell_core *core, const struct door_queue *queue)
{
  uint32_t count = 0;

  for (guint i = 0; i < core->waiting->len; i++)
    {
      const struct cell_stage *stage = g_ptr_array_index (core->waiting, i);
      const struct cell_task *tasks
          = stage->job->rounds[stage->round].tasks + stage->first_task;

      if (!cell_job_open (stage->job)
          || !cyc_name_eq (&stage->job->queue, &queue->name))
        continue;
      for (uint32_t t = 0; t < stage->count && stage->waiting > 0; t++)
        count
            += tasks[t].state == CELL_TASK_WAITING && tasks[t].crashes != NULL;
    }
  return count;
}

/* Sets how long the tasks that wait for a trial will take, by the rate at
   which trials of the queue have ended. */
static void
estimate_trials (const struct cell_core *core, struct door_queue *queue,
                 struct door_estimate *out)
{
  uint32_t ended = recent_events (&queue->trials, core->now_us);

  if (queue->backlog_until_us <= core->now_us)
    {
      queue->backlog = count_backlog (core, queue);
      queue->backlog_until_us = core->now_us + BACKLOG_AGE_MAX_US;
    }
  if (queue->backlog == 0)
    return;
  out->trial_us
      = ended > 0 ? MIN (RECENT_US / ended, TRIAL_MAX_US) : TRIAL_GUESS_US;
  out->trials_us = MIN (queue->backlog * out->trial_us, TRIALS_MAX_US);
}

/* Returns the queue that explains most of the breaks that involve none of the
   queues @p without; QUEUES_MAX if there is none. Breaks that involve one
   queue only count twice. */
static uint32_t
most_involved (const struct cell_core *core, uint64_t without)
{
  uint32_t scores[QUEUES_MAX] = { 0 };
  uint32_t best = QUEUES_MAX;

  for (uint32_t i = 0; i < BREAKS_MAX; i++)
    {
      const struct door_break *row = &core->doors->breaks[i];

      if (row->expires_us <= core->now_us || (row->queues & without) != 0)
        continue;
      for (uint64_t left = row->queues; left != 0; left &= left - 1)
        scores[__builtin_ctzll (left)]
            += (row->queues & (row->queues - 1)) == 0 ? 2 : 1;
    }
  for (uint32_t q = 0; q < QUEUES_MAX; q++)
    if (scores[q] > 0 && (best == QUEUES_MAX || scores[q] > scores[best]))
      best = q;
  return best;
}

/* Counts the breaks that are held against the queue, of those in which it is
   involved. Returns the latter. */
static uint32_t
count_breaks (const struct cell_core *core, const struct door_queue *queue,
              struct door_estimate *out)
{
  uint64_t bit = UINT64_C (1) << queue->index;
  uint64_t before = 0; /* queues that explain more of the breaks */
  uint32_t involved = 0;

  for (uint32_t q;
       (q = most_involved (core, before)) != QUEUES_MAX && q != queue->index;)
    before |= UINT64_C (1) << q;
  for (uint32_t i = 0; i < BREAKS_MAX; i++)
    {
      const struct door_break *row = &core->doors->breaks[i];

      if (row->expires_us <= core->now_us)
        continue;
      out->unexplained += row->queues == 0;
      involved += (row->queues & bit) != 0;
      if ((row->queues & bit) == 0 || (row->queues & before) != 0)
        continue;
      out->breaks++;
      out->lost += row->lost_until_us > core->now_us;
    }
  return involved;
}

static struct door_estimate
estimate (const struct cell_core *core, struct door_queue *queue)
{
  struct door_estimate out = { .bearable = 1 };
  uint32_t begun
      = recent_events (&queue->begun, core->now_us) + SOUND_JOBS_PRIOR;
  uint64_t sound_permille;
  uint64_t fleet;
  uint32_t suspected = 0;
  uint32_t involved;

  if (queue->index >= QUEUES_MAX)
    return out;
  involved = count_breaks (core, queue, &out);
  for (uint32_t i = 0; i < JOBS_MAX; i++)
    if (queue->jobs[i].expires_us > core->now_us)
      {
        out.deadly_permille += queue->jobs[i].deadly_permille;
        suspected++;
      }
  out.deadly_permille = (uint32_t)((uint64_t)out.deadly_permille * out.breaks
                                   / MAX (1, involved));
  out.share_permille = MIN (out.deadly_permille / begun, 1000);
  out.cost_permille = MAX ((uint64_t)out.breaks * 1000 / begun,
                           (uint64_t)out.share_permille * CRASHES_PER_JOB_MIN);
  out.trials_permille
      = MAX (out.cost_permille, (uint64_t)suspected * 1000 / begun);
  sound_permille = 1000 - out.share_permille;
  fleet = core->usable_workers + out.lost;
  out.bearable = (uint32_t)(fleet * sound_permille * sound_permille / 1000
                            * BEARABLE_PERMILLE / 1000000);
  out.bearable = MAX (out.bearable, MIN (BEARABLE_MIN, MAX (1, fleet / 4)));
  if (out.deadly_permille >= CLEAR_DEADLY_PERMILLE)
    estimate_trials (core, queue, &out);
  return out;
}

/* Returns whether the queue's tasks crash workers, so far as is known. */
static bool
is_suspected (const struct door_queue *queue, const struct door_estimate *now)
{
  if (queue->suspected)
    return now->deadly_permille >= CLEAR_DEADLY_PERMILLE
           && now->share_permille >= CLEAR_SHARE_PERMILLE;
  return now->deadly_permille >= SUSPECT_DEADLY_PERMILLE
         && now->share_permille >= SUSPECT_SHARE_PERMILLE
         && now->breaks > 2 * now->unexplained;
}

/* Returns the index of the admission kept for the job; the number of promises
   if there is none. */
static guint
find_promise (const struct door_queue *queue, uint64_t job)
{
  guint i = 0;

  while (i < queue->promises->len
         && g_array_index (queue->promises, struct door_promise, i).job != job)
    i++;
  return i;
}

static uint64_t
promised_us (const struct door_queue *queue, guint index)
{
  return g_array_index (queue->promises, struct door_promise, index).admit_us;
}

/* Drops the admissions that were not claimed, and returns the number of those
   that may be claimed soon. */
static uint32_t
count_due (struct door_queue *queue, uint64_t now_us)
{
  guint lapsed = 0;
  guint due = 0;

  while (lapsed < queue->promises->len
         && promised_us (queue, lapsed) + CLAIM_GRACE_US < now_us)
    {
      lapsed++;
      count_event (&queue->lapsed, RECENT_US / PERIODS, now_us);
    }
  if (lapsed > 0)
    g_array_remove_range (queue->promises, 0, lapsed);
  while (due < queue->promises->len
         && promised_us (queue, due) < now_us + ADMITTED_US)
    due++;
  return due;
}

/* Returns the share of the callers that come back when they were told to, as
   far as is known. */
static uint32_t
claimed_permille (const struct door_queue *queue, uint64_t now_us)
{
  uint32_t claimed = recent_events (&queue->claimed, now_us) + 1;

  return claimed * 1000 / (claimed + recent_events (&queue->lapsed, now_us));
}

/* Returns the workers that the queue will have lost, as far as is known, in
   permille of a worker. */
static uint64_t
expected_permille (struct door_queue *queue, uint64_t now_us,
                   const struct door_estimate *now)
{
  uint64_t due = count_due (queue, now_us);
  uint64_t jobs_permille = recent_events (&queue->admitted, now_us) * 1000ULL
                           + due * claimed_permille (queue, now_us);

  return now->lost * 1000ULL + jobs_permille * now->cost_permille / 1000;
}

/* Returns the time between two promised admissions, at the rate that the fleet
   can bear and at which trials end. */
static uint64_t
interval_us (const struct door_queue *queue, uint64_t now_us,
             const struct door_estimate *now)
{
  uint64_t lost_us = LOST_US * now->cost_permille / now->bearable;
  uint64_t tried_us = now->trial_us * now->trials_permille;

  return MAX (lost_us, tried_us) * claimed_permille (queue, now_us) / 1000000;
}

/* Promises a later admission, and returns its time. */
static uint64_t
promise (struct door_queue *queue, uint64_t job, uint64_t now_us,
         const struct door_estimate *now, uint64_t expected, bool thinned)
{
  uint64_t interval = interval_us (queue, now_us, now);
  uint64_t bearable = now->bearable * 1000ULL;
  uint64_t over_us
      = expected > bearable ? LOST_US * (expected - bearable) / expected : 0;
  struct door_promise added = { .job = job, .thinned = thinned };

  added.admit_us
      = MAX (queue->admit_us,
             now_us + (thinned ? now->trials_us : interval + over_us));
  if (added.admit_us > now_us + PROMISE_AHEAD_MAX_US
      || queue->promises->len >= PROMISES_MAX)
    return MIN (added.admit_us, now_us + PROMISE_AHEAD_MAX_US);
  queue->admit_us = added.admit_us + interval;
  g_array_append_val (queue->promises, added);
  return added.admit_us;
}

/* Returns whether a job that came first is refused for the sake of the tasks
   that wait for a trial, in proportion to the queue's share of deadly jobs and
   to their wait. */
static bool
is_thinned (struct door_queue *queue, const struct door_estimate *now)
{
  uint64_t share = now->share_permille
                   - MIN (now->share_permille, SUSPECT_SHARE_PERMILLE);

  queue->thinned_permille += (uint32_t)MIN (
      share * now->trials_us / THINNING_WAIT_US, THINNED_MAX_PERMILLE);
  if (queue->thinned_permille < 1000)
    return false;
  queue->thinned_permille -= 1000;
  return true;
}

/* Returns when the job is admitted; the present if it is now. */
static uint64_t
admit (struct door_queue *queue, uint64_t job, uint64_t now_us,
       const struct door_estimate *now)
{
  uint64_t expected = expected_permille (queue, now_us, now);
  guint index = find_promise (queue, job);
  const struct door_promise *kept
      = index < queue->promises->len
            ? &g_array_index (queue->promises, struct door_promise, index)
            : NULL;
  bool borne = expected + now->cost_permille <= now->bearable * 1000ULL;
  bool thinned = false;

  if (queue->suspected && now_us < queue->probe_us
      && (kept == NULL || now_us < kept->admit_us))
    {
      thinned
          = borne && (kept != NULL ? kept->thinned : is_thinned (queue, now));
      if (!borne || thinned)
        return kept != NULL
                   ? kept->admit_us
                   : promise (queue, job, now_us, now, expected, thinned);
    }
  if (kept != NULL)
    {
      g_array_remove_index (queue->promises, index);
      count_event (&queue->claimed, RECENT_US / PERIODS, now_us);
    }
  queue->probe_us = now_us + PROBE_US;
  count_event (&queue->admitted, ADMITTED_US / PERIODS, now_us);
  return now_us;
}

bool
cell_door_refuses (struct cell_core *core, uint64_t id, uint64_t now_us,
                   struct cell_refusal *out)
{
  struct cell_job *job = cell_job_find (core, id);
  struct door_queue *queue;
  struct door_estimate estimated;

  core->now_us = now_us;
  if (job == NULL || job->stored)
    return false;
  queue = queue_of (core, job);
  estimated = estimate (core, queue);
  queue->suspected = is_suspected (queue, &estimated);
  *out = (struct cell_refusal){
    .queue = queue->name,
    .retry_at_us = admit (queue, id, now_us, &estimated),
    .deadly_permille = estimated.share_permille,
    .lost_workers = estimated.lost,
    .bearable_workers = estimated.bearable,
    .backlog = queue->backlog,
    .backlog_us = estimated.trials_us,
    .promised = queue->promises->len,
  };
  if (out->retry_at_us <= now_us)
    return false;
  /* A refused job does not count against its team's rate. */
  if (!job->over_rate && job->team->weight > 0)
    job->team->credit_jobs += 1.0;
  return true;
}
