#include "follow.h"
#include "cyc_index.h"

#include <cyclamendrum/record.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_TIMEOUT_MS 2000
/** Time allowed for an answer that goes on arriving: records can be large and
 * links narrow. */
#define ANSWER_MAX_US 20000000
#define DEFAULT_WAIT_MS 2000
#define DEFAULT_BATCH 512
#define DEFAULT_MAX_APPENDS 4096
#define MAX_APPENDS 65536
#define US_PER_MS UINT64_C (1000)
#define MIN_RETRY_BACKOFF_US (50 * US_PER_MS)
#define MAX_RETRY_BACKOFF_US (1000 * US_PER_MS)
/* After a change of the position the old long poll stays open until it ends,
   so several reads may be open at the same time. */
#define MAX_OPEN_READS 4

struct fo_read
{
  struct fo_state *state;
  bool busy;
  uint32_t start_count; /**< start_count of the state when the read
                             started */
  uint64_t number;      /**< sequence number */
  uint64_t sent_us;     /**< at or before the time of sending */
};

enum append_phase
{
  APPEND_DUE,          /**< to be sent at due_us */
  APPEND_SENT,         /**< the call is open */
  APPEND_ACKNOWLEDGED, /**< the log confirmed the append; not read back yet */
  APPEND_OUTCOME_UNKNOWN, /**< the answer was lost */
  APPEND_ENDED            /**< `done` was called; waits for the call to end */
};

struct fo_append_row
{
  struct fo_state *state;
  struct cyc_ref ref;
  struct cyc_id128 record_id;
  char *record;
  size_t record_len;
  enum append_phase phase;
  bool call_open;      /**< the log client has not called `done` yet */
  bool may_be_written; /**< some attempt may have taken effect */
  uint64_t read_number_at_loss; /**< newest read started when the answer was
                                      lost */
  uint64_t due_us;
  uint64_t backoff_us;
  uint64_t deadline_us;
  void (*done) (void *user, enum fo_outcome outcome, uint64_t offset);
  void *user;
};

struct fo_state
{
  struct fo_desc desc;
  char stream[CYC_NAME_MAX_BYTES + 1];
  uint64_t now_us;
  uint64_t next;
  uint64_t oldest;
  bool started;
  bool start_at_oldest;
  bool reading;
  bool starting_reads;
  bool at_head;
  bool reachable;
  uint64_t fresh_us;
  uint64_t read_due_us;
  uint64_t read_backoff_us;
  uint32_t batch;
  uint32_t start_count;
  uint64_t read_number;
  struct fo_read reads[MAX_OPEN_READS];
  struct fo_append_row *rows;
  struct cyc_pool pool;
  struct cyc_ix index;
};

bool
fo_setup (struct fo_follow *fo, const struct fo_desc *desc,
          struct cyc_findings *findings)
{
  struct fo_state *state;
  uint32_t before = findings->count;

  fo->state = NULL;
  if (desc->log == NULL)
    cyc_findings_add (findings, CYC_STR ("log"), "is missing");
  if (desc->record == NULL)
    cyc_findings_add (findings, CYC_STR ("record"), "is missing");
  if (desc->stream.len == 0 || desc->stream.len > CYC_NAME_MAX_BYTES)
    cyc_findings_add (findings, CYC_STR ("stream"), "is not a valid name");
  if (desc->max_appends > MAX_APPENDS)
    cyc_findings_add (findings, CYC_STR ("max_appends"), "must be at most %d",
                      MAX_APPENDS);
  if (findings->count != before)
    return false;
  state = calloc (1, sizeof *state);
  fo->state = state;
  if (state != NULL)
    {
      state->desc = *desc;
      memcpy (state->stream, desc->stream.data, desc->stream.len);
      state->desc.stream.data = state->stream;
      if (desc->timeout_ms == 0)
        state->desc.timeout_ms = DEFAULT_TIMEOUT_MS;
      if (desc->wait_ms == 0)
        state->desc.wait_ms = DEFAULT_WAIT_MS;
      if (desc->batch == 0)
        state->desc.batch = DEFAULT_BATCH;
      if (desc->max_appends == 0)
        state->desc.max_appends = DEFAULT_MAX_APPENDS;
      state->batch = state->desc.batch;
      state->rows = calloc (state->desc.max_appends, sizeof *state->rows);
      if (state->rows != NULL
          && cyc_pool_setup (&state->pool, state->desc.max_appends, NULL)
          && cyc_ix_setup (&state->index, state->desc.max_appends, NULL))
        return true;
    }
  cyc_findings_add (findings, CYC_STR ("follow"), "out of memory");
  fo_shutdown (fo);
  return false;
}

