#include "tst_fleet.h"

#include "cell.pb-c.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS 5
#define HOLD_GAP_MS 20
#define BATCH_MS 8
#define GANG_MS 3000
#define ADVICE_VALID_US 2000000
#define LIMIT_MILLICORES 6000

struct late_order
{
  struct cell_order order;
  uint64_t at_ms;
  uint64_t epoch;
  uint64_t lease_ms;
  uint64_t born_ms; /* of the life that it was sent to */
};

static void
broken (struct fleet *fleet, const char *what, const char *task)
{
  if (fleet->broken++ == 0)
    snprintf (fleet->first_broken, sizeof fleet->first_broken,
              "%s %s at %" PRIu64 " ms", what, task, fleet->now_ms);
}

static uint64_t
now_us (const struct fleet *fleet)
{
  return fleet->now_ms * 1000;
}

static uint64_t
clock_of (const struct fleet *fleet, const struct fleet_worker *worker)
{
  return fleet->now_ms - worker->born_ms + 1000 + worker->clock_shift_ms;
}

static struct cell_config *
make_config (void)
{
  struct cell_config *config = calloc (1, sizeof *config);

  config->version = 1;
  config->queue_count = 3;
  config->queues = calloc (3, sizeof *config->queues);
  for (uint32_t i = 0; i < 3; i++)
    {
      static const char *const names[] = { "urgent", "batch", "advised" };
      struct cell_queue_cfg *queue = &config->queues[i];

      cyc_name_set (&queue->name, cyc_str_of (names[i]));
      cyc_name_set (&queue->host, CYC_STR ("host"));
      cyc_name_set (&queue->pool, CYC_STR ("pool"));
      snprintf (queue->path_prefix, sizeof queue->path_prefix, "/%s/",
                names[i]);
      queue->priority = i;
      queue->max_attempts = 3;
      queue->slack_permille = 2000;
      queue->objective_ms = 1000;
    }
  config->queues[2].advice = (struct cell_advice_cfg){
    .wanted = true,
    .decision_us = 50000,
    .per_worker_us = 1000,
    .valid_us = ADVICE_VALID_US,
  };
  config->team_count = 3;
  config->teams = calloc (3, sizeof *config->teams);
  cyc_name_set (&config->teams[0].name, CYC_STR ("blue"));
  cyc_name_set (&config->teams[1].name, CYC_STR ("limited"));
  config->teams[1].limit.millicores = LIMIT_MILLICORES;
  cyc_name_set (&config->teams[2].name, CYC_STR ("heavy"));
  config->teams[2].weight = FLEET_HEAVY_WEIGHT;
  config->pool_count = 1;
  config->pools = calloc (1, sizeof *config->pools);
  cyc_name_set (&config->pools[0].name, CYC_STR ("pool"));
  return config;
}

static void
list_worker (struct fleet *fleet, struct fleet_worker *worker)
{
  struct cell_worker_entry entry = { 0 };

  cyc_name_set (&entry.id, cyc_str_of (worker->id));
  cyc_name_set (&entry.pool, CYC_STR ("pool"));
  cyc_name_set (&entry.domain, CYC_STR ("north"));
  cyc_name_set (&entry.address, CYC_STR ("127.0.0.1:1"));
  cyc_name_set (&entry.labels[0],
                worker->id[1] == '0' ? CYC_STR ("odd") : CYC_STR ("even"));
  cyc_name_set (&entry.labels[1],
                worker->id[1] < '4' ? CYC_STR ("rack-a") : CYC_STR ("rack-b"));
  entry.label_count = 2;
  entry.capacity = (struct cyc_res){ worker->millicores, 1000000, 0 };
  entry.born_ms = worker->born_ms;
  entry.draining = worker->draining;
  entry.leaves_in_ms = worker->leaves_in_ms;
  cell_worker_listed (fleet->core, &entry, now_us (fleet), now_us (fleet));
}

