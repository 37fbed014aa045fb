/**
 * @file
 * Settings of an entry VM's process: JSON with comments, validated whole.
 * Members that are not known are ignored, so that a newer file serves an
 * older binary.
 *
 * @code
 * if (!ent_settings_load (path, &settings, &found))
 *   cmd_print_findings (&found);
 * @endcode
 */
#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include "settings.h"

struct ent_settings
{
  struct cyc_name vm;
  struct cyc_name domain;
  struct cyc_name region;
  struct set_address callers;   /**< requests of callers */
  struct set_address readiness; /**< asked by the balancer */
  struct set_address peers;     /**< links between entry VMs */
  struct set_address metrics;   /**< port 0: none */
  char log_address[64];         /**< of the platform's log service */
  char advisor_address[64];     /**< empty: there is none */
  uint32_t cpu_permille;        /**< of a core that this VM has */
  uint32_t cores;               /**< how many times as fast the core is */
  uint32_t link_kbps;           /**< of its link */
  uint32_t log_parts;           /**< parts of a stream of the log */
  uint32_t lease_ms;            /**< longest lease that workers grant */
  uint32_t heartbeat_ms;        /**< gap between what workers say of
                                   themselves; 0: not known */
  uint32_t grace_ms;            /**< from SIGTERM to SIGKILL */
  bool log_info;                /**< log each decision */
};

bool ent_settings_load (struct cyc_str path, struct ent_settings *out,
                        struct cyc_findings *findings);
bool ent_settings_parse (struct cyc_str text, struct cyc_str place,
                         struct ent_settings *out,
                         struct cyc_findings *findings);

#endif
