#include "tst_load.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

/* With the short settings of the tests, a draining worker gets no more
   requests and a withdrawn key is no longer accepted after this time ("a few
   seconds" in promises 4 and 9 of design section 2). */
#define NOTICE_LIMIT_MS 2500

/* After this time a peer that is cut off counts as dead and its targets are no
   longer used (peer_dead_ms is 1,000). */
#define CUT_DETECTION_MS 1300
/* After a cut, a withdrawn key is no longer accepted after this time: a
   follower of the log waits at most 1 s between failed reads, and the read
   itself may take 500 ms on a busy machine. */
#define NOTICE_AFTER_CUT_MS 1500

/* A running task. */
struct run
{
  char worker[16];
  int64_t from_ms;
};

struct journal
{
  struct tst_site *site;
  GHashTable *marks;           /* mark -> guint: number of times received */
  GHashTable *running;         /* task name -> struct run */
  GHashTable *finished_tasks;  /* names of once-only tasks that completed */
  GHashTable *once_only_tasks; /* names of started once-only tasks */
  int64_t beta_millicores;
  uint32_t overruns;
  uint32_t late_requests;
  uint32_t limit_violations;
  int64_t peak_slots;
  int64_t peak_connections;
  uint32_t isolated_answers[TST_VMS];
  uint32_t second_key_answers[TST_VMS]; /* to calls with the second key */
  uint32_t refusals_after_cut[TST_VMS]; /* of the second key */
};

static const char *
get_text (struct json_object *event, const char *key)
{
  const char *text
      = json_object_get_string (json_object_object_get (event, key));

  return text ? text : "";
}

static int64_t
get_number (struct json_object *event, const char *key)
{
  return json_object_get_int64 (json_object_object_get (event, key));
}

static bool
is_of_team_beta (struct json_object *event)
{
  const char *queue = get_text (event, "queue");

  return strcmp (queue, "tally") == 0 || strcmp (queue, "train") == 0
         || strcmp (queue, "invoice") == 0;
}

static void
process_start (struct journal *journal, struct json_object *event)
{
  const char *task = get_text (event, "task");
  struct run *run = g_hash_table_lookup (journal->running, task);

  if (strcmp (get_text (event, "queue"), "invoice") == 0
      && !g_hash_table_add (journal->once_only_tasks, g_strdup (task)))
    tst_add_violation (journal->site, "once-only task %s was started twice",
                       task);
  if (run != NULL)
    {
      tst_add_violation (journal->site, "task %s runs on %s and on %s", task,
                         run->worker, get_text (event, "worker"));
      return;
    }
  run = g_new0 (struct run, 1);
  g_strlcpy (run->worker, get_text (event, "worker"), sizeof run->worker);
  run->from_ms = get_number (event, "from_ms");
  g_hash_table_insert (journal->running, g_strdup (task), run);
  if (!is_of_team_beta (event))
    return;
  journal->beta_millicores += get_number (event, "millicores");
  if (journal->beta_millicores > TST_BETA_LIMIT_MILLICORES
      && journal->limit_violations++ == 0)
    tst_add_violation (journal->site,
                       "team beta has %" G_GINT64_FORMAT
                       " millicores running, over its limit of %d",
                       journal->beta_millicores, TST_BETA_LIMIT_MILLICORES);
}

static void
process_end (struct journal *journal, struct json_object *event)
{
  const char *task = get_text (event, "task");
  const struct run *run = g_hash_table_lookup (journal->running, task);

  if (strcmp (get_text (event, "queue"), "invoice") == 0
      && strcmp (get_text (event, "state"), "done") == 0)
    g_hash_table_add (journal->finished_tasks, g_strdup (task));
  if (is_of_team_beta (event))
    journal->beta_millicores -= get_number (event, "millicores");
  if (run != NULL && strcmp (run->worker, get_text (event, "worker")) == 0)
    g_hash_table_remove (journal->running, task);
}