static void
make_core (struct fleet *fleet)
{
  fleet->epoch++;
  fleet->core = cell_setup (
      &(struct cell_desc){ .lease_ms = FLEET_LEASE_MS,
                           .heartbeat_ms = FLEET_HEARTBEAT_MS,
                           .ticket_slack_ms = 250,
                           .first_revision = fleet->epoch << 32 });
  cell_config_set (fleet->core, fleet->config);
  for (uint32_t i = 0; i < fleet->worker_count; i++)
    if (fleet->workers[i].listed)
      list_worker (fleet, &fleet->workers[i]);
}

static void
free_record (gpointer data)
{
  struct fleet_record *record = data;

  g_bytes_unref (record->data);
  g_free (record);
}

void
fleet_setup (struct fleet *fleet, uint32_t workers, uint32_t millicores)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->now_ms = 10000;
  fleet->config = make_config ();
  fleet->worker_count = workers;
  for (uint32_t b = 0; b < FLEET_BATCHES; b++)
    fleet->batches[b].records = g_ptr_array_new ();
  fleet->asks = g_array_new (FALSE, FALSE, sizeof (struct fleet_ask));
  fleet->late = g_ptr_array_new_with_free_func (g_free);
  fleet->progress = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                           free_record);
  fleet->offered = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                          (GDestroyNotify)g_bytes_unref);
  fleet->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                       (GDestroyNotify)g_bytes_unref);
  fleet->specs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  fleet->ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->asked
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fleet->failures
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (uint32_t i = 0; i < workers; i++)
    {
      struct fleet_worker *worker = &fleet->workers[i];

      snprintf (worker->id, sizeof worker->id, "w%u", i);
      worker->millicores = millicores;
      worker->up = true;
      worker->listed = true;
      worker->born_ms = 5000 + i;
      worker->next_end = 1;
      worker->closed
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
  make_core (fleet);
}

static void
drop_batch (struct fleet_batch *batch)
{
  for (guint i = 0; i < batch->records->len; i++)
    {
      struct cell_record *record = g_ptr_array_index (batch->records, i);

      free (record->data);
      g_free (record);
    }
  g_ptr_array_set_size (batch->records, 0);
  batch->number = 0;
}

void
fleet_teardown (struct fleet *fleet)
{
  for (uint32_t b = 0; b < FLEET_BATCHES; b++)
    {
      drop_batch (&fleet->batches[b]);
      g_ptr_array_free (fleet->batches[b].records, TRUE);
    }
  cell_shutdown (fleet->core);
  cell_config_free (fleet->config);
  for (uint32_t i = 0; i < fleet->worker_count; i++)
    g_hash_table_destroy (fleet->workers[i].closed);
  g_array_free (fleet->asks, TRUE);
  g_ptr_array_free (fleet->late, TRUE);
  g_hash_table_destroy (fleet->progress);
  g_hash_table_destroy (fleet->jobs);
  g_hash_table_destroy (fleet->offered);
  g_hash_table_destroy (fleet->specs);
  g_hash_table_destroy (fleet->ended);
  g_hash_table_destroy (fleet->done);
  g_hash_table_destroy (fleet->failures);
  g_hash_table_destroy (fleet->asked);
}

static Cyc__CellJob *
make_job (const struct fleet *fleet, const struct fleet_job *job)
{
  Cyc__CellJob *out = malloc (sizeof *out);

  cyc__cell_job__init (out);
  out->queue = strdup (job->queue != NULL ? job->queue : "batch");
  out->team = strdup (job->team != NULL ? job->team : "blue");
  out->accepted_ms = fleet->now_ms;
  out->steps = calloc (4, sizeof (Cyc__CellStep *));
  for (uint32_t s = 0; s < 4 && job->tasks[s] > 0; s++)
    {
      Cyc__CellStep *step = malloc (sizeof *step);

      cyc__cell_step__init (step);
      step->count = job->tasks[s];
      step->millicores = job->millicores ? job->millicores : 1000;
      step->memory_mib = 10;
      step->estimate_ms = job->work_ms ? job->work_ms : 500;
      step->gang = job->gang;
      step->checkpointing = job->checkpointing;
      step->max_per_worker = job->max_per_worker;
      if (job->label != NULL)
        step->required_label = strdup (job->label);
      if (job->chain && s > 0)
        {
          step->depends_on = calloc (1, sizeof (uint32_t));
          step->depends_on[0] = s - 1;
          step->n_depends_on = 1;
        }
      out->steps[out->n_steps++] = step;
    }
  return out;
}

