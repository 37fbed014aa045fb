/**
 * @file
 * Replays a recorded trace of the decision core and checks expected outcomes.
 *
 * A trace is what a scheduler writes to `trace_file`: one line for each input
 * of its core, in order, and for each tick the digest of its decisions. A new
 * "setup" line (a takeover) starts the core anew. Lines that begin with '#'
 * are comments. Expected outcomes are lines of the form
 *
 *     expect NAME = | <= | >= NUMBER
 *
 * which are checked at their position in the trace. The table in replay.c
 * lists the names.
 *
 * @code
 * rp_open (&rp, &found);
 * while (next_line (&line))
 *   rp_line (&rp, line, &found);
 * rp_close (&rp);
 * @endcode
 *
 * Errors: a malformed line and an outcome that was not met are findings with
 * their line number.
 */
#ifndef REPLAY_H
#define REPLAY_H

#include <cyclamendrum/core.h>

struct rp_replay
{
  struct cyc_core core;
  bool running; /**< a setup line was read */
  struct cyc_core_replay progress;
  uint64_t lines;
  uint64_t expectations;
  uint64_t setups;
};

bool rp_open (struct rp_replay *rp, struct cyc_findings *findings);
void rp_line (struct rp_replay *rp, struct cyc_str line,
              struct cyc_findings *findings);
void rp_close (struct rp_replay *rp);
/** Replays a whole file. A last line without its end is skipped: the process
 * that recorded it was killed. Returns false if the file cannot be read or any
 * finding was added. */
bool rp_file (struct rp_replay *rp, const char *path,
              struct cyc_findings *findings);

#endif
