/*
 * etcd_json.h - requests and responses in the etcd v3 JSON mapping.
 *
 * Keys and values are in base64.  64-bit integers are written as strings and
 * read as strings or numbers; an absent member counts as zero or empty.  The
 * etcd_read functions return -1 and set *err (ERR_PROTOCOL) if a response is
 * malformed.  All results are in arena memory.
 */
#ifndef KV_ETCD_JSON_H
#define KV_ETCD_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"
#include "kv/kv.h"

/* Return the body of a request as a string. */
char *etcd_format_range(arena_t *arena, const char *key, bool prefix);
char *etcd_format_swap(arena_t *arena, const kv_swap_t *swaps, size_t count);
char *etcd_format_lease_grant(arena_t *arena, int64_t ttl_s);
char *etcd_format_lease(arena_t *arena, int64_t lease);
char *etcd_format_watch(arena_t *arena, const char *prefix,
                        int64_t start_revision);

typedef struct {
    int64_t revision;
    kv_pair_t *pairs;
    size_t count;
} etcd_range_t;

typedef struct {
    int64_t revision;
    kv_swap_result_t *answers;
    size_t count;
} etcd_swap_t;

typedef struct {
    int64_t lease;
    int64_t ttl_s;
} etcd_lease_t;

/* A line of the response to a watch. */
typedef struct {
    bool created;
    bool canceled;
    int64_t revision; /* compact_revision if that is set */
    kv_pair_t *pairs;
    size_t count;
} etcd_watch_t;

int etcd_parse_range(arena_t *arena, const char *json, size_t length,
                     etcd_range_t *range, err_t *err);

/* Parses the response to a call with count compare-and-swaps. */
int etcd_parse_swap(arena_t *arena, const char *json, size_t length,
                    size_t count, etcd_swap_t *swap, err_t *err);

/* Parses the response to a grant, or to a keepalive (inside "result"). */
int etcd_parse_lease(const char *json, size_t length, etcd_lease_t *lease,
                     err_t *err);

int etcd_parse_watch(arena_t *arena, const char *json, size_t length,
                     etcd_watch_t *watch, err_t *err);

#endif
