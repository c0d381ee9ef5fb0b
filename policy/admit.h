/*
 * admit.h - admission and fair shares before one pool of runners.
 *
 * Requests wait by urgency and, within it, by organisation.  Organisations
 * share starts by weight, urgencies by fixed weights that favour the more
 * urgent without starving the rest (start-time fair queueing on both
 * levels).  A request whose expected wait is beyond its limit is refused at
 * once, with the time to come back.  Interrupted work goes first as long as
 * a budget, a share of all first starts, allows it.
 */
#ifndef POLICY_ADMIT_H
#define POLICY_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "world/contract.h"

typedef struct admit admit_t;

typedef struct {
    uint32_t items_max;      /* that wait at a time */
    uint32_t retry_permille; /* of first starts: what retries may be */
    uint32_t retry_burst;    /* retries that may come at once */
} admit_limits_t;

/* One request that wants to start; organisation is copied. */
typedef struct {
    uint64_t id;
    const char *organisation;
    uint32_t weight; /* 1 or more */
    uint32_t cost;   /* of running it, in any unit; 1 or more */
    urgency_t urgency;
    bool interrupted;    /* has run before and is to go on */
    int64_t wait_max_us; /* refused or expired beyond this */
} admit_item_t;

admit_t *admit_new(const admit_limits_t *limits);
void admit_free(admit_t *admit);

/*
 * Queues the item and returns 0, or refuses it and returns when to come
 * back, in ms.  Interrupted work is never refused.
 */
uint32_t admit_push(admit_t *admit, int64_t now_us, const admit_item_t *item);

/* The item that is to start next; false when none waits. */
bool admit_peek(const admit_t *admit, uint64_t *id);

/* That item has started. */
void admit_started(admit_t *admit, int64_t now_us, uint64_t id);

/* The item left without a start. */
void admit_remove(admit_t *admit, int64_t now_us, uint64_t id);

/* Takes out an item that has waited too long; false when there is none. */
bool admit_expire(admit_t *admit, int64_t now_us, uint64_t *id);

/* When admit_expire() is next needed; INT64_MAX for never. */
int64_t admit_due_us(const admit_t *admit);

/* Whether the budget allows one more retry, which it then takes. */
bool admit_retry(admit_t *admit);

/*
 * How long a new item would wait, by the last seconds' starts of its
 * organisation if that has waited for so long, else by those of the pool
 * and the shares of who waits; 0 while too little is known.
 */
int64_t admit_wait_us(const admit_t *admit, int64_t now_us,
                      const admit_item_t *item);

size_t admit_waiting(const admit_t *admit);

#endif
