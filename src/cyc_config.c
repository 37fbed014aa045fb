#include "cyc_json.h"

#include <cyclamendrum/config.h>
#include <cyclamendrum/jobs.h>

#include <json-c/json.h>
#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The bounds keep the product of a limit and a weight or balance within 128
   bits and every sum over the fleet within 64 bits. */
#define MAX_TEAM_LIMIT INT64_C (1000000000000)
#define MAX_WEIGHT 1000000
#define MAX_ENTRY_SEATS 1024
#define MAX_MILLICORES 10000000
#define MAX_MEMORY_MIB 100000000
#define MAX_ACCELERATORS 1024
#define MAX_REPLICAS 65536
#define MAX_RUN_S 31536000
#define MAX_ANSWERED_WITHIN_MS 86400000
/* The item name, "queue/" plus the queue name, must fit struct cyc_name. */
#define MAX_ITEM_NAME_BYTES (CYC_NAME_MAX_BYTES - 6)

/* Destination of findings, and the place that precedes their JSON paths. */
struct parse_context
{
  struct cyc_str place;
  struct cyc_findings *findings;
};

enum member_type
{
  MEMBER_U32,
  MEMBER_U64,
  MEMBER_BOOL,
  MEMBER_NAME,
  MEMBER_KIND,
  MEMBER_SPREAD,
  MEMBER_COMPOUND /**< object or list, read by the caller */
};

/* Schema of one member of a JSON object. */
struct member
{
  const char *key;
  enum member_type type;
  bool required;
  size_t offset;     /**< in the struct that is filled */
  int64_t min_value; /**< of a number */
  int64_t max_value;
  int64_t default_value;
};

static void __attribute__ ((format (printf, 3, 4)))
add_defect (const struct parse_context *context, const char *path,
            const char *format, ...)
{
  char place[256];
  char text[200];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  snprintf (place, sizeof place, "%.*s: %s", CYC_FMT (context->place), path);
  cyc_findings_add (context->findings, cyc_str_of (place), "%s", text);
}

static void
read_number (const struct parse_context *context, const char *path,
             const struct member *member, struct json_object *value, void *to)
{
  int64_t number = member->default_value;
  uint32_t value_u32;
  uint64_t value_u64;

  if (value != NULL && !json_object_is_type (value, json_type_int))
    add_defect (context, path, "must be a whole number");
  else if (value != NULL)
    {
      number = json_object_get_int64 (value);
      if (number < member->min_value || number > member->max_value)
        {
          add_defect (context, path, "must be between %lld and %lld",
                      (long long)member->min_value,
                      (long long)member->max_value);
          number = member->min_value;
        }
    }
  value_u32 = (uint32_t)number;
  value_u64 = (uint64_t)number;
  if (member->type == MEMBER_U32)
    memcpy (to, &value_u32, sizeof value_u32);
  else
    memcpy (to, &value_u64, sizeof value_u64);
}

static void
read_bool (const struct parse_context *context, const char *path,
           const struct member *member, struct json_object *value, void *to)
{
  bool flag = member->default_value != 0;

  if (value != NULL && !json_object_is_type (value, json_type_boolean))
    add_defect (context, path, "must be true or false");
  else if (value != NULL)
    flag = json_object_get_boolean (value);
  memcpy (to, &flag, sizeof flag);
}

static struct cyc_str
json_string (struct json_object *value)
{
  if (value == NULL || !json_object_is_type (value, json_type_string))
    return (struct cyc_str){ 0 };
  return (struct cyc_str){ .data = json_object_get_string (value),
                           .len = (size_t)json_object_get_string_len (value) };
}

static void
read_name (const struct parse_context *context, const char *path,
           struct json_object *value, void *to)
{
  struct cyc_name name = { 0 };
  struct cyc_str text = json_string (value);

  if (value == NULL)
    return;
  if (!cyc_name_valid (text) || text.len > MAX_ITEM_NAME_BYTES)
    add_defect (context, path,
                "must be a name of 1 to %d lower-case letters, digits, '-' "
                "and '.'",
                MAX_ITEM_NAME_BYTES);
  else
    cyc_name_set (&name, text);
  memcpy (to, &name, sizeof name);
}

static const char *const kind_names[] = { "service", "batch", "gang", NULL };
static const char *const spread_names[] = { "none", "rack", "domain", NULL };