/* Adds the job to the core and to one table of the log. */
static void
add_job (struct fleet *fleet, uint64_t id, const struct fleet_job *job,
         GHashTable *table)
{
  Cyc__CellJob *spec = make_job (fleet, job);
  gint64 key = (gint64)id;
  size_t len = cyc__cell_job__get_packed_size (spec);
  uint8_t *data = g_malloc (len);

  cyc__cell_job__pack (spec, data);
  g_hash_table_insert (table, g_memdup2 (&key, sizeof key),
                       g_bytes_new_take (data, len));
  g_hash_table_insert (fleet->specs, g_memdup2 (&key, sizeof key),
                       g_memdup2 (job, sizeof *job));
  cell_job_add (fleet->core, id, spec, table == fleet->jobs, now_us (fleet),
                fleet->now_ms);
}

void
fleet_submit (struct fleet *fleet, uint64_t id, const struct fleet_job *job)
{
  add_job (fleet, id, job, fleet->jobs);
}

void
fleet_offer (struct fleet *fleet, uint64_t id, const struct fleet_job *job)
{
  add_job (fleet, id, job, fleet->offered);
}

void
fleet_settle (struct fleet *fleet, uint64_t id, bool stored)
{
  gint64 key = (gint64)id;
  GBytes *spec = g_hash_table_lookup (fleet->offered, &key);
  gsize len;
  const uint8_t *data;

  if (spec == NULL)
    return;
  if (stored)
    {
      data = g_bytes_get_data (spec, &len);
      g_hash_table_insert (fleet->jobs, g_memdup2 (&key, sizeof key),
                           g_bytes_ref (spec));
      /* A leader that came meanwhile hears of the job only now. */
      cell_job_add (fleet->core, id, cyc__cell_job__unpack (NULL, len, data),
                    true, now_us (fleet), fleet->now_ms);
      cell_job_stored (fleet->core, id, now_us (fleet));
    }
  else
    cell_job_withdraw (fleet->core, id);
  g_hash_table_remove (fleet->offered, &key);
}

bool
fleet_stored (const struct fleet *fleet, uint64_t id)
{
  gint64 key = (gint64)id;

  return g_hash_table_contains (fleet->jobs, &key);
}

void
fleet_cancel (struct fleet *fleet, uint64_t id)
{
  cell_job_cancel (fleet->core, id, now_us (fleet));
}

enum cell_job_state
fleet_state (const struct fleet *fleet, uint64_t id)
{
  return cell_job_state (fleet->core, id);
}

uint32_t
fleet_running (const struct fleet *fleet)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < fleet->worker_count; i++)
    count += fleet->workers[i].run_count;
  return count;
}

static const struct fleet_job *
spec_of (const struct fleet *fleet, const char *task)
{
  gint64 key = (gint64)g_ascii_strtoull (task, NULL, 16);

  return g_hash_table_lookup (fleet->specs, &key);
}

/* Numbers by name; 0: none. */
static uint32_t
number_of (GHashTable *table, const char *name)
{
  const uint32_t *found = g_hash_table_lookup (table, name);

  return found != NULL ? *found : 0;
}

static void
set_number (GHashTable *table, const char *name, uint32_t number)
{
  g_hash_table_replace (table, g_strdup (name),
                        g_memdup2 (&number, sizeof number));
}

/* Promises that a start can break. */

