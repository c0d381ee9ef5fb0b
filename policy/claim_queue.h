/*
 * claim_queue.h - gathers a host's claims into few writes to the store.
 *
 * At most one batch of claims is in doubt at a time: it is sent again, with
 * the same mark, until the store answers for each of its keys or their
 * requests have waited long enough.  A mark is "host/incarnation/number",
 * one number for each batch.  Writes of this host keep an interval that
 * grows with the number of live hosts, so that the fleet keeps within
 * fleet_writes_per_s.
 *
 * Claims that this host gave up are released: deleted in the store if they
 * still hold the mark, tried again until the store answers.  EVENT_CLAIMED
 * with batch 0 answers ORDER_RELEASE: an outcome a key, holder the mark
 * that was to be released, result CLAIM_WON when it no longer stands and
 * CLAIM_UNKNOWN when the store did not answer.
 */
#ifndef POLICY_CLAIM_QUEUE_H
#define POLICY_CLAIM_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/claim.h"
#include "policy/orders.h"

typedef struct claim_queue claim_queue_t;

typedef struct {
    uint32_t batch_keys_max;     /* keys in one order, up to 100 */
    uint32_t fleet_writes_per_s; /* of all hosts together */
    int64_t validity_us;         /* from the first sending to the start */
    int64_t answer_limit_us;     /* a write unanswered is unknown */
    int64_t lease_us;            /* how long a claim stands in the store */
} claim_limits_t;

typedef enum {
    CLAIM_START,     /* it stands: claim_queue_start(), then open */
    CLAIM_ELSEWHERE, /* another mark holds the key: whether that one ran
                        is unknown, this one did not and will not */
    CLAIM_GIVEN_UP,  /* not run, and never will be by this claim */
} claim_decision_t;

typedef struct {
    uint64_t id;
    claim_decision_t decision;
    int64_t not_after_us;           /* CLAIM_START */
    char holder[LINK_NAME_MAX + 1]; /* CLAIM_ELSEWHERE */
} claim_verdict_t;

/* Everything is copied. */
claim_queue_t *claim_queue_new(const char *host, uint64_t incarnation,
                               const claim_limits_t *limits);
void claim_queue_free(claim_queue_t *queue);

/*
 * The request id waits for the claim of key (at most LINK_NAME_MAX bytes)
 * until give_up_us.  Returns false, and does nothing, when id or key is
 * here already, or key is too long.
 */
bool claim_queue_push(claim_queue_t *queue, uint64_t id, const char *key,
                      int64_t give_up_us);

/* Gives up what has waited too long and appends the writes that are due. */
void claim_queue_step(claim_queue_t *queue, int64_t now_us,
                      uint32_t live_hosts, order_list_t *orders);

/* Takes the store's answer. */
void claim_queue_answer(claim_queue_t *queue, int64_t now_us,
                        const claimed_event_t *answer);

/* The next verdict, in the order they were reached; false when none. */
bool claim_queue_next(claim_queue_t *queue, claim_verdict_t *verdict);

/*
 * Called for each start at a backend.  False: the claim does not stand or
 * its time is over; it is released, and the request was not run.
 */
bool claim_queue_start(claim_queue_t *queue, uint64_t id, int64_t now_us);

/* The backend did not run it: start it again elsewhere, or drop it. */
void claim_queue_not_run(claim_queue_t *queue, uint64_t id);

/*
 * Ends the request's part here: a started claim stays in the store for its
 * lease, any other is released.  No verdict follows.
 */
void claim_queue_drop(claim_queue_t *queue, uint64_t id, int64_t now_us);

/* When claim_queue_step() is next needed; INT64_MAX for never. */
int64_t claim_queue_due_us(const claim_queue_t *queue);

/* Keys waiting or in doubt, and marks to be released. */
size_t claim_queue_waiting(const claim_queue_t *queue);
size_t claim_queue_releases(const claim_queue_t *queue);

#endif
