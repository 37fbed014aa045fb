/**
 * @file
 * Benchmark of the routing core against a baseline router that picks a target
 * at random: one gateway, 50 targets of 8 slots, simulated time, fixed seeds.
 *
 * One target in ten is five times slower than the others, and one in 25
 * refuses connections. One team sends a tenth of the requests, the other the
 * rest. The baseline queues requests at the target and ignores deadlines and
 * teams. The benchmark prints figures and checks no limits.
 */
#include "bn_model.h"

#include <cyclamendrum/route.h>

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGETS 50
#define SLOTS_PER_TARGET 8
#define SERVICE_US 20000
#define SLOW_FACTOR 5
#define TARGETS_PER_SLOW_ONE 10
#define TARGETS_PER_DEAD_ONE 25
#define RUN_US UINT64_C (5000000)
#define TICK_US 1000
#define DEADLINE_US UINT64_C (500000)
#define TOTAL_SLOTS ((size_t)TARGETS * SLOTS_PER_TARGET)
#define MAX_REQUESTS 2000000
#define TEAMS 2
#define SMALL_TEAM_FRACTION 0.1
#define SEED 20261204

struct request
{
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t service_us; /**< service time on a target of normal speed */
  uint32_t team;
  uint32_t target;
  struct cyc_ref flight;
};

struct event
{
  uint64_t at_us;
  uint32_t request;
};

struct heap
{
  struct event *events;
  uint32_t count;
};

struct result
{
  uint64_t sent[TEAMS];
  uint64_t in_time[TEAMS];
  uint64_t refused;
  uint64_t late; /**< answered after the deadline, so the work was wasted */
  uint64_t not_connected;
  struct bn_samples wait_ms[TEAMS];
  double elapsed_us; /**< wall time of the whole run */
  uint64_t decisions;
};

static struct request *requests;
static const char *const team_names[TEAMS] = { "previews", "rebuilds" };

static void
heap_push (struct heap *heap, struct event event)
{
  uint32_t at = heap->count++;

  while (at > 0 && heap->events[(at - 1) / 2].at_us > event.at_us)
    {
      heap->events[at] = heap->events[(at - 1) / 2];
      at = (at - 1) / 2;
    }
  heap->events[at] = event;
}

static struct event
heap_pop (struct heap *heap)
{
  struct event top = heap->events[0];
  struct event last = heap->events[--heap->count];
  uint32_t at = 0;

  for (;;)
    {
      uint32_t child = 2 * at + 1;

      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && heap->events[child + 1].at_us < heap->events[child].at_us)
        child++;
      if (heap->events[child].at_us >= last.at_us)
        break;
      heap->events[at] = heap->events[child];
      at = child;
    }
  heap->events[at] = last;
  return top;
}

static bool
is_dead (uint32_t target)
{
  return target % TARGETS_PER_DEAD_ONE == 7;
}

static uint64_t
service_time_on_us (const struct request *request, uint32_t target)
{
  return target % TARGETS_PER_SLOW_ONE == 3 ? request->service_us * SLOW_FACTOR
                                            : request->service_us;
}

/* Fills `requests` in order of arrival, at an arrival rate of @p load_factor
   times the rate that the targets can serve, and returns their number. */
static uint32_t
make_requests (double load_factor)
{
  uint64_t seed = SEED;
  double per_us = load_factor * TARGETS * SLOTS_PER_TARGET / SERVICE_US;
  double now_us = 0;
  uint32_t count = 0;

  while (count < MAX_REQUESTS)
    {
      struct request *request = &requests[count];

      now_us += (0.5 + bn_uniform (&seed)) / per_us;
      if (now_us >= (double)RUN_US)
        break;
      memset (request, 0, sizeof *request);
      request->arrived_us = (uint64_t)now_us + TICK_US;
      request->deadline_us = request->arrived_us + DEADLINE_US;
      request->service_us
          = (uint64_t)(SERVICE_US * (0.5 + bn_uniform (&seed)));
      request->team = bn_uniform (&seed) < SMALL_TEAM_FRACTION ? 0 : 1;
      count++;
    }
  return count;
}