void
fo_shutdown (struct fo_follow *fo)
{
  struct fo_state *state = fo->state;

  if (state == NULL)
    return;
  for (uint32_t i = 0; state->rows != NULL && i < state->pool.high; i++)
    if (cyc_pool_used_at (&state->pool, i))
      free (state->rows[i].record);
  free (state->rows);
  cyc_pool_shutdown (&state->pool);
  cyc_ix_shutdown (&state->index);
  free (state);
  fo->state = NULL;
}

/* Appends. */

static uint32_t
id_hash (const struct cyc_id128 *id)
{
  return cyc_ix_hash (id->bytes, sizeof id->bytes);
}

static struct fo_append_row *
find_append (struct fo_state *state, const struct cyc_id128 *id)
{
  struct cyc_ix_probe probe = cyc_ix_probe (&state->index, id_hash (id));

  while (cyc_ix_next (&state->index, &probe))
    if (cyc_id128_eq (&state->rows[probe.row].record_id, id))
      return &state->rows[probe.row];
  return NULL;
}

static uint64_t
next_backoff (uint64_t backoff_us)
{
  if (backoff_us == 0)
    return MIN_RETRY_BACKOFF_US;
  return backoff_us * 2 < MAX_RETRY_BACKOFF_US ? backoff_us * 2
                                               : MAX_RETRY_BACKOFF_US;
}

static void
end_append (struct fo_append_row *row, enum fo_outcome outcome,
            uint64_t offset)
{
  void (*done) (void *, enum fo_outcome, uint64_t) = row->done;
  void *user = row->user;

  cyc_ix_remove (&row->state->index, id_hash (&row->record_id),
                 row->ref.index);
  free (row->record);
  row->record = NULL;
  row->phase = APPEND_ENDED;
  /* The log client refers to the row while a call is open. */
  if (!row->call_open)
    cyc_pool_release (&row->state->pool, row->ref);
  done (user, outcome, offset);
}

static void
retry_append_later (struct fo_append_row *row)
{
  row->phase = APPEND_DUE;
  row->backoff_us = next_backoff (row->backoff_us);
  row->due_us = row->state->now_us + row->backoff_us;
}

static void
on_append (void *user, const struct lc_append_result *result)
{
  struct fo_append_row *row = user;

  row->call_open = false;
  if (row->phase == APPEND_ENDED)
    {
      cyc_pool_release (&row->state->pool, row->ref);
      return;
    }
  switch (result->outcome)
    {
    case LC_OK:
      row->may_be_written = true;
      row->phase = APPEND_ACKNOWLEDGED;
      break;
    case LC_UNKNOWN:
      row->may_be_written = true;
      row->phase = APPEND_OUTCOME_UNKNOWN;
      row->read_number_at_loss = row->state->read_number;
      break;
    case LC_FAILED:
      retry_append_later (row);
      break;
    }
}

static void
send_append (struct fo_append_row *row)
{
  struct fo_state *state = row->state;
  struct lc_append append = {
    .stream = state->desc.stream,
    .record = { .data = row->record, .len = row->record_len },
    .deadline_us
    = state->now_us + (uint64_t)state->desc.timeout_ms * US_PER_MS,
    .done = on_append,
    .user = row,
  };

  if (append.deadline_us > row->deadline_us)
    append.deadline_us = row->deadline_us;
  row->phase = APPEND_SENT;
  row->call_open = true;
  if (lc_append (state->desc.log, &append))
    return;
  row->call_open = false;
  retry_append_later (row);
}

