/**
 * @file
 * The failure domains that operators have asked to evacuate, as read from the
 * stream of their requests. It has no clock and no log.
 *
 * Order of calls: evac_setup, then evac_request and evac_return for each
 * record. Around a load of the whole stream, evac_reload comes before the
 * first record and evac_reloaded after the last one.
 *
 * @code
 * evac_setup (&set, on_change, this);
 * evac_request (&set, CYC_STR ("north"), now_us, now_ms);
 * evac_return (&set, CYC_STR ("north"));
 * @endcode
 *
 * Errors: a request beyond EVAC_DOMAINS_MAX is refused.
 */
#ifndef EVACUATION_H
#define EVACUATION_H

#include <cyclamendrum/base.h>

/** More failure domains than any site has. */
#define EVAC_DOMAINS_MAX 256

struct evac_domain
{
  struct cyc_name name;
  uint64_t since_us; /**< when the request was first read, monotonic */
  uint64_t since_ms; /**< the same, Unix time */
  bool confirmed;    /**< by the load in progress */
};

struct evac_set
{
  struct evac_domain domains[EVAC_DOMAINS_MAX];
  uint32_t count;
  bool reloading;
  /** Called when @p domain is evacuated, or is taken back. */
  void (*changed) (void *user, const struct evac_domain *domain,
                   bool evacuated);
  void *user;
};

void evac_setup (struct evac_set *set,
                 void (*changed) (void *user, const struct evac_domain *domain,
                                  bool evacuated),
                 void *user);
/** Notes a request. Returns false if @p domain is not a valid name or the
 * table is full. */
bool evac_request (struct evac_set *set, struct cyc_str domain,
                   uint64_t now_us, uint64_t now_ms);
/** Notes that a request was removed; ignored if there is none. */
void evac_return (struct evac_set *set, struct cyc_str domain);
void evac_reload (struct evac_set *set);
/** Takes back the domains that the load has not shown. Ignored outside a load.
 */
void evac_reloaded (struct evac_set *set);

#endif
