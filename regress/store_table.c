/* store_table.c - see store_table.h. */
#include <inttypes.h>

#include "regress/store_table.h"

enum { TABLE_LINES = 12000 };

text_t
store_table_text(int variant)
{
    text_t text = {0};
    int i;

    for (i = 0; i < TABLE_LINES; i++) {
        uint64_t draw = (uint64_t)(i + 1) * 0x9e3779b97f4a7c15U;

        draw ^= i < variant ? draw >> 29 : 0;
        text_printf(&text, "{\"path\":\"/%016" PRIx64 "/\",\"ms\":2500},\n",
                    draw * UINT64_C(0xbf58476d1ce4e5b9));
    }
    return text;
}

void
store_table_put_value(mirror_t *mirror, const char *key, int64_t revision,
                      const char *value, size_t value_bytes)
{
    kv_pair_t pair = {.key = key,
                      .value = value,
                      .value_bytes = value_bytes,
                      .mod_revision = revision,
                      .create_revision = revision};

    mirror_apply(mirror, &pair);
    mirror_advance(mirror, revision);
}

void
store_table_put(mirror_t *mirror, const char *key, int64_t revision,
                int variant)
{
    text_t table = store_table_text(variant);

    store_table_put_value(mirror, key, revision, table.bytes, table.length);
    text_free(&table);
}

mirror_t *
store_table_mirror(bool serves)
{
    mirror_t *mirror = mirror_new();

    mirror_keep_history(mirror, serves);
    mirror_load_begin(mirror, 5);
    mirror_load_end(mirror);
    store_table_put(mirror, "t", 5, 0);
    return mirror;
}
