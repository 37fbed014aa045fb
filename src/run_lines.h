/**
 * @file
 * Log lines of runs and workers from which a wrong decision is found. Records
 * of logs may be cut: what tells causes apart stands within the first
 * RUN_LINES_DECIDING_BYTES bytes of the whole line, in short form where the
 * full values stand behind it. docs/OPERATIONS.md describes the keys.
 *
 * @code
 * lines_over (&conclusion, &view, next_id, epoch, now_us);
 * @endcode
 *
 * Errors: no function fails; see log_event.h.
 */
#ifndef RUN_LINES_H
#define RUN_LINES_H

#include "ports.h"
#include <cyclamendrum/cell.h>

#define RUN_LINES_DECIDING_BYTES 150

/** What is known of a start beside its order. */
struct lines_start
{
  uint64_t epoch;
  uint64_t fence;
  uint64_t born_ms; /**< incarnation of the worker that is known */
  uint64_t lease_deadline_ms;
};

/** Counts since the leadership began. */
struct lines_counts
{
  uint64_t over[CELL_OVER_REASONS];
  uint64_t wrong;      /**< contradicted conclusions */
  uint64_t twice;      /**< pairs of runs of one task */
  uint64_t answered;   /**< starts answered as begun */
  uint64_t refused;    /**< starts answered otherwise, or not sent */
  uint64_t unanswered; /**< starts without an answer */
  uint64_t restarts;   /**< of workers, as seen */
};

void lines_start (const struct cell_order *order, struct cyc_str worker,
                  const struct lines_start *start);
void lines_refused (const struct cell_order *order, struct cyc_str worker,
                    enum cell_start_result result, const char *why,
                    uint64_t epoch, uint64_t now_us);
void lines_stop (const struct cell_order *order, struct cyc_str worker,
                 uint64_t born_ms, uint64_t epoch);
void lines_end (const struct cell_end_row *end, struct cyc_str worker,
                uint64_t born_ms, uint64_t epoch);
/** @p view: of the worker of the run; @p next_worker: of the run that has
 * taken its place, if that is known. */
void lines_over (const struct cell_conclusion *conclusion,
                 const struct cell_worker_view *view,
                 struct cyc_str next_worker, uint64_t epoch, uint64_t now_us);
/** @p worker: of the run; @p next_worker: as for lines_over. */
void lines_over_end (const struct cell_over_end *end, struct cyc_str worker,
                     struct cyc_str next_worker, uint64_t epoch,
                     uint64_t now_us);
/** @p workers: of the two runs. */
void lines_twice (const struct cell_twice *twice,
                  const struct cyc_str workers[2], uint64_t epoch,
                  uint64_t now_us, uint64_t now_ms);
/** @p before, @p last: how the last two holds ended. */
void lines_silent (const struct cell_worker_view *view,
                   const struct pt_call_end *before,
                   const struct pt_call_end *last, uint64_t now_us);
/** @p was_born_ms: incarnation known before; 0 if none was. */
void lines_listed (const struct cell_worker_entry *entry, uint64_t was_born_ms,
                   uint64_t entry_after_us, uint64_t now_us);
/** @p wrong: the last contradicted conclusion, to be repeated, with the id of
 * its worker; NULL if none is. */
void lines_counts (const struct lines_counts *counts,
                   const struct cell_conclusion *wrong, struct cyc_str worker,
                   uint64_t epoch);

#endif
