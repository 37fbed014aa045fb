#include "intake.h"

#include <stdlib.h>
#include <string.h>

static void
unlink_row (struct intake *intake, uint32_t index)
{
  const struct intake_row *row = &intake->rows[index];
  enum intake_state state = row->state;

  if (row->prev != INTAKE_NONE)
    intake->rows[row->prev].next = row->next;
  else
    intake->first[state] = row->next;
  if (row->next != INTAKE_NONE)
    intake->rows[row->next].prev = row->prev;
  else
    intake->last[state] = row->prev;
  intake->count[state]--;
}

static void
append_row (struct intake *intake, uint32_t index, enum intake_state state)
{
  struct intake_row *row = &intake->rows[index];

  row->state = state;
  row->prev = intake->last[state];
  row->next = INTAKE_NONE;
  if (row->prev != INTAKE_NONE)
    intake->rows[row->prev].next = index;
  else
    intake->first[state] = index;
  intake->last[state] = index;
  intake->count[state]++;
}

static void
move_row (struct intake *intake, uint32_t index, enum intake_state state)
{
  unlink_row (intake, index);
  append_row (intake, index, state);
}

static void
keep_nothing (struct intake *intake, uint32_t index)
{
  intake->bytes -= intake->rows[index].bytes;
  intake->rows[index].bytes = 0;
}

bool
intake_setup (struct intake *intake, const struct intake_desc *desc)
{
  memset (intake, 0, sizeof *intake);
  intake->desc = *desc;
  intake->rows = calloc (desc->max_rows, sizeof *intake->rows);
  for (uint32_t state = 0; state <= INTAKE_ENDED; state++)
    intake->first[state] = intake->last[state] = INTAKE_NONE;
  for (uint32_t i = 0; intake->rows != NULL && i < desc->max_rows; i++)
    append_row (intake, i, INTAKE_FREE);
  return intake->rows != NULL;
}

void
intake_shutdown (struct intake *intake)
{
  free (intake->rows);
  memset (intake, 0, sizeof *intake);
}

uint32_t
intake_open (struct intake *intake, uint64_t now_us)
{
  uint32_t index = intake->first[INTAKE_FREE];

  if (index != INTAKE_NONE)
    intake_idle (intake, index, now_us);
  return index;
}

static void
note_progress (struct intake *intake, uint32_t index, enum intake_state state,
               uint64_t now_us)
{
  intake->rows[index].progress_us = now_us;
  move_row (intake, index, state);
}

void
intake_reading (struct intake *intake, uint32_t row, uint64_t now_us)
{
  note_progress (intake, row, INTAKE_READING, now_us);
  intake->rows[row].deadline_us = now_us + intake->desc.request_timeout_us;
}

bool
intake_take (struct intake *intake, uint32_t row, size_t bytes,
             uint64_t now_us)
{
  size_t others = intake->bytes - intake->rows[row].bytes;

  note_progress (intake, row, INTAKE_READING, now_us);
  if (others + bytes > intake->desc.max_bytes)
    return false;
  intake->bytes = others + bytes;
  intake->rows[row].bytes = bytes;
  return true;
}

void
intake_serving (struct intake *intake, uint32_t row, uint64_t now_us)
{
  keep_nothing (intake, row);
  note_progress (intake, row, INTAKE_SERVING, now_us);
}

void
intake_idle (struct intake *intake, uint32_t row, uint64_t now_us)
{
  keep_nothing (intake, row);
  note_progress (intake, row, INTAKE_IDLE, now_us);
  intake->rows[row].deadline_us = now_us + intake->desc.idle_timeout_us;
}

void
intake_end (struct intake *intake, uint32_t row)
{
  keep_nothing (intake, row);
  move_row (intake, row, INTAKE_ENDED);
}

void
intake_close (struct intake *intake, uint32_t row)
{
  keep_nothing (intake, row);
  move_row (intake, row, INTAKE_FREE);
}

bool
intake_is_crowded (const struct intake *intake)
{
  return intake->count[INTAKE_IDLE] + intake->count[INTAKE_READING]
             + intake->count[INTAKE_SERVING]
         > intake->desc.max_connections;
}

static uint32_t
first_but (const struct intake *intake, enum intake_state state, uint32_t but)
{
  uint32_t index = intake->first[state];

  return index == but && index != INTAKE_NONE ? intake->rows[index].next
                                              : index;
}

uint32_t
intake_victim (const struct intake *intake, enum intake_state state,
               uint32_t but)
{
  uint32_t reading = first_but (intake, INTAKE_READING, but);
  uint32_t idle = first_but (intake, INTAKE_IDLE, but);

  if (state == INTAKE_READING || idle == INTAKE_NONE)
    return reading;
  if (reading == INTAKE_NONE)
    return idle;
  return intake->rows[reading].progress_us < intake->rows[idle].progress_us
             ? reading
             : idle;
}

uint32_t
intake_overdue (const struct intake *intake, uint64_t now_us)
{
  for (uint32_t i = 0; i < intake->desc.max_rows; i++)
    if ((intake->rows[i].state == INTAKE_READING
         || intake->rows[i].state == INTAKE_IDLE)
        && now_us >= intake->rows[i].deadline_us)
      return i;
  return INTAKE_NONE;
}
