/**
 * @file
 * Runs the operator commands as programs against running processes and checks
 * their exit codes and output. Guards against an invalid file that is
 * published in part, an API key that is stored in the log, and a status that
 * hides a process that is not reached.
 */
#include "tst_site.h"

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <glib.h>

#define SETTINGS "SETTINGS" /* replaced by the settings file of a VM */
#define CHANGE "CHANGE"     /* replaced by the directory that holds file */

struct command_case
{
  const char *name;
  const char *arguments[8];
  const char *file;       /* name of the only file in the directory CHANGE */
  const char *text;       /* content of that file */
  int status;             /* expected exit status */
  const char *printed[4]; /* expected parts of standard output or error */
};

#define TEAM(name, share)                                                     \
  "{\"team\":\"" name "\",\"share_permille\":" share                          \
  ",\"limit_millicores\":4000,\"limit_accelerators\":0}"
#define JOB(queue, team, tasks, millicores)                                   \
  "{\"queue\":\"" queue "\",\"team\":\"" team "\",\"kind\":\"gang\","         \
  "\"urgent\":false,\"open\":false,\"repeatable\":true,\"tasks\":" tasks      \
  ",\"millicores\":" millicores ",\"memory_mib\":64,\"accelerators\":0,"      \
  "\"run_s\":1,\"spread\":\"none\"}"

/* The cases run in order on one installation; later ones depend on earlier
   ones. */
static const struct command_case cases[] = {
  { "no command", { NULL }, NULL, NULL, 2, { "Usage" } },
  { "unknown command", { "plan" }, NULL, NULL, 2, { "unknown command" } },
  { "help", { "publish", "--help" }, NULL, NULL, 0, { "Exit codes" } },
  { "publish without directory",
    { "publish", "--settings", SETTINGS },
    NULL,
    NULL,
    2,
    { "DIR" } },
  { "publish without settings",
    { "publish", "--settings", "/nonexistent.json", CHANGE },
    "x.team.json",
    TEAM ("x", "1"),
    2,
    { "/nonexistent.json" } },
  { "several findings in one file",
    { "publish", "--settings", SETTINGS, CHANGE },
    "x.team.json",
    "{\"team\":\"Bad Name\",\"share_permille\":5000,\"limit_cores\":1}",
    2,
    { "x.team.json: $.team", "$.share_permille", "$.limit_cores" } },
  { "not JSON",
    { "publish", "--settings", SETTINGS, CHANGE },
    "x.job.json",
    "{\"queue\":",
    2,
    { "x.job.json" } },
  { "team of a queue does not exist",
    { "publish", "--settings", SETTINGS, CHANGE },
    "x.job.json",
    JOB ("x", "nobody", "1", "100"),
    2,
    { "x.job.json", "nobody" } },
  { "gang over the limit of its team",
    { "publish", "--settings", SETTINGS, CHANGE },
    "x.job.json",
    JOB ("x", "beta", "5", "1000"),
    2,
    { "x.job.json", "gang" } },
  { "task over the largest worker",
    { "publish", "--settings", SETTINGS, CHANGE },
    "x.job.json",
    JOB ("x", "beta", "1", "3000"),
    2,
    { "largest worker" } },
  { "shares over the whole",
    { "publish", "--settings", SETTINGS, CHANGE },
    "x.team.json",
    TEAM ("x", "200"),
    2,
    { "shares add up to 1100" } },
  { "valid change",
    { "publish", "--settings", SETTINGS, CHANGE },
    "x.team.json",
    TEAM ("x", "50"),
    0,
    { "changed team/x", "accepted as version" } },
  { "the same again",
    { "publish", "--settings", SETTINGS, CHANGE },
    "x.team.json",
    TEAM ("x", "50"),
    0,
    { "no changes" } },
  { "grant to an unknown team",
    { "key", "grant", "--settings", SETTINGS, "--team", "nobody" },
    NULL,
    NULL,
    1,
    { "no team \"nobody\"" } },
  { "withdraw an unknown key",
    { "key", "withdraw", "--settings", SETTINGS, "--digest",
      "0000000000000000000000000000000000000000000000000000000000000000" },
    NULL,
    NULL,
    1,
    { "no key" } },
  { "withdraw a malformed digest",
    { "key", "withdraw", "--settings", SETTINGS, "--digest", "12" },
    NULL,
    NULL,
    2,
    { "64 hex digits" } },
  { "status",
    { "status", "--settings", SETTINGS },
    NULL,
    NULL,
    0,
    { "north-a-1 gateway {", "south-a-2 scheduler {" } },
};

