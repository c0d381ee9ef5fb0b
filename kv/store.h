/*
 * store.h - the state of the in-memory service: keys, leases, changes.
 *
 * Plain data without a loop; memory.c gives it the time and carries its
 * answers.  The semantics are etcd's: one revision for each call that
 * changes anything, compares seen before any work, a key written at most
 * once in a call.
 */
#ifndef KV_STORE_H
#define KV_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "kv/kv.h"

enum {
    STORE_CHANGES_KEPT = 4096,
    STORE_SWAPS_MAX = 128,
};

typedef struct store store_t;

/* Called for each change, in order; the pair is valid during the call. */
typedef void (*store_changed_t)(void *context, const kv_pair_t *pair);

store_t *store_new(store_changed_t changed, void *context);
void store_free(store_t *store);

int64_t store_revision(const store_t *store);

/* Copies in arena memory, in the order of their keys. */
kv_pair_t *store_range(const store_t *store, arena_t *arena, const char *key,
                       bool prefix, size_t *count);

/* answers has room for count; copies in arena memory. */
kv_result_t store_swap(store_t *store, arena_t *arena, const kv_swap_t *swaps,
                       size_t count, kv_swap_answer_t *answers);

/* The new lease's number. */
int64_t store_grant(store_t *store, int64_t ttl_s, int64_t now_ms);

/* The lease's time to live, or 0 when it is unknown or has lapsed. */
int64_t store_keepalive(store_t *store, int64_t lease, int64_t now_ms);

/* Deletes the lease's keys; false when it is unknown. */
bool store_revoke(store_t *store, int64_t lease);

/* Revokes what has lapsed. */
void store_expire(store_t *store, int64_t now_ms);

/*
 * Calls changed for each kept change under prefix from start_revision on.
 * False, with *compacted set, when older ones would be needed.
 */
bool store_replay(const store_t *store, const char *prefix,
                  int64_t start_revision, store_changed_t changed,
                  void *context, int64_t *compacted);

#endif
