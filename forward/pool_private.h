/*
 * pool_private.h - declares the structures shared by pool.c and
 * pool_choose.c.
 */
#ifndef FORWARD_POOL_PRIVATE_H
#define FORWARD_POOL_PRIVATE_H

#include "forward/pool.h"

struct pool_zone {
    char *name;
    uint64_t last_lost_serial; /* the runner lost most recently */
    int64_t last_loss_us;
    uint32_t losses; /* of different runners, in quick succession */
    int64_t cooldown_until_us;
    UT_hash_handle hh;
};

struct pool {
    pool_runner_t *runners; /* by id */
    pool_runner_t *by_hash; /* by id_hash */
    pool_zone_t *zones;     /* by name */
    uint64_t serial_count;  /* serials assigned so far */
    bool list_in_progress;  /* pool_update_runner() calls are not in order of
                               time */
};

#endif
