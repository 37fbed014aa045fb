#include "log_relay.h"

#include "http_client.h"
#include "log_event.h"

#include <string.h>

/** Maximum time since a VM last reached the log for calls to be relayed to it.
 * Its reads of the stream of claims end at least this often. */
#define LOG_CONTACT_MAX_AGE_US 1600000
/** The direct connection is suspect if no call succeeded within this time. */
#define DIRECT_SUCCESS_MAX_AGE_US 900000
/** A call whose answer has brought bytes within this time is not relayed: on a
 * full link a second copy of the answer only delays the first. */
#define DIRECT_PROGRESS_MAX_AGE_US ((uint64_t)HC_STALL_MS * 1000)
/** Time after which a read without an answer is relayed if the direct
 * connection is suspect. */
#define RELAY_DELAY_US 300000
/** Time after which an append is relayed if neither it nor any other direct
 * call was answered. An append waits only for the log, and a slow log takes
 * 0.3 s. */
#define APPEND_RELAY_DELAY_US 300000
/** Part of the time left for a relayed read that is kept for its answer: a
 * wait for a record must not take all of it, or the other VM counts a failure.
 */
#define RELAYED_ANSWER_MS 500
/** Longest answer to a relayed read: it is sent in one frame between VMs. */
#define RELAYED_MAX_KIB 256
/** Interval of direct calls that probe the log while calls are relayed. */
#define DIRECT_PROBE_INTERVAL_US 400000
/** Consecutive failures after which the direct connection is suspect. */
#define MAX_DIRECT_FAILURES 2
/** One hop from a VM to the leader, and one from the leader to a third VM. */
#define MAX_HOPS 2

enum relay_kind
{
  RELAY_APPEND,
  RELAY_READ,
  RELAY_NEWEST
};

struct relay_call
{
  struct log_relay *relay;
  uint64_t number; /* key in log_relay.calls */
  enum relay_kind kind;
  uint32_t hops;
  uint64_t start_us;
  uint64_t deadline_us;
  uint64_t progress_us;      /* when bytes of the direct answer last arrived */
  struct cyc_ref relay_peer; /* makes the call; generation 0 if not relayed */
  struct cyc_ref requester;  /* generation 0 for a call of this process */
  uint64_t requester_ask;    /* number that the requester gave the call */
  bool direct_open;          /* the direct call has not ended */
  bool may_have_taken_effect; /* by the direct call */
  bool ended;                 /* the caller has its result */
  struct pt_append append;
  struct pt_read read;
  struct pt_newest newest;
  struct pt_record *records; /* copy of the records to append */
  struct pt_key after;       /* storage of newest.after_key */
};

static struct log_relay *
relay_of (struct pt_log *log)
{
  return (struct log_relay *)log;
}

static void
free_call (struct relay_call *call)
{
  for (uint32_t i = 0; i < call->append.count; i++)
    {
      g_free ((char *)call->records[i].key.data);
      g_free ((char *)call->records[i].value.data);
    }
  g_free (call->records);
  g_free (call);
}

/* Ends the call for its caller. The call is released only after the direct
   call has ended, because that one still refers to it. */
static void
end_call (struct relay_call *call)
{
  call->ended = true;
  if (call->direct_open)
    return;
  g_hash_table_remove (call->relay->calls, &call->number);
}

bool
relay_direct_works (const struct log_relay *relay, uint64_t now_us)
{
  return !relay->relaying
         && relay->direct_success_us + LOG_CONTACT_MAX_AGE_US > now_us;
}

static void
record_direct_result (struct log_relay *relay, bool worked)
{
  if (!worked)
    {
      relay->direct_failures++;
      return;
    }
  relay->direct_failures = 0;
  relay->direct_success_us = hc_now_us ();
  if (relay->relaying)
    ev_log (EV_LOG_REACHABLE, "way=direct passed_on=%" PRIu64,
            relay->relayed_calls);
  relay->relaying = false;
}

