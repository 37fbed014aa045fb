/**
 * @file
 * Model check of the ownership of a domain: two schedulers that claim, renew,
 * release, crash and pause, up to three workers and one task. Appends,
 * heartbeats and starts may be lost or delayed.
 *
 * The decisions are made by cyclamendrum/claim.h; the model of the log and of
 * the workers follows the rules of the design page. Time is counted in ticks.
 * A process that takes no step while time passes is paused or cut off.
 */
#include "tst_model.h"

#include <cyclamendrum/claim.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#define PROCESSES 2
#define MAX_WORKERS 3
#define MAX_LOG_RECORDS 7
#define LEASE_TICKS 2
#define TASK_LEASE_TICKS 2
#define NO_INDEX 9 /* step without a process or worker */

enum variant
{
  V_CORRECT,
  V_NO_WAIT,             /**< a new owner starts tasks without waiting */
  V_HOLD_FROM_READ_BACK, /**< the hold counts from reading the renewal back */
  V_NO_FENCING,          /**< a new owner does not fence a majority first */
  V_MINORITY_EXTENDS_HOLD,    /**< heartbeats of one worker extend the hold */
  V_EPOCH_IGNORED_BY_WORKERS, /**< workers accept starts of any epoch */
  V_UNREACHED_EARLY,  /**< leases on unreached workers are counted from the
                         claim, not from the fencing */
  V_UNREACHED_IGNORED /**< tasks on unreached workers are ignored */
};

/* Variant and size of an instance; the counts limit how often each event
   occurs. */
struct instance
{
  enum variant variant;
  uint8_t workers;
  uint8_t lost_answers;
  uint8_t delayed_heartbeats;
  uint8_t delayed_starts;
  uint8_t crashes;
  uint8_t releases;
  uint8_t heartbeats;   /**< total */
  uint8_t appends;      /**< total */
  bool initially_owned; /**< process 0 owns the domain in the initial state */
};

struct entry
{
  uint8_t kind;   /**< enum cyc_claim_action */
  uint8_t writer; /**< incarnation of the writer */
  uint8_t epoch;
  uint8_t valid; /**< accepted by the rules of the ledger */
};

struct process
{
  struct cyc_clm clm;
  uint8_t incarnation;
  uint8_t records_read; /**< number of log records read */
  bool appending;
  struct entry append;
  uint64_t token;       /**< of the append in flight or in the log; 0: none */
  uint8_t log_position; /**< position of that append in the log + 1 */
  uint8_t accepted_tick[MAX_WORKERS]; /**< when the newest accepted heartbeat
                                         was sent */
  uint8_t sent_tick[MAX_WORKERS]; /**< when the newest heartbeat was sent */
  bool polled[MAX_WORKERS];
  uint8_t polled_run_end[MAX_WORKERS]; /**< run_end that the worker reported */
  bool task_started;
};

struct worker
{
  uint8_t epoch;
  uint8_t run_end; /**< end of the task's lease; the task runs before it */
};

struct message
{
  bool used;
  uint8_t from;
  uint8_t incarnation;
  uint8_t worker;
  uint8_t epoch;
  /** Heartbeat: when it was sent; start: end of the task's lease. */
  uint8_t tick;
};

struct state
{
  struct instance instance; /**< its counts go down with each event */
  uint8_t now;
  struct process processes[PROCESSES];
  struct worker workers[MAX_WORKERS];
  uint8_t log_len;
  struct entry log[MAX_LOG_RECORDS];
  struct entry orphan; /**< append whose writer no longer waits for it */
  bool has_orphan;
  struct message delayed_heartbeat;
  struct message delayed_start;
};

enum step
{
  S_TICK,
  S_DECIDE,
  S_APPEND,
  S_LOSE_ANSWER,
  S_APPEND_ORPHAN,
  S_READ,
  S_HEARTBEAT,
  S_HEARTBEAT_DELAYED,
  S_HEARTBEAT_ARRIVES,
  S_START,
  S_START_DELAYED,
  S_START_ARRIVES,
  S_CRASH,
  S_RELEASE
};

