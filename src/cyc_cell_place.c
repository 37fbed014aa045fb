#include "cyc_cell_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000
/** Workers named in one question at most; the advisor's bound. */
#define ASK_WORKERS_MAX 100
/** A first question names so many workers that naming them costs at most half
 * of the call itself. */
#define ASK_NAMING_DIVISOR 2
/** Permille of the workers that the policy allows, before anything is
 * learned. */
#define GOOD_FIRST_PERMILLE 500
#define GOOD_LEAST_PERMILLE 50
/** Weight of one answer in the learned permille: 1/8. */
#define GOOD_SHIFT 3
/** Marks the verdict of a worker that an open question names. */
#define VERDICT_ASKED 0x80
/** Gap after a question that was not answered. */
#define ASK_RETRY_US 100000

bool
cell_res_fits (const struct cell_worker *worker, const struct cyc_res *size)
{
  return worker->used_millicores + size->millicores
             <= worker->capacity.millicores
         && worker->used_memory_mib + size->memory_mib
                <= worker->capacity.memory_mib
         && worker->used_accelerators + size->accelerators
                <= worker->capacity.accelerators;
}

static struct cyc_res
step_size (const Cyc__CellStep *step)
{
  return (struct cyc_res){ step->fills ? 0 : step->millicores,
                           step->memory_mib, step->accelerators };
}

static bool
has_label (const struct cell_worker *worker, struct cyc_str label)
{
  for (uint32_t i = 0; i < worker->label_count; i++)
    if (cyc_str_eq (cyc_name_str (&worker->labels[i]), label))
      return true;
  return false;
}

/* The worker may run tasks of the stage, apart from advice and room. */
static bool
worker_suits (const struct cell_core *core, const struct cell_stage *stage,
              const struct cell_worker *worker)
{
  const Cyc__CellStep *step = cell_stage_step (stage);

  return cell_worker_usable (core, worker)
         && cyc_name_eq (&worker->pool, &stage->job->cfg.pool)
         && (step->required_label[0] == 0
             || has_label (worker, cyc_str_of (step->required_label)));
}

static bool
team_has_room (const struct cell_team *team, const struct cyc_res *size,
               uint64_t tasks)
{
  const struct cyc_res *limit = &team->limit;

  return (limit->millicores == 0
          || team->used_millicores + size->millicores * tasks
                 <= limit->millicores)
         && (limit->memory_mib == 0
             || team->used_memory_mib + size->memory_mib * tasks
                    <= limit->memory_mib)
         && (limit->accelerators == 0
             || team->used_accelerators + size->accelerators * tasks
                    <= limit->accelerators);
}

/* Advice. */

static uint32_t
queue_good (const struct cell_core *core, const struct cell_job *job)
{
  const uint32_t *found
      = g_hash_table_lookup (core->queue_good, job->queue.data);

  return found != NULL ? MAX (GOOD_LEAST_PERMILLE, *found)
                       : GOOD_FIRST_PERMILLE;
}

static void
learn_good (struct cell_core *core, const struct cell_job *job, uint32_t named,
            uint32_t allowed)
{
  uint32_t old = queue_good (core, job);
  uint32_t seen = allowed * 1000 / MAX (1, named);
  uint32_t learned = old - (old >> GOOD_SHIFT) + (seen >> GOOD_SHIFT);

  g_hash_table_replace (core->queue_good, g_strdup (job->queue.data),
                        g_memdup2 (&learned, sizeof learned));
}

struct candidate
{
  uint32_t row;
  uint64_t free_millicores;
};

static int
by_free (const void *a, const void *b)
{
  const struct candidate *left = a;
  const struct candidate *right = b;

  if (left->free_millicores != right->free_millicores)
    return left->free_millicores < right->free_millicores ? 1 : -1;
  return left->row < right->row ? -1 : 1;
}

