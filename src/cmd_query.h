/**
 * @file
 * Sends one HTTP request to every process in the settings and waits for all
 * answers; used by `status` and `burn`.
 *
 * @code
 * struct query *query = query_new (settings, QUERY_GATEWAYS);
 * if (query_run (query, "/v1/status"))
 *   for (uint32_t i = 0; i < query->count; i++)
 *     use (&query->processes[i]);
 * query_free (query);
 * @endcode
 */
#ifndef CMD_QUERY_H
#define CMD_QUERY_H

#include "http_client.h"
#include "settings.h"

#define QUERY_MAX_PROCESSES (SET_MAX_PEERS + 2)

enum query_roles
{
  QUERY_GATEWAYS = 1,
  QUERY_SCHEDULERS = 2,
  QUERY_ALL = 3
};

struct query;

struct query_process
{
  struct query *query;
  struct cyc_name vm;
  struct cyc_name domain;
  enum set_role role;
  struct set_address http;   /**< port 0: the settings give no address */
  char *answer;              /**< NUL-terminated; NULL if not reached */
  char unreached_reason[80]; /**< why it was not reached */
};

struct query
{
  struct ev_loop *loop;
  struct hc_client client;
  struct query_process processes[QUERY_MAX_PROCESSES];
  uint32_t count;
  uint32_t open_requests;
};

/** Returns a query to the processes in the settings, this VM's and the peers',
 * or NULL if out of memory. The caller releases it with query_free. */
struct query *query_new (const struct set_settings *settings,
                         enum query_roles roles);
/** Returns a query to entry processes by their addresses for operators, or
 * NULL if out of memory or an address is not "IP:PORT". */
struct query *query_entries (const char *const *addresses, uint32_t count);
/** Sends `GET` @p path to each process and waits for all answers. Returns
 * false if the HTTP client could not be set up. */
bool query_run (struct query *query, const char *path);
void query_free (struct query *query);
const char *query_role_name (enum set_role role);

#endif
