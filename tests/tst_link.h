/**
 * @file
 * A cluster whose VMs reach the log over one link of limited width, as those
 * of a region do, and configurations of any size.
 *
 * @code
 * tst_link_setup (&link);
 * tst_link_set_width (&link, 700000);
 * tst_link_publish (&link, 2, 4200);
 * tst_link_teardown (&link);
 * @endcode
 */
#ifndef TST_LINK_H
#define TST_LINK_H

#include "fk_relay.h"
#include "tst_cluster.h"

struct tst_link
{
  struct tst_cluster cluster;
  struct fk_relay relay;
};

/** Starts the platform and all VMs, and waits for a leader. */
void tst_link_setup (struct tst_link *link);
/** Restarts a VM with a way to the log of its own, a pair of @p group that @p
 * relay gets. */
void tst_link_own_way (struct tst_cluster *cluster, struct fk_relay *relay,
                       const char *group, uint32_t vm);
void tst_link_teardown (struct tst_link *link);
/** @p bytes_per_s of all VMs together, in each direction; 0: no limit. */
void tst_link_set_width (struct tst_link *link, uint32_t bytes_per_s);
/** Returns the bytes that have come from the log. */
uint64_t tst_link_bytes (const struct tst_link *link);
/** Publishes a configuration with the queues of the cluster and @p routes more
 * ("/extra-NUMBER/"). Returns its length in bytes. */
size_t tst_link_publish (struct tst_link *link, uint32_t version,
                         uint32_t routes);
/** Returns whether all VMs have the version, or a later one. */
bool tst_link_has_version (const struct tst_link *link, uint32_t version);

#endif
