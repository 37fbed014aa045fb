/**
 * @file
 * Queue of deadlines: one deadline for each row of a table, earliest first.
 *
 * A tick takes the rows whose deadline has come, instead of looking at all
 * rows of the table. Setting a deadline and taking a row cost the logarithm of
 * the number of rows that have one.
 *
 *     struct due_queue due;
 *     uint32_t row;
 *
 *     due_setup (&due);
 *     due_set (&due, 7, now_us + 500000);
 *     while (due_take (&due, now_us, &row))
 *       look_at (row);
 *     due_shutdown (&due);
 *
 * There are no error cases: rows are added as they are named.
 */
#ifndef CYC_DUE_H
#define CYC_DUE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Deadline of a row that has none. */
#define DUE_NEVER_US UINT64_MAX

struct due_queue
{
  GArray *at_us; /**< uint64_t, by row */
  GArray *place; /**< uint32_t: index in heap, by row */
  GArray *heap;  /**< uint32_t: rows that have a deadline; a binary heap */
};

void due_setup (struct due_queue *due);
void due_shutdown (struct due_queue *due);
/** Sets the deadline of the row; DUE_NEVER_US removes it. */
void due_set (struct due_queue *due, uint32_t row, uint64_t at_us);
/** Sets the deadline of the row if that is earlier than the present one. */
void due_lower (struct due_queue *due, uint32_t row, uint64_t at_us);
/** Returns the deadline of the row. */
uint64_t due_at (const struct due_queue *due, uint32_t row);
/** Returns the earliest deadline; DUE_NEVER_US if no row has one. */
uint64_t due_next (const struct due_queue *due);
/** Removes the earliest deadline that is not later than @p now_us. Returns
 * false if there is none. */
bool due_take (struct due_queue *due, uint64_t now_us, uint32_t *row);

#endif
