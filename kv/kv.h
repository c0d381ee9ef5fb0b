/*
 * kv.h - interface to a key-value service.
 *
 * One vtable has several implementations: etcd.c (the etcd v3 JSON mapping
 * over HTTP), memory.c (in this process, for trials without a service) and
 * those of platform adapters.  Calls do not block: the callback runs later,
 * on the event loop.  A call whose response is lost ends with
 * KV_OUTCOME_UNKNOWN, because it may have taken effect.
 *
 * All revisions, also those inside pairs and swaps, are as in base/revision.h:
 * a service that was restored from an older copy is in another era.
 */
#ifndef KV_KV_H
#define KV_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http/http.h"

typedef struct kv kv_t;

typedef enum {
    KV_OK,
    KV_NOT_APPLIED,     /* took no effect */
    KV_OUTCOME_UNKNOWN, /* may have taken effect */
    KV_INVALID,         /* the service rejected the call as invalid */
} kv_result_t;

/* A key and its value; valid during the callback only. */
typedef struct {
    const char *key;
    const char *value;
    size_t value_bytes;
    int64_t mod_revision;    /* 0: the key does not exist */
    int64_t create_revision; /* 0: the key does not exist */
    int64_t version;
    int64_t lease;
} kv_pair_t;

/* An operation of a compare-and-swap. */
typedef enum { KV_PUT, KV_DELETE, KV_GET } kv_op_type_t;
typedef struct {
    kv_op_type_t verb;
    const char *key;
    const char *value;
    size_t value_bytes;
    int64_t lease; /* KV_PUT: 0 for none */
} kv_op_t;

/*
 * A compare-and-swap.  The ops run if the key has this mod_revision (0: the
 * key does not exist) or, where value is set, if it has this value.
 * Otherwise the key is read.  A call carries several of them; each is a
 * nested transaction and succeeds or fails on its own.  A mod_revision of
 * another era than the service's is never that of the key.
 */
typedef struct {
    const char *key;
    int64_t mod_revision; /* compared unless value is set */
    const char *value;
    size_t value_bytes;
    const kv_op_t *ops;
    size_t op_count;
} kv_swap_t;

typedef struct {
    bool succeeded;
    kv_pair_t held; /* the key as it is, if succeeded is false */
} kv_swap_result_t;

typedef void (*kv_range_callback_t)(void *context, kv_result_t result,
                                    int64_t revision, const kv_pair_t *pairs,
                                    size_t count);
typedef void (*kv_swap_callback_t)(void *context, kv_result_t result,
                                   int64_t revision,
                                   const kv_swap_result_t *answers,
                                   size_t count);
typedef void (*kv_lease_callback_t)(void *context, kv_result_t result,
                                    int64_t lease, int64_t ttl_s);

/*
 * A watch by polls may also call back with count 0 when a poll has ended
 * without a change.  A poll that follows a change is this part of the others:
 * a response with changes does not tell how long before it arrived the service
 * was known to have no others.
 */
enum { KV_WATCH_CHANGED_PART = 4 };

/*
 * Called with KV_OK and count 0 once the watch is established, then for each
 * change.  A deleted key has create_revision 0.  Any other result ends the
 * watch: KV_INVALID if the service no longer has the changes since
 * start_revision, or is in another era.
 */
typedef void (*kv_watch_callback_t)(void *context, kv_result_t result,
                                    int64_t revision, const kv_pair_t *pairs,
                                    size_t count);

typedef struct {
    /* Reads all keys with the prefix key, or only key if prefix is false. */
    void (*range)(kv_t *kv, const char *key, bool prefix,
                  kv_range_callback_t done, void *context);
    void (*swap)(kv_t *kv, const kv_swap_t *swaps, size_t count,
                 kv_swap_callback_t done, void *context);
    void (*lease_grant)(kv_t *kv, int64_t ttl_s, kv_lease_callback_t done,
                        void *context);
    /* The callback gets ttl_s 0 if the lease has expired. */
    void (*lease_keepalive)(kv_t *kv, int64_t lease, kv_lease_callback_t done,
                            void *context);
    void (*lease_revoke)(kv_t *kv, int64_t lease, kv_lease_callback_t done,
                         void *context);
    /*
     * Watches the keys with this prefix from start_revision on; 0 starts at
     * the current revision.
     */
    void (*watch)(kv_t *kv, const char *prefix, int64_t start_revision,
                  kv_watch_callback_t done, void *context);
    /* Cancels the watches that have this context.  Changes that are already
     * queued may still be delivered. */
    void (*watch_cancel)(kv_t *kv, void *context);
    /*
     * Returns the era of the last response; NULL: the service has no eras.
     * Leases are of the era in which they were granted, and their numbers are
     * given out again in the next one.
     */
    int64_t (*era)(kv_t *kv);
    /* Frees the service; no callback runs afterwards. */
    void (*free)(kv_t *kv);
} kv_ops_t;
struct kv {
    const kv_ops_t *ops;
};

/* The same, and 0 if the service has no eras. */
int64_t kv_era(kv_t *kv);

/* Each address is "ip:port"; after a failure the next one is used. */
kv_t *kv_etcd_new(http_client_t *client, const char *const *addresses,
                  size_t count, uint32_t timeout_ms);
kv_t *kv_memory_new(uv_loop_t *loop);

/* For tests: see store_copy_new() and store_restore().  Watches end. */
typedef struct store_copy store_copy_t;
store_copy_t *kv_memory_copy(kv_t *kv);
void kv_memory_restore(kv_t *kv, const store_copy_t *copy);

#endif
