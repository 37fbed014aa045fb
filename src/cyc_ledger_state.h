/**
 * @file
 * Private state of the ledger. Each kind of record body is applied in a file
 * of its own: cyc_ledger_config.c, _keys.c, _claims.c, _allotments.c
 * (transfers) and _gather.c (snapshot chunks). cyc_ledger_snapshot.c encodes
 * and loads the whole state.
 *
 * Configuration and claims are sorted arrays, which the canonical encoding
 * writes in order; keys are sorted when encoded. The configuration has a spare
 * copy of the same size: a change is built there, and the two copies are
 * swapped when it is accepted.
 */
#ifndef CYC_LEDGER_STATE_H
#define CYC_LEDGER_STATE_H

#include "cyc_codec.h"
#include "cyc_index.h"

#include <cyclamendrum/ledger.h>

#define LED_MAX_CLAIMS 1024

/** A configuration item. A deleted item keeps its row and version, so that a
 * change based on an earlier version is refused. */
struct led_item
{
  struct cyc_name name; /**< "fleet", "team/NAME", "queue/NAME" */
  struct cyc_name writer;
  uint64_t version;
  bool deleted;
  char *body; /**< NUL-terminated; NULL when deleted */
};

/** Balances of one team. */
struct led_balances
{
  struct cyc_balance by_domain[CYC_MAX_DOMAINS]; /**< in fleet order */
};

/** Configuration: the items and their parsed form. */
struct led_config
{
  struct led_item *items; /**< sorted by name */
  uint32_t item_count;
  bool has_fleet;
  struct cyc_fleet_cfg fleet;
  struct cyc_team_cfg *teams; /**< sorted by name */
  uint32_t team_count;
  struct led_balances *balances; /**< same positions as teams */
  struct cyc_queue_cfg *queues;  /**< sorted by name */
  uint32_t queue_count;
};

struct led_key
{
  struct cyc_digest digest;
  struct cyc_name team;
  uint64_t version;
  bool withdrawn;
};

/** Ring of the newest record ids, in the order of their first appearance. */
struct led_recent_ids
{
  struct cyc_id128 *ids;
  uint32_t capacity;
  uint32_t first;
  uint32_t count;
  struct cyc_ix index; /**< record id -> position in the ring */
};

struct cyc_led_state
{
  struct cyc_led_desc desc;
  uint32_t max_items;
  uint64_t next_offset;
  bool complete;
  uint64_t config_version;
  struct led_config config;
  struct led_config spare;
  struct cyc_ix item_index;
  struct cyc_ix team_index;
  struct cyc_ix queue_index;
  struct led_key *keys; /**< unsorted */
  uint32_t key_count;
  struct cyc_ix key_index;
  struct cyc_claim claims[LED_MAX_CLAIMS]; /**< sorted by domain, shard */
  uint32_t claim_count;
  struct led_recent_ids recent_ids;
  struct cyc_led_assembler assembler; /**< of chunks in applied records */
  uint64_t snapshot_upto_offset;
};

struct cyc_led_state *led_state_new (const struct cyc_led_desc *desc);
void led_state_free (struct cyc_led_state *state);

/** Sets the result to CYC_LED_REFUSED with a formatted reason. */
void led_refuse (struct cyc_led_effect *effect, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

bool led_recent_ids_setup (struct led_recent_ids *recent_ids,
                           uint32_t capacity,
                           const struct cyc_allocator *allocator);
void led_recent_ids_shutdown (struct led_recent_ids *recent_ids,
                              const struct cyc_allocator *allocator);
bool led_recent_ids_contain (const struct led_recent_ids *recent_ids,
                             const struct cyc_id128 *id);
void led_recent_ids_add (struct led_recent_ids *recent_ids,
                         const struct cyc_id128 *id);

/* Configuration. */
struct led_parsed_name
{
  bool fleet;
  struct cyc_str team;  /**< empty unless "team/NAME" */
  struct cyc_str queue; /**< empty unless "queue/NAME" */
};
/** Returns false if @p name is not the name of an item. */
bool led_item_name_parse (struct cyc_str name, struct led_parsed_name *out);
/** Returns the item, which may be deleted, or NULL if there is none. */
const struct led_item *led_item_find (const struct cyc_led_state *state,
                                      struct cyc_str name);
void led_apply_config (struct cyc_led_state *state, uint64_t offset,
                       const Cyc__ConfigChange *change, struct cyc_str writer,
                       struct cyc_led_effect *effect);
/** Rebuilds the indexes of items, teams and queues. */
void led_config_reindex (struct cyc_led_state *state);
/** Returns a copy that the caller frees; NULL if memory is exhausted. */
char *led_copy_body (const struct cyc_led_state *state, const char *body);
/** Parses the body of an item that is not deleted and appends the result to
 * the teams or queues, or sets the fleet. */
bool led_config_add_item (struct led_config *config,
                          const struct led_item *item,
                          const struct cyc_led_desc *desc,
                          struct cyc_findings *findings);
/** Checks the parsed configuration as a whole. Returns false after adding
 * findings. */
bool led_config_check (const struct led_config *config,
                       struct cyc_findings *findings);
/** Returns the position of the team in config->teams; -1 if there is none. */
int led_team_position (const struct led_config *config, struct cyc_str name);

/* Keys. */
struct led_key *led_key_find (const struct cyc_led_state *state,
                              const struct cyc_digest *digest);
bool led_key_add (struct cyc_led_state *state, const struct led_key *key);
void led_apply_grant (struct cyc_led_state *state, uint64_t offset,
                      const Cyc__KeyGrant *grant,
                      struct cyc_led_effect *effect);
void led_apply_withdraw (struct cyc_led_state *state, uint64_t offset,
                         const Cyc__KeyWithdraw *withdraw,
                         struct cyc_led_effect *effect);

/* Claims. */
void led_apply_claim (struct cyc_led_state *state, uint64_t offset,
                      const Cyc__Claim *claim, struct cyc_led_effect *effect);
void led_apply_renew (struct cyc_led_state *state, uint64_t offset,
                      const Cyc__ClaimRenew *renew,
                      struct cyc_led_effect *effect);
void led_apply_release (struct cyc_led_state *state,
                        const Cyc__ClaimRelease *release,
                        struct cyc_led_effect *effect);

/** Returns the epoch of the claim on the domain's first shard; 0 if it was
 * released or never claimed. */
uint64_t led_held_epoch (const struct cyc_led_state *state,
                         struct cyc_str domain);

/* Allotments. */
/** Computes the balances of @p to from those of @p from. The balances of a
 * team add up to its limit. */
void led_update_balances (const struct led_config *from,
                          struct led_config *to);
/** Divides @p total in proportion to @p weights by the largest remainder
 * method; ties go to the lower position. The weights must not all be 0 unless
 * @p total is 0. */
void led_divide_by_weight (uint64_t total, const uint64_t *weights,
                           uint32_t count, uint64_t *parts);
void led_apply_transfer (struct cyc_led_state *state,
                         const Cyc__Transfer *transfer,
                         struct cyc_led_effect *effect);

/* Snapshots. */
void led_apply_chunk (struct cyc_led_state *state, uint64_t offset,
                      const Cyc__SnapshotChunk *chunk,
                      struct cyc_led_effect *effect);
/** Adds a chunk. Returns true if it completed a snapshot with the expected
 * digest; @p encoded, which may be NULL, then holds the snapshot and
 * @p upto_offset the last offset that it covers. */
bool led_assembler_add_chunk (struct cyc_led_assembler *assembler,
                              const Cyc__SnapshotChunk *chunk,
                              struct cyc_str *encoded, uint64_t *upto_offset);

#endif