static void
check_start (struct fleet *fleet, const struct fleet_worker *worker,
             const char *task)
{
  const struct fleet_job *job = spec_of (fleet, task);
  uint32_t millicores = job->millicores ? job->millicores : 1000;
  uint64_t used = 0;
  uint64_t team = 0;
  unsigned int step = 0;

  if (!fleet_stored (fleet, g_ascii_strtoull (task, NULL, 16)))
    broken (fleet, "started before its job was stored:", task);
  sscanf (task + 16, ".%*u.%u", &step);
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
      {
        const struct fleet_run *run = &fleet->workers[w].runs[r];
        const struct fleet_job *of = spec_of (fleet, run->task);
        uint32_t size = of->millicores ? of->millicores : 1000;

        if (strcmp (run->task, task) == 0)
          broken (fleet, "two runs of", task);
        if (&fleet->workers[w] == worker)
          used += size;
        if (of->team != NULL && job->team != NULL
            && strcmp (of->team, job->team) == 0)
          team += size;
      }
  if (used + millicores > worker->millicores)
    broken (fleet, "no room for", task);
  if (job->team != NULL && strcmp (job->team, "limited") == 0
      && team + millicores > LIMIT_MILLICORES)
    broken (fleet, "team over its limit by", task);
  if (g_hash_table_contains (fleet->ended, task))
    broken (fleet, "started after its end:", task);
  if (number_of (fleet->failures, task) >= 3)
    broken (fleet, "too many attempts of", task);
  if (job->chain && step > 0)
    for (uint32_t t = 0; t < job->tasks[step - 1]; t++)
      {
        char before[64];

        snprintf (before, sizeof before, "%.16s.0.%u.%u", task, step - 1, t);
        if (!g_hash_table_contains (fleet->done, before))
          broken (fleet, "started before its step:", task);
      }
}

static void
close_run (struct fleet_worker *worker, const char *task, uint32_t number)
{
  set_number (worker->closed, task, number);
}

static void
add_end (struct fleet *fleet, struct fleet_worker *worker,
         const struct fleet_run *run, enum cell_end_kind kind)
{
  struct fleet_end *end = &worker->ends[worker->end_count++];

  end->number = worker->next_end++;
  end->run = run->number;
  end->kind = kind;
  end->lapsed = false;
  close_run (worker, run->task, run->number);
  snprintf (end->task, sizeof end->task, "%s", run->task);
  snprintf (end->checkpoint, sizeof end->checkpoint, "%s",
            kind == CELL_END_STOPPED ? "saved" : run->checkpoint);
  if (kind == CELL_END_DONE)
    g_hash_table_add (fleet->done, g_strdup (run->task));
}

static void
remove_run (struct fleet_worker *worker, uint32_t index)
{
  worker->runs[index] = worker->runs[--worker->run_count];
}

/* The worker takes an order. */
static enum cell_start_result
take_start (struct fleet *fleet, const struct late_order *late)
{
  struct fleet_worker *worker = &fleet->workers[late->order.worker];
  const struct fleet_job *job = spec_of (fleet, late->order.task);
  struct fleet_run *run;

  if (!worker->up)
    return CELL_START_UNKNOWN;
  if (late->epoch < worker->fence)
    return CELL_START_FENCED;
  worker->fence = late->epoch;
  if (late->lease_ms < clock_of (fleet, worker))
    return CELL_START_REFUSED_OTHER;
  for (uint32_t i = 0; i < worker->run_count; i++)
    if (strcmp (worker->runs[i].task, late->order.task) == 0
        && worker->runs[i].number >= late->order.number)
      return worker->runs[i].number == late->order.number
                 ? CELL_START_OK
                 : CELL_START_REFUSED_OTHER;
  if (number_of (worker->closed, late->order.task) >= late->order.number)
    return CELL_START_REFUSED_OTHER;
  check_start (fleet, worker, late->order.task);
  fleet->starts++;
  fleet->resumed += late->order.checkpoint[0] != 0;
  run = &worker->runs[worker->run_count++];
  memset (run, 0, sizeof *run);
  snprintf (run->task, sizeof run->task, "%s", late->order.task);
  snprintf (run->checkpoint, sizeof run->checkpoint, "%.30s",
            late->order.checkpoint);
  run->number = late->order.number;
  run->begun_ms = fleet->now_ms;
  run->work_ms
      = (uint64_t)(job->work_ms ? job->work_ms : 500) * MAX (1, worker->slow);
  run->end_ms = fleet->now_ms + run->work_ms;
  run->fails = job->hopeless || worker->failing;
  run->gang = job->gang;
  run->together = !job->gang;
  if (late->lease_ms > worker->lease_ms)
    worker->lease_ms = late->lease_ms;
  return CELL_START_OK;
}

