#include "cyc_json.h"

#include <limits.h>
#include <stdio.h>
#include <string.h>

/* Returns the end of the comment that begins at @p from, or @p from if no
   complete comment begins there. */
static size_t
skip_comment (struct cyc_str text, size_t from)
{
  const char *end;

  if (from + 1 >= text.len || text.data[from] != '/')
    return from;
  if (text.data[from + 1] == '/')
    {
      end = memchr (text.data + from, '\n', text.len - from);
      return end == NULL ? text.len : (size_t)(end - text.data);
    }
  if (text.data[from + 1] != '*')
    return from;
  for (size_t i = from + 2; i + 1 < text.len; i++)
    if (text.data[i] == '*' && text.data[i + 1] == '/')
      return i + 2;
  return from;
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

static bool
only_blank_or_comments (struct cyc_str text, size_t from)
{
  while (from < text.len)
    {
      size_t next = skip_comment (text, from);

      if (next == from && !is_blank (text.data[from]))
        return false;
      from = next == from ? from + 1 : next;
    }
  return true;
}

static void
add_finding (struct cyc_findings *findings, struct cyc_str place,
             const char *text)
{
  char where[160];

  snprintf (where, sizeof where, "%.*s: $", CYC_FMT (place));
  cyc_findings_add (findings, cyc_str_of (where), "%s", text);
}

struct json_object *
cyc_json_parse (struct cyc_str body, struct cyc_str place,
                struct cyc_findings *findings)
{
  struct json_tokener *tokener;
  struct json_object *root = NULL;
  enum json_tokener_error error;
  size_t end;

  if (body.len == 0 || body.len > INT_MAX)
    {
      add_finding (findings, place, "is empty or too long");
      return NULL;
    }
  tokener = json_tokener_new ();
  if (tokener == NULL)
    {
      add_finding (findings, place, "out of memory");
      return NULL;
    }
  json_tokener_set_flags (tokener, JSON_TOKENER_VALIDATE_UTF8);
  root = json_tokener_parse_ex (tokener, body.data, (int)body.len);
  error = json_tokener_get_error (tokener);
  end = json_tokener_get_parse_end (tokener);
  if (error == json_tokener_continue)
    {
      /* The text may end in a line comment without a newline; the parser needs
         the newline to end the comment. */
      root = json_tokener_parse_ex (tokener, "\n", 1);
      error = json_tokener_get_error (tokener);
      end = body.len;
    }
  if (error == json_tokener_continue)
    add_finding (findings, place, "not JSON (ends too early)");
  else if (error != json_tokener_success)
    {
      char text[160];

      snprintf (text, sizeof text, "not JSON (at byte %zu: %s)", end,
                json_tokener_error_desc (error));
      add_finding (findings, place, text);
    }
  else if (!only_blank_or_comments (body, end))
    add_finding (findings, place, "text after the end of the JSON value");
  json_tokener_free (tokener);
  if (root == NULL && error == json_tokener_success)
    add_finding (findings, place, "must be an object");
  return root;
}
