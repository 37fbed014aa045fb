/* Advice: which workers the policy of a queue allows for a step.

   A verdict on a worker does not change, but a ticket that permits starts on
   it lasts only a few seconds. A call has a long base duration plus a little
   for each worker named, and calls are served one after another. So a first
   question names many workers, including full ones, and later questions name
   only allowed workers that have capacity now. */

#include "cyc_cell_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000
/** Maximum number of workers in one question; a limit of the advisor. */
#define ASK_WORKERS_MAX 100
/** Naming workers may take as long as the base duration of the call; this many
 * workers may be named in any case. */
#define ASK_WORKERS_MIN 8
/** Assumed permille of workers that a policy allows before any answer, and the
 * minimum estimate. */
#define ALLOWED_INITIAL_PERMILLE 500
#define ALLOWED_MIN_PERMILLE 50
/** Weight of one answer in the estimated permille: 1/8. */
#define ALLOWED_WEIGHT_SHIFT 3
/** Marks the verdict of a worker that an open question names. */
#define VERDICT_ASKED 0x80
/** Delay after a question that was not answered or would name no worker. */
#define ASK_RETRY_US 100000
/** A worker whose speed costs more is named after all others. */
#define SLOW_ASK_COST 1000
/** Slots that a question should yield, as a multiple of the waiting tasks:
 * other stages take some of them before the answer arrives. */
#define ASK_SURPLUS_FACTOR 2

static uint32_t
queue_allowed_permille (const struct cell_core *core,
                        const struct cell_job *job)
{
  const uint32_t *found
      = g_hash_table_lookup (core->queue_allowed_permille, job->queue.data);

  return found != NULL ? MAX (ALLOWED_MIN_PERMILLE, *found)
                       : ALLOWED_INITIAL_PERMILLE;
}

static void
learn_allowed_permille (struct cell_core *core, const struct cell_job *job,
                        uint32_t named, uint32_t allowed)
{
  uint32_t old = queue_allowed_permille (core, job);
  uint32_t seen = allowed * 1000 / MAX (1, named);
  uint32_t learned
      = old - (old >> ALLOWED_WEIGHT_SHIFT) + (seen >> ALLOWED_WEIGHT_SHIFT);

  g_hash_table_replace (core->queue_allowed_permille,
                        g_strdup (job->queue.data),
                        g_memdup2 (&learned, sizeof learned));
}

enum cell_verdict
cell_verdict_of (const struct cell_stage *stage, uint32_t row)
{
  return row < stage->verdict_count
             ? (enum cell_verdict) (stage->verdicts[row] & ~VERDICT_ASKED)
             : CELL_VERDICT_UNKNOWN;
}

uint32_t
cell_allowed_count (const struct cell_stage *stage)
{
  return stage->allowed != NULL ? stage->allowed->len : 0;
}

uint32_t
cell_allowed_at (const struct cell_stage *stage, uint32_t index)
{
  return g_array_index (stage->allowed, uint32_t, index);
}

const struct cell_held_ticket *
cell_ticket_at (const struct cell_core *core, const struct cell_stage *stage,
                uint32_t index)
{
  const struct cell_held_ticket *held
      = &g_array_index (stage->tickets, struct cell_held_ticket, index);

  return held->until_us > core->now_us
                 && held->born_ms
                        == cell_worker_at (core, held->worker)->born_ms
             ? held
             : NULL;
}

uint32_t
cell_ticket_count (const struct cell_stage *stage)
{
  return stage->tickets != NULL ? stage->tickets->len : 0;
}

const struct cell_held_ticket *
cell_ticket_for (const struct cell_core *core, const struct cell_stage *stage,
                 uint32_t row)
{
  for (guint i = 0; i < cell_ticket_count (stage); i++)
    if (g_array_index (stage->tickets, struct cell_held_ticket, i).worker
        == row)
      return cell_ticket_at (core, stage, i);
  return NULL;
}

static void
clear_ticket (gpointer data)
{
  struct cell_held_ticket *held = data;

  g_ref_string_release (held->text);
}

