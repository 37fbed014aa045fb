/* Questions to the advisor. The advisor handles one call at a time for each
   calling VM, so the leader distributes the questions over the entry VMs.
   Some VMs get no long calls, so that urgent steps do not wait behind them. */

#include "entry_internal.h"

/** A question with a higher cost counts as long. */
#define LONG_ASK_US 150000
/** One VM in this many takes no long question. */
#define SHORT_ONLY_DIVISOR 3
/** Timeout of a call beyond its cost. */
#define ANSWER_TIMEOUT_MS 700
/** A VM gets a further question only while its open ones cost no more than
 * this, about the round trip through that VM. */
#define QUEUE_COST_MAX_US 25000
#define HELPERS_MAX 512
/** A new link is used for this time without the heartbeats that show it alive:
 * a leader that has just begun has no others. */
#define NEW_LINK_US 1500000
/** Maximum number of open questions of one VM; the advisor queues 32. */
#define OPEN_ASKS_MAX 8

/* An entry VM that can call the advisor, and its open questions. */
struct helper
{
  struct cyc_name vm; /* empty: this VM */
  uint64_t queued_cost_us;
  uint32_t open;
  bool has_long;
};

/* A question under way. */
struct open_ask
{
  uint64_t ask;
  uint64_t deadline_us;
  struct cyc_name vm; /* VM that calls the advisor; empty: this VM */
  uint64_t cost_us;
  uint64_t sent_us;
  char step[48];
};

struct advice_state
{
  struct entry *entry;
  struct cell_core *core;
  GArray *open; /**< struct open_ask */
  bool ended;
  uint32_t calls_in_flight; /**< calls of the advisor's port in flight */
};

struct advice_state *
advice_begin (struct entry *entry, struct cell_core *core)
{
  struct advice_state *advice = g_new0 (struct advice_state, 1);

  advice->entry = entry;
  advice->core = core;
  advice->open = g_array_new (FALSE, FALSE, sizeof (struct open_ask));
  return advice;
}

static void
free_advice (struct advice_state *advice)
{
  g_array_free (advice->open, TRUE);
  g_free (advice);
}

void
advice_end (struct advice_state *advice)
{
  advice->ended = true;
  if (advice->calls_in_flight == 0)
    free_advice (advice);
}

static bool
remove_ask (struct advice_state *advice, uint64_t ask, struct open_ask *out)
{
  for (guint i = 0; i < advice->open->len; i++)
    {
      *out = g_array_index (advice->open, struct open_ask, i);
      if (out->ask != ask)
        continue;
      g_array_remove_index_fast (advice->open, i);
      return true;
    }
  return false;
}

static void
complete_ask (struct advice_state *advice, uint64_t ask, bool answered,
              uint64_t valid_us, const struct cell_ticket *tickets,
              uint32_t count)
{
  struct open_ask open;
  uint64_t now_us = hc_now_us ();

  if (!remove_ask (advice, ask, &open))
    return;
  ev_log (EV_ADVICE,
          "step=%s helper=%s answered=%d allowed=%u took_ms=%" PRIu64
          " cost_ms=%" PRIu64,
          open.step, open.vm.len > 0 ? open.vm.data : "self", answered, count,
          (now_us - open.sent_us) / 1000, open.cost_us / 1000);
  cell_advice (advice->core, ask, answered, valid_us, tickets, count, now_us);
  entry_wake (advice->entry);
}

static void
on_advised (void *user, uint64_t ask, const struct pt_advise_result *result)
{
  struct advice_state *advice = user;

  advice->calls_in_flight--;
  if (advice->ended)
    {
      if (advice->calls_in_flight == 0)
        free_advice (advice);
      return;
    }
  complete_ask (advice, ask, result->answered, result->valid_us,
                result->tickets, result->count);
}

void
advice_on_answer (struct advice_state *advice, const Cyc__AdviceAnswer *answer)
{
  struct cell_ticket *tickets
      = g_new0 (struct cell_ticket, answer->n_tickets + 1);

  for (size_t i = 0; i < answer->n_tickets; i++)
    tickets[i] = (struct cell_ticket){
      cyc_str_of (answer->tickets[i]->worker),
      cyc_str_of (answer->tickets[i]->ticket),
    };
  complete_ask (advice, answer->ask, answer->answered,
                (uint64_t)answer->valid_ms * 1000, tickets,
                (uint32_t)answer->n_tickets);
  g_free (tickets);
}