static void
read_enum (const struct parse_context *context, const char *path,
           const char *const *names, struct json_object *value, void *to)
{
  struct cyc_str text = json_string (value);

  if (value == NULL)
    return;
  for (int i = 0; names[i] != NULL; i++)
    if (cyc_str_eq (text, cyc_str_of (names[i])))
      {
        memcpy (to, &i, sizeof i);
        return;
      }
  add_defect (context, path, "must be \"%s\", \"%s\" or \"%s\"", names[0],
              names[1], names[2]);
}

static void
read_member (const struct parse_context *context, const char *path,
             const struct member *member, struct json_object *value, void *to)
{
  if (value == NULL && member->required)
    add_defect (context, path, "is missing");
  switch (member->type)
    {
    case MEMBER_U32:
    case MEMBER_U64:
      read_number (context, path, member, value, to);
      break;
    case MEMBER_BOOL:
      read_bool (context, path, member, value, to);
      break;
    case MEMBER_NAME:
      read_name (context, path, value, to);
      break;
    case MEMBER_KIND:
      read_enum (context, path, kind_names, value, to);
      break;
    case MEMBER_SPREAD:
      read_enum (context, path, spread_names, value, to);
      break;
    case MEMBER_COMPOUND:
      break;
    }
}

/* Reads the members that the schema lists and reports all other members. */
static bool
read_object (const struct parse_context *context, const char *path,
             const struct member *members, size_t count,
             struct json_object *object, void *out)
{
  char member_path[160];

  if (!json_object_is_type (object, json_type_object))
    {
      add_defect (context, path, "must be an object");
      return false;
    }
  json_object_object_foreach (object, key, unused)
  {
    bool known = false;

    (void)unused;
    for (size_t i = 0; i < count && !known; i++)
      known = strcmp (members[i].key, key) == 0;
    snprintf (member_path, sizeof member_path, "%s.%.60s", path, key);
    if (!known)
      add_defect (context, member_path, "unknown member");
  }
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *value = NULL;

      /* A null member is present with a wrong type, not absent. */
      if (json_object_object_get_ex (object, members[i].key, &value)
          && value == NULL)
        {
          snprintf (member_path, sizeof member_path, "%s.%s", path,
                    members[i].key);
          add_defect (context, member_path, "must not be null");
          continue;
        }
      snprintf (member_path, sizeof member_path, "%s.%s", path,
                members[i].key);
      read_member (context, member_path, &members[i], value,
                   (char *)out + members[i].offset);
    }
  return true;
}

#define SIZE_MEMBERS(base_offset)                                             \
  { "millicores",                                                             \
    MEMBER_U32,                                                               \
    true,                                                                     \
    (base_offset) + offsetof (struct cyc_resources, millicores),              \
    1,                                                                        \
    MAX_MILLICORES,                                                           \
    0 },                                                                      \
      { "memory_mib",                                                         \
        MEMBER_U32,                                                           \
        true,                                                                 \
        (base_offset) + offsetof (struct cyc_resources, memory_mib),          \
        1,                                                                    \
        MAX_MEMORY_MIB,                                                       \
        0 },                                                                  \
  {                                                                           \
    "accelerators", MEMBER_U32, false,                                        \
        (base_offset) + offsetof (struct cyc_resources, accelerators), 0,     \
        MAX_ACCELERATORS, 0                                                   \
  }

