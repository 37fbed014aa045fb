/**
 * @file
 * Replay of trace lines: each line is applied to a core, and the decisions of
 * each tick are compared with the recorded number and digest.
 */
#include "cyc_core_internal.h"

#include <stdlib.h>
#include <string.h>

#define MAX_FIELDS 24

/* Fields of one trace line. */
struct fields
{
  struct cyc_str texts[MAX_FIELDS];
  uint32_t count;
  bool malformed; /**< some field is missing or cannot be parsed */
};

static void
split_fields (struct cyc_str line, struct fields *out)
{
  size_t start = 0;

  memset (out, 0, sizeof *out);
  for (size_t i = 0; i <= line.len; i++)
    {
      if (i < line.len && line.data[i] != ' ' && line.data[i] != '\n')
        continue;
      if (i > start && out->count < MAX_FIELDS)
        out->texts[out->count++]
            = (struct cyc_str){ line.data + start, i - start };
      start = i + 1;
    }
}

/* Returns a field; "-" stands for an empty text. */
static struct cyc_str
field_text (struct fields *f, uint32_t index)
{
  static const struct cyc_str dash = CYC_STR ("-");

  if (index < f->count)
    return cyc_str_eq (f->texts[index], dash) ? CYC_STR ("") : f->texts[index];
  f->malformed = true;
  return CYC_STR ("");
}

static uint64_t
field_u64 (struct fields *f, uint32_t index, int base)
{
  struct cyc_str text = field_text (f, index);
  char copy[24];
  char *end;
  uint64_t value;

  if (text.len == 0 || text.len >= sizeof copy)
    {
      f->malformed = true;
      return 0;
    }
  memcpy (copy, text.data, text.len);
  copy[text.len] = '\0';
  value = strtoull (copy, &end, base);
  if (*end != '\0')
    f->malformed = true;
  return value;
}

static uint32_t
field_u32 (struct fields *f, uint32_t index)
{
  uint64_t value = field_u64 (f, index, 10);

  if (value > UINT32_MAX)
    f->malformed = true;
  return (uint32_t)value;
}

static struct cyc_name
field_name (struct fields *f, uint32_t index)
{
  struct cyc_name out = { 0 };

  if (!cyc_name_set (&out, field_text (f, index)))
    f->malformed = true;
  return out;
}

static struct cyc_id128
field_id (struct fields *f, uint32_t index)
{
  struct cyc_id128 out = { { 0 } };

  if (!cyc_id128_parse (field_text (f, index), &out))
    f->malformed = true;
  return out;
}

static struct cyc_resources
field_res (struct fields *f, uint32_t index)
{
  struct cyc_resources out;

  out.millicores = field_u32 (f, index);
  out.memory_mib = field_u32 (f, index + 1);
  out.accelerators = field_u32 (f, index + 2);
  return out;
}

bool
cyc_core_replay_setup (struct cyc_str line, struct cyc_core_desc *out)
{
  struct fields f;

  split_fields (line, &f);
  if (!cyc_str_eq (field_text (&f, 0), CYC_STR ("setup")))
    return false;
  *out = (struct cyc_core_desc){
    .max_workers = field_u32 (&f, 1),
    .max_racks = field_u32 (&f, 2),
    .max_teams = field_u32 (&f, 3),
    .max_queues = field_u32 (&f, 4),
    .max_jobs = field_u32 (&f, 5),
    .max_tasks = field_u32 (&f, 6),
    .cancel_per_tick = field_u32 (&f, 7),
    .ejected_max_permille = field_u32 (&f, 8),
    .eject_failures = field_u32 (&f, 9),
    .probe_first_ms = field_u32 (&f, 10),
    .probe_last_ms = field_u32 (&f, 11),
    .first_headroom_permille = field_u32 (&f, 12),
    .worker_high_permille = field_u32 (&f, 13),
    .preempt_max_permille = field_u32 (&f, 14),
    .batch_floor_permille = field_u32 (&f, 15),
    .share_half_life_ms = field_u32 (&f, 16),
    .gang_reserve_ms = field_u32 (&f, 17),
    .task_lease_ms = field_u32 (&f, 18),
    .service_lease_ms = field_u32 (&f, 19),
    .clock_error_ms = field_u32 (&f, 20),
    .max_attempts = field_u32 (&f, 21),
    .seed = field_u64 (&f, 22, 10),
  };
  return !f.malformed;
}

