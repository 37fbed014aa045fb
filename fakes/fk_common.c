#include "fk_common.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

struct json_object *
fk_parse (struct cyc_str text)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root
      = json_tokener_parse_ex (tokener, text.data, (int)text.len);

  if (root != NULL && !json_object_is_type (root, json_type_object))
    {
      json_object_put (root);
      root = NULL;
    }
  json_tokener_free (tokener);
  return root;
}

int64_t
fk_int (struct json_object *object, const char *key, int64_t fallback)
{
  struct json_object *value = json_object_object_get (object, key);

  return value != NULL ? json_object_get_int64 (value) : fallback;
}

bool
fk_bool (struct json_object *object, const char *key, bool fallback)
{
  struct json_object *value = json_object_object_get (object, key);

  return value != NULL ? json_object_get_boolean (value) : fallback;
}

const char *
fk_text (struct json_object *object, const char *key, const char *fallback)
{
  struct json_object *value = json_object_object_get (object, key);

  return value != NULL ? json_object_get_string (value) : fallback;
}

void
fk_reply_text (struct hs_server *hs, struct cyc_ref ref, uint32_t status,
               struct cyc_str body)
{
  hs_reply (hs, ref, &(struct hs_reply){ .status = status, .body = body });
}

void
fk_reply_json (struct hs_server *hs, struct cyc_ref ref, uint32_t status,
               struct json_object *json)
{
  const char *text
      = json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN);

  hs_reply (hs, ref,
            &(struct hs_reply){ .status = status,
                                .body = cyc_str_of (text),
                                .content_type = "application/json" });
  json_object_put (json);
}

void
fk_refuse (struct hs_server *hs, struct cyc_ref ref, uint32_t status,
           const char *reason)
{
  struct json_object *json = json_object_new_object ();

  json_object_object_add (json, "reason", json_object_new_string (reason));
  fk_reply_json (hs, ref, status, json);
}

void
fk_close_without_answer (struct hs_server *hs, struct cyc_ref ref,
                         struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info;

  if (!cyc_pool_live (&hs->pool, ref))
    return;
  info = MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info != NULL)
    shutdown (info->connect_fd, SHUT_RDWR);
  fk_reply_text (hs, ref, 500, CYC_STR (""));
}

uint64_t
fk_connection_cookie (struct MHD_Connection *connection, int *fd)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  uint64_t cookie = 0;
  socklen_t len = sizeof cookie;

  *fd = info != NULL ? info->connect_fd : -1;
  if (getsockopt (*fd, SOL_SOCKET, SO_COOKIE, &cookie, &len) != 0)
    return 0;
  return cookie;
}

uint16_t
fk_port (const struct hs_server *hs)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (hs->daemon, MHD_DAEMON_INFO_BIND_PORT);

  return info != NULL ? info->port : 0;
}

void
fk_journal_add (struct fk_journal *journal, struct json_object *event)
{
  if (journal->lines == NULL)
    journal->lines = g_string_new (NULL);
  json_object_object_add (event, "at_ms",
                          json_object_new_int64 ((int64_t)hc_wall_ms ()));
  g_string_append (journal->lines, json_object_to_json_string_ext (
                                       event, JSON_C_TO_STRING_PLAIN));
  g_string_append_c (journal->lines, '\n');
  json_object_put (event);
}

static void
on_stop (struct ev_loop *loop, struct ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

bool
fk_program_start (struct fk_program *program, int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this text");
  struct arg_int *port = arg_int0 (
      NULL, "port", "N", "port on 127.0.0.1; 0 or absent: any free port");
  struct arg_file *file
      = arg_file0 (NULL, "file", "PATH", "JSON file to load");
  struct arg_file *vms = arg_file0 (
      NULL, "vms", "PATH", "workers only: file to write the VM list to");
  struct arg_int *service = arg_int0 (NULL, "service-ms", "N",
                                      "workers only: duration of a request");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, port, file, vms, service, end };
  int errors = arg_parse (argc, argv, table);

  if (help->count > 0 || errors > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      return false;
    }
  program->loop = ev_default_loop (0);
  program->port = port->count > 0 ? (uint16_t)port->ival[0] : 0;
  program->file = file->count > 0 ? g_strdup (file->filename[0]) : NULL;
  program->vms_file = vms->count > 0 ? g_strdup (vms->filename[0]) : NULL;
  program->service_ms = service->count > 0 ? service->ival[0] : 0;
  arg_freetable (table, sizeof table / sizeof table[0]);
  return true;
}

void
fk_program_run (struct fk_program *program, uint16_t port)
{
  struct ev_signal term;
  struct ev_signal interrupt;

  ev_signal_init (&term, on_stop, SIGTERM);
  ev_signal_init (&interrupt, on_stop, SIGINT);
  ev_signal_start (program->loop, &term);
  ev_signal_start (program->loop, &interrupt);
  printf ("port=%u\n", port);
  fflush (stdout);
  ev_run (program->loop, 0);
}
