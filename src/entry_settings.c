#include "entry_settings.h"

#include "cyc_json.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/** Part of the memory that callers' connections may take, and bodies that are
 * not complete; the rest is for the state of a leader and one job that is
 * being read. */
#define CALLERS_DIVISOR 6
#define BODIES_DIVISOR 16
/** A connection whose client sends a body: buffers of libmicrohttpd. */
#define CALLER_KIB 36
/** Two of the largest bodies that callers may send. */
#define BODIES_MIN_KIB 1024
/** Part of the descriptors for callers: a leader has thousands of connections
 * to workers. */
#define CALLERS_FDS_DIVISOR 3
#define CALLERS_MIN 32
#define CALLERS_MAX 2048
/** Limit on the lease that is requested. The runs of a lost worker start
 * again elsewhere after one lease; a takeover takes up to 4 s when the log
 * is slow. */
#define LEASE_MAX_MS 6000

enum kind
{
  KIND_NAME,
  KIND_LISTEN,  /* address that this process listens on */
  KIND_ADDRESS, /* address of another service, stored as text */
  KIND_UINT,
  KIND_PERMILLE, /* a number, stored in thousandths */
  KIND_BOOL,
  KIND_DOMAINS /* an object, whose members name the failure domains */
};

struct setting
{
  const char *member;
  enum kind kind;
  bool required;
  size_t offset;
  uint32_t lowest;
  uint32_t highest;
  uint32_t fallback;
};

#define OFFSET_OF(member) offsetof (struct ent_settings, member)

static const struct setting settings_table[] = {
  { "vm", KIND_NAME, true, OFFSET_OF (vm), 0, 0, 0 },
  { "domain", KIND_NAME, true, OFFSET_OF (domain), 0, 0, 0 },
  { "region", KIND_NAME, true, OFFSET_OF (region), 0, 0, 0 },
  { "callers", KIND_LISTEN, true, OFFSET_OF (callers), 0, 0, 0 },
  { "readiness", KIND_LISTEN, true, OFFSET_OF (readiness), 0, 0, 0 },
  { "peers", KIND_LISTEN, true, OFFSET_OF (peers), 0, 0, 0 },
  { "metrics", KIND_LISTEN, false, OFFSET_OF (metrics), 0, 0, 0 },
  { "log", KIND_ADDRESS, true, OFFSET_OF (log_address), 0, 0, 0 },
  { "advisor", KIND_ADDRESS, false, OFFSET_OF (advisor_address), 0, 0, 0 },
  { "cpu_share", KIND_PERMILLE, false, OFFSET_OF (cpu_permille), 1, 1000000,
    1000 },
  { "cores", KIND_UINT, false, OFFSET_OF (cores), 1, 1024, 1 },
  { "link_mbps", KIND_PERMILLE, false, OFFSET_OF (link_kbps), 1, 1000000000,
    1000000 },
  { "log_parts", KIND_UINT, false, OFFSET_OF (log_parts), 1, 64, 1 },
  { "log_record_bytes", KIND_UINT, false, OFFSET_OF (log_record_bytes), 65536,
    1073741824, 262144 },
  { "log_request_bytes", KIND_UINT, false, OFFSET_OF (log_request_bytes),
    65536, 1073741824, 1048576 },
  { "worker_lease_ms", KIND_UINT, true, OFFSET_OF (lease_ms), 500, 600000,
    10000 },
  { "worker_heartbeat_ms", KIND_UINT, false, OFFSET_OF (heartbeat_ms), 0,
    600000, 0 },
  { "stop_grace_ms", KIND_UINT, false, OFFSET_OF (grace_ms), 1000, 600000,
    6000 },
  { "memory_mb", KIND_UINT, false, OFFSET_OF (memory_mb), 32, 1048576, 128 },
  { "max_fds", KIND_UINT, false, OFFSET_OF (max_fds), 128, 1048576, 4096 },
  { "callers_max", KIND_UINT, false, OFFSET_OF (callers_max), 0, 65536, 0 },
  { "bodies_max_kib", KIND_UINT, false, OFFSET_OF (bodies_max_kib), 0, 1048576,
    0 },
  { "request_timeout_ms", KIND_UINT, false, OFFSET_OF (request_timeout_ms),
    1000, 600000, 30000 },
  { "evacuation_max_ms", KIND_UINT, false, OFFSET_OF (evacuation_max_ms), 0,
    600000, 0 },
  { "config_max_age_ms", KIND_UINT, false, OFFSET_OF (config_max_age_ms), 100,
    600000, 2500 },
  { "domains", KIND_DOMAINS, false, OFFSET_OF (domains), 0, 0, 0 },
  { "weigh_reservations", KIND_BOOL, false, OFFSET_OF (weigh_reservations), 0,
    0, 0 },
  { "learn_speeds", KIND_BOOL, false, OFFSET_OF (learn_speeds), 0, 0, 0 },
  { "log_decisions", KIND_BOOL, false, OFFSET_OF (log_info), 0, 0, 1 },
};