/* A run that is stopped before it came is rejected later. */
static bool
take_stop (struct fleet *fleet, const struct late_order *late)
{
  struct fleet_worker *worker = &fleet->workers[late->order.worker];

  if (!worker->up || late->epoch < worker->fence)
    return false;
  fleet->stops++;
  if (number_of (worker->closed, late->order.task) < late->order.number)
    close_run (worker, late->order.task, late->order.number);
  for (uint32_t i = 0; i < worker->run_count; i++)
    if (strcmp (worker->runs[i].task, late->order.task) == 0
        && worker->runs[i].number <= late->order.number)
      {
        add_end (fleet, worker, &worker->runs[i], CELL_END_STOPPED);
        remove_run (worker, i);
        return true;
      }
  return true;
}

static void
deliver (struct fleet *fleet, const struct late_order *late)
{
  struct fleet_worker *worker = &fleet->workers[late->order.worker];
  bool heard = late->epoch == fleet->epoch && !worker->cut && !worker->mute;

  /* A connection to a life that has ended carries nothing to the next. */
  if (worker->cut || late->born_ms != worker->born_ms)
    {
      if (late->epoch == fleet->epoch && late->order.kind == CELL_ORDER_START)
        cell_start_result (fleet->core, late->order.run, CELL_START_UNKNOWN,
                           now_us (fleet));
      return;
    }
  if (late->order.kind == CELL_ORDER_START)
    {
      enum cell_start_result result = take_start (fleet, late);

      if (late->epoch != fleet->epoch)
        return;
      if (fleet->lose_start_answers > 0)
        {
          fleet->lose_start_answers--;
          heard = false;
        }
      cell_start_result (fleet->core, late->order.run,
                         heard ? result : CELL_START_UNKNOWN, now_us (fleet));
      return;
    }
  if (take_stop (fleet, late) && heard)
    cell_stop_result (fleet->core, late->order.run, now_us (fleet),
                      now_us (fleet));
}

static void
deliver_late (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->late->len;)
    {
      struct late_order *late = g_ptr_array_index (fleet->late, i);

      if (late->at_ms > fleet->now_ms)
        {
          i++;
          continue;
        }
      deliver (fleet, late);
      g_ptr_array_remove_index (fleet->late, i);
    }
}

static void
take_orders (struct fleet *fleet)
{
  struct cell_order order;

  while (cell_order_next (fleet->core, &order))
    {
      struct late_order *late = g_new0 (struct late_order, 1);
      struct cell_worker_view view;

      cell_worker_view (fleet->core, order.worker, &view);
      late->order = order;
      late->epoch = fleet->epoch;
      late->born_ms = fleet->workers[order.worker].born_ms;
      late->lease_ms = view.clock_ms
                       + (now_us (fleet) - view.clock_at_us) / 1000
                       + FLEET_LEASE_MS;
      if (order.kind == CELL_ORDER_START)
        cell_worker_leased (fleet->core, order.worker, late->lease_ms);
      late->at_ms
          = fleet->now_ms
            + (order.kind == CELL_ORDER_START ? fleet->delay_starts_ms : 0);
      g_ptr_array_add (fleet->late, late);
    }
}

static void
end_gang (struct fleet *fleet, const struct fleet_run *ended,
          enum cell_end_kind kind)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count;)
      {
        struct fleet_run *run = &fleet->workers[w].runs[r];

        if (strncmp (run->task, ended->task,
                     (size_t)(strrchr (ended->task, '.') - ended->task + 1))
                != 0
            || run->number != ended->number)
          {
            r++;
            continue;
          }
        add_end (fleet, &fleet->workers[w], run, kind);
        remove_run (&fleet->workers[w], r);
      }
}

