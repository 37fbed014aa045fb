/**
 * @file
 * Replay of trace lines.
 */
#include "cyc_core_internal.h"

#include <stdlib.h>
#include <string.h>

#define MOST_FIELDS 24

struct fields
{
  struct cyc_str words[MOST_FIELDS];
  uint32_t count;
  bool bad;
};

static void
split (struct cyc_str line, struct fields *out)
{
  size_t start = 0;

  memset (out, 0, sizeof *out);
  for (size_t i = 0; i <= line.len; i++)
    {
      if (i < line.len && line.data[i] != ' ' && line.data[i] != '\n')
        continue;
      if (i > start && out->count < MOST_FIELDS)
        out->words[out->count++]
            = (struct cyc_str){ line.data + start, i - start };
      start = i + 1;
    }
}

static struct cyc_str
word (struct fields *f, uint32_t at)
{
  static const struct cyc_str dash = CYC_STR ("-");

  if (at < f->count)
    return cyc_str_eq (f->words[at], dash) ? CYC_STR ("") : f->words[at];
  f->bad = true;
  return CYC_STR ("");
}

static uint64_t
number (struct fields *f, uint32_t at, int base)
{
  struct cyc_str text = word (f, at);
  char copy[24];
  char *end;
  uint64_t value;

  if (text.len == 0 || text.len >= sizeof copy)
    {
      f->bad = true;
      return 0;
    }
  memcpy (copy, text.data, text.len);
  copy[text.len] = '\0';
  value = strtoull (copy, &end, base);
  if (*end != '\0')
    f->bad = true;
  return value;
}

static uint32_t
small (struct fields *f, uint32_t at)
{
  uint64_t value = number (f, at, 10);

  if (value > UINT32_MAX)
    f->bad = true;
  return (uint32_t)value;
}

static struct cyc_name
name (struct fields *f, uint32_t at)
{
  struct cyc_name out = { 0 };

  if (!cyc_name_set (&out, word (f, at)))
    f->bad = true;
  return out;
}

static struct cyc_id128
id (struct fields *f, uint32_t at)
{
  struct cyc_id128 out = { { 0 } };

  if (!cyc_id128_parse (word (f, at), &out))
    f->bad = true;
  return out;
}

static struct cyc_res
res (struct fields *f, uint32_t at)
{
  struct cyc_res out;

  out.millicores = small (f, at);
  out.memory_mib = small (f, at + 1);
  out.accelerators = small (f, at + 2);
  return out;
}

bool
cyc_core_replay_setup (struct cyc_str line, struct cyc_core_desc *out)
{
  struct fields f;

  split (line, &f);
  if (!cyc_str_eq (word (&f, 0), CYC_STR ("setup")))
    return false;
  *out = (struct cyc_core_desc){
    .max_workers = small (&f, 1),
    .max_racks = small (&f, 2),
    .max_teams = small (&f, 3),
    .max_queues = small (&f, 4),
    .max_jobs = small (&f, 5),
    .max_tasks = small (&f, 6),
    .cancel_per_tick = small (&f, 7),
    .ejected_max_permille = small (&f, 8),
    .eject_failures = small (&f, 9),
    .probe_first_ms = small (&f, 10),
    .probe_last_ms = small (&f, 11),
    .first_headroom_permille = small (&f, 12),
    .worker_high_permille = small (&f, 13),
    .preempt_max_permille = small (&f, 14),
    .batch_floor_permille = small (&f, 15),
    .share_half_life_ms = small (&f, 16),
    .gang_reserve_ms = small (&f, 17),
    .task_lease_ms = small (&f, 18),
    .service_lease_ms = small (&f, 19),
    .clock_error_ms = small (&f, 20),
    .max_attempts = small (&f, 21),
    .seed = number (&f, 22, 10),
  };
  return !f.bad;
}

typedef void (*apply_function) (struct cyc_core *core, struct fields *f);

static void
apply_worker (struct cyc_core *core, struct fields *f)
{
  struct cyc_core_worker worker = { .name = name (f, 2),
                                    .rack = name (f, 3),
                                    .capacity = res (f, 4),
                                    .leaving = small (f, 7) != 0 };

  cyc_core_worker_upsert (core, &worker, number (f, 1, 10));
}

static void
apply_seen (struct cyc_core *core, struct fields *f)
{
  cyc_core_worker_seen (core, word (f, 2), number (f, 1, 10));
}

static void
apply_silent (struct cyc_core *core, struct fields *f)
{
  cyc_core_worker_silent (core, word (f, 2), number (f, 1, 10));
}

static void
apply_gone (struct cyc_core *core, struct fields *f)
{
  cyc_core_worker_remove (core, word (f, 2), number (f, 1, 10));
}

static void
apply_unfenced (struct cyc_core *core, struct fields *f)
{
  cyc_core_worker_unfenced (core, word (f, 2), number (f, 1, 10));
}

