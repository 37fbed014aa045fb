/**
 * @file
 * Report on error budgets: merges the answers of the entry processes and
 * computes the remaining budget and the burn rate of each objective.
 *
 * The allowed share of bad requests is 1 minus the objective. The burn rate
 * over a window is the share of bad requests divided by the allowed share: 1.0
 * uses the budget up exactly, more uses it up early. The remaining budget is
 * computed from the totals since the start of the process.
 *
 * @code
 * br_setup (&br, &(struct br_desc){ 0 }, &found);
 * br_add (&br, json, &found);        // once for each process that answered
 * br_print (&br, BR_TABLE, stdout);
 * @endcode
 *
 * Errors: an answer that is not valid adds findings and changes nothing.
 */
#ifndef BURN_REPORT_H
#define BURN_REPORT_H

#include "burn_window.h"

#include <cyclamendrum/ledger.h>

#include <stdio.h>

enum br_format
{
  BR_TABLE,
  BR_JSON
};

/** One objective of a queue. */
enum br_objective
{
  BR_IN_TIME = 0,
  BR_DEFINITE,
  BR_OBJECTIVES
};

struct br_row
{
  struct cyc_name queue;
  uint32_t answered_within_ms;
  uint32_t permille[BR_OBJECTIVES]; /**< 0: no such objective */
  struct bw_sums total;
  struct bw_sums window_short;
  struct bw_sums window_long;
};

struct br_process
{
  struct cyc_name vm;
  bool reached;
  bool restarted; /**< started within the long window */
  uint64_t start_ms;
  uint64_t age_ms; /**< of the counters */
  char note[80];   /**< why it was not reached */
};

struct br_desc
{
  uint32_t max_rows;      /**< 0: 16,384 */
  uint32_t max_processes; /**< 0: 512 */
};

struct br_report
{
  struct br_row *rows; /**< sorted by queue */
  uint32_t row_count;
  uint32_t row_max;
  struct br_process *processes;
  uint32_t process_count;
  uint32_t process_max;
};

bool br_setup (struct br_report *br, const struct br_desc *desc,
               struct cyc_findings *findings);
void br_shutdown (struct br_report *br);
/** Adds the answer of one process; @p now_ms is Unix milliseconds. */
bool br_add (struct br_report *br, struct cyc_str vm, struct cyc_str json,
             uint64_t now_ms, struct cyc_findings *findings);
/** Adds a process that gave no answer, with the cause. */
void br_add_unreached (struct br_report *br, struct cyc_str vm,
                       struct cyc_str why);
/** Burn rate in thousandths; 0 without requests. */
uint64_t br_burn_permille (const struct bw_sums *sums,
                           enum br_objective objective, uint32_t permille);
/** Remaining budget in thousandths; negative if more than the budget was
 * used. */
int64_t br_remaining_permille (const struct bw_sums *sums,
                               enum br_objective objective, uint32_t permille);
void br_print (const struct br_report *br, enum br_format format, FILE *out);

/** Data from which a process answers `GET /v1/objectives`. */
struct br_source
{
  const struct cyc_ledger *ledger;
  const struct bw_set *windows;
  const struct cyc_id128 *incarnation;
  uint64_t start_ms;
  uint64_t now_us;
};

/** Returns the body of `GET /v1/objectives`, which br_add reads: each queue
 * with an objective. The caller releases the result's data with free(). */
struct cyc_str br_encode (const struct br_source *source);

#endif
