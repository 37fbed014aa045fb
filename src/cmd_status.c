#include "cmd_session.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_US 3000000
#define MAX_PARTS (SET_MAX_PEERS + 2)

struct status_part
{
  struct status_run *run;
  const char *vm;
  const char *domain;
  const char *role;
  struct set_address http; /* port 0: not in the settings */
  char *answer;            /* NULL: not reached */
};

struct status_run
{
  struct ev_loop *loop;
  struct hc_client client;
  struct set_settings *settings;
  struct status_part parts[MAX_PARTS];
  uint32_t part_count;
  uint32_t open;
};

static void
on_answer (void *user, const struct hc_result *result)
{
  struct status_part *part = user;

  if (result->status == 200)
    part->answer = strndup (result->body.data, result->body.len);
  if (--part->run->open == 0)
    ev_break (part->run->loop, EVBREAK_ALL);
}

static void
add_part (struct status_run *run, const struct cyc_name *vm,
          const struct cyc_name *domain, const char *role,
          const struct set_address *http)
{
  struct status_part *part = &run->parts[run->part_count++];

  *part = (struct status_part){ .run = run,
                                .vm = vm->data,
                                .domain = domain->data,
                                .role = role,
                                .http = *http };
}

static void
collect_parts (struct status_run *run)
{
  const struct set_settings *settings = run->settings;

  add_part (run, &settings->vm, &settings->domain, "gateway",
            &settings->gateway_http);
  add_part (run, &settings->vm, &settings->domain, "scheduler",
            &settings->scheduler_http);
  for (uint32_t i = 0; i < settings->peer_count; i++)
    {
      const struct set_peer *peer = &settings->peers[i];

      if (!cyc_name_eq (&peer->vm, &settings->vm))
        add_part (run, &peer->vm, &peer->domain,
                  peer->role == SET_ROLE_GATEWAY ? "gateway" : "scheduler",
                  &peer->http);
    }
}

static void
ask_parts (struct status_run *run)
{
  uint64_t deadline_us = hc_now_us () + ANSWER_US;

  for (uint32_t i = 0; i < run->part_count; i++)
    {
      struct status_part *part = &run->parts[i];
      char url[128];
      struct hc_request request = { .method = HC_GET,
                                    .deadline_us = deadline_us,
                                    .done = on_answer,
                                    .user = part };

      if (part->http.port == 0)
        continue;
      snprintf (url, sizeof url, "http://%s:%u/v1/status", part->http.host,
                part->http.port);
      request.url = cyc_str_of (url);
      run->open++;
      if (hc_send (&run->client, &request).generation == 0)
        run->open--;
    }
  if (run->open > 0)
    ev_run (run->loop, 0);
}

static int
print_parts (struct status_run *run)
{
  int status = CMD_EXIT_DONE;

  for (uint32_t i = 0; i < run->part_count; i++)
    {
      struct status_part *part = &run->parts[i];

      if (part->answer != NULL)
        {
          part->answer[strcspn (part->answer, "\r\n")] = '\0';
          printf ("%s %s %s %s\n", part->domain, part->vm, part->role,
                  part->answer);
        }
      else
        {
          printf ("%s %s %s %s\n", part->domain, part->vm, part->role,
                  part->http.port == 0 ? "not asked: no \"http\" in the peers"
                                       : "not reached");
          status = CMD_EXIT_UNREACHABLE;
        }
      free (part->answer);
    }
  return status;
}

static int
run_status (const char *path)
{
  struct status_run *run = calloc (1, sizeof *run);
  struct cyc_findings findings = { 0 };
  int status = CMD_EXIT_USAGE;

  if (run == NULL)
    return CMD_EXIT_FAILED;
  run->settings = cmd_load_settings (path);
  run->loop = ev_default_loop (0);
  if (run->settings != NULL
      && hc_setup (&run->client, &(struct hc_desc){ .loop = run->loop },
                   &findings))
    {
      collect_parts (run);
      ask_parts (run);
      status = print_parts (run);
      hc_shutdown (&run->client);
    }
  free (run->settings);
  free (run);
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
