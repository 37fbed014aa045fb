#include "settings.h"

#include "cyc_json.h"

#include <arpa/inet.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum field_type
{
  FIELD_NAME,
  FIELD_ADDRESS,
  FIELD_URL,
  FIELD_UINT,
  FIELD_BOOL,
  FIELD_ON_STALE,
  FIELD_PATH
};

struct field
{
  const char *path; /**< "member" or "object.member" */
  enum field_type type;
  bool required;
  size_t offset;
  uint32_t lowest;
  uint32_t highest;
  uint32_t default_value;
};

#define OFFSET_OF(member) offsetof (struct set_settings, member)
#define UINT_ROW(path, member, lowest, highest, default_value)                \
  {                                                                           \
    path, FIELD_UINT, false, OFFSET_OF (member), lowest, highest,             \
        default_value                                                         \
  }
#define DAY_MS 86400000
#define HOUR_MS 3600000

static const struct field fields[] = {
  { "vm", FIELD_NAME, true, OFFSET_OF (vm), 0, 0, 0 },
  { "domain", FIELD_NAME, true, OFFSET_OF (domain), 0, 0, 0 },
  { "region", FIELD_NAME, true, OFFSET_OF (region), 0, 0, 0 },
  { "seat", FIELD_UINT, true, OFFSET_OF (seat), 0, 63, 0 },
  { "gateway.http", FIELD_ADDRESS, true, OFFSET_OF (gateway_http), 0, 0, 0 },
  { "gateway.peer", FIELD_ADDRESS, true, OFFSET_OF (gateway_peer), 0, 0, 0 },
  { "scheduler.http", FIELD_ADDRESS, true, OFFSET_OF (scheduler_http), 0, 0,
    0 },
  { "scheduler.peer", FIELD_ADDRESS, true, OFFSET_OF (scheduler_peer), 0, 0,
    0 },
  { "log.url", FIELD_URL, true, OFFSET_OF (log_url), 0, 0, 0 },
  { "vm_list.url", FIELD_URL, true, OFFSET_OF (vm_list_url), 0, 0, 0 },
  { "log_debug", FIELD_BOOL, false, OFFSET_OF (log_debug), 0, 0, 0 },
  { "trace_file", FIELD_PATH, false, OFFSET_OF (trace_file), 0, 0, 0 },
  UINT_ROW ("keys.stale_ms", key_stale_ms, 100, HOUR_MS, 5000),
  UINT_ROW ("keys.stale_max_ms", key_stale_max_ms, 100, DAY_MS, HOUR_MS),
  { "keys.on_stale.service", FIELD_ON_STALE, false,
    OFFSET_OF (on_stale_service), 0, 0, SET_ON_STALE_SERVE },
  { "keys.on_stale.batch", FIELD_ON_STALE, false, OFFSET_OF (on_stale_batch),
    0, 0, SET_ON_STALE_REFUSE },
  { "keys.on_stale.gang", FIELD_ON_STALE, false, OFFSET_OF (on_stale_gang), 0,
    0, SET_ON_STALE_REFUSE },
  { "keys.on_stale.once", FIELD_ON_STALE, false, OFFSET_OF (on_stale_once), 0,
    0, SET_ON_STALE_REFUSE },
  UINT_ROW ("claim_lease_ms", claim_lease_ms, 300, 60000, 2500),
  UINT_ROW ("task_lease_ms", task_lease_ms, 1000, DAY_MS, 30000),
  UINT_ROW ("service_lease_ms", service_lease_ms, 1000, DAY_MS, 600000),
  UINT_ROW ("worker_heartbeat_ms", worker_heartbeat_ms, 50, 60000, 800),
  UINT_ROW ("worker_silent_ms", worker_silent_ms, 200, 600000, 4000),
  UINT_ROW ("worker_timeout_ms", worker_timeout_ms, 50, 60000, 2000),
  UINT_ROW ("vm_list.poll_ms", vm_list_poll_ms, 50, 600000, 2000),
  UINT_ROW ("tick_ms", tick_ms, 1, 1000, 10),
  UINT_ROW ("clock_error_ms", clock_error_ms, 1, 10000, 250),
  UINT_ROW ("peer_heartbeat_ms", peer_heartbeat_ms, 50, 60000, 1000),
  UINT_ROW ("peer_silent_ms", peer_silent_ms, 100, 600000, 3500),
  UINT_ROW ("peer_dead_ms", peer_dead_ms, 200, 600000, 10000),
  UINT_ROW ("log.timeout_ms", log_timeout_ms, 50, 60000, 2000),
  UINT_ROW ("log.wait_ms", log_wait_ms, 10, 30000, 2000),
  UINT_ROW ("log.flush_ms", flush_ms, 1, 1000, 10),
  UINT_ROW ("log.appends_per_s", log_appends_per_s, 1, 100000, 300),
  UINT_ROW ("log.snapshot_records", snapshot_records, 10, 10000000, 2000),
  UINT_ROW ("once_window_ms", once_window_ms, 1000, 7 * DAY_MS, DAY_MS),
  UINT_ROW ("answer_keep_ms", answer_keep_ms, 0, DAY_MS, 60000),
  UINT_ROW ("drain_ms", drain_ms, 100, HOUR_MS, 30000),
  UINT_ROW ("silent_ms", silent_ms, 50, 600000, 3000),
  UINT_ROW ("permit_lease_ms", permit_lease_ms, 500, 60000, 5000),
  UINT_ROW ("request_max_ms", request_max_ms, 100, HOUR_MS, 30000),
  UINT_ROW ("max_body_bytes", max_body_bytes, 1024, 1048576, 1048576),
  UINT_ROW ("max_waiting_per_team", max_waiting_per_team, 1, 100000, 1000),
  UINT_ROW ("retry_permille", retry_permille, 0, 100, 100),
};

