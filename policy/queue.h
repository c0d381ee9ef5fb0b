/*
 * queue.h - queues of sessions waiting for a runner.
 *
 * Sessions that need the same model share one pool, whose admission control
 * (admit.h) decides on order and refusals.  A session that may not be
 * started yet because it is suspected of crashing engines is deferred: it
 * leaves its pool, so that it does not block the sessions behind it.
 */
#ifndef POLICY_QUEUE_H
#define POLICY_QUEUE_H

#include <stddef.h>
#include <sys/queue.h>

#include <uthash.h>

#include "policy/admit.h"

struct session;

/* The admission queue for the runners of one model. */
typedef struct pool {
    char *model;
    admit_t *admit;
    UT_hash_handle hh;
} pool_t;

typedef struct {
    pool_t *by_model;
    TAILQ_HEAD(, session) deferred; /* not in any pool */
} queue_t;

void queue_init(queue_t *queue);
void queue_free(queue_t *queue);

#endif