static void
write_change_file (const char *directory, const struct command_case *row)
{
  char path[800];

  g_mkdir_with_parents (directory, 0700);
  if (row->file == NULL)
    return;
  snprintf (path, sizeof path, "%s/%s", directory, row->file);
  g_file_set_contents (path, row->text, -1, NULL);
}

static void
run_case (struct tst_site *site, const struct command_case *row)
{
  const char *arguments[9] = { NULL };
  char settings[600];
  char directory[600];
  char log_path[600];
  char out[16384];
  gchar *errors = NULL;
  gchar *all;

  snprintf (directory, sizeof directory, "%s/change-%.40s", site->dir,
            row->name);
  write_change_file (directory, row);
  for (int i = 0; row->arguments[i] != NULL && i < 8; i++)
    if (strcmp (row->arguments[i], SETTINGS) == 0)
      arguments[i] = tst_site_settings_path (site, 0, settings);
    else
      arguments[i] = strcmp (row->arguments[i], CHANGE) == 0
                         ? directory
                         : row->arguments[i];
  assert_int_equal (tst_site_command (site, arguments, out, sizeof out),
                    row->status);
  snprintf (log_path, sizeof log_path, "%s/commands.log", site->dir);
  g_file_get_contents (log_path, &errors, NULL, NULL);
  all = g_strconcat (out, errors, NULL);
  for (int i = 0; i < 4 && row->printed[i] != NULL; i++)
    if (strstr (all, row->printed[i]) == NULL)
      fail_msg ("%s: \"%s\" is not in: %s", row->name, row->printed[i], all);
  g_free (errors);
  g_free (all);
}

static void
commands_report_what_they_did (void **state)
{
  struct tst_site *site = *state;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    run_case (site, &cases[i]);
}

/* Guards against an API key in the log: only its digest may be stored. */
static void
log_holds_no_key (void **state)
{
  struct tst_site *site = *state;
  char url[160];
  struct tst_answer answer;
  gchar **rows;

  snprintf (url, sizeof url,
            "http://127.0.0.1:%u/v1/streams/control/records?from=0&max=100000",
            site->log_port);
  tst_http (&(struct tst_call){ .url = url }, &answer);
  assert_int_equal (answer.status, 200);
  rows = g_strsplit (answer.body, "\"data\":\"", -1);
  assert_non_null (rows[0]);
  for (gsize i = 1; rows[i] != NULL; i++)
    {
      gsize len = 0;
      guchar *data;

      rows[i][strcspn (rows[i], "\"")] = '\0';
      data = g_base64_decode (rows[i], &len);
      assert_null (
          memmem (data, len, site->alpha_key, strlen (site->alpha_key)));
      g_free (data);
    }
  g_strfreev (rows);
  free (answer.body);
}

/* Guards against a status that does not name the processes it cannot reach. */
static void
status_names_what_it_cannot_reach (void **state)
{
  struct tst_site *site = *state;
  char settings[600];
  char out[16384];

  tst_site_signal (site, 2, TST_GATEWAY, SIGKILL);
  assert_int_equal (
      tst_site_command (site,
                        (const char *const[]){
                            "status", "--settings",
                            tst_site_settings_path (site, 0, settings), NULL },
                        out, sizeof out),
      3);
  assert_non_null (strstr (out, "south-a-1 gateway not reached"));
  assert_non_null (strstr (out, "south-a-2 gateway {"));
}

static int
start_site (void **state)
{
  struct tst_site *site = calloc (1, sizeof *site);

  *state = site;
  if (tst_site_start (site, "commands") && tst_site_wait_serving (site, 20000))
    return 0;
  for (uint32_t i = 0; i < site->violation_count; i++)
    print_error ("%s\n", site->violations[i]);
  tst_site_stop (site);
  return -1;
}

static int
stop_site (void **state)
{
  tst_site_stop (*state);
  free (*state);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (commands_report_what_they_did),
    cmocka_unit_test (log_holds_no_key),
    cmocka_unit_test (status_names_what_it_cannot_reach),
  };

  return cmocka_run_group_tests (tests, start_site, stop_site);
}