#define STEP(kind, process, worker)                                           \
  ((uint32_t)(kind) << 8 | (uint32_t)(process) << 4 | (uint32_t)(worker))

static void
describe_step (uint32_t step, char out[80])
{
  static const char *const texts[] = {
    "time passes",
    "decides to append",
    "append is written",
    "answer of the append is lost",
    "append without a waiting writer is written",
    "reads the next record",
    "sends a heartbeat, accepted or refused",
    "sends a heartbeat that is delayed",
    "delayed heartbeat arrives",
    "starts the task",
    "sends a start that is delayed",
    "delayed start arrives",
    "crashes and restarts",
    "begins a planned stop",
  };

  snprintf (out, 80, "process %u, worker %u: %s", step >> 4 & 15, step & 15,
            texts[step >> 8]);
}

/* Returns the claim after the first @p len records. */
static struct cyc_claim
claim_after_records (const struct state *s, uint8_t len)
{
  struct cyc_claim claim = { 0 };

  for (uint8_t i = 0; i < len; i++)
    {
      const struct entry *entry = &s->log[i];

      if (!entry->valid)
        continue;
      claim.renewed_offset = i;
      claim.released = entry->kind == CYC_CLAIM_RELEASE;
      claim.epoch = entry->epoch;
      claim.incarnation.bytes[0] = entry->writer;
      cyc_name_set (&claim.owner, CYC_STR ("vm"));
    }
  return claim;
}

static void
write_entry (struct state *s, struct entry entry)
{
  struct cyc_claim claim = claim_after_records (s, s->log_len);

  if (entry.kind == CYC_CLAIM_TAKE)
    entry.valid = entry.epoch == claim.epoch + 1;
  else
    entry.valid = entry.epoch == claim.epoch && !claim.released
                  && entry.writer == claim.incarnation.bytes[0];
  s->log[s->log_len++] = entry;
}

static void
init_process (struct state *s, uint8_t i, uint8_t incarnation)
{
  struct process *p = &s->processes[i];
  struct cyc_findings found = { 0 };
  struct cyc_clm_desc desc
      = { .incarnation = { { incarnation } }, .lease_us = LEASE_TICKS };
  struct cyc_claim claim = claim_after_records (s, s->log_len);

  memset (p, 0, sizeof *p);
  cyc_name_set (&desc.domain, CYC_STR ("d"));
  cyc_name_set (&desc.owner, CYC_STR ("vm"));
  assert_true (cyc_clm_setup (&p->clm, &desc, &found));
  p->incarnation = incarnation;
  /* The process starts from a snapshot of the whole log. */
  p->records_read = s->log_len;
  cyc_clm_observe (&p->clm, &claim, s->now);
  cyc_clm_set_log_reachable (&p->clm, true, s->now);
}

/* Passes the worker counts from the heartbeats to the claim module. */
static void
report_workers (const struct state *s, struct process *p)
{
  struct cyc_clm_workers counts
      = { .total = s->instance.workers, .workers_polled = true };
  uint64_t accepted_ticks[MAX_WORKERS];
  uint32_t answered = 0;

  for (uint8_t w = 0; w < s->instance.workers; w++)
    {
      if (p->accepted_tick[w] == 0)
        continue;
      accepted_ticks[answered++] = p->accepted_tick[w];
      counts.fenced++;
    }
  counts.majority_accepted_us = cyc_clm_majority_accepted_us (
      accepted_ticks, answered,
      s->instance.variant == V_MINORITY_EXTENDS_HOLD ? 1 : counts.total);
  if (s->instance.variant == V_NO_FENCING)
    counts.fenced = counts.total;
  cyc_clm_workers (&p->clm, &counts, s->now);
}

static void
reset_workers (struct process *p)
{
  memset (p->accepted_tick, 0, sizeof p->accepted_tick);
  memset (p->sent_tick, 0, sizeof p->sent_tick);
  memset (p->polled, 0, sizeof p->polled);
  memset (p->polled_run_end, 0, sizeof p->polled_run_end);
}

