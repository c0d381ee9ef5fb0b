/*
 * pool_private.h - what pool.c and pool_choose.c share.
 */
#ifndef FORWARD_POOL_PRIVATE_H
#define FORWARD_POOL_PRIVATE_H

#include "forward/pool.h"

struct pool_zone {
    char *name;
    uint64_t last_serial; /* the runner that was lost last */
    int64_t last_us;
    uint32_t losses; /* of different runners, each soon after the other */
    int64_t rests_until_us;
    UT_hash_handle hh;
};

struct pool {
    pool_runner_t *runners; /* by id */
    pool_runner_t *by_hash; /* by id_hash */
    pool_zone_t *zones;     /* by name */
    uint64_t serials;
    bool listing; /* entries come in no order of time */
};

#endif
