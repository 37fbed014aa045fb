/* Log lines of runs and workers, with the keys that decide first. */

#include "run_lines.h"
#include "log_event.h"

#include <stdio.h>

/* Bytes of a number in short form, with its end. */
#define SHORT_BYTES 24
#define LIFE_BYTES 32
#define EVIDENCE_BYTES 160
#define NEXT_BYTES 96

static const char *const reasons[CELL_OVER_REASONS]
    = { "unordered", "refused", "stopped", "missing", "fenced",
        "lapsed",    "left",    "reborn",  "replaced" };
static const char *const ways[]
    = { "order", "answer", "report", "entry", "lapse", "exit" };
static const char *const end_kinds[]
    = { "done", "failed", "stopped", "lapsed", "broken", "alone" };
static const char *const call_ends[]
    = { "silent", "broken", "refused", "other-incarnation" };

/* Returns how long ago a time was, or -1 if it is unknown. */
static int64_t
age_ms (uint64_t now_us, uint64_t at_us)
{
  return at_us != 0 ? (int64_t)(now_us - at_us) / 1000 : -1;
}

/* Writes an age in seconds with up to three digits that count. */
static void
short_age (char out[SHORT_BYTES], uint64_t now_us, uint64_t at_us)
{
  double age_s = (double)(int64_t)(now_us - at_us) / 1e6;

  if (at_us == 0)
    snprintf (out, SHORT_BYTES, "-");
  else
    snprintf (out, SHORT_BYTES, age_s < 99.95 ? "%.1f" : "%.0f", age_s);
}

/* Writes by how many seconds an incarnation began after another one, rounded
   up so that two incarnations are told apart. */
static void
short_born (char out[SHORT_BYTES], uint64_t born_ms, uint64_t base_ms)
{
  int64_t after_ms = (int64_t)(born_ms - base_ms);

  if (born_ms == 0)
    snprintf (out, SHORT_BYTES, "-");
  else
    snprintf (out, SHORT_BYTES, "%" PRId64,
              (after_ms + (after_ms < 0 ? -999 : 999)) / 1000);
}

/* Returns the first incarnation that is known of a conclusion. */
static uint64_t
first_born_ms (const struct cell_conclusion *conclusion)
{
  if (conclusion->ordered_born_ms != 0)
    return conclusion->ordered_born_ms;
  if (conclusion->last_born_ms != 0)
    return conclusion->last_born_ms;
  return conclusion->run_born_ms != 0 ? conclusion->run_born_ms
                                      : conclusion->worker_born_ms;
}

/* Writes the evidence of a conclusion: the way by which it came, what is known
   of the start, the incarnations ordered for, last that may have received the
   order, and known at the conclusion, and the ages of the order and of the
   evidence then. */
static void
short_evidence (char *out, size_t size,
                const struct cell_conclusion *conclusion)
{
  uint64_t base_ms = first_born_ms (conclusion);
  char born[3][SHORT_BYTES];
  char age[2][SHORT_BYTES];

  short_born (born[0], conclusion->ordered_born_ms, base_ms);
  short_born (born[1], conclusion->last_born_ms, base_ms);
  short_born (born[2], conclusion->worker_born_ms, base_ms);
  short_age (age[0], conclusion->concluded_us, conclusion->ordered_us);
  short_age (age[1], conclusion->concluded_us, conclusion->evidence_us);
  snprintf (out, size, "%c%s%s%s%s/%s/%s/%s/%s/%s", "OARELX"[conclusion->way],
            conclusion -> start_answered ? "a" : "",
            conclusion->shown ? "s" : "", conclusion->ticketed ? "t" : "",
            conclusion->inherited ? "i" : "", born[0], born[1], born[2],
            age[0], age[1]);
}

void
lines_start (const struct cell_order *order, struct cyc_str worker,
             const struct lines_start *start)
{
  ev_log (EV_RUN_START,
          "task=%s run=%u worker=%.*s epoch=%" PRIu64 " fence=%" PRIu64
          " born_ms=%" PRIu64 " ticket=%d lease_deadline_ms=%" PRIu64
          " run_row=%u.%u checkpoint=%d",
          order->task, order->number, CYC_FMT (worker), start->epoch,
          start->fence, start->born_ms, order->ticket.len > 0,
          start->lease_deadline_ms, order->run.index, order->run.generation,
          order->checkpoint[0] != 0);
}

void
lines_refused (const struct cell_order *order, struct cyc_str worker,
               enum cell_start_result result, const char *why, uint64_t epoch,
               uint64_t now_us)
{
  ev_log (EV_RUN_REFUSED,
          "task=%s run=%u worker=%.*s result=%d why=%s epoch=%" PRIu64
          " ordered_age_ms=%" PRId64 " run_row=%u.%u",
          order->task, order->number, CYC_FMT (worker), (int)result, why,
          epoch, age_ms (now_us, order->ordered_us), order->run.index,
          order->run.generation);
}

