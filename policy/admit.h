/*
 * admit.h - admission control and fair queueing for one pool of runners.
 *
 * Requests are queued by urgency and, within an urgency, by organisation.
 * Both levels use start-time fair queueing: organisations share starts by
 * their weights, urgencies by fixed weights that favour the more urgent
 * without starving the others.  A request whose estimated wait exceeds its
 * limit is refused at once with a retry-after time.  Interrupted requests
 * are started first while the retry budget, a fraction of all first starts,
 * lasts.
 */
#ifndef POLICY_ADMIT_H
#define POLICY_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "world/contract.h"

typedef struct admit admit_t;

typedef struct {
    uint32_t waiting_max;    /* queued at a time */
    uint32_t retry_permille; /* budget gained by each first start */
    uint32_t retry_burst;    /* largest budget, in retries */
} admit_limits_t;

/* A request to be queued; organisation is copied. */
typedef struct {
    uint64_t id;
    const char *organisation;
    uint32_t weight; /* 1 or more */
    uint32_t cost;   /* relative cost of running it; 1 or more */
    urgency_t urgency;
    bool interrupted;    /* has already run and is to be resumed */
    int64_t wait_max_us; /* longest time in the queue */
} admit_item_t;

admit_t *admit_new(const admit_limits_t *limits);
void admit_free(admit_t *admit);

/*
 * Queues the item and returns 0, or refuses it and returns the time after
 * which to retry, in ms.  Interrupted items are never refused.
 */
uint32_t admit_enqueue(admit_t *admit, int64_t now_us,
                       const admit_item_t *item);

/* Sets id to the item to start next.  Returns false if the queue is empty. */
bool admit_peek(const admit_t *admit, uint64_t *id);

/* Removes an item that has started and charges its flow for it. */
void admit_record_start(admit_t *admit, int64_t now_us, uint64_t id);

/* Removes an item that was not started. */
void admit_remove(admit_t *admit, int64_t now_us, uint64_t id);

/*
 * Removes one item that has reached its wait limit and sets id to it.
 * Returns false if there is none.
 */
bool admit_pop_expired(admit_t *admit, int64_t now_us, uint64_t *id);

/*
 * Returns the time at which admit_pop_expired() is next to be called, or
 * INT64_MAX.
 */
int64_t admit_next_expiry_us(const admit_t *admit);

/*
 * Takes one retry from the retry budget.  Returns false if the budget is
 * used up.
 */
bool admit_take_retry(admit_t *admit);

/*
 * Estimates how long a new item would wait, from the recent start rate of its
 * organisation if that has been backlogged for long enough, otherwise from
 * the start rate of the pool and the organisation's share of it.  Returns 0
 * until enough starts have been observed.
 */
int64_t admit_estimate_wait_us(const admit_t *admit, int64_t now_us,
                               const admit_item_t *item);

size_t admit_waiting_count(const admit_t *admit);

#endif
