/**
 * @file
 * Ledger that applies records built by the test, without a log.
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
  uint64_t next_offset;
  struct cyc_led_effect effect; /**< of the newest record */
  struct cyc_str last_record;   /**< newest record, owned */
};

void tst_control_setup (struct tst_control *tc);
void tst_control_shutdown (struct tst_control *tc);
/** Applies a record at the next offset and takes ownership of it. */
enum cyc_led_result tst_apply (struct tst_control *tc, struct cyc_str record);
/** Applies a change of one item; a NULL body deletes it. */
enum cyc_led_result tst_publish (struct tst_control *tc, const char *writer,
                                 const char *item, uint64_t base_version,
                                 const char *body);
/** Applies a claim record of domain "north-a". */
enum cyc_led_result tst_claim (struct tst_control *tc,
                               enum cyc_claim_action step, const char *owner,
                               uint8_t incarnation, uint64_t epoch);
/** Applies a transfer of team "orders" with its current version and balance.
 */
enum cyc_led_result tst_transfer (struct tst_control *tc, const char *from,
                                  const char *to, uint64_t millicores);
/** Writes a team body with a limit to @p out. The accelerator limit is
 * @p millicores / 10,000. */
const char *tst_team_body (char out[256], const char *team,
                           uint32_t share_permille, uint64_t millicores);
/** Writes the body of a batch or gang queue with @p tasks tasks of 1,000
 * millicores to @p out. */
const char *tst_queue_body (char out[512], const char *queue, const char *team,
                            const char *kind, uint32_t tasks);
struct cyc_digest tst_digest (const char *key);
/** Returns the millicores of team "orders" that the domain holds. */
uint64_t tst_balance (const struct tst_control *tc, const char *domain);
/** Publishes TST_FLEET, team "orders" (limit 400,000 millicores, share 200
 * permille) and batch queue "tally" at offsets 0 to 2. */
void tst_publish_example (struct tst_control *tc);

/** Returns a random record that fits the state of the ledger: most records are
 * valid, some are stale, duplicate or corrupt. Release its data with free().
 */
struct cyc_str tst_random_record (const struct tst_control *tc,
                                  struct tst_random *rnd);
/** Fails the test unless the balances of every team add up to its limit. */
void tst_check_balance_sums (const struct tst_control *tc);

#endif
