/* Soak: the users' numbers of entry processes and workers, leases of 6 s where
   workers grant 10 s, a queue with an advisor beside a plain one, and faults
   in series that overlap: workers that begin anew before and behind cuts,
   calls that are executed late, leaders and the store disturbed. Guards
   against two runs of one task at once, and against a start after an
   acknowledged end `done` (TWICE).

   SOAK_SEED is the first seed, SOAK_SEEDS their number, SOAK_S the seconds of
   each, SOAK_ONLY names faults. The times of events depend on the machine: a
   seed does not fix them.
 */

#include "../tests/tst_soak.h"
#include "../tests/tst_witness.h"

#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define VMS 7
#define WORKERS 48
#define RACK 8
/* As `hold_max_ms`; the entry processes ask for 6,000 of it. */
#define LEASE_MAX_MS 10000
#define JOB_EVERY_MS 160
#define BURST_EVERY_MS 12
#define JOBS_MAX 4096
#define DRAIN_MS 2500
#define SENDS_MAX 4

/* Jobs. */

struct job_kind
{
  const char *id_prefix; /* "a": the queue with an advisor; "a9": a gang */
  uint32_t tasks;
  uint32_t millicores;
  uint32_t low_ms;
  uint32_t high_ms;
};

#define GANG_PREFIX "a9"
#define GANG_TASKS 3

static const struct job_kind job_kinds[] = {
  { "a", 2, 5600, 1000, 1000 },
  { "b", 2, 5600, 1000, 3000 },
  { "a", 10, 3900, 2200, 6200 },
  { "b", 10, 3900, 2200, 6200 },
  { "a", 6, 9000, 9000, 19000 },
  { "b", 6, 9000, 6200, 19000 },
  { GANG_PREFIX, GANG_TASKS, 4000, 2000, 12000 },
};
static const uint32_t job_weights[] = { 4, 2, 3, 1, 5, 2, 2 };
/* In a burst: what outlasts a lease. */
static const uint32_t burst_weights[] = { 0, 0, 0, 0, 6, 1, 1 };

struct soak;

struct job
{
  struct soak *soak;
  char path[40];
  char body[192];
  uint32_t sends;
  bool accepted;
};

/* A call about a job at a later time, at any VM. */
struct action
{
  uint64_t due_ms;
  enum hc_method method;
  struct job *job;
};

/* What is planned for a worker; a time of 0 is none. */
struct plan
{
  uint64_t restart_ms; /* begins anew, with open connections */
  uint64_t power_off_ms;
  uint64_t cut_ms;
  enum fkp_cut cut;
  uint64_t mend_ms; /* ends the cut */
  uint64_t fast_ms; /* answers are not delayed any more */
  uint64_t entries_ms;
  uint64_t leave_ms;
  uint64_t listed_ms; /* its entry is back after an outage of the store */
};

struct soak
{
  struct tst_processes processes;
  GRand *rand;
  uint64_t next_fault_ms;
  uint64_t next_job_ms;
  uint64_t burst_end_ms; /* jobs come faster until then */
  uint64_t thaw_ms[VMS];
  uint64_t restart_ms[VMS];
  uint64_t log_back_ms;
  uint64_t log_since_ms;
  uint64_t late_holds_ms;
  uint64_t order_faults_end_ms;
  uint64_t late_anew_ms; /* workers with orders for later begin anew */
  struct plan plans[WORKERS];
  struct job jobs[JOBS_MAX];
  uint32_t job_count;
  uint32_t accepted;
  GArray *actions;
  struct tst_witness witness;
};

static uint32_t
between (struct soak *soak, uint32_t low, uint32_t high)
{
  return tst_soak_between (soak->rand, low, high);
}

static void
plan_call (struct job *job, enum hc_method method, uint64_t due_ms)
{
  g_array_append_vals (job->soak->actions,
                       &(struct action){ due_ms, method, job }, 1);
}

/* Plans copies and a cancellation, in either order. */
static void
plan_further_calls (struct job *job)
{
  struct soak *soak = job->soak;
  uint64_t now = hc_now_us () / 1000;

  if (between (soak, 0, 2) == 0)
    plan_call (job, HC_DELETE, now + between (soak, 0, 12000));
  for (uint32_t copies = between (soak, 0, 2); copies > 0; copies--)
    plan_call (job, HC_POST, now + between (soak, 200, 14000));
  plan_call (job, HC_GET, now + between (soak, 500, 10000));
}