void
lines_stop (const struct cell_order *order, struct cyc_str worker,
            uint64_t born_ms, uint64_t epoch)
{
  ev_log (EV_RUN_STOP,
          "task=%s run=%u worker=%.*s born_ms=%" PRIu64 " epoch=%" PRIu64,
          order->task, order->number, CYC_FMT (worker), born_ms, epoch);
}

void
lines_end (const struct cell_end_row *end, struct cyc_str worker,
           uint64_t born_ms, uint64_t epoch)
{
  ev_log (EV_RUN_END,
          "task=%.*s run=%u worker=%.*s how=%s number=%" PRIu64
          " born_ms=%" PRIu64 " epoch=%" PRIu64,
          CYC_FMT (end->task), end->run, CYC_FMT (worker),
          end_kinds[end->kind], end->number, born_ms, epoch);
}

/* Writes the key that names the run in the place of the one that was taken
   for over. */
static void
next_key (char out[NEXT_BYTES], const struct cell_conclusion *conclusion,
          struct cyc_str next_worker)
{
  out[0] = 0;
  if (conclusion->next_run != 0)
    snprintf (out, NEXT_BYTES, " next=%u@%.*s", conclusion->next_run,
              CYC_FMT (next_worker));
}

/* Writes the key that names the incarnation that contradicts a conclusion. */
static void
life_key (char out[LIFE_BYTES], const struct cell_conclusion *conclusion)
{
  char life[SHORT_BYTES];

  out[0] = 0;
  if (!conclusion->contradicted)
    return;
  short_born (life, conclusion->shown_born_ms, first_born_ms (conclusion));
  snprintf (out, LIFE_BYTES, " life=%s", life);
}

/* A refused start has a line of its own, and there are many. */
static enum ev_code
over_code (const struct cell_conclusion *conclusion)
{
  return conclusion->contradicted                ? EV_RUN_OVER_WRONG
         : conclusion->over == CELL_OVER_REFUSED ? EV_RUN_OVER_REFUSED
                                                 : EV_RUN_OVER;
}

void
lines_over (const struct cell_conclusion *conclusion,
            const struct cell_worker_view *view, struct cyc_str next_worker,
            uint64_t epoch, uint64_t now_us)
{
  char evidence[EVIDENCE_BYTES];
  char life[LIFE_BYTES];
  char next[NEXT_BYTES];

  short_evidence (evidence, sizeof evidence, conclusion);
  life_key (life, conclusion);
  next_key (next, conclusion, next_worker);
  ev_log (
      over_code (conclusion),
      "task=%s run=%u worker=%.*s because=%s ev=%s%s%s epoch=%" PRIu64
      " way=%s start_answered=%d shown=%d ticket=%d inherited=%d"
      " born_ms=%" PRIu64 " ordered_born_ms=%" PRIu64 " last_born_ms=%" PRIu64
      " now_born_ms=%" PRIu64 " concluded_age_ms=%" PRId64
      " evidence_age_ms=%" PRId64 " ordered_age_ms=%" PRId64
      " confirmed_age_ms=%" PRId64 " stop_age_ms=%" PRId64
      " lease_deadline_ms=%" PRIu64 " clock_ms=%" PRIu64
      " clock_age_ms=%" PRId64 " known_age_ms=%" PRId64
      " answered_age_ms=%" PRId64 " restart_seen=%d",
      conclusion->task, conclusion->run, CYC_FMT (view->id),
      reasons[conclusion->over], evidence, life, next, epoch,
      ways[conclusion->way], conclusion->start_answered, conclusion->shown,
      conclusion->ticketed, conclusion->inherited, conclusion->run_born_ms,
      conclusion->ordered_born_ms, conclusion->last_born_ms,
      conclusion->worker_born_ms, age_ms (now_us, conclusion->concluded_us),
      age_ms (now_us, conclusion->evidence_us),
      age_ms (now_us, conclusion->ordered_us),
      age_ms (now_us, conclusion->confirmed_us),
      age_ms (now_us, conclusion->stop_confirmed_us),
      conclusion->lease_deadline_ms, view->clock_ms,
      age_ms (now_us, view->clock_at_us),
      age_ms (now_us, conclusion->known_us),
      age_ms (now_us, conclusion->answered_us), conclusion->restart_seen);
}

void
lines_over_end (const struct cell_over_end *end, struct cyc_str worker,
                struct cyc_str next_worker, uint64_t epoch, uint64_t now_us)
{
  const struct cell_conclusion *conclusion = &end->conclusion;
  char evidence[EVIDENCE_BYTES];
  char next[NEXT_BYTES];
  char life[SHORT_BYTES];

