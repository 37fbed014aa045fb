/**
 * @file
 * Functions that the sources of the fake platform call in each other.
 */
#ifndef FK_PLATFORM_INTERNAL_H
#define FK_PLATFORM_INTERNAL_H

#include "fk_platform.h"

/** Returns the monotonic time in milliseconds. */
uint64_t fkp_now_ms (void);

/** Listens at @p address of the form "127.0.0.1:PORT"; at a free port if it is
 * empty. */
bool fkp_listen (struct hs_server *hs, struct ev_loop *loop,
                 const char *address,
                 void (*handle) (void *user, const struct hs_call *call),
                 void *user, struct cyc_findings *findings);

/** Answers a call after @p delay_ms. */
void fkp_delay_reply (struct fkp_platform *platform, struct hs_server *hs,
                      struct cyc_ref call, uint32_t status,
                      struct cyc_str body, uint32_t delay_ms,
                      const struct fkp_worker *sender);

/* fk_platform_workers.c */
/** Writes the ticket for a step on a worker, for its present incarnation. */
void fkp_issue_ticket (const struct fkp_platform *platform, const char *step,
                       const char *worker, char out[128]);
/** Handles a call to a worker; @p user is the worker. */
void fkp_on_worker_call (void *user, const struct hs_call *call);
/** Answers a hold with the worker's runs and ends. */
void fkp_reply_hold (struct fkp_worker *worker, struct cyc_ref call);
void fkp_workers_setup (struct fkp_platform *platform);
void fkp_workers_shutdown (struct fkp_platform *platform);
/** Executes late orders and ends runs whose work is done or whose lease has
 * lapsed. */
void fkp_workers_tick (struct fkp_platform *platform, uint64_t now);
/** Writes the entry of each worker. */
void fkp_publish_workers (struct fkp_platform *platform);

#endif
