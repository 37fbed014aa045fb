/**
 * @file
 * Commands whose only option is the settings of an entry VM: parses the
 * arguments, loads the settings and prints findings.
 *
 * @code
 * return cmd_with_settings (argc, argv,
 *                           &(struct cmd_settings_use){ .name = "status",
 *                                                       .run = run_status });
 * @endcode
 */
#ifndef CMD_SETTINGS_H
#define CMD_SETTINGS_H

#include "commands.h"
#include "settings.h"

struct cmd_settings_use
{
  const char *name;
  const char *notes; /**< printed after the options; may be NULL */
  /** Exit code of the command; @p settings lives during the call. */
  int (*run) (const struct set_settings *settings);
};

int cmd_with_settings (int argc, char **argv,
                       const struct cmd_settings_use *use);
/** Loads the settings, or prints the findings and returns NULL. The caller
 * releases the result with free(). */
struct set_settings *cmd_load_settings (const char *path);

#endif