static void
read_next (struct state *s, struct process *p)
{
  const struct entry *entry = &s->log[p->records_read];
  uint64_t epoch = cyc_clm_epoch (&p->clm);
  struct cyc_claim claim;

  p->records_read++;
  if (p->log_position == p->records_read)
    {
      cyc_clm_result (&p->clm, p->token,
                      entry->valid ? CYC_CLM_APPEND_ACCEPTED
                                   : CYC_CLM_APPEND_REFUSED,
                      s->now);
      p->log_position = 0;
      p->token = 0;
      if (s->instance.variant == V_HOLD_FROM_READ_BACK
          && p->clm.hold_deadline_us > 0)
        p->clm.hold_deadline_us = s->now + LEASE_TICKS;
    }
  claim = claim_after_records (s, p->records_read);
  cyc_clm_observe (&p->clm, &claim, s->now);
  if (cyc_clm_epoch (&p->clm) == epoch)
    return;
  reset_workers (p);
  if (s->instance.variant == V_NO_WAIT)
    p->clm.claimed_after_release = true;
  report_workers (s, p);
}

/* Delivers a heartbeat to a worker and its answer to the sender. */
static void
heartbeat_arrives (struct state *s, const struct message *heartbeat)
{
  struct worker *worker = &s->workers[heartbeat->worker];
  struct process *p = &s->processes[heartbeat->from];
  bool same = p->incarnation == heartbeat->incarnation
              && cyc_clm_epoch (&p->clm) == heartbeat->epoch;

  if (heartbeat->epoch < worker->epoch)
    {
      if (same)
        cyc_clm_stale_epoch (&p->clm, worker->epoch);
      return;
    }
  worker->epoch = heartbeat->epoch;
  if (!same)
    return;
  if (heartbeat->tick > p->accepted_tick[heartbeat->worker])
    p->accepted_tick[heartbeat->worker] = heartbeat->tick;
  p->polled[heartbeat->worker] = true;
  p->polled_run_end[heartbeat->worker] = worker->run_end;
  report_workers (s, p);
}

static void
start_arrives (struct state *s, const struct message *start)
{
  struct worker *worker = &s->workers[start->worker];

  if (start->epoch < worker->epoch
      && s->instance.variant != V_EPOCH_IGNORED_BY_WORKERS)
    return;
  if (start->epoch > worker->epoch)
    worker->epoch = start->epoch;
  if (s->now < start->tick && worker->run_end <= s->now)
    worker->run_end = start->tick;
}

/* Returns whether the owner knows that the task runs on no worker. */
static bool
task_can_start (const struct state *s, const struct process *p)
{
  uint64_t unreached
      = cyc_clm_unreached_runs_end_us (&p->clm, TASK_LEASE_TICKS, 0);

  if (s->instance.variant == V_UNREACHED_EARLY)
    unreached = p->clm.claimed_us + LEASE_TICKS + TASK_LEASE_TICKS;
  if (s->instance.variant == V_UNREACHED_IGNORED)
    unreached = 0;
  for (uint8_t w = 0; w < s->instance.workers; w++)
    {
      if (p->polled[w] && s->now < p->polled_run_end[w])
        return false;
      if (!p->polled[w] && s->now < unreached)
        return false;
    }
  return !p->task_started;
}

static void
expand_log (const struct state *s, uint8_t i, struct tst_model_run *run)
{
  const struct process *p = &s->processes[i];
  struct state next = *s;
  struct process *q = &next.processes[i];
  struct cyc_clm_step step;

  if (!p->appending && s->instance.appends > 0
      && cyc_clm_next (&q->clm, s->now, &step))
    {
      next.instance.appends--;
      q->appending = true;
      q->token = step.token;
      q->append = (struct entry){ .kind = (uint8_t)step.edit.step,
                                  .writer = p->incarnation,
                                  .epoch = (uint8_t)step.edit.epoch };
      tst_model_emit (run, &next, STEP (S_DECIDE, i, NO_INDEX));
    }
  next = *s;
  if (p->appending)
    {
      write_entry (&next, p->append);
      q->appending = false;
      q->log_position = next.log_len;
      tst_model_emit (run, &next, STEP (S_APPEND, i, NO_INDEX));
    }
  next = *s;
  if (p->appending && s->instance.lost_answers > 0 && !s->has_orphan)
    {
      next.instance.lost_answers--;
      next.orphan = p->append;
      next.has_orphan = true;
      q->appending = false;
      cyc_clm_result (&q->clm, p->token, CYC_CLM_APPEND_UNKNOWN, s->now);
      q->token = 0;
      tst_model_emit (run, &next, STEP (S_LOSE_ANSWER, i, NO_INDEX));
    }
  next = *s;
  if (p->records_read < s->log_len)
    {
      read_next (&next, q);
      tst_model_emit (run, &next, STEP (S_READ, i, NO_INDEX));
    }
}

