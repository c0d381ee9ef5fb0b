/*
 * store_table.h - a mirror with a large value, for tests of how hosts exchange
 * changes of the store.
 *
 * The value is a table of routes of 456 KB under the key "t", at revision 5.
 */
#ifndef REGRESS_STORE_TABLE_H
#define REGRESS_STORE_TABLE_H

#include "base/text.h"
#include "gateway/mirror.h"

/* Returns the table; a variant of V lines has V of them changed. */
text_t store_table_text(int variant);

/* Apply a change. */
void store_table_put_value(mirror_t *mirror, const char *key, int64_t revision,
                           const char *value, size_t value_bytes);
void store_table_put(mirror_t *mirror, const char *key, int64_t revision,
                     int variant);

/* Returns a mirror with the table; serves: it keeps patches. */
mirror_t *store_table_mirror(bool serves);

#endif