/* The end of one member stands for all. */
static void
gang_done (struct fleet *fleet, const struct fleet_run *run)
{
  const struct fleet_job *job = spec_of (fleet, run->task);
  unsigned int step = 0;

  sscanf (run->task + 16, ".%*u.%u", &step);
  for (uint32_t t = 0; t < job->tasks[step]; t++)
    g_hash_table_add (fleet->done,
                      g_strdup_printf ("%.16s.0.%u.%u", run->task, step, t));
}

/* The members of a gang work from the moment when all are present. */
static void
join_gang (struct fleet *fleet, struct fleet_worker *worker, uint32_t index)
{
  struct fleet_run *run = &worker->runs[index];
  const struct fleet_job *job = spec_of (fleet, run->task);
  unsigned int step = 0;
  uint32_t present = 0;

  sscanf (run->task + 16, ".%*u.%u", &step);
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    for (uint32_t r = 0; r < fleet->workers[w].run_count; r++)
      {
        const struct fleet_run *other = &fleet->workers[w].runs[r];
        unsigned int other_step = 0;

        sscanf (other->task + 16, ".%*u.%u", &other_step);
        present += strncmp (other->task, run->task, 16) == 0
                   && other_step == step && other->number == run->number;
      }
  if (present == job->tasks[step])
    {
      run->together = true;
      run->end_ms = fleet->now_ms + run->work_ms;
    }
  else if (fleet->now_ms >= run->begun_ms + GANG_MS)
    {
      add_end (fleet, worker, run, CELL_END_ALONE);
      remove_run (worker, index);
    }
}

/* Tasks end, leases lapse. */
static void
work (struct fleet *fleet)
{
  for (uint32_t w = 0; w < fleet->worker_count; w++)
    {
      struct fleet_worker *worker = &fleet->workers[w];

      if (!worker->up)
        continue;
      if (clock_of (fleet, worker) > worker->lease_ms)
        for (uint32_t i = 0; i < worker->end_count; i++)
          worker->ends[i].lapsed = true;
      while (worker->run_count > 0
             && clock_of (fleet, worker) > worker->lease_ms)
        {
          add_end (fleet, worker, &worker->runs[0], CELL_END_LAPSED);
          remove_run (worker, 0);
        }
      for (uint32_t r = 0; r < worker->run_count;)
        {
          struct fleet_run run = worker->runs[r];

          if (!run.together)
            {
              uint32_t before = worker->run_count;

              join_gang (fleet, worker, r);
              r += worker->run_count == before;
              continue;
            }
          if (run.end_ms > fleet->now_ms)
            {
              r++;
              continue;
            }
          add_end (fleet, worker, &run,
                   run.fails ? CELL_END_FAILED : CELL_END_DONE);
          remove_run (worker, r);
          if (run.gang)
            {
              end_gang (fleet, &run,
                        run.fails ? CELL_END_BROKEN : CELL_END_DONE);
              if (!run.fails)
                gang_done (fleet, &run);
            }
        }
    }
}

uint32_t
fleet_asked (const struct fleet *fleet, const char *step)
{
  return number_of (fleet->asked, step);
}

static void
count_failure (struct fleet *fleet, const char *task)
{
  set_number (fleet->failures, task, number_of (fleet->failures, task) + 1);
}

static void
forget_ends (struct fleet *fleet, struct fleet_worker *worker, uint64_t ack)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < worker->end_count; i++)
    if (worker->ends[i].number > ack)
      worker->ends[kept++] = worker->ends[i];
    else if (worker->ends[i].lapsed)
      continue;
    else if (worker->ends[i].kind == CELL_END_DONE)
      g_hash_table_add (fleet->ended, g_strdup (worker->ends[i].task));
    else if (worker->ends[i].kind == CELL_END_FAILED)
      count_failure (fleet, worker->ends[i].task);
  worker->end_count = kept;
}

static uint32_t
percent_of (const struct fleet *fleet, const struct fleet_run *run)
{
  uint64_t left_ms
      = run->end_ms > fleet->now_ms ? run->end_ms - fleet->now_ms : 0;

  if (!run->together)
    return 0;
  return (uint32_t)(100 - MIN (left_ms, run->work_ms) * 100 / run->work_ms);
}

