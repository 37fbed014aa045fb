/**
 * @file
 * Replay of a recorded trace of the decision core against stated outcomes.
 *
 * A trace is what a scheduler writes to `trace_file`: one line for each input
 * of its core, in order, and for each tick the digest of its decisions. A new
 * "setup" line (a takeover) starts the core anew. Lines that begin with '#'
 * are comments. Outcomes are stated in lines of the form
 *
 *     expect NAME = | <= | >= NUMBER
 *
 * which are checked where they stand. The names are in the table of replay.c.
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
/** Reads a whole file; a last line that was cut short, because the process
 * that recorded it was killed, is left out. False when it cannot be read or
 * any finding was added. */
bool rp_file (struct rp_replay *rp, const char *path,
              struct cyc_findings *findings);

#endif
