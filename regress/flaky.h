/*
 * flaky.h - a key-value service whose answers get lost.
 *
 * Stands before another platform and hands every call on, but for those
 * that a test wants to fail.  Only swaps fail; the rest is handed on as it
 * is.
 */
#ifndef REGRESS_FLAKY_H
#define REGRESS_FLAKY_H

#include "kv/kv.h"

typedef enum {
    FLAKY_NOTHING, /* every call is answered */
    FLAKY_LOSES,   /* it takes effect, and its answer is lost */
    FLAKY_DROPS,   /* it takes no effect, and nobody can tell */
    FLAKY_REFUSES, /* it is surely not sent */
} flaky_fault_t;

typedef struct flaky flaky_t;

/* Owns the inner platform. */
kv_t *flaky_new(uv_loop_t *loop, kv_t *inner);

/* What happens to the next count swaps whose first key starts with prefix. */
void flaky_swaps(kv_t *platform, const char *prefix, flaky_fault_t fault,
                 size_t count);

/*
 * Writes value to key before the next swap of that key after one that
 * failed, as another operator would.
 */
void flaky_intrude(kv_t *platform, const char *key, const char *value);

#endif
