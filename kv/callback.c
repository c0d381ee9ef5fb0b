/* callback.c - callbacks of key-value calls; see callback.h. */
#include "kv/callback.h"

kv_callback_t
kv_callback_range(kv_range_callback_t done, void *context)
{
    return (kv_callback_t){
        .kind = KV_CALL_RANGE, .u.range = done, .context = context};
}

kv_callback_t
kv_callback_swap(kv_swap_callback_t done, void *context)
{
    return (kv_callback_t){
        .kind = KV_CALL_SWAP, .u.swap = done, .context = context};
}

kv_callback_t
kv_callback_lease(kv_lease_callback_t done, void *context)
{
    return (kv_callback_t){
        .kind = KV_CALL_LEASE, .u.lease = done, .context = context};
}

kv_callback_t
kv_callback_watch(kv_watch_callback_t done, void *context)
{
    return (kv_callback_t){
        .kind = KV_CALL_WATCH, .u.watch = done, .context = context};
}

void
kv_callback_invoke(const kv_callback_t *done, const kv_response_t *answer)
{
    switch (done->kind) {
    case KV_CALL_RANGE:
        done->u.range(done->context, answer->result, answer->revision,
                      answer->pairs, answer->count);
        break;
    case KV_CALL_SWAP:
        done->u.swap(done->context, answer->result, answer->revision,
                     answer->swaps, answer->count);
        break;
    case KV_CALL_LEASE:
        done->u.lease(done->context, answer->result, answer->lease,
                      answer->ttl_s);
        break;
    case KV_CALL_WATCH:
        done->u.watch(done->context, answer->result, answer->revision,
                      answer->pairs, answer->count);
        break;
    }
}