static enum cell_verdict
verdict_of (const struct cell_stage *stage, uint32_t row)
{
  return row < stage->verdict_count ? stage->verdicts[row]
                                    : CELL_VERDICT_UNKNOWN;
}

static const struct cell_held_ticket *
ticket_for (const struct cell_core *core, const struct cell_stage *stage,
            uint32_t row)
{
  const struct cell_worker *worker = cell_worker_at (core, row);

  if (stage->tickets == NULL)
    return NULL;
  for (guint i = 0; i < stage->tickets->len; i++)
    {
      const struct cell_held_ticket *held
          = &g_array_index (stage->tickets, struct cell_held_ticket, i);

      if (held->worker == row && held->until_us > core->now_us
          && held->born_ms == worker->born_ms)
        return held;
    }
  return NULL;
}

/* Workers to name: with most free capacity first. One for which a ticket is
   held had room and was not used, so another ticket would not help. Returns
   their number. */
static uint32_t
choose_workers (struct cell_core *core, struct cell_stage *stage,
                uint32_t rows[ASK_WORKERS_MAX])
{
  const struct cell_advice_cfg *advice = &stage->job->cfg.advice;
  struct cyc_res size = step_size (cell_stage_step (stage));
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  uint64_t slots = 0;
  uint64_t most = ASK_WORKERS_MAX;
  uint32_t count = 0;
  bool known = false;

  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);
      struct candidate candidate = { i, 0 };

      if (!worker_suits (core, stage, worker)
          || verdict_of (stage, i) == CELL_VERDICT_DENIED
          || !cell_res_fits (worker, &size)
          || ticket_for (core, stage, i) != NULL)
        continue;
      known = known || verdict_of (stage, i) == CELL_VERDICT_ALLOWED;
      candidate.free_millicores
          = worker->capacity.millicores - worker->used_millicores;
      g_array_append_val (found, candidate);
    }
  if (found->len > 1)
    qsort (found->data, found->len, sizeof (struct candidate), by_free);
  if (advice->per_worker_us > 0)
    most = MIN (most, MAX (8, advice->decision_us / ASK_NAMING_DIVISOR
                                  / advice->per_worker_us));
  /* Workers known as allowed come first; they need no luck. */
  for (int pass = known ? 0 : 1; pass < 2; pass++)
    for (guint i = 0; i < found->len && count < most; i++)
      {
        const struct candidate *candidate
            = &g_array_index (found, struct candidate, i);
        enum cell_verdict verdict = verdict_of (stage, candidate->row);

        if ((pass == 0) != (verdict == CELL_VERDICT_ALLOWED))
          continue;
        if (pass == 0 && slots >= 2 * (uint64_t)stage->waiting)
          break;
        rows[count++] = candidate->row;
        if (verdict == CELL_VERDICT_ALLOWED)
          slots += size.millicores > 0
                       ? candidate->free_millicores / size.millicores
                       : stage->waiting;
        if (pass == 1 && known && slots >= stage->waiting)
          break;
      }
  g_array_free (found, TRUE);
  return count;
}

void
cell_place_again (struct cell_core *core, uint64_t at_us)
{
  if (at_us < core->place_at_us)
    core->place_at_us = at_us;
  cell_wake (core, at_us);
}

