/**
 * @file
 * Fake of the platform's log service: streams in memory, long poll, faults.
 *
 * Besides the interface of the service it answers:
 * - `POST /faults` with any of: "down" (connections are closed without an
 *   answer, nothing takes effect), "hang" (no answer at all), "delay_ms"
 * (every answer is late; appends take effect at once), "lose_answer" (number
 * of appends that take effect and are not answered; -1: all), "retain" (newest
 *   records kept of each stream; 0: all), "appends_per_s" (0: no limit);
 * - `GET /stats`: appends and reads so far.
 */
#ifndef FK_LOG_H
#define FK_LOG_H

#include "fk_common.h"

#define FK_LOG_MAX_STREAMS 16

struct fk_log_stream
{
  char name[32];
  uint64_t oldest;
  GPtrArray *records; /**< GBytes, from `oldest` on */
};

struct fk_log_faults
{
  bool down;
  bool hang;
  int64_t delay_ms;
  int64_t lose_answer;
  int64_t retain;
  int64_t appends_per_s;
};

struct fk_log
{
  struct ev_loop *loop;
  struct hs_server hs;
  struct ev_timer timer;
  struct fk_log_stream streams[FK_LOG_MAX_STREAMS];
  uint32_t stream_count;
  struct fk_log_faults faults;
  GArray *pending_calls; /**< calls that are answered later */
  uint64_t next_append_us;
  uint64_t appends;
  uint64_t reads;
};

bool fk_log_setup (struct fk_log *log, struct ev_loop *loop, uint16_t port,
                   struct cyc_findings *findings);
void fk_log_shutdown (struct fk_log *log);

#endif
