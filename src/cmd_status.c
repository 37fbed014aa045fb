#include "cmd_ask.h"
#include "cmd_session.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
print_parts (const struct ask_round *round)
{
  int status = CMD_EXIT_DONE;

  for (uint32_t i = 0; i < round->count; i++)
    {
      const struct ask_part *part = &round->parts[i];
      const char *answer = part->answer != NULL ? part->answer : "";

      if (part->answer == NULL)
        status = CMD_EXIT_UNREACHABLE;
      printf ("%s %s %s %.*s%s%s\n", part->domain.data, part->vm.data,
              ask_role_word (part->role), (int)strcspn (answer, "\r\n"),
              answer, part->answer == NULL ? "not reached: " : "",
              part->answer == NULL ? part->note : "");
    }
  return status;
}

static int
run_status (const char *path)
{
  struct set_settings *settings = cmd_load_settings (path);
  struct ask_round *round;
  int status = CMD_EXIT_FAILED;

  if (settings == NULL)
    return CMD_EXIT_USAGE;
  round = ask_new (settings, ASK_ALL);
  if (round != NULL && ask_run (round, "/v1/status"))
    status = print_parts (round);
  ask_free (round);
  free (settings);
  return status;
}

int
cmd_status (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file
      = arg_file1 (NULL, "settings", "FILE", "settings of an entry VM");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, end };
  int errors = arg_parse (argc, argv, table);
  int status = CMD_EXIT_USAGE;

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum status");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      printf ("Prints one line for each process: domain, VM, role, status.\n"
              "Exit codes: 0 all answered; 3 at least one did not.\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "cyclamendrum status");
  else
    status = run_status (file->filename[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