typedef void (*apply_function) (struct cyc_core *core, struct fields *f);

static void
apply_worker (struct cyc_core *core, struct fields *f)
{
  struct cyc_core_worker worker = { .name = field_name (f, 2),
                                    .rack = field_name (f, 3),
                                    .capacity = field_res (f, 4),
                                    .leaving = field_u32 (f, 7) != 0 };

  cyc_core_worker_upsert (core, &worker, field_u64 (f, 1, 10));
}

static void
apply_seen (struct cyc_core *core, struct fields *f)
{
  cyc_core_worker_seen (core, field_text (f, 2), field_u64 (f, 1, 10));
}

static void
apply_silent (struct cyc_core *core, struct fields *f)
{
  cyc_core_worker_silent (core, field_text (f, 2), field_u64 (f, 1, 10));
}

static void
apply_gone (struct cyc_core *core, struct fields *f)
{
  cyc_core_worker_remove (core, field_text (f, 2), field_u64 (f, 1, 10));
}

static void
apply_unfenced (struct cyc_core *core, struct fields *f)
{
  cyc_core_worker_unfenced (core, field_text (f, 2), field_u64 (f, 1, 10));
}

static void
apply_team (struct cyc_core *core, struct fields *f)
{
  struct cyc_core_team team = { .name = field_name (f, 1),
                                .share_permille = field_u32 (f, 2),
                                .balance_millicores = field_u64 (f, 3, 10),
                                .balance_accelerators = field_u64 (f, 4, 10) };

  cyc_core_team_upsert (core, &team);
}

static void
apply_queue (struct cyc_core *core, struct fields *f)
{
  struct cyc_queue_cfg queue = { .name = field_name (f, 1),
                                 .team = field_name (f, 2),
                                 .kind = (enum cyc_queue_kind)field_u32 (f, 3),
                                 .spread = (enum cyc_spread)field_u32 (f, 4),
                                 .urgent = field_u32 (f, 5) != 0,
                                 .repeatable = field_u32 (f, 6) != 0,
                                 .size = field_res (f, 7),
                                 .run_s = field_u32 (f, 10) };

  cyc_core_queue_upsert (core, &queue);
}

static void
apply_unqueue (struct cyc_core *core, struct fields *f)
{
  cyc_core_queue_remove (core, field_text (f, 1));
}

static void
apply_scale (struct cyc_core *core, struct fields *f)
{
  cyc_core_service_scale (core, field_text (f, 2), field_u32 (f, 3),
                          field_u64 (f, 1, 10));
}

/* Parses a bitmap in hex with one bit per task. Returns NULL for an empty or
 * malformed field; the caller frees the bitmap. */
static uint8_t *
field_bits (struct fields *f, uint32_t index, uint32_t tasks)
{
  struct cyc_str hex = field_text (f, index);
  uint8_t *bits;

  if (hex.len == 0)
    return NULL;
  bits = calloc (tasks / 8 + 1, 1);
  if (bits == NULL || hex.len != 2 * (((size_t)tasks + 7) / 8))
    {
      f->malformed = true;
      free (bits);
      return NULL;
    }
  for (size_t i = 0; i < hex.len / 2; i++)
    {
      char pair[3] = { hex.data[2 * i], hex.data[2 * i + 1], '\0' };

      bits[i] = (uint8_t)strtoul (pair, NULL, 16);
    }
  return bits;
}

static void
apply_job (struct cyc_core *core, struct fields *f)
{
  uint32_t tasks = field_u32 (f, 4);
  uint8_t *bits = field_bits (f, 7, tasks);
  struct cyc_core_job job = { .id = field_id (f, 2),
                              .queue = field_name (f, 3),
                              .tasks = tasks,
                              .first_task = field_u32 (f, 5),
                              .submitted_us = field_u64 (f, 6, 10),
                              .done_bits = bits };

  if (!f->malformed)
    cyc_core_job_add (core, &job, field_u64 (f, 1, 10));
  free (bits);
}