static const struct member fleet_members[] = {
  { "regions", MEMBER_COMPOUND, true, 0, 0, 0, 0 },
  { "largest_worker", MEMBER_COMPOUND, true, 0, 0, 0, 0 },
  { "shards_per_domain", MEMBER_U32, false,
    offsetof (struct cyc_fleet_cfg, shards_per_domain), 1, 1, 1 },
};
static const struct member region_members[] = {
  { "name", MEMBER_NAME, true, offsetof (struct cyc_domain_cfg, region), 0, 0,
    0 },
  { "domains", MEMBER_COMPOUND, true, 0, 0, 0, 0 },
};
static const struct member domain_members[] = {
  { "name", MEMBER_NAME, true, offsetof (struct cyc_domain_cfg, name), 0, 0,
    0 },
  { "weight", MEMBER_U32, true, offsetof (struct cyc_domain_cfg, weight), 1,
    MAX_WEIGHT, 0 },
  { "entry_seats", MEMBER_U32, true,
    offsetof (struct cyc_domain_cfg, entry_seats), 1, MAX_ENTRY_SEATS, 0 },
};
static const struct member worker_members[] = {
  SIZE_MEMBERS (0),
};
static const struct member team_members[] = {
  { "team", MEMBER_NAME, true, offsetof (struct cyc_team_cfg, name), 0, 0, 0 },
  { "share_permille", MEMBER_U32, true,
    offsetof (struct cyc_team_cfg, share_permille), 0,
    CYC_SHARE_TOTAL_PERMILLE, 0 },
  { "limit_millicores", MEMBER_U64, true,
    offsetof (struct cyc_team_cfg, limit_millicores), 0, MAX_TEAM_LIMIT, 0 },
  { "limit_accelerators", MEMBER_U64, false,
    offsetof (struct cyc_team_cfg, limit_accelerators), 0, MAX_TEAM_LIMIT, 0 },
};
static const struct member queue_members[] = {
  { "queue", MEMBER_NAME, true, offsetof (struct cyc_queue_cfg, name), 0, 0,
    0 },
  { "team", MEMBER_NAME, true, offsetof (struct cyc_queue_cfg, team), 0, 0,
    0 },
  { "kind", MEMBER_KIND, true, offsetof (struct cyc_queue_cfg, kind), 0, 0,
    0 },
  { "urgent", MEMBER_BOOL, false, offsetof (struct cyc_queue_cfg, urgent), 0,
    0, 0 },
  { "open", MEMBER_BOOL, false, offsetof (struct cyc_queue_cfg, open), 0, 0,
    0 },
  /* Required, because either default does harm where the member is forgotten:
     with true, a task that bills a customer could run twice; with false,
     requests without a key would be refused. */
  { "repeatable", MEMBER_BOOL, true,
    offsetof (struct cyc_queue_cfg, repeatable), 0, 0, 0 },
  { "tasks", MEMBER_U32, false, offsetof (struct cyc_queue_cfg, tasks), 1,
    MAX_REPLICAS, 1 },
  SIZE_MEMBERS (offsetof (struct cyc_queue_cfg, size)),
  { "run_s", MEMBER_U32, false, offsetof (struct cyc_queue_cfg, run_s), 0,
    MAX_RUN_S, 0 },
  { "spread", MEMBER_SPREAD, false, offsetof (struct cyc_queue_cfg, spread), 0,
    0, 0 },
  { "objective", MEMBER_COMPOUND, false, 0, 0, 0, 0 },
};
static const struct member objective_members[] = {
  { "answered_within_ms", MEMBER_U32, true,
    offsetof (struct cyc_queue_cfg, answered_within_ms), 1,
    MAX_ANSWERED_WITHIN_MS, 0 },
  { "permille", MEMBER_U32, true,
    offsetof (struct cyc_queue_cfg, objective_permille), 1,
    CYC_SHARE_TOTAL_PERMILLE, 0 },
  { "definite_permille", MEMBER_U32, false,
    offsetof (struct cyc_queue_cfg, definite_permille), 1,
    CYC_SHARE_TOTAL_PERMILLE, 0 },
};

#define ARRAY_LENGTH(table) (sizeof (table) / sizeof (table)[0])

static void
read_domain (const struct parse_context *context, const char *path,
             struct json_object *object, const struct cyc_name *region,
             struct cyc_fleet_cfg *out)
{
  struct cyc_domain_cfg domain = { .region = *region };

  if (!read_object (context, path, domain_members,
                    ARRAY_LENGTH (domain_members), object, &domain))
    return;
  if (out->domain_count == CYC_MAX_DOMAINS)
    {
      add_defect (context, path, "more than %d domains", CYC_MAX_DOMAINS);
      return;
    }
  if (domain.name.len > 0
      && cyc_cfg_domain_index (out, cyc_name_str (&domain.name)) >= 0)
    add_defect (context, path, "domain \"%s\" is listed twice",
                domain.name.data);
  out->domains[out->domain_count++] = domain;
}

static void
read_region (const struct parse_context *context, const char *path,
             struct json_object *object, struct cyc_fleet_cfg *out)
{
  struct cyc_domain_cfg region_cfg = { 0 };
  struct json_object *list = NULL;
  char member_path[128];

  if (!read_object (context, path, region_members,
                    ARRAY_LENGTH (region_members), object, &region_cfg))
    return;
  for (uint32_t i = 0; i < out->domain_count; i++)
    if (region_cfg.region.len > 0
        && cyc_name_eq (&out->domains[i].region, &region_cfg.region))
      {
        add_defect (context, path, "region \"%s\" is listed twice",
                    region_cfg.region.data);
        break;
      }
  if (!json_object_object_get_ex (object, "domains", &list))
    return;
  if (!json_object_is_type (list, json_type_array)
      || json_object_array_length (list) == 0)
    {
      snprintf (member_path, sizeof member_path, "%s.domains", path);
      add_defect (context, member_path,
                  "must be a list of at least one domain");
      return;
    }
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      snprintf (member_path, sizeof member_path, "%s.domains[%zu]", path, i);
      read_domain (context, member_path, json_object_array_get_idx (list, i),
                   &region_cfg.region, out);
    }
}

