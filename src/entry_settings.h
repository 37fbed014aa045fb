/**
 * @file
 * Settings of the entry process, read from JSON with comments and validated as
 * a whole. Unknown members are ignored, so that an older binary accepts a
 * newer file.
 *
 * @code
 * if (!ent_settings_load (path, &settings, &found))
 *   cmd_print_findings (&found);
 * @endcode
 */
#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "settings.h"

#define SET_DOMAINS_MAX 64

struct ent_settings
{
  struct cyc_name vm;
  struct cyc_name domain;
  struct cyc_name region;
  struct set_address callers;   /**< listens for callers' requests */
  struct set_address readiness; /**< listens for the load balancer's
                                     readiness checks */
  struct set_address peers;     /**< listens for links from other entry VMs */
  struct set_address metrics;   /**< listens for metrics requests; port 0:
                                     disabled */
  char log_address[64];         /**< address of the platform's log service */
  char advisor_address[64];     /**< empty: no advisor */
  uint32_t cpu_permille;        /**< share of a core available to this VM */
  uint32_t cores;               /**< speed factor of that core */
  uint32_t link_kbps;           /**< bandwidth of this VM's network link */
  uint32_t log_parts;           /**< number of parts of each partitioned
                                     stream of the log */
  uint32_t log_record_bytes;    /**< longest record that the log takes */
  uint32_t log_request_bytes;   /**< the same of the records of one append */
  uint32_t lease_ms;            /**< longest lease that a leader asks for */
  uint32_t lease_max_ms;        /**< longest lease that workers grant */
  uint32_t heartbeat_ms;        /**< interval of the workers' heartbeats; 0
                                     if unknown */
  uint32_t grace_ms;            /**< time from SIGTERM to SIGKILL */
  uint32_t evacuation_max_ms;   /**< bound within which the workers of an
                                     evacuated failure domain get no starts; 0:
                                     none */
  uint32_t config_max_age_ms;   /**< bound within which a confirmed
                                     configuration is in force */
  struct cyc_name domains[SET_DOMAINS_MAX]; /**< the site's failure domains */
  uint32_t domain_count;                    /**< 0: not known */
  uint32_t memory_mb;                       /**< memory of the machine */
  uint32_t max_fds;            /**< file descriptors of a process */
  uint32_t callers_max;        /**< connections of callers; 0: by the memory
                                    and the descriptors */
  uint32_t bodies_max_kib;     /**< kept of unfinished requests; 0: by the
                                    memory */
  uint32_t request_timeout_ms; /**< from the head of a caller's request to its
                                    end */
  bool weigh_reservations;     /**< see struct cell_desc */
  bool learn_speeds; /**< place by the speed of workers, learned from their
                          tasks */
  bool log_info;     /**< log each decision */
};

bool ent_settings_load (struct cyc_str path, struct ent_settings *out,
                        struct cyc_findings *findings);
bool ent_settings_parse (struct cyc_str text, struct cyc_str place,
                         struct ent_settings *out,
                         struct cyc_findings *findings);

#endif
