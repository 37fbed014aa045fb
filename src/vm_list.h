/**
 * @file
 * The platform's list of VMs, behind a vtable. The list lags behind the actual
 * state and may contain errors. Invalid entries are left out and counted: an
 * invalid name, address, kind or state, and all entries that share a name or
 * an address.
 *
 * `struct vl_list` is the first member of each implementation: the HTTP client
 * (struct vl_http) and the in-memory list of the tests. Every fetch that was
 * started ends with exactly one call of its `done` callback, unless the list
 * is shut down first.
 *
 * @code
 * vl_http_setup (&http, &(struct vl_http_desc){ .client = &hc, .url = url },
 *                &found);
 * vl_fetch (&http.list, &(struct vl_fetch){ .deadline_us = now_us + 2000000,
 *                                           .done = on_list, .user = this });
 * @endcode
 *
 * Errors: `ok` is false if no complete list was received; the caller then
 * keeps the previous one.
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
  const struct cyc_mem_vm *vms; /**< valid only during the callback */
  uint32_t count;
  uint32_t left_out; /**< number of invalid entries */
  const char *error; /**< reason if not ok, else "" */
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

/** Starts a fetch; one at a time. Returns false if it was not started; `done`
 * is then not called. */
bool vl_fetch (struct vl_list *list, const struct vl_fetch *fetch);

/** Parses the body of an answer. Returns false if it is not a VM list or has
 * more than VL_MAX_VMS entries. The caller releases `*out` with free(). */
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
  struct cyc_ref call; /**< open request; generation 0 if none */
  struct vl_fetch fetch;
};

/** Returns false and adds findings if the client is missing or the URL is
 * empty or too long. */
bool vl_http_setup (struct vl_http *http, const struct vl_http_desc *desc,
                    struct cyc_findings *findings);
/** Cancels an open fetch without calling `done`. Call before the HTTP client
 * is shut down. */
void vl_http_shutdown (struct vl_http *http);

#endif