bool
advice_may_help (const struct pl_peer_view *view, uint64_t now_us)
{
  return view->linked && !view->draining
         && view->identity.role == SET_ROLE_ENTRY
         && (view->health == PL_ALIVE
             || now_us < view->linked_us + NEW_LINK_US);
}

/* Lists the VMs that can call the advisor, with their open questions. */
static uint32_t
list_helpers (const struct advice_state *advice, struct helper *out)
{
  uint64_t now_us = hc_now_us ();
  struct pl_peer_view view;
  struct cyc_ref ref;
  uint32_t cursor = 0;
  uint32_t count = 1;

  memset (&out[0], 0, sizeof out[0]);
  while (count < HELPERS_MAX
         && pl_next (&advice->entry->links, &cursor, &ref, &view))
    {
      if (!advice_may_help (&view, now_us))
        continue;
      out[count] = (struct helper){ .vm = view.identity.vm };
      count++;
    }
  for (guint i = 0; i < advice->open->len; i++)
    {
      const struct open_ask *open
          = &g_array_index (advice->open, struct open_ask, i);

      for (uint32_t h = 0; h < count; h++)
        if (cyc_name_eq (&out[h].vm, &open->vm))
          {
            out[h].open++;
            out[h].queued_cost_us += open->cost_us;
            out[h].has_long = out[h].has_long || open->cost_us > LONG_ASK_US;
          }
    }
  return count;
}

/* Returns the VM with the lowest cost of open questions; NULL if all are
   busy. */
static struct helper *
choose_helper (struct helper *helpers, uint32_t count)
{
  struct helper *best = NULL;

  for (uint32_t h = 0; h < count; h++)
    {
      if (helpers[h].open >= OPEN_ASKS_MAX
          || helpers[h].queued_cost_us > QUEUE_COST_MAX_US)
        continue;
      if (best == NULL || helpers[h].queued_cost_us < best->queued_cost_us)
        best = &helpers[h];
    }
  return best;
}

static bool
send_ask (struct advice_state *advice, const struct helper *helper,
          const struct cell_ask *ask, uint64_t now_us)
{
  struct cell_worker_view views[100];
  uint32_t budget_ms = (uint32_t)(ask->cost_us / 1000) + ANSWER_TIMEOUT_MS;

  for (uint32_t i = 0; i < ask->worker_count; i++)
    cell_worker_view (advice->core, ask->workers[i], &views[i]);
  if (helper->vm.len == 0)
    {
      struct cyc_str ids[100];
      bool begun;

      for (uint32_t i = 0; i < ask->worker_count; i++)
        ids[i] = views[i].full_id;
      begun = advice->entry->desc.ports->advisor->vtable->advise (
          advice->entry->desc.ports->advisor,
          &(struct pt_advise){
              .step = cyc_str_of (ask->step),
              .workers = ids,
              .count = ask->worker_count,
              .deadline_us = now_us + budget_ms * 1000ULL,
              .done = on_advised,
              .user = advice,
              .ask = ask->ask,
          });
      advice->calls_in_flight += begun;
      return begun;
    }
  else
    {
      Cyc__Peer message = CYC__PEER__INIT;
      Cyc__AdviceAsk out = CYC__ADVICE_ASK__INIT;
      char *ids[100];
      struct cyc_ref peer = pl_find (
          &advice->entry->links, cyc_name_str (&helper->vm), SET_ROLE_ENTRY);

      for (uint32_t i = 0; i < ask->worker_count; i++)
        ids[i] = (char *)views[i].full_id.data;
      message.body_case = CYC__PEER__BODY_ADVICE_ASK;
      message.advice_ask = &out;
      out.ask = ask->ask;
      out.step = (char *)ask->step;
      out.n_workers = ask->worker_count;
      out.workers = ids;
      out.budget_ms = budget_ms;
      return pl_send (&advice->entry->links, peer, &message);
    }
}

static void
expire_asks (struct advice_state *advice, uint64_t now_us)
{
  for (guint i = 0; i < advice->open->len;)
    {
      const struct open_ask *open
          = &g_array_index (advice->open, struct open_ask, i);

      if (now_us < open->deadline_us)
        {
          i++;
          continue;
        }
      complete_ask (advice, open->ask, false, 0, NULL, 0);
      i = 0;
    }
}