#define FIELD_COUNT (sizeof fields / sizeof fields[0])

bool
set_address_parse (struct cyc_str text, struct set_address *out)
{
  struct in_addr numeric;
  unsigned long port = 0;
  size_t colon = 0;

  while (colon < text.len && text.data[colon] != ':')
    colon++;
  if (colon == 0 || colon >= sizeof out->host || colon + 1 >= text.len
      || text.len - colon > 6)
    return false;
  for (size_t i = colon + 1; i < text.len; i++)
    {
      if (text.data[i] < '0' || text.data[i] > '9')
        return false;
      port = port * 10 + (unsigned long)(text.data[i] - '0');
    }
  memset (out, 0, sizeof *out);
  memcpy (out->host, text.data, colon);
  out->port = (uint16_t)port;
  return port > 0 && port <= UINT16_MAX
         && inet_pton (AF_INET, out->host, &numeric) == 1;
}

static struct cyc_str
json_str (struct json_object *value)
{
  return (struct cyc_str){
    .data = json_object_get_string (value),
    .len = (size_t)json_object_get_string_len (value),
  };
}

static bool
read_text (struct json_object *value, char *out, size_t capacity)
{
  struct cyc_str text = json_str (value);

  if (text.len >= capacity)
    return false;
  memcpy (out, text.data, text.len);
  out[text.len] = '\0';
  return true;
}

static const char *
set_string (const struct field *field, struct json_object *value, void *to)
{
  struct cyc_str text = json_str (value);
  uint32_t choice;

  switch (field->type)
    {
    case FIELD_NAME:
      if (!cyc_name_valid (text))
        return "must be 1 to 62 lower-case letters, digits, '-' or '.'";
      cyc_name_set (to, text);
      return NULL;
    case FIELD_ADDRESS:
      return set_address_parse (text, to) ? NULL : "must be \"IP:PORT\"";
    case FIELD_URL:
      if (text.len < 8 || strncmp (text.data, "http://", 7) != 0)
        return "must be an http:// URL";
      return read_text (value, to, SET_URL_BYTES) ? NULL : "is too long";
    case FIELD_PATH:
      return read_text (value, to, SET_URL_BYTES) ? NULL : "is too long";
    case FIELD_ON_STALE:
      if (cyc_str_eq (text, CYC_STR ("serve")))
        choice = SET_ON_STALE_SERVE;
      else if (cyc_str_eq (text, CYC_STR ("refuse")))
        choice = SET_ON_STALE_REFUSE;
      else
        return "must be \"serve\" or \"refuse\"";
      memcpy (to, &choice, sizeof choice);
      return NULL;
    default:
      return "must not be a string";
    }
}

static void
read_field (const struct field *field, struct json_object *value,
            struct cyc_str place, struct set_settings *out,
            struct cyc_findings *findings)
{
  void *to = (char *)out + field->offset;
  const char *defect = NULL;

