/* done.c - callbacks of key-value calls; see done.h. */
#include "kv/done.h"

kv_done_t
kv_done_range(kv_range_done_t done, void *context)
{
    return (kv_done_t){
        .kind = KV_CALL_RANGE, .u.range = done, .context = context};
}

kv_done_t
kv_done_swap(kv_swap_done_t done, void *context)
{
    return (kv_done_t){
        .kind = KV_CALL_SWAP, .u.swap = done, .context = context};
}

kv_done_t
kv_done_lease(kv_lease_done_t done, void *context)
{
    return (kv_done_t){
        .kind = KV_CALL_LEASE, .u.lease = done, .context = context};
}

kv_done_t
kv_done_watch(kv_watch_done_t done, void *context)
{
    return (kv_done_t){
        .kind = KV_CALL_WATCH, .u.watch = done, .context = context};
}

void
kv_done_give(const kv_done_t *done, const kv_answer_t *answer)
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
