#include "cmd_session.h"

#include <cyclamendrum/record.h>

#include <argtable2.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_RANDOM_BYTES 32
#define KEY_TEXT_BYTES 64
#define KEY_MAX_BYTES 256
#define DIGEST_HEX_BYTES 64

struct key_options
{
  const char *settings;
  const char *team;
  const char *digest;
  const char *key_file;
};

static void
digest_hex (const struct cyc_digest *digest, char out[DIGEST_HEX_BYTES + 1])
{
  sodium_bin2hex (out, DIGEST_HEX_BYTES + 1, digest->bytes,
                  sizeof digest->bytes);
}

static bool
digest_parse (const char *text, struct cyc_digest *out)
{
  size_t len = 0;

  if (strlen (text) == DIGEST_HEX_BYTES
      && sodium_hex2bin (out->bytes, sizeof out->bytes, text, DIGEST_HEX_BYTES,
                         NULL, &len, NULL)
             == 0
      && len == sizeof out->bytes)
    return true;
  fprintf (stderr, "--digest must have 64 hex digits\n");
  return false;
}

/* Reads the key from a file, "-" for standard input, so that it does not
   appear in the list of processes. */
static bool
digest_of_file (const char *path, struct cyc_digest *out)
{
  char key[KEY_MAX_BYTES];
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  bool read = file != NULL && fgets (key, sizeof key, file) != NULL;

  if (file != NULL && file != stdin)
    fclose (file);
  if (!read)
    {
      fprintf (stderr, "cannot read a key from %s\n", path);
      return false;
    }
  key[strcspn (key, "\r\n")] = '\0';
  cyc_digest_of (cyc_str_of (key), out);
  sodium_memzero (key, sizeof key);
  return true;
}

