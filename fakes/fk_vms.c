#include "fk_vms.h"

#include <string.h>

struct pending_list
{
  uint64_t due_us;
  struct json_object *list;
};

static struct json_object *
make_wrong_list (struct json_object *list)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *rows = json_object_new_array ();
  struct json_object *all = json_object_object_get (list, "vms");

  for (size_t i = 0; i < json_object_array_length (all); i += 2)
    {
      struct json_object *row = NULL;

      json_object_deep_copy (json_object_array_get_idx (all, i), &row, NULL);
      json_object_object_add (row, "address",
                              json_object_new_string ("http://127.0.0.1:1"));
      json_object_array_add (rows, row);
    }
  json_object_object_add (root, "vms", rows);
  return root;
}

static void
set_current_list (struct fk_vms *vms, struct json_object *list)
{
  json_object_put (vms->current_list);
  json_object_put (vms->wrong_list);
  vms->current_list = list;
  vms->wrong_list = make_wrong_list (list);
}

static bool
has_list (struct json_object *json)
{
  return json != NULL
         && json_object_is_type (json_object_object_get (json, "vms"),
                                 json_type_array);
}

static void
handle_list (struct fk_vms *vms, const struct hs_call *call)
{
  struct json_object *json = fk_parse (call->body);
  struct pending_list *next;

  if (!has_list (json))
    {
      json_object_put (json);
      fk_refuse (&vms->hs, call->ref, 400, "no list of vms");
      return;
    }
  next = g_new0 (struct pending_list, 1);
  next->due_us = hc_now_us () + (uint64_t)vms->lag_ms * 1000;
  next->list = json;
  g_queue_push_tail (vms->pending_lists, next);
  fk_reply_json (&vms->hs, call->ref, 200, json_object_new_object ());
}

static void
set_faults (struct fk_vms *vms, const struct hs_call *call)
{
  struct json_object *json = fk_parse (call->body);

  if (json == NULL)
    {
      fk_refuse (&vms->hs, call->ref, 400, "not a JSON object");
      return;
    }
  vms->down = fk_bool (json, "down", vms->down);
  vms->wrong = fk_bool (json, "wrong", vms->wrong);
  vms->lag_ms = fk_int (json, "lag_ms", vms->lag_ms);
  json_object_put (json);
  fk_reply_json (&vms->hs, call->ref, 200, json_object_new_object ());
}

static void
answer_list (struct fk_vms *vms, const struct hs_call *call)
{
  struct pending_list *next;

  if (vms->down)
    {
      fk_close_without_answer (&vms->hs, call->ref, call->connection);
      return;
    }
  while ((next = g_queue_peek_head (vms->pending_lists)) != NULL
         && next->due_us <= hc_now_us ())
    {
      set_current_list (vms, next->list);
      g_free (g_queue_pop_head (vms->pending_lists));
    }
  fk_reply_json (
      &vms->hs, call->ref, 200,
      json_object_get (vms->wrong ? vms->wrong_list : vms->current_list));
}

static void
on_call (void *user, const struct hs_call *call)
{
  struct fk_vms *vms = user;

  if (cyc_str_eq (call->path, CYC_STR ("/vms")))
    handle_list (vms, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/faults")))
    set_faults (vms, call);
  else if (cyc_str_eq (call->path, CYC_STR ("/v1/vms")))
    answer_list (vms, call);
  else
    fk_refuse (&vms->hs, call->ref, 404, "no such path");
}

bool
fk_vms_load (struct fk_vms *vms, const char *path)
{
  struct json_object *json = json_object_from_file (path);

  if (!has_list (json))
    {
      json_object_put (json);
      return false;
    }
  set_current_list (vms, json);
  return true;
}

bool
fk_vms_setup (struct fk_vms *vms, struct ev_loop *loop, uint16_t port,
              struct cyc_findings *findings)
{
  memset (vms, 0, sizeof *vms);
  vms->pending_lists = g_queue_new ();
  set_current_list (vms, fk_parse (CYC_STR ("{\"vms\":[]}")));
  return hs_setup (&vms->hs,
                   &(struct hs_desc){ .loop = loop,
                                      .address = "127.0.0.1",
                                      .port = port,
                                      .handle = on_call,
                                      .user = vms },
                   findings);
}

void
fk_vms_shutdown (struct fk_vms *vms)
{
  struct pending_list *next;

  hs_shutdown (&vms->hs);
  while ((next = g_queue_pop_head (vms->pending_lists)) != NULL)
    {
      json_object_put (next->list);
      g_free (next);
    }
  g_queue_free (vms->pending_lists);
  json_object_put (vms->current_list);
  json_object_put (vms->wrong_list);
}
