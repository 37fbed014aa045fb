#include "burn_report.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_MAX_ROWS 16384
#define DEFAULT_MAX_PROCESSES 512
#define PERMILLE_TOTAL 1000
#define LONG_WINDOW_MS ((uint64_t)BW_LONG_MINUTES * 60 * 1000)

static const char *const objective_names[BR_OBJECTIVES]
    = { "in-time", "definite" };

bool
br_setup (struct br_report *br, const struct br_desc *desc,
          struct cyc_findings *findings)
{
  memset (br, 0, sizeof *br);
  br->row_max = desc->max_rows ? desc->max_rows : DEFAULT_MAX_ROWS;
  br->process_max
      = desc->max_processes ? desc->max_processes : DEFAULT_MAX_PROCESSES;
  br->rows = calloc (br->row_max, sizeof *br->rows);
  br->processes = calloc (br->process_max, sizeof *br->processes);
  if (br->rows != NULL && br->processes != NULL)
    return true;
  cyc_findings_add (findings, CYC_STR ("burn_report"), "out of memory");
  br_shutdown (br);
  return false;
}

void
br_shutdown (struct br_report *br)
{
  free (br->rows);
  free (br->processes);
  memset (br, 0, sizeof *br);
}

static struct br_row *
row_for (struct br_report *br, struct cyc_str queue)
{
  uint32_t position = 0;
  struct cyc_name name;

  while (position < br->row_count
         && cyc_str_cmp (cyc_name_str (&br->rows[position].queue), queue) < 0)
    position++;
  if (position < br->row_count
      && cyc_str_eq (cyc_name_str (&br->rows[position].queue), queue))
    return &br->rows[position];
  if (br->row_count == br->row_max || !cyc_name_set (&name, queue))
    return NULL;
  memmove (&br->rows[position + 1], &br->rows[position],
           (br->row_count - position) * sizeof br->rows[0]);
  memset (&br->rows[position], 0, sizeof br->rows[position]);
  br->rows[position].queue = name;
  br->row_count++;
  return &br->rows[position];
}

static uint64_t
member_u64 (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;
  int64_t number;

  if (!json_object_object_get_ex (object, key, &value))
    return 0;
  number = json_object_get_int64 (value);
  return number > 0 ? (uint64_t)number : 0;
}

static void
add_sums (struct json_object *queue, const char *key, struct bw_sums *to)
{
  struct json_object *sums = NULL;

  if (!json_object_object_get_ex (queue, key, &sums))
    return;
  to->requests += member_u64 (sums, "requests");
  to->in_time += member_u64 (sums, "in_time");
  to->definite += member_u64 (sums, "definite");
}

static void
add_queue (struct br_report *br, struct json_object *queue)
{
  struct json_object *name = NULL;
  struct br_row *row;

  if (!json_object_object_get_ex (queue, "queue", &name))
    return;
  row = row_for (br, cyc_str_of (json_object_get_string (name)));
  if (row == NULL)
    return;
  row->answered_within_ms = (uint32_t)member_u64 (queue, "answered_within_ms");
  row->permille[BR_IN_TIME] = (uint32_t)member_u64 (queue, "permille");
  row->permille[BR_DEFINITE]
      = (uint32_t)member_u64 (queue, "definite_permille");
  add_sums (queue, "total", &row->total);
  add_sums (queue, "short", &row->window_short);
  add_sums (queue, "long", &row->window_long);
}

static struct br_process *
process_add (struct br_report *br, struct cyc_str vm)
{
  struct br_process *process;

  if (br->process_count == br->process_max)
    return NULL;
  process = &br->processes[br->process_count++];
  memset (process, 0, sizeof *process);
  cyc_name_set (&process->vm, vm);
  return process;
}

bool
br_add (struct br_report *br, struct cyc_str vm, struct cyc_str json,
        uint64_t now_ms, struct cyc_findings *findings)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root
      = json_tokener_parse_ex (tokener, json.data, (int)json.len);
  struct json_object *queues = NULL;
  struct br_process *process;

  json_tokener_free (tokener);
  if (root == NULL || !json_object_object_get_ex (root, "queues", &queues)
      || !json_object_is_type (queues, json_type_array))
    {
      cyc_findings_add (findings, vm, "answer is not a report of objectives");
      json_object_put (root);
      return false;
    }
  process = process_add (br, vm);
  if (process != NULL)
    {
      process->reached = true;
      process->start_ms = member_u64 (root, "start_ms");
      process->age_ms
          = now_ms > process->start_ms ? now_ms - process->start_ms : 0;
      process->restarted = process->age_ms < LONG_WINDOW_MS;
    }
  for (size_t i = 0; i < json_object_array_length (queues); i++)
    add_queue (br, json_object_array_get_idx (queues, i));
  json_object_put (root);
  return true;
}

