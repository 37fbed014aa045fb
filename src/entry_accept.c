/* Writes accepted jobs and cancellations to the log, as many as wait in one
   append. A caller hears of its job only when the log has it. */

#include "entry_internal.h"

/** A refused append is tried again for so long before the caller is told to
 * come back: one more try, as a log that refuses twice is down for seconds. */
#define REFUSED_MOST_US 60000
#define RETRY_US 50000
/** While the log is known to be down, an append tries it so often; jobs that
 * come meanwhile are refused at once. */
#define PROBE_US 150000
/** Time limit of an append: several VMs may wait for one part of a slow log,
 * and an append that is tried again waits once more. */
#define ACCEPT_APPEND_MS 1800
/** Most bytes and records in one append. */
#define BATCH_BYTES 1048576
#define BATCH_RECORDS 500
/** Callers whose job the log does not take come back after this. */
#define RETRY_AFTER_S 1

struct accept_item
{
  struct cyc_ref call;
  uint8_t *data;
  size_t len;
  char key[20];
  uint64_t job;
  uint64_t first_refused_us;
  uint64_t begun_us;
  bool maybe; /* an append of it may have taken effect */
};

static void
free_item (struct accept_item *item)
{
  free (item->data);
  g_free (item);
}

static void
end_item (struct entry *entry, struct accept_item *item,
          enum pt_answer_kind kind)
{
  requests_answer (
      entry, item->call,
      &(struct pt_answer){
          .kind = kind,
          .retry_after_s = kind == PT_ANSWER_BUSY ? RETRY_AFTER_S : 0,
      });
  free_item (item);
}

void
accept_add (struct entry *entry, struct cyc_ref call, char kind, uint64_t job,
            uint8_t *data, size_t len)
{
  struct accept_item *item = g_new0 (struct accept_item, 1);

  item->call = call;
  item->data = data;
  item->len = len;
  item->job = job;
  item->begun_us = hc_now_us ();
  snprintf (item->key, sizeof item->key, "%c%016" PRIx64, kind, job);
  if (entry->accept_down && item->begun_us < entry->accept_probe_us)
    {
      end_item (entry, item, PT_ANSWER_BUSY);
      return;
    }
  entry->accept_probe_us = item->begun_us + PROBE_US;
  g_queue_push_tail (&entry->accept_waiting, item);
  accept_tick (entry, item->begun_us);
}

/* Tells the leader of a record that is stored, so that it need not wait until
   its read of the stream shows it. */
static void
push_item (struct entry *entry, const struct accept_item *item)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__CellPush push = CYC__CELL_PUSH__INIT;
  struct cyc_ref peer;

  if (entry->owner != NULL)
    {
      owner_push (entry, &(struct pt_record){
                             .key = cyc_str_of (item->key),
                             .value = { (const char *)item->data, item->len },
                         });
      return;
    }
  peer = pl_find (&entry->links, cyc_name_str (&entry->leader.vm),
                  SET_ROLE_ENTRY);
  message.body_case = CYC__PEER__BODY_CELL_PUSH;
  message.cell_push = &push;
  push.key = (ProtobufCBinaryData){ strlen (item->key), (uint8_t *)item->key };
  push.value = (ProtobufCBinaryData){ item->len, item->data };
  if (peer.generation != 0)
    pl_send (&entry->links, peer, &message);
}

/* True when the item ended; else it waits for another append. */
static bool
settle (struct entry *entry, struct accept_item *item, enum pt_fate fate,
        uint64_t now_us)
{
  struct entry_call *call = cyc_pool_live (&entry->call_pool, item->call)
                                ? &entry->calls[item->call.index]
                                : NULL;
  uint64_t deadline_us = call != NULL ? call->deadline_us : now_us;

  if (fate == PT_OK)
    {
      met_add (&entry->met, MET_JOBS_ACCEPTED, 1);
      met_observe (&entry->met, MET_LOG_APPEND_US, now_us - item->begun_us);
      push_item (entry, item);
      end_item (entry, item,
                item->key[0] == 'j' ? PT_ANSWER_ACCEPTED
                                    : PT_ANSWER_CANCELLED);
      return true;
    }
  item->maybe = item->maybe || fate == PT_UNKNOWN;
  if (item->first_refused_us == 0)
    item->first_refused_us = now_us;
  if (!item->maybe && now_us >= item->first_refused_us + REFUSED_MOST_US)
    {
      end_item (entry, item, PT_ANSWER_BUSY);
      return true;
    }
  if (now_us >= deadline_us)
    {
      end_item (entry, item,
                item->maybe ? PT_ANSWER_NOT_KNOWN : PT_ANSWER_BUSY);
      return true;
    }
  return false;
}

static void
on_stored (void *user, const struct pt_append_result *result)
{
  struct entry *entry = user;
  GPtrArray *flight = entry->accept_flight;
  uint64_t now_us = hc_now_us ();

  entry->accept_flight = g_ptr_array_new ();
  met_add (&entry->met,
           result->fate == PT_OK ? MET_LOG_APPENDS : MET_LOG_APPEND_FAILURES,
           1);
  entry->accept_down = result->fate == PT_REFUSED;
  for (guint i = flight->len; i-- > 0;)
    if (!settle (entry, g_ptr_array_index (flight, i), result->fate, now_us))
      g_queue_push_head (&entry->accept_waiting,
                         g_ptr_array_index (flight, i));
  g_ptr_array_free (flight, TRUE);
  if (result->fate != PT_OK)
    {
      entry->accept_next_us = now_us + RETRY_US;
      entry_wake_at (entry, entry->accept_next_us);
    }
  else
    accept_tick (entry, now_us);
}

void
accept_tick (struct entry *entry, uint64_t now_us)
{
  struct pt_record records[BATCH_RECORDS];
  uint32_t count = 0;
  size_t bytes = 0;

  if (entry->accept_flight->len > 0 || now_us < entry->accept_next_us)
    return;
  while (count < BATCH_RECORDS && bytes < BATCH_BYTES
         && !g_queue_is_empty (&entry->accept_waiting))
    {
      struct accept_item *item = g_queue_pop_head (&entry->accept_waiting);

      records[count++] = (struct pt_record){
        .key = cyc_str_of (item->key),
        .value = { (const char *)item->data, item->len },
      };
      bytes += item->len;
      g_ptr_array_add (entry->accept_flight, item);
    }
  if (count == 0)
    return;
  if (!entry->relay.log.vtable->append (
          &entry->relay.log,
          &(struct pt_append){
              .stream = PT_STREAM_JOBS,
              .part = entry->accept_part,
              .records = records,
              .count = count,
              .deadline_us = now_us + (uint64_t)ACCEPT_APPEND_MS * 1000,
              .done = on_stored,
              .user = entry,
          }))
    on_stored (entry, &(struct pt_append_result){ .fate = PT_REFUSED });
}

void
accept_shutdown (struct entry *entry)
{
  struct accept_item *item;

  while ((item = g_queue_pop_head (&entry->accept_waiting)) != NULL)
    free_item (item);
  for (guint i = 0; i < entry->accept_flight->len; i++)
    free_item (g_ptr_array_index (entry->accept_flight, i));
  g_ptr_array_free (entry->accept_flight, TRUE);
}