bool
fo_append (struct fo_follow *fo, const struct fo_append *append)
{
  struct fo_state *state = fo->state;
  struct cyc_ref ref = cyc_pool_take (&state->pool);
  struct fo_append_row *row;
  char *copy;

  if (ref.generation == 0)
    return false;
  copy = malloc (append->record.len + 1);
  if (copy == NULL)
    {
      cyc_pool_release (&state->pool, ref);
      return false;
    }
  if (append->record.len > 0)
    memcpy (copy, append->record.data, append->record.len);
  row = &state->rows[ref.index];
  *row = (struct fo_append_row){ .state = state,
                                 .ref = ref,
                                 .record_id = append->record_id,
                                 .record = copy,
                                 .record_len = append->record.len,
                                 .deadline_us = append->deadline_us,
                                 .done = append->done,
                                 .user = append->user };
  cyc_ix_add (&state->index, id_hash (&row->record_id), ref.index);
  /* The time is unknown before the first tick. */
  if (state->now_us > 0)
    send_append (row);
  return true;
}

static void
tick_append (struct fo_append_row *row)
{
  if (row->phase == APPEND_ENDED)
    return;
  if (row->state->now_us >= row->deadline_us)
    end_append (row,
                row->may_be_written || row->call_open ? FO_UNKNOWN
                                                      : FO_NOT_APPENDED,
                0);
  else if (row->phase == APPEND_DUE && row->state->now_us >= row->due_us)
    send_append (row);
}

/* Retries appends whose answer was lost and whose record is not in the stream:
   a read that started after the loss has reached the head without it. If the
   first attempt still takes effect, readers ignore the second copy by its
   record id. */
static void
retry_missing (struct fo_state *state, uint64_t read_number)
{
  for (uint32_t i = 0; i < state->pool.high; i++)
    {
      struct fo_append_row *row = &state->rows[i];

      if (cyc_pool_used_at (&state->pool, i)
          && row->phase == APPEND_OUTCOME_UNKNOWN
          && read_number > row->read_number_at_loss)
        retry_append_later (row);
    }
}

static void
confirm_append (struct fo_state *state, const struct lc_record *record)
{
  struct cyc_id128 id;
  struct fo_append_row *row;

  if (state->pool.used == 0 || !cyc_rec_id (record->data, &id))
    return;
  row = find_append (state, &id);
  if (row != NULL)
    end_append (row, FO_CONFIRMED, record->offset);
}

/* Reads. */

static void start_due_reads (struct fo_state *state);

static void
set_reachable (struct fo_state *state, bool reachable)
{
  if (state->reachable == reachable)
    return;
  state->reachable = reachable;
  if (state->desc.reachable != NULL)
    state->desc.reachable (state->desc.user, reachable);
}

static void
read_failed (struct fo_state *state)
{
  state->at_head = false;
  state->read_backoff_us = next_backoff (state->read_backoff_us);
  state->read_due_us = state->now_us + state->read_backoff_us;
  /* The answer may have been larger than the client accepts. */
  state->batch = state->batch > 1 ? state->batch / 2 : 1;
  set_reachable (state, false);
}

static void
handle_trim (struct fo_state *state, uint64_t oldest)
{
  uint32_t start_count = state->start_count;
  bool go_on = true;

  state->at_head = false;
  if (!state->start_at_oldest && state->desc.trimmed != NULL)
    go_on = state->desc.trimmed (state->desc.user, state->next, oldest);
  if (state->start_count != start_count)
    return;
  state->start_at_oldest = false;
  if (go_on)
    state->next = oldest;
  else
    state->started = false;
}

/* Returns false if the records have a gap or a callback changed the
   position. */
static bool
deliver_records (struct fo_state *state, const struct lc_read_result *result)
{
  uint32_t start_count = state->start_count;

  for (uint32_t i = 0; i < result->count; i++)
    {
      const struct lc_record *record = &result->records[i];

      if (record->offset < state->next)
        continue;
      if (record->offset > state->next)
        {
          read_failed (state);
          return false;
        }
      state->next++;
      state->desc.record (state->desc.user, record->offset, record->data);
      confirm_append (state, record);
      if (state->start_count != start_count)
        return false;
    }
  return true;
}

