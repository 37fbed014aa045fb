/**
 * @file
 * Writes one trace line for each input and tick; cyc_core_replay.c replays
 * them.
 *
 * A line is a verb and fields separated by single spaces; an empty name is
 * "-". The "tick" line carries the number and a digest of the decisions, so a
 * replay shows the first tick whose decisions differ.
 */
#include "cyc_core_internal.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <xxhash.h>

void
core_trace (struct cyc_core_state *st, const char *format, ...)
{
  va_list args;
  int len;

  if (st->desc.trace == NULL)
    return;
  va_start (args, format);
  len = vsnprintf (st->trace_line, st->trace_size, format, args);
  va_end (args);
  if (len < 0 || (size_t)len >= st->trace_size)
    return;
  st->desc.trace (st->desc.trace_user,
                  (struct cyc_str){ st->trace_line, (size_t)len });
}

void
core_trace_hex (const struct cyc_core_state *st, const struct cyc_id128 *id,
                char out[33])
{
  out[0] = '\0';
  if (st->desc.trace != NULL)
    cyc_id128_hex (id, out);
}

struct cyc_str
core_trace_word (struct cyc_str text)
{
  return text.len > 0 ? text : CYC_STR ("-");
}

void
core_trace_setup (struct cyc_core_state *st)
{
  const struct cyc_core_desc *d = &st->desc;

  core_trace (st,
              "setup %u %u %u %u %u %u %u %u %u %u %u %u %u %u %u %u %u %u "
              "%u %u %u %" PRIu64,
              d->max_workers, d->max_racks, d->max_teams, d->max_queues,
              d->max_jobs, d->max_tasks, d->cancel_per_tick,
              d->ejected_max_permille, d->eject_failures, d->probe_first_ms,
              d->probe_last_ms, d->first_headroom_permille,
              d->worker_high_permille, d->preempt_max_permille,
              d->batch_floor_permille, d->share_half_life_ms,
              d->gang_reserve_ms, d->task_lease_ms, d->service_lease_ms,
              d->clock_error_ms, d->max_attempts, d->seed);
}

void
core_trace_job (struct cyc_core_state *st, const struct cyc_core_job *job,
                uint64_t now_us)
{
  char hex[33];
  char *bits = st->trace_bits;
  uint32_t bytes = job->done_bits != NULL ? (job->tasks + 7) / 8 : 0;

  if (st->desc.trace == NULL || bytes > st->desc.max_tasks / 8 + 1)
    return;
  for (uint32_t i = 0; i < bytes; i++)
    snprintf (bits + 2 * (size_t)i, 3, "%02x", job->done_bits[i]);
  bits[2 * (size_t)bytes] = '\0';
  cyc_id128_hex (&job->id, hex);
  core_trace (st, "job %" PRIu64 " %s %.*s %u %u %" PRIu64 " %s", now_us, hex,
              CYC_FMT (core_trace_word (cyc_name_str (&job->queue))),
              job->tasks, job->first_task, job->submitted_us,
              bytes > 0 ? bits : "-");
}

static void
hash_str (XXH64_state_t *hash, struct cyc_str text)
{
  XXH64_update (hash, text.data, text.len);
}

uint64_t
core_decisions_digest (const struct cyc_decision *out, uint32_t count)
{
  XXH64_state_t *hash = XXH64_createState ();
  uint64_t digest;

  if (hash == NULL)
    return 0;
  XXH64_reset (hash, 0);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct cyc_decision *d = &out[i];
      uint64_t fields[] = { (uint64_t)d->kind,    d->task_index,
                            d->attempt,           d->size.millicores,
                            d->size.memory_mib,   d->size.accelerators,
                            d->lease_deadline_us, (uint64_t)d->job_failed };

      XXH64_update (hash, fields, sizeof fields);
      XXH64_update (hash, d->job.bytes, sizeof d->job.bytes);
      hash_str (hash, cyc_name_str (&d->worker_name));
      hash_str (hash, cyc_name_str (&d->queue));
    }
  digest = XXH64_digest (hash);
  XXH64_freeState (hash);
  return digest;
}

void
core_trace_tick (struct cyc_core_state *st, uint64_t now_us,
                 const struct cyc_decision *out, uint32_t max, uint32_t count)
{
  if (st->desc.trace == NULL)
    return;
  core_trace (st, "tick %" PRIu64 " %u %u %016" PRIx64, now_us, max, count,
              core_decisions_digest (out, count));
}