void
cell_ticket_release (struct cell_run *run)
{
  if (run->ticket != NULL)
    g_ref_string_release (run->ticket);
  run->ticket = NULL;
}

void
cell_ticket_refused (const struct cell_run *run)
{
  const struct cell_stage *stage
      = cell_stage_of_task (run->job, run->round, run->task);

  for (guint i = 0; i < cell_ticket_count (stage); i++)
    {
      struct cell_held_ticket *held
          = &g_array_index (stage->tickets, struct cell_held_ticket, i);

      if (held->worker == run->worker && run->ticket != NULL
          && g_ref_string_length (held->text)
                 == g_ref_string_length (run->ticket)
          && memcmp (held->text, run->ticket, g_ref_string_length (held->text))
                 == 0)
        held->until_us = 0;
    }
}

struct candidate
{
  uint32_t row;
  bool slow;           /* comes after the others */
  uint32_t task_slots; /* higher comes first */
  uint32_t shuffle;    /* tie-breaker; spreads questions over workers */
};

static int
by_task_slots (const void *a, const void *b)
{
  const struct candidate *left = a;
  const struct candidate *right = b;

  if (left->slow != right->slow)
    return left->slow ? 1 : -1;
  if (left->task_slots != right->task_slots)
    return left->task_slots < right->task_slots ? 1 : -1;
  return left->shuffle < right->shuffle ? -1 : left->shuffle > right->shuffle;
}

/* Returns a hash of the step and the worker, so that steps that wait at the
   same time name different workers and do not all compete for the same
   capacity. */
static uint32_t
shuffle_key (const struct cell_stage *stage, uint32_t row)
{
  uint64_t mixed = (stage->job->id ^ stage->step) + row;

  mixed *= UINT64_C (0x9e3779b97f4a7c15);
  mixed ^= mixed >> 29;
  mixed *= UINT64_C (0xbf58476d1ce4e5b9);
  return (uint32_t)(mixed >> 32);
}

/* Takes the best candidates until their slots, each weighted with @p
   permille, reach the wanted number. Returns the weighted slots. */
static uint64_t
take_candidates (GArray *from, uint64_t wanted_slots, uint32_t permille,
                 uint32_t max_rows, uint32_t *rows, uint32_t *count)
{
  uint64_t slots = 0;

  if (from->len > 1)
    qsort (from->data, from->len, sizeof (struct candidate), by_task_slots);
  for (guint i = 0;
       i < from->len && *count < max_rows && slots < wanted_slots * 1000; i++)
    {
      const struct candidate *candidate
          = &g_array_index (from, struct candidate, i);

      rows[(*count)++] = candidate->row;
      slots += (uint64_t)candidate->task_slots * permille;
    }
  return slots / 1000;
}

static uint32_t
max_named_workers (const struct cell_advice_cfg *advice)
{
  uint64_t max_rows = ASK_WORKERS_MAX;

  if (advice->per_worker_us > 0)
    max_rows
        = MAX (ASK_WORKERS_MIN, advice->decision_us / advice->per_worker_us);
  return (uint32_t)MIN (max_rows, ASK_WORKERS_MAX);
}

/* Chooses the workers to name: first allowed ones with capacity, then unknown
   ones. A worker for which the stage holds a ticket had capacity and was not
   used, so another ticket would not help. Returns their number. */
