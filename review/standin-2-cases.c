/* The cases; included by standin-2.c. */

/* A caller cancels a job of three steps of 60 tasks. Others submit jobs as
   before. */

#define SMALL_JOBS 40
#define IDLE_MS 3000
#define STEP_60                                                               \
  "{\"count\":60,\"cpu\":500,\"mem_mb\":100,\"estimate_ms\":2000}"

static int
case_acks (void)
{
  struct st_reply replies[SMALL_JOBS];
  uint64_t idle_since_ms;
  uint64_t end_ms;
  uint32_t taken = 0;
  uint32_t open = 0;

  if (!begin (3, 4, 32000))
    return 2;
  add_job (1, 2000);
  if (submit (0, "/second/0000000000000001", "key-green",
              "{\"spec\":\"s\",\"steps\":[" STEP_60 "," STEP_60 "," STEP_60
              "]}",
              5)
      != 200)
    return 2;
  run_ms (1000);
  if (st.trouble)
    call (1, HC_DELETE, "/second/0000000000000001", "key-green", "", NULL);
  run_ms (3000);
  for (uint32_t j = 0; j < SMALL_JOBS; j++)
    {
      char path[64];

      add_job (0x100 + j, 200);
      snprintf (path, sizeof path, "/first/%016x", 0x100 + j);
      send_call (j % 3, HC_POST, path, "key-blue", SMALL_JOB (60, 500, 200),
                 &replies[j]);
      run_ms (400);
    }
  note ("end of the traffic");
  idle_since_ms = fkp_now_ms ();
  end_ms = idle_since_ms + 14000;
  while (fkp_now_ms () < end_ms)
    {
      for (uint32_t w = 0; w < st.worker_count; w++)
        if (st.workers[w].run_count > 0)
          idle_since_ms = fkp_now_ms ();
      run_ms (20);
    }
  for (uint32_t w = 0; w < st.worker_count; w++)
    note ("%s: runs %u, ends listed and not acknowledged %u, highest "
          "ack_cursor %" PRIu64 " of %" PRIu64,
          st.workers[w].id, st.workers[w].run_count, st.workers[w].ends->len,
          st.workers[w].ack, st.workers[w].next_end - 1);
  note ("no worker has run anything for %" PRIu64 " ms",
        fkp_now_ms () - idle_since_ms);
  for (uint32_t j = 0; j < SMALL_JOBS; j++)
    {
      char path[64];
      char body[256];

      if (replies[j].status != 200)
        continue;
      taken++;
      snprintf (path, sizeof path, "/first/%016x", 0x100 + j);
      call (j % 3, HC_GET, path, "key-blue", "", body);
      open += is_state (body, "queued") || is_state (body, "active");
    }
  note ("of %u jobs that were accepted %u are open, 14 s after the end of the "
        "traffic",
        taken, open);
  return open > 0 && fkp_now_ms () >= idle_since_ms + IDLE_MS;
}

/* Two tenants number their jobs by themselves, and one number is the same. */

static int
case_ids (void)
{
  const char *blue = "/first/0000000000000007";
  const char *green = "/second/0000000000000007";
  char body[256];
  uint32_t broken = 0;
  uint32_t starts = 0;

  if (!begin (3, 4, 32000))
    return 2;
  add_job (7, 20000);
  add_job (8, 500);
  if (submit (0, blue, "key-blue", SMALL_JOB (1, 1000, 20000), 5) != 200)
    return 2;
  run_ms (2000);
  if (call (0, HC_GET, blue, "key-blue", "", body) != 200
      || !is_state (body, "active"))
    return 2;
  if (!st.trouble)
    green = "/second/0000000000000008";
  /* Nobody has submitted this job to the queue of the other tenant. */
  if (call (1, HC_GET, green, "key-green", "", body) == 200)
    {
      note ("BROKEN: a job is shown that green has not submitted: %s", body);
      broken++;
    }
  if (submit (2, green, "key-green", SMALL_JOB (1, 500, 500), 5) == 200)
    {
      run_ms (6000);
      for (uint32_t w = 0; w < st.worker_count; w++)
        starts += highest_over (&st.workers[w], st.trouble
                                                    ? "0000000000000007.0.0.0"
                                                    : "0000000000000008.0.0.0")
                  > 0;
      if (call (2, HC_GET, green, "key-green", "", body) != 200
          || !is_state (body, "complete"))
        {
          note ("BROKEN: green's job was accepted; 6 s later it is shown as "
                "%s, %u of its runs have ended, and the workers are idle",
                body, starts);
          broken++;
        }
    }
  call (1, HC_DELETE, green, "key-green", "", NULL);
  run_ms (2500);
  call (0, HC_GET, blue, "key-blue", "", body);
  if (is_state (body, "canceled"))
    {
      note ("BROKEN: blue's job is shown as canceled, and blue has not "
            "cancelled it");
      broken++;
    }
  return broken > 0;
}

/* A caller submits jobs whose occurrences are all due. */

#define LATER_JOBS 6