void
cell_stage_ask (struct cell_core *core, struct cell_stage *stage)
{
  struct cell_question *question;

  if (stage->ask != 0 || core->now_us < stage->ask_after_us)
    {
      if (stage->ask == 0)
        cell_place_again (core, stage->ask_after_us);
      return;
    }
  question = g_new0 (struct cell_question, 1);
  question->ask = core->next_ask++;
  question->stage = stage;
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

static bool
stage_before (const struct cell_core *core, const struct cell_stage *a,
              const struct cell_stage *b)
{
  bool late_a = a->job->deadline_us < core->now_us;
  bool late_b = b->job->deadline_us < core->now_us;

  if (a->job->cfg.priority != b->job->cfg.priority)
    return a->job->cfg.priority < b->job->cfg.priority;
  if (late_a != late_b)
    return late_b;
  return a->job->deadline_us < b->job->deadline_us;
}

bool
cell_ask_next (struct cell_core *core, uint64_t most_us, struct cell_ask *out)
{
  guint best = G_MAXUINT;

  for (guint i = 0; i < core->questions->len;)
    {
      struct cell_question *question = g_ptr_array_index (core->questions, i);
      struct cell_stage *stage = question->stage;

      if (!question->handed_out
          && (!cell_job_open (stage->job) || stage->waiting == 0))
        {
          drop_question (core, i);
          continue;
        }
      if (!question->handed_out && question->cost_us <= most_us
          && (best == G_MAXUINT
              || stage_before (core, stage,
                               ((struct cell_question *)g_ptr_array_index (
                                    core->questions, best))
                                   ->stage)))
        best = i;
      i++;
    }
  while (best != G_MAXUINT)
    {
      struct cell_question *question
          = g_ptr_array_index (core->questions, best);
      struct cell_stage *stage = question->stage;
      char job[17];

      out->worker_count = choose_workers (core, stage, out->workers);
      if (out->worker_count == 0)
        {
          stage->ask_after_us = core->now_us + ASK_RETRY_US;
          cell_place_again (core, stage->ask_after_us);
          drop_question (core, best);
          return cell_ask_next (core, most_us, out);
        }
      question->handed_out = true;
      out->ask = question->ask;
      out->priority = stage->job->cfg.priority;
      out->cost_us
          = stage->job->cfg.advice.decision_us
            + out->worker_count * stage->job->cfg.advice.per_worker_us;
      snprintf (job, sizeof job, "%016llx",
                (unsigned long long)stage->job->id);
      snprintf (out->step, sizeof out->step, "%s.%u.%u", job, stage->round,
                stage->step);
      question->cost_us = out->cost_us;
      /* Named workers that the answer leaves out are denied. */
      if (stage->verdict_count < core->workers->len)
        {
          stage->verdicts = g_realloc (stage->verdicts, core->workers->len);
          memset (stage->verdicts + stage->verdict_count, 0,
                  core->workers->len - stage->verdict_count);
          stage->verdict_count = core->workers->len;
        }
      for (uint32_t w = 0; w < out->worker_count; w++)
        if (stage->verdicts[out->workers[w]] == CELL_VERDICT_UNKNOWN)
          stage->verdicts[out->workers[w]] |= VERDICT_ASKED;
      return true;
    }
  return false;
}

/* Verdicts of workers that were named get their final value. */
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

void
cell_advice (struct cell_core *core, uint64_t ask, bool answered,
             uint64_t valid_us, const struct cell_ticket *tickets,
             uint32_t count, uint64_t now_us)
{
  struct cell_stage *stage = NULL;
  uint64_t slack_us = (uint64_t)core->desc.ticket_slack_ms * US_PER_MS;
  uint32_t named = 0;

  core->now_us = now_us;
  for (guint i = 0; i < core->questions->len; i++)
    {
      struct cell_question *question = g_ptr_array_index (core->questions, i);

      if (question->ask != ask)
        continue;
      stage = question->stage;
      drop_question (core, i);
      break;
    }
  if (stage == NULL)
    return;
  if (!answered)
    {
      settle_verdicts (stage, CELL_VERDICT_UNKNOWN, &named);
      stage->ask_after_us = now_us + ASK_RETRY_US;
      core->place_wanted = true;
      cell_place_again (core, stage->ask_after_us);
      return;
    }
  settle_verdicts (stage, CELL_VERDICT_DENIED, &named);
  if (stage->done == stage->count)
    return;
  if (stage->tickets == NULL)
    stage->tickets
        = g_array_new (FALSE, FALSE, sizeof (struct cell_held_ticket));
  for (uint32_t i = 0; i < count; i++)
    {
      struct cell_held_ticket held = { 0 };
      uint32_t row = cell_worker_row (core, tickets[i].worker);

      if (tickets[i].text.len >= sizeof held.text
          || row >= stage->verdict_count)
        continue;
      stage->verdicts[row] = CELL_VERDICT_ALLOWED;
      held.worker = row;
      held.born_ms = cell_worker_at (core, row)->born_ms;
      held.until_us = now_us + (valid_us > slack_us ? valid_us - slack_us : 0);
      memcpy (held.text, tickets[i].text.data, tickets[i].text.len);
      for (guint t = 0; t < stage->tickets->len;)
        if (g_array_index (stage->tickets, struct cell_held_ticket, t).worker
            == row)
          g_array_remove_index_fast (stage->tickets, t);
        else
          t++;
      g_array_append_val (stage->tickets, held);
    }
  if (named > 0)
    learn_good (core, stage->job, named, MIN (count, named));
  core->place_wanted = true;
  cell_wake (core, now_us);
}

/* Placement. */

/* Tasks of the step that occupy the worker. */
static uint32_t
step_tasks_on (const struct cell_stage *stage,
               const struct cell_worker *worker)
{
  uint32_t count = 0;

  for (const struct cell_run *run = worker->runs; run != NULL; run = run->next)
    count += run->job == stage->job && run->round == stage->round
             && run->task >= stage->first_task
             && run->task < stage->first_task + stage->count;
  return count;
}

static bool
stage_failed_on (const struct cell_stage *stage, uint32_t row)
{
  for (uint32_t i = 0; i < CELL_AVOID; i++)
    if (stage->failed_on[i] == row + 1)
      return true;
  return false;
}

/* Smaller is better; UINT64_MAX: not possible. Best fit, near the data. */
static uint64_t
placement_cost (const struct cell_core *core, const struct cell_stage *stage,
                uint32_t row, const struct cyc_res *size, struct cyc_str rack)
{
  const struct cell_worker *worker = cell_worker_at (core, row);
  const Cyc__CellStep *step = cell_stage_step (stage);
  uint64_t cost;

  if (!worker_suits (core, stage, worker) || !cell_res_fits (worker, size))
    return UINT64_MAX;
  if (worker->held_millicores > 0
      && worker->used_millicores + worker->held_millicores + size->millicores
             > worker->capacity.millicores)
    return UINT64_MAX;
  if (rack.len > 0 && !has_label (worker, rack))
    return UINT64_MAX;
  if (step->max_per_worker > 0
      && step_tasks_on (stage, worker) >= step->max_per_worker)
    return UINT64_MAX;
  if (stage->job->cfg.advice.wanted && ticket_for (core, stage, row) == NULL)
    return UINT64_MAX;
  cost = worker->capacity.millicores - worker->used_millicores
         - size->millicores;
  if (step->data_rack[0] != 0
      && !has_label (worker, cyc_str_of (step->data_rack)))
    cost += UINT32_MAX;
  if (stage_failed_on (stage, row))
    cost += 2 * (uint64_t)UINT32_MAX;
  return cost;
}

static uint32_t
best_worker (const struct cell_core *core, const struct cell_stage *stage,
             const struct cyc_res *size, struct cyc_str rack)
{
  uint64_t best_cost = UINT64_MAX;
  uint32_t best = CELL_NO_ROW;

  for (guint i = 0; i < core->workers->len; i++)
    {
      uint64_t cost = placement_cost (core, stage, i, size, rack);

      if (cost < best_cost)
        {
          best_cost = cost;
          best = i;
        }
    }
  return best;
}

static struct cell_run *
place (struct cell_core *core, struct cell_stage *stage, uint32_t task,
       uint32_t row, uint32_t number)
{
  struct cell_run *run
      = cell_run_new (core, stage->job, stage->round, task, row, number);
  const struct cell_held_ticket *ticket = ticket_for (core, stage, row);

  run->state = CELL_RUN_RECORDING;
  run->batch = core->batch;
  if (ticket != NULL)
    memcpy (run->ticket, ticket->text, sizeof run->ticket);
  g_queue_push_tail (&core->recording, run);
  cell_job_advance (core, stage->job);
  cell_touch (core, stage->job);
  return run;
}

/* Takes back runs that were decided in this tick and never ordered. */
static void
unplace (struct cell_core *core, GPtrArray *runs)
{
  for (guint i = 0; i < runs->len; i++)
    {
      struct cell_run *run = g_ptr_array_index (runs, i);
      struct cell_task *task = &run->job->rounds[run->round].tasks[run->task];
      struct cell_stage *stage
          = cell_stage_of_task (run->job, run->round, run->task);

      task->next_run = run->number;
      task->state = CELL_TASK_WAITING;
      stage->waiting++;
      cell_run_free (core, run);
    }
  g_ptr_array_set_size (runs, 0);
}

/* All members of a gang at once, in one rack if they must. */
static bool
place_gang_in (struct cell_core *core, struct cell_stage *stage,
               const struct cyc_res *size, struct cyc_str rack)
{
  struct cell_round *round = &stage->job->rounds[stage->round];
  GPtrArray *placed = g_ptr_array_new ();
  uint32_t number = 1;
  bool whole = true;

  for (uint32_t t = 0; t < stage->count; t++)
    number = MAX (number, round->tasks[stage->first_task + t].next_run);
  for (uint32_t t = 0; t < stage->count && whole; t++)
    {
      uint32_t row = best_worker (core, stage, size, rack);

      whole = row != CELL_NO_ROW;
      if (whole)
        g_ptr_array_add (
            placed, place (core, stage, stage->first_task + t, row, number));
    }
  if (!whole)
    unplace (core, placed);
  g_ptr_array_free (placed, TRUE);
  return whole;
}

static bool
place_gang (struct cell_core *core, struct cell_stage *stage,
            const struct cyc_res *size)
{
  GPtrArray *racks;
  bool done = false;

  if (stage->waiting < stage->count
      || !team_has_room (stage->job->team, size, stage->count))
    return false;
  for (uint32_t t = 0; t < stage->count; t++)
    {
      uint64_t at_us = stage->job->rounds[stage->round]
                           .tasks[stage->first_task + t]
                           .not_before_us;

      if (at_us <= core->now_us)
        continue;
      cell_place_again (core, at_us);
      return false;
    }
  if (!cell_stage_step (stage)->same_rack)
    return place_gang_in (core, stage, size, CYC_STR (""));
  racks = g_ptr_array_new ();
  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);

      /* Of a worker's labels, the last one names its rack. */
      if (worker->label_count > 1 && worker_suits (core, stage, worker))
        {
          const char *label = worker->labels[worker->label_count - 1].data;

          if (!g_ptr_array_find_with_equal_func (racks, label, g_str_equal,
                                                 NULL))
            g_ptr_array_add (racks, (gpointer)label);
        }
    }
  for (guint i = 0; i < racks->len && !done; i++)
    done = place_gang_in (core, stage, size,
                          cyc_str_of (g_ptr_array_index (racks, i)));
  g_ptr_array_free (racks, TRUE);
  return done || place_gang_in (core, stage, size, CYC_STR (""));
}

