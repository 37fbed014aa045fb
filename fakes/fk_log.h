/**
 * @file
 * Fake of the platform's log service: streams in memory with long polling and
 * configurable faults.
 *
 * Besides the interface of the service it answers:
 * - `POST /faults` with any of these members:
 *   - "down": connections are closed without an answer and nothing is stored;
 *   - "hang": new calls are never answered, earlier ones not until it ends;
 *   - "delay_ms": delay of every answer; records are stored without delay;
 *   - "lose_answer": number of next appends that are stored but whose
 *     connection is closed without an answer; -1: all;
 *   - "retain": number of newest records kept in each stream; 0: all;
 *   - "appends_per_s": rate at which records are stored; 0: no limit;
 *   - "hold_text", "hold_count": appends of records with this text wait until
 *     that many different ones wait, and are stored then; no later ones wait;
 * - `GET /stats`: numbers of appends and reads since the start.
 */
#ifndef FK_LOG_H
#define FK_LOG_H

#include "fk_common.h"

#define FK_LOG_MAX_STREAMS 16

struct fk_log_stream
{
  char name[32];
  uint64_t oldest;
  GPtrArray *records; /**< GBytes; the first has offset `oldest` */
};

/** Members of the same names in `POST /faults`. */
struct fk_log_faults
{
  bool down;
  bool hang;
  int64_t delay_ms;
  int64_t lose_answer;
  int64_t retain;
  int64_t appends_per_s;
  char hold_text[64];
  int64_t hold_count;
};

struct fk_log
{
  struct ev_loop *loop;
  struct hs_server hs;
  struct ev_timer timer;
  struct fk_log_stream streams[FK_LOG_MAX_STREAMS];
  uint32_t stream_count;
  struct fk_log_faults faults;
  GArray *pending_calls;   /**< calls that are not answered yet */
  uint64_t next_append_us; /**< earliest time of the next paced append */
  uint64_t appends;
  uint64_t reads;
};

bool fk_log_setup (struct fk_log *log, struct ev_loop *loop, uint16_t port,
                   struct cyc_findings *findings);
void fk_log_shutdown (struct fk_log *log);

#endif
