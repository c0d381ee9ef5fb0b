/*
 * done.h - who waits for the answer of a call to a key-value service.
 *
 * For those that stand behind the vtable of kv.h: one value holds the
 * callback, of whichever kind, and what it is called with.
 */
#ifndef KV_DONE_H
#define KV_DONE_H

#include "kv/kv.h"

typedef enum {
    KV_CALL_RANGE,
    KV_CALL_SWAP,
    KV_CALL_LEASE, /* granted, renewed or revoked */
    KV_CALL_WATCH,
} kv_call_kind_t;

typedef struct {
    kv_call_kind_t kind;
    union {
        kv_range_done_t range;
        kv_swap_done_t swap;
        kv_lease_done_t lease;
        kv_watch_done_t watch;
    } u;
    void *context;
} kv_done_t;

/* Only what the kind of call answers is read. */
typedef struct {
    kv_result_t result;
    int64_t revision;              /* range, swap, watch */
    const kv_pair_t *pairs;        /* range, watch */
    const kv_swap_answer_t *swaps; /* swap */
    size_t count;                  /* of pairs or swaps */
    int64_t lease;                 /* lease */
    int64_t ttl_s;                 /* lease */
} kv_answer_t;

kv_done_t kv_done_range(kv_range_done_t done, void *context);
kv_done_t kv_done_swap(kv_swap_done_t done, void *context);
kv_done_t kv_done_lease(kv_lease_done_t done, void *context);
kv_done_t kv_done_watch(kv_watch_done_t done, void *context);

/* Calls back; what *answer points to need live no longer than that. */
void kv_done_give(const kv_done_t *done, const kv_answer_t *answer);

#endif
