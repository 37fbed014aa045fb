/**
 * @file
 * Collects the configuration files of directories and compares them with the
 * state of the control stream.
 *
 * Steps: col_files reads and checks every file, col_check adds the checks
 * across items with the current state, col_edits computes the changes.
 *
 * Errors: every defect is a finding with the file and the JSON path.
 */
#ifndef CMD_COLLECT_H
#define CMD_COLLECT_H

#include <cyclamendrum/ledger.h>
#include <cyclamendrum/record.h>

enum col_kind
{
  COL_FLEET,
  COL_TEAM,
  COL_QUEUE
};

/** One file. */
struct col_item
{
  enum col_kind kind;
  bool valid; /**< parsed without a finding */
  char *path;
  char *body;
  char name[80]; /**< "fleet", "team/NAME" or "queue/NAME"; "" if unknown */
  struct cyc_team_cfg team;
  struct cyc_queue_cfg queue;
};

struct col_set
{
  uint32_t count;
  uint32_t capacity;
  struct col_item *items;
  struct cyc_fleet_cfg fleet;
};

/** Edits of one ConfigChange, with the names and versions they refer to. */
struct col_edits
{
  uint32_t count;
  uint32_t capacity;
  struct cyc_config_edit *rows;
  char (*names)[80];
};

void col_files (struct col_set *set, const char *directory,
                struct cyc_findings *findings);
/** Finds duplicate names and checks all items together: those of the files,
 * and those of the current state that have no file unless @p delete_missing.
 */
void col_check (const struct col_set *set, const struct cyc_ledger *led,
                bool delete_missing, struct cyc_findings *findings);
/** Computes the edits that bring the current state to the files. Returns false
 * if memory is out. The bodies belong to @p set. */
bool col_edits (const struct col_set *set, const struct cyc_ledger *led,
                bool delete_missing, struct col_edits *out);
void col_release (struct col_set *set, struct col_edits *edits);

#endif
