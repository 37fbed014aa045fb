#include "tst_load.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

/* "A few seconds" of promises 4 and 9, with the short settings of the tests.
 */
#define FEW_SECONDS_MS 2500

/* Within this time of the settings, a peer that is cut off is dead and its
   targets are no longer used (peer_dead_ms is 1,000). */
#define SETTLED_MS 1300
/* A follower of the log waits at most 1 s between two reads that failed; the
   rest is for the read itself on a busy machine. */
#define AT_ONCE_MS 1500

struct run
{
  char worker[16];
  int64_t from_ms;
};

struct journal
{
  struct tst_site *site;
  GHashTable *marks;    /* mark -> guint: times received */
  GHashTable *running;  /* task name -> struct run */
  GHashTable *finished; /* names of once-only tasks that ended as done */
  GHashTable *invoices; /* names of once-only tasks that were started */
  int64_t beta_millicores;
  uint32_t overruns;
  uint32_t late;
  uint32_t limit_hits;
  int64_t most_slots;
  int64_t most_connections;
  uint32_t alone_answers[TST_VMS];
  uint32_t second_answers[TST_VMS]; /* under the key that is withdrawn */
  uint32_t late_refusals[TST_VMS];  /* of it after the cut */
};

static const char *
text_of (struct json_object *event, const char *key)
{
  const char *text
      = json_object_get_string (json_object_object_get (event, key));

  return text ? text : "";
}

static int64_t
number_of (struct json_object *event, const char *key)
{
  return json_object_get_int64 (json_object_object_get (event, key));
}

static bool
is_beta (struct json_object *event)
{
  const char *queue = text_of (event, "queue");

  return strcmp (queue, "tally") == 0 || strcmp (queue, "train") == 0
         || strcmp (queue, "invoice") == 0;
}

static void
take_start (struct journal *journal, struct json_object *event)
{
  const char *task = text_of (event, "task");
  struct run *run = g_hash_table_lookup (journal->running, task);

  if (strcmp (text_of (event, "queue"), "invoice") == 0
      && !g_hash_table_add (journal->invoices, g_strdup (task)))
    tst_violation (journal->site, "once-only task %s was started twice", task);
  if (run != NULL)
    {
      tst_violation (journal->site, "task %s runs on %s and on %s", task,
                     run->worker, text_of (event, "worker"));
      return;
    }
  run = g_new0 (struct run, 1);
  g_strlcpy (run->worker, text_of (event, "worker"), sizeof run->worker);
  run->from_ms = number_of (event, "from_ms");
  g_hash_table_insert (journal->running, g_strdup (task), run);
  if (!is_beta (event))
    return;
  journal->beta_millicores += number_of (event, "millicores");
  if (journal->beta_millicores > TST_BETA_LIMIT_MILLICORES
      && journal->limit_hits++ == 0)
    tst_violation (journal->site,
                   "team beta has %" G_GINT64_FORMAT
                   " millicores running, over its limit of %d",
                   journal->beta_millicores, TST_BETA_LIMIT_MILLICORES);
}

static void
take_end (struct journal *journal, struct json_object *event)
{
  const char *task = text_of (event, "task");
  const struct run *run = g_hash_table_lookup (journal->running, task);

  if (strcmp (text_of (event, "queue"), "invoice") == 0
      && strcmp (text_of (event, "state"), "done") == 0)
    g_hash_table_add (journal->finished, g_strdup (task));
  if (is_beta (event))
    journal->beta_millicores -= number_of (event, "millicores");
  if (run != NULL && strcmp (run->worker, text_of (event, "worker")) == 0)
    g_hash_table_remove (journal->running, task);
}

static void
take_request (struct journal *journal, struct json_object *event)
{
  const char *mark = text_of (event, "body");
  int64_t draining_ms = number_of (event, "draining_ms");
  int64_t at_ms = number_of (event, "at_ms");
  int64_t slots = number_of (event, "slots_used") + 1;
  int64_t connections = number_of (event, "connections_used");
  guint *times;

  journal->most_slots = MAX (journal->most_slots, slots);
  journal->most_connections = MAX (journal->most_connections, connections);
  times = g_hash_table_lookup (journal->marks, mark);
  if (times == NULL)
    {
      times = g_new0 (guint, 1);
      g_hash_table_insert (journal->marks, g_strdup (mark), times);
    }
  (*times)++;
  if (draining_ms > 0 && at_ms > draining_ms + FEW_SECONDS_MS
      && journal->late++ == 0)
    tst_violation (journal->site,
                   "worker %s got a request %" G_GINT64_FORMAT
                   " ms after it began to drain",
                   text_of (event, "worker"), at_ms - draining_ms);
}

