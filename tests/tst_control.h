/**
 * @file
 * Ledger with records appended in memory, for tests of the control stream.
 *
 * @code
 * struct tst_control tc;
 * tst_control_setup (&tc);
 * tst_publish (&tc, "vm-1", "fleet", 0, TST_FLEET);
 * assert_int_equal (tc.effect.result, CYC_LED_ACCEPTED);
 * @endcode
 */
#ifndef TST_CONTROL_H
#define TST_CONTROL_H

#include "tst_random.h"

#include <cyclamendrum/ledger.h>
#include <cyclamendrum/record.h>

#define TST_FLEET                                                             \
  "{\"regions\":[{\"name\":\"north\",\"domains\":["                           \
  "{\"name\":\"north-a\",\"weight\":1,\"entry_seats\":3},"                    \
  "{\"name\":\"north-b\",\"weight\":1,\"entry_seats\":3}]},"                  \
  "{\"name\":\"south\",\"domains\":["                                         \
  "{\"name\":\"south-a\",\"weight\":1,\"entry_seats\":3}]}],"                 \
  "\"largest_worker\":{\"millicores\":64000,\"memory_mib\":131072,"           \
  "\"accelerators\":8},\"shards_per_domain\":1}"

struct tst_control
{
  struct cyc_ledger led;
  uint64_t next;
  struct cyc_led_effect effect; /**< of the newest record */
  struct cyc_str last;          /**< newest record, owned */
};

void tst_control_setup (struct tst_control *tc);
void tst_control_shutdown (struct tst_control *tc);
/** Applies a record at the next offset and takes its memory. */
enum cyc_led_result tst_apply (struct tst_control *tc, struct cyc_str record);
/** One item; a NULL body deletes it. */
enum cyc_led_result tst_publish (struct tst_control *tc, const char *writer,
                                 const char *item, uint64_t base_version,
                                 const char *body);
enum cyc_led_result tst_claim (struct tst_control *tc,
                               enum cyc_claim_action step, const char *owner,
                               uint8_t incarnation, uint64_t epoch);
/** Transfer of team "orders" at its current version and balance. */
enum cyc_led_result tst_transfer (struct tst_control *tc, const char *from,
                                  const char *to, uint64_t millicores);
/** Team body with a limit. */
const char *tst_team (char out[256], const char *team, uint32_t share_permille,
                      uint64_t millicores);
/** Batch or gang queue with @p tasks tasks of 1,000 millicores. */
const char *tst_queue (char out[512], const char *queue, const char *team,
                       const char *kind, uint32_t tasks);
struct cyc_digest tst_digest (const char *key);
uint64_t tst_balance (const struct tst_control *tc, const char *domain);
/** Fleet, team "orders" (limit 400,000, share 200) and a queue "tally". */
void tst_publish_all (struct tst_control *tc);

/** A record of random kind for the present state of the ledger: most are
 * valid, some are stale, duplicate or corrupt. Release with free(). */
struct cyc_str tst_random_record (const struct tst_control *tc,
                                  struct tst_random *rnd);
/** Fails the test unless the balances of every team add up to its limit. */
void tst_check_sums (const struct tst_control *tc);

#endif
