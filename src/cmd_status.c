#include "cmd_query.h"
#include "cmd_settings.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
print_processes (const struct query *query)
{
  int status = CMD_EXIT_DONE;

  for (uint32_t i = 0; i < query->count; i++)
    {
      const struct query_process *process = &query->processes[i];
      const char *answer = process->answer != NULL ? process->answer : "";

      if (process->answer == NULL)
        status = CMD_EXIT_UNREACHABLE;
      printf ("%s %s %s %.*s%s%s\n", process->domain.data, process->vm.data,
              query_role_name (process->role), (int)strcspn (answer, "\r\n"),
              answer, process->answer == NULL ? "not reached: " : "",
              process->answer == NULL ? process->unreached_reason : "");
    }
  return status;
}

static int
query_processes (const struct set_settings *settings)
{
  struct query *query = query_new (settings, QUERY_ALL);
  int status = CMD_EXIT_FAILED;

  if (query != NULL && query_run (query, "/v1/status"))
    status = print_processes (query);
  query_free (query);
  return status;
}

/* Prints the state of entry processes: a line for the VM, and one for each
   evacuated failure domain. */
static int
print_entries (const char *const *addresses, uint32_t count)
{
  struct query *query = query_entries (addresses, count);
  int status = CMD_EXIT_DONE;

  if (query == NULL)
    {
      fprintf (stderr, "cyclamendrum status: --entry must be IP:PORT\n");
      return CMD_EXIT_USAGE;
    }
  if (!query_run (query, "/v1/status"))
    status = CMD_EXIT_FAILED;
  for (uint32_t i = 0; i < query->count; i++)
    {
      const struct query_process *process = &query->processes[i];

      if (process->answer != NULL)
        printf ("%s", process->answer);
      else
        {
          printf ("%s entry not reached: %s\n", process->vm.data,
                  process->unreached_reason);
          status = CMD_EXIT_UNREACHABLE;
        }
    }
  query_free (query);
  return status;
}

static int
run_status (const char *path)
{
  struct set_settings *settings = cmd_load_settings (path);
  int status;

  if (settings == NULL)
    return CMD_EXIT_USAGE;
  status = query_processes (settings);
  free (settings);
  return status;
}

int
cmd_status (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file = arg_file0 (NULL, "settings", "FILE",
                                     "settings of an entry VM: asks its "
                                     "gateways and schedulers");
  struct arg_str *entries
      = arg_strn (NULL, "entry", "IP:PORT", 0, QUERY_MAX_PROCESSES,
                  "metrics address of an entry process");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, entries, end };
  int status = CMD_EXIT_USAGE;
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum status");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      printf (
          "Prints one line for each process: domain, VM, role, status; for "
          "an entry process\nalso one for each evacuated failure domain.\n"
          "Exit codes: 0 all answered; 3 at least one did not.\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0 || (file->count > 0) == (entries->count > 0))
    {
      arg_print_errors (stderr, end, argv[0]);
      fprintf (stderr, "cyclamendrum status: give --settings or --entry\n");
    }
  else if (file->count > 0)
    status = run_status (file->filename[0]);
  else
    status = print_entries (entries->sval, (uint32_t)entries->count);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