/* Returns when an answer, or a part of one, last arrived directly. */
static uint64_t
direct_contact_us (const struct log_relay *relay)
{
  return MAX (relay->direct_success_us, relay->direct_progress_us);
}

static enum pt_stream
stream_of (const struct relay_call *call)
{
  switch (call->kind)
    {
    case RELAY_APPEND:
      return call->append.stream;
    case RELAY_READ:
      return call->read.stream;
    case RELAY_NEWEST:
      return call->newest.stream;
    }
  return PT_STREAM_COUNT;
}

/* Returns the linked VM that reached the log most recently, except the given
   one; generation 0 if none reached it recently. */
static struct cyc_ref
find_relay_peer (const struct log_relay *relay, struct cyc_ref except,
                 uint64_t now_us)
{
  struct pl_peer_view view;
  struct cyc_ref ref;
  struct cyc_ref best = { 0 };
  uint64_t best_us = 0;
  uint32_t cursor = 0;

  while (pl_next (relay->desc.links, &cursor, &ref, &view))
    if (view.linked && view.health == PL_ALIVE
        && view.fresh_us + LOG_CONTACT_MAX_AGE_US > now_us
        && view.fresh_us > best_us
        && !(ref.index == except.index && ref.generation == except.generation))
      {
        best = ref;
        best_us = view.fresh_us;
      }
  return best;
}

static Cyc__LogRecord **
pack_records (const struct pt_record *records, uint32_t count)
{
  Cyc__LogRecord **rows = g_new0 (Cyc__LogRecord *, count + 1);
  Cyc__LogRecord *space = g_new0 (Cyc__LogRecord, count + 1);

  for (uint32_t i = 0; i < count; i++)
    {
      cyc__log_record__init (&space[i]);
      space[i].key = (ProtobufCBinaryData){ records[i].key.len,
                                            (uint8_t *)records[i].key.data };
      space[i].value
          = (ProtobufCBinaryData){ records[i].value.len,
                                   (uint8_t *)records[i].value.data };
      space[i].offset = records[i].offset;
      rows[i] = &space[i];
    }
  rows[count] = space; /* start of the allocation, for free_records */
  return rows;
}

static void
free_records (Cyc__LogRecord **rows, uint32_t count)
{
  g_free (rows[count]);
  g_free (rows);
}

/* Relays the call. Returns false if no linked VM can make it. */
static bool
relay_to_peer (struct relay_call *call, uint64_t now_us)
{
  struct log_relay *relay = call->relay;
  struct cyc_ref peer = find_relay_peer (relay, call->requester, now_us);
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__LogAsk ask = CYC__LOG_ASK__INIT;
  Cyc__LogRecord **rows;
  bool sent;

  if (peer.generation == 0 || call->hops >= MAX_HOPS
      || call->deadline_us <= now_us)
    return false;
  message.body_case = CYC__PEER__BODY_LOG_ASK;
  message.log_ask = &ask;
  ask.ask = call->number;
  ask.hops = call->hops + 1;
  ask.kind = call->kind;
  ask.budget_ms = (uint32_t)((call->deadline_us - now_us) / 1000);
  rows = pack_records (call->records, call->append.count);
  ask.n_records = call->append.count;
  ask.records = rows;
  if (call->kind == RELAY_APPEND)
    {
      ask.stream = call->append.stream;
      ask.part = call->append.part;
      ask.at_end = call->append.at_end;
      ask.end = call->append.end;
      ask.epoch = call->append.epoch;
      ask.sequence = call->append.sequence;
    }
  else if (call->kind == RELAY_READ)
    {
      ask.stream = call->read.stream;
      ask.part = call->read.part;
      ask.from = call->read.from;
      ask.max_kib = call->read.max_kib != 0
                        ? MIN (call->read.max_kib, RELAYED_MAX_KIB)
                        : RELAYED_MAX_KIB;
      ask.wait_ms
          = MIN (call->read.wait_ms, ask.budget_ms > RELAYED_ANSWER_MS
                                         ? ask.budget_ms - RELAYED_ANSWER_MS
                                         : 0);
    }
  else
    {
      ask.stream = call->newest.stream;
      ask.part = call->newest.part;
      ask.after = (ProtobufCBinaryData){ call->after.len,
                                         (uint8_t *)call->after.data };
    }
  sent = pl_send (relay->desc.links, peer, &message);
  free_records (rows, call->append.count);
  if (!sent)
    return false;
  call->relay_peer = peer;
  relay->relayed_calls++;
  if (!relay->relaying)
    {
      struct pl_peer_view view;

      pl_view (relay->desc.links, peer, &view);
      ev_log (EV_LOG_UNREACHABLE,
              "way=direct failures=%u direct_age_ms=%" PRIu64
              " received_age_ms=%" PRIu64 " kind=%d stream=%d through=%s",
              relay->direct_failures,
              (now_us - relay->direct_success_us) / 1000,
              (now_us - relay->direct_progress_us) / 1000, (int)call->kind,
              (int)stream_of (call), view.identity.vm.data);
    }
  relay->relaying = true;
  return true;
}