static int
domain_order (const void *a, const void *b)
{
  const struct cyc_domain_cfg *left = a;
  const struct cyc_domain_cfg *right = b;

  return cyc_str_cmp (cyc_name_str (&left->name), cyc_name_str (&right->name));
}

static void
read_fleet (const struct parse_context *context, struct json_object *root,
            struct cyc_fleet_cfg *out)
{
  struct json_object *list = NULL;
  struct json_object *worker = NULL;
  char member_path[64];

  if (!read_object (context, "$", fleet_members, ARRAY_LENGTH (fleet_members),
                    root, out))
    return;
  if (json_object_object_get_ex (root, "largest_worker", &worker)
      && worker != NULL)
    read_object (context, "$.largest_worker", worker_members,
                 ARRAY_LENGTH (worker_members), worker, &out->largest_worker);
  if (!json_object_object_get_ex (root, "regions", &list) || list == NULL)
    return;
  if (!json_object_is_type (list, json_type_array)
      || json_object_array_length (list) == 0
      || json_object_array_length (list) > CYC_MAX_REGIONS)
    {
      add_defect (context, "$.regions", "must be a list of 1 to %d regions",
                  CYC_MAX_REGIONS);
      return;
    }
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      snprintf (member_path, sizeof member_path, "$.regions[%zu]", i);
      read_region (context, member_path, json_object_array_get_idx (list, i),
                   out);
    }
  qsort (out->domains, out->domain_count, sizeof out->domains[0],
         domain_order);
}

bool
cyc_cfg_parse_fleet (struct cyc_str body, struct cyc_str place,
                     struct cyc_fleet_cfg *out, struct cyc_findings *findings)
{
  struct parse_context context = { place, findings };
  uint32_t initial_count = findings->count + findings->dropped;
  struct json_object *root = cyc_json_parse (body, place, findings);

  memset (out, 0, sizeof *out);
  if (root != NULL)
    read_fleet (&context, root, out);
  json_object_put (root);
  return findings->count + findings->dropped == initial_count;
}

bool
cyc_cfg_parse_team (struct cyc_str body, struct cyc_str place,
                    struct cyc_team_cfg *out, struct cyc_findings *findings)
{
  struct parse_context context = { place, findings };
  uint32_t initial_count = findings->count + findings->dropped;
  struct json_object *root = cyc_json_parse (body, place, findings);

  memset (out, 0, sizeof *out);
  if (root != NULL)
    read_object (&context, "$", team_members, ARRAY_LENGTH (team_members),
                 root, out);
  json_object_put (root);
  return findings->count + findings->dropped == initial_count;
}

static void
check_queue_kind (const struct parse_context *context,
                  struct cyc_queue_cfg *queue)
{
  if (queue->kind == CYC_KIND_SERVICE)
    {
      queue->run_s = 0;
      return;
    }
  if (queue->run_s == 0)
    add_defect (context, "$.run_s", "is required for batch and gang queues");
  if (queue->tasks > CYC_JOB_MAX_TASKS)
    add_defect (context, "$.tasks", "must be at most %d for batch and gang",
                CYC_JOB_MAX_TASKS);
}

bool
cyc_cfg_parse_queue (struct cyc_str body, struct cyc_str place,
                     struct cyc_queue_cfg *out, struct cyc_findings *findings)
{
  struct parse_context context = { place, findings };
  uint32_t initial_count = findings->count + findings->dropped;
  struct json_object *root = cyc_json_parse (body, place, findings);
  struct json_object *objective = NULL;

  memset (out, 0, sizeof *out);
  if (root != NULL
      && read_object (&context, "$", queue_members,
                      ARRAY_LENGTH (queue_members), root, out))
    {
      if (json_object_object_get_ex (root, "objective", &objective)
          && objective != NULL)
        read_object (&context, "$.objective", objective_members,
                     ARRAY_LENGTH (objective_members), objective, out);
      check_queue_kind (&context, out);
    }
  json_object_put (root);
  return findings->count + findings->dropped == initial_count;
}

int
cyc_cfg_domain_index (const struct cyc_fleet_cfg *fleet, struct cyc_str name)
{
  for (uint32_t i = 0; i < fleet->domain_count; i++)
    if (cyc_str_eq (cyc_name_str (&fleet->domains[i].name), name))
      return (int)i;
  return -1;
}
