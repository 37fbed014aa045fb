#include "cmd_collect.h"
#include "cmd_session.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#define MAX_DIRECTORIES 256

struct publish
{
  const char *settings_path;
  const char **directories;
  int directory_count;
  bool delete_missing;
  struct set_settings *settings;
  struct cmd_session session;
  struct col_set files;
  struct col_edits edits;
  struct cyc_findings findings;
};

static int
append_change (struct publish *publish)
{
  struct cyc_id128 id;
  struct cyc_str record;
  int status;

  cyc_id128_random (&id);
  if (!cyc_rec_config (&id, cyc_name_str (&publish->settings->vm),
                       publish->edits.rows, publish->edits.count, &record))
    {
      fprintf (stderr, "publish: out of memory\n");
      return CMD_EXIT_FAILED;
    }
  if (record.len > CYC_RECORD_MAX_BYTES)
    {
      fprintf (
          stderr,
          "publish: the change has %zu bytes, more than the %d bytes of one "
          "record; publish fewer directories at a time\n",
          record.len, CYC_RECORD_MAX_BYTES);
      free ((void *)record.data);
      return CMD_EXIT_FAILED;
    }
  status = cmd_session_explain (
      &publish->session, cmd_session_append (&publish->session, &id, record),
      "publish");
  if (status != CMD_EXIT_DONE)
    return status;
  for (uint32_t i = 0; i < publish->edits.count; i++)
    printf ("%s %s\n", publish->edits.rows[i].deleted ? "deleted" : "changed",
            publish->edits.names[i]);
  printf ("accepted as version %" PRIu64 "\n", publish->session.offset + 1);
  return CMD_EXIT_DONE;
}

/* Reports the findings of the files even if the log cannot be reached. */
static int
compare_and_append (struct publish *publish)
{
  const struct cyc_ledger *led;

  if (!cmd_session_open (&publish->session, publish->settings,
                         &publish->findings)
      || !cmd_session_catch_up (&publish->session))
    {
      cmd_print_findings (&publish->findings);
      return publish->findings.count > 0 ? CMD_EXIT_USAGE
                                         : CMD_EXIT_UNREACHABLE;
    }
  led = ctl_ledger (&publish->session.ctl);
  col_check (&publish->files, led, publish->delete_missing,
             &publish->findings);
  if (publish->findings.count > 0)
    {
      cmd_print_findings (&publish->findings);
      fprintf (stderr, "publish: %u findings, nothing was published\n",
               publish->findings.count + publish->findings.dropped);
      return CMD_EXIT_USAGE;
    }
  if (!col_edits (&publish->files, led, publish->delete_missing,
                  &publish->edits))
    {
      fprintf (stderr, "publish: cannot read the current state\n");
      return CMD_EXIT_FAILED;
    }
  if (publish->edits.count == 0)
    {
      printf ("no changes\n");
      return CMD_EXIT_DONE;
    }
  return append_change (publish);
}

static int
run_publish (struct publish *publish)
{
  int status;

  publish->settings = cmd_load_settings (publish->settings_path);
  if (publish->settings == NULL)
    return CMD_EXIT_USAGE;
  for (int i = 0; i < publish->directory_count; i++)
    col_files (&publish->files, publish->directories[i], &publish->findings);
  status = compare_and_append (publish);
  cmd_session_close (&publish->session);
  col_release (&publish->files, &publish->edits);
  free (publish->settings);
  return status;
}

int
cmd_publish (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file
      = arg_file1 (NULL, "settings", "FILE", "settings of an entry VM");
  struct arg_lit *missing
      = arg_lit0 (NULL, "delete-missing", "delete items that have no file");
  struct arg_file *dirs
      = arg_filen (NULL, NULL, "DIR", 1, MAX_DIRECTORIES,
                   "searched for fleet.json, *.team.json, *.job.json");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, missing, dirs, end };
  int errors = arg_parse (argc, argv, table);
  struct publish *publish = calloc (1, sizeof *publish);
  int status = CMD_EXIT_USAGE;

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum publish");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      printf ("Exit codes: 0 published or no changes; 1 another operator's "
              "change came first;\n2 findings, nothing was published; 3 the "
              "log service cannot be reached.\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "cyclamendrum publish");
  else if (publish != NULL)
    {
      publish->settings_path = file->filename[0];
      publish->directories = dirs->filename;
      publish->directory_count = dirs->count;
      publish->delete_missing = missing->count > 0;
      status = run_publish (publish);
    }
  free (publish);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