static void
expand_heartbeats (const struct state *s, uint8_t i, struct tst_model_run *run)
{
  const struct process *p = &s->processes[i];
  struct state next;

  if (cyc_clm_epoch (&p->clm) == 0 || s->instance.heartbeats == 0)
    return;
  for (uint8_t w = 0; w < s->instance.workers; w++)
    {
      struct message heartbeat = { .used = true,
                                   .from = i,
                                   .incarnation = p->incarnation,
                                   .worker = w,
                                   .epoch = (uint8_t)cyc_clm_epoch (&p->clm),
                                   .tick = s->now };

      if (p->sent_tick[w] == s->now)
        continue;
      next = *s;
      next.instance.heartbeats--;
      next.processes[i].sent_tick[w] = s->now;
      heartbeat_arrives (&next, &heartbeat);
      tst_model_emit (run, &next, STEP (S_HEARTBEAT, i, w));
      if (s->instance.delayed_heartbeats == 0 || s->delayed_heartbeat.used)
        continue;
      next = *s;
      next.instance.heartbeats--;
      next.instance.delayed_heartbeats--;
      next.processes[i].sent_tick[w] = s->now;
      next.delayed_heartbeat = heartbeat;
      tst_model_emit (run, &next, STEP (S_HEARTBEAT_DELAYED, i, w));
    }
}

static void
expand_starts (const struct state *s, uint8_t i, struct tst_model_run *run)
{
  const struct process *p = &s->processes[i];
  struct state next;

  if (!cyc_clm_may_start (&p->clm, s->now) || !task_can_start (s, p))
    return;
  for (uint8_t w = 0; w < s->instance.workers; w++)
    {
      struct message start = { .used = true,
                               .from = i,
                               .worker = w,
                               .epoch = (uint8_t)cyc_clm_epoch (&p->clm),
                               .tick = s->now + TASK_LEASE_TICKS };

      if (!p->polled[w])
        continue;
      next = *s;
      next.processes[i].task_started = true;
      start_arrives (&next, &start);
      tst_model_emit (run, &next, STEP (S_START, i, w));
      if (s->instance.delayed_starts == 0 || s->delayed_start.used)
        continue;
      next = *s;
      next.processes[i].task_started = true;
      next.instance.delayed_starts--;
      next.delayed_start = start;
      tst_model_emit (run, &next, STEP (S_START_DELAYED, i, w));
    }
}

static void
expand_process (const struct state *s, uint8_t i, struct tst_model_run *run)
{
  const struct process *p = &s->processes[i];
  struct state next = *s;

  if (s->instance.crashes > 0 && p->clm.role == CYC_CLM_OWNER)
    {
      next.instance.crashes--;
      if (p->appending && !s->has_orphan)
        {
          next.orphan = p->append;
          next.has_orphan = true;
        }
      init_process (&next, i, p->incarnation + PROCESSES);
      tst_model_emit (run, &next, STEP (S_CRASH, i, NO_INDEX));
    }
  next = *s;
  if (s->instance.releases > 0 && p->clm.role == CYC_CLM_OWNER)
    {
      next.instance.releases--;
      cyc_clm_release (&next.processes[i].clm);
      tst_model_emit (run, &next, STEP (S_RELEASE, i, NO_INDEX));
    }
}

