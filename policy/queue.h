/*
 * queue.h - sessions that wait for a runner.
 *
 * Sessions that need the same model share one pool, in which admit.h gives
 * the order and the refusals.  A session that may not start for a reason of
 * its own is set aside, so that it holds up nobody behind it.
 */
#ifndef POLICY_QUEUE_H
#define POLICY_QUEUE_H

#include <stddef.h>
#include <sys/queue.h>

#include <uthash.h>

#include "policy/admit.h"

struct session;

/* All that wait for, or run on, the runners with one model. */
typedef struct pool {
    char *model;
    admit_t *admit;
    UT_hash_handle hh;
} pool_t;

typedef struct {
    pool_t *by_model;
    TAILQ_HEAD(, session) aside; /* waiting, and not in any pool */
} queue_t;

void queue_init(queue_t *queue);
void queue_free(queue_t *queue);

#endif
