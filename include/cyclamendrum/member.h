/**
 * @file
 * Membership of a failure domain: merges the VM list of the platform with the
 * heartbeat answers of the VMs.
 *
 * The list lags and may be wrong, so it can only add VMs and mark them as
 * leaving; heartbeats decide which VMs are alive. A VM that is missing from
 * the list is kept while it answers. An address is replaced only after the old
 * one has not answered for `dead_ms`, because tasks may still run there.
 *
 * @code
 * cyc_mem_list_begin (&mem);
 * ref = cyc_mem_list_vm (&mem, &vm, now_us);
 * cyc_mem_list_end (&mem);
 * cyc_mem_heartbeat (&mem, ref, draining, now_us);
 * cyc_mem_tick (&mem, now_us, on_change, this);
 * @endcode
 *
 * Errors: cyc_mem_list_vm returns a reference of generation 0 and does not add
 * the VM if the table is full or another VM has its address.
 */
#ifndef CYCLAMENDRUM_MEMBER_H
#define CYCLAMENDRUM_MEMBER_H

#include <cyclamendrum/base.h>
#include <cyclamendrum/config.h>

#define CYC_MEM_ADDRESS_BYTES 128

/** One entry of the VM list. */
struct cyc_mem_vm
{
  struct cyc_name name;
  struct cyc_name domain;
  struct cyc_name rack;
  char address[CYC_MEM_ADDRESS_BYTES]; /**< base URL */
  bool worker;
  bool leaving;
  struct cyc_resources capacity;
  uint32_t slots;
  uint32_t connections;
};

enum cyc_mem_health
{
  CYC_MEM_NEW = 0, /**< never answered */
  CYC_MEM_ALIVE,
  CYC_MEM_SUSPECT,
  CYC_MEM_DEAD
};

struct cyc_mem_row
{
  struct cyc_mem_vm vm;
  enum cyc_mem_health health;
  bool leaving;            /**< by the list, a heartbeat answer or a report */
  bool listed;             /**< in the newest list */
  uint64_t last_answer_us; /**< 0: never */
  uint32_t address_generation; /**< number of address replacements */
};

struct cyc_mem_desc
{
  struct cyc_allocator allocator;
  uint32_t max_vms;    /**< 0: 16,384 */
  uint32_t suspect_ms; /**< time without an answer until suspect; 0: 3,500 */
  uint32_t dead_ms;    /**< time without an answer until dead; 0: 10,000 */
  uint32_t recovery_heartbeats; /**< answers until a silent VM is alive again;
                                   0: 2 */
  uint32_t remove_after_ms; /**< an unlisted VM is removed this long after its
                               last answer or listing; 0: 900,000 */
};

enum cyc_mem_change
{
  CYC_MEM_ADDED,
  CYC_MEM_CHANGED, /**< health, leaving, capacity or address */
  CYC_MEM_REMOVED
};

struct cyc_members
{
  struct cyc_mem_state *state; /**< private */
};

bool cyc_mem_setup (struct cyc_members *mem, const struct cyc_mem_desc *desc,
                    struct cyc_findings *findings);
void cyc_mem_shutdown (struct cyc_members *mem);

/** Begins a new list. Call cyc_mem_list_vm for each of its entries, then
 * cyc_mem_list_end. */
void cyc_mem_list_begin (struct cyc_members *mem);
/** Adds or updates a listed VM; returns its reference. */
struct cyc_ref cyc_mem_list_vm (struct cyc_members *mem,
                                const struct cyc_mem_vm *vm, uint64_t now_us);
void cyc_mem_list_end (struct cyc_members *mem);

/** Called when the VM answered a heartbeat; @p draining is the state that it
 * reported. A stale reference is ignored. */
void cyc_mem_heartbeat (struct cyc_members *mem, struct cyc_ref ref,
                        bool draining, uint64_t now_us);
/** Called when a peer reported that the VM is leaving. */
void cyc_mem_report_leaving (struct cyc_members *mem, struct cyc_ref ref);

/** Applies the deadlines and calls @p on_change for every row that changed
 * since the last call. */
void cyc_mem_tick (struct cyc_members *mem, uint64_t now_us,
                   void (*on_change) (void *user, struct cyc_ref ref,
                                      const struct cyc_mem_row *row,
                                      enum cyc_mem_change change),
                   void *user);

/** Returns the reference of a VM; generation 0 if it is unknown. */
struct cyc_ref cyc_mem_find (const struct cyc_members *mem,
                             struct cyc_str name);
/** Returns the row of @p ref; NULL if the reference is stale. */
const struct cyc_mem_row *cyc_mem_at (const struct cyc_members *mem,
                                      struct cyc_ref ref);
/** Iterates over all rows, starting with *cursor = 0; NULL at the end. @p ref
 * may be NULL. */
const struct cyc_mem_row *cyc_mem_next (const struct cyc_members *mem,
                                        uint32_t *cursor, struct cyc_ref *ref);

#endif