static void
expand_state (const void *state, struct tst_model_run *run)
{
  const struct state *s = state;
  struct state next = *s;

  for (uint8_t i = 0; i < PROCESSES; i++)
    {
      expand_log (s, i, run);
      expand_heartbeats (s, i, run);
      expand_starts (s, i, run);
      expand_process (s, i, run);
    }
  if (s->has_orphan)
    {
      write_entry (&next, s->orphan);
      next.has_orphan = false;
      tst_model_emit (run, &next, STEP (S_APPEND_ORPHAN, NO_INDEX, NO_INDEX));
    }
  next = *s;
  if (s->delayed_heartbeat.used)
    {
      next.delayed_heartbeat.used = false;
      heartbeat_arrives (&next, &s->delayed_heartbeat);
      tst_model_emit (run, &next,
                      STEP (S_HEARTBEAT_ARRIVES, s->delayed_heartbeat.from,
                            s->delayed_heartbeat.worker));
    }
  next = *s;
  if (s->delayed_start.used)
    {
      next.delayed_start.used = false;
      start_arrives (&next, &s->delayed_start);
      tst_model_emit (run, &next,
                      STEP (S_START_ARRIVES, s->delayed_start.from,
                            s->delayed_start.worker));
    }
  next = *s;
  next.now++;
  tst_model_emit (run, &next, STEP (S_TICK, NO_INDEX, NO_INDEX));
}

/* Makes process 0 the owner: it claims, reaches all workers, waits and renews.
   Process 1 reads the records. */
static void
establish_owner (struct state *s)
{
  struct process *p = &s->processes[0];
  struct cyc_clm_step step;

  for (int round = 0; round < 2; round++)
    {
      assert_true (cyc_clm_next (&p->clm, s->now, &step));
      p->token = step.token;
      write_entry (s, (struct entry){ .kind = (uint8_t)step.edit.step,
                                      .writer = p->incarnation,
                                      .epoch = (uint8_t)step.edit.epoch });
      p->log_position = s->log_len;
      read_next (s, p);
      read_next (s, &s->processes[1]);
      for (uint8_t w = 0; round == 0 && w < s->instance.workers; w++)
        heartbeat_arrives (s, &(struct message){ .incarnation = p->incarnation,
                                                 .worker = w,
                                                 .epoch = 1,
                                                 .tick = s->now });
      s->now++;
    }
  assert_true (cyc_clm_may_start (&p->clm, s->now));
}

static const char *
find_violation (const void *state)
{
  const struct state *s = state;
  int owners = 0;
  int running = 0;

  for (int i = 0; i < PROCESSES; i++)
    owners += cyc_clm_may_start (&s->processes[i].clm, s->now);
  for (int w = 0; w < s->instance.workers; w++)
    running += s->workers[w].run_end > s->now;
  if (owners > 1)
    return "two owners may start tasks";
  return running > 1 ? "the task runs on two workers" : NULL;
}

/* Returns the ticks until @p deadline; 0 if it has passed. Keys use times
   relative to now, and all passed deadlines are equal, so the number of states
   is finite without a limit on time. */
static uint8_t
ticks_until (const struct state *s, uint64_t deadline)
{
  return deadline > s->now ? (uint8_t)(deadline - s->now) : 0;
}