static void
apply_cancel (struct cyc_core *core, struct fields *f)
{
  struct cyc_id128 job = field_id (f, 2);

  cyc_core_job_cancel (core, &job, field_u64 (f, 1, 10));
}

static void
apply_found (struct cyc_core *core, struct fields *f)
{
  struct cyc_core_found_task found
      = { .job = field_id (f, 2),
          .task_index = field_u32 (f, 3),
          .worker = field_name (f, 4),
          .queue = field_name (f, 5),
          .size = field_res (f, 6),
          .lease_deadline_us = field_u64 (f, 9, 10) };

  cyc_core_task_found (core, &found, field_u64 (f, 1, 10));
}

static void
apply_report (struct cyc_core *core, struct fields *f)
{
  struct cyc_id128 job = field_id (f, 2);

  cyc_core_task_report (core, &job, field_u32 (f, 3),
                        (enum cyc_task_event)field_u32 (f, 4),
                        field_u64 (f, 1, 10));
}

static void
apply_usage (struct cyc_core *core, struct fields *f)
{
  struct cyc_id128 job = field_id (f, 2);
  struct cyc_core_usage usage
      = { .used = field_res (f, 4), .measured_us = field_u64 (f, 7, 10) };

  cyc_core_task_usage (core, &job, field_u32 (f, 3), &usage,
                       field_u64 (f, 1, 10));
}

static void
apply_renewed (struct cyc_core *core, struct fields *f)
{
  struct cyc_id128 job = field_id (f, 1);

  cyc_core_task_renewed (core, &job, field_u32 (f, 2), field_u64 (f, 3, 10));
}

static void
apply_worker_usage (struct cyc_core *core, struct fields *f)
{
  struct cyc_core_usage usage
      = { .used = field_res (f, 3), .measured_us = field_u64 (f, 6, 10) };

  cyc_core_worker_usage (core, field_text (f, 2), &usage,
                         field_u64 (f, 1, 10));
}

static void
apply_allow (struct cyc_core *core, struct fields *f)
{
  cyc_core_allow_starts (core, field_u32 (f, 1) != 0);
}

struct input_handler
{
  const char *verb;
  apply_function apply;
};

static const struct input_handler input_handlers[] = {
  { "worker", apply_worker },     { "seen", apply_seen },
  { "silent", apply_silent },     { "gone", apply_gone },
  { "unfenced", apply_unfenced }, { "team", apply_team },
  { "queue", apply_queue },       { "unqueue", apply_unqueue },
  { "scale", apply_scale },       { "job", apply_job },
  { "cancel", apply_cancel },     { "found", apply_found },
  { "report", apply_report },     { "usage", apply_usage },
  { "renewed", apply_renewed },   { "worker-usage", apply_worker_usage },
  { "allow", apply_allow },
};

/* Returns false if the line is malformed or the tick may issue more decisions
 * than replay->out has elements. */
static bool
replay_tick (struct cyc_core *core, struct fields *f,
             struct cyc_core_replay *replay)
{
  uint64_t now_us = field_u64 (f, 1, 10);
  uint32_t max = field_u32 (f, 2);
  uint32_t recorded = field_u32 (f, 3);
  uint64_t digest = field_u64 (f, 4, 16);
  uint32_t decided;

  if (f->malformed || max > replay->max)
    return false;
  decided = cyc_core_tick (core, now_us, replay->out, max);
  replay->ticks++;
  replay->decisions += decided;
  if (decided == recorded
      && core_decisions_digest (replay->out, decided) == digest)
    return true;
  if (replay->mismatches++ == 0)
    replay->first_mismatch_us = now_us;
  return true;
}

bool
cyc_core_replay_line (struct cyc_core *core, struct cyc_str line,
                      struct cyc_core_replay *replay)
{
  struct fields f;
  struct cyc_str verb;

  split_fields (line, &f);
  if (f.count == 0)
    return true;
  verb = field_text (&f, 0);
  if (cyc_str_eq (verb, CYC_STR ("tick")))
    return replay_tick (core, &f, replay);
  for (size_t i = 0; i < sizeof input_handlers / sizeof input_handlers[0]; i++)
    if (cyc_str_eq (verb, cyc_str_of (input_handlers[i].verb)))
      {
        input_handlers[i].apply (core, &f);
        return !f.malformed;
      }
  return false;
}