#define SETTING_COUNT (sizeof settings_table / sizeof settings_table[0])

static void
add_finding (struct cyc_findings *findings, struct cyc_str place,
             const struct setting *setting, const char *text)
{
  cyc_findings_add (findings, place, "$.%s %s", setting->member, text);
}

static void
read_uint (const struct setting *setting, struct json_object *value,
           struct cyc_str place, struct ent_settings *out,
           struct cyc_findings *findings)
{
  int64_t number = json_object_get_int64 (value);
  uint32_t checked;

  if (!json_object_is_type (value, json_type_int) || number < setting->lowest
      || number > setting->highest)
    {
      cyc_findings_add (findings, place,
                        "$.%s must be a whole number from %u to %u",
                        setting->member, setting->lowest, setting->highest);
      return;
    }
  checked = (uint32_t)number;
  memcpy ((char *)out + setting->offset, &checked, sizeof checked);
}

static void
read_permille (const struct setting *setting, struct json_object *value,
               struct cyc_str place, struct ent_settings *out,
               struct cyc_findings *findings)
{
  double number = json_object_get_double (value) * 1000.0;
  uint32_t checked;

  if ((!json_object_is_type (value, json_type_double)
       && !json_object_is_type (value, json_type_int))
      || !(number >= setting->lowest) || number > setting->highest)
    {
      cyc_findings_add (findings, place, "$.%s must be a number from %g to %g",
                        setting->member, setting->lowest / 1000.0,
                        setting->highest / 1000.0);
      return;
    }
  checked = (uint32_t)number;
  memcpy ((char *)out + setting->offset, &checked, sizeof checked);
}

static void
read_text (const struct setting *setting, struct json_object *value,
           struct cyc_str place, struct ent_settings *out,
           struct cyc_findings *findings)
{
  void *at = (char *)out + setting->offset;
  struct set_address address;
  struct cyc_str text;

  if (!json_object_is_type (value, json_type_string))
    {
      add_finding (findings, place, setting, "must be a string");
      return;
    }
  text = (struct cyc_str){ json_object_get_string (value),
                           (size_t)json_object_get_string_len (value) };
  if (setting->kind == KIND_NAME)
    {
      if (!cyc_name_valid (text) || !cyc_name_set (at, text))
        add_finding (findings, place, setting, "is not a valid name");
      return;
    }
  if (text.len == 0 && !setting->required)
    return;
  if (!set_address_parse (text, &address))
    add_finding (findings, place, setting, "must be IP:PORT");
  else if (setting->kind == KIND_LISTEN)
    memcpy (at, &address, sizeof address);
  else
    g_strlcpy (at, json_object_get_string (value),
               sizeof ((struct ent_settings *)0)->log_address);
}