static void
on_submitted (void *user, const struct hc_result *result)
{
  struct job *job = user;

  if (result->status == 200 && !job->accepted)
    {
      job->accepted = true;
      job->soak->accepted++;
      plan_further_calls (job);
    }
  /* After no answer or a refusal the request arrives again, at any VM. */
  else if (!job->accepted && job->sends < SENDS_MAX)
    plan_call (job, HC_POST,
               hc_now_us () / 1000 + between (job->soak, 50, 800));
}

static void
on_other (void *user, const struct hc_result *result)
{
  (void)user;
  (void)result;
}

static void
call (struct soak *soak, struct job *job, enum hc_method method)
{
  const struct tst_process *vm
      = &soak->processes.vms[between (soak, 0, VMS - 1)];
  bool sent = tst_processes_send_to (
      vm, method, job->path, method == HC_POST ? job->body : "",
      method == HC_POST ? on_submitted : on_other, job);

  job->sends += method == HC_POST;
  if (!sent && method != HC_GET && job->sends < SENDS_MAX)
    plan_call (job, method, hc_now_us () / 1000 + 100);
}

static void
submit (struct soak *soak, const uint32_t *weights)
{
  const struct job_kind *kind = &job_kinds[tst_soak_choose (
      soak->rand, weights, G_N_ELEMENTS (job_kinds))];
  struct job *job = &soak->jobs[soak->job_count++];
  uint32_t ms = between (soak, kind->low_ms, kind->high_ms);

  job->soak = soak;
  snprintf (job->path, sizeof job->path, "/%s/%s%0*x",
            kind->id_prefix[0] == 'a' ? "advised" : "plain", kind->id_prefix,
            16 - (int)strlen (kind->id_prefix), soak->job_count);
  /* The fake takes the duration from the spec. */
  snprintf (job->body, sizeof job->body,
            "{\"spec\":\"%u\",\"steps\":[{\"count\":%u,\"cpu\":%u,"
            "\"mem_mb\":10,\"estimate_ms\":%u%s}]}",
            ms, kind->tasks, kind->millicores, ms,
            strcmp (kind->id_prefix, GANG_PREFIX) == 0 ? ",\"gang\":true"
                                                       : "");
  call (soak, job, HC_POST);
}

static void
act (struct soak *soak, uint64_t now)
{
  for (guint i = soak->actions->len; i > 0; i--)
    {
      struct action action
          = g_array_index (soak->actions, struct action, i - 1);

      if (now < action.due_ms)
        continue;
      g_array_remove_index_fast (soak->actions, i - 1);
      call (soak, action.job, action.method);
    }
}

/* Faults. */

enum fault
{
  FAULT_CRASH,     /* with reset of connections */
  FAULT_POWER_OFF, /* calls get no answer until the next life begins */
  FAULT_CUT,       /* both ways, or only answers are lost */
  FAULT_ANEW_CUT,  /* workers begin anew, and are cut off behind it */
  FAULT_CUT_ANEW,  /* workers are cut off, and begin anew meanwhile */
  FAULT_SILENT,    /* calls do not arrive; entries are written */
  FAULT_KILL,      /* the leader */
  FAULT_HERD_KILL,
  FAULT_FREEZE, /* the leader */
  FAULT_STOP,   /* a VM, with SIGTERM */
  FAULT_LOG_SILENT,
  FAULT_LOG_BUSY,
  FAULT_LOG_SLOW,
  FAULT_LOSE_APPENDS,
  FAULT_LOSE_STARTS, /* they run; their answers are lost */
  FAULT_LATE_STARTS, /* no answer, and executed 2 to 12 s late */
  FAULT_CLOSED_STARTS,
  FAULT_REFUSED_STARTS,
  FAULT_LATE_HOLDS,
  FAULT_OVERTAKE, /* answers of some workers overtake each other */
  FAULT_LATE_ENTRIES,
  FAULT_DRAIN,
  FAULT_COUNT
};

struct fault_kind
{
  const char *name;
  uint32_t weight;
};