  short_evidence (evidence, sizeof evidence, conclusion);
  next_key (next, conclusion, next_worker);
  short_born (life, end->born_ms, first_born_ms (conclusion));
  ev_log (end->other_life ? EV_RUN_OVER_ENDED_LATER : EV_RUN_OVER_ENDED,
          "task=%s run=%u worker=%.*s because=%s how=%s life=%s ev=%s%s"
          " epoch=%" PRIu64 " born_ms=%" PRIu64 " last_born_ms=%" PRIu64
          " now_born_ms=%" PRIu64 " concluded_age_ms=%" PRId64,
          conclusion->task, conclusion->run, CYC_FMT (worker),
          reasons[conclusion->over], end_kinds[end->kind], life, evidence,
          next, epoch, end->born_ms, conclusion->last_born_ms,
          conclusion->worker_born_ms,
          age_ms (now_us, conclusion->concluded_us));
}

void
lines_twice (const struct cell_twice *twice, const struct cyc_str workers[2],
             uint64_t epoch, uint64_t now_us, uint64_t now_ms)
{
  const struct cell_twice_run *run = &twice->runs[0];
  const struct cell_twice_run *other = &twice->runs[1];
  char life[2][SHORT_BYTES];

  short_born (life[0], run->born_ms != 0 ? now_ms : 0, run->born_ms);
  short_born (life[1], other->born_ms != 0 ? now_ms : 0, other->born_ms);
  ev_log (
      EV_TASK_RUNS_TWICE,
      "task=%s run=%u worker=%.*s other=%u@%.*s lives=%s/%s"
      " stop=%d%d shown=%d%d answered=%d%d adopted=%d%d epoch=%" PRIu64
      " born_ms=%" PRIu64 " other_born_ms=%" PRIu64 " ordered_age_ms=%" PRId64
      " other_ordered_age_ms=%" PRId64 " reported_age_ms=%" PRId64
      " other_reported_age_ms=%" PRId64 " found_age_ms=%" PRId64,
      twice->task, run->run, CYC_FMT (workers[0]), other->run,
      CYC_FMT (workers[1]), life[0], life[1], run->stopping, other->stopping,
      run->shown, other->shown, run->answered, other->answered, run->adopted,
      other->adopted, epoch, run->born_ms, other->born_ms,
      age_ms (now_us, run->ordered_us), age_ms (now_us, other->ordered_us),
      age_ms (now_us, run->reported_us), age_ms (now_us, other->reported_us),
      age_ms (now_us, twice->found_us));
}

void
lines_silent (const struct cell_worker_view *view,
              const struct pt_call_end *before, const struct pt_call_end *last,
              uint64_t now_us)
{
  ev_log (EV_WORKER_SILENT,
          "worker=%.*s runs=%u born_ms=%" PRIu64 " lease_left_ms=%" PRId64
          " end=%s first_end=%s clock_age_ms=%" PRId64
          " first_broken_age_ms=%" PRId64 " broken_age_ms=%" PRId64,
          CYC_FMT (view->id), view->runs, view->born_ms,
          view->clock_ms == 0
              ? 0
              : (int64_t)(view->lease_deadline_ms - view->clock_ms)
                    - (int64_t)((now_us - view->clock_at_us) / 1000),
          call_ends[last->end], call_ends[before->end],
          age_ms (now_us, view->clock_at_us),
          age_ms (now_us, before->broken_us),
          age_ms (now_us, last->broken_us));
}

void
lines_listed (const struct cell_worker_entry *entry, uint64_t was_born_ms,
              uint64_t entry_after_us, uint64_t now_us)
{
  ev_log (EV_WORKER_LISTED,
          "worker=%s born_ms=%" PRIu64 " was_born_ms=%" PRIu64
          " draining=%d entry_age_ms=%" PRId64
          " pool=%s domain=%s address=%s millicores=%u kind=%s",
          entry->id.data, entry->born_ms, was_born_ms, entry->draining,
          age_ms (now_us, entry_after_us), entry->pool.data,
          entry->domain.data, entry->address.data, entry->capacity.millicores,
          entry->labels[0].data);
}

void
lines_counts (const struct lines_counts *counts,
              const struct cell_conclusion *wrong, struct cyc_str worker,
              uint64_t epoch)
{
  const uint64_t *over = counts->over;
  char last[160] = "";

  if (wrong != NULL)
    snprintf (last, sizeof last, " last=%s/%u@%.*s/%s", wrong->task,
              wrong->run, CYC_FMT (worker), reasons[wrong->over]);
  ev_log (EV_RUN_COUNTS,
          "wrong=%" PRIu64 "%s over=%" PRIu64 "/%" PRIu64 "/%" PRIu64
          "/%" PRIu64 "/%" PRIu64 "/%" PRIu64 "/%" PRIu64 " reborn=%" PRIu64
          " twice=%" PRIu64 " starts=%" PRIu64 "/%" PRIu64 "/%" PRIu64
          " epoch=%" PRIu64,
          counts->wrong, last, over[CELL_OVER_STOPPED],
          over[CELL_OVER_MISSING], over[CELL_OVER_FENCED],
          over[CELL_OVER_LAPSED], over[CELL_OVER_LEFT], over[CELL_OVER_REBORN],
          over[CELL_OVER_REPLACED], counts->restarts, counts->twice,
          counts->answered, counts->refused, counts->unanswered, epoch);
}
