/**
 * @file
 * Typed configuration items: the fleet, teams and queues.
 *
 * Item bodies are JSON with comments. A parse function checks the whole body
 * and adds every defect to the findings with its JSON path; the result is
 * usable only when no finding was added.
 *
 * @code
 * struct cyc_queue_cfg queue;
 * struct cyc_findings found = { 0 };
 * cyc_cfg_parse_queue (body, CYC_STR ("kitchen.job.json"), &queue, &found);
 * if (found.count > 0)
 *   report (&found);
 * @endcode
 */
#ifndef CYCLAMENDRUM_CONFIG_H
#define CYCLAMENDRUM_CONFIG_H

#include <cyclamendrum/base.h>

#define CYC_MAX_REGIONS 16
#define CYC_MAX_DOMAINS 32
#define CYC_SHARE_TOTAL_PERMILLE 1000

enum cyc_queue_kind
{
  CYC_KIND_SERVICE = 0,
  CYC_KIND_BATCH = 1,
  CYC_KIND_GANG = 2
};

enum cyc_spread
{
  CYC_SPREAD_NONE = 0,
  CYC_SPREAD_RACK = 1,
  CYC_SPREAD_DOMAIN = 2
};

/** Amount of each resource. */
struct cyc_resources
{
  uint32_t millicores;
  uint32_t memory_mib;
  uint32_t accelerators;
};

/** A failure domain. */
struct cyc_domain_cfg
{
  struct cyc_name name;
  struct cyc_name region;
  uint32_t weight;      /**< in the division of team limits */
  uint32_t entry_seats; /**< number of entry VMs of the domain */
};

struct cyc_fleet_cfg
{
  uint32_t domain_count;
  struct cyc_domain_cfg domains[CYC_MAX_DOMAINS]; /**< sorted by name */
  struct cyc_resources largest_worker;
  uint32_t shards_per_domain;
};

/** A team with its share of the fleet and its limits over all domains. */
struct cyc_team_cfg
{
  struct cyc_name name;
  uint32_t share_permille;
  uint64_t limit_millicores;
  uint64_t limit_accelerators;
};

/** A queue: the kind, size and objectives of its tasks. */
struct cyc_queue_cfg
{
  struct cyc_name name;
  struct cyc_name team;
  enum cyc_queue_kind kind;
  enum cyc_spread spread;
  bool urgent;
  bool open;       /**< accepts work without a key */
  bool repeatable; /**< false: runs at most once */
  uint32_t tasks;  /**< service: replicas over the fleet; else per job */
  struct cyc_resources size;   /**< declared resources of one task */
  uint32_t run_s;              /**< declared run time; 0 for services */
  uint32_t answered_within_ms; /**< latency objective; 0 if none */
  uint32_t objective_permille; /**< part of answers within that time */
  uint32_t definite_permille;  /**< objective: part of requests whose
                                    outcome is not `unknown`; 0 if none */
};

/** Parse an item body into @p out. @p place, such as a file name, precedes the
 * JSON path of each finding. Return false if a finding was added. */
bool cyc_cfg_parse_fleet (struct cyc_str body, struct cyc_str place,
                          struct cyc_fleet_cfg *out,
                          struct cyc_findings *findings);
bool cyc_cfg_parse_team (struct cyc_str body, struct cyc_str place,
                         struct cyc_team_cfg *out,
                         struct cyc_findings *findings);
bool cyc_cfg_parse_queue (struct cyc_str body, struct cyc_str place,
                          struct cyc_queue_cfg *out,
                          struct cyc_findings *findings);

/** Returns the index of the domain, or -1 if the fleet has none of that name.
 */
int cyc_cfg_domain_index (const struct cyc_fleet_cfg *fleet,
                          struct cyc_str name);

/** All items of a configuration, for checks across items. */
struct cyc_cfg_set
{
  const struct cyc_fleet_cfg *fleet; /**< NULL if none */
  const struct cyc_team_cfg *teams;
  uint32_t team_count;
  const struct cyc_queue_cfg *queues;
  uint32_t queue_count;
};

/** Checks across items: there is a fleet if there are teams or queues, the
 * team of each queue exists, the shares add up to at most 1,000 permille, a
 * task fits the largest worker, and a task (or all tasks of a gang) fits the
 * team's limit. Returns false if a finding was added. */
bool cyc_cfg_check_set (const struct cyc_cfg_set *set,
                        struct cyc_findings *findings);

#endif