static void
count_answer (struct result *result, const struct request *request,
              uint64_t now_us)
{
  if (now_us <= request->deadline_us)
    result->in_time[request->team]++;
  else
    result->late++;
}

/* Baseline: random choice, with an unbounded queue at each target. */

static void
run_baseline (uint32_t count, struct result *result)
{
  uint64_t free_us[TARGETS][SLOTS_PER_TARGET] = { { 0 } };
  uint64_t seed = SEED + 1;

  for (uint32_t i = 0; i < count; i++)
    {
      struct request *request = &requests[i];
      uint32_t target = (uint32_t)(bn_uniform (&seed) * TARGETS);
      uint32_t slot = 0;
      uint64_t start_us;

      result->sent[request->team]++;
      if (is_dead (target))
        {
          result->not_connected++;
          continue;
        }
      for (uint32_t s = 1; s < SLOTS_PER_TARGET; s++)
        if (free_us[target][s] < free_us[target][slot])
          slot = s;
      start_us = free_us[target][slot] > request->arrived_us
                     ? free_us[target][slot]
                     : request->arrived_us;
      free_us[target][slot] = start_us + service_time_on_us (request, target);
      bn_samples_add (&result->wait_ms[request->team],
                      (double)(start_us - request->arrived_us) / 1000);
      count_answer (result, request, free_us[target][slot]);
    }
}

/* The routing core. */

struct run
{
  struct cyc_route route;
  struct heap ends;
  struct result *result;
};

static void
set_targets (struct cyc_route *route)
{
  struct cyc_rt_target targets[TARGETS];
  static char names[TARGETS][16];

  for (uint32_t i = 0; i < TARGETS; i++)
    {
      snprintf (names[i], sizeof names[i], "w-%" PRIu32, i);
      targets[i] = (struct cyc_rt_target){
        .worker = cyc_str_of (names[i]),
        .address = CYC_STR ("http://127.0.0.1:1"),
        .slots = SLOTS_PER_TARGET,
        .connections = 64,
      };
    }
  cyc_rt_set_seats (route, 1, true);
  cyc_rt_set_targets (route, CYC_STR ("page"), targets, TARGETS);
}

static void
enqueue (struct run *run, uint32_t index, bool is_retry, uint64_t now_us)
{
  struct request *request = &requests[index];
  struct cyc_ref ticket;
  struct cyc_rt_request wanted = {
    .queue = CYC_STR ("page"),
    .team = cyc_str_of (team_names[request->team]),
    .weight = 500,
    .deadline_us = request->deadline_us,
    .is_retry = is_retry,
    .user = index,
  };

  if (cyc_rt_enqueue (&run->route, &wanted, now_us, &ticket) != CYC_RT_QUEUED)
    run->result->refused++;
}

static void
send_all (struct run *run, uint64_t now_us)
{
  struct cyc_rt_send send;

  while (cyc_rt_next (&run->route, now_us, &send))
    {
      struct request *request = &requests[send.user];
      uint32_t target = (uint32_t)strtoul (send.worker.data + 2, NULL, 10);

      run->result->decisions++;
      request->flight = send.flight;
      if (is_dead (target))
        {
          run->result->not_connected++;
          cyc_rt_finish (&run->route, send.flight, CYC_RT_NOT_CONNECTED,
                         now_us, request->deadline_us);
          enqueue (run, (uint32_t)send.user, true, now_us);
          continue;
        }
      bn_samples_add (&run->result->wait_ms[request->team],
                      (double)(now_us - request->arrived_us) / 1000);
      heap_push (&run->ends,
                 (struct event){
                     .at_us = now_us + service_time_on_us (request, target),
                     .request = (uint32_t)send.user });
    }
}