static void
process_request (struct journal *journal, struct json_object *event)
{
  const char *mark = get_text (event, "body");
  int64_t draining_ms = get_number (event, "draining_ms");
  int64_t at_ms = get_number (event, "at_ms");
  int64_t slots = get_number (event, "slots_used") + 1;
  int64_t connections = get_number (event, "connections_used");
  guint *times;

  journal->peak_slots = MAX (journal->peak_slots, slots);
  journal->peak_connections = MAX (journal->peak_connections, connections);
  times = g_hash_table_lookup (journal->marks, mark);
  if (times == NULL)
    {
      times = g_new0 (guint, 1);
      g_hash_table_insert (journal->marks, g_strdup (mark), times);
    }
  (*times)++;
  if (draining_ms > 0 && at_ms > draining_ms + NOTICE_LIMIT_MS
      && journal->late_requests++ == 0)
    tst_add_violation (journal->site,
                       "worker %s got a request %" G_GINT64_FORMAT
                       " ms after it began to drain",
                       get_text (event, "worker"), at_ms - draining_ms);
}

static void
process_event (struct journal *journal, struct json_object *event)
{
  const char *name = get_text (event, "event");

  if (strcmp (name, "start") == 0)
    process_start (journal, event);
  else if (strcmp (name, "end") == 0)
    process_end (journal, event);
  else if (strcmp (name, "request") == 0)
    process_request (journal, event);
  else if (strcmp (name, "overrun") == 0 && journal->overruns++ < 3)
    tst_add_violation (
        journal->site, "overrun: %.200s",
        json_object_to_json_string_ext (event, JSON_C_TO_STRING_PLAIN));
}

static void
read_journal (struct journal *journal, char *text)
{
  char *position = NULL;

  for (char *line = strtok_r (text, "\n", &position); line != NULL;
       line = strtok_r (NULL, "\n", &position))
    {
      struct json_object *event = json_tokener_parse (line);

      if (event != NULL)
        process_event (journal, event);
      json_object_put (event);
    }
}

/* A domain that is cut off must answer repeatable requests from its own
   targets (design section 18). */
static void
check_isolated (struct tst_load *load, struct journal *journal,
                const struct tst_call_record *record)
{
  bool is_answer = strcmp (record->outcome, "answer") == 0;
  uint32_t worker;

  if (load->cut_start_ms == 0 || !load->isolated[record->vm]
      || record->once_only || record->second_key || record->other_team_key
      || record->start_ms < load->cut_start_ms + CUT_DETECTION_MS
      || record->end_ms > load->cut_end_ms)
    return;
  journal->isolated_answers[record->vm] += is_answer;
  if (!is_answer)
    tst_add_violation (
        load->site,
        "cut off %s did not answer %s from its own targets: \"%s\" "
        "(%ld)",
        load->site->vms[record->vm].name, record->mark, record->outcome,
        record->status);
  else if (sscanf (record->worker, "w%u", &worker) != 1
           || worker / TST_WORKERS_PER_DOMAIN != tst_site_domain (record->vm))
    tst_add_violation (load->site, "cut off %s answered %s from worker %s",
                       load->site->vms[record->vm].name, record->mark,
                       record->worker);
}

/* A withdrawn key must be refused in time. A process that reaches neither the
   log nor an up-to-date peer learns of the withdrawal when its links are back
   (design section 10). */
static void
check_withdrawn_key (struct tst_load *load, struct journal *journal,
                     const struct tst_call_record *record)
{
  uint64_t notice_deadline_ms = load->withdrawn_ms + NOTICE_LIMIT_MS;

  if (!record->second_key || load->withdrawn_ms == 0)
    return;
  if (strcmp (record->outcome, "answer") != 0)
    {
      journal->refusals_after_cut[record->vm]
          += record->start_ms > load->cut_end_ms && record->status == 401;
      return;
    }
  journal->second_key_answers[record->vm]++;
  if (load->no_control_path[record->vm])
    notice_deadline_ms
        = MAX (load->withdrawn_ms, load->cut_end_ms) + NOTICE_AFTER_CUT_MS;
  if (record->start_ms > notice_deadline_ms)
    tst_add_violation (load->site,
                       "a withdrawn key was accepted by %s %" G_GUINT64_FORMAT
                       " ms after its withdrawal",
                       load->site->vms[record->vm].name,
                       record->start_ms - load->withdrawn_ms);
}