static void
answer_peer (const struct relay_call *call, Cyc__LogAnswer *answer)
{
  Cyc__Peer message = CYC__PEER__INIT;

  answer->ask = call->requester_ask;
  message.body_case = CYC__PEER__BODY_LOG_ANSWER;
  message.log_answer = answer;
  if (pl_send (call->relay->desc.links, call->requester, &message))
    return;
  /* The answer is longer than a frame, the queue is full or the link is down.
     With PT_REFUSED the requester tries again. */
  answer->n_records = 0;
  answer->fate = PT_REFUSED;
  pl_send (call->relay->desc.links, call->requester, &message);
}

/* The finish_ functions deliver the result of a call. They call the caller's
   `done` after the call has ended, because `done` may start the next one. */

static void
finish_append (struct relay_call *call, const struct pt_append_result *result)
{
  struct pt_append append = call->append;
  bool local_call = call->requester.generation == 0;

  if (!local_call)
    {
      Cyc__LogAnswer answer = CYC__LOG_ANSWER__INIT;

      answer.fate = result->outcome;
      answer.offset = result->offset;
      answer.end = result->end;
      answer_peer (call, &answer);
    }
  end_call (call);
  if (local_call)
    append.done (append.user, result);
}

static void
finish_read (struct relay_call *call, const struct pt_read_result *result)
{
  struct pt_read read = call->read;
  bool local_call = call->requester.generation == 0;

  if (!local_call)
    {
      Cyc__LogAnswer answer = CYC__LOG_ANSWER__INIT;
      Cyc__LogRecord **rows = pack_records (result->records, result->count);

      answer.fate = result->outcome;
      answer.first = result->first;
      answer.next = result->next;
      answer.end = result->end;
      answer.n_records = result->count;
      answer.records = rows;
      answer_peer (call, &answer);
      free_records (rows, result->count);
    }
  end_call (call);
  if (local_call)
    read.done (read.user, result);
}

static void
finish_newest (struct relay_call *call, const struct pt_newest_result *result)
{
  struct pt_newest newest = call->newest;
  bool local_call = call->requester.generation == 0;

  if (!local_call)
    {
      Cyc__LogAnswer answer = CYC__LOG_ANSWER__INIT;
      Cyc__LogRecord **rows = pack_records (result->records, result->count);

      answer.fate = result->outcome;
      answer.end = result->end;
      answer.more = result->more;
      answer.n_records = result->count;
      answer.records = rows;
      answer_peer (call, &answer);
      free_records (rows, result->count);
    }
  end_call (call);
  if (local_call)
    newest.done (newest.user, result);
}

