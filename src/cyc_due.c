#include "cyc_due.h"

#define NO_PLACE UINT32_MAX

void
due_setup (struct due_queue *due)
{
  due->at_us = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  due->place = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  due->heap = g_array_new (FALSE, FALSE, sizeof (uint32_t));
}

void
due_shutdown (struct due_queue *due)
{
  g_array_free (due->at_us, TRUE);
  g_array_free (due->place, TRUE);
  g_array_free (due->heap, TRUE);
}

static uint64_t *
at_of (const struct due_queue *due, uint32_t row)
{
  return &g_array_index (due->at_us, uint64_t, row);
}

static uint32_t
row_at (const struct due_queue *due, uint32_t place)
{
  return g_array_index (due->heap, uint32_t, place);
}

static void
put (struct due_queue *due, uint32_t place, uint32_t row)
{
  g_array_index (due->heap, uint32_t, place) = row;
  g_array_index (due->place, uint32_t, row) = place;
}

static void
move_up (struct due_queue *due, uint32_t place, uint32_t row)
{
  while (place > 0)
    {
      uint32_t parent = (place - 1) / 2;

      if (*at_of (due, row_at (due, parent)) <= *at_of (due, row))
        break;
      put (due, place, row_at (due, parent));
      place = parent;
    }
  put (due, place, row);
}

static void
move_down (struct due_queue *due, uint32_t place, uint32_t row)
{
  for (;;)
    {
      uint32_t child = 2 * place + 1;

      if (child >= due->heap->len)
        break;
      if (child + 1 < due->heap->len
          && *at_of (due, row_at (due, child + 1))
                 < *at_of (due, row_at (due, child)))
        child++;
      if (*at_of (due, row) <= *at_of (due, row_at (due, child)))
        break;
      put (due, place, row_at (due, child));
      place = child;
    }
  put (due, place, row);
}

static void
add_rows (struct due_queue *due, uint32_t row)
{
  while (due->at_us->len <= row)
    {
      uint64_t never_us = DUE_NEVER_US;
      uint32_t none = NO_PLACE;

      g_array_append_val (due->at_us, never_us);
      g_array_append_val (due->place, none);
    }
}

static void
remove_row (struct due_queue *due, uint32_t row)
{
  uint32_t place = g_array_index (due->place, uint32_t, row);
  uint32_t last = row_at (due, due->heap->len - 1);

  g_array_set_size (due->heap, due->heap->len - 1);
  g_array_index (due->place, uint32_t, row) = NO_PLACE;
  *at_of (due, row) = DUE_NEVER_US;
  if (last == row)
    return;
  move_down (due, place, last);
  move_up (due, g_array_index (due->place, uint32_t, last), last);
}

void
due_set (struct due_queue *due, uint32_t row, uint64_t at_us)
{
  uint32_t place;

  add_rows (due, row);
  place = g_array_index (due->place, uint32_t, row);
  if (at_us == DUE_NEVER_US)
    {
      if (place != NO_PLACE)
        remove_row (due, row);
      return;
    }
  *at_of (due, row) = at_us;
  if (place == NO_PLACE)
    {
      place = due->heap->len;
      g_array_append_val (due->heap, row);
    }
  move_up (due, place, row);
  move_down (due, g_array_index (due->place, uint32_t, row), row);
}

void
due_lower (struct due_queue *due, uint32_t row, uint64_t at_us)
{
  if (at_us < due_at (due, row))
    due_set (due, row, at_us);
}

uint64_t
due_at (const struct due_queue *due, uint32_t row)
{
  return row < due->at_us->len ? *at_of (due, row) : DUE_NEVER_US;
}

uint64_t
due_next (const struct due_queue *due)
{
  return due->heap->len > 0 ? *at_of (due, row_at (due, 0)) : DUE_NEVER_US;
}

bool
due_take (struct due_queue *due, uint64_t now_us, uint32_t *row)
{
  if (due_next (due) > now_us || due->heap->len == 0)
    return false;
  *row = row_at (due, 0);
  remove_row (due, *row);
  return true;
}