static void
read_domains (const struct setting *setting, struct json_object *value,
              struct cyc_str place, struct ent_settings *out,
              struct cyc_findings *findings)
{
  if (!json_object_is_type (value, json_type_object))
    {
      add_finding (findings, place, setting, "must be an object");
      return;
    }
  if (json_object_object_length (value) > SET_DOMAINS_MAX)
    {
      cyc_findings_add (findings, place, "$.%s has more than %d members",
                        setting->member, SET_DOMAINS_MAX);
      return;
    }
  json_object_object_foreach (value, name, region)
  {
    (void)region;
    if (cyc_name_set (&out->domains[out->domain_count], cyc_str_of (name)))
      out->domain_count++;
    else
      add_finding (findings, place, setting, "has a name that is too long");
  }
}

static void
read_setting (const struct setting *setting, struct json_object *root,
              struct cyc_str place, struct ent_settings *out,
              struct cyc_findings *findings)
{
  struct json_object *value = NULL;
  bool flag;

  if (!json_object_object_get_ex (root, setting->member, &value)
      || value == NULL)
    {
      if (setting->required)
        add_finding (findings, place, setting, "is missing");
      else if (setting->kind == KIND_UINT || setting->kind == KIND_PERMILLE)
        memcpy ((char *)out + setting->offset, &setting->fallback,
                sizeof setting->fallback);
      return;
    }
  switch (setting->kind)
    {
    case KIND_UINT:
      read_uint (setting, value, place, out, findings);
      return;
    case KIND_PERMILLE:
      read_permille (setting, value, place, out, findings);
      return;
    case KIND_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        add_finding (findings, place, setting, "must be true or false");
      flag = json_object_get_boolean (value);
      memcpy ((char *)out + setting->offset, &flag, sizeof flag);
      return;
    case KIND_DOMAINS:
      read_domains (setting, value, place, out, findings);
      return;
    case KIND_NAME:
    case KIND_LISTEN:
    case KIND_ADDRESS:
      read_text (setting, value, place, out, findings);
      return;
    }
}

/* Sizes what callers may hold by the machine. */
static void
set_caller_limits (struct ent_settings *out)
{
  uint32_t memory_kib = out->memory_mb * 1024;

  if (out->callers_max == 0)
    out->callers_max = CLAMP (MIN (memory_kib / CALLERS_DIVISOR / CALLER_KIB,
                                   out->max_fds / CALLERS_FDS_DIVISOR),
                              CALLERS_MIN, CALLERS_MAX);
  if (out->bodies_max_kib == 0)
    out->bodies_max_kib = MAX (memory_kib / BODIES_DIVISOR, BODIES_MIN_KIB);
}

bool
ent_settings_parse (struct cyc_str text, struct cyc_str place,
                    struct ent_settings *out, struct cyc_findings *findings)
{
  uint32_t before = findings->count;
  struct json_object *root = cyc_json_parse (text, place, findings);

  memset (out, 0, sizeof *out);
  out->log_info = true;
  if (root == NULL || !json_object_is_type (root, json_type_object))
    {
      if (findings->count == before)
        cyc_findings_add (findings, place, "must be an object");
      json_object_put (root);
      return false;
    }
  for (size_t i = 0; i < SETTING_COUNT; i++)
    read_setting (&settings_table[i], root, place, out, findings);
  json_object_put (root);
  set_caller_limits (out);
  out->lease_max_ms = out->lease_ms;
  out->lease_ms = MIN (out->lease_ms, LEASE_MAX_MS);
  return findings->count == before;
}

bool
ent_settings_load (struct cyc_str path, struct ent_settings *out,
                   struct cyc_findings *findings)
{
  char *file = g_strndup (path.data, path.len);
  gchar *data = NULL;
  gsize len = 0;
  GError *error = NULL;
  bool valid;

  if (!g_file_get_contents (file, &data, &len, &error))
    {
      cyc_findings_add (findings, path, "%s", error->message);
      g_error_free (error);
      g_free (file);
      return false;
    }
  g_free (file);
  valid = ent_settings_parse ((struct cyc_str){ data, len }, path, out,
                              findings);
  g_free (data);
  return valid;
}