static void
fail_call (struct relay_call *call, bool may_have_taken_effect)
{
  switch (call->kind)
    {
    case RELAY_APPEND:
      finish_append (
          call, &(struct pt_append_result){ .outcome = may_have_taken_effect
                                                           ? PT_UNKNOWN
                                                           : PT_REFUSED });
      return;
    case RELAY_READ:
      finish_read (call, &(struct pt_read_result){ .outcome = PT_REFUSED });
      return;
    case RELAY_NEWEST:
      finish_newest (call,
                     &(struct pt_newest_result){ .outcome = PT_REFUSED });
      return;
    }
}

static bool
is_failure (enum pt_outcome outcome)
{
  return outcome == PT_REFUSED || outcome == PT_UNKNOWN;
}

/* Records the end of the direct call. Returns whether its result is to be
   delivered; false if the call failed and is relayed, or if its caller already
   has a result. */
static bool
finish_direct_call (struct relay_call *call, enum pt_outcome outcome)
{
  call->direct_open = false;
  call->may_have_taken_effect
      = call->may_have_taken_effect || outcome == PT_UNKNOWN;
  record_direct_result (call->relay, !is_failure (outcome));
  if (call->ended)
    {
      end_call (call);
      return false;
    }
  if (!is_failure (outcome))
    return true;
  if (call->relay_peer.generation != 0)
    return false;
  return !relay_to_peer (call, hc_now_us ());
}

static void
on_append (void *user, const struct pt_append_result *result)
{
  struct relay_call *call = user;

  if (finish_direct_call (call, result->outcome))
    finish_append (call, result);
}

static void
on_read (void *user, const struct pt_read_result *result)
{
  struct relay_call *call = user;

  if (finish_direct_call (call, result->outcome))
    finish_read (call, result);
}

static void
on_newest (void *user, const struct pt_newest_result *result)
{
  struct relay_call *call = user;

  if (finish_direct_call (call, result->outcome))
    finish_newest (call, result);
}

static void
on_progress (void *user)
{
  struct relay_call *call = user;

  call->progress_us = hc_now_us ();
  call->relay->direct_progress_us = call->progress_us;
  if (call->ended || call->requester.generation != 0)
    return;
  if (call->kind == RELAY_READ && call->read.progress != NULL)
    call->read.progress (call->read.user);
  if (call->kind == RELAY_NEWEST && call->newest.progress != NULL)
    call->newest.progress (call->newest.user);
}

static bool
start_direct_call (struct relay_call *call)
{
  struct pt_log *direct = call->relay->desc.direct;

  switch (call->kind)
    {
    case RELAY_APPEND:
      {
        struct pt_append append = call->append;

        append.records = call->records;
        append.progress = on_progress;
        append.done = on_append;
        append.user = call;
        call->direct_open = direct->vtable->append (direct, &append);
        break;
      }
    case RELAY_READ:
      {
        struct pt_read read = call->read;

        read.progress = on_progress;
        read.done = on_read;
        read.user = call;
        call->direct_open = direct->vtable->read (direct, &read);
        break;
      }
    case RELAY_NEWEST:
      {
        struct pt_newest newest = call->newest;

        newest.after_key = pt_key_str (&call->after);
        newest.progress = on_progress;
        newest.done = on_newest;
        newest.user = call;
        call->direct_open = direct->vtable->newest (direct, &newest);
        break;
      }
    }
  return call->direct_open;
}

/* Starts the call directly, or relays it while direct calls fail. In that time
   one call per DIRECT_PROBE_INTERVAL_US is made directly to probe the log. If
   it is an append, its outcome stays unknown until the direct call ends. */
static bool
start_call (struct relay_call *call)
{
  struct log_relay *relay = call->relay;
  uint64_t now_us = hc_now_us ();

  if (relay->relaying && now_us < relay->next_probe_us
      && relay_to_peer (call, now_us))
    return true;
  if (relay->relaying)
    relay->next_probe_us = now_us + DIRECT_PROBE_INTERVAL_US;
  if (start_direct_call (call) || relay_to_peer (call, now_us))
    return true;
  end_call (call);
  return false;
}

