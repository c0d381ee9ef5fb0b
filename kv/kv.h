/*
 * kv.h - a key-value service, as the system sees it.
 *
 * Several kinds stand behind one vtable: etcd.c (the etcd v3 JSON mapping
 * over HTTP), memory.c (one process, for a trial without any service) and
 * whatever an adapter brings.  Calls do not block; each answer comes by its
 * callback, later, on the loop.  A call whose answer is lost ends as KV_LOST:
 * it may have taken effect.
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
    KV_UNREACHED, /* surely took no effect */
    KV_LOST,      /* may have taken effect */
    KV_INVALID,   /* the service said that the call is wrong */
} kv_result_t;

/* One key and its value; valid during the callback only. */
typedef struct {
    const char *key;
    const char *value;
    size_t value_bytes;
    int64_t mod_revision;    /* 0: the key does not exist */
    int64_t create_revision; /* 0: the key does not exist */
    int64_t version;
    int64_t lease;
} kv_pair_t;

/* One branch of a transaction's work. */
typedef enum { KV_PUT, KV_DELETE, KV_GET } kv_verb_t;
typedef struct {
    kv_verb_t verb;
    const char *key;
    const char *value;
    size_t value_bytes;
    int64_t lease; /* KV_PUT: 0 for none */
} kv_op_t;

/*
 * An independent compare-and-swap: if the key's mod_revision is as stated
 * (0: it does not exist; or, with value set, its value equals value) then
 * the ops, else a read of the key.  Many of these travel in one call, each
 * a nested transaction of its own.
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
    bool won;
    kv_pair_t held; /* the key as read, where not won */
} kv_swap_answer_t;

typedef void (*kv_range_done_t)(void *context, kv_result_t result,
                                int64_t revision, const kv_pair_t *pairs,
                                size_t count);
typedef void (*kv_swap_done_t)(void *context, kv_result_t result,
                               int64_t revision,
                               const kv_swap_answer_t *answers, size_t count);
typedef void (*kv_lease_done_t)(void *context, kv_result_t result,
                                int64_t lease, int64_t ttl_s);
/*
 * count is 0 with KV_OK when the watch has been set up; a deleted key
 * comes with create_revision 0.  After any other result the watch is over.
 */
typedef void (*kv_watch_done_t)(void *context, kv_result_t result,
                                int64_t revision, const kv_pair_t *pairs,
                                size_t count);

typedef struct {
    /* All keys with this prefix, or the one key when prefix is false. */
    void (*range)(kv_t *kv, const char *key, bool prefix, kv_range_done_t done,
                  void *context);
    void (*swap)(kv_t *kv, const kv_swap_t *swaps, size_t count,
                 kv_swap_done_t done, void *context);
    void (*lease_grant)(kv_t *kv, int64_t ttl_s, kv_lease_done_t done,
                        void *context);
    /* ttl_s is 0 in the answer when the lease has lapsed. */
    void (*lease_keepalive)(kv_t *kv, int64_t lease, kv_lease_done_t done,
                            void *context);
    void (*lease_revoke)(kv_t *kv, int64_t lease, kv_lease_done_t done,
                         void *context);
    /* Changes under prefix from start_revision on; one at a time each. */
    void (*watch)(kv_t *kv, const char *prefix, int64_t start_revision,
                  kv_watch_done_t done, void *context);
    /* Ends the watches that were begun with this context; what is already on
     * its way may still come. */
    void (*watch_end)(kv_t *kv, void *context);
    /* No callbacks after this. */
    void (*free)(kv_t *kv);
} kv_ops_t;
struct kv {
    const kv_ops_t *ops;
};

/* addresses: "ip:port", tried in turn. */
kv_t *kv_etcd_new(http_client_t *client, const char *const *addresses,
                  size_t count, uint32_t timeout_ms);
kv_t *kv_memory_new(uv_loop_t *loop);

#endif