static void
take_event (struct journal *journal, struct json_object *event)
{
  const char *name = text_of (event, "event");

  if (strcmp (name, "start") == 0)
    take_start (journal, event);
  else if (strcmp (name, "end") == 0)
    take_end (journal, event);
  else if (strcmp (name, "request") == 0)
    take_request (journal, event);
  else if (strcmp (name, "overrun") == 0 && journal->overruns++ < 3)
    tst_violation (
        journal->site, "overrun: %.200s",
        json_object_to_json_string_ext (event, JSON_C_TO_STRING_PLAIN));
}

static void
read_journal (struct journal *journal, char *text)
{
  char *place = NULL;

  for (char *line = strtok_r (text, "\n", &place); line != NULL;
       line = strtok_r (NULL, "\n", &place))
    {
      struct json_object *event = json_tokener_parse (line);

      if (event != NULL)
        take_event (journal, event);
      json_object_put (event);
    }
}

/* Design section 18: a domain that is cut off answers repeatable requests from
   its own targets. */
static void
check_alone (struct tst_load *load, struct journal *journal,
             const struct tst_call_record *record)
{
  bool is_answer = strcmp (record->outcome, "answer") == 0;
  uint32_t worker;

  if (load->cut_start_ms == 0 || !load->isolated[record->vm]
      || record->once_only || record->second_key || record->other_team_key
      || record->start_ms < load->cut_start_ms + SETTLED_MS
      || record->end_ms > load->cut_end_ms)
    return;
  journal->alone_answers[record->vm] += is_answer;
  if (!is_answer)
    tst_violation (load->site,
                   "cut off %s did not answer %s from its own targets: \"%s\" "
                   "(%ld)",
                   load->site->vms[record->vm].name, record->mark,
                   record->outcome, record->status);
  else if (sscanf (record->worker, "w%u", &worker) != 1
           || worker / TST_WORKERS_PER_DOMAIN != tst_site_domain (record->vm))
    tst_violation (load->site, "cut off %s answered %s from worker %s",
                   load->site->vms[record->vm].name, record->mark,
                   record->worker);
}

/* A process without a path to the log or to a fresh peer learns of the
   withdrawal when its link is back (design section 10). */
static void
check_withdrawn (struct tst_load *load, struct journal *journal,
                 const struct tst_call_record *record)
{
  uint64_t known_ms = load->withdrawn_ms + FEW_SECONDS_MS;

  if (!record->second_key || load->withdrawn_ms == 0)
    return;
  if (strcmp (record->outcome, "answer") != 0)
    {
      journal->late_refusals[record->vm]
          += record->start_ms > load->cut_end_ms && record->status == 401;
      return;
    }
  journal->second_answers[record->vm]++;
  if (load->no_control_path[record->vm])
    known_ms = MAX (load->withdrawn_ms, load->cut_end_ms) + AT_ONCE_MS;
  if (record->start_ms > known_ms)
    tst_violation (load->site,
                   "a withdrawn key was accepted by %s %" G_GUINT64_FORMAT
                   " ms after its withdrawal",
                   load->site->vms[record->vm].name,
                   record->start_ms - load->withdrawn_ms);
}

