/**
 * @file
 * Main function of the binary: runs the subcommand that the first argument
 * names.
 *
 * Exit codes: 0 done; 1 the command failed or was refused; 2 wrong usage or
 * invalid input files; 3 a required process or service cannot be reached.
 */
#include "commands.h"

#include <stdio.h>
#include <string.h>

static const struct cmd_item commands[] = {
  { "check", cmd_check, "check a settings file and report every finding" },
  { "publish", cmd_publish, "publish configuration files" },
  { "key", cmd_key, "grant or withdraw a key of a team" },
  { "status", cmd_status, "ask the gateways and schedulers for their state" },
  { "replay", cmd_replay, "replay a trace and check its expected outcomes" },
  { "burn", cmd_burn, "report remaining error budgets and burn rates" },
  { "scheduler", cmd_scheduler,
    "run a scheduler: place and start the work of a failure domain" },
  { "gateway", cmd_gateway, "run the gateway process of an entry VM" },
  { "entry", cmd_entry, "run the process of an entry VM on the platform" },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

static void
print_help (FILE *out)
{
  fprintf (out, "Usage: cyclamendrum COMMAND [OPTIONS]\n\nCommands:\n");
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    fprintf (out, "  %-12s %s\n", commands[i].name, commands[i].summary);
  fprintf (out, "\nEach command prints its options with --help.\n"
                "Exit codes: 0 done; 1 failed or refused; 2 wrong usage "
                "or invalid input;\n3 a required process or service cannot be "
                "reached.\n");
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_help (stderr);
      return CMD_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      print_help (stdout);
      return CMD_EXIT_DONE;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("cyclamendrum %s\n", CYC_VERSION);
      return CMD_EXIT_DONE;
    }
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "cyclamendrum: unknown command \"%s\"\n", argv[1]);
  print_help (stderr);
  return CMD_EXIT_USAGE;
}
