#include "log_event.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

struct ev_item
{
  GLogLevelFlags level;
  const char *level_name;
  const char *name;
};

static const struct ev_item items[EV_COUNT] = {
#define EV_ROW(code, level, name) { G_LOG_LEVEL_##level, #level, name },
  EV_ITEMS (EV_ROW)
#undef EV_ROW
};

static const char *
field_text (const GLogField *fields, gsize count, const char *key)
{
  for (gsize i = 0; i < count; i++)
    if (strcmp (fields[i].key, key) == 0)
      return fields[i].value;
  return "";
}

/* Maximum credit, in seconds of the rate limit. */
#define MAX_BURST_S 2

/* Takes the credit for one INFO or DEBUG line. Returns false if the rate limit
   is exceeded. */
static bool
take_credit (struct ev_sink *sink)
{
  struct timespec now;
  uint64_t now_us;

  if (sink->max_lines_per_s == 0)
    return true;
  clock_gettime (CLOCK_MONOTONIC, &now);
  now_us = (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
  sink->credit += (double)(now_us - sink->credit_updated_us)
                  * sink->max_lines_per_s / 1e6;
  sink->credit_updated_us = now_us;
  if (sink->credit > (double)sink->max_lines_per_s * MAX_BURST_S)
    sink->credit = (double)sink->max_lines_per_s * MAX_BURST_S;
  if (sink->credit < 1.0)
    return false;
  sink->credit -= 1.0;
  return true;
}

/* Returns false if the line cannot be written without blocking. */
static bool
try_write_line (struct ev_sink *sink, const char *line, size_t length)
{
  struct pollfd ready = { .fd = sink->fd, .events = POLLOUT };

  return poll (&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0
         && write (sink->fd, line, length) == (ssize_t)length;
}

/* Writes the number of dropped lines, if a line can be written again. */
static void
write_dropped_count (struct ev_sink *sink)
{
  char line[200];
  int length
      = snprintf (line, sizeof line,
                  "level=WARNING event=%s lines=%" PRIu64 " vm=%s role=%s\n",
                  items[EV_LINES_DROPPED].name, sink->dropped, sink->vm.data,
                  sink->role.data);

  if (try_write_line (sink, line, (size_t)length))
    sink->dropped = 0;
}

/* Uses one write per line, so that lines of several processes on one terminal
   are not interleaved. The keys of the event come before those of the process,
   as operators may keep only the first 150 characters of a line. */
static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize count,
            gpointer user)
{
  struct ev_sink *sink = user;
  struct timespec now;
  char line[1400];
  int length;

  if ((level & G_LOG_LEVEL_MASK) > sink->lowest_level)
    return G_LOG_WRITER_HANDLED;
  if ((level & G_LOG_LEVEL_MASK) > G_LOG_LEVEL_MESSAGE && !take_credit (sink))
    {
      sink->dropped++;
      return G_LOG_WRITER_HANDLED;
    }
  clock_gettime (CLOCK_REALTIME, &now);
  length = snprintf (
      line, sizeof line, "ts=%lld.%03ld level=%s event=%s %s vm=%s role=%s\n",
      (long long)now.tv_sec, now.tv_nsec / 1000000,
      field_text (fields, count, "EVENT_LEVEL"),
      field_text (fields, count, "EVENT"),
      field_text (fields, count, "MESSAGE"), sink->vm.data, sink->role.data);
  if (length >= (int)sizeof line)
    {
      length = sizeof line - 1;
      line[length - 1] = '\n';
    }
  if (sink->dropped > 0)
    write_dropped_count (sink);
  if (!try_write_line (sink, line, (size_t)length))
    sink->dropped++;
  return G_LOG_WRITER_HANDLED;
}

void
ev_setup (struct ev_sink *sink, const struct ev_desc *desc)
{
  memset (sink, 0, sizeof *sink);
  sink->vm = desc->vm;
  cyc_name_set (&sink->role, desc->role);
  sink->lowest_level
      = desc->lowest_level ? desc->lowest_level : G_LOG_LEVEL_MESSAGE;
  sink->fd = desc->fd ? desc->fd : STDERR_FILENO;
  sink->max_lines_per_s = desc->max_lines_per_s;
  g_log_set_writer_func (write_line, sink, NULL);
}

void
ev_log (enum ev_code code, const char *format, ...)
{
  char text[1024];
  va_list args;
  GLogField fields[4];

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  fields[0] = (GLogField){ "MESSAGE", text, -1 };
  fields[1] = (GLogField){ "EVENT", items[code].name, -1 };
  fields[2] = (GLogField){ "EVENT_LEVEL", items[code].level_name, -1 };
  fields[3] = (GLogField){ "GLIB_DOMAIN", "cyclamendrum", -1 };
  g_log_structured_array (items[code].level, fields, 4);
}

void
ev_findings (enum ev_code code, const struct cyc_findings *findings)
{
  for (uint32_t i = 0; i < findings->count; i++)
    ev_log (code, "place=\"%s\" finding=\"%s\"", findings->rows[i].place,
            findings->rows[i].text);
  if (findings->dropped > 0)
    ev_log (code, "more_findings=%" PRIu32, findings->dropped);
}
