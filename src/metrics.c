#include "metrics.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#define DEFAULT_MAX_LABELS 4096

#define MET_NAME(code, name) name,
static const char *const counter_names[] = { MET_ITEMS (MET_NAME) };
static const char *const label_names[] = { MET_LABEL_ITEMS (MET_NAME) };
static const char *const hist_names[] = { MET_HIST_ITEMS (MET_NAME) };
#undef MET_NAME

bool
met_setup (struct met_set *met, const struct met_desc *desc,
           struct cyc_findings *findings)
{
  struct timespec now;
  uint32_t slots = 1;

  memset (met, 0, sizeof *met);
  met->max_rows
      = (desc->max_labels ? desc->max_labels : DEFAULT_MAX_LABELS) + 1;
  while (slots < 2 * met->max_rows)
    slots *= 2;
  met->slot_mask = slots - 1;
  met->rows = calloc (met->max_rows, sizeof *met->rows);
  met->slots = calloc (slots, sizeof *met->slots);
  if (met->rows == NULL || met->slots == NULL)
    {
      cyc_findings_add (findings, CYC_STR ("metrics"), "out of memory");
      met_shutdown (met);
      return false;
    }
  cyc_name_set (&met->rows[0].label, CYC_STR ("other"));
  met->row_count = 1;
  cyc_id128_random (&met->incarnation);
  clock_gettime (CLOCK_REALTIME, &now);
  met->start_ms
      = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
  return true;
}

void
met_shutdown (struct met_set *met)
{
  free (met->rows);
  free (met->slots);
  memset (met, 0, sizeof *met);
}

void
met_add (struct met_set *met, enum met_counter counter, uint64_t amount)
{
  met->counters[counter] += amount;
}

static struct met_row *
find_or_add_row (struct met_set *met, struct cyc_str label)
{
  uint32_t slot = (uint32_t)XXH64 (label.data, label.len, 0) & met->slot_mask;

  while (met->slots[slot] != 0)
    {
      struct met_row *row = &met->rows[met->slots[slot] - 1];

      if (cyc_str_eq (cyc_name_str (&row->label), label))
        return row;
      slot = (slot + 1) & met->slot_mask;
    }
  if (met->row_count == met->max_rows
      || !cyc_name_set (&met->rows[met->row_count].label, label))
    return &met->rows[0];
  met->slots[slot] = met->row_count + 1;
  return &met->rows[met->row_count++];
}

void
met_add_label (struct met_set *met, enum met_label_counter counter,
               struct cyc_str label, uint64_t amount)
{
  find_or_add_row (met, label)->values[counter] += amount;
}

void
met_observe (struct met_set *met, enum met_hist hist, uint64_t us)
{
  uint32_t bucket = 0;

  while (bucket < MET_BUCKETS - 1 && us >= (UINT64_C (1) << bucket))
    bucket++;
  met->hists[hist][bucket]++;
}

static void
write_rows (const struct met_set *met, FILE *out)
{
  for (uint32_t row = 0; row < met->row_count; row++)
    for (uint32_t i = 0; i < MET_LABEL_COUNTERS; i++)
      if (met->rows[row].values[i] > 0)
        fprintf (out, "%s{%s} %" PRIu64 "\n", label_names[i],
                 met->rows[row].label.data, met->rows[row].values[i]);
}

static void
write_hists (const struct met_set *met, FILE *out)
{
  for (uint32_t hist = 0; hist < MET_HISTS; hist++)
    for (uint32_t i = 0; i < MET_BUCKETS; i++)
      if (met->hists[hist][i] > 0)
        fprintf (out, "%s{below=%" PRIu64 "} %" PRIu64 "\n", hist_names[hist],
                 UINT64_C (1) << i, met->hists[hist][i]);
}

struct cyc_str
met_text (const struct met_set *met)
{
  char *data = NULL;
  size_t len = 0;
  char incarnation[33];
  FILE *out = open_memstream (&data, &len);

  if (out == NULL)
    return (struct cyc_str){ 0 };
  cyc_id128_hex (&met->incarnation, incarnation);
  fprintf (out, "incarnation %s\nstart_ms %" PRIu64 "\n", incarnation,
           met->start_ms);
  for (uint32_t i = 0; i < MET_COUNTERS; i++)
    fprintf (out, "%s %" PRIu64 "\n", counter_names[i], met->counters[i]);
  write_rows (met, out);
  write_hists (met, out);
  fclose (out);
  return (struct cyc_str){ .data = data, .len = len };
}