static void
apply_team (struct cyc_core *core, struct fields *f)
{
  struct cyc_core_team team = { .name = name (f, 1),
                                .share_permille = small (f, 2),
                                .balance_millicores = number (f, 3, 10),
                                .balance_accelerators = number (f, 4, 10) };

  cyc_core_team_upsert (core, &team);
}

static void
apply_queue (struct cyc_core *core, struct fields *f)
{
  struct cyc_queue_cfg queue = { .name = name (f, 1),
                                 .team = name (f, 2),
                                 .kind = (enum cyc_kind)small (f, 3),
                                 .spread = (enum cyc_spread)small (f, 4),
                                 .urgent = small (f, 5) != 0,
                                 .repeatable = small (f, 6) != 0,
                                 .size = res (f, 7),
                                 .run_s = small (f, 10) };

  cyc_core_queue_upsert (core, &queue);
}

static void
apply_unqueue (struct cyc_core *core, struct fields *f)
{
  cyc_core_queue_remove (core, word (f, 1));
}

static void
apply_scale (struct cyc_core *core, struct fields *f)
{
  cyc_core_service_scale (core, word (f, 2), small (f, 3), number (f, 1, 10));
}

static uint8_t *
bits_of (struct fields *f, uint32_t at, uint32_t tasks)
{
  struct cyc_str hex = word (f, at);
  uint8_t *bits;

  if (hex.len == 0)
    return NULL;
  bits = calloc (tasks / 8 + 1, 1);
  if (bits == NULL || hex.len != 2 * (((size_t)tasks + 7) / 8))
    {
      f->bad = true;
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
  uint32_t tasks = small (f, 4);
  uint8_t *bits = bits_of (f, 7, tasks);
  struct cyc_core_job job = { .id = id (f, 2),
                              .queue = name (f, 3),
                              .tasks = tasks,
                              .first_task = small (f, 5),
                              .submitted_us = number (f, 6, 10),
                              .done_bits = bits };

  if (!f->bad)
    cyc_core_job_add (core, &job, number (f, 1, 10));
  free (bits);
}

static void
apply_cancel (struct cyc_core *core, struct fields *f)
{
  struct cyc_id128 job = id (f, 2);

  cyc_core_job_cancel (core, &job, number (f, 1, 10));
}

static void
apply_found (struct cyc_core *core, struct fields *f)
{
  struct cyc_core_found_task found
      = { .job = id (f, 2),
          .task_index = small (f, 3),
          .worker = name (f, 4),
          .queue = name (f, 5),
          .size = res (f, 6),
          .lease_deadline_us = number (f, 9, 10) };

  cyc_core_task_found (core, &found, number (f, 1, 10));
}

static void
apply_report (struct cyc_core *core, struct fields *f)
{
  struct cyc_id128 job = id (f, 2);

  cyc_core_task_report (core, &job, small (f, 3),
                        (enum cyc_task_event)small (f, 4), number (f, 1, 10));
}

static void
apply_usage (struct cyc_core *core, struct fields *f)
{
  struct cyc_id128 job = id (f, 2);
  struct cyc_core_usage usage
      = { .used = res (f, 4), .measured_us = number (f, 7, 10) };

  cyc_core_task_usage (core, &job, small (f, 3), &usage, number (f, 1, 10));
}

static void
apply_renewed (struct cyc_core *core, struct fields *f)
{
  struct cyc_id128 job = id (f, 1);

  cyc_core_task_renewed (core, &job, small (f, 2), number (f, 3, 10));
}

static void
apply_worker_usage (struct cyc_core *core, struct fields *f)
{
  struct cyc_core_usage usage
      = { .used = res (f, 3), .measured_us = number (f, 6, 10) };

  cyc_core_worker_usage (core, word (f, 2), &usage, number (f, 1, 10));
}

static void
apply_allow (struct cyc_core *core, struct fields *f)
{
  cyc_core_allow_starts (core, small (f, 1) != 0);
}

struct verb
{
  const char *word;
  apply_function apply;
};

static const struct verb verbs[] = {
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

static bool
replay_tick (struct cyc_core *core, struct fields *f,
             struct cyc_core_replay *replay)
{
  uint64_t now_us = number (f, 1, 10);
  uint32_t max = small (f, 2);
  uint32_t count = small (f, 3);
  uint64_t digest = number (f, 4, 16);
  uint32_t got;

  if (f->bad || max > replay->max)
    return false;
  got = cyc_core_tick (core, now_us, replay->out, max);
  replay->ticks++;
  replay->decisions += got;
  if (got == count && core_decisions_digest (replay->out, got) == digest)
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

  split (line, &f);
  if (f.count == 0)
    return true;
  verb = word (&f, 0);
  if (cyc_str_eq (verb, CYC_STR ("tick")))
    return replay_tick (core, &f, replay);
  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    if (cyc_str_eq (verb, cyc_str_of (verbs[i].word)))
      {
        verbs[i].apply (core, &f);
        return !f.bad;
      }
  return false;
}