static struct relay_call *
new_call (struct log_relay *relay, enum relay_kind kind, uint64_t deadline_us)
{
  struct relay_call *call = g_new0 (struct relay_call, 1);

  call->relay = relay;
  call->number = relay->next_call++;
  call->kind = kind;
  call->start_us = hc_now_us ();
  call->deadline_us = deadline_us;
  g_hash_table_insert (relay->calls, &call->number, call);
  return call;
}

static void
copy_records (struct relay_call *call, const struct pt_record *records,
              uint32_t count)
{
  call->records = g_new0 (struct pt_record, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      call->records[i].key = (struct cyc_str){
        g_memdup2 (records[i].key.data, records[i].key.len), records[i].key.len
      };
      call->records[i].value
          = (struct cyc_str){ g_memdup2 (records[i].value.data,
                                         records[i].value.len),
                              records[i].value.len };
    }
  call->append.count = count;
}

static bool
relay_append (struct pt_log *log, const struct pt_append *append)
{
  struct relay_call *call
      = new_call (relay_of (log), RELAY_APPEND, append->deadline_us);

  call->append = *append;
  copy_records (call, append->records, append->count);
  return start_call (call);
}

static bool
relay_read (struct pt_log *log, const struct pt_read *read)
{
  struct relay_call *call
      = new_call (relay_of (log), RELAY_READ, read->deadline_us);

  call->read = *read;
  return start_call (call);
}

static bool
relay_newest (struct pt_log *log, const struct pt_newest *newest)
{
  struct relay_call *call
      = new_call (relay_of (log), RELAY_NEWEST, newest->deadline_us);

  call->newest = *newest;
  pt_key_set (&call->after, newest->after_key);
  return start_call (call);
}

void
relay_on_ask (struct log_relay *relay, struct cyc_ref peer,
              const Cyc__LogAsk *ask)
{
  uint64_t deadline_us = hc_now_us () + (uint64_t)ask->budget_ms * 1000;
  struct relay_call *call;

  if (ask->kind > RELAY_NEWEST || ask->stream >= PT_STREAM_COUNT)
    return;
  call = new_call (relay, (enum relay_kind)ask->kind, deadline_us);
  call->hops = ask->hops;
  call->requester = peer;
  call->requester_ask = ask->ask;
  if (ask->kind == RELAY_APPEND)
    {
      struct pt_record *records
          = g_new0 (struct pt_record, ask->n_records + 1);

      for (size_t i = 0; i < ask->n_records; i++)
        {
          const Cyc__LogRecord *row = ask->records[i];

          records[i].key
              = (struct cyc_str){ (const char *)row->key.data, row->key.len };
          records[i].value = (struct cyc_str){ (const char *)row->value.data,
                                               row->value.len };
        }
      call->append = (struct pt_append){
        .stream = (enum pt_stream)ask->stream,
        .part = ask->part,
        .at_end = ask->at_end,
        .end = ask->end,
        .epoch = ask->epoch,
        .sequence = ask->sequence,
        .deadline_us = deadline_us,
      };
      copy_records (call, records, (uint32_t)ask->n_records);
      g_free (records);
    }
  else if (ask->kind == RELAY_READ)
    call->read = (struct pt_read){
      .stream = (enum pt_stream)ask->stream,
      .part = ask->part,
      .from = ask->from,
      .wait_ms = ask->wait_ms,
      .max_kib = ask->max_kib,
      .deadline_us = deadline_us,
    };
  else
    {
      call->newest = (struct pt_newest){
        .stream = (enum pt_stream)ask->stream,
        .part = ask->part,
        .deadline_us = deadline_us,
      };
      pt_key_set (&call->after,
                  (struct cyc_str){ (const char *)ask->after.data,
                                    MIN (ask->after.len, PT_KEY_MAX_BYTES) });
    }
  if (!start_call (call))
    {
      Cyc__LogAnswer answer = CYC__LOG_ANSWER__INIT;
      struct relay_call refused
          = { .relay = relay, .requester = peer, .requester_ask = ask->ask };

      answer.fate = PT_REFUSED;
      answer_peer (&refused, &answer);
    }
}

