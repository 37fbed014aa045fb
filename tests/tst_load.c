#include "tst_load.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 6000
#define CALL_PAUSE_US 60000
#define JOB_PAUSE_US 300000
#define MAX_ATTEMPTS 3

struct caller
{
  struct tst_load *load;
  uint32_t index;
};

static bool
should_stop (struct tst_load *load)
{
  bool stop;

  pthread_mutex_lock (&load->lock);
  stop = load->stop;
  pthread_mutex_unlock (&load->lock);
  return stop;
}

/* Returns the next gateway in rotation, or any if all are out of rotation. */
static uint32_t
pick_vm (struct tst_load *load, uint32_t *cursor)
{
  uint32_t vm = *cursor % TST_VMS;

  pthread_mutex_lock (&load->lock);
  for (uint32_t i = 0; i < TST_VMS; i++)
    {
      vm = (*cursor)++ % TST_VMS;
      if (!load->out_of_rotation[vm])
        break;
    }
  pthread_mutex_unlock (&load->lock);
  return vm;
}

/* The fake target answers with a line "request=ID worker=NAME" and a copy of
   the request body. */
static bool
answer_matches_request (const struct tst_answer *answer, const char *mark)
{
  const char *line = strchr (answer->body, '\n');

  return strncmp (answer->body, "request=", 8) == 0 && line != NULL
         && strcmp (line + 1, mark) == 0;
}

static void
send_request (struct tst_load *load, struct tst_call_record *record,
              const char *key)
{
  char url[128];
  char authorization[160];
  char idempotency_key[96];
  struct tst_answer answer;
  struct tst_call call = { .url = url,
                           .body = record->mark,
                           .headers = { authorization, NULL, NULL },
                           .timeout_ms = CALL_TIMEOUT_MS };

  snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/queues/%s/requests",
            load->site->vms[record->vm].ports[0],
            record->once_only ? "check" : "plan");
  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s",
            key);
  snprintf (idempotency_key, sizeof idempotency_key, "Idempotency-Key: %s",
            record->mark);
  if (record->once_only)
    call.headers[1] = idempotency_key;
  if (record->once_only && record->attempt == 0)
    call.headers[2] = "First-Attempt: 1";
  record->start_ms = tst_now_ms ();
  tst_http (&call, &answer);
  record->end_ms = tst_now_ms ();
  record->status = answer.status;
  record->refused_connection = answer.refused_connection;
  g_strlcpy (record->outcome, answer.status ? answer.outcome : "",
             sizeof record->outcome);
  sscanf (answer.body, "request=%*s worker=%15s", record->worker);
  record->answer_matches = answer_matches_request (&answer, record->mark);
  free (answer.body);
  pthread_mutex_lock (&load->lock);
  g_array_append_val (load->records, *record);
  pthread_mutex_unlock (&load->lock);
}

static bool
may_retry (const struct tst_call_record *record)
{
  return record->once_only && record->attempt + 1 < MAX_ATTEMPTS
         && (record->status == 0 || strcmp (record->outcome, "unknown") == 0);
}

static void *
run_caller (void *argument)
{
  struct caller caller = *(struct caller *)argument;
  struct tst_load *load = caller.load;
  uint32_t cursor = caller.index;

  g_free (argument);
  for (uint32_t serial = 0; !should_stop (load); serial++)
    {
      struct tst_call_record record = { .once_only = caller.index % 2 != 0 };
      char key[96];

      pthread_mutex_lock (&load->lock);
      record.second_key = caller.index == 0 && load->second_key[0] != '\0';
      record.other_team_key = caller.index == TST_OTHER_TEAM_CALLER;
      if (record.second_key)
        g_strlcpy (key, load->second_key, sizeof key);
      else
        g_strlcpy (key,
                   record.other_team_key ? load->site->beta_key
                                         : load->site->alpha_key,
                   sizeof key);
      pthread_mutex_unlock (&load->lock);
      snprintf (record.mark, sizeof record.mark, "mark-%u-%u", caller.index,
                serial);
      for (;; record.attempt++)
        {
          record.vm = pick_vm (load, &cursor);
          send_request (load, &record, key);
          if (!may_retry (&record))
            break;
        }
      usleep (CALL_PAUSE_US);
    }
  return NULL;
}

static char *
job_id (const char *body)
{
  struct json_object *json = json_tokener_parse (body);
  const char *text
      = json ? json_object_get_string (json_object_object_get (json, "job"))
             : NULL;
  char *id = text ? g_strdup (text) : NULL;

  json_object_put (json);
  return id;
}

static const char *const job_queues[]
    = { "tally", "invoice", "tally", "train" };