static void
handle_read_result (struct fo_state *state, const struct fo_read *read,
                    const struct lc_read_result *result)
{
  state->read_backoff_us = 0;
  state->read_due_us = 0;
  if (state->batch < state->desc.batch)
    state->batch = state->batch * 2 < state->desc.batch ? state->batch * 2
                                                        : state->desc.batch;
  state->oldest = result->oldest;
  set_reachable (state, true);
  if (result->oldest > state->next)
    {
      handle_trim (state, result->oldest);
      return;
    }
  state->start_at_oldest = false;
  if (!deliver_records (state, result))
    return;
  state->at_head = state->next >= result->next;
  if (state->at_head)
    {
      state->fresh_us = read->sent_us;
      retry_missing (state, read->number);
    }
  if (result->count == 0)
    state->read_due_us = state->now_us + 1;
}

static void
on_read (void *user, const struct lc_read_result *result)
{
  struct fo_read *read = user;
  struct fo_state *state = read->state;
  struct fo_read copy = *read;

  read->busy = false;
  if (copy.start_count == state->start_count)
    {
      state->reading = false;
      /* An append-only log cannot end before an offset that was read from
         it. */
      if (result->outcome != LC_OK || result->next < state->next)
        read_failed (state);
      else
        handle_read_result (state, &copy, result);
    }
  start_due_reads (state);
}

static bool
start_read (struct fo_state *state)
{
  /* Until the head is known the log answers at once, also without records: a
     starting process would otherwise learn only after a whole long poll that
     the log is reachable, and refuse work until then. */
  uint32_t wait_ms = state->at_head ? state->desc.wait_ms : 0;
  struct lc_read call = {
    .stream = state->desc.stream,
    .from = state->next,
    .max = state->batch,
    .wait_ms = wait_ms,
    .deadline_us
    = state->now_us + ((uint64_t)wait_ms + state->desc.timeout_ms) * US_PER_MS,
    .complete_by_us = state->now_us + ANSWER_MAX_US,
    .done = on_read,
  };
  struct fo_read *read = NULL;

  for (int i = 0; i < MAX_OPEN_READS && read == NULL; i++)
    if (!state->reads[i].busy)
      read = &state->reads[i];
  if (read == NULL)
    return false;
  *read = (struct fo_read){ .state = state,
                            .busy = true,
                            .start_count = state->start_count,
                            .number = ++state->read_number,
                            .sent_us = state->now_us };
  call.user = read;
  state->reading = true;
  if (lc_read (state->desc.log, &call))
    return true;
  read->busy = false;
  state->reading = false;
  read_failed (state);
  return true;
}

/* Begins reads while they are due. A log client that answers within the call
   re-enters this function through on_read, hence the guard against
   recursion. */
static void
start_due_reads (struct fo_state *state)
{
  if (state->starting_reads)
    return;
  state->starting_reads = true;
  while (state->started && !state->reading
         && state->now_us >= state->read_due_us)
    if (!start_read (state))
      break;
  state->starting_reads = false;
}

void
fo_start (struct fo_follow *fo, uint64_t from)
{
  struct fo_state *state = fo->state;

  state->started = true;
  state->start_count++;
  state->reading = false;
  state->at_head = false;
  state->start_at_oldest = from == UINT64_MAX;
  state->next = state->start_at_oldest ? 0 : from;
  state->read_due_us = 0;
}

void
fo_tick (struct fo_follow *fo, uint64_t now_us)
{
  struct fo_state *state = fo->state;

  state->now_us = now_us;
  for (uint32_t i = 0; i < state->pool.high; i++)
    if (cyc_pool_used_at (&state->pool, i))
      tick_append (&state->rows[i]);
  start_due_reads (state);
}

uint64_t
fo_next (const struct fo_follow *fo)
{
  return fo->state->next;
}

uint64_t
fo_oldest (const struct fo_follow *fo)
{
  return fo->state->oldest;
}

bool
fo_at_head (const struct fo_follow *fo)
{
  return fo->state->at_head;
}

bool
fo_reachable (const struct fo_follow *fo)
{
  return fo->state->reachable;
}

uint64_t
fo_fresh_us (const struct fo_follow *fo)
{
  return fo->state->fresh_us;
}
