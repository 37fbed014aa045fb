#include "cmd_settings.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

struct set_settings *
cmd_load_settings (const char *path)
{
  struct set_settings *settings = calloc (1, sizeof *settings);
  struct cyc_findings *findings = calloc (1, sizeof *findings);
  bool loaded = settings != NULL && findings != NULL
                && set_load (cyc_str_of (path), settings, findings);

  if (!loaded)
    {
      if (findings != NULL)
        cmd_print_findings (findings);
      free (settings);
      settings = NULL;
    }
  free (findings);
  return settings;
}

static int
load_and_run (const char *path, const struct cmd_settings_use *use)
{
  struct set_settings *settings = cmd_load_settings (path);
  int status;

  if (settings == NULL)
    return CMD_EXIT_USAGE;
  status = use->run (settings);
  free (settings);
  return status;
}

int
cmd_with_settings (int argc, char **argv, const struct cmd_settings_use *use)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file
      = arg_file1 (NULL, "settings", "FILE", "settings of an entry VM");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, end };
  int status = CMD_EXIT_USAGE;
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum %s", use->name);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      if (use->notes != NULL)
        printf ("%s", use->notes);
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, argv[0]);
  else
    status = load_and_run (file->filename[0], use);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