static void *
run_submitter (void *argument)
{
  struct tst_load *load = argument;
  uint32_t cursor = 0;

  for (uint32_t serial = 0; !should_stop (load); serial++)
    {
      const char *queue = job_queues[serial % G_N_ELEMENTS (job_queues)];
      bool once_only = strcmp (queue, "invoice") == 0;
      char url[128];
      char key[160];
      struct tst_answer answer;

      snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/queues/%s/jobs",
                load->site->vms[pick_vm (load, &cursor)].ports[0], queue);
      snprintf (key, sizeof key, "Authorization: Bearer %s",
                load->site->beta_key);
      tst_http (&(struct tst_call){ .url = url,
                                    .body = "{}",
                                    .headers = { key },
                                    .timeout_ms = CALL_TIMEOUT_MS },
                &answer);
      if (answer.status == 202)
        {
          pthread_mutex_lock (&load->lock);
          g_ptr_array_add (once_only ? load->once_only_jobs : load->jobs,
                           job_id (answer.body));
          pthread_mutex_unlock (&load->lock);
        }
      free (answer.body);
      usleep (JOB_PAUSE_US);
    }
  return NULL;
}

void
tst_load_start (struct tst_load *load, struct tst_site *site)
{
  tst_load_setup (load, site);
  for (uint32_t i = 0; i < TST_CALLER_COUNT; i++)
    {
      struct caller *caller = g_new0 (struct caller, 1);

      caller->load = load;
      caller->index = i;
      pthread_create (&load->threads[i], NULL, run_caller, caller);
    }
  pthread_create (&load->threads[TST_CALLER_COUNT], NULL, run_submitter, load);
}

void
tst_load_stop (struct tst_load *load)
{
  pthread_mutex_lock (&load->lock);
  load->stop = true;
  pthread_mutex_unlock (&load->lock);
  for (uint32_t i = 0; i <= TST_CALLER_COUNT; i++)
    pthread_join (load->threads[i], NULL);
}

bool
tst_load_wait_calls (struct tst_load *load, uint32_t count,
                     uint64_t timeout_ms)
{
  uint64_t deadline_ms = tst_now_ms () + timeout_ms;
  guint goal = 0;

  do
    {
      guint have;

      pthread_mutex_lock (&load->lock);
      have = load->records->len;
      pthread_mutex_unlock (&load->lock);
      if (goal == 0)
        goal = have + count;
      if (have >= goal)
        return true;
      tst_poll_sleep ();
    }
  while (tst_now_ms () < deadline_ms);
  return false;
}

static bool
job_is_done (struct tst_load *load, const char *id, char state[64])
{
  struct tst_site *site = load->site;
  char key[160];
  bool done = false;

  snprintf (key, sizeof key, "Authorization: Bearer %s", site->beta_key);
  g_strlcpy (state, "not known", 64);
  for (uint32_t vm = 0; vm < TST_VMS && !done; vm++)
    {
      char url[160];
      struct tst_answer answer;
      struct json_object *json;

      if (!site->vms[vm].expected_running[TST_GATEWAY])
        continue;
      snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/jobs/%s",
                site->vms[vm].ports[0], id);
      tst_http (&(struct tst_call){ .url = url, .headers = { key } }, &answer);
      json = answer.status == 200 ? json_tokener_parse (answer.body) : NULL;
      if (json != NULL)
        g_strlcpy (
            state,
            json_object_get_string (json_object_object_get (json, "state")),
            64);
      json_object_put (json);
      free (answer.body);
      done = strcmp (state, "done") == 0;
    }
  return done;
}

static bool
has_ended (const char *state, bool once_only)
{
  return strcmp (state, "done") == 0
         || (once_only
             && (strcmp (state, "failed") == 0
                 || strcmp (state, "unknown") == 0));
}

static void
wait_for_jobs (struct tst_load *load, const GPtrArray *jobs, bool once_only,
               uint64_t deadline_ms)
{
  char state[64];

  for (guint i = 0; i < jobs->len; i++)
    {
      const char *id = jobs->pdata[i];

      if (id == NULL)
        {
          tst_add_violation (load->site, "a 202 answer carries no job id");
          continue;
        }
      while (!job_is_done (load, id, state) && !has_ended (state, once_only))
        {
          if (tst_now_ms () > deadline_ms)
            {
              tst_add_violation (
                  load->site,
                  "accepted job %s (%u of %u) is %s after the end "
                  "of the fault",
                  id, i, jobs->len, state);
              return;
            }
          tst_poll_sleep ();
        }
      if (once_only)
        g_hash_table_insert (load->once_only_job_states, g_strdup (id),
                             g_strdup (state));
    }
}

void
tst_load_wait_jobs (struct tst_load *load, uint64_t timeout_ms)
{
  uint64_t deadline_ms = tst_now_ms () + timeout_ms;

  wait_for_jobs (load, load->jobs, false, deadline_ms);
  wait_for_jobs (load, load->once_only_jobs, true, deadline_ms);
}

void
tst_load_setup (struct tst_load *load, struct tst_site *site)
{
  memset (load, 0, sizeof *load);
  load->site = site;
  load->records = g_array_new (FALSE, TRUE, sizeof (struct tst_call_record));
  load->jobs = g_ptr_array_new_with_free_func (g_free);
  load->once_only_jobs = g_ptr_array_new_with_free_func (g_free);
  load->once_only_job_states
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  pthread_mutex_init (&load->lock, NULL);
}

void
tst_load_release (struct tst_load *load)
{
  g_array_unref (load->records);
  g_ptr_array_unref (load->jobs);
  g_ptr_array_unref (load->once_only_jobs);
  g_hash_table_unref (load->once_only_job_states);
  pthread_mutex_destroy (&load->lock);
}
