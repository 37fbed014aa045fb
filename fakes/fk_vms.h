/**
 * @file
 * Fake of the platform's VM list. Besides `GET /v1/vms` it answers:
 * - `POST /vms` with a complete new list, which replaces the current one after
 *   "lag_ms";
 * - `POST /faults` with any of "down" (connections are closed without an
 *   answer), "lag_ms" (delay of a new list) and "wrong" (every second entry is
 *   left out, and the remaining ones have an unusable address).
 */
#ifndef FK_VMS_H
#define FK_VMS_H

#include "fk_common.h"

struct fk_vms
{
  struct hs_server hs;
  struct json_object *current_list;
  struct json_object *wrong_list; /**< answered while `wrong` is set */
  GQueue *pending_lists; /**< new lists that still wait for their delay */
  bool down;
  bool wrong;
  int64_t lag_ms;
};

bool fk_vms_setup (struct fk_vms *vms, struct ev_loop *loop, uint16_t port,
                   struct cyc_findings *findings);
void fk_vms_shutdown (struct fk_vms *vms);
/** Makes the list of a JSON file the current one without delay; false if the
 * file has no list. */
bool fk_vms_load (struct fk_vms *vms, const char *path);

#endif