static const struct fault_kind fault_kinds[FAULT_COUNT] = {
  [FAULT_CRASH] = { "crash", 4 },
  [FAULT_POWER_OFF] = { "power off", 2 },
  [FAULT_CUT] = { "cut", 7 },
  [FAULT_ANEW_CUT] = { "anew, then cut", 9 },
  [FAULT_CUT_ANEW] = { "cut, then anew", 5 },
  [FAULT_SILENT] = { "silent", 2 },
  [FAULT_KILL] = { "kill", 3 },
  [FAULT_HERD_KILL] = { "herd kill", 1 },
  [FAULT_FREEZE] = { "freeze", 4 },
  [FAULT_STOP] = { "stop", 2 },
  [FAULT_LOG_SILENT] = { "log silent", 2 },
  [FAULT_LOG_BUSY] = { "log busy", 1 },
  [FAULT_LOG_SLOW] = { "log slow", 2 },
  [FAULT_LOSE_APPENDS] = { "lost appends", 1 },
  [FAULT_LOSE_STARTS] = { "lost starts", 3 },
  [FAULT_LATE_STARTS] = { "late starts", 6 },
  [FAULT_CLOSED_STARTS] = { "closed starts", 3 },
  [FAULT_REFUSED_STARTS] = { "refused starts", 1 },
  [FAULT_LATE_HOLDS] = { "late holds", 3 },
  [FAULT_OVERTAKE] = { "overtake", 3 },
  [FAULT_LATE_ENTRIES] = { "late entries", 3 },
  [FAULT_DRAIN] = { "drain", 2 },
};

/* SOAK_ONLY, if it is set, has the names of the faults that are played. */
static enum fault
choose_fault (struct soak *soak)
{
  const char *only = getenv ("SOAK_ONLY");
  uint32_t weights[FAULT_COUNT];

  for (uint32_t i = 0; i < FAULT_COUNT; i++)
    weights[i] = only == NULL || strstr (only, fault_kinds[i].name) != NULL
                     ? fault_kinds[i].weight
                     : 0;
  return (enum fault)tst_soak_choose (soak->rand, weights, FAULT_COUNT);
}

static void
crash (struct soak *soak, uint32_t w, bool dark)
{
  struct fkp_worker *worker = &soak->processes.fake.workers[w];

  if (worker->crashed || worker->silent)
    return;
  soak->processes.fake.faults.back_after_ms = between (soak, 1, 1500);
  /* A reset does not get through a cut. */
  if (dark || worker->cut != FKP_CUT_NONE)
    fkp_power_off (worker);
  else
    fkp_crash_worker (worker);
}

static void
plan_cut (struct soak *soak, uint32_t w, uint64_t cut_ms, uint32_t for_ms)
{
  struct plan *plan = &soak->plans[w];

  if (plan->cut_ms != 0 || plan->mend_ms != 0)
    return;
  plan->cut_ms = cut_ms;
  plan->cut = between (soak, 0, 2) == 0 ? FKP_CUT_ANSWERS : FKP_CUT_BOTH;
  plan->mend_ms = cut_ms + for_ms;
}

/* Plans a restart, most often without a sign on the network. */
static void
plan_restart (struct soak *soak, uint32_t w, uint64_t at_ms)
{
  if (between (soak, 0, 3) == 0)
    soak->plans[w].power_off_ms = at_ms;
  else
    soak->plans[w].restart_ms = at_ms;
}

static void
kill_vm (struct soak *soak, uint32_t vm, uint64_t restart_ms)
{
  if (soak->restart_ms[vm] != 0 || soak->thaw_ms[vm] != 0)
    return;
  tst_processes_kill (&soak->processes.vms[vm]);
  soak->restart_ms[vm] = restart_ms;
}

static void
strike_vm (struct soak *soak, enum fault fault, uint64_t now)
{
  struct tst_processes *processes = &soak->processes;
  const struct tst_process *leader = processes->leader;
  uint32_t vm = leader != NULL && between (soak, 0, 3) > 0
                    ? (uint32_t)(leader - processes->vms)
                    : between (soak, 0, VMS - 1);
  uint64_t back_ms = now + between (soak, 100, 3000);

  if (fault == FAULT_KILL)
    kill_vm (soak, vm, back_ms);
  else if (fault == FAULT_HERD_KILL)
    for (uint32_t i = between (soak, 2, VMS); i > 0; i--)
      kill_vm (soak, (vm + i) % VMS, back_ms);
  else if (soak->restart_ms[vm] != 0 || soak->thaw_ms[vm] != 0)
    return;
  else if (fault == FAULT_FREEZE)
    {
      tst_processes_freeze (&processes->vms[vm], true);
      soak->thaw_ms[vm] = now + between (soak, 200, 8000);
    }
  else
    {
      tst_processes_stop (&processes->vms[vm]);
      soak->restart_ms[vm] = back_ms;
    }
}

