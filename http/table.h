/*
 * table.h - uthash hash tables with XXH3 as the hash function.
 *
 * XXH3 is a function call; the default function of uthash is a macro that
 * expands at each lookup.
 */
#ifndef HTTP_TABLE_H
#define HTTP_TABLE_H

#include <xxhash.h>

#define HASH_FUNCTION(key, length, value)                                     \
    ((value) = (unsigned)XXH3_64bits(key, length))
#include <uthash.h>

#endif
