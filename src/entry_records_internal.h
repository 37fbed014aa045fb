/**
 * @file
 * Progress records in the log, shared by entry_records.c (writing) and
 * entry_records_load.c (keys and load).
 */
#ifndef ENTRY_RECORDS_INTERNAL_H
#define ENTRY_RECORDS_INTERNAL_H

#include "entry_records.h"

/** Size of the big-endian revision at the start of a progress record. */
#define REVISION_BYTES 8
/** Part that holds the records of learned speeds. */
#define SPEEDS_PART 0

/** Parses the key of a progress record into its job, round and block. Returns
 * false if it is none. */
bool records_parse_key (struct cyc_str key, struct cell_record *out);
void records_format_key (const struct cell_record *record,
                         char key[CELL_BLOCK_KEY_BYTES]);
/** Formats the key of a record of learned speeds. */
void records_speeds_key (uint32_t number, char key[CELL_BLOCK_KEY_BYTES]);
/** Notes that a part holds the record of a block. */
void records_add_block (struct entry_records *records, const char *key,
                        uint32_t part);
/** Has the record of a block removed from all parts that hold it. */
void records_remove_block (struct entry_records *records, const char *key);
/** Takes a record that the part's tail has read. */
void records_on_record (void *user, const struct pt_record *record,
                        uint64_t offset);
/** Frees a row of entry_records.loaded. */
void records_free_loaded (gpointer data);

#endif