static void
strike_log (struct soak *soak, enum fault fault, uint64_t now)
{
  struct fkp_faults *faults = &soak->processes.fake.faults;

  if (soak->log_back_ms != 0)
    return;
  faults->log_silent = fault == FAULT_LOG_SILENT;
  faults->log_busy = fault == FAULT_LOG_BUSY;
  faults->log_delay_ms = fault == FAULT_LOG_SLOW ? between (soak, 20, 900) : 0;
  soak->log_since_ms = now;
  soak->log_back_ms = now + between (soak, 200, 5000);
}

static void
strike_orders (struct soak *soak, enum fault fault, uint64_t now)
{
  struct fkp_faults *faults = &soak->processes.fake.faults;

  for (size_t i = 0; i < G_N_ELEMENTS (faults->start_delay_ms); i++)
    faults->start_delay_ms[i]
        = between (soak, i % 2 == 0 ? 100 : 2000, i % 2 == 0 ? 2400 : 12000);
  soak->order_faults_end_ms = now + 1500;
  if (fault == FAULT_LOSE_STARTS)
    faults->lose_start_answers = between (soak, 1, 8);
  else if (fault == FAULT_REFUSED_STARTS)
    faults->start_error_status = between (soak, 0, 1) ? 503 : 429;
  else
    {
      faults->start
          = fault == FAULT_LATE_STARTS ? FKP_START_LATE : FKP_START_CLOSED;
      faults->start_count = between (soak, 1, 12);
      if (between (soak, 0, 2) > 0)
        soak->late_anew_ms = now + between (soak, 200, 4000);
      if (between (soak, 0, 3) == 0)
        strike_vm (soak, FAULT_KILL, now);
    }
}

static void
strike_worker (struct soak *soak, enum fault fault, uint32_t w, uint64_t now)
{
  struct fkp_worker *worker = &soak->processes.fake.workers[w];
  struct plan *plan = &soak->plans[w];
  uint32_t cut_for_ms = between (soak, 500, 13000);

  switch (fault)
    {
    case FAULT_CUT:
      plan_cut (soak, w, now, cut_for_ms);
      break;
    case FAULT_ANEW_CUT:
      if (plan->mend_ms != 0 || worker->crashed)
        break;
      plan_restart (soak, w, now + 1);
      plan_cut (soak, w,
                now + between (soak, 20, between (soak, 0, 2) > 0 ? 300 : 900),
                between (soak, 5000, 13000));
      soak->burst_end_ms = now + 350;
      break;
    case FAULT_CUT_ANEW:
      plan_cut (soak, w, now, cut_for_ms);
      plan_restart (soak, w, now + between (soak, 0, cut_for_ms + 300));
      break;
    case FAULT_SILENT:
      if (!worker->crashed && plan->mend_ms == 0)
        {
          worker->silent = true;
          plan->mend_ms = now + cut_for_ms;
        }
      break;
    case FAULT_OVERTAKE:
      worker->answer_delay_ms = between (soak, 100, 2500);
      plan->fast_ms = now + between (soak, 500, 6000);
      break;
    case FAULT_LATE_ENTRIES:
      worker->entry_delay_ms = between (soak, 500, 6000);
      plan->entries_ms = now + between (soak, 500, 6000);
      break;
    case FAULT_DRAIN:
      if (!worker->crashed && plan->leave_ms == 0)
        {
          worker->draining = true;
          plan->leave_ms = now + DRAIN_MS + between (soak, 0, 3000);
        }
      break;
    default:
      crash (soak, w, fault == FAULT_POWER_OFF);
      break;
    }
}

