/**
 * @file
 * Sends one HTTP request to every process in the settings and waits for all
 * answers; used by `status` and `burn`.
 *
 * @code
 * struct ask_query *round = ask_new (settings, ASK_GATEWAYS);
 * if (ask_run (round, "/v1/status"))
 *   for (uint32_t i = 0; i < round->count; i++)
 *     use (&round->parts[i]);
 * ask_free (round);
 * @endcode
 */
#ifndef CMD_ASK_H
#define CMD_ASK_H

#include "http_client.h"
#include "settings.h"

#define ASK_MAX_PROCESSES (SET_MAX_PEERS + 2)

enum ask_roles
{
  ASK_GATEWAYS = 1,
  ASK_SCHEDULERS = 2,
  ASK_ALL = 3
};

struct ask_query;

struct ask_process
{
  struct ask_query *query;
  struct cyc_name vm;
  struct cyc_name domain;
  enum set_role role;
  struct set_address http;   /**< port 0: the settings give no address */
  char *answer;              /**< NUL-terminated; NULL if not reached */
  char unreached_reason[80]; /**< why it was not reached */
};

struct ask_query
{
  struct ev_loop *loop;
  struct hc_client client;
  struct ask_process processes[ASK_MAX_PROCESSES];
  uint32_t count;
  uint32_t open_requests;
};

/** Returns a query to the processes in the settings, this VM's and the peers',
 * or NULL if memory is out. The caller releases it with ask_free. */
struct ask_query *ask_new (const struct set_settings *settings,
                           enum ask_roles roles);
/** Sends `GET` @p path to each process and waits for all answers. Returns
 * false if the HTTP client could not be set up. */
bool ask_run (struct ask_query *query, const char *path);
void ask_free (struct ask_query *query);
const char *ask_role_name (enum set_role role);

#endif
