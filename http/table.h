/*
 * table.h - uthash's tables, with XXH3 as their hash function.
 *
 * XXH3 is one call, where uthash's own function unrolls into every place
 * that looks a key up.
 */
#ifndef HTTP_TABLE_H
#define HTTP_TABLE_H

#include <xxhash.h>

#define HASH_FUNCTION(key, length, value)                                     \
    ((value) = (unsigned)XXH3_64bits(key, length))
#include <uthash.h>

#endif
