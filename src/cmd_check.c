#include "commands.h"
#include "entry_settings.h"
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

/* Checks the settings of an entry process and prints the values in effect. */
static int
check_entry (const char *path, struct cyc_findings *findings)
{
  struct ent_settings settings;

  if (!ent_settings_load (cyc_str_of (path), &settings, findings))
    {
      cmd_print_findings (findings);
      return CMD_EXIT_USAGE;
    }
  printf ("%s: no findings\n", path);
  printf ("vm=%s domain=%s region=%s log=%s parts=%u advisor=%s\n",
          settings.vm.data, settings.domain.data, settings.region.data,
          settings.log_address, settings.log_parts,
          settings.advisor_address[0] ? settings.advisor_address : "none");
  printf ("cpu=%u/1000 of %u cores, link=%u kbit/s, leases of %u ms,"
          " heartbeats of workers every %u ms, %u ms to stop\n",
          settings.cpu_permille, settings.cores, settings.link_kbps,
          settings.lease_ms, settings.heartbeat_ms, settings.grace_ms);
  return CMD_EXIT_DONE;
}

int
cmd_check (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_lit *entry
      = arg_lit0 (NULL, "entry", "the settings are of an entry process");
  struct arg_file *file = arg_file1 (NULL, NULL, "SETTINGS", "settings file");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, entry, file, end };
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
  else if (entry->count > 0)
    status = check_entry (file->filename[0], findings);
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