void
advice_tick (struct advice_state *advice, uint64_t now_us)
{
  static struct helper helpers[HELPERS_MAX];
  uint32_t count;
  uint32_t long_ask_vms = 0;

  expire_asks (advice, now_us);
  count = list_helpers (advice, helpers);
  for (uint32_t h = 0; h < count; h++)
    long_ask_vms += helpers[h].has_long;
  for (;;)
    {
      struct helper *helper = choose_helper (helpers, count);
      uint32_t long_ask_vms_max = MAX (1, count - count / SHORT_ONLY_DIVISOR);
      struct cell_ask ask;
      struct open_ask open;

      if (helper == NULL
          || !cell_ask_next (advice->core,
                             long_ask_vms < long_ask_vms_max
                                     && helper->open == 0
                                 ? UINT64_MAX
                                 : LONG_ASK_US,
                             &ask))
        return;
      if (!send_ask (advice, helper, &ask, now_us))
        {
          cell_advice (advice->core, ask.ask, false, 0, NULL, 0, now_us);
          helper->open = OPEN_ASKS_MAX;
          continue;
        }
      open = (struct open_ask){
        .ask = ask.ask,
        .deadline_us
        = now_us + ask.cost_us + (ANSWER_TIMEOUT_MS + 200) * 1000ULL,
        .vm = helper->vm,
        .cost_us = ask.cost_us,
        .sent_us = now_us,
      };
      memcpy (open.step, ask.step, sizeof open.step);
      g_array_append_val (advice->open, open);
      helper->open++;
      helper->queued_cost_us += ask.cost_us;
      long_ask_vms += ask.cost_us > LONG_ASK_US;
    }
}

/* Calls on behalf of the leader of another VM. */

/* A question that this VM asks for the leader. */
struct relayed_ask
{
  struct entry *entry;
  struct cyc_name leader;
};

static void
on_relayed_done (void *user, uint64_t ask,
                 const struct pt_advise_result *result)
{
  struct relayed_ask *relayed_ask = user;
  Cyc__Peer message = CYC__PEER__INIT;
  Cyc__AdviceAnswer answer = CYC__ADVICE_ANSWER__INIT;
  Cyc__AdviceTicket *tickets = g_new0 (Cyc__AdviceTicket, result->count + 1);
  Cyc__AdviceTicket **rows = g_new0 (Cyc__AdviceTicket *, result->count + 1);
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  struct cyc_ref peer
      = pl_find (&relayed_ask->entry->links,
                 cyc_name_str (&relayed_ask->leader), SET_ROLE_ENTRY);

  answer.ask = ask;
  answer.answered = result->answered;
  answer.valid_ms = (uint32_t)(result->valid_us / 1000);
  for (uint32_t i = 0; i < result->count; i++)
    {
      cyc__advice_ticket__init (&tickets[i]);
      tickets[i].worker = g_strndup (result->tickets[i].worker.data,
                                     result->tickets[i].worker.len);
      tickets[i].ticket = g_strndup (result->tickets[i].text.data,
                                     result->tickets[i].text.len);
      g_ptr_array_add (texts, tickets[i].worker);
      g_ptr_array_add (texts, tickets[i].ticket);
      rows[i] = &tickets[i];
    }
  answer.n_tickets = result->count;
  answer.tickets = rows;
  message.body_case = CYC__PEER__BODY_ADVICE_ANSWER;
  message.advice_answer = &answer;
  if (peer.generation != 0)
    pl_send (&relayed_ask->entry->links, peer, &message);
  g_ptr_array_free (texts, TRUE);
  g_free (tickets);
  g_free (rows);
  g_free (relayed_ask);
}

void
advice_on_ask (struct entry *entry, struct cyc_ref peer,
               const Cyc__AdviceAsk *ask)
{
  struct relayed_ask *relayed_ask = g_new0 (struct relayed_ask, 1);
  struct pl_peer_view view;
  struct cyc_str ids[100];
  uint32_t count = (uint32_t)MIN (ask->n_workers, 100);

  relayed_ask->entry = entry;
  if (pl_view (&entry->links, peer, &view))
    relayed_ask->leader = view.identity.vm;
  for (uint32_t i = 0; i < count; i++)
    ids[i] = cyc_str_of (ask->workers[i]);
  if (!entry->desc.ports->advisor->vtable->advise (
          entry->desc.ports->advisor,
          &(struct pt_advise){
              .step = cyc_str_of (ask->step),
              .workers = ids,
              .count = count,
              .deadline_us = hc_now_us () + ask->budget_ms * 1000ULL,
              .done = on_relayed_done,
              .user = relayed_ask,
              .ask = ask->ask,
          }))
    on_relayed_done (relayed_ask, ask->ask, &(struct pt_advise_result){ 0 });
}
