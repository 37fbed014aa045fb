/**
 * @file
 * Fake of the platform's VM list. Besides `GET /v1/vms` it answers `POST
 * /vms` with a whole new list, shown after "lag_ms", and `POST /faults` with
 * any of "down", "lag_ms" and "wrong" (the list is answered without every
 * second entry and with the others' addresses unusable).
 */
#ifndef FK_VMS_H
#define FK_VMS_H

#include "fk_common.h"

struct fk_vms
{
  struct hs_server hs;
  struct json_object *current_list;
  struct json_object *wrong_list;
  GQueue *pending_lists; /**< lists that are not shown yet */
  bool down;
  bool wrong;
  int64_t lag_ms;
};

bool fk_vms_setup (struct fk_vms *vms, struct ev_loop *loop, uint16_t port,
                   struct cyc_findings *findings);
void fk_vms_shutdown (struct fk_vms *vms);
/** Shows the list of a JSON file at once. */
bool fk_vms_load (struct fk_vms *vms, const char *path);

#endif
