#include "burn_report.h"
#include "cmd_query.h"
#include "cmd_settings.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

static bool
add_answers (struct br_report *report, const struct query *query)
{
  bool all_answered = true;

  for (uint32_t i = 0; i < query->count; i++)
    {
      const struct query_process *process = &query->processes[i];
      struct cyc_findings findings = { 0 };
      char name[CYC_NAME_MAX_BYTES + 1];

      snprintf (name, sizeof name, "%.40s/%s", process->vm.data,
                query_role_name (process->role));
      if (process->answer == NULL)
        br_add_unreached (report, cyc_str_of (name),
                          cyc_str_of (process->unreached_reason));
      else if (!br_add (report, cyc_str_of (name),
                        cyc_str_of (process->answer), hc_wall_ms (),
                        &findings))
        br_add_unreached (report, cyc_str_of (name),
                          CYC_STR ("its answer is not a report"));
      else
        continue;
      all_answered = false;
    }
  return all_answered;
}

static int
run_burn (const char *path, enum br_format format)
{
  struct set_settings *settings = cmd_load_settings (path);
  struct query *query;
  struct br_report report;
  struct cyc_findings findings = { 0 };
  int status = CMD_EXIT_FAILED;

  if (settings == NULL)
    return CMD_EXIT_USAGE;
  query = query_new (settings, QUERY_ALL);
  if (query != NULL && br_setup (&report, &(struct br_desc){ 0 }, &findings))
    {
      if (query_run (query, "/v1/objectives"))
        {
          status = add_answers (&report, query) ? CMD_EXIT_DONE
                                                : CMD_EXIT_UNREACHABLE;
          br_print (&report, format, stdout);
        }
      br_shutdown (&report);
    }
  query_free (query);
  free (settings);
  return status;
}

int
cmd_burn (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON for machines");
  struct arg_file *file
      = arg_file1 (NULL, "settings", "FILE", "settings of an entry VM");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, json, file, end };
  int errors = arg_parse (argc, argv, table);
  int status = CMD_EXIT_USAGE;

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum burn");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      printf ("Prints, for each objective of a queue, the remaining error "
              "budget and the burn\nrate over 5 and 60 minutes. Exit codes: 0 "
              "all processes "
              "answered; 3 at least\none did not and is named.\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "cyclamendrum burn");
  else
    status
        = run_burn (file->filename[0], json->count > 0 ? BR_JSON : BR_TABLE);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