static size_t
key_of_process (const struct state *s, const struct process *p, uint8_t *out)
{
  const struct cyc_clm *clm = &p->clm;
  uint64_t pending = clm->pending_token != 0;
  uint64_t fenced = clm->majority_fenced_us != 0;
  uint64_t from = clm->majority_fenced_us > clm->claimed_us
                      ? clm->majority_fenced_us
                      : clm->claimed_us;
  const uint64_t values[] = {
    p->incarnation,
    p->records_read,
    p->appending,
    p->appending ? p->append.kind : 0,
    p->appending ? p->append.epoch : 0,
    p->log_position,
    p->task_started,
    clm->role,
    clm->max_reported_epoch > clm->newest_claim.epoch ? clm->max_reported_epoch
                                                      : 0,
    clm->releasing,
    ticks_until (s, clm->silent_since_us + LEASE_TICKS),
    pending,
    pending ? clm->pending_step : 0,
    pending ? ticks_until (s, clm->pending_sent_us + LEASE_TICKS) : 0,
    pending ? clm->pending_epoch : 0,
    pending ? clm->pending_after_release : 0,
    ticks_until (s, clm->hold_deadline_us),
    fenced,
    fenced ? ticks_until (s, from + LEASE_TICKS + TASK_LEASE_TICKS) : 0,
    ticks_until (s, clm->claimed_us + LEASE_TICKS + TASK_LEASE_TICKS),
    clm->claimed_after_release,
  };
  size_t count = sizeof values / sizeof values[0];

  for (size_t i = 0; i < count; i++)
    out[i] = (uint8_t)values[i];
  if (s->instance.variant != V_UNREACHED_EARLY)
    out[count - 2] = 0;
  return count;
}

/* Workers are interchangeable, so their parts of the key are sorted. */
static size_t
key_of_workers (const struct state *s, uint8_t *out)
{
  enum
  {
    PART = 2 + 4 * PROCESSES + 2
  };
  uint8_t parts[MAX_WORKERS][PART];

  for (int w = 0; w < s->instance.workers; w++)
    {
      uint8_t part[PART]
          = { s->workers[w].epoch, ticks_until (s, s->workers[w].run_end) };
      size_t at = 2;
      int to = w;

      for (int i = 0; i < PROCESSES; i++)
        {
          const struct process *p = &s->processes[i];

          part[at++]
              = p->accepted_tick[w] > 0
                    ? ticks_until (s, p->accepted_tick[w] + LEASE_TICKS) + 1
                    : 0;
          part[at++] = p->sent_tick[w] == s->now;
          part[at++] = p->polled[w];
          part[at++] = ticks_until (s, p->polled_run_end[w]);
        }
      part[at++]
          = s->delayed_heartbeat.used && s->delayed_heartbeat.worker == w;
      part[at] = s->delayed_start.used && s->delayed_start.worker == w;
      for (; to > 0 && memcmp (parts[to - 1], part, PART) > 0; to--)
        memcpy (parts[to], parts[to - 1], PART);
      memcpy (parts[to], part, PART);
    }
  memcpy (out, parts, (size_t)s->instance.workers * PART);
  return (size_t)s->instance.workers * PART;
}

static size_t
key_of_message (const struct state *s, const struct message *message,
                uint8_t added, uint8_t *out)
{
  out[0] = message->used;
  if (!message->used)
    return 1;
  out[1] = message->from;
  out[2] = message->incarnation;
  out[3] = message->epoch;
  out[4] = ticks_until (s, message->tick + added);
  return 5;
}

/* Records that both processes have read are replaced by the claim that
   results from them. */
static size_t
key_of_log (const struct state *s, uint8_t *out)
{
  uint8_t from = s->processes[0].records_read < s->processes[1].records_read
                     ? s->processes[0].records_read
                     : s->processes[1].records_read;
  struct cyc_claim claim = claim_after_records (s, from);
  size_t rest = (s->log_len - from) * sizeof s->log[0];

  out[0] = s->log_len;
  out[1] = from;
  out[2] = (uint8_t)claim.epoch;
  out[3] = claim.released;
  out[4] = claim.incarnation.bytes[0];
  memcpy (out + 5, s->log + from, rest);
  return 5 + rest;
}

static size_t
write_key (const void *state, uint8_t out[TST_MODEL_KEY_MAX_BYTES])
{
  const struct state *s = state;
  size_t at = 0;

  out[at++] = s->instance.lost_answers;
  out[at++] = s->instance.delayed_heartbeats;
  out[at++] = s->instance.delayed_starts;
  out[at++] = s->instance.crashes;
  out[at++] = s->instance.releases;
  out[at++] = s->instance.heartbeats;
  out[at++] = s->instance.appends;
  at += key_of_log (s, out + at);
  out[at++] = s->has_orphan;
  if (s->has_orphan)
    memcpy (out + at, &s->orphan, sizeof s->orphan);
  at += s->has_orphan ? sizeof s->orphan : 0;
  for (int i = 0; i < PROCESSES; i++)
    at += key_of_process (s, &s->processes[i], out + at);
  at += key_of_workers (s, out + at);
  at += key_of_message (s, &s->delayed_heartbeat, LEASE_TICKS, out + at);
  return at + key_of_message (s, &s->delayed_start, 0, out + at);
}

