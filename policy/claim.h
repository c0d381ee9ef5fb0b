/*
 * claim.h - one host's claim to start one non-idempotent request.
 *
 * A claim is a key in the platform's service, created with the host's mark
 * where it is absent, before the first byte goes to a backend.  This is the
 * state of one such claim on the host that wants it; claim_queue.h gathers
 * many of them into few writes.  A zeroed claim_t is a waiting one.
 *
 *     WAITING -> SENT -> STANDS <-> STARTED
 *        \________\________\__________\____-> OVER
 *
 * docs/design/03-at-most-once.md says why no interleaving starts twice.
 */
#ifndef POLICY_CLAIM_H
#define POLICY_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/generated/event.h"

typedef enum {
    CLAIM_WAITING, /* not sent: nothing can stand in the store */
    CLAIM_SENT,    /* sent once or more; what took effect is unknown */
    CLAIM_STANDS,  /* read back with our mark; may be started in time */
    CLAIM_STARTED, /* given to a backend */
    CLAIM_OVER,    /* not to be started by this claim any more */
} claim_state_t;

typedef struct {
    claim_state_t state;
    uint32_t sendings;    /* of the present mark */
    uint64_t number;      /* of the present mark */
    int64_t not_after_us; /* not to be started after this */
} claim_t;

/*
 * The claim goes out with mark number.  Its time to start counts from the
 * first sending, which is the earliest time it can stand in the store.
 */
void claim_sent(claim_t *claim, uint64_t number, int64_t now_us,
                int64_t validity_us);

/*
 * The store's answer to a sending of mark number.  ours says that the mark
 * in the store, read back or just created, is exactly this claim's.
 * Answers to other numbers and late ones change nothing.
 */
void claim_answered(claim_t *claim, uint64_t number, claim_result_t result,
                    bool ours, int64_t now_us);

/* Whether it may be started now; if so it counts as started. */
bool claim_start(claim_t *claim, int64_t now_us);

/* The backend that it was given to says that it did not run it. */
void claim_not_run(claim_t *claim);

/*
 * This host will not start it any more.  Returns whether the mark may stand
 * in the store, now or later, and has to be released; never for a claim
 * that was started, because that one must outlive its request.
 */
bool claim_give_up(claim_t *claim);

#endif
