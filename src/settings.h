/**
 * @file
 * Settings of an entry VM: JSON with comments, with all defects reported at
 * once.
 *
 * One table in settings.c lists every setting with its range and default; a
 * new setting needs one row there and one member here. Only settings hold
 * durations: a process turns them into deadlines when it uses them.
 *
 * @code
 * struct set_settings settings;
 * struct cyc_findings found = { 0 };
 * if (!set_load (path, &settings, &found))
 *   print (&found);
 * @endcode
 */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <cyclamendrum/base.h>

#define SET_MAX_PEERS 256
#define SET_URL_BYTES 160

enum set_role
{
  SET_ROLE_GATEWAY = 1,
  SET_ROLE_SCHEDULER = 2,
  SET_ROLE_ENTRY = 4
};

enum set_on_stale
{
  SET_ON_STALE_SERVE = 0,
  SET_ON_STALE_REFUSE = 1
};

/** "IP:PORT" split into its parts. */
struct set_address
{
  char host[48];
  uint16_t port;
};

struct set_peer
{
  struct cyc_name vm;
  struct cyc_name domain;
  struct cyc_name region;
  enum set_role role;
  struct set_address address; /**< of peer links */
  struct set_address http;    /**< for `status`; port 0 if unknown */
};

struct set_settings
{
  struct cyc_name vm;
  struct cyc_name domain;
  struct cyc_name region;
  uint32_t seat;
  struct set_address gateway_http;
  struct set_address gateway_peer;
  struct set_address scheduler_http;
  struct set_address scheduler_peer;
  char log_url[SET_URL_BYTES];
  char vm_list_url[SET_URL_BYTES];
  uint32_t peer_count;
  struct set_peer peers[SET_MAX_PEERS];
  bool log_debug;
  uint32_t key_stale_ms;
  uint32_t key_stale_max_ms;
  uint32_t on_stale_service; /**< enum set_on_stale */
  uint32_t on_stale_batch;
  uint32_t on_stale_gang;
  uint32_t on_stale_once;
  uint32_t claim_lease_ms;
  uint32_t task_lease_ms;
  uint32_t service_lease_ms;
  uint32_t worker_heartbeat_ms;
  uint32_t worker_silent_ms;
  uint32_t worker_timeout_ms;
  uint32_t vm_list_poll_ms;
  uint32_t tick_ms;
  uint32_t clock_error_ms;
  uint32_t peer_heartbeat_ms;
  uint32_t peer_silent_ms;
  uint32_t peer_dead_ms;
  uint32_t log_timeout_ms;
  uint32_t log_wait_ms;
  uint32_t flush_ms;
  uint32_t log_appends_per_s; /**< for all gateways of the installation */
  uint32_t once_window_ms;
  uint32_t answer_keep_ms;
  uint32_t drain_ms;
  uint32_t silent_ms;
  uint32_t permit_lease_ms;
  uint32_t request_max_ms; /**< deadline given to a request without one */
  uint32_t max_body_bytes;
  uint32_t max_waiting_per_team;
  uint32_t retry_permille;
  uint32_t snapshot_records;      /**< maximum between snapshots */
  char trace_file[SET_URL_BYTES]; /**< of the core's inputs; empty:
                                     none is recorded */
};

/** Reads and checks a file. Each finding is added with its file and JSON
 * path. */
bool set_load (struct cyc_str path, struct set_settings *out,
               struct cyc_findings *findings);
bool set_parse (struct cyc_str text, struct cyc_str place,
                struct set_settings *out, struct cyc_findings *findings);
/** Splits "IP:PORT"; the host must be a numeric IPv4 address. */
bool set_address_parse (struct cyc_str text, struct set_address *out);

#endif
