/**
 * @file
 * A keyed stream of the log, read through other entry VMs: a log port that
 * asks a mirror, a VM of the same failure domain that holds the newest records
 * of the stream, and the log itself if no mirror answers. A record thus
 * crosses the link to the log once for each mirror, not once for each VM. Any
 * VM answers others from the records that it has read.
 *
 * Records are passed on in chunks, each of which the reader asks for: it
 * continues at the byte that it has, also with another mirror, and a short
 * message on the same connection waits for one chunk at most. A reader gets
 * the newest record of each key; superseded ones are left out.
 *
 * Order of calls: mir_setup; mir_set_sources when the VMs change; reads
 * through `log`; the mir_record, mir_reload and mir_caught_up calls of the
 * tail that reads through it; mir_tick on every tick; mir_shutdown.
 *
 * @code
 * mir_setup (&mirror, &(struct mir_desc){ .direct = log, ... });
 * tail_setup (&tail, &(struct tail_desc){ .log = &mirror.log, ... });
 * @endcode
 *
 * Errors: a mirror that does not answer or is cut off from the log is left out
 * for a while. The records do not tell by which way they came; the time of the
 * view is that of the mirror's view.
 */
#ifndef MIRROR_H
#define MIRROR_H

#include "mirror_cache.h"
#include "mirror_choice.h"
#include "peer.h"
#include "tail.h"

struct mir_desc
{
  struct pt_log *direct; /**< the log itself */
  struct pl_links *links;
  const struct tail *tail; /**< reads the stream through `log` */
  uint32_t wait_ms;        /**< longest wait of a question for a record */
  uint64_t first_ask; /**< number of the first question; an earlier process of
                           the VM has used none from here on */
};

/** State of an answer. */
enum mir_state
{
  MIR_CHUNK = 1,  /**< a chunk of a record */
  MIR_END,        /**< there is no further record */
  MIR_RELOAD,     /**< the reader has to load the stream */
  MIR_NOT_LOADED, /**< the mirror has not loaded it yet */
  MIR_CUT_OFF     /**< the mirror is cut off from the log; it may get its
                       records from the reader */
};

/** A VM that this one reads. */
struct mir_source
{
  struct cyc_name vm;
  uint64_t unusable_until_us;
};

struct mir_call;

struct mirror
{
  struct pt_log log; /**< port for the tail; must be the first member */
  struct mir_desc desc;
  struct mir_cache cache;
  struct mir_source sources[MIR_SOURCES_MAX]; /**< the preferred one first */
  uint32_t source_count;
  struct cyc_name last_resort; /**< VM to read while the log cannot be reached;
                                    empty: none */
  uint64_t last_resort_unusable_until_us;
  uint64_t next_ask;
  struct mir_call *call; /**< the read in flight; NULL if none */
  GArray *waiting;       /**< struct mir_question: of other VMs that wait for a
                              record */
  struct cyc_name through; /**< VM of the last read; empty: the log */
  uint64_t reads;          /**< through mirrors */
  uint64_t bytes_in;       /**< of chunks */
  uint64_t bytes_out;
};

void mir_setup (struct mirror *mirror, const struct mir_desc *desc);
void mir_shutdown (struct mirror *mirror);
/** Sets the VMs to read; keeps what is known of those that stay. */
void mir_set_sources (struct mirror *mirror, const struct cyc_name *sources,
                      uint32_t count);
/** Sets the VM to read, after all others, while the log cannot be reached
 * directly; empty: none. It may be of another failure domain. */
void mir_set_last_resort (struct mirror *mirror, const struct cyc_name *vm);
/** Returns whether a VM to read is linked, or there is none. */
bool mir_is_ready (const struct mirror *mirror);
/** Continues a read with the next VM if one does not answer, and answers
 * questions that have waited long enough. Call on every tick. */
void mir_tick (struct mirror *mirror, uint64_t now_us);

/** To be called by the tail's `record`, `reload` and `caught_up`. */
void mir_record (struct mirror *mirror, const struct pt_record *record,
                 uint64_t offset);
void mir_reload (struct mirror *mirror);
void mir_caught_up (struct mirror *mirror);

/** Answers another VM, at once or when there is a record. */
void mir_on_ask (struct mirror *mirror, struct cyc_ref peer,
                 const Cyc__MirrorAsk *ask);
/** Continues the read that @p answer belongs to. */
void mir_on_answer (struct mirror *mirror, const Cyc__MirrorAnswer *answer);
/** The link to a VM is down: a read through it continues with the next one. */
void mir_on_unlinked (struct mirror *mirror, struct cyc_ref peer);

#endif