void
br_add_unreached (struct br_report *br, struct cyc_str vm, struct cyc_str why)
{
  struct br_process *process = process_add (br, vm);

  if (process != NULL)
    snprintf (process->note, sizeof process->note, "%.*s", CYC_FMT (why));
}

static uint64_t
bad_requests (const struct bw_sums *sums, enum br_objective objective)
{
  uint64_t good = objective == BR_IN_TIME ? sums->in_time : sums->definite;

  return sums->requests > good ? sums->requests - good : 0;
}

/* An objective of 1,000 permille allows no bad request; counting it as half a
   permille keeps the rate finite and still far above any alert threshold. */
static uint64_t
allowed_half_permille (uint32_t permille)
{
  return permille >= PERMILLE_TOTAL
             ? 1
             : 2 * (uint64_t)(PERMILLE_TOTAL - permille);
}

uint64_t
br_burn_permille (const struct bw_sums *sums, enum br_objective objective,
                  uint32_t permille)
{
  uint64_t bad = bad_requests (sums, objective);

  if (sums->requests == 0)
    return 0;
  return bad * 2 * PERMILLE_TOTAL * PERMILLE_TOTAL
         / (sums->requests * allowed_half_permille (permille));
}

int64_t
br_remaining_permille (const struct bw_sums *sums, enum br_objective objective,
                       uint32_t permille)
{
  return PERMILLE_TOTAL
         - (int64_t)br_burn_permille (sums, objective, permille);
}

static void
print_objective_row (const struct br_row *row, enum br_objective objective,
                     FILE *out)
{
  uint32_t permille = row->permille[objective];
  int64_t remaining_permille
      = br_remaining_permille (&row->total, objective, permille);
  uint64_t burn_short
      = br_burn_permille (&row->window_short, objective, permille);
  uint64_t burn_long
      = br_burn_permille (&row->window_long, objective, permille);
  char goal[40];

  if (objective == BR_IN_TIME)
    snprintf (goal, sizeof goal, "%u.%u%% in %u ms", permille / 10,
              permille % 10, row->answered_within_ms);
  else
    snprintf (goal, sizeof goal, "%u.%u%%", permille / 10, permille % 10);
  fprintf (out, "%-28s %-9s %-20s %10" PRIu64, row->queue.data,
           objective_names[objective], goal, row->total.requests);
  if (row->total.requests == 0)
    fprintf (out, " %8s %8s %8s  no traffic\n", "-", "-", "-");
  else
    fprintf (out, " %7.1f%% %8.2f %8.2f%s\n",
             (double)remaining_permille / 10.0, (double)burn_short / 1000.0,
             (double)burn_long / 1000.0,
             remaining_permille < 0 ? "  overdrawn" : "");
}

static void
print_processes (const struct br_report *br, FILE *out)
{
  bool first = true;

  for (uint32_t i = 0; i < br->process_count; i++)
    if (!br->processes[i].reached)
      fprintf (out, "not reached: %s (%s)\n", br->processes[i].vm.data,
               br->processes[i].note);
  for (uint32_t i = 0; i < br->process_count; i++)
    if (br->processes[i].restarted)
      {
        fprintf (out, "%s %s (%" PRIu64 " min)",
                 first ? "started within the last 60 minutes:" : ",",
                 br->processes[i].vm.data, br->processes[i].age_ms / 60000);
        first = false;
      }
  if (!first)
    fprintf (out, "\n");
}

static void
print_table (const struct br_report *br, FILE *out)
{
  fprintf (out, "%-28s %-9s %-20s %10s %8s %8s %8s\n", "queue", "objective",
           "goal", "requests", "left", "burn 5m", "burn 60m");
  for (uint32_t i = 0; i < br->row_count; i++)
    for (int o = 0; o < BR_OBJECTIVES; o++)
      if (br->rows[i].permille[o] > 0)
        print_objective_row (&br->rows[i], (enum br_objective)o, out);
  print_processes (br, out);
}

static struct json_object *
json_sums (const struct bw_sums *sums)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "requests",
                          json_object_new_int64 ((int64_t)sums->requests));
  json_object_object_add (object, "in_time",
                          json_object_new_int64 ((int64_t)sums->in_time));
  json_object_object_add (object, "definite",
                          json_object_new_int64 ((int64_t)sums->definite));
  return object;
}