static void
advance_to (struct run *run, uint32_t count, uint32_t *next, uint64_t now_us)
{
  while (run->ends.count > 0 && run->ends.events[0].at_us <= now_us)
    {
      struct event end = heap_pop (&run->ends);
      struct request *request = &requests[end.request];

      cyc_rt_finish (&run->route, request->flight, CYC_RT_ANSWERED, end.at_us,
                     request->deadline_us);
      count_answer (run->result, request, end.at_us);
    }
  while (*next < count && requests[*next].arrived_us <= now_us)
    {
      run->result->sent[requests[*next].team]++;
      enqueue (run, (*next)++, false, now_us);
    }
  send_all (run, now_us);
  cyc_rt_tick (&run->route, now_us);
}

static void
run_core (uint32_t count, struct result *result)
{
  struct cyc_findings found = { 0 };
  struct run run = { .result = result };
  uint32_t next = 0;
  uint64_t start_ns;

  run.ends.events = calloc (TOTAL_SLOTS + 1, sizeof *run.ends.events);
  if (run.ends.events == NULL
      || !cyc_rt_setup (&run.route, &(struct cyc_rt_desc){ .seed = SEED },
                        &found))
    {
      free (run.ends.events);
      return;
    }
  set_targets (&run.route);
  start_ns = bn_monotonic_ns ();
  for (uint64_t now_us = TICK_US; now_us < RUN_US + 2 * DEADLINE_US;
       now_us += TICK_US)
    advance_to (&run, count, &next, now_us);
  result->elapsed_us = (double)(bn_monotonic_ns () - start_ns) / 1000;
  cyc_rt_shutdown (&run.route);
  free (run.ends.events);
}

static void
print_row (const char *figure, const char *target, double baseline,
           double core)
{
  printf ("  %-42s %10s %12.2f %12.2f\n", figure, target, baseline, core);
}

static double
percent (uint64_t part, uint64_t whole)
{
  return whole == 0 ? 0 : 100.0 * (double)part / (double)whole;
}

static void
print_result (double load_factor, struct result *baseline, struct result *core)
{
  printf ("\nrouting at %.1fx: %d targets, %.0f s, seed %d\n", load_factor,
          TARGETS, (double)RUN_US / 1e6, SEED);
  printf ("  %-42s %10s %12s %12s\n", "figure", "target", "random",
          "this router");
  for (int team = 0; team < TEAMS; team++)
    {
      char name[64];

      snprintf (name, sizeof name, "%s answered in time, percent",
                team_names[team]);
      print_row (name, "-",
                 percent (baseline->in_time[team], baseline->sent[team]),
                 percent (core->in_time[team], core->sent[team]));
      snprintf (name, sizeof name, "%s wait p50, ms", team_names[team]);
      print_row (name, "-",
                 bn_samples_quantile (&baseline->wait_ms[team], 0.5),
                 bn_samples_quantile (&core->wait_ms[team], 0.5));
      snprintf (name, sizeof name, "%s wait p99, ms", team_names[team]);
      print_row (name, "-",
                 bn_samples_quantile (&baseline->wait_ms[team], 0.99),
                 bn_samples_quantile (&core->wait_ms[team], 0.99));
    }
  print_row ("answered too late (wasted work)", "0", (double)baseline->late,
             (double)core->late);
  print_row ("refused at once as not run", "-", (double)baseline->refused,
             (double)core->refused);
  print_row ("sent to a target that is down", "-",
             (double)baseline->not_connected, (double)core->not_connected);
  print_row (
      "us a request, decisions and tick", "-", 0,
      core->decisions == 0 ? 0 : core->elapsed_us / (double)core->decisions);
}

static void
free_result (struct result *result)
{
  for (int team = 0; team < TEAMS; team++)
    bn_samples_free (&result->wait_ms[team]);
}

int
main (void)
{
  static const double loads[] = { 0.6, 1, 2, 4 };

  requests = calloc (MAX_REQUESTS, sizeof *requests);
  if (requests == NULL)
    return 1;
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    {
      uint32_t count = make_requests (loads[i]);
      struct result baseline = { 0 };
      struct result core = { 0 };

      run_baseline (count, &baseline);
      run_core (count, &core);
      print_result (loads[i], &baseline, &core);
      free_result (&baseline);
      free_result (&core);
    }
  free (requests);
  return 0;
}