static int
case_rounds (void)
{
  const char *body = st.trouble
                         ? "{\"spec\":\"s\",\"steps\":[{\"count\":1000000,"
                           "\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":500}],"
                           "\"repeat_count\":2000,\"interval_ms\":60000}"
                         : "{\"spec\":\"s\",\"steps\":[{\"count\":10,"
                           "\"cpu\":1000,\"mem_mb\":100,\"estimate_ms\":500}],"
                           "\"repeat_count\":2,\"interval_ms\":60000}";
  char state[256];
  uint32_t ends = 0;
  uint32_t ended = 0;
  uint32_t taken = 0;
  uint32_t served = 0;
  bool accepted[LATER_JOBS] = { 0 };

  if (!begin (3, 4, 32000))
    return 2;
  add_job (1, 500);
  add_job (2, 500);
  add_job (3, 500);
  if (submit (0, "/first/0000000000000001", "key-blue",
              SMALL_JOB (1, 1000, 500), 5)
      != 200)
    return 2;
  for (uint32_t j = 2; j < 4; j++)
    {
      char path[64];

      snprintf (path, sizeof path, "/second/%016x", j);
      submit (j % 3, path, "key-green", body, 5);
    }
  run_ms (12000);
  for (uint32_t j = 0; j < LATER_JOBS; j++)
    {
      char path[64];

      add_job (0x100 + j, 500);
      snprintf (path, sizeof path, "/first/%016x", 0x100 + j);
      accepted[j]
          = submit (j, path, "key-blue", SMALL_JOB (1, 1000, 500), 2) == 200;
      run_ms (1500);
    }
  run_ms (14000);
  for (uint32_t j = 0; j < LATER_JOBS; j++)
    {
      char path[64];

      if (!accepted[j])
        continue;
      snprintf (path, sizeof path, "/first/%016x", 0x100 + j);
      taken++;
      served += call (j % 3, HC_GET, path, "key-blue", "", state) == 200
                && is_state (state, "complete");
    }
  for (uint32_t i = 0; i < st.entry_count; i++)
    {
      ends += st.entries[i].ends;
      ended += st.entries[i].ends >= 3;
    }
  note ("processes ended by themselves %u times, %u of 3 machines three times "
        "or more; of %d jobs of another tenant %u were accepted, and 14 s "
        "later %u of these are shown as complete",
        ends, ended, LATER_JOBS, taken, served);
  return ended >= 2;
}

/* The operator adds a tenant whose key is a SHA-256 digest in hexadecimal
   digits, and a route whose host name has 70 characters. */

static int
case_names (void)
{
  const char *key = st.trouble ? "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b"
                                 "822cd15d6c15b0f00a08"
                               : "9f86d081884c7d659a2f";
  const char *host = st.trouble ? "print-and-bind.publishing-department."
                                  "municipal-services.kaarna.example"
                                : "print.kaarna.example";
  char text[4096];
  char body[256];
  long by_key;
  long by_host;

  if (!begin (3, 4, 32000))
    return 2;
  add_job (1, 500);
  add_job (2, 500);
  snprintf (text, sizeof text,
            "{\"version\":5,\"routes\":["
            "{\"name\":\"r-first\",\"host\":\"h.example\","
            "\"path_prefix\":\"/first/\",\"kind\":\"unsafe\","
            "\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":0,"
            "\"service\":\"pool\",\"max_attempts\":2,\"slack_factor\":1.5,"
            "\"public\":false},"
            "{\"name\":\"r-third\",\"host\":\"%s\","
            "\"path_prefix\":\"/third/\",\"kind\":\"unsafe\","
            "\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":0,"
            "\"service\":\"pool\",\"max_attempts\":2,\"slack_factor\":1.5,"
            "\"public\":false}],"
            "\"services\":[{\"name\":\"pool\","
            "\"enforces_capacity\":false}],"
            "\"limits\":{\"max_body_bytes\":262144},\"tenants\":["
            "{\"name\":\"blue\",\"api_keys\":[\"key-blue\"],\"weight\":100,"
            "\"max_count\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}},"
            "{\"name\":\"red\",\"api_keys\":[\"%s\"],\"weight\":100,"
            "\"max_count\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}]}",
            host, key);
  fkp_put (&st.platform, "keyed.op", "config", text);
  note ("operator: configuration 5: tenant red with the key %s; route r-third "
        "with the host %s",
        key, host);
  run_ms (6000);
  by_key = submit (0, "/first/0000000000000001", key, SMALL_JOB (1, 1000, 500),
                   4);
  st.host = host;
  by_host = submit (1, "/third/0000000000000002", "key-blue",
                    SMALL_JOB (1, 1000, 500), 4);
  run_ms (3000);
  call (2, HC_GET, "/third/0000000000000002", "key-blue", "", body);
  st.host = NULL;
  call (2, HC_GET, "/first/0000000000000001", key, "", body);
  if (by_key == 401)
    note ("BROKEN: a key that is in force for 6 s is refused with 401");
  if (by_host == 404)
    note ("BROKEN: a route that is in force for 6 s is refused with 404");
  return by_key == 401 || by_host == 404;
}

/* A route is removed and is there again, while a task of it has its last
   attempt. */

static int
case_route (void)
{
  char body[256];

  if (!begin (3, 4, 32000))
    return 2;
  add_job (1, 4000);
  for (uint32_t w = 0; w < st.worker_count; w++)
    st.workers[w].failing = true;
  if (submit (0, "/first/0000000000000001", "key-blue",
              SMALL_JOB (1, 1000, 4000), 5)
      != 200)
    return 2;
  run_ms (6000);
  if (st.trouble)
    publish_config (2, false);
  run_ms (5000);
  publish_config (3, true);
  run_ms (9000);
  call (0, HC_GET, "/first/0000000000000001", "key-blue", "", body);
  note ("highest run that has ended `failed`: %u; max_attempts is 2",
        st.failed_run);
  return st.failed_run > 2;
}

static const struct
{
  const char *name;
  int (*run) (void);
} cases[] = {
  { "acks", case_acks },   { "rounds", case_rounds }, { "ids", case_ids },
  { "names", case_names }, { "route", case_route },
};
