/*
 * callback.h - callbacks of calls to a key-value service.
 *
 * For implementations of the vtable in kv.h: a kv_callback_t holds the
 * callback of a call of any kind together with its context.
 */
#ifndef KV_CALLBACK_H
#define KV_CALLBACK_H

#include "kv/kv.h"

typedef enum {
    KV_CALL_RANGE,
    KV_CALL_SWAP,
    KV_CALL_LEASE, /* grant, keepalive or revoke */
    KV_CALL_WATCH,
} kv_call_kind_t;

typedef struct {
    kv_call_kind_t kind;
    union {
        kv_range_callback_t range;
        kv_swap_callback_t swap;
        kv_lease_callback_t lease;
        kv_watch_callback_t watch;
    } u;
    void *context;
} kv_callback_t;

/* A response; the members that are used depend on the kind of call. */
typedef struct {
    kv_result_t result;
    int64_t revision;              /* range, swap, watch */
    const kv_pair_t *pairs;        /* range, watch */
    const kv_swap_result_t *swaps; /* swap */
    size_t count;                  /* number of pairs or swaps */
    int64_t lease;                 /* lease */
    int64_t ttl_s;                 /* lease */
} kv_response_t;

kv_callback_t kv_callback_range(kv_range_callback_t done, void *context);
kv_callback_t kv_callback_swap(kv_swap_callback_t done, void *context);
kv_callback_t kv_callback_lease(kv_lease_callback_t done, void *context);
kv_callback_t kv_callback_watch(kv_watch_callback_t done, void *context);

/* Calls the callback.  *answer must stay valid until this returns. */
void kv_callback_invoke(const kv_callback_t *done,
                        const kv_response_t *answer);

#endif
