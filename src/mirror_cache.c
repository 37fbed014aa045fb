#include "mirror_cache.h"

struct mir_row *
mir_row_new (const struct pt_record *record, uint64_t offset)
{
  struct mir_row *row = g_new0 (struct mir_row, 1);

  row->offset = offset;
  row->key = g_bytes_new (record->key.data, record->key.len);
  row->value = g_bytes_new (record->value.data, record->value.len);
  return row;
}

void
mir_row_free (gpointer data)
{
  struct mir_row *row = data;

  g_bytes_unref (row->key);
  g_bytes_unref (row->value);
  g_free (row);
}

void
mir_cache_setup (struct mir_cache *cache)
{
  *cache = (struct mir_cache){
    .rows = g_ptr_array_new_with_free_func (mir_row_free),
  };
}

void
mir_cache_shutdown (struct mir_cache *cache)
{
  if (cache->rows != NULL)
    g_ptr_array_free (cache->rows, TRUE);
  cache->rows = NULL;
}

void
mir_cache_reload (struct mir_cache *cache)
{
  g_ptr_array_set_size (cache->rows, 0);
  cache->loaded = false;
}

void
mir_cache_loaded (struct mir_cache *cache, uint64_t end)
{
  if (cache->loaded)
    return;
  cache->loaded = true;
  cache->floor = end;
}

static bool
has_key (const struct mir_row *row, struct cyc_str key)
{
  gsize len;
  const char *data = g_bytes_get_data (row->key, &len);

  return cyc_str_eq ((struct cyc_str){ data, len }, key);
}

void
mir_cache_add (struct mir_cache *cache, const struct pt_record *record,
               uint64_t offset)
{
  guint at;

  for (guint i = 0; i < cache->rows->len; i++)
    if (has_key (cache->rows->pdata[i], record->key))
      {
        if (((struct mir_row *)cache->rows->pdata[i])->offset > offset)
          return;
        g_ptr_array_remove_index (cache->rows, i);
        break;
      }
  for (at = cache->rows->len; at > 0; at--)
    if (((struct mir_row *)cache->rows->pdata[at - 1])->offset <= offset)
      break;
  g_ptr_array_insert (cache->rows, (gint)at, mir_row_new (record, offset));
}

const struct mir_row *
mir_cache_next (const struct mir_cache *cache, uint64_t from)
{
  for (guint i = 0; i < cache->rows->len; i++)
    {
      const struct mir_row *row = cache->rows->pdata[i];

      if (row->offset >= from)
        return row;
    }
  return NULL;
}
