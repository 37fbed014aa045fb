/**
 * @file
 * State machine over the control stream, the log of records shared by all
 * processes. It holds the configuration items with their versions, the keys,
 * the claims of failure domains and the division of team limits over domains.
 *
 * The state is a pure function of the applied prefix of the stream, so two
 * processes that applied the stream up to the same offset have the same state
 * without exchanging messages. Records are applied in offset order. A refused
 * record changes only the next offset and the list of recent record ids; a
 * duplicate or corrupt record changes only the next offset. The effect holds
 * the reason.
 *
 * Order of calls: cyc_led_setup, then either cyc_led_apply from offset 0 or
 * cyc_led_load with a snapshot and cyc_led_apply from its next offset, and
 * cyc_led_shutdown at the end. cyc_led_setup and cyc_led_load return false and
 * add a finding on failure.
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
  uint32_t max_teams;      /**< 0 selects 1,024 */
  uint32_t max_queues;     /**< 0 selects 16,384 */
  uint32_t max_keys;       /**< 0 selects 16,384 */
  uint32_t max_record_ids; /**< recent ids kept to detect
                                duplicates; 0 selects 4,096 */
};

enum cyc_led_result
{
  CYC_LED_ACCEPTED = 0,
  CYC_LED_REFUSED,     /**< well-formed, but invalid or in conflict with an
                            earlier record */
  CYC_LED_DUPLICATE,   /**< the id is among the recent record ids */
  CYC_LED_CORRUPT,     /**< undecodable, or of an unknown schema or body */
  CYC_LED_OUT_OF_ORDER /**< not the next offset; nothing changed */
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

/** Result of applying one record. */
struct cyc_led_effect
{
  enum cyc_led_result result;
  enum cyc_led_body body;
  struct cyc_id128 record_id;
  struct cyc_name writer;
  char reason[200];                /**< text for log lines and operators; empty
                                        if accepted */
  struct cyc_name conflict_item;   /**< item of a CONFIG record whose base
                                        version is not current, else empty */
  struct cyc_name conflict_writer; /**< writer of the current version */
  uint64_t conflict_version;       /**< current version; 0 if never set */
};

enum cyc_key_state
{
  CYC_KEY_UNKNOWN = 0,
  CYC_KEY_VALID,
  CYC_KEY_WITHDRAWN
};

/** Ownership of a shard of a failure domain by one process. */
struct cyc_claim
{
  struct cyc_name domain;
  uint32_t shard;
  uint64_t epoch; /**< fencing token; 0 if never claimed */
  struct cyc_name owner;
  struct cyc_id128 incarnation;
  bool released;
  uint64_t renewed_offset; /**< offset of the claim or its newest renewal */
};

/** Part of a team's limit that one domain holds. */
struct cyc_balance
{
  uint64_t millicores;
  uint64_t accelerators;
};

struct cyc_ledger
{
  struct cyc_led_state *state; /**< private */
};

/** Creates an empty ledger. Returns false and adds a finding if a size exceeds
 * 1,048,576 rows or an allocation fails. */
bool cyc_led_setup (struct cyc_ledger *led, const struct cyc_led_desc *desc,
                    struct cyc_findings *findings);
void cyc_led_shutdown (struct cyc_ledger *led);

/** Applies the encoded @p record at @p offset and fills @p effect. */
void cyc_led_apply (struct cyc_ledger *led, uint64_t offset,
                    struct cyc_str record, struct cyc_led_effect *effect);
/** Returns the offset that cyc_led_apply expects next. */
uint64_t cyc_led_next_offset (const struct cyc_ledger *led);
/** Returns true once a snapshot was loaded or offset 0 was applied. */
bool cyc_led_complete (const struct cyc_ledger *led);
/** Returns the version of the newest accepted change of the fleet, a team or a
 * queue; it increases with each. */
uint64_t cyc_led_config_version (const struct cyc_ledger *led);

/** Returns the fleet, or NULL if none is configured. */
const struct cyc_fleet_cfg *cyc_led_fleet (const struct cyc_ledger *led);
/** Returns the version of an item, 0 if it never existed. A deleted item keeps
 * the version of its deletion. */
uint64_t cyc_led_item_version (const struct cyc_ledger *led,
                               struct cyc_str item);
/** Returns the team or queue of that name, or NULL. The pointer is valid until
 * the next call that changes the ledger. */
const struct cyc_team_cfg *cyc_led_team (const struct cyc_ledger *led,
                                         struct cyc_str name);
const struct cyc_queue_cfg *cyc_led_queue (const struct cyc_ledger *led,
                                           struct cyc_str name);
/** Returns the team or queue at a position in name order, NULL past the end.
 */
const struct cyc_team_cfg *cyc_led_team_at (const struct cyc_ledger *led,
                                            uint32_t position);
const struct cyc_queue_cfg *cyc_led_queue_at (const struct cyc_ledger *led,
                                              uint32_t position);

/** Looks up the digest of a key in O(1). Sets @p team, which may be NULL, if
 * the key is valid. */
enum cyc_key_state cyc_led_key (const struct cyc_ledger *led,
                                const struct cyc_digest *digest,
                                struct cyc_name *team);
/** Returns the version of a key, 0 if it is unknown. */
uint64_t cyc_led_key_version (const struct cyc_ledger *led,
                              const struct cyc_digest *digest);

/** Copies the newest claim to @p out; its epoch is 0 if the shard was never
 * claimed. */
void cyc_led_claim (const struct cyc_ledger *led, struct cyc_str domain,
                    uint32_t shard, struct cyc_claim *out);
/** Returns the part of the team's limit that the domain holds; 0 if the team
 * or the domain does not exist. */
struct cyc_balance cyc_led_balance (const struct cyc_ledger *led,
                                    struct cyc_str team,
                                    struct cyc_str domain);

/** Writes the canonical encoding of the state to @p out: equal states have
 * equal bytes. The caller releases @p out->data with free(). Returns false if
 * an allocation fails. */
bool cyc_led_encode (const struct cyc_ledger *led, struct cyc_str *out);
/** Replaces the state by an encoded one. On failure, adds a finding, returns
 * false and keeps the old state. */
bool cyc_led_load (struct cyc_ledger *led, struct cyc_str encoded,
                   struct cyc_findings *findings);
/** Returns the last offset covered by the newest complete snapshot in the
 * stream, 0 if there is none. */
uint64_t cyc_led_snapshot_upto_offset (const struct cyc_ledger *led);

/**
 * Assembles a snapshot from its chunks, for a process that starts after the
 * beginning of the stream was trimmed. cyc_led_assembler_add takes every
 * record from the oldest retained offset on. When it returns true, @p encoded
 * holds a complete snapshot (release with free()) whose next offset is still
 * retained: load it and apply the records from that offset on.
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
