/* Stores accepted jobs and cancellations: through the leader, which appends
   those of all VMs in batches together with its own records, or by an
   append of this VM while no leader can. A caller gets a positive answer
   only after the log has stored its record. */

#include "entry_internal.h"

/** How long a refused append is retried before the caller is told to retry
 * later. This allows one retry, as a log that refuses twice is down for
 * seconds. */
#define REFUSED_RETRY_MAX_US 60000
#define APPEND_RETRY_US 50000
/** Interval between appends that probe the log during an outage; jobs that
 * arrive in between are refused at once. */
#define PROBE_INTERVAL_US 150000
/** Timeout of an append: several VMs may wait for one part of a slow log, and
 * a retried append waits once more. */
#define ACCEPT_APPEND_TIMEOUT_MS 1800
/** Limits of one append: bytes and records. */
#define BATCH_BYTES 1048576
#define BATCH_RECORDS 500
/** Timeout of an answer of the leader; a slow log takes 0.5 s. */
#define LEADER_TIMEOUT_US 1000000

/** An answer of a leader that takes longer belongs to no record any more. */
#define COPY_KEPT_US 10000000
/** Interval at which copies without an answer are forgotten. */
#define FORGET_INTERVAL_US 1000000

/* Copies of a record that were submitted to leaders and are not answered. */
struct accept_copies
{
  uint32_t open;
  uint64_t submitted_us; /* the last one */
};

/* A job or cancellation that a caller waits to be stored. */
struct accept_item
{
  struct cyc_ref call;
  uint8_t *data;
  size_t len;
  char key[CELL_KEY_BYTES];
  uint64_t job;
  uint64_t first_refused_us;
  uint64_t begun_us;
  uint64_t epoch;    /* epoch of the leader that stores the record */
  bool maybe_stored; /* an append of the record may have taken effect */
};

static void
free_item (struct entry *entry, struct accept_item *item)
{
  entry->accept_bytes -= item->len;
  free (item->data);
  g_free (item);
}

static void
end_item (struct entry *entry, struct accept_item *item,
          enum pt_answer_kind kind, uint32_t retry_after_s)
{
  requests_answer (entry, item->call,
                   &(struct pt_answer){
                       .kind = kind,
                       .retry_after_s
                       = kind == PT_ANSWER_BUSY || kind == PT_ANSWER_OVER_RATE
                             ? retry_after_s
                             : 0,
                   });
  free_item (entry, item);
}

static enum pt_answer_kind
answer_of (const struct accept_item *item)
{
  return item->key[0] == 'j' ? PT_ANSWER_ACCEPTED : PT_ANSWER_CANCELLED;
}

/* Returns the deadline of the item's caller; 0 if the request has ended. */
static uint64_t
deadline_of (const struct entry *entry, const struct accept_item *item)
{
  return cyc_pool_live (&entry->call_pool, item->call)
             ? entry->calls[item->call.index].deadline_us
             : 0;
}

/* Appends of this VM. */

static void
append_directly (struct entry *entry, struct accept_item *item,
                 uint64_t now_us)
{
  if (entry->accept_down_since_us != 0 && now_us < entry->accept_next_probe_us
      && !item->maybe_stored)
    {
      end_item (entry, item, PT_ANSWER_BUSY,
                entry_retry_after_s (entry->accept_down_since_us, now_us));
      return;
    }
  entry->accept_next_probe_us = now_us + PROBE_INTERVAL_US;
  g_queue_push_tail (&entry->accept_waiting, item);
  entry_wake (entry);
}

/* Tells the leader about a stored record, so that it need not wait until
   the stream delivers it. */
