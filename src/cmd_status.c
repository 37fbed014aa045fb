#include "cmd_query.h"
#include "cmd_settings.h"

#include <stdio.h>
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
run_status (const struct set_settings *settings)
{
  struct query *query = query_new (settings, QUERY_ALL);
  int status = CMD_EXIT_FAILED;

  if (query != NULL && query_run (query, "/v1/status"))
    status = print_processes (query);
  query_free (query);
  return status;
}

int
cmd_status (int argc, char **argv)
{
  return cmd_with_settings (
      argc, argv,
      &(struct cmd_settings_use){
          .name = "status",
          .notes = "Prints one line for each process: domain, VM, role, "
                   "status.\nExit codes: 0 all answered; 3 at least one did "
                   "not.\n",
          .run = run_status });
}