/* Compares one call with the journal: a refused request must not have run, a
   once-only request must have run at most once, and an answer must belong to
   its request. */
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
    tst_add_violation (site, "once-only request %s was received %u times",
                       record->mark, received);
  if (is_not_run && received > 0)
    tst_add_violation (
        site, "request %s was refused as not run (%ld) but was received",
        record->mark, record->status);
  if (is_answer && (!record->answer_matches || received == 0))
    tst_add_violation (
        site, "answer to %s (%ld, attempt %u) is not whole or not its own",
        record->mark, record->status, record->attempt);
  if (record->status != 0 && !is_answer && !is_not_run
      && strcmp (record->outcome, "unknown") != 0)
    tst_add_violation (site, "call %s: status %ld without an outcome",
                       record->mark, record->status);
  if (record->status == 0 && !record->refused_connection
      && !load->interrupted[record->vm])
    tst_add_violation (site,
                       "call %s to %s got no answer for %" G_GUINT64_FORMAT
                       " ms from a gateway that was not killed",
                       record->mark, site->vms[record->vm].name,
                       record->end_ms - record->start_ms);
  if (record->other_team_key && (is_answer || received > 0))
    tst_add_violation (site, "request %s was accepted with another team's key",
                       record->mark);
  check_withdrawn_key (load, journal, record);
  check_isolated (load, journal, record);
}

/* The reported state of a once-only job must be true: done only if its task
   completed, failed only if it did not. */
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
      finished = g_hash_table_contains (journal->finished_tasks, task);
      if ((strcmp (state, "done") == 0 && !finished)
          || (strcmp (state, "failed") == 0 && finished))
        tst_add_violation (
            load->site, "once-only job %s is said to be %s, but its task %s",
            (const char *)id, (const char *)state,
            finished ? "ran to its end" : "did not");
    }
}

/* The checks of single calls under a cut prove nothing without such calls.
   There must be answers of each isolated gateway, and calls with the second
   key at each gateway before its withdrawal and after the cut. */
static void
check_cut (struct tst_load *load, const struct journal *journal)
{
  for (uint32_t vm = 0; vm < TST_VMS && load->cut_start_ms > 0; vm++)
    {
      const char *name = load->site->vms[vm].name;

      if (load->isolated[vm] && journal->isolated_answers[vm] == 0)
        tst_add_violation (load->site, "cut off %s answered nothing", name);
      if (load->withdrawn_ms > 0 && journal->second_key_answers[vm] == 0)
        tst_add_violation (load->site, "%s never accepted the second key",
                           name);
      if (load->withdrawn_ms > 0 && load->no_control_path[vm]
          && journal->refusals_after_cut[vm] == 0)
        tst_add_violation (load->site,
                           "%s did not refuse the withdrawn key after the cut",
                           name);
    }
}

void
tst_load_check (struct tst_load *load, char *text)
{
  struct journal journal = {
    .site = load->site,
    .marks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    .finished_tasks
    = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .once_only_tasks
    = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
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
    tst_add_violation (load->site, "none of %u calls was answered",
                       load->records->len);
  printf ("   %s: %u calls, %u answers, %u not run, %u unknown, %u jobs; "
          "per worker at most %" G_GINT64_FORMAT " slots, %" G_GINT64_FORMAT
          " connections\n",
          load->site->name, load->records->len, answers, refused, unknown,
          load->jobs->len + load->once_only_jobs->len, journal.peak_slots,
          journal.peak_connections);
  g_hash_table_unref (journal.marks);
  g_hash_table_unref (journal.running);
  g_hash_table_unref (journal.once_only_tasks);
  g_hash_table_unref (journal.finished_tasks);
}
