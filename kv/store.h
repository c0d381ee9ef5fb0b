/*
 * store.h - keys, leases and change history of the in-memory service.
 *
 * This module does not use the event loop: memory.c passes the time and
 * delivers the responses.  The semantics are those of etcd: each call that
 * changes a key makes one revision, all compares are evaluated before any
 * operation, and a call writes a key at most once.
 */
#ifndef KV_STORE_H
#define KV_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "kv/kv.h"

enum {
    STORE_HISTORY_MAX = 4096,
    STORE_SWAPS_MAX = 128,
};

typedef struct store store_t;

/* Called for each change, in order; *pair is valid during the call. */
typedef void (*store_change_callback_t)(void *context, const kv_pair_t *pair);

store_t *store_new(store_change_callback_t changed, void *context);
void store_free(store_t *store);

/* All revisions of a store are as in base/revision.h. */
int64_t store_revision(const store_t *store);

/* A store_copy_t is a copy of the keys and leases of a store. */
store_copy_t *store_copy_new(const store_t *store);
void store_copy_free(store_copy_t *copy);

/*
 * Takes the store back to a copy, in a new era: revisions and leases are given
 * out again, and the changes since are lost.  The leases run anew.
 */
void store_restore(store_t *store, const store_copy_t *copy, int64_t now_ms);

/*
 * Returns copies of the pairs in arena memory, sorted by key, and sets *count.
 * If prefix is true, these are all pairs whose key starts with key.
 */
kv_pair_t *store_range(const store_t *store, arena_t *arena, const char *key,
                       bool prefix, size_t *count);

/*
 * Fills answers[0..count-1]; the pairs are copies in arena memory.  Returns
 * KV_INVALID and changes nothing if there are more than STORE_SWAPS_MAX swaps,
 * if a key is written twice, or if a swap that would succeed puts a key under
 * a lease that does not exist.
 */
kv_result_t store_swap(store_t *store, arena_t *arena, const kv_swap_t *swaps,
                       size_t count, kv_swap_result_t *answers);

/* Returns the ID of the new lease. */
int64_t store_grant_lease(store_t *store, int64_t ttl_s, int64_t now_ms);

/* Returns the TTL of the lease in seconds, or 0 if it does not exist. */
int64_t store_renew_lease(store_t *store, int64_t lease, int64_t now_ms);

/* Deletes the lease and its keys; returns false if it does not exist. */
bool store_revoke_lease(store_t *store, int64_t lease);

/* Revokes the leases that have expired. */
void store_expire_leases(store_t *store, int64_t now_ms);

/*
 * Calls changed for each recorded change under prefix from start_revision on.
 * Returns false if start_revision is compacted.  Sets *compacted to the newest
 * compacted revision.
 */
bool store_replay_changes(const store_t *store, const char *prefix,
                          int64_t start_revision,
                          store_change_callback_t changed, void *context,
                          int64_t *compacted);

#endif
