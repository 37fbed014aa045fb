/**
 * @file
 * Code shared by the fakes of the platform's services: JSON access, replies,
 * connections closed without an answer, the event journal, and the options and
 * main loop of a fake's program.
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

/** Parses a body as a JSON object; NULL if it is none. The caller releases the
 * result with json_object_put. */
struct json_object *fk_parse (struct cyc_str text);
/** Value of the integer member @p key, @p fallback if absent. */
int64_t fk_int (struct json_object *object, const char *key, int64_t fallback);
/** Value of the Boolean member @p key, @p fallback if absent. */
bool fk_bool (struct json_object *object, const char *key, bool fallback);
/** Text of the string member @p key, @p fallback if absent. */
const char *fk_text (struct json_object *object, const char *key,
                     const char *fallback);

void fk_reply_text (struct hs_server *hs, struct cyc_ref ref, uint32_t status,
                    struct cyc_str body);
/** Replies with @p json and takes ownership of it. */
void fk_reply_json (struct hs_server *hs, struct cyc_ref ref, uint32_t status,
                    struct json_object *json);
/** Replies with an error status and the body {"reason":REASON}. */
void fk_refuse (struct hs_server *hs, struct cyc_ref ref, uint32_t status,
                const char *reason);
/** Closes the caller's connection without an answer. Does nothing if the call
 * has ended. */
void fk_close_without_answer (struct hs_server *hs, struct cyc_ref ref,
                              struct MHD_Connection *connection);
/** Kernel cookie of the socket, which is never reused until the machine
 * reboots; 0 if unknown. Stores its descriptor in @p fd. */
uint64_t fk_connection_cookie (struct MHD_Connection *connection, int *fd);
/** Port that a server listens on; tells which one the kernel assigned to a
 * server set up with port 0. */
uint16_t fk_port (const struct hs_server *hs);

/** Journal of events in order, one JSON object per line. */
struct fk_journal
{
  GString *lines;
};
/** Appends @p event with "at_ms" (Unix time in milliseconds) added, and takes
 * ownership of it. */
void fk_journal_add (struct fk_journal *journal, struct json_object *event);

/** Command-line options and event loop of a fake's program. */
struct fk_program
{
  struct ev_loop *loop;
  uint16_t port;
  const char *file;
  const char *vms_file;
  int64_t service_ms;
};
/** Parses --port N, --file PATH, --vms PATH, --service-ms N and --help; false
 * if the program must exit because of --help or a wrong option. */
bool fk_program_start (struct fk_program *program, int argc, char **argv);
/** Prints "port=N" and runs the event loop until SIGTERM or SIGINT. */
void fk_program_run (struct fk_program *program, uint16_t port);

#endif