static void
strike (struct soak *soak, enum fault fault, uint64_t now)
{
  struct fkp_faults *faults = &soak->processes.fake.faults;
  uint32_t worker = between (soak, 0, WORKERS - 1);
  uint32_t count = between (soak, 0, 1) == 0 ? between (soak, 2, RACK) : 1;

  /* Tasks are placed on few workers at a time. */
  if (fault == FAULT_ANEW_CUT)
    count = between (soak, 1, 3 * RACK);
  print_message ("  %" PRIu64 " %s, worker %u, %u\n", now,
                 fault_kinds[fault].name, worker, count);
  if (fault >= FAULT_KILL && fault <= FAULT_STOP)
    strike_vm (soak, fault, now);
  else if (fault >= FAULT_LOG_SILENT && fault <= FAULT_LOG_SLOW)
    strike_log (soak, fault, now);
  else if (fault == FAULT_LOSE_APPENDS)
    faults->lose_append_answers = between (soak, 1, 4);
  else if (fault >= FAULT_LOSE_STARTS && fault <= FAULT_REFUSED_STARTS)
    strike_orders (soak, fault, now);
  else if (fault == FAULT_LATE_HOLDS)
    {
      faults->late_holds = between (soak, 1, 8);
      soak->late_holds_ms = now + between (soak, 300, 8000);
    }
  else
    for (uint32_t i = 0; i < count; i++)
      strike_worker (soak, fault, (worker + i) % WORKERS, now);
}

/* Begins anew on the workers that hold orders for later. */
static void
restart_late_workers (struct soak *soak)
{
  const GArray *late = soak->processes.fake.late_starts;

  for (guint i = 0; i < late->len; i++)
    {
      const struct fkp_worker *worker
          = g_array_index (late, struct fkp_late_start, i).worker;

      crash (soak, (uint32_t)(worker - soak->processes.fake.workers),
             between (soak, 0, 1) == 0);
    }
}

static bool
is_due (uint64_t *at_ms, uint64_t now)
{
  if (*at_ms == 0 || now < *at_ms)
    return false;
  *at_ms = 0;
  return true;
}

/* The platform may remove entries while the store is away; they are back
   within two seconds of its return. */
static void
bring_log_back (struct soak *soak, uint64_t now)
{
  struct fkp_platform *fake = &soak->processes.fake;
  bool expired = fake->faults.log_silent
                 && now > soak->log_since_ms + 3ULL * FKP_HEARTBEAT_MS
                 && between (soak, 0, 1) == 0;

  fake->faults.log_silent = false;
  fake->faults.log_busy = false;
  fake->faults.log_delay_ms = 0;
  for (uint32_t w = 0; w < WORKERS && expired; w++)
    if (!fake->workers[w].crashed)
      {
        fkp_unlist_worker (&fake->workers[w]);
        soak->plans[w].listed_ms = now + between (soak, 1, 1900);
      }
}

static void
mend_worker (struct soak *soak, uint32_t w, uint64_t now)
{
  struct fkp_worker *worker = &soak->processes.fake.workers[w];
  struct plan *plan = &soak->plans[w];

  if (is_due (&plan->restart_ms, now) && !worker->crashed)
    fkp_restart_worker (worker);
  if (is_due (&plan->power_off_ms, now))
    crash (soak, w, true);
  if (is_due (&plan->cut_ms, now))
    fkp_cut_worker (worker, plan->cut);
  if (is_due (&plan->mend_ms, now))
    {
      fkp_cut_worker (worker, FKP_CUT_NONE);
      worker->silent = worker->crashed && worker->silent;
    }
  if (is_due (&plan->fast_ms, now))
    worker->answer_delay_ms = 0;
  if (is_due (&plan->entries_ms, now))
    worker->entry_delay_ms = 0;
  if (is_due (&plan->listed_ms, now) && !worker->crashed
      && worker->cut == FKP_CUT_NONE)
    worker->unlisted = false;
  if (is_due (&plan->leave_ms, now) && worker->draining && !worker->crashed)
    {
      soak->processes.fake.faults.back_after_ms = between (soak, 500, 4000);
      fkp_crash_worker (worker);
      worker->entry_lapse_ms = now;
    }
}

