/**
 * @file
 * Bounded model checker: visits all states that are reachable from an initial
 * state, breadth first, so that the trace of a violation has as few steps as
 * possible.
 *
 * The model provides the successors of a state and the canonical key of a
 * state. States with the same key are visited once.
 *
 * @code
 * struct tst_model_result got;
 * tst_model_run (&model, &first, &got);
 * assert_null (got.violation);
 * @endcode
 */
#ifndef TST_MODEL_H
#define TST_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TST_MODEL_KEY_MAX_BYTES 512
#define TST_MODEL_TRACE_MAX_STEPS 64

struct tst_model_run;

struct tst_model
{
  const char *name;
  size_t state_bytes;
  uint32_t max_states; /**< visiting more states counts as a violation */
  /** Calls tst_model_emit for each successor. */
  void (*expand) (const void *state, struct tst_model_run *run);
  /** Writes the key of a state and returns its length in bytes. */
  size_t (*key) (const void *state, uint8_t out[TST_MODEL_KEY_MAX_BYTES]);
  /** Returns the text of the violated property; NULL if there is none. */
  const char *(*violation) (const void *state);
  /** Writes the text of a step. */
  void (*describe) (uint32_t step, char out[80]);
};

struct tst_model_result
{
  uint32_t states;
  uint32_t depth;
  const char *violation; /**< first violation found; NULL: none */
  uint32_t trace_len;
  uint32_t trace[TST_MODEL_TRACE_MAX_STEPS]; /**< steps to the violation */
};

/** Visits all reachable states, up to the first violation. */
void tst_model_run (const struct tst_model *model, const void *initial_state,
                    struct tst_model_result *result);
/** Called by expand for a successor of the state; @p step leads to it. */
void tst_model_emit (struct tst_model_run *run, const void *state,
                     uint32_t step);
/** Prints the number of states, the depth and, if there is one, the violation
 * with the steps that lead to it. */
void tst_model_print (const struct tst_model *model,
                      const struct tst_model_result *result,
                      const char *variant);

#endif