static void
check_call (struct tst_load *load, struct journal *journal,
            const struct tst_call_record *record)
{
  struct tst_site *site = load->site;
  const guint *times = g_hash_table_lookup (journal->marks, record->mark);
  guint received = times != NULL ? *times : 0;
  bool is_answer = strcmp (record->outcome, "answer") == 0;
  bool is_not_run = strcmp (record->outcome, "not-run") == 0;

  if (record->once_only && received > 1)
    tst_violation (site, "once-only request %s was received %u times",
                   record->mark, received);
  if (is_not_run && received > 0)
    tst_violation (site,
                   "request %s was refused as not run (%ld) but was received",
                   record->mark, record->status);
  if (is_answer && (!record->answer_matches || received == 0))
    tst_violation (
        site, "answer to %s (%ld, attempt %u) is not whole or not its own",
        record->mark, record->status, record->attempt);
  if (record->status != 0 && !is_answer && !is_not_run
      && strcmp (record->outcome, "unknown") != 0)
    tst_violation (site, "call %s: status %ld without an outcome",
                   record->mark, record->status);
  if (record->status == 0 && !record->refused_connection
      && !load->interrupted[record->vm])
    tst_violation (site,
                   "call %s to %s got no answer for %" G_GUINT64_FORMAT
                   " ms from a gateway that was not killed",
                   record->mark, site->vms[record->vm].name,
                   record->end_ms - record->start_ms);
  if (record->other_team_key && (is_answer || received > 0))
    tst_violation (site, "request %s was accepted with another team's key",
                   record->mark);
  check_withdrawn (load, journal, record);
  check_alone (load, journal, record);
}

/* What is said of a once-only job must be true: done only if it ran to its
   end, failed only if it did not. */
static void
check_once_jobs (struct tst_load *load, const struct journal *journal)
{
  GHashTableIter iter;
  gpointer id;
  gpointer state;

  g_hash_table_iter_init (&iter, load->once_only_job_states);
  while (g_hash_table_iter_next (&iter, &id, &state))
    {
      char task[96];
      bool finished;

      snprintf (task, sizeof task, "%s.0", (const char *)id);
      finished = g_hash_table_contains (journal->finished, task);
      if ((strcmp (state, "done") == 0 && !finished)
          || (strcmp (state, "failed") == 0 && finished))
        tst_violation (load->site,
                       "once-only job %s is said to be %s, but its task %s",
                       (const char *)id, (const char *)state,
                       finished ? "ran to its end" : "did not");
    }
}

/* The checks of single calls under a cut hold only if there were such calls:
   answers of each gateway that was alone, and use of the withdrawn key at each
   gateway before its withdrawal and after the cut. */
static void
check_cut (struct tst_load *load, const struct journal *journal)
{
  for (uint32_t vm = 0; vm < TST_VMS && load->cut_start_ms > 0; vm++)
    {
      const char *name = load->site->vms[vm].name;

      if (load->isolated[vm] && journal->alone_answers[vm] == 0)
        tst_violation (load->site, "cut off %s answered nothing", name);
      if (load->withdrawn_ms > 0 && journal->second_answers[vm] == 0)
        tst_violation (load->site, "%s never accepted the second key", name);
      if (load->withdrawn_ms > 0 && load->no_control_path[vm]
          && journal->late_refusals[vm] == 0)
        tst_violation (load->site,
                       "%s did not refuse the withdrawn key after the cut",
                       name);
    }
}

void
tst_check (struct tst_load *load, char *text)
{
  struct journal journal = {
    .site = load->site,
    .marks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    .finished = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .invoices = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .running = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
  };
  uint32_t answers = 0;
  uint32_t refused = 0;
  uint32_t unknown = 0;

  read_journal (&journal, text);
  for (guint i = 0; i < load->records->len; i++)
    {
      const struct tst_call_record *record
          = &g_array_index (load->records, struct tst_call_record, i);

      check_call (load, &journal, record);
      answers += strcmp (record->outcome, "answer") == 0;
      refused += strcmp (record->outcome, "not-run") == 0;
      unknown += strcmp (record->outcome, "unknown") == 0;
    }
  check_once_jobs (load, &journal);
  check_cut (load, &journal);
  if (answers == 0)
    tst_violation (load->site, "none of %u calls was answered",
                   load->records->len);
  printf ("   %s: %u calls, %u answers, %u not run, %u unknown, %u jobs; most "
          "slots %" G_GINT64_FORMAT ", connections %" G_GINT64_FORMAT
          " of a worker\n",
          load->site->name, load->records->len, answers, refused, unknown,
          load->jobs->len + load->once_only_jobs->len, journal.most_slots,
          journal.most_connections);
  g_hash_table_unref (journal.marks);
  g_hash_table_unref (journal.running);
  g_hash_table_unref (journal.invoices);
  g_hash_table_unref (journal.finished);
}
