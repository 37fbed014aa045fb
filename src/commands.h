/**
 * @file
 * Subcommands of the binary: one function each, `cmd_*`, in cmd_*.c.
 *
 * A command gets argv with its own name as argv[0], parses it with argtable
 * and returns an exit code.
 */
#ifndef COMMANDS_H
#define COMMANDS_H

#include <cyclamendrum/base.h>

enum cmd_exit
{
  CMD_EXIT_DONE = 0,
  CMD_EXIT_FAILED = 1,
  CMD_EXIT_USAGE = 2,
  CMD_EXIT_UNREACHABLE = 3
};

struct cmd_item
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
};

int cmd_check (int argc, char **argv);
int cmd_burn (int argc, char **argv);
int cmd_replay (int argc, char **argv);
int cmd_publish (int argc, char **argv);
int cmd_key (int argc, char **argv);
int cmd_status (int argc, char **argv);
int cmd_scheduler (int argc, char **argv);
int cmd_gateway (int argc, char **argv);
int cmd_entry (int argc, char **argv);

/** Prints findings to standard error, one a line: "place: text". */
void cmd_print_findings (const struct cyc_findings *findings);

#endif
