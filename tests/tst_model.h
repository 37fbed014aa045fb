/**
 * @file
 * Bounded exhaustive check of a protocol: all states that are reachable from
 * the first one, breadth first, so that a violation is shown with a shortest
 * sequence of steps.
 *
 * The model gives the successors of a state and its canonical key; states with
 * the same key are visited once.
 *
 * @code
 * struct tst_model_result got;
 * tst_model_run (&model, &first, &got);
 * assert_null (got.defect);
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
  uint32_t max_states; /**< the run fails beyond it */
  /** Calls tst_model_emit for each successor. */
  void (*expand) (const void *state, struct tst_model_run *run);
  /** Writes the key, returns its length. */
  size_t (*key) (const void *state, uint8_t out[TST_MODEL_KEY_MAX_BYTES]);
  /** Text of the violated property, or NULL. */
  const char *(*violation) (const void *state);
  /** Describes a step. */
  void (*describe) (uint32_t step, char out[80]);
};

struct tst_model_result
{
  uint32_t states;
  uint32_t depth;
  const char *violation; /**< NULL: no reachable state violates a property */
  uint32_t trace_len;
  uint32_t trace[TST_MODEL_TRACE_MAX_STEPS]; /**< steps to the violation */
};

void tst_model_run (const struct tst_model *model, const void *initial_state,
                    struct tst_model_result *result);
void tst_model_emit (struct tst_model_run *run, const void *state,
                     uint32_t step);
/** Prints states, depth and, if there is one, the violation with its steps. */
void tst_model_print (const struct tst_model *model,
                      const struct tst_model_result *result,
                      const char *variant);

#endif