static bool
place_tasks (struct cell_core *core, struct cell_stage *stage,
             const struct cyc_res *size)
{
  struct cell_round *round = &stage->job->rounds[stage->round];

  for (uint32_t t = 0; t < stage->count && stage->waiting > 0; t++)
    {
      struct cell_task *task = &round->tasks[stage->first_task + t];
      uint32_t row;

      if (task->state != CELL_TASK_WAITING)
        continue;
      if (task->not_before_us > core->now_us)
        {
          cell_place_again (core, task->not_before_us);
          continue;
        }
      if (!team_has_room (stage->job->team, size, 1))
        return false;
      row = best_worker (core, stage, size, CYC_STR (""));
      if (row == CELL_NO_ROW)
        return false;
      place (core, stage, stage->first_task + t, row, task->next_run);
    }
  return stage->waiting == 0;
}

/* Keeps room free for a gang that does not fit yet, on the allowed workers
   with most free capacity; stages after it pass over that room. */
static void
hold_room (struct cell_core *core, struct cell_stage *stage,
           const struct cyc_res *size)
{
  uint32_t left = stage->count;
  GArray *found;

  if (size->millicores == 0
      || !team_has_room (stage->job->team, size, stage->count))
    return;
  found = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  for (guint i = 0; i < core->workers->len; i++)
    {
      const struct cell_worker *worker = cell_worker_at (core, i);
      struct candidate candidate = { i, 0 };

      if (!worker_suits (core, stage, worker)
          || (stage->job->cfg.advice.wanted
              && verdict_of (stage, i) != CELL_VERDICT_ALLOWED)
          || worker->held_millicores > 0
          || worker->capacity.millicores < size->millicores)
        continue;
      candidate.free_millicores
          = worker->capacity.millicores - worker->used_millicores;
      g_array_append_val (found, candidate);
    }
  if (found->len > 1)
    qsort (found->data, found->len, sizeof (struct candidate), by_free);
  for (guint i = 0; i < found->len && left > 0; i++)
    {
      struct cell_worker *worker = cell_worker_at (
          core, g_array_index (found, struct candidate, i).row);
      uint32_t fits = worker->capacity.millicores / size->millicores;
      uint32_t taken = MIN (left, fits);

      worker->held_millicores = (uint64_t)taken * size->millicores;
      left -= taken;
    }
  g_array_free (found, TRUE);
}

