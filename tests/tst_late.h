/**
 * @file
 * Plays cases of whole VMs against workers that execute orders late or crash,
 * and checks that no task has two runs at a time, none starts after an
 * acknowledged end, and none goes on crashing workers. Several cases run at
 * the same time.
 *
 * @code
 * cases = tst_late_cases ();
 * tst_late_add (cases, (struct tst_late_case){ { first, second }, { 0, 300 }
 * }); tst_late_play_cases (cases);
 * @endcode
 *
 * With CASE_FILTER=TEXT in the environment only the cases whose name holds the
 * text are played, and their log is written to standard error.
 */
#ifndef TST_LATE_H
#define TST_LATE_H

#include "tst_cluster.h"

struct tst_late_play;

#define TST_LATE_STEPS 6

struct tst_late_step
{
  uint32_t at_ms; /**< after the submission */
  void (*act) (struct tst_late_play *play);
  /** The step waits until this returns true; NULL: it does not wait. */
  bool (*ready) (struct tst_late_play *play);
};

struct tst_late_fault
{
  const char *name;
  struct tst_late_step steps[TST_LATE_STEPS];
};

struct tst_late_case
{
  const struct tst_late_fault *faults[2]; /**< the second may be NULL */
  uint32_t offsets_ms[2];     /**< added to the times of their steps */
  bool orders_outlive_worker; /**< see struct fkp_faults */
  const char *kind;           /**< begins the name of the case; or NULL */
  uint64_t deadly_jobs;       /**< jobs 1 to this number have a task that
                                 crashes its workers: they are to fail */
  struct fkp_faults crashes;  /**< what such tasks and crashes are like */
};

/** What workers do with orders to start. */
enum
{
  TST_LATE_STARTS_LATE,
  TST_LATE_STARTS_TWICE,
  TST_LATE_STARTS_CLOSED,
  TST_LATE_STARTS_CLOSED_BUSY,
  TST_LATE_START_FAULTS
};
#define TST_LATE_WORKER_FAULTS 5
#define TST_LATE_LEADER_FAULTS 3
#define TST_LATE_OFFSETS 2

extern const struct tst_late_fault
    tst_late_start_faults[TST_LATE_START_FAULTS];
extern const struct tst_late_fault
    tst_late_worker_faults[TST_LATE_WORKER_FAULTS];
extern const struct tst_late_fault
    tst_late_leader_faults[TST_LATE_LEADER_FAULTS];
extern const struct tst_late_fault tst_late_restart_behind_cut;
/** When a second fault begins: while starts are unanswered, and when the
 * leader has given them up but some are still to be executed. */
extern const uint32_t tst_late_offsets_ms[TST_LATE_OFFSETS];

/** Returns the cluster of a play, for steps. */
struct tst_cluster *tst_late_cluster (struct tst_late_play *play);
/** Chooses the two workers with the most runs as the victims. */
void tst_late_choose_victims (struct tst_late_play *play);
/** Returns victim 0 or 1. */
struct fkp_worker *tst_late_victim (struct tst_late_play *play,
                                    uint32_t index);
void tst_late_kill_leader (struct tst_late_play *play);
/** Prepares the process; called once. */
void tst_late_setup (void);
/** Returns an empty table of struct tst_late_case. */
GArray *tst_late_cases (void);
void tst_late_add (GArray *cases, struct tst_late_case row);
/** Adds a fault with each of the @p others at each offset. */
void tst_late_add_with (GArray *cases, const struct tst_late_fault *first,
                        uint32_t first_ms, const struct tst_late_fault *others,
                        size_t count);
/** Plays and frees the cases. Prints those that fail, then fails the test. */
void tst_late_play_cases (GArray *cases);

#endif