static void
mend (struct soak *soak, uint64_t now)
{
  struct fkp_platform *fake = &soak->processes.fake;

  for (uint32_t vm = 0; vm < VMS; vm++)
    {
      struct tst_process *process = &soak->processes.vms[vm];

      if (is_due (&soak->thaw_ms[vm], now))
        tst_processes_freeze (process, false);
      /* One that is still stopping is started again when it has ended. */
      if (process->pid == 0 && is_due (&soak->restart_ms[vm], now))
        tst_processes_restart (process);
    }
  if (is_due (&soak->log_back_ms, now))
    bring_log_back (soak, now);
  if (is_due (&soak->late_holds_ms, now))
    {
      fake->faults.late_holds = 0;
      fkp_execute_late_holds (fake);
    }
  if (is_due (&soak->late_anew_ms, now))
    restart_late_workers (soak);
  if (is_due (&soak->order_faults_end_ms, now))
    {
      fake->faults.start_error_status = 0;
      fake->faults.start_count = 0;
    }
  for (uint32_t w = 0; w < WORKERS; w++)
    mend_worker (soak, w, now);
}

/* The play. */

static void
step (struct soak *soak, struct ev_loop *loop)
{
  uint64_t now;

  ev_run (loop, EVRUN_ONCE);
  tst_processes_poll (&soak->processes);
  tst_witness_check (&soak->witness);
  now = hc_now_us () / 1000;
  mend (soak, now);
  act (soak, now);
  if (now >= soak->next_job_ms && soak->job_count < JOBS_MAX)
    {
      bool burst = now < soak->burst_end_ms;

      soak->next_job_ms = now + (burst ? BURST_EVERY_MS : JOB_EVERY_MS);
      submit (soak, burst ? burst_weights : job_weights);
    }
  if (now >= soak->next_fault_ms)
    {
      strike (soak, choose_fault (soak), now);
      /* Series of faults, with pauses in which work goes on. */
      soak->next_fault_ms
          = now
            + (between (soak, 0, 4) > 0 ? between (soak, 0, 700)
                                        : between (soak, 2000, 6000));
    }
}

static void
begin (struct soak *soak, struct ev_loop *loop, uint32_t seed)
{
  struct fkp_platform *fake = &soak->processes.fake;

  soak->rand = g_rand_new_with_seed (seed);
  soak->actions = g_array_new (FALSE, FALSE, sizeof (struct action));
  soak->processes.worker_lease_ms = LEASE_MAX_MS;
  soak->processes.vm_count = VMS;
  soak->processes.advised = true;
  tst_processes_begin (&soak->processes, loop, WORKERS);
  tst_witness_begin (&soak->witness, fake, seed);
  fake->faults.lease_max_ms = LEASE_MAX_MS;
  fake->faults.back_under_old_id = true;
  fake->faults.orders_outlive_worker = true;
  fake->faults.keep_cut_starts = true;
  fake->faults.connections_die = true;
  fake->faults.keep_any_hold = true;
  fake->faults.answers_overtake = true;
  fake->faults.gang.prefix = GANG_PREFIX;
  fake->faults.gang.size = GANG_TASKS;
  fake->spec_durations = true;
  fake->ticketed = "a";
  fake->decision_ms = 5;
  fake->newest_items = 500;
  for (uint32_t w = 0; w < WORKERS; w++)
    {
      fake->workers[w].millicores = 64000;
      fake->workers[w].slow_permille = w % 2 * 20;
    }
}

static void
end (struct soak *soak, bool keep_files)
{
  if (keep_files)
    print_message ("settings and logs are in %s\n", soak->processes.dir);
  tst_processes_end (&soak->processes, keep_files);
  g_array_free (soak->actions, TRUE);
  g_rand_free (soak->rand);
  g_free (soak);
}

/* Plays one seed. Returns how often a task ran twice. */
static uint32_t
play (struct ev_loop *loop, uint32_t seed, uint32_t seconds)
{
  struct soak *soak = g_new0 (struct soak, 1);
  uint64_t end_ms;
  uint32_t accepted;
  uint32_t twice;

  begin (soak, loop, seed);
  tst_soak_await_leader (&soak->processes);
  end_ms = hc_now_us () / 1000 + seconds * 1000ULL;
  while (hc_now_us () / 1000 < end_ms)
    step (soak, loop);
  print_message ("seed %u: %u of %u jobs accepted\n", seed, soak->accepted,
                 soak->job_count);
  twice = tst_witness_end (&soak->witness);
  accepted = soak->accepted;
  end (soak, twice > 0);
  if (accepted == 0)
    fail_msg ("seed %u: no job was accepted", seed);
  return twice;
}

static void
test_one_run_at_a_time (void **state)
{
  (void)state;
  assert_int_equal (tst_soak_play (play, 1, 45), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_run_at_a_time),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