static void
place_stage (struct cell_core *core, struct cell_stage *stage)
{
  const Cyc__CellStep *step = cell_stage_step (stage);
  struct cyc_res size = step_size (step);
  bool done;

  if (!stage->job->cfg_known)
    return;
  done = step->gang ? place_gang (core, stage, &size)
                    : place_tasks (core, stage, &size);
  if (done)
    return;
  if (step->gang)
    hold_room (core, stage, &size);
  if (stage->job->cfg.advice.wanted && stage->ask == 0
      && team_has_room (stage->job->team, &size,
                        step->gang ? stage->count : 1))
    cell_stage_ask (core, stage);
}

static gint
compare_stages (gconstpointer a, gconstpointer b, gpointer core)
{
  const struct cell_stage *left = *(struct cell_stage *const *)a;
  const struct cell_stage *right = *(struct cell_stage *const *)b;

  if (stage_before (core, left, right))
    return -1;
  return stage_before (core, right, left) ? 1 : 0;
}

void
cell_place_tick (struct cell_core *core)
{
  if (core->waiting->len == 0)
    return;
  if (!core->place_wanted && core->now_us < core->place_at_us)
    {
      cell_wake (core, core->place_at_us);
      return;
    }
  core->place_wanted = false;
  core->place_at_us = UINT64_MAX;
  for (guint i = 0; i < core->workers->len; i++)
    cell_worker_at (core, i)->held_millicores = 0;
  for (guint i = 0; i < core->waiting->len;)
    {
      struct cell_stage *stage = g_ptr_array_index (core->waiting, i);

      if (stage->waiting > 0 && cell_job_open (stage->job))
        {
          i++;
          continue;
        }
      stage->listed = false;
      g_ptr_array_remove_index_fast (core->waiting, i);
    }
  g_ptr_array_sort_with_data (core->waiting, compare_stages, core);
  for (guint i = 0; i < core->waiting->len; i++)
    place_stage (core, g_ptr_array_index (core->waiting, i));
}
