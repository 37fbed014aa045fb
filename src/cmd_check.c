#include "commands.h"
#include "settings.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

void
cmd_print_findings (const struct cyc_findings *findings)
{
  for (uint32_t i = 0; i < findings->count; i++)
    fprintf (stderr, "%s: %s\n", findings->rows[i].place,
             findings->rows[i].text);
  if (findings->dropped > 0)
    fprintf (stderr, "and %u more\n", findings->dropped);
}

int
cmd_check (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file = arg_file1 (NULL, NULL, "SETTINGS", "settings file");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, end };
  struct set_settings *settings = calloc (1, sizeof *settings);
  struct cyc_findings *findings = calloc (1, sizeof *findings);
  int status = CMD_EXIT_USAGE;
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum check");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "cyclamendrum check");
  else if (set_load (cyc_str_of (file->filename[0]), settings, findings))
    {
      printf ("%s: no findings\n", file->filename[0]);
      status = CMD_EXIT_DONE;
    }
  else
    cmd_print_findings (findings);
  free (settings);
  free (findings);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