static uint32_t
choose_workers (const struct cell_core *core, const struct cell_stage *stage,
                uint32_t rows[ASK_WORKERS_MAX])
{
  const Cyc__CellStep *step = cell_stage_step (stage);
  GArray *allowed = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  GArray *unknown = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  GArray *unknown_free = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  uint32_t permille = queue_allowed_permille (core, stage->job);
  uint64_t unknown_free_slots = 0;
  uint32_t max_rows = max_named_workers (&stage->job->cfg.advice);
  uint64_t wanted_slots
      = (uint64_t)stage->waiting * (step->gang ? 1 : ASK_SURPLUS_FACTOR);
  uint64_t allowed_slots = 0;
  uint32_t count = 0;

  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);
      enum cell_verdict verdict = cell_verdict_of (stage, i);
      struct candidate candidate
          = { .row = i, .shuffle = shuffle_key (stage, i) };
      uint32_t total;
      uint32_t slots;

      if (verdict == CELL_VERDICT_DENIED
          || !cell_worker_eligible (core, stage, worker))
        continue;
      candidate.slow
          = step->gang ? cell_speed_is_slow (core, worker)
                       : cell_speed_cost (core, stage, worker) > SLOW_ASK_COST;
      total = cell_slots_total (stage, worker);
      slots = cell_slots_now (core, stage, worker);
      if (verdict == CELL_VERDICT_ALLOWED)
        {
          allowed_slots += total;
          if (step->gang)
            slots = cell_slots_soon (core, stage, worker);
          candidate.task_slots = slots;
          if (slots > 0 && cell_ticket_for (core, stage, i) == NULL)
            g_array_append_val (allowed, candidate);
          continue;
        }
      unknown_free_slots += slots;
      if (step->gang && slots > 0)
        {
          candidate.task_slots = slots;
          g_array_append_val (unknown_free, candidate);
        }
      /* A gang waits until capacity comes free on any allowed workers, so
         full ones count too. */
      candidate.task_slots = step->gang ? total : slots;
      if (candidate.task_slots > 0)
        g_array_append_val (unknown, candidate);
    }
  if (step->gang)
    {
      uint64_t survey_slots = (uint64_t)stage->count * CELL_GANG_SURVEY_FACTOR;

      if (cell_gang_may_start_soon (core, stage))
        take_candidates (allowed, wanted_slots * ASK_SURPLUS_FACTOR, 1000,
                         max_rows, rows, &count);
      else if (allowed_slots
               < (stage->surveyed
                      ? (uint64_t)stage->count * CELL_GANG_RESURVEY_FACTOR
                      : survey_slots))
        take_candidates (unknown, survey_slots - allowed_slots, permille,
                         max_rows, rows, &count);
      /* The allowed workers would do if they were empty, but enough others
         have room now. */
      else if (unknown_free_slots * permille / 1000 >= stage->count)
        take_candidates (unknown_free, wanted_slots * ASK_SURPLUS_FACTOR,
                         permille, max_rows, rows, &count);
    }
  else
    {
      uint64_t found = take_candidates (allowed, wanted_slots, 1000, max_rows,
                                        rows, &count);

      if (found < stage->waiting)
        take_candidates (unknown, wanted_slots - found,
                         queue_allowed_permille (core, stage->job), max_rows,
                         rows, &count);
    }
  g_array_free (allowed, TRUE);
  g_array_free (unknown, TRUE);
  g_array_free (unknown_free, TRUE);
  return count;
}

/* A question that waits for its turn is now for a trial as well. */
static void
hasten_question (struct cell_core *core, uint64_t ask)
{
  for (guint i = 0; i < core->questions->len; i++)
    {
      struct cell_question *question = g_ptr_array_index (core->questions, i);

      if (question->ask == ask && !question->handed_out)
        question->trial = true;
    }
}

/* Chooses the workers to name for a trial: those that are held for the stage,
   or else unknown ones, to hold them later. Returns their number. */
static uint32_t
choose_for_trial (const struct cell_core *core, const struct cell_stage *stage,
                  uint32_t rows[ASK_WORKERS_MAX])
{
  GArray *unknown = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  bool gang = cell_stage_step (stage)->gang;
  uint32_t max_rows = max_named_workers (&stage->job->cfg.advice);
  uint32_t count = 0;

  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);
      struct candidate candidate
          = { .row = i, .shuffle = shuffle_key (stage, i) };

      if (cell_held_for (core, stage, worker))
        {
          if (cell_ticket_for (core, stage, i) == NULL && count < max_rows)
            rows[count++] = i;
          continue;
        }
      if (cell_verdict_of (stage, i) != CELL_VERDICT_UNKNOWN
          || !cell_worker_eligible (core, stage, worker))
        continue;
      candidate.task_slots = cell_slots_total (stage, worker);
      if (!gang)
        candidate.task_slots = MIN (1, candidate.task_slots);
      if (candidate.task_slots > 0)
        g_array_append_val (unknown, candidate);
    }
  if (count == 0)
    take_candidates (
        unknown, (gang ? stage->count : 1ULL) * CELL_GANG_SURVEY_FACTOR,
        queue_allowed_permille (core, stage->job), max_rows, rows, &count);
  g_array_free (unknown, TRUE);
  return count;
}

