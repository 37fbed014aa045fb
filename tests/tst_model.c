#include "tst_model.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include <cmocka.h>

/* How a visited state was reached. */
struct node
{
  uint32_t parent;
  uint32_t step;
};

struct level
{
  char *states;
  uint32_t *nodes;
  uint32_t count;
  uint32_t capacity;
};

struct tst_model_run
{
  const struct tst_model *model;
  struct node *nodes;
  uint32_t node_count;
  XXH128_hash_t *visited_keys; /**< hash table; low64 is 0 in a free entry */
  uint32_t visited_mask;
  struct level levels[2];
  struct level *next;
  uint32_t parent;
  uint32_t violating_node; /**< UINT32_MAX: none */
  const char *violation;
};

static bool
mark_visited (struct tst_model_run *run, const void *state)
{
  uint8_t key[TST_MODEL_KEY_MAX_BYTES];
  XXH128_hash_t hash = XXH3_128bits (key, run->model->key (state, key));
  uint32_t at;

  hash.low64 |= 1;
  at = (uint32_t)hash.high64 & run->visited_mask;
  for (; run->visited_keys[at].low64 != 0; at = (at + 1) & run->visited_mask)
    if (XXH128_isEqual (run->visited_keys[at], hash))
      return false;
  run->visited_keys[at] = hash;
  return true;
}

static void
append_state (struct level *level, const void *state, size_t bytes,
              uint32_t node)
{
  if (level->count == level->capacity)
    {
      level->capacity = level->capacity == 0 ? 1024 : 2 * level->capacity;
      level->states = realloc (level->states, level->capacity * bytes);
      level->nodes
          = realloc (level->nodes, level->capacity * sizeof *level->nodes);
      assert_non_null (level->states);
      assert_non_null (level->nodes);
    }
  memcpy (level->states + level->count * bytes, state, bytes);
  level->nodes[level->count++] = node;
}

void
tst_model_emit (struct tst_model_run *run, const void *state, uint32_t step)
{
  uint32_t node = run->node_count;

  if (run->violating_node != UINT32_MAX || !mark_visited (run, state))
    return;
  if (node == run->model->max_states)
    {
      run->violation = "too many states to visit them all";
      run->violating_node = run->parent;
      return;
    }
  run->nodes[run->node_count++]
      = (struct node){ .parent = run->parent, .step = step };
  run->violation = run->model->violation (state);
  if (run->violation != NULL)
    run->violating_node = node;
  append_state (run->next, state, run->model->state_bytes, node);
}

static void
build_trace (const struct tst_model_run *run, struct tst_model_result *result)
{
  uint32_t length = 0;

  for (uint32_t at = run->violating_node; at != 0; at = run->nodes[at].parent)
    length++;
  result->trace_len = length;
  assert_true (length <= TST_MODEL_TRACE_MAX_STEPS);
  for (uint32_t at = run->violating_node; at != 0; at = run->nodes[at].parent)
    result->trace[--length] = run->nodes[at].step;
}

static void
run_levels (struct tst_model_run *run, struct tst_model_result *result)
{
  struct level *level = &run->levels[0];

  while (level->count > 0 && run->violating_node == UINT32_MAX)
    {
      run->next = level == &run->levels[0] ? &run->levels[1] : &run->levels[0];
      run->next->count = 0;
      for (uint32_t i = 0;
           i < level->count && run->violating_node == UINT32_MAX; i++)
        {
          run->parent = level->nodes[i];
          run->model->expand (level->states + i * run->model->state_bytes,
                              run);
        }
      level = run->next;
      if (level->count > 0)
        result->depth++;
    }
}

void
tst_model_run (const struct tst_model *model, const void *initial_state,
               struct tst_model_result *result)
{
  struct tst_model_run run = { .model = model, .violating_node = UINT32_MAX };
  uint32_t table_size = 1024;

  memset (result, 0, sizeof *result);
  while (table_size / 2 < model->max_states)
    table_size *= 2;
  run.visited_mask = table_size - 1;
  run.visited_keys = calloc (table_size, sizeof *run.visited_keys);
  run.nodes = calloc (model->max_states, sizeof *run.nodes);
  assert_non_null (run.visited_keys);
  assert_non_null (run.nodes);
  run.next = &run.levels[0];
  tst_model_emit (&run, initial_state, 0);
  run_levels (&run, result);
  result->states = run.node_count;
  result->violation = run.violation;
  if (run.violating_node != UINT32_MAX)
    build_trace (&run, result);
  for (int i = 0; i < 2; i++)
    {
      free (run.levels[i].states);
      free (run.levels[i].nodes);
    }
  free (run.visited_keys);
  free (run.nodes);
}

void
tst_model_print (const struct tst_model *model,
                 const struct tst_model_result *result, const char *variant)
{
  char text[80];

  print_message ("  %s, %s: %u states, depth %u, %s\n", model->name, variant,
                 result->states, result->depth,
                 result->violation != NULL ? result->violation
                                           : "no violation");
  for (uint32_t i = 0; i < result->trace_len; i++)
    {
      model->describe (result->trace[i], text);
      print_message ("    %2u %s%s\n", i + 1, text,
                     i + 1 == result->trace_len ? "  <- violation" : "");
    }
}