static void
hold (struct fleet *fleet, uint32_t row)
{
  struct fleet_worker *worker = &fleet->workers[row];
  struct cell_worker_view view;
  struct cell_report report = { .sent_us = now_us (fleet) };
  struct cell_running_row running[FLEET_RUNS];
  struct cell_end_row ends[FLEET_RUNS * 4];

  if (fleet->now_ms < worker->hold_at_ms)
    return;
  worker->hold_at_ms = fleet->now_ms + HOLD_GAP_MS;
  cell_worker_view (fleet->core, row, &view);
  if (!worker->up || worker->cut || worker->mute)
    {
      cell_worker_silent (fleet->core, row, now_us (fleet));
      return;
    }
  if (fleet->epoch < worker->fence)
    return;
  worker->fence = fleet->epoch;
  forget_ends (fleet, worker, view.ack);
  if (view.clock_ms != 0)
    {
      worker->lease_ms
          = MAX (worker->lease_ms, clock_of (fleet, worker) + FLEET_LEASE_MS);
      cell_worker_leased (fleet->core, row, worker->lease_ms);
    }
  report.born_ms = worker->born_ms;
  report.clock_ms = clock_of (fleet, worker);
  for (uint32_t i = 0; i < worker->run_count; i++)
    running[i] = (struct cell_running_row){
      .task = cyc_str_of (worker->runs[i].task),
      .run = worker->runs[i].number,
      .checkpoint = CYC_STR (""),
      .percent = percent_of (fleet, &worker->runs[i]),
    };
  for (uint32_t i = 0; i < worker->end_count; i++)
    ends[i] = (struct cell_end_row){
      .number = worker->ends[i].number,
      .task = cyc_str_of (worker->ends[i].task),
      .run = worker->ends[i].run,
      .kind = worker->ends[i].kind,
      .checkpoint = cyc_str_of (worker->ends[i].checkpoint),
    };
  report.running = running;
  report.running_count = worker->run_count;
  report.ends = ends;
  report.end_count = worker->end_count;
  cell_worker_report (fleet->core, row, &report, now_us (fleet));
}

static void
answer_ask (struct fleet *fleet, const struct cell_ask *ask)
{
  struct cell_ticket tickets[100];
  uint32_t count = 0;

  for (uint32_t i = 0; i < ask->worker_count; i++)
    {
      struct cell_worker_view view;

      if (fleet->advice_deny != 0 && ask->workers[i] % fleet->advice_deny == 0)
        continue;
      cell_worker_view (fleet->core, ask->workers[i], &view);
      tickets[count++] = (struct cell_ticket){ view.id, CYC_STR ("t") };
    }
  cell_advice (fleet->core, ask->ask, !fleet->advice_down, ADVICE_VALID_US,
               tickets, fleet->advice_down ? 0 : count, now_us (fleet));
}

static void
advise (struct fleet *fleet)
{
  struct fleet_ask row = { .at_ms = fleet->now_ms + fleet->advice_ms };

  while (cell_ask_next (fleet->core, UINT64_MAX, &row.ask))
    {
      g_array_append_val (fleet->asks, row);
      set_number (fleet->asked, row.ask.step,
                  number_of (fleet->asked, row.ask.step) + 1);
    }
  for (guint i = 0; i < fleet->asks->len;)
    {
      row = g_array_index (fleet->asks, struct fleet_ask, i);
      if (row.at_ms > fleet->now_ms)
        {
          i++;
          continue;
        }
      g_array_remove_index (fleet->asks, i);
      answer_ask (fleet, &row.ask);
    }
}

static void
store_record (struct fleet *fleet, const struct cell_record *record)
{
  gint64 key = (gint64)record->job;
  const struct fleet_record *old = g_hash_table_lookup (fleet->progress, &key);
  struct fleet_record *kept;

  if (old != NULL && old->revision > record->revision)
    return;
  kept = g_new0 (struct fleet_record, 1);
  kept->revision = record->revision;
  kept->data = g_bytes_new (record->data, record->len);
  g_hash_table_insert (fleet->progress, g_memdup2 (&key, sizeof key), kept);
}