static const struct tst_model ownership
    = { .name = "ownership",
        .state_bytes = sizeof (struct state),
        .max_states = 3000000,
        .expand = expand_state,
        .key = write_key,
        .violation = find_violation,
        .describe = describe_step };

struct model_case
{
  const char *name;
  struct instance instance;
  bool violation_expected;
};

/* Members of the instance: variant, workers, lost answers, delayed heartbeats,
   delayed starts, crashes, releases, heartbeats, appends, initially owned. */
static const struct model_case model_cases[] = {
  { "one worker, lost answer",
    { V_CORRECT, 1, 1, 0, 0, 0, 0, 2, 3, false },
    false },
  { "one worker, crash", { V_CORRECT, 1, 0, 0, 0, 1, 0, 2, 3, false }, false },
  { "three workers, first claim",
    { V_CORRECT, 3, 0, 0, 0, 0, 0, 5, 2, false },
    false },
  { "three workers, takeover",
    { V_CORRECT, 3, 0, 0, 0, 0, 0, 6, 1, true },
    false },
  { "two workers, delayed messages",
    { V_CORRECT, 2, 0, 1, 1, 0, 0, 3, 1, true },
    false },
  { "two workers, release, delayed start",
    { V_CORRECT, 2, 0, 0, 1, 0, 1, 2, 2, true },
    false },
  { "one worker, lost answer, crash, delayed start",
    { V_CORRECT, 1, 1, 0, 1, 1, 0, 2, 2, true },
    false },
  { "broken: a new owner does not wait",
    { V_NO_WAIT, 1, 0, 0, 0, 0, 0, 2, 1, true },
    true },
  { "broken: the hold counts from reading the renewal back",
    { V_HOLD_FROM_READ_BACK, 1, 0, 0, 0, 0, 0, 3, 2, true },
    true },
  { "broken: no majority is fenced before starts",
    { V_NO_FENCING, 1, 0, 0, 0, 0, 0, 3, 1, true },
    true },
  { "broken: a minority extends the hold",
    { V_MINORITY_EXTENDS_HOLD, 3, 0, 0, 0, 0, 0, 5, 1, true },
    true },
  { "broken: workers accept starts of any epoch",
    { V_EPOCH_IGNORED_BY_WORKERS, 2, 0, 0, 1, 0, 1, 2, 2, true },
    true },
  { "broken: leases on unreached workers count from the claim only",
    { V_UNREACHED_EARLY, 3, 0, 0, 0, 0, 0, 6, 1, true },
    true },
  { "broken: tasks on unreached workers are ignored",
    { V_UNREACHED_IGNORED, 3, 0, 0, 0, 0, 0, 4, 2, true },
    true },
};

/* Guards against two owners that start tasks at the same time and a task that
   runs on two workers. Each broken variant must show a violation, which shows
   that the check detects the missing rule. */
static void
at_most_one_owner_starts_tasks (void **unused)
{
  (void)unused;
  for (size_t i = 0; i < sizeof model_cases / sizeof model_cases[0]; i++)
    {
      const struct model_case *mc = &model_cases[i];
      struct tst_model_result got;
      static struct state first;

      memset (&first, 0, sizeof first);
      first.instance = mc->instance;
      first.now = 1;
      for (uint8_t p = 0; p < PROCESSES; p++)
        init_process (&first, p, p + 1);
      if (first.instance.initially_owned)
        establish_owner (&first);
      tst_model_run (&ownership, &first, &got);
      tst_model_print (&ownership, &got, mc->name);
      assert_int_equal (got.violation != NULL, mc->violation_expected);
      assert_true (got.states < ownership.max_states);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (at_most_one_owner_starts_tasks),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
