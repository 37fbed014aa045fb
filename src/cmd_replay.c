#include "commands.h"
#include "replay.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

static int
run_replay (const char *path)
{
  struct rp_replay replay;
  struct cyc_findings *findings = calloc (1, sizeof *findings);
  int status = CMD_EXIT_FAILED;

  if (findings == NULL || !rp_open (&replay, findings))
    {
      free (findings);
      return CMD_EXIT_FAILED;
    }
  if (rp_file (&replay, path, findings))
    status = CMD_EXIT_DONE;
  else
    cmd_print_findings (findings);
  printf ("%s: %" PRIu64 " lines, %" PRIu64 " setups, %" PRIu64
          " ticks, %" PRIu64 " decisions, %" PRIu64
          " mismatching ticks, %" PRIu64 " expected outcomes checked\n",
          path, replay.lines, replay.setups, replay.progress.ticks,
          replay.progress.decisions, replay.progress.mismatches,
          replay.expectations);
  rp_close (&replay);
  free (findings);
  return status;
}

int
cmd_replay (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file = arg_file1 (NULL, NULL, "TRACE", "recorded trace");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, end };
  int errors = arg_parse (argc, argv, table);
  int status = CMD_EXIT_USAGE;

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum replay");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      printf ("Exit codes: 0 all expected outcomes were met; 1 findings.\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "cyclamendrum replay");
  else
    status = run_replay (file->filename[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