  if (field->type == FIELD_UINT)
    {
      int64_t number = json_object_get_int64 (value);
      uint32_t stored = (uint32_t)number;

      if (!json_object_is_type (value, json_type_int) || number < field->lowest
          || number > field->highest)
        {
          cyc_findings_add (findings, place,
                            "must be a whole number from %u to %u",
                            field->lowest, field->highest);
          return;
        }
      memcpy (to, &stored, sizeof stored);
      return;
    }
  if (field->type == FIELD_BOOL)
    {
      bool stored = json_object_get_boolean (value);

      if (!json_object_is_type (value, json_type_boolean))
        cyc_findings_add (findings, place, "must be true or false");
      else
        memcpy (to, &stored, sizeof stored);
      return;
    }
  if (!json_object_is_type (value, json_type_string))
    defect = "must be a string";
  else
    defect = set_string (field, value, to);
  if (defect != NULL)
    cyc_findings_add (findings, place, "%s", defect);
}

static void
apply_defaults (struct set_settings *out)
{
  memset (out, 0, sizeof *out);
  for (size_t i = 0; i < FIELD_COUNT; i++)
    if (fields[i].type == FIELD_UINT || fields[i].type == FIELD_ON_STALE)
      memcpy ((char *)out + fields[i].offset, &fields[i].default_value,
              sizeof fields[i].default_value);
}

static bool
is_group (const char *path)
{
  size_t len = strlen (path);

  for (size_t i = 0; i < FIELD_COUNT; i++)
    if (strncmp (fields[i].path, path, len) == 0 && fields[i].path[len] == '.')
      return true;
  return false;
}

static void
read_object (struct json_object *object, const char *prefix,
             struct cyc_str place, struct set_settings *out, bool *seen,
             struct cyc_findings *findings)
{
  json_object_object_foreach (object, key, value)
  {
    char path[128];
    char field_place[256];
    size_t i;

    snprintf (path, sizeof path, "%s%s%s", prefix, *prefix ? "." : "", key);
    snprintf (field_place, sizeof field_place, "%.*s: $.%s", CYC_FMT (place),
              path);
    if (strcmp (path, "peers") == 0)
      continue;
    for (i = 0; i < FIELD_COUNT; i++)
      if (strcmp (fields[i].path, path) == 0)
        break;
    if (i < FIELD_COUNT)
      {
        seen[i] = true;
        read_field (&fields[i], value, cyc_str_of (field_place), out,
                    findings);
      }
    else if (is_group (path) && json_object_is_type (value, json_type_object))
      read_object (value, path, place, out, seen, findings);
    else
      cyc_findings_add (findings, cyc_str_of (field_place), "unknown setting");
  }
}

static void
read_peer_name (struct json_object *object, const char *key,
                struct cyc_str place, struct cyc_name *to,
                struct cyc_findings *findings)
{
  struct json_object *value = json_object_object_get (object, key);

  if (value == NULL || !json_object_is_type (value, json_type_string)
      || !cyc_name_valid (json_str (value)))
    cyc_findings_add (findings, place, "\"%s\" must be a valid name", key);
  else
    cyc_name_set (to, json_str (value));
}

static void
read_peer (struct json_object *object, struct cyc_str place,
           struct set_peer *peer, struct cyc_findings *findings)
{
  struct json_object *role;
  struct json_object *address;
  struct json_object *http;

  if (!json_object_is_type (object, json_type_object))
    {
      cyc_findings_add (findings, place, "must be an object");
      return;
    }
  json_object_object_foreach (object, key, value)
  {
    (void)value;
    if (strcmp (key, "vm") != 0 && strcmp (key, "domain") != 0
        && strcmp (key, "region") != 0 && strcmp (key, "role") != 0
        && strcmp (key, "address") != 0 && strcmp (key, "http") != 0)
      cyc_findings_add (findings, place, "unknown member \"%s\"", key);
  }
  read_peer_name (object, "vm", place, &peer->vm, findings);
  read_peer_name (object, "domain", place, &peer->domain, findings);
  read_peer_name (object, "region", place, &peer->region, findings);
  role = json_object_object_get (object, "role");
  if (role != NULL && cyc_str_eq (json_str (role), CYC_STR ("gateway")))
    peer->role = SET_ROLE_GATEWAY;
  else if (role != NULL && cyc_str_eq (json_str (role), CYC_STR ("scheduler")))
    peer->role = SET_ROLE_SCHEDULER;
  else
    cyc_findings_add (findings, place,
                      "\"role\" must be \"gateway\" or \"scheduler\"");
  address = json_object_object_get (object, "address");
  if (address == NULL || !json_object_is_type (address, json_type_string)
      || !set_address_parse (json_str (address), &peer->address))
    cyc_findings_add (findings, place, "\"address\" must be \"IP:PORT\"");
  http = json_object_object_get (object, "http");
  if (http != NULL
      && (!json_object_is_type (http, json_type_string)
          || !set_address_parse (json_str (http), &peer->http)))
    cyc_findings_add (findings, place, "\"http\" must be \"IP:PORT\"");
}

