#include "tst_memory_log.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define MAX_READ_RECORDS 512

static struct cyc_str
copy_of (struct cyc_str text)
{
  char *data = malloc (text.len + 1);

  assert_non_null (data);
  if (text.len > 0)
    memcpy (data, text.data, text.len);
  return (struct cyc_str){ .data = data, .len = text.len };
}

struct tst_stream *
tst_stream (struct tst_store *store, struct cyc_str name)
{
  for (int i = 0; i < TST_MAX_STREAMS; i++)
    {
      struct tst_stream *stream = &store->streams[i];

      if (stream->name[0] == '\0')
        memcpy (stream->name, name.data, name.len);
      if (cyc_str_eq (cyc_str_of (stream->name), name))
        return stream;
    }
  fail_msg ("more than %d streams", TST_MAX_STREAMS);
  return &store->streams[0];
}

uint64_t
tst_store_append (struct tst_store *store, struct cyc_str stream,
                  struct cyc_str record)
{
  struct tst_stream *to = tst_stream (store, stream);

  to->records = realloc (to->records, (to->next + 1) * sizeof *to->records);
  assert_non_null (to->records);
  to->records[to->next] = copy_of (record);
  return to->next++;
}

void
tst_store_trim (struct tst_store *store, struct cyc_str stream,
                uint64_t oldest)
{
  tst_stream (store, stream)->oldest = oldest;
}

void
tst_store_free (struct tst_store *store)
{
  for (int i = 0; i < TST_MAX_STREAMS; i++)
    {
      for (uint64_t k = 0; k < store->streams[i].next; k++)
        free ((char *)store->streams[i].records[k].data);
      free (store->streams[i].records);
    }
}

uint32_t
tst_store_read (struct tst_store *store, struct cyc_str stream, uint64_t from,
                uint32_t max, struct lc_record *out)
{
  const struct tst_stream *of = tst_stream (store, stream);
  uint32_t count = 0;

  if (from < of->oldest)
    from = of->oldest;
  for (; from < of->next && count < max; from++)
    out[count++]
        = (struct lc_record){ .offset = from, .data = of->records[from] };
  return count;
}

static struct tst_call *
free_call (struct tst_log *log)
{
  for (int i = 0; i < TST_MAX_CALLS; i++)
    if (!log->calls[i].used)
      return &log->calls[i];
  return NULL;
}

static bool
memory_append (struct lc_log *base, const struct lc_append *append)
{
  struct tst_log *log = (struct tst_log *)base;
  struct tst_call *call = free_call (log);

  log->appends++;
  if (call == NULL)
    return false;
  *call = (struct tst_call){ .used = true,
                             .is_append = true,
                             .delay = log->delay,
                             .append = *append,
                             .record = copy_of (append->record) };
  if (log->fault_calls > 0)
    {
      log->fault_calls--;
      call->fault = log->fault;
    }
  return true;
}

static bool
memory_read (struct lc_log *base, const struct lc_read *read)
{
  struct tst_log *log = (struct tst_log *)base;
  struct tst_call *call = free_call (log);

  log->reads++;
  if (call == NULL)
    return false;
  *call
      = (struct tst_call){ .used = true, .delay = log->delay, .read = *read };
  return true;
}

static const struct lc_vtable memory_vtable
    = { .append = memory_append, .read = memory_read };

void
tst_log_setup (struct tst_log *log, struct tst_store *shared)
{
  memset (log, 0, sizeof *log);
  log->log.vtable = &memory_vtable;
  log->store = shared != NULL ? shared : &log->own_store;
}

void
tst_log_shutdown (struct tst_log *log)
{
  for (int i = 0; i < TST_MAX_CALLS; i++)
    free ((char *)log->calls[i].record.data);
  tst_store_free (&log->own_store);
}

void
tst_log_fault (struct tst_log *log, enum tst_fault fault, uint32_t calls)
{
  log->fault = fault;
  log->fault_calls = calls;
}

static void
answer_append (struct tst_log *log, const struct tst_call *call)
{
  struct lc_append_result result = { .outcome = LC_OK };

  if (log->down || call->fault == TST_DOWN || call->fault == TST_REFUSED)
    result.outcome = LC_FAILED;
  else if (call->fault != TST_LOST_BEFORE_WRITE)
    result.offset
        = tst_store_append (log->store, call->append.stream, call->record);
  if (result.outcome == LC_OK && call->fault != TST_NO_FAULT)
    result = (struct lc_append_result){ .outcome = LC_UNKNOWN };
  call->append.done (call->append.user, &result);
}

static void
answer_read (struct tst_log *log, const struct tst_call *call)
{
  static struct lc_record records[MAX_READ_RECORDS];
  const struct tst_stream *stream = tst_stream (log->store, call->read.stream);
  struct lc_read_result result = { .outcome = LC_FAILED };
  uint32_t max
      = call->read.max < MAX_READ_RECORDS ? call->read.max : MAX_READ_RECORDS;

  if (!log->down && !log->reads_down
      && (log->max_read_records == 0
          || call->read.max <= log->max_read_records))
    result = (struct lc_read_result){
      .outcome = LC_OK,
      .oldest = stream->oldest,
      .next = stream->next,
      .records = records,
      .count = tst_store_read (log->store, call->read.stream, call->read.from,
                               max, records),
    };
  call->read.done (call->read.user, &result);
}

void
tst_log_run (struct tst_log *log)
{
  struct tst_call due[TST_MAX_CALLS];
  int count = 0;

  for (int i = 0; i < TST_MAX_CALLS; i++)
    {
      if (!log->calls[i].used)
        continue;
      if (log->calls[i].delay > 0)
        {
          log->calls[i].delay--;
          continue;
        }
      due[count++] = log->calls[i];
      log->calls[i] = (struct tst_call){ 0 };
    }
  for (int i = 0; i < count; i++)
    {
      if (due[i].is_append)
        answer_append (log, &due[i]);
      else
        answer_read (log, &due[i]);
      free ((char *)due[i].record.data);
    }
}