/* Returns the outcome of a relayed call from the @p outcome at the other VM.
   If that VM's call was refused, the direct call may still take effect. */
static enum pt_outcome
combined_outcome (const struct relay_call *call, uint32_t outcome)
{
  if (outcome == PT_REFUSED
      && (call->may_have_taken_effect || call->direct_open))
    return PT_UNKNOWN;
  return (enum pt_outcome)outcome;
}

void
relay_on_answer (struct log_relay *relay, const Cyc__LogAnswer *answer)
{
  struct relay_call *call = g_hash_table_lookup (relay->calls, &answer->ask);
  struct pt_record *records;
  uint32_t count = (uint32_t)answer->n_records;

  if (call == NULL || call->ended || call->relay_peer.generation == 0)
    return;
  records = g_new0 (struct pt_record, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      const Cyc__LogRecord *row = answer->records[i];

      records[i].key
          = (struct cyc_str){ (const char *)row->key.data, row->key.len };
      records[i].value
          = (struct cyc_str){ (const char *)row->value.data, row->value.len };
      records[i].offset = row->offset;
    }
  if (call->kind == RELAY_APPEND)
    finish_append (call, &(struct pt_append_result){
                             .outcome = combined_outcome (call, answer->fate),
                             .offset = answer->offset,
                             .end = answer->end });
  else if (call->kind == RELAY_READ)
    finish_read (call, &(struct pt_read_result){
                           .outcome = (enum pt_outcome)answer->fate,
                           .first = answer->first,
                           .next = answer->next,
                           .end = answer->end,
                           .records = records,
                           .count = count });
  else
    finish_newest (call, &(struct pt_newest_result){
                             .outcome = (enum pt_outcome)answer->fate,
                             .records = records,
                             .count = count,
                             .more = answer->more,
                             .end = answer->end });
  g_free (records);
}

static bool
should_relay (const struct relay_call *call, bool direct_suspect,
              uint64_t now_us)
{
  if (call->kind == RELAY_APPEND)
    return call->start_us + APPEND_RELAY_DELAY_US < now_us
           && direct_contact_us (call->relay) + APPEND_RELAY_DELAY_US < now_us;
  return direct_suspect && call->start_us + RELAY_DELAY_US < now_us;
}

void
relay_tick (struct log_relay *relay, uint64_t now_us)
{
  GPtrArray *expired = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  bool direct_suspect
      = direct_contact_us (relay) + DIRECT_SUCCESS_MAX_AGE_US < now_us
        || relay->direct_failures >= MAX_DIRECT_FAILURES;

  g_hash_table_iter_init (&iter, relay->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct relay_call *call = value;

      if (call->ended)
        continue;
      if (call->relay_peer.generation == 0 && call->direct_open
          && call->progress_us + DIRECT_PROGRESS_MAX_AGE_US < now_us
          && should_relay (call, direct_suspect, now_us))
        relay_to_peer (call, now_us);
      else if (call->relay_peer.generation != 0 && !call->direct_open
               && call->deadline_us < now_us)
        g_ptr_array_add (expired, call);
    }
  for (guint i = 0; i < expired->len; i++)
    fail_call (g_ptr_array_index (expired, i), true);
  g_ptr_array_free (expired, TRUE);
}

static const struct pt_log_vtable relay_vtable
    = { .append = relay_append, .read = relay_read, .newest = relay_newest };

void
relay_setup (struct log_relay *relay, const struct relay_desc *desc)
{
  memset (relay, 0, sizeof *relay);
  relay->log.vtable = &relay_vtable;
  relay->desc = *desc;
  relay->next_call = desc->first_call;
  relay->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        (GDestroyNotify)free_call);
}

void
relay_shutdown (struct log_relay *relay)
{
  if (relay->calls != NULL)
    g_hash_table_destroy (relay->calls);
  relay->calls = NULL;
}