static void
read_peers (struct json_object *list, struct cyc_str place,
            struct set_settings *out, struct cyc_findings *findings)
{
  size_t count;

  if (list == NULL)
    return;
  if (!json_object_is_type (list, json_type_array)
      || json_object_array_length (list) > SET_MAX_PEERS)
    {
      cyc_findings_add (findings, place,
                        "$.peers must be a list of at most %d peers",
                        SET_MAX_PEERS);
      return;
    }
  count = json_object_array_length (list);
  for (size_t i = 0; i < count; i++)
    {
      char field_place[256];

      snprintf (field_place, sizeof field_place, "%.*s: $.peers[%zu]",
                CYC_FMT (place), i);
      read_peer (json_object_array_get_idx (list, i), cyc_str_of (field_place),
                 &out->peers[i], findings);
    }
  out->peer_count = (uint32_t)count;
}

struct order_rule
{
  const char *low_name;
  const char *high_name;
  size_t low;
  size_t high;
};

/* Pairs of settings whose first must be smaller than the second. */
static const struct order_rule order_rules[] = {
  { "keys.stale_ms", "keys.stale_max_ms", OFFSET_OF (key_stale_ms),
    OFFSET_OF (key_stale_max_ms) },
  { "peer_heartbeat_ms", "peer_silent_ms", OFFSET_OF (peer_heartbeat_ms),
    OFFSET_OF (peer_silent_ms) },
  { "peer_silent_ms", "peer_dead_ms", OFFSET_OF (peer_silent_ms),
    OFFSET_OF (peer_dead_ms) },
  { "worker_heartbeat_ms", "worker_silent_ms", OFFSET_OF (worker_heartbeat_ms),
    OFFSET_OF (worker_silent_ms) },
  { "worker_heartbeat_ms", "claim_lease_ms", OFFSET_OF (worker_heartbeat_ms),
    OFFSET_OF (claim_lease_ms) },
  { "worker_silent_ms", "task_lease_ms", OFFSET_OF (worker_silent_ms),
    OFFSET_OF (task_lease_ms) },
  { "task_lease_ms", "service_lease_ms", OFFSET_OF (task_lease_ms),
    OFFSET_OF (service_lease_ms) },
};

static void
check_order (const struct set_settings *out, struct cyc_str place,
             struct cyc_findings *findings)
{
  for (size_t i = 0; i < sizeof order_rules / sizeof order_rules[0]; i++)
    {
      uint32_t low;
      uint32_t high;

      memcpy (&low, (const char *)out + order_rules[i].low, sizeof low);
      memcpy (&high, (const char *)out + order_rules[i].high, sizeof high);
      if (low >= high)
        cyc_findings_add (
            findings, place, "$.%s (%u) must be smaller than $.%s (%u)",
            order_rules[i].low_name, low, order_rules[i].high_name, high);
    }
}

bool
set_parse (struct cyc_str text, struct cyc_str place, struct set_settings *out,
           struct cyc_findings *findings)
{
  bool seen[FIELD_COUNT] = { false };
  uint32_t before = findings->count;
  struct json_object *root = cyc_json_parse (text, place, findings);

  apply_defaults (out);
  if (root == NULL || !json_object_is_type (root, json_type_object))
    {
      if (findings->count == before)
        cyc_findings_add (findings, place, "must be an object");
      json_object_put (root);
      return false;
    }
  read_object (root, "", place, out, seen, findings);
  read_peers (json_object_object_get (root, "peers"), place, out, findings);
  for (size_t i = 0; i < FIELD_COUNT; i++)
    if (fields[i].required && !seen[i])
      cyc_findings_add (findings, place, "$.%s is missing", fields[i].path);
  check_order (out, place, findings);
  json_object_put (root);
  return findings->count == before;
}

bool
set_load (struct cyc_str path, struct set_settings *out,
          struct cyc_findings *findings)
{
  char file[1024];
  gchar *data = NULL;
  gsize len = 0;
  GError *error = NULL;
  bool valid;

  snprintf (file, sizeof file, "%.*s", CYC_FMT (path));
  if (!g_file_get_contents (file, &data, &len, &error))
    {
      cyc_findings_add (findings, path, "%s", error->message);
      g_error_free (error);
      return false;
    }
  valid = set_parse ((struct cyc_str){ data, len }, path, out, findings);
  g_free (data);
  return valid;
}
