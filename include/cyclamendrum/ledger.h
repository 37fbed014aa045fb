/**
 * @file
 * State machine over the control stream: configuration versions, keys, claims
 * of failure domains and allotments of team limits.
 *
 * The state is a pure function of the prefix of the stream, so any two
 * processes that applied the same offset agree without talking. Apply every
 * record in offset order; a record that is invalid, unknown or corrupt changes
 * nothing but the next offset, and the effect says why.
 *
 * @code
 * struct cyc_ledger led;
 * cyc_led_setup (&led, &(struct cyc_led_desc){ 0 }, &found);
 * struct cyc_led_effect effect;
 * cyc_led_apply (&led, offset, bytes, &effect);
 * if (effect.result == CYC_LED_ACCEPTED && ...)
 * @endcode
 */
#ifndef CYCLAMENDRUM_LEDGER_H
#define CYCLAMENDRUM_LEDGER_H

#include <cyclamendrum/base.h>
#include <cyclamendrum/config.h>

#define CYC_RECORD_MAX_BYTES 65536
#define CYC_SNAPSHOT_CHUNK_BYTES 49152

struct cyc_led_desc
{
  struct cyc_allocator allocator;
  uint32_t max_teams;      /**< 0: 1,024 */
  uint32_t max_queues;     /**< 0: 16,384 */
  uint32_t max_keys;       /**< 0: 16,384 */
  uint32_t max_record_ids; /**< remembered for duplicates; 0: 4,096 */
};

enum cyc_led_result
{
  CYC_LED_ACCEPTED = 0,
  CYC_LED_REFUSED,     /**< well-formed but lost a race or not valid */
  CYC_LED_DUPLICATE,   /**< record id seen before */
  CYC_LED_CORRUPT,     /**< cannot be decoded, unknown schema or body */
  CYC_LED_OUT_OF_ORDER /**< offset is not the next one; nothing changed */
};

enum cyc_led_body
{
  CYC_LED_BODY_NONE = 0,
  CYC_LED_BODY_CONFIG,
  CYC_LED_BODY_KEY,
  CYC_LED_BODY_CLAIM,
  CYC_LED_BODY_TRANSFER,
  CYC_LED_BODY_SNAPSHOT
};

/** What one record did. */
struct cyc_led_effect
{
  enum cyc_led_result result;
  enum cyc_led_body body;
  struct cyc_id128 record_id;
  struct cyc_name writer;
  char reason[200];                /**< for people; empty when accepted */
  struct cyc_name conflict_item;   /**< CONFIG refused by a race: the item, */
  struct cyc_name conflict_writer; /**< the writer of its current version, */
  uint64_t conflict_version;       /**< and that version */
};

enum cyc_key_state
{
  CYC_KEY_UNKNOWN = 0,
  CYC_KEY_VALID,
  CYC_KEY_WITHDRAWN
};

struct cyc_claim
{
  struct cyc_name domain;
  uint32_t shard;
  uint64_t epoch; /**< 0: never claimed */
  struct cyc_name owner;
  struct cyc_id128 incarnation;
  bool released;
  uint64_t renewed_offset; /**< offset of the claim or its last renewal */
};

struct cyc_balance
{
  uint64_t millicores;
  uint64_t accelerators;
};

struct cyc_ledger
{
  struct cyc_led_state *state; /**< private */
};

bool cyc_led_setup (struct cyc_ledger *led, const struct cyc_led_desc *desc,
                    struct cyc_findings *findings);
void cyc_led_shutdown (struct cyc_ledger *led);

void cyc_led_apply (struct cyc_ledger *led, uint64_t offset,
                    struct cyc_str record, struct cyc_led_effect *effect);
/** The offset that cyc_led_apply takes next. */
uint64_t cyc_led_next_offset (const struct cyc_ledger *led);
/** False until a snapshot was loaded or offset 0 was applied. */
bool cyc_led_complete (const struct cyc_ledger *led);
/** Rises with each accepted change of configuration (fleet, team, queue). */
uint64_t cyc_led_config_version (const struct cyc_ledger *led);

const struct cyc_fleet_cfg *cyc_led_fleet (const struct cyc_ledger *led);
/** Version of an item, 0 when there is none. */
uint64_t cyc_led_item_version (const struct cyc_ledger *led,
                               struct cyc_str item);
const struct cyc_team_cfg *cyc_led_team (const struct cyc_ledger *led,
                                         struct cyc_str name);
const struct cyc_queue_cfg *cyc_led_queue (const struct cyc_ledger *led,
                                           struct cyc_str name);
/** Iteration in name order; NULL at the end. */
const struct cyc_team_cfg *cyc_led_team_at (const struct cyc_ledger *led,
                                            uint32_t position);
const struct cyc_queue_cfg *cyc_led_queue_at (const struct cyc_ledger *led,
                                              uint32_t position);

/** Constant-time lookup of a key's digest. @p team is set when VALID. */
enum cyc_key_state cyc_led_key (const struct cyc_ledger *led,
                                const struct cyc_digest *digest,
                                struct cyc_name *team);
uint64_t cyc_led_key_version (const struct cyc_ledger *led,
                              const struct cyc_digest *digest);

/** Current claim; epoch 0 when there never was one. */
void cyc_led_claim (const struct cyc_ledger *led, struct cyc_str domain,
                    uint32_t shard, struct cyc_claim *out);
/** Allotment that the domain holds of the team's limit. */
struct cyc_balance cyc_led_balance (const struct cyc_ledger *led,
                                    struct cyc_str team,
                                    struct cyc_str domain);

/** Canonical encoding of the state. Caller releases @p out->data with
 * free(). */
bool cyc_led_encode (const struct cyc_ledger *led, struct cyc_str *out);
/** Replaces the state by an encoded one. On failure the old state stays. */
bool cyc_led_load (struct cyc_ledger *led, struct cyc_str encoded,
                   struct cyc_findings *findings);
/** Offset that the newest complete snapshot in the stream covers, 0: none. */
uint64_t cyc_led_snapshot_upto_offset (const struct cyc_ledger *led);

/**
 * Collects snapshot chunks for a process that starts behind the trimmed part
 * of the stream. Feed every record from the oldest retained on; when the call
 * returns true, @p encoded holds a whole snapshot (release with free()) whose
 * next offset is retained; load it and apply the records from there on.
 */
struct cyc_led_assembler
{
  struct cyc_led_assembler_state *state; /**< private */
};
bool cyc_led_assembler_setup (struct cyc_led_assembler *assembler,
                              uint64_t oldest_offset);
void cyc_led_assembler_shutdown (struct cyc_led_assembler *assembler);
bool cyc_led_assembler_add (struct cyc_led_assembler *assembler,
                            uint64_t offset, struct cyc_str record,
                            struct cyc_str *encoded);

#endif