static void
push_item (struct entry *entry, const struct accept_item *item)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__CellPush push = CYC__CELL_PUSH__INIT;
  struct cyc_ref peer;

  if (entry->owner != NULL)
    {
      owner_add_stored (entry,
                        &(struct pt_record){
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

/* Returns true if the item is finished and freed, false if it needs another
   append. */
static bool
apply_append_result (struct entry *entry, struct accept_item *item,
                     enum pt_outcome outcome, uint32_t appended,
                     uint64_t now_us)
{
  if (outcome == PT_OK)
    {
      met_add (&entry->met, MET_JOBS_ACCEPTED, 1);
      met_observe (&entry->met, MET_LOG_APPEND_US, now_us - item->begun_us);
      push_item (entry, item);
      end_item (entry, item, answer_of (item), 0);
      return true;
    }
  /* A record that the log does not take is found by appending fewer. */
  if (outcome == PT_INVALID && appended > 1)
    return false;
  if (outcome == PT_INVALID)
    {
      end_item (entry, item, PT_ANSWER_TOO_LARGE, 0);
      return true;
    }
  item->maybe_stored = item->maybe_stored || outcome == PT_UNKNOWN;
  if (item->first_refused_us == 0)
    item->first_refused_us = now_us;
  if (!item->maybe_stored
      && now_us >= item->first_refused_us + REFUSED_RETRY_MAX_US)
    {
      end_item (entry, item, PT_ANSWER_BUSY,
                entry_retry_after_s (entry->accept_down_since_us, now_us));
      return true;
    }
  return false;
}

static void
on_stored (void *user, const struct pt_append_result *result)
{
  struct entry *entry = user;
  GPtrArray *flight = entry->accept_in_flight;
  uint32_t appended = flight->len;
  uint64_t now_us = hc_now_us ();

  entry->accept_in_flight = g_ptr_array_new ();
  met_add (
      &entry->met,
      result->outcome == PT_OK ? MET_LOG_APPENDS : MET_LOG_APPEND_FAILURES, 1);
  if (result->outcome != PT_REFUSED)
    entry->accept_down_since_us = 0;
  else if (entry->accept_down_since_us == 0)
    entry->accept_down_since_us = now_us;
  if (result->outcome == PT_INVALID)
    entry->accept_records_max = MAX (1, appended / 2);
  else if (result->outcome == PT_OK)
    entry->accept_records_max
        = MIN (entry->accept_records_max * 2, BATCH_RECORDS);
  for (guint i = flight->len; i-- > 0;)
    if (!apply_append_result (entry, g_ptr_array_index (flight, i),
                              result->outcome, appended, now_us))
      g_queue_push_head (&entry->accept_waiting,
                         g_ptr_array_index (flight, i));
  g_ptr_array_free (flight, TRUE);
  if (result->outcome != PT_OK && result->outcome != PT_INVALID)
    {
      entry->accept_retry_us = now_us + APPEND_RETRY_US;
      entry_wake_at (entry, entry->accept_retry_us);
    }
  else
    accept_tick (entry, now_us);
}

static void
append_waiting (struct entry *entry, uint64_t now_us)
{
  struct pt_record records[BATCH_RECORDS];
  uint32_t max = entry->accept_records_max > 0 ? entry->accept_records_max
                                               : BATCH_RECORDS;
  uint32_t count = 0;
  size_t bytes = 0;

  if (entry->accept_in_flight->len > 0 || now_us < entry->accept_retry_us)
    return;
  while (count < max && bytes < BATCH_BYTES
         && !g_queue_is_empty (&entry->accept_waiting))
    {
      struct accept_item *item = g_queue_pop_head (&entry->accept_waiting);

      records[count++] = (struct pt_record){
        .key = cyc_str_of (item->key),
        .value = { (const char *)item->data, item->len },
      };
      bytes += item->len;
      g_ptr_array_add (entry->accept_in_flight, item);
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
              .deadline_us
              = now_us + (uint64_t)ACCEPT_APPEND_TIMEOUT_MS * 1000,
              .complete_by_us = now_us + ENTRY_APPEND_MAX_MS * 1000ULL,
              .done = on_stored,
              .user = entry,
          }))
    on_stored (entry, &(struct pt_append_result){ .outcome = PT_REFUSED });
}

/* Submission to the leader. */

static void
count_submitted (struct entry *entry, const char *key)
{
  struct accept_copies *copies
      = g_hash_table_lookup (entry->accept_copies, key);

  if (copies == NULL)
    {
      copies = g_new0 (struct accept_copies, 1);
      g_hash_table_insert (entry->accept_copies, g_strdup (key), copies);
    }
  copies->open++;
  copies->submitted_us = hc_now_us ();
}

/* Counts an answer. Returns whether a copy of the record may still be stored.
 */
static bool
count_answered (struct entry *entry, const char *key)
{
  struct accept_copies *copies
      = g_hash_table_lookup (entry->accept_copies, key);

  if (copies == NULL)
    return false;
  if (--copies->open > 0)
    return true;
  g_hash_table_remove (entry->accept_copies, key);
  return false;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer user)
{
  const struct accept_copies *copies = value;
  const uint64_t *now_us = user;

  (void)key;
  return copies->submitted_us + COPY_KEPT_US < *now_us;
}

static void
forget_copies (struct entry *entry, uint64_t now_us)
{
  if (now_us < entry->accept_forget_us)
    return;
  entry->accept_forget_us = now_us + FORGET_INTERVAL_US;
  g_hash_table_foreach_remove (entry->accept_copies, is_forgotten, &now_us);
}

/* Returns true if the item was submitted to the leader. */
static bool
submit_to_leader (struct entry *entry, struct accept_item *item)
{
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__CellSubmit submit = CYC__CELL_SUBMIT__INIT;
  struct pl_peer_view view;
  struct cyc_ref peer;

  if (entry->leader.epoch == 0 || entry->leader.released
      || entry->leader.by_previous_process)
    return false;
  item->epoch = entry->leader.epoch;
  if (entry->owner != NULL)
    {
      g_ptr_array_add (entry->accept_at_leader, item);
      count_submitted (entry, item->key);
      owner_submit (entry, cyc_str_of (item->key),
                    (struct cyc_str){ (const char *)item->data, item->len },
                    (struct cyc_ref){ 0 });
      return true;
    }
  peer = pl_find (&entry->links, cyc_name_str (&entry->leader.vm),
                  SET_ROLE_ENTRY);
  if (peer.generation == 0 || !pl_view (&entry->links, peer, &view)
      || !view.linked || view.draining)
    return false;
  message.body_case = CYC__PEER__BODY_CELL_SUBMIT;
  message.cell_submit = &submit;
  submit.key
      = (ProtobufCBinaryData){ strlen (item->key), (uint8_t *)item->key };
  submit.value = (ProtobufCBinaryData){ item->len, item->data };
  if (!pl_send (&entry->links, peer, &message))
    return false;
  count_submitted (entry, item->key);
  g_ptr_array_add (entry->accept_at_leader, item);
  return true;
}

/* Called when the leader did not store the item. A log that refuses the
   leader may still accept appends of this VM. */
static void
fall_back (struct entry *entry, struct accept_item *item,
           enum records_outcome outcome, uint32_t retry_after_s,
           uint64_t now_us)
{
  item->maybe_stored = item->maybe_stored || outcome != RECORDS_REFUSED;
  if (item->maybe_stored || relay_direct_works (&entry->relay, now_us))
    append_directly (entry, item, now_us);
  else
    end_item (entry, item, PT_ANSWER_BUSY, retry_after_s);
}

void
accept_on_stored (struct entry *entry, struct cyc_str key,
                  enum records_outcome outcome, uint32_t retry_after_s)
{
  uint64_t now_us = hc_now_us ();
  char name[CELL_KEY_BYTES];
  bool copies_left;

  snprintf (name, sizeof name, "%.*s", CYC_FMT (key));
  copies_left = count_answered (entry, name);
  if (copies_left
      && (outcome == RECORDS_REFUSED || outcome == RECORDS_OVER_RATE
          || outcome == RECORDS_INVALID || outcome == RECORDS_NO_ROOM))
    return;
  for (guint i = 0; i < entry->accept_at_leader->len;)
    {
      struct accept_item *item
          = g_ptr_array_index (entry->accept_at_leader, i);

      if (!cyc_str_eq (cyc_str_of (item->key), key))
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (entry->accept_at_leader, i);
      if (outcome == RECORDS_NO_JOB)
        end_item (entry, item, PT_ANSWER_NO_JOB, 0);
      else if (outcome == RECORDS_STORED)
        {
          met_add (&entry->met, MET_JOBS_ACCEPTED, 1);
          met_observe (&entry->met, MET_LOG_APPEND_US,
                       now_us - item->begun_us);
          end_item (entry, item, answer_of (item), 0);
        }
      else if (outcome == RECORDS_OVER_RATE)
        end_item (entry, item, PT_ANSWER_OVER_RATE, retry_after_s);
      else if (outcome == RECORDS_NO_ROOM && !item->maybe_stored)
        end_item (entry, item, PT_ANSWER_BUSY, retry_after_s);
      else if (outcome == RECORDS_INVALID)
        end_item (entry, item, PT_ANSWER_TOO_LARGE, 0);
      else
        fall_back (entry, item, outcome, retry_after_s, now_us);
    }
}

static bool
leader_unresponsive (const struct entry *entry, const struct accept_item *item,
                     uint64_t now_us)
{
  struct pl_peer_view view;
  struct cyc_ref peer;

  if (item->epoch != entry->leader.epoch
      || item->begun_us + LEADER_TIMEOUT_US < now_us)
    return true;
  if (entry->owner != NULL)
    return false;
  peer = pl_find (&entry->links, cyc_name_str (&entry->leader.vm),
                  SET_ROLE_ENTRY);
  return peer.generation == 0 || !pl_view (&entry->links, peer, &view)
         || !view.linked;
}

/* Answers items whose deadline has passed. */
static void
expire_items (struct entry *entry, uint64_t now_us)
{
  GList *next;

  for (GList *at = entry->accept_waiting.head; at != NULL; at = next)
    {
      struct accept_item *item = at->data;

      next = at->next;
      if (now_us < deadline_of (entry, item))
        continue;
      g_queue_delete_link (&entry->accept_waiting, at);
      end_item (entry, item,
                item->maybe_stored ? PT_ANSWER_UNKNOWN_OUTCOME
                                   : PT_ANSWER_BUSY,
                entry_retry_after_s (entry->accept_down_since_us, now_us));
    }
  /* The append stays in flight; its result finds the request already
     answered. */
  for (guint i = 0; i < entry->accept_in_flight->len; i++)
    {
      const struct accept_item *item
          = g_ptr_array_index (entry->accept_in_flight, i);

      if (now_us >= deadline_of (entry, item))
        requests_answer (
            entry, item->call,
            &(struct pt_answer){ .kind = PT_ANSWER_UNKNOWN_OUTCOME });
    }
}

void
accept_add (struct entry *entry, struct cyc_ref call, char kind, uint64_t job,
            uint8_t *data, size_t len)
{
  size_t max_bytes = (size_t)entry->desc.settings->bodies_max_kib * 1024;
  struct accept_item *item;

  if (max_bytes > 0 && entry->accept_bytes + len > max_bytes)
    {
      /* A refusal says that the job never runs: not while a copy of it may
         still be stored. */
      bool storing = kind == 'j' && accept_is_storing (entry, job);

      met_add (&entry->met, MET_JOBS_REFUSED_MEMORY, 1);
      requests_answer (
          entry, call,
          &(struct pt_answer){
              .kind = storing ? PT_ANSWER_UNKNOWN_OUTCOME : PT_ANSWER_BUSY,
              .retry_after_s = storing ? 0 : 1,
          });
      free (data);
      return;
    }
  item = g_new0 (struct accept_item, 1);
  entry->accept_bytes += len;
  item->call = call;
  item->data = data;
  item->len = len;
  item->job = job;
  item->begun_us = hc_now_us ();
  snprintf (item->key, sizeof item->key, "%c%016" PRIx64, kind, job);
  if (!submit_to_leader (entry, item))
    append_directly (entry, item, item->begun_us);
}

static bool
holds_job (const GPtrArray *items, uint64_t job)
{
  for (guint i = 0; i < items->len; i++)
    {
      const struct accept_item *item = g_ptr_array_index (items, i);

      if (item->job == job && item->key[0] == 'j')
        return true;
    }
  return false;
}

bool
accept_is_storing (const struct entry *entry, uint64_t job)
{
  for (const GList *at = entry->accept_waiting.head; at != NULL; at = at->next)
    {
      const struct accept_item *item = at->data;

      if (item->job == job && item->key[0] == 'j')
        return true;
    }
  return holds_job (entry->accept_in_flight, job)
         || holds_job (entry->accept_at_leader, job);
}

void
accept_tick (struct entry *entry, uint64_t now_us)
{
  for (guint i = 0; i < entry->accept_at_leader->len;)
    {
      struct accept_item *item
          = g_ptr_array_index (entry->accept_at_leader, i);

      if (!leader_unresponsive (entry, item, now_us))
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (entry->accept_at_leader, i);
      fall_back (entry, item, RECORDS_UNKNOWN, 0, now_us);
    }
  forget_copies (entry, now_us);
  expire_items (entry, now_us);
  append_waiting (entry, now_us);
}

void
accept_shutdown (struct entry *entry)
{
  struct accept_item *item;

  while ((item = g_queue_pop_head (&entry->accept_waiting)) != NULL)
    free_item (entry, item);
  for (guint i = 0; i < entry->accept_in_flight->len; i++)
    free_item (entry, g_ptr_array_index (entry->accept_in_flight, i));
  for (guint i = 0; i < entry->accept_at_leader->len; i++)
    free_item (entry, g_ptr_array_index (entry->accept_at_leader, i));
  g_ptr_array_free (entry->accept_in_flight, TRUE);
  g_ptr_array_free (entry->accept_at_leader, TRUE);
  g_hash_table_destroy (entry->accept_copies);
}