static void
store_batch (struct fleet *fleet, const struct fleet_batch *batch)
{
  for (guint i = 0; i < batch->records->len; i++)
    store_record (fleet, g_ptr_array_index (batch->records, i));
}

static void
write_batches (struct fleet *fleet)
{
  for (uint32_t b = 0; b < FLEET_BATCHES; b++)
    {
      struct fleet_batch *batch = &fleet->batches[b];
      uint64_t number = batch->number;
      struct cell_record record;

      if (number != 0)
        {
          if (fleet->log_down || fleet->now_ms < batch->at_ms)
            continue;
          store_batch (fleet, batch);
          drop_batch (batch);
          cell_batch_durable (fleet->core, number, now_us (fleet));
        }
      batch->number = cell_batch_close (fleet->core);
      /* A later batch may be stored first. */
      batch->at_ms = fleet->now_ms + BATCH_MS
                     + (uint64_t)fleet->uneven_ms * (FLEET_BATCHES - 1 - b);
      while (cell_batch_next (fleet->core, &record))
        g_ptr_array_add (batch->records, g_memdup2 (&record, sizeof record));
    }
}

void
fleet_run (struct fleet *fleet, uint64_t ms)
{
  uint64_t end_ms = fleet->now_ms + ms;

  while (fleet->now_ms < end_ms)
    {
      fleet->now_ms += STEP_MS;
      work (fleet);
      deliver_late (fleet);
      for (uint32_t i = 0; i < fleet->worker_count; i++)
        hold (fleet, i);
      cell_tick (fleet->core, now_us (fleet), fleet->now_ms);
      advise (fleet);
      write_batches (fleet);
      take_orders (fleet);
    }
}

static void
reload (struct fleet *fleet)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->jobs);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      gsize len;
      const uint8_t *data = g_bytes_get_data (value, &len);

      cell_job_add (fleet->core, (uint64_t) * (gint64 *)key,
                    cyc__cell_job__unpack (NULL, len, data), true,
                    now_us (fleet), fleet->now_ms);
    }
  g_hash_table_iter_init (&iter, fleet->progress);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const struct fleet_record *record = value;
      gsize len;
      const char *data = g_bytes_get_data (record->data, &len);

      cell_job_restore (fleet->core, (uint64_t) * (gint64 *)key,
                        (struct cyc_str){ data, len },
                        now_us (fleet) + FLEET_LEASE_MS * 1100ULL);
    }
}

void
fleet_takeover (struct fleet *fleet)
{
  /* Of the batches under way the log has taken every second one. */
  for (uint32_t b = 0; b < FLEET_BATCHES; b++)
    {
      if (b % 2 == fleet->epoch % 2 && fleet->batches[b].number != 0)
        store_batch (fleet, &fleet->batches[b]);
      drop_batch (&fleet->batches[b]);
    }
  g_array_set_size (fleet->asks, 0);
  cell_shutdown (fleet->core);
  make_core (fleet);
  reload (fleet);
}

void
fleet_crash (struct fleet *fleet, uint32_t worker)
{
  fleet->workers[worker].up = false;
  fleet->workers[worker].run_count = 0;
  fleet->workers[worker].end_count = 0;
  g_hash_table_remove_all (fleet->workers[worker].closed);
}

void
fleet_restart (struct fleet *fleet, uint32_t row)
{
  struct fleet_worker *worker = &fleet->workers[row];

  worker->up = true;
  worker->fence = 0;
  worker->lease_ms = 0;
  worker->next_end = 1;
  worker->born_ms = fleet->now_ms;
  list_worker (fleet, worker);
}

void
fleet_drain (struct fleet *fleet, uint32_t row, uint32_t leaves_in_ms)
{
  fleet->workers[row].draining = leaves_in_ms > 0;
  fleet->workers[row].leaves_in_ms = leaves_in_ms;
  list_worker (fleet, &fleet->workers[row]);
}

void
fleet_leave (struct fleet *fleet, uint32_t row)
{
  fleet->workers[row].listed = false;
  fleet_crash (fleet, row);
  cell_worker_unlisted (fleet->core, cyc_str_of (fleet->workers[row].id),
                        now_us (fleet));
}
