/* fuzz_etcd.c - any bytes as each kind of answer of the platform. */
#include <stdlib.h>

#include "kv/etcd_json.h"
#include "regress/fuzz/fuzz.h"

enum { KINDS = 4, SWAPS = 2 };

/* The first byte chooses the kind of answer. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    arena_t arena = {0};
    err_t err = {0};
    etcd_range_t range;
    etcd_swap_t swap;
    etcd_lease_t lease;
    etcd_watch_t watch;
    const char *json = (const char *)data + 1;
    int result = 0;

    if (size < 1) {
        return 0;
    }
    switch (data[0] % KINDS) {
    case 0:
        result = etcd_parse_range(&arena, json, size - 1, &range, &err);
        break;
    case 1:
        result = etcd_parse_swap(&arena, json, size - 1, SWAPS, &swap, &err);
        break;
    case 2:
        result = etcd_parse_lease(json, size - 1, &lease, &err);
        break;
    default:
        result = etcd_parse_watch(&arena, json, size - 1, &watch, &err);
        break;
    }
    if (result < 0 && err.kind != ERR_PROTOCOL) {
        abort();
    }
    arena_free(&arena);
    return 0;
}