static struct json_object *
json_objective (const struct br_row *row, enum br_objective objective)
{
  struct json_object *object = json_object_new_object ();
  uint32_t permille = row->permille[objective];

  json_object_object_add (object, "queue",
                          json_object_new_string (row->queue.data));
  json_object_object_add (object, "objective",
                          json_object_new_string (objective_names[objective]));
  json_object_object_add (object, "permille",
                          json_object_new_int64 (permille));
  if (objective == BR_IN_TIME)
    json_object_object_add (object, "answered_within_ms",
                            json_object_new_int64 (row->answered_within_ms));
  json_object_object_add (object, "traffic",
                          json_object_new_boolean (row->total.requests > 0));
  json_object_object_add (object, "total", json_sums (&row->total));
  json_object_object_add (object, "left_permille",
                          json_object_new_int64 (br_remaining_permille (
                              &row->total, objective, permille)));
  json_object_object_add (object, "burn_short_permille",
                          json_object_new_int64 ((int64_t)br_burn_permille (
                              &row->window_short, objective, permille)));
  json_object_object_add (object, "burn_long_permille",
                          json_object_new_int64 ((int64_t)br_burn_permille (
                              &row->window_long, objective, permille)));
  return object;
}

static void
print_json (const struct br_report *br, FILE *out)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *objectives = json_object_new_array ();
  struct json_object *processes = json_object_new_array ();

  for (uint32_t i = 0; i < br->row_count; i++)
    for (int o = 0; o < BR_OBJECTIVES; o++)
      if (br->rows[i].permille[o] > 0)
        json_object_array_add (
            objectives, json_objective (&br->rows[i], (enum br_objective)o));
  for (uint32_t i = 0; i < br->process_count; i++)
    {
      const struct br_process *process = &br->processes[i];
      struct json_object *object = json_object_new_object ();

      json_object_object_add (object, "vm",
                              json_object_new_string (process->vm.data));
      json_object_object_add (object, "reached",
                              json_object_new_boolean (process->reached));
      json_object_object_add (object, "restarted",
                              json_object_new_boolean (process->restarted));
      json_object_object_add (
          object, "start_ms",
          json_object_new_int64 ((int64_t)process->start_ms));
      json_object_object_add (object, "note",
                              json_object_new_string (process->note));
      json_object_array_add (processes, object);
    }
  json_object_object_add (root, "objectives", objectives);
  json_object_object_add (root, "processes", processes);
  fprintf (
      out, "%s\n",
      json_object_to_json_string_ext (
          root, JSON_C_TO_STRING_SPACED | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (root);
}

void
br_print (const struct br_report *br, enum br_format format, FILE *out)
{
  if (format == BR_JSON)
    print_json (br, out);
  else
    print_table (br, out);
}

static void
encode_sums (FILE *out, const char *key, const struct bw_sums *sums)
{
  fprintf (out,
           ",\"%s\":{\"requests\":%" PRIu64 ",\"in_time\":%" PRIu64
           ",\"definite\":%" PRIu64 "}",
           key, sums->requests, sums->in_time, sums->definite);
}

static void
encode_queue (FILE *out, bool first, const struct cyc_queue_cfg *queue,
              const struct br_source *source)
{
  const struct bw_row *row
      = bw_find (source->windows, cyc_name_str (&queue->name));
  struct bw_sums window_short = { 0 };
  struct bw_sums window_long = { 0 };
  struct bw_sums total = { 0 };

  if (row != NULL)
    {
      total = row->total;
      bw_window (row, BW_SHORT_MINUTES, source->now_us, &window_short);
      bw_window (row, BW_LONG_MINUTES, source->now_us, &window_long);
    }
  fprintf (out,
           "%s{\"queue\":\"%s\",\"answered_within_ms\":%u,\"permille\":%u,"
           "\"definite_permille\":%u",
           first ? "" : ",", queue->name.data, queue->answered_within_ms,
           queue->objective_permille, queue->definite_permille);
  encode_sums (out, "total", &total);
  encode_sums (out, "short", &window_short);
  encode_sums (out, "long", &window_long);
  fprintf (out, "}");
}

struct cyc_str
br_encode (const struct br_source *source)
{
  char *data = NULL;
  size_t len = 0;
  char hex[33];
  FILE *out = open_memstream (&data, &len);
  const struct cyc_queue_cfg *queue;
  bool first = true;

  if (out == NULL)
    return (struct cyc_str){ 0 };
  cyc_id128_hex (source->incarnation, hex);
  fprintf (out,
           "{\"incarnation\":\"%s\",\"start_ms\":%" PRIu64 ",\"queues\":[",
           hex, source->start_ms);
  for (uint32_t i = 0; (queue = cyc_led_queue_at (source->ledger, i)) != NULL;
       i++)
    {
      if (queue->objective_permille == 0 && queue->definite_permille == 0)
        continue;
      encode_queue (out, first, queue, source);
      first = false;
    }
  fprintf (out, "]}\n");
  fclose (out);
  return (struct cyc_str){ .data = data, .len = len };
}
