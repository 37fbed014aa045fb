/**
 * @file
 * Parts shared by the fakes: JSON access, replies, dropped connections, the
 * journal and the main loop of a fake's program.
 *
 * @code
 * struct fk_program program = { 0 };
 * if (!fk_program_start (&program, argc, argv))
 *   return 2;
 * fk_program_run (&program, port);
 * @endcode
 */
#ifndef FK_COMMON_H
#define FK_COMMON_H

#include "http_client.h"
#include "http_server.h"

#include <glib.h>
#include <json-c/json.h>

/** Parsed JSON object of a body, or NULL; release with json_object_put. */
struct json_object *fk_parse (struct cyc_str text);
int64_t fk_int (struct json_object *object, const char *key, int64_t fallback);
bool fk_bool (struct json_object *object, const char *key, bool fallback);
/** Text of a string member, @p fallback when absent. */
const char *fk_text (struct json_object *object, const char *key,
                     const char *fallback);

void fk_reply_text (struct hs_server *hs, struct cyc_ref ref, uint32_t status,
                    struct cyc_str body);
/** Takes over @p json. */
void fk_reply_json (struct hs_server *hs, struct cyc_ref ref, uint32_t status,
                    struct json_object *json);
/** Reply {"reason":REASON}. */
void fk_refuse (struct hs_server *hs, struct cyc_ref ref, uint32_t status,
                const char *reason);
/** Closes the caller's connection without an answer. */
void fk_close_without_answer (struct hs_server *hs, struct cyc_ref ref,
                              struct MHD_Connection *connection);
/** Number that names the connection for the life of this machine. */
uint64_t fk_connection_cookie (struct MHD_Connection *connection, int *fd);
/** Port that a server listens on; for servers set up with port 0. */
uint16_t fk_port (const struct hs_server *hs);

/** Journal of events: one JSON object a line, in order. */
struct fk_journal
{
  GString *lines;
};
/** Takes over @p event and adds "at_ms" (Unix milliseconds). */
void fk_journal_add (struct fk_journal *journal, struct json_object *event);

/** Options and loop of a fake's program. */
struct fk_program
{
  struct ev_loop *loop;
  uint16_t port;
  const char *file;
  const char *vms_file;
  int64_t service_ms;
};
/** Options: --port N, --file PATH, --vms PATH, --service-ms N, --help. */
bool fk_program_start (struct fk_program *program, int argc, char **argv);
/** Prints "port=N" and runs until SIGTERM or SIGINT. */
void fk_program_run (struct fk_program *program, uint16_t port);

#endif
