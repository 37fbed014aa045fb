/**
 * @file
 * What the open work of a cell may take in memory.
 *
 * Three budgets, each a share of the memory of the process:
 *
 * - Open jobs: a job holds its specification and its first round. A job that
 *   is not stored yet is refused beyond the budget.
 * - Rounds beyond the first one of a job, which are set up as far as the
 *   budget goes.
 * - Runs, which are placed as far as the budget goes.
 *
 * One holder may take at most as much as it leaves free, so a newcomer always
 * finds room: a single team gets half of a budget, each of two a third.
 *
 * Stored jobs are loaded beyond the budget of jobs; their first rounds then
 * wait for room.
 */
#ifndef CYC_CELL_MEMORY_H
#define CYC_CELL_MEMORY_H

#include <stdbool.h>
#include <stdint.h>

struct cell_core;
struct cell_job;
struct cell_round;
struct cell_team;

struct cell_memory
{
  uint64_t jobs_max_bytes;
  uint64_t rounds_max_bytes; /**< of all rounds */
  uint64_t extra_max_bytes;  /**< of rounds beyond the first of a job */
  uint32_t runs_max;
  uint64_t jobs_bytes;   /**< held by open jobs */
  uint64_t rounds_bytes; /**< of the rounds that are set up */
  uint64_t extra_bytes;  /**< of these, beyond the first one of a job */
  uint32_t extra_stages; /**< stages of those */
};

/** Divides @p memory_bytes; 0 stands for CELL_MEMORY_DEFAULT_BYTES. */
void cell_memory_setup (struct cell_memory *memory, uint64_t memory_bytes);

/** Has the job, which is open, hold what it takes. Sets `no_room` of a job
 * that is not stored if the budget has no room for it. */
void cell_memory_hold (struct cell_core *core, struct cell_job *job);
/** Ends cell_memory_hold; does nothing for a job that holds nothing. */
void cell_memory_release (struct cell_core *core, struct cell_job *job);

/** Returns whether a further round of the job may be set up now. */
bool cell_memory_admits_round (const struct cell_core *core,
                               const struct cell_job *job);
/** Counts a round that is set up, or with @p sign -1 freed. */
void cell_memory_count_round (struct cell_core *core, struct cell_job *job,
                              struct cell_round *round, int sign);

/** Returns whether the team may have @p runs more runs. */
bool cell_memory_admits_runs (const struct cell_core *core,
                              const struct cell_team *team, uint64_t runs);

#endif