void
cell_stage_ask (struct cell_core *core, struct cell_stage *stage, bool trial)
{
  struct cell_question *question;

  if (stage->ask != 0)
    {
      if (trial)
        hasten_question (core, stage->ask);
      return;
    }
  if (core->now_us < stage->ask_after_us)
    {
      cell_retry_placement (core, stage->ask_after_us);
      return;
    }
  question = g_new0 (struct cell_question, 1);
  question->ask = core->next_ask++;
  question->stage = stage;
  question->trial = trial;
  question->cost_us = stage->job->cfg.advice.decision_us;
  stage->ask = question->ask;
  g_ptr_array_add (core->questions, question);
}

static void
drop_question (struct cell_core *core, guint index)
{
  struct cell_question *question = g_ptr_array_index (core->questions, index);

  question->stage->ask = 0;
  g_ptr_array_remove_index_fast (core->questions, index);
}

void
cell_questions_forget (struct cell_core *core, const struct cell_job *job,
                       uint32_t round)
{
  for (guint i = 0; i < core->questions->len;)
    {
      const struct cell_question *question
          = g_ptr_array_index (core->questions, i);

      if (CELL_STAGE_IS_OF (question->stage, job, round))
        drop_question (core, i);
      else
        i++;
    }
}

static bool
is_before (const struct cell_core *core, const struct cell_question *a,
           const struct cell_question *b)
{
  return a->trial != b->trial ? a->trial
                              : cell_stage_before (core, a->stage, b->stage);
}

/* Returns the index of the most urgent question that may be handed out;
   G_MAXUINT if there is none. */
static guint
next_question (struct cell_core *core, uint64_t max_cost_us)
{
  const struct cell_question *first = NULL;
  guint best = G_MAXUINT;

  for (guint i = 0; i < core->questions->len;)
    {
      const struct cell_question *question
          = g_ptr_array_index (core->questions, i);
      const struct cell_stage *stage = question->stage;

      if (!question->handed_out
          && (!cell_job_open (stage->job) || stage->waiting == 0))
        {
          drop_question (core, i);
          continue;
        }
      if (!question->handed_out && question->cost_us <= max_cost_us
          && (first == NULL || is_before (core, question, first)))
        {
          best = i;
          first = question;
        }
      i++;
    }
  return best;
}

/* Marks the workers named; those that the answer omits are denied. */
static void
mark_asked (const struct cell_core *core, struct cell_stage *stage,
            const struct cell_ask *ask)
{
  if (stage->verdict_count < core->workers->len)
    {
      stage->verdicts = g_realloc (stage->verdicts, core->workers->len);
      memset (stage->verdicts + stage->verdict_count, 0,
              core->workers->len - stage->verdict_count);
      stage->verdict_count = core->workers->len;
    }
  for (uint32_t w = 0; w < ask->worker_count; w++)
    if (stage->verdicts[ask->workers[w]] == CELL_VERDICT_UNKNOWN)
      stage->verdicts[ask->workers[w]] |= VERDICT_ASKED;
}

bool
cell_ask_next (struct cell_core *core, uint64_t max_cost_us,
               struct cell_ask *out)
{
  guint index;

