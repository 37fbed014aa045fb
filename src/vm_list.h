/**
 * @file
 * The platform's list of VMs, behind a vtable. The list lags behind the actual
 * state and may be wrong, so entries that cannot be true are left out and
 * counted: bad names or addresses, a name or address that appears twice.
 *
 * `struct vl_list` is the first member of each implementation: the HTTP client
 * (struct vl_http) and the in-memory one that tests use. Every fetch that was
 * begun ends with exactly one call of its `done` function.
 *
 * @code
 * vl_http_setup (&http, &(struct vl_http_desc){ .client = &hc, .url = url },
 *                &found);
 * vl_fetch (&http.list, &(struct vl_fetch){ .deadline_us = now_us + 2000000,
 *                                           .done = on_list, .user = this });
 * @endcode
 *
 * Errors: `ok` is false when no whole list was received; keep the old one.
 */
#ifndef VM_LIST_H
#define VM_LIST_H

#include "http_client.h"

#include <cyclamendrum/config.h>
#include <cyclamendrum/member.h>

#define VL_MAX_VMS 32768

struct vl_result
{
  bool ok;
  const struct cyc_mem_vm *vms; /**< live only during the call */
  uint32_t count;
  uint32_t left_out; /**< entries that cannot be true */
  const char *error; /**< "" when ok */
};

struct vl_fetch
{
  uint64_t deadline_us;
  void (*done) (void *user, const struct vl_result *result);
  void *user;
};

struct vl_list;

struct vl_vtable
{
  bool (*fetch) (struct vl_list *list, const struct vl_fetch *fetch);
};

struct vl_list
{
  const struct vl_vtable *vtable;
};

/** False: not begun (one fetch at a time), `done` will not be called. */
bool vl_fetch (struct vl_list *list, const struct vl_fetch *fetch);

/** Reads the body of an answer; the caller releases `*out` with free().
 * False when the body is not a VM list. */
bool vl_parse (struct cyc_str body, struct cyc_mem_vm **out, uint32_t *count,
               uint32_t *left_out);

struct vl_http_desc
{
  struct hc_client *client;
  struct cyc_str url; /**< base URL of the platform */
};

struct vl_http
{
  struct vl_list list;
  struct hc_client *client;
  char url[256];
  struct cyc_ref call;
  struct vl_fetch fetch;
};

bool vl_http_setup (struct vl_http *http, const struct vl_http_desc *desc,
                    struct cyc_findings *findings);
/** Call before the HTTP client is shut down; no `done` is called later. */
void vl_http_shutdown (struct vl_http *http);

#endif
