/**
 * @file
 * A small installation of real processes on loopback: two failure domains in
 * two regions with two entry VMs each, and the fakes of the platform.
 *
 * @code
 * if (tst_site_start (&site, "case") && tst_site_wait_serving (&site, 10000))
 *   tst_site_signal (&site, vm, TST_GATEWAY, SIGKILL);
 * tst_site_stop (&site);
 * @endcode
 *
 * Settings are short, so that a takeover takes about a second.
 */
#ifndef TST_SITE_H
#define TST_SITE_H

#include "tst_http.h"

#include <stdio.h>
#include <sys/types.h>

#define TST_VMS 4
#define TST_DOMAINS 2
#define TST_WORKERS_PER_DOMAIN 4
#define TST_MAX_VIOLATIONS 64
#define TST_BETA_LIMIT_MILLICORES 4000

enum tst_role
{
  TST_GATEWAY,
  TST_SCHEDULER
};

struct tst_vm
{
  char name[32];
  char domain[32];
  char region[32];
  uint32_t seat;
  uint16_t ports[4];        /**< gateway http, peer; scheduler http, peer */
  pid_t pids[2];            /**< by enum tst_role; 0: not running */
  bool expected_running[2]; /**< expected to run and not paused */
};

struct tst_site
{
  const char *name;
  char bin_dir[512]; /**< directory of the programs */
  char dir[512];     /**< settings, logs; removed when nothing went wrong */
  struct tst_vm vms[TST_VMS];
  pid_t fakes[4];
  uint16_t log_port;
  uint16_t vm_list_port;
  uint16_t workers_port;
  uint16_t relay_port;         /**< takes the faults of links */
  uint16_t log_relay_port;     /**< port of the log for domain 1 */
  uint16_t vm_list_relay_port; /**< port of the VM list for domain 1 */
  uint16_t peer_relay_ports[TST_VMS]
                           [2]; /**< peer ports for the other domain */
  char alpha_key[96];           /**< team of the services */
  char beta_key[96];            /**< team of batch and gang work */
  uint32_t violation_count;
  char violations[TST_MAX_VIOLATIONS][256];
};

bool tst_site_start (struct tst_site *site, const char *name);
/** Ends all processes; keeps the directory when there are violations. */
void tst_site_stop (struct tst_site *site);
void tst_add_violation (struct tst_site *site, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

bool tst_site_start_process (struct tst_site *site, uint32_t vm,
                             enum tst_role role);
void tst_site_signal (struct tst_site *site, uint32_t vm, enum tst_role role,
                      int signal);
/** Waits until the process has ended; its exit status, -1 on timeout. */
int tst_site_wait_exit (struct tst_site *site, uint32_t vm, enum tst_role role,
                        uint64_t timeout_ms);
/** Runs a subcommand; standard output up to @p room bytes, standard error to
 * commands.log of the directory. Exit status. */
int tst_site_command (struct tst_site *site, const char *const *arguments,
                      char *out, size_t size_bytes);
/** Domain of a VM. */
uint32_t tst_site_domain (uint32_t vm);
/** Settings file of a VM. */
const char *tst_site_settings_path (const struct tst_site *site, uint32_t vm,
                                    char out[600]);

void tst_site_set_fault (struct tst_site *site, uint16_t port,
                         const char *json);
/** Shows the workers' present list in the VM list fake. */
void tst_site_sync_vms (struct tst_site *site);
/** VM that owns the domain by the control stream, or -1. */
int tst_site_owner (struct tst_site *site, uint32_t domain);
/** Waits until the domain has an owner other than @p excluded_vm. */
bool tst_site_wait_owner (struct tst_site *site, uint32_t domain,
                          int excluded_vm, uint64_t timeout_ms);
/** Waits until every gateway that should run answers both services. */
bool tst_site_wait_serving (struct tst_site *site, uint64_t timeout_ms);
/** Waits until all gateways of domain 1 that should run report the log as
 * reachable or not (@p log) and hold links to all gateways of the other domain
 * or to none (@p peers). */
bool tst_site_wait_paths (struct tst_site *site, bool log, bool peers,
                          uint64_t timeout_ms);
/** Submits a job of the queue and waits for its end; the last state. */
void tst_site_run_job (struct tst_site *site, const char *queue,
                       char state[32], uint64_t timeout_ms);
char *tst_site_read_journal (struct tst_site *site);

#endif