static void
generate_key (char out[KEY_TEXT_BYTES])
{
  uint8_t random[KEY_RANDOM_BYTES];

  randombytes_buf (random, sizeof random);
  sodium_bin2base64 (out, KEY_TEXT_BYTES, random, sizeof random,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  sodium_memzero (random, sizeof random);
}

static int
append_grant (struct cmd_session *session, const struct set_settings *settings,
              const struct key_options *options,
              const struct cyc_digest *digest)
{
  const struct cyc_ledger *led = ctl_ledger (&session->ctl);
  struct cyc_id128 id;
  struct cyc_str record;

  if (cyc_led_team (led, cyc_str_of (options->team)) == NULL)
    {
      fprintf (stderr, "key grant: there is no team \"%s\"\n", options->team);
      return CMD_EXIT_FAILED;
    }
  cyc_id128_random (&id);
  if (!cyc_rec_key_grant (&id, cyc_name_str (&settings->vm), digest,
                          cyc_str_of (options->team),
                          cyc_led_key_version (led, digest), &record))
    return CMD_EXIT_FAILED;
  return cmd_session_explain (
      session, cmd_session_append (session, &id, record), "key grant");
}

static int
grant (struct cmd_session *session, const struct set_settings *settings,
       const struct key_options *options)
{
  char key[KEY_TEXT_BYTES] = "";
  char hex[DIGEST_HEX_BYTES + 1];
  struct cyc_digest digest;
  int status;

  if (options->digest != NULL)
    {
      if (!digest_parse (options->digest, &digest))
        return CMD_EXIT_USAGE;
    }
  else
    {
      generate_key (key);
      cyc_digest_of (cyc_str_of (key), &digest);
    }
  digest_hex (&digest, hex);
  status = append_grant (session, settings, options, &digest);
  if (status == CMD_EXIT_DONE)
    {
      if (*key != '\0')
        printf ("%s\n", key);
      fprintf (stderr, "granted to team %s, digest %s\n", options->team, hex);
    }
  else if (status == CMD_EXIT_UNREACHABLE)
    fprintf (stderr, "the new key was discarded; digest %s\n", hex);
  sodium_memzero (key, sizeof key);
  return status;
}

static int
withdraw (struct cmd_session *session, const struct set_settings *settings,
          const struct key_options *options)
{
  struct cyc_digest digest;
  struct cyc_name team;
  struct cyc_id128 id;
  struct cyc_str record;
  char hex[DIGEST_HEX_BYTES + 1];
  int status;

  if (options->digest != NULL ? !digest_parse (options->digest, &digest)
                              : !digest_of_file (options->key_file, &digest))
    return CMD_EXIT_USAGE;
  digest_hex (&digest, hex);
  switch (cyc_led_key (ctl_ledger (&session->ctl), &digest, &team))
    {
    case CYC_KEY_UNKNOWN:
      fprintf (stderr, "key withdraw: no key with digest %s\n", hex);
      return CMD_EXIT_FAILED;
    case CYC_KEY_WITHDRAWN:
      printf ("was already withdrawn, digest %s\n", hex);
      return CMD_EXIT_DONE;
    default:
      break;
    }
  cyc_id128_random (&id);
  if (!cyc_rec_key_withdraw (&id, cyc_name_str (&settings->vm), &digest,
                             &record))
    return CMD_EXIT_FAILED;
  status = cmd_session_explain (
      session, cmd_session_append (session, &id, record), "key withdraw");
  if (status == CMD_EXIT_DONE)
    printf ("withdrawn from team %s, digest %s\n", team.data, hex);
  return status;
}

static int
run_key (const struct key_options *options,
         int (*action) (struct cmd_session *, const struct set_settings *,
                        const struct key_options *))
{
  struct set_settings *settings = cmd_load_settings (options->settings);
  struct cyc_findings findings = { 0 };
  struct cmd_session *session;
  int status = CMD_EXIT_FAILED;

  if (settings == NULL)
    return CMD_EXIT_USAGE;
  session = calloc (1, sizeof *session);
  if (session == NULL || sodium_init () < 0
      || !cmd_session_open (session, settings, &findings))
    cmd_print_findings (&findings);
  else if (!cmd_session_catch_up (session))
    status = CMD_EXIT_UNREACHABLE;
  else
    status = action (session, settings, options);
  if (session != NULL)
    cmd_session_close (session);
  free (session);
  free (settings);
  return status;
}

static int
cmd_key_grant (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file
      = arg_file1 (NULL, "settings", "FILE", "settings of an entry VM");
  struct arg_str *team = arg_str1 (NULL, "team", "TEAM", "team of the key");
  struct arg_str *digest
      = arg_str0 (NULL, "digest", "HEX",
                  "grant a withdrawn key again instead of a new one");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, team, digest, end };
  int errors = arg_parse (argc, argv, table);
  int status = CMD_EXIT_USAGE;

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum key grant");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      printf ("Prints the new key once; the log holds only its digest.\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "cyclamendrum key grant");
  else
    status = run_key (
        &(struct key_options){
            .settings = file->filename[0],
            .team = team->sval[0],
            .digest = digest->count > 0 ? digest->sval[0] : NULL,
        },
        grant);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

static int
cmd_key_withdraw (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_file *file
      = arg_file1 (NULL, "settings", "FILE", "settings of an entry VM");
  struct arg_str *digest
      = arg_str0 (NULL, "digest", "HEX", "digest of the key");
  struct arg_file *key = arg_file0 (NULL, "key-file", "FILE",
                                    "file with the key; default - (stdin)");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, file, digest, key, end };
  int errors = arg_parse (argc, argv, table);
  int status = CMD_EXIT_USAGE;

  if (help->count > 0)
    {
      printf ("Usage: cyclamendrum key withdraw");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      status = CMD_EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "cyclamendrum key withdraw");
  else
    status = run_key (
        &(struct key_options){
            .settings = file->filename[0],
            .digest = digest->count > 0 ? digest->sval[0] : NULL,
            .key_file = key->count > 0 ? key->filename[0] : "-",
        },
        withdraw);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

int
cmd_key (int argc, char **argv)
{
  if (argc > 1 && strcmp (argv[1], "grant") == 0)
    return cmd_key_grant (argc - 1, argv + 1);
  if (argc > 1 && strcmp (argv[1], "withdraw") == 0)
    return cmd_key_withdraw (argc - 1, argv + 1);
  fprintf (argc > 1 && strcmp (argv[1], "--help") == 0 ? stdout : stderr,
           "Usage: cyclamendrum key grant|withdraw [OPTIONS]\n");
  return argc > 1 && strcmp (argv[1], "--help") == 0 ? CMD_EXIT_DONE
                                                     : CMD_EXIT_USAGE;
}
