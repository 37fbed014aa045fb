/**
 * @file
 * An installation of real processes on loopback: two failure domains in two
 * regions with two entry VMs each, and fakes of the platform services. Each
 * entry VM runs a gateway and a scheduler.
 *
 * @code
 * if (tst_site_start (&site, "case") && tst_site_wait_serving (&site, 10000))
 *   tst_site_signal (&site, vm, TST_GATEWAY, SIGKILL);
 * tst_site_stop (&site);
 * @endcode
 *
 * Leases and timeouts are short, so that a takeover takes about a second.
 * Errors of the installation are added to the site's violations.
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

/** Process of an entry VM; an index into the arrays of struct tst_vm. */
enum tst_role
{
  TST_GATEWAY,
  TST_SCHEDULER
};

/** One entry VM. */
struct tst_vm
{
  char name[32];
  char domain[32];
  char region[32];
  uint32_t seat;
  /** Gateway HTTP and peer port, scheduler HTTP and peer port. */
  uint16_t ports[4];
  pid_t pids[2]; /**< by enum tst_role; 0: not running */
  /** By enum tst_role: set when the process starts or gets SIGCONT, cleared by
   * any other signal that the test sends. */
  bool expected_running[2];
};

struct tst_site
{
  const char *name;  /**< part of the directory's name */
  char bin_dir[512]; /**< directory of the programs under test */
  char dir[512]; /**< settings and logs; removed if there are no violations */
  struct tst_vm vms[TST_VMS];
  pid_t fakes[4];
  uint16_t log_port;
  uint16_t vm_list_port;
  uint16_t workers_port;
  uint16_t relay_port;     /**< control port of the relay, for link faults */
  uint16_t log_relay_port; /**< port through which domain 1 reaches the log */
  /** Port through which domain 1 reaches the VM list. */
  uint16_t vm_list_relay_port;
  /** Peer ports for use from the other domain, by enum tst_role. */
  uint16_t peer_relay_ports[TST_VMS][2];
  char alpha_key[96]; /**< API key of team alpha, which owns the services */
  char beta_key[96];  /**< API key of team beta, for batch and gang queues */
  uint32_t violation_count;
  char violations[TST_MAX_VIOLATIONS][256];
};

/** Starts all processes and publishes the configuration. Returns false on
 * failure; tst_site_stop is needed in either case. */
bool tst_site_start (struct tst_site *site, const char *name);
/** Kills all processes. With violations, the directory is kept and the journal
 * and the status of each process are saved to it. */
void tst_site_stop (struct tst_site *site);
/** Adds a violation; those beyond TST_MAX_VIOLATIONS are dropped. */
void tst_add_violation (struct tst_site *site, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Starts a process of a VM from its settings file. */
bool tst_site_start_process (struct tst_site *site, uint32_t vm,
                             enum tst_role role);
/** Sends a signal to a process. After SIGKILL it waits for the process to
 * end. */
void tst_site_signal (struct tst_site *site, uint32_t vm, enum tst_role role,
                      int signal);
/** Waits for a process to end. Returns its exit status, 128 if a signal ended
 * it, or -1 on timeout. */
int tst_site_wait_exit (struct tst_site *site, uint32_t vm, enum tst_role role,
                        uint64_t timeout_ms);
/** Runs a subcommand of cyclamendrum. @p out receives its standard output,
 * truncated to @p size_bytes and NUL-terminated; commands.log in the site's
 * directory is overwritten with its standard error. Returns the exit status,
 * 128 if a signal ended the command, or -1 if it could not be run. */
int tst_site_command (struct tst_site *site, const char *const *arguments,
                      char *out, size_t size_bytes);
/** Returns the index of a VM's domain. */
uint32_t tst_site_domain (uint32_t vm);
/** Writes the path of a VM's settings file to @p out and returns it. */
const char *tst_site_settings_path (const struct tst_site *site, uint32_t vm,
                                    char out[600]);

/** Sends a fault to the control port of a fake. */
void tst_site_set_fault (struct tst_site *site, uint16_t port,
                         const char *json);
/** Copies the current VM list of the workers fake to the VM list fake. */
void tst_site_sync_vms (struct tst_site *site);
/** Returns the VM that owns the domain according to the control stream, or -1.
 */
int tst_site_owner (struct tst_site *site, uint32_t domain);
/** Waits until the domain has an owner other than @p excluded_vm. */
bool tst_site_wait_owner (struct tst_site *site, uint32_t domain,
                          int excluded_vm, uint64_t timeout_ms);
/** Waits until every gateway that is expected to run answers requests to both
 * service queues. */
bool tst_site_wait_serving (struct tst_site *site, uint64_t timeout_ms);
/** Waits until every gateway of domain 1 that is expected to run reports the
 * log as reachable or not (@p log), and peer links to all gateways of the
 * other domain or to none (@p peers). */
bool tst_site_wait_paths (struct tst_site *site, bool log, bool peers,
                          uint64_t timeout_ms);
/** Submits a job to the queue and waits for it to end. @p state receives its
 * last known state, or an empty string. */
void tst_site_run_job (struct tst_site *site, const char *queue,
                       char state[32], uint64_t timeout_ms);
/** Returns the journal of the workers fake as JSON lines; release with free().
 */
char *tst_site_read_journal (struct tst_site *site);

#endif