  while ((index = next_question (core, max_cost_us)) != G_MAXUINT)
    {
      struct cell_question *question
          = g_ptr_array_index (core->questions, index);
      struct cell_stage *stage = question->stage;
      const struct cell_advice_cfg *advice = &stage->job->cfg.advice;

      out->worker_count = question->trial
                              ? choose_for_trial (core, stage, out->workers)
                              : choose_workers (core, stage, out->workers);
      if (out->worker_count == 0)
        {
          stage->ask_after_us = core->now_us + ASK_RETRY_US;
          cell_retry_placement (core, stage->ask_after_us);
          drop_question (core, index);
          continue;
        }
      question->handed_out = true;
      out->ask = question->ask;
      out->priority = stage->job->cfg.priority;
      out->cost_us
          = advice->decision_us + out->worker_count * advice->per_worker_us;
      question->cost_us = out->cost_us;
      snprintf (out->step, sizeof out->step, "%016llx.%u.%u",
                (unsigned long long)stage->job->id, stage->round, stage->step);
      mark_asked (core, stage, out);
      return true;
    }
  return false;
}

/* Sets the verdict of all workers that the question named to @p others;
   allowed ones are set after it. */
static void
settle_verdicts (struct cell_stage *stage, enum cell_verdict others,
                 uint32_t *named)
{
  for (uint32_t i = 0; i < stage->verdict_count; i++)
    if (stage->verdicts[i] & VERDICT_ASKED)
      {
        stage->verdicts[i] = (uint8_t)others;
        (*named)++;
      }
}

static void
keep_ticket (struct cell_core *core, struct cell_stage *stage, uint32_t row,
             struct cyc_str text, uint64_t until_us)
{
  struct cell_held_ticket held = { .worker = row, .until_us = until_us };

  held.born_ms = cell_worker_at (core, row)->born_ms;
  held.text = g_ref_string_new_len (text.data, (gssize)text.len);
  for (guint t = 0; t < stage->tickets->len;)
    if (g_array_index (stage->tickets, struct cell_held_ticket, t).worker
        == row)
      g_array_remove_index_fast (stage->tickets, t);
    else
      t++;
  g_array_append_val (stage->tickets, held);
}

/* Closes the question and returns its stage; NULL if the question is
   unknown. */
static struct cell_stage *
close_question (struct cell_core *core, uint64_t ask)
{
  for (guint i = 0; i < core->questions->len; i++)
    {
      struct cell_question *question = g_ptr_array_index (core->questions, i);
      struct cell_stage *stage = question->stage;

      if (question->ask != ask)
        continue;
      drop_question (core, i);
      return stage;
    }
  return NULL;
}

void
cell_advice (struct cell_core *core, uint64_t ask, bool answered,
             uint64_t valid_us, const struct cell_ticket *tickets,
             uint32_t count, uint64_t now_us)
{
  struct cell_stage *stage = close_question (core, ask);
  uint64_t margin_us = (uint64_t)core->desc.ticket_margin_ms * US_PER_MS;
  uint64_t until_us
      = now_us + (valid_us > margin_us ? valid_us - margin_us : 0);
  uint32_t named = 0;

  core->now_us = now_us;
  if (stage == NULL)
    return;
  if (!answered)
    {
      settle_verdicts (stage, CELL_VERDICT_UNKNOWN, &named);
      stage->ask_after_us = now_us + ASK_RETRY_US;
      core->placement_pending = true;
      cell_retry_placement (core, stage->ask_after_us);
      return;
    }
  settle_verdicts (stage, CELL_VERDICT_DENIED, &named);
  cell_trials_advised (stage);
  stage->surveyed = stage->surveyed || named > 0;
  if (stage->done == stage->count)
    return;
  if (stage->tickets == NULL)
    stage->tickets
        = g_array_new (FALSE, FALSE, sizeof (struct cell_held_ticket));
  g_array_set_clear_func (stage->tickets, clear_ticket);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t row;

      if (!cell_worker_find (core, tickets[i].worker, &row)
          || row >= stage->verdict_count)
        continue;
      if (stage->allowed == NULL)
        stage->allowed = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      if (stage->verdicts[row] != CELL_VERDICT_ALLOWED)
        g_array_append_val (stage->allowed, row);
      stage->verdicts[row] = CELL_VERDICT_ALLOWED;
      keep_ticket (core, stage, row, tickets[i].text, until_us);
    }
  if (named > 0)
    learn_allowed_permille (core, stage->job, named, MIN (count, named));
  core->placement_pending = true;
  cell_wake (core, now_us);
}
